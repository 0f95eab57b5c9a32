//! Runs seeds of the fault soak.

use std::process::ExitCode;

use soak::{check, fleet, plan};

const USAGE: &str = "\
soak [--seed N] [--seeds N] [--seconds N | --minutes N] [--break FAILPOINT] [--plan]

  --seed N        first seed (1)
  --seeds N       number of seeds, one after the other (1)
  --seconds N     length of a seed's run (45)
  --minutes N     length of a seed's run
  --break NAME    mechanism of the nodes to break on purpose, in debug builds
  --plan          print the faults of each seed and run nothing";

struct Options {
    seed: u64,
    seeds: u64,
    length: u64,
    broken: Option<String>,
    plan: bool,
}

fn options() -> Result<Options, pico_args::Error> {
    let mut args = pico_args::Arguments::from_env();
    let minutes: Option<u64> = args.opt_value_from_str("--minutes")?;
    let seconds = args.opt_value_from_str("--seconds")?.unwrap_or(45);
    let options = Options {
        seed: args.opt_value_from_str("--seed")?.unwrap_or(1),
        seeds: args.opt_value_from_str("--seeds")?.unwrap_or(1),
        length: minutes.map_or(seconds, |m| m * 60) * 1_000,
        broken: args.opt_value_from_str("--break")?,
        plan: args.contains("--plan"),
    };
    match args.finish().as_slice() {
        [] => Ok(options),
        [word, ..] => {
            Err(pico_args::Error::ArgumentParsingFailed { cause: format!("unknown {word:?}") })
        }
    }
}

fn print_plan(events: &[plan::Event]) {
    for e in events {
        println!("  {:>6} to {:>6} ms  {:?}", e.at, e.end, e.fault);
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let options = match options() {
        Ok(options) => options,
        Err(e) => {
            eprintln!("soak: {e}\n{USAGE}");
            return ExitCode::from(2);
        }
    };
    let mut wrong = 0;
    for seed in options.seed..options.seed + options.seeds {
        let events = plan::plan(seed, options.length);
        if options.plan {
            println!("seed {seed}:");
            print_plan(&events);
            continue;
        }
        let history = fleet::run(seed, options.length, &events, options.broken.as_deref()).await;
        let found = check::check(&history);
        println!("seed {seed}: {}; {} findings", history.summary(), found.len());
        for line in &found {
            println!("  {line}");
        }
        if !found.is_empty() {
            wrong += 1;
            print_plan(&events);
        }
    }
    ExitCode::from(u8::from(wrong > 0))
}
