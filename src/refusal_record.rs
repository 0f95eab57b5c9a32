//! Refusal records: who was refused, when and why, and whether the call ran.
//!
//! The recorder buffers a bounded number of records and returns them in batches,
//! each of which is written as one immutable object of JSON lines. While the
//! buffer is full, new records are dropped and counted. A gap record takes their
//! place in the sequence, so that a reader can tell which records are missing.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};
use crate::ids::{KeyId, Node, Team, stable_hash};
use crate::keys::redact;
use crate::time::Ms;

/// Maximum number of reasons that a gap record counts separately.
const MAX_GAP_REASONS: usize = 32;
/// Length to which a target is truncated.
const MAX_TARGET_CHARS: usize = 200;
/// Maximum length of a line; the facts of a longer one are dropped.
const MAX_LINE_BYTES: usize = 8 << 10;
/// Memory of a buffered line in addition to its text.
const LINE_OVERHEAD_BYTES: usize = 64;
/// Maximum back-off after failed writes.
const MAX_BACKOFF: Ms = Ms::secs(30);
/// Back-off after the first failed write.
const INITIAL_BACKOFF: Ms = Ms(500);

/// Whether a refused call ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RefusalRunStatus {
    /// It did not run.
    No,
    /// It may have run.
    Unknown,
}

impl RefusalRunStatus {
    /// The value in answers to callers.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Unknown => "unknown",
        }
    }
}

/// Record of a refusal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RefusalRecord {
    /// `DAY.NODE.SEQUENCE`, assigned by the recorder. Day and node locate the objects
    /// that can hold the record.
    pub id: String,
    /// Time of the refusal, in milliseconds since the Unix epoch.
    pub at: u64,
    /// Identifier of the request.
    pub request: String,
    /// The team, if known.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub team: Option<Team>,
    /// Public identifier of the key, not the key itself.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub key: Option<KeyId>,
    /// Requested route or model.
    pub target: String,
    /// Machine-readable reason.
    pub reason: String,
    /// Inputs of the decision, such as level, rate, serial and candidates.
    #[serde(skip_serializing_if = "BTreeMap::is_empty", default)]
    pub facts: BTreeMap<String, serde_json::Value>,
    /// Whether the call ran.
    pub ran: RefusalRunStatus,
}

impl RefusalRecord {
    /// Creates a record without id, team, key and facts.
    pub fn new(
        at: Ms,
        request: impl fmt::Display,
        target: &str,
        reason: &str,
        ran: RefusalRunStatus,
    ) -> Self {
        Self {
            id: String::new(),
            at: at.0,
            request: request.to_string(),
            team: None,
            key: None,
            target: target.to_owned(),
            reason: reason.to_owned(),
            facts: BTreeMap::new(),
            ran,
        }
    }

    /// Adds a fact.
    #[must_use]
    pub fn fact(mut self, name: &str, value: impl Into<serde_json::Value>) -> Self {
        self.facts.insert(name.to_owned(), value.into());
        self
    }
}

/// Counts records that were dropped.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GapRecord {
    /// Time of the earliest lost record, in milliseconds since the Unix epoch.
    pub from: u64,
    /// Time of the latest lost record, in milliseconds since the Unix epoch.
    pub to: u64,
    /// Sequence number of the first lost record.
    pub first: u64,
    /// Number of lost records.
    pub lost: u64,
    /// Lost records by reason; reasons beyond the first 32 are counted as `other`.
    pub reasons: BTreeMap<String, u64>,
}

/// A line of a batch object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "lowercase")]
pub enum RecordLine {
    /// A refusal.
    Refusal(RefusalRecord),
    /// Refusals that were lost.
    Gap(GapRecord),
}

/// Limits of the recorder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecorderLimits {
    /// Maximum number of records in memory.
    pub records: usize,
    /// Maximum size of the records in memory.
    pub bytes: usize,
    /// Size from which a batch is written, and maximum size of a batch.
    pub batch_bytes: usize,
    /// Age from which a smaller batch is written. If 1,200 nodes refuse requests all
    /// the time, 10 s means 120 writes/s of the several hundred that the store allows.
    pub batch_age: Ms,
}

impl Default for RecorderLimits {
    fn default() -> Self {
        Self { records: 20_000, bytes: 4 << 20, batch_bytes: 512 << 10, batch_age: Ms::secs(10) }
    }
}

/// A batch to be written as one object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Name of the object.
    pub name: String,
    /// JSON lines.
    pub body: Bytes,
}

/// Outcome of writing a batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The object contains this batch.
    Written,
    /// The object exists with different content.
    NameTaken,
    /// The store failed or did not answer.
    Failed,
}

/// A serialized record in memory.
#[derive(Debug)]
struct BufferedLine {
    seq: u64,
    at: u64,
    text: String,
}

/// A batch that is being written.
#[derive(Debug)]
struct PendingBatch {
    batch: Batch,
    lines: usize,
    seq: u64,
    /// Number of names found to be taken by other content.
    renames: u32,
}

