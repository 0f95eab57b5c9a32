//! The owner's side of an endpoint: permits, orders and the endpoint's own word.
//!
//! Jobs that arrive before the endpoint's state was read wait, because the
//! scheduler must know which adapters are loaded and pinned before it acts.

use std::collections::BTreeMap;

use crate::engine::EngineState;
use crate::ids::{AdapterRef, AttemptId, Node, Team};
use crate::ownership::OrderKind;
use crate::queue::Job;
use crate::sched::{EndpointSpec, Sched, SchedOut};
use crate::time::Ms;

/// How long a broken attempt counts as in flight when its endpoint's crash is found.
const RECENT: Ms = Ms::secs(5);
/// Failed state queries from which an endpoint counts as unhealthy.
pub(crate) const FAILURES: u32 = 2;

/// A job that waits for a permit or holds one.
#[derive(Clone, Debug)]
pub(crate) struct JobRow {
    /// Entry node that asked.
    pub(crate) entry: Node,
    /// When the request arrived.
    pub(crate) arrived: Ms,
    /// Fingerprint of the request.
    pub(crate) fingerprint: u64,
    /// Team of the request.
    pub(crate) team: Team,
    /// Adapter that the request asks for.
    pub(crate) adapter: Option<AdapterRef>,
    /// Instant after which the entry node gives the attempt up.
    pub(crate) deadline: Ms,
    /// Order that the permit allows.
    pub(crate) order: OrderKind,
    /// Whether the permit was given.
    pub(crate) granted: bool,
}

/// An owned endpoint.
#[derive(Debug)]
pub(crate) struct OwnedEndpoint {
    /// Scheduler of the endpoint.
    pub(crate) sched: Sched,
    /// Fence that every order carries.
    pub(crate) fence: u64,
    /// Jobs by attempt.
    pub(crate) jobs: BTreeMap<AttemptId, JobRow>,
    /// Permits of a former owner that entry nodes announced before the state was read.
    pub(crate) announced: Vec<(AttemptId, Option<AdapterRef>)>,
    /// Next state query.
    pub(crate) next_poll: Ms,
    /// Whether a state query is under way.
    pub(crate) polling: bool,
    early: Vec<Job>,
    ready: bool,
    incarnation: Option<String>,
    recent: Vec<(Ms, u64)>,
    failures: u32,
    /// When the last state query began.
    pub(crate) poll_started: Ms,
    doubts: Vec<Doubt>,
}

/// An order whose effect is unknown until the endpoint's state is read.
#[derive(Debug)]
struct Doubt {
    at: Ms,
    adapter: AdapterRef,
    epoch: u64,
    evict: bool,
}

/// What a state query has shown.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct Polled {
    /// Incarnation that ended, with the fingerprints that were in flight.
    pub(crate) crash: Option<(String, Vec<u64>)>,
    /// Attempts whose pins the endpoint's word has ended.
    pub(crate) gone: Vec<AttemptId>,
}

impl OwnedEndpoint {
    /// An endpoint whose state has not been read.
    pub(crate) fn new(spec: EndpointSpec, fence: u64, now: Ms) -> Self {
        Self {
            sched: Sched::new(spec, now),
            fence,
            jobs: BTreeMap::new(),
            announced: Vec::new(),
            next_poll: now,
            polling: false,
            early: Vec::new(),
            ready: false,
            incarnation: None,
            recent: Vec::new(),
            failures: 0,
            poll_started: Ms(0),
            doubts: Vec::new(),
        }
    }

    /// Whether the endpoint's state has been read or found unreadable.
    pub(crate) fn ready(&self) -> bool {
        self.ready
    }

    /// Submits a job, or keeps it until the state is known.
    pub(crate) fn submit(&mut self, now: Ms, job: Job, row: JobRow, out: &mut Vec<SchedOut>) {
        self.jobs.insert(job.attempt, row);
        match self.ready {
            true => self.sched.submit(now, job, out),
            false => self.early.push(job),
        }
    }

    /// Withdraws a job that has no permit yet.
    pub(crate) fn cancel(&mut self, now: Ms, attempt: AttemptId) {
        if self.jobs.get(&attempt).is_some_and(|j| !j.granted) {
            self.early.retain(|j| j.attempt != attempt);
            self.sched.cancel(now, attempt);
            self.jobs.remove(&attempt);
        }
    }

    /// Ends an attempt; `broken` says that the endpoint may have crashed under it.
    pub(crate) fn end(
        &mut self,
        now: Ms,
        attempt: AttemptId,
        used: u64,
        broken: bool,
        out: &mut Vec<SchedOut>,
    ) -> Option<JobRow> {
        let row = self.jobs.remove(&attempt);
        if let Some(row) = &row
            && broken
        {
            self.recent.push((now, row.fingerprint));
            self.next_poll = now;
        }
        self.sched.on_end(now, attempt, used, out);
        row
    }

    /// Notes an order whose answer was lost; the endpoint's next statement settles it.
    pub(crate) fn doubt(&mut self, now: Ms, adapter: AdapterRef, epoch: u64, evict: bool) {
        self.doubts.push(Doubt { at: now, adapter, epoch, evict });
        self.next_poll = now;
    }

