//! Discrete-event simulation of engines, their schedulers and the weight store.
//!
//! Times are in microseconds. An engine runs steps without pause. Each step generates one
//! token per running request; its duration grows with the number of requests, the number of
//! distinct adapters and the prompts of joining requests.

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
use traffic::{MEAN_ANSWER_TOKENS, PRIORITY_WEIGHTS, Request, TEAM_SHARES, Traffic};

/// Adapter slots per engine.
pub const SLOTS: usize = 16;

/// Maximum number of running requests per engine.
pub const BATCH: usize = 16;

/// Maximum number of simultaneous loads per engine.
pub const MAX_LOADS: usize = 2;

/// Fixed part of a step's duration, in microseconds.
const STEP_US: f64 = 15_000.0;
/// Additional duration of a step per running request, in microseconds.
const REQUEST_STEP_US: f64 = 500.0;
/// Additional duration of a step per distinct adapter, in microseconds.
const ADAPTER_STEP_US: f64 = 300.0;
/// Additional duration of a step per prompt token of joining requests, in microseconds.
const PROMPT_STEP_US: f64 = 50.0;

/// Interval of load views, in microseconds.
const VIEW_INTERVAL_US: u64 = 500_000;
/// Interval of scheduler ticks, in microseconds.
const TICK_INTERVAL_US: u64 = 10_000;

/// Requests per second that an engine completes with a full batch of 8 adapters.
pub fn engine_rate() -> f64 {
    let step = STEP_US + REQUEST_STEP_US * BATCH as f64 + ADAPTER_STEP_US * 8.0;
    1e6 / (MEAN_ANSWER_TOKENS * step / BATCH as f64 + 300.0 * PROMPT_STEP_US)
}

/// A deployment as in design section 1.4.
#[derive(Clone, Copy)]
pub struct Deployment {
    pub name: &'static str,
    pub engines: usize,
    /// Weight store: loads started per second, loads at full speed, and loads in flight without
    /// slowdown.
    pub store: (f64, usize, usize),
}

/// Compared policies.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Policy {
    /// The policy of this project: its cell router and scheduler.
    CellRouter,
    RoundRobin,
    LeastOutstanding,
    Rendezvous,
    /// Rendezvous hashing, with [`Fifo::overtaking`].
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

/// Scheduler of one engine.
enum Scheduler {
    Sched(Box<Sched>),
    Fifo(Fifo),
}

/// Counts of one run after its warm-up; arrays are indexed by team.
#[derive(Default)]
pub struct Report {
    pub requests: u64,
    /// Requests that waited for a load of their adapter.
    pub stalls: u64,
    /// Stalls, and requests that waited although the batch had room.
    pub blocked: u64,
    /// Time to first token of each answered request, in microseconds.
    pub first: Vec<u64>,
    pub steps: u64,
    pub tokens: u64,
    pub loads: u64,
    /// Weighted requests sent.
    pub sent: [f64; 5],
    /// Weighted requests answered.
    pub answered: [f64; 5],
    /// Requests refused.
    pub refused: [u64; 5],
    /// Refusals by reason.
    pub reasons: BTreeMap<&'static str, u64>,
}

/// Fair queueing of load permits over all engines by team, as the cell's quota provides it.
#[derive(Default)]
struct FairQueue {
    served: [u64; 5],
    wanted: [Option<u64>; 5],
    vtime: u64,
}

/// Gate through which the schedulers reserve loads.
struct PermitGate<'a> {
    store: &'a mut Store,
    fair: &'a mut FairQueue,
    now: u64,
    teams: &'a Map<Team, usize>,
}

impl LoadGate for PermitGate<'_> {
    fn try_load(&mut self, _now: Ms, team: &Team) -> bool {
        let (team, fair, now) = (self.teams[team], &mut *self.fair, self.now);
        let recent = |w: Option<u64>| w.is_some_and(|at| now - at <= 3 * TICK_INTERVAL_US);
        if !recent(fair.wanted[team]) {
            fair.served[team] = fair.served[team].max(fair.vtime);
        }
        fair.wanted[team] = Some(now);
        let behind = |t: usize| recent(fair.wanted[t]) && fair.served[t] < fair.served[team];
        if (0..5).any(behind) || !self.store.try_reserve(now) {
            return false;
        }
        fair.vtime = fair.vtime.max(fair.served[team]);
        fair.served[team] += 1;
        true
    }

    fn give_back(&mut self, _now: Ms, _team: &Team) {
        self.store.release();
    }
}

