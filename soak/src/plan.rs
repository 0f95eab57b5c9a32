//! Plan of the faults of a run, determined by the seed alone.

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use standin::proxy::Mode;
use standin::{endpoint_instance, row_store};

/// Number of processes and endpoints in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Nodes, each a process.
    pub nodes: usize,
    /// Plain endpoints; the endpoints after them are engines.
    pub plain: usize,
    /// Model engines.
    pub engines: usize,
}

impl Size {
    /// Number of endpoints.
    pub fn endpoints(self) -> usize {
        self.plain + self.engines
    }
}

impl Default for Size {
    fn default() -> Self {
        Self { nodes: 3, plain: 2, engines: 2 }
    }
}

/// Range of the time between the starts of two faults, in ms.
const START_GAP_MS: (u64, u64) = (200, 1_100);
/// Range of the duration of a fault, in ms.
const DURATION_MS: (u64, u64) = (300, 2_500);
/// Range of the duration of a freeze, in ms. It exceeds the node's lease of ten seconds, so
/// that other nodes take over what the node holds.
const FREEZE_MS: (u64, u64) = (17_000, 20_000);
/// Range of the time that a planned stop may take, in ms; the end of the nodes' grace period is
/// at 8 s.
const STOP_MS: (u64, u64) = (8_500, 9_000);
/// Range of the time for which requests that crash engines are sent, in ms.
const POISON_MS: (u64, u64) = (9_000, 12_000);
/// Range of the time for which an endpoint states a limit, in ms.
const LIMIT_MS: (u64, u64) = (8_000, 14_000);
/// Range of the time for which an endpoint refuses all requests, in ms.
const DEFER_MS: (u64, u64) = (4_000, 8_000);
/// Range of the age of the copy from which the store is restored, in ms.
const RESTORE_MS: (u64, u64) = (1_000, 9_000);
/// Range of the time between the starts of two limits or restores, in ms.
const DRILL_GAP_MS: (u64, u64) = (4_000, 12_000);
/// Distinguishes the random numbers of limits and restores from those of other faults.
const DRILL_STREAM: u64 = 1 << 32;
/// Distinguishes those of notices of endpoints and of silent connections.
const NOTICE_STREAM: u64 = 1 << 33;
/// Range of the number of faults in a series.
const FAULTS_PER_SERIES: (u32, u32) = (3, 9);
/// Time without new faults after a series and at the end of the run, in ms. It is longer than
/// the longest fault of the ordinary range and than the time within which nodes must learn
/// the store's contents.
const QUIET_MS: u64 = 10_000;

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A node's process is killed, and started again at the end of the fault.
    Kill { node: usize },
    /// A node's process receives SIGTERM, and is started again once it has exited.
    Stop { node: usize },
    /// A node's process receives SIGHUP.
    Reload { node: usize },
    /// A node's process is suspended.
    Pause { node: usize },
    /// A node's process is suspended for longer than its lease.
    Freeze { node: usize },
    /// The store fails for all nodes.
    Store(row_store::RowStoreFault),
    /// An endpoint misbehaves.
    Endpoint { endpoint: usize, fault: endpoint_instance::EndpointFault },
    /// Connections to an endpoint are disturbed.
    Link { endpoint: usize, mode: Mode },
    /// Connections of a node to the store are disturbed.
    StoreLink { node: usize, mode: Mode },
    /// An endpoint crashes and comes back as a new instance.
    Crash { endpoint: usize },
    /// All engines crash at the same moment.
    CrashEngines,
    /// Callers send requests with a prompt part that crashes engines.
    Poison,
    /// An endpoint leaves and is replaced by another one at the end of the fault.
    Leave { endpoint: usize },
    /// The operators write a configuration that lacks the previous configuration's own key.
    Configure,
    /// The operators name a new version of an adapter.
    NameVersion,
    /// The operators' row holds the previous configuration until the end of the fault.
    Lag,
    /// The store drops its change history.
    Compact,
    /// The store is restored, at the end of the fault, from a copy taken at its start.
    Restore,
    /// An endpoint states a rate limit.
    Limit { endpoint: usize },
    /// An endpoint says in its answers that it leaves, and is replaced at the end of the fault.
    Announce { endpoint: usize },
    /// An endpoint refuses all requests and states when to come back.
    Defer { endpoint: usize },
    /// The open connections to the store are silent from then on.
    SilenceStore,
}

