//! A store that is restored from an older copy, tested with edge nodes as processes.

use std::time::Duration;

use serde_json::json;
use standin::caller::{CallerRequest, KEY, wait_until};
use standin::node::Node;
use standin::orders::{check_orders, load_adapters, wait_for_reports};
use standin::row_store::{Copy, RowStoreFault};
use standin::test_setup::{TestSetup, document, document_with_late_route};
use tokio::time::sleep;

/// Time after the store's return from which on all bounds hold, and the bound on a change of the
/// configuration.
const SETTLED: Duration = Duration::from_secs(3 + 2);
/// Shortest time between orders of two holders.
const HANDOVER: Duration = Duration::from_secs(3);
/// Time within which a node reads the quarantine, with room for the call itself.
const QUARANTINE_READ: Duration = Duration::from_secs(7);
/// A part of prompts, and the key of its row in the quarantine.
const PART: (&str, &str) = ("ab", "00000000000000ab");

/// Raises the store's version by `count`, without a change that nodes read.
fn raise_version(world: &TestSetup, count: u64) {
    for n in 0..count {
        world.rows.put("unrelated", "row", &json!(n));
    }
}

/// Takes the store away, restores it from a copy, and brings it back after `change`.
async fn restore(world: &TestSetup, copy: Copy, change: impl FnOnce()) {
    world.rows.set_fault(RowStoreFault::Refuses(503));
    sleep(Duration::from_millis(500)).await;
    world.rows.restore(copy);
    change();
    world.rows.set_fault(RowStoreFault::None);
}

// The route's row has a version that the nodes had seen before the store was restored.
#[tokio::test]
async fn route_written_after_a_restore_is_in_force() {
    let world = TestSetup::start().await;
    let node = Node::start("restored-route", world.store_address()).await;
    let copy = world.rows.copy();
    for version in 4..20 {
        world.rows.put("op", "config", &document(version, &[KEY]));
    }
    sleep(Duration::from_secs(1)).await;
    restore(&world, copy, || {
        world.rows.put("op", "config", &document_with_late_route(20));
        raise_version(&world, 40);
    })
    .await;
    sleep(SETTLED).await;
    let answer = CallerRequest::new("GET /late/1", "r1").send(&node).await;
    assert_eq!(answer.status, 200, "{answer:?}");
}

// The rows by which the nodes hold the engine were written after the copy was taken.
#[tokio::test]
async fn orders_after_a_restore_carry_no_lower_fence_and_have_one_holder() {
    let world = TestSetup::start().await;
    let copy = world.rows.copy();
    raise_version(&world, 500);
    let mut nodes = Vec::new();
    for n in 1..=3 {
        nodes.push(Node::start(&format!("restored-fence-{n}"), world.store_address()).await);
    }
    wait_for_reports(&world.assist).await;
    load_adapters(&nodes, 0..6).await;
    restore(&world, copy, || ()).await;
    load_adapters(&nodes, 6..100).await;
    check_orders(&world.assist, HANDOVER);
    let served = load_adapters(&nodes, 100..110).await;
    assert_eq!(served, 10, "adapters are loaded after the restore");
}

// The copy lists an endpoint as ready that has left since.
#[tokio::test]
async fn endpoint_that_left_before_a_restore_stays_gone() {
    check_departure("restored-left", true).await;
}

// The first answer of the restored store refuses the node's feed.
#[tokio::test]
async fn endpoint_that_left_stays_gone_after_a_restore_without_an_outage() {
    check_departure("restored-refused", false).await;
}

/// Both endpoints of a service leave, and the store is restored from a copy that lists them.
async fn check_departure(name: &str, outage: bool) {
    let world = TestSetup::start().await;
    let node = Node::start(name, world.store_address()).await;
    let copy = world.rows.copy();
    for e in &world.ledger {
        world.rows.put("servers", &e.id, &e.entry("draining"));
    }
    raise_version(&world, 20);
    sleep(Duration::from_secs(2)).await;
    for e in &world.ledger {
        world.rows.remove("servers", &e.id);
    }
    sleep(Duration::from_secs(2)).await;
    match outage {
        true => restore(&world, copy, || ()).await,
        false => world.rows.restore(copy),
    }
    for n in 0..80 {
        let answer = CallerRequest::new("GET /look/1", &format!("g{n}")).send(&node).await;
        assert_eq!((answer.status, answer.body.as_str()), (503, "no_endpoint"), "{n}");
        sleep(Duration::from_millis(50)).await;
    }
}

