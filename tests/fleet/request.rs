//! Handling of a request by its entry node, as the shell does it.

use rand::RngExt;
use sycamorefork::attempt::{AttemptEvent, AttemptHistory, AttemptState, RunStatus};
use sycamorefork::claim::{Call, ClaimOutput, Opened, Outcome as Claimed, Ticket, row_key};
use sycamorefork::entry_node::{AdmitResult, HeldPermit, RequestSpec, RouteTarget};
use sycamorefork::generated::peer::PermitReply;
use sycamorefork::ids::{AdapterRef, AttemptId, Endpoint, Node, RequestId, Team};
use sycamorefork::invariant;
use sycamorefork::permit_issuer::AttemptOutcome;
use sycamorefork::quota::Reservation;
use sycamorefork::time::Ms;

use super::endpoint::{AttemptEnd, EndpointCall, answer};
use super::{Input, Step, TEAMS, World};

/// Time without an answer after which an attempt is given up, in milliseconds.
const ATTEMPT_TIMEOUT_MS: u64 = 4_000;

/// Properties of a caller's request.
#[derive(Clone, Debug)]
pub struct RequestPlan {
    pub node: usize,
    pub team: &'static str,
    pub adapter: Option<AdapterRef>,
    pub key: Option<usize>,
    pub repeatable: bool,
    pub tokens: u64,
    /// Time until the deadline, in milliseconds.
    pub timeout_ms: u64,
    /// Whether the request crashes the endpoint that runs it.
    pub crashes_endpoint: bool,
}

/// Result reported to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    Answered,
    NotRun,
    Unknown,
    /// The entry node was killed.
    Lost,
}

struct Attempt {
    id: AttemptId,
    endpoint: Endpoint,
    owner: Node,
    fence: u64,
    asked: u64,
    state: AttemptState,
    ticket: Option<Ticket>,
    waiting: bool,
}

pub struct TestRequest {
    pub spec: RequestPlan,
    pub node: usize,
    pub node_incarnation: u32,
    pub deadline: u64,
    pub end: Option<RequestEnd>,
    pub ran: u32,
    /// The granted attempt, and the incarnation of the endpoint that its owner had read.
    pub granted: Option<(AttemptId, u64)>,
    reservation: Option<Reservation>,
    excluded: Vec<Endpoint>,
    tries: u32,
    sent: AttemptHistory,
    attempt: Option<Attempt>,
}

impl World {
    pub(super) fn start_request(&mut self, spec: RequestPlan) {
        let serving = self.serving();
        let Some(&node) = serving.get(spec.node % serving.len().max(1)) else { return };
        let config = self.members[node].core.config.clone();
        let key = format!("k{}", spec.team);
        if !config.is_some_and(|c| c.is_key_active(&key.as_str().into())) {
            return;
        }
        self.requests.push(TestRequest {
            node,
            node_incarnation: self.members[node].incarnation,
            deadline: self.now + spec.timeout_ms,
            spec,
            end: None,
            ran: 0,
            granted: None,
            reservation: None,
            excluded: Vec::new(),
            tries: 0,
            sent: AttemptHistory::default(),
            attempt: None,
        });
        let r = self.requests.len() - 1;
        self.reach_step(Step::RequestStarted, node, r % self.endpoints.len());
        self.schedule_input(node, 0, Input::Advance(r));
    }

    fn request_spec(&self, r: usize) -> RequestSpec {
        let spec = &self.requests[r].spec;
        RequestSpec {
            request: RequestId(r as u128),
            team: Team::new(spec.team),
            pool: if spec.adapter.is_some() { "engines".into() } else { "services".into() },
            adapter: spec.adapter.clone(),
            priority: 1,
            tokens: spec.tokens,
            fingerprint: if spec.crashes_endpoint { 7 } else { 1_000 + r as u64 },
            repeatable: spec.repeatable,
            deadline: Ms(self.requests[r].deadline),
        }
    }

    /// Advances a request that is not waiting, or gives up a wait whose owner has changed or
    /// whose deadline has passed.
    pub(super) fn advance_request(&mut self, r: usize) {
        if self.requests[r].end.is_some() {
            return;
        }
        let late = self.now >= self.requests[r].deadline;
        if let Some(attempt) = &self.requests[r].attempt {
            if attempt.waiting {
                let (i, id, owner) = (self.requests[r].node, attempt.id, attempt.owner.clone());
                let endpoint = attempt.endpoint.clone();
                let core = &self.members[i].core;
                let moved = core.live_owner(Ms(self.now), &endpoint) != Some(&owner);
                if !late && !moved {
                    return self.schedule_input(i, 50, Input::Advance(r));
                }
                self.with_core(i, |core, now, out| core.cancel_permit(now, id, &owner, out));
                self.retry(r);
            }
            return;
        }
        if late {
            return self.finish(r, RequestEnd::NotRun);
        }
        if self.requests[r].reservation.is_none() && !self.admit(r) {
            return;
        }
        self.route(r);
    }

