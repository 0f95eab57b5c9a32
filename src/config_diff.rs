//! Difference of two documents by section, entry and field.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;
use serde_json::Value;

use crate::config_document::Document;

/// Most list items that one change names.
const LISTED: usize = 5;

/// One difference.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Change {
    /// Section, for example `team`.
    pub section: String,
    /// Entry within the section.
    pub entry: String,
    /// `added`, `removed` or the field that changed.
    pub what: String,
    /// Previous value.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub old: String,
    /// New value.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub new: String,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { section, entry, what, old, new } = self;
        match what.as_str() {
            "added" | "removed" => write!(f, "{section} {entry}: {what}"),
            _ => write!(f, "{section} {entry}: {what} {old} -> {new}"),
        }
    }
}

type Entries = BTreeMap<String, serde_json::Map<String, Value>>;

/// The changes that lead from `old` to `new`, by section and entry.
pub fn diff(old: &Document, new: &Document) -> Vec<Change> {
    let (old, new) = (sections(old), sections(new));
    let empty = Entries::new();
    let mut out = Vec::new();
    for section in new.keys().chain(old.keys().filter(|s| !new.contains_key(*s))) {
        let (a, b) = (old.get(section).unwrap_or(&empty), new.get(section).unwrap_or(&empty));
        let names = a.keys().chain(b.keys()).collect::<std::collections::BTreeSet<_>>();
        for name in names {
            let mut add = |what: &str, old: String, new: String| {
                let (section, entry) = (section.clone(), name.clone());
                out.push(Change { section, entry, what: what.to_owned(), old, new });
            };
            match (a.get(name), b.get(name)) {
                (None, _) => add("added", String::new(), String::new()),
                (_, None) => add("removed", String::new(), String::new()),
                (Some(x), Some(y)) => {
                    for (field, v) in y.iter().filter(|(field, v)| x.get(*field) != Some(v)) {
                        let before = x.get(field).unwrap_or(&Value::Null);
                        let (old, new) = values(before, v);
                        add(field, old, new);
                    }
                }
            }
        }
    }
    out
}

/// Entries by section and name. Sections have the names that the file uses.
fn sections(document: &Document) -> BTreeMap<String, Entries> {
    let value = serde_json::to_value(document).expect("documents are plain data");
    let mut out = BTreeMap::new();
    for (section, content) in value.as_object().into_iter().flatten() {
        let mut entries = Entries::new();
        match content {
            Value::Array(list) => {
                for item in list.iter().filter_map(Value::as_object) {
                    let mut name = entry_name(item);
                    while entries.contains_key(&name) {
                        name.push('\'');
                    }
                    entries.insert(name, item.clone());
                }
            }
            Value::Object(only) => {
                entries.insert("limits".to_owned(), only.clone());
            }
            _ => {}
        }
        let section = match section.as_str() {
            "families" => "family",
            other => other.strip_suffix('s').unwrap_or(other),
        };
        out.insert(section.to_owned(), entries);
    }
    out
}

fn entry_name(item: &serde_json::Map<String, Value>) -> String {
    let text = |field: &str| item.get(field).and_then(Value::as_str).filter(|t| !t.is_empty());
    let named = text("name").or_else(|| text("id")).or_else(|| text("prefix"));
    named.map_or_else(
        || format!("{}/{}", text("model").unwrap_or("-"), text("team").unwrap_or("open")),
        str::to_owned,
    )
}

fn values(old: &Value, new: &Value) -> (String, String) {
    match (old, new) {
        (Value::Array(a), Value::Array(b)) => {
            (only(a, b).unwrap_or_default(), only(b, a).unwrap_or_default())
        }
        _ => (short(old), short(new)),
    }
}

/// Items of `a` that are not in `b`.
fn only(a: &[Value], b: &[Value]) -> Option<String> {
    let other: std::collections::HashSet<&str> = b.iter().filter_map(Value::as_str).collect();
    let own: Vec<&str> =
        a.iter().filter_map(Value::as_str).filter(|x| !other.contains(x)).collect();
    let more = own.len().saturating_sub(LISTED);
    let mut text = own.iter().take(LISTED).copied().collect::<Vec<_>>().join(", ");
    if more > 0 {
        text.push_str(&format!(" and {more} more"));
    }
    Some(format!("[{text}]"))
}

fn short(value: &Value) -> String {
    match value {
        Value::Null => "none".to_owned(),
        Value::String(s) => s.clone(),
        other => other.to_string(),
    }
}
