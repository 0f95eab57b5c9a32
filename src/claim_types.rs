//! Inputs and outputs of the claim module.

use crate::claim_row::ClaimAnswer;
use crate::ids::{AttemptId, Endpoint, Node};
use crate::storage::Txn;
use crate::time::Ms;

/// Bounds of the claim module.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Transactions per second that this node may send.
    pub writes: u64,
    /// Rows per second that this node may read.
    pub reads: u64,
    /// Transactions that may be unanswered at once.
    pub flights: usize,
    /// Keys held in memory; a call beyond them is refused.
    pub entries: usize,
    /// Largest stored answer, in bytes; a larger one is stored without its body.
    pub answer: usize,
    /// Bytes of answers in memory, those that wait for the table service
    /// included; beyond them, answers are stored without their bodies.
    pub memory: usize,
    /// How long a stored outcome stays in memory, room permitting.
    pub cache: Ms,
    /// Time between two reads of a row that runs on another node.
    pub recheck: Ms,
    /// How long a row is kept, so that a repeated key is recognised.
    pub retention: Ms,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            writes: 60,
            reads: 400,
            flights: 4,
            entries: 20_000,
            answer: 16 * 1024,
            memory: 4 * 1024 * 1024,
            cache: Ms::secs(2),
            recheck: Ms(250),
            retention: Ms::secs(24 * 3600),
        }
    }
}

/// Names one call within this node.
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
    /// Instant after which nothing is sent.
    pub deadline: Ms,
    /// Wall clock, in milliseconds since the Unix epoch.
    pub created: Ms,
}

/// Immediate answer to a new call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Opened {
    /// The claim is queued; [`ClaimOutput`] says how it ends.
    Queued(Ticket),
    /// A call with the same key is under way; [`ClaimOutput`] says how it ends.
    Wait(Ticket),
    /// The call has ended before; this is its answer.
    Replay(ClaimAnswer),
    /// The key was used with another body.
    Conflict,
    /// A call with this key may have run.
    Unknown {
        /// The attempt that may have run.
        attempt: AttemptId,
        /// Where it may have run.
        endpoint: Endpoint,
    },
    /// Too many keys are held; nothing was sent or stored.
    Full,
}

/// Why a call did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unrun {
    /// The claim was not committed within the deadline.
    Deadline,
}

/// Event for the shell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutput {
    /// The claim is committed: check authority and deadline, then send.
    Proceed(Ticket),
    /// The call has ended, here or elsewhere.
    Replay(Ticket, ClaimAnswer),
    /// The call runs on this node; tell [`node_gone`](crate::claim::Claims::node_gone) when it is gone.
    Wait(Ticket, Node),
    /// The key was used with another body; this call was not run.
    Conflict(Ticket),
    /// A call with this key runs or may have run; this call was not sent.
    Unknown {
        /// The call.
        ticket: Ticket,
        /// The attempt that may have run.
        attempt: AttemptId,
        /// Where it may have run.
        endpoint: Endpoint,
    },
    /// Nothing was sent for this call and nothing will be, and no other call of
    /// its key is known here that may run.
    NotRun(Ticket, Unrun),
    /// Read these rows and report them to [`on_rows`](crate::claim::Claims::on_rows).
    Read {
        /// At most [`TXN_WRITES`](crate::storage::TXN_WRITES) row keys.
        keys: Vec<String>,
    },
    /// Ask the endpoint what became of the attempt; report to [`on_status`](crate::claim::Claims::on_status).
    Query {
        /// Row key.
        key: String,
        /// The attempt.
        attempt: AttemptId,
        /// The endpoint.
        endpoint: Endpoint,
    },
}

/// How an attempt that was allowed to proceed ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It ran; the answer is stored.
    Answer(ClaimAnswer),
    /// It certainly did not run: not sent, or refused by the endpoint.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Answer of an endpoint's status query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Status {
    /// The attempt ended with this answer.
    Ended(ClaimAnswer),
    /// The attempt runs; ask again later.
    Running,
    /// The endpoint cannot tell, has no status query, or has not seen the attempt.
    Unclear,
}

/// A transaction to commit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Number for [`on_commit`](crate::claim::Claims::on_commit).
    pub id: u64,
    /// The transaction.
    pub txn: Txn,
}

/// Counters of the claim module.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Transactions handed out.
    pub batches: u64,
    /// Rows asked for.
    pub reads: u64,
    /// Answers stored without their bodies.
    pub cut: u64,
    /// Rows of calls that ran here and were found taken by another attempt: an
    /// invariant violation.
    pub stolen: u64,
}
