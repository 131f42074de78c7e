//! Settings of the recovery of stages within a request.

/// Limits the data that a request retains so that a failed stage can be replaced;
/// the INI section `[recovery]`. The design is described in
/// `docs/design/recovery.md`.
#[derive(Debug, Clone)]
pub struct RecoveryConfig {
    /// Number of positions between two exports of the KV cache of a stage. With 0,
    /// a stage exports only when half of the retained positions are used up.
    /// Default: 0.
    pub export_every_tokens: u32,
    /// Maximum number of positions for which the inputs of each stage except the
    /// first are retained. Default: 1024.
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
