//! Lease, promises and ownership of one node, joined for the shell.
//!
//! The shell calls [`Authority::tick`] every 50 ms or so and after each input,
//! performs the outputs, and calls [`Authority::check_order`] immediately before
//! an order leaves.
//!
//! Table traffic per node: one renewal every TTL/3 and one scan of the cell's rows
//! every 2 s (every 500 ms while a holder is suspect). That is 5 renewals/s and
//! 2.5 scans/s for 5 nodes, 1,200 renewals/s and 600 scans/s for 1,200 nodes in
//! cells of 16; a scan never leaves the cell's prefix.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::error::Result;
use crate::ids::Node;
use crate::lease::{AuthorityLevel, Lease, LeaseSettings, NodeRow, NodeState};
use crate::ownership::{
    AuthorityOut, Denied, OpId, OrderKind, Owners, Resource, ResourceRow, View,
};
use crate::promise::{Promise, Promises};
use crate::storage::{Commit, Cond, Op, Row, Txn, Write};
use crate::takeover::{Known, ProbeResult, Probed};
use crate::time::Ms;

/// Time between two passes over all resources without news. A pass costs about
/// 0.25 ms with 214 resources and 16 nodes.
const ASSIGN_GAP: Ms = Ms(100);

/// An operation whose answer is outstanding.
#[derive(Clone, Debug)]
pub(crate) enum Pending {
    Renew(NodeRow),
    Own,
    Scan,
    Assign { id: String, writes: Vec<(Resource, String, ResourceRow)> },
    Evict(Node, NodeRow),
    Sweep(Node),
    Leave,
}

/// Authority of one node: lease, promises and owned resources.
#[derive(Clone, Debug)]
pub struct Authority {
    pub(crate) lease: Lease,
    pub(crate) promises: Promises,
    pub(crate) owners: Owners,
    pub(crate) nodes: BTreeMap<Node, Known>,
    pub(crate) probed: BTreeMap<Node, Probed>,
    pub(crate) out: Vec<AuthorityOut>,
    pub(crate) ops: BTreeMap<OpId, (Ms, Pending)>,
    /// Keys of writes without an answer.
    pub(crate) busy: BTreeSet<String>,
    /// Keys that a scan with at least this number must read before the next write.
    pub(crate) blocked: BTreeMap<String, OpId>,
    /// Keys whose rows the last scan could not decode.
    pub(crate) unreadable: BTreeSet<String>,
    /// When an eviction first became possible.
    pub(crate) ripe: BTreeMap<Node, Ms>,
    pub(crate) draining: bool,
    left: bool,
    leaving: bool,
    /// Whether the own row must be read before the next renewal.
    pub(crate) unsure: bool,
    /// Whether a scan was answered in the present run of the lease.
    pub(crate) scanned: bool,
    /// When to scan next, whatever happens.
    pub(crate) scan_next: Ms,
    /// When to look for claims, releases and evictions next.
    assign_next: Ms,
    /// When this node last gave up a seat or saw a seat's row change.
    pub(crate) seats_moved: Option<Ms>,
    /// Start of the last scan.
    pub(crate) scan_last: Option<Ms>,
    /// Answer to the last scan.
    pub(crate) seen_last: Option<Ms>,
    nonce: u64,
    /// Number of the present run of the lease.
    run: u64,
    last_op: u64,
}

impl Authority {
    /// Authority of a node that owns nothing yet; `seed` must differ between
    /// processes, because it makes their transaction identifiers unique.
    pub fn new(node: Node, settings: LeaseSettings, seed: u64) -> Self {
        Self {
            lease: Lease::new(node, settings, Ms(0)),
            promises: Promises::default(),
            owners: Owners::default(),
            nodes: BTreeMap::new(),
            probed: BTreeMap::new(),
            out: Vec::new(),
            ops: BTreeMap::new(),
            busy: BTreeSet::new(),
            blocked: BTreeMap::new(),
            unreadable: BTreeSet::new(),
            ripe: BTreeMap::new(),
            draining: false,
            left: false,
            leaving: false,
            unsure: true,
            scanned: false,
            scan_next: Ms(0),
            assign_next: Ms(0),
            seats_moved: None,
            scan_last: None,
            seen_last: None,
            nonce: SmallRng::seed_from_u64(seed).random(),
            run: 0,
            last_op: 0,
        }
    }

