//! Chooses a server of a plain service.

use super::servers::{ServerRow, ServerState, Servers};
use crate::{
    ids::{ServiceId, VmId},
    time::Timestamp,
};

/// Requests beyond its slots that a server is given at most; it queues a few
/// itself and refuses more.
const QUEUED_PER_SLOT: u32 = 2;
/// Spread of the random part of a server's load, so that nodes with the same
/// view do not all choose the same server.
const JITTER: f64 = 0.9;

/// Chooses the server with the least work for its slots; `draw` gives numbers
/// from 0 to 1. Servers that pause after a failure are used when there is no
/// other: one that fails at times is better than none.
pub fn choose<'a>(
    servers: &'a Servers,
    service: &'a ServiceId,
    now: Timestamp,
    avoid: &[VmId],
    mut draw: impl FnMut() -> f64,
) -> Option<(&'a VmId, &'a ServerRow)> {
    let fits = |row: &ServerRow| row.all_requests() < row.entry.slots * (1 + QUEUED_PER_SLOT);
    let mut best: Option<(bool, f64, &VmId, &ServerRow)> = None;
    for (id, row) in servers.of(service) {
        if row.entry.state != ServerState::Ready || avoid.contains(id) || !fits(row) {
            continue;
        }
        let pauses = !row.usable(now);
        let load = f64::from(row.all_requests()) + JITTER * draw();
        let cost = (load + 1.0) / f64::from(row.entry.slots.max(1)) * (1.0 + row.latency_ms);
        if best.is_none_or(|(paused, lowest, _, _)| (pauses, cost) < (paused, lowest)) {
            best = Some((pauses, cost, id, row));
        }
    }
    best.map(|(_, _, id, row)| (id, row))
}
