//! Changes that nodes have to follow although the platform's services have not answered.

mod deployment;

use std::time::Duration;

use deployment::{Deployment, adapter, document};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

/// Bound on a withdrawn key, and on the news of a leaving endpoint.
const BOUND: Duration = Duration::from_secs(2);
/// Lengths of silences; their ends fall on different moments between two reads.
const SILENCES_MS: [u64; 4] = [2_600, 3_100, 3_600, 4_100];
/// Number of changes while kept connections are silent, and the pause between them.
const ROUNDS: usize = 3;
const ROUND_PAUSE: Duration = Duration::from_millis(1_300);
/// Pause between two checks.
const CHECK_PAUSE: Duration = Duration::from_millis(20);

/// Time until a node refuses the key of team 0, or serves it again, and knows whether an endpoint
/// leaves.
async fn followed_after(d: &Deployment, withdrawn: bool, since: Instant) -> [Duration; 2] {
    let body = json!({"model": adapter(0, 1), "prompt": "p", "max_tokens": 2});
    let mut followed = [None; 2];
    while followed.contains(&None) && since.elapsed() < BOUND * 4 {
        if (d.post_json(0, 0, "/v1/completions", &body).await.0 == 401) == withdrawn {
            followed[0].get_or_insert(since.elapsed());
        }
        let status = d.status(0).await.unwrap();
        let endpoints = status["endpoints"].as_array().unwrap();
        let leaves = |e: &Value| e["name"] == "bookings-0" && e["leaving"] == true;
        if endpoints.iter().any(leaves) == withdrawn {
            followed[1].get_or_insert(since.elapsed());
        }
        sleep(CHECK_PAUSE).await;
    }
    followed.map(|after| after.unwrap_or(Duration::MAX))
}

/// Withdraws the key of team 0 and lets an endpoint leave, or takes both back.
async fn change(d: &Deployment, withdrawn: bool) {
    let teams: &[usize] = if withdrawn { &[0] } else { &[] };
    let leaving: &[&str] = if withdrawn { &["bookings-0"] } else { &[] };
    d.apply(&document(teams));
    d.set_vms(leaving).await;
}

// Calls of a silence were waited for after the platform had returned.
#[tokio::test(flavor = "multi_thread")]
async fn changes_after_a_silence_of_the_platform_are_followed_in_time() {
    let d = Deployment::start(1, 2).await;
    let mut delays = Vec::new();
    for (round, silence) in SILENCES_MS.into_iter().enumerate() {
        d.inject_fault(d.platform, json!({"silent": true})).await;
        sleep(Duration::from_millis(silence)).await;
        d.inject_fault(d.platform, json!({"silent": false})).await;
        let withdrawn = round % 2 == 0;
        change(&d, withdrawn).await;
        delays.push(followed_after(&d, withdrawn, Instant::now()).await);
    }
    assert!(delays.iter().flatten().all(|after| *after <= BOUND), "{delays:?}");
}

// The first reads after the change go to kept connections that are silent.
#[tokio::test(flavor = "multi_thread")]
async fn changes_while_kept_connections_are_silent_are_followed_in_time() {
    let d = Deployment::start(1, 2).await;
    let mut delays = Vec::new();
    for round in 0..ROUNDS {
        let withdrawn = round % 2 == 0;
        change(&d, withdrawn).await;
        let changed = Instant::now();
        d.inject_fault_unanswered(d.platform, json!({"silence": true})).await;
        delays.push(followed_after(&d, withdrawn, changed).await);
        sleep(ROUND_PAUSE).await;
    }
    assert!(delays.iter().flatten().all(|after| *after <= BOUND), "{delays:?}");
}
