//! Helpers shared by the node's HTTP servers.

use std::convert::Infallible;

use http::{HeaderValue, StatusCode, header::CONTENT_TYPE};
use serde::Serialize;
use spdlog::prelude::*;
use tokio::net::TcpListener;
use volo::{net::incoming::DefaultIncoming, service::Service};
use volo_http::{
    body::Body, context::ServerContext, request::Request, response::Response, server::Server,
};

/// Serves requests from a listener until the process ends.
pub(super) async fn serve<S>(name: &'static str, listener: TcpListener, service: S)
where
    S: Service<ServerContext, Request, Response = Response, Error = Infallible>
        + Send
        + Sync
        + 'static,
{
    let server = Server::new(service)
        // On a signal, the library runs its shutdown hooks and then stops
        // listening. A hook that never ends prevents that: the node itself
        // stops after its last caller was served.
        .register_shutdown_hook(|| Box::pin(std::future::pending()));
    if let Err(error) = server.run(DefaultIncoming::from(listener)).await {
        error!("an HTTP listener failed", kv: { name, error = error.to_string() });
    }
}

/// Returns a JSON response.
pub(super) fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut resp = Response::new(Body::from(body));
    *resp.status_mut() = status;
    resp.headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    resp
}

/// Returns a plain text response.
pub(super) fn text(status: StatusCode, value: String) -> Response {
    let mut resp = Response::new(Body::from(value));
    *resp.status_mut() = status;
    resp
}

/// Returns the first value of `key` in a query string, without decoding it.
pub(super) fn query_value<'a>(query: Option<&'a str>, key: &str) -> Option<&'a str> {
    let pairs = query?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(k, _)| *k == key).map(|(_, v)| v).next()
}
