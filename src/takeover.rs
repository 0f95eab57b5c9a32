//! Evidence that another node has no authority left.
//!
//! All waits count from the scan that first showed the present version of the
//! other node's row. A renewal that is still under way changes the version, and
//! the eviction, which is conditional on the version, then fails.

use crate::ids::Node;
use crate::lease::{AuthorityLevel, LeaseSettings, NodeRow, NodeState};
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
        level: AuthorityLevel,
    },
}

/// Why a node may be evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// Its process refused a connection.
    Refused,
    /// Its VM was listed and is no longer.
    Unlisted,
    /// It reported itself without authority after its last renewal had expired.
    Powerless,
    /// Its renewal expired and it needs a promise of this node, which has given none.
    Unextended,
    /// It has been silent for longer than promises can extend a lease.
    Overdue,
}

/// What a node knows about another node of the cell.
#[derive(Clone, Debug)]
pub(crate) struct Known {
    /// Value of its row.
    pub(crate) row: NodeRow,
    /// Version of its row.
    pub(crate) version: u64,
    /// First scan that showed this version.
    pub(crate) since: Ms,
    /// First scan that showed the node alive.
    pub(crate) first: Ms,
}

/// Probes of one node and what they and the VM list showed.
#[derive(Clone, Debug, Default)]
pub(crate) struct Probed {
    /// Sending of the oldest probe without an answer.
    pub(crate) sent: Option<Ms>,
    /// When to probe next.
    pub(crate) next: Ms,
    /// Level reported to the probe sent at the instant.
    pub(crate) report: Option<(Ms, AuthorityLevel)>,
    /// Whether the process has ended.
    pub(crate) refused: bool,
    /// Whether the VM list ever showed it.
    pub(crate) listed: bool,
    /// Whether the VM list showed it and no longer does.
    pub(crate) unlisted: bool,
    /// Since when the VM list has not shown it, whether or not it ever did.
    pub(crate) absent: Option<Ms>,
}

impl Probed {
    /// Whether the incarnation can no longer act.
    pub(crate) fn ended(&self) -> bool {
        self.refused || self.unlisted
    }
}

impl Known {
    /// Whether the lease of the present row has ended, promises aside.
    pub(crate) fn expired(&self, now: Ms, settings: &LeaseSettings) -> bool {
        now.since(self.since) >= settings.expiry()
    }

    /// Whether the node takes part in the choice of owners.
    pub(crate) fn live(&self, now: Ms, settings: &LeaseSettings) -> bool {
        self.row.state == NodeState::Live && !self.expired(now, settings)
    }

    /// Whether the node can no longer use its seats.
    ///
    /// Promises extend seats without a bound, so that silence alone proves nothing:
    /// a seat stays idle rather than having two holders.
    pub(crate) fn unseated(
        &self,
        now: Ms,
        probed: Option<&Probed>,
        settings: &LeaseSettings,
    ) -> bool {
        if self.row.state != NodeState::Gone {
            return false;
        }
        // The list lags behind, but not by as long as the node has been silent.
        let absent = probed.and_then(|p| p.absent).map(|at| at.max(self.since));
        let report = probed.and_then(|p| p.report).filter(|(sent, _)| *sent >= self.since);
        !self.row.presumed
            || probed.is_some_and(Probed::ended)
            || absent.is_some_and(|at| now.since(at) >= settings.bound)
            || report.is_some_and(|(_, level)| level < AuthorityLevel::Seated)
    }

    /// Evidence that allows an eviction of this node by `me`.
    pub(crate) fn evidence(
        &self,
        now: Ms,
        me: &Node,
        probed: Option<&Probed>,
        settings: &LeaseSettings,
    ) -> Option<Evidence> {
        if probed.is_some_and(|p| p.refused) {
            return Some(Evidence::Refused);
        }
        if !self.expired(now, settings) {
            return None;
        }
        let expiry = self.since + settings.expiry();
        if probed.is_some_and(|p| p.unlisted) {
            return Some(Evidence::Unlisted);
        }
        // An earlier report could precede a late answer to the last renewal.
        let report = probed.and_then(|p| p.report).filter(|(sent, _)| *sent >= expiry);
        if report.is_some_and(|(_, level)| level < AuthorityLevel::Seated) {
            return Some(Evidence::Powerless);
        }
        if self.row.peers.contains(me) {
            return Some(Evidence::Unextended);
        }
        (now >= expiry + settings.bound + settings.margin).then_some(Evidence::Overdue)
    }
}
