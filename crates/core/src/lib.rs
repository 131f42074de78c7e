//! Coordination parts and decisions of the radishhaven router.
//!
//! Nothing here does input or output, reads a clock or draws randomness of
//! its own: events and the time go in, actions come out. The daemon runs
//! these parts, and other programs can embed them; see `docs/EMBEDDING.md`.

pub mod ids;
pub mod outcome;
pub mod time;
