//! State machine of one attempt, and the retry budget and backoff.
//!
//! A request may be reported as "not run" only if each of its attempts was never
//! sent or was refused by the endpoint itself.

use rand::{Rng, RngExt};

use crate::error::{Error, Result};
use crate::failpoint::{Failpoint, active};
use crate::time::Ms;

/// State of one attempt to run a request on an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AttemptState {
    /// Nothing has been sent.
    #[default]
    Unsent,
    /// The first byte may have been sent.
    Sent,
    /// The endpoint has reported that it runs the request.
    Running,
    /// The endpoint has answered, or the request ended without running.
    Ended {
        /// Whether the request ran.
        ran: bool,
    },
    /// The outcome was lost, so the request may have run.
    Unknown,
}

/// Whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunStatus {
    /// It certainly did not run.
    No,
    /// It may have run.
    Unknown,
    /// It ran, at least in part.
    Yes,
}

impl RunStatus {
    /// Value of the field `ran` in a refusal record.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Unknown => "unknown",
            Self::Yes => "yes",
        }
    }
}

/// Event that changes the state of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEvent {
    /// The first byte is about to be sent.
    Send,
    /// The endpoint reports that it runs the request.
    Start,
    /// The endpoint's answer is complete.
    Answer,
    /// The endpoint refuses the request without running it.
    Refuse,
    /// The attempt is abandoned before anything was sent.
    Drop,
    /// The connection or the endpoint was lost.
    Lose,
    /// The endpoint's status query reports that the request has ended.
    Found,
}

impl AttemptState {
    /// Applies an event.
    ///
    /// ```
    /// use sycamorefork::attempt::{AttemptEvent, AttemptState, RunStatus};
    ///
    /// let mut state = AttemptState::Unsent;
    /// state.apply(AttemptEvent::Send).unwrap();
    /// assert_eq!(state.run_status(), RunStatus::Unknown);
    /// state.apply(AttemptEvent::Refuse).unwrap();
    /// assert_eq!(state.run_status(), RunStatus::No);
    /// assert!(state.apply(AttemptEvent::Send).is_err());
    /// ```
    ///
    /// # Errors
    /// An event that the state does not allow is an invariant violation; the state is
    /// unchanged.
    pub fn apply(&mut self, event: AttemptEvent) -> Result<()> {
        *self = match (*self, event) {
            (Self::Unsent, AttemptEvent::Send) => Self::Sent,
            (Self::Unsent, AttemptEvent::Drop) => Self::Ended { ran: false },
            (Self::Sent, AttemptEvent::Start) => Self::Running,
            (Self::Sent, AttemptEvent::Refuse) => Self::Ended { ran: false },
            (Self::Sent | Self::Running, AttemptEvent::Answer) => Self::Ended { ran: true },
            (Self::Sent | Self::Running, AttemptEvent::Lose) => Self::Unknown,
            (Self::Unknown, AttemptEvent::Found) => Self::Ended { ran: true },
            (state, event) => {
                let reason = format!("event {event:?} is not allowed in state {state:?}");
                return Err(Error::state("attempt", reason));
            }
        };
        Ok(())
    }

    /// Whether the request ran in this attempt.
    pub fn run_status(&self) -> RunStatus {
        match self {
            Self::Unsent | Self::Ended { ran: false } => RunStatus::No,
            Self::Running | Self::Ended { ran: true } => RunStatus::Yes,
            Self::Sent | Self::Unknown if active(Failpoint::FalseNotRun) => RunStatus::No,
            Self::Sent | Self::Unknown => RunStatus::Unknown,
        }
    }
}

/// Whether any attempt of one request so far may have run.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptHistory {
    may_have_run: bool,
}

impl AttemptHistory {
    /// Adds the last state of an attempt.
    pub fn record(&mut self, state: &AttemptState) {
        self.may_have_run |= state.run_status() != RunStatus::No;
    }

    /// Whether any attempt may have run; a refusal must not state "not run" then.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }
}

