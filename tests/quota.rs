//! Simulates the quotas of several nodes under faults and checks the sum of their grants.

use std::collections::BTreeMap;

use quickcheck::{Gen, QuickCheck};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use sycamorefork::ids::{Node, Team};
use sycamorefork::quota::{
    Loan, LoanRequest, PeerLevels, Quota, QuotaSettings, RateSpec, Reservation, ReserveError,
    ReserveResult, SEATS_PER_TEAM,
};
use sycamorefork::time::Ms;

const SEED: u64 = 0x5eed_40a7;
const TICK_MS: u64 = 5;
const MICRO: u64 = 1_000_000;
/// Time after which other nodes take over the seats of a paused node.
const LEASE_MS: u64 = 3000;

/// Sender, receiver and contents of a message between two incarnations.
type Msg = (Node, Node, Result<LoanRequest, Loan>);

/// A simulated node; all times are in simulated milliseconds.
struct SimNode {
    name: Node,
    quota: Quota,
    peers: PeerLevels,
    /// Offset of the node's clock.
    offset: u64,
    /// Speed of the node's clock, in thousandths.
    speed: u64,
    spec: RateSpec,
    /// Start and end of the current pause.
    paused: Option<(u64, u64)>,
    /// Messages that arrived during the pause, with their times of arrival.
    inbox: Vec<(u64, Msg)>,
    /// Requests that wait for loans: tokens, borrowing rounds, hold, next attempt.
    waiting: Vec<(u64, u32, u64, u64)>,
    /// Open reservations: end, hold, reservation.
    held: Vec<(u64, u64, Reservation)>,
}

struct World {
    now: u64,
    seq: u64,
    rng: SmallRng,
    settings: QuotaSettings,
    team: Team,
    nodes: Vec<SimNode>,
    /// Index of the node that holds each seat.
    holders: Vec<usize>,
    /// Messages on the way, by time of delivery and sequence number.
    messages: BTreeMap<(u64, u64), Msg>,
    /// Least and largest part of a reservation that a request uses, in percent.
    usage: (u64, u64),
    /// Messages lost, per thousand.
    lost_permille: u32,
    /// Messages delayed by 100 ms or more, per thousand.
    late_permille: u32,
    granted: u64,
    refused: u64,
    /// Most borrowing rounds that a granted request needed.
    most_rounds: u32,
    sent: u64,
    /// Ends of the open reservations of crashed nodes.
    orphans: Vec<u64>,
}