    /// The node's authority.
    pub fn level(&self, now: Ms) -> AuthorityLevel {
        self.lease.level(now)
    }

    /// Whether the node may admit requests.
    pub fn admits(&self, now: Ms) -> bool {
        self.level(now) > AuthorityLevel::None
    }

    /// Committed renewals, for the heartbeat.
    pub fn counter(&self) -> u64 {
        self.lease.counter()
    }

    /// Allows an order to a resource and gives its fence. Must be called
    /// immediately before the order leaves, after the last await.
    ///
    /// # Errors
    /// Says why the order must be discarded.
    pub fn check_order(
        &self,
        now: Ms,
        resource: &Resource,
        order: OrderKind,
    ) -> std::result::Result<u64, Denied> {
        self.owners.check(now, self.level(now), resource, order)
    }

    /// The owner of a resource in the last scan, for routing.
    pub fn owner_of(&self, resource: &Resource) -> Option<&Node> {
        self.owners.slots.get(&resource.key(self.settings()))?.row.owner.as_ref()
    }

    /// The owned resources with their fences, in order. What the node may do with
    /// them depends on its level.
    pub fn owned(&self) -> impl Iterator<Item = (&Resource, u64)> {
        self.owners.held.iter().map(|(r, h)| (r, h.fence))
    }

    /// Whether a scan that began after the instant was answered.
    pub(crate) fn scanned_since(&self, at: Ms) -> bool {
        self.seen_last.is_some_and(|seen| seen >= at + self.settings().timeout)
    }

    /// Whether seats are without a working holder because a node has ended: it has
    /// not been evicted yet, or was less than `quiet` and the time to claim ago.
    pub(crate) fn seats_move(&self, now: Ms, quiet: Ms) -> bool {
        let settings = self.settings();
        let quiet = quiet + settings.settle + settings.scan + settings.rank;
        let others = self.nodes.iter().filter(|(n, _)| *n != self.lease.node());
        let ended = others.map(|(_, k)| match k.row.state {
            NodeState::Gone => now.since(k.since) < quiet,
            _ => k.expired(now, settings),
        });
        let seat = |r: &Resource| matches!(r, Resource::Seat { .. });
        let free = self.owners.free.keys().any(seat);
        let moved = self.seats_moved.is_some_and(|at| now.since(at) < quiet);
        free || moved || ended.into_iter().any(|moves| moves)
    }

    /// Whether a graceful shutdown has released everything, lease included.
    pub fn released(&self) -> bool {
        self.left
    }

    /// Whether a node is known to have no authority: its row is gone or says so.
    pub fn is_gone(&self, node: &Node, since: Ms) -> bool {
        node != self.lease.node()
            && match self.nodes.get(node) {
                Some(known) => known.row.state == NodeState::Gone,
                // A node that has just started is in no scan yet.
                None => self.scanned && self.scanned_since(since),
            }
    }

    /// Requests a scan at the next tick, for news from a heartbeat.
    pub fn scan_soon(&mut self, now: Ms) {
        self.scan_next = self.scan_next.min(now);
    }

    /// Drops a resource whose endpoint refused the fence as too old.
    pub fn on_fence_refused(&mut self, now: Ms, resource: &Resource, fence: u64) {
        if self.owners.held.get(resource).is_some_and(|h| h.fence <= fence) {
            self.lose(resource);
            self.scan_soon(now);
        }
    }

    /// Starts a graceful shutdown: gives up all resources, then the lease.
    pub fn release_all(&mut self, now: Ms) {
        self.draining = true;
        self.release_own();
        self.scan_soon(now);
    }

    /// Advances to `now` and appends everything that the shell must perform.
    pub fn tick(&mut self, now: Ms, view: &View, out: &mut Vec<AuthorityOut>) {
        self.expire_ops(now);
        self.observe(now, view);
        if !self.left {
            self.renew(now, view);
            self.ask_promises(now, view);
            if now >= self.assign_next {
                self.assign_next = now + ASSIGN_GAP;
                self.assign(now, view);
            }
            self.scan(now, view);
        }
        out.append(&mut self.out);
    }

    /// Appends outputs of inputs since the last tick.
    pub fn drain(&mut self, out: &mut Vec<AuthorityOut>) {
        out.append(&mut self.out);
    }