/// Simulation of one run of one policy.
pub struct Sim<'a> {
    traffic: &'a Traffic,
    teams: Map<Team, usize>,
    names: Map<AdapterRef, usize>,
    warmup_end: u64,
    now: u64,
    seq: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    engines: Vec<Engine>,
    schedulers: Vec<Scheduler>,
    store: Store,
    store_wake: Option<u64>,
    fair: FairQueue,
    router: Router,
    // Time at which each engine's adapters became ready.
    loaded_at: Vec<BTreeMap<usize, u64>>,
    stalled: Vec<bool>,
    blocked: Vec<bool>,
    retried: Vec<bool>,
    report: Report,
}

impl<'a> Sim<'a> {
    pub fn new(
        policy: Policy,
        deployment: Deployment,
        traffic: &'a Traffic,
        warmup_end: u64,
    ) -> Self {
        let names: Vec<_> =
            (0..deployment.engines).map(|e| Endpoint::new(&format!("engine-{e}"))).collect();
        let scheduler = |name: &Endpoint| match policy {
            Policy::CellRouter => {
                let mut spec = EndpointSpec::new(name.clone(), SLOTS, BATCH);
                spec.max_loads = MAX_LOADS;
                Scheduler::Sched(Box::new(Sched::new(spec, Ms(0))))
            }
            _ => Scheduler::Fifo(Fifo::new(policy == Policy::RendezvousOvertaking)),
        };
        let (rate, fast, many) = deployment.store;
        let count = traffic.requests.len();
        Self {
            teams: traffic.teams.iter().enumerate().map(|(i, t)| (t.clone(), i)).collect(),
            names: traffic.adapters.iter().enumerate().map(|(i, a)| (a.clone(), i)).collect(),
            warmup_end,
            now: 0,
            seq: 0,
            events: BinaryHeap::new(),
            engines: names.iter().map(|_| Engine::default()).collect(),
            schedulers: names.iter().map(scheduler).collect(),
            store: Store::new(rate, fast, many),
            store_wake: None,
            fair: FairQueue::default(),
            router: Router::new(policy, &names, engine_rate()),
            loaded_at: vec![BTreeMap::new(); names.len()],
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
        self.push(VIEW_INTERVAL_US, Event::View);
        self.push(TICK_INTERVAL_US, Event::Tick);
        let mut next = 0;
        let end = traffic.requests.last().map_or(0, |r| r.at);
        while let Some(Reverse((at, _, event))) = self.events.peek().copied() {
            if let Some(request) = traffic.requests.get(next)
                && request.at <= at
            {
                self.now = request.at;
                self.on_arrival(next);
                next += 1;
                continue;
            }
            if at > end {
                break;
            }
            self.events.pop();
            self.now = at;
            match event {
                Event::Step(engine) => self.step(engine),
                Event::Store => self.finish_loads(),
                Event::View => self.update_views(),
                Event::Tick => self.tick(),
            }
        }
        self.report.steps = self.engines.iter().map(|e| e.steps).sum();
        self.report.tokens = self.engines.iter().map(|e| e.tokens).sum();
        for (i, request) in traffic.requests.iter().enumerate() {
            // Requests whose deadline lies after the end of the run are not counted.
            if request.at >= self.warmup_end && request.deadline <= end {
                self.report.requests += 1;
                self.report.stalls += u64::from(self.stalled[i]);
                self.report.blocked += u64::from(self.stalled[i] || self.blocked[i]);
                self.report.sent[request.team] += PRIORITY_WEIGHTS[request.priority];
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

    fn is_counted(&self, request: &Request) -> bool {
        let end = self.traffic.requests.last().map_or(0, |r| r.at);
        request.at >= self.warmup_end && request.deadline <= end
    }

    fn on_arrival(&mut self, id: usize) {
        if let Some(engine) = self.route(id, &[]) {
            self.send(id, engine);
        }
    }

    fn route(&mut self, id: usize, tried: &[usize]) -> Option<usize> {
        let traffic = self.traffic;
        let request = &traffic.requests[id];
        let names = (&traffic.teams[request.team], &traffic.adapters[request.adapter]);
        let (now, outstanding) = (self.ms(), self.outstanding_requests());
        self.router.route(now, id, request, names, &outstanding, tried)
    }

    fn outstanding_requests(&self) -> Vec<usize> {
        let count = |s: &Scheduler| match s {
            Scheduler::Sched(_) => 0,
            Scheduler::Fifo(f) => f.queue.len() + f.running,
        };
        self.schedulers.iter().map(count).collect()
    }

    fn send(&mut self, id: usize, engine: usize) {
        let request = &self.traffic.requests[id];
        let now = self.ms();
        match &mut self.schedulers[engine] {
            Scheduler::Sched(sched) => {
                let job = Job {
                    attempt: AttemptId(id as u128),
                    team: self.traffic.teams[request.team].clone(),
                    adapter: Some(self.traffic.adapters[request.adapter].clone()),
                    priority: request.priority as u8,
                    tokens: request.prompt_tokens + request.answer_tokens,
                    deadline: Ms(request.deadline / 1_000),
                    fingerprint: id as u64,
                    arrived: now,
                };
                let mut out = Vec::new();
                sched.submit(now, job, &mut out);
                self.apply(engine, out);
                self.poll(engine);
            }
            Scheduler::Fifo(fifo) => {
                fifo.queue.push_back(id);
                self.poll(engine);
            }
        }
    }

    /// Runs an engine's scheduler.
    fn poll(&mut self, engine: usize) {
        let now = self.ms();
        match &mut self.schedulers[engine] {
            Scheduler::Sched(sched) => {
                let mut out = Vec::new();
                let (store, fair) = (&mut self.store, &mut self.fair);
                let mut gate = PermitGate { store, fair, now: self.now, teams: &self.teams };
                sched.tick(now, &mut gate, &mut out);
                self.apply(engine, out);
            }
            Scheduler::Fifo(fifo) => {
                let changes =
                    fifo.start_requests(self.now, engine, &self.traffic.requests, &mut self.store);
                changes.blocked.iter().for_each(|r| self.blocked[*r] = true);
                for id in changes.expired {
                    self.refuse(engine, id, RefuseReason::Expired);
                }
                for id in changes.started {
                    self.start(engine, id);
                }
            }
        }
        self.schedule_store();
    }

    fn apply(&mut self, engine: usize, out: Vec<SchedOut>) {
        let now = self.ms();
        for output in out {
            match output {
                SchedOut::Grant { attempt } => {
                    let id = attempt.0 as usize;
                    self.on_reply(id, engine);
                    self.start(engine, id);
                }
                SchedOut::Refuse { attempt, reason, .. } => {
                    let id = attempt.0 as usize;
                    self.on_reply(id, engine);
                    let again = matches!(reason, RefuseReason::Deadline | RefuseReason::Full);
                    let again = again && !std::mem::replace(&mut self.retried[id], true);
                    match again.then(|| self.route(id, &[engine])).flatten() {
                        Some(other) => self.send(id, other),
                        None => self.refuse(engine, id, reason),
                    }
                }
                SchedOut::Load { adapter } => {
                    let adapter = self.names[&adapter];
                    self.store.queue_load(self.now, engine, adapter);
                    self.schedule_store();
                }
                SchedOut::Evict { adapter } => {
                    let Scheduler::Sched(sched) = &mut self.schedulers[engine] else { continue };
                    let (epoch, mut more) = (sched.epoch(), Vec::new());
                    sched.on_evicted(now, &adapter, epoch, true, &mut more);
                    self.apply(engine, more);
                }
            }
        }
    }

    fn on_reply(&mut self, id: usize, engine: usize) {
        let team = self.traffic.requests[id].team;
        self.router.on_reply(id, engine, &self.traffic.teams[team]);
    }

    fn refuse(&mut self, engine: usize, id: usize, reason: RefuseReason) {
        let request = &self.traffic.requests[id];
        let present = self.loaded_at[engine].contains_key(&request.adapter);
        self.stalled[id] |= !present;
        if self.is_counted(request) {
            self.report.refused[request.team] += 1;
            *self.report.reasons.entry(reason.as_str()).or_default() += 1;
        }
    }

    fn start(&mut self, engine: usize, id: usize) {
        let request = &self.traffic.requests[id];
        // The request waited for a load if the adapter became ready after its arrival.
        self.stalled[id] |= self.loaded_at[engine][&request.adapter] > request.at;
        self.engines[engine].joining.push(id);
        if !self.engines[engine].stepping {
            self.start_step(engine);
        }
    }

    fn start_step(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        let requests = &self.traffic.requests;
        let prompts: u64 = engine.joining.iter().map(|r| requests[*r].prompt_tokens).sum();
        let joined = engine.joining.drain(..).map(|r| (r, requests[r].answer_tokens.max(1)));
        engine.running.extend(joined);
        engine.stepping = !engine.running.is_empty();
        if engine.stepping {
            let adapters: BTreeSet<_> =
                engine.running.iter().map(|(r, _)| requests[*r].adapter).collect();
            let time = STEP_US
                + REQUEST_STEP_US * engine.running.len() as f64
                + ADAPTER_STEP_US * adapters.len() as f64
                + PROMPT_STEP_US * prompts as f64;
            self.push(self.now + time as u64, Event::Step(index));
        }
    }

    fn step(&mut self, engine: usize) {
        let (now, requests) = (self.now, &self.traffic.requests);
        let mut ended = Vec::new();
        let mut running = std::mem::take(&mut self.engines[engine].running);
        if now >= self.warmup_end {
            self.engines[engine].steps += 1;
            self.engines[engine].tokens += running.len() as u64;
        }
        for (id, left) in &mut running {
            let request = &requests[*id];
            if *left == request.answer_tokens.max(1) && self.is_counted(request) {
                self.report.first.push(now - request.at);
                self.report.answered[request.team] += PRIORITY_WEIGHTS[request.priority];
            }
            *left -= 1;
            if *left == 0 {
                ended.push(*id);
            }
        }
        running.retain(|(_, left)| *left > 0);
        self.engines[engine].running = running;
        for id in &ended {
            let request = &requests[*id];
            match &mut self.schedulers[engine] {
                Scheduler::Sched(sched) => {
                    let mut out = Vec::new();
                    let used = request.prompt_tokens + request.answer_tokens;
                    sched.on_end(Ms(now / 1_000), AttemptId(*id as u128), used, &mut out);
                    assert!(sched.take_faults().is_empty());
                    self.apply(engine, out);
                }
                Scheduler::Fifo(fifo) => fifo.on_end(request.adapter),
            }
        }
        if !ended.is_empty() {
            self.poll(engine);
        }
        self.start_step(engine);
    }

    fn schedule_store(&mut self) {
        if let Some(at) = self.store.next_change().map(|at| at.max(self.now))
            && self.store_wake.is_none_or(|wake| at < wake)
        {
            self.store_wake = Some(at);
            self.push(at, Event::Store);
        }
    }

    fn finish_loads(&mut self) {
        self.store_wake = None;
        for (engine, adapter) in self.store.take_finished(self.now) {
            self.report.loads += u64::from(self.now >= self.warmup_end);
            self.loaded_at[engine].insert(adapter, self.now);
            let now = self.ms();
            match &mut self.schedulers[engine] {
                Scheduler::Sched(sched) => {
                    let (epoch, mut out) = (sched.epoch(), Vec::new());
                    let name = &self.traffic.adapters[adapter];
                    sched.on_loaded(now, name, epoch, &mut out);
                    self.apply(engine, out);
                }
                Scheduler::Fifo(fifo) => fifo.on_loaded(self.now, adapter),
            }
            self.poll(engine);
        }
        self.schedule_store();
    }

    fn update_views(&mut self) {
        let now = self.ms();
        for (engine, scheduler) in self.schedulers.iter().enumerate() {
            if let Scheduler::Sched(sched) = scheduler {
                self.router.on_view(now, engine, &sched.load_view(now));
            }
        }
        self.push(self.now + VIEW_INTERVAL_US, Event::View);
    }

    fn tick(&mut self) {
        let count = self.schedulers.len();
        let first = (self.now / TICK_INTERVAL_US) as usize % count;
        for i in 0..count {
            self.poll((first + i) % count);
        }
        self.push(self.now + TICK_INTERVAL_US, Event::Tick);
    }
}

/// Weighted answers that each team should receive: its demand, or for the flooding team the
/// nominal capacity that the others leave.
pub fn fair_share(sent: &[f64; 5], flood: Option<usize>) -> [f64; 5] {
    let mut fair = *sent;
    if let Some(team) = flood {
        let others: f64 = (0..5).filter(|t| *t != team).map(|t| sent[t]).sum();
        let capacity = others / (1.0 - TEAM_SHARES[team]) / 0.8;
        fair[team] = sent[team].min(capacity - others);
    }
    fair
}
