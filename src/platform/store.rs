//! Encodes calls to the platform's store and decodes its answers.
//!
//! Each call is one request. [`Outcome`] is an answer of the store itself; after an error it
//! is unknown whether a write was performed.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode, header};
use http_body_util::Full;
use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};
use crate::http_client::percent_encode;
use crate::row_version;

/// Name of the source in errors.
const SOURCE: &str = "store";
const ERA: HeaderName = HeaderName::from_static("store-era");

/// A row of a table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Table name.
    pub table: String,
    /// Key within the table.
    pub key: String,
    /// Value; empty if the row was removed.
    pub value: Vec<u8>,
    /// Version, from one counter for the whole store, qualified by the store's era.
    pub version: u64,
    /// Whether the row was removed.
    pub removed: bool,
}

/// Rows of a table at one moment, or its changes after a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rows {
    /// The rows.
    pub rows: Vec<Row>,
    /// Newest version that the answer covers, qualified by the store's era.
    pub version: u64,
    /// Whether further rows follow.
    pub more: bool,
    /// The store's steady clock, in ms; `None` if the answer states none.
    pub clock: Option<u64>,
}

/// An answer of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome<T> {
    /// The call was performed.
    Done(T),
    /// A condition did not hold, or the feed's history is gone; nothing was done.
    Refused,
    /// The store is overloaded or unavailable; nothing was done. Holds the HTTP status.
    Unavailable(u16),
}

/// The change of one row in a transaction.
#[derive(Clone, Debug)]
pub struct Change<'a> {
    /// Table name.
    pub table: &'a str,
    /// Key within the table.
    pub key: &'a str,
    /// Qualified version that the row must have: 0 if it must not exist, any if `None`.
    pub expected: Option<u64>,
    /// New value; `None` removes the row.
    pub value: Option<&'a [u8]>,
}

/// A condition of a transaction on a row that it does not change.
#[derive(Clone, Debug)]
pub struct Condition<'a> {
    /// Table name.
    pub table: &'a str,
    /// Key within the table.
    pub key: &'a str,
    /// Qualified version that the row must have; 0 if it must not exist.
    pub version: u64,
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct WireTx<'a> {
    expected: Vec<WireExpected<'a>>,
    put: Vec<WirePut<'a>>,
    remove: Vec<WireKey<'a>>,
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct WireExpected<'a> {
    table: &'a str,
    #[serde(rename = "part")]
    part: &'a str,
    key: &'a str,
    ver: u64,
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct WirePut<'a> {
    table: &'a str,
    #[serde(rename = "part")]
    part: &'a str,
    key: &'a str,
    value: String,
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct WireKey<'a> {
    table: &'a str,
    #[serde(rename = "part")]
    part: &'a str,
    key: &'a str,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireRow {
    #[serde(default)]
    table: String,
    key: String,
    #[serde(default)]
    value: Option<String>,
    #[serde(default)]
    ver: u64,
    #[serde(default)]
    removed: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireRows {
    #[serde(default)]
    rows: Vec<WireRow>,
    ver: u64,
    #[serde(default)]
    has_more: bool,
    #[serde(default)]
    now_ms: Option<u64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireVersion {
    ver: u64,
}

fn get_request(path: String) -> Result<Request<Full<Bytes>>> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = path.parse().map_err(|e| Error::input(SOURCE, e))?;
    Ok(request)
}

/// Builds the request for the rows of a partition of a table from key `from` on; `from` is
/// included.
///
/// # Errors
/// The names are too long for a request path.
pub fn rows_request(table: &str, part: &str, from: &str) -> Result<Request<Full<Bytes>>> {
    let from =
        if from.is_empty() { String::new() } else { format!("&From={}", percent_encode(from, "")) };
    let (table, part) = (percent_encode(table, ""), percent_encode(part, ""));
    get_request(format!("/rows-get?Table={table}&part={part}{from}"))
}

