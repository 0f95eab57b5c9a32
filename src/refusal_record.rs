//! Refusal records: who was refused, when and why, and whether the call ran.
//!
//! The recorder holds a bounded number of records and hands them out in batches,
//! each of which becomes one immutable object of JSON lines. When the buffer is
//! full, new records are dropped and counted; a gap record takes their place in
//! the sequence, so that a reader knows what is missing.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};
use crate::ids::{KeyId, Node, Team, stable_hash};
use crate::keys::redact;
use crate::time::Ms;

/// Most reasons that a gap record counts separately.
const GAP_REASONS: usize = 32;
/// Characters of a target that are kept.
const TARGET_CHARS: usize = 200;
/// Longest line; a refusal with larger facts is recorded without them.
const LINE_BYTES: usize = 8 << 10;
/// Bytes that one buffered line costs beside its text.
const LINE_COST: usize = 64;
/// Longest back-off after a failed write.
const LONGEST_WAIT: Ms = Ms::secs(30);
/// First back-off after a failed write.
const FIRST_WAIT: Ms = Ms(500);

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
    /// The text in answers to callers.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Unknown => "unknown",
        }
    }
}

/// One refusal. The recorder assigns the id.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RefusalRecord {
    /// `DAY.NODE.SEQUENCE`; names the object group that holds the record.
    pub id: String,
    /// Milliseconds since the Unix epoch.
    pub at: u64,
    /// The request.
    pub request: String,
    /// The team, if it was known.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub team: Option<Team>,
    /// Public identifier of the key; never the key.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub key: Option<KeyId>,
    /// Route or model that was asked for.
    pub target: String,
    /// Machine-readable reason.
    pub reason: String,
    /// Facts of the decision: level, rate, serial, candidates seen and the like.
    #[serde(skip_serializing_if = "BTreeMap::is_empty", default)]
    pub facts: BTreeMap<String, serde_json::Value>,
    /// Whether the call ran.
    pub ran: RefusalRunStatus,
}

impl RefusalRecord {
    /// A refusal without team, key and facts.
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

/// Records that are missing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gap {
    /// Time of the first lost record, milliseconds since the Unix epoch.
    pub from: u64,
    /// Time of the last lost record.
    pub to: u64,
    /// First lost sequence number.
    pub first: u64,
    /// How many records were lost.
    pub lost: u64,
    /// Lost records by reason; `other` beyond 32 reasons.
    pub reasons: BTreeMap<String, u64>,
}

/// One line of a batch object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "lowercase")]
pub enum Record {
    /// A refusal.
    Refusal(RefusalRecord),
    /// Lost refusals.
    Gap(Gap),
}

/// Bounds of the recorder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecorderLimits {
    /// Records in memory.
    pub records: usize,
    /// Bytes in memory.
    pub bytes: usize,
    /// Bytes of one batch.
    pub batch: usize,
    /// Age at which a partial batch is written. With 1,200 nodes that refuse all
    /// the time, 10 s means 120 writes/s of the several hundred the store allows.
    pub age: Ms,
}

impl Default for RecorderLimits {
    fn default() -> Self {
        Self { records: 20_000, bytes: 4 << 20, batch: 512 << 10, age: Ms::secs(10) }
    }
}

/// A batch to be written as one object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Object name.
    pub name: String,
    /// JSON lines.
    pub body: Bytes,
}

/// What became of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stored {
    /// The object holds this batch.
    Done,
    /// The name is taken by different content.
    Taken,
    /// No answer arrived.
    Failed,
}

#[derive(Debug)]
struct Line {
    seq: u64,
    at: u64,
    text: String,
}

#[derive(Debug)]
struct Flight {
    batch: Batch,
    lines: usize,
    seq: u64,
    renames: u32,
}

/// Counters of a recorder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RecorderStats {
    /// Records in memory.
    pub records: usize,
    /// Bytes of these records; a batch being written holds a second copy of its lines.
    pub bytes: usize,
    /// Records lost since the start.
    pub lost: u64,
    /// Batches written.
    pub batches: u64,
    /// Writes that failed.
    pub failures: u64,
}

