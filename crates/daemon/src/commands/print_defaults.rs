//! `print-defaults`: prints all settings, as a file to begin with.

use std::process::ExitCode;

use crate::settings::DEFAULTS;

/// Prints the settings.
pub fn run() -> ExitCode {
    print!("{DEFAULTS}");
    ExitCode::SUCCESS
}
