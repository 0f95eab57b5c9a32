//! Streams that callers take up again while two versions of the endpoints' software serve, tested
//! with edge nodes as processes.

use std::collections::BTreeSet;
use std::time::Duration;

use rustix::process::Signal;
use serde_json::json;
use standin::caller::{CallerRequest, KEY, exchange, read_events, wait_until};
use standin::endpoint_instance::{EndpointFault, Instance};
use standin::node::{Node, NodeAddresses};
use standin::proxy::{Mode, Proxy};
use standin::row_store::RowStoreFault;
use standin::test_setup::{TestSetup, document};
use tokio::time::sleep;

/// Streams that are open at the same time.
const STREAMS: usize = 80;
/// Most streams that may hold events of two versions.
const ALLOWED: usize = 2;
/// Events of a stream, and the pause between them.
const EVENTS: u64 = 40;
const EVENT_PAUSE: Duration = Duration::from_millis(50);
/// Pause between the starts of two streams.
const START_PAUSE: Duration = Duration::from_millis(10);
/// Time after a disruption from which on nodes are judged.
const STABLE: Duration = Duration::from_secs(3);
/// Tries of a caller to take up its stream, and the pause between them.
const TRIES: usize = 4;
const TRY_PAUSE: Duration = Duration::from_millis(250);

/// Asks for a stream on a connection of its own.
fn ask(attempt: &str) -> CallerRequest<'_> {
    CallerRequest::new("POST /ask/1", attempt)
        .with_header("X-Model", "base")
        .with_header("X-Token-Count", "10,5")
        .with_header("Connection", "close")
}

/// Nodes in front of engines of two software versions.
struct Fleet {
    world: TestSetup,
    engines: Vec<Instance>,
    nodes: Vec<(String, NodeAddresses, Option<Node>)>,
}

impl Fleet {
    /// Starts four nodes and an engine of each of the given software versions.
    async fn start(name: &str, versions: &[&str]) -> Self {
        let world = TestSetup::start().await;
        world.rows.remove("servers", &world.assist.id);
        let mut document = document(4, &[KEY]);
        document["Routes"][2]["Resumable"] = json!(true);
        document["Routes"][2]["MaxAttempts"] = json!(3);
        world.rows.put("op", "config", &document);
        let mut engines = Vec::new();
        for (n, version) in versions.iter().enumerate() {
            let engine = Instance::start(&format!("e-{n}"), "assist", Some("base")).await.unwrap();
            engine.set_stream(EVENTS, EVENT_PAUSE);
            engine.set_software(version);
            world.rows.put("servers", &engine.id, &engine.entry("ready"));
            engines.push(engine);
        }
        let mut fleet = Self { world, engines, nodes: Vec::new() };
        for n in 0..4 {
            let name = format!("{name}-{n}");
            fleet.nodes.push((name, NodeAddresses::free(), None));
            fleet.start_node(n);
        }
        fleet.until_ready().await;
        sleep(STABLE).await;
        fleet
    }

    fn start_node(&mut self, n: usize) {
        let store = self.world.store_address();
        let (name, addresses, node) = &mut self.nodes[n];
        *node = Some(Node::start_at(name, *addresses, store, None));
    }

    async fn until_ready(&self) {
        for (_, _, node) in &self.nodes {
            node.as_ref().unwrap().until_ready().await;
        }
    }

    /// Opens streams at all nodes in turn, calls `disrupt` in the middle of them, and lets callers
    /// take up those that broke at other nodes.
    async fn run(&mut self, disrupt: impl AsyncFnOnce(&mut Self)) -> Outcome {
        let fronts: Vec<_> = self.nodes.iter().map(|(_, a, _)| a.frontend).collect();
        let mut callers = Vec::new();
        for n in 0..STREAMS {
            let fronts = fronts.clone();
            callers.push(tokio::spawn(async move {
                let first = format!("s{n}");
                let request = ask(&first);
                let begun = read_events(fronts[n % fronts.len()], &request.bytes()).await;
                let mut stream = Stream { parts: vec![begun.clone()], whole: begun.whole };
                for t in 1..=TRIES {
                    let Some(last) = stream.last_event().filter(|_| !stream.whole) else { break };
                    let attempt = format!("{first}-{t}");
                    let request = ask(&attempt)
                        .with_header("Last-Event-Id", &last.to_string())
                        .with_header("Resumes", &first);
                    let part = read_events(fronts[(n + t) % fronts.len()], &request.bytes()).await;
                    stream.whole = part.whole;
                    stream.parts.push(part);
                    sleep(TRY_PAUSE).await;
                }
                stream
            }));
            sleep(START_PAUSE).await;
        }
        disrupt(self).await;
        let mut streams = Vec::new();
        for caller in callers {
            streams.push(caller.await.unwrap());
        }
        self.judge(&streams)
    }

