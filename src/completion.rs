//! Processes completion requests: admission, permits, attempts and the answer.
//!
//! Dropping the future of a request releases everything it holds: the permit's pin at
//! the owner and the unused part of the token reservation.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use http::StatusCode;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::attempt::AttemptEvent;
use crate::config::{Config, PoolKind, ResolvedModel, RouteSpec};
use crate::denial::{Denial, Reason};
use crate::engine_client::{
    AnswerFrames, Engine, EngineCall, EngineReply, Frame, FrameError, StartError, Usage,
};
use crate::entry_node::RequestSpec;
use crate::gateway::error_event;
use crate::ids::{AttemptId, Endpoint, RequestId, Team};
use crate::invariant;
use crate::openai::{ChunkView, CompletionRequest};
use crate::permit::{Permit, ReservationGuard};
use crate::quarantine;
use crate::request_types::{Answer, AnswerTiming, Caller, json_answer};
use crate::retry::{FailedAttempt, RetryState};
use crate::shell::{Ports, Shell};
use crate::time::Ms;

/// Maximum number of requests to resume a stream at one offset.
const RESUME_ATTEMPTS_MAX: u32 = 4;
/// Events queued for a slow caller before reading from the engine pauses.
const EVENT_QUEUE_LEN: usize = 64;

/// A completion request after parsing and authentication.
pub(crate) struct CompletionCall {
    /// Request id.
    pub(crate) id: RequestId,
    /// Sender of the request.
    pub(crate) caller: Caller,
    /// Parsed body.
    pub(crate) parsed: CompletionRequest,
    /// Path at the engine.
    pub(crate) path: &'static str,
    /// Route of the model, which sets the service level.
    pub(crate) route: Option<RouteSpec>,
    /// Requirements for scheduling; the deadline is set on admission.
    pub(crate) spec: RequestSpec,
    /// Model name that the engine must report.
    pub(crate) model: String,
}

/// Priority of requests to models without a route.
const DEFAULT_PRIORITY: u8 = 1;

impl CompletionCall {
    /// Combines a parsed request with the configuration of its model.
    #[allow(clippy::too_many_arguments)]
    pub(crate) fn new(
        config: &Config,
        id: RequestId,
        caller: Caller,
        team: Team,
        target: ResolvedModel,
        parsed: CompletionRequest,
        path: &'static str,
        body: &[u8],
    ) -> Self {
        let route = config.model_route(&target.base, false).cloned();
        let serves = |p: &&crate::config::PoolSpec| matches!(&p.serves, PoolKind::Model(m) if **m == *target.base);
        let pool = match &route {
            Some(route) => route.pool.clone(),
            None => {
                config.pools().iter().find(serves).map_or_else(|| "".into(), |p| p.name.clone())
            }
        };
        let adapter = target.adapter.as_ref().map(|a| &a.adapter);
        let spec = RequestSpec {
            request: id,
            fingerprint: quarantine::fingerprint(&team, adapter, body),
            team,
            pool,
            priority: route.as_ref().map_or(DEFAULT_PRIORITY, |r| r.priority),
            tokens: parsed.tokens,
            repeatable: true,
            deadline: Ms(0),
            adapter: target.adapter.clone(),
        };
        let model = match &target.adapter {
            Some(adapter) => adapter.to_string(),
            None => target.base.to_string(),
        };
        Self { id, caller, parsed, path, route, spec, model }
    }
}

