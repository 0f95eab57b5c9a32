//! Tests the platform's clients against the platform stand-in, in one process.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use standin::platform::{Platform, PlatformFault, PlatformSpec};
use sycamorefork::Category;
use sycamorefork::dynamo::DynamoTable;
use sycamorefork::faulty_listener::RunningServer;
use sycamorefork::http_client::{HttpClient, HttpSettings};
use sycamorefork::memory::MemoryTable;
use sycamorefork::s3::S3Objects;
use sycamorefork::storage::{Commit, Cond, Objects, Op, Row, Table, Txn, Vm, VmList, Write};
use sycamorefork::vm_list::HttpVms;
use tokio::time::Instant;

const SEED: u64 = 0x5eed_0001;

fn any() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

fn http() -> HttpClient {
    HttpClient::new(HttpSettings::default())
}

async fn platform(spec: PlatformSpec) -> (Platform, RunningServer, DynamoTable, S3Objects) {
    let platform = Platform::new(spec);
    let running = platform.serve(any()).await.unwrap();
    let time = Duration::from_secs(5);
    let table = DynamoTable::new(http(), running.addr, "main", time);
    let objects = S3Objects::new(http(), running.addr, "evidence", time);
    (platform, running, table, objects)
}

/// Limits that no test reaches, and pages of 3 rows.
fn unlimited() -> PlatformSpec {
    PlatformSpec { writes: 1e9, reads: 1e9, page_size: 3, ..PlatformSpec::default() }
}

fn put(id: &str, key: &str, cond: Cond) -> Txn {
    Txn { id: id.to_owned(), writes: vec![Write::put(key, cond, id.to_owned())] }
}

/// A write whose condition depends on the row's state when the write is tried.
#[derive(Clone, Debug)]
struct Step {
    key: u8,
    cond: u8,
    op: u8,
}

#[derive(Clone, Debug)]
struct Steps(Vec<Vec<Step>>);

impl Arbitrary for Steps {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut txns = Vec::new();
        for _ in 0..30 {
            let mut keys: Vec<u8> = (0..6).filter(|_| bool::arbitrary(g)).collect();
            keys.truncate(4);
            let step = |key| Step { key, cond: u8::arbitrary(g) % 8, op: u8::arbitrary(g) % 4 };
            txns.push(keys.into_iter().map(step).collect());
        }
        Self(txns)
    }
}

async fn rows<T: Table>(table: &T) -> Vec<Row> {
    let mut rows = table.scan("seat/").await.unwrap();
    rows.extend(table.scan("node/").await.unwrap());
    rows
}

/// Tries a transaction; returns the key of a conflict and the rows afterwards.
async fn attempt<T: Table>(table: &T, n: usize, steps: &[Step]) -> (Option<String>, Vec<Row>) {
    let before = rows(table).await;
    let version = |key: &str| before.iter().find(|r| r.key == key).map(|r| r.version);
    let mut writes = Vec::new();
    for step in steps {
        let key = format!("{}/{}", ["seat", "node"][usize::from(step.key % 2)], step.key);
        let cond = match (step.cond, version(&key)) {
            (0, _) => Cond::Absent,
            (1, Some(v)) => Cond::Version(v - 1),
            (2, _) => Cond::Any,
            (_, Some(v)) => Cond::Version(v),
            (_, None) => Cond::Absent,
        };
        writes.push(match step.op {
            0 => Write::delete(key, cond),
            1 => Write::check(key, cond),
            _ => Write::put(key, cond, format!("{n}")),
        });
    }
    let txn = Txn { id: format!("t{n}"), writes };
    let conflict = match table.commit(&txn).await {
        Err(e) if txn.writes.is_empty() => Some(format!("{:?}", e.category())),
        Err(e) => panic!("{e}"),
        Ok(Commit::Conflict(key)) => Some(key),
        Ok(Commit::Done(versions)) => {
            for (write, stated) in txn.writes.iter().zip(versions) {
                if matches!(write.op, Op::Put(_)) {
                    let stored = table.get(&write.key).await.unwrap().map(|r| r.version);
                    assert_eq!(stored, Some(stated), "stated version, transaction {n}");
                    assert!(stored > version(&write.key), "versions grow, transaction {n}");
                }
            }
            None
        }
    };
    (conflict, rows(table).await)
}

