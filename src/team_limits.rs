//! Limits of teams over all nodes.
//!
//! Each node keeps a bucket of the whole team, takes its own admissions from it at
//! once and those of its peers as their beats tell. Until the next beat, each peer is
//! taken to spend what it is asked for, so that nodes do not spend the same tokens; what
//! is not left over then admits a node's own part of the rate, by its part of the demand.
//! While peers are silent their admissions are unknown, so the bucket refills only with
//! the share of the nodes that are heard. Refused callers are told to come back one after
//! the other. Answers a team that sends several times its rate at all nodes.

use std::rc::Rc;

use crate::ids::Map;
use crate::routing::Team;
use crate::time::Ms;

/// Share of the burst that a node starts with, before it has heard of its peers.
const START: f64 = 0.2;
/// Interval of beats, by which nodes tell each other what they admitted.
pub const BEAT_INTERVAL: Ms = Ms(200);
/// Time without a beat after which a peer counts as silent; four beats.
pub const SILENT_AFTER: Ms = Ms(4 * BEAT_INTERVAL.0);
/// Longest time that a caller is told to wait; a longer one outlives most deadlines.
const AFTER_MAX: Ms = Ms::secs(5);
/// Shortest time that a caller is told to wait, about that of a connection.
const AFTER_MIN: Ms = Ms(50);
/// Time over which the returns of refused callers are spread; a beat, after which nodes
/// know what was spent.
const SPREAD: Ms = BEAT_INTERVAL;
/// Time constant of the measured demand; two beats.
const DEMAND: Ms = Ms(2 * BEAT_INTERVAL.0);
/// Overdraft beyond the burst that is paid back, in seconds of the rate; more would close
/// a team after a cut.
const OVERDRAFT: f64 = 2.0;

/// Nodes that count for the limits, and those of them that are heard; both with this one.
#[derive(Clone, Copy, Debug)]
pub struct NodeCounts {
    pub nodes: usize,
    pub heard: usize,
}

impl NodeCounts {
    fn heard_part(self) -> f64 {
        self.heard as f64 / self.nodes as f64
    }

    fn node_part(self) -> f64 {
        1.0 / self.nodes as f64
    }
}

/// Tokens per second that callers ask for, whether admitted or not.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    rate: f64,
    at: Ms,
}

impl Demand {
    fn rate(&self, now: Ms) -> f64 {
        self.rate * (-(now.since(self.at).0 as f64) / DEMAND.0 as f64).exp()
    }

    fn add(&mut self, now: Ms, cost: f64) {
        *self = Self { rate: self.rate(now) + cost * 1_000.0 / DEMAND.0 as f64, at: now };
    }
}

/// What a node admitted and was asked for, as its beats tell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TeamUsage {
    /// Tokens admitted since the node's start.
    pub tokens: u64,
    /// Tokens per second that callers ask for.
    pub demand_rate: u32,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    start: u64,
    spent: TeamUsage,
    at: Ms,
}

/// The limit of one team.
#[derive(Clone, Debug)]
struct Share {
    rate: f64,
    burst: f64,
    level: f64,
    /// This node's part of what was gained lately.
    own: f64,
    /// When that part was gained last; beats do not add to it.
    own_at: Ms,
    /// Tokens not gained while peers were silent.
    missed: f64,
    at: Ms,
    /// Tokens admitted here since the start.
    spent: u64,
    demand: Demand,
    /// When the caller that was refused last is to come back.
    back: Ms,
    peers: Map<Rc<str>, Seen>,
}

impl Share {
    fn new(now: Ms, team: &Team) -> Self {
        let burst = burst(team);
        Self {
            rate: team.rate,
            burst,
            level: burst * START,
            own: 0.0,
            own_at: now,
            missed: 0.0,
            at: now,
            spent: 0,
            demand: Demand::default(),
            back: now,
            peers: Map::default(),
        }
    }

    fn refill(&mut self, now: Ms, reach: NodeCounts) {
        let whole = self.rate * now.since(self.at).0 as f64 / 1000.0;
        let gain = whole * reach.heard_part();
        self.missed += whole - gain;
        // The rest of the burst belongs to the nodes that are not heard.
        self.level = (self.level + gain).min(self.burst * reach.heard_part());
        self.at = now;
    }

    fn heard_peers(&self, now: Ms) -> impl Iterator<Item = &Seen> {
        self.peers.values().filter(move |p| now.since(p.at) < SILENT_AFTER)
    }

    /// This node's part of the demand.
    fn demand_part(&self, now: Ms) -> f64 {
        let own = self.demand.rate(now);
        let peers: f64 = self.heard_peers(now).map(|p| f64::from(p.spent.demand_rate)).sum();
        if own + peers > 0.0 { own / (own + peers) } else { 1.0 }
    }

