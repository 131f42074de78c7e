//! `route`: runs the node as a gateway on the users' platform.

use std::{path::PathBuf, process::ExitCode};

use spdlog::prelude::*;

use crate::{
    gateway::{GatewayHost, GatewaySettings},
    logging,
};

/// Runs the gateway.
pub fn run(settings: GatewaySettings, path: PathBuf) -> ExitCode {
    if let Err(error) = logging::init_bounded(&settings.log) {
        eprintln!("radishhavend: {error}");
        return ExitCode::FAILURE;
    }
    // A VM of the platform has a part of one core.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            critical!("the runtime could not be started", kv: { error = error.to_string() });
            return ExitCode::FAILURE;
        }
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
