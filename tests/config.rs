//! The configuration document, its check and the node's settings.

mod common;

use common::check_property;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use sycamorefork::config::{Config, ModelError, RouteKind};
use sycamorefork::config_check::check_document;
use sycamorefork::finding::Finding;
use sycamorefork::ids::Team;
use sycamorefork::keys;
use sycamorefork::node_settings::{LeaseTimes, RequestLimits, Role, Settings};

const TRIAL: &str = include_str!("../examples/trial.toml");
const NODE: &str = include_str!("../examples/node.toml");

fn text(findings: &[Finding]) -> String {
    findings.iter().map(|f| format!("{f}\n")).collect()
}

// Guards against findings that are lost, out of order, misplaced or renumbered, and
// against a clear-text key that is repeated in the output.
#[test]
fn all_findings_are_reported_with_their_place() {
    let bad = r#"[[team]]
name = "a"
rate = 0
burst = 100

[[team]]
name = "a"
rate = 999_999_999_999
brust = 9000
burst = 9000
weight = -1

[[key]]
id = "k1"
team = "b"
digest = "ABC"

[[key]]
id = "k2"
team = "a"
digest = "sf_abcdefghijklmnopqrstuvwxyz"
secret = "hunter2"

[[model]]
name = "base"
context = 8192

[[adapter]]
name = "x y"
model = "bass"
team = "a"
versions = ["1", "2"]
default = "3"

[[adapter]]
name = "z1"
model = "base"
versions = []

[[family]]
prefix = "z"
digits = 1
count = 20
model = "base"
open = true
versions = ["1"]

[[pool]]
name = "p"
model = "base"

[[pool]]
name = "s"
service = "ledger"

[[route]]
name = "r"
kind = "engin"
pool = "q"
open = true
priority = 9

[[route]]
name = "book"
kind = "service"
pool = "s"
idempotent = false

[[route]]
name = "book2"
kind = "service"
pool = "p"
idempotent = false
status = "by-key"
level = "l"

[[level]]
name = "l"
first = "340"
between = "33ms"
objective = 1.0
window = "30d"

[store]
loads = "3" # sf_0123456789abcdefghijklmnop
"#;
    let checked = check_document("bad.toml", bad);
    assert!(!checked.accepted());
    let shown = text(&checked.findings);
    assert!(!shown.contains("hunter2") && !shown.contains("sf_"), "a key is printed");
    insta::assert_snapshot!(shown, @r#"
bad.toml:3:8: error E020: `rate` is 0 tokens/s
    remedy: write a number from 1 to 100000000
bad.toml:7:8: error E010: team `a` is defined twice
    remedy: remove or rename one of the two
bad.toml:8:8: error E021: `rate` is 999999999999 tokens/s
    remedy: write a number from 1 to 100000000
bad.toml:9:1: error E002: unknown field `brust` in a team
    remedy: write `burst`
bad.toml:11:10: error E023: `weight` is -1
    remedy: write a number above 0 and at most 1000
bad.toml:15:8: error E011: no team is named `b`
    remedy: define [[team]] `b` or name an existing one
bad.toml:16:10: error E030: `digest` is not a SHA-256 digest of 64 lower-case hexadecimal digits
    remedy: run `sycamorefork keys new` or `sycamorefork keys digest` and copy its digest
bad.toml:21:11: error E031: a key stands here in clear text
    remedy: treat this key as disclosed: remove it, issue a new one with `sycamorefork keys new` and store only the digest
bad.toml:22:1: error E002: unknown field `secret` in a key
    remedy: remove it; known fields are id, team, digest, withdrawn
bad.toml:22:10: error E031: a key stands here in clear text
    remedy: treat this key as disclosed: remove it, issue a new one with `sycamorefork keys new` and store only the digest
bad.toml:25:8: warning W107: model `base` is served by no route
    remedy: add a pool and an engine route, or remove the model
bad.toml:29:8: error E012: this is not a valid adapter name
    remedy: use up to 96 of the characters a-z, A-Z, 0-9, `-`, `_` and `.`, not starting with `.`
bad.toml:30:9: error E011: no model is named `bass`
    remedy: write `base`, or define [[model]] `bass`
bad.toml:33:11: error E042: default version `3` is not in `versions`
    remedy: add it to `versions` or name a listed one
bad.toml:35:1: error E040: the adapter belongs to no team and is not open
    remedy: add `team = "..."`, or `open = true` if every team may use it
bad.toml:36:8: error E010: adapter `z1` is also a member of family `z`
    remedy: rename the adapter or change the family
bad.toml:38:12: error E041: no version is listed
    remedy: add `versions = ["..."]`
bad.toml:43:9: error E021: numbers up to 19 do not fit into 1 digits
    remedy: lower `count` or raise `digits`
bad.toml:57:8: error E052: open route `r` names no team
    remedy: add `team = "..."`, whose rate the route uses
bad.toml:58:8: error E051: `engin` is not a kind of route
    remedy: write `engine` or `service`
bad.toml:59:8: error E011: no pool is named `q`
    remedy: define [[pool]] `q` or name an existing one
bad.toml:61:12: error E055: `priority` is 9
    remedy: write a class from 0 (most urgent) to 7
bad.toml:64:8: warning W104: route `book` is not idempotent and has no status query, so a call whose outcome is unknown stays unknown
    remedy: add `status = "/path"` if the service can tell what became of an attempt
bad.toml:72:8: error E053: service route `book2` uses a pool of model `base`
    remedy: use a pool of a service or `kind = "engine"`
bad.toml:74:10: error E054: `status` must be a plain path
    remedy: write for example `status = "/attempts"`; the attempt is appended
bad.toml:79:9: error E004: `first` of a service level must be a duration such as "250ms", "5s", "1h" or "30d"
    remedy: replace the string by a duration such as "250ms", "5s", "1h" or "30d"
bad.toml:81:13: error E061: `objective` is 1
    remedy: write a share above 0 and below 1, for example 0.99
bad.toml:84:1: error E003: `concurrent` is missing in the weight store
    remedy: add `concurrent = ...`
bad.toml:85:9: error E004: `loads` of the weight store must be a number
    remedy: replace the string by a number
bad.toml:85:15: error E031: a key stands here in clear text
    remedy: treat this key as disclosed: remove it, issue a new one with `sycamorefork keys new` and store only the digest
"#);
}

// Guards against a check that stops at a syntax error, or that gives it no place.
#[test]
fn syntax_errors_have_a_place_and_do_not_hide_others() {
    let bad = "[[team]]\nname = \"a\nrate = 5\n\n[[team]]\nname = \"b\"\nrate = \n\n[stor]\n";
    insta::assert_snapshot!(text(&check_document("bad.toml", bad).findings), @r#"
bad.toml:1:1: error E003: `burst` is missing in a team
    remedy: add `burst = ...`
bad.toml:1:1: error E003: the document has no `store`
    remedy: add [store] with `loads` per second and `concurrent` loads
bad.toml:2:8: warning W101: team `a` has no working key and no open route
    remedy: issue a key or remove the team
bad.toml:2:10: error E001: TOML syntax: invalid basic string, expected `"`
    remedy: correct the syntax; later findings may be consequences of this one
bad.toml:5:1: error E003: `burst` is missing in a team
    remedy: add `burst = ...`
bad.toml:6:8: warning W101: team `b` has no working key and no open route
    remedy: issue a key or remove the team
bad.toml:7:8: error E001: TOML syntax: string values must be quoted, expected literal string
    remedy: correct the syntax; later findings may be consequences of this one
bad.toml:7:8: error E004: `rate` of a team must be a whole number from 0
    remedy: replace the string by a whole number from 0
bad.toml:9:2: error E002: unknown field `stor` in the document
    remedy: write `store`
"#);
}

// Guards against settings faults that are reported one at a time or without place.
#[test]
fn settings_report_all_findings() {
    let bad = "node = \"n 1\"\n\n[listen]\ncallers = \"localhost:80\"\n\n[peers]\nsecret = \"short\"\n\n\
               [admin]\ndigest = \"sf_abcdefghijklmnopqrstuvwxyz\"\n\n[platform]\ntable = \"1.2.3.4\"\n\n\
               [[endpoint]]\nname = \"e*\"\naddress = \"1.2.3.4:5\"\nrole = \"enigne\"\npool = \"p\"\nslot = 3\n\n\
               [limits]\nbody = 1\nslow = 5\n\n[lease]\nttl = \"3s\"\nmargin = \"2s\"\n";
    let checked = Settings::check("node.toml", bad);
    assert!(checked.settings.is_none());
    insta::assert_snapshot!(text(&checked.findings), @r#"
node.toml:1:1: error E003: `domain` is missing in the settings
    remedy: add `domain = ...`
node.toml:1:8: error E012: `node` is not a valid name
    remedy: use letters, digits, `-`, `_` and `.`
node.toml:4:11: error E101: `callers` is not an IP address with a port
    remedy: write for example "10.0.0.5:8080"; names are not resolved
node.toml:7:10: error E103: the peer secret is shorter than 16 bytes
    remedy: use a random secret
node.toml:10:10: error E031: a credential stands here in clear text
    remedy: run `sycamorefork keys new` and add [admin] with its `digest`
node.toml:12:1: error E003: `platform` has no `objects`
    remedy: add its IP address and port
node.toml:12:1: error E003: `platform` has no `vms`
    remedy: add its IP address and port
node.toml:13:9: error E101: `table` is not an IP address with a port
    remedy: write for example "10.0.0.5:8080"; names are not resolved
node.toml:17:11: error E104: a pattern of several endpoints cannot have an address
    remedy: remove `address` or name one endpoint
node.toml:18:8: error E105: `enigne` is not a role
    remedy: write `engine`
node.toml:20:1: error E002: unknown field `slot` in an endpoint
    remedy: write `slots`
node.toml:23:8: error E106: `body` is 1
    remedy: write a number from 1024 to 1073741824
node.toml:24:8: error E004: `slow` of limits must be a duration such as "250ms", "5s", "1h" or "30d"
    remedy: replace the integer by a duration such as "250ms", "5s", "1h" or "30d"
node.toml:28:10: error E108: `margin` is more than a third of `ttl` (3000 ms)
    remedy: lower `margin` or raise `ttl`
"#);
}

// Guards against examples that the program does not accept, and against documented
// defaults that differ from the real ones.
#[test]
fn examples_are_accepted_and_show_the_defaults() {
    let checked = check_document("trial.toml", TRIAL);
    assert_eq!(text(&checked.findings), "");
    let shown = Settings::check("node.toml", NODE);
    assert_eq!(text(&shown.findings), "");
    let implicit = shown.settings.unwrap();
    assert_eq!(
        (implicit.limits, implicit.lease),
        (RequestLimits::default(), LeaseTimes::default())
    );
    // Uncommenting every default must not change anything.
    let is_default = |l: &str| {
        l.starts_with("# ") && l.contains(" = ") && !l.contains("none") && !l.contains("the node's")
    };
    let uncommented: Vec<&str> =
        NODE.lines().map(|l| if is_default(l) { &l[2..] } else { l }).collect();
    let strip = |l: &&str| l.split("   ").next().unwrap().to_owned();
    let full = uncommented.iter().map(strip).collect::<Vec<_>>().join("\n");
    let explicit = Settings::check("full.toml", &full);
    assert_eq!(text(&explicit.findings), "");
    let explicit = explicit.settings.unwrap();
    assert!(full.contains("\nextension = ") && full.contains("\nchecks_fence = "));
    assert_eq!(format!("{implicit:?}"), format!("{explicit:?}"));
    assert_eq!(explicit.endpoint("ledger-1").unwrap().role, Role::Service);
    assert_eq!(explicit.endpoint("runner-12").unwrap().domain, "gent");
    assert!(explicit.endpoint("other").is_none());
}

// Guards against a request that runs on another team's adapter or a wrong version.
#[test]
fn models_resolve_for_the_right_team_only() {
    let config = Config::compile(check_document("trial.toml", TRIAL).document.unwrap(), 7, "d");
    let resolve = |team: &str, model: &str| {
        let team = (!team.is_empty()).then(|| Team::from(team));
        config
            .resolve_model(team.as_ref(), model)
            .map(|t| t.adapter.map_or_else(|| t.base.to_string(), |a| a.to_string()))
    };
    let ok = |s: &str| Ok(s.to_owned());
    assert_eq!(resolve("accounting", "invoice-check"), ok("invoice-check@2026-02"));
    assert_eq!(resolve("accounting", "invoice-check@2026-03"), ok("invoice-check@2026-03"));
    assert_eq!(resolve("accounting", "invoice-check@9"), Err(ModelError::UnknownVersion));
    assert_eq!(resolve("harbour", "invoice-check@9"), Err(ModelError::OtherTeam));
    assert_eq!(resolve("harbour", "berth-2399"), ok("berth-2399@8"));
    assert_eq!(resolve("harbour", "berth-2400"), Err(ModelError::Unknown));
    assert_eq!(resolve("harbour", "berth-001"), Err(ModelError::Unknown));
    assert_eq!(resolve("harbour", "berth-+001"), Err(ModelError::Unknown));
    assert_eq!(resolve("", "berth-0001"), Err(ModelError::OtherTeam));
    assert_eq!(resolve("", "house-style"), ok("house-style@1"));
    assert_eq!(resolve("press", "assistant"), ok("assistant"));
    assert_eq!(resolve("press", ""), Err(ModelError::Unknown));
    assert_eq!(config.models_for(None), ["assistant", "house-style"]);
    assert_eq!(config.models_for(Some(&"harbour".into())).len(), 2402);
    let key = config.key(&keys::digest("example-1")).unwrap();
    assert!(key.withdrawn && !config.is_key_active(&key.id));
    assert!(config.is_key_active(&"press-2026a".into()) && !config.is_key_active(&"absent".into()));
    assert_eq!(config.route("ledger").unwrap().kind, RouteKind::Service);
    assert_eq!(config.model_route("assistant", false).unwrap().name.as_str(), "chat");
}

/// Lines of a valid document; each entry is `(line, mutation, code)`.
fn generate(rng: &mut SmallRng) -> (Vec<String>, Vec<(usize, String, &'static str)>) {
    let (mut lines, mut faults): (Vec<String>, Vec<(usize, String, &'static str)>) =
        Default::default();
    let mut add = |line: String, fault: Option<(&str, &'static str)>| {
        if let Some((text, code)) = fault {
            faults.push((lines.len(), text.to_owned(), code));
        }
        lines.push(line);
    };
    let teams = rng.random_range(2..6);
    for t in 0..teams {
        add("[[team]]".into(), None);
        add(format!("name = \"t{t}\""), if t > 0 { Some(("name = \"t0\"", "E010")) } else { None });
        add(format!("rate = {}", rng.random_range(1..10_000)), Some(("rate = 0", "E020")));
        add("burst = 9000".into(), Some(("burst = 4095", "E022")));
        add("[[key]]".into(), None);
        add(format!("id = \"k{t}\""), Some(("id = 5", "E004")));
        add(format!("team = \"t{t}\""), Some(("team = \"t99\"", "E011")));
        let digest = hex::encode(keys::digest(&format!("key {t}")));
        add(format!("digest = \"{digest}\""), Some(("digest = \"00\"", "E030")));
    }
    add("[[model]]".into(), None);
    add("name = \"m\"".into(), Some(("nmae = \"m\"", "E002")));
    add("context = 4096".into(), None);
    for a in 0..rng.random_range(1..8) {
        add("[[adapter]]".into(), None);
        add(format!("name = \"a{a}\""), Some(("name = \"f00\"", "E010")));
        add("model = \"m\"".into(), Some(("model = \"n\"", "E011")));
        match rng.random_range(0..teams + 1) {
            0 => add("open = true".into(), Some(("open = false", "E040"))),
            t => add(format!("team = \"t{}\"", t - 1), Some(("team = \"\\u0000\"", "E011"))),
        }
        add("versions = [\"1\", \"2\"]".into(), Some(("versions = [\"1\", \"1\"]", "E010")));
        add(format!("default = \"{}\"", rng.random_range(1..3)), Some(("default = \"3\"", "E042")));
    }
    for line in [
        "[[family]]",
        "prefix = \"f\"",
        "digits = 2",
        "count = 50",
        "model = \"m\"",
        "open = true",
        "versions = [\"1\"]",
    ] {
        add(line.into(), (line == "count = 50").then_some(("count = 101", "E021")));
    }
    for line in [
        "[[pool]]",
        "name = \"p\"",
        "model = \"m\"",
        "[[route]]",
        "name = \"r\"",
        "kind = \"engine\"",
        "pool = \"p\"",
        "[store]",
        "loads = 3",
        "concurrent = 2",
    ] {
        add(line.into(), (line == "loads = 3").then_some(("loads = -0.5", "E020")));
    }
    (lines, faults)
}

// Guards against valid documents that are refused, and against single faults that are
// accepted or reported with a wrong code or line.
#[test]
fn every_single_fault_is_found_where_it_is() {
    fn holds(seed: u64) -> bool {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (lines, faults) = generate(&mut rng);
        let valid = check_document("d", &lines.join("\n"));
        assert_eq!(text(&valid.findings), "", "seed {seed}");
        faults.into_iter().all(|(at, line, code)| {
            let mut lines = lines.clone();
            lines[at] = line;
            let checked = check_document("d", &lines.join("\n"));
            let header = lines[..=at].iter().rposition(|l| l.starts_with('[')).unwrap();
            // A missing field or team is reported at the entry's header.
            let found = |f: &&Finding| {
                f.code == code && (f.place.line == at + 1 || f.place.line == header + 1)
            };
            let ok = !checked.accepted() && checked.findings.iter().any(|f| found(&f));
            assert!(ok, "seed {seed}: {code} at {}:\n{}", at + 1, text(&checked.findings));
            ok
        })
    }
    check_property(0x51_0001, 40, holds as fn(u64) -> bool);
}

// Guards against adapters that are lost at the size of the two-year plan.
#[test]
fn eleven_thousand_adapters_are_found() {
    let names: Vec<String> = (0..11_000).map(|n| format!("\"adapter-{n:05}\"")).collect();
    let text = format!(
        "{}\n[[model]]\nname = \"m\"\ncontext = 4096\n[[family]]\nnames = [{}]\nmodel = \"m\"\n\
         team = \"a\"\nversions = [\"1\"]\n",
        common::document(500),
        names.join(",")
    );
    let config = Config::compile(check_document("d", &text).document.unwrap(), 1, "d");
    assert_eq!(config.adapter_count(), 11_000);
    let team = Team::from("a");
    assert!((0..11_000).all(|n| {
        let target = config.resolve_model(Some(&team), &format!("adapter-{n:05}"));
        target.is_ok_and(|t| t.adapter.is_some())
    }));
}

// Guards against a large document, which is parsed in parts, that is read differently
// from the same document parsed as a whole.
#[test]
fn parts_and_whole_give_the_same_findings() {
    fn holds(seed: u64) -> bool {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (mut lines, faults) = generate(&mut rng);
        let long = format!("\"\"\"\n{}\"\"\"", "[[team]]\n".repeat(8000));
        for n in 0..2000 {
            // A text longer than a part looks like headers; some entries have faults.
            let text = if rng.random_range(0..1000) == 0 { &long } else { "\"1\"" };
            let model = if rng.random_range(0..300) == 0 { "x" } else { "m" };
            lines.push(format!(
                "[[adapter]]\nname = \"big-{n}\"\nmodel = \"{model}\"\nopen = true\nversions = [{text}]\n"
            ));
        }
        let (at, line, _) = faults[rng.random_range(0..faults.len())].clone();
        if rng.random() {
            lines[at] = line;
        }
        if rng.random_range(0..4) == 0 {
            lines.retain(|l| {
                l != "[store]" && !l.starts_with("loads") && !l.starts_with("concurrent")
            });
            lines.push("# no store".into());
        }
        let parts = lines.join("\n");
        // Spaces in a header mean the same, but only a parse of the whole reads them.
        let whole = parts.replacen("[[model]]", "[[ model ]]", 1);
        let (parts, whole) = (check_document("d", &parts), check_document("d", &whole));
        assert_eq!(text(&parts.findings), text(&whole.findings), "seed {seed}");
        let json = |d: &Option<_>| serde_json::to_string(d).unwrap();
        assert!(json(&parts.document) == json(&whole.document), "seed {seed}");
        true
    }
    check_property(0x51_0006, 12, holds as fn(u64) -> bool);
}
