//! Leases of edge nodes, and the one node that may give orders to each endpoint: its holder.
//!
//! A node's lease is its row in the table `nodes`; see [`crate::node_row`]. A node holds an
//! endpoint if its name is in the endpoint's row in the table `holders`; the version of that row
//! is the fencing token of its orders. Only the lease is renewed, on the condition that the rows
//! by which the node holds its endpoints are unchanged.
//!
//! A lease has lapsed when its row has not changed, or has been missing, for the lease's validity
//! plus a margin, both measured on this node's clock. It has been released when its row says so.
//! Another node then claims the endpoints and pauses before its first order, because orders of
//! two holders to one endpoint need that pause between them. A restarted node claims its own
//! endpoints at once, because it is the same holder, and waits for what is left of such a pause.
//!
//! When the store is restored from an older copy, rows of the last seconds are gone or back. A
//! holder then goes on under its lease of the former era and writes its claims again. Nobody
//! claims anything else until all leases of the former era have lapsed.

use std::rc::Rc;

use crate::endpoint_choice::rendezvous_first;
use crate::failpoint::{Failpoint, active};
use crate::ids::{Map, Set};
use crate::node_row::{NodeRecord, OwnRow, RowLoss};
use crate::row_version;
use crate::time::Ms;

/// Validity of a lease after a renewal; longer than most outages of the store.
pub const LEASE_TTL: Ms = Ms(10_000);
/// Interval of lease renewals.
pub const RENEW_INTERVAL: Ms = Ms(3_000);
/// Time for which a node counts for the team limits after its last change of row. It is
/// longer than a network partition, in which the node goes on admitting requests.
pub const NODE_COUNTED_FOR: Ms = Ms::secs(40);
/// Margin for nodes whose clocks run at different rates.
pub const CLOCK_MARGIN: Ms = Ms(1_000);
/// Time for which an endpoint must be unlisted before its row is removed. It is longer than an
/// entry is missing after an outage of the store.
pub const UNLISTED_FOR: Ms = Ms::secs(60);
/// Most rows removed at once; the store's transactions take up to 100 entries.
const MAX_REMOVALS: usize = 50;
/// Most claims that a renewal of the lease depends on; see [`MAX_REMOVALS`].
const MAX_CONDITIONS: usize = 90;
/// Time that a starting node waits for the rows of other nodes before it claims endpoints
/// that it did not hold before.
pub const FIRST_CLAIM_DELAY: Ms = Ms(1_500);

/// A row of the table `holders`.
#[derive(Clone, Debug, PartialEq)]
pub struct HolderRecord {
    /// Node that holds the endpoint.
    pub node: Rc<str>,
    /// Start of the node's process that claimed the endpoint.
    pub start: u64,
    /// Version of the row, which is the fencing token.
    pub fence: u64,
    /// Time from which the holder may give orders, on the store's clock; `None` if it may at once.
    pub orders_from: Option<u64>,
}

/// Fencing token of this node's orders to an endpoint that it holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OrderFence {
    /// The token, which is the version of the endpoint's row.
    pub fence: u64,
    /// Instant from which orders may be given.
    pub orders_from: Ms,
}

/// A claim of an endpoint, to be written to the table `holders`.
#[derive(Clone, Debug, PartialEq)]
pub struct HolderClaim {
    /// Instance ID of the endpoint.
    pub endpoint: Rc<str>,
    /// Version that the endpoint's row must have; 0 if it must not exist.
    pub expected: u64,
    /// Pause between the claim and the first order.
    pub pause: Ms,
    /// End of the pause on the store's clock, for the node's next process; `None` without a pause.
    pub orders_from: Option<u64>,
    /// Former holder and the version that its lease must have; 0 if it must have none. The
    /// lease was found lapsed or released, and must not have been renewed since.
    pub former_lease: Option<(Rc<str>, u64)>,
}

/// A reading of the store's clock.
#[derive(Clone, Copy, Debug)]
struct StoreTime {
    /// When the call was sent that read it, and when its answer arrived.
    sent: Ms,
    received: Ms,
    /// The clock, in ms.
    clock: u64,
}

