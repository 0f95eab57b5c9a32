//! Token quotas of teams, and of the weight store, over all nodes of a cell.
//!
//! A team's quota is divided into [`SEATS_PER_TEAM`] equal parts, called seats.
//! The node that holds a seat refills it at its share of the team's rate, up to
//! its share of the burst. A node whose demand exceeds its seats borrows rate,
//! capacity, stock (available tokens) and permits from peers for a bounded time.
//!
//! The lender debits a loan before it sends it, and reverses the debit only after
//! the borrower has certainly stopped using the loan. Lost and late messages,
//! pauses and crashes can therefore lose tokens but never create them. The debt
//! of a crashed node is lost with it.
//!
//! All methods take a reading of the node's clock; a reading older than the
//! newest one counts as the newest. Read the clock after a [`LoanRequest`] has
//! arrived: with an older reading, a node that was paused could lend from seats
//! that it has lost. [`Quota::levels`] must run at least every
//! [`QuotaSettings::max_gap`], because nothing is refilled over longer gaps.
//!
//! A request is refused at the latest [`QuotaSettings::request_interval`] after
//! its first [`ReserveResult::Borrow`]. The burst of a spec that counts few
//! units, such as loads, should be at least [`SEATS_PER_TEAM`] units: a node
//! with a capacity below one unit has to borrow from peers for each request,
//! and the concurrency limit bounds the load anyway.
//!
//! ```
//! use sycamorefork::ids::Team;
//! use sycamorefork::quota::{Quota, QuotaSettings, RateSpec, ReserveResult, SEATS_PER_TEAM};
//! use sycamorefork::time::Ms;
//!
//! let team = Team::new("team");
//! let mut quota = Quota::new(QuotaSettings::default());
//! quota.set_rates(Ms(0), &[(team.clone(), RateSpec::new(1000, 500))]);
//! for seat in 0..SEATS_PER_TEAM {
//!     quota.gain_seat(Ms(0), &team, seat, Ms(0));
//! }
//! let ReserveResult::Granted(reservation) = quota.reserve(Ms(200), &team, 150) else { panic!() };
//! quota.release(Ms(300), reservation, 120);
//! let too_large = quota.reserve(Ms(300), &team, 501);
//! assert!(matches!(too_large, ReserveResult::Refused { retry_after: None, .. }));
//! ```

use crate::bucket::{
    BorrowedLoan, LentLoan, MAX_SPEC_TOKENS, MICROS_PER_TOKEN, QuotaShare, TokenBucket, amount_of,
    lendable_stock, proportion, shares_of,
};
pub use crate::bucket::{RateSpec, SEATS_PER_TEAM, TOTAL_SHARES};
use crate::failpoint::{Failpoint, active};
use crate::ids::{Map, Node, Team};
pub use crate::quota_types::{
    Loan, LoanRequest, PeerLevels, QuotaLevel, QuotaSettings, QuotaSnapshot,
};
use crate::time::Ms;

/// Tokens reserved for a request, with a permit where the spec limits concurrency.
///
/// Return it with [`Quota::release`]: the permit of a dropped reservation is never freed.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a reservation must be released"]
pub struct Reservation {
    team: Team,
    tokens: u64,
    permit: bool,
}

impl Reservation {
    /// The team whose quota is charged.
    pub fn team(&self) -> &Team {
        &self.team
    }

    /// Reserved tokens.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }
}

/// Why a reservation was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReserveError {
    /// The configuration has no such team.
    UnknownTeam,
    /// The request exceeds the team's burst, so it can never be granted.
    TooLarge,
    /// Too few tokens at this node and its peers.
    Tokens,
    /// No free permit of the concurrency limit at this node or its peers.
    Permits,
    /// The node currently has no authority over its seats.
    Authority,
}

/// Result of [`Quota::reserve`].
#[derive(Debug, PartialEq, Eq)]
pub enum ReserveResult {
    /// The tokens are reserved.
    Granted(Reservation),
    /// Too few tokens or permits at this node: send the requests of
    /// [`Quota::loan_requests`], then reserve again when the loans have arrived or
    /// after [`QuotaSettings::response_wait`].
    Borrow,
    /// Nothing is reserved.
    Refused {
        /// Why.
        reason: ReserveError,
        /// Time after which a retry can succeed; `None` if it never can.
        retry_after: Option<Ms>,
    },
}

