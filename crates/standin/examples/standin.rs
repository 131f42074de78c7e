//! Runs one stand-in as a process, until SIGTERM or ctrl-c.
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

/// Says why the process ends early.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error(transparent)]
    Start(#[from] StartError),
    #[error(transparent)]
    Vms(#[from] VmListError),
    #[error("cannot run the stand-in: {0}")]
    Io(#[from] io::Error),
    #[error("layer ranges are bounded by the number of layers")]
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
            part("service", "A plain service").arg(number("service-us", "Microseconds of a call")),
        )
        .subcommand(
            part("log", "The append-only log")
                .arg(number("appends-per-s", "Appends a second"))
                .arg(number("retain-records", "Records that a stream keeps"))
                .arg(number("retain-ms", "Milliseconds that a record is kept")),
        )
        .subcommand(
            part("vms", "The VM list")
                .arg(number("lag-ms", "Milliseconds after which a change shows"))
                .arg(
                    Arg::new("file")
                        .long("file")
                        .help("A VM list as JSON, read again on an empty POST /standin/vms")
                        .value_parser(value_parser!(PathBuf)),
                ),
        )
        .subcommand(
            part("weights", "The weight store")
                .arg(number("bytes-per-s", "Bytes a second for all readers"))
                .arg(number("layer-bytes", "Bytes of a layer")),
        )
}

fn engine_command() -> Command {
    part("engine", "A model engine")
        .arg(name("vm", "engine", value_parser!(VmId)))
        .arg(name("model", "dictado", value_parser!(ModelId)))
        .arg(name("version", "v1", value_parser!(VersionId)))
        .arg(name("layers", "0..8", value_parser!(LayerRange)))
        .arg(number("total-layers", "Layers of the whole model"))
        .arg(name("accelerator", "standard", value_parser!(Accelerator)))
        .arg(number("max-batch", "Steps in a batch"))
        .arg(number("queue-limit", "Steps that wait"))
        .arg(number("load-lag-ms", "Age of the reported load"))
        .arg(number("cache-lag-ms", "Age of the shown cache events"))
        .arg(number(
            "cache-gap-every",
            "Leaves out every n-th cache event",
        ))
        .arg(number("layer-bytes", "Bytes of a layer"))
        .arg(number(
            "load-bytes-per-s",
            "Rate of loading without a store",
        ))
        .arg(number("link-delay-us", "Microseconds of the link each way"))
        .arg(
            Arg::new("weight-store")
                .long("weight-store")
                .help("Address of the weight store")
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(
            Arg::new("ignore-tokens")
                .long("ignore-tokens")
                .help("Takes orders with old fencing tokens")
                .action(ArgAction::SetTrue),
        )
}

fn part(name: &'static str, about: &'static str) -> Command {
    Command::new(name).about(about).arg(
        Arg::new("listen")
            .long("listen")
            .help("Address to serve at; port 0 picks one")
            .default_value("127.0.0.1:0")
            .value_parser(value_parser!(SocketAddr)),
    )
}

fn number(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .help(help)
        .value_parser(value_parser!(u64))
}

fn name(
    name: &'static str,
    default: &'static str,
    parser: impl Into<clap::builder::ValueParser>,
) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_parser(parser.into())
}

/// Overwrites a setting when its option was given.
fn set<T: TryFrom<u64>>(matches: &ArgMatches, name: &str, field: &mut T) {
    let given = matches.get_one::<u64>(name).copied();
    if let Some(value) = given.and_then(|n| T::try_from(n).ok()) {
        *field = value;
    }
}

fn given<T: TryFrom<u64>>(matches: &ArgMatches, name: &str) -> Option<T> {
    let given = matches.get_one::<u64>(name).copied()?;
    T::try_from(given).ok()
}

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
    cfg.retain_records = given(m, "retain-records");
    cfg.retain_ms = given(m, "retain-ms");
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
