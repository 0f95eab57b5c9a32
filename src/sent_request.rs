//! Accounting of one request while it is at an endpoint.
//!
//! [`Flight`] adds the request to the endpoint's load when it is sent and takes it
//! off when it is dropped, whatever way it ended.

use std::rc::Rc;

use crate::edge::Edge;
use crate::endpoint_table::RequestOutcome;
use crate::time::{BootClock, Clock, Ms};

/// A request at an endpoint.
pub(crate) struct Flight {
    edge: Rc<Edge>,
    id: Rc<str>,
    adapter: Option<Rc<str>>,
    input: f64,
    memory: f64,
    sent: Ms,
    predicted: f64,
    unread: bool,
}

impl Flight {
    /// Counts a request with `input` prompt tokens and `output` expected ones.
    pub(crate) fn new(
        edge: &Rc<Edge>,
        id: &Rc<str>,
        adapter: Option<Rc<str>>,
        (input, output): (f64, f64),
        predicted: f64,
    ) -> Self {
        let sent = BootClock.now();
        if let Some(adapter) = &adapter {
            let mut uses = edge.adapter_uses.borrow_mut();
            let uses = uses.entry(id.clone()).or_default();
            *uses.entry(adapter.clone()).or_default() += 1;
        }
        let memory = input + output;
        if let Some(e) = edge.table.borrow_mut().get_mut(id) {
            e.own_load.running += 1;
            e.own_load.unread += input;
            e.own_load.memory += memory;
            e.unanswered.push(sent);
        }
        Self {
            edge: edge.clone(),
            id: id.clone(),
            adapter,
            input,
            memory,
            sent,
            predicted,
            unread: true,
        }
    }

    /// The first event, or the whole answer, has come.
    pub(crate) fn answered(&mut self) {
        if !std::mem::replace(&mut self.unread, false) {
            return;
        }
        let seen = BootClock.now().since(self.sent).0 as f64;
        if let Some(e) = self.edge.table.borrow_mut().get_mut(&self.id) {
            e.own_load.unread -= self.input;
            e.record_latency(self.predicted, seen);
            remove(&mut e.unanswered, self.sent);
        }
    }

    /// Records how the request ended.
    pub(crate) fn ended(&mut self, how: RequestOutcome) {
        let now = BootClock.now();
        if let Some(e) = self.edge.table.borrow_mut().get_mut(&self.id) {
            let paused = e.is_paused(now);
            e.record_outcome(now, how);
            if !paused && e.is_paused(now) {
                crate::log_sink::decision!("endpoint_paused", "endpoint": &*self.id,
                    "failures": e.failures, "for_ms": e.paused_until.since(now).0, "last": format!("{how:?}"));
            }
        }
    }
}

fn remove(list: &mut Vec<Ms>, at: Ms) {
    if let Some(i) = list.iter().position(|s| *s == at) {
        list.swap_remove(i);
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        if let Some(adapter) = &self.adapter {
            let mut uses = self.edge.adapter_uses.borrow_mut();
            if let Some(n) = uses.get_mut(&self.id).and_then(|u| u.get_mut(adapter)) {
                *n = n.saturating_sub(1);
            }
        }
        if let Some(e) = self.edge.table.borrow_mut().get_mut(&self.id) {
            e.own_load.running = e.own_load.running.saturating_sub(1);
            e.own_load.memory -= self.memory;
            if self.unread {
                e.own_load.unread -= self.input;
                remove(&mut e.unanswered, self.sent);
            }
        }
    }
}
