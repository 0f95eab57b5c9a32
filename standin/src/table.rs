//! Table service: the DynamoDB JSON API as far as the adapter uses it.
//!
//! Supported are `GetItem`, `Query` on an equal partition key with an optional
//! `begins_with` on the sort key, and `TransactWriteItems` of `Put`, `Delete` and
//! `ConditionCheck`, with the conditions `attribute_not_exists(A)`,
//! `attribute_exists(A)` and `A = :V`. Keys are the string attributes `g` and `k`.

use std::collections::BTreeMap;

use serde_json::{Map, Value, json};

/// Most members of a transaction.
const MEMBERS: usize = 100;

type Key = (String, String);
type Item = Map<String, Value>;

/// Why a request failed: exception name, message, reasons of a cancellation.
#[derive(Debug)]
pub struct Exception {
    /// Name without namespace.
    pub name: &'static str,
    /// What is wrong.
    pub message: String,
    /// Code per member of the transaction.
    pub reasons: Vec<&'static str>,
}

impl Exception {
    fn invalid(message: impl Into<String>) -> Self {
        Self { name: "ValidationException", message: message.into(), reasons: Vec::new() }
    }

    /// A refusal because of the rate limit; without effect.
    pub fn throttled() -> Self {
        let (name, message) = ("ThrottlingException", "rate exceeded".to_owned());
        Self { name, message, reasons: Vec::new() }
    }

    /// The JSON body.
    pub fn body(&self) -> Value {
        let kind = format!("com.amazonaws.dynamodb.v20120810#{}", self.name);
        let mut body = json!({ "__type": kind, "Message": self.message });
        if !self.reasons.is_empty() {
            let reasons = self.reasons.iter().map(|code| json!({ "Code": code }));
            body["CancellationReasons"] = reasons.collect();
        }
        body
    }
}

/// Items of all tables.
#[derive(Debug)]
pub struct Tables {
    tables: BTreeMap<String, BTreeMap<Key, Item>>,
    // Items per page of a query.
    page: usize,
}

impl Tables {
    /// No items; queries return at most `page` items at once.
    pub fn new(page: usize) -> Self {
        Self { tables: BTreeMap::new(), page }
    }

    /// Items of one table.
    pub fn count(&self, table: &str) -> usize {
        self.tables.get(table).map_or(0, BTreeMap::len)
    }

    /// Runs one operation.
    ///
    /// # Errors
    /// Gives the exception of the API; nothing took effect then.
    pub fn run(&mut self, operation: &str, body: &Value) -> Result<Value, Exception> {
        match operation {
            "GetItem" => self.get(body),
            "Query" => self.query(body),
            "TransactWriteItems" => self.transact(body),
            _ => Err(Exception::invalid(format!("operation {operation:?} is not supported"))),
        }
    }

    fn get(&self, body: &Value) -> Result<Value, Exception> {
        let key = key_of(&body["Key"])?;
        let item = self.tables.get(name_of(body)?).and_then(|table| table.get(&key));
        Ok(item.map_or(json!({}), |item| json!({ "Item": item })))
    }

    fn query(&self, body: &Value) -> Result<Value, Exception> {
        let condition = body["KeyConditionExpression"].as_str().unwrap_or_default();
        let mut group = None;
        let mut prefix = String::new();
        for part in condition.split(" AND ") {
            if let Some(inner) = part.strip_prefix("begins_with(") {
                let (_, value) = inner.trim_end_matches(')').split_once(", ").unwrap_or_default();
                prefix = string(&body["ExpressionAttributeValues"][value])?;
            } else if let Some((_, value)) = part.split_once(" = ") {
                group = Some(string(&body["ExpressionAttributeValues"][value])?);
            }
        }
        let group = group.ok_or_else(|| Exception::invalid("no partition key"))?;
        let after = match &body["ExclusiveStartKey"] {
            Value::Null => None,
            start => Some(key_of(start)?),
        };
        let limit = body["Limit"].as_u64().map_or(self.page, |n| self.page.min(n as usize));
        let mut items = Vec::new();
        let mut last = None;
        let empty = BTreeMap::new();
        let table = self.tables.get(name_of(body)?).unwrap_or(&empty);
        for (key, item) in table.range((group.clone(), prefix.clone())..) {
            if key.0 != group || !key.1.starts_with(&prefix) {
                break;
            }
            if after.as_ref().is_some_and(|after| key <= after) {
                continue;
            }
            items.push(item);
            if items.len() == limit {
                last = Some(json!({ "g": { "S": key.0 }, "k": { "S": key.1 } }));
                break;
            }
        }
        let mut answer = json!({ "Count": items.len(), "Items": items });
        if let Some(last) = last {
            answer["LastEvaluatedKey"] = last;
        }
        Ok(answer)
    }

