//! Tests edge nodes as processes against stand-ins of the platform.

use std::process::{Command, Stdio};
use std::time::Duration;

use prost::Message;
use serde_json::json;
use standin::caller::{CallerRequest, HOST, KEY, exchange, read_answer, wait_until};
use standin::endpoint_instance::EndpointFault;
use standin::node::{Node, NodeAddresses, program_path, settings};
use standin::row_store::{self, FIRST_ERA};
use standin::test_setup::{TestSetup, document};
use sycamorefork::generated::mesh;
use sycamorefork::row_version;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpStream, UdpSocket};
use tokio::time::sleep;

#[tokio::test]
async fn requests_are_forwarded_with_their_team_and_without_the_key() {
    let world = TestSetup::start().await;
    let node = Node::start("edge-plain", world.store_address()).await;
    let mut ask = CallerRequest::new("POST /enter/1?x=2", "a1")
        .with_header("X-Tenant", "forged")
        .with_header("X-Hold", "h");
    ask.body = "consignment";
    let answer = ask.send(&node).await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "answer to a1"));
    assert!(answer.headers["x-server-seal"].contains("a1"));
    let runs: Vec<_> = world.ledger.iter().flat_map(|e| e.runs()).collect();
    let run = &runs[0];
    assert_eq!((run.path.as_str(), run.body.as_slice()), ("/enter/1", b"consignment".as_slice()));
    assert_eq!(run.headers.get("x-tenant").map(String::as_str), Some("studio"));
    assert!(run.headers.contains_key("x-expect-instance"));
    for name in ["authorization", "x-hold"] {
        assert!(!run.headers.contains_key(name), "{name}");
    }
}

#[tokio::test]
async fn refusals_name_their_reason() {
    let world = TestSetup::start().await;
    let node = Node::start("edge-refuse", world.store_address()).await;
    let mut unknown = CallerRequest::new("GET /look/1", "b1");
    unknown.headers = "Authorization: Token nobody\r\n".to_owned();
    let no_route = CallerRequest::new("GET /nowhere/1", "b2");
    let long = "x".repeat(200_000);
    let mut large = CallerRequest::new("POST /enter/1", "b3");
    large.body = &long;
    let over = CallerRequest::new("POST /ask/1", "b4").with_header("X-Token-Count", "90000000,10");
    let mut seen = Vec::new();
    for ask in [&unknown, &no_route, &large] {
        let answer = ask.send(&node).await;
        seen.push(format!("{} {}", answer.status, answer.body));
    }
    let answer = over.send(&node).await;
    assert!(answer.headers.contains_key("retry-after"));
    seen.push(format!("{} {}", answer.status, answer.body));
    insta::assert_snapshot!(seen.join("\n"), @r"
    401 unknown_key
    404 no_route
    413 body_too_large
    429 over_rate
    ");
}

// A caller that sends its whole body before it reads must still receive the refusal, although
// the node rejects the request early.
#[tokio::test]
async fn refusal_of_a_large_body_can_be_read() {
    let world = TestSetup::start().await;
    let node = Node::start("edge-large", world.store_address()).await;
    let cases = [("/enter/1", 413, "body_too_large"), ("/nowhere", 404, "no_route")];
    for (path, status, reason) in cases {
        let mut caller = TcpStream::connect(node.addresses.frontend).await.unwrap();
        let length = 40 << 20;
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: large\r\n\
             Authorization: Token {KEY}\r\nContent-Length: {length}\r\n\r\n"
        );
        caller.write_all(head.as_bytes()).await.unwrap();
        let piece = vec![b'x'; 1 << 20];
        for _ in 0..length / piece.len() {
            caller.write_all(&piece).await.expect("the node reads on");
        }
        let answer = read_answer(&mut caller).await.expect("an answer");
        assert_eq!((answer.status, answer.body.as_str()), (status, reason));
    }
}

