//! What backend servers state about themselves in their responses: that they
//! are leaving, and for how long they want no requests from this node.
//!
//! The registry shows neither, or only later. A notice outlives the server's
//! registry entry, because an entry that expires while the store is down
//! returns with the same incarnation of the server. It ends with the
//! incarnation.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use super::{servers::Server, state::Gateway};
use crate::{
    ids::{ServiceId, VmId},
    time::Timestamp,
};

/// Maximum number of servers whose notices are kept.
const MAX_NOTICES: usize = 4_096;
/// Time for which a server's leaving is reported to peers. The registry shows
/// it by then.
const LEAVING_REPORT_TIME: Duration = Duration::from_secs(10);
/// Maximum pause that is honoured, which bounds the effect of an invalid value.
const MAX_PAUSE: Duration = Duration::from_secs(600);

/// Identifies one run of a server: a server that restarts has another start
/// time, or another address where no start time is known.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation {
    /// Start time in milliseconds since the Unix epoch.
    pub started_ms: Option<u64>,
    /// The address on which the server listens.
    pub address: SocketAddr,
}

impl From<&Server> for Incarnation {
    fn from(server: &Server) -> Self {
        Self {
            started_ms: server.started_ms,
            address: server.address,
        }
    }
}

/// Notices of one server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Notice {
    /// When the server stated that it is leaving, if it did.
    pub leaving_since: Option<Timestamp>,
    /// Time until which the server takes no part in new requests.
    pub paused_until: Timestamp,
    /// Time until which this node sends no request to the server. Engines
    /// earlier on a path may still forward activations to it.
    pub entry_paused_until: Timestamp,
}

impl Notice {
    fn is_current(&self, now: Timestamp) -> bool {
        self.leaving_since.is_some() || now < self.paused_until.max(self.entry_paused_until)
    }
}

/// The notices of all servers, by incarnation.
#[derive(Debug, Default)]
pub struct Notices {
    by_server: BTreeMap<VmId, (Incarnation, Notice)>,
}

impl Notices {
    /// Returns the notice of a server, which is empty if this incarnation has
    /// sent none.
    pub fn get(&self, id: &VmId, server: &Server) -> Notice {
        let notice = self.by_server.get(id);
        let notice = notice.filter(|(incarnation, _)| *incarnation == Incarnation::from(server));
        notice.map(|(_, notice)| *notice).unwrap_or_default()
    }

    /// Changes the notice of a server and returns the result.
    pub fn update(
        &mut self,
        now: Timestamp,
        id: &VmId,
        server: &Server,
        change: impl FnOnce(&mut Notice),
    ) -> Notice {
        let mut notice = self.get(id, server);
        change(&mut notice);
        if self.by_server.len() >= MAX_NOTICES {
            self.by_server
                .retain(|_, (_, notice)| notice.is_current(now));
        }
        if self.by_server.len() >= MAX_NOTICES {
            let oldest = self.by_server.iter();
            let oldest = oldest.min_by_key(|(_, (_, notice))| notice.leaving_since);
            if let Some(id) = oldest.map(|(id, _)| id.clone()) {
                self.by_server.remove(&id);
            }
        }
        self.by_server.insert(id.clone(), (server.into(), notice));
        notice
    }

    /// Returns the servers that stated recently that they are leaving.
    fn recently_leaving(&self, now: Timestamp) -> BTreeMap<VmId, Incarnation> {
        let is_recent = |notice: &Notice| {
            notice
                .leaving_since
                .is_some_and(|since| now.since(since) < LEAVING_REPORT_TIME)
        };
        let notices = self.by_server.iter();
        let recent = notices.filter(|(_, (_, notice))| is_recent(notice));
        recent
            .map(|(id, (incarnation, _))| (id.clone(), incarnation.clone()))
            .collect()
    }
}

impl Gateway {
    /// Records that a server stated in a response that it is leaving.
    pub fn record_leaving(&mut self, now: Timestamp, id: &VmId) -> bool {
        let mut is_new = false;
        self.servers.update_notice(now, id, |notice| {
            is_new = notice.leaving_since.is_none();
            notice.leaving_since.get_or_insert(now);
        });
        is_new
    }

    /// Records that a server refused a request and wants no other one from this
    /// node for the time `pause`. `at_fault` is the engine on the path that
    /// caused the refusal, if the response named another one.
    pub fn record_pause(
        &mut self,
        now: Timestamp,
        id: &VmId,
        at_fault: Option<SocketAddr>,
        pause: Duration,
    ) {
        let until = now + pause.min(MAX_PAUSE);
        let at_fault = at_fault.and_then(|address| self.servers.by_address(address).cloned());
        let at_fault = at_fault.unwrap_or_else(|| id.clone());
        self.servers.update_notice(now, id, |notice| {
            notice.entry_paused_until = notice.entry_paused_until.max(until);
        });
        self.servers.update_notice(now, &at_fault, |notice| {
            notice.paused_until = notice.paused_until.max(until);
        });
    }

    /// Returns the time until the first server of a service takes requests of
    /// this node again, or `None` unless all of them have asked for a pause.
    ///
    /// Load pattern: a service that is full everywhere, whose servers ask for
    /// pauses that are longer than a request may wait.
    pub fn pause_left(&self, now: Timestamp, service: &ServiceId) -> Option<Duration> {
        let mut earliest: Option<Timestamp> = None;
        for (_, row) in self.servers.of_service(service) {
            if row.is_leaving() || !row.takes_entries() {
                continue;
            }
            let until = row.notice.paused_until.max(row.notice.entry_paused_until);
            if until <= now {
                return None;
            }
            earliest = Some(earliest.map_or(until, |earliest| earliest.min(until)));
        }
        earliest.map(|until| until.since(now))
    }

    /// Returns the servers whose leaving this node has learned from their own
    /// responses, for the reports to its peers.
    pub(super) fn own_leaving(&self, now: Timestamp) -> BTreeMap<VmId, Incarnation> {
        self.servers.notices().recently_leaving(now)
    }

    /// Applies what a peer has learned about leaving servers.
    pub(super) fn apply_leaving(&mut self, leaving: &BTreeMap<VmId, Incarnation>) {
        for (id, incarnation) in leaving {
            if let Some(row) = self.servers.get_mut(id)
                && Incarnation::from(&row.entry) == *incarnation
            {
                row.leaving_at_peer = true;
            }
        }
    }
}
