//! Endpoints that say in their answers that they leave, tested with edge nodes as processes.

use std::time::{Duration, Instant};

use standin::caller::{CallerRequest, exchange, wait_until};
use standin::endpoint_instance::Instance;
use standin::node::Node;
use standin::test_setup::TestSetup;
use tokio::time::sleep;

/// Longest time for which new requests may reach an endpoint that leaves.
const BOUND: Duration = Duration::from_secs(2);
/// Time for which requests are sent after the bound.
const WATCHED: Duration = Duration::from_secs(4);
/// Pause between two requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(10);

async fn start_nodes(world: &TestSetup, name: &str, count: usize) -> Vec<Node> {
    let mut nodes = Vec::new();
    for n in 0..count {
        nodes.push(Node::start(&format!("{name}-{n}"), world.store_address()).await);
    }
    nodes
}

/// Sends reads to the nodes in turn; `entry` is called now and then.
async fn send_reads(nodes: &[Node], name: &str, time: Duration, entry: impl Fn()) {
    let end = Instant::now() + time;
    for (n, node) in nodes.iter().cycle().enumerate() {
        if Instant::now() >= end {
            break;
        }
        let request = CallerRequest::new("GET /look/1", &format!("{name}{n}")).bytes();
        let answer = exchange(node.addresses.frontend, &request).await.expect("an answer");
        assert_eq!(answer.status, 200, "{answer:?}");
        if n % 50 == 0 {
            entry();
        }
        sleep(REQUEST_PAUSE).await;
    }
}

fn arrivals_after(endpoint: &Instance, from: Instant) -> usize {
    endpoint.arrivals().into_iter().filter(|at| *at > from).count()
}

// The entry in the store says all the time that the endpoint is ready.
#[tokio::test]
async fn endpoint_that_says_in_answers_that_it_leaves_gets_no_work() {
    let world = TestSetup::start().await;
    let nodes = start_nodes(&world, "leaving-said", 4).await;
    let leaver = &world.ledger[0];
    leaver.announce_leaving(true);
    let refresh = || world.rows.put("servers", &leaver.id, &leaver.entry("ready"));
    let from = Instant::now() + BOUND;
    send_reads(&nodes, "s", BOUND + WATCHED, refresh).await;
    assert!(!leaver.arrivals().is_empty(), "no answer has said so");
    assert_eq!(arrivals_after(leaver, from), 0);
}

#[tokio::test]
async fn nodes_tell_each_other_which_endpoints_have_said_that_they_leave() {
    let world = TestSetup::start().await;
    let nodes = start_nodes(&world, "leaving-told", 2).await;
    let leaver = &world.ledger[0];
    leaver.announce_leaving(true);
    send_reads(&nodes[..1], "t", Duration::from_secs(1), || ()).await;
    let from = Instant::now();
    assert!(!leaver.arrivals().is_empty(), "no answer has said so");
    send_reads(&nodes[1..], "u", Duration::from_secs(1), || ()).await;
    assert_eq!(arrivals_after(leaver, from), 0);
}

#[tokio::test]
async fn new_incarnation_of_an_endpoint_that_has_left_gets_work() {
    let world = TestSetup::start().await;
    let nodes = start_nodes(&world, "leaving-again", 2).await;
    let leaver = &world.ledger[0];
    leaver.announce_leaving(true);
    send_reads(&nodes, "v", Duration::from_secs(1), || ()).await;
    leaver.announce_leaving(false);
    let mut entry = leaver.entry("ready");
    entry["born"] = (entry["born"].as_u64().unwrap() + 60_000).into();
    world.rows.put("servers", &leaver.id, &entry);
    sleep(BOUND).await;
    let other = &world.ledger[1];
    world.rows.put("servers", &other.id, &other.entry("draining"));
    sleep(BOUND).await;
    let from = Instant::now();
    send_reads(&nodes, "w", Duration::from_millis(200), || ()).await;
    assert!(arrivals_after(leaver, from) > 0);
}

// The endpoint answers no request of a caller, only reports and orders.
#[tokio::test]
async fn engine_that_says_in_reports_that_it_leaves_gets_no_work() {
    let world = TestSetup::start().await;
    world.assist.announce_leaving(true);
    let nodes = start_nodes(&world, "leaving-report", 1).await;
    wait_until("a report has said so", || async { !world.assist.reports().is_empty() }).await;
    let answer = CallerRequest::new("POST /ask/1", "x1").send(&nodes[0]).await;
    assert_eq!((answer.status, answer.body.as_str()), (503, "no_endpoint"));
    assert!(world.assist.arrivals().is_empty());
}
