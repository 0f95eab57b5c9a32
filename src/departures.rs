//! Endpoints that are leaving or gone, with what shows it: rows of the store, or the endpoint's own
//! answers.
//!
//! Nodes learn of a departure at different times and tell each other. An entry that is newer
//! than the rows that show a departure overrides them: the endpoint is back. What an endpoint has
//! said in an answer holds for this incarnation, whatever its entry says.

use std::rc::Rc;

use crate::ids::Map;
use crate::time::Ms;

/// Time for which a departure is remembered.
const REMEMBERED_FOR: Ms = Ms::secs(60);

/// News that an endpoint has left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Departure {
    /// Version of the rows that shows the departure, or of the entry that it refers to; 0 if no
    /// row shows it.
    version: u64,
    /// Start of the incarnation that has said in an answer that it leaves.
    announced: Option<u64>,
    /// When this node learned of it.
    learned: Ms,
}

/// Departures known to this node, by the endpoint's instance ID.
#[derive(Clone, Debug, Default)]
pub struct Departures(Map<Rc<str>, Departure>);

impl Departures {
    /// Records a departure that rows of the given version show. Returns whether it was unknown.
    pub fn record(&mut self, now: Ms, id: &Rc<str>, version: u64) -> bool {
        match self.0.get_mut(id) {
            Some(departure) => {
                departure.version = departure.version.max(version);
                false
            }
            None => {
                let new = Departure { version, announced: None, learned: now };
                self.0.insert(id.clone(), new).is_none()
            }
        }
    }

    /// Records that the incarnation that started at `start` has said in an answer that it leaves.
    /// Returns whether that was unknown.
    pub fn announce(&mut self, now: Ms, id: &Rc<str>, start: u64) -> bool {
        match self.0.get_mut(id) {
            Some(departure) => departure.announced.replace(start) != Some(start),
            None => {
                let new = Departure { version: 0, announced: Some(start), learned: now };
                self.0.insert(id.clone(), new).is_none()
            }
        }
    }

    /// Whether the endpoint has left although its entry, of the given version and of the
    /// incarnation that started at `start`, says that it is ready. What the entry refutes is
    /// forgotten.
    pub fn overrides(&mut self, id: &str, entry_version: u64, start: u64) -> bool {
        let Some(departure) = self.0.get_mut(id) else { return false };
        departure.announced = departure.announced.filter(|announced| *announced == start);
        if departure.announced.is_none() && departure.version < entry_version {
            self.0.remove(id);
            return false;
        }
        true
    }

    /// Whether a departure of the endpoint is known.
    pub fn contains(&self, id: &str) -> bool {
        self.0.contains_key(id)
    }

    /// Departures that rows show, learned within `age`, with the rows' versions.
    pub fn recent(&self, now: Ms, age: Ms) -> impl Iterator<Item = (&Rc<str>, u64)> {
        let is_recent = move |d: &Departure| d.version > 0 && now.since(d.learned) < age;
        self.0.iter().filter(move |(_, d)| is_recent(d)).map(|(id, d)| (id, d.version))
    }

    /// Endpoints that have said in answers that they leave, with the starts of the incarnations.
    pub fn announced(&self) -> impl Iterator<Item = (&Rc<str>, u64)> {
        self.0.iter().filter_map(|(id, d)| Some((id, d.announced?)))
    }

    /// Forgets old departures. What an endpoint has said is remembered while it is listed.
    pub fn expire(&mut self, now: Ms, is_listed: impl Fn(&str) -> bool) {
        self.0.retain(|id, d| {
            now.since(d.learned) < REMEMBERED_FOR || (d.announced.is_some() && is_listed(id))
        });
    }
}