/// What is known of a lease of another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseState {
    /// It may be valid.
    Valid,
    /// It was released.
    Released,
    /// Its row has been unchanged for so long that it has lapsed.
    Unchanged,
    /// Its row has been missing for so long that it has lapsed.
    Missing,
}

/// Counts of endpoints from which claims are decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimCounts {
    /// Endpoints without a live holder.
    pub unheld: usize,
    /// Endpoints that this node holds and that are not gone.
    pub held: usize,
    /// Number of endpoints up to which this node claims endpoints that had no holder.
    pub share: usize,
}

/// Lease of this node, and the nodes and holders that it has read from the store.
#[derive(Clone, Debug)]
pub struct EndpointHolders {
    name: Rc<str>,
    start: u64,
    /// Pause that orders of two holders need between them.
    handover_pause: Ms,
    started_at: Ms,
    /// End of this node's lease.
    lease_end: Ms,
    /// Whether the lease was released, which is final.
    released: bool,
    /// This node's row.
    own_row: OwnRow,
    nodes: Map<Rc<str>, NodeRecord>,
    /// Nodes that hold endpoints and have no row, with the instant at which that was first seen.
    missing: Map<Rc<str>, Ms>,
    holders: Map<Rc<str>, HolderRecord>,
    /// Last reading of the store's clock.
    store_time: Option<StoreTime>,
    held: Map<Rc<str>, OrderFence>,
    /// Whether the holders have been read since this node's lease began.
    holders_read: bool,
    /// Endpoints that have rows and are not listed, with the instant from which on.
    unlisted: Map<Rc<str>, Ms>,
    /// Endpoints of which no row has been seen since they registered.
    unclaimed: Set<Rc<str>>,
    /// Engines that have no row, with the instant at which that was first seen.
    without_row: Map<Rc<str>, Ms>,
    /// Pauses of claims that were written but whose rows have not been read back.
    pauses: Map<Rc<str>, Ms>,
    /// Whether the rows of the nodes have been read.
    pub nodes_read: bool,
    /// Era of the store since its last restore; 0 if none was seen.
    era: u64,
    /// End of this node's lease as it was when the store was restored.
    former_lease_end: Ms,
    /// Instant from which endpoints of other holders of the former era may be claimed.
    claims_from: Ms,
}

impl EndpointHolders {
    /// Creates the state of a node that starts now.
    ///
    /// `start` is the start of the process in ms since the Unix epoch, and `handover_pause`
    /// the pause that orders of two holders need between them.
    pub fn new(name: &str, start: u64, handover_pause: Ms, now: Ms) -> Self {
        Self {
            name: Rc::from(name),
            start,
            handover_pause,
            started_at: now,
            lease_end: Ms(0),
            released: false,
            own_row: OwnRow::new(start),
            nodes: Map::default(),
            missing: Map::default(),
            holders: Map::default(),
            store_time: None,
            held: Map::default(),
            holders_read: false,
            unlisted: Map::default(),
            unclaimed: Set::default(),
            without_row: Map::default(),
            pauses: Map::default(),
            nodes_read: false,
            era: 0,
            former_lease_end: Ms(0),
            claims_from: Ms(0),
        }
    }

    /// Records that the store was restored from a copy at `began` and is in a new era.
    pub fn on_restored(&mut self, began: Ms, era: u64) {
        self.era = era;
        self.former_lease_end = self.lease_end;
        self.delay_claims(began);
        // A claim of the former era may be lost.
        self.pauses.clear();
    }

    /// Delays claims until leases have lapsed that were given before the store was restored at
    /// `began`.
    pub fn delay_claims(&mut self, began: Ms) {
        self.claims_from = self.claims_from.max(began + LEASE_TTL + CLOCK_MARGIN);
    }

