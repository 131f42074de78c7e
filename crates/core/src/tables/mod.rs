//! The tables that hold a node's state, one for each kind of entity.

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
    /// The active configuration.
    pub config: Config,
    /// Recently applied configuration records.
    pub history: History,
    /// Replication of the configuration.
    pub replication: ReplicationTable,
    /// The VM list as last received.
    pub vms: VmTable,
    /// Replication of the VM list.
    pub vm_replication: VmReplicationTable,
    /// Other entry nodes, according to gossip.
    pub members: MemberTable,
    /// Probes and gossip that this node has to send.
    pub probes: ProbeTable,
    /// Backend servers: the VM list joined with the configuration.
    pub backends: BackendTable,
    /// Bearer tokens of organisations.
    pub tokens: TokenTable,
    /// Concurrency limits of model versions at this node.
    pub limits: LimitTable,
    /// Open requests and recent outcomes.
    pub requests: RequestTable,
    /// State for running requests at most once.
    pub once: OnceTable,
    /// Leases, and the orders to engines that they cover.
    pub orders: OrderTable,
    /// Observed call times of plain services.
    pub services: ServiceTable,
    /// The watch over backend servers.
    pub watch: WatchTable,
    /// The retry budget.
    pub retry_budget: RetryBudget,
    /// Pending timers.
    pub timers: Timers<Timer>,
    /// Counters.
    pub counters: Counters,
    /// When a graceful shutdown began.
    pub draining_since: Option<Timestamp>,
    /// Whether the node may serve. It must have received the VM list, and no
    /// reachable peer may hold a newer configuration than this node had when it
    /// started or resumed.
    pub ready: bool,
}
