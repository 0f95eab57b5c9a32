//! Endpoints that are leaving or gone, with the version of the store's rows that shows it.
//!
//! Nodes learn of a departure at different times and tell each other. An entry that is newer
//! than the news of a departure overrides it: the endpoint is back.

use std::rc::Rc;

use crate::ids::Map;
use crate::time::Ms;

/// Time for which a departure is remembered.
const REMEMBERED_FOR: Ms = Ms::secs(60);

/// News that an endpoint has left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Departure {
    /// Version of the rows that shows the departure, or of the entry that it refers to.
    version: u64,
    /// When this node learned of it.
    learned: Ms,
}

/// Departures known to this node, by the endpoint's instance ID.
#[derive(Clone, Debug, Default)]
pub struct Departures(Map<Rc<str>, Departure>);

impl Departures {
    /// Records a departure. Returns whether it was unknown.
    pub fn record(&mut self, now: Ms, id: &Rc<str>, version: u64) -> bool {
        let known = self.0.get_mut(id);
        match known {
            Some(departure) => {
                departure.version = departure.version.max(version);
                false
            }
            None => self.0.insert(id.clone(), Departure { version, learned: now }).is_none(),
        }
    }

    /// Whether the endpoint has left although its entry of the given version says that it is
    /// ready. A departure that is older than the entry is forgotten.
    pub fn overrides(&mut self, id: &str, entry_version: u64) -> bool {
        let Some(departure) = self.0.get(id) else { return false };
        if departure.version < entry_version {
            self.0.remove(id);
            return false;
        }
        true
    }

    /// Whether a departure of the endpoint is known.
    pub fn contains(&self, id: &str) -> bool {
        self.0.contains_key(id)
    }

    /// Departures learned within `age`, with their versions.
    pub fn recent(&self, now: Ms, age: Ms) -> impl Iterator<Item = (&Rc<str>, u64)> {
        let is_recent = move |d: &Departure| now.since(d.learned) < age;
        self.0.iter().filter(move |(_, d)| is_recent(d)).map(|(id, d)| (id, d.version))
    }

    /// Forgets old departures.
    pub fn expire(&mut self, now: Ms) {
        self.0.retain(|_, d| now.since(d.learned) < REMEMBERED_FOR);
    }
}
