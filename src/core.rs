//! State and decisions of one node, without I/O.
//!
//! The core combines the tables of endpoints, peers, owned endpoints and permits with the
//! modules that use them: authority, quota, scheduling, quarantine and heartbeats. It is
//! deterministic. Each method takes `now` and appends the outputs for the shell to `out`. The
//! decisions of an entry node are in `entry_node`, those of an endpoint's owner in
//! `permit_issuer`, and the heartbeats in `heartbeat`.

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::authority::Authority;
use crate::config::Config;
use crate::engine_client::EngineState;
use crate::entry_node::{HeldPermit, PermitWait};
use crate::failpoint::{Failpoint, active};
use crate::generated::peer::{self, frame::Body};
use crate::ids::{AdapterRef, AttemptId, Endpoint, Map, Node, Set, Team};
use crate::invariant::{self, InvariantResult};
use crate::lease::{AuthorityLevel, LeaseSettings};
use crate::membership::{Membership, vm_name};
use crate::node_settings::Settings;
use crate::owned_endpoint::OwnedEndpoint;
use crate::ownership::{AuthorityOut, CellView, OrderKind, Resource};
use crate::quarantine::Quarantine;
use crate::quota::{PeerLevels, Quota, RateSpec, Reservation, SEATS_PER_TEAM};
use crate::sched::EndpointSpec;
use crate::storage::Vm;
use crate::time::Ms;

/// Name of the team whose quota limits the loads from the weight store.
///
/// Document checks reject this name, so it cannot collide with a configured team.
pub(crate) const WEIGHT_STORE_TEAM: &str = "@weights";
/// Interval between heartbeats.
pub(crate) const HEARTBEAT_INTERVAL: Ms = Ms(500);
/// Interval between state queries to an owned endpoint.
const STATE_QUERY_INTERVAL: Ms = Ms(500);
/// Number of heartbeats between removals of idle adapters from the request rates.
const FORGET_IDLE_PERIOD: u64 = 120;
/// Interval between ticks of the authority module.
///
/// Each tick visits every resource of the cell: 224 with 16 nodes, 128 endpoints and five
/// teams. At every tick of the core (10 ms) this was most of the CPU time of an idle node.
const AUTHORITY_TICK_INTERVAL: Ms = Ms(50);
/// Interval between quota forecasts.
const QUOTA_PLAN_INTERVAL: Ms = Ms(100);

/// An output that the shell performs.
#[derive(Debug)]
pub enum CoreOut {
    /// Send a message to the node on this VM.
    Send(String, Body),
    /// Perform an output of the authority module.
    Authority(AuthorityOut),
    /// Order an endpoint to load an adapter.
    Load(EndpointOrder),
    /// Order an endpoint to evict an adapter.
    Evict(EndpointOrder),
    /// Query the state of an endpoint.
    QueryState(Endpoint),
    /// Deliver a reply to the local request that waits for it.
    Reply(AttemptId, peer::PermitReply),
    /// Read the configuration with this serial and digest.
    FetchConfig(u64, String),
}

/// An order to an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointOrder {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// The adapter to load or evict.
    pub adapter: AdapterRef,
    /// Epoch of the endpoint's slots, which the report must repeat.
    pub epoch: u64,
}

/// State of one node.
pub struct Core {
    pub node: Node,
    pub(crate) settings: Arc<Settings>,
    pub config: Option<Arc<Config>>,
    pub authority: Authority,
    pub quota: Quota,
    pub(crate) peer_quotas: PeerLevels,
    pub(crate) quarantine: Quarantine,
    pub(crate) membership: Membership,
    pub(crate) owned: BTreeMap<Endpoint, OwnedEndpoint>,
    pub(crate) held_permits: BTreeMap<AttemptId, HeldPermit>,
    pub(crate) permit_waits: BTreeMap<AttemptId, PermitWait>,
    pub(crate) rng: SmallRng,
    pub(crate) draining: bool,
    pub(crate) load_permits: Vec<Reservation>,
    pub(crate) recent_crashes: Vec<(Ms, peer::Crash)>,
    pub(crate) counted_crashes: Set<(String, String)>,
    pub(crate) cleared_suspects: Vec<(Ms, u64)>,
    pub(crate) lifted_quarantines: Vec<(Ms, u64)>,
    pub(crate) sent_adapters: Map<Endpoint, Vec<AdapterRef>>,
    pub(crate) owner_since: Map<Endpoint, (u64, Ms)>,
    pub(crate) heartbeat_count: u64,
    /// Invariant violations, for the log and for tests.
    pub violations: Vec<String>,
    resources: Vec<Resource>,
    pub(crate) next_heartbeat: Ms,
    next_plan: Ms,
    next_authority: Ms,
    quota_suspended: bool,
}

