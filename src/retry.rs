//! Decides whether and when a request gets another attempt.
//!
//! Once an attempt of a request may have run, the request is never reported as
//! "not run", whatever the outcome of its later attempts.

use tokio::time::sleep;

use crate::attempt::{AttemptHistory, AttemptState, Backoff};
use crate::denial::Denial;
use crate::shell::{Ports, Shell};
use crate::time::Ms;

/// Most attempts of one request, not counting refusals during a takeover.
const MAX_ATTEMPTS: u32 = 4;
/// First delay before a retry.
const FIRST_DELAY: Ms = Ms(20);
/// Longest delay before a retry.
const MAX_DELAY: Ms = Ms(500);
/// Shortest time between an attempt with unknown outcome and the next one. If the
/// request crashed its endpoint, the node must learn of that before the next attempt.
/// A query of the endpoint and a heartbeat take a few milliseconds; the rest is a
/// margin for a loaded machine.
const CRASH_REPORT_WAIT: Ms = Ms(250);
/// Longest wait of a request for an endpoint that has an owner.
///
/// A takeover lasts at most 5 s; refusing a request during one would be a false refusal.
pub(crate) const TAKEOVER_WAIT: Ms = Ms::secs(8);

/// A failed attempt.
#[derive(Debug)]
pub(crate) struct FailedAttempt {
    /// Response to the caller if there is no further attempt.
    pub(crate) denial: Denial,
    /// State in which the attempt ended.
    pub(crate) state: AttemptState,
    /// Whether it failed because the endpoint may be changing its owner.
    pub(crate) owner_changing: bool,
}

impl FailedAttempt {
    /// Creates the failure of an attempt that was not sent.
    pub(crate) fn unsent(denial: Denial) -> Self {
        Self { denial, state: AttemptState::Unsent, owner_changing: false }
    }
}

/// Retry state of one request.
#[derive(Debug)]
pub(crate) struct RetryState {
    begun: Ms,
    deadline: Ms,
    repeatable: bool,
    failures: u32,
    history: AttemptHistory,
    backoff: Backoff,
}

impl RetryState {
    /// Creates the state of a request before its first attempt.
    ///
    /// `repeatable` says that running the request twice is harmless.
    pub(crate) fn new(begun: Ms, deadline: Ms, repeatable: bool) -> Self {
        let backoff = Backoff::new(FIRST_DELAY, MAX_DELAY);
        Self {
            begun,
            deadline,
            repeatable,
            failures: 0,
            history: AttemptHistory::default(),
            backoff,
        }
    }

    /// Records a failed attempt and waits until the next one may start.
    ///
    /// # Errors
    /// Returns the final denial if no further attempt is allowed.
    pub(crate) async fn prepare_retry<P: Ports>(
        &mut self,
        shell: &Shell<P>,
        failed: FailedAttempt,
    ) -> Result<(), Denial> {
        let FailedAttempt { denial, state, owner_changing } = failed;
        self.history.record(&state);
        let now = shell.now();
        let allowed = now < self.deadline
            && match (owner_changing, state) {
                (true, _) => now < self.begun + TAKEOVER_WAIT,
                (false, AttemptState::Unsent) => self.count_failure(),
                (false, state) => {
                    self.count_failure() && shell.may_retry(&state, self.repeatable, self.deadline)
                }
            };
        if !allowed {
            return Err(self.final_denial(denial));
        }
        shell.metrics.retries(1, denial.reason.code());
        if state == AttemptState::Unknown {
            sleep(CRASH_REPORT_WAIT.to_std()).await;
        }
        self.wait_backoff(shell).await;
        Ok(())
    }

    /// Sleeps for the next backoff delay.
    pub(crate) async fn wait_backoff<P: Ports>(&mut self, shell: &Shell<P>) {
        let delay = shell.next_delay(&mut self.backoff);
        sleep(delay.to_std()).await;
    }

    /// Counts a failed attempt; `false` if it was the last one allowed.
    fn count_failure(&mut self) -> bool {
        self.failures += 1;
        self.failures < MAX_ATTEMPTS
    }

    /// Marks a denial as "may have run" if any attempt of the request may have run.
    pub(crate) fn final_denial(&self, mut denial: Denial) -> Denial {
        denial.maybe_ran |= self.history.may_have_run();
        denial
    }
}
