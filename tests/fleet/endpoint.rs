//! Fake engines and services.

use std::collections::{BTreeMap, BTreeSet};

use rand::RngExt;
use sycamorefork::claim::{ClaimAnswer, Status};
use sycamorefork::core::EndpointOrder;
use sycamorefork::engine::EngineState;
use sycamorefork::error::Error;
use sycamorefork::ids::{AdapterRef, AttemptId, Endpoint};
use sycamorefork::ownership::{OrderKind, Resource};

use super::{Ev, In, RequestEnd, Step, World};

/// Time of a load.
const LOAD: u64 = 250;

/// Time after which a node gives up an endpoint that does not answer.
const SILENCE: u64 = 2_000;

/// A request to an endpoint.
pub(super) enum Ask {
    Load(u64, EndpointOrder),
    Loaded(u64, u64, EndpointOrder),
    Evict(u64, EndpointOrder),
    Query,
    Run(usize, AttemptId, u64),
    Status(String, AttemptId),
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ordered {
    Done,
    Refused,
    Fenced(u64),
    Unknown,
}

/// How an attempt ended, as its entry node sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reply {
    Answer,
    Refused,
    Unsent,
    Broken,
}

pub struct Ep {
    pub name: Endpoint,
    pub fenced: bool,
    pub is_engine: bool,
    pub incarnation: u64,
    /// Incarnation that its owner has read.
    pub known: u64,
    pub loaded: BTreeSet<AdapterRef>,
    pub loading: BTreeSet<AdapterRef>,
    pub running: BTreeMap<AttemptId, (usize, Option<AdapterRef>)>,
    pub done: BTreeSet<AttemptId>,
    pub silent: u64,
    /// Loads that fail, and orders whose answer is lost.
    pub fail: u32,
    pub lose: u32,
    /// When it was marked as leaving.
    pub left_at: Option<u64>,
    down: bool,
    fence: u64,
    /// Highest fence of an order that needs sole ownership.
    sole: u64,
}

impl Ep {
    pub fn new(name: &str, fenced: bool, engine: bool) -> Self {
        Self {
            name: name.into(),
            fenced,
            is_engine: engine,
            incarnation: 0,
            known: 0,
            loaded: BTreeSet::new(),
            loading: BTreeSet::new(),
            running: BTreeMap::new(),
            done: BTreeSet::new(),
            silent: 0,
            fail: 0,
            lose: 0,
            left_at: None,
            down: false,
            fence: 0,
            sole: 0,
        }
    }

    pub fn resource(&self) -> Resource {
        Resource::Endpoint { name: self.name.clone(), checks_fence: self.fenced }
    }
}

impl World {
    pub(super) fn ask(&mut self, e: usize, i: usize, ask: Ask) {
        let at = (self.now + self.hop(), self.next());
        self.events.insert(at, Ev::Endpoint(e, i, self.members[i].life, ask));
    }

    fn tell(&mut self, i: usize, life: u32, delay: u64, input: In) {
        let at = (self.now + delay, self.next());
        self.events.insert(at, Ev::Node(i, life, input));
    }

    /// Restarts an endpoint: slots and runs are gone, and it is down for a while.
    pub(super) fn crash(&mut self, e: usize, ms: u64) {
        let ep = &mut self.endpoints[e];
        ep.incarnation += 1;
        ep.down = true;
        ep.loaded.clear();
        ep.loading.clear();
        let incarnation = ep.incarnation;
        for (attempt, (r, _)) in std::mem::take(&mut ep.running) {
            let (i, life) = (self.requests[r].node, self.requests[r].life);
            self.tell(i, life, 3, In::Answer(r, attempt, Reply::Broken));
        }
        let at = (self.now + ms.clamp(100, 2_000), self.next());
        self.events.insert(at, Ev::Up(e, incarnation));
    }

    pub(super) fn come_up(&mut self, e: usize, incarnation: u64) {
        let ep = &mut self.endpoints[e];
        ep.down &= ep.incarnation != incarnation;
    }

