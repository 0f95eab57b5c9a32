//! Conditions under which a node may be evicted.
//!
//! All waits start at the scan that first returned the current version of the other node's
//! row. A renewal in flight changes this version, which makes the eviction fail, because the
//! eviction is conditional on it. A row that is gone while its node owns resources proves nothing:
//! the node may have a lease under it, and is evicted like one whose row is unchanged.

use std::collections::BTreeSet;

use crate::ids::Node;
use crate::lease::{AuthorityLevel, LeaseSettings, NodeRow, NodeState};
use crate::storage::Cond;
use crate::time::Ms;

/// Result of a probe on a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The connection was refused, so the process has ended.
    Refused,
    /// The node did not answer.
    Silent,
    /// The node answered.
    Reached {
        /// Level of authority that the node reports.
        level: AuthorityLevel,
    },
}

/// Why a node may be evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvictReason {
    /// Its process refused a connection.
    Refused,
    /// Its VM was in the VM list and no longer is.
    Unlisted,
    /// It reported that it has no authority after its last renewal expired.
    NoAuthority,
    /// Its renewal expired, and the extension of its lease needs a promise from this node,
    /// which has not given one.
    Unpromised,
    /// It has been silent for longer than promises can extend a lease.
    Overdue,
}

/// The row of another node of the cell.
#[derive(Clone, Debug)]
pub(crate) struct KnownNode {
    /// Value of the row.
    pub(crate) row: NodeRow,
    /// Version of the row; `None` if it is gone.
    pub(crate) version: Option<u64>,
    /// Time of the first scan that returned this version, or no row.
    pub(crate) version_since: Ms,
    /// Time of the first scan that showed the node as not gone, or as no longer gone.
    pub(crate) live_since: Ms,
}

/// Results of the probes of a node, and its presence in the VM list.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProbeState {
    /// Sending time of the oldest unanswered probe.
    pub(crate) sent: Option<Ms>,
    /// When to send the next probe.
    pub(crate) next_probe: Ms,
    /// Last reported level, with the sending time of its probe.
    pub(crate) report: Option<(Ms, AuthorityLevel)>,
    /// Whether a probe was refused, so that the process has ended.
    pub(crate) refused: bool,
    /// Whether the VM list has ever contained the node.
    pub(crate) ever_listed: bool,
    /// Whether the VM list contained the node earlier and no longer does.
    pub(crate) unlisted: bool,
    /// Since when the VM list has not contained the node, whether or not it ever did.
    pub(crate) absent_since: Option<Ms>,
}

impl ProbeState {
    /// Whether the incarnation has certainly ended.
    pub(crate) fn ended(&self) -> bool {
        self.refused || self.unlisted
    }
}

impl KnownNode {
    /// A node that owns resources and has no row.
    pub(crate) fn without_row(now: Ms) -> Self {
        let row = NodeRow {
            counter: 0,
            sent: Ms(0),
            state: NodeState::Draining,
            peers: BTreeSet::new(),
            presumed: false,
        };
        Self { row, version: None, version_since: now, live_since: now }
    }

    /// Condition that the row has not changed since it was read.
    pub(crate) fn unchanged(&self) -> Cond {
        self.version.map_or(Cond::Absent, Cond::Version)
    }

    /// Whether the renewal of the current row has expired. Promises can still extend the
    /// lease.
    pub(crate) fn expired(&self, now: Ms, settings: &LeaseSettings) -> bool {
        now.since(self.version_since) >= settings.row_expiry()
    }

    /// Whether the node can own resources.
    pub(crate) fn live(&self, now: Ms, settings: &LeaseSettings) -> bool {
        self.row.state == NodeState::Live && !self.expired(now, settings)
    }

    /// Whether the node has certainly stopped using its seats.
    ///
    /// Promises extend the authority over seats without limit, so silence is not enough: an
    /// idle seat is acceptable, a seat with two holders is not.
    pub(crate) fn seats_unused(
        &self,
        now: Ms,
        probed: Option<&ProbeState>,
        settings: &LeaseSettings,
    ) -> bool {
        if self.row.state != NodeState::Gone {
            return false;
        }
        // The VM list can be outdated, but not for as long as the node has been silent.
        let absent = probed.and_then(|p| p.absent_since).map(|at| at.max(self.version_since));
        let report = probed.and_then(|p| p.report).filter(|(sent, _)| *sent >= self.version_since);
        !self.row.presumed
            || probed.is_some_and(ProbeState::ended)
            || absent.is_some_and(|at| now.since(at) >= settings.max_extension)
            || report.is_some_and(|(_, level)| level < AuthorityLevel::Seated)
    }

    /// The reason for which `me` may evict this node, if any.
    pub(crate) fn evict_reason(
        &self,
        now: Ms,
        me: &Node,
        probed: Option<&ProbeState>,
        settings: &LeaseSettings,
    ) -> Option<EvictReason> {
        if probed.is_some_and(|p| p.refused) {
            return Some(EvictReason::Refused);
        }
        if !self.expired(now, settings) {
            return None;
        }
        let expiry = self.version_since + settings.row_expiry();
        if probed.is_some_and(|p| p.unlisted) {
            return Some(EvictReason::Unlisted);
        }
        // A report from before the expiry could precede a late answer to the last renewal.
        let report = probed.and_then(|p| p.report).filter(|(sent, _)| *sent >= expiry);
        if report.is_some_and(|(_, level)| level < AuthorityLevel::Seated) {
            return Some(EvictReason::NoAuthority);
        }
        if self.row.peers.contains(me) {
            return Some(EvictReason::Unpromised);
        }
        (now >= expiry + settings.max_extension + settings.wait_margin)
            .then_some(EvictReason::Overdue)
    }
}
