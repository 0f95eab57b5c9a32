//! Execution of a call to a plain service.
//!
//! A call that must not be repeated and has an idempotency key is claimed in the
//! table service before its first byte is sent. It runs in a separate task, so
//! that its outcome is recorded even if the caller disconnects.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use tokio::time::sleep;

use crate::attempt::AttemptEvent;
use crate::claim::{Call as ClaimCall, ClaimAnswer, Outcome, Ticket, body_digest, row_key};
use crate::claim_driver::{ClaimEvent, OpenedClaim};
use crate::config::RouteSpec;
use crate::denial::{Denial, Reason};
use crate::engine_client::StartError;
use crate::entry_node::RequestSpec;
use crate::ids::{AttemptId, Endpoint, RequestId, Team};
use crate::invariant;
use crate::permit::{Permit, RoutedAttempt};
use crate::quarantine;
use crate::request_types::{Answer, AnswerTiming, Caller};
use crate::retry::{FailedAttempt, RetryState};
use crate::service_client::{Service, ServiceCall, ServiceReply};
use crate::shell::{Ports, Shell};
use crate::time::{Ms, wall_clock};

/// Time for which a service is queried for a lost answer.
const STATUS_QUERY_TIMEOUT: Ms = Ms::secs(2);
/// Interval between these queries.
const STATUS_QUERY_INTERVAL: Ms = Ms(100);

/// A call to a service after parsing and authentication.
pub(crate) struct ServiceRequest {
    /// Identifier of the request.
    pub(crate) id: RequestId,
    /// Sender of the request.
    pub(crate) caller: Caller,
    /// Team whose quota the request is charged to.
    pub(crate) team: Team,
    /// Route of the request.
    pub(crate) route: RouteSpec,
    /// Request method.
    pub(crate) method: Method,
    /// Path and query, relative to the service's root.
    pub(crate) path: String,
    /// Request headers.
    pub(crate) headers: HeaderMap,
    /// Request body.
    pub(crate) body: Bytes,
    /// Value of the `Idempotency-Key` header.
    pub(crate) key: Option<String>,
}

/// Runs a call and returns its answer.
///
/// # Errors
/// Returns a [`Denial`]; its `maybe_ran` tells whether an attempt may have run.
pub(crate) async fn run<P: Ports>(
    shell: Arc<Shell<P>>,
    request: ServiceRequest,
) -> Result<Answer, Denial> {
    let started = shell.now();
    let deadline = started + shell.limits().request_timeout;
    let mut reservation = shell.admit(&request.team, request.route.call_tokens, deadline).await?;
    reservation.used = request.route.call_tokens;
    let spec = RequestSpec {
        request: request.id,
        team: request.team.clone(),
        pool: request.route.pool.clone(),
        adapter: None,
        priority: request.route.priority,
        tokens: request.route.call_tokens,
        fingerprint: quarantine::fingerprint(&request.team, None, &request.body),
        repeatable: request.route.idempotent,
        deadline,
    };
    let key = request.caller.key.clone();
    let (team, route) = (request.team.clone(), request.route.clone());
    let run = ServiceRun {
        shell: shell.clone(),
        request,
        spec,
        excluded: Vec::new(),
        retry: RetryState::new(started, deadline, route.idempotent),
    };
    shell.retry_budget.lock().unwrap().on_first_attempt(started);
    let answer = if route.idempotent {
        tokio::select! {
            answer = run.run_repeatable() => answer,
            denial = shell.until_key_withdrawn(key) => Err(denial),
        }
    } else {
        // The task continues if the caller disconnects: the outcome of an attempt that
        // was sent must be recorded.
        let task = tokio::spawn(run.run_once());
        task.await.unwrap_or_else(|_| {
            Err(Denial::unknown(Reason::EndpointFailed, "the call ended without an outcome"))
        })
    };
    let end = shell.now();
    let measured = AnswerTiming {
        begun: started,
        first_token: None,
        end,
        tokens: 0,
        completed: answer.is_ok(),
    };
    shell.record_service_level(&team, &route, &measured);
    drop(reservation);
    answer
}

