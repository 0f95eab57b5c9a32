//! Limits of teams over several nodes.

use std::collections::BTreeMap;
use std::ops::Range;
use std::rc::Rc;

use sycamorefork::routing::Team;
use sycamorefork::team_limits::{BEAT_INTERVAL, NodeCounts, SILENT_AFTER, TeamLimits, TeamUsage};
use sycamorefork::time::Ms;

/// Both of two nodes are heard.
const BOTH: NodeCounts = NodeCounts { nodes: 2, heard: 2 };

fn team(rate: f64, burst: f64) -> Team {
    Team { name: Rc::from("studio"), rank: None, rate, burst, by_token: true, unsized_cost: 200.0 }
}

/// Tokens that nodes admit when each is asked for `demand` tokens per second.
fn admitted(nodes: &mut [TeamLimits], heard: &[usize], from: u64, to: u64, demand: f64) -> f64 {
    let team = team(100_000.0, 100_000.0);
    let mut sum = 0.0;
    for ms in (from..to).step_by(10) {
        for (shares, heard) in nodes.iter_mut().zip(heard) {
            let cost = demand / 100.0;
            let reach = NodeCounts { nodes: 5, heard: *heard };
            if shares.admit(Ms(ms), &team, cost, reach).is_ok() {
                sum += cost;
            }
        }
    }
    sum
}

// A cut splits five nodes into groups of three, one and one; a team then sends several
// times its rate at all of them. Each group held a full bucket when the cut began.
#[test]
fn groups_of_a_cut_do_not_spend_the_burst_once_each() {
    let mut groups = [TeamLimits::default(), TeamLimits::default(), TeamLimits::default()];
    admitted(&mut groups, &[5, 5, 5], 1_000, 6_000, 1_000.0);
    let heard = [3, 1, 1];
    let sum = admitted(&mut groups, &heard, 6_000, 14_000, 400_000.0);
    let allowed = 100_000.0 * 8.0 + 100_000.0;
    assert!(sum <= allowed * 1.02, "{sum} of {allowed}");
    assert!(sum >= allowed * 0.9, "{sum} of {allowed}");
}

// Guards against refusals of a team that keeps to its rate.
#[test]
fn team_within_its_rate_is_never_refused_after_the_start() {
    let mut one = [TeamLimits::default()];
    admitted(&mut one, &[5], 0, 1_000, 80_000.0);
    let sum = admitted(&mut one, &[5], 1_000, 9_000, 80_000.0);
    assert!((sum - 640_000.0).abs() < 1.0, "{sum}");
}

// A beat tells the sum since the peer's start; each token is taken off once.
#[test]
fn beats_are_counted_once() {
    let team = team(1_000.0, 10_000.0);
    let mut shares = TeamLimits::default();
    let peer: Rc<str> = Rc::from("edge-2");
    shares.admit(Ms(0), &team, 1.0, BOTH).unwrap();
    shares.admit(Ms(20_000), &team, 1.0, BOTH).unwrap();
    for tokens in [500, 5_500, 5_500] {
        let spent = TeamUsage { tokens, demand_rate: 0 };
        shares.on_beat(Ms(20_000), BOTH, (&peer, 7), "studio", spent);
    }
    assert!(shares.admit(Ms(20_000), &team, 4_900.0, BOTH).is_ok());
    let after = shares.admit(Ms(20_000), &team, 200.0, BOTH).unwrap_err();
    assert_eq!(after, Ms(101));
}

// A team's requests reach a node for the first time after the whole burst was spent at
// another; the node must not begin with tokens of its own.
#[test]
fn node_that_sees_a_team_late_knows_what_was_spent() {
    let team = team(10_000.0, 100_000.0);
    let (mut first, mut late) = (TeamLimits::default(), TeamLimits::default());
    let peer: Rc<str> = Rc::from("edge-1");
    for shares in [&mut first, &mut late] {
        shares.add_teams(Ms(0), std::iter::once(&team));
    }
    late.on_beat(Ms(0), BOTH, (&peer, 7), "studio", TeamUsage::default());
    while first.admit(Ms(60_000), &team, 1_000.0, BOTH).is_ok() {}
    let (_, spent) = first.usage(Ms(60_000)).next().unwrap();
    late.on_beat(Ms(60_000), BOTH, (&peer, 7), "studio", spent);
    assert!(late.admit(Ms(60_000), &team, 1_000.0, BOTH).is_err());
}

/// Nodes that tell each other what they admitted, as over the mesh.
struct Fleet {
    nodes: Vec<TeamLimits>,
    names: Vec<Rc<str>>,
    /// Last beat that a node had of another.
    beats: Vec<Vec<Ms>>,
    /// Tokens admitted in each step.
    admitted: Vec<f64>,
    /// First steps of requests that were refused and come back, by step.
    returns: BTreeMap<usize, Vec<usize>>,
}

impl Fleet {
    const STEP: u64 = 10;
    const COST: f64 = 1_000.0;
    /// Steps after which a caller gives up.
    const PATIENCE: usize = 500;

    fn new(n: usize, team: &Team) -> Self {
        let mut nodes = vec![TeamLimits::default(); n];
        for node in &mut nodes {
            node.add_teams(Ms(0), std::iter::once(team));
        }
        let names = (0..n).map(|i| Rc::from(format!("edge-{i}"))).collect();
        let beats = vec![vec![Ms(0); n]; n];
        Self { nodes, names, beats, admitted: Vec::new(), returns: BTreeMap::new() }
    }

