//! The commands of the command line.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use http::Method;
use pico_args::Arguments;
use rand::CryptoRng;
use serde_json::{Value, json};

use crate::burn_rate::BurnCounts;
use crate::cli::{Connect, OK, Output, REFUSED, Stop, World};
use crate::config_check::check_document;
use crate::config_diff::Change;
use crate::config_store::{self, ApplyResult, ChangeOrigin};
use crate::error::{Error, Result};
use crate::finding::{Finding, has_errors};
use crate::keys::Secret;
use crate::node_settings::{Purpose, Settings};
use crate::refusal_record::{format_instant, parse_instant};
use crate::refusal_store::{Filter, query};
use crate::{admin_client, key_withdrawal as edit, keys as key};

type Done = std::result::Result<Output, Stop>;

/// First port of the demo.
const DEMO_PORT: u16 = 8080;

fn finish(args: Arguments) -> std::result::Result<(), Stop> {
    match args.finish().first() {
        None => Ok(()),
        Some(extra) => Err(Stop::Usage(format!("unexpected argument {extra:?}"))),
    }
}

fn usage(message: &str) -> Stop {
    Stop::Usage(message.to_owned())
}

fn findings_text(findings: &[Finding]) -> String {
    findings.iter().map(|f| format!("{f}\n")).collect()
}

fn read(path: &Path) -> Result<String> {
    std::fs::read_to_string(path).map_err(|e| Error::input(&path.display().to_string(), e))
}

/// Settings for an operator's command, or the findings as output.
fn platform(path: &Path) -> std::result::Result<Settings, Box<Output>> {
    Settings::load_for(path, Purpose::Client).map_err(|f| Box::new(findings_output(&f)))
}

fn findings_output(findings: &[Finding]) -> Output {
    let code = if has_errors(findings) { REFUSED } else { OK };
    Output { text: findings_text(findings), json: json!({"findings": findings}), code }
}

/// `serve`: loads the settings, starts the log and runs the node.
pub async fn serve(mut args: Arguments) -> Done {
    let path: PathBuf = args.value_from_str("--settings")?;
    finish(args)?;
    let settings = match Settings::load(&path) {
        Ok(settings) => settings,
        Err(findings) => return Ok(findings_output(&findings)),
    };
    let log = crate::logging::start(&settings.log)?;
    let served = crate::node_tasks::serve(settings).await;
    drop(log);
    served?;
    Ok(Output::ok("", json!({"result": "ended"})))
}

/// `check`: findings of documents and settings.
pub fn check(mut args: Arguments) -> Done {
    let settings: Vec<PathBuf> = args.values_from_str("--settings")?;
    let clients: Vec<PathBuf> = args.values_from_str("--client")?;
    let documents = free(args)?;
    if documents.is_empty() && settings.is_empty() && clients.is_empty() {
        return Err(usage("name a document or settings to check"));
    }
    let mut findings = Vec::new();
    for path in &documents {
        findings.extend(check_document(&path.display().to_string(), &read(path)?).findings);
    }
    let nodes = settings.iter().map(|p| (p, Purpose::Node));
    for (path, purpose) in nodes.chain(clients.iter().map(|p| (p, Purpose::Client))) {
        let (source, text) = (path.display().to_string(), read(path)?);
        findings.extend(Settings::check_for(&source, &text, purpose).findings);
    }
    let mut output = findings_output(&findings);
    let errors = findings.iter().filter(|f| f.code.starts_with('E')).count();
    let warnings = findings.len() - errors;
    let _ = writeln!(output.text, "{errors} errors, {warnings} warnings");
    Ok(output)
}

fn free(args: Arguments) -> std::result::Result<Vec<PathBuf>, Stop> {
    let rest = args.finish();
    match rest.iter().find(|a| a.to_string_lossy().starts_with('-')) {
        Some(option) => Err(Stop::Usage(format!("unknown option {option:?}"))),
        None => Ok(rest.into_iter().map(PathBuf::from).collect()),
    }
}

