//! State that the owner of an endpoint keeps: its scheduler, its jobs and permits, orders
//! with an unknown outcome, and the results of state queries.
//!
//! Jobs that arrive before the endpoint's state has been read are held back, because the
//! scheduler must know which adapters are loaded and pinned.

use std::collections::BTreeMap;

use crate::engine_client::EngineState;
use crate::ids::{AdapterRef, AttemptId, Node, Team};
use crate::ownership::OrderKind;
use crate::queue::Job;
use crate::sched::{EndpointSpec, Sched, SchedOut};
use crate::time::Ms;

/// Time for which a broken attempt counts as in flight at a crash of its endpoint, and by
/// which an attempt on a plain service may exceed its deadline before it is ended.
const ATTEMPT_GRACE: Ms = Ms::secs(5);
/// Number of successive failed state queries after which an endpoint is unhealthy.
pub(crate) const POLL_FAILURE_LIMIT: u32 = 2;

/// A job that waits for a permit or holds one.
#[derive(Clone, Debug)]
pub(crate) struct JobRow {
    /// Entry node that requested the permit.
    pub(crate) entry: Node,
    /// Arrival of the request.
    pub(crate) arrived: Ms,
    /// Fingerprint of the request.
    pub(crate) fingerprint: u64,
    /// Team of the request.
    pub(crate) team: Team,
    /// Adapter that the request requires.
    pub(crate) adapter: Option<AdapterRef>,
    /// Time after which the entry node abandons the attempt.
    pub(crate) deadline: Ms,
    /// Kind of order that the permit allows.
    pub(crate) order: OrderKind,
    /// Whether the permit was granted.
    pub(crate) granted: bool,
}

/// An owned endpoint.
#[derive(Debug)]
pub(crate) struct OwnedEndpoint {
    /// Scheduler of the endpoint.
    pub(crate) sched: Sched,
    /// Fencing token that every order carries.
    pub(crate) fence: u64,
    /// Jobs by attempt.
    pub(crate) jobs: BTreeMap<AttemptId, JobRow>,
    /// Attempts that a former owner granted and that entry nodes announced before the state
    /// was read.
    pub(crate) announced: Vec<(AttemptId, Option<AdapterRef>)>,
    /// Time of the next state query.
    pub(crate) next_poll: Ms,
    /// Whether a state query is in progress.
    pub(crate) polling: bool,
    /// Jobs that arrived before the state was read.
    unsubmitted: Vec<Job>,
    ready: bool,
    incarnation: Option<String>,
    /// End and fingerprint of attempts whose connection broke.
    broken: Vec<(Ms, u64)>,
    poll_failures: u32,
    /// Start of the last state query.
    pub(crate) poll_started: Ms,
    uncertain: Vec<UncertainOrder>,
}

/// An order whose outcome is unknown until the endpoint's state is read.
#[derive(Debug)]
struct UncertainOrder {
    at: Ms,
    adapter: AdapterRef,
    epoch: u64,
    evict: bool,
}

/// Result of a state query.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct PollResult {
    /// Incarnation that ended, with the fingerprints that were in flight.
    pub(crate) crash: Option<(String, Vec<u64>)>,
    /// Attempts that the endpoint no longer runs and whose pins were removed.
    pub(crate) gone: Vec<AttemptId>,
}

impl OwnedEndpoint {
    /// Creates the state of an endpoint whose own state has not been read.
    pub(crate) fn new(spec: EndpointSpec, fence: u64, now: Ms) -> Self {
        Self {
            sched: Sched::new(spec, now),
            fence,
            jobs: BTreeMap::new(),
            announced: Vec::new(),
            next_poll: now,
            polling: false,
            unsubmitted: Vec::new(),
            ready: false,
            incarnation: None,
            broken: Vec::new(),
            poll_failures: 0,
            poll_started: Ms(0),
            uncertain: Vec::new(),
        }
    }

    /// Returns whether the endpoint's state has been read or could not be read.
    pub(crate) fn ready(&self) -> bool {
        self.ready
    }

    /// Submits a job, or holds it back until the state is known.
    pub(crate) fn submit(&mut self, now: Ms, job: Job, row: JobRow, out: &mut Vec<SchedOut>) {
        self.jobs.insert(job.attempt, row);
        match self.ready {
            true => self.sched.submit(now, job, out),
            false => self.unsubmitted.push(job),
        }
    }

    /// Removes a job that has no permit yet.
    pub(crate) fn cancel(&mut self, now: Ms, attempt: AttemptId) {
        if self.jobs.get(&attempt).is_some_and(|j| !j.granted) {
            self.unsubmitted.retain(|j| j.attempt != attempt);
            self.sched.cancel(now, attempt);
            self.jobs.remove(&attempt);
        }
    }

