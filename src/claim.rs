//! At-most-once execution of calls that must not be repeated.
//!
//! A claim row is committed before the first byte of a call is sent, and later calls with the
//! same key find it. Claims and answers are written in batches. An attempt that was never sent
//! leaves a *void* row. Unlike a deletion, it makes a delayed commit of the abandoned claim
//! fail, and a later call replaces it with a conditional write on its version. When a node is
//! gone, its running rows become *unknown*. Such a call is never run again, even if the
//! endpoint has not seen the attempt, because a paused sender could still send it.
//!
//! The module performs no I/O. [`Claims::poll`] returns its outputs and is called after each
//! input and at least every 20 ms. Each [`ClaimOutput::Proceed`] needs one [`Claims::finish`],
//! with [`Outcome::NotRun`] if the node is not allowed to send the call. A claim belongs to one
//! attempt: before a retry on another endpoint, the first attempt is finished as not run and a
//! new call is opened.
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
use crate::claim_entry::{Entry, PendingCall, Phase, RowVersion, TableIo};
pub use crate::claim_row::{CLAIM_PREFIX, ClaimAnswer, ClaimRow, ClaimState, body_digest, row_key};
pub use crate::claim_types::{
    Batch, Call, ClaimOutput, Counts, NotRunReason, Opened, Outcome, Settings, Status, Ticket,
};
use crate::error::{Error, Result};
use crate::failpoint::{Failpoint, active};
use crate::ids::{AttemptId, Endpoint, Map, Node, Set};
use crate::storage::{Commit, Cond, MAX_TXN_WRITES, Txn, Write};
use crate::time::Ms;

/// Idempotency claims of one node.
#[derive(Debug)]
pub struct Claims {
    pub(crate) node: Node,
    pub(crate) settings: Settings,
    pub(crate) rng: SmallRng,
    /// Random part of transaction ids.
    pub(crate) txn_prefix: u64,
    pub(crate) entries: Map<String, Entry>,
    pub(crate) tickets: Map<Ticket, String>,
    pub(crate) write_queue: VecDeque<String>,
    pub(crate) read_queue: VecDeque<String>,
    pub(crate) timers: BTreeSet<(Ms, String)>,
    /// Keys whose outcome is in the table, oldest first.
    pub(crate) stored_keys: VecDeque<String>,
    /// Keys and row revisions of each unanswered batch, by batch id.
    pub(crate) in_flight: BTreeMap<u64, Vec<(String, u64)>>,
    pub(crate) gone_nodes: Set<Node>,
    pub(crate) outputs: Vec<ClaimOutput>,
    pub(crate) backoff: Backoff,
    /// End of the back-off after a failed request to the table.
    pub(crate) paused_until: Ms,
    /// Earliest time of the next transaction, in microseconds.
    pub(crate) next_write: u64,
    /// Earliest time of the next row read, in microseconds.
    pub(crate) next_read: u64,
    pub(crate) next_id: u64,
    /// Total size of the answers in memory.
    pub(crate) answer_bytes: usize,
    pub(crate) counts: Counts,
}

impl Claims {
    /// Creates an empty set of claims. `node` is unique to each start of the process.
    pub fn new(node: Node, settings: Settings, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        Self {
            txn_prefix: rng.random(),
            node,
            settings,
            rng,
            entries: Map::default(),
            tickets: Map::default(),
            write_queue: VecDeque::new(),
            read_queue: VecDeque::new(),
            timers: BTreeSet::new(),
            stored_keys: VecDeque::new(),
            in_flight: BTreeMap::new(),
            gone_nodes: Set::default(),
            outputs: Vec::new(),
            backoff: Backoff::new(Ms(20), Ms(1000)),
            paused_until: Ms(0),
            next_write: 0,
            next_read: 0,
            next_id: 0,
            answer_bytes: 0,
            counts: Counts::default(),
        }
    }

    /// Counters since this value was created.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Number of keys in memory.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is in memory.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn new_ticket(&mut self, key: &str) -> Ticket {
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

