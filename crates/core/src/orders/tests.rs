//! Orders of one shard: who goes first, who waits, and what is corrected.

use std::time::Duration;

use super::*;
use crate::{
    ids::{FencingToken, VmId},
    time::Timestamp,
};

fn vm(n: usize) -> VmId {
    format!("engine-{n}").parse().expect("a VM")
}

fn desired(layers: &str, checks_tokens: bool) -> DesiredState {
    DesiredState {
        model: "dictado".parse().expect("a model"),
        version: "v2".parse().expect("a version"),
        layers: layers.parse().expect("layers"),
        adapters: Default::default(),
        checks_tokens,
    }
}

fn held(desired: &DesiredState, version: &str, token: u64) -> EngineState {
    EngineState {
        model: desired.model.clone(),
        version: version.parse().expect("a version"),
        layers: desired.layers,
        adapters: desired.adapters.clone(),
        token: FencingToken(token),
        loading: false,
    }
}

fn term(ms: u64) -> LeaseTerm {
    LeaseTerm {
        token: FencingToken(7),
        since: Timestamp::from_millis(ms),
    }
}

fn given(actions: &[OrderAction]) -> Vec<&VmId> {
    let given = actions.iter().map(|action| match action {
        OrderAction::Send { vm, .. } | OrderAction::Read { vm } => vm,
    });
    given.collect()
}

fn cfg(max_loading: u32) -> OrderConfig {
    OrderConfig {
        max_loading,
        ..OrderConfig::default()
    }
}

#[test]
fn an_engine_that_ignores_tokens_waits_for_the_holder_before() {
    let mut orders = ShardOrders::default();
    let wanted = desired("0..8", false);
    let begun = Timestamp::from_millis(1_000);
    orders.set(begun, &vm(0), Some(wanted.clone()));
    let early = begun + cfg(1).max_delay - Duration::from_millis(1);
    let old = held(&wanted, "v1", 3);
    let actions = orders.read(early, &vm(0), old.clone(), term(1_000), &cfg(1));
    assert_eq!(actions, []);
    let late = begun + cfg(1).max_delay;
    let actions = orders.read(late, &vm(0), old, term(1_000), &cfg(1));
    assert_eq!(given(&actions), [&vm(0)]);
}

#[test]
fn an_engine_that_checks_tokens_is_ordered_at_once_even_if_it_holds_all() {
    let mut orders = ShardOrders::default();
    let wanted = desired("0..8", true);
    let begun = Timestamp::from_millis(1_000);
    orders.set(begun, &vm(0), Some(wanted.clone()));
    let old = held(&wanted, "v2", 3);
    let actions = orders.read(begun, &vm(0), old, term(1_000), &cfg(1));
    assert_eq!(given(&actions), [&vm(0)], "it must learn the token");
    let new = held(&wanted, "v2", 7);
    let actions = orders.read(begun, &vm(0), new, term(1_000), &cfg(1));
    assert_eq!(actions, []);
}

#[test]
fn what_another_order_changed_is_corrected() {
    let mut orders = ShardOrders::default();
    let wanted = desired("0..8", false);
    let now = Timestamp::from_millis(60_000);
    orders.set(now, &vm(0), Some(wanted.clone()));
    let right = held(&wanted, "v2", 7);
    assert_eq!(orders.read(now, &vm(0), right, term(0), &cfg(1)), []);
    assert!(orders.rows()[&vm(0)].is_converged());
    let reads = orders.reads(now + cfg(1).read_back_interval, &cfg(1));
    assert_eq!(reads, [OrderAction::Read { vm: vm(0) }]);
    let wrong = held(&wanted, "v1", 3);
    let actions = orders.read(now, &vm(0), wrong, term(0), &cfg(1));
    assert_eq!(given(&actions), [&vm(0)]);
    assert!(!orders.rows()[&vm(0)].is_converged());
}

/// After a mass restart nobody holds anything: the first wave covers every
/// layer once, before any layer is held twice.
#[test]
fn waves_restore_the_thinnest_layers_first() {
    let mut orders = ShardOrders::default();
    let now = Timestamp::from_millis(60_000);
    let stages = ["0..8", "8..16", "16..24"];
    let blocked = cfg(0);
    for n in 0..9 {
        let wanted = desired(stages[n / 3], true);
        orders.set(now, &vm(n), Some(wanted.clone()));
        let empty = held(&wanted, "v1", 3);
        assert_eq!(orders.read(now, &vm(n), empty, term(0), &blocked), []);
    }
    let mut waves = Vec::new();
    let mut loading: Vec<VmId> = Vec::new();
    let again = held(&desired(stages[0], true), "v1", 3);
    let actions = orders.read(now, &vm(0), again, term(0), &cfg(3));
    loading.extend(given(&actions).into_iter().cloned());
    while !loading.is_empty() {
        waves.push(loading.clone());
        for vm in std::mem::take(&mut loading) {
            let wanted = orders.rows()[&vm].desired.clone().expect("wanted");
            let done = held(&wanted, "v2", 7);
            let actions = orders.read(now, &vm, done, term(0), &cfg(3));
            loading.extend(given(&actions).into_iter().cloned());
        }
    }
    assert_eq!(waves.concat().len(), 9);
    let stages_of = |wave: &[VmId]| {
        let mut stages: Vec<_> = wave
            .iter()
            .map(|vm| orders.rows()[vm].desired.clone().expect("wanted").layers)
            .collect();
        stages.sort();
        stages
    };
    for wave in &waves {
        let all = stages.map(|s| s.parse().expect("layers"));
        assert_eq!(stages_of(wave), all, "{waves:?}");
    }
}

#[test]
fn no_more_engines_load_than_may() {
    let mut orders = ShardOrders::default();
    let now = Timestamp::from_millis(60_000);
    let mut ordered = 0;
    for n in 0..20 {
        let wanted = desired("0..8", true);
        orders.set(now, &vm(n), Some(wanted.clone()));
        let empty = held(&wanted, "v1", 3);
        ordered += orders.read(now, &vm(n), empty, term(0), &cfg(4)).len();
    }
    assert_eq!(ordered, 4);
}
