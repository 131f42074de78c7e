//! Measures what running requests at most once costs; the figures are in
//! `docs/design/at-most-once.md`.
//!
//!     cargo run --release --example once            # everything
//!     cargo run --release --example once -- tables  # without the deployments

mod cost;
mod death;

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
    match death::run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("the deployment failed: {error}");
            ExitCode::FAILURE
        }
    }
}
