//! Endpoints and nodes of the cell, as known to one node.
//!
//! Addresses come from the platform's VM list and the node's settings, load views and owners
//! from the heartbeats of the owners.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::cell_placement::{Costs, LoadView};
use crate::cell_router::CellRouter;
use crate::failpoint::{Failpoint, active};
use crate::ids::{Endpoint, Map, Node};
use crate::lease::AuthorityLevel;
use crate::node_settings::{Role, Settings};
use crate::ownership::{PeerView, Resource};
use crate::storage::Vm;
use crate::time::Ms;

/// Maximum age of a load view for its endpoint to count as owned.
///
/// Ten heartbeats, which is shorter than a takeover and longer than usual pauses of an owner.
const MAX_VIEW_AGE: Ms = Ms::secs(5);

/// Request rate at this node for which an adapter gets one more replica.
const REQUESTS_PER_S_PER_REPLICA: f64 = 4.0;

/// An endpoint of the cell.
#[derive(Clone, Debug)]
pub(crate) struct EndpointRow {
    /// Name of the endpoint.
    pub(crate) name: Endpoint,
    /// Address of its HTTP interface.
    pub(crate) addr: SocketAddr,
    /// Whether it is an engine or a service.
    pub(crate) role: Role,
    /// Pool in the configuration document.
    pub(crate) pool: Arc<str>,
    /// Number of adapter slots.
    pub(crate) slots: u32,
    /// Maximum number of concurrent attempts.
    pub(crate) batch: u32,
    /// Whether it rejects orders with an outdated fence.
    pub(crate) checks_fence: bool,
    /// Failure domain.
    pub(crate) domain: Arc<str>,
    /// Whether the platform is removing it.
    pub(crate) leaving: bool,
    /// Owner, according to the owner's heartbeat.
    pub(crate) owner: Option<Node>,
    /// Fence of that owner.
    pub(crate) fence: u64,
    /// Load, according to the owner's heartbeat.
    pub(crate) view: LoadView,
    /// When that heartbeat arrived.
    pub(crate) heartbeat_at: Ms,
}

impl EndpointRow {
    /// The owner, unless its last heartbeat is too old.
    pub(crate) fn live_owner(&self, now: Ms) -> Option<&Node> {
        self.owner.as_ref().filter(|_| now.since(self.heartbeat_at) < MAX_VIEW_AGE)
    }

    /// The resource that the owner holds.
    pub(crate) fn resource(&self) -> Resource {
        Resource::Endpoint { name: self.name.clone(), checks_fence: self.checks_fence }
    }
}

/// Another node of the cell.
#[derive(Clone, Debug)]
pub(crate) struct PeerRow {
    /// Incarnation; `None` until a link has been established.
    pub(crate) node: Option<Node>,
    /// Address for links between nodes.
    pub(crate) addr: SocketAddr,
    /// Whether the platform is removing its VM.
    pub(crate) leaving: bool,
    /// Whether it reports that it is shutting down.
    pub(crate) draining: bool,
    /// When its last heartbeat arrived.
    pub(crate) heard: Option<Ms>,
    /// Number of renewals in that heartbeat.
    pub(crate) counter: u64,
    /// Level of authority in that heartbeat.
    pub(crate) level: AuthorityLevel,
    /// Configuration serial in that heartbeat.
    pub(crate) serial: u64,
}

/// Endpoints of one pool.
#[derive(Debug)]
pub(crate) struct Pool {
    /// Names, in the order of their positions in `cell`.
    pub(crate) members: Vec<Endpoint>,
    /// Load views and adapter replicas, for routing.
    pub(crate) cell: CellRouter,
}

/// The endpoints, pools and peers of the cell.
#[derive(Debug, Default)]
pub(crate) struct Membership {
    endpoints: Vec<EndpointRow>,
    index: Map<Endpoint, usize>,
    pools: BTreeMap<Arc<str>, Pool>,
    peers: BTreeMap<String, PeerRow>,
}

/// Name of a node's VM, which is the name of the incarnation without its suffix.
pub(crate) fn vm_name(node: &Node) -> &str {
    node.as_str().rsplit_once('.').map_or(node.as_str(), |(vm, _)| vm)
}

impl Membership {
    /// Removes the owner of an endpoint if it is the given node, which has denied the
    /// ownership.
    pub(crate) fn forget_owner(&mut self, endpoint: &Endpoint, owner: &Node) {
        let Some(index) = self.index.get(endpoint) else { return };
        let row = &mut self.endpoints[*index];
        if row.owner.as_ref() != Some(owner) {
            return;
        }
        row.owner = None;
        if let Some(pool) = self.pools.get_mut(&row.pool)
            && let Ok(at) = pool.members.binary_search(&row.name)
        {
            pool.cell.set_unowned(at);
        }
    }

    /// Applies the platform's VM list and keeps known owners and load views.
    pub(crate) fn set_vms(&mut self, me: &str, vms: &[Vm], settings: &Settings) {
        let mut rows: BTreeMap<Endpoint, EndpointRow> = BTreeMap::new();
        for s in &settings.endpoints {
            if let Some(addr) = s.address.filter(|_| !s.name.ends_with('*')) {
                self.insert_row(&mut rows, &s.name, addr, false, settings);
            }
        }
        for vm in vms.iter().filter(|vm| vm.role != "node") {
            self.insert_row(&mut rows, &vm.name, vm.addr, vm.leaving, settings);
        }
        self.endpoints = rows.into_values().collect();
        self.index = self.endpoints.iter().enumerate().map(|(i, e)| (e.name.clone(), i)).collect();
        self.rebuild_pools(&settings.domain);
        self.set_peers(me, vms);
    }

