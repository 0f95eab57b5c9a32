//! Command line interface: arguments, help, output and exit codes.
//!
//! The commands are in `commands`. All external inputs (platform, time, random numbers,
//! credential) are passed in [`Environment`], so that tests can run them in memory.

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

/// Exit code: success.
pub const EXIT_OK: i32 = 0;
/// Exit code: errors were found, the operation was refused, or a concurrent change came first.
pub const EXIT_REFUSED: i32 = 1;
/// Exit code: invalid use of the command line.
pub const EXIT_USAGE: i32 = 2;
/// Exit code: a service or node was not reachable; the outcome may be unknown.
pub const EXIT_UNREACHABLE: i32 = 3;

/// Creates clients for the platform's services.
pub trait Connect {
    /// Client of the table service.
    type Table: Table;
    /// Client of the object store.
    type Objects: Objects;

    /// Creates clients for the platform in the settings.
    ///
    /// # Errors
    /// The settings are not usable.
    fn connect(&self, settings: &Settings) -> Result<(Self::Table, Self::Objects)>;
}

/// External inputs of the commands.
pub struct Environment<C, R> {
    /// Creates the platform clients.
    pub connect: C,
    /// Random number generator for keys and transaction ids.
    pub rng: R,
    /// Wall clock time.
    pub now: Ms,
    /// Name of the operator, recorded in the history.
    pub user: String,
    /// Operators' credential from the environment variables.
    pub credential: Option<Secret>,
}

/// Result of a command, as text and as JSON.
#[derive(Clone, Debug, PartialEq)]
pub struct Output {
    /// Text output; ends with a line break unless empty.
    pub text: String,
    /// JSON output.
    pub json: Value,
    /// Exit code.
    pub code: i32,
}

impl Output {
    /// Creates an output with the exit code of success.
    pub fn success(text: impl Into<String>, json: Value) -> Self {
        Self { text: text.into(), json, code: EXIT_OK }
    }
}

/// Error of a command that has no output.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandError {
    /// Invalid arguments.
    Usage(String),
    /// The command failed.
    Failed(Error),
}

impl From<Error> for CommandError {
    fn from(e: Error) -> Self {
        Self::Failed(e)
    }
}

impl From<pico_args::Error> for CommandError {
    fn from(e: pico_args::Error) -> Self {
        Self::Usage(e.to_string())
    }
}

/// Runs one command line, given without the program's name, and returns the exit code.
pub async fn run<C: Connect, R: CryptoRng>(
    args: Vec<OsString>,
    env: &mut Environment<C, R>,
    out: &mut impl Write,
    err: &mut impl Write,
) -> i32 {
    let mut args = Arguments::from_vec(args);
    let command = match args.subcommand() {
        Ok(command) => command,
        Err(e) => {
            let _ = writeln!(err, "{e}");
            return EXIT_USAGE;
        }
    };
    let wants_help = args.contains(["-h", "--help"]);
    let as_json = args.contains("--json");
    let Some(command) = command else {
        let version = args.contains("--version");
        let text = if version { concat!(env!("CARGO_PKG_VERSION"), "\n") } else { help::MAIN };
        // A missing command is an error unless help or the version was requested.
        let requested = wants_help || version;
        let _ = if requested { write!(out, "{text}") } else { write!(err, "{text}") };
        return if requested { EXIT_OK } else { EXIT_USAGE };
    };
    let Some(help) = help::for_command(&command) else {
        let _ = writeln!(err, "`{command}` is not a command\n\n{}", help::MAIN);
        return EXIT_USAGE;
    };
    if wants_help {
        let _ = write!(out, "{help}");
        return EXIT_OK;
    }
    // Write errors are ignored: a reader that closes a pipe early does not make the command
    // fail.
    match dispatch(&command, args, env).await {
        Ok(output) => {
            let _ = match as_json {
                true => writeln!(out, "{:#}", output.json),
                false => write!(out, "{}", output.text),
            };
            output.code
        }
        Err(CommandError::Usage(message)) => {
            let _ = writeln!(err, "{message}\n\n{help}");
            EXIT_USAGE
        }
        Err(CommandError::Failed(e)) => {
            let unreachable = e.category() == Category::Io;
            let _ = match as_json {
                true => writeln!(out, "{:#}", json!({"error": e.to_string()})),
                false => writeln!(err, "{e}"),
            };
            if unreachable { EXIT_UNREACHABLE } else { EXIT_REFUSED }
        }
    }
}

async fn dispatch<C: Connect, R: CryptoRng>(
    command: &str,
    args: Arguments,
    env: &mut Environment<C, R>,
) -> std::result::Result<Output, CommandError> {
    match command {
        "serve" => commands::serve(args).await,
        // Reached only with other arguments: `main` runs `edge --settings FILE` itself, on a
        // separate runtime.
        "edge" => Err(CommandError::Usage(
            "`edge` takes `--settings FILE` and no other arguments".to_owned(),
        )),
        "check" => commands::check(args),
        "apply" => commands::apply(args, env).await,
        "promote" => commands::promote(args, env).await,
        "keys" => commands::keys(args, env),
        "status" => commands::status(args, env).await,
        "drain" => commands::drain(args, env).await,
        "refusals" => commands::refusals(args, env).await,
        "burn" => commands::burn(args, env).await,
        "demo" => commands::demo(args).await,
        other => Err(CommandError::Usage(format!("`{other}` is not a command"))),
    }
}
