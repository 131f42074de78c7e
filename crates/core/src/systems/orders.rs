//! Orders to engines under leases: claims, renewals, reading back.
//!
//! A shard is the engines of one failure domain. See `docs/design/leases.md`
//! and `docs/design/orders.md`.

use std::{collections::BTreeSet, time::Duration};

use super::{Context, Timer};
use crate::{
    config::{Carries, Kind, Object, ObjectKey},
    ids::{ShardId, VmId},
    lease::{Holder, LeaseRecord, Leases},
    message::Action,
    orders::{Desired, Held, OrderAction, Term},
    platform::Record,
    rendezvous,
};

/// Time between two looks at leases and engines.
const ROUND: Duration = Duration::from_millis(500);

/// Begins; runs at the node's start.
pub fn start(cx: &mut Context<'_>) {
    if !cx.cfg.orders.give {
        return;
    }
    let own = Holder {
        vm: cx.cfg.identity.vm.clone(),
        incarnation: cx.cfg.identity.incarnation,
    };
    cx.tables.orders.leases = Some(Leases::new(own, cx.cfg.lease.clone()));
    cx.tables.timers.subscribe(cx.now + ROUND, Timer::Orders);
}

/// Claims, renews and asks engines what they hold; runs at an interval.
pub fn round(cx: &mut Context<'_>) {
    cx.tables.timers.subscribe(cx.now + ROUND, Timer::Orders);
    if cx.tables.draining_since.is_some() {
        return release(cx);
    }
    if !cx.tables.ready {
        // Orders of an old configuration would take engines back.
        return renew(cx);
    }
    claim(cx);
    renew(cx);
    read_engines(cx);
}

/// Takes in records of the lease stream.
pub fn records(cx: &mut Context<'_>, first: u64, end: u64, records: &[Record]) {
    if let Some(leases) = &mut cx.tables.orders.leases {
        leases.read(cx.now, first, end, records);
    }
}

/// Takes in what an engine holds; absent when it did not answer.
pub fn held(cx: &mut Context<'_>, vm: &VmId, held: Option<Held>) {
    let Some(shard) = cx.tables.orders.shard_of.get(vm).cloned() else {
        return;
    };
    let term = term(cx, &shard);
    let Some(orders) = cx.tables.orders.shards.get_mut(&shard) else {
        return;
    };
    let actions = match (held, term) {
        (Some(held), Some(term)) => orders.read(cx.now, vm, held, term, &cx.cfg.orders),
        (None, _) => {
            orders.lost(vm);
            Vec::new()
        }
        (Some(_), None) => Vec::new(),
    };
    for action in actions {
        perform(cx, &shard, action);
    }
}

/// Takes over what some engines are to hold; runs when the configuration or
/// the VM list changed them, and costs nothing for the others.
pub fn changed(cx: &mut Context<'_>, vms: &BTreeSet<VmId>) {
    if !cx.cfg.orders.give {
        return;
    }
    for vm in vms {
        let (shard, desired) = wanted(cx, vm).unzip();
        let shard_of = &mut cx.tables.orders.shard_of;
        let before = match &shard {
            Some(shard) => shard_of.insert(vm.clone(), shard.clone()),
            None => shard_of.remove(vm),
        };
        let shards = &mut cx.tables.orders.shards;
        if before != shard
            && let Some(orders) = before.and_then(|before| shards.get_mut(&before))
        {
            orders.set(cx.now, vm, None);
        }
        if let Some(shard) = shard {
            shards.entry(shard).or_default().set(cx.now, vm, desired);
        }
    }
}

/// Takes over what all engines are to hold.
pub fn all_changed(cx: &mut Context<'_>) {
    let known = cx.tables.orders.shard_of.keys().cloned();
    let configured = cx.tables.config.backends();
    let configured = configured.map(|backend| backend.id.clone());
    let vms = known.chain(configured).collect();
    changed(cx, &vms);
}

