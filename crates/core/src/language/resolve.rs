//! Makes a batch of a text, against the configuration in force.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{
    Field, LanguageError, Located, Script, Statement, Verb,
    fields::{Fields, of_literal, of_object, to_object},
};
use crate::{
    config::{BATCH_FORMAT, Batch, Change, Config, Entry, Fingerprint, ObjectKey},
    ids::Revision,
};

/// A batch and what it would change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resolved {
    /// The batch, ready for the log.
    pub batch: Batch,
    /// For each object, its fields before and after.
    pub differences: Vec<Difference>,
}

/// What a batch does to one object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// The object.
    pub key: ObjectKey,
    /// Fields before, if the object is there.
    pub before: Option<Fields>,
    /// Fields after, unless the object is removed.
    pub after: Option<Fields>,
}

/// Makes a batch of a script; `text` is what the script was parsed from.
///
/// A statement changes named fields only, while a batch holds whole objects
/// and the revisions at which they were seen, so the result belongs to this
/// revision of the configuration.
///
/// # Errors
///
/// Returns every mistake that is found.
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
        match change(entry, statement) {
            Ok(change) => {
                differences.insert(key.clone(), difference(entry, &change));
                changes.push(change);
            }
            Err(mistake) => errors.push(mistake),
        }
        if let Some(entry) = entry {
            let seen = script.at.map_or(entry.changed, |at| at.min(entry.changed));
            base.insert(key.clone(), seen);
        }
    }
    if !errors.is_empty() {
        return Err(errors);
    }
    let batch = Batch {
        format: BATCH_FORMAT,
        batch: script.batch.clone(),
        base,
        planned: planned(config, script),
        source: Some(Fingerprint::of(text.as_bytes())),
        changes,
    };
    let differences = differences.into_values().collect();
    Ok(Resolved { batch, differences })
}

fn planned(config: &Config, script: &Script) -> Revision {
    script.at.unwrap_or(config.revision())
}

fn error<T>(at: &Located<T>, message: String) -> LanguageError {
    LanguageError {
        place: at.place,
        message,
    }
}

fn change(entry: Option<&Entry>, statement: &Located<Statement>) -> Result<Change, LanguageError> {
    let key = &statement.value.key;
    let absent = || error(statement, format!("there is no {key}"));
    match &statement.value.verb {
        Verb::Put(fields) => put(statement, Fields::new(), fields),
        Verb::Set(fields) => {
            let entry = entry.ok_or_else(absent)?;
            put(statement, of_object(&entry.object), fields)
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
        if named.insert(name.clone(), of_literal(value)).is_some() {
            return Err(error(field, format!("`{name}` is given twice")));
        }
    }
    all.extend(named);
    to_object(&statement.value.key, all)
        .map(Change::Put)
        .map_err(|message| blame(statement, fields, message))
}

/// Points at the field that a message names, or else at the statement.
fn blame(
    statement: &Located<Statement>,
    fields: &[Located<Field>],
    message: String,
) -> LanguageError {
    let names = |field: &&Located<Field>| {
        let Field { name, value } = &field.value;
        let unknown = message.starts_with(&format!("unknown field `{name}`"));
        let shown = match of_literal(value) {
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
        before: entry.map(|entry| of_object(&entry.object)),
        after: match change {
            Change::Put(object) => Some(of_object(object)),
            Change::Delete(_) => None,
        },
    }
}