/// A loan request that this node has sent.
#[derive(Debug)]
struct Pending {
    team: Team,
    node: Node,
    id: u64,
    sent: Ms,
    awaited: bool,
}

/// Quota of one team on this node.
#[derive(Debug)]
struct TeamQuota {
    bucket: TokenBucket,
    /// Whether the configuration in force has the team.
    configured: bool,
    /// Last time that loans were requested for a waiting request.
    last_borrow: Option<Ms>,
    /// Newest shares that each peer requested, with the time of its request.
    requested: Vec<(Node, QuotaShare, Ms)>,
    /// Instant until which permits count as scarce.
    scarce_until: Ms,
}

/// Seats, buckets and loans of one node.
#[derive(Debug)]
pub struct Quota {
    settings: QuotaSettings,
    teams: Map<Team, TeamQuota>,
    pending: Vec<Pending>,
    /// Teams with loans whose end is not set yet.
    open_ended: Vec<Team>,
    last_id: u64,
    /// Newest clock reading.
    latest: Ms,
    suspended: bool,
}

impl Quota {
    /// Creates the quota of a node that holds no seats.
    pub fn new(settings: QuotaSettings) -> Self {
        Self {
            settings,
            teams: Map::default(),
            pending: Vec::new(),
            open_ended: Vec::new(),
            last_id: 0,
            latest: Ms(0),
            suspended: false,
        }
    }

    /// Records a clock reading and returns the newest one.
    fn advance(&mut self, now: Ms) -> Ms {
        let now = now.max(self.latest);
        // A longer gap means that the process was paused. Other nodes may have
        // taken over its seats meanwhile, so nothing accrues for that time.
        if now.since(self.latest) > self.settings.max_gap {
            for entry in self.teams.values_mut() {
                entry.bucket.refill(self.latest, !self.suspended);
                entry.bucket.refill(now, false);
            }
        }
        if now > self.latest && !self.open_ended.is_empty() {
            let end = now + self.settings.loan_term + self.settings.slack(self.settings.loan_term);
            for team in std::mem::take(&mut self.open_ended) {
                if let Some(entry) = self.teams.get_mut(&team) {
                    entry.bucket.set_loan_ends(end);
                }
            }
        }
        self.latest = now;
        now
    }

    /// Applies the rates of a configuration; teams that it lacks get no tokens.
    ///
    /// The stock never grows by this and is cut to the new burst.
    pub fn set_rates(&mut self, now: Ms, rates: &[(Team, RateSpec)]) {
        let now = self.advance(now);
        for entry in self.teams.values_mut() {
            entry.bucket.refill(now, !self.suspended);
            entry.configured = false;
        }
        for (team, spec) in rates {
            let entry = self.entry(now, team);
            entry.configured = true;
            entry.bucket.set_spec(*spec);
        }
        for entry in self.teams.values_mut().filter(|e| !e.configured) {
            entry.bucket.set_spec(RateSpec::default());
        }
    }

    fn entry(&mut self, now: Ms, team: &Team) -> &mut TeamQuota {
        self.teams.entry(team.clone()).or_insert_with(|| TeamQuota {
            bucket: TokenBucket::new(now, RateSpec::default()),
            configured: false,
            last_borrow: None,
            requested: Vec::new(),
            scarce_until: Ms(0),
        })
    }

    /// Adds a seat without stock; it refills from `quiet_until` on.
    ///
    /// The seat must not refill while loans of its former holder may be in use,
    /// see [`QuotaSettings::quiet_period`].
    pub fn gain_seat(&mut self, now: Ms, team: &Team, index: usize, quiet_until: Ms) {
        let now = self.advance(now);
        let accrue = !self.suspended;
        let bucket = &mut self.entry(now, team).bucket;
        bucket.refill(now, accrue);
        bucket.set_seat(index, Some(quiet_until.max(now)));
    }

