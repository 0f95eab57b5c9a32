//! Scheduler of one endpoint, tested against a model of the endpoint.

use std::collections::{BTreeMap, BTreeSet};

use quickcheck::{Gen, QuickCheck};
use sycamorefork::ids::{AdapterRef, AttemptId, Team};
use sycamorefork::queue::Job;
use sycamorefork::sched::{EndpointSpec, LoadGate, RefuseReason, Sched, SchedOut};
use sycamorefork::time::Ms;

const SEED: u64 = 0x5eed_0001;
const SLOTS: usize = 3;
const BATCH: usize = 6;

/// Gate that grants load permits if its value is `true`.
struct Gate(bool);

impl LoadGate for Gate {
    fn try_load(&mut self, _now: Ms, _team: &Team) -> bool {
        self.0
    }
}

fn adapter(n: usize) -> AdapterRef {
    AdapterRef::new(&format!("a{n}"), "1")
}

fn job(n: u128, team: &str, adapter: Option<AdapterRef>, now: Ms) -> Job {
    Job {
        attempt: AttemptId(n),
        team: team.into(),
        adapter,
        priority: 0,
        tokens: 100,
        deadline: now + Ms::secs(100_000),
        fingerprint: n as u64,
        arrived: now,
    }
}

fn grants(out: &[SchedOut]) -> Vec<u128> {
    let grant = |o: &SchedOut| match o {
        SchedOut::Grant { attempt } => Some(attempt.0),
        _ => None,
    };
    out.iter().filter_map(grant).collect()
}

fn loads(out: &[SchedOut]) -> Vec<AdapterRef> {
    let load = |o: &SchedOut| match o {
        SchedOut::Load { adapter } => Some(adapter.clone()),
        _ => None,
    };
    out.iter().filter_map(load).collect()
}

#[derive(Clone, Copy, PartialEq)]
enum Order {
    Load,
    Evict,
}

/// A granted attempt that has not ended.
struct InFlight {
    adapter: Option<AdapterRef>,
    /// Whether the request has reached the endpoint.
    arrived: bool,
    /// Whether the current owner knows the attempt.
    announced: bool,
}

/// Model of the endpoint, weight store and entry nodes of one scheduler. Orders and reports
/// are kept until a random step executes them, in any order.
struct Model {
    sched: Sched,
    now: Ms,
    loaded: BTreeSet<AdapterRef>,
    in_flight: BTreeMap<AttemptId, InFlight>,
    orders: Vec<(u64, Order, AdapterRef)>,
    reports: Vec<(u64, Order, AdapterRef, bool)>,
    jobs: BTreeMap<AttemptId, Option<AdapterRef>>,
    outcomes: BTreeMap<AttemptId, u32>,
}

impl Model {
    fn new() -> Self {
        Self {
            sched: Sched::new(Self::spec(), Ms(0)),
            now: Ms(0),
            loaded: BTreeSet::new(),
            in_flight: BTreeMap::new(),
            orders: Vec::new(),
            reports: Vec::new(),
            jobs: BTreeMap::new(),
            outcomes: BTreeMap::new(),
        }
    }

    fn spec() -> EndpointSpec {
        EndpointSpec { max_queued: 24, ..EndpointSpec::new("e".into(), SLOTS, BATCH) }
    }

    fn apply(&mut self, out: Vec<SchedOut>) {
        let epoch = self.sched.epoch();
        for output in out {
            match output {
                SchedOut::Grant { attempt } => {
                    *self.outcomes.entry(attempt).or_default() += 1;
                    let adapter = self.jobs[&attempt].clone();
                    let present = adapter.as_ref().is_none_or(|a| self.loaded.contains(a));
                    assert!(present, "granted {attempt} on {adapter:?}, which is not loaded");
                    let attempt_state = InFlight { adapter, arrived: false, announced: true };
                    self.in_flight.insert(attempt, attempt_state);
                    assert!(self.in_flight.len() <= BATCH, "more attempts than the batch holds");
                }
                SchedOut::Refuse { attempt, .. } => *self.outcomes.entry(attempt).or_default() += 1,
                SchedOut::Load { adapter } => self.orders.push((epoch, Order::Load, adapter)),
                SchedOut::Evict { adapter } => self.orders.push((epoch, Order::Evict, adapter)),
            }
        }
        assert_eq!(self.sched.take_faults(), vec![], "violated invariant");
    }

