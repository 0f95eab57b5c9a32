//! Tests that the times of reads leave room within the deployment's bounds.

use sycamorefork::deployment::Bounds;
use sycamorefork::read_schedule::ReadSchedule;
use sycamorefork::time::Ms;

fn bounds(drain: u64, config_deadline: u64, version_delay: u64) -> Bounds {
    Bounds {
        drain: Ms(drain),
        config_deadline: Ms(config_deadline),
        grace: Ms::secs(8),
        handover_pause: Ms::secs(3),
        version_delay: Ms(version_delay),
        retry_ratio: 0.2,
        retry_window: Ms::secs(10),
        retry_slack: 40.0,
        quota_tolerance: 0.0,
    }
}

/// Most of a bound that reading a change may take; the rest is for requests on their way.
fn most(bound: Ms) -> Ms {
    Ms(bound.0 * 3 / 4)
}

#[test]
fn silent_calls_and_a_lost_answer_fit_into_each_bound() {
    for drain in [400, 1_000, 2_000, 3_000, 20_000] {
        for config in [400, 2_000, 3_000, 20_000] {
            for version in [1_000, 5_000] {
                let b = bounds(drain, config, version);
                let documents = ReadSchedule::of_documents(&b);
                assert!(documents.worst_delay() <= most(b.config_deadline.min(b.version_delay)));
                let entries = ReadSchedule::of_entries(&b);
                assert!(entries.worst_delay() <= most(b.drain));
            }
        }
    }
}

// When the store returns, the calls of the outage stay silent and the next answer may be lost.
#[test]
fn return_of_the_store_is_noticed_within_each_bound() {
    for bound in [400, 1_000, 2_000, 3_000, 20_000] {
        let b = bounds(bound, bound, Ms::secs(60).0);
        for s in [ReadSchedule::of_documents(&b), ReadSchedule::of_entries(&b)] {
            let noticed = s.worst_gap().max(s.retry) + s.overdue;
            assert!(noticed <= most(Ms(bound)), "{noticed} of {bound} ms");
        }
    }
}
