//! Settings of routing.

/// Controls the selection of backend servers; the INI section `[routing]`.
#[derive(Debug, Clone)]
pub struct RoutingConfig {
    /// Number of backend servers of a stage or service that are drawn at random
    /// and compared for each selection. A small random sample keeps the nodes from
    /// all selecting the same server. Default: 6.
    pub candidates: u32,
}

impl Default for RoutingConfig {
    fn default() -> Self {
        Self { candidates: 6 }
    }
}
