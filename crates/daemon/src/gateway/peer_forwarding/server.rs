//! Takes requests that peers forward.

use std::{convert::Infallible, pin::pin, sync::Arc, time::Duration};

use http::{HeaderMap, HeaderValue, Request, Response};
use hyper::{body::Incoming, server::conn::http2, service::service_fn};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use radishhaven_core::gateway::caller_usage::Origin;
use spdlog::prelude::*;
use tokio::net::{TcpListener, TcpStream};

use super::{
    FORWARDED_BY, MAY_FAIL_OVER, NodeOutcome, OUTCOME, VERSION_PREFIX,
    client::{CONNECTION_WINDOW, MAX_STREAMS, STREAM_WINDOW},
};
use crate::gateway::{
    body::{Body, CountedBody},
    caller_account::Holder,
    host::GatewayHost,
    ingress::{self, Forwarded},
    peer_configuration,
};

/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Interval of the pings on a connection.
const PING_INTERVAL: Duration = Duration::from_secs(2);
/// Time without an answer to a ping after which a connection is closed, and its
/// requests end.
const PING_TIMEOUT: Duration = Duration::from_secs(1);

/// Serves the connections of peers until the process ends.
pub(in crate::gateway) async fn serve(host: Arc<GatewayHost>, listener: TcpListener) {
    loop {
        host.callers.prepare(&listener);
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Some(holder) = host.callers.admit(&stream, Origin::Others) {
                    serve_connection(host.clone(), stream, holder);
                }
            }
            Err(error) => {
                warn!("failed to accept a connection of a peer", kv: { error = error.to_string() });
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

fn serve_connection(host: Arc<GatewayHost>, stream: TcpStream, holder: Arc<Holder>) {
    if let Err(error) = stream.set_nodelay(true) {
        debug!("a peer closed its connection", kv: { error = error.to_string() });
        return;
    }
    let closing = host.closing.clone();
    let carrier = holder.clone();
    let service = service_fn(move |mut req: Request<Incoming>| {
        let host = host.clone();
        let holder = carrier.open_request();
        req.extensions_mut().insert(holder.clone());
        async move {
            let resp = handle(host, req).await;
            Ok::<_, Infallible>(resp.map(|body| CountedBody::new(body, holder)))
        }
    });
    let connection = http2::Builder::new(TokioExecutor::new())
        .timer(TokioTimer::new())
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_concurrent_streams(MAX_STREAMS)
        .max_send_buf_size(STREAM_WINDOW as usize)
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    // The sender notices the end of a connection by its requests.
    tokio::spawn(async move {
        let connection = pin!(connection);
        tokio::select! {
            _ = closing.drive(connection, |c| c.graceful_shutdown()) => {}
            () = holder.closed() => {}
        }
    });
}

/// Handles one request of a peer and returns the response for it.
async fn handle(host: Arc<GatewayHost>, mut req: Request<Incoming>) -> Response<Body> {
    let is_forwarded = req.headers().contains_key(FORWARDED_BY);
    if !is_forwarded && peer_configuration::is_requested(req.uri()) {
        return peer_configuration::respond(&host, req.uri());
    }
    let headers = req.headers_mut();
    let configuration_version = stated_version(headers);
    let from = headers.remove(FORWARDED_BY);
    let may_fail_over = headers.remove(MAY_FAIL_OVER).is_some();
    let from = from.and_then(|vm| vm.to_str().ok()?.parse().ok());
    let forwarded = Forwarded {
        from,
        configuration_version,
        may_fail_over,
    };
    let mut resp = ingress::handle_from_peer(host, req, forwarded).await;
    if let Some(outcome) = resp.extensions().get::<NodeOutcome>().copied() {
        let text = HeaderValue::from_static(outcome.as_str());
        resp.headers_mut().insert(OUTCOME, text);
    }
    resp
}

/// Returns the version of the configuration that the sender has decided by, or `None` if
/// it is of a release that states none.
fn stated_version(headers: &HeaderMap) -> Option<u64> {
    let values = headers.get_all(FORWARDED_BY).into_iter();
    let mut stated = values.filter_map(|value| value.to_str().ok()?.strip_prefix(VERSION_PREFIX));
    stated.next()?.parse().ok()
}
