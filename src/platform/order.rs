//! Encodes orders to endpoints and decodes the endpoints' reports.

use bytes::Bytes;
use http::{HeaderValue, Request, StatusCode, header};
use http_body_util::Full;
use serde::{Deserialize, Serialize};

use crate::endpoint_table::VersionedAdapter;
use crate::error::{Error, Result};
use crate::platform::entry::{self, WireModel};
use crate::platform::headers;

/// What an order asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Load weights.
    Load,
    /// Unload weights.
    Unload,
}

/// An order to an endpoint.
#[derive(Clone, Debug)]
pub struct Order<'a> {
    /// Operation to perform.
    pub action: Action,
    /// Model to load or unload, or model of the adapter.
    pub model: &'a str,
    /// Adapter to load or unload; `None` for the model itself.
    pub adapter: Option<&'a str>,
    /// Version of the adapter; the newest if `None`.
    pub version: Option<u64>,
    /// Number of orders that the endpoint must have accepted before this one; any if `None`.
    pub accepted_orders: Option<u64>,
    /// Node that holds the endpoint.
    pub holder: &'a str,
    /// The holder's fencing token.
    pub fence: u64,
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct WireOrder<'a> {
    operation: &'a str,
    model: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    adapter: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    version: Option<u64>,
    // Number of accepted orders; in a transaction of the store, `Expected` lists rows.
    #[serde(skip_serializing_if = "Option::is_none")]
    expected: Option<u64>,
    holder: &'a str,
    fencing_token: u64,
}

/// An endpoint's response to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResponse {
    /// The order is in progress.
    Accepted,
    /// The requested state already holds.
    Holds,
    /// Another order is in progress, or the number of accepted orders differs.
    Conflict,
    /// The endpoint has seen a newer fencing token.
    Fenced,
    /// Another endpoint answers at the address.
    Misdirected,
    /// Any other status.
    Refused(u16),
}

/// An endpoint's report of its state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Number of orders accepted since the endpoint started.
    pub accepted_orders: u64,
    /// Whether an order is in progress.
    pub busy: bool,
    /// Loaded models.
    pub models: Vec<String>,
    /// Loaded adapters.
    pub loaded: Vec<VersionedAdapter>,
    /// Adapters being loaded.
    pub loading: Vec<VersionedAdapter>,
    /// Milliseconds since the Unix epoch at which the endpoint started.
    pub started_at: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireReport {
    // Number of accepted orders; in an entry, `Sequence` counts the entry's writes.
    sequence: u64,
    #[serde(default)]
    busy: bool,
    #[serde(default)]
    models: Vec<WireModel>,
    #[serde(default)]
    pending: Vec<String>,
    #[serde(rename = "born", default)]
    born: u64,
}

/// Encodes an order as a request to the endpoint `id`.
pub fn order_request(order: &Order<'_>, id: &str) -> Request<Full<Bytes>> {
    let wire = WireOrder {
        operation: if order.action == Action::Load { "loading" } else { "unloading" },
        model: order.model,
        adapter: order.adapter,
        version: order.version,
        expected: order.accepted_orders,
        holder: order.holder,
        fencing_token: order.fence,
    };
    let body = serde_json::to_vec(&wire).unwrap_or_default();
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = http::Method::POST;
    *request.uri_mut() = http::Uri::from_static("/order");
    let map = request.headers_mut();
    map.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers::set_expected_instance(map, id);
    request
}

/// Builds the request for a report of the endpoint `id`.
pub fn report_request(id: &str) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = http::Uri::from_static("/report");
    headers::set_expected_instance(request.headers_mut(), id);
    request
}

/// Decodes the status of the answer to an order.
pub fn decode_status(status: StatusCode) -> OrderResponse {
    match status.as_u16() {
        202 => OrderResponse::Accepted,
        200 => OrderResponse::Holds,
        409 => OrderResponse::Conflict,
        412 => OrderResponse::Fenced,
        421 => OrderResponse::Misdirected,
        other => OrderResponse::Refused(other),
    }
}

/// Decodes a report.
///
/// # Errors
/// The bytes are not a valid report.
pub fn decode_report(bytes: &[u8]) -> Result<Report> {
    let wire: WireReport = serde_json::from_slice(bytes).map_err(|e| Error::input("report", e))?;
    let coming = |text: &String| {
        let (model, rest) = text.split_once('/').unwrap_or(("", text));
        entry::parse_adapter(model, rest)
    };
    Ok(Report {
        accepted_orders: wire.sequence,
        busy: wire.busy,
        loaded: wire.models.iter().flat_map(WireModel::versioned_adapters).collect(),
        loading: wire.pending.iter().map(coming).collect(),
        models: wire.models.into_iter().map(|m| m.name).collect(),
        started_at: wire.born,
    })
}
