//! Renews the node's lease in the store, reads who holds endpoints, and claims those without a
//! holder. What is due is decided by [`crate::endpoint_holders`].

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::{sleep, timeout};

use crate::edge::Edge;
use crate::endpoint_holders::{HolderClaim, HolderRecord, RENEW_INTERVAL, UNLISTED_FOR};
use crate::error::{Error, Result};
use crate::log_sink::decision;
use crate::node_row::NodeRecord;
use crate::platform::store::{Change, Condition, Outcome, Row};
use crate::store_calls::{CallMode, Dependency, commit, log_unreadable, read_all};
use crate::time::{BootClock, Clock, Ms};

/// Table of the nodes' leases.
const NODES_TABLE: &str = "nodes";
/// Table of the endpoints' holders.
const HOLDERS_TABLE: &str = "holders";
/// Most attempts to write the node's row; each further one follows a read of the row.
const MAX_LEASE_WRITES: usize = 4;
/// Most consecutive membership rounds that skip reading nodes and holders.
const MAX_ROUNDS_UNREAD: u32 = 4;
/// Interval at which a starting node checks whether it has read any endpoints.
const START_POLL_INTERVAL: Duration = Duration::from_millis(30);
/// Longest time that a starting node waits for its lease and its endpoints before the first
/// membership round.
const MAX_START_WAIT: Ms = Ms(2_000);
/// Interval of membership rounds while an engine was never claimed, and after a start while an
/// engine has no holder or a peer is unlisted.
const EARLY_INTERVAL: Duration = Duration::from_millis(700);
/// Upper bound of the random delay between learning of a new endpoint and the next round.
const MAX_CLAIM_DELAY: Ms = Ms(150);
/// Time after a start during which rounds may follow at [`EARLY_INTERVAL`].
const EARLY_PERIOD: Ms = Ms::secs(6);

#[derive(Serialize, Deserialize)]
struct NodeValue {
    address: SocketAddr,
    start: u64,
    #[serde(default)]
    released: bool,
}

#[derive(Serialize, Deserialize)]
struct HolderValue {
    node: String,
    start: u64,
    /// Time from which the holder may give orders, on the store's clock.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    orders_from: Option<u64>,
}

/// Writes this node's row over the version that it knows, to renew or to release its lease; false if
/// the store was unavailable or the row went on changing.
async fn write_lease(edge: &Edge, released: bool) -> Result<bool> {
    let address = edge.socket.local_addr().map_err(|e| Error::io("mesh", e))?;
    let value = NodeValue { address, start: edge.start, released };
    let value = serde_json::to_vec(&value).map_err(|e| Error::input(NODES_TABLE, e))?;
    let key = edge.deployment.node.as_str();
    for _ in 0..MAX_LEASE_WRITES {
        let (expected, claims) = {
            let holders = edge.holders.borrow();
            let claims = holders.confirmed_claims().map(|(id, fence)| (id.clone(), fence));
            (holders.own_row().version(), claims.collect::<Vec<_>>())
        };
        let Some(expected) = expected else {
            if !read_nodes(edge).await? {
                return Ok(false);
            }
            continue;
        };
        let may_write = {
            let holders = edge.holders.borrow();
            released == holders.is_released() && (!released || holders.own_row().is_written())
        };
        if !may_write {
            return Ok(true);
        }
        let change =
            Change { table: NODES_TABLE, key, expected: Some(expected), value: Some(&value) };
        let conditions: Vec<_> = claims
            .iter()
            .map(|(id, fence)| Condition { table: HOLDERS_TABLE, key: id, version: *fence })
            .collect();
        let sent = BootClock.now();
        match commit(edge, &[change], &conditions).await? {
            Outcome::Done(version) => {
                let mut holders = edge.holders.borrow_mut();
                holders.on_row_written(version);
                if !released {
                    holders.on_renewed(sent, BootClock.now());
                }
                return Ok(true);
            }
            Outcome::Refused => {
                if !(read_nodes(edge).await? && read_holders(edge).await?) {
                    return Ok(false);
                }
            }
            Outcome::Unavailable(_) => return Ok(false),
        }
    }
    Ok(false)
}

async fn read_nodes(edge: &Edge) -> Result<bool> {
    let Outcome::Done(nodes) = read_all(edge, NODES_TABLE, CallMode::PLAIN).await? else {
        return Ok(false);
    };
    let now = BootClock.now();
    let node = |row: &Row| {
        let value: NodeValue = match serde_json::from_slice(&row.value) {
            Ok(value) => value,
            Err(e) => {
                log_unreadable(row, &Error::input(NODES_TABLE, e));
                return None;
            }
        };
        let name = Rc::from(row.key.as_str());
        let NodeValue { address, start, released } = value;
        Some(NodeRecord { name, address, start, released, version: row.version, seen: now })
    };
    let rows = nodes.rows.iter().filter_map(node).collect();
    let known = edge.holders.borrow().own_row().version();
    if let Some(loss) = edge.holders.borrow_mut().on_nodes(now, rows) {
        decision!("lease_lost", "row": format!("{loss:?}"), "version": known);
    }
    Ok(true)
}

