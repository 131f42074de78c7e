//! Tests of the order in which engines load, of the wait for the previous
//! holder, and of the correction of engines.

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

fn ordered_vms(actions: &[OrderAction]) -> Vec<&VmId> {
    let ordered_vms = actions.iter().map(|action| match action {
        OrderAction::Send { vm, .. } | OrderAction::Read { vm } => vm,
    });
    ordered_vms.collect()
}

fn cfg(max_loading: u32) -> OrderConfig {
    OrderConfig {
        max_loading,
        ..OrderConfig::default()
    }
}

#[test]
fn an_engine_that_ignores_tokens_is_ordered_after_orders_of_the_previous_holder() {
    let mut orders = ShardOrders::default();
    let desired_state = desired("0..8", false);
    let term_start = Timestamp::from_millis(1_000);
    orders.set_desired(term_start, &vm(0), Some(desired_state.clone()));
    let early = term_start + cfg(1).max_delay - Duration::from_millis(1);
    let old = held(&desired_state, "v1", 3);
    let actions = orders.apply_read(early, &vm(0), old.clone(), term(1_000), &cfg(1));
    assert_eq!(actions, []);
    let late = term_start + cfg(1).max_delay;
    let actions = orders.apply_read(late, &vm(0), old, term(1_000), &cfg(1));
    assert_eq!(ordered_vms(&actions), [&vm(0)]);
}

#[test]
fn an_engine_that_checks_tokens_is_ordered_immediately_even_if_it_has_the_weights() {
    let mut orders = ShardOrders::default();
    let desired_state = desired("0..8", true);
    let term_start = Timestamp::from_millis(1_000);
    orders.set_desired(term_start, &vm(0), Some(desired_state.clone()));
    let old = held(&desired_state, "v2", 3);
    let actions = orders.apply_read(term_start, &vm(0), old, term(1_000), &cfg(1));
    assert_eq!(
        ordered_vms(&actions),
        [&vm(0)],
        "the engine must receive the new token"
    );
    let new = held(&desired_state, "v2", 7);
    let actions = orders.apply_read(term_start, &vm(0), new, term(1_000), &cfg(1));
    assert_eq!(actions, []);
}

#[test]
fn an_engine_changed_by_another_order_is_corrected() {
    let mut orders = ShardOrders::default();
    let desired_state = desired("0..8", false);
    let now = Timestamp::from_millis(60_000);
    orders.set_desired(now, &vm(0), Some(desired_state.clone()));
    let right = held(&desired_state, "v2", 7);
    assert_eq!(orders.apply_read(now, &vm(0), right, term(0), &cfg(1)), []);
    assert!(orders.rows()[&vm(0)].is_converged());
    let due_reads = orders.due_reads(now + cfg(1).read_back_interval, &cfg(1));
    assert_eq!(due_reads, [OrderAction::Read { vm: vm(0) }]);
    let wrong = held(&desired_state, "v1", 3);
    let actions = orders.apply_read(now, &vm(0), wrong, term(0), &cfg(1));
    assert_eq!(ordered_vms(&actions), [&vm(0)]);
    assert!(!orders.rows()[&vm(0)].is_converged());
}

/// After a mass restart no engine has the weights that it must hold. Each round
/// of loads must cover every layer once, so that the pipeline serves again after
/// the first round.
#[test]
fn each_round_of_loads_covers_every_layer() {
    let mut orders = ShardOrders::default();
    let now = Timestamp::from_millis(60_000);
    let stages = ["0..8", "8..16", "16..24"];
    let blocked = cfg(0);
    for n in 0..9 {
        let desired_state = desired(stages[n / 3], true);
        orders.set_desired(now, &vm(n), Some(desired_state.clone()));
        let empty = held(&desired_state, "v1", 3);
        assert_eq!(orders.apply_read(now, &vm(n), empty, term(0), &blocked), []);
    }
    let mut rounds = Vec::new();
    let mut loading: Vec<VmId> = Vec::new();
    let reported = held(&desired(stages[0], true), "v1", 3);
    let actions = orders.apply_read(now, &vm(0), reported, term(0), &cfg(3));
    loading.extend(ordered_vms(&actions).into_iter().cloned());
    while !loading.is_empty() {
        rounds.push(loading.clone());
        for vm in std::mem::take(&mut loading) {
            let desired_state = orders.rows()[&vm]
                .desired
                .clone()
                .expect("the engine has a desired state");
            let done = held(&desired_state, "v2", 7);
            let actions = orders.apply_read(now, &vm, done, term(0), &cfg(3));
            loading.extend(ordered_vms(&actions).into_iter().cloned());
        }
    }
    assert_eq!(rounds.concat().len(), 9);
    let stages_of = |round: &[VmId]| {
        let mut stages: Vec<_> = round
            .iter()
            .map(|vm| {
                orders.rows()[vm]
                    .desired
                    .clone()
                    .expect("the engine has a desired state")
                    .layers
            })
            .collect();
        stages.sort();
        stages
    };
    for round in &rounds {
        let all = stages.map(|s| s.parse().expect("layers"));
        assert_eq!(stages_of(round), all, "{rounds:?}");
    }
}

#[test]
fn the_number_of_engines_that_load_at_once_is_bounded() {
    let mut orders = ShardOrders::default();
    let now = Timestamp::from_millis(60_000);
    let mut ordered = 0;
    for n in 0..20 {
        let desired_state = desired("0..8", true);
        orders.set_desired(now, &vm(n), Some(desired_state.clone()));
        let empty = held(&desired_state, "v1", 3);
        ordered += orders
            .apply_read(now, &vm(n), empty, term(0), &cfg(4))
            .len();
    }
    assert_eq!(ordered, 4);
}