    /// Whether orders may be given under a claim, which may be one of the former era that the
    /// restored store does not confirm.
    fn is_claim_valid(&self, now: Ms, fence: u64) -> bool {
        row_version::era(fence) >= self.era || now < self.former_lease_end
    }

    /// Records that the store has acknowledged, at `acknowledged`, a renewal sent at `sent`.
    ///
    /// After a lapse other nodes may hold the endpoints of this node, so the holders must be
    /// read before the next order.
    pub fn on_renewed(&mut self, sent: Ms, acknowledged: Ms) {
        if acknowledged >= self.lease_end {
            self.drop_claims();
        }
        if !self.released {
            self.lease_end = self.lease_end.max(sent + LEASE_TTL);
        }
    }

    /// Forgets all endpoints that this node holds until the holders are read.
    fn drop_claims(&mut self) {
        self.held.clear();
        self.pauses.clear();
        self.holders_read = false;
    }

    /// This node's row.
    pub fn own_row(&self) -> &OwnRow {
        &self.own_row
    }

    /// Records that this node's row was written with this version.
    pub fn on_row_written(&mut self, version: u64) {
        self.own_row.on_written(version);
    }

    /// Rows of the endpoints that this node holds, with the versions that they must have when the
    /// lease is renewed. A restored store does not know claims of the former era.
    pub fn confirmed_claims(&self) -> impl Iterator<Item = (&Rc<str>, u64)> {
        let fences = self.held.iter().map(|(id, e)| (id, e.fence));
        fences.filter(|(_, fence)| row_version::era(*fence) >= self.era).take(MAX_CONDITIONS)
    }

    /// Whether the holders have been read since this node's lease began.
    pub fn holders_read(&self) -> bool {
        self.holders_read
    }

    /// Whether this node's lease is valid.
    pub fn has_lease(&self, now: Ms) -> bool {
        now < self.lease_end
    }

    /// Ends the lease for good; no orders may be given afterwards.
    pub fn release(&mut self) {
        self.released = true;
        self.lease_end = Ms(0);
        self.held.clear();
    }

    /// Whether this node has released its lease.
    pub fn is_released(&self) -> bool {
        self.released
    }

    /// Replaces the nodes by the rows just read. Ends the lease if this node has lost its row, and
    /// returns how.
    ///
    /// A row with an unchanged version keeps the instant at which it was first seen.
    pub fn on_nodes(&mut self, now: Ms, rows: Vec<NodeRecord>) -> Option<RowLoss> {
        self.nodes_read = true;
        let own = rows.iter().find(|row| row.name == self.name);
        let loss = self.own_row.on_read(own, self.era);
        if loss.is_some() {
            self.lease_end = Ms(0);
            self.drop_claims();
        }
        let mut old = std::mem::take(&mut self.nodes);
        for mut row in rows {
            match old.remove(&row.name) {
                Some(o) if o.version == row.version => row.seen = o.seen,
                _ => row.seen = now,
            }
            self.nodes.insert(row.name.clone(), row);
        }
        loss
    }

    /// Replaces the holders by the rows just read.
    pub fn on_holders(&mut self, now: Ms, rows: Vec<(Rc<str>, HolderRecord)>) {
        self.holders_read = true;
        self.holders = rows.into_iter().collect();
        self.note_missing(now);
        let holders = &self.holders;
        self.unclaimed.retain(|id| !holders.contains_key(id));
        let (name, start) = (self.name.clone(), self.start);
        let holders = &self.holders;
        let own = |h: &HolderRecord| h.node == name && h.start == start;
        let (era, unconfirmed) = (self.era, now < self.former_lease_end);
        self.held.retain(|id, e| {
            let former = row_version::era(e.fence) < era;
            match holders.get(id).filter(|h| own(h)) {
                Some(h) if h.fence == e.fence || former => {
                    e.fence = h.fence;
                    true
                }
                _ => former && unconfirmed,
            }
        });
        for (id, h) in holders {
            if own(h) && !self.held.contains_key(id) {
                let pause = match self.pauses.remove(id) {
                    Some(pause) => pause,
                    // A takeover from this node may be lost.
                    None if now < self.claims_from => continue,
                    // After a claim whose answer was lost, or a regained lease, no pause is
                    // recorded and the full one applies.
                    None => self.handover_pause,
                };
                let orders_from = now + pause;
                self.held.insert(id.clone(), OrderFence { fence: h.fence, orders_from });
            }
        }
    }

