//! Token bucket of one team on one node: seats, loans and refill.
//!
//! Rate and capacity are stored as shares of the team's configured rate and
//! burst. A configuration change therefore rescales seats and loans alike, and
//! the shares of all nodes never add up to more than the whole. The stock is
//! the number of available tokens, in micro-tokens. Divisions round down, so
//! that rounding never creates tokens.

use crate::ids::Node;
use crate::time::Ms;

/// Seats into which the quota of a team is divided within a cell.
pub const SEATS_PER_TEAM: usize = 16;
/// Shares that make up the whole rate, or the whole burst, of a team.
pub const TOTAL_SHARES: u64 = 1 << 20;
/// Shares of one seat.
pub const SHARES_PER_SEAT: u64 = TOTAL_SHARES / SEATS_PER_TEAM as u64;
/// Micro-tokens per token.
pub const MICROS_PER_TOKEN: u64 = 1_000_000;
/// Largest rate (tokens per second) or burst (tokens); keeps micro-tokens within 63 bits.
pub const MAX_SPEC_TOKENS: u64 = 1_000_000_000_000;

/// Rate, burst and concurrency limit of one team over the whole fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RateSpec {
    /// Tokens per second.
    pub rate: u64,
    /// Most tokens that can be used at once.
    pub burst: u64,
    /// Most reservations open at once; `None` is no limit.
    pub concurrent: Option<u64>,
}

impl RateSpec {
    /// Creates a spec without a limit on open reservations.
    pub fn new(rate: u64, burst: u64) -> Self {
        Self { rate, burst, concurrent: None }
    }

    /// Permits of the seat `index`; the first seats get the remainder of the division.
    pub(crate) fn seat_permits(&self, index: usize) -> u64 {
        let all = self.concurrent.unwrap_or(0);
        all / SEATS_PER_TEAM as u64 + u64::from((index as u64) < all % SEATS_PER_TEAM as u64)
    }
}

/// Rate, capacity and permits of a seat, a loan or a demand.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct QuotaShare {
    /// QuotaShare of the team's rate, out of [`TOTAL_SHARES`].
    pub rate: u64,
    /// QuotaShare of the team's burst, out of [`TOTAL_SHARES`].
    pub burst: u64,
    /// Permits of the concurrency limit.
    pub permits: u64,
}

impl QuotaShare {
    fn max(self, other: Self) -> Self {
        Self {
            rate: self.rate.max(other.rate),
            burst: self.burst.max(other.burst),
            permits: self.permits.max(other.permits),
        }
    }

    fn plus(self, other: Self) -> Self {
        Self {
            rate: self.rate + other.rate,
            burst: self.burst + other.burst,
            permits: self.permits + other.permits,
        }
    }

    pub fn min(self, other: Self) -> Self {
        Self {
            rate: self.rate.min(other.rate),
            burst: self.burst.min(other.burst),
            permits: self.permits.min(other.permits),
        }
    }

    pub fn minus(self, other: Self) -> Self {
        Self {
            rate: self.rate.saturating_sub(other.rate),
            burst: self.burst.saturating_sub(other.burst),
            permits: self.permits.saturating_sub(other.permits),
        }
    }
}

/// Loan received from a peer.
#[derive(Clone, Debug)]
pub(crate) struct BorrowedLoan {
    pub from: Node,
    pub id: u64,
    pub end: Ms,
    pub share: QuotaShare,
    /// Whether other nodes wait for permits.
    pub scarce: bool,
}

/// Loan given to a peer.
#[derive(Clone, Debug)]
pub(crate) struct LentLoan {
    pub to: Node,
    pub id: u64,
    /// End of the debit; `None` until a clock reading that is certainly later
    /// than the arrival of the loan request.
    pub end: Option<Ms>,
    pub share: QuotaShare,
    /// Micro-tokens lent that the borrower has not yet acknowledged.
    pub in_flight: u64,
}

/// Slots of the demand window, which covers two seconds.
const WINDOW_SLOTS: usize = 8;
/// Length of one slot of the demand window.
const SLOT_MS: u64 = 250;

/// Demand within the last two seconds, as a ring of slots.
#[derive(Clone, Debug, Default)]
pub(crate) struct DemandWindow {
    /// Tokens requested in each slot.
    tokens: [u64; WINDOW_SLOTS],
    /// Largest request of each slot, in tokens.
    largest: [u64; WINDOW_SLOTS],
    /// Most reservations open at once in each slot.
    open: [u64; WINDOW_SLOTS],
    /// Number of the newest slot.
    epoch: u64,
}

