//! Evaluates queries against the tables of a node.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use super::{
    Comparison, Condition, LanguageError, Located, Query, explain,
    fields::{Fields, format_value, literal_value, object_fields},
    nodes,
};
use crate::{
    config::{ConfigDigest, Entry, Kind, ObjectKey},
    configs::Identity,
    ids::{Revision, VmId},
    tables::Tables,
    time::Timestamp,
};

/// Number of digits of a token's digest that an answer shows.
const SHOWN_DIGEST_DIGITS: usize = 8;

/// The answer to a query, in the form of a table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The node that answered.
    pub node: VmId,
    /// The active revision of that node.
    pub revision: Revision,
    /// The digest of its configuration.
    pub digest: ConfigDigest,
    /// The names of the columns.
    pub columns: Vec<String>,
    /// The rows, with one text for each column.
    pub rows: Vec<Vec<String>>,
}

/// Evaluates a query.
///
/// # Errors
///
/// Returns an error if a condition names a field that no object of the kind has.
pub fn answer(
    identity: &Identity,
    tables: &Tables,
    now: Timestamp,
    query: &Query,
) -> Result<Answer, LanguageError> {
    let (columns, rows) = match query {
        Query::Objects {
            kind,
            name,
            conditions,
        } => objects(tables, *kind, name.as_deref(), conditions)?,
        Query::Nodes => nodes::table(identity, tables, now),
        Query::Batch(batch) => explain::batch(tables, batch),
        Query::Object(key) => explain::object(tables, key),
    };
    Ok(Answer {
        node: identity.vm.clone(),
        revision: tables.config.revision(),
        digest: tables.config.digest(),
        columns,
        rows,
    })
}

/// The column names and the rows of a table.
pub(super) type Table = (Vec<String>, Vec<Vec<String>>);

fn objects(
    tables: &Tables,
    kind: Kind,
    name: Option<&str>,
    conditions: &[Located<Condition>],
) -> Result<Table, LanguageError> {
    let of_kind: Vec<(&ObjectKey, Fields)> = tables
        .config
        .objects()
        .range(first_key(kind)..)
        .take_while(|(key, _)| key.kind == kind)
        .filter(|(key, _)| name.is_none_or(|name| key.name == name))
        .map(|(key, entry)| (key, row(tables, key, entry)))
        .collect();
    let named = of_kind.iter().flat_map(|(_, row)| row.keys());
    // The name is the first column.
    let columns: BTreeSet<&String> = named.filter(|name| *name != "name").collect();
    check_fields(kind, &columns, conditions)?;
    let holds = |row: &Fields| conditions.iter().all(|c| matches(row, &c.value));
    let cells = |(key, row): &(&ObjectKey, Fields)| {
        let cell = |name: &&String| {
            row.get(*name)
                .map_or(String::new(), |v| format_value(name, v))
        };
        let mut cells = vec![key.name.clone()];
        cells.extend(columns.iter().map(cell));
        cells
    };
    let rows = of_kind.iter().filter(|(_, row)| holds(row)).map(cells);
    let rows = rows.collect();
    let mut names = vec!["name".to_owned()];
    names.extend(columns.into_iter().cloned());
    Ok((names, rows))
}

fn first_key(kind: Kind) -> ObjectKey {
    ObjectKey {
        kind,
        name: String::new(),
    }
}

fn check_fields(
    kind: Kind,
    columns: &BTreeSet<&String>,
    conditions: &[Located<Condition>],
) -> Result<(), LanguageError> {
    let unknown =
        |c: &&Located<Condition>| c.value.field != "name" && !columns.contains(&c.value.field);
    let Some(condition) = conditions
        .iter()
        .find(unknown)
        .filter(|_| !columns.is_empty())
    else {
        return Ok(());
    };
    let names: Vec<&str> = columns.iter().map(|name| name.as_str()).collect();
    Err(LanguageError {
        place: condition.place,
        message: format!(
            "no {kind} has a field `{}`; expected one of name, {}",
            condition.value.field,
            names.join(", ")
        ),
    })
}

/// Returns the fields of an object, the revision and the batch of its last change,
/// and for a backend server its state and address from the VM list.
pub(super) fn row(tables: &Tables, key: &ObjectKey, entry: &Entry) -> Fields {
    let mut row = object_fields(&entry.object);
    if let Some(Value::String(digest)) = row.get_mut("token_sha256") {
        digest.truncate(SHOWN_DIGEST_DIGITS);
    }
    row.insert("name".to_owned(), json!(key.name));
    if key.kind == Kind::Backend {
        let vm = key.name.parse().ok().and_then(|vm| tables.vms.get(&vm));
        let state = vm.map_or(json!("unlisted"), |vm| json!(vm.state));
        row.insert("state".to_owned(), state);
        if let Some(vm) = vm {
            row.insert("failure_domain".to_owned(), json!(vm.failure_domain));
            row.insert("address".to_owned(), json!(vm.address));
        }
    }
    row.insert("changed".to_owned(), json!(entry.changed));
    row.insert("batch".to_owned(), json!(entry.by));
    row
}

fn matches(row: &Fields, condition: &Condition) -> bool {
    let expected = literal_value(&condition.value);
    let found = row.get(&condition.field);
    let equal = match found {
        Some(Value::Array(items)) if condition.field != "layers" => items.contains(&expected),
        Some(found) => *found == expected || format_value("", found) == format_value("", &expected),
        None => false,
    };
    let order = match (found.and_then(Value::as_u64), expected.as_u64()) {
        (Some(found), Some(expected)) => Some(found.cmp(&expected)),
        _ => None,
    };
    match condition.comparison {
        Comparison::Equal => equal,
        Comparison::Unequal => !equal,
        Comparison::Less => order.is_some_and(|o| o.is_lt()),
        Comparison::Greater => order.is_some_and(|o| o.is_gt()),
    }
}
