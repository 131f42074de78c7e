//! Selects a server of a plain service.
//!
//! A plain service has no model: any of its servers can answer a request alone.

use super::servers::{ServerRow, Servers};
use crate::{
    ids::{ServiceId, VmId},
    time::Timestamp,
};

/// Requests beyond its slots that are sent to a server, per slot. A server
/// queues a few requests itself and rejects more.
const MAX_QUEUED_PER_SLOT: u32 = 2;
/// Upper bound of the random load that is added to a server's own load, in
/// requests. It keeps nodes with the same view from all selecting the same
/// server.
const JITTER: f64 = 0.9;

/// Selects the server with the lowest load relative to its slots and latency.
///
/// `draw` returns random numbers in `0.0..1.0`. A server that is backing off
/// after a failure is selected only if there is no other, because a server that
/// fails at times is better than none. One that is leaving or asked for a pause
/// is never selected.
pub fn choose<'a>(
    servers: &'a Servers,
    service: &'a ServiceId,
    now: Timestamp,
    avoid: &[VmId],
    mut draw: impl FnMut() -> f64,
) -> Option<(&'a VmId, &'a ServerRow)> {
    let has_capacity = |row: &ServerRow| {
        row.total_requests() < row.entry.slots.saturating_mul(1 + MAX_QUEUED_PER_SLOT)
    };
    let mut best: Option<(bool, f64, &VmId, &ServerRow)> = None;
    for (id, row) in servers.of_service(service) {
        if !row.is_entry_open(now) || avoid.contains(id) || !has_capacity(row) {
            continue;
        }
        let backing_off = !row.is_available(now);
        let load = f64::from(row.total_requests()) + JITTER * draw();
        let cost = (load + 1.0) / f64::from(row.entry.slots.max(1)) * (1.0 + row.latency_ms);
        if best.is_none_or(|(best_backing_off, lowest_cost, _, _)| {
            (backing_off, cost) < (best_backing_off, lowest_cost)
        }) {
            best = Some((backing_off, cost, id, row));
        }
    }
    best.map(|(_, _, id, row)| (id, row))
}
