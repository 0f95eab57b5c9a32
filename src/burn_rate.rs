//! Burn rates of the service-level objectives over several windows, per team and route.
//!
//! Each series keeps a ring of buckets per window. Buckets are aligned to the wall
//! clock, so that the series of several nodes can be added. The burn rate is the
//! fraction of bad answers divided by the fraction that the objective allows; at a
//! burn rate of 1 the error budget is used up exactly at the end of the period.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use serde::{Deserialize, Serialize};

use crate::ids::{Route, Team};
use crate::time::Ms;

/// Names and lengths of the windows of a report.
pub const BURN_WINDOWS: [(&str, Ms); 4] = [
    ("5m", Ms::secs(300)),
    ("1h", Ms::secs(3600)),
    ("6h", Ms::secs(6 * 3600)),
    ("3d", Ms::secs(3 * 86_400)),
];

/// Buckets per window; a sum may miss up to 1/30 of the window.
const BUCKETS: usize = 30;

/// Thousandths per unit. Weights are counted in integer thousandths, so that merging is exact.
const THOUSANDTHS: f64 = 1000.0;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Count {
    good: u64,
    bad: u64,
}

/// Ring of buckets; `last` is the number of the newest one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Ring {
    last: u64,
    buckets: Vec<Count>,
}

impl Default for Ring {
    fn default() -> Self {
        Self { last: 0, buckets: vec![Count::default(); BUCKETS] }
    }
}

impl Ring {
    /// Makes `n` the newest bucket and clears the buckets that it replaces.
    fn advance(&mut self, n: u64) {
        let new = n.saturating_sub(self.last).min(BUCKETS as u64);
        for i in 0..new {
            self.buckets[((n - i) % BUCKETS as u64) as usize] = Count::default();
        }
        self.last = self.last.max(n);
    }

    /// Whether the ring still has bucket `n`.
    fn contains(&self, n: u64) -> bool {
        n <= self.last && self.last - n < BUCKETS as u64
    }

    fn add(&mut self, n: u64, count: Count) {
        self.advance(n);
        if self.contains(n) {
            let bucket = &mut self.buckets[(n % BUCKETS as u64) as usize];
            bucket.good += count.good;
            bucket.bad += count.bad;
        }
    }

    /// Sum of the buckets of the window that ends with bucket `n`.
    fn sum(&self, n: u64) -> Count {
        let mut sum = Count::default();
        let covered = n.saturating_sub(BUCKETS as u64 - 1)..=n;
        for n in covered.filter(|n| self.contains(*n)) {
            let bucket = self.buckets[(n % BUCKETS as u64) as usize];
            sum.good += bucket.good;
            sum.bad += bucket.bad;
        }
        sum
    }
}

/// Counts of one team and route, with one ring per window.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Series {
    team: Team,
    route: Route,
    objective: f64,
    rings: [Ring; BURN_WINDOWS.len()],
}

/// Number of the bucket of `BURN_WINDOWS[window]` that covers the wall time `at`.
fn bucket_number(window: usize, at: Ms) -> u64 {
    at.0 / (BURN_WINDOWS[window].1.0 / BUCKETS as u64)
}

/// Counts of good and bad answers of one or several nodes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BurnCounts {
    series: Vec<Series>,
    #[serde(skip)]
    index: BTreeMap<(Team, Route), usize>,
}

/// Counts and burn rate of one window of a report.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct WindowBurn {
    /// Name of the window.
    pub window: &'static str,
    /// Weighted good answers.
    pub good: f64,
    /// Weighted bad answers.
    pub bad: f64,
    /// Fraction of bad answers divided by the allowed fraction; `None` without answers.
    pub burn: Option<f64>,
}

/// One team and route of a report.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BurnRow {
    /// The team.
    pub team: Team,
    /// The route, which determines the kind of request.
    pub route: Route,
    /// Fraction of answers that must be good.
    pub objective: f64,
    /// One entry per window, shortest first.
    pub windows: Vec<WindowBurn>,
}