/// Builds the request for the changes of a table after a version. Without changes, the store
/// answers after `wait_ms`.
///
/// # Errors
/// The names are too long for a request path.
pub fn feed_request(table: &str, after: u64, wait_ms: u64) -> Result<Request<Full<Bytes>>> {
    let (table, after) = (percent_encode(table, ""), row_version::plain(after));
    get_request(format!("/rows-feed?Table={table}&after={after}&WaitMs={wait_ms}"))
}

/// Builds the request for a transaction over rows of a partition, which may be empty.
pub fn commit_request(
    part: &str,
    changes: &[Change<'_>],
    conditions: &[Condition<'_>],
) -> Request<Full<Bytes>> {
    let mut tx = WireTx { expected: Vec::new(), put: Vec::new(), remove: Vec::new() };
    for c in conditions {
        let (table, key, ver) = (c.table, c.key, row_version::plain(c.version));
        tx.expected.push(WireExpected { table, part, key, ver });
    }
    for c in changes {
        let (table, key) = (c.table, c.key);
        if let Some(ver) = c.expected.map(row_version::plain) {
            tx.expected.push(WireExpected { table, part, key, ver });
        }
        match c.value {
            Some(value) => tx.put.push(WirePut { table, part, key, value: encode_value(value) }),
            None => tx.remove.push(WireKey { table, part, key }),
        }
    }
    let body = serde_json::to_vec(&tx).unwrap_or_default();
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = http::Uri::from_static("/rows-tx");
    request
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    request
}

/// Whether a status means that the store did nothing because it is overloaded or unavailable.
pub fn is_unavailable(status: StatusCode) -> bool {
    matches!(status, StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE)
}

fn decode_outcome<T>(
    status: StatusCode,
    body: &[u8],
    decode: impl Fn(&[u8]) -> Result<T>,
) -> Result<Outcome<T>> {
    match status.as_u16() {
        200 => decode(body).map(Outcome::Done),
        410 | 412 => Ok(Outcome::Refused),
        _ if is_unavailable(status) => Ok(Outcome::Unavailable(status.as_u16())),
        other => Err(Error::platform(SOURCE, format!("status {other}"))),
    }
}

/// Encodes a value for a row, as base64.
pub fn encode_value(value: &[u8]) -> String {
    STANDARD.encode(value)
}

fn decode_row(era: u64, wire: WireRow) -> Row {
    // A value that is not base64 is kept unchanged; it fails to decode where it is read.
    let value = wire.value.unwrap_or_default();
    let value = STANDARD.decode(&value).unwrap_or_else(|_| value.into_bytes());
    let version = row_version::qualify(era, wire.ver);
    Row { table: wire.table, key: wire.key, value, version, removed: wire.removed }
}

/// The era of the store that an answer states; it rises when the store is restored from a copy.
pub fn era(headers: &HeaderMap) -> Option<u64> {
    headers.get(ERA)?.to_str().ok()?.trim().parse().ok()
}

/// Decodes an answer of a store in the given era that contains rows.
///
/// # Errors
/// The status is unexpected, or the body is not valid.
pub fn decode_rows(era: u64, status: StatusCode, body: &[u8]) -> Result<Outcome<Rows>> {
    decode_outcome(status, body, |bytes| {
        let wire: WireRows =
            serde_json::from_slice(bytes).map_err(|e| Error::platform(SOURCE, e))?;
        let rows = wire.rows.into_iter().map(|row| decode_row(era, row)).collect();
        let version = row_version::qualify(era, wire.ver);
        Ok(Rows { rows, version, more: wire.has_more, clock: wire.now_ms })
    })
}

/// Decodes the answer to a transaction into the version that it wrote.
///
/// # Errors
/// The status is unexpected, or the body is not valid.
pub fn decode_commit(status: StatusCode, body: &[u8]) -> Result<Outcome<u64>> {
    decode_outcome(status, body, |bytes| {
        let wire: WireVersion =
            serde_json::from_slice(bytes).map_err(|e| Error::platform(SOURCE, e))?;
        Ok(wire.ver)
    })
}
