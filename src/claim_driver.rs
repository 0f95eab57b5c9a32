//! I/O of idempotency claims: commits, row reads and status queries.

use std::sync::Arc;

use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::claim::{Call, ClaimAnswer, ClaimOutput, Opened, Outcome, Status, Ticket};
use crate::error::Error;
use crate::ids::{AttemptId, Endpoint, Node};
use crate::service_client::Service;
use crate::shell::{Ports, Shell};
use crate::storage::{Commit, Table, Txn};
use crate::time::Ms;

/// Time after which the outcome of an unanswered commit counts as unknown.
const COMMIT_TIMEOUT: Ms = Ms(1000);

/// Result of the claim module for one call.
#[derive(Debug)]
pub(crate) enum ClaimEvent {
    /// The claim is committed; the call may be sent.
    Proceed,
    /// A call with this key has already ended with this answer.
    Replay(ClaimAnswer),
    /// The key was used with a different body.
    Conflict,
    /// A call with this key may have run; this is its attempt.
    Unknown(AttemptId),
    /// The call did not run before its deadline.
    NotRun,
}

/// Result of opening a call with an idempotency key.
pub(crate) enum OpenedClaim {
    /// The claim is being made; the receiver gets the result.
    Pending(Ticket, oneshot::Receiver<ClaimEvent>),
    /// The result is known without access to the table.
    Decided(ClaimEvent),
    /// Too many keys are in memory.
    Full,
}

impl<P: Ports> Shell<P> {
    /// Opens a call with an idempotency key.
    pub(crate) fn open_claim(self: &Arc<Self>, call: Call) -> OpenedClaim {
        let now = self.now();
        let opened = {
            let mut claims = self.claims.lock().unwrap();
            match claims.open(now, call) {
                // Registers the receiver before any event can be sent to it.
                Opened::Queued(ticket) | Opened::Wait(ticket) => {
                    let (tx, rx) = oneshot::channel();
                    self.claim_waiters.lock().unwrap().insert(ticket, tx);
                    OpenedClaim::Pending(ticket, rx)
                }
                Opened::Replay(answer) => OpenedClaim::Decided(ClaimEvent::Replay(answer)),
                Opened::Conflict => OpenedClaim::Decided(ClaimEvent::Conflict),
                Opened::Unknown { attempt, .. } => {
                    OpenedClaim::Decided(ClaimEvent::Unknown(attempt))
                }
                Opened::Full => OpenedClaim::Full,
            }
        };
        self.poll_claims();
        opened
    }

    /// Records the outcome of an attempt that was allowed to proceed.
    pub(crate) fn finish_claim(self: &Arc<Self>, ticket: Ticket, outcome: Outcome) {
        let now = self.now();
        let result = self.claims.lock().unwrap().finish(now, ticket, outcome);
        if let Err(e) = result {
            log::error!("invariant violated: {e}");
            self.metrics.faults(1, "claim");
        }
        self.poll_claims();
    }

    /// Starts the commits that are due and handles the outputs of the claim module.
    pub(crate) fn poll_claims(self: &Arc<Self>) {
        let now = self.now();
        let (events, batches) = {
            let mut claims = self.claims.lock().unwrap();
            let events = claims.poll(now);
            let batches: Vec<_> = std::iter::from_fn(|| claims.next_batch(now)).collect();
            (events, batches)
        };
        for batch in batches {
            let shell = self.clone();
            tokio::spawn(async move {
                let result = shell.commit_with_timeout(&batch.txn).await;
                let now = shell.now();
                shell.claims.lock().unwrap().on_commit(now, batch.id, result);
                shell.poll_claims();
            });
        }
        for event in events {
            self.on_claim_output(event);
        }
    }

    async fn commit_with_timeout(&self, txn: &Txn) -> crate::error::Result<Commit> {
        match timeout(COMMIT_TIMEOUT.to_std(), self.ports.table().commit(txn)).await {
            Ok(result) => result,
            Err(_) => Err(Error::io("table", "the commit timed out")),
        }
    }

