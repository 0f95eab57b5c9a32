//! Quarantine of requests that crash endpoints.
//!
//! Requests are identified by fingerprints. All fingerprints in flight on an endpoint when it
//! crashes become suspects, and the scheduler runs a suspect alone. A second crash
//! quarantines a fingerprint only if it is the only one in flight that was in flight at an
//! earlier crash. If there are several, all remain suspects until an endpoint crashes with
//! only one of them in flight. A suspect is cleared when one of its requests completes, or
//! when all of its crashes are attributed to a quarantined fingerprint.

use std::collections::BTreeMap;

use sha2::{Digest, Sha256};

use crate::ids::{Adapter, Team};
pub use crate::quarantine_list::{DEFAULT_EXPIRY, QuarantineEntry, QuarantineList};
use crate::time::Ms;

/// Number of crashes after which a fingerprint is quarantined.
const QUARANTINE_CRASHES: usize = 2;

/// Maximum number of suspects; the one with the oldest last crash is dropped first.
const MAX_SUSPECTS: usize = 4_096;

/// Returns the fingerprint of a request. It is equal on all nodes for the same team, adapter
/// and body.
pub fn fingerprint(team: &Team, adapter: Option<&Adapter>, body: &[u8]) -> u64 {
    let mut hash = Sha256::new();
    for part in [team.as_str(), adapter.map_or("", Adapter::as_str)] {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part.as_bytes());
    }
    hash.update(body);
    let digest: [u8; 32] = hash.finalize().into();
    digest[..8].iter().fold(0, |n, b| n << 8 | u64::from(*b))
}

/// Action that the caller has to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuarantineOut {
    /// Run requests with this fingerprint alone.
    Suspect(u64),
    /// The fingerprint is no longer a suspect.
    Clear(u64),
    /// Refuse requests with the fingerprint, and distribute the entry to the peers.
    Quarantine(QuarantineEntry),
}

#[derive(Clone, Debug)]
struct Suspect {
    /// Numbers of the crashes that are not attributed to another fingerprint.
    crashes: Vec<u64>,
    /// Time of the last crash.
    last: Ms,
}

/// Suspects and quarantine entries known to this node.
///
/// ```
/// use sycamorefork::{quarantine::Quarantine, time::Ms};
/// let mut quarantine = Quarantine::default();
/// quarantine.on_crash(Ms(0), &[1, 2]);
/// quarantine.on_success(2);
/// quarantine.on_crash(Ms(100), &[1]);
/// assert!(quarantine.is_quarantined(Ms(100), 1).is_some());
/// assert!(quarantine.is_quarantined(Ms(100), 2).is_none());
/// ```
#[derive(Debug)]
pub struct Quarantine {
    expiry: Ms,
    /// Number of the last crash.
    last_crash: u64,
    suspects: BTreeMap<u64, Suspect>,
    list: QuarantineList,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self::new(DEFAULT_EXPIRY)
    }
}

impl Quarantine {
    /// Creates an empty quarantine whose entries and suspicions expire after `expiry`.
    pub fn new(expiry: Ms) -> Self {
        let (suspects, list) = Default::default();
        Self { expiry, last_crash: 0, suspects, list }
    }

    /// Records the crash of an endpoint with the fingerprints that were in flight on it.
    pub fn on_crash(&mut self, now: Ms, in_flight: &[u64]) -> Vec<QuarantineOut> {
        self.expire(now);
        let mut out = Vec::new();
        let mut in_flight: Vec<u64> = in_flight.to_vec();
        in_flight.sort_unstable();
        in_flight.dedup();
        // The crash is attributed to a quarantined fingerprint that was still running.
        if in_flight.iter().any(|fp| self.list.get(now, *fp).is_some()) {
            return out;
        }
        self.last_crash += 1;
        for fp in &in_flight {
            let new = !self.suspects.contains_key(fp);
            let suspect =
                self.suspects.entry(*fp).or_insert(Suspect { crashes: vec![], last: now });
            suspect.crashes.push(self.last_crash);
            suspect.last = now;
            if new {
                out.push(QuarantineOut::Suspect(*fp));
            }
        }
        let repeated = |fp: &&u64| self.suspects[*fp].crashes.len() >= QUARANTINE_CRASHES;
        let mut suspects = in_flight.iter().filter(repeated);
        if let (Some(fp), None) = (suspects.next(), suspects.next()) {
            self.quarantine_suspect(now, *fp, in_flight.len(), &mut out);
        }
        self.limit_suspects();
        out
    }

