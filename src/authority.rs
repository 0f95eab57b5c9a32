//! Authority of one node, combined from its lease, the promises of its peers and the resources
//! that it owns.
//!
//! The module performs no I/O. The shell calls [`Authority::tick`] about every 50 ms and after
//! each input, performs the outputs, and calls [`Authority::check_order`] immediately before
//! it sends an order.
//!
//! Each node renews its lease every TTL/3 and scans the rows of its cell every 2 s, or every
//! 500 ms while a holder is suspect. For 5 nodes that is 5 renewals/s and 2.5 scans/s; for
//! 1,200 nodes in cells of 16 it is 1,200 renewals/s and 600 scans/s. A scan reads only keys
//! with the cell's prefix.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::error::Result;
use crate::ids::Node;
use crate::lease::{AuthorityLevel, Lease, LeaseSettings, NodeRow, NodeState};
use crate::ownership::{
    AuthorityOut, CellView, OpId, OrderDenied, OrderKind, Ownership, Resource, ResourceRow,
};
use crate::promise::{Promise, Promises};
use crate::storage::{Commit, Cond, Op, Row, Txn, Write};
use crate::takeover::{KnownNode, ProbeResult, ProbeState};
use crate::time::Ms;

/// Interval between passes over all resources while no input arrives. A pass takes about 0.25
/// ms with 214 resources and 16 nodes.
const ASSIGN_INTERVAL: Ms = Ms(100);

/// An operation that has not been answered.
#[derive(Clone, Debug)]
pub(crate) enum PendingOp {
    Renew(NodeRow),
    ReadOwnRow,
    Scan,
    Assign { id: String, writes: Vec<(Resource, String, ResourceRow)> },
    Evict(Node, NodeRow),
    DeleteRow(Node),
    ReleaseLease,
}

/// Authority of one node over its resources.
#[derive(Clone, Debug)]
pub struct Authority {
    pub(crate) lease: Lease,
    pub(crate) promises: Promises,
    pub(crate) ownership: Ownership,
    pub(crate) known_nodes: BTreeMap<Node, KnownNode>,
    pub(crate) probes: BTreeMap<Node, ProbeState>,
    pub(crate) outputs: Vec<AuthorityOut>,
    pub(crate) pending_ops: BTreeMap<OpId, (Ms, PendingOp)>,
    /// Keys with an unanswered write.
    pub(crate) pending_keys: BTreeSet<String>,
    /// Keys that must not be written until a scan with at least this number has read them.
    pub(crate) blocked_keys: BTreeMap<String, OpId>,
    /// Keys whose rows could not be decoded in the last scan.
    pub(crate) unreadable_keys: BTreeSet<String>,
    /// When each node was first found evictable.
    pub(crate) evictable_since: BTreeMap<Node, Ms>,
    pub(crate) draining: bool,
    lease_released: bool,
    releasing_lease: bool,
    /// Whether the node must read its own row before the next renewal.
    pub(crate) recheck_row: bool,
    /// Whether a scan has been answered since the lease was last reset.
    pub(crate) scanned: bool,
    /// When the next regular scan is due.
    pub(crate) next_scan: Ms,
    /// When to check for claims, releases and evictions next.
    next_assign: Ms,
    /// When this node last released a seat or read a changed row of a seat.
    pub(crate) seats_changed: Option<Ms>,
    /// When the last scan was sent.
    pub(crate) last_scan: Option<Ms>,
    /// When the last scan was answered.
    pub(crate) scan_answered: Option<Ms>,
    nonce: u64,
    /// Number of lease resets; part of each transaction identifier.
    lease_run: u64,
    last_op: u64,
}

impl Authority {
    /// Creates the authority of a node that owns nothing. `seed` must differ between
    /// processes, because it makes their transaction identifiers unique.
    pub fn new(node: Node, settings: LeaseSettings, seed: u64) -> Self {
        Self {
            lease: Lease::new(node, settings, Ms(0)),
            promises: Promises::default(),
            ownership: Ownership::default(),
            known_nodes: BTreeMap::new(),
            probes: BTreeMap::new(),
            outputs: Vec::new(),
            pending_ops: BTreeMap::new(),
            pending_keys: BTreeSet::new(),
            blocked_keys: BTreeMap::new(),
            unreadable_keys: BTreeSet::new(),
            evictable_since: BTreeMap::new(),
            draining: false,
            lease_released: false,
            releasing_lease: false,
            recheck_row: true,
            scanned: false,
            next_scan: Ms(0),
            next_assign: Ms(0),
            seats_changed: None,
            last_scan: None,
            scan_answered: None,
            nonce: SmallRng::seed_from_u64(seed).random(),
            lease_run: 0,
            last_op: 0,
        }
    }

