//! The command line: one file for each command.

mod apply;
mod completions;
mod query;
mod state;

use std::{net::SocketAddr, process::ExitCode, time::Duration};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use radishhaven_client::JsonClient;

use crate::exit;

/// Time within which a node should answer.
const NODE_TIMEOUT: Duration = Duration::from_secs(15);

/// What every command works on.
#[derive(Debug)]
pub struct Context {
    /// The client.
    pub http: JsonClient,
    /// The operators' address of a node.
    pub node: SocketAddr,
    /// Whether to print JSON.
    pub json: bool,
    /// Time within which the node should answer.
    pub within: Duration,
}

/// Describes the command line.
pub fn command() -> Command {
    let node = Arg::new("node")
        .long("node")
        .env("RADISHHAVEN_NODE")
        .value_name("IP:PORT")
        .value_parser(value_parser!(SocketAddr))
        .default_value("127.0.0.1:8081")
        .global(true)
        .help("The operators' address of any node");
    let json = Arg::new("json")
        .long("json")
        .action(ArgAction::SetTrue)
        .global(true)
        .help("Prints JSON instead of tables");
    Command::new("radishhaven")
        .about("Asks what is in force, and changes it")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(node)
        .arg(json)
        .subcommand(state::command())
        .subcommand(query::command())
        .subcommand(apply::command())
        .subcommand(completions::command())
}

/// Runs the command that was parsed.
pub fn run(matches: &ArgMatches) -> ExitCode {
    if let Some(("completions", args)) = matches.subcommand() {
        return completions::run(args);
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let (Ok(runtime), Ok(http)) = (runtime, JsonClient::new()) else {
        return ExitCode::FAILURE;
    };
    let node = *matches
        .get_one::<SocketAddr>("node")
        .expect("the option has a default");
    let cx = Context {
        http,
        node,
        json: matches.get_flag("json"),
        within: NODE_TIMEOUT,
    };
    runtime.block_on(async {
        match matches.subcommand() {
            Some(("state", _)) => state::run(&cx).await,
            Some(("query", args)) => query::run(&cx, args).await,
            Some(("apply", args)) => apply::run(&cx, args).await,
            _ => ExitCode::from(2),
        }
    })
}

/// Says why a node did not answer.
fn unreachable(cx: &Context, error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("radishhaven: node {}: {error}", cx.node);
    ExitCode::from(exit::UNREACHABLE)
}
