//! A fake table service and several nodes that use it, in simulated time.

use std::collections::{BTreeMap, BTreeSet};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use sycamorefork::authority::Authority;
use sycamorefork::error::Error;
use sycamorefork::ids::Node;
use sycamorefork::lease::{AuthorityLevel, LeaseSettings};
use sycamorefork::ownership::{AuthorityOut, CellView, OpId, OrderKind, PeerView, Resource};
use sycamorefork::promise::Promise;
use sycamorefork::storage::{Commit, Cond, Op, Row, Txn};
use sycamorefork::takeover::ProbeResult;
use sycamorefork::time::Ms;

/// A table with conditional transactions.
#[derive(Default)]
pub struct FakeTable {
    pub rows: BTreeMap<String, Row>,
    versions: u64,
}

impl FakeTable {
    pub fn commit(&mut self, txn: &Txn) -> Commit {
        for w in &txn.writes {
            let version = self.rows.get(&w.key).map(|r| r.version);
            let holds = match w.cond {
                Cond::Any => true,
                Cond::Absent => version.is_none(),
                Cond::Version(v) => version == Some(v),
            };
            if !holds {
                return Commit::Conflict(w.key.clone());
            }
        }
        let write = |w: &sycamorefork::storage::Write| {
            self.versions += 1;
            let (version, txn) = (self.versions, txn.id.clone());
            match w.op.clone() {
                Op::Put(value) => {
                    let row = Row { key: w.key.clone(), version, txn, value };
                    self.rows.insert(w.key.clone(), row);
                }
                Op::Delete => drop(self.rows.remove(&w.key)),
                Op::Check => return self.rows.get(&w.key).map_or(0, |r| r.version),
            }
            version
        };
        Commit::Done(txn.writes.iter().map(write).collect())
    }

    pub fn scan(&self, prefix: &str) -> Vec<Row> {
        self.rows.values().filter(|r| r.key.starts_with(prefix)).cloned().collect()
    }
}

enum Event {
    Request(AuthorityOut),
    /// The second part of a scan, which reads the table later than the first.
    SecondPage(OpId, String, Vec<Row>),
    Committed(OpId, Result<Commit, Error>),
    Read(OpId, Result<Vec<Row>, Error>),
    Heartbeat(usize, u64, AuthorityLevel),
    PromiseRequest(usize, Ms),
    Promise(usize, Ms, Promise),
    Probed(Node, ProbeResult),
}

pub struct Member {
    pub auth: Authority,
    pub name: Node,
    pub view: CellView,
    pub killed: bool,
    /// Whether its VM has failed too, so that connections are not refused but time out.
    pub host_down: bool,
    pub paused_until: u64,
    /// Whether the table service is unreachable.
    pub no_table: bool,
    /// Speed of its clock in thousandths of the simulated time.
    clock_rate: u64,
    clock_offset: u64,
    pub listed: bool,
    /// Loses the answer to the next claim; the claim is committed if the value is `true`.
    pub claim_fault: Option<bool>,
}

pub struct TestCell {
    pub now: u64,
    pub table: FakeTable,
    pub table_outage: bool,
    pub members: Vec<Member>,
    pub disconnected: BTreeSet<(usize, usize)>,
    pub resources: Vec<Resource>,
    /// Probability in percent that an answer of the table is lost or a request is delayed.
    pub loss_percent: u32,
    pub rng: SmallRng,
    events: BTreeMap<(u64, u64), (usize, Event)>,
    seq: u64,
    fences: BTreeMap<(Resource, u64), Node>,
}

pub fn endpoint(name: &str, checks_fence: bool) -> Resource {
    Resource::Endpoint { name: name.into(), checks_fence }
}

const SOLE_OWNER_ORDERS: [OrderKind; 3] =
    [OrderKind::Load, OrderKind::Evict, OrderKind::NonIdempotent];

impl TestCell {
    pub fn new(seed: u64, nodes: usize, resources: Vec<Resource>) -> Self {
        let mut cell = Self {
            now: 0,
            table: FakeTable::default(),
            table_outage: false,
            members: Vec::new(),
            disconnected: BTreeSet::new(),
            resources,
            loss_percent: 0,
            rng: SmallRng::seed_from_u64(seed),
            events: BTreeMap::new(),
            seq: 0,
            fences: BTreeMap::new(),
        };
        for _ in 0..nodes {
            cell.join(true);
        }
        cell
    }

    /// Starts a new incarnation.
    pub fn join(&mut self, listed: bool) -> usize {
        let i = self.members.len();
        let name = Node::new(&format!("n{i:03}"));
        let auth = Authority::new(name.clone(), LeaseSettings::default(), self.rng.random());
        let view = CellView { nodes: Vec::new(), resources: self.resources.clone() };
        self.members.push(Member {
            auth,
            name,
            view,
            killed: false,
            host_down: false,
            paused_until: 0,
            no_table: false,
            clock_rate: self.rng.random_range(995..=1005),
            clock_offset: self.rng.random_range(0..100_000),
            listed,
            claim_fault: None,
        });
        i
    }

