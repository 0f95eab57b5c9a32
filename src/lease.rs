//! Node lease: the authority of one node over everything that it owns.
//!
//! A node renews one table row. The lease is valid from an instant before the
//! renewal was sent, for the TTL minus a drift margin, on a clock that counts
//! through suspension. When the table service does not answer, promises of the
//! peers extend the lease (see [`crate::promise`]).
//!
//! Authority over resources without fence checks ends at the first instant at
//! which neither the lease nor promises cover it. Only a renewal that commits
//! restores it; later promises do not. Takeover relies on this rule: a holder
//! found without authority regains it only by a renewal, and that renewal and the
//! claimant's eviction are conditional on the same version of the same row.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::ids::Node;
use crate::time::Ms;

/// Authority of a node, in increasing order.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub enum Level {
    /// Neither the table service nor a peer is heard: admits nothing.
    #[default]
    None,
    /// Lease lapsed, peers heard: only endpoints that check fences, and inference.
    Fenced,
    /// Lease extended by promises beyond the bound: also quota seats.
    Seated,
    /// Lease extended by the promises of all peers, within the bound.
    Promised,
    /// Lease valid.
    Full,
}

impl Level {
    /// The level of its number in a heartbeat; unknown numbers count as `None`.
    pub const fn from_wire(n: u32) -> Self {
        match n {
            1 => Self::Fenced,
            2 => Self::Seated,
            3 => Self::Promised,
            4 => Self::Full,
            _ => Self::None,
        }
    }

    /// The number of this level in a heartbeat.
    pub const fn to_wire(self) -> u32 {
        self as u32
    }
}

/// Durations of leases, promises and takeover; equal on all nodes of a cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseSettings {
    /// Name of the cell; all keys start with `cell/<cell>/`.
    pub cell: String,
    /// Validity of a renewal, from its sending.
    pub ttl: Ms,
    /// Subtracted from every validity by its holder, for clocks that run apart.
    pub clock_drift: Ms,
    /// Added to every wait by a claimant, for clocks that run apart.
    pub wait_margin: Ms,
    /// Validity of a promise, from the sending of its request; must be below `wait`.
    pub promise_validity: Ms,
    /// Longest extension by promises for endpoints without fence checks.
    pub max_extension: Ms,
    /// Wait before the first takeover after the table service answers (again).
    pub takeover_wait: Ms,
    /// Time between two scans of the cell's rows while nothing is suspect.
    pub scan_interval: Ms,
    /// Time between two scans while a holder is suspect or leaving.
    pub fast_scan: Ms,
    /// Silence after which a node is suspect and probed.
    pub suspect_after: Ms,
    /// Longest time that permits and orders of a former owner remain usable.
    pub order_lifetime: Ms,
    /// Time that a node must have been live before others release resources to it.
    pub steady_after: Ms,
    /// Delay per rank before a node claims what a better-placed node left free;
    /// above `scan`, so that a releasing node does not claim again before the
    /// node that it released to has seen the release.
    pub rank_delay: Ms,
    /// Time without answer after which an operation's outcome counts as unknown.
    pub timeout: Ms,
    /// Age at which the rows of ended incarnations are deleted.
    pub sweep_after: Ms,
}

impl Default for LeaseSettings {
    /// TTL 3 s with renewal every second. A silent holder is replaced at most
    /// 1 s (suspicion) + 0.5 s (scan) + 3.25 s (TTL and margin) after its death.
    /// The scan period gives 2.5 scans/s for 5 nodes and 600 for 1,200.
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
    /// Time between two renewals.
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

    /// Time for which an unchanged row proves that its lease has ended.
    pub(crate) fn row_expiry(&self) -> Ms {
        self.ttl + self.wait_margin
    }
}

/// Condition of a node incarnation, as its row states it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum NodeState {
    /// Owns resources and claims more.
    Live,
    /// Is shutting down and claims nothing.
    Draining,
    /// Released its lease, or was evicted; may only start again from nothing.
    Gone,
}

