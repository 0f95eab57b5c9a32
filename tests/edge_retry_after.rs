//! Endpoints that refuse requests and state when to come back, tested with edge nodes as
//! processes.

use std::time::{Duration, Instant};

use standin::caller::{Answer, CallerRequest, exchange};
use standin::endpoint_instance::Instance;
use standin::node::Node;
use standin::test_setup::TestSetup;
use tokio::time::sleep;

/// Time for which an endpoint wants nothing.
const PAUSE: Duration = Duration::from_secs(2);
/// Time after a refusal from which on requests of that node are counted.
const SLACK: Duration = Duration::from_millis(500);
/// Most requests of a node that may reach the endpoint from then until the end of its pause.
const ALLOWED: usize = 2;
/// Time for which requests are sent.
const WATCHED: Duration = Duration::from_secs(5);
/// Pause between two requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(10);
/// Time within which a refusal that needs no endpoint has to arrive, with a margin for a busy
/// machine.
const AT_ONCE: Duration = Duration::from_millis(500);

async fn start_nodes(world: &TestSetup, name: &str) -> Vec<Node> {
    let mut nodes = Vec::new();
    for n in 0..4 {
        nodes.push(Node::start(&format!("{name}-{n}"), world.store_address()).await);
    }
    nodes
}

/// Sends reads to the nodes in turn; the first letter of an attempt names its node.
async fn send_reads(nodes: &[Node]) -> Vec<(Answer, Duration)> {
    let end = Instant::now() + WATCHED;
    let mut sent = Vec::new();
    for (n, node) in nodes.iter().enumerate().cycle() {
        if Instant::now() >= end {
            break;
        }
        let front = node.addresses.frontend;
        let attempt = format!("{n}-{}", sent.len());
        sent.push(tokio::spawn(async move {
            let begun = Instant::now();
            let answer =
                exchange(front, &CallerRequest::new("GET /look/1", &attempt).bytes()).await;
            (answer.expect("an answer"), begun.elapsed())
        }));
        sleep(REQUEST_PAUSE).await;
    }
    futures_util::future::join_all(sent).await.into_iter().map(Result::unwrap).collect()
}

/// Checks the requests of each node that reach an endpoint during its pauses.
fn check_pauses(endpoint: &Instance) {
    let deferred = endpoint.deferred();
    assert!(!deferred.is_empty(), "nothing was refused");
    for (attempt, at) in &deferred {
        let same_node =
            |(other, _): &&(String, Instant)| other.as_bytes()[0] == attempt.as_bytes()[0];
        let in_pause = |(_, t): &&(String, Instant)| *t > *at + SLACK && *t < *at + PAUSE;
        let count = deferred.iter().filter(same_node).filter(in_pause).count();
        assert!(count <= ALLOWED, "{count} requests after {attempt}, {} in all", deferred.len());
    }
}

#[tokio::test]
async fn endpoint_that_states_when_to_retry_gets_nothing_until_then() {
    let world = TestSetup::start().await;
    let nodes = start_nodes(&world, "retry-one").await;
    world.ledger[0].refuse_for(Some(PAUSE.as_secs_f64()));
    let answers = send_reads(&nodes).await;
    check_pauses(&world.ledger[0]);
    let served = answers.iter().filter(|(a, _)| a.status == 200).count();
    assert_eq!(served, answers.len(), "the other endpoint has room");
}

#[tokio::test]
async fn requests_are_refused_at_once_while_all_endpoints_want_nothing() {
    let world = TestSetup::start().await;
    let nodes = start_nodes(&world, "retry-all").await;
    world.ledger.iter().for_each(|e| e.refuse_for(Some(PAUSE.as_secs_f64())));
    let answers = send_reads(&nodes).await;
    world.ledger.iter().for_each(check_pauses);
    for (answer, took) in &answers {
        assert_eq!(answer.status, 503, "{answer:?}");
        assert!(answer.headers.contains_key("retry-after"), "{answer:?}");
        assert!(*took < AT_ONCE, "{took:?}");
    }
    let closed = answers.iter().filter(|(a, _)| a.body == "endpoint_closed").count();
    assert!(closed > answers.len() / 2, "{closed} of {} name the reason", answers.len());
    world.ledger.iter().for_each(|e| e.refuse_for(None));
    sleep(PAUSE).await;
    let answer = CallerRequest::new("GET /look/1", "0-after").send(&nodes[0]).await;
    assert_eq!(answer.status, 200, "{answer:?}");
}
