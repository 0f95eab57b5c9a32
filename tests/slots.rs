//! Adapter slots of an endpoint.

use sycamorefork::ids::{AdapterRef, AttemptId};
use sycamorefork::slots::{SlotChoice, SlotState, Slots};
use sycamorefork::time::Ms;

// Guards against evicting a pinned or loading adapter, against evicting a frequently used
// adapter instead of a rarely used one, and against retrying a failed load without back-off.
#[test]
fn orders_that_violate_invariants_are_rejected() {
    let [a, b, c] = ["a", "b", "c"].map(|n| AdapterRef::new(n, "1"));
    let mut slots = Slots::new(2);
    assert!(slots.pin(Ms(0), AttemptId(1), &a).is_err());
    slots.start_load(Ms(0), &a).unwrap();
    slots.start_load(Ms(0), &b).unwrap();
    assert!(slots.start_evict(Ms(1), &a, &c).is_err(), "loading");
    assert!(slots.start_load(Ms(1), &c).is_err(), "no free slot");
    assert!(slots.on_loaded(Ms(250), &a) && slots.on_loaded(Ms(250), &b));
    slots.pin(Ms(250), AttemptId(1), &a).unwrap();
    slots.pin(Ms(250), AttemptId(1), &a).unwrap();
    assert!(slots.pin(Ms(250), AttemptId(1), &b).is_err(), "one attempt, two adapters");
    assert!(slots.start_evict(Ms(300), &a, &c).is_err(), "pinned");
    assert_eq!((slots.state(Ms(300), &a), slots.pins(&a)), (SlotState::Loaded, 1));

    for adapter in [&b, &b, &b, &b, &a] {
        slots.request(Ms(300), adapter);
    }
    assert_eq!(
        slots.choose_slot(Ms(400), Ms(0), |_| false),
        SlotChoice::None,
        "within its residence time"
    );
    assert_eq!(slots.choose_slot(Ms(400), Ms(2_000), |_| false), SlotChoice::Evict(b.clone()));
    assert!(slots.unpin(AttemptId(1)) && !slots.unpin(AttemptId(1)));
    assert_eq!(slots.choose_slot(Ms(2_000), Ms(0), |_| false), SlotChoice::Evict(a.clone()));
    slots.start_evict(Ms(2_000), &a, &c).unwrap();
    assert!(slots.pin(Ms(2_000), AttemptId(2), &a).is_err(), "evicting");
    assert_eq!(slots.on_evicted(Ms(2_001), &a, true), Some(Ok(c.clone())));
    assert_eq!(slots.on_failed(Ms(2_250), &c), Some(Ms(2_750)));
    assert_eq!(slots.state(Ms(2_749), &c), SlotState::BackOff(Ms(2_750)));
    slots.start_load(Ms(2_800), &c).unwrap();
    assert_eq!(slots.on_failed(Ms(3_000), &c), Some(Ms(4_000)), "the back-off doubles");
    assert_eq!(slots.used(), 1);
}
