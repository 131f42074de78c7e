//! `route`: runs a gateway on the users' platform.

use std::{path::PathBuf, process::ExitCode};

use spdlog::prelude::*;
use tokio::runtime::Builder;

use super::runtime;
use crate::{
    gateway::{GatewayHost, GatewaySettings},
    logging,
};

/// Runs the gateway.
pub fn run(settings: GatewaySettings, path: PathBuf) -> ExitCode {
    if let Err(error) = logging::init_stdout(&settings.log) {
        eprintln!("radishhavend: {error}");
        return ExitCode::FAILURE;
    }
    // A VM of the platform has only a fraction of one core.
    let Some(runtime) = runtime(Builder::new_current_thread()) else {
        return ExitCode::FAILURE;
    };
    let reload = || GatewaySettings::load(&path).map_err(|e| e.to_string());
    let ended = runtime.block_on(GatewayHost::run(settings, reload));
    let code = match ended {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            critical!("the gateway could not be started", kv: { error = error.to_string() });
            ExitCode::FAILURE
        }
    };
    spdlog::default_logger().flush();
    code
}
