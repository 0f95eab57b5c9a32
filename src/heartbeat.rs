//! Heartbeats: what a node tells its cell, and what it learns.
//!
//! A heartbeat carries hints and facts that are safe to lose or to see late.
//! Lists of loaded adapters are sent when they change and every tenth second,
//! because they are most of a heartbeat's size.

use crate::core::{Core, CoreOut};
use crate::generated::peer::{self, frame::Body};
use crate::ids::{Endpoint, Node};
use crate::invariant;
use crate::lease::AuthorityLevel;
use crate::membership::vm_name;
use crate::quarantine::QuarantineEntry;
use crate::time::Ms;
use crate::wire;

/// Heartbeats between two full lists of loaded adapters.
const LISTING_EVERY: u64 = 20;
/// Time for which permits are announced to a new owner.
const ANNOUNCE: Ms = Ms::secs(5);
/// Time for which a cleared suspicion or a lifted quarantine is repeated.
const CLEARED_LIFE: Ms = Ms::secs(5);
/// Time for which a crash is repeated.
const CRASH_REPEAT: Ms = Ms::secs(10);

impl Core {
    /// Sends a heartbeat to every peer.
    pub(crate) fn beat(&mut self, now: Ms, out: &mut Vec<CoreOut>) {
        self.beats += 1;
        self.cleared_suspects.retain(|(at, _)| now.since(*at) < CLEARED_LIFE);
        self.lifted.retain(|(at, _)| now.since(*at) < CLEARED_LIFE);
        let base = self.heartbeat(now);
        for (name, peer) in self.membership.peers() {
            let mut beat = base.clone();
            if let Some(node) = &peer.node {
                beat.permits = self.announcements(now, node);
            }
            // Only a peer with a lower serial needs to know what to fetch.
            if peer.serial >= beat.serial {
                beat.digest.clear();
            }
            out.push(CoreOut::Send(name.clone(), Body::Heartbeat(beat)));
        }
    }

    fn heartbeat(&mut self, now: Ms) -> peer::Heartbeat {
        let endpoints = self.own_loads(now);
        let levels = self.quota.levels(now);
        let config = self.config.as_ref();
        peer::Heartbeat {
            counter: self.authority.counter(),
            authority: self.authority.level(now).to_wire(),
            serial: config.map_or(0, |c| c.serial()),
            digest: config.map_or_else(String::new, |c| c.digest().to_owned()),
            endpoints,
            levels: levels.iter().map(wire::level).collect(),
            draining: self.draining,
            quarantined: self
                .quarantine
                .entries(now)
                .map(|e| peer::Quarantined {
                    fingerprint: e.fingerprint,
                    reason: e.reason.clone(),
                    left: e.expiry.since(now).0,
                })
                .collect(),
            permits: Vec::new(),
            crashes: self
                .recent_crashes
                .iter()
                .filter(|(at, _)| now.since(*at) < CRASH_REPEAT)
                .map(|(_, c)| c.clone())
                .collect(),
            cleared: self.cleared_suspects.iter().map(|(_, fp)| *fp).collect(),
            lifted: self.lifted.iter().map(|(_, fp)| *fp).collect(),
        }
    }

    /// Loads of the owned endpoints, which this node's own table gets at once.
    fn own_loads(&mut self, now: Ms) -> Vec<peer::EndpointLoad> {
        let mut loads = Vec::with_capacity(self.owned.len());
        for (i, (name, owned)) in self.owned.iter().enumerate() {
            let view = owned.sched.load_view(now);
            let changed = self.listed.get(name).is_none_or(|known| *known != view.loaded);
            let listing = changed || (self.beats + i as u64).is_multiple_of(LISTING_EVERY);
            if changed {
                self.listed.insert(name.clone(), view.loaded.clone());
            }
            loads.push(wire::endpoint_load(name, owned.fence, &view, listing));
        }
        loads
    }

    /// Refreshes this node's own view of the endpoints that it owns.
    pub(crate) fn refresh_own(&mut self, now: Ms) {
        let Self { owned, membership: fleet, node: me, .. } = self;
        for (name, o) in owned.iter().filter(|(_, o)| o.ready()) {
            fleet.set_view(now, name, me, o.fence, |view| *view = o.sched.load_view(now));
        }
    }

