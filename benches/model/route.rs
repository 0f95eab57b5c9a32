//! Choice of the engine under each policy.

use rand::{SeedableRng, rngs::SmallRng};
use sycamorefork::ids::{AdapterRef, Endpoint};
use sycamorefork::place::{
    Candidate, Costs, LoadView, MAX_CHOICES, PlaceRequest, Popularity, Ring, choose,
};
use sycamorefork::time::Ms;

use super::traffic::Request;
use super::{BATCH, Policy};

/// Entry nodes, each with its own copy of the load views.
const ENTRIES: usize = 4;

/// Routers of all entry nodes.
pub struct Router {
    policy: Policy,
    names: Vec<Endpoint>,
    ring: Ring,
    popularity: Vec<Popularity>,
    views: Vec<Vec<LoadView>>,
    own: Vec<Vec<[u32; 5]>>,
    seen: Ms,
    rng: SmallRng,
}

impl Router {
    /// `rate` is the requests a second that one engine completes.
    pub fn new(policy: Policy, names: &[Endpoint], rate: f64) -> Self {
        let view = LoadView { batch: BATCH as u32, healthy: true, ..LoadView::default() };
        let hot = rate * 0.4 / ENTRIES as f64;
        Self {
            policy,
            names: names.to_vec(),
            ring: Ring::new(names),
            popularity: (0..ENTRIES).map(|_| Popularity::new(Ms::secs(30), hot)).collect(),
            views: vec![vec![view; names.len()]; ENTRIES],
            own: vec![vec![[0; 5]; names.len()]; ENTRIES],
            seen: Ms(0),
            rng: SmallRng::seed_from_u64(7),
        }
    }

    pub fn on_views(&mut self, now: Ms, views: Vec<Option<LoadView>>) {
        self.seen = now;
        for (e, view) in views.into_iter().enumerate() {
            if let Some(view) = view {
                self.views.iter_mut().for_each(|v| v[e] = view.clone());
            }
        }
    }

    /// An attempt starts to wait for a permit, or its reply arrives.
    pub fn waits(&mut self, id: usize, engine: usize, team: usize, waits: bool) {
        let own = &mut self.own[id % ENTRIES][engine][team];
        *own = if waits { *own + 1 } else { *own - 1 };
    }

    /// Least loaded engine other than the one that refused.
    pub fn elsewhere(&self, refused: usize) -> usize {
        let load = |e: &usize| self.views[0][*e].running + self.views[0][*e].queued;
        (0..self.names.len()).filter(|e| *e != refused).min_by_key(load).unwrap_or(refused)
    }

    pub fn route(
        &mut self,
        now: Ms,
        id: usize,
        request: &Request,
        adapter: &AdapterRef,
        busy: &[usize],
    ) -> usize {
        match self.policy {
            Policy::Ours => self.ours(now, id % ENTRIES, request, adapter),
            Policy::RoundRobin => id % self.names.len(),
            Policy::LeastOutstanding => {
                (0..busy.len()).min_by_key(|e| (busy[*e], (e + id) % busy.len())).unwrap_or(0)
            }
            Policy::Rendezvous | Policy::RendezvousOvertaking => {
                usize::from(self.ring.candidates(adapter, 1).as_slice()[0])
            }
        }
    }

    fn ours(&mut self, now: Ms, entry: usize, request: &Request, adapter: &AdapterRef) -> usize {
        self.popularity[entry].on_request(now, adapter);
        let replicas = self.popularity[entry].replicas(now, adapter);
        let choices = self.ring.candidates(adapter, MAX_CHOICES);
        let homes = &choices.as_slice()[..replicas];
        let candidate = |e: usize| Candidate {
            endpoint: &self.names[e],
            load: &self.views[entry][e],
            age: now.since(self.seen),
            loaded: self.views[entry][e].has(adapter),
            same_domain: true,
            owned: true,
            home: homes.contains(&(e as u16)),
            prefix: 0,
            own: self.own[entry][e][request.team],
        };
        let list: Vec<_> = (0..self.names.len()).map(candidate).collect();
        let place = PlaceRequest {
            tokens: request.prompt + request.answer,
            prompt: request.prompt as u32,
            deadline: Ms(request.deadline / 1_000),
            costs: Costs { token: 25_000, prefill: 50, ..Costs::default() },
        };
        let chosen = choose(now, &place, &list, &mut self.rng).unwrap_or(0);
        // The entry node knows its own requests before the next view does.
        let view = &mut self.views[entry][chosen];
        if view.running < view.batch {
            view.running += 1;
        } else {
            view.queued += 1;
            view.queued_tokens += place.tokens;
        }
        if let Err(at) = view.loaded.binary_search(adapter) {
            view.loaded.insert(at, adapter.clone());
        }
        chosen
    }
}