impl Core {
    /// Creates the core of a node that owns nothing and has no configuration.
    pub fn new(node: Node, settings: Arc<Settings>, seed: u64) -> Self {
        let lease = lease_settings(&settings);
        Self {
            authority: Authority::new(node.clone(), lease, seed),
            quota: Quota::new(crate::quota::QuotaSettings::default()),
            peer_quotas: PeerLevels::default(),
            quarantine: Quarantine::default(),
            membership: Membership::default(),
            owned: BTreeMap::new(),
            held_permits: BTreeMap::new(),
            permit_waits: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed ^ 0x5eed),
            draining: false,
            load_permits: Vec::new(),
            recent_crashes: Vec::new(),
            counted_crashes: Set::default(),
            cleared_suspects: Vec::new(),
            lifted_quarantines: Vec::new(),
            sent_adapters: Map::default(),
            owner_since: Map::default(),
            heartbeat_count: 0,
            violations: Vec::new(),
            resources: Vec::new(),
            next_heartbeat: Ms(0),
            next_plan: Ms(0),
            next_authority: Ms(0),
            quota_suspended: true,
            config: None,
            settings,
            node,
        }
    }

    /// Applies a configuration if its serial is higher than the current one. Returns whether
    /// it was applied.
    pub fn set_config(&mut self, now: Ms, config: Arc<Config>) -> bool {
        let present = self.config.as_ref().map(|c| c.serial());
        if present.is_some_and(|p| p >= config.serial()) && !active(Failpoint::LowerSerial) {
            return false;
        }
        if !self.check_invariant(invariant::check_serial(present, config.serial())) {
            return false;
        }
        let mut rates: Vec<(Team, RateSpec)> = config
            .teams()
            .iter()
            .map(|t| (t.name.clone(), RateSpec::new(t.rate, t.burst)))
            .collect();
        if let Some(store) = config.weight_store() {
            let rate = store.load_rate.ceil().max(1.0) as u64;
            let burst = rate.max(store.max_concurrent).max(SEATS_PER_TEAM as u64);
            let spec = RateSpec { rate, burst, concurrent: Some(store.max_concurrent) };
            rates.push((Team::new(WEIGHT_STORE_TEAM), spec));
        }
        self.quota.set_rates(now, &rates);
        for owned in self.owned.values_mut() {
            set_weights(owned, &config);
        }
        self.config = Some(config);
        self.update_resources();
        true
    }

    /// Applies the platform's VM list.
    pub fn set_vms(&mut self, now: Ms, vms: &[Vm], out: &mut Vec<CoreOut>) {
        let settings = self.settings.clone();
        self.membership.set_vms(&settings.node, vms, &settings);
        self.update_resources();
        // An unlisted endpoint counts as leaving until this node's ownership ends.
        let membership = &self.membership;
        let leaving = |name: &Endpoint| membership.endpoint(name).is_none_or(|e| e.leaving);
        let marks: Vec<(Endpoint, bool)> =
            self.owned.keys().map(|name| (name.clone(), leaving(name))).collect();
        for (name, leaving) in marks {
            self.with_owned(now, &name, out, |owned, outs| {
                owned.sched.set_leaving(now, leaving, outs);
            });
        }
    }

    /// Lists the resources of the cell: the endpoints, and the seats of each team and of the
    /// weight store.
    fn update_resources(&mut self) {
        let mut resources: Vec<Resource> =
            self.membership.endpoints().iter().map(|e| e.resource()).collect();
        if let Some(config) = &self.config {
            let teams = config.teams().iter().map(|t| t.name.clone());
            for team in teams.chain([Team::new(WEIGHT_STORE_TEAM)]) {
                resources.extend(
                    (0..SEATS_PER_TEAM as u32)
                        .map(|index| Resource::Seat { team: team.clone(), index }),
                );
            }
        }
        self.resources = resources;
    }

    /// Advances all modules to `now`.
    pub fn tick(&mut self, now: Ms, out: &mut Vec<CoreOut>) {
        self.tick_authority(now, out);
        self.tick_quota(now, out);
        self.tick_owned(now, out);
        self.refresh_own_views(now);
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + HEARTBEAT_INTERVAL;
            self.membership.expire_views(now);
            if self.heartbeat_count.is_multiple_of(FORGET_IDLE_PERIOD) {
                self.membership.forget_idle_adapters(now);
            }
            self.send_heartbeats(now, out);
        }
    }

    fn tick_authority(&mut self, now: Ms, out: &mut Vec<CoreOut>) {
        if now >= self.next_authority {
            self.next_authority = now + AUTHORITY_TICK_INTERVAL;
            self.run_authority(now, out);
        }
        let suspended = self.authority.level(now) < AuthorityLevel::Seated;
        if suspended != self.quota_suspended {
            self.quota_suspended = suspended;
            match suspended {
                true => self.quota.suspend(now),
                false => self.quota.resume(now),
            }
        }
    }

    fn run_authority(&mut self, now: Ms, out: &mut Vec<CoreOut>) {
        let nodes = self.membership.peer_views();
        let resources = std::mem::take(&mut self.resources);
        let view = CellView { nodes, resources };
        let mut outs = Vec::new();
        self.authority.tick(now, &view, &mut outs);
        self.resources = view.resources;
        self.handle_authority(now, outs, out);
    }

    /// Handles the outputs of the authority module after an input to it.
    pub fn flush_authority(&mut self, now: Ms, out: &mut Vec<CoreOut>) {
        let mut outs = Vec::new();
        self.authority.take_outputs(&mut outs);
        self.handle_authority(now, outs, out);
    }

    fn handle_authority(&mut self, now: Ms, outs: Vec<AuthorityOut>, out: &mut Vec<CoreOut>) {
        for o in outs {
            match o {
                AuthorityOut::Gained { resource, fence, settle_until } => {
                    self.on_gained(now, resource, fence, settle_until);
                }
                AuthorityOut::Lost { resource } => self.on_lost(now, &resource, out),
                o => out.push(CoreOut::Authority(o)),
            }
        }
    }

    fn on_gained(&mut self, now: Ms, resource: Resource, fence: u64, settle_until: Ms) {
        match resource {
            Resource::Endpoint { name, .. } => {
                let Some(row) = self.membership.endpoint(&name) else { return };
                let mut spec =
                    EndpointSpec::new(name.clone(), row.slots as usize, row.batch as usize);
                spec.pin_grace = crate::permit_issuer::PERMIT_VALIDITY + spec.pin_grace;
                let mut owned = OwnedEndpoint::new(spec, fence, now);
                owned.sched.set_leaving(now, row.leaving, &mut Vec::new());
                if let Some(config) = &self.config {
                    set_weights(&mut owned, config);
                }
                for fp in self.quarantine.suspects() {
                    owned.sched.set_suspect(fp, true);
                }
                self.owned.insert(name, owned);
            }
            Resource::Seat { team, index } => {
                // Loans of a former holder may still be in use; the first holder has no former
                // holder.
                let quiet = match fence {
                    0 | 1 => now,
                    _ => {
                        settle_until.max(now)
                            + crate::quota::QuotaSettings::default().quiet_period()
                    }
                };
                self.quota.gain_seat(now, &team, index as usize, quiet);
            }
        }
    }

    fn on_lost(&mut self, now: Ms, resource: &Resource, out: &mut Vec<CoreOut>) {
        match resource {
            Resource::Endpoint { name, .. } => {
                if let Some(owned) = self.owned.remove(name) {
                    // No other code returns the permits of loads that wait for an eviction.
                    let held = owned.sched.unused_permits();
                    let left = self.load_permits.len().saturating_sub(held);
                    for reservation in self.load_permits.split_off(left) {
                        self.quota.release(now, reservation, 0);
                    }
                    for (attempt, row) in owned.jobs.iter().filter(|(_, j)| !j.granted) {
                        let reply = crate::permit_issuer::refusal_reply(
                            *attempt,
                            name,
                            "not_owner",
                            Ms(50),
                        );
                        self.reply(&row.entry.clone(), *attempt, reply, out);
                    }
                }
                self.sent_adapters.remove(name);
            }
            Resource::Seat { team, index } => {
                self.quota.lose_seat(now, team, *index as usize);
            }
        }
    }

    fn tick_quota(&mut self, now: Ms, out: &mut Vec<CoreOut>) {
        if now < self.next_plan {
            return;
        }
        self.next_plan = now + QUOTA_PLAN_INTERVAL;
        self.quota.levels(now);
        for (node, ask) in self.quota.plan_loans(now, &self.peer_quotas) {
            out.push(CoreOut::Send(
                vm_name(&node).to_owned(),
                Body::LoanAsk(crate::wire::loan_ask(&ask)),
            ));
        }
    }

    fn tick_owned(&mut self, now: Ms, out: &mut Vec<CoreOut>) {
        let names: Vec<Endpoint> = self.owned.keys().cloned().collect();
        for name in names {
            let mut gate = crate::permit_issuer::QuotaGate::new(
                &mut self.quota,
                &self.peer_quotas,
                &mut self.load_permits,
            );
            let mut outs = Vec::new();
            if let Some(owned) = self.owned.get_mut(&name) {
                if owned.ready() {
                    owned.sched.tick(now, &mut gate, &mut outs);
                }
                if now >= owned.next_poll && !owned.polling {
                    owned.polling = true;
                    owned.poll_started = now;
                    owned.next_poll = now + STATE_QUERY_INTERVAL;
                    out.push(CoreOut::QueryState(name.clone()));
                }
                for fault in owned.sched.take_faults() {
                    self.violations.push(fault.to_string());
                }
                let (spec, view) = (owned.sched.spec(), owned.sched.load_view(now));
                let queued = view.queued as usize;
                let most = spec.max_queued + spec.batch;
                let queue =
                    invariant::check_table_bound("queue", name.as_str(), queued, spec.max_queued);
                let jobs =
                    invariant::check_table_bound("jobs", name.as_str(), owned.jobs.len(), most);
                for checked in [queue, jobs] {
                    if let Err(violation) = checked {
                        self.violations.push(violation.to_string());
                    }
                }
            }
            for (node, ask) in gate.into_asks() {
                out.push(CoreOut::Send(
                    vm_name(&node).to_owned(),
                    Body::LoanAsk(crate::wire::loan_ask(&ask)),
                ));
            }
            self.dispatch_sched(now, &name, outs, out);
        }
    }

    /// Records the violation if a check failed. Returns whether the invariant holds.
    pub(crate) fn check_invariant(&mut self, checked: InvariantResult) -> bool {
        checked.map_err(|violation| self.violations.push(violation.to_string())).is_ok()
    }

    /// Checks an order immediately before it is sent and returns its fence.
    pub fn order_fence(&self, now: Ms, endpoint: &Endpoint, order: OrderKind) -> Option<u64> {
        if active(Failpoint::IgnoreFence) {
            return self.owned.get(endpoint).map(|o| o.fence);
        }
        let row = self.membership.endpoint(endpoint)?;
        self.authority.check_order(now, &row.resource(), order).ok()
    }

    /// Checks an order to evict immediately before it is sent and returns its fence.
    ///
    /// Discards an order from an earlier epoch, because the endpoint's slots may have changed
    /// since.
    pub fn evict_fence(&mut self, now: Ms, order: &EndpointOrder) -> Option<u64> {
        let owned = self.owned.get(&order.endpoint)?;
        if owned.sched.epoch() != order.epoch {
            return None;
        }
        let pins = owned.sched.slots().pins(&order.adapter);
        if !self.check_invariant(invariant::check_eviction(&order.endpoint, &order.adapter, pins)) {
            return None;
        }
        self.order_fence(now, &order.endpoint, OrderKind::Evict)
    }

    /// Handles the reported state of an endpoint; `None` is the answer of a service, which has
    /// no state.
    pub fn on_state(
        &mut self,
        now: Ms,
        endpoint: &Endpoint,
        state: crate::error::Result<Option<EngineState>>,
        out: &mut Vec<CoreOut>,
    ) {
        let mut crash = None;
        let entries = self.owned.get(endpoint).into_iter().flat_map(|o| o.jobs.values());
        let gone = entries.filter(|j| self.authority.is_gone(&j.entry, j.arrived));
        let gone: Vec<Node> = gone.map(|j| j.entry.clone()).collect();
        self.with_owned(now, endpoint, out, |owned, outs| {
            owned.polling = false;
            match state {
                Ok(Some(state)) => crash = owned.on_state(now, &state, outs).crash,
                Ok(None) => owned.on_service_alive(now, &gone, outs),
                Err(e) => {
                    log::warn!("endpoint {endpoint} did not report its state: {e}");
                    owned.on_poll_failed(now, outs);
                }
            }
        });
        if let Some((incarnation, flight)) = crash {
            let crash = peer::Crash { endpoint: endpoint.to_string(), incarnation, flight };
            self.count_crash(now, crash, out);
        }
    }

    /// Counts the crash of an endpoint that refuses connections. Does not wait for its
    /// restart, because meanwhile the request that caused the crash could reach other
    /// endpoints.
    pub(crate) fn on_connection_refused(
        &mut self,
        now: Ms,
        endpoint: &Endpoint,
        out: &mut Vec<CoreOut>,
    ) {
        let ended = self.owned.get_mut(endpoint).and_then(|o| o.on_connection_refused(now));
        if let Some((incarnation, flight)) = ended {
            let crash = peer::Crash { endpoint: endpoint.to_string(), incarnation, flight };
            self.count_crash(now, crash, out);
        }
    }

    /// Applies a change to an owned endpoint and handles the scheduler's outputs.
    pub(crate) fn with_owned(
        &mut self,
        now: Ms,
        endpoint: &Endpoint,
        out: &mut Vec<CoreOut>,
        change: impl FnOnce(&mut OwnedEndpoint, &mut Vec<crate::sched::SchedOut>),
    ) {
        let Some(owned) = self.owned.get_mut(endpoint) else { return };
        let mut outs = Vec::new();
        change(owned, &mut outs);
        self.dispatch_sched(now, endpoint, outs, out);
    }

    /// Lifts a quarantine on this node and, through heartbeats, in the whole cell. Returns
    /// `false` if there is no entry.
    pub(crate) fn lift_quarantine(&mut self, now: Ms, fp: u64) -> bool {
        self.clear_suspect(fp);
        self.lifted_quarantines.push((now, fp));
        self.next_heartbeat = now;
        self.quarantine.lift(now, fp)
    }

    /// Starts a graceful shutdown.
    pub fn drain(&mut self, now: Ms) {
        self.draining = true;
        self.next_heartbeat = now;
    }

    /// Releases all resources and the lease. Call it once no request needs them.
    pub fn release(&mut self, now: Ms, out: &mut Vec<CoreOut>) {
        self.authority.release_all(now);
        self.flush_authority(now, out);
    }
}

fn set_weights(owned: &mut OwnedEndpoint, config: &Config) {
    for team in config.teams() {
        // Queue weights are integers; three decimal places keep small differences.
        let weight = (team.weight * 1000.0).round().clamp(1.0, 1e9) as u32;
        owned.sched.set_weight(&team.name, weight);
    }
}

fn lease_settings(settings: &Settings) -> LeaseSettings {
    LeaseSettings {
        cell: settings.cell.clone(),
        ttl: settings.lease.ttl,
        max_extension: settings.lease.extension,
        ..LeaseSettings::default()
    }
}
