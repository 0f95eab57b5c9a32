//! Heartbeats between the nodes of a cell.
//!
//! A heartbeat contains only information that may be lost or arrive late. Loaded adapters make
//! up most of its size, so they are listed only when they change and every tenth second.

use crate::core::{Core, CoreOut};
use crate::generated::peer::{self, frame::Body};
use crate::ids::{Endpoint, Node};
use crate::invariant;
use crate::lease::AuthorityLevel;
use crate::membership::vm_name;
use crate::quarantine::QuarantineEntry;
use crate::time::Ms;
use crate::wire;

/// Number of heartbeats between full lists of loaded adapters.
const ADAPTER_LIST_PERIOD: u64 = 20;
/// Time for which permits are announced to a new owner.
const ANNOUNCE_TIME: Ms = Ms::secs(5);
/// Time for which cleared suspicions and lifted quarantines are repeated in heartbeats.
const CLEARED_REPEAT_TIME: Ms = Ms::secs(5);
/// Time for which a crash is repeated in heartbeats.
const CRASH_REPEAT_TIME: Ms = Ms::secs(10);

impl Core {
    /// Sends a heartbeat to each peer.
    pub(crate) fn send_heartbeats(&mut self, now: Ms, out: &mut Vec<CoreOut>) {
        self.heartbeat_count += 1;
        self.cleared_suspects.retain(|(at, _)| now.since(*at) < CLEARED_REPEAT_TIME);
        self.lifted_quarantines.retain(|(at, _)| now.since(*at) < CLEARED_REPEAT_TIME);
        let base = self.heartbeat(now);
        for (name, peer) in self.membership.peers() {
            let mut beat = base.clone();
            if let Some(node) = &peer.node {
                beat.permits = self.permit_announcements(now, node);
            }
            // Only a peer with a lower serial needs the digest to fetch the configuration.
            if peer.serial >= beat.serial {
                beat.digest.clear();
            }
            out.push(CoreOut::Send(name.clone(), Body::Heartbeat(beat)));
        }
    }

    fn heartbeat(&mut self, now: Ms) -> peer::Heartbeat {
        let endpoints = self.own_endpoint_loads(now);
        let levels = self.quota.levels(now);
        let config = self.config.as_ref();
        peer::Heartbeat {
            counter: self.authority.counter(),
            authority: self.authority.level(now).to_wire(),
            serial: config.map_or(0, |c| c.serial()),
            digest: config.map_or_else(String::new, |c| c.digest().to_owned()),
            endpoints,
            levels: levels.iter().map(wire::quota_level).collect(),
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
                .filter(|(at, _)| now.since(*at) < CRASH_REPEAT_TIME)
                .map(|(_, c)| c.clone())
                .collect(),
            cleared: self.cleared_suspects.iter().map(|(_, fp)| *fp).collect(),
            lifted: self.lifted_quarantines.iter().map(|(_, fp)| *fp).collect(),
        }
    }

    /// Loads of the owned endpoints. Lists the loaded adapters where a list is due.
    fn own_endpoint_loads(&mut self, now: Ms) -> Vec<peer::EndpointLoad> {
        let mut loads = Vec::with_capacity(self.owned.len());
        for (i, (name, owned)) in self.owned.iter().enumerate() {
            let view = owned.sched.load_view(now);
            let changed = self.sent_adapters.get(name).is_none_or(|known| *known != view.loaded);
            let listing =
                changed || (self.heartbeat_count + i as u64).is_multiple_of(ADAPTER_LIST_PERIOD);
            if changed {
                self.sent_adapters.insert(name.clone(), view.loaded.clone());
            }
            loads.push(wire::endpoint_load(name, owned.fence, &view, listing));
        }
        loads
    }

    /// Updates this node's load views of its own endpoints.
    pub(crate) fn refresh_own_views(&mut self, now: Ms) {
        let Self { owned, membership, node, .. } = self;
        for (name, o) in owned.iter().filter(|(_, o)| o.ready()) {
            membership.update_view(now, name, node, o.fence, |view| *view = o.sched.load_view(now));
        }
    }

    /// Permits in use at endpoints of which `owner` has recently become the owner.
    fn permit_announcements(&self, now: Ms, owner: &Node) -> Vec<peer::PermitHeld> {
        let recent = |e: &Endpoint| {
            self.owner_since.get(e).is_some_and(|(_, at)| now.since(*at) < ANNOUNCE_TIME)
        };
        self.held_permits
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

    /// Handles a heartbeat of a peer.
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
        let levels: Vec<_> = beat.levels.iter().map(wire::quota_level_from).collect();
        self.peer_quotas.set(from, &levels);
        for load in &beat.endpoints {
            self.on_endpoint_load(now, from, load);
        }
        for held in &beat.permits {
            let Some(attempt) = wire::attempt_id(&held.attempt) else { continue };
            if let Some(owned) = self.owned.get_mut(held.endpoint.as_str()) {
                owned.announce(now, attempt, wire::adapter(&held.adapter, &held.version));
            }
        }
        self.merge_quarantine(now, beat, out);
    }

    fn on_endpoint_load(&mut self, now: Ms, from: &Node, load: &peer::EndpointLoad) {
        let name = Endpoint::new(&load.endpoint);
        let Some(row) = self.membership.endpoint(&name) else { return };
        // A former owner may still send heartbeats; the highest fence belongs to the current
        // owner.
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
        self.membership.update_view(now, &name, from, load.fence, |view| {
            if changed {
                view.loaded.clear();
            }
            wire::update_view(view, load);
        });
    }

    fn merge_quarantine(&mut self, now: Ms, beat: &peer::Heartbeat, out: &mut Vec<CoreOut>) {
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

    /// Handles a new link to a peer. If its incarnation has changed, discards what the
    /// previous one reported.
    pub fn on_peer_link(&mut self, node: &Node) {
        let known = self.membership.peers().get(vm_name(node)).and_then(|p| p.node.clone());
        if let Some(old) = known.filter(|k| k != node) {
            self.peer_quotas.remove(&old);
        }
        self.membership.peer_mut(node);
    }
}
