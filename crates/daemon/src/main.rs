//! `radishhavend`: the entry node.

use std::process::ExitCode;

use radishhavend::commands;

fn main() -> ExitCode {
    commands::run(&commands::command().get_matches())
}