    fn admit(&mut self, r: usize) -> bool {
        let (i, spec) = (self.requests[r].node, self.requests[r].spec.clone());
        let team = Team::new(spec.team);
        match self.with_core(i, |core, now, out| core.admit(now, &team, spec.tokens, out)) {
            AdmitResult::Granted(reservation) => {
                self.requests[r].reservation = Some(reservation);
                self.charge_team(spec.team, spec.tokens);
                true
            }
            AdmitResult::AwaitLoans | AdmitResult::AwaitSeats(_) => {
                self.schedule_input(i, 25, Input::Advance(r));
                false
            }
            AdmitResult::Denied(_) => {
                self.finish(r, RequestEnd::NotRun);
                false
            }
        }
    }

    /// Charges admitted tokens to the team and checks its rate and burst over all nodes.
    fn charge_team(&mut self, team: &'static str, tokens: u64) {
        let (_, rate, burst) = TEAMS.iter().find(|t| t.0 == team).expect("a team");
        let bucket = self.buckets.get_mut(team).expect("a team");
        let gain = (self.now - bucket.1) as f64 * *rate as f64 / 1_000.0;
        let full = (bucket.0 + gain).min(*burst as f64).max(bucket.0);
        *bucket = (full - tokens as f64, self.now);
        let level = bucket.0;
        if level < -1.0 {
            self.add_violation(format!("team {team} exceeds its rate and burst by {}", -level));
        }
    }

    fn route(&mut self, r: usize) {
        let (i, request) = (self.requests[r].node, self.request_spec(r));
        let excluded = self.requests[r].excluded.clone();
        let id = AttemptId(self.rng.random());
        let found = self.with_core(i, |core, now, _| core.route(now, id, &request, &excluded));
        let Ok(RouteTarget { endpoint, owner }) = found else {
            self.requests[r].excluded.clear();
            return self.schedule_input(i, 50, Input::Advance(r));
        };
        let e = self.endpoint_index(&endpoint);
        let mut attempt = Attempt {
            id,
            endpoint: endpoint.clone(),
            owner,
            fence: 0,
            asked: self.now,
            state: AttemptState::Unsent,
            ticket: None,
            waiting: false,
        };
        let Some(key) = self.requests[r].spec.key else {
            self.requests[r].attempt = Some(attempt);
            self.reach_step(Step::Routed, i, e);
            return self.ask_permit(r);
        };
        let call = Call {
            key: row_key(
                &"bookings".into(),
                &Team::new(self.requests[r].spec.team),
                &key.to_string(),
            ),
            digest: "d".into(),
            attempt: id,
            endpoint,
            deadline: Ms(self.requests[r].deadline),
            created: Ms(self.now),
        };
        match self.members[i].claims.open(Ms(self.now), call) {
            Opened::Queued(ticket) | Opened::Wait(ticket) => {
                attempt.ticket = Some(ticket);
                self.requests[r].attempt = Some(attempt);
                self.members[i].tickets.insert(ticket, r);
                self.reach_step(Step::Routed, i, e);
                self.run_claims(i);
            }
            Opened::Replay(_) => self.finish(r, RequestEnd::Answered),
            Opened::Unknown { .. } => self.finish(r, RequestEnd::Unknown),
            Opened::Conflict | Opened::Full => self.finish(r, RequestEnd::NotRun),
        }
    }

    pub(super) fn on_claim(&mut self, i: usize, event: ClaimOutput) {
        let (ticket, end) = match event {
            ClaimOutput::Proceed(ticket) => (ticket, None),
            ClaimOutput::Replay(ticket, _) => (ticket, Some(RequestEnd::Answered)),
            ClaimOutput::Conflict(ticket) | ClaimOutput::NotRun(ticket, _) => {
                (ticket, Some(RequestEnd::NotRun))
            }
            ClaimOutput::Unknown { ticket, .. } => (ticket, Some(RequestEnd::Unknown)),
            _ => return,
        };
        let Some(r) = self.members[i].tickets.remove(&ticket) else { return };
        let waits = self.requests[r].end.is_none()
            && self.requests[r].attempt.as_ref().is_some_and(|a| a.ticket == Some(ticket));
        match end {
            None if waits => self.ask_permit(r),
            None => self.end_claim(i, ticket, Claimed::NotRun),
            Some(end) if waits => self.finish(r, end),
            Some(_) => {}
        }
    }

