//! Endpoints and nodes of the cell as one node knows them.
//!
//! Addresses come from the platform's list and the node's settings, load views
//! and owners from the heartbeats of the owners.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::cell_placement::{Costs, LoadView};
use crate::cell_router::CellRouter;
use crate::failpoint::{Failpoint, active};
use crate::ids::{Endpoint, Map, Node};
use crate::lease::AuthorityLevel;
use crate::ownership::{PeerView, Resource};
use crate::settings::{Role, Settings};
use crate::storage::Vm;
use crate::time::Ms;

/// Age from which a load view no longer proves that the endpoint has an owner.
///
/// Ten heartbeats: shorter than a takeover, longer than a pause of the owner.
const VIEW_LIFE: Ms = Ms::secs(5);

/// Requests a second at this node for which an adapter gets one more replica.
const HOT: f64 = 4.0;

/// One endpoint of the cell.
#[derive(Clone, Debug)]
pub(crate) struct EndpointRow {
    /// Name.
    pub(crate) name: Endpoint,
    /// Address of its HTTP interface.
    pub(crate) addr: SocketAddr,
    /// Engine or service.
    pub(crate) role: Role,
    /// Pool of the configuration document.
    pub(crate) pool: Arc<str>,
    /// Adapter slots.
    pub(crate) slots: u32,
    /// Most concurrent attempts.
    pub(crate) batch: u32,
    /// Whether it refuses orders with an old fence.
    pub(crate) fenced: bool,
    /// Failure domain.
    pub(crate) domain: Arc<str>,
    /// Whether the platform is taking it away.
    pub(crate) leaving: bool,
    /// Owner, as its heartbeat says.
    pub(crate) owner: Option<Node>,
    /// Fence of that owner.
    pub(crate) fence: u64,
    /// Load, as the owner's heartbeat says.
    pub(crate) view: LoadView,
    /// When that heartbeat arrived.
    pub(crate) seen: Ms,
}

impl EndpointRow {
    /// The owner, unless its last heartbeat is too old.
    pub(crate) fn live_owner(&self, now: Ms) -> Option<&Node> {
        self.owner.as_ref().filter(|_| now.since(self.seen) < VIEW_LIFE)
    }

    /// The resource that the owner holds.
    pub(crate) fn resource(&self) -> Resource {
        Resource::Endpoint { name: self.name.clone(), checks_fence: self.fenced }
    }
}

/// Another node of the cell.
#[derive(Clone, Debug)]
pub(crate) struct PeerRow {
    /// Incarnation, once a link has shown it.
    pub(crate) node: Option<Node>,
    /// Address of its links.
    pub(crate) addr: SocketAddr,
    /// Whether the platform is taking its machine away.
    pub(crate) leaving: bool,
    /// Whether it says that it is shutting down.
    pub(crate) draining: bool,
    /// Arrival of its last heartbeat.
    pub(crate) heard: Option<Ms>,
    /// Lease counter of that heartbeat.
    pub(crate) counter: u64,
    /// Authority of that heartbeat.
    pub(crate) level: AuthorityLevel,
    /// Configuration serial of that heartbeat.
    pub(crate) serial: u64,
}

/// Endpoints of one pool.
#[derive(Debug)]
pub(crate) struct Pool {
    /// Names in the order of the cell's positions.
    pub(crate) members: Vec<Endpoint>,
    /// Load views and adapter copies, for routing.
    pub(crate) cell: CellRouter,
}

/// Tables of endpoints and peers.
#[derive(Debug, Default)]
pub(crate) struct Membership {
    endpoints: Vec<EndpointRow>,
    index: Map<Endpoint, usize>,
    pools: BTreeMap<Arc<str>, Pool>,
    peers: BTreeMap<String, PeerRow>,
}

/// The name of a node's VM: the incarnation without its suffix.
pub(crate) fn vm_name(node: &Node) -> &str {
    node.as_str().rsplit_once('.').map_or(node.as_str(), |(vm, _)| vm)
}

impl Membership {
    /// Forgets an owner that has answered that it no longer is.
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

    /// Adopts the platform's list; owners and load views survive.
    pub(crate) fn set_list(&mut self, me: &str, vms: &[Vm], settings: &Settings) {
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

    /// Rebuilds the pools whose members changed; the others keep what they learned.
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
                let cell = CellRouter::new(&list, Costs::default(), HOT);
                self.pools.insert(name, Pool { members, cell });
            }
        }
        for e in 0..self.endpoints.len() {
            self.publish(e);
        }
    }

    /// Hands the present view of an endpoint to its pool.
    fn publish(&mut self, index: usize) {
        let row = &self.endpoints[index];
        let Some(pool) = self.pools.get_mut(&row.pool) else { return };
        let Ok(at) = pool.members.binary_search(&row.name) else { return };
        if row.owner.is_some() {
            let mut view = row.view.clone();
            view.leaving |= row.leaving && !active(Failpoint::GrantLeaving);
            pool.cell.on_view(row.seen, at, view);
        }
    }

    /// Adopts an owner's statement on its endpoint.
    pub(crate) fn set_view(
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
        row.seen = now;
        change(&mut row.view);
        self.publish(index);
    }

    /// Takes endpoints whose owner is silent out of the choice.
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
            batch: s.batch,
            fenced: s.checks_fence,
            domain: Arc::from(s.domain.as_str()),
            leaving,
            owner: known.and_then(|k| k.owner.clone()),
            fence: known.map_or(0, |k| k.fence),
            view: known.map_or_else(LoadView::default, |k| k.view.clone()),
            seen: known.map_or(Ms(0), |k| k.seen),
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

    /// Forgets the request rates of adapters that have fallen idle.
    pub(crate) fn forget_idle(&mut self, now: Ms) {
        for pool in self.pools.values_mut() {
            pool.cell.drop_idle_rates(now);
        }
    }

    /// All endpoints by name.
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

    /// Other nodes by the name of their VM.
    pub(crate) fn peers(&self) -> &BTreeMap<String, PeerRow> {
        &self.peers
    }

    /// The listed row of a node, adopting its incarnation.
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

    /// Peers in the form that the authority module reads.
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
