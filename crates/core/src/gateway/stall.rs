//! Detects stalled requests and decides when they fail over to other servers.
//!
//! An engine that is dead or partitioned stalls every request whose path
//! includes it, and no others. If a stream stalls, the suspects are therefore
//! the engines on its path that have made no progress on any other stream
//! either.

use std::time::Duration;

use super::{paths::Path, servers::Servers};
use crate::{ids::VmId, time::Timestamp};

/// Time without events after which a stream's path is checked for suspect
/// engines. It exceeds the interval at which peers report progress and is
/// several times the typical interval between events.
pub const MIN_STALL: Duration = Duration::from_millis(450);
/// Time without events after which a stream fails over even if no engine is
/// suspect. Callers give up after two seconds.
const MAX_STALL: Duration = Duration::from_millis(1_000);

/// Time without progress on the requests of any node after which a server is
/// suspect. It exceeds the age of reports that pass through two hubs.
pub const FLEET_STALL: Duration = Duration::from_millis(1_200);
/// Time for which a server stays suspect when its requests have ended. The
/// registry shows by then whether it is gone.
pub const SUSPECT_TIME: Duration = Duration::from_millis(4_000);

/// Time without a report of a peer after which it is taken for gone. Three reports
/// have been lost by then.
const MAX_PEER_SILENCE: Duration = Duration::from_millis(700);
/// Time without events after which a stream leaves its peer. The peer itself fails it
/// after [`MAX_STALL`].
const MAX_PEER_STALL: Duration = Duration::from_millis(1_300);

/// Time between two checks of a stalled stream.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Fraction of its target latency after which an unanswered request fails over
/// to another plain server.
const PLAIN_FAILOVER_FRACTION: f64 = 0.6;

/// What to do about a request that has made no progress for some time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StallAction {
    /// Check the request again after this time.
    Wait(Duration),
    /// Fail over to a path without these engines.
    Failover(Vec<VmId>),
}

/// Decides whether a stream fails over after `stalled_for` without an event.
/// `begun` is whether its first event has arrived.
pub fn check_path(
    servers: &Servers,
    now: Timestamp,
    path: &Path,
    stalled_for: Duration,
    begun: bool,
) -> StallAction {
    if stalled_for < MIN_STALL {
        return StallAction::Wait(MIN_STALL - stalled_for);
    }
    let is_stalled = |id: &VmId| match servers.get(id) {
        Some(row) => row.stalled_for(now) >= MIN_STALL,
        None => true,
    };
    let stages = path.stages.iter().map(|stage| &stage.server);
    let suspects: Vec<VmId> = stages.filter(|id| is_stalled(id)).cloned().collect();
    // If no engine on the path makes progress, nothing shows which one is at
    // fault.
    let some_progress = suspects.len() < path.stages.len();
    if !suspects.is_empty() && (some_progress || stalled_for >= MAX_STALL) {
        return StallAction::Failover(suspects);
    }
    // A stream without a first event may only be queued for prefill at healthy
    // engines. Failing over would queue it again and compute its prompt twice.
    if begun && stalled_for >= MAX_STALL {
        return StallAction::Failover(Vec::new());
    }
    StallAction::Wait(RECHECK_INTERVAL)
}

/// Decides whether a request at a peer fails over after `stalled_for`. The peer itself
/// ends a request whose servers are silent, so only a silent peer matters here.
/// `report_age` is the age of its latest report.
pub fn check_peer(
    peer: &VmId,
    report_age: Option<Duration>,
    stalled_for: Duration,
    begun: bool,
) -> StallAction {
    if stalled_for < MIN_STALL {
        return StallAction::Wait(MIN_STALL - stalled_for);
    }
    let is_gone = report_age.is_none_or(|age| age >= MAX_PEER_SILENCE);
    if is_gone || (begun && stalled_for >= MAX_PEER_STALL) {
        return StallAction::Failover(vec![peer.clone()]);
    }
    StallAction::Wait(RECHECK_INTERVAL)
}

/// Decides whether a repeatable request fails over after a plain server has not
/// answered it for `stalled_for`. It fails over early enough for another server
/// to answer within `target`.
pub fn check_plain(server: &VmId, stalled_for: Duration, target: Duration) -> StallAction {
    let timeout = target.mul_f64(PLAIN_FAILOVER_FRACTION);
    if stalled_for < timeout {
        return StallAction::Wait(timeout - stalled_for);
    }
    StallAction::Failover(vec![server.clone()])
}
