//! Resources of a cell and what a node knows about their owners.
//!
//! A row per resource names its owner and a fence, which grows with each claim.
//! A node holds a resource only after its own claim has committed in the present
//! run of its lease; a row that merely names the node is not enough.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::error::Result;
use crate::ids::{Endpoint, Node, Team};
use crate::lease::{LeaseSettings, Level};
use crate::storage::{Cond, Row, Txn};
use crate::time::Ms;

/// What one node at a time owns.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Resource {
    /// The right to give orders to an endpoint.
    Endpoint {
        /// Name of the endpoint.
        name: Endpoint,
        /// Whether it refuses orders with an old fence.
        checks_fence: bool,
    },
    /// A share of a team's rate.
    Seat {
        /// The team.
        team: Team,
        /// Number of the seat.
        index: u32,
    },
}

impl Resource {
    /// Whether orders of a former owner are refused.
    pub fn checks_fence(&self) -> bool {
        matches!(self, Self::Endpoint { checks_fence: true, .. })
    }

    /// Key of the row.
    pub fn key(&self, settings: &LeaseSettings) -> String {
        let cell = &settings.cell;
        match self {
            Self::Endpoint { name, .. } => format!("cell/{cell}/endpoint/{name}"),
            Self::Seat { team, index } => format!("cell/{cell}/seat/{team}/{index}"),
        }
    }
}

/// Value of a resource's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResourceRow {
    /// The owner; `None` once released.
    pub owner: Option<Node>,
    /// Number of claims so far.
    pub fence: u64,
    /// Whether the claim took the resource from an owner that had not released it.
    pub taken: bool,
}

/// Kind of an order to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Runs a repeatable request.
    Infer,
    /// Runs a call that must not be repeated.
    NonIdempotent,
    /// Loads an adapter.
    Load,
    /// Evicts an adapter.
    Evict,
}

/// Why an order may not leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderDenied {
    /// The node does not own the resource.
    NotOwner,
    /// The node's authority does not suffice.
    Authority(Level),
    /// Permits of the former owner may still run until the instant.
    Settling(Ms),
}

/// Number of an operation, to match its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OpId(pub u64);

/// What the shell performs. The answer to an operation is due exactly once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AuthorityOut {
    /// Commit a transaction; answer with `on_commit`.
    Commit {
        /// Number of the operation.
        op: OpId,
        /// The transaction.
        txn: Txn,
    },
    /// Read all rows of the prefix; answer with `on_rows`.
    Scan {
        /// Number of the operation.
        op: OpId,
        /// Start of the keys.
        prefix: String,
    },
    /// Read one row; answer with `on_rows`, without rows where it is absent.
    Get {
        /// Number of the operation.
        op: OpId,
        /// Key of the row.
        key: String,
    },
    /// Ask a peer for a promise, with the present instant as sending time.
    AskPromise {
        /// The peer.
        to: Node,
    },
    /// Probe a node on a fresh connection; answer with `on_probe`.
    Probe {
        /// The node.
        node: Node,
    },
    /// The node owns a resource from now on.
    Gained {
        /// The resource.
        resource: Resource,
        /// Fence to send with every order.
        fence: u64,
        /// Instant before which permits of the former owner may still run.
        settle_until: Ms,
    },
    /// The node no longer owns a resource.
    Lost {
        /// The resource.
        resource: Resource,
    },
}

/// A node of the cell, as the VM list and its heartbeats show it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerView {
    /// Name of the incarnation.
    pub node: Node,
    /// Whether the VM list shows it as live.
    pub listed: bool,
    /// Whether its VM is being taken away or the node is shutting down.
    pub leaving: bool,
    /// When its last heartbeat arrived.
    pub heartbeat: Option<Ms>,
    /// Renewal counter of that heartbeat.
    pub counter: u64,
    /// Level of that heartbeat.
    pub level: Level,
}

/// What the shell knows of the cell. A failed reading of the VM list must leave
/// the last list in place: a node that was listed and no longer is counts as ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CellView {
    /// The other nodes; the node itself is ignored.
    pub nodes: Vec<PeerView>,
    /// The resources of the cell, each once.
    pub resources: Vec<Resource>,
}

/// A resource that this node owns.
#[derive(Clone, Debug)]
pub(crate) struct HeldResource {
    pub(crate) fence: u64,
    pub(crate) settle_until: Ms,
    pub(crate) since: Ms,
}

/// A resource's row as last seen.
#[derive(Clone, Debug)]
pub(crate) struct KnownRow {
    pub(crate) version: u64,
    pub(crate) txn: String,
    pub(crate) row: ResourceRow,
}

/// Ownership as one node knows it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ownership {
    pub(crate) held: BTreeMap<Resource, HeldResource>,
    /// Rows by key.
    pub(crate) rows: BTreeMap<String, KnownRow>,
    /// Highest fence that this node gave up, by key.
    pub(crate) dropped_fences: BTreeMap<String, u64>,
    /// When a resource was first found free.
    pub(crate) free_since: BTreeMap<Resource, Ms>,
}

impl Ownership {
    /// Checks an order of the owner at `level`.
    pub(crate) fn check_order(
        &self,
        now: Ms,
        level: Level,
        resource: &Resource,
        order: Order,
    ) -> std::result::Result<u64, OrderDenied> {
        let held = self.held.get(resource).ok_or(OrderDenied::NotOwner)?;
        let fenced = resource.checks_fence();
        let endpoint = matches!(resource, Resource::Endpoint { .. });
        let shared = endpoint && order == Order::Infer;
        let least = match endpoint {
            true if fenced || shared => Level::Fenced,
            true => Level::Promised,
            false => Level::Seated,
        };
        if level < least {
            return Err(OrderDenied::Authority(level));
        }
        let settles = order == Order::Evict || !(fenced || shared);
        if settles && now < held.settle_until {
            return Err(OrderDenied::Settling(held.settle_until));
        }
        Ok(held.fence)
    }

    /// Takes a resource out of the held ones and remembers its fence.
    pub(crate) fn remove_held(&mut self, resource: &Resource, key: &str) -> bool {
        let Some(held) = self.held.remove(resource) else { return false };
        let fence = self.dropped_fences.entry(key.to_owned()).or_default();
        *fence = held.fence.max(*fence);
        true
    }

    /// Takes over a row that was read, unless a newer one is known.
    pub(crate) fn update_row(&mut self, row: &Row) -> Result<()> {
        if self.rows.get(&row.key).is_some_and(|s| s.version >= row.version) {
            return Ok(());
        }
        let value = serde_json::from_slice(&row.value)
            .map_err(|e| crate::error::Error::platform(&row.key, e))?;
        let known = KnownRow { version: row.version, txn: row.txn.clone(), row: value };
        self.rows.insert(row.key.clone(), known);
        Ok(())
    }

    /// Condition that the row is still as last seen.
    pub(crate) fn row_cond(&self, key: &str) -> Cond {
        self.rows.get(key).map_or(Cond::Absent, |s| Cond::Version(s.version))
    }
}
