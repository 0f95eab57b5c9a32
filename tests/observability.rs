//! Refusal records, burn rates of service-level objectives, log lines and metrics.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};

use common::{FakePlatform, Fault, block_on, check_property};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use sycamorefork::burn_rate::{BURN_WINDOWS, BurnCounts};
use sycamorefork::ids::{RequestId, Route, Team};
use sycamorefork::keys::Secret;
use sycamorefork::logging::{LogFields, render_line};
use sycamorefork::metrics::{METRICS, Metrics};
use sycamorefork::refusal_record::{
    Recorder, RecorderLimits, RefusalRecord, RefusalRunStatus, format_day, format_instant,
    parse_instant,
};
use sycamorefork::refusal_store::{Filter, query, write_batch};
use sycamorefork::refusal_writer;
use sycamorefork::storage::Objects;
use sycamorefork::time::{Ms, wall_clock};

const DAY: u64 = 86_400_000;
/// 2026-12-03T23:59:50Z, shortly before midnight.
const START: u64 = 1_796_342_390_000;

fn refusal(at: u64, n: u64) -> RefusalRecord {
    let reason = ["over_rate", "no_endpoint", "deadline"][n as usize % 3];
    let mut r = RefusalRecord::new(Ms(at), format!("req{n}"), "chat", reason, RefusalRunStatus::No);
    r.team = Some(["a", "b"][n as usize % 2].into());
    r.fact("level", 12).fact("serial", 7)
}

// Guards against records that are lost without a gap record, stored twice or not found by
// their id, and against unbounded memory, when the store is down, requests or answers are
// lost and object names are taken.
#[test]
fn every_refusal_is_stored_once_or_counted_in_a_gap() {
    fn check_seed(seed: u64) -> bool {
        let mut rng = SmallRng::seed_from_u64(seed);
        let fake = FakePlatform::default();
        let limits =
            RecorderLimits { records: 30, bytes: 6000, batch_bytes: 900, batch_age: Ms(4000) };
        let mut recorder = Recorder::new("n1".into(), limits);
        // An earlier process with the same node name has left an object.
        fake.with_state(|s| {
            s.objects.insert(format!("refusals/{}/n1/{:012}", format_day(START), 0), "".into())
        });
        let (mut now, mut ids) = (START, Vec::new());
        for n in 0..200 {
            now += rng.random_range(0..800);
            if rng.random_range(0..100) == 0 {
                now -= 3_600_000; // Sets the wall clock back.
            }
            ids.push(recorder.push(refusal(now, n)));
            let stats = recorder.stats();
            assert!(
                stats.bytes <= 2 * limits.bytes && stats.records <= 2 * limits.records,
                "seed {seed}"
            );
            if n % 40 == 0 {
                fake.with_state(|s| s.down = rng.random_range(0..2) == 0);
            }
            for _ in 0..rng.random_range(0..3) {
                let fault = [Fault::None, Fault::None, Fault::LoseRequest, Fault::LoseAnswer]
                    [rng.random_range(0..4)]
                .clone();
                fake.with_state(|s| s.put_faults.push_back(fault));
                if let Some(batch) = recorder.next_batch(Ms(now), false) {
                    let stored = block_on(write_batch(&fake, &batch));
                    recorder.on_stored(Ms(now), stored);
                }
            }
        }
        fake.with_state(|s| {
            s.down = false;
            s.put_faults.clear();
        });
        for _ in 0..200 {
            now += 31_000;
            while let Some(batch) = recorder.next_batch(Ms(now), false) {
                let stored = block_on(write_batch(&fake, &batch));
                recorder.on_stored(Ms(now), stored);
            }
        }
        assert!(recorder.is_empty() && recorder.stats().bytes == 0, "seed {seed}");
        let found = block_on(query(&fake, &Filter::default())).unwrap();
        let stored: BTreeSet<&str> = found.refusals.iter().map(|r| r.id.as_str()).collect();
        assert_eq!(stored.len(), found.refusals.len(), "seed {seed}: stored twice");
        let lost: u64 = found.gaps.iter().map(|g| g.lost).sum();
        assert_eq!(stored.len() as u64 + lost, 200, "seed {seed}");
        assert_eq!(lost, recorder.stats().lost, "seed {seed}");
        assert!(
            found.gaps.iter().all(|g| g.reasons.values().sum::<u64>() == g.lost),
            "seed {seed}"
        );
        for (n, id) in ids.iter().enumerate().filter(|(n, _)| n % 17 == 0) {
            let filter = Filter { id: Some(id.clone()), ..Filter::default() };
            let one = block_on(query(&fake, &filter)).unwrap();
            let in_gap =
                found.gaps.iter().any(|g| (g.first..g.first + g.lost).contains(&(n as u64)));
            assert_eq!(one.refusals.len(), usize::from(!in_gap), "seed {seed}: {id}");
        }
        true
    }
    check_property(0x51_0003, 150, check_seed as fn(u64) -> bool);
}

