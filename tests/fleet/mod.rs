//! Cores of several nodes over a fake table, fake endpoints and a message queue, in
//! simulated time. One seed decides everything.
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
use sycamorefork::engine::EngineState;
use sycamorefork::error::Result;
use sycamorefork::generated::peer::{self, frame::Body};
use sycamorefork::ids::{AttemptId, Endpoint, Node};
use sycamorefork::lease::AuthorityLevel;
use sycamorefork::ownership::{OpId, OrderKind};
use sycamorefork::settings::Settings;
use sycamorefork::storage::{Commit, Row, Vm};
use sycamorefork::takeover::ProbeResult;
use sycamorefork::time::Ms;
use sycamorefork::{check, wire};

pub use endpoint::Ep;
use endpoint::{Ask, Ordered, Reply};
pub use fault::{Fault, Step};
pub use request::{Req, RequestEnd, RequestPlan};
use table::TableOp;

/// An input of one node.
enum In {
    Tick,
    Msg(Node, Body),
    Commit(OpId, Result<Commit>),
    Rows(OpId, Result<Vec<Row>>),
    Probe(Node, ProbeResult),
    Claim(u64, Result<Commit>),
    ClaimRows(Vec<String>, Result<Vec<Row>>),
    Status(String, Status),
    State(Endpoint, Result<Option<EngineState>>),
    Order(EndpointOrder, OrderKind),
    Ordered(EndpointOrder, OrderKind, Ordered),
    Head(u64),
    Config(u64),
    Step(usize),
    Permit(AttemptId, peer::PermitReply),
    Answer(usize, AttemptId, Reply),
}

enum Ev {
    Node(usize, u32, In),
    Table(usize, u32, TableOp),
    Endpoint(usize, usize, u32, Ask),
    Run(usize, u64, AttemptId),
    Up(usize, u64),
    Fault(Fault, usize, usize, u64),
    Arrive(RequestPlan),
    Drain(usize),
}

pub struct Member {
    pub core: Core,
    pub claims: Claims,
    pub name: Node,
    pub vm: String,
    pub life: u32,
    pub alive: bool,
    pub draining: bool,
    pub frozen: u64,
    pub no_table: u64,
    pub no_peers: u64,
    watched: BTreeSet<Node>,
    tickets: BTreeMap<Ticket, usize>,
    listed: u64,
    serial: u64,
}

pub struct World {
    pub now: u64,
    pub rng: SmallRng,
    pub members: Vec<Member>,
    pub endpoints: Vec<Ep>,
    pub requests: Vec<Req>,
    pub vms: Vec<Vm>,
    pub configs: BTreeMap<u64, Arc<Config>>,
    pub head: u64,
    pub violations: Vec<String>,
    /// Fault to bring about at a step, for so many milliseconds.
    pub arm: Option<(Step, Fault, u64)>,
    /// Faults brought about at their step.
    pub brought: u32,
    /// Steps that were passed.
    pub steps: BTreeMap<Step, u32>,
    pub lose_answers: u32,
    outage: u64,
    slow: u64,
    no_objects: u64,
    rows: BTreeMap<String, Row>,
    versions: u64,
    events: BTreeMap<(u64, u64), Ev>,
    seq: u64,
    runs: BTreeMap<usize, u32>,
    buckets: BTreeMap<&'static str, (f64, u64)>,
    fences: BTreeMap<(Endpoint, u64), Node>,
    poison: bool,
}

