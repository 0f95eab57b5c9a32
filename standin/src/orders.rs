//! Brings about orders to an engine and checks that one node at a time gives them.

use std::collections::HashSet;
use std::time::Duration;

use tokio::time::sleep;

use crate::caller::{CallerRequest, wait_until};
use crate::endpoint_instance::Instance;
use crate::node::Node;

/// Pause between requests for adapters.
const REQUEST_PAUSE: Duration = Duration::from_millis(100);
/// Adapters of the model.
const ADAPTERS: usize = 9;

/// Waits until a node holds an engine.
pub async fn wait_for_reports(engine: &Instance) {
    wait_until("the engine has a holder", || async { !engine.reports().is_empty() }).await;
}

/// Asks the nodes in turn for one adapter after the other; returns how many requests were served.
pub async fn load_adapters(nodes: &[Node], numbers: std::ops::Range<usize>) -> usize {
    let mut served = 0;
    for n in numbers {
        let attempt = format!("m{n}");
        let model = format!("base/a{}", n % ADAPTERS);
        let ask = CallerRequest::new("POST /ask/1", &attempt).with_header("X-Model", &model);
        served += usize::from(ask.send(&nodes[n % nodes.len()]).await.status == 200);
        sleep(REQUEST_PAUSE).await;
    }
    served
}

/// Checks that fencing tokens never fall, that each belongs to one node, and that holders change
/// only with a pause.
///
/// # Panics
///
/// Panics if they do not.
pub fn check_orders(engine: &Instance, shortest_pause: Duration) {
    let orders = engine.timed_orders();
    let fences: Vec<_> = orders.iter().map(|(_, o)| o["FencingToken"].as_u64()).collect();
    let falls = fences.windows(2).find(|pair| pair[0] > pair[1]);
    assert_eq!(falls, None, "{}: a fencing token falls", engine.id);
    let owners: HashSet<_> =
        orders.iter().map(|(_, o)| (o["FencingToken"].as_u64(), o["Holder"].as_str())).collect();
    let tokens: HashSet<_> = fences.iter().collect();
    assert_eq!(owners.len(), tokens.len(), "{}: {owners:?}", engine.id);
    for pair in orders.windows(2) {
        let [(last, a), (next, b)] = pair else { continue };
        let pause = next.duration_since(*last);
        let (a, b) = (&a["Holder"], &b["Holder"]);
        assert!(a == b || pause >= shortest_pause, "{}: {a} to {b} after {pause:?}", engine.id);
    }
}
