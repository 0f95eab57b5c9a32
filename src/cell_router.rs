//! Endpoints of one cell as an entry node sees them.
//!
//! Keeps the load views, corrected by the node's own requests since each view was made, an
//! index from adapters to the endpoints that have them, and the team's own waiting requests,
//! so that a route needs neither a scan of adapters nor an allocation.

use rand::Rng;

use crate::cell_placement::{
    Candidate, Choices, Costs, LoadView, MAX_CHOICES, PlacementRequest, Popularity, Rendezvous,
    choose_from,
};
use crate::ids::{AdapterRef, Endpoint, Map, Team};
use crate::time::Ms;

/// Decay time of the request rates that decide on replicas.
const RATE_LIFE: Ms = Ms::secs(30);

/// What is asked for.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// Team of the request.
    pub team: &'a Team,
    /// Adapter, or `None` for the base model or a plain service.
    pub adapter: Option<&'a AdapterRef>,
    /// Prompt plus maximum output, in tokens.
    pub tokens: u64,
    /// Prompt tokens.
    pub prompt: u32,
    /// Instant after which an answer is useless.
    pub deadline: Ms,
    /// Endpoints that refused the request already.
    pub tried: &'a [usize],
}

#[derive(Debug)]
struct Member {
    name: Endpoint,
    view: LoadView,
    seen: Ms,
    near: bool,
    owned: bool,
}

/// Endpoints of one model in one cell; positions refer to the list given to [`CellRouter::new`].
#[derive(Debug)]
pub struct CellRouter {
    members: Vec<Member>,
    ring: Rendezvous,
    copies: Map<AdapterRef, Vec<u16>>,
    waiting: Map<Team, Vec<u32>>,
    popularity: Popularity,
    costs: Costs,
}

impl CellRouter {
    /// A cell of endpoints, each with its batch size and whether it is in this node's failure
    /// domain. An adapter gets one replica more per `hot` requests a second at this node.
    pub fn new(endpoints: &[(Endpoint, u32, bool)], costs: Costs, hot: f64) -> Self {
        let names: Vec<_> = endpoints.iter().map(|(name, ..)| name.clone()).collect();
        let member = |(name, batch, near): &(Endpoint, u32, bool)| Member {
            name: name.clone(),
            view: LoadView { batch: *batch, ..LoadView::default() },
            seen: Ms(0),
            near: *near,
            owned: false,
        };
        Self {
            members: endpoints.iter().map(member).collect(),
            ring: Rendezvous::new(&names),
            copies: Map::default(),
            waiting: Map::default(),
            popularity: Popularity::new(RATE_LIFE, hot),
            costs,
        }
    }

    /// Adopts the load view of an owned endpoint; `loaded` must be sorted. A view without
    /// a batch size keeps the known one.
    pub fn on_view(&mut self, now: Ms, at: usize, mut view: LoadView) {
        let member = &mut self.members[at];
        if view.batch == 0 {
            view.batch = member.view.batch;
        }
        (member.seen, member.owned) = (now, true);
        let old = std::mem::replace(&mut member.view, view);
        for gone in old.loaded.iter().filter(|a| !self.members[at].view.has(a)) {
            if let Some(list) = self.copies.get_mut(gone) {
                list.retain(|e| usize::from(*e) != at);
                if list.is_empty() {
                    self.copies.remove(gone);
                }
            }
        }
        for new in self.members[at].view.loaded.iter().filter(|a| !old.has(a)) {
            self.copies.entry(new.clone()).or_default().push(at as u16);
        }
    }

    /// Tells that no node owns the endpoint at present.
    pub fn set_unowned(&mut self, at: usize) {
        self.members[at].owned = false;
    }

    /// Chooses an endpoint; call [`CellRouter::on_reply`] when its owner has answered.
    pub fn route(&mut self, now: Ms, query: &RouteQuery<'_>, rng: &mut impl Rng) -> Option<usize> {
        let (mut homes, mut copies) = (Choices::default(), &[][..]);
        if let Some(adapter) = query.adapter {
            self.popularity.on_request(now, adapter);
            let replicas = self.popularity.replicas(now, adapter);
            homes = self.ring.choices(adapter, replicas.min(MAX_CHOICES));
            copies = self.copies.get(adapter).map_or(&[][..], Vec::as_slice);
        }
        let own = self.waiting.get(query.team).map_or(&[][..], Vec::as_slice);
        let request = PlacementRequest {
            tokens: query.tokens,
            prompt: query.prompt,
            deadline: query.deadline,
            costs: self.costs,
        };
        let members = self.members.iter().zip(0u16..).enumerate();
        let list = members.map(|(i, (m, at))| Candidate {
            endpoint: &m.name,
            load: &m.view,
            age: now.since(m.seen),
            loaded: query.adapter.is_none() || copies.contains(&at),
            same_domain: m.near,
            owned: m.owned && !query.tried.contains(&i),
            home: homes.as_slice().contains(&at),
            cached_prefix: 0,
            team_waiting: own.get(i).copied().unwrap_or(0),
        });
        let chosen = choose_from(&request, list, rng)?;
        self.note(query, chosen);
        Some(chosen)
    }

    /// Records that the owner answered a permit request of the team.
    pub fn on_reply(&mut self, at: usize, team: &Team) {
        if let Some(count) = self.waiting.get_mut(team).and_then(|w| w.get_mut(at)) {
            *count = count.saturating_sub(1);
        }
    }

    /// Name of an endpoint.
    pub fn name(&self, at: usize) -> &Endpoint {
        &self.members[at].name
    }

    /// Last known load of an endpoint.
    pub fn view(&self, at: usize) -> &LoadView {
        &self.members[at].view
    }

    /// Forgets the rates of adapters that are idle; to be called every minute or so.
    pub fn drop_idle_rates(&mut self, now: Ms) {
        self.popularity.forget(now);
    }

    /// Counts the request in the view, because the next view arrives later.
    fn note(&mut self, query: &RouteQuery<'_>, at: usize) {
        let view = &mut self.members[at].view;
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
            self.copies.entry(adapter.clone()).or_default().push(at as u16);
        }
        match self.waiting.get_mut(query.team) {
            Some(waiting) => waiting[at] += 1,
            None => {
                let mut waiting = vec![0; self.members.len()];
                waiting[at] = 1;
                self.waiting.insert(query.team.clone(), waiting);
            }
        }
    }
}
