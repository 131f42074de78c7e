//! Settings of routing.

/// Shapes how backend servers are chosen; the INI section `[routing]`.
#[derive(Debug, Clone)]
pub struct RoutingConfig {
    /// Backend servers of a stage or service that one choice looks at; a few
    /// drawn at random keep nodes from choosing the same one. Default: 6.
    pub candidates: u32,
}

impl Default for RoutingConfig {
    fn default() -> Self {
        Self { candidates: 6 }
    }
}
