//! Scans of the cell's rows: when they are due and what they show.

use std::collections::BTreeMap;

use crate::authority::{Authority, Pending};
use crate::ids::Node;
use crate::lease::{NodeRow, NodeState};
use crate::ownership::{AuthorityOut, OpId, Resource, View};
use crate::storage::Row;
use crate::takeover::Known;
use crate::time::Ms;

/// Shortest time between two scans.
const MIN_GAP: Ms = Ms(100);

impl Authority {
    /// Starts a scan when one is due.
    pub(crate) fn scan(&mut self, now: Ms, view: &View) {
        let idle = self.scan_last.map_or(Ms(u64::MAX), |at| now.since(at));
        let due = now >= self.scan_next && idle >= MIN_GAP;
        let hurry = idle >= self.settings().hurry && self.suspects(now, view);
        let running = self.ops.values().any(|(_, p)| matches!(p, Pending::Scan));
        if running || !(due || hurry) {
            return;
        }
        self.scan_next = now + self.settings().scan;
        self.scan_last = Some(now);
        let op = self.next_op();
        self.ops.insert(op, (now, Pending::Scan));
        self.out.push(AuthorityOut::Scan { op, prefix: self.settings().prefix() });
    }

    /// Whether another node is silent and not yet evicted, or gives up resources.
    fn suspects(&self, now: Ms, view: &View) -> bool {
        let me = self.lease.node();
        self.nodes.iter().filter(|(node, _)| *node != me).any(|(node, known)| {
            let peer = view.nodes.iter().find(|p| p.node == *node);
            let beat = peer.and_then(|p| p.heartbeat);
            let silent = beat.is_none_or(|at| now.since(at) >= self.settings().suspect);
            let leaves = peer.is_some_and(|p| p.leaving) || known.row.state == NodeState::Draining;
            (silent && known.row.state != NodeState::Gone) || (leaves && self.holds(node))
        })
    }

    /// Whether a row names the node as owner.
    pub(crate) fn holds(&self, node: &Node) -> bool {
        self.owners.slots.values().any(|s| s.row.owner.as_ref() == Some(node))
    }

    /// Takes in the rows that the scan `op` read.
    pub(crate) fn on_scan(&mut self, now: Ms, op: OpId, rows: &[Row]) {
        let settings = self.lease.settings().clone();
        // After a gap, unchanged rows are observed afresh, so that holders can
        // renew before anyone claims from them.
        if self.seen_last.is_none_or(|at| now.since(at) >= settings.ttl + settings.ttl) {
            self.nodes.values_mut().for_each(|known| known.since = now);
        }
        self.seen_last = Some(now);
        self.scanned = true;
        self.blocked.retain(|_, least| op < *least);
        self.unreadable.clear();
        let prefix = format!("{}node/", settings.prefix());
        let seats = format!("{}seat/", settings.prefix());
        let mut present = BTreeMap::new();
        for row in rows {
            if let Some(name) = row.key.strip_prefix(&prefix) {
                present.insert(Node::new(name), row);
                continue;
            }
            let news = self.owners.slots.get(&row.key).is_none_or(|s| s.version < row.version);
            if news && row.key.starts_with(&seats) {
                self.seats_moved = Some(now);
            }
            if self.owners.learn(row).is_err() {
                // Nobody claims a resource whose row cannot be decoded.
                self.unreadable.insert(row.key.clone());
            }
        }
        self.nodes.retain(|node, _| present.contains_key(node));
        for (node, row) in present {
            self.learn_node(now, node, row);
        }
        self.find_losses();
        if let Some(known) = self.nodes.get(self.lease.node())
            && known.row.state == NodeState::Gone
            && self.lease.version.is_some_and(|v| v < known.version)
        {
            self.unsure = true;
            self.lease.next = self.lease.next.min(now);
        }
    }

    fn learn_node(&mut self, now: Ms, node: Node, row: &Row) {
        let Ok(value) = serde_json::from_slice::<NodeRow>(&row.value) else {
            self.unreadable.insert(row.key.clone());
            return;
        };
        match self.nodes.get_mut(&node) {
            Some(known) if known.version >= row.version => {}
            Some(known) => {
                if known.row.state == NodeState::Gone {
                    known.first = now;
                }
                known.row = value;
                known.version = row.version;
                known.since = now;
                self.ripe.remove(&node);
            }
            None => {
                let known = Known { row: value, version: row.version, since: now, first: now };
                self.nodes.insert(node, known);
            }
        }
    }

    /// Drops held resources whose rows name a later fence or another owner.
    fn find_losses(&mut self) {
        let me = self.lease.node();
        let gone = |(resource, fence): (&Resource, u64)| {
            let slot = self.owners.slots.get(&resource.key(self.settings()))?;
            let kept = slot.row.fence < fence
                || (slot.row.fence == fence && slot.row.owner.as_ref() == Some(me));
            (!kept).then(|| resource.clone())
        };
        let lost: Vec<_> = self.owned().filter_map(gone).collect();
        lost.iter().for_each(|resource| self.lose(resource));
    }
}
