//! Commands of the command line interface.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use http::Method;
use pico_args::Arguments;
use rand::CryptoRng;
use serde_json::{Value, json};

use crate::burn_rate::BurnCounts;
use crate::cli::{CommandError, Connect, EXIT_OK, EXIT_REFUSED, Environment, Output};
use crate::config_check::check_document;
use crate::config_diff::Change;
use crate::config_store::{self, ApplyResult, ChangeOrigin};
use crate::error::{Error, Result};
use crate::finding::{Finding, has_errors};
use crate::keys::{self, Secret};
use crate::node_settings::{Purpose, Settings};
use crate::refusal_record::{format_instant, parse_instant};
use crate::refusal_store::{Filter, query};
use crate::{admin_client, key_withdrawal};

type CommandResult = std::result::Result<Output, CommandError>;

/// Default of `--port-base` for the demo.
const DEFAULT_PORT_BASE: u16 = 8080;

/// Fails if arguments are left.
fn reject_extra(args: Arguments) -> std::result::Result<(), CommandError> {
    match args.finish().first() {
        None => Ok(()),
        Some(extra) => Err(CommandError::Usage(format!("unexpected argument {extra:?}"))),
    }
}

fn usage_error(message: &str) -> CommandError {
    CommandError::Usage(message.to_owned())
}

fn findings_text(findings: &[Finding]) -> String {
    findings.iter().map(|f| format!("{f}\n")).collect()
}

fn read_file(path: &Path) -> Result<String> {
    std::fs::read_to_string(path).map_err(|e| Error::input(&path.display().to_string(), e))
}

/// Loads the settings for an operator's command; on errors, returns the findings as output.
fn load_client_settings(path: &Path) -> std::result::Result<Settings, Box<Output>> {
    Settings::load_for(path, Purpose::Client).map_err(|f| Box::new(findings_output(&f)))
}

fn findings_output(findings: &[Finding]) -> Output {
    let code = if has_errors(findings) { EXIT_REFUSED } else { EXIT_OK };
    Output { text: findings_text(findings), json: json!({"findings": findings}), code }
}

/// `serve`: loads the settings, starts logging and runs a node.
pub async fn serve(mut args: Arguments) -> CommandResult {
    let path: PathBuf = args.value_from_str("--settings")?;
    reject_extra(args)?;
    let settings = match Settings::load(&path) {
        Ok(settings) => settings,
        Err(findings) => return Ok(findings_output(&findings)),
    };
    let logger = crate::logging::start(&settings.log)?;
    let result = crate::node_tasks::serve(settings).await;
    drop(logger);
    result?;
    Ok(Output::success("", json!({"result": "ended"})))
}

/// `check`: prints the findings of documents and settings.
pub fn check(mut args: Arguments) -> CommandResult {
    let settings: Vec<PathBuf> = args.values_from_str("--settings")?;
    let clients: Vec<PathBuf> = args.values_from_str("--client")?;
    let documents = free_paths(args)?;
    if documents.is_empty() && settings.is_empty() && clients.is_empty() {
        return Err(usage_error("specify a document or settings to check"));
    }
    let mut findings = Vec::new();
    for path in &documents {
        findings.extend(check_document(&path.display().to_string(), &read_file(path)?).findings);
    }
    let node_settings = settings.iter().map(|p| (p, Purpose::Node));
    for (path, purpose) in node_settings.chain(clients.iter().map(|p| (p, Purpose::Client))) {
        let (source, text) = (path.display().to_string(), read_file(path)?);
        findings.extend(Settings::check_for(&source, &text, purpose).findings);
    }
    let mut output = findings_output(&findings);
    let errors = findings.iter().filter(|f| f.code.starts_with('E')).count();
    let warnings = findings.len() - errors;
    let _ = writeln!(output.text, "{errors} errors, {warnings} warnings");
    Ok(output)
}

