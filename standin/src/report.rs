//! What a load run measured.

use std::collections::BTreeMap;

use serde::Serialize;

/// Examples of wrong answers that a report keeps.
const EXAMPLES: usize = 10;

/// Outcome of one request.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// `stream`, `whole`, `service` or `repeat`.
    pub kind: &'static str,
    /// The caller's key, by its position.
    pub key: usize,
    /// What came of it.
    pub end: End,
    /// Milliseconds from the planned start to the end.
    pub latency: f64,
    /// Milliseconds from the planned start to the first token.
    pub first: Option<f64>,
    /// Milliseconds between tokens.
    pub gaps: Vec<f64>,
    /// Tokens received.
    pub tokens: u64,
}

/// How a request ended.
#[derive(Clone, Debug, Default)]
pub enum End {
    /// Complete and checked.
    Right,
    /// Complete, but not the answer to this request.
    Wrong(String),
    /// Refused, with status, code and whether it ran.
    Refused(String),
    /// No complete answer.
    #[default]
    Broken,
}

/// Two percentiles in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Spread {
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Samples.
    pub samples: usize,
}

impl Spread {
    fn of(mut samples: Vec<f64>) -> Self {
        samples.sort_by(f64::total_cmp);
        let at = |share: f64| {
            let last = samples.len().saturating_sub(1);
            samples.get((last as f64 * share).round() as usize).copied().unwrap_or(0.0)
        };
        Self { p50: at(0.5), p99: at(0.99), samples: samples.len() }
    }
}

/// Counts of one key or kind.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Counts {
    /// Requests sent.
    pub sent: u64,
    /// Right answers.
    pub right: u64,
    /// Wrong answers.
    pub wrong: u64,
    /// Refusals.
    pub refused: u64,
    /// Requests without a complete answer.
    pub broken: u64,
    /// Tokens received.
    pub tokens: u64,
}

/// Report of a load run; times in milliseconds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Seconds that the run was to take.
    pub seconds: f64,
    /// All requests.
    pub total: Counts,
    /// By kind.
    pub kinds: BTreeMap<String, Counts>,
    /// By position of the key.
    pub keys: BTreeMap<usize, Counts>,
    /// Refusals by status, code and whether the request ran.
    pub refusals: BTreeMap<String, u64>,
    /// Time to the end of right answers.
    pub latency: Spread,
    /// Time to the first token of streams.
    pub first: Spread,
    /// Time between tokens of streams.
    pub gap: Spread,
    /// The first wrong answers.
    pub examples: Vec<String>,
}

impl Report {
    /// Sums outcomes up.
    pub fn of(seed: u64, seconds: f64, outcomes: Vec<Outcome>) -> Self {
        let mut report = Self { seed, seconds, ..Self::default() };
        let (mut latency, mut first, mut gaps) = (Vec::new(), Vec::new(), Vec::new());
        for outcome in outcomes {
            let kind = report.kinds.entry(outcome.kind.to_owned()).or_default();
            let key = report.keys.entry(outcome.key).or_default();
            for counts in [&mut report.total, kind, key] {
                counts.sent += 1;
                counts.tokens += outcome.tokens;
                match outcome.end {
                    End::Right => counts.right += 1,
                    End::Wrong(_) => counts.wrong += 1,
                    End::Refused(_) => counts.refused += 1,
                    End::Broken => counts.broken += 1,
                }
            }
            match outcome.end {
                End::Right => latency.push(outcome.latency),
                End::Wrong(text) if report.examples.len() < EXAMPLES => report.examples.push(text),
                End::Refused(code) => *report.refusals.entry(code).or_default() += 1,
                End::Wrong(_) | End::Broken => {}
            }
            first.extend(outcome.first);
            gaps.extend(outcome.gaps);
        }
        report.latency = Spread::of(latency);
        report.first = Spread::of(first);
        report.gap = Spread::of(gaps);
        report
    }
}
