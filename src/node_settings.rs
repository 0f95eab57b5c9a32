//! The node's own settings: what differs between nodes and environments.
//!
//! `examples/node.toml` lists every setting with its default. A check reports
//! all findings together, in the form of the document's check.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde_spanned::Spanned;

use crate::config::Digest;
use crate::config_rules::is_name;
use crate::finding::{Finding, Report, closest, has_errors};
use crate::keys::{self, Secret};
use crate::time::Ms;
use crate::toml_fields::{Section, parse};

/// Shortest accepted peer secret, in bytes.
const SECRET_BYTES: usize = 16;

const TOP: &[&str] = &[
    "node", "domain", "cell", "region", "listen", "peers", "admin", "platform", "endpoint",
    "limits", "lease", "log", "metrics",
];
const ENDPOINT: &[&str] =
    &["name", "address", "role", "pool", "slots", "batch", "checks_fence", "domain"];
const PLATFORM: &[&str] = &[
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
const LIMITS: &[&str] = &["body", "header", "connections", "slow", "request", "progress"];

/// Settings of one node.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Node name, equal to its name in the platform's list.
    pub node: String,
    /// Failure domain.
    pub domain: String,
    /// Cell of at most 16 nodes.
    pub cell: String,
    /// Region.
    pub region: String,
    /// Listeners.
    pub listen: ListenAddresses,
    /// Secret that links between nodes prove knowledge of.
    pub peer_secret: Secret,
    /// SHA-256 of the operators' credential.
    pub admin_digest: Digest,
    /// Platform services.
    pub platform: PlatformSettings,
    /// Endpoints of the cell, exact names and patterns.
    pub endpoints: Vec<EndpointSettings>,
    /// Bounds on callers' input.
    pub limits: RequestLimits,
    /// Lease times.
    pub lease: LeaseTimes,
    /// Log target.
    pub log: LogSettings,
    /// Address of a statsd receiver.
    pub statsd_address: Option<SocketAddr>,
}

/// Addresses that the node listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenAddresses {
    /// Callers' HTTP.
    pub callers: SocketAddr,
    /// Links between nodes.
    pub peers: SocketAddr,
    /// Operators' HTTP.
    pub admin: SocketAddr,
}

/// Addresses and names of the platform's services.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Table service.
    pub table: SocketAddr,
    /// Object store.
    pub objects: SocketAddr,
    /// List of machines; only nodes need it.
    pub vms: Option<SocketAddr>,
    /// Name of the table.
    pub table_name: String,
    /// Bucket of the object store.
    pub bucket: String,
    /// Region name used in request signatures.
    pub region: String,
    /// Access key identifier.
    pub access_key: String,
    /// Access key secret; empty for a platform that needs none.
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

/// Settings of an endpoint, or of all endpoints whose name starts alike.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointSettings {
    /// Exact name, or a start of names followed by `*`.
    pub name: String,
    /// Address; the platform's list gives it otherwise.
    pub address: Option<SocketAddr>,
    /// Engine or service.
    pub role: Role,
    /// Pool of the document.
    pub pool: String,
    /// Adapter slots.
    pub slots: u32,
    /// Requests that run at once.
    pub max_running: u32,
    /// Whether it refuses orders with an old fence.
    pub checks_fence: bool,
    /// Failure domain.
    pub domain: String,
}

/// Bounds on callers' input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Bytes of a body.
    pub max_body: u64,
    /// Bytes of all headers.
    pub max_header: u64,
    /// Open connections.
    pub max_connections: u64,
    /// Time in which a body must arrive.
    pub body_timeout: Ms,
    /// Time of a request, including its stream.
    pub request_timeout: Ms,
    /// Longest time without progress of a stream.
    pub progress_timeout: Ms,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            max_body: 4 << 20,
            max_header: 16 << 10,
            max_connections: 4096,
            body_timeout: Ms::secs(10),
            request_timeout: Ms::secs(600),
            progress_timeout: Ms::secs(30),
        }
    }
}

