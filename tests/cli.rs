//! The command line: exit codes, output in text and JSON, and the admin client.

mod common;

use std::net::SocketAddr;
use std::path::PathBuf;

use common::{FakePlatform, block_on, document};
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;
use sycamorefork::burn_rate::BurnCounts;
use sycamorefork::cli::{Connect, OK, REFUSED, UNREACHABLE, USAGE, World, run};
use sycamorefork::keys::{Secret, digest};
use sycamorefork::node_settings::Settings;
use sycamorefork::refusal_record::{Recorder, RecorderLimits, RefusalRecord, RefusalRunStatus};
use sycamorefork::refusal_store::write_batch;
use sycamorefork::time::Ms;
use sycamorefork::{Error, Result};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Environments by the bucket of their settings.
#[derive(Clone, Default)]
struct Fakes {
    trial: FakePlatform,
    production: FakePlatform,
}

impl Connect for Fakes {
    type Objects = FakePlatform;
    type Table = FakePlatform;

    fn connect(&self, settings: &Settings) -> Result<(FakePlatform, FakePlatform)> {
        let fake = match settings.platform.bucket.as_str() {
            "trial" => &self.trial,
            "production" => &self.production,
            other => return Err(Error::input("bucket", other)),
        };
        Ok((fake.clone(), fake.clone()))
    }
}

/// A directory of test files, and the platform of the commands.
struct Bench {
    fakes: Fakes,
    dir: PathBuf,
}

impl Bench {
    fn new(name: &str) -> Self {
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&dir).unwrap();
        let bench = Self { fakes: Fakes::default(), dir };
        for bucket in ["trial", "production"] {
            let text = format!(
                "[platform]\ntable = \"127.0.0.1:1\"\nobjects = \"127.0.0.1:2\"\nbucket = \"{bucket}\"\n"
            );
            bench.file(&format!("{bucket}.toml"), &text);
        }
        bench.file("doc.toml", &document(500));
        bench
    }

    fn file(&self, name: &str, text: &str) {
        std::fs::write(self.dir.join(name), text).unwrap();
    }

    /// Runs a command line; `%` stands for the directory. Returns code, stdout and stderr.
    async fn start(&self, line: &str) -> (i32, String, String) {
        let dir = format!("{}/", self.dir.display());
        let args = line.split_whitespace().map(|a| a.replace('%', &dir).into()).collect();
        let mut world = World {
            connect: self.fakes.clone(),
            rng: StdRng::seed_from_u64(0x51_0005),
            now: Ms(1_796_342_390_000),
            user: "ana".into(),
            credential: Some(Secret::new("operator")),
        };
        let (mut out, mut err) = (Vec::new(), Vec::new());
        let code = run(args, &mut world, &mut out, &mut err).await;
        let text = |bytes| String::from_utf8(bytes).unwrap().replace(&dir, "");
        (code, text(out), text(err))
    }

    fn run(&self, line: &str) -> (i32, String, String) {
        block_on(self.start(line))
    }

    fn json(&self, line: &str) -> Value {
        serde_json::from_str(&self.run(&format!("{line} --json")).1).unwrap()
    }
}

// Guards against commands without help or with other exit codes than documented, and
// against wrong use that is carried out.
#[test]
fn help_and_usage_errors() {
    let bench = Bench::new("usage");
    for command in [
        "serve", "edge", "check", "apply", "promote", "keys", "status", "drain", "refusals",
        "burn", "demo",
    ] {
        let (code, out, err) = bench.run(&format!("{command} --help"));
        assert_eq!((code, err.as_str()), (OK, ""));
        assert!(out.starts_with("Usage: ") && out.contains("Exit codes: 0"), "{command}");
        let (code, out, err) = bench.run(&format!("{command} --unknown-option"));
        assert!(code == USAGE && out.is_empty() && err.contains("Usage: "), "{command}: {err}");
        assert!(bench.run("--help").1.contains(&format!("\n  {command} ")));
    }
    for line in [
        "",
        "explode",
        "check",
        "keys",
        "keys new --extra",
        "burn",
        "demo --port-base x",
        "apply --settings %trial.toml",
        "apply %doc.toml",
        "status --admin localhost",
        "apply %doc.toml %doc.toml --settings %trial.toml",
        "apply %doc.toml --settings %trial.toml --expect x",
        "refusals --settings %trial.toml --from yesterday",
        "keys withdraw --document %doc.toml",
    ] {
        let (code, out, err) = bench.run(line);
        assert!(code == USAGE && out.is_empty() && !err.is_empty(), "{line}: {code} {err}");
    }
}

