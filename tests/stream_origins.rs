//! Tests which streams are remembered and when several versions of a service count as serving.

use sycamorefork::stream_origins::{Origin, StreamOrigins, stream_id};
use sycamorefork::time::Ms;

/// Time for which a stream may be taken up, with the time limit that the tests set.
const LIFETIME: Ms = Ms::secs(20);

fn origin(software: &str) -> Origin {
    Origin { service: "assist".into(), software: software.into() }
}

fn node() -> StreamOrigins {
    let mut streams = StreamOrigins::new(Ms(0));
    streams.set_time_limit(Ms::secs(15));
    assert_eq!(streams.lifetime(), LIFETIME);
    streams.observe(&origin("v1"), Ms(0));
    streams
}

#[test]
fn nothing_is_written_while_one_version_serves() {
    let mut streams = node();
    streams.begin(Ms(10), stream_id("a"), origin("v1"));
    assert!(streams.unwritten(Ms(20), 10).is_empty());
    assert_eq!(streams.only_version(Ms(20), "assist"), Some(&origin("v1")));
    assert_eq!(streams.only_version(Ms(20), "other"), None);
}

#[test]
fn streams_of_before_are_written_once_a_second_version_serves() {
    let mut streams = node();
    streams.begin(Ms(10), stream_id("a"), origin("v1"));
    streams.observe(&origin("v2"), Ms(20));
    assert_eq!(streams.unwritten(Ms(30), 10), [(stream_id("a"), origin("v1"))]);
    assert_eq!(streams.only_version(Ms(30), "assist"), None);
    streams.on_written([stream_id("a")].into_iter());
    assert!(streams.unwritten(Ms(40), 10).is_empty());
}

// Streams of a version outlast its endpoints.
#[test]
fn version_that_has_left_counts_for_the_lifetime_of_a_stream() {
    let mut streams = node();
    streams.observe(&origin("v2"), Ms::secs(1));
    streams.observe(&origin("v2"), Ms::secs(10));
    assert_eq!(streams.only_version(Ms::secs(19), "assist"), None);
    assert_eq!(streams.mixed(Ms::secs(19)).count(), 2);
    streams.expire(Ms::secs(25));
    assert_eq!(streams.only_version(Ms::secs(25), "assist"), Some(&origin("v2")));
}

#[test]
fn what_is_learned_does_not_replace_what_began_here() {
    let mut streams = node();
    streams.begin(Ms(10), stream_id("a"), origin("v1"));
    streams.learn(stream_id("a"), &origin("v2"), Ms(20));
    streams.learn(stream_id("b"), &origin("v2"), Ms(20));
    assert_eq!(streams.origin(stream_id("a")), Some(&origin("v1")));
    assert_eq!(streams.origin(stream_id("b")), Some(&origin("v2")));
    streams.expire(Ms(10) + LIFETIME);
    assert_eq!(streams.origin(stream_id("a")), None);
}

#[test]
fn node_that_has_just_started_has_not_seen_all_versions() {
    let streams = node();
    assert!(!streams.has_seen_all(LIFETIME - Ms(1)));
    assert!(streams.has_seen_all(LIFETIME));
}
