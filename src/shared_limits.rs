//! Rate limits that hold over all edge nodes: those of teams, in tokens,
//! and those of endpoints, in requests.
//!
//! Each node keeps a token bucket for the whole limit. It subtracts its own admissions at
//! once and those of its peers when their beats report them. Between two beats a peer is
//! assumed to spend at its reported demand, so that nodes do not spend the same tokens. If
//! nothing is left under this assumption, a node still admits its own part of the rate,
//! which is its part of the demand.
//!
//! The admissions of silent peers are unknown, so the bucket then refills only with the
//! fraction of nodes that are heard. Retry times of refused callers are spread out. The
//! limits therefore hold under several times their rate at all nodes, also during a network
//! partition. Nodes of a cell use [`crate::quota`] instead.

use std::rc::Rc;

use crate::ids::Map;
use crate::time::Ms;

/// Fraction of the burst that a node starts with, before it has heard from its peers.
const INITIAL_LEVEL: f64 = 0.2;
/// Interval of beats, in which nodes report to each other what they admitted.
pub const BEAT_INTERVAL: Ms = Ms(200);
/// Time without a beat after which a peer counts as silent; four intervals of beats.
pub const SILENT_AFTER: Ms = Ms(4 * BEAT_INTERVAL.0);
/// Longest time after which a caller is told to retry; most deadlines are shorter.
const RETRY_AFTER_MAX: Ms = Ms::secs(5);
/// Shortest time after which a caller is told to retry; connecting takes about as long.
const RETRY_AFTER_MIN: Ms = Ms(50);
/// Time over which retries of refused callers are spread: one interval of beats, after
/// which nodes know what was spent.
const RETRY_SPREAD: Ms = BEAT_INTERVAL;
/// Time constant of the exponential average of the demand; two intervals of beats.
const DEMAND_WINDOW: Ms = Ms(2 * BEAT_INTERVAL.0);
/// Largest debt beyond the burst, in seconds of the rate. A larger debt, built up during a
/// network partition, would block all callers for too long after it.
const OVERDRAFT_S: f64 = 2.0;

/// Number of nodes that the limits are divided among; both counts include this node.
#[derive(Clone, Copy, Debug)]
pub struct NodeCounts {
    /// Nodes that may be admitting requests.
    pub nodes: usize,
    /// Those of them whose beats arrive.
    pub heard: usize,
}

impl NodeCounts {
    fn heard_fraction(self) -> f64 {
        self.heard as f64 / self.nodes as f64
    }

    fn node_fraction(self) -> f64 {
        1.0 / self.nodes as f64
    }
}

/// A rate limit that all nodes share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Tokens per second over all nodes.
    pub rate: f64,
    /// Tokens that may be admitted at once after a pause.
    pub burst: f64,
    /// Smallest burst of nodes that hear only each other. If it is the cost of a request, they
    /// wait until their part of the rate has yielded one.
    pub min_burst: f64,
}

/// What a limit applies to.
pub trait Limited {
    /// Name, unique among all that a [`SharedLimits`] holds.
    fn name(&self) -> &Rc<str>;

    /// The limit in force; `None` if there is none.
    fn limit(&self) -> Option<Limit>;
}

/// Tokens per second that callers ask for, whether admitted or not.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    rate: f64,
    at: Ms,
}

impl Demand {
    fn rate(&self, now: Ms) -> f64 {
        self.rate * (-(now.since(self.at).0 as f64) / DEMAND_WINDOW.0 as f64).exp()
    }

    fn add(&mut self, now: Ms, cost: f64) {
        *self = Self { rate: self.rate(now) + cost * 1_000.0 / DEMAND_WINDOW.0 as f64, at: now };
    }
}

/// Admissions and demand under one limit at one node, as reported in its beats.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitUsage {
    /// Tokens admitted since the start of the node's process.
    pub tokens: u64,
    /// Tokens per second that callers ask for, whether admitted or not.
    pub demand_rate: u32,
}

/// The last beat of a peer.
#[derive(Clone, Copy, Debug)]
struct PeerReport {
    /// Start of the peer's process.
    start: u64,
    usage: LimitUsage,
    at: Ms,
}

/// Token bucket of one limit.
#[derive(Clone, Debug)]
struct Bucket {
    rate: f64,
    burst: f64,
    min_burst: f64,
    level: f64,
    /// Tokens that this node may spend even if its peers spend the rest of the bucket; its
    /// part of the recent refills.
    own_level: f64,
    /// Last refill of `own_level`. Beats do not refill it.
    own_at: Ms,
    /// Tokens not refilled while peers were silent.
    missed: f64,
    /// Last refill of `level`.
    at: Ms,
    /// Tokens admitted by this node since its start.
    spent: u64,
    demand: Demand,
    /// Earliest retry time for the next refused caller.
    next_retry: Ms,
    peers: Map<Rc<str>, PeerReport>,
}