    /// Removes a seat and drops the stock beyond the remaining capacity.
    pub fn lose_seat(&mut self, now: Ms, team: &Team, index: usize) {
        let now = self.advance(now);
        let accrue = !self.suspended;
        let bucket = &mut self.entry(now, team).bucket;
        bucket.refill(now, accrue);
        bucket.set_seat(index, None);
    }

    /// Reserves tokens, and a permit where the team's concurrency is limited.
    pub fn reserve(&mut self, now: Ms, team: &Team, tokens: u64) -> ReserveResult {
        let now = self.advance(now);
        if self.suspended {
            return refused(ReserveError::Authority, Some(self.settings.request_interval));
        }
        let Some(entry) = self.teams.get_mut(team).filter(|e| e.configured) else {
            return refused(ReserveError::UnknownTeam, None);
        };
        let bucket = &mut entry.bucket;
        if tokens > bucket.spec.burst {
            return refused(ReserveError::TooLarge, None);
        }
        bucket.refill(now, true);
        let limited = bucket.spec.concurrent.is_some();
        let free = !limited || bucket.in_use < bucket.permits(now, self.settings.max_hold);
        let cost = (tokens * MICROS_PER_TOKEN) as i64;
        if free && bucket.stock >= cost {
            bucket.stock -= cost;
            bucket.in_use += 1;
            bucket.demand.record(now, tokens, bucket.in_use);
            return ReserveResult::Granted(Reservation {
                team: team.clone(),
                tokens,
                permit: limited,
            });
        }
        if !free {
            entry.scarce_until = now + Ms(self.settings.loan_term.0 / 2);
        }
        let wait = self.settings.response_wait;
        let awaited = |p: &Pending| p.awaited && p.team == *team && now.since(p.sent) < wait;
        let recent =
            entry.last_borrow.is_some_and(|at| now.since(at) < self.settings.request_interval);
        if !recent || self.pending.iter().any(awaited) {
            return ReserveResult::Borrow;
        }
        bucket.demand.record(now, tokens, bucket.in_use + 1);
        if !free {
            return refused(ReserveError::Permits, Some(self.settings.request_interval));
        }
        let short = (cost - bucket.stock) as u64;
        let after = short.checked_div(bucket.rate / 1000).unwrap_or(self.settings.loan_term.0);
        refused(ReserveError::Tokens, Some(Ms(after.clamp(1, 60_000))))
    }

    /// Loan requests to send after [`Quota::reserve`] has returned [`ReserveResult::Borrow`].
    pub fn loan_requests(
        &mut self,
        now: Ms,
        team: &Team,
        tokens: u64,
        peers: &PeerLevels,
    ) -> Vec<(Node, LoanRequest)> {
        let now = self.advance(now);
        let mut requests = Vec::new();
        if !self.suspended {
            self.add_loan_requests(now, team, tokens, peers, &mut requests);
        }
        requests
    }

    /// Loan requests ahead of demand, from a forecast of recent use; call it about every 100 ms.
    pub fn plan_loans(&mut self, now: Ms, peers: &PeerLevels) -> Vec<(Node, LoanRequest)> {
        let now = self.advance(now);
        let mut requests = Vec::new();
        if self.suspended {
            return requests;
        }
        let mut teams: Vec<Team> = Vec::new();
        for (team, entry) in &mut self.teams {
            let used = entry.bucket.demand.forecast(now) > 0 || !entry.bucket.borrowed.is_empty();
            if entry.configured && used {
                teams.push(team.clone());
            }
        }
        teams.sort();
        for team in &teams {
            self.add_loan_requests(now, team, 0, peers, &mut requests);
        }
        requests
    }

