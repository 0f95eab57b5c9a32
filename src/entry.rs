//! The entry node's decisions: admission, choice of endpoint, permits held.

use crate::core::{Core, Out};
use crate::denial::{Denial, Reason};
use crate::fleet::{EndpointRow, Pool, vm_name};
use crate::generated::peer::{self, frame::Body};
use crate::grant::Outcome;
use crate::ids::{AdapterRef, AttemptId, Endpoint, Map, Node, RequestId, Team};
use crate::place::{self, Candidate, Costs, PlaceRequest};
use crate::quota::{self, Reservation, Take};
use crate::time::Ms;
use crate::wire;

/// A permit that this entry node uses.
#[derive(Clone, Debug)]
pub(crate) struct HeldPermit {
    /// The endpoint.
    pub(crate) endpoint: Endpoint,
    /// The adapter that is pinned; none for base models and services.
    pub(crate) adapter: Option<AdapterRef>,
}

/// Requests of this entry node that wait for a permit, counted by endpoint and team.
#[derive(Debug, Default)]
pub(crate) struct Asked {
    attempts: Map<AttemptId, (Endpoint, Team)>,
    counts: Map<Endpoint, Map<Team, u32>>,
}

impl Asked {
    fn add(&mut self, attempt: AttemptId, endpoint: &Endpoint, team: &Team) {
        self.attempts.insert(attempt, (endpoint.clone(), team.clone()));
        *self.counts.entry(endpoint.clone()).or_default().entry(team.clone()).or_default() += 1;
    }

    /// Forgets an attempt that has its reply or was withdrawn.
    pub(crate) fn remove(&mut self, attempt: AttemptId) {
        let Some((endpoint, team)) = self.attempts.remove(&attempt) else { return };
        if let Some(n) = self.counts.get_mut(&endpoint).and_then(|c| c.get_mut(&team)) {
            *n = n.saturating_sub(1);
        }
    }

    fn count(&self, endpoint: &Endpoint, team: &Team) -> u32 {
        self.counts.get(endpoint).and_then(|c| c.get(team)).copied().unwrap_or(0)
    }
}

/// What a request needs of an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Demand {
    /// The request.
    pub(crate) request: RequestId,
    /// Team whose rate it uses.
    pub(crate) team: Team,
    /// Pool that serves it.
    pub(crate) pool: std::sync::Arc<str>,
    /// Adapter and version.
    pub(crate) adapter: Option<AdapterRef>,
    /// Priority class.
    pub(crate) kind: u8,
    /// Prompt plus maximum output.
    pub(crate) tokens: u64,
    /// Fingerprint of team, adapter and body.
    pub(crate) fingerprint: u64,
    /// Whether a second run is harmless.
    pub(crate) repeatable: bool,
    /// Instant after which the answer is useless.
    pub(crate) deadline: Ms,
}

/// Result of an attempt to admit a request.
#[derive(Debug)]
pub(crate) enum Admission {
    /// The tokens are reserved.
    Granted(Reservation),
    /// Loans are on their way; try again when they arrive.
    Wait,
    /// No tokens while seats pass to another holder, who starts them without stock:
    /// not a sign that the team exceeds its rate. Try again for a while.
    Moving(Box<Denial>),
    /// Refused.
    Denied(Box<Denial>),
}

impl Core {
    /// Takes tokens out of the team's quota, asking peers for loans if need be.
    pub(crate) fn admit(
        &mut self,
        now: Ms,
        team: &Team,
        tokens: u64,
        out: &mut Vec<Out>,
    ) -> Admission {
        match self.quota.take(now, team, tokens) {
            Take::Granted(reservation) => Admission::Granted(reservation),
            Take::Borrow => {
                for (node, ask) in self.quota.asks(now, team, tokens, &self.stock_views) {
                    let to = vm_name(&node).to_owned();
                    out.push(Out::Send(to, Body::LoanAsk(wire::ask(&ask))));
                }
                Admission::Wait
            }
            Take::Refused { reason: quota::Denied::Tokens, .. }
                if self.authority.seats_move(now, quota::Settings::default().quiet_time()) =>
            {
                Admission::Moving(Box::new(self.quota_denial(
                    team,
                    tokens,
                    quota::Denied::Tokens,
                    Some(Ms::secs(1)),
                )))
            }
            Take::Refused { reason, retry_after } => {
                Admission::Denied(Box::new(self.quota_denial(team, tokens, reason, retry_after)))
            }
        }
    }

    fn quota_denial(
        &self,
        team: &Team,
        tokens: u64,
        reason: quota::Denied,
        retry_after: Option<Ms>,
    ) -> Denial {
        let (reason, message) = match reason {
            quota::Denied::UnknownTeam => (Reason::NotReady, "the team is not configured"),
            quota::Denied::TooLarge => {
                (Reason::OverBurst, "the request asks for more tokens than the team's burst")
            }
            quota::Denied::Tokens | quota::Denied::Permits => {
                (Reason::RateExceeded, "the team's rate and burst are used up")
            }
            quota::Denied::Authority => {
                (Reason::NoAuthority, "the node has no authority over its share of the rate")
            }
        };
        let ledger = self.quota.ledger(team);
        let mut denial = Denial::new(reason, message)
            .fact("tokens", tokens)
            .fact("stock", ledger.stock / crate::bucket::MICRO as i64)
            .fact("seats", ledger.seats);
        if let Some(spec) = self.config.as_ref().and_then(|c| c.team(team.as_str())) {
            denial = denial.fact("rate", spec.rate).fact("burst", spec.burst);
        }
        denial.retry = retry_after;
        denial
    }