impl Bucket {
    fn new(now: Ms, limited: &impl Limited) -> Self {
        let none = Limit { rate: 0.0, burst: 0.0, min_burst: 0.0 };
        let Limit { rate, burst, min_burst } = limited.limit().unwrap_or(none);
        Self {
            rate,
            burst,
            min_burst,
            level: burst * INITIAL_LEVEL,
            own_level: 0.0,
            own_at: now,
            missed: 0.0,
            at: now,
            spent: 0,
            demand: Demand::default(),
            next_retry: now,
            peers: Map::default(),
        }
    }

    fn refill(&mut self, now: Ms, counts: NodeCounts) {
        let full_gain = self.rate * now.since(self.at).0 as f64 / 1000.0;
        let gain = full_gain * counts.heard_fraction();
        self.missed += full_gain - gain;
        // The rest of the burst may be spent by nodes that are not heard.
        self.level = (self.level + gain).min(self.heard_burst(counts));
        self.at = now;
    }

    /// The burst of the nodes that are heard.
    fn heard_burst(&self, counts: NodeCounts) -> f64 {
        (self.burst * counts.heard_fraction()).max(self.min_burst)
    }

    fn usage(&self, now: Ms) -> LimitUsage {
        LimitUsage { tokens: self.spent, demand_rate: self.demand.rate(now) as u32 }
    }

    fn heard_peers(&self, now: Ms) -> impl Iterator<Item = &PeerReport> {
        self.peers.values().filter(move |p| now.since(p.at) < SILENT_AFTER)
    }

    /// Fraction of the demand that reaches this node.
    fn demand_fraction(&self, now: Ms) -> f64 {
        let own = self.demand.rate(now);
        let peers: f64 = self.heard_peers(now).map(|p| f64::from(p.usage.demand_rate)).sum();
        if own + peers > 0.0 { own / (own + peers) } else { 1.0 }
    }

    /// Tokens that peers may have spent since their last beats.
    fn unreported(&self, now: Ms) -> f64 {
        let since = |p: &PeerReport| now.since(p.at).0 as f64 / 1_000.0;
        self.heard_peers(now).map(|p| f64::from(p.usage.demand_rate) * since(p)).sum()
    }

    /// Checks for tokens that peers leave, or else for tokens of this node's own part.
    ///
    /// # Errors
    /// The number of tokens missing.
    fn check(&mut self, now: Ms, cost: f64, counts: NodeCounts) -> Result<(), f64> {
        self.refill(now, counts);
        let own_rate = self.rate * counts.heard_fraction() * self.demand_fraction(now);
        let gain = own_rate * now.since(self.own_at).0 as f64 / 1_000.0;
        let own_burst = own_rate * DEMAND_WINDOW.0 as f64 / 1_000.0;
        self.own_level = (self.own_level + gain).min(own_burst);
        self.own_at = now;
        // A request that exceeds the burst is admitted when the bucket is full.
        let needed = cost.min(self.heard_burst(counts));
        let left_over = self.level - self.unreported(now);
        if self.level < needed || (left_over < needed && self.own_level < cost.min(own_burst)) {
            return Err((needed - left_over)
                .min(cost.min(own_burst) - self.own_level)
                .max(needed - self.level));
        }
        Ok(())
    }

    /// Time after which a refused caller may retry: when enough tokens will have been
    /// refilled, and after the callers that this node refused before.
    fn retry_after(&mut self, now: Ms, missing: f64, cost: f64, counts: NodeCounts) -> Ms {
        let rate = self.rate * counts.heard_fraction();
        let first =
            now + Ms((missing / rate * 1_000.0) as u64).clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX);
        let own_rate = rate * self.demand_fraction(now);
        let retry_at = self.next_retry.max(first);
        self.next_retry =
            (retry_at + Ms((cost / own_rate * 1_000.0) as u64)).min(first + RETRY_SPREAD);
        retry_at.since(now)
    }
}

/// Rate limits of the same kind, by name.
#[derive(Clone, Debug, Default)]
pub struct SharedLimits {
    buckets: Map<Rc<str>, Bucket>,
}

impl SharedLimits {
    /// Adds limits, so that admissions of peers are counted before the first request under a
    /// limit reaches this node.
    pub fn add<'a, L: Limited + 'a>(&mut self, now: Ms, limited: impl Iterator<Item = &'a L>) {
        for l in limited {
            self.bucket(now, l);
        }
    }