    /// Answer to [`AuthorityOut::Commit`]; an error means that the outcome is unknown.
    pub fn on_commit(&mut self, now: Ms, op: OpId, result: Result<Commit>) {
        let Some((sent, pending)) = self.ops.remove(&op) else { return };
        self.assign_next = now;
        if result.is_ok() {
            // Counted from the request, because a paused process reads answers late.
            self.lease.hear(sent);
        }
        match pending {
            Pending::Renew(row) => self.on_renewal(now, &row, result),
            Pending::Assign { id, writes } => self.on_assigned(now, id, writes, result),
            Pending::Evict(node, row) => self.on_evicted(now, &node, row, result),
            Pending::Sweep(node) => {
                let key = self.settings().node_key(&node);
                self.busy.remove(&key);
                match result {
                    Ok(Commit::Done(_)) => drop(self.nodes.remove(&node)),
                    _ => self.block(now, key),
                }
            }
            Pending::Leave => match result {
                Ok(Commit::Done(_)) => self.left = true,
                _ => self.unsure = true,
            },
            Pending::Own | Pending::Scan => {}
        }
    }

    /// Answer to [`AuthorityOut::Scan`] or [`AuthorityOut::Get`].
    pub fn on_rows(&mut self, now: Ms, op: OpId, result: Result<Vec<Row>>) {
        let Some((sent, pending)) = self.ops.remove(&op) else { return };
        self.assign_next = now;
        let Ok(rows) = result else {
            match pending {
                Pending::Own => self.lease.fail(),
                _ => self.scan_next = now + self.settings().renewal(),
            }
            return;
        };
        self.lease.hear(sent);
        match pending {
            Pending::Own => self.on_own_row(now, rows.into_iter().next()),
            Pending::Scan => self.on_scan(now, op, &rows),
            _ => {}
        }
    }

    /// Answers a peer's request: a promise is given only while this node cannot
    /// commit either.
    pub fn on_promise_request(&mut self, now: Ms, from: &Node) -> Promise {
        self.lease.hear(now);
        if self.lease.cut_off(now) {
            self.promises.give(now, from, self.lease.settings())
        } else {
            Promise { valid: Ms(0), given: false }
        }
    }

    /// Answer to [`AuthorityOut::AskPromise`]; `sent` is the request's sending time.
    pub fn on_promise(&mut self, now: Ms, from: &Node, sent: Ms, valid: Ms, given: bool) {
        self.lease.hear(sent.min(now));
        if given && sent <= now {
            self.promises.receive(from, sent, valid, self.lease.settings());
        }
    }

    /// Answer to [`AuthorityOut::Probe`].
    pub fn on_probe(&mut self, now: Ms, node: &Node, result: ProbeResult) {
        let Some(probed) = self.probed.get_mut(node) else { return };
        let Some(sent) = probed.sent.take() else { return };
        self.assign_next = now;
        match result {
            ProbeResult::Refused => probed.refused = true,
            ProbeResult::Silent => {}
            ProbeResult::Reached { level } => {
                probed.report = Some((sent, level));
                self.lease.hear(sent.min(now));
            }
        }
    }

    pub(crate) fn settings(&self) -> &LeaseSettings {
        self.lease.settings()
    }

    pub(crate) fn next_op(&mut self) -> OpId {
        self.last_op += 1;
        OpId(self.last_op)
    }

    /// Identifier of a transaction; it tells node, process and run of the lease.
    fn txn_id(&self, op: OpId) -> String {
        format!("{}{}", self.run_prefix(), op.0)
    }

    fn run_prefix(&self) -> String {
        format!("{}/{:016x}/{}/", self.lease.node(), self.nonce, self.run)
    }

    /// Whether a transaction belongs to the present run of this node's lease.
    pub(crate) fn is_mine(&self, txn: &str) -> bool {
        txn.starts_with(&self.run_prefix())
    }

    pub(crate) fn commit(
        &mut self,
        now: Ms,
        writes: Vec<Write>,
        pending: impl FnOnce(&str) -> Pending,
    ) {
        let op = self.next_op();
        let id = self.txn_id(op);
        self.busy.extend(writes.iter().filter(|w| w.op != Op::Check).map(|w| w.key.clone()));
        self.ops.insert(op, (now, pending(&id)));
        self.out.push(AuthorityOut::Commit { op, txn: Txn { id, writes } });
    }

