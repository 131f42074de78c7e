//! Settings of flow control towards callers.

/// Limits how much unread output a node buffers for a slow caller; the INI section
/// `[flow]`.
#[derive(Debug, Clone)]
pub struct FlowConfig {
    /// Number of chunks of an answer that its caller has not read yet at which the
    /// node stops requesting further tokens. Default: 64.
    pub max_unread_chunks: u32,
}

impl Default for FlowConfig {
    fn default() -> Self {
        Self {
            max_unread_chunks: 64,
        }
    }
}

impl FlowConfig {
    /// Returns the number of chunks after which an edge reports how many its
    /// caller has read.
    ///
    /// Half of the limit is often enough that an answer never stalls for a caller
    /// that has read all of it.
    pub fn chunks_per_report(&self) -> u32 {
        (self.max_unread_chunks / 2).max(1)
    }
}
