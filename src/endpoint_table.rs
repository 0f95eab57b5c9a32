//! The table of endpoints: what they say of themselves, what their holders say,
//! what this node and its peers run on them, and how their answers turned out.
//!
//! [`EndpointState::wait`] predicts the time to the first event from these inputs.

use std::net::SocketAddr;
use std::rc::Rc;

use crate::failpoint::{Failpoint, active};
use crate::ids::Map;
use crate::time::Ms;

/// Adapter in place, with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedAdapter {
    /// Model and adapter, as requests name them.
    pub adapter: Rc<str>,
    /// Version; 0 if unknown.
    pub version: u64,
}

/// What an endpoint says of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// Instance.
    pub id: Rc<str>,
    /// Service that it belongs to.
    pub service: Rc<str>,
    /// Address for requests.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Requests that it runs at once.
    pub slots: usize,
    /// It takes no new work.
    pub leaving: bool,
    /// Time for which it is still slow after its start.
    pub warmup: Ms,
    /// Time until it is gone, if its end is known.
    pub ends_in: Option<Ms>,
    /// Models in place.
    pub models: Vec<Rc<str>>,
    /// Adapters in place.
    pub adapters: Vec<VersionedAdapter>,
    /// Start, in ms since the Unix epoch.
    pub started_at: u64,
}

/// Requests at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestLoad {
    /// Requests sent and not ended.
    pub running: u32,
    /// Prompt tokens of requests without a first event.
    pub unread: f64,
    /// Tokens in memory.
    pub memory: f64,
}

/// Time after which a peer's report of its load counts for nothing; five beats.
pub const LOAD_AGE: Ms = Ms(1_000);

/// Prompt tokens that an endpoint reads per ms until its answers say otherwise.
const READ_RATE: f64 = 30.0;
/// Time that each further request of a batch adds to a first event, in ms.
const BATCH_MS: f64 = 0.8;
/// Time of a load from the idle weight store, as engines state it.
pub const FETCH_MS: f64 = 260.0;
/// Weight of a new sample in the moving averages.
const SAMPLE: f64 = 0.1;
/// Consecutive failures after which an endpoint is left alone for a while.
const FAILURES: u32 = 3;
/// First pause of an endpoint that failed; doubles with each further failure.
const PAUSE: Ms = Ms(500);
/// Longest pause; as long as a restart of an endpoint takes.
const PAUSE_MAX: Ms = Ms(4_000);
/// Wait added for a request that has had no answer for [`STUCK`], in ms.
const STUCK_MS: f64 = 250.0;
/// Time without an answer after which a request counts as stuck.
pub const STUCK: Ms = Ms(1_000);

/// How a request at an endpoint turned out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Answered by the endpoint.
    Answered,
    /// Answered with a failure of its own.
    Failed,
    /// Refused unrun because it is full.
    Full,
    /// Connection refused, reset, or garbled answer.
    Broken,
    /// No answer in time.
    Silent,
}

/// One endpoint.
#[derive(Clone, Debug)]
pub struct EndpointState {
    /// What it says of itself.
    pub entry: EndpointEntry,
    /// Node that gives it orders.
    pub holder: Option<Rc<str>>,
    /// Adapters in place, with their versions.
    pub loaded: Map<Rc<str>, u64>,
    /// Adapters that requests of this node wait for: how many, and when the holder was
    /// told last.
    pub local_waiters: Map<Rc<str>, (u32, Ms)>,
    /// Adapters that wait for a load, as its holder says.
    pub queued_loads: u32,
    /// Adapters that it held before and may reload faster.
    pub reloadable: Map<Rc<str>, Ms>,
    /// Load by this node.
    pub own_load: RequestLoad,
    /// Load by each peer, with the time of its report.
    pub peer_loads: Map<Rc<str>, (RequestLoad, Ms)>,
    /// Instants at which unanswered requests were sent.
    pub unanswered: Vec<Ms>,
    /// Moving average of observed to predicted time.
    pub latency_ratio: f64,
    /// Moving average of the share of failures.
    pub failure_rate: f64,
    /// Consecutive failures.
    pub failures: u32,
    /// Instant until which it is left alone.
    pub paused_until: Ms,
    /// It was found gone or leaving by other evidence than its entry.
    pub gone: bool,
}

impl EndpointState {
    /// An endpoint known from its entry only.
    pub fn new(entry: EndpointEntry) -> Self {
        let held = entry.adapters.iter().map(|h| (h.adapter.clone(), h.version)).collect();
        Self {
            entry,
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
        }
    }

    /// Load by all nodes.
    pub fn load(&self, now: Ms) -> RequestLoad {
        let mut sum = self.own_load;
        for (load, at) in self.peer_loads.values() {
            if now.since(*at) < LOAD_AGE {
                sum.running += load.running;
                sum.unread += load.unread;
                sum.memory += load.memory;
            }
        }
        sum
    }

    /// Whether new work may be sent to it.
    pub fn usable(&self) -> bool {
        (!self.entry.leaving && !self.gone) || active(Failpoint::GrantLeaving)
    }

