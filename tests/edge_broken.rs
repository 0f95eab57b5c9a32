//! Answers of endpoints that end early or come twice, tested with an edge node as a process.

use std::time::Duration;

use serde_json::json;
use standin::caller::{CallerRequest, KEY};
use standin::endpoint_instance::{EndpointFault, Instance};
use standin::http_server::{Connection, Server, serve};
use standin::node::Node;
use standin::test_setup::{TestSetup, document};
use tokio::time::sleep;

// Each endpoint refuses a request and writes the refusal once more when the next request arrives.
#[tokio::test]
async fn late_copy_of_a_refusal_refuses_no_other_request() {
    let world = TestSetup::start().await;
    let node = Node::start("broken-refusal", world.store_address()).await;
    world.ledger.iter().for_each(|e| e.set_fault(EndpointFault::LateCopy));
    for n in 0..40 {
        if n % 4 == 0 {
            world.ledger.iter().for_each(|e| e.refuse_next(1));
        }
        let attempt = format!("k{n}");
        let answer = CallerRequest::new("POST /enter/1", &attempt).send(&node).await;
        let runs = world.run_count(&attempt);
        assert!(runs <= 1, "{attempt} ran {runs} times");
        let says_not_run = matches!(answer.status, 408 | 421 | 429 | 503);
        assert!(!(says_not_run && runs > 0), "{attempt} ran: {answer:?}");
    }
}

#[tokio::test]
async fn answer_with_a_cut_head_is_no_answer() {
    let world = TestSetup::start().await;
    let node = Node::start("broken-head", world.store_address()).await;
    let all = world.ledger.iter().chain([&world.assist]);
    all.for_each(|e| e.set_fault(EndpointFault::CutHead));
    for line in ["POST /enter/1", "GET /look/1", "POST /ask/1"] {
        let answer = CallerRequest::new(line, "l1").send(&node).await;
        assert_eq!((answer.status, answer.whole), (502, true), "{line}: {answer:?}");
    }
}

// The route allows its streams to be resumed, and the other engine answers with an error.
#[tokio::test]
async fn broken_stream_holds_no_bytes_of_another_endpoints_error() {
    let world = TestSetup::start().await;
    let mut resumable = document(4, &[KEY]);
    resumable["Routes"][2]["Resumable"] = true.into();
    world.rows.put("op", "config", &resumable);
    let other = Instance::start("i-8", "assist", Some("base")).await.unwrap();
    world.rows.put("servers", "i-8", &other.entry("ready"));
    let node = Node::start("broken-stream", world.store_address()).await;
    for (first, second) in [(&world.assist, &other), (&other, &world.assist)] {
        first.set_fault(EndpointFault::Cut);
        second.set_fault(EndpointFault::Overloaded);
        for n in 0..6 {
            let attempt = format!("m-{}-{n}", first.id);
            let answer = CallerRequest::new("POST /ask/1", &attempt).send(&node).await;
            let broken = answer.status == 200 && !answer.whole && !answer.body.contains("busy");
            assert!(broken || answer.status == 502, "{attempt}: {answer:?}");
        }
        // Endpoints that failed are used again after a pause.
        sleep(Duration::from_millis(600)).await;
    }
}

/// Length of an upload that is still being written when its answer arrives, in bytes.
const UPLOAD: usize = 4 << 20;
/// Lines of invalid statuses, and of one that ends HTTP on a connection.
const STATUSES: [&str; 8] = ["000", "099", "99", "101", "600", "999", "1000", "abc"];

/// Replaces the plain endpoints by a server.
async fn replace_ledger(world: &TestSetup, server: &Server) {
    let mut entry = world.ledger[0].entry("ready");
    entry["Address"] = json!(server.address.to_string());
    world.rows.put("servers", "i-1", &entry);
    world.rows.remove("servers", "i-2");
}

/// Headers of an endpoint's own answer to a request.
fn own_headers(attempt: &str) -> String {
    format!("X-Attempt-Id: {attempt}\r\nX-Server-Seal: seal.i-1.{attempt}\r\n")
}

async fn answer_early(mut connection: Connection, pause: Duration) -> std::io::Result<()> {
    let Some(request) = connection.read_head().await? else { return Ok(()) };
    let own = own_headers(request.header("x-attempt-id").unwrap_or_default());
    connection.write(format!("HTTP/1.1 200 OK\r\n{own}\r\npart").as_bytes()).await?;
    sleep(pause).await;
    connection.reset();
    Ok(())
}

// Guards against a part of an answer that looks complete because only its connection would end it.
#[tokio::test]
async fn early_answer_without_a_length_that_is_reset_is_no_answer() {
    for pause in [0, 5, 50, 400].map(Duration::from_millis) {
        let world = TestSetup::start().await;
        let mut config = document(4, &[KEY]);
        config["Limits"]["MaxBodyBytes"] = json!(UPLOAD);
        world.rows.put("op", "config", &config);
        let server = serve(move |connection| answer_early(connection, pause)).await.unwrap();
        replace_ledger(&world, &server).await;
        let node = Node::start("broken-early", world.store_address()).await;
        let body = "x".repeat(UPLOAD);
        for n in 0..4 {
            let attempt = format!("e{n}");
            let mut request = CallerRequest::new("POST /enter/1", &attempt);
            request.body = &body;
            let answer = request.send(&node).await;
            let promises = matches!(answer.status, 408 | 421 | 429);
            assert!(answer.status != 200 && !promises, "{pause:?}: {answer:?}");
        }
    }
}

// Guards against passing on what is no status of an answer.
#[tokio::test]
async fn answer_with_an_invalid_status_is_no_answer() {
    for status in STATUSES {
        let world = TestSetup::start().await;
        let server = serve(move |mut connection: Connection| async move {
            while let Some(request) = connection.read_request().await? {
                let own = own_headers(request.header("x-attempt-id").unwrap_or_default());
                let head = format!("HTTP/1.1 {status} S\r\n{own}Content-Length: 4\r\n\r\nbody");
                connection.write(head.as_bytes()).await?;
            }
            Ok(())
        })
        .await
        .unwrap();
        replace_ledger(&world, &server).await;
        let node = Node::start("broken-status", world.store_address()).await;
        for line in ["POST /enter/1", "GET /look/1"] {
            let answer = CallerRequest::new(line, "s1").send(&node).await;
            assert_eq!((answer.status, answer.whole), (502, true), "{status} {line}: {answer:?}");
        }
    }
}
