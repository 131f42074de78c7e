//! Sends requests to peers, over one connection to each.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, Uri, header};
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http2::SendRequest};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use radishhaven_client::BodyFraming;
use radishhaven_core::{
    gateway::{PeerChoice, links::ConnectFailure},
    ids::VmId,
};
use radishhaven_platform::{
    backend_response::{self, ResponseHead},
    caller,
};
use tokio::net::TcpStream;

use super::{FORWARDED_BY, MAY_FAIL_OVER, NodeOutcome, OUTCOME, VERSION_PREFIX};
use crate::gateway::exchange::{BackendResponse, OutgoingRequest, SendOutcome};

/// Timeout for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval of the pings on a connection.
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// Time without an answer to a ping after which a connection is closed.
const PING_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time after which an unused connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Bytes of one response that may be on the way. A caller that does not read stops
/// its own stream at this size.
pub(super) const STREAM_WINDOW: u32 = 32 * 1024;
/// Requests that one connection carries at a time.
pub(super) const MAX_STREAMS: u32 = 256;
/// Bytes of all responses of a connection that may be on the way, so that callers
/// that do not read don't stop the streams of others.
pub(super) const CONNECTION_WINDOW: u32 = STREAM_WINDOW * MAX_STREAMS;

/// Sends requests on one connection.
pub(in crate::gateway) type Sender = SendRequest<Full<Bytes>>;

/// The open connections to peers.
#[derive(Debug, Default)]
pub(in crate::gateway) struct PeerConnections {
    open: Mutex<BTreeMap<SocketAddr, (Sender, Instant)>>,
}

impl PeerConnections {
    /// Returns a connection to a peer, which is opened if there is none.
    pub(in crate::gateway) async fn get(&self, address: SocketAddr) -> io::Result<Sender> {
        if let Some(sender) = self.existing(address) {
            return Ok(sender);
        }
        let connect = tokio::time::timeout(CONNECT_TIMEOUT, connect(address));
        let sender = connect.await.map_err(|_| io::ErrorKind::TimedOut)??;
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.insert(address, (sender.clone(), Instant::now()));
        Ok(sender)
    }

    /// Returns the open connection to a peer, and closes those that are unused.
    fn existing(&self, address: SocketAddr) -> Option<Sender> {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.retain(|_, (sender, used_at)| !sender.is_closed() && used_at.elapsed() < IDLE_TIMEOUT);
        let (sender, used_at) = open.get_mut(&address)?;
        *used_at = Instant::now();
        Some(sender.clone())
    }
}

async fn connect(address: SocketAddr) -> io::Result<Sender> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    // Pings decide when the connection is lost. The socket option
    // TCP_USER_TIMEOUT is left unset.
    let (sender, connection) = hyper::client::conn::http2::Builder::new(TokioExecutor::new())
        .timer(TokioTimer::new())
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    // Errors of the connection are also returned by its requests.
    tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(sender)
}

/// What a peer has to know of a request beside what the caller sent.
#[derive(Debug)]
pub(in crate::gateway) struct PeerContext<'a> {
    /// This node.
    pub(in crate::gateway) own: &'a VmId,
    /// The version of the configuration that this node has decided by.
    pub(in crate::gateway) configuration_version: u64,
    /// Time left until the deadline.
    pub(in crate::gateway) time_left: Duration,
    /// Id of the last event that the caller has received.
    pub(in crate::gateway) last_event: Option<&'a str>,
    /// Whether this node can still send the request elsewhere.
    pub(in crate::gateway) may_fail_over: bool,
}

/// Sends a request to a peer and reads the head of the response.
pub(in crate::gateway) async fn send(
    connections: &PeerConnections,
    outgoing: &OutgoingRequest,
    peer: &PeerChoice,
    context: &PeerContext<'_>,
) -> SendOutcome {
    let mut sender = match connections.get(peer.address).await {
        Ok(sender) => sender,
        Err(error) => return unreachable(&error),
    };
    if let Err(error) = sender.ready().await {
        return unreachable(&error);
    }
    let req = match request(outgoing, peer, context) {
        Ok(req) => req,
        Err(error) => return unreachable(&error),
    };
    match sender.send_request(req).await {
        Ok(resp) => decode(resp, &outgoing.attempt_id),
        Err(error) => SendOutcome::Unknown(error.to_string()),
    }
}

/// The kind of the failure matters for servers only.
fn unreachable(error: &impl ToString) -> SendOutcome {
    SendOutcome::Unreachable(ConnectFailure::Refused, error.to_string())
}

fn request(
    outgoing: &OutgoingRequest,
    peer: &PeerChoice,
    context: &PeerContext<'_>,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let target = outgoing.uri.path_and_query().map_or("/", |p| p.as_str());
    let uri = Uri::builder()
        .scheme("http")
        .authority(peer.address.to_string())
        .path_and_query(target)
        .build()?;
    let mut headers =
        caller::encode_for_peer(&outgoing.headers, context.time_left, context.last_event);
    if let Ok(own) = HeaderValue::from_str(context.own.as_str()) {
        headers.insert(FORWARDED_BY, own);
        let version = format!("{VERSION_PREFIX}{}", context.configuration_version);
        headers.append(FORWARDED_BY, HeaderValue::from_str(&version)?);
    }
    if context.may_fail_over {
        headers.insert(MAY_FAIL_OVER, HeaderValue::from_static("1"));
    }
    let mut req = Request::new(Full::new(outgoing.body.clone()));
    *req.method_mut() = outgoing.method.clone();
    *req.uri_mut() = uri;
    *req.headers_mut() = headers;
    Ok(req)
}

fn decode(resp: Response<Incoming>, attempt_id: &str) -> SendOutcome {
    let (head, body) = resp.into_parts();
    if let ResponseHead::Executed = backend_response::decode(&head, attempt_id, false) {
        return SendOutcome::Responded(Box::new(BackendResponse {
            head,
            body: body.into(),
            framing: BodyFraming::EndStream,
            driver: None,
        }));
    }
    let outcome = head.headers.get(OUTCOME).and_then(|v| v.to_str().ok());
    match outcome.and_then(|text| text.parse().ok()) {
        Some(
            outcome @ (NodeOutcome::Refused
            | NodeOutcome::NotSent
            | NodeOutcome::Older
            | NodeOutcome::NotRun),
        ) => SendOutcome::RefusedByPeer {
            outcome,
            retry_after: retry_after(&head.headers),
        },
        Some(NodeOutcome::Unknown) | None => {
            SendOutcome::Unknown(format!("the peer answered with status {}", head.status))
        }
    }
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds = headers.get(header::RETRY_AFTER)?.to_str().ok()?;
    Duration::try_from_secs_f64(seconds.parse().ok()?).ok()
}
