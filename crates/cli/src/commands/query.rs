//! `query`: asks what is in force, in the operators' language.

use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command};
use radishhaven_core::language::{Answer, parse_query};
use radishhaven_proto::operator::QUERY_PATH;

use super::{Context, print_json};
use crate::{exit, table};

/// Describes the command.
pub fn command() -> Command {
    let text = Arg::new("text")
        .required(true)
        .num_args(1..)
        .help("Such as: show backend where model = dictado; see docs/LANGUAGE.md");
    Command::new("query")
        .about("Asks a node what is in force")
        .arg(text)
}

/// Runs the command.
pub async fn run(cx: &Context, args: &ArgMatches) -> ExitCode {
    let words = args.get_many::<String>("text").into_iter().flatten();
    let text = words.cloned().collect::<Vec<_>>().join(" ");
    ask(cx, &text).await
}

/// Asks a query and prints the answer.
pub async fn ask(cx: &Context, text: &str) -> ExitCode {
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
