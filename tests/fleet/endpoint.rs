//! Fake engines and services.

use std::collections::{BTreeMap, BTreeSet};

use rand::RngExt;
use sycamorefork::claim::{ClaimAnswer, Status};
use sycamorefork::core::EndpointOrder;
use sycamorefork::engine_client::EngineState;
use sycamorefork::error::Error;
use sycamorefork::ids::{AdapterRef, AttemptId, Endpoint};
use sycamorefork::ownership::{OrderKind, Resource};

use super::{Event, Input, RequestEnd, Step, World};

/// Duration of a load, in milliseconds.
const LOAD_MS: u64 = 250;

/// Time without an answer after which a node gives up on an endpoint, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 2_000;

/// A call to an endpoint.
pub(super) enum EndpointCall {
    Load(u64, EndpointOrder),
    Loaded(u64, u64, EndpointOrder),
    Evict(u64, EndpointOrder),
    Query,
    Run(usize, AttemptId, u64),
    Status(String, AttemptId),
}

/// Result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OrderEnd {
    Done,
    Refused,
    Fenced(u64),
    Unknown,
}

/// Result of an attempt, as seen by its entry node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptEnd {
    Answer,
    Refused,
    Unsent,
    Broken,
}

pub struct FakeEndpoint {
    pub name: Endpoint,
    pub checks_fence: bool,
    pub is_engine: bool,
    pub incarnation: u64,
    /// Incarnation that its owner has read.
    pub known_incarnation: u64,
    pub loaded: BTreeSet<AdapterRef>,
    pub loading: BTreeSet<AdapterRef>,
    pub running: BTreeMap<AttemptId, (usize, Option<AdapterRef>)>,
    /// Attempts that ran to their end.
    pub done: BTreeSet<AttemptId>,
    /// Time until which it does not answer.
    pub silent_until: u64,
    /// Number of loads that will fail.
    pub failing_loads: u32,
    /// Number of orders whose answers will be lost.
    pub lost_answers: u32,
    /// When it was marked as leaving.
    pub left_at: Option<u64>,
    down: bool,
    fence: u64,
    /// Highest fence of an order that only a sole owner may send.
    sole_fence: u64,
}

impl FakeEndpoint {
    pub fn new(name: &str, checks_fence: bool, is_engine: bool) -> Self {
        Self {
            name: name.into(),
            checks_fence,
            is_engine,
            incarnation: 0,
            known_incarnation: 0,
            loaded: BTreeSet::new(),
            loading: BTreeSet::new(),
            running: BTreeMap::new(),
            done: BTreeSet::new(),
            silent_until: 0,
            failing_loads: 0,
            lost_answers: 0,
            left_at: None,
            down: false,
            fence: 0,
            sole_fence: 0,
        }
    }

    pub fn resource(&self) -> Resource {
        Resource::Endpoint { name: self.name.clone(), checks_fence: self.checks_fence }
    }
}

impl World {
    pub(super) fn call_endpoint(&mut self, e: usize, i: usize, call: EndpointCall) {
        let at = (self.now + self.network_delay(), self.next_seq());
        self.events.insert(at, Event::Endpoint(e, i, self.members[i].incarnation, call));
    }

    fn send_input(&mut self, i: usize, node_incarnation: u32, delay: u64, input: Input) {
        let at = (self.now + delay, self.next_seq());
        self.events.insert(at, Event::Node(i, node_incarnation, input));
    }

    /// Restarts an endpoint, which loses its slots and runs and is down for `ms`.
    pub(super) fn restart_endpoint(&mut self, e: usize, ms: u64) {
        let ep = &mut self.endpoints[e];
        ep.incarnation += 1;
        ep.down = true;
        ep.loaded.clear();
        ep.loading.clear();
        let incarnation = ep.incarnation;
        for (attempt, (r, _)) in std::mem::take(&mut ep.running) {
            let (i, node_incarnation) = (self.requests[r].node, self.requests[r].node_incarnation);
            self.send_input(
                i,
                node_incarnation,
                3,
                Input::AttemptEnded(r, attempt, AttemptEnd::Broken),
            );
        }
        let at = (self.now + ms.clamp(100, 2_000), self.next_seq());
        self.events.insert(at, Event::EndpointUp(e, incarnation));
    }

    pub(super) fn endpoint_up(&mut self, e: usize, incarnation: u64) {
        let ep = &mut self.endpoints[e];
        ep.down &= ep.incarnation != incarnation;
    }

    /// Checks an order immediately before it is sent, as the shell does.
    pub(super) fn send_order(&mut self, i: usize, order: EndpointOrder, kind: OrderKind) {
        let e = self.endpoint_index(&order.endpoint);
        let fence = self.with_core(i, |core, now, _| match kind {
            OrderKind::Evict => core.evict_fence(now, &order),
            _ => core.order_fence(now, &order.endpoint, kind),
        });
        match (fence, kind) {
            (Some(fence), OrderKind::Evict) => {
                self.call_endpoint(e, i, EndpointCall::Evict(fence, order))
            }
            (Some(fence), _) => self.call_endpoint(e, i, EndpointCall::Load(fence, order)),
            (None, _) => {
                self.schedule_input(i, 0, Input::OrderEnded(order, kind, OrderEnd::Refused))
            }
        }
    }

