//! Measures how the cost of a node grows, over at least four sizes each, and
//! works out the cost at the target size; `docs/CAPACITY.md` quotes it.
//!
//! Costs of the decisions are taken from the decisions alone, in one thread;
//! the cost of a token is taken from a whole deployment on loopback.

mod changes;
mod configuration;
mod fit;
mod list;
mod organisations;
mod report;
mod requests;
mod sample;
mod target;
mod tokens;
mod workers;

use std::{error::Error, path::PathBuf, process::ExitCode};

use clap::{Arg, Command, value_parser};

use crate::report::Report;

/// Counts what is allocated, so that the memory of tables can be told.
#[global_allocator]
static ALLOCATED: cap::Cap<std::alloc::System> = cap::Cap::new(std::alloc::System, usize::MAX);

/// What can be measured over.
const MEASURES: [&str; 7] = [
    "workers",
    "list",
    "configuration",
    "organisations",
    "changes",
    "requests",
    "tokens",
];

fn measure(name: &str, report: &mut Report) -> Result<(), Box<dyn Error>> {
    match name {
        "workers" => workers::measure(report),
        "list" => list::measure(report),
        "configuration" => configuration::measure(report),
        "organisations" => organisations::measure(report),
        "changes" => changes::measure(report),
        "requests" => requests::measure(report),
        _ => tokens::measure(report)?,
    }
    Ok(())
}

fn main() -> ExitCode {
    let report = Arg::new("report")
        .long("report")
        .value_name("FILE.json")
        .value_parser(value_parser!(PathBuf))
        .help("Writes the figures as JSON");
    let only = Arg::new("only")
        .long("only")
        .value_parser(MEASURES)
        .help("Measures over one size only");
    let command = Command::new("slopes").about("Measures how costs grow");
    let matches = command.arg(report).arg(only).get_matches();
    let only = matches.get_one::<String>("only").map(String::as_str);
    let mut report = Report::default();
    for name in MEASURES {
        if only.is_some_and(|only| only != name) {
            continue;
        }
        if let Err(error) = measure(name, &mut report) {
            eprintln!("slopes: {error}");
            return ExitCode::FAILURE;
        }
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
