//! Order planner, run against a simulated endpoint in virtual time.

use std::rc::Rc;

use sycamorefork::endpoint_table::VersionedAdapter;
use sycamorefork::order_planner::{AdapterDemand, OrderPlanner, OrderResult, OrderStep};
use sycamorefork::time::Ms;

/// Adapter slots of the endpoint.
const SLOTS: usize = 18;
/// Time of an order and its answer.
const ORDER_TIME: Ms = Ms(3);
/// Time limit of an order: the one that a holder uses when orders usually take 3 ms.
const ORDER_TIMEOUT: Ms = Ms(32);
/// Time that a request runs.
const REQUEST_TIME: Ms = Ms(300);
/// Interval at which nodes report the adapters that requests wait for.
const DEMAND_INTERVAL: Ms = Ms(80);
/// Interval at which nodes report the adapters that requests use.
const USE_INTERVAL: Ms = Ms(200);

/// A simulated endpoint that counts accepted orders as model engines do.
#[derive(Default)]
struct Endpoint {
    accepted: u64,
    loaded: Vec<Rc<str>>,
    /// Adapters being loaded, with the end of the load.
    loading: Vec<(Rc<str>, Ms)>,
    reloadable: Vec<Rc<str>>,
    /// Orders that are carried out late: when, and the count that they expect.
    late: Vec<(Ms, OrderStep, u64)>,
    /// Adapters of running requests, with the end of the request.
    running: Vec<(Rc<str>, Ms)>,
    /// An unload that waits for running requests.
    unloading: Option<Rc<str>>,
    /// Largest number of adapters loaded or being loaded at once.
    max_adapters: usize,
}

impl Endpoint {
    fn advance(&mut self, now: Ms) {
        self.running.retain(|(_, end)| *end > now);
        let running = &self.running;
        if let Some(adapter) = self.unloading.take_if(|u| running.iter().all(|(a, _)| a != u)) {
            self.drop_adapter(&adapter);
        }
        let done: Vec<Rc<str>> =
            self.loading.iter().filter(|(_, at)| *at <= now).map(|(a, _)| a.clone()).collect();
        self.loading.retain(|(_, at)| *at > now);
        self.loaded.extend(done);
        let due: Vec<(Ms, OrderStep, u64)> =
            self.late.extract_if(.., |(at, ..)| *at <= now).collect();
        for (at, step, expected) in due {
            self.order(at, &step, expected);
        }
        self.max_adapters = self.max_adapters.max(self.loaded.len() + self.loading.len());
    }

    fn drop_adapter(&mut self, adapter: &Rc<str>) {
        self.loaded.retain(|a| a != adapter);
        self.reloadable.push(adapter.clone());
    }

    fn order(&mut self, now: Ms, step: &OrderStep, expected: u64) -> OrderResult {
        match step {
            OrderStep::Load(adapter, _) | OrderStep::Check(adapter, _) => {
                if self.loaded.contains(adapter) {
                    return OrderResult::Holds;
                }
                if self.loading.iter().any(|(a, _)| a == adapter) {
                    return OrderResult::Accepted;
                }
                if expected != self.accepted || self.unloading.is_some() {
                    return OrderResult::Conflict;
                }
                self.accepted += 1;
                let time = if self.reloadable.contains(adapter) { Ms(25) } else { Ms(250) };
                self.loading.push((adapter.clone(), now + time));
                OrderResult::Accepted
            }
            OrderStep::Unload(adapter) => {
                if self.unloading.as_ref() == Some(adapter) {
                    return OrderResult::Accepted;
                }
                if !self.loaded.contains(adapter) {
                    return OrderResult::Holds;
                }
                if expected != self.accepted || self.unloading.is_some() {
                    return OrderResult::Conflict;
                }
                self.accepted += 1;
                if self.running.iter().any(|(a, _)| a == adapter) {
                    self.unloading = Some(adapter.clone());
                    return OrderResult::Accepted;
                }
                self.drop_adapter(adapter);
                OrderResult::Holds
            }
            other => panic!("{other:?} is not an order"),
        }
    }
}

/// A seeded pseudorandom sequence.
struct Random(u64);

impl Random {
    fn below(&mut self, n: u64) -> u64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % n
    }

    /// A rank below `n`; small ranks are the most frequent.
    fn rank(&mut self, n: u64) -> u64 {
        let at = self.below(1_000_000) as f64 / 1e6;
        (((n as f64).powf(at) - 1.0) as u64).min(n - 1)
    }
}

/// Result of a simulation: requests that needed an adapter, those that got it in time, and the
/// largest number of adapters at the endpoint.
#[derive(Debug, PartialEq)]
struct RunResult {
    requested: usize,
    served: usize,
    max_adapters: usize,
}