    /// Opens a call: returns a known outcome, waits for a call with the same key, or claims it.
    pub fn open(&mut self, now: Ms, call: Call) -> Opened {
        let key = call.key.clone();
        if let Some(entry) = self.entries.get(&key) {
            let row = &entry.row;
            let ended = matches!(entry.phase, Phase::Storing | Phase::Stored);
            let void = row.state == ClaimState::Void;
            if !void && row.digest != call.digest {
                return Opened::Conflict;
            }
            match (&row.answer, row.state) {
                (Some(answer), ClaimState::Ended) if ended => {
                    return Opened::Replay(answer.clone());
                }
                (_, ClaimState::Unknown) if entry.phase == Phase::Stored => {
                    let (attempt, endpoint) = (row.attempt, row.endpoint.clone());
                    return Opened::Unknown { attempt, endpoint };
                }
                _ => {}
            }
            let ticket = self.new_ticket(&key);
            self.timers.insert((call.deadline, key.clone()));
            if let Some(entry) = self.entries.get_mut(&key) {
                entry.waiters.push(PendingCall { ticket, call });
            }
            return Opened::Wait(ticket);
        }
        if self.entries.len() >= self.settings.max_entries && !self.evict() {
            return Opened::Full;
        }
        let ticket = self.new_ticket(&key);
        self.timers.insert((call.deadline, key.clone()));
        let entry = Entry {
            row: self.running_row(&call),
            call: Some(PendingCall { ticket, call }),
            phase: Phase::Claiming,
            version: RowVersion::Absent,
            io: TableIo::Idle,
            revision: 0,
            commit_sent: false,
            conflicts: 0,
            waiters: Vec::new(),
            due_at: Ms(0),
            answer_bytes: 0,
        };
        self.entries.insert(key.clone(), entry);
        if active(Failpoint::SkipClaim) {
            self.on_row_stored(now, &key);
        } else {
            self.enqueue(&key);
        }
        Opened::Queued(ticket)
    }

    /// Returns `true` if the claim of this attempt is in the table, so that it may be sent.
    pub fn may_send(&self, ticket: Ticket, attempt: AttemptId) -> bool {
        let entry = self.tickets.get(&ticket).and_then(|key| self.entries.get(key));
        entry.is_some_and(|e| {
            let call = e.call.as_ref().is_some_and(|w| w.ticket == ticket);
            let row = e.row.attempt == attempt && matches!(e.version, RowVersion::At(_));
            call && row && e.phase == Phase::Granted
        })
    }

