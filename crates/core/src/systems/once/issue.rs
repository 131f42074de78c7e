//! Issues ids and chooses the witnesses that they name.

use std::{collections::BTreeSet, time::Duration};

use rand::seq::SliceRandom;

use super::own_instance;
use crate::{
    ids::{FailureDomain, RequestId},
    once::{Instance, IntentId, IssuedId},
    platform::VmState,
    systems::Context,
};

/// How long new ids name the same witnesses.
const WITNESS_REUSE: Duration = Duration::from_millis(500);

/// Issues an id. Witnesses make the id usable for a non-idempotent request: they
/// can prove whether it ran after this node has failed.
pub fn issue_id(cx: &mut Context<'_>, with_witnesses: bool) -> RequestId {
    issue(cx, with_witnesses).1
}

/// Issues an id and returns it parsed and as text.
pub fn issue(cx: &mut Context<'_>, with_witnesses: bool) -> (IssuedId, RequestId) {
    let witnesses = if with_witnesses {
        witnesses(cx)
    } else {
        Vec::new()
    };
    let id = IssuedId {
        intent: IntentId {
            home: own_instance(cx),
            number: cx.tables.requests.next_id_number(),
        },
        issued: cx.now,
        witnesses,
    };
    let text = id.encode(&cx.cfg.once.key);
    (id, text)
}

/// Returns the witnesses for a new id; chooses them anew after
/// [`WITNESS_REUSE`] or when one of them was restarted or is leaving.
fn witnesses(cx: &mut Context<'_>) -> Vec<Instance> {
    let count = cx.cfg.once.witnesses as usize;
    let once = &cx.tables.once;
    let is_current = |w: &Instance| {
        let member = cx.tables.members.get(&w.vm);
        member.is_some_and(|m| m.incarnation == w.incarnation && m.is_active())
    };
    let keep = cx.now < once.chosen_until && once.chosen.len() == count;
    if !keep || !once.chosen.iter().all(is_current) {
        let chosen = choose(cx, count);
        cx.tables.once.chosen = chosen;
        cx.tables.once.chosen_until = cx.now + WITNESS_REUSE;
    }
    cx.tables.once.chosen.clone()
}

/// Chooses witnesses at random: first one node from each other failure domain,
/// then further nodes of those, and last nodes of this node's failure domain.
fn choose(cx: &mut Context<'_>, count: usize) -> Vec<Instance> {
    let vms = &cx.tables.vms;
    let unreachable = &mut cx.tables.once.unreachable;
    unreachable.retain(|vm, _| vms.get(vm).is_some());
    let mut candidates = candidates(cx);
    candidates.shuffle(cx.rng);
    let mut used = BTreeSet::from([cx.cfg.identity.failure_domain.clone()]);
    let mut chosen = Vec::new();
    let mut fallbacks = Vec::new();
    for (instance, domain) in candidates {
        if used.insert(domain.clone()) {
            chosen.push(instance);
        } else {
            fallbacks.push((domain == cx.cfg.identity.failure_domain, instance));
        }
    }
    fallbacks.sort_by_key(|(own_domain, _)| *own_domain);
    chosen.extend(fallbacks.into_iter().map(|(_, instance)| instance));
    chosen.truncate(count);
    chosen
}

/// Returns the live nodes that are not leaving and not unreachable, with their
/// failure domains.
fn candidates(cx: &Context<'_>) -> Vec<(Instance, FailureDomain)> {
    let tables = &cx.tables;
    let members = tables.members.iter();
    let usable = members.filter_map(|(vm, member)| {
        let unreachable = tables.once.unreachable.get(vm);
        let disconnected = unreachable.is_some_and(|&seen| seen >= member.last_seen);
        let row = tables
            .vms
            .get(vm)
            .filter(|row| row.state == VmState::Live)?;
        let instance = Instance {
            vm: vm.clone(),
            incarnation: member.incarnation,
        };
        let usable = member.is_active() && !disconnected;
        usable.then(|| (instance, row.failure_domain.clone()))
    });
    usable.collect()
}
