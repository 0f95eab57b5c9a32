//! Measures the cost per unit of state: size and decoding time of a heartbeat, and memory.

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use prost::Message;
use sycamorefork::claim::{Call, Claims, Settings as ClaimSettings};
use sycamorefork::config::Config;
use sycamorefork::config_check::check_document;
use sycamorefork::generated::peer;
use sycamorefork::ids::{AttemptId, Node, Team};
use sycamorefork::quota::{Quota, QuotaSettings, RateSpec, SEATS_PER_TEAM};
use sycamorefork::time::Ms;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::fleet::{Fleet, Shape, adapter, document, fit, key, memory};

/// Time after which memory is read.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// A heartbeat of an idle node, as built by `src/heartbeat.rs`.
fn heartbeat(endpoints: usize, teams: usize, loaded: usize) -> peer::Heartbeat {
    let load = |n: usize| peer::EndpointLoad {
        endpoint: format!("engine-{n:03}"),
        fence: 3,
        slots: 8,
        healthy: true,
        batch: 16,
        listing: loaded > 0,
        loaded: (0..loaded).map(|n| format!("{}@1", adapter(n))).collect(),
        ..peer::EndpointLoad::default()
    };
    let level = |n: usize| peer::Level {
        team: format!("team-{n:04}"),
        stock: 625_000,
        rate: 1,
        burst: 1,
        permits: 0,
        seats: 1,
    };
    peer::Heartbeat {
        counter: 100_000,
        authority: 3,
        serial: 1000,
        digest: "0".repeat(64),
        endpoints: (0..endpoints).map(load).collect(),
        levels: (0..teams).map(level).collect(),
        ..peer::Heartbeat::default()
    }
}

/// Measures size and decoding time of heartbeats.
fn heartbeats() {
    println!("## Heartbeat\n");
    println!("| endpoints | teams | loaded adapters each | bytes | decode us |");
    println!("|---|---|---|---|---|");
    let shapes = [(0, 0, 0), (8, 0, 0), (16, 0, 0), (8, 5, 0), (8, 50, 0), (8, 5, 8), (8, 5, 16)];
    for (endpoints, teams, loaded) in shapes {
        let bytes = heartbeat(endpoints, teams, loaded).encode_to_vec();
        const ROUNDS: u32 = 20_000;
        let start = Instant::now();
        for _ in 0..ROUNDS {
            black_box(peer::Heartbeat::decode(black_box(&bytes[..])).unwrap());
        }
        let time = start.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS);
        println!("| {endpoints} | {teams} | {loaded} | {} | {time:.2} |", bytes.len());
    }
}

/// Growth of this process's memory by the value that `make` returns, in bytes.
fn memory_growth<T>(make: impl FnOnce() -> T) -> f64 {
    let before = memory("self", "VmRSS");
    let kept = make();
    let after = memory("self", "VmRSS");
    drop(black_box(kept));
    after.saturating_sub(before) as f64 * 1024.0
}

