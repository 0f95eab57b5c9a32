//! Leases of nodes and holders of endpoints: at most one node gives orders to an endpoint.

use std::net::SocketAddr;
use std::rc::Rc;

use sycamorefork::endpoint_holders::{
    CLOCK_MARGIN, EndpointHolders, FIRST_CLAIM_DELAY, HolderClaim, HolderRecord, LEASE_TTL,
    LeaseState, UNLISTED_FOR,
};
use sycamorefork::node_row::{NodeRecord, RowLoss};
use sycamorefork::row_version;
use sycamorefork::time::Ms;

const HANDOVER_PAUSE: Ms = Ms(3_500);

fn node(name: &str, version: u64) -> NodeRecord {
    let address: SocketAddr = "127.0.0.1:1".parse().unwrap();
    NodeRecord { name: Rc::from(name), address, start: 1, released: false, version, seen: Ms(0) }
}

fn released(name: &str, version: u64) -> NodeRecord {
    NodeRecord { released: true, ..node(name, version) }
}

fn holding(node: &str, start: u64, fence: u64) -> (Rc<str>, HolderRecord) {
    (Rc::from("i-1"), HolderRecord { node: Rc::from(node), start, fence, orders_from: None })
}

fn claim(expected: u64, pause: Ms) -> HolderClaim {
    // No test but one reads the store's clock.
    let orders_from = (pause > Ms(0)).then_some(u64::MAX);
    HolderClaim { endpoint: Rc::from("i-1"), expected, pause, orders_from, former_lease: None }
}

/// Claim of an endpoint that node "a" held with a lease of this version.
fn takeover(expected: u64, lease: u64) -> HolderClaim {
    let former_lease = Some((Rc::from("a"), lease));
    HolderClaim { former_lease, ..claim(expected, HANDOVER_PAUSE) }
}

/// State of node "a" that holds "i-1" with the fencing token 24 and has a lease from 2 s on.
fn holder_of_i1() -> EndpointHolders {
    let mut a = EndpointHolders::new("a", 1, HANDOVER_PAUSE, Ms(0));
    a.on_renewed(Ms(2_000), Ms(2_000));
    a.on_nodes(Ms(2_000), vec![node("a", 20), node("b", 21)]);
    a.on_registered(&Rc::from("i-1"));
    let found = a.due_claims(Ms(2_000), &[Rc::from("i-1")], |_| true);
    // Whichever node rendezvous hashing prefers, "a" claims the endpoint here.
    assert!(found.iter().all(|c| *c == claim(0, Ms(0))));
    a.on_claimed(&claim(0, Ms(0)));
    a.on_holders(Ms(2_010), vec![holding("a", 1, 24)]);
    assert_eq!(a.fence(Ms(2_010), "i-1"), Some(24));
    a
}

// A node renews its lease after a network partition and does not know yet that its endpoint was
// claimed in the meantime. It must not give orders before it has read the holders again.
#[test]
fn regained_lease_allows_no_orders_before_the_holders_are_read() {
    let mut a = holder_of_i1();
    let back = Ms(2_000) + LEASE_TTL + Ms(3_000);
    assert_eq!(a.fence(back, "i-1"), None);
    a.on_renewed(back, back);
    assert_eq!(a.fence(back + Ms(10), "i-1"), None);
    a.on_holders(back + Ms(20), vec![holding("b", 9, 188)]);
    assert_eq!(a.fence(back + Ms(5_000), "i-1"), None);
}

// Another node may have seen the lapse and may write a claim directly after this node's read.
// Both nodes therefore pause before their first order.
#[test]
fn regained_lease_waits_for_claims_under_way() {
    let mut a = holder_of_i1();
    let back = Ms(2_000) + LEASE_TTL + Ms(3_000);
    a.on_renewed(back, back);
    a.on_holders(back, vec![holding("a", 1, 24)]);
    assert_eq!(a.fence(back + Ms(100), "i-1"), None);
    assert_eq!(a.fence(back + HANDOVER_PAUSE, "i-1"), Some(24));
}

// The version in a transaction's answer is the newest one of the store, not that of the row.
#[test]
fn fence_is_the_version_of_the_row() {
    let mut a = EndpointHolders::new("a", 1, HANDOVER_PAUSE, Ms(0));
    a.on_renewed(Ms(0), Ms(0));
    a.on_claimed(&claim(0, Ms(0)));
    assert_eq!(a.fence(Ms(10), "i-1"), None);
    a.on_holders(Ms(20), vec![holding("a", 1, 188)]);
    assert_eq!(a.fence(Ms(20), "i-1"), Some(188));
}

