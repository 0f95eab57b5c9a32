//! Settings, inputs and outputs of the claim module.

use crate::claim_row::ClaimAnswer;
use crate::ids::{AttemptId, Endpoint, Node};
use crate::storage::Txn;
use crate::time::Ms;

/// Limits and intervals of the claim module.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Maximum transactions per second of this node.
    pub writes: u64,
    /// Maximum row reads per second of this node.
    pub reads: u64,
    /// Maximum number of unanswered transactions.
    pub max_inflight: usize,
    /// Maximum number of keys in memory; further calls are refused.
    pub max_entries: usize,
    /// Maximum size of a stored answer; a larger one is stored without its body.
    pub answer_bytes: usize,
    /// Maximum total size of the answers in memory, including those not yet
    /// written to the table; beyond it, answers are stored without their bodies.
    pub memory_bytes: usize,
    /// Time for which a stored outcome stays in memory, unless evicted earlier.
    pub cache_time: Ms,
    /// Interval between reads of a row whose call runs on another node, and between
    /// status queries of a running attempt.
    pub recheck_interval: Ms,
    /// Time after which a row is removed; until then a repeated key is recognised.
    pub retention: Ms,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            writes: 60,
            reads: 400,
            max_inflight: 4,
            max_entries: 20_000,
            answer_bytes: 16 * 1024,
            memory_bytes: 4 * 1024 * 1024,
            cache_time: Ms::secs(2),
            recheck_interval: Ms(250),
            retention: Ms::secs(24 * 3600),
        }
    }
}

/// Identifies a call within this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// A call with an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Key of the claim row, from [`row_key`](crate::claim::row_key).
    pub key: String,
    /// Digest of the body, from [`body_digest`](crate::claim::body_digest).
    pub digest: String,
    /// The attempt that would run the call.
    pub attempt: AttemptId,
    /// The endpoint that the attempt goes to.
    pub endpoint: Endpoint,
    /// Time after which the call is not sent.
    pub deadline: Ms,
    /// Time of the call, in milliseconds since the Unix epoch.
    pub created: Ms,
}

/// Result of opening a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Opened {
    /// The claim is queued; a [`ClaimOutput`] reports the result.
    Queued(Ticket),
    /// A call with the same key is running; a [`ClaimOutput`] reports the result.
    Wait(Ticket),
    /// A call with this key has already ended with this answer.
    Replay(ClaimAnswer),
    /// The key was used with a different body.
    Conflict,
    /// A call with this key may have run.
    Unknown {
        /// The attempt that may have run.
        attempt: AttemptId,
        /// The endpoint of that attempt.
        endpoint: Endpoint,
    },
    /// Too many keys are in memory; nothing was sent or stored.
    Full,
}

/// Why a call did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRunReason {
    /// The claim was not committed within the deadline.
    Deadline,
}

/// Result for an open call, or request for I/O.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutput {
    /// The claim is committed: check authority and deadline, then send the call.
    Proceed(Ticket),
    /// A call with this key has ended with this answer, on this or another node.
    Replay(Ticket, ClaimAnswer),
    /// A call with this key runs on the given node. Report the loss of that node to
    /// [`node_gone`](crate::claim::Claims::node_gone).
    Wait(Ticket, Node),
    /// The key was used with a different body; this call did not run.
    Conflict(Ticket),
    /// A call with this key is running or may have run; this call was not sent.
    Unknown {
        /// The call.
        ticket: Ticket,
        /// The attempt that may have run.
        attempt: AttemptId,
        /// The endpoint of that attempt.
        endpoint: Endpoint,
    },
    /// Nothing was or will be sent for this call, and this node knows of no other
    /// call with its key that may run.
    NotRun(Ticket, NotRunReason),
    /// Read these rows and report them to [`on_rows`](crate::claim::Claims::on_rows).
    Read {
        /// At most [`MAX_TXN_WRITES`](crate::storage::MAX_TXN_WRITES) row keys.
        keys: Vec<String>,
    },
    /// Query the endpoint for the attempt and report to
    /// [`on_status`](crate::claim::Claims::on_status).
    Query {
        /// Row key.
        key: String,
        /// The attempt.
        attempt: AttemptId,
        /// The endpoint.
        endpoint: Endpoint,
    },
}

/// Outcome of an attempt that was allowed to proceed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The attempt ran; this answer is to be stored.
    Answer(ClaimAnswer),
    /// The attempt did not run: it was not sent, or the endpoint refused it.
    NotRun,
    /// The attempt may have run.
    Unknown,
}

/// Result of a status query to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Status {
    /// The attempt ended with this answer.
    Ended(ClaimAnswer),
    /// The attempt is running; it is queried again later.
    Running,
    /// The endpoint did not answer, offers no status query, or has not seen the attempt.
    Unclear,
}

/// A transaction to commit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Identifier to pass to [`on_commit`](crate::claim::Claims::on_commit).
    pub id: u64,
    /// The transaction.
    pub txn: Txn,
}

/// Counters of the claim module.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Transactions returned by [`next_batch`](crate::claim::Claims::next_batch).
    pub batches: u64,
    /// Row reads requested.
    pub reads: u64,
    /// Answers stored without their bodies.
    pub bodies_omitted: u64,
    /// Rows of calls that ran here and were overwritten by another attempt, which
    /// violates an invariant.
    pub overwritten: u64,
}
