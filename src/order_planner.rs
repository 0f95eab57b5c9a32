//! Plans the orders that a holder gives to one endpoint: loads and unloads of adapters.
//!
//! Each order carries the number of orders accepted before it. An order that is carried out
//! late meets a different number and does nothing, so the free slots of the endpoint are
//! known exactly. When many rare adapters are requested at once, the load that ends the most
//! waiting goes first, and the least recently used adapter is unloaded to free its slot.

use std::rc::Rc;

use crate::endpoint_table::VersionedAdapter;
use crate::ids::Map;
use crate::time::Ms;

/// Largest number of adapters that an endpoint loads at the same time.
const MAX_LOADS: usize = 4;
/// Largest number of those loads that come from the weight store; the rest is for reloads,
/// which take a tenth of the time.
const MAX_FETCHES: usize = 3;
/// Time after which a reload from the endpoint's own memory is first checked.
const RELOAD_CHECK_DELAY: Ms = Ms(24);
/// Time after which a load from the weight store is first checked.
const FETCH_CHECK_DELAY: Ms = Ms(245);
/// Pause between two checks of a load.
const CHECK_INTERVAL: Ms = Ms(12);
/// Pause between two checks of an unload that waits for running requests.
const UNLOAD_CHECK_INTERVAL: Ms = Ms(40);
/// Time after which a report is requested for a load that has not completed.
const LOAD_OVERDUE: Ms = Ms(1_500);
/// Time for which a node's demand counts; nodes repeat it three times in this time.
const DEMAND_TTL: Ms = Ms(260);
/// Stands in for the node in a demand of the holder itself, which replaces a version.
const REPLACEMENT_NODE: &str = "";
/// Time for which the demand to replace a version counts.
const REPLACEMENT_TTL: Ms = Ms(4_000);
/// Waiting time that a new demand starts with in the order of loads.
const INITIAL_WAIT: Ms = Ms(200);
/// Time after its last use in which an adapter is not unloaded. Nodes report in each beat
/// which adapters their requests use.
const KEEP_AFTER_USE: Ms = Ms(260);
/// Pause after an order that the endpoint refused.
const REFUSED_PAUSE: Ms = Ms(60);
/// Pause before an order without an answer is sent again; doubles with each further one.
const RESEND_PAUSE: Ms = Ms(5);
/// Longest pause before an order without an answer is sent again.
const MAX_RESEND_PAUSE: Ms = Ms(320);
/// Pause without orders before a report is requested; reports lag by about 200 ms.
const REPORT_DELAY: Ms = Ms(350);
/// Largest number of unloaded adapters that are remembered as reloadable; engines keep about
/// as many in their own memory.
const MAX_RELOADABLE: usize = 100;

/// A node's report that requests wait for an adapter, repeated while they wait.
#[derive(Clone, Debug, PartialEq)]
pub struct AdapterDemand<'a> {
    /// Adapter, as `model/adapter`.
    pub adapter: &'a Rc<str>,
    /// Version, or `None` for any.
    pub version: Option<u64>,
    /// Name of the node at which the requests wait.
    pub node: &'a str,
    /// Number of waiting requests.
    pub waiters: u32,
}

/// An adapter that requests wait for at one or more nodes.
#[derive(Clone, Debug, PartialEq)]
struct PendingAdapter {
    adapter: Rc<str>,
    version: Option<u64>,
    since: Ms,
    /// Each node with its number of waiting requests and the end of its demand.
    nodes: Vec<(Rc<str>, u32, Ms)>,
}

impl PendingAdapter {
    /// Priority of the load: waiting requests times waiting time, so that loads that serve
    /// many requests go first and none waits forever.
    fn priority(&self, now: Ms) -> u64 {
        let waiters: u32 = self.nodes.iter().map(|(_, n, _)| n).sum();
        u64::from(waiters) * (now.since(self.since) + INITIAL_WAIT).0
    }
}

/// State of a loaded adapter.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Loaded {
    version: u64,
    last_used: Ms,
}