// A claim waits until the former holder's lease has lapsed on this node's clock; the first order
// waits for the pause after it.
#[test]
fn takeover_waits_for_the_lease_and_the_pause() {
    let mut b = EndpointHolders::new("b", 2, HANDOVER_PAUSE, Ms(0));
    let rows = || vec![node("a", 20), node("b", 21)];
    b.on_nodes(Ms(1_000), rows());
    let lapsed = Ms(1_000) + LEASE_TTL + CLOCK_MARGIN;
    for at in [Ms(2_000), lapsed - Ms(1), lapsed] {
        b.on_renewed(at, at);
        b.on_nodes(at, vec![node("a", 20), node("b", 21 + at.0)]);
        b.on_holders(at, vec![holding("a", 1, 24)]);
        let claims = b.due_claims(at, &[Rc::from("i-1")], |_| true);
        let expected = if at < lapsed { Vec::new() } else { vec![takeover(24, 20)] };
        assert_eq!(claims, expected, "{at}");
    }
    b.on_claimed(&claim(24, HANDOVER_PAUSE));
    b.on_holders(lapsed + Ms(10), vec![holding("b", 2, 30)]);
    assert_eq!(b.fence(lapsed + HANDOVER_PAUSE, "i-1"), None);
    assert_eq!(b.fence(lapsed + HANDOVER_PAUSE + Ms(10), "i-1"), Some(30));
}

// A restarted process is the same holder: it claims its endpoints again, with a new fencing token.
#[test]
fn restarted_process_claims_its_endpoints_at_once() {
    let mut a = EndpointHolders::new("a", 5, HANDOVER_PAUSE, Ms(0));
    a.on_renewed(Ms(100), Ms(100));
    a.on_nodes(Ms(100), vec![node("a", 40), node("b", 21)]);
    a.on_holders(Ms(100), vec![holding("a", 1, 24)]);
    assert_eq!(a.fence(Ms(100), "i-1"), None);
    let claims = a.due_claims(Ms(100), &[Rc::from("i-1")], |_| true);
    assert_eq!(claims, vec![claim(24, Ms(0))]);
}

// A node that had just taken an endpoint over was restarted, and its next process gave orders before
// the pause since those of the former holder was over.
#[test]
fn restarted_process_waits_for_the_rest_of_a_pause() {
    let engines = [Rc::from("i-1")];
    let mut b = EndpointHolders::new("b", 2, HANDOVER_PAUSE, Ms(0));
    let at = Ms(20_000);
    b.on_renewed(at, at);
    b.on_nodes(at, vec![released("a", 20), node("b", 21)]);
    b.on_store_time(at - Ms(30), at - Ms(10), 700_000);
    b.on_holders(at - Ms(10), vec![holding("a", 1, 24)]);
    let taken = b.due_claims(at, &engines, |_| true).remove(0);
    let end = 700_030 + HANDOVER_PAUSE.0;
    assert_eq!((taken.pause, taken.orders_from), (HANDOVER_PAUSE, Some(end)));
    let claims_at = |clock: u64, orders_from| {
        let mut next = EndpointHolders::new("b", 9, HANDOVER_PAUSE, Ms(0));
        next.on_renewed(Ms(100), Ms(100));
        next.on_nodes(Ms(100), vec![node("b", 41)]);
        next.on_store_time(Ms(90), Ms(100), clock);
        let record = HolderRecord { orders_from, ..holding("b", 2, 30).1 };
        next.on_holders(Ms(100), vec![(engines[0].clone(), record)]);
        next.due_claims(Ms(100), &engines, |_| true).remove(0).pause
    };
    assert_eq!(claims_at(end - 1_000, taken.orders_from), Ms(1_000));
    assert_eq!(claims_at(end, taken.orders_from), Ms(0));
    assert_eq!(claims_at(0, taken.orders_from), HANDOVER_PAUSE);
    assert_eq!(claims_at(end - 1_000, None), Ms(0));
}