    /// Ends an attempt that used `used` tokens. `broken` means that its connection was lost,
    /// so that the endpoint may have crashed.
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
            self.broken.push((now, row.fingerprint));
            self.next_poll = now;
        }
        self.sched.on_end(now, attempt, used, out);
        row
    }

    /// Records an order whose answer was lost; the next state query determines its outcome.
    pub(crate) fn on_order_unknown(
        &mut self,
        now: Ms,
        adapter: AdapterRef,
        epoch: u64,
        evict: bool,
    ) {
        self.uncertain.push(UncertainOrder { at: now, adapter, epoch, evict });
        self.next_poll = now;
    }

    /// Resolves the orders whose answers were lost before the last state query began.
    fn resolve_uncertain(&mut self, now: Ms, loaded: &[AdapterRef], out: &mut Vec<SchedOut>) {
        let poll_started = self.poll_started;
        let (resolved, rest) =
            self.uncertain.drain(..).partition(|o: &UncertainOrder| o.at <= poll_started);
        self.uncertain = rest;
        let resolved: Vec<UncertainOrder> = resolved;
        for order in resolved {
            let present = loaded.contains(&order.adapter);
            match (order.evict, present) {
                (true, _) => self.sched.on_evicted(now, &order.adapter, order.epoch, !present, out),
                (false, true) => self.sched.on_loaded(now, &order.adapter, order.epoch, out),
                (false, false) => self.sched.on_load_failed(now, &order.adapter, order.epoch, out),
            }
        }
    }

    /// Applies the state that the endpoint reports.
    pub(crate) fn on_state(
        &mut self,
        now: Ms,
        state: &EngineState,
        out: &mut Vec<SchedOut>,
    ) -> PollResult {
        self.poll_failures = 0;
        let mut result = PollResult::default();
        let known = self.incarnation.as_deref() == Some(state.incarnation.as_str());
        if known && self.ready {
            self.sched.set_healthy(now, true, out);
            result.gone = self.sched.on_running(now, &state.running, out);
            self.resolve_uncertain(now, &state.loaded, out);
        } else {
            self.uncertain.clear();
            if let Some(ended) = self.incarnation.replace(state.incarnation.clone()) {
                result.crash = Some((ended, self.fingerprints_in_flight(now)));
            }
            result.gone = self.sched.on_restart(now, &state.loaded, &state.running, out);
            self.adopt_announced(now);
            self.become_ready(now, out);
        }
        for attempt in &result.gone {
            self.jobs.remove(attempt);
        }
        result
    }

    /// Handles a refused connection, which means that the endpoint's process has ended.
    ///
    /// Returns the incarnation that ended, with the fingerprints that were in flight, or
    /// `None` if nothing was in flight or the endpoint has not reported an incarnation.
    pub(crate) fn on_connection_refused(&mut self, now: Ms) -> Option<(String, Vec<u64>)> {
        let ended = self.incarnation.clone()?;
        let in_flight = self.fingerprints_in_flight(now);
        (!in_flight.is_empty()).then_some((ended, in_flight))
    }

    /// Records that a plain service answers; it reports no state.
    ///
    /// Ends the attempts of entry nodes that are `gone` and those that exceed their deadline
    /// by [`ATTEMPT_GRACE`]. No other event would end them, and they would keep their places.
    pub(crate) fn on_service_alive(&mut self, now: Ms, gone: &[Node], out: &mut Vec<SchedOut>) {
        self.poll_failures = 0;
        let stale = |j: &JobRow| gone.contains(&j.entry) || now.since(j.deadline) > ATTEMPT_GRACE;
        let ended = self.jobs.iter().filter(|(_, j)| j.granted && stale(j));
        let ended: Vec<AttemptId> = ended.map(|(a, _)| *a).collect();
        for attempt in ended {
            self.end(now, attempt, 0, false, out);
        }
        self.sched.set_healthy(now, true, out);
        if !self.ready {
            self.become_ready(now, out);
        }
    }

    /// Records a failed state query; [`POLL_FAILURE_LIMIT`] successive ones make the endpoint
    /// unhealthy.
    pub(crate) fn on_poll_failed(&mut self, now: Ms, out: &mut Vec<SchedOut>) {
        self.poll_failures += 1;
        if self.poll_failures >= POLL_FAILURE_LIMIT {
            self.sched.set_healthy(now, false, out);
            self.become_ready(now, out);
        }
    }

    /// Adopts an attempt that a former owner granted.
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
                // If the adapter is not loaded, the attempt has ended and needs no pin.
                Some(adapter) => drop(self.sched.adopt_pinned(now, *attempt, adapter)),
                None => self.sched.adopt_unpinned(now, *attempt),
            }
        }
        self.announced.clear();
    }

    fn become_ready(&mut self, now: Ms, out: &mut Vec<SchedOut>) {
        self.ready = true;
        for job in std::mem::take(&mut self.unsubmitted) {
            self.sched.submit(now, job, out);
        }
    }

    /// Fingerprints that were in flight when the endpoint crashed.
    fn fingerprints_in_flight(&mut self, now: Ms) -> Vec<u64> {
        let mut in_flight: Vec<u64> = self
            .broken
            .drain(..)
            .filter(|(at, _)| now.since(*at) < ATTEMPT_GRACE)
            .map(|(_, fp)| fp)
            .collect();
        in_flight.extend(self.jobs.values().filter(|j| j.granted).map(|j| j.fingerprint));
        in_flight.sort_unstable();
        in_flight.dedup();
        in_flight
    }
}
