//! Rules that a configuration document must meet as a whole.

use std::collections::BTreeMap;

use crate::config::family_name;
use crate::config_document::{At, Document, FamilyDoc, PoolKind, RouteDoc, RouteKind, Shared};
use crate::finding::{Report, closest};
use crate::time::Ms;
use crate::toml_fields::given;

/// Highest plausible rate of one team, in tokens/s. The whole fleet peaks at 21
/// million tokens/s in the two-year plan.
const MOST_RATE: u64 = 100_000_000;
/// Highest plausible burst, in seconds of the team's rate.
const MOST_BURST: u64 = 3_600;
/// Highest team or route weight; larger ratios starve other teams.
const MOST_WEIGHT: f64 = 1_000.0;
/// Most members of one numbered family; five times the adapters of the two-year plan.
const MOST_FAMILY: u64 = 50_000;
/// Largest plausible request, in tokens.
const MOST_CONTEXT: u64 = 10_000_000;
/// Highest plausible load rate of the weight store, in loads/s.
const MOST_LOADS: f64 = 10_000.0;
/// Priority classes 0 to 7.
const MOST_PRIORITY: u64 = 7;
/// Longest name, in bytes; names become part of table keys and object names.
const NAME_BYTES: usize = 96;
/// Teams, models and versions per adapter that 16-bit indices can count.
const MOST_LISTED: usize = 65_000;

/// Adds the findings on the document to the report.
pub fn check(r: &mut Report<'_>, d: &Document) {
    unique(r, "team", d.teams.iter().map(|x| &x.name));
    unique(r, "key id", d.keys.iter().map(|x| &x.id));
    unique(r, "model", d.models.iter().map(|x| &x.name));
    unique(r, "pool", d.pools.iter().map(|x| &x.name));
    unique(r, "route", d.routes.iter().map(|x| &x.name));
    unique(r, "service level", d.levels.iter().map(|x| &x.name));
    let listed = d.families.iter().flat_map(|f| &f.names);
    unique(r, "adapter", d.adapters.iter().map(|x| &x.name).chain(listed));
    for (what, n) in [("team", d.teams.len()), ("model", d.models.len())] {
        if n > MOST_LISTED {
            r.add(0, "E014", format_args!("{n} entries [[{what}]]"), "split the environment");
        }
    }
    teams(r, d);
    keys(r, d);
    models(r, d);
    adapters(r, d);
    for p in &d.pools {
        if let PoolKind::Model(model) = p.serves.get_ref() {
            let at = p.serves.span().start;
            refer(r, "model", at, model, d.models.iter().map(|m| m.name.get_ref()));
        }
    }
    for route in &d.routes {
        check_route(r, d, route);
    }
    levels(r, d);
    if let Some(store) = &d.store {
        let loads = *store.loads.get_ref();
        if given(&store.loads) && !(loads > 0.0 && loads <= MOST_LOADS) {
            let at = store.loads.span().start;
            let message = format!("`loads` must be above 0 and at most {MOST_LOADS} loads/s");
            r.add(at, "E020", message, "write the rate that the weight store allows");
        }
        range(r, "concurrent", &store.concurrent, 1, 100_000, "loads");
    }
}

/// Whether the text may be a name.
pub fn is_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    !text.is_empty()
        && text.len() <= NAME_BYTES
        && !text.starts_with('.')
        && text.bytes().all(allowed)
}

fn name(r: &mut Report<'_>, what: &str, name: &At<String>) {
    if !name.get_ref().is_empty() && !is_name(name.get_ref()) {
        r.add(
            name.span().start,
            "E012",
            format_args!("this is not a valid {what} name"),
            format_args!(
                "use up to {NAME_BYTES} of the characters a-z, A-Z, 0-9, `-`, `_` and `.`, \
                 not starting with `.`"
            ),
        );
    }
}

fn unique<'a>(r: &mut Report<'_>, what: &str, names: impl Iterator<Item = &'a At<String>>) {
    let mut seen: BTreeMap<&str, ()> = BTreeMap::new();
    for n in names {
        name(r, what, n);
        if !n.get_ref().is_empty() && seen.insert(n.get_ref(), ()).is_some() {
            r.add(
                n.span().start,
                "E010",
                format_args!("{what} `{n}` is defined twice"),
                "remove or rename one of the two",
            );
        }
    }
}

