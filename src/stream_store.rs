//! Finds out which software version began a stream that a caller takes up, and writes down what
//! this node knows for others.
//!
//! A node that does not know a stream asks the other nodes, and then reads what all nodes have
//! written to the store, and which versions serve: it may have been out of step while a version
//! joined. Each node writes the streams that began through it in batches, to
//! rows that it uses in turn, so that the table needs no cleaning while nodes live.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http::{Request, StatusCode};
use http_body_util::Full;
use prost::Message;
use tokio::sync::Mutex;
use tokio::time::{Instant, sleep, timeout};

use crate::edge::{Edge, Peer};
use crate::error::{Error, Result};
use crate::generated::mesh as wire;
use crate::ids::Map;
use crate::log_sink::decision;
use crate::platform::entry;
use crate::platform::store::{Change, Outcome, Row};
use crate::read_schedule::ReadSchedule;
use crate::shared_limits::SILENT_AFTER;
use crate::store_calls::{Dependency, commit_part, log_unreadable, read_part, read_until_answered};
use crate::stream_origins::{Origin, StreamId};
use crate::time::{BootClock, Clock, Ms, wall_clock};

/// Table of the batches, and the partition that they share.
const TABLE: &str = "streams";
/// Shortest interval between batches of a node.
const WRITE_INTERVAL: Ms = Ms(250);
/// Part of the interval for each node, which bounds the writes of all nodes together.
const WRITE_INTERVAL_PER_NODE: Ms = Ms(10);
/// Most streams in a batch.
const BATCH_MAX: usize = 2_000;
/// Time limit for asking peers.
const PEER_LIMIT: Duration = Duration::from_millis(150);
/// Time limit for reading the batches.
const READ_LIMIT: Duration = Duration::from_millis(600);
/// Differences between clocks of nodes that the age of a batch allows for.
const CLOCK_SLACK: Ms = Ms::secs(10);
/// Age from which on batches, which only nodes that are gone leave behind, are removed.
const REMOVED_AFTER: Ms = Ms::secs(600);
/// Most batches removed at once.
const MAX_REMOVALS: usize = 50;
/// Prefix of the paths at which peers ask for streams.
pub(crate) const STREAM_PATH: &str = "/stream/";

/// What this node has read of the batches.
pub(crate) struct BatchReader {
    dependency: Dependency,
    /// When the last successful read began; `None` before the first one.
    read_at: Mutex<Option<Ms>>,
}

impl Default for BatchReader {
    fn default() -> Self {
        Self { dependency: Dependency::new(TABLE), read_at: Mutex::new(None) }
    }
}

/// The answer to a peer that asks for the stream at `path`; `None` if it is unknown.
pub(crate) fn encode_origin(edge: &Edge, path: &str) -> Option<Bytes> {
    let id = StreamId::from_str_radix(path, 16).ok()?;
    let streams = edge.streams.borrow();
    let origin = streams.origin(id)?;
    let (service, software) = (origin.service.to_string(), origin.software.to_string());
    Some(wire::StreamOrigin { service, software }.encode_to_vec().into())
}

async fn ask_peer(edge: &Edge, address: SocketAddr, id: StreamId) -> Result<Option<Origin>> {
    let mut request = Request::new(Full::new(Bytes::new()));
    let path = format!("{STREAM_PATH}{id:016x}");
    *request.uri_mut() = path.parse().map_err(|e| Error::input("stream", e))?;
    let deadline = Instant::now() + PEER_LIMIT;
    // A kept connection may be silent.
    let answer = edge.control_client.fetch_fresh(address, request, deadline).await;
    let answer = answer.map_err(|e| Error::io("peer", e))?;
    if answer.status != StatusCode::OK {
        return Ok(None);
    }
    let origin = wire::StreamOrigin::decode(answer.body).map_err(|e| Error::io("peer", e))?;
    Ok(Some(Origin { service: origin.service.into(), software: origin.software.into() }))
}

/// What the peers know of a stream.
#[derive(Debug)]
enum PeerAnswer {
    Known(Origin),
    /// All nodes that may know it have answered.
    Unknown,
    /// A node that may know it has not answered.
    Unsure,
}