fn stamp<C, R: CryptoRng>(world: &mut World<C, R>, by: Option<String>) -> ChangeOrigin {
    let mut id = [0; 16];
    world.rng.fill_bytes(&mut id);
    let by = by.unwrap_or_else(|| world.user.clone());
    ChangeOrigin { operator: by, time: world.now, txn_id: hex::encode(id) }
}

/// `apply`: brings a document into force.
pub async fn apply<C: Connect, R: CryptoRng>(mut args: Arguments, world: &mut World<C, R>) -> Done {
    let path: PathBuf = args.value_from_str("--settings")?;
    let expected = args.opt_value_from_str("--expect")?;
    let by = args.opt_value_from_str("--by")?;
    let documents = free(args)?;
    let [document] = documents.as_slice() else { return Err(usage("name one document")) };
    let settings = match platform(&path) {
        Ok(settings) => settings,
        Err(output) => return Ok(*output),
    };
    let text = read(document)?;
    let (table, objects) = world.connect.connect(&settings)?;
    let stamp = stamp(world, by);
    let source = document.display().to_string();
    Ok(applied(&config_store::apply(&table, &objects, &source, &text, expected, &stamp).await?))
}

/// `promote`: copies a document from trial to production.
pub async fn promote<C: Connect, R: CryptoRng>(
    mut args: Arguments,
    world: &mut World<C, R>,
) -> Done {
    let from: PathBuf = args.value_from_str("--from")?;
    let to: PathBuf = args.value_from_str("--to")?;
    let digest: Option<String> = args.opt_value_from_str("--digest")?;
    let expected = args.opt_value_from_str("--expect")?;
    let by = args.opt_value_from_str("--by")?;
    finish(args)?;
    let (from, to) = match (platform(&from), platform(&to)) {
        (Ok(from), Ok(to)) => (from, to),
        (Err(output), _) | (_, Err(output)) => return Ok(*output),
    };
    let trial = world.connect.connect(&from)?;
    let production = world.connect.connect(&to)?;
    let stamp = stamp(world, by);
    let (trial, production) = ((&trial.0, &trial.1), (&production.0, &production.1));
    Ok(applied(
        &config_store::promote(trial, production, digest.as_deref(), expected, &stamp).await?,
    ))
}

fn changes_text(changes: &[Change]) -> String {
    changes.iter().map(|c| format!("  {c}\n")).collect()
}

fn applied(result: &ApplyResult) -> Output {
    let (text, code) = match result {
        ApplyResult::Accepted { head, findings, changes } => (
            format!(
                "{}serial {} is accepted, digest {}\n{}",
                findings_text(findings),
                head.serial,
                head.digest,
                changes_text(changes)
            ),
            OK,
        ),
        ApplyResult::Unchanged { head } => {
            (format!("serial {} already has this document\n", head.serial), OK)
        }
        ApplyResult::Refused { findings } => (findings_text(findings), REFUSED),
        ApplyResult::Conflict { head, changes } => {
            let mut text = match head {
                Some(h) => format!(
                    "nothing was changed: serial {} by {} at {} is in force\n",
                    h.serial,
                    h.by,
                    format_instant(h.at.0)
                ),
                None => "nothing was changed: no configuration is in force\n".to_owned(),
            };
            text.push_str("your document would change it as follows:\n");
            text.push_str(&changes_text(changes));
            (text, REFUSED)
        }
    };
    Output { text, json: serde_json::to_value(result).unwrap_or(Value::Null), code }
}

