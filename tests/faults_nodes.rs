//! Tests faults of nodes: killed, paused and leaving ones.

mod deployment;

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use deployment::{Deployment, StreamEnd, adapter};
use futures_util::future::join_all;
use http::Method;
use serde_json::{Value, json};
use standin::caller::read_answer;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, sleep_until};

/// Time for which a draining node accepts callers.
const DRAIN_NOTICE: Duration = Duration::from_secs(2);

/// Whether a status shows every endpoint healthy and owned by a node other than `gone`.
fn taken_over(status: &Value, gone: &str) -> bool {
    let prefix = format!("{gone}.");
    status["endpoints"].as_array().unwrap().iter().all(|e| {
        e["healthy"] == true && e["owner"].as_str().is_some_and(|o| !o.starts_with(&prefix))
    })
}

// Guards against endpoints without an owner after a node was killed, against lost or
// wrong answers of the surviving nodes, and against bookings that run twice.
#[tokio::test(flavor = "multi_thread")]
async fn killed_node_loses_nothing_of_the_others() {
    let mut d = Deployment::start(3, 3).await;
    let gone = d.owner_of_most().await;
    let rest: Vec<usize> = (0..3).filter(|n| *n != gone).collect();
    let load = tokio::spawn(standin::load::run_load(d.plan_for_nodes(&rest, 12, 100.0, 11)));
    sleep(Duration::from_secs(2)).await;
    // The kill loses the answers of the first calls, at any stage of their processing.
    for e in d.endpoints.iter().filter(|e| e.role == "service") {
        d.inject_fault(e.addr, json!({"slow": 50.0})).await;
    }
    let bookings: Vec<String> = (0..20).map(|n| format!("kill-{n}")).collect();
    let first =
        bookings.iter().map(|b| tokio::time::timeout(Duration::from_millis(60), d.book(gone, b)));
    let _ = join_all(first).await;
    let kill = Instant::now();
    d.nodes[gone].process.take().unwrap().kill();
    let name = d.nodes[gone].name.clone();
    d.wait_for_status(rest[0], "takeover", |s| taken_over(s, &name)).await;
    println!("takeover after a kill: {:?}", kill.elapsed());
    for e in d.endpoints.iter().filter(|e| e.role == "service") {
        d.inject_fault(e.addr, json!({"slow": 1.0})).await;
    }
    let again = bookings.iter().map(|b| join_all(rest.iter().map(|n| d.book(*n, b))));
    for (booking, again) in bookings.iter().zip(join_all(again).await) {
        let count = d.booking_count(booking).await;
        assert!(count <= 1, "{booking} ran {count} times: {again:?}");
        for (code, body) in again {
            let ran = body["error"]["ran"].as_str();
            assert!(code == 200 || ran == Some("unknown") || count == 0, "{booking}: {body}");
            assert!(code != 200 || count == 1, "{booking}: {body}");
        }
    }
    let report = load.await.unwrap();
    assert_eq!(report.total.right, report.total.sent, "{report:#?}");
    d.check_records().await;
}

// Guards against a paused node that acts on an expired lease when it continues, and
// against one that does not rejoin the cell.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_node_sends_no_order_to_lost_endpoints() {
    let d = Deployment::start(3, 4).await;
    let frozen = d.owner_of_most().await;
    let rest: Vec<usize> = (0..3).filter(|n| *n != frozen).collect();
    // Requests for many adapters cause load and unload orders while the node is paused.
    let before = tokio::spawn(standin::load::run_load(d.plan_for_nodes(&[0, 1, 2], 4, 150.0, 21)));
    sleep(Duration::from_secs(3)).await;
    let process = d.nodes[frozen].process.as_ref().unwrap();
    process.signal("STOP");
    let name = d.nodes[frozen].name.clone();
    d.wait_for_status(rest[0], "takeover", |s| taken_over(s, &name)).await;
    let load = tokio::spawn(standin::load::run_load(d.plan_for_nodes(&rest, 8, 150.0, 22)));
    sleep(Duration::from_secs(2)).await;
    process.signal("CONT");
    let report = load.await.unwrap();
    assert_eq!(report.total.right, report.total.sent, "{report:#?}");
    let report = before.await.unwrap();
    assert_eq!(report.total.wrong, 0, "{report:#?}");
    d.wait_ready().await;
    // Orders must have taken effect in the sequence of their fencing tokens.
    for endpoint in d.endpoints.iter().filter(|e| e.role == "engine") {
        let record = d.read_record(endpoint.addr).await;
        let orders = record["orders"].as_array().unwrap();
        let fences: Vec<u64> = orders.iter().filter_map(|o| o["fence"].as_u64()).collect();
        assert!(fences.is_sorted(), "{}: {fences:?}", endpoint.name);
    }
    d.check_records().await;
    let report = standin::load::run_load(d.plan_for_nodes(&[frozen], 2, 50.0, 23)).await;
    assert_eq!(report.total.right, report.total.sent, "{report:#?}");
}

