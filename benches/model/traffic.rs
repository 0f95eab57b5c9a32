//! Generates requests of several teams with skewed and shifting adapter popularity.

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use sycamorefork::ids::{AdapterRef, Team};

/// Share of the total rate per team; a few teams are large.
pub const TEAM_SHARES: [f64; 5] = [0.40, 0.30, 0.15, 0.10, 0.05];

/// Number of adapters per team, 3,000 in total.
pub const TEAM_ADAPTERS: [usize; 5] = [1_000, 800, 500, 400, 300];

/// Index of the team that sends more than its rate in the second scenario.
pub const FLOODING_TEAM: usize = 1;

/// Service weight by priority: interactive, normal, batch.
pub const PRIORITY_WEIGHTS: [f64; 3] = [4.0, 2.0, 1.0];

/// Share of the requests by priority.
const PRIORITY_SHARES: [f64; 3] = [0.5, 0.3, 0.2];

/// Deadline of the first token by priority, in microseconds.
const DEADLINES_US: [u64; 3] = [5_000_000, 10_000_000, 30_000_000];

/// Mean tokens of a prompt; exponentially distributed above a lower bound.
const MEAN_PROMPT_TOKENS: f64 = 300.0;

/// Mean tokens of an answer; exponentially distributed above a lower bound.
pub const MEAN_ANSWER_TOKENS: f64 = 256.0;

/// Interval between shifts of popularity in each team, in microseconds. It makes 14% of 3,000
/// adapters become frequent or idle within an hour, as in design section 1.5.
const SHIFT_INTERVAL_US: u64 = 43_000_000;

/// One request of the model; times are in microseconds, lengths in tokens.
#[derive(Clone, Debug)]
pub struct Request {
    pub at: u64,
    pub team: usize,
    pub adapter: usize,
    pub priority: usize,
    pub prompt_tokens: u64,
    pub answer_tokens: u64,
    pub deadline: u64,
}

/// The requests of one run, and the names that their indices refer to.
pub struct Traffic {
    pub teams: Vec<Team>,
    pub adapters: Vec<AdapterRef>,
    pub requests: Vec<Request>,
}

impl Traffic {
    /// Generates `rate` requests per second for `length` microseconds. The flooding team sends
    /// `flood` times its share; the rates of the others are unchanged.
    pub fn new(seed: u64, rate: f64, length: u64, skew: f64, flood: f64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let teams: Vec<_> =
            (0..TEAM_SHARES.len()).map(|t| Team::new(&format!("team{t}"))).collect();
        let mut adapters = Vec::new();
        let mut requests = Vec::new();
        for (t, share) in TEAM_SHARES.iter().enumerate() {
            let first = adapters.len();
            let names = (0..TEAM_ADAPTERS[t]).map(|a| AdapterRef::new(&format!("t{t}-a{a}"), "1"));
            adapters.extend(names);
            let mut ranks: Vec<usize> = (first..adapters.len()).collect();
            let sums: Vec<f64> = (1..=ranks.len())
                .scan(0.0, |sum, rank| {
                    *sum += (rank as f64).powf(-skew);
                    Some(*sum)
                })
                .collect();
            let rate = rate * share * if t == FLOODING_TEAM { flood } else { 1.0 };
            let (mut at, mut next_shift) = (0.0, SHIFT_INTERVAL_US);
            loop {
                at += -(1.0 - rng.random::<f64>()).ln() / rate * 1e6;
                if at as u64 >= length {
                    break;
                }
                while at as u64 >= next_shift {
                    // A frequent adapter swaps its popularity with a random one.
                    let frequent = rng.random_range(0..ranks.len().min(50));
                    let other = rng.random_range(0..ranks.len());
                    ranks.swap(frequent, other);
                    next_shift += SHIFT_INTERVAL_US;
                }
                let draw = rng.random::<f64>() * sums[sums.len() - 1];
                let rank = sums.partition_point(|s| *s < draw);
                let draw = rng.random::<f64>();
                let priority = usize::from(draw > PRIORITY_SHARES[0])
                    + usize::from(draw > PRIORITY_SHARES[0] + PRIORITY_SHARES[1]);
                let mut tokens = |mean: f64, least: f64| {
                    (least - (1.0 - rng.random::<f64>()).ln() * (mean - least)) as u64
                };
                requests.push(Request {
                    at: at as u64,
                    team: t,
                    adapter: ranks[rank],
                    priority,
                    prompt_tokens: tokens(MEAN_PROMPT_TOKENS, 20.0),
                    answer_tokens: tokens(MEAN_ANSWER_TOKENS, 16.0),
                    deadline: at as u64 + DEADLINES_US[priority],
                });
            }
        }
        requests.sort_by_key(|r| r.at);
        Self { teams, adapters, requests }
    }
}