/// Bounded buffer of refusals of one node.
#[derive(Debug)]
pub struct Recorder {
    node: Node,
    bounds: RecorderLimits,
    next: u64,
    lines: VecDeque<Line>,
    gap: Option<Gap>,
    flight: Option<Flight>,
    failed: u32,
    wait_until: Ms,
    stats: RecorderStats,
}

impl Recorder {
    /// An empty recorder.
    pub fn new(node: Node, bounds: RecorderLimits) -> Self {
        Self {
            node,
            bounds,
            next: 0,
            lines: VecDeque::new(),
            gap: None,
            flight: None,
            failed: 0,
            wait_until: Ms(0),
            stats: RecorderStats::default(),
        }
    }

    /// Records a refusal and returns its id, which is valid even if the record is lost.
    ///
    /// The target comes from the caller, so it is shortened, and keys in it are removed.
    pub fn push(&mut self, mut refusal: RefusalRecord) -> String {
        refusal.target = redact(&refusal.target).chars().take(TARGET_CHARS).collect();
        let (seq, at) = (self.next, refusal.at);
        self.next += 1;
        refusal.id = format!("{}.{}.{seq}", day(at), self.node);
        let id = refusal.id.clone();
        let reason = refusal.reason.clone();
        let mut text = line(&Record::Refusal(refusal.clone()));
        if text.len() > LINE_BYTES {
            refusal.facts = BTreeMap::from([("facts_dropped".to_owned(), text.len().into())]);
            text = line(&Record::Refusal(refusal));
        }
        let fits = self.lines.len() < self.bounds.records
            && self.stats.bytes + text.len() + LINE_COST <= self.bounds.bytes;
        if fits {
            self.close_gap();
            self.add(seq, at, text);
        } else {
            self.lose(seq, at, &reason);
        }
        id
    }

    fn add(&mut self, seq: u64, at: u64, text: String) {
        self.stats.bytes += text.len() + LINE_COST;
        self.lines.push_back(Line { seq, at, text });
        self.stats.records = self.lines.len();
    }

    fn lose(&mut self, seq: u64, at: u64, reason: &str) {
        self.stats.lost += 1;
        let gap = self.gap.get_or_insert_with(|| Gap {
            from: at,
            to: at,
            first: seq,
            lost: 0,
            reasons: BTreeMap::new(),
        });
        gap.from = gap.from.min(at);
        gap.to = gap.to.max(at);
        gap.lost += 1;
        let counted = gap.reasons.len() < GAP_REASONS || gap.reasons.contains_key(reason);
        *gap.reasons.entry(if counted { reason } else { "other" }.to_owned()).or_default() += 1;
    }

    /// Puts the open gap into the sequence. Gap lines may exceed the bounds; there
    /// is at most one per record that fitted after a loss.
    fn close_gap(&mut self) {
        if let Some(gap) = self.gap.take() {
            self.add(gap.first, gap.from, line(&Record::Gap(gap.clone())));
        }
    }

    /// The batch to write now, if one is due; with `flush` also a young one.
    ///
    /// Returns the same batch until [`Recorder::on_stored`] reports success.
    pub fn next_batch(&mut self, now: Ms, flush: bool) -> Option<Batch> {
        // The wall clock may be set back; no wait is longer than the longest back-off.
        if now < self.wait_until && self.wait_until - now <= LONGEST_WAIT && !flush {
            return None;
        }
        if self.flight.is_none() {
            if self.lines.is_empty() {
                self.close_gap();
            }
            let oldest = self.lines.front()?;
            let due = now.0.abs_diff(oldest.at) >= self.bounds.age.0
                || self.stats.bytes >= self.bounds.batch;
            if !(due || flush) {
                return None;
            }
            self.flight = Some(self.pack());
        }
        self.flight.as_ref().map(|f| f.batch.clone())
    }

    /// Packs lines of one day, at least one, up to the bound of a batch.
    fn pack(&mut self) -> Flight {
        let (seq, first) = self.lines.front().map_or((0, String::new()), |l| (l.seq, day(l.at)));
        let mut body = String::new();
        let mut lines = 0;
        for l in &self.lines {
            let full = lines > 0 && body.len() + l.text.len() > self.bounds.batch;
            if full || day(l.at) != first {
                break;
            }
            body.push_str(&l.text);
            lines += 1;
        }
        let name = object_name(&first, &self.node, seq, 0);
        Flight { batch: Batch { name, body: body.into() }, lines, seq, renames: 0 }
    }

