//! Serves the HTTP/1.1 connections of a listener.

use std::{convert::Infallible, future::Future, net::SocketAddr, pin::pin, time::Duration};

use http::{Request, Response};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use spdlog::prelude::*;
use tokio::net::{TcpListener, TcpSocket};

use super::{
    GatewayStartError,
    body::Body,
    caller_stream::{CallerStream, EndOfResponse},
    closing::Closing,
};

/// Largest number of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1024;
/// Delay after a connection could not be accepted, as happens when file
/// descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Timeout of an idle connection and of reading a request head. It must be
/// longer than callers keep idle connections for reuse.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Largest size of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Listens on an address and replaces it by the bound one, in case its port is
/// zero.
pub(super) fn listen(address: &mut SocketAddr) -> Result<TcpListener, GatewayStartError> {
    let requested = *address;
    let mut bind = || {
        let socket = match requested {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        socket.bind(requested)?;
        let listener = socket.listen(LISTEN_BACKLOG)?;
        *address = listener.local_addr()?;
        Ok(listener)
    };
    let address = requested;
    bind().map_err(|source| GatewayStartError::Listen { address, source })
}

/// Serves all connections until the process ends. `closing` ends them earlier.
pub(super) async fn serve<H, F>(listener: TcpListener, closing: Closing, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!("failed to accept a connection", kv: { error = error.to_string() });
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if let Err(error) = stream.set_nodelay(true) {
            debug!("a connection was closed before its first request", kv: { error = error.to_string() });
            continue;
        }
        let handler = handler.clone();
        let end = EndOfResponse::default();
        let end_of_request = end.clone();
        let service = service_fn(move |req: Request<Incoming>| {
            end_of_request.record_request(req.version());
            let response = handler(req);
            async move { Ok::<_, Infallible>(response.await) }
        });
        let stream = CallerStream::new(stream, end.clone());
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(IDLE_TIMEOUT)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        // An error means that the caller disconnected or that a response was cut.
        // The end of each request is logged by its job.
        let closing = closing.clone();
        tokio::spawn(async move {
            let mut connection = pin!(connection);
            let driving = closing.drive(connection.as_mut(), |c| c.graceful_shutdown());
            if driving.await.is_ok() {
                end.record_complete();
            }
        });
    }
}

#[cfg(test)]
mod tests;
