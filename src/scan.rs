//! Scans of the cell's rows.

use std::collections::{BTreeMap, BTreeSet};

use crate::authority::{Authority, PendingOp};
use crate::ids::Node;
use crate::lease::{NodeRow, NodeState};
use crate::ownership::{AuthorityOut, CellView, OpId, Resource};
use crate::storage::Row;
use crate::takeover::KnownNode;
use crate::time::Ms;

/// Minimum time between two scans.
const MIN_SCAN_INTERVAL: Ms = Ms(100);

impl Authority {
    /// Starts a scan if one is due.
    pub(crate) fn scan(&mut self, now: Ms, view: &CellView) {
        let idle = self.last_scan.map_or(Ms(u64::MAX), |at| now.since(at));
        let due = now >= self.next_scan && idle >= MIN_SCAN_INTERVAL;
        let fast = idle >= self.settings().fast_scan && self.any_suspect(now, view);
        let running = self.pending_ops.values().any(|(_, p)| matches!(p, PendingOp::Scan));
        if running || !(due || fast) {
            return;
        }
        self.next_scan = now + self.settings().scan_interval;
        self.last_scan = Some(now);
        let op = self.next_op();
        self.pending_ops.insert(op, (now, PendingOp::Scan));
        self.outputs.push(AuthorityOut::Scan { op, prefix: self.settings().prefix() });
    }

    /// Whether another node is silent and not evicted, or still owns resources while it shuts
    /// down.
    fn any_suspect(&self, now: Ms, view: &CellView) -> bool {
        let me = self.lease.node();
        self.known_nodes.iter().filter(|(node, _)| *node != me).any(|(node, known)| {
            let peer = view.nodes.iter().find(|p| p.node == *node);
            let beat = peer.and_then(|p| p.heartbeat);
            let silent = beat.is_none_or(|at| now.since(at) >= self.settings().suspect_after);
            let leaves = peer.is_some_and(|p| p.leaving) || known.row.state == NodeState::Draining;
            (silent && known.row.state != NodeState::Gone) || (leaves && self.owns_any(node))
        })
    }

    /// Whether the row of any resource names the node as owner.
    pub(crate) fn owns_any(&self, node: &Node) -> bool {
        self.ownership.rows.values().any(|s| s.row.owner.as_ref() == Some(node))
    }

    /// Updates nodes and resources from the rows that scan `op` returned.
    pub(crate) fn on_scan(&mut self, now: Ms, op: OpId, rows: &[Row]) {
        let settings = self.lease.settings().clone();
        // After a long gap between scans, the expiry of unchanged rows starts again, so that
        // holders can renew before another node claims their resources.
        if self.scan_answered.is_none_or(|at| now.since(at) >= settings.ttl + settings.ttl) {
            self.known_nodes.values_mut().for_each(|known| known.version_since = now);
        }
        self.scan_answered = Some(now);
        self.scanned = true;
        self.blocked_keys.retain(|_, least| op < *least);
        self.unreadable_keys.clear();
        let prefix = format!("{}node/", settings.prefix());
        let seats = format!("{}seat/", settings.prefix());
        let mut present = BTreeMap::new();
        for row in rows {
            if let Some(name) = row.key.strip_prefix(&prefix) {
                present.insert(Node::new(name), row);
                continue;
            }
            let news = self.ownership.rows.get(&row.key).is_none_or(|s| s.version < row.version);
            if news && row.key.starts_with(&seats) {
                self.seats_changed = Some(now);
            }
            if self.ownership.update_row(row).is_err() {
                // No node claims a resource whose row cannot be decoded.
                self.unreadable_keys.insert(row.key.clone());
            }
        }
        self.note_missing_rows(now, &present);
        for (node, row) in present {
            self.update_node(now, node, row);
        }
        self.drop_lost();
        if let Some(known) = self.known_nodes.get(self.lease.node())
            && known.row.state == NodeState::Gone
            && self.lease.version.is_some_and(|v| Some(v) < known.version)
        {
            self.recheck_row = true;
            self.lease.next_renewal = self.lease.next_renewal.min(now);
        }
    }

    /// Forgets nodes without a row, except those that own resources.
    fn note_missing_rows(&mut self, now: Ms, present: &BTreeMap<Node, &Row>) {
        let me = self.lease.node();
        let owners = self.ownership.rows.values().filter_map(|s| s.row.owner.as_ref());
        let missing: BTreeSet<Node> =
            owners.filter(|n| *n != me && !present.contains_key(*n)).cloned().collect();
        self.known_nodes.retain(|node, _| present.contains_key(node) || missing.contains(node));
        for node in missing {
            let known = self.known_nodes.entry(node).or_insert_with(|| KnownNode::without_row(now));
            if known.version.is_some() {
                *known = KnownNode::without_row(now);
            }
        }
    }

    fn update_node(&mut self, now: Ms, node: Node, row: &Row) {
        let Ok(value) = serde_json::from_slice::<NodeRow>(&row.value) else {
            self.unreadable_keys.insert(row.key.clone());
            return;
        };
        match self.known_nodes.get_mut(&node) {
            Some(known) if known.version >= Some(row.version) => {}
            Some(known) => {
                if known.row.state == NodeState::Gone {
                    known.live_since = now;
                }
                known.row = value;
                known.version = Some(row.version);
                known.version_since = now;
                self.evictable_since.remove(&node);
            }
            None => {
                let known = KnownNode {
                    row: value,
                    version: Some(row.version),
                    version_since: now,
                    live_since: now,
                };
                self.known_nodes.insert(node, known);
            }
        }
    }

    /// Drops held resources whose rows show a later fence or another owner.
    fn drop_lost(&mut self) {
        let me = self.lease.node();
        let gone = |(resource, fence): (&Resource, u64)| {
            let known = self.ownership.rows.get(&resource.key(self.settings()))?;
            let kept = known.row.fence < fence
                || (known.row.fence == fence && known.row.owner.as_ref() == Some(me));
            (!kept).then(|| resource.clone())
        };
        let lost: Vec<_> = self.owned().filter_map(gone).collect();
        lost.iter().for_each(|resource| self.drop_resource(resource));
    }
}