    fn end_claim(&mut self, i: usize, ticket: Ticket, outcome: Claimed) {
        if let Err(e) = self.members[i].claims.finish(Ms(self.now), ticket, outcome) {
            self.add_violation(format!("node-{i}: {e}"));
        }
    }

    fn ask_permit(&mut self, r: usize) {
        let (i, request) = (self.requests[r].node, self.request_spec(r));
        let Some(attempt) = &mut self.requests[r].attempt else { return };
        attempt.waiting = true;
        attempt.asked = self.now;
        let (id, endpoint, owner) = (attempt.id, attempt.endpoint.clone(), attempt.owner.clone());
        self.with_core(i, |core, now, out| {
            core.request_permit(now, id, &request, &endpoint, &owner, out)
        });
        let e = self.endpoint_index(&endpoint);
        self.reach_step(Step::PermitRequested, i, e);
        self.schedule_input(i, 50, Input::Advance(r));
    }

    /// Checks a permit when its owner sends it.
    pub(super) fn on_grant(&mut self, i: usize, reply: &PermitReply) {
        if !reply.granted {
            return;
        }
        let e = self.endpoint_index(&Endpoint::new(&reply.endpoint));
        let left = self.endpoints[e].left_at;
        if left.is_some_and(|at| self.now > at + 3_000) {
            self.add_violation(format!("{} is leaving but was granted a permit", reply.endpoint));
        }
        let owner = self.members[i].name.clone();
        let key = (self.endpoints[e].name.clone(), reply.fence);
        let first = self.fences.entry(key).or_insert(owner.clone()).clone();
        if first != owner {
            self.add_violation(format!(
                "fence {} of {} has two owners",
                reply.fence, reply.endpoint
            ));
        }
        let id = AttemptId(u128::from_be_bytes(reply.attempt.as_slice().try_into().unwrap()));
        let asked = |r: &super::TestRequest| r.attempt.as_ref().is_some_and(|a| a.id == id);
        let incarnation = self.endpoints[e].known_incarnation;
        if let Some(req) = self.requests.iter_mut().find(|r| asked(r)) {
            req.granted = Some((id, incarnation));
        }
        self.reach_step(Step::PermitGranted, i, e);
    }

    pub(super) fn on_permit(&mut self, i: usize, id: AttemptId, reply: &PermitReply) {
        let asked = |q: &TestRequest| q.attempt.as_ref().is_some_and(|a| a.id == id && a.waiting);
        let found = self.requests.iter().position(|q| q.end.is_none() && q.node == i && asked(q));
        let Some(r) = found else {
            if reply.granted {
                let endpoint = Endpoint::new(&reply.endpoint);
                self.with_core(i, |core, now, out| {
                    if let Some(owner) = core.live_owner(now, &endpoint).cloned() {
                        core.end_permit(now, id, &owner, AttemptOutcome::Unsent, 0, out);
                    }
                });
            }
            return;
        };
        let adapter = self.requests[r].spec.adapter.clone();
        let Some(attempt) = &mut self.requests[r].attempt else { return };
        attempt.waiting = false;
        if !reply.granted {
            let (owner, endpoint) = (attempt.owner.clone(), attempt.endpoint.clone());
            self.requests[r].excluded.push(endpoint);
            self.with_core(i, |core, now, out| core.cancel_permit(now, id, &owner, out));
            return self.retry(r);
        }
        attempt.fence = reply.fence;
        let until = attempt.asked + reply.held + reply.valid;
        let (endpoint, ticket) = (attempt.endpoint.clone(), attempt.ticket);
        let held = HeldPermit { endpoint: endpoint.clone(), adapter };
        self.with_core(i, |core, _, _| core.hold_permit(id, held));
        let claimed = ticket.is_none_or(|t| self.members[i].claims.may_send(t, id));
        if let Err(violation) = invariant::check_claim(id, claimed) {
            self.add_violation(violation.to_string());
        }
        if self.now >= until || !claimed {
            self.step_attempt(r, AttemptEvent::Drop);
            self.end_permit(r, AttemptOutcome::Unsent);
            return self.retry(r);
        }
        self.step_attempt(r, AttemptEvent::Send);
        let (e, fence) = (self.endpoint_index(&endpoint), reply.fence);
        self.reach_step(Step::AttemptSent, i, e);
        if self.members[i].alive {
            self.call_endpoint(e, i, EndpointCall::Run(r, id, fence));
            self.schedule_input(
                i,
                ATTEMPT_TIMEOUT_MS,
                Input::AttemptEnded(r, id, AttemptEnd::Broken),
            );
        }
    }