// Nodes that start at the same time see each other's rows only after a delay.
#[test]
fn starting_node_delays_claims_of_endpoints_that_it_did_not_hold() {
    let mut a = EndpointHolders::new("a", 5, HANDOVER_PAUSE, Ms(0));
    a.on_renewed(Ms(100), Ms(100));
    a.on_nodes(Ms(100), vec![node("a", 40)]);
    a.on_holders(Ms(100), Vec::new());
    assert_eq!(a.due_claims(FIRST_CLAIM_DELAY - Ms(1), &[Rc::from("i-1")], |_| true), Vec::new());
    assert_eq!(
        a.due_claims(FIRST_CLAIM_DELAY, &[Rc::from("i-1")], |_| true),
        vec![claim(0, HANDOVER_PAUSE)]
    );
}

// The row of a node that has released its lease says so.
#[test]
fn released_endpoints_are_claimed_with_a_pause() {
    let mut b = EndpointHolders::new("b", 2, HANDOVER_PAUSE, Ms(0));
    b.on_renewed(Ms(1_600), Ms(1_600));
    b.on_nodes(Ms(1_600), vec![released("a", 20), node("b", 21)]);
    b.on_holders(Ms(1_600), vec![holding("a", 1, 24)]);
    assert_eq!(b.lease_state(Ms(1_600), "a"), LeaseState::Released);
    assert_eq!(b.due_claims(Ms(1_600), &[Rc::from("i-1")], |_| true), vec![takeover(24, 20)]);
}

// A missing row was taken for a release, and its node still gave orders under its lease.
#[test]
fn endpoints_of_a_node_without_a_row_are_claimed_after_a_lease_has_run_out() {
    let mut b = EndpointHolders::new("b", 2, HANDOVER_PAUSE, Ms(0));
    let gone = Ms(2_000);
    let lapsed = gone + LEASE_TTL + CLOCK_MARGIN;
    for at in [Ms(1_600), gone, lapsed - Ms(1), lapsed] {
        b.on_renewed(at, at);
        let mut rows = vec![node("b", 21 + at.0)];
        rows.extend((at < gone).then(|| node("a", 20)));
        b.on_nodes(at, rows);
        b.on_holders(at, vec![holding("a", 1, 24)]);
        let expected = if at < lapsed { Vec::new() } else { vec![takeover(24, 0)] };
        assert_eq!(b.due_claims(at, &[Rc::from("i-1")], |_| true), expected, "{at}");
    }
    // The node is back: a new row is a new lease.
    b.on_nodes(lapsed, vec![node("a", 300), node("b", 21)]);
    b.on_holders(lapsed, vec![holding("a", 1, 24)]);
    assert_eq!(b.due_claims(lapsed, &[Rc::from("i-1")], |_| true), Vec::new());
}

// A holder did not notice that its row had been removed or overwritten, and went on.
#[test]
fn node_that_lost_its_row_gives_no_orders_before_the_holders_are_read() {
    let overwritten = NodeRecord { start: 7, ..node("a", 40) };
    let lost = [(vec![], RowLoss::Removed), (vec![overwritten], RowLoss::Overwritten(7))];
    for (rows, loss) in lost {
        let mut a = holder_of_i1();
        a.on_row_written(20);
        assert_eq!(a.on_nodes(Ms(2_100), rows), Some(loss));
        assert_eq!(a.fence(Ms(2_100), "i-1"), None);
        a.on_row_written(50);
        a.on_renewed(Ms(2_200), Ms(2_200));
        assert!(!a.holders_read());
        assert_eq!(a.fence(Ms(2_300), "i-1"), None);
        a.on_holders(Ms(2_300), vec![holding("a", 1, 24)]);
        assert_eq!(a.fence(Ms(2_300), "i-1"), None);
        assert_eq!(a.fence(Ms(2_300) + HANDOVER_PAUSE, "i-1"), Some(24));
    }
}

// A write whose answer was lost, and the newer version that the store states, are no loss.
#[test]
fn own_row_of_another_version_is_no_loss() {
    let mut a = holder_of_i1();
    a.on_row_written(20);
    assert_eq!(a.on_nodes(Ms(2_100), vec![node("a", 31)]), None);
    assert_eq!(a.own_row().version(), Some(31));
    assert_eq!(a.fence(Ms(2_100), "i-1"), Some(24));
}

// The first write of a process goes over the row of the former one, which may still change.
#[test]
fn row_of_the_former_process_is_no_loss() {
    let mut a = EndpointHolders::new("a", 5, HANDOVER_PAUSE, Ms(0));
    assert_eq!(a.own_row().version(), None);
    for row in [node("a", 20), released("a", 21)] {
        let version = row.version;
        assert_eq!(a.on_nodes(Ms(100), vec![row]), None);
        assert_eq!(a.own_row().version(), Some(version));
        assert!(!a.own_row().is_written());
    }
    assert_eq!(a.on_nodes(Ms(100), vec![]), None);
    assert_eq!(a.own_row().version(), Some(0));
}

