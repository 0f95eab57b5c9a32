//! Carries out the orders that `order_planner` decides on, for the endpoints held here.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};

use crate::edge::{Edge, HeldEndpoint};
use crate::endpoint_table::EndpointState;
use crate::error::{Error, Result};
use crate::http_client::FullResponse;
use crate::ids::Map;
use crate::log_sink::decision;
use crate::mesh;
use crate::order_planner::{OrderPlanner, OrderResult, OrderStep};
use crate::platform::order::{self, Action, Order, Report, Verdict};
use crate::time::{BootClock, Clock, Ms};

/// Interval at which endpoints held and orders carried out are compared.
const INTERVAL: Duration = Duration::from_millis(200);
/// Time limit of an order beyond four times its usual time; it is given again
/// afterwards, so a limit that is too short costs one more call.
const ORDER_MS: f64 = 20.0;
/// Longest time limit of an order.
const ORDER_MAX_MS: f64 = 300.0;
/// Usual time of an order before any has been answered.
const ORDER_FIRST_MS: f64 = 20.0;
/// Weight of a new time in the usual time of orders.
const ORDER_SAMPLE: f64 = 0.2;
/// Time limit of a report.
const REPORT: Duration = Duration::from_millis(600);
/// Pause while the node may not order.
const PAUSE: Duration = Duration::from_millis(100);

impl HeldEndpoint {
    fn new(places: usize) -> Self {
        Self {
            planner: OrderPlanner::new(places),
            wake: Rc::new(Notify::new()),
            waiting_nodes: Map::default(),
            usual: ORDER_FIRST_MS,
        }
    }

    fn limit(&self) -> Duration {
        let ms = (self.usual * 4.0 + ORDER_MS).min(ORDER_MAX_MS);
        Duration::from_millis(ms as u64)
    }

    fn took(&mut self, time: Ms) {
        self.usual += ORDER_SAMPLE * (time.0 as f64 - self.usual);
    }
}

/// Adapters that an endpoint may hold; 0 if its service runs none.
fn places(edge: &Edge, id: &str) -> usize {
    let table = edge.table.borrow();
    let Some(e) = table.get(id) else { return 0 };
    let routing = edge.routing.borrow();
    let Some(engine) = routing.services.get(&e.entry.service).and_then(|s| s.engine.as_ref())
    else {
        return 0;
    };
    engine.models.iter().map(|m| engine.adapters_beside(m)).min().unwrap_or(0)
}

/// Starts and ends the work for endpoints as they are claimed and lost.
pub(crate) async fn keep(edge: Rc<Edge>) {
    loop {
        sleep(INTERVAL).await;
        let mine: Vec<Rc<str>> = edge.holders.borrow().held_endpoints().cloned().collect();
        let known = |id: &Rc<str>| edge.table.borrow().get(id).is_some_and(EndpointState::usable);
        edge.held.borrow_mut().retain(|id, _| mine.contains(id) && known(id));
        for id in mine {
            if known(&id) && !edge.held.borrow().contains_key(&id) {
                let kept = HeldEndpoint::new(places(&edge, &id));
                let wake = kept.wake.clone();
                edge.held.borrow_mut().insert(id.clone(), kept);
                tokio::task::spawn_local(work(edge.clone(), id, wake));
            }
        }
        let name: Rc<str> = Rc::from(edge.deployment.node.as_str());
        for (id, k) in edge.held.borrow_mut().iter_mut() {
            k.planner.set_slots(places(&edge, id));
            if let Some(e) = edge.table.borrow_mut().get_mut(id) {
                e.holder = Some(name.clone());
            }
        }
    }
}

async fn send(
    edge: &Edge,
    id: &str,
    request: Request<Full<Bytes>>,
    limit: Duration,
) -> Result<FullResponse> {
    let address = edge.table.borrow().get(id).map(|e| e.entry.address);
    let address = address.ok_or_else(|| Error::state(id, "not listed"))?;
    let answer = edge.control.fetch(address, request, Instant::now() + limit).await;
    answer.map_err(|e| Error::io(id, e))
}

async fn read_report(edge: &Edge, id: &str) -> Result<Report> {
    let answer = send(edge, id, order::report_request(id), REPORT).await?;
    if answer.status != StatusCode::OK {
        return Err(Error::platform(id, format!("report: status {}", answer.status)));
    }
    order::decode_report(&answer.body)
}

