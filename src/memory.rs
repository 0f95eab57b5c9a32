//! In-memory implementations of the platform's services, for the demo and for tests.
//!
//! Clones of a handle share one state. [`Faults`] injects the faults of real services:
//! outages, delays, lost requests and lost responses.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::{Arc, Mutex, MutexGuard};

use bytes::Bytes;

use crate::error::{Error, Result};
use crate::storage::{Commit, Cond, MAX_TXN_WRITES, Objects, Op, Row, Table, Txn, Vm, VmList};
use crate::time::Ms;

#[derive(Debug, Default)]
struct FaultState {
    outage: bool,
    delay: Ms,
    /// Number of requests still to lose.
    lost_requests: u32,
    /// Number of responses still to lose.
    lost_answers: u32,
}

/// Fault injection for one in-memory service.
#[derive(Clone, Debug, Default)]
pub struct Faults(Arc<Mutex<FaultState>>);

impl Faults {
    fn state(&self) -> MutexGuard<'_, FaultState> {
        self.0.lock().unwrap()
    }

    /// While `on`, every request fails without effect.
    pub fn set_outage(&self, on: bool) {
        self.state().outage = on;
    }

    /// Delays every request by `delay` before it takes effect.
    pub fn set_delay(&self, delay: Ms) {
        self.state().delay = delay;
    }

    /// Loses the next `count` requests: each fails without effect.
    pub fn lose_requests(&self, count: u32) {
        self.state().lost_requests = count;
    }

    /// Loses the next `count` responses: each request fails after it took effect.
    pub fn lose_answers(&self, count: u32) {
        self.state().lost_answers = count;
    }

    /// Waits for the delay, then fails if the request is to be lost.
    async fn before_request(&self, service: &str) -> Result<()> {
        let delay = self.state().delay;
        if delay > Ms(0) {
            tokio::time::sleep(delay.to_std()).await;
        }
        let mut state = self.state();
        if state.outage {
            return Err(Error::io(service, "service does not respond"));
        }
        if state.lost_requests > 0 {
            state.lost_requests -= 1;
            return Err(Error::io(service, "request lost"));
        }
        Ok(())
    }

    /// Fails if the response to a request that took effect is to be lost.
    fn after_request(&self, service: &str) -> Result<()> {
        let mut state = self.state();
        if state.lost_answers > 0 {
            state.lost_answers -= 1;
            return Err(Error::io(service, "response lost"));
        }
        Ok(())
    }
}

#[derive(Debug, Default)]
struct Rows {
    rows: BTreeMap<String, Row>,
    // Shared by all rows, so that a row that is deleted and created again never gets a
    // version that an earlier reader may have seen.
    last_version: u64,
    commits: u64,
}

/// In-memory transactional table.
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
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Fault injection for this table.
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Number of transactions that took effect so far.
    pub fn commits(&self) -> u64 {
        self.state.lock().unwrap().commits
    }

    /// All rows in key order, read without injected faults; for assertions.
    pub fn rows(&self) -> Vec<Row> {
        self.state.lock().unwrap().rows.values().cloned().collect()
    }

    /// Commits a transaction without injected faults, for synchronous tests.
    ///
    /// # Errors
    /// Fails when [`check_txn`] rejects the transaction.
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
                    state.last_version += 1;
                    let version = state.last_version;
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

/// Checks that a transaction has 1 to [`MAX_TXN_WRITES`] writes with distinct keys.
///
/// # Errors
/// Fails with an input error that gives the number of writes or the duplicate key.
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
        self.faults.before_request("table").await?;
        let row = self.state.lock().unwrap().rows.get(key).cloned();
        self.faults.after_request("table")?;
        Ok(row)
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<Row>> {
        self.faults.before_request("table").await?;
        let rows = {
            let state = self.state.lock().unwrap();
            with_prefix(&state.rows, prefix).map(|(_, r)| r.clone()).collect()
        };
        self.faults.after_request("table")?;
        Ok(rows)
    }

    async fn commit(&self, txn: &Txn) -> Result<Commit> {
        self.faults.before_request("table").await?;
        let commit = self.apply(txn)?;
        self.faults.after_request("table")?;
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

/// In-memory object store.
#[derive(Clone, Debug, Default)]
pub struct MemoryObjects {
    state: Arc<Mutex<BTreeMap<String, Bytes>>>,
    faults: Faults,
}

impl MemoryObjects {
    /// Creates an empty store.
    pub fn new() -> Self {
        Self::default()
    }

    /// Fault injection for this store.
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// All objects in name order, read without injected faults; for assertions.
    pub fn objects(&self) -> Vec<(String, Bytes)> {
        let state = self.state.lock().unwrap();
        state.iter().map(|(n, b)| (n.clone(), b.clone())).collect()
    }
}

impl Objects for MemoryObjects {
    async fn put_new(&self, name: &str, body: Bytes) -> Result<bool> {
        self.faults.before_request("objects").await?;
        let created = {
            let mut state = self.state.lock().unwrap();
            let absent = !state.contains_key(name);
            if absent {
                state.insert(name.to_owned(), body);
            }
            absent
        };
        self.faults.after_request("objects")?;
        Ok(created)
    }

    async fn get(&self, name: &str) -> Result<Option<Bytes>> {
        self.faults.before_request("objects").await?;
        let body = self.state.lock().unwrap().get(name).cloned();
        self.faults.after_request("objects")?;
        Ok(body)
    }

    async fn list(&self, prefix: &str) -> Result<Vec<String>> {
        self.faults.before_request("objects").await?;
        let names = {
            let state = self.state.lock().unwrap();
            with_prefix(&state, prefix).map(|(n, _)| n.clone()).collect()
        };
        self.faults.after_request("objects")?;
        Ok(names)
    }
}

/// In-memory list of VMs.
#[derive(Clone, Debug, Default)]
pub struct MemoryVms {
    state: Arc<Mutex<BTreeMap<String, Vm>>>,
    faults: Faults,
}

impl MemoryVms {
    /// Creates a list of the given VMs.
    pub fn new(vms: impl IntoIterator<Item = Vm>) -> Self {
        let list = Self::default();
        vms.into_iter().for_each(|vm| list.add(vm));
        list
    }

    /// Fault injection for this list.
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Adds a VM, or replaces the one with the same name.
    pub fn add(&self, vm: Vm) {
        self.state.lock().unwrap().insert(vm.name.clone(), vm);
    }

    /// Removes a VM.
    pub fn remove(&self, name: &str) {
        self.state.lock().unwrap().remove(name);
    }

    /// Sets whether a VM is marked as leaving.
    pub fn set_leaving(&self, name: &str, leaving: bool) {
        if let Some(vm) = self.state.lock().unwrap().get_mut(name) {
            vm.leaving = leaving;
        }
    }
}

impl VmList for MemoryVms {
    async fn list(&self) -> Result<Vec<Vm>> {
        self.faults.before_request("vms").await?;
        let vms = self.state.lock().unwrap().values().cloned().collect();
        self.faults.after_request("vms")?;
        Ok(vms)
    }
}
