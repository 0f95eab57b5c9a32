//! The life of a call to a plain service.
//!
//! A call that must not be repeated and carries an idempotency key is claimed in
//! the table service before its first byte leaves. It runs in a task of its own,
//! so that a caller who goes away does not leave its outcome unrecorded.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use tokio::time::sleep;

use crate::attempt::AttemptEvent;
use crate::claim::{Call as ClaimCall, ClaimAnswer, Outcome, Ticket, body_digest, row_key};
use crate::claim_driver::{ClaimEvent, Keyed};
use crate::config::RouteSpec;
use crate::denial::{Denial, Reason};
use crate::engine::StartError;
use crate::entry_node::RequestSpec;
use crate::ids::{AttemptId, Endpoint, RequestId, Team};
use crate::invariant;
use crate::permit::{Permit, RoutedAttempt};
use crate::quarantine;
use crate::retry::{FailedAttempt, RetryState};
use crate::serve::{Answer, Caller, Measured};
use crate::service::{Service, ServiceCall as WireCall, ServiceReply};
use crate::shell::{Ports, Shell};
use crate::time::{Ms, wall_clock};

/// Time for which a lost answer is looked up at the service.
const RESOLVE: Ms = Ms::secs(2);
/// Pause between two look-ups.
const RESOLVE_PAUSE: Ms = Ms(100);

/// A call to a service after parsing and authentication.
pub(crate) struct ServiceRequest {
    /// The request's identifier.
    pub(crate) id: RequestId,
    /// Who sent it.
    pub(crate) caller: Caller,
    /// Team whose rate it uses.
    pub(crate) team: Team,
    /// Its route.
    pub(crate) route: RouteSpec,
    /// Method of the caller.
    pub(crate) method: Method,
    /// Path and query below the service's root.
    pub(crate) path: String,
    /// Headers of the caller.
    pub(crate) headers: HeaderMap,
    /// Body of the caller.
    pub(crate) body: Bytes,
    /// The caller's idempotency key.
    pub(crate) key: Option<String>,
}

/// Runs a call and returns its answer or the reason of its refusal.
///
/// # Errors
/// Returns the refusal; `ran` tells whether an attempt may have run.
pub(crate) async fn run<P: Ports>(
    shell: Arc<Shell<P>>,
    call: ServiceRequest,
) -> Result<Answer, Denial> {
    let begun = shell.now();
    let deadline = begun + shell.limits().request;
    let mut stock = shell.admit(&call.team, call.route.tokens, deadline).await?;
    stock.used = call.route.tokens;
    let demand = RequestSpec {
        request: call.id,
        team: call.team.clone(),
        pool: call.route.pool.clone(),
        adapter: None,
        priority: call.route.priority,
        tokens: call.route.tokens,
        fingerprint: quarantine::fingerprint(&call.team, None, &call.body),
        repeatable: call.route.idempotent,
        deadline,
    };
    let key = call.caller.key.clone();
    let (team, route) = (call.team.clone(), call.route.clone());
    let run = ServiceRun {
        shell: shell.clone(),
        call,
        demand,
        excluded: Vec::new(),
        retry: RetryState::new(begun, deadline, route.idempotent),
    };
    shell.retries.lock().unwrap().on_first_attempt(begun);
    let answer = if route.idempotent {
        tokio::select! {
            answer = run.repeatable() => answer,
            denial = shell.withdrawn(key) => Err(denial),
        }
    } else {
        // Runs on when the caller goes away: an attempt that was sent must be
        // recorded with its outcome.
        let task = tokio::spawn(run.once());
        task.await.unwrap_or_else(|_| {
            Err(Denial::unknown(Reason::EndpointFailed, "the call ended without an outcome"))
        })
    };
    let end = shell.now();
    let measured = Measured { begun, first: None, end, tokens: 0, answered: answer.is_ok() };
    shell.record_service(&team, &route, &measured);
    drop(stock);
    answer
}

struct ServiceRun<P: Ports> {
    shell: Arc<Shell<P>>,
    call: ServiceRequest,
    demand: RequestSpec,
    excluded: Vec<Endpoint>,
    retry: RetryState,
}

