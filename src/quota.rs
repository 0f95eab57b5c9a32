//! Quotas of teams, and of the weight store, over all nodes of a cell.
//!
//! A team has [`SEATS_PER_TEAM`] seats; the node that holds a seat refills it at its
//! share of the team's rate up to its share of the burst. A node whose demand
//! exceeds its seats borrows rate, capacity, stock and permits from peers for a
//! bounded time. The lender debits before the loan leaves and takes the debit
//! back only after the borrower has certainly stopped using the loan, so lost
//! and late messages, pauses and crashes can lose tokens but never create them.
//! Debt of a crashed node is lost with it.
//!
//! All methods take the node's clock reading. A reading older than the newest
//! one counts as the newest. Read the clock after a [`LoanRequest`] has arrived: a
//! paused node with an older reading may have lost the seats it would lend. [`Quota::levels`] must run at least every
//! [`QuotaSettings::gap`], because refill is dropped over longer silences.
//!
//! A caller is refused at the latest [`QuotaSettings::cool`] after its first
//! [`ReserveResult::Borrow`]. The burst of a spec with few units, such as loads, should
//! be at least [`SEATS_PER_TEAM`] units: a node whose capacity is below one unit must
//! gather it from peers for each request, and the concurrency limit bounds the
//! load anyway.
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
//! assert!(matches!(quota.reserve(Ms(300), &team, 501), ReserveResult::Refused { retry_after: None, .. }));
//! ```

use crate::bucket::{Borrowed, Bucket, Lent, MICROS_PER_TOKEN, SPEC_MAX, Share, part, shares};
pub use crate::bucket::{RateSpec, SEATS_PER_TEAM, SHARES};
use crate::failpoint::{Failpoint, active};
use crate::ids::{Map, Node, Team};
pub use crate::quota_types::{Loan, LoanRequest, PeerLevels, QuotaLevel, QuotaSettings};
use crate::time::Ms;

/// Tokens, and a permit where the spec limits concurrency, that a request holds.
///
/// Hand it back with [`Quota::release`]; a dropped permit is never free again.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a reservation must be settled"]
pub struct Reservation {
    team: Team,
    tokens: u64,
    permit: bool,
}

impl Reservation {
    /// The team that pays.
    pub fn team(&self) -> &Team {
        &self.team
    }

    /// Reserved tokens.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReserveError {
    /// No such team in the configuration.
    UnknownTeam,
    /// The request is larger than the team's burst and can never pass.
    TooLarge,
    /// Too few tokens, here and at peers.
    Tokens,
    /// No permit of the concurrency limit, here or at peers.
    Permits,
    /// The node has no authority over its seats at present.
    Authority,
}

/// Answer to a request for tokens.
#[derive(Debug, PartialEq, Eq)]
pub enum ReserveResult {
    /// The tokens are reserved.
    Granted(Reservation),
    /// Too few tokens here: send the asks of [`Quota::loan_requests`], take again when
    /// their loans have arrived or after [`QuotaSettings::wait`].
    Borrow,
    /// No tokens.
    Refused {
        /// Why.
        reason: ReserveError,
        /// When a retry can help; `None` if never.
        retry_after: Option<Ms>,
    },
}

/// Amounts of one team on one node, in micro-tokens and shares.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    /// Micro-tokens in stock; negative is debt.
    pub stock: i64,
    /// Micro-tokens of capacity.
    pub capacity: i64,
    /// Micro-tokens per second.
    pub rate: u64,
    /// Micro-tokens lent and not yet acknowledged.
    pub flight: u64,
    /// Seats held, quiet ones included.
    pub seats: usize,
    /// Open reservations.
    pub in_use: u64,
    /// Permits that this node may use, borrowed ones included.
    pub permits: u64,
}

#[derive(Debug)]
struct Pending {
    team: Team,
    node: Node,
    id: u64,
    sent: Ms,
    open: bool,
}

#[derive(Debug)]
struct Entry {
    bucket: Bucket,
    known: bool,
    asked: Option<Ms>,
    wants: Vec<(Node, Share, Ms)>,
    /// Until when permits count as scarce.
    scarce: Ms,
}

/// Seats, buckets and loans of one node.
#[derive(Debug)]
pub struct Quota {
    settings: QuotaSettings,
    teams: Map<Team, Entry>,
    pending: Vec<Pending>,
    undated: Vec<Team>,
    next_id: u64,
    seen: Ms,
    suspended: bool,
}