    pub fn clock(&self, i: usize) -> Ms {
        let m = &self.members[i];
        Ms(m.clock_offset + self.now * m.clock_rate / 1000)
    }

    pub fn disconnect(&mut self, a: usize, b: usize) {
        self.disconnected.extend([(a, b), (b, a)]);
    }

    /// Whether the node may send an order that only a sole owner may send.
    pub fn may_order(&self, i: usize, resource: &Resource) -> bool {
        let m = &self.members[i];
        let check = |o: &OrderKind| m.auth.check_order(self.clock(i), resource, *o).is_ok();
        !m.killed && self.now >= m.paused_until && SOLE_OWNER_ORDERS.iter().any(check)
    }

    /// Nodes that may send such orders to the resource.
    pub fn owners(&self, resource: &Resource) -> Vec<usize> {
        (0..self.members.len()).filter(|i| self.may_order(*i, resource)).collect()
    }

    pub fn owner(&self, resource: &Resource) -> Option<usize> {
        self.owners(resource).first().copied()
    }

    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until the condition holds and returns the simulated time in milliseconds.
    pub fn run_until(&mut self, limit: u64, done: impl Fn(&Self) -> bool) -> u64 {
        let start = self.now;
        while !done(self) {
            assert!(self.now - start < limit, "condition not met within {limit} ms");
            self.step();
        }
        self.now - start
    }

    /// Advances by 10 ms and asserts the invariants.
    pub fn step(&mut self) {
        self.now += 10;
        (0..self.members.len()).for_each(|i| self.assert_single_owner(i));
        if self.now.is_multiple_of(500) {
            self.send_heartbeats();
        }
        while let Some(entry) = self.events.first_entry() {
            let (at, _) = *entry.key();
            if at > self.now {
                break;
            }
            let (i, event) = entry.remove();
            self.handle(i, event);
            self.assert_single_owner(i);
        }
        for i in 0..self.members.len() {
            if (self.now / 10 + i as u64).is_multiple_of(5) {
                self.tick(i);
                self.assert_single_owner(i);
            }
        }
    }

    /// Asserts, for each resource without fence checks to which node `i` may send orders, that
    /// no other node may. Called after each input and resumption of a node, because nothing
    /// else gives it authority.
    fn assert_single_owner(&self, i: usize) {
        for r in self.resources.iter().filter(|r| !r.checks_fence() && self.may_order(i, r)) {
            let owners = self.owners(r);
            assert!(owners.len() < 2, "{r:?} has owners {owners:?} at {}", self.now);
        }
    }

    fn tick(&mut self, i: usize) {
        let now = self.clock(i);
        let mut out = Vec::new();
        let m = &mut self.members[i];
        if m.killed || self.now < m.paused_until {
            return;
        }
        m.auth.tick(now, &m.view, &mut out);
        for o in out {
            if let AuthorityOut::Gained { resource, fence, .. } = &o {
                let name = self.members[i].name.clone();
                let first = self.fences.entry((resource.clone(), *fence)).or_insert(name.clone());
                assert_eq!(*first, name, "fence {fence} of {resource:?} has two owners");
            }
            self.perform(i, o);
        }
    }

    fn perform(&mut self, i: usize, out: AuthorityOut) {
        let delay = self.rng.random_range(1..10);
        match out {
            AuthorityOut::Commit { .. } | AuthorityOut::Scan { .. } | AuthorityOut::Get { .. } => {
                let late = self.rng.random_range(0..100) < self.loss_percent;
                let extra = if late { self.rng.random_range(0..5000) } else { 0 };
                self.send(i, delay + extra, Event::Request(out));
            }
            AuthorityOut::AskPromise { to } => {
                let at = self.clock(i);
                self.send_peer(i, &to, Event::PromiseRequest(i, at));
            }
            AuthorityOut::Probe { node } => {
                let j = self.member_index(&node);
                let cut =
                    self.disconnected.contains(&(i, j)) || self.now < self.members[j].paused_until;
                let m = &self.members[j];
                let (wait, result) = match (m.killed, m.host_down || cut) {
                    (_, true) => (500, ProbeResult::Silent),
                    (true, false) => (delay, ProbeResult::Refused),
                    _ => (delay, ProbeResult::Reached { level: m.auth.level(self.clock(j)) }),
                };
                self.send(i, wait, Event::Probed(node, result));
            }
            AuthorityOut::Gained { .. } | AuthorityOut::Lost { .. } => {}
        }
    }

    fn member_index(&self, name: &Node) -> usize {
        self.members.iter().position(|m| m.name == *name).expect("known member")
    }

    fn send(&mut self, to: usize, delay: u64, event: Event) {
        self.seq += 1;
        self.events.insert((self.now + delay, self.seq), (to, event));
    }

