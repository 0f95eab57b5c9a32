//! The platform in memory, for the demo and for tests.
//!
//! Handles are cloneable and share one state. [`Faults`] makes a service
//! unreachable, slow, or lose a request or its answer, as the real services do.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::{Arc, Mutex, MutexGuard};

use bytes::Bytes;

use crate::error::{Error, Result};
use crate::storage::{Commit, Cond, MAX_TXN_WRITES, Objects, Op, Row, Table, Txn, Vm, VmList};
use crate::time::Ms;

#[derive(Debug, Default)]
struct Plan {
    outage: bool,
    delay: Ms,
    requests: u32,
    answers: u32,
}

/// Switchable faults of one in-memory service.
#[derive(Clone, Debug, Default)]
pub struct Faults(Arc<Mutex<Plan>>);

impl Faults {
    fn plan(&self) -> MutexGuard<'_, Plan> {
        self.0.lock().unwrap()
    }

    /// Makes every request fail without effect while `on`.
    pub fn set_outage(&self, on: bool) {
        self.plan().outage = on;
    }

    /// Delays every request by `delay` before it takes effect.
    pub fn set_delay(&self, delay: Ms) {
        self.plan().delay = delay;
    }

    /// Loses the next `count` requests: an error without effect.
    pub fn lose_requests(&self, count: u32) {
        self.plan().requests = count;
    }

    /// Loses the next `count` answers: an error after the effect.
    pub fn lose_answers(&self, count: u32) {
        self.plan().answers = count;
    }

    /// Waits for the delay, then reports whether the request arrives.
    async fn arrive(&self, service: &str) -> Result<()> {
        let delay = self.plan().delay;
        if delay > Ms(0) {
            tokio::time::sleep(delay.to_std()).await;
        }
        let mut plan = self.plan();
        if plan.outage {
            return Err(Error::io(service, "service does not answer"));
        }
        if plan.requests > 0 {
            plan.requests -= 1;
            return Err(Error::io(service, "request lost"));
        }
        Ok(())
    }

    /// Reports whether the answer to a request that took effect arrives.
    fn answer(&self, service: &str) -> Result<()> {
        let mut plan = self.plan();
        if plan.answers > 0 {
            plan.answers -= 1;
            return Err(Error::io(service, "answer lost"));
        }
        Ok(())
    }
}

#[derive(Debug, Default)]
struct Rows {
    rows: BTreeMap<String, Row>,
    // Counts over all rows, so that a row that is deleted and created again never
    // shows a version that an earlier reader may hold.
    version: u64,
    commits: u64,
}

/// Transactional table in memory.
///
/// ```
/// use sycamorefork::memory::MemoryTable;
/// use sycamorefork::storage::{Commit, Cond, Txn, Write};
///
/// let table = MemoryTable::new();
/// let create = Write::put("node/a", Cond::Absent, "value");
/// let txn = Txn { id: "t1".into(), writes: vec![create] };
/// assert!(matches!(table.apply(&txn)?, Commit::Done(_)));
/// assert_eq!(table.apply(&txn)?, Commit::Conflict("node/a".into()));
/// # Ok::<_, sycamorefork::Error>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct MemoryTable {
    state: Arc<Mutex<Rows>>,
    faults: Faults,
}

impl MemoryTable {
    /// An empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// The faults of this table.
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Transactions that took effect so far.
    pub fn commits(&self) -> u64 {
        self.state.lock().unwrap().commits
    }

    /// All rows in key order, without faults; for assertions.
    pub fn rows(&self) -> Vec<Row> {
        self.state.lock().unwrap().rows.values().cloned().collect()
    }

    /// Commits without faults or delay, for synchronous tests.
    ///
    /// # Errors
    /// Fails when the transaction is malformed.
    pub fn apply(&self, txn: &Txn) -> Result<Commit> {
        check_txn("table", txn)?;
        let mut guard = self.state.lock().unwrap();
        let state = &mut *guard;
        for w in &txn.writes {
            let version = state.rows.get(&w.key).map(|r| r.version);
            let holds = match w.cond {
                Cond::Any => true,
                Cond::Absent => version.is_none(),
                Cond::Version(v) => version == Some(v),
            };
            if !holds {
                return Ok(Commit::Conflict(w.key.clone()));
            }
        }
        state.commits += 1;
        let mut versions = Vec::with_capacity(txn.writes.len());
        for w in &txn.writes {
            let version = match &w.op {
                Op::Put(value) => {
                    state.version += 1;
                    let version = state.version;
                    let (key, txn) = (w.key.clone(), txn.id.clone());
                    state
                        .rows
                        .insert(w.key.clone(), Row { key, version, txn, value: value.clone() });
                    version
                }
                Op::Delete => {
                    state.rows.remove(&w.key);
                    0
                }
                Op::Check => match w.cond {
                    Cond::Version(v) => v,
                    Cond::Any | Cond::Absent => 0,
                },
            };
            versions.push(version);
        }
        Ok(Commit::Done(versions))
    }
}