    fn on_claim_output(self: &Arc<Self>, event: ClaimOutput) {
        match event {
            ClaimOutput::Proceed(ticket) => self.send_event(ticket, ClaimEvent::Proceed),
            ClaimOutput::Replay(ticket, answer) => {
                self.send_event(ticket, ClaimEvent::Replay(answer));
            }
            ClaimOutput::Conflict(ticket) => self.send_event(ticket, ClaimEvent::Conflict),
            ClaimOutput::Unknown { ticket, attempt, .. } => {
                self.send_event(ticket, ClaimEvent::Unknown(attempt));
            }
            ClaimOutput::NotRun(ticket, _) => self.send_event(ticket, ClaimEvent::NotRun),
            ClaimOutput::Wait(_, node) => {
                let now = self.now();
                self.watched_nodes.lock().unwrap().entry(node).or_insert(now);
            }
            ClaimOutput::Read { keys } => drop(tokio::spawn(self.clone().read_claims(keys))),
            ClaimOutput::Query { key, attempt, endpoint } => {
                drop(tokio::spawn(self.clone().query_attempt(key, attempt, endpoint)));
            }
        }
    }

    fn send_event(self: &Arc<Self>, ticket: Ticket, event: ClaimEvent) {
        let waiter = self.claim_waiters.lock().unwrap().remove(&ticket);
        let proceed = matches!(event, ClaimEvent::Proceed);
        let unused = waiter.is_none_or(|tx| tx.send(event).is_err());
        // If the caller disconnected before its claim was committed, nothing was sent
        // and the claim is finished as not run.
        if unused && proceed {
            self.finish_claim(ticket, Outcome::NotRun);
        }
    }

    async fn read_claims(self: Arc<Self>, keys: Vec<String>) {
        let mut rows = Ok(Vec::new());
        for key in &keys {
            match self.ports.table().get(key).await {
                Ok(row) => {
                    if let Ok(rows) = &mut rows {
                        rows.extend(row);
                    }
                }
                Err(e) => {
                    rows = Err(e);
                    break;
                }
            }
        }
        let now = self.now();
        self.claims.lock().unwrap().on_rows(now, &keys, rows);
        self.poll_claims();
    }

    /// Queries the endpoint for an attempt of a node that is gone.
    async fn query_attempt(self: Arc<Self>, key: String, attempt: AttemptId, endpoint: Endpoint) {
        let path = self.status_path(&endpoint);
        let status = match (self.service(&endpoint), path) {
            (Some(service), Some(path)) => match service.status(&path, attempt).await {
                Ok(Some(found)) => Status::Ended(ClaimAnswer {
                    status: found.status,
                    headers: vec![("content-type".to_owned(), found.content)],
                    body: found.body,
                    body_omitted: false,
                }),
                // The attempt may still arrive, so "not found" does not mean that it did not run.
                Ok(None) => Status::Unclear,
                Err(Error::State(..)) => Status::Running,
                Err(_) => Status::Unclear,
            },
            _ => Status::Unclear,
        };
        let now = self.now();
        self.claims.lock().unwrap().on_status(now, &key, status);
        self.poll_claims();
    }

    fn status_path(&self, endpoint: &Endpoint) -> Option<String> {
        let pool =
            self.core.lock().unwrap().membership.endpoint(endpoint).map(|e| e.pool.clone())?;
        let config = self.config.borrow().clone()?;
        let route = config.routes().iter().find(|r| r.pool == pool && r.status_path.is_some())?;
        route.status_path.as_deref().map(str::to_owned)
    }

    /// Reports the watched nodes without authority to the claim module.
    pub(crate) fn report_gone_nodes(self: &Arc<Self>) {
        let watched: Vec<(Node, Ms)> =
            self.watched_nodes.lock().unwrap().iter().map(|(n, at)| (n.clone(), *at)).collect();
        let gone: Vec<Node> = {
            let core = self.core.lock().unwrap();
            let authority = &core.authority;
            let is_gone = |(n, at): &&(Node, Ms)| authority.is_gone(n, *at);
            watched.iter().filter(is_gone).map(|(n, _)| n.clone()).collect()
        };
        let now = self.now();
        for node in gone {
            self.watched_nodes.lock().unwrap().remove(&node);
            self.claims.lock().unwrap().node_gone(now, &node);
        }
    }
}
