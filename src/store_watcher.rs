//! Reads the store: documents, versions, endpoints' entries, nodes and holders.
//!
//! One change feed per table of the platform, read again in full when its history
//! is gone. Each call has a time limit, because a connection can go silent; after a
//! failure the next call waits longer, with jitter.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use prost::Message;
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};

use crate::attempt::Backoff;
use crate::edge::Edge;
use crate::endpoint_holders::{HolderClaim, HolderRecord, NodeRecord, RENEW_INTERVAL};
use crate::error::{Error, Result};
use crate::generated::mesh as wire;
use crate::http_client::FullResponse;
use crate::ids::{Map, Set};
use crate::log_sink::decision;
use crate::mesh;
use crate::platform::store::{self, Change, Outcome, Row, Rows};
use crate::platform::{document, entry};
use crate::time::{BootClock, Clock, Ms};

/// Table of the nodes' leases.
const NODES: &str = "nodes";
/// Table of the endpoints' holders.
const HOLDERS: &str = "holders";
/// Time limit of a call beyond its own wait.
const CALL: Duration = Duration::from_millis(1_200);
/// Time that the store may hold a feed without changes. With the time limit of a call,
/// a connection that went silent is noticed within the bound of a new version.
const FEED_WAIT: Ms = Ms(3_500);
/// Pauses between two answers of the entries' feed in the time within which a leaving
/// endpoint must get no more work. Entries change all the time.
const ENTRIES_PER_DRAIN: u32 = 2;
/// Rounds after which nodes and holders are read though nothing asks for it.
const QUIET_ROUNDS: u32 = 4;
/// Failed calls in a row after which a dependency counts as lost.
const LOST: u32 = 2;
/// First pause after a failed call; doubles with each further failure.
const BACKOFF: Ms = Ms(200);
/// Longest pause after failed calls.
const BACKOFF_MAX: Ms = Ms(800);
/// Time for which an entry that lapsed during an outage is waited for.
const RETURN: Ms = Ms(2_300);
/// Time after an outage in which removed entries are waited for.
const OUTAGE: Ms = Ms(5_000);
/// Interval at which a starting node looks whether it knows its endpoints.
const FIRST: Duration = Duration::from_millis(30);
/// Longest time that a starting node waits for them before its first round.
const FIRST_FOR: Ms = Ms(2_000);
/// Interval of membership rounds after a start, until all engines have holders.
const EARLY: Duration = Duration::from_millis(700);
/// Time after a start in which rounds follow each other at [`EARLY`].
const EARLY_FOR: Ms = Ms::secs(6);

#[derive(Serialize, Deserialize)]
struct NodeValue {
    address: SocketAddr,
    start: u64,
}

#[derive(Serialize, Deserialize)]
struct HolderValue {
    node: String,
    start: u64,
}

/// State of one dependency: logs its loss and its return, and spaces out retries.
struct Dependency {
    name: &'static str,
    failures: Cell<u32>,
    backoff: RefCell<Backoff>,
}

impl Dependency {
    fn new(name: &'static str) -> Self {
        let backoff = RefCell::new(Backoff::new(BACKOFF, BACKOFF_MAX));
        Self { name, failures: Cell::new(0), backoff }
    }

    fn ok(&self) {
        self.backoff.borrow_mut().reset();
        if self.failures.replace(0) >= LOST {
            decision!("dependency_back", "dependency": self.name);
        }
    }

    async fn failed(&self, edge: &Edge, why: &str) {
        let n = self.failures.get() + 1;
        self.failures.set(n);
        edge.store_trouble.set(BootClock.now());
        if n == LOST {
            decision!("dependency_lost", "dependency": self.name, "reason": why);
        }
        let wait = self.backoff.borrow_mut().next(&mut rand::rng());
        sleep(wait.to_std()).await;
    }
}

