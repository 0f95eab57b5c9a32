//! Tests edge nodes as processes against endpoints that crash and come back as new instances.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::json;
use standin::caller::{CallerRequest, KEY, exchange, wait_until};
use standin::endpoint_instance::{EndpointFault, Instance};
use standin::node::Node;
use standin::proxy::{Mode, Proxy};
use standin::row_store::RowStore;
use standin::test_setup::document;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Time from the crash of an endpoint to its return as an empty instance.
const RESTART_DELAY: Duration = Duration::from_millis(600);
/// Time within which a node reads the quarantine, with room for the call itself.
const QUARANTINE_READ_INTERVAL: Duration = Duration::from_secs(6);
/// Time for which a node that learned of a lift ignores what its peers say.
const LIFT_REMEMBERED: Duration = Duration::from_secs(10);
/// Time between crashes of endpoints that lose power in turn.
const CRASH_INTERVAL: Duration = Duration::from_millis(100);
/// `StableMs` of the platform: time after a crash from which its rules apply.
const STABLE_AFTER: Duration = Duration::from_secs(3);
/// Requests that may still reach endpoints once their cause of crashes must be known.
const MAX_LATE_RUNS: usize = 3;

/// Endpoints of one service, each replaced by a new instance after a crash.
#[derive(Clone)]
struct CrashingService {
    rows: Arc<RowStore>,
    service: &'static str,
    trigger: &'static str,
    /// Whether a proxy that always accepts connections is before each endpoint.
    proxied: bool,
    proxies: Arc<Mutex<Vec<Proxy>>>,
    live: Arc<Mutex<Vec<Instance>>>,
    crashed: Arc<Mutex<Vec<(Instance, Instant)>>>,
}

impl CrashingService {
    /// Starts `count` endpoints that crash on `trigger`, and replaces crashed ones from then on.
    async fn start(
        rows: &Arc<RowStore>,
        service: &'static str,
        count: usize,
        trigger: &'static str,
    ) -> (Self, JoinHandle<()>) {
        Self::start_behind(false, rows, service, count, trigger).await
    }

    async fn start_behind(
        proxied: bool,
        rows: &Arc<RowStore>,
        service: &'static str,
        count: usize,
        trigger: &'static str,
    ) -> (Self, JoinHandle<()>) {
        let (proxies, live, crashed) = Default::default();
        let own = Self { rows: rows.clone(), service, trigger, proxied, proxies, live, crashed };
        for n in 0..count {
            own.add(&format!("{service}-{n}"), true).await;
        }
        let supervisor = own.clone();
        (own, tokio::spawn(async move { supervisor.replace_crashed().await }))
    }

    async fn add(&self, id: &str, loaded: bool) {
        let is_engine = self.service == "assist";
        let instance = match loaded {
            true => Instance::start(id, self.service, is_engine.then_some("base")).await,
            false => Instance::start_empty(id, self.service, is_engine).await,
        };
        let instance = instance.unwrap();
        instance.set_crash_trigger(self.trigger);
        let mut entry = instance.entry("ready");
        if self.proxied {
            let proxy = Proxy::start(instance.address()).await.unwrap();
            entry["Address"] = json!(proxy.address.to_string());
            self.proxies.lock().unwrap().push(proxy);
        }
        self.rows.put("servers", id, &entry);
        self.live.lock().unwrap().push(instance);
    }

    async fn replace_crashed(&self) {
        for generation in 0.. {
            sleep(Duration::from_millis(10)).await;
            let found = {
                let mut live = self.live.lock().unwrap();
                let at = live.iter().position(Instance::has_crashed);
                at.map(|at| live.swap_remove(at))
            };
            let Some(instance) = found else { continue };
            let id = instance.id.clone();
            self.crashed.lock().unwrap().push((instance, Instant::now()));
            let own = self.clone();
            tokio::spawn(async move {
                sleep(RESTART_DELAY).await;
                own.rows.remove("servers", &id);
                own.add(&format!("{}-new-{generation}", own.service), false).await;
            });
        }
    }

    /// Times of the crashes so far.
    fn crashes(&self) -> Vec<Instant> {
        self.crashed.lock().unwrap().iter().map(|(_, at)| *at).collect()
    }

    /// Times at which requests that carry the trigger began to run, in order.
    fn trigger_runs(&self) -> Vec<Instant> {
        let has_trigger = |r: &standin::endpoint_instance::Run| {
            let prefix = r.headers.get("x-prompt-prefix");
            prefix.is_some_and(|p| p.contains(self.trigger)) || r.body == self.trigger.as_bytes()
        };
        let mut runs = Vec::new();
        runs.extend(self.live.lock().unwrap().iter().flat_map(Instance::runs));
        runs.extend(self.crashed.lock().unwrap().iter().flat_map(|(i, _)| i.runs()));
        let mut at: Vec<Instant> = runs.iter().filter(|r| has_trigger(r)).map(|r| r.at).collect();
        at.sort();
        at
    }

