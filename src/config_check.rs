//! Parses a configuration document and reports all findings at once.
//!
//! This module checks the syntax and each field by itself; `config_rules` checks the
//! rules between entries.

use serde_spanned::Spanned;

use crate::config_document::{
    AdapterDoc, AdapterFields, Document, FamilyDoc, KeyDoc, LevelDoc, ModelDoc, PoolDoc, PoolKind,
    RouteDoc, RouteKind, TeamDoc, WeightStoreDoc,
};
use crate::finding::{Finding, Report, has_errors};
use crate::toml_fields::{Section, is_given, parse};
use crate::{config_rules, keys};

const TOP_FIELDS: &[&str] =
    &["team", "key", "model", "adapter", "family", "pool", "route", "level", "store"];
const TEAM_FIELDS: &[&str] = &["name", "rate", "burst", "weight"];
const KEY_FIELDS: &[&str] = &["id", "team", "digest", "withdrawn"];
const MODEL_FIELDS: &[&str] = &["name", "context"];
const ADAPTER_FIELDS: &[&str] = &["name", "model", "team", "open", "versions", "default"];
const FAMILY_FIELDS: &[&str] = &[
    "names", "prefix", "first", "count", "digits", "model", "team", "open", "versions", "default",
];
const POOL_FIELDS: &[&str] = &["name", "model", "service"];
const ROUTE_FIELDS: &[&str] = &[
    "name",
    "kind",
    "pool",
    "open",
    "idempotent",
    "status",
    "priority",
    "level",
    "team",
    "tokens",
    "weight",
];
const LEVEL_FIELDS: &[&str] = &["name", "first", "between", "objective", "window"];
const STORE_FIELDS: &[&str] = &["loads", "concurrent"];

/// Smallest part that is parsed at once, except for the last one.
const MIN_PART_BYTES: usize = 64 << 10;

/// Result of a document check.
#[derive(Clone, Debug)]
pub struct CheckedDocument {
    /// All findings in file order.
    pub findings: Vec<Finding>,
    /// The document; `None` if a finding is an error.
    pub document: Option<Document>,
}

impl CheckedDocument {
    /// Whether the document has no errors and may be applied.
    pub fn accepted(&self) -> bool {
        self.document.is_some()
    }
}

/// Checks the text of a configuration document. `source` names the file in findings.
///
/// ```
/// use sycamorefork::config_check::check_document;
/// let checked = check_document("trial.toml", "[[team]]\nname = \"a\"\n");
/// assert!(!checked.accepted());
/// assert_eq!(checked.findings[0].place.line, 1);
/// ```
pub fn check_document(source: &str, text: &str) -> CheckedDocument {
    let parts = split_parts(text).and_then(|parts| read_parts(source, text, parts));
    let (mut report, document, has_store) = parts.unwrap_or_else(|| {
        let mut report = Report::new(source, text);
        let tree = parse(&mut report, text);
        let top = Section::root(&mut report, tree.get_ref(), 0, "the document", TOP_FIELDS);
        let mut document = Document::default();
        read_sections(&mut report, &top, &mut document);
        (report, document, top.has("store"))
    });
    // A `store` of the wrong type is reported by `Section::section`.
    if !has_store {
        let remedy = "add [store] with `loads` per second and `concurrent` loads";
        report.add(0, "E003", "the document has no `store`", remedy);
    }
    // Searches the whole text, because a key in a comment or in an unknown field is
    // disclosed as well.
    for range in keys::find_keys(text) {
        add_clear_text_key(&mut report, range.start);
    }
    config_rules::check_rules(&mut report, &document);
    let findings = report.into_findings();
    let document = (!has_errors(&findings)).then_some(document);
    CheckedDocument { findings, document }
}

/// Splits a document at table headers into parts that can be parsed one after the other.
/// Returns the byte offsets of the part boundaries, or `None` unless the document
/// consists only of `[[section]]` tables and at most one `[store]`.
///
/// The syntax tree of a whole document with 11,000 `[[adapter]]` tables takes 39 MB,
/// more than a node may use. A split within a multi-line string or array leaves it
/// unclosed, which is a syntax error in that part; the document is then parsed as a
/// whole.
fn split_parts(text: &str) -> Option<Vec<usize>> {
    let (mut cuts, mut offset, mut headers, mut stores) = (vec![0], 0, 0, 0);
    for line in text.split_inclusive('\n') {
        let content = line.split('#').next().unwrap_or_default().trim();
        if content.starts_with('[') {
            let array = content.strip_prefix("[[").and_then(|c| c.strip_suffix("]]"));
            match array {
                Some(name) if TOP_FIELDS.contains(&name) && name != "store" => {}
                None if content == "[store]" => stores += 1,
                _ => return None,
            }
            headers += 1;
            if offset - cuts[cuts.len() - 1] >= MIN_PART_BYTES {
                cuts.push(offset);
            }
        } else if headers == 0 && !content.is_empty() {
            return None;
        }
        offset += line.len();
    }
    cuts.push(text.len());
    (stores <= 1).then_some(cuts)
}

