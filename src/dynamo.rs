//! Table service client for the public DynamoDB JSON API.
//!
//! Each row is stored as an item with partition key `g`, sort key `k` (the row's key),
//! version `v`, transaction id `t` and value `b`. The partition key is the row's key up
//! to and including its first `/`; rows with a prefix in [`PREFIX_PARTITIONS`] are
//! distributed over several partitions. A scan queries all partitions of its prefix.
//!
//! The writer chooses row versions, because the API does not return them. A replaced
//! row gets the next number. A created row gets the wall clock time in microseconds, so
//! that a row that is deleted and created again never repeats a version. An
//! unconditional put reads the row first and is committed on condition that the row
//! still has the version read.
//!
//! Requests are not signed in this version, so the service must be reachable only from
//! the nodes. `ClientRequestToken` is not used: after a lost response, reading back the
//! transaction id shows whether the transaction took effect.

use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::{HeaderValue, Method, StatusCode, header};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::error::{Error, Result};
use crate::http_client::{HttpClient, SendError, build_request};
use crate::ids::stable_hash;
use crate::memory::check_txn;
use crate::storage::{Commit, Cond, Op, PageSizes, Row, Table, Txn, Write};

/// Key prefixes whose rows are distributed over several partitions, with the number of
/// partitions.
///
/// Claims are by far the most frequent writes and are rarely scanned.
pub const PREFIX_PARTITIONS: [(&str, u64); 1] = [("claim/", 16)];

/// Maximum number of attempts to commit an unconditional write whose row is changed
/// concurrently.
const MAX_COMMIT_ATTEMPTS: usize = 8;

/// Name of this service in errors.
const SERVICE: &str = "table";

/// Table of a DynamoDB-compatible service.
#[derive(Clone)]
pub struct DynamoTable {
    http: HttpClient,
    addr: SocketAddr,
    table: String,
    timeout: Duration,
}

impl DynamoTable {
    /// Creates a client for `table` of the service at `addr`; `timeout` limits each request.
    pub fn new(http: HttpClient, addr: SocketAddr, table: &str, timeout: Duration) -> Self {
        Self { http, addr, table: table.to_owned(), timeout }
    }

    /// Sends one request; an error response of the service is not an `Err`.
    async fn send(&self, target: &str, body: &Value) -> Result<Response> {
        let body = Bytes::from(body.to_string());
        let mut req =
            build_request(Method::POST, "/", body).map_err(|e| Error::input(SERVICE, e))?;
        let headers = req.headers_mut();
        let target = format!("DynamoDB_20120810.{target}");
        let target = HeaderValue::from_str(&target).map_err(|e| Error::input(SERVICE, e))?;
        headers.insert("x-amz-target", target);
        let json = HeaderValue::from_static("application/x-amz-json-1.0");
        headers.insert(header::CONTENT_TYPE, json);
        let response = match self.http.fetch(self.addr, req, Instant::now() + self.timeout).await {
            Ok(response) => response,
            Err(SendError::Unsent(e) | SendError::Unknown(e)) => return Err(Error::io(SERVICE, e)),
        };
        if response.status.is_success() {
            return Ok(Response::Success(response.body));
        }
        let exception: Exception = serde_json::from_slice(&response.body)
            .map_err(|_| Error::io(SERVICE, format!("status {}", response.status)))?;
        Ok(Response::Failure(response.status, exception))
    }

    /// Sends one request and returns the body of a successful response.
    async fn send_expect_success(&self, target: &str, body: &Value) -> Result<Bytes> {
        match self.send(target, body).await? {
            Response::Success(body) => Ok(body),
            Response::Failure(status, exception) => Err(exception.to_error(status)),
        }
    }

    /// Reads all rows of one partition whose key starts with `prefix`.
    async fn query(&self, partition: &str, prefix: &str) -> Result<Vec<Row>> {
        let mut rows = Vec::new();
        let mut start: Option<Value> = None;
        let mut sizes = PageSizes::default();
        loop {
            let mut body = json!({
                "TableName": self.table,
                "ConsistentRead": true,
                "KeyConditionExpression": "#g = :g AND begins_with(#k, :k)",
                "ExpressionAttributeNames": { "#g": "g", "#k": "k" },
                "ExpressionAttributeValues": { ":g": { "S": partition }, ":k": { "S": prefix } },
            });
            if let Some(start) = start.take() {
                body["ExclusiveStartKey"] = start;
            }
            let answer = self.send_expect_success("Query", &body).await?;
            sizes.add(SERVICE, answer.len())?;
            let page: QueryPage = parse(&answer)?;
            for item in page.items {
                rows.push(item.into_row()?);
            }
            match page.last_key {
                Some(last) => start = Some(last),
                None => return Ok(rows),
            }
        }
    }

