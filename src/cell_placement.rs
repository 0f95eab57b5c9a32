//! Choice of the endpoint of a cell for a request.
//!
//! Rendezvous hashing assigns each adapter up to [`MAX_CHOICES`] home endpoints. A request
//! goes to the home or other endpoint with the adapter that has the lowest estimated time to
//! first token. The estimate includes the wait in the queue, the load of an absent adapter,
//! the prompt without the cached prefix, and a penalty for an outdated load view. Only when
//! all of these endpoints are overloaded may the request spill to the least loaded other
//! endpoint of the cell.

use rand::{Rng, RngExt};

use crate::ids::{AdapterRef, Endpoint, Map, stable_hash};
use crate::time::Ms;

/// Penalty for an endpoint that has the adapter but is not a home of it, in microseconds.
const NON_HOME_PENALTY_US: u64 = 100_000;

/// Assumed number of teams that share a queue: this many jobs are served per waiting job of
/// the request's team.
const COMPETING_TEAMS: u32 = 3;

/// Maximum number of rendezvous choices of one adapter.
pub const MAX_CHOICES: usize = 3;

/// Load of an endpoint as its owner reports it to the cell.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadView {
    /// Number of granted attempts that have not ended.
    pub running: u32,
    /// Number of queued attempts.
    pub queued: u32,
    /// Total tokens of the queued attempts.
    pub queued_tokens: u64,
    /// Maximum number of concurrent attempts; 0 if unknown.
    pub batch: u32,
    /// Number of adapter slots.
    pub slots: u32,
    /// Number of adapter loads in progress or waiting for an eviction.
    pub loading: u32,
    /// Loaded adapters, in ascending order.
    pub loaded: Vec<AdapterRef>,
    /// Whether the endpoint is being removed.
    pub leaving: bool,
    /// Whether the endpoint answers its owner.
    pub healthy: bool,
}

impl LoadView {
    /// Returns whether the adapter is loaded.
    pub fn has(&self, adapter: &AdapterRef) -> bool {
        self.loaded.binary_search(adapter).is_ok()
    }

    /// Running and queued attempts per place in the batch; 1 is a full batch and an empty
    /// queue.
    fn utilization(&self) -> f64 {
        f64::from(self.running + self.queued) / f64::from(self.batch.max(1))
    }
}

/// An endpoint that is considered for a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The endpoint.
    pub endpoint: &'a Endpoint,
    /// Last known load of the endpoint.
    pub load: &'a LoadView,
    /// Age of the load view.
    pub age: Ms,
    /// Whether the request's adapter is loaded or the request needs none.
    pub loaded: bool,
    /// Whether the endpoint is in the entry node's failure domain.
    pub same_domain: bool,
    /// Whether a node currently owns the endpoint.
    pub owned: bool,
    /// Whether the endpoint is a home of the adapter, that is, one of its rendezvous choices.
    pub home: bool,
    /// Number of prompt tokens in the endpoint's prefix cache.
    pub cached_prefix: u32,
    /// Number of attempts of the request's team that wait for a permit of the endpoint, as
    /// counted by this node.
    pub team_waiting: u32,
}

/// Properties of a request that determine the choice of its endpoint.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest {
    /// Prompt plus maximum output, in tokens.
    pub tokens: u64,
    /// Prompt tokens.
    pub prompt: u32,
    /// Time after which an answer is useless.
    pub deadline: Ms,
    /// Cost estimates of the model.
    pub costs: Costs,
}

/// Cost estimates for the endpoints of a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Costs {
    /// Time that a token occupies one place in the batch, in microseconds.
    pub token_us: u64,
    /// Time to compute one prompt token, in microseconds.
    pub prefill_us: u64,
    /// Penalty of one adapter load. It exceeds the load time, because each load uses a slot
    /// and weight store capacity that other requests wait for.
    pub load_penalty: Ms,
    /// Round-trip time to another failure domain.
    pub domain_rtt: Ms,
    /// Wait in the queue from which an endpoint counts as overloaded.
    pub overload_wait: Ms,
}

