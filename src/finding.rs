//! Findings of a check: what is wrong in a document, where, and how to repair it.
//!
//! Codes are stable; operators and scripts may depend on them. `E` codes are
//! errors, with which a document is not accepted; `W` codes are warnings.

use std::fmt;

use serde::{Serialize, Serializer};

use crate::error::Location;
use crate::keys;

/// Weight of a finding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// The document is accepted.
    Warning,
    /// The document is not accepted.
    Error,
}

/// One thing that is wrong in a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Where it is.
    #[serde(serialize_with = "place_text")]
    pub place: Location,
    /// Whether it prevents acceptance.
    pub severity: Severity,
    /// Stable code, for example `E011`.
    pub code: &'static str,
    /// What is wrong. Never contains the text of a key.
    pub message: String,
    /// What the operator can do.
    pub remedy: String,
}

fn place_text<S: Serializer>(place: &Location, s: S) -> Result<S::Ok, S::Error> {
    s.collect_str(place)
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let severity = match self.severity {
            Severity::Warning => "warning",
            Severity::Error => "error",
        };
        write!(f, "{}: {severity} {}: {}", self.place, self.code, self.message)?;
        if !self.remedy.is_empty() {
            write!(f, "\n    remedy: {}", self.remedy)?;
        }
        Ok(())
    }
}

/// Whether any finding prevents acceptance.
pub fn has_errors(findings: &[Finding]) -> bool {
    findings.iter().any(|f| f.severity == Severity::Error)
}

/// Collects the findings of one file.
#[derive(Debug)]
pub struct Report<'a> {
    source: &'a str,
    text: &'a str,
    findings: Vec<(usize, Finding)>,
}

impl<'a> Report<'a> {
    /// An empty report on `text`, which was read from `source`.
    pub fn new(source: &'a str, text: &'a str) -> Self {
        Self { source, text, findings: Vec::new() }
    }

    /// Adds a finding at a byte offset; the code's first letter gives the severity.
    pub fn add(
        &mut self,
        offset: usize,
        code: &'static str,
        message: impl fmt::Display,
        remedy: impl fmt::Display,
    ) {
        let severity = if code.starts_with('W') { Severity::Warning } else { Severity::Error };
        let finding = Finding {
            place: Location::without_line(self.source),
            severity,
            code,
            message: keys::redact(&message.to_string()),
            remedy: keys::redact(&remedy.to_string()),
        };
        self.findings.push((offset, finding));
    }

    /// All findings in file order.
    pub fn into_findings(mut self) -> Vec<Finding> {
        self.findings.sort_by(|(a, x), (b, y)| a.cmp(b).then_with(|| x.code.cmp(y.code)));
        // One pass over the text gives all places.
        let (mut line, mut start) = (1, 0);
        let place = |(offset, mut finding): (usize, Finding)| {
            let mut offset = offset.min(self.text.len());
            while !self.text.is_char_boundary(offset) {
                offset -= 1;
            }
            let before = &self.text[start..offset];
            line += before.bytes().filter(|b| *b == b'\n').count();
            start += before.rfind('\n').map_or(0, |i| i + 1);
            finding.place.line = line;
            finding.place.column = self.text[start..offset].chars().count() + 1;
            finding
        };
        self.findings.into_iter().map(place).collect()
    }
}

/// The candidate that is closest to `word`, if one is close enough to be a typing error.
pub fn closest<'c>(word: &str, candidates: impl IntoIterator<Item = &'c str>) -> Option<&'c str> {
    let length = word.chars().count();
    let most = (length / 3).max(1);
    candidates
        .into_iter()
        .map(|c| (distance(word, c), c))
        .filter(|(d, _)| *d <= most && *d < length)
        .min()
        .map(|(_, c)| c)
}

/// Edit distance in characters, where a swap of two neighbours counts as one edit.
fn distance(a: &str, b: &str) -> usize {
    let (a, b): (Vec<char>, Vec<char>) = (a.chars().collect(), b.chars().collect());
    let mut rows: Vec<Vec<usize>> = vec![(0..=b.len()).collect()];
    for i in 1..=a.len() {
        let mut row = vec![i];
        for j in 1..=b.len() {
            let replace = rows[i - 1][j - 1] + usize::from(a[i - 1] != b[j - 1]);
            let mut best = replace.min(rows[i - 1][j] + 1).min(row[j - 1] + 1);
            if i > 1 && j > 1 && a[i - 1] == b[j - 2] && a[i - 2] == b[j - 1] {
                best = best.min(rows[i - 2][j - 2] + 1);
            }
            row.push(best);
        }
        rows.push(row);
    }
    rows[a.len()][b.len()]
}
