//! Requests that crash endpoints.

use sycamorefork::quarantine::{EXPIRY, Quarantine, QuarantineEntry, QuarantineOut, fingerprint};
use sycamorefork::time::Ms;

fn convicted(out: &[QuarantineOut]) -> Vec<u64> {
    let entry = |o: &QuarantineOut| match o {
        QuarantineOut::Quarantine(entry) => Some(entry.fingerprint),
        _ => None,
    };
    out.iter().filter_map(entry).collect()
}

// Guards against a third crash by the same request, and against a quarantine of neighbours
// that shared one crash or both.
#[test]
fn two_crashes_convict_only_the_culprit() {
    let mut q = Quarantine::default();
    let out = q.on_crash(Ms(0), &[1, 2, 3]);
    assert_eq!(out.len(), 3);
    assert!(q.suspect(1) && q.suspect(2));
    let out = q.on_crash(Ms(10), &[1, 8, 9]);
    assert_eq!(convicted(&out), [1]);
    assert!(q.is_quarantined(Ms(10), 1).unwrap().reason.contains("2 endpoints crashed"));
    for neighbour in [2, 3, 8, 9] {
        assert!(!q.suspect(neighbour) && q.is_quarantined(Ms(10), neighbour).is_none());
    }
    assert!(q.is_quarantined(Ms(10) + EXPIRY, 1).is_none());

    let mut q = Quarantine::default();
    q.on_crash(Ms(0), &[1, 2]);
    assert_eq!(convicted(&q.on_crash(Ms(1), &[1, 2])), [0; 0], "both were there twice");
    assert_eq!(q.on_success(2), Some(QuarantineOut::Clear(2)));
    assert_eq!(convicted(&q.on_crash(Ms(2), &[1])), [1], "it was alone");
}

// Guards against innocents in a long series of crashes: frequent identical requests that end
// well in between are never convicted, and each culprit runs at most twice once it is alone.
#[test]
fn frequent_innocent_request_is_cleared() {
    let mut q = Quarantine::default();
    for round in 0..50u64 {
        let (now, culprit) = (Ms(round * 100), 1_000 + round);
        assert_eq!(convicted(&q.on_crash(now, &[7, culprit])), [0; 0]);
        assert!(matches!(q.on_success(7), Some(QuarantineOut::Clear(7))));
        assert_eq!(convicted(&q.on_crash(now + Ms(50), &[culprit])), [culprit]);
    }
    assert!(q.is_quarantined(Ms(5_000), 7).is_none());
}

// Guards against a lifted entry that a late heartbeat brings back, against expired entries
// from peers, and against equal fingerprints of different teams.
#[test]
fn entries_merge_and_lift() {
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