/// `keys`: new keys, digests and withdrawal.
pub fn keys<C, R: CryptoRng>(mut args: Arguments, world: &mut World<C, R>) -> Done {
    match args.subcommand()?.as_deref() {
        Some("new") => {
            let id: Option<String> = args.opt_value_from_str("--id")?;
            let team: Option<String> = args.opt_value_from_str("--team")?;
            finish(args)?;
            let (secret, digest) = key::generate_key(&mut world.rng);
            let (id, team) = (id.as_deref().unwrap_or("ID"), team.as_deref().unwrap_or("TEAM"));
            let text = format!(
                "key (shown only now): {secret}\n\n[[key]]\nid = \"{id}\"\nteam = \"{team}\"\n\
                 digest = \"{digest}\"\n"
            );
            Ok(Output::ok(text, json!({"key": secret, "digest": digest})))
        }
        Some("digest") => {
            finish(args)?;
            let mut line = String::new();
            std::io::stdin().read_line(&mut line).map_err(|e| Error::input("standard input", e))?;
            let secret = Secret::new(line.trim());
            if secret.is_empty() {
                return Err(usage("write the key to standard input"));
            }
            let digest = hex::encode(secret.digest());
            Ok(Output::ok(format!("{digest}\n"), json!({"digest": digest})))
        }
        Some("withdraw") => {
            let path: PathBuf = args.value_from_str("--document")?;
            let id: String = args.free_from_str()?;
            finish(args)?;
            withdraw(&path, &id)
        }
        _ => Err(usage("write `keys new`, `keys digest` or `keys withdraw`")),
    }
}

fn withdraw(path: &Path, id: &str) -> Done {
    let (source, text) = (path.display().to_string(), read(path)?);
    let next = format!("sycamorefork apply {source} --settings FILE");
    let Some(edited) = edit::withdraw_key(&source, &text, id)? else {
        let text = format!("key {id} is withdrawn in {source} already\nnext: {next}\n");
        return Ok(Output::ok(text, json!({"result": "unchanged", "next": next})));
    };
    replace(path, &edited)?;
    let mut output = Output::ok(
        format!("key {id} is marked as withdrawn in {source}\nnext: {next}\n"),
        json!({"result": "edited", "next": next}),
    );
    if !edit::is_acceptable(&source, &edited) {
        output.text.push_str("the document has errors; run `sycamorefork check` first\n");
        output.json["acceptable"] = false.into();
    }
    Ok(output)
}

/// Replaces a file by renaming, so that a crash leaves the old or the new text.
fn replace(path: &Path, text: &str) -> Result<()> {
    let failed = |e| Error::input(&path.display().to_string(), format_args!("cannot write: {e}"));
    let mut name = path.file_name().unwrap_or_default().to_owned();
    name.push(".new");
    let new = path.with_file_name(name);
    std::fs::write(&new, text).map_err(failed)?;
    let mode = std::fs::metadata(path).map_err(failed)?.permissions();
    std::fs::set_permissions(&new, mode).map_err(failed)?;
    std::fs::rename(&new, path).map_err(failed)
}

fn credential<C, R>(
    args: &mut Arguments,
    world: &World<C, R>,
) -> std::result::Result<Secret, Stop> {
    let file: Option<PathBuf> = args.opt_value_from_str("--credential-file")?;
    match (file, &world.credential) {
        (Some(path), _) => Ok(Secret::new(read(&path)?.trim())),
        (None, Some(secret)) => Ok(secret.clone()),
        (None, None) => {
            Err(usage("give --credential-file or set SYCAMOREFORK_CREDENTIAL in the environment"))
        }
    }
}

/// `status`: state of a node, or the configuration's history.
pub async fn status<C: Connect, R>(mut args: Arguments, world: &World<C, R>) -> Done {
    if args.contains("--history") {
        let path: PathBuf = args.value_from_str("--settings")?;
        finish(args)?;
        let settings = match platform(&path) {
            Ok(settings) => settings,
            Err(output) => return Ok(*output),
        };
        let (table, _) = world.connect.connect(&settings)?;
        let heads = config_store::read_history(&table).await?;
        let line = |h: &config_store::ConfigHead| {
            format!("{:>8}  {}  {}  {}\n", h.serial, format_instant(h.at.0), h.digest, h.by)
        };
        let text: String = heads.iter().map(line).collect();
        return Ok(Output::ok(text, json!({"history": heads})));
    }
    let admin: SocketAddr = args.value_from_str("--admin")?;
    let credential = credential(&mut args, world)?;
    let lift: Option<String> = args.opt_value_from_str("--lift")?;
    finish(args)?;
    if let Some(fingerprint) = lift {
        let path = format!("/quarantine/lift/{fingerprint}");
        let state = admin_client::call(admin, Method::POST, &path, &credential).await?;
        return Ok(Output::ok(lines(&state), state));
    }
    let state = admin_client::call(admin, Method::GET, "/status", &credential).await?;
    Ok(Output::ok(lines(&state), state))
}

