//! Plays a case of the review: `scene CASE RECORD`. Exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod http;
mod json;
mod one;
mod runner;
mod store;
mod stream;
mod world;

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    if args.get(1).is_some_and(|a| a == "runner") {
        return ExitCode::from(runner::Runner::main(&args[2..]));
    }
    let [_, case, record] = args.as_slice() else {
        eprintln!("scene CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let code = match case.as_str() {
        "late-release" => one::late_release(trouble, record),
        "cut-body" => stream::cut_body(trouble, record),
        "cut-stream" => stream::cut_stream(trouble, record),
        other => {
            eprintln!("unknown case {other}");
            2
        }
    };
    ExitCode::from(code)
}
