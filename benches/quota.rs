//! Measures the time of quota decisions, and the rate of calls with idempotency keys under a
//! write limit of the table.

use std::collections::VecDeque;
use std::time::Instant;

use sycamorefork::claim::{Call, ClaimAnswer, ClaimOutput, Claims, Outcome, Settings, row_key};
use sycamorefork::ids::{AttemptId, Node, Team};
use sycamorefork::quota::{Quota, QuotaSettings, RateSpec, ReserveResult, SEATS_PER_TEAM};
use sycamorefork::storage::{Commit, Op};
use sycamorefork::time::Ms;

/// Nanoseconds to reserve and release tokens with `teams` teams.
fn reserve_and_release(teams: usize) -> u128 {
    let names: Vec<Team> = (0..teams).map(|i| Team::new(&format!("team-{i}"))).collect();
    let spec = RateSpec::new(1_000_000_000, 1_000_000_000);
    let rates: Vec<(Team, RateSpec)> = names.iter().map(|t| (t.clone(), spec)).collect();
    let mut quota = Quota::new(QuotaSettings::default());
    quota.set_rates(Ms(0), &rates);
    for team in &names {
        for seat in 0..SEATS_PER_TEAM {
            quota.gain_seat(Ms(0), team, seat, Ms(0));
        }
    }
    const ROUNDS: usize = 1_000_000;
    let mut granted = 0;
    let start = Instant::now();
    for i in 0..ROUNDS {
        // 2,000 requests a second.
        let now = Ms(1000 + i as u64 / 2);
        // A large stride avoids an order of teams that favours CPU caches.
        let team = &names[(i * 7919) % teams];
        if let ReserveResult::Granted(reservation) = quota.reserve(now, team, 500) {
            granted += 1;
            quota.release(now, reservation, 400);
        }
    }
    let elapsed = start.elapsed().as_nanos();
    assert!(granted > ROUNDS / 2, "{granted} of {ROUNDS} reservations granted");
    elapsed / ROUNDS as u128
}

/// Calls per simulated second that one node completes with a limit of `writes` transactions per
/// second while `offered` calls arrive per second, and the real nanoseconds per call.
fn claims(writes: u64, offered: u64) -> (u64, u128) {
    const SECONDS: u64 = 10;
    let settings = Settings { writes, ..Settings::default() };
    let mut claims = Claims::new(Node::new("node"), settings, 1);
    let answer = ClaimAnswer {
        status: 200,
        headers: Vec::new(),
        body: vec![b'x'; 200].into(),
        body_omitted: false,
    };
    let mut commits: VecDeque<(Ms, u64, Vec<u64>, u64)> = VecDeque::new();
    let (mut opened, mut stored) = (0, 0);
    let start = Instant::now();
    for now in 0..SECONDS * 1000 {
        let now = Ms(now);
        while opened * 1000 < offered * (now.0 + 1) {
            opened += 1;
            let key = row_key(&"bookings".into(), &"team".into(), &opened.to_string());
            let digest = "body".to_owned();
            let attempt = AttemptId(u128::from(opened));
            let (endpoint, deadline) = ("booking-1".into(), now + Ms::secs(20));
            claims.open(now, Call { key, digest, attempt, endpoint, deadline, created: now });
        }
        // The table answers a commit 10 ms after it was sent.
        while commits.front().is_some_and(|(at, ..)| *at <= now)
            && let Some((_, id, versions, ended)) = commits.pop_front()
        {
            stored += ended;
            claims.on_commit(now, id, Ok(Commit::Done(versions)));
        }
        for out in claims.poll(now) {
            if let ClaimOutput::Proceed(ticket) = out {
                claims.finish(now, ticket, Outcome::Answer(answer.clone())).unwrap();
            }
        }
        while let Some(batch) = claims.next_batch(now) {
            let ended = |op: &Op| match op {
                Op::Put(value) => u64::from(value.windows(7).any(|w| w == b"\"ended\"")),
                _ => 0,
            };
            let ended = batch.txn.writes.iter().map(|w| ended(&w.op)).sum();
            let versions = vec![now.0 + 1; batch.txn.writes.len()];
            commits.push_back((now + Ms(10), batch.id, versions, ended));
        }
    }
    (stored / SECONDS, start.elapsed().as_nanos() / u128::from(opened))
}

fn main() {
    for teams in [5, 50, 500, 5000] {
        println!("reserve and release, {teams} teams: {} ns", reserve_and_release(teams));
    }
    for (writes, offered) in [(300, 2000), (300, 5000), (300, 12_000), (60, 400), (60, 2000)] {
        let (done, cost) = claims(writes, offered);
        println!(
            "claims, {writes} writes/s, {offered} calls/s offered: {done} calls/s stored, {cost} ns/call"
        );
    }
}