    /// Reports what became of the batch that [`Recorder::next_batch`] returned last.
    pub fn on_stored(&mut self, now: Ms, stored: Stored) {
        let Some(mut flight) = self.flight.take() else { return };
        match stored {
            Stored::Done => {
                for l in self.lines.drain(..flight.lines) {
                    self.stats.bytes -= l.text.len() + LINE_COST;
                }
                self.stats.records = self.lines.len();
                self.stats.batches += 1;
                self.failed = 0;
                self.wait_until = Ms(0);
            }
            Stored::Taken => {
                flight.renames += 1;
                let day = flight.batch.name.split('/').nth(1).unwrap_or_default().to_owned();
                flight.batch.name = object_name(&day, &self.node, flight.seq, flight.renames);
                self.flight = Some(flight);
            }
            Stored::Failed => {
                self.failed += 1;
                self.stats.failures += 1;
                self.wait_until = now + self.back_off();
                self.flight = Some(flight);
            }
        }
    }

    /// Exponential, with a jitter derived from the node's name so that nodes do not
    /// retry together after an outage.
    fn back_off(&self) -> Ms {
        let doubled = FIRST_WAIT.0 << self.failed.saturating_sub(1).min(10);
        let wait = doubled.min(LONGEST_WAIT.0);
        let jitter = stable_hash(&[self.node.as_str(), &self.failed.to_string()]);
        Ms(wait / 2 + jitter % (wait / 2 + 1))
    }

    /// Whether nothing waits to be written.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty() && self.gap.is_none()
    }

    /// Counters.
    pub fn stats(&self) -> RecorderStats {
        self.stats
    }
}

fn line(record: &Record) -> String {
    let mut text = serde_json::to_string(record).expect("records have text keys only");
    text.push('\n');
    text
}

fn object_name(day: &str, node: &Node, seq: u64, renames: u32) -> String {
    // Fixed width, so that the names list in the order of the records.
    match renames {
        0 => format!("refusals/{day}/{node}/{seq:012}"),
        n => format!("refusals/{day}/{node}/{seq:012}-{n}"),
    }
}

/// The UTC day of a Unix time in milliseconds, `YYYY-MM-DD`.
pub fn day(at: u64) -> String {
    // Days since 0000-03-01 in the proleptic Gregorian calendar; years start in
    // March so that the leap day is the last one.
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

/// UTC date and time of a Unix time in milliseconds, to the millisecond.
pub fn format_instant(at: u64) -> String {
    let ms = at % 86_400_000;
    let (h, m, s) = (ms / 3_600_000, ms / 60_000 % 60, ms / 1000 % 60);
    format!("{}T{h:02}:{m:02}:{s:02}.{:03}Z", day(at), ms % 1000)
}

/// Parses `YYYY-MM-DD`, `YYYY-MM-DDTHH:MM:SS` (UTC) or milliseconds since the epoch.
///
/// # Errors
/// The text has none of these forms.
pub fn parse_instant(text: &str) -> Result<u64> {
    let wrong =
        || Error::input("time", format!("`{text}` is not a time such as 2026-01-31T18:00:00"));
    if let Ok(ms) = text.parse() {
        return Ok(ms);
    }
    let time: toml::value::Datetime = text.parse().map_err(|_| wrong())?;
    let date = time.date.ok_or_else(wrong)?;
    let (y, m, d) = (u64::from(date.year), u64::from(date.month), u64::from(date.day));
    let y = if m <= 2 { y.checked_sub(1).ok_or_else(wrong)? } else { y };
    let of_year = (153 * (if m > 2 { m - 3 } else { m + 9 }) + 2) / 5 + d - 1;
    let of_era = (y % 400) * 365 + (y % 400) / 4 - (y % 400) / 100 + of_year;
    let days = (y / 400 * 146_097 + of_era).checked_sub(719_468).ok_or_else(wrong)?;
    let clock = time.time.map_or(0, |t| {
        u64::from(t.hour) * 3600 + u64::from(t.minute) * 60 + u64::from(t.second.unwrap_or(0))
    });
    Ok((days * 86_400 + clock) * 1000)
}