async fn read_holders(edge: &Edge) -> Result<bool> {
    let sent = BootClock.now();
    let Outcome::Done(holders) = read_all(edge, HOLDERS_TABLE, CallMode::PLAIN).await? else {
        return Ok(false);
    };
    let now = BootClock.now();
    let holding = |row: &Row| {
        let value: HolderValue = match serde_json::from_slice(&row.value) {
            Ok(value) => value,
            Err(e) => {
                log_unreadable(row, &Error::input(HOLDERS_TABLE, e));
                return None;
            }
        };
        let node = Rc::from(value.node);
        let HolderValue { start, orders_from, .. } = value;
        let holding = HolderRecord { node, start, fence: row.version, orders_from };
        Some((Rc::from(row.key.as_str()), holding))
    };
    let rows = holders.rows.iter().filter_map(holding).collect();
    if let Some(clock) = holders.clock {
        edge.holders.borrow_mut().on_store_time(sent, now, clock);
    }
    edge.holders.borrow_mut().on_holders(now, rows);
    Ok(true)
}

async fn write_claim(edge: &Edge, claim: &HolderClaim) -> Result<bool> {
    let (node, orders_from) = (edge.deployment.node.clone(), claim.orders_from);
    let value = HolderValue { node, start: edge.start, orders_from };
    let value = serde_json::to_vec(&value).map_err(|e| Error::input(HOLDERS_TABLE, e))?;
    let change = Change {
        table: HOLDERS_TABLE,
        key: &claim.endpoint,
        expected: Some(claim.expected),
        value: Some(&value),
    };
    let former_lease = claim.former_lease.as_ref();
    let condition = former_lease.map(|(node, version)| Condition {
        table: NODES_TABLE,
        key: node,
        version: *version,
    });
    match commit(edge, &[change], condition.as_slice()).await? {
        Outcome::Done(_) => {
            let state = |node| edge.holders.borrow().lease_state(BootClock.now(), node);
            let former = former_lease.map(|(node, _)| (node.to_string(), state(node)));
            decision!("holder_claimed", "endpoint": &*claim.endpoint,
                "before": claim.expected, "pause_ms": claim.pause.0,
                "former": former.as_ref().map(|(node, _)| node),
                "lease": former.as_ref().map(|(_, state)| format!("{state:?}")));
            edge.holders.borrow_mut().on_claimed(claim);
            Ok(true)
        }
        _ => Ok(false),
    }
}

/// Removes the rows of endpoints that are gone.
async fn remove_old_rows(edge: &Edge, now: Ms) -> Result<()> {
    let due = {
        let table = edge.table.borrow();
        edge.holders.borrow_mut().due_removals(now, |id| table.get(id).is_some())
    };
    // During and after an outage of the store, entries may be missing of endpoints that are not
    // gone.
    let disturbed = edge.store_health.borrow().is_disturbed(now, UNLISTED_FOR);
    if due.is_empty() || disturbed || !edge.entries_read.get() {
        return Ok(());
    }
    let changes: Vec<Change<'_>> = due
        .iter()
        .map(|(id, version)| Change {
            table: HOLDERS_TABLE,
            key: id,
            expected: Some(*version),
            value: None,
        })
        .collect();
    if matches!(commit(edge, &changes, &[]).await?, Outcome::Done(_)) {
        edge.holders.borrow_mut().on_removed(&due);
        decision!("holder_rows_removed", "count": due.len());
    }
    Ok(())
}

fn engine_endpoints(edge: &Edge) -> Vec<Rc<str>> {
    let routing = edge.routing.borrow();
    let table = edge.table.borrow();
    let engine = |name: &str| routing.services.get(name).is_some_and(|s| s.engine.is_some());
    let usable = table.iter().filter(|e| e.usable() && engine(&e.entry.service));
    let mut ids: Vec<Rc<str>> = usable.map(|e| e.entry.id.clone()).collect();
    ids.sort();
    ids
}

/// The engines without a holder that is heard.
fn without_holder(edge: &Edge, mut engines: Vec<Rc<str>>) -> Vec<Rc<str>> {
    let table = edge.table.borrow();
    engines.retain(|id| table.get(id).is_some_and(|e| e.holder.is_none()));
    engines
}