/// Parses the parts of a document; `None` if one has a syntax error.
fn read_parts<'a>(
    source: &'a str,
    text: &'a str,
    cuts: Vec<usize>,
) -> Option<(Report<'a>, Document, bool)> {
    let mut report = Report::new(source, text);
    let (mut document, mut has_store) = (Document::default(), false);
    for cut in cuts.windows(2) {
        let part = &text[cut[0]..cut[1]];
        let mut syntax = Report::new(source, part);
        let tree = parse(&mut syntax, part);
        if !syntax.into_findings().is_empty() {
            return None;
        }
        let top = Section::root(&mut report, tree.get_ref(), cut[0], "the document", TOP_FIELDS);
        read_sections(&mut report, &top, &mut document);
        has_store |= top.has("store");
    }
    Some((report, document, has_store))
}

/// Adds the sections of a document, or of a part of it, to `document`.
fn read_sections(report: &mut Report<'_>, top: &Section<'_>, document: &mut Document) {
    read_each(report, top, ("team", "a team", TEAM_FIELDS), &mut document.teams, read_team);
    read_each(report, top, ("key", "a key", KEY_FIELDS), &mut document.keys, read_key);
    read_each(
        report,
        top,
        ("model", "a model", MODEL_FIELDS),
        &mut document.models,
        |report, s| ModelDoc { name: s.text(report, "name"), context: s.count(report, "context") },
    );
    read_each(
        report,
        top,
        ("adapter", "an adapter", ADAPTER_FIELDS),
        &mut document.adapters,
        |report, s| AdapterDoc {
            name: s.text(report, "name"),
            shared: read_adapter_fields(report, s),
        },
    );
    read_each(
        report,
        top,
        ("family", "a family", FAMILY_FIELDS),
        &mut document.families,
        read_family,
    );
    read_each(report, top, ("pool", "a pool", POOL_FIELDS), &mut document.pools, read_pool);
    read_each(report, top, ("route", "a route", ROUTE_FIELDS), &mut document.routes, read_route);
    read_each(
        report,
        top,
        ("level", "a service level", LEVEL_FIELDS),
        &mut document.levels,
        |report, s| LevelDoc {
            name: s.text(report, "name"),
            first: s.duration(report, "first"),
            between: s.duration(report, "between"),
            objective: s.number(report, "objective"),
            window: s.duration(report, "window"),
        },
    );
    if let Some(s) = top.section(report, "store", "the weight store", STORE_FIELDS) {
        document.store = Some(WeightStoreDoc {
            loads: s.number(report, "loads"),
            concurrent: s.count(report, "concurrent"),
        });
    }
}