/// State of a running call.
struct ServiceRun<P: Ports> {
    shell: Arc<Shell<P>>,
    request: ServiceRequest,
    spec: RequestSpec,
    /// Endpoints that are not tried again.
    excluded: Vec<Endpoint>,
    retry: RetryState,
}

impl<P: Ports> ServiceRun<P> {
    /// Runs a call that may be repeated.
    async fn run_repeatable(mut self) -> Result<Answer, Denial> {
        self.run_unclaimed().await.map(complete_answer)
    }

    /// Runs a call that must run at most once.
    async fn run_once(mut self) -> Result<Answer, Denial> {
        match self.request.key.clone() {
            Some(key) => self.run_claimed(&key).await,
            // Without a key, an attempt is retried only if it certainly did not run.
            None => self.run_unclaimed().await.map(complete_answer),
        }
    }

    /// Runs the call without a claim, with retries.
    async fn run_unclaimed(&mut self) -> Result<ServiceReply, Denial> {
        loop {
            let attempt = AttemptId(rand::random());
            let routed = self.shell.route(attempt, &self.spec, &mut self.excluded).await;
            let routed = routed.map_err(|d| self.retry.final_denial(d))?;
            match self.attempt(&routed, None).await {
                Ok(reply) => return Ok(reply),
                Err(failed) => self.retry.prepare_retry(&self.shell, failed).await?,
            }
        }
    }

    /// Claims the key and runs the call, with a new claim for each attempt.
    async fn run_claimed(&mut self, key: &str) -> Result<Answer, Denial> {
        loop {
            let attempt = AttemptId(rand::random());
            let routed = self.shell.route(attempt, &self.spec, &mut self.excluded).await?;
            let claim = ClaimCall {
                key: row_key(&self.request.route.name, &self.request.team, key),
                digest: body_digest(&self.request.body),
                attempt,
                endpoint: routed.endpoint.clone(),
                deadline: self.spec.deadline,
                created: wall_clock(),
            };
            let (ticket, event) = match self.shell.open_claim(claim) {
                OpenedClaim::Decided(event) => return event_result(event),
                OpenedClaim::Full => {
                    let message = "too many calls wait for the table service";
                    return Err(Denial::new(Reason::Overloaded, message).retry_after(Ms::secs(1)));
                }
                OpenedClaim::Pending(ticket, rx) => match rx.await {
                    Ok(event) => (ticket, event),
                    Err(_) => return event_result(ClaimEvent::NotRun),
                },
            };
            if !matches!(event, ClaimEvent::Proceed) {
                return event_result(event);
            }
            let failed = match self.attempt(&routed, Some(ticket)).await {
                Ok(reply) => {
                    self.shell.finish_claim(ticket, Outcome::Answer(claim_answer(&reply)));
                    return Ok(complete_answer(reply));
                }
                Err(failed) => failed,
            };
            if !failed.denial.maybe_ran {
                self.shell.finish_claim(ticket, Outcome::NotRun);
                self.retry.prepare_retry(&self.shell, failed).await?;
                continue;
            }
            // The answer was lost, but the service may have kept it.
            if let Some(reply) = self.query_answer(&routed.endpoint, attempt).await {
                self.shell.finish_claim(ticket, Outcome::Answer(claim_answer(&reply)));
                return Ok(complete_answer(reply));
            }
            self.shell.finish_claim(ticket, Outcome::Unknown);
            return Err(failed.denial);
        }
    }

    /// Queries the endpoint for a lost answer, for at most [`STATUS_QUERY_TIMEOUT`].
    async fn query_answer(&self, endpoint: &Endpoint, attempt: AttemptId) -> Option<ServiceReply> {
        let path = self.request.route.status_path.clone()?;
        let service = self.shell.service(endpoint)?;
        let until = self.shell.now() + STATUS_QUERY_TIMEOUT;
        while self.shell.now() < until {
            if let Ok(Some(found)) = service.status(&path, attempt).await {
                let mut headers = HeaderMap::new();
                if let Ok(content) = HeaderValue::from_str(&found.content) {
                    headers.insert(http::header::CONTENT_TYPE, content);
                }
                return Some(ServiceReply { status: found.status, headers, body: found.body });
            }
            sleep(STATUS_QUERY_INTERVAL.to_std()).await;
        }
        None
    }

