//! Orders to one endpoint, replayed against a model of the endpoint.

use std::rc::Rc;

use sycamorefork::endpoint_table::VersionedAdapter;
use sycamorefork::order_planner::{AdapterDemand, OrderPlanner, OrderResult, OrderStep};
use sycamorefork::time::Ms;

/// Places of the endpoint.
const PLACES: usize = 18;
/// Time of an order and its answer.
const TRIP: Ms = Ms(3);
/// Time after which an order without an answer is given up: the limit that the shell
/// sets for answers after 3 ms.
const GIVEN_UP: Ms = Ms(32);

/// Time of a run.
const RUN: Ms = Ms(300);
/// Interval at which nodes tell what they wait for.
const AGAIN: Ms = Ms(80);
/// Interval at which nodes tell what they use.
const BEAT: Ms = Ms(200);

/// An endpoint that counts orders as model engines do.
#[derive(Default)]
struct Endpoint {
    accepted: u64,
    held: Vec<Rc<str>>,
    coming: Vec<(Rc<str>, Ms)>,
    recent: Vec<Rc<str>>,
    late: Vec<(Ms, OrderStep, u64)>,
    runs: Vec<(Rc<str>, Ms)>,
    /// An unload that waits for its runs.
    going: Option<Rc<str>>,
    most: usize,
}

impl Endpoint {
    fn advance(&mut self, now: Ms) {
        self.runs.retain(|(_, end)| *end > now);
        let runs = &self.runs;
        if let Some(adapter) = self.going.take_if(|g| runs.iter().all(|(a, _)| a != g)) {
            self.drop_adapter(&adapter);
        }
        let done: Vec<Rc<str>> =
            self.coming.iter().filter(|(_, at)| *at <= now).map(|(a, _)| a.clone()).collect();
        self.coming.retain(|(_, at)| *at > now);
        self.held.extend(done);
        let due: Vec<(Ms, OrderStep, u64)> =
            self.late.extract_if(.., |(at, ..)| *at <= now).collect();
        for (at, step, expected) in due {
            self.order(at, &step, expected);
        }
        self.most = self.most.max(self.held.len() + self.coming.len());
    }

    fn drop_adapter(&mut self, adapter: &Rc<str>) {
        self.held.retain(|a| a != adapter);
        self.recent.push(adapter.clone());
    }

    fn order(&mut self, now: Ms, step: &OrderStep, expected: u64) -> OrderResult {
        match step {
            OrderStep::Load(adapter, _) | OrderStep::Check(adapter, _) => {
                if self.held.contains(adapter) {
                    return OrderResult::Holds;
                }
                if self.coming.iter().any(|(a, _)| a == adapter) {
                    return OrderResult::Accepted;
                }
                if expected != self.accepted || self.going.is_some() {
                    return OrderResult::Conflict;
                }
                self.accepted += 1;
                let time = if self.recent.contains(adapter) { Ms(25) } else { Ms(250) };
                self.coming.push((adapter.clone(), now + time));
                OrderResult::Accepted
            }
            OrderStep::Unload(adapter) => {
                if self.going.as_ref() == Some(adapter) {
                    return OrderResult::Accepted;
                }
                if !self.held.contains(adapter) {
                    return OrderResult::Holds;
                }
                if expected != self.accepted || self.going.is_some() {
                    return OrderResult::Conflict;
                }
                self.accepted += 1;
                if self.runs.iter().any(|(a, _)| a == adapter) {
                    self.going = Some(adapter.clone());
                    return OrderResult::Accepted;
                }
                self.drop_adapter(adapter);
                OrderResult::Holds
            }
            other => panic!("{other:?} is no order"),
        }
    }
}

/// A seeded sequence of numbers.
struct Random(u64);

impl Random {
    fn below(&mut self, n: u64) -> u64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % n
    }

    /// A rank below `n`, where small ranks are frequent.
    fn rank(&mut self, n: u64) -> u64 {
        let at = self.below(1_000_000) as f64 / 1e6;
        (((n as f64).powf(at) - 1.0) as u64).min(n - 1)
    }
}

/// What callers saw of a run.
#[derive(Debug, PartialEq)]
struct Seen {
    wanted: usize,
    placed: usize,
    most: usize,
}