    fn judge(&self, streams: &[Stream]) -> Outcome {
        let broken = |s: &&Stream| s.parts.len() > 1 && !s.parts[0].ids.is_empty();
        let taken: Vec<&Stream> = streams.iter().filter(broken).collect();
        let went_on = taken.iter().filter(|s| s.parts[1..].iter().any(|p| !p.ids.is_empty()));
        let joined = taken.iter().filter(|s| self.versions(s).len() > 1);
        for s in streams {
            let ids: Vec<u64> = s.parts.iter().flat_map(|p| p.ids.clone()).collect();
            assert_eq!(ids, (0..ids.len() as u64).collect::<Vec<_>>(), "pieces are in order");
        }
        let outcome =
            Outcome { taken: taken.len(), went_on: went_on.count(), joined: joined.count() };
        println!("{outcome:?}");
        outcome
    }

    /// Software versions of the engines from which a stream has events.
    fn versions(&self, stream: &Stream) -> BTreeSet<String> {
        let parts = stream.parts.iter().filter(|p| !p.ids.is_empty());
        let version = |seal: &str| {
            let engine = self.engines.iter().find(|e| seal.contains(&format!("{}.", e.id)));
            engine.expect("an engine").entry("ready")["Version"].to_string()
        };
        parts.map(|p| version(&p.seal)).collect()
    }

    fn kill(&mut self, nodes: &[usize]) {
        nodes.iter().for_each(|n| self.nodes[*n].2 = None);
    }
}

/// The answers that a caller got to one stream.
struct Stream {
    parts: Vec<standin::caller::Events>,
    whole: bool,
}

impl Stream {
    fn last_event(&self) -> Option<u64> {
        self.parts.iter().rev().find_map(|p| p.ids.last().copied())
    }
}

/// What became of the streams that callers took up.
#[derive(Debug)]
struct Outcome {
    taken: usize,
    went_on: usize,
    joined: usize,
}

impl Outcome {
    /// Checks that streams went on at their version only, and enough of them.
    fn check(&self) {
        assert!(self.taken >= 12, "too few streams broke: {self:?}");
        assert!(self.joined <= ALLOWED, "{self:?}");
        // All new streams begin, so that half of those taken up have to go on.
        assert!(self.went_on * 2 >= self.taken, "{self:?}");
    }
}

const TWO_VERSIONS: [&str; 4] = ["v1", "v1", "v2", "v2"];

#[tokio::test]
async fn streams_of_a_killed_node_go_on_at_their_version() {
    let mut fleet = Fleet::start("resumed-one", &TWO_VERSIONS).await;
    let outcome = fleet.run(async |fleet| fleet.kill(&[1, 2])).await;
    outcome.check();
}

#[tokio::test]
async fn streams_go_on_at_their_version_after_all_nodes_were_killed() {
    let mut fleet = Fleet::start("resumed-all", &TWO_VERSIONS).await;
    let outcome = fleet.run(restart_all).await;
    outcome.check();
}

async fn restart_all(fleet: &mut Fleet) {
    fleet.kill(&[0, 1, 2, 3]);
    (0..4).for_each(|n| fleet.start_node(n));
    fleet.until_ready().await;
}

#[tokio::test]
async fn streams_go_on_after_all_nodes_were_killed_while_one_version_serves() {
    let mut fleet = Fleet::start("resumed-plain", &["v1"; 4]).await;
    let outcome = fleet.run(restart_all).await;
    outcome.check();
}

// The engines of the former version leave, and then all nodes forget that they were there.
#[tokio::test]
async fn streams_of_a_version_that_has_left_are_not_joined_after_all_nodes_were_killed() {
    let mut fleet = Fleet::start("resumed-left", &TWO_VERSIONS).await;
    let outcome = fleet
        .run(async |fleet| {
            for e in &fleet.engines[..2] {
                fleet.world.rows.put("servers", &e.id, &e.entry("draining"));
            }
            sleep(Duration::from_millis(500)).await;
            for e in &fleet.engines[..2] {
                fleet.world.rows.remove("servers", &e.id);
            }
            restart_all(fleet).await;
        })
        .await;
    assert!(outcome.taken >= 12, "too few streams broke: {outcome:?}");
    assert!(outcome.joined <= ALLOWED, "{outcome:?}");
}

// Nothing is known of the streams of the killed nodes, and the store cannot be asked.
#[tokio::test]
async fn streams_are_not_joined_while_the_store_is_away() {
    let mut fleet = Fleet::start("resumed-away", &TWO_VERSIONS).await;
    let outcome = fleet
        .run(async |fleet| {
            fleet.world.rows.set_fault(RowStoreFault::Refuses(503));
            fleet.kill(&[1, 2]);
        })
        .await;
    assert!(outcome.taken >= 12, "too few streams broke: {outcome:?}");
    assert!(outcome.joined <= ALLOWED, "{outcome:?}");
}

