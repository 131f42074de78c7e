//! The capacity that a request reserves on backend servers, and the outcome of
//! the request there.

use std::{fmt, net::SocketAddr, time::Duration};

use serde::Serialize;

use super::{links::ConnectFailure, paths::Path, peer_paths::PeerChoice};
use crate::{
    ids::{ServiceId, VmId},
    time::Timestamp,
};

/// Time of a response as a fraction of the cost of its path. The cost weighs some of
/// the time more than once, and most requests end before their output limit.
const TIME_PER_COST: f64 = 0.5;

/// A request's reservation on the servers of its target. Every ticket has to be
/// passed to [`Gateway::finish`](super::Gateway::finish) in the end.
#[derive(Debug)]
pub struct Ticket {
    /// The service.
    pub service: ServiceId,
    /// The reserved servers.
    pub target: Target,
    /// Prompt tokens that count as unread until the first event arrives.
    pub unread_tokens: u32,
    /// Time at which the capacity was reserved.
    pub acquired_at: Timestamp,
}

/// The servers to which a request is sent.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub enum Target {
    /// A server of a plain service.
    Plain {
        /// The server.
        server: VmId,
        /// The address on which it listens.
        address: SocketAddr,
    },
    /// Engines that forward activations to each other along a path.
    Engines(Path),
    /// A peer that forwards the request to servers.
    Peer(PeerChoice),
}

/// Lists the servers in order. `>` marks an engine that receives activations
/// from another failure domain.
impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Plain { server, .. } => server.fmt(f),
            Self::Peer(peer) => write!(f, "peer {}", peer.vm),
            Self::Engines(path) => {
                write!(f, "{:.0}ms", path.cost_ms)?;
                write!(f, " first {:.0}ms", path.first_ms)?;
                write!(f, " backlog {:.0}ms", path.backlog_ms)?;
                for stage in &path.stages {
                    let link = if stage.crosses { " > " } else { " " };
                    write!(f, "{link}{}={}", stage.server, stage.layers)?;
                }
                Ok(())
            }
        }
    }
}

/// The capacity reserved on one server.
pub(super) struct Reservation<'a> {
    pub(super) server: &'a VmId,
    pub(super) tokens: u64,
    pub(super) crosses: bool,
}

impl Target {
    /// Returns the server to which the request is sent, or `None` if it is a peer
    /// that selects one.
    pub fn first(&self) -> Option<(&VmId, SocketAddr)> {
        match self {
            Self::Plain { server, address } => Some((server, *address)),
            Self::Engines(path) => path.stages.first().map(|s| (&s.server, s.address)),
            Self::Peer(_) => None,
        }
    }

    /// Returns the peer that forwards the request, if there is one.
    pub fn peer(&self) -> Option<&PeerChoice> {
        match self {
            Self::Peer(peer) => Some(peer),
            Self::Plain { .. } | Self::Engines(_) => None,
        }
    }

    /// Returns the time that the servers are predicted to take for the whole
    /// response, if they are engines.
    pub fn predicted_time(&self) -> Option<Duration> {
        match self {
            Self::Engines(path) => {
                Duration::try_from_secs_f64(TIME_PER_COST * path.cost_ms / 1e3).ok()
            }
            Self::Plain { .. } | Self::Peer(_) => None,
        }
    }

    pub(super) fn reservations(&self) -> Vec<Reservation<'_>> {
        match self {
            Self::Plain { server, .. } => vec![Reservation {
                server,
                tokens: 0,
                crosses: false,
            }],
            Self::Engines(path) => {
                let reservations = path.stages.iter().map(|stage| Reservation {
                    server: &stage.server,
                    tokens: stage.tokens,
                    crosses: stage.crosses,
                });
                reservations.collect()
            }
            // The peer reserves the capacity.
            Self::Peer(_) => Vec::new(),
        }
    }
}

/// How a request ended at the servers of its ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TicketOutcome {
    /// The request was answered.
    Answered {
        /// Time to the answer, or to the first event of a stream.
        took: Duration,
    },
    /// A server was full or shutting down; the request did not run.
    Full {
        /// The address of the server that refused it, or `None` if the response
        /// did not name one. It then counts against the first server.
        by: Option<SocketAddr>,
    },
    /// A server did not match its registry entry; the request did not run.
    Misdirected {
        /// The address of the server that refused it, or `None` if the response
        /// did not name one. It then counts against the first server.
        by: Option<SocketAddr>,
    },
    /// No connection could be opened; the request did not run.
    Unreachable(ConnectFailure),
    /// A peer refused to forward the request; it did not run.
    RefusedByPeer,
    /// A peer refused the request because its configuration is older than this node's;
    /// it did not run.
    PeerIsOlder,
    /// The connection to the first server or the peer failed, or its response was
    /// invalid.
    Failed,
    /// The caller disconnected or the request timed out, which is no
    /// evidence about the servers' health.
    Abandoned,
}