fn read_each<T>(
    report: &mut Report<'_>,
    top: &Section<'_>,
    (field, description, known): (&str, &'static str, &[&str]),
    entries: &mut Vec<T>,
    read_one: impl Fn(&mut Report<'_>, &Section<'_>) -> T,
) {
    let sections = top.sections(report, field, description, known);
    entries.extend(sections.iter().map(|s| read_one(report, s)));
}

fn read_team(report: &mut Report<'_>, s: &Section<'_>) -> TeamDoc {
    TeamDoc {
        name: s.text(report, "name"),
        rate: s.count(report, "rate"),
        burst: s.count(report, "burst"),
        weight: s.opt_number(report, "weight").unwrap_or_else(|| s.default_value(1.0)),
    }
}

fn read_key(report: &mut Report<'_>, s: &Section<'_>) -> KeyDoc {
    for field in ["key", "secret", "token", "value"] {
        if s.has(field) {
            add_clear_text_key(report, s.offset_of(field));
        }
    }
    let digest = s.text(report, "digest");
    let valid_form = keys::is_digest(digest.get_ref()) || keys::looks_like_key(digest.get_ref());
    if is_given(&digest) && !valid_form {
        report.add(
            digest.span().start,
            "E030",
            "`digest` is not a SHA-256 digest of 64 lower-case hexadecimal digits",
            "run `sycamorefork keys new` or `sycamorefork keys digest` and copy its digest",
        );
    }
    KeyDoc {
        id: s.text(report, "id"),
        team: s.text(report, "team"),
        digest,
        withdrawn: s.flag(report, "withdrawn", false),
    }
}

fn add_clear_text_key(report: &mut Report<'_>, at: usize) {
    report.add(
        at,
        "E031",
        "a key is given in clear text",
        "treat this key as disclosed: remove it, issue a new one with `sycamorefork keys new` \
         and store only the digest",
    );
}

fn read_adapter_fields(report: &mut Report<'_>, s: &Section<'_>) -> AdapterFields {
    let team = s.opt_text(report, "team");
    let open = s.flag(report, "open", false);
    if open && let Some(team) = &team {
        report.add(
            team.span().start,
            "E040",
            "an open adapter cannot belong to a team",
            "remove `team`, or remove `open = true`",
        );
    }
    if !open && !s.has("team") {
        report.add(
            s.offset(),
            "E040",
            "the adapter belongs to no team and is not open",
            "add `team = \"...\"`, or `open = true` if every team may use it",
        );
    }
    let versions = s.text_list(report, "versions");
    if versions.is_empty() {
        report.add(
            s.offset_of("versions"),
            "E041",
            "no version is listed",
            "add `versions = [\"...\"]`",
        );
    }
    let default = match (s.opt_text(report, "default"), versions.as_slice()) {
        (Some(default), _) => default,
        (None, [only]) => only.clone(),
        (None, _) => {
            if !versions.is_empty() {
                report.add(
                    s.offset_of("versions"),
                    "E042",
                    "several versions, but no default",
                    "add `default = \"...\"` with the version to run when the caller names none",
                );
            }
            s.default_value(String::new())
        }
    };
    let listed = versions.iter().any(|v| v.get_ref() == default.get_ref());
    if s.has("default") && !listed && !versions.is_empty() {
        let message = format!("default version `{default}` is not in `versions`");
        report.add(
            default.span().start,
            "E042",
            message,
            "add it to `versions` or name a listed one",
        );
    }
    AdapterFields { model: s.text(report, "model"), team, versions, default }
}

fn read_family(report: &mut Report<'_>, s: &Section<'_>) -> FamilyDoc {
    let names = s.text_list(report, "names");
    let numbered = s.has("prefix") || s.has("count") || s.has("digits") || s.has("first");
    let none = || s.default_value(0);
    let (prefix, count, digits) = match (s.has("names"), numbered) {
        (true, false) => (s.default_value(String::new()), none(), none()),
        (false, true) => {
            (s.text(report, "prefix"), s.count(report, "count"), s.count(report, "digits"))
        }
        _ => {
            report.add(
                s.offset(),
                "E043",
                "a family has either `names` or `prefix`, `count` and `digits`",
                "keep one of the two forms",
            );
            (s.default_value(String::new()), none(), none())
        }
    };
    let first = s.opt_count(report, "first").map_or(0, Spanned::into_inner);
    FamilyDoc { names, prefix, first, count, digits, shared: read_adapter_fields(report, s) }
}

fn read_pool(report: &mut Report<'_>, s: &Section<'_>) -> PoolDoc {
    let (model, service) = (s.opt_text(report, "model"), s.opt_text(report, "service"));
    let serves = match (model, service) {
        (Some(m), None) => Spanned::new(m.span(), PoolKind::Model(m.into_inner())),
        (None, Some(x)) => Spanned::new(x.span(), PoolKind::Service(x.into_inner())),
        (model, _) => {
            if model.is_some() || !(s.has("model") || s.has("service")) {
                report.add(
                    s.offset(),
                    "E050",
                    "a pool serves either a `model` or a `service`",
                    "give exactly one of the two",
                );
            }
            s.default_value(PoolKind::Service(String::new()))
        }
    };
    PoolDoc { name: s.text(report, "name"), serves }
}

fn read_route(report: &mut Report<'_>, s: &Section<'_>) -> RouteDoc {
    let kind = s.text(report, "kind");
    let kind = match kind.get_ref().as_str() {
        "service" => RouteKind::Service,
        other => {
            if other != "engine" && s.has("kind") {
                report.add(
                    kind.span().start,
                    "E051",
                    format_args!("`{other}` is not a kind of route"),
                    "write `engine` or `service`",
                );
            }
            RouteKind::Engine
        }
    };
    RouteDoc {
        name: s.text(report, "name"),
        kind,
        pool: s.text(report, "pool"),
        open: s.flag(report, "open", false),
        idempotent: s.flag(report, "idempotent", kind == RouteKind::Engine),
        status: s.opt_text(report, "status"),
        priority: s.opt_count(report, "priority").unwrap_or_else(|| s.default_value(1)),
        level: s.opt_text(report, "level"),
        team: s.opt_text(report, "team"),
        tokens: s.opt_count(report, "tokens").unwrap_or_else(|| s.default_value(1)),
        weight: s.opt_number(report, "weight").unwrap_or_else(|| s.default_value(1.0)),
    }
}
