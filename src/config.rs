//! The environment's configuration document and the lookups compiled from it.
//!
//! [`Document`] is what the operator wrote; [`Config`] is what the request path
//! uses. Adapters are stored as small entries with
//! shared version lists, because an environment has tens of thousands of them;
//! a numbered family is stored as one entry.

use std::sync::Arc;

use crate::config_document::Shared;
pub use crate::config_document::{At, Document, PoolKind, RouteKind};
use crate::ids::{Adapter, AdapterRef, KeyId, Map, Route, Team, Version};
use crate::time::Ms;

/// SHA-256 digest of a key.
pub type Digest = [u8; 32];

/// A team on the request path.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamSpec {
    /// Name.
    pub name: Team,
    /// Tokens per second over all nodes.
    pub rate: u64,
    /// Tokens that may be used at once.
    pub burst: u64,
    /// Share under contention.
    pub weight: f64,
}

/// A key on the request path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyEntry {
    /// Public identifier.
    pub id: KeyId,
    /// The key's team.
    pub team: Team,
    /// Whether the key no longer works.
    pub withdrawn: bool,
}

/// A route on the request path.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteSpec {
    /// Name.
    pub name: Route,
    /// Engine or service.
    pub kind: RouteKind,
    /// Pool of endpoints.
    pub pool: Arc<str>,
    /// Whether it needs no key.
    pub open: bool,
    /// Whether a second run is harmless.
    pub idempotent: bool,
    /// Path of the service's status query; `/ATTEMPT` is appended to it.
    pub status_path: Option<Arc<str>>,
    /// Priority class, 0 is the most urgent.
    pub priority: u8,
    /// Service level.
    pub level: Option<Arc<str>>,
    /// For an open route, the team whose rate it uses.
    pub team: Option<Team>,
    /// Tokens that one call of a service costs.
    pub call_tokens: u64,
    /// Weight of one answered request in the service measure.
    pub weight: f64,
}

/// A pool on the request path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolSpec {
    /// Name, which nodes' settings refer to.
    pub name: Arc<str>,
    /// Model or service.
    pub serves: PoolKind,
}

/// A base model on the request path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelSpec {
    /// Name.
    pub name: Arc<str>,
    /// Largest request, in tokens.
    pub context: u64,
}

/// A service level on the request path.
#[derive(Clone, Debug, PartialEq)]
pub struct LevelSpec {
    /// Name.
    pub name: Arc<str>,
    /// Time to the first token.
    pub first_token: Ms,
    /// Time between tokens.
    pub token_gap: Ms,
    /// Share of requests that must meet both, below 1.
    pub objective: f64,
    /// Period over which the objective holds.
    pub window: Ms,
}

/// Limits of the weight store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreSpec {
    /// Loads per second.
    pub load_rate: f64,
    /// Loads in flight at full speed.
    pub max_concurrent: u64,
}

/// What a caller's `model` stands for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResolvedModel {
    /// Base model.
    pub base: Arc<str>,
    /// Adapter and version, none for the base model itself.
    pub adapter: Option<AdapterRef>,
}

/// Why a caller's `model` cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ModelError {
    /// No model or adapter has this name.
    Unknown,
    /// The adapter belongs to another team.
    OtherTeam,
    /// The adapter has no such version.
    UnknownVersion,
}

/// Index of an adapter that is open to all teams.
const OPEN: u16 = u16::MAX;

