//! Handling of claim rows that were read, and removal of old rows.

use crate::claim::{CLAIM_PREFIX, ClaimOutput, ClaimRow, ClaimState, Claims};
use crate::claim_entry::{Phase, RowVersion, TableIo};
use crate::error::Result;
use crate::ids::Map;
use crate::storage::{Cond, MAX_TXN_WRITES, Row, Txn, Write};
use crate::time::Ms;

impl Claims {
    /// Handles rows that were read. A key of `keys` without a row in `rows` has none in the table.
    pub fn on_rows(&mut self, now: Ms, keys: &[String], rows: Result<Vec<Row>>) {
        let rows = match rows {
            Ok(rows) => rows,
            Err(_) => {
                self.paused_until = now + self.backoff.next(&mut self.rng);
                self.read_queue.extend(keys.iter().cloned());
                return;
            }
        };
        let rows: Map<&str, &Row> = rows.iter().map(|r| (r.key.as_str(), r)).collect();
        for key in keys {
            let Some(entry) = self.entries.get_mut(key).filter(|e| e.io == TableIo::Reading) else {
                continue;
            };
            entry.io = TableIo::Idle;
            entry.conflicts = 0;
            self.on_row(now, key, rows.get(key.as_str()).copied());
        }
    }

    fn on_row(&mut self, now: Ms, key: &str, row: Option<&Row>) {
        let Some(row) = row else {
            return self.write_claim(now, key, RowVersion::Absent);
        };
        let Some(entry) = self.entries.get_mut(key) else { return };
        let Ok(found) = ClaimRow::parse(row) else {
            // A row in an unknown format may belong to a call that ran.
            let (attempt, endpoint) = (entry.row.attempt, entry.row.endpoint.clone());
            self.end_all(key, |ticket| {
                let endpoint = endpoint.clone();
                ClaimOutput::Unknown { ticket, attempt, endpoint }
            });
            return self.remove(key);
        };
        if entry.phase != Phase::Storing {
            return self.on_found_row(now, key, row.version, found);
        }
        let same = found.attempt == entry.row.attempt;
        if same && found.state == entry.row.state {
            entry.version = RowVersion::At(row.version);
            return self.on_row_stored(now, key);
        }
        if entry.row.node != self.node {
            let open = matches!(found.state, ClaimState::Running | ClaimState::Unknown);
            if same && open && found.state != entry.row.state {
                entry.version = RowVersion::At(row.version);
                return self.enqueue(key);
            }
            return self.on_found_row(now, key, row.version, found);
        }
        if same {
            entry.version = RowVersion::At(row.version);
            self.enqueue(key);
        } else if entry.row.state == ClaimState::Void {
            // Another attempt has the row, so a delayed commit of the abandoned claim fails.
            entry.version = RowVersion::Unclear;
            self.claim_next(now, key);
        } else {
            self.counts.overwritten += 1;
            self.cache_outcome(now, key);
        }
    }

    /// Queues the entry's write over an absent, void or own row; claims the key for the
    /// entry's call unless an outcome of this node is still to be stored.
    fn write_claim(&mut self, now: Ms, key: &str, version: RowVersion) {
        let node = self.node.clone();
        let Some(entry) = self.entries.get_mut(key) else { return };
        entry.version = version;
        if entry.phase == Phase::Storing && entry.row.node == node {
            return self.enqueue(key);
        }
        let Some(call) = entry.call.as_ref().map(|w| w.call.clone()) else {
            return self.claim_next(now, key);
        };
        let row = self.running_row(&call);
        let Some(entry) = self.entries.get_mut(key) else { return };
        entry.row = row;
        entry.phase = Phase::Claiming;
        entry.revision += 1;
        self.enqueue(key);
    }

