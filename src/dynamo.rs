//! Table service over the published DynamoDB JSON API.
//!
//! Each row is an item with partition key `g`, sort key `k` (the row's key),
//! version `v`, transaction id `t` and value `b`. The partition is the key's text
//! up to its first `/`; prefixes in [`SPREAD`] are divided over several partitions.
//! A scan queries the partitions of its prefix.
//!
//! Versions are chosen by the writer, because the API does not return them: a
//! replaced row gets the next number, and a created one the wall clock in
//! microseconds, so that a row that is created again never repeats a version. An
//! unconditional write reads the row first and is committed on the version read.
//!
//! Requests are not signed in this version; the service must be reachable only
//! from the nodes. `ClientRequestToken` is not used: a lost answer is resolved by
//! reading back the transaction id.

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
use crate::storage::{Commit, Cond, Op, Row, Table, Txn, Write};

/// Prefixes whose rows are divided over several partitions, and over how many.
///
/// Claims are by far the most frequent writes and are scanned rarely.
pub const SPREAD: [(&str, u64); 1] = [("claim/", 16)];

/// Attempts to commit an unconditional write whose row keeps changing.
const TRIES: usize = 8;

const SERVICE: &str = "table";

/// Table service at an address.
#[derive(Clone)]
pub struct DynamoTable {
    http: HttpClient,
    addr: SocketAddr,
    table: String,
    time: Duration,
}

impl DynamoTable {
    /// The table `table` of the service at `addr`; `time` bounds each request.
    pub fn new(http: HttpClient, addr: SocketAddr, table: &str, time: Duration) -> Self {
        Self { http, addr, table: table.to_owned(), time }
    }

    async fn ask(&self, target: &str, body: &Value) -> Result<Answer> {
        let body = Bytes::from(body.to_string());
        let mut req =
            build_request(Method::POST, "/", body).map_err(|e| Error::input(SERVICE, e))?;
        let headers = req.headers_mut();
        let target = format!("DynamoDB_20120810.{target}");
        let target = HeaderValue::from_str(&target).map_err(|e| Error::input(SERVICE, e))?;
        headers.insert("x-amz-target", target);
        let json = HeaderValue::from_static("application/x-amz-json-1.0");
        headers.insert(header::CONTENT_TYPE, json);
        let whole = match self.http.fetch(self.addr, req, Instant::now() + self.time).await {
            Ok(whole) => whole,
            Err(SendError::Unsent(e) | SendError::Unknown(e)) => return Err(Error::io(SERVICE, e)),
        };
        if whole.status.is_success() {
            return Ok(Answer::Done(whole.body));
        }
        let fault: Fault = serde_json::from_slice(&whole.body)
            .map_err(|_| Error::io(SERVICE, format!("status {}", whole.status)))?;
        Ok(Answer::Failed(whole.status, fault))
    }

    async fn ask_done(&self, target: &str, body: &Value) -> Result<Bytes> {
        match self.ask(target, body).await? {
            Answer::Done(body) => Ok(body),
            Answer::Failed(status, fault) => Err(fault.error(status)),
        }
    }

    /// All rows of one partition whose key starts with `prefix`.
    async fn query(&self, group: &str, prefix: &str) -> Result<Vec<Row>> {
        let mut rows = Vec::new();
        let mut start: Option<Value> = None;
        loop {
            let mut body = json!({
                "TableName": self.table,
                "ConsistentRead": true,
                "KeyConditionExpression": "#g = :g AND begins_with(#k, :k)",
                "ExpressionAttributeNames": { "#g": "g", "#k": "k" },
                "ExpressionAttributeValues": { ":g": { "S": group }, ":k": { "S": prefix } },
            });
            if let Some(start) = start.take() {
                body["ExclusiveStartKey"] = start;
            }
            let page: Page = parse(&self.ask_done("Query", &body).await?)?;
            for item in page.items {
                rows.push(item.row()?);
            }
            match page.last {
                Some(last) => start = Some(last),
                None => return Ok(rows),
            }
        }
    }

    fn key(&self, key: &str) -> Value {
        json!({ "g": { "S": group(key) }, "k": { "S": key } })
    }

    /// One member of a transaction, and the version that the row then has.
    fn item(&self, write: &Write, txn: &str, cond: Cond) -> (Value, u64) {
        let (mut body, name, version) = match &write.op {
            Op::Put(value) => {
                let version = match cond {
                    Cond::Version(v) => v + 1,
                    Cond::Any | Cond::Absent => micros(),
                };
                let item = json!({
                    "g": { "S": group(&write.key) },
                    "k": { "S": write.key },
                    "v": { "N": version.to_string() },
                    "t": { "S": txn },
                    "b": { "B": STANDARD.encode(value) },
                });
                (json!({ "TableName": self.table, "Item": item }), "Put", version)
            }
            Op::Delete => {
                (json!({ "TableName": self.table, "Key": self.key(&write.key) }), "Delete", 0)
            }
            Op::Check => {
                let version = if let Cond::Version(v) = cond { v } else { 0 };
                let body = json!({ "TableName": self.table, "Key": self.key(&write.key) });
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

    /// Condition that stands in for [`Cond::Any`] on a put.
    async fn present(&self, write: &Write) -> Result<Cond> {
        if write.cond != Cond::Any || !matches!(write.op, Op::Put(_)) {
            return Ok(write.cond);
        }
        Ok(self.get(&write.key).await?.map_or(Cond::Absent, |row| Cond::Version(row.version)))
    }
}

/// Microseconds since the Unix epoch.
fn micros() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |d| d.as_micros() as u64)
}

/// Partition of a key.
fn group(key: &str) -> String {
    let first = key.find('/').map_or(key, |at| &key[..=at]);
    match SPREAD.iter().find(|(prefix, _)| *prefix == first) {
        Some((prefix, parts)) => format!("{prefix}{}", stable_hash(&[key]) % parts),
        None => first.to_owned(),
    }
}

enum Answer {
    Done(Bytes),
    Failed(StatusCode, Fault),
}

#[derive(Deserialize)]
struct Fault {
    #[serde(rename = "__type")]
    kind: String,
    #[serde(default, alias = "Message")]
    message: String,
    #[serde(default, rename = "CancellationReasons")]
    reasons: Vec<Reason>,
}

#[derive(Deserialize)]
struct Reason {
    #[serde(default, rename = "Code")]
    code: String,
}

impl Fault {
    /// The exception's name without its namespace.
    fn name(&self) -> &str {
        self.kind.rsplit('#').next().unwrap_or(&self.kind)
    }

