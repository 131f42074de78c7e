//! `[callers]`: connections of callers.

use crate::settings::Section;

/// `[callers]`.
#[derive(Debug, Clone)]
pub struct CallersConfig {
    /// Bytes that the system may hold for one connection when its caller does
    /// not read; parts of an answer beyond them stay unread at the node, see
    /// [`radishhaven_core::configs::FlowConfig`]. Default: 65,536.
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
        let d = Self::default();
        Self {
            send_buffer_bytes: section
                .number("send_buffer_bytes", 4_096..=16_777_216)
                .unwrap_or(d.send_buffer_bytes),
        }
    }
}
