//! What one endpoint holds, and the next order that its holder gives.
//!
//! Orders name the count of orders accepted so far, so an order that is carried out
//! late meets another count and does nothing. The room of the endpoint is therefore
//! known exactly. Answers rare adapters that are asked for at once: the load that
//! ends the most waiting goes first, and the adapter that was used longest ago makes
//! room.

use std::rc::Rc;

use crate::endpoint_table::VersionedAdapter;
use crate::ids::Map;
use crate::time::Ms;

/// Adapters that may be on their way to an endpoint at the same time.
const COMING: usize = 4;
/// Loads from the weight store on their way to an endpoint at the same time; the rest
/// is for reloads, which take a tenth of the time.
const FETCHING: usize = 3;
/// Time after which a reload from the endpoint's memory is checked.
const RELOAD: Ms = Ms(24);
/// Time after which a load from the weight store is checked.
const FETCH: Ms = Ms(245);
/// Pause between two checks.
const CHECK: Ms = Ms(12);
/// Pause between two checks of an unload that waits for its requests.
const GOING: Ms = Ms(40);
/// Time after which a load that has not arrived is looked up in a report.
const OVERDUE: Ms = Ms(1_500);
/// Time for which a node's word that requests wait counts; nodes repeat it thrice.
const WORD: Ms = Ms(260);
/// Stands for no node: the holder itself replaces an adapter.
const RENEWER: &str = "";
/// Time for which an adapter with a new version is to be replaced.
const RENEWAL: Ms = Ms(4_000);
/// Wait that a new want counts with.
const AGE: Ms = Ms(200);
/// Time for which a used adapter is not displaced: nodes tell in each beat which
/// adapters their requests are using.
const FRESH: Ms = Ms(260);
/// Pause after an order that the endpoint refused.
const REFUSED: Ms = Ms(60);
/// Pause before an order without an answer is given again.
const AGAIN: Ms = Ms(5);
/// Pause without orders before a report is asked for; reports lag by some 200 ms.
const REPORT: Ms = Ms(350);
/// Adapters that are remembered as held before; engines keep about as many in memory.
const REMEMBERED: usize = 100;

/// A node's word that requests wait for an adapter; it is repeated while they do.
#[derive(Clone, Debug, PartialEq)]
pub struct AdapterDemand<'a> {
    /// Adapter with its model.
    pub adapter: &'a Rc<str>,
    /// Version; any if absent.
    pub version: Option<u64>,
    /// Node at which the requests wait.
    pub node: &'a str,
    /// Requests that wait.
    pub waiters: u32,
}

/// An adapter that requests wait for.
#[derive(Clone, Debug, PartialEq)]
struct Wanted {
    adapter: Rc<str>,
    version: Option<u64>,
    since: Ms,
    /// Requests that wait at each node, and until when its word counts.
    nodes: Vec<(Rc<str>, u32, Ms)>,
}

