//! Resources of a cell and what a node knows about their owners.
//!
//! A row per resource names its owner and a fence, which grows with each claim.
//! A node holds a resource only after its own claim has committed in the present
//! run of its lease; a row that merely names the node is not enough.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::error::Result;
use crate::ids::{Endpoint, Node, Team};
use crate::lease::{AuthorityLevel, LeaseSettings};
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
pub enum OrderKind {
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
pub enum Denied {
    /// The node does not own the resource.
    NotOwner,
    /// The node's authority does not suffice.
    Authority(AuthorityLevel),
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
    pub level: AuthorityLevel,
}

/// What the shell knows of the cell. A failed reading of the VM list must leave
/// the last list in place: a node that was listed and no longer is counts as ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// The other nodes; the node itself is ignored.
    pub nodes: Vec<PeerView>,
    /// The resources of the cell, each once.
    pub resources: Vec<Resource>,
}

/// A resource that this node owns.
#[derive(Clone, Debug)]
pub(crate) struct Held {
    pub(crate) fence: u64,
    pub(crate) settle: Ms,
    pub(crate) since: Ms,
}

/// A resource's row as last seen.
#[derive(Clone, Debug)]
pub(crate) struct Slot {
    pub(crate) version: u64,
    pub(crate) txn: String,
    pub(crate) row: ResourceRow,
}

/// Ownership as one node knows it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Owners {
    pub(crate) held: BTreeMap<Resource, Held>,
    /// Rows by key.
    pub(crate) slots: BTreeMap<String, Slot>,
    /// Highest fence that this node gave up, by key.
    pub(crate) dropped: BTreeMap<String, u64>,
    /// When a resource was first found free.
    pub(crate) free: BTreeMap<Resource, Ms>,
}

impl Owners {
    /// Checks an order of the owner at `level`.
    pub(crate) fn check(
        &self,
        now: Ms,
        level: AuthorityLevel,
        resource: &Resource,
        order: OrderKind,
    ) -> std::result::Result<u64, Denied> {
        let held = self.held.get(resource).ok_or(Denied::NotOwner)?;
        let fenced = resource.checks_fence();
        let endpoint = matches!(resource, Resource::Endpoint { .. });
        let shared = endpoint && order == OrderKind::Infer;
        let least = match endpoint {
            true if fenced || shared => AuthorityLevel::Fenced,
            true => AuthorityLevel::Promised,
            false => AuthorityLevel::Seated,
        };
        if level < least {
            return Err(Denied::Authority(level));
        }
        let settles = order == OrderKind::Evict || !(fenced || shared);
        if settles && now < held.settle {
            return Err(Denied::Settling(held.settle));
        }
        Ok(held.fence)
    }

    /// Takes a resource out of the held ones and remembers its fence.
    pub(crate) fn drop_held(&mut self, resource: &Resource, key: &str) -> bool {
        let Some(held) = self.held.remove(resource) else { return false };
        let fence = self.dropped.entry(key.to_owned()).or_default();
        *fence = held.fence.max(*fence);
        true
    }

    /// Takes over a row that was read, unless a newer one is known.
    pub(crate) fn learn(&mut self, row: &Row) -> Result<()> {
        if self.slots.get(&row.key).is_some_and(|s| s.version >= row.version) {
            return Ok(());
        }
        let value = serde_json::from_slice(&row.value)
            .map_err(|e| crate::error::Error::platform(&row.key, e))?;
        let slot = Slot { version: row.version, txn: row.txn.clone(), row: value };
        self.slots.insert(row.key.clone(), slot);
        Ok(())
    }

    /// Condition that the row is still as last seen.
    pub(crate) fn cond(&self, key: &str) -> Cond {
        self.slots.get(key).map_or(Cond::Absent, |s| Cond::Version(s.version))
    }
}
