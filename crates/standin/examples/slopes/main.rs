//! Measures how the cost of a node grows, over at least four sizes each, and
//! works out the cost at the target size; `docs/CAPACITY.md` quotes it.
//!
//! Costs of the decisions are taken from the decisions alone, in one thread;
//! the cost of a token is taken from a whole deployment on loopback.

mod changes;
mod fit;
mod organisations;
mod report;
mod requests;
mod sample;
mod target;
mod tokens;
mod workers;

use std::{path::PathBuf, process::ExitCode};

use clap::{Arg, Command, value_parser};

use crate::report::Report;

/// Counts what is allocated, so that the memory of tables can be told.
#[global_allocator]
static ALLOCATED: cap::Cap<std::alloc::System> = cap::Cap::new(std::alloc::System, usize::MAX);

fn main() -> ExitCode {
    let report = Arg::new("report")
        .long("report")
        .value_name("FILE.json")
        .value_parser(value_parser!(PathBuf))
        .help("Writes the figures as JSON");
    let command = Command::new("slopes")
        .about("Measures how costs grow")
        .arg(report);
    let matches = command.get_matches();
    let mut report = Report::default();
    workers::measure(&mut report);
    organisations::measure(&mut report);
    changes::measure(&mut report);
    requests::measure(&mut report);
    if let Err(error) = tokens::measure(&mut report) {
        eprintln!("slopes: {error}");
        return ExitCode::FAILURE;
    }
    report.print();
    let Some(path) = matches.get_one::<PathBuf>("report") else {
        return ExitCode::SUCCESS;
    };
    match report.write(path) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("slopes: {}: {error}", path.display());
            ExitCode::FAILURE
        }
    }
}
