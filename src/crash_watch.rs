//! Relates crashes of endpoints to the requests that were in flight there, and refuses requests
//! with a feature that makes endpoints crash.
//!
//! A connection that breaks before its answer is complete makes the node test whether the
//! endpoint still accepts connections. If not, or if the endpoint soon turns out to have been
//! replaced, it has crashed: the node tells its
//! peers which features its requests there had, and each node decides on the merged evidence
//! (`crash_evidence`). Causes are quarantined in the whole fleet: nodes tell each other by
//! datagram, and `quarantine_store` keeps them in the platform's store.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use http::request;
use tokio::sync::{Notify, oneshot};
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::connection::refuses_connections;
use crate::crash_evidence::{Crash, CrashCause, CrashEvidence, Feature};
use crate::edge::Edge;
use crate::failpoint::{Failpoint, active};
use crate::generated::mesh as wire;
use crate::ids::{Map, stable_hash};
use crate::log_sink::decision;
use crate::mesh;
use crate::platform::headers::RequestHeaders;
use crate::quarantine_list::{DEFAULT_EXPIRY, QuarantineEntry, QuarantineList};
use crate::routing::Team;
use crate::time::{BootClock, Clock, Ms};

/// Time for which a node repeats its own evidence of a crash in its datagrams.
const SHARED_FOR: Ms = Ms(1_000);
/// Time for which a broken connection counts as evidence if the endpoint turns out to have
/// crashed, and for which a crashed process is remembered.
const BROKEN_KEPT_FOR: Ms = Ms::secs(10);
/// Interval at which new evidence is sent and weighed.
const WEIGH_INTERVAL: Duration = Duration::from_millis(20);
/// Time without new evidence after which it is not weighed again.
const WEIGHED_FOR: Ms = Ms(500);
/// Most features of crashes in a datagram, the newest crashes first; at 9 bytes each they leave
/// room for a heartbeat.
const MAX_SHARED_FEATURES: usize = 2_000;
/// Most quarantine entries in a datagram; nodes read the others from the store.
const MAX_SHARED_ENTRIES: usize = 64;
/// Most suspects named in a log line.
const MAX_LOGGED_SUSPECTS: usize = 32;

/// Features of the requests whose connections to one process of an endpoint broke.
#[derive(Debug)]
struct BrokenRequests {
    process: u64,
    at: Ms,
    features: Vec<Feature>,
}

/// A request that was sent and has no answer yet. Its sender is told when it is quarantined.
struct WaitingRequest {
    features: Rc<[Feature]>,
    cancel: oneshot::Sender<()>,
}

/// What this node knows of crashes and their causes.
#[derive(Default)]
pub(crate) struct CrashWatch {
    evidence: RefCell<CrashEvidence>,
    quarantine: RefCell<QuarantineList>,
    /// When features were last lifted. An entry that began before must not come back from a peer
    /// that has not learned of the lift.
    lifts: RefCell<Map<u64, Ms>>,
    /// Broken requests by endpoint, until it is known whether the endpoint crashed.
    broken: RefCell<Map<Rc<str>, BrokenRequests>>,
    /// Processes that crashed, with the time at which this was learned.
    crashed: RefCell<Map<u64, Ms>>,
    /// Crashes with the features of this node's requests, and when each was last added to.
    own_crashes: RefCell<Vec<(Crash, Ms)>>,
    waiting: RefCell<Map<u64, WaitingRequest>>,
    last_number: Cell<u64>,
    /// Time of the last new evidence.
    last_evidence: Cell<Ms>,
    /// Whether evidence of this node has not been sent yet.
    unsent: Cell<bool>,
    weigh: Notify,
    /// Wakes the task that keeps the quarantine in the store.
    pub(crate) list_changed: Notify,
}

