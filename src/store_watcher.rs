//! Keeps this node's copy of the store's tables up to date: documents, adapter versions and
//! endpoints' entries. The leases and holders are those of [`crate::holder_claims`].
//!
//! Documents and entries are followed by one change feed per table; a table is read again in
//! full when the feed's history is gone. Reads are repeated on new connections while they go
//! unanswered, because a connection can go silent. Failed calls are retried after a growing,
//! jittered delay.

use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use prost::Message;
use tokio::time::{Instant, sleep};

use crate::crash_watch;
use crate::edge::{Edge, EncodedEntry};
use crate::endpoint_table::EndpointEntry;
use crate::error::{Error, Result};
use crate::generated::mesh as wire;
use crate::ids::Set;
use crate::log_sink::decision;
use crate::mesh;
use crate::platform::store::{Outcome, Row, Rows};
use crate::platform::{document, entry};
use crate::read_schedule::ReadSchedule;
use crate::row_version;
use crate::store_calls::{Dependency, log_unreadable, read_all, read_feed, read_until_answered};
use crate::time::{BootClock, Clock, Ms};

/// What an answer that [`follow_table`] passes on contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Scope {
    /// All rows of the table.
    All,
    /// All rows, read because the store was restored after the given era.
    Restored(u64),
    /// The changed rows.
    Changes,
}

/// Whether the store has been restored since it gave out a version.
fn is_of_former_era(edge: &Edge, version: u64) -> bool {
    edge.store_era.get().is_some_and(|era| row_version::era(version) < era)
}