/// Cost of one retry, in millionths of a retry.
const RETRY_COST_MICROS: u64 = 1_000_000;

/// Limits retries to a fraction of first attempts plus a small constant rate.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    percent: u64,
    /// Retries per second that are allowed without first attempts.
    min_rate: u64,
    /// Retries that are available, in millionths.
    available: u64,
    refilled: Ms,
}

impl RetryBudget {
    /// Allows `percent` retries per 100 first attempts, plus `min_rate` retries per second.
    pub fn new(now: Ms, percent: u64, min_rate: u64) -> Self {
        Self { percent, min_rate, available: min_rate * RETRY_COST_MICROS, refilled: now }
    }

    /// Most retries that accumulate, in millionths: ten seconds of `min_rate`, at least 10.
    fn limit(&self) -> u64 {
        (self.min_rate * 10).max(10) * RETRY_COST_MICROS
    }

    fn refill(&mut self, now: Ms) {
        let gain =
            now.since(self.refilled).0.saturating_mul(self.min_rate * RETRY_COST_MICROS / 1000);
        self.available = self.available.saturating_add(gain).min(self.limit());
        self.refilled = self.refilled.max(now);
    }

    /// Counts the first attempt of a request.
    pub fn on_first_attempt(&mut self, now: Ms) {
        self.refill(now);
        self.available =
            (self.available + self.percent * RETRY_COST_MICROS / 100).min(self.limit());
    }

    /// Consumes one retry if the budget allows it.
    pub fn try_consume(&mut self, now: Ms) -> bool {
        self.refill(now);
        let enough = self.available >= RETRY_COST_MICROS;
        if enough {
            self.available -= RETRY_COST_MICROS;
        }
        enough
    }
}

/// Exponential backoff; each delay is random between half of the step and all of it.
#[derive(Clone, Debug)]
pub struct Backoff {
    base: Ms,
    max: Ms,
    /// Delays since the last reset.
    count: u32,
}

impl Backoff {
    /// Creates a backoff whose step doubles from `base` up to `max`.
    pub fn new(base: Ms, max: Ms) -> Self {
        Self { base, max, count: 0 }
    }

    /// Next delay.
    pub fn next(&mut self, rng: &mut impl Rng) -> Ms {
        let step = self.base.0.saturating_mul(1 << self.count.min(20)).min(self.max.0).max(1);
        self.count = self.count.saturating_add(1);
        Ms(rng.random_range(step.div_ceil(2)..=step))
    }

    /// Restarts from the base step after a success.
    pub fn reset(&mut self) {
        self.count = 0;
    }
}

/// Whether another attempt may be made; consumes one retry of the budget if so.
///
/// An attempt is allowed if the request certainly did not run, or if its route
/// declares calls repeatable and the request has not ended, before the deadline
/// and within the budget.
///
/// ```
/// use sycamorefork::attempt::{AttemptState, RetryBudget, may_retry};
/// use sycamorefork::time::Ms;
///
/// // 10 retries per 100 first attempts, and one per second.
/// let mut budget = RetryBudget::new(Ms(0), 10, 1);
/// let (now, deadline) = (Ms(0), Ms(500));
/// assert!(!may_retry(now, &AttemptState::Unknown, false, &mut budget, deadline));
/// assert!(may_retry(now, &AttemptState::Unknown, true, &mut budget, deadline));
/// assert!(!may_retry(now, &AttemptState::Unsent, false, &mut budget, deadline));
/// (0..10).for_each(|_| budget.on_first_attempt(now));
/// assert!(may_retry(now, &AttemptState::Unsent, false, &mut budget, deadline));
/// assert!(!may_retry(deadline, &AttemptState::Unsent, true, &mut budget, deadline));
/// ```
pub fn may_retry(
    now: Ms,
    state: &AttemptState,
    repeatable: bool,
    budget: &mut RetryBudget,
    deadline: Ms,
) -> bool {
    let harmless = state.run_status() == RunStatus::No
        || (repeatable && *state != AttemptState::Ended { ran: true });
    harmless && now < deadline && budget.try_consume(now)
}