/// Measures the memory of claims and quotas, and the time to check and compile a document.
fn structures() {
    println!("\n## Memory of structures in this process\n");
    println!("| what | count | bytes each |");
    println!("|---|---|---|");
    // Equals the limit above which `Claims` refuses calls.
    const CLAIMS: usize = 20_000;
    let claims = memory_growth(|| {
        let mut claims = Claims::new(Node::new("n.1"), ClaimSettings::default(), 1);
        for n in 0..CLAIMS {
            let (now, digest) = (Ms(1000), format!("{n:064x}"));
            let (endpoint, attempt) = ("booking-1".into(), AttemptId(n as u128));
            let deadline = now + Ms::secs(20);
            let key = format!("claim/{n:064x}");
            claims.open(now, Call { key, digest, attempt, endpoint, deadline, created: now });
        }
        assert_eq!(claims.len(), CLAIMS);
        claims
    });
    println!("| open claim | {CLAIMS} | {:.0} |", claims / CLAIMS as f64);
    const TEAMS: usize = 20_000;
    let teams = memory_growth(|| {
        let spec = RateSpec::new(1_000_000, 1_000_000);
        let rates: Vec<(Team, RateSpec)> =
            (0..TEAMS).map(|n| (Team::new(&format!("team-{n:05}")), spec)).collect();
        let mut quota = Quota::new(QuotaSettings::default());
        quota.set_rates(Ms(0), &rates);
        for (team, _) in &rates {
            quota.gain_seat(Ms(0), team, 0, Ms(0));
        }
        quota
    });
    println!(
        "| team's quota, 1 of {SEATS_PER_TEAM} seats held | {TEAMS} | {:.0} |",
        teams / TEAMS as f64
    );
    println!("\n## Adopting a document of 11,000 listed adapters\n");
    let text = document(5, 11_000);
    const ROUNDS: u32 = 10;
    let start = Instant::now();
    for _ in 0..ROUNDS {
        let parsed = check_document("document", &text).document.expect("valid document");
        black_box(Config::compile(parsed, 1, ""));
    }
    let time = start.elapsed().as_secs_f64() * 1e3 / f64::from(ROUNDS);
    println!("{} bytes, checked and compiled in {time:.1} ms", text.len());
}

/// Measures the memory of one node by the number of endpoints, teams and running requests.
async fn node_memory() {
    println!("\n## Memory of one node process, KiB\n");
    println!("| varied | count | VmRSS |");
    println!("|---|---|---|");
    let shape = Shape {
        nodes: 1,
        engines: 8,
        processes: false,
        teams: 5,
        adapters: 100,
        slots: 8,
        batch: 4096,
        rate: 200.0,
    };
    for engines in [8, 32, 64, 128] {
        let fleet = Fleet::start(Shape { engines, ..shape.clone() }).await;
        print_resident("owned endpoints", engines, &fleet).await;
    }
    for teams in [5, 50, 100, 200] {
        let fleet = Fleet::start(Shape { teams, adapters: 200, ..shape.clone() }).await;
        print_resident("teams", teams, &fleet).await;
    }
    for (what, rate, counts) in [
        ("running streams", 1.0, [0, 250, 500, 1000]),
        // The buffers of a stream fill up if its caller does not read.
        ("streams whose caller does not read", 1000.0, [0, 50, 100, 200]),
    ] {
        let fleet = Fleet::start(Shape { teams: 1, engines: 2, rate, ..shape.clone() }).await;
        let mut open = Vec::new();
        let mut points = Vec::new();
        for count in counts {
            while open.len() < count {
                open.push(start_stream(fleet.nodes[0].callers, open.len()).await);
            }
            let resident = print_resident(what, count, &fleet).await;
            points.push((count as f64, resident as f64 * 1024.0));
        }
        println!("| {what} | slope | {:.0} bytes |", fit(&points).0);
    }
}

/// Waits for [`SETTLE_TIME`], then prints and returns the node's resident memory in KiB.
async fn print_resident(what: &str, count: usize, fleet: &Fleet) -> u64 {
    sleep(SETTLE_TIME).await;
    let resident = fleet.nodes[0].process.resident();
    println!("| {what} | {count} | {resident} |");
    resident
}

/// Starts a long stream on the base model and reads its first bytes.
async fn start_stream(to: SocketAddr, n: usize) -> TcpStream {
    let body = format!(
        "{{\"model\":\"base\",\"prompt\":\"stream {n}\",\"max_tokens\":8000,\"stream\":true}}"
    );
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: node\r\nauthorization: Bearer {}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n",
        key(0),
        body.len()
    );
    let mut stream = TcpStream::connect(to).await.unwrap();
    stream.write_all((head + &body).as_bytes()).await.unwrap();
    let mut first = [0; 256];
    let count = stream.read(&mut first).await.unwrap();
    let text = String::from_utf8_lossy(&first[..count]);
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
    stream
}

/// Runs all measurements.
pub async fn run() {
    heartbeats();
    structures();
    node_memory().await;
}
