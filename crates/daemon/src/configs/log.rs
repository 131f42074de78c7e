//! `[log]`: what is logged, and how.

use spdlog::Level;

use crate::settings::Section;

/// How log records are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

/// `[log]`.
#[derive(Debug, Clone)]
pub struct LogConfig {
    /// The least severe level that is written. Default: info.
    pub level: Level,
    /// How records are written. Default: text.
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
                .take("level", levels, |v| v.parse().ok())
                .unwrap_or(default.level),
            format: section
                .take("format", formats, parse_format)
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
