//! Permits on the side of an endpoint's owner: requests, grants, refusals and reported ends,
//! results of load and eviction orders, and crashes.

use crate::core::{Core, CoreOut, EndpointOrder, WEIGHT_STORE_TEAM};
use crate::generated::peer::{self, frame::Body};
use crate::ids::{AttemptId, Endpoint, Node, Team};
use crate::invariant;
use crate::membership::vm_name;
use crate::owned_endpoint::JobRow;
use crate::ownership::OrderKind;
use crate::quarantine::QuarantineOut;
use crate::queue::Job;
use crate::quota::{LoanRequest, PeerLevels, Quota, Reservation, ReserveResult};
use crate::sched::{LoadGate, SchedOut};
use crate::time::Ms;
use crate::wire;

/// Time after the grant within which the attempt must be sent.
pub(crate) const PERMIT_VALIDITY: Ms = Ms(1500);
/// Time for which a crash is kept to be repeated in heartbeats.
const CRASH_RETENTION: Ms = Ms::secs(60);

/// How an attempt ended, as its entry node reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The answer was complete.
    Ended,
    /// The endpoint refused the request without running it.
    Refused,
    /// The request was not sent.
    Unsent,
    /// The connection was lost or abandoned.
    Broken,
    /// The attempt was cancelled because the caller disconnected.
    Cancelled,
}

impl AttemptOutcome {
    /// Number of the outcome in messages.
    pub(crate) const fn to_wire(self) -> u32 {
        self as u32
    }

    /// Returns the outcome with this number; unknown numbers count as `Broken`.
    pub(crate) const fn from_wire(n: u32) -> Self {
        match n {
            0 => Self::Ended,
            1 => Self::Refused,
            2 => Self::Unsent,
            4 => Self::Cancelled,
            _ => Self::Broken,
        }
    }
}

/// Creates the reply that refuses a permit; `after` is the minimum delay before a retry.
pub(crate) fn refusal_reply(
    attempt: AttemptId,
    endpoint: &Endpoint,
    reason: &str,
    after: Ms,
) -> peer::PermitReply {
    peer::PermitReply {
        attempt: wire::attempt_bytes(attempt),
        granted: false,
        endpoint: endpoint.to_string(),
        reason: reason.to_owned(),
        retry_after: after.0,
        ..peer::PermitReply::default()
    }
}

/// Gate that takes load permits from the weight store's quota.
pub(crate) struct QuotaGate<'a> {
    quota: &'a mut Quota,
    peers: &'a PeerLevels,
    permits: &'a mut Vec<Reservation>,
    asks: Vec<(Node, LoanRequest)>,
}

impl<'a> QuotaGate<'a> {
    pub(crate) fn new(
        quota: &'a mut Quota,
        peers: &'a PeerLevels,
        permits: &'a mut Vec<Reservation>,
    ) -> Self {
        Self { quota, peers, permits, asks: Vec::new() }
    }

    /// Loan requests that the shell must send.
    pub(crate) fn into_asks(self) -> Vec<(Node, LoanRequest)> {
        self.asks
    }
}

impl LoadGate for QuotaGate<'_> {
    fn try_load(&mut self, now: Ms, _team: &Team) -> bool {
        let weights = Team::new(WEIGHT_STORE_TEAM);
        match self.quota.reserve(now, &weights, 1) {
            ReserveResult::Granted(reservation) => {
                self.permits.push(reservation);
                true
            }
            ReserveResult::Borrow => {
                self.asks.extend(self.quota.loan_requests(now, &weights, 1, self.peers));
                false
            }
            ReserveResult::Refused { .. } => false,
        }
    }

    fn give_back(&mut self, now: Ms, _team: &Team) {
        if let Some(reservation) = self.permits.pop() {
            self.quota.release(now, reservation, 0);
        }
    }
}