/// Lease times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTimes {
    /// Life of a lease; renewed three times within it.
    pub ttl: Ms,
    /// Margin for clock drift.
    pub margin: Ms,
    /// Longest extension by promises for endpoints that do not check fences.
    pub extension: Ms,
}

impl Default for LeaseTimes {
    fn default() -> Self {
        Self { ttl: Ms::secs(3), margin: Ms(300), extension: Ms::secs(60) }
    }
}

/// Log target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// Directory of log files; stderr without it.
    pub directory: Option<PathBuf>,
    /// `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
}

/// Result of a check of settings.
#[derive(Clone, Debug)]
pub struct CheckedSettings {
    /// All findings in file order.
    pub findings: Vec<Finding>,
    /// The settings, unless a finding is an error.
    pub settings: Option<Settings>,
}

/// Who reads the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// A node, which needs everything.
    Node,
    /// An operator's command, which needs the platform only.
    Client,
}

impl Settings {
    /// Reads and checks a node's settings, including the files they name.
    ///
    /// # Errors
    /// All findings, if one of them is an error.
    pub fn load(path: &Path) -> Result<Self, Vec<Finding>> {
        Self::load_for(path, Purpose::Node)
    }

    /// Reads and checks settings for a purpose.
    ///
    /// # Errors
    /// All findings, if one of them is an error.
    pub fn load_for(path: &Path, purpose: Purpose) -> Result<Self, Vec<Finding>> {
        let source = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| unreadable(&source, &e))?;
        let files = |file: &str| std::fs::read_to_string(file).map_err(|e| e.to_string());
        let checked = Self::check_with(&source, &text, purpose, files);
        checked.settings.ok_or(checked.findings)
    }

    /// Checks the text of a node's settings without opening other files.
    pub fn check(source: &str, text: &str) -> CheckedSettings {
        Self::check_for(source, text, Purpose::Node)
    }

    /// Checks the text of settings for a purpose without opening other files.
    pub fn check_for(source: &str, text: &str, purpose: Purpose) -> CheckedSettings {
        // A file that is not opened counts as a secret of sufficient length.
        Self::check_with(source, text, purpose, |_| Ok("-".repeat(SECRET_BYTES)))
    }

    fn check_with(
        source: &str,
        text: &str,
        purpose: Purpose,
        files: impl Fn(&str) -> Result<String, String>,
    ) -> CheckedSettings {
        let mut report = Report::new(source, text);
        let tree = parse(&mut report, text);
        let top = Section::top(&mut report, tree.get_ref(), 0, "the settings", TOP);
        let settings = Reader { r: &mut report, purpose, files }.settings(&top);
        let findings = report.into_findings();
        let settings = settings.filter(|_| !has_errors(&findings));
        CheckedSettings { findings, settings }
    }

    /// Settings of the endpoint with this name: the exact entry, or the longest pattern.
    pub fn endpoint(&self, name: &str) -> Option<&EndpointSettings> {
        let fits = |e: &&EndpointSettings| match e.name.strip_suffix('*') {
            Some(start) => name.starts_with(start),
            None => e.name == name,
        };
        let rank = |e: &&EndpointSettings| (!e.name.ends_with('*'), e.name.len());
        self.endpoints.iter().filter(fits).max_by_key(rank)
    }
}

fn unreadable(source: &str, error: &std::io::Error) -> Vec<Finding> {
    let mut report = Report::new(source, "");
    report.add(0, "E100", format_args!("cannot read the file: {error}"), "check the path");
    report.into_findings()
}

struct Reader<'r, 'a, F> {
    r: &'r mut Report<'a>,
    purpose: Purpose,
    files: F,
}

