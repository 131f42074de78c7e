//! A request's hold on servers, and how it ends.

use std::{fmt, net::SocketAddr, time::Duration};

use serde::Serialize;

use super::paths::Path;
use crate::{
    ids::{ServiceId, VmId},
    time::Timestamp,
};

/// A request's hold on the servers that it runs at; it must be settled.
#[derive(Debug)]
pub struct Ticket {
    /// The service.
    pub service: ServiceId,
    /// The servers in order; a plain service has one, with no layers to name.
    pub target: Target,
    /// Prompt tokens whose reading nothing has come of yet.
    pub unread_tokens: u32,
    /// When the hold began.
    pub acquired_at: Timestamp,
}

/// Where a request is sent.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub enum Target {
    /// One server of a plain service.
    Plain {
        /// The server.
        server: VmId,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Engines that hand activations on.
    Engines(Path),
}

/// Names the servers; an engine behind a link to another failure domain is
/// marked by `>`.
impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Plain { server, .. } => server.fmt(f),
            Self::Engines(path) => {
                write!(f, "{:.0}ms", path.cost_ms)?;
                write!(f, " first {:.0}ms", path.first_ms)?;
                for stage in &path.stages {
                    let link = if stage.crosses { " > " } else { " " };
                    write!(f, "{link}{}={}", stage.server, stage.layers)?;
                }
                Ok(())
            }
        }
    }
}

/// What a request holds at one server.
pub(super) struct Held<'a> {
    pub(super) server: &'a VmId,
    pub(super) tokens: u64,
    pub(super) crosses: bool,
}

impl Target {
    /// Returns the server that the request is sent to.
    pub fn first(&self) -> Option<(&VmId, SocketAddr)> {
        match self {
            Self::Plain { server, address } => Some((server, *address)),
            Self::Engines(path) => path.stages.first().map(|s| (&s.server, s.address)),
        }
    }

    pub(super) fn holds(&self) -> Vec<Held<'_>> {
        match self {
            Self::Plain { server, .. } => vec![Held {
                server,
                tokens: 0,
                crosses: false,
            }],
            Self::Engines(path) => {
                let held = path.stages.iter().map(|stage| Held {
                    server: &stage.server,
                    tokens: stage.tokens,
                    crosses: stage.crosses,
                });
                held.collect()
            }
        }
    }
}

/// How a request ended at the servers of a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TicketOutcome {
    /// It was answered.
    Answered {
        /// Time until the answer, or its first event.
        took: Duration,
    },
    /// A server had no room or was leaving; nothing ran.
    Full {
        /// The server at fault; the first one when it is not said.
        by: Option<SocketAddr>,
    },
    /// A server is not what the registry says; nothing ran.
    Misdirected {
        /// The server at fault; the first one when it is not said.
        by: Option<SocketAddr>,
    },
    /// The connection to the first server failed or its answer was wrong.
    Failed,
    /// It says nothing about the servers: the caller left, or time was up.
    Abandoned,
}
