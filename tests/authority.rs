//! Tests of leases, promises, takeover and ownership with a fake table service.

mod authority_fakes;

use authority_fakes::{TestCell, endpoint};
use sycamorefork::lease::{AuthorityLevel, LeaseSettings};
use sycamorefork::ownership::{OrderKind, Resource};

fn resources() -> Vec<Resource> {
    let seat = |index| Resource::Seat { team: "t".into(), index };
    vec![
        endpoint("fenced", true),
        endpoint("fenced2", true),
        endpoint("plain", false),
        endpoint("plain2", false),
        seat(0),
        seat(1),
    ]
}

fn started_cell(seed: u64, nodes: usize) -> TestCell {
    let mut cell = TestCell::new(seed, nodes, resources());
    cell.run(30_000);
    for r in resources() {
        assert_eq!(cell.owners(&r).len(), 1, "{r:?}");
    }
    cell
}

/// Guards against a late takeover of the resources of a killed process or a failed host.
#[test]
fn killed_node_is_replaced_within_five_seconds() {
    for (phase, host_down) in (0..20).map(|i| (i / 2 * 230, i % 2 == 1)) {
        let mut cell = started_cell(phase, 4);
        cell.run(phase);
        let old = cell.owner(&endpoint("plain", false)).unwrap();
        cell.members[old].killed = true;
        cell.members[old].host_down = host_down;
        let owns =
            |c: &TestCell, i: usize, r: &Resource| c.members[i].auth.owned().any(|(o, _)| o == r);
        let all =
            |c: &TestCell| resources().iter().all(|r| (0..4).any(|i| i != old && owns(c, i, r)));
        let took = cell.run_until(5_000, all);
        println!("phase {phase}, host down {host_down}: all resources claimed after {took} ms");
    }
}

/// Guards against two winners of racing claims, and against a loser that stays blocked.
#[test]
fn racing_claims_have_one_winner() {
    let mut cell = TestCell::new(3, 4, resources());
    // Without connections between them, all nodes rank themselves first.
    (0..4).for_each(|a| (0..a).for_each(|b| cell.disconnect(a, b)));
    cell.run(6_000);
    for r in resources() {
        let owners = (0..4).filter(|i| cell.members[*i].auth.owned().any(|(o, _)| *o == r));
        assert_eq!(owners.count(), 1, "{r:?}");
    }
}

/// Guards against a claim with a lost answer that is made twice or never takes effect.
#[test]
fn lost_claim_answers_are_read_back() {
    for fault in [false, true] {
        let mut cell = TestCell::new(4, 1, resources());
        cell.members[0].claim_fault = Some(fault);
        cell.run_until(5_000, |c| c.members[0].auth.owned().count() == resources().len());
        let fences: Vec<_> = cell.members[0].auth.owned().map(|(_, f)| f).collect();
        assert_eq!(fences, vec![1; resources().len()], "effect {fault}: one claim per resource");
    }
}

/// Guards against orders of a holder that was paused for longer than its lease.
#[test]
fn orders_of_a_holder_paused_beyond_its_lease_are_denied() {
    for r in [endpoint("plain", false), endpoint("fenced", true)] {
        let mut cell = started_cell(5, 3);
        let old = cell.owner(&r).unwrap();
        cell.members[old].paused_until = cell.now + 9_000;
        cell.run_until(8_000, |c| c.owner(&r).is_some_and(|i| i != old));
        cell.now = cell.members[old].paused_until;
        let now = cell.clock(old);
        let auth = &cell.members[old].auth;
        assert!(auth.owned().any(|(o, _)| *o == r), "it has not read the loss yet");
        for order in [OrderKind::Infer, OrderKind::Load, OrderKind::Evict, OrderKind::NonIdempotent]
        {
            assert!(auth.check_order(now, &r, order).is_err(), "{r:?} {order:?}");
        }
        assert!(!auth.admits(now));
        cell.run(3_000);
        assert!(cell.members[old].auth.owned().all(|(o, _)| *o != r), "it has read the loss");
    }
}

