//! The life of a completion: admission, permit, attempts, answer, settlement.
//!
//! A request that is not answered releases everything it holds when its future is
//! dropped: the permit's pin at the owner and the unused part of the reservation.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use http::StatusCode;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::attempt::AttemptEvent;
use crate::config::{Config, PoolKind, ResolvedModel, RouteSpec};
use crate::denial::{Denial, Reason};
use crate::engine_client::{Call, Engine, Frame, Reply, StartError, Usage};
use crate::entry_node::RequestSpec;
use crate::gateway::error_event;
use crate::ids::{AttemptId, Endpoint, RequestId, Team};
use crate::invariant;
use crate::openai::{ChunkView, Completion};
use crate::permit::{Permit, ReservationGuard};
use crate::quarantine;
use crate::request_types::{Answer, AnswerTiming, Caller, passed};
use crate::retry::{FailedAttempt, RetryState};
use crate::shell::{Ports, Shell};
use crate::time::Ms;

/// Most requests to resume a stream at one offset.
const RESUMES_MAX: u32 = 4;
/// Events that may wait for a slow caller before the engine's stream is held back.
const EVENTS: usize = 64;
/// A completion request after parsing and authentication.
pub(crate) struct CompletionCall {
    /// The request's identifier.
    pub(crate) id: RequestId,
    /// Who sent it.
    pub(crate) caller: Caller,
    /// The parsed body.
    pub(crate) parsed: Completion,
    /// Path at the engine.
    pub(crate) path: &'static str,
    /// Route of the model, for service levels.
    pub(crate) route: Option<RouteSpec>,
    /// What the request needs of an endpoint; its deadline is set on admission.
    pub(crate) demand: RequestSpec,
    /// Name that the engine must report.
    pub(crate) model: String,
}

/// Priority class of models without a route.
const DEFAULT_KIND: u8 = 1;

impl CompletionCall {
    /// Joins what was parsed with what the configuration says about the model.
    #[allow(clippy::too_many_arguments)]
    pub(crate) fn new(
        config: &Config,
        id: RequestId,
        caller: Caller,
        team: Team,
        target: ResolvedModel,
        parsed: Completion,
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
        let demand = RequestSpec {
            request: id,
            fingerprint: quarantine::fingerprint(&team, adapter, body),
            team,
            pool,
            priority: route.as_ref().map_or(DEFAULT_KIND, |r| r.priority),
            tokens: parsed.tokens,
            repeatable: true,
            deadline: Ms(0),
            adapter: target.adapter.clone(),
        };
        let model = match &target.adapter {
            Some(adapter) => adapter.to_string(),
            None => target.base.to_string(),
        };
        Self { id, caller, parsed, path, route, demand, model }
    }
}

/// Runs a completion and returns its answer or the reason of its refusal.
///
/// # Errors
/// Returns the refusal; `maybe_ran` tells whether an attempt may have run.
pub(crate) async fn completion<P: Ports>(
    shell: Arc<Shell<P>>,
    mut call: CompletionCall,
) -> Result<Answer, Denial> {
    let begun = shell.now();
    let deadline = begun + shell.limits().request_timeout;
    call.demand.deadline = deadline;
    let stock = shell.admit(&call.demand.team, call.demand.tokens, deadline).await?;
    let key = call.caller.key.clone();
    let mut run = CompletionRun {
        shell: shell.clone(),
        call,
        stock,
        excluded: Vec::new(),
        retry: RetryState::new(begun, deadline, true),
        begun,
        first: None,
        sent: 0,
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
            Err((status, body)) => return Ok(passed(status, body)),
        };
        let (tx, events) = mpsc::channel(EVENTS);
        let model = run.call.model.clone();
        tokio::spawn(run.stream(started, tx));
        Ok(Answer::Events { model, events })
    } else {
        tokio::select! {
            answer = run.whole() => answer,
            denial = shell.until_key_withdrawn(key) => Err(denial),
        }
    }
}

struct CompletionRun<P: Ports> {
    shell: Arc<Shell<P>>,
    call: CompletionCall,
    stock: ReservationGuard<P>,
    excluded: Vec<Endpoint>,
    retry: RetryState,
    begun: Ms,
    first: Option<Ms>,
    sent: u64,
    usage: Option<Usage>,
}

/// A reply whose first frame has arrived.
struct Started<P: Ports> {
    permit: Permit<P>,
    reply: Reply<<P::Engine as Engine>::Frames>,
    first: Option<Frame>,
}

/// How an attempt ended before its first frame.
enum Ended {
    /// Another attempt may help.
    Failed(FailedAttempt),
    /// The caller gets this.
    Final(Denial),
    /// The engine's own refusal passes to the caller.
    Pass(StatusCode, Bytes),
}

