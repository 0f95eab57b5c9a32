//! Operators' changes of the configuration: apply, promote and their history.
//!
//! A document is stored as an immutable object named by its digest. The head row
//! names the digest in force; it changes by conditional write and its serial only
//! grows. The same transaction writes a history row per serial, which also settles
//! whether a write took effect whose answer was lost.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::config::Config;
use crate::config_check::check_document;
use crate::config_diff::{Change, diff};
use crate::error::{Error, Result};
use crate::finding::{Finding, Severity};
use crate::keys::is_digest;
use crate::storage::{Commit, Cond, Objects, Op, Row, Table, Txn, Write};
use crate::time::Ms;

/// Key of the head row.
pub const HEAD_KEY: &str = "config/head";
/// Start of the keys of history rows.
pub const HISTORY_PREFIX: &str = "config/history/";
/// History rows that are kept. One scan reads them all; 7,200 changes a day would
/// otherwise let the table grow without bound. The objects are never deleted.
pub const MAX_HISTORY_ROWS: u64 = 1000;
/// Attempts of a write whose answer is lost; each is the same transaction.
const ATTEMPTS: u32 = 4;

/// The configuration in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// Grows by one with each change.
    pub serial: u64,
    /// Hexadecimal SHA-256 of the document.
    pub digest: String,
    /// Operator who made the change.
    pub by: String,
    /// Milliseconds since the Unix epoch.
    pub at: Ms,
}

/// Who makes a change, when, and its unique write id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeOrigin {
    /// Operator.
    pub operator: String,
    /// Milliseconds since the Unix epoch.
    pub time: Ms,
    /// Unique over all operators; settles lost answers.
    pub txn_id: String,
}

/// Result of a change.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "result", rename_all = "lowercase")]
pub enum ApplyResult {
    /// The change is accepted.
    Accepted {
        /// The new head.
        head: ConfigHead,
        /// Warnings of the check.
        findings: Vec<Finding>,
        /// What changed since the previous document.
        changes: Vec<Change>,
    },
    /// The same document is already in force; nothing was written.
    Unchanged {
        /// The present head.
        head: ConfigHead,
    },
    /// The check found errors; nothing was written.
    Refused {
        /// All findings.
        findings: Vec<Finding>,
    },
    /// Another operator's change came first; nothing was written.
    #[serde(rename = "lost")]
    Conflict {
        /// The other's head; none if the environment has no configuration.
        head: Option<ConfigHead>,
        /// What this document would change in the other's.
        changes: Vec<Change>,
    },
}

/// Name of the object that holds a document.
pub fn object_name(digest: &str) -> String {
    format!("config/{digest}")
}

/// Hexadecimal SHA-256 of a document's bytes.
pub fn document_digest(bytes: &[u8]) -> String {
    hex::encode(Sha256::digest(bytes))
}

fn history_key(serial: u64) -> String {
    format!("{HISTORY_PREFIX}{serial:020}")
}

fn parse_head(row: &Row) -> Result<ConfigHead> {
    let head: ConfigHead = serde_json::from_slice(&row.value)
        .map_err(|e| Error::platform(&row.key, format_args!("unreadable row: {e}")))?;
    if !is_digest(&head.digest) {
        return Err(Error::platform(&row.key, "the row holds no digest"));
    }
    Ok(head)
}

/// Reads the head row and its version.
///
/// # Errors
/// Fails when the table service does not answer or the row is unreadable.
pub async fn read_head<T: Table>(table: &T) -> Result<Option<(ConfigHead, u64)>> {
    let row = table.get(HEAD_KEY).await?;
    row.map(|r| Ok((parse_head(&r)?, r.version))).transpose()
}

/// Reads a document and verifies its digest.
///
/// # Errors
/// Fails when the object store does not answer, the object is absent or its bytes
/// do not have this digest.
pub async fn read_document<O: Objects>(objects: &O, digest: &str) -> Result<Bytes> {
    if !is_digest(digest) {
        return Err(Error::input("digest", "not 64 lower-case hexadecimal digits"));
    }
    let name = object_name(digest);
    let bytes = objects.get(&name).await?;
    let bytes = bytes.ok_or_else(|| Error::platform(&name, "the object does not exist"))?;
    if document_digest(&bytes) != digest {
        return Err(Error::platform(&name, "the object's bytes do not have this digest"));
    }
    Ok(bytes)
}

