//! How a node continues after reading claim rows, and how old rows are removed.

use crate::claim::{CLAIM_PREFIX, ClaimOutput, ClaimRow, ClaimState, Claims};
use crate::claim_entry::{Busy, Known, Phase};
use crate::error::Result;
use crate::ids::Map;
use crate::storage::{Cond, Row, TXN_WRITES, Txn, Write};
use crate::time::Ms;

impl Claims {
    /// Takes rows that were read; a key without a row in `rows` has no row.
    pub fn on_rows(&mut self, now: Ms, keys: &[String], rows: Result<Vec<Row>>) {
        let rows = match rows {
            Ok(rows) => rows,
            Err(_) => {
                self.hold = now + self.backoff.next(&mut self.rng);
                self.reads.extend(keys.iter().cloned());
                return;
            }
        };
        let rows: Map<&str, &Row> = rows.iter().map(|r| (r.key.as_str(), r)).collect();
        for key in keys {
            let Some(entry) = self.entries.get_mut(key).filter(|e| e.busy == Busy::Reading) else {
                continue;
            };
            entry.busy = Busy::Idle;
            entry.conflicts = 0;
            self.on_row(now, key, rows.get(key.as_str()).copied());
        }
    }

    fn on_row(&mut self, now: Ms, key: &str, row: Option<&Row>) {
        let Some(row) = row else {
            return self.reclaim(now, key, Known::Absent);
        };
        let Some(entry) = self.entries.get_mut(key) else { return };
        let Ok(found) = ClaimRow::parse(row) else {
            // A row that this build cannot read may belong to a call that ran.
            let (attempt, endpoint) = (entry.row.attempt, entry.row.endpoint.clone());
            self.tell_all(key, |ticket| {
                let endpoint = endpoint.clone();
                ClaimOutput::Unknown { ticket, attempt, endpoint }
            });
            return self.forget(key);
        };
        if entry.phase != Phase::Storing {
            return self.adopt(now, key, row.version, found);
        }
        let same = found.attempt == entry.row.attempt;
        if same && found.state == entry.row.state {
            entry.known = Known::At(row.version);
            return self.settled(now, key);
        }
        if entry.row.node != self.node {
            let open = matches!(found.state, ClaimState::Running | ClaimState::Unknown);
            if same && open && found.state != entry.row.state {
                entry.known = Known::At(row.version);
                return self.enqueue(key);
            }
            return self.adopt(now, key, row.version, found);
        }
        if same {
            entry.known = Known::At(row.version);
            self.enqueue(key);
        } else if entry.row.state == ClaimState::Void {
            // Another call holds the row, so the abandoned claim cannot take effect.
            entry.known = Known::Unclear;
            self.promote(now, key);
        } else {
            self.counts.stolen += 1;
            self.keep(now, key);
        }
    }

    /// Continues with a row that is free for this node's writes.
    fn reclaim(&mut self, now: Ms, key: &str, known: Known) {
        let node = self.node.clone();
        let Some(entry) = self.entries.get_mut(key) else { return };
        entry.known = known;
        if entry.phase == Phase::Storing && entry.row.node == node {
            return self.enqueue(key);
        }
        let Some(call) = entry.call.as_ref().map(|w| w.call.clone()) else {
            return self.promote(now, key);
        };
        let row = self.running_row(&call);
        let Some(entry) = self.entries.get_mut(key) else { return };
        entry.row = row;
        entry.phase = Phase::Claiming;
        entry.stamp += 1;
        self.enqueue(key);
    }

    /// Acts on a row that was found while claiming or watching.
    fn adopt(&mut self, now: Ms, key: &str, version: u64, mut found: ClaimRow) {
        let gone = self.gone.contains(&found.node) || found.node == self.node;
        let Some(entry) = self.entries.get_mut(key) else { return };
        let own = entry.call.as_ref().is_some_and(|w| w.call.attempt == found.attempt);
        let free = found.state == ClaimState::Void;
        if entry.phase == Phase::Claiming && own && found.state == ClaimState::Running {
            entry.known = Known::At(version);
            return self.settled(now, key);
        }
        if free || (own && found.state == ClaimState::Unknown) {
            // An own attempt that was not yet sent is known not to have run,
            // whatever another node concluded from this node's silence.
            return self.reclaim(now, key, Known::At(version));
        }
        let first = entry.call.as_ref().or(entry.waiters.first());
        if first.is_some_and(|w| w.call.digest != found.digest) {
            self.tell_all(key, ClaimOutput::Conflict);
            return self.forget(key);
        }
        entry.known = Known::At(version);
        match found.state {
            ClaimState::Ended => {
                let answer = found.answer.clone();
                entry.row = found;
                if let Some(answer) = answer {
                    self.tell_all(key, |ticket| ClaimOutput::Replay(ticket, answer.clone()));
                }
                self.bound_answer(key);
                self.keep(now, key);
            }
            ClaimState::Running if gone => {
                found.state = ClaimState::Unknown;
                entry.row = found;
                entry.phase = Phase::Storing;
                entry.stamp += 1;
                self.enqueue(key);
            }
            ClaimState::Running => {
                entry.known = Known::Unclear;
                if entry.phase != Phase::Watching {
                    for waiter in entry.call.iter().chain(&entry.waiters) {
                        self.out.push(ClaimOutput::Wait(waiter.ticket, found.node.clone()));
                    }
                }
                entry.row = found;
                entry.phase = Phase::Watching;
                entry.until = now + self.settings.recheck;
                self.timers.insert((entry.until, key.to_owned()));
            }
            _ => {
                entry.row = found;
                self.ask(now, key);
            }
        }
    }

    /// Counts the answer of an entry, and drops its body beyond the bounds.
    pub(crate) fn bound_answer(&mut self, key: &str) {
        let Some(entry) = self.entries.get(key) else { return };
        let Some(answer) = &entry.row.answer else { return };
        let size = answer.size();
        let most = self.settings.memory;
        let fits = |memory: usize| memory + size <= most;
        if size <= self.settings.answer {
            while !fits(self.memory) && self.evict() {}
        }
        let Some(entry) = self.entries.get_mut(key) else { return };
        let Some(answer) = entry.row.answer.as_mut() else { return };
        if size > self.settings.answer || !fits(self.memory) {
            answer.cut();
            self.counts.cut += 1;
        }
        let size = answer.size();
        self.memory = self.memory + size - entry.size;
        entry.size = size;
    }

    /// Prefix of the rows to sweep at a step; all rows are covered in 65,536 steps.
    pub fn sweep_prefix(step: u64) -> String {
        format!("{CLAIM_PREFIX}{:04x}", step % 65_536)
    }

    /// Transactions that remove the rows older than the retention.
    ///
    /// `wall` is in milliseconds since the Unix epoch. A key that is repeated
    /// after the retention runs again.
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
        for chunk in writes.chunks(TXN_WRITES) {
            self.next_id += 1;
            let id = format!("sweep-{}-{:016x}-{}", self.node, self.prefix, self.next_id);
            txns.push(Txn { id, writes: chunk.to_vec() });
        }
        txns
    }
}
