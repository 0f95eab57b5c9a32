//! Endpoints that state a rate limit, tested with edge nodes as processes.

use std::time::{Duration, Instant};

use standin::caller::{Answer, CallerRequest};
use standin::endpoint_instance::Instance;
use standin::node::Node;
use standin::test_setup::TestSetup;
use tokio::time::sleep;

/// Time from the first statement of a limit until it binds.
const SETTLING: Duration = Duration::from_secs(3);
/// Length of the windows in which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Most arrivals that a limit allows in a window.
fn allowed(per_s: f64) -> f64 {
    1.5 * per_s * WINDOW.as_secs_f64() + 5.0
}

/// Largest number of arrivals in a window that begins at or after `from`.
fn max_in_window(endpoint: &Instance, from: Instant) -> usize {
    let arrivals: Vec<Instant> = endpoint.arrivals().into_iter().filter(|at| *at >= from).collect();
    let count =
        |from: Instant| arrivals.iter().filter(|a| **a >= from && **a < from + WINDOW).count();
    arrivals.iter().map(|first| count(*first)).max().unwrap_or(0)
}

/// Sends reads to all nodes for some time, one to each node in turn, and returns the answers.
async fn send_reads(nodes: &[Node], time: Duration, pause: Duration) -> Vec<(Answer, Duration)> {
    let end = Instant::now() + time;
    let mut sent = Vec::new();
    for (n, node) in nodes.iter().cycle().enumerate() {
        if Instant::now() >= end {
            break;
        }
        let front = node.addresses.frontend;
        sent.push(tokio::spawn(async move {
            let begun = Instant::now();
            let request = CallerRequest::new("GET /look/1", &format!("n{n}")).bytes();
            let answer = standin::caller::exchange(front, &request).await;
            (answer.expect("an answer"), begun.elapsed())
        }));
        sleep(pause).await;
    }
    let mut answers = Vec::new();
    for task in sent {
        answers.push(task.await.unwrap());
    }
    answers
}

async fn start_nodes(world: &TestSetup, name: &str) -> Vec<Node> {
    let mut nodes = Vec::new();
    for n in 1..=3 {
        nodes.push(Node::start(&format!("{name}-{n}"), world.store_address()).await);
    }
    nodes
}

// Each node passed on answers that state a limit, and none kept to it.
#[tokio::test]
async fn limit_of_an_endpoint_holds_over_all_nodes() {
    let world = TestSetup::start().await;
    let nodes = start_nodes(&world, "limit-all").await;
    let per_s = 3.0;
    world.ledger[0].state_limit(Some(per_s));
    let from = Instant::now() + SETTLING;
    let answers = send_reads(&nodes, SETTLING + WINDOW * 2, Duration::from_millis(33)).await;
    let most = max_in_window(&world.ledger[0], from);
    assert!(most as f64 <= allowed(per_s), "{most} of {} in a window", allowed(per_s));
    let served = answers.iter().filter(|(a, _)| a.status == 200).count();
    assert_eq!(served, answers.len(), "the other endpoint takes the rest");
}

/// Time within which a refusal that needs no endpoint has to arrive, with a margin for a busy
/// machine.
const AT_ONCE: Duration = Duration::from_millis(500);

#[tokio::test]
async fn requests_beyond_the_limits_of_all_endpoints_are_refused_at_once() {
    let world = TestSetup::start().await;
    let nodes = start_nodes(&world, "limit-none").await;
    let per_s = 2.0;
    world.ledger.iter().for_each(|e| e.state_limit(Some(per_s)));
    let from = Instant::now() + SETTLING;
    let answers = send_reads(&nodes, SETTLING + WINDOW * 2, Duration::from_millis(33)).await;
    for e in &world.ledger {
        let most = max_in_window(e, from);
        assert!(most as f64 <= allowed(per_s), "{}: {most} of {}", e.id, allowed(per_s));
    }
    let refused: Vec<_> = answers.iter().filter(|(a, _)| a.status != 200).collect();
    assert!(!refused.is_empty());
    for (answer, took) in refused {
        assert_eq!((answer.status, answer.body.as_str()), (503, "endpoint_limit"), "{answer:?}");
        assert!(answer.headers.contains_key("retry-after"), "{answer:?}");
        assert!(*took < AT_ONCE, "{took:?}");
    }
}

// Only one node is told of the limits; the others learn of them, and of the end of one, by beats.
#[tokio::test]
async fn limit_and_its_end_reach_nodes_that_get_no_answers() {
    let world = TestSetup::start().await;
    let nodes = start_nodes(&world, "limit-beats").await;
    world.ledger.iter().for_each(|e| e.state_limit(Some(1.0)));
    send_reads(&nodes[..1], Duration::from_secs(1), Duration::from_millis(20)).await;
    let arrivals = || world.ledger.iter().map(|e| e.arrivals().len()).sum::<usize>();
    let before = arrivals();
    send_reads(&nodes[1..], Duration::from_secs(1), Duration::from_millis(20)).await;
    let untold = arrivals() - before;
    assert!(untold <= 6, "{untold} requests of nodes that were not told");
    world.ledger[0].state_limit(None);
    send_reads(&nodes, Duration::from_secs(4), Duration::from_millis(50)).await;
    let answers = send_reads(&nodes, Duration::from_secs(1), Duration::from_millis(20)).await;
    let served = answers.iter().filter(|(a, _)| a.status == 200).count();
    assert_eq!(served, answers.len(), "the endpoint without a limit takes them");
}