async fn shut_down_under_load(admin: bool) {
    let mut d = Deployment::start(3, 3).await;
    let gone = d.owner_of_most().await;
    let rest: Vec<usize> = (0..3).filter(|n| *n != gone).collect();
    let load = tokio::spawn(standin::load::run_load(d.plan_for_nodes(&rest, 10, 60.0, 31)));
    // A long answer must be complete although its caller reads it slowly.
    let mut slow = d.open_stream(gone, 0, "slow reader", 900).await;
    slow.wait_first_token().await;
    // Senders use the node until a poll of `/readyz`, as of a load balancer, fails.
    let ready = AtomicBool::new(true);
    let ask = json!({"model": adapter(0, 2), "prompt": "x", "max_tokens": 8});
    let sender = async |_| {
        let mut count = 0;
        while ready.load(Ordering::Relaxed) {
            let (code, body) = d.post_json(gone, 0, "/v1/completions", &ask).await;
            assert_eq!(code, 200, "{body}");
            count += 1;
        }
        count
    };
    let balancer = async {
        while d.send(gone, Method::GET, "/readyz", &[], "").await.status.is_success() {
            sleep(Duration::from_millis(500)).await;
        }
        sleep(Duration::from_millis(500)).await;
        ready.store(false, Ordering::Relaxed);
    };
    let signal = async {
        sleep(Duration::from_secs(1)).await;
        match admin {
            true => drop(d.run_client(&["drain", "--admin", &d.nodes[gone].admin.to_string()])),
            false => d.nodes[gone].process.as_ref().unwrap().signal("TERM"),
        }
        Instant::now()
    };
    let (sent, (), begun) = tokio::join!(join_all((0..8).map(sender)), balancer, signal);
    println!("{} requests to the leaving node", sent.iter().sum::<u32>());
    sleep(Duration::from_secs(3)).await;
    let reading = async {
        let end = slow.read_to_end().await;
        assert!(end == StreamEnd::Done && slow.is_complete(), "{end:?}");
    };
    let mut process = d.nodes[gone].process.take().unwrap();
    let (code, ()) = tokio::join!(process.wait_exit(), reading);
    println!("graceful end after {:?}", begun.elapsed());
    assert_eq!(code, Some(0));
    let at = Instant::now();
    let name = d.nodes[gone].name.clone();
    d.wait_for_status(rest[0], "takeover", |s| taken_over(s, &name)).await;
    println!("owned again {:?} after the end of the process", at.elapsed());
    let report = load.await.unwrap();
    assert_eq!(report.total.right, report.total.sent, "{report:#?}");
    d.check_records().await;
}

// Guards against a shutdown by signal that interrupts a request or does not release the
// node's endpoints.
#[tokio::test(flavor = "multi_thread")]
async fn terminated_node_cuts_no_request() {
    shut_down_under_load(false).await;
}

// Guards against a drain by an operator that interrupts a request or does not release the
// node's endpoints.
#[tokio::test(flavor = "multi_thread")]
async fn drained_node_cuts_no_request() {
    shut_down_under_load(true).await;
}

/// A completion request of the first team, encoded for a kept connection.
fn completion_request() -> Vec<u8> {
    let body = json!({"model": adapter(0, 2), "prompt": "x", "max_tokens": 4}).to_string();
    format!(
        "POST /v1/completions HTTP/1.1\r\nHost: n\r\nAuthorization: Bearer {}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        deployment::KEYS[0],
        body.len()
    )
    .into_bytes()
}

