//! Choice of the endpoint for a request.
//!
//! Rendezvous hashing proposes two or three endpoints per adapter. The request goes to the
//! one with the lowest estimated time to first token: queue ahead, load of an absent
//! adapter, prompt without cached prefix, and a penalty for an old load view. Only when all
//! of them are overloaded does it go to the least loaded endpoint of the cell.

use rand::{Rng, RngExt};

use crate::ids::{AdapterRef, Endpoint, Map, stable_hash};
use crate::time::Ms;

/// Preference of a home over another endpoint that has the adapter, in microseconds.
const AWAY: u64 = 100_000;

/// Jobs that go ahead of each waiting job of the request's own team, for the number of
/// teams that usually compete.
const TEAMS: u32 = 3;

/// Most rendezvous choices of one adapter.
pub const MAX_CHOICES: usize = 3;

/// What an endpoint's owner tells its cell about the load.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadView {
    /// Attempts with a grant that has not ended.
    pub running: u32,
    /// Attempts in the queue.
    pub queued: u32,
    /// Tokens of the attempts in the queue.
    pub queued_tokens: u64,
    /// Most concurrent attempts; 0 where it is not known.
    pub batch: u32,
    /// Number of adapter slots.
    pub slots: u32,
    /// Loads that wait or are under way.
    pub loading: u32,
    /// Loaded adapters, sorted.
    pub loaded: Vec<AdapterRef>,
    /// Whether the endpoint is being taken away.
    pub leaving: bool,
    /// Whether the endpoint answers its owner.
    pub healthy: bool,
}

impl LoadView {
    /// Whether the adapter is loaded.
    pub fn has(&self, adapter: &AdapterRef) -> bool {
        self.loaded.binary_search(adapter).is_ok()
    }

    /// Work per place of the batch: 1 is a full batch without queue.
    fn ratio(&self) -> f64 {
        f64::from(self.running + self.queued) / f64::from(self.batch.max(1))
    }
}

/// An endpoint that a request could go to.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The endpoint.
    pub endpoint: &'a Endpoint,
    /// Its last known load.
    pub load: &'a LoadView,
    /// Age of the load view.
    pub age: Ms,
    /// Whether the request's adapter is loaded, or none is needed.
    pub loaded: bool,
    /// Whether the endpoint is in the entry node's failure domain.
    pub same_domain: bool,
    /// Whether a node owns the endpoint at present.
    pub owned: bool,
    /// Whether it is one of the adapter's rendezvous choices.
    pub home: bool,
    /// Prompt tokens that its prefix cache holds.
    pub cached_prefix: u32,
    /// Attempts of the request's team that wait there for a permit, as far as known here.
    pub team_waiting: u32,
}

/// What the choice depends on, apart from the candidates.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest {
    /// Prompt plus maximum output, in tokens.
    pub tokens: u64,
    /// Prompt tokens.
    pub prompt: u32,
    /// Instant after which an answer is useless.
    pub deadline: Ms,
    /// Cost estimates of this model.
    pub costs: Costs,
}

/// Cost estimates of a model's endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Costs {
    /// Time that one place of the batch is occupied per token, in microseconds.
    pub token_us: u64,
    /// Time to compute one prompt token, in microseconds.
    pub prefill_us: u64,
    /// What one adapter load counts. It is higher than the load time, because each load takes
    /// a slot and store capacity that other requests wait for.
    pub load: Ms,
    /// Round trip to another failure domain.
    pub domain: Ms,
    /// Queue wait from which an endpoint counts as overloaded.
    pub overload: Ms,
}

impl Default for Costs {
    fn default() -> Self {
        Self {
            token_us: 30_000,
            prefill_us: 200,
            load: Ms(3_000),
            domain: Ms(3),
            overload: Ms(2_000),
        }
    }
}

