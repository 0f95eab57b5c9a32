//! Choice of the engine under each policy.

use rand::{SeedableRng, rngs::SmallRng};
use sycamorefork::cell_placement::{Costs, LoadView, Rendezvous};
use sycamorefork::cell_router::{CellRouter, RouteQuery};
use sycamorefork::ids::{AdapterRef, Endpoint, Team};
use sycamorefork::time::Ms;

use super::traffic::Request;
use super::{BATCH, Policy};

/// Entry nodes, each with its own copy of the load views.
const ENTRIES: usize = 4;

/// Routers of all entry nodes.
pub struct Router {
    policy: Policy,
    engines: usize,
    ring: Rendezvous,
    cells: Vec<CellRouter>,
    rng: SmallRng,
}

impl Router {
    /// `rate` is the requests a second that one engine completes.
    pub fn new(policy: Policy, names: &[Endpoint], rate: f64) -> Self {
        let endpoints: Vec<_> = names.iter().map(|n| (n.clone(), BATCH as u32, true)).collect();
        let costs = Costs { token_us: 25_000, prefill_us: 50, ..Costs::default() };
        let cell = |_| {
            let mut cell = CellRouter::new(&endpoints, costs, rate * 0.4 / ENTRIES as f64);
            let empty = LoadView { healthy: true, ..LoadView::default() };
            (0..names.len()).for_each(|e| cell.on_view(Ms(0), e, empty.clone()));
            cell
        };
        Self {
            policy,
            engines: names.len(),
            ring: Rendezvous::new(names),
            cells: (0..ENTRIES).map(cell).collect(),
            rng: SmallRng::seed_from_u64(7),
        }
    }

    pub fn on_view(&mut self, now: Ms, engine: usize, view: &LoadView) {
        self.cells.iter_mut().for_each(|c| c.on_view(now, engine, view.clone()));
    }

    /// The owner answered a permit request.
    pub fn on_reply(&mut self, id: usize, engine: usize, team: &Team) {
        self.cells[id % ENTRIES].on_reply(engine, team);
    }

    /// Chooses an engine that has not been tried; `busy` are outstanding requests per engine.
    pub fn route(
        &mut self,
        now: Ms,
        id: usize,
        request: &Request,
        (team, adapter): (&Team, &AdapterRef),
        busy: &[usize],
        tried: &[usize],
    ) -> Option<usize> {
        match self.policy {
            Policy::Ours => {
                let query = RouteQuery {
                    team,
                    adapter: Some(adapter),
                    tokens: request.prompt + request.answer,
                    prompt: request.prompt as u32,
                    deadline: Ms(request.deadline / 1_000),
                    tried,
                };
                self.cells[id % ENTRIES].route(now, &query, &mut self.rng)
            }
            Policy::RoundRobin => Some(id % self.engines),
            Policy::LeastOutstanding => {
                (0..busy.len()).min_by_key(|e| (busy[*e], (e + id) % busy.len()))
            }
            Policy::Rendezvous | Policy::RendezvousOvertaking => {
                Some(usize::from(self.ring.choices(adapter, 1).as_slice()[0]))
            }
        }
    }
}
