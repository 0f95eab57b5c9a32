//! What endpoints ask of their callers in their answers: to keep to a rate limit, and to send
//! nothing for a time.
//!
//! An endpoint that states a limit accepts that many requests per second from all nodes together. Nodes report in
//! their beats what the newest answer stated and how many requests they sent, so that a node
//! also keeps to a limit that only its peers have been told of, and share the rate by
//! [`SharedLimits`](crate::shared_limits::SharedLimits). The time for which it wants nothing
//! concerns the node that it answers, see [`EndpointState::closed_until`].

use std::rc::Rc;

use crate::endpoint_table::EndpointState;
use crate::shared_limits::{Limit, Limited};
use crate::time::Ms;

/// Tokens charged for a request. Beats carry whole tokens, and rates may be below one request
/// per second.
pub const REQUEST_COST: f64 = 1_000.0;
/// Burst of a limit beyond one request, in seconds of its rate.
const BURST_S: f64 = 0.5;
/// Smallest rate in requests per second. A node learns of the end of a limit by an answer.
const MIN_PER_S: f64 = 0.25;
/// Time for which beats report that a limit has ended.
pub(crate) const END_REPORTED_FOR: Ms = Ms::secs(3);

/// The limit of one endpoint.
#[derive(Clone, Debug)]
pub struct EndpointLimit {
    id: Rc<str>,
    per_s: f64,
}

impl EndpointLimit {
    /// Creates the limit of an endpoint, in requests per second over all nodes.
    pub fn new(id: Rc<str>, per_s: f64) -> Self {
        Self { id, per_s: per_s.max(MIN_PER_S) }
    }

    /// The limit that an endpoint states, if any.
    pub fn of(endpoint: &EndpointState) -> Option<Self> {
        let per_s = endpoint.stated_limit?.rate?;
        Some(Self::new(endpoint.entry.id.clone(), per_s))
    }
}

impl Limited for EndpointLimit {
    fn name(&self) -> &Rc<str> {
        &self.id
    }

    fn limit(&self) -> Option<Limit> {
        let burst = (1.0 + self.per_s * BURST_S) * REQUEST_COST;
        Some(Limit { rate: self.per_s * REQUEST_COST, burst, min_burst: REQUEST_COST })
    }
}

/// Why an endpoint must not get a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deferral {
    /// It has asked this node to send nothing for this time.
    Closed(Ms),
    /// The rate limit that it states leaves no room for this time.
    AtLimit(Ms),
}

impl Deferral {
    /// Time after which the endpoint may get the request.
    pub fn after(self) -> Ms {
        match self {
            Self::Closed(after) | Self::AtLimit(after) => after,
        }
    }

    /// Reason of the refusal of a request that no other endpoint can serve.
    pub fn reason(self) -> &'static str {
        match self {
            Self::Closed(_) => "endpoint_closed",
            Self::AtLimit(_) => "endpoint_limit",
        }
    }
}

/// Endpoints that must not get a request now, with the deferral that ends first.
#[derive(Clone, Debug, Default)]
pub struct Deferred {
    /// Instance IDs of the endpoints.
    pub ids: Vec<Rc<str>>,
    /// The deferral that ends first; `None` if there are no endpoints.
    pub earliest: Option<Deferral>,
}

impl Deferred {
    /// Adds an endpoint.
    pub fn add(&mut self, id: Rc<str>, deferral: Deferral) {
        self.ids.push(id);
        let earlier = self.earliest.filter(|e| e.after() <= deferral.after());
        self.earliest = Some(earlier.unwrap_or(deferral));
    }
}