fn order_of<'a>(
    step: &'a OrderStep,
    accepted: Option<u64>,
    holder: &'a str,
    fence: u64,
) -> Option<Order<'a>> {
    let base = |action, name: &'a str, version| {
        let (model, adapter) = match name.split_once('/') {
            Some((model, adapter)) => (model, Some(adapter)),
            None => (name, None),
        };
        Order { action, model, adapter, version, accepted_orders: accepted, holder, fence }
    };
    match step {
        OrderStep::LoadModel(model) => Some(base(Action::Load, model, None)),
        OrderStep::Load(adapter, version) => Some(base(Action::Load, adapter, *version)),
        // A check must not fail because of orders that were accepted meanwhile.
        OrderStep::Check(adapter, version) => {
            Some(Order { accepted_orders: accepted, ..base(Action::Load, adapter, *version) })
        }
        OrderStep::Unload(adapter) => Some(base(Action::Unload, adapter, None)),
        OrderStep::Report | OrderStep::Wait(_) => None,
    }
}

async fn perform(
    edge: &Edge,
    id: &str,
    step: &OrderStep,
    accepted: Option<u64>,
    fence: u64,
) -> OrderResult {
    let Some(order) = order_of(step, accepted, &edge.deployment.node, fence) else {
        return OrderResult::Refused;
    };
    let request = order::order_request(&order, id);
    // The lease is checked again directly before the order leaves.
    if edge.holders.borrow().fence(BootClock.now(), id) != Some(fence) {
        return OrderResult::Refused;
    }
    let begun = BootClock.now();
    let limit = edge.held.borrow().get(id).map_or(REPORT, HeldEndpoint::limit);
    match send(edge, id, request, limit).await {
        Ok(answer) => {
            let verdict = order::verdict(answer.status);
            if verdict == Verdict::Misdirected {
                edge.mark_leaving(&Rc::from(id), "another instance answers orders");
            }
            if let Some(k) = edge.held.borrow_mut().get_mut(id) {
                k.took(BootClock.now().since(begun));
            }
            let met = match verdict {
                Verdict::Accepted => OrderResult::Accepted,
                Verdict::Holds => OrderResult::Holds,
                Verdict::Conflict => OrderResult::Conflict,
                Verdict::Fenced | Verdict::Misdirected | Verdict::Refused(_) => {
                    OrderResult::Refused
                }
            };
            if !matches!(step, OrderStep::Check(..)) || met == OrderResult::Conflict {
                decision!("order", "endpoint": id, "step": format!("{step:?}"), "expected": accepted,
                    "fence": fence, "met": format!("{met:?}"), "wants": wants(edge, id));
            }
            met
        }
        Err(e) => {
            // The next limit is longer, in case the endpoint has become slow.
            if let Some(k) = edge.held.borrow_mut().get_mut(id) {
                k.took(BootClock.now().since(begun));
            }
            decision!("order", "endpoint": id, "step": format!("{step:?}"), "expected": accepted,
                "fence": fence, "met": "Lost", "error": e.to_string());
            OrderResult::Lost
        }
    }
}

/// Wants that wait and adapters on their way, for the log.
fn wants(edge: &Edge, id: &str) -> (usize, usize) {
    edge.held.borrow().get(id).map_or((0, 0), |k| k.planner.backlog())
}

/// Passes the state of the depot on to the table and to those who wait.
fn publish(edge: &Edge, id: &Rc<str>, step: &OrderStep, arrived: Option<&Rc<str>>) {
    let now = BootClock.now();
    let mut kept = edge.held.borrow_mut();
    let Some(k) = kept.get_mut(id) else { return };
    if let Some(e) = edge.table.borrow_mut().get_mut(id) {
        e.loaded = k.planner.loaded().map(|(a, v)| (a.clone(), v)).collect();
        if !k.planner.models.is_empty() {
            e.entry.models.clone_from(&k.planner.models);
        }
        if let OrderStep::Unload(adapter) = step {
            e.reloadable.insert(adapter.clone(), now);
        }
        e.queued_loads = k.planner.backlog().0 as u32;
    }
    if let Some(adapter) = arrived {
        if let Some((took, fetch, wait)) = k.planner.last_load.take() {
            decision!("adapter_placed", "endpoint": &**id, "adapter": &**adapter, "took_ms": took.0,
                "fetch": fetch, "wait_ms": wait.map(|w| w.0), "backlog": k.planner.backlog());
        }
        let version = k.planner.loaded().find(|(a, _)| *a == adapter).map_or(0, |(_, v)| v);
        for asker in k.waiting_nodes.remove(adapter).unwrap_or_default() {
            mesh::send_placed(edge, asker, id, adapter, version, true);
        }
    }
    drop(kept);
    edge.adapter_changes.notify_waiters();
}

