//! Forwards requests to a peer that reaches servers which this node does not, and
//! takes such requests of peers.
//!
//! A request travels on an HTTP/2 stream as the caller sent it, with the time that is
//! left and the last event that the caller has. The peer checks its key and route
//! itself, sends it to servers once at most, and never to another peer. The sender
//! decides on everything after that. Closing the stream at either end ends the
//! request at the other. See `docs/design/lost-links.md`.

mod client;
mod server;

use std::str::FromStr;

use http::HeaderName;

pub(super) use self::{
    client::{PeerConnections, PeerContext, send},
    server::serve,
};

/// The VM of the node that forwards a request. A second value states the version of the
/// configuration that it has decided by ([`VERSION_PREFIX`]). The release before the
/// statement was added takes the first value and removes all; it would pass a header
/// that it does not know on to servers.
const FORWARDED_BY: HeaderName = HeaderName::from_static("peer-forwarded-by");
/// Begins the value that states a version of the configuration.
const VERSION_PREFIX: &str = "configuration-version=";
/// Set to `1` if the sender can still send the request elsewhere, so that the peer
/// ends it when a server is silent.
const MAY_FAIL_OVER: HeaderName = HeaderName::from_static("peer-may-fail-over");
/// What is certain about a request that the peer answers itself.
const OUTCOME: HeaderName = HeaderName::from_static("peer-outcome");

/// What is certain about a request that a node has answered itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NodeOutcome {
    /// It was sent to no server, and other nodes would refuse it too.
    Refused,
    /// It was sent to no server.
    NotSent,
    /// It was sent to no server, because the node's configuration is older than the one
    /// that the sender has stated. Only senders that state one receive this.
    Older,
    /// Servers refused it; it did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

impl NodeOutcome {
    /// Returns the text that a peer receives.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::NotSent => "not-sent",
            Self::Older => "older",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// The text is not the name of an outcome.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("not an outcome of a request")]
pub(super) struct InvalidOutcome;

impl FromStr for NodeOutcome {
    type Err = InvalidOutcome;

    fn from_str(text: &str) -> Result<Self, InvalidOutcome> {
        match text {
            "refused" => Ok(Self::Refused),
            "not-sent" => Ok(Self::NotSent),
            "older" => Ok(Self::Older),
            "not-run" => Ok(Self::NotRun),
            "unknown" => Ok(Self::Unknown),
            _ => Err(InvalidOutcome),
        }
    }
}
