//! Evidence that another node has no authority left.
//!
//! All waits count from the scan that first showed the present version of the
//! other node's row. A renewal that is still under way changes the version, and
//! the eviction, which is conditional on the version, then fails.

use crate::ids::Node;
use crate::lease::{LeaseSettings, Level, NodeRow, NodeState};
use crate::time::Ms;

/// Result of a probe on a fresh connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The connection was refused: the process has ended.
    Refused,
    /// No answer.
    Silent,
    /// The node answered with its own level.
    Reached {
        /// Level that the node reports.
        level: Level,
    },
}

/// Why a node may be evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvictReason {
    /// Its process refused a connection.
    Refused,
    /// Its VM was listed and is no longer.
    Unlisted,
    /// It reported itself without authority after its last renewal had expired.
    NoAuthority,
    /// Its renewal expired and it needs a promise of this node, which has given none.
    Unpromised,
    /// It has been silent for longer than promises can extend a lease.
    Overdue,
}

/// What a node knows about another node of the cell.
#[derive(Clone, Debug)]
pub(crate) struct KnownNode {
    /// Value of its row.
    pub(crate) row: NodeRow,
    /// Version of its row.
    pub(crate) version: u64,
    /// First scan that showed this version.
    pub(crate) version_since: Ms,
    /// First scan that showed the node alive.
    pub(crate) live_since: Ms,
}

/// Probes of one node and what they and the VM list showed.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProbeState {
    /// Sending of the oldest probe without an answer.
    pub(crate) sent: Option<Ms>,
    /// When to probe next.
    pub(crate) next_probe: Ms,
    /// Level reported to the probe sent at the instant.
    pub(crate) report: Option<(Ms, Level)>,
    /// Whether the process has ended.
    pub(crate) refused: bool,
    /// Whether the VM list ever showed it.
    pub(crate) ever_listed: bool,
    /// Whether the VM list showed it and no longer does.
    pub(crate) unlisted: bool,
    /// Since when the VM list has not shown it, whether or not it ever did.
    pub(crate) absent_since: Option<Ms>,
}

impl ProbeState {
    /// Whether the incarnation can no longer act.
    pub(crate) fn ended(&self) -> bool {
        self.refused || self.unlisted
    }
}

impl KnownNode {
    /// Whether the lease of the present row has ended, promises aside.
    pub(crate) fn expired(&self, now: Ms, settings: &LeaseSettings) -> bool {
        now.since(self.version_since) >= settings.row_expiry()
    }

    /// Whether the node takes part in the choice of owners.
    pub(crate) fn live(&self, now: Ms, settings: &LeaseSettings) -> bool {
        self.row.state == NodeState::Live && !self.expired(now, settings)
    }

    /// Whether the node can no longer use its seats.
    ///
    /// Promises extend seats without a bound, so that silence alone proves nothing:
    /// a seat stays idle rather than having two holders.
    pub(crate) fn seats_unused(
        &self,
        now: Ms,
        probed: Option<&ProbeState>,
        settings: &LeaseSettings,
    ) -> bool {
        if self.row.state != NodeState::Gone {
            return false;
        }
        // The list lags behind, but not by as long as the node has been silent.
        let absent = probed.and_then(|p| p.absent_since).map(|at| at.max(self.version_since));
        let report = probed.and_then(|p| p.report).filter(|(sent, _)| *sent >= self.version_since);
        !self.row.presumed
            || probed.is_some_and(ProbeState::ended)
            || absent.is_some_and(|at| now.since(at) >= settings.max_extension)
            || report.is_some_and(|(_, level)| level < Level::Seated)
    }

    /// Evidence that allows an eviction of this node by `me`.
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
        // An earlier report could precede a late answer to the last renewal.
        let report = probed.and_then(|p| p.report).filter(|(sent, _)| *sent >= expiry);
        if report.is_some_and(|(_, level)| level < Level::Seated) {
            return Some(EvictReason::NoAuthority);
        }
        if self.row.peers.contains(me) {
            return Some(EvictReason::Unpromised);
        }
        (now >= expiry + settings.max_extension + settings.wait_margin)
            .then_some(EvictReason::Overdue)
    }
}