    /// The level of the node's authority.
    pub fn level(&self, now: Ms) -> AuthorityLevel {
        self.lease.level(now)
    }

    /// Whether the node may admit requests.
    pub fn admits(&self, now: Ms) -> bool {
        self.level(now) > AuthorityLevel::None
    }

    /// Number of committed renewals, sent in heartbeats.
    pub fn counter(&self) -> u64 {
        self.lease.counter()
    }

    /// Checks whether an order to a resource may be sent and returns its fence. Call it
    /// immediately before sending the order, after the last await.
    ///
    /// # Errors
    /// Returns the reason why the order must be discarded.
    pub fn check_order(
        &self,
        now: Ms,
        resource: &Resource,
        order: OrderKind,
    ) -> std::result::Result<u64, OrderDenied> {
        self.ownership.check_order(now, self.level(now), resource, order)
    }

    /// The owner of a resource according to the rows read so far, for routing.
    pub fn owner_of(&self, resource: &Resource) -> Option<&Node> {
        self.ownership.rows.get(&resource.key(self.settings()))?.row.owner.as_ref()
    }

    /// The owned resources with their fences, in order. The level of authority determines
    /// which orders the node may send to them.
    pub fn owned(&self) -> impl Iterator<Item = (&Resource, u64)> {
        self.ownership.held.iter().map(|(r, h)| (r, h.fence))
    }

    /// Whether a scan that was sent after `at` has been answered.
    pub(crate) fn scanned_since(&self, at: Ms) -> bool {
        self.scan_answered.is_some_and(|seen| seen >= at + self.settings().timeout)
    }

    /// Whether seats lack a working holder because a node has ended: the node has not been
    /// evicted yet, or its eviction is younger than `quiet` plus the time that a claim takes.
    pub(crate) fn seats_changing(&self, now: Ms, quiet: Ms) -> bool {
        let settings = self.settings();
        let quiet = quiet + settings.order_lifetime + settings.scan_interval + settings.rank_delay;
        let others = self.known_nodes.iter().filter(|(n, _)| *n != self.lease.node());
        let ended = others.map(|(_, k)| match k.row.state {
            NodeState::Gone => now.since(k.version_since) < quiet,
            _ => k.expired(now, settings),
        });
        let seat = |r: &Resource| matches!(r, Resource::Seat { .. });
        let free = self.ownership.free_since.keys().any(seat);
        let moved = self.seats_changed.is_some_and(|at| now.since(at) < quiet);
        free || moved || ended.into_iter().any(|moves| moves)
    }

    /// Whether a graceful shutdown has released all resources and the lease.
    pub fn released(&self) -> bool {
        self.lease_released
    }

    /// Whether another node is known to have no authority: it has no row, or its row is marked
    /// as gone. A missing row counts only in a scan that was sent after `since`.
    pub fn is_gone(&self, node: &Node, since: Ms) -> bool {
        node != self.lease.node()
            && match self.known_nodes.get(node) {
                Some(known) => known.row.state == NodeState::Gone,
                // A node that started after the last scan has no row there yet.
                None => self.scanned && self.scanned_since(since),
            }
    }

    /// Requests a scan at the next tick, for example after news from a heartbeat.
    pub fn request_scan(&mut self, now: Ms) {
        self.next_scan = self.next_scan.min(now);
    }

    /// Drops a resource whose endpoint rejected the fence as outdated.
    pub fn on_fence_refused(&mut self, now: Ms, resource: &Resource, fence: u64) {
        if self.ownership.held.get(resource).is_some_and(|h| h.fence <= fence) {
            self.drop_resource(resource);
            self.request_scan(now);
        }
    }

    /// Starts a graceful shutdown, which releases all resources and then the lease.
    pub fn release_all(&mut self, now: Ms) {
        self.draining = true;
        self.drop_all();
        self.request_scan(now);
    }

    /// Advances to `now` and appends all outputs for the shell to `out`.
    pub fn tick(&mut self, now: Ms, view: &CellView, out: &mut Vec<AuthorityOut>) {
        self.expire_ops(now);
        self.observe_peers(now, view);
        if !self.lease_released {
            self.renew(now, view);
            self.request_promises(now, view);
            if now >= self.next_assign {
                self.next_assign = now + ASSIGN_INTERVAL;
                self.assign(now, view);
            }
            self.scan(now, view);
        }
        out.append(&mut self.outputs);
    }

