//! The sizes that the users' letter states.

/// Entry nodes.
pub const NODES: f64 = 360.0;
/// Backend servers.
pub const WORKERS: f64 = 12_000.0;
/// Requests a second, over all nodes.
pub const REQUESTS_PER_S: f64 = 12_000.0;
/// Tokens a second, over all nodes.
pub const TOKENS_PER_S: f64 = 5_100_000.0;
/// Organisations.
pub const ORGANISATIONS: f64 = 780.0;
/// Models.
pub const MODELS: u16 = 28;
/// Changes of the configuration a day.
pub const CHANGES_PER_DAY: f64 = 54_000.0;
/// Seconds of a day.
pub const SECONDS_PER_DAY: f64 = 86_400.0;
/// Seconds that one request is open, at 40 ms a token.
pub const REQUEST_OPEN_S: f64 = TOKENS_PER_S / REQUESTS_PER_S * 0.040;
