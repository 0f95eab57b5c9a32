//! Table service with the part of the DynamoDB JSON API that the main package uses.
//!
//! Supported are `GetItem`, `Query` for one partition key with an optional `begins_with` on
//! the sort key, and `TransactWriteItems` of `Put`, `Delete` and `ConditionCheck`, with the
//! conditions `attribute_not_exists(A)`, `attribute_exists(A)` and `A = :V`. The partition
//! and sort keys are the string attributes `g` and `k`.

use std::collections::BTreeMap;

use serde_json::{Map, Value, json};

/// Maximum number of members of a transaction.
const MAX_MEMBERS: usize = 100;

type Key = (String, String);
type Item = Map<String, Value>;

/// Exception with which a request failed.
#[derive(Debug)]
pub struct Exception {
    /// Exception name without its namespace.
    pub name: &'static str,
    /// Description of the error.
    pub message: String,
    /// Cancellation reason of each member of a transaction; otherwise empty.
    pub reasons: Vec<&'static str>,
}

impl Exception {
    fn invalid(message: impl Into<String>) -> Self {
        Self { name: "ValidationException", message: message.into(), reasons: Vec::new() }
    }

    /// The exception of a request that exceeds the rate limit and has no effect.
    pub fn throttled() -> Self {
        let (name, message) = ("ThrottlingException", "rate exceeded".to_owned());
        Self { name, message, reasons: Vec::new() }
    }

    /// Returns the JSON body of the answer.
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

/// All tables and their items.
#[derive(Debug)]
pub struct Tables {
    tables: BTreeMap<String, BTreeMap<Key, Item>>,
    // Maximum number of items per page of a query.
    page_size: usize,
}

impl Tables {
    /// Creates empty tables; queries return at most `page_size` items per page.
    pub fn new(page_size: usize) -> Self {
        Self { tables: BTreeMap::new(), page_size }
    }

    /// Number of items in a table.
    pub fn count(&self, table: &str) -> usize {
        self.tables.get(table).map_or(0, BTreeMap::len)
    }

    /// Runs one operation.
    ///
    /// # Errors
    ///
    /// Returns the exception of the API; the operation has had no effect.
    pub fn run(&mut self, operation: &str, body: &Value) -> Result<Value, Exception> {
        match operation {
            "GetItem" => self.get(body),
            "Query" => self.query(body),
            "TransactWriteItems" => self.transact(body),
            _ => Err(Exception::invalid(format!("operation {operation:?} is not supported"))),
        }
    }

    fn get(&self, body: &Value) -> Result<Value, Exception> {
        let key = item_key(&body["Key"])?;
        let item = self.tables.get(table_name(body)?).and_then(|table| table.get(&key));
        Ok(item.map_or(json!({}), |item| json!({ "Item": item })))
    }

    fn query(&self, body: &Value) -> Result<Value, Exception> {
        let condition = body["KeyConditionExpression"].as_str().unwrap_or_default();
        let mut partition = None;
        let mut prefix = String::new();
        for part in condition.split(" AND ") {
            if let Some(inner) = part.strip_prefix("begins_with(") {
                let (_, value) = inner.trim_end_matches(')').split_once(", ").unwrap_or_default();
                prefix = string_attribute(&body["ExpressionAttributeValues"][value])?;
            } else if let Some((_, value)) = part.split_once(" = ") {
                partition = Some(string_attribute(&body["ExpressionAttributeValues"][value])?);
            }
        }
        let partition = partition.ok_or_else(|| Exception::invalid("no partition key"))?;
        let after = match &body["ExclusiveStartKey"] {
            Value::Null => None,
            start => Some(item_key(start)?),
        };
        let limit =
            body["Limit"].as_u64().map_or(self.page_size, |n| self.page_size.min(n as usize));
        let mut items = Vec::new();
        let mut last = None;
        let empty = BTreeMap::new();
        let table = self.tables.get(table_name(body)?).unwrap_or(&empty);
        for (key, item) in table.range((partition.clone(), prefix.clone())..) {
            if key.0 != partition || !key.1.starts_with(&prefix) {
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
        if members.is_empty() || members.len() > MAX_MEMBERS {
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
            let key = item_key(if item.is_some() { &part["Item"] } else { &part["Key"] })?;
            let table = table_name(part)?.to_owned();
            let current = self.tables.get(&table).and_then(|t| t.get(&key));
            reasons.push(if condition_holds(part, current)? {
                "None"
            } else {
                "ConditionalCheckFailed"
            });
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

fn table_name(body: &Value) -> Result<&str, Exception> {
    body["TableName"].as_str().ok_or_else(|| Exception::invalid("no TableName"))
}

fn string_attribute(value: &Value) -> Result<String, Exception> {
    let text = value["S"].as_str().map(str::to_owned);
    text.ok_or_else(|| Exception::invalid("not a string attribute"))
}

fn item_key(value: &Value) -> Result<Key, Exception> {
    Ok((string_attribute(&value["g"])?, string_attribute(&value["k"])?))
}

/// Whether the condition of a member holds for the current item.
fn condition_holds(part: &Value, current: Option<&Item>) -> Result<bool, Exception> {
    let Some(text) = part["ConditionExpression"].as_str() else { return Ok(true) };
    let name = |text: &str| {
        let named = part["ExpressionAttributeNames"][text].as_str();
        named.unwrap_or(text).to_owned()
    };
    let exists = |name: &str| current.is_some_and(|item| item.contains_key(name));
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
    Ok(current.and_then(|item| item.get(&name(attribute))) == Some(value))
}
