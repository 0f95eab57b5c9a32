//! Evictions, claims and releases: the writes that move resources between nodes.
//!
//! Rendezvous hashing over the live nodes ranks the candidates for each resource. The best
//! candidate claims at once, the others after a delay per rank. A claim is conditional on the
//! last known versions of the resource's row and of its former owner's row, so that neither a
//! non-atomic scan nor a late write can take a resource from a live owner.

use std::collections::{BTreeMap, BTreeSet};

use crate::authority::{Authority, PendingOp, to_json};
use crate::error::Result;
use crate::ids::{Node, stable_hash};
use crate::lease::{AuthorityLevel, NodeRow, NodeState};
use crate::ownership::{AuthorityOut, CellView, HeldResource, KnownRow, Resource, ResourceRow};
use crate::storage::{Commit, Cond, MAX_TXN_WRITES, Write};
use crate::takeover::EvictReason;
use crate::time::Ms;

/// Delay per rank before a node writes an eviction that a higher-ranked node should write.
const EVICT_RANK_DELAY: Ms = Ms(200);

/// Delay before the first claims of a new lease, so that nodes that start together see each
/// other.
const FIRST_CLAIM_DELAY: Ms = Ms::secs(1);

/// A new value for the row of a resource.
struct RowUpdate {
    resource: Resource,
    key: String,
    row: ResourceRow,
    /// Key and condition of the former owner's row; the claim fails if that row has changed.
    owner_check: Option<(String, Cond)>,
}

impl Authority {
    /// Writes the evictions, claims, releases and row deletions that are due.
    pub(crate) fn assign(&mut self, now: Ms, view: &CellView) {
        if !self.scanned {
            return;
        }
        if self.draining {
            return self.release_rows(now);
        }
        self.adopt_claims(now, view);
        let Some(since) = self.lease.full_since(now) else { return };
        let live = self.live_nodes(now, view);
        self.evict_nodes(now, since, &live);
        if now >= since + FIRST_CLAIM_DELAY {
            self.claim_free(now, since, view, &live);
        }
        self.rebalance(now, view, &live);
        self.delete_old_rows(now, &live);
    }

    /// Nodes that can own resources, this one included.
    fn live_nodes(&self, now: Ms, view: &CellView) -> BTreeSet<Node> {
        let leaving = |n: &Node| view.nodes.iter().any(|p| p.node == *n && p.leaving);
        let me = self.lease.node();
        let nodes =
            self.known_nodes.iter().filter(|(n, k)| *n != me && k.live(now, self.settings()));
        nodes.map(|(n, _)| n).filter(|n| !leaving(n)).chain([me]).cloned().collect()
    }

    /// Number of live nodes that rendezvous hashing ranks above this one for the key.
    fn rank(&self, key: &str, live: &BTreeSet<Node>) -> u64 {
        let weight = |n: &Node| (stable_hash(&[n.as_str(), key]), n.clone());
        let own = weight(self.lease.node());
        live.iter().filter(|n| weight(n) > own).count() as u64
    }

    fn writable(&self, key: &str) -> bool {
        let settled = !self.pending_keys.contains(key) && !self.blocked_keys.contains_key(key);
        settled && !self.unreadable_keys.contains(key)
    }

    /// Takes over claims that a scan shows as committed although their answers were lost.
    fn adopt_claims(&mut self, now: Ms, view: &CellView) {
        let me = self.lease.node().clone();
        for resource in &view.resources {
            let key = resource.key(self.settings());
            let Some(known) = self.ownership.rows.get(&key) else { continue };
            let dropped = self.ownership.dropped_fences.get(&key).copied().unwrap_or_default();
            if known.row.owner.as_ref() == Some(&me)
                && known.row.fence > dropped
                && self.is_own_txn(&known.txn)
                && self.writable(&key)
                && !self.ownership.held.contains_key(resource)
            {
                let row = known.row.clone();
                self.record_gain(now, resource, &row);
            }
        }
    }

    fn record_gain(&mut self, now: Ms, resource: &Resource, row: &ResourceRow) {
        let settle_until = if row.taken { now + self.settings().order_lifetime } else { now };
        let held = HeldResource { fence: row.fence, settle_until, since: now };
        self.ownership.held.insert(resource.clone(), held);
        self.ownership.free_since.remove(resource);
        self.outputs.push(AuthorityOut::Gained {
            resource: resource.clone(),
            fence: row.fence,
            settle_until,
        });
    }

