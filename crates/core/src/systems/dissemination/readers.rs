//! Says which nodes wait at the log, and when a node reads it next.

use std::time::Duration;

use rand::Rng;
use sha2::{Digest, Sha256};

use super::{Context, relay::log_is_out};
use crate::{
    ids::VmId,
    peer::MemberStatus,
    platform::{Vm, VmState},
    tables::LogState,
};

/// Most doublings of the pause after a read that failed.
const MAX_DOUBLINGS: u32 = 10;

/// The read of the log that should come next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogRead {
    /// The pause before it.
    pub after: Duration,
    /// The offset to begin at.
    pub from: u64,
    /// Whether to wait at the log for a new record.
    pub wait: bool,
}

/// Returns the read of the log that should come next.
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
        state if log_is_out(state) => (backoff(cx), false),
        _ if follow.last_read_had_records => (cfg.pace, false),
        LogState::Expired => (cfg.pace, true),
        _ if is_reader(cx) => (Duration::ZERO, true),
        _ => (cfg.fallback.mul_f64(cx.rng.random_range(0.5..1.5)), false),
    };
    LogRead { after, from, wait }
}

/// Returns a pause that doubles with each failure up to a bound, of which a
/// random half is left out, so that the nodes don't come back all at once.
fn backoff(cx: &mut Context<'_>) -> Duration {
    let cfg = &cx.cfg.dissemination;
    let doublings = cx.tables.replication.failures.saturating_sub(1);
    let factor = 2u32.pow(doublings.min(MAX_DOUBLINGS));
    let longest = (cfg.backoff_min * factor).min(cfg.backoff_max);
    longest.mul_f64(cx.rng.random_range(0.5..1.0))
}

/// Returns the readers of this node's failure domain, in an order that all
/// nodes agree on as far as they hear the same nodes.
pub(in crate::systems) fn readers(cx: &Context<'_>) -> Vec<VmId> {
    let mut domain: Vec<(u64, VmId)> = neighbours(cx)
        .filter(|vm| vm.vm == cx.cfg.identity.vm || is_heard(cx, vm))
        .map(|vm| (rank(&vm.vm), vm.vm.clone()))
        .collect();
    domain.sort();
    let count = cx.cfg.dissemination.readers as usize;
    domain.into_iter().take(count).map(|(_, vm)| vm).collect()
}

fn neighbours<'a>(cx: &'a Context<'_>) -> impl Iterator<Item = &'a Vm> {
    let domain = &cx.cfg.identity.failure_domain;
    let nodes = cx.tables.vms.nodes();
    nodes.filter(move |vm| vm.failure_domain == *domain && vm.state == VmState::Live)
}

fn is_heard(cx: &Context<'_>, vm: &Vm) -> bool {
    let row = cx.tables.members.get(&vm.vm);
    row.is_some_and(|row| row.status == MemberStatus::Alive)
}

/// Returns a node's place among readers.
pub(in crate::systems) fn rank(vm: &VmId) -> u64 {
    let hash = Sha256::digest(vm.as_str());
    u64::from_be_bytes(hash.first_chunk().copied().unwrap_or_default())
}

fn is_reader(cx: &Context<'_>) -> bool {
    let own = &cx.cfg.identity.vm;
    neighbours(cx).all(|vm| vm.vm != *own) || readers(cx).contains(own)
}

/// Returns the nodes that get records from this one, each from one reader.
pub(super) fn followers(cx: &Context<'_>) -> Vec<VmId> {
    let readers = readers(cx);
    let own = &cx.cfg.identity.vm;
    let Some(place) = readers.iter().position(|vm| vm == own) else {
        return Vec::new();
    };
    let count = readers.len() as u64;
    let relies = |vm: &&Vm| !readers.contains(&vm.vm) && rank(&vm.vm) % count == place as u64;
    let followers = neighbours(cx).filter(relies);
    followers.map(|vm| vm.vm.clone()).collect()
}