/// Rates and bursts of the teams, in tokens.
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
    /// Nodes `node-0` and on, engines `f-0` (checks fences), `u-0` and `u-1` (do not), and
    /// services `s-0` and `s-1`; runs until all is served.
    pub fn new(seed: u64, nodes: usize) -> Self {
        let rng = SmallRng::seed_from_u64(seed);
        let engines = [("f-0", true), ("u-0", false), ("u-1", false)];
        let endpoints: Vec<Ep> = engines
            .iter()
            .map(|(name, fenced)| Ep::new(name, *fenced, true))
            .chain(["s-0", "s-1"].iter().map(|name| Ep::new(name, false, false)))
            .collect();
        let role = |e: &Ep| if e.is_engine { "engine" } else { "service" };
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
            arm: None,
            brought: 0,
            steps: BTreeMap::new(),
            lose_answers: 0,
            outage: 0,
            slow: 0,
            no_objects: 0,
            rows: BTreeMap::new(),
            versions: 0,
            events: BTreeMap::new(),
            seq: 0,
            runs: BTreeMap::new(),
            buckets: TEAMS.iter().map(|(t, _, burst)| (*t, (*burst as f64, 1_000))).collect(),
            fences: BTreeMap::new(),
            poison: false,
        };
        world.configure(false);
        for i in 0..nodes {
            world.vms.push(vm(&format!("node-{i}"), "node"));
            world.start(i);
        }
        world.run(12_000);
        world
    }

    /// Puts the next configuration and moves the head.
    pub fn configure(&mut self, withdrawn: bool) {
        let serial = self.head + 1;
        let checked = check::check("d.toml", &document(withdrawn));
        let document = checked.document.unwrap_or_else(|| panic!("{:?}", checked.findings));
        let config = Config::compile(document, serial, &format!("digest-{serial}"));
        self.configs.insert(serial, Arc::new(config));
        self.pass(Step::Put, 0, 0);
        self.head = serial;
        self.pass(Step::Head, 0, 0);
    }

    /// Starts an incarnation of the node.
    pub fn start(&mut self, i: usize) {
        let life = self.members.get(i).map_or(0, |m| m.life + 1);
        let vm = format!("node-{i}");
        let name = Node::new(&format!("{vm}.{life}"));
        let (core_seed, claim_seed) = (self.rng.random(), self.rng.random());
        let member = Member {
            core: Core::new(name.clone(), settings(&vm), core_seed),
            claims: Claims::new(name.clone(), ClaimSettings::default(), claim_seed),
            name,
            vm,
            life,
            alive: true,
            draining: false,
            frozen: 0,
            no_table: 0,
            no_peers: 0,
            watched: BTreeSet::new(),
            tickets: BTreeMap::new(),
            listed: 0,
            serial: 0,
        };
        match i < self.members.len() {
            true => self.members[i] = member,
            false => self.members.push(member),
        }
        self.node(i, 1 + i as u64 * 7, In::Tick);
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
        let at = (self.now + delay, self.next());
        self.events.insert(at, Ev::Arrive(spec));
    }

    /// Starts a graceful shutdown of the node after the delay.
    pub fn schedule_drain(&mut self, delay: u64, node: usize) {
        let at = (self.now + delay, self.next());
        self.events.insert(at, Ev::Drain(node));
    }

    fn next(&mut self) -> u64 {
        self.seq += 1;
        self.seq
    }

    fn node(&mut self, i: usize, delay: u64, input: In) {
        let at = (self.now + delay, self.next());
        self.events.insert(at, Ev::Node(i, self.members[i].life, input));
    }

    fn hop(&mut self) -> u64 {
        self.rng.random_range(1..8)
    }

    pub fn violated(&mut self, what: String) {
        self.violations.push(format!("{} ms: {what}", self.now));
    }

    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while let Some(entry) = self.events.first_entry().filter(|e| e.key().0 <= end) {
            let ((at, _), ev) = entry.remove_entry();
            self.now = self.now.max(at);
            match ev {
                Ev::Node(i, life, input) => self.input(i, life, input),
                Ev::Table(i, life, op) => self.serve_table(i, life, op),
                Ev::Endpoint(e, i, life, ask) => self.serve_endpoint(e, i, life, ask),
                Ev::Run(e, incarnation, attempt) => self.end_run(e, incarnation, attempt),
                Ev::Up(e, incarnation) => self.come_up(e, incarnation),
                Ev::Fault(fault, i, e, ms) => self.inject(fault, i, e, ms),
                Ev::Arrive(spec) => self.open(spec),
                Ev::Drain(i) => {
                    self.members[i].draining = true;
                    self.members[i].core.drain(Ms(self.now));
                    self.pass(Step::Draining, i, 0);
                }
            }
        }
        self.now = end;
    }

    /// Runs a decision of a core and performs its outputs.
    fn core<T>(&mut self, i: usize, f: impl FnOnce(&mut Core, Ms, &mut Vec<CoreOut>) -> T) -> T {
        let mut out = Vec::new();
        let core = &mut self.members[i].core;
        let result = f(core, Ms(self.now), &mut out);
        for fault in std::mem::take(&mut core.violations) {
            self.violated(format!("node-{i}: {fault}"));
        }
        for o in out {
            self.perform(i, o);
        }
        result
    }

    fn perform(&mut self, i: usize, out: CoreOut) {
        let delay = self.hop();
        match out {
            CoreOut::Send(to, body) => {
                if let Body::PermitReply(reply) = &body {
                    self.on_grant(i, reply);
                }
                let Some(j) = self.members.iter().position(|m| m.vm == to) else { return };
                let cut = self.members[i].no_peers.max(self.members[j].no_peers);
                if self.now >= cut && self.members[j].alive {
                    let from = self.members[i].name.clone();
                    self.node(j, delay, In::Msg(from, body));
                }
            }
            CoreOut::Authority(out) => self.authority(i, out),
            CoreOut::Load(order) => {
                let e = self.find(&order.endpoint);
                self.pass(Step::Ordered, i, e);
                self.node(i, 0, In::Order(order, OrderKind::Load));
            }
            CoreOut::Evict(order) => {
                let e = self.find(&order.endpoint);
                self.pass(Step::Evicting, i, e);
                self.node(i, 0, In::Order(order, OrderKind::Evict));
            }
            CoreOut::QueryState(endpoint) => {
                let e = self.find(&endpoint);
                self.ask(e, i, Ask::Query);
            }
            CoreOut::Reply(attempt, reply) => {
                self.on_grant(i, &reply);
                self.node(i, 0, In::Permit(attempt, reply));
            }
            CoreOut::FetchConfig(serial, _) => self.fetch(i, serial),
        }
    }

    fn fetch(&mut self, i: usize, serial: u64) {
        if self.now >= self.no_objects {
            // Reads may overtake each other.
            let delay = self.rng.random_range(1..900);
            self.pass(Step::Fetched, i, 0);
            self.node(i, delay, In::Config(serial));
        }
    }

    fn find(&self, name: &Endpoint) -> usize {
        self.endpoints.iter().position(|e| e.name == *name).expect("an endpoint of the world")
    }

    fn input(&mut self, i: usize, life: u32, input: In) {
        if !self.members[i].alive || self.members[i].life != life {
            return;
        }
        if self.now < self.members[i].frozen {
            let at = (self.members[i].frozen, self.next());
            self.events.insert(at, Ev::Node(i, life, input));
            return;
        }
        match input {
            In::Tick => self.tick(i),
            In::Msg(from, body) => self.message(i, &from, body),
            In::Commit(op, result) => self.core(i, |core, now, out| {
                core.authority.on_commit(now, op, result);
                core.flush_authority(now, out);
            }),
            In::Rows(op, result) => self.core(i, |core, now, out| {
                core.authority.on_rows(now, op, result);
                core.flush_authority(now, out);
            }),
            In::Probe(node, result) => self.core(i, |core, now, out| {
                core.authority.on_probe(now, &node, result);
                core.flush_authority(now, out);
            }),
            In::Claim(id, result) => {
                self.members[i].claims.on_commit(Ms(self.now), id, result);
            }
            In::ClaimRows(keys, rows) => {
                self.members[i].claims.on_rows(Ms(self.now), &keys, rows);
            }
            In::Status(key, status) => {
                self.members[i].claims.on_status(Ms(self.now), &key, status);
            }
            In::State(endpoint, state) => {
                let e = self.find(&endpoint);
                if let Ok(Some(state)) = &state {
                    self.endpoints[e].known = state.incarnation.parse().expect("a number");
                }
                self.core(i, |core, now, out| core.on_state(now, &endpoint, state, out));
            }
            In::Order(order, kind) => self.send_order(i, order, kind),
            In::Ordered(order, kind, end) => self.on_ordered(i, &order, kind, end),
            In::Head(serial) => {
                if serial > self.members[i].serial {
                    self.fetch(i, serial);
                }
            }
            In::Config(serial) => {
                let config = self.configs[&serial].clone();
                if self.core(i, |core, now, _| core.set_config(now, config)) {
                    if serial <= self.members[i].serial {
                        self.violated(format!("node-{i} adopted serial {serial} after a higher"));
                    }
                    self.members[i].serial = serial;
                    self.pass(Step::Adopted, i, 0);
                }
            }
            In::Step(r) => self.advance(r),
            In::Permit(attempt, reply) => self.on_permit(i, attempt, &reply),
            In::Answer(r, attempt, reply) => self.on_answer(r, attempt, reply),
        }
        self.pump(i);
    }

    fn tick(&mut self, i: usize) {
        if self.now >= self.members[i].listed {
            self.members[i].listed = self.now + 1_000;
            let vms = self.vms.clone();
            self.core(i, |core, now, out| core.set_vms(now, &vms, out));
            self.table(i, TableOp::Head);
        }
        self.core(i, |core, now, out| core.tick(now, out));
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
        self.leave(i);
        if self.members[i].alive {
            self.node(i, 40, In::Tick);
        }
    }

    /// Releases a draining node once its requests have ended.
    fn leave(&mut self, i: usize) {
        let busy = self.requests.iter().any(|r| r.node == i && r.end.is_none());
        if !self.members[i].draining || busy {
            return;
        }
        self.core(i, |core, now, out| core.release(now, out));
        if self.members[i].core.authority.released() {
            self.pass(Step::Released, i, 0);
            self.members[i].alive = false;
        }
    }

    fn message(&mut self, i: usize, from: &Node, body: Body) {
        let to = from.as_str().rsplit_once('.').unwrap().0.to_owned();
        match body {
            Body::Heartbeat(beat) => {
                self.core(i, |core, now, out| core.on_heartbeat(now, from, &beat, out));
            }
            Body::PermitRequest(req) => {
                self.core(i, |core, now, out| core.on_permit_request(now, from, &req, out));
            }
            Body::PermitReply(reply) => {
                let attempt = AttemptId(u128::from_be_bytes(
                    reply.attempt.as_slice().try_into().expect("16 bytes"),
                ));
                self.on_permit(i, attempt, &reply);
            }
            Body::PermitEnd(end) => {
                self.core(i, |core, now, out| core.on_permit_end(now, &end, out));
            }
            Body::PermitCancel(cancel) => {
                self.core(i, |core, now, _| core.on_permit_cancel(now, &cancel));
            }
            Body::PromiseRequest(ask) => {
                let p = self.core(i, |core, now, _| core.authority.on_promise_request(now, from));
                let reply = peer::Promise { sent: ask.sent, valid: p.valid.0, given: p.given };
                self.perform(i, CoreOut::Send(to, Body::Promise(reply)));
            }
            Body::Promise(p) => self.core(i, |core, now, _| {
                core.authority.on_promise(now, from, Ms(p.sent), Ms(p.valid), p.given);
            }),
            Body::LoanAsk(ask) => {
                let ask = wire::loan_ask_from(&ask);
                let loan = self.core(i, |core, now, _| core.quota.on_loan_request(now, from, &ask));
                if let Some(loan) = loan {
                    self.perform(i, CoreOut::Send(to, Body::Loan(wire::loan(&loan))));
                }
            }
            Body::Loan(loan) => {
                let loan = wire::loan_from(&loan);
                self.core(i, |core, now, _| core.quota.on_loan(now, from, &loan));
            }
            _ => {}
        }
    }

    /// Performs what the claim module of a node wants.
    fn pump(&mut self, i: usize) {
        let now = Ms(self.now);
        let events = self.members[i].claims.poll(now);
        while let Some(batch) = self.members[i].claims.next_batch(now) {
            self.table(i, TableOp::Claim(batch));
        }
        for event in events {
            match event {
                ClaimOutput::Read { keys } => self.table(i, TableOp::ClaimRows(keys)),
                ClaimOutput::Query { key, attempt, endpoint } => {
                    let e = self.find(&endpoint);
                    self.ask(e, i, Ask::Status(key, attempt));
                }
                ClaimOutput::Wait(_, node) => drop(self.members[i].watched.insert(node)),
                event => self.on_claim(i, event),
            }
        }
    }

    /// Nodes that serve, by their authority.
    pub fn serving(&self) -> Vec<usize> {
        let level = |m: &Member| m.core.authority.level(Ms(self.now));
        let serves = |m: &Member| m.alive && !m.draining && level(m) >= AuthorityLevel::Fenced;
        (0..self.members.len()).filter(|i| serves(&self.members[*i])).collect()
    }
}
