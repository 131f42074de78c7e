//! `[log]`: level and format of the log.

use spdlog::Level;

use crate::settings::Section;

/// Format of log records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text lines.
    Text,
    /// One JSON object per line.
    Json,
}

/// `[log]`.
#[derive(Debug, Clone)]
pub struct LogConfig {
    /// Least severe level that is logged. Default: info.
    pub level: Level,
    /// Format of the records. Default: text.
    pub format: LogFormat,
}

impl Default for LogConfig {
    fn default() -> Self {
        Self {
            level: Level::Info,
            format: LogFormat::Text,
        }
    }
}

impl LogConfig {
    pub(crate) fn read(section: &mut Section<'_>) -> Self {
        let default = Self::default();
        let levels = "critical, error, warn, info, debug or trace";
        let formats = "text or json";
        Self {
            level: section
                .optional("level", levels, |v| v.parse().ok())
                .unwrap_or(default.level),
            format: section
                .optional("format", formats, parse_format)
                .unwrap_or(default.format),
        }
    }
}

fn parse_format(value: &str) -> Option<LogFormat> {
    match value {
        "text" => Some(LogFormat::Text),
        "json" => Some(LogFormat::Json),
        _ => None,
    }
}
