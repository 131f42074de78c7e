//! Sends requests to model engines, the backend servers that run the layers of a
//! model.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use radishhaven_client::HttpError;
use radishhaven_core::{
    engine::{EngineRefusal, KvCache, SessionRef},
    ids::{RequestKey, StepId, VmId},
    message::{AttemptError, Event, StepSpec},
    watch::Reading,
};
use radishhaven_proto::engine::{
    CANCEL_PATH, HOLDING_PATH, Holding, KV_EXPORT_PATH, KV_IMPORT_PATH, KvImport, LOAD_PATH,
    LoadReport, STEP_PATH, StepRequest,
};

use serde::{Serialize, de::DeserializeOwned};

use super::orders;
use crate::host::Host;

/// Timeout of the request that ends a session.
const END_SESSION_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends a step and passes its result to the decision core.
pub(crate) fn send_step(
    host: &Arc<Host>,
    key: RequestKey,
    step: StepId,
    address: SocketAddr,
    spec: StepSpec,
) {
    let timeout = spec.timeout;
    let req = StepRequest {
        session: spec.session,
        model: spec.model,
        version: spec.version,
        layers: spec.layers,
        first: spec.first,
        input: spec.input,
        priority: spec.priority,
        deadline_ms: u64::try_from(timeout.as_millis()).ok(),
    };
    exchange(
        host,
        (address, STEP_PATH),
        req,
        timeout,
        move |_, result| Event::StepDone { key, step, result },
    );
}

/// Opens a session from exported KV cache and passes the result to the decision
/// core.
pub(crate) fn import(
    host: &Arc<Host>,
    key: RequestKey,
    step: StepId,
    address: SocketAddr,
    session: SessionRef,
    cache: KvCache,
    timeout: Duration,
) {
    let req = KvImport { session, cache };
    exchange(
        host,
        (address, KV_IMPORT_PATH),
        req,
        timeout,
        move |_, result| Event::ImportDone { key, step, result },
    );
}

/// Exports a session's KV cache and passes it to the decision core.
pub(crate) fn export(
    host: &Arc<Host>,
    key: RequestKey,
    address: SocketAddr,
    session: SessionRef,
    timeout: Duration,
) {
    let target = (address, KV_EXPORT_PATH);
    exchange(host, target, session, timeout, move |session, result| {
        Event::ExportDone {
            key,
            session,
            result,
        }
    });
}

/// Sends a request to an engine. `event` turns the response into the event that
/// is passed to the decision core.
fn exchange<Req, Rep>(
    host: &Arc<Host>,
    (address, path): (SocketAddr, &'static str),
    req: Req,
    timeout: Duration,
    event: impl FnOnce(Req, Result<Rep, AttemptError>) -> Event + Send + 'static,
) where
    Req: Serialize + Send + Sync + 'static,
    Rep: DeserializeOwned + Send + 'static,
{
    let host = host.clone();
    tokio::spawn(async move {
        let sent = host.http.post::<_, Rep>(address, path, &req, timeout).await;
        host.handle(event(req, sent.map_err(attempt_error)));
    });
}

/// Ends a session at an engine.
pub(crate) fn end_session(host: &Arc<Host>, address: SocketAddr, session: SessionRef) {
    let host = host.clone();
    tokio::spawn(async move {
        // An engine that does not get this request drops the session itself later.
        let _ = host
            .http
            .post::<_, ()>(address, CANCEL_PATH, &session, END_SESSION_TIMEOUT)
            .await;
    });
}

/// Reads what a watched engine holds and, if `load` is set, its load.
pub(crate) fn read_watched(
    host: &Arc<Host>,
    vm: VmId,
    address: SocketAddr,
    load: bool,
    timeout: Duration,
) {
    let host = host.clone();
    tokio::spawn(async move {
        let sent_at = host.now();
        let holding = host.http.get::<Holding>(address, HOLDING_PATH, timeout);
        let load = async {
            if !load {
                return None;
            }
            let report = host.http.get::<LoadReport>(address, LOAD_PATH, timeout);
            // The address may have been reassigned to another engine, whose
            // report is ignored.
            report.await.ok().filter(|report| report.vm == vm)
        };
        let (holding, load) = tokio::join!(holding, load);
        let age = Duration::from_millis(load.as_ref().map_or(0, |load| load.age_ms));
        let reading = holding.ok().map(|holding| Reading {
            held: orders::engine_state(holding),
            queued: load.map(|load| load.queued),
            at: sent_at - age,
        });
        host.handle(Event::WatchedRead {
            vm,
            address,
            reading,
        });
    });
}

/// Classifies an HTTP error by what it proves about the attempt.
pub(super) fn attempt_error(error: HttpError) -> AttemptError {
    match error {
        HttpError::NotSent(_) => AttemptError::NotSent,
        HttpError::NoResponse(_) => AttemptError::Lost,
        HttpError::Malformed(_) => AttemptError::Malformed,
        HttpError::Status { body, .. } => serde_json::from_slice::<EngineRefusal>(&body)
            .map_or(AttemptError::Lost, AttemptError::Refused),
    }
}
