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
pub enum AuthorityLevel {
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

impl AuthorityLevel {
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
    pub drift: Ms,
    /// Added to every wait by a claimant, for clocks that run apart.
    pub margin: Ms,
    /// Validity of a promise, from the sending of its request; must be below `wait`.
    pub promise: Ms,
    /// Longest extension by promises for endpoints without fence checks.
    pub bound: Ms,
    /// Wait before the first takeover after the table service answers (again).
    pub wait: Ms,
    /// Time between two scans of the cell's rows while nothing is suspect.
    pub scan: Ms,
    /// Time between two scans while a holder is suspect or leaving.
    pub hurry: Ms,
    /// Silence after which a node is suspect and probed.
    pub suspect: Ms,
    /// Longest time that permits and orders of a former owner remain usable.
    pub settle: Ms,
    /// Time that a node must have been live before others release resources to it.
    pub steady: Ms,
    /// Delay per rank before a node claims what a better-placed node left free;
    /// above `scan`, so that a releasing node does not claim again before the
    /// node that it released to has seen the release.
    pub rank: Ms,
    /// Time without answer after which an operation's outcome counts as unknown.
    pub timeout: Ms,
    /// Age at which the rows of ended incarnations are deleted.
    pub sweep: Ms,
}

impl Default for LeaseSettings {
    /// TTL 3 s with renewal every second. A silent holder is replaced at most
    /// 1 s (suspicion) + 0.5 s (scan) + 3.25 s (TTL and margin) after its death.
    /// The scan period gives 2.5 scans/s for 5 nodes and 600 for 1,200.
    fn default() -> Self {
        Self {
            cell: "0".to_owned(),
            ttl: Ms::secs(3),
            drift: Ms(100),
            margin: Ms(250),
            promise: Ms::secs(2),
            bound: Ms::secs(30),
            wait: Ms::secs(4),
            scan: Ms::secs(2),
            hurry: Ms(500),
            suspect: Ms::secs(1),
            settle: Ms::secs(2),
            steady: Ms::secs(10),
            rank: Ms(2500),
            timeout: Ms::secs(2),
            sweep: Ms::secs(600),
        }
    }
}

impl LeaseSettings {
    /// Time between two renewals.
    pub const fn renewal(&self) -> Ms {
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
    pub(crate) fn expiry(&self) -> Ms {
        self.ttl + self.margin
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
    pub(crate) pledged: BTreeSet<Node>,
    /// End of the validity by renewal.
    until: Ms,
    /// End of the validity by promises, within the bound.
    extended: Ms,
    /// End of the validity by promises for quota seats, without a bound.
    seated: Ms,
    /// Start of the present validity by renewals, without a lapse in between.
    since: Option<Ms>,
    /// Last instant at which the table service or a peer was heard.
    heard: Option<Ms>,
    /// Whether the last renewal failed.
    failing: bool,
    /// Sending of a renewal whose answer is outstanding.
    pub(crate) sent: Option<Ms>,
    /// When to renew next.
    pub(crate) next: Ms,
}

impl Lease {
    /// A lease that is not yet valid.
    pub fn new(node: Node, settings: LeaseSettings, now: Ms) -> Self {
        Self {
            node,
            settings,
            version: None,
            counter: 0,
            pledged: BTreeSet::new(),
            until: Ms(0),
            extended: Ms(0),
            seated: Ms(0),
            since: None,
            heard: None,
            failing: false,
            sent: None,
            next: now,
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
    pub fn level(&self, now: Ms) -> AuthorityLevel {
        if now < self.until {
            AuthorityLevel::Full
        } else if now < self.extended {
            AuthorityLevel::Promised
        } else if now < self.seated {
            AuthorityLevel::Seated
        } else if self.heard.is_some_and(|at| now.since(at) < self.settings.ttl) {
            AuthorityLevel::Fenced
        } else {
            AuthorityLevel::None
        }
    }

    /// Whether commits fail or remain unanswered, so that promises are due.
    pub fn cut_off(&self, now: Ms) -> bool {
        let late = Ms(self.settings.renewal().0 / 2);
        self.failing || self.until <= now || self.sent.is_some_and(|at| now.since(at) >= late)
    }

    /// Whether the last committed renewal was sent a moment ago.
    pub(crate) fn fresh(&self, now: Ms) -> bool {
        let recent = Ms(self.settings.renewal().0 / 4);
        !self.cut_off(now) && now + self.settings.ttl < self.until + self.settings.drift + recent
    }

    /// Start of the unbroken validity by renewals.
    pub(crate) fn full_since(&self, now: Ms) -> Option<Ms> {
        self.since.filter(|_| now < self.until)
    }

    /// Notes that a peer or the table service was heard.
    pub(crate) fn hear(&mut self, at: Ms) {
        self.heard = self.heard.max(Some(at));
    }

    /// Notes a failed renewal.
    pub(crate) fn fail(&mut self) {
        self.failing = true;
        self.sent = None;
    }

    /// Notes that the renewal sent at `sent` is in force.
    pub(crate) fn confirm(&mut self, now: Ms, version: u64, row: &NodeRow) {
        let end = row.sent + self.settings.ttl - self.settings.drift;
        if self.until <= now {
            self.since = Some(now);
        }
        // A renewal without effect so far may still commit on an unchanged version.
        if self.version != Some(version) {
            self.pledged.clear();
        }
        self.pledged.extend(row.peers.iter().cloned());
        self.version = Some(version);
        self.counter = self.counter.max(row.counter);
        self.until = self.until.max(end);
        self.failing = false;
        self.sent = None;
        self.hear(row.sent.min(now));
    }

    /// Extends the lease up to `end` without a gap, for seats beyond the bound.
    pub(crate) fn extend(&mut self, now: Ms, end: Ms) {
        if now < self.until.max(self.seated) {
            self.seated = self.seated.max(end);
        }
        let end = end.min(self.until + self.settings.bound);
        if now < self.until.max(self.extended) {
            self.extended = self.extended.max(end);
        }
    }

    /// Drops the lease; `version` is that of the row now in the table.
    pub(crate) fn reset(&mut self, version: Option<u64>) {
        self.version = version;
        self.until = Ms(0);
        self.extended = Ms(0);
        self.seated = Ms(0);
        self.since = None;
        self.pledged.clear();
        self.sent = None;
        self.next = Ms(0);
    }
}