#[tokio::test]
async fn new_streams_begin_at_all_versions() {
    let mut fleet = Fleet::start("resumed-new", &TWO_VERSIONS).await;
    fleet.run(async |_| ()).await;
    wait_until("all engines have run streams", || async {
        fleet.engines.iter().all(|e| !e.runs().is_empty())
    })
    .await;
}

// What a refused take-up had cost its team was not returned.
#[tokio::test]
async fn refused_streams_cost_their_team_nothing() {
    let fleet = Fleet::start("resumed-cost", &TWO_VERSIONS).await;
    let front = fleet.nodes[0].1.frontend;
    // The burst allows one of them at a time.
    for n in 0..10 {
        let attempt = format!("f{n}");
        let request = CallerRequest::new("POST /ask/1", &attempt)
            .with_header("X-Model", "base")
            .with_header("X-Token-Count", "90000,10")
            .with_header("Last-Event-Id", "3")
            .with_header("Resumes", "unknown");
        let answer = exchange(front, &request.bytes()).await.expect("an answer");
        assert_eq!((answer.status, answer.body.as_str()), (503, "stream_version_unknown"));
    }
}

/// How a node is out of step while a version joins.
#[derive(Clone, Copy, Debug)]
enum OutOfStep {
    StandsStill,
    WithoutStore,
}

/// Nodes that are out of step, each in a fleet of its own.
const OUT_OF_STEP: usize = 6;
/// Time after which a node knows all versions of streams that may be taken up.
const LIFETIME: Duration = Duration::from_secs(10);

/// A node is out of step while an engine of another version joins and a stream begins there through
/// the other node, which is killed before it can tell anybody. The caller takes the stream up at the
/// first node; returns whether it got events of the former version.
async fn is_joined(how: OutOfStep, n: usize) -> bool {
    let world = TestSetup::start().await;
    world.rows.remove("servers", &world.assist.id);
    let mut document = document(4, &[KEY]);
    document["Routes"][2]["Resumable"] = json!(true);
    world.rows.put("op", "config", &document);
    let old = Instance::start("e-0", "assist", Some("base")).await.unwrap();
    let new = Instance::start("e-1", "assist", Some("base")).await.unwrap();
    for (engine, version) in [(&old, "v1"), (&new, "v2")] {
        engine.set_software(version);
        engine.set_stream(EVENTS, EVENT_PAUSE);
    }
    world.rows.put("servers", &old.id, &old.entry("ready"));
    let proxy = Proxy::start(world.store_address()).await.unwrap();
    let node = Node::start(&format!("resumed-{how:?}-{n}"), proxy.address).await;
    let other = Node::start(&format!("resumed-other-{how:?}-{n}"), world.store_address()).await;
    sleep(LIFETIME + STABLE).await;
    match how {
        OutOfStep::StandsStill => node.signal(Signal::STOP),
        OutOfStep::WithoutStore => proxy.set_mode(Mode::Reset),
    }
    // Whether a beat names the new version depends on when it joins.
    sleep(STABLE + START_PAUSE * 4 * n as u32).await;
    old.set_fault(EndpointFault::Full);
    world.rows.put("servers", &new.id, &new.entry("ready"));
    let front = other.addresses.frontend;
    let mut callers = Vec::new();
    while new.runs().is_empty() {
        let request = ask(&callers.len().to_string()).bytes();
        callers.push(tokio::spawn(async move { read_events(front, &request).await }));
        sleep(START_PAUSE).await;
    }
    // The first event is out.
    sleep(EVENT_PAUSE + START_PAUSE).await;
    drop(other);
    let first = new.runs()[0].attempt.clone();
    let part = callers.swap_remove(first.parse().unwrap()).await.unwrap();
    let last = part.ids.last().expect("the stream has begun");
    old.set_fault(EndpointFault::None);
    node.signal(Signal::CONT);
    let request =
        ask("again").with_header("Last-Event-Id", &last.to_string()).with_header("Resumes", &first);
    let rest = read_events(node.addresses.frontend, &request.bytes()).await;
    !rest.ids.is_empty() && rest.seal.contains("e-0.")
}

async fn check_out_of_step(how: OutOfStep) {
    let cases: Vec<_> = (0..OUT_OF_STEP).map(|n| tokio::spawn(is_joined(how, n))).collect();
    let mut joined = 0;
    for case in cases {
        joined += usize::from(case.await.unwrap());
    }
    assert_eq!(joined, 0, "of {OUT_OF_STEP}");
}

#[tokio::test]
async fn streams_of_a_version_that_joined_while_a_node_stood_still_are_not_joined_there() {
    check_out_of_step(OutOfStep::StandsStill).await;
}

// The node had heard all others within the last second, and took the only version that it knew.
#[tokio::test]
async fn streams_of_a_version_that_joined_while_a_node_had_no_store_are_not_joined_there() {
    check_out_of_step(OutOfStep::WithoutStore).await;
}