    pub(super) fn on_order_ended(
        &mut self,
        i: usize,
        order: &EndpointOrder,
        kind: OrderKind,
        end: OrderEnd,
    ) {
        if let OrderEnd::Fenced(fence) = end {
            let resource = self.endpoints[self.endpoint_index(&order.endpoint)].resource();
            self.with_core(i, |core, now, out| {
                core.authority.on_fence_refused(now, &resource, fence);
                core.flush_authority(now, out);
            });
        }
        let done = end == OrderEnd::Done;
        if end == OrderEnd::Unknown {
            return self.with_core(i, |core, now, _| core.on_order_unknown(now, order, kind));
        }
        self.with_core(i, |core, now, out| match kind {
            OrderKind::Evict => core.on_evicted(now, order, done, out),
            _ => core.on_loaded(now, order, done, out),
        });
    }

    /// Whether an order is rejected because of its fence. Also checks that orders that need a
    /// sole owner arrive in the order of their fences.
    fn fence_refused(&mut self, e: usize, fence: u64, kind: OrderKind) -> bool {
        let ep = &mut self.endpoints[e];
        if ep.checks_fence && fence < ep.fence {
            return true;
        }
        ep.fence = ep.fence.max(fence);
        if !ep.checks_fence && kind != OrderKind::Infer {
            let (name, sole) = (ep.name.clone(), ep.sole_fence);
            ep.sole_fence = sole.max(fence);
            if fence < sole {
                self.add_violation(format!(
                    "{kind:?} with fence {fence} reached {name} after fence {sole}"
                ));
            }
        }
        false
    }

    pub(super) fn serve_endpoint(
        &mut self,
        e: usize,
        i: usize,
        node_incarnation: u32,
        call: EndpointCall,
    ) {
        let delay = self.network_delay();
        let silent = self.now < self.endpoints[e].silent_until;
        let down = self.endpoints[e].down;
        match call {
            EndpointCall::Query => {
                let ep = &self.endpoints[e];
                let state = match (silent || down, ep.is_engine) {
                    (true, _) => Err(Error::io(ep.name.as_str(), "no answer")),
                    (false, false) => Ok(None),
                    (false, true) => Ok(Some(EngineState {
                        incarnation: format!("{}", ep.incarnation),
                        loaded: ep.loaded.iter().cloned().collect(),
                        running: ep.running.keys().copied().collect(),
                        fence: ep.fence,
                        queued: 0,
                        adapter_slots: 3,
                        max_batch: 4,
                    })),
                };
                let name = ep.name.clone();
                self.send_input(
                    i,
                    node_incarnation,
                    if silent { ANSWER_TIMEOUT_MS } else { delay },
                    Input::EndpointState(name, state),
                );
            }
            EndpointCall::Load(fence, order) => {
                self.reach_step(Step::LoadStarted, i, e);
                let fenced = self.fence_refused(e, fence, OrderKind::Load);
                let ep = &mut self.endpoints[e];
                let full = ep.loaded.len() + ep.loading.len() >= 3;
                let fail = ep.failing_loads > 0;
                ep.failing_loads -= u32::from(fail);
                let end = match () {
                    () if silent || down || fail => OrderEnd::Unknown,
                    () if fenced => OrderEnd::Fenced(fence),
                    () if ep.loaded.contains(&order.adapter) => OrderEnd::Done,
                    () if full => OrderEnd::Refused,
                    () => {
                        ep.loading.insert(order.adapter.clone());
                        let call = EndpointCall::Loaded(ep.incarnation, fence, order);
                        let at = (self.now + LOAD_MS, self.next_seq());
                        self.events.insert(at, Event::Endpoint(e, i, node_incarnation, call));
                        return;
                    }
                };
                let wait = if silent { ANSWER_TIMEOUT_MS } else { delay };
                self.send_input(
                    i,
                    node_incarnation,
                    wait,
                    Input::OrderEnded(order, OrderKind::Load, end),
                );
            }
            EndpointCall::Loaded(incarnation, _, order) => {
                let ep = &mut self.endpoints[e];
                let lose = ep.lost_answers > 0 || silent;
                let mut end = OrderEnd::Unknown;
                if ep.incarnation == incarnation {
                    ep.loading.remove(&order.adapter);
                    ep.loaded.insert(order.adapter.clone());
                    ep.lost_answers = ep.lost_answers.saturating_sub(1);
                    end = if lose { OrderEnd::Unknown } else { OrderEnd::Done };
                }
                self.reach_step(Step::LoadEnded, i, e);
                let wait = if lose { ANSWER_TIMEOUT_MS } else { delay };
                self.send_input(
                    i,
                    node_incarnation,
                    wait,
                    Input::OrderEnded(order, OrderKind::Load, end),
                );
            }
            EndpointCall::Evict(fence, order) => {
                let fenced = self.fence_refused(e, fence, OrderKind::Evict);
                let ep = &mut self.endpoints[e];
                let uses = ep.running.values().any(|(_, a)| a.as_ref() == Some(&order.adapter));
                let lose = ep.lost_answers > 0;
                let end = match () {
                    () if silent || down => OrderEnd::Unknown,
                    () if fenced => OrderEnd::Fenced(fence),
                    () => {
                        ep.loaded.remove(&order.adapter);
                        ep.lost_answers = ep.lost_answers.saturating_sub(1);
                        if lose { OrderEnd::Unknown } else { OrderEnd::Done }
                    }
                };
                let name = ep.name.clone();
                if uses && !matches!(end, OrderEnd::Fenced(_)) && !(silent || down) {
                    self.add_violation(format!(
                        "{} is evicted from {name} while a request uses it",
                        order.adapter
                    ));
                }
                let wait = if silent || lose { ANSWER_TIMEOUT_MS } else { delay + 10 };
                self.send_input(
                    i,
                    node_incarnation,
                    wait,
                    Input::OrderEnded(order, OrderKind::Evict, end),
                );
            }
            EndpointCall::Run(r, attempt, fence) => self.run_attempt(e, r, attempt, fence),
            EndpointCall::Status(key, attempt) => {
                let ep = &self.endpoints[e];
                let status = match () {
                    () if silent || down => Status::Unclear,
                    () if ep.done.contains(&attempt) => Status::Ended(answer()),
                    () if ep.running.contains_key(&attempt) => Status::Running,
                    () => Status::Unclear,
                };
                self.send_input(i, node_incarnation, delay, Input::CallStatus(key, status));
            }
        }
    }

