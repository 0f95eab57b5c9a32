//! Weight store that starts loads at a limited rate and slows down above a number of loads in
//! flight.

use std::collections::VecDeque;

/// Duration of a load at full speed, in microseconds.
pub const LOAD_US: f64 = 250_000.0;

/// Rate-limited weight store with processor sharing.
pub struct Store {
    rate: f64,
    full_speed: usize,
    slowdown_above: usize,
    start_tokens: f64,
    reserved: usize,
    updated_at: u64,
    // Engine and adapter of each waiting load.
    queue: VecDeque<(usize, usize)>,
    // Engine, adapter and remaining microseconds at full speed of each running load.
    active: Vec<(usize, usize, f64)>,
}

impl Store {
    /// Creates a store that starts `rate` loads per second, runs `full_speed` of them at full
    /// speed, and slows all down while more than `slowdown_above` are in flight.
    pub fn new(rate: f64, full_speed: usize, slowdown_above: usize) -> Self {
        let (queue, active) = Default::default();
        Self {
            rate,
            full_speed,
            slowdown_above,
            start_tokens: full_speed as f64,
            reserved: 0,
            updated_at: 0,
            queue,
            active,
        }
    }

    /// Reserves a load that starts immediately and at full speed; `false` if none is free.
    pub fn try_reserve(&mut self, now: u64) -> bool {
        self.advance(now);
        let free = self.queue.is_empty()
            && self.active.len() + self.reserved < self.full_speed
            && self.start_tokens >= (self.reserved + 1) as f64;
        self.reserved += usize::from(free);
        free
    }

    /// Releases a reservation.
    pub fn release(&mut self) {
        self.reserved -= 1;
    }

    /// Queues the load of an adapter for an engine; uses a reservation if there is one.
    pub fn queue_load(&mut self, now: u64, engine: usize, adapter: usize) {
        self.advance(now);
        self.reserved = self.reserved.saturating_sub(1);
        self.queue.push_back((engine, adapter));
        self.start_queued();
    }

    /// Removes and returns the loads that have finished by `now`, as engine and adapter.
    pub fn take_finished(&mut self, now: u64) -> Vec<(usize, usize)> {
        self.advance(now);
        let ended = self.active.iter().filter(|(.., left)| *left <= 1.0).map(|(e, a, _)| (*e, *a));
        let ended: Vec<_> = ended.collect();
        self.active.retain(|(.., left)| *left > 1.0);
        self.start_queued();
        ended
    }

    /// Time of the next start or end of a load, if any is in flight.
    pub fn next_change(&self) -> Option<u64> {
        let left = self.active.iter().map(|(.., left)| *left).reduce(f64::min);
        let end = left.map(|left| self.updated_at + (left / self.speed()).ceil() as u64 + 1);
        let start = (!self.queue.is_empty()).then(|| {
            self.updated_at
                + ((1.0 - self.start_tokens).max(0.0) / self.rate * 1e6).ceil() as u64
                + 1
        });
        end.into_iter().chain(start).min()
    }

    /// Fraction of the full speed at which loads run.
    fn speed(&self) -> f64 {
        let in_flight = self.active.len() + self.queue.len();
        let share = self.full_speed as f64 / self.active.len().max(1) as f64;
        share.min(1.0) * (self.slowdown_above as f64 / in_flight.max(1) as f64).min(1.0)
    }

    /// Advances running loads and the rate limit to `now`.
    fn advance(&mut self, now: u64) {
        let passed = now.saturating_sub(self.updated_at) as f64;
        let speed = self.speed();
        self.active.iter_mut().for_each(|(.., left)| *left -= passed * speed);
        self.start_tokens =
            (self.start_tokens + passed * self.rate / 1e6).min(self.full_speed as f64);
        self.updated_at = self.updated_at.max(now);
    }

    fn start_queued(&mut self) {
        while self.start_tokens >= 1.0
            && let Some((engine, adapter)) = self.queue.pop_front()
        {
            self.start_tokens -= 1.0;
            self.active.push((engine, adapter, LOAD_US));
        }
    }
}
