//! The command line: arguments, help, output and exit codes.
//!
//! Commands live in `commands`. Everything they need from outside (platform, time,
//! random numbers, credential) is in [`World`], so that tests run them in memory.

use std::ffi::OsString;
use std::io::Write;

use pico_args::Arguments;
use rand::CryptoRng;
use serde_json::{Value, json};

use crate::commands;
use crate::error::{Category, Error, Result};
use crate::help;
use crate::keys::Secret;
use crate::node_settings::Settings;
use crate::storage::{Objects, Table};
use crate::time::Ms;

/// Success.
pub const OK: i32 = 0;
/// Findings, a refusal, or a race that was lost.
pub const REFUSED: i32 = 1;
/// Wrong use of the command line.
pub const USAGE: i32 = 2;
/// A service or node was not reachable; the outcome may be unknown.
pub const UNREACHABLE: i32 = 3;

/// Makes clients of the platform's services.
pub trait Connect {
    /// Table service.
    type Table: Table;
    /// Object store.
    type Objects: Objects;

    /// Clients for the platform that the settings name.
    ///
    /// # Errors
    /// The settings are not usable.
    fn connect(&self, settings: &Settings) -> Result<(Self::Table, Self::Objects)>;
}

/// What commands need from outside.
pub struct World<C, R> {
    /// Platform clients.
    pub connect: C,
    /// Random numbers for keys and write ids.
    pub rng: R,
    /// Wall time.
    pub now: Ms,
    /// Name of the operator.
    pub user: String,
    /// Credential from the environment.
    pub credential: Option<Secret>,
}

/// Result of a command in both forms.
#[derive(Clone, Debug, PartialEq)]
pub struct Output {
    /// For people; ends with a line break unless empty.
    pub text: String,
    /// For programs.
    pub json: Value,
    /// Exit code.
    pub code: i32,
}

impl Output {
    /// A successful result.
    pub fn ok(text: impl Into<String>, json: Value) -> Self {
        Self { text: text.into(), json, code: OK }
    }
}

/// Why a command ended without output.
#[derive(Clone, Debug, PartialEq)]
pub enum Stop {
    /// Wrong use.
    Usage(String),
    /// A failure.
    Failed(Error),
}

impl From<Error> for Stop {
    fn from(e: Error) -> Self {
        Self::Failed(e)
    }
}

impl From<pico_args::Error> for Stop {
    fn from(e: pico_args::Error) -> Self {
        Self::Usage(e.to_string())
    }
}

/// Runs one command line (without the program's name) and returns the exit code.
pub async fn run<C: Connect, R: CryptoRng>(
    args: Vec<OsString>,
    world: &mut World<C, R>,
    out: &mut impl Write,
    err: &mut impl Write,
) -> i32 {
    let mut args = Arguments::from_vec(args);
    let command = match args.subcommand() {
        Ok(command) => command,
        Err(e) => {
            let _ = writeln!(err, "{e}");
            return USAGE;
        }
    };
    let wants_help = args.contains(["-h", "--help"]);
    let as_json = args.contains("--json");
    let Some(command) = command else {
        let version = args.contains("--version");
        let text = if version { concat!(env!("CARGO_PKG_VERSION"), "\n") } else { help::MAIN };
        // Without a command, help is an answer only if it was asked for.
        let asked = wants_help || version;
        let _ = if asked { write!(out, "{text}") } else { write!(err, "{text}") };
        return if asked { OK } else { USAGE };
    };
    let Some(help) = help::of(&command) else {
        let _ = writeln!(err, "`{command}` is not a command\n\n{}", help::MAIN);
        return USAGE;
    };
    if wants_help {
        let _ = write!(out, "{help}");
        return OK;
    }
    // Pipes may be closed early by the reader; that is no failure of the command.
    match dispatch(&command, args, world).await {
        Ok(output) => {
            let _ = match as_json {
                true => writeln!(out, "{:#}", output.json),
                false => write!(out, "{}", output.text),
            };
            output.code
        }
        Err(Stop::Usage(message)) => {
            let _ = writeln!(err, "{message}\n\n{help}");
            USAGE
        }
        Err(Stop::Failed(e)) => {
            let unreachable = e.category() == Category::Io;
            let _ = match as_json {
                true => writeln!(out, "{:#}", json!({"error": e.to_string()})),
                false => writeln!(err, "{e}"),
            };
            if unreachable { UNREACHABLE } else { REFUSED }
        }
    }
}

async fn dispatch<C: Connect, R: CryptoRng>(
    command: &str,
    args: Arguments,
    world: &mut World<C, R>,
) -> std::result::Result<Output, Stop> {
    match command {
        "serve" => commands::serve(args).await,
        // Runs on a runtime of its own, which `main` starts.
        "edge" => Err(Stop::Usage("`edge` takes exactly `--settings FILE`".to_owned())),
        "check" => commands::check(args),
        "apply" => commands::apply(args, world).await,
        "promote" => commands::promote(args, world).await,
        "keys" => commands::keys(args, world),
        "status" => commands::status(args, world).await,
        "drain" => commands::drain(args, world).await,
        "refusals" => commands::refusals(args, world).await,
        "burn" => commands::burn(args, world).await,
        "demo" => commands::demo(args).await,
        other => Err(Stop::Usage(format!("`{other}` is not a command"))),
    }
}
