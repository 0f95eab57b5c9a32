//! Leases of nodes, which give each node authority over the resources that it owns.
//!
//! A node renews its lease by writing its row in the table. The validity of a renewal starts
//! at a time read before the renewal is sent and lasts for the TTL minus a margin for clock
//! drift, on a clock that keeps counting while the machine is suspended. While the table
//! service does not answer, promises of the peers extend the lease (see [`crate::promise`]).
//!
//! Authority over resources without fence checks ends as soon as neither the lease nor
//! promises cover the current time. Only a committed renewal restores it; later promises do
//! not. Takeover relies on this rule: a holder found without authority can regain it only by a
//! renewal, and that renewal and the claimant's eviction are conditional on the same version
//! of the same row.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::ids::Node;
use crate::time::Ms;

/// Level of a node's authority, in increasing order.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub enum AuthorityLevel {
    /// Neither the table service nor any peer answers. The node admits no requests.
    #[default]
    None,
    /// The lease has expired but peers answer. Allows inference and orders to endpoints that
    /// check fences.
    Fenced,
    /// Promises extend the lease beyond `max_extension`. Also allows the use of quota seats.
    Seated,
    /// Promises of all peers extend the lease, by at most `max_extension`. Also allows orders
    /// to endpoints without fence checks.
    Promised,
    /// The lease is valid.
    Full,
}

impl AuthorityLevel {
    /// The level with this number in a heartbeat; unknown numbers give `None`.
    pub const fn from_wire(n: u32) -> Self {
        match n {
            1 => Self::Fenced,
            2 => Self::Seated,
            3 => Self::Promised,
            4 => Self::Full,
            _ => Self::None,
        }
    }

    /// The number of this level in heartbeats.
    pub const fn to_wire(self) -> u32 {
        self as u32
    }
}

/// Durations for leases, promises and takeover. They must be equal on all nodes of a cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseSettings {
    /// Name of the cell. All keys start with `cell/<cell>/`.
    pub cell: String,
    /// Validity of a renewal, counted from when it was sent.
    pub ttl: Ms,
    /// Subtracted by the holder from each validity, to allow for clocks that run at different
    /// speeds.
    pub clock_drift: Ms,
    /// Added by a claimant to each wait, to allow for clocks that run at different speeds.
    pub wait_margin: Ms,
    /// Validity of a promise, counted from when it was requested. Must be less than
    /// `takeover_wait`.
    pub promise_validity: Ms,
    /// Maximum extension by promises for endpoints without fence checks.
    pub max_extension: Ms,
    /// Wait before the first takeover after the table service has started or resumed
    /// answering.
    pub takeover_wait: Ms,
    /// Interval between scans of the cell's rows while no holder is suspect.
    pub scan_interval: Ms,
    /// Interval between scans while a holder is suspect or leaving.
    pub fast_scan: Ms,
    /// Time without a heartbeat after which a node is suspect and is probed.
    pub suspect_after: Ms,
    /// Maximum time for which permits and orders of a former owner remain usable.
    pub order_lifetime: Ms,
    /// Time for which a node must have been live before others release resources to it.
    pub steady_after: Ms,
    /// Delay per rank before a node claims a resource that a higher-ranked node has not
    /// claimed. Must exceed `scan_interval`, so that a node that releases a resource to
    /// another does not claim it again before the other has read the release.
    pub rank_delay: Ms,
    /// Time without an answer after which the outcome of an operation counts as unknown.
    pub timeout: Ms,
    /// Age from which rows of ended incarnations are deleted.
    pub sweep_after: Ms,
}

impl Default for LeaseSettings {
    /// Uses a TTL of 3 s, renewed every second. A failed holder is replaced at most 1 s
    /// (suspicion) + 0.5 s (scan) + 3.25 s (TTL and margin) after it fails. The scan interval
    /// results in 2.5 scans/s for 5 nodes and 600 scans/s for 1,200 nodes.
    fn default() -> Self {
        Self {
            cell: "0".to_owned(),
            ttl: Ms::secs(3),
            clock_drift: Ms(100),
            wait_margin: Ms(250),
            promise_validity: Ms::secs(2),
            max_extension: Ms::secs(30),
            takeover_wait: Ms::secs(4),
            scan_interval: Ms::secs(2),
            fast_scan: Ms(500),
            suspect_after: Ms::secs(1),
            order_lifetime: Ms::secs(2),
            steady_after: Ms::secs(10),
            rank_delay: Ms(2500),
            timeout: Ms::secs(2),
            sweep_after: Ms::secs(600),
        }
    }
}

impl LeaseSettings {
    /// Interval between renewals.
    pub const fn renewal_interval(&self) -> Ms {
        Ms(self.ttl.0 / 3)
    }

    /// Prefix of all keys of the cell.
    pub fn prefix(&self) -> String {
        format!("cell/{}/", self.cell)
    }

    /// Key of a node's row.
    pub fn node_key(&self, node: &Node) -> String {
        format!("cell/{}/node/{node}", self.cell)
    }

    /// Time for which a row must stay unchanged to prove that its renewal has expired.
    pub(crate) fn row_expiry(&self) -> Ms {
        self.ttl + self.wait_margin
    }
}

/// State of a node incarnation, as recorded in its row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum NodeState {
    /// The node owns resources and claims more.
    Live,
    /// The node is shutting down and claims nothing.
    Draining,
    /// The node has released its lease or was evicted. It must acquire a new lease before it
    /// can own resources.
    Gone,
}