/// State of an adapter that is being loaded.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Loading {
    version: Option<u64>,
    since: Ms,
    /// Instant of the next check.
    check_at: Ms,
    /// Whether it comes from the weight store.
    fetch: bool,
}

/// What the holder does next at the endpoint.
#[derive(Clone, Debug, PartialEq)]
pub enum OrderStep {
    /// Request a report.
    Report,
    /// Order the load of a model.
    LoadModel(Rc<str>),
    /// Order the load of an adapter.
    Load(Rc<str>, Option<u64>),
    /// Check whether an adapter is loaded, by ordering the load again.
    Check(Rc<str>, Option<u64>),
    /// Order the unload of an adapter, to free a slot.
    Unload(Rc<str>),
    /// Do nothing until the given instant.
    Wait(Ms),
}

/// Result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// The endpoint is carrying out the order.
    Accepted,
    /// The ordered state holds already.
    Holds,
    /// The number of accepted orders differs, or another order is in progress.
    Conflict,
    /// No answer; the order may still be carried out.
    Lost,
    /// Refused for another reason.
    Refused,
}

/// State of one endpoint as known to its holder, and the demands of requests.
#[derive(Clone, Debug)]
pub struct OrderPlanner {
    slots: usize,
    /// Number of orders that the endpoint has accepted; `None` until a report.
    pub accepted_orders: Option<u64>,
    /// Loaded models.
    pub models: Vec<Rc<str>>,
    loaded: Map<Rc<str>, Loaded>,
    loading: Map<Rc<str>, Loading>,
    /// Adapters whose unload waits for running requests, with the instant of the next check.
    unloading: Map<Rc<str>, Ms>,
    /// Adapters unloaded earlier, with their last use.
    reloadable: Map<Rc<str>, Ms>,
    pending: Vec<PendingAdapter>,
    pending_model: Option<Rc<str>>,
    /// No step is taken until this instant.
    paused_until: Ms,
    /// Instant of the last order of a model.
    model_ordered: Option<Ms>,
    /// An order without an answer, which is sent again: the endpoint's number of accepted
    /// orders shows whether it was carried out and prevents a second execution.
    resend: Option<OrderStep>,
    /// Orders without an answer since the last answer.
    unanswered: u32,
    /// Last completed load: its time, whether it came from the weight store, and the waiting
    /// time of the request that first asked for it.
    pub last_load: Option<(Ms, bool, Option<Ms>)>,
}

impl OrderPlanner {
    /// Creates a planner for an endpoint with `slots` adapter slots. The first step requests a
    /// report.
    pub fn new(slots: usize) -> Self {
        Self {
            slots,
            accepted_orders: None,
            models: Vec::new(),
            loaded: Map::default(),
            loading: Map::default(),
            unloading: Map::default(),
            reloadable: Map::default(),
            pending: Vec::new(),
            pending_model: None,
            paused_until: Ms(0),
            model_ordered: None,
            resend: None,
            unanswered: 0,
            last_load: None,
        }
    }

    /// Sets the number of adapter slots.
    pub fn set_slots(&mut self, slots: usize) {
        self.slots = slots;
    }

    /// Replaces the known state by a report of the endpoint.
    pub fn on_report(
        &mut self,
        now: Ms,
        accepted: u64,
        models: Vec<Rc<str>>,
        loaded: &[VersionedAdapter],
        loading: &[VersionedAdapter],
    ) {
        self.accepted_orders = Some(accepted);
        self.models = models;
        let last_used =
            |a: &Rc<str>, old: &Map<Rc<str>, Loaded>| old.get(a).map_or(Ms(0), |l| l.last_used);
        let next = loaded
            .iter()
            .map(|a| {
                (
                    a.adapter.clone(),
                    Loaded { version: a.version, last_used: last_used(&a.adapter, &self.loaded) },
                )
            })
            .collect();
        self.loaded = next;
        self.unloading.retain(|id, _| loaded.iter().any(|a| a.adapter == *id));
        self.loading = loading
            .iter()
            .map(|a| {
                let version = Some(a.version).filter(|v| *v > 0);
                (
                    a.adapter.clone(),
                    Loading { version, since: now, check_at: now + CHECK_INTERVAL, fetch: true },
                )
            })
            .collect();
    }