async fn report(edge: &Edge, id: &Rc<str>) {
    let read = read_report(edge, id).await;
    let now = BootClock.now();
    let mut kept = edge.held.borrow_mut();
    let Some(k) = kept.get_mut(id) else { return };
    match read {
        Ok(r) => {
            decision!("report", "endpoint": &**id, "accepted": r.accepted_orders, "busy": r.busy,
                "held": r.loaded.len(), "coming": r.loading.len());
            let models = r.models.iter().map(|m| Rc::from(m.as_str())).collect();
            k.planner.on_report(now, r.accepted_orders, models, &r.loaded, &r.loading);
        }
        Err(e) => {
            decision!("report_failed", "endpoint": &**id, "error": e.to_string());
            k.planner.invalidate(now);
        }
    }
}

/// The model that an endpoint without one should load.
fn missing_model(edge: &Edge, id: &str) -> Option<Rc<str>> {
    let table = edge.table.borrow();
    let e = table.get(id)?;
    let routing = edge.routing.borrow();
    let engine = routing.services.get(&e.entry.service)?.engine.as_ref()?;
    let replicas = |m: &&crate::routing::Model| {
        table.of_service(&e.entry.service).filter(|e| e.entry.models.contains(&m.name)).count()
    };
    engine.models.iter().min_by_key(replicas).map(|m| m.name.clone())
}

/// Whether the endpoint is still this task's: its waker is the one that the task got.
fn is_own(edge: &Edge, id: &str, wake: &Rc<Notify>) -> bool {
    let own = edge.held.borrow().get(id).is_some_and(|k| Rc::ptr_eq(&k.wake, wake));
    own && edge.table.borrow().get(id).is_some_and(EndpointState::usable)
}

async fn work(edge: Rc<Edge>, id: Rc<str>, wake: Rc<Notify>) {
    while is_own(&edge, &id, &wake) {
        let now = BootClock.now();
        let fence = edge.holders.borrow().fence(now, &id);
        match fence {
            Some(fence) => step(&edge, &id, &wake, fence).await,
            None => sleep(PAUSE).await,
        }
    }
    let mut kept = edge.held.borrow_mut();
    if kept.get(&id).is_some_and(|k| Rc::ptr_eq(&k.wake, &wake)) {
        kept.remove(&id);
    }
}

/// The depot's next step, with the orders accepted before it.
fn next_step(edge: &Edge, id: &Rc<str>) -> Option<(OrderStep, Option<u64>)> {
    let now = BootClock.now();
    let mut kept = edge.held.borrow_mut();
    let k = kept.get_mut(id)?;
    if let Some(uses) = edge.adapter_uses.borrow().get(id) {
        for adapter in uses.iter().filter(|(_, n)| **n > 0).map(|(a, _)| a) {
            k.planner.record_use(now, adapter, None);
        }
    }
    if k.planner.accepted_orders.is_some()
        && k.planner.models.is_empty()
        && let Some(model) = missing_model(edge, id)
    {
        k.planner.request_model(&model);
    }
    Some((k.planner.next_step(now), k.planner.accepted_orders))
}

async fn step(edge: &Edge, id: &Rc<str>, wake: &Notify, fence: u64) {
    let Some((step, accepted)) = next_step(edge, id) else { return };
    match &step {
        OrderStep::Wait(until) => {
            // Woken by a new want, or by time.
            let wait = until.since(BootClock.now()).to_std();
            let _ = timeout(wait, wake.notified()).await;
        }
        OrderStep::Report => {
            report(edge, id).await;
            publish(edge, id, &step, None);
        }
        _ => {
            let met = perform(edge, id, &step, accepted, fence).await;
            match (&step, met) {
                (OrderStep::Load(..), OrderResult::Accepted) => edge.metrics.loads(1),
                (OrderStep::Load(..), OrderResult::Lost | OrderResult::Refused) => {
                    edge.metrics.load_failures(1)
                }
                (OrderStep::Unload(_), OrderResult::Holds) => edge.metrics.evictions(1),
                _ => {}
            }
            let arrived = {
                let mut kept = edge.held.borrow_mut();
                let Some(k) = kept.get_mut(id) else { return };
                k.planner.on_result(BootClock.now(), &step, met)
            };
            publish(edge, id, &step, arrived.as_ref());
        }
    }
}