impl Fault {
    /// Whether the fault can delay what nodes learn from the store or from each other.
    pub fn hides_store(self) -> bool {
        !matches!(
            self,
            Self::Endpoint { .. }
                | Self::Link { .. }
                | Self::Leave { .. }
                | Self::Crash { .. }
                | Self::CrashEngines
                | Self::Poison
                | Self::Configure
                | Self::NameVersion
                | Self::Reload { .. }
                | Self::Limit { .. }
                | Self::Announce { .. }
                | Self::Defer { .. }
        )
    }

    /// Whether the fault can break answers of endpoints.
    pub fn breaks_answers(self) -> bool {
        matches!(
            self,
            Self::Endpoint { .. }
                | Self::Link { .. }
                | Self::Crash { .. }
                | Self::CrashEngines
                | Self::Poison
        )
    }

    /// The node that the fault disturbs without a plan, if any.
    pub fn disturbed_node(self) -> Option<usize> {
        match self {
            Self::Kill { node } | Self::Pause { node } | Self::Freeze { node } => Some(node),
            _ => None,
        }
    }

    /// Range of the duration, in ms.
    fn duration(self) -> (u64, u64) {
        match self {
            Self::Freeze { .. } => FREEZE_MS,
            Self::Stop { .. } => STOP_MS,
            Self::Poison => POISON_MS,
            Self::Limit { .. } | Self::Announce { .. } => LIMIT_MS,
            Self::Defer { .. } => DEFER_MS,
            Self::Restore => RESTORE_MS,
            _ => DURATION_MS,
        }
    }
}

/// A fault with its start and end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// Start, in ms from the start of the run.
    pub at: u64,
    /// End, in ms from the start of the run.
    pub end: u64,
    /// The fault.
    pub fault: Fault,
}

/// Draws a fault.
fn random_fault(rng: &mut StdRng, size: Size) -> Fault {
    let node = rng.random_range(0..size.nodes);
    let endpoint = rng.random_range(0..size.endpoints());
    let mode = *[Mode::Delay, Mode::Reset, Mode::Silent, Mode::OneWay].choose(rng).unwrap();
    match rng.random_range(0..22) {
        0 => Fault::Kill { node },
        1..=3 => Fault::Stop { node },
        4 | 5 => Fault::Pause { node },
        6 => {
            let faults = [
                row_store::RowStoreFault::Refuses(503),
                row_store::RowStoreFault::Refuses(429),
                row_store::RowStoreFault::Silent,
            ];
            Fault::Store(*faults.choose(rng).unwrap())
        }
        7 => Fault::Store(row_store::RowStoreFault::LosesAnswers),
        8 | 9 => {
            use endpoint_instance::EndpointFault as F;
            let faults = [
                F::Resets,
                F::Foreign,
                F::Cut,
                F::Full,
                F::Overloaded,
                F::Unnamed,
                F::Extra,
                F::LateCopy,
                F::EndlessHead,
                F::EndlessBody,
                F::Silent,
            ];
            Fault::Endpoint { endpoint, fault: *faults.choose(rng).unwrap() }
        }
        10 => Fault::Link { endpoint, mode },
        11 => Fault::StoreLink { node, mode },
        12 => Fault::Leave { endpoint },
        13 | 14 => Fault::Configure,
        15 => Fault::Lag,
        16 => Fault::Freeze { node },
        17 => Fault::Crash { endpoint },
        18 => Fault::CrashEngines,
        19 => Fault::Poison,
        20 => *[Fault::Reload { node }, Fault::NameVersion].choose(rng).unwrap(),
        _ => Fault::Compact,
    }
}