impl Core {
    /// Handles a permit request from an entry node, which may be this node.
    pub fn on_permit_request(
        &mut self,
        now: Ms,
        from: &Node,
        req: &peer::PermitRequest,
        out: &mut Vec<CoreOut>,
    ) {
        let Some(attempt) = wire::attempt_id(&req.attempt) else { return };
        let endpoint = Endpoint::new(&req.endpoint);
        if let Err((reason, after)) = self.check_request(now, &endpoint, req) {
            let reply = refusal_reply(attempt, &endpoint, reason, after);
            return self.reply(from, attempt, reply, out);
        }
        let order = order_kind(req);
        let job = Job {
            attempt,
            team: Team::new(&req.team),
            adapter: wire::adapter(&req.adapter, &req.version),
            priority: u8::try_from(req.kind).unwrap_or(u8::MAX),
            tokens: req.tokens,
            deadline: now + Ms(req.deadline),
            fingerprint: req.fingerprint,
            arrived: now,
        };
        let row = JobRow {
            entry: from.clone(),
            arrived: now,
            fingerprint: req.fingerprint,
            deadline: job.deadline,
            order,
            team: job.team.clone(),
            adapter: job.adapter.clone(),
            granted: false,
        };
        self.with_owned(now, &endpoint, out, |owned, outs| owned.submit(now, job, row, outs));
    }

    fn check_request(
        &self,
        now: Ms,
        endpoint: &Endpoint,
        req: &peer::PermitRequest,
    ) -> Result<(), (&'static str, Ms)> {
        if !self.owned.contains_key(endpoint) {
            return Err(("not_owner", Ms(50)));
        }
        if self.order_fence(now, endpoint, order_kind(req)).is_none() {
            return Err(("no_authority", Ms(500)));
        }
        match self.quarantine.is_quarantined(now, req.fingerprint) {
            Some(entry) => Err(("quarantined", entry.expiry.since(now))),
            None => Ok(()),
        }
    }

    /// Handles the reported end of an attempt.
    pub fn on_permit_end(&mut self, now: Ms, end: &peer::PermitEnd, out: &mut Vec<CoreOut>) {
        let Some(attempt) = wire::attempt_id(&end.attempt) else { return };
        let outcome = AttemptOutcome::from_wire(end.outcome);
        let found = self.owned.iter().find(|(_, o)| o.jobs.contains_key(&attempt));
        let Some(endpoint) = found.map(|(name, _)| name.clone()) else { return };
        let mut row = None;
        self.with_owned(now, &endpoint, out, |owned, outs| {
            row = owned.end(now, attempt, end.tokens, outcome == AttemptOutcome::Broken, outs);
        });
        if let Some(row) = row
            && outcome == AttemptOutcome::Ended
            && let Some(QuarantineOut::Clear(fp)) = self.quarantine.on_success(row.fingerprint)
        {
            self.cleared_suspects.push((now, fp));
            self.clear_suspect(fp);
        }
    }

    /// Cancels a permit request that has not been answered.
    pub fn on_permit_cancel(&mut self, now: Ms, cancel: &peer::PermitCancel) {
        let Some(attempt) = wire::attempt_id(&cancel.attempt) else { return };
        for owned in self.owned.values_mut() {
            owned.cancel(now, attempt);
        }
    }

