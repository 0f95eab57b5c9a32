//! Rows of the table `nodes`, by which nodes hold their leases.
//!
//! A process writes its node's row only over the version that it knows. A write that takes effect
//! late, also one of the node's former process, is refused then, and a process whose row was
//! changed or removed by others learns it from its next write.
//!
//! A released lease is a row that says so. A missing row proves nothing, because its node may hold
//! a lease under a row that was lost.

use std::net::SocketAddr;
use std::rc::Rc;

use crate::row_version;
use crate::time::Ms;

/// A row of the table `nodes`.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeRecord {
    /// Name of the node.
    pub name: Rc<str>,
    /// Address for datagrams.
    pub address: SocketAddr,
    /// Start of the process that wrote the row, in ms since the Unix epoch.
    pub start: u64,
    /// Whether that process has released the lease.
    pub released: bool,
    /// Version of the row.
    pub version: u64,
    /// Instant at which this version was first seen.
    pub seen: Ms,
}

/// What happened to a row that this process had written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RowLoss {
    /// The row is gone.
    Removed,
    /// The process that started at this time has written the row.
    Overwritten(u64),
}

/// The row of this process's node.
#[derive(Clone, Debug)]
pub struct OwnRow {
    start: u64,
    /// Version that the row must have for the next write: 0 if there is no row, `None` before the
    /// first read.
    version: Option<u64>,
    /// Whether this process has written that version.
    written: bool,
}

impl OwnRow {
    /// Creates the state of a process that started at `start`.
    pub fn new(start: u64) -> Self {
        Self { start, version: None, written: false }
    }

    /// Version that the row must have for the next write; `None` before the first read.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Whether the row is this process's own, as far as is known.
    pub fn is_written(&self) -> bool {
        self.written
    }

    /// Records that this process wrote the row. The store may state a version that is newer than
    /// the row's; the next write is refused then, and the row is read.
    pub fn on_written(&mut self, version: u64) {
        self.version = Some(version);
        self.written = true;
    }

    /// Takes over the row as read, in the given era of the store. Returns what happened to the row
    /// that this process had written, unless a restore of the store explains it.
    pub fn on_read(&mut self, row: Option<&NodeRecord>, era: u64) -> Option<RowLoss> {
        let known = self.version.replace(row.map_or(0, |r| r.version));
        // Also after a write whose answer was lost.
        let is_own = row.is_some_and(|r| r.start == self.start);
        let was_own = std::mem::replace(&mut self.written, is_own);
        let restored = known.is_some_and(|version| row_version::era(version) < era);
        if is_own || !was_own || restored {
            return None;
        }
        Some(row.map_or(RowLoss::Removed, |r| RowLoss::Overwritten(r.start)))
    }
}
