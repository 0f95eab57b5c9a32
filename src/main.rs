//! The program `sycamorefork`: a node, and the operators' client.

use std::io::{stderr, stdout};
use std::process::ExitCode;

use sycamorefork::cli::{World, run};
use sycamorefork::keys::Secret;
use sycamorefork::ports::HttpPlatform;
use sycamorefork::time::wall_clock;

fn main() -> ExitCode {
    let mut world = World {
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
    let code = runtime.block_on(run(args, &mut world, &mut stdout(), &mut stderr()));
    ExitCode::from(u8::try_from(code).unwrap_or(1))
}
