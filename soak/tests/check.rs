//! Runs the checks of the soak on hand-written histories; each must report its violation.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use serde_json::json;
use soak::callers::{Kind, Resumed, Sent};
use soak::check::{Config, Deferred, Departure, History, NodeTime, StatedLimit, check};
use soak::plan::{Size, plan};
use standin::caller::Answer;
use standin::endpoint_instance::Run;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn answer(status: u16, body: &str) -> Option<Answer> {
    Some(Answer { status, headers: HashMap::new(), body: body.to_owned(), whole: true })
}

/// A request sent at `at` and answered 20 ms later.
fn sent(kind: Kind, at: Instant, answer: Option<Answer>) -> Sent {
    static COUNT: AtomicU64 = AtomicU64::new(0);
    let attempt = format!("a{}", COUNT.fetch_add(1, Ordering::Relaxed));
    let (started, ended) = (at, at + ms(20));
    Sent { attempt, kind, node: 0, start: Some(1), key: None, started, ended, answer }
}

fn run(attempt: &str, at: Instant, team: &str) -> (String, Run) {
    let headers = HashMap::from([("x-tenant".to_owned(), team.to_owned())]);
    let (path, body) = ("/".to_owned(), Vec::new());
    ("i-0".to_owned(), Run { attempt: attempt.to_owned(), headers, path, body, at })
}

/// The word before the colon of each finding.
fn words(history: &History) -> Vec<String> {
    let word = |l: String| l.split(':').next().unwrap().to_owned();
    check(history).into_iter().map(word).collect()
}

#[test]
fn answers_are_checked_against_runs() {
    let now = Instant::now();
    let twice = sent(Kind::Write, now, None);
    let foreign = sent(Kind::Read, now, answer(200, "answer to another"));
    let untrue = sent(Kind::Write, now, answer(503, "no_endpoint"));
    let torn = sent(Kind::Stream, now, answer(200, "id: 0\ndata: token\n\nid: 2\ndata: token\n\n"));
    let mut fine = sent(Kind::Write, now, None);
    fine.answer = answer(200, &format!("answer to {}", fine.attempt));
    let all = [&twice, &twice, &foreign, &untrue, &torn, &fine];
    let runs = all.map(|s| run(&s.attempt, now, "studio")).to_vec();
    let history =
        History { sent: vec![twice, foreign, untrue, torn, fine], runs, ..History::default() };
    assert_eq!(words(&history), ["once", "own answer", "not run", "own answer"]);
}

#[test]
fn run_after_leave_is_found_unless_store_was_disturbed() {
    let now = Instant::now();
    let left = vec![Departure { endpoint: "i-0".to_owned(), at: now }];
    let runs = vec![run("a", now + ms(2_000), "studio"), run("b", now + ms(3_000), "studio")];
    let mut history = History { left, runs, ..History::default() };
    assert_eq!(words(&history), ["leave"]);
    history.hidden = vec![(now + ms(1_500), now + ms(1_600))];
    assert!(words(&history).is_empty());
}

#[test]
fn older_configurations_are_found() {
    let now = Instant::now();
    let configs = vec![Config { version: 3, at: now }, Config { version: 4, at: now + ms(1_000) }];
    let with = |key, at| {
        let mut s = sent(Kind::Read, now + ms(at), None);
        s.answer = answer(200, &format!("answer to {}", s.attempt));
        s.key = Some(key);
        s
    };
    let sent = vec![with(3, 900), with(4, 1_500), with(3, 1_600), with(3, 4_000)];
    let runs = sent.iter().map(|s| run(&s.attempt, s.started, "studio")).collect();
    let history = History { sent, runs, configs, ..History::default() };
    assert_eq!(words(&history), ["older", "key", "older"]);
}

#[test]
fn request_cut_by_a_stop_is_found_unless_something_else_broke_it() {
    let now = Instant::now();
    let time = |from, until| NodeTime { node: 0, from: now + ms(from), until: now + ms(until) };
    let cut = sent(Kind::Write, now + ms(5_000), None);
    // A request that crosses the close of its connection has not run.
    let crossed = sent(Kind::Write, now + ms(5_000), None);
    let runs = vec![run(&cut.attempt, now + ms(5_010), "studio")];
    let mut history = History { sent: vec![cut, crossed], runs, ..History::default() };
    assert!(words(&history).is_empty());
    history.stops = vec![time(4_000, 7_000)];
    assert_eq!(words(&history), ["cut"]);
    history.disturbed = vec![time(3_000, 3_100)];
    assert!(words(&history).is_empty());
    history.disturbed.clear();
    history.broken = vec![(now + ms(4_900), now + ms(5_100))];
    assert!(words(&history).is_empty());
}

#[test]
fn requests_without_an_answer_are_found_unless_their_node_was_disturbed() {
    let now = Instant::now();
    let mut late = sent(Kind::Read, now + ms(4_000), None);
    late.ended = late.started + ms(4_500);
    let mut history = History { sent: vec![late], ..History::default() };
    assert_eq!(words(&history), ["late"]);
    let (from, until) = (now + ms(6_000), now + ms(6_500));
    history.disturbed = vec![NodeTime { node: 0, from, until }];
    assert!(words(&history).is_empty());
    history.disturbed[0].node = 1;
    assert_eq!(words(&history), ["late"]);
}

