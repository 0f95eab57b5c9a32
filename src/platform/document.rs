//! Decodes the operators' rows: the document `op/config` into [`Routing`], and the rows that
//! name adapter versions.

use std::rc::Rc;

use serde::Deserialize;

use crate::error::{Error, Result};
use crate::routing::{
    CallerLimits, EngineLimits, Model, RequestKind, Route, Routing, Service, Team, WeightedService,
};
use crate::time::Ms;

/// Table that operators write.
pub const TABLE: &str = "op";
/// Key of the current document in [`TABLE`].
pub const KEY: &str = "config";
/// Prefix of the keys of adapter versions in [`TABLE`].
pub const VERSION_PREFIX: &str = "version/";

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireConfig {
    version: u64,
    #[serde(default)]
    routes: Vec<WireRoute>,
    #[serde(default)]
    services: Vec<WireService>,
    limits: WireLimits,
    #[serde(default)]
    tenants: Vec<WireTenant>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireRoute {
    name: String,
    host: String,
    prefix: String,
    #[serde(rename = "Type")]
    kind: String,
    #[serde(default)]
    timeout_ms: f64,
    #[serde(default)]
    target_latency_ms: f64,
    #[serde(default)]
    priority: u32,
    service: Option<String>,
    split: Option<Vec<WireSplit>>,
    #[serde(default = "default_max_attempts")]
    max_attempts: u32,
    #[serde(default)]
    public: bool,
    #[serde(default)]
    resumable: bool,
    #[serde(default)]
    gap_target_ms: f64,
}

fn default_max_attempts() -> u32 {
    1
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireSplit {
    service: String,
    weight: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireService {
    name: String,
    #[serde(default)]
    max_connections: usize,
    engine: Option<WireEngine>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireEngine {
    #[serde(default)]
    slots: usize,
    #[serde(default)]
    kv_capacity: f64,
    #[serde(default)]
    models: Vec<WireModel>,
    // Memory for weights of one endpoint; the same name on a model is the size of its weights.
    #[serde(default)]
    weights_mb: f64,
    #[serde(default)]
    adapter_slots: usize,
    #[serde(default)]
    loads_per_s: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireModel {
    name: String,
    #[serde(default)]
    weights_mb: f64,
    #[serde(default)]
    load_time_s: f64,
    #[serde(default)]
    adapter_mb: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireLimits {
    max_header_bytes: usize,
    max_body_bytes: usize,
    header_timeout_ms: f64,
    idle_timeout_ms: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireTenant {
    name: String,
    #[serde(default)]
    api_keys: Vec<String>,
    priority: Option<u32>,
    unit: Option<String>,
    #[serde(default)]
    plain_tokens: f64,
    #[serde(default)]
    rate_per_s: f64,
    #[serde(default)]
    burst: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireVersion {
    model: String,
    adapter: Option<String>,
    version: u64,
}

/// The newest version of an adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdapterVersion {
    /// Model and adapter as requests name them, `MODEL/ADAPTER`.
    pub name: String,
    /// Version number.
    pub version: u64,
}

fn millis(n: f64) -> Ms {
    Ms(n.max(0.0) as u64)
}

fn decode_kind(route: &WireRoute) -> Result<RequestKind> {
    match route.kind.as_str() {
        "safe" => Ok(RequestKind::Idempotent),
        "unsafe" => Ok(RequestKind::Once),
        "streaming" => Ok(RequestKind::Stream { resumable: route.resumable }),
        other => Err(Error::input(KEY, format!("route {}: type `{other}`", route.name))),
    }
}

fn decode_route(wire: WireRoute) -> Result<Route> {
    let kind = decode_kind(&wire)?;
    let target = |s: WireSplit| WeightedService { service: Rc::from(s.service), weight: s.weight };
    let targets: Vec<WeightedService> = match (wire.split, wire.service) {
        (Some(split), _) if !split.is_empty() => split.into_iter().map(target).collect(),
        (_, Some(service)) => vec![WeightedService { service: Rc::from(service), weight: 1.0 }],
        _ => return Err(Error::input(KEY, format!("route {}: no service", wire.name))),
    };
    Ok(Route {
        name: Rc::from(wire.name),
        host: wire.host.to_ascii_lowercase(),
        prefix: wire.prefix,
        kind,
        timeout: millis(wire.timeout_ms),
        objective: millis(wire.target_latency_ms),
        rank: wire.priority,
        targets,
        max_attempts: wire.max_attempts.max(1),
        public: wire.public,
        max_gap: millis(wire.gap_target_ms),
    })
}

fn decode_engine(wire: WireEngine) -> EngineLimits {
    let model = |m: WireModel| Model {
        name: Rc::from(m.name),
        weights_mb: m.weights_mb,
        load_time: millis(m.load_time_s * 1000.0),
        adapter_mb: m.adapter_mb,
    };
    EngineLimits {
        models: wire.models.into_iter().map(model).collect(),
        memory_mb: wire.weights_mb,
        adapter_slots: wire.adapter_slots,
        slots: wire.slots,
        kv_tokens: wire.kv_capacity,
        loads_per_s: wire.loads_per_s,
    }
}

/// Decodes an operators' document.
///
/// # Errors
/// The bytes are not a valid document, or a route has an unknown type or no service.
pub fn decode(bytes: &[u8]) -> Result<Routing> {
    let wire: WireConfig = serde_json::from_slice(bytes).map_err(|e| Error::input(KEY, e))?;
    let routes = wire.routes.into_iter().map(decode_route).collect::<Result<Vec<_>>>()?;
    let service = |s: WireService| Service {
        name: Rc::from(s.name),
        max_connections: s.max_connections,
        engine: s.engine.map(decode_engine),
    };
    let team = |t: WireTenant| {
        let team = Team {
            name: Rc::from(t.name),
            rank: t.priority,
            rate: t.rate_per_s,
            burst: t.burst,
            by_token: t.unit.as_deref() == Some("token"),
            unsized_cost: t.plain_tokens,
        };
        (team, t.api_keys)
    };
    let limits = CallerLimits {
        head_bytes: wire.limits.max_header_bytes,
        body_bytes: wire.limits.max_body_bytes,
        head_timeout: millis(wire.limits.header_timeout_ms),
        idle_timeout: millis(wire.limits.idle_timeout_ms),
    };
    let services = wire.services.into_iter().map(service).collect();
    let teams = wire.tenants.into_iter().map(team).collect();
    Ok(Routing::new(wire.version, routes, services, teams, limits))
}

/// Decodes the value of a row that names an adapter version.
///
/// # Errors
/// The bytes are not a valid adapter version.
pub fn decode_version(bytes: &[u8]) -> Result<AdapterVersion> {
    let wire: WireVersion =
        serde_json::from_slice(bytes).map_err(|e| Error::input(VERSION_PREFIX, e))?;
    let name = match wire.adapter {
        Some(adapter) => format!("{}/{adapter}", wire.model),
        None => wire.model,
    };
    Ok(AdapterVersion { name, version: wire.version })
}
