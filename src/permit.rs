//! What a request takes and gives back: tokens of its team's rate and permits.
//!
//! Guards return both when they are dropped, so that a request whose caller goes
//! away leaves nothing behind.

use std::sync::Arc;

use tokio::time::{sleep, timeout};

use crate::attempt::{AttemptEvent, AttemptState, Backoff, may_retry};
use crate::denial::{Denial, Reason};
use crate::entry_node::{AdmitResult, HeldPermit, RequestSpec, RouteTarget};
use crate::ids::{AttemptId, Endpoint, Node, Team};
use crate::invariant::{self, InvariantResult};
use crate::permit_issuer::AttemptOutcome;
use crate::quota::Reservation;
use crate::retry::{FailedAttempt, TAKEOVER};
use crate::shell::{Ports, Shell};
use crate::time::Ms;

/// Wait for loans before the quota is asked again.
const LOAN_WAIT: Ms = Ms(25);
/// Pause between two looks at the table of endpoints.
const ROUTE_PAUSE: Ms = Ms(50);

/// An attempt's permit; reports the end of the attempt when it is dropped.
pub(crate) struct Permit<P: Ports> {
    shell: Arc<Shell<P>>,
    /// The attempt that it allows.
    pub(crate) attempt: AttemptId,
    /// Where it may run.
    pub(crate) endpoint: Endpoint,
    owner: Node,
    /// Fence that the request carries.
    pub(crate) fence: u64,
    until: Ms,
    /// State of the attempt.
    pub(crate) state: AttemptState,
    /// Tokens served so far.
    pub(crate) tokens: u64,
}

impl<P: Ports> Permit<P> {
    /// Applies a step; an illegal one is reported as a violated invariant.
    pub(crate) fn apply(&mut self, step: AttemptEvent) {
        let checked = invariant::apply_event(self.attempt, &mut self.state, step);
        self.shell.check_invariant(checked, "attempt");
    }

    /// A refusal after this attempt; it says "not run" only if the attempt allows that.
    pub(crate) fn checked_denial(&self, denial: Denial) -> Denial {
        let checked = invariant::not_run(self.attempt, &self.state);
        match self.shell.check_invariant(checked, "attempt") {
            true => denial,
            false => Denial { maybe_ran: true, ..denial },
        }
    }

    /// Marks the attempt as sent, unless the permit has expired.
    pub(crate) fn mark_sent(&mut self) -> bool {
        let valid = self.shell.now() < self.until;
        self.apply(if valid { AttemptEvent::Send } else { AttemptEvent::Drop });
        valid
    }
}

impl<P: Ports> Drop for Permit<P> {
    fn drop(&mut self) {
        let outcome = match self.state {
            AttemptState::Unsent => AttemptOutcome::Unsent,
            AttemptState::Ended { ran: true } => AttemptOutcome::Ended,
            AttemptState::Ended { ran: false } => AttemptOutcome::Refused,
            AttemptState::Sent | AttemptState::Running => AttemptOutcome::Cancelled,
            AttemptState::Unknown => AttemptOutcome::Broken,
        };
        let (attempt, tokens) = (self.attempt, self.tokens);
        self.shell.with_core(|core, now, out| {
            core.end_permit(now, attempt, &self.owner, outcome, tokens, out);
        });
    }
}

/// Reserved tokens; what was not used returns to the quota on drop.
pub(crate) struct ReservationGuard<P: Ports> {
    shell: Arc<Shell<P>>,
    reservation: Option<Reservation>,
    /// Tokens used so far.
    pub(crate) used: u64,
}

impl<P: Ports> Drop for ReservationGuard<P> {
    fn drop(&mut self) {
        if let Some(reservation) = self.reservation.take() {
            let used = self.used;
            self.shell.metrics.tokens(used, reservation.team().as_str());
            self.shell.with_core(|core, now, _| core.quota.release(now, reservation, used));
        }
    }
}

/// The endpoint that an attempt goes to; counts as waiting there until it is dropped.
pub(crate) struct RoutedAttempt<P: Ports> {
    shell: Arc<Shell<P>>,
    /// The attempt.
    pub(crate) attempt: AttemptId,
    /// The endpoint.
    pub(crate) endpoint: Endpoint,
    owner: Node,
}

