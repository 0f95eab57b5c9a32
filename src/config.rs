//! Configuration compiled for the request path.
//!
//! [`Document`] holds the configuration as the operator wrote it; [`Config`] is
//! compiled from it and answers lookups. An environment has tens of thousands of
//! adapters, so each is stored as an 8-byte entry that refers to a shared version
//! list, and a numbered family is stored as a single entry.

use std::sync::Arc;

use crate::config_document::AdapterFields;
pub use crate::config_document::{Document, Located, PoolKind, RouteKind};
use crate::ids::{Adapter, AdapterRef, KeyId, Map, Route, Team, Version};
use crate::time::Ms;

/// SHA-256 digest of an API key or another credential.
pub type KeyDigest = [u8; 32];

/// A team, compiled for the request path.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamSpec {
    /// Name.
    pub name: Team,
    /// Rate limit over all nodes, in tokens per second.
    pub rate: u64,
    /// Largest burst, in tokens.
    pub burst: u64,
    /// Share of capacity under contention, relative to other teams.
    pub weight: f64,
}

/// An API key, compiled for the request path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyEntry {
    /// Public identifier.
    pub id: KeyId,
    /// Team that the key belongs to.
    pub team: Team,
    /// Whether requests with this key are rejected.
    pub withdrawn: bool,
}

/// A route, compiled for the request path.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteSpec {
    /// Name.
    pub name: Route,
    /// Whether the route leads to an engine or a service.
    pub kind: RouteKind,
    /// Name of the pool of endpoints.
    pub pool: Arc<str>,
    /// Whether requests need no key.
    pub open: bool,
    /// Whether a request may safely run more than once.
    pub idempotent: bool,
    /// Path of the service's attempt status query; `/ATTEMPT` is appended to it.
    pub status_path: Option<Arc<str>>,
    /// Priority class; 0 is the most urgent.
    pub priority: u8,
    /// Name of the service level.
    pub level: Option<Arc<str>>,
    /// For an open route, the team whose rate limit applies.
    pub team: Option<Team>,
    /// Tokens charged for one service call.
    pub call_tokens: u64,
    /// Weight of one request in the burn rate of the service level.
    pub weight: f64,
}

/// A pool of endpoints, compiled for the request path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolSpec {
    /// Name, as referred to by node settings.
    pub name: Arc<str>,
    /// Model or service that the endpoints serve.
    pub serves: PoolKind,
}

/// A base model, compiled for the request path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelSpec {
    /// Name.
    pub name: Arc<str>,
    /// Largest request, prompt plus output, in tokens.
    pub context: u64,
}

/// A service level, compiled for the request path.
#[derive(Clone, Debug, PartialEq)]
pub struct LevelSpec {
    /// Name.
    pub name: Arc<str>,
    /// Longest time to the first token.
    pub first_token: Ms,
    /// Longest time between two tokens.
    pub token_gap: Ms,
    /// Share of requests that must meet both times, between 0 and 1 exclusive.
    pub objective: f64,
    /// Period over which the objective is evaluated.
    pub window: Ms,
}

/// Load limits of the weight store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightStoreSpec {
    /// Highest rate of loads, in loads per second.
    pub load_rate: f64,
    /// Concurrent loads that still run at full speed.
    pub max_concurrent: u64,
}

/// Model that the `model` field of a request resolves to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResolvedModel {
    /// Base model.
    pub base: Arc<str>,
    /// Adapter and version; `None` for the base model itself.
    pub adapter: Option<AdapterRef>,
}

/// Reason why the `model` field of a request cannot be resolved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ModelError {
    /// No model or adapter has this name.
    Unknown,
    /// The adapter belongs to another team.
    OtherTeam,
    /// The adapter has no such version.
    UnknownVersion,
}

/// Team index of an adapter that is open to all teams.
const ANY_TEAM: u16 = u16::MAX;

/// An adapter in 8 bytes: indices into the models, teams and version lists of [`Config`].
#[derive(Clone, Copy, Debug)]
struct AdapterEntry {
    model: u16,
    team: u16,
    versions: u32,
}

