//! Several node cores with a fake table, fake endpoints and a message queue, in simulated
//! time. A run is determined by its seed.
#![allow(dead_code)]

mod endpoint;
mod fault;
mod request;
mod table;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use sycamorefork::authority::Authority;
use sycamorefork::claim::{ClaimOutput, Claims, Settings as ClaimSettings, Status, Ticket};
use sycamorefork::config::Config;
use sycamorefork::core::{Core, CoreOut, EndpointOrder};
use sycamorefork::engine_client::EngineState;
use sycamorefork::error::Result;
use sycamorefork::generated::peer::{self, frame::Body};
use sycamorefork::ids::{AttemptId, Endpoint, Node};
use sycamorefork::lease::AuthorityLevel;
use sycamorefork::node_settings::Settings;
use sycamorefork::ownership::{OpId, OrderKind};
use sycamorefork::storage::{Commit, Row, Vm};
use sycamorefork::takeover::ProbeResult;
use sycamorefork::time::Ms;
use sycamorefork::{config_check, wire};

pub use endpoint::FakeEndpoint;
use endpoint::{AttemptEnd, EndpointCall, OrderEnd};
pub use fault::{Fault, Step};
pub use request::{RequestEnd, RequestPlan, TestRequest};
use table::TableOp;

/// An input of a node.
enum Input {
    Tick,
    Message(Node, Body),
    Commit(OpId, Result<Commit>),
    Rows(OpId, Result<Vec<Row>>),
    Probe(Node, ProbeResult),
    Claim(u64, Result<Commit>),
    ClaimRows(Vec<String>, Result<Vec<Row>>),
    CallStatus(String, Status),
    EndpointState(Endpoint, Result<Option<EngineState>>),
    SendOrder(EndpointOrder, OrderKind),
    OrderEnded(EndpointOrder, OrderKind, OrderEnd),
    ConfigHead(u64),
    Config(u64),
    Advance(usize),
    PermitReply(AttemptId, peer::PermitReply),
    AttemptEnded(usize, AttemptId, AttemptEnd),
}

enum Event {
    Node(usize, u32, Input),
    Table(usize, u32, TableOp),
    Endpoint(usize, usize, u32, EndpointCall),
    RunEnded(usize, u64, AttemptId),
    EndpointUp(usize, u64),
    Fault(Fault, usize, usize, u64),
    StartRequest(RequestPlan),
    Drain(usize),
}

pub struct Member {
    pub core: Core,
    pub claims: Claims,
    pub name: Node,
    pub vm: String,
    pub incarnation: u32,
    pub alive: bool,
    pub draining: bool,
    pub frozen_until: u64,
    /// Time until which the table service is unreachable.
    pub no_table: u64,
    /// Time until which the other nodes are unreachable.
    pub no_peers: u64,
    watched: BTreeSet<Node>,
    tickets: BTreeMap<Ticket, usize>,
    /// When to read the VM list next.
    next_listing: u64,
    serial: u64,
}

pub struct World {
    pub now: u64,
    pub rng: SmallRng,
    pub members: Vec<Member>,
    pub endpoints: Vec<FakeEndpoint>,
    pub requests: Vec<TestRequest>,
    pub vms: Vec<Vm>,
    pub configs: BTreeMap<u64, Arc<Config>>,
    pub head: u64,
    pub violations: Vec<String>,
    /// Fault to inject at a step, with its duration in milliseconds.
    pub armed_fault: Option<(Step, Fault, u64)>,
    /// Number of armed faults that were injected.
    pub faults_injected: u32,
    /// How often each step was reached.
    pub step_counts: BTreeMap<Step, u32>,
    /// Number of commits whose answers will be lost.
    pub lose_answers: u32,
    outage_until: u64,
    slow_until: u64,
    /// Time until which the object store is unreachable.
    no_objects: u64,
    rows: BTreeMap<String, Row>,
    versions: u64,
    events: BTreeMap<(u64, u64), Event>,
    seq: u64,
    runs: BTreeMap<usize, u32>,
    buckets: BTreeMap<&'static str, (f64, u64)>,
    fences: BTreeMap<(Endpoint, u64), Node>,
    crash_next: bool,
}

/// Names, rates and bursts of the teams, in tokens per second and tokens.
pub const TEAMS: [(&str, u64, u64); 2] = [("a", 4_000, 12_000), ("b", 1_000, 4_000)];