#[tokio::test]
async fn holder_loads_adapters_and_streams_arrive_complete() {
    let world = TestSetup::start().await;
    let node = Node::start("edge-stream", world.store_address()).await;
    wait_until("the engine has a holder", || async { !world.assist.reports().is_empty() }).await;
    for (attempt, adapter) in [("c1", "a1"), ("c2", "a2"), ("c3", "a3"), ("c4", "a1")] {
        let model = format!("base/{adapter}");
        let ask = CallerRequest::new("POST /ask/1", attempt).with_header("X-Model", &model);
        let answer = ask.with_header("X-Token-Count", "10,5").send(&node).await;
        assert_eq!((answer.status, answer.whole), (200, true), "{attempt}: {answer:?}");
        assert_eq!(answer.body.matches("data: token").count(), 3, "{answer:?}");
    }
    let orders = world.assist.orders();
    let holders: Vec<&str> = orders.iter().filter_map(|o| o["Holder"].as_str()).collect();
    assert!(holders.iter().all(|h| *h == "edge-stream"), "{holders:?}");
    let fences: Vec<u64> = orders.iter().filter_map(|o| o["FencingToken"].as_u64()).collect();
    assert!(fences.is_sorted(), "{fences:?}");
}

#[tokio::test]
async fn new_adapter_version_is_loaded_and_required_for_new_requests() {
    let world = TestSetup::start().await;
    let node = Node::start("edge-version", world.store_address()).await;
    wait_until("the engine has a holder", || async { !world.assist.reports().is_empty() }).await;
    let ask =
        |attempt| CallerRequest::new("POST /ask/1", attempt).with_header("X-Model", "base/a1");
    assert_eq!(ask("v1").send(&node).await.status, 200);
    let named = json!({"Model": "base", "Adapter": "a1", "Version": 4});
    world.rows.put("op", "version/base.a1", &named);
    sleep(Duration::from_secs(1)).await;
    assert_eq!(ask("v2").send(&node).await.status, 200);
    let runs = world.assist.runs();
    let versions: Vec<_> =
        runs.iter().map(|r| r.headers.get("x-expect-version").cloned()).collect();
    assert_eq!(versions, [None, Some("4".to_owned())]);
    let loads = world.assist.orders();
    assert!(loads.iter().any(|o| o["Version"] == 4), "{loads:?}");
}

#[tokio::test]
async fn unsafe_request_with_unknown_outcome_runs_once_and_gets_502() {
    let world = TestSetup::start().await;
    let node = Node::start("edge-once", world.store_address()).await;
    let cases = [
        EndpointFault::Resets,
        EndpointFault::Foreign,
        EndpointFault::Cut,
        EndpointFault::Overloaded,
        EndpointFault::Unnamed,
    ];
    for (n, fault) in cases.into_iter().enumerate() {
        for e in &world.ledger {
            e.set_fault(fault);
        }
        let attempt = format!("d{n}");
        let answer = CallerRequest::new("POST /enter/1", &attempt).send(&node).await;
        assert_eq!((answer.status, world.run_count(&attempt)), (502, 1), "{fault:?}: {answer:?}");
    }
}

