//! Answers of endpoints that end early or come twice, tested with an edge node as a process.

use std::time::Duration;

use standin::caller::{CallerRequest, KEY};
use standin::endpoint_instance::{EndpointFault, Instance};
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
