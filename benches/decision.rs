//! Time to admit and to route one request, with the modules that the entry node uses.
//!
//! `cargo bench --bench decision`. Authentication, model lookup, quota, rendezvous choice
//! and placement are called as `src/entry.rs` does, over the endpoints of one cell of
//! 16 nodes; the entry node's tables and its lock are not part of it.

use std::hint::black_box;
use std::time::Instant;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use sycamorefork::check::check;
use sycamorefork::config::Config;
use sycamorefork::ids::{AdapterRef, Endpoint, Team};
use sycamorefork::keys;
use sycamorefork::place::{Candidate, Costs, LoadView, PlaceRequest, Popularity, Ring, choose};
use sycamorefork::quota::{Quota, RateSpec, SEATS, Settings, Take};
use sycamorefork::time::Ms;

/// Adapters of the document.
const ADAPTERS: usize = 11_000;
/// Decisions per measurement.
const ROUNDS: usize = 200_000;
/// Seed of the random choices.
const SEED: u64 = 1;

fn config() -> Config {
    let mut text = format!(
        "[[team]]\nname = \"a\"\nrate = 5_000_000\nburst = 10_000_000\n\
         [[key]]\nid = \"k\"\nteam = \"a\"\ndigest = \"{}\"\n\
         [[model]]\nname = \"base\"\ncontext = 8_192\n\
         [[pool]]\nname = \"engines\"\nmodel = \"base\"\n\
         [[route]]\nname = \"chat\"\nkind = \"engine\"\npool = \"engines\"\n\
         [store]\nloads = 3.0\nconcurrent = 2\n",
        hex::encode(keys::digest("sf_key"))
    );
    for n in 0..ADAPTERS {
        text.push_str(&format!(
            "[[adapter]]\nname = \"adapter-{n:05}\"\nmodel = \"base\"\nteam = \"a\"\n\
             versions = [\"1\"]\ndefault = \"1\"\n"
        ));
    }
    let checked = check("document", &text);
    let document = checked.document.unwrap_or_else(|| panic!("{}", checked.findings[0]));
    Config::compile(document, 1, "")
}

/// Nanoseconds to admit and to route, with this many endpoints.
fn decide(config: &Config, endpoints: usize) -> [u128; 2] {
    let names: Vec<Endpoint> =
        (0..endpoints).map(|n| Endpoint::new(&format!("engine-{n:03}"))).collect();
    let views: Vec<LoadView> = (0..endpoints)
        .map(|n| {
            let mut loaded: Vec<AdapterRef> = (0..8)
                .map(|s| AdapterRef::new(&format!("adapter-{:05}", (n * 8 + s) % ADAPTERS), "1"))
                .collect();
            loaded.sort();
            let running = (n % 12) as u32;
            LoadView { running, batch: 16, slots: 8, healthy: true, loaded, ..LoadView::default() }
        })
        .collect();
    let ring = Ring::new(&names);
    let team = Team::new("a");
    let mut quota = Quota::new(Settings::default());
    quota.set_rates(Ms(0), &[(team.clone(), RateSpec::new(5_000_000, 10_000_000))]);
    for seat in 0..SEATS {
        quota.gain_seat(Ms(0), &team, seat, Ms(0));
    }
    let mut popularity = Popularity::new(Ms::secs(60), 4.0);
    let mut rng = SmallRng::seed_from_u64(SEED);
    let models: Vec<String> = (0..ADAPTERS).map(|n| format!("adapter-{n:05}")).collect();
    let now = |i: usize| Ms(1000 + i as u64 / 2);
    // A large step visits adapters in an order that caches do not favour.
    let model = |i: usize| &models[(i * 7919) % ADAPTERS];

    let start = Instant::now();
    for i in 0..ROUNDS {
        let key = config.key(&keys::digest(black_box("sf_key"))).expect("key");
        black_box(config.resolve_model(Some(&key.team), model(i)).expect("model"));
        if let Take::Granted(reservation) = quota.take(now(i), &key.team, 500) {
            quota.settle(now(i), reservation, 400);
        }
    }
    let admit = start.elapsed().as_nanos() / ROUNDS as u128;

    let refs: Vec<AdapterRef> = models.iter().map(|m| AdapterRef::new(m, "1")).collect();
    let request =
        PlaceRequest { tokens: 500, prompt: 0, deadline: Ms(u64::MAX), costs: Costs::default() };
    let start = Instant::now();
    for i in 0..ROUNDS {
        let adapter = &refs[(i * 7919) % ADAPTERS];
        popularity.on_request(now(i), adapter);
        let homes = ring.candidates(adapter, popularity.replicas(now(i), adapter));
        let candidates: Vec<Candidate<'_>> = (0..endpoints)
            .map(|n| Candidate {
                endpoint: &names[n],
                load: &views[n],
                age: Ms(200),
                loaded: views[n].has(adapter),
                same_domain: n % 3 == 0,
                owned: true,
                home: homes.as_slice().contains(&(n as u16)),
                prefix: 0,
                own: 0,
            })
            .collect();
        black_box(choose(now(i), &request, &candidates, &mut rng).expect("endpoint"));
    }
    [admit, start.elapsed().as_nanos() / ROUNDS as u128]
}

fn main() {
    let config = config();
    println!("| endpoints | admit ns | route ns | sum ns |");
    println!("|---|---|---|---|");
    for endpoints in [8, 32, 64, 128, 134] {
        let [admit, route] = decide(&config, endpoints);
        println!("| {endpoints} | {admit} | {route} | {} |", admit + route);
    }
}
