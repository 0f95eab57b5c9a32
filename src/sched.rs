//! Scheduler of one owned endpoint: joins the fair queue and the adapter slots.
//!
//! Every submitted job ends in exactly one grant, refusal or cancellation. Jobs whose
//! adapter is loaded go ahead while others load. A demand that finds every slot pinned
//! retires the least valuable adapter, so that it gets a slot within a bounded time.
//!
//! The shell reports the end of each load and eviction order exactly once, or calls
//! [`Sched::on_restart`] when it cannot know the end.

use std::collections::BTreeMap;

pub use crate::cell_placement::LoadView;
use crate::error::Error;
use crate::failpoint::{Failpoint, active};
use crate::ids::{AdapterRef, AttemptId, Map, Set, Team};
pub use crate::load_demands::LoadGate;
use crate::load_demands::{Demand, LoadShare};
use crate::queue::{Job, Queue};
pub use crate::sched_types::{EndpointSpec, RefuseReason, SchedOut};
use crate::slots::{Room, SlotState, Slots};
use crate::time::Ms;

/// Wait of a suspect from which the endpoint is emptied for it.
const ISOLATE: Ms = Ms(500);

/// Wait of a demand from which a pinned adapter retires for it.
const RETIRE: Ms = Ms(250);

/// Ended attempts that must be measured before a deadline is judged by their speed.
const SAMPLES: u32 = 8;

/// Retry hint where no better one is known.
const RETRY: Ms = Ms(1_000);

#[derive(Debug)]
struct Run {
    team: Option<Team>,
    tokens: u64,
    since: Ms,
    suspect: bool,
    plain: bool,
}

/// Scheduler of one owned endpoint.
#[derive(Debug)]
pub struct Sched {
    spec: EndpointSpec,
    queue: Queue,
    slots: Slots,
    running: BTreeMap<AttemptId, Run>,
    suspects: Set<u64>,
    isolated: Ms,
    leaving: bool,
    healthy: bool,
    epoch: u64,
    permits: Map<AdapterRef, Team>,
    unused: Vec<Team>,
    loads: LoadShare,
    speed: f64,
    samples: u32,
    faults: Vec<Error>,
}

impl Sched {
    /// A scheduler with empty slots. After a takeover, call [`Sched::on_restart`] with the
    /// endpoint's own state before the first tick.
    pub fn new(spec: EndpointSpec, now: Ms) -> Self {
        Self {
            queue: Queue::new(),
            slots: Slots::new(spec.slots),
            spec,
            running: BTreeMap::new(),
            suspects: Set::default(),
            isolated: now,
            leaving: false,
            healthy: true,
            epoch: 0,
            permits: Map::default(),
            unused: Vec::new(),
            loads: LoadShare::default(),
            speed: 0.0,
            samples: 0,
            faults: Vec::new(),
        }
    }

    /// Sets a team's weight; teams have weight 1 by default.
    pub fn set_weight(&mut self, team: &Team, weight: u32) {
        self.queue.set_weight(team, weight);
    }

    /// Accepts a job: grants it, queues it or refuses it. A job that is queued or running
    /// already is ignored.
    pub fn submit(&mut self, now: Ms, job: Job, out: &mut Vec<SchedOut>) {
        if self.queue.contains(job.attempt) || self.running.contains_key(&job.attempt) {
            return;
        }
        if let Some((reason, retry_after)) = self.obstacle(now, &job) {
            out.push(SchedOut::Refuse { attempt: job.attempt, reason, retry_after });
            return;
        }
        self.queue.push(now, job);
        self.grant(now, out);
        if self.queue.len() > self.spec.max_queued
            && let Some(shed) = self.queue.shed()
        {
            let retry_after = self.wait(&shed).max(RETRY);
            let reason = RefuseReason::Full;
            out.push(SchedOut::Refuse { attempt: shed.attempt, reason, retry_after });
        }
    }

    /// Expires jobs, grants what is ready and orders loads and evictions.
    pub fn tick(&mut self, now: Ms, gate: &mut impl LoadGate, out: &mut Vec<SchedOut>) {
        for team in self.unused.drain(..) {
            gate.give_back(now, &team);
        }
        for job in self.queue.expire(now) {
            refuse(&job, RefuseReason::Expired, RETRY, out);
        }
        self.grant(now, out);
        self.load(now, gate, out);
    }

    /// Records a finished load that was ordered in `epoch`. Reports of an earlier epoch are
    /// ignored, because a restart has taken their effect away.
    pub fn on_loaded(
        &mut self,
        now: Ms,
        adapter: &AdapterRef,
        epoch: u64,
        out: &mut Vec<SchedOut>,
    ) {
        if epoch == self.epoch && self.slots.on_loaded(now, adapter) {
            self.grant(now, out);
        }
    }

