//! Measures a deployment of real nodes and stand-ins on loopback.
//!
//! The load is open-loop. The arrivals are generated from a seed, which gives
//! two compared policies the same requests; see `docs/MEASUREMENTS.md`.

mod arrivals;
mod drive;
mod incident;
mod report;
mod scenario;
mod svg;

use std::{error::Error, process::ExitCode};

use clap::{Arg, ArgMatches, Command, value_parser};
use radishhaven_core::config::RoutingPolicy;

use crate::{report::Report, scenario::Scenario};

/// Parameters of one run.
#[derive(Debug, Clone)]
pub struct RunCfg {
    scenario: Scenario,
    deployment: String,
    seed: u64,
    nodes: usize,
    policy: RoutingPolicy,
    seconds: f64,
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    match run(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("load: {error}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    let text = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name).long(name).default_value(default).help(help)
    };
    Command::new("load")
        .about("Measures a deployment on loopback")
        .arg(text("scenario", "steady", Scenario::NAMES))
        .arg(text("deployment", "bitacora", "bitacora or roster"))
        .arg(text("seed", "1", "Seed of the arrivals").value_parser(value_parser!(u64)))
        .arg(text("nodes", "9", "Entry nodes").value_parser(value_parser!(usize)))
        .arg(text(
            "policy",
            "predicted",
            "predicted, least-in-flight or round-robin",
        ))
        .arg(text("seconds", "20", "Length of the run").value_parser(value_parser!(f64)))
        .arg(
            Arg::new("compare")
                .long("compare")
                .num_args(2)
                .value_names(["A", "B"])
                .help("Runs two policies one after the other on the same arrivals"),
        )
        .arg(
            Arg::new("report")
                .long("report")
                .help("Path of the JSON report to write"),
        )
        .arg(
            Arg::new("svg")
                .long("svg")
                .help("Path of the SVG plot of goodput over time to write"),
        )
}

fn policy(name: &str) -> Result<RoutingPolicy, serde_json::Error> {
    serde_json::from_value(name.into())
}

fn run(matches: &ArgMatches) -> Result<(), Box<dyn Error>> {
    let text = |name: &str| matches.get_one::<String>(name).cloned();
    let names: Vec<String> = match matches.get_many::<String>("compare") {
        Some(names) => names.cloned().collect(),
        None => text("policy").into_iter().collect(),
    };
    let mut reports = Vec::new();
    for name in names {
        let cfg = RunCfg {
            scenario: text("scenario").unwrap_or_default().parse()?,
            deployment: text("deployment").unwrap_or_default(),
            seed: matches.get_one("seed").copied().unwrap_or(1),
            nodes: matches.get_one("nodes").copied().unwrap_or(9),
            policy: policy(&name)?,
            seconds: matches.get_one("seconds").copied().unwrap_or(20.0),
        };
        reports.push(measure(&cfg)?);
    }
    for report in &reports {
        report.print();
    }
    if let [a, b] = reports.as_slice() {
        println!(
            "goodput {} / {}: {:.3}",
            a.policy,
            b.policy,
            a.goodput_tokens_per_s / b.goodput_tokens_per_s
        );
    }
    if let Some(file) = text("report") {
        std::fs::write(file, serde_json::to_vec_pretty(&reports)?)?;
    }
    if let Some(file) = text("svg") {
        std::fs::write(file, svg::plot(&reports))?;
    }
    Ok(())
}

fn measure(cfg: &RunCfg) -> Result<Report, Box<dyn Error>> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .thread_name("load")
        .enable_all()
        .build()?;
    let plan = scenario::plan(cfg);
    let load = arrivals::generate(cfg, &plan);
    let run = runtime.block_on(drive::run(cfg, plan, &load))?;
    Ok(Report::new(cfg, &load, &run))
}