    fn execute(&mut self, at: usize, done: bool) {
        let (epoch, order, adapter) = self.orders.remove(at);
        match order {
            Order::Load if done => {
                self.loaded.insert(adapter.clone());
                assert!(self.loaded.len() <= SLOTS, "more adapters than slots");
            }
            Order::Evict if done => {
                let user =
                    self.in_flight.iter().find(|(_, f)| f.adapter.as_ref() == Some(&adapter));
                assert!(user.is_none(), "evicted {adapter} under attempt {:?}", user.unwrap().0);
                self.loaded.remove(&adapter);
            }
            _ => {}
        }
        self.reports.push((epoch, order, adapter, done));
    }

    fn report(&mut self, at: usize) {
        let (epoch, order, adapter, done) = self.reports.remove(at);
        let mut out = Vec::new();
        match (order, done) {
            (Order::Load, true) => self.sched.on_loaded(self.now, &adapter, epoch, &mut out),
            (Order::Load, false) => self.sched.on_load_failed(self.now, &adapter, epoch, &mut out),
            (Order::Evict, _) => self.sched.on_evicted(self.now, &adapter, epoch, done, &mut out),
        }
        self.apply(out);
    }

    fn tick(&mut self, passed: u64, open: bool) {
        self.now = self.now + Ms(passed);
        let mut out = Vec::new();
        self.sched.tick(self.now, &mut Gate(open), &mut out);
        self.apply(out);
    }

    fn submit(&mut self, a: usize) {
        let wanted = (!a.is_multiple_of(9)).then(|| adapter(a % 9));
        let id = self.jobs.len() as u128;
        let mut new = job(id, ["x", "y", "z"][a % 3], wanted.clone(), self.now);
        new.priority = (a / 9 % 4) as u8;
        if a.is_multiple_of(7) {
            new.deadline = self.now + Ms(a as u64 * 10);
        }
        self.jobs.insert(new.attempt, wanted);
        let mut out = Vec::new();
        self.sched.submit(self.now, new, &mut out);
        self.apply(out);
    }

    fn end(&mut self, attempt: AttemptId) {
        self.in_flight.remove(&attempt);
        let mut out = Vec::new();
        self.sched.on_end(self.now, attempt, 50, &mut out);
        self.apply(out);
    }

    /// Delivers a request to the endpoint, which refuses it if its adapter is absent. After a
    /// takeover, also announces the attempt to the new owner.
    fn arrive(&mut self, attempt: AttemptId) {
        let attempt_state = self.in_flight.get_mut(&attempt).unwrap();
        if attempt_state.adapter.as_ref().is_some_and(|a| !self.loaded.contains(a)) {
            return self.end(attempt);
        }
        attempt_state.arrived = true;
        if !std::mem::replace(&mut attempt_state.announced, true) {
            match &attempt_state.adapter {
                Some(adapter) => self.sched.adopt_pinned(self.now, attempt, adapter).unwrap(),
                None => self.sched.adopt_unpinned(self.now, attempt),
            }
        }
    }

    /// Passes the endpoint's state to the scheduler.
    fn read_state(&mut self) {
        let loaded: Vec<_> = self.loaded.iter().cloned().collect();
        let running: Vec<_> =
            self.in_flight.iter().filter(|(_, f)| f.arrived).map(|(a, _)| *a).collect();
        let mut out = Vec::new();
        for gone in self.sched.on_restart(self.now, &loaded, &running, &mut out) {
            self.in_flight.remove(&gone);
        }
        self.apply(out);
    }

    /// Restarts the endpoint: orders and running attempts are lost, requests in transit are
    /// not.
    fn restart(&mut self) {
        self.orders.clear();
        self.loaded.clear();
        let dead: Vec<_> =
            self.in_flight.iter().filter(|(_, f)| f.arrived).map(|(a, _)| *a).collect();
        self.in_flight.retain(|_, f| !f.arrived);
        self.read_state();
        dead.into_iter().for_each(|attempt| self.end(attempt));
    }

