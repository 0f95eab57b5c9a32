//! Settings, messages and state types of the quota module.

use std::collections::BTreeMap;

use crate::ids::{Map, Node, Team};
use crate::time::Ms;

/// Times and limits of the quota module.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaSettings {
    /// Duration of a loan, from the sending of its request.
    pub loan_term: Ms,
    /// Fixed safety margin at either end of a loan.
    pub margin: Ms,
    /// Largest difference between the speeds of two clocks, in thousandths.
    pub drift_permille: u64,
    /// Longest time for which a permit of a concurrency limit is held.
    pub max_hold: Ms,
    /// Longest wait for the response to a loan request before the node decides without it.
    pub response_wait: Ms,
    /// Shortest time between two rounds of loan requests for one team.
    pub request_interval: Ms,
    /// Longest time between two calls over which buckets refill.
    pub max_gap: Ms,
}

impl Default for QuotaSettings {
    fn default() -> Self {
        Self {
            loan_term: Ms(4000),
            margin: Ms(50),
            drift_permille: 5,
            max_hold: Ms(1500),
            response_wait: Ms(50),
            request_interval: Ms(100),
            max_gap: Ms(2000),
        }
    }
}

impl QuotaSettings {
    /// Safety margin of a loan of `term`, with the possible drift between two clocks.
    pub(crate) fn slack(&self, term: Ms) -> Ms {
        self.margin + Ms(term.0 * self.drift_permille / 1000)
    }

    /// Time from the end of a former holder's authority until all loans of its seats
    /// have ended. A new holder must not refill the seats earlier.
    pub fn quiet_period(&self) -> Ms {
        self.loan_term + self.slack(self.loan_term) + self.margin
    }
}

/// Request for a loan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoanRequest {
    /// The team concerned.
    pub team: Team,
    /// Number of the request; increases with each request of the borrower.
    pub id: u64,
    /// Number of the lender's newest loan that the borrower has received, or 0.
    pub holds: u64,
    /// Whether the borrower has already reduced its current loan to the shares below.
    pub returns: bool,
    /// Micro-tokens to transfer.
    pub stock: u64,
    /// Micro-tokens, with the capacity for them, that a waiting request lacks.
    pub least: u64,
    /// Rate that replaces the current loan's, out of [`TOTAL_SHARES`](crate::quota::TOTAL_SHARES).
    pub rate: u64,
    /// Capacity that replaces the current loan's, out of
    /// [`TOTAL_SHARES`](crate::quota::TOTAL_SHARES).
    pub burst: u64,
    /// Permits that replace the current loan's.
    pub permits: u64,
}

/// Loan that the lender has already debited; replaces its earlier loans to the borrower.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Loan {
    /// The team concerned.
    pub team: Team,
    /// Number of the loan request.
    pub id: u64,
    /// Micro-tokens transferred.
    pub stock: u64,
    /// Rate lent, out of [`TOTAL_SHARES`](crate::quota::TOTAL_SHARES).
    pub rate: u64,
    /// Capacity lent, out of [`TOTAL_SHARES`](crate::quota::TOTAL_SHARES).
    pub burst: u64,
    /// Permits lent.
    pub permits: u64,
    /// Whether other nodes wait for permits, so that idle ones are returned at once.
    pub scarce: bool,
    /// Duration of the loan from the sending of its request.
    pub term: Ms,
}

/// Amounts of one team's quota that a node can lend; a hint sent with heartbeats.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaLevel {
    /// The team concerned.
    pub team: Team,
    /// Available micro-tokens beyond the node's own demand.
    pub stock: u64,
    /// Shares of the rate beyond the node's own demand, including lent ones.
    pub rate: u64,
    /// Shares of the burst beyond the node's own demand, including lent ones.
    pub burst: u64,
    /// Permits of the node's seats, including lent ones.
    pub permits: u64,
    /// Seats that refill at the node.
    pub seats: u64,
}

/// State of one team's quota on one node, as of its last refill.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QuotaSnapshot {
    /// Available micro-tokens; negative is debt.
    pub stock: i64,
    /// Most available micro-tokens.
    pub capacity: i64,
    /// Refill in micro-tokens per second.
    pub rate: u64,
    /// Micro-tokens lent and not yet acknowledged.
    pub in_flight: u64,
    /// Seats held, including those that do not refill yet.
    pub seats: usize,
    /// Open reservations.
    pub in_use: u64,
    /// Permits that this node may use, including borrowed ones.
    pub permits: u64,
}

/// Levels that the peers of the cell reported last.
#[derive(Clone, Debug, Default)]
pub struct PeerLevels(pub(crate) BTreeMap<Node, Map<Team, QuotaLevel>>);

impl PeerLevels {
    /// Replaces the levels of a peer by those of its heartbeat.
    pub fn set(&mut self, node: &Node, levels: &[QuotaLevel]) {
        let levels = levels.iter().map(|l| (l.team.clone(), l.clone())).collect();
        self.0.insert(node.clone(), levels);
    }

    /// Seats of a team that refill at a peer, by its last report.
    pub(crate) fn seats(&self, node: &Node, team: &Team) -> u64 {
        self.0.get(node).and_then(|l| l.get(team)).map_or(0, |l| l.seats)
    }

    /// Removes a peer that no longer answers.
    pub fn remove(&mut self, node: &Node) {
        self.0.remove(node);
    }
}
