//! Evictions, claims and releases: the writes that move resources between nodes.
//!
//! Rendezvous hashing over the live nodes ranks the claimants of each resource;
//! the first claims at once, the others later. A claim is conditional on the
//! resource's row and on the former owner's row as last seen, so that neither a
//! scan that is not atomic nor a late write can take a resource from a live owner.

use std::collections::{BTreeMap, BTreeSet};

use crate::authority::{Authority, Pending, json};
use crate::error::Result;
use crate::ids::{Node, stable_hash};
use crate::lease::{AuthorityLevel, NodeRow, NodeState};
use crate::ownership::{AuthorityOut, Held, Resource, ResourceRow, Slot, View};
use crate::storage::{Commit, Cond, TXN_WRITES, Write};
use crate::takeover::Evidence;
use crate::time::Ms;

/// Delay per rank before a node evicts what a better-placed node should evict.
const EVICT_RANK: Ms = Ms(200);

/// Delay of a node's first claim, so that nodes that start together see each other.
const FIRST_CLAIM: Ms = Ms::secs(1);

/// A resource that may be claimed.
struct Claim {
    resource: Resource,
    key: String,
    row: ResourceRow,
    /// Row of the former owner, which must not have changed.
    guard: Option<(String, Cond)>,
}

impl Authority {
    /// Does what is due: evictions, claims, releases, deletion of old rows.
    pub(crate) fn assign(&mut self, now: Ms, view: &View) {
        if !self.scanned {
            return;
        }
        if self.draining {
            return self.drain_rows(now);
        }
        self.adopt(now, view);
        let Some(since) = self.lease.full_since(now) else { return };
        let live = self.live(now, view);
        self.evict(now, since, &live);
        if now >= since + FIRST_CLAIM {
            self.claim(now, since, view, &live);
        }
        self.rebalance(now, view, &live);
        self.sweep(now, &live);
    }

    /// Nodes among which owners are chosen, this one included.
    fn live(&self, now: Ms, view: &View) -> BTreeSet<Node> {
        let leaving = |n: &Node| view.nodes.iter().any(|p| p.node == *n && p.leaving);
        let me = self.lease.node();
        let nodes = self.nodes.iter().filter(|(n, k)| *n != me && k.live(now, self.settings()));
        nodes.map(|(n, _)| n).filter(|n| !leaving(n)).chain([me]).cloned().collect()
    }

    /// Place of this node among the candidates for a key.
    fn rank(&self, key: &str, live: &BTreeSet<Node>) -> u64 {
        let weight = |n: &Node| (stable_hash(&[n.as_str(), key]), n.clone());
        let own = weight(self.lease.node());
        live.iter().filter(|n| weight(n) > own).count() as u64
    }

    fn open(&self, key: &str) -> bool {
        let settled = !self.busy.contains(key) && !self.blocked.contains_key(key);
        settled && !self.unreadable.contains(key)
    }

    /// Takes up claims whose answer was lost and which a scan shows in force.
    fn adopt(&mut self, now: Ms, view: &View) {
        let me = self.lease.node().clone();
        for resource in &view.resources {
            let key = resource.key(self.settings());
            let Some(slot) = self.owners.slots.get(&key) else { continue };
            let dropped = self.owners.dropped.get(&key).copied().unwrap_or_default();
            if slot.row.owner.as_ref() == Some(&me)
                && slot.row.fence > dropped
                && self.is_mine(&slot.txn)
                && self.open(&key)
                && !self.owners.held.contains_key(resource)
            {
                let row = slot.row.clone();
                self.gain(now, resource, &row);
            }
        }
    }

    fn gain(&mut self, now: Ms, resource: &Resource, row: &ResourceRow) {
        let settle = if row.taken { now + self.settings().settle } else { now };
        let held = Held { fence: row.fence, settle, since: now };
        self.owners.held.insert(resource.clone(), held);
        self.owners.free.remove(resource);
        self.out.push(AuthorityOut::Gained {
            resource: resource.clone(),
            fence: row.fence,
            settle_until: settle,
        });
    }