/// The features of a request. The last part of its prompt is its own and no feature.
pub(crate) fn features_of(
    head: &request::Parts,
    parsed: &RequestHeaders,
    team: Option<&Team>,
    body: &[u8],
) -> Rc<[Feature]> {
    let shared = parsed.prompt_parts.split_last().map_or(&[][..], |(_, shared)| shared);
    let team = team.map_or("", |t| &*t.name);
    let path = head.uri.path_and_query().map_or("", |p| p.as_str());
    let model = parsed.model.as_deref().unwrap_or_default();
    // Requests of streams often differ in the parts of their prompts only.
    let prompt: Vec<u8> = parsed.prompt_parts.iter().flat_map(|p| p.id.to_be_bytes()).collect();
    let method = head.method.as_str();
    let words = [team, method, path, model].map(str::as_bytes);
    let words: Vec<&[u8]> = words.into_iter().chain([&*prompt, body]).collect();
    let whole = Feature { id: stable_hash(&words), depth: Feature::WHOLE_REQUEST };
    let parts = shared.iter().zip(0..Feature::WHOLE_REQUEST);
    parts.map(|(p, depth)| Feature { id: p.id, depth }).chain([whole]).collect()
}

fn hex(id: u64) -> String {
    format!("{id:016x}")
}

impl CrashWatch {
    /// The first of the features that is quarantined, and the time until its entry expires.
    pub(crate) fn quarantined(&self, now: Ms, features: &[Feature]) -> Option<(Feature, Ms)> {
        if active(Failpoint::SkipQuarantine) {
            return None;
        }
        let list = self.quarantine.borrow();
        let entry = |f: &Feature| list.get(now, f.id).map(|e| (*f, e.expiry.since(now)));
        features.iter().find_map(entry)
    }

    /// Registers a request that has been sent. The receiver resolves when the request is to be
    /// cancelled because one of its features was quarantined.
    pub(crate) fn on_sent(&self, features: &Rc<[Feature]>) -> (u64, oneshot::Receiver<()>) {
        let (cancel, cancelled) = oneshot::channel();
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        let request = WaitingRequest { features: features.clone(), cancel };
        self.waiting.borrow_mut().insert(number, request);
        (number, cancelled)
    }

    /// Records that the head of a request's answer arrived, or that the request ended.
    pub(crate) fn on_head(&self, number: u64) {
        self.waiting.borrow_mut().remove(&number);
    }

    /// Records that an endpoint answered a request completely, which clears its features.
    pub(crate) fn on_completed(&self, features: &[Feature]) {
        let now = BootClock.now();
        let mut evidence = self.evidence.borrow_mut();
        for f in features {
            evidence.on_completed(now, *f);
            if self.quarantine.borrow().get(now, f.id).is_some() {
                self.lift(now, f.id, "a request with it completed");
            }
        }
    }

    /// Removes a feature from the quarantine.
    pub(crate) fn lift(&self, now: Ms, feature: u64, why: &str) {
        let mut lifts = self.lifts.borrow_mut();
        lifts.retain(|_, at| now.since(*at) < DEFAULT_EXPIRY);
        lifts.insert(feature, now);
        drop(lifts);
        if self.quarantine.borrow_mut().lift(now, feature) {
            decision!("quarantine_lifted", "feature": hex(feature), "evidence": why);
            self.list_changed.notify_one();
        }
    }

    /// Whether a feature is not quarantined because its entry was lifted here.
    pub(crate) fn is_lifted(&self, now: Ms, feature: u64) -> bool {
        self.lifts.borrow().contains_key(&feature)
            && self.quarantine.borrow().get(now, feature).is_none()
    }

    /// Entries in force.
    pub(crate) fn entries(&self, now: Ms) -> Vec<QuarantineEntry> {
        self.quarantine.borrow_mut().expire(now);
        self.quarantine.borrow().entries(now).cloned().collect()
    }

    /// Adds an entry that a peer or the store has; `source` names it in the log.
    pub(crate) fn merge(&self, edge: &Edge, now: Ms, entry: QuarantineEntry, source: &str) {
        let feature = entry.fingerprint;
        if self.quarantine.borrow_mut().merge(now, entry) {
            self.on_quarantined(edge, now, feature, source);
        }
    }

    fn on_cause(&self, edge: &Edge, now: Ms, cause: CrashCause) {
        let what = match cause.feature.depth {
            Feature::WHOLE_REQUEST => "this request",
            _ => "requests with this prompt part",
        };
        let reason = format!("{} crashes of endpoints that ran {what}", cause.crashes);
        let fingerprint = cause.feature.id;
        let entry = QuarantineEntry { fingerprint, reason, expiry: now + DEFAULT_EXPIRY };
        self.quarantine.borrow_mut().add(entry);
        self.on_quarantined(edge, now, fingerprint, "own evidence");
    }

