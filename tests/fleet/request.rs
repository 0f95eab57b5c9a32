//! Life of a request at its entry node, as the shell drives it.

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

use super::endpoint::{Ask, Reply, answer};
use super::{In, Step, TEAMS, World};

/// Time after which an attempt without an answer is given up.
const PROGRESS: u64 = 4_000;

/// What a caller sends.
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

/// What the caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    Answered,
    NotRun,
    Unknown,
    /// The entry node was killed.
    Lost,
}

struct Try {
    id: AttemptId,
    endpoint: Endpoint,
    owner: Node,
    fence: u64,
    asked: u64,
    state: AttemptState,
    ticket: Option<Ticket>,
    waiting: bool,
}

pub struct Req {
    pub spec: RequestPlan,
    pub node: usize,
    pub life: u32,
    pub deadline: u64,
    pub end: Option<RequestEnd>,
    pub ran: u32,
    /// Granted attempt and the endpoint's incarnation as the owner knew it.
    pub granted: Option<(AttemptId, u64)>,
    reservation: Option<Reservation>,
    excluded: Vec<Endpoint>,
    tries: u32,
    sent: AttemptHistory,
    attempt: Option<Try>,
}

impl World {
    pub(super) fn open(&mut self, spec: RequestPlan) {
        let serving = self.serving();
        let Some(&node) = serving.get(spec.node % serving.len().max(1)) else { return };
        let config = self.members[node].core.config.clone();
        let key = format!("k{}", spec.team);
        if !config.is_some_and(|c| c.key_works(&key.as_str().into())) {
            return;
        }
        self.requests.push(Req {
            node,
            life: self.members[node].life,
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
        self.pass(Step::Admit, node, r % self.endpoints.len());
        self.node(node, 0, In::Step(r));
    }

    fn demand(&self, r: usize) -> RequestSpec {
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

    /// Takes the next step of a request that waits for nothing, or gives up waiting.
    pub(super) fn advance(&mut self, r: usize) {
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
                    return self.node(i, 50, In::Step(r));
                }
                self.core(i, |core, now, out| core.cancel_permit(now, id, &owner, out));
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
        match self.core(i, |core, now, out| core.admit(now, &team, spec.tokens, out)) {
            AdmitResult::Granted(reservation) => {
                self.requests[r].reservation = Some(reservation);
                self.charge(spec.team, spec.tokens);
                true
            }
            AdmitResult::AwaitLoans | AdmitResult::AwaitSeats(_) => {
                self.node(i, 25, In::Step(r));
                false
            }
            AdmitResult::Denied(_) => {
                self.finish(r, RequestEnd::NotRun);
                false
            }
        }
    }

    /// Counts admitted tokens against the team's rate and burst over the whole fleet.
    fn charge(&mut self, team: &'static str, tokens: u64) {
        let (_, rate, burst) = TEAMS.iter().find(|t| t.0 == team).expect("a team");
        let bucket = self.buckets.get_mut(team).expect("a team");
        let gain = (self.now - bucket.1) as f64 * *rate as f64 / 1_000.0;
        let full = (bucket.0 + gain).min(*burst as f64).max(bucket.0);
        *bucket = (full - tokens as f64, self.now);
        let level = bucket.0;
        if level < -1.0 {
            self.violated(format!("team {team} exceeds its rate and burst by {}", -level));
        }
    }

    fn route(&mut self, r: usize) {
        let (i, demand) = (self.requests[r].node, self.demand(r));
        let excluded = self.requests[r].excluded.clone();
        let id = AttemptId(self.rng.random());
        let found = self.core(i, |core, now, _| core.route(now, id, &demand, &excluded));
        let Ok(RouteTarget { endpoint, owner }) = found else {
            self.requests[r].excluded.clear();
            return self.node(i, 50, In::Step(r));
        };
        let e = self.find(&endpoint);
        let mut attempt = Try {
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
            self.pass(Step::Route, i, e);
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
                self.pass(Step::Route, i, e);
                self.pump(i);
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
            self.violated(format!("node-{i}: {e}"));
        }
    }

    fn ask_permit(&mut self, r: usize) {
        let (i, demand) = (self.requests[r].node, self.demand(r));
        let Some(attempt) = &mut self.requests[r].attempt else { return };
        attempt.waiting = true;
        attempt.asked = self.now;
        let (id, endpoint, owner) = (attempt.id, attempt.endpoint.clone(), attempt.owner.clone());
        self.core(i, |core, now, out| {
            core.request_permit(now, id, &demand, &endpoint, &owner, out)
        });
        let e = self.find(&endpoint);
        self.pass(Step::Wait, i, e);
        self.node(i, 50, In::Step(r));
    }

    /// Checks a permit when it leaves its owner.
    pub(super) fn on_grant(&mut self, i: usize, reply: &PermitReply) {
        if !reply.granted {
            return;
        }
        let e = self.find(&Endpoint::new(&reply.endpoint));
        let left = self.endpoints[e].left_at;
        if left.is_some_and(|at| self.now > at + 3_000) {
            self.violated(format!("{} is leaving and gets new work", reply.endpoint));
        }
        let owner = self.members[i].name.clone();
        let key = (self.endpoints[e].name.clone(), reply.fence);
        let first = self.fences.entry(key).or_insert(owner.clone()).clone();
        if first != owner {
            self.violated(format!("fence {} of {} has two owners", reply.fence, reply.endpoint));
        }
        let id = AttemptId(u128::from_be_bytes(reply.attempt.as_slice().try_into().unwrap()));
        let asked = |r: &super::Req| r.attempt.as_ref().is_some_and(|a| a.id == id);
        let incarnation = self.endpoints[e].known;
        if let Some(req) = self.requests.iter_mut().find(|r| asked(r)) {
            req.granted = Some((id, incarnation));
        }
        self.pass(Step::Granted, i, e);
    }

    pub(super) fn on_permit(&mut self, i: usize, id: AttemptId, reply: &PermitReply) {
        let asked = |q: &Req| q.attempt.as_ref().is_some_and(|a| a.id == id && a.waiting);
        let found = self.requests.iter().position(|q| q.end.is_none() && q.node == i && asked(q));
        let Some(r) = found else {
            if reply.granted {
                let endpoint = Endpoint::new(&reply.endpoint);
                self.core(i, |core, now, out| {
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
            self.core(i, |core, now, out| core.cancel_permit(now, id, &owner, out));
            return self.retry(r);
        }
        attempt.fence = reply.fence;
        let until = attempt.asked + reply.held + reply.valid;
        let (endpoint, ticket) = (attempt.endpoint.clone(), attempt.ticket);
        let held = HeldPermit { endpoint: endpoint.clone(), adapter };
        self.core(i, |core, _, _| core.hold_permit(id, held));
        let claimed = ticket.is_none_or(|t| self.members[i].claims.may_send(t, id));
        if let Err(violation) = invariant::check_claim(id, claimed) {
            self.violated(violation.to_string());
        }
        if self.now >= until || !claimed {
            self.step(r, AttemptEvent::Drop);
            self.end_permit(r, AttemptOutcome::Unsent);
            return self.retry(r);
        }
        self.step(r, AttemptEvent::Send);
        let (e, fence) = (self.find(&endpoint), reply.fence);
        self.pass(Step::Sent, i, e);
        if self.members[i].alive {
            self.ask(e, i, Ask::Run(r, id, fence));
            self.node(i, PROGRESS, In::Answer(r, id, Reply::Broken));
        }
    }

    fn step(&mut self, r: usize, step: AttemptEvent) {
        let Some(attempt) = &mut self.requests[r].attempt else { return };
        if let Err(violation) = invariant::apply_event(attempt.id, &mut attempt.state, step) {
            self.violated(violation.to_string());
        }
    }

    fn end_permit(&mut self, r: usize, outcome: AttemptOutcome) {
        let (i, tokens) = (self.requests[r].node, self.requests[r].spec.tokens);
        let Some(attempt) = &self.requests[r].attempt else { return };
        let (id, owner) = (attempt.id, attempt.owner.clone());
        self.core(i, |core, now, out| core.end_permit(now, id, &owner, outcome, tokens, out));
    }

    pub(super) fn on_answer(&mut self, r: usize, id: AttemptId, reply: Reply) {
        let current = self.requests[r].attempt.as_ref().is_some_and(|a| a.id == id);
        if self.requests[r].end.is_some() || !current {
            return;
        }
        let (step, outcome) = match reply {
            Reply::Answer => (AttemptEvent::Answer, AttemptOutcome::Ended),
            Reply::Refused => (AttemptEvent::Refuse, AttemptOutcome::Refused),
            Reply::Unsent => (AttemptEvent::Refuse, AttemptOutcome::Unsent),
            Reply::Broken => (AttemptEvent::Lose, AttemptOutcome::Broken),
        };
        self.step(r, step);
        self.end_permit(r, outcome);
        match reply {
            Reply::Answer => self.finish(r, RequestEnd::Answered),
            _ => {
                let endpoint = self.requests[r].attempt.as_ref().map(|a| a.endpoint.clone());
                self.requests[r].excluded.extend(endpoint);
                self.retry(r);
            }
        }
    }

    /// Makes another attempt if the last one allows it, or tells the caller.
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
        self.node(i, 30, In::Step(r));
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
            self.violated(format!("request {r} ran {ran} times and is reported as not run"));
        }
        if let Some(reservation) = reservation {
            let used = if end == RequestEnd::NotRun { 0 } else { tokens };
            if let Some(bucket) = self.buckets.get_mut(team) {
                bucket.0 += (tokens - used) as f64;
            }
            self.core(i, |core, now, _| core.quota.release(now, reservation, used));
        }
        // A call that only waited for another's claim has no attempt of its own to report.
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
