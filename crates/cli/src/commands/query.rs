//! `query`: runs a query in the operators' language.

use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command};
use radishhaven_core::language::{Answer, parse_query};
use radishhaven_proto::operator::QUERY_PATH;

use super::{Context, print_json};
use crate::{exit, table};

/// Returns the definition of the command.
pub fn command() -> Command {
    let text = Arg::new("text")
        .required(true)
        .num_args(1..)
        .help("The query, such as: show backend where model = dictado; see docs/LANGUAGE.md");
    Command::new("query")
        .about("Queries the active configuration of a node")
        .arg(text)
}

/// Runs the command.
pub async fn run(cx: &Context, args: &ArgMatches) -> ExitCode {
    let words = args.get_many::<String>("text").into_iter().flatten();
    let text = words.cloned().collect::<Vec<_>>().join(" ");
    run_query(cx, &text).await
}

/// Sends a query to the node and prints the answer.
pub async fn run_query(cx: &Context, text: &str) -> ExitCode {
    if let Err(error) = parse_query(text) {
        eprintln!("radishhaven: {error}");
        return ExitCode::from(exit::BAD_INPUT);
    }
    let answer = match cx.node.post::<Answer>(QUERY_PATH, text).await {
        Ok(answer) => answer,
        Err(error) => return error.report(),
    };
    if cx.json {
        print_json(&answer);
        return ExitCode::SUCCESS;
    }
    let (node, revision) = (&answer.node, answer.revision);
    table::print(&answer.columns, answer.rows);
    println!("revision {revision} at {node}, digest {}", answer.digest);
    ExitCode::SUCCESS
}
