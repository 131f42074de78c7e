//! `check`: says whether the settings are valid, and does nothing else.

use std::process::ExitCode;

use crate::{gateway::GatewaySettings, settings::Settings};

/// Confirms settings that were loaded.
pub fn run(settings: Settings) -> ExitCode {
    println!("settings of {} are valid", settings.node.vm);
    ExitCode::SUCCESS
}

/// Confirms settings of a gateway that were loaded.
pub fn run_route(settings: GatewaySettings) -> ExitCode {
    println!("settings of {} are valid", settings.node.vm);
    ExitCode::SUCCESS
}
