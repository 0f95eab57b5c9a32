//! Settings of one edge node: its addresses, its limits and the bounds of the deployment.

use std::net::{Ipv4Addr, SocketAddr};
use std::ops::RangeInclusive;

use crate::ids::Map;
use crate::time::Ms;

/// Addresses that a node listens on.
#[derive(Clone, Debug)]
pub struct Listen {
    /// Address for callers.
    pub front: SocketAddr,
    /// Address for the load balancer's readiness checks.
    pub ready: SocketAddr,
    /// Ports for traffic between nodes.
    pub ports: RangeInclusive<u16>,
}

/// Bounds that the operators set for the deployment.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Longest time for which new requests may reach a draining endpoint.
    pub drain: Ms,
    /// Longest time until a confirmed configuration is in force.
    pub config_deadline: Ms,
    /// Time from SIGTERM to SIGKILL.
    pub grace: Ms,
    /// Shortest pause between orders of two holders to the same endpoint.
    pub handover_pause: Ms,
    /// Longest time until requests start on a new version of an adapter.
    pub version_delay: Ms,
    /// Repeated sends per request, over all nodes.
    pub retry_ratio: f64,
    /// Window over which repeated sends are counted.
    pub retry_window: Ms,
    /// Repeated sends per window allowed in addition to the ratio, over all nodes.
    pub retry_slack: f64,
    /// Tokens by which a team may exceed its limit in a window, over all nodes.
    pub quota_tolerance: f64,
}

/// Settings of one node.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name of the node.
    pub node: String,
    /// IP address of the node's VM.
    pub ip: Ipv4Addr,
    /// Failure domain of the node.
    pub domain: String,
    /// Region of each failure domain.
    pub regions: Map<String, String>,
    /// Addresses that the node listens on.
    pub listen: Listen,
    /// VMs of other nodes, contacted while the store cannot be reached; may be out of date.
    pub seeds: Vec<Ipv4Addr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Memory limit of the process, in bytes.
    pub memory_bytes: u64,
    /// Limit on open file descriptors.
    pub max_files: usize,
    /// Interval at which endpoints refresh their entries.
    pub entry_interval: Ms,
    /// Bounds of the deployment.
    pub bounds: Bounds,
}