async fn call(edge: &Edge, request: Request<Full<Bytes>>, wait: Ms) -> Result<FullResponse> {
    let deadline = Instant::now() + CALL + wait.to_std();
    let answer = edge.control.fetch(edge.deployment.store, request, deadline).await;
    answer.map_err(|e| Error::io("store", e))
}

/// All rows of a table, with the version that they are as of.
async fn read_all(edge: &Edge, table: &str) -> Result<Outcome<Rows>> {
    let mut all: Option<Rows> = None;
    let mut from = String::new();
    loop {
        let request = store::rows_request(table, &from)?;
        let answer = call(edge, request, Ms(0)).await?;
        let page = match store::decode_rows(answer.status, &answer.body)? {
            Outcome::Done(page) => page,
            other => return Ok(other),
        };
        // The next page begins behind the last key; the range includes its start.
        from = page.rows.last().map_or(String::new(), |r| format!("{}\u{1}", r.key));
        let more = page.more && !page.rows.is_empty();
        match &mut all {
            // Later pages are newer; the feed continues from the oldest.
            Some(rows) => rows.rows.extend(page.rows),
            None => all = Some(page),
        }
        if !more {
            return Ok(all.map_or(Outcome::Refused, Outcome::Done));
        }
    }
}

async fn read_feed(edge: &Edge, table: &str, after: u64) -> Result<Outcome<Rows>> {
    let request = store::feed_request(table, after, FEED_WAIT.0)?;
    let answer = call(edge, request, FEED_WAIT).await?;
    store::decode_rows(answer.status, &answer.body)
}

/// Follows a table: calls `adopt` with all rows (`true`) or with changed ones.
async fn follow<F, Fut>(edge: &Edge, table: &'static str, pause: Duration, adopt: F)
where
    F: Fn(Vec<Row>, bool) -> Fut,
    Fut: Future<Output = ()>,
{
    let dependency = Dependency::new(table);
    let mut after = None;
    loop {
        let whole = after.is_none();
        let answer = match after {
            None => read_all(edge, table).await,
            Some(version) => read_feed(edge, table, version).await,
        };
        match answer {
            Ok(Outcome::Done(rows)) => {
                dependency.ok();
                after = Some(rows.version);
                adopt(rows.rows, whole).await;
                sleep(pause).await;
            }
            Ok(Outcome::Refused) => {
                decision!("history_gone", "table": table, "after": after);
                after = None;
            }
            Ok(Outcome::Unavailable(status)) => {
                dependency.failed(edge, &format!("status {status}")).await;
            }
            Err(e) => dependency.failed(edge, &e.to_string()).await,
        }
    }
}

/// Follows the operators' documents and the versions of adapters.
pub(crate) async fn documents(edge: Rc<Edge>) {
    follow(&edge, document::TABLE, Duration::ZERO, |rows, _| {
        for row in rows {
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
            Err(e) => unreadable(&row, &e),
        }
    }
}

fn unreadable(row: &Row, e: &Error) {
    decision!("row_unreadable", "table": row.table, "key": row.key, "version": row.version,
        "error": e.to_string());
}

/// Brings a document into force if it is newer than the one in force.
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
        "source": source, "teams": rates(&routing));
    let teams = routing.teams().iter().map(|t| &**t);
    edge.team_limits.borrow_mut().add_teams(BootClock.now(), teams);
    edge.metrics.serial(routing.version);
    edge.document.replace(bytes);
    edge.routing.replace(Rc::new(routing));
}

