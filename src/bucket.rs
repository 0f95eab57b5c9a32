//! Token bucket of one team on one node: seats, loans and refill.
//!
//! Rate and capacity are held as shares of the team's configured rate and
//! burst, so a changed configuration rescales seats and loans alike and the
//! shares of all nodes never add up to more than the whole. Stock is counted
//! in micro-tokens; every division rounds down.

use crate::ids::Node;
use crate::time::Ms;

/// Seats per team and cell.
pub const SEATS_PER_TEAM: usize = 16;
/// Shares that make up the whole rate, or the whole burst, of a team.
pub const SHARES: u64 = 1 << 20;
/// Shares of one seat.
pub const SEAT_SHARES: u64 = SHARES / SEATS_PER_TEAM as u64;
/// Micro-tokens of one token.
pub const MICROS_PER_TOKEN: u64 = 1_000_000;
/// Largest rate or burst that keeps micro-tokens within 63 bits.
pub const SPEC_MAX: u64 = 1_000_000_000_000;

/// Rate, burst and concurrency of one team over the whole fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RateSpec {
    /// Tokens per second.
    pub rate: u64,
    /// Tokens that may be used at once.
    pub burst: u64,
    /// Reservations that may be open at once, where that is limited.
    pub concurrent: Option<u64>,
}

impl RateSpec {
    /// A spec without a limit on open reservations.
    pub fn new(rate: u64, burst: u64) -> Self {
        Self { rate, burst, concurrent: None }
    }

    /// Permits that belong to the seat `index`.
    pub(crate) fn seat_permits(&self, index: usize) -> u64 {
        let all = self.concurrent.unwrap_or(0);
        all / SEATS_PER_TEAM as u64 + u64::from((index as u64) < all % SEATS_PER_TEAM as u64)
    }
}

/// Rate, capacity and permits that are lent or borrowed together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Share {
    /// Parts of the team's rate, out of [`SHARES`].
    pub rate: u64,
    /// Parts of the team's burst, out of [`SHARES`].
    pub burst: u64,
    /// Permits.
    pub permits: u64,
}

impl Share {
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

/// Loan taken from a peer.
#[derive(Clone, Debug)]
pub(crate) struct Borrowed {
    pub from: Node,
    pub id: u64,
    pub end: Ms,
    pub share: Share,
    /// Whether other nodes wait for the permits.
    pub scarce: bool,
}

/// Loan given to a peer.
#[derive(Clone, Debug)]
pub(crate) struct Lent {
    pub to: Node,
    pub id: u64,
    /// End of the debit; `None` until a reading of the clock is taken that is
    /// certainly later than the ask's arrival.
    pub end: Option<Ms>,
    pub share: Share,
    /// Micro-tokens handed over and not yet acknowledged by the borrower.
    pub flight: u64,
}

/// Slots of the demand window.
const SLOTS: usize = 8;
/// Milliseconds of one slot of the demand window.
const SLOT_MS: u64 = 250;

/// Tokens asked for within the last two seconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct Demand {
    slots: [u64; SLOTS],
    largest: [u64; SLOTS],
    /// Most reservations open at once.
    open: [u64; SLOTS],
    epoch: u64,
}

impl Demand {
    fn roll(&mut self, now: Ms) {
        let epoch = now.0 / SLOT_MS;
        let steps = epoch.saturating_sub(self.epoch).min(SLOTS as u64);
        for step in 0..steps {
            let i = ((epoch - step) % SLOTS as u64) as usize;
            self.slots[i] = 0;
            self.largest[i] = 0;
            self.open[i] = 0;
        }
        self.epoch = self.epoch.max(epoch);
    }

    pub fn add(&mut self, now: Ms, tokens: u64, open: u64) {
        self.roll(now);
        let i = (self.epoch % SLOTS as u64) as usize;
        self.slots[i] = self.slots[i].saturating_add(tokens);
        self.largest[i] = self.largest[i].max(tokens);
        self.open[i] = self.open[i].max(open);
    }

    pub fn give_back(&mut self, now: Ms, tokens: u64) {
        self.roll(now);
        let i = (self.epoch % SLOTS as u64) as usize;
        self.slots[i] = self.slots[i].saturating_sub(tokens);
    }

    /// Expected tokens per second: the larger of the last two seconds' mean
    /// and the mean of the last three slots, so that a rise shows early.
    pub fn forecast(&mut self, now: Ms) -> u64 {
        self.roll(now);
        let sum = |n: u64| -> u64 {
            (0..n)
                .map(|k| self.slots[((self.epoch + SLOTS as u64 - k) % SLOTS as u64) as usize])
                .sum()
        };
        let long = sum(SLOTS as u64) * 1000 / (SLOTS as u64 * SLOT_MS);
        let part = now.0 % SLOT_MS + 2 * SLOT_MS;
        long.max(sum(3) * 1000 / part)
    }