/// Asks the peers that are heard; the first one that knows the stream decides.
async fn ask_peers(edge: &Edge, id: StreamId) -> PeerAnswer {
    let now = BootClock.now();
    let lifetime = edge.streams.borrow().lifetime();
    let (mut asked, mut is_sure) = {
        let peers = edge.peers.borrow();
        let age = |p: &Peer| now.since(p.last_beat);
        let heard = peers.values().filter(|p| age(p) < SILENT_AFTER);
        let asked: FuturesUnordered<_> = heard.map(|p| ask_peer(edge, p.address, id)).collect();
        let any_silent = peers.values().any(|p| (SILENT_AFTER..lifetime).contains(&age(p)));
        let counts = edge.node_counts(now);
        (asked, !any_silent && counts.heard == counts.nodes)
    };
    while let Some(answer) = asked.next().await {
        match answer {
            Ok(Some(origin)) => return PeerAnswer::Known(origin),
            Ok(None) => {}
            Err(e) => {
                log::debug!("asking a peer for stream {id:016x} failed: {e}");
                is_sure = false;
            }
        }
    }
    if is_sure { PeerAnswer::Unknown } else { PeerAnswer::Unsure }
}

/// Takes over the streams and versions of a batch; false if it is so old that its node is gone.
fn learn_batch(edge: &Edge, row: &Row, now: Ms) -> bool {
    let batch = match wire::StreamBatch::decode(row.value.as_slice()) {
        Ok(batch) => batch,
        Err(e) => {
            log_unreadable(row, &Error::input(TABLE, e));
            return true;
        }
    };
    let age = wall_clock().since(Ms(batch.at));
    let mut streams = edge.streams.borrow_mut();
    if age < streams.lifetime() + CLOCK_SLACK {
        for begun in batch.begun {
            let origin = Origin { service: begun.service.into(), software: begun.software.into() };
            // An age that is too large by the slack must not make the version look gone.
            streams.observe(&origin, now - age.since(CLOCK_SLACK));
            for id in begun.streams {
                streams.learn(id, &origin, now);
            }
        }
    }
    age < REMOVED_AFTER
}

/// Takes over which versions serve by the endpoints' entries, also of those that leave.
fn learn_versions(edge: &Edge, rows: &[Row], now: Ms) {
    let mut streams = edge.streams.borrow_mut();
    // Entries that cannot be decoded name no version; `follow_entries` logs them.
    for entry in rows.iter().filter_map(|row| entry::decode(&row.key, &row.value).ok()) {
        streams.observe(&entry.origin(), now);
    }
}

/// Reads the batches of all nodes and the versions that serve, unless that has been done since `arrived`.
async fn read_batches(edge: &Edge, arrived: Ms) -> Result<()> {
    let reader = &edge.batch_reader;
    let mut read_at = reader.read_at.lock().await;
    if read_at.is_some_and(|at| at >= arrived) {
        return Ok(());
    }
    let begun = BootClock.now();
    let schedule = ReadSchedule::of_documents(&edge.deployment.bounds).without_wait();
    let read = |table: &'static str, part: &'static str| {
        read_until_answered(edge, &reader.dependency, &schedule, move |mode| {
            read_part(edge, table, part, mode)
        })
    };
    let (rows, entries) = match tokio::try_join!(read(TABLE, TABLE), read(entry::TABLE, ""))? {
        (Outcome::Done(rows), Outcome::Done(entries)) => (rows.rows, entries.rows),
        (rows, _) => return Err(Error::platform(TABLE, format!("{rows:?}"))),
    };
    reader.dependency.on_success();
    learn_versions(edge, &entries, begun);
    let old: Vec<&Row> = rows.iter().filter(|row| !learn_batch(edge, row, begun)).collect();
    *read_at = Some(begun);
    remove_batches(edge, &old).await
}

async fn remove_batches(edge: &Edge, old: &[&Row]) -> Result<()> {
    let mut changes = Vec::new();
    for row in old.iter().take(MAX_REMOVALS) {
        let expected = Some(row.version);
        changes.push(Change { table: TABLE, key: &row.key, expected, value: None });
    }
    if !changes.is_empty() {
        commit_part(edge, TABLE, &changes, &[]).await?;
    }
    Ok(())
}

