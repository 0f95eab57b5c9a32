//! Changes in the store that must be in force in time although calls to it go unanswered, tested
//! with edge nodes as processes.

use std::time::{Duration, Instant};

use standin::caller::{CallerRequest, KEY, exchange};
use standin::node::Node;
use standin::row_store::RowStoreFault;
use standin::test_setup::{TestSetup, document, document_with_late_route};
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Bound on a change of the configuration, and on requests to a leaving endpoint.
const BOUND: Duration = Duration::from_secs(2);
/// Time after a disruption from which on the bounds hold.
const STABLE: Duration = Duration::from_secs(3);
/// Length of an outage of the store.
const OUTAGE: Duration = Duration::from_millis(5_300);
/// Time after an outage at which endpoints have written lapsed entries again.
const ENTRIES_BACK: Duration = Duration::from_millis(1_800);
/// Time for which requests are sent after a bound.
const WATCHED: Duration = Duration::from_secs(3);
/// Pause between two requests of a caller.
const REQUEST_PAUSE: Duration = Duration::from_millis(10);

async fn start_nodes(world: &TestSetup, name: &str) -> Vec<Node> {
    let mut nodes = Vec::new();
    for n in 1..=4 {
        nodes.push(Node::start(&format!("{name}-{n}"), world.store_address()).await);
    }
    nodes
}

/// Sends reads to a node one after the other until the task is aborted.
fn keep_reading(node: &Node, name: usize) -> JoinHandle<()> {
    let front = node.addresses.frontend;
    tokio::spawn(async move {
        for n in 0.. {
            let request = CallerRequest::new("GET /look/1", &format!("k{name}-{n}")).bytes();
            exchange(front, &request).await;
            sleep(REQUEST_PAUSE).await;
        }
    })
}

/// Time until a node serves the route that the change at `since` has added.
async fn served_after(node: &Node, name: usize, since: Instant) -> Duration {
    for n in 0.. {
        let answer = CallerRequest::new("GET /late/1", &format!("l{name}-{n}")).send(node).await;
        if answer.status == 200 || since.elapsed() > BOUND * 4 {
            break;
        }
        sleep(REQUEST_PAUSE).await;
    }
    since.elapsed()
}

/// Adds a route and lets an endpoint leave by `leave`, then checks that both are in force at all
/// nodes within the bound.
async fn check_changes(world: &TestSetup, nodes: &[Node], leave: impl FnOnce()) {
    let callers: Vec<_> = nodes.iter().enumerate().map(|(n, node)| keep_reading(node, n)).collect();
    let changed = Instant::now();
    world.rows.put("op", "config", &document_with_late_route(20));
    leave();
    let served = nodes.iter().enumerate().map(|(n, node)| served_after(node, n, changed));
    let delays = futures_util::future::join_all(served).await;
    sleep((BOUND + WATCHED).saturating_sub(changed.elapsed())).await;
    callers.iter().for_each(JoinHandle::abort);
    let late = |at: &&Instant| **at > changed + BOUND;
    let arrivals = world.ledger[0].arrivals();
    let late: Vec<_> = arrivals.iter().filter(late).map(|at| *at - changed).collect();
    assert!(late.is_empty(), "{} requests to the endpoint, the last {:?}", late.len(), late.last());
    assert!(delays.iter().all(|d| *d <= BOUND), "{delays:?}");
}

/// A store that accepts calls and never answers them, also on connections opened before.
fn begin_outage(world: &TestSetup) {
    world.rows.set_fault(RowStoreFault::Silent);
    world.rows.silence_connections();
}

// Calls of the outage were waited for after the store had returned.
#[tokio::test]
async fn changes_after_an_outage_without_answers_are_in_force_in_time() {
    let world = TestSetup::start().await;
    let nodes = start_nodes(&world, "late-outage").await;
    begin_outage(&world);
    sleep(OUTAGE).await;
    world.rows.set_fault(RowStoreFault::None);
    let leaving = world.ledger[0].entry("draining");
    check_changes(&world, &nodes, || world.rows.put("servers", "i-1", &leaving)).await;
}

// The feeds wait on kept connections that are silent, and the first reads after them are lost.
#[tokio::test]
async fn changes_while_kept_connections_are_silent_are_in_force_in_time() {
    let world = TestSetup::start().await;
    let nodes = start_nodes(&world, "late-kept").await;
    world.rows.put("op", "config", &document(4, &[KEY]));
    world.rows.put("servers", "i-1", &world.ledger[0].entry("ready"));
    sleep(Duration::from_millis(100)).await;
    world.rows.silence_connections();
    world.rows.lose_reads(nodes.len() as u64 * 2);
    // From here on the bounds hold again once the change is old enough to be judged.
    sleep(STABLE - BOUND).await;
    let leaving = world.ledger[0].entry("draining");
    check_changes(&world, &nodes, || world.rows.put("servers", "i-1", &leaving)).await;
}

// An entry that goes long after the store's return was kept as one that had lapsed in the outage.
#[tokio::test]
async fn endpoint_whose_entry_goes_after_an_outage_gets_no_work() {
    let world = TestSetup::start().await;
    let nodes = start_nodes(&world, "late-removed").await;
    begin_outage(&world);
    sleep(OUTAGE).await;
    world.rows.set_fault(RowStoreFault::None);
    sleep(STABLE).await;
    check_changes(&world, &nodes, || world.rows.remove("servers", "i-1")).await;
}

#[tokio::test]
async fn endpoints_whose_entries_lapse_in_an_outage_are_kept_until_they_are_back() {
    let world = TestSetup::start().await;
    let node = Node::start("late-lapsed", world.store_address()).await;
    begin_outage(&world);
    sleep(OUTAGE).await;
    world.ledger.iter().for_each(|e| world.rows.remove("servers", &e.id));
    world.rows.set_fault(RowStoreFault::None);
    let returned = Instant::now();
    for n in 0.. {
        let answer = CallerRequest::new("GET /look/1", &format!("b{n}")).send(&node).await;
        assert_eq!(answer.status, 200, "{answer:?} after {:?}", returned.elapsed());
        sleep(REQUEST_PAUSE).await;
        if returned.elapsed() > STABLE {
            break;
        }
        if returned.elapsed() > ENTRIES_BACK {
            world.ledger.iter().for_each(|e| world.rows.put("servers", &e.id, &e.entry("ready")));
        }
    }
}