    /// Adds the loan requests of one team; `tokens` is 0 if no request waits for them.
    fn add_loan_requests(
        &mut self,
        now: Ms,
        team: &Team,
        tokens: u64,
        peers: &PeerLevels,
        requests: &mut Vec<(Node, LoanRequest)>,
    ) {
        let QuotaSettings { loan_term: term, request_interval: interval, .. } = self.settings;
        self.pending.retain(|p| now.since(p.sent) < term);
        let Some(entry) = self.teams.get_mut(team).filter(|e| e.configured) else { return };
        let bucket = &mut entry.bucket;
        bucket.refill(now, true);
        let urgent = tokens > 0;
        if urgent {
            entry.last_borrow = Some(now);
        }
        let need = bucket.needed_shares(now, tokens);
        let lack = need.minus(bucket.own.minus(bucket.lent_to(None)));
        let target = amount_of(bucket.spec.burst * MICROS_PER_TOKEN, need.burst);
        let short = (target as i64).saturating_sub(bucket.stock).max(0) as u64;
        // Levels lag by a heartbeat, so a waiting request asks for twice the shortage.
        let want = short * (1 + u64::from(urgent));
        let least =
            ((tokens * MICROS_PER_TOKEN) as i64).saturating_sub(bucket.stock).max(0) as u64 * 2;
        let least = least * u64::from(urgent);
        let levels: Vec<(&Node, &QuotaLevel)> =
            peers.0.iter().filter_map(|(n, l)| Some((n, l.get(team)?))).collect();
        let sum = |f: fn(&QuotaLevel) -> u64| levels.iter().map(|(_, l)| f(l)).sum::<u64>();
        let (stock, rate, burst) = (sum(|l| l.stock), sum(|l| l.rate), sum(|l| l.burst));
        let mut permits = lack.permits;
        for (node, level) in levels {
            let held = bucket.borrowed.iter().find(|b| b.from == *node);
            let idle = bucket.permits(now, self.settings.max_hold).saturating_sub(bucket.in_use);
            let held_permits = held.map_or(0, |b| b.share.permits);
            let req = LoanRequest {
                team: team.clone(),
                id: self.last_id + 1,
                holds: held.map_or(0, |b| b.id),
                returns: false,
                stock: proportion(want, level.stock, stock).min(level.stock.saturating_mul(2)),
                least: proportion(least, level.stock, stock),
                rate: proportion(lack.rate, level.rate, rate),
                burst: proportion(lack.burst, level.burst, burst),
                // A permit that an open reservation may use is not returned.
                permits: permits.min(level.permits).max(held_permits.saturating_sub(idle)),
            };
            permits = permits.saturating_sub(req.permits);
            let share = QuotaShare { rate: req.rate, burst: req.burst, permits: req.permits };
            // Shares that are no longer needed are returned before their loan ends.
            let returns = !urgent
                && held.is_some_and(|b| {
                    b.share.rate > share.rate + TOTAL_SHARES / 8
                        || b.share.burst > share.burst + TOTAL_SHARES / 8
                        || held_permits > share.permits
                });
            if req.stock == 0 && share == QuotaShare::default() && !returns {
                continue;
            }
            let to_node = self.pending.iter().filter(|p| p.node == *node && p.team == *team);
            let last_sent = to_node.map(|p| p.sent).max();
            let pause = if urgent || returns { interval } else { Ms(interval.0 * 5) };
            if last_sent.is_some_and(|at| now.since(at) < pause) {
                continue;
            }
            // Growth of less than a sixteenth is not worth a message.
            let grows = held.is_none_or(|b| {
                req.rate > b.share.rate + b.share.rate / 16
                    || req.burst > b.share.burst + b.share.burst / 16
                    || req.permits > b.share.permits
            });
            let renewal_due = held.is_some_and(|b| b.end <= now + Ms(term.0 / 2));
            if urgent || grows || renewal_due || returns {
                self.last_id += 1;
                let req = LoanRequest { returns, ..req };
                if let Some(held) = bucket.borrowed.iter_mut().find(|b| b.from == *node)
                    && returns
                {
                    held.share = held.share.min(share);
                    bucket.recompute();
                }
                let (team, node) = (team.clone(), node.clone());
                self.pending.push(Pending { team, node, id: req.id, sent: now, awaited: true });
                requests.push((self.pending[self.pending.len() - 1].node.clone(), req));
            }
        }
    }