/// Rates of the teams, for the log.
fn rates(routing: &crate::routing::Routing) -> Vec<String> {
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

/// Interval at which peers' versions are compared with this node's.
const PEERS: Duration = Duration::from_millis(200);
/// Time that a newer version may take from the store before a peer is asked.
const PATIENCE: Ms = Ms(400);
/// Gets from a peer what the store does not tell: a newer configuration, and the
/// endpoints' entries at a start without the store.
pub(crate) async fn peers(edge: Rc<Edge>) {
    let mut behind = None;
    loop {
        sleep(PEERS).await;
        let now = BootClock.now();
        let own = edge.routing.borrow().version;
        let ahead = {
            let peers = edge.peers.borrow();
            let best = peers.iter().filter(|(_, p)| now.since(p.last_beat) < Ms::secs(1));
            best.max_by_key(|(_, p)| p.config_version)
                .map(|(n, p)| (n.clone(), p.address, p.config_version))
        };
        let Some((name, address, version)) = ahead else { continue };
        let unlisted = !edge.listed.get();
        if version <= own && !(unlisted && version > 0) {
            behind = None;
            continue;
        }
        if now.since(*behind.get_or_insert(now)) < PATIENCE {
            continue;
        }
        behind = None;
        if let Err(e) = read_peer(&edge, &name, address).await {
            log::warn!("state of {name}: {e}");
        }
    }
}

async fn read_peer(edge: &Edge, name: &str, address: SocketAddr) -> Result<()> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = http::Uri::from_static(mesh::STATE_PATH);
    let answer = edge.control.fetch(address, request, Instant::now() + CALL).await;
    let body = answer.map_err(|e| Error::io(name, e))?.body;
    let state = wire::State::decode(body).map_err(|e| Error::io(name, e))?;
    adopt_document(edge, state.document, name, 0);
    if edge.listed.get() {
        return Ok(());
    }
    for e in state.entries {
        match entry::decode(&e.endpoint, &e.value) {
            Ok(entry) => on_entry(edge, entry),
            Err(e) => log::warn!("entry from {name}: {e}"),
        }
    }
    edge.listed.set(!edge.table.borrow().is_empty());
    Ok(())
}

/// Follows the endpoints' entries.
pub(crate) async fn entries(edge: Rc<Edge>) {
    let lapsed: RefCell<Map<Rc<str>, Ms>> = RefCell::default();
    let unread: RefCell<Set<String>> = RefCell::default();
    let pause = edge.deployment.bounds.drain.to_std() / ENTRIES_PER_DRAIN;
    follow(&edge, entry::TABLE, pause, |rows, whole| {
        let now = BootClock.now();
        let mut lapsed = lapsed.borrow_mut();
        let mut present: Set<Rc<str>> = Set::default();
        for row in rows {
            if row.removed {
                lapsed.entry(Rc::from(row.key)).or_insert(now);
                continue;
            }
            match entry::decode(&row.key, &row.value) {
                Ok(entry) => {
                    lapsed.remove(&entry.id);
                    edge.entries.borrow_mut().insert(entry.id.clone(), row.value);
                    present.insert(entry.id.clone());
                    on_entry(&edge, entry);
                }
                Err(e) => {
                    if unread.borrow_mut().insert(row.key.clone()) {
                        unreadable(&row, &e);
                    }
                    lapsed.entry(Rc::from(row.key)).or_insert(now);
                }
            }
        }
        if whole {
            let table = edge.table.borrow();
            for e in table.iter().filter(|e| !present.contains(&e.entry.id)) {
                lapsed.entry(e.entry.id.clone()).or_insert(now);
            }
        }
        let outage =
            now.since(edge.store_trouble.get()) < OUTAGE && edge.store_trouble.get() > Ms(0);
        lapsed.retain(|id, at| {
            if outage && now.since(*at) < RETURN {
                return true;
            }
            edge.entries.borrow_mut().remove(id);
            if edge.table.borrow_mut().remove(id).is_some() {
                decision!("endpoint_gone", "endpoint": &**id, "waited_ms": now.since(*at).0);
                edge.leaving.borrow_mut().insert(id.clone(), now);
            }
            false
        });
        edge.listed.set(true);
        std::future::ready(())
    })
    .await;
}