    /// Permits of endpoints whose owner is new.
    fn announcements(&self, now: Ms, owner: &Node) -> Vec<peer::PermitHeld> {
        let recent =
            |e: &Endpoint| self.owner_since.get(e).is_some_and(|(_, at)| now.since(*at) < ANNOUNCE);
        self.held
            .iter()
            .filter(|(_, h)| recent(&h.endpoint))
            .filter(|(_, h)| {
                self.membership
                    .endpoint(&h.endpoint)
                    .is_some_and(|e| e.owner.as_ref() == Some(owner))
            })
            .map(|(attempt, h)| peer::PermitHeld {
                endpoint: h.endpoint.to_string(),
                attempt: wire::attempt_bytes(*attempt),
                adapter: h.adapter.as_ref().map_or(String::new(), |a| a.adapter.to_string()),
                version: h.adapter.as_ref().map_or(String::new(), |a| a.version.to_string()),
            })
            .collect()
    }

    /// Learns from a peer's heartbeat.
    pub fn on_heartbeat(
        &mut self,
        now: Ms,
        from: &Node,
        beat: &peer::Heartbeat,
        out: &mut Vec<CoreOut>,
    ) {
        let Some(row) = self.membership.peer_mut(from) else { return };
        row.heard = Some(now);
        row.counter = beat.counter;
        row.level = AuthorityLevel::from_wire(beat.authority);
        row.serial = beat.serial;
        row.draining = beat.draining;
        let mine = self.config.as_ref().map_or(0, |c| c.serial());
        if beat.serial > mine {
            out.push(CoreOut::FetchConfig(beat.serial, beat.digest.clone()));
        }
        let levels: Vec<_> = beat.levels.iter().map(wire::level_from).collect();
        self.stock_views.set(from, &levels);
        for load in &beat.endpoints {
            self.on_load(now, from, load);
        }
        for held in &beat.permits {
            let Some(attempt) = wire::attempt_id(&held.attempt) else { continue };
            if let Some(owned) = self.owned.get_mut(held.endpoint.as_str()) {
                owned.announce(now, attempt, wire::adapter(&held.adapter, &held.version));
            }
        }
        self.on_suspicions(now, beat, out);
    }

    fn on_load(&mut self, now: Ms, from: &Node, load: &peer::EndpointLoad) {
        let name = Endpoint::new(&load.endpoint);
        let Some(row) = self.membership.endpoint(&name) else { return };
        // A former owner may still beat; the higher fence is the present owner.
        if load.fence < row.fence {
            return;
        }
        let known = (row.owner.as_ref(), row.fence);
        let single = invariant::check_single_owner(&name, known, (from, load.fence));
        if !self.check_invariant(single) {
            return;
        }
        let Some(row) = self.membership.endpoint(&name) else { return };
        let changed = load.fence > row.fence || row.owner.as_ref() != Some(from);
        if changed {
            self.owner_since.insert(name.clone(), (load.fence, now));
        }
        self.membership.set_view(now, &name, from, load.fence, |view| {
            if changed {
                view.loaded.clear();
            }
            wire::update_view(view, load);
        });
    }

    fn on_suspicions(&mut self, now: Ms, beat: &peer::Heartbeat, out: &mut Vec<CoreOut>) {
        for crash in &beat.crashes {
            self.count_crash(now, crash.clone(), out);
        }
        for fp in &beat.cleared {
            if self.quarantine.on_success(*fp).is_some() {
                self.clear_suspect(*fp);
            }
        }
        for fp in &beat.lifted {
            if self.quarantine.lift(now, *fp) {
                self.clear_suspect(*fp);
            }
        }
        for q in &beat.quarantined {
            let expiry = now + Ms(q.left);
            let entry =
                QuarantineEntry { fingerprint: q.fingerprint, reason: q.reason.clone(), expiry };
            if self.quarantine.merge(now, entry) {
                self.refuse_quarantined(now, q.fingerprint, Ms(q.left), out);
            }
        }
    }

    /// Forgets what is tied to a node whose link shows another incarnation.
    pub fn on_peer_link(&mut self, node: &Node) {
        let known = self.membership.peers().get(vm_name(node)).and_then(|p| p.node.clone());
        if let Some(old) = known.filter(|k| k != node) {
            self.stock_views.remove(&old);
        }
        self.membership.peer_mut(node);
    }
}
