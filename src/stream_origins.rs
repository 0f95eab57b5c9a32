//! Which software version of a service began each recent stream, and which versions serve.
//!
//! What two versions write does not fit together, so a stream goes on only at the version that
//! began it. A node remembers the streams that began through it. While several versions of a
//! service serve, or did so within the lifetime of a stream, it also writes them to the store,
//! where they outlast the node.

use std::rc::Rc;

use crate::ids::{Map, stable_hash};
use crate::time::Ms;

/// Shortest and longest time for which a stream is remembered.
const LIFETIME_MIN: Ms = Ms::secs(10);
const LIFETIME_MAX: Ms = Ms::secs(120);
/// Time after the longest time limit of a stream in which it may still be taken up.
const LIFETIME_EXTRA: Ms = Ms::secs(5);

/// Digest of the attempt that brought the first event of a stream.
pub type StreamId = u64;

/// The digest of an attempt.
pub fn stream_id(attempt: &str) -> StreamId {
    stable_hash(&[attempt])
}

/// Where a stream began.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Origin {
    /// Service that the stream comes from.
    pub service: Rc<str>,
    /// Version of the software of its endpoint.
    pub software: Rc<str>,
}

/// A stream that is remembered.
#[derive(Clone, Debug)]
struct Begun {
    origin: Origin,
    at: Ms,
    /// Whether the store holds it, or need not.
    is_written: bool,
}

/// Streams and software versions known to this node.
#[derive(Clone, Debug)]
pub struct StreamOrigins {
    streams: Map<StreamId, Begun>,
    /// When each version of a service was last seen.
    seen: Map<Origin, Ms>,
    lifetime: Ms,
    /// Start of the node.
    started: Ms,
}

impl StreamOrigins {
    /// Creates the state of a node that starts.
    pub fn new(now: Ms) -> Self {
        let (streams, seen) = (Map::default(), Map::default());
        Self { streams, seen, lifetime: LIFETIME_MIN, started: now }
    }

    /// Sets the longest time limit of a stream.
    pub fn set_time_limit(&mut self, limit: Ms) {
        self.lifetime = (limit + LIFETIME_EXTRA).clamp(LIFETIME_MIN, LIFETIME_MAX);
    }

    /// Time for which a stream may be taken up.
    pub fn lifetime(&self) -> Ms {
        self.lifetime
    }

    /// Records that endpoints of a version were seen at `at`.
    pub fn observe(&mut self, origin: &Origin, at: Ms) {
        match self.seen.get_mut(origin) {
            Some(seen) => *seen = (*seen).max(at),
            None => {
                self.seen.insert(origin.clone(), at);
            }
        }
    }

    /// Versions of services seen within the lifetime of a stream, with the time since.
    fn recent(&self, now: Ms) -> impl Iterator<Item = (&Origin, Ms)> {
        let ages = self.seen.iter().map(move |(origin, at)| (origin, now.since(*at)));
        ages.filter(|(_, age)| *age < self.lifetime)
    }

    /// Versions of services of which several were seen within the lifetime of a stream, with the
    /// time since.
    pub fn mixed(&self, now: Ms) -> impl Iterator<Item = (&Origin, Ms)> {
        self.recent(now).filter(move |(origin, _)| self.is_mixed(now, &origin.service))
    }

    fn is_mixed(&self, now: Ms, service: &str) -> bool {
        self.recent(now).filter(|(origin, _)| *origin.service == *service).count() > 1
    }

    /// The version of a service if only one was seen within the lifetime of a stream.
    pub fn only_version(&self, now: Ms, service: &str) -> Option<&Origin> {
        let mut versions = self.recent(now).filter(|(origin, _)| *origin.service == *service);
        versions.next().map(|(origin, _)| origin).filter(|_| versions.next().is_none())
    }

    /// Versions of a service seen within the lifetime of a stream, with the time since in ms, for
    /// the log.
    pub fn versions_of(&self, now: Ms, service: &str) -> Vec<(String, u64)> {
        let versions = self.recent(now).filter(|(origin, _)| *origin.service == *service);
        versions.map(|(origin, age)| (origin.software.to_string(), age.0)).collect()
    }

    /// Whether this node has run for the lifetime of a stream.
    pub fn has_seen_all(&self, now: Ms) -> bool {
        now.since(self.started) >= self.lifetime
    }

    /// Records that a stream began through this node.
    pub fn begin(&mut self, now: Ms, id: StreamId, origin: Origin) {
        self.observe(&origin, now);
        self.streams.insert(id, Begun { origin, at: now, is_written: false });
    }

    /// Records a stream of another node, as the store holds it. It began at `at` or before.
    pub fn learn(&mut self, id: StreamId, origin: &Origin, at: Ms) {
        let begun = Begun { origin: origin.clone(), at, is_written: true };
        self.streams.entry(id).or_insert(begun);
    }

    /// Where a stream began, if this node knows it.
    pub fn origin(&self, id: StreamId) -> Option<&Origin> {
        self.streams.get(&id).map(|begun| &begun.origin)
    }

    /// Streams to be written to the store, at most `count`.
    pub fn unwritten(&self, now: Ms, count: usize) -> Vec<(StreamId, Origin)> {
        let mixed: Vec<&str> = self.mixed(now).map(|(origin, _)| &*origin.service).collect();
        let is_due = |b: &Begun| !b.is_written && mixed.contains(&&*b.origin.service);
        let due = self.streams.iter().filter(|(_, begun)| is_due(begun));
        due.map(|(id, begun)| (*id, begun.origin.clone())).take(count).collect()
    }

    /// Records that the store holds streams.
    pub fn on_written(&mut self, ids: impl Iterator<Item = StreamId>) {
        for id in ids {
            if let Some(begun) = self.streams.get_mut(&id) {
                begun.is_written = true;
            }
        }
    }

    /// Forgets streams that nobody can take up, and versions of their time.
    pub fn expire(&mut self, now: Ms) {
        let lifetime = self.lifetime;
        self.streams.retain(|_, begun| now.since(begun.at) < lifetime);
        self.seen.retain(|_, at| now.since(*at) < lifetime);
    }
}
