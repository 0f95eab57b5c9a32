//! Interfaces to the platform's storage services and its list of VMs.
//!
//! All durable state is kept behind these traits. Each protocol is implemented in a
//! module of its own: `dynamo`, `s3` and `vm_list`. `memory` implements all of them
//! in memory for the demo and for tests. An error of [`Table::commit`] means that the
//! outcome is unknown, because a response can be lost after the write took effect.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::timeout;

use crate::error::{Error, Result};
use crate::overdue::{CallTrouble, first_answer};

/// Time after which a read that is not answered is repeated.
const READ_OVERDUE: Duration = Duration::from_millis(125);
/// Time limit of a read that is repeated.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// Bytes that the pages of one read may have together.
const MAX_READ_BYTES: usize = 64 << 20;

/// Maximum number of writes in one transaction.
pub const MAX_TXN_WRITES: usize = 100;

/// Sizes of the pages of one read, whose sum is bounded.
#[derive(Debug, Default)]
pub(crate) struct PageSizes(usize);

impl PageSizes {
    /// Adds a page of `source`.
    ///
    /// # Errors
    /// The pages exceed the bound.
    pub(crate) fn add(&mut self, source: &str, bytes: usize) -> Result<()> {
        self.0 += bytes;
        match self.0 <= MAX_READ_BYTES {
            true => Ok(()),
            false => Err(Error::io(source, format!("pages exceed {MAX_READ_BYTES} bytes"))),
        }
    }
}

/// Row of the table service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Key of the row.
    pub key: String,
    /// Version of the row, which increases with each write.
    pub version: u64,
    /// Identifier of the transaction that last wrote the row.
    pub txn: String,
    /// Value of the row.
    pub value: Bytes,
}

/// Condition that a row must meet for the transaction to commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cond {
    /// No condition.
    Any,
    /// The row does not exist.
    Absent,
    /// The row exists and has this version.
    Version(u64),
}

/// Effect of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    /// Stores a value.
    Put(Bytes),
    /// Deletes the row.
    Delete,
    /// Only checks the condition; the row is unchanged.
    Check,
}

/// Conditional write of a single row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// Condition on the row.
    pub cond: Cond,
    /// Effect on the row.
    pub op: Op,
}

impl Write {
    /// Creates a conditional put.
    pub fn put(key: impl Into<String>, cond: Cond, value: impl Into<Bytes>) -> Self {
        Self { key: key.into(), cond, op: Op::Put(value.into()) }
    }

    /// Creates a conditional delete.
    pub fn delete(key: impl Into<String>, cond: Cond) -> Self {
        Self { key: key.into(), cond, op: Op::Delete }
    }

    /// Creates a condition check without effect.
    pub fn check(key: impl Into<String>, cond: Cond) -> Self {
        Self { key: key.into(), cond, op: Op::Check }
    }
}

/// Transaction: either all writes take effect or none does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Txn {
    /// Unique identifier, stored in each written row. After a lost response, reading it back
    /// shows whether the transaction took effect.
    pub id: String,
    /// At most [`MAX_TXN_WRITES`] writes with distinct keys.
    pub writes: Vec<Write>,
}

/// Outcome of a transaction whose response arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Commit {
    /// All writes took effect. Holds the new row versions in the order of the writes.
    Done(Vec<u64>),
    /// No write took effect, because the condition on the row with this key did not hold.
    Conflict(String),
}

/// Transactional table service.
pub trait Table: Clone + Send + Sync + 'static {
    /// Reads one row with strong consistency; `None` if it does not exist.
    ///
    /// # Errors
    /// Fails when the service does not respond.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Row>>> + Send;

    /// Reads all rows whose key starts with `prefix`, in key order.
    ///
    /// # Errors
    /// Fails when the service does not respond.
    fn scan(&self, prefix: &str) -> impl Future<Output = Result<Vec<Row>>> + Send;

    /// Commits a transaction.
    ///
    /// # Errors
    /// Fails when no response arrives; the outcome is then unknown.
    fn commit(&self, txn: &Txn) -> impl Future<Output = Result<Commit>> + Send;

    /// Closes idle connections to the service, which may be silent.
    fn close_idle(&self) {}
}

/// Object store.
pub trait Objects: Clone + Send + Sync + 'static {
    /// Stores an object unless the name already exists, in which case it returns `false`.
    ///
    /// # Errors
    /// Fails when no response arrives; the outcome is then unknown.
    fn put_new(&self, name: &str, body: Bytes) -> impl Future<Output = Result<bool>> + Send;

    /// Reads an object; `None` if it does not exist.
    ///
    /// # Errors
    /// Fails when the service does not respond.
    fn get(&self, name: &str) -> impl Future<Output = Result<Option<Bytes>>> + Send;

    /// Lists the names of all objects that start with `prefix`, in ascending order.
    ///
    /// # Errors
    /// Fails when the service does not respond.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Vec<String>>> + Send;

    /// Closes idle connections to the service, which may be silent.
    fn close_idle(&self) {}
}

/// Entry of the platform's list of VMs.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Vm {
    /// Name of the node or endpoint that runs on the VM.
    pub name: String,
    /// IP address and port of the node or endpoint.
    pub addr: std::net::SocketAddr,
    /// What runs on the VM: `node`, `engine` or `service`.
    pub role: String,
    /// Whether the platform is about to remove the VM.
    #[serde(default)]
    pub leaving: bool,
}

/// The platform's list of VMs. It may lag behind the actual state.
pub trait VmList: Clone + Send + Sync + 'static {
    /// Reads the list.
    ///
    /// # Errors
    /// Fails when the service does not respond.
    fn list(&self) -> impl Future<Output = Result<Vec<Vm>>> + Send;

    /// Closes idle connections to the service, which may be silent.
    fn close_idle(&self) {}
}

/// Reads from the platform, repeatedly on new connections while the calls are not answered.
/// `close_idle` closes connections that may be silent.
///
/// # Errors
/// The error of the last call under way.
pub(crate) async fn read_repeatedly<T, Fut>(
    what: &str,
    close_idle: impl Fn(),
    read: impl Fn() -> Fut,
) -> Result<T>
where
    Fut: Future<Output = Result<T>>,
{
    let call = |_| {
        let answer = timeout(READ_TIMEOUT, read());
        async move { answer.await.unwrap_or_else(|_| Err(Error::io(what, "no answer in time"))) }
    };
    first_answer(READ_OVERDUE, READ_OVERDUE, call, |trouble| match trouble {
        CallTrouble::Overdue(waited) => {
            log::debug!("{what}: no answer after {waited:?}; calling again");
            close_idle();
        }
        CallTrouble::Failed(e) => log::debug!("{what}: a call failed: {e}"),
    })
    .await
}