impl Default for Costs {
    fn default() -> Self {
        Self {
            token_us: 30_000,
            prefill_us: 200,
            load_penalty: Ms(3_000),
            domain_rtt: Ms(3),
            overload_wait: Ms(2_000),
        }
    }
}

/// Returns the index of the chosen candidate, or `None` if no candidate can be used.
///
/// Homes and endpoints that have the adapter are preferred; others are used only when these
/// are overloaded. Candidates whose costs differ by less than 2 ms are chosen at random, so
/// that nodes with the same view spread their requests.
pub fn choose(
    _now: Ms,
    request: &PlacementRequest,
    candidates: &[Candidate<'_>],
    rng: &mut impl Rng,
) -> Option<usize> {
    choose_from_iter(request, candidates.iter().copied(), rng)
}

/// Like [`choose`], but takes an iterator, so that the candidates need not be collected.
pub fn choose_from_iter<'a>(
    request: &PlacementRequest,
    candidates: impl Iterator<Item = Candidate<'a>>,
    rng: &mut impl Rng,
) -> Option<usize> {
    let overload_us = request.costs.overload_wait.0 * 1_000;
    let mut best: Option<(usize, u64)> = None;
    let mut spill: Option<(usize, f64, Candidate<'a>)> = None;
    let mut below_overload = false;
    for (i, c) in candidates.enumerate() {
        if !c.owned || !c.load.healthy || c.load.leaving {
            continue;
        }
        // An endpoint to which an earlier request spilled still has the adapter, which saves
        // a load. Homes are preferred, so that such copies are no longer used once the homes
        // have capacity.
        if c.home || c.loaded {
            let cost = estimate_ttft_us(request, &c) + if c.home { 0 } else { NON_HOME_PENALTY_US };
            below_overload |= queue_wait_us(request, &c) < overload_us;
            let better = match best {
                None => true,
                Some((_, b)) if cost.abs_diff(b) < 2_000 => rng.random::<bool>(),
                Some((_, b)) => cost < b,
            };
            if better {
                best = Some((i, cost));
            }
        } else {
            let utilization = c.load.utilization();
            if spill.as_ref().is_none_or(|(_, s, _)| utilization < *s) {
                spill = Some((i, utilization, c));
            }
        }
    }
    match (best, spill) {
        (Some((home, cost)), Some((other, _, c))) if !below_overload => {
            // If the whole cell is overloaded, a spill would only add adapter loads.
            let better =
                queue_wait_us(request, &c) < overload_us && estimate_ttft_us(request, &c) < cost;
            Some(if better { other } else { home })
        }
        (Some((home, _)), _) => Some(home),
        (None, spill) => spill.map(|(i, ..)| i),
    }
}

/// Estimates the time to first token on a candidate, in microseconds.
pub fn estimate_ttft_us(request: &PlacementRequest, c: &Candidate<'_>) -> u64 {
    let costs = &request.costs;
    let prefill_us = u64::from(request.prompt.saturating_sub(c.cached_prefix)) * costs.prefill_us;
    let load_us =
        if c.loaded { 0 } else { costs.load_penalty.0 * 1_000 * u64::from(1 + c.load.loading) };
    let domain_us = if c.same_domain { 0 } else { costs.domain_rtt.0 * 1_000 };
    // Since an old view was made, the load may have changed by up to one request per place.
    let stale_us = c.age.0.saturating_sub(500) * 100;
    queue_wait_us(request, c) + prefill_us + load_us + domain_us + stale_us
}

/// Estimates the wait for a place in the batch, in microseconds.
///
/// Queues are fair by team, so a team with few jobs waits little even in a long queue.
fn queue_wait_us(request: &PlacementRequest, c: &Candidate<'_>) -> u64 {
    let load = c.load;
    let batch = u64::from(load.batch.max(1));
    let running = u64::from(load.running);
    if running < batch {
        // While places are free, queued jobs wait only for loads and do not delay other
        // requests. A fuller batch makes each step slower.
        return request.costs.token_us * running / batch;
    }
    let ahead = u64::from(load.queued.min(c.team_waiting.saturating_mul(COMPETING_TEAMS)));
    let tokens = load.queued_tokens * ahead / u64::from(load.queued.max(1));
    (tokens + request.tokens / 2) * request.costs.token_us / batch
}

/// Rendezvous choices of an adapter as indices of endpoints, best first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Choices {
    at: [u16; MAX_CHOICES],
    len: u8,
}

