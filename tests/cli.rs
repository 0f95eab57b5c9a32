//! Command line interface: exit codes, text and JSON output, and the admin client.

mod common;

use std::net::SocketAddr;
use std::path::PathBuf;

use common::{FakePlatform, block_on, document};
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;
use sycamorefork::burn_rate::BurnCounts;
use sycamorefork::cli::{
    Connect, EXIT_OK, EXIT_REFUSED, EXIT_UNREACHABLE, EXIT_USAGE, Environment, run,
};
use sycamorefork::keys::{Secret, digest};
use sycamorefork::node_settings::Settings;
use sycamorefork::refusal_record::{Recorder, RecorderLimits, RefusalRecord, RefusalRunStatus};
use sycamorefork::refusal_store::write_batch;
use sycamorefork::time::Ms;
use sycamorefork::{Error, Result};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// In-memory platforms of both environments, chosen by the bucket in the settings.
#[derive(Clone, Default)]
struct FakeEnvironments {
    trial: FakePlatform,
    production: FakePlatform,
}

impl Connect for FakeEnvironments {
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

/// A directory of test files, and the platforms that the commands use.
struct CliTest {
    fakes: FakeEnvironments,
    dir: PathBuf,
}

impl CliTest {
    fn new(name: &str) -> Self {
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&dir).unwrap();
        let cli = Self { fakes: FakeEnvironments::default(), dir };
        for bucket in ["trial", "production"] {
            let text = format!(
                "[platform]\ntable = \"127.0.0.1:1\"\nobjects = \"127.0.0.1:2\"\nbucket = \"{bucket}\"\n"
            );
            cli.write_file(&format!("{bucket}.toml"), &text);
        }
        cli.write_file("doc.toml", &document(500));
        cli
    }

    fn write_file(&self, name: &str, text: &str) {
        std::fs::write(self.dir.join(name), text).unwrap();
    }

    /// Runs a command line, with `%` replaced by the directory. Returns exit code, stdout and
    /// stderr.
    async fn run_async(&self, line: &str) -> (i32, String, String) {
        let dir = format!("{}/", self.dir.display());
        let args = line.split_whitespace().map(|a| a.replace('%', &dir).into()).collect();
        let mut env = Environment {
            connect: self.fakes.clone(),
            rng: StdRng::seed_from_u64(0x51_0005),
            now: Ms(1_796_342_390_000),
            user: "ana".into(),
            credential: Some(Secret::new("operator")),
        };
        let (mut out, mut err) = (Vec::new(), Vec::new());
        let code = run(args, &mut env, &mut out, &mut err).await;
        let text = |bytes| String::from_utf8(bytes).unwrap().replace(&dir, "");
        (code, text(out), text(err))
    }

    fn run(&self, line: &str) -> (i32, String, String) {
        block_on(self.run_async(line))
    }

    /// Runs a command line with `--json` and parses stdout.
    fn run_json(&self, line: &str) -> Value {
        serde_json::from_str(&self.run(&format!("{line} --json")).1).unwrap()
    }
}

// Guards against commands without help, undocumented exit codes, and commands that run in spite
// of invalid arguments.
#[test]
fn commands_print_help_and_reject_invalid_usage() {
    let cli = CliTest::new("usage");
    for command in [
        "serve", "edge", "check", "apply", "promote", "keys", "status", "drain", "refusals",
        "burn", "demo",
    ] {
        let (code, out, err) = cli.run(&format!("{command} --help"));
        assert_eq!((code, err.as_str()), (EXIT_OK, ""));
        assert!(out.starts_with("Usage: ") && out.contains("Exit codes: 0"), "{command}");
        let (code, out, err) = cli.run(&format!("{command} --unknown-option"));
        assert!(
            code == EXIT_USAGE && out.is_empty() && err.contains("Usage: "),
            "{command}: {err}"
        );
        assert!(cli.run("--help").1.contains(&format!("\n  {command} ")));
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
        let (code, out, err) = cli.run(line);
        assert!(code == EXIT_USAGE && out.is_empty() && !err.is_empty(), "{line}: {code} {err}");
    }
}