    /// Records a failed load: the jobs that wait for it are refused, so that their entry
    /// nodes try another candidate while the adapter backs off here.
    pub fn on_load_failed(
        &mut self,
        now: Ms,
        adapter: &AdapterRef,
        epoch: u64,
        out: &mut Vec<SchedOut>,
    ) {
        if epoch != self.epoch {
            return;
        }
        let Some(until) = self.slots.on_failed(now, adapter) else { return };
        for job in self.queue.drain(|j| j.adapter.as_ref() == Some(adapter)) {
            refuse(&job, RefuseReason::LoadFailed, until.since(now), out);
        }
    }

    /// Records the end of an eviction that was ordered in `epoch`; `done` is false if the
    /// endpoint kept the adapter.
    pub fn on_evicted(
        &mut self,
        now: Ms,
        adapter: &AdapterRef,
        epoch: u64,
        done: bool,
        out: &mut Vec<SchedOut>,
    ) {
        if epoch != self.epoch {
            return;
        }
        match self.slots.on_evicted(now, adapter, done) {
            Some(Ok(next)) => {
                self.permits.remove(&next);
                out.push(SchedOut::Load { adapter: next });
            }
            Some(Err(next)) => {
                self.unused.extend(self.permits.remove(&next));
                self.grant(now, out);
            }
            None => {}
        }
    }

    /// Records the reported end of an attempt; `false` if it is not running here.
    pub fn on_end(
        &mut self,
        now: Ms,
        attempt: AttemptId,
        used: u64,
        out: &mut Vec<SchedOut>,
    ) -> bool {
        let unpinned = self.slots.unpin(attempt);
        let Some(run) = self.running.remove(&attempt) else {
            self.grant(now, out);
            return unpinned;
        };
        if run.suspect {
            self.isolated = now;
        }
        if let Some(team) = &run.team {
            self.queue.settle(team, run.tokens, used);
            if used > 0 {
                let speed = now.since(run.since).0 as f64 / used as f64;
                let part = if self.samples == 0 { 1.0 } else { 0.05 };
                self.speed += (speed - self.speed) * part;
                self.samples += 1;
            }
        }
        self.grant(now, out);
        true
    }

    /// Withdraws a queued attempt; `false` if it is not queued. A running attempt keeps its
    /// pin until its end is reported.
    pub fn cancel(&mut self, _now: Ms, attempt: AttemptId) -> bool {
        self.queue.remove(attempt).is_some()
    }

    /// Adopts the endpoint's own statement after its restart or after a takeover, read when
    /// no earlier order is under way any more. Reports about earlier orders no longer count.
    /// Returns the attempts that are gone.
    pub fn on_restart(
        &mut self,
        now: Ms,
        loaded: &[AdapterRef],
        running: &[AttemptId],
        out: &mut Vec<SchedOut>,
    ) -> Vec<AttemptId> {
        self.epoch += 1;
        self.healthy = true;
        let mut held: Vec<_> = self.permits.drain().map(|(_, team)| team).collect();
        held.sort_unstable();
        self.unused.append(&mut held);
        let gone = self.reconcile(now, running);
        let plain = |a: &&AttemptId| self.running.get(a).is_some_and(|r| r.plain);
        let pinned: Vec<_> = running.iter().filter(|a| !plain(a)).copied().collect();
        self.slots.resync(now, loaded, &pinned, self.spec.pin_grace);
        self.grant(now, out);
        gone
    }

    /// Ends the attempts that the endpoint states it does not run, but for permits younger
    /// than their validity. Returns the attempts that are gone.
    pub fn on_running(
        &mut self,
        now: Ms,
        running: &[AttemptId],
        out: &mut Vec<SchedOut>,
    ) -> Vec<AttemptId> {
        let gone = self.reconcile(now, running);
        self.slots.prune(running);
        self.grant(now, out);
        gone
    }

    /// Adopts a permit of a former owner that an entry node announces again.
    ///
    /// # Errors
    /// Fails if the adapter is not loaded; no eviction takes place until the attempt ends.
    pub fn readopt(
        &mut self,
        now: Ms,
        attempt: AttemptId,
        adapter: &AdapterRef,
    ) -> crate::error::Result<()> {
        let adopted = self.slots.readopt(now, attempt, adapter);
        if adopted.is_ok() {
            self.adopt(now, attempt, false);
        }
        adopted
    }

    /// Adopts a former owner's permit that needs no adapter.
    pub fn readopt_plain(&mut self, now: Ms, attempt: AttemptId) {
        self.slots.adopt_plain(attempt);
        self.adopt(now, attempt, true);
    }

