//! Prefix-cache view built from late events.

use quickcheck::{Gen, QuickCheck};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use sycamorefork::prefix_cache::{PrefixEvent, PrefixView};

const SEED: u64 = 0x5eed_0002;

// Guards against a late event that overrides a newer one, and against a view that counts as
// complete while an event is missing.
#[test]
fn any_order_of_events_gives_the_same_view() {
    fn holds(ops: Vec<(u8, u8)>, shuffle: u64) -> bool {
        let event = |(op, block): &(u8, u8)| match op % 9 {
            0..=4 => PrefixEvent::Stored(u64::from(block % 16)),
            5..=7 => PrefixEvent::Removed(u64::from(block % 16)),
            _ => PrefixEvent::Cleared,
        };
        let events: Vec<_> = (1..).zip(ops.iter().map(event)).collect();
        let mut ordered = PrefixView::new();
        events.iter().for_each(|(seq, e)| ordered.on_event(*seq, *e));
        let mut late = events.clone();
        let mut rng = SmallRng::seed_from_u64(shuffle);
        for i in 1..late.len() {
            late.swap(i, rng.random_range(i.saturating_sub(20)..=i));
        }
        let mut view = PrefixView::new();
        for (i, (seq, event)) in late.iter().enumerate() {
            view.on_event(*seq, *event);
            view.on_event(*seq, *event);
            let highest = late[..=i].iter().map(|(s, _)| *s).max().unwrap();
            assert_eq!(view.incomplete(), highest != i as u64 + 1, "seed {SEED:#x}");
        }
        (0..16).all(|b| view.cached(&[b]) == ordered.cached(&[b]))
    }
    println!("seed {SEED:#x}");
    let rng = Gen::from_size_and_seed(200, SEED);
    QuickCheck::new().tests(300).rng(rng).quickcheck(holds as fn(Vec<(u8, u8)>, u64) -> bool);
}
