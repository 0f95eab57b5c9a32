//! Tests an edge node before crowds of callers that don't behave: it must live, stay within its
//! memory and descriptors, and answer ordinary requests while the crowd is there.

mod crowd;

use std::time::Duration;

use crowd::{Crowd, Manner, Peak, Watch, turn};
use rustix::process::{Pid, Resource, Rlimit, prlimit};
use serde_json::json;
use standin::caller::{CallerRequest, HOST, KEY, exchange, wait_until};
use standin::endpoint_instance::EndpointFault;
use standin::node::{Node, NodeAddresses, settings};
use standin::test_setup::{TestSetup, document};

/// Memory of the node's machine, in MB.
const MACHINE_MB: u64 = 96;
/// Descriptors of the node's machine, and those of them that are for files.
const MAX_FILES: u64 = 600;
const RESERVED_FILES: u64 = 200;
/// Largest body that a caller may send, in bytes.
const MAX_BODY: usize = 1 << 20;
/// Callers of a crowd. Their bodies exceed the machine's memory.
const CROWD: usize = 200;
/// Callers of a crowd that exceeds the machine's descriptors.
const LARGE_CROWD: usize = 800;
/// Body of a caller whose chunks are a single byte each, in bytes.
const TINY_CHUNKS: usize = 24 << 10;
/// Answers that are not read: their number and the size of each, in bytes.
const UNREAD_ANSWERS: usize = 60;
const ANSWER_BYTES: usize = 8 << 20;

struct Scene {
    world: TestSetup,
    node: Node,
    watch: Watch,
}

impl Scene {
    async fn start(name: &str) -> Self {
        let world = TestSetup::start().await;
        let mut config = document(4, &[KEY]);
        config["Limits"]["MaxBodyBytes"] = json!(MAX_BODY);
        world.rows.put("op", "config", &config);
        let addresses = NodeAddresses::free();
        let mut settings = settings(name, &addresses, world.store_address());
        settings["Limits"] = json!({"MemoryMb": MACHINE_MB, "MaxFds": MAX_FILES});
        let mut node = Node::start_with(name, addresses, &settings);
        let limit = Rlimit { current: Some(MAX_FILES), maximum: Some(MAX_FILES) };
        let pid = Pid::from_raw(node.pid() as i32);
        prlimit(pid, Resource::Nofile, limit).unwrap();
        node.until_ready().await;
        assert!(!node.has_exited());
        let watch = Watch::start(node.pid(), addresses.frontend.port());
        Self { world, node, watch }
    }

    async fn crowd(&self, count: usize, manner: Manner, line: &str) -> Crowd {
        let head = |n: usize| {
            format!(
                "{line} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: crowd-{n}\r\n\
                 X-Deadline-Ms: 20000\r\nAuthorization: Token {KEY}\r\n"
            )
        };
        let crowd = Crowd::send(self.node.addresses.frontend, count, manner, head);
        crowd.settled(&self.watch).await;
        crowd
    }

    /// Sends a request until it is answered, as a caller does that is told to come back.
    async fn answers(&self, request: &CallerRequest<'_>) {
        let bytes = request.bytes();
        let front = self.node.addresses.frontend;
        wait_until("an ordinary request is answered", || async {
            exchange(front, &bytes).await.is_some_and(|a| a.status == 200)
        })
        .await;
    }

    async fn answers_ordinary_request(&self) {
        self.answers(&CallerRequest::new("GET /look/1", "ordinary")).await;
    }

    /// A whole body of the largest size must be served when there is no crowd.
    async fn answers_largest_body(&self) {
        let body = "x".repeat(MAX_BODY);
        let mut request = CallerRequest::new("GET /look/1", "largest");
        request.body = &body;
        self.answers(&request).await;
    }

    fn check(&mut self) {
        assert!(!self.node.has_exited(), "the process has ended");
        let Peak { memory, files } = self.watch.peak();
        println!("peak: {} MB, {files} descriptors", memory / 1_000_000);
        assert!(memory < MACHINE_MB * 1_000_000, "{} of {MACHINE_MB} MB", memory / 1_000_000);
        let sockets = MAX_FILES - RESERVED_FILES;
        assert!(files < sockets, "{files} descriptors of {sockets}");
    }

