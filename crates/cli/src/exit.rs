//! Exit codes, which scripts can rely on. They are documented in
//! `docs/OPERATORS.md`.

/// The node or the log is unreachable, and nothing was changed.
pub const UNREACHABLE: u8 = 3;
/// The batch was refused.
pub const REFUSED: u8 = 4;
/// The batch was accepted, but is not active at every node yet.
pub const NOT_ACTIVE_EVERYWHERE: u8 = 5;
/// It is unknown whether the batch was accepted. Applying the same file again is
/// safe.
pub const UNKNOWN: u8 = 6;
/// A file or a text could not be read or parsed.
pub const BAD_INPUT: u8 = 65;
/// The node refused the token.
pub const NOT_PERMITTED: u8 = 77;