/// Reads and compiles the configuration that a head names.
///
/// # Errors
/// As [`read_document`]; also if this version of the program does not accept the
/// document, which a newer one may have applied.
pub async fn load_config<O: Objects>(objects: &O, head: &ConfigHead) -> Result<Config> {
    let bytes = read_document(objects, &head.digest).await?;
    let name = object_name(&head.digest);
    let text = std::str::from_utf8(&bytes).map_err(|e| Error::input(&name, e))?;
    let checked = check_document(&name, text);
    let document = checked.document.ok_or_else(|| {
        let error = checked.findings.into_iter().find(|f| f.severity == Severity::Error);
        error.map_or_else(
            || Error::input(&name, "not accepted"),
            |f| Error::Input(f.place, f.message),
        )
    })?;
    Ok(Config::compile(document, head.serial, &head.digest))
}

/// Accepted changes, newest first, as far as they are kept.
///
/// # Errors
/// Fails when the table service does not answer or a row is unreadable.
pub async fn read_history<T: Table>(table: &T) -> Result<Vec<ConfigHead>> {
    let rows = table.scan(HISTORY_PREFIX).await?;
    let mut heads: Vec<ConfigHead> = rows.iter().map(parse_head).collect::<Result<_>>()?;
    heads.sort_by_key(|h| std::cmp::Reverse(h.serial));
    Ok(heads)
}

/// Checks a document and brings it into force.
///
/// With `expected`, the change is made only on top of that serial; 0 stands for an
/// environment without configuration.
///
/// # Errors
/// Fails when a service does not answer. If the outcome of the last write is
/// unknown, the message says so.
pub async fn apply<T: Table, O: Objects>(
    table: &T,
    objects: &O,
    source: &str,
    text: &str,
    expected: Option<u64>,
    stamp: &ChangeOrigin,
) -> Result<ApplyResult> {
    let checked = check_document(source, text);
    if !checked.accepted() {
        return Ok(ApplyResult::Refused { findings: checked.findings });
    }
    let current = read_head(table).await?;
    let serial = current.as_ref().map_or(0, |(h, _)| h.serial);
    let digest = document_digest(text.as_bytes());
    if expected.is_some_and(|e| e != serial) {
        return lost(objects, current.map(|(h, _)| h), text).await;
    }
    if let Some((head, _)) = current.as_ref().filter(|(h, _)| h.digest == digest) {
        return Ok(ApplyResult::Unchanged { head: head.clone() });
    }
    put_object(objects, &digest, text).await?;
    let next =
        ConfigHead { serial: serial + 1, digest, by: stamp.operator.clone(), at: stamp.time };
    let cond = current.as_ref().map_or(Cond::Absent, |(_, version)| Cond::Version(*version));
    if move_head(table, &next, cond, &stamp.txn_id).await? {
        let changes = changes(objects, current.map(|(h, _)| h), text).await;
        return Ok(ApplyResult::Accepted { head: next, findings: checked.findings, changes });
    }
    let other = read_head(table).await?.map(|(h, _)| h);
    lost(objects, other, text).await
}

