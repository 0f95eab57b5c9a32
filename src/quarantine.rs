//! Requests that crash endpoints.
//!
//! Everything in flight on a crashed endpoint becomes suspect, and the scheduler runs a
//! suspect alone. A second crash quarantines a fingerprint only if it is the one repeated
//! fingerprint of that crash; where several are repeated, all stay suspect until one of
//! them crashes alone. A suspect that ends well, or whose every crash is explained by
//! a quarantined fingerprint, is cleared.

use std::collections::BTreeMap;

use sha2::{Digest, Sha256};

use crate::ids::{Adapter, Team};
use crate::time::Ms;

/// Default duration of a quarantine entry and of a suspicion.
pub const EXPIRY: Ms = Ms::secs(3_600);

/// Time after a lift during which peers' entries for the fingerprint are ignored, because
/// their heartbeats may still carry it.
const LIFT_HOLD: Ms = Ms::secs(10);

/// Crashes that quarantine a fingerprint.
const CRASHES: usize = 2;

/// Most suspects kept; the oldest suspicion is dropped first.
const MAX_SUSPECTS: usize = 4_096;

/// Fingerprint of a request: equal for equal team, adapter and body on every node.
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

/// A quarantined fingerprint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantineEntry {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Why it is quarantined, for operators and refusals.
    pub reason: String,
    /// Instant on this node's clock at which the entry ends.
    pub expiry: Ms,
}

/// What the shell has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuarantineOut {
    /// Run this fingerprint alone from now on.
    Suspect(u64),
    /// The fingerprint is free of suspicion.
    Clear(u64),
    /// Refuse the fingerprint, write the table row and tell the peers.
    Quarantine(QuarantineEntry),
}

#[derive(Clone, Debug)]
struct Suspect {
    crashes: Vec<u64>,
    last: Ms,
}

/// Suspects and quarantine entries that this node knows.
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
    crash: u64,
    suspects: BTreeMap<u64, Suspect>,
    entries: BTreeMap<u64, QuarantineEntry>,
    lifted: BTreeMap<u64, Ms>,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self::new(EXPIRY)
    }
}

impl Quarantine {
    /// An empty quarantine whose entries last for `expiry`.
    pub fn new(expiry: Ms) -> Self {
        let (suspects, entries, lifted) = Default::default();
        Self { expiry, crash: 0, suspects, entries, lifted }
    }

    /// Records the crash of an endpoint with the fingerprints in flight on it.
    pub fn on_crash(&mut self, now: Ms, flight: &[u64]) -> Vec<QuarantineOut> {
        self.expire(now);
        let mut out = Vec::new();
        let mut flight: Vec<u64> = flight.to_vec();
        flight.sort_unstable();
        flight.dedup();
        // A quarantined fingerprint that was still running explains the crash.
        if flight.iter().any(|fp| self.entries.contains_key(fp)) {
            return out;
        }
        self.crash += 1;
        for fp in &flight {
            let fresh = !self.suspects.contains_key(fp);
            let suspect =
                self.suspects.entry(*fp).or_insert(Suspect { crashes: vec![], last: now });
            suspect.crashes.push(self.crash);
            suspect.last = now;
            if fresh {
                out.push(QuarantineOut::Suspect(*fp));
            }
        }
        let repeated = |fp: &&u64| self.suspects[*fp].crashes.len() >= CRASHES;
        let mut guilty = flight.iter().filter(repeated);
        if let (Some(fp), None) = (guilty.next(), guilty.next()) {
            self.convict(now, *fp, flight.len(), &mut out);
        }
        self.bound();
        out
    }

    /// Records that a request with this fingerprint ended well.
    pub fn on_success(&mut self, fp: u64) -> Option<QuarantineOut> {
        self.suspects.remove(&fp).map(|_| QuarantineOut::Clear(fp))
    }

    /// Whether the fingerprint is to run alone.
    pub fn suspect(&self, fp: u64) -> bool {
        self.suspects.contains_key(&fp)
    }

    /// The entry that forbids the fingerprint at present.
    pub fn is_quarantined(&self, now: Ms, fp: u64) -> Option<&QuarantineEntry> {
        self.entries.get(&fp).filter(|e| e.expiry > now)
    }

    /// Takes over a peer's or the table's entry; `true` if it is new here.
    ///
    /// The caller converts the expiry to this node's clock.
    pub fn merge(&mut self, now: Ms, entry: QuarantineEntry) -> bool {
        self.expire(now);
        let held = self.lifted.contains_key(&entry.fingerprint);
        if held || entry.expiry <= now {
            return false;
        }
        self.suspects.remove(&entry.fingerprint);
        match self.entries.get_mut(&entry.fingerprint) {
            Some(own) => {
                own.expiry = own.expiry.max(entry.expiry);
                false
            }
            None => self.entries.insert(entry.fingerprint, entry).is_none(),
        }
    }

    /// Ends an entry and the suspicion by an operator's order; `false` if there is no entry.
    pub fn lift(&mut self, now: Ms, fp: u64) -> bool {
        self.lifted.insert(fp, now + LIFT_HOLD);
        self.suspects.remove(&fp);
        self.entries.remove(&fp).is_some()
    }

    /// Drops entries, suspicions and lifts that have ended.
    pub fn expire(&mut self, now: Ms) {
        let expiry = self.expiry;
        self.entries.retain(|_, e| e.expiry > now);
        self.suspects.retain(|_, s| now.since(s.last) < expiry);
        self.lifted.retain(|_, until| *until > now);
    }

    /// Entries in force, by fingerprint.
    pub fn entries(&self, now: Ms) -> impl Iterator<Item = &QuarantineEntry> {
        self.entries.values().filter(move |e| e.expiry > now)
    }

    /// Suspects, by fingerprint.
    pub fn suspects(&self) -> impl Iterator<Item = u64> {
        self.suspects.keys().copied()
    }

    fn convict(&mut self, now: Ms, fp: u64, flight: usize, out: &mut Vec<QuarantineOut>) {
        let Some(guilty) = self.suspects.remove(&fp) else { return };
        let crashes = guilty.crashes.len();
        let reason = format!("{crashes} endpoints crashed while it ran, {flight} in flight last");
        let entry = QuarantineEntry { fingerprint: fp, reason, expiry: now + self.expiry };
        self.lifted.remove(&fp);
        self.entries.insert(fp, entry.clone());
        out.push(QuarantineOut::Quarantine(entry));
        out.retain(|o| *o != QuarantineOut::Suspect(fp));
        self.suspects.retain(|other, s| {
            s.crashes.retain(|c| !guilty.crashes.contains(c));
            if s.crashes.is_empty() {
                out.retain(|o| *o != QuarantineOut::Suspect(*other));
                out.push(QuarantineOut::Clear(*other));
            }
            !s.crashes.is_empty()
        });
    }

    fn bound(&mut self) {
        while self.suspects.len() > MAX_SUSPECTS {
            let Some(oldest) = self.suspects.iter().min_by_key(|(_, s)| s.last) else { return };
            let fp = *oldest.0;
            self.suspects.remove(&fp);
        }
    }
}