    /// Primary key of a row's item.
    fn item_key(&self, key: &str) -> Value {
        json!({ "g": { "S": partition(key) }, "k": { "S": key } })
    }

    /// Entry of `TransactItems` for a write, and the version of the row afterwards: 0 for a
    /// deleted row and for a check without a version.
    fn transact_item(&self, write: &Write, txn: &str, cond: Cond) -> (Value, u64) {
        let (mut body, name, version) = match &write.op {
            Op::Put(value) => {
                let version = match cond {
                    Cond::Version(v) => v + 1,
                    Cond::Any | Cond::Absent => unix_micros(),
                };
                let item = json!({
                    "g": { "S": partition(&write.key) },
                    "k": { "S": write.key },
                    "v": { "N": version.to_string() },
                    "t": { "S": txn },
                    "b": { "B": STANDARD.encode(value) },
                });
                (json!({ "TableName": self.table, "Item": item }), "Put", version)
            }
            Op::Delete => {
                (json!({ "TableName": self.table, "Key": self.item_key(&write.key) }), "Delete", 0)
            }
            Op::Check => {
                let version = if let Cond::Version(v) = cond { v } else { 0 };
                let body = json!({ "TableName": self.table, "Key": self.item_key(&write.key) });
                (body, "ConditionCheck", version)
            }
        };
        match cond {
            Cond::Any => {}
            Cond::Absent => body["ConditionExpression"] = "attribute_not_exists(k)".into(),
            Cond::Version(v) => {
                body["ConditionExpression"] = "v = :v".into();
                body["ExpressionAttributeValues"] = json!({ ":v": { "N": v.to_string() } });
            }
        }
        (json!({ name: body }), version)
    }

    /// Condition to commit a write on: for a put with [`Cond::Any`], the row's present state.
    async fn effective_cond(&self, write: &Write) -> Result<Cond> {
        if write.cond != Cond::Any || !matches!(write.op, Op::Put(_)) {
            return Ok(write.cond);
        }
        Ok(self.get(&write.key).await?.map_or(Cond::Absent, |row| Cond::Version(row.version)))
    }
}

/// Microseconds since the Unix epoch.
fn unix_micros() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |d| d.as_micros() as u64)
}

/// Partition key of a row.
fn partition(key: &str) -> String {
    let first = key.find('/').map_or(key, |at| &key[..=at]);
    match PREFIX_PARTITIONS.iter().find(|(prefix, _)| *prefix == first) {
        Some((prefix, count)) => format!("{prefix}{}", stable_hash(&[key]) % count),
        None => first.to_owned(),
    }
}

enum Response {
    Success(Bytes),
    Failure(StatusCode, Exception),
}

/// Body of an error response.
#[derive(Deserialize)]
struct Exception {
    #[serde(rename = "__type")]
    type_name: String,
    #[serde(default, alias = "Message")]
    message: String,
    /// One entry for each item of a cancelled transaction, in their order.
    #[serde(default, rename = "CancellationReasons")]
    reasons: Vec<CancellationReason>,
}

#[derive(Deserialize)]
struct CancellationReason {
    #[serde(default, rename = "Code")]
    code: String,
}

impl Exception {
    /// Name of the exception without its namespace.
    fn name(&self) -> &str {
        self.type_name.rsplit('#').next().unwrap_or(&self.type_name)
    }

    /// Converts an exception other than a failed condition to an error.
    fn to_error(&self, status: StatusCode) -> Error {
        let text = format!("{}: {}", self.name(), self.message);
        match self.name() {
            // With these exceptions the service states that the request had no effect.
            "ThrottlingException"
            | "ProvisionedThroughputExceededException"
            | "RequestLimitExceeded"
            | "TransactionConflictException"
            | "TransactionCanceledException" => Error::platform(SERVICE, text),
            _ if status.is_client_error() => Error::input(SERVICE, text),
            _ => Error::io(SERVICE, text),
        }
    }
}

