//! Tests the engine and service clients against sample endpoints in the same process.

mod border_calls;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use border_calls::{NEVER, body, call, http_client, test_deadline};
use bytes::Bytes;
use futures_util::StreamExt;
use http::{HeaderMap, HeaderValue, Method};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use standin::load::{Caller, LoadPlan, run_load};
use sycamorefork::engine_client::{
    AnswerFrames, Engine, EngineCall, EngineSettings, FrameError, HttpEngine, OrderError,
    StartError,
};
use sycamorefork::faulty_listener::RunningServer;
use sycamorefork::ids::{AdapterRef, AttemptId};
use sycamorefork::sample_engine::{EngineSpec, Fault, SampleEngine, expected_text};
use sycamorefork::sample_service::{SampleService, ServiceSpec};
use sycamorefork::service_client::{HttpService, Service, ServiceCall, forwardable_headers};
use sycamorefork::time::Ms;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::Instant;

const SEED: u64 = 0x5eed_0001;
fn any_port() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

/// Waits until a condition holds.
async fn wait_until(mut holds: impl FnMut() -> bool) {
    while !holds() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

struct EngineFixture {
    sample: SampleEngine,
    _running: RunningServer,
    engine: HttpEngine,
}

async fn start_engine(spec: EngineSpec) -> EngineFixture {
    let sample = SampleEngine::new(spec);
    let running = sample.serve(any_port()).await.unwrap();
    let settings =
        EngineSettings { progress_timeout: Duration::from_secs(1), ..Default::default() };
    let engine = HttpEngine::new(http_client(), running.addr, settings);
    EngineFixture { sample, _running: running, engine }
}

/// Returns the text and the number of tokens of an answer, and the error that ended it.
async fn read_answer(engine: &HttpEngine, call: &EngineCall) -> (String, u64, Option<FrameError>) {
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

/// Guards against lost or repeated tokens, also in a resumed stream, and against wrong
/// results of orders and state queries.
#[tokio::test]
async fn engine_answers_are_complete() {
    let fixture = start_engine(EngineSpec { slots: 1, ..EngineSpec::default() }).await;
    let adapter = AdapterRef::new("demo", "3");
    let (whole, stream) = (body("demo@3", false, 9), body("demo@3", true, 9));
    let early = fixture.engine.start(&call(1, &whole)).await.map(|_| ());
    assert!(matches!(early, Err(StartError::Refused { status: 404, .. })), "{early:?}");
    assert_eq!(fixture.sample.record().executions, 0, "a refused request does not run");

    fixture.engine.load(7, &adapter, || true).await.unwrap();
    let full = fixture.engine.load(7, &AdapterRef::new("more", "1"), || true).await;
    assert!(matches!(full, Err(OrderError::Refused { status: 400, .. })));
    assert_eq!(fixture.engine.unload(6, &adapter, || true).await, Err(OrderError::Fenced));
    let state = fixture.engine.state().await.unwrap();
    assert_eq!((state.loaded, state.fence, state.adapter_slots), (vec![adapter.clone()], 7, 1));

    assert_eq!(
        read_answer(&fixture.engine, &call(2, &whole)).await,
        (expected_text(&whole), 9, None)
    );
    assert_eq!(
        read_answer(&fixture.engine, &call(3, &stream)).await,
        (expected_text(&stream), 9, None)
    );
    let reply = fixture.engine.start(&call(4, &stream)).await.unwrap();
    let frames: Vec<_> = reply.frames.map(Result::unwrap).collect().await;
    let usage = frames.last().unwrap().usage.unwrap();
    assert_eq!((usage.prompt, usage.completion), (2, 9));
    assert!(frames.iter().all(|f| f.model == "demo@3"));

    fixture.sample.apply_fault(&Fault {
        break_after: Some(4),
        break_count: Some(1),
        ..Fault::default()
    });
    let mut resumed = call(5, &stream);
    let (mut text, tokens, broken) = read_answer(&fixture.engine, &resumed).await;
    assert!(matches!(broken, Some(FrameError::Closed(_))) && tokens <= 4, "{broken:?} {tokens}");
    resumed.resume_offset = Some(tokens);
    let (rest, more, end) = read_answer(&fixture.engine, &resumed).await;
    text.push_str(&rest);
    assert_eq!((text, tokens + more, end), (expected_text(&stream), 9, None));

    fixture.sample.apply_fault(&Fault { fail_loads: Some(1), ..Fault::default() });
    fixture.engine.unload(8, &adapter, || true).await.unwrap();
    let failed = fixture.engine.load(8, &adapter, || true).await;
    assert!(matches!(failed, Err(OrderError::Refused { status: 500, .. })), "{failed:?}");
}

/// Guards against returning the answer to another attempt.
#[tokio::test]
async fn answers_of_other_attempts_are_dropped() {
    let fixture = start_engine(EngineSpec::default()).await;
    fixture.sample.apply_fault(&Fault { foreign_ids: Some(2), ..Fault::default() });
    let mut reply = fixture.engine.start(&call(1, &body("base", true, 5))).await.unwrap();
    assert_eq!(reply.frames.next().await, None);
    assert!(reply.dropped.count() >= 5);
    let mut reply = fixture.engine.start(&call(2, &body("base", false, 5))).await.unwrap();
    assert_eq!(reply.frames.next().await, Some(Err(FrameError::Mismatch)));
    assert_eq!(reply.dropped.count(), 1);
}

/// Guards against waiting for a stream that has become silent, against reusing a silent
/// pooled connection, and against engines that keep running a cancelled request.
#[tokio::test]
async fn silent_connections_time_out_and_cancelled_attempts_stop() {
    let fixture = start_engine(EngineSpec::default()).await;
    let long = body("base", true, 100_000);
    let mut reply = fixture.engine.start(&call(1, &long)).await.unwrap();
    assert!(reply.frames.next().await.unwrap().is_ok());
    fixture.sample.apply_fault(&Fault { silence: Some(true), ..Fault::default() });
    let mut last = None;
    while let Some(item) = reply.frames.next().await {
        last = Some(item);
    }
    assert_eq!(last, Some(Err(FrameError::Silent)));

    assert!(read_answer(&fixture.engine, &call(2, &body("base", false, 2))).await.2.is_none());
    fixture.sample.apply_fault(&Fault { silence: Some(true), ..Fault::default() });
    fixture.engine.probe().await.unwrap();
    let mut unheard = call(3, &body("base", false, 2));
    unheard.deadline = Instant::now() + Duration::from_millis(200);
    let outcome = fixture.engine.start(&unheard).await.map(|_| ());
    assert!(matches!(outcome, Err(StartError::Unknown(_))), "{outcome:?}");
    assert!(read_answer(&fixture.engine, &call(4, &body("base", false, 2))).await.2.is_none());

    let mut reply = fixture.engine.start(&call(5, &long)).await.unwrap();
    assert!(reply.frames.next().await.unwrap().is_ok());
    assert!(fixture.engine.state().await.unwrap().running.contains(&AttemptId(5)));
    let cancelled = fixture.sample.record().cancelled;
    drop(reply);
    wait_until(|| fixture.sample.record().cancelled > cancelled).await;
    let mut reply = fixture.engine.start(&call(6, &long)).await.unwrap();
    fixture.engine.cancel(AttemptId(6)).await.unwrap();
    while let Some(Ok(_)) = reply.frames.next().await {}
    wait_until(|| fixture.sample.record().cancelled > cancelled + 1).await;
    assert!(!fixture.engine.state().await.unwrap().running.contains(&AttemptId(6)));
}

/// Guards against a sample engine that exceeds its batch limit, ignores priorities, or
/// loses a place in the batch when a waiting caller disconnects.
#[tokio::test]
async fn sample_engine_limits_its_batch_and_orders_by_priority() {
    let fixture = start_engine(EngineSpec { batch: 1, ..EngineSpec::default() }).await;
    let mut first = fixture.engine.start(&call(1, &body("base", true, 100_000))).await.unwrap();
    assert!(first.frames.next().await.unwrap().is_ok());
    let mut waiting = Vec::new();
    for (attempt, priority) in [(2, 9), (3, 0), (4, 5)] {
        let mut body = body("base", false, 1);
        body["priority"] = priority.into();
        let (engine, call) = (fixture.engine.clone(), call(attempt, &body));
        waiting.push(tokio::spawn(async move { read_answer(&engine, &call).await }));
        while fixture.engine.state().await.unwrap().queued < waiting.len() as u64 {}
    }
    waiting.remove(1).abort();
    while fixture.engine.state().await.unwrap().running.len() > 3 {}
    drop(first);
    for task in waiting {
        assert!(task.await.unwrap().2.is_none());
    }
    let order: Vec<String> =
        fixture.sample.record().executed.into_iter().map(|e| e.attempt).collect();
    assert_eq!(order, [1, 4, 2].map(|n| AttemptId(n).to_string()));
}

/// Number of requests that reached a server, by attempt id.
type AttemptCounts = Arc<Mutex<BTreeMap<String, u32>>>;

fn count_attempts(seen: &AttemptCounts, received: &[u8]) {
    let text = String::from_utf8_lossy(received).to_ascii_lowercase();
    for part in text.split("x-request-id: ").skip(1) {
        let id = part.get(..32).unwrap_or(part).to_owned();
        *seen.lock().unwrap().entry(id).or_default() += 1;
    }
}

/// Guards against reporting a request as unsent, or sending it on another connection,
/// after it may have been received. The server closes connections at random times; it
/// must see no attempt twice and none that is reported as unsent. Several threads are
/// needed for a close to fall between the choice of a connection and its use.
#[tokio::test(flavor = "multi_thread")]
async fn unsent_requests_never_reach_the_server() {
    let seen = AttemptCounts::default();
    let listener = TcpListener::bind(any_port()).await.unwrap();
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
                    count_attempts(&seen, &buf[..n]);
                    let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
                    drop(stream.write_all(answer).await);
                }
                // Closes after the next request, or at a time that may coincide with one.
                let n = match reads {
                    true => stream.read(&mut buf).await,
                    false => {
                        tokio::time::sleep(pause).await;
                        stream.try_read(&mut buf)
                    }
                };
                count_attempts(&seen, &buf[..n.unwrap_or(0)]);
            });
        }
    });
    let engine = HttpEngine::new(http_client(), addr, EngineSettings::default());
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

