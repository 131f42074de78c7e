//! Measures the processor time of a node over the number of tokens that pass
//! through it, on a full deployment.

use std::error::Error;

use radishhaven_client::{Caller, RequestOptions};
use radishhaven_standin::{
    cpu,
    deployment::{Deployment, Plan},
};

use crate::{fit::Point, report::Report, target};

/// Numbers of concurrent requests to measure.
const SIZES: [usize; 5] = [10, 20, 40, 60, 80];
/// Maximum number of generated tokens of a request.
const MAX_TOKENS: u32 = 64;

/// Measures over the number of tokens that pass through one node.
///
/// # Errors
///
/// Returns an error if the deployment cannot be started, a request fails, or
/// the processor time cannot be read.
pub fn measure(report: &mut Report) -> Result<(), Box<dyn Error>> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .thread_name("caller")
        .enable_all()
        .build()?;
    let points = runtime.block_on(measure_points())?;
    let tokens_per_s = target::TOKENS_PER_S / target::NODES;
    report.add(
        "processor time of the node",
        "token a second",
        "ms",
        points,
        tokens_per_s,
    );
    Ok(())
}

/// Sends each number of requests and returns tokens and processor time in
/// milliseconds.
async fn measure_points() -> Result<Vec<Point>, Box<dyn Error>> {
    let deployment = Deployment::start(Plan::bitacora(1, 4)).await?;
    let caller = Caller::new("small-firm")?;
    let node = deployment.callers_address("node-0");
    let pipeline = &deployment.plan.pipeline;
    let mut points = Vec::new();
    for requests in SIZES {
        let before = cpu::thread_time("node-0")?;
        let ask = RequestOptions::default();
        let sent = (0..requests).map(|n| {
            let (caller, ask) = (&caller, &ask);
            async move {
                let prompt = format!("trip {n} to the depot");
                caller
                    .complete(node, ask, pipeline, &prompt, MAX_TOKENS)
                    .await
            }
        });
        let mut tokens = 0;
        for answer in futures_util::future::join_all(sent).await {
            tokens += answer?.text.len();
        }
        let cpu_time = cpu::thread_time("node-0")? - before;
        points.push(Point {
            size: tokens as f64,
            cost: cpu_time.as_secs_f64() * 1e3,
        });
    }
    Ok(points)
}