    /// Tells whether the endpoint is being taken away; if so, all queued jobs are refused
    /// and nothing more is granted.
    pub fn set_leaving(&mut self, now: Ms, leaving: bool, out: &mut Vec<SchedOut>) {
        if leaving == self.leaving || active(Failpoint::GrantLeaving) {
            return;
        }
        self.leaving = leaving;
        match leaving {
            true => self.refuse_all(RefuseReason::Leaving, Ms(0), out),
            false => self.grant(now, out),
        }
    }

    /// Tells whether the endpoint answers; if not, all queued jobs are refused.
    pub fn set_healthy(&mut self, now: Ms, healthy: bool, out: &mut Vec<SchedOut>) {
        self.healthy = healthy;
        if healthy {
            self.grant(now, out);
        } else {
            self.refuse_all(RefuseReason::Unhealthy, RETRY, out);
        }
    }

    /// Marks or clears a fingerprint as suspect; a suspect runs alone.
    pub fn set_suspect(&mut self, fingerprint: u64, suspect: bool) {
        match suspect {
            true => self.suspects.insert(fingerprint),
            false => self.suspects.remove(&fingerprint),
        };
    }

    /// Refuses the queued jobs of a quarantined fingerprint.
    pub fn quarantine(&mut self, fingerprint: u64, left: Ms, out: &mut Vec<SchedOut>) {
        self.suspects.remove(&fingerprint);
        for job in self.queue.drain(|j| j.fingerprint == fingerprint) {
            refuse(&job, RefuseReason::Quarantined, left, out);
        }
    }

    /// The endpoint's load as told to the cell.
    pub fn load_view(&self, _now: Ms) -> LoadView {
        LoadView {
            running: self.occupied() as u32,
            queued: self.queue.len() as u32,
            queued_tokens: self.queue.tokens(),
            batch: self.spec.batch as u32,
            slots: self.spec.slots as u32,
            loading: self.slots.loading() as u32,
            loaded: self.slots.loaded(),
            leaving: self.leaving,
            healthy: self.healthy,
        }
    }

    /// Number that grows with each restart or takeover; reports carry that of their order.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Fixed properties of the endpoint.
    pub fn spec(&self) -> &EndpointSpec {
        &self.spec
    }

    /// The adapter slots.
    pub fn slots(&self) -> &Slots {
        &self.slots
    }

    /// Team that a running attempt is charged to; none for a former owner's permit.
    pub fn team(&self, attempt: AttemptId) -> Option<&Team> {
        self.running.get(&attempt)?.team.as_ref()
    }

    /// Attempts that run here, in order.
    pub fn running(&self) -> impl Iterator<Item = AttemptId> {
        self.running.keys().copied()
    }

    /// Load permits of loads that are not ordered yet, which the gate has to get back.
    pub fn unused_permits(&self) -> usize {
        self.permits.len() + self.unused.len()
    }

    /// Violated invariants since the last call, for the log; empty in correct operation.
    pub fn take_faults(&mut self) -> Vec<Error> {
        std::mem::take(&mut self.faults)
    }

    fn occupied(&self) -> usize {
        self.running.len() + self.slots.unknown()
    }

    fn adopt(&mut self, now: Ms, attempt: AttemptId, plain: bool) {
        let run = Run { team: None, tokens: 0, since: now, suspect: false, plain };
        self.running.entry(attempt).or_insert(run);
    }

    fn reconcile(&mut self, now: Ms, running: &[AttemptId]) -> Vec<AttemptId> {
        let alive: Set<_> = running.iter().collect();
        let lost = |a: &AttemptId, r: &Run| {
            !alive.contains(a) && now.since(r.since) >= self.spec.pin_grace
        };
        let gone = self.running.iter().filter(|(a, r)| lost(a, r));
        let gone: Vec<_> = gone.map(|(a, _)| *a).collect();
        for attempt in &gone {
            self.running.remove(attempt);
            self.slots.unpin(*attempt);
        }
        gone
    }

    fn refuse_all(&mut self, reason: RefuseReason, retry_after: Ms, out: &mut Vec<SchedOut>) {
        for job in self.queue.drain(|_| true) {
            refuse(&job, reason, retry_after, out);
        }
    }

    /// Why a new job cannot be accepted, with the earliest useful retry.
    fn obstacle(&self, now: Ms, job: &Job) -> Option<(RefuseReason, Ms)> {
        if self.leaving {
            return Some((RefuseReason::Leaving, Ms(0)));
        }
        if !self.healthy {
            return Some((RefuseReason::Unhealthy, RETRY));
        }
        if job.deadline <= now {
            return Some((RefuseReason::Expired, RETRY));
        }
        let mut load = Ms(0);
        if let Some(adapter) = &job.adapter {
            if self.spec.slots == 0 {
                return Some((RefuseReason::NoSlots, Ms(0)));
            }
            match self.slots.state(now, adapter) {
                SlotState::BackOff(until) => {
                    return Some((RefuseReason::LoadFailed, until.since(now)));
                }
                SlotState::Absent => load = self.slots.load_time(adapter),
                _ => {}
            }
        }
        let wait = self.wait(job).max(load);
        let left = job.deadline.since(now);
        (wait > left).then(|| (RefuseReason::Deadline, (wait - left).max(Ms(1))))
    }

