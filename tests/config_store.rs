//! Operators' changes of the configuration: apply, promote, withdraw.

mod common;

use common::{FakePlatform, Fault, block_on, check_property, document};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use sycamorefork::config::Config;
use sycamorefork::config_check::check_document;
use sycamorefork::config_store::{
    ApplyResult, ChangeOrigin, ConfigHead, HEAD_KEY, MAX_HISTORY_ROWS, apply, document_digest,
    load_config, object_name, promote, read_document, read_head, read_history,
};
use sycamorefork::key_withdrawal::withdraw_key;
use sycamorefork::storage::{Cond, Txn, Write};
use sycamorefork::time::Ms;
use sycamorefork::{Category, Result};

const TRIAL: &str = include_str!("../examples/trial.toml");

fn stamp(n: u64) -> ChangeOrigin {
    ChangeOrigin { operator: format!("op{n}"), time: Ms(1_000 * n), txn_id: format!("txn-{n}") }
}

fn run(fake: &FakePlatform, text: &str, expected: Option<u64>, n: u64) -> Result<ApplyResult> {
    block_on(apply(fake, fake, "doc.toml", text, expected, &stamp(n)))
}

/// The transaction by which another operator would move the head to `text`.
fn other(fake: &FakePlatform, serial: u64, text: &str, txn: &str) -> Txn {
    let digest = document_digest(text.as_bytes());
    fake.with_state(|s| s.objects.insert(object_name(&digest), text.to_owned().into()));
    let head = ConfigHead { serial, digest, by: "other".into(), at: Ms(5) };
    let value = serde_json::to_vec(&head).unwrap();
    let history = format!("config/history/{serial:020}");
    let writes =
        vec![Write::put(HEAD_KEY, Cond::Any, value.clone()), Write::put(history, Cond::Any, value)];
    Txn { id: txn.into(), writes }
}

fn serial(result: &Result<ApplyResult>) -> Option<u64> {
    match result {
        Ok(ApplyResult::Accepted { head, .. }) => Some(head.serial),
        _ => None,
    }
}

// Guards against a serial that is reused or goes back, a change that is reported as
// lost although it is in force (or the reverse), and a head without its object, under
// lost requests, lost answers and races at every write.
#[test]
fn reports_match_what_is_in_force_under_faults() {
    fn holds(seed: u64) -> bool {
        let mut rng = SmallRng::seed_from_u64(seed);
        let fake = FakePlatform::default();
        let mut last = 0;
        for n in 1..20 {
            let text = document(500 + n);
            let race = |rng: &mut SmallRng, serial| {
                let theirs = document(5000 + rng.random_range(0..1000));
                other(&fake, serial, &theirs, &format!("theirs-{n}"))
            };
            let mut faults = Vec::new();
            for _ in 0..rng.random_range(0..6) {
                faults.push(match rng.random_range(0..6) {
                    0 => Fault::None,
                    5 => Fault::DelayWrite,
                    1 | 2 => Fault::LoseRequest,
                    3 => Fault::LoseAnswer,
                    _ if rng.random() => Fault::Race(race(&mut rng, last + 1)),
                    _ => Fault::LoseAnswerThenRace(race(&mut rng, last + 2)),
                });
            }
            let puts: Vec<Fault> = (0..rng.random_range(0..3))
                .map(|i| [Fault::LoseRequest, Fault::LoseAnswer][i % 2].clone())
                .collect();
            fake.with_state(|s| {
                s.commit_faults = faults.into();
                s.put_faults = puts.into();
            });
            let result = run(&fake, &text, None, n);
            fake.with_state(|s| {
                s.commit_faults.clear();
                s.put_faults.clear();
            });
            let (head, _) = block_on(read_head(&fake)).unwrap().unwrap_or((
                ConfigHead { serial: 0, digest: String::new(), by: String::new(), at: Ms(0) },
                0,
            ));
            let ours = fake.with_state(|s| {
                s.rows
                    .values()
                    .any(|r| r.key.starts_with("config/history/") && r.txn == format!("txn-{n}"))
            });
            match &result {
                Ok(ApplyResult::Accepted { head: h, .. }) => {
                    assert!(ours && h.serial == last + 1, "seed {seed} change {n}: {result:?}");
                }
                Ok(ApplyResult::Conflict { head: h, .. }) => {
                    assert!(
                        !ours && h.as_ref() == Some(&head),
                        "seed {seed} change {n}: {result:?}"
                    );
                }
                Err(e) => assert!(
                    e.category() == Category::Io && e.to_string().contains("unknown"),
                    "seed {seed}: {e}"
                ),
                other => panic!("seed {seed} change {n}: {other:?}"),
            }
            assert!(head.serial >= last, "seed {seed} change {n}: serial went back");
            if head.serial > 0 {
                let config = block_on(load_config(&fake, &head)).unwrap();
                assert_eq!(config.serial(), head.serial);
            }
            last = head.serial;
        }
        true
    }
    check_property(0x51_0002, 300, holds as fn(u64) -> bool);
}

