//! Sends one request to one target and reads the head of the response.

use std::{io::ErrorKind, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, Uri, response};
use http_body_util::Full;
use radishhaven_client::{
    BodyFraming, Connection, ConnectionError, ConnectionTimeouts, Driver, ResponseBody,
};
use radishhaven_core::{
    gateway::{Target, links::ConnectFailure},
    ids::{OrganisationId, Priority},
};
use radishhaven_platform::{
    backend_response::{self, ResponseHead, ServerNotices},
    caller::{self, ForwardContext},
};

use super::peer_forwarding::NodeOutcome;

/// Timeout for connecting to a backend server. A server that is alive accepts
/// within a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which sent bytes may stay unacknowledged before the connection is
/// closed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_500);

/// A caller's request, buffered in full to allow retries.
#[derive(Debug)]
pub(super) struct OutgoingRequest {
    /// The HTTP method.
    pub(super) method: Method,
    /// Path and query.
    pub(super) uri: Uri,
    /// The caller's headers.
    pub(super) headers: HeaderMap,
    /// The body.
    pub(super) body: Bytes,
    /// The attempt id that the caller put on the request.
    pub(super) attempt_id: String,
    /// The organisation that the API key belongs to.
    pub(super) organisation: Option<OrganisationId>,
}

/// A response of a backend server, with its body not yet read.
#[derive(Debug)]
pub(super) struct BackendResponse {
    /// Status and headers.
    pub(super) head: response::Parts,
    /// The body.
    pub(super) body: ResponseBody,
    /// How the response shows the end of its body.
    pub(super) framing: BodyFraming,
    /// Drives the connection, which closes when this is dropped. Connections to
    /// peers have none, because they carry several requests.
    pub(super) driver: Option<Driver>,
}

/// Outcome of sending a request.
#[derive(Debug)]
pub(super) enum SendOutcome {
    /// The server ran the request and responded.
    Responded(Box<BackendResponse>),
    /// A server reported that the request was not run. The address is that of
    /// the server, if it was named.
    NotRun(Option<std::net::SocketAddr>, ServerNotices),
    /// A server did not run the request, which is itself at fault. The address is that of
    /// the server, if it was named.
    Rejected(Option<std::net::SocketAddr>, StatusCode, ServerNotices),
    /// The request reached a server other than the intended one and was not
    /// run. The address is that of the server, if it was named.
    Misdirected(Option<std::net::SocketAddr>),
    /// A peer refused to forward the request; it did not run.
    RefusedByPeer {
        /// What the peer stated about the request.
        outcome: NodeOutcome,
        /// Time after which the caller should retry.
        retry_after: Option<Duration>,
    },
    /// No connection could be opened, so the request was not run.
    Unreachable(ConnectFailure, String),
    /// The request may have run, but no valid response arrived.
    Unknown(String),
}

/// Sends a request and reads the head of the response. A stream is resumed
/// after the event with id `last_event`. `priority` is that of the request at engines.
pub(super) async fn send(
    outgoing: &OutgoingRequest,
    target: &Target,
    remaining: Duration,
    last_event: Option<&str>,
    priority: Option<Priority>,
) -> SendOutcome {
    let Some((_, address)) = target.first() else {
        let reason = "the path is empty".to_owned();
        return SendOutcome::Unreachable(ConnectFailure::Refused, reason);
    };
    let context = ForwardContext {
        target,
        time_left: remaining,
        organisation: outgoing.organisation.as_ref(),
        last_event,
        priority,
    };
    let mut req = Request::new(Full::new(outgoing.body.clone()));
    *req.method_mut() = outgoing.method.clone();
    *req.uri_mut() = outgoing.uri.clone();
    *req.headers_mut() = caller::encode(&outgoing.headers, &context);
    let timeouts = ConnectionTimeouts {
        connect: CONNECT_TIMEOUT,
        unacknowledged: UNACKNOWLEDGED_TIMEOUT,
    };
    let mut connection = match Connection::open(address, timeouts).await {
        Ok(connection) => connection,
        Err(error) => return unreachable(&error),
    };
    let resp = match connection.send(req).await {
        Ok(resp) => resp,
        Err(error @ ConnectionError::Broken(_)) => return SendOutcome::Unknown(error.to_string()),
        Err(error) => return unreachable(&error),
    };
    let (head, body) = resp.into_parts();
    let names_version = caller::names_version(&outgoing.headers);
    match backend_response::decode(&head, &outgoing.attempt_id, names_version) {
        ResponseHead::Executed => SendOutcome::Responded(Box::new(BackendResponse {
            framing: BodyFraming::of(&head.headers),
            head,
            body,
            driver: Some(connection.into_driver()),
        })),
        ResponseHead::NotRun { engine } => {
            SendOutcome::NotRun(engine, backend_response::decode_notices(&head))
        }
        ResponseHead::Rejected { engine } => {
            let notices = backend_response::decode_notices(&head);
            SendOutcome::Rejected(engine, head.status, notices)
        }
        ResponseHead::Misdirected { engine } => SendOutcome::Misdirected(engine),
        ResponseHead::Untrusted => {
            SendOutcome::Unknown(format!("an untrusted answer with status {}", head.status))
        }
    }
}

fn unreachable(error: &ConnectionError) -> SendOutcome {
    let failure = match error {
        ConnectionError::ConnectTimeout { .. } => ConnectFailure::Hung,
        ConnectionError::Connect { .. } | ConnectionError::Broken(_) => ConnectFailure::Refused,
    };
    SendOutcome::Unreachable(failure, error.to_string())
}

/// Returns whether the connection broke because of the bytes that arrived, and
/// not because it was closed.
pub(super) fn is_malformed(error: &hyper::Error) -> bool {
    let source = std::error::Error::source(error);
    let io_error = source.and_then(|source| source.downcast_ref::<std::io::Error>());
    io_error.is_some_and(|error| {
        matches!(
            error.kind(),
            ErrorKind::InvalidInput | ErrorKind::InvalidData
        )
    })
}
