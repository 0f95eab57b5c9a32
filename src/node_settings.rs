//! Settings of a node, read from a TOML file: what differs between nodes and environments.
//!
//! `examples/node.toml` lists every setting with its default. All findings are reported
//! together, in the same form as those of a configuration document.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde_spanned::Spanned;

use crate::config::KeyDigest;
use crate::config_rules::is_name;
use crate::finding::{Finding, Report, closest_match, has_errors};
use crate::keys::{self, Secret};
use crate::time::Ms;
use crate::toml_fields::{Section, parse};

/// Shortest accepted peer secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;

const TOP_FIELDS: &[&str] = &[
    "node", "domain", "cell", "region", "listen", "peers", "admin", "platform", "endpoint",
    "limits", "lease", "log", "metrics",
];
const ENDPOINT_FIELDS: &[&str] =
    &["name", "address", "role", "pool", "slots", "batch", "checks_fence", "domain"];
const PLATFORM_FIELDS: &[&str] = &[
    "table",
    "objects",
    "vms",
    "table_name",
    "bucket",
    "region",
    "access",
    "secret",
    "secret_file",
];
const LIMITS_FIELDS: &[&str] =
    &["body", "header", "connections", "memory", "slow", "request", "progress"];

/// Settings of one node.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the node, as in the platform's VM list.
    pub node: String,
    /// Failure domain.
    pub domain: String,
    /// Name of the cell, which has at most 16 nodes.
    pub cell: String,
    /// Name of the region.
    pub region: String,
    /// Addresses of the listeners.
    pub listen: ListenAddresses,
    /// Shared secret that authenticates links between nodes.
    pub peer_secret: Secret,
    /// SHA-256 digest of the operators' credential.
    pub admin_digest: KeyDigest,
    /// Addresses and names of the platform services.
    pub platform: PlatformSettings,
    /// Endpoints of the cell, by exact name or name pattern.
    pub endpoints: Vec<EndpointSettings>,
    /// Limits on requests and connections.
    pub limits: RequestLimits,
    /// Duration and margin of the node's lease.
    pub lease: LeaseTimes,
    /// Directory and level of the log.
    pub log: LogSettings,
    /// Address of a statsd receiver; `None` if metrics are not sent.
    pub statsd_address: Option<SocketAddr>,
}

/// Addresses that the node listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenAddresses {
    /// HTTP listener for callers.
    pub callers: SocketAddr,
    /// Listener for links between nodes.
    pub peers: SocketAddr,
    /// HTTP listener for operators.
    pub admin: SocketAddr,
}

/// Addresses and names of the platform's services.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Table service.
    pub table: SocketAddr,
    /// Object store.
    pub objects: SocketAddr,
    /// VM list; only nodes need it.
    pub vms: Option<SocketAddr>,
    /// Name of the table in the table service.
    pub table_name: String,
    /// Bucket in the object store.
    pub bucket: String,
    /// Region name used in request signatures.
    pub region: String,
    /// Identifier of the access key.
    pub access_key: String,
    /// Secret of the access key; empty for a platform that needs none.
    pub secret_key: Secret,
}

/// Kind of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Model engine.
    Engine,
    /// Plain service.
    Service,
}

/// Settings of one endpoint, or of all endpoints whose names have a common prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointSettings {
    /// Exact name, or a name prefix followed by `*`.
    pub name: String,
    /// Address; `None` if it is taken from the platform's VM list.
    pub address: Option<SocketAddr>,
    /// Engine or service.
    pub role: Role,
    /// Pool of the configuration document that the endpoint belongs to.
    pub pool: String,
    /// Number of adapter slots.
    pub slots: u32,
    /// Most requests that run at the same time.
    pub max_running: u32,
    /// Whether the endpoint rejects orders with an outdated fencing token.
    pub checks_fence: bool,
    /// Failure domain.
    pub domain: String,
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Largest request body, in bytes.
    pub max_body: u64,
    /// Largest size of all headers of a request, in bytes.
    pub max_header: u64,
    /// Most open connections.
    pub max_connections: u64,
    /// Memory that callers may take together with their connections, bodies and answers, in
    /// bytes; half of it for bodies and answers that are large.
    pub max_memory: u64,
    /// Longest time until a request body has arrived.
    pub body_timeout: Ms,
    /// Longest time of a request, including its streamed response.
    pub request_timeout: Ms,
    /// Longest time without progress of a streamed response.
    pub progress_timeout: Ms,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            max_body: 4 << 20,
            max_header: 16 << 10,
            max_connections: 4096,
            max_memory: 128 << 20,
            body_timeout: Ms::secs(10),
            request_timeout: Ms::secs(600),
            progress_timeout: Ms::secs(30),
        }
    }
}