/// Value of a node's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRow {
    /// Number of renewals.
    pub counter: u64,
    /// When the renewal was sent, by the node's own clock.
    pub sent: Ms,
    /// State of the node.
    pub state: NodeState,
    /// Nodes whose promises are required to extend the lease.
    pub peers: BTreeSet<Node>,
    /// Whether the node was evicted only because it was silent for too long. It may then still
    /// use its seats.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub presumed: bool,
}

/// Lease of one node and its extension by promises.
#[derive(Clone, Debug)]
pub struct Lease {
    node: Node,
    settings: LeaseSettings,
    /// Version of the node's own row; `None` if there is no row.
    pub(crate) version: Option<u64>,
    pub(crate) counter: u64,
    /// Peers named in the committed row or in a row that may still commit.
    pub(crate) required_peers: BTreeSet<Node>,
    /// End of the validity by renewal.
    valid_until: Ms,
    /// End of the extension by promises, limited by `max_extension`.
    promised_until: Ms,
    /// End of the extension by promises for quota seats, which has no limit.
    seated_until: Ms,
    /// When the lease last became valid by a renewal.
    valid_since: Option<Ms>,
    /// When the table service or a peer last answered.
    last_contact: Option<Ms>,
    /// Whether the last renewal failed.
    renewal_failed: bool,
    /// Sending time of the unanswered renewal.
    pub(crate) renewal_sent: Option<Ms>,
    /// When the next renewal is due.
    pub(crate) next_renewal: Ms,
}

impl Lease {
    /// Creates a lease that is not yet valid.
    pub fn new(node: Node, settings: LeaseSettings, now: Ms) -> Self {
        Self {
            node,
            settings,
            version: None,
            counter: 0,
            required_peers: BTreeSet::new(),
            valid_until: Ms(0),
            promised_until: Ms(0),
            seated_until: Ms(0),
            valid_since: None,
            last_contact: None,
            renewal_failed: false,
            renewal_sent: None,
            next_renewal: now,
        }
    }

    /// The node that holds the lease.
    pub fn node(&self) -> &Node {
        &self.node
    }

    /// The settings of the lease.
    pub fn settings(&self) -> &LeaseSettings {
        &self.settings
    }

    /// Number of committed renewals.
    pub fn counter(&self) -> u64 {
        self.counter
    }

    /// The level of the node's authority.
    pub fn level(&self, now: Ms) -> AuthorityLevel {
        if now < self.valid_until {
            AuthorityLevel::Full
        } else if now < self.promised_until {
            AuthorityLevel::Promised
        } else if now < self.seated_until {
            AuthorityLevel::Seated
        } else if self.last_contact.is_some_and(|at| now.since(at) < self.settings.ttl) {
            AuthorityLevel::Fenced
        } else {
            AuthorityLevel::None
        }
    }

    /// Whether renewals fail or remain unanswered, so that the lease needs promises.
    pub fn renewals_failing(&self, now: Ms) -> bool {
        let late = Ms(self.settings.renewal_interval().0 / 2);
        self.renewal_failed
            || self.valid_until <= now
            || self.renewal_sent.is_some_and(|at| now.since(at) >= late)
    }

    /// Whether the last committed renewal was sent less than a quarter of the renewal interval
    /// ago.
    pub(crate) fn recently_renewed(&self, now: Ms) -> bool {
        let recent = Ms(self.settings.renewal_interval().0 / 4);
        !self.renewals_failing(now)
            && now + self.settings.ttl < self.valid_until + self.settings.clock_drift + recent
    }

    /// When the lease last became valid, if it still is.
    pub(crate) fn full_since(&self, now: Ms) -> Option<Ms> {
        self.valid_since.filter(|_| now < self.valid_until)
    }

    /// Records that a peer or the table service answered.
    pub(crate) fn note_contact(&mut self, at: Ms) {
        self.last_contact = self.last_contact.max(Some(at));
    }

    /// Records a failed renewal.
    pub(crate) fn note_failure(&mut self) {
        self.renewal_failed = true;
        self.renewal_sent = None;
    }

    /// Records a committed renewal, given by its row and the version of that row.
    pub(crate) fn confirm(&mut self, now: Ms, version: u64, row: &NodeRow) {
        let end = row.sent + self.settings.ttl - self.settings.clock_drift;
        if self.valid_until <= now {
            self.valid_since = Some(now);
        }
        // A renewal that has had no effect yet can still commit while the version is
        // unchanged.
        if self.version != Some(version) {
            self.required_peers.clear();
        }
        self.required_peers.extend(row.peers.iter().cloned());
        self.version = Some(version);
        self.counter = self.counter.max(row.counter);
        self.valid_until = self.valid_until.max(end);
        self.renewal_failed = false;
        self.renewal_sent = None;
        self.note_contact(row.sent.min(now));
    }

    /// Extends the lease to `end` if it has not expired. Only the extension for seats may
    /// exceed `max_extension`.
    pub(crate) fn extend(&mut self, now: Ms, end: Ms) {
        if now < self.valid_until.max(self.seated_until) {
            self.seated_until = self.seated_until.max(end);
        }
        let end = end.min(self.valid_until + self.settings.max_extension);
        if now < self.valid_until.max(self.promised_until) {
            self.promised_until = self.promised_until.max(end);
        }
    }

    /// Resets the lease. `version` is the version of the node's row in the table.
    pub(crate) fn reset(&mut self, version: Option<u64>) {
        self.version = version;
        self.valid_until = Ms(0);
        self.promised_until = Ms(0);
        self.seated_until = Ms(0);
        self.valid_since = None;
        self.required_peers.clear();
        self.renewal_sent = None;
        self.next_renewal = Ms(0);
    }
}
