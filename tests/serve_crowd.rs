//! Tests a node of the role `serve` before crowds of callers that don't behave: it must live,
//! stay within its memory and descriptors, and answer ordinary requests while the crowd is there.

mod crowd;
mod deployment;

use std::time::Duration;

use crowd::{Crowd, Manner, Peak, Watch, turn};
use deployment::{Deployment, KEYS, Process};
use http::Method;
use rustix::process::{Pid, Resource, Rlimit, prlimit};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// Memory of the smallest machine that runs a node, in MB.
const MACHINE_MB: u64 = 380;
/// Descriptors of the node's machine, and those of them that are for files.
const MAX_FILES: u64 = 600;
const RESERVED_FILES: u64 = 200;
/// Largest body that a caller may send, in bytes.
const MAX_BODY: usize = 4 << 20;
const LIMITS: &str = "body = 4_194_304\nslow = \"8s\"\nrequest = \"60s\"\nprogress = \"2s\"\n\
    connections = 360\n";
/// Callers of a crowd. Their bodies exceed the machine's memory.
const CROWD: usize = 160;
/// Crowds of callers that leave without an answer, and the callers of each.
const LEAVING_CROWDS: usize = 6;
const LEAVING_CROWD: usize = 40;
/// Callers of a crowd whose heads do not end; they are within the limit on connections.
const HEAD_CROWD: usize = 350;
/// Callers of a crowd that exceeds the limit on connections.
const LARGE_CROWD: usize = 800;
/// Body of a caller whose chunks are a single byte each, in bytes.
const TINY_CHUNKS: usize = 24 << 10;
/// Time within which an ordinary request must have been answered; guards against hanging.
const WAIT_LIMIT: Duration = Duration::from_secs(30);
/// Time after which the caller of an ordinary request tries again on a new connection.
const TRY_LIMIT: Duration = Duration::from_secs(5);

/// Target of a crowd.
const CALL: &str = "POST /services/bookings/book";
const COMPLETION: &str = "POST /v1/chat/completions";

struct Scene {
    d: Deployment,
    watch: Watch,
}

impl Scene {
    async fn start() -> Self {
        let mut d = Deployment::start_limited(1, 1, &[], LIMITS).await;
        let id = node(&mut d).id();
        let limit = Rlimit { current: Some(MAX_FILES), maximum: Some(MAX_FILES) };
        prlimit(Pid::from_raw(id as i32), Resource::Nofile, limit).unwrap();
        let watch = Watch::start(id, d.nodes[0].callers.port());
        Self { d, watch }
    }

    async fn crowd(&self, count: usize, manner: Manner, line: &str) -> Crowd {
        let head =
            |_| format!("{line} HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer {}\r\n", KEYS[0]);
        let crowd = Crowd::send(self.d.nodes[0].callers, count, manner, head);
        crowd.settled(&self.watch).await;
        crowd
    }

    async fn freeze_services(&self, freeze: bool) {
        for e in self.d.endpoints.iter().filter(|e| e.role == "service") {
            self.d.inject_fault(e.addr, json!({ "freeze": freeze })).await;
        }
    }

    /// Sends a request until it is answered, as a caller does that is told to come back.
    async fn answers(&self, name: &str, body: &str) {
        let key = format!("Bearer {}", KEYS[0]);
        let headers = [("authorization", key.as_str()), ("idempotency-key", name)];
        let end = Instant::now() + WAIT_LIMIT;
        loop {
            let sent = self.d.try_send(0, Method::POST, "/services/bookings/book", &headers, body);
            match timeout(TRY_LIMIT, sent).await {
                Ok(Ok(reply)) if reply.status == 200 => return,
                other => assert!(Instant::now() < end, "{name}: {other:?}"),
            }
            sleep(Duration::from_millis(100)).await;
        }
    }

    async fn answers_ordinary_request(&self, name: &str) {
        self.answers(name, &json!({ "booking": name }).to_string()).await;
    }

    /// A whole body of the largest size must be served when there is no crowd.
    async fn answers_largest_body(&self, name: &str) {
        let body = json!({ "booking": name, "note": "" }).to_string();
        let note = "x".repeat(MAX_BODY - body.len());
        self.answers(name, &json!({ "booking": name, "note": note }).to_string()).await;
    }

    fn check(&mut self) {
        assert!(!node(&mut self.d).has_exited(), "the process has ended");
        let Peak { memory, files } = self.watch.peak();
        println!("peak: {} MB, {files} descriptors", memory / 1_000_000);
        assert!(memory < MACHINE_MB * 1_000_000, "{} of {MACHINE_MB} MB", memory / 1_000_000);
        let sockets = MAX_FILES - RESERVED_FILES;
        assert!(files < sockets, "{files} descriptors of {sockets}");
    }

