//! Cost of one placement decision: nanoseconds for rendezvous candidates plus choice over the
//! endpoints of one cell, by number of adapters and endpoints.
//!
//! `cargo bench --bench decision`. `slice` builds a slice of candidates on the stack per
//! decision and calls `candidates` and `choose`; `route` is `Cell::route` with `on_reply`.

use std::hint::black_box;
use std::time::Instant;

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use sycamorefork::cell::{Cell, Query};
use sycamorefork::ids::{AdapterRef, Endpoint, Team};
use sycamorefork::place::{Candidate, Costs, LoadView, PlaceRequest, Ring, choose};
use sycamorefork::time::Ms;

const ROUNDS: usize = 200_000;
const SLOTS: usize = 16;
const BATCH: u32 = 16;
const MOST: usize = 130;

fn view(rng: &mut SmallRng, adapters: &[AdapterRef]) -> LoadView {
    let pick = |_| adapters[rng.random_range(0..adapters.len())].clone();
    let mut loaded: Vec<_> = (0..SLOTS).map(pick).collect();
    loaded.sort_unstable();
    loaded.dedup();
    LoadView {
        running: rng.random_range(8..=BATCH),
        batch: BATCH,
        healthy: true,
        loaded,
        ..LoadView::default()
    }
}

fn main() {
    println!("| adapters | endpoints | slice ns | route ns |\n|---|---|---|---|");
    for adapters in [1_000, 3_000, 11_000, 33_000] {
        for endpoints in [12, 32, 64, MOST] {
            let (slice, route) = measure(adapters, endpoints);
            println!("| {adapters} | {endpoints} | {slice:.0} | {route:.0} |");
        }
    }
}

fn measure(adapters: usize, endpoints: usize) -> (f64, f64) {
    let mut rng = SmallRng::seed_from_u64(3);
    let adapters: Vec<_> =
        (0..adapters).map(|a| AdapterRef::new(&format!("adapter-{a}"), "v1")).collect();
    let names: Vec<_> = (0..endpoints).map(|e| Endpoint::new(&format!("engine-{e}"))).collect();
    let views: Vec<_> = names.iter().map(|_| view(&mut rng, &adapters)).collect();
    let teams: Vec<_> = (0..5).map(|t| Team::new(&format!("team-{t}"))).collect();
    let order: Vec<_> = (0..ROUNDS).map(|_| rng.random_range(0..adapters.len())).collect();
    let (costs, deadline) = (Costs::default(), Ms(60_000));

    let ring = Ring::new(&names);
    let request = PlaceRequest { tokens: 500, prompt: 200, deadline, costs };
    let empty = Candidate {
        endpoint: &names[0],
        load: &views[0],
        age: Ms(100),
        loaded: false,
        same_domain: true,
        owned: true,
        home: false,
        prefix: 0,
        own: 0,
    };
    let start = Instant::now();
    for a in &order {
        let choices = ring.candidates(&adapters[*a], 2);
        let mut list = [empty; MOST];
        for (e, c) in list[..endpoints].iter_mut().enumerate() {
            (c.endpoint, c.load) = (&names[e], &views[e]);
        }
        choices.as_slice().iter().for_each(|e| list[usize::from(*e)].home = true);
        black_box(choose(Ms(0), &request, &list[..endpoints], &mut rng));
    }
    let slice = start.elapsed().as_nanos() as f64 / ROUNDS as f64;

    let members: Vec<_> = names.iter().map(|n| (n.clone(), BATCH, true)).collect();
    let mut cell = Cell::new(&members, costs, 1.0);
    let mut total = 0.0;
    for (i, chunk) in order.chunks(1_000).enumerate() {
        let now = Ms(i as u64 * 500);
        views.iter().enumerate().for_each(|(e, v)| cell.on_view(now, e, v.clone()));
        let start = Instant::now();
        for a in chunk {
            let team = &teams[a % teams.len()];
            let adapter = Some(&adapters[*a]);
            let query = Query { team, adapter, tokens: 500, prompt: 200, deadline, tried: &[] };
            if let Some(at) = black_box(cell.route(now, &query, &mut rng)) {
                cell.on_reply(at, team);
            }
        }
        total += start.elapsed().as_nanos() as f64;
    }
    (slice, total / ROUNDS as f64)
}