    /// Moves the endpoint to a new owner: earlier orders and permits have ended, and the queue
    /// is lost.
    fn replace_owner(&mut self) {
        while !self.orders.is_empty() {
            self.execute(0, true);
        }
        self.reports.clear();
        self.in_flight.retain(|_, f| f.arrived);
        self.in_flight.values_mut().for_each(|f| f.announced = false);
        self.sched = Sched::new(Self::spec(), self.now);
        for attempt in self.jobs.keys() {
            self.outcomes.entry(*attempt).or_insert(1);
        }
        self.read_state();
    }

    fn step(&mut self, op: u8, a: usize) {
        let chosen = match self.in_flight.len() {
            0 => None,
            len => self.in_flight.keys().nth(a % len).copied(),
        };
        match (op % 16, chosen) {
            (0..=4, _) => self.submit(a),
            (5..=7, _) => self.tick(a as u64 * 5, !a.is_multiple_of(4)),
            (8 | 9, _) if !self.orders.is_empty() => {
                self.execute(a % self.orders.len(), !a.is_multiple_of(5));
            }
            (10, _) if !self.reports.is_empty() => self.report(a % self.reports.len()),
            (11, Some(attempt)) => {
                self.end(attempt);
                self.end(attempt);
            }
            (12, _) => {
                let attempt = AttemptId((a % self.jobs.len().max(1)) as u128);
                if self.sched.cancel(self.now, attempt) {
                    *self.outcomes.entry(attempt).or_default() += 1;
                }
            }
            (13, Some(attempt)) => self.arrive(attempt),
            (14, _) if a.is_multiple_of(3) => self.restart(),
            (14, _) => {
                // The connection to the endpoint was lost, and its state is read again.
                while !self.orders.is_empty() {
                    self.execute(0, !a.is_multiple_of(4));
                }
                self.read_state();
            }
            (15, _) if a.is_multiple_of(3) => self.replace_owner(),
            _ => {}
        }
    }

    fn drain(&mut self) {
        for _ in 0..400 {
            for attempt in self.in_flight.keys().copied().collect::<Vec<_>>() {
                self.end(attempt);
            }
            while !self.orders.is_empty() {
                self.execute(0, true);
            }
            while !self.reports.is_empty() {
                self.report(0);
            }
            self.tick(100, true);
        }
    }
}

// Guards against evicting an adapter in use, granting a job whose adapter is absent, exceeding
// the slots or the batch, and jobs with no outcome or two outcomes, with random loads,
// failures, restarts and takeovers.
#[test]
fn random_schedules_keep_invariants() {
    fn invariants_hold(ops: Vec<(u8, u8)>) -> bool {
        let mut model = Model::new();
        for (op, a) in &ops {
            model.step(*op, usize::from(*a));
        }
        model.drain();
        let outcomes = |a| model.outcomes.get(a).copied().unwrap_or(0);
        let wrong: Vec<_> = model.jobs.keys().filter(|a| outcomes(a) != 1).collect();
        assert!(wrong.is_empty(), "jobs without exactly one outcome: {wrong:?}, seed {SEED:#x}");
        true
    }
    println!("seed {SEED:#x}");
    let rng = Gen::from_size_and_seed(600, SEED);
    QuickCheck::new().tests(500).rng(rng).quickcheck(invariants_hold as fn(Vec<(u8, u8)>) -> bool);
}