/// Counters of a recorder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RecorderStats {
    /// Records in memory.
    pub records: usize,
    /// Size of these records. A batch that is being written holds a copy, which is not
    /// included.
    pub bytes: usize,
    /// Records dropped because the buffer was full.
    pub lost: u64,
    /// Batches written.
    pub batches: u64,
    /// Writes that failed.
    pub failures: u64,
}

/// Bounded buffer of a node's refusal records.
#[derive(Debug)]
pub struct Recorder {
    node: Node,
    limits: RecorderLimits,
    next_seq: u64,
    lines: VecDeque<BufferedLine>,
    /// Records lost since the last line was added.
    gap: Option<GapRecord>,
    pending: Option<PendingBatch>,
    /// Consecutive failed writes.
    failed_writes: u32,
    /// End of the back-off, by the wall clock.
    retry_at: Ms,
    stats: RecorderStats,
}

impl Recorder {
    /// Creates an empty recorder.
    pub fn new(node: Node, limits: RecorderLimits) -> Self {
        Self {
            node,
            limits,
            next_seq: 0,
            lines: VecDeque::new(),
            gap: None,
            pending: None,
            failed_writes: 0,
            retry_at: Ms(0),
            stats: RecorderStats::default(),
        }
    }

    /// Records a refusal and returns its id. The id is assigned even if the record is lost.
    ///
    /// The target comes from the caller, so it is truncated and keys in it are redacted.
    pub fn push(&mut self, mut refusal: RefusalRecord) -> String {
        refusal.target = redact(&refusal.target).chars().take(MAX_TARGET_CHARS).collect();
        let (seq, at) = (self.next_seq, refusal.at);
        self.next_seq += 1;
        refusal.id = format!("{}.{}.{seq}", format_day(at), self.node);
        let id = refusal.id.clone();
        let reason = refusal.reason.clone();
        let mut text = json_line(&RecordLine::Refusal(refusal.clone()));
        if text.len() > MAX_LINE_BYTES {
            refusal.facts = BTreeMap::from([("facts_dropped".to_owned(), text.len().into())]);
            text = json_line(&RecordLine::Refusal(refusal));
        }
        let fits = self.lines.len() < self.limits.records
            && self.stats.bytes + text.len() + LINE_OVERHEAD_BYTES <= self.limits.bytes;
        if fits {
            self.flush_gap();
            self.push_line(seq, at, text);
        } else {
            self.record_loss(seq, at, &reason);
        }
        id
    }

    fn push_line(&mut self, seq: u64, at: u64, text: String) {
        self.stats.bytes += text.len() + LINE_OVERHEAD_BYTES;
        self.lines.push_back(BufferedLine { seq, at, text });
        self.stats.records = self.lines.len();
    }

    fn record_loss(&mut self, seq: u64, at: u64, reason: &str) {
        self.stats.lost += 1;
        let gap = self.gap.get_or_insert_with(|| GapRecord {
            from: at,
            to: at,
            first: seq,
            lost: 0,
            reasons: BTreeMap::new(),
        });
        gap.from = gap.from.min(at);
        gap.to = gap.to.max(at);
        gap.lost += 1;
        let counted = gap.reasons.len() < MAX_GAP_REASONS || gap.reasons.contains_key(reason);
        *gap.reasons.entry(if counted { reason } else { "other" }.to_owned()).or_default() += 1;
    }

    /// Appends a gap record for the lost records, if any. Gap records may exceed the
    /// limits; there is at most one per record that was added after a loss.
    fn flush_gap(&mut self) {
        if let Some(gap) = self.gap.take() {
            self.push_line(gap.first, gap.from, json_line(&RecordLine::Gap(gap.clone())));
        }
    }

    /// Returns the batch to write, if one is due; with `flush`, regardless of age and size.
    ///
    /// Returns the same batch until [`Recorder::on_stored`] reports that it was written.
    pub fn next_batch(&mut self, now: Ms, flush: bool) -> Option<Batch> {
        // If the wall clock was set back, the remaining wait can exceed the maximum
        // back-off and is ignored.
        if now < self.retry_at && self.retry_at - now <= MAX_BACKOFF && !flush {
            return None;
        }
        if self.pending.is_none() {
            if self.lines.is_empty() {
                self.flush_gap();
            }
            let oldest = self.lines.front()?;
            let due = now.0.abs_diff(oldest.at) >= self.limits.batch_age.0
                || self.stats.bytes >= self.limits.batch_bytes;
            if !(due || flush) {
                return None;
            }
            self.pending = Some(self.build_batch());
        }
        self.pending.as_ref().map(|p| p.batch.clone())
    }

    /// Builds a batch from the oldest lines, all of one day, up to the maximum size but
    /// with at least one line.
    fn build_batch(&mut self) -> PendingBatch {
        let (seq, first) =
            self.lines.front().map_or((0, String::new()), |l| (l.seq, format_day(l.at)));
        let mut body = String::new();
        let mut lines = 0;
        for l in &self.lines {
            let full = lines > 0 && body.len() + l.text.len() > self.limits.batch_bytes;
            if full || format_day(l.at) != first {
                break;
            }
            body.push_str(&l.text);
            lines += 1;
        }
        let name = object_name(&first, &self.node, seq, 0);
        PendingBatch { batch: Batch { name, body: body.into() }, lines, seq, renames: 0 }
    }

