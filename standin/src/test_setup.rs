//! Stand-ins for tests: a row store with the operators' document, and endpoints.

use std::net::SocketAddr;

use serde_json::{Value, json};

use crate::caller::{HOST, KEY};
use crate::endpoint_instance::Instance;
use crate::row_store::RowStore;

/// Returns the operators' document of the tests; `keys` are the keys of the team `studio`.
pub fn document(version: u64, keys: &[&str]) -> Value {
    let route = |name: &str, prefix: &str, kind: &str, service: &str, resumable: bool| {
        json!({"Name": name, "Host": HOST, "Prefix": prefix, "Type": kind, "TimeoutMs": 4000,
            "TargetLatencyMs": 600, "Priority": 0, "Service": service, "MaxAttempts": 2,
            "Public": false, "Sticky": false, "Resumable": resumable, "GapTargetMs": 400})
    };
    json!({
        "Version": version,
        "Routes": [
            route("look", "/look/", "safe", "ledger", false),
            route("enter", "/enter/", "unsafe", "ledger", false),
            route("ask", "/ask/", "streaming", "assist", false),
        ],
        "Services": [
            {"Name": "ledger", "HealthPath": "/healthz", "MaxConnections": 100},
            {"Name": "assist", "HealthPath": "/healthz", "MaxConnections": 100, "Engine": {
                "Slots": 8, "KvCapacity": 100_000, "AdapterSlots": 2, "WeightsMb": 100.0,
                "LoadsPerS": 3.0,
                "Models": [{"Name": "base", "WeightsMb": 80.0, "LoadTimeS": 1.0, "Adapters": 9,
                    "AdapterMb": 1.0}]}},
        ],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 100_000, "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000},
        "Tenants": [
            {"Name": "studio", "ApiKeys": keys, "Priority": 1, "Unit": "token",
                "PlainTokens": 200, "RatePerS": 100_000, "Burst": 100_000},
        ],
    })
}

/// Returns the operators' document with a further route below `/late/`.
///
/// # Panics
///
/// Never: the document has routes.
pub fn document_with_late_route(version: u64) -> Value {
    let mut document = document(version, &[KEY]);
    let route = json!({"Name": "late", "Host": HOST, "Prefix": "/late/", "Type": "safe",
        "TimeoutMs": 4000, "TargetLatencyMs": 600, "Priority": 0, "Service": "ledger",
        "MaxAttempts": 2, "Public": false, "Sticky": false, "Resumable": false,
        "GapTargetMs": 400});
    document["Routes"].as_array_mut().unwrap().push(route);
    document
}

/// A store with a document, two plain endpoints and one engine.
pub struct TestSetup {
    /// Row store.
    pub rows: RowStore,
    /// Plain endpoints of the service `ledger`.
    pub ledger: Vec<Instance>,
    /// Model engine of the service `assist`.
    pub assist: Instance,
}

impl TestSetup {
    /// Starts the stand-ins and registers the endpoints in the store.
    ///
    /// # Panics
    ///
    /// Panics if no address can be bound.
    pub async fn start() -> Self {
        let rows = RowStore::start().await.unwrap();
        let ledger = vec![
            Instance::start("i-1", "ledger", None).await.unwrap(),
            Instance::start("i-2", "ledger", None).await.unwrap(),
        ];
        let assist = Instance::start("i-9", "assist", Some("base")).await.unwrap();
        rows.put("op", "config", &document(3, &[KEY]));
        let world = Self { rows, ledger, assist };
        for e in world.ledger.iter().chain([&world.assist]) {
            world.rows.put("servers", &e.id, &e.entry("ready"));
        }
        world
    }

    /// Address of the store.
    pub fn store_address(&self) -> SocketAddr {
        self.rows.server.address
    }

    /// Number of runs of an attempt at all plain endpoints.
    pub fn run_count(&self, attempt: &str) -> usize {
        let all = self.ledger.iter().flat_map(Instance::runs);
        all.filter(|r| r.attempt == attempt).count()
    }
}
