//! Discrete-event model of engines, their schedulers and the weight store.
//!
//! Time is in microseconds. An engine runs steps back to back; each step yields one token
//! per running request and takes longer with more requests, more distinct adapters and the
//! prompts that join.

pub mod bound;
pub mod fifo;
pub mod route;
pub mod store;
pub mod traffic;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use sycamorefork::ids::{AdapterRef, AttemptId, Endpoint, Map, Team};
use sycamorefork::queue::Job;
use sycamorefork::sched::{EndpointSpec, LoadGate, RefuseReason, Sched, SchedOut};
use sycamorefork::time::Ms;

use fifo::Fifo;
use route::Router;
use store::Store;
use traffic::{ANSWER, Request, SHARES, Traffic, WEIGHTS};

/// Adapter slots per engine.
pub const SLOTS: usize = 16;

/// Most running requests per engine.
pub const BATCH: usize = 16;

/// Most loads at once per engine.
pub const LOADS: usize = 2;

/// Step time in microseconds: fixed, per request, per distinct adapter, per prompt token.
const STEP: f64 = 15_000.0;
const STEP_REQUEST: f64 = 500.0;
const STEP_ADAPTER: f64 = 300.0;
const STEP_PROMPT: f64 = 50.0;

/// Intervals of load views and of scheduler ticks.
const VIEW: u64 = 500_000;
const TICK: u64 = 10_000;

/// Requests a second that an engine completes with a full batch of 8 adapters.
pub fn engine_rate() -> f64 {
    let step = STEP + STEP_REQUEST * BATCH as f64 + STEP_ADAPTER * 8.0;
    1e6 / (ANSWER * step / BATCH as f64 + 300.0 * STEP_PROMPT)
}

/// A deployment of design section 1.4.
#[derive(Clone, Copy)]
pub struct Deployment {
    pub name: &'static str,
    pub engines: usize,
    /// Loads a second, loads at full speed, loads in flight without slowdown.
    pub store: (f64, usize, usize),
}

/// What is compared.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Policy {
    Ours,
    RoundRobin,
    LeastOutstanding,
    Rendezvous,
    RendezvousOvertaking,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Step(usize),
    Store,
    View,
    Tick,
}

#[derive(Default)]
struct Engine {
    running: Vec<(usize, u64)>,
    joining: Vec<usize>,
    stepping: bool,
    steps: u64,
    tokens: u64,
}

enum Local {
    Ours(Box<Sched>),
    Fifo(Fifo),
}

/// Counts of one run after its warm-up.
#[derive(Default)]
pub struct Report {
    pub requests: u64,
    pub stalls: u64,
    pub blocked: u64,
    pub first: Vec<u64>,
    pub steps: u64,
    pub tokens: u64,
    pub loads: u64,
    pub sent: [f64; 5],
    pub answered: [f64; 5],
    pub refused: [u64; 5],
    pub reasons: BTreeMap<&'static str, u64>,
}

/// Fair order of load permits over engines, as the cell's quota gives it.
#[derive(Default)]
struct Fair {
    served: [u64; 5],
    wanted: [Option<u64>; 5],
    vtime: u64,
}

struct Gate<'a> {
    store: &'a mut Store,
    fair: &'a mut Fair,
    now: u64,
    teams: &'a Map<Team, usize>,
}

impl LoadGate for Gate<'_> {
    fn try_load(&mut self, _now: Ms, team: &Team) -> bool {
        let (team, fair, now) = (self.teams[team], &mut *self.fair, self.now);
        let recent = |w: Option<u64>| w.is_some_and(|at| now - at <= 3 * TICK);
        if !recent(fair.wanted[team]) {
            fair.served[team] = fair.served[team].max(fair.vtime);
        }
        fair.wanted[team] = Some(now);
        let behind = |t: usize| recent(fair.wanted[t]) && fair.served[t] < fair.served[team];
        if (0..5).any(behind) || !self.store.permit(now) {
            return false;
        }
        fair.vtime = fair.vtime.max(fair.served[team]);
        fair.served[team] += 1;
        true
    }

    fn give_back(&mut self, _now: Ms, _team: &Team) {
        self.store.give_back();
    }
}

