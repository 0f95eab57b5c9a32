//! Whether the store answers, and since when.
//!
//! Endpoints that cannot refresh their entries during an outage lose them, and write them again
//! soon after the store's return. An entry that is missing then is not yet a departure. An outage
//! in which no entry can lapse changes nothing.

use crate::time::Ms;

/// Time after the store's return within which endpoints write lapsed entries again.
const LAPSED_ENTRY_GRACE: Ms = Ms(2_300);
/// Intervals of the endpoints' refreshes that an outage takes at least to make an entry lapse: an
/// entry lapses after three intervals, and the last refresh may be one interval old.
const LAPSE_INTERVALS: u64 = 2;

/// What this node's calls show about the store.
#[derive(Clone, Copy, Debug)]
pub struct StoreHealth {
    /// Shortest outage in which entries can lapse.
    shortest: Ms,
    /// Last answer; `None` before the first one.
    answered: Option<Ms>,
    /// Whether a call has failed since the last answer.
    failing: bool,
    /// End of the last outage in which entries can have lapsed.
    returned: Option<Ms>,
}

impl StoreHealth {
    /// Creates the state before the first call. Endpoints refresh their entries at intervals of
    /// `entry_interval`.
    pub fn new(entry_interval: Ms) -> Self {
        let shortest = Ms(entry_interval.0 * LAPSE_INTERVALS);
        Self { shortest, answered: None, failing: false, returned: None }
    }

    /// Records a call that the store answered.
    pub fn on_answer(&mut self, now: Ms) {
        let is_outage = |answered: Ms| now.since(answered) >= self.shortest;
        if self.failing && self.answered.is_none_or(is_outage) {
            self.returned = Some(now);
        }
        self.answered = Some(now);
        self.failing = false;
    }

    /// Records a call that failed or is overdue.
    pub fn on_failure(&mut self) {
        self.failing = true;
    }

    /// Records that the store was restored from a copy, which may lack entries.
    pub fn on_restored(&mut self, now: Ms) {
        self.returned = Some(now);
    }

    /// Whether calls have failed since the last answer.
    pub fn is_failing(&self) -> bool {
        self.failing
    }

    /// Whether an entry that is missing may have lapsed in an outage and come back.
    pub fn may_come_back(&self, now: Ms) -> bool {
        self.returned.is_some_and(|at| now.since(at) < LAPSED_ENTRY_GRACE)
    }

    /// Whether calls fail, or an outage has ended within `time`.
    pub fn is_disturbed(&self, now: Ms, time: Ms) -> bool {
        self.failing || self.returned.is_some_and(|at| now.since(at) < time)
    }
}
