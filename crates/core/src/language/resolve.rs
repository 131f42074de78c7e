//! Turns a script into a batch, based on the active configuration.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{
    Field, LanguageError, Located, Script, Statement, Verb,
    fields::{Fields, literal_value, object_fields, to_object},
};
use crate::{
    config::{BATCH_FORMAT, Batch, Change, Config, Entry, Fingerprint, ObjectKey},
    ids::Revision,
};

/// A batch and the changes that it makes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resolved {
    /// The batch, ready to append to the log.
    pub batch: Batch,
    /// For each object, its fields before and after the batch.
    pub differences: Vec<Difference>,
}

/// The change that a batch makes to one object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// The key of the object.
    pub key: ObjectKey,
    /// The fields before the batch, or `None` if the object does not exist.
    pub before: Option<Fields>,
    /// The fields after the batch, or `None` if the batch removes the object.
    pub after: Option<Fields>,
}

/// Turns a script into a batch; `text` is the text that the script was parsed
/// from.
///
/// A statement names only the fields that it changes, while a batch contains full
/// objects and the revisions at which they were read. The result is therefore
/// valid only for this revision of the configuration.
///
/// # Errors
///
/// Returns all errors that are found.
pub fn resolve(
    config: &Config,
    script: &Script,
    text: &str,
) -> Result<Resolved, Vec<LanguageError>> {
    let mut errors = Vec::new();
    let mut base = BTreeMap::new();
    let mut differences: BTreeMap<ObjectKey, Difference> = BTreeMap::new();
    let mut changes = Vec::new();
    for statement in &script.statements {
        let key = &statement.value.key;
        let entry = config.objects().get(key);
        if differences.contains_key(key) {
            errors.push(error(
                statement,
                format!("{key} is changed twice in this batch"),
            ));
            continue;
        }
        match to_change(entry, statement) {
            Ok(change) => {
                differences.insert(key.clone(), difference(entry, &change));
                changes.push(change);
            }
            Err(err) => errors.push(err),
        }
        if let Some(entry) = entry {
            let read_at = script.at.map_or(entry.changed, |at| at.min(entry.changed));
            base.insert(key.clone(), read_at);
        }
    }
    if !errors.is_empty() {
        return Err(errors);
    }
    let batch = Batch {
        format: BATCH_FORMAT,
        batch: script.batch.clone(),
        base,
        planned: planned_revision(config, script),
        source: Some(Fingerprint::of(text.as_bytes())),
        changes,
    };
    let differences = differences.into_values().collect();
    Ok(Resolved { batch, differences })
}

fn planned_revision(config: &Config, script: &Script) -> Revision {
    script.at.unwrap_or(config.revision())
}

fn error<T>(at: &Located<T>, message: String) -> LanguageError {
    LanguageError {
        place: at.place,
        message,
    }
}

fn to_change(
    entry: Option<&Entry>,
    statement: &Located<Statement>,
) -> Result<Change, LanguageError> {
    let key = &statement.value.key;
    let absent = || error(statement, format!("there is no {key}"));
    match &statement.value.verb {
        Verb::Put(fields) => put(statement, Fields::new(), fields),
        Verb::Set(fields) => {
            let entry = entry.ok_or_else(absent)?;
            put(statement, object_fields(&entry.object), fields)
        }
        Verb::Delete => entry
            .map(|_| Change::Delete(key.clone()))
            .ok_or_else(absent),
    }
}

fn put(
    statement: &Located<Statement>,
    mut all: Fields,
    fields: &[Located<Field>],
) -> Result<Change, LanguageError> {
    let mut named = Fields::new();
    for field in fields {
        let Field { name, value } = &field.value;
        if named.insert(name.clone(), literal_value(value)).is_some() {
            return Err(error(field, format!("`{name}` is given twice")));
        }
    }
    all.extend(named);
    to_object(&statement.value.key, all)
        .map(Change::Put)
        .map_err(|message| locate_error(statement, fields, message))
}

/// Points the error to the field that the message names, or else to the statement.
fn locate_error(
    statement: &Located<Statement>,
    fields: &[Located<Field>],
    message: String,
) -> LanguageError {
    let names = |field: &&Located<Field>| {
        let Field { name, value } = &field.value;
        let unknown = message.starts_with(&format!("unknown field `{name}`"));
        let shown = match literal_value(value) {
            serde_json::Value::String(text) => format!("{text:?}"),
            value => format!("`{value}`"),
        };
        unknown || message.contains(&shown)
    };
    match fields.iter().find(names) {
        Some(field) => error(field, format!("`{}`: {message}", field.value.name)),
        None => error(statement, message),
    }
}

fn difference(entry: Option<&Entry>, change: &Change) -> Difference {
    Difference {
        key: change.key(),
        before: entry.map(|entry| object_fields(&entry.object)),
        after: match change {
            Change::Put(object) => Some(object_fields(object)),
            Change::Delete(_) => None,
        },
    }
}