impl<P: Ports> Drop for RoutedAttempt<P> {
    fn drop(&mut self) {
        self.shell.with_core(|core, _, _| core.end_permit_wait(self.attempt));
    }
}

/// Withdraws a request for a permit that is no longer wanted.
struct Waiting<'a, P: Ports> {
    shell: &'a Arc<Shell<P>>,
    attempt: AttemptId,
    owner: Node,
    answered: bool,
}

impl<P: Ports> Drop for Waiting<'_, P> {
    fn drop(&mut self) {
        if !self.answered {
            self.shell.forget_permit(self.attempt);
            self.shell.with_core(|core, now, out| {
                core.cancel_permit(now, self.attempt, &self.owner, out);
            });
        }
    }
}

impl<P: Ports> Shell<P> {
    /// Reserves tokens of the team's rate, waiting for loans of peers if need be.
    ///
    /// # Errors
    /// Refuses when the team's rate and burst are used up in the whole cell.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        team: &Team,
        tokens: u64,
        deadline: Ms,
    ) -> Result<ReservationGuard<P>, Denial> {
        let patience = deadline.min(self.now() + TAKEOVER);
        loop {
            let loan = self.loans.notified();
            match self.with_core(|core, now, out| core.admit(now, team, tokens, out)) {
                AdmitResult::Granted(reservation) => {
                    let shell = self.clone();
                    return Ok(ReservationGuard { shell, reservation: Some(reservation), used: 0 });
                }
                AdmitResult::Denied(denial) => return Err(*denial),
                AdmitResult::AwaitSeats(denial) if self.now() >= patience => return Err(*denial),
                AdmitResult::AwaitLoans if self.now() >= deadline => {
                    return Err(Denial::new(Reason::Deadline, "the deadline passed"));
                }
                AdmitResult::AwaitLoans | AdmitResult::AwaitSeats(_) => {
                    let _ = timeout(LOAN_WAIT.to_std(), loan).await;
                }
            }
        }
    }

    /// Logs and counts the violation of an invariant; `false` if there is one.
    pub(crate) fn check_invariant(&self, checked: InvariantResult, part: &str) -> bool {
        if let Err(violation) = &checked {
            log::error!("invariant violated: {violation}");
            self.metrics.faults(1, part);
        }
        checked.is_ok()
    }

    pub(crate) fn check_quarantine(&self, fp: u64) -> Result<(), Denial> {
        let now = self.now();
        let core = self.core.lock().unwrap();
        match core.quarantine.is_quarantined(now, fp) {
            None => Ok(()),
            Some(entry) => {
                let message = format!("this request is quarantined: {}", entry.reason);
                Err(Denial::new(Reason::Quarantined, message)
                    .fact("fingerprint", format!("{fp:016x}"))
                    .retry_after(entry.expiry.since(now)))
            }
        }
    }

    /// Chooses an endpoint, waiting through a takeover.
    pub(crate) async fn route(
        self: &Arc<Self>,
        attempt: AttemptId,
        demand: &RequestSpec,
        excluded: &mut Vec<Endpoint>,
    ) -> Result<RoutedAttempt<P>, Denial> {
        let patience = demand.deadline.min(self.now() + TAKEOVER);
        loop {
            match self.with_core(|core, now, _| core.route(now, attempt, demand, excluded)) {
                Ok(chosen) => {
                    let RouteTarget { endpoint, owner } = chosen;
                    return Ok(RoutedAttempt { shell: self.clone(), attempt, endpoint, owner });
                }
                Err(denial) if self.now() >= patience => return Err(denial),
                // Every endpoint has failed once; all may be tried again.
                Err(_) => excluded.clear(),
            }
            sleep(ROUTE_PAUSE.to_std()).await;
        }
    }

    /// Asks one endpoint's owner for a permit.
    pub(crate) async fn request_permit(
        self: &Arc<Self>,
        demand: &RequestSpec,
        routed: &RoutedAttempt<P>,
    ) -> Result<Permit<P>, Refusal> {
        let RoutedAttempt { attempt, endpoint, owner, .. } = routed;
        let attempt = *attempt;
        let sent = self.now();
        let rx = self.wait_permit(attempt);
        let mut waiting = Waiting { shell: self, attempt, owner: owner.clone(), answered: false };
        self.with_core(|core, now, out| {
            core.request_permit(now, attempt, demand, endpoint, owner, out);
        });
        let limit = demand.deadline.since(sent).to_std();
        let lost = Refusal { reason: "no_answer".to_owned(), after: Ms(0) };
        let reply = tokio::select! {
            reply = timeout(limit, rx) => match reply {
                Ok(Ok(reply)) => reply,
                _ => return Err(lost),
            },
            () = self.owner_changed(endpoint, owner) => return Err(lost),
        };
        waiting.answered = true;
        if !reply.granted {
            self.with_core(|core, _, _| {
                core.end_permit_wait(attempt);
                if reply.reason == "not_owner" {
                    core.membership.forget_owner(endpoint, owner);
                }
            });
            return Err(Refusal { reason: reply.reason, after: Ms(reply.retry_after) });
        }
        if !self.check_invariant(
            invariant::check_permit_endpoint(attempt, endpoint, &reply.endpoint),
            "permit",
        ) {
            return Err(lost);
        }
        // Counted from before the request left, so that delays of the network
        // shorten the permit and never lengthen it.
        let until = sent + Ms(reply.held) + Ms(reply.valid);
        let held = HeldPermit { endpoint: endpoint.clone(), adapter: demand.adapter.clone() };
        self.with_core(|core, _, _| core.hold_permit(attempt, held));
        Ok(Permit {
            shell: self.clone(),
            attempt,
            endpoint: endpoint.clone(),
            owner: owner.clone(),
            fence: reply.fence,
            until,
            state: AttemptState::Unsent,
            tokens: 0,
        })
    }

    /// Returns when the endpoint has another owner or its owner is silent.
    async fn owner_changed(&self, endpoint: &Endpoint, owner: &Node) {
        loop {
            sleep(ROUTE_PAUSE.to_std()).await;
            let now = self.now();
            let core = self.core.lock().unwrap();
            if core.live_owner(now, endpoint) != Some(owner) {
                return;
            }
        }
    }

    /// The next delay before a retry.
    pub(crate) fn pause(&self, backoff: &mut Backoff) -> Ms {
        backoff.next(&mut *self.rng.lock().unwrap())
    }

    /// Takes one retry out of the node's budget.
    pub(crate) fn may_retry(&self, state: &AttemptState, repeatable: bool, deadline: Ms) -> bool {
        let now = self.now();
        may_retry(now, state, repeatable, &mut self.retries.lock().unwrap(), deadline)
    }
}

