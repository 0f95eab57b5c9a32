//! A tenant's quota while the store turns away machines that were killed and started again.

use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Ask, Client, Load, by_status};
use crate::record::Record;
use crate::runner::{MODEL, Plan, Run};
use crate::world::{HOST, KEY, NODE_ZONES, PATH, TENANT, World, configuration};

/// The tenant's limits, in tokens, as in the platform's example of a configuration.
const RATE: u64 = 96_334;
const BURST: u64 = 96_334;
/// Tokens of a request: a long report.
const TOKENS: (u64, u64) = (9_190, 50);
/// The tenant's usual load, of which the limit is 1.8 times, and how many times that it sends.
const USUAL: f64 = RATE as f64 / 1.8;
const HOT: f64 = 7.5;
/// The bounds of the rule.
const WINDOW_MS: u64 = 8_000;
const OVERSHOOT: f64 = 0.1;
const TOLERANCE: f64 = 110_000.0;
/// The machines that are turned away and killed: the second ones of two zones.
const STRUCK: [&str; 2] = ["edge-gent-2", "edge-brugge-2"];

/// Times in ms since the nodes are ready.
const BUSY_AT: u64 = 6_000;
const BUSY_FOR: u64 = 9_000;
const KILL_AT: u64 = 6_100;
const START_AFTER: u64 = 500;
const HOT_AT: u64 = 7_500;
const HOT_FOR: u64 = 6_500;
const END_AT: u64 = 18_000;

/// Runs the case; true if the rule held.
pub fn run(record: &Record, trouble: bool) -> Result<bool, String> {
    let plan = Plan::one_model();
    let zones = ["gent", "brugge", "antwerpen"].repeat(3);
    let runners: Vec<_> = zones.into_iter().map(|zone| (zone, &[MODEL][..])).collect();
    let document = configuration(&plan, RATE, BURST);
    let world = World::new(record, &document, plan, &runners, &NODE_ZONES);
    let mut world = world.map_err(|e| e.to_string())?;
    world.start_nodes()?;
    thread::sleep(Duration::from_secs(4));
    let begun = record.now();
    record.say(&format!("all nodes are ready; tenant {TENANT} rate {RATE}/s burst {BURST}"));

    let zone = |i: u64| match i {
        0..10 => "gent",
        _ => "brugge",
    };
    let client = |i| Client::new(i, zone(i), &world.balancer, record, &world.answers);
    let ask = Ask {
        path: PATH.to_owned(),
        host: HOST,
        key: KEY.to_owned(),
        model: MODEL.to_owned(),
        adapters: 0,
        tokens: TOKENS,
        deadline_ms: 5_000,
    };
    let cost = (TOKENS.0 + TOKENS.1) as f64;
    let load = Load::start((0..20).map(client).collect(), &ask, USUAL / cost);

    let struck = |world: &World| -> Vec<usize> {
        let all = world.nodes.iter().enumerate();
        all.filter(|(_, n)| STRUCK.contains(&&*n.machine.name)).map(|(i, _)| i).collect()
    };
    let struck = struck(&world);
    if trouble {
        world.until(begun + BUSY_AT);
        record.say(&format!("the store turns away {STRUCK:?}"));
        for i in &struck {
            world.doors[*i].busy.store(true, std::sync::atomic::Ordering::SeqCst);
        }
        world.until(begun + KILL_AT);
        record.say(&format!("{STRUCK:?} are killed"));
        for i in &struck {
            world.nodes[*i].kill();
        }
        world.until(begun + KILL_AT + START_AFTER);
        record.say(&format!("{STRUCK:?} are started again"));
        for i in &struck {
            world.nodes[*i].start().map_err(|e| e.to_string())?;
        }
        let end = Instant::now() + Duration::from_secs(5);
        while Instant::now() < end && !struck.iter().all(|i| world.nodes[*i].is_ready()) {
            thread::sleep(Duration::from_millis(20));
        }
        record.say("they are ready, or 5 s have passed");
    }
    world.until(begun + HOT_AT);
    record.say(&format!("the tenant sends {HOT} times its usual"));
    load.set_rate(USUAL * HOT / cost);
    world.until(begun + HOT_AT + HOT_FOR);
    record.say("the tenant sends its usual");
    load.set_rate(USUAL / cost);
    if trouble {
        world.until(begun + BUSY_AT + BUSY_FOR);
        record.say("the store serves all machines");
        for door in &world.doors {
            door.busy.store(false, std::sync::atomic::Ordering::SeqCst);
        }
    }
    world.until(begun + END_AT);
    load.stop();

    let answers = world.answers.lock().unwrap().clone();
    record.say(&format!("answers by status: {}", by_status(&answers)));
    for node in &world.nodes {
        let name = &node.machine.name;
        let own: Vec<_> = answers.iter().filter(|a| a.node == *name).cloned().collect();
        record.say(&format!("  {name}: {}", by_status(&own)));
    }
    let runs = world.fleet.runs.lock().unwrap().clone();
    if runs.len() < 50 {
        return Err(format!("only {} requests ran", runs.len()));
    }
    Ok(judge(record, &runs))
}

/// The rule QUOTA: in no window of `QuotaWindowS` more than (`RatePerS` x window + `Burst`) x
/// (1 + `QuotaOvershoot`) + `QuotaTolerance`.
fn judge(record: &Record, runs: &[Run]) -> bool {
    let mut own: Vec<&Run> = runs.iter().filter(|r| r.tenant == TENANT).collect();
    own.sort_by_key(|r| r.at);
    let sum = |end: usize| -> u64 {
        let from = own[end].at.saturating_sub(WINDOW_MS);
        own[..=end].iter().filter(|r| r.at > from || from == 0).map(|r| r.tokens).sum()
    };
    let worst = (0..own.len()).max_by_key(|i| sum(*i));
    let Some((tokens, end)) = worst.map(|i| (sum(i), own[i].at)) else { return true };
    let rate = RATE as f64 * WINDOW_MS as f64 / 1_000.0;
    let allowed = (rate + BURST as f64) * (1.0 + OVERSHOOT) + TOLERANCE;
    record.say(&format!(
        "most tokens in {WINDOW_MS} ms: {tokens}, until {end} ms; allowed: {allowed:.0}"
    ));
    tokens as f64 <= allowed
}
