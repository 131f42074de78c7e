//! The operators' language: queries, and changes in one batch.
//!
//! The grammar is in `docs/LANGUAGE.md`, the reasons in
//! `docs/design/language.md`. A text is parsed apart from any configuration;
//! [`resolve`] then makes a batch of it against the configuration in force.

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

/// Something and where in the text it begins.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Located<T> {
    /// What was read.
    pub value: T,
    /// Where it begins.
    pub place: Place,
}

/// A value that is written in the language.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Literal {
    /// A word or a quoted text.
    Text(String),
    /// A whole number.
    Number(u64),
    /// `true` or `false`.
    Flag(bool),
    /// Layers, written `0..8`.
    Layers(u16, u16),
    /// Words between brackets.
    List(Vec<String>),
}

/// One named field of an object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Field {
    /// Its name.
    pub name: String,
    /// Its value.
    pub value: Literal,
}

/// What a statement does to an object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verb {
    /// Creates the object or replaces it whole.
    Put(Vec<Located<Field>>),
    /// Changes the named fields of an object that is there.
    Set(Vec<Located<Field>>),
    /// Removes the object.
    Delete,
}

/// One statement of a batch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Statement {
    /// The object.
    pub key: ObjectKey,
    /// What is done to it.
    pub verb: Verb,
}

/// A batch as it is written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Script {
    /// Its id.
    pub batch: BatchId,
    /// The revision that the operator looked at; objects that changed later
    /// are conflicts.
    pub at: Option<Revision>,
    /// The statements.
    pub statements: Vec<Located<Statement>>,
}

/// How a condition compares.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Comparison {
    /// `=`; for a list, whether it holds the value.
    Equal,
    /// `!=`
    Unequal,
    /// `<`
    Less,
    /// `>`
    Greater,
}

/// One condition of a query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Condition {
    /// The field.
    pub field: String,
    /// How it is compared.
    pub comparison: Comparison,
    /// With what.
    pub value: Literal,
}

/// A query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Query {
    /// Objects of one kind, or one of them.
    Objects {
        /// The kind.
        kind: Kind,
        /// The name, if one object is asked for.
        name: Option<String>,
        /// The conditions, all of which must hold.
        conditions: Vec<Located<Condition>>,
    },
    /// Which revision is in force at which node.
    Nodes,
    /// What became of a batch.
    Batch(BatchId),
    /// Where an object comes from and who needs it.
    Object(ObjectKey),
}