/// How the version that began a stream is known; the names appear in the log of requests.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Source {
    /// The stream began at this node, or it was known before.
    Known,
    /// A peer knows it.
    Peer,
    /// The store holds it.
    Store,
    /// Only one version has served within the lifetime of a stream.
    OnlyVersion,
}

/// Finds out where a stream of a service began; `None` if that cannot be known.
pub(crate) async fn find_origin(
    edge: &Edge,
    id: StreamId,
    service: &str,
) -> Option<(Origin, Source)> {
    let known = |edge: &Edge| edge.streams.borrow().origin(id).cloned();
    if let Some(origin) = known(edge) {
        return Some((origin, Source::Known));
    }
    let arrived = BootClock.now();
    let asked = ask_peers(edge, id).await;
    if let PeerAnswer::Known(origin) = asked {
        return Some((origin, Source::Peer));
    }
    let is_failing = edge.store_health.borrow().is_failing();
    let was_read = !is_failing
        && match timeout(READ_LIMIT, read_batches(edge, arrived)).await {
            Ok(Ok(())) => true,
            Ok(Err(e)) => {
                log::warn!("reading the streams of other nodes failed: {e}");
                false
            }
            Err(_) => false,
        };
    if let Some(origin) = known(edge) {
        return Some((origin, Source::Store));
    }
    let now = BootClock.now();
    let streams = edge.streams.borrow();
    // Without the store, what nodes knew that are gone is lost.
    let all_asked = matches!(asked, PeerAnswer::Unknown);
    let is_sure = was_read || (streams.has_seen_all(now) && all_asked);
    let only = streams.only_version(now, service).filter(|_| is_sure);
    decision!("stream_not_found", "stream": format!("{id:016x}"), "service": service,
        "versions": streams.versions_of(now, service), "only": only.map(|o| &*o.software),
        "store_read": was_read, "all_asked": all_asked, "seen_all": streams.has_seen_all(now));
    only.map(|origin| (origin.clone(), Source::OnlyVersion))
}

fn encode_batch(streams: &[(StreamId, Origin)]) -> Vec<u8> {
    let mut begun: Map<&Origin, Vec<StreamId>> = Map::default();
    for (id, origin) in streams {
        begun.entry(origin).or_default().push(*id);
    }
    let begun = begun.into_iter().map(|(origin, streams)| wire::BegunStreams {
        service: origin.service.to_string(),
        software: origin.software.to_string(),
        streams,
    });
    wire::StreamBatch { at: wall_clock().0, begun: begun.collect() }.encode_to_vec()
}

/// Writes the streams that began through this node to the store while several versions of their
/// service serve.
pub(crate) async fn write_streams(edge: Rc<Edge>) {
    let dependency = Dependency::new(TABLE);
    let (mut batches, mut any_written) = (0_u64, false);
    loop {
        let now = BootClock.now();
        let nodes = edge.node_counts(now).nodes as u64;
        let interval = WRITE_INTERVAL.max(Ms(WRITE_INTERVAL_PER_NODE.0 * nodes));
        sleep(interval.to_std()).await;
        let streams = edge.streams.borrow().unwritten(BootClock.now(), BATCH_MAX);
        if streams.is_empty() {
            continue;
        }
        // A row is used again once nobody can take up the streams in it.
        let rows = edge.streams.borrow().lifetime().0.div_ceil(interval.0) + 1;
        let (node, start) = (&edge.deployment.node, edge.start);
        let key = format!("{node}/{start}/{:04}", batches % rows);
        // A write without an answer may take effect after the next one, which holds more streams.
        batches += 1;
        let value = encode_batch(&streams);
        let change = Change { table: TABLE, key: &key, expected: None, value: Some(&value) };
        match commit_part(&edge, TABLE, &[change], &[]).await {
            Ok(Outcome::Done(_)) => {
                dependency.on_success();
                edge.streams.borrow_mut().on_written(streams.iter().map(|(id, _)| *id));
                if !std::mem::replace(&mut any_written, true) {
                    decision!("streams_written", "count": streams.len(), "key": key);
                }
            }
            Ok(outcome) => dependency.on_failure(&edge, &format!("{outcome:?}")).await,
            Err(e) => dependency.on_failure(&edge, &e.to_string()).await,
        }
    }
}
