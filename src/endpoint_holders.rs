//! Which node gives orders to an endpoint.
//!
//! A node holds a lease in its row of the table `nodes` and an endpoint by its name
//! in the endpoint's row of `holders`; the version of that row is the fence. Only
//! the lease is renewed. A row of a node that has not changed for the lease's time
//! plus a margin, as this node saw it, has lapsed; its endpoints are claimed after
//! the pause that orders of two holders need. A restarted node takes up its own
//! endpoints at once, because it is the same holder.

use std::rc::Rc;

use crate::endpoint_choice::rendezvous_first;
use crate::failpoint::{Failpoint, active};
use crate::ids::{Map, Set};
use crate::time::Ms;

/// Validity of a lease; longer than most outages of the store.
pub const LEASE_TTL: Ms = Ms(10_000);
/// Interval of renewals.
pub const RENEW_INTERVAL: Ms = Ms(3_000);
/// Time for which a node without a lease still counts for the teams' limits: longer
/// than a cut, behind which it goes on admitting.
pub const COUNTED: Ms = Ms::secs(40);
/// Margin for clocks that run at different rates.
pub const CLOCK_MARGIN: Ms = Ms(1_000);
/// Time that a starting node waits for the rows of others before its first claim.
pub const FIRST_CLAIM_DELAY: Ms = Ms(1_500);

/// A node as its row shows it.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeRecord {
    /// Name.
    pub name: Rc<str>,
    /// Address for datagrams.
    pub address: std::net::SocketAddr,
    /// Version of the row.
    pub version: u64,
    /// Instant at which this version was first seen.
    pub seen: Ms,
}

/// An endpoint's row.
#[derive(Clone, Debug, PartialEq)]
pub struct HolderRecord {
    /// Node that holds it.
    pub node: Rc<str>,
    /// Start of the node's process that claimed it.
    pub start: u64,
    /// Version of the row: the fence.
    pub fence: u64,
}

/// An endpoint that this node may give orders to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mine {
    /// Fence of its orders.
    pub fence: u64,
    /// Instant from which orders may be given.
    pub from: Ms,
}

/// A claim to write.
#[derive(Clone, Debug, PartialEq)]
pub struct HolderClaim {
    /// Endpoint.
    pub endpoint: Rc<str>,
    /// Version that its row must have; 0 if there is none.
    pub expected: u64,
    /// Pause after the claim before the first order.
    pub pause: Ms,
}

/// What this node knows of nodes and holders.
#[derive(Clone, Debug)]
pub struct EndpointHolders {
    name: Rc<str>,
    start: u64,
    turn: Ms,
    begun: Ms,
    /// End of this node's lease.
    valid: Ms,
    /// The node has given its lease up for good.
    released: bool,
    nodes: Map<Rc<str>, NodeRecord>,
    holdings: Map<Rc<str>, HolderRecord>,
    mine: Map<Rc<str>, Mine>,
    /// Pauses of claims that were performed and whose rows have not been read.
    pauses: Map<Rc<str>, Ms>,
    /// Node rows have been read.
    pub nodes_read: bool,
}

impl EndpointHolders {
    /// A node that has started at `start` (wall time) and `now`.
    pub fn new(name: &str, start: u64, turn: Ms, now: Ms) -> Self {
        Self {
            name: Rc::from(name),
            start,
            turn,
            begun: now,
            valid: Ms(0),
            released: false,
            nodes: Map::default(),
            holdings: Map::default(),
            mine: Map::default(),
            pauses: Map::default(),
            nodes_read: false,
        }
    }

    /// A renewal that was sent at `sent` has been acknowledged.
    ///
    /// After a lapse others may hold what this node held, so the holders have to be
    /// read before the next order.
    pub fn on_renewed(&mut self, sent: Ms) {
        if sent >= self.valid {
            self.mine.clear();
            self.pauses.clear();
        }
        if !self.released {
            self.valid = self.valid.max(sent + LEASE_TTL);
        }
    }

    /// Whether this node's lease is valid.
    pub fn has_lease(&self, now: Ms) -> bool {
        now < self.valid
    }

    /// Ends the lease; no orders may be given afterwards.
    pub fn release(&mut self) {
        self.released = true;
        self.valid = Ms(0);
        self.mine.clear();
    }

    /// Adopts the rows of all nodes; names those that are gone.
    pub fn on_nodes(&mut self, now: Ms, rows: Vec<NodeRecord>) {
        self.nodes_read = true;
        let mut old = std::mem::take(&mut self.nodes);
        for mut row in rows {
            match old.remove(&row.name) {
                Some(o) if o.version == row.version => row.seen = o.seen,
                _ => row.seen = now,
            }
            self.nodes.insert(row.name.clone(), row);
        }
    }

