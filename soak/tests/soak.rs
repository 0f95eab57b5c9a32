//! Runs real nodes under faults: without a failpoint the checks find nothing, and with one
//! they report the violation.

use soak::check::check;
use soak::fleet::run;
use soak::plan::{Event, Fault, Size, plan};
use standin::endpoint_instance;

/// Returns the findings of a run with an active failpoint.
async fn findings(length_ms: u64, events: &[Event], failpoint: &str) -> Vec<String> {
    findings_of(Size::default(), length_ms, events, failpoint).await
}

async fn findings_of(size: Size, length_ms: u64, events: &[Event], failpoint: &str) -> Vec<String> {
    let history = run(1, length_ms, size, events, Some(failpoint)).await;
    println!("{}", history.summary());
    check(&history)
}

fn found(lines: &[String], word: &str) -> bool {
    lines.iter().any(|l| l.starts_with(word))
}

/// Both plain endpoints reset the connection of each request that they run.
fn resets() -> Vec<Event> {
    let fault =
        |endpoint| Fault::Endpoint { endpoint, fault: endpoint_instance::EndpointFault::Resets };
    (0..2).map(|n| Event { at: 500, end: 4_000, fault: fault(n) }).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_findings_under_the_faults_of_a_seed() {
    let length_ms = 24_000;
    let size = Size::default();
    let history = run(2, length_ms, size, &plan(2, length_ms, size), None).await;
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
async fn false_not_run_answers_are_found() {
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
    // No other endpoint of the service is left that could be preferred.
    let leave = |endpoint| Event { at: 500, end: 8_500, fault: Fault::Leave { endpoint } };
    let events = [leave(0), leave(1)];
    let lines = findings(9_000, &events, "GrantLeaving").await;
    assert!(found(&lines, "leave"), "{lines:#?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_that_crash_engines_without_end_are_found() {
    let events = [Event { at: 500, end: 18_000, fault: Fault::Poison }];
    let size = Size { engines: 6, ..Size::default() };
    let lines = findings_of(size, 20_000, &events, "SkipQuarantine").await;
    assert!(found(&lines, "fatal"), "{lines:#?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_cut_off_by_a_stop_are_found() {
    // By then the engines have loaded adapters, and streams run at all nodes.
    let stops = (5..13).map(|n| {
        let fault = Fault::Stop { node: n % 3 };
        Event { at: n as u64 * 1_000, end: n as u64 * 1_000 + 500, fault }
    });
    let lines = findings(14_000, &stops.collect::<Vec<_>>(), "ExitEarly").await;
    assert!(found(&lines, "cut"), "{lines:#?}");
}
