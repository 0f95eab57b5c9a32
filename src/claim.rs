//! At-most-once execution of calls that must not be repeated.
//!
//! A claim row is committed before the first byte of a call is sent; later
//! calls with the same key find it. Claims and stored answers are written in
//! batches. An attempt that was never sent leaves a *void* row: unlike a
//! deletion, it makes a delayed commit of the abandoned claim fail, and a later
//! call takes it over at its version. A row of a node that is gone becomes
//! *unknown* and is never run again, even if the endpoint has not seen the
//! attempt, because a paused sender could still send it.
//!
//! Events are collected by [`Claims::poll`], which the shell calls after each
//! input and at least every 20 ms. Each [`ClaimOutput::Proceed`] is answered by one
//! [`Claims::finish`]; a node that may not send finishes with
//! [`Outcome::NotRun`]. A claim belongs to one attempt, so a retry on another
//! endpoint finishes the first attempt as not run and opens a new call.
//!
//! ```
//! use sycamorefork::claim::{Call, ClaimOutput, Claims, Opened, Outcome, Settings};
//! use sycamorefork::ids::{AttemptId, Node};
//! use sycamorefork::storage::Commit;
//! use sycamorefork::time::Ms;
//!
//! let mut claims = Claims::new(Node::new("node"), Settings::default(), 1);
//! let call = Call {
//!     key: "claim/key".to_owned(),
//!     digest: "body".to_owned(),
//!     attempt: AttemptId(7),
//!     endpoint: "booking-1".into(),
//!     deadline: Ms(1000),
//!     created: Ms(1_700_000_000_000),
//! };
//! let Opened::Queued(ticket) = claims.open(Ms(0), call) else { panic!() };
//! let batch = claims.next_batch(Ms(0)).unwrap();
//! claims.on_commit(Ms(5), batch.id, Ok(Commit::Done(vec![1])));
//! assert_eq!(claims.poll(Ms(5)), [ClaimOutput::Proceed(ticket)]);
//! claims.finish(Ms(9), ticket, Outcome::NotRun).unwrap();
//! ```

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::attempt::Backoff;
use crate::claim_entry::{Busy, Entry, Known, Phase, Waiter};
pub use crate::claim_row::{CLAIM_PREFIX, ClaimAnswer, ClaimRow, ClaimState, body_digest, row_key};
pub use crate::claim_types::{
    Batch, Call, ClaimOutput, Counts, Opened, Outcome, Settings, Status, Ticket, Unrun,
};
use crate::error::{Error, Result};
use crate::failpoint::{Failpoint, active};
use crate::ids::{AttemptId, Endpoint, Map, Node, Set};
use crate::storage::{Commit, Cond, TXN_WRITES, Txn, Write};
use crate::time::Ms;

/// Idempotency claims of one node.
#[derive(Debug)]
pub struct Claims {
    pub(crate) node: Node,
    pub(crate) settings: Settings,
    pub(crate) rng: SmallRng,
    pub(crate) prefix: u64,
    pub(crate) entries: Map<String, Entry>,
    pub(crate) tickets: Map<Ticket, String>,
    pub(crate) queue: VecDeque<String>,
    pub(crate) reads: VecDeque<String>,
    pub(crate) timers: BTreeSet<(Ms, String)>,
    /// Keys whose outcome is stored, oldest first.
    pub(crate) done: VecDeque<String>,
    pub(crate) flights: BTreeMap<u64, Vec<(String, u64)>>,
    pub(crate) gone: Set<Node>,
    pub(crate) out: Vec<ClaimOutput>,
    pub(crate) backoff: Backoff,
    pub(crate) hold: Ms,
    pub(crate) next_write: u64,
    pub(crate) next_read: u64,
    pub(crate) next_id: u64,
    pub(crate) memory: usize,
    pub(crate) counts: Counts,
}

impl Claims {
    /// A node without claims; `node` is unique per incarnation.
    pub fn new(node: Node, settings: Settings, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        Self {
            prefix: rng.random(),
            node,
            settings,
            rng,
            entries: Map::default(),
            tickets: Map::default(),
            queue: VecDeque::new(),
            reads: VecDeque::new(),
            timers: BTreeSet::new(),
            done: VecDeque::new(),
            flights: BTreeMap::new(),
            gone: Set::default(),
            out: Vec::new(),
            backoff: Backoff::new(Ms(20), Ms(1000)),
            hold: Ms(0),
            next_write: 0,
            next_read: 0,
            next_id: 0,
            memory: 0,
            counts: Counts::default(),
        }
    }