    /// Records that a request with this fingerprint completed.
    pub fn on_success(&mut self, fp: u64) -> Option<QuarantineOut> {
        self.suspects.remove(&fp).map(|_| QuarantineOut::Clear(fp))
    }

    /// Returns whether the fingerprint is a suspect, whose requests run alone.
    pub fn is_suspect(&self, fp: u64) -> bool {
        self.suspects.contains_key(&fp)
    }

    /// Returns the entry in force for the fingerprint.
    pub fn is_quarantined(&self, now: Ms, fp: u64) -> Option<&QuarantineEntry> {
        self.list.get(now, fp)
    }

    /// Merges an entry from a peer; returns `true` if the fingerprint was not quarantined on
    /// this node.
    ///
    /// The caller must convert the expiry to this node's clock.
    pub fn merge(&mut self, now: Ms, entry: QuarantineEntry) -> bool {
        self.expire(now);
        let fp = entry.fingerprint;
        let is_new = self.list.merge(now, entry);
        if self.list.get(now, fp).is_some() {
            self.suspects.remove(&fp);
        }
        is_new
    }

    /// Removes the entry and the suspicion on an operator's order; returns `false` if there
    /// was no entry.
    pub fn lift(&mut self, now: Ms, fp: u64) -> bool {
        self.suspects.remove(&fp);
        self.list.lift(now, fp)
    }

    /// Removes expired entries, suspicions and lifts.
    pub fn expire(&mut self, now: Ms) {
        let expiry = self.expiry;
        self.list.expire(now);
        self.suspects.retain(|_, s| now.since(s.last) < expiry);
    }

    /// Entries in force, in order of their fingerprints.
    pub fn entries(&self, now: Ms) -> impl Iterator<Item = &QuarantineEntry> {
        self.list.entries(now)
    }

    /// Fingerprints of the suspects, in ascending order.
    pub fn suspects(&self) -> impl Iterator<Item = u64> {
        self.suspects.keys().copied()
    }

    /// Quarantines a suspect and removes its crashes from the other suspects.
    fn quarantine_suspect(
        &mut self,
        now: Ms,
        fp: u64,
        in_flight: usize,
        out: &mut Vec<QuarantineOut>,
    ) {
        let Some(suspect) = self.suspects.remove(&fp) else { return };
        let crashes = suspect.crashes.len();
        let reason =
            format!("{crashes} endpoints crashed while it ran; last with {in_flight} in flight");
        let entry = QuarantineEntry { fingerprint: fp, reason, expiry: now + self.expiry };
        self.list.add(entry.clone());
        out.push(QuarantineOut::Quarantine(entry));
        out.retain(|o| *o != QuarantineOut::Suspect(fp));
        self.suspects.retain(|other, s| {
            s.crashes.retain(|c| !suspect.crashes.contains(c));
            if s.crashes.is_empty() {
                out.retain(|o| *o != QuarantineOut::Suspect(*other));
                out.push(QuarantineOut::Clear(*other));
            }
            !s.crashes.is_empty()
        });
    }

    /// Drops the oldest suspects above [`MAX_SUSPECTS`].
    fn limit_suspects(&mut self) {
        while self.suspects.len() > MAX_SUSPECTS {
            let Some(oldest) = self.suspects.iter().min_by_key(|(_, s)| s.last) else { return };
            let fp = *oldest.0;
            self.suspects.remove(&fp);
        }
    }
}