/// Times of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTimes {
    /// Time to live of a lease, which is renewed every third of it.
    pub ttl: Ms,
    /// Margin for clock drift.
    pub margin: Ms,
    /// Longest extension by promises, for endpoints that do not check fencing tokens.
    pub extension: Ms,
}

impl Default for LeaseTimes {
    fn default() -> Self {
        Self { ttl: Ms::secs(3), margin: Ms(300), extension: Ms::secs(60) }
    }
}

/// Settings of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// Directory of the log files; `None` for standard error.
    pub directory: Option<PathBuf>,
    /// `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
}

/// Result of a settings check.
#[derive(Clone, Debug)]
pub struct CheckedSettings {
    /// All findings in file order.
    pub findings: Vec<Finding>,
    /// The settings; `None` if a finding is an error.
    pub settings: Option<Settings>,
}

/// Program that the settings are read for, which determines the required ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// A node, which needs all required settings.
    Node,
    /// An operator command, which needs only the platform services.
    Client,
}

impl Settings {
    /// Reads and checks the settings of a node, including the secret files they refer to.
    ///
    /// # Errors
    /// Returns all findings if one of them is an error.
    pub fn load(path: &Path) -> Result<Self, Vec<Finding>> {
        Self::load_for(path, Purpose::Node)
    }

    /// Reads and checks the settings that `purpose` requires.
    ///
    /// # Errors
    /// Returns all findings if one of them is an error.
    pub fn load_for(path: &Path, purpose: Purpose) -> Result<Self, Vec<Finding>> {
        let source = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| unreadable_file(&source, &e))?;
        let read_file = |file: &str| std::fs::read_to_string(file).map_err(|e| e.to_string());
        let checked = Self::check_with_files(&source, &text, purpose, read_file);
        checked.settings.ok_or(checked.findings)
    }

    /// Checks the text of a node's settings without reading secret files.
    pub fn check(source: &str, text: &str) -> CheckedSettings {
        Self::check_for(source, text, Purpose::Node)
    }

    /// Checks the text of the settings for `purpose` without reading secret files.
    pub fn check_for(source: &str, text: &str, purpose: Purpose) -> CheckedSettings {
        // Assumes that each secret file holds a secret of sufficient length.
        Self::check_with_files(source, text, purpose, |_| Ok("-".repeat(MIN_SECRET_BYTES)))
    }

    fn check_with_files(
        source: &str,
        text: &str,
        purpose: Purpose,
        read_file: impl Fn(&str) -> Result<String, String>,
    ) -> CheckedSettings {
        let mut report = Report::new(source, text);
        let tree = parse(&mut report, text);
        let top = Section::root(&mut report, tree.get_ref(), 0, "the settings", TOP_FIELDS);
        let settings = Reader { report: &mut report, purpose, read_file }.settings(&top);
        let findings = report.into_findings();
        let settings = settings.filter(|_| !has_errors(&findings));
        CheckedSettings { findings, settings }
    }

    /// Settings of the endpoint with this name: the entry with the exact name, otherwise
    /// the longest matching pattern.
    pub fn endpoint(&self, name: &str) -> Option<&EndpointSettings> {
        let matches = |e: &&EndpointSettings| match e.name.strip_suffix('*') {
            Some(prefix) => name.starts_with(prefix),
            None => e.name == name,
        };
        let precedence = |e: &&EndpointSettings| (!e.name.ends_with('*'), e.name.len());
        self.endpoints.iter().filter(matches).max_by_key(precedence)
    }
}

fn unreadable_file(source: &str, error: &std::io::Error) -> Vec<Finding> {
    let mut report = Report::new(source, "");
    report.add(0, "E100", format_args!("cannot read the file: {error}"), "check the path");
    report.into_findings()
}

struct Reader<'r, 'a, F> {
    report: &'r mut Report<'a>,
    purpose: Purpose,
    read_file: F,
}