    fn transact(&mut self, body: &Value) -> Result<Value, Exception> {
        let members = body["TransactItems"].as_array().map_or(&[][..], Vec::as_slice);
        if members.is_empty() || members.len() > MEMBERS {
            return Err(Exception::invalid(format!("{} members", members.len())));
        }
        let mut effects = Vec::new();
        let mut reasons = Vec::new();
        for member in members {
            let Some((kind, part)) = member.as_object().and_then(|m| m.iter().next()) else {
                return Err(Exception::invalid("member is not an object"));
            };
            let item = match kind.as_str() {
                "Put" => part["Item"].as_object().cloned(),
                "Delete" | "ConditionCheck" => None,
                _ => return Err(Exception::invalid(format!("member {kind:?}"))),
            };
            let key = key_of(if item.is_some() { &part["Item"] } else { &part["Key"] })?;
            let table = name_of(part)?.to_owned();
            let present = self.tables.get(&table).and_then(|t| t.get(&key));
            reasons.push(if holds(part, present)? { "None" } else { "ConditionalCheckFailed" });
            if kind == "ConditionCheck" && part["ConditionExpression"].is_null() {
                return Err(Exception::invalid("ConditionCheck without a condition"));
            }
            effects.push((table, key, item, kind != "ConditionCheck"));
        }
        let mut keys: Vec<_> = effects.iter().map(|(table, key, ..)| (table, key)).collect();
        keys.sort();
        if keys.windows(2).any(|pair| pair[0] == pair[1]) {
            return Err(Exception::invalid("two members on one item"));
        }
        if reasons.iter().any(|code| *code != "None") {
            let message = format!("Transaction cancelled, reasons {reasons:?}");
            return Err(Exception { name: "TransactionCanceledException", message, reasons });
        }
        for (table, key, item, writes) in effects {
            let table = self.tables.entry(table).or_default();
            match item {
                Some(item) => drop(table.insert(key, item)),
                None if writes => drop(table.remove(&key)),
                None => {}
            }
        }
        Ok(json!({}))
    }
}

fn name_of(body: &Value) -> Result<&str, Exception> {
    body["TableName"].as_str().ok_or_else(|| Exception::invalid("no TableName"))
}

fn string(value: &Value) -> Result<String, Exception> {
    let text = value["S"].as_str().map(str::to_owned);
    text.ok_or_else(|| Exception::invalid("not a string attribute"))
}

fn key_of(value: &Value) -> Result<Key, Exception> {
    Ok((string(&value["g"])?, string(&value["k"])?))
}

/// Whether the condition of a member holds for the present item.
fn holds(part: &Value, present: Option<&Item>) -> Result<bool, Exception> {
    let Some(text) = part["ConditionExpression"].as_str() else { return Ok(true) };
    let name = |text: &str| {
        let named = part["ExpressionAttributeNames"][text].as_str();
        named.unwrap_or(text).to_owned()
    };
    let exists = |name: &str| present.is_some_and(|item| item.contains_key(name));
    let inner = |prefix: &str| text.strip_prefix(prefix).and_then(|t| t.strip_suffix(')'));
    if let Some(attribute) = inner("attribute_not_exists(") {
        return Ok(!exists(&name(attribute)));
    }
    if let Some(attribute) = inner("attribute_exists(") {
        return Ok(exists(&name(attribute)));
    }
    let Some((attribute, value)) = text.split_once(" = ") else {
        return Err(Exception::invalid(format!("condition {text:?} is not supported")));
    };
    let value = &part["ExpressionAttributeValues"][value];
    Ok(present.and_then(|item| item.get(&name(attribute))) == Some(value))
}
