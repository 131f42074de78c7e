//! `query`: prints the objects of one kind that are in force.

use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command};
use radishhaven_core::config::{Kind, SnapshotPart};
use radishhaven_proto::operator::CONFIG_PATH;

use super::{Context, unreachable};
use crate::table;

/// Describes the command.
pub fn command() -> Command {
    let kind = Arg::new("kind")
        .required(true)
        .value_parser(|text: &str| text.parse::<Kind>().map_err(|e| e.to_string()))
        .help("organisation, model, pipeline, service, backend, link or deployment");
    Command::new("query")
        .about("Prints what is in force at a node")
        .arg(kind)
}

/// Runs the command.
pub async fn run(cx: &Context, args: &ArgMatches) -> ExitCode {
    let kind = *args
        .get_one::<Kind>("kind")
        .expect("clap requires the kind");
    let parts = match cx
        .http
        .get::<Vec<SnapshotPart>>(cx.node, CONFIG_PATH, cx.within)
        .await
    {
        Ok(parts) => parts,
        Err(error) => return unreachable(cx, &error),
    };
    let revision = parts.first().map(|part| part.snapshot.revision);
    let found: Vec<_> = parts
        .iter()
        .flat_map(|part| &part.entries)
        .map(|entry| (entry.object.key(), entry))
        .filter(|(key, _)| key.kind == kind)
        .collect();
    if cx.json {
        let objects: Vec<_> = found.iter().map(|(_, entry)| entry).collect();
        println!(
            "{}",
            serde_json::json!({ "revision": revision, "objects": objects })
        );
        return ExitCode::SUCCESS;
    }
    let rows = found.iter().map(|(key, entry)| {
        let object = serde_json::to_string(&entry.object).unwrap_or_default();
        [
            key.to_string(),
            entry.changed.to_string(),
            entry.by.to_string(),
            object,
        ]
    });
    table::print(["object", "revision", "batch", "value"], rows);
    ExitCode::SUCCESS
}
