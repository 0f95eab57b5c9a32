//! Program with stand-ins for the platform and its endpoints, and a load tool.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::str::FromStr;
use std::time::Duration;

use pico_args::Arguments;
use standin::load::{Caller, LoadPlan, run_load};
use standin::platform::{Platform, PlatformSpec};
use standin::weight_store::WeightStoreSpec;
use sycamorefork::faulty_listener::RunningServer;
use sycamorefork::sample_engine::{EngineSpec, SampleEngine};
use sycamorefork::sample_service::{SampleService, ServiceSpec};
use sycamorefork::time::Ms;

const HELP: &str = "\
Stand-ins for the platform and the endpoints, and a load tool.

standin platform --listen ADDR [--writes N/S] [--reads N/S] [--page N] [--lag MS]
        [--loads N/S] [--parallel N] [--load-ms MS] [--knee N]
standin endpoint --listen ADDR --name N [--role engine|service] [--checks-fence]
        engine: [--base MODEL] [--slots N] [--batch N] [--load-ms MS] [--first-ms MS]
                [--rate TOKENS/S] [--no-resume] [--lag MS] [--weights ADDR]
        service: [--time-ms MS]
standin load --targets ADDR,ADDR --rate N/S --seconds S --keys FILE|KEY,KEY
        [--models M,M] [--mix STREAM:WHOLE:SERVICE] [--service PATH] [--repeat PERCENT]
        [--tokens N] [--deadline-ms MS] [--seed N]

A key is KEY or KEY=MODEL+MODEL; a file has one per line. Keys without models use
--models. Servers print `listening on ADDR` as their first line; port 0 chooses one.
The load tool prints a JSON report; its exit code is 1 if an answer was wrong.
";

fn main() -> ExitCode {
    let mut args = Arguments::from_env();
    if args.contains("--help") {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    let command = args.subcommand().ok().flatten().unwrap_or_default();
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => return fail(&e.to_string()),
    };
    let result = match command.as_str() {
        "platform" => runtime.block_on(platform(args)),
        "endpoint" => runtime.block_on(endpoint(args)),
        "load" => runtime.block_on(load(args)),
        _ => Err(format!("unknown command {command:?}; see --help")),
    };
    match result {
        Ok(code) => code,
        Err(e) => fail(&e),
    }
}

fn fail(reason: &str) -> ExitCode {
    eprintln!("standin: {reason}");
    ExitCode::from(2)
}

type Result<T> = std::result::Result<T, String>;

/// Returns the value of an option, or a default.
fn optional<T: FromStr>(args: &mut Arguments, name: &'static str, default: T) -> Result<T> {
    let text: Option<String> = args.opt_value_from_str(name).map_err(|e| e.to_string())?;
    match text {
        None => Ok(default),
        Some(text) => text.parse().map_err(|_| format!("{name}: {text:?} is not valid")),
    }
}

fn required<T: FromStr>(args: &mut Arguments, name: &'static str) -> Result<T> {
    let text: String = args.value_from_str(name).map_err(|e| e.to_string())?;
    text.parse().map_err(|_| format!("{name}: {text:?} is not valid"))
}

/// Fails if arguments are left over.
fn reject_extra(args: Arguments) -> Result<()> {
    match args.finish().first() {
        Some(extra) => Err(format!("unexpected argument {extra:?}")),
        None => Ok(()),
    }
}

/// Prints the address of a server and waits until the server ends.
async fn serve_until_end(running: std::io::Result<RunningServer>) -> Result<ExitCode> {
    let running = running.map_err(|e| e.to_string())?;
    println!("listening on {}", running.addr);
    running.wait().await.map_err(|e| e.to_string())?;
    Ok(ExitCode::SUCCESS)
}

async fn platform(mut args: Arguments) -> Result<ExitCode> {
    let listen = required(&mut args, "--listen")?;
    let default = PlatformSpec::default();
    let (weights, lag) = (default.weights, default.vm_list_age.as_millis() as u64);
    let load = weights.load_time.as_millis() as u64;
    let spec = PlatformSpec {
        writes: optional(&mut args, "--writes", default.writes)?,
        reads: optional(&mut args, "--reads", default.reads)?,
        page_size: optional(&mut args, "--page", default.page_size)?,
        vm_list_age: Duration::from_millis(optional(&mut args, "--lag", lag)?),
        weights: WeightStoreSpec {
            start_rate: optional(&mut args, "--loads", weights.start_rate)?,
            parallel: optional(&mut args, "--parallel", weights.parallel)?,
            load_time: Duration::from_millis(optional(&mut args, "--load-ms", load)?),
            slowdown_above: optional(&mut args, "--knee", weights.slowdown_above)?,
        },
    };
    reject_extra(args)?;
    serve_until_end(Platform::new(spec).serve(listen).await).await
}