    fn bucket(&mut self, now: Ms, limited: &impl Limited) -> &mut Bucket {
        let entry = self.buckets.entry(limited.name().clone());
        entry.or_insert_with(|| Bucket::new(now, limited))
    }

    /// Admits a request by taking `cost` from the bucket.
    ///
    /// # Errors
    /// The time after which a refused caller may retry.
    pub fn admit(
        &mut self,
        now: Ms,
        limited: &impl Limited,
        cost: f64,
        counts: NodeCounts,
    ) -> Result<(), Ms> {
        self.check(now, limited, cost, counts)?;
        self.take(now, limited, cost, counts)
    }

    /// Counts a request's `cost` as demand, and checks whether the bucket holds enough.
    ///
    /// # Errors
    /// The time after which a refused caller may retry.
    pub fn check(
        &mut self,
        now: Ms,
        limited: &impl Limited,
        cost: f64,
        counts: NodeCounts,
    ) -> Result<(), Ms> {
        let bucket = self.bucket(now, limited);
        let Some(limit) = limited.limit() else { return Ok(()) };
        bucket.rate = limit.rate;
        bucket.burst = limit.burst;
        bucket.min_burst = limit.min_burst;
        bucket.demand.add(now, cost);
        bucket.check(now, cost, counts).map_err(|m| bucket.retry_after(now, m, cost, counts))
    }

    /// Takes the `cost` of a request that [`SharedLimits::check`] has counted as demand.
    ///
    /// # Errors
    /// The time after which a refused caller may retry.
    pub fn take(
        &mut self,
        now: Ms,
        limited: &impl Limited,
        cost: f64,
        counts: NodeCounts,
    ) -> Result<(), Ms> {
        let bucket = self.bucket(now, limited);
        if limited.limit().is_some() {
            bucket
                .check(now, cost, counts)
                .map_err(|m| bucket.retry_after(now, m, cost, counts))?;
            bucket.level -= cost;
            bucket.own_level = (bucket.own_level - cost).max(-cost);
        }
        bucket.spent += cost as u64;
        Ok(())
    }

    /// Forgets the limits whose names are not to be kept.
    pub fn retain(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.buckets.retain(|name, _| is_kept(name));
    }

    /// Tokens admitted and demanded at this node under one limit.
    pub fn usage_of(&self, now: Ms, name: &str) -> LimitUsage {
        self.buckets.get(name).map_or_else(LimitUsage::default, |bucket| bucket.usage(now))
    }

    /// Returns the cost of a request that did not run.
    pub fn refund(&mut self, name: &str, cost: f64) {
        if let Some(bucket) = self.buckets.get_mut(name) {
            bucket.level = (bucket.level + cost).min(bucket.burst);
            bucket.spent = bucket.spent.saturating_sub(cost as u64);
        }
    }

    /// Subtracts what a peer has admitted since its previous beat.
    ///
    /// Beats carry the sum since `start`, the start of the peer's process.
    pub fn on_beat(
        &mut self,
        now: Ms,
        counts: NodeCounts,
        (peer, start): (&Rc<str>, u64),
        name: &str,
        usage: LimitUsage,
    ) {
        let Some(bucket) = self.buckets.get_mut(name) else { return };
        // Earlier gains are capped at the burst before the peer's tokens are subtracted.
        bucket.refill(now, counts);
        let next = PeerReport { start, usage, at: now };
        let last = bucket.peers.insert(peer.clone(), next).unwrap_or(next);
        let new = match last.start == start {
            true => usage.tokens as f64 - last.usage.tokens as f64,
            false => usage.tokens as f64,
        };
        // While the peer was silent, the bucket did not gain the peer's part of the rate.
        let silent = now.since(last.at).since(SILENT_AFTER).0 as f64 / 1_000.0;
        let regained =
            (bucket.rate * counts.node_fraction() * silent).min(bucket.missed).min(new.max(0.0));
        bucket.missed = if counts.heard < counts.nodes { bucket.missed - regained } else { 0.0 };
        let least = -bucket.burst - bucket.rate * OVERDRAFT_S;
        bucket.level = (bucket.level - new + regained).clamp(least, bucket.burst);
    }

    /// Tokens admitted and demanded at this node, by name.
    pub fn usage(&self, now: Ms) -> impl Iterator<Item = (&Rc<str>, LimitUsage)> {
        self.buckets.iter().map(move |(name, bucket)| (name, bucket.usage(now)))
    }
}