impl<P: Ports> ServiceRun<P> {
    /// Runs a call that may be repeated.
    async fn repeatable(mut self) -> Result<Answer, Denial> {
        self.tries().await.map(whole)
    }

    /// Runs a call that must run at most once.
    async fn once(mut self) -> Result<Answer, Denial> {
        match self.call.key.clone() {
            Some(key) => self.keyed(&key).await,
            // Without a key only attempts that certainly did not run are followed
            // by another.
            None => self.tries().await.map(whole),
        }
    }

    async fn tries(&mut self) -> Result<ServiceReply, Denial> {
        loop {
            let attempt = AttemptId(rand::random());
            let routed = self.shell.route(attempt, &self.demand, &mut self.excluded).await;
            let routed = routed.map_err(|d| self.retry.final_denial(d))?;
            match self.attempt(&routed, None).await {
                Ok(reply) => return Ok(reply),
                Err(failed) => self.retry.prepare_retry(&self.shell, failed).await?,
            }
        }
    }

    /// Claims the key, then runs the call.
    async fn keyed(&mut self, key: &str) -> Result<Answer, Denial> {
        loop {
            let attempt = AttemptId(rand::random());
            let routed = self.shell.route(attempt, &self.demand, &mut self.excluded).await?;
            let claim = ClaimCall {
                key: row_key(&self.call.route.name, &self.call.team, key),
                digest: body_digest(&self.call.body),
                attempt,
                endpoint: routed.endpoint.clone(),
                deadline: self.demand.deadline,
                created: wall_clock(),
            };
            let (ticket, event) = match self.shell.open_claim(claim) {
                Keyed::Decided(event) => return decided(event),
                Keyed::Full => {
                    let message = "too many calls wait for the table service";
                    return Err(Denial::new(Reason::Overloaded, message).retry_after(Ms::secs(1)));
                }
                Keyed::Pending(ticket, rx) => match rx.await {
                    Ok(event) => (ticket, event),
                    Err(_) => return decided(ClaimEvent::NotRun),
                },
            };
            if !matches!(event, ClaimEvent::Proceed) {
                return decided(event);
            }
            let failed = match self.attempt(&routed, Some(ticket)).await {
                Ok(reply) => {
                    self.shell.finish_claim(ticket, Outcome::Answer(stored(&reply)));
                    return Ok(whole(reply));
                }
                Err(failed) => failed,
            };
            if !failed.denial.maybe_ran {
                self.shell.finish_claim(ticket, Outcome::NotRun);
                self.retry.prepare_retry(&self.shell, failed).await?;
                continue;
            }
            // The answer was lost; the service may know it.
            if let Some(reply) = self.resolve(&routed.endpoint, attempt).await {
                self.shell.finish_claim(ticket, Outcome::Answer(stored(&reply)));
                return Ok(whole(reply));
            }
            self.shell.finish_claim(ticket, Outcome::Unknown);
            return Err(failed.denial);
        }
    }

    /// Looks a lost answer up at the service that was called.
    async fn resolve(&self, endpoint: &Endpoint, attempt: AttemptId) -> Option<ServiceReply> {
        let path = self.call.route.status.clone()?;
        let service = self.shell.service(endpoint)?;
        let until = self.shell.now() + RESOLVE;
        while self.shell.now() < until {
            if let Ok(Some(found)) = service.status(&path, attempt).await {
                let mut headers = HeaderMap::new();
                if let Ok(content) = HeaderValue::from_str(&found.content) {
                    headers.insert(http::header::CONTENT_TYPE, content);
                }
                return Some(ServiceReply { status: found.status, headers, body: found.body });
            }
            sleep(RESOLVE_PAUSE.to_std()).await;
        }
        None
    }

