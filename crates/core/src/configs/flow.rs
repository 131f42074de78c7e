//! Settings of flow control towards callers.

/// Bounds what a slow caller makes a node hold; the INI section `[flow]`.
#[derive(Debug, Clone)]
pub struct FlowConfig {
    /// Parts of an answer that its caller has not taken, from which on no
    /// further token is asked for. Default: 64.
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
    /// Returns after how many further parts an edge should say how many its
    /// caller has taken: often enough that no answer waits for a caller that
    /// has taken all of it.
    pub fn chunks_per_report(&self) -> u32 {
        (self.max_unread_chunks / 2).max(1)
    }
}
