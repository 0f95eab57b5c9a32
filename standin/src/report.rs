//! Results of a load run.

use std::collections::BTreeMap;

use serde::Serialize;

/// Most wrong answers that a report quotes.
const MAX_EXAMPLES: usize = 10;

/// Outcome of one request.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// `stream`, `whole`, `service` or `repeat`.
    pub kind: &'static str,
    /// Index of the caller.
    pub key: usize,
    /// How the request ended.
    pub end: RequestEnd,
    /// Milliseconds from the planned start to the end.
    pub latency_ms: f64,
    /// Milliseconds from the planned start to the first token.
    pub first_token_ms: Option<f64>,
    /// Milliseconds between tokens.
    pub gaps_ms: Vec<f64>,
    /// Tokens received.
    pub tokens: u64,
}

/// How a request ended.
#[derive(Clone, Debug, Default)]
pub enum RequestEnd {
    /// The answer is complete and correct.
    Right,
    /// The answer is complete but does not belong to the request; holds a description.
    Wrong(String),
    /// Refused; holds the status, the code and whether the request ran.
    Refused(String),
    /// No complete answer arrived.
    #[default]
    Broken,
}

/// Percentiles of a measured time, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Percentiles {
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Number of samples.
    pub samples: usize,
}

impl Percentiles {
    fn from_samples(mut samples: Vec<f64>) -> Self {
        samples.sort_by(f64::total_cmp);
        let at = |share: f64| {
            let last = samples.len().saturating_sub(1);
            samples.get((last as f64 * share).round() as usize).copied().unwrap_or(0.0)
        };
        Self { p50: at(0.5), p99: at(0.99), samples: samples.len() }
    }
}

/// Counts over a set of requests.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Counts {
    /// Requests sent.
    pub sent: u64,
    /// Correct answers.
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

/// Report of a load run; all percentiles are in milliseconds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Planned duration of the run in seconds.
    pub seconds: f64,
    /// All requests.
    pub total: Counts,
    /// Counts by kind of request.
    pub kinds: BTreeMap<String, Counts>,
    /// Counts by index of the caller.
    pub keys: BTreeMap<usize, Counts>,
    /// Number of refusals by status, code and whether the request ran.
    pub refusals: BTreeMap<String, u64>,
    /// Time from the planned start to the end of correct answers.
    pub latency: Percentiles,
    /// Time from the planned start to the first token of streams.
    pub first: Percentiles,
    /// Time between two tokens of a stream.
    pub gap: Percentiles,
    /// Descriptions of the first wrong answers.
    pub examples: Vec<String>,
}

impl Report {
    /// Aggregates the outcomes of a run.
    pub fn from_outcomes(seed: u64, seconds: f64, outcomes: Vec<Outcome>) -> Self {
        let mut report = Self { seed, seconds, ..Self::default() };
        let (mut latency, mut first, mut gaps) = (Vec::new(), Vec::new(), Vec::new());
        for outcome in outcomes {
            let kind = report.kinds.entry(outcome.kind.to_owned()).or_default();
            let key = report.keys.entry(outcome.key).or_default();
            for counts in [&mut report.total, kind, key] {
                counts.sent += 1;
                counts.tokens += outcome.tokens;
                match outcome.end {
                    RequestEnd::Right => counts.right += 1,
                    RequestEnd::Wrong(_) => counts.wrong += 1,
                    RequestEnd::Refused(_) => counts.refused += 1,
                    RequestEnd::Broken => counts.broken += 1,
                }
            }
            match outcome.end {
                RequestEnd::Right => latency.push(outcome.latency_ms),
                RequestEnd::Wrong(text) if report.examples.len() < MAX_EXAMPLES => {
                    report.examples.push(text)
                }
                RequestEnd::Refused(code) => *report.refusals.entry(code).or_default() += 1,
                RequestEnd::Wrong(_) | RequestEnd::Broken => {}
            }
            first.extend(outcome.first_token_ms);
            gaps.extend(outcome.gaps_ms);
        }
        report.latency = Percentiles::from_samples(latency);
        report.first = Percentiles::from_samples(first);
        report.gap = Percentiles::from_samples(gaps);
        report
    }
}