/// Renews the lease if due, reads nodes and holders if needed, and claims endpoints without a
/// holder; false if the store was unavailable or refused a write.
async fn membership_round(
    edge: &Edge,
    renewed: &Cell<Ms>,
    skipped_reads: &Cell<u32>,
    read_era: &Cell<Option<u64>>,
) -> Result<bool> {
    let now = BootClock.now();
    // A restored store may have lost this node's row, and the claims of all.
    let restored = read_era.get() != edge.store_era.get();
    if now.since(renewed.get()) >= RENEW_INTERVAL || renewed.get() == Ms(0) || restored {
        if !write_lease(edge, false).await? {
            return Ok(false);
        }
        renewed.set(now);
    }
    let engines = engine_endpoints(edge);
    let unlisted_peers = edge.has_unlisted_peers(now);
    let unheld = !without_holder(edge, engines.clone()).is_empty();
    let unread = !edge.holders.borrow().holders_read();
    let read_due = engines.is_empty() || unread || restored || unlisted_peers || unheld;
    if !read_due && skipped_reads.get() < MAX_ROUNDS_UNREAD {
        skipped_reads.set(skipped_reads.get() + 1);
        return Ok(true);
    }
    let era = edge.store_era.get();
    if !(read_nodes(edge).await? && read_holders(edge).await?) {
        return Ok(false);
    }
    skipped_reads.set(0);
    read_era.set(era);
    // A stopping node keeps the endpoints it holds but claims no more.
    if *edge.stopping.borrow() {
        return Ok(true);
    }
    let now = BootClock.now();
    edge.holders.borrow_mut().note_engines(now, &engines);
    let all_heard = edge.hears_all_peers(now);
    let is_free = |id: &str| {
        let table = edge.table.borrow();
        all_heard && table.get(id).is_some_and(|e| e.holder.is_none())
    };
    let claims = edge.holders.borrow().due_claims(now, &engines, is_free);
    let counts = edge.holders.borrow().claim_counts(now, &engines);
    if counts.unheld > 0 {
        decision!("claims_due", "count": claims.len(), "unheld": counts.unheld,
            "held": counts.held, "share": counts.share);
    }
    for c in &claims {
        write_claim(edge, c).await?;
    }
    remove_old_rows(edge, now).await?;
    match claims.is_empty() {
        true => Ok(true),
        false => read_holders(edge).await,
    }
}

/// Renews the node's lease and claims endpoints without a holder.
pub(crate) async fn maintain_membership(edge: Rc<Edge>) {
    let dependency = Dependency::new(NODES_TABLE);
    let (renewed, skipped_reads) = (Cell::new(Ms(0)), Cell::new(MAX_ROUNDS_UNREAD));
    let read_era = Cell::new(None);
    let begun = BootClock.now();
    // The node's row is written first, so that nodes that start together read each other's.
    while BootClock.now().since(begun) < MAX_START_WAIT {
        match write_lease(&edge, false).await {
            Ok(true) => {
                renewed.set(BootClock.now());
                break;
            }
            Ok(false) => dependency.on_failure(&edge, "unavailable").await,
            Err(e) => dependency.on_failure(&edge, &e.to_string()).await,
        }
    }
    while engine_endpoints(&edge).is_empty() && BootClock.now().since(begun) < MAX_START_WAIT {
        sleep(START_POLL_INTERVAL).await;
    }
    loop {
        match membership_round(&edge, &renewed, &skipped_reads, &read_era).await {
            Ok(true) => dependency.on_success(),
            Ok(false) => dependency.on_failure(&edge, "unavailable").await,
            Err(e) => dependency.on_failure(&edge, &e.to_string()).await,
        }
        let now = BootClock.now();
        let unheld = without_holder(&edge, engine_endpoints(&edge));
        let incomplete = !unheld.is_empty() || edge.has_unlisted_peers(now);
        let starting = now.since(begun) < EARLY_PERIOD;
        let early = (starting && incomplete) || edge.holders.borrow().any_unclaimed(&unheld);
        let interval = if early { EARLY_INTERVAL } else { RENEW_INTERVAL.to_std() };
        // Ends early when an endpoint is new; several often appear together.
        if timeout(interval, edge.endpoint_added.notified()).await.is_ok() {
            sleep(Ms(rand::random_range(0..MAX_CLAIM_DELAY.0)).to_std()).await;
        }
    }
}

/// Gives up the lease and says so in the node's row, so that others take over its endpoints
/// without waiting for the lease to lapse.
pub(crate) async fn release_lease(edge: &Edge) {
    edge.holders.borrow_mut().release();
    match write_lease(edge, true).await {
        Ok(true) => decision!("lease_released", "start": edge.start),
        Ok(false) => log::warn!("the store did not take the lease's release; it lapses by itself"),
        Err(e) => log::warn!("releasing the lease failed; it lapses by itself: {e}"),
    }
}