/// Versions of an adapter and the index of the default one.
#[derive(Clone, Debug, PartialEq, Eq)]
struct VersionList {
    list: Box<[Version]>,
    default_index: u16,
}

/// Adapters named by a prefix and a number of fixed width.
#[derive(Clone, Debug)]
struct NumberedFamily {
    prefix: Box<str>,
    digits: u8,
    first: u64,
    count: u64,
    entry: AdapterEntry,
}

impl NumberedFamily {
    fn contains(&self, name: &str) -> bool {
        let Some(rest) = name.strip_prefix(&*self.prefix) else { return false };
        rest.len() == usize::from(self.digits)
            && rest.bytes().all(|b| b.is_ascii_digit())
            && rest.parse().is_ok_and(|n: u64| n >= self.first && n - self.first < self.count)
    }
}

/// Name of a member of a numbered family.
pub fn family_name(prefix: &str, digits: u64, number: u64) -> String {
    format!("{prefix}{number:0width$}", width = digits as usize)
}

/// Compiled configuration with lookups for the request path.
#[derive(Clone, Debug, Default)]
pub struct Config {
    serial: u64,
    digest: Arc<str>,
    teams: Vec<TeamSpec>,
    keys: Map<KeyDigest, KeyEntry>,
    digests: Map<KeyId, KeyDigest>,
    models: Vec<ModelSpec>,
    adapters: Map<Adapter, AdapterEntry>,
    families: Vec<NumberedFamily>,
    versions: Vec<VersionList>,
    routes: Vec<RouteSpec>,
    pools: Vec<PoolSpec>,
    levels: Vec<LevelSpec>,
    store: Option<WeightStoreSpec>,
}

impl Config {
    /// Compiles a document without errors.
    ///
    /// `serial` is that of the head row, `digest` the hexadecimal SHA-256 of the
    /// document's bytes.
    pub fn compile(document: Document, serial: u64, digest: &str) -> Self {
        let to_arc = |t: Located<String>| Arc::<str>::from(t.into_inner());
        let mut config = Self { serial, digest: digest.into(), ..Self::default() };
        for t in document.teams {
            config.teams.push(TeamSpec {
                name: t.name.get_ref().as_str().into(),
                rate: t.rate.into_inner(),
                burst: t.burst.into_inner(),
                weight: t.weight.into_inner(),
            });
        }
        config.teams.sort_by(|a, b| a.name.cmp(&b.name));
        for k in document.keys {
            let mut digest = KeyDigest::default();
            if hex::decode_to_slice(k.digest.get_ref(), &mut digest).is_err() {
                continue;
            }
            let id = KeyId::from(k.id.get_ref().as_str());
            let team = config.shared_team_name(k.team.get_ref());
            config.digests.insert(id.clone(), digest);
            config.keys.insert(digest, KeyEntry { id, team, withdrawn: k.withdrawn });
        }
        for m in document.models {
            config.models.push(ModelSpec { name: to_arc(m.name), context: m.context.into_inner() });
        }
        config.models.sort_by(|a, b| a.name.cmp(&b.name));
        let mut interned = Map::default();
        config.adapters.reserve(
            document.adapters.len()
                + document.families.iter().map(|f| f.names.len()).sum::<usize>(),
        );
        for a in document.adapters {
            let entry = config.adapter_entry(&a.shared, &mut interned);
            config.adapters.insert(a.name.get_ref().as_str().into(), entry);
        }
        for f in document.families {
            let entry = config.adapter_entry(&f.shared, &mut interned);
            for name in &f.names {
                config.adapters.insert(name.get_ref().as_str().into(), entry);
            }
            if f.names.is_empty() {
                config.families.push(NumberedFamily {
                    prefix: f.prefix.get_ref().as_str().into(),
                    digits: f.digits.into_inner() as u8,
                    first: f.first,
                    count: f.count.into_inner(),
                    entry,
                });
            }
        }
        for r in document.routes {
            config.routes.push(RouteSpec {
                name: r.name.get_ref().as_str().into(),
                kind: r.kind,
                pool: to_arc(r.pool),
                open: r.open,
                idempotent: r.idempotent,
                status_path: r.status.map(to_arc),
                priority: r.priority.into_inner() as u8,
                level: r.level.map(to_arc),
                team: r.team.map(|t| config.shared_team_name(t.get_ref())),
                call_tokens: r.tokens.into_inner(),
                weight: r.weight.into_inner(),
            });
        }
        config.routes.sort_by(|a, b| a.name.cmp(&b.name));
        for p in document.pools {
            config.pools.push(PoolSpec { name: to_arc(p.name), serves: p.serves.into_inner() });
        }
        config.pools.sort_by(|a, b| a.name.cmp(&b.name));
        for l in document.levels {
            config.levels.push(LevelSpec {
                name: to_arc(l.name),
                first_token: l.first.into_inner(),
                token_gap: l.between.into_inner(),
                objective: l.objective.into_inner(),
                window: l.window.into_inner(),
            });
        }
        config.store = document.store.map(|s| WeightStoreSpec {
            load_rate: s.loads.into_inner(),
            max_concurrent: s.concurrent.into_inner(),
        });
        config
    }

