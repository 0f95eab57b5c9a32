//! What the scheduler of an endpoint is told and what it asks for.

use crate::ids::{AdapterRef, AttemptId, Endpoint};
use crate::time::Ms;

/// Fixed properties of an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointSpec {
    /// Name of the endpoint.
    pub name: Endpoint,
    /// Adapter slots; 0 for a plain service.
    pub slots: usize,
    /// Most concurrent attempts.
    pub batch: usize,
    /// Most loads at once on this endpoint.
    pub max_loads: usize,
    /// Most queued jobs.
    pub max_queued: usize,
    /// Validity of a permit: a younger pin survives although the endpoint does not run it.
    pub pin_grace: Ms,
}

impl EndpointSpec {
    /// An endpoint with 2 loads at once, 512 queued jobs and permits of 5 s.
    pub fn new(name: Endpoint, slots: usize, batch: usize) -> Self {
        Self { name, slots, batch, max_loads: 2, max_queued: 512, pin_grace: Ms::secs(5) }
    }
}

/// Why a job was refused; it did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefuseReason {
    /// The estimated wait exceeds the time left.
    Deadline,
    /// The deadline passed in the queue.
    Expired,
    /// The queue is full and the team holds most of it.
    Full,
    /// The adapter's load failed and backs off.
    LoadFailed,
    /// The endpoint is being taken away.
    Leaving,
    /// The endpoint does not answer.
    Unhealthy,
    /// The fingerprint is quarantined.
    Quarantined,
    /// The endpoint has no adapter slots.
    NoSlots,
}

impl RefuseReason {
    /// Machine-readable name.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Deadline => "deadline_infeasible",
            Self::Expired => "deadline_expired",
            Self::Full => "queue_full",
            Self::LoadFailed => "load_failed",
            Self::Leaving => "endpoint_leaving",
            Self::Unhealthy => "endpoint_unhealthy",
            Self::Quarantined => "quarantined",
            Self::NoSlots => "no_adapter_slots",
        }
    }
}

/// What the shell has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SchedOut {
    /// Send the permit of this attempt.
    Grant {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Refuse this attempt, which did not run.
    Refuse {
        /// The attempt.
        attempt: AttemptId,
        /// Why.
        reason: RefuseReason,
        /// Earliest useful retry.
        retry_after: Ms,
    },
    /// Order the endpoint to load an adapter.
    Load {
        /// The adapter.
        adapter: AdapterRef,
    },
    /// Order the endpoint to evict an adapter.
    Evict {
        /// The adapter.
        adapter: AdapterRef,
    },
}
