//! Calls to the platform's store, with time limits and delays after failures.
//!
//! The reads that follow a table are repeated on new connections while they go unanswered; the
//! first answer counts. See [`crate::read_schedule`].

use std::cell::{Cell, RefCell};
use std::future::Future;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use tokio::time::{Instant, sleep};

use crate::attempt::Backoff;
use crate::edge::Edge;
use crate::error::{Error, Result};
use crate::http_client::FullResponse;
use crate::log_sink::decision;
use crate::overdue::{CallTrouble, first_answer};
use crate::platform::store::{self, Change, Condition, Outcome, Row, Rows};
use crate::read_schedule::ReadSchedule;
use crate::row_version;
use crate::storage::PageSizes;
use crate::time::{BootClock, Clock, Ms};

/// Time limit of a call that is not part of a [`ReadSchedule`].
const CALL_TIMEOUT: Ms = Ms(1_200);
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
        Self::with_max_backoff(name, MAX_BACKOFF)
    }

    pub(crate) fn with_max_backoff(name: &'static str, max: Ms) -> Self {
        let backoff = RefCell::new(Backoff::new(FIRST_BACKOFF.min(max), max));
        Self { name, failures: Cell::new(0), backoff }
    }

    pub(crate) fn on_success(&self) {
        self.backoff.borrow_mut().reset();
        if self.failures.replace(0) >= FAILURES_UNTIL_LOST {
            decision!("dependency_back", "dependency": self.name);
        }
    }

    pub(crate) async fn on_failure(&self, edge: &Edge, why: &str) {
        self.record_failure(edge, why);
        let wait = self.backoff.borrow_mut().next(&mut rand::rng());
        sleep(wait.to_std()).await;
    }

    fn record_failure(&self, edge: &Edge, why: &str) {
        let n = self.failures.get() + 1;
        self.failures.set(n);
        edge.store_health.borrow_mut().on_failure();
        decision!("call_failed", "dependency": self.name, "failures": n, "reason": why);
        if n == FAILURES_UNTIL_LOST {
            decision!("dependency_lost", "dependency": self.name, "reason": why);
        }
    }
}

/// An answer of the store.
struct StoreAnswer {
    status: StatusCode,
    body: Bytes,
    /// Era of the store.
    era: u64,
}

/// How a call is sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallMode {
    /// Time for which the store may hold back its answer.
    wait: Ms,
    /// Time limit on top of `wait`.
    limit: Ms,
    /// Whether the call opens a connection of its own.
    fresh: bool,
}

impl CallMode {
    /// A call on a kept connection that is answered at once.
    pub(crate) const PLAIN: Self = Self { wait: Ms(0), limit: CALL_TIMEOUT, fresh: false };
}

async fn call_store(
    edge: &Edge,
    request: Request<Full<Bytes>>,
    mode: CallMode,
) -> Result<StoreAnswer> {
    let begun = Instant::now();
    let deadline = begun + (mode.limit + mode.wait).to_std();
    let (client, store) = (&edge.control_client, edge.deployment.store);
    let answer = match mode.fresh {
        true => client.fetch_fresh(store, request, deadline).await,
        false => client.fetch(store, request, deadline).await,
    };
    let failed = |e| Error::io("store", format!("{e} after {} ms", begun.elapsed().as_millis()));
    let FullResponse { status, headers, body } = answer.map_err(failed)?;
    let known = edge.store_era.get();
    let era = store::era(&headers).or(known).unwrap_or(0);
    if known.is_some_and(|known| era < known) {
        return Err(Error::platform("store", format!("late answer of the former era {era}")));
    }
    edge.observe_era(era, "store");
    if !store::is_unavailable(status) {
        edge.store_health.borrow_mut().on_answer(BootClock.now());
    }
    Ok(StoreAnswer { status, body, era })
}

/// Reads with calls that are repeated on new connections while none is answered, and returns the
/// first answer. Calls that are under way then are cancelled.
pub(crate) async fn read_until_answered<T, Fut>(
    edge: &Edge,
    dependency: &Dependency,
    schedule: &ReadSchedule,
    read: impl Fn(CallMode) -> Fut,
) -> Result<T>
where
    Fut: Future<Output = Result<T>>,
{
    let overdue = schedule.overdue.to_std();
    let call = |made| {
        let wait = if made == 0 { schedule.wait } else { Ms(0) };
        read(CallMode { wait, limit: schedule.limit, fresh: made > 0 })
    };
    first_answer(schedule.wait.to_std() + overdue, overdue, call, |trouble| match trouble {
        CallTrouble::Overdue(waited) => {
            dependency.record_failure(edge, &format!("overdue after {} ms", waited.as_millis()));
            // Other kept connections may be silent as well.
            edge.control_client.close_idle(edge.deployment.store);
        }
        CallTrouble::Failed(e) => dependency.record_failure(edge, &e.to_string()),
    })
    .await
}

/// Reads all rows of a table without partitions, with the version from which its feed continues.
pub(crate) async fn read_all(edge: &Edge, table: &str, mode: CallMode) -> Result<Outcome<Rows>> {
    read_part(edge, table, "", mode).await
}

/// Reads all rows of a partition of a table.
pub(crate) async fn read_part(
    edge: &Edge,
    table: &str,
    part: &str,
    mode: CallMode,
) -> Result<Outcome<Rows>> {
    let mode = CallMode { wait: Ms(0), ..mode };
    let mut all: Option<Rows> = None;
    let mut from = String::new();
    let mut sizes = PageSizes::default();
    loop {
        let request = store::rows_request(table, part, &from)?;
        let answer = call_store(edge, request, mode).await?;
        sizes.add(table, answer.body.len())?;
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

pub(crate) async fn read_feed(
    edge: &Edge,
    table: &str,
    after: u64,
    mode: CallMode,
) -> Result<Outcome<Rows>> {
    let request = store::feed_request(table, after, mode.wait.0)?;
    let answer = call_store(edge, request, mode).await?;
    store::decode_rows(answer.era, answer.status, &answer.body)
}

/// Commits changes of rows without a partition; see [`commit_part`].
pub(crate) async fn commit(
    edge: &Edge,
    changes: &[Change<'_>],
    conditions: &[Condition<'_>],
) -> Result<Outcome<u64>> {
    commit_part(edge, "", changes, conditions).await
}

/// Commits changes of a partition if the conditions hold. Returns the newest version of the store,
/// which may be newer than the changed rows. Versions of a former era hold no more,
/// even if the store has given them out again.
pub(crate) async fn commit_part(
    edge: &Edge,
    part: &str,
    changes: &[Change<'_>],
    conditions: &[Condition<'_>],
) -> Result<Outcome<u64>> {
    let expected = changes.iter().filter_map(|c| c.expected);
    let mut versions = expected.chain(conditions.iter().map(|c| c.version)).filter(|v| *v > 0);
    let era = edge.store_era.get().unwrap_or(0);
    if versions.any(|v| row_version::era(v) != era) {
        return Ok(Outcome::Refused);
    }
    let request = store::commit_request(part, changes, conditions);
    let answer = call_store(edge, request, CallMode::PLAIN).await?;
    Ok(match store::decode_commit(answer.status, &answer.body)? {
        Outcome::Done(version) => Outcome::Done(row_version::qualify(answer.era, version)),
        other => other,
    })
}

/// Logs a row that cannot be decoded.
pub(crate) fn log_unreadable(row: &Row, e: &Error) {
    decision!("row_unreadable", "table": row.table, "key": row.key, "version": row.version,
        "error": e.to_string());
}
