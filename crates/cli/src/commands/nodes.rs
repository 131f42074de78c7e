//! `nodes`: prints the active revision of each node.

use std::process::ExitCode;

use clap::Command;

use super::{Context, query};

/// Returns the definition of the command.
pub fn command() -> Command {
    Command::new("nodes")
        .about("Prints the active revision of each node and how far it lags behind")
}

/// Runs the command.
pub async fn run(cx: &Context) -> ExitCode {
    query::run_query(cx, "show nodes").await
}