impl<P: Ports> CompletionRun<P> {
    /// Makes attempts until one has its first frame.
    ///
    /// A refusal after an attempt that may have run does not say "not run", whatever the
    /// reason of the refusal itself.
    async fn start(&mut self) -> Result<Result<Started<P>, (StatusCode, Bytes)>, Denial> {
        loop {
            match self.attempt().await {
                Ok(started) => return Ok(Ok(started)),
                Err(Ended::Final(denial)) => return Err(self.retry.final_denial(denial)),
                Err(Ended::Pass(status, body)) => return Ok(Err((status, body))),
                Err(Ended::Failed(failed)) => self.retry.prepare_retry(&self.shell, failed).await?,
            }
        }
    }

    async fn attempt(&mut self) -> Result<Started<P>, Ended> {
        self.shell.check_quarantine(self.call.demand.fingerprint).map_err(Ended::Final)?;
        let attempt = AttemptId(rand::random());
        let demand = &self.call.demand;
        let routed = self.shell.route(attempt, demand, &mut self.excluded).await;
        let routed = routed.map_err(Ended::Final)?;
        let permit = self.shell.request_permit(demand, &routed).await;
        let endpoint = routed.endpoint.clone();
        let mut permit = permit.map_err(|refusal| {
            self.excluded.push(endpoint.clone());
            match refusal.is_final() {
                true => Ended::Final(refusal.failed_attempt().denial),
                false => Ended::Failed(refusal.failed_attempt()),
            }
        })?;
        let call = Call {
            attempt,
            fence: permit.fence,
            path: self.call.path.to_owned(),
            body: self.call.parsed.engine_body(&self.call.model, self.call.demand.priority),
            stream: self.call.parsed.stream,
            deadline: self.shell.to_instant(self.call.demand.deadline),
            resume: None,
        };
        let Some(engine) = self.shell.engine(&endpoint) else {
            return Err(Ended::Failed(self.unsent(permit, "the endpoint is no longer listed")));
        };
        if !permit.mark_sent() {
            return Err(Ended::Failed(
                self.unsent(permit, "the permit expired before the request left"),
            ));
        }
        let started = tokio::select! {
            started = engine.start(&call) => started,
            () = self.forgotten(&engine, attempt) => {
                Err(StartError::Unknown("the endpoint does not run the attempt".to_owned()))
            }
        };
        match started {
            Ok(mut reply) => match reply.frames.next().await {
                Some(Ok(frame)) => {
                    permit.apply(AttemptEvent::Start);
                    Ok(Started { permit, reply, first: Some(frame) })
                }
                Some(Err(e)) => Err(Ended::Failed(self.broken(permit, &format!("{e:?}")))),
                None => Err(Ended::Failed(self.broken(permit, "the answer was empty"))),
            },
            Err(StartError::Unsent(e)) => {
                permit.apply(AttemptEvent::Refuse);
                Err(Ended::Failed(self.unsent(permit, &e)))
            }
            Err(StartError::Refused { status, body }) => {
                permit.apply(AttemptEvent::Refuse);
                Err(self.refused(permit, status, body))
            }
            Err(StartError::Unknown(e)) => Err(Ended::Failed(self.broken(permit, &e))),
        }
    }

    /// Returns when the engine has twice not listed the attempt as running.
    ///
    /// Nothing shows progress before an answer's head, which comes last where the
    /// answer is not streamed, so a connection that went silent would hold its request
    /// up to the deadline. The second look allows for the lag of the engine's report.
    async fn forgotten(&self, engine: &P::Engine, attempt: AttemptId) {
        let mut missed = 0;
        while missed < 2 {
            sleep(self.shell.limits().progress_timeout.to_std()).await;
            if let Ok(state) = engine.state().await {
                let runs = state.running.contains(&attempt);
                missed = if runs { 0 } else { missed + 1 };
            }
        }
    }

    fn unsent(&mut self, permit: Permit<P>, why: &str) -> FailedAttempt {
        self.excluded.push(permit.endpoint.clone());
        let denial =
            Denial::new(Reason::NoEndpoint, format!("the endpoint was not reached: {why}"));
        FailedAttempt::unsent(permit.checked_denial(denial.retry_after(Ms::secs(1))))
    }