// Guards against findings that are missing from the text or JSON output, and against `check`
// accepting what `apply` refuses.
#[test]
fn check_prints_findings_as_text_and_json() {
    let cli = CliTest::new("check");
    cli.write_file("bad.toml", &document(500).replace("burst = 9000", "burts = 9000"));
    assert_eq!(
        cli.run("check %doc.toml"),
        (EXIT_OK, "0 errors, 0 warnings\n".into(), String::new())
    );
    let (code, out, _) = cli.run("check %doc.toml %bad.toml --settings %trial.toml");
    assert_eq!(code, EXIT_REFUSED);
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
    let json = cli.run_json("check %bad.toml");
    assert_eq!(json["findings"][0]["code"], "E003");
    assert_eq!(json["findings"][0]["severity"], "error");
    assert_eq!(cli.run("apply %bad.toml --settings %trial.toml").0, EXIT_REFUSED);
    assert_eq!(cli.run("check --client %trial.toml").0, EXIT_OK);
    assert_eq!(cli.run("check %absent.toml").0, EXIT_REFUSED);
    assert_eq!(cli.run("serve --settings %trial.toml").0, EXIT_REFUSED);
}

// Guards against commands that report an outcome other than the configuration in force, and
// against the exit code of success after a conflict or an outage.
#[test]
fn apply_and_promote_report_outcome_conflict_and_outage() {
    let cli = CliTest::new("change");
    let apply = "apply %doc.toml --settings %trial.toml";
    let promote = "promote --from %trial.toml --to %production.toml";
    assert_eq!(cli.run(promote).0, EXIT_REFUSED);
    insta::assert_snapshot!(cli.run(apply).1, @r#"
serial 1 is accepted, digest e2fbe3ea9956241d41a24d00e93ec3488752e1742609af1dbb99d77634328328
  key k1: added
  store limits: added
  team a: added
"#);
    assert_eq!(cli.run_json(apply)["result"], "unchanged");
    let (code, out, err) = cli.run("keys withdraw --document %doc.toml k1");
    assert_eq!((code, err.as_str()), (EXIT_OK, ""));
    insta::assert_snapshot!(out, @r#"
key k1 is marked as withdrawn in doc.toml
next: sycamorefork apply doc.toml --settings FILE
"#);
    insta::assert_snapshot!(cli.run(&format!("{apply} --expect 0 --by eva")).1, @r#"
nothing was changed: serial 1 by ana at 2026-12-03T23:59:50.000Z is in force
your document would change it as follows:
  key k1: withdrawn false -> true
"#);
    assert_eq!(cli.run(&format!("{apply} --expect 0")).0, EXIT_REFUSED);
    assert_eq!(cli.run_json(&format!("{apply} --expect 1"))["head"]["serial"], 2);
    assert_eq!(cli.run_json(promote)["head"]["serial"], 1);
    let history = cli.run_json("status --history --settings %trial.toml");
    assert_eq!(history["history"][0]["by"], "ana");
    assert_eq!(history["history"].as_array().unwrap().len(), 2);
    cli.fakes.trial.with_state(|s| s.down = true);
    for line in [
        apply,
        promote,
        "status --history --settings %trial.toml",
        "refusals --settings %trial.toml",
    ] {
        let (code, out, err) = cli.run(line);
        assert!(code == EXIT_UNREACHABLE && out.is_empty() && !err.is_empty(), "{line}");
    }
}

// Guards against a generated key whose digest does not match, or that is printed more than once or
// to stderr.
#[test]
fn a_new_key_matches_its_digest() {
    let cli = CliTest::new("keys");
    let json = cli.run_json("keys new");
    let (key, hex) = (json["key"].as_str().unwrap(), json["digest"].as_str().unwrap());
    assert_eq!(hex::encode(digest(key)), hex);
    let (_, out, err) = cli.run("keys new --id k2 --team a");
    assert_eq!((out.matches(key).count(), err.as_str()), (1, ""));
    let entry = &out[out.find("[[key]]").unwrap()..];
    cli.write_file("doc.toml", &format!("{}\n{entry}", document(500)));
    assert_eq!(cli.run("check %doc.toml").0, EXIT_OK);
}

// Guards against refusal records that the filters of `refusals` do not find.
#[test]
fn refusals_are_read_by_filter() {
    let cli = CliTest::new("refusals");
    let mut recorder = Recorder::new("n1".into(), RecorderLimits::default());
    let at = Ms(1_796_342_300_000);
    let id = recorder.push(
        RefusalRecord::new(at, "r1", "chat", "over_rate", RefusalRunStatus::No).fact("level", 3),
    );
    recorder.push(RefusalRecord::new(at, "r2", "book", "no_answer", RefusalRunStatus::Unknown));
    let batch = recorder.next_batch(at, true).unwrap();
    block_on(write_batch(&cli.fakes.production, &batch));
    let read = "refusals --settings %production.toml";
    assert_eq!(cli.run_json(&format!("{read} --id {id}"))["refusals"][0]["facts"]["level"], 3);
    let found = cli.run_json(&format!("{read} --from 2026-12-03 --reason no_answer"));
    assert_eq!(found["refusals"][0]["ran"], "unknown");
    assert_eq!(
        cli.run(&format!("{read} --to 2026-12-03")),
        (EXIT_OK, String::new(), String::new())
    );
}

/// Starts an admin listener that serves `count` connections and returns their request lines.
async fn serve_admin(count: usize) -> (SocketAddr, tokio::task::JoinHandle<Vec<String>>) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let serve = async move {
        let mut request_lines = Vec::new();
        for _ in 0..count {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut request = Vec::new();
            while !request.ends_with(b"\r\n\r\n") {
                request.push(stream.read_u8().await.unwrap());
            }
            let request = String::from_utf8(request).unwrap();
            let request_line = request.lines().next().unwrap().to_owned();
            let authorized = request.to_lowercase().contains("authorization: bearer operator\r\n");
            let mut burn = BurnCounts::default();
            burn.record(Ms(1_796_342_389_000), &"a".into(), &"chat".into(), 0.9, 1.0, false);
            let (status, body) = match (authorized, request_line.split(' ').nth(1).unwrap()) {
                (false, _) => ("401 Unauthorized", "{}".to_owned()),
                (_, "/burn") => ("200 OK", serde_json::to_string(&burn).unwrap()),
                (_, "/drain") if request_line.starts_with("POST") => {
                    ("200 OK", "{\"draining\":true}".into())
                }
                (_, "/status") => {
                    ("200 OK", "{\"node\":\"n1\",\"peers\":[{\"node\":\"n2\"}]}".into())
                }
                _ => ("404 Not Found", "{}".into()),
            };
            let length = body.len();
            let response = format!(
                "HTTP/1.1 {status}\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}"
            );
            stream.write_all(response.as_bytes()).await.unwrap();
            request_lines.push(request_line);
        }
        request_lines
    };
    (addr, tokio::spawn(serve))
}

// Guards against a success exit code after a rejected credential or with an unreachable node, and
// against `burn` counting only one of several nodes.
#[test]
fn admin_commands_report_state_or_failure() {
    let cli = CliTest::new("admin");
    cli.write_file("wrong", "guess\n");
    block_on(async {
        let (addr, server) = serve_admin(6).await;
        let (code, out, _) = cli.run_async(&format!("status --admin {addr}")).await;
        assert_eq!((code, out.as_str()), (EXIT_OK, "node: n1\npeers:\n  -\n    node: n2\n"));
        assert_eq!(cli.run_async(&format!("drain --admin {addr} --json")).await.0, EXIT_OK);
        let (code, out, _) =
            cli.run_async(&format!("burn --admin {addr} --admin {addr} --json")).await;
        let report: Value = serde_json::from_str(&out).unwrap();
        assert_eq!((code, &report["rows"][0]["windows"][0]["bad"]), (EXIT_OK, &2.0.into()));
        let (code, _, err) =
            cli.run_async(&format!("status --admin {addr} --credential-file %wrong")).await;
        assert!(code == EXIT_REFUSED && !err.contains("guess"), "{err}");
        let (code, out, _) =
            cli.run_async(&format!("drain --admin {addr} --json --credential-file %wrong")).await;
        assert!(code == EXIT_REFUSED && out.contains("\"error\""));
        let request_lines = server.await.unwrap();
        assert!(request_lines[1].starts_with("POST /drain"));
        // The listener is closed after its last connection.
        assert_eq!(cli.run_async(&format!("status --admin {addr}")).await.0, EXIT_UNREACHABLE);
        let burn = cli.run_async(&format!("burn --admin {addr} --json")).await;
        assert_eq!(burn.0, EXIT_UNREACHABLE);
    });
}