/// Guards against an outage in which endpoints with fence checks stop or requests are refused
/// for lack of seats, and against promises that extend authority over endpoints without fence
/// checks beyond the limit.
#[test]
fn long_table_outage_stops_only_loads_without_fence_checks() {
    let mut cell = started_cell(6, 4);
    let before: Vec<_> = resources().iter().map(|r| cell.owner(r).unwrap()).collect();
    cell.table_outage = true;
    for second in 0..600 {
        cell.run(1_000);
        for (r, i) in resources().iter().zip(&before) {
            let (now, auth) = (cell.clock(*i), &cell.members[*i].auth);
            let loads = auth.check_order(now, r, OrderKind::Load).is_ok();
            let plain = matches!(r, Resource::Endpoint { checks_fence: false, .. });
            let bounded = if second < 29 { true } else { second < 34 && loads };
            assert_eq!(loads, !plain || bounded, "{r:?} at {second} s");
            if matches!(r, Resource::Endpoint { .. }) {
                assert!(auth.check_order(now, r, OrderKind::Infer).is_ok(), "{r:?} at {second} s");
            }
        }
    }
    cell.table_outage = false;
    cell.run(10_000);
    for (r, i) in resources().iter().zip(&before) {
        assert_eq!(cell.owners(r), [*i], "{r:?} keeps its owner");
    }
}

/// Guards against claims of a new node while promises still extend the leases of others.
#[test]
fn new_node_waits_for_promises_of_the_others() {
    let mut cell = started_cell(7, 3);
    (0..3).for_each(|i| cell.members[i].no_table = true);
    let new = cell.join(false);
    (0..3).for_each(|i| cell.disconnect(i, new));
    // Each step asserts that there is a single owner.
    cell.run(20_000);
    let plain = endpoint("plain", false);
    assert!(
        cell.owner(&plain).is_some_and(|i| i != new),
        "promises protect the owner up to the limit"
    );
    assert!(cell.may_order(new, &endpoint("fenced", true)), "fenced endpoints need no such wait");
    cell.run_until(30_000, |c| c.owner(&plain) == Some(new));
    let seat = resources().into_iter().find(|r| matches!(r, Resource::Seat { .. })).unwrap();
    let holder = cell.owner(&seat);
    for _ in 0..120 {
        cell.run(1_000);
        assert_eq!(
            cell.owner(&seat),
            holder,
            "a seat keeps its holder while the holder may use it"
        );
    }
    assert_ne!(holder, Some(new));
    // The former holder reads that it was evicted and acquires a new lease; then its seats
    // move.
    (0..3).for_each(|i| cell.members[i].no_table = false);
    cell.disconnected.clear();
    cell.run_until(30_000, |c| resources().iter().all(|r| c.owners(r).len() == 1));
}

/// Guards against a takeover from a node whose row was removed while it has a lease.
#[test]
fn node_whose_row_was_removed_is_replaced_only_after_its_lease() {
    for seed in 0..20 {
        let mut cell = started_cell(seed, 4);
        cell.run(seed * 110);
        let old = cell.owner(&endpoint("plain", false)).unwrap();
        // It cannot renew, so that nothing but its clock tells it that its lease ends.
        cell.members[old].no_table = true;
        let key = LeaseSettings::default().node_key(&cell.members[old].name);
        cell.table.rows.remove(&key);
        // Each step asserts that there is a single owner.
        cell.run(10_000);
        cell.members[old].no_table = false;
        cell.run_until(40_000, |c| resources().iter().all(|r| c.owners(r).len() == 1));
    }
}

/// Guards against a partitioned node that keeps its authority or whose resources stay unused.
#[test]
fn partitioned_node_stops_and_is_replaced() {
    let mut cell = started_cell(8, 4);
    let old = cell.owner(&endpoint("plain", false)).unwrap();
    cell.members[old].no_table = true;
    (0..4).filter(|i| *i != old).for_each(|i| cell.disconnect(i, old));
    cell.run(9_000);
    assert_eq!(cell.members[old].auth.level(cell.clock(old)), AuthorityLevel::None);
    for r in resources() {
        assert!(cell.owner(&r).is_some_and(|i| i != old), "{r:?}");
    }
}