    /// Evicts nodes without authority by marking their rows as gone.
    fn evict_nodes(&mut self, now: Ms, since: Ms, live: &BTreeSet<Node>) {
        let me = self.lease.node().clone();
        let settings = self.lease.settings().clone();
        let waited = now >= since + settings.takeover_wait;
        let mut due = Vec::new();
        for (node, known) in self.known_nodes.iter().filter(|(n, _)| **n != me) {
            let reason = known.evict_reason(now, &me, self.probes.get(node), &settings);
            let allowed = match reason {
                None => false,
                Some(EvictReason::Refused) => true,
                Some(_) => waited && !self.promises.forbids_claim(now, node),
            };
            if known.row.state == NodeState::Gone || !allowed {
                self.evictable_since.remove(node);
                continue;
            }
            let key = settings.node_key(node);
            let start = *self.evictable_since.entry(node.clone()).or_insert(now);
            let delay = Ms(EVICT_RANK_DELAY.0 * self.rank(&key, live));
            if now >= start + delay && self.writable(&key) {
                let presumed = reason == Some(EvictReason::Overdue);
                due.push((node.clone(), key, known.clone(), presumed));
            }
        }
        for (node, key, known, presumed) in due {
            let unchanged = known.unchanged();
            let row = NodeRow { state: NodeState::Gone, presumed, ..known.row };
            let write = Write::put(key, unchanged, to_json(&row));
            self.commit(now, vec![write], |_| PendingOp::Evict(node, row));
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
        self.pending_keys.remove(&key);
        match (result, self.known_nodes.get_mut(node)) {
            (Ok(Commit::Done(versions)), Some(known)) => {
                known.version = known.version.max(versions.first().copied());
                known.row = row;
                known.version_since = now;
            }
            _ => self.block_key(now, key),
        }
    }

    /// The claim to a resource that is allowed at present, if any.
    fn possible_claim(
        &self,
        now: Ms,
        since: Ms,
        resource: &Resource,
        key: &str,
    ) -> Option<RowUpdate> {
        let settings = self.settings();
        let me = self.lease.node();
        let row = |fence, taken| ResourceRow { owner: Some(me.clone()), fence, taken };
        let claim = |row, owner_check| {
            Some(RowUpdate { resource: resource.clone(), key: key.to_owned(), row, owner_check })
        };
        let Some(known) = self.ownership.rows.get(key) else { return claim(row(1, false), None) };
        let next = known.row.fence + 1;
        let Some(owner) = &known.row.owner else { return claim(row(next, false), None) };
        if owner == me {
            return claim(row(next, true), None);
        }
        let node = settings.node_key(owner);
        if self.blocked_keys.contains_key(&node) || self.unreadable_keys.contains(&node) {
            return None;
        }
        // The next scan adds the owner, also if it has no row.
        let known = self.known_nodes.get(owner)?;
        let fenced = resource.checks_fence()
            && known.expired(now, settings)
            && now >= since + settings.takeover_wait
            && !self.promises.forbids_claim(now, owner)
            && self.probes.get(owner).and_then(|p| p.report).is_none_or(|(sent, level)| {
                level < AuthorityLevel::Promised || now.since(sent) >= settings.ttl
            });
        let gone = match resource {
            Resource::Endpoint { .. } => known.row.state == NodeState::Gone,
            Resource::Seat { .. } => known.seats_unused(now, self.probes.get(owner), settings),
        };
        (gone || fenced).then(|| claim(row(next, true), Some((node, known.unchanged())))).flatten()
    }

    /// Claims free resources, as many as possible per transaction.
    fn claim_free(&mut self, now: Ms, since: Ms, view: &CellView, live: &BTreeSet<Node>) {
        let mut due = Vec::new();
        for resource in &view.resources {
            let key = resource.key(self.settings());
            if self.ownership.held.contains_key(resource) || !self.writable(&key) {
                continue;
            }
            let Some(claim) = self.possible_claim(now, since, resource, &key) else {
                self.ownership.free_since.remove(resource);
                continue;
            };
            let start = *self.ownership.free_since.entry(resource.clone()).or_insert(now);
            if now >= start + Ms(self.settings().rank_delay.0 * self.rank(&key, live)) {
                due.push(claim);
            }
        }
        self.write_rows(now, due);
    }

    /// Commits row updates in as few transactions as possible.
    fn write_rows(&mut self, now: Ms, mut due: Vec<RowUpdate>) {
        while !due.is_empty() {
            let mut checks = BTreeMap::new();
            let mut count = 0;
            for update in &due {
                let added =
                    update.owner_check.iter().filter(|(k, _)| !checks.contains_key(k)).count();
                if count + 1 + checks.len() + added > MAX_TXN_WRITES {
                    break;
                }
                checks.extend(update.owner_check.clone());
                count += 1;
            }
            let rest = due.split_off(count);
            let put = |u: &RowUpdate| {
                Write::put(u.key.clone(), self.ownership.row_cond(&u.key), to_json(&u.row))
            };
            let mut writes: Vec<_> = due.iter().map(put).collect();
            writes.extend(checks.into_iter().map(|(key, cond)| Write::check(key, cond)));
            let rows = due.into_iter().map(|u| (u.resource, u.key, u.row)).collect();
            self.commit(now, writes, |id| PendingOp::Assign { id: id.to_owned(), writes: rows });
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
            self.pending_keys.remove(key);
        }
        match result {
            Ok(Commit::Done(versions)) => {
                for ((resource, key, row), version) in rows.into_iter().zip(versions) {
                    if row.fence > 1 && matches!(resource, Resource::Seat { .. }) {
                        self.seats_changed = Some(now);
                    }
                    if row.owner.is_some() {
                        self.record_gain(now, &resource, &row);
                    }
                    self.ownership.rows.insert(key, KnownRow { version, txn: id.clone(), row });
                }
            }
            // Only the conflicting row needs another scan; the other updates are retried.
            Ok(Commit::Conflict(key)) => self.block_key(now, key),
            Err(_) => rows.into_iter().for_each(|(_, key, _)| self.block_key(now, key)),
        }
    }

    /// Releases resources that the cell no longer has, or for which a node ranks higher that
    /// has been live for `steady_after`.
    ///
    /// Runs only directly after a committed renewal. If the table service failed between the
    /// release and the other node's claim, the resource would have no owner during the whole
    /// outage.
    fn rebalance(&mut self, now: Ms, view: &CellView, live: &BTreeSet<Node>) {
        if !self.lease.recently_renewed(now) {
            return;
        }
        let steady = self.settings().steady_after;
        let settled = |n: &Node| {
            n == self.lease.node()
                || self.known_nodes.get(n).is_some_and(|k| now.since(k.live_since) >= steady)
        };
        let steady_nodes: BTreeSet<_> = live.iter().filter(|n| settled(n)).cloned().collect();
        let wanted: BTreeSet<_> = view.resources.iter().collect();
        let moves = |(resource, held): (&Resource, &HeldResource)| {
            let key = resource.key(self.settings());
            let moves = now.since(held.since) >= steady && self.rank(&key, &steady_nodes) > 0;
            (self.writable(&key) && (moves || !wanted.contains(resource))).then(|| resource.clone())
        };
        let due: Vec<_> = self.ownership.held.iter().filter_map(moves).collect();
        let due = due.into_iter().map(|r| self.release_resource(now, r)).collect::<Vec<_>>();
        self.write_rows(now, due.into_iter().flatten().collect());
    }

    /// Drops a resource and returns the update that releases its row.
    fn release_resource(&mut self, now: Ms, resource: Resource) -> Option<RowUpdate> {
        let key = resource.key(self.settings());
        if matches!(resource, Resource::Seat { .. }) {
            self.seats_changed = Some(now);
        }
        self.drop_resource(&resource);
        self.ownership.free_since.remove(&resource);
        let fence = self.ownership.rows.get(&key)?.row.fence;
        let row = ResourceRow { owner: None, fence, taken: false };
        Some(RowUpdate { resource, key, row, owner_check: None })
    }

    /// Drops all resources at once, for a graceful shutdown.
    pub(crate) fn drop_all(&mut self) {
        let held: Vec<_> = self.ownership.held.keys().cloned().collect();
        held.iter().for_each(|r| self.drop_resource(r));
    }

    /// Releases all rows that name this node as owner, then the lease.
    fn release_rows(&mut self, now: Ms) {
        let me = self.lease.node();
        let own = |(key, known): (&String, &KnownRow)| {
            (known.row.owner.as_ref() == Some(me)).then(|| (key.clone(), known.row.fence))
        };
        let rows: Vec<_> = self.ownership.rows.iter().filter_map(own).collect();
        let assigns = self.pending_ops.values().any(|(_, p)| matches!(p, PendingOp::Assign { .. }));
        if rows.is_empty() && self.blocked_keys.is_empty() && !assigns {
            return self.release_lease(now);
        }
        let due =
            rows.into_iter().filter(|(key, _)| self.writable(key)).map(|(key, fence)| RowUpdate {
                resource: Resource::Seat { team: "".into(), index: 0 },
                row: ResourceRow { owner: None, fence, taken: false },
                key,
                owner_check: None,
            });
        let due = due.collect();
        self.write_rows(now, due);
    }

    /// Deletes the rows of incarnations that ended at least `sweep_after` ago.
    fn delete_old_rows(&mut self, now: Ms, live: &BTreeSet<Node>) {
        let age = self.settings().sweep_after;
        let old = self.known_nodes.iter().filter(|(node, known)| {
            let key = self.settings().node_key(node);
            known.row.state == NodeState::Gone
                && now.since(known.version_since) >= age
                && self.writable(&key)
                && !self.owns_any(node)
                && self.rank(&key, live) == 0
        });
        let old: Vec<_> = old.filter_map(|(n, k)| Some((n.clone(), k.version?))).collect();
        for (node, version) in old {
            let write = Write::delete(self.settings().node_key(&node), Cond::Version(version));
            self.commit(now, vec![write], |_| PendingOp::DeleteRow(node));
        }
    }
}
