//! Simulates a fleet with random requests, faults and pairs of faults.
//!
//! `SYCAMOREFORK_RUNS` sets the number of runs and `SYCAMOREFORK_SEED` the seed. A failure
//! prints the seed and the smallest plan that still fails.

mod fleet;

use fleet::{Fault, RequestEnd, RequestPlan, World};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

use sycamorefork::ids::AdapterRef;

const SEED: u64 = 0x5eed_0f1e;
/// Runs without `SYCAMOREFORK_RUNS`; they take about a minute in a debug build.
const DEFAULT_RUNS: u64 = 24;
/// Time within which requests and faults arrive.
const ARRIVAL_MS: u64 = 15_000;
/// Time after the last fault within which the fleet must recover.
const RECOVERY_MS: u64 = 45_000;

const FAULTS: [Fault; 16] = [
    Fault::Kill,
    Fault::DisconnectTable,
    Fault::DisconnectPeers,
    Fault::Freeze,
    Fault::SilenceEndpoint,
    Fault::SlowTable,
    Fault::TableOutage,
    Fault::ObjectsOutage,
    Fault::LoseCommitAnswers,
    Fault::LoseOrderAnswer,
    Fault::RaceConfigs,
    Fault::FailLoad,
    Fault::RestartEndpoint,
    Fault::CrashNextRun,
    Fault::WithdrawKey,
    Fault::MarkLeaving,
];

/// Fault of a plan; times are in milliseconds.
#[derive(Clone, Debug)]
struct PlannedFault {
    at: u64,
    fault: Fault,
    node: usize,
    endpoint: usize,
    duration: u64,
}

/// Requests and faults of one run.
#[derive(Clone, Debug)]
struct Plan {
    seed: u64,
    requests: usize,
    faults: Vec<PlannedFault>,
    /// Whether node 2 is drained in the middle of the arrivals.
    drains: bool,
}

fn below(g: &mut Gen, bound: u64) -> u64 {
    u64::arbitrary(g) % bound
}

impl Arbitrary for PlannedFault {
    fn arbitrary(g: &mut Gen) -> Self {
        let fault = *g.choose(&FAULTS).unwrap();
        // Too short to be detected by the other nodes, or long enough for a takeover.
        let duration =
            if bool::arbitrary(g) { below(g, 1_500) + 1 } else { below(g, 9_000) + 3_000 };
        let at = below(g, ARRIVAL_MS);
        Self { at, fault, node: below(g, 3) as usize, endpoint: below(g, 5) as usize, duration }
    }
}

impl Arbitrary for Plan {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut faults: Vec<PlannedFault> =
            (0..below(g, 5)).map(|_| PlannedFault::arbitrary(g)).collect();
        // Half of the plans with faults have a pair of them within 600 ms.
        if bool::arbitrary(g)
            && let Some(first) = faults.first().cloned()
        {
            faults
                .push(PlannedFault { at: first.at + below(g, 600), ..PlannedFault::arbitrary(g) });
        }
        let requests = 60 + below(g, 240) as usize;
        Self { seed: u64::arbitrary(g), requests, faults, drains: below(g, 4) == 0 }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let plan = self.clone();
        let fewer_faults = (0..self.faults.len()).map(move |i| {
            let mut plan = plan.clone();
            plan.faults.remove(i);
            plan
        });
        let plan = self.clone();
        let half = (self.requests > 20).then_some(Self { requests: plan.requests / 2, ..plan });
        let without_drain = self.drains.then(|| Self { drains: false, ..self.clone() });
        Box::new(fewer_faults.chain(half).chain(without_drain))
    }
}

fn random_request(world: &mut World) -> RequestPlan {
    use rand::RngExt;
    let rng = &mut world.rng;
    let engine = rng.random_range(0..10) < 6;
    let team = if rng.random_range(0..3) == 0 { "b" } else { "a" };
    let adapter = format!("{team}-{}", rng.random_range(0..8u32).min(rng.random_range(0..8)));
    let key = rng.random_bool(0.7).then(|| rng.random_range(0..60));
    RequestPlan {
        node: rng.random_range(0..3),
        team: if engine { team } else { "a" },
        adapter: engine.then(|| AdapterRef::new(&adapter, "1")),
        key: key.filter(|_| !engine),
        repeatable: engine,
        // Team "b", which has the smaller rate, exceeds it.
        tokens: rng.random_range(20..400) * if team == "b" { 6 } else { 1 },
        timeout_ms: rng.random_range(1_000..12_000),
        crashes_endpoint: engine && rng.random_range(0..150) == 0,
    }
}