/// Copies a document that was accepted in trial to production, byte for byte.
///
/// Without `digest`, the document that is in force in trial is promoted.
///
/// # Errors
/// Fails when a service does not answer, when trial never accepted the digest, or
/// when the copied bytes do not have it.
pub async fn promote<T: Table, O: Objects, U: Table, P: Objects>(
    trial: (&T, &O),
    production: (&U, &P),
    digest: Option<&str>,
    expected: Option<u64>,
    stamp: &ChangeOrigin,
) -> Result<ApplyResult> {
    let proved = read_history(trial.0).await?;
    let digest = match digest {
        Some(digest) => digest.to_owned(),
        None => {
            let head = read_head(trial.0).await?;
            head.ok_or_else(|| Error::state(HEAD_KEY, "trial has no configuration"))?.0.digest
        }
    };
    if !proved.iter().any(|h| h.digest == digest) {
        let reason =
            format!("trial did not accept {digest} in its last {MAX_HISTORY_ROWS} changes");
        return Err(Error::state(HISTORY_PREFIX, reason));
    }
    let bytes = read_document(trial.1, &digest).await?;
    let text = std::str::from_utf8(&bytes).map_err(|e| Error::input(&object_name(&digest), e))?;
    // The digest in production is computed from the bytes again by `apply`.
    let source = object_name(&digest);
    apply(production.0, production.1, &source, text, expected, stamp).await
}

/// Stores the object; a lost answer is settled by reading it back.
async fn put_object<O: Objects>(objects: &O, digest: &str, text: &str) -> Result<()> {
    let name = object_name(digest);
    let mut last = Error::io(&name, "not stored");
    for _ in 0..ATTEMPTS {
        match objects.put_new(&name, Bytes::copy_from_slice(text.as_bytes())).await {
            Ok(true) => return Ok(()),
            Ok(false) => return read_document(objects, digest).await.map(|_| ()),
            Err(e) => last = e,
        }
    }
    Err(last)
}

/// Moves the head; `false` means that another change came first.
async fn move_head<T: Table>(table: &T, next: &ConfigHead, cond: Cond, txn: &str) -> Result<bool> {
    let value = Bytes::from(serde_json::to_vec(next).expect("head is plain data"));
    let mut writes = vec![
        Write::put(HEAD_KEY, cond, value.clone()),
        Write::put(history_key(next.serial), Cond::Absent, value),
    ];
    if let Some(old) = next.serial.checked_sub(MAX_HISTORY_ROWS).filter(|s| *s > 0) {
        writes.push(Write { key: history_key(old), cond: Cond::Any, op: Op::Delete });
    }
    let txn = Txn { id: txn.to_owned(), writes };
    let mut last = Error::io(HEAD_KEY, "no answer");
    let mut unknown = false;
    for _ in 0..ATTEMPTS {
        match table.commit(&txn).await {
            Ok(Commit::Done(_)) => return Ok(true),
            // The condition of a first attempt fails only because of another's write.
            Ok(Commit::Conflict(_)) if !unknown => return Ok(false),
            Ok(Commit::Conflict(_)) => match written(table, next, &txn.id).await {
                Ok(ours) => return Ok(ours),
                Err(e) => last = e,
            },
            Err(e) => {
                // An unanswered write may still take effect, so only "ours" is final.
                unknown = true;
                last = e;
                if let Ok(true) = written(table, next, &txn.id).await {
                    return Ok(true);
                }
            }
        }
    }
    let reason = format!(
        "it is unknown whether serial {} was accepted ({last}); read the head before trying again",
        next.serial
    );
    Err(Error::io(HEAD_KEY, reason))
}

/// Whether this transaction wrote the history row of its serial.
async fn written<T: Table>(table: &T, next: &ConfigHead, txn: &str) -> Result<bool> {
    let row = table.get(&history_key(next.serial)).await?;
    Ok(row.is_some_and(|r| r.txn == txn))
}

async fn lost<O: Objects>(
    objects: &O,
    head: Option<ConfigHead>,
    text: &str,
) -> Result<ApplyResult> {
    let changes = changes(objects, head.clone(), text).await;
    Ok(ApplyResult::Conflict { head, changes })
}

/// What `text` changes in the document of `head`. The difference is information for
/// the operator only, so an unreadable document counts as an empty one.
async fn changes<O: Objects>(objects: &O, head: Option<ConfigHead>, text: &str) -> Vec<Change> {
    let old = match head {
        Some(head) => read_document(objects, &head.digest).await.unwrap_or_default(),
        None => Bytes::new(),
    };
    let old =
        check_document("previous", &String::from_utf8_lossy(&old)).document.unwrap_or_default();
    let new = check_document("new", text).document.unwrap_or_default();
    diff(&old, &new)
}
