//! The configuration in force, compiled for lookups on the request path.
//!
//! A route is found by host and longest prefix, a team by its key. Versions only
//! grow: [`Routing::replaces`] decides whether a newer document is adopted.

use std::rc::Rc;

use crate::failpoint::{Failpoint, active};
use crate::ids::Map;
use crate::time::Ms;

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    Once,
    /// Events; runs at most once unless it may be resumed.
    Stream {
        /// A broken stream may go on at another endpoint.
        resumable: bool,
    },
}

impl RequestKind {
    /// Whether a request may be sent again though it may have run.
    pub fn repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub fn streams(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A share of a route's traffic.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// Service that serves the share.
    pub service: Rc<str>,
    /// Relative weight.
    pub weight: f64,
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, unique in the document.
    pub name: Rc<str>,
    /// Host that it answers for, in lower case.
    pub host: String,
    /// Path prefix, with a slash at both ends.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RequestKind,
    /// Longest time that a caller waits.
    pub timeout: Ms,
    /// Time within which an answer is on time (streams: its first event).
    pub objective: Ms,
    /// Rank; 0 is the most urgent.
    pub rank: u32,
    /// Services with their weights; never empty.
    pub targets: Vec<WeightedService>,
    /// Most endpoints that one request may run on.
    pub max_attempts: u32,
    /// No key is needed.
    pub public: bool,
    /// Longest pause between events that is on time.
    pub max_gap: Ms,
}

/// Shortest time without an event after which callers of streams leave, in ms.
const PATIENCE_MIN: u64 = 2_000;
/// Callers of streams leave after this many times the objective.
const PATIENCE_OBJECTIVES: u64 = 4;
/// Callers of streams leave after this many times the longest pause.
const PATIENCE_GAPS: u64 = 8;

impl Route {
    /// Time after which a caller without an answer leaves, whatever its deadline.
    pub fn abandon_after(&self) -> Option<Ms> {
        let objectives = self.objective.0 * PATIENCE_OBJECTIVES;
        let gaps = self.max_gap.0 * PATIENCE_GAPS;
        self.kind.streams().then_some(Ms(PATIENCE_MIN.max(objectives).max(gaps)))
    }
}

/// A model that endpoints of a service may hold.
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
    /// Models that may be asked for.
    pub models: Vec<Model>,
    /// Room for weights and adapters on an endpoint, in MB.
    pub memory_mb: f64,
    /// Adapters on an endpoint.
    pub adapter_slots: usize,
    /// Requests in a batch.
    pub slots: usize,
    /// Tokens in memory.
    pub kv_tokens: f64,
    /// Loads from the weight store per second, over all endpoints.
    pub loads_per_s: f64,
}

impl EngineLimits {
    /// Adapters of `model` that an endpoint may hold beside the model.
    pub fn adapters_beside(&self, model: &Model) -> usize {
        let room = (self.memory_mb - model.weights_mb).max(0.0);
        let fits = (room / model.adapter_mb.max(0.001)) as usize;
        self.adapter_slots.min(fits)
    }
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: Rc<str>,
    /// Connections that an endpoint accepts from all nodes.
    pub max_connections: usize,
    /// Present if its endpoints are model engines.
    pub engine: Option<EngineLimits>,
}

/// A team and its limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Name.
    pub name: Rc<str>,
    /// Rank that replaces the route's.
    pub rank: Option<u32>,
    /// Tokens or requests per second over all nodes; 0 is no limit.
    pub rate: f64,
    /// Burst beyond the rate; 0 is none.
    pub burst: f64,
    /// Whether the limits count tokens.
    pub by_token: bool,
    /// What a request without a size counts as.
    pub unsized_cost: f64,
}

/// Limits on what callers send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for a request's head.
    pub head_timeout: Ms,
    /// Time that a connection may be idle.
    pub idle_timeout: Ms,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Routing {
    /// Version; only grows.
    pub version: u64,
    /// Services by name.
    pub services: Map<Rc<str>, Rc<Service>>,
    /// Limits on callers.
    pub limits: Option<CallerLimits>,
    hosts: Map<String, Vec<Rc<Route>>>,
    keys: Map<String, Rc<Team>>,
    teams: Vec<Rc<Team>>,
}

impl Routing {
    /// Compiles a version.
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
        let mut names = Vec::with_capacity(teams.len());
        for (team, list) in teams {
            let team = Rc::new(team);
            names.push(team.clone());
            keys.extend(list.into_iter().map(|k| (k, team.clone())));
        }
        let services = services.into_iter().map(|s| (s.name.clone(), Rc::new(s))).collect();
        Self { version, services, limits: Some(limits), hosts, keys, teams: names }
    }

    /// Whether this version replaces `current`; an older one never does.
    pub fn replaces(&self, current: &Self) -> bool {
        self.version > current.version || active(Failpoint::LowerSerial)
    }

    /// The route of a host with the longest prefix that matches the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let list = match self.hosts.get(host) {
            Some(list) => list,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        list.iter().find(|r| path.starts_with(&r.prefix))
    }

    /// The team that holds a key.
    pub fn team(&self, key: &str) -> Option<&Rc<Team>> {
        self.keys.get(key)
    }

    /// All teams.
    pub fn teams(&self) -> &[Rc<Team>] {
        &self.teams
    }
}
