//! Calls to the platform's store, with time limits and delays after failures.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use tokio::time::{Instant, sleep};

use crate::attempt::Backoff;
use crate::edge::Edge;
use crate::error::{Error, Result};
use crate::http_client::FullResponse;
use crate::log_sink::decision;
use crate::platform::store::{self, Change, Condition, Outcome, Row, Rows};
use crate::row_version;
use crate::time::{BootClock, Clock, Ms};

/// Time limit of a call, on top of the wait that it asks the store for.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time for which the store may hold back the answer of a feed without changes. Together
/// with [`CALL_TIMEOUT`] it bounds how long a silent connection goes unnoticed, which must
/// stay within the deployment's bound on the delay of a new adapter version.
const FEED_WAIT: Ms = Ms(3_500);
/// Consecutive failed calls after which a dependency counts as lost.
const FAILURES_UNTIL_LOST: u32 = 2;
/// Delay after a first failed call; it doubles with each further failure.
const FIRST_BACKOFF: Ms = Ms(200);
/// Largest delay after failed calls.
const MAX_BACKOFF: Ms = Ms(800);

/// State of one dependency: logs when it is lost and back, and delays retries.
pub(crate) struct Dependency {
    name: &'static str,
    failures: Cell<u32>,
    backoff: RefCell<Backoff>,
}

impl Dependency {
    pub(crate) fn new(name: &'static str) -> Self {
        let backoff = RefCell::new(Backoff::new(FIRST_BACKOFF, MAX_BACKOFF));
        Self { name, failures: Cell::new(0), backoff }
    }

    pub(crate) fn on_success(&self) {
        self.backoff.borrow_mut().reset();
        if self.failures.replace(0) >= FAILURES_UNTIL_LOST {
            decision!("dependency_back", "dependency": self.name);
        }
    }

    pub(crate) async fn on_failure(&self, edge: &Edge, why: &str) {
        let n = self.failures.get() + 1;
        self.failures.set(n);
        edge.store_failure.set(BootClock.now());
        decision!("call_failed", "dependency": self.name, "failures": n, "reason": why);
        if n == FAILURES_UNTIL_LOST {
            decision!("dependency_lost", "dependency": self.name, "reason": why);
        }
        let wait = self.backoff.borrow_mut().next(&mut rand::rng());
        sleep(wait.to_std()).await;
    }
}

/// An answer of the store.
struct StoreAnswer {
    status: StatusCode,
    body: Bytes,
    /// Era of the store.
    era: u64,
}

async fn call_store(edge: &Edge, request: Request<Full<Bytes>>, wait: Ms) -> Result<StoreAnswer> {
    let begun = Instant::now();
    let deadline = begun + CALL_TIMEOUT + wait.to_std();
    let answer = edge.control_client.fetch(edge.deployment.store, request, deadline).await;
    let failed = |e| Error::io("store", format!("{e} after {} ms", begun.elapsed().as_millis()));
    let FullResponse { status, headers, body } = answer.map_err(failed)?;
    let known = edge.store_era.get();
    let era = store::era(&headers).or(known).unwrap_or(0);
    if known.is_some_and(|known| era < known) {
        return Err(Error::platform("store", format!("late answer of the former era {era}")));
    }
    edge.observe_era(era, "store");
    Ok(StoreAnswer { status, body, era })
}

/// Reads all rows of a table, with the version from which its feed continues.
pub(crate) async fn read_all(edge: &Edge, table: &str) -> Result<Outcome<Rows>> {
    let mut all: Option<Rows> = None;
    let mut from = String::new();
    loop {
        let request = store::rows_request(table, &from)?;
        let answer = call_store(edge, request, Ms(0)).await?;
        let era = answer.era;
        let page = match store::decode_rows(era, answer.status, &answer.body)? {
            Outcome::Done(page) => page,
            other => return Ok(other),
        };
        // The range includes its start, so the next page starts just after the last key.
        from = page.rows.last().map_or(String::new(), |r| format!("{}\u{1}", r.key));
        let more = page.more && !page.rows.is_empty();
        match &mut all {
            Some(rows) if row_version::era(rows.version) != era => return Ok(Outcome::Refused),
            // Later pages may be newer; the feed continues from the first page's version.
            Some(rows) => rows.rows.extend(page.rows),
            None => all = Some(page),
        }
        if !more {
            return Ok(all.map_or(Outcome::Refused, Outcome::Done));
        }
    }
}

pub(crate) async fn read_feed(edge: &Edge, table: &str, after: u64) -> Result<Outcome<Rows>> {
    let request = store::feed_request(table, after, FEED_WAIT.0)?;
    let answer = call_store(edge, request, FEED_WAIT).await?;
    store::decode_rows(answer.era, answer.status, &answer.body)
}

/// Commits changes if the conditions hold. Versions of a former era hold no more, even if the
/// store has given them out again.
pub(crate) async fn commit(
    edge: &Edge,
    changes: &[Change<'_>],
    conditions: &[Condition<'_>],
) -> Result<Outcome<u64>> {
    let expected = changes.iter().filter_map(|c| c.expected);
    let mut versions = expected.chain(conditions.iter().map(|c| c.version)).filter(|v| *v > 0);
    let era = edge.store_era.get().unwrap_or(0);
    if versions.any(|v| row_version::era(v) != era) {
        return Ok(Outcome::Refused);
    }
    let request = store::commit_request(changes, conditions);
    let answer = call_store(edge, request, Ms(0)).await?;
    store::decode_commit(answer.status, &answer.body)
}

/// Logs a row that cannot be decoded.
pub(crate) fn log_unreadable(row: &Row, e: &Error) {
    decision!("row_unreadable", "table": row.table, "key": row.key, "version": row.version,
        "error": e.to_string());
}