/// 8 bytes per adapter; names of models, teams and versions are shared.
#[derive(Clone, Copy, Debug)]
struct Entry {
    model: u16,
    team: u16,
    versions: u32,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Versions {
    list: Box<[Version]>,
    default: u16,
}

#[derive(Clone, Debug)]
struct Family {
    prefix: Box<str>,
    digits: u8,
    first: u64,
    count: u64,
    entry: Entry,
}

impl Family {
    fn holds(&self, name: &str) -> bool {
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

/// A configuration in force, with lookups for the request path.
#[derive(Clone, Debug, Default)]
pub struct Config {
    serial: u64,
    digest: Arc<str>,
    teams: Vec<TeamSpec>,
    keys: Map<Digest, KeyEntry>,
    ids: Map<KeyId, Digest>,
    models: Vec<ModelSpec>,
    adapters: Map<Adapter, Entry>,
    families: Vec<Family>,
    versions: Vec<Versions>,
    routes: Vec<RouteSpec>,
    pools: Vec<PoolSpec>,
    levels: Vec<LevelSpec>,
    store: Option<StoreSpec>,
}

impl Config {
    /// Compiles a checked document.
    ///
    /// `digest` is the hexadecimal SHA-256 of the document's bytes.
    pub fn compile(document: Document, serial: u64, digest: &str) -> Self {
        let arc = |t: At<String>| Arc::<str>::from(t.into_inner());
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
            let mut digest = Digest::default();
            if hex::decode_to_slice(k.digest.get_ref(), &mut digest).is_err() {
                continue;
            }
            let id = KeyId::from(k.id.get_ref().as_str());
            let team = config.team_name(k.team.get_ref());
            config.ids.insert(id.clone(), digest);
            config.keys.insert(digest, KeyEntry { id, team, withdrawn: k.withdrawn });
        }
        for m in document.models {
            config.models.push(ModelSpec { name: arc(m.name), context: m.context.into_inner() });
        }
        config.models.sort_by(|a, b| a.name.cmp(&b.name));
        let mut interned = Map::default();
        config.adapters.reserve(
            document.adapters.len()
                + document.families.iter().map(|f| f.names.len()).sum::<usize>(),
        );
        for a in document.adapters {
            let entry = config.entry(&a.shared, &mut interned);
            config.adapters.insert(a.name.get_ref().as_str().into(), entry);
        }
        for f in document.families {
            let entry = config.entry(&f.shared, &mut interned);
            for name in &f.names {
                config.adapters.insert(name.get_ref().as_str().into(), entry);
            }
            if f.names.is_empty() {
                config.families.push(Family {
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
                pool: arc(r.pool),
                open: r.open,
                idempotent: r.idempotent,
                status_path: r.status.map(arc),
                priority: r.priority.into_inner() as u8,
                level: r.level.map(arc),
                team: r.team.map(|t| config.team_name(t.get_ref())),
                call_tokens: r.tokens.into_inner(),
                weight: r.weight.into_inner(),
            });
        }
        config.routes.sort_by(|a, b| a.name.cmp(&b.name));
        for p in document.pools {
            config.pools.push(PoolSpec { name: arc(p.name), serves: p.serves.into_inner() });
        }
        config.pools.sort_by(|a, b| a.name.cmp(&b.name));
        for l in document.levels {
            config.levels.push(LevelSpec {
                name: arc(l.name),
                first_token: l.first.into_inner(),
                token_gap: l.between.into_inner(),
                objective: l.objective.into_inner(),
                window: l.window.into_inner(),
            });
        }
        config.store = document.store.map(|s| StoreSpec {
            load_rate: s.loads.into_inner(),
            max_concurrent: s.concurrent.into_inner(),
        });
        config
    }

    fn team_name(&self, name: &str) -> Team {
        self.team(name).map_or_else(|| name.into(), |t| t.name.clone())
    }

    fn entry(&mut self, shared: &Shared, interned: &mut Map<Vec<String>, u32>) -> Entry {
        let mut names: Vec<String> = shared.versions.iter().map(|v| v.get_ref().clone()).collect();
        let default = shared.default.get_ref();
        let at = names.iter().position(|v| v == default).unwrap_or(0);
        names.push(default.clone());
        let versions = *interned.entry(names).or_insert_with(|| {
            self.versions.push(Versions {
                list: shared.versions.iter().map(|v| v.get_ref().as_str().into()).collect(),
                default: at as u16,
            });
            self.versions.len() as u32 - 1
        });
        let model = self.models.iter().position(|m| *m.name == **shared.model.get_ref());
        let team = shared.team.as_ref().map(|t| {
            self.teams.binary_search_by(|s| s.name.as_str().cmp(t.get_ref())).unwrap_or(0) as u16
        });
        Entry { model: model.unwrap_or(0) as u16, team: team.unwrap_or(OPEN), versions }
    }

    /// Serial of the head row that named this configuration.
    pub fn serial(&self) -> u64 {
        self.serial
    }

    /// Hexadecimal SHA-256 of the document's bytes.
    pub fn digest(&self) -> &str {
        &self.digest
    }

    /// The key with this digest. Withdrawn keys are returned with their flag.
    pub fn key(&self, digest: &Digest) -> Option<&KeyEntry> {
        self.keys.get(digest)
    }

    /// Whether running requests of this key may continue.
    pub fn is_key_active(&self, id: &KeyId) -> bool {
        self.ids.get(id).and_then(|d| self.keys.get(d)).is_some_and(|k| !k.withdrawn)
    }

    /// The team with this name.
    pub fn team(&self, name: &str) -> Option<&TeamSpec> {
        self.teams.binary_search_by(|t| t.name.as_str().cmp(name)).ok().map(|i| &self.teams[i])
    }

    /// All teams by name.
    pub fn teams(&self) -> &[TeamSpec] {
        &self.teams
    }

    /// All base models by name.
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

    /// All routes by name.
    pub fn routes(&self) -> &[RouteSpec] {
        &self.routes
    }

    /// The first route by name, with a key or open, whose pool serves this base model.
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

    /// All pools by name.
    pub fn pools(&self) -> &[PoolSpec] {
        &self.pools
    }

    /// The service level with this name.
    pub fn level(&self, name: &str) -> Option<&LevelSpec> {
        self.levels.iter().find(|l| &*l.name == name)
    }

    /// Limits of the weight store; none before a document is in force.
    pub fn weight_store(&self) -> Option<StoreSpec> {
        self.store
    }

    fn adapter(&self, name: &str) -> Option<Entry> {
        let listed = self.adapters.get(name).copied();
        listed.or_else(|| self.families.iter().find(|f| f.holds(name)).map(|f| f.entry))
    }

    /// What `model` stands for: `ADAPTER@VERSION`, `ADAPTER` or a base model.
    ///
    /// Without a team only base models and open adapters are found.
    ///
    /// # Errors
    /// The name is unknown, belongs to another team or has no such version.
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
        let entry = self.adapter(name).ok_or(ModelError::Unknown)?;
        if entry.team != OPEN && Some(&self.teams[usize::from(entry.team)].name) != team {
            return Err(ModelError::OtherTeam);
        }
        let versions = &self.versions[entry.versions as usize];
        let version = match version {
            Some(v) => versions.list.iter().find(|x| x.as_str() == v),
            None => versions.list.get(usize::from(versions.default)),
        };
        let version = version.ok_or(ModelError::UnknownVersion)?.clone();
        let adapter = match self.adapters.get_key_value(name) {
            Some((name, _)) => name.clone(),
            None => name.into(),
        };
        let base = self.models[usize::from(entry.model)].name.clone();
        Ok(ResolvedModel { base, adapter: Some(AdapterRef { adapter, version }) })
    }

    /// Everything that a key of this team may name as `model`, sorted.
    pub fn models_for(&self, team: Option<&Team>) -> Vec<String> {
        let index = team.and_then(|t| self.teams.iter().position(|s| s.name == *t));
        let allowed = |e: &Entry| e.team == OPEN || index == Some(usize::from(e.team));
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

    /// How many adapters are configured.
    pub fn adapter_count(&self) -> usize {
        self.adapters.len() + self.families.iter().map(|f| f.count as usize).sum::<usize>()
    }
}
