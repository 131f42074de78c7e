//! Runs one stand-in as a process until SIGTERM or ctrl-c.
//!
//! `cargo run --example standin -- engine --listen 127.0.0.1:7001 --layers 0..8`

use std::{
    io::{self, Write},
    net::SocketAddr,
    path::PathBuf,
};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use radishhaven_core::ids::{LayerRange, ModelId, VersionId, VmId};
use radishhaven_proto::platform::VmList;
use radishhaven_standin::{
    engine::{Accelerator, Engine, EngineCfg},
    log::{LogCfg, LogService},
    runtime::{RequestHandler, ServerHandle, StartError},
    service::{PlainService, ServiceCfg},
    vms::{VmListCfg, VmListError, VmListService},
    weights::{WeightStore, WeightStoreCfg},
};
use tokio::{
    runtime::Builder,
    signal::unix::{SignalKind, signal},
};

/// Errors that stop the process.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error(transparent)]
    Start(#[from] StartError),
    #[error(transparent)]
    Vms(#[from] VmListError),
    #[error("cannot run the stand-in: {0}")]
    Io(#[from] io::Error),
    #[error("engine options are missing, or the layer range exceeds the number of layers")]
    Layers,
}

fn main() -> Result<(), Error> {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("engine", m)) => run(m, Engine::new(engine_cfg(m)?)),
        Some(("service", m)) => run(m, PlainService::new(service_cfg(m))),
        Some(("log", m)) => run(m, LogService::new(log_cfg(m))),
        Some(("vms", m)) => run(m, vms(m)?),
        Some(("weights", m)) => run(m, WeightStore::new(weights_cfg(m))),
        _ => Ok(()),
    }
}

fn command() -> Command {
    Command::new("standin")
        .about("Runs one stand-in for a system around radishhaven")
        .subcommand_required(true)
        .subcommand(engine_command())
        .subcommand(
            standin_command("service", "A plain service").arg(integer_option(
                "service-us",
                "Duration of a call in microseconds",
            )),
        )
        .subcommand(
            standin_command("log", "The append-only log")
                .arg(integer_option(
                    "appends-per-s",
                    "Maximum number of appends per second",
                ))
                .arg(integer_option(
                    "retain-records",
                    "Number of records that a stream retains",
                ))
                .arg(integer_option(
                    "retain-ms",
                    "Retention time of a record in milliseconds",
                )),
        )
        .subcommand(
            standin_command("vms", "The VM list")
                .arg(integer_option(
                    "lag-ms",
                    "Delay in milliseconds until a change is visible",
                ))
                .arg(
                    Arg::new("file")
                        .long("file")
                        .help("VM list as a JSON file; an empty POST /standin/vms reloads it")
                        .value_parser(value_parser!(PathBuf)),
                ),
        )
        .subcommand(
            standin_command("weights", "The weight store")
                .arg(integer_option(
                    "bytes-per-s",
                    "Total read rate in bytes per second",
                ))
                .arg(integer_option("layer-bytes", "Size of a layer in bytes")),
        )
}

fn engine_command() -> Command {
    standin_command("engine", "A model engine")
        .arg(option_with_default("vm", "engine", value_parser!(VmId)))
        .arg(option_with_default(
            "model",
            "dictado",
            value_parser!(ModelId),
        ))
        .arg(option_with_default(
            "version",
            "v1",
            value_parser!(VersionId),
        ))
        .arg(option_with_default(
            "layers",
            "0..8",
            value_parser!(LayerRange),
        ))
        .arg(integer_option(
            "total-layers",
            "Number of layers of the full model",
        ))
        .arg(option_with_default(
            "accelerator",
            "standard",
            value_parser!(Accelerator),
        ))
        .arg(integer_option(
            "max-batch",
            "Maximum number of steps in a batch",
        ))
        .arg(integer_option(
            "queue-limit",
            "Maximum number of queued steps",
        ))
        .arg(integer_option(
            "load-lag-ms",
            "Age of the reported load in milliseconds",
        ))
        .arg(integer_option(
            "cache-lag-ms",
            "Delay of the cache events in milliseconds",
        ))
        .arg(integer_option(
            "cache-gap-every",
            "Drops every n-th cache event",
        ))
        .arg(integer_option("layer-bytes", "Size of a layer in bytes"))
        .arg(integer_option(
            "load-bytes-per-s",
            "Load rate in bytes per second without a weight store",
        ))
        .arg(integer_option(
            "link-delay-us",
            "One-way delay of the link in microseconds",
        ))
        .arg(
            Arg::new("weight-store")
                .long("weight-store")
                .help("Address of the weight store")
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(
            Arg::new("ignore-tokens")
                .long("ignore-tokens")
                .help("Accepts orders with outdated fencing tokens")
                .action(ArgAction::SetTrue),
        )
}

/// Returns the subcommand of a stand-in with its `--listen` option.
fn standin_command(name: &'static str, about: &'static str) -> Command {
    Command::new(name).about(about).arg(
        Arg::new("listen")
            .long("listen")
            .help("Address to listen on; port 0 selects a free port")
            .default_value("127.0.0.1:0")
            .value_parser(value_parser!(SocketAddr)),
    )
}

/// Returns an option that takes an integer.
fn integer_option(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .help(help)
        .value_parser(value_parser!(u64))
}

/// Returns an option with a default value.
fn option_with_default(
    name: &'static str,
    default: &'static str,
    parser: impl Into<clap::builder::ValueParser>,
) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_parser(parser.into())
}

