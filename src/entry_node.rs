//! The entry node's decisions: admission, choice of endpoint, permits held.

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

/// Age from which a peer's count of its seats no longer counts.
const SEATS_LIFE: Ms = Ms::secs(2);

/// A permit that this entry node uses.
#[derive(Clone, Debug)]
pub struct HeldPermit {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// The adapter that is pinned; none for base models and services.
    pub adapter: Option<AdapterRef>,
}

/// A request of this entry node that waits for a permit.
#[derive(Clone, Debug)]
pub(crate) struct Asked {
    pool: Arc<str>,
    position: usize,
    team: Team,
}

/// What a request needs of an endpoint.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// The request.
    pub request: RequestId,
    /// Team whose rate it uses.
    pub team: Team,
    /// Pool that serves it.
    pub pool: Arc<str>,
    /// Adapter and version.
    pub adapter: Option<AdapterRef>,
    /// Priority class.
    pub priority: u8,
    /// Prompt plus maximum output.
    pub tokens: u64,
    /// Fingerprint of team, adapter and body.
    pub fingerprint: u64,
    /// Whether a second run is harmless.
    pub repeatable: bool,
    /// Instant after which the answer is useless.
    pub deadline: Ms,
}

/// Where a request goes.
#[derive(Clone, Debug)]
pub struct RouteTarget {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Its owner.
    pub owner: Node,
}

/// Result of an attempt to admit a request.
#[derive(Debug)]
pub enum AdmitResult {
    /// The tokens are reserved.
    Granted(Reservation),
    /// Loans are on their way; try again when they arrive.
    AwaitLoans,
    /// No tokens while seats pass to another holder, who starts them without stock:
    /// not a sign that the team exceeds its rate. Try again for a while.
    AwaitSeats(Box<Denial>),
    /// Refused.
    Denied(Box<Denial>),
}