    /// Evicts nodes that have no authority left, by marking their rows.
    fn evict(&mut self, now: Ms, since: Ms, live: &BTreeSet<Node>) {
        let me = self.lease.node().clone();
        let settings = self.lease.settings().clone();
        let waited = now >= since + settings.wait;
        let mut due = Vec::new();
        for (node, known) in self.nodes.iter().filter(|(n, _)| **n != me) {
            let evidence = known.evidence(now, &me, self.probed.get(node), &settings);
            let allowed = match evidence {
                None => false,
                Some(Evidence::Refused) => true,
                Some(_) => waited && !self.promises.binds(now, node),
            };
            if known.row.state == NodeState::Gone || !allowed {
                self.ripe.remove(node);
                continue;
            }
            let key = settings.node_key(node);
            let start = *self.ripe.entry(node.clone()).or_insert(now);
            let delay = Ms(EVICT_RANK.0 * self.rank(&key, live));
            if now >= start + delay && self.open(&key) {
                let presumed = evidence == Some(Evidence::Overdue);
                due.push((node.clone(), key, known.clone(), presumed));
            }
        }
        for (node, key, known, presumed) in due {
            let row = NodeRow { state: NodeState::Gone, presumed, ..known.row };
            let write = Write::put(key, Cond::Version(known.version), json(&row));
            self.commit(now, vec![write], |_| Pending::Evict(node, row));
        }
    }

    pub(crate) fn on_evicted(
        &mut self,
        now: Ms,
        node: &Node,
        row: NodeRow,
        result: Result<Commit>,
    ) {
        let key = self.settings().node_key(node);
        self.busy.remove(&key);
        match (result, self.nodes.get_mut(node)) {
            (Ok(Commit::Done(versions)), Some(known)) => {
                known.version = versions.first().copied().unwrap_or_default().max(known.version);
                known.row = row;
                known.since = now;
            }
            _ => self.block(now, key),
        }
    }

    /// The claim that a resource allows at present, if any.
    fn claimable(&self, now: Ms, since: Ms, resource: &Resource, key: &str) -> Option<Claim> {
        let settings = self.settings();
        let me = self.lease.node();
        let row = |fence, taken| ResourceRow { owner: Some(me.clone()), fence, taken };
        let claim = |row, guard| {
            Some(Claim { resource: resource.clone(), key: key.to_owned(), row, guard })
        };
        let Some(slot) = self.owners.slots.get(key) else { return claim(row(1, false), None) };
        let next = slot.row.fence + 1;
        let Some(owner) = &slot.row.owner else { return claim(row(next, false), None) };
        if owner == me {
            return claim(row(next, true), None);
        }
        let node = settings.node_key(owner);
        if self.blocked.contains_key(&node) || self.unreadable.contains(&node) {
            return None;
        }
        let Some(known) = self.nodes.get(owner) else {
            return claim(row(next, true), Some((node, Cond::Absent)));
        };
        let fenced = resource.checks_fence()
            && known.expired(now, settings)
            && now >= since + settings.wait
            && !self.promises.binds(now, owner)
            && self.probed.get(owner).and_then(|p| p.report).is_none_or(|(sent, level)| {
                level < AuthorityLevel::Promised || now.since(sent) >= settings.ttl
            });
        let gone = match resource {
            Resource::Endpoint { .. } => known.row.state == NodeState::Gone,
            Resource::Seat { .. } => known.unseated(now, self.probed.get(owner), settings),
        };
        (gone || fenced)
            .then(|| claim(row(next, true), Some((node, Cond::Version(known.version)))))
            .flatten()
    }

    /// Claims free resources, many in one transaction.
    fn claim(&mut self, now: Ms, since: Ms, view: &View, live: &BTreeSet<Node>) {
        let mut due = Vec::new();
        for resource in &view.resources {
            let key = resource.key(self.settings());
            if self.owners.held.contains_key(resource) || !self.open(&key) {
                continue;
            }
            let Some(claim) = self.claimable(now, since, resource, &key) else {
                self.owners.free.remove(resource);
                continue;
            };
            let start = *self.owners.free.entry(resource.clone()).or_insert(now);
            if now >= start + Ms(self.settings().rank.0 * self.rank(&key, live)) {
                due.push(claim);
            }
        }
        self.write_rows(now, due);
    }

    /// Commits rows in as few transactions as possible.
    fn write_rows(&mut self, now: Ms, mut due: Vec<Claim>) {
        while !due.is_empty() {
            let mut guards = BTreeMap::new();
            let mut count = 0;
            for claim in &due {
                let added = claim.guard.iter().filter(|(k, _)| !guards.contains_key(k)).count();
                if count + 1 + guards.len() + added > TXN_WRITES {
                    break;
                }
                guards.extend(claim.guard.clone());
                count += 1;
            }
            let rest = due.split_off(count);
            let put = |c: &Claim| Write::put(c.key.clone(), self.owners.cond(&c.key), json(&c.row));
            let mut writes: Vec<_> = due.iter().map(put).collect();
            writes.extend(guards.into_iter().map(|(key, cond)| Write::check(key, cond)));
            let rows = due.into_iter().map(|c| (c.resource, c.key, c.row)).collect();
            self.commit(now, writes, |id| Pending::Assign { id: id.to_owned(), writes: rows });
            due = rest;
        }
    }

