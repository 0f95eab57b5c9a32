//! Stores configuration documents and selects the one in force: apply, promote, history.
//!
//! A document is stored as an immutable object named by its digest. The head row holds
//! the digest in force; it is changed by a conditional write, and its serial only grows.
//! The same transaction writes a history row for the new serial. If the answer to a
//! write is lost, the transaction id in that row shows whether the write took effect.

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

/// Table key of the head row.
pub const HEAD_KEY: &str = "config/head";
/// Prefix of the table keys of history rows.
pub const HISTORY_PREFIX: &str = "config/history/";
/// Most history rows that are kept. One scan reads them all, and at 7,200 changes a day
/// the table would otherwise grow without bound. The objects are never deleted.
pub const MAX_HISTORY_ROWS: u64 = 1000;
/// Most attempts of a write that gets no answer; each repeats the same transaction.
const MAX_WRITE_ATTEMPTS: u32 = 4;

/// The head row, which names the configuration in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// Serial of the change; grows by one with each change.
    pub serial: u64,
    /// Hexadecimal SHA-256 of the document's bytes.
    pub digest: String,
    /// Operator who made the change.
    pub by: String,
    /// Time of the change, in milliseconds since the Unix epoch.
    pub at: Ms,
}

/// Operator, time and transaction id of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeOrigin {
    /// Operator who makes the change.
    pub operator: String,
    /// Time of the change, in milliseconds since the Unix epoch.
    pub time: Ms,
    /// Unique over all operators. Shows after a lost answer whether the write took effect.
    pub txn_id: String,
}