    /// Settles orders in doubt by a statement that was asked for after them.
    fn settle_doubts(&mut self, now: Ms, loaded: &[AdapterRef], out: &mut Vec<SchedOut>) {
        let asked = self.poll_started;
        let (due, rest) = self.doubts.drain(..).partition(|d: &Doubt| d.at <= asked);
        self.doubts = rest;
        let due: Vec<Doubt> = due;
        for d in due {
            let present = loaded.contains(&d.adapter);
            match (d.evict, present) {
                (true, _) => self.sched.on_evicted(now, &d.adapter, d.epoch, !present, out),
                (false, true) => self.sched.on_loaded(now, &d.adapter, d.epoch, out),
                (false, false) => self.sched.on_load_failed(now, &d.adapter, d.epoch, out),
            }
        }
    }

    /// Adopts the endpoint's own state.
    pub(crate) fn on_state(
        &mut self,
        now: Ms,
        state: &EngineState,
        out: &mut Vec<SchedOut>,
    ) -> Polled {
        self.failures = 0;
        let mut polled = Polled::default();
        let known = self.incarnation.as_deref() == Some(state.incarnation.as_str());
        if known && self.ready {
            self.sched.set_healthy(now, true, out);
            polled.gone = self.sched.on_running(now, &state.running, out);
            self.settle_doubts(now, &state.loaded, out);
        } else {
            self.doubts.clear();
            if let Some(ended) = self.incarnation.replace(state.incarnation.clone()) {
                polled.crash = Some((ended, self.flight(now)));
            }
            polled.gone = self.sched.on_restart(now, &state.loaded, &state.running, out);
            self.adopt_announced(now);
            self.become_ready(now, out);
        }
        for attempt in &polled.gone {
            self.jobs.remove(attempt);
        }
        polled
    }

    /// The incarnation that has ended, with the fingerprints that were in flight;
    /// none where nothing ran or the endpoint has not reported an incarnation.
    pub(crate) fn on_connection_refused(&mut self, now: Ms) -> Option<(String, Vec<u64>)> {
        let ended = self.incarnation.clone()?;
        let flight = self.flight(now);
        (!flight.is_empty()).then_some((ended, flight))
    }

    /// Records that a plain service answers; it has no state to adopt.
    ///
    /// Attempts of entry nodes that are `gone`, and those long past their deadline, end
    /// here: nobody else reports their end, and their places would stay taken.
    pub(crate) fn on_service_alive(&mut self, now: Ms, gone: &[Node], out: &mut Vec<SchedOut>) {
        self.failures = 0;
        let over = |j: &JobRow| gone.contains(&j.entry) || now.since(j.deadline) > RECENT;
        let ended = self.jobs.iter().filter(|(_, j)| j.granted && over(j));
        let ended: Vec<AttemptId> = ended.map(|(a, _)| *a).collect();
        for attempt in ended {
            self.end(now, attempt, 0, false, out);
        }
        self.sched.set_healthy(now, true, out);
        if !self.ready {
            self.become_ready(now, out);
        }
    }

    /// Records a failed state query; several in a row make the endpoint unhealthy.
    pub(crate) fn on_poll_failed(&mut self, now: Ms, out: &mut Vec<SchedOut>) {
        self.failures += 1;
        if self.failures >= FAILURES {
            self.sched.set_healthy(now, false, out);
            self.become_ready(now, out);
        }
    }

    /// Adopts permits that a former owner gave.
    pub(crate) fn announce(&mut self, now: Ms, attempt: AttemptId, adapter: Option<AdapterRef>) {
        if self.jobs.contains_key(&attempt) || self.announced.iter().any(|(a, _)| *a == attempt) {
            return;
        }
        self.announced.push((attempt, adapter));
        if self.ready {
            self.adopt_announced(now);
        }
    }

    fn adopt_announced(&mut self, now: Ms) {
        for (attempt, adapter) in &self.announced {
            match adapter {
                // An adapter that is not loaded needs no pin: the attempt has ended.
                Some(adapter) => drop(self.sched.readopt(now, *attempt, adapter)),
                None => self.sched.readopt_plain(now, *attempt),
            }
        }
        self.announced.clear();
    }

    fn become_ready(&mut self, now: Ms, out: &mut Vec<SchedOut>) {
        self.ready = true;
        for job in std::mem::take(&mut self.early) {
            self.sched.submit(now, job, out);
        }
    }

    /// Fingerprints that were in flight when the endpoint crashed.
    fn flight(&mut self, now: Ms) -> Vec<u64> {
        let mut flight: Vec<u64> = self
            .recent
            .drain(..)
            .filter(|(at, _)| now.since(*at) < RECENT)
            .map(|(_, fp)| fp)
            .collect();
        flight.extend(self.jobs.values().filter(|j| j.granted).map(|j| j.fingerprint));
        flight.sort_unstable();
        flight.dedup();
        flight
    }
}
