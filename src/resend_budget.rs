//! Budget of resent requests per service.
//!
//! Within a window, all nodes together may resend a fraction of the requests plus a
//! constant number. Each node limits itself to that fraction of its own requests and
//! to its part of the constant, so nodes need not exchange messages. The budget
//! bounds the load on failing endpoints, to which each request would otherwise be
//! sent several times.

use std::collections::VecDeque;
use std::rc::Rc;

use crate::ids::Map;
use crate::time::Ms;

/// Fraction of the allowed ratio that is used; the rest covers windows with uneven load.
const RATIO_FRACTION: f64 = 0.8;
/// Fraction of the allowed constant that is used.
const SLACK_FRACTION: f64 = 0.7;
/// Length of one counting interval.
const INTERVAL: Ms = Ms(500);

/// Counts of one interval.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    start: Ms,
    requests: u32,
    resends: u32,
}

/// Requests and resends of the last window, by service.
#[derive(Clone, Debug)]
pub struct ResendBudget {
    ratio: f64,
    window: Ms,
    slack: f64,
    services: Map<Rc<str>, VecDeque<Count>>,
}

impl ResendBudget {
    /// Creates the budget of a node.
    ///
    /// Over all nodes, `ratio` resends per request plus `slack` resends are allowed
    /// in each `window`.
    pub fn new(ratio: f64, window: Ms, slack: f64) -> Self {
        Self { ratio, window, slack, services: Map::default() }
    }

    /// Counts of a service within the window; the last one is of the current interval.
    fn counts(&mut self, now: Ms, service: &Rc<str>) -> &mut VecDeque<Count> {
        let counts = self.services.entry(service.clone()).or_default();
        while counts.front().is_some_and(|c| now.since(c.start) > self.window) {
            counts.pop_front();
        }
        if counts.back().is_none_or(|c| now.since(c.start) >= INTERVAL) {
            counts.push_back(Count { start: now, ..Count::default() });
        }
        counts
    }

    /// Counts a request.
    pub fn on_request(&mut self, now: Ms, service: &Rc<str>) {
        if let Some(count) = self.counts(now, service).back_mut() {
            count.requests += 1;
        }
    }

    /// Consumes one resend if the budget of this node, one of `nodes`, allows it.
    pub fn try_consume(&mut self, now: Ms, service: &Rc<str>, nodes: usize) -> bool {
        let slack = self.slack * SLACK_FRACTION / nodes.max(1) as f64;
        let ratio = self.ratio * RATIO_FRACTION;
        let counts = self.counts(now, service);
        let requests: u32 = counts.iter().map(|c| c.requests).sum();
        let resends: u32 = counts.iter().map(|c| c.resends).sum();
        let allowed = f64::from(resends) + 1.0 <= f64::from(requests) * ratio + slack;
        if let (true, Some(count)) = (allowed, counts.back_mut()) {
            count.resends += 1;
        }
        allowed
    }
}