/// Guards against reporting a refused connection as unknown or a crash as "not run",
/// and against a stale connection that makes a request run twice.
#[tokio::test]
async fn crashes_are_unknown_and_refused_connections_unsent() {
    let fixture = start_engine(EngineSpec::default()).await;
    let short = body("base", false, 2);
    assert!(read_answer(&fixture.engine, &call(1, &short)).await.2.is_none());
    let before = fixture.engine.state().await.unwrap().incarnation;
    fixture.engine.load(1, &AdapterRef::new("demo", "1"), || true).await.unwrap_err();
    fixture.engine.load(8, &AdapterRef::new("demo", "1"), || true).await.unwrap();
    let crash_marker = Some("POISON".to_owned());
    fixture.sample.apply_fault(&Fault { crash_marker, crash_ms: Some(300), ..Fault::default() });
    let mut poison = body("base", false, 2);
    poison["user"] = "POISON".into();
    let mut poison = call(2, &poison);
    poison.fence = 8;
    let crashed = fixture.engine.start(&poison).await.map(|_| ());
    assert!(matches!(crashed, Err(StartError::Unknown(_))), "{crashed:?}");
    let down = fixture.engine.start(&call(3, &short)).await.map(|_| ());
    assert!(matches!(down, Err(StartError::Unsent(_))), "{down:?}");
    while fixture.engine.probe().await.is_err() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let state = fixture.engine.state().await.unwrap();
    assert!(state.incarnation != before && state.loaded.is_empty());
    // The client learns of the closes only after the server has made them.
    fixture.sample.connections().cut_all();
    wait_until(|| fixture.sample.connections().open_count() == 0).await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(read_answer(&fixture.engine, &call(4, &short)).await.2.is_none());
    let record = fixture.sample.record();
    let counts = [1, 2, 3, 4].map(|n| record.executions_of(&AttemptId(n).to_string()));
    assert_eq!(counts, [1, 1, 0, 1]);
}