/// Follows a table: calls `adopt` with all of its rows or with the changed ones. After a restore
/// of the store, all rows are read again.
async fn follow_table<F, Fut>(edge: &Edge, table: &'static str, schedule: ReadSchedule, adopt: F)
where
    F: Fn(Rows, Scope) -> Fut,
    Fut: Future<Output = ()>,
{
    let dependency = Dependency::with_max_backoff(table, schedule.retry);
    let (mut after, mut scope) = (None, Scope::All);
    loop {
        let restored = edge.era_changed.notified();
        if let Some(version) = after.filter(|version| is_of_former_era(edge, *version)) {
            decision!("table_restored", "table": table, "after": row_version::plain(version));
            (after, scope) = (None, Scope::Restored(row_version::era(version)));
        }
        let read = read_until_answered(edge, &dependency, &schedule, |mode| async move {
            match after {
                None => read_all(edge, table, mode).await,
                Some(version) => read_feed(edge, table, version, mode).await,
            }
        });
        let answer = tokio::select! {
            answer = read => answer,
            () = restored => continue,
        };
        match answer {
            Ok(Outcome::Done(rows)) => {
                dependency.on_success();
                if after.is_some_and(|version| is_of_former_era(edge, version)) {
                    continue;
                }
                after = Some(rows.version);
                adopt(rows, std::mem::replace(&mut scope, Scope::Changes)).await;
                sleep(schedule.pause.to_std()).await;
            }
            // The refusal was the first answer of a restored store.
            Ok(Outcome::Refused) if after.is_some_and(|v| is_of_former_era(edge, v)) => {}
            Ok(Outcome::Refused) => {
                decision!("history_gone", "table": table, "after": after.map(row_version::plain));
                if after.take().is_some() {
                    scope = Scope::All;
                }
            }
            Ok(Outcome::Unavailable(status)) => {
                dependency.on_failure(edge, &format!("status {status}")).await;
            }
            Err(e) => dependency.on_failure(edge, &e.to_string()).await,
        }
    }
}

/// Follows the operators' documents and the adapter versions.
pub(crate) async fn follow_documents(edge: Rc<Edge>) {
    let schedule = ReadSchedule::of_documents(&edge.deployment.bounds);
    follow_table(&edge, document::TABLE, schedule, |rows, _| {
        for row in rows.rows {
            on_document(&edge, row);
        }
        std::future::ready(())
    })
    .await;
}

fn on_document(edge: &Edge, row: Row) {
    if row.removed {
        return;
    }
    if row.key == document::KEY {
        adopt_document(edge, row.value, "store", row.version);
    } else if row.key.starts_with(document::VERSION_PREFIX) {
        match document::decode_version(&row.value) {
            Ok(v) => on_version(edge, &v),
            Err(e) => log_unreadable(&row, &e),
        }
    }
}

/// Applies a document if it is newer than the one in force. `row` is the version of its row,
/// for the log.
pub(crate) fn adopt_document(edge: &Edge, bytes: Vec<u8>, source: &str, row: u64) {
    let routing = match document::decode(&bytes) {
        Ok(routing) => routing,
        Err(e) => {
            decision!("configuration_unreadable", "source": source, "row": row, "error": e.to_string());
            return;
        }
    };
    let current = edge.routing.borrow().clone();
    if !routing.replaces(&current) {
        return;
    }
    decision!("configuration_in_force", "version": routing.version, "before": current.version,
        "source": source, "teams": team_rates(&routing));
    let teams = routing.teams().iter().map(|t| &**t);
    edge.team_limits.borrow_mut().add(BootClock.now(), teams);
    edge.metrics.serial(routing.version);
    let streams = routing.routes().filter(|r| r.kind.streams()).map(|r| r.timeout);
    edge.streams.borrow_mut().set_time_limit(streams.max().unwrap_or_default());
    edge.document.replace(bytes);
    edge.routing.replace(Rc::new(routing));
}

/// Rates and bursts of the teams, for the log.
fn team_rates(routing: &crate::routing::Routing) -> Vec<String> {
    routing.teams().iter().map(|t| format!("{} {}/s +{}", t.name, t.rate, t.burst)).collect()
}

fn on_version(edge: &Edge, v: &document::AdapterVersion) {
    let name: Rc<str> = Rc::from(v.name.as_str());
    let now = BootClock.now();
    let mut versions = edge.versions.borrow_mut();
    if versions.get(&name).is_some_and(|(known, _)| *known >= v.version) {
        return;
    }
    decision!("version_named", "adapter": v.name, "version": v.version);
    versions.insert(name.clone(), (v.version, now));
    for k in edge.held.borrow_mut().values_mut() {
        k.planner.on_new_version(now, &name, v.version);
        k.wake.notify_one();
    }
}

/// Interval at which peers' configuration versions are compared with this node's.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Reads from a peer what the store does not deliver: a newer configuration and, on a start
/// during a store outage, the endpoints' entries.
pub(crate) async fn follow_peers(edge: Rc<Edge>) {
    // The store has the time of an overdue call to deliver a newer configuration first.
    let schedule = ReadSchedule::of_documents(&edge.deployment.bounds);
    let mut behind_since = None;
    loop {
        sleep(PEER_CHECK_INTERVAL).await;
        let now = BootClock.now();
        let own = edge.routing.borrow().version;
        let ahead = {
            let peers = edge.peers.borrow();
            let heard = peers.iter().filter(|(_, p)| now.since(p.last_beat) < Ms::secs(1));
            // The one that is asked next time is another one if it does not answer.
            heard
                .max_by_key(|(_, p)| (p.config_version, rand::random::<u32>()))
                .map(|(n, p)| (n.clone(), p.address, p.config_version))
        };
        let Some((name, address, version)) = ahead else { continue };
        let entries_missing = !edge.entries_read.get();
        if version <= own && !(entries_missing && version > 0) {
            behind_since = None;
            continue;
        }
        if now.since(*behind_since.get_or_insert(now)) < schedule.overdue {
            continue;
        }
        behind_since = None;
        let deadline = Instant::now() + schedule.retry.to_std();
        if let Err(e) = read_peer(&edge, &name, address, deadline).await {
            log::warn!("reading the state of peer {name} failed: {e}");
        }
    }
}

async fn read_peer(edge: &Edge, name: &str, address: SocketAddr, deadline: Instant) -> Result<()> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = http::Uri::from_static(mesh::STATE_PATH);
    // A kept connection may be silent.
    let answer = edge.control_client.fetch_fresh(address, request, deadline).await;
    let body = answer.map_err(|e| Error::io(name, e))?.body;
    let state = wire::State::decode(body).map_err(|e| Error::io(name, e))?;
    adopt_document(edge, state.document, name, 0);
    if edge.entries_read.get() {
        return Ok(());
    }
    for e in state.entries {
        match entry::decode(&e.endpoint, &e.value) {
            Ok(entry) => on_entry(edge, entry, e.version),
            Err(e) => log::warn!("peer {name} sent an invalid endpoint entry: {e}"),
        }
    }
    edge.entries_read.set(!edge.table.borrow().is_empty());
    Ok(())
}

