//! Conversion between the platform's formats and the types of this crate.

use std::rc::Rc;

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use serde_json::json;
use sycamorefork::endpoint_choice::rendezvous_first;
use sycamorefork::platform::store::{Change, Outcome};
use sycamorefork::platform::{document, entry, headers, order, settings, store};
use sycamorefork::row_version;

fn map(pairs: &[(&str, &str)]) -> HeaderMap {
    let pair = |(k, v): &(&str, &str)| {
        (HeaderName::from_bytes(k.as_bytes()).unwrap(), HeaderValue::from_str(v).unwrap())
    };
    pairs.iter().map(pair).collect()
}

fn lines(map: &HeaderMap) -> String {
    let mut all: Vec<String> =
        map.iter().map(|(k, v)| format!("{k}: {}", v.to_str().unwrap())).collect();
    all.sort();
    all.join("\n")
}

#[test]
fn callers_headers_are_decoded() {
    let ask = headers::parse_request(&map(&[
        ("host", "desk.example:80"),
        ("x-attempt-id", "9c41"),
        ("x-model", "base/a3"),
        ("x-prompt-prefix", "5c1e:800,bad,e4:250"),
        ("x-token-count", "910, 33"),
        ("x-deadline-ms", "6000.5"),
        ("x-length-hint", "44"),
        ("authorization", "Token key"),
        ("resumes", "9c40"),
    ]));
    insta::assert_debug_snapshot!(ask, @r#"
    RequestHeaders {
        attempt: Some(
            "9c41",
        ),
        deadline: Some(
            Ms(
                6000,
            ),
        ),
        key: Some(
            "key",
        ),
        model: Some(
            "base/a3",
        ),
        prompt_tokens: 910,
        max_output: 33,
        has_size: true,
        prompt_parts: [
            PromptPart {
                id: 23582,
                tokens: 800,
            },
            PromptPart {
                id: 228,
                tokens: 250,
            },
        ],
        length_hint: Some(
            44,
        ),
        host: "desk.example:80",
        last_event: None,
        resumes: Some(
            "9c40",
        ),
    }
    "#);
}

// A caller must not be able to set the headers that only this system sets. The caller's key
// and the headers of one connection must not reach an endpoint.
#[test]
fn forwarding_replaces_system_headers_and_drops_key_and_connection_headers() {
    let mut forwarded = map(&[
        ("host", "desk.example"),
        ("authorization", "Token key"),
        ("connection", "keep-alive, x-hop"),
        ("x-hop", "1"),
        ("keep-alive", "timeout=5"),
        ("transfer-encoding", "chunked"),
        ("content-length", "7"),
        ("x-tenant", "forged"),
        ("x-hold", "1"),
        ("x-pin-ms", "1"),
        ("x-kv-backup", "1"),
        ("kv-from", "1"),
        ("x-expect-instance", "forged"),
        ("x-attempt-id", "9c41"),
        ("x-custom", "kept"),
    ]);
    let sent = headers::AddedHeaders {
        instance: "i-7",
        time_left: sycamorefork::time::Ms(1_200),
        team: Some("studio"),
        rank: Some(12),
        version: Some(4),
        last_event: None,
    };
    headers::forward(&mut forwarded, &sent);
    insta::assert_snapshot!(lines(&forwarded), @r"
    host: desk.example
    x-attempt-id: 9c41
    x-custom: kept
    x-deadline-ms: 1200
    x-expect-instance: i-7
    x-expect-version: 4
    x-request-priority: 9
    x-tenant: studio
    ");
}

#[test]
fn response_headers_tell_sealed_closing_and_not_run_answers() {
    let sealed = map(&[
        ("x-attempt-id", "9c41"),
        ("x-server-seal", "3e1b"),
        ("keep-alive", "max=9, timeout=5"),
        ("connection", "Close"),
    ]);
    let reply = headers::parse_response(StatusCode::OK, &sealed);
    assert!(reply.sealed && reply.closes && !reply.not_run && !reply.encoded);
    assert_eq!(reply.idle_timeout, Some(sycamorefork::time::Ms(5_000)));
    assert!(headers::parse_response(StatusCode::MISDIRECTED_REQUEST, &HeaderMap::new()).not_run);
    let full = map(&[("x-not-executed", "1")]);
    assert!(headers::parse_response(StatusCode::SERVICE_UNAVAILABLE, &full).not_run);
    assert!(!headers::parse_response(StatusCode::SERVICE_UNAVAILABLE, &HeaderMap::new()).not_run);
    let limits = ["2.2", " 5 ", "0", "-1", "inf", "fast"];
    let limits = limits
        .map(|l| headers::parse_response(StatusCode::OK, &map(&[("server-limit", l)])).rate_limit);
    assert_eq!(limits, [Some(2.2), Some(5.0), Some(0.0), None, None, None]);
    let times =
        ["2", " 0.5", "0", "-1", "inf", "1e300", "Wed, 21 Oct 2026 07:28:00 GMT"].map(|t| {
            let head = map(&[("retry-after", t)]);
            let parsed = headers::parse_response(StatusCode::SERVICE_UNAVAILABLE, &head);
            assert_eq!(headers::parse_response(StatusCode::OK, &head).retry_after, None);
            parsed.retry_after.map(|t| t.0)
        });
    assert_eq!(times, [Some(2_000), Some(500), Some(0), None, None, Some(86_400_000), None]);
}

fn config() -> serde_json::Value {
    json!({
        "Version": 7, "Unknown": 1,
        "Routes": [
            {"Name": "r1", "Host": "Desk.example", "Prefix": "/a/", "Type": "unsafe",
                "Service": "ledger", "TimeoutMs": 600},
            {"Name": "r2", "Host": "desk.example", "Prefix": "/a/b/", "Type": "streaming",
                "Resumable": true, "GapTargetMs": 400, "TargetLatencyMs": 600,
                "Split": [{"Service": "assist", "Weight": 90}, {"Service": "other", "Weight": 10}]},
        ],
        "Services": [{"Name": "ledger", "MaxConnections": 110}],
        "Limits": {"MaxHeaderBytes": 1, "MaxBodyBytes": 2, "HeaderTimeoutMs": 3, "IdleTimeoutMs": 4},
        "Tenants": [{"Name": "studio", "ApiKeys": ["k1", "k2"], "Unit": "token", "RatePerS": 5.5}],
    })
}

#[test]
fn documents_are_compiled_for_lookups() {
    let routing = document::decode(config().to_string().as_bytes()).unwrap();
    let name = |host: &str, path: &str| routing.route(host, path).map(|r| r.name.to_string());
    assert_eq!(name("desk.example", "/a/1"), Some("r1".to_owned()));
    assert_eq!(name("DESK.example:8080", "/a/b/c"), Some("r2".to_owned()));
    assert_eq!(name("desk.example", "/a"), None);
    assert_eq!(name("other.example", "/a/1"), None);
    let route = routing.route("desk.example", "/a/b/").unwrap();
    assert!(route.kind.repeatable() && route.kind.streams());
    assert_eq!(route.abandon_after(), Some(sycamorefork::time::Ms(3_200)));
    let once = routing.route("desk.example", "/a/").unwrap();
    assert_eq!((once.kind.repeatable(), once.max_attempts, once.abandon_after()), (false, 1, None));
    assert!(Rc::ptr_eq(routing.team("k1").unwrap(), routing.team("k2").unwrap()));
    assert!(routing.team("k3").is_none());
}

#[test]
fn invalid_documents_return_errors_that_name_the_cause() {
    let mut bad = config();
    bad["Routes"][0]["Type"] = json!("sometimes");
    let mut without_service = config();
    without_service["Routes"][0].as_object_mut().unwrap().remove("Service");
    let errors: Vec<String> = [bad.to_string(), without_service.to_string(), "{".to_owned()]
        .iter()
        .map(|text| document::decode(text.as_bytes()).unwrap_err().to_string())
        .collect();
    insta::assert_snapshot!(errors.join("\n"), @r"
    config: route r1: type `sometimes`
    config: route r1: no service
    config: EOF while parsing an object at line 1 column 1
    ");
}

#[test]
fn entries_are_decoded_or_return_errors() {
    let good = json!({"Service": "assist", "Address": "10.0.0.9:80", "Zone": "gent", "Version": "v1",
        "Slots": 64, "State": "draining", "ColdRemainingMs": 0, "RemainingMs": 1500, "Sequence": 4,
        "Models": [{"Name": "base", "Version": 1, "Adapters": ["a3@2", "a9"]}], "born": 17});
    let entry = entry::decode("i-7", good.to_string().as_bytes()).unwrap();
    assert!(entry.leaving);
    assert_eq!(entry.ends_in, Some(sycamorefork::time::Ms(1_500)));
    let held: Vec<(&str, u64)> = entry.adapters.iter().map(|h| (&*h.adapter, h.version)).collect();
    assert_eq!(held, [("base/a3", 2), ("base/a9", 0)]);
    for (field, value) in [
        ("State", json!("asleep")),
        ("Address", json!(7)),
        ("Address", json!("10.0.0.9:0")),
        ("Address", json!("10.0.0.9:99999")),
        ("Slots", json!("many")),
        ("Zone", json!(null)),
    ] {
        let mut bad = good.clone();
        bad[field] = value;
        assert!(entry::decode("i-7", bad.to_string().as_bytes()).is_err(), "{field}");
    }
    assert!(entry::decode("i-7", &[0xff, 0xfe]).is_err());
}

#[test]
fn orders_are_encoded_and_reports_are_decoded() {
    let order = order::Order {
        action: order::Action::Load,
        model: "base",
        adapter: Some("a3"),
        version: Some(2),
        accepted_orders: Some(5),
        holder: "edge-1",
        fence: 41,
    };
    let request = order::order_request(&order, "i-7");
    assert_eq!(request.headers()["x-expect-instance"], "i-7");
    let bytes = format!("{:?}", request.body());
    for part in ["loading", "Expected", "FencingToken", "a3"] {
        assert!(bytes.contains(part), "{part} in {bytes}");
    }
    let report = json!({"Stage": "combined", "Busy": true, "Sequence": 6, "Pending": ["base/a1@3"],
        "Models": [{"Name": "base", "Version": 1, "Adapters": ["a3@2"]}]});
    let report = order::decode_report(report.to_string().as_bytes()).unwrap();
    assert_eq!((report.accepted_orders, report.busy), (6, true));
    assert_eq!(&*report.loaded[0].adapter, "base/a3");
    assert_eq!((&*report.loading[0].adapter, report.loading[0].version), ("base/a1", 3));
}

#[test]
fn store_requests_are_encoded_and_answers_are_decoded() {
    let request = store::rows_request("holders", "", "i 7&").unwrap();
    assert_eq!(request.uri(), "/rows-get?Table=holders&part=&From=i%207%26");
    let change = Change { table: "nodes", key: "edge-1", expected: Some(0), value: Some(b"x") };
    let condition = store::Condition { table: "nodes", key: "n-2", version: 17 };
    let body = format!("{:?}", store::commit_request("", &[change], &[condition]).body());
    assert!(body.contains("Expected") && body.contains("Put"), "{body}");
    assert!(body.replace('\\', "").contains(r#""Key":"n-2","Ver":17"#), "{body}");
    let version = row_version::qualify(3, 17);
    let condition = store::Condition { table: "nodes", key: "n-2", version };
    let body = format!("{:?}", store::commit_request("", &[], &[condition]).body());
    assert!(body.replace('\\', "").contains(r#""Ver":17"#), "{body}");
    assert_eq!(
        store::feed_request("op", version, 5).unwrap().uri(),
        "/rows-feed?Table=op&after=17&WaitMs=5"
    );
    let rows = json!({"Rows": [{"Table": "op", "part": "", "Key": "k", "Value": "eA==", "Ver": 3},
        {"Table": "op", "part": "", "Key": "gone", "Removed": true}], "Ver": 9, "NowMs": 1});
    let rows = store::decode_rows(0, StatusCode::OK, rows.to_string().as_bytes()).unwrap();
    let Outcome::Done(rows) = rows else { panic!("{rows:?}") };
    assert_eq!((rows.version, rows.rows[0].value.as_slice()), (9, b"x".as_slice()));
    assert!(rows.rows[1].removed);
    let era = |text| store::era(&map(&[("store-era", text)]));
    assert_eq!([era("3"), era("x")], [Some(3), None]);
    let status = |n: u16| store::decode_rows(0, StatusCode::from_u16(n).unwrap(), b"");
    assert_eq!(status(410).unwrap(), Outcome::Refused);
    assert_eq!(status(503).unwrap(), Outcome::Unavailable(503));
    assert!(status(500).is_err());
}

#[test]
fn settings_error_lists_all_missing_fields() {
    let error = settings::decode(r#"{"NodeName": "edge-1", "Ip": "not an address"}"#).unwrap_err();
    insta::assert_snapshot!(error.to_string(), @"settings: missing or malformed: Ip, Zone, Listen.Frontend, Listen.Ready, InternalPorts, Platform.Address, Limits.MemoryMb, Limits.MaxFds, Bounds.GraceS, Bounds.DrainMs, Bounds.LeaseMs, Bounds.version_ms, Bounds.RetryBudgetRatio, Bounds.RetryWindowS, Bounds.RetrySlack, Bounds.QuotaTolerance, HeartbeatMs, Zones");
}

// All nodes compute the same endpoint for a name; the names must be spread evenly.
#[test]
fn rendezvous_hashing_spreads_names_evenly() {
    let ids: Vec<String> = (0..9).map(|n| format!("i-{n}")).collect();
    let mut counts = vec![0; ids.len()];
    for n in 0..9_000 {
        let name = format!("base/a{n}");
        let at = rendezvous_first(&name, ids.iter().map(String::as_str)).unwrap();
        counts[ids.iter().position(|id| id == at).unwrap()] += 1;
    }
    assert!(counts.iter().all(|n| (800..1_200).contains(n)), "{counts:?}");
}
