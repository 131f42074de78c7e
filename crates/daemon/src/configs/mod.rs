//! Settings of the daemon, one struct for each INI section, and the readers
//! of the sections that belong to [`radishhaven_core::configs`].

mod admission;
mod directory;
mod dissemination;
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

pub(crate) use self::{
    admission::read_admission,
    directory::read_directory,
    dissemination::read_dissemination,
    membership::read_membership,
    once::read_once,
    orders::{read_lease, read_orders},
    recovery::read_recovery,
    retry::read_retry,
    routing::read_routing,
    snapshots::read_snapshots,
    vm_list::read_vm_list,
};
pub use self::{
    log::{LogConfig, LogFormat},
    node::NodeConfig,
    operators::{OperatorsConfig, TokenDigest},
    peers::{PeerKey, PeersConfig},
    platform::PlatformConfig,
};