impl World {
    fn new(seed: u64, holders: &[usize], spec: RateSpec) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let settings = QuotaSettings::default();
        let count = holders.iter().max().unwrap() + 1;
        let team = Team::new("team");
        let mut world = Self {
            now: 0,
            seq: 0,
            settings,
            team,
            nodes: Vec::new(),
            holders: holders.to_vec(),
            messages: BTreeMap::new(),
            usage: (100, 100),
            lost_permille: 0,
            late_permille: 0,
            granted: 0,
            refused: 0,
            most_rounds: 0,
            sent: 0,
            orphans: Vec::new(),
            rng: SmallRng::seed_from_u64(rng.random()),
        };
        for i in 0..count {
            world.nodes.push(SimNode {
                name: Node::new(&format!("node-{i}")),
                quota: Quota::new(settings),
                peers: PeerLevels::default(),
                offset: rng.random_range(0..1_000_000),
                speed: 1000,
                spec,
                paused: None,
                inbox: Vec::new(),
                waiting: Vec::new(),
                held: Vec::new(),
            });
            world.configure(i, spec);
        }
        for (seat, node) in holders.iter().enumerate() {
            let now = world.clock(*node);
            world.nodes[*node].quota.gain_seat(now, &world.team, seat, now);
        }
        world
    }

    fn clock(&self, node: usize) -> Ms {
        let n = &self.nodes[node];
        Ms(n.offset + self.now * n.speed / 1000)
    }

    fn configure(&mut self, node: usize, spec: RateSpec) {
        let now = self.clock(node);
        self.nodes[node].spec = spec;
        self.nodes[node].quota.set_rates(now, &[(self.team.clone(), spec)]);
    }

    fn send(&mut self, msg: Msg) {
        self.sent += 1;
        if self.rng.random_range(0..1000) < self.lost_permille {
            return;
        }
        let delay = match self.rng.random_range(0..1000) < self.late_permille {
            true => self.rng.random_range(100..6000),
            false => self.rng.random_range(1..6),
        };
        self.seq += 1;
        self.messages.insert((self.now + delay, self.seq), msg);
    }

    fn receive(&mut self, to: usize, now: Ms, msg: Msg) {
        let (from, me, body) = msg;
        match body {
            Ok(request) => {
                if let Some(loan) = self.nodes[to].quota.on_loan_request(now, &from, &request) {
                    self.send((me, from, Err(loan)));
                }
            }
            Err(loan) => self.nodes[to].quota.on_loan(now, &from, &loan),
        }
    }

    fn send_loan_requests(&mut self, node: usize, requests: Vec<(Node, LoanRequest)>) {
        for (to, request) in requests {
            let from = self.nodes[node].name.clone();
            self.send((from, to, Ok(request)));
        }
    }

    /// Attempts a reservation; `rounds` is the number of its borrowing rounds so far.
    fn try_reserve(&mut self, node: usize, now: Ms, tokens: u64, rounds: u32, hold: u64) {
        let team = self.team.clone();
        match self.nodes[node].quota.reserve(now, &team, tokens) {
            ReserveResult::Granted(reservation) => {
                self.granted += tokens;
                self.most_rounds = self.most_rounds.max(rounds);
                self.nodes[node].held.push((self.now + hold, hold, reservation));
            }
            ReserveResult::Borrow => {
                let n = &mut self.nodes[node];
                let list = n.quota.loan_requests(now, &team, tokens, &n.peers);
                let rounds = rounds + u32::from(!list.is_empty());
                n.waiting.push((tokens, rounds, hold, self.now + TICK_MS));
                self.send_loan_requests(node, list);
            }
            ReserveResult::Refused { reason, .. } => {
                assert_ne!(reason, ReserveError::UnknownTeam);
                self.refused += 1;
            }
        }
    }

    /// Advances all running nodes by one tick: delivers messages, releases due
    /// reservations, exchanges levels, plans loans and retries waiting requests.
    /// Returns the reserved tokens that were not used.
    fn step(&mut self) -> u64 {
        self.now += TICK_MS;
        while let Some(entry) = self.messages.first_entry()
            && entry.key().0 <= self.now
        {
            let msg = entry.remove();
            let Some(to) = self.nodes.iter().position(|n| n.name == msg.1) else { continue };
            if self.nodes[to].paused.is_some() {
                self.nodes[to].inbox.push((self.now, msg));
            } else {
                self.receive(to, self.clock(to), msg);
            }
        }
        let mut returned = 0;
        for i in 0..self.nodes.len() {
            if self.nodes[i].paused.is_some() {
                continue;
            }
            let now = self.clock(i);
            let mut k = 0;
            while k < self.nodes[i].held.len() {
                if self.nodes[i].held[k].0 > self.now {
                    k += 1;
                    continue;
                }
                let (_, _, reservation) = self.nodes[i].held.swap_remove(k);
                let tokens = reservation.tokens();
                let used = tokens * self.rng.random_range(self.usage.0..=self.usage.1) / 100;
                returned += tokens.saturating_sub(used);
                self.nodes[i].quota.release(now, reservation, used);
            }
            if self.now.is_multiple_of(500) {
                let levels = self.nodes[i].quota.levels(now);
                let name = self.nodes[i].name.clone();
                for (j, n) in self.nodes.iter_mut().enumerate() {
                    if j != i {
                        n.peers.set(&name, &levels);
                    }
                }
            }
            if self.now.is_multiple_of(100) {
                let n = &mut self.nodes[i];
                let requests = n.quota.plan_loans(now, &n.peers);
                self.send_loan_requests(i, requests);
            }
            let waiting = std::mem::take(&mut self.nodes[i].waiting);
            for (tokens, rounds, hold, at) in waiting {
                if at <= self.now {
                    self.try_reserve(i, now, tokens, rounds, hold);
                } else {
                    self.nodes[i].waiting.push((tokens, rounds, hold, at));
                }
            }
        }
        returned
    }

    fn move_seat(&mut self, seat: usize, to: usize) {
        let now = self.clock(to);
        let quiet_until = now + self.settings.quiet_period();
        self.nodes[to].quota.gain_seat(now, &self.team, seat, quiet_until);
        self.holders[seat] = to;
    }

    /// Moves seats of a node to others, as after the end of its lease.
    fn take_over(&mut self, node: usize) {
        for seat in 0..SEATS_PER_TEAM {
            // Some seats are not claimed before their holder returns.
            if self.holders[seat] == node && self.rng.random_bool(0.7) {
                let to =
                    (node + 1 + self.rng.random_range(0..self.nodes.len() - 1)) % self.nodes.len();
                if self.nodes[to].paused.is_none() {
                    self.move_seat(seat, to);
                }
            }
        }
    }

    fn crash(&mut self, node: usize) {
        let spec = self.nodes[node].spec;
        let n = &mut self.nodes[node];
        self.orphans.extend(n.held.drain(..).map(|(end, ..)| end));
        n.waiting.clear();
        n.inbox.clear();
        let new = Node::new(&format!("node-{node}-{}", self.now));
        let old = std::mem::replace(&mut n.name, new);
        n.quota = Quota::new(self.settings);
        self.configure(node, spec);
        for peer in &mut self.nodes {
            peer.peers.remove(&old);
        }
    }

    /// Ends a pause; the node first acts on a clock reading from before the pause.
    fn resume(&mut self, node: usize, since: u64) {
        let resumed = self.now;
        self.now = since;
        let stale = self.clock(node);
        self.now = resumed;
        self.nodes[node].paused = None;
        let tokens = self.nodes[node].spec.burst / 8;
        self.try_reserve(node, stale, tokens, 0, 500);
        let inbox = std::mem::take(&mut self.nodes[node].inbox);
        // The caller of the quota reads the clock after the arrival of a message. An
        // older reading is harmless only while the node still holds its lease.
        let (early, late): (Vec<_>, Vec<_>) = inbox
            .into_iter()
            .partition(|(at, _)| *at <= since + TICK_MS || resumed < since + LEASE_MS);
        for (_, msg) in early {
            self.receive(node, stale, msg);
        }
        let now = self.clock(node);
        for seat in 0..SEATS_PER_TEAM {
            if self.holders[seat] != node {
                self.nodes[node].quota.lose_seat(now, &self.team, seat);
            }
        }
        for (_, msg) in late {
            self.receive(node, now, msg);
        }
    }
}