/// One run of one policy.
pub struct Sim<'a> {
    traffic: &'a Traffic,
    teams: Map<Team, usize>,
    names: Map<AdapterRef, usize>,
    warm: u64,
    now: u64,
    seq: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    engines: Vec<Engine>,
    locals: Vec<Local>,
    store: Store,
    wake: Option<u64>,
    fair: Fair,
    router: Router,
    since: Vec<BTreeMap<usize, u64>>,
    stalled: Vec<bool>,
    blocked: Vec<bool>,
    retried: Vec<bool>,
    report: Report,
}

impl<'a> Sim<'a> {
    pub fn new(policy: Policy, deployment: Deployment, traffic: &'a Traffic, warm: u64) -> Self {
        let names: Vec<_> =
            (0..deployment.engines).map(|e| Endpoint::new(&format!("engine-{e}"))).collect();
        let local = |name: &Endpoint| match policy {
            Policy::Ours => {
                let mut spec = EndpointSpec::new(name.clone(), SLOTS, BATCH);
                spec.max_loads = LOADS;
                Local::Ours(Box::new(Sched::new(spec, Ms(0))))
            }
            _ => Local::Fifo(Fifo::new(policy == Policy::RendezvousOvertaking)),
        };
        let (rate, fast, many) = deployment.store;
        let count = traffic.requests.len();
        Self {
            teams: traffic.teams.iter().enumerate().map(|(i, t)| (t.clone(), i)).collect(),
            names: traffic.adapters.iter().enumerate().map(|(i, a)| (a.clone(), i)).collect(),
            warm,
            now: 0,
            seq: 0,
            events: BinaryHeap::new(),
            engines: names.iter().map(|_| Engine::default()).collect(),
            locals: names.iter().map(local).collect(),
            store: Store::new(rate, fast, many),
            wake: None,
            fair: Fair::default(),
            router: Router::new(policy, &names, engine_rate()),
            since: vec![BTreeMap::new(); names.len()],
            stalled: vec![false; count],
            blocked: vec![false; count],
            retried: vec![false; count],
            report: Report::default(),
            traffic,
        }
    }

    /// Runs all requests and returns the counts.
    pub fn run(mut self) -> Report {
        let traffic = self.traffic;
        self.push(VIEW, Event::View);
        self.push(TICK, Event::Tick);
        let mut next = 0;
        let end = traffic.requests.last().map_or(0, |r| r.at);
        while let Some(Reverse((at, _, event))) = self.events.peek().copied() {
            if let Some(request) = traffic.requests.get(next)
                && request.at <= at
            {
                self.now = request.at;
                self.arrive(next);
                next += 1;
                continue;
            }
            if at > end {
                break;
            }
            self.events.pop();
            self.now = at;
            match event {
                Event::Step(e) => self.step(e),
                Event::Store => self.stored(),
                Event::View => self.view(),
                Event::Tick => self.tick(),
            }
        }
        self.report.steps = self.engines.iter().map(|e| e.steps).sum();
        self.report.tokens = self.engines.iter().map(|e| e.tokens).sum();
        for (i, request) in traffic.requests.iter().enumerate() {
            // Requests that the run's end cuts off are not judged.
            if request.at >= self.warm && request.deadline <= end {
                self.report.requests += 1;
                self.report.stalls += u64::from(self.stalled[i]);
                self.report.blocked += u64::from(self.stalled[i] || self.blocked[i]);
                self.report.sent[request.team] += WEIGHTS[request.kind];
            }
        }
        self.report
    }

    fn push(&mut self, at: u64, event: Event) {
        self.seq += 1;
        self.events.push(Reverse((at, self.seq, event)));
    }

    fn ms(&self) -> Ms {
        Ms(self.now / 1_000)
    }

    fn judged(&self, request: &Request) -> bool {
        let end = self.traffic.requests.last().map_or(0, |r| r.at);
        request.at >= self.warm && request.deadline <= end
    }

    fn arrive(&mut self, id: usize) {
        if let Some(engine) = self.route(id, &[]) {
            self.send(id, engine);
        }
    }

    fn route(&mut self, id: usize, tried: &[usize]) -> Option<usize> {
        let traffic = self.traffic;
        let request = &traffic.requests[id];
        let names = (&traffic.teams[request.team], &traffic.adapters[request.adapter]);
        let (now, busy) = (self.ms(), self.engines_busy());
        self.router.route(now, id, request, names, &busy, tried)
    }

