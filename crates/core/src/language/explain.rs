//! Explains where a batch or an object stands.

use super::{
    fields::show,
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

/// Tells what became of a batch.
pub(super) fn batch(tables: &Tables, batch: &BatchId) -> Table {
    let line = |what: &str, value: String| (what.to_owned(), value);
    let mut rows = vec![line("batch", batch.to_string())];
    match tables.config.result(batch) {
        None => rows.push(line("result", "not seen, or too long ago".to_owned())),
        Some(BatchResult::Accepted(at)) => {
            rows.push(line("result", "accepted".to_owned()));
            rows.push(line("revision", at.to_string()));
            let objects = tables.config.objects().iter();
            let still = objects.filter(|(_, entry)| entry.by == *batch);
            rows.extend(still.map(|(key, _)| line("in force", key.to_string())));
        }
        Some(BatchResult::Refused(at, why)) => {
            rows.push(line("result", format!("refused: {why}")));
            rows.push(line("revision", at.to_string()));
            if let BatchRefusal::Conflicts(conflicts) = why {
                rows.extend(conflicts.iter().map(|c| line("conflict", conflict(c))));
            }
        }
    }
    table(rows)
}

fn conflict(conflict: &Conflict) -> String {
    let by = conflict.by.as_ref().map_or("deleted".to_owned(), |batch| {
        format!("changed by {batch} at revision {}", conflict.found)
    });
    let (key, expected) = (&conflict.key, conflict.expected);
    format!("{key}: {by}, expected revision {expected}")
}

/// Tells an object's fields, where it comes from and who needs it.
pub(super) fn object(tables: &Tables, key: &ObjectKey) -> Table {
    let Some(entry) = tables.config.objects().get(key) else {
        return table(vec![(key.to_string(), "not configured".to_owned())]);
    };
    let fields = row(tables, key, entry);
    let mut rows: Vec<(String, String)> = fields
        .iter()
        .map(|(name, value)| (name.clone(), show(name, value)))
        .collect();
    let users = tables.config.dependents(key);
    rows.extend(users.map(|user| ("needed by".to_owned(), user.to_string())));
    table(rows)
}
