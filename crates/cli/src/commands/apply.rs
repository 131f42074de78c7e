//! `apply`: hands a batch in and tells what became of it.

use std::{path::PathBuf, process::ExitCode};

use clap::{Arg, ArgMatches, Command, value_parser};
use radishhaven_core::config::{Batch, BatchResult, RefusedBatch};
use radishhaven_proto::operator::{APPLY_PATH, Applied, ApplyOutcome};

use super::{Context, unreachable};
use crate::{exit, table};

/// Describes the command.
pub fn command() -> Command {
    let file = Arg::new("file")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("The batch as JSON; handing the same file in again applies it once");
    Command::new("apply")
        .about("Applies a batch of changes")
        .arg(file)
}

/// Runs the command.
pub async fn run(cx: &Context, args: &ArgMatches) -> ExitCode {
    let path = args
        .get_one::<PathBuf>("file")
        .expect("clap requires the file");
    let read = std::fs::read(path).map_err(|e| e.to_string());
    let batch =
        read.and_then(|text| serde_json::from_slice::<Batch>(&text).map_err(|e| e.to_string()));
    let batch = match batch {
        Ok(batch) => batch,
        Err(error) => {
            eprintln!("radishhaven: {}: {error}", path.display());
            return ExitCode::from(exit::BAD_INPUT);
        }
    };
    match cx
        .http
        .post::<_, Applied>(cx.node, APPLY_PATH, &batch, cx.within)
        .await
    {
        Ok(applied) => report(cx, &applied),
        Err(error) => unreachable(cx, &error),
    }
}

fn report(cx: &Context, applied: &Applied) -> ExitCode {
    if cx.json {
        println!("{}", serde_json::to_string(applied).unwrap_or_default());
    }
    match &applied.outcome {
        ApplyOutcome::Decided(BatchResult::Accepted(revision)) => {
            if !cx.json {
                println!("batch {} accepted at revision {revision}", applied.batch);
            }
            ExitCode::SUCCESS
        }
        ApplyOutcome::Decided(BatchResult::Refused(revision, why)) => {
            eprintln!(
                "batch {} refused at revision {revision}: {why}",
                applied.batch
            );
            print_conflicts(why);
            ExitCode::from(exit::REFUSED)
        }
        ApplyOutcome::NotAppended => {
            eprintln!(
                "the log can't be reached; batch {} is not in it",
                applied.batch
            );
            ExitCode::from(exit::UNREACHABLE)
        }
        ApplyOutcome::Unknown => {
            eprintln!(
                "batch {}: outcome unknown; apply the same file again",
                applied.batch
            );
            ExitCode::from(exit::UNKNOWN)
        }
    }
}

fn print_conflicts(why: &RefusedBatch) {
    let RefusedBatch::Conflicts(conflicts) = why else {
        return;
    };
    let rows = conflicts.iter().map(|c| {
        let by = c.by.as_ref().map(ToString::to_string).unwrap_or_default();
        [
            c.key.to_string(),
            c.expected.to_string(),
            c.found.to_string(),
            by,
        ]
    });
    table::print(["object", "expected", "found", "changed by"], rows);
}
