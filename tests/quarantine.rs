//! Quarantine of requests that crash endpoints.

use sycamorefork::quarantine::{
    DEFAULT_EXPIRY, Quarantine, QuarantineEntry, QuarantineOut, fingerprint,
};
use sycamorefork::time::Ms;

fn quarantined(out: &[QuarantineOut]) -> Vec<u64> {
    let entry = |o: &QuarantineOut| match o {
        QuarantineOut::Quarantine(entry) => Some(entry.fingerprint),
        _ => None,
    };
    out.iter().filter_map(entry).collect()
}

// Guards against a third crash caused by the same request, and against quarantining other
// requests that were in flight at one or both of its crashes.
#[test]
fn second_crash_quarantines_only_the_repeated_fingerprint() {
    let mut q = Quarantine::default();
    let out = q.on_crash(Ms(0), &[1, 2, 3]);
    assert_eq!(out.len(), 3);
    assert!(q.is_suspect(1) && q.is_suspect(2));
    let out = q.on_crash(Ms(10), &[1, 8, 9]);
    assert_eq!(quarantined(&out), [1]);
    assert!(q.is_quarantined(Ms(10), 1).unwrap().reason.contains("2 endpoints crashed"));
    for other in [2, 3, 8, 9] {
        assert!(!q.is_suspect(other) && q.is_quarantined(Ms(10), other).is_none());
    }
    assert!(q.is_quarantined(Ms(10) + DEFAULT_EXPIRY, 1).is_none());

    let mut q = Quarantine::default();
    q.on_crash(Ms(0), &[1, 2]);
    assert_eq!(
        quarantined(&q.on_crash(Ms(1), &[1, 2])),
        [0; 0],
        "both were in flight at both crashes"
    );
    assert_eq!(q.on_success(2), Some(QuarantineOut::Clear(2)));
    assert_eq!(quarantined(&q.on_crash(Ms(2), &[1])), [1], "only this one was in flight");
}

// Guards against quarantining a frequent request in a long series of crashes. It completes
// between the crashes, so it is cleared, while each crashing request is quarantined after its
// second crash, when nothing else is in flight.
#[test]
fn completed_fingerprint_is_cleared() {
    let mut q = Quarantine::default();
    for round in 0..50u64 {
        let (now, crashing) = (Ms(round * 100), 1_000 + round);
        assert_eq!(quarantined(&q.on_crash(now, &[7, crashing])), [0; 0]);
        assert!(matches!(q.on_success(7), Some(QuarantineOut::Clear(7))));
        assert_eq!(quarantined(&q.on_crash(now + Ms(50), &[crashing])), [crashing]);
    }
    assert!(q.is_quarantined(Ms(5_000), 7).is_none());
}

// Guards against a lifted entry that a late heartbeat restores, against merging expired
// entries, and against equal fingerprints for different teams.
#[test]
fn merged_and_lifted_entries() {
    let mut q = Quarantine::default();
    let entry =
        |expiry| QuarantineEntry { fingerprint: 5, reason: "peer".into(), expiry: Ms(expiry) };
    assert!(!q.merge(Ms(100), entry(100)));
    assert!(q.merge(Ms(100), entry(90_000)));
    assert!(!q.merge(Ms(100), entry(80_000)));
    assert_eq!(q.is_quarantined(Ms(85_000), 5).unwrap().expiry, Ms(90_000));
    assert!(q.lift(Ms(200), 5));
    assert!(!q.merge(Ms(700), entry(90_000)));
    assert!(q.is_quarantined(Ms(700), 5).is_none());
    assert!(q.merge(Ms(20_000), entry(90_000)));

    let print = |team: &str, body: &[u8]| fingerprint(&team.into(), Some(&"a".into()), body);
    assert_eq!(print("x", b"body"), print("x", b"body"));
    assert_ne!(print("x", b"body"), print("y", b"body"));
    assert_ne!(
        fingerprint(&"x".into(), None, b"a"),
        fingerprint(&"x".into(), Some(&"a".into()), b"")
    );
}
