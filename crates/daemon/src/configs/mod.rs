//! Settings of the daemon, one struct per INI section, and the parsers of the
//! sections that fill structs of [`radishhaven_core::configs`].

mod admission;
mod callers;
mod directory;
mod dissemination;
mod flow;
mod health;
mod hedge;
mod log;
mod membership;
mod node;
mod once;
mod operators;
mod orders;
mod peers;
mod platform;
mod recovery;
mod retry;
mod routing;
mod snapshots;
mod vm_list;
mod watch;

pub(crate) use self::{
    admission::read_admission,
    directory::read_directory,
    dissemination::read_dissemination,
    flow::read_flow,
    health::read_health,
    hedge::read_hedge,
    membership::read_membership,
    once::read_once,
    orders::{read_lease, read_orders},
    recovery::read_recovery,
    retry::read_retry,
    routing::read_routing,
    snapshots::read_snapshots,
    vm_list::read_vm_list,
    watch::read_watch,
};
pub use self::{
    callers::CallersConfig,
    log::{LogConfig, LogFormat},
    node::NodeConfig,
    operators::{OperatorsConfig, TokenDigest},
    peers::{PeerKey, PeersConfig},
    platform::PlatformConfig,
};
