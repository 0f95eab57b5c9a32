//! Runs the fault soak for one or more seeds.

use std::process::ExitCode;

use soak::{check, fleet, plan};

const USAGE: &str = "\
soak [--seed N] [--seeds N] [--seconds N | --minutes N] [--nodes N] [--engines N]
     [--break FAILPOINT] [--plan]

  --seed N        first seed (1)
  --seeds N       number of consecutive seeds to run (1)
  --seconds N     duration of the run of one seed (45)
  --minutes N     duration of the run of one seed; takes precedence over --seconds
  --nodes N       number of nodes, each a process (3)
  --engines N     number of model engines (2)
  --break NAME    failpoint of the nodes to activate, in debug builds
  --plan          print the faults of each seed without running them";

struct Options {
    seed: u64,
    seeds: u64,
    length_ms: u64,
    size: plan::Size,
    failpoint: Option<String>,
    plan: bool,
}

fn parse_options() -> Result<Options, pico_args::Error> {
    let mut args = pico_args::Arguments::from_env();
    let minutes: Option<u64> = args.opt_value_from_str("--minutes")?;
    let seconds = args.opt_value_from_str("--seconds")?.unwrap_or(45);
    let default = plan::Size::default();
    let options = Options {
        size: plan::Size {
            nodes: args.opt_value_from_str("--nodes")?.unwrap_or(default.nodes),
            engines: args.opt_value_from_str("--engines")?.unwrap_or(default.engines),
            ..default
        },
        seed: args.opt_value_from_str("--seed")?.unwrap_or(1),
        seeds: args.opt_value_from_str("--seeds")?.unwrap_or(1),
        length_ms: minutes.map_or(seconds, |m| m * 60) * 1_000,
        failpoint: args.opt_value_from_str("--break")?,
        plan: args.contains("--plan"),
    };
    match args.finish().as_slice() {
        [] => Ok(options),
        [word, ..] => Err(pico_args::Error::ArgumentParsingFailed {
            cause: format!("unknown argument {word:?}"),
        }),
    }
}

fn print_plan(events: &[plan::Event]) {
    for e in events {
        println!("  {:>6} to {:>6} ms  {:?}", e.at, e.end, e.fault);
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let options = match parse_options() {
        Ok(options) => options,
        Err(e) => {
            eprintln!("soak: {e}\n{USAGE}");
            return ExitCode::from(2);
        }
    };
    let mut failed_seeds = 0;
    for seed in options.seed..options.seed + options.seeds {
        let events = plan::plan(seed, options.length_ms, options.size);
        if options.plan {
            println!("seed {seed}:");
            print_plan(&events);
            continue;
        }
        let Options { length_ms, size, .. } = options;
        let history =
            fleet::run(seed, length_ms, size, &events, options.failpoint.as_deref()).await;
        let findings = check::check(&history);
        println!("seed {seed}: {}; {} findings", history.summary(), findings.len());
        for line in &findings {
            println!("  {line}");
        }
        if !findings.is_empty() {
            failed_seeds += 1;
            print_plan(&events);
        }
    }
    ExitCode::from(u8::from(failed_seeds > 0))
}
