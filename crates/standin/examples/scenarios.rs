//! Runs the named scenarios over many seeds and prints what came out.

use std::{process::ExitCode, time::Duration};

use clap::{Arg, Command, value_parser};
use radishhaven_standin::scenarios::{self, Scenario, ScenarioConfig, ScenarioResult};

fn main() -> ExitCode {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        let arg = Arg::new(name).long(name).default_value(default).help(help);
        arg.value_parser(value_parser!(u64))
    };
    let matches = Command::new("scenarios")
        .about("Faults over a deployment on loopback, judged by the checker")
        .arg(number("seeds", "3", "Runs of each scenario"))
        .arg(number("first", "0", "The first seed"))
        .arg(number("callers", "6", "Callers that are busy at one time"))
        .arg(number("prompt", "40", "Bytes of a prompt"))
        .arg(number("tokens", "48", "Tokens of an answer at most"))
        .arg(number(
            "export-every",
            "0",
            "Positions between two exports of KV cache",
        ))
        .arg(number(
            "max-kept",
            "1024",
            "Positions whose inputs are kept for each stage",
        ))
        .arg(
            Arg::new("scenario")
                .num_args(0..)
                .value_parser(value_parser!(Scenario)),
        )
        .get_matches();
    let value = |name| *matches.get_one::<u64>(name).expect("it has a default");
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
    let asked = matches.get_many::<Scenario>("scenario").unwrap_or_default();
    let mut asked: Vec<Scenario> = asked.copied().collect();
    if asked.is_empty() {
        asked = Scenario::ALL.to_vec();
    }
    let runtime = tokio::runtime::Runtime::new().expect("a runtime can be made");
    let mut clean = true;
    for scenario in asked {
        let mut sum = ScenarioResult::default();
        for seed in value("first")..value("first") + value("seeds") {
            match runtime.block_on(scenarios::run(scenario, seed, &size)) {
                Ok(out) => add(&mut sum, out, scenario, seed),
                Err(error) => {
                    eprintln!("scenarios: {scenario} seed {seed}: {error}");
                    return ExitCode::FAILURE;
                }
            }
        }
        clean &= sum.violations.is_empty();
        print(scenario, &mut sum);
    }
    if clean {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn add(sum: &mut ScenarioResult, out: ScenarioResult, scenario: Scenario, seed: u64) {
    for violation in &out.violations {
        println!("{scenario} seed {seed}: {violation}");
    }
    sum.violations.extend(out.violations);
    sum.recovery_times.extend(out.recovery_times);
    sum.completed += out.completed;
    for (end, count) in out.not_completed {
        *sum.not_completed.entry(end).or_default() += count;
    }
    sum.repeated_positions += out.repeated_positions;
    sum.imports += out.imports;
    sum.replays += out.replays;
    sum.restarts += out.restarts;
    sum.exports += out.exports;
}

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