    fn engines_busy(&self) -> Vec<usize> {
        let busy = |l: &Local| match l {
            Local::Ours(_) => 0,
            Local::Fifo(f) => f.queue.len() + f.running,
        };
        self.locals.iter().map(busy).collect()
    }

    fn send(&mut self, id: usize, engine: usize) {
        let request = &self.traffic.requests[id];
        let now = self.ms();
        match &mut self.locals[engine] {
            Local::Ours(sched) => {
                let job = Job {
                    attempt: AttemptId(id as u128),
                    team: self.traffic.teams[request.team].clone(),
                    adapter: Some(self.traffic.adapters[request.adapter].clone()),
                    priority: request.kind as u8,
                    tokens: request.prompt + request.answer,
                    deadline: Ms(request.deadline / 1_000),
                    fingerprint: id as u64,
                    arrived: now,
                };
                let mut out = Vec::new();
                sched.submit(now, job, &mut out);
                self.apply(engine, out);
                self.poll(engine);
            }
            Local::Fifo(fifo) => {
                fifo.queue.push_back(id);
                self.poll(engine);
            }
        }
    }

    /// Lets an engine's scheduler act.
    fn poll(&mut self, engine: usize) {
        let now = self.ms();
        match &mut self.locals[engine] {
            Local::Ours(sched) => {
                let mut out = Vec::new();
                let (store, fair) = (&mut self.store, &mut self.fair);
                let mut gate = Gate { store, fair, now: self.now, teams: &self.teams };
                sched.tick(now, &mut gate, &mut out);
                self.apply(engine, out);
            }
            Local::Fifo(fifo) => {
                let pumped = fifo.pump(self.now, engine, &self.traffic.requests, &mut self.store);
                pumped.blocked.iter().for_each(|r| self.blocked[*r] = true);
                for id in pumped.expired {
                    self.refuse(engine, id, RefuseReason::Expired);
                }
                for id in pumped.started {
                    self.start(engine, id);
                }
            }
        }
        self.wake_store();
    }

    fn apply(&mut self, engine: usize, out: Vec<SchedOut>) {
        let now = self.ms();
        for output in out {
            match output {
                SchedOut::Grant { attempt } => {
                    let id = attempt.0 as usize;
                    self.replied(id, engine);
                    self.start(engine, id);
                }
                SchedOut::Refuse { attempt, reason, .. } => {
                    let id = attempt.0 as usize;
                    self.replied(id, engine);
                    let again = matches!(reason, RefuseReason::Deadline | RefuseReason::Full);
                    let again = again && !std::mem::replace(&mut self.retried[id], true);
                    match again.then(|| self.route(id, &[engine])).flatten() {
                        Some(other) => self.send(id, other),
                        None => self.refuse(engine, id, reason),
                    }
                }
                SchedOut::Load { adapter } => {
                    let adapter = self.names[&adapter];
                    self.store.order(self.now, engine, adapter);
                    self.wake_store();
                }
                SchedOut::Evict { adapter } => {
                    let Local::Ours(sched) = &mut self.locals[engine] else { continue };
                    let (epoch, mut more) = (sched.epoch(), Vec::new());
                    sched.on_evicted(now, &adapter, epoch, true, &mut more);
                    self.apply(engine, more);
                }
            }
        }
    }

    fn replied(&mut self, id: usize, engine: usize) {
        let team = self.traffic.requests[id].team;
        self.router.on_reply(id, engine, &self.traffic.teams[team]);
    }

    fn refuse(&mut self, engine: usize, id: usize, reason: RefuseReason) {
        let request = &self.traffic.requests[id];
        let present = self.since[engine].contains_key(&request.adapter);
        self.stalled[id] |= !present;
        if self.judged(request) {
            self.report.refused[request.team] += 1;
            *self.report.reasons.entry(reason.as_str()).or_default() += 1;
        }
    }

    fn start(&mut self, engine: usize, id: usize) {
        let request = &self.traffic.requests[id];
        // Waited for a load: the adapter became ready after the request had arrived.
        self.stalled[id] |= self.since[engine][&request.adapter] > request.at;
        self.engines[engine].joining.push(id);
        if !self.engines[engine].stepping {
            self.begin(engine);
        }
    }