    /// Discards the number of accepted orders, so that a report is requested again.
    pub fn invalidate(&mut self, now: Ms) {
        self.resend = None;
        self.accepted_orders = None;
        self.paused_until = now + REPORT_DELAY;
    }

    /// Discards the state of an endpoint that has restarted.
    pub fn on_restart(&mut self) {
        self.accepted_orders = None;
        self.models.clear();
        self.loaded.clear();
        self.loading.clear();
        self.unloading.clear();
        self.model_ordered = None;
        self.resend = None;
        self.unanswered = 0;
        self.paused_until = Ms(0);
    }

    /// Records that requests wait for an adapter. Returns true if it is already loaded.
    pub fn request_load(&mut self, now: Ms, demand: &AdapterDemand<'_>) -> bool {
        let loaded = self.record_use(now, demand.adapter, demand.version);
        if !loaded {
            self.add_demand(now, demand, now + DEMAND_TTL);
        }
        loaded
    }

    /// Records a new version of an adapter. If another version is loaded, it will be replaced.
    pub fn on_new_version(&mut self, now: Ms, adapter: &Rc<str>, version: u64) {
        if self.loaded.get(adapter).is_some_and(|l| l.version != version) {
            let demand = AdapterDemand {
                adapter,
                version: Some(version),
                node: REPLACEMENT_NODE,
                waiters: 1,
            };
            self.add_demand(now, &demand, now + REPLACEMENT_TTL);
        }
    }

    fn add_demand(&mut self, now: Ms, demand: &AdapterDemand<'_>, until: Ms) {
        let at = match self.pending.iter().position(|p| p.adapter == *demand.adapter) {
            Some(at) => at,
            None => {
                let (adapter, nodes) = (demand.adapter.clone(), Vec::new());
                self.pending.push(PendingAdapter {
                    adapter,
                    version: demand.version,
                    since: now,
                    nodes,
                });
                self.pending.len() - 1
            }
        };
        let pending = &mut self.pending[at];
        pending.version = pending.version.max(demand.version);
        pending.nodes.retain(|(node, ..)| **node != *demand.node);
        pending.nodes.push((Rc::from(demand.node), demand.waiters, until));
    }

    /// Records the use of an adapter. Returns true if it is loaded in that version.
    pub fn record_use(&mut self, now: Ms, adapter: &str, version: Option<u64>) -> bool {
        match self.loaded.get_mut(adapter) {
            Some(state) if !self.unloading.contains_key(adapter) => {
                state.last_used = state.last_used.max(now);
                version.is_none_or(|v| v == state.version)
            }
            _ => false,
        }
    }

    /// Records that the endpoint should load a model, unless it is loaded.
    pub fn request_model(&mut self, model: &Rc<str>) {
        if !self.models.contains(model) {
            self.pending_model = Some(model.clone());
        }
    }

    /// Whether the adapter is loaded in that version.
    pub fn has_loaded(&self, adapter: &str, version: Option<u64>) -> bool {
        !self.unloading.contains_key(adapter)
            && self.loaded.get(adapter).is_some_and(|l| version.is_none_or(|v| v == l.version))
    }

    /// Number of adapters that requests wait for, and number of adapters being loaded.
    pub fn backlog(&self) -> (usize, usize) {
        (self.pending.len(), self.loading.len())
    }

    /// Loaded adapters with their versions, except those being unloaded.
    pub fn loaded(&self) -> impl Iterator<Item = (&Rc<str>, u64)> {
        let stays_loaded = |(a, _): &(&Rc<str>, &Loaded)| !self.unloading.contains_key(*a);
        self.loaded.iter().filter(stays_loaded).map(|(a, l)| (a, l.version))
    }

    /// Adapters unloaded earlier, which the endpoint may reload from its own memory.
    pub fn reloadable(&self) -> impl Iterator<Item = &Rc<str>> {
        self.reloadable.keys()
    }