    /// Obtains a permit and sends the call once.
    async fn attempt(
        &mut self,
        routed: &RoutedAttempt<P>,
        ticket: Option<Ticket>,
    ) -> Result<ServiceReply, FailedAttempt> {
        let (attempt, endpoint) = (routed.attempt, &routed.endpoint);
        let permit = self.shell.request_permit(&self.spec, routed).await;
        let mut permit = permit.map_err(|refusal| {
            self.excluded.push(endpoint.clone());
            refusal.failed_attempt()
        })?;
        let outgoing = ServiceCall {
            attempt,
            fence: permit.fence,
            method: self.request.method.clone(),
            path: self.request.path.clone(),
            headers: self.request.headers.clone(),
            body: self.request.body.clone(),
            deadline: self.shell.to_instant(self.spec.deadline),
            expiry: permit.expiry,
        };
        let Some(service) = self.shell.service(endpoint) else {
            return Err(self.not_sent(permit, "the endpoint is no longer listed"));
        };
        if !self.may_send(attempt, ticket) {
            return Err(self.not_sent(permit, "its claim is not committed"));
        }
        if !permit.mark_sent() {
            return Err(self.not_sent(permit, "the permit expired before the call was sent"));
        }
        match service.call(&outgoing).await {
            Ok(reply) => {
                permit.tokens = self.request.route.call_tokens;
                permit.apply(AttemptEvent::Answer);
                Ok(reply)
            }
            Err(StartError::Unsent(e)) => {
                permit.apply(AttemptEvent::Refuse);
                Err(self.not_sent(permit, &e))
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
                log::warn!(
                    "request {} attempt {attempt} on {endpoint} failed: {e}",
                    self.request.id
                );
                let message = "the service failed while the call may have been running";
                let denial = Denial::unknown(Reason::EndpointFailed, message);
                Err(FailedAttempt { denial, state: permit.state, owner_changing: false })
            }
        }
    }

    /// Whether the attempt may be sent: without a ticket, or with a committed claim.
    fn may_send(&self, attempt: AttemptId, ticket: Option<Ticket>) -> bool {
        let claims = self.shell.claims.lock().unwrap();
        let committed = ticket.is_none_or(|t| claims.may_send(t, attempt));
        drop(claims);
        self.shell.check_invariant(invariant::check_claim(attempt, committed), "claim")
    }

    /// Excludes the endpoint and returns the failure of an attempt that was not sent.
    fn not_sent(&mut self, permit: Permit<P>, why: &str) -> FailedAttempt {
        self.excluded.push(permit.endpoint.clone());
        let denial = Denial::new(Reason::NoEndpoint, format!("the service was not reached: {why}"));
        FailedAttempt::unsent(permit.checked_denial(denial.retry_after(Ms::secs(1))))
    }
}

/// The result of a call that ends without being sent.
fn event_result(event: ClaimEvent) -> Result<Answer, Denial> {
    match event {
        ClaimEvent::Replay(answer) => Ok(replayed_answer(&answer)),
        ClaimEvent::Conflict => Err(Denial::new(
            Reason::KeyConflict,
            "this idempotency key was used with a different body; the call did not run",
        )),
        ClaimEvent::Unknown(attempt) => {
            let message = "the outcome of the first call with this idempotency key is unknown";
            Err(Denial::unknown(Reason::OutcomeUnknown, message).fact("attempt", attempt))
        }
        ClaimEvent::NotRun | ClaimEvent::Proceed => {
            let message = "the idempotency key could not be claimed in time; the call did not run";
            Err(Denial::new(Reason::ClaimTimeout, message).retry_after(Ms::secs(1)))
        }
    }
}

fn complete_answer(reply: ServiceReply) -> Answer {
    let status = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY);
    Answer::Whole { status, headers: reply.headers, body: reply.body }
}

fn claim_answer(reply: &ServiceReply) -> ClaimAnswer {
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

fn replayed_answer(answer: &ClaimAnswer) -> Answer {
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