// Guards against findings that are missing from an output form, and against a check that
// accepts what `apply` refuses.
#[test]
fn check_prints_findings_in_both_forms() {
    let bench = Bench::new("check");
    bench.file("bad.toml", &document(500).replace("burst = 9000", "burts = 9000"));
    assert_eq!(bench.run("check %doc.toml"), (OK, "0 errors, 0 warnings\n".into(), String::new()));
    let (code, out, _) = bench.run("check %doc.toml %bad.toml --settings %trial.toml");
    assert_eq!(code, REFUSED);
    insta::assert_snapshot!(out, @r#"
bad.toml:1:1: error E003: `burst` is missing in a team
    remedy: add `burst = ...`
bad.toml:4:1: error E002: unknown field `burts` in a team
    remedy: write `burst`
trial.toml:1:1: error E003: `node` is missing in the settings
    remedy: add `node = ...`
trial.toml:1:1: error E003: `domain` is missing in the settings
    remedy: add `domain = ...`
trial.toml:1:1: error E003: the settings have no `peers`
    remedy: add [peers] with `secret_file` or `secret`, the same on all nodes
trial.toml:1:1: error E003: the settings have no `admin`
    remedy: run `sycamorefork keys new` and add [admin] with its `digest`
trial.toml:1:1: error E003: `platform` has no `vms`
    remedy: add its IP address and port
7 errors, 0 warnings
"#);
    let json = bench.json("check %bad.toml");
    assert_eq!(json["findings"][0]["code"], "E003");
    assert_eq!(json["findings"][0]["severity"], "error");
    assert_eq!(bench.run("apply %bad.toml --settings %trial.toml").0, REFUSED);
    assert_eq!(bench.run("check --client %trial.toml").0, OK);
    assert_eq!(bench.run("check %absent.toml").0, REFUSED);
    assert_eq!(bench.run("serve --settings %trial.toml").0, REFUSED);
}

// Guards against operators' commands that report another outcome than the one in force,
// and against a lost race or an outage with the exit code of success.
#[test]
fn a_change_goes_from_trial_to_production() {
    let bench = Bench::new("change");
    let apply = "apply %doc.toml --settings %trial.toml";
    let promote = "promote --from %trial.toml --to %production.toml";
    assert_eq!(bench.run(promote).0, REFUSED);
    insta::assert_snapshot!(bench.run(apply).1, @r#"
serial 1 is accepted, digest e2fbe3ea9956241d41a24d00e93ec3488752e1742609af1dbb99d77634328328
  key k1: added
  store limits: added
  team a: added
"#);
    assert_eq!(bench.json(apply)["result"], "unchanged");
    let (code, out, err) = bench.run("keys withdraw --document %doc.toml k1");
    assert_eq!((code, err.as_str()), (OK, ""));
    insta::assert_snapshot!(out, @r#"
key k1 is marked as withdrawn in doc.toml
next: sycamorefork apply doc.toml --settings FILE
"#);
    insta::assert_snapshot!(bench.run(&format!("{apply} --expect 0 --by eva")).1, @r#"
nothing was changed: serial 1 by ana at 2026-12-03T23:59:50.000Z is in force
your document would change it as follows:
  key k1: withdrawn false -> true
"#);
    assert_eq!(bench.run(&format!("{apply} --expect 0")).0, REFUSED);
    assert_eq!(bench.json(&format!("{apply} --expect 1"))["head"]["serial"], 2);
    assert_eq!(bench.json(promote)["head"]["serial"], 1);
    let history = bench.json("status --history --settings %trial.toml");
    assert_eq!(history["history"][0]["by"], "ana");
    assert_eq!(history["history"].as_array().unwrap().len(), 2);
    bench.fakes.trial.with_state(|s| s.down = true);
    for line in [
        apply,
        promote,
        "status --history --settings %trial.toml",
        "refusals --settings %trial.toml",
    ] {
        let (code, out, err) = bench.run(line);
        assert!(code == UNREACHABLE && out.is_empty() && !err.is_empty(), "{line}");
    }
}

// Guards against a new key whose digest does not match, or that is printed elsewhere.
#[test]
fn a_new_key_matches_its_digest() {
    let bench = Bench::new("keys");
    let json = bench.json("keys new");
    let (key, hex) = (json["key"].as_str().unwrap(), json["digest"].as_str().unwrap());
    assert_eq!(hex::encode(digest(key)), hex);
    let (_, out, err) = bench.run("keys new --id k2 --team a");
    assert_eq!((out.matches(key).count(), err.as_str()), (1, ""));
    let entry = &out[out.find("[[key]]").unwrap()..];
    bench.file("doc.toml", &format!("{}\n{entry}", document(500)));
    assert_eq!(bench.run("check %doc.toml").0, OK);
}

// Guards against refusals that an operator cannot find again.
#[test]
fn refusals_are_read_by_filter() {
    let bench = Bench::new("refusals");
    let mut recorder = Recorder::new("n1".into(), RecorderLimits::default());
    let at = Ms(1_796_342_300_000);
    let id = recorder.push(
        RefusalRecord::new(at, "r1", "chat", "over_rate", RefusalRunStatus::No).fact("level", 3),
    );
    recorder.push(RefusalRecord::new(at, "r2", "book", "no_answer", RefusalRunStatus::Unknown));
    let batch = recorder.next_batch(at, true).unwrap();
    block_on(write_batch(&bench.fakes.production, &batch));
    let read = "refusals --settings %production.toml";
    assert_eq!(bench.json(&format!("{read} --id {id}"))["refusals"][0]["facts"]["level"], 3);
    let found = bench.json(&format!("{read} --from 2026-12-03 --reason no_answer"));
    assert_eq!(found["refusals"][0]["ran"], "unknown");
    assert_eq!(bench.run(&format!("{read} --to 2026-12-03")), (OK, String::new(), String::new()));
}

/// An admin listener that answers `answers` connections.
async fn admin(answers: usize) -> (SocketAddr, tokio::task::JoinHandle<Vec<String>>) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let serve = async move {
        let mut seen = Vec::new();
        for _ in 0..answers {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut request = Vec::new();
            while !request.ends_with(b"\r\n\r\n") {
                request.push(stream.read_u8().await.unwrap());
            }
            let request = String::from_utf8(request).unwrap();
            let first = request.lines().next().unwrap().to_owned();
            let allowed = request.to_lowercase().contains("authorization: bearer operator\r\n");
            let mut burn = BurnCounts::default();
            burn.record(Ms(1_796_342_389_000), &"a".into(), &"chat".into(), 0.9, 1.0, false);
            let (status, body) = match (allowed, first.split(' ').nth(1).unwrap()) {
                (false, _) => ("401 Unauthorized", "{}".to_owned()),
                (_, "/burn") => ("200 OK", serde_json::to_string(&burn).unwrap()),
                (_, "/drain") if first.starts_with("POST") => {
                    ("200 OK", "{\"draining\":true}".into())
                }
                (_, "/status") => {
                    ("200 OK", "{\"node\":\"n1\",\"peers\":[{\"node\":\"n2\"}]}".into())
                }
                _ => ("404 Not Found", "{}".into()),
            };
            let length = body.len();
            let answer = format!(
                "HTTP/1.1 {status}\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}"
            );
            stream.write_all(answer.as_bytes()).await.unwrap();
            seen.push(first);
        }
        seen
    };
    (addr, tokio::spawn(serve))
}

// Guards against a refused credential or a dead node that looks like success, and against
// burn that counts only one of several nodes.
#[test]
fn admin_commands_report_the_node_or_why_not() {
    let bench = Bench::new("admin");
    bench.file("wrong", "guess\n");
    block_on(async {
        let (addr, served) = admin(6).await;
        let (code, out, _) = bench.start(&format!("status --admin {addr}")).await;
        assert_eq!((code, out.as_str()), (OK, "node: n1\npeers:\n  -\n    node: n2\n"));
        assert_eq!(bench.start(&format!("drain --admin {addr} --json")).await.0, OK);
        let (code, out, _) =
            bench.start(&format!("burn --admin {addr} --admin {addr} --json")).await;
        let report: Value = serde_json::from_str(&out).unwrap();
        assert_eq!((code, &report["rows"][0]["windows"][0]["bad"]), (OK, &2.0.into()));
        let (code, _, err) =
            bench.start(&format!("status --admin {addr} --credential-file %wrong")).await;
        assert!(code == REFUSED && !err.contains("guess"), "{err}");
        let (code, out, _) =
            bench.start(&format!("drain --admin {addr} --json --credential-file %wrong")).await;
        assert!(code == REFUSED && out.contains("\"error\""));
        let seen = served.await.unwrap();
        assert!(seen[1].starts_with("POST /drain"));
        // The listener is closed now.
        assert_eq!(bench.start(&format!("status --admin {addr}")).await.0, UNREACHABLE);
        let burn = bench.start(&format!("burn --admin {addr} --json")).await;
        assert_eq!(burn.0, UNREACHABLE);
    });
}
