//! The `radishhaven` command for operators.

mod commands;
mod exit;
mod node;
mod table;

use std::process::ExitCode;

fn main() -> ExitCode {
    commands::run(&commands::command().get_matches())
}