impl BurnCounts {
    /// Counts one answer or refusal at the wall time `at`.
    ///
    /// `weight` is the weight of the route and `objective` that of its service level.
    pub fn record(
        &mut self,
        at: Ms,
        team: &Team,
        route: &Route,
        objective: f64,
        weight: f64,
        good: bool,
    ) {
        let amount = (weight * THOUSANDTHS).round() as u64;
        let count =
            if good { Count { good: amount, bad: 0 } } else { Count { good: 0, bad: amount } };
        let series = self.series(team, route);
        series.objective = objective;
        for (window, ring) in series.rings.iter_mut().enumerate() {
            ring.add(bucket_number(window, at), count);
        }
    }

    fn series(&mut self, team: &Team, route: &Route) -> &mut Series {
        if self.index.len() != self.series.len() {
            // Rebuild the index, which is not serialized, after deserialization.
            let keys = self.series.iter().map(|s| (s.team.clone(), s.route.clone()));
            self.index = keys.zip(0..).collect();
        }
        let key = (team.clone(), route.clone());
        let next = self.series.len();
        let at = *self.index.entry(key).or_insert(next);
        if at == next {
            let (team, route) = (team.clone(), route.clone());
            self.series.push(Series { team, route, objective: 0.0, rings: Default::default() });
        }
        &mut self.series[at]
    }

    /// Adds the counts of another node and keeps the stricter objective.
    pub fn merge(&mut self, other: &Self) {
        for source in &other.series {
            let target = self.series(&source.team, &source.route);
            target.objective = target.objective.max(source.objective);
            for (ring, added) in target.rings.iter_mut().zip(&source.rings) {
                // A ring of another length comes from another version and cannot be added.
                if added.buckets.len() != BUCKETS {
                    continue;
                }
                for n in added.last.saturating_sub(BUCKETS as u64 - 1)..=added.last {
                    ring.add(n, added.buckets[(n % BUCKETS as u64) as usize]);
                }
            }
        }
    }

    /// Burn rates at the wall time `now`, sorted by team and route.
    pub fn report(&self, now: Ms) -> BurnReport {
        let mut rows: Vec<BurnRow> = self.series.iter().map(|s| row(s, now)).collect();
        rows.sort_by(|a, b| (&a.team, &a.route).cmp(&(&b.team, &b.route)));
        BurnReport { rows }
    }
}

fn row(series: &Series, now: Ms) -> BurnRow {
    let window = |(i, ring): (usize, &Ring)| {
        let sum = ring.sum(bucket_number(i, now));
        let (good, bad) = (sum.good as f64 / THOUSANDTHS, sum.bad as f64 / THOUSANDTHS);
        let allowed = (1.0 - series.objective).max(f64::EPSILON);
        let burn = (good + bad > 0.0).then(|| bad / (good + bad) / allowed);
        // Rounded to three decimals, which suffices for a reader and makes reports comparable.
        let burn = burn.map(|b| (b * THOUSANDTHS).round() / THOUSANDTHS);
        WindowBurn { window: BURN_WINDOWS[i].0, good, bad, burn }
    };
    BurnRow {
        team: series.team.clone(),
        route: series.route.clone(),
        objective: series.objective,
        windows: series.rings.iter().enumerate().map(window).collect(),
    }
}

/// Burn rates per team and route.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BurnReport {
    /// One row per team and route, sorted.
    pub rows: Vec<BurnRow>,
}

impl BurnReport {
    /// Renders the report as a text table.
    pub fn text(&self) -> String {
        let mut out = format!("{:<16} {:<16} {:>9}", "team", "route", "objective");
        for (name, _) in BURN_WINDOWS {
            let _ = write!(out, " {name:>10}");
        }
        out.push('\n');
        for r in &self.rows {
            let _ =
                write!(out, "{:<16} {:<16} {:>9}", r.team.as_str(), r.route.as_str(), r.objective);
            for w in &r.windows {
                let burn = w.burn.map_or_else(|| "-".to_owned(), |b| format!("{b:.2}"));
                let _ = write!(out, " {burn:>10}");
            }
            out.push('\n');
        }
        out
    }
}