    /// Checks that few requests with the trigger ran later than [`STABLE_AFTER`] after the
    /// crash number `count`.
    fn check_late_runs(&self, count: usize) {
        let crashes = self.crashes();
        let Some(known_at) = crashes.get(count - 1).map(|at| *at + STABLE_AFTER) else { return };
        let late = self.trigger_runs().into_iter().filter(|at| *at > known_at).count();
        let crash_count = crashes.len();
        assert!(late <= MAX_LATE_RUNS, "{late} late runs, {crash_count} crashes");
    }
}

fn store_with_document(rows: &RowStore) {
    rows.put("op", "config", &document(3, &[KEY]));
}

/// Sends a stream request with these parts; `true` if it was answered completely.
async fn ask(node: std::net::SocketAddr, attempt: &str, parts: &str) -> bool {
    let request = CallerRequest::new("POST /ask/1", attempt)
        .with_header("X-Model", "base")
        .with_header("X-Token-Count", "60,5")
        .with_header("X-Prompt-Prefix", parts);
    exchange(node, &request.bytes()).await.is_some_and(|a| a.status == 200 && a.whole)
}

// The new instances of engines that crashed together must get a holder and a model.
#[tokio::test]
async fn engines_that_crashed_together_are_used_again() {
    let rows = Arc::new(RowStore::start().await.unwrap());
    store_with_document(&rows);
    let (engines, supervisor) = CrashingService::start(&rows, "assist", 3, "none").await;
    let node = Node::start("crash-all", rows.server.address).await;
    let front = node.addresses.frontend;
    wait_until("the engines serve", || ask(front, "e1", "a:20,b:40")).await;
    // Every engine has a holder before the crash.
    wait_until("all have holders", || async { rows.keys("holders").len() == 3 }).await;
    engines.live.lock().unwrap().iter().for_each(Instance::crash);
    wait_until("all have crashed", || async { engines.crashes().len() == 3 }).await;
    wait_until("new engines serve", || ask(front, "e2", "a:20,b:40")).await;
    supervisor.abort();
}

// Requests that share one part of their prompt and nothing else crash each engine.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn prompt_part_that_crashes_engines_is_refused_and_others_are_served() {
    check_fatal_part("crash-part", false).await;
}

// Connections are accepted before a crashed endpoint too, so that its new instance is the first
// sign of the crash.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn prompt_part_that_crashes_engines_behind_proxies_is_refused() {
    check_fatal_part("crash-proxied", true).await;
}

async fn check_fatal_part(name: &str, proxied: bool) {
    let rows = Arc::new(RowStore::start().await.unwrap());
    store_with_document(&rows);
    let (engines, supervisor) =
        CrashingService::start_behind(proxied, &rows, "assist", 4, "dead").await;
    let nodes = [
        Node::start(&format!("{name}-1"), rows.server.address).await,
        Node::start(&format!("{name}-2"), rows.server.address).await,
    ];
    let fronts = [nodes[0].addresses.frontend, nodes[1].addresses.frontend];
    wait_until("the engines serve", || ask(fronts[0], "p0", "a1:20,b1:20,c:20")).await;
    let begun = Instant::now();
    // Results of sound requests: when sent, and whether answered.
    let sound: Arc<Mutex<Vec<(Instant, bool)>>> = Arc::default();
    let sent = Arc::new(AtomicUsize::new(0));
    let mut tasks = Vec::new();
    for task in 0..6 {
        let (sound, sent) = (sound.clone(), sent.clone());
        tasks.push(tokio::spawn(async move {
            loop {
                let n = sent.fetch_add(1, Ordering::Relaxed);
                let at = Instant::now();
                // Sound requests share the other parts of those that crash engines.
                let parts = format!("a1:20,b{}:20,{n:x}:20", n % 5);
                let answered = ask(fronts[task % 2], &format!("s{n}"), &parts).await;
                sound.lock().unwrap().push((at, answered));
                sleep(Duration::from_millis(40)).await;
            }
        }));
    }
    sleep(STABLE_AFTER).await;
    let bad_begun = Instant::now();
    for n in 0..120 {
        let parts = format!("a1:20,b{}:20,dead:20,{n:x}:20", n % 5);
        tasks.push(tokio::spawn(async move {
            ask(fronts[n % 2], &format!("d{n}"), &parts).await;
        }));
        sleep(Duration::from_millis(100)).await;
    }
    tasks.iter().for_each(JoinHandle::abort);
    supervisor.abort();
    let crashes = engines.crashes();
    assert!(!crashes.is_empty());
    engines.check_late_runs(5);
    let known_at = crashes[crashes.len().min(5) - 1] + 2 * STABLE_AFTER;
    let sound = sound.lock().unwrap();
    let share = |from: Instant, until: Instant| {
        let within: Vec<bool> =
            sound.iter().filter(|(at, _)| *at >= from && *at < until).map(|(_, ok)| *ok).collect();
        assert!(within.len() >= 20, "{} requests", within.len());
        within.iter().filter(|ok| **ok).count() as f64 / within.len() as f64
    };
    let (before, after) = (share(begun, bad_begun), share(known_at, Instant::now()));
    assert!(after >= before / 2.0, "served {before:.2} before, {after:.2} after");
}