/// The remaining arguments as paths; fails if one of them is an option.
fn free_paths(args: Arguments) -> std::result::Result<Vec<PathBuf>, CommandError> {
    let rest = args.finish();
    match rest.iter().find(|a| a.to_string_lossy().starts_with('-')) {
        Some(option) => Err(CommandError::Usage(format!("unknown option {option:?}"))),
        None => Ok(rest.into_iter().map(PathBuf::from).collect()),
    }
}

/// Origin of a change: the operator, the time and a random transaction id.
fn change_origin<C, R: CryptoRng>(env: &mut Environment<C, R>, by: Option<String>) -> ChangeOrigin {
    let mut id = [0; 16];
    env.rng.fill_bytes(&mut id);
    let operator = by.unwrap_or_else(|| env.user.clone());
    ChangeOrigin { operator, time: env.now, txn_id: hex::encode(id) }
}

/// `apply`: makes a document the configuration in force.
pub async fn apply<C: Connect, R: CryptoRng>(
    mut args: Arguments,
    env: &mut Environment<C, R>,
) -> CommandResult {
    let path: PathBuf = args.value_from_str("--settings")?;
    let expected = args.opt_value_from_str("--expect")?;
    let by = args.opt_value_from_str("--by")?;
    let documents = free_paths(args)?;
    let [document] = documents.as_slice() else {
        return Err(usage_error("specify exactly one document"));
    };
    let settings = match load_client_settings(&path) {
        Ok(settings) => settings,
        Err(output) => return Ok(*output),
    };
    let text = read_file(document)?;
    let (table, objects) = env.connect.connect(&settings)?;
    let origin = change_origin(env, by);
    let source = document.display().to_string();
    Ok(apply_output(
        &config_store::apply(&table, &objects, &source, &text, expected, &origin).await?,
    ))
}

/// `promote`: copies a document from the trial to the production environment.
pub async fn promote<C: Connect, R: CryptoRng>(
    mut args: Arguments,
    env: &mut Environment<C, R>,
) -> CommandResult {
    let from: PathBuf = args.value_from_str("--from")?;
    let to: PathBuf = args.value_from_str("--to")?;
    let digest: Option<String> = args.opt_value_from_str("--digest")?;
    let expected = args.opt_value_from_str("--expect")?;
    let by = args.opt_value_from_str("--by")?;
    reject_extra(args)?;
    let (from, to) = match (load_client_settings(&from), load_client_settings(&to)) {
        (Ok(from), Ok(to)) => (from, to),
        (Err(output), _) | (_, Err(output)) => return Ok(*output),
    };
    let trial = env.connect.connect(&from)?;
    let production = env.connect.connect(&to)?;
    let origin = change_origin(env, by);
    let (trial, production) = ((&trial.0, &trial.1), (&production.0, &production.1));
    Ok(apply_output(
        &config_store::promote(trial, production, digest.as_deref(), expected, &origin).await?,
    ))
}

fn changes_text(changes: &[Change]) -> String {
    changes.iter().map(|c| format!("  {c}\n")).collect()
}

fn apply_output(result: &ApplyResult) -> Output {
    let (text, code) = match result {
        ApplyResult::Accepted { head, findings, changes } => (
            format!(
                "{}serial {} is accepted, digest {}\n{}",
                findings_text(findings),
                head.serial,
                head.digest,
                changes_text(changes)
            ),
            EXIT_OK,
        ),
        ApplyResult::Unchanged { head } => {
            (format!("serial {} already has this document\n", head.serial), EXIT_OK)
        }
        ApplyResult::Refused { findings } => (findings_text(findings), EXIT_REFUSED),
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
            (text, EXIT_REFUSED)
        }
    };
    Output { text, json: serde_json::to_value(result).unwrap_or(Value::Null), code }
}

