//! What goes wrong when; a pure function of the seed.

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use standin::{endpoint_instance, row_store};

use crate::proxy::Mode;

/// Nodes of a run.
pub const NODES: usize = 3;
/// Plain endpoints of a run; engines come after them.
pub const PLAIN: usize = 2;
/// Endpoints of a run.
pub const ENDPOINTS: usize = 4;
/// Shortest and longest time between the beginnings of two faults, in ms.
const GAP: (u64, u64) = (200, 1_100);
/// Shortest and longest duration of a fault, in ms.
const LENGTH: (u64, u64) = (300, 2_500);
/// Duration of a freeze, in ms: others take over what the node holds, after its lease of
/// ten seconds.
const FREEZE: (u64, u64) = (17_000, 20_000);
/// Fewest and most faults of a series.
const SERIES: (u32, u32) = (3, 9);
/// Time after a series and at the end without new faults, in ms: longer than the longest
/// fault and the time after which nodes must know what the store holds.
const CALM: u64 = 10_000;

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process is killed and started again at the end.
    Kill { node: usize },
    /// The process is told to stop and started again at the end.
    Stop { node: usize },
    /// The process does not run.
    Pause { node: usize },
    /// The process does not run for longer than its lease.
    Freeze { node: usize },
    /// The store fails all nodes.
    Store(row_store::RowStoreFault),
    /// An endpoint's answers are wrong.
    Endpoint { endpoint: usize, fault: endpoint_instance::EndpointFault },
    /// Connections to an endpoint are disturbed.
    Link { endpoint: usize, mode: Mode },
    /// Connections of a node to the store are disturbed.
    StoreLink { node: usize, mode: Mode },
    /// An endpoint leaves; another one takes its place at the end.
    Leave { endpoint: usize },
    /// A configuration without the key of the one before.
    Configure,
    /// The operators' row shows the configuration before; it is put right at the end.
    Lag,
    /// The store's history goes.
    Compact,
}

impl Fault {
    /// Whether nodes may learn late of what the store holds.
    pub fn hides_store(self) -> bool {
        !matches!(
            self,
            Self::Endpoint { .. } | Self::Link { .. } | Self::Leave { .. } | Self::Configure
        )
    }
}

/// A fault in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// Begin, in ms from the start.
    pub at: u64,
    /// End, in ms from the start.
    pub end: u64,
    /// What goes wrong.
    pub fault: Fault,
}

fn fault(rng: &mut StdRng) -> Fault {
    let node = rng.random_range(0..NODES);
    let endpoint = rng.random_range(0..ENDPOINTS);
    let mode = *[Mode::Delay, Mode::Reset, Mode::Silent, Mode::OneWay].choose(rng).unwrap();
    match rng.random_range(0..15) {
        0 => Fault::Kill { node },
        1 => Fault::Stop { node },
        2 | 3 => Fault::Pause { node },
        4 => {
            let faults = [
                row_store::RowStoreFault::Refuses(503),
                row_store::RowStoreFault::Refuses(429),
                row_store::RowStoreFault::Silent,
            ];
            Fault::Store(*faults.choose(rng).unwrap())
        }
        5 => Fault::Store(row_store::RowStoreFault::LosesAnswers),
        6 | 7 => {
            use endpoint_instance::EndpointFault as F;
            let faults =
                [F::Resets, F::Foreign, F::Cut, F::Full, F::Overloaded, F::Extra, F::Silent];
            Fault::Endpoint { endpoint, fault: *faults.choose(rng).unwrap() }
        }
        8 => Fault::Link { endpoint, mode },
        9 => Fault::StoreLink { node, mode },
        10 => Fault::Leave { endpoint },
        11 => Fault::Configure,
        12 => Fault::Lag,
        13 => Fault::Freeze { node },
        _ => Fault::Compact,
    }
}

/// Whether two faults would undo each other.
fn clash(a: Fault, b: Fault) -> bool {
    let node = |f| match f {
        Fault::Kill { node }
        | Fault::Stop { node }
        | Fault::Pause { node }
        | Fault::Freeze { node } => Some(node),
        _ => None,
    };
    let endpoint = |f| match f {
        Fault::Endpoint { endpoint, .. }
        | Fault::Link { endpoint, .. }
        | Fault::Leave { endpoint } => Some(endpoint),
        _ => None,
    };
    let writes = |f| matches!(f, Fault::Configure | Fault::Lag);
    (node(a).is_some() && node(a) == node(b))
        || (endpoint(a).is_some() && endpoint(a) == endpoint(b))
        || (matches!(a, Fault::Store(_)) && matches!(b, Fault::Store(_)))
        || (writes(a) && writes(b))
}

/// The faults of a run of `length` ms, by their beginnings.
pub fn plan(seed: u64, length: u64) -> Vec<Event> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut events: Vec<Event> = Vec::new();
    let mut at = 500;
    let mut series = rng.random_range(SERIES.0..SERIES.1);
    while at + CALM < length {
        let fault = fault(&mut rng);
        let (least, most) = if matches!(fault, Fault::Freeze { .. }) { FREEZE } else { LENGTH };
        let end = at + rng.random_range(least..most);
        if end + CALM / 2 < length && !events.iter().any(|e| e.end > at && clash(e.fault, fault)) {
            events.push(Event { at, end, fault });
        }
        at += rng.random_range(GAP.0..GAP.1);
        series -= 1;
        if series == 0 {
            series = rng.random_range(SERIES.0..SERIES.1);
            at += CALM;
        }
    }
    events
}
