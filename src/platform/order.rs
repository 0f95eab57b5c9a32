//! Orders to endpoints and the reports that they give.

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
    /// Brings weights into place.
    Load,
    /// Drops weights.
    Unload,
}

/// An order to an endpoint.
#[derive(Clone, Debug)]
pub struct Order<'a> {
    /// What it asks for.
    pub action: Action,
    /// Model.
    pub model: &'a str,
    /// Adapter of the model.
    pub adapter: Option<&'a str>,
    /// Version of the adapter; the newest if absent.
    pub version: Option<u64>,
    /// Orders that the endpoint must have accepted before this one.
    pub accepted_orders: Option<u64>,
    /// Name of the holder.
    pub holder: &'a str,
    /// The holder's fence.
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
    // Number of accepted orders, unlike the rows of a transaction's `Expected`.
    #[serde(skip_serializing_if = "Option::is_none")]
    expected: Option<u64>,
    holder: &'a str,
    fencing_token: u64,
}

/// An endpoint's word on an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Being carried out.
    Accepted,
    /// Already so.
    Holds,
    /// Another order is in progress, or the count of orders differs.
    Conflict,
    /// A newer fence has been seen.
    Fenced,
    /// Another endpoint has the address.
    Misdirected,
    /// Any other status.
    Refused(u16),
}

/// What an endpoint says of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Orders accepted since the start.
    pub accepted_orders: u64,
    /// An order is in progress.
    pub busy: bool,
    /// Models in place.
    pub models: Vec<String>,
    /// Adapters in place.
    pub loaded: Vec<VersionedAdapter>,
    /// Adapters on their way.
    pub loading: Vec<VersionedAdapter>,
    /// Milliseconds since the Unix epoch at which the endpoint started.
    pub born: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireReport {
    // Number of accepted orders; in an entry the same name counts its writes.
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
    headers::expect_instance(map, id);
    request
}

/// A request for a report to the endpoint `id`.
pub fn report_request(id: &str) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = http::Uri::from_static("/report");
    headers::expect_instance(request.headers_mut(), id);
    request
}

/// Decodes the answer to an order.
pub fn verdict(status: StatusCode) -> Verdict {
    match status.as_u16() {
        202 => Verdict::Accepted,
        200 => Verdict::Holds,
        409 => Verdict::Conflict,
        412 => Verdict::Fenced,
        421 => Verdict::Misdirected,
        other => Verdict::Refused(other),
    }
}

/// Decodes a report.
///
/// # Errors
/// The bytes are no report.
pub fn decode_report(bytes: &[u8]) -> Result<Report> {
    let wire: WireReport = serde_json::from_slice(bytes).map_err(|e| Error::input("report", e))?;
    let coming = |text: &String| {
        let (model, rest) = text.split_once('/').unwrap_or(("", text));
        entry::held(model, rest)
    };
    Ok(Report {
        accepted_orders: wire.sequence,
        busy: wire.busy,
        loaded: wire.models.iter().flat_map(WireModel::held).collect(),
        loading: wire.pending.iter().map(coming).collect(),
        models: wire.models.into_iter().map(|m| m.name).collect(),
        born: wire.born,
    })
}
