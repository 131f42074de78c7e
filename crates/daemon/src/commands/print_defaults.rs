//! `print-defaults`: prints a settings file with all defaults.

use std::process::ExitCode;

use crate::settings::DEFAULTS;

/// Prints all settings with their defaults.
pub fn run() -> ExitCode {
    print!("{DEFAULTS}");
    ExitCode::SUCCESS
}
