//! Routing of an entry node's requests to the endpoints of one cell.
//!
//! The router keeps the last load view of each endpoint, updated with this node's requests
//! since the view was made, an index from adapters to the endpoints that have them, and the
//! number of waiting requests per team and endpoint. Routing therefore needs neither a scan
//! of all adapters nor an allocation.

use rand::Rng;

use crate::cell_placement::{
    Candidate, Choices, Costs, LoadView, MAX_CHOICES, PlacementRequest, Popularity, Rendezvous,
    choose_from_iter,
};
use crate::ids::{AdapterRef, Endpoint, Map, Team};
use crate::time::Ms;

/// Time constant of the request rates that determine the numbers of replicas.
const POPULARITY_DECAY: Ms = Ms::secs(30);

/// Request to be routed.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// Team of the request.
    pub team: &'a Team,
    /// Required adapter; `None` for the base model or a plain service.
    pub adapter: Option<&'a AdapterRef>,
    /// Prompt plus maximum output, in tokens.
    pub tokens: u64,
    /// Prompt tokens.
    pub prompt: u32,
    /// Time after which an answer is useless.
    pub deadline: Ms,
    /// Indices of the endpoints that were already tried for the request.
    pub tried: &'a [usize],
}

#[derive(Debug)]
struct EndpointView {
    name: Endpoint,
    view: LoadView,
    /// Arrival of the load view.
    updated: Ms,
    same_domain: bool,
    owned: bool,
}

/// Router for the endpoints of one model in one cell. The index `at` of an endpoint refers to
/// the list given to [`CellRouter::new`].
#[derive(Debug)]
pub struct CellRouter {
    endpoints: Vec<EndpointView>,
    rendezvous: Rendezvous,
    /// Indices of the endpoints that have an adapter.
    loaded_on: Map<AdapterRef, Vec<u16>>,
    /// Number of requests per endpoint that wait for a permit.
    waiting: Map<Team, Vec<u32>>,
    popularity: Popularity,
    costs: Costs,
}

impl CellRouter {
    /// Creates a router for endpoints, each with its batch size and whether it is in this
    /// node's failure domain. An adapter gets one more replica per `replica_rate` requests per
    /// second at this node.
    pub fn new(endpoints: &[(Endpoint, u32, bool)], costs: Costs, replica_rate: f64) -> Self {
        let names: Vec<_> = endpoints.iter().map(|(name, ..)| name.clone()).collect();
        let endpoint = |(name, batch, same_domain): &(Endpoint, u32, bool)| EndpointView {
            name: name.clone(),
            view: LoadView { batch: *batch, ..LoadView::default() },
            updated: Ms(0),
            same_domain: *same_domain,
            owned: false,
        };
        Self {
            endpoints: endpoints.iter().map(endpoint).collect(),
            rendezvous: Rendezvous::new(&names),
            loaded_on: Map::default(),
            waiting: Map::default(),
            popularity: Popularity::new(POPULARITY_DECAY, replica_rate),
            costs,
        }
    }

    /// Replaces the load view of an endpoint and marks the endpoint as owned.
    ///
    /// `view.loaded` must be sorted. If `view.batch` is 0, the previous batch size is kept.
    pub fn on_view(&mut self, now: Ms, at: usize, mut view: LoadView) {
        let endpoint = &mut self.endpoints[at];
        if view.batch == 0 {
            view.batch = endpoint.view.batch;
        }
        (endpoint.updated, endpoint.owned) = (now, true);
        let old = std::mem::replace(&mut endpoint.view, view);
        for gone in old.loaded.iter().filter(|a| !self.endpoints[at].view.has(a)) {
            if let Some(list) = self.loaded_on.get_mut(gone) {
                list.retain(|e| usize::from(*e) != at);
                if list.is_empty() {
                    self.loaded_on.remove(gone);
                }
            }
        }
        for new in self.endpoints[at].view.loaded.iter().filter(|a| !old.has(a)) {
            self.loaded_on.entry(new.clone()).or_default().push(at as u16);
        }
    }

    /// Records that no node owns the endpoint.
    pub fn set_unowned(&mut self, at: usize) {
        self.endpoints[at].owned = false;
    }

    /// Chooses an endpoint and counts the request there.
    ///
    /// Call [`CellRouter::on_reply`] when the endpoint's owner has answered.
    pub fn route(&mut self, now: Ms, query: &RouteQuery<'_>, rng: &mut impl Rng) -> Option<usize> {
        let (mut homes, mut loaded_on) = (Choices::default(), &[][..]);
        if let Some(adapter) = query.adapter {
            self.popularity.on_request(now, adapter);
            let replicas = self.popularity.replicas(now, adapter);
            homes = self.rendezvous.choices(adapter, replicas.min(MAX_CHOICES));
            loaded_on = self.loaded_on.get(adapter).map_or(&[][..], Vec::as_slice);
        }
        let team_waiting = self.waiting.get(query.team).map_or(&[][..], Vec::as_slice);
        let request = PlacementRequest {
            tokens: query.tokens,
            prompt: query.prompt,
            deadline: query.deadline,
            costs: self.costs,
        };
        let endpoints = self.endpoints.iter().zip(0u16..).enumerate();
        let list = endpoints.map(|(i, (e, at))| Candidate {
            endpoint: &e.name,
            load: &e.view,
            age: now.since(e.updated),
            loaded: query.adapter.is_none() || loaded_on.contains(&at),
            same_domain: e.same_domain,
            owned: e.owned && !query.tried.contains(&i),
            home: homes.as_slice().contains(&at),
            cached_prefix: 0,
            team_waiting: team_waiting.get(i).copied().unwrap_or(0),
        });
        let chosen = choose_from_iter(&request, list, rng)?;
        self.add_request(query, chosen);
        Some(chosen)
    }

    /// Records that the endpoint's owner answered a permit request of the team.
    pub fn on_reply(&mut self, at: usize, team: &Team) {
        if let Some(count) = self.waiting.get_mut(team).and_then(|w| w.get_mut(at)) {
            *count = count.saturating_sub(1);
        }
    }

    /// Name of an endpoint.
    pub fn name(&self, at: usize) -> &Endpoint {
        &self.endpoints[at].name
    }

    /// Last known load of an endpoint.
    pub fn view(&self, at: usize) -> &LoadView {
        &self.endpoints[at].view
    }

    /// Removes the request rates of idle adapters; to be called about once a minute.
    pub fn drop_idle_rates(&mut self, now: Ms) {
        self.popularity.drop_idle(now);
    }

    /// Adds the request to the endpoint's load view, so that following requests see it before
    /// the owner's next view arrives.
    fn add_request(&mut self, query: &RouteQuery<'_>, at: usize) {
        let view = &mut self.endpoints[at].view;
        if view.running < view.batch {
            view.running += 1;
        } else {
            view.queued += 1;
            view.queued_tokens += query.tokens;
        }
        if let Some(adapter) = query.adapter
            && let Err(pos) = view.loaded.binary_search(adapter)
        {
            view.loaded.insert(pos, adapter.clone());
            self.loaded_on.entry(adapter.clone()).or_default().push(at as u16);
        }
        match self.waiting.get_mut(query.team) {
            Some(waiting) => waiting[at] += 1,
            None => {
                let mut waiting = vec![0; self.endpoints.len()];
                waiting[at] = 1;
                self.waiting.insert(query.team.clone(), waiting);
            }
        }
    }
}