    /// Queues the entry's write, or a read if the version of its row is not known.
    pub(crate) fn enqueue(&mut self, key: &str) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        if entry.io != TableIo::Idle {
            return;
        }
        if entry.version == RowVersion::Unclear || entry.phase == Phase::Watching {
            entry.io = TableIo::Reading;
            self.read_queue.push_back(key.to_owned());
        } else if matches!(entry.phase, Phase::Claiming | Phase::Storing) {
            entry.io = TableIo::Queued;
            self.write_queue.push_back(key.to_owned());
        }
    }

    /// Returns the next transaction if one is due.
    pub fn next_batch(&mut self, now: Ms) -> Option<Batch> {
        let clock = now.0 * 1000;
        if self.in_flight.len() >= self.settings.max_inflight
            || now < self.paused_until
            || clock < self.next_write
        {
            return None;
        }
        let mut writes = Vec::new();
        let mut ops = Vec::new();
        while writes.len() < MAX_TXN_WRITES {
            let Some(key) = self.write_queue.pop_front() else { break };
            let Some(entry) = self.entries.get_mut(&key).filter(|e| e.io == TableIo::Queued) else {
                continue;
            };
            let cond = match entry.version {
                RowVersion::Absent => Cond::Absent,
                RowVersion::At(version) => Cond::Version(version),
                RowVersion::Unclear => continue,
            };
            entry.io = TableIo::Writing;
            entry.commit_sent = true;
            writes.push(Write::put(key.clone(), cond, entry.row.value()));
            ops.push((key, entry.revision));
        }
        if writes.is_empty() {
            return None;
        }
        // Counts from the due time if the node is at most one step late, so that the granularity
        // of the poll timer does not lower the rate.
        let step = 1_000_000 / self.settings.writes.max(1);
        self.next_write = self.next_write.max(clock.saturating_sub(step)) + step;
        self.next_id += 1;
        self.counts.batches += 1;
        let id = self.next_id;
        self.in_flight.insert(id, ops);
        let txn = Txn { id: format!("claim-{}-{:016x}-{id}", self.node, self.txn_prefix), writes };
        Some(Batch { id, txn })
    }

    /// Handles the result of a batch; an `Err`, reported also on a timeout, leaves it unknown.
    pub fn on_commit(&mut self, now: Ms, id: u64, outcome: Result<Commit>) {
        let Some(ops) = self.in_flight.remove(&id) else { return };
        match outcome {
            Ok(Commit::Done(versions)) if versions.len() == ops.len() => {
                self.backoff.reset();
                for ((key, revision), version) in ops.into_iter().zip(versions) {
                    self.on_written(now, &key, revision, version);
                }
            }
            Ok(Commit::Conflict(loser)) if ops.iter().any(|(key, _)| *key == loser) => {
                self.backoff.reset();
                for (key, _) in ops.into_iter().rev() {
                    let Some(entry) = self.entries.get_mut(&key) else { continue };
                    entry.conflicts += 1;
                    // Each commit reports only one failed condition. A row that was in
                    // more than two failed commits is read, as it may be another one.
                    if key == loser || entry.conflicts > 2 {
                        entry.version = RowVersion::Unclear;
                    }
                    entry.io = TableIo::Idle;
                    if entry.version == RowVersion::Unclear {
                        self.enqueue(&key);
                    } else {
                        entry.io = TableIo::Queued;
                        self.write_queue.push_front(key);
                    }
                }
            }
            _ => {
                self.paused_until = now + self.backoff.next(&mut self.rng);
                for (key, _) in ops {
                    if let Some(entry) = self.entries.get_mut(&key) {
                        entry.version = RowVersion::Unclear;
                        entry.io = TableIo::Idle;
                        self.enqueue(&key);
                    }
                }
            }
        }
    }

    fn on_written(&mut self, now: Ms, key: &str, revision: u64, version: u64) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        entry.version = RowVersion::At(version);
        entry.io = TableIo::Idle;
        entry.conflicts = 0;
        if entry.revision == revision {
            self.on_row_stored(now, key);
        } else {
            self.enqueue(key);
        }
    }

    /// Continues with an entry whose current row is in the table.
    pub(crate) fn on_row_stored(&mut self, now: Ms, key: &str) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        match (entry.phase, entry.row.state) {
            (Phase::Claiming, _) => {
                let Some(waiter) = &entry.call else { return };
                if now < waiter.call.deadline {
                    entry.phase = Phase::Granted;
                    self.outputs.push(ClaimOutput::Proceed(waiter.ticket));
                } else {
                    self.abandon(now, key);
                }
            }
            (Phase::Storing, ClaimState::Void) => self.claim_next(now, key),
            (Phase::Storing, ClaimState::Unknown) => self.query_attempt(now, key),
            (Phase::Storing, _) => self.cache_outcome(now, key),
            _ => {}
        }
    }

    /// Keeps a stored outcome in memory for [`Settings::cache_time`].
    pub(crate) fn cache_outcome(&mut self, now: Ms, key: &str) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        entry.phase = Phase::Stored;
        entry.due_at = now + self.settings.cache_time;
        self.timers.insert((entry.due_at, key.to_owned()));
        self.stored_keys.push_back(key.to_owned());
    }

    /// Removes the oldest outcome that is in the table from memory; `false` if there is none.
    pub(crate) fn evict(&mut self) -> bool {
        while let Some(key) = self.stored_keys.pop_front() {
            if self.entries.get(&key).is_some_and(|e| e.phase == Phase::Stored) {
                self.remove(&key);
                return true;
            }
        }
        false
    }

    pub(crate) fn query_attempt(&mut self, now: Ms, key: &str) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        entry.phase = Phase::Querying;
        entry.due_at = now + self.settings.cache_time;
        self.timers.insert((entry.due_at, key.to_owned()));
        let (attempt, endpoint) = (entry.row.attempt, entry.row.endpoint.clone());
        self.outputs.push(ClaimOutput::Query { key: key.to_owned(), attempt, endpoint });
    }

    /// Ends a call whose deadline passed before its claim was committed, and voids the claim.
    fn abandon(&mut self, now: Ms, key: &str) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        if let Some(waiter) = entry.call.take() {
            // A waiting call with the same key may run next, so "not run" may be wrong.
            let next = entry.first_unexpired(now);
            self.end_unsent(waiter.ticket, next);
        }
        let Some(entry) = self.entries.get_mut(key) else { return };
        entry.row.state = ClaimState::Void;
        entry.phase = Phase::Storing;
        entry.revision += 1;
        self.end_expired(now, key);
        let Some(entry) = self.entries.get_mut(key) else { return };
        if !entry.commit_sent {
            // No claim was sent to the table, so there is no commit to fence off.
            entry.io = TableIo::Idle;
            self.claim_next(now, key);
        } else {
            self.enqueue(key);
        }
    }

    /// Starts the claim of the next waiting call, or removes the key if none waits.
    pub(crate) fn claim_next(&mut self, now: Ms, key: &str) {
        self.end_expired(now, key);
        let Some(entry) = self.entries.get_mut(key) else { return };
        let mut waiters = std::mem::take(&mut entry.waiters);
        let Some(next) = (!waiters.is_empty()).then(|| waiters.remove(0)) else {
            self.remove(key);
            return;
        };
        waiters.retain(|w| w.call.digest == next.call.digest || self.report_conflict(w));
        let row = self.running_row(&next.call);
        let Some(entry) = self.entries.get_mut(key) else { return };
        entry.row = row;
        entry.call = Some(next);
        entry.waiters = waiters;
        entry.phase = Phase::Claiming;
        entry.revision += 1;
        self.enqueue(key);
    }

    /// Ends a call that was not sent; `other` is an attempt with its key that may run or have run.
    fn end_unsent(&mut self, ticket: Ticket, other: Option<(AttemptId, Endpoint)>) {
        self.tickets.remove(&ticket);
        self.outputs.push(match other {
            Some((attempt, endpoint)) => ClaimOutput::Unknown { ticket, attempt, endpoint },
            None => ClaimOutput::NotRun(ticket, NotRunReason::Deadline),
        });
    }

    fn end_expired(&mut self, now: Ms, key: &str) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        let other = match entry.row.state {
            ClaimState::Void => entry.first_unexpired(now),
            _ => Some((entry.row.attempt, entry.row.endpoint.clone())),
        };
        let waiters = std::mem::take(&mut entry.waiters);
        let (expired, rest) = waiters.into_iter().partition(|w| w.call.deadline <= now);
        entry.waiters = rest;
        let expired: Vec<PendingCall> = expired;
        for waiter in expired {
            self.end_unsent(waiter.ticket, other.clone());
        }
    }

    fn report_conflict(&mut self, waiter: &PendingCall) -> bool {
        self.tickets.remove(&waiter.ticket);
        self.outputs.push(ClaimOutput::Conflict(waiter.ticket));
        false
    }

    pub(crate) fn remove(&mut self, key: &str) {
        if let Some(entry) = self.entries.remove(key) {
            self.answer_bytes -= entry.answer_bytes;
        }
    }

    /// Ends all open calls of a key.
    pub(crate) fn end_all(&mut self, key: &str, output: impl Fn(Ticket) -> ClaimOutput) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        let waiters = std::mem::take(&mut entry.waiters);
        for waiter in entry.call.take().into_iter().chain(waiters) {
            self.tickets.remove(&waiter.ticket);
            self.outputs.push(output(waiter.ticket));
        }
    }

    /// Records the outcome of an attempt that was allowed to proceed.
    ///
    /// # Errors
    /// Fails if the ticket was not allowed to proceed or its call has ended.
    pub fn finish(&mut self, _now: Ms, ticket: Ticket, outcome: Outcome) -> Result<()> {
        let not_open = || Error::state("claim", format!("call {} has no open attempt", ticket.0));
        let key = self.tickets.get(&ticket).cloned().ok_or_else(not_open)?;
        let entry = self.entries.get_mut(&key).ok_or_else(not_open)?;
        let current = entry.call.as_ref().is_some_and(|w| w.ticket == ticket);
        if entry.phase != Phase::Granted || !current {
            return Err(not_open());
        }
        entry.call = None;
        entry.phase = Phase::Storing;
        entry.revision += 1;
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
        self.end_all(key, |ticket| ClaimOutput::Replay(ticket, answer.clone()));
        if let Some(entry) = self.entries.get_mut(key) {
            entry.row.state = ClaimState::Ended;
            entry.row.answer = Some(answer);
            self.limit_answer(key);
        }
    }

    /// Handles the result of a [`ClaimOutput::Query`].
    pub fn on_status(&mut self, now: Ms, key: &str, status: Status) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        if entry.phase != Phase::Querying {
            return;
        }
        match status {
            Status::Ended(answer) => {
                entry.phase = Phase::Storing;
                entry.revision += 1;
                self.set_answer(key, answer);
                self.enqueue(key);
            }
            Status::Running => {
                entry.due_at = now + self.settings.recheck_interval;
                self.timers.insert((entry.due_at, key.to_owned()));
            }
            Status::Unclear => {
                let (attempt, endpoint) = (entry.row.attempt, entry.row.endpoint.clone());
                self.end_all(key, |ticket| {
                    let endpoint = endpoint.clone();
                    ClaimOutput::Unknown { ticket, attempt, endpoint }
                });
                self.cache_outcome(now, key);
            }
        }
    }

    /// Records that a node has lost its authority and sends nothing any more.
    pub fn node_gone(&mut self, now: Ms, node: &Node) {
        // Bounds memory, as nodes are replaced thousands of times a day; a dropped node
        // is reported again when a call waits for it.
        if self.gone_nodes.len() >= 20_000 {
            self.gone_nodes.clear();
        }
        self.gone_nodes.insert(node.clone());
        for (key, entry) in &mut self.entries {
            if entry.phase == Phase::Watching && entry.row.node == *node {
                entry.due_at = now;
                self.timers.insert((now, key.clone()));
            }
        }
    }

    /// Runs due timers and returns the outputs since the last call.
    pub fn poll(&mut self, now: Ms) -> Vec<ClaimOutput> {
        while let Some((at, _)) = self.timers.first()
            && *at <= now
            && let Some((_, key)) = self.timers.pop_first()
        {
            self.on_timer(now, &key);
        }
        self.emit_reads(now);
        std::mem::take(&mut self.outputs)
    }

    fn emit_reads(&mut self, now: Ms) {
        let clock = now.0 * 1000;
        let step = 1_000_000 / self.settings.reads.max(1);
        // Allows bursts of the reads that accrued over at most 50 ms.
        self.next_read = self.next_read.max(clock.saturating_sub(50_000));
        let mut keys = Vec::new();
        while now >= self.paused_until && self.next_read <= clock && keys.len() < MAX_TXN_WRITES {
            let Some(key) = self.read_queue.pop_front() else { break };
            if self.entries.get(&key).is_some_and(|e| e.io == TableIo::Reading) {
                self.next_read += step;
                keys.push(key);
            }
        }
        if !keys.is_empty() {
            self.counts.reads += keys.len() as u64;
            self.outputs.push(ClaimOutput::Read { keys });
        }
    }

    fn on_timer(&mut self, now: Ms, key: &str) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        let other = (entry.row.attempt, entry.row.endpoint.clone());
        if entry.call.as_ref().is_some_and(|w| w.call.deadline <= now) {
            match entry.phase {
                Phase::Claiming => return self.abandon(now, key),
                Phase::Granted => {}
                _ => {
                    if let Some(waiter) = entry.call.take() {
                        self.end_unsent(waiter.ticket, Some(other));
                    }
                }
            }
        }
        self.end_expired(now, key);
        let Some(entry) = self.entries.get_mut(key) else { return };
        let idle = entry.call.is_none() && entry.waiters.is_empty();
        let due = entry.due_at <= now;
        match entry.phase {
            Phase::Stored if due => self.remove(key),
            Phase::Watching if idle => self.remove(key),
            Phase::Watching if due => self.enqueue(key),
            Phase::Querying if due && idle => self.remove(key),
            Phase::Querying if due => self.query_attempt(now, key),
            _ => {}
        }
    }
}
