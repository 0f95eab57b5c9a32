//! Types of the configuration document as the operator wrote it. Values keep their place
//! in the file for findings.

use serde::Serialize;
use serde_spanned::Spanned;

use crate::time::Ms;

/// A value with its byte span in the file.
pub type Located<T> = Spanned<T>;

/// A configuration document.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Document {
    /// Teams, in file order.
    pub teams: Vec<TeamDoc>,
    /// API keys, in file order.
    pub keys: Vec<KeyDoc>,
    /// Base models.
    pub models: Vec<ModelDoc>,
    /// Single adapters.
    pub adapters: Vec<AdapterDoc>,
    /// Adapter families.
    pub families: Vec<FamilyDoc>,
    /// Pools of endpoints.
    pub pools: Vec<PoolDoc>,
    /// Routes.
    pub routes: Vec<RouteDoc>,
    /// Service levels.
    pub levels: Vec<LevelDoc>,
    /// Load limits of the weight store; present in every document without errors.
    pub store: Option<WeightStoreDoc>,
}

/// A team.
#[derive(Clone, Debug, Serialize)]
pub struct TeamDoc {
    /// Unique name.
    pub name: Located<String>,
    /// Rate limit over all nodes, in tokens per second.
    pub rate: Located<u64>,
    /// Largest burst, in tokens.
    pub burst: Located<u64>,
    /// Share of capacity under contention, relative to other teams.
    pub weight: Located<f64>,
}

/// An API key of a team.
#[derive(Clone, Debug, Serialize)]
pub struct KeyDoc {
    /// Public identifier.
    pub id: Located<String>,
    /// Team that the key belongs to.
    pub team: Located<String>,
    /// SHA-256 of the key, 64 hexadecimal digits.
    pub digest: Located<String>,
    /// Whether requests with this key are rejected.
    pub withdrawn: bool,
}

/// A base model.
#[derive(Clone, Debug, Serialize)]
pub struct ModelDoc {
    /// Unique name.
    pub name: Located<String>,
    /// Largest request, prompt plus output, in tokens.
    pub context: Located<u64>,
}

/// Fields that an adapter and an adapter family have in common.
#[derive(Clone, Debug, Serialize)]
pub struct AdapterFields {
    /// Base model.
    pub model: Located<String>,
    /// Team that may use the adapter; `None` if it is open to all teams.
    pub team: Option<Located<String>>,
    /// Versions that a request may name.
    pub versions: Vec<Located<String>>,
    /// Version that is used if the request names none.
    pub default: Located<String>,
}

/// A single adapter.
#[derive(Clone, Debug, Serialize)]
pub struct AdapterDoc {
    /// Unique name.
    pub name: Located<String>,
    /// Model, team and versions.
    #[serde(flatten)]
    pub shared: AdapterFields,
}

/// An adapter family: adapters that differ only in their names, which are either listed
/// or numbered.
#[derive(Clone, Debug, Serialize)]
pub struct FamilyDoc {
    /// Listed names; empty for a numbered family.
    pub names: Vec<Located<String>>,
    /// Prefix of numbered names; empty for a listed family.
    pub prefix: Located<String>,
    /// First number.
    pub first: u64,
    /// Number of members of a numbered family.
    pub count: Located<u64>,
    /// Digits of each number, which is padded with zeros.
    pub digits: Located<u64>,
    /// Model, team and versions.
    #[serde(flatten)]
    pub shared: AdapterFields,
}

/// What the endpoints of a pool serve.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum PoolKind {
    /// A base model.
    Model(String),
    /// A plain service.
    Service(String),
}

/// A pool of endpoints.
#[derive(Clone, Debug, Serialize)]
pub struct PoolDoc {
    /// Unique name, as referred to by node settings.
    pub name: Located<String>,
    /// Model or service that the endpoints serve.
    pub serves: Located<PoolKind>,
}

/// Kind of endpoints that a route leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum RouteKind {
    /// Model inference.
    Engine,
    /// A plain service.
    Service,
}

/// A route.
#[derive(Clone, Debug, Serialize)]
pub struct RouteDoc {
    /// Unique name.
    pub name: Located<String>,
    /// Whether the route leads to an engine or a service.
    pub kind: RouteKind,
    /// Name of the pool of endpoints.
    pub pool: Located<String>,
    /// Whether requests need no key.
    pub open: bool,
    /// Whether a request may safely run more than once.
    pub idempotent: bool,
    /// Path of the service's attempt status query; `/ATTEMPT` is appended to it.
    pub status: Option<Located<String>>,
    /// Priority class; 0 is the most urgent.
    pub priority: Located<u64>,
    /// Name of the service level.
    pub level: Option<Located<String>>,
    /// For an open route, the team whose rate limit applies.
    pub team: Option<Located<String>>,
    /// Tokens charged for one service call.
    pub tokens: Located<u64>,
    /// Weight of one request in the burn rate of the service level.
    pub weight: Located<f64>,
}

/// A service level.
#[derive(Clone, Debug, Serialize)]
pub struct LevelDoc {
    /// Unique name.
    pub name: Located<String>,
    /// Longest time to the first token.
    pub first: Located<Ms>,
    /// Longest time between two tokens.
    pub between: Located<Ms>,
    /// Share of requests that must meet both times, between 0 and 1 exclusive.
    pub objective: Located<f64>,
    /// Period over which the objective is evaluated.
    pub window: Located<Ms>,
}

/// Load limits of the weight store.
#[derive(Clone, Debug, Serialize)]
pub struct WeightStoreDoc {
    /// Highest rate of loads, in loads per second.
    pub loads: Located<f64>,
    /// Concurrent loads that still run at full speed.
    pub concurrent: Located<u64>,
}
