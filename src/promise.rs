//! Promises not to claim a peer's resources, exchanged during an outage of the table service.
//!
//! The giver is bound for longer than the receiver may rely on the promise. A lease is
//! extended only while the promises of all required peers are valid.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::Node;
use crate::lease::LeaseSettings;
use crate::time::Ms;

/// Reply to a request for a promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Promise {
    /// Validity, counted from when the request was sent.
    pub valid: Ms,
    /// Whether the promise is given.
    pub given: bool,
}

/// Promises given to and received from peers.
#[derive(Clone, Debug, Default)]
pub(crate) struct Promises {
    given_until: BTreeMap<Node, Ms>,
    received_until: BTreeMap<Node, Ms>,
    /// When to send the next requests.
    pub(crate) next_request: Ms,
}

impl Promises {
    /// Promises `to` not to claim its resources.
    pub(crate) fn give(&mut self, now: Ms, to: &Node, settings: &LeaseSettings) -> Promise {
        self.given_until.retain(|_, end| now < *end);
        self.given_until.insert(to.clone(), now + settings.promise_validity + settings.wait_margin);
        Promise { valid: settings.promise_validity, given: true }
    }

    /// Whether a promise forbids claims of resources of `node`.
    pub(crate) fn forbids_claim(&self, now: Ms, node: &Node) -> bool {
        self.given_until.get(node).is_some_and(|end| now < *end)
    }

    /// Records the promise in the reply to the request sent at `sent`. Earlier promises stay
    /// valid.
    pub(crate) fn receive(&mut self, from: &Node, sent: Ms, valid: Ms, settings: &LeaseSettings) {
        let end = sent + valid.min(settings.promise_validity) - settings.clock_drift;
        let entry = self.received_until.entry(from.clone()).or_default();
        *entry = end.max(*entry);
    }

    /// When the first of the promises of all `required` peers ends; `None` if one of them has
    /// not promised or if there are no peers.
    pub(crate) fn covered_until(&self, required: &BTreeSet<Node>) -> Option<Ms> {
        let ends = required.iter().map(|n| self.received_until.get(n).copied());
        ends.collect::<Option<Vec<_>>>()?.into_iter().min()
    }
}
