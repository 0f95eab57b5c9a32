//! State of all endpoints: their own entries, the reports of their holders, the requests
//! that this node and its peers run on them, and the outcomes of those requests.
//!
//! From these, [`EndpointState::predicted_wait`] predicts the time to the first event.

use std::net::SocketAddr;
use std::rc::Rc;

use crate::failpoint::{Failpoint, active};
use crate::ids::Map;
use crate::stream_origins::Origin;
use crate::time::Ms;

/// An adapter in a given version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedAdapter {
    /// Adapter, as `model/adapter`.
    pub adapter: Rc<str>,
    /// Version, or 0 if unknown.
    pub version: u64,
}

/// An endpoint's own entry in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// Instance ID.
    pub id: Rc<str>,
    /// Service that the endpoint belongs to.
    pub service: Rc<str>,
    /// Version of the endpoint's software; empty if it states none.
    pub software: Rc<str>,
    /// Address for requests.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Number of requests that run at the same time.
    pub slots: usize,
    /// Whether the endpoint is draining and accepts no new requests.
    pub leaving: bool,
    /// Time left in which the endpoint is still slow after its start.
    pub warmup: Ms,
    /// Time until the endpoint is gone, if known.
    pub ends_in: Option<Ms>,
    /// Loaded models.
    pub models: Vec<Rc<str>>,
    /// Loaded adapters.
    pub adapters: Vec<VersionedAdapter>,
    /// Start of the process, in ms since the Unix epoch.
    pub started_at: u64,
}

impl EndpointEntry {
    /// Where streams that the endpoint begins come from.
    pub fn origin(&self) -> Origin {
        Origin { service: self.service.clone(), software: self.software.clone() }
    }
}

/// Requests that one node has at an endpoint, and their tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestLoad {
    /// Requests sent and not completed.
    pub running: u32,
    /// Prompt tokens of requests that have not had a first event.
    pub unread: f64,
    /// Tokens in the KV cache.
    pub memory: f64,
}

/// Age at which a peer's report of its load is ignored; five intervals of beats.
pub const LOAD_MAX_AGE: Ms = Ms(1_000);

/// Assumed prompt tokens that an endpoint reads per ms; [`EndpointState::latency_ratio`] corrects
/// the predictions.
const READ_TOKENS_PER_MS: f64 = 30.0;
/// Time by which each running request delays a first event.
const BATCH_DELAY_MS: f64 = 0.8;
/// Time of a load from the idle weight store, as stated by engines.
pub const FETCH_MS: f64 = 260.0;
/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Consecutive broken or missing answers after which an endpoint is paused.
const FAILURES_TO_PAUSE: u32 = 3;
/// First pause of a failing endpoint; doubles with each further failure.
const PAUSE_MIN: Ms = Ms(500);
/// Longest pause; a restart of an endpoint takes as long.
const PAUSE_MAX: Ms = Ms(4_000);
/// Predicted wait added per request without an answer for [`STUCK_AFTER`].
const STUCK_PENALTY_MS: f64 = 250.0;
/// Time without an answer after which a request counts as stuck.
pub const STUCK_AFTER: Ms = Ms(1_000);

/// Outcome of a request at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Answered.
    Answered,
    /// Answered with an error of the endpoint.
    Failed,
    /// Refused without running, because the endpoint is full.
    Full,
    /// Connection refused or reset, or malformed answer.
    Broken,
    /// No answer in time.
    Silent,
}

/// What an endpoint's answers state about its rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StatedLimit {
    /// Requests per second from all nodes together; `None` if the endpoint has ended its limit.
    pub rate: Option<f64>,
    /// Arrival of the newest answer that this is known from.
    pub heard: Ms,
}

/// State of one endpoint.
#[derive(Clone, Debug)]
pub struct EndpointState {
    /// The endpoint's own entry.
    pub entry: EndpointEntry,
    /// Version of the entry's row.
    pub row_version: u64,
    /// Node that gives the endpoint its orders.
    pub holder: Option<Rc<str>>,
    /// Loaded adapters with their versions.
    pub loaded: Map<Rc<str>, u64>,
    /// Adapters that requests of this node wait for, with the number of requests and the
    /// instant at which the holder was last notified.
    pub local_waiters: Map<Rc<str>, (u32, Ms)>,
    /// Adapters queued for a load, as reported by the holder.
    pub queued_loads: u32,
    /// Adapters unloaded earlier, with the instant; they may still be in the endpoint's own
    /// memory, which makes a reload faster.
    pub reloadable: Map<Rc<str>, Ms>,
    /// Load from this node.
    pub own_load: RequestLoad,
    /// Load from each peer, with the instant of its report.
    pub peer_loads: Map<Rc<str>, (RequestLoad, Ms)>,
    /// Instants at which the unanswered requests were sent.
    pub unanswered: Vec<Ms>,
    /// Moving average of the ratio of observed to predicted time.
    pub latency_ratio: f64,
    /// Moving average of the fraction of requests that failed.
    pub failure_rate: f64,
    /// Consecutive broken or missing answers.
    pub failures: u32,
    /// Instant until which the endpoint is paused.
    pub paused_until: Ms,
    /// Whether the endpoint was found to be gone or leaving by evidence other than its entry.
    pub gone: bool,
    /// Rate limit that the endpoint states; `None` if it has never stated one.
    pub stated_limit: Option<StatedLimit>,
    /// Instant until which the endpoint has asked this node to send nothing.
    pub closed_until: Ms,
}