/// Index of the chosen candidate, or `None` if none may be used.
///
/// Home candidates are preferred; others serve as spill when every home is overloaded. Ties
/// within 2 ms are broken at random, so that nodes with the same view spread their requests.
pub fn choose(
    _now: Ms,
    request: &PlacementRequest,
    candidates: &[Candidate<'_>],
    rng: &mut impl Rng,
) -> Option<usize> {
    choose_from(request, candidates.iter().copied(), rng)
}

/// Position of the chosen candidate, as [`choose`], without a slice of all candidates.
pub fn choose_from<'a>(
    request: &PlacementRequest,
    candidates: impl Iterator<Item = Candidate<'a>>,
    rng: &mut impl Rng,
) -> Option<usize> {
    let overload = request.costs.overload.0 * 1_000;
    let mut best: Option<(usize, u64)> = None;
    let mut spill: Option<(usize, f64, Candidate<'a>)> = None;
    let mut calm = false;
    for (i, c) in candidates.enumerate() {
        if !c.owned || !c.load.healthy || c.load.leaving {
            continue;
        }
        // A copy that an earlier spill left elsewhere saves a load, but homes are preferred,
        // so that such copies fall out of use when the homes have room.
        if c.home || c.loaded {
            let cost = estimate(request, &c) + if c.home { 0 } else { AWAY };
            calm |= wait(request, &c) < overload;
            let better = match best {
                None => true,
                Some((_, b)) if cost.abs_diff(b) < 2_000 => rng.random::<bool>(),
                Some((_, b)) => cost < b,
            };
            if better {
                best = Some((i, cost));
            }
        } else {
            let ratio = c.load.ratio();
            if spill.as_ref().is_none_or(|(_, s, _)| ratio < *s) {
                spill = Some((i, ratio, c));
            }
        }
    }
    match (best, spill) {
        (Some((home, cost)), Some((other, _, c))) if !calm => {
            // Where the whole cell is overloaded, a spill would only add loads.
            let better = wait(request, &c) < overload && estimate(request, &c) < cost;
            Some(if better { other } else { home })
        }
        (Some((home, _)), _) => Some(home),
        (None, spill) => spill.map(|(i, ..)| i),
    }
}

/// Estimated time to first token on a candidate, in microseconds.
pub fn estimate(request: &PlacementRequest, c: &Candidate<'_>) -> u64 {
    let costs = &request.costs;
    let prefill = u64::from(request.prompt.saturating_sub(c.cached_prefix)) * costs.prefill_us;
    let load = if c.loaded { 0 } else { costs.load.0 * 1_000 * u64::from(1 + c.load.loading) };
    let domain = if c.same_domain { 0 } else { costs.domain.0 * 1_000 };
    // The load may have changed by as much as one request per place since the view was made.
    let stale = c.age.0.saturating_sub(500) * 100;
    wait(request, c) + prefill + load + domain + stale
}

/// Estimated wait for a place in the batch, in microseconds.
///
/// Queues are fair by team: a team with few jobs in a long queue waits little.
fn wait(request: &PlacementRequest, c: &Candidate<'_>) -> u64 {
    let load = c.load;
    let batch = u64::from(load.batch.max(1));
    let running = u64::from(load.running);
    if running < batch {
        // Queued jobs beside free places wait for loads and hold up nobody else. A fuller
        // batch makes each step slower.
        return request.costs.token_us * running / batch;
    }
    let ahead = u64::from(load.queued.min(c.team_waiting.saturating_mul(TEAMS)));
    let tokens = load.queued_tokens * ahead / u64::from(load.queued.max(1));
    (tokens + request.tokens / 2) * request.costs.token_us / batch
}

/// The rendezvous choices of an adapter as positions in the ring, best first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Choices {
    at: [u16; MAX_CHOICES],
    len: u8,
}

impl Choices {
    /// The positions, best first.
    pub fn as_slice(&self) -> &[u16] {
        &self.at[..usize::from(self.len)]
    }
}

/// Endpoints of one cell with precomputed hashes; equal on every node of the cell.
#[derive(Clone, Debug, Default)]
pub struct Rendezvous {
    hashes: Vec<u64>,
}