/// Value of a node's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRow {
    /// Renewals so far.
    pub counter: u64,
    /// When the renewal was sent, on the node's own clock.
    pub sent: Ms,
    /// What the node does.
    pub state: NodeState,
    /// Nodes without whose promise the lease is not extended.
    pub peers: BTreeSet<Node>,
    /// Whether the node was evicted only for its long silence, so that it may still
    /// use its seats.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub presumed: bool,
}

/// Lease of one node, with its extension by promises.
#[derive(Clone, Debug)]
pub struct Lease {
    node: Node,
    settings: LeaseSettings,
    /// Version of the own row; `None` where there is none.
    pub(crate) version: Option<u64>,
    pub(crate) counter: u64,
    /// Nodes that the committed row, or one that may still commit, names.
    pub(crate) required_peers: BTreeSet<Node>,
    /// End of the validity by renewal.
    valid_until: Ms,
    /// End of the validity by promises, within the bound.
    promised_until: Ms,
    /// End of the validity by promises for quota seats, without a bound.
    seated_until: Ms,
    /// Start of the present validity by renewals, without a lapse in between.
    valid_since: Option<Ms>,
    /// Last instant at which the table service or a peer was heard.
    last_contact: Option<Ms>,
    /// Whether the last renewal failed.
    renewal_failed: bool,
    /// Sending of a renewal whose answer is outstanding.
    pub(crate) renewal_sent: Option<Ms>,
    /// When to renew next.
    pub(crate) next_renewal: Ms,
}

impl Lease {
    /// A lease that is not yet valid.
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

    /// Renewals that were committed.
    pub fn counter(&self) -> u64 {
        self.counter
    }

    /// The node's authority.
    pub fn level(&self, now: Ms) -> Level {
        if now < self.valid_until {
            Level::Full
        } else if now < self.promised_until {
            Level::Promised
        } else if now < self.seated_until {
            Level::Seated
        } else if self.last_contact.is_some_and(|at| now.since(at) < self.settings.ttl) {
            Level::Fenced
        } else {
            Level::None
        }
    }

    /// Whether commits fail or remain unanswered, so that promises are due.
    pub fn renewals_failing(&self, now: Ms) -> bool {
        let late = Ms(self.settings.renewal_interval().0 / 2);
        self.renewal_failed
            || self.valid_until <= now
            || self.renewal_sent.is_some_and(|at| now.since(at) >= late)
    }

    /// Whether the last committed renewal was sent a moment ago.
    pub(crate) fn recently_renewed(&self, now: Ms) -> bool {
        let recent = Ms(self.settings.renewal_interval().0 / 4);
        !self.renewals_failing(now)
            && now + self.settings.ttl < self.valid_until + self.settings.clock_drift + recent
    }

    /// Start of the unbroken validity by renewals.
    pub(crate) fn full_since(&self, now: Ms) -> Option<Ms> {
        self.valid_since.filter(|_| now < self.valid_until)
    }

    /// Notes that a peer or the table service was heard.
    pub(crate) fn note_contact(&mut self, at: Ms) {
        self.last_contact = self.last_contact.max(Some(at));
    }

    /// Notes a failed renewal.
    pub(crate) fn note_failure(&mut self) {
        self.renewal_failed = true;
        self.renewal_sent = None;
    }

    /// Notes that the renewal sent at `sent` is in force.
    pub(crate) fn confirm(&mut self, now: Ms, version: u64, row: &NodeRow) {
        let end = row.sent + self.settings.ttl - self.settings.clock_drift;
        if self.valid_until <= now {
            self.valid_since = Some(now);
        }
        // A renewal without effect so far may still commit on an unchanged version.
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

    /// Extends the lease up to `end` without a gap, for seats beyond the bound.
    pub(crate) fn extend(&mut self, now: Ms, end: Ms) {
        if now < self.valid_until.max(self.seated_until) {
            self.seated_until = self.seated_until.max(end);
        }
        let end = end.min(self.valid_until + self.settings.max_extension);
        if now < self.valid_until.max(self.promised_until) {
            self.promised_until = self.promised_until.max(end);
        }
    }

    /// Drops the lease; `version` is that of the row now in the table.
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