impl<F: Fn(&str) -> Result<String, String>> Reader<'_, '_, F> {
    fn settings(&mut self, top: &Section<'_>) -> Option<Settings> {
        let node = self.name(top, "node", None);
        let domain = self.name(top, "domain", None);
        let cell = self.name(top, "cell", Some("cell"));
        let region = self.name(top, "region", Some("region"));
        let listen = self.section(top, "listen", "listen", &["callers", "peers", "admin"]);
        let mut address = |field, default: &str| {
            let found = listen.as_ref().and_then(|s| self.address(s, field));
            found.unwrap_or_else(|| default.parse().expect("default address"))
        };
        let listen = ListenAddresses {
            callers: address("callers", "0.0.0.0:8080"),
            peers: address("peers", "0.0.0.0:7070"),
            admin: address("admin", "127.0.0.1:8090"),
        };
        let secret = self.peers(top);
        let admin = self.admin(top);
        let platform = self.platform(top);
        let sections = top.sections(self.r, "endpoint", "an endpoint", ENDPOINT);
        let mut endpoints: Vec<EndpointSettings> = Vec::new();
        for s in &sections {
            let e = self.endpoint(s, &domain);
            if endpoints.iter().any(|x| x.name == e.name) && !e.name.is_empty() {
                let message = format!("endpoint `{}` is defined twice", e.name);
                self.r.add(s.at("name"), "E010", message, "remove or rename one of the two");
            }
            endpoints.push(e);
        }
        let limits = self.limits(top);
        let lease = self.lease(top);
        let log = self.log(top);
        let metrics = self.section(top, "metrics", "metrics", &["address"]);
        let metrics = metrics.and_then(|s| self.address(&s, "address"));
        Some(Settings {
            node,
            domain,
            cell,
            region,
            listen,
            peer_secret: secret,
            admin_digest: admin,
            platform: platform?,
            endpoints,
            limits,
            lease,
            log,
            statsd_address: metrics,
        })
    }

