//! Log output as JSON lines.
//!
//! The fields of a line (request, team, attempt) are encoded as a prefix of the message,
//! because the `log` crate is used without its key-value feature. Keys are never logged:
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

/// Delimits the fields in front of the message. JSON never contains it unescaped.
const FIELD_DELIMITER: char = '\u{1f}';
/// Size at which a log file is rotated, in bytes.
const MAX_FILE_BYTES: u64 = 32 << 20;
/// Number of rotated files that are kept.
const MAX_ROTATED_FILES: usize = 8;

/// Fields of a log line. `Display` writes them as a prefix of the message.
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
    /// Sets the request id.
    #[must_use]
    pub fn request(mut self, id: RequestId) -> Self {
        self.request = Some(id.to_string());
        self
    }

    /// Sets the team.
    #[must_use]
    pub fn team(mut self, team: &Team) -> Self {
        self.team = Some(team.clone());
        self
    }

    /// Sets the attempt id.
    #[must_use]
    pub fn attempt(mut self, id: AttemptId) -> Self {
        self.attempt = Some(id.to_string());
        self
    }
}

impl fmt::Display for LogFields {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let json = serde_json::to_string(self).map_err(|_| fmt::Error)?;
        write!(f, "{FIELD_DELIMITER}{json}{FIELD_DELIMITER}")
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

/// Renders a log line as JSON, without a line break.
///
/// `message` may start with [`LogFields`]; keys in it are redacted.
pub fn render_line(at: &str, level: &str, module: &str, message: &str) -> String {
    let split = message.strip_prefix(FIELD_DELIMITER).and_then(|m| m.split_once(FIELD_DELIMITER));
    let parsed = split.and_then(|(json, text)| Some((serde_json::from_str(json).ok()?, text)));
    let (fields, message) = parsed.unwrap_or((LogFields::default(), message));
    // Also redacts keys that a caller sent as part of a path or a name.
    let message = &keys::redact(message);
    let line = Line { at, level, module, fields, message };
    serde_json::to_string(&line).unwrap_or_default()
}

fn write_record(w: &mut dyn Write, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
    let at = now.now_utc_owned().format("%Y-%m-%dT%H:%M:%S%.3fZ").to_string();
    let message = record.args().to_string();
    let module = record.module_path().unwrap_or_default();
    w.write_all(render_line(&at, record.level().as_str(), module, &message).as_bytes())
}

/// Starts the logger, to files or to stderr. Logging stops when the handle is dropped.
///
/// # Errors
/// The level is unknown, the directory is not writable, or a logger is already running.
pub fn start(settings: &LogSettings) -> Result<LoggerHandle> {
    let invalid = |e: flexi_logger::FlexiLoggerError| Error::input("log", e);
    let logger = Logger::try_with_str(&settings.level).map_err(invalid)?.format(write_record);
    let logger = match &settings.directory {
        Some(directory) => logger
            .log_to_file(FileSpec::default().directory(directory).basename("sycamorefork"))
            .rotate(
                Criterion::Size(MAX_FILE_BYTES),
                Naming::Numbers,
                Cleanup::KeepLogFiles(MAX_ROTATED_FILES),
            ),
        None => logger.log_to_stderr(),
    };
    logger.start().map_err(invalid)
}
