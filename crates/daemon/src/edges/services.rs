//! Sends calls to plain services, the backend servers that are not model
//! engines.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use radishhaven_client::HttpError;
use radishhaven_core::{
    ids::{Attempt, RequestId, RequestKey},
    message::{AttemptError, Event},
};
use radishhaven_proto::service::{CALL_PATH, Call, CallReply};

use crate::host::Host;

/// Sends a call and passes its result to the decision core.
#[allow(clippy::too_many_arguments)]
pub(crate) fn call(
    host: &Arc<Host>,
    key: RequestKey,
    attempt: Attempt,
    address: SocketAddr,
    request: RequestId,
    operation: String,
    body: serde_json::Value,
    timeout: Duration,
) {
    let host = host.clone();
    tokio::spawn(async move {
        let req = Call {
            request,
            operation,
            body,
            deadline_ms: u64::try_from(timeout.as_millis()).ok(),
        };
        let sent = host
            .call_http
            .post::<_, CallReply>(address, CALL_PATH, &req, timeout)
            .await;
        let result = match sent {
            Ok(reply) if reply.request == req.request => Ok(reply.body),
            Ok(_) => Err(AttemptError::Malformed),
            Err(HttpError::NotSent(_)) => Err(AttemptError::NotSent),
            Err(HttpError::Malformed(_)) => Err(AttemptError::Malformed),
            Err(_) => Err(AttemptError::Lost),
        };
        host.handle(Event::CallDone {
            key,
            attempt,
            result,
        });
    });
}