    /// Appends the outputs produced by inputs since the last tick.
    pub fn take_outputs(&mut self, out: &mut Vec<AuthorityOut>) {
        out.append(&mut self.outputs);
    }

    /// Handles the answer to [`AuthorityOut::Commit`]. An error means that the outcome is
    /// unknown.
    pub fn on_commit(&mut self, now: Ms, op: OpId, result: Result<Commit>) {
        let Some((sent, pending)) = self.pending_ops.remove(&op) else { return };
        self.next_assign = now;
        if result.is_ok() {
            // Uses the sending time, because a paused process reads answers late.
            self.lease.note_contact(sent);
        }
        match pending {
            PendingOp::Renew(row) => self.on_renewal(now, &row, result),
            PendingOp::Assign { id, writes } => self.on_assigned(now, id, writes, result),
            PendingOp::Evict(node, row) => self.on_evicted(now, &node, row, result),
            PendingOp::DeleteRow(node) => {
                let key = self.settings().node_key(&node);
                self.pending_keys.remove(&key);
                match result {
                    Ok(Commit::Done(_)) => drop(self.known_nodes.remove(&node)),
                    _ => self.block_key(now, key),
                }
            }
            PendingOp::ReleaseLease => match result {
                Ok(Commit::Done(_)) => self.lease_released = true,
                _ => self.recheck_row = true,
            },
            PendingOp::ReadOwnRow | PendingOp::Scan => {}
        }
    }

    /// Handles the answer to [`AuthorityOut::Scan`] or [`AuthorityOut::Get`].
    pub fn on_rows(&mut self, now: Ms, op: OpId, result: Result<Vec<Row>>) {
        let Some((sent, pending)) = self.pending_ops.remove(&op) else { return };
        self.next_assign = now;
        let Ok(rows) = result else {
            match pending {
                PendingOp::ReadOwnRow => self.lease.note_failure(),
                _ => self.next_scan = now + self.settings().renewal_interval(),
            }
            return;
        };
        self.lease.note_contact(sent);
        match pending {
            PendingOp::ReadOwnRow => self.on_own_row(now, rows.into_iter().next()),
            PendingOp::Scan => self.on_scan(now, op, &rows),
            _ => {}
        }
    }

    /// Handles a peer's request for a promise. It is given only while this node's own renewals
    /// fail too.
    pub fn on_promise_request(&mut self, now: Ms, from: &Node) -> Promise {
        self.lease.note_contact(now);
        if self.lease.renewals_failing(now) {
            self.promises.give(now, from, self.lease.settings())
        } else {
            Promise { valid: Ms(0), given: false }
        }
    }

    /// Handles the reply to [`AuthorityOut::AskPromise`]; `sent` is when the request was sent.
    pub fn on_promise(&mut self, now: Ms, from: &Node, sent: Ms, valid: Ms, given: bool) {
        self.lease.note_contact(sent.min(now));
        if given && sent <= now {
            self.promises.receive(from, sent, valid, self.lease.settings());
        }
    }