    /// Estimated wait of a job for a place in the batch; 0 until enough attempts ended.
    fn wait(&self, job: &Job) -> Ms {
        if self.occupied() < self.spec.batch || self.samples < SAMPLES {
            return Ms(0);
        }
        let ahead = self.queue.ahead(&job.team, job.priority) as f64;
        Ms((ahead * self.speed / self.spec.batch.max(1) as f64) as u64)
    }

    fn grant(&mut self, now: Ms, out: &mut Vec<SchedOut>) {
        if self.leaving || !self.healthy {
            return;
        }
        while self.occupied() < self.spec.batch && !self.queue.is_empty() {
            // A suspect runs alone, so that a crash convicts it without doubt.
            let alone = self.occupied() == 0;
            if self.running.values().any(|r| r.suspect) {
                return;
            }
            let (slots, suspects) = (&self.slots, &self.suspects);
            let ready = |j: &Job| j.adapter.as_ref().is_none_or(|a| slots.ready(a));
            let suspect = |j: &Job| suspects.contains(&j.fingerprint);
            // An endpoint under constant load is never empty, so a suspect that has waited
            // stops other grants until it can run alone.
            let isolate = !suspects.is_empty()
                && now.since(self.isolated) >= ISOLATE
                && self
                    .queue
                    .jobs()
                    .any(|j| suspect(j) && ready(j) && now.since(j.arrived) >= ISOLATE);
            let free = |j: &Job| ready(j) && if suspect(j) { alone } else { !isolate };
            let Some(job) = self.queue.pop(now, free) else { return };
            let suspect = self.suspects.contains(&job.fingerprint);
            if let Some(adapter) = &job.adapter
                && !active(Failpoint::SkipPin)
                && let Err(fault) = self.slots.pin(now, job.attempt, adapter)
            {
                self.faults.push(fault);
                refuse(&job, RefuseReason::Unhealthy, RETRY, out);
                continue;
            }
            // Only granted jobs count: a flood of refused ones must not win slots.
            if let Some(adapter) = &job.adapter {
                self.slots.request(now, adapter);
            }
            out.push(SchedOut::Grant { attempt: job.attempt });
            let (tokens, plain) = (job.tokens, job.adapter.is_none());
            let run = Run { team: Some(job.team), tokens, since: now, suspect, plain };
            self.running.insert(job.attempt, run);
        }
    }

    fn load(&mut self, now: Ms, gate: &mut impl LoadGate, out: &mut Vec<SchedOut>) {
        if self.leaving || !self.healthy {
            return;
        }
        loop {
            let absent = |a: &_| self.slots.state(now, a) == SlotState::Absent;
            let demands = self.loads.demands(&self.queue, absent);
            if demands.is_empty() {
                self.slots.keep_all();
                return;
            }
            if self.slots.loading() >= self.spec.max_loads {
                return;
            }
            let mut full = true;
            let ordered = demands.iter().find_map(|d| {
                let waited = now.since(d.arrived);
                let room = self.slots.room(now, waited, |a| self.queue.waiting(a) > 0);
                full &= room == Room::None;
                let fits = room != Room::None && gate.try_load(now, &d.team);
                fits.then(|| (d.clone(), room))
            });
            let Some((Demand { team, adapter, .. }, room)) = ordered else {
                if full && demands.iter().any(|d| now.since(d.arrived) >= RETIRE) {
                    self.slots.retire(now, self.spec.max_loads);
                }
                return;
            };
            let ordered = match &room {
                Room::Evict(victim) => self.slots.start_evict(now, victim, &adapter),
                _ => self.slots.start_load(now, &adapter),
            };
            if let Err(fault) = ordered {
                self.faults.push(fault);
                self.unused.push(team);
                return;
            }
            self.loads.charge(&team);
            match room {
                Room::Evict(victim) => {
                    self.permits.insert(adapter, team);
                    out.push(SchedOut::Evict { adapter: victim });
                }
                _ => out.push(SchedOut::Load { adapter }),
            }
        }
    }
}

fn refuse(job: &Job, reason: RefuseReason, retry_after: Ms, out: &mut Vec<SchedOut>) {
    out.push(SchedOut::Refuse { attempt: job.attempt, reason, retry_after });
}
