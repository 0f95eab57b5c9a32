//! Weight store: starts loads at a bounded rate and slows down when many are under way.

use std::collections::VecDeque;

/// One load at full speed, in microseconds.
pub const LOAD: f64 = 250_000.0;

/// Rate-limited weight store with processor sharing.
pub struct Store {
    rate: f64,
    fast: usize,
    many: usize,
    level: f64,
    promised: usize,
    at: u64,
    queue: VecDeque<(usize, usize)>,
    active: Vec<(usize, usize, f64)>,
}

impl Store {
    /// A store that starts `rate` loads a second, `fast` of them at full speed, and slows
    /// all down when more than `many` are in flight.
    pub fn new(rate: f64, fast: usize, many: usize) -> Self {
        let (queue, active) = Default::default();
        Self { rate, fast, many, level: fast as f64, promised: 0, at: 0, queue, active }
    }

    /// Promises one load that starts at once and at full speed.
    pub fn permit(&mut self, now: u64) -> bool {
        self.advance(now);
        let free = self.queue.is_empty()
            && self.active.len() + self.promised < self.fast
            && self.level >= (self.promised + 1) as f64;
        self.promised += usize::from(free);
        free
    }

    /// Takes back a promise.
    pub fn give_back(&mut self) {
        self.promised -= 1;
    }

    /// Orders a load of an adapter for an engine.
    pub fn order(&mut self, now: u64, engine: usize, adapter: usize) {
        self.advance(now);
        self.promised = self.promised.saturating_sub(1);
        self.queue.push_back((engine, adapter));
        self.start();
    }

    /// Loads that have ended by `now`.
    pub fn finished(&mut self, now: u64) -> Vec<(usize, usize)> {
        self.advance(now);
        let ended = self.active.iter().filter(|(.., left)| *left <= 1.0).map(|(e, a, _)| (*e, *a));
        let ended: Vec<_> = ended.collect();
        self.active.retain(|(.., left)| *left > 1.0);
        self.start();
        ended
    }

    /// Instant of the next change, if a load is in flight.
    pub fn next(&self) -> Option<u64> {
        let left = self.active.iter().map(|(.., left)| *left).reduce(f64::min);
        let end = left.map(|left| self.at + (left / self.speed()).ceil() as u64 + 1);
        let start = (!self.queue.is_empty())
            .then(|| self.at + ((1.0 - self.level).max(0.0) / self.rate * 1e6).ceil() as u64 + 1);
        end.into_iter().chain(start).min()
    }

    fn speed(&self) -> f64 {
        let flying = self.active.len() + self.queue.len();
        let share = self.fast as f64 / self.active.len().max(1) as f64;
        share.min(1.0) * (self.many as f64 / flying.max(1) as f64).min(1.0)
    }

    fn advance(&mut self, now: u64) {
        let passed = now.saturating_sub(self.at) as f64;
        let speed = self.speed();
        self.active.iter_mut().for_each(|(.., left)| *left -= passed * speed);
        self.level = (self.level + passed * self.rate / 1e6).min(self.fast as f64);
        self.at = self.at.max(now);
    }

    fn start(&mut self) {
        while self.level >= 1.0
            && let Some((engine, adapter)) = self.queue.pop_front()
        {
            self.level -= 1.0;
            self.active.push((engine, adapter, LOAD));
        }
    }
}
