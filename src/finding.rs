//! Findings of a document or settings check: code, place, message and remedy.
//!
//! Codes are stable; operators and scripts may depend on them. `E` codes are errors,
//! which prevent the file from being accepted; `W` codes are warnings.

use std::fmt;

use serde::{Serialize, Serializer};

use crate::error::Location;
use crate::keys;

/// Severity of a finding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// Does not prevent acceptance of the file.
    Warning,
    /// Prevents acceptance of the file.
    Error,
}

/// A problem in a document or settings file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// File, line and column.
    #[serde(serialize_with = "serialize_place")]
    pub place: Location,
    /// Whether the finding prevents acceptance.
    pub severity: Severity,
    /// Stable code, for example `E011`.
    pub code: &'static str,
    /// Description of the problem. API keys are redacted.
    pub message: String,
    /// How the operator can correct it.
    pub remedy: String,
}

fn serialize_place<S: Serializer>(place: &Location, s: S) -> Result<S::Ok, S::Error> {
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

/// Whether any finding is an error.
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
    /// Creates an empty report on `text`, which was read from `source`.
    pub fn new(source: &'a str, text: &'a str) -> Self {
        Self { source, text, findings: Vec::new() }
    }

    /// Adds a finding at a byte offset of the text. The first letter of the code, `E` or
    /// `W`, determines the severity.
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
        // Offsets are sorted, so one pass over the text yields all lines and columns.
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

/// The candidate with the smallest edit distance to `word`, if `word` is likely to be a
/// misspelling of it.
pub fn closest_match<'c>(
    word: &str,
    candidates: impl IntoIterator<Item = &'c str>,
) -> Option<&'c str> {
    let word_chars = word.chars().count();
    let max_distance = (word_chars / 3).max(1);
    candidates
        .into_iter()
        .map(|c| (edit_distance(word, c), c))
        .filter(|(d, _)| *d <= max_distance && *d < word_chars)
        .min()
        .map(|(_, c)| c)
}

/// Edit distance in characters; a transposition of two adjacent characters counts as
/// one edit.
fn edit_distance(a: &str, b: &str) -> usize {
    let (a, b): (Vec<char>, Vec<char>) = (a.chars().collect(), b.chars().collect());
    let mut matrix: Vec<Vec<usize>> = vec![(0..=b.len()).collect()];
    for i in 1..=a.len() {
        let mut row = vec![i];
        for j in 1..=b.len() {
            let replace = matrix[i - 1][j - 1] + usize::from(a[i - 1] != b[j - 1]);
            let mut best = replace.min(matrix[i - 1][j] + 1).min(row[j - 1] + 1);
            if i > 1 && j > 1 && a[i - 1] == b[j - 2] && a[i - 2] == b[j - 1] {
                best = best.min(matrix[i - 2][j - 2] + 1);
            }
            row.push(best);
        }
        matrix.push(row);
    }
    matrix[a.len()][b.len()]
}
