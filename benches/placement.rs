//! Compares the placement policy with round robin, least outstanding requests and plain
//! rendezvous hashing, in a simulation of the systems served.
//!
//! `cargo bench --bench placement -- --seed 1 --scale 1 --skew 1.5`. Scale 1 measures 600 s
//! after a warm-up of 120 s; `--teams` adds the share of each team. Columns:
//!
//! - load stalls: requests per 1,000 whose adapter became ready only after their arrival, or
//!   that were refused while it was absent;
//! - held up: these, and requests that waited although the batch had room because a request
//!   ahead of them waited for a load;
//! - TTFT: time to first token of answered requests;
//! - efficiency: mean tokens per engine step over the batch size;
//! - worst team: lowest ratio of weighted answers to fair share of any team;
//! - refused: requests per 1,000 of teams within their rate that got no first token by their
//!   deadline.
//!
//! The lower bound is the miss rate of one cache with the slots of all engines, instant loads,
//! no pins and optimal replacement.

mod model;

use model::bound::optimal_miss_rate;
use model::traffic::{FLOODING_TEAM, Traffic};
use model::{Deployment, Policy, Report, Sim, engine_rate, fair_share};

const DEPLOYMENTS: [Deployment; 2] = [
    Deployment { name: "Association", engines: 9, store: (3.0, 2, 16) },
    Deployment { name: "Barreiro", engines: 12, store: (9.0, 3, 24) },
];

const POLICIES: [(Policy, &str); 5] = [
    (Policy::CellRouter, "this policy"),
    (Policy::RoundRobin, "round robin"),
    (Policy::LeastOutstanding, "least outstanding"),
    (Policy::Rendezvous, "rendezvous"),
    (Policy::RendezvousOvertaking, "rendezvous, overtaking"),
];

fn main() {
    let mut args = pico_args::Arguments::from_env();
    let seed: u64 = args.opt_value_from_str("--seed").unwrap().unwrap_or(1);
    let scale: f64 = args.opt_value_from_str("--scale").unwrap().unwrap_or(1.0);
    let skew: f64 = args.opt_value_from_str("--skew").unwrap().unwrap_or(1.5);
    let warmup_end = (120e6 * scale) as u64;
    let length = warmup_end + (600e6 * scale) as u64;
    println!("seed {seed}, scale {scale}, Zipf exponent {skew}\n");
    for deployment in DEPLOYMENTS {
        let rate = 0.8 * engine_rate() * deployment.engines as f64;
        for flood in [1.0, 5.0] {
            let traffic = Traffic::new(seed, rate, length, skew, flood);
            let title = if flood > 1.0 { ", one team sends five times its rate" } else { "" };
            println!("### {}, {rate:.1} requests/s{title}\n", deployment.name);
            println!(
                "| policy | load stalls | held up | TTFT p50 ms | TTFT p99 ms | efficiency | \
                 worst team | refused | loads/s |"
            );
            println!("|---|---|---|---|---|---|---|---|---|");
            for (policy, name) in POLICIES {
                let report = Sim::new(policy, deployment, &traffic, warmup_end).run();
                let flooding = (flood > 1.0).then_some(FLOODING_TEAM);
                print(name, report, flooding, (length - warmup_end) as f64 / 1e6);
            }
            let bound = optimal_miss_rate(&traffic, deployment.engines, warmup_end);
            println!("\nLower bound of load stalls without prefetching: {bound:.1}\n");
        }
    }
}

fn print(name: &str, mut report: Report, flood: Option<usize>, seconds: f64) {
    let fair = fair_share(&report.sent, flood);
    let worst = (0..5).map(|t| report.answered[t] / fair[t]).fold(f64::MAX, f64::min);
    let within: Vec<_> = (0..5).filter(|t| Some(*t) != flood).collect();
    let refused: u64 = within.iter().map(|t| report.refused[*t]).sum();
    // All teams have the same mix of priorities, so that their shares of the weighted demand
    // equal their shares of the requests.
    let weight: f64 = report.sent.iter().sum();
    let part = within.iter().map(|t| report.sent[*t]).sum::<f64>() / weight;
    report.first.sort_unstable();
    let rank = |p: f64| {
        let last = report.first.len().saturating_sub(1);
        report.first.get((last as f64 * p) as usize).map_or(0.0, |us| *us as f64 / 1e3)
    };
    if std::env::args().any(|a| a == "--teams") {
        let share = (0..5).map(|t| format!("{:.3}", report.answered[t] / fair[t]));
        let share: Vec<_> = share.collect();
        println!("answered over fair share {share:?}, refused {:?}", report.reasons);
    }
    let per = |n: u64| n as f64 * 1e3 / report.requests.max(1) as f64;
    println!(
        "| {name} | {:.1} | {:.1} | {:.0} | {:.0} | {:.3} | {worst:.3} | {:.1} | {:.2} |",
        per(report.stalls),
        per(report.blocked),
        rank(0.5),
        rank(0.99),
        report.tokens as f64 / report.steps.max(1) as f64 / model::BATCH as f64,
        per(refused) / part,
        report.loads as f64 / seconds,
    );
}
