//! Mints ids, and chooses the witnesses that they name.

use std::{collections::BTreeSet, time::Duration};

use rand::seq::SliceRandom;

use super::own;
use crate::{
    ids::{FailureDomain, RequestId},
    once::{Instance, IntentId, MintedId},
    platform::VmState,
    systems::Context,
};

/// Time for which new ids name the same witnesses.
const KEEP_WITNESSES: Duration = Duration::from_millis(500);

/// Mints an id; one with witnesses may be used for a non-idempotent request
/// whose fate can be proved after this node is gone.
pub fn mint(cx: &mut Context<'_>, with_witnesses: bool) -> RequestId {
    minted(cx, with_witnesses).1
}

/// Mints an id and returns it with its text.
pub fn minted(cx: &mut Context<'_>, with_witnesses: bool) -> (MintedId, RequestId) {
    let witnesses = if with_witnesses {
        witnesses(cx)
    } else {
        Vec::new()
    };
    let id = MintedId {
        intent: IntentId {
            home: own(cx),
            number: cx.tables.requests.next_id_number(),
        },
        minted: cx.now,
        witnesses,
    };
    let text = id.encode(&cx.cfg.once.key);
    (id, text)
}

fn witnesses(cx: &mut Context<'_>) -> Vec<Instance> {
    let wanted = cx.cfg.once.witnesses as usize;
    let once = &cx.tables.once;
    let same = |w: &Instance| {
        let member = cx.tables.members.get(&w.vm);
        member.is_some_and(|m| m.incarnation == w.incarnation && m.is_active())
    };
    let keep = cx.now < once.chosen_until && once.chosen.len() == wanted;
    if !keep || !once.chosen.iter().all(same) {
        let chosen = choose(cx, wanted);
        cx.tables.once.chosen = chosen;
        cx.tables.once.chosen_until = cx.now + KEEP_WITNESSES;
    }
    cx.tables.once.chosen.clone()
}

/// Chooses nodes of failure domains other than this node's and each other's,
/// as far as there are such; nodes of the own domain come last.
fn choose(cx: &mut Context<'_>, wanted: usize) -> Vec<Instance> {
    let vms = &cx.tables.vms;
    let unreachable = &mut cx.tables.once.unreachable;
    unreachable.retain(|vm, _| vms.get(vm).is_some());
    let mut candidates = candidates(cx);
    candidates.shuffle(cx.rng);
    let mut used = BTreeSet::from([cx.cfg.identity.failure_domain.clone()]);
    let mut chosen = Vec::new();
    let mut spare = Vec::new();
    for (instance, domain) in candidates {
        if used.insert(domain.clone()) {
            chosen.push(instance);
        } else {
            spare.push((domain == cx.cfg.identity.failure_domain, instance));
        }
    }
    spare.sort_by_key(|(own_domain, _)| *own_domain);
    chosen.extend(spare.into_iter().map(|(_, instance)| instance));
    chosen.truncate(wanted);
    chosen
}

fn candidates(cx: &Context<'_>) -> Vec<(Instance, FailureDomain)> {
    let tables = &cx.tables;
    let members = tables.members.iter();
    let usable = members.filter_map(|(vm, member)| {
        let unreachable = tables.once.unreachable.get(vm);
        let lost = unreachable.is_some_and(|&seen| seen >= member.last_seen);
        let row = tables
            .vms
            .get(vm)
            .filter(|row| row.state == VmState::Live)?;
        let instance = Instance {
            vm: vm.clone(),
            incarnation: member.incarnation,
        };
        let usable = member.is_active() && !lost;
        usable.then(|| (instance, row.failure_domain.clone()))
    });
    usable.collect()
}
