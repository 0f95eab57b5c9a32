//! Keeps the quarantine in the platform's store, so that it outlives all nodes.
//!
//! Each quarantined feature has a row. A node that starts reads them; a node that adds an entry
//! writes its row unless another node has. Operators lift an entry by removing its row, which
//! nodes notice within [`READ_INTERVAL`].
//!
//! Rows hold no time of day, since a node whose clock is wrong would lift entries for all others.
//! A row that is gone after a restore of the store from an older copy was not lifted, and is written
//! again; one that is back although it was lifted is removed again.
//!
//! An entry expires [`DEFAULT_EXPIRY`] after a node first saw its row, on that node's clock.

use std::cell::RefCell;
use std::rc::Rc;

use serde::{Deserialize, Serialize};
use tokio::time::{sleep, timeout};

use crate::edge::Edge;
use crate::error::{Error, Result};
use crate::ids::Set;
use crate::platform::store::{Change, Outcome, Row};
use crate::quarantine_list::{DEFAULT_EXPIRY, QuarantineEntry};
use crate::row_version;
use crate::store_calls::{CallMode, Dependency, commit, log_unreadable, read_all};
use crate::time::{BootClock, Clock, Ms};

/// Table of the quarantined features.
const TABLE: &str = "quarantine";
/// Interval at which the table is read while there are entries.
const READ_INTERVAL: Ms = Ms::secs(5);
/// Upper bound of the random delay before a row is written; only the first node has to.
const MAX_WRITE_DELAY: Ms = Ms(500);

/// Value of a row; its key is the feature in hexadecimal.
#[derive(Serialize, Deserialize)]
struct RowValue {
    reason: String,
}

fn decode(row: &Row) -> Result<(u64, RowValue)> {
    let feature = u64::from_str_radix(&row.key, 16).map_err(|e| Error::input(TABLE, e))?;
    let value = serde_json::from_slice(&row.value).map_err(|e| Error::input(TABLE, e))?;
    Ok((feature, value))
}

fn key_of(feature: u64) -> String {
    format!("{feature:016x}")
}

async fn write_row(edge: &Edge, entry: &QuarantineEntry) -> Result<()> {
    let value = RowValue { reason: entry.reason.clone() };
    let value = serde_json::to_vec(&value).map_err(|e| Error::input(TABLE, e))?;
    let key = key_of(entry.fingerprint);
    let change = Change { table: TABLE, key: &key, expected: Some(0), value: Some(&value) };
    // If the row exists, another node has written it, and the next read finds it.
    commit(edge, &[change], &[]).await.map(drop)
}

/// Removes a row as it was read. Another node may have quarantined the feature anew since.
async fn remove_row(edge: &Edge, row: &Row) -> Result<()> {
    let expected = Some(row.version);
    let change = Change { table: TABLE, key: &row.key, expected, value: None };
    commit(edge, &[change], &[]).await.map(drop)
}

/// Rows of the table at the last read.
#[derive(Default)]
struct StoredRows {
    features: Set<u64>,
    /// Version of the read; 0 before the first one.
    version: u64,
}

/// Reads the rows and brings this node's entries and the rows in line; false if the store was
/// unavailable.
async fn synchronize(edge: &Edge, stored: &RefCell<StoredRows>) -> Result<bool> {
    let Outcome::Done(rows) = read_all(edge, TABLE, CallMode::PLAIN).await? else {
        return Ok(false);
    };
    let now = BootClock.now();
    let watch = &edge.crash_watch;
    let mut found: Set<u64> = Set::default();
    let mut outdated = Vec::new();
    let known: Set<u64> = watch.entries(now).iter().map(|e| e.fingerprint).collect();
    let last = stored.borrow().version;
    let restored = last > 0 && row_version::era(last) < row_version::era(rows.version);
    for row in &rows.rows {
        let (feature, value) = match decode(row) {
            Ok(decoded) => decoded,
            Err(e) => {
                log_unreadable(row, &e);
                continue;
            }
        };
        found.insert(feature);
        if known.contains(&feature) {
            continue;
        }
        let was_stored = stored.borrow().features.contains(&feature);
        if was_stored || (restored && watch.is_lifted(now, feature)) {
            // The entry was lifted or has expired here since the row was read.
            outdated.push(row);
            continue;
        }
        let expiry = now + DEFAULT_EXPIRY;
        let entry = QuarantineEntry { fingerprint: feature, reason: value.reason, expiry };
        watch.merge(edge, now, entry, "store");
    }
    let before = stored.replace(StoredRows { features: found, version: rows.version });
    let is_stored = |feature: &u64| stored.borrow().features.contains(feature);
    for feature in before.features.iter().filter(|f| !restored && !is_stored(f)) {
        watch.lift(now, *feature, "its row was removed");
    }
    for row in outdated {
        remove_row(edge, row).await?;
    }
    for entry in watch.entries(now).iter().filter(|e| !is_stored(&e.fingerprint)) {
        write_row(edge, entry).await?;
    }
    Ok(true)
}

/// Keeps this node's quarantine and the store's in line.
pub(crate) async fn follow_quarantine(edge: Rc<Edge>) {
    let dependency = Dependency::new(TABLE);
    let stored = RefCell::default();
    loop {
        match synchronize(&edge, &stored).await {
            Ok(true) => dependency.on_success(),
            Ok(false) => {
                dependency.on_failure(&edge, "unavailable").await;
                continue;
            }
            Err(e) => {
                dependency.on_failure(&edge, &e.to_string()).await;
                continue;
            }
        }
        let changed = async {
            tokio::select! {
                () = edge.crash_watch.list_changed.notified() => {}
                () = edge.era_changed.notified() => {}
            }
        };
        let has_entries = !edge.crash_watch.entries(BootClock.now()).is_empty();
        match has_entries {
            // The entries are read again after the interval even if none has changed.
            true => drop(timeout(READ_INTERVAL.to_std(), changed).await),
            false => changed.await,
        }
        sleep(Ms(rand::random_range(0..MAX_WRITE_DELAY.0)).to_std()).await;
    }
}
