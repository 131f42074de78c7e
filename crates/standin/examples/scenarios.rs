//! Runs fault scenarios with several seeds and prints their outcomes.

use std::{process::ExitCode, time::Duration};

use clap::{Arg, Command, value_parser};
use radishhaven_standin::scenarios::{self, Scenario, ScenarioConfig, ScenarioResult};

fn main() -> ExitCode {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        let arg = Arg::new(name).long(name).default_value(default).help(help);
        arg.value_parser(value_parser!(u64))
    };
    let matches = Command::new("scenarios")
        .about("Injects faults into a deployment on loopback and checks the results")
        .arg(number("seeds", "3", "Number of runs of each scenario"))
        .arg(number("first", "0", "First seed"))
        .arg(number("callers", "6", "Number of concurrent callers"))
        .arg(number("prompt", "40", "Length of a prompt in bytes"))
        .arg(number("tokens", "48", "Maximum number of generated tokens"))
        .arg(number(
            "export-every",
            "0",
            "Positions between two exports of the KV cache",
        ))
        .arg(number(
            "max-kept",
            "1024",
            "Maximum number of positions whose inputs each stage retains",
        ))
        .arg(
            Arg::new("scenario")
                .num_args(0..)
                .value_parser(value_parser!(Scenario)),
        )
        .get_matches();
    let value = |name| {
        *matches
            .get_one::<u64>(name)
            .expect("the option has a default")
    };
    let size = ScenarioConfig {
        callers: value("callers") as usize,
        prompt: value("prompt") as usize,
        max_tokens: value("tokens") as u32,
        settings: format!(
            "[recovery]\nexport_every_tokens = {}\nmax_kept_positions = {}\n",
            value("export-every"),
            value("max-kept"),
        ),
    };
    let selected = matches.get_many::<Scenario>("scenario").unwrap_or_default();
    let mut selected: Vec<Scenario> = selected.copied().collect();
    if selected.is_empty() {
        selected = Scenario::ALL.to_vec();
    }
    let runtime = tokio::runtime::Runtime::new().expect("the runtime can be created");
    let mut no_violations = true;
    for scenario in selected {
        let mut sum = ScenarioResult::default();
        for seed in value("first")..value("first") + value("seeds") {
            match runtime.block_on(scenarios::run(scenario, seed, &size)) {
                Ok(outcomes) => add(&mut sum, outcomes, scenario, seed),
                Err(error) => {
                    eprintln!("scenarios: {scenario} seed {seed}: {error}");
                    return ExitCode::FAILURE;
                }
            }
        }
        no_violations &= sum.violations.is_empty();
        print(scenario, &mut sum);
    }
    if no_violations {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Adds the outcomes of one run to the sum and prints its violations.
fn add(sum: &mut ScenarioResult, outcomes: ScenarioResult, scenario: Scenario, seed: u64) {
    for violation in &outcomes.violations {
        println!("{scenario} seed {seed}: {violation}");
    }
    sum.violations.extend(outcomes.violations);
    sum.recovery_times.extend(outcomes.recovery_times);
    sum.completed += outcomes.completed;
    for (outcome, count) in outcomes.not_completed {
        *sum.not_completed.entry(outcome).or_default() += count;
    }
    sum.repeated_positions += outcomes.repeated_positions;
    sum.imports += outcomes.imports;
    sum.replays += outcomes.replays;
    sum.restarts += outcomes.restarts;
    sum.exports += outcomes.exports;
}

/// Prints the summed outcomes of a scenario.
fn print(scenario: Scenario, sum: &mut ScenarioResult) {
    sum.recovery_times.sort();
    let at = |percent: usize| {
        let index = (sum.recovery_times.len() * percent)
            .div_ceil(100)
            .saturating_sub(1);
        sum.recovery_times.get(index).map_or(Duration::ZERO, |d| *d)
    };
    println!(
        "{scenario}: violations {}, completed {}, others {:?}; hit {}: next token after p50 {:.1?} p95 {:.1?} max {:.1?}; \
         imports {} replays {} restarts {} repeated positions {} exports {}",
        sum.violations.len(),
        sum.completed,
        sum.not_completed,
        sum.recovery_times.len(),
        at(50),
        at(95),
        at(100),
        sum.imports,
        sum.replays,
        sum.restarts,
        sum.repeated_positions,
        sum.exports,
    );
}
