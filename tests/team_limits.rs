//! Rate limits of teams over several nodes.

use std::collections::BTreeMap;
use std::ops::Range;
use std::rc::Rc;

use sycamorefork::routing::Team;
use sycamorefork::shared_limits::{
    BEAT_INTERVAL, LimitUsage, NodeCounts, SILENT_AFTER, SharedLimits,
};
use sycamorefork::time::Ms;

/// Two nodes that hear each other.
const BOTH: NodeCounts = NodeCounts { nodes: 2, heard: 2 };

fn team(rate: f64, burst: f64) -> Team {
    Team { name: Rc::from("studio"), rank: None, rate, burst, by_token: true, unsized_cost: 200.0 }
}

/// Tokens that nodes admit between two instants in ms, at a demand of `demand` tokens per second
/// at each. Each node hears as many of five nodes as `heard` states.
fn admitted(nodes: &mut [SharedLimits], heard: &[usize], from: u64, to: u64, demand: f64) -> f64 {
    let team = team(100_000.0, 100_000.0);
    let mut sum = 0.0;
    for ms in (from..to).step_by(10) {
        for (limits, heard) in nodes.iter_mut().zip(heard) {
            let cost = demand / 100.0;
            let counts = NodeCounts { nodes: 5, heard: *heard };
            if limits.admit(Ms(ms), &team, cost, counts).is_ok() {
                sum += cost;
            }
        }
    }
    sum
}

// A network partition splits five nodes into groups of three, one and one, and a team then sends
// several times its rate to all of them. Each group has a full bucket when the partition begins,
// so without correction each would admit the whole burst.
#[test]
fn partitioned_groups_admit_one_burst_in_total() {
    let mut groups = [SharedLimits::default(), SharedLimits::default(), SharedLimits::default()];
    admitted(&mut groups, &[5, 5, 5], 1_000, 6_000, 1_000.0);
    let heard = [3, 1, 1];
    let sum = admitted(&mut groups, &heard, 6_000, 14_000, 400_000.0);
    let allowed = 100_000.0 * 8.0 + 100_000.0;
    assert!(sum <= allowed * 1.02, "{sum} of {allowed}");
    assert!(sum >= allowed * 0.9, "{sum} of {allowed}");
}

// A team that keeps to its rate must not be refused.
#[test]
fn team_within_its_rate_is_not_refused_after_the_start() {
    let mut one = [SharedLimits::default()];
    admitted(&mut one, &[5], 0, 1_000, 80_000.0);
    let sum = admitted(&mut one, &[5], 1_000, 9_000, 80_000.0);
    assert!((sum - 640_000.0).abs() < 1.0, "{sum}");
}

// A beat carries the sum since the peer's start; each token must be subtracted once.
#[test]
fn repeated_beats_are_subtracted_once() {
    let team = team(1_000.0, 10_000.0);
    let mut limits = SharedLimits::default();
    let peer: Rc<str> = Rc::from("edge-2");
    limits.admit(Ms(0), &team, 1.0, BOTH).unwrap();
    limits.admit(Ms(20_000), &team, 1.0, BOTH).unwrap();
    for tokens in [500, 5_500, 5_500] {
        let spent = LimitUsage { tokens, demand_rate: 0 };
        limits.on_beat(Ms(20_000), BOTH, (&peer, 7), "studio", spent);
    }
    assert!(limits.admit(Ms(20_000), &team, 4_900.0, BOTH).is_ok());
    let after = limits.admit(Ms(20_000), &team, 200.0, BOTH).unwrap_err();
    assert_eq!(after, Ms(101));
}

// A team's first request reaches a node after another node has admitted the whole burst. The
// node must not start with a fresh bucket.
#[test]
fn first_request_at_a_node_counts_tokens_spent_at_peers() {
    let team = team(10_000.0, 100_000.0);
    let (mut first, mut second) = (SharedLimits::default(), SharedLimits::default());
    let peer: Rc<str> = Rc::from("edge-1");
    for limits in [&mut first, &mut second] {
        limits.add(Ms(0), std::iter::once(&team));
    }
    second.on_beat(Ms(0), BOTH, (&peer, 7), "studio", LimitUsage::default());
    while first.admit(Ms(60_000), &team, 1_000.0, BOTH).is_ok() {}
    let (_, spent) = first.usage(Ms(60_000)).next().unwrap();
    second.on_beat(Ms(60_000), BOTH, (&peer, 7), "studio", spent);
    assert!(second.admit(Ms(60_000), &team, 1_000.0, BOTH).is_err());
}

/// Simulated nodes that report their admissions to each other in beats.
struct Fleet {
    nodes: Vec<SharedLimits>,
    names: Vec<Rc<str>>,
    /// Instant of the last beat, by receiver and sender.
    last_beats: Vec<Vec<Ms>>,
    /// Tokens admitted in each step.
    admitted: Vec<f64>,
    /// Retries by the step at which they arrive; each is the step of its first attempt.
    retries: BTreeMap<usize, Vec<usize>>,
}

impl Fleet {
    const STEP: u64 = 10;
    const COST: f64 = 1_000.0;
    /// Steps after which a caller gives up.
    const GIVE_UP_AFTER: usize = 500;

    fn new(n: usize, team: &Team) -> Self {
        let mut nodes = vec![SharedLimits::default(); n];
        for node in &mut nodes {
            node.add(Ms(0), std::iter::once(team));
        }
        let names = (0..n).map(|i| Rc::from(format!("edge-{i}"))).collect();
        let last_beats = vec![vec![Ms(0); n]; n];
        Self { nodes, names, last_beats, admitted: Vec::new(), retries: BTreeMap::new() }
    }

