//! Interfaces to the platform's services.
//!
//! Durable state lives only behind these traits. Each protocol has one adapter
//! file; `memory` implements all of them in memory for the demo and for tests.
//! An error of [`Table::commit`] means that the outcome is unknown, because an
//! answer can be lost after the write took effect.

use std::future::Future;

use bytes::Bytes;

use crate::error::Result;

/// Most writes that one transaction may hold.
pub const MAX_TXN_WRITES: usize = 100;

/// One row of the table service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The row's key.
    pub key: String,
    /// Version of the row, which grows with each write.
    pub version: u64,
    /// Identifier of the transaction that wrote the row last.
    pub txn: String,
    /// The row's value.
    pub value: Bytes,
}

/// Condition that a row must meet for a transaction to commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cond {
    /// No condition.
    Any,
    /// The row does not exist.
    Absent,
    /// The row exists at this version.
    Version(u64),
}

/// Effect of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    /// Stores a value.
    Put(Bytes),
    /// Removes the row.
    Delete,
    /// Only checks the condition.
    Check,
}

/// One conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The row's key.
    pub key: String,
    /// Condition on the row.
    pub cond: Cond,
    /// Effect on the row.
    pub op: Op,
}

impl Write {
    /// A conditional put.
    pub fn put(key: impl Into<String>, cond: Cond, value: impl Into<Bytes>) -> Self {
        Self { key: key.into(), cond, op: Op::Put(value.into()) }
    }

    /// A conditional delete.
    pub fn delete(key: impl Into<String>, cond: Cond) -> Self {
        Self { key: key.into(), cond, op: Op::Delete }
    }

    /// A check without effect.
    pub fn check(key: impl Into<String>, cond: Cond) -> Self {
        Self { key: key.into(), cond, op: Op::Check }
    }
}

/// Transaction: all writes take effect, or none does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Txn {
    /// Unique identifier, kept in each written row to resolve lost answers.
    pub id: String,
    /// At most [`MAX_TXN_WRITES`] writes on distinct keys.
    pub writes: Vec<Write>,
}

/// Outcome of a transaction whose answer arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Commit {
    /// All writes took effect; the new versions stand in the order of the writes.
    Done(Vec<u64>),
    /// No write took effect, because this key's condition did not hold.
    Conflict(String),
}

/// Transactional table service.
pub trait Table: Clone + Send + Sync + 'static {
    /// Reads one row with strong consistency.
    ///
    /// # Errors
    /// Fails when the service does not answer.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Row>>> + Send;

    /// Reads all rows whose key starts with `prefix`, in key order.
    ///
    /// # Errors
    /// Fails when the service does not answer.
    fn scan(&self, prefix: &str) -> impl Future<Output = Result<Vec<Row>>> + Send;

    /// Commits a transaction.
    ///
    /// # Errors
    /// Fails when no answer arrives; the outcome is then unknown.
    fn commit(&self, txn: &Txn) -> impl Future<Output = Result<Commit>> + Send;
}

/// Object store.
pub trait Objects: Clone + Send + Sync + 'static {
    /// Stores an object unless the name is taken; `false` means that it is taken.
    ///
    /// # Errors
    /// Fails when no answer arrives; the outcome is then unknown.
    fn put_new(&self, name: &str, body: Bytes) -> impl Future<Output = Result<bool>> + Send;

    /// Reads an object.
    ///
    /// # Errors
    /// Fails when the service does not answer.
    fn get(&self, name: &str) -> impl Future<Output = Result<Option<Bytes>>> + Send;

    /// Names of all objects that start with `prefix`, in order.
    ///
    /// # Errors
    /// Fails when the service does not answer.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Vec<String>>> + Send;
}

/// One machine of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Vm {
    /// Name of the node or endpoint that runs there.
    pub name: String,
    /// IP address and port.
    pub addr: std::net::SocketAddr,
    /// What runs there: `node`, `engine` or `service`.
    pub role: String,
    /// Whether the platform is taking the machine away.
    #[serde(default)]
    pub leaving: bool,
}

/// The platform's list of machines, which lags behind.
pub trait VmList: Clone + Send + Sync + 'static {
    /// The machines that the platform lists.
    ///
    /// # Errors
    /// Fails when the service does not answer.
    fn list(&self) -> impl Future<Output = Result<Vec<Vm>>> + Send;
}
