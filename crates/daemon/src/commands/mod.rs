//! The command line, with one module per command.

mod check;
mod explain;
mod print_defaults;
mod route;
mod serve;

use std::{
    io,
    path::{Path, PathBuf},
    process::ExitCode,
};

use clap::{Arg, ArgMatches, Command, value_parser};
use spdlog::prelude::*;
use tokio::runtime::{Builder, Runtime};

use crate::{
    gateway::GatewaySettings,
    settings::{Settings, SettingsErrors},
};

/// Exit code for invalid settings (`EX_CONFIG` of `sysexits.h`).
pub const EXIT_BAD_SETTINGS: u8 = 78;

/// Describes the command line.
pub fn command() -> Command {
    let config = Arg::new("config")
        .long("config")
        .value_name("FILE.ini")
        .value_parser(value_parser!(PathBuf))
        .required(true)
        .help("The settings file");
    Command::new("radishhavend")
        .about("An entry node of the radishhaven router")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("serve")
                .about("Runs an entry node")
                .arg(config.clone()),
        )
        .subcommand(
            Command::new("route")
                .about("Runs a gateway on the users' platform")
                .arg(config.clone()),
        )
        .subcommand(
            Command::new("check-route")
                .about("Checks the settings of a gateway without running it")
                .arg(config.clone()),
        )
        .subcommand(
            Command::new("check")
                .about("Checks the settings of an entry node without running it")
                .arg(config),
        )
        .subcommand(
            Command::new("explain")
                .about("Explains the outcome of a request from log lines on standard input")
                .arg(
                    Arg::new("request")
                        .value_name("ID")
                        .required(true)
                        .help("The id of the caller's attempt, as in the log lines"),
                ),
        )
        .subcommand(Command::new("print-defaults").about("Prints all settings with their defaults"))
}

/// Runs the parsed command.
pub fn run(matches: &ArgMatches) -> ExitCode {
    match matches.subcommand() {
        Some(("serve", args)) => with_settings(args, Settings::load, serve::run),
        Some(("check", args)) => with_settings(args, Settings::load, check::run),
        Some(("route", args)) => with_settings(args, GatewaySettings::load, |settings| {
            route::run(settings, config_path(args).to_owned())
        }),
        Some(("check-route", args)) => with_settings(args, GatewaySettings::load, check::run_route),
        Some(("explain", args)) => explain::run(
            args.get_one::<String>("request")
                .expect("clap requires the argument"),
        ),
        Some(("print-defaults", _)) => print_defaults::run(),
        _ => ExitCode::from(2),
    }
}

fn config_path(args: &ArgMatches) -> &Path {
    args.get_one::<PathBuf>("config")
        .expect("clap requires the option")
}

fn with_settings<T>(
    args: &ArgMatches,
    load: fn(&Path) -> Result<T, SettingsErrors>,
    run: impl FnOnce(T) -> ExitCode,
) -> ExitCode {
    match load(config_path(args)) {
        Ok(settings) => run(settings),
        Err(SettingsErrors(errors)) => {
            for error in errors {
                eprintln!("radishhavend: {error}");
            }
            ExitCode::from(EXIT_BAD_SETTINGS)
        }
    }
}

/// Builds a runtime. Logs the error and returns `None` on failure.
fn runtime(mut builder: Builder) -> Option<Runtime> {
    let built = builder.enable_all().build();
    let failed = |error: io::Error| {
        critical!("the runtime could not be started", kv: { error = error.to_string() });
    };
    built.map_err(failed).ok()
}