// A restored store lost the row, and the holder goes on under its lease of the former era.
#[test]
fn row_lost_in_a_restore_does_not_end_the_lease() {
    let mut a = holder_of_i1();
    a.on_row_written(20);
    a.on_restored(Ms(5_000), 2);
    assert_eq!(a.on_nodes(Ms(5_010), vec![]), None);
    assert_eq!(a.own_row().version(), Some(0));
    assert_eq!(a.fence(Ms(5_020), "i-1"), Some(24));
    assert_eq!(a.confirmed_claims().count(), 0);
}

// The renewal of a lease depends on the rows by which the node holds endpoints.
#[test]
fn renewal_depends_on_the_claims() {
    let mut a = holder_of_i1();
    assert_eq!(a.confirmed_claims().collect::<Vec<_>>(), vec![(&Rc::from("i-1"), 24)]);
    a.on_removed(&[(Rc::from("i-1"), 24)]);
    assert_eq!(a.confirmed_claims().count(), 0);
}

// The row of an endpoint was lost, and another node gave orders at once while its holder went on.
#[test]
fn endpoint_without_a_row_that_may_be_held_is_claimed_after_a_lease_has_run_out() {
    let engines = [Rc::from("i-1")];
    let mut b = EndpointHolders::new("b", 2, HANDOVER_PAUSE, Ms(0));
    let lost = Ms(20_000);
    let lapsed = lost + LEASE_TTL + CLOCK_MARGIN;
    for at in [Ms(19_000), lost, lapsed - Ms(1), lapsed] {
        b.on_renewed(at, at);
        b.on_nodes(at, vec![node_at("b", at)]);
        let rows = if at < lost { vec![holding("b", 1, 24)] } else { Vec::new() };
        b.on_holders(at, rows);
        b.note_engines(at, &engines);
        if at < lost {
            continue;
        }
        let free = b.due_claims(at, &engines, |_| true);
        assert_eq!(free, vec![claim(0, HANDOVER_PAUSE)], "{at}: no node says that it holds it");
        let expected = if at < lapsed { Vec::new() } else { free };
        assert_eq!(b.due_claims(at, &engines, |_| false), expected, "{at}");
    }
}

// An endpoint that has just registered has no holder, and nobody waits for one.
#[test]
fn new_endpoint_is_claimed_without_a_pause() {
    let engines = [Rc::from("i-1")];
    let mut b = EndpointHolders::new("b", 2, HANDOVER_PAUSE, Ms(0));
    b.on_renewed(Ms(2_000), Ms(2_000));
    b.on_nodes(Ms(2_000), vec![node("b", 21)]);
    b.on_holders(Ms(2_000), Vec::new());
    b.on_registered(&engines[0]);
    b.note_engines(Ms(2_000), &engines);
    assert_eq!(b.due_claims(Ms(2_000), &engines, |_| false), vec![claim(0, Ms(0))]);
    b.on_holders(Ms(2_100), vec![holding("a", 1, 24)]);
    b.on_holders(Ms(2_200), Vec::new());
    b.note_engines(Ms(2_200), &engines);
    assert_eq!(b.due_claims(Ms(2_200), &engines, |_| false), Vec::new());
}

// Nodes behind a network partition count for the team limits long after their leases have
// lapsed, because they go on admitting requests.
#[test]
fn silent_nodes_are_counted_after_their_lease_has_lapsed() {
    let mut b = EndpointHolders::new("b", 2, HANDOVER_PAUSE, Ms(0));
    b.on_nodes(Ms(0), vec![node("a", 20), node("b", 21)]);
    let lapsed = LEASE_TTL + CLOCK_MARGIN + Ms(1_000);
    b.on_nodes(lapsed, vec![node("a", 20), node("b", 22)]);
    assert_eq!(b.live_nodes(lapsed).count(), 1);
    assert_eq!(b.counted_nodes(lapsed).count(), 2);
}