impl DemandWindow {
    /// Clears the slots that have left the window.
    fn advance(&mut self, now: Ms) {
        let epoch = now.0 / SLOT_MS;
        let steps = epoch.saturating_sub(self.epoch).min(WINDOW_SLOTS as u64);
        for step in 0..steps {
            let i = ((epoch - step) % WINDOW_SLOTS as u64) as usize;
            self.tokens[i] = 0;
            self.largest[i] = 0;
            self.open[i] = 0;
        }
        self.epoch = self.epoch.max(epoch);
    }

    /// Records a request; `open` is the number of open reservations with it.
    pub fn record(&mut self, now: Ms, tokens: u64, open: u64) {
        self.advance(now);
        let i = (self.epoch % WINDOW_SLOTS as u64) as usize;
        self.tokens[i] = self.tokens[i].saturating_add(tokens);
        self.largest[i] = self.largest[i].max(tokens);
        self.open[i] = self.open[i].max(open);
    }

    /// Subtracts reserved tokens that were not used.
    pub fn subtract(&mut self, now: Ms, tokens: u64) {
        self.advance(now);
        let i = (self.epoch % WINDOW_SLOTS as u64) as usize;
        self.tokens[i] = self.tokens[i].saturating_sub(tokens);
    }

    /// Expected tokens per second: the larger of the mean over the last two
    /// seconds and the mean over the last three slots, which follows a rise faster.
    pub fn forecast(&mut self, now: Ms) -> u64 {
        self.advance(now);
        let sum = |n: u64| -> u64 {
            (0..n)
                .map(|k| {
                    self.tokens
                        [((self.epoch + WINDOW_SLOTS as u64 - k) % WINDOW_SLOTS as u64) as usize]
                })
                .sum()
        };
        let long = sum(WINDOW_SLOTS as u64) * 1000 / (WINDOW_SLOTS as u64 * SLOT_MS);
        let part = now.0 % SLOT_MS + 2 * SLOT_MS;
        long.max(sum(3) * 1000 / part)
    }

    /// Most reservations open at once in the newest two slots (250 to 500 ms).
    pub fn most_open(&mut self, now: Ms) -> u64 {
        self.advance(now);
        let slot = |k: u64| {
            self.open[((self.epoch + WINDOW_SLOTS as u64 - k) % WINDOW_SLOTS as u64) as usize]
        };
        slot(0).max(slot(1))
    }

    /// Largest request of the last two seconds, in tokens.
    pub fn largest(&mut self, now: Ms) -> u64 {
        self.advance(now);
        self.largest.iter().copied().max().unwrap_or(0)
    }
}

/// Token bucket of one team on this node.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    pub spec: RateSpec,
    /// Instant from which each held seat refills; `None` for seats of other nodes.
    seats: [Option<Ms>; SEATS_PER_TEAM],
    /// Available micro-tokens; negative is debt.
    pub stock: i64,
    /// Micro-tokens per second.
    pub rate: u64,
    /// Most available micro-tokens.
    pub capacity: i64,
    /// Thousandths of a micro-token left over by the last refill.
    remainder: u64,
    /// Instant of the last refill.
    refilled: Ms,
    /// Next instant at which a seat starts to refill or a loan ends.
    next_change: Ms,
    /// Shares of the seats that refill at this node.
    pub own: QuotaShare,
    /// Own shares minus lent ones plus borrowed ones.
    pub net: QuotaShare,
    pub lent: Vec<LentLoan>,
    pub borrowed: Vec<BorrowedLoan>,
    /// Open reservations.
    pub in_use: u64,
    pub demand: DemandWindow,
}

impl TokenBucket {
    pub fn new(now: Ms, spec: RateSpec) -> Self {
        Self {
            spec,
            seats: [None; SEATS_PER_TEAM],
            stock: 0,
            rate: 0,
            capacity: 0,
            remainder: 0,
            refilled: now,
            next_change: Ms(u64::MAX),
            own: QuotaShare::default(),
            net: QuotaShare::default(),
            lent: Vec::new(),
            borrowed: Vec::new(),
            in_use: 0,
            demand: DemandWindow::default(),
        }
    }

    pub fn set_spec(&mut self, spec: RateSpec) {
        self.spec = RateSpec {
            rate: spec.rate.min(MAX_SPEC_TOKENS),
            burst: spec.burst.min(MAX_SPEC_TOKENS),
            concurrent: spec.concurrent,
        };
        self.recompute();
    }

    /// Holds a seat that refills from `refill_from` on, or drops it with `None`.
    pub fn set_seat(&mut self, index: usize, refill_from: Option<Ms>) {
        if let Some(seat) = self.seats.get_mut(index) {
            *seat = refill_from;
            self.recompute();
        }
    }