fn refer<'a>(
    r: &mut Report<'_>,
    what: &str,
    at: usize,
    target: &str,
    known: impl Iterator<Item = &'a String>,
) {
    if target.is_empty() {
        return;
    }
    let known: Vec<&str> = known.map(String::as_str).collect();
    if !known.contains(&target) {
        let remedy = match closest(target, known) {
            Some(near) => format!("write `{near}`, or define [[{what}]] `{target}`"),
            None => format!("define [[{what}]] `{target}` or name an existing one"),
        };
        r.add(at, "E011", format_args!("no {what} is named `{target}`"), remedy);
    }
}

fn range(r: &mut Report<'_>, field: &str, value: &At<u64>, least: u64, most: u64, unit: &str) {
    if given(value) && !(least..=most).contains(value.get_ref()) {
        r.add(
            value.span().start,
            if *value.get_ref() == 0 { "E020" } else { "E021" },
            format_args!("`{field}` is {value} {unit}"),
            format_args!("write a number from {least} to {most}"),
        );
    }
}

fn weight(r: &mut Report<'_>, value: &At<f64>) {
    if given(value) && !(*value.get_ref() > 0.0 && *value.get_ref() <= MOST_WEIGHT) {
        r.add(
            value.span().start,
            "E023",
            format_args!("`weight` is {value}"),
            format_args!("write a number above 0 and at most {MOST_WEIGHT}"),
        );
    }
}

