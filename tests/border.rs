//! Endpoint clients against the sample endpoints, in one process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use http::{HeaderMap, HeaderValue, Method};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use standin::load::{Caller, LoadPlan, run_load};
use sycamorefork::engine_client::{
    Broken, Call, Engine, EngineSettings, HttpEngine, OrderError, StartError,
};
use sycamorefork::faulty_listener::RunningServer;
use sycamorefork::http_client::{HttpClient, HttpSettings};
use sycamorefork::ids::{AdapterRef, AttemptId};
use sycamorefork::sample_engine::{EngineSpec, Fault, SampleEngine, expected_text};
use sycamorefork::sample_service::{SampleService, ServiceSpec};
use sycamorefork::service_client::{HttpService, Service, ServiceCall, forwarded};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::Instant;

const SEED: u64 = 0x5eed_0001;

fn any() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

fn http() -> HttpClient {
    HttpClient::new(HttpSettings::default())
}

fn soon() -> Instant {
    Instant::now() + Duration::from_secs(20)
}

/// Waits for a condition that must hold at some time.
async fn eventually(mut holds: impl FnMut() -> bool) {
    while !holds() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

struct Bench {
    sample: SampleEngine,
    _running: RunningServer,
    engine: HttpEngine,
}

async fn bench(spec: EngineSpec) -> Bench {
    let sample = SampleEngine::new(spec);
    let running = sample.serve(any()).await.unwrap();
    let settings =
        EngineSettings { progress_timeout: Duration::from_secs(1), ..Default::default() };
    let engine = HttpEngine::new(http(), running.addr, settings);
    Bench { sample, _running: running, engine }
}

fn body(model: &str, stream: bool, tokens: u64) -> Value {
    json!({
        "model": model,
        "messages": [{ "role": "user", "content": "two words" }],
        "max_tokens": tokens,
        "stream": stream,
        "stream_options": { "include_usage": true },
    })
}

fn call(attempt: u128, body: &Value) -> Call {
    Call {
        attempt: AttemptId(attempt),
        fence: 7,
        path: "/v1/chat/completions".to_owned(),
        body: Bytes::from(body.to_string()),
        stream: body["stream"] == true,
        deadline: soon(),
        resume: None,
    }
}

/// Text, tokens and early end of an answer.
async fn read(engine: &HttpEngine, call: &Call) -> (String, u64, Option<Broken>) {
    let mut reply = engine.start(call).await.unwrap();
    let (mut text, mut tokens) = (String::new(), 0);
    while let Some(item) = reply.frames.next().await {
        match item {
            Ok(frame) => {
                let json: Value = serde_json::from_slice(&frame.raw).unwrap();
                let choice = &json["choices"][0];
                let part = choice["delta"]["content"].as_str();
                text.push_str(part.or(choice["message"]["content"].as_str()).unwrap_or_default());
                tokens += frame.tokens;
            }
            Err(broken) => return (text, tokens, Some(broken)),
        }
    }
    (text, tokens, None)
}

/// Guards against lost or repeated tokens, also over a break with resumption, and
/// against orders and states that the adapter reports wrongly.
#[tokio::test]
async fn engine_answers_are_complete() {
    let b = bench(EngineSpec { slots: 1, ..EngineSpec::default() }).await;
    let adapter = AdapterRef::new("demo", "3");
    let (whole, stream) = (body("demo@3", false, 9), body("demo@3", true, 9));
    let early = b.engine.start(&call(1, &whole)).await.map(|_| ());
    assert!(matches!(early, Err(StartError::Refused { status: 404, .. })), "{early:?}");
    assert_eq!(b.sample.record().executions, 0, "a refused request does not run");

    b.engine.load(7, &adapter).await.unwrap();
    let full = b.engine.load(7, &AdapterRef::new("more", "1")).await;
    assert!(matches!(full, Err(OrderError::Refused { status: 400, .. })));
    assert_eq!(b.engine.unload(6, &adapter).await, Err(OrderError::Fenced));
    let state = b.engine.state().await.unwrap();
    assert_eq!((state.loaded, state.fence, state.adapter_slots), (vec![adapter.clone()], 7, 1));

    assert_eq!(read(&b.engine, &call(2, &whole)).await, (expected_text(&whole), 9, None));
    assert_eq!(read(&b.engine, &call(3, &stream)).await, (expected_text(&stream), 9, None));
    let reply = b.engine.start(&call(4, &stream)).await.unwrap();
    let frames: Vec<_> = reply.frames.map(Result::unwrap).collect().await;
    let usage = frames.last().unwrap().usage.unwrap();
    assert_eq!((usage.prompt, usage.completion), (2, 9));
    assert!(frames.iter().all(|f| f.model == "demo@3"));

    b.sample.apply_fault(&Fault { break_after: Some(4), break_count: Some(1), ..Fault::default() });
    let mut resumed = call(5, &stream);
    let (mut text, tokens, broken) = read(&b.engine, &resumed).await;
    assert!(matches!(broken, Some(Broken::Closed(_))) && tokens <= 4, "{broken:?} {tokens}");
    resumed.resume = Some(tokens);
    let (rest, more, end) = read(&b.engine, &resumed).await;
    text.push_str(&rest);
    assert_eq!((text, tokens + more, end), (expected_text(&stream), 9, None));

    b.sample.apply_fault(&Fault { fail_loads: Some(1), ..Fault::default() });
    b.engine.unload(8, &adapter).await.unwrap();
    let failed = b.engine.load(8, &adapter).await;
    assert!(matches!(failed, Err(OrderError::Refused { status: 500, .. })), "{failed:?}");
}

/// Guards against a caller that gets the answer to another attempt.
#[tokio::test]
async fn answers_of_other_attempts_are_dropped() {
    let b = bench(EngineSpec::default()).await;
    b.sample.apply_fault(&Fault { foreign_ids: Some(2), ..Fault::default() });
    let mut reply = b.engine.start(&call(1, &body("base", true, 5))).await.unwrap();
    assert_eq!(reply.frames.next().await, None);
    assert!(reply.dropped.count() >= 5);
    let mut reply = b.engine.start(&call(2, &body("base", false, 5))).await.unwrap();
    assert_eq!(reply.frames.next().await, Some(Err(Broken::Mismatch)));
    assert_eq!(reply.dropped.count(), 1);
}

/// Guards against a stream, or a pooled connection, that stays silent for good and
/// is waited for or used again, and against engines that go on for a caller who left.
#[tokio::test]
async fn silent_connections_and_cancellation() {
    let b = bench(EngineSpec::default()).await;
    let long = body("base", true, 100_000);
    let mut reply = b.engine.start(&call(1, &long)).await.unwrap();
    assert!(reply.frames.next().await.unwrap().is_ok());
    b.sample.apply_fault(&Fault { silence: Some(true), ..Fault::default() });
    let mut last = None;
    while let Some(item) = reply.frames.next().await {
        last = Some(item);
    }
    assert_eq!(last, Some(Err(Broken::Silent)));

    assert!(read(&b.engine, &call(2, &body("base", false, 2))).await.2.is_none());
    b.sample.apply_fault(&Fault { silence: Some(true), ..Fault::default() });
    b.engine.probe().await.unwrap();
    let mut unheard = call(3, &body("base", false, 2));
    unheard.deadline = Instant::now() + Duration::from_millis(200);
    let outcome = b.engine.start(&unheard).await.map(|_| ());
    assert!(matches!(outcome, Err(StartError::Unknown(_))), "{outcome:?}");
    assert!(read(&b.engine, &call(4, &body("base", false, 2))).await.2.is_none());

    let mut reply = b.engine.start(&call(5, &long)).await.unwrap();
    assert!(reply.frames.next().await.unwrap().is_ok());
    assert!(b.engine.state().await.unwrap().running.contains(&AttemptId(5)));
    let cancelled = b.sample.record().cancelled;
    drop(reply);
    eventually(|| b.sample.record().cancelled > cancelled).await;
    let mut reply = b.engine.start(&call(6, &long)).await.unwrap();
    b.engine.cancel(AttemptId(6)).await.unwrap();
    while let Some(Ok(_)) = reply.frames.next().await {}
    eventually(|| b.sample.record().cancelled > cancelled + 1).await;
    assert!(!b.engine.state().await.unwrap().running.contains(&AttemptId(6)));
}

/// Guards against a sample engine that exceeds its batch, ignores priorities, or
/// loses a place in the batch when a waiting caller goes away.
#[tokio::test]
async fn batch_is_bounded_and_ordered() {
    let b = bench(EngineSpec { batch: 1, ..EngineSpec::default() }).await;
    let mut first = b.engine.start(&call(1, &body("base", true, 100_000))).await.unwrap();
    assert!(first.frames.next().await.unwrap().is_ok());
    let mut waiting = Vec::new();
    for (attempt, priority) in [(2, 9), (3, 0), (4, 5)] {
        let mut body = body("base", false, 1);
        body["priority"] = priority.into();
        let (engine, call) = (b.engine.clone(), call(attempt, &body));
        waiting.push(tokio::spawn(async move { read(&engine, &call).await }));
        while b.engine.state().await.unwrap().queued < waiting.len() as u64 {}
    }
    waiting.remove(1).abort();
    while b.engine.state().await.unwrap().running.len() > 3 {}
    drop(first);
    for task in waiting {
        assert!(task.await.unwrap().2.is_none());
    }
    let order: Vec<String> = b.sample.record().executed.into_iter().map(|e| e.attempt).collect();
    assert_eq!(order, [1, 4, 2].map(|n| AttemptId(n).to_string()));
}

/// Ids of the attempts whose request reached a server, with how often.
type Seen = Arc<Mutex<BTreeMap<String, u32>>>;

fn note(seen: &Seen, received: &[u8]) {
    let text = String::from_utf8_lossy(received).to_ascii_lowercase();
    for part in text.split("x-request-id: ").skip(1) {
        let id = part.get(..32).unwrap_or(part).to_owned();
        *seen.lock().unwrap().entry(id).or_default() += 1;
    }
}

/// Guards against "not run" for a request that may have been received, and against
/// moving such a request to another connection: whatever the server does with its
/// connections, it sees no attempt twice, and none that is reported as unsent. Only
/// with several threads do closes fall between the choice of a connection and its use.
#[tokio::test(flavor = "multi_thread")]
async fn unsent_means_that_nothing_was_written() {
    let seen = Seen::default();
    let listener = TcpListener::bind(any()).await.unwrap();
    let addr = listener.local_addr().unwrap();
    let received = seen.clone();
    tokio::spawn(async move {
        let mut rng = StdRng::seed_from_u64(SEED);
        while let Ok((mut stream, _)) = listener.accept().await {
            let (answers, reads) = (rng.random_range(0..4), rng.random_range(0..3) > 0);
            let pause = Duration::from_micros(rng.random_range(0..3000));
            let seen = received.clone();
            tokio::spawn(async move {
                let mut buf = [0; 4096];
                for _ in 0..answers {
                    let n = stream.read(&mut buf).await.unwrap_or(0);
                    note(&seen, &buf[..n]);
                    let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
                    drop(stream.write_all(answer).await);
                }
                // Closes after the next request, or at a time that may hit one.
                let n = match reads {
                    true => stream.read(&mut buf).await,
                    false => {
                        tokio::time::sleep(pause).await;
                        stream.try_read(&mut buf)
                    }
                };
                note(&seen, &buf[..n.unwrap_or(0)]);
            });
        }
    });
    let engine = HttpEngine::new(http(), addr, EngineSettings::default());
    let mut rng = StdRng::seed_from_u64(SEED + 1);
    let (mut unsent, mut outcomes) = (Vec::new(), [0; 3]);
    for n in 0..1000 {
        let result = engine.start(&call(n, &body("base", false, 1))).await;
        match result {
            Ok(mut reply) => {
                while reply.frames.next().await.is_some() {}
                outcomes[0] += 1;
            }
            Err(StartError::Unsent(reason)) => {
                unsent.push((AttemptId(n).to_string(), reason));
                outcomes[1] += 1;
            }
            Err(StartError::Unknown(_)) => outcomes[2] += 1,
            Err(refused) => panic!("{refused:?}"),
        }
        tokio::time::sleep(Duration::from_micros(rng.random_range(0..2000))).await;
    }
    let seen = seen.lock().unwrap();
    let twice: Vec<_> = seen.iter().filter(|(_, count)| **count > 1).collect();
    assert!(twice.is_empty(), "seed {SEED:#x}: {twice:?}");
    let wrong: Vec<_> = unsent.iter().filter(|(id, _)| seen.contains_key(id)).collect();
    assert!(wrong.is_empty(), "seed {SEED:#x}: {wrong:?}");
    assert!(outcomes[0] > 0 && outcomes[2] > 0, "answered, unsent, unknown: {outcomes:?}");
}

/// Guards against a refused connection that is reported as unknown, a crash that is
/// reported as "not run", and a stale connection that makes a request run twice.
#[tokio::test]
async fn crashes_are_unknown_and_refused_connections_unsent() {
    let b = bench(EngineSpec::default()).await;
    let short = body("base", false, 2);
    assert!(read(&b.engine, &call(1, &short)).await.2.is_none());
    let before = b.engine.state().await.unwrap().incarnation;
    b.engine.load(1, &AdapterRef::new("demo", "1")).await.unwrap_err();
    b.engine.load(8, &AdapterRef::new("demo", "1")).await.unwrap();
    let crash_marker = Some("POISON".to_owned());
    b.sample.apply_fault(&Fault { crash_marker, crash_ms: Some(300), ..Fault::default() });
    let mut poison = body("base", false, 2);
    poison["user"] = "POISON".into();
    let mut poison = call(2, &poison);
    poison.fence = 8;
    let crashed = b.engine.start(&poison).await.map(|_| ());
    assert!(matches!(crashed, Err(StartError::Unknown(_))), "{crashed:?}");
    let down = b.engine.start(&call(3, &short)).await.map(|_| ());
    assert!(matches!(down, Err(StartError::Unsent(_))), "{down:?}");
    while b.engine.probe().await.is_err() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let state = b.engine.state().await.unwrap();
    assert!(state.incarnation != before && state.loaded.is_empty());
    // The client notices a close only after the server made it.
    b.sample.connections().cut_all();
    eventually(|| b.sample.connections().open_count() == 0).await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(read(&b.engine, &call(4, &short)).await.2.is_none());
    let record = b.sample.record();
    let counts = [1, 2, 3, 4].map(|n| record.executions_of(&AttemptId(n).to_string()));
    assert_eq!(counts, [1, 1, 0, 1]);
}

/// Guards against a caller's key or cookie that reaches an endpoint, and against a
/// call that is run again, or called "not run", because its answer was lost.
#[tokio::test]
async fn service_calls_run_once_without_the_key() {
    let sample = SampleService::new(ServiceSpec::default());
    let running = sample.serve(any()).await.unwrap();
    let service = HttpService::new(http(), running.addr, Duration::from_secs(5));
    let mut headers = HeaderMap::new();
    for (name, value) in [
        ("authorization", "Bearer sk-secret"),
        ("cookie", "session=sk-secret"),
        ("x-api-key", "sk-secret"),
        ("proxy-authorization", "Basic sk-secret"),
        ("idempotency-key", "caller-1"),
        ("connection", "x-hop"),
        ("x-hop", "1"),
        ("accept-language", "en;q=0.5, sk-secret"),
        ("content-type", "application/json"),
        ("traceparent", "00-1-2-00"),
    ] {
        headers.append(name, HeaderValue::from_static(value));
    }
    let call = |n| ServiceCall {
        attempt: AttemptId(n),
        fence: 1,
        method: Method::POST,
        path: "/book?day=1".to_owned(),
        headers: forwarded(&headers, Some("sk-secret")),
        body: Bytes::from(format!("{{\"booking\":\"b{n}\"}}")),
        deadline: soon(),
    };
    let reply = service.call(&call(1)).await.unwrap();
    let answer: Value = serde_json::from_slice(&reply.body).unwrap();
    assert_eq!((reply.status, &answer["path"]), (200, &json!("/book?day=1")));
    let mut raw = call(2);
    raw.headers = headers.clone();
    raw.headers.remove("accept-language");
    service.call(&raw).await.unwrap();

    sample.apply_fault(&Fault { lose_answers: Some(1), ..Fault::default() });
    let lost = service.call(&call(3)).await;
    assert!(matches!(lost, Err(StartError::Unknown(_))), "{lost:?}");
    let stored = service.status("/attempts", AttemptId(3)).await.unwrap().unwrap();
    let answer: Value = serde_json::from_slice(&stored.body).unwrap();
    assert_eq!((stored.status, &answer["attempt"]), (200, &json!(AttemptId(3).to_string())));
    assert_eq!(service.status("/attempts", AttemptId(4)).await.unwrap(), None);

    let record = sample.record();
    let names: Vec<&str> = record.headers.keys().map(String::as_str).collect();
    let known = ["content-length", "content-type", "host", "traceparent", "x-fence"];
    assert_eq!(names, [&known[..], &["x-request-id"]].concat());
    assert!(!record.header_contains("sk-secret"));
    for n in 1..=3 {
        assert_eq!(record.fields[&format!("booking=b{n}")], 1);
    }
}

/// Guards against a load tool that miscounts, or accepts the answer to another request.
#[tokio::test]
async fn load_tool_checks_answers() {
    let plan = |addr, mix| LoadPlan {
        targets: vec![addr],
        rate: 200.0,
        duration: Duration::from_millis(500),
        callers: vec![Caller { key: "k".to_owned(), models: vec!["base".to_owned()] }],
        mix,
        service: "/book".to_owned(),
        repeat_percent: 0,
        max_tokens: 8,
        timeout: Duration::from_secs(20),
        seed: SEED,
    };
    let b = bench(EngineSpec::default()).await;
    let report = run_load(plan(b.engine.addr(), [1, 1, 0])).await;
    assert_eq!((report.total.sent, report.total.right), (100, 100), "{report:?}");
    let sample = SampleService::new(ServiceSpec::default());
    let running = sample.serve(any()).await.unwrap();
    let report = run_load(plan(running.addr, [0, 0, 1])).await;
    assert_eq!((report.total.right, sample.record().executions), (100, 100), "{report:?}");

    let wrong = poem::endpoint::make(async |_| {
        let mut other = body("base", false, 4);
        other["messages"] = json!("another request");
        let choice = json!({ "message": { "content": expected_text(&other) } });
        let answer = json!({ "model": "base", "choices": [choice] });
        Ok::<_, poem::Error>(answer.to_string())
    });
    let wire = sycamorefork::faulty_listener::ConnectionControl::default();
    let listener = sycamorefork::faulty_listener::FaultyListener::bind(any(), wire).await.unwrap();
    let running = sycamorefork::faulty_listener::spawn_server(listener, wrong);
    let report = run_load(plan(running.addr, [0, 1, 0])).await;
    assert_eq!(report.total.wrong, 100, "{report:?}");
}
