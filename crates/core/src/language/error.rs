//! Errors in a text of the language, with their places.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A place in a text. Lines and columns are counted from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Place {
    /// The line number.
    pub line: usize,
    /// The column number, in characters.
    pub column: usize,
}

impl Place {
    /// Returns the place of a byte offset.
    pub(super) fn of(text: &str, offset: usize) -> Self {
        let before = text.get(..offset).unwrap_or(text);
        let start = before.rfind('\n').map_or(0, |at| at + 1);
        Self {
            line: before.matches('\n').count() + 1,
            column: before[start..].chars().count() + 1,
        }
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}, column {}", self.line, self.column)
    }
}

/// An error in a text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{place}: {message}")]
pub struct LanguageError {
    /// Where the error is.
    pub place: Place,
    /// What is wrong, and what was expected.
    pub message: String,
}