// Guards against a flood from one team that reduces another team's share or displaces its
// queued jobs, and against a lower priority class that is never served.
#[test]
fn flood_does_not_reduce_other_teams_share() {
    let spec = EndpointSpec { max_queued: 64, ..EndpointSpec::new("e".into(), 0, 4) };
    let mut sched = Sched::new(spec, Ms(0));
    let (mut next, mut out) = (0u128, Vec::new());
    let mut owner = BTreeMap::new();
    let mut served = BTreeMap::<(&str, u8), u32>::new();
    let (mut waiting, mut running) = (0, Vec::new());
    for round in 0..2_000u64 {
        let now = Ms(round * 10);
        let flood = (0..5).map(|i| ("big", if i == 0 { 2 } else { 0 }));
        let small = (waiting..2).map(|_| ("small", 0));
        for (team, priority) in flood.chain(small).collect::<Vec<_>>() {
            next += 1;
            owner.insert(next, (team, priority));
            waiting += u32::from(team == "small");
            sched.submit(now, Job { priority, ..job(next, team, None, now) }, &mut out);
        }
        if !running.is_empty() {
            let ended: u128 = running.remove(0);
            sched.on_end(now, AttemptId(ended), 100, &mut out);
        }
        for output in out.drain(..) {
            match output {
                SchedOut::Grant { attempt } => {
                    let who = owner[&attempt.0];
                    *served.entry(who).or_default() += 1;
                    waiting -= u32::from(who.0 == "small");
                    running.push(attempt.0);
                }
                SchedOut::Refuse { attempt, reason, .. } => {
                    assert_eq!((owner[&attempt.0].0, reason), ("big", RefuseReason::Full));
                }
                other => panic!("{other:?}"),
            }
        }
    }
    let total: u32 = served.values().sum();
    assert!(served[&("small", 0)] * 100 >= total * 48, "{served:?}");
    assert!(served[&("big", 2)] * 100 >= served[&("big", 0)] * 9, "{served:?}");
}

// Guards against a team with many absent adapters that takes all loads, and against several
// loads of one adapter for several waiting jobs.
#[test]
fn jobs_share_loads_and_teams_alternate() {
    let mut sched = Sched::new(EndpointSpec::new("e".into(), 8, 64), Ms(0));
    let mut out = Vec::new();
    for n in 0..40 {
        sched.submit(Ms(0), job(n, "cold", Some(adapter(n as usize)), Ms(0)), &mut out);
    }
    sched.tick(Ms(0), &mut Gate(true), &mut out);
    assert_eq!(loads(&out), [adapter(0), adapter(1)]);
    for n in 100..105 {
        sched.submit(Ms(1), job(n, "warm", Some(adapter(99)), Ms(1)), &mut out);
    }
    out.clear();
    sched.on_loaded(Ms(250), &adapter(0), 0, &mut out);
    sched.tick(Ms(250), &mut Gate(true), &mut out);
    assert_eq!(loads(&out), [adapter(99)], "the other team's first load is next");
    out.clear();
    sched.on_loaded(Ms(500), &adapter(99), 0, &mut out);
    assert_eq!(grants(&out), [100, 101, 102, 103, 104]);
}

// Guards against a load that never gets a slot because constant traffic keeps the only loaded
// adapter pinned.
#[test]
fn constant_traffic_does_not_starve_a_load() {
    let mut sched = Sched::new(EndpointSpec::new("e".into(), 1, 4), Ms(0));
    let (mut out, mut running, mut served) = (Vec::new(), Vec::new(), None);
    for round in 0..400u64 {
        let now = Ms(round * 10);
        let wanted = if round == 50 { adapter(1) } else { adapter(0) };
        sched.submit(now, job(u128::from(round), "t", Some(wanted), now), &mut out);
        if running.len() > 3 || round > 60 && !running.is_empty() && round % 4 == 0 {
            sched.on_end(now, AttemptId(running.remove(0)), 100, &mut out);
        }
        sched.tick(now, &mut Gate(true), &mut out);
        while !out.is_empty() {
            for output in std::mem::take(&mut out) {
                match output {
                    SchedOut::Grant { attempt } => {
                        running.push(attempt.0);
                        served = served.or((attempt.0 == 50).then_some(now));
                    }
                    SchedOut::Load { adapter } => sched.on_loaded(now, &adapter, 0, &mut out),
                    SchedOut::Evict { adapter } => {
                        sched.on_evicted(now, &adapter, 0, true, &mut out);
                    }
                    SchedOut::Refuse { .. } => {}
                }
            }
        }
    }
    assert!(served.is_some_and(|at| at <= Ms(2_000)), "{served:?}");
}

