//! The operators' language: queries, and batches of changes.
//!
//! The grammar is specified in `docs/LANGUAGE.md`, the design in
//! `docs/design/language.md`. Parsing needs no configuration; [`resolve`] then
//! turns a parsed script into a batch, based on the active configuration.

mod error;
mod explain;
mod fields;
mod nodes;
mod parse;
mod query;
mod resolve;
#[cfg(test)]
mod tests;

use serde::{Deserialize, Serialize};

use crate::{
    config::{Kind, ObjectKey},
    ids::{BatchId, Revision},
};

pub use error::{LanguageError, Place};
pub use nodes::{DigestMatch, NodeStatus, node_statuses};
pub use parse::{MAX_TEXT_BYTES, parse_query, parse_script};
pub use query::{Answer, answer};
pub use resolve::{Difference, Resolved, resolve};

/// A parsed value and its place in the text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Located<T> {
    /// The value.
    pub value: T,
    /// Where the value starts.
    pub place: Place,
}

/// A literal value in a text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Literal {
    /// A word or a quoted text.
    Text(String),
    /// A whole number.
    Number(u64),
    /// `true` or `false`.
    Bool(bool),
    /// A range of layers, such as `0..8`.
    Layers(u16, u16),
    /// A list of words in brackets.
    List(Vec<String>),
}

/// A named field of an object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Field {
    /// The name of the field.
    pub name: String,
    /// The value of the field.
    pub value: Literal,
}

/// The operation of a statement on its object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verb {
    /// Creates the object, or replaces all of its fields.
    Put(Vec<Located<Field>>),
    /// Changes the named fields of an existing object.
    Set(Vec<Located<Field>>),
    /// Removes the object.
    Delete,
}

/// One statement of a batch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Statement {
    /// The key of the object.
    pub key: ObjectKey,
    /// The operation on the object.
    pub verb: Verb,
}

/// A batch in its textual form.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Script {
    /// The id of the batch.
    pub batch: BatchId,
    /// The revision that the operator based the batch on. Objects that changed
    /// after it are conflicts.
    pub at: Option<Revision>,
    /// The statements, in the order of the text.
    pub statements: Vec<Located<Statement>>,
}

/// The comparison operator of a condition.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Comparison {
    /// `=`. For a list, whether it contains the value.
    Equal,
    /// `!=`
    Unequal,
    /// `<`
    Less,
    /// `>`
    Greater,
}

/// A condition of a query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Condition {
    /// The name of the field.
    pub field: String,
    /// The comparison operator.
    pub comparison: Comparison,
    /// The value to compare the field with.
    pub value: Literal,
}

/// A query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Query {
    /// All objects of one kind, or one of them.
    Objects {
        /// The kind.
        kind: Kind,
        /// The name, if only one object is requested.
        name: Option<String>,
        /// The conditions, all of which must hold.
        conditions: Vec<Located<Condition>>,
    },
    /// The active revision of each node.
    Nodes,
    /// The result of a batch.
    Batch(BatchId),
    /// The fields of an object, its origin and its dependents.
    Object(ObjectKey),
}