/// Why an owner gave no permit.
pub(crate) struct Refusal {
    reason: String,
    after: Ms,
}

impl Refusal {
    /// The failed attempt that the refusal leaves behind.
    pub(crate) fn failed_attempt(&self) -> FailedAttempt {
        // A takeover settles who owns the endpoint.
        let unsettled = matches!(
            self.reason.as_str(),
            "not_owner" | "no_answer" | "no_authority" | "endpoint_leaving" | "endpoint_unhealthy"
        );
        FailedAttempt { owner_changing: unsettled, ..FailedAttempt::unsent(self.denial()) }
    }

    /// Whether no endpoint will decide otherwise.
    pub(crate) fn is_final(&self) -> bool {
        matches!(self.reason.as_str(), "quarantined" | "deadline_expired")
    }

    fn denial(&self) -> Denial {
        let (reason, message) = match self.reason.as_str() {
            "deadline_infeasible" | "deadline_expired" => {
                (Reason::Deadline, "the request would miss its deadline in the queue")
            }
            "queue_full" => (Reason::Overloaded, "the endpoint's queue is full"),
            "load_failed" => (Reason::LoadFailed, "the adapter could not be loaded"),
            "quarantined" => (Reason::Quarantined, "the request crashed endpoints before"),
            "no_authority" => {
                (Reason::NoAuthority, "the endpoint's owner has no authority at present")
            }
            _ => (Reason::NoEndpoint, "no endpoint can take the request at present"),
        };
        let denial = Denial::new(reason, message).fact("owner_reason", &self.reason);
        denial.retry_after(self.after.max(Ms(100)))
    }
}