impl Quota {
    /// A node without seats.
    pub fn new(settings: QuotaSettings) -> Self {
        Self {
            settings,
            teams: Map::default(),
            pending: Vec::new(),
            undated: Vec::new(),
            next_id: 0,
            seen: Ms(0),
            suspended: false,
        }
    }

    fn advance(&mut self, now: Ms) -> Ms {
        let now = now.max(self.seen);
        // A longer silence means that the process was paused; other nodes may
        // have taken its seats over, so nothing accrues for that time.
        if now.since(self.seen) > self.settings.gap {
            for entry in self.teams.values_mut() {
                entry.bucket.refill(self.seen, !self.suspended);
                entry.bucket.refill(now, false);
            }
        }
        if now > self.seen && !self.undated.is_empty() {
            let end = now + self.settings.term + self.settings.slack(self.settings.term);
            for team in std::mem::take(&mut self.undated) {
                if let Some(entry) = self.teams.get_mut(&team) {
                    entry.bucket.date_loans(end);
                }
            }
        }
        self.seen = now;
        now
    }

    /// Adopts the rates of a configuration; teams that it lacks get no tokens.
    ///
    /// Stock never grows by this, and is cut to the new burst.
    pub fn set_rates(&mut self, now: Ms, rates: &[(Team, RateSpec)]) {
        let now = self.advance(now);
        for entry in self.teams.values_mut() {
            entry.bucket.refill(now, !self.suspended);
            entry.known = false;
        }
        for (team, spec) in rates {
            let entry = self.entry(now, team);
            entry.known = true;
            entry.bucket.set_spec(*spec);
        }
        for entry in self.teams.values_mut().filter(|e| !e.known) {
            entry.bucket.set_spec(RateSpec::default());
        }
    }

    fn entry(&mut self, now: Ms, team: &Team) -> &mut Entry {
        self.teams.entry(team.clone()).or_insert_with(|| Entry {
            bucket: Bucket::new(now, RateSpec::default()),
            known: false,
            asked: None,
            wants: Vec::new(),
            scarce: Ms(0),
        })
    }

    /// Starts a seat without stock; it refills from `quiet_until` on.
    pub fn gain_seat(&mut self, now: Ms, team: &Team, index: usize, quiet_until: Ms) {
        let now = self.advance(now);
        let accrue = !self.suspended;
        let bucket = &mut self.entry(now, team).bucket;
        bucket.refill(now, accrue);
        bucket.set_seat(index, Some(quiet_until.max(now)));
    }