    fn send_peer(&mut self, from: usize, to: &Node, event: Event) {
        let to = self.member_index(to);
        let delay = self.rng.random_range(1..10);
        if !self.disconnected.contains(&(from, to)) {
            self.send(to, delay, event);
        }
    }

    fn handle(&mut self, i: usize, event: Event) {
        if let Event::Request(out) = event {
            return self.serve_table(i, out);
        }
        if let Event::SecondPage(op, prefix, mut rows) = event {
            let last = rows.last().map(|r| r.key.clone()).unwrap_or_default();
            rows.extend(self.table.scan(&prefix).into_iter().filter(|r| r.key > last));
            return self.send(i, 1, Event::Read(op, Ok(rows)));
        }
        if self.members[i].killed {
            return;
        }
        if self.now < self.members[i].paused_until {
            let wait = self.members[i].paused_until - self.now;
            return self.send(i, wait, event);
        }
        let now = self.clock(i);
        let auth = &mut self.members[i].auth;
        match event {
            Event::Request(_) | Event::SecondPage(..) => {}
            Event::Committed(op, result) => auth.on_commit(now, op, result),
            Event::Read(op, result) => auth.on_rows(now, op, result),
            Event::Promise(from, sent, p) => {
                let from = self.members[from].name.clone();
                self.members[i].auth.on_promise(now, &from, sent, p.valid, p.given);
            }
            Event::PromiseRequest(from, sent) => {
                let name = self.members[from].name.clone();
                let promise = self.members[i].auth.on_promise_request(now, &name);
                self.send_peer(i, &name, Event::Promise(i, sent, promise));
            }
            Event::Probed(node, result) => auth.on_probe(now, &node, result),
            Event::Heartbeat(from, counter, level) => {
                let node = self.members[from].name.clone();
                let listed = self.members[from].listed;
                let peer = self.peer_view(i, node);
                (peer.heartbeat, peer.counter, peer.level) = (Some(now), counter, level);
                peer.listed = listed;
            }
        }
        self.tick(i);
    }

    fn serve_table(&mut self, i: usize, out: AuthorityOut) {
        let down = self.table_outage || self.members[i].no_table;
        let error = || Error::io("table", "no answer");
        let lost = self.rng.random_range(0..100) < self.loss_percent;
        let event = match out {
            AuthorityOut::Commit { op, txn } => {
                let claim = txn.writes.iter().any(|w| !w.key.contains("/node/"));
                let fault = if claim { self.members[i].claim_fault.take() } else { None };
                let result = (!down && fault != Some(false)).then(|| self.table.commit(&txn));
                Event::Committed(op, result.filter(|_| !lost && fault.is_none()).ok_or_else(error))
            }
            AuthorityOut::Scan { op, prefix } if !down && !lost => {
                let mut rows = self.table.scan(&prefix);
                rows.truncate(self.rng.random_range(0..=rows.len()));
                let late = if self.loss_percent > 0 { self.rng.random_range(0..1500) } else { 5 };
                return self.send(i, late, Event::SecondPage(op, prefix, rows));
            }
            AuthorityOut::Scan { op, prefix: key } | AuthorityOut::Get { op, key } => {
                let rows = self.table.scan(&key);
                Event::Read(op, if down || lost { Err(error()) } else { Ok(rows) })
            }
            _ => return,
        };
        let delay = self.rng.random_range(1..10) + if lost { 1500 } else { 0 };
        self.send(i, delay, event);
    }

    fn peer_view(&mut self, i: usize, node: Node) -> &mut PeerView {
        let nodes = &mut self.members[i].view.nodes;
        let at = nodes.iter().position(|p| p.node == node).unwrap_or(nodes.len());
        if at == nodes.len() {
            let (leaving, heartbeat, counter, level) = (false, None, 0, AuthorityLevel::None);
            nodes.push(PeerView { node, listed: true, leaving, heartbeat, counter, level });
        }
        &mut nodes[at]
    }

    /// Sends heartbeats and updates the VM list in the view of each node.
    fn send_heartbeats(&mut self) {
        for i in 0..self.members.len() {
            for j in (0..self.members.len()).filter(|j| *j != i) {
                let (node, listed) = (self.members[j].name.clone(), self.members[j].listed);
                let known = self.members[i].view.nodes.iter().any(|p| p.node == node);
                if known || listed {
                    self.peer_view(i, node).listed = listed;
                }
            }
            let m = &self.members[i];
            if m.killed || self.now < m.paused_until {
                continue;
            }
            let (counter, level) = (m.auth.counter(), m.auth.level(self.clock(i)));
            let names: Vec<_> = self.members.iter().map(|m| m.name.clone()).collect();
            for (j, to) in names.iter().enumerate().filter(|(j, _)| *j != i) {
                if !self.members[j].killed {
                    self.send_peer(i, to, Event::Heartbeat(i, counter, level));
                }
            }
        }
    }
}
