//! Tests which failures of the store's calls let entries of endpoints lapse.

use sycamorefork::store_health::StoreHealth;
use sycamorefork::time::Ms;

/// Interval at which endpoints refresh their entries.
const INTERVAL: Ms = Ms(1_200);

/// State after calls that are answered each second, an outage and the first answer after it.
fn after_outage(length: Ms) -> (StoreHealth, Ms) {
    let mut health = StoreHealth::new(INTERVAL);
    (0..10).for_each(|s| health.on_answer(Ms::secs(s)));
    health.on_failure();
    let returned = Ms::secs(9) + length;
    health.on_answer(returned);
    (health, returned)
}

#[test]
fn entries_that_lapsed_in_an_outage_may_come_back_for_a_while() {
    let (health, returned) = after_outage(Ms(5_000));
    assert!(health.may_come_back(returned + Ms(2_000)));
    assert!(!health.may_come_back(returned + Ms(2_500)));
}

// An endpoint leaves by removing its entry; a lost answer must not delay that.
#[test]
fn entries_do_not_lapse_in_a_short_failure() {
    let (health, returned) = after_outage(Ms(1_500));
    assert!(!health.may_come_back(returned));
}

#[test]
fn failures_after_the_return_do_not_prolong_the_wait() {
    let (mut health, returned) = after_outage(Ms(5_000));
    health.on_failure();
    health.on_answer(returned + Ms(1_000));
    assert!(!health.may_come_back(returned + Ms(2_500)));
}

#[test]
fn entries_may_be_missing_after_a_restore() {
    let (mut health, returned) = after_outage(Ms(500));
    health.on_restored(returned + Ms(100));
    assert!(health.may_come_back(returned + Ms(2_000)));
    assert!(health.is_disturbed(returned + Ms(2_000), Ms::secs(60)));
}
