//! Appends a batch to the log and waits for its position to decide.

use std::{sync::Arc, time::Duration};

use radishhaven_client::HttpError;
use radishhaven_core::config::Batch;
use radishhaven_proto::{
    operator::{Applied, ApplyOutcome},
    platform::{Append, Appended, CONFIG_STREAM, STREAMS_PATH},
};

use crate::host::Host;

/// Time within which the log should confirm an append.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Time within which the node should read the batch back.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two looks at whether the batch was folded.
const SETTLE_POLL: Duration = Duration::from_millis(5);

/// Appends a batch and tells what became of it.
///
/// A batch that the node has folded before is not appended again, and a lost
/// answer is settled by the batch's id.
pub(super) async fn run(host: &Arc<Host>, batch: Batch) -> Applied {
    let outcome = match decided(host, &batch) {
        Some(outcome) => outcome,
        None => append(host, &batch).await,
    };
    host.read(|node| Applied {
        batch: batch.batch.clone(),
        outcome,
        node: node.configs().identity.vm.clone(),
        revision: node.tables().config.revision(),
    })
}

fn decided(host: &Host, batch: &Batch) -> Option<ApplyOutcome> {
    let result = host.read(|node| node.tables().config.result(&batch.batch).cloned());
    result.map(ApplyOutcome::Decided)
}

async fn append(host: &Arc<Host>, batch: &Batch) -> ApplyOutcome {
    let path = format!("{STREAMS_PATH}{CONFIG_STREAM}/records");
    let body = Append {
        body: serde_json::to_string(batch).unwrap_or_default(),
    };
    let log = host.settings.platform.log;
    let sent = host
        .http
        .post::<_, Appended>(log, &path, &body, APPEND_TIMEOUT)
        .await;
    if let Err(HttpError::NotSent(_)) = sent {
        return ApplyOutcome::NotAppended;
    }
    let settled = async {
        loop {
            if let Some(outcome) = decided(host, batch) {
                return outcome;
            }
            tokio::time::sleep(SETTLE_POLL).await;
        }
    };
    let settled = tokio::time::timeout(SETTLE_TIMEOUT, settled).await;
    settled.unwrap_or(ApplyOutcome::Unknown)
}