    async fn attempt(
        &mut self,
        routed: &RoutedAttempt<P>,
        ticket: Option<Ticket>,
    ) -> Result<ServiceReply, FailedAttempt> {
        let (attempt, endpoint) = (routed.attempt, &routed.endpoint);
        let permit = self.shell.request_permit(&self.demand, routed).await;
        let mut permit = permit.map_err(|refusal| {
            self.excluded.push(endpoint.clone());
            refusal.failed_attempt()
        })?;
        let wire = WireCall {
            attempt,
            fence: permit.fence,
            method: self.call.method.clone(),
            path: self.call.path.clone(),
            headers: self.call.headers.clone(),
            body: self.call.body.clone(),
            deadline: self.shell.instant(self.demand.deadline),
        };
        let Some(service) = self.shell.service(endpoint) else {
            return Err(self.unsent(permit, "the endpoint is no longer listed"));
        };
        if !self.claimed(attempt, ticket) {
            return Err(self.unsent(permit, "its claim is not committed"));
        }
        if !permit.mark_sent() {
            return Err(self.unsent(permit, "the permit expired before the call left"));
        }
        match service.call(&wire).await {
            Ok(reply) => {
                permit.tokens = self.call.route.tokens;
                permit.apply(AttemptEvent::Answer);
                Ok(reply)
            }
            Err(StartError::Unsent(e)) => {
                permit.apply(AttemptEvent::Refuse);
                Err(self.unsent(permit, &e))
            }
            Err(StartError::Refused { status, .. }) => {
                permit.apply(AttemptEvent::Refuse);
                self.excluded.push(endpoint.clone());
                let message = format!("the service refused the call with status {status}");
                let denial = Denial::new(Reason::EndpointRefused, message);
                let denial = permit.checked_denial(denial.retry_after(Ms::secs(1)));
                Err(FailedAttempt { denial, state: permit.state, owner_changing: false })
            }
            Err(StartError::Unknown(e)) => {
                permit.apply(AttemptEvent::Lose);
                self.excluded.push(endpoint.clone());
                log::warn!("request {} attempt {attempt} on {endpoint} failed: {e}", self.call.id);
                let message = "the service failed while the call may have been running";
                let denial = Denial::unknown(Reason::EndpointFailed, message);
                Err(FailedAttempt { denial, state: permit.state, owner_changing: false })
            }
        }
    }

    /// Whether a keyed call's claim allows its attempt to be sent.
    fn claimed(&self, attempt: AttemptId, ticket: Option<Ticket>) -> bool {
        let claims = self.shell.claims.lock().unwrap();
        let granted = ticket.is_none_or(|t| claims.may_send(t, attempt));
        drop(claims);
        self.shell.check_invariant(invariant::check_claim(attempt, granted), "claim")
    }

    fn unsent(&mut self, permit: Permit<P>, why: &str) -> FailedAttempt {
        self.excluded.push(permit.endpoint.clone());
        let denial = Denial::new(Reason::NoEndpoint, format!("the service was not reached: {why}"));
        FailedAttempt::unsent(permit.checked_denial(denial.retry_after(Ms::secs(1))))
    }
}

fn decided(event: ClaimEvent) -> Result<Answer, Denial> {
    match event {
        ClaimEvent::Replay(answer) => Ok(replayed(&answer)),
        ClaimEvent::Conflict => Err(Denial::new(
            Reason::KeyConflict,
            "this idempotency key was used with another body; the call did not run",
        )),
        ClaimEvent::Unknown(attempt) => {
            let message = "the outcome of the first call with this idempotency key is unknown";
            Err(Denial::unknown(Reason::OutcomeUnknown, message).fact("attempt", attempt))
        }
        ClaimEvent::NotRun | ClaimEvent::Proceed => {
            let message = "the call could not be claimed in time; it did not run";
            Err(Denial::new(Reason::ClaimTimeout, message).retry_after(Ms::secs(1)))
        }
    }
}

fn whole(reply: ServiceReply) -> Answer {
    let status = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY);
    Answer::Whole { status, headers: reply.headers, body: reply.body }
}

fn stored(reply: &ServiceReply) -> ClaimAnswer {
    let headers = reply.headers.iter().filter_map(|(name, value)| {
        Some((name.as_str().to_owned(), value.to_str().ok()?.to_owned()))
    });
    ClaimAnswer {
        status: reply.status,
        headers: headers.collect(),
        body: reply.body.clone(),
        body_omitted: false,
    }
}

fn replayed(answer: &ClaimAnswer) -> Answer {
    let mut headers = HeaderMap::new();
    for (name, value) in &answer.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
            headers.append(name, value);
        }
    }
    if answer.body_omitted {
        headers.insert("x-body-omitted", HeaderValue::from_static("true"));
    }
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    Answer::Replayed { status, headers, body: answer.body.clone() }
}
