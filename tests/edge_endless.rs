//! Tests an edge node before endpoints that send bytes without end.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use standin::caller::{CallerRequest, exchange};
use standin::endpoint_instance::EndpointFault;
use standin::node::Node;
use standin::test_setup::TestSetup;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// `MemoryMb` of the node's settings, in bytes.
const MEMORY_LIMIT: u64 = 390 << 20;
/// `X-Deadline-Ms` of the callers' requests.
const DEADLINE: Duration = Duration::from_secs(4);
/// Time after the deadline within which a request must have ended.
const DEADLINE_SLACK: Duration = Duration::from_millis(500);

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn answers_without_end_stay_within_the_memory_limit() {
    let world = TestSetup::start().await;
    let node = Node::start("endless-body", world.store_address()).await;
    let front = node.addresses.frontend;
    let peak = AtomicU64::new(0);
    for fault in [EndpointFault::EndlessBody, EndpointFault::EndlessHead] {
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

// The endpoint sends faster than the caller reads, so data is always at hand.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn stream_without_end_is_cut_at_its_deadline() {
    let world = TestSetup::start().await;
    let node = Node::start("endless-stream", world.store_address()).await;
    world.assist.set_fault(EndpointFault::EndlessBody);
    let mut caller = TcpStream::connect(node.addresses.frontend).await.unwrap();
    let begun = Instant::now();
    caller.write_all(&CallerRequest::new("POST /ask/1", "s1").bytes()).await.unwrap();
    let read = Arc::new(AtomicU64::new(0));
    let (total, limit) = (read.clone(), DEADLINE + DEADLINE_SLACK);
    let ended = timeout(limit, async move {
        let mut piece = vec![0; 256 << 10];
        while let Ok(n @ 1..) = caller.read(&mut piece).await {
            total.fetch_add(n as u64, Ordering::Relaxed);
        }
    })
    .await;
    assert!(ended.is_ok(), "{} MiB in {:?}", read.load(Ordering::Relaxed) >> 20, begun.elapsed());
    assert!(node.resident_bytes() < MEMORY_LIMIT);
}
