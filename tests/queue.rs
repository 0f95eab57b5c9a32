//! Weighted fair queue of an endpoint.

use sycamorefork::ids::AttemptId;
use sycamorefork::queue::{Job, Queue};
use sycamorefork::time::Ms;

fn job(n: u128, team: &str, tokens: u64) -> Job {
    Job {
        attempt: AttemptId(n),
        team: team.into(),
        adapter: None,
        priority: 0,
        tokens,
        deadline: Ms(1_000 + n as u64),
        fingerprint: 0,
        arrived: Ms(0),
    }
}

/// Jobs served per team out of 600 with a constant backlog. Jobs of team `x` declare
/// `estimate` tokens; every job uses 100.
fn shares(weight: u32, estimate: u64) -> (u32, u32) {
    let mut queue = Queue::new();
    queue.set_weight(&"x".into(), weight);
    let (mut x, mut y) = (0, 0);
    for n in 0..600 {
        queue.push(Ms(0), job(2 * n, "x", estimate));
        queue.push(Ms(0), job(2 * n + 1, "y", 100));
        let served = queue.pop(Ms(0), |_| true).unwrap();
        queue.correct_charge(&served.team, served.tokens, 100);
        *if served.team.as_str() == "x" { &mut x } else { &mut y } += 1;
    }
    (x, y)
}

// Guards against shares that depend on the estimated instead of the used tokens, and against
// weights that have no effect.
#[test]
fn shares_follow_used_tokens_and_weights() {
    assert_eq!(shares(1, 100), (300, 300));
    assert_eq!(shares(3, 100), (450, 150));
    let (x, _) = shares(1, 1_000);
    assert!((290..=310).contains(&x), "{x}");
}

// Guards against credit for idle time, and against expired jobs that remain queued or are
// served.
#[test]
fn idle_time_earns_no_credit_and_deadlines_expire() {
    let mut queue = Queue::new();
    for n in 0..40 {
        queue.push(Ms(0), job(n, "x", 100));
    }
    (0..20).for_each(|_| assert!(queue.pop(Ms(0), |_| true).is_some()));
    for n in 100..120 {
        queue.push(Ms(0), job(n, "y", 100));
    }
    let first: Vec<_> = (0..10).filter_map(|_| queue.pop(Ms(0), |_| true)).collect();
    let late = first.iter().filter(|j| j.team.as_str() == "y").count();
    assert!((4..=6).contains(&late), "{late}");
    assert!(queue.expire(Ms(1_000)).is_empty());
    let expired = queue.expire(Ms(1_050));
    assert!(expired.iter().all(|j| j.team.as_str() == "x") && expired.len() == 20 - (10 - late));
    assert!(queue.pop(Ms(1_050), |j| j.team.as_str() == "x").is_none());
    assert_eq!((queue.len(), queue.tokens()), (20 - late, 100 * (20 - late) as u64));
}