    /// Seats held, including those that do not refill yet.
    pub fn held_seats(&self) -> usize {
        self.seats.iter().flatten().count()
    }

    /// Seats that refill at `now`.
    pub fn active_seats(&self, now: Ms) -> u64 {
        self.seats.iter().flatten().filter(|from| **from <= now).count() as u64
    }

    /// Advances to `now`: starts seats and ends loans that are due, and adds
    /// tokens for the elapsed time if `accrue` is set.
    pub fn refill(&mut self, now: Ms, accrue: bool) {
        while self.refilled < now {
            let step = now.min(self.next_change.max(self.refilled));
            if accrue {
                self.accrue(step.since(self.refilled));
            }
            self.refilled = step;
            if step >= self.next_change {
                self.borrowed.retain(|b| b.end > step);
                self.lent.retain(|l| l.end.is_none_or(|end| end > step));
                self.recompute();
            }
        }
    }

    fn accrue(&mut self, elapsed: Ms) {
        let gain = u128::from(self.rate) * u128::from(elapsed.0) + u128::from(self.remainder);
        self.remainder = (gain % 1000) as u64;
        let room = i128::from(self.capacity) - i128::from(self.stock);
        let gain = ((gain / 1000).min(i64::MAX as u128) as i128).min(room.max(0));
        self.stock += gain as i64;
    }

    /// Shares lent to all borrowers but `skip`.
    ///
    /// Each borrower counts once, at the maximum over its current loans, because
    /// it uses only the newest loan that it received.
    pub fn lent_to(&self, skip: Option<&Node>) -> QuotaShare {
        let mut sum = QuotaShare::default();
        for (i, loan) in self.lent.iter().enumerate() {
            if Some(&loan.to) == skip || self.lent[..i].iter().any(|l| l.to == loan.to) {
                continue;
            }
            let all = self.lent[i..].iter().filter(|l| l.to == loan.to);
            sum = sum.plus(all.fold(QuotaShare::default(), |max, l| max.max(l.share)));
        }
        sum
    }

    /// Recomputes rate, capacity and shares from the seats and loans as of the last refill.
    pub fn recompute(&mut self) {
        let mut own = QuotaShare::default();
        let mut next = Ms(u64::MAX);
        for (i, refill_from) in self.seats.iter().enumerate() {
            match refill_from {
                Some(from) if *from <= self.refilled => {
                    own = own.plus(QuotaShare {
                        rate: SHARES_PER_SEAT,
                        burst: SHARES_PER_SEAT,
                        permits: self.spec.seat_permits(i),
                    });
                }
                Some(from) => next = next.min(*from),
                None => {}
            }
        }
        let mut borrowed = QuotaShare::default();
        for loan in &self.borrowed {
            borrowed = borrowed.plus(loan.share);
            next = next.min(loan.end);
        }
        for loan in &self.lent {
            next = next.min(loan.end.unwrap_or(next));
        }
        let whole = self.spec.burst * MICROS_PER_TOKEN;
        let kept = amount_of(whole, own.burst).saturating_sub(self.lent_capacity());
        self.net = own.minus(self.lent_to(None)).plus(borrowed);
        self.own = own;
        self.next_change = next;
        self.rate = amount_of(self.spec.rate * MICROS_PER_TOKEN, self.net.rate);
        self.capacity = (kept + amount_of(whole, borrowed.burst)) as i64;
        self.stock = self.stock.min(self.capacity);
    }

    /// Micro-tokens of capacity that loans occupy at their borrowers or in flight.
    ///
    /// A borrower that uses loan `k` has the capacity of `k` and may still
    /// receive the stock of later loans; it discards the stock of earlier ones.
    fn lent_capacity(&self) -> u64 {
        let whole = u128::from(self.spec.burst * MICROS_PER_TOKEN);
        let mut sum = 0;
        for (i, first) in self.lent.iter().enumerate() {
            if self.lent[..i].iter().any(|l| l.to == first.to) {
                continue;
            }
            let mut in_flight = 0;
            let mut most = 0;
            for loan in self.lent[i..].iter().rev().filter(|l| l.to == first.to) {
                let cap = (whole * u128::from(loan.share.burst)).div_ceil(u128::from(TOTAL_SHARES));
                most = most.max(cap as u64 + in_flight);
                in_flight += loan.in_flight;
            }
            sum += most.max(in_flight);
        }
        sum
    }

    /// Sets the end of the loans whose requests arrived before the latest clock reading.
    pub fn set_loan_ends(&mut self, end: Ms) {
        for loan in &mut self.lent {
            loan.end.get_or_insert(end);
        }
        self.recompute();
    }

