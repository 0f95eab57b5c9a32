//! The outside systems that a node is connected to.
//!
//! Endpoints are always reached over HTTP. The platform is generic, so that the
//! demo and tests run the same node over a platform in memory.

use std::net::SocketAddr;
use std::time::Duration;

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

/// Time for one request to the platform.
const PLATFORM_WITHIN: Duration = Duration::from_secs(2);
/// Time for a status query or probe of a service.
const SERVICE_WITHIN: Duration = Duration::from_secs(2);

/// A platform and endpoints over HTTP.
pub(crate) struct NodePorts<T, O, V> {
    clock: BootClock,
    table: T,
    objects: O,
    vms: V,
    http: HttpClient,
    engines: EngineSettings,
}

impl<T, O, V> NodePorts<T, O, V> {
    /// Connects a platform; endpoints are connected on use.
    pub(crate) fn new(table: T, objects: O, vms: V, settings: &Settings) -> Self {
        let progress = settings.limits.progress_timeout.to_std();
        let engines = EngineSettings { progress_timeout: progress, ..EngineSettings::default() };
        let http = HttpClient::new(HttpSettings::default());
        Self { clock: BootClock, table, objects, vms, http, engines }
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
        HttpEngine::new(self.http.clone(), addr, self.engines)
    }

    fn service(&self, addr: SocketAddr) -> HttpService {
        HttpService::new(self.http.clone(), addr, SERVICE_WITHIN)
    }
}

/// Connects to the platform that the settings name.
#[derive(Clone, Copy, Debug, Default)]
pub struct HttpPlatform;

impl Connect for HttpPlatform {
    type Table = DynamoTable;
    type Objects = S3Objects;

    fn connect(&self, settings: &Settings) -> Result<(DynamoTable, S3Objects)> {
        let platform = &settings.platform;
        let http = HttpClient::new(HttpSettings::default());
        let table =
            DynamoTable::new(http.clone(), platform.table, &platform.table_name, PLATFORM_WITHIN);
        let objects = S3Objects::new(http, platform.objects, &platform.bucket, PLATFORM_WITHIN);
        Ok((table, objects))
    }
}

/// The ports of a node with the platform that its settings name.
///
/// # Errors
/// The settings name no list of machines.
pub(crate) fn connect(settings: &Settings) -> Result<NodePorts<DynamoTable, S3Objects, HttpVms>> {
    let (table, objects) = HttpPlatform.connect(settings)?;
    let missing = || Error::input("platform", "a node needs the address `vms`");
    let addr = settings.platform.vms.ok_or_else(missing)?;
    let vms = HttpVms::new(HttpClient::new(HttpSettings::default()), addr, PLATFORM_WITHIN);
    Ok(NodePorts::new(table, objects, vms, settings))
}
