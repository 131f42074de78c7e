//! Selects the readers of a failure domain, and schedules reads of the log.

use std::time::Duration;

use rand::Rng;
use sha2::{Digest, Sha256};

use super::{Context, relay::is_log_unavailable};
use crate::{
    ids::VmId,
    peer::MemberStatus,
    platform::{Vm, VmState},
    tables::LogState,
};

/// Maximum number of times that the backoff after failed reads doubles.
const MAX_DOUBLINGS: u32 = 10;

/// The next read of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogRead {
    /// The delay before the read.
    pub after: Duration,
    /// The offset of the first record to read.
    pub from: u64,
    /// Whether the log holds the request until there is a new record.
    pub wait: bool,
}

/// Returns the next read of the log. Readers use long polls; the other nodes of
/// the domain read at an interval, in case they miss records from the readers.
pub fn next_read(cx: &mut Context<'_>) -> LogRead {
    let next = cx.tables.config.revision().0;
    let follow = &cx.tables.replication;
    let from = match follow.snapshot_scan {
        Some(scan) => scan,
        None if follow.verify => next.saturating_sub(1),
        None => next,
    };
    let cfg = &cx.cfg.dissemination;
    let (after, wait) = match follow.log {
        LogState::Unread => (Duration::ZERO, false),
        state if is_log_unavailable(state) => (backoff(cx), false),
        _ if follow.last_read_had_records => (cfg.min_read_interval, false),
        LogState::Expired => (cfg.min_read_interval, true),
        _ if is_reader(cx) => (Duration::ZERO, true),
        _ => (
            cfg.fallback_interval.mul_f64(cx.rng.random_range(0.5..1.5)),
            false,
        ),
    };
    LogRead { after, from, wait }
}

/// Returns the backoff after a failed read. It doubles with each failure up to a
/// maximum, with jitter that keeps nodes from retrying at the same time.
fn backoff(cx: &mut Context<'_>) -> Duration {
    let cfg = &cx.cfg.dissemination;
    let doublings = cx.tables.replication.failures.saturating_sub(1);
    let factor = 2u32.pow(doublings.min(MAX_DOUBLINGS));
    let max_delay = (cfg.min_backoff * factor).min(cfg.max_backoff);
    max_delay.mul_f64(cx.rng.random_range(0.5..1.0))
}

/// Returns the readers of this node's failure domain. All nodes that consider the
/// same nodes alive agree on the readers and their order.
pub(in crate::systems) fn readers(cx: &Context<'_>) -> Vec<VmId> {
    let mut domain: Vec<(u64, VmId)> = domain_nodes(cx)
        .filter(|vm| vm.vm == cx.cfg.identity.vm || is_alive(cx, vm))
        .map(|vm| (reader_rank(&vm.vm), vm.vm.clone()))
        .collect();
    domain.sort();
    let count = cx.cfg.dissemination.readers as usize;
    domain.into_iter().take(count).map(|(_, vm)| vm).collect()
}

fn domain_nodes<'a>(cx: &'a Context<'_>) -> impl Iterator<Item = &'a Vm> {
    let domain = &cx.cfg.identity.failure_domain;
    let nodes = cx.tables.vms.nodes();
    nodes.filter(move |vm| vm.failure_domain == *domain && vm.state == VmState::Live)
}

fn is_alive(cx: &Context<'_>, vm: &Vm) -> bool {
    let row = cx.tables.members.get(&vm.vm);
    row.is_some_and(|row| row.status == MemberStatus::Alive)
}

/// Returns the hash by which the nodes of a domain are ordered to select readers.
pub(in crate::systems) fn reader_rank(vm: &VmId) -> u64 {
    let hash = Sha256::digest(vm.as_str());
    u64::from_be_bytes(hash.first_chunk().copied().unwrap_or_default())
}

fn is_reader(cx: &Context<'_>) -> bool {
    let own = &cx.cfg.identity.vm;
    domain_nodes(cx).all(|vm| vm.vm != *own) || readers(cx).contains(own)
}

/// Returns the nodes to which this node sends records. Each node of the domain
/// that is not a reader is assigned to one reader.
pub(super) fn record_receivers(cx: &Context<'_>) -> Vec<VmId> {
    let readers = readers(cx);
    let own = &cx.cfg.identity.vm;
    let Some(index) = readers.iter().position(|vm| vm == own) else {
        return Vec::new();
    };
    let count = readers.len() as u64;
    let is_receiver =
        |vm: &&Vm| !readers.contains(&vm.vm) && reader_rank(&vm.vm) % count == index as u64;
    let receivers = domain_nodes(cx).filter(is_receiver);
    receivers.map(|vm| vm.vm.clone()).collect()
}
