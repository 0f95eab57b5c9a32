//! Faults of the table service and the object store, withdrawn keys and concurrent operators.

mod deployment;

use std::time::Duration;

use deployment::{Deployment, KEYS, StreamEnd, adapter, document};
use futures_util::future::join_all;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

/// Whether an answer agrees with the number of times that its call ran.
fn is_consistent(code: u16, body: &Value, count: u64) -> bool {
    match body["error"]["ran"].as_str() {
        None => code == 200 && count == 1,
        Some("no") => count == 0,
        Some(_) => true,
    }
}

// Guards against inference requests that are refused while the table service is down,
// and against bookings that run without a claim or are wrongly reported as not run.
#[tokio::test(flavor = "multi_thread")]
async fn inference_continues_during_a_table_outage() {
    let d = Deployment::start(3, 3).await;
    let mut plan = d.plan_for_nodes(&[0, 1, 2], 20, 80.0, 41);
    plan.mix = [1, 1, 0];
    let load = tokio::spawn(standin::load::run_load(plan));
    sleep(Duration::from_secs(1)).await;
    d.inject_fault(d.platform, json!({"service": "table", "outage": true})).await;
    let early: Vec<String> = (0..3).map(|n| format!("early-{n}")).collect();
    let outage = async {
        sleep(Duration::from_secs(15)).await;
        d.inject_fault(d.platform, json!({"service": "table", "outage": false})).await;
    };
    let calls = join_all(early.iter().enumerate().map(|(n, b)| d.book(n, b)));
    let (answers, ()) = tokio::join!(calls, outage);
    for (booking, (code, body)) in early.iter().zip(&answers) {
        let count = d.booking_count(booking).await;
        println!("booking during the outage: {code} {}", body["error"]);
        assert!(is_consistent(*code, body, count), "{booking} ran {count} times: {code} {body}");
        assert!(body["error"]["ran"].as_str().is_none_or(|ran| ran == "no"), "{body}");
    }
    let report = load.await.unwrap();
    assert_eq!(report.total.right, report.total.sent, "{report:#?}");
    d.wait_ready().await;
    let report = standin::load::run_load(d.plan_for_nodes(&[0, 1, 2], 3, 80.0, 42)).await;
    assert_eq!(report.total.right, report.total.sent, "{report:#?}");
    d.check_records().await;
}

// Guards against a booking that runs twice or is wrongly reported as not run because the
// answer to the commit of its claim was lost.
#[tokio::test(flavor = "multi_thread")]
async fn lost_commit_answers_do_not_repeat_bookings() {
    let d = Deployment::start(2, 1).await;
    for round in 0..6 {
        d.inject_fault(d.platform, json!({"service": "table", "lose_answers": 5})).await;
        let names: Vec<String> = (0..10).map(|n| format!("lost-{round}-{n}")).collect();
        // Each key is sent to both nodes at once.
        let both = names.iter().map(|b| join_all([d.book(0, b), d.book(1, b)]));
        for (booking, answers) in names.iter().zip(join_all(both).await) {
            let count = d.booking_count(booking).await;
            assert!(count <= 1, "{booking} ran {count} times: {answers:?}");
            for (code, body) in &answers {
                assert!(is_consistent(*code, body, count), "{booking} ran {count}: {code} {body}");
            }
            assert!(answers.iter().any(|(code, _)| *code == 200), "{booking}: {answers:?}");
        }
    }
    d.inject_fault(d.platform, json!({"service": "table", "lose_answers": 0})).await;
    let report = standin::load::run_load(d.plan_for_nodes(&[0, 1], 2, 50.0, 43)).await;
    assert_eq!(report.total.right, report.total.sent, "{report:#?}");
}

// Guards against a node that treats a peer not yet found by its scan as gone, and so
// reports the outcome of the peer's running booking as unknown.
#[tokio::test(flavor = "multi_thread")]
async fn duplicate_call_waits_for_the_answer_of_an_unscanned_peer() {
    let d = Deployment::start(2, 1).await;
    for e in d.endpoints.iter().filter(|e| e.role == "service") {
        d.inject_fault(e.addr, json!({"slow": 100.0})).await;
    }
    let names: Vec<String> = (0..8).map(|n| format!("new-{n}")).collect();
    let both = names.iter().map(|b| join_all([d.book(0, b), d.book(1, b)]));
    for (booking, answers) in names.iter().zip(join_all(both).await) {
        assert!(answers.iter().all(|(code, _)| *code == 200), "{booking}: {answers:?}");
        assert_eq!(answers[0].1["attempt"], answers[1].1["attempt"]);
    }
    d.check_records().await;
}