async fn endpoint(mut args: Arguments) -> Result<ExitCode> {
    let listen: SocketAddr = required(&mut args, "--listen")?;
    let name: String = required(&mut args, "--name")?;
    let role = optional(&mut args, "--role", "engine".to_owned())?;
    let checks_fence = args.contains("--checks-fence");
    match role.as_str() {
        "engine" => {
            let default = EngineSpec::default();
            let weights: Option<String> =
                args.opt_value_from_str("--weights").map_err(|e| e.to_string())?;
            let spec = EngineSpec {
                name,
                checks_fence,
                base: optional(&mut args, "--base", default.base)?,
                slots: optional(&mut args, "--slots", default.slots)?,
                batch: optional(&mut args, "--batch", default.batch)?,
                load_time: Ms(optional(&mut args, "--load-ms", default.load_time.0)?),
                first_token: Ms(optional(&mut args, "--first-ms", default.first_token.0)?),
                token_rate: optional(&mut args, "--rate", default.token_rate)?,
                resumable: !args.contains("--no-resume"),
                report_age: Ms(optional(&mut args, "--lag", default.report_age.0)?),
                weight_store: weights
                    .map(|text| text.parse().map_err(|_| format!("--weights: {text:?}")))
                    .transpose()?,
            };
            reject_extra(args)?;
            serve_until_end(SampleEngine::new(spec).serve(listen).await).await
        }
        "service" => {
            let call_time =
                Ms(optional(&mut args, "--time-ms", ServiceSpec::default().call_time.0)?);
            reject_extra(args)?;
            serve_until_end(
                SampleService::new(ServiceSpec { name, call_time, checks_fence })
                    .serve(listen)
                    .await,
            )
            .await
        }
        _ => Err(format!("--role: {role:?} is not valid")),
    }
}

async fn load(mut args: Arguments) -> Result<ExitCode> {
    let targets: String = required(&mut args, "--targets")?;
    let targets = targets
        .split(',')
        .map(|t| t.parse().map_err(|_| format!("--targets: {t:?} is not valid")))
        .collect::<Result<Vec<SocketAddr>>>()?;
    let keys: String = required(&mut args, "--keys")?;
    let models = optional(&mut args, "--models", "base".to_owned())?;
    let mix = optional(&mut args, "--mix", "2:1:1".to_owned())?;
    let shares: Vec<u64> = mix.split(':').filter_map(|s| s.parse().ok()).collect();
    let mix = <[u64; 3]>::try_from(shares).map_err(|_| format!("--mix: {mix:?} is not valid"))?;
    let plan = LoadPlan {
        targets,
        rate: required(&mut args, "--rate")?,
        duration: Duration::from_secs_f64(required(&mut args, "--seconds")?),
        callers: parse_callers(&keys, &models)?,
        mix,
        service: optional(&mut args, "--service", "/services/bookings/book".to_owned())?,
        repeat_percent: optional(&mut args, "--repeat", 0)?,
        max_tokens: optional(&mut args, "--tokens", 32)?,
        timeout: Duration::from_millis(optional(&mut args, "--deadline-ms", 30_000)?),
        seed: optional(&mut args, "--seed", 1)?,
    };
    reject_extra(args)?;
    let report = run_load(plan).await;
    println!("{}", serde_json::to_string_pretty(&report).map_err(|e| e.to_string())?);
    Ok(if report.total.wrong > 0 { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}

/// Parses `KEY` or `KEY=MODEL+MODEL` from a list separated by commas, or from the lines of a
/// file.
fn parse_callers(keys: &str, models: &str) -> Result<Vec<Caller>> {
    let lines: Vec<String> = match std::fs::read_to_string(keys) {
        Ok(text) => text.lines().map(str::to_owned).collect(),
        Err(_) => keys.split(',').map(str::to_owned).collect(),
    };
    let list = |text: &str, by: char| text.split(by).map(str::to_owned).collect::<Vec<_>>();
    let callers: Vec<Caller> = lines
        .iter()
        .map(|line| line.trim())
        .filter(|line| !line.is_empty() && !line.starts_with('#'))
        .map(|line| match line.split_once('=') {
            Some((key, own)) => Caller { key: key.to_owned(), models: list(own, '+') },
            None => Caller { key: line.to_owned(), models: list(models, ',') },
        })
        .collect();
    if callers.is_empty() {
        return Err("--keys: no key".to_owned());
    }
    Ok(callers)
}
