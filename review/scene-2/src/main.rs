//! Runs a case of the review: `scene-2 CASE RECORD on|off`, in the root of the repository.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! `off` the case does the same without its disruption.

mod adapters;
mod client;
mod http;
mod json;
mod limit;
mod node;
mod quota;
mod record;
mod runner;
mod store;
mod world;

use std::env;
use std::path::Path;
use std::process::ExitCode;

use record::Record;

fn main() -> ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    let [case, path, trouble] = args.as_slice() else {
        eprintln!("scene-2 CASE RECORD on|off");
        return ExitCode::from(2);
    };
    let trouble = trouble != "off";
    let held = Record::create(Path::new(path)).map_err(|e| e.to_string()).and_then(|record| {
        let held = match case.as_str() {
            "adapters" => adapters::run(&record, trouble),
            "quota" => quota::run(&record, trouble),
            "limit" => limit::run(&record, trouble),
            other => Err(format!("no case {other}")),
        };
        match &held {
            Ok(true) => record.say("the rule held"),
            Ok(false) => record.say("the rule was broken"),
            Err(e) => record.say(&format!("the case could not run: {e}")),
        }
        held
    });
    match held {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(2)
        }
    }
}