    /// Tokens that peers may have spent since their last beats.
    fn unseen(&self, now: Ms) -> f64 {
        let since = |p: &Seen| now.since(p.at).0 as f64 / 1_000.0;
        self.heard_peers(now).map(|p| f64::from(p.spent.demand_rate) * since(p)).sum()
    }

    /// Takes tokens that are left over, or of this node's own part; `Err` is what is missing.
    fn take(&mut self, now: Ms, cost: f64, reach: NodeCounts) -> Result<(), f64> {
        self.refill(now, reach);
        let own_rate = self.rate * reach.heard_part() * self.demand_part(now);
        let gain = own_rate * now.since(self.own_at).0 as f64 / 1_000.0;
        let own_burst = own_rate * DEMAND.0 as f64 / 1_000.0;
        self.own = (self.own + gain).min(own_burst);
        self.own_at = now;
        // A request above the whole burst waits for a full bucket.
        let needed = cost.min(self.burst * reach.heard_part());
        let left_over = self.level - self.unseen(now);
        if self.level < needed || (left_over < needed && self.own < cost.min(own_burst)) {
            return Err((needed - left_over)
                .min(cost.min(own_burst) - self.own)
                .max(needed - self.level));
        }
        self.level -= cost;
        self.own = (self.own - cost).max(-cost);
        Ok(())
    }

    /// When a refused caller may come back: once tokens for it are there, after those
    /// that were refused here before it.
    fn turn(&mut self, now: Ms, missing: f64, cost: f64, reach: NodeCounts) -> Ms {
        let rate = self.rate * reach.heard_part();
        let first = now + Ms((missing / rate * 1_000.0) as u64).clamp(AFTER_MIN, AFTER_MAX);
        let own_rate = rate * self.demand_part(now);
        let turn = self.back.max(first);
        self.back = (turn + Ms((cost / own_rate * 1_000.0) as u64)).min(first + SPREAD);
        turn.since(now)
    }
}

/// Tokens that a full bucket holds.
fn burst(team: &Team) -> f64 {
    team.burst.max(team.rate * 0.1)
}

/// Limits of all teams.
#[derive(Clone, Debug, Default)]
pub struct TeamLimits {
    rows: Map<Rc<str>, Share>,
}

impl TeamLimits {
    /// Begins to count for teams, so that what peers admit is known before their first
    /// request here.
    pub fn add_teams<'a>(&mut self, now: Ms, teams: impl Iterator<Item = &'a Team>) {
        for team in teams {
            self.rows.entry(team.name.clone()).or_insert_with(|| Share::new(now, team));
        }
    }

    /// Takes `cost` from a team's bucket, or says after how long it may come back.
    pub fn admit(&mut self, now: Ms, team: &Team, cost: f64, reach: NodeCounts) -> Result<(), Ms> {
        let row = self.rows.entry(team.name.clone()).or_insert_with(|| Share::new(now, team));
        if team.rate > 0.0 {
            row.rate = team.rate;
            row.burst = burst(team);
            row.demand.add(now, cost);
            if let Err(missing) = row.take(now, cost, reach) {
                return Err(row.turn(now, missing, cost, reach));
            }
        }
        row.spent += cost as u64;
        Ok(())
    }

    /// Gives back what was taken for a request that did not run.
    pub fn refund(&mut self, team: &str, cost: f64) {
        if let Some(row) = self.rows.get_mut(team) {
            row.level = (row.level + cost).min(row.burst);
            row.spent = row.spent.saturating_sub(cost as u64);
        }
    }

    /// Adopts what a peer has admitted since its start.
    pub fn on_beat(
        &mut self,
        now: Ms,
        reach: NodeCounts,
        (peer, start): (&Rc<str>, u64),
        team: &str,
        spent: TeamUsage,
    ) {
        let Some(row) = self.rows.get_mut(team) else { return };
        // What was gained before is capped before it is taken.
        row.refill(now, reach);
        let next = Seen { start, spent, at: now };
        let last = row.peers.insert(peer.clone(), next).unwrap_or(next);
        let new = match last.start == start {
            true => spent.tokens as f64 - last.spent.tokens as f64,
            false => spent.tokens as f64,
        };
        // While the peer was silent its part of the rate was not gained here.
        let silent = now.since(last.at).since(SILENT_AFTER).0 as f64 / 1_000.0;
        let own_part = (row.rate * reach.node_part() * silent).min(row.missed).min(new.max(0.0));
        row.missed = if reach.heard < reach.nodes { row.missed - own_part } else { 0.0 };
        let least = -row.burst - row.rate * OVERDRAFT;
        row.level = (row.level - new + own_part).clamp(least, row.burst);
    }

    /// What was admitted and asked for here, by team.
    pub fn usage(&self, now: Ms) -> impl Iterator<Item = (&Rc<str>, TeamUsage)> {
        self.rows.iter().map(move |(team, row)| {
            (team, TeamUsage { tokens: row.spent, demand_rate: row.demand.rate(now) as u32 })
        })
    }
}
