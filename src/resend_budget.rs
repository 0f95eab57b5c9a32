//! Budget of repeated sends per service.
//!
//! All nodes together may repeat a share of the requests in a window, plus a
//! constant. Each node keeps to the share of its own requests and its part of the
//! constant, so no message is needed. Answers failing endpoints, at which each
//! request would otherwise be sent several times.

use std::collections::VecDeque;
use std::rc::Rc;

use crate::ids::Map;
use crate::time::Ms;

/// Part of the allowed ratio that is used; the rest covers requests of uneven windows.
const RATIO_USED: f64 = 0.8;
/// Part of the constant that is used.
const SLACK_USED: f64 = 0.7;
/// Length of one counting interval.
const INTERVAL: Ms = Ms(500);

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    at: Ms,
    requests: u32,
    repeats: u32,
}

/// Counts of one window by service.
#[derive(Clone, Debug)]
pub struct ResendBudget {
    ratio: f64,
    window: Ms,
    slack: f64,
    rows: Map<Rc<str>, VecDeque<Count>>,
}

impl ResendBudget {
    /// A budget with the deployment's bounds.
    pub fn new(ratio: f64, window: Ms, slack: f64) -> Self {
        Self { ratio, window, slack, rows: Map::default() }
    }

    fn row(&mut self, now: Ms, service: &Rc<str>) -> &mut VecDeque<Count> {
        let row = self.rows.entry(service.clone()).or_default();
        while row.front().is_some_and(|c| now.since(c.at) > self.window) {
            row.pop_front();
        }
        if row.back().is_none_or(|c| now.since(c.at) >= INTERVAL) {
            row.push_back(Count { at: now, ..Count::default() });
        }
        row
    }

    /// Counts a request.
    pub fn on_request(&mut self, now: Ms, service: &Rc<str>) {
        if let Some(count) = self.row(now, service).back_mut() {
            count.requests += 1;
        }
    }

    /// Takes one repeated send, if the budget allows it with `nodes` nodes.
    pub fn try_consume(&mut self, now: Ms, service: &Rc<str>, nodes: usize) -> bool {
        let slack = self.slack * SLACK_USED / nodes.max(1) as f64;
        let ratio = self.ratio * RATIO_USED;
        let row = self.row(now, service);
        let requests: u32 = row.iter().map(|c| c.requests).sum();
        let repeats: u32 = row.iter().map(|c| c.repeats).sum();
        let allowed = f64::from(repeats) + 1.0 <= f64::from(requests) * ratio + slack;
        if let (true, Some(count)) = (allowed, row.back_mut()) {
            count.repeats += 1;
        }
        allowed
    }
}
