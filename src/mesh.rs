//! Datagrams between edge nodes.
//!
//! A beat is a heartbeat that a node sends to all others. It carries the endpoints that the
//! sender holds, its requests at each endpoint, the usage of the team limits and the endpoints
//! known to be leaving. A want asks the holder of an endpoint for an adapter; the holder answers
//! with a `placed` message. A lost datagram is replaced by the next beat or want.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use prost::Message;
use tokio::time::sleep;

use crate::edge::{Edge, EncodedEntry, Peer};
use crate::endpoint_limits::{END_REPORTED_FOR, EndpointLimit};
use crate::endpoint_table::RequestLoad;
use crate::generated::mesh as wire;
use crate::ids::{Map, stable_hash};
use crate::log_sink::decision;
use crate::order_planner::AdapterDemand;
use crate::shared_limits::{BEAT_INTERVAL, LimitUsage, SILENT_AFTER};
use crate::stream_origins::Origin;
use crate::time::{BootClock, Clock, Ms};

/// Largest datagram received.
const MAX_DATAGRAM_BYTES: usize = 60 << 10;
/// Time after its last beat in which a node that is not on the store's list gets beats.
const UNLISTED_PEER_FOR: Ms = Ms::secs(3);
/// Time for which beats list a leaving endpoint.
const LEAVING_LISTED_FOR: Ms = Ms::secs(10);

/// Sends a datagram to one node without waiting; errors are only logged.
fn send(edge: &Edge, to: SocketAddr, datagram: &wire::Datagram) {
    let bytes = datagram.encode_to_vec();
    if let Err(e) = edge.socket.try_send_to(&bytes, to) {
        log::debug!("cannot send a datagram to {to}: {e}");
    }
}

fn new_datagram(edge: &Edge) -> wire::Datagram {
    let node = edge.deployment.node.clone();
    wire::Datagram { node, start: edge.start, ..wire::Datagram::default() }
}

/// Name of an adapter in a beat: without the model if that is the endpoint's first one.
fn shorten_name(model: Option<&Rc<str>>, name: &str) -> String {
    let rest = model.and_then(|m| name.strip_prefix(&**m));
    rest.filter(|r| r.starts_with('/')).unwrap_or(name).to_owned()
}

/// Full name of an adapter in a beat; the inverse of [`shorten_name`].
fn expand_name(model: Option<&Rc<str>>, name: &str) -> Rc<str> {
    match model.filter(|_| name.starts_with('/')) {
        Some(model) => Rc::from(format!("{model}{name}")),
        None => Rc::from(name),
    }
}

fn held_endpoints(edge: &Edge) -> Vec<wire::Owned> {
    let kept = edge.held.borrow();
    kept.iter()
        .map(|(id, k)| wire::Owned {
            endpoint: id.to_string(),
            held: k
                .planner
                .loaded()
                .map(|(name, version)| wire::Adapter {
                    name: shorten_name(k.planner.models.first(), name),
                    version,
                })
                .collect(),
            models: k.planner.models.iter().map(ToString::to_string).collect(),
            waiting: k.planner.backlog().0 as u32,
        })
        .collect()
}

/// Hash of an endpoint's ID, which stands for it in beats.
fn id_digest(id: &str) -> u32 {
    stable_hash(&[id]) as u32
}

fn request_loads(edge: &Edge) -> Vec<wire::Load> {
    let table = edge.table.borrow();
    let busy = table.iter().filter(|e| e.own_load.running > 0);
    busy.map(|e| wire::Load {
        endpoint: id_digest(&e.entry.id),
        running: e.own_load.running,
        unread: e.own_load.unread.max(0.0) as u32,
        memory: e.own_load.memory.max(0.0) as u32,
    })
    .collect()
}

/// Adapters used since the last beat, by the holder of their endpoint. Removes those that are
/// no longer in use.
fn collect_uses(edge: &Edge) -> Map<Rc<str>, Vec<wire::Use>> {
    let mut in_use = edge.adapter_uses.borrow_mut();
    let table = edge.table.borrow();
    let mut uses: Map<Rc<str>, Vec<wire::Use>> = Map::default();
    for (id, set) in in_use.iter() {
        let Some(e) = table.get(id) else { continue };
        let Some(holder) = e.holder.clone() else { continue };
        let adapters = set.keys().map(|a| shorten_name(e.entry.models.first(), a)).collect();
        uses.entry(holder).or_default().push(wire::Use { endpoint: id.to_string(), adapters });
    }
    in_use.retain(|_, set| {
        set.retain(|_, n| *n > 0);
        !set.is_empty()
    });
    uses
}