    fn used_slots(&self) -> usize {
        let additional = self.loading.keys().filter(|a| !self.loaded.contains_key(*a)).count();
        self.loaded.len() + additional
    }

    fn eviction_victim(&self, now: Ms) -> Option<Rc<str>> {
        let idle = self.loaded.iter().filter(|(a, l)| {
            now.since(l.last_used) > KEEP_AFTER_USE
                && !self.loading.contains_key(*a)
                && !self.unloading.contains_key(*a)
        });
        // Ties are broken by name, so that the result does not depend on the map's order.
        idle.min_by_key(|(a, l)| (l.last_used, (*a).clone())).map(|(a, _)| a.clone())
    }

    /// The next step at the endpoint.
    pub fn next_step(&mut self, now: Ms) -> OrderStep {
        if now < self.paused_until {
            return OrderStep::Wait(self.paused_until);
        }
        if self.accepted_orders.is_none() {
            return OrderStep::Report;
        }
        if let Some(step) = &self.resend {
            return step.clone();
        }
        if let Some(model) = self.pending_model.clone() {
            if self.models.contains(&model) {
                self.pending_model = None;
            } else if self.model_ordered.is_none_or(|at| now.since(at) > Ms::secs(8)) {
                return OrderStep::LoadModel(model);
            } else {
                self.paused_until = now + REPORT_DELAY;
                return OrderStep::Report;
            }
        }
        for p in &mut self.pending {
            p.nodes.retain(|(.., until)| now < *until);
        }
        self.pending.retain(|p| !p.nodes.is_empty());
        if let Some((adapter, at)) =
            self.unloading.iter().min_by_key(|(a, at)| (**at, (*a).clone()))
        {
            return if *at <= now {
                OrderStep::Unload(adapter.clone())
            } else {
                OrderStep::Wait(*at)
            };
        }
        let due = self.loading.iter().filter(|(_, l)| l.check_at <= now);
        if let Some((adapter, l)) = due.min_by_key(|(a, l)| (l.check_at, (*a).clone())) {
            if now.since(l.since) > LOAD_OVERDUE {
                return OrderStep::Report;
            }
            return OrderStep::Check(adapter.clone(), l.version);
        }
        if let Some(step) = self.next_load(now) {
            return step;
        }
        let next = self.loading.values().map(|l| l.check_at).min();
        let poll = if self.pending.is_empty() { Ms::secs(1) } else { CHECK_INTERVAL };
        OrderStep::Wait(next.unwrap_or(now + Ms::secs(1)).min(now + poll).max(now + Ms(1)))
    }

    fn next_load(&self, now: Ms) -> Option<OrderStep> {
        if self.models.is_empty() || self.loading.len() >= MAX_LOADS {
            return None;
        }
        let fetching = self.loading.values().filter(|l| l.fetch).count();
        let eligible = self.pending.iter().filter(|p| {
            let reloadable = self.reloadable.contains_key(&p.adapter);
            !self.loading.contains_key(&p.adapter) && (reloadable || fetching < MAX_FETCHES)
        });
        let next = eligible.max_by_key(|p| (p.priority(now), p.adapter.clone()))?;
        let replaces = self.loaded.contains_key(&next.adapter);
        if replaces || self.used_slots() < self.slots {
            return Some(OrderStep::Load(next.adapter.clone(), next.version));
        }
        self.eviction_victim(now).map(OrderStep::Unload)
    }

