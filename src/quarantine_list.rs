//! Quarantine entries: fingerprints of requests that are refused because they crash endpoints.

use std::collections::BTreeMap;

use crate::time::Ms;

/// Default time until a quarantine entry expires.
pub const DEFAULT_EXPIRY: Ms = Ms::secs(3_600);

/// Time after a lift during which entries of peers for the fingerprint are ignored, because
/// their messages may still carry it.
const LIFT_MERGE_DELAY: Ms = Ms::secs(10);

/// A quarantined fingerprint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantineEntry {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Reason of the quarantine, shown to operators and in refusals.
    pub reason: String,
    /// Time on this node's clock at which the entry expires.
    pub expiry: Ms,
}

/// Quarantine entries known to this node.
#[derive(Clone, Debug, Default)]
pub struct QuarantineList {
    entries: BTreeMap<u64, QuarantineEntry>,
    /// Time until which entries of peers are ignored, by lifted fingerprint.
    lifted: BTreeMap<u64, Ms>,
}

impl QuarantineList {
    /// Returns the entry in force for the fingerprint.
    pub fn get(&self, now: Ms, fp: u64) -> Option<&QuarantineEntry> {
        self.entries.get(&fp).filter(|e| e.expiry > now)
    }

    /// Adds an entry, also if the fingerprint was lifted before.
    pub fn add(&mut self, entry: QuarantineEntry) {
        self.lifted.remove(&entry.fingerprint);
        self.entries.insert(entry.fingerprint, entry);
    }

    /// Merges an entry from a peer; returns `true` if the fingerprint was not quarantined on
    /// this node.
    ///
    /// The caller must convert the expiry to this node's clock.
    pub fn merge(&mut self, now: Ms, entry: QuarantineEntry) -> bool {
        self.expire(now);
        let recently_lifted = self.lifted.contains_key(&entry.fingerprint);
        if recently_lifted || entry.expiry <= now {
            return false;
        }
        match self.entries.get_mut(&entry.fingerprint) {
            Some(own) => {
                own.expiry = own.expiry.max(entry.expiry);
                false
            }
            None => self.entries.insert(entry.fingerprint, entry).is_none(),
        }
    }

    /// Removes the entry; returns `false` if there was none.
    pub fn lift(&mut self, now: Ms, fp: u64) -> bool {
        self.lifted.insert(fp, now + LIFT_MERGE_DELAY);
        self.entries.remove(&fp).is_some()
    }

    /// Removes expired entries and lifts.
    pub fn expire(&mut self, now: Ms) {
        self.entries.retain(|_, e| e.expiry > now);
        self.lifted.retain(|_, until| *until > now);
    }

    /// Entries in force, in order of their fingerprints.
    pub fn entries(&self, now: Ms) -> impl Iterator<Item = &QuarantineEntry> {
        self.entries.values().filter(move |e| e.expiry > now)
    }
}
