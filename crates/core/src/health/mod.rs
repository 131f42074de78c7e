//! Server health: a score, a circuit breaker and a slow start.
//!
//! All functions here are pure and use only a node's time type and settings.
//! Other programs can therefore keep one [`Health`] for each of their servers
//! and one [`LatencyBaseline`] for each group of equivalent servers. Ejections
//! expire with time; readmission needs no background task. The design is
//! described in `docs/design/health.md`.

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