/// Whether the end of one of two overlapping faults would undo the other. Faults of one node do
/// not: each signal goes to whatever process the node has.
fn conflict(a: Fault, b: Fault) -> bool {
    let endpoint = |f| match f {
        Fault::Endpoint { endpoint, .. }
        | Fault::Link { endpoint, .. }
        | Fault::Crash { endpoint }
        | Fault::Limit { endpoint }
        | Fault::Announce { endpoint }
        | Fault::Defer { endpoint }
        | Fault::Leave { endpoint } => Some(endpoint),
        _ => None,
    };
    let is_config = |f| matches!(f, Fault::Configure | Fault::Lag);
    (endpoint(a).is_some() && endpoint(a) == endpoint(b))
        || (matches!(a, Fault::Store(_)) && matches!(b, Fault::Store(_)))
        || (a == Fault::Poison && b == Fault::Poison)
        || (a == Fault::Restore && b == Fault::Restore)
        || (is_config(a) && is_config(b))
}

/// Returns the faults of a run of `length_ms`, ordered by start.
pub fn plan(seed: u64, length_ms: u64, size: Size) -> Vec<Event> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut events: Vec<Event> = Vec::new();
    let mut at = 500;
    let mut left_in_series = rng.random_range(FAULTS_PER_SERIES.0..FAULTS_PER_SERIES.1);
    while at + QUIET_MS < length_ms {
        let fault = random_fault(&mut rng, size);
        let (least, most) = fault.duration();
        let end = at + rng.random_range(least..most);
        if end + QUIET_MS / 2 < length_ms
            && !events.iter().any(|e| e.end > at && conflict(e.fault, fault))
        {
            events.push(Event { at, end, fault });
        }
        at += rng.random_range(START_GAP_MS.0..START_GAP_MS.1);
        left_in_series -= 1;
        if left_in_series == 0 {
            left_in_series = rng.random_range(FAULTS_PER_SERIES.0..FAULTS_PER_SERIES.1);
            at += QUIET_MS;
        }
    }
    let drills = |rng: &mut StdRng, endpoint| {
        *[Fault::Restore, Fault::Limit { endpoint }].choose(rng).unwrap()
    };
    add_apart(seed ^ DRILL_STREAM, length_ms, size, &mut events, drills);
    let notices = |rng: &mut StdRng, endpoint| {
        let all = [Fault::Announce { endpoint }, Fault::Defer { endpoint }, Fault::SilenceStore];
        *all.choose(rng).unwrap()
    };
    add_apart(seed ^ NOTICE_STREAM, length_ms, size, &mut events, notices);
    events
}

/// Adds faults to those of a run. They are drawn apart, so that the other faults of a seed do not
/// depend on them.
fn add_apart(
    seed: u64,
    length_ms: u64,
    size: Size,
    events: &mut Vec<Event>,
    draw: impl Fn(&mut StdRng, usize) -> Fault,
) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut at = rng.random_range(DRILL_GAP_MS.0..DRILL_GAP_MS.1);
    while at + QUIET_MS < length_ms {
        let endpoint = rng.random_range(0..size.endpoints());
        let fault = draw(&mut rng, endpoint);
        let (least, most) = fault.duration();
        let end = at + rng.random_range(least..most);
        let overlaps = |e: &Event| e.end > at && e.at < end && conflict(e.fault, fault);
        if end + QUIET_MS / 2 < length_ms && !events.iter().any(overlaps) {
            events.push(Event { at, end, fault });
        }
        at += rng.random_range(DRILL_GAP_MS.0..DRILL_GAP_MS.1);
    }
    events.sort_by_key(|e| e.at);
}
