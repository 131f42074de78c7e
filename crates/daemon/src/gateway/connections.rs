//! Serves the HTTP/1.1 connections of a listener.

use std::{
    convert::Infallible, future::Future, net::SocketAddr, pin::pin, sync::Arc, time::Duration,
};

use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use radishhaven_core::gateway::caller_usage::Origin;
use spdlog::prelude::*;
use tokio::net::{TcpListener, TcpSocket};

use super::{
    GatewayStartError,
    body::{Body, CountedBody, text_response},
    caller_account::{CallerAccount, NoMemory},
    caller_stream::{CallerStream, EndOfResponse},
    closing::Closing,
};

/// Largest number of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1024;
/// Delay after a connection could not be accepted, as happens when file
/// descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Seconds after which a caller may retry that was refused for lack of memory. Slow
/// holders of memory are closed after a second.
const RETRY_AFTER_S: &str = "1";

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

/// What the connections of a listener share with those of others.
#[derive(Debug, Clone)]
pub(super) struct Shared {
    /// Ends the connections before the process does.
    pub(super) closing: Closing,
    /// Counts what the connections occupy.
    pub(super) account: Arc<CallerAccount>,
    /// Who uses the listener.
    pub(super) origin: Origin,
}

/// Refuses a request of which nothing was passed on.
fn refuse(error: &NoMemory) -> Response<Body> {
    let mut resp = text_response(StatusCode::SERVICE_UNAVAILABLE, &error.to_string());
    let headers = resp.headers_mut();
    headers.insert(header::RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER_S));
    headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    resp
}

/// Serves all connections until the process ends.
pub(super) async fn serve<H, F>(listener: TcpListener, shared: Shared, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let Shared {
        closing,
        account,
        origin,
    } = shared;
    loop {
        account.prepare(&listener);
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!("failed to accept a connection", kv: { error = error.to_string() });
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let Some(holder) = account.admit(&stream, origin) else {
            continue;
        };
        if let Err(error) = stream.set_nodelay(true) {
            debug!("a connection was closed before its first request", kv: { error = error.to_string() });
            continue;
        }
        let handler = handler.clone();
        let end = EndOfResponse::default();
        let end_of_request = end.clone();
        let serving = holder.clone();
        let service = service_fn(move |mut req: Request<Incoming>| {
            end_of_request.record_request(req.version());
            let admitted = serving.serve();
            req.extensions_mut().insert(serving.clone());
            let response = admitted.map(|()| handler(req));
            let holder = serving.clone();
            async move {
                let resp = match response {
                    Ok(response) => response.await,
                    Err(error) => refuse(&error),
                };
                Ok::<_, Infallible>(resp.map(|body| CountedBody::new(body, holder)))
            }
        });
        let stream = CallerStream::new(stream, end.clone(), holder.clone());
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            // It also runs between requests; heads have a timeout of their own.
            .header_read_timeout(account.limits().idle_timeout)
            .max_buf_size(account.max_head_bytes())
            .serve_connection(TokioIo::new(stream), service);
        // An error means that the caller disconnected or that a response was cut.
        // The end of each request is logged by its job.
        let closing = closing.clone();
        tokio::spawn(async move {
            let mut connection = pin!(connection);
            let driving = closing.drive(connection.as_mut(), |c| c.graceful_shutdown());
            tokio::select! {
                driven = driving => if driven.is_ok() {
                    end.record_complete();
                },
                () = holder.closed() => {}
            }
        });
    }
}

#[cfg(test)]
mod tests;
