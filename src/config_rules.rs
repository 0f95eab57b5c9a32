//! Rules between the entries of a configuration document, and ranges of its values.

use std::collections::BTreeMap;

use crate::config::family_name;
use crate::config_document::{
    AdapterFields, Document, FamilyDoc, Located, PoolKind, RouteDoc, RouteKind,
};
use crate::finding::{Report, closest_match};
use crate::time::Ms;
use crate::toml_fields::is_given;

/// Highest plausible rate of one team. The whole fleet peaks at 21 million tokens/s in
/// the two-year plan.
const MAX_RATE_TOKENS_PER_S: u64 = 100_000_000;
/// Largest plausible burst of one team, as a multiple of its rate per second.
const MAX_BURST_SECONDS: u64 = 3_600;
/// Highest weight of a team or route; larger ratios would starve other teams.
const MAX_WEIGHT: f64 = 1_000.0;
/// Most members of one numbered family: five times the adapters of the two-year plan.
const MAX_FAMILY_MEMBERS: u64 = 50_000;
/// Largest plausible request.
const MAX_REQUEST_TOKENS: u64 = 10_000_000;
/// Highest plausible load rate of the weight store.
const MAX_LOADS_PER_S: f64 = 10_000.0;
/// Least urgent priority class; classes are 0 to 7.
const MAX_PRIORITY: u64 = 7;
/// Longest name; names become part of table keys and object names.
const MAX_NAME_BYTES: usize = 96;
/// Most teams, models, and versions per adapter; they are indexed by 16-bit integers.
const MAX_INDEXED_ENTRIES: usize = 65_000;

/// Checks all rules and adds the findings to the report.
pub fn check_rules(report: &mut Report<'_>, document: &Document) {
    check_unique(report, "team", document.teams.iter().map(|x| &x.name));
    check_unique(report, "key id", document.keys.iter().map(|x| &x.id));
    check_unique(report, "model", document.models.iter().map(|x| &x.name));
    check_unique(report, "pool", document.pools.iter().map(|x| &x.name));
    check_unique(report, "route", document.routes.iter().map(|x| &x.name));
    check_unique(report, "service level", document.levels.iter().map(|x| &x.name));
    let listed = document.families.iter().flat_map(|f| &f.names);
    check_unique(report, "adapter", document.adapters.iter().map(|x| &x.name).chain(listed));
    for (entry_kind, n) in [("team", document.teams.len()), ("model", document.models.len())] {
        if n > MAX_INDEXED_ENTRIES {
            report.add(
                0,
                "E014",
                format_args!("{n} entries [[{entry_kind}]]"),
                "split the environment",
            );
        }
    }
    check_teams(report, document);
    check_keys(report, document);
    check_models(report, document);
    check_adapters(report, document);
    for p in &document.pools {
        if let PoolKind::Model(model) = p.serves.get_ref() {
            let at = p.serves.span().start;
            check_reference(
                report,
                "model",
                at,
                model,
                document.models.iter().map(|m| m.name.get_ref()),
            );
        }
    }
    for route in &document.routes {
        check_route(report, document, route);
    }
    check_levels(report, document);
    if let Some(store) = &document.store {
        let loads = *store.loads.get_ref();
        if is_given(&store.loads) && !(loads > 0.0 && loads <= MAX_LOADS_PER_S) {
            let at = store.loads.span().start;
            let message = format!("`loads` must be above 0 and at most {MAX_LOADS_PER_S} loads/s");
            report.add(at, "E020", message, "write the rate that the weight store allows");
        }
        check_range(report, "concurrent", &store.concurrent, 1, 100_000, "loads");
    }
}

/// Whether the text is a valid name.
pub fn is_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    !text.is_empty()
        && text.len() <= MAX_NAME_BYTES
        && !text.starts_with('.')
        && text.bytes().all(allowed)
}

