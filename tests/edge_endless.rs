//! Tests an edge node before endpoints that send bytes without end.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use serde_json::json;
use standin::caller::{CallerRequest, KEY, exchange, read_answer};
use standin::endpoint_instance::EndpointFault;
use standin::node::Node;
use standin::test_setup::{TestSetup, document};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// `MemoryMb` of the node's settings, in bytes.
const MEMORY_LIMIT: u64 = 390 << 20;
/// `X-Deadline-Ms` of the callers' requests.
const DEADLINE: Duration = Duration::from_secs(4);
/// `IdleTimeoutMs` of the document.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after the deadline within which a request must have ended.
const DEADLINE_SLACK: Duration = Duration::from_millis(500);

/// Reads sent while an endpoint floods the node, and the pause between them.
const READS: usize = 200;
const READ_PAUSE: Duration = Duration::from_millis(20);

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn answers_without_end_stay_within_the_memory_limit() {
    let world = TestSetup::start().await;
    let node = Node::start("endless-body", world.store_address()).await;
    let front = node.addresses.frontend;
    let peak = AtomicU64::new(0);
    let faults = [
        EndpointFault::EndlessBody,
        EndpointFault::EndlessHead,
        EndpointFault::EndlessInformational,
        EndpointFault::EndlessExtension,
        EndpointFault::EndlessTrailers,
    ];
    for fault in faults {
        for e in &world.ledger {
            e.set_fault(fault);
        }
        let begun = Instant::now();
        let calls: Vec<_> = (0..60)
            .map(|n| {
                tokio::spawn(async move {
                    let attempt = format!("{fault:?}-{n}");
                    let request = CallerRequest::new("POST /enter/1", &attempt).bytes();
                    exchange(front, &request).await
                })
            })
            .collect();
        for call in calls {
            while !call.is_finished() {
                peak.fetch_max(node.resident_bytes(), Ordering::Relaxed);
                sleep(Duration::from_millis(5)).await;
            }
            let answer = call.await.unwrap().expect("an answer");
            assert!([502, 503, 504].contains(&answer.status), "{fault:?}: {answer:?}");
        }
        assert!(begun.elapsed() < DEADLINE + DEADLINE_SLACK, "{fault:?}");
    }
    let peak = peak.into_inner();
    assert!(peak < MEMORY_LIMIT, "{} MiB", peak >> 20);
    for e in &world.ledger {
        e.set_fault(EndpointFault::None);
    }
    sleep(DEADLINE).await;
    let answer = CallerRequest::new("GET /look/1", "after").send(&node).await;
    assert_eq!(answer.status, 200);
}

// Nothing but the requests' time limit ended such answers, and work went on to the endpoint while
// others were idle.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn reads_are_served_elsewhere_while_an_endpoint_sends_informational_answers_without_end() {
    let world = TestSetup::start().await;
    let node = Node::start("endless-informational", world.store_address()).await;
    let front = node.addresses.frontend;
    world.ledger[0].set_fault(EndpointFault::EndlessInformational);
    let begun = Instant::now();
    let mut calls = Vec::new();
    for n in 0..READS {
        let request = CallerRequest::new("GET /look/1", &format!("i{n}")).bytes();
        calls.push(tokio::spawn(async move { exchange(front, &request).await }));
        sleep(READ_PAUSE).await;
    }
    let mut served = 0;
    for call in calls {
        served += usize::from(call.await.unwrap().is_some_and(|a| a.status == 200));
    }
    assert_eq!(served, READS);
    assert!(begun.elapsed() < READ_PAUSE * READS as u32 * 2, "{:?}", begun.elapsed());
    let sent = world.ledger[0].runs().len();
    assert!(sent < READS / 4, "{sent} requests to the endpoint");
}

// Reports and orders were waited for, and read, until their time limits.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn informational_answers_without_end_to_reports_and_orders_are_cut() {
    let world = TestSetup::start().await;
    let node = Node::start("endless-reports", world.store_address()).await;
    world.assist.set_fault(EndpointFault::EndlessInformational);
    let begun = Instant::now();
    while begun.elapsed() < DEADLINE {
        let ask = CallerRequest::new("POST /ask/1", "e1").with_header("X-Model", "base/a1");
        let answer = ask.send(&node).await;
        assert_ne!(answer.status, 200, "{answer:?}");
        assert!(node.resident_bytes() < MEMORY_LIMIT / 4);
    }
    assert_eq!(CallerRequest::new("GET /look/1", "e2").send(&node).await.status, 200);
}

// The endpoint sends faster than the callers read, so data is always at hand.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn streams_without_end_are_cut_at_their_deadline() {
    let world = TestSetup::start().await;
    let node = Node::start("endless-stream", world.store_address()).await;
    world.assist.set_fault(EndpointFault::EndlessBody);
    let front = node.addresses.frontend;
    let read_to_end = async |attempt: String| {
        let mut caller = TcpStream::connect(front).await.unwrap();
        let begun = Instant::now();
        caller.write_all(&CallerRequest::new("POST /ask/1", &attempt).bytes()).await.unwrap();
        let mut piece = vec![0; 256 << 10];
        while let Ok(1..) = caller.read(&mut piece).await {}
        begun.elapsed()
    };
    let callers = (0..8).map(|n| read_to_end(format!("s{n}")));
    let ended = join_all(callers).await;
    let limit = DEADLINE + DEADLINE_SLACK;
    assert!(ended.iter().all(|took| *took < limit), "{ended:?}");
    assert!(node.resident_bytes() < MEMORY_LIMIT);
}

// A caller that stops reading must hold neither an endpoint nor memory for good.
#[tokio::test]
async fn callers_that_stop_reading_are_cut_off() {
    let world = TestSetup::start().await;
    let mut config = document(4, &[KEY]);
    config["Limits"]["IdleTimeoutMs"] = json!(IDLE_TIMEOUT.as_millis() as u64);
    world.rows.put("op", "config", &config);
    for e in &world.ledger {
        e.set_padding(12 << 20);
    }
    world.assist.set_fault(EndpointFault::EndlessBody);
    let node = Node::start("endless-caller", world.store_address()).await;
    let front = node.addresses.frontend;
    let mut streaming = TcpStream::connect(front).await.unwrap();
    streaming.write_all(&CallerRequest::new("POST /ask/1", "r1").bytes()).await.unwrap();
    let mut whole = TcpStream::connect(front).await.unwrap();
    whole.write_all(&CallerRequest::new("POST /enter/1", "r2").bytes()).await.unwrap();
    sleep(DEADLINE + IDLE_TIMEOUT * 2).await;
    assert_eq!((world.assist.runs().len(), world.assist.aborted_runs()), (1, 1));
    let answer = read_answer(&mut whole).await;
    assert!(answer.is_none_or(|a| !a.whole), "the answer is still held");
}
