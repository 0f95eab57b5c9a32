//! Finds the features of requests that make endpoints crash.
//!
//! A request has features: each shared part of its prompt, and the request as a whole. When an
//! endpoint crashes, the features of the requests that were in flight there become its suspects.
//! A feature counts the crashes since a request with it last completed; the feature that counts
//! most is the cause once it counts enough, and the more specific one goes before an equal one,
//! since refusing it affects fewer requests. Crashes that a known cause explains count for no
//! other feature.
//!
//! Endpoints that crash at the same moment count once: they share a cause outside the requests,
//! as a loss of power.

use std::collections::VecDeque;

use crate::ids::Map;
use crate::time::Ms;

/// Crashes after which a feature that never completed is a cause.
const CRASHES_OF_UNKNOWN: usize = 3;
/// Crashes since its last completion after which a feature that had completed is a cause.
const CRASHES_OF_COMPLETED: usize = 5;
/// Crashes within this time of the first one count once.
const SAME_MOMENT: Ms = Ms(50);
/// Time after the last report of a crash from which on it counts. Each node reports its own
/// requests at the endpoint.
const SETTLE_TIME: Ms = Ms(120);
/// Time for which a crash counts.
const CRASH_MAX_AGE: Ms = Ms::secs(600);
/// Most crashes that are kept; the oldest is dropped first.
const MAX_CRASHES: usize = 128;
/// Most suspects kept of one crash.
const MAX_SUSPECTS: usize = 256;
/// Completed features of a kind at which the older half of them is forgotten.
const MAX_COMPLETED: usize = 16_384;

/// A property that requests share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Feature {
    /// Identifier, equal on all nodes.
    pub id: u64,
    /// Position of a prompt part, or [`Feature::WHOLE_REQUEST`]. Higher is more specific.
    pub depth: u8,
}

impl Feature {
    /// Depth of a request as a whole.
    pub const WHOLE_REQUEST: u8 = u8::MAX;
}

/// A crash of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Identifier of the endpoint's process, equal on all nodes.
    pub process: u64,
    /// Time on this node's clock.
    pub at: Ms,
    /// Features of the requests that were in flight.
    pub suspects: Vec<Feature>,
}

/// A feature that makes endpoints crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashCause {
    /// The feature.
    pub feature: Feature,
    /// Number of crashes that show it.
    pub crashes: usize,
}

/// Counts of a feature over the crashes that no known cause explains.
#[derive(Clone, Copy, Debug)]
struct Count {
    feature: Feature,
    crashes: usize,
    /// Time of the first crash that counts.
    first: Ms,
    /// Number of the last moment that counted.
    moment: usize,
}

/// Times at which requests with a feature last completed.
#[derive(Clone, Debug, Default)]
struct Completions {
    recent: Map<u64, Ms>,
    older: Map<u64, Ms>,
    /// Time of the last completion of any request.
    last: Ms,
}

impl Completions {
    fn record(&mut self, feature: u64, at: Ms) {
        self.last = self.last.max(at);
        let known = self.recent.entry(feature).or_insert(at);
        *known = at.max(*known);
        if self.recent.len() >= MAX_COMPLETED / 2 {
            self.older = std::mem::take(&mut self.recent);
        }
    }

    fn last_of(&self, feature: u64) -> Option<Ms> {
        self.recent.get(&feature).max(self.older.get(&feature)).copied()
    }
}

/// A crash with the time of the last report of further suspects.
#[derive(Clone, Debug)]
struct KnownCrash {
    crash: Crash,
    reported: Ms,
}

/// Crashes known to this node, and the features that completed.
#[derive(Clone, Debug, Default)]
pub struct CrashEvidence {
    /// Crashes that no known cause explains, ordered by time.
    crashes: VecDeque<KnownCrash>,
    /// Completions of prompt parts.
    parts: Completions,
    /// Completions of requests as a whole. Most of these occur once and must not displace parts.
    requests: Completions,
}