fn document(withdrawn: bool) -> String {
    let mut text = "[store]\nloads = 8.0\nconcurrent = 3\n".to_owned();
    for (i, (team, rate, burst)) in TEAMS.iter().enumerate() {
        let digest = hex::encode(sycamorefork::keys::digest(team));
        let mark = if withdrawn && i == 1 { "withdrawn = true\n" } else { "" };
        text += &format!("[[team]]\nname = \"{team}\"\nrate = {rate}\nburst = {burst}\n");
        text += &format!("[[key]]\nid = \"k{team}\"\nteam = \"{team}\"\ndigest = \"{digest}\"\n");
        text += mark;
    }
    text
}

fn settings(vm: &str) -> Arc<Settings> {
    let mut text = format!(
        "node = \"{vm}\"\ndomain = \"d\"\n[peers]\nsecret = \"secret-of-sixteen-bytes\"\n\
         [admin]\ndigest = \"{}\"\n[platform]\ntable = \"127.0.0.1:1\"\n\
         objects = \"127.0.0.1:2\"\nvms = \"127.0.0.1:3\"\n",
        "0".repeat(64)
    );
    for (name, role, pool, fenced) in
        [("f-*", "engine", "engines", true), ("u-*", "engine", "engines", false)]
            .into_iter()
            .chain([("s-*", "service", "services", false)])
    {
        text += &format!(
            "[[endpoint]]\nname = \"{name}\"\nrole = \"{role}\"\npool = \"{pool}\"\n\
             slots = 3\nbatch = 4\nchecks_fence = {fenced}\n"
        );
    }
    let checked = Settings::check("node.toml", &text);
    Arc::new(checked.settings.unwrap_or_else(|| panic!("{:?}", checked.findings)))
}

fn vm(name: &str, role: &str) -> Vm {
    let addr = "127.0.0.1:9".parse().unwrap();
    Vm { name: name.into(), addr, role: role.into(), leaving: false }
}

impl World {
    /// Creates nodes `node-0`, `node-1` and so on; engines `f-0` (checks fences), `u-0` and
    /// `u-1` (do not check fences); and services `s-0` and `s-1`. Runs until all of them are
    /// in use.
    pub fn new(seed: u64, nodes: usize) -> Self {
        let rng = SmallRng::seed_from_u64(seed);
        let engines = [("f-0", true), ("u-0", false), ("u-1", false)];
        let endpoints: Vec<FakeEndpoint> = engines
            .iter()
            .map(|(name, fenced)| FakeEndpoint::new(name, *fenced, true))
            .chain(["s-0", "s-1"].iter().map(|name| FakeEndpoint::new(name, false, false)))
            .collect();
        let role = |e: &FakeEndpoint| if e.is_engine { "engine" } else { "service" };
        let mut world = Self {
            now: 1_000,
            rng,
            members: Vec::new(),
            requests: Vec::new(),
            vms: endpoints.iter().map(|e| vm(e.name.as_str(), role(e))).collect(),
            endpoints,
            configs: BTreeMap::new(),
            head: 0,
            violations: Vec::new(),
            armed_fault: None,
            faults_injected: 0,
            step_counts: BTreeMap::new(),
            lose_answers: 0,
            outage_until: 0,
            slow_until: 0,
            no_objects: 0,
            rows: BTreeMap::new(),
            versions: 0,
            events: BTreeMap::new(),
            seq: 0,
            runs: BTreeMap::new(),
            buckets: TEAMS.iter().map(|(t, _, burst)| (*t, (*burst as f64, 1_000))).collect(),
            fences: BTreeMap::new(),
            crash_next: false,
        };
        world.configure(false);
        for i in 0..nodes {
            world.vms.push(vm(&format!("node-{i}"), "node"));
            world.start(i);
        }
        world.run(12_000);
        world
    }

    /// Stores the next configuration and updates the head.
    pub fn configure(&mut self, withdrawn: bool) {
        let serial = self.head + 1;
        let checked = config_check::check_document("d.toml", &document(withdrawn));
        let document = checked.document.unwrap_or_else(|| panic!("{:?}", checked.findings));
        let config = Config::compile(document, serial, &format!("digest-{serial}"));
        self.configs.insert(serial, Arc::new(config));
        self.reach_step(Step::ConfigStored, 0, 0);
        self.head = serial;
        self.reach_step(Step::HeadUpdated, 0, 0);
    }