// Guards against a shutdown that closes connections in use without notice.
#[tokio::test(flavor = "multi_thread")]
async fn callers_on_open_connections_are_told_to_leave_a_draining_node() {
    let mut d = Deployment::start(2, 2).await;
    let to = d.nodes[0].callers;
    // Sends requests until an answer says that the connection closes; the answers' codes.
    let caller = move || async move {
        let mut stream = TcpStream::connect(to).await.unwrap();
        let mut codes = Vec::new();
        loop {
            stream.write_all(&completion_request()).await.unwrap();
            let answer = read_answer(&mut stream).await;
            codes.push(answer.as_ref().map(|a| a.status));
            let Some(answer) = answer else { return codes };
            if answer.headers.get("connection").is_some_and(|c| c == "close") {
                return codes;
            }
            sleep(Duration::from_millis(50)).await;
        }
    };
    let callers: Vec<_> = (0..16).map(|_| tokio::spawn(caller())).collect();
    sleep(Duration::from_secs(1)).await;
    let mut process = d.nodes[0].process.take().unwrap();
    process.signal("TERM");
    assert_eq!(process.wait_exit().await, Some(0));
    for caller in callers {
        let codes = caller.await.unwrap();
        assert!(codes.iter().all(|code| *code == Some(200)), "{codes:?}");
    }
}

fn booking_request(name: &str) -> Vec<u8> {
    let body = json!({ "booking": name }).to_string();
    format!(
        "POST /services/bookings/book HTTP/1.1\r\nHost: n\r\nAuthorization: Bearer {}\r\n\
         Idempotency-Key: {name}\r\nContent-Length: {}\r\n\r\n{body}",
        deployment::KEYS[0],
        body.len()
    )
    .into_bytes()
}

// Guards against bookings that are cut off at the end of a shutdown: callers send them on kept
// connections and new ones until the process is gone, and each takes longer than the drain notice.
#[tokio::test(flavor = "multi_thread")]
async fn bookings_that_arrive_until_a_shutdown_ends_are_answered() {
    let mut d = Deployment::start(2, 2).await;
    for e in d.endpoints.iter().filter(|e| e.role == "service") {
        d.inject_fault(e.addr, json!({"slow": 1_200.0})).await;
    }
    let to = d.nodes[0].callers;
    // The names of bookings whose connection ended without an answer.
    let caller = move |c: usize| async move {
        let mut unanswered = Vec::new();
        'connections: while let Ok(mut stream) = TcpStream::connect(to).await {
            loop {
                let name = format!("stop-{c}-{}", rand::random::<u32>());
                if stream.write_all(&booking_request(&name)).await.is_err() {
                    continue 'connections;
                }
                let Some(answer) = read_answer(&mut stream).await else {
                    unanswered.push(name);
                    continue 'connections;
                };
                if answer.headers.get("connection").is_some_and(|c| c == "close") {
                    continue 'connections;
                }
            }
        }
        unanswered
    };
    let callers: Vec<_> = (0..8).map(|c| tokio::spawn(caller(c))).collect();
    sleep(Duration::from_secs(1)).await;
    let mut process = d.nodes[0].process.take().unwrap();
    process.signal("TERM");
    assert_eq!(process.wait_exit().await, Some(0));
    let mut cut = Vec::new();
    for caller in callers {
        for name in caller.await.unwrap() {
            if d.booking_count(&name).await > 0 {
                cut.push(name);
            }
        }
    }
    assert!(cut.is_empty(), "bookings that ran and got no answer: {cut:?}");
    d.check_records().await;
}

// Guards against a shutdown that closes connections on which requests have arrived: the node is
// delayed, so that it finds them together with the end of the time in which it accepts callers.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_arrive_as_a_delayed_node_shuts_down_are_answered() {
    let mut d = Deployment::start(2, 2).await;
    let request = completion_request();
    let (node, process) = (&d.nodes[0], d.nodes[0].process.as_ref().unwrap());
    let mut kept = Vec::new();
    for _ in 0..20 {
        let mut caller = TcpStream::connect(node.callers).await.unwrap();
        caller.write_all(&request).await.unwrap();
        assert_eq!(read_answer(&mut caller).await.map(|a| a.status), Some(200));
        kept.push(caller);
    }
    process.signal("TERM");
    let stopped = Instant::now();
    sleep_until(stopped + DRAIN_NOTICE - Duration::from_millis(300)).await;
    process.signal("STOP");
    let mut callers = kept;
    for _ in 0..30 {
        callers.push(TcpStream::connect(node.callers).await.unwrap());
    }
    for caller in &mut callers {
        caller.write_all(&request).await.unwrap();
    }
    sleep_until(stopped + DRAIN_NOTICE + Duration::from_millis(600)).await;
    process.signal("CONT");
    let mut codes = Vec::new();
    for caller in &mut callers {
        codes.push(read_answer(caller).await.map(|a| a.status));
    }
    assert!(codes.iter().all(|code| *code == Some(200)), "{codes:?}");
    drop(callers);
    let mut process = d.nodes[0].process.take().unwrap();
    assert_eq!(process.wait_exit().await, Some(0));
    d.check_records().await;
}