    /// Stops a seat and drops the stock beyond the remaining capacity.
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
            return refused(ReserveError::Authority, Some(self.settings.cool));
        }
        let Some(entry) = self.teams.get_mut(team).filter(|e| e.known) else {
            return refused(ReserveError::UnknownTeam, None);
        };
        let bucket = &mut entry.bucket;
        if tokens > bucket.spec.burst {
            return refused(ReserveError::TooLarge, None);
        }
        bucket.refill(now, true);
        let limited = bucket.spec.concurrent.is_some();
        let free = !limited || bucket.in_use < bucket.permits(now, self.settings.hold);
        let cost = (tokens * MICROS_PER_TOKEN) as i64;
        if free && bucket.stock >= cost {
            bucket.stock -= cost;
            bucket.in_use += 1;
            bucket.demand.add(now, tokens, bucket.in_use);
            return ReserveResult::Granted(Reservation {
                team: team.clone(),
                tokens,
                permit: limited,
            });
        }
        if !free {
            entry.scarce = now + Ms(self.settings.term.0 / 2);
        }
        let wait = self.settings.wait;
        let open = |p: &Pending| p.open && p.team == *team && now.since(p.sent) < wait;
        let cooling = entry.asked.is_some_and(|at| now.since(at) < self.settings.cool);
        if !cooling || self.pending.iter().any(open) {
            return ReserveResult::Borrow;
        }
        bucket.demand.add(now, tokens, bucket.in_use + 1);
        if !free {
            return refused(ReserveError::Permits, Some(self.settings.cool));
        }
        let short = (cost - bucket.stock) as u64;
        let after = short.checked_div(bucket.rate / 1000).unwrap_or(self.settings.term.0);
        refused(ReserveError::Tokens, Some(Ms(after.clamp(1, 60_000))))
    }

    /// Asks for a request that [`Quota::reserve`] answered with [`ReserveResult::Borrow`].
    pub fn loan_requests(
        &mut self,
        now: Ms,
        team: &Team,
        tokens: u64,
        peers: &PeerLevels,
    ) -> Vec<(Node, LoanRequest)> {
        let now = self.advance(now);
        let mut asks = Vec::new();
        if !self.suspended {
            self.ask(now, team, tokens, peers, &mut asks);
        }
        asks
    }

    /// Asks ahead of need, from a forecast of recent use; call it every 100 ms or so.
    pub fn plan_loans(&mut self, now: Ms, peers: &PeerLevels) -> Vec<(Node, LoanRequest)> {
        let now = self.advance(now);
        let mut asks = Vec::new();
        if self.suspended {
            return asks;
        }
        let mut teams: Vec<Team> = Vec::new();
        for (team, entry) in &mut self.teams {
            let used = entry.bucket.demand.forecast(now) > 0 || !entry.bucket.borrowed.is_empty();
            if entry.known && used {
                teams.push(team.clone());
            }
        }
        teams.sort();
        for team in &teams {
            self.ask(now, team, 0, peers, &mut asks);
        }
        asks
    }

    /// `tokens` is zero for asks ahead of need.
    fn ask(
        &mut self,
        now: Ms,
        team: &Team,
        tokens: u64,
        peers: &PeerLevels,
        asks: &mut Vec<(Node, LoanRequest)>,
    ) {
        let QuotaSettings { term, cool, .. } = self.settings;
        self.pending.retain(|p| now.since(p.sent) < term);
        let Some(entry) = self.teams.get_mut(team).filter(|e| e.known) else { return };
        let bucket = &mut entry.bucket;
        bucket.refill(now, true);
        let urgent = tokens > 0;
        if urgent {
            entry.asked = Some(now);
        }
        let need = bucket.need(now, tokens);
        let lack = need.minus(bucket.own.minus(bucket.lent_to(None)));
        let target = part(bucket.spec.burst * MICROS_PER_TOKEN, need.burst);
        let short = (target as i64).saturating_sub(bucket.stock).max(0) as u64;
        // Levels lag by a heartbeat, so a request at hand asks for twice the shortage.
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
            let idle = bucket.permits(now, self.settings.hold).saturating_sub(bucket.in_use);
            let held_permits = held.map_or(0, |b| b.share.permits);
            let ask = LoanRequest {
                team: team.clone(),
                id: self.next_id + 1,
                holds: held.map_or(0, |b| b.id),
                returns: false,
                stock: portion(want, level.stock, stock).min(level.stock.saturating_mul(2)),
                least: portion(least, level.stock, stock),
                rate: portion(lack.rate, level.rate, rate),
                burst: portion(lack.burst, level.burst, burst),
                // A permit that an open reservation may count on is not returned.
                permits: permits.min(level.permits).max(held_permits.saturating_sub(idle)),
            };
            permits = permits.saturating_sub(ask.permits);
            let share = Share { rate: ask.rate, burst: ask.burst, permits: ask.permits };
            // Shares that are no longer needed go back before their loan ends.
            let returns = !urgent
                && held.is_some_and(|b| {
                    b.share.rate > share.rate + SHARES / 8
                        || b.share.burst > share.burst + SHARES / 8
                        || held_permits > share.permits
                });
            if ask.stock == 0 && share == Share::default() && !returns {
                continue;
            }
            let newest = self.pending.iter().filter(|p| p.node == *node && p.team == *team);
            let asked = newest.map(|p| p.sent).max();
            let pause = if urgent || returns { cool } else { Ms(cool.0 * 5) };
            if asked.is_some_and(|at| now.since(at) < pause) {
                continue;
            }
            // A sixteenth is the least growth that is worth a message.
            let grows = held.is_none_or(|b| {
                ask.rate > b.share.rate + b.share.rate / 16
                    || ask.burst > b.share.burst + b.share.burst / 16
                    || ask.permits > b.share.permits
            });
            let due = held.is_some_and(|b| b.end <= now + Ms(term.0 / 2));
            if urgent || grows || due || returns {
                self.next_id += 1;
                let ask = LoanRequest { returns, ..ask };
                if let Some(held) = bucket.borrowed.iter_mut().find(|b| b.from == *node)
                    && returns
                {
                    held.share = held.share.min(share);
                    bucket.refresh();
                }
                let (team, node) = (team.clone(), node.clone());
                self.pending.push(Pending { team, node, id: ask.id, sent: now, open: true });
                asks.push((self.pending[self.pending.len() - 1].node.clone(), ask));
            }
        }
    }

    /// Lends to a peer; the loan is debited when this returns.
    ///
    /// `None` for a repeated ask, an unknown team or a node without authority.
    pub fn on_loan_request(&mut self, now: Ms, from: &Node, ask: &LoanRequest) -> Option<Loan> {
        let now = self.advance(now);
        let term = self.settings.term;
        let entry = self.teams.get_mut(&ask.team).filter(|e| e.known && !self.suspended)?;
        let bucket = &mut entry.bucket;
        bucket.refill(now, true);
        if bucket.lent.iter().any(|l| l.to == *from && l.id >= ask.id) {
            return None;
        }
        bucket.acknowledge(from, ask.holds);
        let want = Share { rate: ask.rate, burst: ask.burst, permits: ask.permits };
        if ask.returns {
            bucket.cut_lent(from, ask.holds, want);
            bucket.refresh();
        }
        entry.wants.retain(|(n, _, at)| n != from && now.since(*at) < term);
        let held: u64 = bucket.lent.iter().filter(|l| l.to == *from).map(|l| l.share.permits).sum();
        let waiting = entry.wants.iter().any(|(n, w, _)| {
            w.permits > 0 && !bucket.lent.iter().any(|l| l.to == *n && l.share.permits > 0)
        });
        entry.wants.push((from.clone(), want, now));

        let keep = bucket.need(now, 0);
        let own = bucket.own;
        let mut free = own.minus(bucket.lent_to(Some(from)));
        free.permits = free.permits.saturating_sub(bucket.in_use);
        // Where the wishes, the lender's own included, exceed what it has, each
        // gets its part.
        let all =
            |f: fn(&Share) -> u64| f(&keep) + entry.wants.iter().map(|(_, w, _)| f(w)).sum::<u64>();
        let fair = |want: u64, all: u64, own: u64| match all > own {
            true => (u128::from(own) * u128::from(want) / u128::from(all)) as u64,
            false => want,
        };
        let all_stock = u64::try_from(bucket.stock).unwrap_or(0);
        let least =
            ask.least.min(all_stock).min(part(bucket.spec.burst * MICROS_PER_TOKEN, free.burst));
        let stock = ask.stock.min(spare(bucket, now)).max(least);
        let burst = fair(want.burst, all(|w| w.burst), own.burst);
        let share = Share {
            rate: fair(want.rate, all(|w| w.rate), own.rate).min(free.rate),
            // The lender does not need the capacity of tokens that it hands over.
            burst: burst.max(shares(least, bucket.spec.burst * MICROS_PER_TOKEN)).min(free.burst),
            // A holder passes its permits on when another borrower waits for some.
            permits: match held > 0 && waiting {
                true => 0,
                false => want.permits.min(free.permits),
            },
        };
        if share.permits < want.permits {
            entry.scarce = now + Ms(term.0 / 2);
        }
        let scarce = now < entry.scarce;
        if !active(Failpoint::DoubleLoan) {
            bucket.stock -= stock as i64;
        }
        if stock > 0 || share != Share::default() {
            let (to, id, flight) = (from.clone(), ask.id, stock);
            bucket.lent.push(Lent { to, id, end: None, share, flight });
            bucket.refresh();
            if !self.undated.contains(&ask.team) {
                self.undated.push(ask.team.clone());
            }
        }
        let Share { rate, burst, permits } = share;
        Some(Loan { team: ask.team.clone(), id: ask.id, stock, rate, burst, permits, scarce, term })
    }

    /// Adds a loan that answers an ask of this node; others are dropped.
    pub fn on_loan(&mut self, now: Ms, from: &Node, loan: &Loan) {
        let now = self.advance(now);
        let matches = |p: &Pending| p.node == *from && p.team == loan.team;
        let Some(at) = self.pending.iter().position(|p| matches(p) && p.id == loan.id) else {
            return;
        };
        let sent = self.pending[at].sent;
        let end = sent + (loan.term - self.settings.slack(loan.term));
        for p in self.pending.iter_mut().filter(|p| matches(p) && p.id <= loan.id) {
            p.open = false;
        }
        let Some(entry) = self.teams.get_mut(&loan.team) else { return };
        let bucket = &mut entry.bucket;
        bucket.refill(now, !self.suspended);
        let newer = bucket.borrowed.iter().any(|b| b.from == *from && b.id >= loan.id);
        if now >= end || newer || self.suspended {
            return;
        }
        bucket.borrowed.retain(|b| b.from != *from);
        let share = Share { rate: loan.rate, burst: loan.burst, permits: loan.permits };
        let (from, id, scarce) = (from.clone(), loan.id, loan.scarce);
        bucket.borrowed.push(Borrowed { from, id, end, share, scarce });
        bucket.refresh();
        let stock = i64::try_from(loan.stock).unwrap_or(i64::MAX);
        bucket.stock = bucket.stock.saturating_add(stock).min(bucket.cap);
    }

    /// Returns the unused part of a reservation, or carries the overrun as debt.
    pub fn release(&mut self, now: Ms, reservation: Reservation, used: u64) {
        let now = self.advance(now);
        let accrue = !self.suspended;
        let Some(entry) = self.teams.get_mut(&reservation.team) else { return };
        let bucket = &mut entry.bucket;
        bucket.refill(now, accrue);
        bucket.in_use = bucket.in_use.saturating_sub(1);
        let unused = reservation.tokens as i64 - used.min(SPEC_MAX) as i64;
        bucket.demand.give_back(now, unused.max(0) as u64);
        bucket.stock =
            bucket.stock.saturating_add(unused * MICROS_PER_TOKEN as i64).min(bucket.cap);
    }

    /// Levels for the next heartbeat, sorted by team.
    pub fn levels(&mut self, now: Ms) -> Vec<QuotaLevel> {
        let now = self.advance(now);
        let mut levels = Vec::new();
        for (team, entry) in &mut self.teams {
            let bucket = &mut entry.bucket;
            bucket.refill(now, !self.suspended);
            if self.suspended || !entry.known {
                continue;
            }
            let own = bucket.own;
            let free = own.minus(bucket.need(now, 0));
            levels.push(QuotaLevel {
                team: team.clone(),
                stock: spare(bucket, now),
                // A busy node shares in proportion, so it is asked for a little.
                rate: free.rate.max(own.rate / 8),
                burst: free.burst.max(own.burst / 8),
                permits: own.permits,
                seats: bucket.working(now),
            });
        }
        levels.sort_by(|a, b| a.team.cmp(&b.team));
        levels
    }

    /// Stops granting, lending and refilling: the node lost its authority.
    pub fn suspend(&mut self, now: Ms) {
        let now = self.advance(now);
        for entry in self.teams.values_mut() {
            entry.bucket.refill(now, !self.suspended);
        }
        self.suspended = true;
    }

    /// Grants again, for the seats that the node still holds.
    pub fn resume(&mut self, now: Ms) {
        let now = self.advance(now);
        for entry in self.teams.values_mut() {
            entry.bucket.refill(now, !self.suspended);
        }
        self.suspended = false;
    }

    /// Seats of the team that refill at this node; quiet ones do not count.
    pub fn active_seats(&self, now: Ms, team: &Team) -> u64 {
        self.teams.get(team).map_or(0, |e| e.bucket.working(now))
    }

    /// Amounts of a team as of its last refill; [`Quota::levels`] refills all teams.
    pub fn snapshot(&self, team: &Team) -> Ledger {
        let Some(bucket) = self.teams.get(team).map(|e| &e.bucket) else {
            return Ledger::default();
        };
        Ledger {
            stock: bucket.stock,
            capacity: bucket.cap,
            rate: bucket.rate,
            flight: bucket.lent.iter().map(|l| l.flight).sum(),
            seats: bucket.seats(),
            in_use: bucket.in_use,
            permits: bucket.permits(self.seen, Ms(0)),
        }
    }
}

fn refused(reason: ReserveError, retry_after: Option<Ms>) -> ReserveResult {
    ReserveResult::Refused { reason, retry_after }
}

/// Micro-tokens to lend: what exceeds one second of the node's own use, but at
/// least half, because a request at hand counts more than an expected one.
fn spare(bucket: &mut Bucket, now: Ms) -> u64 {
    let keep = bucket.demand.forecast(now).max(bucket.demand.largest(now));
    let stock = u64::try_from(bucket.stock).unwrap_or(0);
    stock.saturating_sub(keep.saturating_mul(MICROS_PER_TOKEN)).max(stock / 2)
}

/// The part of `amount` that falls to a peer with `level` of `sum`, rounded up.
fn portion(amount: u64, level: u64, sum: u64) -> u64 {
    if sum == 0 {
        return 0;
    }
    (u128::from(amount) * u128::from(level)).div_ceil(u128::from(sum)) as u64
}
