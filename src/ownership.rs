//! Resources of a cell and what a node knows about their owners.
//!
//! Each resource has a row with its owner and a fence, which increases with each claim. A node
//! holds a resource only after its own claim has committed since its last lease reset; a row
//! that names the node as owner is not sufficient.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::error::Result;
use crate::ids::{Endpoint, Node, Team};
use crate::lease::{AuthorityLevel, LeaseSettings};
use crate::storage::{Cond, Row, Txn};
use crate::time::Ms;

/// A resource, which has at most one owner at any time.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Resource {
    /// The right to send orders to an endpoint.
    Endpoint {
        /// Name of the endpoint.
        name: Endpoint,
        /// Whether the endpoint rejects orders with an outdated fence.
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
    /// Whether the resource rejects orders of a former owner.
    pub fn checks_fence(&self) -> bool {
        matches!(self, Self::Endpoint { checks_fence: true, .. })
    }

    /// Key of the resource's row.
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
    /// The owner; `None` after a release.
    pub owner: Option<Node>,
    /// Number of claims so far.
    pub fence: u64,
    /// Whether the claim was made without a release by the former owner.
    pub taken: bool,
}

/// Kind of an order to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// Runs a request that may be repeated.
    Infer,
    /// Runs a call that must not be repeated.
    NonIdempotent,
    /// Loads an adapter.
    Load,
    /// Evicts an adapter.
    Evict,
}

/// Why an order must not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderDenied {
    /// The node does not own the resource.
    NotOwner,
    /// The node's level of authority is too low.
    Authority(AuthorityLevel),
    /// Permits of the former owner may be in use until this time.
    Settling(Ms),
}

/// Number of an operation, which identifies its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OpId(pub u64);

/// An output that the shell performs. Each operation must be answered exactly once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AuthorityOut {
    /// Commit a transaction and answer with `on_commit`.
    Commit {
        /// Number of the operation.
        op: OpId,
        /// The transaction.
        txn: Txn,
    },
    /// Read all rows whose keys start with the prefix and answer with `on_rows`.
    Scan {
        /// Number of the operation.
        op: OpId,
        /// Prefix of the keys.
        prefix: String,
    },
    /// Read one row and answer with `on_rows`, without rows if it does not exist.
    Get {
        /// Number of the operation.
        op: OpId,
        /// Key of the row.
        key: String,
    },
    /// Request a promise from a peer, with the current time as the sending time.
    AskPromise {
        /// The peer.
        to: Node,
    },
    /// Probe a node on a new connection and answer with `on_probe`.
    Probe {
        /// The node.
        node: Node,
    },
    /// The node has become the owner of a resource.
    Gained {
        /// The resource.
        resource: Resource,
        /// Fence to send with each order.
        fence: u64,
        /// Time until which permits of the former owner may be in use.
        settle_until: Ms,
    },
    /// The node is no longer the owner of a resource.
    Lost {
        /// The resource.
        resource: Resource,
    },
}

/// Another node of the cell, according to the VM list and its heartbeats.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerView {
    /// Name of the incarnation.
    pub node: Node,
    /// Whether the VM list contains the node.
    pub listed: bool,
    /// Whether the platform is removing its VM or the node is shutting down.
    pub leaving: bool,
    /// When its last heartbeat arrived.
    pub heartbeat: Option<Ms>,
    /// Number of renewals in that heartbeat.
    pub counter: u64,
    /// Level of authority in that heartbeat.
    pub level: AuthorityLevel,
}

/// The nodes and resources of the cell as known to the shell. If the VM list cannot be read,
/// the previous list must be kept, because a node that disappears from the list counts as
/// ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CellView {
    /// The other nodes. The node itself is ignored.
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

/// The row of a resource as last read or written.
#[derive(Clone, Debug)]
pub(crate) struct KnownRow {
    pub(crate) version: u64,
    pub(crate) txn: String,
    pub(crate) row: ResourceRow,
}

/// The resources that this node owns and the rows of all resources.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ownership {
    pub(crate) held: BTreeMap<Resource, HeldResource>,
    /// Rows by key.
    pub(crate) rows: BTreeMap<String, KnownRow>,
    /// Highest fence of this node's ended ownerships, by key.
    pub(crate) dropped_fences: BTreeMap<String, u64>,
    /// When each resource was first found free.
    pub(crate) free_since: BTreeMap<Resource, Ms>,
}

impl Ownership {
    /// Checks whether an owner with this level may send the order, and returns the fence.
    pub(crate) fn check_order(
        &self,
        now: Ms,
        level: AuthorityLevel,
        resource: &Resource,
        order: OrderKind,
    ) -> std::result::Result<u64, OrderDenied> {
        let held = self.held.get(resource).ok_or(OrderDenied::NotOwner)?;
        let fenced = resource.checks_fence();
        let endpoint = matches!(resource, Resource::Endpoint { .. });
        let shared = endpoint && order == OrderKind::Infer;
        let least = match endpoint {
            true if fenced || shared => AuthorityLevel::Fenced,
            true => AuthorityLevel::Promised,
            false => AuthorityLevel::Seated,
        };
        if level < least {
            return Err(OrderDenied::Authority(level));
        }
        let settles = order == OrderKind::Evict || !(fenced || shared);
        if settles && now < held.settle_until {
            return Err(OrderDenied::Settling(held.settle_until));
        }
        Ok(held.fence)
    }

    /// Removes a held resource and records its fence.
    pub(crate) fn remove_held(&mut self, resource: &Resource, key: &str) -> bool {
        let Some(held) = self.held.remove(resource) else { return false };
        let fence = self.dropped_fences.entry(key.to_owned()).or_default();
        *fence = held.fence.max(*fence);
        true
    }

    /// Stores a row that was read, unless a newer version is known.
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

    /// Condition that the row has not changed since it was last read or written.
    pub(crate) fn row_cond(&self, key: &str) -> Cond {
        self.rows.get(key).map_or(Cond::Absent, |s| Cond::Version(s.version))
    }
}
