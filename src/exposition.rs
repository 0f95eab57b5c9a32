//! Metrics in the Prometheus text format, for a monitoring system that polls them.
//!
//! [`Exposition`] is a `cadence` sink that aggregates what the methods of `Metrics` send,
//! in place of a statsd receiver: counters are summed, gauges keep their last value, and
//! histogram values are counted in buckets.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};

use cadence::MetricSink;

/// Upper bounds of the histogram buckets, in the unit of the metric.
const BUCKET_BOUNDS: [u64; 10] = [10, 25, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400];

#[derive(Clone, Debug)]
enum Value {
    Counter(u64),
    Gauge(u64),
    Histogram { buckets: [u64; BUCKET_BOUNDS.len() + 1], sum: u64 },
}

impl Value {
    fn new(kind: &str) -> Option<Self> {
        match kind {
            "c" => Some(Self::Counter(0)),
            "g" => Some(Self::Gauge(0)),
            "h" => Some(Self::Histogram { buckets: [0; BUCKET_BOUNDS.len() + 1], sum: 0 }),
            _ => None,
        }
    }

    fn record(&mut self, n: u64) {
        match self {
            Self::Counter(sum) => *sum += n,
            Self::Gauge(last) => *last = n,
            Self::Histogram { buckets, sum } => {
                let at = BUCKET_BOUNDS.iter().position(|b| n <= *b).unwrap_or(BUCKET_BOUNDS.len());
                buckets[at] += 1;
                *sum += n;
            }
        }
    }
}

/// Values by metric name and tags; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Exposition(Arc<Mutex<BTreeMap<(String, String), Value>>>);

impl MetricSink for Exposition {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        let parsed = parse_statsd(metric)
            .ok_or_else(|| io::Error::other(format!("invalid metric {metric:?}")))?;
        let (name, n, kind, tags) = parsed;
        let mut values = self.values();
        let key = (name.replace('.', "_"), tags.to_owned());
        match values.get_mut(&key) {
            Some(value) => value.record(n),
            None => {
                let mut value =
                    Value::new(kind).ok_or_else(|| io::Error::other(kind.to_owned()))?;
                value.record(n);
                values.insert(key, value);
            }
        }
        Ok(metric.len())
    }
}

/// Splits a line `name:value|kind|#tag:value,...` into name, value, kind and tags.
fn parse_statsd(metric: &str) -> Option<(&str, u64, &str, &str)> {
    let (name, rest) = metric.split_once(':')?;
    let mut parts = rest.split('|');
    let n = parts.next()?.parse().ok()?;
    let kind = parts.next()?;
    let tags = parts.next().and_then(|t| t.strip_prefix('#')).unwrap_or_default();
    Some((name, n, kind, tags))
}

/// Labels of an output line: the tags, and for a bucket its upper bound.
fn labels(tags: &str, bound: Option<&str>) -> String {
    let pairs = tags.split(',').filter_map(|t| t.split_once(':'));
    let mut all: Vec<String> = pairs.map(|(k, v)| format!("{k}=\"{v}\"")).collect();
    all.extend(bound.map(|b| format!("le=\"{b}\"")));
    if all.is_empty() { String::new() } else { format!("{{{}}}", all.join(",")) }
}

impl Exposition {
    fn values(&self) -> MutexGuard<'_, BTreeMap<(String, String), Value>> {
        // Poisoning is ignored: a panic while the lock is held leaves no value inconsistent.
        self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Renders all values in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut out = String::new();
        for ((name, tags), value) in self.values().iter() {
            // Writing to a string cannot fail.
            let _ = match value {
                Value::Counter(n) | Value::Gauge(n) => {
                    writeln!(out, "{name}{} {n}", labels(tags, None))
                }
                Value::Histogram { buckets, sum } => {
                    let mut count = 0;
                    for (i, n) in buckets.iter().enumerate() {
                        count += n;
                        let bound = BUCKET_BOUNDS.get(i).map_or("+Inf".to_owned(), u64::to_string);
                        let labels = labels(tags, Some(&bound));
                        let _ = writeln!(out, "{name}_bucket{labels} {count}");
                    }
                    let labels = labels(tags, None);
                    writeln!(out, "{name}_sum{labels} {sum}\n{name}_count{labels} {count}")
                }
            };
        }
        out
    }
}
