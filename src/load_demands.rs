//! Load permits and the order in which teams get their adapters loaded.
//!
//! Loads are scheduled fairly by team, in virtual time counted in loads, so that a team with
//! many absent adapters does not take all load permits from a team that needs one.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{AdapterRef, Team};
use crate::queue::Queue;
use crate::time::Ms;

/// Source of permits for adapter loads from the weight store.
pub trait LoadGate {
    /// Acquires a permit for one load that is charged to `team`; returns `false` if none is
    /// available.
    fn try_load(&mut self, now: Ms, team: &Team) -> bool;

    /// Returns a permit whose load was never ordered.
    fn give_back(&mut self, _now: Ms, _team: &Team) {}
}

/// Adapter that a team needs next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadDemand {
    /// Team of the job that waits for the adapter.
    pub team: Team,
    /// Priority class of that job.
    pub priority: u8,
    /// Arrival of that job.
    pub arrived: Ms,
    /// Adapter to load.
    pub adapter: AdapterRef,
}

/// Adapter loads per team, in virtual time.
#[derive(Debug, Default)]
pub struct TeamLoads {
    vtimes: BTreeMap<Team, u64>,
    /// Teams with a demand in the last call of [`TeamLoads::demands`].
    waiting: BTreeSet<Team>,
    vtime: u64,
}

impl TeamLoads {
    /// Returns the demand of each team, teams with the fewest loads first.
    ///
    /// A team's demand is that of its most urgent, then oldest job whose adapter is `absent`.
    /// A team without a demand in the previous call starts at the current virtual time.
    pub fn demands(
        &mut self,
        queue: &Queue,
        mut absent: impl FnMut(&AdapterRef) -> bool,
    ) -> Vec<LoadDemand> {
        let mut found: BTreeMap<&Team, LoadDemand> = BTreeMap::new();
        for job in queue.jobs() {
            let Some(adapter) = &job.adapter else { continue };
            let precedes = |d: &LoadDemand| (d.priority, d.arrived) <= (job.priority, job.arrived);
            if found.get(&job.team).is_some_and(precedes) || !absent(adapter) {
                continue;
            }
            let (team, priority, arrived) = (job.team.clone(), job.priority, job.arrived);
            found.insert(
                &job.team,
                LoadDemand { team, priority, arrived, adapter: adapter.clone() },
            );
        }
        for team in found.keys().filter(|t| !self.waiting.contains(**t)) {
            let team_vtime = self.vtimes.entry((*team).clone()).or_default();
            *team_vtime = (*team_vtime).max(self.vtime);
        }
        let mut list: Vec<_> = found.into_values().collect();
        self.waiting = list.iter().map(|d| d.team.clone()).collect();
        list.sort_by_key(|d| (self.vtimes.get(&d.team).copied().unwrap_or(0), d.arrived));
        list
    }

    /// Charges one load to a team.
    pub fn charge(&mut self, team: &Team) {
        let team_vtime = self.vtimes.entry(team.clone()).or_default();
        self.vtime = self.vtime.max(*team_vtime);
        *team_vtime += 1;
    }
}