    /// Sends a crowd, an ordinary request beside it, and a body of the largest size before and
    /// after it.
    async fn withstands(&mut self, count: usize, manner: Manner) {
        self.answers_largest_body().await;
        let crowd = self.crowd(count, manner, "POST /enter/1").await;
        self.answers_ordinary_request().await;
        let refused = crowd.told_not_run();
        println!("{manner:?}: {} told that they did not run", refused.len());
        for n in refused {
            assert_eq!(self.world.run_count(&format!("crowd-{n}")), 0, "{manner:?}: {n} ran");
        }
        drop(crowd);
        self.answers_largest_body().await;
        self.check();
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn large_chunks_short_of_their_end_stay_within_memory() {
    let _turn = turn().await;
    let mut scene = Scene::start("crowd-chunks").await;
    scene.withstands(CROWD, Manner::Chunks { body: MAX_BODY - 1, chunk: 32 << 10 }).await;
}

// Each chunk of one byte took several bytes of memory and kept the buffer that it was read into.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn chunks_of_one_byte_stay_within_memory() {
    let _turn = turn().await;
    let mut scene = Scene::start("crowd-tiny").await;
    scene.withstands(CROWD, Manner::Chunks { body: TINY_CHUNKS, chunk: 1 }).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn announced_bodies_short_of_their_end_stay_within_memory() {
    let _turn = turn().await;
    let mut scene = Scene::start("crowd-short").await;
    let pause = Duration::ZERO;
    scene.withstands(CROWD, Manner::Short { body: MAX_BODY, piece: 64 << 10, pause }).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bodies_sent_piece_by_piece_stay_within_memory() {
    let _turn = turn().await;
    let mut scene = Scene::start("crowd-pieces").await;
    let pause = Duration::from_millis(20);
    scene.withstands(CROWD, Manner::Short { body: MAX_BODY, piece: 16 << 10, pause }).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn whole_bodies_at_once_stay_within_memory() {
    let _turn = turn().await;
    let mut scene = Scene::start("crowd-whole").await;
    scene.withstands(CROWD, Manner::Whole { body: MAX_BODY }).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bodies_far_over_the_limit_stay_within_memory() {
    let _turn = turn().await;
    let mut scene = Scene::start("crowd-over").await;
    let over = MAX_BODY * 4;
    scene.withstands(CROWD, Manner::Chunks { body: over, chunk: 64 << 10 }).await;
    scene.withstands(CROWD, Manner::Announced { announced: over, sent: over - 1 }).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn unread_answers_stay_within_memory() {
    let _turn = turn().await;
    let mut scene = Scene::start("crowd-unread").await;
    for e in &scene.world.ledger {
        e.set_padding(ANSWER_BYTES);
    }
    let mut crowds = Vec::new();
    for _ in 0..UNREAD_ANSWERS {
        crowds.push(scene.crowd(1, Manner::Unread, "GET /look/1").await);
    }
    scene.world.assist.set_fault(EndpointFault::EndlessBody);
    crowds.push(scene.crowd(CROWD, Manner::Unread, "POST /ask/1").await);
    for e in &scene.world.ledger {
        e.set_padding(0);
    }
    scene.answers_ordinary_request().await;
    scene.check();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bytes_behind_a_request_stay_within_memory() {
    let _turn = turn().await;
    let mut scene = Scene::start("crowd-behind").await;
    for e in &scene.world.ledger {
        e.set_work_time(Duration::from_secs(2));
    }
    let crowd = scene.crowd(CROWD, Manner::Pipelined { behind: MAX_BODY }, "GET /look/1").await;
    for e in &scene.world.ledger {
        e.set_work_time(Duration::ZERO);
    }
    scene.answers_ordinary_request().await;
    drop(crowd);
    scene.check();
}

// All descriptors were in use, and the node could neither accept callers nor reach its endpoints.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn connections_without_a_request_leave_descriptors_for_others() {
    let _turn = turn().await;
    let mut scene = Scene::start("crowd-idle").await;
    let idle = scene.crowd(LARGE_CROWD, Manner::Idle, "").await;
    scene.answers_ordinary_request().await;
    drop(idle);
    let heads = scene.crowd(LARGE_CROWD, Manner::Head { bytes: 24 << 10 }, "GET /look/1").await;
    scene.answers_ordinary_request().await;
    drop(heads);
    scene.check();
}
