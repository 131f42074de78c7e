//! How a case ended.

/// The outcome of a case.
#[derive(Debug, Clone, Copy)]
pub enum Outcome {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case could not run.
    CannotRun,
}

impl Outcome {
    /// Returns the exit status of the script.
    pub fn status(self) -> i32 {
        match self {
            Self::Held => 0,
            Self::Broken => 1,
            Self::CannotRun => 2,
        }
    }
}