    /// The error that this answer means, when it is no refused condition.
    fn error(&self, status: StatusCode) -> Error {
        let text = format!("{}: {}", self.name(), self.message);
        match self.name() {
            // The service states that the request has no effect.
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
struct Page {
    #[serde(default, rename = "Items")]
    items: Vec<Item>,
    #[serde(default, rename = "LastEvaluatedKey")]
    last: Option<Value>,
}

#[derive(Deserialize)]
struct Got {
    #[serde(default, rename = "Item")]
    item: Option<Item>,
}

#[derive(Deserialize)]
struct Item {
    k: Text,
    v: Number,
    t: Text,
    b: Binary,
}

#[derive(Deserialize)]
struct Text {
    #[serde(rename = "S")]
    text: String,
}

#[derive(Deserialize)]
struct Number {
    #[serde(rename = "N")]
    text: String,
}

#[derive(Deserialize)]
struct Binary {
    #[serde(rename = "B")]
    text: String,
}

impl Item {
    fn row(self) -> Result<Row> {
        let bad = |e: &dyn std::fmt::Display| Error::io(SERVICE, format!("item: {e}"));
        let version = self.v.text.parse().map_err(|e: std::num::ParseIntError| bad(&e))?;
        let value = STANDARD.decode(&self.b.text).map_err(|e| bad(&e))?;
        Ok(Row { key: self.k.text, version, txn: self.t.text, value: value.into() })
    }
}

fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|e| Error::io(SERVICE, format!("answer: {e}")))
}

impl Table for DynamoTable {
    async fn get(&self, key: &str) -> Result<Option<Row>> {
        let body = json!({ "TableName": self.table, "Key": self.key(key), "ConsistentRead": true });
        let got: Got = parse(&self.ask_done("GetItem", &body).await?)?;
        got.item.map(Item::row).transpose()
    }

    /// Reads all rows whose key starts with `prefix`, which must contain a `/`.
    async fn scan(&self, prefix: &str) -> Result<Vec<Row>> {
        let Some(at) = prefix.find('/') else {
            return Err(Error::input(SERVICE, format!("scan of prefix {prefix:?} without /")));
        };
        let first = &prefix[..=at];
        let Some((_, parts)) = SPREAD.iter().find(|(spread, _)| *spread == first) else {
            return self.query(first, prefix).await;
        };
        let mut rows = Vec::new();
        for part in 0..*parts {
            rows.extend(self.query(&format!("{first}{part}"), prefix).await?);
        }
        rows.sort_by(|a, b| a.key.cmp(&b.key));
        Ok(rows)
    }

    async fn commit(&self, txn: &Txn) -> Result<Commit> {
        check_txn(SERVICE, txn)?;
        for _ in 0..TRIES {
            let mut items = Vec::with_capacity(txn.writes.len());
            let mut keys = Vec::with_capacity(txn.writes.len());
            let mut versions = Vec::with_capacity(txn.writes.len());
            for write in &txn.writes {
                let cond = self.present(write).await?;
                let (item, version) = self.item(write, &txn.id, cond);
                versions.push(version);
                // The API has no check without a condition.
                if write.op != Op::Check || cond != Cond::Any {
                    items.push(item);
                    keys.push(write);
                }
            }
            if items.is_empty() {
                return Ok(Commit::Done(versions));
            }
            let body = json!({ "TransactItems": items });
            let (status, fault) = match self.ask("TransactWriteItems", &body).await? {
                Answer::Done(_) => return Ok(Commit::Done(versions)),
                Answer::Failed(status, fault) => (status, fault),
            };
            let failed: Vec<&Write> = keys
                .iter()
                .zip(&fault.reasons)
                .filter(|(_, r)| r.code == "ConditionalCheckFailed")
                .map(|(write, _)| *write)
                .collect();
            if fault.name() != "TransactionCanceledException" || failed.is_empty() {
                return Err(fault.error(status));
            }
            // A row of an unconditional write changed since it was read.
            if let Some(write) = failed.iter().find(|write| write.cond != Cond::Any) {
                return Ok(Commit::Conflict(write.key.clone()));
            }
        }
        Err(Error::platform(SERVICE, "rows of unconditional writes keep changing"))
    }
}