// Guards against records that are lost when a node shuts down, filters that omit matching
// records or return others, and texts of callers that fill the buffer, contain keys or
// control the terminal.
#[test]
fn shutdown_flushes_records_and_queries_filter_them() {
    let fake = FakePlatform::default();
    let recorder = Arc::new(Mutex::new(Recorder::new("n1".into(), RecorderLimits::default())));
    for n in 0..6 {
        recorder.lock().unwrap().push(refusal(START + n * 4000, n));
    }
    let left = block_on(async {
        let (stop, stopped) = tokio::sync::watch::channel(false);
        let task = tokio::spawn(refusal_writer::run(recorder.clone(), fake.clone(), stopped));
        // Adds a record while the writer runs; it is not due before the shutdown.
        tokio::task::yield_now().await;
        recorder.lock().unwrap().push(refusal(wall_clock().0, 6));
        stop.send(true).unwrap();
        task.await.unwrap()
    });
    assert_eq!(left, 0);
    let find = |filter: Filter| block_on(query(&fake, &filter)).unwrap();
    assert_eq!(find(Filter::default()).refusals.len(), 7);
    let period = Filter { from: Some(START + 4000), to: Some(START + 20_000), ..Filter::default() };
    let b = Filter { team: Some("b".into()), ..period.clone() };
    insta::assert_snapshot!(find(b).text(), @r#"
2026-12-03T23:59:54.000Z 2026-12-03.n1.1 team=b key=- target=chat reason=no_endpoint ran=no request=req1 level=12 serial=7
2026-12-04T00:00:02.000Z 2026-12-04.n1.3 team=b key=- target=chat reason=over_rate ran=no request=req3 level=12 serial=7
"#);
    assert_eq!(find(Filter { reason: Some("deadline".into()), ..period }).refusals.len(), 1);
    assert_eq!(find(Filter { id: Some("req5".into()), ..Filter::default() }).refusals.len(), 1);
    block_on(fake.put_new("refusals/2026-12-04/n1/9", "{broken\n".into())).unwrap();
    assert_eq!(find(Filter::default()).unreadable, 1);
    let mut hostile = refusal(START, 0).fact("note", "x".repeat(100_000));
    hostile.target = format!("sf_0123456789abcdefghij{}\u{1b}[2J", "y".repeat(50));
    let mut recorder = Recorder::new("n2".into(), RecorderLimits::default());
    recorder.push(hostile);
    let batch = recorder.next_batch(Ms(START), true).unwrap();
    block_on(write_batch(&fake, &batch));
    let shown = find(Filter { id: Some("req0".into()), ..Filter::default() }).text();
    assert!(shown.len() < 1000 && !shown.contains("sf_") && !shown.contains('\u{1b}'), "{shown}");
    let long = Filter { from: Some(0), to: Some(START), ..Filter::default() };
    assert!(block_on(query(&fake, &long)).is_err());
}

// Guards against records stored under the wrong day, which queries for a period miss.
#[test]
fn day_and_instant_formats_match_the_calendar() {
    assert_eq!(format_instant(0), "1970-01-01T00:00:00.000Z");
    assert_eq!(format_instant(START), "2026-12-03T23:59:50.000Z");
    assert_eq!(format_day(951_782_400_000), "2000-02-29");
    assert_eq!(format_day(4_107_542_400_000), "2100-03-01");
    for days in 0..60_000 {
        assert_eq!(parse_instant(&format_day(days * DAY)).unwrap(), days * DAY);
    }
    assert_eq!(parse_instant("2026-12-03T23:59:50Z").unwrap(), START);
    assert!(parse_instant("yesterday").is_err() && parse_instant("2026-13-01").is_err());
}

// Guards against burn rates that count answers outside the window, omit answers inside it,
// or depend on how answers are spread over nodes.
#[test]
fn burn_agrees_with_a_plain_count_and_merges_exactly() {
    fn check_seed(seed: u64) -> bool {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut nodes = [BurnCounts::default(), BurnCounts::default(), BurnCounts::default()];
        let mut whole = BurnCounts::default();
        let mut events = Vec::new();
        let (teams, routes) =
            ([Team::from("a"), Team::from("b")], [Route::from("chat"), Route::from("book")]);
        let mut now = START;
        for _ in 0..400 {
            let step = [100, 60_000, 4_000_000][rng.random_range(0..3)];
            now += rng.random_range(0..step);
            let (t, r, good) =
                (rng.random_range(0..2), rng.random_range(0..2), rng.random_range(0..10) > 1);
            let weight = [1.0, 4.0][r];
            let node = rng.random_range(0..3);
            // Answers are not recorded in the order of their times.
            let at = now - rng.random_range(0..5000);
            nodes[node].record(Ms(at), &teams[t], &routes[r], 0.99, weight, good);
            whole.record(Ms(at), &teams[t], &routes[r], 0.99, weight, good);
            events.push((at, t, r, weight, good));
        }
        let mut merged = BurnCounts::default();
        for node in &nodes {
            // Serialized, as the operator's client receives it.
            let wire = serde_json::to_string(node).unwrap();
            merged.merge(&serde_json::from_str(&wire).unwrap());
        }
        let report = merged.report(Ms(now));
        assert_eq!(report, whole.report(Ms(now)), "seed {seed}");
        for row in &report.rows {
            for (w, (_, length)) in row.windows.iter().zip(BURN_WINDOWS) {
                let width = length.0 / 30;
                let first = (now / width).saturating_sub(29) * width;
                let sum = |wanted: bool| -> f64 {
                    let own = |e: &&(u64, usize, usize, f64, bool)| {
                        teams[e.1] == row.team
                            && routes[e.2] == row.route
                            && e.0 >= first
                            && e.4 == wanted
                    };
                    events.iter().filter(own).map(|e| e.3).sum()
                };
                assert_eq!((w.good, w.bad), (sum(true), sum(false)), "seed {seed} {}", w.window);
            }
        }
        true
    }
    check_property(0x51_0004, 100, check_seed as fn(u64) -> bool);
    let mut burn = BurnCounts::default();
    for n in 0..1000 {
        burn.record(Ms(START - n * 20_000), &"a".into(), &"chat".into(), 0.99, 1.0, n % 50 != 0);
    }
    burn.record(Ms(START - DAY), &"b".into(), &"ledger".into(), 0.999, 4.0, true);
    insta::assert_snapshot!(burn.report(Ms(START)).text(), @r#"
team             route            objective         5m         1h         6h         3d
a                chat                  0.99       6.67       2.22       2.00       2.00
b                ledger               0.999          -          -          -       0.00
"#);
}

// Guards against keys in the log, and against message texts that forge or break fields.
#[test]
fn log_lines_are_json_with_fields_and_without_keys() {
    let secret = Secret::new("sf_not-for-the-log");
    assert_eq!(format!("{secret} {secret:?} {:?}", Some(&secret)), "[key] [key] Some([key])");
    let fields = LogFields::default().request(RequestId(255)).team(&"a\u{1f}\"b".into());
    let message = format!("{fields}refused \"x\"\n\u{1f}{{\"team\":\"forged\"}}\u{1f}");
    let line = render_line("now", "INFO", "node", &message);
    assert!(!line.contains('\n'));
    let line: BTreeMap<String, String> = serde_json::from_str(&line).unwrap();
    assert_eq!(line["team"], "a\u{1f}\"b");
    assert_eq!(line["request"], format!("{:032x}", 255));
    assert!(line["message"].starts_with("refused") && !line.contains_key("attempt"));
}

// Guards against metric names, tags or values that differ from the documented ones.
#[test]
fn metrics_have_the_documented_form() {
    let (rx, sink) = cadence::SpyMetricSink::new();
    let metrics = Metrics::with_sink(sink);
    metrics.refusals(2, "a", "over_rate");
    metrics.first_token(340, "chat");
    metrics.serial(7);
    let sent: Vec<String> = rx.iter().take(3).map(|m| String::from_utf8(m).unwrap()).collect();
    insta::assert_snapshot!(sent.join("\n"), @r#"
sycamorefork.refusals:2|c|#team:a,reason:over_rate
sycamorefork.first_token:340|h|#route:chat
sycamorefork.serial:7|g
"#);
    let names: Vec<&str> = METRICS.iter().map(|m| m.name).collect();
    let mut sorted = names.clone();
    sorted.sort_unstable();
    sorted.dedup();
    assert_eq!(names, sorted, "metric names are unique and sorted");
}
