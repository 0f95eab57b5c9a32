//! The whole path over separate processes.

mod deployment;

use deployment::{Deployment, KEYS, adapter};
use http::Method;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

fn bearer(key: &str) -> String {
    format!("Bearer {key}")
}

// Guards against answers of the wrong adapter, version, team or request, against
// calls that run twice, and against keys that reach an endpoint.
#[tokio::test(flavor = "multi_thread")]
async fn thousand_mixed_requests_over_two_nodes() {
    let d = Deployment::start(2, 3).await;
    let report = standin::load::run_load(d.plan(1000, 200.0, 7)).await;
    let total = &report.total;
    assert_eq!((total.wrong, total.broken), (0, 0), "{report:#?}");
    let refusals = d.run_client(&["refusals", "--settings", d.settings_file(0)]);
    assert_eq!(total.right, total.sent, "{report:#?} {refusals:#}");
    assert!(report.kinds["stream"].sent > 300 && report.kinds["repeat"].sent > 20, "{report:#?}");
    for endpoint in &d.endpoints {
        let record = d.record(endpoint.addr).await;
        let text = record.to_string();
        for key in KEYS {
            assert!(!text.contains(key), "{} saw a caller's key", endpoint.name);
        }
        let attempts = record["executed"].as_array().expect("executions");
        let mut ids: Vec<&str> = attempts.iter().filter_map(|a| a["attempt"].as_str()).collect();
        let executed = ids.len();
        ids.sort_unstable();
        ids.dedup();
        assert_eq!(ids.len(), executed, "{} executed an attempt twice", endpoint.name);
    }
}

/// Longer than the default limit of 16 KiB for all headers.
const LONG: &str = match str::from_utf8(&[b'x'; 20_000]) {
    Ok(text) => text,
    Err(_) => "",
};

struct Case {
    name: &'static str,
    path: &'static str,
    key: Option<&'static str>,
    headers: &'static [(&'static str, &'static str)],
    body: String,
    status: u16,
    code: &'static str,
}

fn cases() -> Vec<Case> {
    let chat = "/v1/chat/completions";
    let case = |name, path, key, body: Value, status, code| Case {
        name,
        path,
        key,
        headers: &[],
        body: body.to_string(),
        status,
        code,
    };
    let ask = |model: &str| json!({"model": model, "messages": [{"role": "user", "content": "x"}]});
    let key = Some(KEYS[0]);
    let own = adapter(0, 1);
    vec![
        Case { body: "{".into(), ..case("broken JSON", chat, key, json!({}), 400, "bad_body") },
        case("no model", chat, key, json!({"messages": []}), 400, "bad_body"),
        case("missing key", chat, None, ask(&own), 401, "missing_key"),
        case("unknown key", chat, Some("sf_nobody"), ask(&own), 401, "unknown_key"),
        case("unknown adapter", chat, key, ask("nothing"), 404, "unknown_model"),
        case("unknown version", chat, key, ask(&format!("{own}@9")), 404, "unknown_version"),
        case("other team", chat, key, ask(&adapter(1, 1)), 403, "other_team"),
        case("unknown route", "/services/nowhere/x", key, json!({}), 404, "unknown_route"),
        case("unknown path", "/v2/nothing", key, json!({}), 404, "not_found"),
        case(
            "too many tokens",
            chat,
            key,
            json!({"model": own, "max_tokens": 2_000_000,
            "messages": [{"role": "user", "content": "x"}]}),
            400,
            "over_burst",
        ),
        Case {
            body: "x".repeat(70_000),
            ..case("oversized body", chat, key, json!({}), 413, "body_too_large")
        },
        Case {
            headers: &[("authorization", "Basic abc")],
            ..case("bad header", chat, None, ask(&own), 400, "bad_header")
        },
        case(
            "key in the body",
            chat,
            key,
            json!({"model": own,
            "messages": [{"role": "user", "content": KEYS[0]}]}),
            400,
            "key_in_request",
        ),
        case(
            "key in the path",
            "/services/bookings/sf_first-team-key",
            key,
            json!({}),
            400,
            "key_in_request",
        ),
        Case {
            headers: &[("x-long", LONG)],
            ..case("long headers", chat, key, ask(&own), 431, "headers_too_large")
        },
        Case {
            headers: &[("idempotency-key", "")],
            ..case(
                "empty idempotency key",
                "/services/bookings/book",
                key,
                json!({}),
                400,
                "bad_header",
            )
        },
    ]
}

// Guards against bad input that is answered without its own status, code, refusal
// identifier and a true statement on whether it ran.
#[tokio::test(flavor = "multi_thread")]
async fn each_bad_input_has_its_own_error() {
    let d = Deployment::start(1, 1).await;
    for case in cases() {
        let auth = case.key.map(bearer);
        let mut headers: Vec<(&str, &str)> = case.headers.to_vec();
        headers.extend(auth.as_deref().map(|a| ("authorization", a)));
        let whole = d.send(0, Method::POST, case.path, &headers, &case.body).await;
        let body: Value = serde_json::from_slice(&whole.body).expect(case.name);
        let error = &body["error"];
        assert_eq!(whole.status.as_u16(), case.status, "{}: {body}", case.name);
        assert_eq!(error["code"], case.code, "{}: {body}", case.name);
        assert_eq!(error["ran"], "no", "{}: {body}", case.name);
        assert!(error["refusal_id"].as_str().is_some_and(|id| !id.is_empty()), "{body}");
    }
    let key = bearer(KEYS[0]);
    let whole = d.send(0, Method::GET, "/v1/models", &[("authorization", &key)], "").await;
    let models: Value = serde_json::from_slice(&whole.body).unwrap();
    let names: Vec<&str> =
        models["data"].as_array().unwrap().iter().filter_map(|m| m["id"].as_str()).collect();
    assert!(names.contains(&adapter(0, 0).as_str()) && !names.contains(&adapter(1, 0).as_str()));
}

// Guards against a body that never ends and occupies a connection and a task.
#[tokio::test(flavor = "multi_thread")]
async fn slow_body_is_refused() {
    let d = Deployment::start(1, 1).await;
    let mut stream = TcpStream::connect(d.nodes[0].callers).await.unwrap();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\n\
         content-length: 100\r\n\r\n{{\"model\"",
        KEYS[0]
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut answer = vec![0; 4096];
    let n = stream.read(&mut answer).await.unwrap();
    let text = String::from_utf8_lossy(&answer[..n]);
    assert!(text.starts_with("HTTP/1.1 408") && text.contains("slow_body"), "{text}");
}

// Guards against "not run" for a request whose first attempt was sent and lost, when no
// endpoint is left for a second attempt.
#[tokio::test(flavor = "multi_thread")]
async fn lost_first_attempt_is_not_reported_as_not_run() {
    let d = Deployment::start(1, 1).await;
    let fault = json!({"crash_marker": "crash-me", "crash_ms": 600_000});
    d.inject_fault(d.endpoints[0].addr, fault).await;
    let body = json!({"model": adapter(0, 1), "max_tokens": 4,
        "messages": [{"role": "user", "content": "crash-me"}]});
    let key = bearer(KEYS[0]);
    let headers = [("authorization", key.as_str())];
    let whole = d.send(0, Method::POST, "/v1/chat/completions", &headers, &body.to_string()).await;
    let answer: Value = serde_json::from_slice(&whole.body).unwrap();
    assert_eq!(answer["error"]["ran"], "unknown", "{answer}");
}
