//! Settings of recovery inside a request.

/// Bounds what a request keeps so that a stage can be replaced; the INI
/// section `[recovery]`. The reasons are in `docs/design/recovery.md`.
#[derive(Debug, Clone)]
pub struct RecoveryConfig {
    /// Positions between two exports of a stage's KV cache; 0 exports only
    /// when half of the kept positions are used up. Default: 0.
    pub export_every_tokens: u32,
    /// Positions whose inputs are kept for each stage but the first. Default: 1024.
    pub max_kept_positions: u32,
}

impl Default for RecoveryConfig {
    fn default() -> Self {
        Self {
            export_every_tokens: 0,
            max_kept_positions: 1024,
        }
    }
}
