//! `[callers]`: settings of callers' connections.

use crate::settings::Section;

/// `[callers]`.
#[derive(Debug, Clone)]
pub struct CallersConfig {
    /// Size of the kernel's send buffer of one connection, in bytes. When a
    /// caller reads slowly, the chunks of its answer beyond this size wait in
    /// the node, where [`radishhaven_core::configs::FlowConfig`] bounds them.
    /// Default: 65,536.
    pub send_buffer_bytes: u32,
}

impl Default for CallersConfig {
    fn default() -> Self {
        Self {
            send_buffer_bytes: 65_536,
        }
    }
}

impl CallersConfig {
    pub(crate) fn read(section: &mut Section<'_>) -> Self {
        let defaults = Self::default();
        Self {
            send_buffer_bytes: section
                .number("send_buffer_bytes", 4_096..=16_777_216)
                .unwrap_or(defaults.send_buffer_bytes),
        }
    }
}