/// Guards against wrongly translated conditions and partly applied transactions: both tables
/// must agree on every outcome and row.
#[test]
fn dynamo_table_agrees_with_memory_table() {
    fn agrees(steps: Steps) -> bool {
        let runtime = tokio::runtime::Runtime::new().unwrap();
        runtime.block_on(async {
            let (_platform, _running, dynamo, _) = platform(unlimited()).await;
            let memory = MemoryTable::new();
            let plain = |rows: Vec<Row>| {
                rows.into_iter().map(|r| (r.key, r.txn, r.value)).collect::<Vec<_>>()
            };
            for (n, txn) in steps.0.iter().enumerate() {
                let (one, there) = attempt(&dynamo, n, txn).await;
                let (two, here) = attempt(&memory, n, txn).await;
                assert_eq!(one, two, "seed {SEED:#x}, transaction {n}: {txn:?}");
                assert_eq!(plain(there), plain(here), "seed {SEED:#x}, transaction {n}: {txn:?}");
            }
        });
        true
    }
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(50, SEED)).tests(12);
    check.quickcheck(agrees as fn(Steps) -> bool);
}

/// Guards against an unknown outcome that is reported as definite, and a throttled write that
/// is reported as unknown or takes effect.
#[tokio::test]
async fn table_faults_are_classified() {
    let (platform, _running, table, _) = self::platform(unlimited()).await;
    let fault = |outage, lose_answers| PlatformFault {
        service: Some("table".to_owned()),
        outage: Some(outage),
        lose_answers: Some(lose_answers),
        ..PlatformFault::default()
    };
    platform.apply_fault(&fault(false, 1));
    let lost = table.commit(&put("t1", "node/a", Cond::Absent)).await.unwrap_err();
    assert_eq!(lost.category(), Category::Io);
    assert_eq!(table.get("node/a").await.unwrap().unwrap().txn, "t1", "the write took effect");
    platform.apply_fault(&fault(true, 0));
    let down = table.commit(&put("t2", "node/b", Cond::Absent)).await.unwrap_err();
    assert_eq!(down.category(), Category::Io);
    platform.apply_fault(&fault(false, 0));
    assert_eq!(table.get("node/b").await.unwrap(), None);

    let memory = MemoryTable::new();
    memory.faults().lose_answers(1);
    assert!(memory.commit(&put("t1", "node/a", Cond::Absent)).await.is_err());
    memory.faults().lose_requests(1);
    assert!(memory.commit(&put("t2", "node/b", Cond::Absent)).await.is_err());
    memory.faults().set_outage(true);
    assert!(memory.commit(&put("t3", "node/c", Cond::Absent)).await.is_err());
    memory.faults().set_outage(false);
    let rows = memory.scan("node/").await.unwrap();
    assert_eq!(rows.iter().map(|r| r.txn.as_str()).collect::<Vec<_>>(), ["t1"]);

    let slow = PlatformSpec { writes: 0.001, ..unlimited() };
    let (platform, _running, table, _) = self::platform(slow).await;
    let throttled = table.commit(&put("t1", "node/a", Cond::Absent)).await.unwrap_err();
    assert_eq!((throttled.category(), platform.commits()), (Category::Platform, 0));
    assert_eq!(table.get("node/a").await.unwrap(), None);
}

