//! Operators' HTTP interface, on a listener and with a credential of its own.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use http::{Method, StatusCode, header};
use poem::{Request, Response};
use serde::Serialize;
use serde_json::{Value, json};

use crate::keys;
use crate::shell::{Ports, Shell};

/// The operators' interface of one node.
pub(crate) struct AdminApi<P: Ports> {
    shell: Arc<Shell<P>>,
}

/// State of one node, as `sycamorefork status` shows it.
#[derive(Debug, Serialize)]
struct Status {
    node: String,
    authority: String,
    draining: bool,
    serial: u64,
    digest: String,
    requests: usize,
    peers: Vec<PeerStatus>,
    endpoints: Vec<EndpointStatus>,
    teams: Vec<TeamStatus>,
    quarantined: Vec<QuarantineStatus>,
    claims: usize,
    records: usize,
    lost: u64,
    sent: SentStatus,
}

/// What the node has sent to its peers.
#[derive(Debug, Serialize)]
struct SentStatus {
    frames: u64,
    bytes: u64,
}

#[derive(Debug, Serialize)]
struct PeerStatus {
    name: String,
    node: Option<String>,
    heard: Option<u64>,
    authority: String,
    serial: u64,
}

#[derive(Debug, Serialize)]
struct EndpointStatus {
    name: String,
    owner: Option<String>,
    fence: u64,
    running: u32,
    queued: u32,
    loaded: usize,
    slots: u32,
    leaving: bool,
    healthy: bool,
}

#[derive(Debug, Serialize)]
struct TeamStatus {
    team: String,
    seats: usize,
    stock: i64,
    capacity: i64,
}

#[derive(Debug, Serialize)]
struct QuarantineStatus {
    fingerprint: String,
    reason: String,
    left: u64,
}

impl<P: Ports> AdminApi<P> {
    /// Makes the interface of a node.
    pub(crate) fn new(shell: Arc<Shell<P>>) -> Self {
        Self { shell }
    }

    fn allowed(&self, req: &Request) -> bool {
        let Some(text) = req.headers().get(header::AUTHORIZATION).and_then(|h| h.to_str().ok())
        else {
            return false;
        };
        let Some((scheme, presented)) = text.split_once(' ') else { return false };
        scheme.eq_ignore_ascii_case("bearer")
            && keys::matches(presented.trim(), &self.shell.settings.admin_digest)
    }

    fn dispatch(&self, req: &Request) -> Response {
        if !self.allowed(req) {
            return reply(StatusCode::UNAUTHORIZED, &json!({"error": "credential not accepted"}));
        }
        match (req.method().clone(), req.uri().path()) {
            (Method::GET, "/status") => reply(StatusCode::OK, &self.status()),
            (Method::GET, "/burn") => {
                reply(StatusCode::OK, &*self.shell.burn_counts.lock().unwrap())
            }
            (Method::POST, "/drain") => {
                self.shell.drain_requested.send_replace(true);
                reply(StatusCode::OK, &json!({"result": "draining"}))
            }
            (Method::POST, path) => match path.strip_prefix("/quarantine/lift/") {
                Some(fp) => self.lift(fp),
                None => not_found(),
            },
            _ => not_found(),
        }
    }

    fn lift(&self, text: &str) -> Response {
        let Ok(fp) = u64::from_str_radix(text, 16) else {
            return reply(StatusCode::BAD_REQUEST, &json!({"error": "not a fingerprint"}));
        };
        let lifted = self.shell.with_core(|core, now, _| core.lift_quarantine(now, fp));
        log::warn!("an operator lifted the quarantine of fingerprint {fp:016x}");
        reply(StatusCode::OK, &json!({"lifted": lifted}))
    }

    fn status(&self) -> Status {
        let shell = &self.shell;
        let links = shell.open_links();
        let now = shell.now();
        let claims = shell.claims.lock().unwrap().len();
        let records = shell.recorder.lock().unwrap().stats();
        let core = shell.core.lock().unwrap();
        let config = core.config.as_ref();
        let peers = core.membership.peers().iter().map(|(name, p)| PeerStatus {
            name: name.clone(),
            node: p.node.as_ref().map(ToString::to_string),
            heard: p.heard.map(|at| now.since(at).0),
            authority: format!("{:?}", p.level),
            serial: p.serial,
        });
        let endpoints = core.membership.endpoints().iter().map(|e| EndpointStatus {
            name: e.name.to_string(),
            owner: e.live_owner(now).map(ToString::to_string),
            fence: e.fence,
            running: e.view.running,
            queued: e.view.queued,
            loaded: e.view.loaded.len(),
            slots: e.slots,
            leaving: e.leaving,
            healthy: e.view.healthy,
        });
        let teams = config.iter().flat_map(|c| c.teams()).map(|t| {
            let ledger = core.quota.snapshot(&t.name);
            let micro = crate::bucket::MICROS_PER_TOKEN as i64;
            TeamStatus {
                team: t.name.to_string(),
                seats: ledger.seats,
                stock: ledger.stock / micro,
                capacity: ledger.capacity / micro,
            }
        });
        let quarantined = core.quarantine.entries(now).map(|e| QuarantineStatus {
            fingerprint: format!("{:016x}", e.fingerprint),
            reason: e.reason.clone(),
            left: e.expiry.since(now).0,
        });
        Status {
            node: core.node.to_string(),
            authority: format!("{:?}", core.authority.level(now)),
            draining: shell.is_draining(),
            serial: config.map_or(0, |c| c.serial()),
            digest: config.map_or_else(String::new, |c| c.digest().to_owned()),
            requests: shell.running_requests.load(Ordering::Acquire),
            peers: peers.collect(),
            endpoints: endpoints.collect(),
            teams: teams.collect(),
            quarantined: quarantined.collect(),
            claims,
            records: records.records,
            lost: records.lost,
            sent: SentStatus { frames: links.sent().frames(), bytes: links.sent().bytes() },
        }
    }
}

impl<P: Ports> poem::Endpoint for AdminApi<P> {
    type Output = Response;

    async fn call(&self, req: Request) -> poem::Result<Response> {
        Ok(self.dispatch(&req))
    }
}

fn not_found() -> Response {
    reply(StatusCode::NOT_FOUND, &json!({"error": "no such path or method"}))
}

fn reply<T: Serialize>(status: StatusCode, body: &T) -> Response {
    let value: Value = serde_json::to_value(body).unwrap_or(Value::Null);
    Response::builder().status(status).content_type("application/json").body(value.to_string())
}