    /// Logs a new entry and cancels the requests that it applies to and that have no answer yet.
    fn on_quarantined(&self, edge: &Edge, now: Ms, feature: u64, source: &str) {
        self.evidence.borrow_mut().explain(feature);
        let applies = |r: &WaitingRequest| r.features.iter().any(|f| f.id == feature);
        let mut waiting = self.waiting.borrow_mut();
        let due: Vec<u64> =
            waiting.iter().filter(|(_, r)| applies(r)).map(|(number, _)| *number).collect();
        for number in &due {
            // The receiver is gone if the request has ended meanwhile.
            let _ = waiting.remove(number).map(|r| r.cancel.send(()));
        }
        let list = self.quarantine.borrow();
        let reason = list.get(now, feature).map(|e| e.reason.as_str()).unwrap_or_default();
        decision!("quarantined", "feature": hex(feature), "reason": reason, "source": source,
            "cancelled": due.len());
        edge.metrics.quarantined(list.entries(now).count() as u64);
        self.list_changed.notify_one();
    }

    /// Records suspects of a crash, unless a quarantined feature explains it.
    fn record(&self, now: Ms, crash: Crash) {
        if self.quarantined(now, &crash.suspects).is_some() {
            let quarantine = self.quarantine.borrow();
            let known = crash.suspects.iter().filter(|f| quarantine.get(now, f.id).is_some());
            let mut evidence = self.evidence.borrow_mut();
            known.for_each(|f| evidence.explain(f.id));
            evidence.forget(crash.process);
            return;
        }
        if self.evidence.borrow_mut().on_crash(now, crash) {
            self.last_evidence.set(now);
            self.weigh.notify_one();
        }
    }

    /// Records that an endpoint's process crashed with these features of this node's requests.
    fn on_own_crash(&self, now: Ms, crash: Crash) {
        let mut own = self.own_crashes.borrow_mut();
        own.retain(|(_, added)| now.since(*added) < SHARED_FOR);
        match own.iter_mut().find(|(c, _)| c.process == crash.process) {
            Some((known, added)) => {
                known.suspects.extend(&crash.suspects);
                known.suspects.sort_unstable();
                known.suspects.dedup();
                *added = now;
            }
            None => own.push((crash.clone(), now)),
        }
        self.unsent.set(true);
        self.record(now, crash);
    }

    /// Adds this node's evidence and quarantine to a datagram.
    pub(crate) fn write_datagram(&self, now: Ms, datagram: &mut wire::Datagram) {
        let age = |at: Ms| u32::try_from(now.since(at).0).unwrap_or(u32::MAX);
        let own = self.own_crashes.borrow();
        let recent = own.iter().filter(|(_, added)| now.since(*added) < SHARED_FOR);
        let mut features = 0;
        let fits = |c: &&Crash| {
            features += c.suspects.len();
            features <= MAX_SHARED_FEATURES
        };
        datagram.crashes = recent
            .rev()
            .map(|(c, _)| c)
            .take_while(fits)
            .map(|c| wire::Crash {
                process: c.process,
                age: age(c.at),
                features: c.suspects.iter().map(|f| f.id).collect(),
                depths: c.suspects.iter().map(|f| f.depth).collect(),
            })
            .collect();
        let contested = self.evidence.borrow().contested(now).collect::<Vec<_>>();
        datagram.completed = contested
            .into_iter()
            .take(MAX_SHARED_FEATURES)
            .map(|(feature, at)| wire::Completed { feature, age: age(at) })
            .collect();
        datagram.quarantined = self
            .entries(now)
            .into_iter()
            .take(MAX_SHARED_ENTRIES)
            .map(|e| wire::Quarantined {
                feature: e.fingerprint,
                reason: e.reason,
                left: e.expiry.since(now).0,
            })
            .collect();
    }

