//! Storage of refusal records: writes batches to the object store and queries them.

use std::fmt::Write as _;

use serde::Serialize;

use crate::error::{Error, Result};
use crate::refusal_record::{
    Batch, GapRecord, RecordLine, RefusalRecord, WriteOutcome, format_day, format_instant,
};
use crate::storage::Objects;

/// Maximum period of a query; each day costs one list request per node.
const MAX_QUERY_DAYS: u64 = 400;
const DAY_MS: u64 = 86_400_000;

/// Writes a batch. If the object exists, it is read to tell whether an earlier write of
/// this batch succeeded although its answer was lost.
pub async fn write_batch<O: Objects>(objects: &O, batch: &Batch) -> WriteOutcome {
    match objects.put_new(&batch.name, batch.body.clone()).await {
        Ok(true) => WriteOutcome::Written,
        Ok(false) => match objects.get(&batch.name).await {
            Ok(Some(body)) if body == batch.body => WriteOutcome::Written,
            Ok(Some(_)) => WriteOutcome::NameTaken,
            _ => WriteOutcome::Failed,
        },
        Err(_) => WriteOutcome::Failed,
    }
}

/// Selects refusal records; `None` matches all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Filter {
    /// Name of the team.
    pub team: Option<String>,
    /// Code of the reason.
    pub reason: Option<String>,
    /// Identifier of the record or of the request.
    pub id: Option<String>,
    /// Identifier of the key.
    pub key: Option<String>,
    /// Earliest time, in milliseconds since the Unix epoch.
    pub from: Option<u64>,
    /// End of the period, exclusive, in milliseconds since the Unix epoch.
    pub to: Option<u64>,
}

impl Filter {
    fn matches(&self, r: &RefusalRecord) -> bool {
        let same = |want: &Option<String>, have: &str| want.as_deref().is_none_or(|w| w == have);
        same(&self.team, r.team.as_ref().map_or("", |t| t.as_str()))
            && same(&self.key, r.key.as_ref().map_or("", |k| k.as_str()))
            && same(&self.reason, &r.reason)
            && self.id.as_deref().is_none_or(|id| id == r.id || id == r.request)
            && self.from.is_none_or(|t| r.at >= t)
            && self.to.is_none_or(|t| r.at < t)
    }

    fn overlaps(&self, g: &GapRecord) -> bool {
        self.from.is_none_or(|t| g.to >= t) && self.to.is_none_or(|t| g.from < t)
    }

    /// Name prefixes of the objects that can contain matching records.
    fn prefixes(&self) -> Result<Vec<String>> {
        if let Some((day, rest)) = self.id.as_deref().and_then(|id| id.split_once('.'))
            && let Some((node, _)) = rest.rsplit_once('.')
        {
            return Ok(vec![format!("refusals/{day}/{node}/")]);
        }
        let (Some(from), Some(to)) = (self.from, self.to) else {
            return Ok(vec!["refusals/".to_owned()]);
        };
        let (first, last) = (from / DAY_MS, to.max(1).saturating_sub(1) / DAY_MS);
        if last.saturating_sub(first) > MAX_QUERY_DAYS {
            return Err(Error::input("time", format!("at most {MAX_QUERY_DAYS} days can be read")));
        }
        Ok((first..=last).map(|d| format!("refusals/{}/", format_day(d * DAY_MS))).collect())
    }
}

/// Result of a query.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct QueryResult {
    /// Matching refusals, ordered by time and id.
    pub refusals: Vec<RefusalRecord>,
    /// Gaps in the period; matching refusals may be among the lost records.
    pub gaps: Vec<GapRecord>,
    /// Lines that could not be parsed.
    pub unreadable: u64,
}

/// Reads the refusals that match a filter.
///
/// # Errors
/// Fails if the object store fails or the period is too long.
pub async fn query<O: Objects>(objects: &O, filter: &Filter) -> Result<QueryResult> {
    let mut found = QueryResult::default();
    for prefix in filter.prefixes()? {
        for name in objects.list(&prefix).await? {
            let Some(body) = objects.get(&name).await? else { continue };
            for line in body.split(|b| *b == b'\n').filter(|l| !l.is_empty()) {
                match serde_json::from_slice(line) {
                    Ok(RecordLine::Refusal(r)) if filter.matches(&r) => found.refusals.push(r),
                    Ok(RecordLine::Gap(g)) if filter.overlaps(&g) => found.gaps.push(g),
                    Ok(_) => {}
                    Err(_) => found.unreadable += 1,
                }
            }
        }
    }
    found.refusals.sort_by(|a, b| (a.at, &a.id).cmp(&(b.at, &b.id)));
    found.gaps.sort_by_key(|g| (g.from, g.first));
    Ok(found)
}

impl QueryResult {
    /// Formats the result with one line per refusal.
    pub fn text(&self) -> String {
        let mut out = String::new();
        for r in &self.refusals {
            let team = r.team.as_ref().map_or("-", |t| t.as_str());
            let key = r.key.as_ref().map_or("-", |k| k.as_str());
            let (at, ran) = (format_instant(r.at), r.ran.as_str());
            // Targets come from callers and are escaped, so that they cannot control the terminal.
            let target = r.target.escape_debug();
            let _ = write!(out, "{at} {} team={team} key={key} target={target}", r.id);
            let _ = write!(out, " reason={} ran={ran} request={}", r.reason, r.request);
            for (name, value) in &r.facts {
                let _ = write!(out, " {name}={value}");
            }
            out.push('\n');
        }
        for g in &self.gaps {
            let (from, to) = (format_instant(g.from), format_instant(g.to));
            let _ = writeln!(out, "{from} to {to}: {} records lost {:?}", g.lost, g.reasons);
        }
        if self.unreadable > 0 {
            let _ = writeln!(out, "{} lines could not be read", self.unreadable);
        }
        out
    }
}