    /// Most reservations that were open at once in the last quarter to half second.
    pub fn open(&mut self, now: Ms) -> u64 {
        self.roll(now);
        let slot = |k: u64| self.open[((self.epoch + SLOTS as u64 - k) % SLOTS as u64) as usize];
        slot(0).max(slot(1))
    }

    /// Largest request of the last two seconds, in tokens.
    pub fn largest(&mut self, now: Ms) -> u64 {
        self.roll(now);
        self.largest.iter().copied().max().unwrap_or(0)
    }
}

/// Bucket of one team on this node.
#[derive(Clone, Debug)]
pub(crate) struct Bucket {
    pub spec: RateSpec,
    /// Instant from which each held seat refills.
    seats: [Option<Ms>; SEATS_PER_TEAM],
    /// Micro-tokens; negative is debt.
    pub stock: i64,
    /// Micro-tokens per second.
    pub rate: u64,
    /// Micro-tokens.
    pub cap: i64,
    /// Thousandths of a micro-token that the last refill left over.
    rest: u64,
    last: Ms,
    next: Ms,
    pub own: Share,
    pub net: Share,
    pub lent: Vec<Lent>,
    pub borrowed: Vec<Borrowed>,
    pub in_use: u64,
    pub demand: Demand,
}

impl Bucket {
    pub fn new(now: Ms, spec: RateSpec) -> Self {
        Self {
            spec,
            seats: [None; SEATS_PER_TEAM],
            stock: 0,
            rate: 0,
            cap: 0,
            rest: 0,
            last: now,
            next: Ms(u64::MAX),
            own: Share::default(),
            net: Share::default(),
            lent: Vec::new(),
            borrowed: Vec::new(),
            in_use: 0,
            demand: Demand::default(),
        }
    }

    pub fn set_spec(&mut self, spec: RateSpec) {
        self.spec = RateSpec {
            rate: spec.rate.min(SPEC_MAX),
            burst: spec.burst.min(SPEC_MAX),
            concurrent: spec.concurrent,
        };
        self.refresh();
    }

    pub fn set_seat(&mut self, index: usize, quiet: Option<Ms>) {
        if let Some(seat) = self.seats.get_mut(index) {
            *seat = quiet;
            self.refresh();
        }
    }

    /// Seats held, quiet ones included.
    pub fn seats(&self) -> usize {
        self.seats.iter().flatten().count()
    }

    /// Seats that refill at `now`; quiet ones do not count.
    pub fn working(&self, now: Ms) -> u64 {
        self.seats.iter().flatten().filter(|quiet| **quiet <= now).count() as u64
    }

    /// Refills up to `now`; without `accrue` only ends seats' quiet time and loans.
    pub fn refill(&mut self, now: Ms, accrue: bool) {
        while self.last < now {
            let step = now.min(self.next.max(self.last));
            if accrue {
                self.accrue(step.since(self.last));
            }
            self.last = step;
            if step >= self.next {
                self.borrowed.retain(|b| b.end > step);
                self.lent.retain(|l| l.end.is_none_or(|end| end > step));
                self.refresh();
            }
        }
    }

    fn accrue(&mut self, elapsed: Ms) {
        let gain = u128::from(self.rate) * u128::from(elapsed.0) + u128::from(self.rest);
        self.rest = (gain % 1000) as u64;
        let room = i128::from(self.cap) - i128::from(self.stock);
        let gain = ((gain / 1000).min(i64::MAX as u128) as i128).min(room.max(0));
        self.stock += gain as i64;
    }

    /// Shares lent to each borrower count once, at the largest of its live
    /// loans, because a borrower uses only the newest loan it received.
    pub fn lent_to(&self, skip: Option<&Node>) -> Share {
        let mut sum = Share::default();
        for (i, loan) in self.lent.iter().enumerate() {
            if Some(&loan.to) == skip || self.lent[..i].iter().any(|l| l.to == loan.to) {
                continue;
            }
            let all = self.lent[i..].iter().filter(|l| l.to == loan.to);
            sum = sum.plus(all.fold(Share::default(), |max, l| max.max(l.share)));
        }
        sum
    }

    /// Recomputes what follows from seats and loans at the instant `last`.
    pub fn refresh(&mut self) {
        let mut own = Share::default();
        let mut next = Ms(u64::MAX);
        for (i, quiet) in self.seats.iter().enumerate() {
            match quiet {
                Some(quiet) if *quiet <= self.last => {
                    own = own.plus(Share {
                        rate: SEAT_SHARES,
                        burst: SEAT_SHARES,
                        permits: self.spec.seat_permits(i),
                    });
                }
                Some(quiet) => next = next.min(*quiet),
                None => {}
            }
        }
        let mut borrowed = Share::default();
        for loan in &self.borrowed {
            borrowed = borrowed.plus(loan.share);
            next = next.min(loan.end);
        }
        for loan in &self.lent {
            next = next.min(loan.end.unwrap_or(next));
        }
        let whole = self.spec.burst * MICROS_PER_TOKEN;
        let kept = part(whole, own.burst).saturating_sub(self.cap_debit());
        self.net = own.minus(self.lent_to(None)).plus(borrowed);
        self.own = own;
        self.next = next;
        self.rate = part(self.spec.rate * MICROS_PER_TOKEN, self.net.rate);
        self.cap = (kept + part(whole, borrowed.burst)) as i64;
        self.stock = self.stock.min(self.cap);
    }