/// Rate limits that endpoints state, and this node's requests under them.
fn stated_limits(edge: &Edge, now: Ms) -> Vec<wire::Limited> {
    let (table, limits) = (edge.table.borrow(), edge.endpoint_limits.borrow());
    let reported = table.iter().filter_map(|e| {
        let stated = e.stated_limit?;
        let age = now.since(stated.heard);
        (stated.rate.is_some() || age < END_REPORTED_FOR).then_some((e, stated, age))
    });
    reported
        .map(|(e, stated, age)| {
            let usage = limits.usage_of(now, &e.entry.id);
            wire::Limited {
                endpoint: id_digest(&e.entry.id),
                per_s: stated.rate,
                age: u32::try_from(age.0).unwrap_or(u32::MAX),
                sent: usage.tokens,
                asked: usage.demand_rate,
            }
        })
        .collect()
}

/// Takes over what a peer knows of endpoints' rate limits and has sent under them.
fn on_stated_limits(
    edge: &Edge,
    now: Ms,
    (name, start): (&Rc<str>, u64),
    limited: &[wire::Limited],
) {
    let counts = edge.node_counts(now);
    for l in limited {
        let id = {
            let table = edge.table.borrow();
            table.iter().map(|e| e.entry.id.clone()).find(|id| id_digest(id) == l.endpoint)
        };
        let Some(id) = id else { continue };
        edge.record_limit(&id, now - Ms(u64::from(l.age)), l.per_s, name);
        let limit = edge.table.borrow().get(&id).and_then(EndpointLimit::of);
        let mut limits = edge.endpoint_limits.borrow_mut();
        limits.add(now, limit.iter());
        let usage = LimitUsage { tokens: l.sent, demand_rate: l.asked };
        limits.on_beat(now, counts, (name, start), &id, usage);
    }
}

/// Software versions of services of which several have served recently.
fn seen_software(edge: &Edge, now: Ms) -> Vec<wire::SeenSoftware> {
    let streams = edge.streams.borrow();
    let mixed = streams.mixed(now);
    mixed
        .map(|(origin, age)| wire::SeenSoftware {
            service: origin.service.to_string(),
            software: origin.software.to_string(),
            age: u32::try_from(age.0).unwrap_or(u32::MAX),
        })
        .collect()
}

fn build_beat(edge: &Edge, now: Ms) -> wire::Beat {
    let limits = edge.team_limits.borrow();
    let spent = limits.usage(now).map(|(team, s)| wire::Spent {
        team: team.to_string(),
        tokens: s.tokens,
        asked: s.demand_rate,
    });
    let departures = edge.departures.borrow();
    let leaving = departures.recent(now, LEAVING_LISTED_FOR);
    let (leaving, leaving_versions) =
        leaving.map(|(id, version)| (id.to_string(), version)).unzip();
    wire::Beat {
        config: edge.routing.borrow().version,
        owned: held_endpoints(edge),
        loads: request_loads(edge),
        spent: spent.collect(),
        uses: Vec::new(),
        leaving,
        draining: *edge.stopping.borrow(),
        leaving_versions,
        limited: stated_limits(edge, now),
        store_era: edge.store_era.get(),
        restored_age: edge.restored_at.get().and_then(|at| u32::try_from(now.since(at).0).ok()),
        announced: departures
            .announced()
            .map(|(id, start)| wire::Announced { endpoint: id.to_string(), start })
            .collect(),
        software: seen_software(edge, now),
    }
}

/// Path at which peers read the state that this node has from the store.
pub(crate) const STATE_PATH: &str = "/state";

/// Encodes the configuration document and the entries of endpoints that have not left, for a
/// peer.
pub(crate) fn encode_state(edge: &Edge) -> Vec<u8> {
    let (entries, departures) = (edge.entries.borrow(), edge.departures.borrow());
    let stays = |(id, _): &(&Rc<str>, &EncodedEntry)| !departures.contains(id);
    let entry = |(id, e): (&Rc<str>, &EncodedEntry)| wire::Entry {
        endpoint: id.to_string(),
        value: e.value.clone(),
        version: e.version,
    };
    let document = edge.document.borrow().clone();
    let entries = entries.iter().filter(stays).map(entry).collect();
    wire::State { document, entries }.encode_to_vec()
}

/// Nodes to send beats to: those on the store's list, those heard recently and, until a list
/// has been read, the seed nodes of the settings.
fn beat_targets(edge: &Edge, now: Ms) -> Vec<SocketAddr> {
    let holders = edge.holders.borrow();
    let own = &*edge.deployment.node;
    let live = holders.live_nodes(now).filter(|n| *n.name != *own).map(|n| n.address);
    let peers = edge.peers.borrow();
    let heard =
        peers.values().filter(|p| now.since(p.last_beat) < UNLISTED_PEER_FOR).map(|p| p.address);
    let mut all: Vec<SocketAddr> = live.chain(heard).collect();
    if !holders.nodes_read {
        let port = *edge.deployment.listen.ports.start();
        all.extend(edge.deployment.seeds.iter().map(|ip| SocketAddr::from((*ip, port))));
    }
    all.sort_unstable();
    all.dedup();
    all
}