/// Guards against creating tokens, capacity or permits by loans, lost and late
/// messages, crashes, pauses, seat moves and rate changes.
#[test]
fn never_grants_more_than_rate_and_burst() {
    fn property(seed: u64) -> bool {
        let seed = seed % 1_000_000;
        let mut rng = SmallRng::seed_from_u64(seed);
        let count = rng.random_range(3..6);
        let mut holders: Vec<usize> =
            (0..SEATS_PER_TEAM).map(|_| rng.random_range(0..count)).collect();
        holders[0] = count - 1;
        let spec = RateSpec {
            rate: rng.random_range(100..20_000),
            burst: rng.random_range(1000..40_000),
            concurrent: rng.random_bool(0.5).then(|| rng.random_range(1..40)),
        };
        let mut world = World::new(seed, &holders, spec);
        world.lost_permille = 100;
        world.late_permille = [50, 400][rng.random_range(0..2)];
        world.usage = [(100, 100), (0, 100), (0, 110)][rng.random_range(0..3)];
        let changes = rng.random_bool(0.5);
        let pauses = rng.random_bool(0.5);
        let drift = rng.random_range(0..4) == 0;
        if drift {
            world.nodes[0].speed = 1002;
            world.nodes[1].speed = 998;
        }
        // Reference bucket of the whole fleet, in thousandths of micro-tokens: `level` is
        // capped at the burst, `total` is the uncapped sum.
        let mut level = i128::from(spec.burst) * 1_000_000_000;
        let mut total = level;
        let mut spent = 0;
        // Probability of a request per tick and node, in thousandths.
        let mut load: Vec<u64> = vec![100; count];
        let mut settings_due: Vec<(u64, usize, RateSpec)> = Vec::new();
        let mut takeovers: Vec<(u64, usize)> = Vec::new();
        while world.now < 60_000 {
            let fastest = world.nodes.iter().map(|n| n.spec.rate).max().unwrap();
            let burst = world.nodes.iter().map(|n| n.spec.burst).max().unwrap();
            let speed = if drift { 1002 } else { 1000 };
            let gain = i128::from(fastest) * i128::from(MICRO * TICK_MS * speed) / 1000;
            let before = world.granted;
            level = (level + gain).min(i128::from(burst) * 1_000_000_000);
            total += gain;
            let returned = world.step();
            for (node, load) in load.iter().enumerate() {
                if world.nodes[node].paused.is_none() && rng.random_range(0..1000) < *load {
                    let tokens = rng.random_range(1..=world.nodes[node].spec.burst / 8);
                    let now = world.clock(node);
                    let hold = rng.random_range(0..1500);
                    world.try_reserve(node, now, tokens, 0, hold);
                }
            }
            let net = i128::from(world.granted - before) - i128::from(returned);
            level -= net * 1_000_000_000;
            // Includes what a resumed node granted on its stale clock reading; the
            // level does not, because the node had that stock before the pause.
            total -= (i128::from(world.granted) - spent - i128::from(returned)) * 1_000_000_000;
            spent = i128::from(world.granted);
            level = level.min(i128::from(burst) * 1_000_000_000);
            assert!(total >= 0, "seed {seed}: {total} below zero at {} ms", world.now);
            assert!(level >= 0, "seed {seed}: window excess at {} ms", world.now);
            let now = world.now;
            world.orphans.retain(|end| *end > now);
            let open: usize = world.nodes.iter().map(|n| n.held.len()).sum();
            let open = open + world.orphans.len();
            if let Some(all) = spec.concurrent.filter(|_| !pauses) {
                assert!(open <= all as usize, "seed {seed}: {open} of {all} permits at {now} ms");
            }
            if now.is_multiple_of(500) {
                let running = world.nodes.iter().filter(|n| n.paused.is_none());
                let states = running.map(|n| n.quota.snapshot(&world.team));
                let (stock, cap) = states.fold((0, 0), |(s, c), l| (s + l.stock, c + l.capacity));
                let most = (burst * MICRO) as i64;
                assert!(cap <= most, "seed {seed}: capacity {cap} of {most} at {now} ms");
                assert!(stock <= most, "seed {seed}: stock {stock} of {most} at {now} ms");
            }

            // Injects faults.
            let node = rng.random_range(0..count);
            match rng.random_range(0..4000) {
                0..4 | 15..30 => load[node] = [0, 0, 20, 300][rng.random_range(0..4)],
                4..7 if world.nodes[node].paused.is_none() => {
                    let seat = rng.random_range(0..SEATS_PER_TEAM);
                    let from = world.holders[seat];
                    if from != node && world.nodes[from].paused.is_none() {
                        let at = world.clock(from);
                        let team = world.team.clone();
                        world.nodes[from].quota.lose_seat(at, &team, seat);
                        world.move_seat(seat, node);
                    }
                }
                7..9 if world.nodes[node].paused.is_none() => {
                    world.crash(node);
                    world.take_over(node);
                }
                9..13 if pauses && world.nodes[node].paused.is_none() => {
                    let length = rng.random_range(200..8000);
                    world.nodes[node].paused = Some((now, now + length));
                    if length > LEASE_MS {
                        takeovers.push((now + LEASE_MS, node));
                    }
                }
                13..15 if changes => {
                    let new = RateSpec {
                        rate: rng.random_range(100..20_000),
                        burst: rng.random_range(1000..40_000),
                        ..spec
                    };
                    settings_due.clear();
                    for i in 0..count {
                        settings_due.push((now + rng.random_range(0..2000), i, new));
                    }
                }
                _ => {}
            }
            for i in (0..takeovers.len()).rev() {
                if takeovers[i].0 <= now {
                    let (_, node) = takeovers.swap_remove(i);
                    world.take_over(node);
                }
            }
            for i in (0..settings_due.len()).rev() {
                let (at, node, new) = settings_due[i];
                if at <= now && world.nodes[node].paused.is_none() {
                    settings_due.swap_remove(i);
                    world.configure(node, new);
                }
            }
            for i in 0..count {
                if let Some((since, until)) = world.nodes[i].paused
                    && until <= now
                {
                    world.resume(i, since);
                }
            }
        }
        assert!(world.granted > 0, "seed {seed}: nothing granted");
        true
    }
    println!("generator seed {SEED:#x}");
    let mut quick = QuickCheck::new().rng(Gen::from_size_and_seed(1000, SEED)).tests(100);
    quick.quickcheck(property as fn(u64) -> bool);
}