    fn step_attempt(&mut self, r: usize, step: AttemptEvent) {
        let Some(attempt) = &mut self.requests[r].attempt else { return };
        if let Err(violation) = invariant::apply_event(attempt.id, &mut attempt.state, step) {
            self.add_violation(violation.to_string());
        }
    }

    fn end_permit(&mut self, r: usize, outcome: AttemptOutcome) {
        let (i, tokens) = (self.requests[r].node, self.requests[r].spec.tokens);
        let Some(attempt) = &self.requests[r].attempt else { return };
        let (id, owner) = (attempt.id, attempt.owner.clone());
        self.with_core(i, |core, now, out| core.end_permit(now, id, &owner, outcome, tokens, out));
    }

    pub(super) fn on_answer(&mut self, r: usize, id: AttemptId, reply: AttemptEnd) {
        let current = self.requests[r].attempt.as_ref().is_some_and(|a| a.id == id);
        if self.requests[r].end.is_some() || !current {
            return;
        }
        let (step, outcome) = match reply {
            AttemptEnd::Answer => (AttemptEvent::Answer, AttemptOutcome::Ended),
            AttemptEnd::Refused => (AttemptEvent::Refuse, AttemptOutcome::Refused),
            AttemptEnd::Unsent => (AttemptEvent::Refuse, AttemptOutcome::Unsent),
            AttemptEnd::Broken => (AttemptEvent::Lose, AttemptOutcome::Broken),
        };
        self.step_attempt(r, step);
        self.end_permit(r, outcome);
        match reply {
            AttemptEnd::Answer => self.finish(r, RequestEnd::Answered),
            _ => {
                let endpoint = self.requests[r].attempt.as_ref().map(|a| a.endpoint.clone());
                self.requests[r].excluded.extend(endpoint);
                self.retry(r);
            }
        }
    }

    /// Starts another attempt if the last one allows it, or reports the result to the caller.
    fn retry(&mut self, r: usize) {
        let req = &mut self.requests[r];
        let (i, late) = (req.node, self.now >= req.deadline);
        let Some(attempt) = req.attempt.take() else { return };
        req.tries += 1;
        let ran = attempt.state.run_status();
        req.sent.record(&attempt.state);
        let again = ran == RunStatus::No || req.spec.repeatable;
        let more = again && !late && req.tries < 40;
        if !more {
            req.attempt = Some(attempt);
            let end = if ran == RunStatus::No { RequestEnd::NotRun } else { RequestEnd::Unknown };
            return self.finish(r, end);
        }
        if let Some(ticket) = attempt.ticket {
            self.end_claim(i, ticket, Claimed::NotRun);
        }
        self.schedule_input(i, 30, Input::Advance(r));
    }

    fn finish(&mut self, r: usize, end: RequestEnd) {
        let req = &mut self.requests[r];
        let end = match end {
            RequestEnd::NotRun if req.sent.may_have_run() => RequestEnd::Unknown,
            end => end,
        };
        let (i, ran, tokens) = (req.node, req.ran, req.spec.tokens);
        req.end = Some(end);
        let team = req.spec.team;
        let reservation = req.reservation.take();
        let ticket = req.attempt.as_ref().and_then(|a| a.ticket);
        if end == RequestEnd::NotRun && ran > 0 {
            self.add_violation(format!("request {r} ran {ran} times and is reported as not run"));
        }
        if let Some(reservation) = reservation {
            let used = if end == RequestEnd::NotRun { 0 } else { tokens };
            if let Some(bucket) = self.buckets.get_mut(team) {
                bucket.0 += (tokens - used) as f64;
            }
            self.with_core(i, |core, now, _| core.quota.release(now, reservation, used));
        }
        // A call that only waited for the claim of another call has no result of its own to
        // report.
        if let Some(ticket) = ticket
            && self.members[i].tickets.remove(&ticket).is_none()
            && self.requests[r].granted.is_some()
        {
            let outcome = match end {
                RequestEnd::Answered => Claimed::Answer(answer()),
                RequestEnd::NotRun => Claimed::NotRun,
                _ => Claimed::Unknown,
            };
            let may = self.requests[r].attempt.as_ref().map(|a| a.id);
            if may.is_some_and(|id| self.members[i].claims.may_send(ticket, id)) {
                self.end_claim(i, ticket, outcome);
            }
        }
    }
}