    /// Sends a crowd, an ordinary request beside it, and a body of the largest size before and
    /// after it.
    async fn withstands(&mut self, count: usize, manner: Manner, line: &str) {
        self.answers_largest_body(&format!("before {manner:?} {line}")).await;
        let crowd = self.crowd(count, manner, line).await;
        self.answers_ordinary_request(&format!("beside {manner:?} {line}")).await;
        drop(crowd);
        self.answers_largest_body(&format!("after {manner:?} {line}")).await;
        self.check();
    }
}

fn node(d: &mut Deployment) -> &mut Process {
    d.nodes[0].process.as_mut().unwrap()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn large_chunks_short_of_their_end_stay_within_memory() {
    let _turn = turn().await;
    let mut scene = Scene::start().await;
    let manner = Manner::Chunks { body: MAX_BODY - 1, chunk: 32 << 10 };
    scene.withstands(CROWD, manner, CALL).await;
    scene.withstands(CROWD, manner, COMPLETION).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn chunks_of_one_byte_stay_within_memory() {
    let _turn = turn().await;
    let mut scene = Scene::start().await;
    scene.withstands(CROWD, Manner::Chunks { body: TINY_CHUNKS, chunk: 1 }, CALL).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn announced_bodies_short_of_their_end_stay_within_memory() {
    let _turn = turn().await;
    let mut scene = Scene::start().await;
    let at_once = Manner::Short { body: MAX_BODY, piece: 64 << 10, pause: Duration::ZERO };
    scene.withstands(CROWD, at_once, CALL).await;
    let pause = Duration::from_millis(20);
    let by_pieces = Manner::Short { body: MAX_BODY, piece: 64 << 10, pause };
    scene.withstands(CROWD, by_pieces, COMPLETION).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn whole_bodies_at_once_stay_within_memory() {
    let _turn = turn().await;
    let mut scene = Scene::start().await;
    scene.withstands(CROWD, Manner::Whole { body: MAX_BODY }, CALL).await;
}

// Each number became a value of its own, many times its size, and again for each attempt.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn lists_of_small_numbers_stay_within_memory() {
    let _turn = turn().await;
    let mut scene = Scene::start().await;
    let manner = Manner::Numbers { count: MAX_BODY / 2 - 100 };
    scene.withstands(CROWD, manner, COMPLETION).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bodies_far_over_the_limit_stay_within_memory() {
    let _turn = turn().await;
    let mut scene = Scene::start().await;
    let over = MAX_BODY * 4;
    scene.withstands(CROWD, Manner::Chunks { body: over, chunk: 64 << 10 }, CALL).await;
    scene.withstands(CROWD, Manner::Announced { announced: over, sent: over - 1 }, CALL).await;
}

// The body of a call that must not be repeated is kept until its outcome is known, also if its
// caller has left.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bodies_of_callers_that_left_stay_within_memory() {
    let _turn = turn().await;
    let mut scene = Scene::start().await;
    scene.freeze_services(true).await;
    for _ in 0..LEAVING_CROWDS {
        drop(scene.crowd(LEAVING_CROWD, Manner::Whole { body: MAX_BODY }, CALL).await);
    }
    scene.freeze_services(false).await;
    scene.answers_ordinary_request("after callers that left").await;
    scene.check();
}

// Callers beyond the limit waited until one of the others left.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn connections_without_a_request_leave_room_for_others() {
    let _turn = turn().await;
    let mut scene = Scene::start().await;
    let idle = scene.crowd(LARGE_CROWD, Manner::Idle, "").await;
    scene.answers_ordinary_request("beside idle connections").await;
    drop(idle);
    let heads = scene.crowd(LARGE_CROWD, Manner::Head { bytes: 14 << 10 }, CALL).await;
    scene.answers_ordinary_request("beside open heads").await;
    drop(heads);
    scene.check();
}

// One connection would hold many bodies, which the charge of a connection does not cover. The
// preface was recognised only if it arrived at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn connections_that_speak_http2_are_closed() {
    let _turn = turn().await;
    let mut scene = Scene::start().await;
    let settings = b"\0\0\0\x04\0\0\0\0\0";
    let preface = [b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", &settings[..]].concat();
    for first in [preface.len(), 1, 3, 5, 14] {
        let mut stream = TcpStream::connect(scene.d.nodes[0].callers).await.unwrap();
        stream.set_nodelay(true).unwrap();
        for part in [&preface[..first], &preface[first..]] {
            // The rest meets a connection that may be closed already.
            let _ = stream.write_all(part).await;
            sleep(Duration::from_millis(50)).await;
        }
        let mut answer = Vec::new();
        let _ = timeout(WAIT_LIMIT, stream.read_to_end(&mut answer)).await.expect("an end");
        assert!(answer.is_empty(), "{first}: {answer:?}");
    }
    scene.answers_ordinary_request("after HTTP/2").await;
    scene.check();
}

// The parser's buffer took heads far above the limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn heads_without_end_stay_within_memory() {
    let _turn = turn().await;
    let mut scene = Scene::start().await;
    let heads = scene.crowd(HEAD_CROWD, Manner::Head { bytes: 4 << 20 }, CALL).await;
    scene.answers_ordinary_request("beside heads without end").await;
    drop(heads);
    scene.check();
}
