//! Generates open-loop load on nodes and checks every answer.
//!
//! Requests start at planned times, whether or not earlier ones have ended. Latencies count
//! from the planned start, so that they include delays caused by a stalled node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use poem::http::{HeaderValue, Method, header};
use serde_json::{Value, json};
use sycamorefork::http_client::{FullResponse, HttpClient, HttpSettings, build_request};
use sycamorefork::ids::stable_hash;
use sycamorefork::sample_engine::{bytes_digest, expected_text};
use sycamorefork::sse::SseParser;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::report::{Outcome, Report, RequestEnd};

/// A caller's key and the models that it requests.
#[derive(Clone, Debug)]
pub struct Caller {
    /// API key.
    pub key: String,
    /// Models, most popular first.
    pub models: Vec<String>,
}

/// Parameters of a load run.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Addresses of the nodes, used in turn.
    pub targets: Vec<SocketAddr>,
    /// Requests per second over all targets.
    pub rate: f64,
    /// Duration of the run.
    pub duration: Duration,
    /// Callers; each request is sent by a random one.
    pub callers: Vec<Caller>,
    /// Relative weights of streams, unstreamed completions and service calls.
    pub mix: [u64; 3],
    /// Path of the service calls.
    pub service: String,
    /// Percentage of service calls that are sent twice at the same time, to two targets.
    pub repeat_percent: u64,
    /// Maximum number of tokens of an answer; each request draws its own limit.
    pub max_tokens: u64,
    /// Time after which a request is given up.
    pub timeout: Duration,
    /// Seed of all random choices.
    pub seed: u64,
}

/// Random choices of one request, determined by the seed and the request's number.
struct RequestRng {
    seed: String,
    number: String,
}

impl RequestRng {
    /// Returns a number below `bound`; `what` separates the choices of one request.
    fn below(&self, what: &str, bound: u64) -> u64 {
        stable_hash(&[&self.seed, &self.number, what]) % bound.max(1)
    }
}

/// Runs a plan and reports the results.
pub async fn run_load(plan: LoadPlan) -> Report {
    let (seed, seconds) = (plan.seed, plan.duration.as_secs_f64());
    let count = (plan.rate * seconds) as u64;
    let plan = Arc::new(plan);
    let http = HttpClient::new(HttpSettings { max_idle: 1024, ..HttpSettings::default() });
    let begin = Instant::now();
    let mut tasks = JoinSet::new();
    for number in 0..count {
        let start = begin + Duration::from_secs_f64(number as f64 / plan.rate);
        sleep_until(start).await;
        tasks.spawn(send_planned(plan.clone(), http.clone(), number, start));
    }
    let mut outcomes = Vec::new();
    while let Some(result) = tasks.join_next().await {
        outcomes.extend(result.unwrap_or_default());
    }
    Report::from_outcomes(seed, seconds, outcomes)
}

/// Sends one planned request, or both copies of a repeated service call.
async fn send_planned(
    plan: Arc<LoadPlan>,
    http: HttpClient,
    number: u64,
    start: Instant,
) -> Vec<Outcome> {
    let draw = RequestRng { seed: plan.seed.to_string(), number: number.to_string() };
    let target = |n: u64| plan.targets[(n % plan.targets.len() as u64) as usize];
    let key = draw.below("caller", plan.callers.len() as u64) as usize;
    let caller = &plan.callers[key];
    let kind = draw.below("kind", plan.mix.iter().sum());
    let sender = Sender { plan: &plan, http: &http, caller, key, start };
    if kind >= plan.mix[0] + plan.mix[1] {
        let booking = format!("{}-{number}", plan.seed);
        if draw.below("repeat", 100) >= plan.repeat_percent {
            return vec![sender.call_service(target(number), &booking, "service").await.0];
        }
        let (one, two) = tokio::join!(
            sender.call_service(target(number), &booking, "repeat"),
            sender.call_service(target(number + 1), &booking, "repeat"),
        );
        let ((one, first), (mut two, second)) = (one, two);
        if let (Some(first), Some(second)) = (first, second)
            && first != second
        {
            two.end = RequestEnd::Wrong(format!("booking {booking}: answers {first} and {second}"));
        }
        return vec![one, two];
    }
    // Squaring the random number makes the first models more popular.
    let share = draw.below("model", 1000) as f64 / 1000.0;
    let model = &caller.models[(share * share * caller.models.len() as f64) as usize];
    let chat = draw.below("chat", 2) == 0;
    let content = format!("request {number} of run {}", plan.seed);
    let mut body =
        json!({ "model": model, "max_tokens": 1 + draw.below("tokens", plan.max_tokens) });
    match chat {
        true => body["messages"] = json!([{ "role": "user", "content": content }]),
        false => body["prompt"] = content.into(),
    }
    let path = if chat { "/v1/chat/completions" } else { "/v1/completions" };
    vec![match kind < plan.mix[0] {
        true => sender.request_stream(target(number), path, body).await,
        false => sender.request_complete(target(number), path, &body).await,
    }]
}

/// Sends one planned request.
struct Sender<'a> {
    plan: &'a LoadPlan,
    http: &'a HttpClient,
    caller: &'a Caller,
    key: usize,
    start: Instant,
}

