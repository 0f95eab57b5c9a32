//! Scheduler of one owned endpoint; combines the fair queue and the adapter slots.
//!
//! Every submitted job ends in exactly one grant, refusal or cancellation. Jobs whose
//! adapter is loaded are granted while other adapters load. If every slot is pinned, a
//! waiting load retires the adapter with the lowest score, so that it gets a slot within
//! a bounded time.
//!
//! The shell reports the result of each load and eviction order exactly once, or calls
//! [`Sched::on_restart`] when the result cannot be determined.

use std::collections::BTreeMap;

pub use crate::cell_placement::LoadView;
use crate::error::Error;
use crate::failpoint::{Failpoint, active};
use crate::ids::{AdapterRef, AttemptId, Map, Set, Team};
pub use crate::load_demands::LoadGate;
use crate::load_demands::{LoadDemand, TeamLoads};
use crate::queue::{Job, Queue};
pub use crate::sched_types::{EndpointSpec, RefuseReason, SchedOut};
use crate::slots::{SlotChoice, SlotState, Slots};
use crate::time::Ms;

/// Wait of a suspect, and time since the last suspect ended, after which no other job is
/// granted until the endpoint is idle and the suspect runs.
const ISOLATION_WAIT: Ms = Ms(500);

/// Wait of a load demand after which a pinned adapter is retired for it.
const RETIRE_WAIT: Ms = Ms(250);

/// Number of ended attempts before the time per token is used to estimate waits.
const MIN_SPEED_SAMPLES: u32 = 8;

/// Retry hint for refusals without an estimate.
const DEFAULT_RETRY_AFTER: Ms = Ms(1_000);

#[derive(Debug)]
struct RunningAttempt {
    team: Option<Team>,
    tokens: u64,
    started: Ms,
    suspect: bool,
    /// Needs no adapter and therefore holds no pin.
    unpinned: bool,
}

/// Scheduler of one owned endpoint.
#[derive(Debug)]
pub struct Sched {
    spec: EndpointSpec,
    queue: Queue,
    slots: Slots,
    running: BTreeMap<AttemptId, RunningAttempt>,
    suspects: Set<u64>,
    /// End of the last suspect that ran alone.
    suspect_ended: Ms,
    leaving: bool,
    healthy: bool,
    epoch: u64,
    /// Load permits of adapters that wait for an eviction.
    held_permits: Map<AdapterRef, Team>,
    /// Load permits that the next tick returns to the gate.
    unused_permits: Vec<Team>,
    team_loads: TeamLoads,
    /// Moving average of the milliseconds per used token.
    token_ms: f64,
    speed_samples: u32,
    faults: Vec<Error>,
}

impl Sched {
    /// Creates a scheduler with empty slots.
    ///
    /// After a takeover, call [`Sched::on_restart`] with the state reported by the endpoint
    /// before the first tick.
    pub fn new(spec: EndpointSpec, now: Ms) -> Self {
        Self {
            queue: Queue::new(),
            slots: Slots::new(spec.slots),
            spec,
            running: BTreeMap::new(),
            suspects: Set::default(),
            suspect_ended: now,
            leaving: false,
            healthy: true,
            epoch: 0,
            held_permits: Map::default(),
            unused_permits: Vec::new(),
            team_loads: TeamLoads::default(),
            token_ms: 0.0,
            speed_samples: 0,
            faults: Vec::new(),
        }
    }

    /// Sets the weight of a team; the default is 1.
    pub fn set_weight(&mut self, team: &Team, weight: u32) {
        self.queue.set_weight(team, weight);
    }

    /// Grants, queues or refuses a job. A job that is already queued or running is ignored.
    pub fn submit(&mut self, now: Ms, job: Job, out: &mut Vec<SchedOut>) {
        if self.queue.contains(job.attempt) || self.running.contains_key(&job.attempt) {
            return;
        }
        if let Some((reason, retry_after)) = self.refusal_reason(now, &job) {
            out.push(SchedOut::Refuse { attempt: job.attempt, reason, retry_after });
            return;
        }
        self.queue.push(now, job);
        self.grant_ready(now, out);
        if self.queue.len() > self.spec.max_queued
            && let Some(shed) = self.queue.shed()
        {
            let retry_after = self.estimated_wait(&shed).max(DEFAULT_RETRY_AFTER);
            let reason = RefuseReason::Full;
            out.push(SchedOut::Refuse { attempt: shed.attempt, reason, retry_after });
        }
    }