    fn broken(&mut self, mut permit: Permit<P>, why: &str) -> FailedAttempt {
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

    fn refused(&mut self, permit: Permit<P>, status: u16, body: Bytes) -> Ended {
        self.excluded.push(permit.endpoint.clone());
        // 400 and 422 are about the request itself; no other endpoint decides otherwise.
        if matches!(status, 400 | 422) {
            return Ended::Pass(StatusCode::from_u16(status).unwrap_or_default(), body);
        }
        let message = format!("the endpoint refused the request with status {status}");
        let denial = Denial::new(Reason::EndpointRefused, message).retry_after(Ms::secs(1));
        let denial = permit.checked_denial(denial);
        Ended::Failed(FailedAttempt { denial, state: permit.state, owner_changing: false })
    }

    /// Sees that a frame comes from the adapter and version that were asked for.
    fn check_frame(&self, attempt: AttemptId, frame: &Frame) -> Result<(), Denial> {
        let checked = invariant::check_answer_model(attempt, &self.call.model, &frame.model);
        if self.shell.check_invariant(checked, "adapter") {
            return Ok(());
        }
        Err(Denial::unknown(Reason::WrongAdapter, "the answer came from another adapter"))
    }

    fn count(&mut self, permit: &mut Permit<P>, frame: &Frame) {
        if let Some(usage) = frame.usage {
            self.usage = Some(usage);
        }
        self.sent += frame.tokens;
        if self.first.is_none() && frame.tokens > 0 {
            let now = self.shell.now();
            self.first = Some(now);
            let route = self.call.route.as_ref().map_or("-", |r| r.name.as_str());
            self.shell.metrics.first_token(now.since(self.begun).0, route);
        }
        let total = self.usage.map_or(self.sent, |u| u.prompt + u.completion);
        self.stock.used = total;
        permit.tokens = total;
    }

    /// Collects a whole answer; a broken one is tried again.
    async fn whole(mut self) -> Result<Answer, Denial> {
        loop {
            let Started { mut permit, mut reply, first } = match self.start().await? {
                Ok(started) => started,
                Err((status, body)) => return Ok(passed(status, body)),
            };
            let Some(frame) = first else { continue };
            self.check_frame(permit.attempt, &frame)?;
            self.count(&mut permit, &frame);
            if let Some(Err(e)) = reply.frames.next().await {
                let failed = self.broken(permit, &format!("{e:?}"));
                self.retry.prepare_retry(&self.shell, failed).await?;
                continue;
            }
            permit.apply(AttemptEvent::Answer);
            self.finished(true);
            return Ok(passed(StatusCode::OK, frame.raw));
        }
    }

    /// Streams an answer; a broken one is resumed at its offset where possible.
    async fn stream(mut self, started: Started<P>, tx: mpsc::Sender<Bytes>) {
        let shell = self.shell.clone();
        let key = self.call.caller.key.clone();
        let _running = shell.enter();
        let result = tokio::select! {
            result = self.pump(started, &tx) => result,
            () = tx.closed() => return shell.metrics.cancelled(1, "caller"),
            denial = shell.until_key_withdrawn(key) => Err(denial),
        };
        match result {
            Ok(()) => {
                self.finished(true);
                let _ = tx.send(Bytes::from_static(b"data: [DONE]\n\n")).await;
            }
            Err(denial) => {
                self.finished(false);
                let target = Some(self.call.parsed.model.as_str());
                let id = self.call.id;
                let refusal = self.shell.record_refusal(id, &self.call.caller, target, &denial);
                let _ = tx.send(error_event(&denial, &refusal)).await;
            }
        }
    }

    async fn pump(&mut self, started: Started<P>, tx: &mpsc::Sender<Bytes>) -> Result<(), Denial> {
        let Started { mut permit, mut reply, mut first } = started;
        loop {
            let next = match first.take() {
                Some(frame) => Some(Ok(frame)),
                None => reply.frames.next().await,
            };
            let e = match next {
                Some(Ok(frame)) => {
                    self.check_frame(permit.attempt, &frame)?;
                    self.count(&mut permit, &frame);
                    self.forward(&frame, tx).await;
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
                Some(next) => reply = next,
                None => {
                    return Err(self.broken(permit, &format!("{e:?}")).denial);
                }
            }
        }
    }

    /// Continues the attempt's stream after the tokens that have arrived.
    async fn resume(&mut self, permit: &Permit<P>) -> Option<Reply<<P::Engine as Engine>::Frames>> {
        let engine = self.shell.engine(&permit.endpoint)?;
        let call = Call {
            attempt: permit.attempt,
            fence: permit.fence,
            path: self.call.path.to_owned(),
            body: self.call.parsed.engine_body(&self.call.model, self.call.demand.priority),
            stream: true,
            deadline: self.shell.to_instant(self.call.demand.deadline),
            resume: Some(self.sent),
        };
        for n in 1..=RESUMES_MAX {
            let why = match engine.start(&call).await {
                Ok(reply) => {
                    self.shell.metrics.resumes(1);
                    log::info!("request {} resumed after {} tokens", self.call.id, self.sent);
                    return Some(reply);
                }
                Err(StartError::Refused { status, .. }) => {
                    log::warn!("resuming {} was refused with status {status}", self.call.id);
                    return None;
                }
                // The same attempt at the same offset may be asked for again.
                Err(StartError::Unsent(why) | StartError::Unknown(why)) => why,
            };
            log::warn!("resuming request {} failed, try {n}: {why}", self.call.id);
            if n < RESUMES_MAX {
                self.retry.wait_backoff(&self.shell).await;
            }
        }
        None
    }

    async fn forward(&self, frame: &Frame, tx: &mpsc::Sender<Bytes>) {
        // The gateway asks for usage always; the caller gets it only on request.
        let only_usage = frame.usage.is_some() && frame.tokens == 0;
        if only_usage && !self.call.parsed.usage {
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

    fn finished(&self, answered: bool) {
        let Some(route) = &self.call.route else { return };
        let (begun, first, tokens) = (self.begun, self.first, self.sent);
        let answer = AnswerTiming {
            begun,
            first_token: first,
            end: self.shell.now(),
            tokens,
            completed: answered,
        };
        self.shell.record_service_level(&self.call.demand.team, route, &answer);
    }
}