/// Guards against rows and names that are lost between pages or partitions, and names that are
/// not encoded on the wire.
#[tokio::test]
async fn lists_are_complete_over_pages() {
    let (_platform, _running, table, objects) = platform(unlimited()).await;
    let mut keys: Vec<String> = (0..40).map(|n| format!("claim/{n:02}")).collect();
    for group in keys.chunks(20) {
        let writes = group.iter().map(|k| Write::put(k, Cond::Absent, "v")).collect();
        let done = table.commit(&Txn { id: "t".to_owned(), writes }).await.unwrap();
        assert!(matches!(done, Commit::Done(versions) if versions.len() == 20));
    }
    table.commit(&put("t", "claims/other", Cond::Any)).await.unwrap();
    let scanned = table.scan("claim/").await.unwrap();
    assert_eq!(scanned.into_iter().map(|r| r.key).collect::<Vec<_>>(), keys);
    keys.retain(|k| k.starts_with("claim/1"));
    let scanned = table.scan("claim/1").await.unwrap();
    assert_eq!(scanned.into_iter().map(|r| r.key).collect::<Vec<_>>(), keys);

    let mut names: Vec<String> = (0..10).map(|n| format!("refusals/day/{n}")).collect();
    names.extend(["refusals/a&b <c>", "refusals/é+%25 ?#", "refusals/\"q\"'"].map(String::from));
    names.sort();
    for name in &names {
        assert!(objects.put_new(name, Bytes::from(name.clone())).await.unwrap());
        assert!(!objects.put_new(name, Bytes::from_static(b"other")).await.unwrap());
        assert_eq!(objects.get(name).await.unwrap().unwrap(), name.as_bytes());
    }
    assert!(objects.put_new("other/x", Bytes::new()).await.unwrap());
    assert_eq!(objects.list("refusals/").await.unwrap(), names);
    assert_eq!(objects.get("refusals/none").await.unwrap(), None);
}

/// Guards against a stand-in whose VM list shows changes before its configured lag.
#[tokio::test]
async fn vm_list_shows_changes_after_its_lag() {
    let lag = Duration::from_millis(50);
    let (platform, running, ..) = platform(PlatformSpec { vm_list_age: lag, ..unlimited() }).await;
    let list = HttpVms::new(http(), running.addr, Duration::from_secs(5));
    let vm = Vm { name: "e1".to_owned(), addr: any(), role: "engine".to_owned(), leaving: false };
    let set = Instant::now();
    platform.set_vms(vec![vm.clone()]);
    let mut shown = list.list().await.unwrap();
    while shown.is_empty() {
        shown = list.list().await.unwrap();
    }
    assert!(set.elapsed() >= lag);
    assert_eq!(shown, [vm]);
}

// One entry that cannot be read hid all others, so that the list was no longer followed.
#[tokio::test]
async fn odd_entries_of_the_list_of_vms_hide_no_others() {
    let nested = "[".repeat(49_000) + &"]".repeat(49_000);
    let good = |name: &str| format!(r#"{{"name":"{name}","addr":"10.0.0.1:80","role":"engine"}}"#);
    let odd = [
        nested.as_str(),
        r#"{"name":"x","addr":"10.0.0.1:99999","role":"engine"}"#,
        r#"{"name":"x","addr":"10.0.0.1:-1","role":"engine"}"#,
        r#"{"name":"x","addr":1e400,"role":"engine"}"#,
        r#"{"name":null,"addr":"10.0.0.1:80","role":"engine"}"#,
        "{}",
        "7",
    ];
    let list = format!("[{},{},{}]", good("b"), odd.join(","), good("a"));
    let server = standin::http_server::serve(move |mut connection| {
        let list = list.clone();
        async move {
            while connection.read_request().await?.is_some() {
                connection.write_answer(200, "", list.as_bytes()).await?;
            }
            Ok(())
        }
    })
    .await
    .unwrap();
    let vms = HttpVms::new(http(), server.address, Duration::from_secs(5));
    let names: Vec<String> = vms.list().await.unwrap().into_iter().map(|vm| vm.name).collect();
    assert_eq!(names, ["a", "b"]);
}
