//! Clients for the external systems of a node: the platform's services and the endpoints.
//!
//! Endpoints are always reached over HTTP. The platform's services are type parameters,
//! so that the demo runs the same node code on in-memory implementations.

use std::net::SocketAddr;
use std::time::Duration;

use crate::caller_stream::RECEIVE_BUFFER;
use crate::cli::Connect;
use crate::dynamo::DynamoTable;
use crate::engine_client::{EngineSettings, HttpEngine};
use crate::error::{Error, Result};
use crate::http_client::{HttpClient, HttpSettings};
use crate::node_settings::Settings;
use crate::s3::S3Objects;
use crate::service_client::HttpService;
use crate::shell::Ports;
use crate::storage::{Objects, Table, VmList};
use crate::time::BootClock;
use crate::vm_list::HttpVms;

/// Time limit for a request to a service of the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for a status query or probe of a service endpoint.
const SERVICE_TIMEOUT: Duration = Duration::from_secs(2);

/// Fraction of the memory for callers that answers may take while they are read.
const BUFFERED_FRACTION: u64 = 2;

/// Clients for the platform's services, and for endpoints over HTTP.
pub(crate) struct NodePorts<T, O, V> {
    clock: BootClock,
    table: T,
    objects: O,
    vms: V,
    http: HttpClient,
    engine_settings: EngineSettings,
}

impl<T, O, V> NodePorts<T, O, V> {
    /// Combines clients for the platform's services with an HTTP client for endpoints, which
    /// connects when an endpoint is first used.
    pub(crate) fn new(table: T, objects: O, vms: V, settings: &Settings) -> Self {
        let progress_timeout = settings.limits.progress_timeout.to_std();
        let engine_settings = EngineSettings { progress_timeout, ..EngineSettings::default() };
        let buffered = settings.limits.max_memory / BUFFERED_FRACTION;
        let http = HttpClient::new(HttpSettings {
            receive_buffer: Some(RECEIVE_BUFFER),
            max_buffered: usize::try_from(buffered).unwrap_or(usize::MAX),
            ..HttpSettings::default()
        });
        Self { clock: BootClock, table, objects, vms, http, engine_settings }
    }
}

impl<T: Table, O: Objects, V: VmList> Ports for NodePorts<T, O, V> {
    type Clock = BootClock;
    type Table = T;
    type Objects = O;
    type Vms = V;
    type Engine = HttpEngine;
    type Service = HttpService;

    fn clock(&self) -> &BootClock {
        &self.clock
    }

    fn table(&self) -> &T {
        &self.table
    }

    fn objects(&self) -> &O {
        &self.objects
    }

    fn vms(&self) -> &V {
        &self.vms
    }

    fn engine(&self, addr: SocketAddr) -> HttpEngine {
        HttpEngine::new(self.http.clone(), addr, self.engine_settings)
    }

    fn service(&self, addr: SocketAddr) -> HttpService {
        HttpService::new(self.http.clone(), addr, SERVICE_TIMEOUT)
    }
}

/// Creates HTTP clients for the platform services in the settings.
#[derive(Clone, Copy, Debug, Default)]
pub struct HttpPlatform;

impl Connect for HttpPlatform {
    type Table = DynamoTable;
    type Objects = S3Objects;

    fn connect(&self, settings: &Settings) -> Result<(DynamoTable, S3Objects)> {
        let platform = &settings.platform;
        let http = HttpClient::new(HttpSettings::default());
        let table =
            DynamoTable::new(http.clone(), platform.table, &platform.table_name, PLATFORM_TIMEOUT);
        let objects = S3Objects::new(http, platform.objects, &platform.bucket, PLATFORM_TIMEOUT);
        Ok((table, objects))
    }
}

/// Creates the clients of a node from its settings.
///
/// # Errors
/// The settings have no address for the list of VMs.
pub(crate) fn connect(settings: &Settings) -> Result<NodePorts<DynamoTable, S3Objects, HttpVms>> {
    let (table, objects) = HttpPlatform.connect(settings)?;
    let missing = || {
        Error::input("platform", "`vms` is missing; a node needs the address of the list of VMs")
    };
    let addr = settings.platform.vms.ok_or_else(missing)?;
    let vms = HttpVms::new(HttpClient::new(HttpSettings::default()), addr, PLATFORM_TIMEOUT);
    Ok(NodePorts::new(table, objects, vms, settings))
}
