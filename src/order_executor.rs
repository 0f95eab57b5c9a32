//! Sends the orders that `order_planner` decides on to the endpoints that this node holds.
//!
//! Each held endpoint has one worker task.

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
use crate::platform::headers;
use crate::platform::order::{self, Action, Order, OrderResponse, Report};
use crate::time::{BootClock, Clock, Ms};

/// Interval at which workers are started and stopped to match the held endpoints.
const WORKER_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Constant part of an order's time limit; the other part is four times its average time.
/// An order that exceeds the limit is sent again, so a short limit costs one more call.
const TIMEOUT_EXTRA_MS: f64 = 20.0;
/// Largest time limit of an order.
const TIMEOUT_MAX_MS: f64 = 300.0;
/// Average time of an order before any has been answered.
const INITIAL_ORDER_MS: f64 = 20.0;
/// Weight of a new sample in the average time of orders.
const ORDER_MS_WEIGHT: f64 = 0.2;
/// Time limit of a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(600);
/// Interval at which a worker checks for a fence while it must not send orders.
const NO_FENCE_PAUSE: Duration = Duration::from_millis(100);

impl HeldEndpoint {
    fn new(adapter_slots: usize) -> Self {
        Self {
            planner: OrderPlanner::new(adapter_slots),
            wake: Rc::new(Notify::new()),
            waiting_nodes: Map::default(),
            order_ms: INITIAL_ORDER_MS,
        }
    }

    fn order_timeout(&self) -> Duration {
        let ms = (self.order_ms * 4.0 + TIMEOUT_EXTRA_MS).min(TIMEOUT_MAX_MS);
        Duration::from_millis(ms as u64)
    }

    fn record_order_time(&mut self, time: Ms) {
        self.order_ms += ORDER_MS_WEIGHT * (time.0 as f64 - self.order_ms);
    }
}

/// Number of adapters that an endpoint can hold; 0 if its service has no engine.
fn adapter_slots(edge: &Edge, id: &str) -> usize {
    let table = edge.table.borrow();
    let Some(e) = table.get(id) else { return 0 };
    let routing = edge.routing.borrow();
    let Some(engine) = routing.services.get(&e.entry.service).and_then(|s| s.engine.as_ref())
    else {
        return 0;
    };
    engine.models.iter().map(|m| engine.adapters_beside(m)).min().unwrap_or(0)
}

/// Starts and stops workers as endpoints are claimed and lost.
pub(crate) async fn manage_workers(edge: Rc<Edge>) {
    loop {
        sleep(WORKER_CHECK_INTERVAL).await;
        let held: Vec<Rc<str>> = edge.holders.borrow().held_endpoints().cloned().collect();
        let known = |id: &Rc<str>| edge.table.borrow().get(id).is_some_and(EndpointState::usable);
        edge.held.borrow_mut().retain(|id, _| held.contains(id) && known(id));
        for id in held {
            if known(&id) && !edge.held.borrow().contains_key(&id) {
                let endpoint = HeldEndpoint::new(adapter_slots(&edge, &id));
                let wake = endpoint.wake.clone();
                edge.held.borrow_mut().insert(id.clone(), endpoint);
                tokio::task::spawn_local(run_worker(edge.clone(), id, wake));
            }
        }
        let name: Rc<str> = Rc::from(edge.deployment.node.as_str());
        for (id, k) in edge.held.borrow_mut().iter_mut() {
            k.planner.set_slots(adapter_slots(&edge, id));
            if let Some(e) = edge.table.borrow_mut().get_mut(id) {
                e.holder = Some(name.clone());
            }
        }
    }
}

/// Sends a request to an endpoint if `allowed` still holds once a connection is at hand.
async fn send_request(
    edge: &Edge,
    id: &str,
    request: Request<Full<Bytes>>,
    time_limit: Duration,
    allowed: impl Fn() -> bool,
) -> Result<FullResponse> {
    let address = edge.table.borrow().get(id).map(|e| e.entry.address);
    let address = address.ok_or_else(|| Error::state(id, "not listed"))?;
    let deadline = Instant::now() + time_limit;
    let answer = edge.control_client.fetch_if(address, request, deadline, allowed).await;
    let answer = answer.map_err(|e| Error::io(id, e))?;
    let headers = headers::parse_response(answer.status, &answer.headers);
    if answer.status != StatusCode::MISDIRECTED_REQUEST {
        edge.observe_answer(&Rc::from(id), &headers);
    }
    Ok(answer)
}

async fn read_report(edge: &Edge, id: &str) -> Result<Report> {
    let answer = send_request(edge, id, order::report_request(id), REPORT_TIMEOUT, || true).await?;
    if answer.status != StatusCode::OK {
        return Err(Error::platform(id, format!("report: status {}", answer.status)));
    }
    order::decode_report(&answer.body)
}

/// The order of a step; `None` if the step needs none.
fn order_for<'a>(
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
        // A check states the current order count, so that orders accepted since the load do
        // not make it fail.
        OrderStep::Check(adapter, version) => {
            Some(Order { accepted_orders: accepted, ..base(Action::Load, adapter, *version) })
        }
        OrderStep::Unload(adapter) => Some(base(Action::Unload, adapter, None)),
        OrderStep::Report | OrderStep::Wait(_) => None,
    }
}