impl EndpointState {
    /// Creates the state of an endpoint of which only the entry is known.
    pub fn new(entry: EndpointEntry) -> Self {
        let held = entry.adapters.iter().map(|h| (h.adapter.clone(), h.version)).collect();
        Self {
            entry,
            row_version: 0,
            holder: None,
            loaded: held,
            local_waiters: Map::default(),
            queued_loads: 0,
            reloadable: Map::default(),
            own_load: RequestLoad::default(),
            peer_loads: Map::default(),
            unanswered: Vec::new(),
            latency_ratio: 1.0,
            failure_rate: 0.0,
            failures: 0,
            paused_until: Ms(0),
            gone: false,
            stated_limit: None,
            closed_until: Ms(0),
        }
    }

    /// Records that the endpoint wants nothing from this node for `time`. Returns whether it had
    /// not asked for that before.
    pub fn record_retry_after(&mut self, now: Ms, time: Ms) -> bool {
        let was_open = !self.is_closed(now);
        self.closed_until = self.closed_until.max(now + time);
        was_open && self.is_closed(now)
    }

    /// Whether the endpoint has asked this node to send nothing at present.
    pub fn is_closed(&self, now: Ms) -> bool {
        now < self.closed_until
    }

    /// Where streams that this endpoint begins come from.
    pub fn origin(&self) -> Origin {
        self.entry.origin()
    }

    /// Records the rate limit stated by an answer that arrived at `heard`; `None` if it states
    /// none. Returns whether the limit has changed.
    pub fn record_limit(&mut self, heard: Ms, rate: Option<f64>) -> bool {
        let old = self.stated_limit;
        if old.map_or(rate.is_none(), |known| heard < known.heard) {
            return false;
        }
        self.stated_limit = Some(StatedLimit { rate, heard });
        old.and_then(|known| known.rate) != rate
    }

    /// Sum of the load from all nodes.
    pub fn total_load(&self, now: Ms) -> RequestLoad {
        let mut sum = self.own_load;
        for (load, at) in self.peer_loads.values() {
            if now.since(*at) < LOAD_MAX_AGE {
                sum.running += load.running;
                sum.unread += load.unread;
                sum.memory += load.memory;
            }
        }
        sum
    }

    /// Whether new requests may be sent to the endpoint.
    pub fn usable(&self) -> bool {
        (!self.entry.leaving && !self.gone) || active(Failpoint::GrantLeaving)
    }

    /// Whether the endpoint is paused after failures.
    pub fn is_paused(&self, now: Ms) -> bool {
        now < self.paused_until
    }

    /// Predicted time to the first event of a request with `prompt_tokens` prompt tokens, in ms.
    ///
    /// `kv_tokens` is the number of tokens that fit into the KV cache; 0 if unknown.
    pub fn predicted_wait(&self, now: Ms, prompt_tokens: f64, kv_tokens: f64) -> f64 {
        let load = self.total_load(now);
        let slots = self.entry.slots.max(1) as f64;
        let read = (load.unread + prompt_tokens) / READ_TOKENS_PER_MS;
        let batch = f64::from(load.running) * BATCH_DELAY_MS;
        let queue = (f64::from(load.running) + 1.0 - slots).max(0.0) * 20.0;
        let full = if kv_tokens > 0.0 && load.memory + prompt_tokens > kv_tokens * 0.9 {
            500.0
        } else {
            0.0
        };
        let stuck = self.unanswered.iter().filter(|at| now.since(**at) > STUCK_AFTER).count();
        (read + batch) * self.latency_ratio + queue + full + stuck as f64 * STUCK_PENALTY_MS
    }

