//! Chooses the endpoint of a request.
//!
//! Answers uneven load over adapters: a popular adapter spreads to further
//! endpoints as its home fills, a rare one stays at its home, where a reload comes
//! from the endpoint's own memory. All costs are predicted times in ms.

use std::rc::Rc;

use crate::endpoint_table::{EndpointState, EndpointTable};
use crate::ids::stable_hash;
use crate::time::Ms;

/// Time of a load from the endpoint's own memory, as engines state it.
pub const RELOAD_MS: f64 = 30.0;
/// Cost of displacing another adapter.
const DISPLACE_MS: f64 = 30.0;
/// Cost of a load away from the adapter's home: it fetches once more what the home
/// reloads from its own memory, and the weight store's rate is shared by all.
const AWAY_MS: f64 = 150.0;
/// Cost of each further place in the adapter's order of endpoints.
const RANK_MS: f64 = 10.0;
/// Cost of each adapter that waits for a load at the endpoint: some four are on their
/// way at a time.
const QUEUED_LOAD_MS: f64 = 50.0;
/// Cost of another failure domain: the way there and back, and the price of its traffic.
const DOMAIN_MS: f64 = 5.0;
/// Cost of an endpoint that always fails.
const FAILING_MS: f64 = 600.0;
/// Cost of an endpoint that is left alone; used only if there is no other.
const PAUSED_MS: f64 = 20_000.0;
/// Cost of a load at an endpoint without a holder.
const ORPHAN_MS: f64 = 10_000.0;
/// Mean time of work on a plain service until answers say otherwise, in ms.
const PLAIN_MS: f64 = 15.0;

/// What a request needs.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// Service.
    pub service: &'a str,
    /// Model, if the service runs models.
    pub model: Option<&'a str>,
    /// Model and adapter, if it asks for one.
    pub adapter: Option<&'a str>,
    /// Version that the adapter must have.
    pub version: Option<u64>,
    /// Prompt tokens.
    pub prompt_tokens: f64,
    /// Tokens that an endpoint keeps in memory; 0 if unknown.
    pub kv_tokens: f64,
    /// Failure domain of this node.
    pub domain: &'a str,
    /// Endpoints that are not to be used again.
    pub tried: &'a [Rc<str>],
}

/// The chosen endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Instance.
    pub id: Rc<str>,
    /// Predicted time to the first event, in ms.
    pub wait_ms: f64,
    /// The adapter has to be loaded first.
    pub needs_load: bool,
}

/// Which of `ids` comes first for `name` by rendezvous hashing.
pub fn rendezvous_first<'a>(name: &str, ids: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    ids.max_by_key(|id| stable_hash(&[name, id]))
}

fn common(e: &EndpointState, now: Ms, domain: &str) -> f64 {
    let mut cost = e.failure_rate * FAILING_MS;
    if e.is_paused(now) {
        cost += PAUSED_MS;
    }
    if e.entry.domain != domain {
        cost += DOMAIN_MS;
    }
    cost
}

/// Version of the adapter in place, if it is the one needed.
pub fn has_adapter(e: &EndpointState, adapter: &str, version: Option<u64>) -> bool {
    e.loaded.get(adapter).is_some_and(|held| version.is_none_or(|v| v == *held))
}

/// Predicted time until an adapter is in place.
fn load_time(e: &EndpointState, adapter: &str, fetch: f64) -> f64 {
    if e.holder.is_none() {
        return ORPHAN_MS;
    }
    if e.local_waiters.contains_key(adapter) {
        return RELOAD_MS;
    }
    let load = if e.reloadable.contains_key(adapter) { RELOAD_MS } else { fetch };
    load + QUEUED_LOAD_MS * f64::from(e.queued_loads)
}

/// What a load costs others; the request itself does not wait for it.
fn load_price(e: &EndpointState, adapter: &str, rank: usize) -> f64 {
    if e.local_waiters.contains_key(adapter) {
        return 0.0;
    }
    let away = if rank == 0 { 0.0 } else { AWAY_MS + RANK_MS * rank as f64 };
    DISPLACE_MS + away
}

/// Chooses the endpoint with the least predicted wait, or none if there is none left.
pub fn choose(table: &EndpointTable, now: Ms, need: &Requirements<'_>) -> Option<Choice> {
    let fits = |e: &&EndpointState| {
        e.usable()
            && !need.tried.contains(&e.entry.id)
            && need.model.is_none_or(|m| e.entry.models.iter().any(|held| &**held == m))
    };
    let Some(adapter) = need.adapter else {
        return choose_plain(table.of_service(need.service).filter(fits), now, need);
    };
    let mut order: Vec<&EndpointState> = table.of_service(need.service).filter(fits).collect();
    order.sort_by_cached_key(|e| std::cmp::Reverse(stable_hash(&[adapter, &e.entry.id])));
    let mut best: Option<(f64, Choice)> = None;
    for (rank, e) in order.into_iter().enumerate() {
        let load = !has_adapter(e, adapter, need.version);
        let mut wait = e.wait(now, need.prompt_tokens, need.kv_tokens);
        let mut cost = common(e, now, need.domain);
        if load {
            wait += load_time(e, adapter, table.fetch_time());
            cost += load_price(e, adapter, rank);
        }
        cost += wait;
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            best = Some((cost, Choice { id: e.entry.id.clone(), wait_ms: wait, needs_load: load }));
        }
    }
    best.map(|(_, choice)| choice)
}

fn choose_plain<'a>(
    all: impl Iterator<Item = &'a EndpointState>,
    now: Ms,
    need: &Requirements<'_>,
) -> Option<Choice> {
    let mut best: Option<(f64, Choice)> = None;
    for e in all {
        let wait = match need.model {
            Some(_) => e.wait(now, need.prompt_tokens, need.kv_tokens),
            None => e.plain_wait(now, PLAIN_MS),
        };
        let cost = wait + common(e, now, need.domain);
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            best =
                Some((cost, Choice { id: e.entry.id.clone(), wait_ms: wait, needs_load: false }));
        }
    }
    best.map(|(_, choice)| choice)
}
