//! `serve`: runs an entry node until SIGTERM or SIGINT, then shuts it down
//! gracefully within the configured timeout.

use std::process::ExitCode;

use spdlog::prelude::*;
use tokio::{
    runtime::Builder,
    signal::unix::{SignalKind, signal},
};

use super::runtime;
use crate::{host::RunningNode, logging, settings::Settings};

/// Runs the entry node.
pub fn run(settings: Settings) -> ExitCode {
    if let Err(error) = logging::init_stderr(&settings.log) {
        eprintln!("radishhavend: {error}");
        return ExitCode::FAILURE;
    }
    let Some(runtime) = runtime(Builder::new_multi_thread()) else {
        return ExitCode::FAILURE;
    };
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> ExitCode {
    let node = match RunningNode::start(settings).await {
        Ok(node) => node,
        Err(error) => {
            critical!("the node could not be started", kv: { error = error.to_string() });
            return ExitCode::FAILURE;
        }
    };
    println!(
        "callers {} operators {} peers {}",
        node.callers_address, node.operators_address, node.peers_address
    );
    let (Ok(mut term), Ok(mut int)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        return ExitCode::FAILURE;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    info!("shutting down gracefully");
    let all_ended = node.drain().await;
    info!("stopped", kv: { all_requests_ended = all_ended });
    if all_ended {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
