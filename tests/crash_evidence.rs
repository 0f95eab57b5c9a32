//! Causes of crashes among the requests that were in flight.

use sycamorefork::crash_evidence::{Crash, CrashEvidence, Feature};
use sycamorefork::time::Ms;

/// Time from a crash until it counts.
const SETTLED: Ms = Ms(200);

fn part(id: u64, depth: u8) -> Feature {
    Feature { id, depth }
}

fn crash(process: u64, at: u64, suspects: &[Feature]) -> Crash {
    Crash { process, at: Ms(at), suspects: suspects.to_vec() }
}

/// Records a crash that is reported at once.
fn record(evidence: &mut CrashEvidence, process: u64, at: u64, suspects: &[Feature]) -> bool {
    evidence.on_crash(Ms(at), crash(process, at, suspects))
}

/// The cause that the evidence shows at a time: its feature and number of crashes.
fn cause(evidence: &mut CrashEvidence, now: Ms) -> Option<(u64, usize)> {
    evidence.take_cause(now).map(|c| (c.feature.id, c.crashes))
}

// A part that never completes is found among parts that are in flight at every crash but
// complete in between, and among parts that are in flight at some of the crashes.
#[test]
fn part_of_every_crash_that_never_completes_is_the_cause() {
    let mut e = CrashEvidence::default();
    let (first, dead) = (part(1, 0), part(666, 2));
    for n in 0..3 {
        e.on_completed(Ms(n * 300), first);
        let sometimes = part(50 + n / 2, 1);
        record(&mut e, n, n * 300 + 100, &[first, part(10 + n, 1), sometimes, dead]);
    }
    assert_eq!(cause(&mut e, Ms(700)), None, "the last crash has not settled");
    assert_eq!(cause(&mut e, Ms(700) + SETTLED), Some((666, 3)));
    assert_eq!(cause(&mut e, Ms(700) + SETTLED), None, "all crashes are explained");
}

// The parts that a cause shares its requests with have crashed as often if no other request
// with them completed; refusing the most specific one refuses the fewest requests.
#[test]
fn most_specific_of_equal_parts_is_the_cause() {
    let mut e = CrashEvidence::default();
    for n in 0..3 {
        let whole = part(900 + n, Feature::WHOLE_REQUEST);
        record(&mut e, n, n * 100, &[part(1, 0), part(2, 1), part(666, 2), whole]);
    }
    assert_eq!(cause(&mut e, Ms(200) + SETTLED), Some((666, 3)));
}

// The loss of a rack or of power hits whatever is in flight; it shows no cause.
#[test]
fn endpoints_that_crash_at_the_same_moment_count_once() {
    let mut e = CrashEvidence::default();
    for n in 0..12 {
        record(&mut e, n, 100 + n, &[part(7, 1)]);
    }
    assert_eq!(cause(&mut e, Ms(5_000)), None);
    record(&mut e, 20, 2_000, &[part(7, 1)]);
    assert_eq!(cause(&mut e, Ms(5_000)), None);
    record(&mut e, 21, 4_000, &[part(7, 1)]);
    assert_eq!(cause(&mut e, Ms(5_000)), Some((7, 3)));
}

// Two parts in flight at the same crashes are told apart by the next one.
#[test]
fn no_cause_is_named_while_two_features_are_equal() {
    let mut e = CrashEvidence::default();
    for n in 0..4 {
        record(&mut e, n, n * 100, &[part(7, 1), part(8, 1)]);
    }
    assert_eq!(cause(&mut e, Ms(1_000)), None);
    e.on_completed(Ms(900), part(8, 1));
    assert_eq!(cause(&mut e, Ms(1_000)), Some((7, 4)));
}

// Two parts that each crash endpoints are both found.
#[test]
fn second_cause_is_found_after_the_first() {
    let mut e = CrashEvidence::default();
    for n in 0..7 {
        let suspect = if n % 2 == 0 { part(7, 1) } else { part(8, 1) };
        record(&mut e, n, n * 100, &[suspect]);
    }
    assert_eq!(cause(&mut e, Ms(1_000)), Some((7, 4)));
    assert_eq!(cause(&mut e, Ms(1_000)), Some((8, 3)));
}

// A frequent part is in flight at every crash of the only endpoint. It is no cause unless other
// requests complete while those with it do not.
#[test]
fn part_that_had_completed_needs_more_evidence() {
    let mut e = CrashEvidence::default();
    e.on_completed(Ms(10), part(1, 0));
    for n in 0..6 {
        record(&mut e, n, 100 + n * 100, &[part(1, 0)]);
    }
    assert_eq!(cause(&mut e, Ms(1_000)), None);
    e.on_completed(Ms(900), part(2, 1));
    assert_eq!(cause(&mut e, Ms(1_000)), Some((1, 6)));
}

// Most requests occur once; however many complete, they displace no completion of a part.
#[test]
fn requests_that_occur_once_displace_no_completed_part() {
    let mut e = CrashEvidence::default();
    e.on_completed(Ms(10), part(1, 0));
    for n in 0..50_000 {
        e.on_completed(Ms(20), part(1_000 + n, Feature::WHOLE_REQUEST));
    }
    assert_eq!(e.last_completed(1), Some(Ms(10)));
    assert_eq!(e.last_completed(50_999), Some(Ms(20)));
    assert_eq!(e.last_completed(1_000), None, "old requests are forgotten");
}

// Each node knows its own requests at an endpoint; the reports of a crash are merged.
#[test]
fn reports_of_one_crash_are_merged() {
    let mut e = CrashEvidence::default();
    for n in 0..3 {
        assert!(record(&mut e, n, n * 100, &[part(10 + n, 1)]));
        assert!(!record(&mut e, n, n * 100 + 30, &[part(10 + n, 1)]));
    }
    assert_eq!(cause(&mut e, Ms(1_000)), None);
    for n in 0..3 {
        assert!(record(&mut e, n, n * 100 + 40, &[part(666, 2)]));
    }
    assert_eq!(cause(&mut e, Ms(1_000)), Some((666, 3)));
}

// What a known cause explains counts for no other feature.
#[test]
fn explained_crashes_do_not_count() {
    let mut e = CrashEvidence::default();
    for n in 0..3 {
        record(&mut e, n, n * 100, &[part(7, 1), part(666, 2)]);
    }
    e.explain(666);
    assert!(!e.has_crashes());
    record(&mut e, 9, 400, &[part(7, 1)]);
    assert_eq!(cause(&mut e, Ms(1_000)), None);
}
