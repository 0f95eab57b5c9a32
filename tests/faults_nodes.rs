//! Faults of nodes: killed, frozen and leaving ones.

mod deployment;

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use deployment::{Deployment, StreamEnd, adapter};
use futures_util::future::join_all;
use http::Method;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

/// Whether a status shows every endpoint owned by another node than `gone`.
fn moved(status: &Value, gone: &str) -> bool {
    let prefix = format!("{gone}.");
    status["endpoints"].as_array().unwrap().iter().all(|e| {
        e["healthy"] == true && e["owner"].as_str().is_some_and(|o| !o.starts_with(&prefix))
    })
}

// Guards against endpoints that stay without an owner after a kill, against lost or
// wrong answers of the surviving nodes, and against a booking that runs twice.
#[tokio::test(flavor = "multi_thread")]
async fn killed_node_loses_nothing_of_the_others() {
    let mut d = Deployment::start(3, 3).await;
    let gone = d.owner().await;
    let rest: Vec<usize> = (0..3).filter(|n| *n != gone).collect();
    let load = tokio::spawn(standin::load::run_load(d.plan_for_nodes(&rest, 12, 100.0, 11)));
    sleep(Duration::from_secs(2)).await;
    // The answer of the first call is lost with its node, at whatever point it was.
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
    d.wait_for_status(rest[0], "takeover", |s| moved(s, &name)).await;
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

// Guards against a paused node that acts on a lapsed lease when it continues, and
// against one that does not become a member again.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_node_sends_no_order_to_lost_endpoints() {
    let d = Deployment::start(3, 4).await;
    let frozen = d.owner().await;
    let rest: Vec<usize> = (0..3).filter(|n| *n != frozen).collect();
    // Requests for many adapters keep orders flowing while the node freezes.
    let before = tokio::spawn(standin::load::run_load(d.plan_for_nodes(&[0, 1, 2], 4, 150.0, 21)));
    sleep(Duration::from_secs(3)).await;
    let process = d.nodes[frozen].process.as_ref().unwrap();
    process.signal("STOP");
    let name = d.nodes[frozen].name.clone();
    d.wait_for_status(rest[0], "takeover", |s| moved(s, &name)).await;
    let load = tokio::spawn(standin::load::run_load(d.plan_for_nodes(&rest, 8, 150.0, 22)));
    sleep(Duration::from_secs(2)).await;
    process.signal("CONT");
    let report = load.await.unwrap();
    assert_eq!(report.total.right, report.total.sent, "{report:#?}");
    let report = before.await.unwrap();
    assert_eq!(report.total.wrong, 0, "{report:#?}");
    d.wait_ready().await;
    // The order in which orders took effect is the order of their fences.
    for endpoint in d.endpoints.iter().filter(|e| e.role == "engine") {
        let record = d.record(endpoint.addr).await;
        let orders = record["orders"].as_array().unwrap();
        let fences: Vec<u64> = orders.iter().filter_map(|o| o["fence"].as_u64()).collect();
        assert!(fences.is_sorted(), "{}: {fences:?}", endpoint.name);
    }
    d.check_records().await;
    let report = standin::load::run_load(d.plan_for_nodes(&[frozen], 2, 50.0, 23)).await;
    assert_eq!(report.total.right, report.total.sent, "{report:#?}");
}

async fn leave(admin: bool) {
    let mut d = Deployment::start(3, 3).await;
    let gone = d.owner().await;
    let rest: Vec<usize> = (0..3).filter(|n| *n != gone).collect();
    let load = tokio::spawn(standin::load::run_load(d.plan_for_nodes(&rest, 10, 60.0, 31)));
    // A long answer that its caller reads late is still whole.
    let mut slow = d.open_stream(gone, 0, "slow reader", 900).await;
    slow.wait_first_token().await;
    // Senders use the node until a look at `/readyz`, as a balancer has it, fails.
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
    let (code, ()) = tokio::join!(process.exit(), reading);
    println!("graceful end after {:?}", begun.elapsed());
    assert_eq!(code, Some(0));
    let at = Instant::now();
    let name = d.nodes[gone].name.clone();
    d.wait_for_status(rest[0], "takeover", |s| moved(s, &name)).await;
    println!("owned again {:?} after the end of the process", at.elapsed());
    let report = load.await.unwrap();
    assert_eq!(report.total.right, report.total.sent, "{report:#?}");
    d.check_records().await;
}

// Guards against a shutdown by signal that cuts a request or keeps its endpoints.
#[tokio::test(flavor = "multi_thread")]
async fn terminated_node_cuts_no_request() {
    leave(false).await;
}

// Guards against a drain by an operator that cuts a request or keeps its endpoints.
#[tokio::test(flavor = "multi_thread")]
async fn drained_node_cuts_no_request() {
    leave(true).await;
}
