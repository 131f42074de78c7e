//! `plan`: prints the changes that a batch would make, without applying it.

use std::process::ExitCode;

use clap::{ArgMatches, Command};
use radishhaven_core::language::Difference;
use radishhaven_proto::operator::{PLAN_PATH, Planned};

use super::{Context, apply::print_conflicts, file_argument, print_json, read_batch};
use crate::{exit, table};

/// Returns the definition of the command.
pub fn command() -> Command {
    Command::new("plan")
        .about("Prints the changes that a batch would make, without applying it")
        .arg(file_argument())
}

/// Runs the command.
pub async fn run(cx: &Context, args: &ArgMatches) -> ExitCode {
    let text = match read_batch(args) {
        Ok(text) => text,
        Err(code) => return code,
    };
    let planned = match cx.node.post::<Planned>(PLAN_PATH, &text).await {
        Ok(planned) => planned,
        Err(error) => return error.report(),
    };
    if cx.json {
        print_json(&planned);
    } else {
        let rows = planned.differences.iter().flat_map(difference_rows);
        table::print(&["object", "field", "before", "after"], rows);
        println!("planned at revision {}", planned.revision);
    }
    match &planned.refusal {
        None => ExitCode::SUCCESS,
        Some(refusal) => {
            eprintln!("batch {} would be refused: {refusal}", planned.batch);
            print_conflicts(refusal);
            ExitCode::from(exit::REFUSED)
        }
    }
}

fn difference_rows(difference: &Difference) -> Vec<Vec<String>> {
    let key = difference.key.to_string();
    let empty = serde_json::Map::new();
    let before = difference.before.as_ref().unwrap_or(&empty);
    let after = difference.after.as_ref().unwrap_or(&empty);
    let mut names: Vec<&String> = before.keys().chain(after.keys()).collect();
    names.sort();
    names.dedup();
    let text = |value: Option<&serde_json::Value>| value.map_or(String::new(), |v| v.to_string());
    let changed = names
        .into_iter()
        .filter(|n| before.get(*n) != after.get(*n));
    changed
        .map(|name| {
            let (old, new) = (text(before.get(name)), text(after.get(name)));
            vec![key.clone(), name.clone(), old, new]
        })
        .collect()
}