#[derive(Deserialize)]
struct QueryPage {
    #[serde(default, rename = "Items")]
    items: Vec<Item>,
    /// Present if there are further pages.
    #[serde(default, rename = "LastEvaluatedKey")]
    last_key: Option<Value>,
}

#[derive(Deserialize)]
struct GetItemOutput {
    #[serde(default, rename = "Item")]
    item: Option<Item>,
}

#[derive(Deserialize)]
struct Item {
    k: StringAttribute,
    v: NumberAttribute,
    t: StringAttribute,
    b: BinaryAttribute,
}

#[derive(Deserialize)]
struct StringAttribute {
    #[serde(rename = "S")]
    text: String,
}

/// Number in decimal digits.
#[derive(Deserialize)]
struct NumberAttribute {
    #[serde(rename = "N")]
    digits: String,
}

/// Bytes in base64.
#[derive(Deserialize)]
struct BinaryAttribute {
    #[serde(rename = "B")]
    base64: String,
}

impl Item {
    fn into_row(self) -> Result<Row> {
        let invalid = |e: &dyn std::fmt::Display| Error::io(SERVICE, format!("invalid item: {e}"));
        let version = self.v.digits.parse().map_err(|e: std::num::ParseIntError| invalid(&e))?;
        let value = STANDARD.decode(&self.b.base64).map_err(|e| invalid(&e))?;
        Ok(Row { key: self.k.text, version, txn: self.t.text, value: value.into() })
    }
}

fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|e| Error::io(SERVICE, format!("invalid response: {e}")))
}

impl Table for DynamoTable {
    fn close_idle(&self) {
        self.http.close_idle(self.addr);
    }

    async fn get(&self, key: &str) -> Result<Option<Row>> {
        let body =
            json!({ "TableName": self.table, "Key": self.item_key(key), "ConsistentRead": true });
        let output: GetItemOutput = parse(&self.send_expect_success("GetItem", &body).await?)?;
        output.item.map(Item::into_row).transpose()
    }

    /// Reads all rows whose key starts with `prefix`, which must contain a `/`.
    async fn scan(&self, prefix: &str) -> Result<Vec<Row>> {
        let Some(at) = prefix.find('/') else {
            return Err(Error::input(SERVICE, format!("scan of prefix {prefix:?} without /")));
        };
        let first = &prefix[..=at];
        let Some((_, count)) = PREFIX_PARTITIONS.iter().find(|(prefix, _)| *prefix == first) else {
            return self.query(first, prefix).await;
        };
        let mut rows = Vec::new();
        for i in 0..*count {
            rows.extend(self.query(&format!("{first}{i}"), prefix).await?);
        }
        rows.sort_by(|a, b| a.key.cmp(&b.key));
        Ok(rows)
    }

    async fn commit(&self, txn: &Txn) -> Result<Commit> {
        check_txn(SERVICE, txn)?;
        for _ in 0..MAX_COMMIT_ATTEMPTS {
            let mut items = Vec::with_capacity(txn.writes.len());
            let mut item_writes = Vec::with_capacity(txn.writes.len());
            let mut versions = Vec::with_capacity(txn.writes.len());
            for write in &txn.writes {
                let cond = self.effective_cond(write).await?;
                let (item, version) = self.transact_item(write, &txn.id, cond);
                versions.push(version);
                // The API has no condition check without a condition.
                if write.op != Op::Check || cond != Cond::Any {
                    items.push(item);
                    item_writes.push(write);
                }
            }
            if items.is_empty() {
                return Ok(Commit::Done(versions));
            }
            let body = json!({ "TransactItems": items });
            let (status, exception) = match self.send("TransactWriteItems", &body).await? {
                Response::Success(_) => return Ok(Commit::Done(versions)),
                Response::Failure(status, exception) => (status, exception),
            };
            let failed: Vec<&Write> = item_writes
                .iter()
                .zip(&exception.reasons)
                .filter(|(_, r)| r.code == "ConditionalCheckFailed")
                .map(|(write, _)| *write)
                .collect();
            if exception.name() != "TransactionCanceledException" || failed.is_empty() {
                return Err(exception.to_error(status));
            }
            // If only unconditional writes failed, their rows changed since they were read:
            // try again.
            if let Some(write) = failed.iter().find(|write| write.cond != Cond::Any) {
                return Ok(Commit::Conflict(write.key.clone()));
            }
        }
        Err(Error::platform(
            SERVICE,
            "a row of an unconditional write was changed concurrently in every attempt",
        ))
    }
}