fn check_name(report: &mut Report<'_>, entry_kind: &str, name: &Located<String>) {
    if !name.get_ref().is_empty() && !is_name(name.get_ref()) {
        report.add(
            name.span().start,
            "E012",
            format_args!("this is not a valid {entry_kind} name"),
            format_args!(
                "use up to {MAX_NAME_BYTES} of the characters a-z, A-Z, 0-9, `-`, `_` and `.`, \
                 not starting with `.`"
            ),
        );
    }
}

fn check_unique<'a>(
    report: &mut Report<'_>,
    entry_kind: &str,
    names: impl Iterator<Item = &'a Located<String>>,
) {
    let mut seen: BTreeMap<&str, ()> = BTreeMap::new();
    for n in names {
        check_name(report, entry_kind, n);
        if !n.get_ref().is_empty() && seen.insert(n.get_ref(), ()).is_some() {
            report.add(
                n.span().start,
                "E010",
                format_args!("{entry_kind} `{n}` is defined twice"),
                "remove or rename one of the two",
            );
        }
    }
}

/// Reports a reference to a name that no entry in `known` has.
fn check_reference<'a>(
    report: &mut Report<'_>,
    entry_kind: &str,
    at: usize,
    target: &str,
    known: impl Iterator<Item = &'a String>,
) {
    if target.is_empty() {
        return;
    }
    let known: Vec<&str> = known.map(String::as_str).collect();
    if !known.contains(&target) {
        let remedy = match closest_match(target, known) {
            Some(near) => format!("write `{near}`, or define [[{entry_kind}]] `{target}`"),
            None => format!("define [[{entry_kind}]] `{target}` or name an existing one"),
        };
        report.add(at, "E011", format_args!("no {entry_kind} is named `{target}`"), remedy);
    }
}

fn check_range(
    report: &mut Report<'_>,
    field: &str,
    value: &Located<u64>,
    min: u64,
    max: u64,
    unit: &str,
) {
    if is_given(value) && !(min..=max).contains(value.get_ref()) {
        report.add(
            value.span().start,
            if *value.get_ref() == 0 { "E020" } else { "E021" },
            format_args!("`{field}` is {value} {unit}"),
            format_args!("write a number from {min} to {max}"),
        );
    }
}

fn check_weight(report: &mut Report<'_>, value: &Located<f64>) {
    if is_given(value) && !(*value.get_ref() > 0.0 && *value.get_ref() <= MAX_WEIGHT) {
        report.add(
            value.span().start,
            "E023",
            format_args!("`weight` is {value}"),
            format_args!("write a number above 0 and at most {MAX_WEIGHT}"),
        );
    }
}

fn check_teams(report: &mut Report<'_>, document: &Document) {
    if document.teams.is_empty() {
        report.add(0, "E003", "the document has no team", "add [[team]]");
    }
    for t in &document.teams {
        check_weight(report, &t.weight);
        let (rate, burst) = (*t.rate.get_ref(), *t.burst.get_ref());
        check_range(report, "rate", &t.rate, 1, MAX_RATE_TOKENS_PER_S, "tokens/s");
        let max = rate.saturating_mul(MAX_BURST_SECONDS).max(MAX_REQUEST_TOKENS);
        check_range(report, "burst", &t.burst, 1, max, "tokens");
        let largest = largest_request(document, t.name.get_ref());
        if burst > 0 && burst < largest {
            report.add(
                t.burst.span().start,
                "E022",
                format_args!(
                    "`burst` is {burst} tokens, but the largest request that team `{}` may send \
                     has {largest}",
                    t.name
                ),
                format_args!("raise `burst` to at least {largest}, or lower the limit"),
            );
        }
        if !document.keys.iter().any(|k| k.team.get_ref() == t.name.get_ref() && !k.withdrawn)
            && !document.routes.iter().any(|x| x.team.as_ref().is_some_and(|n| n == &t.name))
        {
            let message = format!("team `{}` has no working key and no open route", t.name);
            report.add(t.name.span().start, "W101", message, "issue a key or remove the team");
        }
    }
}

