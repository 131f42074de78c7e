//! `check` and `check-route`: validate the settings without starting a node.

use std::process::ExitCode;

use crate::{gateway::GatewaySettings, settings::Settings};

/// Reports that the loaded settings of an entry node are valid.
pub fn run(settings: Settings) -> ExitCode {
    println!("settings of {} are valid", settings.node.vm);
    ExitCode::SUCCESS
}

/// Reports that the loaded settings of a gateway are valid.
pub fn run_route(settings: GatewaySettings) -> ExitCode {
    println!("settings of {} are valid", settings.node.vm);
    ExitCode::SUCCESS
}
