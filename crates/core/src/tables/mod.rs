//! The entities that a node keeps, each kind in a table of its own.

mod backends;
mod completions;
mod counters;
mod history;
mod latency;
mod limits;
mod members;
mod orders;
mod probes;
mod recent_starts;
mod replication;
mod requests;
mod retry_budget;
mod services;
mod tokens;
mod vm_replication;
mod vms;
mod watch;

#[cfg(test)]
mod tests;

pub use backends::{
    BackendRow, BackendTable, GroupChanges, LatestAnswered, ServerGroup, StageKey, Stages,
};
pub use completions::{
    CompletionState, Exchange, OpenExchange, RetainedInputs, Stage, StageSession,
};
pub use counters::Counters;
pub use history::History;
pub use latency::Latency;
pub use limits::{Limit, LimitKey, LimitTable, OrganisationUsage, WaitKey};
pub use members::{MemberRow, MemberTable, MergeOutcome};
pub use orders::OrderTable;
pub use probes::{MemberView, ProbeTable};
pub use recent_starts::RecentStarts;
pub use replication::{Join, LogState, ReplicationCounters, ReplicationTable};
pub use requests::{CallState, OpenCall, RequestRow, RequestTable, Work};
pub use retry_budget::RetryBudget;
pub use services::{CallTimes, ServiceTable};
pub use tokens::TokenTable;
pub use vm_replication::{VmQuery, VmReplicationCounters, VmReplicationTable, VmSource};
pub use vms::VmTable;
pub use watch::{Outbox, Urgency, WatchCounters, WatchTable, WatchedBackend};

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
    /// Records that were folded lately.
    pub history: History,
    /// How the configuration is followed.
    pub replication: ReplicationTable,
    /// The VM list as last heard.
    pub vms: VmTable,
    /// How the VM list is followed.
    pub vm_replication: VmReplicationTable,
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
    /// Leases, and the engines that are ordered under them.
    pub orders: OrderTable,
    /// How long calls to plain services take.
    pub services: ServiceTable,
    /// This node's part in the watch over backend servers.
    pub watch: WatchTable,
    /// The retry budget.
    pub retry_budget: RetryBudget,
    /// Subscriptions to moments.
    pub timers: Timers<Timer>,
    /// What was counted.
    pub counters: Counters,
    /// When a graceful shutdown began.
    pub draining_since: Option<Timestamp>,
    /// True while the node may serve: it has seen the VM list, and no peer
    /// that it can reach holds a newer configuration than it had when it
    /// started or returned.
    pub ready: bool,
}