fn teams(r: &mut Report<'_>, d: &Document) {
    if d.teams.is_empty() {
        r.add(0, "E003", "the document has no team", "add [[team]]");
    }
    for t in &d.teams {
        weight(r, &t.weight);
        let (rate, burst) = (*t.rate.get_ref(), *t.burst.get_ref());
        range(r, "rate", &t.rate, 1, MOST_RATE, "tokens/s");
        let most = rate.saturating_mul(MOST_BURST).max(MOST_CONTEXT);
        range(r, "burst", &t.burst, 1, most, "tokens");
        let largest = largest_request(d, t.name.get_ref());
        if burst > 0 && burst < largest {
            r.add(
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
        if !d.keys.iter().any(|k| k.team.get_ref() == t.name.get_ref() && !k.withdrawn)
            && !d.routes.iter().any(|x| x.team.as_ref().is_some_and(|n| n == &t.name))
        {
            let message = format!("team `{}` has no working key and no open route", t.name);
            r.add(t.name.span().start, "W101", message, "issue a key or remove the team");
        }
    }
}

/// Largest request in tokens: any team may use any base model that a route serves
/// with a key; an open route counts for the team whose rate it uses.
fn largest_request(d: &Document, team: &str) -> u64 {
    let routes = d.routes.iter().filter(|x| match &x.team {
        Some(t) if x.open => t.get_ref() == team,
        _ => !x.open,
    });
    let size = |x: &RouteDoc| {
        let pool = d.pools.iter().find(|p| p.name == x.pool);
        match (x.kind, pool.map(|p| p.serves.get_ref())) {
            (RouteKind::Engine, Some(PoolKind::Model(m))) => {
                d.models.iter().find(|x| x.name.get_ref() == m).map_or(0, |m| *m.context.get_ref())
            }
            (RouteKind::Service, _) => *x.tokens.get_ref(),
            _ => 0,
        }
    };
    routes.map(size).max().unwrap_or(0)
}

fn keys(r: &mut Report<'_>, d: &Document) {
    let mut seen: BTreeMap<&str, &str> = BTreeMap::new();
    for k in &d.keys {
        refer(
            r,
            "team",
            k.team.span().start,
            k.team.get_ref(),
            d.teams.iter().map(|t| t.name.get_ref()),
        );
        let digest = k.digest.get_ref();
        if !crate::keys::is_digest(digest) {
            continue;
        }
        if let Some(other) = seen.insert(digest, k.id.get_ref()) {
            r.add(
                k.digest.span().start,
                "E032",
                format_args!("keys `{other}` and `{}` have the same digest", k.id),
                "issue a separate key for each entry",
            );
        }
    }
}

fn models(r: &mut Report<'_>, d: &Document) {
    for m in &d.models {
        range(r, "context", &m.context, 1, MOST_CONTEXT, "tokens");
        let at = m.name.span().start;
        let serves = |p: &At<String>| {
            let pool = d.pools.iter().find(|x| x.name == *p).map(|x| x.serves.get_ref());
            matches!(pool, Some(PoolKind::Model(x)) if x == m.name.get_ref())
        };
        let routes: Vec<&RouteDoc> =
            d.routes.iter().filter(|x| x.kind == RouteKind::Engine && serves(&x.pool)).collect();
        let mut keyed: Vec<&str> =
            routes.iter().filter(|x| !x.open).map(|x| x.name.get_ref().as_str()).collect();
        keyed.sort_unstable();
        if routes.is_empty() {
            let message = format!("model `{}` is served by no route", m.name);
            r.add(at, "W107", message, "add a pool and an engine route, or remove the model");
        }
        if let [first, _, ..] = keyed.as_slice() {
            let message = format!("model `{}` has several routes that need a key", m.name);
            let remedy = format!("keep one; `/v1` requests use `{first}`, the first by name");
            r.add(at, "W108", message, remedy);
        }
    }
}

fn adapters(r: &mut Report<'_>, d: &Document) {
    let shared = d.adapters.iter().map(|a| &a.shared);
    for s in shared.chain(d.families.iter().map(|f| &f.shared)) {
        check_shared(r, d, s);
    }
    let models: BTreeMap<&str, ()> =
        d.models.iter().map(|m| (m.name.get_ref().as_str(), ())).collect();
    let listed = d.adapters.iter().map(|a| &a.name).chain(d.families.iter().flat_map(|f| &f.names));
    for n in listed {
        if models.contains_key(n.get_ref().as_str()) {
            let message = format!("adapter `{n}` has the name of a base model");
            r.add(n.span().start, "E010", message, "rename the adapter");
        }
        if let Some(f) = d.families.iter().find(|f| member(f, n.get_ref())) {
            let message = format!("adapter `{n}` is also a member of family `{}`", f.prefix);
            r.add(n.span().start, "E010", message, "rename the adapter or change the family");
        }
    }
    for (i, f) in d.families.iter().enumerate().filter(|(_, f)| f.names.is_empty()) {
        if !(given(&f.digits) && given(&f.count) && given(&f.prefix)) {
            continue;
        }
        name(r, "family prefix", &f.prefix);
        range(r, "count", &f.count, 1, MOST_FAMILY, "adapters");
        range(r, "digits", &f.digits, 1, 9, "digits");
        let digits = (*f.digits.get_ref()).min(9) as u32;
        let end = f.first.saturating_add(*f.count.get_ref());
        if end > 10_u64.pow(digits) {
            let message = format!("numbers up to {} do not fit into {digits} digits", end - 1);
            r.add(f.count.span().start, "E021", message, "lower `count` or raise `digits`");
        } else if let Some(other) = d.families[..i].iter().find(|o| overlap(o, f)) {
            let message =
                format!("families `{}` and `{}` have common members", other.prefix, f.prefix);
            r.add(f.prefix.span().start, "E010", message, "change a prefix or a range of numbers");
        }
    }
}

fn member(f: &FamilyDoc, name: &str) -> bool {
    let rest = name.strip_prefix(f.prefix.get_ref().as_str());
    f.names.is_empty()
        && rest.is_some_and(|x| {
            x.len() as u64 == *f.digits.get_ref()
                && x.bytes().all(|b| b.is_ascii_digit())
                && x.parse().is_ok_and(|n: u64| n >= f.first && n - f.first < *f.count.get_ref())
        })
}

/// Whether two numbered families share a member: some member of the family with
/// the longer prefix, which covers a contiguous range of the other, is in it.
fn overlap(a: &FamilyDoc, b: &FamilyDoc) -> bool {
    if !(a.names.is_empty() && b.names.is_empty()) {
        return false;
    }
    let (short, long) =
        if a.prefix.get_ref().len() <= b.prefix.get_ref().len() { (a, b) } else { (b, a) };
    let numbers = long.first..long.first.saturating_add((*long.count.get_ref()).min(MOST_FAMILY));
    let digits = (*long.digits.get_ref()).min(9);
    long.prefix.get_ref().starts_with(short.prefix.get_ref().as_str())
        && numbers
            .into_iter()
            .any(|n| member(short, &family_name(long.prefix.get_ref(), digits, n)))
}

fn check_shared(r: &mut Report<'_>, d: &Document, s: &Shared) {
    refer(
        r,
        "model",
        s.model.span().start,
        s.model.get_ref(),
        d.models.iter().map(|m| m.name.get_ref()),
    );
    if let Some(t) = &s.team {
        refer(r, "team", t.span().start, t.get_ref(), d.teams.iter().map(|t| t.name.get_ref()));
    }
    if s.versions.len() > MOST_LISTED {
        r.add(s.default.span().start, "E014", "too many versions", "remove old versions");
    }
    unique(r, "version", s.versions.iter());
}

fn check_route(r: &mut Report<'_>, d: &Document, x: &RouteDoc) {
    let at = x.name.span().start;
    refer(
        r,
        "pool",
        x.pool.span().start,
        x.pool.get_ref(),
        d.pools.iter().map(|p| p.name.get_ref()),
    );
    if let Some(l) = &x.level {
        refer(r, "level", l.span().start, l.get_ref(), d.levels.iter().map(|l| l.name.get_ref()));
    }
    if let Some(t) = &x.team {
        refer(r, "team", t.span().start, t.get_ref(), d.teams.iter().map(|t| t.name.get_ref()));
    }
    match (x.open, &x.team) {
        (true, None) => {
            let message = format!("open route `{}` names no team", x.name);
            r.add(at, "E052", message, "add `team = \"...\"`, whose rate the route uses");
        }
        (false, Some(t)) => {
            let message = format!("route `{}` is not open, so `team` has no effect", x.name);
            r.add(t.span().start, "W103", message, "remove `team`, or add `open = true`");
        }
        _ => {}
    }
    let serves = d.pools.iter().find(|p| p.name == x.pool).map(|p| p.serves.get_ref());
    match (x.kind, serves) {
        (RouteKind::Engine, Some(PoolKind::Service(s))) if !s.is_empty() => {
            let message = format!("engine route `{}` uses a pool of service `{s}`", x.name);
            r.add(
                x.pool.span().start,
                "E053",
                message,
                "use a pool of a model or `kind = \"service\"`",
            );
        }
        (RouteKind::Service, Some(PoolKind::Model(m))) => {
            let message = format!("service route `{}` uses a pool of model `{m}`", x.name);
            r.add(
                x.pool.span().start,
                "E053",
                message,
                "use a pool of a service or `kind = \"engine\"`",
            );
        }
        _ => {}
    }
    range_priority(r, x);
    weight(r, &x.weight);
    if x.kind == RouteKind::Service {
        range(r, "tokens", &x.tokens, 1, MOST_CONTEXT, "tokens");
    }
    match (x.idempotent, &x.status) {
        (false, None) => r.add(
            at,
            "W104",
            format_args!(
                "route `{}` is not idempotent and has no status query, so a call whose outcome is \
                 unknown stays unknown",
                x.name
            ),
            "add `status = \"/path\"` if the service can tell what became of an attempt",
        ),
        (true, Some(s)) => r.add(
            s.span().start,
            "W105",
            format_args!("route `{}` is idempotent, so its status query is never used", x.name),
            "remove `status`, or add `idempotent = false`",
        ),
        (_, Some(s)) if !s.get_ref().starts_with('/') || s.get_ref().contains(['{', '?']) => r.add(
            s.span().start,
            "E054",
            "`status` must be a plain path",
            "write for example `status = \"/attempts\"`; the attempt is appended",
        ),
        _ => {}
    }
}

fn range_priority(r: &mut Report<'_>, x: &RouteDoc) {
    if *x.priority.get_ref() > MOST_PRIORITY {
        r.add(
            x.priority.span().start,
            "E055",
            format_args!("`priority` is {}", x.priority),
            format_args!("write a class from 0 (most urgent) to {MOST_PRIORITY}"),
        );
    }
}

fn levels(r: &mut Report<'_>, d: &Document) {
    for l in &d.levels {
        for (field, value, most) in [
            ("first", &l.first, Ms::secs(600)),
            ("between", &l.between, Ms::secs(60)),
            ("window", &l.window, Ms::secs(366 * 86_400)),
        ] {
            if given(value) && !(Ms(1)..=most).contains(value.get_ref()) {
                let message = format!("`{field}` is {value}");
                let remedy = format!("write a time from 1 ms to {most}");
                r.add(value.span().start, "E060", message, remedy);
            }
        }
        let objective = *l.objective.get_ref();
        if given(&l.objective) && !(objective > 0.0 && objective < 1.0) {
            r.add(
                l.objective.span().start,
                "E061",
                format_args!("`objective` is {objective}"),
                "write a share above 0 and below 1, for example 0.99",
            );
        }
        if !d.routes.iter().any(|x| x.level.as_ref().is_some_and(|n| n == &l.name)) {
            let message = format!("service level `{}` is used by no route", l.name);
            r.add(l.name.span().start, "W106", message, "remove it or name it in a route");
        }
    }
}