    /// Forbids writes to a key until a scan that starts later has read it.
    pub(crate) fn block(&mut self, now: Ms, key: String) {
        self.blocked.insert(key, OpId(self.last_op + 1));
        self.scan_soon(now);
    }

    pub(crate) fn lose(&mut self, resource: &Resource) {
        let key = resource.key(self.settings());
        if self.owners.drop_held(resource, &key) {
            self.out.push(AuthorityOut::Lost { resource: resource.clone() });
        }
    }

    /// Treats operations without answer as failed.
    fn expire_ops(&mut self, now: Ms) {
        let timeout = self.settings().timeout;
        let late: Vec<_> =
            self.ops.iter().filter(|(_, (at, _))| now.since(*at) >= timeout).collect();
        let late: Vec<_> = late.into_iter().map(|(op, (_, p))| (*op, p.clone())).collect();
        for (op, pending) in late {
            let error = crate::error::Error::io("table", "no answer in time");
            match pending {
                Pending::Own | Pending::Scan => self.on_rows(now, op, Err(error)),
                _ => self.on_commit(now, op, Err(error)),
            }
        }
    }

    /// Takes in the view: who was heard, who is listed, whom to probe.
    fn observe(&mut self, now: Ms, view: &View) {
        let settings = self.lease.settings().clone();
        let me = self.lease.node().clone();
        for peer in view.nodes.iter().filter(|p| p.node != me) {
            if let Some(at) = peer.heartbeat {
                self.lease.hear(at);
            }
            let probed = self.probed.entry(peer.node.clone()).or_default();
            probed.listed |= peer.listed;
        }
        let pledged = &self.lease.pledged;
        let nodes = &self.nodes;
        self.probed.retain(|node, probed| {
            let peer = view.nodes.iter().find(|p| p.node == *node);
            probed.unlisted = probed.listed && !peer.is_some_and(|p| p.listed);
            peer.is_some() || nodes.contains_key(node) || pledged.contains(node)
        });
        let known = nodes.keys().filter(|n| **n != me).cloned().collect::<Vec<_>>();
        for node in known {
            self.probed.entry(node).or_default();
        }
        for (node, probed) in &mut self.probed {
            let peer = view.nodes.iter().find(|p| p.node == *node);
            let beat = peer.and_then(|p| p.heartbeat);
            match peer.is_some_and(|p| p.listed) {
                true => probed.absent = None,
                false => drop(probed.absent.get_or_insert(now)),
            }
            let silent = beat.is_none_or(|at| now.since(at) >= settings.suspect);
            let known = self.nodes.get(node);
            let expired = known.is_some_and(|k| k.expired(now, &settings));
            let gone = known.is_some_and(|k| k.row.state == NodeState::Gone);
            let presumed = known.is_some_and(|k| k.row.presumed);
            if (gone && !presumed) || probed.ended() || now < probed.next || !(silent || expired) {
                continue;
            }
            // A node without a row owns nothing; it matters only for promises.
            let period = if known.is_some() { Ms::secs(1) } else { Ms::secs(5) };
            probed.next = now + period;
            probed.sent.get_or_insert(now);
            self.out.push(AuthorityOut::Probe { node: node.clone() });
        }
    }

    /// Nodes whose promises an extension of the lease needs from now on.
    fn peers(&self, now: Ms, view: &View) -> BTreeSet<Node> {
        let gone = |n: &Node| self.nodes.get(n).is_some_and(|k| k.row.state == NodeState::Gone);
        let listed = view.nodes.iter().filter(|p| p.listed).map(|p| &p.node);
        let live = self.nodes.iter().filter(|(_, k)| k.live(now, self.settings())).map(|n| n.0);
        let all = listed.chain(live).filter(|n| *n != self.lease.node());
        all.filter(|n| !gone(n) && !self.ended(n)).cloned().collect()
    }

    fn ended(&self, node: &Node) -> bool {
        self.probed.get(node).is_some_and(Probed::ended)
    }