    /// Records that an endpoint has registered. Nobody has held it unless a row says so.
    pub fn on_registered(&mut self, id: &Rc<str>) {
        if !self.holders.contains_key(id) {
            self.unclaimed.insert(id.clone());
        }
    }

    /// Takes note of the engines that have no row.
    pub fn note_engines(&mut self, now: Ms, engines: &[Rc<str>]) {
        let since = std::mem::take(&mut self.without_row);
        let bare = engines.iter().filter(|id| !self.holders.contains_key(*id));
        self.without_row =
            bare.map(|id| (id.clone(), since.get(id).copied().unwrap_or(now))).collect();
        self.unclaimed.retain(|id| self.without_row.contains_key(id));
    }

    /// Pause with which an endpoint without a row may be claimed; `None` if its row may be lost
    /// and a holder may go on. `is_free` tells that all nodes are heard and none holds it.
    fn pause_without_row(&self, now: Ms, id: &str, is_free: impl Fn(&str) -> bool) -> Option<Ms> {
        if self.unclaimed.contains(id) {
            return Some(Ms(0));
        }
        // No lease has been renewed since by a node that holds it.
        let lapsed = |since: &Ms| now.since(*since) >= LEASE_TTL + CLOCK_MARGIN;
        let may_claim = is_free(id) || self.without_row.get(id).is_some_and(lapsed);
        may_claim.then_some(self.handover_pause)
    }

    /// Records the store's clock as stated by the answer that arrived at `received` to a call that
    /// was sent at `sent`.
    pub fn on_store_time(&mut self, sent: Ms, received: Ms, clock: u64) {
        self.store_time = Some(StoreTime { sent, received, clock });
    }

    /// Latest time that the store's clock may show when a pause ends that begins now. Without a
    /// reading, no time is late enough.
    fn pause_end(&self, now: Ms, pause: Ms) -> Option<u64> {
        let latest = |time: &StoreTime| time.clock.saturating_add((now.since(time.sent) + pause).0);
        (pause > Ms(0)).then(|| self.store_time.as_ref().map_or(u64::MAX, latest))
    }

    /// What is left of the pause of a former process of this node.
    fn pause_left(&self, now: Ms, holder: &HolderRecord) -> Ms {
        let Some(end) = holder.orders_from else { return Ms(0) };
        // A restored store's clock has nothing to do with the former one.
        let known = self.store_time.filter(|_| row_version::era(holder.fence) >= self.era);
        let earliest = known.map_or(0, |time| time.clock + now.since(time.received).0);
        Ms(end.saturating_sub(earliest)).min(self.handover_pause)
    }

    /// Takes note of the nodes that hold endpoints and have no row.
    fn note_missing(&mut self, now: Ms) {
        let mut since = std::mem::take(&mut self.missing);
        for node in self.holders.values().map(|h| &h.node) {
            if !self.nodes.contains_key(node) && !self.missing.contains_key(node) {
                self.missing.insert(node.clone(), since.remove(node).unwrap_or(now));
            }
        }
    }

    /// Records that a claim was written. Its fencing token is known once the holders are read.
    pub fn on_claimed(&mut self, claim: &HolderClaim) {
        self.held.remove(&claim.endpoint);
        self.pauses.insert(claim.endpoint.clone(), claim.pause);
    }

    /// Nodes that may be admitting requests, whether or not they have a lease.
    pub fn counted_nodes(&self, now: Ms) -> impl Iterator<Item = &NodeRecord> {
        let nodes = self.nodes.values().filter(|n| !n.released);
        nodes.filter(move |n| now.since(n.seen) < NODE_COUNTED_FOR)
    }

