//! `nodes`: prints which revision is in force at which node.

use std::process::ExitCode;

use clap::Command;

use super::{Context, query};

/// Describes the command.
pub fn command() -> Command {
    Command::new("nodes").about("Prints which revision is in force where, and who lags")
}

/// Runs the command.
pub async fn run(cx: &Context) -> ExitCode {
    query::ask(cx, "show nodes").await
}