#[tokio::test]
async fn reads_and_calls_that_did_not_run_are_retried() {
    let world = TestSetup::start().await;
    let node = Node::start("edge-again", world.store_address()).await;
    world.ledger[0].set_fault(EndpointFault::Resets);
    for n in 0..6 {
        let answer = CallerRequest::new("GET /look/1", &format!("e{n}")).send(&node).await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    world.ledger[0].set_fault(EndpointFault::Full);
    for n in 0..6 {
        let attempt = format!("f{n}");
        let answer = CallerRequest::new("POST /enter/1", &attempt).send(&node).await;
        assert_eq!((answer.status, world.run_count(&attempt)), (200, 1), "{answer:?}");
    }
}

#[tokio::test]
async fn surplus_answers_of_an_endpoint_reach_no_caller() {
    let world = TestSetup::start().await;
    let node = Node::start("edge-extra", world.store_address()).await;
    for e in &world.ledger {
        e.set_fault(EndpointFault::Extra);
    }
    for n in 0..20 {
        let attempt = format!("g{n}");
        let answer = CallerRequest::new("GET /look/1", &attempt).send(&node).await;
        assert_eq!((answer.status, answer.body), (200, format!("answer to {attempt}")));
    }
}

// A second copy of an answer may arrive when its connection carries the next request.
#[tokio::test]
async fn late_copy_of_an_answer_reaches_no_other_caller() {
    let world = TestSetup::start().await;
    let node = Node::start("edge-copy", world.store_address()).await;
    for e in &world.ledger {
        e.set_fault(EndpointFault::LateCopy);
    }
    for n in 0..20 {
        let attempt = format!("i{n}");
        let answer = CallerRequest::new("POST /enter/1", &attempt).send(&node).await;
        let own = (200, format!("answer to {attempt}"));
        let unknown = (502, "foreign_answer".to_owned());
        assert!([own, unknown].contains(&(answer.status, answer.body)), "{attempt}");
        assert_eq!(world.run_count(&attempt), 1);
    }
}

// A second copy of an endpoint's refusal must not refuse the same request's next send.
#[tokio::test]
async fn late_copy_of_a_refusal_does_not_make_a_request_run_twice() {
    let world = TestSetup::start().await;
    // One of the nodes does not hold the engine and has to ask for the adapter.
    let nodes = [
        Node::start("edge-refusal-1", world.store_address()).await,
        Node::start("edge-refusal-2", world.store_address()).await,
    ];
    wait_until("the engine has a holder", || async { !world.assist.reports().is_empty() }).await;
    for node in &nodes {
        wait_until("the adapter is loaded", || async {
            let ask = CallerRequest::new("POST /ask/1", "j0").with_header("X-Model", "base/a1");
            ask.send(node).await.status == 200
        })
        .await;
    }
    world.assist.set_fault(EndpointFault::LateCopy);
    for (node, attempt) in nodes.iter().zip(["j1", "j2"]) {
        world.assist.refuse_next(1);
        let ask = CallerRequest::new("POST /ask/1", attempt).with_header("X-Model", "base/a1");
        ask.send(node).await;
        let runs = world.assist.runs().iter().filter(|r| r.attempt == attempt).count();
        assert!(runs <= 1, "{runs} runs");
    }
}

#[tokio::test]
async fn withdrawn_key_is_refused_within_two_seconds_and_older_documents_are_ignored() {
    let world = TestSetup::start().await;
    let node = Node::start("edge-keys", world.store_address()).await;
    assert_eq!(CallerRequest::new("GET /look/1", "h1").send(&node).await.status, 200);
    world.rows.put("op", "config", &document(7, &["other"]));
    sleep(Duration::from_secs(2)).await;
    assert_eq!(CallerRequest::new("GET /look/1", "h2").send(&node).await.status, 401);
    world.rows.put("op", "config", &document(5, &[KEY]));
    sleep(Duration::from_millis(500)).await;
    assert_eq!(CallerRequest::new("GET /look/1", "h3").send(&node).await.status, 401);
    // The feed's history is gone, so the node reads the table again in full.
    world.rows.compact();
    world.rows.put("op", "config", &document(9, &[KEY]));
    sleep(Duration::from_secs(2)).await;
    assert_eq!(CallerRequest::new("GET /look/1", "h4").send(&node).await.status, 200);
}

#[tokio::test]
async fn unreadable_rows_change_nothing() {
    let world = TestSetup::start().await;
    let node = Node::start("edge-rows", world.store_address()).await;
    world.rows.put("op", "config", &json!({"Version": 90, "Routes": "none"}));
    world.rows.put("servers", "i-7", &json!({"Service": "ledger", "State": "asleep"}));
    sleep(Duration::from_secs(1)).await;
    for n in 0..6 {
        assert_eq!(
            CallerRequest::new("GET /look/1", &format!("r{n}")).send(&node).await.status,
            200
        );
    }
}

#[tokio::test]
async fn leaving_endpoints_get_no_work() {
    let world = TestSetup::start().await;
    let node = Node::start("edge-leave", world.store_address()).await;
    world.rows.put("servers", "i-1", &world.ledger[0].entry("draining"));
    world.rows.remove("servers", "i-9");
    sleep(Duration::from_secs(2)).await;
    let before = world.ledger[0].runs().len();
    for n in 0..10 {
        assert_eq!(
            CallerRequest::new("GET /look/1", &format!("l{n}")).send(&node).await.status,
            200
        );
    }
    assert_eq!(world.ledger[0].runs().len(), before);
    let answer = CallerRequest::new("POST /ask/1", "l99").send(&node).await;
    assert_eq!((answer.status, answer.body.as_str()), (503, "no_endpoint"));
}

#[tokio::test]
async fn stopping_node_completes_streams_and_releases_its_lease() {
    let world = TestSetup::start().await;
    let mut node = Node::start("edge-stop", world.store_address()).await;
    world.assist.set_stream(30, Duration::from_millis(100));
    let front = node.addresses.frontend;
    let ask = CallerRequest::new("POST /ask/1", "s1").bytes();
    let stream = tokio::spawn(async move { exchange(front, &ask).await });
    wait_until("the stream runs", || async { !world.assist.runs().is_empty() }).await;
    node.terminate();
    sleep(Duration::from_millis(300)).await;
    assert!(!node.is_ready().await);
    // Until the balancer notices the stop, requests are served and their connections closed.
    let answer = CallerRequest::new("GET /look/1", "s2").send(&node).await;
    assert_eq!((answer.status, answer.headers["connection"].as_str()), (200, "close"));
    let answer = stream.await.unwrap().unwrap();
    assert_eq!((answer.status, answer.whole), (200, true));
    assert_eq!(answer.body.matches("data: token").count(), 30);
    assert_eq!(node.wait_exit().await, Some(0));
    let row = world.rows.value("nodes", "edge-stop").expect("the node's row");
    assert_eq!(row["released"], true, "{row}");
}

#[tokio::test]
async fn endpoint_stops_when_its_caller_leaves() {
    let world = TestSetup::start().await;
    let node = Node::start("edge-gone", world.store_address()).await;
    world.assist.set_stream(1_000, Duration::from_millis(50));
    let mut caller = TcpStream::connect(node.addresses.frontend).await.unwrap();
    caller.write_all(&CallerRequest::new("POST /ask/1", "t1").bytes()).await.unwrap();
    wait_until("the stream runs", || async { !world.assist.runs().is_empty() }).await;
    drop(caller);
    wait_until("the endpoint is told", || async { world.assist.aborted_runs() == 1 }).await;
}

#[tokio::test]
async fn cut_stream_does_not_look_complete() {
    let world = TestSetup::start().await;
    let node = Node::start("edge-cut", world.store_address()).await;
    world.assist.set_fault(EndpointFault::Cut);
    let answer = CallerRequest::new("POST /ask/1", "u1").send(&node).await;
    assert!(!answer.whole, "{answer:?}");
}

#[tokio::test]
async fn requests_are_served_during_a_store_outage() {
    let world = TestSetup::start().await;
    let node = Node::start("edge-away", world.store_address()).await;
    let faults = [
        row_store::RowStoreFault::Refuses(503),
        row_store::RowStoreFault::Silent,
        row_store::RowStoreFault::Refuses(429),
    ];
    for (n, fault) in faults.into_iter().enumerate() {
        world.rows.set_fault(fault);
        sleep(Duration::from_millis(700)).await;
        let answer = CallerRequest::new("GET /look/1", &format!("w{n}")).send(&node).await;
        assert_eq!(answer.status, 200, "{fault:?}");
    }
}

#[tokio::test]
async fn node_without_a_configuration_refuses_requests_and_a_peer_serves_its_state() {
    let world = TestSetup::start().await;
    let first = Node::start("edge-first", world.store_address()).await;
    world.rows.set_fault(row_store::RowStoreFault::Refuses(503));
    // Nodes of one test share an IP address, so the first one cannot be a seed node of the second,
    // which therefore stays without a configuration.
    let second = Node::start_unready("edge-second", world.store_address());
    sleep(Duration::from_millis(500)).await;
    assert!(!second.is_ready().await);
    let answer = CallerRequest::new("GET /look/1", "x1").send(&second).await;
    assert_eq!((answer.status, answer.body.as_str()), (503, "no_configuration"));
    let state = exchange(first.addresses.internal, b"GET /state HTTP/1.1\r\nHost: p\r\n\r\n").await;
    assert!(state.unwrap().body.contains("desk.example"));
}

#[tokio::test]
async fn metrics_count_requests_and_refusals() {
    let world = TestSetup::start().await;
    let node = Node::start("edge-metrics", world.store_address()).await;
    CallerRequest::new("GET /look/1", "y1").send(&node).await;
    CallerRequest::new("GET /nowhere/1", "y2").send(&node).await;
    let page = exchange(node.addresses.internal, b"GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n").await;
    let text = page.unwrap().body;
    for line in [
        "sycamorefork_requests{team=\"studio\",route=\"look\"} 1",
        "sycamorefork_answers{team=\"studio\",route=\"look\"} 1",
        "sycamorefork_refusals{team=\"\",reason=\"no_route\"} 1",
        "sycamorefork_request_time_count{route=\"look\"} 1",
        "sycamorefork_request_time_count{route=\"\"} 1",
        "sycamorefork_serial 3",
    ] {
        assert!(text.contains(line), "{line} in {text}");
    }
}

#[test]
fn settings_with_missing_fields_exit_with_status_4() {
    let mut value = settings("edge-bad", &NodeAddresses::free(), "127.0.0.1:9".parse().unwrap());
    value.as_object_mut().unwrap().remove("NodeName");
    value["Platform"] = json!({"Address": 7});
    let path = std::env::temp_dir().join(format!("edge-bad-{}.json", std::process::id()));
    std::fs::write(&path, value.to_string()).unwrap();
    let output =
        Command::new(program_path()).args(["edge", "--settings"]).arg(&path).output().unwrap();
    assert_eq!(output.status.code(), Some(4));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(text.trim(), "settings: missing or malformed: NodeName, Platform.Address");
}

#[tokio::test]
async fn changed_settings_file_is_read_again_without_a_signal() {
    let world = TestSetup::start().await;
    let mut value = settings("edge-file", &NodeAddresses::free(), world.store_address());
    let path = std::env::temp_dir().join(format!("edge-file-{}.json", std::process::id()));
    std::fs::write(&path, value.to_string()).unwrap();
    let mut command = Command::new(program_path());
    command.args(["edge", "--settings"]).arg(&path).stdout(Stdio::piped());
    let mut child = command.spawn().unwrap();
    sleep(Duration::from_millis(1_500)).await;
    value.as_object_mut().unwrap().remove("Zone");
    std::fs::write(&path, value.to_string()).unwrap();
    sleep(Duration::from_millis(2_500)).await;
    child.kill().unwrap();
    let text = String::from_utf8(child.wait_with_output().unwrap().stdout).unwrap();
    let line = text.lines().find(|l| l.contains("settings_refused")).expect("a line");
    assert!(line.contains("\"cause\":\"change\"") && line.contains("Zone"), "{line}");
}

// Nodes that start at the same time must read each other's rows. Otherwise neither would count
// the other's admissions, and one of them would hold all engines.
#[tokio::test]
async fn nodes_that_start_together_list_each_other() {
    let world = TestSetup::start().await;
    let first = Node::start_unready("edge-pair-1", world.store_address());
    let second = Node::start_unready("edge-pair-2", world.store_address());
    for node in [&first, &second] {
        node.until_ready().await;
    }
    wait_until("both have rows", || async { world.rows.keys("nodes").len() == 2 }).await;
    for node in [&first, &second] {
        wait_until("the other is heard and listed", || async {
            let page = b"GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n";
            let text = exchange(node.addresses.internal, page).await.unwrap().body;
            text.contains("sycamorefork_nodes 2") && text.contains("sycamorefork_heard 2")
        })
        .await;
    }
}

/// Sends a node a heartbeat of a peer that says which endpoints have left, and the versions of
/// the rows that show it.
async fn send_leaves(node: &Node, endpoints: &[&str], version: u64) {
    let beat = mesh::Beat {
        leaving: endpoints.iter().map(ToString::to_string).collect(),
        leaving_versions: vec![row_version::qualify(FIRST_ERA, version); endpoints.len()],
        ..mesh::Beat::default()
    };
    let datagram = mesh::Datagram {
        node: "peer".to_owned(),
        start: 1,
        beat: Some(beat),
        ..mesh::Datagram::default()
    };
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    socket.send_to(&datagram.encode_to_vec(), node.addresses.internal).await.unwrap();
    sleep(Duration::from_millis(300)).await;
}

// A peer that has not read yet that an entry is back still says that the endpoint has left.
#[tokio::test]
async fn older_news_of_a_leave_does_not_retire_an_endpoint() {
    let world = TestSetup::start().await;
    let node = Node::start("edge-old-leave", world.store_address()).await;
    let look = async |attempt| {
        let answer = CallerRequest::new("GET /look/1", attempt).send(&node).await;
        (answer.status, answer.body)
    };
    // The entries are rows 2 and 3 of the store.
    send_leaves(&node, &["i-1", "i-2"], 1).await;
    assert_eq!(look("m1").await.0, 200);
    send_leaves(&node, &["i-1", "i-2"], 8).await;
    assert_eq!(look("m2").await, (503, "no_endpoint".to_owned()));
    for n in 0..8 {
        world.rows.put("other", "row", &json!(n));
    }
    world.rows.put("servers", "i-1", &world.ledger[0].entry("ready"));
    wait_until("a newer entry is used", || async { look("m3").await.0 == 200 }).await;
}

// A node that starts while the store is away gets its endpoints from a peer.
#[tokio::test]
async fn state_for_peers_leaves_out_endpoints_that_have_left() {
    let world = TestSetup::start().await;
    let node = Node::start("edge-state", world.store_address()).await;
    send_leaves(&node, &["i-1"], 8).await;
    let page = exchange(node.addresses.internal, b"GET /state HTTP/1.1\r\nHost: p\r\n\r\n").await;
    let text = page.unwrap().body;
    assert!(!text.contains("i-1") && text.contains("i-2"), "{text}");
}

// A node that is cut off from the store asks for the version of an adapter that it knows.
#[tokio::test]
async fn holder_loads_no_version_older_than_the_one_it_knows() {
    let world = TestSetup::start().await;
    world.rows.put(
        "op",
        "version/base.a1",
        &json!({"Model": "base", "Adapter": "a1", "Version": 4}),
    );
    let node = Node::start("edge-older", world.store_address()).await;
    wait_until("the engine has a holder", || async { !world.assist.reports().is_empty() }).await;
    let want = mesh::Want {
        endpoint: "i-9".to_owned(),
        adapter: "base/a1".to_owned(),
        version: 3,
        waiters: 1,
    };
    let datagram = mesh::Datagram {
        node: "peer".to_owned(),
        start: 1,
        wants: vec![want],
        ..mesh::Datagram::default()
    };
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    socket.send_to(&datagram.encode_to_vec(), node.addresses.internal).await.unwrap();
    wait_until("the adapter is ordered", || async { !world.assist.orders().is_empty() }).await;
    let versions: Vec<_> = world.assist.orders().iter().map(|o| o["Version"].as_u64()).collect();
    assert!(versions.iter().all(|v| *v == Some(4)), "{versions:?}");
}
