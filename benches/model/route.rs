//! Selects an engine under each policy.

use rand::{SeedableRng, rngs::SmallRng};
use sycamorefork::cell_placement::{Costs, LoadView, Rendezvous};
use sycamorefork::cell_router::{CellRouter, RouteQuery};
use sycamorefork::ids::{AdapterRef, Endpoint, Team};
use sycamorefork::time::Ms;

use super::traffic::Request;
use super::{BATCH, Policy};

/// Number of entry nodes, each with its own copy of the load views.
const ENTRY_NODES: usize = 4;

/// The routers of all entry nodes.
pub struct Router {
    policy: Policy,
    engines: usize,
    ring: Rendezvous,
    cells: Vec<CellRouter>,
    rng: SmallRng,
}

impl Router {
    /// Creates the routers; `rate` is the number of requests per second that one engine
    /// completes.
    pub fn new(policy: Policy, names: &[Endpoint], rate: f64) -> Self {
        let endpoints: Vec<_> = names.iter().map(|n| (n.clone(), BATCH as u32, true)).collect();
        let costs = Costs { token_us: 25_000, prefill_us: 50, ..Costs::default() };
        let cell = |_| {
            let mut cell = CellRouter::new(&endpoints, costs, rate * 0.4 / ENTRY_NODES as f64);
            let empty = LoadView { healthy: true, ..LoadView::default() };
            (0..names.len()).for_each(|e| cell.on_view(Ms(0), e, empty.clone()));
            cell
        };
        Self {
            policy,
            engines: names.len(),
            ring: Rendezvous::new(names),
            cells: (0..ENTRY_NODES).map(cell).collect(),
            rng: SmallRng::seed_from_u64(7),
        }
    }

    /// Gives a load view of an engine to all entry nodes.
    pub fn on_view(&mut self, now: Ms, engine: usize, view: &LoadView) {
        self.cells.iter_mut().for_each(|c| c.on_view(now, engine, view.clone()));
    }

    /// Handles the owner's answer to a permit request.
    pub fn on_reply(&mut self, id: usize, engine: usize, team: &Team) {
        self.cells[id % ENTRY_NODES].on_reply(engine, team);
    }

    /// Selects an engine; `outstanding` counts requests per engine, and `tried` are engines that
    /// have refused the request.
    pub fn route(
        &mut self,
        now: Ms,
        id: usize,
        request: &Request,
        (team, adapter): (&Team, &AdapterRef),
        outstanding: &[usize],
        tried: &[usize],
    ) -> Option<usize> {
        match self.policy {
            Policy::CellRouter => {
                let query = RouteQuery {
                    team,
                    adapter: Some(adapter),
                    tokens: request.prompt_tokens + request.answer_tokens,
                    prompt: request.prompt_tokens as u32,
                    deadline: Ms(request.deadline / 1_000),
                    tried,
                };
                self.cells[id % ENTRY_NODES].route(now, &query, &mut self.rng)
            }
            Policy::RoundRobin => Some(id % self.engines),
            Policy::LeastOutstanding => (0..outstanding.len())
                .min_by_key(|e| (outstanding[*e], (e + id) % outstanding.len())),
            Policy::Rendezvous | Policy::RendezvousOvertaking => {
                Some(usize::from(self.ring.choices(adapter, 1).as_slice()[0]))
            }
        }
    }
}