/// Runs a completion request.
///
/// # Errors
/// Returns the refusal; `maybe_ran` states whether an attempt may have run.
pub(crate) async fn run<P: Ports>(
    shell: Arc<Shell<P>>,
    mut call: CompletionCall,
) -> Result<Answer, Denial> {
    let begun = shell.now();
    let deadline = begun + shell.limits().request_timeout;
    call.spec.deadline = deadline;
    let reservation = shell.admit(&call.spec.team, call.spec.tokens, deadline).await?;
    let key = call.caller.key.clone();
    let mut run = CompletionRun {
        shell: shell.clone(),
        call,
        reservation,
        excluded: Vec::new(),
        retry: RetryState::new(begun, deadline, true),
        begun,
        first_token: None,
        received_tokens: 0,
        usage: None,
    };
    shell.retry_budget.lock().unwrap().on_first_attempt(begun);
    if run.call.parsed.stream {
        let started = tokio::select! {
            started = run.start() => started?,
            denial = shell.until_key_withdrawn(key) => return Err(denial),
        };
        let started = match started {
            Ok(started) => started,
            Err((status, body)) => return Ok(json_answer(status, body)),
        };
        let (tx, events) = mpsc::channel(EVENT_QUEUE_LEN);
        let model = run.call.model.clone();
        tokio::spawn(run.stream_answer(started, tx));
        Ok(Answer::Events { model, events })
    } else {
        tokio::select! {
            answer = run.collect_answer() => answer,
            denial = shell.until_key_withdrawn(key) => Err(denial),
        }
    }
}

struct CompletionRun<P: Ports> {
    shell: Arc<Shell<P>>,
    call: CompletionCall,
    reservation: ReservationGuard<P>,
    excluded: Vec<Endpoint>,
    retry: RetryState,
    begun: Ms,
    first_token: Option<Ms>,
    received_tokens: u64,
    usage: Option<Usage>,
}

/// An attempt whose first frame has arrived.
struct StartedAttempt<P: Ports> {
    permit: Permit<P>,
    reply: EngineReply<<P::Engine as Engine>::Frames>,
    first_frame: Option<Frame>,
}

/// Why an attempt ended before its first frame.
enum AttemptFailure {
    /// Another attempt may succeed.
    Retryable(FailedAttempt),
    /// No other attempt may be made; the caller gets this refusal.
    Final(Denial),
    /// The engine's own refusal is passed to the caller.
    PassThrough(StatusCode, Bytes),
}

impl<P: Ports> CompletionRun<P> {
    /// Makes attempts until one delivers its first frame.
    ///
    /// If an earlier attempt may have run, the refusal does not state "not run", whatever
    /// its own reason is. An inner error is the engine's refusal of the request itself.
    async fn start(&mut self) -> Result<Result<StartedAttempt<P>, (StatusCode, Bytes)>, Denial> {
        loop {
            match self.attempt().await {
                Ok(started) => return Ok(Ok(started)),
                Err(AttemptFailure::Final(denial)) => return Err(self.retry.final_denial(denial)),
                Err(AttemptFailure::PassThrough(status, body)) => return Ok(Err((status, body))),
                Err(AttemptFailure::Retryable(failed)) => {
                    self.retry.prepare_retry(&self.shell, failed).await?
                }
            }
        }
    }