fn on_entry(edge: &Edge, entry: crate::endpoint_table::EndpointEntry) {
    let mut table = edge.table.borrow_mut();
    let id = entry.id.clone();
    let old = table.get(&id).map(|e| (e.entry.leaving, e.entry.started_at));
    if old.is_none_or(|(leaving, born)| leaving != entry.leaving || born != entry.started_at) {
        decision!("endpoint", "endpoint": &*id, "service": &*entry.service,
            "address": entry.address.to_string(), "leaving": entry.leaving, "born": entry.started_at);
    }
    if entry.leaving {
        edge.leaving.borrow_mut().entry(id.clone()).or_insert(BootClock.now());
    }
    if old.is_some_and(|(_, born)| born != entry.started_at)
        && let Some(k) = edge.held.borrow_mut().get_mut(&id)
    {
        k.planner.on_restart();
    }
    let known_leaving = edge.leaving.borrow().contains_key(&id) && !entry.leaving && old.is_none();
    if known_leaving {
        // The entry is back after an outage in which it had lapsed.
        edge.leaving.borrow_mut().remove(&id);
    }
    table.update(entry);
}

async fn commit(edge: &Edge, changes: &[Change<'_>]) -> Result<Outcome<u64>> {
    let request = store::commit_request(changes);
    let answer = call(edge, request, Ms(0)).await?;
    store::committed(answer.status, &answer.body)
}

async fn renew(edge: &Edge) -> Result<bool> {
    let sent = BootClock.now();
    let address = edge.socket.local_addr().map_err(|e| Error::io("mesh", e))?;
    let value = NodeValue { address, start: edge.start };
    let value = serde_json::to_vec(&value).map_err(|e| Error::input(NODES, e))?;
    let key = edge.deployment.node.as_str();
    let change = Change { table: NODES, key, expected: None, value: Some(&value) };
    let done = matches!(commit(edge, &[change]).await?, Outcome::Done(_));
    if done {
        edge.holders.borrow_mut().on_renewed(sent);
    }
    Ok(done)
}

async fn read_nodes(edge: &Edge) -> Result<bool> {
    let Outcome::Done(nodes) = read_all(edge, NODES).await? else { return Ok(false) };
    let now = BootClock.now();
    let node = |row: &Row| {
        let value: NodeValue = match serde_json::from_slice(&row.value) {
            Ok(value) => value,
            Err(e) => {
                unreadable(row, &Error::input(NODES, e));
                return None;
            }
        };
        let name = Rc::from(row.key.as_str());
        Some(NodeRecord { name, address: value.address, version: row.version, seen: now })
    };
    let rows = nodes.rows.iter().filter_map(node).collect();
    edge.holders.borrow_mut().on_nodes(now, rows);
    Ok(true)
}

async fn read_holders(edge: &Edge) -> Result<bool> {
    let Outcome::Done(holders) = read_all(edge, HOLDERS).await? else { return Ok(false) };
    let now = BootClock.now();
    let holding = |row: &Row| {
        let value: HolderValue = match serde_json::from_slice(&row.value) {
            Ok(value) => value,
            Err(e) => {
                unreadable(row, &Error::input(HOLDERS, e));
                return None;
            }
        };
        let node = Rc::from(value.node);
        let holding = HolderRecord { node, start: value.start, fence: row.version };
        Some((Rc::from(row.key.as_str()), holding))
    };
    let rows = holders.rows.iter().filter_map(holding).collect();
    edge.holders.borrow_mut().on_holders(now, rows);
    Ok(true)
}

async fn claim(edge: &Edge, claim: &HolderClaim) -> Result<bool> {
    let value = HolderValue { node: edge.deployment.node.clone(), start: edge.start };
    let value = serde_json::to_vec(&value).map_err(|e| Error::input(HOLDERS, e))?;
    let change = Change {
        table: HOLDERS,
        key: &claim.endpoint,
        expected: Some(claim.expected),
        value: Some(&value),
    };
    match commit(edge, &[change]).await? {
        Outcome::Done(_) => {
            decision!("holder_claimed", "endpoint": &*claim.endpoint,
                "before": claim.expected, "pause_ms": claim.pause.0);
            edge.holders.borrow_mut().on_claimed(claim);
            Ok(true)
        }
        _ => Ok(false),
    }
}

fn engines(edge: &Edge) -> Vec<Rc<str>> {
    let routing = edge.routing.borrow();
    let table = edge.table.borrow();
    let engine = |name: &str| routing.services.get(name).is_some_and(|s| s.engine.is_some());
    let usable = table.iter().filter(|e| e.usable() && engine(&e.entry.service));
    let mut ids: Vec<Rc<str>> = usable.map(|e| e.entry.id.clone()).collect();
    ids.sort();
    ids
}

/// Whether an engine has no holder that is heard.
fn orphans(edge: &Edge, engines: &[Rc<str>]) -> bool {
    let table = edge.table.borrow();
    engines.iter().any(|id| table.get(id).is_some_and(|e| e.holder.is_none()))
}

/// Renews the lease if it is due and claims what has no holder; false if the store did
/// not serve it.
async fn round(edge: &Edge, renewed: &Cell<Ms>, quiet: &Cell<u32>) -> Result<bool> {
    let now = BootClock.now();
    let lapsed = !edge.holders.borrow().has_lease(now);
    if now.since(renewed.get()) >= RENEW_INTERVAL || renewed.get() == Ms(0) {
        if !renew(edge).await? {
            return Ok(false);
        }
        renewed.set(now);
    }
    let engines = engines(edge);
    let strangers = edge.has_strangers(now);
    let unsettled = engines.is_empty() || lapsed || strangers || orphans(edge, &engines);
    if !unsettled && quiet.get() < QUIET_ROUNDS {
        quiet.set(quiet.get() + 1);
        return Ok(true);
    }
    if !(read_nodes(edge).await? && read_holders(edge).await?) {
        return Ok(false);
    }
    quiet.set(0);
    // A stopping node keeps what it holds and takes on nothing.
    if *edge.stopping.borrow() {
        return Ok(true);
    }
    let claims = edge.holders.borrow().due_claims(BootClock.now(), &engines);
    for c in &claims {
        claim(edge, c).await?;
    }
    match claims.is_empty() {
        true => Ok(true),
        false => read_holders(edge).await,
    }
}

/// Renews the node's lease, and claims endpoints without a holder.
pub(crate) async fn membership(edge: Rc<Edge>) {
    let dependency = Dependency::new(NODES);
    let (renewed, quiet) = (Cell::new(Ms(0)), Cell::new(QUIET_ROUNDS));
    let begun = BootClock.now();
    // The row comes first: nodes that start together must find each other's.
    while BootClock.now().since(begun) < FIRST_FOR {
        match renew(&edge).await {
            Ok(true) => {
                renewed.set(BootClock.now());
                break;
            }
            Ok(false) => dependency.failed(&edge, "unavailable").await,
            Err(e) => dependency.failed(&edge, &e.to_string()).await,
        }
    }
    while engines(&edge).is_empty() && BootClock.now().since(begun) < FIRST_FOR {
        sleep(FIRST).await;
    }
    loop {
        match round(&edge, &renewed, &quiet).await {
            Ok(true) => dependency.ok(),
            Ok(false) => dependency.failed(&edge, "unavailable").await,
            Err(e) => dependency.failed(&edge, &e.to_string()).await,
        }
        let now = BootClock.now();
        let open = orphans(&edge, &engines(&edge)) || edge.has_strangers(now);
        let early = now.since(begun) < EARLY_FOR && open;
        sleep(if early { EARLY } else { RENEW_INTERVAL.to_std() }).await;
    }
}

/// Removes the node's row, so that others take over its endpoints without delay.
pub(crate) async fn release(edge: &Edge) {
    edge.holders.borrow_mut().release();
    let key = edge.deployment.node.as_str();
    let change = Change { table: NODES, key, expected: None, value: None };
    if let Err(e) = commit(edge, &[change]).await {
        log::warn!("the node's row stays until its lease lapses: {e}");
    }
}
