//! Tests the planned stop of an edge node under load: no request is cut off without an answer.

use std::net::SocketAddr;
use std::time::Duration;

use rustix::process::Signal;
use serde_json::json;
use standin::caller::{Answer, CallerRequest, KEY, read_answer};
use standin::node::Node;
use standin::test_setup::{TestSetup, document};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, sleep_until};

/// Time for which a stopping node accepts callers.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(2_200);

/// Opens a connection and writes a request.
async fn send(to: SocketAddr, line: &str, attempt: &str) -> TcpStream {
    let mut stream = TcpStream::connect(to).await.unwrap();
    stream.write_all(&CallerRequest::new(line, attempt).bytes()).await.unwrap();
    stream
}

/// A complete answer with status 200.
fn is_served(answer: Option<&Answer>) -> bool {
    answer.is_some_and(|a| a.status == 200 && a.whole)
}

// The answer is in the node's buffers long after the endpoint has sent it.
#[tokio::test]
async fn slow_reader_gets_the_whole_answer_of_a_stopping_node() {
    let world = TestSetup::start().await;
    for e in &world.ledger {
        e.set_padding(12 << 20);
    }
    let mut node = Node::start("stop-slow", world.store_address()).await;
    let mut stream = send(node.addresses.frontend, "POST /enter/1", "s1").await;
    sleep(Duration::from_millis(300)).await;
    node.terminate();
    sleep(Duration::from_secs(4)).await;
    let answer = read_answer(&mut stream).await;
    assert!(is_served(answer.as_ref()), "{:?}", answer.map(|a| (a.status, a.body.len())));
    assert_eq!(node.wait_exit().await, Some(0));
}

// The node is delayed while callers connect, so that it finds them together with the end of the
// time in which it accepts callers.
#[tokio::test]
async fn callers_whose_connections_were_established_are_served() {
    let world = TestSetup::start().await;
    let mut node = Node::start("stop-queue", world.store_address()).await;
    node.terminate();
    let stopped = Instant::now();
    sleep_until(stopped + ACCEPT_AFTER_STOP - Duration::from_millis(300)).await;
    node.signal(Signal::STOP);
    let mut callers = Vec::new();
    for n in 0..50 {
        callers.push(send(node.addresses.frontend, "POST /enter/1", &format!("q{n}")).await);
    }
    sleep_until(stopped + ACCEPT_AFTER_STOP + Duration::from_millis(600)).await;
    node.signal(Signal::CONT);
    let mut served = 0;
    for caller in &mut callers {
        served += usize::from(is_served(read_answer(caller).await.as_ref()));
    }
    assert_eq!(served, callers.len());
    assert_eq!(node.wait_exit().await, Some(0));
}

/// Deadline of a caller that outlasts the grace period.
const LONG_DEADLINE_MS: u32 = 12_000;

/// Sets the time limit of all routes.
fn set_time_limit(world: &TestSetup, ms: u32) {
    let mut document = document(4, &[KEY]);
    for route in document["Routes"].as_array_mut().unwrap() {
        route["TimeoutMs"] = json!(ms);
    }
    world.rows.put("op", "config", &document);
}

/// Sends requests on one connection, one after the other, until it ends. Returns the number of
/// answers, and whether the last request got one or found the connection closed.
async fn use_connection(front: SocketAddr, name: usize) -> (usize, bool) {
    let Ok(mut stream) = TcpStream::connect(front).await else { return (0, true) };
    for n in 0.. {
        let attempt = format!("c{name}-{n}");
        let mut request = CallerRequest::new("POST /enter/1", &attempt);
        request.deadline_ms = LONG_DEADLINE_MS;
        if stream.write_all(&request.bytes()).await.is_err() {
            return (n, true);
        }
        match read_answer(&mut stream).await {
            Some(answer) if answer.whole => {
                if answer.headers.get("connection").is_some_and(|c| c == "close") {
                    return (n + 1, true);
                }
            }
            // The request crossed the close of the connection unless an endpoint has run it.
            answer => return (n, answer.is_none()),
        }
    }
    unreachable!("the loop ends with the connection")
}

/// Lets callers use connections to a node that stops until it is gone. Work takes `work`.
async fn check_stop(name: &str, work: Duration) {
    let world = TestSetup::start().await;
    set_time_limit(&world, LONG_DEADLINE_MS);
    world.ledger.iter().for_each(|e| e.set_work_time(work));
    let mut node = Node::start(name, world.store_address()).await;
    let front = node.addresses.frontend;
    let mut callers = Vec::new();
    for n in 0..8 {
        callers.push(tokio::spawn(use_connection(front, n)));
    }
    sleep(Duration::from_millis(300)).await;
    node.terminate();
    for n in 8..100 {
        callers.push(tokio::spawn(use_connection(front, n)));
        sleep(Duration::from_millis(40)).await;
    }
    assert_eq!(node.wait_exit().await, Some(0));
    let (mut answers, mut cut) = (0, 0);
    for caller in callers {
        let (count, is_closed) = caller.await.unwrap();
        answers += count;
        cut += usize::from(!is_closed);
    }
    let runs: usize = world.ledger.iter().map(|e| e.runs().len()).sum();
    assert_eq!(cut, 0, "answers were cut");
    assert!(answers >= runs, "{runs} requests ran, {answers} were answered");
}

#[tokio::test]
async fn requests_that_arrive_until_a_stop_ends_are_answered() {
    check_stop("stop-short", Duration::from_millis(700)).await;
}

// The endpoint works on, so that the outcome is unknown.
#[tokio::test]
async fn work_that_outlasts_the_grace_period_is_answered() {
    check_stop("stop-long", Duration::from_secs(11)).await;
}
