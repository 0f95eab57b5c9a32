//! Rows of other writers that cannot be read, tested with edge nodes as processes.

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use standin::caller::{CallerRequest, HOST, KEY, wait_until};
use standin::node::Node;
use standin::test_setup::{TestSetup, document, document_with_late_route};
use tokio::time::sleep;

/// Time in which a change has to be in force.
const BOUND: Duration = Duration::from_secs(2);
/// Depth of nested brackets.
const DEPTH: usize = 49_000;

/// A good entry with one field replaced.
fn with_field(good: &Value, name: &str, text: &str) -> Vec<u8> {
    let mut entry = good.clone();
    entry[name] = json!("ODD");
    entry.to_string().replace("\"ODD\"", text).into_bytes()
}

/// Values that no reader expects.
fn odd_values(good: &Value) -> Vec<Vec<u8>> {
    let nested = "[".repeat(DEPTH) + &"]".repeat(DEPTH);
    let fields = [
        ("Models", nested.as_str()),
        ("Address", "\"10.0.0.1:99999\""),
        ("Address", "\"10.0.0.1:-1\""),
        ("Address", "\"127.0.0.1:0\""),
        ("Slots", "1e400"),
        ("Slots", "184467440737095516160"),
        ("Slots", "-3"),
        ("born", "1e300"),
        ("born", "-1"),
        ("ColdRemainingMs", "1e308"),
        ("RemainingMs", "-1e308"),
        ("Version", "{}"),
        ("Service", "null"),
        ("State", "7"),
    ];
    let mut values: Vec<Vec<u8>> = fields.map(|(name, text)| with_field(good, name, text)).into();
    values.push(nested.clone().into_bytes());
    values.push("[".repeat(DEPTH).into_bytes());
    values.push(Vec::new());
    values.push(vec![0xff, 0xfe, 0x00]);
    // A map in MessagePack and one in CBOR.
    values.push(b"\x81\xa7Service\xa6ledger".to_vec());
    values.push(b"\xa1\x67Service\x66ledger".to_vec());
    values
}

/// Checks that the node follows changes, and that it is the process that was started.
async fn check_follows(world: &TestSetup, node: &mut Node, name: &str) {
    let changed = Instant::now();
    world.rows.put("op", "config", &document_with_late_route(20));
    wait_until("the new route is served", || async {
        CallerRequest::new("GET /late/1", name).send(node).await.status == 200
    })
    .await;
    assert!(changed.elapsed() <= BOUND, "{:?}", changed.elapsed());
    assert!(!node.has_exited());
}

#[tokio::test]
async fn odd_rows_of_all_tables_stop_nothing() {
    let world = TestSetup::start().await;
    let mut node = Node::start("odd-all", world.store_address()).await;
    let values = odd_values(&world.ledger[0].entry("ready"));
    for table in ["servers", "nodes", "holders", "quarantine", "streams"] {
        for (n, value) in values.iter().enumerate() {
            world.rows.put_bytes(table, &format!("odd-{n}"), value);
        }
    }
    for (n, value) in values.iter().enumerate() {
        world.rows.put_bytes("op", &format!("version/base.odd{n}"), value);
    }
    check_follows(&world, &mut node, "o1").await;
    // Entries that can be read, with an address or a number that leads nowhere, may be tried.
    for n in 0..20 {
        let answer = CallerRequest::new("GET /look/1", &format!("o2-{n}")).send(&node).await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    // A node that starts reads them all at once.
    let mut second = Node::start("odd-start", world.store_address()).await;
    check_follows(&world, &mut second, "o3").await;
}

// An odd entry names no endpoint to use; the endpoint is back with its next good one.
#[tokio::test]
async fn odd_entry_in_place_of_a_good_one_ends_its_use_until_the_next_good_one() {
    let world = TestSetup::start().await;
    let mut node = Node::start("odd-replaced", world.store_address()).await;
    let good = world.ledger[0].entry("ready");
    for (n, value) in odd_values(&good).into_iter().enumerate() {
        world.rows.put_bytes("servers", "i-1", &value);
        if n % 5 == 0 {
            sleep(Duration::from_millis(300)).await;
        }
    }
    sleep(BOUND).await;
    let before = world.ledger[0].arrivals().len();
    for n in 0..20 {
        let answer = CallerRequest::new("GET /look/1", &format!("p{n}")).send(&node).await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    assert_eq!(world.ledger[0].arrivals().len(), before);
    world.rows.put("servers", "i-1", &good);
    world.rows.put("servers", "i-2", &world.ledger[1].entry("draining"));
    sleep(BOUND).await;
    let answer = CallerRequest::new("GET /look/1", "p-back").send(&node).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    check_follows(&world, &mut node, "p-late").await;
}

#[tokio::test]
async fn odd_document_leaves_the_one_in_force() {
    let world = TestSetup::start().await;
    let mut node = Node::start("odd-document", world.store_address()).await;
    for value in odd_values(&document(9, &[KEY])) {
        world.rows.put_bytes("op", "config", &value);
    }
    sleep(Duration::from_millis(500)).await;
    let answer = CallerRequest::new("GET /look/1", "d1").send(&node).await;
    assert_eq!(answer.status, 200, "{answer:?} at {HOST}");
    check_follows(&world, &mut node, "d2").await;
}
