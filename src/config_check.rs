//! Check of a configuration document: reads it and reports all findings at once.
//!
//! This module reads the fields; `rules` holds what must hold between them.

use serde_spanned::Spanned;

use crate::config_document::{
    AdapterDoc, Document, FamilyDoc, KeyDoc, LevelDoc, ModelDoc, PoolDoc, PoolKind, RouteDoc,
    RouteKind, Shared, StoreDoc, TeamDoc,
};
use crate::finding::{Finding, Report, has_errors};
use crate::toml_fields::{Section, given, parse};
use crate::{config_rules, keys};

const TOP: &[&str] =
    &["team", "key", "model", "adapter", "family", "pool", "route", "level", "store"];
const TEAM: &[&str] = &["name", "rate", "burst", "weight"];
const KEY: &[&str] = &["id", "team", "digest", "withdrawn"];
const MODEL: &[&str] = &["name", "context"];
const ADAPTER: &[&str] = &["name", "model", "team", "open", "versions", "default"];
const FAMILY: &[&str] = &[
    "names", "prefix", "first", "count", "digits", "model", "team", "open", "versions", "default",
];
const POOL: &[&str] = &["name", "model", "service"];
const ROUTE: &[&str] = &[
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
const LEVEL: &[&str] = &["name", "first", "between", "objective", "window"];
const STORE: &[&str] = &["loads", "concurrent"];

/// Least bytes of a part that is parsed at once.
const PART_BYTES: usize = 64 << 10;

/// Result of a check.
#[derive(Clone, Debug)]
pub struct Checked {
    /// All findings in file order.
    pub findings: Vec<Finding>,
    /// The document, unless a finding is an error.
    pub document: Option<Document>,
}

impl Checked {
    /// Whether the document may be applied.
    pub fn accepted(&self) -> bool {
        self.document.is_some()
    }
}

/// Checks the text of a configuration document that was read from `source`.
///
/// ```
/// let checked = sycamorefork::config_check::check_document("trial.toml", "[[team]]\nname = \"a\"\n");
/// assert!(!checked.accepted());
/// assert_eq!(checked.findings[0].place.line, 1);
/// ```
pub fn check_document(source: &str, text: &str) -> Checked {
    let parts = parts(text).and_then(|parts| read_parts(source, text, parts));
    let (mut report, document, has_store) = parts.unwrap_or_else(|| {
        let mut report = Report::new(source, text);
        let tree = parse(&mut report, text);
        let top = Section::top(&mut report, tree.get_ref(), 0, "the document", TOP);
        let mut document = Document::default();
        read(&mut report, &top, &mut document);
        (report, document, top.has("store"))
    });
    // A store of the wrong type has its own finding.
    if !has_store {
        let remedy = "add [store] with `loads` per second and `concurrent` loads";
        report.add(0, "E003", "the document has no `store`", remedy);
    }
    // The whole text, because a key in a comment or a wrong field is disclosed as well.
    for range in keys::find_keys(text) {
        clear_text(&mut report, range.start);
    }
    config_rules::check(&mut report, &document);
    let findings = report.into_findings();
    let document = (!has_errors(&findings)).then_some(document);
    Checked { findings, document }
}

/// Cuts a document at headers into parts that can be parsed one after the other; none
/// if it is not a plain sequence of `[[section]]` and one `[store]`.
///
/// The tree of a whole document with 11,000 `[[adapter]]` tables took 39 MB, more than
/// a node may use. A cut within a multi-line text or array leaves it unclosed, which is
/// a syntax error in that part, and the document is then parsed as a whole.
fn parts(text: &str) -> Option<Vec<usize>> {
    let (mut cuts, mut offset, mut headers, mut stores) = (vec![0], 0, 0, 0);
    for line in text.split_inclusive('\n') {
        let content = line.split('#').next().unwrap_or_default().trim();
        if content.starts_with('[') {
            let array = content.strip_prefix("[[").and_then(|c| c.strip_suffix("]]"));
            match array {
                Some(name) if TOP.contains(&name) && name != "store" => {}
                None if content == "[store]" => stores += 1,
                _ => return None,
            }
            headers += 1;
            if offset - cuts[cuts.len() - 1] >= PART_BYTES {
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
        let top = Section::top(&mut report, tree.get_ref(), cut[0], "the document", TOP);
        read(&mut report, &top, &mut document);
        has_store |= top.has("store");
    }
    Some((report, document, has_store))
}

/// Adds the sections of one part to the document.
fn read(r: &mut Report<'_>, top: &Section<'_>, d: &mut Document) {
    each(r, top, ("team", "a team", TEAM), &mut d.teams, team);
    each(r, top, ("key", "a key", KEY), &mut d.keys, key);
    each(r, top, ("model", "a model", MODEL), &mut d.models, |r, s| ModelDoc {
        name: s.text(r, "name"),
        context: s.count(r, "context"),
    });
    each(r, top, ("adapter", "an adapter", ADAPTER), &mut d.adapters, |r, s| AdapterDoc {
        name: s.text(r, "name"),
        shared: shared(r, s),
    });
    each(r, top, ("family", "a family", FAMILY), &mut d.families, family);
    each(r, top, ("pool", "a pool", POOL), &mut d.pools, pool);
    each(r, top, ("route", "a route", ROUTE), &mut d.routes, route);
    each(r, top, ("level", "a service level", LEVEL), &mut d.levels, |r, s| LevelDoc {
        name: s.text(r, "name"),
        first: s.duration(r, "first"),
        between: s.duration(r, "between"),
        objective: s.number(r, "objective"),
        window: s.duration(r, "window"),
    });
    if let Some(s) = top.section(r, "store", "the weight store", STORE) {
        d.store =
            Some(StoreDoc { loads: s.number(r, "loads"), concurrent: s.count(r, "concurrent") });
    }
}

fn each<T>(
    report: &mut Report<'_>,
    top: &Section<'_>,
    (field, what, known): (&str, &'static str, &[&str]),
    into: &mut Vec<T>,
    one: impl Fn(&mut Report<'_>, &Section<'_>) -> T,
) {
    let sections = top.sections(report, field, what, known);
    into.extend(sections.iter().map(|s| one(report, s)));
}

fn team(r: &mut Report<'_>, s: &Section<'_>) -> TeamDoc {
    TeamDoc {
        name: s.text(r, "name"),
        rate: s.count(r, "rate"),
        burst: s.count(r, "burst"),
        weight: s.opt_number(r, "weight").unwrap_or_else(|| s.absent(1.0)),
    }
}

fn key(r: &mut Report<'_>, s: &Section<'_>) -> KeyDoc {
    for field in ["key", "secret", "token", "value"] {
        if s.has(field) {
            clear_text(r, s.at(field));
        }
    }
    let digest = s.text(r, "digest");
    let form = keys::is_digest(digest.get_ref()) || keys::looks_like_key(digest.get_ref());
    if given(&digest) && !form {
        r.add(
            digest.span().start,
            "E030",
            "`digest` is not a SHA-256 digest of 64 lower-case hexadecimal digits",
            "run `sycamorefork keys new` or `sycamorefork keys digest` and copy its digest",
        );
    }
    KeyDoc {
        id: s.text(r, "id"),
        team: s.text(r, "team"),
        digest,
        withdrawn: s.flag(r, "withdrawn", false),
    }
}

fn clear_text(r: &mut Report<'_>, at: usize) {
    r.add(
        at,
        "E031",
        "a key stands here in clear text",
        "treat this key as disclosed: remove it, issue a new one with `sycamorefork keys new` \
         and store only the digest",
    );
}

fn shared(r: &mut Report<'_>, s: &Section<'_>) -> Shared {
    let team = s.opt_text(r, "team");
    let open = s.flag(r, "open", false);
    if open && let Some(team) = &team {
        r.add(
            team.span().start,
            "E040",
            "an open adapter cannot belong to a team",
            "remove `team`, or remove `open = true`",
        );
    }
    if !open && !s.has("team") {
        r.add(
            s.offset(),
            "E040",
            "the adapter belongs to no team and is not open",
            "add `team = \"...\"`, or `open = true` if every team may use it",
        );
    }
    let versions = s.texts(r, "versions");
    if versions.is_empty() {
        r.add(s.at("versions"), "E041", "no version is listed", "add `versions = [\"...\"]`");
    }
    let default = match (s.opt_text(r, "default"), versions.as_slice()) {
        (Some(default), _) => default,
        (None, [only]) => only.clone(),
        (None, _) => {
            if !versions.is_empty() {
                r.add(
                    s.at("versions"),
                    "E042",
                    "several versions, but no default",
                    "add `default = \"...\"` with the version to run when the caller names none",
                );
            }
            s.absent(String::new())
        }
    };
    let listed = versions.iter().any(|v| v.get_ref() == default.get_ref());
    if s.has("default") && !listed && !versions.is_empty() {
        let message = format!("default version `{default}` is not in `versions`");
        r.add(default.span().start, "E042", message, "add it to `versions` or name a listed one");
    }
    Shared { model: s.text(r, "model"), team, versions, default }
}

fn family(r: &mut Report<'_>, s: &Section<'_>) -> FamilyDoc {
    let names = s.texts(r, "names");
    let numbered = s.has("prefix") || s.has("count") || s.has("digits") || s.has("first");
    let none = || s.absent(0);
    let (prefix, count, digits) = match (s.has("names"), numbered) {
        (true, false) => (s.absent(String::new()), none(), none()),
        (false, true) => (s.text(r, "prefix"), s.count(r, "count"), s.count(r, "digits")),
        _ => {
            r.add(
                s.offset(),
                "E043",
                "a family has either `names` or `prefix`, `count` and `digits`",
                "keep one of the two forms",
            );
            (s.absent(String::new()), none(), none())
        }
    };
    let first = s.opt_count(r, "first").map_or(0, Spanned::into_inner);
    FamilyDoc { names, prefix, first, count, digits, shared: shared(r, s) }
}

fn pool(r: &mut Report<'_>, s: &Section<'_>) -> PoolDoc {
    let (model, service) = (s.opt_text(r, "model"), s.opt_text(r, "service"));
    let serves = match (model, service) {
        (Some(m), None) => Spanned::new(m.span(), PoolKind::Model(m.into_inner())),
        (None, Some(x)) => Spanned::new(x.span(), PoolKind::Service(x.into_inner())),
        (model, _) => {
            if model.is_some() || !(s.has("model") || s.has("service")) {
                r.add(
                    s.offset(),
                    "E050",
                    "a pool serves either a `model` or a `service`",
                    "give exactly one of the two",
                );
            }
            s.absent(PoolKind::Service(String::new()))
        }
    };
    PoolDoc { name: s.text(r, "name"), serves }
}

fn route(r: &mut Report<'_>, s: &Section<'_>) -> RouteDoc {
    let kind = s.text(r, "kind");
    let kind = match kind.get_ref().as_str() {
        "service" => RouteKind::Service,
        other => {
            if other != "engine" && s.has("kind") {
                r.add(
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
        name: s.text(r, "name"),
        kind,
        pool: s.text(r, "pool"),
        open: s.flag(r, "open", false),
        idempotent: s.flag(r, "idempotent", kind == RouteKind::Engine),
        status: s.opt_text(r, "status"),
        priority: s.opt_count(r, "priority").unwrap_or_else(|| s.absent(1)),
        level: s.opt_text(r, "level"),
        team: s.opt_text(r, "team"),
        tokens: s.opt_count(r, "tokens").unwrap_or_else(|| s.absent(1)),
        weight: s.opt_number(r, "weight").unwrap_or_else(|| s.absent(1.0)),
    }
}
