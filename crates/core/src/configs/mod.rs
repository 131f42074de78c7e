//! Settings of the decisions, one struct for each feature.
//!
//! The daemon reads them from the INI section of the same name; embedders
//! fill them in. All defaults are documented on the fields.

mod admission;
mod directory;
mod identity;
mod membership;
mod recovery;
mod retry;

pub use admission::AdmissionConfig;
pub use directory::DirectoryConfig;
pub use identity::Identity;
pub use membership::MembershipConfig;
pub use recovery::RecoveryConfig;
pub use retry::RetryConfig;

/// All settings of the decisions.
#[derive(Debug, Clone)]
pub struct Configs {
    /// Who the node is.
    pub identity: Identity,
    /// `[admission]`.
    pub admission: AdmissionConfig,
    /// `[directory]`.
    pub directory: DirectoryConfig,
    /// `[membership]`.
    pub membership: MembershipConfig,
    /// `[recovery]`.
    pub recovery: RecoveryConfig,
    /// `[retry]`.
    pub retry: RetryConfig,
}

impl Configs {
    /// Makes the default settings of a node.
    pub fn new(identity: Identity) -> Self {
        Self {
            identity,
            admission: AdmissionConfig::default(),
            directory: DirectoryConfig::default(),
            membership: MembershipConfig::default(),
            recovery: RecoveryConfig::default(),
            retry: RetryConfig::default(),
        }
    }
}