impl Choices {
    /// Indices of the endpoints, best first.
    pub fn as_slice(&self) -> &[u16] {
        &self.at[..usize::from(self.len)]
    }
}

/// Rendezvous hashing over the endpoints of one cell, with precomputed endpoint hashes.
///
/// The choices are equal on all nodes with the same list of endpoints.
#[derive(Clone, Debug, Default)]
pub struct Rendezvous {
    hashes: Vec<u64>,
}

impl Rendezvous {
    /// Creates the hashes of at most 65,536 endpoints. The indices of [`Choices`] refer to
    /// this slice.
    pub fn new(endpoints: &[Endpoint]) -> Self {
        Self { hashes: endpoints.iter().map(|e| stable_hash(&[e.as_str()])).collect() }
    }

    /// Returns the `replicas` highest-ranked endpoints of an adapter. `replicas` is clamped to
    /// between 1 and [`MAX_CHOICES`].
    pub fn choices(&self, adapter: &AdapterRef, replicas: usize) -> Choices {
        let key = stable_hash(&[adapter.adapter.as_str()]);
        let want = replicas.clamp(1, MAX_CHOICES);
        let mut top = [(0u64, 0u16); MAX_CHOICES];
        let mut len = 0;
        for (i, hash) in self.hashes.iter().enumerate() {
            let score = mix_hash(key ^ hash);
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

/// Returns the rendezvous choices of an adapter as indices into `endpoints`, best first.
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

fn mix_hash(mut h: u64) -> u64 {
    h ^= h >> 33;
    h = h.wrapping_mul(0xff51_afd7_ed55_8ccd);
    h ^= h >> 33;
    h = h.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    h ^ (h >> 33)
}

/// Decayed request rates of adapters, which determine the numbers of replicas.
#[derive(Debug)]
pub struct Popularity {
    rates: Map<AdapterRef, (f64, Ms)>,
    decay_time: Ms,
    replica_rate: f64,
}

impl Popularity {
    /// Creates rates that decay with the time constant `decay_time`. An adapter gets one more
    /// replica per `replica_rate` requests per second.
    pub fn new(decay_time: Ms, replica_rate: f64) -> Self {
        Self { rates: Map::default(), decay_time, replica_rate }
    }

    /// Counts a request for the adapter.
    pub fn on_request(&mut self, now: Ms, adapter: &AdapterRef) {
        let rate = self.rate(now, adapter);
        let one = 1_000.0 / self.decay_time.0.max(1) as f64;
        match self.rates.get_mut(adapter) {
            Some(entry) => *entry = (rate + one, now),
            None => drop(self.rates.insert(adapter.clone(), (one, now))),
        }
    }

    /// Returns the request rate of an adapter, per second.
    pub fn rate(&self, now: Ms, adapter: &AdapterRef) -> f64 {
        let Some((rate, at)) = self.rates.get(adapter) else { return 0.0 };
        rate * (-(now.since(*at).0 as f64) / self.decay_time.0.max(1) as f64).exp()
    }

    /// Returns the number of endpoints that should hold the adapter: between 1 and
    /// [`MAX_CHOICES`].
    pub fn replicas(&self, now: Ms, adapter: &AdapterRef) -> usize {
        (1 + (self.rate(now, adapter) / self.replica_rate) as usize).min(MAX_CHOICES)
    }

    /// Removes adapters whose rate has decayed to 1% of `replica_rate` or less.
    pub fn drop_idle(&mut self, now: Ms) {
        let (decay_time, replica_rate) = (self.decay_time.0.max(1) as f64, self.replica_rate);
        self.rates.retain(|_, (r, at)| {
            *r * (-(now.since(*at).0 as f64) / decay_time).exp() > replica_rate / 100.0
        });
    }
}