    /// Nodes whose leases have not lapsed.
    pub fn live_nodes(&self, now: Ms) -> impl Iterator<Item = &NodeRecord> {
        let nodes = self.nodes.values().filter(|n| !n.released);
        nodes.filter(move |n| now.since(n.seen) < LEASE_TTL + CLOCK_MARGIN)
    }

    /// Whether a node has a row in the table `nodes` and has not released its lease.
    pub fn has_node(&self, node: &str) -> bool {
        self.nodes.get(node).is_some_and(|n| !n.released)
    }

    /// What this node knows of another one's lease.
    pub fn lease_state(&self, now: Ms, node: &str) -> LeaseState {
        let lapsed = |since: Ms| now.since(since) >= LEASE_TTL + CLOCK_MARGIN;
        match (self.nodes.get(node), self.missing.get(node)) {
            (Some(row), _) if row.released => LeaseState::Released,
            (Some(row), _) if lapsed(row.seen) => LeaseState::Unchanged,
            (None, Some(since)) if lapsed(*since) => LeaseState::Missing,
            _ => LeaseState::Valid,
        }
    }

    /// Whether a node's lease may be valid.
    fn is_live(&self, now: Ms, node: &str) -> bool {
        self.lease_state(now, node) == LeaseState::Valid
    }

    /// Fencing token of orders to an endpoint, if this node may give them now.
    pub fn fence(&self, now: Ms, endpoint: &str) -> Option<u64> {
        let held = self.held.get(endpoint)?;
        let valid = self.has_lease(now) && self.is_claim_valid(now, held.fence);
        let allowed = valid && now >= held.orders_from;
        (allowed || active(Failpoint::IgnoreFence)).then_some(held.fence)
    }

    /// Endpoints that this node holds.
    pub fn held_endpoints(&self) -> impl Iterator<Item = &Rc<str>> {
        self.held.keys()
    }

    /// Whether an endpoint was never claimed, as far as the rows were read.
    pub fn any_unclaimed(&self, engines: &[Rc<str>]) -> bool {
        engines.iter().any(|id| !self.holders.contains_key(id))
    }

    /// What [`EndpointHolders::due_claims`] decides from, for the log.
    pub fn claim_counts(&self, now: Ms, engines: &[Rc<str>]) -> ClaimCounts {
        let has_holder =
            |id: &&Rc<str>| self.holders.get(*id).is_some_and(|h| self.is_live(now, &h.node));
        ClaimCounts {
            unheld: engines.len() - engines.iter().filter(has_holder).count(),
            held: self.held_among(engines),
            share: self.share(now, engines),
        }
    }

    /// Number of the listed endpoints that this node holds. Rows of endpoints that are gone stay
    /// in the table `holders`.
    fn held_among(&self, engines: &[Rc<str>]) -> usize {
        engines.iter().filter(|id| self.held.contains_key(*id)).count()
    }

    /// Number of endpoints up to which a node claims endpoints that had no holder.
    fn share(&self, now: Ms, engines: &[Rc<str>]) -> usize {
        engines.len().div_ceil(self.live_nodes(now).count().max(1))
    }

    /// Rows that this node should remove because their endpoints are gone, with their versions:
    /// its own, and its part of those of nodes without a lease. `is_listed` tells whether an
    /// endpoint is known.
    pub fn due_removals(
        &mut self,
        now: Ms,
        is_listed: impl Fn(&str) -> bool,
    ) -> Vec<(Rc<str>, u64)> {
        let holders = &self.holders;
        self.unlisted.retain(|id, _| holders.contains_key(id) && !is_listed(id));
        for id in holders.keys().filter(|id| !is_listed(id)) {
            self.unlisted.entry(id.clone()).or_insert(now);
        }
        if !self.has_lease(now) {
            return Vec::new();
        }
        let names: Vec<&str> = self.live_nodes(now).map(|n| &*n.name).collect();
        let is_own = |id: &str, node: &Rc<str>| match self.is_live(now, node) {
            true => *node == self.name,
            false => rendezvous_first(id, names.iter().copied()) == Some(&*self.name),
        };
        let gone = self.unlisted.iter().filter(|(_, since)| now.since(**since) >= UNLISTED_FOR);
        let rows = gone.filter_map(|(id, _)| Some((id, self.holders.get(id)?)));
        let due = rows.filter(|(id, h)| is_own(id, &h.node));
        due.map(|(id, h)| (id.clone(), h.fence)).take(MAX_REMOVALS).collect()
    }

