//! The `sycamorefork` program: runs a node and provides the operators' commands.

use std::io::{stderr, stdout};
use std::process::ExitCode;

use sycamorefork::cli::{Environment, run};
use sycamorefork::keys::Secret;
use sycamorefork::ports::HttpPlatform;
use sycamorefork::time::wall_clock;

/// Exit code of an edge node with invalid settings.
const EXIT_BAD_SETTINGS: u8 = 4;

/// Runs an edge node on a single thread, as its VMs have less than one core.
fn run_edge(path: &str) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("cannot start the runtime: {e}");
            return ExitCode::from(1);
        }
    };
    sycamorefork::failpoint::set_from_environment();
    let local = tokio::task::LocalSet::new();
    match local.block_on(&runtime, sycamorefork::edge::run(path)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            let invalid_settings = e.category() == sycamorefork::Category::Input;
            ExitCode::from(if invalid_settings { EXIT_BAD_SETTINGS } else { 1 })
        }
    }
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if let [command, option, path] = args.as_slice()
        && command == "edge"
        && option == "--settings"
    {
        return run_edge(path);
    }
    let mut env = Environment {
        connect: HttpPlatform,
        rng: rand::rng(),
        now: wall_clock(),
        user: std::env::var("USER").unwrap_or_else(|_| "unknown".to_owned()),
        credential: std::env::var("SYCAMOREFORK_CREDENTIAL").ok().map(Secret::new),
    };
    let args = std::env::args_os().skip(1).collect();
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("cannot start the runtime: {e}");
            return ExitCode::from(1);
        }
    };
    let code = runtime.block_on(run(args, &mut env, &mut stdout(), &mut stderr()));
    ExitCode::from(u8::try_from(code).unwrap_or(1))
}