    /// Starts a new incarnation of the node.
    pub fn start(&mut self, i: usize) {
        let incarnation = self.members.get(i).map_or(0, |m| m.incarnation + 1);
        let vm = format!("node-{i}");
        let name = Node::new(&format!("{vm}.{incarnation}"));
        let (core_seed, claim_seed) = (self.rng.random(), self.rng.random());
        let member = Member {
            core: Core::new(name.clone(), settings(&vm), core_seed),
            claims: Claims::new(name.clone(), ClaimSettings::default(), claim_seed),
            name,
            vm,
            incarnation,
            alive: true,
            draining: false,
            frozen_until: 0,
            no_table: 0,
            no_peers: 0,
            watched: BTreeSet::new(),
            tickets: BTreeMap::new(),
            next_listing: 0,
            serial: 0,
        };
        match i < self.members.len() {
            true => self.members[i] = member,
            false => self.members.push(member),
        }
        self.schedule_input(i, 1 + i as u64 * 7, Input::Tick);
    }

    pub fn kill(&mut self, i: usize) {
        self.members[i].alive = false;
        for r in &mut self.requests {
            if r.node == i && r.end.is_none() {
                r.end = Some(RequestEnd::Lost);
            }
        }
    }

    pub fn schedule_request(&mut self, delay: u64, spec: RequestPlan) {
        let at = (self.now + delay, self.next_seq());
        self.events.insert(at, Event::StartRequest(spec));
    }

    /// Schedules a graceful shutdown of the node.
    pub fn schedule_drain(&mut self, delay: u64, node: usize) {
        let at = (self.now + delay, self.next_seq());
        self.events.insert(at, Event::Drain(node));
    }

    fn next_seq(&mut self) -> u64 {
        self.seq += 1;
        self.seq
    }

    fn schedule_input(&mut self, i: usize, delay: u64, input: Input) {
        let at = (self.now + delay, self.next_seq());
        self.events.insert(at, Event::Node(i, self.members[i].incarnation, input));
    }

    fn network_delay(&mut self) -> u64 {
        self.rng.random_range(1..8)
    }