/// Largest request that a team may send, in tokens. Any team may use any base model on a
/// route that needs a key; an open route counts for the team whose rate it uses.
fn largest_request(document: &Document, team: &str) -> u64 {
    let routes = document.routes.iter().filter(|x| match &x.team {
        Some(t) if x.open => t.get_ref() == team,
        _ => !x.open,
    });
    let size = |route: &RouteDoc| {
        let pool = document.pools.iter().find(|p| p.name == route.pool);
        match (route.kind, pool.map(|p| p.serves.get_ref())) {
            (RouteKind::Engine, Some(PoolKind::Model(m))) => document
                .models
                .iter()
                .find(|x| x.name.get_ref() == m)
                .map_or(0, |m| *m.context.get_ref()),
            (RouteKind::Service, _) => *route.tokens.get_ref(),
            _ => 0,
        }
    };
    routes.map(size).max().unwrap_or(0)
}

fn check_keys(report: &mut Report<'_>, document: &Document) {
    let mut seen: BTreeMap<&str, &str> = BTreeMap::new();
    for k in &document.keys {
        check_reference(
            report,
            "team",
            k.team.span().start,
            k.team.get_ref(),
            document.teams.iter().map(|t| t.name.get_ref()),
        );
        let digest = k.digest.get_ref();
        if !crate::keys::is_digest(digest) {
            continue;
        }
        if let Some(other) = seen.insert(digest, k.id.get_ref()) {
            report.add(
                k.digest.span().start,
                "E032",
                format_args!("keys `{other}` and `{}` have the same digest", k.id),
                "issue a separate key for each entry",
            );
        }
    }
}

fn check_models(report: &mut Report<'_>, document: &Document) {
    for m in &document.models {
        check_range(report, "context", &m.context, 1, MAX_REQUEST_TOKENS, "tokens");
        let at = m.name.span().start;
        let serves = |p: &Located<String>| {
            let pool = document.pools.iter().find(|x| x.name == *p).map(|x| x.serves.get_ref());
            matches!(pool, Some(PoolKind::Model(x)) if x == m.name.get_ref())
        };
        let routes: Vec<&RouteDoc> = document
            .routes
            .iter()
            .filter(|x| x.kind == RouteKind::Engine && serves(&x.pool))
            .collect();
        let mut keyed: Vec<&str> =
            routes.iter().filter(|x| !x.open).map(|x| x.name.get_ref().as_str()).collect();
        keyed.sort_unstable();
        if routes.is_empty() {
            let message = format!("model `{}` is served by no route", m.name);
            report.add(at, "W107", message, "add a pool and an engine route, or remove the model");
        }
        if let [first, _, ..] = keyed.as_slice() {
            let message = format!("model `{}` has several routes that need a key", m.name);
            let remedy = format!("keep one; `/v1` requests use `{first}`, the first by name");
            report.add(at, "W108", message, remedy);
        }
    }
}

