//! Measures the cost of running requests at most once. The figures are in
//! `docs/design/at-most-once.md`.
//!
//!     cargo run --release --example once            # all measurements
//!     cargo run --release --example once -- tables  # without the deployments

mod cost;
mod home_crash;

use std::process::ExitCode;

#[tokio::main(flavor = "multi_thread")]
async fn main() -> ExitCode {
    cost::memory();
    cost::bytes();
    cost::processor();
    if std::env::args().nth(1).as_deref() == Some("tables") {
        return ExitCode::SUCCESS;
    }
    for witnesses in [0, 1, 2] {
        if let Err(error) = cost::latency(witnesses).await {
            eprintln!("the deployment failed: {error}");
            return ExitCode::FAILURE;
        }
    }
    match home_crash::run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("the deployment failed: {error}");
            ExitCode::FAILURE
        }
    }
}