    /// Lends to a peer; the loan is debited when this returns.
    ///
    /// `None` for a repeated request, an unknown team or a node without authority.
    pub fn on_loan_request(&mut self, now: Ms, from: &Node, req: &LoanRequest) -> Option<Loan> {
        let now = self.advance(now);
        let term = self.settings.loan_term;
        let entry = self.teams.get_mut(&req.team).filter(|e| e.configured && !self.suspended)?;
        let bucket = &mut entry.bucket;
        bucket.refill(now, true);
        if bucket.lent.iter().any(|l| l.to == *from && l.id >= req.id) {
            return None;
        }
        bucket.acknowledge(from, req.holds);
        let want = QuotaShare { rate: req.rate, burst: req.burst, permits: req.permits };
        if req.returns {
            bucket.reduce_lent(from, req.holds, want);
            bucket.recompute();
        }
        entry.requested.retain(|(n, _, at)| n != from && now.since(*at) < term);
        let held: u64 = bucket.lent.iter().filter(|l| l.to == *from).map(|l| l.share.permits).sum();
        let waiting = entry.requested.iter().any(|(n, r, _)| {
            r.permits > 0 && !bucket.lent.iter().any(|l| l.to == *n && l.share.permits > 0)
        });
        entry.requested.push((from.clone(), want, now));

        let keep = bucket.needed_shares(now, 0);
        let own = bucket.own;
        let mut free = own.minus(bucket.lent_to(Some(from)));
        free.permits = free.permits.saturating_sub(bucket.in_use);
        // If the demands of the peers and of the lender itself exceed what it has,
        // each gets a proportional part.
        let all = |f: fn(&QuotaShare) -> u64| {
            f(&keep) + entry.requested.iter().map(|(_, r, _)| f(r)).sum::<u64>()
        };
        let fair = |want: u64, all: u64, own: u64| match all > own {
            true => (u128::from(own) * u128::from(want) / u128::from(all)) as u64,
            false => want,
        };
        let all_stock = u64::try_from(bucket.stock).unwrap_or(0);
        let least = req
            .least
            .min(all_stock)
            .min(amount_of(bucket.spec.burst * MICROS_PER_TOKEN, free.burst));
        let stock = req.stock.min(lendable_stock(bucket, now)).max(least);
        let burst = fair(want.burst, all(|s| s.burst), own.burst);
        let share = QuotaShare {
            rate: fair(want.rate, all(|s| s.rate), own.rate).min(free.rate),
            // The lender does not need the capacity of the tokens that it lends.
            burst: burst
                .max(shares_of(least, bucket.spec.burst * MICROS_PER_TOKEN))
                .min(free.burst),
            // A borrower with permits gets no more while another one waits for some.
            permits: match held > 0 && waiting {
                true => 0,
                false => want.permits.min(free.permits),
            },
        };
        if share.permits < want.permits {
            entry.scarce_until = now + Ms(term.0 / 2);
        }
        let scarce = now < entry.scarce_until;
        if !active(Failpoint::DoubleLoan) {
            bucket.stock -= stock as i64;
        }
        if stock > 0 || share != QuotaShare::default() {
            let (to, id, in_flight) = (from.clone(), req.id, stock);
            bucket.lent.push(LentLoan { to, id, end: None, share, in_flight });
            bucket.recompute();
            if !self.open_ended.contains(&req.team) {
                self.open_ended.push(req.team.clone());
            }
        }
        let QuotaShare { rate, burst, permits } = share;
        Some(Loan { team: req.team.clone(), id: req.id, stock, rate, burst, permits, scarce, term })
    }