/// Follows the endpoints' entries and removes endpoints without one.
pub(crate) async fn follow_entries(edge: Rc<Edge>) {
    let unreadable_keys: RefCell<Set<String>> = RefCell::default();
    let schedule = ReadSchedule::of_entries(&edge.deployment.bounds);
    follow_table(&edge, entry::TABLE, schedule, |rows, scope| {
        let Rows { rows, version, .. } = rows;
        let now = BootClock.now();
        let mut unlisted = edge.unlisted.borrow_mut();
        let mut present: Set<Rc<str>> = Set::default();
        for mut row in rows {
            if let Scope::Restored(former) = scope {
                // An entry of the copy is older than a departure that the store has lost.
                row.version = row_version::qualify(former, row.version);
            }
            if row.removed {
                decision!("entry_removed", "endpoint": row.key, "version": row.version);
                unlisted.entry(Rc::from(row.key)).or_insert((row.version, now));
                continue;
            }
            match entry::decode(&row.key, &row.value) {
                Ok(entry) => {
                    unlisted.remove(&entry.id);
                    let encoded = EncodedEntry { value: row.value, version: row.version };
                    edge.entries.borrow_mut().insert(entry.id.clone(), encoded);
                    present.insert(entry.id.clone());
                    on_entry(&edge, entry, row.version);
                }
                Err(e) => {
                    if unreadable_keys.borrow_mut().insert(row.key.clone()) {
                        log_unreadable(&row, &e);
                    }
                    unlisted.entry(Rc::from(row.key)).or_insert((row.version, now));
                }
            }
        }
        if scope != Scope::Changes {
            let table = edge.table.borrow();
            for e in table.iter().filter(|e| !present.contains(&e.entry.id)) {
                unlisted.entry(e.entry.id.clone()).or_insert((version, now));
            }
        }
        drop(unlisted);
        // Versions of endpoints that are removed next have served until now.
        edge.observe_software(now);
        remove_unlisted(&edge);
        edge.entries_read.set(true);
        std::future::ready(())
    })
    .await;
}

/// Removes endpoints without an entry, unless their entries may only have lapsed in an outage of
/// the store.
pub(crate) fn remove_unlisted(edge: &Edge) {
    let now = BootClock.now();
    if edge.store_health.borrow().may_come_back(now) {
        return;
    }
    for (id, (version, read_at)) in edge.unlisted.take() {
        edge.entries.borrow_mut().remove(&id);
        let removed = edge.table.borrow_mut().remove(&id);
        if let Some(state) = removed {
            if !state.entry.leaving {
                crash_watch::on_crashed(edge, &id, "its entry lapsed");
            }
            decision!("endpoint_gone", "endpoint": &*id, "waited_ms": now.since(read_at).0);
            edge.departures.borrow_mut().record(now, &id, version);
        }
    }
}

/// Takes over an endpoint's entry from its row of the given version.
fn on_entry(edge: &Edge, entry: EndpointEntry, version: u64) {
    let mut table = edge.table.borrow_mut();
    let id = entry.id.clone();
    let old = table.get(&id).map(|e| (e.entry.leaving, e.entry.started_at));
    if old.is_none_or(|(leaving, start)| leaving != entry.leaving || start != entry.started_at) {
        decision!("endpoint", "endpoint": &*id, "service": &*entry.service,
            "address": entry.address.to_string(), "leaving": entry.leaving, "born": entry.started_at);
    }
    let mut departures = edge.departures.borrow_mut();
    if entry.leaving {
        departures.record(BootClock.now(), &id, version);
    }
    let gone = departures.overrides(&id, version, entry.started_at);
    if old.is_none() && edge.entries_read.get() {
        edge.holders.borrow_mut().on_registered(&id);
    }
    if old.is_none_or(|(_, start)| start != entry.started_at) {
        edge.endpoint_added.notify_one();
    }
    if old.is_some_and(|(_, start)| start != entry.started_at) {
        crash_watch::on_crashed(edge, &id, "it has restarted");
        if let Some(k) = edge.held.borrow_mut().get_mut(&id) {
            k.planner.on_restart();
        }
    }
    table.update(entry);
    if let Some(e) = table.get_mut(&id) {
        e.row_version = version;
        e.gone = gone;
    }
}