// The row of the departure has a lower version than the entry had before the restore.
#[tokio::test]
async fn endpoint_that_leaves_after_a_restore_gets_no_work() {
    let world = TestSetup::start().await;
    let copy = world.rows.copy();
    raise_version(&world, 500);
    world.rows.put("servers", "i-1", &world.ledger[0].entry("ready"));
    let node = Node::start("restored-leaves", world.store_address()).await;
    restore(&world, copy, || {
        world.rows.put("servers", "i-1", &world.ledger[0].entry("draining"));
        raise_version(&world, 600);
    })
    .await;
    sleep(SETTLED).await;
    let before = world.ledger[0].arrivals().len();
    for n in 0..40 {
        let answer = CallerRequest::new("GET /look/1", &format!("h{n}")).send(&node).await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    assert_eq!(world.ledger[0].arrivals().len() - before, 0, "requests at a leaving endpoint");
}

async fn is_quarantined(node: &Node, attempt: &str) -> bool {
    let prefix = format!("{}:5,ff:1", PART.0);
    let request =
        CallerRequest::new("POST /ask/1", attempt).with_header("X-Prompt-Prefix", &prefix);
    request.send(node).await.body == "quarantined"
}

#[tokio::test]
async fn quarantine_outlasts_a_restore_that_loses_its_row() {
    let world = TestSetup::start().await;
    let copy = world.rows.copy();
    world.rows.put("quarantine", PART.1, &json!({"reason": "3 crashes"}));
    let node = Node::start("restored-quarantine", world.store_address()).await;
    wait_until("the row is read", || is_quarantined(&node, "q1")).await;
    restore(&world, copy, || ()).await;
    sleep(QUARANTINE_READ).await;
    assert!(is_quarantined(&node, "q2").await);
    assert_eq!(world.rows.keys("quarantine"), [PART.1]);
}

#[tokio::test]
async fn lifted_quarantine_stays_lifted_after_a_restore_that_brings_its_row_back() {
    let world = TestSetup::start().await;
    world.rows.put("quarantine", PART.1, &json!({"reason": "3 crashes"}));
    let node = Node::start("restored-lift", world.store_address()).await;
    wait_until("the row is read", || is_quarantined(&node, "q1")).await;
    let copy = world.rows.copy();
    world.rows.remove("quarantine", PART.1);
    wait_until("the quarantine is lifted", || async { !is_quarantined(&node, "q2").await }).await;
    restore(&world, copy, || ()).await;
    sleep(QUARANTINE_READ).await;
    assert!(!is_quarantined(&node, "q3").await);
    assert_eq!(world.rows.keys("quarantine"), [""; 0]);
}

// The removal of an outdated row was performed late and removed the row of a new quarantine.
#[tokio::test]
async fn late_removal_leaves_the_row_of_a_new_quarantine() {
    let world = TestSetup::start().await;
    world.rows.put("quarantine", PART.1, &json!({"reason": "3 crashes"}));
    let node = Node::start("restored-anew", world.store_address()).await;
    wait_until("the row is read", || is_quarantined(&node, "q1")).await;
    let copy = world.rows.copy();
    world.rows.remove("quarantine", PART.1);
    wait_until("the quarantine is lifted", || async { !is_quarantined(&node, "q2").await }).await;
    let late_by = Duration::from_secs(3);
    world.rows.set_late_writes(Some(("quarantine", late_by)));
    restore(&world, copy, || ()).await;
    sleep(late_by / 2).await;
    world.rows.put("quarantine", PART.1, &json!({"reason": "3 further crashes"}));
    sleep(late_by).await;
    assert_eq!(world.rows.keys("quarantine"), [PART.1]);
}
