//! Measures the time of one placement decision over the endpoints of one cell, in nanoseconds,
//! by the number of adapters and endpoints.
//!
//! A second table gives the time of admission: key digest, key and model lookup, and quota.
//!
//! `cargo bench --bench decision`. The column `slice` builds a slice of candidates on the stack
//! for each decision and calls `Rendezvous::choices` and `choose`; `route` calls
//! `CellRouter::route` and `CellRouter::on_reply`.

use std::hint::black_box;
use std::time::Instant;

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use sycamorefork::cell_placement::{
    Candidate, Costs, LoadView, PlacementRequest, Rendezvous, choose,
};
use sycamorefork::cell_router::{CellRouter, RouteQuery};
use sycamorefork::config::Config;
use sycamorefork::config_check::check_document;
use sycamorefork::ids::{AdapterRef, Endpoint, Team};
use sycamorefork::keys;
use sycamorefork::quota::{Quota, QuotaSettings, RateSpec, ReserveResult, SEATS_PER_TEAM};
use sycamorefork::time::Ms;

/// Decisions per measurement.
const ROUNDS: usize = 200_000;
/// Adapter slots of an endpoint.
const SLOTS: usize = 16;
/// Requests that an endpoint runs at once.
const BATCH: u32 = 16;
/// Largest number of endpoints measured.
const MAX_ENDPOINTS: usize = 130;

/// A random load view.
fn random_view(rng: &mut SmallRng, adapters: &[AdapterRef]) -> LoadView {
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
        for endpoints in [12, 32, 64, MAX_ENDPOINTS] {
            let (slice, route) = measure(adapters, endpoints);
            println!("| {adapters} | {endpoints} | {slice:.0} | {route:.0} |");
        }
    }
    println!("\n| adapters | admit ns |\n|---|---|");
    for adapters in [1_000, 3_000, 11_000, 33_000] {
        println!("| {adapters} | {:.0} |", admit(adapters));
    }
}

fn config(adapters: usize) -> Config {
    let mut text = format!(
        "[[team]]\nname = \"a\"\nrate = 1_000_000_000\nburst = 1_000_000_000\n\
         [[key]]\nid = \"k\"\nteam = \"a\"\ndigest = \"{}\"\n\
         [[model]]\nname = \"base\"\ncontext = 8_192\n\
         [[pool]]\nname = \"engines\"\nmodel = \"base\"\n\
         [[route]]\nname = \"chat\"\nkind = \"engine\"\npool = \"engines\"\n\
         [store]\nloads = 3.0\nconcurrent = 2\n",
        hex::encode(keys::digest("sf_key"))
    );
    for n in 0..adapters {
        text.push_str(&format!(
            "[[adapter]]\nname = \"adapter-{n:05}\"\nmodel = \"base\"\nteam = \"a\"\n\
             versions = [\"1\"]\ndefault = \"1\"\n"
        ));
    }
    Config::compile(check_document("document", &text).document.expect("valid document"), 1, "")
}

/// Nanoseconds to authenticate, to look up the model, and to reserve and release tokens.
fn admit(adapters: usize) -> f64 {
    let config = config(adapters);
    let team = Team::new("a");
    let mut quota = Quota::new(QuotaSettings::default());
    quota.set_rates(Ms(0), &[(team.clone(), RateSpec::new(1_000_000_000, 1_000_000_000))]);
    (0..SEATS_PER_TEAM).for_each(|seat| quota.gain_seat(Ms(0), &team, seat, Ms(0)));
    let models: Vec<String> = (0..adapters).map(|n| format!("adapter-{n:05}")).collect();
    let start = Instant::now();
    for i in 0..ROUNDS {
        let now = Ms(1000 + i as u64 / 2);
        let key = config.key(&keys::digest(black_box("sf_key"))).expect("key");
        // A large stride avoids an order of adapters that favours CPU caches.
        let model = &models[(i * 7919) % adapters];
        black_box(config.resolve_model(Some(&key.team), model).expect("model"));
        if let ReserveResult::Granted(reservation) = quota.reserve(now, &key.team, 500) {
            quota.release(now, reservation, 400);
        }
    }
    start.elapsed().as_nanos() as f64 / ROUNDS as f64
}

/// Nanoseconds of one decision by `choose` over a slice, and by `CellRouter::route`.
fn measure(adapters: usize, endpoints: usize) -> (f64, f64) {
    let mut rng = SmallRng::seed_from_u64(3);
    let adapters: Vec<_> =
        (0..adapters).map(|a| AdapterRef::new(&format!("adapter-{a}"), "v1")).collect();
    let names: Vec<_> = (0..endpoints).map(|e| Endpoint::new(&format!("engine-{e}"))).collect();
    let views: Vec<_> = names.iter().map(|_| random_view(&mut rng, &adapters)).collect();
    let teams: Vec<_> = (0..5).map(|t| Team::new(&format!("team-{t}"))).collect();
    let order: Vec<_> = (0..ROUNDS).map(|_| rng.random_range(0..adapters.len())).collect();
    let (costs, deadline) = (Costs::default(), Ms(60_000));

    let ring = Rendezvous::new(&names);
    let request = PlacementRequest { tokens: 500, prompt: 200, deadline, costs };
    let empty = Candidate {
        endpoint: &names[0],
        load: &views[0],
        age: Ms(100),
        loaded: false,
        same_domain: true,
        owned: true,
        home: false,
        cached_prefix: 0,
        team_waiting: 0,
    };
    let start = Instant::now();
    for a in &order {
        let choices = ring.choices(&adapters[*a], 2);
        let mut list = [empty; MAX_ENDPOINTS];
        for (e, c) in list[..endpoints].iter_mut().enumerate() {
            (c.endpoint, c.load) = (&names[e], &views[e]);
        }
        choices.as_slice().iter().for_each(|e| list[usize::from(*e)].home = true);
        black_box(choose(Ms(0), &request, &list[..endpoints], &mut rng));
    }
    let slice = start.elapsed().as_nanos() as f64 / ROUNDS as f64;

    let members: Vec<_> = names.iter().map(|n| (n.clone(), BATCH, true)).collect();
    let mut cell = CellRouter::new(&members, costs, 1.0);
    let mut total = 0.0;
    for (i, chunk) in order.chunks(1_000).enumerate() {
        let now = Ms(i as u64 * 500);
        views.iter().enumerate().for_each(|(e, v)| cell.on_view(now, e, v.clone()));
        let start = Instant::now();
        for a in chunk {
            let team = &teams[a % teams.len()];
            let adapter = Some(&adapters[*a]);
            let query =
                RouteQuery { team, adapter, tokens: 500, prompt: 200, deadline, tried: &[] };
            if let Some(at) = black_box(cell.route(now, &query, &mut rng)) {
                cell.on_reply(at, team);
            }
        }
        total += start.elapsed().as_nanos() as f64;
    }
    (slice, total / ROUNDS as f64)
}