impl<F: Fn(&str) -> Result<String, String>> Reader<'_, '_, F> {
    fn settings(&mut self, top: &Section<'_>) -> Option<Settings> {
        let node = self.name(top, "node", None);
        let domain = self.name(top, "domain", None);
        let cell = self.name(top, "cell", Some("cell"));
        let region = self.name(top, "region", Some("region"));
        let listen = self.section(top, "listen", "listen", &["callers", "peers", "admin"]);
        let mut address = |field, default: &str| {
            let parsed = listen.as_ref().and_then(|s| self.address(s, field));
            parsed.unwrap_or_else(|| default.parse().expect("default address"))
        };
        let listen = ListenAddresses {
            callers: address("callers", "0.0.0.0:8080"),
            peers: address("peers", "0.0.0.0:7070"),
            admin: address("admin", "127.0.0.1:8090"),
        };
        let peer_secret = self.peer_secret(top);
        let admin_digest = self.admin_digest(top);
        let platform = self.platform(top);
        let sections = top.sections(self.report, "endpoint", "an endpoint", ENDPOINT_FIELDS);
        let mut endpoints: Vec<EndpointSettings> = Vec::new();
        for s in &sections {
            let e = self.endpoint(s, &domain);
            if endpoints.iter().any(|x| x.name == e.name) && !e.name.is_empty() {
                let message = format!("endpoint `{}` is defined twice", e.name);
                self.report.add(
                    s.offset_of("name"),
                    "E010",
                    message,
                    "remove or rename one of the two",
                );
            }
            endpoints.push(e);
        }
        let limits = self.limits(top);
        let lease = self.lease(top);
        let log = self.log(top);
        let metrics = self.section(top, "metrics", "metrics", &["address"]);
        let statsd_address = metrics.and_then(|s| self.address(&s, "address"));
        Some(Settings {
            node,
            domain,
            cell,
            region,
            listen,
            peer_secret,
            admin_digest,
            platform: platform?,
            endpoints,
            limits,
            lease,
            log,
            statsd_address,
        })
    }

