//! The current configuration, compiled for lookups on the request path.
//!
//! A route is found by its host and the longest prefix of the path, a team by an API key.
//! Versions only increase: [`Routing::replaces`] decides whether a document is applied.

use std::rc::Rc;

use crate::failpoint::{Failpoint, active};
use crate::ids::Map;
use crate::shared_limits::{Limit, Limited};
use crate::time::Ms;

/// Kind of requests on a route, which determines whether they may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    Once,
    /// The answer is a stream of events. A request runs at most once unless it is resumable.
    Stream {
        /// Whether a broken stream may be resumed at another endpoint.
        resumable: bool,
    },
}

impl RequestKind {
    /// Whether a request may be sent again after it may have run.
    pub fn repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub fn streams(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that receives part of a route's traffic.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Rc<str>,
    /// Weight relative to the route's other services.
    pub weight: f64,
}

/// Requests that are handled alike, selected by host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, unique in the document.
    pub name: Rc<str>,
    /// Host, in lower case.
    pub host: String,
    /// Path prefix, with a slash at both ends.
    pub prefix: String,
    /// Kind of requests, which determines whether they may be sent again.
    pub kind: RequestKind,
    /// Longest time until the end of the answer, unless the caller sets a shorter deadline.
    pub timeout: Ms,
    /// Latency objective for the answer, or for the first event of a stream.
    pub objective: Ms,
    /// Priority rank; 0 is the most urgent.
    pub rank: u32,
    /// Services with their weights; never empty.
    pub targets: Vec<WeightedService>,
    /// Largest number of endpoints that one request may run on.
    pub max_attempts: u32,
    /// Whether requests need no API key.
    pub public: bool,
    /// Objective for the longest pause between two events of a stream.
    pub max_gap: Ms,
}

/// Smallest burst of a team, in seconds of its rate.
const MIN_BURST_S: f64 = 0.1;
/// Shortest time without an event after which callers close a stream.
const ABANDON_MIN_MS: u64 = 2_000;
/// Callers close a stream after this many times the latency objective.
const ABANDON_OBJECTIVES: u64 = 4;
/// Callers close a stream after this many times the longest pause between events.
const ABANDON_GAPS: u64 = 8;

impl Route {
    /// Time after which the caller of a stream gives up waiting for an event, whatever its
    /// deadline; `None` if the answer is not a stream.
    pub fn abandon_after(&self) -> Option<Ms> {
        let objectives = self.objective.0 * ABANDON_OBJECTIVES;
        let gaps = self.max_gap.0 * ABANDON_GAPS;
        self.kind.streams().then_some(Ms(ABANDON_MIN_MS.max(objectives).max(gaps)))
    }
}

/// A model that endpoints of a service may load.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Name.
    pub name: Rc<str>,
    /// Size of the weights, in MB.
    pub weights_mb: f64,
    /// Time of a load from the weight store.
    pub load_time: Ms,
    /// Size of an adapter, in MB.
    pub adapter_mb: f64,
}

/// Limits of the engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineLimits {
    /// Models that requests may name.
    pub models: Vec<Model>,
    /// Memory of an endpoint for weights and adapters, in MB.
    pub memory_mb: f64,
    /// Largest number of adapters on an endpoint.
    pub adapter_slots: usize,
    /// Largest number of requests in a batch.
    pub slots: usize,
    /// Tokens that fit into the KV cache of an endpoint.
    pub kv_tokens: f64,
    /// Loads from the weight store per second, over all endpoints.
    pub loads_per_s: f64,
}

impl EngineLimits {
    /// Number of adapters of `model` that an endpoint may hold in addition to the model.
    pub fn adapters_beside(&self, model: &Model) -> usize {
        let free_mb = (self.memory_mb - model.weights_mb).max(0.0);
        let fits = (free_mb / model.adapter_mb.max(0.001)) as usize;
        self.adapter_slots.min(fits)
    }
}

/// A service and the limits of its endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: Rc<str>,
    /// Largest number of connections that an endpoint accepts, over all nodes.
    pub max_connections: usize,
    /// Limits of its engines; `None` if its endpoints are not model engines.
    pub engine: Option<EngineLimits>,
}

/// A team and its rate limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Name.
    pub name: Rc<str>,
    /// Priority rank that overrides the route's.
    pub rank: Option<u32>,
    /// Tokens or requests per second over all nodes; 0 means no limit.
    pub rate: f64,
    /// Burst beyond the rate, in tokens or requests; 0 means none.
    pub burst: f64,
    /// Whether the limit counts tokens rather than requests.
    pub by_token: bool,
    /// Tokens counted for a request that does not state its size.
    pub unsized_cost: f64,
}

impl Limited for Team {
    fn name(&self) -> &Rc<str> {
        &self.name
    }

    fn limit(&self) -> Option<Limit> {
        let burst = self.burst.max(self.rate * MIN_BURST_S);
        (self.rate > 0.0).then_some(Limit { rate: self.rate, burst, min_burst: 0.0 })
    }
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time until a request's head is complete.
    pub head_timeout: Ms,
    /// Longest time that a connection may be idle.
    pub idle_timeout: Ms,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Routing {
    /// Version of the document; 0 before the first one.
    pub version: u64,
    /// Services by name.
    pub services: Map<Rc<str>, Rc<Service>>,
    /// Limits on callers' requests; `None` before the first document.
    pub limits: Option<CallerLimits>,
    hosts: Map<String, Vec<Rc<Route>>>,
    keys: Map<String, Rc<Team>>,
    teams: Vec<Rc<Team>>,
}

impl Routing {
    /// Compiles a document. Each team comes with its API keys.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        teams: Vec<(Team, Vec<String>)>,
        limits: CallerLimits,
    ) -> Self {
        let mut hosts: Map<String, Vec<Rc<Route>>> = Map::default();
        for route in routes {
            hosts.entry(route.host.clone()).or_default().push(Rc::new(route));
        }
        for list in hosts.values_mut() {
            list.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        let mut keys = Map::default();
        let mut all_teams = Vec::with_capacity(teams.len());
        for (team, list) in teams {
            let team = Rc::new(team);
            all_teams.push(team.clone());
            keys.extend(list.into_iter().map(|k| (k, team.clone())));
        }
        let services = services.into_iter().map(|s| (s.name.clone(), Rc::new(s))).collect();
        Self { version, services, limits: Some(limits), hosts, keys, teams: all_teams }
    }

    /// Whether this version replaces `current`; only a newer one does.
    pub fn replaces(&self, current: &Self) -> bool {
        self.version > current.version || active(Failpoint::LowerSerial)
    }

    /// Returns the route with the longest prefix of `path` among those of `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let list = match self.hosts.get(host) {
            Some(list) => list,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        list.iter().find(|r| path.starts_with(&r.prefix))
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Rc<Route>> {
        self.hosts.values().flatten()
    }

    /// Returns the team that an API key belongs to.
    pub fn team(&self, key: &str) -> Option<&Rc<Team>> {
        self.keys.get(key)
    }

    /// All teams.
    pub fn teams(&self) -> &[Rc<Team>] {
        &self.teams
    }
}
