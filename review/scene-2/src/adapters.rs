//! Many rare adapters are asked for while one runner holds two models.

use std::thread;
use std::time::Duration;

use crate::client::{Ask, Client, Load, by_status};
use crate::record::Record;
use crate::runner::{MODEL, Plan};
use crate::world::{HOST, KEY, NODE_ZONES, PATH, World, configuration};

/// The second model. A runner has room for both and for 12 adapters beside them.
const SECOND: &str = "daka510001";
const MODEL_MB: u64 = 33_500;
/// Adapters that are asked for, in turn, as usual and at once.
const USUAL: u32 = 6;
const AT_ONCE: u32 = 60;
/// Requests a second.
const RATE: f64 = 30.0;
const LENGTH: Duration = Duration::from_secs(15);

/// Runs the case; true if the rule held.
pub fn run(record: &Record, trouble: bool) -> Result<bool, String> {
    let models = vec![(MODEL, MODEL_MB), (SECOND, MODEL_MB)];
    let plan = Plan { models, ..Plan::one_model() };
    let busy: &[&str] = &[MODEL];
    let runners = [("gent", &[MODEL, SECOND][..]), ("brugge", busy), ("antwerpen", busy)];
    // No limit of the tenant.
    let document = configuration(&plan, 0, 0);
    let world = World::new(record, &document, plan, &runners, &NODE_ZONES);
    let mut world = world.map_err(|e| e.to_string())?;
    world.start_nodes()?;
    record.say("all nodes are ready");
    thread::sleep(Duration::from_secs(6));
    let count = if trouble { AT_ONCE } else { USUAL };
    record.say(&format!("{count} adapters are asked for"));
    let zones = ["gent", "brugge", "antwerpen"];
    let clients = (0..12).map(|i| {
        let zone = zones[i as usize % zones.len()];
        Client::new(i, zone, &world.balancer, record, &world.answers)
    });
    let ask = Ask {
        path: PATH.to_owned(),
        host: HOST,
        key: KEY.to_owned(),
        model: MODEL.to_owned(),
        adapters: count,
        tokens: (646, 70),
        deadline_ms: 6_000,
    };
    let load = Load::start(clients.collect(), &ask, RATE);
    for _ in 0..LENGTH.as_millis() / 100 {
        thread::sleep(Duration::from_millis(100));
        if !world.fleet.excesses.lock().unwrap().is_empty() {
            break;
        }
    }
    load.stop();
    let answers = world.answers.lock().unwrap().clone();
    record.say(&format!("answers by status: {}", by_status(&answers)));
    for runner in &world.runners {
        let ended = if runner.has_crashed() { "ended" } else { "runs" };
        record.say(&format!("  runner {} {ended}, holds {:?}", runner.id(), runner.models()));
    }
    if world.fleet.runs.lock().unwrap().len() < 10 {
        return Err("hardly any request ran".to_owned());
    }
    Ok(world.fleet.excesses.lock().unwrap().is_empty())
}