    /// Sends the next renewal, or reads the own row first where it is in doubt.
    fn renew(&mut self, now: Ms, view: &View) {
        let own = |p: &Pending| matches!(p, Pending::Renew(_) | Pending::Own | Pending::Leave);
        if now < self.lease.next || self.ops.values().any(|(_, p)| own(p)) {
            return;
        }
        self.lease.next = now + self.settings().renewal();
        let key = self.settings().node_key(self.lease.node());
        if self.unsure {
            let op = self.next_op();
            self.ops.insert(op, (now, Pending::Own));
            self.out.push(AuthorityOut::Get { op, key });
            return;
        }
        let cond = self.lease.version.map_or(Cond::Absent, Cond::Version);
        let peers = self.peers(now, view);
        let state = match (self.leaving, self.draining) {
            (true, _) => NodeState::Gone,
            (_, true) => NodeState::Draining,
            _ => NodeState::Live,
        };
        let row =
            NodeRow { counter: self.lease.counter + 1, sent: now, state, peers, presumed: false };
        let write = Write::put(key.clone(), cond, json(&row));
        if self.leaving {
            self.commit(now, vec![write], |_| Pending::Leave);
        } else {
            self.lease.pledged.extend(row.peers.iter().cloned());
            self.lease.sent = Some(now);
            self.commit(now, vec![write], |_| Pending::Renew(row));
        }
        self.busy.remove(&key);
    }

    fn on_renewal(&mut self, now: Ms, row: &NodeRow, result: Result<Commit>) {
        match result {
            Ok(Commit::Done(versions)) => {
                self.lease.confirm(now, versions.first().copied().unwrap_or_default(), row);
            }
            Ok(Commit::Conflict(_)) => {
                self.lease.sent = None;
                self.unsure = true;
                self.lease.next = now;
            }
            Err(_) => {
                self.lease.fail();
                self.unsure = true;
            }
        }
    }

    /// Settles what became of the own row.
    fn on_own_row(&mut self, now: Ms, row: Option<Row>) {
        self.unsure = false;
        self.lease.next = now;
        let value = row.as_ref().and_then(|r| serde_json::from_slice::<NodeRow>(&r.value).ok());
        match (row, value) {
            (Some(row), Some(value)) if self.leaving => {
                self.left = value.state == NodeState::Gone;
                self.lease.version = Some(row.version);
            }
            (None, _) if self.leaving => self.left = true,
            (Some(row), Some(value))
                if value.state != NodeState::Gone && self.is_mine(&row.txn) =>
            {
                self.lease.confirm(now, row.version, &value);
            }
            (Some(row), _) => self.reset(now, Some(row.version)),
            (None, _) if self.lease.version.is_some() => self.reset(now, None),
            (None, _) => {}
        }
    }

    /// Drops lease and resources after an eviction, and starts from nothing.
    fn reset(&mut self, now: Ms, version: Option<u64>) {
        let held: Vec<_> = self.owners.held.keys().cloned().collect();
        held.iter().for_each(|r| self.lose(r));
        self.lease.reset(version);
        self.run += 1;
        self.ops.clear();
        self.busy.clear();
        self.blocked.clear();
        self.scanned = false;
        self.scan_next = now;
    }

    /// Gives up the lease after everything else has been released.
    pub(crate) fn leave(&mut self, now: Ms) {
        if !self.leaving {
            self.leaving = true;
            self.lease.reset(self.lease.version);
            self.lease.next = now;
        }
    }

    /// Asks for promises while commits fail and an extension is still possible.
    fn ask_promises(&mut self, now: Ms, view: &View) {
        let level = self.lease.level(now);
        if level < AuthorityLevel::Seated || self.leaving || !self.lease.cut_off(now) {
            return;
        }
        let mut required = self.peers(now, view);
        let pledged = self.lease.pledged.iter().filter(|n| !self.ended(n));
        required.extend(pledged.cloned());
        let end = self.promises.end(&required);
        if let Some(end) = end {
            self.lease.extend(now, end);
        }
        if now < self.promises.next {
            return;
        }
        let settings = self.lease.settings();
        let covered = end.is_some_and(|end| now + Ms(settings.promise.0 / 2) < end);
        self.promises.next = now + if covered { Ms(500) } else { Ms(250) };
        self.out.extend(required.into_iter().map(|to| AuthorityOut::AskPromise { to }));
    }
}

/// JSON of a row's value.
pub(crate) fn json<T: serde::Serialize>(value: &T) -> Bytes {
    serde_json::to_vec(value).map(Bytes::from).unwrap_or_default()
}
