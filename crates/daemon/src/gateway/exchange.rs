//! Sends one request to one target and reads the head of its answer.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Uri, response};
use http_body_util::Full;
use hyper::body::Incoming;
use radishhaven_client::{Connection, ConnectionError, ConnectionTimes, Driver};
use radishhaven_core::{gateway::Target, ids::OrganisationId};
use radishhaven_platform::{
    answer::{self, Head},
    caller::{self, Forwarding},
};

/// Longest time to connect to a backend server; one that is alive answers
/// within a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest time that sent bytes may stay without an acknowledgement.
const UNACKNOWLEDGED: Duration = Duration::from_millis(2_500);

/// A caller's request, kept whole so that it can be sent again.
#[derive(Debug)]
pub(super) struct Outgoing {
    /// The method.
    pub(super) method: Method,
    /// Path and query.
    pub(super) uri: Uri,
    /// The caller's headers.
    pub(super) headers: HeaderMap,
    /// The body.
    pub(super) body: Bytes,
    /// The caller's attempt.
    pub(super) attempt: String,
    /// The organisation of the key.
    pub(super) organisation: Option<OrganisationId>,
}

/// An answer whose body is still to be read.
#[derive(Debug)]
pub(super) struct Answer {
    /// The head.
    pub(super) head: response::Parts,
    /// The body.
    pub(super) body: Incoming,
    /// Keeps the connection open.
    pub(super) driver: Driver,
}

/// How sending a request ended.
#[derive(Debug)]
pub(super) enum Sent {
    /// The server answers.
    Ran(Box<Answer>),
    /// A server said that nothing ran.
    NotRun(Option<std::net::SocketAddr>),
    /// A server on the way is another one than was meant; nothing ran.
    Misdirected(Option<std::net::SocketAddr>),
    /// No connection was made; nothing ran.
    Unreachable(String),
    /// It may have run, and there is no answer to rely on.
    Lost(String),
}

/// Sends a request and reads the head of the answer.
pub(super) async fn send(
    outgoing: &Outgoing,
    target: &Target,
    left: Duration,
    last_event: Option<&str>,
) -> Sent {
    let Some((_, address)) = target.first() else {
        return Sent::Unreachable("the path is empty".to_owned());
    };
    let forwarding = Forwarding {
        target,
        left,
        organisation: outgoing.organisation.as_ref(),
        last_event,
    };
    let mut req = Request::new(Full::new(outgoing.body.clone()));
    *req.method_mut() = outgoing.method.clone();
    *req.uri_mut() = outgoing.uri.clone();
    *req.headers_mut() = caller::encode(&outgoing.headers, &forwarding);
    let times = ConnectionTimes {
        connect: CONNECT_TIMEOUT,
        unacknowledged: UNACKNOWLEDGED,
    };
    let mut connection = match Connection::open(address, times).await {
        Ok(connection) => connection,
        Err(error) => return Sent::Unreachable(error.to_string()),
    };
    let resp = match connection.send(req).await {
        Ok(resp) => resp,
        Err(error @ ConnectionError::Connect { .. }) => {
            return Sent::Unreachable(error.to_string());
        }
        Err(error @ ConnectionError::Lost(_)) => return Sent::Lost(error.to_string()),
    };
    let (head, body) = resp.into_parts();
    match answer::decode(&head, &outgoing.attempt) {
        Head::Ran => Sent::Ran(Box::new(Answer {
            head,
            body,
            driver: connection.into_driver(),
        })),
        Head::NotRun { by } => Sent::NotRun(by),
        Head::Misdirected { by } => Sent::Misdirected(by),
        Head::Foreign => Sent::Lost(format!("an unsigned answer with status {}", head.status)),
    }
}
