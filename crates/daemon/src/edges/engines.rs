//! Talks to model engines.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use radishhaven_client::HttpError;
use radishhaven_core::{
    engine::{EngineRefusal, KvCache, SessionRef, StepReply},
    ids::{RequestKey, StepId},
    message::{AttemptError, Event, StepOrder},
};
use radishhaven_proto::engine::{
    CANCEL_PATH, KV_EXPORT_PATH, KV_IMPORT_PATH, KvImport, STEP_PATH, StepRequest,
};

use crate::host::Host;

/// Time within which an engine should confirm the end of a session.
const END_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends a step and hands its end to the decisions.
pub(crate) fn step(
    host: &Arc<Host>,
    key: RequestKey,
    step: StepId,
    address: SocketAddr,
    order: StepOrder,
) {
    let host = host.clone();
    tokio::spawn(async move {
        let within = order.within;
        let req = StepRequest {
            session: order.session,
            model: order.model,
            version: order.version,
            layers: order.layers,
            first: order.first,
            input: order.input,
            priority: order.priority,
            deadline_ms: u64::try_from(within.as_millis()).ok(),
        };
        let sent = host
            .http
            .post::<_, StepReply>(address, STEP_PATH, &req, within)
            .await;
        let result = sent.map_err(attempt_error);
        host.handle(Event::StepDone { key, step, result });
    });
}

/// Opens a session from KV cache and hands the end to the decisions.
pub(crate) fn import(
    host: &Arc<Host>,
    key: RequestKey,
    step: StepId,
    address: SocketAddr,
    session: SessionRef,
    cache: KvCache,
    within: Duration,
) {
    let host = host.clone();
    tokio::spawn(async move {
        let req = KvImport { session, cache };
        let sent = host
            .http
            .post::<_, ()>(address, KV_IMPORT_PATH, &req, within)
            .await;
        let result = sent.map_err(attempt_error);
        host.handle(Event::ImportDone { key, step, result });
    });
}

/// Exports a session's KV cache and hands it to the decisions.
pub(crate) fn export(
    host: &Arc<Host>,
    key: RequestKey,
    address: SocketAddr,
    session: SessionRef,
    within: Duration,
) {
    let host = host.clone();
    tokio::spawn(async move {
        let sent = host
            .http
            .post::<_, KvCache>(address, KV_EXPORT_PATH, &session, within)
            .await;
        host.handle(Event::ExportDone {
            key,
            session,
            result: sent.map_err(attempt_error),
        });
    });
}

/// Tells an engine that a session is over.
pub(crate) fn end(host: &Arc<Host>, address: SocketAddr, session: SessionRef) {
    let host = host.clone();
    tokio::spawn(async move {
        // An engine that misses this drops the session by its own rules.
        let _ = host
            .http
            .post::<_, ()>(address, CANCEL_PATH, &session, END_TIMEOUT)
            .await;
    });
}

/// Tells what an exchange's error proves.
pub(super) fn attempt_error(error: HttpError) -> AttemptError {
    match error {
        HttpError::NotSent(_) => AttemptError::NotSent,
        HttpError::Lost(_) => AttemptError::Lost,
        HttpError::Malformed(_) => AttemptError::Malformed,
        HttpError::Status { body, .. } => serde_json::from_slice::<EngineRefusal>(&body)
            .map_or(AttemptError::Lost, AttemptError::Refused),
    }
}