    fn reach(&self, now: Ms, node: usize) -> NodeCounts {
        let recent = |(i, at): (usize, &Ms)| i == node || now.since(*at) < SILENT_AFTER;
        let heard = self.beats[node].iter().enumerate().filter(|&b| recent(b)).count();
        NodeCounts { nodes: self.nodes.len(), heard }
    }

    fn beat(&mut self, now: Ms, team: &Team, cut: &Range<usize>) {
        let n = self.nodes.len();
        for (node, to) in (0..n * n).map(|i| (i / n, i % n)).filter(|(node, to)| node != to) {
            if cut.contains(&node) || cut.contains(&to) {
                continue;
            }
            let (_, spent) = self.nodes[node].usage(now).next().unwrap();
            self.beats[to][node] = now;
            let reach = self.reach(now, to);
            self.nodes[to].on_beat(now, reach, (&self.names[node], 7), &team.name, spent);
        }
    }

    /// Runs for a time in which the nodes get equal parts of a demand in tokens per second.
    /// Nodes of `cut` hear nobody and are not heard. Beats are sent at the same moments;
    /// refused requests come back after the time that they were told, at any node, until
    /// their callers give up.
    fn run(&mut self, ms: u64, team: &Team, demand: f64, cut: Range<usize>) {
        let n = self.nodes.len();
        let mut due = 0.0;
        let mut node = 0;
        for _ in 0..ms / Self::STEP {
            let step = self.admitted.len();
            let now = Ms(step as u64 * Self::STEP);
            due += demand * Self::STEP as f64 / 1_000.0 / Self::COST;
            let mut requests = self.returns.remove(&step).unwrap_or_default();
            requests.extend(std::iter::repeat_n(step, due as usize));
            due = due.fract();
            let mut sum = 0.0;
            for first in requests {
                node = (node + 7) % n;
                let reach = self.reach(now, node);
                match self.nodes[node].admit(now, team, Self::COST, reach) {
                    Ok(()) => sum += Self::COST,
                    Err(after) => {
                        let at = step + 1 + (after.0 / Self::STEP) as usize;
                        if at < first + Self::PATIENCE {
                            self.returns.entry(at).or_default().push(first);
                        }
                    }
                }
            }
            self.admitted.push(sum);
            if now.0.is_multiple_of(BEAT_INTERVAL.0) {
                self.beat(now, team, &cut);
            }
        }
    }

    /// Tokens admitted in each window that begins after a time.
    fn windows(&self, window: u64, from: u64) -> impl Iterator<Item = f64> {
        let (steps, skipped) = ((window / Self::STEP) as usize, (from / Self::STEP) as usize);
        self.admitted[skipped..].windows(steps).map(|w| w.iter().sum::<f64>())
    }

    /// Most tokens admitted in any window.
    fn most(&self, window: u64) -> f64 {
        self.windows(window, 0).fold(0.0, f64::max)
    }

    /// Fewest tokens admitted in a window that begins after a time.
    fn least(&self, window: u64, from: u64) -> f64 {
        self.windows(window, from).fold(f64::INFINITY, f64::min)
    }
}

// Beats of idle peers arrive between the requests of a node that gets all of the demand;
// the peers' demand is over, but not forgotten yet. The node's own part goes on.
#[test]
fn beats_do_not_take_a_nodes_own_part() {
    let team = team(10_000.0, 10_000.0);
    let reach = NodeCounts { nodes: 11, heard: 11 };
    let mut shares = TeamLimits::default();
    shares.add_teams(Ms(0), std::iter::once(&team));
    let peers: Vec<Rc<str>> = (0..10).map(|n| Rc::from(format!("edge-{n}"))).collect();
    let mut admitted = 0.0;
    for ms in (0..20_000).step_by(20) {
        let now = Ms(ms);
        // Each peer tells of much demand and admits nothing.
        let peer = &peers[(ms / 20 % 10) as usize];
        let spent = TeamUsage { tokens: 0, demand_rate: 20_000 };
        shares.on_beat(now, reach, (peer, 7), "studio", spent);
        if shares.admit(Ms(ms + 10), &team, 200.0, reach).is_ok() {
            admitted += 200.0;
        }
    }
    // Its demand of 10,000 is a 21st part of all.
    let own = 20.0 * 10_000.0 / 21.0;
    assert!(admitted >= own * 0.9, "{admitted} of {own}");
}

// A team sends four times its rate at 26 nodes; nine of them are cut off one by one and
// come back, more than once. Between two beats, and until a cut is noticed, nodes spend
// tokens that others spend too, and refused callers come back together.
#[test]
fn many_nodes_keep_the_limit_between_beats_and_in_cuts() {
    let team = team(300_000.0, 300_000.0);
    let mut fleet = Fleet::new(26, &team);
    fleet.run(4_000, &team, 150_000.0, 0..0);
    fleet.run(12_000, &team, 1_200_000.0, 0..0);
    for (ms, cut) in [(1_000, 0..9), (3_000, 9..18), (12_000, 4..13), (1_000, 0..9)] {
        fleet.run(ms, &team, 1_200_000.0, cut);
        fleet.run(3_000, &team, 1_200_000.0, 0..0);
    }
    let limit = 300_000.0 * 8.0 + 300_000.0;
    let tolerance = limit * 0.1 + 110_000.0;
    let most = fleet.most(8_000);
    assert!(most <= limit + tolerance, "{most} in eight seconds");
    // The rate is used throughout, but for what was admitted beyond it before.
    let least = fleet.least(3_000, 4_000);
    assert!(least >= 300_000.0 * 3.0 - tolerance, "{least} in three seconds");
}