/// Removes silent nodes as holders, because they load nothing for this node.
fn remove_silent_holders(edge: &Edge, now: Ms) {
    let peers = edge.peers.borrow();
    let own = &*edge.deployment.node;
    for e in edge.table.borrow_mut().iter_mut() {
        let Some(holder) = e.holder.clone().filter(|h| **h != *own) else { continue };
        if peers.get(&holder).is_none_or(|p| now.since(p.last_beat) > SILENT_AFTER) {
            decision!("holder_silent", "endpoint": &*e.entry.id, "holder": &*holder);
            e.holder = None;
        }
    }
}

/// Sends beats at a fixed interval.
pub(crate) async fn send_beats(edge: Rc<Edge>) {
    loop {
        sleep(BEAT_INTERVAL.to_std()).await;
        let now = BootClock.now();
        remove_silent_holders(&edge, now);
        let mut datagram = new_datagram(&edge);
        datagram.beat = Some(build_beat(&edge, now));
        edge.crash_watch.write_datagram(now, &mut datagram);
        let uses: Map<SocketAddr, Vec<wire::Use>> = {
            let peers = edge.peers.borrow();
            let by_holder = collect_uses(&edge).into_iter();
            by_holder.filter_map(|(name, uses)| Some((peers.get(&name)?.address, uses))).collect()
        };
        for to in beat_targets(&edge, now) {
            if let Some(beat) = &mut datagram.beat {
                beat.uses = uses.get(&to).cloned().unwrap_or_default();
            }
            send(&edge, to, &datagram);
        }
    }
}

/// Sends this node's evidence of crashes to all others.
pub(crate) fn send_evidence(edge: &Edge, now: Ms) {
    let mut datagram = new_datagram(edge);
    edge.crash_watch.write_datagram(now, &mut datagram);
    for to in beat_targets(edge, now) {
        send(edge, to, &datagram);
    }
}

/// Asks the holder of an endpoint for an adapter that requests wait for.
pub(crate) fn send_want(edge: &Edge, holder: &str, id: &str, demand: &AdapterDemand<'_>) {
    let address = edge.peers.borrow().get(holder).map(|p| p.address);
    let Some(address) = address else { return };
    let mut datagram = new_datagram(edge);
    datagram.wants.push(wire::Want {
        endpoint: id.to_owned(),
        adapter: demand.adapter.to_string(),
        version: demand.version.unwrap_or(0),
        waiters: demand.waiters,
    });
    send(edge, address, &datagram);
}

/// Tells a node whether an adapter is loaded. With `done` unset, this node does not hold the
/// endpoint.
pub(crate) fn send_placed(
    edge: &Edge,
    to: SocketAddr,
    id: &str,
    adapter: &str,
    version: u64,
    done: bool,
) {
    let mut datagram = new_datagram(edge);
    let (endpoint, adapter) = (id.to_owned(), adapter.to_owned());
    datagram.placed.push(wire::Placed { endpoint, adapter, version, done });
    send(edge, to, &datagram);
}

/// Receives and handles datagrams.
pub(crate) async fn receive_datagrams(edge: Rc<Edge>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match edge.socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(e) => {
                log::debug!("cannot receive a datagram: {e}");
                sleep(Duration::from_millis(10)).await;
                continue;
            }
        };
        match wire::Datagram::decode(&buffer[..length]) {
            Ok(datagram) => on_datagram(&edge, from, datagram),
            Err(e) => log::warn!("cannot decode a datagram from {from}: {e}"),
        }
    }
}

fn on_datagram(edge: &Rc<Edge>, from: SocketAddr, datagram: wire::Datagram) {
    let now = BootClock.now();
    let name: Rc<str> = Rc::from(datagram.node.as_str());
    if *name == *edge.deployment.node {
        return;
    }
    if let Some(beat) = &datagram.beat {
        on_beat(edge, now, &name, from, datagram.start, beat);
    }
    edge.crash_watch.read_datagram(edge, now, &name, &datagram);
    for want in &datagram.wants {
        on_want(edge, now, &name, from, want);
    }
    for placed in datagram.placed {
        on_placed(edge, &name, &placed);
    }
}