    /// Adds a loan that answers a request of this node; other loans are ignored.
    pub fn on_loan(&mut self, now: Ms, from: &Node, loan: &Loan) {
        let now = self.advance(now);
        let matches = |p: &Pending| p.node == *from && p.team == loan.team;
        let Some(at) = self.pending.iter().position(|p| matches(p) && p.id == loan.id) else {
            return;
        };
        let sent = self.pending[at].sent;
        let end = sent + (loan.term - self.settings.slack(loan.term));
        for p in self.pending.iter_mut().filter(|p| matches(p) && p.id <= loan.id) {
            p.awaited = false;
        }
        let Some(entry) = self.teams.get_mut(&loan.team) else { return };
        let bucket = &mut entry.bucket;
        bucket.refill(now, !self.suspended);
        let newer = bucket.borrowed.iter().any(|b| b.from == *from && b.id >= loan.id);
        if now >= end || newer || self.suspended {
            return;
        }
        bucket.borrowed.retain(|b| b.from != *from);
        let share = QuotaShare { rate: loan.rate, burst: loan.burst, permits: loan.permits };
        let (from, id, scarce) = (from.clone(), loan.id, loan.scarce);
        bucket.borrowed.push(BorrowedLoan { from, id, end, share, scarce });
        bucket.recompute();
        let stock = i64::try_from(loan.stock).unwrap_or(i64::MAX);
        bucket.stock = bucket.stock.saturating_add(stock).min(bucket.capacity);
    }

    /// Returns the unused part of a reservation, or carries the overrun as debt.
    pub fn release(&mut self, now: Ms, reservation: Reservation, used: u64) {
        let now = self.advance(now);
        let accrue = !self.suspended;
        let Some(entry) = self.teams.get_mut(&reservation.team) else { return };
        let bucket = &mut entry.bucket;
        bucket.refill(now, accrue);
        bucket.in_use = bucket.in_use.saturating_sub(1);
        let unused = reservation.tokens as i64 - used.min(MAX_SPEC_TOKENS) as i64;
        bucket.demand.subtract(now, unused.max(0) as u64);
        bucket.stock =
            bucket.stock.saturating_add(unused * MICROS_PER_TOKEN as i64).min(bucket.capacity);
    }

    /// Lendable amounts for the next heartbeat, sorted by team.
    pub fn levels(&mut self, now: Ms) -> Vec<QuotaLevel> {
        let now = self.advance(now);
        let mut levels = Vec::new();
        for (team, entry) in &mut self.teams {
            let bucket = &mut entry.bucket;
            bucket.refill(now, !self.suspended);
            if self.suspended || !entry.configured {
                continue;
            }
            let own = bucket.own;
            let free = own.minus(bucket.needed_shares(now, 0));
            levels.push(QuotaLevel {
                team: team.clone(),
                stock: lendable_stock(bucket, now),
                // Peers may also request a small part from a busy node.
                rate: free.rate.max(own.rate / 8),
                burst: free.burst.max(own.burst / 8),
                permits: own.permits,
                seats: bucket.active_seats(now),
            });
        }
        levels.sort_by(|a, b| a.team.cmp(&b.team));
        levels
    }

    /// Stops granting, lending and refilling, because the node lost its authority.
    pub fn suspend(&mut self, now: Ms) {
        let now = self.advance(now);
        for entry in self.teams.values_mut() {
            entry.bucket.refill(now, !self.suspended);
        }
        self.suspended = true;
    }

    /// Resumes granting, lending and refilling for the seats that the node still holds.
    pub fn resume(&mut self, now: Ms) {
        let now = self.advance(now);
        for entry in self.teams.values_mut() {
            entry.bucket.refill(now, !self.suspended);
        }
        self.suspended = false;
    }

    /// Seats of the team that refill at this node.
    pub fn active_seats(&self, now: Ms, team: &Team) -> u64 {
        self.teams.get(team).map_or(0, |e| e.bucket.active_seats(now))
    }

    /// State of a team's quota as of its last refill; [`Quota::levels`] refills all teams.
    pub fn snapshot(&self, team: &Team) -> QuotaSnapshot {
        let Some(bucket) = self.teams.get(team).map(|e| &e.bucket) else {
            return QuotaSnapshot::default();
        };
        QuotaSnapshot {
            stock: bucket.stock,
            capacity: bucket.capacity,
            rate: bucket.rate,
            in_flight: bucket.lent.iter().map(|l| l.in_flight).sum(),
            seats: bucket.held_seats(),
            in_use: bucket.in_use,
            permits: bucket.permits(self.latest, Ms(0)),
        }
    }
}

fn refused(reason: ReserveError, retry_after: Option<Ms>) -> ReserveResult {
    ReserveResult::Refused { reason, retry_after }
}
