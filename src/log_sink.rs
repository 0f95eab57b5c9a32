//! Log output of an edge node: JSON lines on stdout, bounded and never blocking.
//!
//! Lines collect in memory and a thread writes them. What exceeds the bound is
//! dropped and counted; the count is logged with the next line that fits.

use std::io::{self, Write};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{SyncSender, sync_channel};

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, Logger, LoggerHandle};
use log::Record;

use crate::error::{Error, Result};
use crate::logging::render_line;

/// Target of lines that are JSON objects already.
pub(crate) const DECISION: &str = "decision";
/// Bytes that collect before they are handed to the writing thread.
const BLOCK: usize = 16 << 10;
/// Blocks that wait for the writing thread.
const BLOCKS: usize = 16;
/// Bytes that collect while the writing thread is busy.
const BOUND: usize = 256 << 10;

/// Writer that never blocks the thread that logs.
struct Sink {
    buffer: Mutex<Vec<u8>>,
    blocks: SyncSender<Vec<u8>>,
    dropped: AtomicU64,
}

impl Sink {
    fn push(&self, line: &[u8]) {
        let Ok(mut buffer) = self.buffer.lock() else { return };
        if buffer.len() + line.len() > BOUND {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let note = format!("{{\"event\":\"log_lines_dropped\",\"count\":{dropped}}}\n");
            buffer.extend_from_slice(note.as_bytes());
        }
        buffer.extend_from_slice(line);
        buffer.push(b'\n');
        if buffer.len() >= BLOCK {
            self.hand_over(&mut buffer);
        }
    }

    fn hand_over(&self, buffer: &mut Vec<u8>) {
        if buffer.is_empty() {
            return;
        }
        match self.blocks.try_send(std::mem::take(buffer)) {
            Ok(()) => {}
            Err(std::sync::mpsc::TrySendError::Full(block)) => *buffer = block,
            Err(std::sync::mpsc::TrySendError::Disconnected(_)) => {}
        }
    }
}

impl LogWriter for Sink {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let message = record.args().to_string();
        if record.target() == DECISION {
            self.push(message.as_bytes());
            return Ok(());
        }
        let at = now.now_utc_owned().format("%Y-%m-%dT%H:%M:%S%.3fZ").to_string();
        let module = record.module_path().unwrap_or_default();
        self.push(render_line(&at, record.level().as_str(), module, &message).as_bytes());
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        if let Ok(mut buffer) = self.buffer.lock() {
            self.hand_over(&mut buffer);
        }
        Ok(())
    }
}

/// Starts the logger at a level. Logging stops when the handle is dropped.
///
/// # Errors
/// The level is unknown, or a logger is running.
pub fn start(level: &str) -> Result<LoggerHandle> {
    let (blocks, received) = sync_channel::<Vec<u8>>(BLOCKS);
    let write = move || {
        while let Ok(block) = received.recv() {
            let mut out = io::stdout().lock();
            // A closed stdout leaves nowhere to report to.
            if out.write_all(&block).and_then(|()| out.flush()).is_err() {
                return;
            }
        }
    };
    std::thread::Builder::new()
        .name("log".to_owned())
        .stack_size(64 << 10)
        .spawn(write)
        .map_err(|e| Error::io("log", e))?;
    let buffer = Mutex::new(Vec::with_capacity(BLOCK));
    let sink = Sink { buffer, blocks, dropped: AtomicU64::new(0) };
    let wrong = |e: flexi_logger::FlexiLoggerError| Error::input("log", e);
    let logger = Logger::try_with_str(level).map_err(wrong)?;
    logger.log_to_writer(Box::new(sink)).start().map_err(wrong)
}

/// Logs a decision: an object with an `event` and its inputs.
macro_rules! decision {
    ($event:literal $(, $name:literal: $value:expr)* $(,)?) => {
        log::info!(target: $crate::log_sink::DECISION, "{}",
            serde_json::json!({"event": $event, "ms": $crate::time::wall_clock().0 $(, $name: $value)*}))
    };
}
pub(crate) use decision;