    /// Rebuilds the pools whose members have changed; other pools keep their state.
    fn rebuild_pools(&mut self, domain: &str) {
        let mut members: BTreeMap<Arc<str>, Vec<Endpoint>> = BTreeMap::new();
        for e in &self.endpoints {
            members.entry(e.pool.clone()).or_default().push(e.name.clone());
        }
        self.pools.retain(|name, pool| members.get(name) == Some(&pool.members));
        for (name, members) in members {
            if !self.pools.contains_key(&name) {
                let rows = members.iter().filter_map(|m| self.endpoint(m));
                let list: Vec<_> =
                    rows.map(|e| (e.name.clone(), e.batch, *e.domain == *domain)).collect();
                let cell = CellRouter::new(&list, Costs::default(), REQUESTS_PER_S_PER_REPLICA);
                self.pools.insert(name, Pool { members, cell });
            }
        }
        for e in 0..self.endpoints.len() {
            self.update_pool(e);
        }
    }

    /// Passes the current load view of an endpoint to its pool.
    fn update_pool(&mut self, index: usize) {
        let row = &self.endpoints[index];
        let Some(pool) = self.pools.get_mut(&row.pool) else { return };
        let Ok(at) = pool.members.binary_search(&row.name) else { return };
        if row.owner.is_some() {
            let mut view = row.view.clone();
            view.leaving |= row.leaving && !active(Failpoint::GrantLeaving);
            pool.cell.on_view(row.heartbeat_at, at, view);
        }
    }

    /// Applies a change to the load view of an endpoint, as reported by its owner.
    pub(crate) fn update_view(
        &mut self,
        now: Ms,
        name: &Endpoint,
        owner: &Node,
        fence: u64,
        change: impl FnOnce(&mut LoadView),
    ) {
        let Some(index) = self.index.get(name).copied() else { return };
        let row = &mut self.endpoints[index];
        row.owner = Some(owner.clone());
        row.fence = fence;
        row.heartbeat_at = now;
        change(&mut row.view);
        self.update_pool(index);
    }

    /// Excludes endpoints without recent heartbeats of their owners from routing.
    pub(crate) fn expire_views(&mut self, now: Ms) {
        for row in &self.endpoints {
            if row.live_owner(now).is_none()
                && let Some(pool) = self.pools.get_mut(&row.pool)
                && let Ok(at) = pool.members.binary_search(&row.name)
            {
                pool.cell.set_unowned(at);
            }
        }
    }

    fn insert_row(
        &self,
        rows: &mut BTreeMap<Endpoint, EndpointRow>,
        name: &str,
        addr: SocketAddr,
        leaving: bool,
        settings: &Settings,
    ) {
        let Some(s) = settings.endpoint(name) else { return };
        let known = self.index.get(name).map(|i| &self.endpoints[*i]);
        let row = EndpointRow {
            name: name.into(),
            addr,
            role: s.role,
            pool: Arc::from(s.pool.as_str()),
            slots: s.slots,
            batch: s.max_running,
            checks_fence: s.checks_fence,
            domain: Arc::from(s.domain.as_str()),
            leaving,
            owner: known.and_then(|k| k.owner.clone()),
            fence: known.map_or(0, |k| k.fence),
            view: known.map_or_else(LoadView::default, |k| k.view.clone()),
            heartbeat_at: known.map_or(Ms(0), |k| k.heartbeat_at),
        };
        rows.insert(row.name.clone(), row);
    }

    fn set_peers(&mut self, me: &str, vms: &[Vm]) {
        let listed = |name: &str| vms.iter().any(|v| v.role == "node" && v.name == name);
        self.peers.retain(|name, _| listed(name));
        for vm in vms.iter().filter(|v| v.role == "node" && v.name != me) {
            let row = self.peers.entry(vm.name.clone()).or_insert_with(|| PeerRow {
                node: None,
                addr: vm.addr,
                leaving: false,
                draining: false,
                heard: None,
                counter: 0,
                level: AuthorityLevel::None,
                serial: 0,
            });
            row.addr = vm.addr;
            row.leaving = vm.leaving;
        }
    }

    /// Discards the request rates of idle adapters.
    pub(crate) fn forget_idle_adapters(&mut self, now: Ms) {
        for pool in self.pools.values_mut() {
            pool.cell.drop_idle_rates(now);
        }
    }

    /// All endpoints, ordered by name.
    pub(crate) fn endpoints(&self) -> &[EndpointRow] {
        &self.endpoints
    }

    /// The endpoint with this name.
    pub(crate) fn endpoint(&self, name: &Endpoint) -> Option<&EndpointRow> {
        self.index.get(name).map(|i| &self.endpoints[*i])
    }

    /// The pool with this name.
    pub(crate) fn pool_mut(&mut self, name: &str) -> Option<&mut Pool> {
        self.pools.get_mut(name)
    }

    /// The other nodes, by the name of their VM.
    pub(crate) fn peers(&self) -> &BTreeMap<String, PeerRow> {
        &self.peers
    }

    /// The entry of a listed node, updated to the given incarnation.
    pub(crate) fn peer_mut(&mut self, node: &Node) -> Option<&mut PeerRow> {
        let row = self.peers.get_mut(vm_name(node))?;
        if row.node.as_ref() != Some(node) {
            row.node = Some(node.clone());
            row.heard = None;
            row.counter = 0;
            row.level = AuthorityLevel::None;
        }
        Some(row)
    }

    /// The peers in the form used by the authority module.
    pub(crate) fn peer_views(&self) -> Vec<PeerView> {
        let view = |p: &PeerRow| {
            Some(PeerView {
                node: p.node.clone()?,
                listed: true,
                leaving: p.leaving || p.draining,
                heartbeat: p.heard,
                counter: p.counter,
                level: p.level,
            })
        };
        self.peers.values().filter_map(view).collect()
    }
}
