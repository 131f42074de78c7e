//! Answers `explain` queries about a batch or an object.

use super::{
    fields::format_value,
    query::{Table, row},
};
use crate::{
    config::{BatchRefusal, BatchResult, Conflict, ObjectKey},
    ids::BatchId,
    tables::Tables,
};

fn table(rows: Vec<(String, String)>) -> Table {
    let columns = vec!["what".to_owned(), "value".to_owned()];
    let rows = rows.into_iter().map(|(what, value)| vec![what, value]);
    (columns, rows.collect())
}

/// Returns a table of the result of a batch and of the objects that it last
/// changed.
pub(super) fn batch(tables: &Tables, batch: &BatchId) -> Table {
    let table_row = |what: &str, value: String| (what.to_owned(), value);
    let mut rows = vec![table_row("batch", batch.to_string())];
    match tables.config.result(batch) {
        None => rows.push(table_row("result", "not seen, or too long ago".to_owned())),
        Some(BatchResult::Accepted(at)) => {
            rows.push(table_row("result", "accepted".to_owned()));
            rows.push(table_row("revision", at.to_string()));
            let objects = tables.config.objects().iter();
            let last_changed = objects.filter(|(_, entry)| entry.by == *batch);
            rows.extend(last_changed.map(|(key, _)| table_row("in force", key.to_string())));
        }
        Some(BatchResult::Refused(at, why)) => {
            rows.push(table_row("result", format!("refused: {why}")));
            rows.push(table_row("revision", at.to_string()));
            if let BatchRefusal::Conflicts(conflicts) = why {
                rows.extend(
                    conflicts
                        .iter()
                        .map(|c| table_row("conflict", describe_conflict(c))),
                );
            }
        }
    }
    table(rows)
}

fn describe_conflict(conflict: &Conflict) -> String {
    let by = conflict.by.as_ref().map_or("deleted".to_owned(), |batch| {
        format!("changed by {batch} at revision {}", conflict.found)
    });
    let (key, expected) = (&conflict.key, conflict.expected);
    format!("{key}: {by}, expected revision {expected}")
}

/// Returns a table of the fields of an object, its origin and the objects that
/// depend on it.
pub(super) fn object(tables: &Tables, key: &ObjectKey) -> Table {
    let Some(entry) = tables.config.objects().get(key) else {
        return table(vec![(key.to_string(), "not configured".to_owned())]);
    };
    let fields = row(tables, key, entry);
    let mut rows: Vec<(String, String)> = fields
        .iter()
        .map(|(name, value)| (name.clone(), format_value(name, value)))
        .collect();
    let dependents = tables.config.dependents(key);
    rows.extend(dependents.map(|dependent| ("needed by".to_owned(), dependent.to_string())));
    table(rows)
}