    /// Counters since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Keys in memory.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is in memory.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn ticket(&mut self, key: &str) -> Ticket {
        self.next_id += 1;
        let ticket = Ticket(self.next_id);
        self.tickets.insert(ticket, key.to_owned());
        ticket
    }

    pub(crate) fn running_row(&self, call: &Call) -> ClaimRow {
        ClaimRow {
            digest: call.digest.clone(),
            attempt: call.attempt,
            node: self.node.clone(),
            endpoint: call.endpoint.clone(),
            state: ClaimState::Running,
            created: call.created,
            answer: None,
        }
    }

    /// Starts a call.
    pub fn open(&mut self, now: Ms, call: Call) -> Opened {
        let key = call.key.clone();
        if let Some(entry) = self.entries.get(&key) {
            let row = &entry.row;
            let settled = matches!(entry.phase, Phase::Storing | Phase::Done);
            let void = row.state == ClaimState::Void;
            if !void && row.digest != call.digest {
                return Opened::Conflict;
            }
            match (&row.answer, row.state) {
                (Some(answer), ClaimState::Ended) if settled => {
                    return Opened::Replay(answer.clone());
                }
                (_, ClaimState::Unknown) if entry.phase == Phase::Done => {
                    let (attempt, endpoint) = (row.attempt, row.endpoint.clone());
                    return Opened::Unknown { attempt, endpoint };
                }
                _ => {}
            }
            let ticket = self.ticket(&key);
            self.timers.insert((call.deadline, key.clone()));
            if let Some(entry) = self.entries.get_mut(&key) {
                entry.waiters.push(Waiter { ticket, call });
            }
            return Opened::Wait(ticket);
        }
        if self.entries.len() >= self.settings.entries && !self.evict() {
            return Opened::Full;
        }
        let ticket = self.ticket(&key);
        self.timers.insert((call.deadline, key.clone()));
        let entry = Entry {
            row: self.running_row(&call),
            call: Some(Waiter { ticket, call }),
            phase: Phase::Claiming,
            known: Known::Absent,
            busy: Busy::Idle,
            stamp: 0,
            tried: false,
            conflicts: 0,
            waiters: Vec::new(),
            until: Ms(0),
            size: 0,
        };
        self.entries.insert(key.clone(), entry);
        if active(Failpoint::SkipClaim) {
            self.settled(now, &key);
        } else {
            self.enqueue(&key);
        }
        Opened::Queued(ticket)
    }

    /// Whether the attempt of this call may be sent: its claim is in the table.
    pub fn may_send(&self, ticket: Ticket, attempt: AttemptId) -> bool {
        let entry = self.tickets.get(&ticket).and_then(|key| self.entries.get(key));
        entry.is_some_and(|e| {
            let call = e.call.as_ref().is_some_and(|w| w.ticket == ticket);
            let row = e.row.attempt == attempt && matches!(e.known, Known::At(_));
            call && row && e.phase == Phase::Granted
        })
    }

    /// Queues the write that the entry needs, or the read that must precede it.
    pub(crate) fn enqueue(&mut self, key: &str) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        if entry.busy != Busy::Idle {
            return;
        }
        if entry.known == Known::Unclear || entry.phase == Phase::Watching {
            entry.busy = Busy::Reading;
            self.reads.push_back(key.to_owned());
        } else if matches!(entry.phase, Phase::Claiming | Phase::Storing) {
            entry.busy = Busy::Queued;
            self.queue.push_back(key.to_owned());
        }
    }

    /// The next transaction, if one is due.
    pub fn next_batch(&mut self, now: Ms) -> Option<Batch> {
        let clock = now.0 * 1000;
        if self.flights.len() >= self.settings.flights || now < self.hold || clock < self.next_write
        {
            return None;
        }
        let mut writes = Vec::new();
        let mut ops = Vec::new();
        while writes.len() < TXN_WRITES {
            let Some(key) = self.queue.pop_front() else { break };
            let Some(entry) = self.entries.get_mut(&key).filter(|e| e.busy == Busy::Queued) else {
                continue;
            };
            let cond = match entry.known {
                Known::Absent => Cond::Absent,
                Known::At(version) => Cond::Version(version),
                Known::Unclear => continue,
            };
            entry.busy = Busy::Flight;
            entry.tried = true;
            writes.push(Write::put(key.clone(), cond, entry.row.value()));
            ops.push((key, entry.stamp));
        }
        if writes.is_empty() {
            return None;
        }
        // Spacing counts from the due time if the node is at most one step late,
        // so that the granularity of the shell's ticks does not lower the rate.
        let step = 1_000_000 / self.settings.writes.max(1);
        self.next_write = self.next_write.max(clock.saturating_sub(step)) + step;
        self.next_id += 1;
        self.counts.batches += 1;
        let id = self.next_id;
        self.flights.insert(id, ops);
        let txn = Txn { id: format!("claim-{}-{:016x}-{id}", self.node, self.prefix), writes };
        Some(Batch { id, txn })
    }

    /// Takes the outcome of a batch; an `Err` means that it is unknown.
    ///
    /// The shell reports an `Err` for a commit that stays unanswered too long.
    pub fn on_commit(&mut self, now: Ms, id: u64, outcome: Result<Commit>) {
        let Some(ops) = self.flights.remove(&id) else { return };
        match outcome {
            Ok(Commit::Done(versions)) if versions.len() == ops.len() => {
                self.backoff.reset();
                for ((key, stamp), version) in ops.into_iter().zip(versions) {
                    self.on_written(now, &key, stamp, version);
                }
            }
            Ok(Commit::Conflict(loser)) if ops.iter().any(|(key, _)| *key == loser) => {
                self.backoff.reset();
                for (key, _) in ops.into_iter().rev() {
                    let Some(entry) = self.entries.get_mut(&key) else { continue };
                    entry.conflicts += 1;
                    // A batch with several lost conditions loses one per round, so
                    // after two rounds all of its rows are read.
                    if key == loser || entry.conflicts > 2 {
                        entry.known = Known::Unclear;
                    }
                    entry.busy = Busy::Idle;
                    if entry.known == Known::Unclear {
                        self.enqueue(&key);
                    } else {
                        entry.busy = Busy::Queued;
                        self.queue.push_front(key);
                    }
                }
            }
            _ => {
                self.hold = now + self.backoff.next(&mut self.rng);
                for (key, _) in ops {
                    if let Some(entry) = self.entries.get_mut(&key) {
                        entry.known = Known::Unclear;
                        entry.busy = Busy::Idle;
                        self.enqueue(&key);
                    }
                }
            }
        }
    }

    fn on_written(&mut self, now: Ms, key: &str, stamp: u64, version: u64) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        entry.known = Known::At(version);
        entry.busy = Busy::Idle;
        entry.conflicts = 0;
        if entry.stamp == stamp {
            self.settled(now, key);
        } else {
            self.enqueue(key);
        }
    }

    /// The table holds the entry's row.
    pub(crate) fn settled(&mut self, now: Ms, key: &str) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        match (entry.phase, entry.row.state) {
            (Phase::Claiming, _) => {
                let Some(waiter) = &entry.call else { return };
                if now < waiter.call.deadline {
                    entry.phase = Phase::Granted;
                    self.out.push(ClaimOutput::Proceed(waiter.ticket));
                } else {
                    self.give_up(now, key);
                }
            }
            (Phase::Storing, ClaimState::Void) => self.promote(now, key),
            (Phase::Storing, ClaimState::Unknown) => self.ask(now, key),
            (Phase::Storing, _) => self.keep(now, key),
            _ => {}
        }
    }

    /// Keeps the stored outcome in memory for a while.
    pub(crate) fn keep(&mut self, now: Ms, key: &str) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        entry.phase = Phase::Done;
        entry.until = now + self.settings.cache;
        self.timers.insert((entry.until, key.to_owned()));
        self.done.push_back(key.to_owned());
    }

    /// Forgets the oldest outcome that is stored in the table.
    pub(crate) fn evict(&mut self) -> bool {
        while let Some(key) = self.done.pop_front() {
            if self.entries.get(&key).is_some_and(|e| e.phase == Phase::Done) {
                self.forget(&key);
                return true;
            }
        }
        false
    }

    pub(crate) fn ask(&mut self, now: Ms, key: &str) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        entry.phase = Phase::Asking;
        entry.until = now + self.settings.cache;
        self.timers.insert((entry.until, key.to_owned()));
        let (attempt, endpoint) = (entry.row.attempt, entry.row.endpoint.clone());
        self.out.push(ClaimOutput::Query { key: key.to_owned(), attempt, endpoint });
    }

    /// Refuses the call of a claim whose deadline has passed, and voids the claim.
    fn give_up(&mut self, now: Ms, key: &str) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        if let Some(waiter) = entry.call.take() {
            // A waiting call with the same key may run next, so this caller
            // cannot be told that its call did not run.
            let next = entry.live(now);
            self.end_unsent(waiter.ticket, next);
        }
        let Some(entry) = self.entries.get_mut(key) else { return };
        entry.row.state = ClaimState::Void;
        entry.phase = Phase::Storing;
        entry.stamp += 1;
        self.end_late(now, key);
        let Some(entry) = self.entries.get_mut(key) else { return };
        if !entry.tried {
            // No claim has left this node, so there is nothing to make void.
            entry.busy = Busy::Idle;
            self.promote(now, key);
        } else {
            self.enqueue(key);
        }
    }

    /// Lets the next waiting call claim a key that is free, or forgets the key.
    pub(crate) fn promote(&mut self, now: Ms, key: &str) {
        self.end_late(now, key);
        let Some(entry) = self.entries.get_mut(key) else { return };
        let mut waiters = std::mem::take(&mut entry.waiters);
        let Some(next) = (!waiters.is_empty()).then(|| waiters.remove(0)) else {
            self.forget(key);
            return;
        };
        waiters.retain(|w| w.call.digest == next.call.digest || self.conflict(w));
        let row = self.running_row(&next.call);
        let Some(entry) = self.entries.get_mut(key) else { return };
        entry.row = row;
        entry.call = Some(next);
        entry.waiters = waiters;
        entry.phase = Phase::Claiming;
        entry.stamp += 1;
        self.enqueue(key);
    }

    /// Ends a call that was not sent; `other` is an attempt of the same key that
    /// may run or may have run.
    fn end_unsent(&mut self, ticket: Ticket, other: Option<(AttemptId, Endpoint)>) {
        self.tickets.remove(&ticket);
        self.out.push(match other {
            Some((attempt, endpoint)) => ClaimOutput::Unknown { ticket, attempt, endpoint },
            None => ClaimOutput::NotRun(ticket, Unrun::Deadline),
        });
    }

    /// Ends the waiting calls whose deadline has passed.
    fn end_late(&mut self, now: Ms, key: &str) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        let other = match entry.row.state {
            ClaimState::Void => entry.live(now),
            _ => Some((entry.row.attempt, entry.row.endpoint.clone())),
        };
        let waiters = std::mem::take(&mut entry.waiters);
        let (late, rest) = waiters.into_iter().partition(|w| w.call.deadline <= now);
        entry.waiters = rest;
        let late: Vec<Waiter> = late;
        for waiter in late {
            self.end_unsent(waiter.ticket, other.clone());
        }
    }

    fn conflict(&mut self, waiter: &Waiter) -> bool {
        self.tickets.remove(&waiter.ticket);
        self.out.push(ClaimOutput::Conflict(waiter.ticket));
        false
    }

    pub(crate) fn forget(&mut self, key: &str) {
        if let Some(entry) = self.entries.remove(key) {
            self.memory -= entry.size;
        }
    }

    /// Ends the call and all that wait for the same key.
    pub(crate) fn tell_all(&mut self, key: &str, event: impl Fn(Ticket) -> ClaimOutput) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        let waiters = std::mem::take(&mut entry.waiters);
        for waiter in entry.call.take().into_iter().chain(waiters) {
            self.tickets.remove(&waiter.ticket);
            self.out.push(event(waiter.ticket));
        }
    }

    /// Takes the outcome of an attempt that was allowed to proceed.
    ///
    /// # Errors
    /// Fails for a ticket that was not allowed to proceed or has ended.
    pub fn finish(&mut self, _now: Ms, ticket: Ticket, outcome: Outcome) -> Result<()> {
        let stray = || Error::state("claim", format!("call {} has no open attempt", ticket.0));
        let key = self.tickets.get(&ticket).cloned().ok_or_else(stray)?;
        let entry = self.entries.get_mut(&key).ok_or_else(stray)?;
        let current = entry.call.as_ref().is_some_and(|w| w.ticket == ticket);
        if entry.phase != Phase::Granted || !current {
            return Err(stray());
        }
        entry.call = None;
        entry.phase = Phase::Storing;
        entry.stamp += 1;
        match outcome {
            Outcome::Answer(answer) => self.set_answer(&key, answer),
            Outcome::NotRun => entry.row.state = ClaimState::Void,
            Outcome::Unknown => entry.row.state = ClaimState::Unknown,
        }
        self.tickets.remove(&ticket);
        self.enqueue(&key);
        Ok(())
    }

    fn set_answer(&mut self, key: &str, answer: ClaimAnswer) {
        self.tell_all(key, |ticket| ClaimOutput::Replay(ticket, answer.clone()));
        if let Some(entry) = self.entries.get_mut(key) {
            entry.row.state = ClaimState::Ended;
            entry.row.answer = Some(answer);
            self.bound_answer(key);
        }
    }

    /// Takes the answer to a [`ClaimOutput::Query`].
    pub fn on_status(&mut self, now: Ms, key: &str, status: Status) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        if entry.phase != Phase::Asking {
            return;
        }
        match status {
            Status::Ended(answer) => {
                entry.phase = Phase::Storing;
                entry.stamp += 1;
                self.set_answer(key, answer);
                self.enqueue(key);
            }
            Status::Running => {
                entry.until = now + self.settings.recheck;
                self.timers.insert((entry.until, key.to_owned()));
            }
            Status::Unclear => {
                let (attempt, endpoint) = (entry.row.attempt, entry.row.endpoint.clone());
                self.tell_all(key, |ticket| {
                    let endpoint = endpoint.clone();
                    ClaimOutput::Unknown { ticket, attempt, endpoint }
                });
                self.keep(now, key);
            }
        }
    }

    /// Records evidence that a node has no authority any more and sends nothing.
    pub fn node_gone(&mut self, now: Ms, node: &Node) {
        // Nodes are replaced thousands of times a day; the shell reports a node
        // again when a call waits for it.
        if self.gone.len() >= 20_000 {
            self.gone.clear();
        }
        self.gone.insert(node.clone());
        for (key, entry) in &mut self.entries {
            if entry.phase == Phase::Watching && entry.row.node == *node {
                entry.until = now;
                self.timers.insert((now, key.clone()));
            }
        }
    }

    /// Runs timers and returns the events since the last call.
    pub fn poll(&mut self, now: Ms) -> Vec<ClaimOutput> {
        while let Some((at, _)) = self.timers.first()
            && *at <= now
            && let Some((_, key)) = self.timers.pop_first()
        {
            self.on_timer(now, &key);
        }
        self.emit_reads(now);
        std::mem::take(&mut self.out)
    }

    fn emit_reads(&mut self, now: Ms) {
        let clock = now.0 * 1000;
        let step = 1_000_000 / self.settings.reads.max(1);
        // Reads saved up over the last 50 ms may be sent together.
        self.next_read = self.next_read.max(clock.saturating_sub(50_000));
        let mut keys = Vec::new();
        while now >= self.hold && self.next_read <= clock && keys.len() < TXN_WRITES {
            let Some(key) = self.reads.pop_front() else { break };
            if self.entries.get(&key).is_some_and(|e| e.busy == Busy::Reading) {
                self.next_read += step;
                keys.push(key);
            }
        }
        if !keys.is_empty() {
            self.counts.reads += keys.len() as u64;
            self.out.push(ClaimOutput::Read { keys });
        }
    }

    fn on_timer(&mut self, now: Ms, key: &str) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        let other = (entry.row.attempt, entry.row.endpoint.clone());
        if entry.call.as_ref().is_some_and(|w| w.call.deadline <= now) {
            match entry.phase {
                Phase::Claiming => return self.give_up(now, key),
                Phase::Granted => {}
                _ => {
                    if let Some(waiter) = entry.call.take() {
                        self.end_unsent(waiter.ticket, Some(other));
                    }
                }
            }
        }
        self.end_late(now, key);
        let Some(entry) = self.entries.get_mut(key) else { return };
        let idle = entry.call.is_none() && entry.waiters.is_empty();
        let due = entry.until <= now;
        match entry.phase {
            Phase::Done if due => self.forget(key),
            Phase::Watching if idle => self.forget(key),
            Phase::Watching if due => self.enqueue(key),
            Phase::Asking if due && idle => self.forget(key),
            Phase::Asking if due => self.ask(now, key),
            _ => {}
        }
    }
}