impl Rendezvous {
    /// A ring of at most 65,536 endpoints; positions refer to this slice.
    pub fn new(endpoints: &[Endpoint]) -> Self {
        Self { hashes: endpoints.iter().map(|e| stable_hash(&[e.as_str()])).collect() }
    }

    /// The best `replicas` endpoints of an adapter, between 1 and [`MAX_CHOICES`].
    pub fn choices(&self, adapter: &AdapterRef, replicas: usize) -> Choices {
        let key = stable_hash(&[adapter.adapter.as_str()]);
        let want = replicas.clamp(1, MAX_CHOICES);
        let mut top = [(0u64, 0u16); MAX_CHOICES];
        let mut len = 0;
        for (i, hash) in self.hashes.iter().enumerate() {
            let score = mix(key ^ hash);
            if len == want && score <= top[want - 1].0 {
                continue;
            }
            let mut at = len.min(want - 1);
            while at > 0 && top[at - 1].0 < score {
                top[at] = top[at - 1];
                at -= 1;
            }
            top[at] = (score, i as u16);
            len = (len + 1).min(want);
        }
        Choices { at: top.map(|(_, i)| i), len: len as u8 }
    }
}

/// The rendezvous choices of an adapter, as indices into `endpoints`, best first.
///
/// ```
/// use sycamorefork::{cell_placement::rendezvous_choices, ids::AdapterRef};
/// let endpoints = ["e0", "e1", "e2"].map(Into::into);
/// let choices = rendezvous_choices(&AdapterRef::new("a", "1"), &endpoints, 2);
/// assert_eq!(choices.as_slice().len(), 2);
/// ```
pub fn rendezvous_choices(
    adapter: &AdapterRef,
    endpoints: &[Endpoint],
    replicas: usize,
) -> Choices {
    Rendezvous::new(endpoints).choices(adapter, replicas)
}

fn mix(mut h: u64) -> u64 {
    h ^= h >> 33;
    h = h.wrapping_mul(0xff51_afd7_ed55_8ccd);
    h ^= h >> 33;
    h = h.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    h ^ (h >> 33)
}

/// Decayed request rates of adapters, which decide on the number of replicas.
#[derive(Debug)]
pub struct Popularity {
    rates: Map<AdapterRef, (f64, Ms)>,
    life: Ms,
    hot: f64,
}

impl Popularity {
    /// Rates that decay over `life`; one replica more per `hot` requests a second.
    pub fn new(life: Ms, hot: f64) -> Self {
        Self { rates: Map::default(), life, hot }
    }

    /// Counts a request for the adapter.
    pub fn on_request(&mut self, now: Ms, adapter: &AdapterRef) {
        let rate = self.rate(now, adapter);
        let one = 1_000.0 / self.life.0.max(1) as f64;
        match self.rates.get_mut(adapter) {
            Some(entry) => *entry = (rate + one, now),
            None => drop(self.rates.insert(adapter.clone(), (one, now))),
        }
    }

    /// Requests a second.
    pub fn rate(&self, now: Ms, adapter: &AdapterRef) -> f64 {
        let Some((rate, at)) = self.rates.get(adapter) else { return 0.0 };
        rate * (-(now.since(*at).0 as f64) / self.life.0.max(1) as f64).exp()
    }

    /// Number of endpoints that should hold the adapter: 1 for a cold one.
    pub fn replicas(&self, now: Ms, adapter: &AdapterRef) -> usize {
        (1 + (self.rate(now, adapter) / self.hot) as usize).min(MAX_CHOICES)
    }

    /// Forgets adapters whose rate has decayed to less than 1% of `hot`.
    pub fn forget(&mut self, now: Ms) {
        let (life, hot) = (self.life.0.max(1) as f64, self.hot);
        self.rates
            .retain(|_, (r, at)| *r * (-(now.since(*at).0 as f64) / life).exp() > hot / 100.0);
    }
}
