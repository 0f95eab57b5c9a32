//! Decodes the settings file of an edge node on the platform.
//!
//! The platform renders the file from the template `deploy/settings.json`, which lists all
//! fields. Unknown fields are ignored; missing and malformed ones are reported together.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use serde_json::Value;

use crate::deployment::{Bounds, Deployment, Listen};
use crate::error::{Error, Result};
use crate::ids::Map;
use crate::time::Ms;

/// Name of the source in errors.
const SOURCE: &str = "settings";

/// Reads fields and collects the paths of those that are missing or malformed.
struct Reader<'a> {
    root: &'a Value,
    invalid: Vec<&'static str>,
}

impl<'a> Reader<'a> {
    fn find(&mut self, path: &'static str) -> Option<&'a Value> {
        let found = path.split('.').try_fold(self.root, |v, name| v.get(name));
        let found = found.filter(|v| !v.is_null());
        if found.is_none() {
            self.invalid.push(path);
        }
        found
    }

    fn read<T>(&mut self, path: &'static str, parse: impl Fn(&'a Value) -> Option<T>) -> Option<T> {
        let value = self.find(path)?;
        let parsed = parse(value);
        if parsed.is_none() {
            self.invalid.push(path);
        }
        parsed
    }

    fn text(&mut self, path: &'static str) -> Option<String> {
        self.read(path, |v| v.as_str().map(str::to_owned))
    }

    fn address(&mut self, path: &'static str) -> Option<SocketAddr> {
        self.read(path, |v| v.as_str()?.parse().ok())
    }

    fn number(&mut self, path: &'static str) -> Option<f64> {
        self.read(path, Value::as_f64)
    }

    fn millis(&mut self, path: &'static str) -> Option<Ms> {
        self.number(path).map(|n| Ms(n as u64))
    }
}

/// Decodes a settings file.
///
/// # Errors
/// The text is not JSON, or fields are missing or malformed; the error names all of them.
pub fn decode(text: &str) -> Result<Deployment> {
    let root: Value = serde_json::from_str(text).map_err(|e| Error::input(SOURCE, e))?;
    let mut r = Reader { root: &root, invalid: Vec::new() };
    let node = r.text("NodeName");
    let ip = r.read("Ip", |v| v.as_str()?.parse::<Ipv4Addr>().ok());
    let domain = r.text("Zone");
    let front = r.address("Listen.Frontend");
    let ready = r.address("Listen.Ready");
    let ports = r.read("InternalPorts", |v| {
        let list = v.as_array()?;
        let port = |i: usize| u16::try_from(list.get(i)?.as_u64()?).ok();
        Some(port(0)?..=port(1)?)
    });
    let store = r.address("Platform.Address");
    let memory = r.number("Limits.MemoryMb");
    let files = r.number("Limits.MaxFds");
    let grace = r.number("Bounds.GraceS");
    let bounds = (
        r.millis("Bounds.DrainMs"),
        r.millis("Bounds.LeaseMs"),
        r.millis("Bounds.version_ms"),
        r.number("Bounds.RetryBudgetRatio"),
        r.number("Bounds.RetryWindowS"),
        r.number("Bounds.RetrySlack"),
    );
    // Deployments in which the configuration never changes state no bound for it.
    let config_deadline =
        root.pointer("/Bounds/ConfigDeadlineMs").and_then(Value::as_f64).map(|n| Ms(n as u64));
    let tolerance = r.number("Bounds.QuotaTolerance");
    let beat = r.millis("HeartbeatMs");
    let mut regions = Map::default();
    if let Some(list) = r.find("Zones").and_then(Value::as_object) {
        let pairs = list.iter().filter_map(|(k, v)| Some((k.clone(), v.as_str()?.to_owned())));
        regions.extend(pairs);
    }
    // Seed nodes are optional, so malformed ones are ignored.
    let seeds = root.get("SeedNodes").and_then(Value::as_array).map(Vec::as_slice);
    let seed = |v: &Value| Some(*v.as_str()?.parse::<SocketAddrV4>().ok()?.ip());
    let seeds: Vec<Ipv4Addr> = seeds.unwrap_or_default().iter().filter_map(seed).collect();
    let invalid = r.invalid.join(", ");
    let build = || {
        Some(Deployment {
            node: node?,
            ip: ip?,
            domain: domain?,
            regions,
            listen: Listen { front: front?, ready: ready?, ports: ports? },
            seeds: seeds.into_iter().filter(|s| Some(*s) != ip).collect(),
            store: store?,
            memory_bytes: (memory? * 1e6) as u64,
            max_files: files? as usize,
            entry_interval: beat?,
            bounds: Bounds {
                drain: bounds.0?,
                config_deadline: config_deadline.or(bounds.0)?,
                grace: Ms((grace? * 1000.0) as u64),
                handover_pause: bounds.1?,
                version_delay: bounds.2?,
                retry_ratio: bounds.3?,
                retry_window: Ms((bounds.4? * 1000.0) as u64),
                retry_slack: bounds.5?,
                quota_tolerance: tolerance?,
            },
        })
    };
    build().ok_or_else(|| Error::input(SOURCE, format!("missing or malformed: {invalid}")))
}