    /// Refuses expired jobs, grants ready jobs, and orders loads and evictions.
    pub fn tick(&mut self, now: Ms, gate: &mut impl LoadGate, out: &mut Vec<SchedOut>) {
        for team in self.unused_permits.drain(..) {
            gate.give_back(now, &team);
        }
        for job in self.queue.expire(now) {
            refuse(&job, RefuseReason::Expired, DEFAULT_RETRY_AFTER, out);
        }
        self.grant_ready(now, out);
        self.order_loads(now, gate, out);
    }

    /// Records the completion of a load that was ordered in `epoch`.
    ///
    /// Reports from an earlier epoch are ignored, because the restart undid their effect.
    pub fn on_loaded(
        &mut self,
        now: Ms,
        adapter: &AdapterRef,
        epoch: u64,
        out: &mut Vec<SchedOut>,
    ) {
        if epoch == self.epoch && self.slots.on_loaded(now, adapter) {
            self.grant_ready(now, out);
        }
    }

    /// Records the failure of a load that was ordered in `epoch`.
    ///
    /// Refuses the jobs that wait for the adapter, so that their entry nodes try another
    /// endpoint during the back-off.
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

    /// Records the result of an eviction that was ordered in `epoch`; `done` is false if the
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
                self.held_permits.remove(&next);
                out.push(SchedOut::Load { adapter: next });
            }
            Some(Err(next)) => {
                self.unused_permits.extend(self.held_permits.remove(&next));
                self.grant_ready(now, out);
            }
            None => {}
        }
    }

    /// Records the reported end of an attempt that used `used` tokens; returns `false` if
    /// it is not running on this endpoint.
    pub fn on_end(
        &mut self,
        now: Ms,
        attempt: AttemptId,
        used: u64,
        out: &mut Vec<SchedOut>,
    ) -> bool {
        let had_pin = self.slots.unpin(attempt);
        let Some(run) = self.running.remove(&attempt) else {
            self.grant_ready(now, out);
            return had_pin;
        };
        if run.suspect {
            self.suspect_ended = now;
        }
        if let Some(team) = &run.team {
            self.queue.correct_charge(team, run.tokens, used);
            if used > 0 {
                let token_ms = now.since(run.started).0 as f64 / used as f64;
                let smoothing = if self.speed_samples == 0 { 1.0 } else { 0.05 };
                self.token_ms += (token_ms - self.token_ms) * smoothing;
                self.speed_samples += 1;
            }
        }
        self.grant_ready(now, out);
        true
    }

    /// Removes a queued attempt; returns `false` if it is not queued. A running attempt keeps
    /// its pin until its end is reported.
    pub fn cancel(&mut self, _now: Ms, attempt: AttemptId) -> bool {
        self.queue.remove(attempt).is_some()
    }

    /// Replaces the scheduler's view by the state reported by the endpoint, after a restart
    /// of the endpoint or a takeover.
    ///
    /// The state must have been read after every earlier order completed. Later reports about
    /// those orders are ignored. Returns the attempts that no longer run.
    pub fn on_restart(
        &mut self,
        now: Ms,
        loaded: &[AdapterRef],
        running: &[AttemptId],
        out: &mut Vec<SchedOut>,
    ) -> Vec<AttemptId> {
        self.epoch += 1;
        self.healthy = true;
        let mut teams: Vec<_> = self.held_permits.drain().map(|(_, team)| team).collect();
        teams.sort_unstable();
        self.unused_permits.append(&mut teams);
        let gone = self.remove_lost(now, running);
        let unpinned = |a: &&AttemptId| self.running.get(a).is_some_and(|r| r.unpinned);
        let pinned: Vec<_> = running.iter().filter(|a| !unpinned(a)).copied().collect();
        self.slots.resync(now, loaded, &pinned, self.spec.pin_grace);
        self.grant_ready(now, out);
        gone
    }

    /// Ends the attempts that are missing from the endpoint's list of running attempts, except
    /// those granted within [`EndpointSpec::pin_grace`]. Returns the attempts that ended.
    pub fn on_running(
        &mut self,
        now: Ms,
        running: &[AttemptId],
        out: &mut Vec<SchedOut>,
    ) -> Vec<AttemptId> {
        let gone = self.remove_lost(now, running);
        self.slots.prune(running);
        self.grant_ready(now, out);
        gone
    }

    /// Adopts an attempt that a former owner granted, and pins its adapter.
    ///
    /// # Errors
    /// Fails if the adapter is not loaded. No adapter is evicted until the attempt ends.
    pub fn adopt_pinned(
        &mut self,
        now: Ms,
        attempt: AttemptId,
        adapter: &AdapterRef,
    ) -> crate::error::Result<()> {
        let adopted = self.slots.adopt_pinned(now, attempt, adapter);
        if adopted.is_ok() {
            self.insert_adopted(now, attempt, false);
        }
        adopted
    }

    /// Adopts an attempt that a former owner granted and that needs no adapter.
    pub fn adopt_unpinned(&mut self, now: Ms, attempt: AttemptId) {
        self.slots.adopt_unpinned(attempt);
        self.insert_adopted(now, attempt, true);
    }

    /// Sets whether the endpoint is being removed. If so, all queued jobs are refused and no
    /// more jobs are granted.
    pub fn set_leaving(&mut self, now: Ms, leaving: bool, out: &mut Vec<SchedOut>) {
        if leaving == self.leaving || active(Failpoint::GrantLeaving) {
            return;
        }
        self.leaving = leaving;
        match leaving {
            true => self.refuse_all(RefuseReason::Leaving, Ms(0), out),
            false => self.grant_ready(now, out),
        }
    }

    /// Sets whether the endpoint answers. If not, all queued jobs are refused.
    pub fn set_healthy(&mut self, now: Ms, healthy: bool, out: &mut Vec<SchedOut>) {
        self.healthy = healthy;
        if healthy {
            self.grant_ready(now, out);
        } else {
            self.refuse_all(RefuseReason::Unhealthy, DEFAULT_RETRY_AFTER, out);
        }
    }

    /// Marks a fingerprint as suspect or clears it; a suspect runs alone.
    pub fn set_suspect(&mut self, fingerprint: u64, suspect: bool) {
        match suspect {
            true => self.suspects.insert(fingerprint),
            false => self.suspects.remove(&fingerprint),
        };
    }

    /// Refuses the queued jobs of a fingerprint that is quarantined for another `left`.
    pub fn quarantine(&mut self, fingerprint: u64, left: Ms, out: &mut Vec<SchedOut>) {
        self.suspects.remove(&fingerprint);
        for job in self.queue.drain(|j| j.fingerprint == fingerprint) {
            refuse(&job, RefuseReason::Quarantined, left, out);
        }
    }

    /// Load view of the endpoint that is published to the cell.
    pub fn load_view(&self, _now: Ms) -> LoadView {
        LoadView {
            running: self.used_places() as u32,
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

    /// Counter that increases with each call of [`Sched::on_restart`]. A report carries the
    /// epoch of its order.
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

    /// Team that a running attempt is charged to; `None` for an adopted attempt.
    pub fn team(&self, attempt: AttemptId) -> Option<&Team> {
        self.running.get(&attempt)?.team.as_ref()
    }

    /// Running attempts, in ascending order.
    pub fn running(&self) -> impl Iterator<Item = AttemptId> {
        self.running.keys().copied()
    }

    /// Number of load permits whose load has not been ordered; they belong to the gate.
    pub fn unused_permits(&self) -> usize {
        self.held_permits.len() + self.unused_permits.len()
    }

    /// Returns and clears the invariant violations found since the last call.
    pub fn take_faults(&mut self) -> Vec<Error> {
        std::mem::take(&mut self.faults)
    }

    fn used_places(&self) -> usize {
        self.running.len() + self.slots.unadopted()
    }

    fn insert_adopted(&mut self, now: Ms, attempt: AttemptId, unpinned: bool) {
        let run = RunningAttempt { team: None, tokens: 0, started: now, suspect: false, unpinned };
        self.running.entry(attempt).or_insert(run);
    }

    /// Removes the attempts that are not in `running`, except those within the grace time, and
    /// returns them.
    fn remove_lost(&mut self, now: Ms, running: &[AttemptId]) -> Vec<AttemptId> {
        let alive: Set<_> = running.iter().collect();
        let lost = |a: &AttemptId, r: &RunningAttempt| {
            !alive.contains(a) && now.since(r.started) >= self.spec.pin_grace
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

    /// Reason why a new job cannot be accepted, with a retry hint.
    fn refusal_reason(&self, now: Ms, job: &Job) -> Option<(RefuseReason, Ms)> {
        if self.leaving {
            return Some((RefuseReason::Leaving, Ms(0)));
        }
        if !self.healthy {
            return Some((RefuseReason::Unhealthy, DEFAULT_RETRY_AFTER));
        }
        if job.deadline <= now {
            return Some((RefuseReason::Expired, DEFAULT_RETRY_AFTER));
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
        let wait = self.estimated_wait(job).max(load);
        let left = job.deadline.since(now);
        (wait > left).then(|| (RefuseReason::Deadline, (wait - left).max(Ms(1))))
    }

    /// Estimated wait of a job for a place in the batch; 0 until [`MIN_SPEED_SAMPLES`]
    /// attempts have ended.
    fn estimated_wait(&self, job: &Job) -> Ms {
        if self.used_places() < self.spec.batch || self.speed_samples < MIN_SPEED_SAMPLES {
            return Ms(0);
        }
        let ahead = self.queue.tokens_ahead(&job.team, job.priority) as f64;
        Ms((ahead * self.token_ms / self.spec.batch.max(1) as f64) as u64)
    }

    fn grant_ready(&mut self, now: Ms, out: &mut Vec<SchedOut>) {
        if self.leaving || !self.healthy {
            return;
        }
        while self.used_places() < self.spec.batch && !self.queue.is_empty() {
            // A suspect runs alone, so that a crash can be attributed to it.
            let alone = self.used_places() == 0;
            if self.running.values().any(|r| r.suspect) {
                return;
            }
            let (slots, suspects) = (&self.slots, &self.suspects);
            let ready = |j: &Job| j.adapter.as_ref().is_none_or(|a| slots.ready(a));
            let suspect = |j: &Job| suspects.contains(&j.fingerprint);
            // An endpoint under constant load is never idle, so a suspect that has waited
            // blocks other grants until it can run alone.
            let isolate = !suspects.is_empty()
                && now.since(self.suspect_ended) >= ISOLATION_WAIT
                && self
                    .queue
                    .jobs()
                    .any(|j| suspect(j) && ready(j) && now.since(j.arrived) >= ISOLATION_WAIT);
            let may_run = |j: &Job| ready(j) && if suspect(j) { alone } else { !isolate };
            let Some(job) = self.queue.pop(now, may_run) else { return };
            let suspect = self.suspects.contains(&job.fingerprint);
            if let Some(adapter) = &job.adapter
                && !active(Failpoint::SkipPin)
                && let Err(fault) = self.slots.pin(now, job.attempt, adapter)
            {
                self.faults.push(fault);
                refuse(&job, RefuseReason::Unhealthy, DEFAULT_RETRY_AFTER, out);
                continue;
            }
            // Only granted jobs raise the adapter's frequency, so that a flood of refused
            // jobs does not win slots.
            if let Some(adapter) = &job.adapter {
                self.slots.request(now, adapter);
            }
            out.push(SchedOut::Grant { attempt: job.attempt });
            let (tokens, unpinned) = (job.tokens, job.adapter.is_none());
            let run =
                RunningAttempt { team: Some(job.team), tokens, started: now, suspect, unpinned };
            self.running.insert(job.attempt, run);
        }
    }

    fn order_loads(&mut self, now: Ms, gate: &mut impl LoadGate, out: &mut Vec<SchedOut>) {
        if self.leaving || !self.healthy {
            return;
        }
        loop {
            let absent = |a: &_| self.slots.state(now, a) == SlotState::Absent;
            let demands = self.team_loads.demands(&self.queue, absent);
            if demands.is_empty() {
                self.slots.cancel_retirements();
                return;
            }
            if self.slots.loading() >= self.spec.max_loads {
                return;
            }
            let mut full = true;
            let permitted = demands.iter().find_map(|d| {
                let waited = now.since(d.arrived);
                let choice = self.slots.choose_slot(now, waited, |a| self.queue.waiting_for(a) > 0);
                full &= choice == SlotChoice::None;
                let fits = choice != SlotChoice::None && gate.try_load(now, &d.team);
                fits.then(|| (d.clone(), choice))
            });
            let Some((LoadDemand { team, adapter, .. }, choice)) = permitted else {
                if full && demands.iter().any(|d| now.since(d.arrived) >= RETIRE_WAIT) {
                    self.slots.retire(now, self.spec.max_loads);
                }
                return;
            };
            let ordered = match &choice {
                SlotChoice::Evict(victim) => self.slots.start_evict(now, victim, &adapter),
                _ => self.slots.start_load(now, &adapter),
            };
            if let Err(fault) = ordered {
                self.faults.push(fault);
                self.unused_permits.push(team);
                return;
            }
            self.team_loads.charge(&team);
            match choice {
                SlotChoice::Evict(victim) => {
                    self.held_permits.insert(adapter, team);
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