    /// Whether it is left alone after failures.
    pub fn is_paused(&self, now: Ms) -> bool {
        now < self.paused_until
    }

    /// Predicted time to the first event of a request with `input` unread tokens, in ms.
    pub fn wait(&self, now: Ms, input: f64, capacity: f64) -> f64 {
        let load = self.load(now);
        let slots = self.entry.slots.max(1) as f64;
        let read = (load.unread + input) / READ_RATE;
        let batch = f64::from(load.running) * BATCH_MS;
        let queue = (f64::from(load.running) + 1.0 - slots).max(0.0) * 20.0;
        let full = if capacity > 0.0 && load.memory + input > capacity * 0.9 { 500.0 } else { 0.0 };
        let stuck = self.unanswered.iter().filter(|at| now.since(**at) > STUCK).count();
        (read + batch) * self.latency_ratio + queue + full + stuck as f64 * STUCK_MS
    }

    /// Predicted wait on a plain service with the given mean time of work, in ms.
    pub fn plain_wait(&self, now: Ms, work: f64) -> f64 {
        let load = self.load(now);
        let slots = self.entry.slots.max(1) as f64;
        let ahead = f64::from(load.running) / slots;
        let stuck = self.unanswered.iter().filter(|at| now.since(**at) > STUCK).count();
        (work * (1.0 + ahead * ahead)) * self.latency_ratio + stuck as f64 * STUCK_MS
    }

    /// Records the end of a request.
    pub fn record_outcome(&mut self, now: Ms, how: RequestOutcome) {
        let failed = !matches!(how, RequestOutcome::Answered | RequestOutcome::Full);
        self.failure_rate += SAMPLE * (f64::from(u8::from(failed)) - self.failure_rate);
        match how {
            RequestOutcome::Broken | RequestOutcome::Silent => {
                self.failures += 1;
                if self.failures >= FAILURES {
                    let doubled = PAUSE.0 << (self.failures - FAILURES).min(4);
                    self.paused_until = now + Ms(doubled.min(PAUSE_MAX.0));
                }
            }
            RequestOutcome::Answered | RequestOutcome::Failed => self.failures = 0,
            RequestOutcome::Full => {}
        }
    }

    /// Records an observed time against its prediction, both in ms.
    pub fn record_latency(&mut self, predicted: f64, seen: f64) {
        let ratio = (seen / predicted.max(5.0)).clamp(0.2, 8.0);
        // An answer that is far slower than predicted is not averaged away at once.
        self.latency_ratio =
            (self.latency_ratio + SAMPLE * self.latency_ratio * (ratio - 1.0)).clamp(0.3, 8.0);
    }
}

/// All endpoints by instance.
#[derive(Clone, Debug, Default)]
pub struct EndpointTable {
    rows: Map<Rc<str>, EndpointState>,
    services: Map<Rc<str>, Vec<Rc<str>>>,
    /// Time of a load from the weight store beyond that of an idle one, as seen lately, in
    /// ms. Its rate is shared by all endpoints.
    fetch_delay: f64,
}

impl EndpointTable {
    /// Adopts the time that a load from the weight store took.
    pub fn record_fetch(&mut self, took: Ms) {
        let delay = (took.0 as f64 - FETCH_MS).max(0.0);
        self.fetch_delay += SAMPLE * (delay - self.fetch_delay);
    }

    /// Predicted time of a load from the weight store, in ms.
    pub fn fetch_time(&self) -> f64 {
        FETCH_MS + self.fetch_delay
    }

    /// Adopts an entry.
    pub fn update(&mut self, entry: EndpointEntry) {
        if let Some(row) = self.rows.get_mut(&entry.id) {
            if row.entry.started_at != entry.started_at {
                // A restart under the same name holds nothing of before.
                *row = EndpointState::new(entry);
                return;
            }
            let leaving = row.entry.leaving;
            if row.holder.is_none() {
                row.loaded =
                    entry.adapters.iter().map(|h| (h.adapter.clone(), h.version)).collect();
            }
            row.entry = entry;
            // An endpoint that announced its end does not come back in the same life.
            row.entry.leaving |= leaving;
            return;
        }
        let ids = self.services.entry(entry.service.clone()).or_default();
        ids.push(entry.id.clone());
        ids.sort();
        self.rows.insert(entry.id.clone(), EndpointState::new(entry));
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, id: &str) -> Option<EndpointState> {
        let row = self.rows.remove(id)?;
        if let Some(ids) = self.services.get_mut(&row.entry.service) {
            ids.retain(|i| &**i != id);
        }
        Some(row)
    }

    /// An endpoint.
    pub fn get(&self, id: &str) -> Option<&EndpointState> {
        self.rows.get(id)
    }

    /// An endpoint, to change.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut EndpointState> {
        self.rows.get_mut(id)
    }

    /// Endpoints of a service, in order of their names.
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

    /// All endpoints, to change.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut EndpointState> {
        self.rows.values_mut()
    }

    /// Number of endpoints.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
