//! Fake table service, and the outputs of the authority module.

use rand::RngExt;
use sycamorefork::claim::Batch;
use sycamorefork::core::CoreOut;
use sycamorefork::error::{Error, Result};
use sycamorefork::generated::peer::{self, frame::Body};
use sycamorefork::ownership::{AuthorityOut, OpId};
use sycamorefork::storage::{Commit, Cond, Op, Row, Txn};
use sycamorefork::takeover::ProbeResult;
use sycamorefork::time::Ms;

use super::{Event, Input, Step, World};

/// A request to the table service.
pub(super) enum TableOp {
    Commit(OpId, Txn),
    Scan(OpId, String),
    Get(OpId, String),
    Claim(Batch),
    ClaimRows(Vec<String>),
    Head,
}

fn unanswered() -> Error {
    Error::io("table", "no answer")
}

impl World {
    pub(super) fn call_table(&mut self, i: usize, op: TableOp) {
        let slow = if self.now < self.slow_until { self.rng.random_range(200..3_000) } else { 0 };
        let at = (self.now + slow + self.network_delay(), self.next_seq());
        self.events.insert(at, Event::Table(i, self.members[i].incarnation, op));
    }

    pub(super) fn perform_authority(&mut self, i: usize, out: AuthorityOut) {
        match out {
            AuthorityOut::Commit { op, txn } => {
                let takes_over = |w: &sycamorefork::storage::Write| match &w.op {
                    Op::Put(v) => w.key.contains("/endpoint/") && v.ends_with(b"\"taken\":true}"),
                    _ => false,
                };
                let evicts = |w: &sycamorefork::storage::Write| match &w.op {
                    Op::Put(v) => {
                        w.key.contains("/node/") && v.windows(6).any(|w| w == b"\"gone\"")
                    }
                    _ => false,
                };
                if txn.writes.iter().any(evicts) && !self.members[i].draining {
                    self.reach_step(Step::EvictionSent, i, 0);
                }
                if txn.writes.iter().any(takes_over) {
                    self.reach_step(Step::ClaimSent, i, 0);
                }
                self.call_table(i, TableOp::Commit(op, txn));
            }
            AuthorityOut::Scan { op, prefix } => self.call_table(i, TableOp::Scan(op, prefix)),
            AuthorityOut::Get { op, key } => self.call_table(i, TableOp::Get(op, key)),
            AuthorityOut::AskPromise { to } => {
                let ask =
                    peer::PromiseRequest { node: self.members[i].name.to_string(), sent: self.now };
                let vm = to.as_str().rsplit_once('.').unwrap().0.to_owned();
                self.perform(i, CoreOut::Send(vm, Body::PromiseRequest(ask)));
            }
            AuthorityOut::Probe { node } => {
                let vm = node.as_str().rsplit_once('.').unwrap().0;
                let j = self.members.iter().position(|m| m.vm == vm).unwrap();
                let m = &self.members[j];
                let cut = self.now < m.no_peers.max(self.members[i].no_peers);
                let result = match (cut || self.now < m.frozen_until, m.alive && m.name == node) {
                    (true, _) => ProbeResult::Silent,
                    (false, false) => ProbeResult::Refused,
                    _ => ProbeResult::Reached { level: m.core.authority.level(Ms(self.now)) },
                };
                let wait = if result == ProbeResult::Silent { 500 } else { 5 };
                self.schedule_input(i, wait, Input::Probe(node, result));
            }
            AuthorityOut::Gained { .. } | AuthorityOut::Lost { .. } => {}
        }
    }

    pub(super) fn serve_table(&mut self, i: usize, incarnation: u32, op: TableOp) {
        if self.now < self.outage_until || self.now < self.members[i].no_table {
            let input = match op {
                TableOp::Commit(op, _) => Input::Commit(op, Err(unanswered())),
                TableOp::Scan(op, _) | TableOp::Get(op, _) => Input::Rows(op, Err(unanswered())),
                TableOp::Claim(batch) => Input::Claim(batch.id, Err(unanswered())),
                TableOp::ClaimRows(keys) => Input::ClaimRows(keys, Err(unanswered())),
                TableOp::Head => return,
            };
            let at = (self.now + 1_000, self.next_seq());
            self.events.insert(at, Event::Node(i, incarnation, input));
            return;
        }
        let input = match op {
            TableOp::Commit(op, txn) => {
                let claims = txn.writes.iter().any(|w| w.key.contains("/endpoint/"));
                let done = self.commit(&txn);
                if claims && matches!(done, Commit::Done(_)) {
                    self.reach_step(Step::Claimed, i, 0);
                }
                Input::Commit(op, self.commit_answer(done))
            }
            TableOp::Scan(op, prefix) => {
                let rows = self.rows.values().filter(|r| r.key.starts_with(&prefix));
                Input::Rows(op, Ok(rows.cloned().collect()))
            }
            TableOp::Get(op, key) => {
                Input::Rows(op, Ok(self.rows.get(&key).cloned().into_iter().collect()))
            }
            TableOp::Claim(batch) => {
                let done = self.commit(&batch.txn);
                Input::Claim(batch.id, self.commit_answer(done))
            }
            TableOp::ClaimRows(keys) => {
                let rows = keys.iter().filter_map(|k| self.rows.get(k).cloned()).collect();
                Input::ClaimRows(keys, Ok(rows))
            }
            TableOp::Head => Input::ConfigHead(self.head),
        };
        let at = (self.now + self.network_delay(), self.next_seq());
        self.events.insert(at, Event::Node(i, incarnation, input));
    }

    fn commit_answer(&mut self, done: Commit) -> Result<Commit> {
        if self.lose_answers > 0 {
            self.lose_answers -= 1;
            return Err(unanswered());
        }
        Ok(done)
    }

    fn commit(&mut self, txn: &Txn) -> Commit {
        for w in &txn.writes {
            let version = self.rows.get(&w.key).map(|r| r.version);
            let holds = match w.cond {
                Cond::Any => true,
                Cond::Absent => version.is_none(),
                Cond::Version(v) => version == Some(v),
            };
            if !holds {
                return Commit::Conflict(w.key.clone());
            }
        }
        let mut versions = Vec::new();
        for w in &txn.writes {
            self.versions += 1;
            let (version, id) = (self.versions, txn.id.clone());
            match w.op.clone() {
                Op::Put(value) => {
                    let row = Row { key: w.key.clone(), version, txn: id, value };
                    self.rows.insert(w.key.clone(), row);
                }
                Op::Delete => drop(self.rows.remove(&w.key)),
                Op::Check => {}
            }
            versions.push(version);
        }
        Commit::Done(versions)
    }
}