/// Guards against a join or a shutdown that moves more than the resources of one node, and
/// against a released resource that waits for permits of its former owner.
#[test]
fn join_and_shutdown_move_only_the_resources_of_one_node() {
    let resources: Vec<_> = (0..60).map(|i| endpoint(&format!("e{i}"), false)).collect();
    let mut cell = TestCell::new(9, 4, resources.clone());
    cell.run(30_000);
    let owners = |c: &TestCell| resources.iter().map(|r| c.owner(r)).collect::<Vec<_>>();
    let before = owners(&cell);
    let new = cell.join(true);
    cell.run(30_000);
    let joined = owners(&cell);
    let moved = before.iter().zip(&joined).filter(|(a, b)| a != b);
    assert!(moved.clone().all(|(_, b)| *b == Some(new)), "{before:?} {joined:?}");
    assert!((4..=24).contains(&moved.count()), "{before:?} {joined:?}");
    let now = cell.clock(0);
    cell.members[0].auth.release_all(now);
    let took = cell.run_until(5_000, |c| owners(c).iter().all(Option::is_some));
    println!("all resources have a new owner {took} ms after the shutdown");
    cell.run_until(2_000, |c| c.members[0].auth.released());
    for (a, b) in joined.iter().zip(owners(&cell)) {
        assert!((*a == b) != (*a == Some(0)), "{joined:?}");
    }
}

/// Schedule of faults: kind, two nodes and the time until the next fault in milliseconds. It
/// is not shrunk on failure, because each run simulates minutes.
#[derive(Clone, Debug)]
struct FaultPlan {
    seed: u64,
    nodes: usize,
    faults: Vec<(u8, u8, u8, u16)>,
}

impl quickcheck::Arbitrary for FaultPlan {
    fn arbitrary(g: &mut quickcheck::Gen) -> Self {
        let nodes = 3 + usize::arbitrary(g) % 3;
        Self { seed: u64::arbitrary(g), nodes, faults: Vec::arbitrary(g) }
    }
}

/// Runs a schedule of faults, ends all faults and expects one owner per resource. Each step
/// asserts the invariants (see `TestCell::step`).
fn recovers(plan: FaultPlan) -> bool {
    let resources: Vec<_> = resources().into_iter().step_by(2).collect();
    let mut cell = TestCell::new(plan.seed, plan.nodes, resources);
    cell.run(plan.seed % 12_000);
    for (kind, a, b, wait) in plan.faults {
        let live: Vec<_> = (0..cell.members.len()).filter(|i| !cell.members[*i].killed).collect();
        let (a, b) = (live[usize::from(a) % live.len()], live[usize::from(b) % live.len()]);
        let wait = u64::from(wait % 4_000);
        let others = || live.iter().filter(|i| **i != a);
        match kind % 14 {
            0 => {
                cell.members[a].killed = true;
                cell.members[a].host_down = wait % 2 == 0;
                cell.join(wait % 3 > 0);
            }
            1 | 2 => cell.members[a].paused_until = cell.now + wait * 3,
            3 | 4 => cell.disconnect(a, b),
            5 => others().for_each(|i| cell.disconnect(*i, a)),
            6 => others().for_each(|i| cell.members[*i].no_table = true),
            7 => live.iter().for_each(|i| cell.members[*i].no_table = false),
            8 => cell.table_outage = !cell.table_outage,
            9 => cell.loss_percent = if cell.loss_percent == 0 { 30 } else { 0 },
            10 => cell.disconnected.clear(),
            11 => cell.members[a].no_table = true,
            12 => {
                // Only the new node reaches the table, and only the other nodes reach each
                // other.
                let new = cell.join(false);
                live.iter().for_each(|i| cell.members[*i].no_table = true);
                live.iter().for_each(|i| cell.disconnect(*i, new));
            }
            _ => cell.run(wait * 8),
        }
        cell.run(wait);
    }
    heal(&mut cell);
    cell.run_until(75_000, |c| c.resources.iter().all(|r| c.owners(r).len() == 1));
    true
}

fn heal(cell: &mut TestCell) {
    cell.disconnected.clear();
    (cell.table_outage, cell.loss_percent) = (false, 0);
    for m in &mut cell.members {
        m.no_table = false;
        m.listed = !m.killed;
        m.paused_until = m.paused_until.min(cell.now);
    }
}

/// Guards against two owners, and against resources that stay without an owner, under any mix
/// of kills, pauses, partitions, outages and lost or late answers of the table.
#[test]
fn random_faults_never_give_two_owners() {
    const SEED: u64 = 0x5eed_0004;
    let run = |seed| {
        println!("seed {seed:#x}");
        let rng = quickcheck::Gen::from_size_and_seed(40, seed);
        let mut run = quickcheck::QuickCheck::new().rng(rng).tests(100);
        run.quickcheck(recovers as fn(FaultPlan) -> bool);
    };
    std::thread::scope(|s| (0..4).for_each(|i| drop(s.spawn(move || run(SEED + i)))));
}