/// Guards against passing a caller's key or cookie to a service, and against repeating
/// a call, or reporting it as "not run", when its answer was lost.
#[tokio::test]
async fn service_calls_run_once_without_the_key() {
    let sample = SampleService::new(ServiceSpec::default());
    let running = sample.serve(any_port()).await.unwrap();
    let service = HttpService::new(http_client(), running.addr, Duration::from_secs(5));
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
        headers: forwardable_headers(&headers, Some("sk-secret")),
        body: Bytes::from(format!("{{\"booking\":\"b{n}\"}}")),
        deadline: test_deadline(),
        expiry: NEVER,
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

/// Guards against a load tool that miscounts or accepts the answer to another request.
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
    let fixture = start_engine(EngineSpec::default()).await;
    let report = run_load(plan(fixture.engine.addr(), [1, 1, 0])).await;
    assert_eq!((report.total.sent, report.total.right), (100, 100), "{report:?}");
    let sample = SampleService::new(ServiceSpec::default());
    let running = sample.serve(any_port()).await.unwrap();
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
    let listener =
        sycamorefork::faulty_listener::FaultyListener::bind(any_port(), wire).await.unwrap();
    let running = sycamorefork::faulty_listener::spawn_server(listener, wrong);
    let report = run_load(plan(running.addr, [0, 1, 0])).await;
    assert_eq!(report.total.wrong, 100, "{report:?}");
}