    async fn attempt(&mut self) -> Result<StartedAttempt<P>, AttemptFailure> {
        self.shell.check_quarantine(self.call.spec.fingerprint).map_err(AttemptFailure::Final)?;
        let attempt = AttemptId(rand::random());
        let spec = &self.call.spec;
        let routed = self.shell.route(attempt, spec, &mut self.excluded).await;
        let routed = routed.map_err(AttemptFailure::Final)?;
        let permit = self.shell.request_permit(spec, &routed).await;
        let endpoint = routed.endpoint.clone();
        let mut permit = permit.map_err(|refusal| {
            self.excluded.push(endpoint.clone());
            match refusal.is_final() {
                true => AttemptFailure::Final(refusal.failed_attempt().denial),
                false => AttemptFailure::Retryable(refusal.failed_attempt()),
            }
        })?;
        let call = EngineCall {
            attempt,
            fence: permit.fence,
            path: self.call.path.to_owned(),
            body: self.call.parsed.engine_body(&self.call.model, self.call.spec.priority),
            stream: self.call.parsed.stream,
            deadline: self.shell.to_instant(self.call.spec.deadline),
            expiry: permit.expiry,
            resume_offset: None,
        };
        let Some(engine) = self.shell.engine(&endpoint) else {
            return Err(AttemptFailure::Retryable(
                self.unsent_failure(permit, "the endpoint is no longer listed"),
            ));
        };
        if !permit.mark_sent() {
            return Err(AttemptFailure::Retryable(
                self.unsent_failure(permit, "the permit expired before the request left"),
            ));
        }
        let started = tokio::select! {
            started = engine.start(&call) => started,
            () = self.until_not_running(&engine, attempt) => {
                Err(StartError::Unknown("the endpoint does not run the attempt".to_owned()))
            }
        };
        match started {
            Ok(mut reply) => match next_frame(&engine, attempt, &mut reply).await {
                Some(Ok(frame)) => {
                    permit.apply(AttemptEvent::Start);
                    Ok(StartedAttempt { permit, reply, first_frame: Some(frame) })
                }
                Some(Err(e)) => {
                    Err(AttemptFailure::Retryable(self.lost_failure(permit, &format!("{e:?}"))))
                }
                None => Err(AttemptFailure::Retryable(
                    self.lost_failure(permit, "the answer was empty"),
                )),
            },
            Err(StartError::Unsent(e)) => {
                permit.apply(AttemptEvent::Refuse);
                Err(AttemptFailure::Retryable(self.unsent_failure(permit, &e)))
            }
            Err(StartError::Refused { status, body }) => {
                permit.apply(AttemptEvent::Refuse);
                Err(self.refused_failure(permit, status, body))
            }
            Err(StartError::Unknown(e)) => {
                Err(AttemptFailure::Retryable(self.lost_failure(permit, &e)))
            }
        }
    }

    /// Returns once two consecutive engine states do not list the attempt as running.
    ///
    /// Nothing shows progress before the head of an answer, which for an answer that is not
    /// streamed arrives only at its end. Without this check, a silent connection would block
    /// the request until its deadline. Two states are needed because they may lag.
    async fn until_not_running(&self, engine: &P::Engine, attempt: AttemptId) {
        let mut missed = 0;
        while missed < 2 {
            sleep(self.shell.limits().progress_timeout.to_std()).await;
            if let Ok(state) = engine.state().await {
                let runs = state.running.contains(&attempt);
                missed = if runs { 0 } else { missed + 1 };
            }
        }
    }

    fn unsent_failure(&mut self, permit: Permit<P>, why: &str) -> FailedAttempt {
        self.excluded.push(permit.endpoint.clone());
        let denial =
            Denial::new(Reason::NoEndpoint, format!("the endpoint was not reached: {why}"));
        FailedAttempt::unsent(permit.checked_denial(denial.retry_after(Ms::secs(1))))
    }

    fn lost_failure(&mut self, mut permit: Permit<P>, why: &str) -> FailedAttempt {
        permit.apply(AttemptEvent::Lose);
        self.excluded.push(permit.endpoint.clone());
        log::warn!(
            "request {} attempt {} on {} failed: {why}",
            self.call.id,
            permit.attempt,
            permit.endpoint
        );
        let message = "the endpoint failed while the request may have been running";
        let denial = Denial::unknown(Reason::EndpointFailed, message).retry_after(Ms::secs(1));
        FailedAttempt { denial, state: permit.state, owner_changing: false }
    }

    fn refused_failure(&mut self, permit: Permit<P>, status: u16, body: Bytes) -> AttemptFailure {
        self.excluded.push(permit.endpoint.clone());
        // 400 and 422 concern the request itself; every endpoint would refuse it.
        if matches!(status, 400 | 422) {
            return AttemptFailure::PassThrough(
                StatusCode::from_u16(status).unwrap_or_default(),
                body,
            );
        }
        let message = format!("the endpoint refused the request with status {status}");
        let denial = Denial::new(Reason::EndpointRefused, message).retry_after(Ms::secs(1));
        let denial = permit.checked_denial(denial);
        AttemptFailure::Retryable(FailedAttempt {
            denial,
            state: permit.state,
            owner_changing: false,
        })
    }