    /// Handles the result of [`AuthorityOut::Probe`].
    pub fn on_probe(&mut self, now: Ms, node: &Node, result: ProbeResult) {
        let Some(probed) = self.probes.get_mut(node) else { return };
        let Some(sent) = probed.sent.take() else { return };
        self.next_assign = now;
        match result {
            ProbeResult::Refused => probed.refused = true,
            ProbeResult::Silent => {}
            ProbeResult::Reached { level } => {
                probed.report = Some((sent, level));
                self.lease.note_contact(sent.min(now));
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

    /// Identifier of a transaction, unique per node, process and lease reset.
    fn txn_id(&self, op: OpId) -> String {
        format!("{}{}", self.run_prefix(), op.0)
    }

    fn run_prefix(&self) -> String {
        format!("{}/{:016x}/{}/", self.lease.node(), self.nonce, self.lease_run)
    }

    /// Whether a transaction was sent by this process since its last lease reset.
    pub(crate) fn is_own_txn(&self, txn: &str) -> bool {
        txn.starts_with(&self.run_prefix())
    }

    pub(crate) fn commit(
        &mut self,
        now: Ms,
        writes: Vec<Write>,
        pending: impl FnOnce(&str) -> PendingOp,
    ) {
        let op = self.next_op();
        let id = self.txn_id(op);
        self.pending_keys
            .extend(writes.iter().filter(|w| w.op != Op::Check).map(|w| w.key.clone()));
        self.pending_ops.insert(op, (now, pending(&id)));
        self.outputs.push(AuthorityOut::Commit { op, txn: Txn { id, writes } });
    }

    /// Blocks writes to a key until a scan sent after this call has read it.
    pub(crate) fn block_key(&mut self, now: Ms, key: String) {
        self.blocked_keys.insert(key, OpId(self.last_op + 1));
        self.request_scan(now);
    }

    pub(crate) fn drop_resource(&mut self, resource: &Resource) {
        let key = resource.key(self.settings());
        if self.ownership.remove_held(resource, &key) {
            self.outputs.push(AuthorityOut::Lost { resource: resource.clone() });
        }
    }

    /// Handles operations that were not answered in time as failed.
    fn expire_ops(&mut self, now: Ms) {
        let timeout = self.settings().timeout;
        let late: Vec<_> =
            self.pending_ops.iter().filter(|(_, (at, _))| now.since(*at) >= timeout).collect();
        let late: Vec<_> = late.into_iter().map(|(op, (_, p))| (*op, p.clone())).collect();
        for (op, pending) in late {
            let error = crate::error::Error::io("table", "no answer in time");
            match pending {
                PendingOp::ReadOwnRow | PendingOp::Scan => self.on_rows(now, op, Err(error)),
                _ => self.on_commit(now, op, Err(error)),
            }
        }
    }

    /// Updates the last contact with peers and the probe states from the view, and sends
    /// probes that are due.
    fn observe_peers(&mut self, now: Ms, view: &CellView) {
        let settings = self.lease.settings().clone();
        let me = self.lease.node().clone();
        for peer in view.nodes.iter().filter(|p| p.node != me) {
            if let Some(at) = peer.heartbeat {
                self.lease.note_contact(at);
            }
            let probed = self.probes.entry(peer.node.clone()).or_default();
            probed.ever_listed |= peer.listed;
        }
        let required = &self.lease.required_peers;
        let nodes = &self.known_nodes;
        self.probes.retain(|node, probed| {
            let peer = view.nodes.iter().find(|p| p.node == *node);
            probed.unlisted = probed.ever_listed && !peer.is_some_and(|p| p.listed);
            peer.is_some() || nodes.contains_key(node) || required.contains(node)
        });
        let known = nodes.keys().filter(|n| **n != me).cloned().collect::<Vec<_>>();
        for node in known {
            self.probes.entry(node).or_default();
        }
        for (node, probed) in &mut self.probes {
            let peer = view.nodes.iter().find(|p| p.node == *node);
            let beat = peer.and_then(|p| p.heartbeat);
            match peer.is_some_and(|p| p.listed) {
                true => probed.absent_since = None,
                false => drop(probed.absent_since.get_or_insert(now)),
            }
            let silent = beat.is_none_or(|at| now.since(at) >= settings.suspect_after);
            let known = self.known_nodes.get(node);
            let expired = known.is_some_and(|k| k.expired(now, &settings));
            let gone = known.is_some_and(|k| k.row.state == NodeState::Gone);
            let presumed = known.is_some_and(|k| k.row.presumed);
            if (gone && !presumed)
                || probed.ended()
                || now < probed.next_probe
                || !(silent || expired)
            {
                continue;
            }
            // A node without a row owns nothing and matters only for promises.
            let period = if known.is_some() { Ms::secs(1) } else { Ms::secs(5) };
            probed.next_probe = now + period;
            probed.sent.get_or_insert(now);
            self.outputs.push(AuthorityOut::Probe { node: node.clone() });
        }
    }

    /// Nodes that must promise before the lease can be extended.
    fn required_peers(&self, now: Ms, view: &CellView) -> BTreeSet<Node> {
        let gone =
            |n: &Node| self.known_nodes.get(n).is_some_and(|k| k.row.state == NodeState::Gone);
        let listed = view.nodes.iter().filter(|p| p.listed).map(|p| &p.node);
        let live =
            self.known_nodes.iter().filter(|(_, k)| k.live(now, self.settings())).map(|n| n.0);
        let all = listed.chain(live).filter(|n| *n != self.lease.node());
        all.filter(|n| !gone(n) && !self.has_ended(n)).cloned().collect()
    }

    fn has_ended(&self, node: &Node) -> bool {
        self.probes.get(node).is_some_and(ProbeState::ended)
    }

    /// Sends the next renewal, or first reads the node's own row if its state is unknown.
    fn renew(&mut self, now: Ms, view: &CellView) {
        let own = |p: &PendingOp| {
            matches!(p, PendingOp::Renew(_) | PendingOp::ReadOwnRow | PendingOp::ReleaseLease)
        };
        if now < self.lease.next_renewal || self.pending_ops.values().any(|(_, p)| own(p)) {
            return;
        }
        self.lease.next_renewal = now + self.settings().renewal_interval();
        let key = self.settings().node_key(self.lease.node());
        if self.recheck_row {
            let op = self.next_op();
            self.pending_ops.insert(op, (now, PendingOp::ReadOwnRow));
            self.outputs.push(AuthorityOut::Get { op, key });
            return;
        }
        let cond = self.lease.version.map_or(Cond::Absent, Cond::Version);
        let peers = self.required_peers(now, view);
        let state = match (self.releasing_lease, self.draining) {
            (true, _) => NodeState::Gone,
            (_, true) => NodeState::Draining,
            _ => NodeState::Live,
        };
        let row =
            NodeRow { counter: self.lease.counter + 1, sent: now, state, peers, presumed: false };
        let write = Write::put(key.clone(), cond, to_json(&row));
        if self.releasing_lease {
            self.commit(now, vec![write], |_| PendingOp::ReleaseLease);
        } else {
            self.lease.required_peers.extend(row.peers.iter().cloned());
            self.lease.renewal_sent = Some(now);
            self.commit(now, vec![write], |_| PendingOp::Renew(row));
        }
        self.pending_keys.remove(&key);
    }

    fn on_renewal(&mut self, now: Ms, row: &NodeRow, result: Result<Commit>) {
        match result {
            Ok(Commit::Done(versions)) => {
                self.lease.confirm(now, versions.first().copied().unwrap_or_default(), row);
            }
            Ok(Commit::Conflict(_)) => {
                self.lease.renewal_sent = None;
                self.recheck_row = true;
                self.lease.next_renewal = now;
            }
            Err(_) => {
                self.lease.note_failure();
                self.recheck_row = true;
            }
        }
    }

    /// Updates the lease from the node's own row after a renewal with an unknown outcome.
    fn on_own_row(&mut self, now: Ms, row: Option<Row>) {
        self.recheck_row = false;
        self.lease.next_renewal = now;
        let value = row.as_ref().and_then(|r| serde_json::from_slice::<NodeRow>(&r.value).ok());
        match (row, value) {
            (Some(row), Some(value)) if self.releasing_lease => {
                self.lease_released = value.state == NodeState::Gone;
                self.lease.version = Some(row.version);
            }
            (None, _) if self.releasing_lease => self.lease_released = true,
            (Some(row), Some(value))
                if value.state != NodeState::Gone && self.is_own_txn(&row.txn) =>
            {
                self.lease.confirm(now, row.version, &value);
            }
            (Some(row), _) => self.reset(now, Some(row.version)),
            (None, _) if self.lease.version.is_some() => self.reset(now, None),
            (None, _) => {}
        }
    }

    /// Drops the lease and all resources after an eviction; the node then acquires a new
    /// lease.
    fn reset(&mut self, now: Ms, version: Option<u64>) {
        let held: Vec<_> = self.ownership.held.keys().cloned().collect();
        held.iter().for_each(|r| self.drop_resource(r));
        self.lease.reset(version);
        self.lease_run += 1;
        self.pending_ops.clear();
        self.pending_keys.clear();
        self.blocked_keys.clear();
        self.scanned = false;
        self.next_scan = now;
    }

    /// Releases the lease once all resources have been released.
    pub(crate) fn release_lease(&mut self, now: Ms) {
        if !self.releasing_lease {
            self.releasing_lease = true;
            self.lease.reset(self.lease.version);
            self.lease.next_renewal = now;
        }
    }

    /// Requests promises while renewals fail and the lease can still be extended.
    fn request_promises(&mut self, now: Ms, view: &CellView) {
        let level = self.lease.level(now);
        if level < AuthorityLevel::Seated
            || self.releasing_lease
            || !self.lease.renewals_failing(now)
        {
            return;
        }
        let mut required = self.required_peers(now, view);
        let earlier = self.lease.required_peers.iter().filter(|n| !self.has_ended(n));
        required.extend(earlier.cloned());
        let end = self.promises.covered_until(&required);
        if let Some(end) = end {
            self.lease.extend(now, end);
        }
        if now < self.promises.next_request {
            return;
        }
        let settings = self.lease.settings();
        let covered = end.is_some_and(|end| now + Ms(settings.promise_validity.0 / 2) < end);
        self.promises.next_request = now + if covered { Ms(500) } else { Ms(250) };
        self.outputs.extend(required.into_iter().map(|to| AuthorityOut::AskPromise { to }));
    }
}

/// Encodes the value of a row as JSON.
pub(crate) fn to_json<T: serde::Serialize>(value: &T) -> Bytes {
    serde_json::to_vec(value).map(Bytes::from).unwrap_or_default()
}