    /// Adopts the rows of all holders.
    pub fn on_holders(&mut self, now: Ms, rows: Vec<(Rc<str>, HolderRecord)>) {
        self.holdings = rows.into_iter().collect();
        let (name, start) = (self.name.clone(), self.start);
        let holdings = &self.holdings;
        let own = |h: &HolderRecord| h.node == name && h.start == start;
        self.mine.retain(|id, m| holdings.get(id).is_some_and(|h| own(h) && h.fence == m.fence));
        for (id, h) in holdings {
            // Without a pause: a claim whose answer was lost, or a lease regained.
            if own(h) && !self.mine.contains_key(id) {
                let from = now + self.pauses.remove(id).unwrap_or(self.turn);
                self.mine.insert(id.clone(), Mine { fence: h.fence, from });
            }
        }
    }

    /// A claim has been performed; its fence is read with the holders.
    pub fn on_claimed(&mut self, claim: &HolderClaim) {
        self.mine.remove(&claim.endpoint);
        self.pauses.insert(claim.endpoint.clone(), claim.pause);
    }

    /// Nodes that may be admitting requests, with a lease or without.
    pub fn counted_nodes(&self, now: Ms) -> impl Iterator<Item = &NodeRecord> {
        self.nodes.values().filter(move |n| now.since(n.seen) < COUNTED)
    }

    /// Nodes whose leases have not lapsed.
    pub fn live_nodes(&self, now: Ms) -> impl Iterator<Item = &NodeRecord> {
        self.nodes.values().filter(move |n| now.since(n.seen) < LEASE_TTL + CLOCK_MARGIN)
    }

    /// Whether a node has a row.
    pub fn has_node(&self, node: &str) -> bool {
        self.nodes.contains_key(node)
    }

    /// Whether a node's row shows it alive.
    fn lives(&self, now: Ms, node: &str) -> bool {
        self.nodes.get(node).is_some_and(|n| now.since(n.seen) < LEASE_TTL + CLOCK_MARGIN)
    }

    /// Fence of orders to an endpoint, if this node may give them now.
    pub fn fence(&self, now: Ms, endpoint: &str) -> Option<u64> {
        let mine = self.mine.get(endpoint)?;
        let may = self.has_lease(now) && now >= mine.from;
        (may || active(Failpoint::IgnoreFence)).then_some(mine.fence)
    }

    /// Endpoints that this node holds.
    pub fn held_endpoints(&self) -> impl Iterator<Item = &Rc<str>> {
        self.mine.keys()
    }

    /// Claims to write for the endpoints of engines: id and failure domain.
    pub fn due_claims(&self, now: Ms, engines: &[Rc<str>]) -> Vec<HolderClaim> {
        if !self.has_lease(now) || !self.nodes_read {
            return Vec::new();
        }
        // Before that, other nodes that start as well may not be on the list.
        let settled = now.since(self.begun) >= FIRST_CLAIM_DELAY;
        let mut names: Vec<&str> = self.live_nodes(now).map(|n| &*n.name).collect();
        names.sort_unstable();
        let mut counts: Map<&str, usize> = Map::default();
        let held: Set<&str> = engines.iter().map(|e| &**e).collect();
        for (id, h) in &self.holdings {
            if held.contains(&**id) {
                *counts.entry(&*h.node).or_default() += 1;
            }
        }
        let most = engines.len().div_ceil(names.len().max(1));
        let mut out = Vec::new();
        let mut own = self.mine.len();
        for id in engines {
            if self.mine.contains_key(id) {
                continue;
            }
            let claim = |expected, pause| HolderClaim { endpoint: id.clone(), expected, pause };
            match self.holdings.get(id) {
                // The same machine before a restart of its process.
                Some(h) if h.node == self.name => out.push(claim(h.fence, Ms(0))),
                Some(h) if self.lives(now, &h.node) => {}
                _ if !settled => {}
                Some(h) => {
                    if self.proposed(&names, &counts, most, id) == Some(&*self.name) {
                        out.push(claim(h.fence, self.turn));
                        own += 1;
                    }
                }
                None => {
                    if self.proposed(&names, &counts, most, id) == Some(&*self.name) && own < most {
                        out.push(claim(0, Ms(0)));
                        own += 1;
                    }
                }
            }
        }
        out
    }

    /// The node that should claim an endpoint: its home among nodes with room.
    fn proposed<'a>(
        &self,
        names: &[&'a str],
        counts: &Map<&str, usize>,
        most: usize,
        id: &str,
    ) -> Option<&'a str> {
        let room = |n: &&&str| counts.get(**n).copied().unwrap_or(0) < most;
        let open = names.iter().filter(room).copied();
        rendezvous_first(id, open).or_else(|| rendezvous_first(id, names.iter().copied()))
    }
}
