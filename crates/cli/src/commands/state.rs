//! `state`: prints the whole state of a node.

use std::process::ExitCode;

use clap::Command;
use radishhaven_proto::operator::STATE_PATH;
use serde_json::Value;

use super::{Context, unreachable};

/// Describes the command.
pub fn command() -> Command {
    Command::new("state").about("Prints the whole state of a node")
}

/// Runs the command.
pub async fn run(cx: &Context) -> ExitCode {
    match cx.http.get::<Value>(cx.node, STATE_PATH, cx.within).await {
        Ok(state) => {
            println!("{state:#}");
            ExitCode::SUCCESS
        }
        Err(error) => unreachable(cx, &error),
    }
}