// Guards against grants on a leaving endpoint and against queued jobs that are not refused.
#[test]
fn leaving_endpoint_gets_no_new_work() {
    let mut sched = Sched::new(EndpointSpec::new("e".into(), 2, 1), Ms(0));
    let mut out = Vec::new();
    sched.submit(Ms(0), job(1, "t", None, Ms(0)), &mut out);
    sched.submit(Ms(0), job(2, "t", Some(adapter(1)), Ms(0)), &mut out);
    assert_eq!(grants(&out), [1]);
    out.clear();
    sched.set_leaving(Ms(1), true, &mut out);
    sched.submit(Ms(2), job(3, "t", None, Ms(2)), &mut out);
    assert!(sched.on_end(Ms(3), AttemptId(1), 100, &mut out));
    sched.tick(Ms(4), &mut Gate(true), &mut out);
    let (reason, retry_after) = (RefuseReason::Leaving, Ms(0));
    let refused = |n| SchedOut::Refuse { attempt: AttemptId(n), reason, retry_after };
    assert_eq!(out, [refused(2), refused(3)]);
    assert!(sched.load_view(Ms(4)).leaving);
}

// Guards against a report from before a restart that is applied to a later order, and against
// a pin that remains although the endpoint no longer lists the attempt.
#[test]
fn reports_from_before_a_restart_are_ignored() {
    let mut sched = Sched::new(EndpointSpec::new("e".into(), 2, 4), Ms(0));
    let mut out = Vec::new();
    sched.submit(Ms(0), job(1, "t", Some(adapter(1)), Ms(0)), &mut out);
    sched.tick(Ms(0), &mut Gate(true), &mut out);
    sched.on_restart(Ms(10), &[], &[], &mut out);
    sched.tick(Ms(10), &mut Gate(true), &mut out);
    assert_eq!(loads(&out), [adapter(1), adapter(1)]);
    sched.on_loaded(Ms(20), &adapter(1), 0, &mut out);
    assert!(grants(&out).is_empty());
    sched.on_loaded(Ms(300), &adapter(1), 1, &mut out);
    assert_eq!(grants(&out), [1]);
    assert_eq!(sched.on_running(Ms(1_000), &[], &mut out), [], "the request may be in transit");
    assert_eq!(sched.on_running(Ms(9_000), &[], &mut out), [AttemptId(1)]);
    assert_eq!(sched.slots().pins(&adapter(1)), 0);
    assert!(!sched.on_end(Ms(9_001), AttemptId(1), 100, &mut out));
}

// Guards against queueing a job that cannot meet its deadline and against refusing a job that
// can.
#[test]
fn infeasible_deadline_is_refused_early() {
    let mut sched = Sched::new(EndpointSpec::new("e".into(), 0, 1), Ms(0));
    let mut out = Vec::new();
    for n in 0..12 {
        sched.submit(Ms(n * 100), job(u128::from(n), "t", None, Ms(n * 100)), &mut out);
        sched.on_end(Ms((n + 1) * 100), AttemptId(u128::from(n)), 100, &mut out);
    }
    let now = Ms(1_200);
    for n in 20..26 {
        sched.submit(now, job(n, "t", None, now), &mut out);
    }
    out.clear();
    let with = |n, left| Job { deadline: now + Ms(left), ..job(n, "t", None, now) };
    sched.submit(now, with(30, 300), &mut out);
    sched.submit(now, with(31, 700), &mut out);
    let reason = RefuseReason::Deadline;
    assert_eq!(out, [SchedOut::Refuse { attempt: AttemptId(30), reason, retry_after: Ms(200) }]);
}

// Guards against running other jobs together with a suspect, and against a suspect that never
// runs on a busy endpoint.
#[test]
fn suspect_runs_alone() {
    let mut sched = Sched::new(EndpointSpec::new("e".into(), 0, 4), Ms(0));
    let (mut out, mut running, mut alone) = (Vec::new(), Vec::new(), 0);
    sched.set_suspect(7, true);
    for round in 0..300u64 {
        let now = Ms(round * 10);
        sched.submit(now, job(u128::from(round + 100), "t", None, now), &mut out);
        if round == 20 {
            sched.submit(now, job(7, "t", None, now), &mut out);
        }
        if round % 2 == 0 && !running.is_empty() {
            sched.on_end(now, AttemptId(running.remove(0)), 100, &mut out);
        }
        running.extend(grants(&out));
        out.clear();
        alone += u32::from(running == [7]);
        assert!(!running.contains(&7) || running.len() == 1, "{running:?}");
    }
    assert!(alone > 0);
}