/// Sets a field to the value of an option if the option is present and its
/// value fits.
fn set<T: TryFrom<u64>>(matches: &ArgMatches, name: &str, field: &mut T) {
    let value = matches.get_one::<u64>(name).copied();
    if let Some(value) = value.and_then(|n| T::try_from(n).ok()) {
        *field = value;
    }
}

/// Returns the value of an integer option if it is present and fits.
fn integer_value<T: TryFrom<u64>>(matches: &ArgMatches, name: &str) -> Option<T> {
    let value = matches.get_one::<u64>(name).copied()?;
    T::try_from(value).ok()
}

/// Returns the value of an option if it is present.
fn value<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> Option<T> {
    matches.get_one::<T>(name).cloned()
}

fn engine_cfg(m: &ArgMatches) -> Result<EngineCfg, Error> {
    let layers = value::<LayerRange>(m, "layers").ok_or(Error::Layers)?;
    let (Some(vm), Some(model), Some(version)) =
        (value(m, "vm"), value(m, "model"), value(m, "version"))
    else {
        return Err(Error::Layers);
    };
    let mut cfg = EngineCfg::new(vm, model, version, layers);
    set(m, "total-layers", &mut cfg.total_layers);
    set(m, "max-batch", &mut cfg.max_batch);
    set(m, "queue-limit", &mut cfg.max_queued_steps);
    set(m, "load-lag-ms", &mut cfg.load_lag_ms);
    set(m, "cache-lag-ms", &mut cfg.cache_lag_ms);
    set(m, "cache-gap-every", &mut cfg.cache_gap_every);
    set(m, "layer-bytes", &mut cfg.layer_bytes);
    set(m, "load-bytes-per-s", &mut cfg.load_bytes_per_s);
    set(m, "link-delay-us", &mut cfg.link_delay_us);
    if let Some(accelerator) = value::<Accelerator>(m, "accelerator") {
        cfg.cost = accelerator.cost();
    }
    cfg.weight_store = value(m, "weight-store");
    cfg.checks_tokens = !m.get_flag("ignore-tokens");
    if cfg.total_layers < layers.end() {
        return Err(Error::Layers);
    }
    Ok(cfg)
}

fn service_cfg(m: &ArgMatches) -> ServiceCfg {
    let mut cfg = ServiceCfg::default();
    set(m, "service-us", &mut cfg.call_duration_us);
    cfg
}

fn log_cfg(m: &ArgMatches) -> LogCfg {
    let mut cfg = LogCfg::default();
    set(m, "appends-per-s", &mut cfg.appends_per_s);
    cfg.retain_records = integer_value(m, "retain-records");
    cfg.retain_ms = integer_value(m, "retain-ms");
    cfg
}

fn vms(m: &ArgMatches) -> Result<VmListService, Error> {
    let mut cfg = VmListCfg::default();
    set(m, "lag-ms", &mut cfg.lag_ms);
    cfg.file = value(m, "file");
    match cfg.file {
        Some(_) => Ok(VmListService::from_file(cfg)?),
        None => Ok(VmListService::new(cfg, VmList::default())),
    }
}

fn weights_cfg(m: &ArgMatches) -> WeightStoreCfg {
    let mut cfg = WeightStoreCfg::default();
    set(m, "bytes-per-s", &mut cfg.bytes_per_s);
    set(m, "layer-bytes", &mut cfg.layer_bytes);
    cfg
}

/// Serves a stand-in on the `--listen` address until SIGTERM or ctrl-c.
fn run<S: RequestHandler>(m: &ArgMatches, state: S) -> Result<(), Error> {
    let Some(listen) = m.get_one::<SocketAddr>("listen") else {
        return Ok(());
    };
    let runtime = Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut terminated = signal(SignalKind::terminate())?;
        let running = ServerHandle::start(*listen, state)?;
        let mut stdout = io::stdout();
        writeln!(stdout, "listening on {}", running.addr)?;
        stdout.flush()?;
        tokio::select! {
            _ = terminated.recv() => {}
            interrupted = tokio::signal::ctrl_c() => interrupted?,
        }
        running.kill();
        Ok(())
    })
}
