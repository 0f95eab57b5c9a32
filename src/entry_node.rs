//! Decisions of the entry node of a request: admission, routing and permits.

use std::sync::Arc;

use crate::cell_router::RouteQuery;
use crate::core::{Core, CoreOut};
use crate::denial::{Denial, Reason};
use crate::generated::peer::{self, frame::Body};
use crate::ids::{AdapterRef, AttemptId, Endpoint, Node, RequestId, Team};
use crate::membership::{PeerRow, vm_name};
use crate::permit_issuer::AttemptOutcome;
use crate::quota::{self, Reservation, ReserveResult, SEATS_PER_TEAM};
use crate::time::Ms;
use crate::wire;

/// Maximum age of a peer's report of its seats.
const MAX_SEAT_COUNT_AGE: Ms = Ms::secs(2);

/// A permit in use by this entry node.
#[derive(Clone, Debug)]
pub struct HeldPermit {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// The pinned adapter; `None` for base models and services.
    pub adapter: Option<AdapterRef>,
}

/// A request of this entry node that waits for a permit.
#[derive(Clone, Debug)]
pub(crate) struct PermitWait {
    pool: Arc<str>,
    position: usize,
    team: Team,
}

/// Properties of a request that determine its routing and its permit.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// Identifier of the request.
    pub request: RequestId,
    /// Team whose quota is charged.
    pub team: Team,
    /// Pool that serves the request.
    pub pool: Arc<str>,
    /// Adapter and version.
    pub adapter: Option<AdapterRef>,
    /// Priority class.
    pub priority: u8,
    /// Number of prompt tokens plus the maximum number of output tokens.
    pub tokens: u64,
    /// Fingerprint of team, adapter and body.
    pub fingerprint: u64,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Time after which the answer is of no use.
    pub deadline: Ms,
}

/// Destination of a request.
#[derive(Clone, Debug)]
pub struct RouteTarget {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// The owner of the endpoint.
    pub owner: Node,
}

/// Result of an attempt to admit a request.
#[derive(Debug)]
pub enum AdmitResult {
    /// The tokens are reserved.
    Granted(Reservation),
    /// Loans have been requested; try again when they arrive.
    AwaitLoans,
    /// There are no tokens while seats change their holder, because a new holder starts with
    /// an empty stock. This does not mean that the team exceeds its rate; try again for a
    /// limited time.
    AwaitSeats(Box<Denial>),
    /// The request is refused.
    Denied(Box<Denial>),
}

impl Core {
    /// Reserves tokens of the team's quota. Requests loans from peers if too few are available
    /// here.
    pub fn admit(
        &mut self,
        now: Ms,
        team: &Team,
        tokens: u64,
        out: &mut Vec<CoreOut>,
    ) -> AdmitResult {
        match self.quota.reserve(now, team, tokens) {
            ReserveResult::Granted(reservation) => AdmitResult::Granted(reservation),
            ReserveResult::Borrow => {
                for (node, ask) in self.quota.loan_requests(now, team, tokens, &self.peer_quotas) {
                    let to = vm_name(&node).to_owned();
                    out.push(CoreOut::Send(to, Body::LoanAsk(wire::loan_ask(&ask))));
                }
                AdmitResult::AwaitLoans
            }
            ReserveResult::Refused { reason: quota::ReserveError::Tokens, .. }
                if self.seats_changing(now, team) =>
            {
                AdmitResult::AwaitSeats(Box::new(self.quota_denial(
                    team,
                    tokens,
                    quota::ReserveError::Tokens,
                    Some(Ms::secs(1)),
                )))
            }
            ReserveResult::Refused { reason, retry_after } => {
                AdmitResult::Denied(Box::new(self.quota_denial(team, tokens, reason, retry_after)))
            }
        }
    }

    /// Whether part of the team's rate currently has no working holder.
    ///
    /// Heartbeats report the number of seats that refill at each peer. The last heartbeat of
    /// an ended holder still counts its seats, so rows and leases are checked too.
    fn seats_changing(&self, now: Ms, team: &Team) -> bool {
        let recent = |p: &&PeerRow| p.heard.is_some_and(|at| now.since(at) < MAX_SEAT_COUNT_AGE);
        let peers = self.membership.peers().values().filter(recent).filter_map(|p| p.node.as_ref());
        let others: u64 = peers.map(|n| self.peer_quotas.seats(n, team)).sum();
        let working = self.quota.active_seats(now, team) + others;
        let quiet = quota::QuotaSettings::default().quiet_period();
        working < SEATS_PER_TEAM as u64 || self.authority.seats_changing(now, quiet)
    }

    fn quota_denial(
        &self,
        team: &Team,
        tokens: u64,
        reason: quota::ReserveError,
        retry_after: Option<Ms>,
    ) -> Denial {
        let (reason, message) = match reason {
            quota::ReserveError::UnknownTeam => (Reason::NotReady, "the team is not configured"),
            quota::ReserveError::TooLarge => {
                (Reason::OverBurst, "the request asks for more tokens than the team's burst")
            }
            quota::ReserveError::Tokens | quota::ReserveError::Permits => {
                (Reason::RateExceeded, "the team's rate and burst are used up")
            }
            quota::ReserveError::Authority => {
                (Reason::NoAuthority, "the node has no authority over its share of the rate")
            }
        };
        let snapshot = self.quota.snapshot(team);
        let mut denial = Denial::new(reason, message)
            .fact("tokens", tokens)
            .fact("stock", snapshot.stock / crate::bucket::MICROS_PER_TOKEN as i64)
            .fact("seats", snapshot.seats);
        if let Some(team) = self.config.as_ref().and_then(|c| c.team(team.as_str())) {
            denial = denial.fact("rate", team.rate).fact("burst", team.burst);
        }
        denial.retry_after = retry_after;
        denial
    }

