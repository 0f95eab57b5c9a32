//! Tests the planned stop of an edge node under load: no request is cut off without an answer.

use std::net::SocketAddr;
use std::time::Duration;

use rustix::process::Signal;
use standin::caller::{Answer, CallerRequest, read_answer};
use standin::node::Node;
use standin::test_setup::TestSetup;
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