fn check_adapters(report: &mut Report<'_>, document: &Document) {
    let shared = document.adapters.iter().map(|a| &a.shared);
    for s in shared.chain(document.families.iter().map(|f| &f.shared)) {
        check_adapter_fields(report, document, s);
    }
    let models: BTreeMap<&str, ()> =
        document.models.iter().map(|m| (m.name.get_ref().as_str(), ())).collect();
    let listed = document
        .adapters
        .iter()
        .map(|a| &a.name)
        .chain(document.families.iter().flat_map(|f| &f.names));
    for n in listed {
        if models.contains_key(n.get_ref().as_str()) {
            let message = format!("adapter `{n}` has the name of a base model");
            report.add(n.span().start, "E010", message, "rename the adapter");
        }
        if let Some(f) = document.families.iter().find(|f| is_member(f, n.get_ref())) {
            let message = format!("adapter `{n}` is also a member of family `{}`", f.prefix);
            report.add(n.span().start, "E010", message, "rename the adapter or change the family");
        }
    }
    for (i, f) in document.families.iter().enumerate().filter(|(_, f)| f.names.is_empty()) {
        if !(is_given(&f.digits) && is_given(&f.count) && is_given(&f.prefix)) {
            continue;
        }
        check_name(report, "family prefix", &f.prefix);
        check_range(report, "count", &f.count, 1, MAX_FAMILY_MEMBERS, "adapters");
        check_range(report, "digits", &f.digits, 1, 9, "digits");
        let digits = (*f.digits.get_ref()).min(9) as u32;
        let end = f.first.saturating_add(*f.count.get_ref());
        if end > 10_u64.pow(digits) {
            let message = format!("numbers up to {} do not fit into {digits} digits", end - 1);
            report.add(f.count.span().start, "E021", message, "lower `count` or raise `digits`");
        } else if let Some(other) = document.families[..i].iter().find(|o| share_member(o, f)) {
            let message =
                format!("families `{}` and `{}` have common members", other.prefix, f.prefix);
            report.add(
                f.prefix.span().start,
                "E010",
                message,
                "change a prefix or a range of numbers",
            );
        }
    }
}

fn is_member(f: &FamilyDoc, name: &str) -> bool {
    let rest = name.strip_prefix(f.prefix.get_ref().as_str());
    f.names.is_empty()
        && rest.is_some_and(|x| {
            x.len() as u64 == *f.digits.get_ref()
                && x.bytes().all(|b| b.is_ascii_digit())
                && x.parse().is_ok_and(|n: u64| n >= f.first && n - f.first < *f.count.get_ref())
        })
}

/// Whether two numbered families share a member. The members of the family with the
/// longer prefix are a contiguous range of the names under the shorter prefix, so it is
/// enough to look up each of them in the other family.
fn share_member(a: &FamilyDoc, b: &FamilyDoc) -> bool {
    if !(a.names.is_empty() && b.names.is_empty()) {
        return false;
    }
    let (short, long) =
        if a.prefix.get_ref().len() <= b.prefix.get_ref().len() { (a, b) } else { (b, a) };
    let numbers =
        long.first..long.first.saturating_add((*long.count.get_ref()).min(MAX_FAMILY_MEMBERS));
    let digits = (*long.digits.get_ref()).min(9);
    long.prefix.get_ref().starts_with(short.prefix.get_ref().as_str())
        && numbers
            .into_iter()
            .any(|n| is_member(short, &family_name(long.prefix.get_ref(), digits, n)))
}

fn check_adapter_fields(report: &mut Report<'_>, document: &Document, s: &AdapterFields) {
    check_reference(
        report,
        "model",
        s.model.span().start,
        s.model.get_ref(),
        document.models.iter().map(|m| m.name.get_ref()),
    );
    if let Some(t) = &s.team {
        check_reference(
            report,
            "team",
            t.span().start,
            t.get_ref(),
            document.teams.iter().map(|t| t.name.get_ref()),
        );
    }
    if s.versions.len() > MAX_INDEXED_ENTRIES {
        report.add(s.default.span().start, "E014", "too many versions", "remove old versions");
    }
    check_unique(report, "version", s.versions.iter());
}

