//! `radishhavend`: the daemon of the entry node and of the gateway.

use std::process::ExitCode;

use radishhavend::commands;

fn main() -> ExitCode {
    commands::run(&commands::command().get_matches())
}