    /// The team's own name if it is defined, so that the string is shared.
    fn shared_team_name(&self, name: &str) -> Team {
        self.team(name).map_or_else(|| name.into(), |t| t.name.clone())
    }

    fn adapter_entry(
        &mut self,
        shared: &AdapterFields,
        interned: &mut Map<Vec<String>, u32>,
    ) -> AdapterEntry {
        let mut names: Vec<String> = shared.versions.iter().map(|v| v.get_ref().clone()).collect();
        let default = shared.default.get_ref();
        let index = names.iter().position(|v| v == default).unwrap_or(0);
        names.push(default.clone());
        let versions = *interned.entry(names).or_insert_with(|| {
            self.versions.push(VersionList {
                list: shared.versions.iter().map(|v| v.get_ref().as_str().into()).collect(),
                default_index: index as u16,
            });
            self.versions.len() as u32 - 1
        });
        let model = self.models.iter().position(|m| *m.name == **shared.model.get_ref());
        let team = shared.team.as_ref().map(|t| {
            self.teams.binary_search_by(|s| s.name.as_str().cmp(t.get_ref())).unwrap_or(0) as u16
        });
        AdapterEntry { model: model.unwrap_or(0) as u16, team: team.unwrap_or(ANY_TEAM), versions }
    }

    /// Serial of the head row that refers to this configuration.
    pub fn serial(&self) -> u64 {
        self.serial
    }

    /// Hexadecimal SHA-256 of the document's bytes.
    pub fn digest(&self) -> &str {
        &self.digest
    }

    /// The key with this digest, including withdrawn keys.
    pub fn key(&self, digest: &KeyDigest) -> Option<&KeyEntry> {
        self.keys.get(digest)
    }

    /// Whether the key exists and is not withdrawn, so that its running requests may
    /// continue.
    pub fn is_key_active(&self, id: &KeyId) -> bool {
        self.digests.get(id).and_then(|d| self.keys.get(d)).is_some_and(|k| !k.withdrawn)
    }

    /// The team with this name.
    pub fn team(&self, name: &str) -> Option<&TeamSpec> {
        self.teams.binary_search_by(|t| t.name.as_str().cmp(name)).ok().map(|i| &self.teams[i])
    }

    /// All teams, sorted by name.
    pub fn teams(&self) -> &[TeamSpec] {
        &self.teams
    }

    /// All base models, sorted by name.
    pub fn models(&self) -> &[ModelSpec] {
        &self.models
    }

    /// The base model with this name.
    pub fn model(&self, name: &str) -> Option<&ModelSpec> {
        self.models.iter().find(|m| &*m.name == name)
    }

    /// The route with this name.
    pub fn route(&self, name: &str) -> Option<&RouteSpec> {
        self.routes.binary_search_by(|r| r.name.as_str().cmp(name)).ok().map(|i| &self.routes[i])
    }