    fn section<'t>(
        &mut self,
        top: &Section<'t>,
        field: &str,
        description: &'static str,
        known: &[&str],
    ) -> Option<Section<'t>> {
        top.section(self.report, field, description, known)
    }

    /// A required section; reports it with `remedy` if it is absent.
    fn required_section<'t>(
        &mut self,
        top: &Section<'t>,
        field: &str,
        description: &'static str,
        known: &[&str],
        remedy: &str,
    ) -> Option<Section<'t>> {
        if !top.has(field) {
            self.report.add(0, "E003", format_args!("the settings have no `{field}`"), remedy);
        }
        self.section(top, field, description, known)
    }

    fn name(&mut self, s: &Section<'_>, field: &str, default: Option<&str>) -> String {
        let required = default.is_none() && self.purpose == Purpose::Node;
        let value = if required {
            Some(s.text(self.report, field))
        } else {
            s.opt_text(self.report, field)
        };
        let Some(name) = value else { return default.unwrap_or_default().to_owned() };
        if s.has(field) && !is_name(name.get_ref()) {
            let remedy = "use letters, digits, `-`, `_` and `.`";
            let message = format!("`{field}` is not a valid name");
            self.report.add(name.span().start, "E012", message, remedy);
        }
        name.into_inner()
    }

    fn address(&mut self, s: &Section<'_>, field: &str) -> Option<SocketAddr> {
        let text = s.opt_text(self.report, field)?;
        let address = text.get_ref().parse().ok();
        if address.is_none() {
            let message = format!("`{field}` is not an IP address with a port");
            let remedy = "write for example \"10.0.0.5:8080\"; names are not resolved";
            self.report.add(text.span().start, "E101", message, remedy);
        }
        address
    }

    fn secret(&mut self, s: &Section<'_>) -> Option<Spanned<String>> {
        let (text, file) =
            (s.opt_text(self.report, "secret"), s.opt_text(self.report, "secret_file"));
        match (text, file) {
            (Some(text), None) => Some(text),
            (None, Some(file)) => match (self.read_file)(file.get_ref()) {
                Ok(text) => Some(Spanned::new(file.span(), text.trim_end().to_owned())),
                Err(e) => {
                    let message = format!("cannot read `{file}`: {e}");
                    self.report.add(
                        file.span().start,
                        "E100",
                        message,
                        "check the path and its mode",
                    );
                    None
                }
            },
            (Some(_), Some(file)) => {
                let message = "both `secret` and `secret_file` are given";
                self.report.add(file.span().start, "E102", message, "keep one of the two");
                None
            }
            (None, None) => None,
        }
    }

    fn peer_secret(&mut self, top: &Section<'_>) -> Secret {
        if self.purpose == Purpose::Client && !top.has("peers") {
            return Secret::new("");
        }
        let remedy = "add [peers] with `secret_file` or `secret`, the same on all nodes";
        let known = ["secret", "secret_file"];
        let Some(s) = self.required_section(top, "peers", "peers", &known, remedy) else {
            return Secret::new("");
        };
        let secret = self.secret(&s);
        match &secret {
            Some(x) if x.get_ref().len() < MIN_SECRET_BYTES => {
                let message = format!("the peer secret is shorter than {MIN_SECRET_BYTES} bytes");
                self.report.add(x.span().start, "E103", message, "use a random secret");
            }
            None if !s.has("secret") && !s.has("secret_file") => {
                self.report.add(s.offset(), "E003", "`peers` has no secret", remedy);
            }
            _ => {}
        }
        Secret::new(secret.map_or_else(String::new, Spanned::into_inner))
    }

    fn admin_digest(&mut self, top: &Section<'_>) -> KeyDigest {
        if self.purpose == Purpose::Client && !top.has("admin") {
            return KeyDigest::default();
        }
        let remedy = "run `sycamorefork keys new` and add [admin] with its `digest`";
        let Some(s) = self.required_section(top, "admin", "admin", &["digest"], remedy) else {
            return KeyDigest::default();
        };
        let digest = s.text(self.report, "digest");
        let parsed = keys::parse_digest(digest.get_ref());
        if keys::looks_like_key(digest.get_ref()) {
            let message = "a credential is given in clear text";
            self.report.add(digest.span().start, "E031", message, remedy);
        } else if parsed.is_none() && s.has("digest") {
            let message = "`digest` is not 64 lower-case hexadecimal digits";
            self.report.add(digest.span().start, "E030", message, remedy);
        }
        parsed.unwrap_or_default()
    }

    fn platform(&mut self, top: &Section<'_>) -> Option<PlatformSettings> {
        let remedy = "add [platform] with `table`, `objects` and `vms`";
        let s = self.required_section(top, "platform", "platform", PLATFORM_FIELDS, remedy)?;
        let needed: &[&str] = if self.purpose == Purpose::Node {
            &["table", "objects", "vms"]
        } else {
            &["table", "objects"]
        };
        for field in needed.iter().filter(|f| !s.has(f)) {
            let message = format!("`platform` has no `{field}`");
            self.report.add(s.offset(), "E003", message, "add its IP address and port");
        }
        let (table, objects) = (self.address(&s, "table"), self.address(&s, "objects"));
        let vms = self.address(&s, "vms");
        let mut text = |field, default: &str| {
            let value = s.opt_text(self.report, field);
            value.map_or_else(|| default.to_owned(), Spanned::into_inner)
        };
        let table_name = text("table_name", "sycamorefork");
        let bucket = text("bucket", "sycamorefork");
        let region = text("region", "local");
        let access_key = text("access", "");
        let secret_key = self.secret(&s).map_or_else(String::new, Spanned::into_inner);
        Some(PlatformSettings {
            table: table?,
            objects: objects?,
            vms,
            table_name,
            bucket,
            region,
            access_key,
            secret_key: Secret::new(secret_key),
        })
    }

    fn endpoint(&mut self, s: &Section<'_>, domain: &str) -> EndpointSettings {
        let name = s.text(self.report, "name");
        let prefix = name.get_ref().strip_suffix('*').unwrap_or(name.get_ref());
        if s.has("name") && !(is_name(prefix) || name.get_ref() == "*") {
            let remedy = "write a name, or the start of names followed by `*`";
            self.report.add(name.span().start, "E012", "`name` is not a valid name", remedy);
        }
        let address = self.address(s, "address");
        if address.is_some() && name.get_ref().ends_with('*') {
            let message = "a pattern of several endpoints cannot have an address";
            self.report.add(
                s.offset_of("address"),
                "E104",
                message,
                "remove `address` or name one endpoint",
            );
        }
        let role = s.text(self.report, "role");
        let roles = ["engine", "service"];
        if s.has("role") && !roles.contains(&role.get_ref().as_str()) {
            let near = closest_match(role.get_ref(), roles).unwrap_or("engine` or `service");
            let message = format!("`{role}` is not a role");
            self.report.add(role.span().start, "E105", message, format_args!("write `{near}`"));
        }
        EndpointSettings {
            address,
            role: if role.get_ref() == "service" { Role::Service } else { Role::Engine },
            pool: self.name(s, "pool", None),
            slots: self.number(s, "slots", 8, 0, 100_000) as u32,
            max_running: self.number(s, "batch", 16, 1, 100_000) as u32,
            checks_fence: s.flag(self.report, "checks_fence", false),
            domain: self.name(s, "domain", Some(domain)),
            name: name.into_inner(),
        }
    }

    fn number(&mut self, s: &Section<'_>, field: &str, default: u64, min: u64, max: u64) -> u64 {
        let Some(n) = s.opt_count(self.report, field) else { return default };
        if !(min..=max).contains(n.get_ref()) {
            let message = format!("`{field}` is {n}");
            let remedy = format!("write a number from {min} to {max}");
            self.report.add(n.span().start, "E106", message, remedy);
        }
        n.into_inner()
    }

    fn time(&mut self, s: &Section<'_>, field: &str, default: Ms, min: Ms, max: Ms) -> Ms {
        let Some(t) = s.opt_duration(self.report, field) else { return default };
        if !(min..=max).contains(t.get_ref()) {
            let message = format!("`{field}` is {t}");
            let remedy = format!("write a time from {min} to {max}");
            self.report.add(t.span().start, "E107", message, remedy);
        }
        t.into_inner()
    }

    fn limits(&mut self, top: &Section<'_>) -> RequestLimits {
        let defaults = RequestLimits::default();
        let Some(s) = self.section(top, "limits", "limits", LIMITS_FIELDS) else { return defaults };
        let day = Ms::secs(86_400);
        RequestLimits {
            max_body: self.number(&s, "body", defaults.max_body, 1 << 10, 1 << 30),
            max_header: self.number(&s, "header", defaults.max_header, 1 << 10, 1 << 20),
            max_connections: self.number(&s, "connections", defaults.max_connections, 1, 1 << 20),
            max_memory: self.number(&s, "memory", defaults.max_memory, 1 << 20, 1 << 40),
            body_timeout: self.time(&s, "slow", defaults.body_timeout, Ms(100), day),
            request_timeout: self.time(&s, "request", defaults.request_timeout, Ms(100), day),
            progress_timeout: self.time(&s, "progress", defaults.progress_timeout, Ms(100), day),
        }
    }

    fn lease(&mut self, top: &Section<'_>) -> LeaseTimes {
        let defaults = LeaseTimes::default();
        let known = ["ttl", "margin", "extension"];
        let Some(s) = self.section(top, "lease", "lease", &known) else { return defaults };
        let times = LeaseTimes {
            ttl: self.time(&s, "ttl", defaults.ttl, Ms(500), Ms::secs(60)),
            margin: self.time(&s, "margin", defaults.margin, Ms(10), Ms::secs(10)),
            extension: self.time(&s, "extension", defaults.extension, Ms(0), Ms::secs(3600)),
        };
        // A renewal is sent every third of the TTL; with a larger margin the lease would
        // expire before the first retry of a renewal.
        if times.margin.0 * 3 > times.ttl.0 {
            let message = format!("`margin` is more than a third of `ttl` ({})", times.ttl);
            self.report.add(
                s.offset_of("margin"),
                "E108",
                message,
                "lower `margin` or raise `ttl`",
            );
        }
        times
    }

    fn log(&mut self, top: &Section<'_>) -> LogSettings {
        let s = self.section(top, "log", "log", &["directory", "level"]);
        let mut text = |field| s.as_ref().and_then(|s| s.opt_text(self.report, field));
        let directory = text("directory").map(|d| PathBuf::from(d.into_inner()));
        let level = text("level");
        let levels = ["error", "warn", "info", "debug", "trace"];
        if let Some(l) = level.as_ref().filter(|l| !levels.contains(&l.get_ref().as_str())) {
            let message = format!("`{l}` is not a log level");
            let remedy = format!("write one of {}", levels.join(", "));
            self.report.add(l.span().start, "E109", message, remedy);
        }
        LogSettings { directory, level: level.map_or_else(|| "info".into(), Spanned::into_inner) }
    }
}