impl Wanted {
    /// Order in which wants are served: requests that wait, times how long, so that
    /// one load serves many and nobody is passed over for ever.
    fn weight(&self, now: Ms) -> u64 {
        let waiters: u32 = self.nodes.iter().map(|(_, n, _)| n).sum();
        u64::from(waiters) * (now.since(self.since) + AGE).0
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Slot {
    version: u64,
    used: Ms,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Coming {
    version: Option<u64>,
    since: Ms,
    check: Ms,
    fetch: bool,
}

/// The next thing to do at the endpoint.
#[derive(Clone, Debug, PartialEq)]
pub enum OrderStep {
    /// Ask for a report.
    Report,
    /// Order a model.
    LoadModel(Rc<str>),
    /// Order an adapter.
    Load(Rc<str>, Option<u64>),
    /// Ask whether an adapter has arrived, by ordering it again.
    Check(Rc<str>, Option<u64>),
    /// Order an adapter to make room.
    Unload(Rc<str>),
    /// Nothing until an instant.
    Wait(Ms),
}

/// What an order met with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// It is being carried out.
    Accepted,
    /// It already holds.
    Holds,
    /// The count of orders differs, or another order is in progress.
    Conflict,
    /// No answer; it may be carried out later.
    Lost,
    /// Refused for another reason.
    Refused,
}

/// The state of one endpoint as its holder knows it.
#[derive(Clone, Debug)]
pub struct OrderPlanner {
    places: usize,
    /// Orders that the endpoint has accepted; unknown until a report.
    pub accepted_orders: Option<u64>,
    /// Models in place.
    pub models: Vec<Rc<str>>,
    held: Map<Rc<str>, Slot>,
    coming: Map<Rc<str>, Coming>,
    /// Adapters whose unload waits for their requests, with the next check.
    going: Map<Rc<str>, Ms>,
    recent: Map<Rc<str>, Ms>,
    wants: Vec<Wanted>,
    model: Option<Rc<str>>,
    rest: Ms,
    model_since: Option<Ms>,
    /// An order without an answer, which is given again: the endpoint's count tells
    /// whether it was carried out, and prevents it from being carried out twice.
    again: Option<OrderStep>,
    /// Time of the last load, whether it came from the weight store, and the wait of
    /// the request that asked for it first.
    pub last_load: Option<(Ms, bool, Option<Ms>)>,
}

impl OrderPlanner {
    /// A depot with room for `places` adapters that has to ask for a report first.
    pub fn new(places: usize) -> Self {
        Self {
            places,
            accepted_orders: None,
            models: Vec::new(),
            held: Map::default(),
            coming: Map::default(),
            going: Map::default(),
            recent: Map::default(),
            wants: Vec::new(),
            model: None,
            rest: Ms(0),
            model_since: None,
            again: None,
            last_load: None,
        }
    }

    /// Sets the room.
    pub fn set_slots(&mut self, places: usize) {
        self.places = places;
    }

    /// Adopts the endpoint's own word.
    pub fn on_report(
        &mut self,
        now: Ms,
        accepted: u64,
        models: Vec<Rc<str>>,
        held: &[VersionedAdapter],
        coming: &[VersionedAdapter],
    ) {
        self.accepted_orders = Some(accepted);
        self.models = models;
        let used = |a: &Rc<str>, old: &Map<Rc<str>, Slot>| old.get(a).map_or(Ms(0), |s| s.used);
        let slots = held
            .iter()
            .map(|h| {
                (h.adapter.clone(), Slot { version: h.version, used: used(&h.adapter, &self.held) })
            })
            .collect();
        self.held = slots;
        self.going.retain(|a, _| held.iter().any(|h| h.adapter == *a));
        self.coming = coming
            .iter()
            .map(|h| {
                let version = Some(h.version).filter(|v| *v > 0);
                (h.adapter.clone(), Coming { version, since: now, check: now + CHECK, fetch: true })
            })
            .collect();
    }

    /// The endpoint's state has to be asked for again.
    pub fn invalidate(&mut self, now: Ms) {
        self.again = None;
        self.accepted_orders = None;
        self.rest = now + REPORT;
    }

    /// The endpoint has started anew and holds nothing.
    pub fn on_restart(&mut self) {
        self.accepted_orders = None;
        self.models.clear();
        self.held.clear();
        self.coming.clear();
        self.going.clear();
        self.model_since = None;
        self.again = None;
        self.rest = Ms(0);
    }

    /// Requests wait for an adapter; true if it is in place.
    pub fn request_load(&mut self, now: Ms, want: &AdapterDemand<'_>) -> bool {
        let there = self.record_use(now, want.adapter, want.version);
        if !there {
            self.note(now, want, now + WORD);
        }
        there
    }

    /// A new version of an adapter has been named; it is to be replaced if in place.
    pub fn on_new_version(&mut self, now: Ms, adapter: &Rc<str>, version: u64) {
        if self.held.get(adapter).is_some_and(|s| s.version != version) {
            let want = AdapterDemand { adapter, version: Some(version), node: RENEWER, waiters: 1 };
            self.note(now, &want, now + RENEWAL);
        }
    }

    fn note(&mut self, now: Ms, want: &AdapterDemand<'_>, until: Ms) {
        let at = match self.wants.iter().position(|w| w.adapter == *want.adapter) {
            Some(at) => at,
            None => {
                let (adapter, nodes) = (want.adapter.clone(), Vec::new());
                self.wants.push(Wanted { adapter, version: want.version, since: now, nodes });
                self.wants.len() - 1
            }
        };
        let wanted = &mut self.wants[at];
        wanted.version = wanted.version.max(want.version);
        wanted.nodes.retain(|(node, ..)| **node != *want.node);
        wanted.nodes.push((Rc::from(want.node), want.waiters, until));
    }

    /// Records the use of an adapter; true if it is in place in that version.
    pub fn record_use(&mut self, now: Ms, adapter: &str, version: Option<u64>) -> bool {
        match self.held.get_mut(adapter) {
            Some(slot) if !self.going.contains_key(adapter) => {
                slot.used = slot.used.max(now);
                version.is_none_or(|v| v == slot.version)
            }
            _ => false,
        }
    }

    /// Asks for a model that the endpoint lacks.
    pub fn request_model(&mut self, model: &Rc<str>) {
        if !self.models.contains(model) {
            self.model = Some(model.clone());
        }
    }

    /// Whether the adapter is in place in that version.
    pub fn has_loaded(&self, adapter: &str, version: Option<u64>) -> bool {
        !self.going.contains_key(adapter)
            && self.held.get(adapter).is_some_and(|s| version.is_none_or(|v| v == s.version))
    }

    /// Wants that wait, and adapters on their way.
    pub fn backlog(&self) -> (usize, usize) {
        (self.wants.len(), self.coming.len())
    }

    /// Adapters in place.
    pub fn loaded(&self) -> impl Iterator<Item = (&Rc<str>, u64)> {
        let stays = |(a, _): &(&Rc<str>, &Slot)| !self.going.contains_key(*a);
        self.held.iter().filter(stays).map(|(a, s)| (a, s.version))
    }

    /// Adapters that were held before and may reload faster.
    pub fn reloadable(&self) -> impl Iterator<Item = &Rc<str>> {
        self.recent.keys()
    }

    fn taken(&self) -> usize {
        let extra = self.coming.keys().filter(|a| !self.held.contains_key(*a)).count();
        self.held.len() + extra
    }

    fn victim(&self, now: Ms) -> Option<Rc<str>> {
        let idle = self.held.iter().filter(|(a, s)| {
            now.since(s.used) > FRESH
                && !self.coming.contains_key(*a)
                && !self.going.contains_key(*a)
        });
        // Ties break by name, so that the choice does not follow the map's order.
        idle.min_by_key(|(a, s)| (s.used, (*a).clone())).map(|(a, _)| a.clone())
    }

    /// The next thing to do.
    pub fn next_step(&mut self, now: Ms) -> OrderStep {
        if now < self.rest {
            return OrderStep::Wait(self.rest);
        }
        if self.accepted_orders.is_none() {
            return OrderStep::Report;
        }
        if let Some(step) = &self.again {
            return step.clone();
        }
        if let Some(model) = self.model.clone() {
            if self.models.contains(&model) {
                self.model = None;
            } else if self.model_since.is_none_or(|at| now.since(at) > Ms::secs(8)) {
                return OrderStep::LoadModel(model);
            } else {
                self.rest = now + REPORT;
                return OrderStep::Report;
            }
        }
        for w in &mut self.wants {
            w.nodes.retain(|(.., until)| now < *until);
        }
        self.wants.retain(|w| !w.nodes.is_empty());
        if let Some((adapter, at)) = self.going.iter().min_by_key(|(a, at)| (**at, (*a).clone())) {
            return if *at <= now {
                OrderStep::Unload(adapter.clone())
            } else {
                OrderStep::Wait(*at)
            };
        }
        let due = self.coming.iter().filter(|(_, c)| c.check <= now);
        if let Some((adapter, c)) = due.min_by_key(|(a, c)| (c.check, (*a).clone())) {
            if now.since(c.since) > OVERDUE {
                return OrderStep::Report;
            }
            return OrderStep::Check(adapter.clone(), c.version);
        }
        if let Some(step) = self.next_load(now) {
            return step;
        }
        let next = self.coming.values().map(|c| c.check).min();
        let soon = if self.wants.is_empty() { Ms::secs(1) } else { CHECK };
        OrderStep::Wait(next.unwrap_or(now + Ms::secs(1)).min(now + soon).max(now + Ms(1)))
    }

    fn next_load(&self, now: Ms) -> Option<OrderStep> {
        if self.models.is_empty() || self.coming.len() >= COMING {
            return None;
        }
        let fetching = self.coming.values().filter(|c| c.fetch).count();
        let open = self.wants.iter().filter(|w| {
            let recent = self.recent.contains_key(&w.adapter);
            !self.coming.contains_key(&w.adapter) && (recent || fetching < FETCHING)
        });
        let want = open.max_by_key(|w| (w.weight(now), w.adapter.clone()))?;
        let replaces = self.held.contains_key(&want.adapter);
        if replaces || self.taken() < self.places {
            return Some(OrderStep::Load(want.adapter.clone(), want.version));
        }
        self.victim(now).map(OrderStep::Unload)
    }

    /// Adopts the result of a step; returns an adapter that is now in place.
    pub fn on_result(&mut self, now: Ms, step: &OrderStep, met: OrderResult) -> Option<Rc<str>> {
        self.again = None;
        match met {
            // A check changes nothing; the next one will tell.
            OrderResult::Lost if matches!(step, OrderStep::Check(..)) => {
                if let OrderStep::Check(adapter, version) = step {
                    self.sent(now, adapter, *version);
                }
                return None;
            }
            OrderResult::Lost => {
                self.again = Some(step.clone());
                self.rest = now + AGAIN;
                return None;
            }
            // An unload that waits for its requests keeps the endpoint from other orders.
            OrderResult::Conflict
                if !self.going.is_empty() && !matches!(step, OrderStep::Unload(_)) =>
            {
                self.rest = now + GOING;
                return None;
            }
            OrderResult::Conflict => {
                self.invalidate(now);
                return None;
            }
            OrderResult::Refused => {
                self.rest = now + REFUSED;
                self.accepted_orders = None;
                return None;
            }
            OrderResult::Accepted | OrderResult::Holds => {}
        }
        let accepted = met == OrderResult::Accepted;
        match step {
            OrderStep::Load(adapter, version) | OrderStep::Check(adapter, version) => {
                let checking = matches!(step, OrderStep::Check(..));
                if accepted {
                    if !checking {
                        self.count();
                    }
                    self.sent(now, adapter, *version);
                    return None;
                }
                self.arrived(now, adapter, *version)
            }
            OrderStep::Unload(adapter) if accepted => {
                if self.going.insert(adapter.clone(), now + GOING).is_none() {
                    self.count();
                }
                None
            }
            OrderStep::Unload(adapter) => {
                if self.going.remove(adapter).is_none() {
                    self.count();
                }
                if let Some(slot) = self.held.remove(adapter) {
                    self.remember(adapter, slot.used);
                }
                None
            }
            OrderStep::LoadModel(_) => {
                if accepted {
                    self.count();
                    self.model_since = Some(now);
                }
                self.rest = now + REPORT;
                None
            }
            OrderStep::Report | OrderStep::Wait(_) => None,
        }
    }

    fn count(&mut self) {
        self.accepted_orders = self.accepted_orders.map(|n| n + 1);
    }

    fn sent(&mut self, now: Ms, adapter: &Rc<str>, version: Option<u64>) {
        let recent = self.recent.contains_key(adapter);
        let time = if recent { RELOAD } else { FETCH };
        let fresh = Coming { version, since: now, check: now + time, fetch: !recent };
        let entry = self.coming.entry(adapter.clone()).or_insert(fresh);
        entry.check = entry.check.max(now + if entry.since == now { time } else { CHECK });
    }

    fn arrived(&mut self, now: Ms, adapter: &Rc<str>, version: Option<u64>) -> Option<Rc<str>> {
        if let Some(c) = self.coming.remove(adapter) {
            let wait =
                self.wants.iter().find(|w| w.adapter == *adapter).map(|w| now.since(w.since));
            self.last_load = Some((now.since(c.since), c.fetch, wait));
        }
        self.recent.remove(adapter);
        self.held.insert(adapter.clone(), Slot { version: version.unwrap_or(0), used: now });
        self.wants.retain(|w| w.adapter != *adapter || w.version > version);
        Some(adapter.clone())
    }

    fn remember(&mut self, adapter: &Rc<str>, used: Ms) {
        self.recent.insert(adapter.clone(), used);
        if self.recent.len() > REMEMBERED {
            let oldest = self.recent.iter().min_by_key(|(a, at)| (**at, (*a).clone()));
            if let Some(oldest) = oldest.map(|(a, _)| a.clone()) {
                self.recent.remove(&oldest);
            }
        }
    }
}