    /// Micro-tokens of capacity that loans occupy at their borrowers or in flight.
    ///
    /// A borrower that uses loan `k` has its capacity, and may still receive
    /// the stock of later loans; it discards the stock of earlier ones.
    fn cap_debit(&self) -> u64 {
        let whole = u128::from(self.spec.burst * MICROS_PER_TOKEN);
        let mut sum = 0;
        for (i, first) in self.lent.iter().enumerate() {
            if self.lent[..i].iter().any(|l| l.to == first.to) {
                continue;
            }
            let mut flight = 0;
            let mut most = 0;
            for loan in self.lent[i..].iter().rev().filter(|l| l.to == first.to) {
                let cap = (whole * u128::from(loan.share.burst)).div_ceil(u128::from(SHARES));
                most = most.max(cap as u64 + flight);
                flight += loan.flight;
            }
            sum += most.max(flight);
        }
        sum
    }

    /// Fixes the end of loans whose ask arrived before the present reading.
    pub fn date_loans(&mut self, end: Ms) {
        for loan in &mut self.lent {
            loan.end.get_or_insert(end);
        }
        self.refresh();
    }

    /// Permits that may be used for `hold` from `now` on.
    pub fn permits(&self, now: Ms, hold: Ms) -> u64 {
        let lasting = self.borrowed.iter().filter(|b| b.end >= now + hold);
        let borrowed: u64 = lasting.map(|b| b.share.permits).sum();
        self.own.permits.saturating_sub(self.lent_to(None).permits) + borrowed
    }

    /// Marks what the borrower says that it received: loans up to `holds` are no
    /// longer in flight, and those before it are no longer used. Permits stay
    /// debited until the end, because a reservation may still use them.
    pub fn acknowledge(&mut self, from: &Node, holds: u64) {
        for loan in self.lent.iter_mut().filter(|l| l.to == *from && l.id <= holds) {
            loan.flight = 0;
            if loan.id < holds {
                loan.share.rate = 0;
                loan.share.burst = 0;
            }
        }
        // A later loan of as many permits ends later and covers an unused one.
        let lent = std::mem::take(&mut self.lent);
        for (i, loan) in lent.iter().enumerate() {
            let Share { rate, burst, permits } = loan.share;
            let later = |l: &Lent| l.to == loan.to && l.share.permits >= permits;
            if rate + burst + loan.flight > 0 || permits > 0 && !lent[i + 1..].iter().any(later) {
                self.lent.push(loan.clone());
            }
        }
        self.refresh();
    }

    /// Cuts the loans up to `holds` to what their borrower says that it kept.
    pub fn cut_lent(&mut self, from: &Node, holds: u64, kept: Share) {
        for loan in self.lent.iter_mut().filter(|l| l.to == *from && l.id <= holds) {
            loan.share = loan.share.min(kept);
        }
    }

    /// Shares that this node needs for its own demand.
    pub fn need(&mut self, now: Ms, tokens: u64) -> Share {
        let forecast = self.demand.forecast(now);
        // A tenth above the forecast keeps the stock from running down between renewals.
        let rate = shares(forecast + forecast / 10, self.spec.rate);
        // Room for two of the largest requests, and for one second of use.
        let room = (2 * self.demand.largest(now)).max(tokens).max(forecast);
        let permits = match self.spec.concurrent {
            Some(all) => {
                // Idle permits are kept for the next use unless others wait for them.
                let scarce = self.borrowed.iter().any(|b| b.scarce);
                let kept = if scarce { 0 } else { self.demand.open(now) };
                let open = self.in_use.max(kept);
                open.max((self.in_use + 1) * u64::from(tokens > 0)).min(all)
            }
            None => 0,
        };
        // A node with any demand keeps the room of one seat: callers that arrive
        // within one borrowing round trip must find stock.
        let least = if tokens > 0 || forecast > 0 { SEAT_SHARES } else { 0 };
        Share { rate, burst: shares(room, self.spec.burst).max(rate).max(least), permits }
    }
}

/// `share` parts of `whole`, rounded down.
pub(crate) fn part(whole: u64, share: u64) -> u64 {
    (u128::from(whole) * u128::from(share.min(SHARES)) / u128::from(SHARES)) as u64
}

/// Shares of `whole` that make up `amount`, rounded up.
pub(crate) fn shares(amount: u64, whole: u64) -> u64 {
    if whole == 0 {
        return 0;
    }
    let parts = (u128::from(amount) * u128::from(SHARES)).div_ceil(u128::from(whole));
    parts.min(u128::from(SHARES)) as u64
}