    /// Predicted wait at a plain service with the given mean service time, both in ms.
    pub fn predicted_plain_wait(&self, now: Ms, service_ms: f64) -> f64 {
        let load = self.total_load(now);
        let slots = self.entry.slots.max(1) as f64;
        let ahead = f64::from(load.running) / slots;
        let stuck = self.unanswered.iter().filter(|at| now.since(**at) > STUCK_AFTER).count();
        (service_ms * (1.0 + ahead * ahead)) * self.latency_ratio + stuck as f64 * STUCK_PENALTY_MS
    }

    /// Records the outcome of a request; consecutive failures pause the endpoint.
    pub fn record_outcome(&mut self, now: Ms, outcome: RequestOutcome) {
        let failed = !matches!(outcome, RequestOutcome::Answered | RequestOutcome::Full);
        self.failure_rate += SAMPLE_WEIGHT * (f64::from(u8::from(failed)) - self.failure_rate);
        match outcome {
            RequestOutcome::Broken | RequestOutcome::Silent => {
                self.failures += 1;
                if self.failures >= FAILURES_TO_PAUSE {
                    let doubled = PAUSE_MIN.0 << (self.failures - FAILURES_TO_PAUSE).min(4);
                    self.paused_until = now + Ms(doubled.min(PAUSE_MAX.0));
                }
            }
            RequestOutcome::Answered | RequestOutcome::Failed => self.failures = 0,
            RequestOutcome::Full => {}
        }
    }

    /// Records an observed time and its prediction, both in ms.
    pub fn record_latency(&mut self, predicted: f64, observed: f64) {
        let ratio = (observed / predicted.max(5.0)).clamp(0.2, 8.0);
        // The step is relative to the average, so that one much slower answer keeps an
        // effect for a while.
        self.latency_ratio = (self.latency_ratio
            + SAMPLE_WEIGHT * self.latency_ratio * (ratio - 1.0))
            .clamp(0.3, 8.0);
    }
}

/// All endpoints by instance ID.
#[derive(Clone, Debug, Default)]
pub struct EndpointTable {
    rows: Map<Rc<str>, EndpointState>,
    services: Map<Rc<str>, Vec<Rc<str>>>,
    /// Moving average of the time by which loads from the weight store exceed [`FETCH_MS`],
    /// in ms. All endpoints share the store's rate.
    fetch_delay: f64,
}

impl EndpointTable {
    /// Records the time that a load from the weight store took.
    pub fn record_fetch(&mut self, took: Ms) {
        let delay = (took.0 as f64 - FETCH_MS).max(0.0);
        self.fetch_delay += SAMPLE_WEIGHT * (delay - self.fetch_delay);
    }

    /// Predicted time of a load from the weight store, in ms.
    pub fn fetch_time(&self) -> f64 {
        FETCH_MS + self.fetch_delay
    }

    /// Adds an endpoint or updates its entry.
    pub fn update(&mut self, entry: EndpointEntry) {
        if let Some(state) = self.rows.get_mut(&entry.id) {
            if state.entry.started_at != entry.started_at {
                // The endpoint has restarted under the same ID, so it holds nothing.
                *state = EndpointState::new(entry);
                return;
            }
            let leaving = state.entry.leaving;
            if state.holder.is_none() {
                state.loaded =
                    entry.adapters.iter().map(|h| (h.adapter.clone(), h.version)).collect();
            }
            state.entry = entry;
            // An endpoint that announced its end does not come back before a restart.
            state.entry.leaving |= leaving;
            return;
        }
        let ids = self.services.entry(entry.service.clone()).or_default();
        ids.push(entry.id.clone());
        ids.sort();
        self.rows.insert(entry.id.clone(), EndpointState::new(entry));
    }

    /// Removes an endpoint and returns its state.
    pub fn remove(&mut self, id: &str) -> Option<EndpointState> {
        let state = self.rows.remove(id)?;
        if let Some(ids) = self.services.get_mut(&state.entry.service) {
            ids.retain(|i| &**i != id);
        }
        Some(state)
    }

    /// Returns an endpoint.
    pub fn get(&self, id: &str) -> Option<&EndpointState> {
        self.rows.get(id)
    }

    /// Returns an endpoint to be changed.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut EndpointState> {
        self.rows.get_mut(id)
    }

    /// Endpoints of a service, in the order of their IDs.
    pub fn of_service<'a>(
        &'a self,
        service: &str,
    ) -> impl Iterator<Item = &'a EndpointState> + use<'a> {
        let ids = self.services.get(service).map(Vec::as_slice).unwrap_or_default();
        ids.iter().filter_map(|id| self.rows.get(id))
    }

    /// All endpoints.
    pub fn iter(&self) -> impl Iterator<Item = &EndpointState> {
        self.rows.values()
    }

    /// All endpoints, to be changed.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut EndpointState> {
        self.rows.values_mut()
    }

    /// Number of endpoints.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether there are no endpoints.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
