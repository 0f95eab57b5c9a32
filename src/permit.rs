//! Guards for the resources of a request: tokens of its team, routes and permits.
//!
//! Each guard returns its resource when it is dropped, so that a request whose
//! caller disconnects releases everything that it holds.

use std::sync::Arc;

use tokio::time::{sleep, timeout};

use crate::attempt::{AttemptEvent, AttemptState, Backoff, may_retry};
use crate::denial::{Denial, Reason};
use crate::entry_node::{AdmitResult, HeldPermit, RequestSpec, RouteTarget};
use crate::ids::{AttemptId, Endpoint, Node, Team};
use crate::invariant::{self, InvariantResult};
use crate::permit_issuer::AttemptOutcome;
use crate::quota::Reservation;
use crate::retry::{FailedAttempt, TAKEOVER_WAIT};
use crate::shell::{Ports, Shell};
use crate::time::Ms;

/// Longest wait for a loan before the reservation is attempted again.
const LOAN_WAIT: Ms = Ms(25);
/// Pause between two checks of the endpoints and their owners.
const ROUTE_CHECK_INTERVAL: Ms = Ms(50);

/// Permit of an attempt; reports the outcome of the attempt to the owner when it is dropped.
pub(crate) struct Permit<P: Ports> {
    shell: Arc<Shell<P>>,
    /// The permitted attempt.
    pub(crate) attempt: AttemptId,
    /// The endpoint that the permit is for.
    pub(crate) endpoint: Endpoint,
    owner: Node,
    /// Fencing token that the request carries.
    pub(crate) fence: u64,
    /// Instant at which the permit expires unless the attempt has been sent.
    pub(crate) expiry: Ms,
    /// State of the attempt.
    pub(crate) state: AttemptState,
    /// Tokens served so far.
    pub(crate) tokens: u64,
}

impl<P: Ports> Permit<P> {
    /// Applies an event; one that the state does not allow is reported as an
    /// invariant violation.
    pub(crate) fn apply(&mut self, event: AttemptEvent) {
        let checked = invariant::apply_event(self.attempt, &mut self.state, event);
        self.shell.check_invariant(checked, "attempt");
    }

    /// Marks a denial as "may have run" unless the attempt certainly did not run.
    pub(crate) fn checked_denial(&self, denial: Denial) -> Denial {
        let checked = invariant::check_not_run(self.attempt, &self.state);
        match self.shell.check_invariant(checked, "attempt") {
            true => denial,
            false => Denial { maybe_ran: true, ..denial },
        }
    }

    /// Marks the attempt as sent; `false` if the permit has expired.
    pub(crate) fn mark_sent(&mut self) -> bool {
        let valid = self.shell.now() < self.expiry;
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

/// Tokens reserved for a request; unused ones return to the quota on drop.
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

/// Attempt routed to an endpoint; counts as waiting there until it is dropped.
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

/// Request for a permit; withdrawn if it is dropped before it is answered.
struct PermitWait<'a, P: Ports> {
    shell: &'a Arc<Shell<P>>,
    attempt: AttemptId,
    owner: Node,
    answered: bool,
}

impl<P: Ports> Drop for PermitWait<'_, P> {
    fn drop(&mut self) {
        if !self.answered {
            self.shell.remove_permit_wait(self.attempt);
            self.shell.with_core(|core, now, out| {
                core.cancel_permit(now, self.attempt, &self.owner, out);
            });
        }
    }
}