    fn begin(&mut self, e: usize) {
        let engine = &mut self.engines[e];
        let requests = &self.traffic.requests;
        let prompts: u64 = engine.joining.iter().map(|r| requests[*r].prompt).sum();
        let joined = engine.joining.drain(..).map(|r| (r, requests[r].answer.max(1)));
        engine.running.extend(joined);
        engine.stepping = !engine.running.is_empty();
        if engine.stepping {
            let adapters: BTreeSet<_> =
                engine.running.iter().map(|(r, _)| requests[*r].adapter).collect();
            let time = STEP
                + STEP_REQUEST * engine.running.len() as f64
                + STEP_ADAPTER * adapters.len() as f64
                + STEP_PROMPT * prompts as f64;
            self.push(self.now + time as u64, Event::Step(e));
        }
    }

    fn step(&mut self, e: usize) {
        let (now, requests) = (self.now, &self.traffic.requests);
        let mut ended = Vec::new();
        let mut running = std::mem::take(&mut self.engines[e].running);
        if now >= self.warm {
            self.engines[e].steps += 1;
            self.engines[e].tokens += running.len() as u64;
        }
        for (id, left) in &mut running {
            let request = &requests[*id];
            if *left == request.answer.max(1) && self.judged(request) {
                self.report.first.push(now - request.at);
                self.report.answered[request.team] += WEIGHTS[request.kind];
            }
            *left -= 1;
            if *left == 0 {
                ended.push(*id);
            }
        }
        running.retain(|(_, left)| *left > 0);
        self.engines[e].running = running;
        for id in &ended {
            let request = &requests[*id];
            match &mut self.locals[e] {
                Local::Ours(sched) => {
                    let mut out = Vec::new();
                    let used = request.prompt + request.answer;
                    sched.on_end(Ms(now / 1_000), AttemptId(*id as u128), used, &mut out);
                    assert!(sched.take_faults().is_empty());
                    self.apply(e, out);
                }
                Local::Fifo(fifo) => fifo.ended(request.adapter),
            }
        }
        if !ended.is_empty() {
            self.poll(e);
        }
        self.begin(e);
    }

    fn wake_store(&mut self) {
        if let Some(at) = self.store.next().map(|at| at.max(self.now))
            && self.wake.is_none_or(|wake| at < wake)
        {
            self.wake = Some(at);
            self.push(at, Event::Store);
        }
    }

    fn stored(&mut self) {
        self.wake = None;
        for (engine, adapter) in self.store.finished(self.now) {
            self.report.loads += u64::from(self.now >= self.warm);
            self.since[engine].insert(adapter, self.now);
            let now = self.ms();
            match &mut self.locals[engine] {
                Local::Ours(sched) => {
                    let (epoch, mut out) = (sched.epoch(), Vec::new());
                    let name = &self.traffic.adapters[adapter];
                    sched.on_loaded(now, name, epoch, &mut out);
                    self.apply(engine, out);
                }
                Local::Fifo(fifo) => fifo.loaded(self.now, adapter),
            }
            self.poll(engine);
        }
        self.wake_store();
    }

    fn view(&mut self) {
        let now = self.ms();
        for (e, local) in self.locals.iter().enumerate() {
            if let Local::Ours(sched) = local {
                self.router.on_view(now, e, &sched.load_view(now));
            }
        }
        self.push(self.now + VIEW, Event::View);
    }

    fn tick(&mut self) {
        let count = self.locals.len();
        let first = (self.now / TICK) as usize % count;
        for i in 0..count {
            self.poll((first + i) % count);
        }
        self.push(self.now + TICK, Event::Tick);
    }
}

/// Weighted answers that a team should get: its demand, or for the flooding team what the
/// nominal capacity leaves.
pub fn fair_share(sent: &[f64; 5], flood: Option<usize>) -> [f64; 5] {
    let mut fair = *sent;
    if let Some(team) = flood {
        let others: f64 = (0..5).filter(|t| *t != team).map(|t| sent[t]).sum();
        let capacity = others / (1.0 - SHARES[team]) / 0.8;
        fair[team] = sent[team].min(capacity - others);
    }
    fair
}