    /// Converts the outputs of an endpoint's scheduler to replies and orders.
    pub(crate) fn dispatch_sched(
        &mut self,
        now: Ms,
        endpoint: &Endpoint,
        outs: Vec<SchedOut>,
        out: &mut Vec<CoreOut>,
    ) {
        for o in outs {
            match o {
                SchedOut::Grant { attempt } => self.grant(now, endpoint, attempt, out),
                SchedOut::Refuse { attempt, reason, retry_after } => {
                    let row = self.owned.get_mut(endpoint).and_then(|o| o.jobs.remove(&attempt));
                    if let Some(row) = row {
                        let reply = refusal_reply(attempt, endpoint, reason.as_str(), retry_after);
                        self.reply(&row.entry, attempt, reply, out);
                    }
                }
                SchedOut::Load { adapter } => {
                    let epoch = self.owned.get(endpoint).map_or(0, |o| o.sched.epoch());
                    let endpoint = endpoint.clone();
                    out.push(CoreOut::Load(EndpointOrder { endpoint, adapter, epoch }));
                }
                SchedOut::Evict { adapter } => {
                    let epoch = self.owned.get(endpoint).map_or(0, |o| o.sched.epoch());
                    let endpoint = endpoint.clone();
                    out.push(CoreOut::Evict(EndpointOrder { endpoint, adapter, epoch }));
                }
            }
        }
    }

    fn grant(&mut self, now: Ms, endpoint: &Endpoint, attempt: AttemptId, out: &mut Vec<CoreOut>) {
        let Some(row) = self.owned.get(endpoint).and_then(|o| o.jobs.get(&attempt)) else { return };
        let (entry, order, arrived) = (row.entry.clone(), row.order, row.arrived);
        // The authority may have expired while the job was queued.
        let Some(fence) = self.order_fence(now, endpoint, order) else {
            self.with_owned(now, endpoint, out, |owned, outs| {
                owned.end(now, attempt, 0, false, outs);
            });
            let reply = refusal_reply(attempt, endpoint, "no_authority", Ms(500));
            return self.reply(&entry, attempt, reply, out);
        };
        if let Err(reason) = self.check_grant(endpoint, attempt) {
            self.with_owned(now, endpoint, out, |owned, outs| {
                owned.end(now, attempt, 0, false, outs);
            });
            let reply = refusal_reply(attempt, endpoint, reason, Ms(500));
            return self.reply(&entry, attempt, reply, out);
        }
        if let Some(row) = self.owned.get_mut(endpoint).and_then(|o| o.jobs.get_mut(&attempt)) {
            row.granted = true;
        }
        let reply = peer::PermitReply {
            attempt: wire::attempt_bytes(attempt),
            granted: true,
            endpoint: endpoint.to_string(),
            fence,
            valid: PERMIT_VALIDITY.0,
            held: now.since(arrived).0,
            ..peer::PermitReply::default()
        };
        self.reply(&entry, attempt, reply, out);
    }