    pub fn add_violation(&mut self, violation: String) {
        self.violations.push(format!("{} ms: {violation}", self.now));
    }

    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while let Some(entry) = self.events.first_entry().filter(|e| e.key().0 <= end) {
            let ((at, _), ev) = entry.remove_entry();
            self.now = self.now.max(at);
            match ev {
                Event::Node(i, incarnation, input) => self.handle_input(i, incarnation, input),
                Event::Table(i, incarnation, op) => self.serve_table(i, incarnation, op),
                Event::Endpoint(e, i, incarnation, call) => {
                    self.serve_endpoint(e, i, incarnation, call)
                }
                Event::RunEnded(e, incarnation, attempt) => self.end_run(e, incarnation, attempt),
                Event::EndpointUp(e, incarnation) => self.endpoint_up(e, incarnation),
                Event::Fault(fault, i, e, ms) => self.inject(fault, i, e, ms),
                Event::StartRequest(spec) => self.start_request(spec),
                Event::Drain(i) => {
                    self.members[i].draining = true;
                    self.members[i].core.drain(Ms(self.now));
                    self.reach_step(Step::Draining, i, 0);
                }
            }
        }
        self.now = end;
    }

    /// Calls a core and performs its outputs.
    fn with_core<T>(
        &mut self,
        i: usize,
        f: impl FnOnce(&mut Core, Ms, &mut Vec<CoreOut>) -> T,
    ) -> T {
        let mut out = Vec::new();
        let core = &mut self.members[i].core;
        let result = f(core, Ms(self.now), &mut out);
        for violation in std::mem::take(&mut core.violations) {
            self.add_violation(format!("node-{i}: {violation}"));
        }
        for o in out {
            self.perform(i, o);
        }
        result
    }

    fn perform(&mut self, i: usize, out: CoreOut) {
        let delay = self.network_delay();
        match out {
            CoreOut::Send(to, body) => {
                if let Body::PermitReply(reply) = &body {
                    self.on_grant(i, reply);
                }
                let Some(j) = self.members.iter().position(|m| m.vm == to) else { return };
                let cut = self.members[i].no_peers.max(self.members[j].no_peers);
                if self.now >= cut && self.members[j].alive {
                    let from = self.members[i].name.clone();
                    self.schedule_input(j, delay, Input::Message(from, body));
                }
            }
            CoreOut::Authority(out) => self.perform_authority(i, out),
            CoreOut::Load(order) => {
                let e = self.endpoint_index(&order.endpoint);
                self.reach_step(Step::LoadOrdered, i, e);
                self.schedule_input(i, 0, Input::SendOrder(order, OrderKind::Load));
            }
            CoreOut::Evict(order) => {
                let e = self.endpoint_index(&order.endpoint);
                self.reach_step(Step::EvictOrdered, i, e);
                self.schedule_input(i, 0, Input::SendOrder(order, OrderKind::Evict));
            }
            CoreOut::QueryState(endpoint) => {
                let e = self.endpoint_index(&endpoint);
                self.call_endpoint(e, i, EndpointCall::Query);
            }
            CoreOut::Reply(attempt, reply) => {
                self.on_grant(i, &reply);
                self.schedule_input(i, 0, Input::PermitReply(attempt, reply));
            }
            CoreOut::FetchConfig(serial, _) => self.fetch(i, serial),
        }
    }

    fn fetch(&mut self, i: usize, serial: u64) {
        if self.now >= self.no_objects {
            // Later reads may finish earlier.
            let delay = self.rng.random_range(1..900);
            self.reach_step(Step::ConfigFetched, i, 0);
            self.schedule_input(i, delay, Input::Config(serial));
        }
    }

    fn endpoint_index(&self, name: &Endpoint) -> usize {
        self.endpoints.iter().position(|e| e.name == *name).expect("known endpoint")
    }

    fn handle_input(&mut self, i: usize, incarnation: u32, input: Input) {
        if !self.members[i].alive || self.members[i].incarnation != incarnation {
            return;
        }
        if self.now < self.members[i].frozen_until {
            let at = (self.members[i].frozen_until, self.next_seq());
            self.events.insert(at, Event::Node(i, incarnation, input));
            return;
        }
        match input {
            Input::Tick => self.tick(i),
            Input::Message(from, body) => self.handle_message(i, &from, body),
            Input::Commit(op, result) => self.with_core(i, |core, now, out| {
                core.authority.on_commit(now, op, result);
                core.flush_authority(now, out);
            }),
            Input::Rows(op, result) => self.with_core(i, |core, now, out| {
                core.authority.on_rows(now, op, result);
                core.flush_authority(now, out);
            }),
            Input::Probe(node, result) => self.with_core(i, |core, now, out| {
                core.authority.on_probe(now, &node, result);
                core.flush_authority(now, out);
            }),
            Input::Claim(id, result) => {
                self.members[i].claims.on_commit(Ms(self.now), id, result);
            }
            Input::ClaimRows(keys, rows) => {
                self.members[i].claims.on_rows(Ms(self.now), &keys, rows);
            }
            Input::CallStatus(key, status) => {
                self.members[i].claims.on_status(Ms(self.now), &key, status);
            }
            Input::EndpointState(endpoint, state) => {
                let e = self.endpoint_index(&endpoint);
                if let Ok(Some(state)) = &state {
                    self.endpoints[e].known_incarnation =
                        state.incarnation.parse().expect("a number");
                }
                self.with_core(i, |core, now, out| core.on_state(now, &endpoint, state, out));
            }
            Input::SendOrder(order, kind) => self.send_order(i, order, kind),
            Input::OrderEnded(order, kind, end) => self.on_order_ended(i, &order, kind, end),
            Input::ConfigHead(serial) => {
                if serial > self.members[i].serial {
                    self.fetch(i, serial);
                }
            }
            Input::Config(serial) => {
                let config = self.configs[&serial].clone();
                if self.with_core(i, |core, now, _| core.set_config(now, config)) {
                    if serial <= self.members[i].serial {
                        self.add_violation(format!(
                            "node-{i} applied serial {serial} after a higher one"
                        ));
                    }
                    self.members[i].serial = serial;
                    self.reach_step(Step::ConfigApplied, i, 0);
                }
            }
            Input::Advance(r) => self.advance_request(r),
            Input::PermitReply(attempt, reply) => self.on_permit(i, attempt, &reply),
            Input::AttemptEnded(r, attempt, reply) => self.on_answer(r, attempt, reply),
        }
        self.run_claims(i);
    }

    fn tick(&mut self, i: usize) {
        if self.now >= self.members[i].next_listing {
            self.members[i].next_listing = self.now + 1_000;
            let vms = self.vms.clone();
            self.with_core(i, |core, now, out| core.set_vms(now, &vms, out));
            self.call_table(i, TableOp::Head);
        }
        self.with_core(i, |core, now, out| core.tick(now, out));
        let authority: &Authority = &self.members[i].core.authority;
        let gone: Vec<Node> = self.members[i]
            .watched
            .iter()
            .filter(|n| authority.is_gone(n, Ms(0)))
            .cloned()
            .collect();
        for node in gone {
            self.members[i].watched.remove(&node);
            self.members[i].claims.node_gone(Ms(self.now), &node);
        }
        self.release_if_idle(i);
        if self.members[i].alive {
            self.schedule_input(i, 40, Input::Tick);
        }
    }

    /// Releases the resources of a draining node once its requests have ended.
    fn release_if_idle(&mut self, i: usize) {
        let busy = self.requests.iter().any(|r| r.node == i && r.end.is_none());
        if !self.members[i].draining || busy {
            return;
        }
        self.with_core(i, |core, now, out| core.release(now, out));
        if self.members[i].core.authority.released() {
            self.reach_step(Step::Released, i, 0);
            self.members[i].alive = false;
        }
    }

    fn handle_message(&mut self, i: usize, from: &Node, body: Body) {
        let to = from.as_str().rsplit_once('.').unwrap().0.to_owned();
        match body {
            Body::Heartbeat(beat) => {
                self.with_core(i, |core, now, out| core.on_heartbeat(now, from, &beat, out));
            }
            Body::PermitRequest(req) => {
                self.with_core(i, |core, now, out| core.on_permit_request(now, from, &req, out));
            }
            Body::PermitReply(reply) => {
                let attempt = AttemptId(u128::from_be_bytes(
                    reply.attempt.as_slice().try_into().expect("16 bytes"),
                ));
                self.on_permit(i, attempt, &reply);
            }
            Body::PermitEnd(end) => {
                self.with_core(i, |core, now, out| core.on_permit_end(now, &end, out));
            }
            Body::PermitCancel(cancel) => {
                self.with_core(i, |core, now, _| core.on_permit_cancel(now, &cancel));
            }
            Body::PromiseRequest(ask) => {
                let p =
                    self.with_core(i, |core, now, _| core.authority.on_promise_request(now, from));
                let reply = peer::Promise { sent: ask.sent, valid: p.valid.0, given: p.given };
                self.perform(i, CoreOut::Send(to, Body::Promise(reply)));
            }
            Body::Promise(p) => self.with_core(i, |core, now, _| {
                core.authority.on_promise(now, from, Ms(p.sent), Ms(p.valid), p.given);
            }),
            Body::LoanAsk(ask) => {
                let ask = wire::loan_ask_from(&ask);
                let loan =
                    self.with_core(i, |core, now, _| core.quota.on_loan_request(now, from, &ask));
                if let Some(loan) = loan {
                    self.perform(i, CoreOut::Send(to, Body::Loan(wire::loan(&loan))));
                }
            }
            Body::Loan(loan) => {
                let loan = wire::loan_from(&loan);
                self.with_core(i, |core, now, _| core.quota.on_loan(now, from, &loan));
            }
            _ => {}
        }
    }

    /// Performs the outputs of the claim module of a node.
    fn run_claims(&mut self, i: usize) {
        let now = Ms(self.now);
        let events = self.members[i].claims.poll(now);
        while let Some(batch) = self.members[i].claims.next_batch(now) {
            self.call_table(i, TableOp::Claim(batch));
        }
        for event in events {
            match event {
                ClaimOutput::Read { keys } => self.call_table(i, TableOp::ClaimRows(keys)),
                ClaimOutput::Query { key, attempt, endpoint } => {
                    let e = self.endpoint_index(&endpoint);
                    self.call_endpoint(e, i, EndpointCall::Status(key, attempt));
                }
                ClaimOutput::Wait(_, node) => drop(self.members[i].watched.insert(node)),
                event => self.on_claim(i, event),
            }
        }
    }

    /// Nodes that can serve requests.
    pub fn serving(&self) -> Vec<usize> {
        let level = |m: &Member| m.core.authority.level(Ms(self.now));
        let serves = |m: &Member| m.alive && !m.draining && level(m) >= AuthorityLevel::Fenced;
        (0..self.members.len()).filter(|i| serves(&self.members[*i])).collect()
    }
}