    /// Chooses an endpoint and its owner.
    ///
    /// # Errors
    /// Says why no endpoint can be used, with the number of candidates seen.
    pub(crate) fn route(
        &mut self,
        now: Ms,
        demand: &Demand,
        excluded: &[Endpoint],
    ) -> Result<(Endpoint, Node), Denial> {
        if let Some(adapter) = &demand.adapter {
            self.popularity.on_request(now, adapter);
        }
        let Self { fleet, popularity, rng, settings, asked, .. } = self;
        let none = |seen: usize| {
            let message = format!("no endpoint of pool {:?} can take the request", demand.pool);
            Denial::new(Reason::NoEndpoint, message)
                .retry_after(Ms::secs(1))
                .fact("candidates", seen)
        };
        let Some(pool) = fleet.pool(&demand.pool) else { return Err(none(0)) };
        let homes = homes(pool, demand.adapter.as_ref(), now, popularity);
        let candidates: Vec<Candidate<'_>> = pool
            .members
            .iter()
            .enumerate()
            .filter_map(|(at, i)| {
                let row = &fleet.endpoints()[*i];
                let usable =
                    !excluded.contains(&row.name) && !row.leaving && row.live_owner(now).is_some();
                let home = demand.adapter.is_none() || homes.contains(&(at as u16));
                let own = asked.count(&row.name, &demand.team);
                usable.then(|| candidate(now, row, demand, home, own, &settings.domain))
            })
            .collect();
        let request = PlaceRequest {
            tokens: demand.tokens,
            prompt: 0,
            deadline: demand.deadline,
            costs: Costs::default(),
        };
        let chosen =
            place::choose(now, &request, &candidates, rng).ok_or_else(|| none(candidates.len()))?;
        let name = candidates[chosen].endpoint.clone();
        let owner = fleet.endpoint(&name).and_then(|e| e.owner.clone());
        Ok((name, owner.ok_or_else(|| none(candidates.len()))?))
    }

    /// Asks the owner for a permit.
    pub(crate) fn ask_permit(
        &mut self,
        now: Ms,
        attempt: AttemptId,
        demand: &Demand,
        endpoint: &Endpoint,
        owner: &Node,
        out: &mut Vec<Out>,
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
            kind: u32::from(demand.kind),
            tokens: demand.tokens,
            deadline: demand.deadline.since(now).0,
            fingerprint: demand.fingerprint,
            repeatable: demand.repeatable,
        };
        self.asked.add(attempt, endpoint, &demand.team);
        if *owner == self.me {
            let me = self.me.clone();
            self.on_permit_request(now, &me, &req, out);
        } else {
            out.push(Out::Send(vm_name(owner).to_owned(), Body::PermitRequest(req)));
        }
    }

    /// Notes a permit in use, so that a new owner can be told of it.
    pub(crate) fn hold(&mut self, attempt: AttemptId, permit: HeldPermit) {
        self.asked.remove(attempt);
        self.held.insert(attempt, permit);
    }

    /// Withdraws a request for a permit.
    pub(crate) fn cancel_permit(
        &mut self,
        now: Ms,
        attempt: AttemptId,
        owner: &Node,
        out: &mut Vec<Out>,
    ) {
        self.asked.remove(attempt);
        let cancel = peer::PermitCancel { attempt: wire::attempt_bytes(attempt) };
        match *owner == self.me {
            true => self.on_permit_cancel(now, &cancel),
            false => out.push(Out::Send(vm_name(owner).to_owned(), Body::PermitCancel(cancel))),
        }
    }

    /// Reports the end of an attempt to the endpoint's present owner.
    pub(crate) fn end_permit(
        &mut self,
        now: Ms,
        attempt: AttemptId,
        owner: &Node,
        outcome: Outcome,
        tokens: u64,
        out: &mut Vec<Out>,
    ) {
        let held = self.held.remove(&attempt);
        let present = held
            .and_then(|h| self.fleet.endpoint(&h.endpoint).and_then(|e| e.owner.clone()))
            .unwrap_or_else(|| owner.clone());
        let end = peer::PermitEnd {
            attempt: wire::attempt_bytes(attempt),
            outcome: outcome.to_wire(),
            tokens,
        };
        match present == self.me {
            true => self.on_permit_end(now, &end, out),
            false => out.push(Out::Send(vm_name(&present).to_owned(), Body::PermitEnd(end))),
        }
    }
}

/// Positions of the adapter's rendezvous choices in its pool.
fn homes(
    pool: &Pool,
    adapter: Option<&AdapterRef>,
    now: Ms,
    popularity: &place::Popularity,
) -> Vec<u16> {
    let Some(adapter) = adapter else { return Vec::new() };
    let replicas = popularity.replicas(now, adapter);
    pool.ring.candidates(adapter, replicas).as_slice().to_vec()
}

fn candidate<'a>(
    now: Ms,
    row: &'a EndpointRow,
    demand: &Demand,
    home: bool,
    own: u32,
    domain: &str,
) -> Candidate<'a> {
    Candidate {
        endpoint: &row.name,
        load: &row.view,
        age: now.since(row.seen),
        loaded: demand.adapter.as_ref().is_none_or(|a| row.view.has(a)),
        same_domain: *row.domain == *domain,
        owned: true,
        home,
        prefix: 0,
        own,
    }
}