    fn run_attempt(&mut self, e: usize, r: usize, attempt: AttemptId, fence: u64) {
        let (i, node_incarnation) = (self.requests[r].node, self.requests[r].node_incarnation);
        let spec = self.requests[r].spec.clone();
        let delay = self.network_delay();
        let kind = if spec.repeatable { OrderKind::Infer } else { OrderKind::NonIdempotent };
        let fenced = self.fence_refused(e, fence, kind);
        let ep = &self.endpoints[e];
        let absent = spec.adapter.as_ref().is_some_and(|a| !ep.loaded.contains(a));
        let reply = match () {
            () if self.now < ep.silent_until => return,
            () if ep.down => Some(AttemptEnd::Unsent),
            () if fenced || absent => Some(AttemptEnd::Refused),
            () => None,
        };
        let same = self.requests[r].granted == Some((attempt, ep.incarnation));
        if absent && same && !ep.down && !fenced {
            let violation =
                format!("{:?} is not loaded on {} for a granted attempt", spec.adapter, ep.name);
            self.add_violation(violation);
        }
        if let Some(reply) = reply {
            return self.send_input(
                i,
                node_incarnation,
                delay,
                Input::AttemptEnded(r, attempt, reply),
            );
        }
        self.count_run(r);
        let ep = &mut self.endpoints[e];
        ep.running.insert(attempt, (r, spec.adapter));
        let incarnation = ep.incarnation;
        let time = self.rng.random_range(30..1_200);
        let at = (self.now + time, self.next_seq());
        self.events.insert(at, Event::RunEnded(e, incarnation, attempt));
        self.reach_step(Step::Streaming, i, e);
        if spec.crashes_endpoint || std::mem::take(&mut self.crash_next) {
            self.restart_endpoint(e, 500);
        }
    }

    pub(super) fn end_run(&mut self, e: usize, incarnation: u64, attempt: AttemptId) {
        let ep = &mut self.endpoints[e];
        if ep.incarnation != incarnation {
            return;
        }
        let Some((r, _)) = ep.running.remove(&attempt) else { return };
        ep.done.insert(attempt);
        let (i, node_incarnation) = (self.requests[r].node, self.requests[r].node_incarnation);
        self.reach_step(Step::RunEnded, i, e);
        let delay = self.network_delay();
        if self.now >= self.endpoints[e].silent_until {
            self.send_input(
                i,
                node_incarnation,
                delay,
                Input::AttemptEnded(r, attempt, AttemptEnd::Answer),
            );
        }
    }

    /// Counts an execution and reports it if it is not allowed.
    fn count_run(&mut self, r: usize) {
        let req = &mut self.requests[r];
        req.ran += 1;
        let (spec, ran, end) = (req.spec.clone(), req.ran, req.end);
        if end == Some(RequestEnd::NotRun) {
            self.add_violation(format!("request {r} runs after it was reported as not run"));
        }
        if !spec.repeatable && ran > 1 {
            self.add_violation(format!("request {r} ran {ran} times"));
        }
        if let Some(key) = spec.key {
            let runs = self.runs.entry(key).or_default();
            *runs += 1;
            if *runs > 1 {
                let runs = *runs;
                self.add_violation(format!("key {key} ran {runs} times"));
            }
        }
    }
}

pub(super) fn answer() -> ClaimAnswer {
    ClaimAnswer { status: 200, headers: Vec::new(), body: "done".into(), body_omitted: false }
}
