//! Serves HTTP/1.1 connections of a listener.

use std::{convert::Infallible, future::Future, net::SocketAddr, time::Duration};

use http::{Request, Response};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use spdlog::prelude::*;
use tokio::net::{TcpListener, TcpSocket};

use super::{GatewayStartError, body::Body};

/// Connections that wait to be accepted at most.
const LISTEN_BACKLOG: u32 = 1024;
/// Pause after a connection could not be accepted, for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Longest time without a request or within a request's head; it must be above
/// the time for which callers reuse a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Most bytes of a request's head.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Listens on an address, and puts the port there that was bound.
pub(super) fn listen(address: &mut SocketAddr) -> Result<TcpListener, GatewayStartError> {
    let asked = *address;
    let mut bound = || {
        let socket = match asked {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        socket.bind(asked)?;
        let listener = socket.listen(LISTEN_BACKLOG)?;
        *address = listener.local_addr()?;
        Ok(listener)
    };
    let address = asked;
    bound().map_err(|source| GatewayStartError::Listen { address, source })
}

/// Answers the requests of all connections until the process ends.
pub(super) async fn serve<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!("a connection was not accepted", kv: { error = error.to_string() });
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if let Err(error) = stream.set_nodelay(true) {
            debug!("a connection ended at once", kv: { error = error.to_string() });
            continue;
        }
        let handler = handler.clone();
        let service = service_fn(move |req| {
            let answer = handler(req);
            async move { Ok::<_, Infallible>(answer.await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(IDLE_TIMEOUT)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        // A caller that leaves ends the connection with an error, and each
        // request says itself how it ended.
        tokio::spawn(async move {
            let _ = connection.await;
        });
    }
}