    /// Checks an order directly before it leaves, as the shell does.
    pub(super) fn send_order(&mut self, i: usize, order: EndpointOrder, kind: OrderKind) {
        let e = self.find(&order.endpoint);
        let fence = self.core(i, |core, now, _| match kind {
            OrderKind::Evict => core.evict_fence(now, &order),
            _ => core.order_fence(now, &order.endpoint, kind),
        });
        match (fence, kind) {
            (Some(fence), OrderKind::Evict) => self.ask(e, i, Ask::Evict(fence, order)),
            (Some(fence), _) => self.ask(e, i, Ask::Load(fence, order)),
            (None, _) => self.node(i, 0, In::Ordered(order, kind, Ordered::Refused)),
        }
    }

    pub(super) fn on_ordered(
        &mut self,
        i: usize,
        order: &EndpointOrder,
        kind: OrderKind,
        end: Ordered,
    ) {
        if let Ordered::Fenced(fence) = end {
            let resource = self.endpoints[self.find(&order.endpoint)].resource();
            self.core(i, |core, now, out| {
                core.authority.on_fence_refused(now, &resource, fence);
                core.flush_authority(now, out);
            });
        }
        let done = end == Ordered::Done;
        if end == Ordered::Unknown {
            return self.core(i, |core, now, _| core.on_order_unknown(now, order, kind));
        }
        self.core(i, |core, now, out| match kind {
            OrderKind::Evict => core.on_evicted(now, order, done, out),
            _ => core.on_loaded(now, order, done, out),
        });
    }

    /// Whether an order with this fence is refused; checks orders that need sole ownership.
    fn refused(&mut self, e: usize, fence: u64, kind: OrderKind) -> bool {
        let ep = &mut self.endpoints[e];
        if ep.fenced && fence < ep.fence {
            return true;
        }
        ep.fence = ep.fence.max(fence);
        if !ep.fenced && kind != OrderKind::Infer {
            let (name, sole) = (ep.name.clone(), ep.sole);
            ep.sole = sole.max(fence);
            if fence < sole {
                self.violated(format!("{kind:?} with fence {fence} at {name} after {sole}"));
            }
        }
        false
    }

