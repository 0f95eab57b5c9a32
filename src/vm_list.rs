//! HTTP client for the platform's list of VMs: `GET /vms` returns a JSON array of [`Vm`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use serde_json::value::RawValue;
use tokio::time::Instant;

use crate::error::{Error, Result};
use crate::http_client::{HttpClient, build_request};
use crate::storage::{Vm, VmList};

/// Name of this service in errors.
const SERVICE: &str = "vms";

/// List of VMs that is read over HTTP.
#[derive(Clone)]
pub struct HttpVms {
    http: HttpClient,
    addr: SocketAddr,
    timeout: Duration,
    /// Number of entries of the last list that could not be read, for the log.
    unreadable: Arc<AtomicUsize>,
}

impl HttpVms {
    /// Creates a client for the service at `addr`; `timeout` limits each request.
    pub fn new(http: HttpClient, addr: SocketAddr, timeout: Duration) -> Self {
        Self { http, addr, timeout, unreadable: Arc::default() }
    }
}

impl VmList for HttpVms {
    fn close_idle(&self) {
        self.http.close_idle(self.addr);
    }

    async fn list(&self) -> Result<Vec<Vm>> {
        let req = build_request(Method::GET, "/vms", Bytes::new())
            .map_err(|e| Error::input(SERVICE, e))?;
        let deadline = Instant::now() + self.timeout;
        let response = self.http.fetch(self.addr, req, deadline).await;
        let response = response.map_err(|e| Error::io(SERVICE, e))?;
        if !response.status.is_success() {
            return Err(Error::io(SERVICE, format!("status {}", response.status)));
        }
        // Entries are decoded one by one, so that an odd one hides no others.
        let entries: Vec<&RawValue> =
            serde_json::from_slice(&response.body).map_err(|e| Error::io(SERVICE, e))?;
        let count = entries.len();
        let mut vms: Vec<Vm> = entries
            .into_iter()
            .filter_map(|entry| serde_json::from_str(entry.get()).ok())
            .collect();
        let unreadable = count - vms.len();
        if self.unreadable.swap(unreadable, Ordering::Relaxed) != unreadable {
            log::warn!("{unreadable} of {count} entries of the list of VMs cannot be read");
        }
        vms.sort_by(|a, b| a.name.cmp(&b.name));
        Ok(vms)
    }
}
