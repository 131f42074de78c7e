//! Talks to model engines.

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

/// Time within which an engine should confirm the end of a session.
const END_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends a step and hands its end to the decisions.
pub(crate) fn step(
    host: &Arc<Host>,
    key: RequestKey,
    step: StepId,
    address: SocketAddr,
    order: StepSpec,
) {
    let within = order.timeout;
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
    exchange(host, (address, STEP_PATH), req, within, move |_, result| {
        Event::StepDone { key, step, result }
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
    let req = KvImport { session, cache };
    exchange(
        host,
        (address, KV_IMPORT_PATH),
        req,
        within,
        move |_, result| Event::ImportDone { key, step, result },
    );
}

/// Exports a session's KV cache and hands it to the decisions.
pub(crate) fn export(
    host: &Arc<Host>,
    key: RequestKey,
    address: SocketAddr,
    session: SessionRef,
    within: Duration,
) {
    let target = (address, KV_EXPORT_PATH);
    exchange(host, target, session, within, move |session, result| {
        Event::ExportDone {
            key,
            session,
            result,
        }
    });
}

/// Asks an engine and hands the event that its answer makes to the decisions.
fn exchange<Req, Rep>(
    host: &Arc<Host>,
    (address, path): (SocketAddr, &'static str),
    req: Req,
    within: Duration,
    event: impl FnOnce(Req, Result<Rep, AttemptError>) -> Event + Send + 'static,
) where
    Req: Serialize + Send + Sync + 'static,
    Rep: DeserializeOwned + Send + 'static,
{
    let host = host.clone();
    tokio::spawn(async move {
        let sent = host.http.post::<_, Rep>(address, path, &req, within).await;
        host.handle(event(req, sent.map_err(attempt_error)));
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

/// Reads what a watched engine holds, and its load if that is asked for.
pub(crate) fn read(host: &Arc<Host>, vm: VmId, address: SocketAddr, load: bool, within: Duration) {
    let host = host.clone();
    tokio::spawn(async move {
        let asked = host.now();
        let holding = host.http.get::<Holding>(address, HOLDING_PATH, within);
        let load = async {
            if !load {
                return None;
            }
            let report = host.http.get::<LoadReport>(address, LOAD_PATH, within);
            // An answer of another engine, after an address was given anew.
            report.await.ok().filter(|report| report.vm == vm)
        };
        let (holding, load) = tokio::join!(holding, load);
        let age = Duration::from_millis(load.as_ref().map_or(0, |load| load.age_ms));
        let reading = holding.ok().map(|holding| Reading {
            held: orders::held(holding),
            queued: load.map(|load| load.queued),
            at: asked - age,
        });
        host.handle(Event::WatchedRead {
            vm,
            address,
            reading,
        });
    });
}

/// Tells what an exchange's error proves.
pub(super) fn attempt_error(error: HttpError) -> AttemptError {
    match error {
        HttpError::NotSent(_) => AttemptError::NotSent,
        HttpError::NoResponse(_) => AttemptError::Lost,
        HttpError::Malformed(_) => AttemptError::Malformed,
        HttpError::Status { body, .. } => serde_json::from_slice::<EngineRefusal>(&body)
            .map_or(AttemptError::Lost, AttemptError::Refused),
    }
}
