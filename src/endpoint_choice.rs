//! Chooses the endpoint of a request.
//!
//! Rendezvous hashing ranks the endpoints for each adapter; the first one is the adapter's
//! home. When adapters differ in popularity, a popular adapter spreads to further endpoints
//! as its home fills up, and a rare one stays at its home, which reloads it from its own
//! memory. All costs are predicted times in ms.

use std::fmt;
use std::rc::Rc;

use crate::endpoint_table::{EndpointState, EndpointTable};
use crate::ids::stable_hash;
use crate::time::Ms;

/// Time of a load from the endpoint's own memory, as stated by engines.
pub const RELOAD_MS: f64 = 30.0;
/// Cost of evicting another adapter.
const EVICTION_MS: f64 = 30.0;
/// Cost of a load at an endpoint other than the adapter's home: it fetches from the weight
/// store, whose rate all endpoints share, what the home reloads from its own memory.
const NOT_HOME_MS: f64 = 150.0;
/// Cost of each further rank in the adapter's order of endpoints.
const PER_RANK_MS: f64 = 10.0;
/// Cost of each adapter queued for a load at the endpoint, which loads about four at a time.
const QUEUED_LOAD_MS: f64 = 50.0;
/// Cost of another failure domain: the network round trip, and the price of the traffic.
const OTHER_DOMAIN_MS: f64 = 5.0;
/// Cost of an endpoint that fails every request; scaled by the failure rate.
const ALL_FAILING_MS: f64 = 600.0;
/// Cost of an endpoint paused after failures, so that it is used only if there is no other.
const PAUSED_MS: f64 = 20_000.0;
/// Cost of a load at an endpoint that has no holder to order it.
const NO_HOLDER_MS: f64 = 10_000.0;
/// Assumed mean service time of a request to a plain service.
const PLAIN_SERVICE_MS: f64 = 15.0;

/// What a request needs of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Model, if the service runs models.
    pub model: Option<&'a str>,
    /// Adapter, as `model/adapter`, if the request names one.
    pub adapter: Option<&'a str>,
    /// Version that the adapter must have.
    pub version: Option<u64>,
    /// Version of the endpoint's software, if the request takes up a stream.
    pub software: Option<&'a str>,
    /// Prompt tokens of the request.
    pub prompt_tokens: f64,
    /// Tokens that fit into an endpoint's KV cache; 0 if unknown.
    pub kv_tokens: f64,
    /// Failure domain of this node.
    pub domain: &'a str,
    /// Endpoints already tried, which are skipped.
    pub tried: &'a [Rc<str>],
    /// Endpoints that must not get a request now, which are skipped.
    pub deferred: &'a [Rc<str>],
}

/// The chosen endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Instance ID of the endpoint.
    pub id: Rc<str>,
    /// Predicted time to the first event, in ms.
    pub wait_ms: f64,
    /// Whether the adapter has to be loaded first.
    pub needs_load: bool,
}

/// Returns the ID with the highest rendezvous hash for `name`.
pub fn rendezvous_first<'a>(name: &str, ids: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    ids.max_by_key(|id| stable_hash(&[name, id]))
}

fn base_cost(e: &EndpointState, now: Ms, domain: &str) -> f64 {
    let mut cost = e.failure_rate * ALL_FAILING_MS;
    if e.is_paused(now) {
        cost += PAUSED_MS;
    }
    if e.entry.domain != domain {
        cost += OTHER_DOMAIN_MS;
    }
    cost
}

/// Whether the endpoint has the adapter loaded, in `version` if one is given.
pub fn has_adapter(e: &EndpointState, adapter: &str, version: Option<u64>) -> bool {
    e.loaded.get(adapter).is_some_and(|loaded| version.is_none_or(|v| v == *loaded))
}

/// Predicted time until an adapter is loaded, in ms.
fn load_delay(e: &EndpointState, adapter: &str, fetch: f64) -> f64 {
    if e.holder.is_none() {
        return NO_HOLDER_MS;
    }
    if e.local_waiters.contains_key(adapter) {
        return RELOAD_MS;
    }
    let load = if e.reloadable.contains_key(adapter) { RELOAD_MS } else { fetch };
    load + QUEUED_LOAD_MS * f64::from(e.queued_loads)
}

