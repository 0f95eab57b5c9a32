//! States of one attempt, and the limits on retries.
//!
//! Only an attempt that was never sent, or that the endpoint itself refused,
//! allows the statement "not run".

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
    /// The first byte may have left.
    Sent,
    /// The endpoint has said that it runs the request.
    Running,
    /// The endpoint has answered, or has refused the request without running it.
    Ended {
        /// Whether the request ran.
        ran: bool,
    },
    /// Whether the request ran cannot be known.
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
    /// The value of the field `ran` of a refusal, if a refusal may state it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Unknown => "unknown",
            Self::Yes => "yes",
        }
    }
}

/// What happened to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEvent {
    /// The first byte is about to leave.
    Send,
    /// The endpoint says that it runs the request.
    Start,
    /// The endpoint's answer is complete.
    Answer,
    /// The endpoint refuses the request and did not run it.
    Refuse,
    /// The attempt is given up before anything was sent.
    Drop,
    /// The connection or the endpoint was lost.
    Lose,
    /// The endpoint's status query says that the request ended.
    Found,
}

impl AttemptState {
    /// Applies a step.
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
    /// A step that the state does not allow is an invariant violation; the
    /// state stays as it was.
    pub fn apply(&mut self, step: AttemptEvent) -> Result<()> {
        *self = match (*self, step) {
            (Self::Unsent, AttemptEvent::Send) => Self::Sent,
            (Self::Unsent, AttemptEvent::Drop) => Self::Ended { ran: false },
            (Self::Sent, AttemptEvent::Start) => Self::Running,
            (Self::Sent, AttemptEvent::Refuse) => Self::Ended { ran: false },
            (Self::Sent | Self::Running, AttemptEvent::Answer) => Self::Ended { ran: true },
            (Self::Sent | Self::Running, AttemptEvent::Lose) => Self::Unknown,
            (Self::Unknown, AttemptEvent::Found) => Self::Ended { ran: true },
            (state, step) => {
                let reason = format!("step {step:?} is not allowed in state {state:?}");
                return Err(Error::state("attempt", reason));
            }
        };
        Ok(())
    }

    /// Whether the request ran.
    pub fn run_status(&self) -> RunStatus {
        match self {
            Self::Unsent | Self::Ended { ran: false } => RunStatus::No,
            Self::Running | Self::Ended { ran: true } => RunStatus::Yes,
            Self::Sent | Self::Unknown if active(Failpoint::FalseNotRun) => RunStatus::No,
            Self::Sent | Self::Unknown => RunStatus::Unknown,
        }
    }
}

/// What the attempts of one request so far allow to be said about it.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptHistory {
    sent: bool,
}

impl AttemptHistory {
    /// Notes the last state of an attempt.
    pub fn record(&mut self, state: &AttemptState) {
        self.sent |= state.run_status() != RunStatus::No;
    }

    /// Whether any attempt may have run: then no refusal of the request says "not run".
    pub fn may_have_run(&self) -> bool {
        self.sent
    }
}

/// Tokens of a retry budget that one retry costs.
const RETRY_COST: u64 = 1_000_000;

/// Limits retries to a fraction of first attempts plus a small constant rate.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    percent: u64,
    minimum: u64,
    level: u64,
    last: Ms,
}

impl RetryBudget {
    /// Allows `percent` retries per 100 first attempts, and `minimum` per second.
    pub fn new(now: Ms, percent: u64, minimum: u64) -> Self {
        Self { percent, minimum, level: minimum * RETRY_COST, last: now }
    }

    /// Most retries that are saved up: those of ten seconds of the minimum, at least 10.
    fn limit(&self) -> u64 {
        (self.minimum * 10).max(10) * RETRY_COST
    }

    fn refill(&mut self, now: Ms) {
        let gain = now.since(self.last).0.saturating_mul(self.minimum * RETRY_COST / 1000);
        self.level = self.level.saturating_add(gain).min(self.limit());
        self.last = self.last.max(now);
    }

    /// Counts a first attempt.
    pub fn on_first_attempt(&mut self, now: Ms) {
        self.refill(now);
        self.level = (self.level + self.percent * RETRY_COST / 100).min(self.limit());
    }

    /// Takes one retry out of the budget.
    pub fn take(&mut self, now: Ms) -> bool {
        self.refill(now);
        let enough = self.level >= RETRY_COST;
        if enough {
            self.level -= RETRY_COST;
        }
        enough
    }
}

/// Exponential delays with full jitter.
#[derive(Clone, Debug)]
pub struct Backoff {
    base: Ms,
    max: Ms,
    tries: u32,
}

impl Backoff {
    /// Delays that double from `base` up to `max`.
    pub fn new(base: Ms, max: Ms) -> Self {
        Self { base, max, tries: 0 }
    }

    /// The next delay, between half of the doubled step and the whole of it.
    pub fn next(&mut self, rng: &mut impl Rng) -> Ms {
        let step = self.base.0.saturating_mul(1 << self.tries.min(20)).min(self.max.0).max(1);
        self.tries = self.tries.saturating_add(1);
        Ms(rng.random_range(step.div_ceil(2)..=step))
    }

    /// Starts again after a success.
    pub fn reset(&mut self) {
        self.tries = 0;
    }
}

/// Whether another attempt may be made; takes it out of the budget if so.
///
/// Allowed where the request certainly did not run, or where the route
/// declares its calls repeatable, before the deadline and within the budget.
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
    harmless && now < deadline && budget.take(now)
}
