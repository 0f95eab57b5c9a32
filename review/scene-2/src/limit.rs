//! Runners of a deployment with two models crash and come back empty, one after the other.

use std::thread;
use std::time::Duration;

use crate::client::{Ask, Client, Load, by_status};
use crate::record::Record;
use crate::runner::{MODEL, Plan};
use crate::world::{HOST, KEY, NODE_ZONES, PATH, World, configuration};

/// The second model. Each fills a runner, as the model of `rolwerk-net` does.
const SECOND: &str = "daka510001";
/// Time that a crashed runner is away.
const DOWN: Duration = Duration::from_millis(4_500);
/// Time from the return of a runner to the next crash.
const PAUSE: Duration = Duration::from_millis(14_500);
/// Clients of each model, and their requests a second.
const CLIENTS: u64 = 30;
const RATE: f64 = 60.0;
/// Crashes, one after the other.
const CRASHES: usize = 5;

/// Runs the case; true if the rule held.
pub fn run(record: &Record, trouble: bool) -> Result<bool, String> {
    let plan = Plan { models: vec![(MODEL, 65_500), (SECOND, 65_500)], ..Plan::one_model() };
    let zones = ["gent", "brugge", "antwerpen"];
    let held = |model: &'static [&'static str]| zones.map(|zone| (zone, model));
    let runners = [held(&[MODEL]), held(&[SECOND])].concat();
    // No limit of the tenant.
    let document = configuration(&plan, 0, 0);
    let world = World::new(record, &document, plan, &runners, &NODE_ZONES);
    let mut world = world.map_err(|e| e.to_string())?;
    world.start_nodes()?;
    record.say("all nodes are ready");
    thread::sleep(Duration::from_secs(6));
    let load = |model: &str, first: u64| {
        let clients = (0..CLIENTS).map(|i| {
            let zone = zones[i as usize % zones.len()];
            Client::new(first + i, zone, &world.balancer, record, &world.answers)
        });
        let ask = Ask {
            path: PATH.to_owned(),
            host: HOST,
            key: KEY.to_owned(),
            model: model.to_owned(),
            adapters: 0,
            tokens: (646, 70),
            deadline_ms: 6_000,
        };
        Load::start(clients.collect(), &ask, RATE)
    };
    let loads = [load(MODEL, 0), load(SECOND, CLIENTS)];
    for round in 0..CRASHES {
        // The last runner of the list, which holds the second model, then one of the first.
        let struck = if round % 2 == 0 { world.runners.len() - 1 } else { 0 };
        let broken = || !world.fleet.excesses.lock().unwrap().is_empty();
        if broken() {
            break;
        }
        if trouble {
            let runner = &world.runners[struck];
            record.say(&format!("runner {} with {:?} crashes", runner.id(), runner.models()));
            runner.crash();
        }
        thread::sleep(DOWN);
        if trouble {
            let zone = world.runners[struck].zone();
            let runner = world.fleet.start(zone, &[]).map_err(|e| e.to_string())?;
            record.say(&format!("it is back as {}, empty", runner.id()));
            world.runners[struck] = runner;
        }
        let steps = PAUSE.as_millis() / 100;
        for _ in 0..steps {
            thread::sleep(Duration::from_millis(100));
            if !world.fleet.excesses.lock().unwrap().is_empty() {
                break;
            }
        }
    }
    if !world.fleet.excesses.lock().unwrap().is_empty() {
        let answers = world.answers.lock().unwrap().clone();
        record.say(&format!("answers before the excess by status: {}", by_status(&answers)));
    }
    // What the excess does to requests.
    thread::sleep(Duration::from_secs(1));
    loads.into_iter().for_each(Load::stop);
    let answers = world.answers.lock().unwrap().clone();
    record.say(&format!("answers by status: {}", by_status(&answers)));
    for runner in &world.runners {
        let ended = if runner.has_crashed() { "ended" } else { "runs" };
        record.say(&format!("  runner {} {ended}, holds {:?}", runner.id(), runner.models()));
    }
    if world.fleet.runs.lock().unwrap().len() < 50 {
        return Err("hardly any request ran".to_owned());
    }
    Ok(world.fleet.excesses.lock().unwrap().is_empty())
}
