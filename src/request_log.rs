//! The decision-log line of a request, and its metrics.

use std::rc::Rc;

use crate::edge::Edge;
use crate::log_sink::decision;
use crate::platform::headers::PromptPart;
use crate::time::{BootClock, Clock, Ms};

/// The caller received the complete answer.
pub(crate) const ANSWERED: &str = "answered";
/// The caller received a failure of the endpoint.
pub(crate) const FAILED: &str = "failed";
/// The caller received a refusal or failure of this node.
pub(crate) const REFUSED: &str = "refused";
/// The answer was truncated.
pub(crate) const BROKEN: &str = "stream_broken";
/// The caller disconnected before the end of the answer.
pub(crate) const LEFT: &str = "caller_left";

/// Data about a request, written to the decision log and the metrics when dropped.
pub(crate) struct RequestLog {
    edge: Rc<Edge>,
    begun: Ms,
    /// Identifier of the caller's attempt.
    pub(crate) attempt: String,
    /// Route, once found.
    pub(crate) route: Option<Rc<str>>,
    /// Team, once found.
    pub(crate) team: Option<Rc<str>>,
    /// Version of the configuration that applied.
    pub(crate) config: u64,
    /// Amount charged to its team's limit.
    pub(crate) cost: f64,
    /// Parts of its prompt.
    pub(crate) parts: Vec<PromptPart>,
    /// Attempt whose stream it resumes, if any.
    pub(crate) resumes: Option<String>,
    /// Whether it may have run, or is being sent.
    pub(crate) may_have_run: bool,
    /// Steps of its processing, each with its time in ms and its inputs.
    pub(crate) steps: Vec<String>,
    first_event: Option<Ms>,
    outcome: Option<(&'static str, String)>,
    /// Status of the response; 0 if none was sent.
    pub(crate) status: u16,
}

impl RequestLog {
    pub(crate) fn new(edge: &Rc<Edge>, attempt: &str) -> Self {
        Self {
            edge: edge.clone(),
            begun: BootClock.now(),
            attempt: attempt.to_owned(),
            route: None,
            team: None,
            config: edge.routing.borrow().version,
            cost: 0.0,
            parts: Vec::new(),
            resumes: None,
            may_have_run: false,
            steps: Vec::new(),
            first_event: None,
            outcome: None,
            status: 0,
        }
    }

    /// Adds a processing step with its inputs.
    pub(crate) fn add_step(&mut self, text: String) {
        let at = BootClock.now().since(self.begun).0;
        self.steps.push(format!("{at} {text}"));
    }

    /// Records the time of the first event. Later calls do nothing.
    pub(crate) fn on_first_event(&mut self) {
        if self.first_event.is_none() {
            let ms = BootClock.now().since(self.begun);
            self.first_event = Some(ms);
            let route = self.route.as_deref().unwrap_or_default();
            self.edge.metrics.first_token(ms.0, route);
        }
    }

    /// Sets how the request ended; the last call counts.
    pub(crate) fn set_outcome(&mut self, outcome: &'static str, why: &str) {
        self.outcome = Some((outcome, why.to_owned()));
    }

    /// Identifiers of the prompt's parts, logged for a request whose answer failed: one of them
    /// may be the cause.
    fn failed_parts(&self, outcome: &str) -> Vec<String> {
        if outcome == ANSWERED || (outcome == REFUSED && self.status != 502) {
            return Vec::new();
        }
        self.parts.iter().map(|p| format!("{:x}", p.id)).collect()
    }

    fn count_metrics(&self, outcome: &str, why: &str, took: u64) {
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

impl Drop for RequestLog {
    fn drop(&mut self) {
        let (outcome, why) = self.outcome.take().unwrap_or((LEFT, String::new()));
        let took = BootClock.now().since(self.begun).0;
        self.count_metrics(outcome, &why, took);
        decision!("request", "id": self.attempt, "route": self.route.as_deref(),
            "team": self.team.as_deref(), "config": self.config, "steps": self.steps,
            "cost": self.cost, "resumes": self.resumes, "parts": self.failed_parts(outcome), "status": self.status, "outcome": outcome, "why": why,
            "first_ms": self.first_event.map(|ms| ms.0), "took_ms": took);
    }
}