    /// Checks that a frame comes from the requested adapter and version.
    fn check_frame(&self, attempt: AttemptId, frame: &Frame) -> Result<(), Denial> {
        let checked = invariant::check_answer_model(attempt, &self.call.model, &frame.model);
        if self.shell.check_invariant(checked, "adapter") {
            return Ok(());
        }
        Err(Denial::unknown(Reason::WrongAdapter, "the answer came from another adapter"))
    }

    fn record_tokens(&mut self, permit: &mut Permit<P>, frame: &Frame) {
        if let Some(usage) = frame.usage {
            self.usage = Some(usage);
        }
        self.received_tokens += frame.tokens;
        if self.first_token.is_none() && frame.tokens > 0 {
            let now = self.shell.now();
            self.first_token = Some(now);
            let route = self.call.route.as_ref().map_or("-", |r| r.name.as_str());
            self.shell.metrics.first_token(now.since(self.begun).0, route);
        }
        let total = self.usage.map_or(self.received_tokens, |u| u.prompt + u.completion);
        self.reservation.used = total;
        permit.tokens = total;
    }

    /// Returns a complete answer; a failed attempt is retried.
    async fn collect_answer(mut self) -> Result<Answer, Denial> {
        loop {
            let StartedAttempt { mut permit, mut reply, first_frame } = match self.start().await? {
                Ok(started) => started,
                Err((status, body)) => return Ok(json_answer(status, body)),
            };
            let Some(frame) = first_frame else { continue };
            self.check_frame(permit.attempt, &frame)?;
            self.record_tokens(&mut permit, &frame);
            if let Some(Err(e)) = reply.frames.next().await {
                let failed = self.lost_failure(permit, &format!("{e:?}"));
                self.retry.prepare_retry(&self.shell, failed).await?;
                continue;
            }
            permit.apply(AttemptEvent::Answer);
            self.record_outcome(true);
            return Ok(json_answer(StatusCode::OK, frame.raw));
        }
    }

    /// Streams an answer; a broken stream is resumed at its offset if possible.
    async fn stream_answer(mut self, started: StartedAttempt<P>, tx: mpsc::Sender<Bytes>) {
        let shell = self.shell.clone();
        let key = self.call.caller.key.clone();
        let _running = shell.track_running();
        let result = tokio::select! {
            result = self.forward_stream(started, &tx) => result,
            () = tx.closed() => return shell.metrics.cancelled(1, "caller"),
            denial = shell.until_key_withdrawn(key) => Err(denial),
        };
        match result {
            Ok(()) => {
                self.record_outcome(true);
                let _ = tx.send(Bytes::from_static(b"data: [DONE]\n\n")).await;
            }
            Err(denial) => {
                self.record_outcome(false);
                let target = Some(self.call.parsed.model.as_str());
                let id = self.call.id;
                let refusal = self.shell.record_refusal(id, &self.call.caller, target, &denial);
                let _ = tx.send(error_event(&denial, &refusal)).await;
            }
        }
    }

    async fn forward_stream(
        &mut self,
        started: StartedAttempt<P>,
        tx: &mpsc::Sender<Bytes>,
    ) -> Result<(), Denial> {
        let StartedAttempt { mut permit, mut reply, mut first_frame } = started;
        loop {
            let next = match first_frame.take() {
                Some(frame) => Some(Ok(frame)),
                None => match self.shell.engine(&permit.endpoint) {
                    Some(engine) => next_frame(&engine, permit.attempt, &mut reply).await,
                    None => reply.frames.next().await,
                },
            };
            let e = match next {
                Some(Ok(frame)) => {
                    self.check_frame(permit.attempt, &frame)?;
                    self.record_tokens(&mut permit, &frame);
                    self.forward_frame(&frame, tx).await;
                    continue;
                }
                None => {
                    permit.apply(AttemptEvent::Answer);
                    return Ok(());
                }
                Some(Err(e)) => e,
            };
            let resumed = match reply.resumable {
                true => self.resume(&permit).await,
                false => None,
            };
            match resumed {
                // What two versions of the software write does not fit together.
                Some(next) if next.software != reply.software => {
                    let why = format!("{:?} after {:?}", next.software, reply.software);
                    return Err(self.lost_failure(permit, &why).denial);
                }
                Some(next) => reply = next,
                None => {
                    return Err(self.lost_failure(permit, &format!("{e:?}")).denial);
                }
            }
        }
    }