    /// All routes, sorted by name.
    pub fn routes(&self) -> &[RouteSpec] {
        &self.routes
    }

    /// The first route by name whose pool serves this base model, among the open routes
    /// or among those that need a key.
    pub fn model_route(&self, base: &str, open: bool) -> Option<&RouteSpec> {
        self.routes.iter().find(|r| {
            r.open == open
                && self
                    .pool(&r.pool)
                    .is_some_and(|p| matches!(&p.serves, PoolKind::Model(m) if m == base))
        })
    }

    /// The pool with this name.
    pub fn pool(&self, name: &str) -> Option<&PoolSpec> {
        self.pools.iter().find(|p| &*p.name == name)
    }

    /// All pools, sorted by name.
    pub fn pools(&self) -> &[PoolSpec] {
        &self.pools
    }

    /// The service level with this name.
    pub fn level(&self, name: &str) -> Option<&LevelSpec> {
        self.levels.iter().find(|l| &*l.name == name)
    }

    /// Load limits of the weight store; `None` until a document is compiled.
    pub fn weight_store(&self) -> Option<WeightStoreSpec> {
        self.store
    }

    fn find_adapter(&self, name: &str) -> Option<AdapterEntry> {
        let entry = self.adapters.get(name).copied();
        entry.or_else(|| self.families.iter().find(|f| f.contains(name)).map(|f| f.entry))
    }

    /// Resolves the `model` field of a request: `ADAPTER@VERSION`, `ADAPTER` or the name
    /// of a base model.
    ///
    /// Without a team, only base models and open adapters are accessible.
    ///
    /// # Errors
    /// Fails if the name is unknown, the adapter belongs to another team or it has no
    /// such version.
    pub fn resolve_model(
        &self,
        team: Option<&Team>,
        model: &str,
    ) -> Result<ResolvedModel, ModelError> {
        if let Some(m) = self.model(model) {
            return Ok(ResolvedModel { base: m.name.clone(), adapter: None });
        }
        let (name, version) = match model.split_once('@') {
            Some((name, version)) => (name, Some(version)),
            None => (model, None),
        };
        let entry = self.find_adapter(name).ok_or(ModelError::Unknown)?;
        if entry.team != ANY_TEAM && Some(&self.teams[usize::from(entry.team)].name) != team {
            return Err(ModelError::OtherTeam);
        }
        let versions = &self.versions[entry.versions as usize];
        let version = match version {
            Some(v) => versions.list.iter().find(|x| x.as_str() == v),
            None => versions.list.get(usize::from(versions.default_index)),
        };
        let version = version.ok_or(ModelError::UnknownVersion)?.clone();
        let adapter = match self.adapters.get_key_value(name) {
            Some((name, _)) => name.clone(),
            None => name.into(),
        };
        let base = self.models[usize::from(entry.model)].name.clone();
        Ok(ResolvedModel { base, adapter: Some(AdapterRef { adapter, version }) })
    }

    /// All names that a request of this team may use as `model`, sorted. Without a team,
    /// only base models and open adapters.
    pub fn models_for(&self, team: Option<&Team>) -> Vec<String> {
        let index = team.and_then(|t| self.teams.iter().position(|s| s.name == *t));
        let allowed = |e: &AdapterEntry| e.team == ANY_TEAM || index == Some(usize::from(e.team));
        let mut names: Vec<String> = self.models.iter().map(|m| m.name.to_string()).collect();
        let listed = self.adapters.iter().filter(|(_, e)| allowed(e));
        names.extend(listed.map(|(name, _)| name.to_string()));
        for f in self.families.iter().filter(|f| allowed(&f.entry)) {
            let numbers = f.first..f.first + f.count;
            names.extend(numbers.map(|n| family_name(&f.prefix, f.digits.into(), n)));
        }
        names.sort_unstable();
        names
    }

    /// Number of configured adapters.
    pub fn adapter_count(&self) -> usize {
        self.adapters.len() + self.families.iter().map(|f| f.count as usize).sum::<usize>()
    }
}
