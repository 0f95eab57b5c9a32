//! Measures the control traffic and load of a cell by its number of nodes, and the cost per
//! unit of state.
//!
//! `cargo build --release --workspace && cargo bench --bench control
//! [-- --nodes 2,4,8,12,16 --seconds 20 --rate 20 --units]`. Nodes are separate processes;
//! the platform and eight engines per node run inside the bench. `--units` measures only the
//! cost per unit of state.

mod fleet;
mod units;

use std::time::Duration;

use fleet::{Fleet, Shape, fit, run_load};
use tokio::time::sleep;

/// Engines per node.
const ENGINES: usize = 8;
/// Teams in the configuration document.
const TEAMS: usize = 5;
/// Adapters in the configuration document.
const ADAPTERS: usize = 400;
/// Adapters that the load requests, per team.
const REQUESTED_ADAPTERS: usize = 40;
/// Adapter slots of an engine.
const SLOTS: usize = 8;
/// Duration of the warm-up load, and of the pause after it, so that adapter loads and ownership
/// reach a steady state.
const WARMUP: Duration = Duration::from_secs(12);

/// Counters of a fleet, summed over all nodes.
struct Sample {
    bytes: f64,
    frames: f64,
    cpu: f64,
    writes: f64,
    reads: f64,
}

impl Sample {
    /// Reads the counters.
    async fn read(fleet: &Fleet) -> Self {
        let (mut bytes, mut frames) = (0.0, 0.0);
        for n in 0..fleet.nodes.len() {
            let status = fleet.status(n).await.expect("status of a node");
            bytes += status["sent"]["bytes"].as_f64().unwrap();
            frames += status["sent"]["frames"].as_f64().unwrap();
        }
        let platform = fleet.platform.as_ref().expect("platform in this process");
        let (writes, reads) = (platform.commits() as f64, platform.reads() as f64);
        Self { bytes, frames, cpu: fleet.cpu(), writes, reads }
    }

    /// Bytes and frames sent, CPU in percent of a core, table writes and table reads, each per
    /// second and node.
    fn rates(&self, before: &Self, nodes: usize, seconds: f64) -> [f64; 5] {
        [
            self.bytes - before.bytes,
            self.frames - before.frames,
            (self.cpu - before.cpu) * 100.0,
            self.writes - before.writes,
            self.reads - before.reads,
        ]
        .map(|v| v / seconds / nodes as f64)
    }
}

fn main() {
    let mut args = pico_args::Arguments::from_env();
    let nodes: String =
        args.opt_value_from_str("--nodes").unwrap().unwrap_or("2,4,8,12,16".to_owned());
    let nodes: Vec<usize> = nodes.split(',').map(|n| n.parse().unwrap()).collect();
    let seconds: f64 = args.opt_value_from_str("--seconds").unwrap().unwrap_or(20.0);
    let rate: f64 = args.opt_value_from_str("--rate").unwrap().unwrap_or(20.0);
    let units = args.contains("--units");
    let runtime = tokio::runtime::Runtime::new().unwrap();
    if units {
        return runtime.block_on(units::run());
    }
    let mut rest = Vec::new();
    let mut loaded = Vec::new();
    for n in nodes {
        let [a, b] = runtime.block_on(measure_cell(n, seconds, rate));
        rest.push((n, a));
        loaded.push((n, b));
    }
    print_table("at rest", &rest);
    print_table(&format!("under {rate} requests/s per node"), &loaded);
}

/// Measures the rates of a cell, idle and under load.
async fn measure_cell(nodes: usize, seconds: f64, rate: f64) -> [[f64; 5]; 2] {
    let shape = Shape {
        nodes,
        engines: nodes * ENGINES,
        processes: false,
        teams: TEAMS,
        adapters: ADAPTERS,
        slots: SLOTS,
        batch: 16,
        rate: 200.0,
    };
    let fleet = Fleet::start(shape).await;
    // The warm-up fills the adapter slots, so that load reports have their usual size.
    send_load(&fleet, rate, WARMUP.as_secs_f64()).await;
    sleep(WARMUP).await;
    let before = Sample::read(&fleet).await;
    sleep(Duration::from_secs_f64(seconds)).await;
    let idle = Sample::read(&fleet).await;
    send_load(&fleet, rate, seconds).await;
    let loaded = Sample::read(&fleet).await;
    [idle.rates(&before, nodes, seconds), loaded.rates(&idle, nodes, seconds)]
}

/// Sends load to all nodes and reports wrong or refused answers.
async fn send_load(fleet: &Fleet, rate: f64, seconds: f64) {
    let (targets, keys) = (fleet.callers(), fleet.keys(REQUESTED_ADAPTERS));
    let rate = rate * targets.len() as f64;
    let run =
        move || run_load(&targets, &keys, rate, seconds, &["--mix", "1:1:0", "--tokens", "8"]);
    let report = tokio::task::spawn_blocking(run).await.unwrap();
    let total = &report["total"];
    if total["right"] != total["sent"] {
        println!("not all answers right: {total} {}", report["refusals"]);
    }
}

fn print_table(title: &str, points: &[(usize, [f64; 5])]) {
    println!("\n## Per node and second, {title}\n");
    println!("| nodes | bytes sent | frames sent | CPU % of a core | table writes | reads |");
    println!("|---|---|---|---|---|---|");
    for (nodes, [bytes, frames, cpu, writes, reads]) in points {
        println!("| {nodes} | {bytes:.0} | {frames:.1} | {cpu:.2} | {writes:.2} | {reads:.2} |");
    }
    let line = |n: usize| {
        let points: Vec<(f64, f64)> = points.iter().map(|(x, y)| (*x as f64, y[n])).collect();
        fit(&points)
    };
    let lines: [(f64, f64); 5] = std::array::from_fn(line);
    let [b, f, c, w, r] = lines.map(|(slope, _)| slope);
    println!("| slope per node | {b:.0} | {f:.2} | {c:.3} | {w:.3} | {r:.3} |");
    let [b, f, c, w, r] = lines.map(|(_, intercept)| intercept);
    println!("| intercept | {b:.0} | {f:.1} | {c:.2} | {w:.2} | {r:.2} |");
}
