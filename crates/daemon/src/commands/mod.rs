//! The command line: one file for each command.

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

/// Exit code for settings that are not valid.
pub const EXIT_BAD_SETTINGS: u8 = 78;

/// Describes the command line.
pub fn command() -> Command {
    let config = Arg::new("config")
        .long("config")
        .value_name("FILE.ini")
        .value_parser(value_parser!(PathBuf))
        .required(true)
        .help("The settings");
    Command::new("radishhavend")
        .about("An entry node of the radishhaven router")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("serve")
                .about("Runs the node")
                .arg(config.clone()),
        )
        .subcommand(
            Command::new("route")
                .about("Runs the node as a gateway on the users' platform")
                .arg(config.clone()),
        )
        .subcommand(
            Command::new("check-route")
                .about("Checks the settings of a gateway only")
                .arg(config.clone()),
        )
        .subcommand(
            Command::new("check")
                .about("Checks the settings only")
                .arg(config),
        )
        .subcommand(
            Command::new("explain")
                .about("Tells from log lines on standard input what became of a request")
                .arg(
                    Arg::new("request")
                        .value_name("ID")
                        .required(true)
                        .help("The id of the caller's attempt"),
                ),
        )
        .subcommand(Command::new("print-defaults").about("Prints all settings with defaults"))
}

/// Runs the command that was parsed.
pub fn run(matches: &ArgMatches) -> ExitCode {
    match matches.subcommand() {
        Some(("serve", args)) => with_settings(args, Settings::load, serve::run),
        Some(("check", args)) => with_settings(args, Settings::load, check::run),
        Some(("route", args)) => with_settings(args, GatewaySettings::load, |settings| {
            route::run(settings, path(args).to_owned())
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

fn path(args: &ArgMatches) -> &Path {
    args.get_one::<PathBuf>("config")
        .expect("clap requires the option")
}

fn with_settings<T>(
    args: &ArgMatches,
    load: fn(&Path) -> Result<T, SettingsErrors>,
    run: impl FnOnce(T) -> ExitCode,
) -> ExitCode {
    match load(path(args)) {
        Ok(settings) => run(settings),
        Err(SettingsErrors(errors)) => {
            for error in errors {
                eprintln!("radishhavend: {error}");
            }
            ExitCode::from(EXIT_BAD_SETTINGS)
        }
    }
}

/// Builds a runtime; a command that gets none ends with a failure.
fn runtime(mut builder: Builder) -> Option<Runtime> {
    let built = builder.enable_all().build();
    let failed = |error: io::Error| {
        critical!("the runtime could not be started", kv: { error = error.to_string() });
    };
    built.map_err(failed).ok()
}
