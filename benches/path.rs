//! Measures the latency and CPU time that a node adds to a request, and the memory and CPU
//! time of an idle node.
//!
//! `cargo build --release --workspace && cargo bench --bench path [-- --seconds 10]`.
//! The platform, four engines, two nodes and the load tool are separate processes. The load
//! tool sends the same requests alternately to the engines directly and through the nodes.

mod fleet;

use std::net::SocketAddr;
use std::time::Duration;

use fleet::{Fleet, Shape, run_load};
use serde_json::Value;
use tokio::time::sleep;

/// Number of adapters loaded at every engine.
const LOADED_ADAPTERS: usize = 16;
/// Requests per second of the latency runs.
const RATE: f64 = 2000.0;
/// Numbers of configured adapters in the memory runs.
const ADAPTER_COUNTS: [usize; 5] = [0, 1000, 3000, 11_000, 33_000];

fn main() {
    let mut args = pico_args::Arguments::from_env();
    let seconds: f64 = args.opt_value_from_str("--seconds").unwrap().unwrap_or(10.0);
    let rounds: u64 = args.opt_value_from_str("--rounds").unwrap().unwrap_or(3);
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(latency(seconds, rounds));
    runtime.block_on(memory(seconds));
}

fn shape(nodes: usize, engines: usize, adapters: usize) -> Shape {
    Shape {
        nodes,
        engines,
        processes: true,
        teams: 1,
        adapters,
        slots: LOADED_ADAPTERS,
        batch: 64,
        rate: 200.0,
    }
}

/// Runs the load tool. Wrong and refused answers are reported, because they invalidate the
/// measurement.
fn run(targets: &[SocketAddr], keys: &str, rate: f64, seconds: f64, more: &[&str]) -> Value {
    let report = run_load(targets, keys, rate, seconds, more);
    let total = &report["total"];
    if total["right"] != total["sent"] {
        println!("NOT ALL ANSWERS RIGHT: {total} {} {}", report["refusals"], report["examples"]);
    }
    report
}

/// Measures the latency that the nodes add.
async fn latency(seconds: f64, rounds: u64) {
    let fleet = Fleet::start(shape(2, 4, LOADED_ADAPTERS)).await;
    let keys = fleet.keys(LOADED_ADAPTERS);
    // Warm-up: the first requests open connections.
    run(&fleet.callers(), &keys, 200.0, 5.0, &["--mix", "1:1:0", "--tokens", "4"]);
    println!("## Added latency at {RATE} requests/s, streams and whole answers of 1 to 4 tokens\n");
    println!(
        "| round | target | answers | end p50 ms | end p99 ms | first p50 ms | first p99 ms |"
    );
    println!("|---|---|---|---|---|---|---|");
    let mut sums = [[0.0; 4]; 2];
    for round in 1..=rounds {
        let seed = round.to_string();
        let more = ["--mix", "1:1:0", "--tokens", "4", "--seed", &seed];
        for (at, (name, targets)) in
            [("engines", fleet.engines.clone()), ("nodes", fleet.callers())].iter().enumerate()
        {
            let report = run(targets, &keys, RATE, seconds, &more);
            let times = [
                &report["latency"]["p50"],
                &report["latency"]["p99"],
                &report["first"]["p50"],
                &report["first"]["p99"],
            ]
            .map(|v| v.as_f64().unwrap());
            for (sum, time) in sums[at].iter_mut().zip(times) {
                *sum += time;
            }
            let [a, b, c, d] = times;
            let right = &report["total"]["right"];
            println!("| {round} | {name} | {right} | {a:.2} | {b:.2} | {c:.2} | {d:.2} |");
        }
    }
    let [a, b, c, d] = std::array::from_fn(|n| (sums[1][n] - sums[0][n]) / rounds.max(1) as f64);
    println!("| mean | difference | | {a:.2} | {b:.2} | {c:.2} | {d:.2} |\n");
    token_cpu(&fleet, &keys, seconds);
}

/// Measures the CPU time per request and per streamed token, from runs with short and with long
/// answers.
fn token_cpu(fleet: &Fleet, keys: &str, seconds: f64) {
    let before = fleet.cpu();
    std::thread::sleep(Duration::from_secs_f64(seconds));
    let idle = fleet.cpu() - before;
    println!("## CPU time of the nodes, streams only\n");
    println!("Idle nodes used {idle:.2} s in the time of a run, which is not counted below.\n");
    println!("| requests/s | requests | tokens | CPU s | direct gap p50 ms | gap p50 ms |");
    println!("|---|---|---|---|---|---|");
    let measure = |rate: f64, most: &str| {
        let more = ["--mix", "1:0:0", "--tokens", most];
        let direct = run(&fleet.engines, keys, rate, seconds, &more);
        let before = fleet.cpu();
        let report = run(&fleet.callers(), keys, rate, seconds, &more);
        let cpu = fleet.cpu() - before - idle;
        let requests = report["total"]["sent"].as_f64().unwrap();
        let tokens = report["total"]["tokens"].as_f64().unwrap();
        let gap = |r: &Value| r["gap"]["p50"].as_f64().unwrap();
        let (direct, gap) = (gap(&direct), gap(&report));
        println!("| {rate} | {requests} | {tokens} | {cpu:.2} | {direct:.3} | {gap:.3} |");
        (requests, tokens, cpu)
    };
    let (r1, t1, c1) = measure(1000.0, "2");
    let (r2, t2, c2) = measure(200.0, "128");
    // Solves CPU = requests * request + tokens * token for both runs.
    let det = r1 * t2 - r2 * t1;
    let request = (c1 * t2 - c2 * t1) / det * 1e6;
    let token = (r1 * c2 - r2 * c1) / det * 1e6;
    println!("\nCPU per request {request:.0} us, per streamed token {token:.1} us\n");
}

/// Measures the memory and CPU time of an idle node by the number of configured adapters.
async fn memory(seconds: f64) {
    println!("## One idle node with two engines\n");
    println!("| adapters | VmRSS KiB | VmHWM KiB | CPU % of a core |");
    println!("|---|---|---|---|");
    let mut points = Vec::new();
    for adapters in ADAPTER_COUNTS {
        let fleet = Fleet::start(shape(1, 2, adapters)).await;
        sleep(Duration::from_secs(3)).await;
        let before = fleet.cpu();
        sleep(Duration::from_secs_f64(seconds)).await;
        let cpu = (fleet.cpu() - before) / seconds * 100.0;
        let process = &fleet.nodes[0].process;
        let (resident, peak) = (process.resident(), process.peak());
        println!("| {adapters} | {resident} | {peak} | {cpu:.2} |");
        points.push((adapters as f64, resident as f64 * 1024.0));
    }
    let (slope, base) = fleet::fit(&points);
    println!("\nslope {slope:.0} bytes per adapter, intercept {:.1} MiB", base / 1048576.0);
}
