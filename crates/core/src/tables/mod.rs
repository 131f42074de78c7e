//! The entities that a node keeps, each kind in a table of its own.

mod backends;
mod completions;
mod counters;
mod latency;
mod limits;
mod members;
mod pace;
mod probes;
mod requests;
mod retry_budget;
mod tokens;
mod vms;

pub use backends::{BackendRow, BackendTable, StageKey, Stages};
pub use completions::{CompletionState, Exchange, KeptInputs, OpenExchange, Stage, StageSession};
pub use counters::Counters;
pub use latency::Latency;
pub use limits::{Limit, LimitKey, LimitTable, OrganisationUse, WaitKey};
pub use members::{MemberRow, MemberTable, Merged};
pub use pace::{Pace, PaceTable};
pub use probes::{MemberView, ProbeTable};
pub use requests::{CallState, RequestRow, RequestTable, Work};
pub use retry_budget::RetryBudget;
pub use tokens::TokenTable;
pub use vms::VmTable;

use crate::{
    config::Config,
    once::OnceTable,
    systems::Timer,
    time::{Timers, Timestamp},
};

/// All tables of a node.
#[derive(Debug, Default)]
pub struct Tables {
    /// The configuration in force.
    pub config: Config,
    /// The VM list as last heard.
    pub vms: VmTable,
    /// Other entry nodes, as heard from themselves.
    pub members: MemberTable,
    /// This node's own part in membership.
    pub probes: ProbeTable,
    /// Backend servers: the VM list joined with the configuration.
    pub backends: BackendTable,
    /// Bearer tokens of organisations.
    pub tokens: TokenTable,
    /// How much of each version's work runs here at one time.
    pub limits: LimitTable,
    /// Requests: open ones and recent outcomes.
    pub requests: RequestTable,
    /// What is kept to run requests at most once.
    pub once: OnceTable,
    /// How long steps take at each engine.
    pub pace: PaceTable,
    /// The retry budget.
    pub retries: RetryBudget,
    /// Subscriptions to moments.
    pub timers: Timers<Timer>,
    /// What was counted.
    pub counters: Counters,
    /// When a graceful shutdown began.
    pub draining: Option<Timestamp>,
    /// True once the log and the VM list were read for the first time.
    pub ready: bool,
}
