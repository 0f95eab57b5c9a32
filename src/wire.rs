//! Conversions between peer messages and the types of the core.
//!
//! Generated types are converted where messages enter and leave the core. If a field cannot be
//! parsed, the conversion returns `None`, and the message is dropped and counted.

use crate::cell_placement::LoadView;
use crate::generated::peer;
use crate::ids::{AdapterRef, AttemptId, Endpoint, Team};
use crate::quota::{Loan, LoanRequest, QuotaLevel};
use crate::time::Ms;

/// Encodes an attempt id.
pub(crate) fn attempt_bytes(attempt: AttemptId) -> Vec<u8> {
    attempt.0.to_be_bytes().to_vec()
}

/// Decodes an attempt id.
pub(crate) fn attempt_id(bytes: &[u8]) -> Option<AttemptId> {
    Some(AttemptId(u128::from_be_bytes(bytes.try_into().ok()?)))
}

/// An adapter from its name and version; an empty name stands for the base model.
pub(crate) fn adapter(adapter: &str, version: &str) -> Option<AdapterRef> {
    (!adapter.is_empty()).then(|| AdapterRef::new(adapter, version))
}

/// Parses `ADAPTER@VERSION`.
pub(crate) fn adapter_ref(text: &str) -> Option<AdapterRef> {
    text.rsplit_once('@').map(|(adapter, version)| AdapterRef::new(adapter, version))
}

/// Encodes the load of an owned endpoint; `listing` includes the loaded adapters.
pub(crate) fn endpoint_load(
    name: &Endpoint,
    fence: u64,
    view: &LoadView,
    listing: bool,
) -> peer::EndpointLoad {
    let loaded = match listing {
        true => view.loaded.iter().map(ToString::to_string).collect(),
        false => Vec::new(),
    };
    peer::EndpointLoad {
        endpoint: name.to_string(),
        fence,
        running: view.running,
        queued: view.queued,
        queued_tokens: view.queued_tokens,
        loaded,
        slots: view.slots,
        leaving: view.leaving,
        healthy: view.healthy,
        batch: view.batch,
        loading: view.loading,
        listing,
    }
}

/// Updates a load view. Keeps the loaded adapters if the message does not list them.
pub(crate) fn update_view(view: &mut LoadView, load: &peer::EndpointLoad) {
    view.running = load.running;
    view.queued = load.queued;
    view.queued_tokens = load.queued_tokens;
    view.batch = load.batch;
    view.slots = load.slots;
    view.loading = load.loading;
    view.leaving = load.leaving;
    view.healthy = load.healthy;
    if load.listing {
        view.loaded = load.loaded.iter().filter_map(|a| adapter_ref(a)).collect();
        view.loaded.sort();
    }
}

/// Encodes a quota level.
pub(crate) fn quota_level(l: &QuotaLevel) -> peer::Level {
    peer::Level {
        team: l.team.to_string(),
        stock: l.stock,
        rate: l.rate,
        burst: l.burst,
        permits: l.permits,
        seats: l.seats,
    }
}

/// Decodes a quota level.
pub(crate) fn quota_level_from(l: &peer::Level) -> QuotaLevel {
    QuotaLevel {
        team: Team::new(&l.team),
        stock: l.stock,
        rate: l.rate,
        burst: l.burst,
        permits: l.permits,
        seats: l.seats,
    }
}

/// Encodes a request for a loan.
pub(crate) fn loan_ask(a: &LoanRequest) -> peer::LoanAsk {
    peer::LoanAsk {
        team: a.team.to_string(),
        id: a.id,
        holds: a.holds,
        stock: a.stock,
        rate: a.rate,
        burst: a.burst,
        permits: a.permits,
        returns: a.returns,
        least: a.least,
    }
}

/// Decodes a request for a loan.
pub fn loan_ask_from(a: &peer::LoanAsk) -> LoanRequest {
    LoanRequest {
        team: Team::new(&a.team),
        id: a.id,
        holds: a.holds,
        stock: a.stock,
        rate: a.rate,
        burst: a.burst,
        permits: a.permits,
        returns: a.returns,
        least: a.least,
    }
}

/// Encodes a loan.
pub fn loan(l: &Loan) -> peer::Loan {
    peer::Loan {
        team: l.team.to_string(),
        id: l.id,
        stock: l.stock,
        rate: l.rate,
        burst: l.burst,
        permits: l.permits,
        term: l.term.0,
        scarce: l.scarce,
    }
}

/// Decodes a loan.
pub fn loan_from(l: &peer::Loan) -> Loan {
    Loan {
        team: Team::new(&l.team),
        id: l.id,
        stock: l.stock,
        rate: l.rate,
        burst: l.burst,
        permits: l.permits,
        term: Ms(l.term),
        scarce: l.scarce,
    }
}