    /// Permits that stay usable for `hold` from `now` on.
    pub fn permits(&self, now: Ms, hold: Ms) -> u64 {
        let lasting = self.borrowed.iter().filter(|b| b.end >= now + hold);
        let borrowed: u64 = lasting.map(|b| b.share.permits).sum();
        self.own.permits.saturating_sub(self.lent_to(None).permits) + borrowed
    }

    /// Applies a borrower's acknowledgement of the loan `holds`: loans up to it are
    /// no longer in flight, and those before it are no longer used. Permits stay
    /// debited until the loan ends, because a reservation may still use them.
    pub fn acknowledge(&mut self, from: &Node, holds: u64) {
        for loan in self.lent.iter_mut().filter(|l| l.to == *from && l.id <= holds) {
            loan.in_flight = 0;
            if loan.id < holds {
                loan.share.rate = 0;
                loan.share.burst = 0;
            }
        }
        // A later loan of at least as many permits ends later and covers the debit
        // of an earlier loan that is otherwise unused.
        let lent = std::mem::take(&mut self.lent);
        for (i, loan) in lent.iter().enumerate() {
            let QuotaShare { rate, burst, permits } = loan.share;
            let later = |l: &LentLoan| l.to == loan.to && l.share.permits >= permits;
            if rate + burst + loan.in_flight > 0 || permits > 0 && !lent[i + 1..].iter().any(later)
            {
                self.lent.push(loan.clone());
            }
        }
        self.recompute();
    }

    /// Reduces the loans up to `holds` to the shares that their borrower kept.
    pub fn reduce_lent(&mut self, from: &Node, holds: u64, kept: QuotaShare) {
        for loan in self.lent.iter_mut().filter(|l| l.to == *from && l.id <= holds) {
            loan.share = loan.share.min(kept);
        }
    }

    /// Shares that this node needs for its own demand and a waiting request of
    /// `tokens` (0 if there is none).
    pub fn needed_shares(&mut self, now: Ms, tokens: u64) -> QuotaShare {
        let forecast = self.demand.forecast(now);
        // 10% above the forecast, so that the stock does not run out between loan renewals.
        let rate = shares_of(forecast + forecast / 10, self.spec.rate);
        // Capacity for two of the largest requests, and for one second of use.
        let room = (2 * self.demand.largest(now)).max(tokens).max(forecast);
        let permits = match self.spec.concurrent {
            Some(all) => {
                // Idle permits are kept for later requests unless other nodes wait for them.
                let scarce = self.borrowed.iter().any(|b| b.scarce);
                let kept = if scarce { 0 } else { self.demand.most_open(now) };
                let open = self.in_use.max(kept);
                open.max((self.in_use + 1) * u64::from(tokens > 0)).min(all)
            }
            None => 0,
        };
        // A node with any demand keeps the capacity of one seat, so that requests
        // arriving within one borrowing round trip find tokens.
        let least = if tokens > 0 || forecast > 0 { SHARES_PER_SEAT } else { 0 };
        QuotaShare { rate, burst: shares_of(room, self.spec.burst).max(rate).max(least), permits }
    }
}

/// Amount that `share` shares of `whole` make up, rounded down.
pub(crate) fn amount_of(whole: u64, share: u64) -> u64 {
    (u128::from(whole) * u128::from(share.min(TOTAL_SHARES)) / u128::from(TOTAL_SHARES)) as u64
}

/// Shares of `whole` that make up `amount`, rounded up.
pub(crate) fn shares_of(amount: u64, whole: u64) -> u64 {
    if whole == 0 {
        return 0;
    }
    let parts = (u128::from(amount) * u128::from(TOTAL_SHARES)).div_ceil(u128::from(whole));
    parts.min(u128::from(TOTAL_SHARES)) as u64
}

/// Micro-tokens that the node can lend.
///
/// It keeps enough for one second of its own demand and for its largest request, but
/// at most half of the stock: a peer's waiting request precedes expected ones.
pub(crate) fn lendable_stock(bucket: &mut TokenBucket, now: Ms) -> u64 {
    let keep = bucket.demand.forecast(now).max(bucket.demand.largest(now));
    let stock = u64::try_from(bucket.stock).unwrap_or(0);
    stock.saturating_sub(keep.saturating_mul(MICROS_PER_TOKEN)).max(stock / 2)
}

/// Part of `amount` for a peer that has `level` of `sum`, rounded up.
pub(crate) fn proportion(amount: u64, level: u64, sum: u64) -> u64 {
    if sum == 0 {
        return 0;
    }
    (u128::from(amount) * u128::from(level)).div_ceil(u128::from(sum)) as u64
}
