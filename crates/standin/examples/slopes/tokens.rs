//! Tokens through a whole deployment: processor time of the node.

use std::error::Error;

use radishhaven_client::{Caller, RequestOptions};
use radishhaven_standin::{
    cpu,
    deployment::{Deployment, Plan},
};

use crate::{fit::Point, report::Report, target};

const SIZES: [usize; 5] = [10, 20, 40, 60, 80];
const MAX_TOKENS: u32 = 64;

/// Measures over the number of tokens that one node carries.
pub fn measure(report: &mut Report) -> Result<(), Box<dyn Error>> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .thread_name("caller")
        .enable_all()
        .build()?;
    let points = runtime.block_on(points())?;
    let a_second = target::TOKENS_PER_S / target::NODES;
    report.add(
        "processor time of the node",
        "token a second",
        "ms",
        points,
        a_second,
    );
    Ok(())
}

async fn points() -> Result<Vec<Point>, Box<dyn Error>> {
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
        let used = cpu::thread_time("node-0")? - before;
        points.push(Point {
            size: tokens as f64,
            cost: used.as_secs_f64() * 1e3,
        });
    }
    Ok(points)
}
