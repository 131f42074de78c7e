//! What nodes report to each other about crashes.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    gateway::{CrashCause, notices::Incarnation},
    ids::VmId,
};

/// A request that had no answer when a server of its path crashed.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Suspect {
    /// The server.
    pub server: VmId,
    /// The run of the server that ended.
    pub incarnation: Incarnation,
    /// What other requests may share with it: the parts of its prompt in order, and
    /// last the request itself.
    pub causes: Vec<CrashCause>,
    /// Milliseconds since the crash.
    pub age_ms: u64,
}

/// What a node reports to its peers about crashes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Requests that may have crashed their servers.
    pub suspects: Vec<Suspect>,
    /// Milliseconds since a request with the cause was answered, for each cause
    /// that is under suspicion.
    pub answered: BTreeMap<CrashCause, u64>,
    /// The quarantined causes.
    pub quarantined: BTreeMap<CrashCause, ReportedQuarantine>,
}

/// A quarantine in a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedQuarantine {
    /// Milliseconds until it ends.
    pub left_ms: u64,
    /// Number of servers that crashed on requests with the cause.
    pub crashes: u32,
}
