//! Command line, with one module for each command.

mod apply;
mod completions;
mod nodes;
mod plan;
mod query;
mod state;

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    process::ExitCode,
};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::{exit, node::NodeClient};

/// Options that all commands share.
#[derive(Debug)]
pub struct Context {
    /// Client for the node that requests are sent to.
    pub node: NodeClient,
    /// Whether to print JSON instead of tables.
    pub json: bool,
}

/// Returns the definition of the command line.
pub fn command() -> Command {
    let node = Arg::new("node")
        .long("node")
        .env("RADISHHAVEN_NODE")
        .value_name("IP:PORT")
        .value_parser(value_parser!(SocketAddr))
        .default_value("127.0.0.1:8081")
        .global(true)
        .help("Address of the operators' interface of any node");
    let json = Arg::new("json")
        .long("json")
        .action(ArgAction::SetTrue)
        .global(true)
        .help("Prints JSON instead of tables");
    let token_file = Arg::new("token-file")
        .long("token-file")
        .env("RADISHHAVEN_TOKEN_FILE")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .global(true)
        .help("File that contains the operators' token; overrides RADISHHAVEN_TOKEN");
    Command::new("radishhaven")
        .about("Queries and changes the configuration of a deployment")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(node)
        .arg(json)
        .arg(token_file)
        .subcommand(state::command())
        .subcommand(nodes::command())
        .subcommand(query::command())
        .subcommand(plan::command())
        .subcommand(apply::command())
        .subcommand(completions::command())
}

/// Runs the selected command.
pub fn run(matches: &ArgMatches) -> ExitCode {
    if let Some(("completions", args)) = matches.subcommand() {
        return completions::run(args);
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let Ok(runtime) = runtime else {
        return ExitCode::FAILURE;
    };
    let cx = match build_context(matches) {
        Ok(cx) => cx,
        Err(code) => return code,
    };
    runtime.block_on(async {
        match matches.subcommand() {
            Some(("state", _)) => state::run(&cx).await,
            Some(("nodes", _)) => nodes::run(&cx).await,
            Some(("query", args)) => query::run(&cx, args).await,
            Some(("plan", args)) => plan::run(&cx, args).await,
            Some(("apply", args)) => apply::run(&cx, args).await,
            _ => ExitCode::from(2),
        }
    })
}

fn build_context(matches: &ArgMatches) -> Result<Context, ExitCode> {
    let node = *matches
        .get_one::<SocketAddr>("node")
        .expect("the option has a default");
    let token = match matches.get_one::<PathBuf>("token-file") {
        Some(path) => Some(read_text(path)?),
        None => std::env::var("RADISHHAVEN_TOKEN").ok(),
    };
    let node = NodeClient::new(node, token.as_deref()).map_err(|error| {
        eprintln!("radishhaven: {error}");
        ExitCode::from(exit::BAD_INPUT)
    })?;
    Ok(Context {
        node,
        json: matches.get_flag("json"),
    })
}

/// Reads a file. If this fails, prints the error and returns its exit code.
fn read_text(path: &Path) -> Result<String, ExitCode> {
    std::fs::read_to_string(path).map_err(|error| {
        eprintln!("radishhaven: {}: {error}", path.display());
        ExitCode::from(exit::BAD_INPUT)
    })
}

/// Returns the definition of the argument for the file of a batch.
fn file_argument() -> Arg {
    Arg::new("file")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("File that contains the batch, in the operators' language or as JSON")
}

fn read_batch(args: &ArgMatches) -> Result<String, ExitCode> {
    let path = args
        .get_one::<PathBuf>("file")
        .expect("clap requires the file");
    let text = read_text(path)?;
    if text.trim_start().starts_with('{') {
        return Ok(text);
    }
    // Syntax errors are reported without a request to the node.
    match radishhaven_core::language::parse_script(&text) {
        Ok(_) => Ok(text),
        Err(error) => {
            eprintln!("radishhaven: {}: {error}", path.display());
            Err(ExitCode::from(exit::BAD_INPUT))
        }
    }
}

/// Prints a value to stdout as JSON.
fn print_json<T: serde::Serialize>(value: &T) {
    println!("{}", serde_json::to_string(value).unwrap_or_default());
}