fn on_beat(edge: &Edge, now: Ms, name: &Rc<str>, from: SocketAddr, start: u64, beat: &wire::Beat) {
    let old = edge.peers.borrow_mut().insert(
        name.clone(),
        Peer { address: from, start, last_beat: now, config_version: beat.config },
    );
    if old.is_none_or(|p| p.start != start) {
        decision!("peer_joined", "peer": &**name, "start": start, "config": beat.config);
    }
    // A node that has not read from the store yet learns its era from there.
    if let Some(era) = beat.store_era.filter(|_| edge.store_era.get().is_some()) {
        edge.observe_era(era, name);
    }
    if let Some(age) = beat.restored_age.filter(|_| beat.store_era == edge.store_era.get()) {
        edge.on_restore_told(now - Ms(u64::from(age)));
    }
    let counts = edge.node_counts(now);
    for spent in &beat.spent {
        let mut limits = edge.team_limits.borrow_mut();
        limits.on_beat(
            now,
            counts,
            (name, start),
            &spent.team,
            LimitUsage { tokens: spent.tokens, demand_rate: spent.asked },
        );
    }
    on_stated_limits(edge, now, (name, start), &beat.limited);
    {
        let mut table = edge.table.borrow_mut();
        for e in table.iter_mut() {
            e.peer_loads.remove(name);
            if e.holder.as_ref() == Some(name)
                && !beat.owned.iter().any(|o| *o.endpoint == *e.entry.id)
            {
                e.holder = None;
            }
        }
        let loads: Map<u32, &wire::Load> = beat.loads.iter().map(|l| (l.endpoint, l)).collect();
        for e in table.iter_mut() {
            let Some(load) = loads.get(&id_digest(&e.entry.id)) else { continue };
            let (unread, memory) = (f64::from(load.unread), f64::from(load.memory));
            e.peer_loads
                .insert(name.clone(), (RequestLoad { running: load.running, unread, memory }, now));
        }
        for owned in &beat.owned {
            let Some(e) = table.get_mut(&owned.endpoint) else { continue };
            e.holder = Some(name.clone());
            e.queued_loads = owned.waiting;
            let model = owned.models.first().map(|m| Rc::from(m.as_str()));
            let next = owned.held.iter().map(|a| (expand_name(model.as_ref(), &a.name), a.version));
            let old = std::mem::replace(&mut e.loaded, next.collect());
            for adapter in old.into_keys() {
                if !e.loaded.contains_key(&adapter) {
                    e.reloadable.insert(adapter, now);
                }
            }
            if !owned.models.is_empty() {
                e.entry.models = owned.models.iter().map(|m| Rc::from(m.as_str())).collect();
            }
        }
    }
    for used in &beat.uses {
        if let Some(k) = edge.held.borrow_mut().get_mut(used.endpoint.as_str()) {
            let model = k.planner.models.first().cloned();
            for adapter in &used.adapters {
                k.planner.record_use(now, &expand_name(model.as_ref(), adapter), None);
            }
        }
    }
    for (id, version) in beat.leaving.iter().zip(&beat.leaving_versions) {
        edge.mark_leaving(&Rc::from(id.as_str()), name, *version);
    }
    for s in &beat.software {
        let (service, software) = (s.service.as_str().into(), s.software.as_str().into());
        let at = now - Ms(u64::from(s.age));
        edge.streams.borrow_mut().observe(&Origin { service, software }, at);
    }
    for a in &beat.announced {
        edge.mark_announced(&Rc::from(a.endpoint.as_str()), a.start, name);
    }
}

fn on_want(edge: &Edge, now: Ms, node: &str, from: SocketAddr, want: &wire::Want) {
    let adapter: Rc<str> = Rc::from(want.adapter.as_str());
    // A node without the store may not know the newest version.
    let version = Some(want.version).filter(|v| *v > 0).max(edge.adapter_version(&adapter));
    let mut kept = edge.held.borrow_mut();
    let Some(k) = kept.get_mut(want.endpoint.as_str()) else {
        drop(kept);
        send_placed(edge, from, &want.endpoint, &adapter, want.version, false);
        return;
    };
    if k.planner.request_load(
        now,
        &AdapterDemand { adapter: &adapter, version, node, waiters: want.waiters },
    ) {
        drop(kept);
        send_placed(edge, from, &want.endpoint, &adapter, version.unwrap_or(0), true);
        return;
    }
    let askers = k.waiting_nodes.entry(adapter).or_default();
    if !askers.contains(&from) {
        askers.push(from);
    }
    k.wake.notify_one();
}

fn on_placed(edge: &Edge, from: &Rc<str>, placed: &wire::Placed) {
    let mut table = edge.table.borrow_mut();
    let Some(e) = table.get_mut(&placed.endpoint) else { return };
    let adapter: Rc<str> = Rc::from(placed.adapter.as_str());
    if placed.done {
        e.loaded.insert(adapter, placed.version);
    } else if e.holder.as_ref() == Some(from) {
        e.holder = None;
    }
    drop(table);
    edge.adapter_changes.notify_waiters();
}
