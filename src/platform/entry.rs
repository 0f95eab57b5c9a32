//! Decodes the entries in which endpoints describe themselves, from the table `servers`.

use std::net::SocketAddr;
use std::rc::Rc;

use serde::Deserialize;

use crate::endpoint_table::{EndpointEntry, VersionedAdapter};
use crate::error::{Error, Result};
use crate::time::Ms;

/// Table of the endpoints' entries.
pub const TABLE: &str = "servers";

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireEntry {
    service: String,
    // Version of the endpoint's software.
    #[serde(default)]
    version: String,
    address: SocketAddr,
    zone: String,
    slots: usize,
    state: String,
    #[serde(default)]
    cold_remaining_ms: f64,
    remaining_ms: Option<f64>,
    #[serde(default)]
    models: Vec<WireModel>,
    // Milliseconds since the Unix epoch at which the endpoint started.
    #[serde(rename = "born", default)]
    born: u64,
}

/// A loaded model, in entries and in reports.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct WireModel {
    pub(super) name: String,
    #[serde(default)]
    adapters: Vec<String>,
}

impl WireModel {
    /// Its loaded adapters.
    pub(super) fn versioned_adapters(&self) -> impl Iterator<Item = VersionedAdapter> {
        self.adapters.iter().map(|a| parse_adapter(&self.name, a))
    }
}

/// Parses `NAME@VERSION`, an adapter of `model`; the version is 0 if absent or invalid.
pub fn parse_adapter(model: &str, text: &str) -> VersionedAdapter {
    let (name, version) = text.rsplit_once('@').unwrap_or((text, "0"));
    VersionedAdapter {
        adapter: format!("{model}/{name}").into(),
        version: version.parse().unwrap_or(0),
    }
}

/// Decodes the entry of endpoint `id`.
///
/// # Errors
/// The bytes are not a valid entry, or its state is unknown.
pub fn decode(id: &str, bytes: &[u8]) -> Result<EndpointEntry> {
    let wire: WireEntry = serde_json::from_slice(bytes).map_err(|e| Error::input(id, e))?;
    let leaving = match wire.state.as_str() {
        "ready" => false,
        "draining" => true,
        other => return Err(Error::input(id, format!("state `{other}`"))),
    };
    if wire.address.port() == 0 {
        return Err(Error::input(id, "port 0"));
    }
    let models = wire.models.iter().map(|m| Rc::from(m.name.as_str())).collect();
    let adapters = wire.models.iter().flat_map(WireModel::versioned_adapters).collect();
    Ok(EndpointEntry {
        id: Rc::from(id),
        service: Rc::from(wire.service),
        software: Rc::from(wire.version),
        address: wire.address,
        domain: wire.zone,
        slots: wire.slots,
        leaving,
        warmup: Ms(wire.cold_remaining_ms as u64),
        ends_in: wire.remaining_ms.map(|ms| Ms(ms as u64)),
        models,
        adapters,
        started_at: wire.born,
    })
}
