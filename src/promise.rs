//! Promises not to claim, exchanged between peers in a table outage.
//!
//! A giver binds itself for longer than the receiver may rely on the promise.
//! The receiver needs a promise of every required peer at the same time.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::Node;
use crate::lease::LeaseSettings;
use crate::time::Ms;

/// Reply to a request for a promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Promise {
    /// Validity from the sending of the request.
    pub valid: Ms,
    /// Whether the promise is given.
    pub given: bool,
}

/// Promises that a node gave and received.
#[derive(Clone, Debug, Default)]
pub(crate) struct Promises {
    given_until: BTreeMap<Node, Ms>,
    received_until: BTreeMap<Node, Ms>,
    /// When to ask again.
    pub(crate) next_request: Ms,
}

impl Promises {
    /// Promises not to claim from `to`.
    pub(crate) fn give(&mut self, now: Ms, to: &Node, settings: &LeaseSettings) -> Promise {
        self.given_until.retain(|_, end| now < *end);
        self.given_until.insert(to.clone(), now + settings.promise_validity + settings.wait_margin);
        Promise { valid: settings.promise_validity, given: true }
    }

    /// Whether a promise forbids claiming from `node`.
    pub(crate) fn forbids_claim(&self, now: Ms, node: &Node) -> bool {
        self.given_until.get(node).is_some_and(|end| now < *end)
    }

    /// Notes a reply to the request sent at `sent`; a refusal ends nothing.
    pub(crate) fn receive(&mut self, from: &Node, sent: Ms, valid: Ms, settings: &LeaseSettings) {
        let end = sent + valid.min(settings.promise_validity) - settings.clock_drift;
        let entry = self.received_until.entry(from.clone()).or_default();
        *entry = end.max(*entry);
    }

    /// Instant until which all of `required` promised; `None` where one has not,
    /// or where there is no peer at all.
    pub(crate) fn covered_until(&self, required: &BTreeSet<Node>) -> Option<Ms> {
        let ends = required.iter().map(|n| self.received_until.get(n).copied());
        ends.collect::<Option<Vec<_>>>()?.into_iter().min()
    }
}