// After a release no orders are given, even if an answer to a renewal arrives late.
#[test]
fn released_node_gives_no_orders() {
    let mut a = holder_of_i1();
    a.release();
    assert_eq!(a.fence(Ms(2_100), "i-1"), None);
    a.on_renewed(Ms(2_100), Ms(2_100));
    a.on_holders(Ms(2_200), vec![holding("a", 1, 24)]);
    assert_eq!(a.fence(Ms(9_000), "i-1"), None);
}

// Rows of endpoints that are gone stay in the table. They must not use up the node's share.
#[test]
fn share_counts_only_endpoints_that_exist() {
    let mut a = holder_of_i1();
    let new = [Rc::from("i-2")];
    a.on_registered(&new[0]);
    a.on_nodes(Ms(2_100), vec![node("a", 20)]);
    let claims = a.due_claims(Ms(2_100), &new, |_| true);
    let expected = HolderClaim { endpoint: Rc::from("i-2"), ..claim(0, Ms(0)) };
    assert_eq!(claims, vec![expected]);
}

// A renewal may be acknowledged after the lease has lapsed, when another node may have claimed
// the endpoint already.
#[test]
fn renewal_acknowledged_after_the_lapse_allows_no_orders_before_the_holders_are_read() {
    let mut a = holder_of_i1();
    let end = Ms(2_000) + LEASE_TTL;
    a.on_renewed(end - Ms(100), end + Ms(1_000));
    assert_eq!(a.fence(end + Ms(1_000), "i-1"), None);
    a.on_holders(end + Ms(1_010), vec![holding("b", 9, 188)]);
    assert_eq!(a.fence(end + Ms(8_000), "i-1"), None);
}

// A claim takes effect only if the former holder's lease is still the one that has lapsed: the
// claimant may be paused between its decision and its write, and the holder may be back.
#[test]
fn claim_requires_the_lapsed_lease_to_be_unchanged() {
    let mut b = EndpointHolders::new("b", 2, HANDOVER_PAUSE, Ms(0));
    b.on_nodes(Ms(1_000), vec![node("a", 20), node("b", 21)]);
    let lapsed = Ms(1_000) + LEASE_TTL + CLOCK_MARGIN;
    b.on_renewed(lapsed, lapsed);
    b.on_nodes(lapsed, vec![node("a", 20), node("b", 22)]);
    b.on_holders(lapsed, vec![holding("a", 1, 24)]);
    let lease = b.due_claims(lapsed, &[Rc::from("i-1")], |_| true).remove(0).former_lease;
    assert_eq!(lease, Some((Rc::from("a"), 20)));
    // A released lease must still be the one that was released.
    b.on_nodes(lapsed, vec![released("a", 25), node("b", 22)]);
    let lease = b.due_claims(lapsed, &[Rc::from("i-1")], |_| true).remove(0).former_lease;
    assert_eq!(lease, Some((Rc::from("a"), 25)));
}

// Each start of an endpoint leaves a row. Rows of endpoints that are gone for a while are removed,
// by their holder or, if that is gone too, by one of the others.
#[test]
fn rows_of_endpoints_that_are_gone_are_removed_once() {
    let row = |id: &str, node: &str, fence| (Rc::from(id), holding(node, 1, fence).1);
    let mut nodes = [EndpointHolders::new("a", 1, HANDOVER_PAUSE, Ms(0)), {
        EndpointHolders::new("b", 1, HANDOVER_PAUSE, Ms(0))
    }];
    let mut removed = Vec::new();
    for at in [Ms(0), UNLISTED_FOR - Ms(1), UNLISTED_FOR] {
        for node in &mut nodes {
            node.on_renewed(at, at);
            node.on_nodes(at, vec![node_at("a", at), node_at("b", at)]);
            let rows = [("i-1", "a"), ("i-2", "b"), ("i-3", "c"), ("i-4", "a"), ("i-5", "b")];
            let rows = rows.into_iter().zip(10..).map(|((id, n), fence)| row(id, n, fence));
            node.on_holders(at, rows.collect());
            let due = node.due_removals(at, |id| id == "i-4" || id == "i-5");
            assert!(due.is_empty() || at == UNLISTED_FOR);
            removed.extend(due);
        }
    }
    removed.sort();
    let expected: Vec<(Rc<str>, u64)> =
        vec![(Rc::from("i-1"), 10), (Rc::from("i-2"), 11), (Rc::from("i-3"), 12)];
    assert_eq!(removed, expected);
}

/// Row of a node that changes with time.
fn node_at(name: &str, at: Ms) -> NodeRecord {
    node(name, 100 + at.0)
}