/// Guards against waiting without end for a stream that sends a byte now and then and no event,
/// and against cutting a stream that its engine still runs.
#[tokio::test]
async fn stream_without_events_is_silent_and_can_be_waited_for() {
    let server = standin::http_server::serve(|mut connection| async move {
        let Some(request) = connection.read_request().await? else { return Ok(()) };
        let attempt = request.header("x-request-id").unwrap_or_default().to_owned();
        connection.write(b"HTTP/1.1 200 OK\r\n\r\n").await?;
        for _ in 0..15 {
            connection.write(b":\n").await?;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        let frame = json!({"id": attempt, "model": "base", "choices": [{"text": "token"}]});
        connection.write(format!("data: {frame}\n\ndata: [DONE]\n\n").as_bytes()).await
    })
    .await
    .unwrap();
    let settings =
        EngineSettings { progress_timeout: Duration::from_secs(1), ..Default::default() };
    let engine = HttpEngine::new(http_client(), server.address, settings);
    let mut reply = engine.start(&call(1, &body("base", true, 4))).await.unwrap();
    assert_eq!(reply.frames.next().await, Some(Err(FrameError::Silent)));
    assert_eq!(reply.frames.next().await, None);
    let mut reply = engine.start(&call(2, &body("base", true, 4))).await.unwrap();
    assert_eq!(reply.frames.next().await, Some(Err(FrameError::Silent)));
    reply.frames.wait_on();
    assert_eq!(reply.frames.next().await.unwrap().unwrap().tokens, 1);
    assert_eq!(reply.frames.next().await, None);
}

/// Guards against writing an order or a request whose permission has run out while its connection
/// was being opened, as after a pause of the process.
#[tokio::test]
async fn nothing_is_written_once_the_permission_has_run_out() {
    let read = Arc::new(Mutex::new(Vec::new()));
    let seen = read.clone();
    let server = standin::http_server::serve(move |mut connection| {
        let seen = seen.clone();
        async move {
            while let Some(request) = connection.read_request().await? {
                seen.lock().unwrap().push(request.path);
                connection.write_answer(200, "", b"{}").await?;
            }
            Ok(())
        }
    })
    .await
    .unwrap();
    let engine = HttpEngine::new(http_client(), server.address, EngineSettings::default());
    let adapter = AdapterRef::new("demo", "1");
    let mut late = call(1, &body("base", false, 2));
    late.expiry = Ms(0);
    // On new connections, and then on a pooled one.
    for _ in 0..2 {
        let load = engine.load(7, &adapter, || false).await;
        assert!(matches!(load, Err(OrderError::Unsent(_))), "{load:?}");
        let unload = engine.unload(7, &adapter, || false).await;
        assert!(matches!(unload, Err(OrderError::Unsent(_))), "{unload:?}");
        let start = engine.start(&late).await.map(|_| ());
        assert!(matches!(start, Err(StartError::Unsent(_))), "{start:?}");
        let _ = engine.state().await;
    }
    let written = read.lock().unwrap().clone();
    assert!(written.iter().all(|p| p == "/load" || p == "/v1/models"), "{written:?}");
}
