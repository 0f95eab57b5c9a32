//! Log output as JSON lines.
//!
//! The fields of a line (request, team, attempt) travel in front of the message,
//! because the `log` crate is used without its key-value feature. Keys never appear:
//! they are held as `keys::Secret`, whose `Debug` and `Display` do not show them.

use std::fmt;
use std::io::{self, Write};

use flexi_logger::{Cleanup, Criterion, DeferredNow, FileSpec, Logger, LoggerHandle, Naming};
use log::Record;
use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};
use crate::ids::{AttemptId, RequestId, Team};
use crate::keys;
use crate::node_settings::LogSettings;

/// Separates fields from the message. JSON text never contains it unescaped.
const MARK: char = '\u{1f}';
/// Size at which a log file is rotated, in bytes.
const FILE_BYTES: u64 = 32 << 20;
/// Rotated files that are kept.
const FILES_KEPT: usize = 8;

/// Fields of a log line, written in front of the message.
///
/// ```
/// use sycamorefork::logging::LogFields;
/// let line = format!("{}stream ended", LogFields::default().team(&"a".into()));
/// assert!(line.ends_with("stream ended"));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogFields {
    #[serde(skip_serializing_if = "Option::is_none")]
    request: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    team: Option<Team>,
    #[serde(skip_serializing_if = "Option::is_none")]
    attempt: Option<String>,
}

impl LogFields {
    /// Names the request.
    #[must_use]
    pub fn request(mut self, id: RequestId) -> Self {
        self.request = Some(id.to_string());
        self
    }

    /// Names the team.
    #[must_use]
    pub fn team(mut self, team: &Team) -> Self {
        self.team = Some(team.clone());
        self
    }

    /// Names the attempt.
    #[must_use]
    pub fn attempt(mut self, id: AttemptId) -> Self {
        self.attempt = Some(id.to_string());
        self
    }
}

impl fmt::Display for LogFields {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let json = serde_json::to_string(self).map_err(|_| fmt::Error)?;
        write!(f, "{MARK}{json}{MARK}")
    }
}

#[derive(Serialize)]
struct Line<'a> {
    at: &'a str,
    level: &'a str,
    module: &'a str,
    #[serde(flatten)]
    fields: LogFields,
    message: &'a str,
}

/// One log line as JSON, without a line break.
pub fn render_line(at: &str, level: &str, module: &str, message: &str) -> String {
    let split = message.strip_prefix(MARK).and_then(|m| m.split_once(MARK));
    let parsed = split.and_then(|(json, text)| Some((serde_json::from_str(json).ok()?, text)));
    let (fields, message) = parsed.unwrap_or((LogFields::default(), message));
    // A second line of defence, for keys that a caller put into a path or a name.
    let message = &keys::redact(message);
    let line = Line { at, level, module, fields, message };
    serde_json::to_string(&line).unwrap_or_default()
}

fn format(w: &mut dyn Write, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
    let at = now.now_utc_owned().format("%Y-%m-%dT%H:%M:%S%.3fZ").to_string();
    let message = record.args().to_string();
    let module = record.module_path().unwrap_or_default();
    w.write_all(render_line(&at, record.level().as_str(), module, &message).as_bytes())
}

/// Starts the logger. Logging stops when the handle is dropped.
///
/// # Errors
/// The level is unknown, the directory cannot be written, or a logger is running.
pub fn start(settings: &LogSettings) -> Result<LoggerHandle> {
    let wrong = |e: flexi_logger::FlexiLoggerError| Error::input("log", e);
    let logger = Logger::try_with_str(&settings.level).map_err(wrong)?.format(format);
    let logger = match &settings.directory {
        Some(directory) => logger
            .log_to_file(FileSpec::default().directory(directory).basename("sycamorefork"))
            .rotate(
                Criterion::Size(FILE_BYTES),
                Naming::Numbers,
                Cleanup::KeepLogFiles(FILES_KEPT),
            ),
        None => logger.log_to_stderr(),
    };
    logger.start().map_err(wrong)
}