impl<P: Ports> Shell<P> {
    /// Reserves tokens of the team's quota, waiting for loans of peers if necessary.
    ///
    /// # Errors
    /// Returns the denial if the cell cannot grant the tokens or the deadline passes.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        team: &Team,
        tokens: u64,
        deadline: Ms,
    ) -> Result<ReservationGuard<P>, Denial> {
        let give_up = deadline.min(self.now() + TAKEOVER_WAIT);
        loop {
            let loan = self.loan_arrived.notified();
            match self.with_core(|core, now, out| core.admit(now, team, tokens, out)) {
                AdmitResult::Granted(reservation) => {
                    let shell = self.clone();
                    return Ok(ReservationGuard { shell, reservation: Some(reservation), used: 0 });
                }
                AdmitResult::Denied(denial) => return Err(*denial),
                AdmitResult::AwaitSeats(denial) if self.now() >= give_up => return Err(*denial),
                AdmitResult::AwaitLoans if self.now() >= deadline => {
                    return Err(Denial::new(Reason::Deadline, "the deadline passed"));
                }
                AdmitResult::AwaitLoans | AdmitResult::AwaitSeats(_) => {
                    let _ = timeout(LOAN_WAIT.to_std(), loan).await;
                }
            }
        }
    }

    /// Logs and counts an invariant violation; `false` if there is one.
    ///
    /// `part` labels the count in the metric `faults`.
    pub(crate) fn check_invariant(&self, checked: InvariantResult, part: &str) -> bool {
        if let Err(violation) = &checked {
            log::error!("invariant violated: {violation}");
            self.metrics.faults(1, part);
        }
        checked.is_ok()
    }

    /// Checks that no quarantine applies to requests with a fingerprint.
    ///
    /// # Errors
    /// Returns the denial of a quarantined request.
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

    /// Chooses an endpoint; while there is none, waits as long as a takeover may last.
    ///
    /// # Errors
    /// Returns the last denial when the wait or the deadline ends.
    pub(crate) async fn route(
        self: &Arc<Self>,
        attempt: AttemptId,
        request: &RequestSpec,
        excluded: &mut Vec<Endpoint>,
    ) -> Result<RoutedAttempt<P>, Denial> {
        let give_up = request.deadline.min(self.now() + TAKEOVER_WAIT);
        loop {
            match self.with_core(|core, now, _| core.route(now, attempt, request, excluded)) {
                Ok(chosen) => {
                    let RouteTarget { endpoint, owner } = chosen;
                    return Ok(RoutedAttempt { shell: self.clone(), attempt, endpoint, owner });
                }
                Err(denial) if self.now() >= give_up => return Err(denial),
                // All endpoints may have been excluded after failures: allow them again.
                Err(_) => excluded.clear(),
            }
            sleep(ROUTE_CHECK_INTERVAL.to_std()).await;
        }
    }

    /// Requests a permit from the endpoint's owner.
    ///
    /// # Errors
    /// Returns the refusal of the owner, or `no_answer` if the deadline passes or the
    /// endpoint loses that owner first.
    pub(crate) async fn request_permit(
        self: &Arc<Self>,
        request: &RequestSpec,
        routed: &RoutedAttempt<P>,
    ) -> Result<Permit<P>, PermitRefusal> {
        let RoutedAttempt { attempt, endpoint, owner, .. } = routed;
        let attempt = *attempt;
        let sent = self.now();
        let rx = self.register_permit_wait(attempt);
        let mut wait = PermitWait { shell: self, attempt, owner: owner.clone(), answered: false };
        self.with_core(|core, now, out| {
            core.request_permit(now, attempt, request, endpoint, owner, out);
        });
        let limit = request.deadline.since(sent).to_std();
        let no_answer = PermitRefusal { reason: "no_answer".to_owned(), retry_after: Ms(0) };
        let reply = tokio::select! {
            reply = timeout(limit, rx) => match reply {
                Ok(Ok(reply)) => reply,
                _ => return Err(no_answer),
            },
            () = self.owner_changed(endpoint, owner) => return Err(no_answer),
        };
        wait.answered = true;
        if !reply.granted {
            self.with_core(|core, _, _| {
                core.end_permit_wait(attempt);
                if reply.reason == "not_owner" {
                    core.membership.forget_owner(endpoint, owner);
                }
            });
            return Err(PermitRefusal { reason: reply.reason, retry_after: Ms(reply.retry_after) });
        }
        if !self.check_invariant(
            invariant::check_permit_endpoint(attempt, endpoint, &reply.endpoint),
            "permit",
        ) {
            return Err(no_answer);
        }
        // Counted from before the request was sent, so that network delays shorten
        // the permit and never extend it.
        let expiry = sent + Ms(reply.held) + Ms(reply.valid);
        let held = HeldPermit { endpoint: endpoint.clone(), adapter: request.adapter.clone() };
        self.with_core(|core, _, _| core.hold_permit(attempt, held));
        Ok(Permit {
            shell: self.clone(),
            attempt,
            endpoint: endpoint.clone(),
            owner: owner.clone(),
            fence: reply.fence,
            expiry,
            state: AttemptState::Unsent,
            tokens: 0,
        })
    }

    /// Returns when `owner` is no longer the live owner of the endpoint.
    async fn owner_changed(&self, endpoint: &Endpoint, owner: &Node) {
        loop {
            sleep(ROUTE_CHECK_INTERVAL.to_std()).await;
            let now = self.now();
            let core = self.core.lock().unwrap();
            if core.live_owner(now, endpoint) != Some(owner) {
                return;
            }
        }
    }

    /// Next delay before a retry.
    pub(crate) fn next_delay(&self, backoff: &mut Backoff) -> Ms {
        backoff.next(&mut *self.rng.lock().unwrap())
    }

    /// Whether another attempt may be made; consumes one retry of the node's budget if so.
    pub(crate) fn may_retry(&self, state: &AttemptState, repeatable: bool, deadline: Ms) -> bool {
        let now = self.now();
        may_retry(now, state, repeatable, &mut self.retry_budget.lock().unwrap(), deadline)
    }
}

/// Why an owner granted no permit.
pub(crate) struct PermitRefusal {
    reason: String,
    retry_after: Ms,
}

impl PermitRefusal {
    /// The refusal as a failed attempt that was not sent.
    pub(crate) fn failed_attempt(&self) -> FailedAttempt {
        // For these reasons the endpoint may get another owner by a takeover.
        let owner_changing = matches!(
            self.reason.as_str(),
            "not_owner" | "no_answer" | "no_authority" | "endpoint_leaving" | "endpoint_unhealthy"
        );
        FailedAttempt { owner_changing, ..FailedAttempt::unsent(self.denial()) }
    }

    /// Whether any other endpoint would refuse the request too.
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
        denial.retry_after(self.retry_after.max(Ms(100)))
    }
}
