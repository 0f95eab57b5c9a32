//! In-memory platform with faults, and helpers shared by the tests.
#![allow(dead_code)]

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use quickcheck::{Gen, QuickCheck, Testable};
use sycamorefork::storage::{Commit, Cond, Objects, Op, Row, Table, Txn};
use sycamorefork::{Error, Result};

/// What happens to the next write.
#[derive(Clone, Debug)]
pub enum Fault {
    /// No fault.
    None,
    /// The request is lost: no effect, no answer.
    LoseRequest,
    /// The answer is lost after the write took effect.
    LoseAnswer,
    /// No answer; the write takes effect before the next one.
    DelayWrite,
    /// Another client's transaction commits first.
    Race(Txn),
    /// The answer is lost, then another client's transaction commits.
    LoseAnswerThenRace(Txn),
}

#[derive(Default)]
pub struct State {
    pub rows: BTreeMap<String, Row>,
    pub objects: BTreeMap<String, Bytes>,
    pub commit_faults: VecDeque<Fault>,
    pub put_faults: VecDeque<Fault>,
    pub down: bool,
    late: Option<Txn>,
    version: u64,
}

#[derive(Clone, Default)]
pub struct FakePlatform(pub Arc<Mutex<State>>);

impl FakePlatform {
    pub fn with_state<R>(&self, f: impl FnOnce(&mut State) -> R) -> R {
        f(&mut self.0.lock().unwrap())
    }
}

impl State {
    pub fn commit(&mut self, txn: &Txn) -> Commit {
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
            self.version += 1;
            versions.push(self.version);
            match &w.op {
                Op::Put(value) => {
                    let (key, value) = (w.key.clone(), value.clone());
                    let row = Row { key, version: self.version, txn: txn.id.clone(), value };
                    self.rows.insert(w.key.clone(), row);
                }
                Op::Delete => drop(self.rows.remove(&w.key)),
                Op::Check => {}
            }
        }
        Commit::Done(versions)
    }

    fn up(&self) -> Result<()> {
        if self.down { Err(Error::io("fake", "no answer")) } else { Ok(()) }
    }
}

impl Table for FakePlatform {
    async fn get(&self, key: &str) -> Result<Option<Row>> {
        self.with_state(|s| s.up().map(|()| s.rows.get(key).cloned()))
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<Row>> {
        let rows = |s: &mut State| {
            s.rows.values().filter(|r| r.key.starts_with(prefix)).cloned().collect()
        };
        self.with_state(|s| s.up().map(|()| rows(s)))
    }

    async fn commit(&self, txn: &Txn) -> Result<Commit> {
        self.with_state(|s| {
            s.up()?;
            if let Some(late) = s.late.take() {
                s.commit(&late);
            }
            let lost = Err(Error::io("fake", "no answer"));
            match s.commit_faults.pop_front().unwrap_or(Fault::None) {
                Fault::None => Ok(s.commit(txn)),
                Fault::LoseRequest => lost,
                Fault::LoseAnswer => {
                    s.commit(txn);
                    lost
                }
                Fault::DelayWrite => {
                    s.late = Some(txn.clone());
                    lost
                }
                Fault::Race(other) => {
                    s.commit(&other);
                    Ok(s.commit(txn))
                }
                Fault::LoseAnswerThenRace(other) => {
                    s.commit(txn);
                    s.commit(&other);
                    lost
                }
            }
        })
    }
}

impl Objects for FakePlatform {
    async fn put_new(&self, name: &str, body: Bytes) -> Result<bool> {
        self.with_state(|s| {
            s.up()?;
            let fault = s.put_faults.pop_front().unwrap_or(Fault::None);
            if matches!(fault, Fault::LoseRequest) {
                return Err(Error::io("fake", "no answer"));
            }
            let new = !s.objects.contains_key(name);
            if new {
                s.objects.insert(name.to_owned(), body);
            }
            if matches!(fault, Fault::LoseAnswer) {
                Err(Error::io("fake", "no answer"))
            } else {
                Ok(new)
            }
        })
    }

    async fn get(&self, name: &str) -> Result<Option<Bytes>> {
        self.with_state(|s| s.up().map(|()| s.objects.get(name).cloned()))
    }

    async fn list(&self, prefix: &str) -> Result<Vec<String>> {
        let names =
            |s: &mut State| s.objects.keys().filter(|n| n.starts_with(prefix)).cloned().collect();
        self.with_state(|s| s.up().map(|()| names(s)))
    }
}

/// Runs a property on `runs` seeds derived from `seed`; a failure prints its argument.
pub fn check_property(seed: u64, runs: u64, property: impl Testable) {
    QuickCheck::new().rng(Gen::from_size_and_seed(100, seed)).tests(runs).quickcheck(property);
}

/// Runs a future on a small runtime.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.unwrap().block_on(future)
}

/// A minimal valid document; `rate` makes variants.
pub fn document(rate: u64) -> String {
    format!(
        "[[team]]\nname = \"a\"\nrate = {rate}\nburst = 9000\n\n\
         [[key]]\nid = \"k1\"\nteam = \"a\"\ndigest = \"{}\"\n\n\
         [store]\nloads = 3.0\nconcurrent = 2\n",
        hex::encode(sycamorefork::keys::digest("demo-key"))
    )
}
