//! Passes messages of peers to the core of a node.

use std::sync::Arc;

use crate::generated::peer::{self, frame::Body};
use crate::ids::Node;
use crate::membership::vm_name;
use crate::peer_links::Handler;
use crate::shell::{Ports, Shell};
use crate::time::Ms;
use crate::wire;

/// Hands each message of a peer to what it concerns.
pub(crate) struct PeerHandler<P: Ports>(pub(crate) Arc<Shell<P>>);

impl<P: Ports> Clone for PeerHandler<P> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<P: Ports> Handler for PeerHandler<P> {
    fn on_message(&self, from: &Node, body: Body) {
        let shell = &self.0;
        match body {
            Body::Heartbeat(beat) => {
                shell.with_core(|core, now, out| core.on_heartbeat(now, from, &beat, out));
            }
            Body::PermitRequest(req) => {
                shell.with_core(|core, now, out| core.on_permit_request(now, from, &req, out));
            }
            Body::PermitReply(reply) => {
                if let Some(attempt) = wire::attempt_id(&reply.attempt) {
                    shell.deliver(attempt, reply);
                }
            }
            Body::PermitEnd(end) => {
                shell.with_core(|core, now, out| core.on_permit_end(now, &end, out));
            }
            Body::PermitCancel(cancel) => {
                shell.with_core(|core, now, _| core.on_permit_cancel(now, &cancel));
            }
            Body::PromiseRequest(ask) => {
                let promise =
                    shell.with_core(|core, now, _| core.authority.on_promise_request(now, from));
                let reply =
                    peer::Promise { sent: ask.sent, valid: promise.valid.0, given: promise.given };
                shell.send(vm_name(from), Body::Promise(reply));
            }
            Body::Promise(p) => shell.with_core(|core, now, _| {
                core.authority.on_promise(now, from, Ms(p.sent), Ms(p.valid), p.given);
            }),
            Body::LoanAsk(ask) => {
                let ask = wire::loan_ask_from(&ask);
                let loan =
                    shell.with_core(|core, now, _| core.quota.on_loan_request(now, from, &ask));
                if let Some(loan) = loan {
                    shell.send(vm_name(from), Body::Loan(wire::loan(&loan)));
                }
            }
            Body::Loan(loan) => {
                let loan = wire::loan_from(&loan);
                shell.with_core(|core, now, _| core.quota.on_loan(now, from, &loan));
                shell.loan_arrived.notify_waiters();
            }
            Body::Hello(_) | Body::Proof(_) | Body::Ping(_) | Body::Pong(_) => {
                log::warn!("unexpected message from {from} dropped");
            }
        }
    }

    fn on_open(&self, peer: &Node) {
        self.0.with_core(|core, _, _| core.on_peer_link(peer));
    }

    fn authority(&self) -> u32 {
        let shell = &self.0;
        shell.core.lock().unwrap().authority.level(shell.now()).to_wire()
    }
}