// Guards against streams that continue after their key was withdrawn, and against
// effects on other teams.
#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_key_ends_its_streams_on_each_node() {
    let d = Deployment::start(2, 2).await;
    let mut streams = Vec::new();
    for node in 0..2 {
        let mut stream = d.open_stream(node, 0, &format!("long {node}"), 3000).await;
        stream.wait_first_token().await;
        streams.push(stream);
    }
    let mut other = d.open_stream(1, 1, "other team", 1000).await;
    other.wait_first_token().await;
    d.apply(&document(&[0]));
    let applied = Instant::now();
    for end in join_all(streams.iter_mut().map(|s| s.read_to_end())).await {
        assert_eq!(end, StreamEnd::Error("withdrawn_key".into()));
    }
    println!("streams of the withdrawn key ended {:?} after apply", applied.elapsed());
    for node in 0..2 {
        d.wait_for_status(node, "new serial", |s| s["serial"] == 2).await;
        let ask = json!({"model": adapter(0, 1), "prompt": "x"});
        let (code, body) = d.post_json(node, 0, "/v1/completions", &ask).await;
        assert_eq!((code, &body["error"]["code"]), (401, &json!("withdrawn_key")), "{body}");
        assert_eq!(body["error"]["ran"], "no");
        let ask = json!({"model": adapter(1, 1), "prompt": "x"});
        assert_eq!(d.post_json(node, 1, "/v1/completions", &ask).await.0, 200);
    }
    assert_eq!(other.read_to_end().await, StreamEnd::Done);
    assert!(other.is_complete());
}

// Guards against refusal records that are lost in an outage of the object store, and
// against operator commands that depend on it unnecessarily.
#[tokio::test(flavor = "multi_thread")]
async fn refusals_survive_an_object_store_outage() {
    let d = Deployment::start(2, 1).await;
    d.inject_fault(d.platform, json!({"service": "objects", "outage": true})).await;
    let mut ids = Vec::new();
    for n in 0..40 {
        let ask = json!({"model": adapter(1, 1), "prompt": n.to_string(), "max_tokens": 4});
        let (code, body) = d.post_json(n % 2, 0, "/v1/completions", &ask).await;
        assert_eq!((code, &body["error"]["code"]), (403, &json!("other_team")), "{body}");
        ids.push(body["error"]["refusal_id"].as_str().unwrap().to_owned());
        let ask = json!({"model": adapter(0, 1), "prompt": n.to_string(), "max_tokens": 4});
        assert_eq!(d.post_json(n % 2, 0, "/v1/completions", &ask).await.0, 200);
    }
    sleep(Duration::from_secs(8)).await;
    let admins: Vec<String> = d.nodes.iter().map(|n| n.admin.to_string()).collect();
    let burn = d.run_client(&["burn", "--admin", &admins[0], "--admin", &admins[1]]);
    assert!(burn.is_array() || burn.is_object(), "{burn}");
    let status = d.run_client(&["status", "--admin", &admins[0]]);
    assert_eq!(status["lost"], 0, "{status:#}");
    d.inject_fault(d.platform, json!({"service": "objects", "outage": false})).await;
    for node in 0..2 {
        d.wait_for_status(node, "refusals written", |s| s["records"] == 0).await;
    }
    let found = d.run_client(&["refusals", "--settings", d.settings_file(0)]).to_string();
    for id in &ids {
        assert_eq!(found.matches(&format!("\"{id}\"")).count(), 1, "{id}: {found}");
    }
    assert!(!found.contains(KEYS[0]), "the records contain a key");
}

// Guards against two documents accepted for one serial, a rejected `apply` that does not
// report the current head, a node that returns to a lower serial, and a node that is
// ready before it has confirmed the latest serial.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_applies_accept_one_document_per_serial() {
    let mut d = Deployment::start(3, 1).await;
    let base = document(&[]);
    let mut seen = [0_u64; 3];
    for serial in 1..6_u64 {
        let variant = |name: &str| {
            format!("{base}[[team]]\nname = \"{name}{serial}\"\nrate = 1_000\nburst = 10_000\n")
        };
        let racers = ["alice", "bruno"].map(|name| d.start_apply(name, &variant(name), serial));
        let outputs = racers.map(|child| child.wait_with_output().unwrap());
        let results: Vec<Value> =
            outputs.iter().map(|o| serde_json::from_slice(&o.stdout).unwrap()).collect();
        let won = results.iter().filter(|r| r["result"] == "accepted").count();
        assert_eq!(won, 1, "{results:#?}");
        let lost =
            results.iter().find(|r| r["result"] == "lost").expect("one `apply` was rejected");
        assert_eq!(lost["head"]["serial"], serial + 1, "{lost:#}");
        assert!(lost["changes"].as_array().is_some_and(|c| !c.is_empty()), "{lost:#}");
        for (node, last) in seen.iter_mut().enumerate() {
            d.wait_for_status(node, "new serial", |s| {
                let now = s["serial"].as_u64().unwrap();
                assert!(now >= *last, "node {node} went back to serial {now}");
                now > serial
            })
            .await;
            *last = serial + 1;
        }
    }
    d.inject_fault(d.platform, json!({"service": "table", "outage": true})).await;
    let mut old = d.nodes[2].process.take().unwrap();
    old.kill();
    d.spawn_node(2);
    d.wait_for_status(2, "admin listener", |_| true).await;
    for _ in 0..30 {
        let ready = d.send(2, http::Method::GET, "/readyz", &[], "").await;
        let status = d.status(2).await.unwrap();
        assert!(!ready.status.is_success() || status["serial"] == 6, "{status:#}");
        sleep(Duration::from_millis(100)).await;
    }
    d.inject_fault(d.platform, json!({"service": "table", "outage": false})).await;
    d.wait_ready().await;
    let status = d.status(2).await.unwrap();
    assert_eq!(status["serial"], 6, "{status:#}");
}