/// `keys`: generates keys, prints digests and withdraws keys.
pub fn keys<C, R: CryptoRng>(mut args: Arguments, env: &mut Environment<C, R>) -> CommandResult {
    match args.subcommand()?.as_deref() {
        Some("new") => {
            let id: Option<String> = args.opt_value_from_str("--id")?;
            let team: Option<String> = args.opt_value_from_str("--team")?;
            reject_extra(args)?;
            let (secret, digest) = keys::generate_key(&mut env.rng);
            let (id, team) = (id.as_deref().unwrap_or("ID"), team.as_deref().unwrap_or("TEAM"));
            let text = format!(
                "key (shown only now): {secret}\n\n[[key]]\nid = \"{id}\"\nteam = \"{team}\"\n\
                 digest = \"{digest}\"\n"
            );
            Ok(Output::success(text, json!({"key": secret, "digest": digest})))
        }
        Some("digest") => {
            reject_extra(args)?;
            let mut line = String::new();
            std::io::stdin().read_line(&mut line).map_err(|e| Error::input("standard input", e))?;
            let secret = Secret::new(line.trim());
            if secret.is_empty() {
                return Err(usage_error("standard input contains no key"));
            }
            let digest = hex::encode(secret.digest());
            Ok(Output::success(format!("{digest}\n"), json!({"digest": digest})))
        }
        Some("withdraw") => {
            let path: PathBuf = args.value_from_str("--document")?;
            let id: String = args.free_from_str()?;
            reject_extra(args)?;
            withdraw_in_file(&path, &id)
        }
        _ => Err(usage_error("use `keys new`, `keys digest` or `keys withdraw`")),
    }
}

/// Marks a key as withdrawn in a document file.
fn withdraw_in_file(path: &Path, id: &str) -> CommandResult {
    let (source, text) = (path.display().to_string(), read_file(path)?);
    let next = format!("sycamorefork apply {source} --settings FILE");
    let Some(edited) = key_withdrawal::withdraw_key(&source, &text, id)? else {
        let text = format!("key {id} is already withdrawn in {source}\nnext: {next}\n");
        return Ok(Output::success(text, json!({"result": "unchanged", "next": next})));
    };
    replace_file(path, &edited)?;
    let mut output = Output::success(
        format!("key {id} is marked as withdrawn in {source}\nnext: {next}\n"),
        json!({"result": "edited", "next": next}),
    );
    if !key_withdrawal::is_acceptable(&source, &edited) {
        output.text.push_str("the document has errors; run `sycamorefork check` first\n");
        output.json["acceptable"] = false.into();
    }
    Ok(output)
}

/// Replaces a file atomically by renaming, so that after a crash it has the old or the new
/// text.
fn replace_file(path: &Path, text: &str) -> Result<()> {
    let failed = |e| Error::input(&path.display().to_string(), format_args!("cannot write: {e}"));
    let mut name = path.file_name().unwrap_or_default().to_owned();
    name.push(".new");
    let temporary = path.with_file_name(name);
    std::fs::write(&temporary, text).map_err(failed)?;
    let mode = std::fs::metadata(path).map_err(failed)?.permissions();
    std::fs::set_permissions(&temporary, mode).map_err(failed)?;
    std::fs::rename(&temporary, path).map_err(failed)
}

/// Operators' credential from `--credential-file` or the environment.
fn read_credential<C, R>(
    args: &mut Arguments,
    env: &Environment<C, R>,
) -> std::result::Result<Secret, CommandError> {
    let file: Option<PathBuf> = args.opt_value_from_str("--credential-file")?;
    match (file, &env.credential) {
        (Some(path), _) => Ok(Secret::new(read_file(&path)?.trim())),
        (None, Some(secret)) => Ok(secret.clone()),
        (None, None) => Err(usage_error(
            "use --credential-file or set SYCAMOREFORK_CREDENTIAL in the environment",
        )),
    }
}