/// Guards against refusals below the rate when all callers use one or two nodes,
/// and against requests that need more than one borrowing round trip.
#[test]
fn one_node_serves_95_percent_of_the_rate() {
    // Nodes with callers, seats of the first node, nodes, rate, burst, concurrency.
    let cases = [
        (1, 4, 4, 10_000, 10_000, None),
        (1, 1, 5, 10_000, 10_000, None),
        (1, 1, 3, 500_000, 1_000_000, None),
        (1, 0, 2, 10_000, 5_000, None),
        (1, 4, 4, 9, 9, Some(3)),
        (1, 3, 5, 3, 3, Some(2)),
        (2, 4, 4, 10_000, 10_000, None),
        (2, 1, 3, 500_000, 1_000_000, None),
        (2, 0, 2, 10_000, 5_000, None),
    ];
    for (case, (callers, seats, nodes, rate, burst, concurrent)) in cases.into_iter().enumerate() {
        let holder = |seat: usize| match seat < seats {
            true => 0,
            false => 1 + seat % (nodes - 1),
        };
        let holders: Vec<usize> = (0..SEATS_PER_TEAM).map(holder).collect();
        let mut world = World::new(SEED, &holders, RateSpec { rate, burst, concurrent });
        let mut due = 0;
        // Refusals and messages of the first 5 s.
        let mut warm_up = (0, 0);
        while world.now < 60_000 {
            world.step();
            while due <= world.now * 1000 {
                let tokens = match concurrent {
                    Some(_) => 1,
                    None => world.rng.random_range(1..=burst / 20),
                };
                due += tokens * MICRO * 100 / (rate * 95);
                let node = world.rng.random_range(0..callers);
                let now = world.clock(node);
                world.try_reserve(node, now, tokens, 0, 250);
            }
            if world.now == 5_000 {
                warm_up = (world.refused, world.sent);
                world.most_rounds = 0;
            }
        }
        let sent = (world.sent - warm_up.1) / 55;
        println!("case {case}: refused {} in warm-up, {sent} messages/s", warm_up.0);
        assert_eq!(world.refused, warm_up.0, "case {case}: refusals after the warm-up");
        assert!(world.most_rounds <= 1, "case {case}: {} rounds for a request", world.most_rounds);
    }
}

