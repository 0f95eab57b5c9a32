//! The log line of one request: its way through the node and how it ended.

use std::rc::Rc;

use crate::edge::Edge;
use crate::log_sink::decision;
use crate::time::{BootClock, Clock, Ms};

/// The caller has the whole answer.
pub(crate) const ANSWERED: &str = "answered";
/// The caller has an endpoint's own failure.
pub(crate) const FAILED: &str = "failed";
/// The caller has a refusal or a failure of the system's own.
pub(crate) const REFUSED: &str = "refused";
/// The answer ended before its end.
pub(crate) const BROKEN: &str = "stream_broken";
/// The caller left first.
pub(crate) const LEFT: &str = "caller_left";

/// What is known of a request; logged when it is dropped.
pub(crate) struct Record {
    edge: Rc<Edge>,
    begun: Ms,
    /// Identifier of the caller's attempt.
    pub(crate) attempt: String,
    /// Route, once found.
    pub(crate) route: Option<Rc<str>>,
    /// Team, once found.
    pub(crate) team: Option<Rc<str>>,
    /// Version of the configuration that decided.
    pub(crate) config: u64,
    /// What it took from its team's limit.
    pub(crate) cost: f64,
    /// Steps of the request with their inputs.
    pub(crate) steps: Vec<String>,
    first: Option<Ms>,
    outcome: Option<(&'static str, String)>,
    /// Status that the caller got.
    pub(crate) status: u16,
}

impl Record {
    pub(crate) fn new(edge: &Rc<Edge>, attempt: &str) -> Self {
        Self {
            edge: edge.clone(),
            begun: BootClock.now(),
            attempt: attempt.to_owned(),
            route: None,
            team: None,
            config: edge.routing.borrow().version,
            cost: 0.0,
            steps: Vec::new(),
            first: None,
            outcome: None,
            status: 0,
        }
    }

    /// Adds a step with the inputs that led to it.
    pub(crate) fn step(&mut self, text: String) {
        let at = BootClock.now().since(self.begun).0;
        self.steps.push(format!("{at} {text}"));
    }

    /// The first event has passed.
    pub(crate) fn first_event(&mut self) {
        if self.first.is_none() {
            let ms = BootClock.now().since(self.begun);
            self.first = Some(ms);
            let route = self.route.as_deref().unwrap_or_default();
            self.edge.metrics.first_token(ms.0, route);
        }
    }

    /// How the request ended.
    pub(crate) fn outcome(&mut self, outcome: &'static str, why: &str) {
        self.outcome = Some((outcome, why.to_owned()));
    }

    fn count(&self, outcome: &str, why: &str, took: u64) {
        let team = self.team.as_deref().unwrap_or_default();
        let route = self.route.as_deref().unwrap_or_default();
        let metrics = &self.edge.metrics;
        metrics.requests(1, team, route);
        metrics.request_time(took, route);
        match outcome {
            ANSWERED => metrics.answers(1, team, route),
            FAILED => metrics.failures(1, team, route),
            REFUSED => metrics.refusals(1, team, why),
            other => metrics.cancelled(1, other),
        }
    }
}

impl Drop for Record {
    fn drop(&mut self) {
        let (outcome, why) = self.outcome.take().unwrap_or((LEFT, String::new()));
        let took = BootClock.now().since(self.begun).0;
        self.count(outcome, &why, took);
        decision!("request", "id": self.attempt, "route": self.route.as_deref(),
            "team": self.team.as_deref(), "config": self.config, "steps": self.steps,
            "cost": self.cost, "status": self.status, "outcome": outcome, "why": why,
            "first_ms": self.first.map(|ms| ms.0), "took_ms": took);
    }
}