impl Core {
    /// Takes tokens out of the team's quota, asking peers for loans if need be.
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
                for (node, ask) in self.quota.loan_requests(now, team, tokens, &self.stock_views) {
                    let to = vm_name(&node).to_owned();
                    out.push(CoreOut::Send(to, Body::LoanAsk(wire::ask(&ask))));
                }
                AdmitResult::AwaitLoans
            }
            ReserveResult::Refused { reason: quota::ReserveError::Tokens, .. }
                if self.seats_move(now, team) =>
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

    /// Whether a part of the team's rate is without a working holder at present.
    ///
    /// Heartbeats tell how many seats refill at each peer; rows and leases tell of
    /// a holder that has ended, whose last heartbeat still counts its seats.
    fn seats_move(&self, now: Ms, team: &Team) -> bool {
        let fresh = |p: &&PeerRow| p.heard.is_some_and(|at| now.since(at) < SEATS_LIFE);
        let peers = self.membership.peers().values().filter(fresh).filter_map(|p| p.node.as_ref());
        let others: u64 = peers.map(|n| self.stock_views.seats(n, team)).sum();
        let working = self.quota.active_seats(now, team) + others;
        let quiet = quota::QuotaSettings::default().quiet_period();
        working < SEATS_PER_TEAM as u64 || self.authority.seats_move(now, quiet)
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
        let ledger = self.quota.snapshot(team);
        let mut denial = Denial::new(reason, message)
            .fact("tokens", tokens)
            .fact("stock", ledger.stock / crate::bucket::MICROS_PER_TOKEN as i64)
            .fact("seats", ledger.seats);
        if let Some(spec) = self.config.as_ref().and_then(|c| c.team(team.as_str())) {
            denial = denial.fact("rate", spec.rate).fact("burst", spec.burst);
        }
        denial.retry_after = retry_after;
        denial
    }

    /// Chooses an endpoint and its owner.
    ///
    /// # Errors
    /// Says why no endpoint can be used, with the number of candidates seen.
    pub fn route(
        &mut self,
        now: Ms,
        attempt: AttemptId,
        demand: &RequestSpec,
        excluded: &[Endpoint],
    ) -> Result<RouteTarget, Denial> {
        let Self { membership: fleet, rng, .. } = self;
        let none = |seen: usize| {
            let message = format!("no endpoint of pool {:?} can take the request", demand.pool);
            Denial::new(Reason::NoEndpoint, message)
                .retry_after(Ms::secs(1))
                .fact("candidates", seen)
        };
        let Some(pool) = fleet.pool_mut(&demand.pool) else { return Err(none(0)) };
        let tried: Vec<usize> =
            excluded.iter().filter_map(|e| pool.members.binary_search(e).ok()).collect();
        let query = RouteQuery {
            team: &demand.team,
            adapter: demand.adapter.as_ref(),
            tokens: demand.tokens,
            prompt: 0,
            deadline: demand.deadline,
            tried: &tried,
        };
        let seen = pool.members.len() - tried.len();
        let position = pool.cell.route(now, &query, rng).ok_or_else(|| none(seen))?;
        let endpoint = pool.members[position].clone();
        let owner = fleet.endpoint(&endpoint).and_then(|e| e.owner.clone());
        let owner = owner.ok_or_else(|| none(seen))?;
        let (pool, team) = (demand.pool.clone(), demand.team.clone());
        self.asked.insert(attempt, Asked { pool, position, team });
        Ok(RouteTarget { endpoint, owner })
    }

    /// Ends the count of a request that waited for a permit.
    pub fn end_permit_wait(&mut self, attempt: AttemptId) {
        let Some(asked) = self.asked.remove(&attempt) else { return };
        if let Some(pool) = self.membership.pool_mut(&asked.pool)
            && asked.position < pool.members.len()
        {
            pool.cell.on_reply(asked.position, &asked.team);
        }
    }

    /// The owner of an endpoint, unless it is silent.
    pub fn live_owner(&self, now: Ms, endpoint: &Endpoint) -> Option<&Node> {
        self.membership.endpoint(endpoint)?.live_owner(now)
    }

    /// Asks the owner for a permit.
    pub fn request_permit(
        &mut self,
        now: Ms,
        attempt: AttemptId,
        demand: &RequestSpec,
        endpoint: &Endpoint,
        owner: &Node,
        out: &mut Vec<CoreOut>,
    ) {
        let (adapter, version) = match &demand.adapter {
            Some(a) => (a.adapter.to_string(), a.version.to_string()),
            None => Default::default(),
        };
        let req = peer::PermitRequest {
            attempt: wire::attempt_bytes(attempt),
            request: demand.request.0.to_be_bytes().to_vec(),
            team: demand.team.to_string(),
            endpoint: endpoint.to_string(),
            adapter,
            version,
            kind: u32::from(demand.priority),
            tokens: demand.tokens,
            deadline: demand.deadline.since(now).0,
            fingerprint: demand.fingerprint,
            repeatable: demand.repeatable,
        };
        if *owner == self.node {
            let me = self.node.clone();
            self.on_permit_request(now, &me, &req, out);
        } else {
            out.push(CoreOut::Send(vm_name(owner).to_owned(), Body::PermitRequest(req)));
        }
    }

    /// Notes a permit in use, so that a new owner can be told of it.
    pub fn hold_permit(&mut self, attempt: AttemptId, permit: HeldPermit) {
        self.end_permit_wait(attempt);
        self.held.insert(attempt, permit);
    }

    /// Withdraws a request for a permit.
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

    /// Reports the end of an attempt to the endpoint's present owner.
    pub fn end_permit(
        &mut self,
        now: Ms,
        attempt: AttemptId,
        owner: &Node,
        outcome: AttemptOutcome,
        tokens: u64,
        out: &mut Vec<CoreOut>,
    ) {
        let held = self.held.remove(&attempt);
        let present = held
            .and_then(|h| self.membership.endpoint(&h.endpoint).and_then(|e| e.owner.clone()))
            .unwrap_or_else(|| owner.clone());
        let end = peer::PermitEnd {
            attempt: wire::attempt_bytes(attempt),
            outcome: outcome.to_wire(),
            tokens,
        };
        match present == self.node {
            true => self.on_permit_end(now, &end, out),
            false => out.push(CoreOut::Send(vm_name(&present).to_owned(), Body::PermitEnd(end))),
        }
    }
}