    /// Handles a row that was read while claiming or watching a key.
    fn on_found_row(&mut self, now: Ms, key: &str, version: u64, mut found: ClaimRow) {
        let gone = self.gone_nodes.contains(&found.node) || found.node == self.node;
        let Some(entry) = self.entries.get_mut(key) else { return };
        let own = entry.call.as_ref().is_some_and(|w| w.call.attempt == found.attempt);
        let free = found.state == ClaimState::Void;
        if entry.phase == Phase::Claiming && own && found.state == ClaimState::Running {
            entry.version = RowVersion::At(version);
            return self.on_row_stored(now, key);
        }
        if free || (own && found.state == ClaimState::Unknown) {
            // This node has not sent its attempt, so it did not run, even if another
            // node considered this one gone and marked the attempt as unknown.
            return self.write_claim(now, key, RowVersion::At(version));
        }
        let first = entry.call.as_ref().or(entry.waiters.first());
        if first.is_some_and(|w| w.call.digest != found.digest) {
            self.end_all(key, ClaimOutput::Conflict);
            return self.remove(key);
        }
        entry.version = RowVersion::At(version);
        match found.state {
            ClaimState::Ended => {
                let answer = found.answer.clone();
                entry.row = found;
                if let Some(answer) = answer {
                    self.end_all(key, |ticket| ClaimOutput::Replay(ticket, answer.clone()));
                }
                self.limit_answer(key);
                self.cache_outcome(now, key);
            }
            ClaimState::Running if gone => {
                found.state = ClaimState::Unknown;
                entry.row = found;
                entry.phase = Phase::Storing;
                entry.revision += 1;
                self.enqueue(key);
            }
            ClaimState::Running => {
                entry.version = RowVersion::Unclear;
                if entry.phase != Phase::Watching {
                    for waiter in entry.call.iter().chain(&entry.waiters) {
                        self.outputs.push(ClaimOutput::Wait(waiter.ticket, found.node.clone()));
                    }
                }
                entry.row = found;
                entry.phase = Phase::Watching;
                entry.due_at = now + self.settings.recheck_interval;
                self.timers.insert((entry.due_at, key.to_owned()));
            }
            _ => {
                entry.row = found;
                self.query_attempt(now, key);
            }
        }
    }

    /// Adds the entry's answer to the memory in use; drops its body if a limit is exceeded.
    pub(crate) fn limit_answer(&mut self, key: &str) {
        let Some(entry) = self.entries.get(key) else { return };
        let Some(answer) = &entry.row.answer else { return };
        let size = answer.size();
        let max = self.settings.memory_bytes;
        let fits = |used: usize| used + size <= max;
        if size <= self.settings.answer_bytes {
            while !fits(self.answer_bytes) && self.evict() {}
        }
        let Some(entry) = self.entries.get_mut(key) else { return };
        let Some(answer) = entry.row.answer.as_mut() else { return };
        if size > self.settings.answer_bytes || !fits(self.answer_bytes) {
            answer.omit_body();
            self.counts.bodies_omitted += 1;
        }
        let size = answer.size();
        self.answer_bytes = self.answer_bytes + size - entry.answer_bytes;
        entry.answer_bytes = size;
    }

    /// Key prefix of the rows to check in a step; 65,536 steps cover all rows.
    pub fn sweep_prefix(step: u64) -> String {
        format!("{CLAIM_PREFIX}{:04x}", step % 65_536)
    }

    /// Returns transactions that delete the rows older than [`Settings::retention`](crate::claim::Settings).
    ///
    /// `wall` is in milliseconds since the Unix epoch. A call that is repeated after
    /// its row was deleted runs again.
    pub fn sweep(&mut self, wall: Ms, rows: &[Row]) -> Vec<Txn> {
        let old = |row: &&Row| {
            ClaimRow::parse(row).is_ok_and(|c| c.created + self.settings.retention < wall)
        };
        let writes: Vec<Write> = rows
            .iter()
            .filter(old)
            .map(|r| Write::delete(r.key.clone(), Cond::Version(r.version)))
            .collect();
        let mut txns = Vec::new();
        for chunk in writes.chunks(MAX_TXN_WRITES) {
            self.next_id += 1;
            let id = format!("sweep-{}-{:016x}-{}", self.node, self.txn_prefix, self.next_id);
            txns.push(Txn { id, writes: chunk.to_vec() });
        }
        txns
    }
}