    /// Records the result of a step. Returns an adapter whose load has completed.
    pub fn on_result(&mut self, now: Ms, step: &OrderStep, result: OrderResult) -> Option<Rc<str>> {
        self.resend = None;
        self.unanswered = if result == OrderResult::Lost { self.unanswered + 1 } else { 0 };
        match result {
            // A lost check changes nothing; the next one is scheduled.
            OrderResult::Lost if matches!(step, OrderStep::Check(..)) => {
                if let OrderStep::Check(adapter, version) = step {
                    self.schedule_check(now, adapter, *version);
                }
                self.paused_until = now + self.resend_pause();
                return None;
            }
            OrderResult::Lost => {
                self.resend = Some(step.clone());
                self.paused_until = now + self.resend_pause();
                return None;
            }
            // The endpoint accepts no other order while an unload waits for running requests.
            OrderResult::Conflict
                if !self.unloading.is_empty() && !matches!(step, OrderStep::Unload(_)) =>
            {
                self.paused_until = now + UNLOAD_CHECK_INTERVAL;
                return None;
            }
            OrderResult::Conflict => {
                self.invalidate(now);
                return None;
            }
            OrderResult::Refused => {
                self.paused_until = now + REFUSED_PAUSE;
                self.accepted_orders = None;
                return None;
            }
            OrderResult::Accepted | OrderResult::Holds => {}
        }
        let accepted = result == OrderResult::Accepted;
        match step {
            OrderStep::Load(adapter, version) | OrderStep::Check(adapter, version) => {
                let is_check = matches!(step, OrderStep::Check(..));
                if accepted {
                    if !is_check {
                        self.count_accepted();
                    }
                    self.schedule_check(now, adapter, *version);
                    return None;
                }
                self.on_loaded(now, adapter, *version)
            }
            OrderStep::Unload(adapter) if accepted => {
                if self.unloading.insert(adapter.clone(), now + UNLOAD_CHECK_INTERVAL).is_none() {
                    self.count_accepted();
                }
                None
            }
            OrderStep::Unload(adapter) => {
                if self.unloading.remove(adapter).is_none() {
                    self.count_accepted();
                }
                if let Some(state) = self.loaded.remove(adapter) {
                    self.remember_unloaded(adapter, state.last_used);
                }
                None
            }
            OrderStep::LoadModel(_) => {
                if accepted {
                    self.count_accepted();
                    self.model_ordered = Some(now);
                }
                self.paused_until = now + REPORT_DELAY;
                None
            }
            OrderStep::Report | OrderStep::Wait(_) => None,
        }
    }

    /// Pause after an order without an answer. An endpoint that has crashed answers none.
    fn resend_pause(&self) -> Ms {
        let doublings = self.unanswered.saturating_sub(1).min(16);
        Ms(RESEND_PAUSE.0 << doublings).min(MAX_RESEND_PAUSE)
    }

    fn count_accepted(&mut self) {
        self.accepted_orders = self.accepted_orders.map(|n| n + 1);
    }

    fn schedule_check(&mut self, now: Ms, adapter: &Rc<str>, version: Option<u64>) {
        let reloadable = self.reloadable.contains_key(adapter);
        let delay = if reloadable { RELOAD_CHECK_DELAY } else { FETCH_CHECK_DELAY };
        let new = Loading { version, since: now, check_at: now + delay, fetch: !reloadable };
        let entry = self.loading.entry(adapter.clone()).or_insert(new);
        entry.check_at =
            entry.check_at.max(now + if entry.since == now { delay } else { CHECK_INTERVAL });
    }

    fn on_loaded(&mut self, now: Ms, adapter: &Rc<str>, version: Option<u64>) -> Option<Rc<str>> {
        if let Some(l) = self.loading.remove(adapter) {
            let wait =
                self.pending.iter().find(|p| p.adapter == *adapter).map(|p| now.since(p.since));
            self.last_load = Some((now.since(l.since), l.fetch, wait));
        }
        self.reloadable.remove(adapter);
        self.loaded
            .insert(adapter.clone(), Loaded { version: version.unwrap_or(0), last_used: now });
        self.pending.retain(|p| p.adapter != *adapter || p.version > version);
        Some(adapter.clone())
    }

    fn remember_unloaded(&mut self, adapter: &Rc<str>, last_used: Ms) {
        self.reloadable.insert(adapter.clone(), last_used);
        if self.reloadable.len() > MAX_RELOADABLE {
            let oldest = self.reloadable.iter().min_by_key(|(a, at)| (**at, (*a).clone()));
            if let Some(oldest) = oldest.map(|(a, _)| a.clone()) {
                self.reloadable.remove(&oldest);
            }
        }
    }
}
