//! `state`: prints the full state of a node.

use std::process::ExitCode;

use clap::Command;
use radishhaven_proto::operator::STATE_PATH;
use serde_json::Value;

use super::Context;

/// Returns the definition of the command.
pub fn command() -> Command {
    Command::new("state").about("Prints the full state of a node")
}

/// Runs the command.
pub async fn run(cx: &Context) -> ExitCode {
    match cx.node.get::<Value>(STATE_PATH).await {
        Ok(state) if cx.json => {
            println!("{state}");
            ExitCode::SUCCESS
        }
        Ok(state) => {
            println!("{state:#}");
            ExitCode::SUCCESS
        }
        Err(error) => error.report(),
    }
}
