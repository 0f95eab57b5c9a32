//! Log output of an edge node: JSON lines on stdout, written without blocking the logger.
//!
//! Lines are buffered in memory and written by a thread. Lines that exceed the buffer are
//! dropped and counted; the count is logged before the next line that fits.

use std::io::{self, Write};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{SyncSender, sync_channel};

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, Logger, LoggerHandle};
use log::Record;

use crate::error::{Error, Result};
use crate::logging::render_line;

/// Target of log lines that are already JSON objects.
pub(crate) const DECISION_TARGET: &str = "decision";
/// Buffered bytes at which the buffer is handed to the writer thread.
const BLOCK_BYTES: usize = 16 << 10;
/// Most blocks queued for the writer thread.
const MAX_QUEUED_BLOCKS: usize = 16;
/// Most bytes buffered while the writer thread's queue is full.
const MAX_BUFFERED_BYTES: usize = 256 << 10;

/// Log writer that never blocks the thread that logs.
struct BufferedWriter {
    buffer: Mutex<Vec<u8>>,
    blocks: SyncSender<Vec<u8>>,
    dropped: AtomicU64,
}

impl BufferedWriter {
    fn push_line(&self, line: &[u8]) {
        let Ok(mut buffer) = self.buffer.lock() else { return };
        if buffer.len() + line.len() > MAX_BUFFERED_BYTES {
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
        if buffer.len() >= BLOCK_BYTES {
            self.send_block(&mut buffer);
        }
    }

    fn send_block(&self, buffer: &mut Vec<u8>) {
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

impl LogWriter for BufferedWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let message = record.args().to_string();
        if record.target() == DECISION_TARGET {
            self.push_line(message.as_bytes());
            return Ok(());
        }
        let at = now.now_utc_owned().format("%Y-%m-%dT%H:%M:%S%.3fZ").to_string();
        let module = record.module_path().unwrap_or_default();
        self.push_line(render_line(&at, record.level().as_str(), module, &message).as_bytes());
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        if let Ok(mut buffer) = self.buffer.lock() {
            self.send_block(&mut buffer);
        }
        Ok(())
    }
}

/// Starts the logger at a level. Logging stops when the handle is dropped.
///
/// # Errors
/// The level is unknown, a logger is already running, or the thread cannot be started.
pub fn start(level: &str) -> Result<LoggerHandle> {
    let (blocks, received) = sync_channel::<Vec<u8>>(MAX_QUEUED_BLOCKS);
    let write = move || {
        while let Ok(block) = received.recv() {
            let mut out = io::stdout().lock();
            // Nothing can be logged once stdout is closed.
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
    let buffer = Mutex::new(Vec::with_capacity(BLOCK_BYTES));
    let writer = BufferedWriter { buffer, blocks, dropped: AtomicU64::new(0) };
    let input_error = |e: flexi_logger::FlexiLoggerError| Error::input("log", e);
    let logger = Logger::try_with_str(level).map_err(input_error)?;
    logger.log_to_writer(Box::new(writer)).start().map_err(input_error)
}

/// Writes a line to the decision log: a JSON object with the event, the time and its inputs.
macro_rules! decision {
    ($event:literal $(, $name:literal: $value:expr)* $(,)?) => {
        log::info!(target: $crate::log_sink::DECISION_TARGET, "{}",
            serde_json::json!({"event": $event, "ms": $crate::time::wall_clock().0 $(, $name: $value)*}))
    };
}
pub(crate) use decision;