/// Checks that a transaction has 1 to [`MAX_TXN_WRITES`] writes on distinct keys.
///
/// # Errors
/// Fails with an input error that names the fault.
pub fn check_txn(service: &str, txn: &Txn) -> Result<()> {
    if txn.writes.is_empty() || txn.writes.len() > MAX_TXN_WRITES {
        let n = txn.writes.len();
        return Err(Error::input(service, format!("transaction of {n} writes")));
    }
    let mut keys: Vec<&str> = txn.writes.iter().map(|w| w.key.as_str()).collect();
    keys.sort_unstable();
    match keys.windows(2).find(|pair| pair[0] == pair[1]) {
        Some(pair) => Err(Error::input(service, format!("two writes on row {}", pair[0]))),
        None => Ok(()),
    }
}

impl Table for MemoryTable {
    async fn get(&self, key: &str) -> Result<Option<Row>> {
        self.faults.arrive("table").await?;
        let row = self.state.lock().unwrap().rows.get(key).cloned();
        self.faults.answer("table")?;
        Ok(row)
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<Row>> {
        self.faults.arrive("table").await?;
        let rows = {
            let state = self.state.lock().unwrap();
            with_prefix(&state.rows, prefix).map(|(_, r)| r.clone()).collect()
        };
        self.faults.answer("table")?;
        Ok(rows)
    }

    async fn commit(&self, txn: &Txn) -> Result<Commit> {
        self.faults.arrive("table").await?;
        let commit = self.apply(txn)?;
        self.faults.answer("table")?;
        Ok(commit)
    }
}

/// Entries whose key starts with `prefix`, in key order.
fn with_prefix<'a, V>(
    map: &'a BTreeMap<String, V>,
    prefix: &'a str,
) -> impl Iterator<Item = (&'a String, &'a V)> {
    map.range::<str, _>((Bound::Included(prefix), Bound::Unbounded))
        .take_while(move |(k, _)| k.starts_with(prefix))
}

/// Object store in memory.
#[derive(Clone, Debug, Default)]
pub struct MemoryObjects {
    state: Arc<Mutex<BTreeMap<String, Bytes>>>,
    faults: Faults,
}

impl MemoryObjects {
    /// An empty store.
    pub fn new() -> Self {
        Self::default()
    }

    /// The faults of this store.
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// All objects in name order, without faults; for assertions.
    pub fn objects(&self) -> Vec<(String, Bytes)> {
        let state = self.state.lock().unwrap();
        state.iter().map(|(n, b)| (n.clone(), b.clone())).collect()
    }
}

impl Objects for MemoryObjects {
    async fn put_new(&self, name: &str, body: Bytes) -> Result<bool> {
        self.faults.arrive("objects").await?;
        let created = {
            let mut state = self.state.lock().unwrap();
            let free = !state.contains_key(name);
            if free {
                state.insert(name.to_owned(), body);
            }
            free
        };
        self.faults.answer("objects")?;
        Ok(created)
    }

    async fn get(&self, name: &str) -> Result<Option<Bytes>> {
        self.faults.arrive("objects").await?;
        let body = self.state.lock().unwrap().get(name).cloned();
        self.faults.answer("objects")?;
        Ok(body)
    }

    async fn list(&self, prefix: &str) -> Result<Vec<String>> {
        self.faults.arrive("objects").await?;
        let names = {
            let state = self.state.lock().unwrap();
            with_prefix(&state, prefix).map(|(n, _)| n.clone()).collect()
        };
        self.faults.answer("objects")?;
        Ok(names)
    }
}

/// List of machines in memory.
#[derive(Clone, Debug, Default)]
pub struct MemoryVms {
    state: Arc<Mutex<BTreeMap<String, Vm>>>,
    faults: Faults,
}

impl MemoryVms {
    /// A list of these machines.
    pub fn new(vms: impl IntoIterator<Item = Vm>) -> Self {
        let list = Self::default();
        vms.into_iter().for_each(|vm| list.add(vm));
        list
    }

    /// The faults of this list.
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Adds or replaces a machine.
    pub fn add(&self, vm: Vm) {
        self.state.lock().unwrap().insert(vm.name.clone(), vm);
    }

    /// Removes a machine.
    pub fn remove(&self, name: &str) {
        self.state.lock().unwrap().remove(name);
    }

    /// Marks a machine as leaving, or no longer leaving.
    pub fn set_leaving(&self, name: &str, leaving: bool) {
        if let Some(vm) = self.state.lock().unwrap().get_mut(name) {
            vm.leaving = leaving;
        }
    }
}

impl VmList for MemoryVms {
    async fn list(&self) -> Result<Vec<Vm>> {
        self.faults.arrive("vms").await?;
        let vms = self.state.lock().unwrap().values().cloned().collect();
        self.faults.answer("vms")?;
        Ok(vms)
    }
}