    fn node_counts(&self, now: Ms, node: usize) -> NodeCounts {
        let recent = |(i, at): (usize, &Ms)| i == node || now.since(*at) < SILENT_AFTER;
        let heard = self.last_beats[node].iter().enumerate().filter(|&b| recent(b)).count();
        NodeCounts { nodes: self.nodes.len(), heard }
    }

    fn send_beats(&mut self, now: Ms, team: &Team, isolated: &Range<usize>) {
        let n = self.nodes.len();
        for (node, to) in (0..n * n).map(|i| (i / n, i % n)).filter(|(node, to)| node != to) {
            if isolated.contains(&node) || isolated.contains(&to) {
                continue;
            }
            let (_, spent) = self.nodes[node].usage(now).next().unwrap();
            self.last_beats[to][node] = now;
            let counts = self.node_counts(now, to);
            self.nodes[to].on_beat(now, counts, (&self.names[node], 7), &team.name, spent);
        }
    }

    /// Simulates `ms` in which the nodes get equal parts of `demand` tokens per second.
    ///
    /// Nodes in `isolated` neither send nor receive beats. All beats are sent at the same
    /// instants. Refused requests are retried after the time stated, at any node, until their
    /// callers give up.
    fn run(&mut self, ms: u64, team: &Team, demand: f64, isolated: Range<usize>) {
        let n = self.nodes.len();
        let mut due = 0.0;
        let mut node = 0;
        for _ in 0..ms / Self::STEP {
            let step = self.admitted.len();
            let now = Ms(step as u64 * Self::STEP);
            due += demand * Self::STEP as f64 / 1_000.0 / Self::COST;
            let mut requests = self.retries.remove(&step).unwrap_or_default();
            requests.extend(std::iter::repeat_n(step, due as usize));
            due = due.fract();
            let mut sum = 0.0;
            for first in requests {
                node = (node + 7) % n;
                let counts = self.node_counts(now, node);
                match self.nodes[node].admit(now, team, Self::COST, counts) {
                    Ok(()) => sum += Self::COST,
                    Err(after) => {
                        let at = step + 1 + (after.0 / Self::STEP) as usize;
                        if at < first + Self::GIVE_UP_AFTER {
                            self.retries.entry(at).or_default().push(first);
                        }
                    }
                }
            }
            self.admitted.push(sum);
            if now.0.is_multiple_of(BEAT_INTERVAL.0) {
                self.send_beats(now, team, &isolated);
            }
        }
    }

    /// Tokens admitted in each window of `window` ms that begins at or after `from` ms.
    fn windows(&self, window: u64, from: u64) -> impl Iterator<Item = f64> {
        let (steps, skipped) = ((window / Self::STEP) as usize, (from / Self::STEP) as usize);
        self.admitted[skipped..].windows(steps).map(|w| w.iter().sum::<f64>())
    }

    /// Largest number of tokens admitted in a window.
    fn max_admitted(&self, window: u64) -> f64 {
        self.windows(window, 0).fold(0.0, f64::max)
    }

    /// Smallest number of tokens admitted in a window that begins at or after `from` ms.
    fn min_admitted(&self, window: u64, from: u64) -> f64 {
        self.windows(window, from).fold(f64::INFINITY, f64::min)
    }
}

// One node gets all of the demand. Between its requests, beats arrive from peers whose demand has
// ended but is still part of their averages. The node must keep admitting its own part.
#[test]
fn beats_of_idle_peers_do_not_stop_own_admissions() {
    let team = team(10_000.0, 10_000.0);
    let counts = NodeCounts { nodes: 11, heard: 11 };
    let mut limits = SharedLimits::default();
    limits.add(Ms(0), std::iter::once(&team));
    let peers: Vec<Rc<str>> = (0..10).map(|n| Rc::from(format!("edge-{n}"))).collect();
    let mut admitted = 0.0;
    for ms in (0..20_000).step_by(20) {
        let now = Ms(ms);
        // Each peer reports a high demand and admits nothing.
        let peer = &peers[(ms / 20 % 10) as usize];
        let spent = LimitUsage { tokens: 0, demand_rate: 20_000 };
        limits.on_beat(now, counts, (peer, 7), "studio", spent);
        if limits.admit(Ms(ms + 10), &team, 200.0, counts).is_ok() {
            admitted += 200.0;
        }
    }
    // The node's demand of 10,000 is a 21st of the total.
    let own = 20.0 * 10_000.0 / 21.0;
    assert!(admitted >= own * 0.9, "{admitted} of {own}");
}

// A team sends four times its rate to 26 nodes; nine nodes at a time are isolated and come back,
// several times. Between two beats, and until a partition is noticed, nodes may spend the same
// tokens, and refused callers retry together.
#[test]
fn many_nodes_keep_the_limit_between_beats_and_in_partitions() {
    let team = team(300_000.0, 300_000.0);
    let mut fleet = Fleet::new(26, &team);
    fleet.run(4_000, &team, 150_000.0, 0..0);
    fleet.run(12_000, &team, 1_200_000.0, 0..0);
    for (ms, isolated) in [(1_000, 0..9), (3_000, 9..18), (12_000, 4..13), (1_000, 0..9)] {
        fleet.run(ms, &team, 1_200_000.0, isolated);
        fleet.run(3_000, &team, 1_200_000.0, 0..0);
    }
    let limit = 300_000.0 * 8.0 + 300_000.0;
    let tolerance = limit * 0.1 + 110_000.0;
    let max = fleet.max_admitted(8_000);
    assert!(max <= limit + tolerance, "{max} in eight seconds");
    // The whole rate is used at all times, less the tokens admitted beyond it before.
    let min = fleet.min_admitted(3_000, 4_000);
    assert!(min >= 300_000.0 * 3.0 - tolerance, "{min} in three seconds");
}
