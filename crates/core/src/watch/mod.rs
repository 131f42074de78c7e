//! Watch over backend servers: who watches which, and what is told of them.
//!
//! No node can ask all backend servers of a large deployment, and nothing of
//! the project runs on their VMs. So each is watched by two nodes, which tell
//! the others what changes. The design note is `docs/design/watch.md`.

mod shares;
#[cfg(test)]
mod tests;

pub use shares::{Role, Shares};