/// Wants `per_s` adapters a second for `seconds`, while a share of the orders, in
/// hundredths, gets no answer and is carried out late.
fn run(seed: u64, seconds: u64, per_s: u64, lost: u64) -> Seen {
    let mut random = Random(seed);
    let mut endpoint = Endpoint::default();
    let mut depot = OrderPlanner::new(PLACES);
    let model: Rc<str> = Rc::from("base");
    let mut waiting: Vec<(Rc<str>, Ms)> = Vec::new();
    let (mut wanted, mut placed) = (0, 0);
    let mut busy = Ms(0);
    let mut running: Vec<(Rc<str>, Ms)> = Vec::new();
    for ms in 0..seconds * 1_000 {
        let now = Ms(ms);
        endpoint.advance(now);
        if random.below(1_000) < per_s {
            let adapter: Rc<str> = Rc::from(format!("base/a{}", random.rank(120)));
            let until = now + Ms(1_500);
            // The first seconds fetch everything from the weight store.
            let counts = now > Ms::secs(10);
            wanted += usize::from(counts);
            let want =
                AdapterDemand { adapter: &adapter, version: None, node: "edge-1", waiters: 1 };
            match depot.request_load(now, &want) {
                true => {
                    placed += usize::from(counts);
                    running.push((adapter, now + RUN));
                }
                false => waiting.push((adapter, until)),
            }
        }
        waiting.retain(|(adapter, until)| {
            let there = depot.has_loaded(adapter, None);
            placed += usize::from(there && now < *until && *until > Ms(11_500));
            if there && now < *until {
                running.push((adapter.clone(), now + RUN));
            }
            !there && now < *until
        });
        running.retain(|(_, end)| *end > now);
        endpoint.runs.clone_from(&running);
        if ms % AGAIN.0 == 0 {
            for (adapter, _) in &waiting {
                let waiters = waiting.iter().filter(|(a, _)| a == adapter).count() as u32;
                depot.request_load(
                    now,
                    &AdapterDemand { adapter, version: None, node: "edge-1", waiters },
                );
            }
        }
        if ms % BEAT.0 == 0 {
            for (adapter, _) in &running {
                depot.record_use(now, adapter, None);
            }
        }
        if now < busy {
            continue;
        }
        match depot.next_step(now) {
            OrderStep::Wait(_) => {}
            OrderStep::Report => {
                let held = |a: &Rc<str>| VersionedAdapter { adapter: a.clone(), version: 0 };
                let coming: Vec<VersionedAdapter> =
                    endpoint.coming.iter().map(|(a, _)| held(a)).collect();
                let all: Vec<VersionedAdapter> = endpoint.held.iter().map(held).collect();
                depot.on_report(now, endpoint.accepted, vec![model.clone()], &all, &coming);
            }
            step => {
                let expected = depot.accepted_orders.unwrap();
                if random.below(100) < lost {
                    let late = now + Ms(2_000 + random.below(10_000));
                    endpoint.late.push((late, step.clone(), expected));
                    busy = now + GIVEN_UP;
                    depot.on_result(now, &step, OrderResult::Lost);
                } else {
                    busy = now + TRIP;
                    let met = endpoint.order(now, &step, expected);
                    depot.on_result(now, &step, met);
                }
            }
        }
    }
    Seen { wanted, placed, most: endpoint.most }
}

// Guards against an order that fills the endpoint beyond its places, which crashes it.
#[test]
fn late_orders_never_overfill_the_endpoint() {
    for seed in 0..30 {
        let seen = run(seed, 30, 30, 35);
        assert!(seen.most <= PLACES, "seed {seed}: {seen:?}");
    }
}

// Load pattern: a third of the orders unanswered for twenty seconds.
#[test]
fn unanswered_orders_delay_few_requests() {
    for seed in 0..5 {
        let seen = run(seed, 30, 30, 35);
        assert!(seen.placed * 100 >= seen.wanted * 90, "seed {seed}: {seen:?}");
    }
}

// Load pattern: rare adapters on a sound endpoint.
#[test]
fn sound_endpoint_places_nearly_all() {
    for seed in 0..5 {
        let seen = run(seed, 30, 30, 0);
        assert!(seen.placed * 100 >= seen.wanted * 98, "seed {seed}: {seen:?}");
    }
}

// An order can fail without any wait, for example when the endpoint has just left the
// list; giving it again at once would keep the thread from everything else.
#[test]
fn failed_order_is_not_given_again_at_once() {
    let mut depot = OrderPlanner::new(PLACES);
    depot.on_report(Ms(0), 0, Vec::new(), &[], &[]);
    depot.request_model(&Rc::from("base"));
    let step = depot.next_step(Ms(10));
    assert_eq!(step, OrderStep::LoadModel(Rc::from("base")));
    depot.on_result(Ms(10), &step, OrderResult::Lost);
    assert!(matches!(depot.next_step(Ms(10)), OrderStep::Wait(until) if until > Ms(10)));
}