// A repeated request crashes each plain endpoint that runs it; its callers send it again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_that_crashes_endpoints_is_refused_after_few_crashes() {
    let rows = Arc::new(RowStore::start().await.unwrap());
    store_with_document(&rows);
    let (ledger, supervisor) = CrashingService::start(&rows, "ledger", 3, "fatal").await;
    let node = Node::start("crash-request", rows.server.address).await;
    let front = node.addresses.frontend;
    let mut tasks = Vec::new();
    for n in 0..100 {
        tasks.push(tokio::spawn(async move {
            let attempt = format!("f{n}");
            let mut request = CallerRequest::new("POST /enter/1", &attempt);
            request.body = "fatal";
            exchange(front, &request.bytes()).await;
        }));
        sleep(Duration::from_millis(100)).await;
    }
    tasks.iter().for_each(JoinHandle::abort);
    ledger.check_late_runs(3);
    wait_until("other requests are served", || async {
        let request = CallerRequest::new("POST /enter/1", "g1").bytes();
        exchange(front, &request).await.is_some_and(|a| a.status == 200)
    })
    .await;
    supervisor.abort();
}

// Equal requests that had been served for long are in flight when the endpoints lose power in
// turn, and each loss shows only once its entry lapses.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn frequent_request_is_served_after_endpoints_crashed_in_turn() {
    let rows = Arc::new(RowStore::start().await.unwrap());
    store_with_document(&rows);
    let (ledger, supervisor) =
        CrashingService::start_behind(true, &rows, "ledger", 3, "none").await;
    let node = Node::start("crash-turn", rows.server.address).await;
    let front = node.addresses.frontend;
    let send = move |attempt: String| async move {
        let mut request = CallerRequest::new("POST /enter/1", &attempt);
        request.body = "frequent";
        exchange(front, &request.bytes()).await.map(|a| (a.status, a.body))
    };
    for n in 0..20 {
        let answer = send(format!("t{n}")).await.expect("an answer");
        assert_eq!(answer.0, 200);
    }
    // Requests are in flight at each endpoint when it crashes.
    let silent = |i: &Instance| i.set_fault(EndpointFault::Silent);
    ledger.live.lock().unwrap().iter().for_each(silent);
    let caller = tokio::spawn(async move {
        for n in 0.. {
            tokio::spawn(send(format!("u{n}")));
            sleep(Duration::from_millis(5)).await;
        }
    });
    for n in 0..3 {
        wait_until("an endpoint with work has crashed", || async {
            let live = ledger.live.lock().unwrap();
            let has_work = |i: &&Instance| i.runs().iter().any(|r| r.attempt.starts_with('u'));
            live.iter().find(has_work).map(Instance::crash).is_some()
        })
        .await;
        sleep(CRASH_INTERVAL).await;
        assert_eq!(ledger.crashes().len(), n + 1);
    }
    caller.abort();
    wait_until("all are replaced", || async {
        ledger.live.lock().unwrap().iter().filter(|i| i.id.contains("new")).count() == 3
    })
    .await;
    // The causes of crashes are decided by then.
    sleep(STABLE_AFTER).await;
    let answer = send("v1".to_owned()).await.expect("an answer");
    assert_eq!(answer.0, 200, "{}", answer.1);
    supervisor.abort();
}

/// Whether a call with this body is refused because its features crash endpoints.
async fn is_quarantined(front: std::net::SocketAddr, attempt: &str, body: &str) -> bool {
    let mut request = CallerRequest::new("POST /enter/1", attempt);
    request.body = body;
    exchange(front, &request.bytes()).await.is_some_and(|a| a.body == "quarantined")
}