/// Version of a row in the store's second era.
fn restored(version: u64) -> u64 {
    row_version::qualify(2, version)
}

// The rows by which "a" holds "i-1" were lost. Its orders go on under its lease, and it claims the
// endpoint again at once, with a higher fence; after the lease of the former era it gives no orders.
#[test]
fn holder_claims_endpoints_again_that_a_restore_lost() {
    let mut a = holder_of_i1();
    a.on_restored(Ms(5_000), 2);
    a.on_renewed(Ms(5_010), Ms(5_020));
    a.on_nodes(Ms(5_020), vec![node("a", restored(9)), node("b", restored(8))]);
    a.on_holders(Ms(5_030), Vec::new());
    assert_eq!(a.fence(Ms(5_030), "i-1"), Some(24));
    assert_eq!(a.due_claims(Ms(5_030), &[Rc::from("i-1")], |_| true), vec![claim(0, Ms(0))]);
    let mut lost = a.clone();
    a.on_claimed(&claim(0, Ms(0)));
    a.on_holders(Ms(5_040), vec![holding("a", 1, restored(12))]);
    assert_eq!(a.fence(Ms(5_040), "i-1"), Some(restored(12)));
    let former_end = Ms(2_000) + LEASE_TTL;
    lost.on_holders(former_end, Vec::new());
    assert_eq!(lost.fence(former_end, "i-1"), None);
}

// The copy names the holder, whose claim is older than it: nothing interrupts its orders.
#[test]
fn holder_that_a_restored_row_names_goes_on() {
    let mut a = holder_of_i1();
    a.on_restored(Ms(5_000), 2);
    a.on_holders(Ms(5_030), vec![holding("a", 1, restored(24))]);
    assert_eq!(a.fence(Ms(5_030), "i-1"), Some(restored(24)));
    let later = Ms(2_000) + LEASE_TTL + Ms(100);
    a.on_renewed(Ms(8_000), Ms(8_000));
    assert_eq!(a.fence(later, "i-1"), Some(restored(24)));
}

// The holder of an endpoint may be one that the restored store does not name. Neither a node that
// it names, nor one that finds no row, may claim the endpoint before all former leases have lapsed.
#[test]
fn restored_rows_allow_no_claim_before_former_leases_have_lapsed() {
    let rows = [vec![], vec![holding("b", 1, restored(9))], vec![holding("gone", 1, restored(9))]];
    for holders in rows {
        let mut b = EndpointHolders::new("b", 2, HANDOVER_PAUSE, Ms(0));
        b.on_renewed(Ms(20_000), Ms(20_000));
        b.on_restored(Ms(20_000), 2);
        let end = Ms(20_000) + LEASE_TTL + CLOCK_MARGIN;
        for at in [Ms(20_000), Ms(20_010), end - Ms(1), end] {
            b.on_renewed(at, at);
            b.on_nodes(at, vec![node("b", restored(20 + at.0))]);
            b.on_holders(at, holders.clone());
            let claims = b.due_claims(at, &[Rc::from("i-1")], |_| true);
            assert_eq!(claims.len(), usize::from(at == end), "{at}: {claims:?}");
        }
    }
}

// The lease of "a" lapsed and another node took "i-1" over, which the restored store does not know.
// Until the other's lease has lapsed too, the restored row gives "a" nothing back.
#[test]
fn restored_row_gives_nothing_back_to_a_holder_whose_lease_had_lapsed() {
    let mut a = holder_of_i1();
    let back = Ms(2_000) + LEASE_TTL + Ms(3_000);
    a.on_restored(back, 2);
    a.on_renewed(back, back);
    let end = back + LEASE_TTL + CLOCK_MARGIN;
    for at in [back, end - Ms(1)] {
        a.on_renewed(at, at);
        a.on_nodes(at, vec![node("a", restored(at.0))]);
        a.on_holders(at, vec![holding("a", 1, restored(24))]);
        assert_eq!(a.due_claims(at, &[Rc::from("i-1")], |_| true), Vec::new());
        assert_eq!(a.fence(at + HANDOVER_PAUSE, "i-1"), None);
    }
    a.on_renewed(end, end);
    a.on_holders(end, vec![holding("a", 1, restored(24))]);
    assert_eq!(a.fence(end, "i-1"), None);
    assert_eq!(a.fence(end + HANDOVER_PAUSE, "i-1"), Some(restored(24)));
}
