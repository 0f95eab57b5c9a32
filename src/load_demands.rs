//! Load permits and the fair order of load demands by team.
//!
//! Loads are counted per team in virtual time, so that a team with many cold adapters does
//! not take all load permits from a team that needs one.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{AdapterRef, Team};
use crate::queue::Queue;
use crate::time::Ms;

/// Source of permits for loads from the weight store.
pub trait LoadGate {
    /// Takes a permit for one load that is charged to `team`.
    fn try_load(&mut self, now: Ms, team: &Team) -> bool;

    /// Returns a permit whose load was never ordered.
    fn give_back(&mut self, _now: Ms, _team: &Team) {}
}

/// The demand of a team that is to be loaded next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Team of the oldest job that waits for the adapter.
    pub team: Team,
    /// Priority class of that job.
    pub kind: u8,
    /// Its arrival.
    pub arrived: Ms,
    /// Adapter to load.
    pub adapter: AdapterRef,
}

/// Loads served per team.
#[derive(Debug, Default)]
pub struct LoadShare {
    served: BTreeMap<Team, u64>,
    wanting: BTreeSet<Team>,
    vtime: u64,
}

impl LoadShare {
    /// The most urgent and oldest demand of each team for an `absent` adapter, teams with
    /// the fewest loads first. A team that had no demand starts at the present virtual time.
    pub fn demands(
        &mut self,
        queue: &Queue,
        mut absent: impl FnMut(&AdapterRef) -> bool,
    ) -> Vec<Demand> {
        let mut found: BTreeMap<&Team, Demand> = BTreeMap::new();
        for job in queue.jobs() {
            let Some(adapter) = &job.adapter else { continue };
            let older = |d: &Demand| (d.kind, d.arrived) <= (job.priority, job.arrived);
            if found.get(&job.team).is_some_and(older) || !absent(adapter) {
                continue;
            }
            let (team, kind, arrived) = (job.team.clone(), job.priority, job.arrived);
            found.insert(&job.team, Demand { team, kind, arrived, adapter: adapter.clone() });
        }
        for team in found.keys().filter(|t| !self.wanting.contains(**t)) {
            let served = self.served.entry((*team).clone()).or_default();
            *served = (*served).max(self.vtime);
        }
        let mut list: Vec<_> = found.into_values().collect();
        self.wanting = list.iter().map(|d| d.team.clone()).collect();
        list.sort_by_key(|d| (self.served.get(&d.team).copied().unwrap_or(0), d.arrived));
        list
    }

    /// Charges a load to a team.
    pub fn charge(&mut self, team: &Team) {
        let served = self.served.entry(team.clone()).or_default();
        self.vtime = self.vtime.max(*served);
        *served += 1;
    }
}