/// `status`: prints the state of a node or the history of the configuration.
pub async fn status<C: Connect, R>(mut args: Arguments, env: &Environment<C, R>) -> CommandResult {
    if args.contains("--history") {
        let path: PathBuf = args.value_from_str("--settings")?;
        reject_extra(args)?;
        let settings = match load_client_settings(&path) {
            Ok(settings) => settings,
            Err(output) => return Ok(*output),
        };
        let (table, _) = env.connect.connect(&settings)?;
        let heads = config_store::read_history(&table).await?;
        let line = |h: &config_store::ConfigHead| {
            format!("{:>8}  {}  {}  {}\n", h.serial, format_instant(h.at.0), h.digest, h.by)
        };
        let text: String = heads.iter().map(line).collect();
        return Ok(Output::success(text, json!({"history": heads})));
    }
    let admin: SocketAddr = args.value_from_str("--admin")?;
    let credential = read_credential(&mut args, env)?;
    let lift: Option<String> = args.opt_value_from_str("--lift")?;
    reject_extra(args)?;
    if let Some(fingerprint) = lift {
        let path = format!("/quarantine/lift/{fingerprint}");
        let state = admin_client::call(admin, Method::POST, &path, &credential).await?;
        return Ok(Output::success(indented_text(&state), state));
    }
    let state = admin_client::call(admin, Method::GET, "/status", &credential).await?;
    Ok(Output::success(indented_text(&state), state))
}

/// `drain`: tells a node to finish its requests and exit.
pub async fn drain<C, R>(mut args: Arguments, env: &Environment<C, R>) -> CommandResult {
    let admin: SocketAddr = args.value_from_str("--admin")?;
    let credential = read_credential(&mut args, env)?;
    reject_extra(args)?;
    let state = admin_client::call(admin, Method::POST, "/drain", &credential).await?;
    Ok(Output::success(indented_text(&state), state))
}

/// `burn`: prints the burn rates of the service levels, summed over the given nodes.
pub async fn burn<C, R>(mut args: Arguments, env: &Environment<C, R>) -> CommandResult {
    let nodes: Vec<SocketAddr> = args.values_from_str("--admin")?;
    let credential = read_credential(&mut args, env)?;
    reject_extra(args)?;
    if nodes.is_empty() {
        return Err(usage_error("specify at least one node with --admin"));
    }
    let mut total = BurnCounts::default();
    for node in nodes {
        let state = admin_client::call(node, Method::GET, "/burn", &credential).await?;
        let counts: BurnCounts = serde_json::from_value(state).map_err(|e| {
            Error::platform(&node.to_string(), format_args!("invalid response: {e}"))
        })?;
        total.merge(&counts);
    }
    let report = total.report(env.now);
    Ok(Output::success(report.text(), json!(report)))
}

/// `refusals`: prints the refusal records that match a filter.
pub async fn refusals<C: Connect, R>(
    mut args: Arguments,
    env: &Environment<C, R>,
) -> CommandResult {
    let path: PathBuf = args.value_from_str("--settings")?;
    let mut filter = Filter {
        team: args.opt_value_from_str("--team")?,
        reason: args.opt_value_from_str("--reason")?,
        id: args.opt_value_from_str("--id")?,
        key: args.opt_value_from_str("--key")?,
        from: args.opt_value_from_fn("--from", parse_instant)?,
        to: args.opt_value_from_fn("--to", parse_instant)?,
    };
    reject_extra(args)?;
    if filter.from.is_some() && filter.to.is_none() {
        filter.to = Some(env.now.0);
    }
    let settings = match load_client_settings(&path) {
        Ok(settings) => settings,
        Err(output) => return Ok(*output),
    };
    let (_, objects) = env.connect.connect(&settings)?;
    let found = query(&objects, &filter).await?;
    Ok(Output::success(found.text(), json!(found)))
}

/// `demo`: runs two nodes, an in-memory platform and sample endpoints in one process.
pub async fn demo(mut args: Arguments) -> CommandResult {
    let port = args.opt_value_from_str("--port-base")?.unwrap_or(DEFAULT_PORT_BASE);
    reject_extra(args)?;
    crate::demo::run(port).await?;
    Ok(Output::success("", json!({"result": "ended"})))
}

/// Formats a JSON value as indented lines, one per field.
fn indented_text(value: &Value) -> String {
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
