//! Health of servers by degrees: a score, a circuit breaker and a ramp.
//!
//! Everything here is a pure function of what is handed in, and depends on
//! nothing else of a node than its time and its settings, so that other
//! programs can keep one [`Health`] for each server of theirs and one
//! [`Usual`] for each group of equal ones. Ejections end by time alone; nothing
//! has to run for a server to come back. The design note is
//! `docs/design/health.md`.

mod baseline;
mod cap;
mod ramp;
mod score;
mod server;

pub use baseline::LatencyBaseline;
pub use cap::{EjectDecision, GroupMember, decide_ejection, excess_ejections, max_ejected};
pub use ramp::Ramp;
pub use score::{Score, Signal};
pub use server::{Ejection, Health, HealthChange, Phase};
