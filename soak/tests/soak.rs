//! Real nodes under faults: the promises hold, and a broken mechanism is found.

use soak::check::check;
use soak::fleet::run;
use soak::plan::{Event, Fault, plan};
use standin::endpoint_instance;

/// The findings of a run with a mechanism broken on purpose.
async fn findings(length: u64, events: &[Event], broken: &str) -> Vec<String> {
    check(&run(1, length, events, Some(broken)).await)
}

fn found(lines: &[String], word: &str) -> bool {
    lines.iter().any(|l| l.starts_with(word))
}

/// Both plain endpoints reset connections while they run requests.
fn resets() -> Vec<Event> {
    let fault =
        |endpoint| Fault::Endpoint { endpoint, fault: endpoint_instance::EndpointFault::Resets };
    (0..2).map(|n| Event { at: 500, end: 4_000, fault: fault(n) }).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_hold_under_the_faults_of_a_seed() {
    let length = 24_000;
    let history = run(2, length, &plan(2, length), None).await;
    let lines = check(&history);
    assert!(lines.is_empty(), "{lines:#?}");
    let served = history.sent.iter().filter(|s| s.answer.as_ref().is_some_and(|a| a.status == 200));
    assert!(served.count() > 500, "{}", history.summary());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_that_are_sent_twice_are_found() {
    let lines = findings(5_000, &resets(), "ResendSent").await;
    assert!(found(&lines, "once"), "{lines:#?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn untrue_words_about_not_run_are_found() {
    let lines = findings(5_000, &resets(), "FalseNotRun").await;
    assert!(found(&lines, "not run"), "{lines:#?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn older_configuration_is_found() {
    let events = [Event { at: 3_000, end: 6_000, fault: Fault::Lag }];
    let lines = findings(8_000, &events, "LowerSerial").await;
    assert!(found(&lines, "older"), "{lines:#?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn work_for_an_endpoint_that_left_is_found() {
    let events = [Event { at: 500, end: 1_000, fault: Fault::Leave { endpoint: 0 } }];
    let lines = findings(9_000, &events, "GrantLeaving").await;
    assert!(found(&lines, "leave"), "{lines:#?}");
}
