//! Randomised runs over inputs, faults and pairs of faults.
//!
//! `SYCAMOREFORK_RUNS` sets the number of runs and `SYCAMOREFORK_SEED` the seed; a failure
//! prints the seed and the smallest plan that still fails.

mod fleet;

use fleet::{Fault, RequestEnd, RequestPlan, World};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

use sycamorefork::ids::AdapterRef;

const SEED: u64 = 0x5eed_0f1e;
/// Runs of the normal test; about a minute in a debug build.
const RUNS: u64 = 24;
/// Time in which requests and faults arrive, in milliseconds.
const SPAN: u64 = 15_000;
/// Time after the last fault within which the fleet serves again.
const HEAL: u64 = 45_000;

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

/// One fault: when, which, where and for how long.
#[derive(Clone, Debug)]
struct Hit {
    at: u64,
    fault: Fault,
    node: usize,
    endpoint: usize,
    ms: u64,
}

/// One run.
#[derive(Clone, Debug)]
struct Plan {
    seed: u64,
    requests: usize,
    hits: Vec<Hit>,
    drains: bool,
}

fn pick(g: &mut Gen, below: u64) -> u64 {
    u64::arbitrary(g) % below
}

impl Arbitrary for Hit {
    fn arbitrary(g: &mut Gen) -> Self {
        let fault = *g.choose(&FAULTS).unwrap();
        // Long enough for a takeover, or short enough to go unnoticed by the others.
        let ms = if bool::arbitrary(g) { pick(g, 1_500) + 1 } else { pick(g, 9_000) + 3_000 };
        let at = pick(g, SPAN);
        Self { at, fault, node: pick(g, 3) as usize, endpoint: pick(g, 5) as usize, ms }
    }
}

impl Arbitrary for Plan {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut hits: Vec<Hit> = (0..pick(g, 5)).map(|_| Hit::arbitrary(g)).collect();
        // Half of the runs have a pair of faults close together.
        if bool::arbitrary(g)
            && let Some(first) = hits.first().cloned()
        {
            hits.push(Hit { at: first.at + pick(g, 600), ..Hit::arbitrary(g) });
        }
        let requests = 60 + pick(g, 240) as usize;
        Self { seed: u64::arbitrary(g), requests, hits, drains: pick(g, 4) == 0 }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let plan = self.clone();
        let fewer = (0..self.hits.len()).map(move |i| {
            let mut plan = plan.clone();
            plan.hits.remove(i);
            plan
        });
        let plan = self.clone();
        let less = (self.requests > 20).then_some(Self { requests: plan.requests / 2, ..plan });
        let still = self.drains.then(|| Self { drains: false, ..self.clone() });
        Box::new(fewer.chain(less).chain(still))
    }
}

fn request(world: &mut World) -> RequestPlan {
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
        // The small team asks for more than its rate.
        tokens: rng.random_range(20..400) * if team == "b" { 6 } else { 1 },
        timeout_ms: rng.random_range(1_000..12_000),
        crashes_endpoint: engine && rng.random_range(0..150) == 0,
    }
}

/// Runs a plan and returns what is wrong.
fn run(plan: &Plan) -> Vec<String> {
    use rand::RngExt;
    let mut world = World::new(plan.seed, 3);
    for _ in 0..plan.requests {
        let spec = request(&mut world);
        let at = world.rng.random_range(0..SPAN);
        world.schedule_request(at, spec);
    }
    for hit in &plan.hits {
        world.schedule_fault(hit.at, hit.fault, hit.node, hit.endpoint, hit.ms);
    }
    if plan.drains {
        world.schedule_drain(SPAN / 2, 2);
    }
    world.run(SPAN + 12_000);
    world.run(HEAL);
    // Every node that serves answers again, on engines and on services.
    let engines = world.endpoints.iter().filter(|e| e.is_engine && e.left_at.is_none()).count();
    let services = world.endpoints.iter().filter(|e| !e.is_engine && e.left_at.is_none()).count();
    let first = world.requests.len();
    for node in world.serving() {
        let adapter = Some(AdapterRef::new("a-9", "1"));
        let spec = RequestPlan {
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
            world.schedule_request(100, spec.clone());
        }
        if services > 0 {
            world.schedule_request(
                100,
                RequestPlan { adapter: None, key: Some(1_000 + node), repeatable: false, ..spec },
            );
        }
    }
    world.run(12_000);
    let mut wrong = std::mem::take(&mut world.violations);
    if world.serving().is_empty() {
        wrong.push("no node serves".to_owned());
    }
    for (r, req) in world.requests.iter().enumerate() {
        if req.end.is_none() {
            wrong.push(format!("request {r} never ended: {:?}", req.spec));
        }
        if r >= first && req.end.is_some_and(|end| end != RequestEnd::Answered) {
            wrong.push(format!("request {r} after all faults: {:?} {:?}", req.end, req.spec));
        }
    }
    wrong
}

fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(default)
}

/// Guards every invariant against single faults and pairs of faults under mixed requests.
#[test]
fn invariants_hold_under_random_faults() {
    let seed = number("SYCAMOREFORK_SEED", SEED);
    let runs = number("SYCAMOREFORK_RUNS", RUNS);
    println!("seed {seed}, {runs} runs");
    let property = |plan: Plan| {
        let wrong = run(&plan);
        match wrong.is_empty() {
            true => TestResult::passed(),
            false => TestResult::error(format!("{plan:?}: {:#?}", &wrong[..wrong.len().min(8)])),
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
mod broken {
    use quickcheck::{Arbitrary, Gen};
    use sycamorefork::failpoint::{self, FAILPOINTS, Failpoint};

    use super::{Plan, SEED, run};

    /// Plans that a run may take to notice a broken mechanism.
    const PLANS: usize = 30;

    /// Number of plans until a broken mechanism is noticed, with what was wrong.
    fn found(failpoint: Failpoint) -> Option<(usize, String)> {
        failpoint::set(Some(failpoint));
        let mut rng = Gen::from_size_and_seed(100, SEED);
        let plans = (0..PLANS).find_map(|n| {
            let plan = Plan::arbitrary(&mut rng);
            run(&plan).into_iter().next().map(|wrong| (n + 1, wrong))
        });
        failpoint::set(None);
        plans
    }

    /// Guards against a random run that would not notice a broken mechanism.
    #[test]
    fn random_runs_notice_each_broken_mechanism() {
        // `IgnoreFence` is noticed by some seeds only and is not asserted yet.
        let known = FAILPOINTS.into_iter().filter(|f| *f != Failpoint::IgnoreFence);
        let runs: Vec<_> = known.map(|f| (f, std::thread::spawn(move || found(f)))).collect();
        let results: Vec<_> =
            runs.into_iter().map(|(f, run)| (f, run.join().expect("no panic"))).collect();
        for (failpoint, found) in &results {
            println!("{failpoint:?}: {found:?}");
        }
        let missed: Vec<_> = results.iter().filter(|(_, found)| found.is_none()).collect();
        assert!(missed.is_empty(), "not noticed with seed {SEED}: {missed:?}");
    }
}