/// Simulates `seconds` with `per_s` requests a second, while `lost` percent of the orders get
/// no answer and are carried out late.
fn run(seed: u64, seconds: u64, per_s: u64, lost: u64) -> RunResult {
    let mut random = Random(seed);
    let mut endpoint = Endpoint::default();
    let mut planner = OrderPlanner::new(SLOTS);
    let model: Rc<str> = Rc::from("base");
    let mut waiting: Vec<(Rc<str>, Ms)> = Vec::new();
    let (mut requested, mut served) = (0, 0);
    let mut busy = Ms(0);
    let mut running: Vec<(Rc<str>, Ms)> = Vec::new();
    for ms in 0..seconds * 1_000 {
        let now = Ms(ms);
        endpoint.advance(now);
        if random.below(1_000) < per_s {
            let adapter: Rc<str> = Rc::from(format!("base/a{}", random.rank(120)));
            let until = now + Ms(1_500);
            // Not counted: the first seconds, in which all loads come from the weight store.
            let counted = now > Ms::secs(10);
            requested += usize::from(counted);
            let want =
                AdapterDemand { adapter: &adapter, version: None, node: "edge-1", waiters: 1 };
            match planner.request_load(now, &want) {
                true => {
                    served += usize::from(counted);
                    running.push((adapter, now + REQUEST_TIME));
                }
                false => waiting.push((adapter, until)),
            }
        }
        waiting.retain(|(adapter, until)| {
            let loaded = planner.has_loaded(adapter, None);
            served += usize::from(loaded && now < *until && *until > Ms(11_500));
            if loaded && now < *until {
                running.push((adapter.clone(), now + REQUEST_TIME));
            }
            !loaded && now < *until
        });
        running.retain(|(_, end)| *end > now);
        endpoint.running.clone_from(&running);
        if ms % DEMAND_INTERVAL.0 == 0 {
            for (adapter, _) in &waiting {
                let waiters = waiting.iter().filter(|(a, _)| a == adapter).count() as u32;
                planner.request_load(
                    now,
                    &AdapterDemand { adapter, version: None, node: "edge-1", waiters },
                );
            }
        }
        if ms % USE_INTERVAL.0 == 0 {
            for (adapter, _) in &running {
                planner.record_use(now, adapter, None);
            }
        }
        if now < busy {
            continue;
        }
        match planner.next_step(now) {
            OrderStep::Wait(_) => {}
            OrderStep::Report => {
                let versioned = |a: &Rc<str>| VersionedAdapter { adapter: a.clone(), version: 0 };
                let loading: Vec<VersionedAdapter> =
                    endpoint.loading.iter().map(|(a, _)| versioned(a)).collect();
                let loaded: Vec<VersionedAdapter> = endpoint.loaded.iter().map(versioned).collect();
                planner.on_report(now, endpoint.accepted, vec![model.clone()], &loaded, &loading);
            }
            step => {
                let expected = planner.accepted_orders.unwrap();
                if random.below(100) < lost {
                    let late = now + Ms(2_000 + random.below(10_000));
                    endpoint.late.push((late, step.clone(), expected));
                    busy = now + ORDER_TIMEOUT;
                    planner.on_result(now, &step, OrderResult::Lost);
                } else {
                    busy = now + ORDER_TIME;
                    let result = endpoint.order(now, &step, expected);
                    planner.on_result(now, &step, result);
                }
            }
        }
    }
    RunResult { requested, served, max_adapters: endpoint.max_adapters }
}

// An order that loads more adapters than the endpoint has slots crashes the endpoint.
#[test]
fn late_orders_never_overfill_the_endpoint() {
    for seed in 0..30 {
        let result = run(seed, 30, 30, 35);
        assert!(result.max_adapters <= SLOTS, "seed {seed}: {result:?}");
    }
}

// Load pattern: a third of the orders get no answer for twenty seconds.
#[test]
fn unanswered_orders_delay_few_requests() {
    for seed in 0..5 {
        let result = run(seed, 30, 30, 35);
        assert!(result.served * 100 >= result.requested * 90, "seed {seed}: {result:?}");
    }
}

// Load pattern: rare adapters on an endpoint without faults.
#[test]
fn endpoint_without_faults_serves_nearly_all_requests() {
    for seed in 0..5 {
        let result = run(seed, 30, 30, 0);
        assert!(result.served * 100 >= result.requested * 98, "seed {seed}: {result:?}");
    }
}

// An order can fail without any delay, for example when the endpoint has just been removed
// from the list. Sending it again at once would starve all other tasks of the thread.
#[test]
fn failed_order_is_not_sent_again_at_once() {
    let mut planner = OrderPlanner::new(SLOTS);
    planner.on_report(Ms(0), 0, Vec::new(), &[], &[]);
    planner.request_model(&Rc::from("base"));
    let step = planner.next_step(Ms(10));
    assert_eq!(step, OrderStep::LoadModel(Rc::from("base")));
    planner.on_result(Ms(10), &step, OrderResult::Lost);
    assert!(matches!(planner.next_step(Ms(10)), OrderStep::Wait(until) if until > Ms(10)));
}

// A crashed endpoint refuses connections at once, so each order fails without any delay. It must
// not get hundreds of orders until its entry lapses.
#[test]
fn endpoint_that_answers_no_order_gets_few() {
    for is_check in [false, true] {
        let mut planner = OrderPlanner::new(SLOTS);
        planner.on_report(Ms(0), 0, vec![Rc::from("base")], &[], &[]);
        let adapter = Rc::from("base/a1");
        let demand = AdapterDemand { adapter: &adapter, version: None, node: "n", waiters: 1 };
        let (mut now, mut lost) = (Ms(0), 0);
        while now < Ms(3_000) {
            planner.request_load(now, &demand);
            match planner.next_step(now) {
                OrderStep::Wait(until) => now = until,
                step if is_check && matches!(step, OrderStep::Load(..)) => {
                    planner.on_result(now, &step, OrderResult::Accepted);
                }
                step => {
                    lost += 1;
                    planner.on_result(now, &step, OrderResult::Lost);
                }
            }
        }
        assert!((3..=20).contains(&lost), "{lost} orders in 3 s");
    }
}