    /// Checks the invariants of a grant before its permit is sent; the error is the reason of
    /// the refusal.
    fn check_grant(&mut self, endpoint: &Endpoint, attempt: AttemptId) -> Result<(), &'static str> {
        let Some(owned) = self.owned.get(endpoint) else { return Err("not_owner") };
        let Some(row) = owned.jobs.get(&attempt) else { return Err("not_owner") };
        let leaving = self.membership.endpoint(endpoint).is_some_and(|e| e.leaving);
        let pinned = owned.sched.slots().pinned(attempt);
        let adapter = invariant::check_adapter_pin(attempt, row.adapter.as_ref(), pinned);
        let team = invariant::check_charged_team(attempt, &row.team, owned.sched.team(attempt));
        if !self.check_invariant(invariant::check_not_leaving(attempt, endpoint, leaving)) {
            return Err("endpoint_leaving");
        }
        match (self.check_invariant(adapter), self.check_invariant(team)) {
            (true, true) => Ok(()),
            _ => Err("invariant"),
        }
    }

    /// Sends a permit reply to an entry node, which may be this node.
    pub(crate) fn reply(
        &self,
        entry: &Node,
        attempt: AttemptId,
        reply: peer::PermitReply,
        out: &mut Vec<CoreOut>,
    ) {
        match *entry == self.node {
            true => out.push(CoreOut::Reply(attempt, reply)),
            false => {
                out.push(CoreOut::Send(vm_name(entry).to_owned(), Body::PermitReply(reply)));
            }
        }
    }

    /// Records the result of a load order; `done` is false if the load failed.
    pub fn on_loaded(
        &mut self,
        now: Ms,
        order: &EndpointOrder,
        done: bool,
        out: &mut Vec<CoreOut>,
    ) {
        if let Some(reservation) = self.load_permits.pop() {
            self.quota.release(now, reservation, 1);
        }
        self.with_owned(now, &order.endpoint, out, |owned, outs| match done {
            true => owned.sched.on_loaded(now, &order.adapter, order.epoch, outs),
            false => owned.sched.on_load_failed(now, &order.adapter, order.epoch, outs),
        });
    }

    /// Records an order whose answer was lost; its outcome follows from the endpoint's state.
    pub fn on_order_unknown(&mut self, now: Ms, order: &EndpointOrder, kind: OrderKind) {
        if kind == OrderKind::Load
            && let Some(reservation) = self.load_permits.pop()
        {
            self.quota.release(now, reservation, 1);
        }
        if let Some(owned) = self.owned.get_mut(&order.endpoint) {
            owned.on_order_unknown(
                now,
                order.adapter.clone(),
                order.epoch,
                kind == OrderKind::Evict,
            );
        }
    }

    /// Records the result of an eviction order; `done` is false if it failed.
    pub fn on_evicted(
        &mut self,
        now: Ms,
        order: &EndpointOrder,
        done: bool,
        out: &mut Vec<CoreOut>,
    ) {
        self.with_owned(now, &order.endpoint, out, |owned, outs| {
            owned.sched.on_evicted(now, &order.adapter, order.epoch, done, outs);
        });
    }

    /// Counts a crash once, even if several heartbeats report it.
    pub(crate) fn count_crash(&mut self, now: Ms, crash: peer::Crash, out: &mut Vec<CoreOut>) {
        let key = (crash.endpoint.clone(), crash.incarnation.clone());
        if !self.counted_crashes.insert(key) {
            return;
        }
        log::warn!(
            "endpoint {} crashed with {} fingerprints in flight",
            crash.endpoint,
            crash.flight.len()
        );
        // Peers must learn of the crash before the request is retried.
        self.next_heartbeat = now;
        let outs = self.quarantine.on_crash(now, &crash.flight);
        self.recent_crashes.retain(|(at, _)| now.since(*at) < CRASH_RETENTION);
        self.recent_crashes.push((now, crash));
        for o in outs {
            match o {
                QuarantineOut::Suspect(fp) => {
                    for owned in self.owned.values_mut() {
                        owned.sched.set_suspect(fp, true);
                    }
                }
                QuarantineOut::Clear(fp) => self.clear_suspect(fp),
                QuarantineOut::Quarantine(entry) => {
                    log::warn!(
                        "quarantined fingerprint {:016x}: {}",
                        entry.fingerprint,
                        entry.reason
                    );
                    self.refuse_quarantined(now, entry.fingerprint, entry.expiry.since(now), out);
                }
            }
        }
    }

    /// Refuses the queued jobs of a fingerprint that is quarantined for another `left`.
    pub(crate) fn refuse_quarantined(
        &mut self,
        now: Ms,
        fp: u64,
        left: Ms,
        out: &mut Vec<CoreOut>,
    ) {
        let names: Vec<Endpoint> = self.owned.keys().cloned().collect();
        for name in names {
            self.with_owned(now, &name, out, |owned, outs| owned.sched.quarantine(fp, left, outs));
        }
    }

    /// Clears a suspect fingerprint in all schedulers.
    pub(crate) fn clear_suspect(&mut self, fp: u64) {
        for owned in self.owned.values_mut() {
            owned.sched.set_suspect(fp, false);
        }
    }
}

/// Kind of order that a permit request asks for.
fn order_kind(req: &peer::PermitRequest) -> OrderKind {
    match req.repeatable {
        true => OrderKind::Infer,
        false => OrderKind::NonIdempotent,
    }
}