/// Sends calls that crash endpoints until they are refused.
async fn crash_until_quarantined(front: std::net::SocketAddr) {
    for n in 0..80 {
        if is_quarantined(front, &format!("k{n}"), "fatal").await {
            return;
        }
        sleep(Duration::from_millis(100)).await;
    }
    panic!("the call is not quarantined");
}

// A node whose time of day is wrong must not lift what others have found.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn quarantine_does_not_depend_on_the_time_of_day() {
    let rows = Arc::new(RowStore::start().await.unwrap());
    store_with_document(&rows);
    let (_ledger, supervisor) = CrashingService::start(&rows, "ledger", 3, "fatal").await;
    let first = Node::start("crash-clock", rows.server.address).await;
    crash_until_quarantined(first.addresses.frontend).await;
    wait_until("the row is written", || async { rows.keys("quarantine").len() == 1 }).await;
    drop(first);
    // The row as a node writes it whose clock is a day behind.
    let key = rows.keys("quarantine").pop().expect("a row");
    rows.put("quarantine", &key, &json!({"reason": "3 crashes", "until": 1_000}));
    let second = Node::start("crash-clock-2", rows.server.address).await;
    sleep(STABLE_AFTER).await;
    assert!(is_quarantined(second.addresses.frontend, "c1", "fatal").await);
    assert_eq!(rows.keys("quarantine"), [key]);
    supervisor.abort();
}

// Operators lift a quarantine while a node that knows of it does not reach the store.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lifted_quarantine_is_not_restored_by_a_node_without_the_store() {
    let rows = Arc::new(RowStore::start().await.unwrap());
    store_with_document(&rows);
    let (_ledger, supervisor) = CrashingService::start(&rows, "ledger", 3, "fatal").await;
    let proxy = Proxy::start(rows.server.address).await.unwrap();
    let nodes = [
        Node::start("crash-lift-1", rows.server.address).await,
        Node::start("crash-lift-2", proxy.address).await,
    ];
    let fronts = [nodes[0].addresses.frontend, nodes[1].addresses.frontend];
    crash_until_quarantined(fronts[0]).await;
    wait_until("both nodes know of it", || async {
        is_quarantined(fronts[1], "l1", "fatal").await && rows.keys("quarantine").len() == 1
    })
    .await;
    sleep(QUARANTINE_READ_INTERVAL).await;
    proxy.set_mode(Mode::Silent);
    let key = rows.keys("quarantine").pop().expect("a row");
    rows.remove("quarantine", &key);
    sleep(QUARANTINE_READ_INTERVAL + LIFT_REMEMBERED).await;
    assert_eq!(rows.keys("quarantine"), [""; 0]);
    proxy.set_mode(Mode::Pass);
    wait_until("the other node lifts it", || async {
        !is_quarantined(fronts[1], "m1", "fatal").await
    })
    .await;
    assert!(!is_quarantined(fronts[0], "m0", "fatal").await);
    supervisor.abort();
}

// What crashes endpoints must not run again because the nodes that knew of it are gone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cause_of_crashes_stays_refused_after_all_nodes_were_killed() {
    let rows = Arc::new(RowStore::start().await.unwrap());
    store_with_document(&rows);
    let (ledger, supervisor) = CrashingService::start(&rows, "ledger", 3, "fatal").await;
    let fatal = |front, n: usize| async move {
        let attempt = format!("k{n}");
        let mut request = CallerRequest::new("POST /enter/1", &attempt);
        request.body = "fatal";
        exchange(front, &request.bytes()).await
    };
    let first = Node::start("crash-first", rows.server.address).await;
    let front = first.addresses.frontend;
    for n in 0..80 {
        let answer = fatal(front, n).await;
        if answer.is_some_and(|a| a.body == "quarantined") {
            break;
        }
        sleep(Duration::from_millis(100)).await;
    }
    let runs = ledger.trigger_runs().len();
    sleep(STABLE_AFTER).await;
    drop(first);
    let second = Node::start("crash-second", rows.server.address).await;
    sleep(STABLE_AFTER).await;
    for n in 100..110 {
        let answer = fatal(second.addresses.frontend, n).await.expect("an answer");
        assert_eq!((answer.status, answer.body.as_str()), (503, "quarantined"));
    }
    assert_eq!(ledger.trigger_runs().len(), runs);
    // The operators lift the quarantine by removing its row.
    let key = rows.keys("quarantine").pop().expect("a row");
    rows.remove("quarantine", &key);
    wait_until("the quarantine is lifted", || async {
        fatal(second.addresses.frontend, 200).await.is_none_or(|a| a.body != "quarantined")
    })
    .await;
    supervisor.abort();
}
