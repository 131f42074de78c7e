//! Sizes of the target deployment, as required by its users.

/// Number of entry nodes.
pub const NODES: f64 = 360.0;
/// Number of backend servers.
pub const WORKERS: f64 = 12_000.0;
/// Requests per second over all nodes.
pub const REQUESTS_PER_S: f64 = 12_000.0;
/// Tokens per second over all nodes.
pub const TOKENS_PER_S: f64 = 5_100_000.0;
/// Number of organisations.
pub const ORGANISATIONS: f64 = 780.0;
/// Number of models.
pub const MODELS: u16 = 28;
/// Changes of the configuration per day.
pub const CHANGES_PER_DAY: f64 = 54_000.0;
/// Seconds per day.
pub const SECONDS_PER_DAY: f64 = 86_400.0;
/// Seconds for which a request is open, at 40 ms per token.
pub const REQUEST_OPEN_S: f64 = TOKENS_PER_S / REQUESTS_PER_S * 0.040;
