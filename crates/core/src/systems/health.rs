//! Tracks the health of backend servers: records the signals from requests,
//! ejects servers within the cap, and starts new servers slowly.
//!
//! The building blocks are in [`crate::health`]; [`routing`](super::routing)
//! uses the results. Choosing a server never scans its whole group. Only an
//! ejection and a change of the group do.

use std::time::Duration;

use rand::Rng;

use super::Context;
use crate::{
    config::Workload,
    engine::EngineRefusal,
    health::{
        EjectDecision, GroupMember, HealthChange, Phase, Signal, decide_ejection, excess_ejections,
    },
    ids::VmId,
    message::AttemptError,
    platform::VmState,
};

/// Returns the health signal of an error, if it reveals anything about the
/// server.
pub fn signal_for(error: &AttemptError) -> Option<Signal> {
    match error {
        AttemptError::NotSent => Some(Signal::Down),
        AttemptError::Lost | AttemptError::Malformed => Some(Signal::Failed),
        AttemptError::Refused(refusal) => match refusal {
            EngineRefusal::Leaving | EngineRefusal::NotHeld => Some(Signal::Down),
            EngineRefusal::Busy | EngineRefusal::NotRun => Some(Signal::Busy),
            EngineRefusal::NoSession | EngineRefusal::WrongPosition { .. } => None,
        },
    }
}

/// Records a health signal of a server.
pub fn record(cx: &mut Context<'_>, vm: &VmId, signal: Signal) {
    let Some(row) = cx.tables.backends.get_mut(vm) else {
        return;
    };
    match row.health.record(&cx.cfg.health, cx.now, signal) {
        HealthChange::Unchanged => {}
        HealthChange::Recovered => cx.tables.counters.health_returns += 1,
        HealthChange::Eject if row.state == VmState::Live => eject(cx, vm),
        HealthChange::Eject => {}
    }
}

/// Records an answered step: the time in microseconds that it waited, and the
/// total time.
pub fn record_answer(cx: &mut Context<'_>, vm: &VmId, wait_us: f64, took: Duration) {
    let min = cx.cfg.health.min_slow_step;
    let Some(group) = cx.tables.backends.group_mut(vm) else {
        return;
    };
    let needed = took.saturating_sub(Duration::from_secs_f64(wait_us.max(0.0) / 1e6));
    let slowness = group.baseline.slowness(took, needed, min);
    record(cx, vm, Signal::Answered { slowness });
}

/// Records that work starts at a server.
pub fn work_started(cx: &mut Context<'_>, vm: &VmId) {
    let Some(row) = cx.tables.backends.get_mut(vm) else {
        return;
    };
    row.work_started(cx.now);
    if row.health.phase(cx.now) == Phase::HalfOpen {
        row.health.probes += 1;
        cx.tables.counters.health_probes += 1;
    }
}

fn eject(cx: &mut Context<'_>, vm: &VmId) {
    let (cfg, now) = (&cx.cfg.health, cx.now);
    let backends = &cx.tables.backends;
    let Some(slot) = backends.slot_of(vm) else {
        return;
    };
    let carries = backends.get(vm).map(|row| row.carries.clone());
    let mut members = carries.map_or_else(Vec::new, |carries| live_members(cx, &carries));
    let Some(index) = members.iter().position(|member| member.key == slot) else {
        return;
    };
    let score = members.swap_remove(index).score;
    match decide_ejection(cfg, score, &members) {
        EjectDecision::Eject => {}
        EjectDecision::Swap(slot) => readmit(cx, slot),
        EjectDecision::Keep => {
            cx.tables.counters.health_kept_in += 1;
            return;
        }
    }
    let jitter = cx.rng.random_range(0.0..1.0);
    if let Some(row) = cx.tables.backends.get_mut(vm) {
        row.health.eject(cfg, now, jitter);
        cx.tables.counters.health_ejections += 1;
    }
}

fn readmit(cx: &mut Context<'_>, slot: usize) {
    if let Some(row) = cx.tables.backends.slot_mut(slot) {
        row.health.readmit(&cx.cfg.health, cx.now);
        cx.tables.counters.health_returns += 1;
    }
}

/// Returns the live servers of the group that serves `carries`.
fn live_members(cx: &Context<'_>, carries: &Workload) -> Vec<GroupMember<usize>> {
    let backends = &cx.tables.backends;
    let Some(group) = backends.group(carries) else {
        return Vec::new();
    };
    let member = |&slot: &usize| {
        let row = backends.slot(slot)?;
        (row.state == VmState::Live).then(|| GroupMember {
            key: slot,
            ejected: row.health.counts_as_ejected(cx.now),
            score: row.health.score.at(cx.now, cx.cfg.health.half_life),
        })
    };
    group.slots.iter().filter_map(member).collect()
}

/// Handles servers that joined or left groups: new servers start slowly, and
/// the cap is enforced for the remaining ones.
pub fn groups_changed(cx: &mut Context<'_>) {
    let changes = cx.tables.backends.take_changes();
    for vm in &changes.joined {
        start_slowly(cx, vm);
    }
    for carries in &changes.changed_groups {
        for slot in excess_ejections(&cx.cfg.health, &live_members(cx, carries)) {
            readmit(cx, slot);
        }
    }
}

/// Begins the slow start of a server, unless its whole group is new to this
/// node: then no server of the group has a full share to compare with.
fn start_slowly(cx: &mut Context<'_>, vm: &VmId) {
    let (cfg, now) = (&cx.cfg.health, cx.now);
    let Some(group) = cx.tables.backends.group_mut(vm) else {
        return;
    };
    let first_seen = *group.first_seen.get_or_insert(now);
    if now < first_seen + cfg.ramp {
        return;
    }
    if let Some(row) = cx.tables.backends.get_mut(vm)
        && !row.health.counts_as_ejected(now)
    {
        row.health.start_ramp(cfg, now);
    }
}
