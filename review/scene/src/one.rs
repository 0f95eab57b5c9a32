//! The rule ONE: orders of two holders to one runner.

use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::json::Json;
use crate::runner::Order;
use crate::world::World;

/// `LeaseMs` of the deployment.
const LEASE: Duration = Duration::from_millis(3_000);
/// Pause between the end of a process and its next start.
const RESTART: Duration = Duration::from_millis(500);

/// A number from `least` up to `most`.
fn random(least: u64, most: u64) -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_nanos() as u64);
    let mixed = (time ^ time >> 17).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    least + (mixed >> 33) % (most - least + 1)
}

/// How orders to one runner break the rule, in the order of their arrival.
fn breaks(orders: &[Order]) -> Vec<String> {
    let mut found = Vec::new();
    let mut highest: Option<&Order> = None;
    for (n, o) in orders.iter().enumerate() {
        if let Some(h) = highest.filter(|h| h.holder != o.holder) {
            if o.fence < h.fence {
                found.push(format!(
                    "lower fencing token {} of {} after {} of {}",
                    o.fence, o.holder, h.fence, h.holder
                ));
            } else if o.fence == h.fence {
                found.push(format!("{} and {} use the token {}", h.holder, o.holder, o.fence));
            }
        }
        // A holder gives an order, another one gives the next, and the first gives one again.
        let others =
            orders[..n].iter().rposition(|b| b.holder != o.holder).map(|b| (b, &orders[b]));
        let own = others
            .and_then(|(at, b)| Some((b, orders[..at].iter().rfind(|a| a.holder == o.holder)?)));
        if let Some((b, a)) = own.filter(|(_, a)| o.at - a.at < LEASE) {
            let ms = (o.at - a.at).as_millis();
            found.push(format!("{} and {} take turns within {ms} ms", a.holder, b.holder));
        }
        if highest.is_none_or(|h| o.fence > h.fence) {
            highest = Some(o);
        }
    }
    found
}

/// Writes down what was seen and judges it.
fn judge(world: &World, record: &str) -> u8 {
    let mut broken = 0;
    let mut orders = 0;
    for r in &world.runners {
        let seen = r.orders();
        orders += seen.len();
        let found = breaks(&seen);
        broken += found.len();
        for f in found.iter().take(3) {
            world.record.note(format!("ONE broken at {}: {f}", r.id));
        }
    }
    world.record.note(format!("{orders} orders, {broken} breaks of ONE"));
    world.add_runners();
    world.record.write(record);
    match (orders, broken) {
        (0, _) => 2,
        (_, 0) => 0,
        _ => 1,
    }
}

/// Notes, for each write whose answer was lost, how many writes the store got in the 4.5 s around
/// it: the pages lose up to 35 of 100 in such a time.
fn note_shares(world: &World, lost: &[Instant]) {
    let writes: Vec<Instant> = world.store.done().iter().map(|(at, ..)| *at).collect();
    let near = |at: &Instant| {
        let is_near = |w: &&Instant| {
            let gap = w.max(&at).duration_since(**w.min(&at));
            gap < Duration::from_millis(2_250)
        };
        (lost.iter().filter(is_near).count(), writes.iter().filter(is_near).count())
    };
    let shares: Vec<String> = lost.iter().map(near).map(|(l, w)| format!("{l}/{w}")).collect();
    world.record.note(format!("writes lost of the writes within 4.5 s: {}", shares.join(" ")));
}

/// Whether a transaction removes the lease of a node.
fn is_release(tx: &Json) -> bool {
    tx.get("Remove").list().iter().any(|r| r.get("Table").str() == "nodes")
}

/// Nodes are stopped and started in turn, and runners are added meanwhile. The store does not answer the write by which a stopping
/// node gives up its lease, and does it seconds later.
pub fn late_release(trouble: bool, record: &str) -> u8 {
    let mut world = World::start(5, 9);
    if !world.wait_ready() {
        return 2;
    }
    let lost = Arc::new(Mutex::new(Vec::new()));
    if trouble {
        let (lost, log) = (lost.clone(), world.record.clone());
        world.store.set_late(move |tx| {
            if !is_release(tx) {
                return None;
            }
            lost.lock().unwrap().push(Instant::now());
            // The pages name 1 to 6 s.
            let late = Duration::from_millis(random(1_300, 1_700));
            log.note(format!("store: the answer to {tx} is lost, it is done {late:?} later"));
            Some(late)
        });
    }
    let _clients = world.clients(30, Duration::from_millis(20), 400);
    sleep(Duration::from_secs(4));
    let begun = Instant::now();
    for turn in 0.. {
        if begun.elapsed() > Duration::from_secs(70) {
            break;
        }
        let count = world.nodes.len();
        let log = world.record.clone();
        let node = &mut world.nodes[turn % count];
        log.note(format!("SIGTERM to {}", node.name));
        node.signal("TERM");
        if !node.wait_end(Duration::from_secs(9)) {
            return 2;
        }
        log.note(format!("{} has ended", node.name));
        sleep(RESTART);
        node.start();
        log.note(format!("{} is started", node.name));
        sleep(Duration::from_millis(random(1_000, 2_500)));
        world.add_runner(true);
        world.record.note("an empty runner is added");
        sleep(Duration::from_millis(6_000));
    }
    sleep(Duration::from_secs(12));
    note_shares(&world, &lost.lock().unwrap());
    judge(&world, record)
}
