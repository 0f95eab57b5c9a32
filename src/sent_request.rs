//! Load accounting for a request that was sent to an endpoint.
//!
//! [`SentRequest`] adds the request to the endpoint's load when it is created and
//! subtracts it when it is dropped, however the request ended.

use std::rc::Rc;

use tokio::sync::oneshot;

use crate::crash_evidence::Feature;
use crate::crash_watch;
use crate::edge::Edge;
use crate::endpoint_table::RequestOutcome;
use crate::time::{BootClock, Clock, Ms};

/// A request that counts toward an endpoint's load.
pub(crate) struct SentRequest {
    edge: Rc<Edge>,
    id: Rc<str>,
    adapter: Option<Rc<str>>,
    prompt_tokens: f64,
    memory_tokens: f64,
    sent: Ms,
    predicted_ms: f64,
    unanswered: bool,
    features: Rc<[Feature]>,
    /// Number of the request in the crash watch.
    number: u64,
}

impl SentRequest {
    /// Adds a request with `prompt_tokens` and `output` expected tokens to the endpoint's
    /// load. `predicted_ms` is the predicted time to its first event.
    ///
    /// The receiver resolves if the request is to be cancelled before its answer begins.
    pub(crate) fn new(
        edge: &Rc<Edge>,
        id: &Rc<str>,
        adapter: Option<Rc<str>>,
        (prompt_tokens, output): (f64, f64),
        predicted_ms: f64,
        features: Rc<[Feature]>,
    ) -> (Self, oneshot::Receiver<()>) {
        let sent = BootClock.now();
        if let Some(adapter) = &adapter {
            let mut uses = edge.adapter_uses.borrow_mut();
            let uses = uses.entry(id.clone()).or_default();
            *uses.entry(adapter.clone()).or_default() += 1;
        }
        let memory_tokens = prompt_tokens + output;
        if let Some(e) = edge.table.borrow_mut().get_mut(id) {
            e.own_load.running += 1;
            e.own_load.unread += prompt_tokens;
            e.own_load.memory += memory_tokens;
            e.unanswered.push(sent);
        }
        let (number, cancelled) = edge.crash_watch.on_sent(&features);
        let request = Self {
            edge: edge.clone(),
            id: id.clone(),
            adapter,
            prompt_tokens,
            memory_tokens,
            sent,
            predicted_ms,
            unanswered: true,
            features,
            number,
        };
        (request, cancelled)
    }

    /// Records that the head of the answer arrived.
    pub(crate) fn on_head(&self) {
        self.edge.crash_watch.on_head(self.number);
    }

    /// Records that no complete answer arrived, either in time (`silent`) or because the
    /// connection broke.
    pub(crate) fn on_failure(&mut self, silent: bool) {
        match silent {
            true => self.on_end(RequestOutcome::Silent),
            false => self.on_broken(),
        }
    }

    /// Records that the connection broke before the answer was complete.
    pub(crate) fn on_broken(&mut self) {
        self.on_end(RequestOutcome::Broken);
        crash_watch::on_broken(&self.edge, &self.id, &self.features);
    }

    /// Records that the first event or the complete answer arrived. Later calls do nothing.
    pub(crate) fn on_answer(&mut self) {
        if !std::mem::replace(&mut self.unanswered, false) {
            return;
        }
        let observed_ms = BootClock.now().since(self.sent).0 as f64;
        if let Some(e) = self.edge.table.borrow_mut().get_mut(&self.id) {
            e.own_load.unread -= self.prompt_tokens;
            e.record_latency(self.predicted_ms, observed_ms);
            remove_instant(&mut e.unanswered, self.sent);
        }
    }

    /// Records how the request ended, and logs it if the endpoint is paused as a result.
    pub(crate) fn on_end(&mut self, how: RequestOutcome) {
        let now = BootClock.now();
        if matches!(how, RequestOutcome::Answered | RequestOutcome::Failed) {
            self.edge.crash_watch.on_completed(&self.features);
        }
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

fn remove_instant(list: &mut Vec<Ms>, at: Ms) {
    if let Some(i) = list.iter().position(|s| *s == at) {
        list.swap_remove(i);
    }
}

impl Drop for SentRequest {
    fn drop(&mut self) {
        self.on_head();
        if let Some(adapter) = &self.adapter {
            let mut uses = self.edge.adapter_uses.borrow_mut();
            if let Some(n) = uses.get_mut(&self.id).and_then(|u| u.get_mut(adapter)) {
                *n = n.saturating_sub(1);
            }
        }
        if let Some(e) = self.edge.table.borrow_mut().get_mut(&self.id) {
            e.own_load.running = e.own_load.running.saturating_sub(1);
            e.own_load.memory -= self.memory_tokens;
            if self.unanswered {
                e.own_load.unread -= self.prompt_tokens;
                remove_instant(&mut e.unanswered, self.sent);
            }
        }
    }
}
