//! The configuration document as the operator wrote it, with places for findings.

use serde::Serialize;
use serde_spanned::Spanned;

use crate::time::Ms;

/// A value with its place in the file.
pub type At<T> = Spanned<T>;

/// A checked configuration document.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Document {
    /// Teams in file order.
    pub teams: Vec<TeamDoc>,
    /// Keys in file order.
    pub keys: Vec<KeyDoc>,
    /// Base models.
    pub models: Vec<ModelDoc>,
    /// Single adapters.
    pub adapters: Vec<AdapterDoc>,
    /// Adapters that share everything but their name.
    pub families: Vec<FamilyDoc>,
    /// Pools of endpoints.
    pub pools: Vec<PoolDoc>,
    /// Routes.
    pub routes: Vec<RouteDoc>,
    /// Service levels.
    pub levels: Vec<LevelDoc>,
    /// Limits of the weight store; every accepted document has them.
    pub store: Option<StoreDoc>,
}

/// A team.
#[derive(Clone, Debug, Serialize)]
pub struct TeamDoc {
    /// Unique name.
    pub name: At<String>,
    /// Tokens per second over all nodes.
    pub rate: At<u64>,
    /// Tokens that may be used at once.
    pub burst: At<u64>,
    /// Share under contention, relative to other teams.
    pub weight: At<f64>,
}

/// A key of a team.
#[derive(Clone, Debug, Serialize)]
pub struct KeyDoc {
    /// Public identifier.
    pub id: At<String>,
    /// The team it belongs to.
    pub team: At<String>,
    /// SHA-256 of the key, 64 hexadecimal digits.
    pub digest: At<String>,
    /// Whether the key no longer works.
    pub withdrawn: bool,
}

/// A base model.
#[derive(Clone, Debug, Serialize)]
pub struct ModelDoc {
    /// Unique name.
    pub name: At<String>,
    /// Largest request: prompt plus output, in tokens.
    pub context: At<u64>,
}

/// What adapters of one entry have in common.
#[derive(Clone, Debug, Serialize)]
pub struct Shared {
    /// Base model.
    pub model: At<String>,
    /// The team that may use it; none if it is open to all teams.
    pub team: Option<At<String>>,
    /// Versions that may be asked for.
    pub versions: Vec<At<String>>,
    /// Version that runs when the caller names none.
    pub default: At<String>,
}

/// One adapter.
#[derive(Clone, Debug, Serialize)]
pub struct AdapterDoc {
    /// Unique name.
    pub name: At<String>,
    /// Model, team and versions.
    #[serde(flatten)]
    pub shared: Shared,
}

/// Adapters that share everything but their name.
#[derive(Clone, Debug, Serialize)]
pub struct FamilyDoc {
    /// Listed names; empty for a numbered family.
    pub names: Vec<At<String>>,
    /// Start of numbered names; empty for a listed family.
    pub prefix: At<String>,
    /// First number.
    pub first: u64,
    /// How many numbers.
    pub count: At<u64>,
    /// Digits of each number, with leading zeros.
    pub digits: At<u64>,
    /// Model, team and versions.
    #[serde(flatten)]
    pub shared: Shared,
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
    /// Unique name, which nodes' settings refer to.
    pub name: At<String>,
    /// Model or service.
    pub serves: At<PoolKind>,
}

/// Kind of a route.
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
    pub name: At<String>,
    /// Engine or service.
    pub kind: RouteKind,
    /// The pool that serves it.
    pub pool: At<String>,
    /// Whether it needs no key.
    pub open: bool,
    /// Whether a second run is harmless.
    pub idempotent: bool,
    /// Path of the service's status query; `/ATTEMPT` is appended to it.
    pub status: Option<At<String>>,
    /// Priority class, 0 is the most urgent.
    pub priority: At<u64>,
    /// Service level.
    pub level: Option<At<String>>,
    /// For an open route, the team whose rate it uses.
    pub team: Option<At<String>>,
    /// Tokens that one call of a service costs.
    pub tokens: At<u64>,
    /// Weight of one answered request in the service measure.
    pub weight: At<f64>,
}

/// A service level.
#[derive(Clone, Debug, Serialize)]
pub struct LevelDoc {
    /// Unique name.
    pub name: At<String>,
    /// Time to the first token.
    pub first: At<Ms>,
    /// Time between tokens.
    pub between: At<Ms>,
    /// Share of requests that must meet both, below 1.
    pub objective: At<f64>,
    /// Period over which the objective holds.
    pub window: At<Ms>,
}

/// Limits of the weight store.
#[derive(Clone, Debug, Serialize)]
pub struct StoreDoc {
    /// Loads per second.
    pub loads: At<f64>,
    /// Loads in flight at full speed.
    pub concurrent: At<u64>,
}
