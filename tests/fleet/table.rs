//! Fake table service, and what the authority module asks for.

use rand::RngExt;
use sycamorefork::claim::Batch;
use sycamorefork::core::CoreOut;
use sycamorefork::error::{Error, Result};
use sycamorefork::generated::peer::{self, frame::Body};
use sycamorefork::ownership::{AuthorityOut, OpId};
use sycamorefork::storage::{Commit, Cond, Op, Row, Txn};
use sycamorefork::takeover::ProbeResult;
use sycamorefork::time::Ms;

use super::{Ev, In, Step, World};

/// A request to the table service.
pub(super) enum TableOp {
    Commit(OpId, Txn),
    Scan(OpId, String),
    Get(OpId, String),
    Claim(Batch),
    ClaimRows(Vec<String>),
    Head,
}

fn lost() -> Error {
    Error::io("table", "no answer")
}

impl World {
    pub(super) fn table(&mut self, i: usize, op: TableOp) {
        let slow = if self.now < self.slow { self.rng.random_range(200..3_000) } else { 0 };
        let at = (self.now + slow + self.hop(), self.next());
        self.events.insert(at, Ev::Table(i, self.members[i].life, op));
    }

    pub(super) fn authority(&mut self, i: usize, out: AuthorityOut) {
        match out {
            AuthorityOut::Commit { op, txn } => {
                let taken = |w: &sycamorefork::storage::Write| match &w.op {
                    Op::Put(v) => w.key.contains("/endpoint/") && v.ends_with(b"\"taken\":true}"),
                    _ => false,
                };
                let gone = |w: &sycamorefork::storage::Write| match &w.op {
                    Op::Put(v) => {
                        w.key.contains("/node/") && v.windows(6).any(|w| w == b"\"gone\"")
                    }
                    _ => false,
                };
                if txn.writes.iter().any(gone) && !self.members[i].draining {
                    self.pass(Step::Expired, i, 0);
                }
                if txn.writes.iter().any(taken) {
                    self.pass(Step::ClaimSent, i, 0);
                }
                self.table(i, TableOp::Commit(op, txn));
            }
            AuthorityOut::Scan { op, prefix } => self.table(i, TableOp::Scan(op, prefix)),
            AuthorityOut::Get { op, key } => self.table(i, TableOp::Get(op, key)),
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
                let result = match (cut || self.now < m.frozen, m.alive && m.name == node) {
                    (true, _) => ProbeResult::Silent,
                    (false, false) => ProbeResult::Refused,
                    _ => ProbeResult::Reached { level: m.core.authority.level(Ms(self.now)) },
                };
                let wait = if result == ProbeResult::Silent { 500 } else { 5 };
                self.node(i, wait, In::Probe(node, result));
            }
            AuthorityOut::Gained { .. } | AuthorityOut::Lost { .. } => {}
        }
    }

    pub(super) fn serve_table(&mut self, i: usize, life: u32, op: TableOp) {
        if self.now < self.outage || self.now < self.members[i].no_table {
            let input = match op {
                TableOp::Commit(op, _) => In::Commit(op, Err(lost())),
                TableOp::Scan(op, _) | TableOp::Get(op, _) => In::Rows(op, Err(lost())),
                TableOp::Claim(batch) => In::Claim(batch.id, Err(lost())),
                TableOp::ClaimRows(keys) => In::ClaimRows(keys, Err(lost())),
                TableOp::Head => return,
            };
            let at = (self.now + 1_000, self.next());
            self.events.insert(at, Ev::Node(i, life, input));
            return;
        }
        let input = match op {
            TableOp::Commit(op, txn) => {
                let takes = txn.writes.iter().any(|w| w.key.contains("/endpoint/"));
                let done = self.commit(&txn);
                if takes && matches!(done, Commit::Done(_)) {
                    self.pass(Step::Claimed, i, 0);
                }
                In::Commit(op, self.answer(done))
            }
            TableOp::Scan(op, prefix) => {
                let rows = self.rows.values().filter(|r| r.key.starts_with(&prefix));
                In::Rows(op, Ok(rows.cloned().collect()))
            }
            TableOp::Get(op, key) => {
                In::Rows(op, Ok(self.rows.get(&key).cloned().into_iter().collect()))
            }
            TableOp::Claim(batch) => {
                let done = self.commit(&batch.txn);
                In::Claim(batch.id, self.answer(done))
            }
            TableOp::ClaimRows(keys) => {
                let rows = keys.iter().filter_map(|k| self.rows.get(k).cloned()).collect();
                In::ClaimRows(keys, Ok(rows))
            }
            TableOp::Head => In::Head(self.head),
        };
        let at = (self.now + self.hop(), self.next());
        self.events.insert(at, Ev::Node(i, life, input));
    }

    fn answer(&mut self, done: Commit) -> Result<Commit> {
        if self.lose_answers > 0 {
            self.lose_answers -= 1;
            return Err(lost());
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