fn check_route(report: &mut Report<'_>, document: &Document, route: &RouteDoc) {
    let at = route.name.span().start;
    check_reference(
        report,
        "pool",
        route.pool.span().start,
        route.pool.get_ref(),
        document.pools.iter().map(|p| p.name.get_ref()),
    );
    if let Some(l) = &route.level {
        check_reference(
            report,
            "level",
            l.span().start,
            l.get_ref(),
            document.levels.iter().map(|l| l.name.get_ref()),
        );
    }
    if let Some(t) = &route.team {
        check_reference(
            report,
            "team",
            t.span().start,
            t.get_ref(),
            document.teams.iter().map(|t| t.name.get_ref()),
        );
    }
    match (route.open, &route.team) {
        (true, None) => {
            let message = format!("open route `{}` names no team", route.name);
            report.add(at, "E052", message, "add `team = \"...\"`, whose rate the route uses");
        }
        (false, Some(t)) => {
            let message = format!("route `{}` is not open, so `team` has no effect", route.name);
            report.add(t.span().start, "W103", message, "remove `team`, or add `open = true`");
        }
        _ => {}
    }
    let serves = document.pools.iter().find(|p| p.name == route.pool).map(|p| p.serves.get_ref());
    match (route.kind, serves) {
        (RouteKind::Engine, Some(PoolKind::Service(s))) if !s.is_empty() => {
            let message = format!("engine route `{}` uses a pool of service `{s}`", route.name);
            report.add(
                route.pool.span().start,
                "E053",
                message,
                "use a pool of a model or `kind = \"service\"`",
            );
        }
        (RouteKind::Service, Some(PoolKind::Model(m))) => {
            let message = format!("service route `{}` uses a pool of model `{m}`", route.name);
            report.add(
                route.pool.span().start,
                "E053",
                message,
                "use a pool of a service or `kind = \"engine\"`",
            );
        }
        _ => {}
    }
    check_priority(report, route);
    check_weight(report, &route.weight);
    if route.kind == RouteKind::Service {
        check_range(report, "tokens", &route.tokens, 1, MAX_REQUEST_TOKENS, "tokens");
    }
    match (route.idempotent, &route.status) {
        (false, None) => report.add(
            at,
            "W104",
            format_args!(
                "route `{}` is not idempotent and has no status query, so the outcome of a \
                 call that gets no answer stays unknown",
                route.name
            ),
            "add `status = \"/path\"` if the service can report the outcome of an attempt",
        ),
        (true, Some(s)) => report.add(
            s.span().start,
            "W105",
            format_args!("route `{}` is idempotent, so its status query is never used", route.name),
            "remove `status`, or add `idempotent = false`",
        ),
        (_, Some(s)) if !s.get_ref().starts_with('/') || s.get_ref().contains(['{', '?']) => report
            .add(
                s.span().start,
                "E054",
                "`status` must be a plain path",
                "write for example `status = \"/attempts\"`; the attempt is appended",
            ),
        _ => {}
    }
}

fn check_priority(report: &mut Report<'_>, route: &RouteDoc) {
    if *route.priority.get_ref() > MAX_PRIORITY {
        report.add(
            route.priority.span().start,
            "E055",
            format_args!("`priority` is {}", route.priority),
            format_args!("write a class from 0 (most urgent) to {MAX_PRIORITY}"),
        );
    }
}

fn check_levels(report: &mut Report<'_>, document: &Document) {
    for l in &document.levels {
        for (field, value, max) in [
            ("first", &l.first, Ms::secs(600)),
            ("between", &l.between, Ms::secs(60)),
            ("window", &l.window, Ms::secs(366 * 86_400)),
        ] {
            if is_given(value) && !(Ms(1)..=max).contains(value.get_ref()) {
                let message = format!("`{field}` is {value}");
                let remedy = format!("write a time from 1 ms to {max}");
                report.add(value.span().start, "E060", message, remedy);
            }
        }
        let objective = *l.objective.get_ref();
        if is_given(&l.objective) && !(objective > 0.0 && objective < 1.0) {
            report.add(
                l.objective.span().start,
                "E061",
                format_args!("`objective` is {objective}"),
                "write a share above 0 and below 1, for example 0.99",
            );
        }
        if !document.routes.iter().any(|x| x.level.as_ref().is_some_and(|n| n == &l.name)) {
            let message = format!("service level `{}` is used by no route", l.name);
            report.add(l.name.span().start, "W106", message, "remove it or name it in a route");
        }
    }
}
