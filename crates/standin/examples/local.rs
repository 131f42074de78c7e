//! Runs a small deployment in one process and sends two requests through it:
//! a dictation to a pipeline of three stages and a booking that must not run
//! twice.
//!
//! With `--once` the program then exits. Otherwise it prints example commands
//! and keeps the deployment running until ctrl-c.

use std::{error::Error, process::ExitCode};

use clap::{Arg, ArgAction, Command};
use radishhaven_client::{Caller, RequestOptions};
use radishhaven_core::{engine::StageOutput, ids::VmId, outcome::Outcome};
use radishhaven_standin::{
    deployment::{Deployment, Plan, VERSION, id},
    engine::RunRecord,
    reference,
};
use serde_json::json;

/// Prompt of the dictation.
const PROMPT: &str = "tuesday, from the depot to calle rivera 1200, a boiler, then back";
/// Maximum number of generated tokens.
const MAX_TOKENS: u32 = 24;

fn main() -> ExitCode {
    let once = Arg::new("once")
        .long("once")
        .action(ArgAction::SetTrue)
        .help("Exits after the two requests");
    let matches = Command::new("local")
        .about("Runs a small deployment on loopback")
        .arg(once)
        .get_matches();
    let runtime = tokio::runtime::Runtime::new().expect("the runtime can be created");
    match runtime.block_on(run(matches.get_flag("once"))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("local: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(once: bool) -> Result<(), Box<dyn Error>> {
    let deployment = Deployment::start(Plan::bitacora(3, 2)).await?;
    println!("3 nodes, 6 engines on different accelerators, 3 servers of libro; all on loopback");
    let caller = Caller::new("small-firm")?;
    let entry = deployment.callers_address("node-0");
    let directory = caller.directory(entry).await?;
    println!(
        "directory: {} nodes, kept for {} ms",
        directory.nodes.len(),
        directory.keep_ms
    );
    dictate(&deployment, &caller).await?;
    book(&deployment, &caller).await?;
    if once {
        return Ok(());
    }
    for node in deployment.nodes.values() {
        let address = node.node.operators_address;
        println!("cargo run --release -p radishhaven -- --node {address} query show backend");
    }
    println!("press ctrl-c to stop");
    tokio::signal::ctrl_c().await?;
    Ok(())
}

/// Sends a dictation, checks the answer and prints the runs of the engines.
async fn dictate(deployment: &Deployment, caller: &Caller) -> Result<(), Box<dyn Error>> {
    let node = deployment.callers_address("node-1");
    let pipeline = &deployment.plan.pipeline;
    let answer = caller
        .complete(
            node,
            &RequestOptions::default(),
            pipeline,
            PROMPT,
            MAX_TOKENS,
        )
        .await?;
    println!("dictation {:?}: {:?}", answer.outcome, answer.text);
    let model = id(pipeline.as_str());
    let layers = deployment.plan.layers;
    let expected = reference::generate(&model, &id(VERSION), layers, PROMPT, MAX_TOKENS);
    if answer.outcome != Some(Outcome::Completed) || answer.text != expected {
        return Err(format!("expected the answer {expected:?}: {}", answer.message).into());
    }
    for (vm, engine) in &deployment.engines {
        print_runs(vm, &engine.state.runs());
    }
    Ok(())
}

/// Prints a summary of the runs of one engine.
fn print_runs(vm: &VmId, runs: &[RunRecord]) {
    let Some(first) = runs.first() else { return };
    let tokens = runs
        .iter()
        .filter(|run| matches!(run.output, StageOutput::Token(_)))
        .count();
    let positions: u32 = runs.iter().map(|run| run.positions).sum();
    println!(
        "  {vm}: layers {} in {} runs over {positions} positions, {tokens} tokens sampled",
        first.layers,
        runs.len(),
    );
}

/// Sends the same booking twice and checks that it ran exactly once.
async fn book(deployment: &Deployment, caller: &Caller) -> Result<(), Box<dyn Error>> {
    let node = deployment.callers_address("node-2");
    let ask = RequestOptions {
        id: caller.issue_ids(node, 1).await?.ids.pop(),
        ..RequestOptions::default()
    };
    let service = deployment.plan.service.as_str();
    let entry = json!({ "trip": "depot to calle rivera", "km": 7 });
    let answer = caller.call(node, &ask, service, "book", &entry).await?;
    println!("booking {:?}: {:?}", answer.outcome, answer.body);
    let repeated = caller.call(node, &ask, service, "book", &entry).await?;
    println!(
        "the same booking again {:?}: {}",
        repeated.outcome, repeated.message
    );
    let runs: usize = deployment
        .services
        .values()
        .map(|s| s.state.records().len())
        .sum();
    println!("  libro ran it {runs} time(s)");
    if answer.outcome != Some(Outcome::Completed) || runs != 1 {
        return Err("the booking did not run exactly once".into());
    }
    Ok(())
}
