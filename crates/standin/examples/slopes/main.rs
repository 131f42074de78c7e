//! Measures how the cost of a node grows with several sizes, each at four or
//! more values, and extrapolates to the target size. `docs/CAPACITY.md` quotes
//! the results.
//!
//! Most costs are those of the node's decisions alone, in one thread. The cost
//! of a token is measured on a full deployment on loopback.

mod changes;
mod configuration;
mod fit;
mod list;
mod organisations;
mod report;
mod requests;
mod setup;
mod target;
mod tokens;
mod workers;

use std::{error::Error, path::PathBuf, process::ExitCode};

use clap::{Arg, Command, value_parser};

use crate::report::Report;

/// Counts allocated bytes, to measure the memory of tables.
#[global_allocator]
static ALLOCATOR: cap::Cap<std::alloc::System> = cap::Cap::new(std::alloc::System, usize::MAX);

/// Command line names of the measurements.
const MEASURES: [&str; 7] = [
    "workers",
    "list",
    "configuration",
    "organisations",
    "changes",
    "requests",
    "tokens",
];

/// Runs one measurement by its name.
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
        .help("Path of the JSON report to write");
    let only = Arg::new("only")
        .long("only")
        .value_parser(MEASURES)
        .help("Runs only this measurement");
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