    /// Records that rows were removed.
    pub fn on_removed(&mut self, rows: &[(Rc<str>, u64)]) {
        for (id, _) in rows {
            self.held.remove(id);
        }
    }

    /// Claims that this node should write, given the instance IDs of all engine endpoints.
    /// `is_free` tells that all nodes are heard and none holds an endpoint.
    pub fn due_claims(
        &self,
        now: Ms,
        engines: &[Rc<str>],
        is_free: impl Fn(&str) -> bool,
    ) -> Vec<HolderClaim> {
        if !self.has_lease(now) || !self.nodes_read {
            return Vec::new();
        }
        // Until then, other nodes that are starting may be missing from the list.
        let settled = now.since(self.started_at) >= FIRST_CLAIM_DELAY;
        let mut names: Vec<&str> = self.live_nodes(now).map(|n| &*n.name).collect();
        names.sort_unstable();
        let mut counts: Map<&str, usize> = Map::default();
        let listed: Set<&str> = engines.iter().map(|e| &**e).collect();
        for (id, h) in &self.holders {
            if listed.contains(&**id) {
                *counts.entry(&*h.node).or_default() += 1;
            }
        }
        let per_node = self.share(now, engines);
        let mut claims = Vec::new();
        let mut own = self.held_among(engines);
        for id in engines {
            let held = self.held.get(id);
            if held.is_some_and(|e| row_version::era(e.fence) >= self.era) {
                continue;
            }
            let claim = |expected, pause, former_lease| HolderClaim {
                endpoint: id.clone(),
                expected,
                pause,
                orders_from: self.pause_end(now, pause),
                former_lease,
            };
            // The restored store does not know this node's claim.
            if held.is_some_and(|e| self.is_claim_valid(now, e.fence)) {
                claims.push(claim(self.holders.get(id).map_or(0, |h| h.fence), Ms(0), None));
                continue;
            }
            if now < self.claims_from {
                continue;
            }
            match self.holders.get(id) {
                // Held by this node before its process restarted.
                Some(h) if h.node == self.name => {
                    claims.push(claim(h.fence, self.pause_left(now, h), None));
                }
                Some(h) if self.is_live(now, &h.node) => {}
                _ if !settled => {}
                Some(h) => {
                    if self.preferred_node(&names, &counts, per_node, id) == Some(&*self.name) {
                        let lease = self.nodes.get(&h.node).map_or(0, |n| n.version);
                        let former_lease = Some((h.node.clone(), lease));
                        claims.push(claim(h.fence, self.handover_pause, former_lease));
                        own += 1;
                    }
                }
                None => {
                    if self.preferred_node(&names, &counts, per_node, id) == Some(&*self.name)
                        && own < per_node
                        && let Some(pause) = self.pause_without_row(now, id, &is_free)
                    {
                        claims.push(claim(0, pause, None));
                        own += 1;
                    }
                }
            }
        }
        claims
    }

    /// The node that should claim an endpoint: the first by rendezvous hashing among the nodes
    /// that hold fewer than `per_node` endpoints, or among all nodes if there is none.
    fn preferred_node<'a>(
        &self,
        names: &[&'a str],
        counts: &Map<&str, usize>,
        per_node: usize,
        id: &str,
    ) -> Option<&'a str> {
        let has_room = |n: &&&str| counts.get(**n).copied().unwrap_or(0) < per_node;
        let candidates = names.iter().filter(has_room).copied();
        rendezvous_first(id, candidates).or_else(|| rendezvous_first(id, names.iter().copied()))
    }
}