    fn section<'t>(
        &mut self,
        top: &Section<'t>,
        field: &str,
        what: &'static str,
        known: &[&str],
    ) -> Option<Section<'t>> {
        top.section(self.r, field, what, known)
    }

    /// A section that a node needs.
    fn needed<'t>(
        &mut self,
        top: &Section<'t>,
        field: &str,
        what: &'static str,
        known: &[&str],
        remedy: &str,
    ) -> Option<Section<'t>> {
        if !top.has(field) {
            self.r.add(0, "E003", format_args!("the settings have no `{field}`"), remedy);
        }
        self.section(top, field, what, known)
    }

    fn name(&mut self, s: &Section<'_>, field: &str, default: Option<&str>) -> String {
        let required = default.is_none() && self.purpose == Purpose::Node;
        let got = if required { Some(s.text(self.r, field)) } else { s.opt_text(self.r, field) };
        let Some(name) = got else { return default.unwrap_or_default().to_owned() };
        if s.has(field) && !is_name(name.get_ref()) {
            let remedy = "use letters, digits, `-`, `_` and `.`";
            let message = format!("`{field}` is not a valid name");
            self.r.add(name.span().start, "E012", message, remedy);
        }
        name.into_inner()
    }

    fn address(&mut self, s: &Section<'_>, field: &str) -> Option<SocketAddr> {
        let text = s.opt_text(self.r, field)?;
        let address = text.get_ref().parse().ok();
        if address.is_none() {
            let message = format!("`{field}` is not an IP address with a port");
            let remedy = "write for example \"10.0.0.5:8080\"; names are not resolved";
            self.r.add(text.span().start, "E101", message, remedy);
        }
        address
    }

    fn secret(&mut self, s: &Section<'_>) -> Option<Spanned<String>> {
        let (text, file) = (s.opt_text(self.r, "secret"), s.opt_text(self.r, "secret_file"));
        match (text, file) {
            (Some(text), None) => Some(text),
            (None, Some(file)) => match (self.files)(file.get_ref()) {
                Ok(text) => Some(Spanned::new(file.span(), text.trim_end().to_owned())),
                Err(e) => {
                    let message = format!("cannot read `{file}`: {e}");
                    self.r.add(file.span().start, "E100", message, "check the path and its mode");
                    None
                }
            },
            (Some(_), Some(file)) => {
                let message = "both `secret` and `secret_file` are given";
                self.r.add(file.span().start, "E102", message, "keep one of the two");
                None
            }
            (None, None) => None,
        }
    }

    fn peers(&mut self, top: &Section<'_>) -> Secret {
        if self.purpose == Purpose::Client && !top.has("peers") {
            return Secret::new("");
        }
        let remedy = "add [peers] with `secret_file` or `secret`, the same on all nodes";
        let known = ["secret", "secret_file"];
        let Some(s) = self.needed(top, "peers", "peers", &known, remedy) else {
            return Secret::new("");
        };
        let secret = self.secret(&s);
        match &secret {
            Some(x) if x.get_ref().len() < SECRET_BYTES => {
                let message = format!("the peer secret is shorter than {SECRET_BYTES} bytes");
                self.r.add(x.span().start, "E103", message, "use a random secret");
            }
            None if !s.has("secret") && !s.has("secret_file") => {
                self.r.add(s.offset(), "E003", "`peers` has no secret", remedy);
            }
            _ => {}
        }
        Secret::new(secret.map_or_else(String::new, Spanned::into_inner))
    }

    fn admin(&mut self, top: &Section<'_>) -> Digest {
        if self.purpose == Purpose::Client && !top.has("admin") {
            return Digest::default();
        }
        let remedy = "run `sycamorefork keys new` and add [admin] with its `digest`";
        let Some(s) = self.needed(top, "admin", "admin", &["digest"], remedy) else {
            return Digest::default();
        };
        let digest = s.text(self.r, "digest");
        let parsed = keys::parse_digest(digest.get_ref());
        if keys::looks_like_key(digest.get_ref()) {
            let message = "a credential stands here in clear text";
            self.r.add(digest.span().start, "E031", message, remedy);
        } else if parsed.is_none() && s.has("digest") {
            let message = "`digest` is not 64 lower-case hexadecimal digits";
            self.r.add(digest.span().start, "E030", message, remedy);
        }
        parsed.unwrap_or_default()
    }

    fn platform(&mut self, top: &Section<'_>) -> Option<PlatformSettings> {
        let remedy = "add [platform] with `table`, `objects` and `vms`";
        let s = self.needed(top, "platform", "platform", PLATFORM, remedy)?;
        let needed: &[&str] = if self.purpose == Purpose::Node {
            &["table", "objects", "vms"]
        } else {
            &["table", "objects"]
        };
        for field in needed.iter().filter(|f| !s.has(f)) {
            let message = format!("`platform` has no `{field}`");
            self.r.add(s.offset(), "E003", message, "add its IP address and port");
        }
        let (table, objects) = (self.address(&s, "table"), self.address(&s, "objects"));
        let vms = self.address(&s, "vms");
        let mut text = |field, default: &str| {
            let got = s.opt_text(self.r, field);
            got.map_or_else(|| default.to_owned(), Spanned::into_inner)
        };
        let table_name = text("table_name", "sycamorefork");
        let bucket = text("bucket", "sycamorefork");
        let region = text("region", "local");
        let access = text("access", "");
        let secret = self.secret(&s).map_or_else(String::new, Spanned::into_inner);
        Some(PlatformSettings {
            table: table?,
            objects: objects?,
            vms,
            table_name,
            bucket,
            region,
            access_key: access,
            secret_key: Secret::new(secret),
        })
    }

    fn endpoint(&mut self, s: &Section<'_>, domain: &str) -> EndpointSettings {
        let name = s.text(self.r, "name");
        let stem = name.get_ref().strip_suffix('*').unwrap_or(name.get_ref());
        if s.has("name") && !(is_name(stem) || name.get_ref() == "*") {
            let remedy = "write a name, or the start of names followed by `*`";
            self.r.add(name.span().start, "E012", "`name` is not a valid name", remedy);
        }
        let address = self.address(s, "address");
        if address.is_some() && name.get_ref().ends_with('*') {
            let message = "a pattern of several endpoints cannot have an address";
            self.r.add(s.at("address"), "E104", message, "remove `address` or name one endpoint");
        }
        let role = s.text(self.r, "role");
        let roles = ["engine", "service"];
        if s.has("role") && !roles.contains(&role.get_ref().as_str()) {
            let near = closest(role.get_ref(), roles).unwrap_or("engine` or `service");
            let message = format!("`{role}` is not a role");
            self.r.add(role.span().start, "E105", message, format_args!("write `{near}`"));
        }
        EndpointSettings {
            address,
            role: if role.get_ref() == "service" { Role::Service } else { Role::Engine },
            pool: self.name(s, "pool", None),
            slots: self.number(s, "slots", 8, 0, 100_000) as u32,
            max_running: self.number(s, "batch", 16, 1, 100_000) as u32,
            checks_fence: s.flag(self.r, "checks_fence", false),
            domain: self.name(s, "domain", Some(domain)),
            name: name.into_inner(),
        }
    }

    fn number(&mut self, s: &Section<'_>, field: &str, default: u64, least: u64, most: u64) -> u64 {
        let Some(n) = s.opt_count(self.r, field) else { return default };
        if !(least..=most).contains(n.get_ref()) {
            let message = format!("`{field}` is {n}");
            let remedy = format!("write a number from {least} to {most}");
            self.r.add(n.span().start, "E106", message, remedy);
        }
        n.into_inner()
    }

    fn time(&mut self, s: &Section<'_>, field: &str, default: Ms, least: Ms, most: Ms) -> Ms {
        let Some(t) = s.opt_duration(self.r, field) else { return default };
        if !(least..=most).contains(t.get_ref()) {
            let message = format!("`{field}` is {t}");
            let remedy = format!("write a time from {least} to {most}");
            self.r.add(t.span().start, "E107", message, remedy);
        }
        t.into_inner()
    }

    fn limits(&mut self, top: &Section<'_>) -> RequestLimits {
        let d = RequestLimits::default();
        let Some(s) = self.section(top, "limits", "limits", LIMITS) else { return d };
        let day = Ms::secs(86_400);
        RequestLimits {
            max_body: self.number(&s, "body", d.max_body, 1 << 10, 1 << 30),
            max_header: self.number(&s, "header", d.max_header, 1 << 10, 1 << 20),
            max_connections: self.number(&s, "connections", d.max_connections, 1, 1 << 20),
            body_timeout: self.time(&s, "slow", d.body_timeout, Ms(100), day),
            request_timeout: self.time(&s, "request", d.request_timeout, Ms(100), day),
            progress_timeout: self.time(&s, "progress", d.progress_timeout, Ms(100), day),
        }
    }

    fn lease(&mut self, top: &Section<'_>) -> LeaseTimes {
        let d = LeaseTimes::default();
        let known = ["ttl", "margin", "extension"];
        let Some(s) = self.section(top, "lease", "lease", &known) else { return d };
        let times = LeaseTimes {
            ttl: self.time(&s, "ttl", d.ttl, Ms(500), Ms::secs(60)),
            margin: self.time(&s, "margin", d.margin, Ms(10), Ms::secs(10)),
            extension: self.time(&s, "extension", d.extension, Ms(0), Ms::secs(3600)),
        };
        // A renewal is sent every third of the TTL; a larger margin would end the
        // lease before the first retry.
        if times.margin.0 * 3 > times.ttl.0 {
            let message = format!("`margin` is more than a third of `ttl` ({})", times.ttl);
            self.r.add(s.at("margin"), "E108", message, "lower `margin` or raise `ttl`");
        }
        times
    }

    fn log(&mut self, top: &Section<'_>) -> LogSettings {
        let s = self.section(top, "log", "log", &["directory", "level"]);
        let mut text = |field| s.as_ref().and_then(|s| s.opt_text(self.r, field));
        let directory = text("directory").map(|d| PathBuf::from(d.into_inner()));
        let level = text("level");
        let levels = ["error", "warn", "info", "debug", "trace"];
        if let Some(l) = level.as_ref().filter(|l| !levels.contains(&l.get_ref().as_str())) {
            let message = format!("`{l}` is not a log level");
            let remedy = format!("write one of {}", levels.join(", "));
            self.r.add(l.span().start, "E109", message, remedy);
        }
        LogSettings { directory, level: level.map_or_else(|| "info".into(), Spanned::into_inner) }
    }
}
