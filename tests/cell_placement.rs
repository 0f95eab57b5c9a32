//! Choice of the endpoint for a request.

use rand::{SeedableRng, rngs::SmallRng};
use sycamorefork::cell_placement::{
    Candidate, Costs, LoadView, PlacementRequest, Popularity, Rendezvous, choose,
    rendezvous_choices,
};
use sycamorefork::ids::{AdapterRef, Endpoint};
use sycamorefork::time::Ms;

fn view(running: u32, queued: u32) -> LoadView {
    let queued_tokens = u64::from(queued) * 500;
    LoadView { running, queued, queued_tokens, batch: 8, healthy: true, ..LoadView::default() }
}

/// Chooses among endpoints given as load view and whether they have the adapter, are a home
/// of it and are owned.
fn choose_index(list: &[(LoadView, bool, bool, bool)], age: Ms) -> Option<usize> {
    let name: Endpoint = "e".into();
    let candidate = |(load, loaded, home, owned)| Candidate {
        endpoint: &name,
        load,
        age,
        loaded,
        same_domain: true,
        owned,
        home,
        cached_prefix: 0,
        team_waiting: load.queued,
    };
    let list: Vec<_> = list.iter().map(|(l, a, h, o)| candidate((l, *a, *h, *o))).collect();
    let (tokens, prompt, deadline) = (500, 100, Ms(60_000));
    let request = PlacementRequest { tokens, prompt, deadline, costs: Costs::default() };
    choose(Ms(0), &request, &list, &mut SmallRng::seed_from_u64(1))
}

// Guards against choosing a leaving, unhealthy or unowned endpoint, against unnecessary loads,
// against a spill while a home has capacity, and against no spill when all homes are
// overloaded.
#[test]
fn choice_follows_load_and_state() {
    let gone = LoadView { leaving: true, ..view(0, 0) };
    let dead = LoadView { healthy: false, ..view(0, 0) };
    let bad = [(gone, true, true, true), (dead, true, true, true), (view(0, 0), true, true, false)];
    assert_eq!(choose_index(&bad, Ms(0)), None);
    let mut list = bad.to_vec();
    list.push((view(8, 40), true, true, true));
    assert_eq!(choose_index(&list, Ms(0)), Some(3));
    list.push((view(2, 0), false, false, true));
    list.push((view(1, 0), false, false, true));
    assert_eq!(choose_index(&list, Ms(0)), Some(5), "spill to the least loaded");
    list.push((view(4, 0), false, true, true));
    assert_eq!(choose_index(&list, Ms(0)), Some(6), "a home with capacity");
    list.push((view(6, 0), true, true, true));
    assert_eq!(choose_index(&list, Ms(0)), Some(7), "a home that has the adapter");
}

// Guards against different choices on different nodes, and against adapters that move between
// the remaining endpoints when another endpoint is removed.
#[test]
fn rendezvous_choices_are_stable() {
    let all: Vec<Endpoint> = (0..13).map(|i| Endpoint::new(&format!("e{i}"))).collect();
    let fewer = &all[..12];
    let mut firsts = [0; 13];
    for n in 0..2_600 {
        let adapter = AdapterRef::new(&format!("a{n}"), "1");
        let names = |list: &[Endpoint]| -> Vec<Endpoint> {
            let choices = rendezvous_choices(&adapter, list, 3);
            choices.as_slice().iter().map(|i| list[usize::from(*i)].clone()).collect()
        };
        let (mut before, after) = (names(&all), names(fewer));
        assert_eq!(
            Rendezvous::new(&all).choices(&adapter, 3),
            rendezvous_choices(&adapter, &all, 3)
        );
        before.retain(|e| *e != all[12]);
        assert_eq!(before[..], after[..before.len()]);
        firsts[usize::from(rendezvous_choices(&adapter, &all, 1).as_slice()[0])] += 1;
    }
    assert!(firsts.iter().all(|n| (130..=290).contains(n)), "{firsts:?}");
}

// Guards against a frequently used adapter without further replicas, and against a rarely used
// one that keeps them.
#[test]
fn replicas_follow_the_decayed_rate() {
    let mut popularity = Popularity::new(Ms::secs(30), 2.0);
    let (hot, cold) = (AdapterRef::new("hot", "1"), AdapterRef::new("cold", "1"));
    popularity.on_request(Ms(0), &cold);
    for i in 0..600 {
        popularity.on_request(Ms(i * 200), &hot);
    }
    let now = Ms(120_000);
    assert!((4.5..5.5).contains(&popularity.rate(now, &hot)));
    assert_eq!((popularity.replicas(now, &hot), popularity.replicas(now, &cold)), (3, 1));
    assert_eq!(popularity.replicas(now + Ms::secs(120), &hot), 1);
}
