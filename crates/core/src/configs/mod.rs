//! Settings of the decisions, one struct for each feature.
//!
//! The daemon reads them from the INI section of the same name; embedders
//! fill them in. All defaults are documented on the fields.

mod admission;
mod directory;
mod dissemination;
mod identity;
mod membership;
mod once;
mod recovery;
mod retry;
mod routing;
mod snapshots;
mod vm_list;

pub use crate::{lease::LeaseConfig, orders::OrderConfig};
pub use admission::AdmissionConfig;
pub use directory::DirectoryConfig;
pub use dissemination::DisseminationConfig;
pub use identity::Identity;
pub use membership::MembershipConfig;
pub use once::OnceConfig;
pub use recovery::RecoveryConfig;
pub use retry::RetryConfig;
pub use routing::RoutingConfig;
pub use snapshots::SnapshotsConfig;
pub use vm_list::VmListConfig;

/// All settings of the decisions.
#[derive(Debug, Clone)]
pub struct Configs {
    /// Who the node is.
    pub identity: Identity,
    /// `[admission]`.
    pub admission: AdmissionConfig,
    /// `[directory]`.
    pub directory: DirectoryConfig,
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
    /// `[vm_list]`.
    pub vm_list: VmListConfig,
}

impl Configs {
    /// Makes the default settings of a node.
    pub fn new(identity: Identity) -> Self {
        Self {
            identity,
            admission: AdmissionConfig::default(),
            directory: DirectoryConfig::default(),
            lease: LeaseConfig::default(),
            membership: MembershipConfig::default(),
            once: OnceConfig::default(),
            orders: OrderConfig::default(),
            recovery: RecoveryConfig::default(),
            retry: RetryConfig::default(),
            routing: RoutingConfig::default(),
            dissemination: DisseminationConfig::default(),
            snapshots: SnapshotsConfig::default(),
            vm_list: VmListConfig::default(),
        }
    }
}