    /// Chooses an endpoint and its owner.
    ///
    /// # Errors
    /// Returns a denial with the number of candidates if no endpoint can be used.
    pub fn route(
        &mut self,
        now: Ms,
        attempt: AttemptId,
        spec: &RequestSpec,
        excluded: &[Endpoint],
    ) -> Result<RouteTarget, Denial> {
        let Self { membership, rng, .. } = self;
        let none = |seen: usize| {
            let message = format!("no endpoint of pool {:?} can take the request", spec.pool);
            Denial::new(Reason::NoEndpoint, message)
                .retry_after(Ms::secs(1))
                .fact("candidates", seen)
        };
        let Some(pool) = membership.pool_mut(&spec.pool) else { return Err(none(0)) };
        let tried: Vec<usize> =
            excluded.iter().filter_map(|e| pool.members.binary_search(e).ok()).collect();
        let query = RouteQuery {
            team: &spec.team,
            adapter: spec.adapter.as_ref(),
            tokens: spec.tokens,
            prompt: 0,
            deadline: spec.deadline,
            tried: &tried,
        };
        let seen = pool.members.len() - tried.len();
        let position = pool.cell.route(now, &query, rng).ok_or_else(|| none(seen))?;
        let endpoint = pool.members[position].clone();
        let owner = membership.endpoint(&endpoint).and_then(|e| e.owner.clone());
        let owner = owner.ok_or_else(|| none(seen))?;
        let (pool, team) = (spec.pool.clone(), spec.team.clone());
        self.permit_waits.insert(attempt, PermitWait { pool, position, team });
        Ok(RouteTarget { endpoint, owner })
    }

    /// Removes a waiting request from the load estimate of its endpoint.
    pub fn end_permit_wait(&mut self, attempt: AttemptId) {
        let Some(wait) = self.permit_waits.remove(&attempt) else { return };
        if let Some(pool) = self.membership.pool_mut(&wait.pool)
            && wait.position < pool.members.len()
        {
            pool.cell.on_reply(wait.position, &wait.team);
        }
    }

    /// The owner of an endpoint, unless its last heartbeat is too old.
    pub fn live_owner(&self, now: Ms, endpoint: &Endpoint) -> Option<&Node> {
        self.membership.endpoint(endpoint)?.live_owner(now)
    }

    /// Requests a permit from the owner.
    pub fn request_permit(
        &mut self,
        now: Ms,
        attempt: AttemptId,
        spec: &RequestSpec,
        endpoint: &Endpoint,
        owner: &Node,
        out: &mut Vec<CoreOut>,
    ) {
        let (adapter, version) = match &spec.adapter {
            Some(a) => (a.adapter.to_string(), a.version.to_string()),
            None => Default::default(),
        };
        let req = peer::PermitRequest {
            attempt: wire::attempt_bytes(attempt),
            request: spec.request.0.to_be_bytes().to_vec(),
            team: spec.team.to_string(),
            endpoint: endpoint.to_string(),
            adapter,
            version,
            kind: u32::from(spec.priority),
            tokens: spec.tokens,
            deadline: spec.deadline.since(now).0,
            fingerprint: spec.fingerprint,
            repeatable: spec.repeatable,
        };
        if *owner == self.node {
            let node = self.node.clone();
            self.on_permit_request(now, &node, &req, out);
        } else {
            out.push(CoreOut::Send(vm_name(owner).to_owned(), Body::PermitRequest(req)));
        }
    }

    /// Records a permit in use, so that it can be announced to a new owner.
    pub fn hold_permit(&mut self, attempt: AttemptId, permit: HeldPermit) {
        self.end_permit_wait(attempt);
        self.held_permits.insert(attempt, permit);
    }

    /// Cancels a request for a permit.
    pub fn cancel_permit(
        &mut self,
        now: Ms,
        attempt: AttemptId,
        owner: &Node,
        out: &mut Vec<CoreOut>,
    ) {
        self.end_permit_wait(attempt);
        let cancel = peer::PermitCancel { attempt: wire::attempt_bytes(attempt) };
        match *owner == self.node {
            true => self.on_permit_cancel(now, &cancel),
            false => out.push(CoreOut::Send(vm_name(owner).to_owned(), Body::PermitCancel(cancel))),
        }
    }

    /// Reports the end of an attempt to the current owner of the endpoint.
    pub fn end_permit(
        &mut self,
        now: Ms,
        attempt: AttemptId,
        owner: &Node,
        outcome: AttemptOutcome,
        tokens: u64,
        out: &mut Vec<CoreOut>,
    ) {
        let held = self.held_permits.remove(&attempt);
        let current = held
            .and_then(|h| self.membership.endpoint(&h.endpoint).and_then(|e| e.owner.clone()))
            .unwrap_or_else(|| owner.clone());
        let end = peer::PermitEnd {
            attempt: wire::attempt_bytes(attempt),
            outcome: outcome.to_wire(),
            tokens,
        };
        match current == self.node {
            true => self.on_permit_end(now, &end, out),
            false => out.push(CoreOut::Send(vm_name(&current).to_owned(), Body::PermitEnd(end))),
        }
    }
}
