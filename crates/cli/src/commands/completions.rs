//! `completions`: prints a completion script for a shell.

use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use clap_complete::Shell;

/// Returns the definition of the command.
pub fn command() -> Command {
    let shell = Arg::new("shell")
        .required(true)
        .value_parser(value_parser!(Shell));
    Command::new("completions")
        .about("Prints a completion script for a shell")
        .arg(shell)
}

/// Runs the command.
pub fn run(args: &ArgMatches) -> ExitCode {
    let shell = *args
        .get_one::<Shell>("shell")
        .expect("clap requires the shell");
    clap_complete::generate(
        shell,
        &mut super::command(),
        "radishhaven",
        &mut std::io::stdout(),
    );
    ExitCode::SUCCESS
}