    pub(crate) fn on_assigned(
        &mut self,
        now: Ms,
        id: String,
        rows: Vec<(Resource, String, ResourceRow)>,
        result: Result<Commit>,
    ) {
        for (_, key, _) in &rows {
            self.busy.remove(key);
        }
        match result {
            Ok(Commit::Done(versions)) => {
                for ((resource, key, row), version) in rows.into_iter().zip(versions) {
                    if row.fence > 1 && matches!(resource, Resource::Seat { .. }) {
                        self.seats_moved = Some(now);
                    }
                    if row.owner.is_some() {
                        self.gain(now, &resource, &row);
                    }
                    self.owners.slots.insert(key, Slot { version, txn: id.clone(), row });
                }
            }
            // Only the row in conflict waits for a scan; the others are tried again.
            Ok(Commit::Conflict(key)) => self.block(now, key),
            Err(_) => rows.into_iter().for_each(|(_, key, _)| self.block(now, key)),
        }
    }

    /// Gives up resources that are better placed at a node that has been live for
    /// a while, or that the cell no longer has.
    ///
    /// Only directly after a committed renewal: a release without a following claim
    /// would leave the resource without an owner for the whole of a table outage.
    fn rebalance(&mut self, now: Ms, view: &View, live: &BTreeSet<Node>) {
        if !self.lease.fresh(now) {
            return;
        }
        let steady = self.settings().steady;
        let settled = |n: &Node| {
            n == self.lease.node()
                || self.nodes.get(n).is_some_and(|k| now.since(k.first) >= steady)
        };
        let steady_nodes: BTreeSet<_> = live.iter().filter(|n| settled(n)).cloned().collect();
        let wanted: BTreeSet<_> = view.resources.iter().collect();
        let moves = |(resource, held): (&Resource, &Held)| {
            let key = resource.key(self.settings());
            let moves = now.since(held.since) >= steady && self.rank(&key, &steady_nodes) > 0;
            (self.open(&key) && (moves || !wanted.contains(resource))).then(|| resource.clone())
        };
        let due: Vec<_> = self.owners.held.iter().filter_map(moves).collect();
        let due = due.into_iter().map(|r| self.give_up(now, r)).collect::<Vec<_>>();
        self.write_rows(now, due.into_iter().flatten().collect());
    }

    /// Drops a resource and gives the write that releases its row.
    fn give_up(&mut self, now: Ms, resource: Resource) -> Option<Claim> {
        let key = resource.key(self.settings());
        if matches!(resource, Resource::Seat { .. }) {
            self.seats_moved = Some(now);
        }
        self.lose(&resource);
        self.owners.free.remove(&resource);
        let fence = self.owners.slots.get(&key)?.row.fence;
        let row = ResourceRow { owner: None, fence, taken: false };
        Some(Claim { resource, key, row, guard: None })
    }

    /// Drops all resources at once, for a graceful shutdown.
    pub(crate) fn release_own(&mut self) {
        let held: Vec<_> = self.owners.held.keys().cloned().collect();
        held.iter().for_each(|r| self.lose(r));
    }

    /// Releases the rows that name this node, then its lease.
    fn drain_rows(&mut self, now: Ms) {
        let me = self.lease.node();
        let own = |(key, slot): (&String, &Slot)| {
            (slot.row.owner.as_ref() == Some(me)).then(|| (key.clone(), slot.row.fence))
        };
        let rows: Vec<_> = self.owners.slots.iter().filter_map(own).collect();
        let assigns = self.ops.values().any(|(_, p)| matches!(p, Pending::Assign { .. }));
        if rows.is_empty() && self.blocked.is_empty() && !assigns {
            return self.leave(now);
        }
        let due = rows.into_iter().filter(|(key, _)| self.open(key)).map(|(key, fence)| Claim {
            resource: Resource::Seat { team: "".into(), index: 0 },
            row: ResourceRow { owner: None, fence, taken: false },
            key,
            guard: None,
        });
        let due = due.collect();
        self.write_rows(now, due);
    }

    /// Deletes rows of incarnations that ended long ago.
    fn sweep(&mut self, now: Ms, live: &BTreeSet<Node>) {
        let sweep = self.settings().sweep;
        let old = self.nodes.iter().filter(|(node, known)| {
            let key = self.settings().node_key(node);
            known.row.state == NodeState::Gone
                && now.since(known.since) >= sweep
                && self.open(&key)
                && !self.holds(node)
                && self.rank(&key, live) == 0
        });
        let old: Vec<_> = old.map(|(n, k)| (n.clone(), k.version)).collect();
        for (node, version) in old {
            let write = Write::delete(self.settings().node_key(&node), Cond::Version(version));
            self.commit(now, vec![write], |_| Pending::Sweep(node));
        }
    }
}