#[test]
fn requests_that_crash_engines_are_found_unless_the_nodes_were_disturbed() {
    let now = Instant::now();
    let fatal = |n: u64| {
        let (endpoint, mut run) = run(&format!("f{n}"), now + ms(n), "studio");
        run.headers.insert("x-prompt-prefix".to_owned(), "a1:4,dead:1,c:1".to_owned());
        (endpoint, run)
    };
    let runs = vec![fatal(2_900), fatal(5_100), fatal(5_200), fatal(5_300), fatal(5_400)];
    let fatal_crashes = (0..5).map(|n| now + ms(n * 500)).collect();
    let mut history = History { runs, fatal_crashes, ..History::default() };
    assert_eq!(words(&history), ["fatal"]);
    history.hidden = vec![(now + ms(5_000), now + ms(5_150))];
    assert!(words(&history).is_empty());
    history.hidden.clear();
    history.fatal_crashes.pop();
    assert!(words(&history).is_empty());
}

#[test]
fn limits_and_holders_are_checked() {
    let now = Instant::now();
    let at = |n: u64| now + ms(n * 20);
    let runs = (0..400).map(|n| run("m", at(n), "meter")).collect();
    let order = |fence: u64, holder: &str| json!({"FencingToken": fence, "Holder": holder});
    let late = vec![order(1, "x"), order(2, "y"), order(1, "x")];
    let two = vec![order(1, "x"), order(1, "y")];
    let orders = vec![("i-2".to_owned(), late), ("i-3".to_owned(), two)];
    let history = History { runs, orders, ..History::default() };
    assert_eq!(words(&history), ["limit", "holder", "holder"]);
}

// Regression cases refer to seeds, so a change of the plan of a seed must be noticed.
#[test]
fn plan_follows_from_the_seed() {
    let lines: Vec<String> = plan(2, 20_000, Size::default())
        .iter()
        .map(|e| format!("{} {} {:?}", e.at, e.end, e.fault))
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
    assert_eq!(plan(2, 20_000, Size::default()), plan(2, 20_000, Size::default()));
    assert_ne!(plan(2, 20_000, Size::default()), plan(3, 20_000, Size::default()));
}

#[test]
fn sound_requests_that_are_quarantined_are_found() {
    let now = Instant::now();
    let refused = |kind| sent(kind, now, answer(503, "quarantined"));
    let mut history = History { sent: vec![refused(Kind::Fatal)], ..History::default() };
    assert!(words(&history).is_empty());
    history.sent.push(refused(Kind::Stream));
    assert_eq!(words(&history), ["sound"]);
}

#[test]
fn requests_beyond_a_stated_limit_are_found_unless_a_node_was_disturbed() {
    let now = Instant::now();
    let arrivals = (0..200).map(|n| now + ms(n * 50)).collect();
    let (endpoint, until) = ("i-0".to_owned(), now + ms(10_000));
    let limits = vec![StatedLimit { endpoint, from: now, until, arrivals }];
    let mut history = History { limits, ..History::default() };
    assert_eq!(words(&history), ["stated limit"]);
    history.disturbed = vec![NodeTime { node: 0, from: now + ms(4_000), until: now + ms(4_100) }];
    assert_eq!(words(&history), [""; 0]);
    history.disturbed.clear();
    history.limits[0].arrivals = (0..50).map(|n| now + ms(n * 200)).collect();
    assert_eq!(words(&history), [""; 0]);
}

/// An answer of the endpoint `i-0-0`, which says that it leaves.
fn sealed(at: Instant) -> Sent {
    let mut s = sent(Kind::Read, at, None);
    s.answer = answer(200, &format!("answer to {}", s.attempt));
    let headers = &mut s.answer.as_mut().unwrap().headers;
    headers.insert("x-server-seal".to_owned(), format!("seal.i-0-0.{}", s.attempt));
    headers.insert("server-leaving".to_owned(), "1".to_owned());
    s
}

#[test]
fn requests_at_an_endpoint_that_has_said_that_it_leaves_are_found() {
    let now = Instant::now();
    let sent = vec![sealed(now), sealed(now + ms(1_900)), sealed(now + ms(2_100))];
    let runs = sent.iter().map(|s| run(&s.attempt, s.started, "studio")).collect();
    let mut history = History { sent, runs, ..History::default() };
    assert_eq!(words(&history), ["announced"]);
    history.disturbed = vec![NodeTime { node: 0, from: now, until: now + ms(100) }];
    assert!(words(&history).is_empty());
}

#[test]
fn requests_in_the_pause_of_an_endpoint_are_found() {
    let now = Instant::now();
    let times = [0, 100, 400, 700, 900, 1_100];
    let sent: Vec<Sent> = times.map(|at| sent(Kind::Read, now + ms(at), None)).to_vec();
    let deferred = |s: &Sent| {
        let (endpoint, attempt) = ("i-0-0".to_owned(), s.attempt.clone());
        Deferred { endpoint, attempt, at: s.started }
    };
    let mut history =
        History { deferred: sent.iter().map(deferred).collect(), sent, ..History::default() };
    assert_eq!(words(&history), ["deferred"]);
    history.deferred.remove(5);
    assert!(words(&history).is_empty());
}

#[test]
fn streams_joined_from_two_versions_are_found() {
    let resumed = |next: &str| Resumed {
        attempt: "a".to_owned(),
        seals: ["seal.i-2-0.a".to_owned(), next.to_owned()],
    };
    let other = || resumed("seal.i-3-0.ar");
    let mut history = History { resumed: vec![other(), other(), other()], ..History::default() };
    assert_eq!(words(&history), ["joined"]);
    history.resumed[0] = resumed("seal.i-3-1.ar");
    history.resumed.push(resumed(""));
    assert!(words(&history).is_empty());
}
