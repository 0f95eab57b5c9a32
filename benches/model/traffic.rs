//! Requests of several teams with skewed and shifting adapter popularity.

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use sycamorefork::ids::{AdapterRef, Team};

/// Share of the total rate per team: a few teams are large.
pub const SHARES: [f64; 5] = [0.40, 0.30, 0.15, 0.10, 0.05];

/// Adapters per team, 3,000 in all.
pub const ADAPTERS: [usize; 5] = [1_000, 800, 500, 400, 300];

/// Position of the team that sends more than its rate in the second scenario.
pub const FLOOD: usize = 1;

/// Service weight per kind: interactive, normal, batch.
pub const WEIGHTS: [f64; 3] = [4.0, 2.0, 1.0];

/// Part of the requests per kind.
const KINDS: [f64; 3] = [0.5, 0.3, 0.2];

/// Time to first token that a kind allows, in microseconds.
const DEADLINES: [u64; 3] = [5_000_000, 10_000_000, 30_000_000];

/// Mean tokens of prompts and answers; both are exponential with a lower bound.
const PROMPT: f64 = 300.0;
pub const ANSWER: f64 = 256.0;

/// Interval between shifts of popularity per team, in microseconds: 14% of 3,000 adapters
/// become frequent or idle within an hour, as in design section 1.5.
const SHIFT: u64 = 43_000_000;

/// One request of the model.
#[derive(Clone, Debug)]
pub struct Request {
    pub at: u64,
    pub team: usize,
    pub adapter: usize,
    pub kind: usize,
    pub prompt: u64,
    pub answer: u64,
    pub deadline: u64,
}

/// The requests of one run with their names.
pub struct Traffic {
    pub teams: Vec<Team>,
    pub adapters: Vec<AdapterRef>,
    pub requests: Vec<Request>,
}

impl Traffic {
    /// Requests at `rate` per second for `length` microseconds; the flooding team sends
    /// `flood` times its share on top of the others' unchanged rates.
    pub fn new(seed: u64, rate: f64, length: u64, skew: f64, flood: f64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let teams: Vec<_> = (0..SHARES.len()).map(|t| Team::new(&format!("team{t}"))).collect();
        let mut adapters = Vec::new();
        let mut requests = Vec::new();
        for (t, share) in SHARES.iter().enumerate() {
            let first = adapters.len();
            let names = (0..ADAPTERS[t]).map(|a| AdapterRef::new(&format!("t{t}-a{a}"), "1"));
            adapters.extend(names);
            let mut ranks: Vec<usize> = (first..adapters.len()).collect();
            let sums: Vec<f64> = (1..=ranks.len())
                .scan(0.0, |sum, rank| {
                    *sum += (rank as f64).powf(-skew);
                    Some(*sum)
                })
                .collect();
            let rate = rate * share * if t == FLOOD { flood } else { 1.0 };
            let (mut at, mut shift) = (0.0, SHIFT);
            loop {
                at += -(1.0 - rng.random::<f64>()).ln() / rate * 1e6;
                if at as u64 >= length {
                    break;
                }
                while at as u64 >= shift {
                    // A frequent adapter changes places with any other one.
                    let frequent = rng.random_range(0..ranks.len().min(50));
                    let other = rng.random_range(0..ranks.len());
                    ranks.swap(frequent, other);
                    shift += SHIFT;
                }
                let draw = rng.random::<f64>() * sums[sums.len() - 1];
                let rank = sums.partition_point(|s| *s < draw);
                let draw = rng.random::<f64>();
                let kind = usize::from(draw > KINDS[0]) + usize::from(draw > KINDS[0] + KINDS[1]);
                let mut tokens = |mean: f64, least: f64| {
                    (least - (1.0 - rng.random::<f64>()).ln() * (mean - least)) as u64
                };
                requests.push(Request {
                    at: at as u64,
                    team: t,
                    adapter: ranks[rank],
                    kind,
                    prompt: tokens(PROMPT, 20.0),
                    answer: tokens(ANSWER, 16.0),
                    deadline: at as u64 + DEADLINES[kind],
                });
            }
        }
        requests.sort_by_key(|r| r.at);
        Self { teams, adapters, requests }
    }
}
