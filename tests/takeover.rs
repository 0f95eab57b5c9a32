//! Tests of single faults at endpoints and their owners, with complete node cores.

mod fleet;

use fleet::{Fault, RequestEnd, RequestPlan, World};
use sycamorefork::ids::AdapterRef;

fn owner(world: &World, endpoint: &str) -> usize {
    let name = endpoint.into();
    let now = sycamorefork::time::Ms(world.now);
    let at = world.serving()[0];
    let owner = world.members[at].core.live_owner(now, &name).expect("an owner").clone();
    world.members.iter().position(|m| m.name == owner).expect("known member")
}

fn engine(node: usize, adapter: usize) -> RequestPlan {
    let adapter = Some(AdapterRef::new(&format!("a-{adapter}"), "1"));
    RequestPlan {
        node,
        team: "a",
        adapter,
        key: None,
        repeatable: true,
        tokens: 10,
        timeout_ms: 6_000,
        crashes_endpoint: false,
    }
}

fn service(node: usize, key: usize) -> RequestPlan {
    RequestPlan { adapter: None, key: Some(key), repeatable: false, ..engine(node, 0) }
}

/// Guards against permits for a leaving endpoint from a node that became its owner after it
/// was marked as leaving.
#[test]
fn leaving_endpoint_stays_leaving_under_a_new_owner() {
    for seed in 0..6 {
        let mut world = World::new(seed, 3);
        let first = owner(&world, "u-0");
        world.schedule_fault(0, Fault::MarkLeaving, 0, 1, 0);
        world.schedule_fault(4_000 + seed * 150, Fault::Kill, first, 1, 20_000);
        for n in 0..400 {
            world.schedule_request(3_000 + n * 30, engine(n as usize, n as usize % 9));
        }
        world.run(20_000);
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against permits for a service that stay in use after their entry node was killed.
#[test]
fn permits_of_a_killed_entry_node_are_released() {
    for seed in 0..6 {
        let mut world = World::new(seed, 3);
        // After the start, resources move between the nodes for some time.
        world.run(20_000);
        let owners = [owner(&world, "s-0"), owner(&world, "s-1")];
        let Some(entry) = (0..3).find(|n| !owners.contains(n)) else { continue };
        for n in 0..16 {
            world.schedule_request(n, RequestPlan { key: None, ..service(entry, 0) });
        }
        world.schedule_fault(50, Fault::Kill, entry, 0, 90_000);
        world.run(20_000);
        let first = world.requests.len();
        for n in 0..6 {
            world.schedule_request(10, service(n, n));
        }
        world.run(10_000);
        let ends: Vec<_> = world.requests[first..].iter().map(|r| r.end).collect();
        assert_eq!(
            ends,
            vec![Some(RequestEnd::Answered); 6],
            "seed {seed}: {:?}",
            world.violations
        );
    }
}

/// Guards against a slot state that differs from the engine's after an answer to an order was
/// lost.
#[test]
fn slots_recover_from_lost_answers_to_orders() {
    for seed in 0..4 {
        let mut world = World::new(seed, 3);
        for n in 0..300 {
            world.schedule_request(n * 40, engine(n as usize, n as usize % 9));
        }
        for n in 0..12 {
            world.schedule_fault(n * 900, Fault::LoseOrderAnswer, 0, n as usize % 3, 0);
        }
        world.run(30_000);
        let first = world.requests.len();
        for n in 0..18 {
            world.schedule_request(n * 400, engine(n as usize, 10 + n as usize % 9));
        }
        world.run(20_000);
        let ends: Vec<_> = world.requests[first..].iter().map(|r| r.end).collect();
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
        assert_eq!(ends, vec![Some(RequestEnd::Answered); 18], "seed {seed}");
    }
}