// Guards against a loser who overwrites the other's change, or is not told what it was.
#[test]
fn the_loser_gets_serial_and_difference() {
    let fake = FakePlatform::default();
    assert_eq!(serial(&run(&fake, &document(500), Some(0), 1)), Some(1));
    let theirs =
        document(700).replace("[store]", "[[team]]\nname = \"b\"\nrate = 1\nburst = 9\n\n[store]");
    let race = other(&fake, 2, &theirs, "theirs");
    fake.with_state(|s| s.commit_faults.push_back(Fault::Race(race)));
    let lost = run(&fake, &document(600), None, 2).unwrap();
    insta::assert_snapshot!(serde_json::to_string_pretty(&lost).unwrap(), @r#"
{
  "result": "lost",
  "head": {
    "serial": 2,
    "digest": "74e8a28e4d899a873e160a4839ef5fa6014993cd84ae60e7dd36a23c5c388d19",
    "by": "other",
    "at": 5
  },
  "changes": [
    {
      "section": "team",
      "entry": "a",
      "what": "rate",
      "old": "700",
      "new": "600"
    },
    {
      "section": "team",
      "entry": "b",
      "what": "removed"
    }
  ]
}
"#);
    // A stale expectation is refused before any write; the right one is accepted.
    assert!(matches!(run(&fake, &document(600), Some(1), 3), Ok(ApplyResult::Conflict { .. })));
    assert_eq!(serial(&run(&fake, &document(600), Some(2), 4)), Some(3));
    assert!(matches!(run(&fake, &document(600), None, 5), Ok(ApplyResult::Unchanged { .. })));
    let refused = run(&fake, "[[team]]\n", None, 6).unwrap();
    assert!(matches!(refused, ApplyResult::Refused { ref findings } if findings.len() > 3));
    assert_eq!(block_on(read_head(&fake)).unwrap().unwrap().0.serial, 3);
}

// Guards against a history that grows without bound or loses recent changes.
#[test]
fn history_keeps_the_latest_changes() {
    let fake = FakePlatform::default();
    for n in 1..=MAX_HISTORY_ROWS + 5 {
        assert_eq!(serial(&run(&fake, &document(500 + n), None, n)), Some(n));
    }
    let kept = block_on(read_history(&fake)).unwrap();
    assert_eq!(kept.len() as u64, MAX_HISTORY_ROWS);
    assert_eq!(kept[0].serial, MAX_HISTORY_ROWS + 5);
}

// Guards against a promotion that changes bytes, accepts damaged ones, or brings an
// unproved document into production.
#[test]
fn promotion_copies_bytes_and_verifies_them() {
    let (trial, production) = (FakePlatform::default(), FakePlatform::default());
    let go = |digest: Option<&str>, n| {
        block_on(promote((&trial, &trial), (&production, &production), digest, None, &stamp(n)))
    };
    assert_eq!(go(None, 1).unwrap_err().category(), Category::State);
    run(&trial, TRIAL, None, 2).unwrap();
    let unproved = document(500);
    let unproved = document_digest(unproved.as_bytes());
    assert_eq!(go(Some(&unproved), 3).unwrap_err().category(), Category::State);
    assert_eq!(serial(&go(None, 4)), Some(1));
    let digest = document_digest(TRIAL.as_bytes());
    assert_eq!(block_on(read_document(&production, &digest)).unwrap(), TRIAL.as_bytes());
    // An earlier proved document can be promoted by its digest, but not damaged bytes.
    run(&trial, &document(900), None, 5).unwrap();
    run(&production, &document(800), None, 6).unwrap();
    trial.with_state(|s| {
        s.objects.insert(object_name(&digest), TRIAL.replace("6_000", "9_000").into())
    });
    assert_eq!(go(Some(&digest), 7).unwrap_err().category(), Category::Platform);
    trial.with_state(|s| s.objects.insert(object_name(&digest), TRIAL.into()));
    assert_eq!(serial(&go(Some(&digest), 8)), Some(3));
    trial.with_state(|s| s.down = true);
    assert_eq!(go(None, 9).unwrap_err().category(), Category::Io);
}

// Guards against a withdrawal that leaves the key working, or changes anything else.
#[test]
fn withdrawal_is_a_minimal_edit() {
    for id in ["accounting-2026a", "harbour-2026a", "press-2026a"] {
        let edited = withdraw_key("t", TRIAL, id).unwrap().unwrap();
        let rest: Vec<&str> = edited.lines().collect();
        let added = rest.iter().zip(TRIAL.lines()).position(|(a, b)| **a != *b).unwrap();
        assert_eq!(rest[added], "withdrawn = true");
        let without: Vec<&str> = [&rest[..added], &rest[added + 1..]].concat();
        assert_eq!(without.join("\n") + "\n", TRIAL);
        let config = Config::compile(check_document("t", &edited).document.unwrap(), 1, "");
        assert!(!config.is_key_active(&id.into()), "{id}");
    }
    assert_eq!(withdraw_key("t", TRIAL, "accounting-2025b"), Ok(None));
    assert!(withdraw_key("t", TRIAL, "absent").is_err());
    for (text, want) in [
        ("key = [{id = \"a\"}]", "key = [{id = \"a\", withdrawn = true}]"),
        (
            "key = [{team=\"t\", id = \"a\"} ]",
            "key = [{team=\"t\", id = \"a\", withdrawn = true} ]",
        ),
        ("key = [{\n  id = \"a\",\n},\n]", "key = [{\n  id = \"a\", withdrawn = true,\n},\n]"),
        (
            "[[key]]\r\n\tid = 'a' # one\r\n",
            "[[key]]\r\n\tid = 'a' # one\r\n\twithdrawn = true\r\n",
        ),
        ("[[key]]\nid = \"a\"", "[[key]]\nid = \"a\"\nwithdrawn = true"),
        ("[[key]]\nwithdrawn = false\nid = \"a\"\n", "[[key]]\nwithdrawn = true\nid = \"a\"\n"),
    ] {
        assert_eq!(withdraw_key("t", text, "a").unwrap().as_deref(), Some(want));
    }
}