/// Cost of a load to other requests, in ms; it is not part of the request's own wait.
fn load_cost(e: &EndpointState, adapter: &str, rank: usize) -> f64 {
    if e.local_waiters.contains_key(adapter) {
        return 0.0;
    }
    let distance = if rank == 0 { 0.0 } else { NOT_HOME_MS + PER_RANK_MS * rank as f64 };
    EVICTION_MS + distance
}

fn has_model(e: &EndpointState, model: Option<&str>) -> bool {
    model.is_none_or(|m| e.entry.models.iter().any(|loaded| &**loaded == m))
}

fn has_software(e: &EndpointState, software: Option<&str>) -> bool {
    software.is_none_or(|version| version == &*e.entry.software)
}

/// Numbers of a service's endpoints by the first reason that excludes them, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Exclusions {
    /// Endpoints that are known.
    pub known: usize,
    /// Endpoints that are leaving or gone.
    pub unusable: usize,
    /// Endpoints that the request was sent to before.
    pub tried: usize,
    /// Endpoints that must not get a request now.
    pub deferred: usize,
    /// Endpoints of another software version than the one that began the stream.
    pub other_software: usize,
    /// Endpoints that have not loaded the model.
    pub without_model: usize,
}

impl Exclusions {
    /// Counts the endpoints that [`choose`] excludes.
    pub fn count(table: &EndpointTable, request: &Requirements<'_>) -> Self {
        let mut counts = Self::default();
        for e in table.of_service(request.service) {
            counts.known += 1;
            if !e.usable() {
                counts.unusable += 1;
            } else if request.tried.contains(&e.entry.id) {
                counts.tried += 1;
            } else if request.deferred.contains(&e.entry.id) {
                counts.deferred += 1;
            } else if !has_software(e, request.software) {
                counts.other_software += 1;
            } else if !has_model(e, request.model) {
                counts.without_model += 1;
            }
        }
        counts
    }
}

impl fmt::Display for Exclusions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { known, unusable, tried, deferred, other_software, without_model } = self;
        write!(f, "known={known} unusable={unusable} tried={tried} ")?;
        write!(f, "deferred={deferred} other_software={other_software} ")?;
        write!(f, "without_model={without_model}")
    }
}

/// Chooses the endpoint with the lowest cost: the predicted wait plus penalties. Returns
/// `None` if no endpoint is left.
pub fn choose(table: &EndpointTable, now: Ms, request: &Requirements<'_>) -> Option<Choice> {
    let fits = |e: &&EndpointState| {
        let skipped = |ids: &[Rc<str>]| ids.contains(&e.entry.id);
        e.usable()
            && !skipped(request.tried)
            && !skipped(request.deferred)
            && has_software(e, request.software)
            && has_model(e, request.model)
    };
    let Some(adapter) = request.adapter else {
        return choose_without_adapter(
            table.of_service(request.service).filter(fits),
            now,
            request,
        );
    };
    let mut order: Vec<&EndpointState> = table.of_service(request.service).filter(fits).collect();
    order.sort_by_cached_key(|e| std::cmp::Reverse(stable_hash(&[adapter, &e.entry.id])));
    let mut best: Option<(f64, Choice)> = None;
    for (rank, e) in order.into_iter().enumerate() {
        let load = !has_adapter(e, adapter, request.version);
        let mut wait = e.predicted_wait(now, request.prompt_tokens, request.kv_tokens);
        let mut cost = base_cost(e, now, request.domain);
        if load {
            wait += load_delay(e, adapter, table.fetch_time());
            cost += load_cost(e, adapter, rank);
        }
        cost += wait;
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            best = Some((cost, Choice { id: e.entry.id.clone(), wait_ms: wait, needs_load: load }));
        }
    }
    best.map(|(_, choice)| choice)
}

fn choose_without_adapter<'a>(
    all: impl Iterator<Item = &'a EndpointState>,
    now: Ms,
    request: &Requirements<'_>,
) -> Option<Choice> {
    let mut best: Option<(f64, Choice)> = None;
    for e in all {
        let wait = match request.model {
            Some(_) => e.predicted_wait(now, request.prompt_tokens, request.kv_tokens),
            None => e.predicted_plain_wait(now, PLAIN_SERVICE_MS),
        };
        let cost = wait + base_cost(e, now, request.domain);
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            best =
                Some((cost, Choice { id: e.entry.id.clone(), wait_ms: wait, needs_load: false }));
        }
    }
    best.map(|(_, choice)| choice)
}
