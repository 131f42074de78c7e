//! Keeps the health of backend servers: takes in what requests show, ejects
//! within the cap, and starts slowly what is new.
//!
//! The parts are in [`crate::health`]; what routing makes of them is in
//! [`routing`](super::routing). A choice never looks at a whole group; only a
//! server that is to be ejected does, and a change of the group.

use std::time::Duration;

use rand::Rng;

use super::Context;
use crate::{
    config::Workload,
    engine::EngineRefusal,
    health::{Change, Member, Phase, Sign, Verdict, decide, excess},
    ids::VmId,
    message::AttemptError,
    platform::VmState,
};

/// Returns what an error shows of the server, if anything.
pub fn sign_of(error: &AttemptError) -> Option<Sign> {
    match error {
        AttemptError::NotSent => Some(Sign::Down),
        AttemptError::Lost | AttemptError::Malformed => Some(Sign::Failed),
        AttemptError::Refused(refusal) => match refusal {
            EngineRefusal::Leaving | EngineRefusal::NotHeld => Some(Sign::Down),
            EngineRefusal::Busy | EngineRefusal::NotRun => Some(Sign::Busy),
            EngineRefusal::NoSession | EngineRefusal::WrongPosition { .. } => None,
        },
    }
}

/// Takes in what an exchange showed of a server.
pub fn take(cx: &mut Context<'_>, vm: &VmId, sign: Sign) {
    let Some(row) = cx.tables.backends.get_mut(vm) else {
        return;
    };
    match row.health.take(&cx.cfg.health, cx.now, sign) {
        Change::Nothing => {}
        Change::Returned => cx.tables.counters.health_returns += 1,
        Change::Eject if row.state == VmState::Live => eject(cx, vm),
        Change::Eject => {}
    }
}

/// Takes in a step that was answered: the times in microseconds that it waited
/// and that the server itself needs for a short one, and the whole time.
pub fn answered(cx: &mut Context<'_>, vm: &VmId, wait_us: f64, took: Duration) {
    let least = cx.cfg.health.slow_least;
    let Some(group) = cx.tables.backends.group_mut(vm) else {
        return;
    };
    let needed = took.saturating_sub(Duration::from_secs_f64(wait_us.max(0.0) / 1e6));
    let slowness = group.usual.slowness(took, needed, least);
    take(cx, vm, Sign::Answered { slowness });
}

/// Counts work that begins at a server.
pub fn begin(cx: &mut Context<'_>, vm: &VmId) {
    let Some(row) = cx.tables.backends.get_mut(vm) else {
        return;
    };
    row.begin(cx.now);
    if row.health.phase(cx.now) == Phase::HalfOpen {
        row.health.probes += 1;
        cx.tables.counters.health_probes += 1;
    }
}

fn eject(cx: &mut Context<'_>, vm: &VmId) {
    let (cfg, now) = (&cx.cfg.health, cx.now);
    let backends = &cx.tables.backends;
    let Some(own) = backends.slot_of(vm) else {
        return;
    };
    let carries = backends.get(vm).map(|row| row.carries.clone());
    let mut members = carries.map_or_else(Vec::new, |carries| live_members(cx, &carries));
    let Some(at) = members.iter().position(|member| member.key == own) else {
        return;
    };
    let score = members.swap_remove(at).score;
    match decide(cfg, score, &members) {
        Verdict::Eject => {}
        Verdict::Swap(slot) => release(cx, slot),
        Verdict::Stay => {
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

fn release(cx: &mut Context<'_>, slot: usize) {
    if let Some(row) = cx.tables.backends.slot_mut(slot) {
        row.health.release(&cx.cfg.health, cx.now);
        cx.tables.counters.health_returns += 1;
    }
}

/// Returns the live servers that carry the same.
fn live_members(cx: &Context<'_>, carries: &Workload) -> Vec<Member<usize>> {
    let backends = &cx.tables.backends;
    let Some(group) = backends.group(carries) else {
        return Vec::new();
    };
    let member = |&slot: &usize| {
        let row = backends.slot(slot)?;
        (row.state == VmState::Live).then(|| Member {
            key: slot,
            ejected: row.health.is_out(cx.now),
            score: row.health.score.at(cx.now, cx.cfg.health.half_life),
        })
    };
    group.slots.iter().filter_map(member).collect()
}

/// Takes in that servers joined or left groups: the new ones start slowly, and
/// the cap is kept for those that are left.
pub fn changed(cx: &mut Context<'_>) {
    let changes = cx.tables.backends.take_changes();
    for vm in &changes.joined {
        join(cx, vm);
    }
    for carries in &changes.groups {
        for slot in excess(&cx.cfg.health, &live_members(cx, carries)) {
            release(cx, slot);
        }
    }
}

/// Starts a server slowly, unless the node met the whole group a short time
/// ago: then none of its servers is known to have its whole part.
fn join(cx: &mut Context<'_>, vm: &VmId) {
    let (cfg, now) = (&cx.cfg.health, cx.now);
    let Some(group) = cx.tables.backends.group_mut(vm) else {
        return;
    };
    let since = *group.since.get_or_insert(now);
    if now < since + cfg.ramp {
        return;
    }
    if let Some(row) = cx.tables.backends.get_mut(vm)
        && !row.health.is_out(now)
    {
        row.health.start_ramp(cfg, now);
    }
}