    pub(super) fn serve_endpoint(&mut self, e: usize, i: usize, life: u32, ask: Ask) {
        let hop = self.hop();
        let silent = self.now < self.endpoints[e].silent;
        let down = self.endpoints[e].down;
        match ask {
            Ask::Query => {
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
                        slots: 3,
                        batch: 4,
                    })),
                };
                let name = ep.name.clone();
                self.tell(i, life, if silent { SILENCE } else { hop }, In::State(name, state));
            }
            Ask::Load(fence, order) => {
                self.pass(Step::Loading, i, e);
                let fenced = self.refused(e, fence, OrderKind::Load);
                let ep = &mut self.endpoints[e];
                let full = ep.loaded.len() + ep.loading.len() >= 3;
                let fail = ep.fail > 0;
                ep.fail -= u32::from(fail);
                let end = match () {
                    () if silent || down || fail => Ordered::Unknown,
                    () if fenced => Ordered::Fenced(fence),
                    () if ep.loaded.contains(&order.adapter) => Ordered::Done,
                    () if full => Ordered::Refused,
                    () => {
                        ep.loading.insert(order.adapter.clone());
                        let ask = Ask::Loaded(ep.incarnation, fence, order);
                        let at = (self.now + LOAD, self.next());
                        self.events.insert(at, Ev::Endpoint(e, i, life, ask));
                        return;
                    }
                };
                let wait = if silent { SILENCE } else { hop };
                self.tell(i, life, wait, In::Ordered(order, OrderKind::Load, end));
            }
            Ask::Loaded(incarnation, _, order) => {
                let ep = &mut self.endpoints[e];
                let lose = ep.lose > 0 || silent;
                let mut end = Ordered::Unknown;
                if ep.incarnation == incarnation {
                    ep.loading.remove(&order.adapter);
                    ep.loaded.insert(order.adapter.clone());
                    ep.lose = ep.lose.saturating_sub(1);
                    end = if lose { Ordered::Unknown } else { Ordered::Done };
                }
                self.pass(Step::Loaded, i, e);
                let wait = if lose { SILENCE } else { hop };
                self.tell(i, life, wait, In::Ordered(order, OrderKind::Load, end));
            }
            Ask::Evict(fence, order) => {
                let fenced = self.refused(e, fence, OrderKind::Evict);
                let ep = &mut self.endpoints[e];
                let uses = ep.running.values().any(|(_, a)| a.as_ref() == Some(&order.adapter));
                let lose = ep.lose > 0;
                let end = match () {
                    () if silent || down => Ordered::Unknown,
                    () if fenced => Ordered::Fenced(fence),
                    () => {
                        ep.loaded.remove(&order.adapter);
                        ep.lose = ep.lose.saturating_sub(1);
                        if lose { Ordered::Unknown } else { Ordered::Done }
                    }
                };
                let name = ep.name.clone();
                if uses && !matches!(end, Ordered::Fenced(_)) && !(silent || down) {
                    self.violated(format!("{} evicted on {name} while it serves", order.adapter));
                }
                let wait = if silent || lose { SILENCE } else { hop + 10 };
                self.tell(i, life, wait, In::Ordered(order, OrderKind::Evict, end));
            }
            Ask::Run(r, attempt, fence) => self.run_attempt(e, r, attempt, fence),
            Ask::Status(key, attempt) => {
                let ep = &self.endpoints[e];
                let status = match () {
                    () if silent || down => Status::Unclear,
                    () if ep.done.contains(&attempt) => Status::Ended(answer()),
                    () if ep.running.contains_key(&attempt) => Status::Running,
                    () => Status::Unclear,
                };
                self.tell(i, life, hop, In::Status(key, status));
            }
        }
    }

    fn run_attempt(&mut self, e: usize, r: usize, attempt: AttemptId, fence: u64) {
        let (i, life) = (self.requests[r].node, self.requests[r].life);
        let spec = self.requests[r].spec.clone();
        let hop = self.hop();
        let kind = if spec.repeatable { OrderKind::Infer } else { OrderKind::NonIdempotent };
        let fenced = self.refused(e, fence, kind);
        let ep = &self.endpoints[e];
        let absent = spec.adapter.as_ref().is_some_and(|a| !ep.loaded.contains(a));
        let reply = match () {
            () if self.now < ep.silent => return,
            () if ep.down => Some(Reply::Unsent),
            () if fenced || absent => Some(Reply::Refused),
            () => None,
        };
        let same = self.requests[r].granted == Some((attempt, ep.incarnation));
        if absent && same && !ep.down && !fenced {
            let what = format!("{:?} is absent on {} at a granted attempt", spec.adapter, ep.name);
            self.violated(what);
        }
        if let Some(reply) = reply {
            return self.tell(i, life, hop, In::Answer(r, attempt, reply));
        }
        self.count_run(r);
        let ep = &mut self.endpoints[e];
        ep.running.insert(attempt, (r, spec.adapter));
        let incarnation = ep.incarnation;
        let time = self.rng.random_range(30..1_200);
        let at = (self.now + time, self.next());
        self.events.insert(at, Ev::Run(e, incarnation, attempt));
        self.pass(Step::Streaming, i, e);
        if spec.crashes_endpoint || std::mem::take(&mut self.poison) {
            self.crash(e, 500);
        }
    }

    pub(super) fn end_run(&mut self, e: usize, incarnation: u64, attempt: AttemptId) {
        let ep = &mut self.endpoints[e];
        if ep.incarnation != incarnation {
            return;
        }
        let Some((r, _)) = ep.running.remove(&attempt) else { return };
        ep.done.insert(attempt);
        let (i, life) = (self.requests[r].node, self.requests[r].life);
        self.pass(Step::Ended, i, e);
        let hop = self.hop();
        if self.now >= self.endpoints[e].silent {
            self.tell(i, life, hop, In::Answer(r, attempt, Reply::Answer));
        }
    }

    /// Counts an execution and checks what forbids it.
    fn count_run(&mut self, r: usize) {
        let req = &mut self.requests[r];
        req.ran += 1;
        let (spec, ran, end) = (req.spec.clone(), req.ran, req.end);
        if end == Some(RequestEnd::NotRun) {
            self.violated(format!("request {r} runs after it was reported as not run"));
        }
        if !spec.repeatable && ran > 1 {
            self.violated(format!("request {r} ran {ran} times"));
        }
        if let Some(key) = spec.key {
            let runs = self.runs.entry(key).or_default();
            *runs += 1;
            if *runs > 1 {
                let runs = *runs;
                self.violated(format!("key {key} ran {runs} times"));
            }
        }
    }
}

pub(super) fn answer() -> ClaimAnswer {
    ClaimAnswer { status: 200, headers: Vec::new(), body: "done".into(), body_omitted: false }
}
