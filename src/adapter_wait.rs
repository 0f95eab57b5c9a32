//! Waits until an endpoint has loaded an adapter, and tells its holder of the demand.

use std::rc::Rc;

use tokio::time::timeout;

use crate::edge::Edge;
use crate::endpoint_choice::has_adapter;
use crate::mesh;
use crate::order_planner::AdapterDemand;
use crate::time::{BootClock, Clock, Ms};

/// Interval at which a demand is repeated until the adapter is loaded.
const DEMAND_INTERVAL: Ms = Ms(80);

/// Counts a request that waits for an adapter, until it is dropped.
struct Waiter<'a> {
    edge: &'a Rc<Edge>,
    id: &'a Rc<str>,
    adapter: &'a Rc<str>,
}

impl<'a> Waiter<'a> {
    fn new(edge: &'a Rc<Edge>, id: &'a Rc<str>, adapter: &'a Rc<str>) -> Self {
        if let Some(e) = edge.table.borrow_mut().get_mut(id) {
            e.local_waiters.entry(adapter.clone()).or_insert((0, Ms(0))).0 += 1;
        }
        Self { edge, id, adapter }
    }

    /// Whether the adapter is loaded; `None` if the endpoint is unusable or closed or its holder
    /// is unknown. While it is not, repeats the demand to the holder every [`DEMAND_INTERVAL`].
    fn check_loaded(&self, now: Ms, version: Option<u64>) -> Option<bool> {
        let mut table = self.edge.table.borrow_mut();
        let e = table.get_mut(self.id).filter(|e| e.usable() && !e.is_closed(now))?;
        if has_adapter(e, self.adapter, version) {
            return Some(true);
        }
        let (waiters, told_at) = e.local_waiters.get_mut(self.adapter)?;
        if now.since(*told_at) < DEMAND_INTERVAL {
            return Some(false);
        }
        *told_at = now;
        let waiters = *waiters;
        let holder = e.holder.clone()?;
        drop(table);
        let node = self.edge.deployment.node.as_str();
        let demand = AdapterDemand { adapter: self.adapter, version, node, waiters };
        if *holder != *node {
            mesh::send_want(self.edge, &holder, self.id, &demand);
            return Some(false);
        }
        let mut held = self.edge.held.borrow_mut();
        let k = held.get_mut(self.id)?;
        let loaded = k.planner.request_load(now, &demand);
        k.wake.notify_one();
        Some(loaded)
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        if let Some(e) = self.edge.table.borrow_mut().get_mut(self.id)
            && let Some((waiters, _)) = e.local_waiters.get_mut(self.adapter)
        {
            *waiters -= 1;
            if *waiters == 0 {
                e.local_waiters.remove(self.adapter);
            }
        }
    }
}

/// Whether an adapter has to be fetched from the weight store and no other request of this
/// node waits for it.
fn needs_fetch(edge: &Edge, id: &Rc<str>, adapter: &str) -> bool {
    let table = edge.table.borrow();
    table.get(id).is_some_and(|e| {
        !e.local_waiters.contains_key(adapter) && !e.reloadable.contains_key(adapter)
    })
}

/// Result of waiting for an adapter. The variants' names appear in the decision log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdapterWait {
    /// The adapter is loaded.
    InPlace,
    /// The endpoint is gone or wants nothing from this node, or it has no known holder.
    Gone,
    /// The time limit expired.
    Late,
}

/// Asks the endpoint's holder to load an adapter and waits for it until `until`.
pub(crate) async fn wait_for_adapter(
    edge: &Rc<Edge>,
    id: &Rc<str>,
    adapter: &Rc<str>,
    version: Option<u64>,
    until: Ms,
) -> AdapterWait {
    let begun = BootClock.now();
    let fetches = needs_fetch(edge, id, adapter);
    let waiter = Waiter::new(edge, id, adapter);
    loop {
        let arrived = edge.adapter_changes.notified();
        let now = BootClock.now();
        let ended = match waiter.check_loaded(now, version) {
            Some(true) => Some(AdapterWait::InPlace),
            Some(false) if now < until => None,
            Some(false) => Some(AdapterWait::Late),
            None => return AdapterWait::Gone,
        };
        if let Some(ended) = ended {
            if fetches {
                edge.table.borrow_mut().record_fetch(now.since(begun));
            }
            return ended;
        }
        // Ends early when the loaded adapters change.
        let _ = timeout(DEMAND_INTERVAL.to_std(), arrived).await;
    }
}
