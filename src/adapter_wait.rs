//! Waits until an adapter is in place at an endpoint, and keeps its holder informed.

use std::rc::Rc;

use tokio::time::timeout;

use crate::edge::Edge;
use crate::endpoint_choice::has_adapter;
use crate::mesh;
use crate::order_planner::AdapterDemand;
use crate::time::{BootClock, Clock, Ms};

/// Interval at which a want is repeated until it is answered.
const WANT_AGAIN: Ms = Ms(80);

/// A request that waits for an adapter; it stops waiting when dropped.
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

    /// Whether the adapter is in place; tells the holder from time to time if not.
    fn check(&self, now: Ms, version: Option<u64>) -> Option<bool> {
        let mut table = self.edge.table.borrow_mut();
        let e = table.get_mut(self.id).filter(|e| e.usable())?;
        if has_adapter(e, self.adapter, version) {
            return Some(true);
        }
        let (waiters, told) = e.local_waiters.get_mut(self.adapter)?;
        if now.since(*told) < WANT_AGAIN {
            return Some(false);
        }
        *told = now;
        let waiters = *waiters;
        let holder = e.holder.clone()?;
        drop(table);
        let node = self.edge.deployment.node.as_str();
        let want = AdapterDemand { adapter: self.adapter, version, node, waiters };
        if *holder != *node {
            mesh::send_want(self.edge, &holder, self.id, &want);
            return Some(false);
        }
        let mut kept = self.edge.held.borrow_mut();
        let k = kept.get_mut(self.id)?;
        let there = k.planner.request_load(now, &want);
        k.wake.notify_one();
        Some(there)
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

/// Whether an adapter has to come from the weight store and nobody here waits for it yet.
fn is_fetch(edge: &Edge, id: &Rc<str>, adapter: &str) -> bool {
    let table = edge.table.borrow();
    table.get(id).is_some_and(|e| {
        !e.local_waiters.contains_key(adapter) && !e.reloadable.contains_key(adapter)
    })
}

/// How waiting for an adapter ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Brought {
    /// The adapter is in place.
    InPlace,
    /// The endpoint is gone, or its holder cannot be reached.
    Gone,
    /// It took too long.
    Late,
}

/// Has an adapter loaded by the endpoint's holder and waits until it is in place.
pub(crate) async fn bring(
    edge: &Rc<Edge>,
    id: &Rc<str>,
    adapter: &Rc<str>,
    version: Option<u64>,
    until: Ms,
) -> Brought {
    let begun = BootClock.now();
    let fetches = is_fetch(edge, id, adapter);
    let waiter = Waiter::new(edge, id, adapter);
    loop {
        let arrived = edge.adapter_changes.notified();
        let now = BootClock.now();
        let ended = match waiter.check(now, version) {
            Some(true) => Some(Brought::InPlace),
            Some(false) if now < until => None,
            Some(false) => Some(Brought::Late),
            None => return Brought::Gone,
        };
        if let Some(ended) = ended {
            if fetches {
                edge.table.borrow_mut().record_fetch(now.since(begun));
            }
            return ended;
        }
        // Ends early when some adapter arrives.
        let _ = timeout(WANT_AGAIN.to_std(), arrived).await;
    }
}