/// Result of applying or promoting a document.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "result", rename_all = "lowercase")]
pub enum ApplyResult {
    /// The document is in force.
    Accepted {
        /// The new head.
        head: ConfigHead,
        /// Warnings of the document check.
        findings: Vec<Finding>,
        /// Changes from the previous document.
        changes: Vec<Change>,
    },
    /// The same document is already in force; nothing was written.
    Unchanged {
        /// The current head.
        head: ConfigHead,
    },
    /// The document check found errors; nothing was written.
    Refused {
        /// All findings.
        findings: Vec<Finding>,
    },
    /// Another change took effect first, or the head does not have the expected serial. The
    /// head was not written.
    #[serde(rename = "lost")]
    Conflict {
        /// The current head; `None` if the environment has no configuration.
        head: Option<ConfigHead>,
        /// Changes from the document in force to this document.
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

fn decode_head(row: &Row) -> Result<ConfigHead> {
    let head: ConfigHead = serde_json::from_slice(&row.value)
        .map_err(|e| Error::platform(&row.key, format_args!("unreadable row: {e}")))?;
    if !is_digest(&head.digest) {
        return Err(Error::platform(&row.key, "the row holds no digest"));
    }
    Ok(head)
}

/// Reads the head row and its row version; `None` if the environment has no
/// configuration.
///
/// # Errors
/// Fails if the table service does not answer or the row is unreadable.
pub async fn read_head<T: Table>(table: &T) -> Result<Option<(ConfigHead, u64)>> {
    let row = table.get(HEAD_KEY).await?;
    row.map(|r| Ok((decode_head(&r)?, r.version))).transpose()
}

/// Reads a document and verifies its digest.
///
/// # Errors
/// Fails if the object store does not answer, the object does not exist or its bytes do
/// not have this digest.
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
/// document, which a newer version may have applied.
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

/// Reads the last accepted changes, newest first; at most [`MAX_HISTORY_ROWS`] are kept.
///
/// # Errors
/// Fails if the table service does not answer or a row is unreadable.
pub async fn read_history<T: Table>(table: &T) -> Result<Vec<ConfigHead>> {
    let rows = table.scan(HISTORY_PREFIX).await?;
    let mut heads: Vec<ConfigHead> = rows.iter().map(decode_head).collect::<Result<_>>()?;
    heads.sort_by_key(|h| std::cmp::Reverse(h.serial));
    Ok(heads)
}

/// Checks a document, stores it and puts it into force.
///
/// With `expected`, the change is made only if the head has that serial; 0 stands for an
/// environment without configuration.
///
/// # Errors
/// Fails if a service does not answer. The error message says so if it is unknown
/// whether the change took effect.
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
    let old_head = read_head(table).await?;
    let serial = old_head.as_ref().map_or(0, |(h, _)| h.serial);
    let digest = document_digest(text.as_bytes());
    if expected.is_some_and(|e| e != serial) {
        return conflict(objects, old_head.map(|(h, _)| h), text).await;
    }
    if let Some((head, _)) = old_head.as_ref().filter(|(h, _)| h.digest == digest) {
        return Ok(ApplyResult::Unchanged { head: head.clone() });
    }
    store_document(objects, &digest, text).await?;
    let new_head =
        ConfigHead { serial: serial + 1, digest, by: stamp.operator.clone(), at: stamp.time };
    let cond = old_head.as_ref().map_or(Cond::Absent, |(_, version)| Cond::Version(*version));
    if update_head(table, &new_head, cond, &stamp.txn_id).await? {
        let changes = changes_from(objects, old_head.map(|(h, _)| h), text).await;
        return Ok(ApplyResult::Accepted { head: new_head, findings: checked.findings, changes });
    }
    let winner = read_head(table).await?.map(|(h, _)| h);
    conflict(objects, winner, text).await
}

/// Copies a document that the trial environment accepted to production, byte for byte.
///
/// Without `digest`, the document that is in force in trial is promoted.
///
/// # Errors
/// Fails if a service does not answer, the digest is not in the history of trial, or the
/// bytes read do not have the digest.
pub async fn promote<T: Table, O: Objects, U: Table, P: Objects>(
    trial: (&T, &O),
    production: (&U, &P),
    digest: Option<&str>,
    expected: Option<u64>,
    stamp: &ChangeOrigin,
) -> Result<ApplyResult> {
    let accepted = read_history(trial.0).await?;
    let digest = match digest {
        Some(digest) => digest.to_owned(),
        None => {
            let head = read_head(trial.0).await?;
            head.ok_or_else(|| Error::state(HEAD_KEY, "trial has no configuration"))?.0.digest
        }
    };
    if !accepted.iter().any(|h| h.digest == digest) {
        let reason =
            format!("trial did not accept {digest} in its last {MAX_HISTORY_ROWS} changes");
        return Err(Error::state(HISTORY_PREFIX, reason));
    }
    let bytes = read_document(trial.1, &digest).await?;
    let text = std::str::from_utf8(&bytes).map_err(|e| Error::input(&object_name(&digest), e))?;
    // `apply` computes the digest from the bytes again.
    let source = object_name(&digest);
    apply(production.0, production.1, &source, text, expected, stamp).await
}

/// Stores a document as an object. If it exists already, for example because the answer
/// to an earlier attempt was lost, verifies its bytes instead.
async fn store_document<O: Objects>(objects: &O, digest: &str, text: &str) -> Result<()> {
    let name = object_name(digest);
    let mut last_error = Error::io(&name, "not stored");
    for _ in 0..MAX_WRITE_ATTEMPTS {
        match objects.put_new(&name, Bytes::copy_from_slice(text.as_bytes())).await {
            Ok(true) => return Ok(()),
            Ok(false) => return read_document(objects, digest).await.map(|_| ()),
            Err(e) => last_error = e,
        }
    }
    Err(last_error)
}

/// Writes the new head and its history row; `false` if another change took effect first.
async fn update_head<T: Table>(
    table: &T,
    new_head: &ConfigHead,
    cond: Cond,
    txn: &str,
) -> Result<bool> {
    let value = Bytes::from(serde_json::to_vec(new_head).expect("a head serializes to JSON"));
    let mut writes = vec![
        Write::put(HEAD_KEY, cond, value.clone()),
        Write::put(history_key(new_head.serial), Cond::Absent, value),
    ];
    if let Some(old) = new_head.serial.checked_sub(MAX_HISTORY_ROWS).filter(|s| *s > 0) {
        writes.push(Write { key: history_key(old), cond: Cond::Any, op: Op::Delete });
    }
    let txn = Txn { id: txn.to_owned(), writes };
    let mut last_error = Error::io(HEAD_KEY, "no answer");
    let mut unanswered = false;
    for _ in 0..MAX_WRITE_ATTEMPTS {
        match table.commit(&txn).await {
            Ok(Commit::Done(_)) => return Ok(true),
            // No attempt has gone unanswered, so the conflicting write is another's.
            Ok(Commit::Conflict(_)) if !unanswered => return Ok(false),
            Ok(Commit::Conflict(_)) => match wrote_history_row(table, new_head, &txn.id).await {
                Ok(written) => return Ok(written),
                Err(e) => last_error = e,
            },
            Err(e) => {
                // An unanswered write may still take effect later, so only its presence is
                // conclusive.
                unanswered = true;
                last_error = e;
                if let Ok(true) = wrote_history_row(table, new_head, &txn.id).await {
                    return Ok(true);
                }
            }
        }
    }
    let reason = format!(
        "it is unknown whether serial {} was accepted ({last_error}); read the head before \
         trying again",
        new_head.serial
    );
    Err(Error::io(HEAD_KEY, reason))
}

/// Whether the history row of the new serial was written by this transaction.
async fn wrote_history_row<T: Table>(table: &T, new_head: &ConfigHead, txn: &str) -> Result<bool> {
    let row = table.get(&history_key(new_head.serial)).await?;
    Ok(row.is_some_and(|r| r.txn == txn))
}

/// The result for a document that was not applied because of another change.
async fn conflict<O: Objects>(
    objects: &O,
    head: Option<ConfigHead>,
    text: &str,
) -> Result<ApplyResult> {
    let changes = changes_from(objects, head.clone(), text).await;
    Ok(ApplyResult::Conflict { head, changes })
}

/// Changes from the document of `head` to `text`. They only inform the operator, so a
/// document that cannot be read counts as an empty one.
async fn changes_from<O: Objects>(
    objects: &O,
    head: Option<ConfigHead>,
    text: &str,
) -> Vec<Change> {
    let old = match head {
        Some(head) => read_document(objects, &head.digest).await.unwrap_or_default(),
        None => Bytes::new(),
    };
    let old =
        check_document("previous", &String::from_utf8_lossy(&old)).document.unwrap_or_default();
    let new = check_document("new", text).document.unwrap_or_default();
    diff(&old, &new)
}