impl CrashEvidence {
    /// Records a crash, or further suspects of a known one. Returns whether anything was new.
    ///
    /// The caller leaves out crashes whose suspects include a known cause.
    pub fn on_crash(&mut self, now: Ms, crash: Crash) -> bool {
        let Crash { process, at, mut suspects } = crash;
        if let Some(i) = self.crashes.iter().position(|c| c.crash.process == process) {
            let known = &mut self.crashes[i];
            suspects.retain(|f| !known.crash.suspects.contains(f));
            if suspects.is_empty() {
                return false;
            }
            known.crash.suspects.extend(suspects);
            known.crash.suspects.truncate(MAX_SUSPECTS);
            known.crash.at = known.crash.at.min(at);
            known.reported = now;
            self.sort();
            return true;
        }
        suspects.truncate(MAX_SUSPECTS);
        let crash = Crash { process, at, suspects };
        self.crashes.push_back(KnownCrash { crash, reported: now });
        self.sort();
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.pop_front();
        }
        true
    }

    fn sort(&mut self) {
        self.crashes.make_contiguous().sort_by_key(|c| (c.crash.at, c.crash.process));
    }

    /// Records that a request with a feature completed. This counts for crashes that are reported
    /// later too.
    pub fn on_completed(&mut self, now: Ms, feature: Feature) {
        match feature.depth {
            Feature::WHOLE_REQUEST => self.requests.record(feature.id, now),
            _ => self.parts.record(feature.id, now),
        }
    }

    /// Records that a request with a feature completed at a peer. Peers report suspects only,
    /// which are few.
    pub fn on_peer_completed(&mut self, at: Ms, feature: u64) {
        self.parts.record(feature, at);
    }

    /// When a request with a feature last completed, if that is remembered.
    pub fn last_completed(&self, feature: u64) -> Option<Ms> {
        self.parts.last_of(feature).max(self.requests.last_of(feature))
    }

    /// Whether there are crashes that no known cause explains.
    pub fn has_crashes(&self) -> bool {
        !self.crashes.is_empty()
    }

    /// Drops a crash that turned out to have a known cause.
    pub fn forget(&mut self, process: u64) {
        self.crashes.retain(|c| c.crash.process != process);
    }

    /// Features that count two crashes or more, with the times of their last completions.
    /// Nodes tell each other these times before they decide.
    pub fn contested(&self, now: Ms) -> impl Iterator<Item = (u64, Ms)> {
        let counts = self.counts(now, Ms(0)).into_values().filter(|c| c.crashes >= 2);
        counts.filter_map(|c| Some((c.feature.id, self.last_completed(c.feature.id)?)))
    }

    /// Counts of all suspects over the crashes that have settled for `settle_time`.
    fn counts(&self, now: Ms, settle_time: Ms) -> Map<u64, Count> {
        let mut counts: Map<u64, Count> = Map::default();
        let (mut moment, mut moment_begun) = (0, None);
        let settled = self.crashes.iter().filter(|c| now.since(c.reported) >= settle_time);
        let recent = settled.map(|c| &c.crash).filter(|c| now.since(c.at) < CRASH_MAX_AGE);
        for crash in recent {
            if moment_begun.is_none_or(|begun| crash.at.since(begun) > SAME_MOMENT) {
                moment += 1;
                moment_begun = Some(crash.at);
            }
            let open = |f: &&Feature| self.last_completed(f.id).is_none_or(|at| at < crash.at);
            for f in crash.suspects.iter().filter(open) {
                let new = Count { feature: *f, crashes: 0, first: crash.at, moment: 0 };
                let count = counts.entry(f.id).or_insert(new);
                if count.moment != moment {
                    count.moment = moment;
                    count.crashes += 1;
                }
            }
        }
        counts
    }

    /// Whether a feature counts enough crashes to be a cause. If requests with it completed
    /// before, requests without it must have completed since its first crash: otherwise it may
    /// only be frequent.
    fn is_enough(&self, count: &Count) -> bool {
        let last = self.parts.last.max(self.requests.last);
        match self.last_completed(count.feature.id) {
            None => count.crashes >= CRASHES_OF_UNKNOWN,
            Some(_) => count.crashes >= CRASHES_OF_COMPLETED && last > count.first,
        }
    }

    /// The next cause that the crashes show, if any; the crashes that it explains are dropped.
    /// Crashes that were reported within [`SETTLE_TIME`] do not count.
    pub fn take_cause(&mut self, now: Ms) -> Option<CrashCause> {
        if self.crashes.len() < CRASHES_OF_UNKNOWN {
            return None;
        }
        let counts = self.counts(now, SETTLE_TIME);
        let never_completed = |c: &Count| self.last_completed(c.feature.id).is_none();
        let rank = |c: &Count| (never_completed(c), c.crashes, c.feature.depth);
        let mut candidates: Vec<&Count> = counts.values().filter(|c| self.is_enough(c)).collect();
        candidates.sort_by_key(|c| std::cmp::Reverse(rank(c)));
        let best = candidates.first()?;
        // Of equal ones the next crash tells which is the cause.
        if candidates.get(1).is_some_and(|second| rank(second) == rank(best)) {
            return None;
        }
        let cause = CrashCause { feature: best.feature, crashes: best.crashes };
        self.explain(cause.feature.id);
        Some(cause)
    }

    /// Drops the crashes that a feature explains.
    pub fn explain(&mut self, feature: u64) {
        self.crashes.retain(|c| !c.crash.suspects.iter().any(|f| f.id == feature));
    }
}
