//! Metrics in statsd format, with one method per metric.
//!
//! A macro generates the methods and the table [`METRICS`] from one list, so that the
//! operators' documentation, which is compared with the table, matches what is sent.
//! Tags hold names of teams, routes, endpoints and the like; adapters and requests are
//! not used as tags because there are too many of them.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use cadence::{
    BufferedUdpMetricSink, Counted, Gauged, Histogrammed, NopMetricSink, QueuingMetricSink,
    StatsdClient,
};

use crate::error::{Error, Result};

/// Prefix of all metric names.
const NAME_PREFIX: &str = "sycamorefork";
/// Maximum number of metrics queued for the sender; further ones are dropped.
const MAX_QUEUED: usize = 4096;

/// Description of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Metric {
    /// Name without the common prefix.
    pub name: &'static str,
    /// `counter`, `gauge` or `histogram`.
    pub kind: &'static str,
    /// Unit of the value.
    pub unit: &'static str,
    /// Tag names.
    pub tags: &'static [&'static str],
    /// Description for operators.
    pub meaning: &'static str,
}

/// Metrics client. Discards all metrics if no receiver is configured.
#[derive(Clone, Debug)]
pub struct Metrics {
    client: Arc<StatsdClient>,
}

impl Metrics {
    /// Creates a client that discards all metrics.
    pub fn disabled() -> Self {
        Self::with_sink(NopMetricSink)
    }

    /// Creates a client that sends to a statsd receiver over UDP from a background thread.
    ///
    /// # Errors
    /// No local socket could be opened.
    pub fn udp(to: SocketAddr) -> Result<Self> {
        let local = if to.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
        let socket = UdpSocket::bind(local).map_err(|e| Error::io("metrics", e))?;
        socket.set_nonblocking(true).map_err(|e| Error::io("metrics", e))?;
        let sink = BufferedUdpMetricSink::from(to, socket).map_err(|e| Error::io("metrics", e))?;
        Ok(Self::with_sink(QueuingMetricSink::with_capacity(sink, MAX_QUEUED)))
    }

    /// Creates a client for the receiver in the settings, or a disabled one if there is none.
    ///
    /// # Errors
    /// No local socket could be opened.
    pub fn new(to: Option<SocketAddr>) -> Result<Self> {
        to.map_or_else(|| Ok(Self::disabled()), Self::udp)
    }

    /// Creates a client that writes to the given sink.
    pub fn with_sink(
        sink: impl cadence::MetricSink + Sync + Send + std::panic::RefUnwindSafe + 'static,
    ) -> Self {
        Self { client: Arc::new(StatsdClient::from_sink(NAME_PREFIX, sink)) }
    }
}

macro_rules! metrics {
    ($($kind:ident $name:ident($($tag:ident),*) in $unit:literal: $meaning:literal;)*) => {
        /// All metrics, in alphabetical order by name.
        pub const METRICS: &[Metric] = &[$(Metric {
            name: stringify!($name),
            kind: stringify!($kind),
            unit: $unit,
            tags: &[$(stringify!($tag)),*],
            meaning: $meaning,
        }),*];

        impl Metrics {
            $(metrics!(@method $kind $name($($tag),*) $unit $meaning);)*
        }
    };
    (@method counter $name:ident($($tag:ident),*) $unit:literal $meaning:literal) => {
        #[doc = concat!($meaning, " (", $unit, ")")]
        pub fn $name(&self, n: u64 $(, $tag: &str)*) {
            let n = i64::try_from(n).unwrap_or(i64::MAX);
            self.client.count_with_tags(stringify!($name), n)
                $(.with_tag(stringify!($tag), $tag))*.send();
        }
    };
    (@method gauge $name:ident($($tag:ident),*) $unit:literal $meaning:literal) => {
        #[doc = concat!($meaning, " (", $unit, ")")]
        pub fn $name(&self, value: u64 $(, $tag: &str)*) {
            self.client.gauge_with_tags(stringify!($name), value)
                $(.with_tag(stringify!($tag), $tag))*.send();
        }
    };
    (@method histogram $name:ident($($tag:ident),*) $unit:literal $meaning:literal) => {
        #[doc = concat!($meaning, " (", $unit, ")")]
        pub fn $name(&self, value: u64 $(, $tag: &str)*) {
            self.client.histogram_with_tags(stringify!($name), value)
                $(.with_tag(stringify!($tag), $tag))*.send();
        }
    };
}

metrics! {
    counter answers(team, route) in "answers": "Answers that reached their end.";
    counter batches() in "batches": "Refusal batches written to the object store.";
    counter borrowed(team) in "tokens": "Tokens borrowed from peers.";
    counter cancelled(reason) in "streams": "Streams cancelled, by reason.";
    counter claims(result) in "claims": "Idempotency claims, by result.";
    gauge connections() in "connections": "Open connections of callers.";
    counter crashes() in "endpoints": "Endpoints that crashed with requests of this node in flight.";
    counter evictions() in "adapters": "Adapters evicted from slots.";
    counter failures(team, route) in "answers": "Answers that were an endpoint's own failure.";
    counter faults(invariant) in "violations": "Violated invariants; must stay at zero.";
    histogram first_token(route) in "ms": "Time from the request to its first token.";
    gauge heard() in "nodes": "Nodes that count for the teams' limits and are heard, this one included.";
    counter leases_lost() in "leases": "Node leases lost.";
    counter load_failures() in "loads": "Adapter loads that failed.";
    counter load_stalls(team) in "requests": "Requests that waited for an adapter load.";
    counter loads() in "loads": "Adapter loads ordered.";
    gauge memory() in "bytes": "Resident memory of the process.";
    gauge nodes() in "nodes": "Nodes that count for the teams' limits, this one included.";
    histogram overhead(route) in "us": "Time that this node added to a request.";
    gauge owned() in "endpoints": "Endpoints that this node owns.";
    gauge quarantined() in "fingerprints": "Quarantined requests.";
    gauge queued(endpoint) in "requests": "Requests queued for an endpoint.";
    counter records_lost() in "records": "Refusal records lost.";
    counter refusals(team, reason) in "refusals": "Refusals, by team and reason.";
    histogram request_time(route) in "ms": "Time from the request to the end of its answer.";
    counter requests(team, route) in "requests": "Requests received.";
    counter resumes() in "streams": "Streams resumed at their offset.";
    counter retries(reason) in "attempts": "Attempts after the first, by reason.";
    gauge running(endpoint) in "requests": "Requests running on an endpoint.";
    gauge serial() in "serial": "Serial of the configuration in force.";
    counter stale_frames() in "frames": "Frames dropped because their attempt does not match.";
    counter takeovers() in "endpoints": "Endpoints taken over from other nodes.";
    histogram token_gap(route) in "us": "Time between two tokens of a stream.";
    counter tokens(team) in "tokens": "Tokens served.";
}
