//! Whether and when a request gets another attempt.
//!
//! A request whose attempt may have run is never again reported as "not run",
//! whatever becomes of its later attempts.

use tokio::time::sleep;

use crate::attempt::{AttemptHistory, AttemptState, Backoff};
use crate::denial::Denial;
use crate::shell::{Ports, Shell};
use crate::time::Ms;

/// Most attempts for one request, refusals during a takeover aside.
const ATTEMPTS_MAX: u32 = 4;
/// First delay before a retry.
const BACKOFF: Ms = Ms(20);
/// Longest delay before a retry.
const BACKOFF_MAX: Ms = Ms(500);
/// Least time between a lost attempt and the next one: if the request crashed its
/// endpoint, the next attempt must know. A query of the endpoint and a heartbeat take
/// a few milliseconds; the rest is for a loaded machine.
const CRASH_PAUSE: Ms = Ms(250);
/// Time for which a request waits for an endpoint with an owner.
///
/// A takeover lasts at most 5 s; a refusal during one would be a wrongful one.
pub(crate) const TAKEOVER: Ms = Ms::secs(8);

/// A failed attempt.
#[derive(Debug)]
pub(crate) struct FailedAttempt {
    /// What the caller is told if there is no further attempt.
    pub(crate) denial: Denial,
    /// State in which the attempt ended.
    pub(crate) state: AttemptState,
    /// Whether it failed because the endpoint's owner is changing.
    pub(crate) owner_changing: bool,
}

impl FailedAttempt {
    /// An attempt that was not sent.
    pub(crate) fn unsent(denial: Denial) -> Self {
        Self { denial, state: AttemptState::Unsent, owner_changing: false }
    }
}

/// Attempts of one request.
#[derive(Debug)]
pub(crate) struct RetryState {
    begun: Ms,
    deadline: Ms,
    repeatable: bool,
    failures: u32,
    tries: AttemptHistory,
    backoff: Backoff,
}

impl RetryState {
    /// The first attempt of a request; `repeatable` says that a second run is harmless.
    pub(crate) fn new(begun: Ms, deadline: Ms, repeatable: bool) -> Self {
        let backoff = Backoff::new(BACKOFF, BACKOFF_MAX);
        Self { begun, deadline, repeatable, failures: 0, tries: AttemptHistory::default(), backoff }
    }

    /// Waits before the next attempt.
    ///
    /// # Errors
    /// Returns the refusal where no further attempt is allowed.
    pub(crate) async fn prepare_retry<P: Ports>(
        &mut self,
        shell: &Shell<P>,
        failed: FailedAttempt,
    ) -> Result<(), Denial> {
        let FailedAttempt { denial, state, owner_changing: unsettled } = failed;
        self.tries.record(&state);
        let now = shell.now();
        let allowed = now < self.deadline
            && match (unsettled, state) {
                (true, _) => now < self.begun + TAKEOVER,
                (false, AttemptState::Unsent) => self.count(),
                (false, state) => {
                    self.count() && shell.may_retry(&state, self.repeatable, self.deadline)
                }
            };
        if !allowed {
            return Err(self.final_denial(denial));
        }
        shell.metrics.retries(1, denial.reason.code());
        if state == AttemptState::Unknown {
            sleep(CRASH_PAUSE.to_std()).await;
        }
        self.wait_backoff(shell).await;
        Ok(())
    }

    /// Waits for the next delay.
    pub(crate) async fn wait_backoff<P: Ports>(&mut self, shell: &Shell<P>) {
        let pause = shell.pause(&mut self.backoff);
        sleep(pause.to_std()).await;
    }

    fn count(&mut self) -> bool {
        self.failures += 1;
        self.failures < ATTEMPTS_MAX
    }

    /// The refusal of a request, true to all its attempts.
    pub(crate) fn final_denial(&self, mut denial: Denial) -> Denial {
        denial.maybe_ran |= self.tries.may_have_run();
        denial
    }
}
