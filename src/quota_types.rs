//! Settings and messages of the quota module.

use std::collections::BTreeMap;

use crate::ids::{Map, Node, Team};
use crate::time::Ms;

/// Times of the quota module.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaSettings {
    /// How long a loan lasts, from its ask.
    pub term: Ms,
    /// Fixed safety margin at either end of a loan.
    pub margin: Ms,
    /// Largest difference of two clocks' speeds, in thousandths.
    pub drift: u64,
    /// Longest time that a permit of a concurrency limit is held.
    pub hold: Ms,
    /// How long an ask may stay unanswered before the node decides without it.
    pub wait: Ms,
    /// Least time between two rounds of asks for one team.
    pub cool: Ms,
    /// Longest silence between calls over which buckets refill.
    pub gap: Ms,
}

impl Default for QuotaSettings {
    fn default() -> Self {
        Self {
            term: Ms(4000),
            margin: Ms(50),
            drift: 5,
            hold: Ms(1500),
            wait: Ms(50),
            cool: Ms(100),
            gap: Ms(2000),
        }
    }
}

impl QuotaSettings {
    pub(crate) fn slack(&self, term: Ms) -> Ms {
        self.margin + Ms(term.0 * self.drift / 1000)
    }

    /// Time from the end of a former holder's authority until all loans of its
    /// seats have ended; a new holder's `quiet_until` lies at least that late.
    pub fn quiet_period(&self) -> Ms {
        self.term + self.slack(self.term) + self.margin
    }
}

/// Request of a node for a loan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoanRequest {
    /// The team concerned.
    pub team: Team,
    /// Number of the ask, growing per asking node.
    pub id: u64,
    /// Newest loan of the receiver that the asker has received, or 0.
    pub holds: u64,
    /// Whether the asker has already cut its held loan to the shares below.
    pub returns: bool,
    /// Micro-tokens wanted at once.
    pub stock: u64,
    /// Micro-tokens, and capacity for them, that a waiting request lacks.
    pub least: u64,
    /// Rate wanted in place of the held loan, in parts of [`SHARES`](crate::quota::SHARES).
    pub rate: u64,
    /// Capacity wanted in place of the held loan, in parts of [`SHARES`](crate::quota::SHARES).
    pub burst: u64,
    /// Permits wanted in place of the held loan.
    pub permits: u64,
}

/// Loan, already debited by the lender; replaces the lender's earlier loans.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Loan {
    /// The team concerned.
    pub team: Team,
    /// Number of the ask.
    pub id: u64,
    /// Micro-tokens handed over.
    pub stock: u64,
    /// Rate handed over, in parts of [`SHARES`](crate::quota::SHARES).
    pub rate: u64,
    /// Capacity handed over, in parts of [`SHARES`](crate::quota::SHARES).
    pub burst: u64,
    /// Permits handed over.
    pub permits: u64,
    /// Whether others wait for permits, so that idle ones go back at once.
    pub scarce: bool,
    /// Duration of the loan from the sending of its ask.
    pub term: Ms,
}

/// What a node can lend of one team; carried by heartbeats as a hint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaLevel {
    /// The team concerned.
    pub team: Team,
    /// Micro-tokens in stock beyond the node's own need.
    pub stock: u64,
    /// Rate beyond the node's own need, lent parts included.
    pub rate: u64,
    /// Capacity beyond the node's own need, lent parts included.
    pub burst: u64,
    /// Permits beyond the node's own need, lent ones included.
    pub permits: u64,
    /// Seats that refill at the node; quiet ones do not count.
    pub seats: u64,
}

/// Levels that the cell's peers reported last.
#[derive(Clone, Debug, Default)]
pub struct PeerLevels(pub(crate) BTreeMap<Node, Map<Team, QuotaLevel>>);

impl PeerLevels {
    /// Records the levels of a peer's heartbeat.
    pub fn set(&mut self, node: &Node, levels: &[QuotaLevel]) {
        let levels = levels.iter().map(|l| (l.team.clone(), l.clone())).collect();
        self.0.insert(node.clone(), levels);
    }

    /// Seats of a team that refill at a peer, as it reported last.
    pub(crate) fn seats(&self, node: &Node, team: &Team) -> u64 {
        self.0.get(node).and_then(|l| l.get(team)).map_or(0, |l| l.seats)
    }

    /// Forgets a peer that no longer answers.
    pub fn remove(&mut self, node: &Node) {
        self.0.remove(node);
    }
}
