//! The platform's list of machines: `GET /vms`, a JSON list of [`Vm`].

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use tokio::time::Instant;

use crate::error::{Error, Result};
use crate::http_client::{HttpClient, build_request};
use crate::storage::{Vm, VmList};

const SERVICE: &str = "vms";

/// List of machines at an address.
#[derive(Clone)]
pub struct HttpVms {
    http: HttpClient,
    addr: SocketAddr,
    time: Duration,
}

impl HttpVms {
    /// The list at `addr`; `time` bounds each request.
    pub fn new(http: HttpClient, addr: SocketAddr, time: Duration) -> Self {
        Self { http, addr, time }
    }
}

impl VmList for HttpVms {
    async fn list(&self) -> Result<Vec<Vm>> {
        let req = build_request(Method::GET, "/vms", Bytes::new())
            .map_err(|e| Error::input(SERVICE, e))?;
        let deadline = Instant::now() + self.time;
        let whole = self.http.fetch(self.addr, req, deadline).await;
        let whole = whole.map_err(|e| Error::io(SERVICE, e))?;
        if !whole.status.is_success() {
            return Err(Error::io(SERVICE, format!("status {}", whole.status)));
        }
        let mut vms: Vec<Vm> =
            serde_json::from_slice(&whole.body).map_err(|e| Error::io(SERVICE, e))?;
        vms.sort_by(|a, b| a.name.cmp(&b.name));
        Ok(vms)
    }
}