/// Guards against granting capacity twice while stock is in flight, lending
/// permits again while they are in use, and refilling over a pause.
#[test]
fn lender_keeps_debits_for_the_term() {
    let team = Team::new("team");
    let spec = RateSpec { rate: 1000, burst: 1000, concurrent: Some(4) };
    let mut lender = Quota::new(QuotaSettings::default());
    lender.set_rates(Ms(0), &[(team.clone(), spec)]);
    for seat in 0..SEATS_PER_TEAM {
        lender.gain_seat(Ms(0), &team, seat, Ms(0));
    }
    lender.levels(Ms(1000));
    // Number, acknowledged loan, stock and permits of each loan request.
    let requests = [(1, 0, 400 * MICRO, 3), (2, 1, 0, 0), (3, 2, 0, 0)];
    let peer = Node::new("peer");
    // Capacity in tokens and permits that are left after each request.
    for ((id, holds, stock, permits), left) in
        requests.into_iter().zip([(600, 1), (1000, 1), (1000, 1)])
    {
        let request = LoanRequest {
            team: team.clone(),
            id,
            holds,
            returns: false,
            stock,
            least: 0,
            rate: 0,
            burst: 0,
            permits,
        };
        let loan = lender.on_loan_request(Ms(1000 + id), &peer, &request).unwrap();
        assert_eq!((loan.stock, loan.permits), (stock, permits));
        let repeated = lender.on_loan_request(Ms(1000 + id), &peer, &request);
        assert!(repeated.is_none_or(|l| l.stock + l.permits == 0), "request {id} lent twice");
        let state = lender.snapshot(&team);
        assert_eq!((state.capacity / MICRO as i64, state.permits), left, "after request {id}");
    }
    lender.levels(Ms(1100));
    let before = lender.snapshot(&team).stock;
    lender.levels(Ms(9000));
    let state = lender.snapshot(&team);
    assert_eq!((state.stock, state.permits), (before, 4));
}