/// Returns an engine's shard and what it is to hold.
fn wanted(cx: &Context<'_>, vm: &VmId) -> Option<(ShardId, Desired)> {
    let row = cx.tables.backends.get(vm)?;
    let shard = row.failure_domain.as_str().parse().ok()?;
    let key = ObjectKey {
        kind: Kind::Backend,
        name: vm.to_string(),
    };
    let entry = cx.tables.config.objects().get(&key)?;
    let Object::Backend(backend) = &entry.object else {
        return None;
    };
    let Carries::Layers {
        model,
        version,
        layers,
        adapters,
    } = &backend.carries
    else {
        return None;
    };
    let desired = Desired {
        model: model.clone(),
        version: version.clone(),
        layers: *layers,
        adapters: adapters.clone(),
        checks_tokens: backend.checks_tokens,
    };
    Some((shard, desired))
}

fn term(cx: &Context<'_>, shard: &ShardId) -> Option<Term> {
    let leases = cx.tables.orders.leases.as_ref()?;
    let token = leases.token(cx.now, shard)?;
    let since = leases.rows().get(shard)?.since;
    Some(Term { token, since })
}

/// Claims shards for which this node is the first choice of all that live,
/// so that nodes seldom race.
fn claim(cx: &mut Context<'_>) {
    let shards: Vec<ShardId> = cx.tables.orders.shards.keys().cloned().collect();
    for shard in shards {
        if !is_first_choice(cx, &shard) {
            continue;
        }
        let leases = cx.tables.orders.leases.as_mut();
        if let Some(record) = leases.and_then(|leases| leases.claim(cx.now, &shard)) {
            append(cx, &record);
        }
    }
}

fn is_first_choice(cx: &Context<'_>, shard: &ShardId) -> bool {
    let score = |vm: &VmId| rendezvous::score(shard.as_str(), vm.as_str());
    let own = score(&cx.cfg.identity.vm);
    let mut others = cx.tables.members.iter().filter(|(_, row)| row.is_serving());
    others.all(|(vm, _)| score(vm) < own)
}

fn renew(cx: &mut Context<'_>) {
    if cx.now < cx.tables.orders.last_renewed + cx.cfg.lease.renew {
        return;
    }
    let leases = cx.tables.orders.leases.as_mut();
    if let Some(record) = leases.and_then(|leases| leases.renew(cx.now)) {
        cx.tables.orders.last_renewed = cx.now;
        append(cx, &record);
    }
}

fn release(cx: &mut Context<'_>) {
    let Some(leases) = &mut cx.tables.orders.leases else {
        return;
    };
    let held: Vec<ShardId> = leases.held(cx.now).map(|(shard, _)| shard).collect();
    let released = held
        .iter()
        .filter_map(|shard| leases.release(cx.now, shard));
    for record in released.collect::<Vec<LeaseRecord>>() {
        append(cx, &record);
    }
}

fn append(cx: &mut Context<'_>, record: &LeaseRecord) {
    let body = serde_json::to_string(record).expect("a record of names and numbers is JSON");
    cx.out.push(Action::AppendLease { body });
}

fn read_engines(cx: &mut Context<'_>) {
    let Some(leases) = &cx.tables.orders.leases else {
        return;
    };
    let held: Vec<ShardId> = leases.held(cx.now).map(|(shard, _)| shard).collect();
    for shard in held {
        let orders = cx.tables.orders.shards.get_mut(&shard);
        let reads = orders.map(|orders| orders.reads(cx.now, &cx.cfg.orders));
        for action in reads.into_iter().flatten() {
            perform(cx, &shard, action);
        }
    }
}

fn perform(cx: &mut Context<'_>, shard: &ShardId, action: OrderAction) {
    let (OrderAction::Read { vm } | OrderAction::Give { vm, .. }) = &action;
    let Some(address) = cx.tables.backends.get(vm).map(|row| row.address) else {
        return;
    };
    cx.out.push(match action {
        OrderAction::Read { vm } => Action::ReadHoldings { vm, address },
        OrderAction::Give { token, desired, .. } => {
            cx.tables.orders.orders_sent += 1;
            Action::SendOrder {
                address,
                shard: shard.clone(),
                token,
                desired: Box::new(desired),
            }
        }
    });
}
