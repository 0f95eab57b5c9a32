//! What a node knows of its place: addresses, limits and bounds.

use std::net::{Ipv4Addr, SocketAddr};
use std::ops::RangeInclusive;

use crate::ids::Map;
use crate::time::Ms;

/// Addresses that a node listens on.
#[derive(Clone, Debug)]
pub struct Listen {
    /// Callers.
    pub front: SocketAddr,
    /// Readiness checks of the balancer.
    pub ready: SocketAddr,
    /// Ports free for traffic between nodes.
    pub ports: RangeInclusive<u16>,
}

/// Bounds that the operators set for the deployment.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Longest time for which requests may still reach an endpoint that is draining.
    pub drain: Ms,
    /// Time from SIGTERM to SIGKILL.
    pub grace: Ms,
    /// Shortest pause between orders of two holders to one endpoint.
    pub handover_pause: Ms,
    /// Longest time until requests begin on a new version of an adapter.
    pub version_delay: Ms,
    /// Repeated sends per request.
    pub retry_ratio: f64,
    /// Window in which repeated sends are counted.
    pub retry_window: Ms,
    /// Repeated sends in a window beyond the ratio, over all nodes.
    pub retry_slack: f64,
    /// Tokens that a team may exceed its limit by in a window, over all nodes.
    pub quota_tolerance: f64,
}

/// Settings of one node.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name of the node's machine.
    pub node: String,
    /// Address of the machine.
    pub ip: Ipv4Addr,
    /// Failure domain.
    pub domain: String,
    /// Region of each failure domain.
    pub regions: Map<String, String>,
    /// Addresses that the node listens on.
    pub listen: Listen,
    /// Machines to ask while the store cannot be reached; may be out of date.
    pub seeds: Vec<Ipv4Addr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Memory limit of the process, in bytes.
    pub memory_bytes: u64,
    /// Limit of open descriptors.
    pub max_files: usize,
    /// Interval at which endpoints refresh their entries.
    pub entry_interval: Ms,
    /// Bounds of the deployment.
    pub bounds: Bounds,
}
