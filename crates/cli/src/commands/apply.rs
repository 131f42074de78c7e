//! `apply`: hands a batch in and tells what became of it, and where it is in
//! force.

use std::{
    process::ExitCode,
    time::{Duration, Instant},
};

use clap::{Arg, ArgMatches, Command, value_parser};
use radishhaven_core::{
    config::{BatchRefusal, BatchResult},
    ids::{BatchId, Revision, VmId},
};
use radishhaven_proto::operator::{APPLY_PATH, Applied, ApplyOutcome, NODES_PATH, Nodes};
use serde::Serialize;

use super::{Context, file_argument, print_json, read_batch};
use crate::{exit, table};

/// Time between two looks at the nodes.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// Describes the command.
pub fn command() -> Command {
    let wait = Arg::new("wait")
        .long("wait")
        .value_name("MILLISECONDS")
        .value_parser(value_parser!(u64))
        .default_value("9000")
        .help("How long to wait until the batch is in force at every node");
    Command::new("apply")
        .about("Applies a batch of changes; the same file applies once")
        .arg(file_argument())
        .arg(wait)
}

/// What is printed as JSON.
#[derive(Debug, Serialize)]
struct Report {
    applied: Applied,
    #[serde(skip_serializing_if = "Option::is_none")]
    in_force: Option<InForce>,
}

/// Where a revision is in force.
#[derive(Debug, Serialize)]
struct InForce {
    nodes: usize,
    of: usize,
    missing: Vec<VmId>,
}

/// Runs the command.
pub async fn run(cx: &Context, args: &ArgMatches) -> ExitCode {
    let text = match read_batch(args) {
        Ok(text) => text,
        Err(code) => return code,
    };
    let wait = args.get_one::<u64>("wait").copied().unwrap_or_default();
    let applied = match cx.node.post::<Applied>(APPLY_PATH, &text).await {
        Ok(applied) => applied,
        Err(error) => return error.report(),
    };
    let in_force = match &applied.outcome {
        ApplyOutcome::Decided(BatchResult::Accepted(revision)) => {
            if !cx.json {
                println!("batch {} accepted at revision {revision}", applied.batch);
            }
            Some(in_force(cx, *revision, Duration::from_millis(wait)).await)
        }
        _ => None,
    };
    if !cx.json {
        return report(&applied, in_force.as_ref());
    }
    let report = Report { applied, in_force };
    print_json(&report);
    code(&report.applied.outcome, report.in_force.as_ref())
}

/// Waits until every node has a revision, or the time is over.
async fn in_force(cx: &Context, revision: Revision, wait: Duration) -> InForce {
    let begun = Instant::now();
    loop {
        let nodes = cx.node.get::<Nodes>(NODES_PATH).await;
        let nodes = nodes.map(|answer| answer.nodes).unwrap_or_default();
        let has = |seen: Option<Revision>| seen.is_some_and(|seen| seen >= revision);
        let missing: Vec<VmId> = nodes
            .iter()
            .filter(|node| !has(node.revision))
            .map(|node| node.vm.clone())
            .collect();
        let done = !nodes.is_empty() && missing.is_empty();
        if done || begun.elapsed() >= wait {
            let of = nodes.len();
            return InForce {
                nodes: of - missing.len(),
                of,
                missing,
            };
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

fn code(outcome: &ApplyOutcome, in_force: Option<&InForce>) -> ExitCode {
    match outcome {
        ApplyOutcome::Decided(BatchResult::Accepted(_)) => match in_force {
            Some(seen) if seen.of > 0 && seen.missing.is_empty() => ExitCode::SUCCESS,
            _ => ExitCode::from(exit::NOT_EVERYWHERE),
        },
        ApplyOutcome::Decided(BatchResult::Refused(..)) => ExitCode::from(exit::REFUSED),
        ApplyOutcome::NotAppended => ExitCode::from(exit::UNREACHABLE),
        ApplyOutcome::Unknown => ExitCode::from(exit::UNKNOWN),
    }
}

fn report(applied: &Applied, in_force: Option<&InForce>) -> ExitCode {
    let batch: &BatchId = &applied.batch;
    match &applied.outcome {
        ApplyOutcome::Decided(BatchResult::Accepted(_)) => {
            if let Some(seen) = in_force {
                println!("in force at {} of {} nodes", seen.nodes, seen.of);
                let missing: Vec<&str> = seen.missing.iter().map(VmId::as_str).collect();
                if !missing.is_empty() {
                    eprintln!("not yet at: {}", missing.join(", "));
                }
            }
        }
        ApplyOutcome::Decided(BatchResult::Refused(revision, why)) => {
            eprintln!("batch {batch} refused at revision {revision}: {why}");
            print_conflicts(why);
        }
        ApplyOutcome::NotAppended => {
            eprintln!("the log can't be reached; batch {batch} is not in it");
        }
        ApplyOutcome::Unknown => {
            eprintln!("batch {batch}: outcome unknown; apply the same file again");
        }
    }
    code(&applied.outcome, in_force)
}

/// Prints the objects that another batch changed.
pub(super) fn print_conflicts(why: &BatchRefusal) {
    let BatchRefusal::Conflicts(conflicts) = why else {
        return;
    };
    let rows = conflicts.iter().map(|c| {
        let by = c.by.as_ref().map(ToString::to_string).unwrap_or_default();
        let (expected, found) = (c.expected.to_string(), c.found.to_string());
        vec![c.key.to_string(), expected, found, by]
    });
    table::print(&["object", "expected", "found", "changed by"], rows);
}