/// `drain`: lets a node leave.
pub async fn drain<C, R>(mut args: Arguments, world: &World<C, R>) -> Done {
    let admin: SocketAddr = args.value_from_str("--admin")?;
    let credential = credential(&mut args, world)?;
    finish(args)?;
    let state = admin_client::call(admin, Method::POST, "/drain", &credential).await?;
    Ok(Output::ok(lines(&state), state))
}

/// `burn`: service-level burn of one or several nodes.
pub async fn burn<C, R>(mut args: Arguments, world: &World<C, R>) -> Done {
    let nodes: Vec<SocketAddr> = args.values_from_str("--admin")?;
    let credential = credential(&mut args, world)?;
    finish(args)?;
    if nodes.is_empty() {
        return Err(usage("name at least one node with --admin"));
    }
    let mut sum = BurnCounts::default();
    for node in nodes {
        let state = admin_client::call(node, Method::GET, "/burn", &credential).await?;
        let state: BurnCounts = serde_json::from_value(state)
            .map_err(|e| Error::platform(&node.to_string(), format_args!("unreadable: {e}")))?;
        sum.merge(&state);
    }
    let report = sum.report(world.now);
    Ok(Output::ok(report.text(), json!(report)))
}

/// `refusals`: reads refusal records.
pub async fn refusals<C: Connect, R>(mut args: Arguments, world: &World<C, R>) -> Done {
    let path: PathBuf = args.value_from_str("--settings")?;
    let mut filter = Filter {
        team: args.opt_value_from_str("--team")?,
        reason: args.opt_value_from_str("--reason")?,
        id: args.opt_value_from_str("--id")?,
        key: args.opt_value_from_str("--key")?,
        from: args.opt_value_from_fn("--from", parse_instant)?,
        to: args.opt_value_from_fn("--to", parse_instant)?,
    };
    finish(args)?;
    if filter.from.is_some() && filter.to.is_none() {
        filter.to = Some(world.now.0);
    }
    let settings = match platform(&path) {
        Ok(settings) => settings,
        Err(output) => return Ok(*output),
    };
    let (_, objects) = world.connect.connect(&settings)?;
    let found = query(&objects, &filter).await?;
    Ok(Output::ok(found.text(), json!(found)))
}

/// `demo`: everything in one process.
pub async fn demo(mut args: Arguments) -> Done {
    let port = args.opt_value_from_str("--port-base")?.unwrap_or(DEMO_PORT);
    finish(args)?;
    crate::demo::run(port).await?;
    Ok(Output::ok("", json!({"result": "ended"})))
}

/// Indented lines of a JSON value, one per field.
fn lines(value: &Value) -> String {
    fn write(out: &mut String, value: &Value, indent: usize) {
        let Value::Object(fields) = value else {
            let _ = writeln!(out, "{:indent$}{}", "", scalar(value));
            return;
        };
        for (name, v) in fields {
            match v {
                Value::Object(_) => {
                    let _ = writeln!(out, "{:indent$}{name}:", "");
                    write(out, v, indent + 2);
                }
                Value::Array(items) if items.iter().any(Value::is_object) => {
                    let _ = writeln!(out, "{:indent$}{name}:", "");
                    for item in items {
                        let _ = writeln!(out, "{:indent$}  -", "");
                        write(out, item, indent + 4);
                    }
                }
                _ => {
                    let _ = writeln!(out, "{:indent$}{name}: {}", "", scalar(v));
                }
            }
        }
    }
    fn scalar(value: &Value) -> String {
        value.as_str().map_or_else(|| value.to_string(), str::to_owned)
    }
    let mut out = String::new();
    write(&mut out, value, 0);
    out
}