    /// Handles the outcome of writing the batch that [`Recorder::next_batch`] returned last.
    pub fn on_stored(&mut self, now: Ms, outcome: WriteOutcome) {
        let Some(mut pending) = self.pending.take() else { return };
        match outcome {
            WriteOutcome::Written => {
                for l in self.lines.drain(..pending.lines) {
                    self.stats.bytes -= l.text.len() + LINE_OVERHEAD_BYTES;
                }
                self.stats.records = self.lines.len();
                self.stats.batches += 1;
                self.failed_writes = 0;
                self.retry_at = Ms(0);
            }
            WriteOutcome::NameTaken => {
                pending.renames += 1;
                let day = pending.batch.name.split('/').nth(1).unwrap_or_default().to_owned();
                pending.batch.name = object_name(&day, &self.node, pending.seq, pending.renames);
                self.pending = Some(pending);
            }
            WriteOutcome::Failed => {
                self.failed_writes += 1;
                self.stats.failures += 1;
                self.retry_at = now + self.backoff();
                self.pending = Some(pending);
            }
        }
    }

    /// Exponential back-off. The jitter is derived from the node's name, so that nodes
    /// do not retry at the same time after an outage.
    fn backoff(&self) -> Ms {
        let doubled = INITIAL_BACKOFF.0 << self.failed_writes.saturating_sub(1).min(10);
        let wait = doubled.min(MAX_BACKOFF.0);
        let jitter = stable_hash(&[self.node.as_str(), &self.failed_writes.to_string()]);
        Ms(wait / 2 + jitter % (wait / 2 + 1))
    }

    /// Whether all records have been written.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty() && self.gap.is_none()
    }

    /// Counters since the recorder was created.
    pub fn stats(&self) -> RecorderStats {
        self.stats
    }
}

fn json_line(record: &RecordLine) -> String {
    let mut text = serde_json::to_string(record).expect("records have only string keys");
    text.push('\n');
    text
}

fn object_name(day: &str, node: &Node, seq: u64, renames: u32) -> String {
    // Fixed width, so that names sort in the order of the records.
    match renames {
        0 => format!("refusals/{day}/{node}/{seq:012}"),
        n => format!("refusals/{day}/{node}/{seq:012}-{n}"),
    }
}

/// Formats the UTC day of a Unix time in milliseconds as `YYYY-MM-DD`.
pub fn format_day(at: u64) -> String {
    // Days since 0000-03-01 in the proleptic Gregorian calendar. Years start in March,
    // so that the leap day is the last day of a year.
    let days = at / 86_400_000 + 719_468;
    let (era, of_era) = (days / 146_097, days % 146_097);
    let year = (of_era - of_era / 1460 + of_era / 36_524 - of_era / 146_096) / 365;
    let of_year = of_era - (365 * year + year / 4 - year / 100);
    let month = (5 * of_year + 2) / 153;
    let date = of_year - (153 * month + 2) / 5 + 1;
    let month = if month < 10 { month + 3 } else { month - 9 };
    let year = era * 400 + year + u64::from(month <= 2);
    format!("{year:04}-{month:02}-{date:02}")
}

/// Formats a Unix time in milliseconds as UTC date and time with milliseconds.
pub fn format_instant(at: u64) -> String {
    let ms = at % 86_400_000;
    let (h, m, s) = (ms / 3_600_000, ms / 60_000 % 60, ms / 1000 % 60);
    format!("{}T{h:02}:{m:02}:{s:02}.{:03}Z", format_day(at), ms % 1000)
}

/// Parses `YYYY-MM-DD`, `YYYY-MM-DDTHH:MM:SS` (UTC) or milliseconds since the Unix epoch.
///
/// # Errors
/// Fails if the text has none of these forms.
pub fn parse_instant(text: &str) -> Result<u64> {
    let invalid =
        || Error::input("time", format!("`{text}` is not a time such as 2026-01-31T18:00:00"));
    if let Ok(ms) = text.parse() {
        return Ok(ms);
    }
    let time: toml::value::Datetime = text.parse().map_err(|_| invalid())?;
    let date = time.date.ok_or_else(invalid)?;
    let (y, m, d) = (u64::from(date.year), u64::from(date.month), u64::from(date.day));
    let y = if m <= 2 { y.checked_sub(1).ok_or_else(invalid)? } else { y };
    let of_year = (153 * (if m > 2 { m - 3 } else { m + 9 }) + 2) / 5 + d - 1;
    let of_era = (y % 400) * 365 + (y % 400) / 4 - (y % 400) / 100 + of_year;
    let days = (y / 400 * 146_097 + of_era).checked_sub(719_468).ok_or_else(invalid)?;
    let clock = time.time.map_or(0, |t| {
        u64::from(t.hour) * 3600 + u64::from(t.minute) * 60 + u64::from(t.second.unwrap_or(0))
    });
    Ok((days * 86_400 + clock) * 1000)
}
