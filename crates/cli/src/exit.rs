//! Exit codes that scripts can rely on; listed in `docs/OPERATORS.md`.

/// The node or the log could not be reached; nothing was changed.
pub const UNREACHABLE: u8 = 3;
/// The batch was refused.
pub const REFUSED: u8 = 4;
/// The batch was accepted, and not yet in force at every node.
pub const NOT_EVERYWHERE: u8 = 5;
/// Whether the batch was accepted is not known; apply the same file again.
pub const UNKNOWN: u8 = 6;
/// A file or a text could not be read or understood.
pub const BAD_INPUT: u8 = 65;
/// The node refused the token.
pub const NOT_PERMITTED: u8 = 77;
