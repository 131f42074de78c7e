//! Claims and renews leases, sends orders to engines and reads back their state.
//!
//! A shard consists of the engines of one failure domain. See `docs/design/leases.md`
//! and `docs/design/orders.md`.

use std::{collections::BTreeSet, time::Duration};

use super::{Context, Timer};
use crate::{
    config::{Kind, Object, ObjectKey, Workload},
    ids::{ShardId, VmId},
    lease::{Holder, LeaseRecord, Leases},
    message::Action,
    orders::{DesiredState, EngineState, LeaseTerm, OrderAction},
    platform::Record,
    rendezvous,
};

/// Time between rounds of claims, renewals and reads of engines.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);

/// Sets up the leases when the node starts, if it is configured to send orders.
pub fn start(cx: &mut Context<'_>) {
    if !cx.cfg.orders.enabled {
        return;
    }
    let own = Holder {
        vm: cx.cfg.identity.vm.clone(),
        incarnation: cx.cfg.identity.incarnation,
    };
    cx.tables.orders.leases = Some(Leases::new(own, cx.cfg.lease.clone()));
    cx.tables
        .timers
        .subscribe(cx.now + ROUND_INTERVAL, Timer::Orders);
}

/// Runs a round of claims, renewals and reads of engines. A draining node
/// releases its leases instead, and a node that isn't ready only renews them.
pub fn run_round(cx: &mut Context<'_>) {
    cx.tables
        .timers
        .subscribe(cx.now + ROUND_INTERVAL, Timer::Orders);
    if cx.tables.draining_since.is_some() {
        return release(cx);
    }
    if !cx.tables.ready {
        // Orders from an outdated configuration would revert engines.
        return renew(cx);
    }
    claim(cx);
    renew(cx);
    read_engines(cx);
}

/// Applies records of the lease stream.
pub fn apply_lease_records(cx: &mut Context<'_>, first: u64, end: u64, records: &[Record]) {
    if let Some(leases) = &mut cx.tables.orders.leases {
        leases.apply_read(cx.now, first, end, records);
    }
}

/// Applies the reported state of an engine; `None` if it did not respond.
pub fn apply_engine_state(cx: &mut Context<'_>, vm: &VmId, held: Option<EngineState>) {
    let Some(shard) = cx.tables.orders.shard_of.get(vm).cloned() else {
        return;
    };
    let term = term(cx, &shard);
    let Some(orders) = cx.tables.orders.shards.get_mut(&shard) else {
        return;
    };
    let actions = match (held, term) {
        (Some(held), Some(term)) => orders.apply_read(cx.now, vm, held, term, &cx.cfg.orders),
        (None, _) => {
            orders.mark_unreachable(vm);
            Vec::new()
        }
        (Some(_), None) => Vec::new(),
    };
    for action in actions {
        execute(cx, &shard, action);
    }
}

/// Updates the shard and the desired state of the engines on `vms`, after the
/// configuration or the VM list changed for them. The cost doesn't depend on the
/// number of other engines.
pub fn update_engines(cx: &mut Context<'_>, vms: &BTreeSet<VmId>) {
    if !cx.cfg.orders.enabled {
        return;
    }
    for vm in vms {
        let (shard, desired) = desired_state_of(cx, vm).unzip();
        let shard_of = &mut cx.tables.orders.shard_of;
        let before = match &shard {
            Some(shard) => shard_of.insert(vm.clone(), shard.clone()),
            None => shard_of.remove(vm),
        };
        let shards = &mut cx.tables.orders.shards;
        if before != shard
            && let Some(orders) = before.and_then(|before| shards.get_mut(&before))
        {
            orders.set_desired(cx.now, vm, None);
        }
        if let Some(shard) = shard {
            shards
                .entry(shard)
                .or_default()
                .set_desired(cx.now, vm, desired);
        }
    }
}

/// Updates the shard and the desired state of all engines.
pub fn update_all_engines(cx: &mut Context<'_>) {
    let tracked = cx.tables.orders.shard_of.keys().cloned();
    let configured = cx.tables.config.backends();
    let configured = configured.map(|backend| backend.id.clone());
    let vms = tracked.chain(configured).collect();
    update_engines(cx, &vms);
}

/// Returns the shard and the desired state of an engine, or `None` if the VM is
/// not listed, not configured or serves a plain service.
fn desired_state_of(cx: &Context<'_>, vm: &VmId) -> Option<(ShardId, DesiredState)> {
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
    let Workload::Layers {
        model,
        version,
        layers,
        adapters,
    } = &backend.carries
    else {
        return None;
    };
    let desired = DesiredState {
        model: model.clone(),
        version: version.clone(),
        layers: *layers,
        adapters: adapters.clone(),
        checks_tokens: backend.checks_tokens,
    };
    Some((shard, desired))
}

fn term(cx: &Context<'_>, shard: &ShardId) -> Option<LeaseTerm> {
    let leases = cx.tables.orders.leases.as_ref()?;
    let token = leases.token(cx.now, shard)?;
    let since = leases.rows().get(shard)?.since;
    Some(LeaseTerm { token, since })
}

/// Claims the shards for which this node has the highest rendezvous score of the
/// serving nodes, so that nodes rarely compete for a shard.
fn claim(cx: &mut Context<'_>) {
    let shards: Vec<ShardId> = cx.tables.orders.shards.keys().cloned().collect();
    for shard in shards {
        if !is_preferred_holder(cx, &shard) {
            continue;
        }
        let leases = cx.tables.orders.leases.as_mut();
        if let Some(record) = leases.and_then(|leases| leases.claim(cx.now, &shard)) {
            append(cx, &record);
        }
    }
}

fn is_preferred_holder(cx: &Context<'_>, shard: &ShardId) -> bool {
    let score = |vm: &VmId| rendezvous::score(shard.as_str(), vm.as_str());
    let own = score(&cx.cfg.identity.vm);
    let mut others = cx.tables.members.iter().filter(|(_, row)| row.is_serving());
    others.all(|(vm, _)| score(vm) < own)
}

fn renew(cx: &mut Context<'_>) {
    if cx.now < cx.tables.orders.last_renewed + cx.cfg.lease.renew_interval {
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
        let reads = orders.map(|orders| orders.due_reads(cx.now, &cx.cfg.orders));
        for action in reads.into_iter().flatten() {
            execute(cx, &shard, action);
        }
    }
}

fn execute(cx: &mut Context<'_>, shard: &ShardId, action: OrderAction) {
    let (OrderAction::Read { vm } | OrderAction::Send { vm, .. }) = &action;
    let Some(address) = cx.tables.backends.get(vm).map(|row| row.address) else {
        return;
    };
    cx.out.push(match action {
        OrderAction::Read { vm } => Action::ReadHoldings { vm, address },
        OrderAction::Send { token, desired, .. } => {
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
