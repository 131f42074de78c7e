//! `apply`: submits a batch, and reports its result and at which nodes it is
//! active.

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

/// Interval at which the revisions of the nodes are polled.
const NODE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Returns the definition of the command.
pub fn command() -> Command {
    let wait = Arg::new("wait")
        .long("wait")
        .value_name("MILLISECONDS")
        .value_parser(value_parser!(u64))
        .default_value("9000")
        .help("Maximum time to wait until the batch is active at every node");
    Command::new("apply")
        .about("Applies a batch of changes; the same file is applied only once")
        .arg(file_argument())
        .arg(wait)
}

/// The JSON output of the command.
#[derive(Debug, Serialize)]
struct Report {
    applied: Applied,
    #[serde(skip_serializing_if = "Option::is_none")]
    in_force: Option<ActiveNodes>,
}

/// The nodes at which a revision is active.
#[derive(Debug, Serialize)]
struct ActiveNodes {
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
            Some(wait_until_active(cx, *revision, Duration::from_millis(wait)).await)
        }
        _ => None,
    };
    if !cx.json {
        return print_report(&applied, in_force.as_ref());
    }
    let report = Report { applied, in_force };
    print_json(&report);
    exit_code(&report.applied.outcome, report.in_force.as_ref())
}

/// Polls the nodes until the revision is active at all of them or the time is
/// over.
async fn wait_until_active(cx: &Context, revision: Revision, wait: Duration) -> ActiveNodes {
    let started = Instant::now();
    loop {
        let nodes = cx.node.get::<Nodes>(NODES_PATH).await;
        let nodes = nodes.map(|answer| answer.nodes).unwrap_or_default();
        let has_revision =
            |active: Option<Revision>| active.is_some_and(|active| active >= revision);
        let missing: Vec<VmId> = nodes
            .iter()
            .filter(|node| !has_revision(node.revision))
            .map(|node| node.vm.clone())
            .collect();
        let done = !nodes.is_empty() && missing.is_empty();
        if done || started.elapsed() >= wait {
            let of = nodes.len();
            return ActiveNodes {
                nodes: of - missing.len(),
                of,
                missing,
            };
        }
        tokio::time::sleep(NODE_POLL_INTERVAL).await;
    }
}

fn exit_code(outcome: &ApplyOutcome, in_force: Option<&ActiveNodes>) -> ExitCode {
    match outcome {
        ApplyOutcome::Decided(BatchResult::Accepted(_)) => match in_force {
            Some(active) if active.of > 0 && active.missing.is_empty() => ExitCode::SUCCESS,
            _ => ExitCode::from(exit::NOT_ACTIVE_EVERYWHERE),
        },
        ApplyOutcome::Decided(BatchResult::Refused(..)) => ExitCode::from(exit::REFUSED),
        ApplyOutcome::NotAppended => ExitCode::from(exit::UNREACHABLE),
        ApplyOutcome::Unknown => ExitCode::from(exit::UNKNOWN),
    }
}

fn print_report(applied: &Applied, in_force: Option<&ActiveNodes>) -> ExitCode {
    let batch: &BatchId = &applied.batch;
    match &applied.outcome {
        ApplyOutcome::Decided(BatchResult::Accepted(_)) => {
            if let Some(active) = in_force {
                println!("active at {} of {} nodes", active.nodes, active.of);
                let missing: Vec<&str> = active.missing.iter().map(VmId::as_str).collect();
                if !missing.is_empty() {
                    eprintln!("not active yet at: {}", missing.join(", "));
                }
            }
        }
        ApplyOutcome::Decided(BatchResult::Refused(revision, refusal)) => {
            eprintln!("batch {batch} refused at revision {revision}: {refusal}");
            print_conflicts(refusal);
        }
        ApplyOutcome::NotAppended => {
            eprintln!("the log is unreachable; batch {batch} was not appended");
        }
        ApplyOutcome::Unknown => {
            eprintln!("batch {batch}: outcome unknown; apply the same file again");
        }
    }
    exit_code(&applied.outcome, in_force)
}

/// Prints the objects that another batch has changed in the meantime, if this is
/// why the batch was refused.
pub(super) fn print_conflicts(refusal: &BatchRefusal) {
    let BatchRefusal::Conflicts(conflicts) = refusal else {
        return;
    };
    let rows = conflicts.iter().map(|c| {
        let by = c.by.as_ref().map(ToString::to_string).unwrap_or_default();
        let (expected, found) = (c.expected.to_string(), c.found.to_string());
        vec![c.key.to_string(), expected, found, by]
    });
    table::print(&["object", "expected", "found", "changed by"], rows);
}
