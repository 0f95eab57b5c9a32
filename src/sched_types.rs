//! Input and output types of the endpoint scheduler.

use crate::ids::{AdapterRef, AttemptId, Endpoint};
use crate::time::Ms;

/// Fixed properties of an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointSpec {
    /// Name of the endpoint.
    pub name: Endpoint,
    /// Number of adapter slots; 0 for a plain service.
    pub slots: usize,
    /// Maximum number of concurrent attempts.
    pub batch: usize,
    /// Maximum number of concurrent adapter loads.
    pub max_loads: usize,
    /// Maximum number of queued jobs.
    pub max_queued: usize,
    /// Age below which an attempt is kept although the endpoint does not list it as running,
    /// because its request may still be in transit.
    pub pin_grace: Ms,
}

impl EndpointSpec {
    /// Creates a specification with 2 concurrent loads, 512 queued jobs and 5 s of grace for
    /// attempts that the endpoint does not list.
    pub fn new(name: Endpoint, slots: usize, batch: usize) -> Self {
        Self { name, slots, batch, max_loads: 2, max_queued: 512, pin_grace: Ms::secs(5) }
    }
}

/// Reason why a job was refused. A refused job did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefuseReason {
    /// The estimated wait exceeds the time to the deadline.
    Deadline,
    /// The deadline passed in the queue.
    Expired,
    /// The queue is full, and the team has the most queued tokens for its weight.
    Full,
    /// A load of the adapter failed, and its back-off has not passed.
    LoadFailed,
    /// The endpoint is being removed.
    Leaving,
    /// The endpoint does not answer.
    Unhealthy,
    /// The fingerprint is quarantined.
    Quarantined,
    /// The endpoint has no adapter slots.
    NoSlots,
}

impl RefuseReason {
    /// Machine-readable name, as sent to the entry node.
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

/// Action that the shell has to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SchedOut {
    /// Send a permit for an attempt.
    Grant {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Refuse an attempt, which did not run.
    Refuse {
        /// The attempt.
        attempt: AttemptId,
        /// Reason of the refusal.
        reason: RefuseReason,
        /// Minimum delay before a retry.
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
