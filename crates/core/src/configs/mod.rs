//! Settings of the core, one struct for each feature.
//!
//! The daemon reads each struct from the INI section of the same name; programs
//! that embed the core fill them in directly. The defaults are documented on the
//! fields.

mod admission;
mod directory;
mod dissemination;
mod flow;
mod health;
mod hedge;
mod identity;
mod membership;
mod once;
mod recovery;
mod retry;
mod routing;
mod snapshots;
mod vm_list;
mod watch;

pub use crate::{lease::LeaseConfig, orders::OrderConfig};
pub use admission::AdmissionConfig;
pub use directory::DirectoryConfig;
pub use dissemination::DisseminationConfig;
pub use flow::FlowConfig;
pub use health::HealthConfig;
pub use hedge::HedgeConfig;
pub use identity::Identity;
pub use membership::MembershipConfig;
pub use once::OnceConfig;
pub use recovery::RecoveryConfig;
pub use retry::RetryConfig;
pub use routing::RoutingConfig;
pub use snapshots::SnapshotsConfig;
pub use vm_list::VmListConfig;
pub use watch::WatchConfig;

/// All settings of the core.
#[derive(Debug, Clone)]
pub struct Configs {
    /// The identity of the node.
    pub identity: Identity,
    /// `[admission]`.
    pub admission: AdmissionConfig,
    /// `[directory]`.
    pub directory: DirectoryConfig,
    /// `[flow]`.
    pub flow: FlowConfig,
    /// `[hedge]`.
    pub hedge: HedgeConfig,
    /// `[health]`.
    pub health: HealthConfig,
    /// `[lease]`.
    pub lease: LeaseConfig,
    /// `[membership]`.
    pub membership: MembershipConfig,
    /// `[once]`.
    pub once: OnceConfig,
    /// `[orders]`.
    pub orders: OrderConfig,
    /// `[recovery]`.
    pub recovery: RecoveryConfig,
    /// `[retry]`.
    pub retry: RetryConfig,
    /// `[routing]`.
    pub routing: RoutingConfig,
    /// `[dissemination]`.
    pub dissemination: DisseminationConfig,
    /// `[snapshots]`.
    pub snapshots: SnapshotsConfig,
    /// `[watch]`.
    pub watch: WatchConfig,
    /// `[vm_list]`.
    pub vm_list: VmListConfig,
}

impl Configs {
    /// Creates the default settings for a node.
    pub fn new(identity: Identity) -> Self {
        Self {
            identity,
            admission: AdmissionConfig::default(),
            directory: DirectoryConfig::default(),
            flow: FlowConfig::default(),
            hedge: HedgeConfig::default(),
            health: HealthConfig::default(),
            lease: LeaseConfig::default(),
            membership: MembershipConfig::default(),
            once: OnceConfig::default(),
            orders: OrderConfig::default(),
            recovery: RecoveryConfig::default(),
            retry: RetryConfig::default(),
            routing: RoutingConfig::default(),
            dissemination: DisseminationConfig::default(),
            snapshots: SnapshotsConfig::default(),
            watch: WatchConfig::default(),
            vm_list: VmListConfig::default(),
        }
    }
}