    /// Resumes the attempt's stream after the tokens received so far.
    async fn resume(
        &mut self,
        permit: &Permit<P>,
    ) -> Option<EngineReply<<P::Engine as Engine>::Frames>> {
        let engine = self.shell.engine(&permit.endpoint)?;
        let call = EngineCall {
            attempt: permit.attempt,
            fence: permit.fence,
            path: self.call.path.to_owned(),
            body: self.call.parsed.engine_body(&self.call.model, self.call.spec.priority),
            stream: true,
            deadline: self.shell.to_instant(self.call.spec.deadline),
            // The attempt runs already.
            expiry: Ms(u64::MAX),
            resume_offset: Some(self.received_tokens),
        };
        for n in 1..=RESUME_ATTEMPTS_MAX {
            let why = match engine.start(&call).await {
                Ok(reply) => {
                    self.shell.metrics.resumes(1);
                    log::info!(
                        "request {} resumed after {} tokens",
                        self.call.id,
                        self.received_tokens
                    );
                    return Some(reply);
                }
                Err(StartError::Refused { status, .. }) => {
                    log::warn!(
                        "resuming request {} was refused with status {status}",
                        self.call.id
                    );
                    return None;
                }
                // Asking again for the same attempt at the same offset is safe.
                Err(StartError::Unsent(why) | StartError::Unknown(why)) => why,
            };
            log::warn!("resuming request {} failed, attempt {n}: {why}", self.call.id);
            if n < RESUME_ATTEMPTS_MAX {
                self.retry.wait_backoff(&self.shell).await;
            }
        }
        None
    }

    async fn forward_frame(&self, frame: &Frame, tx: &mpsc::Sender<Bytes>) {
        // Usage is always requested from the engine but forwarded only if the caller asked.
        let only_usage = frame.usage.is_some() && frame.tokens == 0;
        if only_usage && !self.call.parsed.include_usage {
            let view = serde_json::from_slice::<ChunkView>(&frame.raw);
            if view.is_ok_and(|v| v.choices.is_empty()) {
                return;
            }
        }
        let mut event = BytesMut::with_capacity(frame.raw.len() + 8);
        event.extend_from_slice(b"data: ");
        event.extend_from_slice(&frame.raw);
        event.extend_from_slice(b"\n\n");
        let _ = tx.send(event.freeze()).await;
    }

    fn record_outcome(&self, answered: bool) {
        let Some(route) = &self.call.route else { return };
        let (begun, first, tokens) = (self.begun, self.first_token, self.received_tokens);
        let answer = AnswerTiming {
            begun,
            first_token: first,
            end: self.shell.now(),
            tokens,
            completed: answered,
        };
        self.shell.record_service_level(&self.call.spec.team, route, &answer);
    }
}

/// The next frame of an answer. A stream that cannot be resumed is waited for while its engine
/// says that it runs the attempt, however slow it is.
async fn next_frame<E: Engine>(
    engine: &E,
    attempt: AttemptId,
    reply: &mut EngineReply<E::Frames>,
) -> Option<Result<Frame, FrameError>> {
    loop {
        let next = reply.frames.next().await;
        let is_silent = matches!(next, Some(Err(FrameError::Silent)));
        if !is_silent || reply.resumable {
            return next;
        }
        match engine.state().await {
            Ok(state) if state.running.contains(&attempt) => reply.frames.wait_on(),
            Ok(_) => return next,
            Err(e) => {
                log::warn!("attempt {attempt} is silent and its engine does not answer: {e}");
                return next;
            }
        }
    }
}