/// Runs a plan and returns the violations.
fn run(plan: &Plan) -> Vec<String> {
    use rand::RngExt;
    let mut world = World::new(plan.seed, 3);
    for _ in 0..plan.requests {
        let request = random_request(&mut world);
        let at = world.rng.random_range(0..ARRIVAL_MS);
        world.schedule_request(at, request);
    }
    for f in &plan.faults {
        world.schedule_fault(f.at, f.fault, f.node, f.endpoint, f.duration);
    }
    if plan.drains {
        world.schedule_drain(ARRIVAL_MS / 2, 2);
    }
    world.run(ARRIVAL_MS + 12_000);
    world.run(RECOVERY_MS);
    // After the recovery, every serving node must answer requests to engines and services.
    let engines = world.endpoints.iter().filter(|e| e.is_engine && e.left_at.is_none()).count();
    let services = world.endpoints.iter().filter(|e| !e.is_engine && e.left_at.is_none()).count();
    let first = world.requests.len();
    for node in world.serving() {
        let adapter = Some(AdapterRef::new("a-9", "1"));
        let request = RequestPlan {
            node,
            team: "a",
            adapter,
            key: None,
            repeatable: true,
            tokens: 10,
            timeout_ms: 8_000,
            crashes_endpoint: false,
        };
        if engines > 0 {
            world.schedule_request(100, request.clone());
        }
        if services > 0 {
            world.schedule_request(
                100,
                RequestPlan {
                    adapter: None,
                    key: Some(1_000 + node),
                    repeatable: false,
                    ..request
                },
            );
        }
    }
    world.run(12_000);
    let mut violations = std::mem::take(&mut world.violations);
    if world.serving().is_empty() {
        violations.push("no node serves".to_owned());
    }
    for (r, req) in world.requests.iter().enumerate() {
        if req.end.is_none() {
            violations.push(format!("request {r} never ended: {:?}", req.spec));
        }
        if r >= first && req.end.is_some_and(|end| end != RequestEnd::Answered) {
            violations.push(format!(
                "request {r} after the recovery ended as {:?}: {:?}",
                req.end, req.spec
            ));
        }
    }
    violations
}

/// Number in an environment variable, or `default`.
fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(default)
}

/// Guards against invariant violations and lost requests under single faults and pairs
/// of faults with mixed requests.
#[test]
fn invariants_hold_under_random_faults() {
    let seed = env_number("SYCAMOREFORK_SEED", SEED);
    let runs = env_number("SYCAMOREFORK_RUNS", DEFAULT_RUNS);
    println!("seed {seed}, {runs} runs");
    let property = |plan: Plan| {
        let violations = run(&plan);
        match violations.is_empty() {
            true => TestResult::passed(),
            false => TestResult::error(format!(
                "{plan:?}: {:#?}",
                &violations[..violations.len().min(8)]
            )),
        }
    };
    let rng = Gen::from_size_and_seed(100, seed);
    QuickCheck::new()
        .rng(rng)
        .tests(runs)
        .max_tests(runs)
        .quickcheck(property as fn(Plan) -> TestResult);
}

/// Failpoints exist in debug builds only.
#[cfg(debug_assertions)]
mod failpoints {
    use quickcheck::{Arbitrary, Gen};
    use sycamorefork::failpoint::{self, FLEET_FAILPOINTS, Failpoint};

    use super::{Plan, SEED, run};

    /// Most plans that are run to detect a disabled mechanism.
    const MAX_PLANS: usize = 30;

    /// Number of plans run until a violation is detected, with the first violation.
    fn first_violation(failpoint: Failpoint) -> Option<(usize, String)> {
        failpoint::set(Some(failpoint));
        let mut rng = Gen::from_size_and_seed(100, SEED);
        let found = (0..MAX_PLANS).find_map(|n| {
            let plan = Plan::arbitrary(&mut rng);
            run(&plan).into_iter().next().map(|violation| (n + 1, violation))
        });
        failpoint::set(None);
        found
    }

    /// Guards against random runs that would not detect a disabled mechanism.
    #[test]
    fn random_runs_notice_each_broken_mechanism() {
        // `IgnoreFence` is detected with some seeds only and is not asserted yet.
        let asserted = FLEET_FAILPOINTS.into_iter().filter(|f| *f != Failpoint::IgnoreFence);
        let runs: Vec<_> =
            asserted.map(|f| (f, std::thread::spawn(move || first_violation(f)))).collect();
        let results: Vec<_> =
            runs.into_iter().map(|(f, run)| (f, run.join().expect("no panic"))).collect();
        for (failpoint, found) in &results {
            println!("{failpoint:?}: {found:?}");
        }
        let missed: Vec<_> = results.iter().filter(|(_, found)| found.is_none()).collect();
        assert!(missed.is_empty(), "not detected with seed {SEED}: {missed:?}");
    }
}