async fn send_order(
    edge: &Edge,
    id: &str,
    step: &OrderStep,
    accepted: Option<u64>,
    fence: u64,
) -> OrderResult {
    let Some(order) = order_for(step, accepted, &edge.deployment.node, fence) else {
        return OrderResult::Refused;
    };
    let request = order::order_request(&order, id);
    // The lease may lapse between the planning of a step and the sending of its order.
    let allowed = || edge.holders.borrow().fence(BootClock.now(), id) == Some(fence);
    if !allowed() {
        return OrderResult::Refused;
    }
    let begun = BootClock.now();
    let time_limit = edge.held.borrow().get(id).map_or(REPORT_TIMEOUT, HeldEndpoint::order_timeout);
    match send_request(edge, id, request, time_limit, allowed).await {
        Ok(answer) => {
            let response = order::decode_status(answer.status);
            if response == OrderResponse::Misdirected {
                edge.mark_replaced(&Rc::from(id), "another instance answers orders");
            }
            if let Some(k) = edge.held.borrow_mut().get_mut(id) {
                k.record_order_time(BootClock.now().since(begun));
            }
            let result = match response {
                OrderResponse::Accepted => OrderResult::Accepted,
                OrderResponse::Holds => OrderResult::Holds,
                OrderResponse::Conflict => OrderResult::Conflict,
                OrderResponse::Fenced | OrderResponse::Misdirected | OrderResponse::Refused(_) => {
                    OrderResult::Refused
                }
            };
            if !matches!(step, OrderStep::Check(..)) || result == OrderResult::Conflict {
                decision!("order", "endpoint": id, "step": format!("{step:?}"), "expected": accepted,
                    "fence": fence, "met": format!("{result:?}"), "wants": backlog(edge, id));
            }
            result
        }
        Err(e) => {
            // A failed call counts too, so that the time limit grows if the endpoint is slow.
            if let Some(k) = edge.held.borrow_mut().get_mut(id) {
                k.record_order_time(BootClock.now().since(begun));
            }
            decision!("order", "endpoint": id, "step": format!("{step:?}"), "expected": accepted,
                "fence": fence, "met": "Lost", "error": e.to_string());
            OrderResult::Lost
        }
    }
}

/// Numbers of queued demands and of adapters being loaded, for the log.
fn backlog(edge: &Edge, id: &str) -> (usize, usize) {
    edge.held.borrow().get(id).map_or((0, 0), |k| k.planner.backlog())
}

/// Copies the planner's state to the endpoint table and notifies those that wait for an
/// adapter.
fn publish_state(edge: &Edge, id: &Rc<str>, step: &OrderStep, arrived: Option<&Rc<str>>) {
    let now = BootClock.now();
    let mut held = edge.held.borrow_mut();
    let Some(k) = held.get_mut(id) else { return };
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
    drop(held);
    edge.adapter_changes.notify_waiters();
}

async fn update_from_report(edge: &Edge, id: &Rc<str>) {
    let read = read_report(edge, id).await;
    let now = BootClock.now();
    let mut held = edge.held.borrow_mut();
    let Some(k) = held.get_mut(id) else { return };
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

/// The model that an endpoint without a model should load: the one with the fewest replicas.
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

/// Whether the endpoint still belongs to this worker. A worker that was started later for the
/// same endpoint has another `wake`.
fn is_current_worker(edge: &Edge, id: &str, wake: &Rc<Notify>) -> bool {
    let own = edge.held.borrow().get(id).is_some_and(|k| Rc::ptr_eq(&k.wake, wake));
    own && edge.table.borrow().get(id).is_some_and(EndpointState::usable)
}

async fn run_worker(edge: Rc<Edge>, id: Rc<str>, wake: Rc<Notify>) {
    while is_current_worker(&edge, &id, &wake) {
        let now = BootClock.now();
        let fence = edge.holders.borrow().fence(now, &id);
        match fence {
            Some(fence) => run_step(&edge, &id, &wake, fence).await,
            None => sleep(NO_FENCE_PAUSE).await,
        }
    }
    let mut held = edge.held.borrow_mut();
    if held.get(&id).is_some_and(|k| Rc::ptr_eq(&k.wake, &wake)) {
        held.remove(&id);
    }
}

/// The planner's next step, with the number of orders accepted before it.
fn next_step(edge: &Edge, id: &Rc<str>) -> Option<(OrderStep, Option<u64>)> {
    let now = BootClock.now();
    let mut held = edge.held.borrow_mut();
    let k = held.get_mut(id)?;
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

async fn run_step(edge: &Edge, id: &Rc<str>, wake: &Notify, fence: u64) {
    let Some((step, accepted)) = next_step(edge, id) else { return };
    match &step {
        OrderStep::Wait(until) => {
            // Ends early when a demand or a new version arrives.
            let wait = until.since(BootClock.now()).to_std();
            let _ = timeout(wait, wake.notified()).await;
        }
        OrderStep::Report => {
            update_from_report(edge, id).await;
            publish_state(edge, id, &step, None);
        }
        _ => {
            let result = send_order(edge, id, &step, accepted, fence).await;
            match (&step, result) {
                (OrderStep::Load(..), OrderResult::Accepted) => edge.metrics.loads(1),
                (OrderStep::Load(..), OrderResult::Lost | OrderResult::Refused) => {
                    edge.metrics.load_failures(1)
                }
                (OrderStep::Unload(_), OrderResult::Holds) => edge.metrics.evictions(1),
                _ => {}
            }
            let arrived = {
                let mut held = edge.held.borrow_mut();
                let Some(k) = held.get_mut(id) else { return };
                k.planner.on_result(BootClock.now(), &step, result)
            };
            publish_state(edge, id, &step, arrived.as_ref());
        }
    }
}
