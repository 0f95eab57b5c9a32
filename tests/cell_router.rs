//! Choice of endpoints by the entry node of a cell.

use rand::{SeedableRng, rngs::SmallRng};
use sycamorefork::cell_placement::{Costs, LoadView, rendezvous_choices};
use sycamorefork::cell_router::{CellRouter, RouteQuery};
use sycamorefork::ids::{AdapterRef, Endpoint, Team};
use sycamorefork::time::Ms;

// Checks that no adapter is loaded where a copy exists, that an endpoint is not tried twice,
// that endpoints without an owner are not used, and that a burst is spread although the load
// views are older than it.
#[test]
fn routes_prefer_loaded_copies_and_spread_bursts() {
    let names: Vec<_> = (0..6).map(|e| Endpoint::new(&format!("e{e}"))).collect();
    let members: Vec<_> = names.iter().map(|n| (n.clone(), 4, true)).collect();
    let mut cell = CellRouter::new(&members, Costs::default(), 1_000.0);
    let (team, adapter) = (Team::new("t"), AdapterRef::new("a", "1"));
    let mut rng = SmallRng::seed_from_u64(5);
    let query = |tried| RouteQuery {
        team: &team,
        adapter: Some(&adapter),
        tokens: 500,
        prompt: 100,
        deadline: Ms(60_000),
        tried,
    };
    assert_eq!(cell.route(Ms(0), &query(&[]), &mut rng), None, "no endpoint has an owner");
    let empty = LoadView { healthy: true, ..LoadView::default() };
    (0..6).for_each(|e| cell.on_view(Ms(0), e, empty.clone()));
    let first = usize::from(rendezvous_choices(&adapter, &names, 1).as_slice()[0]);
    let copy = (first + 1) % 6;
    cell.on_view(Ms(1), copy, LoadView { loaded: vec![adapter.clone()], ..empty.clone() });
    assert_eq!(cell.route(Ms(1), &query(&[]), &mut rng), Some(copy));
    cell.on_view(Ms(2), copy, empty.clone());
    assert_eq!(cell.route(Ms(2), &query(&[]), &mut rng), Some(first), "the copy is gone");
    let tried = [first];
    assert_ne!(cell.route(Ms(2), &query(&tried), &mut rng), Some(first));
    cell.set_unowned(first);
    assert_ne!(cell.route(Ms(2), &query(&[]), &mut rng), Some(first));

    (0..6).for_each(|e| cell.on_view(Ms(3), e, empty.clone()));
    let mut counts = [0; 6];
    for _ in 0..48 {
        counts[cell.route(Ms(3), &query(&[]), &mut rng).unwrap()] += 1;
    }
    assert!(counts.iter().all(|n| *n <= 16), "{counts:?}");
    assert_eq!(cell.view(first).running, 4);
}