    /// Merges a peer's evidence and quarantine.
    pub(crate) fn read_datagram(
        &self,
        edge: &Edge,
        now: Ms,
        from: &str,
        datagram: &wire::Datagram,
    ) {
        let at = |age: u32| Ms(now.0.saturating_sub(u64::from(age)));
        for c in &datagram.completed {
            self.evidence.borrow_mut().on_peer_completed(at(c.age), c.feature);
        }
        for q in &datagram.quarantined {
            let left = Ms(q.left).min(DEFAULT_EXPIRY);
            let (age, expiry) = (DEFAULT_EXPIRY.since(left), now + left);
            if self.lifts.borrow().get(&q.feature).is_some_and(|at| now.since(*at) <= age) {
                continue;
            }
            let entry =
                QuarantineEntry { fingerprint: q.feature, reason: q.reason.clone(), expiry };
            self.merge(edge, now, entry, from);
        }
        for c in &datagram.crashes {
            let features = c.features.iter().zip(&c.depths);
            let suspects = features.map(|(id, depth)| Feature { id: *id, depth: *depth }).collect();
            self.record(now, Crash { process: c.process, at: at(c.age), suspects });
        }
    }
}

/// Identifier of an endpoint's process.
fn process_id(id: &str, started_at: u64) -> u64 {
    stable_hash(&[id, &started_at.to_string()])
}

/// Records that the connection of a request to an endpoint broke before the answer was complete.
pub(crate) fn on_broken(edge: &Rc<Edge>, id: &Rc<str>, features: &[Feature]) {
    let watch = &edge.crash_watch;
    let now = BootClock.now();
    let table = edge.table.borrow();
    // An endpoint that leaves ends by itself.
    let Some(e) = table.get(id).filter(|e| e.usable()) else { return };
    let (process, address) = (process_id(id, e.entry.started_at), e.entry.address);
    let suspects = features.to_vec();
    if watch.crashed.borrow().contains_key(&process) {
        watch.on_own_crash(now, Crash { process, at: now, suspects });
        return;
    }
    let mut broken = watch.broken.borrow_mut();
    broken.retain(|_, b| now.since(b.at) < BROKEN_KEPT_FOR);
    match broken.get_mut(id).filter(|b| b.process == process) {
        Some(known) => known.features.extend(suspects),
        None => {
            broken.insert(id.clone(), BrokenRequests { process, at: now, features: suspects });
            let (edge, id) = (edge.clone(), id.clone());
            spawn_local(async move {
                if refuses_connections(address).await {
                    on_crashed(&edge, &id, "connection refused");
                }
            });
        }
    }
}

/// Records that an endpoint's process has crashed if requests broke there.
pub(crate) fn on_crashed(edge: &Edge, id: &Rc<str>, evidence: &str) {
    let watch = &edge.crash_watch;
    let now = BootClock.now();
    let Some(broken) = watch.broken.borrow_mut().remove(id) else { return };
    let BrokenRequests { process, at, features: mut suspects } = broken;
    if now.since(at) >= BROKEN_KEPT_FOR {
        return;
    }
    let mut crashed = watch.crashed.borrow_mut();
    crashed.retain(|_, learned| now.since(*learned) < BROKEN_KEPT_FOR);
    crashed.insert(process, now);
    drop(crashed);
    suspects.sort_unstable();
    suspects.dedup();
    suspects.truncate(MAX_SHARED_FEATURES);
    let named: Vec<String> = suspects.iter().take(MAX_LOGGED_SUSPECTS).map(|f| hex(f.id)).collect();
    decision!("endpoint_crashed", "endpoint": &**id, "evidence": evidence,
        "broken_ms": now.since(at).0, "suspects": named, "count": suspects.len());
    edge.metrics.crashes(1);
    watch.on_own_crash(now, Crash { process, at, suspects });
}

/// Sends new evidence to the peers and weighs it.
pub(crate) async fn weigh_evidence(edge: Rc<Edge>) {
    let watch = &edge.crash_watch;
    loop {
        watch.weigh.notified().await;
        loop {
            sleep(WEIGH_INTERVAL).await;
            let now = BootClock.now();
            if watch.unsent.replace(false) {
                mesh::send_evidence(&edge, now);
            }
            loop {
                let cause = watch.evidence.borrow_mut().take_cause(now);
                let Some(cause) = cause else { break };
                watch.on_cause(&edge, now, cause);
            }
            if now.since(watch.last_evidence.get()) > WEIGHED_FOR {
                break;
            }
        }
    }
}