impl Sender<'_> {
    fn deadline(&self) -> Instant {
        self.start + self.plan.timeout
    }

    fn outcome(&self, kind: &'static str) -> Outcome {
        Outcome { kind, key: self.key, ..Outcome::default() }
    }

    /// Milliseconds since the planned start.
    fn elapsed_ms(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    fn request(
        &self,
        path: &str,
        body: &Value,
        idempotency_key: Option<&str>,
    ) -> Option<poem::http::Request<sycamorefork::http_client::RequestBody>> {
        let body = Bytes::from(body.to_string());
        let mut req = build_request(Method::POST, path, body).ok()?;
        let headers = req.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let bearer = format!("Bearer {}", self.caller.key);
        headers.insert(header::AUTHORIZATION, HeaderValue::from_str(&bearer).ok()?);
        if let Some(idempotency_key) = idempotency_key {
            headers.insert("idempotency-key", HeaderValue::from_str(idempotency_key).ok()?);
        }
        Some(req)
    }

    async fn fetch(
        &self,
        addr: SocketAddr,
        path: &str,
        body: &Value,
        idempotency_key: Option<&str>,
    ) -> Option<FullResponse> {
        let req = self.request(path, body, idempotency_key)?;
        self.http.fetch(addr, req, self.deadline()).await.ok()
    }

    /// Makes a service call; returns the outcome and the attempt id in the answer.
    async fn call_service(
        &self,
        addr: SocketAddr,
        booking: &str,
        kind: &'static str,
    ) -> (Outcome, Option<String>) {
        let mut outcome = self.outcome(kind);
        let body = json!({ "booking": booking });
        let whole = self.fetch(addr, &self.plan.service, &body, Some(booking)).await;
        outcome.latency_ms = self.elapsed_ms();
        let Some(whole) = whole else { return (outcome, None) };
        if !whole.status.is_success() {
            outcome.end = refused_end(&whole);
            return (outcome, None);
        }
        let answer: Value = serde_json::from_slice(&whole.body).unwrap_or_default();
        let digest = bytes_digest(body.to_string().as_bytes());
        outcome.end = match answer["digest"] == digest.as_str() {
            true => RequestEnd::Right,
            false => RequestEnd::Wrong(format!("booking {booking}: {answer}")),
        };
        (outcome, answer["attempt"].as_str().map(str::to_owned))
    }

    async fn request_complete(&self, addr: SocketAddr, path: &str, body: &Value) -> Outcome {
        let mut outcome = self.outcome("whole");
        let whole = self.fetch(addr, path, body, None).await;
        outcome.latency_ms = self.elapsed_ms();
        let Some(whole) = whole else { return outcome };
        if !whole.status.is_success() {
            outcome.end = refused_end(&whole);
            return outcome;
        }
        let answer: Value = serde_json::from_slice(&whole.body).unwrap_or_default();
        let choice = &answer["choices"][0];
        let text = choice["message"]["content"].as_str().or_else(|| choice["text"].as_str());
        outcome.tokens = answer["usage"]["completion_tokens"].as_u64().unwrap_or(0);
        let model = answer["model"].as_str().unwrap_or_default();
        outcome.end = check_answer(body, model, text.unwrap_or_default());
        outcome
    }

    async fn request_stream(&self, addr: SocketAddr, path: &str, mut body: Value) -> Outcome {
        let mut outcome = self.outcome("stream");
        body["stream"] = true.into();
        body["stream_options"] = json!({ "include_usage": true });
        let Some(req) = self.request(path, &body, None) else { return outcome };
        let Ok(mut answer) = self.http.send(addr, req, self.deadline()).await else {
            outcome.latency_ms = self.elapsed_ms();
            return outcome;
        };
        if !answer.status.is_success() {
            if let Ok(whole) = answer.read_to_end(self.deadline()).await {
                outcome.end = refused_end(&whole);
            }
            outcome.latency_ms = self.elapsed_ms();
            return outcome;
        }
        let (mut sse, mut text, mut model) = (SseParser::default(), String::new(), String::new());
        let mut last = None;
        let mut done = false;
        while !done {
            let Ok(Some(Ok(chunk))) = timeout_at(self.deadline(), answer.chunk()).await else {
                break;
            };
            sse.push(&chunk);
            while let Some(data) = sse.next_event() {
                if data.as_ref() == b"[DONE]" {
                    done = true;
                    break;
                }
                let event: Value = serde_json::from_slice(&data).unwrap_or_default();
                let choice = &event["choices"][0];
                let token = choice["delta"]["content"].as_str().or_else(|| choice["text"].as_str());
                let Some(token) = token.filter(|t| !t.is_empty()) else { continue };
                text.push_str(token);
                model = event["model"].as_str().unwrap_or_default().to_owned();
                outcome.tokens += 1;
                let now = self.elapsed_ms();
                match last.replace(now) {
                    None => outcome.first_token_ms = Some(now),
                    Some(before) => outcome.gaps_ms.push(now - before),
                }
            }
        }
        outcome.latency_ms = self.elapsed_ms();
        if done {
            outcome.end = check_answer(&body, &model, &text);
            answer.drain();
        }
        outcome
    }
}

/// Compares an answer with the text that the sample engine generates for the request.
///
/// The answer to a request without a version is checked against the version that ran.
fn check_answer(body: &Value, model: &str, text: &str) -> RequestEnd {
    let asked = body["model"].as_str().unwrap_or_default();
    let same = match asked.contains('@') {
        true => asked == model,
        false => model.split('@').next() == Some(asked),
    };
    let mut ran = body.clone();
    ran["model"] = model.into();
    match same && expected_text(&ran) == text {
        true => RequestEnd::Right,
        false => RequestEnd::Wrong(format!("asked {body}, answered by {model:?}: {text}")),
    }
}

fn refused_end(whole: &FullResponse) -> RequestEnd {
    let body: Value = serde_json::from_slice(&whole.body).unwrap_or_default();
    let text = |name: &str| body["error"][name].as_str().unwrap_or("-").to_owned();
    RequestEnd::Refused(format!("{} {} ran={}", whole.status.as_u16(), text("code"), text("ran")))
}
