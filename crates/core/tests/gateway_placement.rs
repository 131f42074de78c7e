//! Which layers engines are told to hold.

mod gateway_fakes;

use std::collections::BTreeMap;

use bolero_generator::TypeGenerator;
use gateway_fakes::{
    CARDS, ENGINES, empty_engines, engine, id, ms, name, placed_engines, spec, table,
};
use radishhaven_cases::{INVARIANT_CASES, check};
use radishhaven_core::{
    gateway::{
        Server,
        placement::{PendingOrders, next_orders, plan, rebalance},
    },
    ids::VmId,
};

/// Returns how often each layer is held in a domain, or in all.
fn held(engines: &BTreeMap<VmId, Server>, domain: Option<&str>) -> Vec<u32> {
    let mut held = vec![0; usize::from(spec().layers)];
    for engine in engines.values() {
        if domain.is_some_and(|domain| engine.domain.as_str() != domain) {
            continue;
        }
        for layer in engine.layers.iter().flat_map(|l| l.start()..l.end()) {
            held[usize::from(layer)] += 1;
        }
    }
    held
}

#[test]
fn every_domain_gets_a_whole_copy() {
    let engines = placed_engines();
    for domain in ["centro", "cordon", "pocitos"] {
        let least = held(&engines, Some(domain)).into_iter().min();
        assert!(least >= Some(1), "{domain} lacks a layer");
    }
}

#[test]
fn an_engine_that_comes_back_empty_takes_what_is_held_least() {
    let mut engines = placed_engines();
    let lost = engines[&name(0)].layers.expect("it holds layers");
    engines.insert(name(0), engine(0, "centro", "a100", None));
    let assignments = plan(&spec(), &table(&engines), &id(ENGINES), &BTreeMap::new());
    assert_eq!(assignments.len(), 1);
    let taken = assignments[0].layers;
    let whole = taken.start() <= lost.start() && lost.end() <= taken.end();
    assert!(whole, "{taken} leaves a part of {lost} to slow cards");
}

#[test]
fn layers_that_are_held_nowhere_move_to_an_engine_that_can_be_spared() {
    let mut engines = placed_engines();
    let missing = 0..20;
    engines.retain(|_, engine| {
        let held = engine.layers.expect("it holds layers");
        !missing.contains(&held.start())
    });
    let move_one = rebalance(&spec(), &table(&engines), &id(ENGINES), &BTreeMap::new());
    let assignment = move_one.expect("some engine can be spared");
    assert_eq!(assignment.layers.start(), 0);
    let given_up = engines[&assignment.server].layers.expect("it holds layers");
    let rest = held(&engines, None);
    let spared = (given_up.start()..given_up.end()).all(|layer| rest[usize::from(layer)] >= 2);
    assert!(spared, "{given_up} would be held nowhere");
}

#[derive(Debug, TypeGenerator)]
struct Deployment {
    cards: Vec<(u8, u8)>,
    lost: u64,
}

/// No engine is ever told to hold more than its memory holds, whatever cards
/// there are and whichever of them hold layers already.
#[test]
fn no_engine_is_told_to_hold_more_than_fits() {
    let spec = spec();
    check(1, INVARIANT_CASES, |case: Deployment| {
        let mut engines = BTreeMap::new();
        for (number, (domain, kind)) in case.cards.iter().take(60).enumerate() {
            let domain = ["centro", "cordon", "pocitos"][usize::from(domain % 3)];
            let kind = ["a100", "l40s", "l4"][usize::from(kind % 3)];
            engines.insert(name(number), engine(number, domain, kind, None));
        }
        for round in 0..2 {
            for assignment in plan(&spec, &table(&engines), &id(ENGINES), &BTreeMap::new()) {
                let engine = engines.get_mut(&assignment.server).expect("it is there");
                let kind = engine.accelerator.as_ref().expect("it has one");
                let mb = f64::from(assignment.layers.count()) * spec.layer_mb;
                assert!(
                    mb <= spec.accelerators[kind].memory_mb,
                    "{kind} {}",
                    assignment.layers
                );
                assert!(assignment.layers.end() <= spec.layers);
                engine.layers = Some(assignment.layers);
            }
            if round == 0 {
                for (number, engine) in engines.values_mut().enumerate() {
                    if case.lost >> (number % 64) & 1 == 1 {
                        engine.layers = None;
                    }
                }
            }
        }
    });
}

#[test]
fn the_plan_uses_every_card() {
    let engines = placed_engines();
    let cards: usize = CARDS.iter().map(|(_, _, count)| count).sum();
    let placed = engines.values().filter(|e| e.layers.is_some()).count();
    assert_eq!((placed, empty_engines().len()), (cards, cards));
}

/// Two engines of one domain's only fast copy are lost: the others are moved
/// one after the other until nothing is gained any more, and that ends.
#[test]
fn moves_come_to_an_end_and_leave_no_layer_out() {
    let mut engines = placed_engines();
    engines.remove(&name(7));
    engines.remove(&name(12));
    let mut moves = 0;
    while let Some(next) = rebalance(&spec(), &table(&engines), &id(ENGINES), &BTreeMap::new()) {
        engines.get_mut(&next.server).expect("it is there").layers = Some(next.layers);
        moves += 1;
        assert!(moves < 8, "engines are moved on and on");
    }
    assert!(moves > 0);
    assert!(held(&engines, Some("cordon")).into_iter().min() >= Some(1));
}

/// At the start engines register one after the other: nothing is ordered until
/// no new one has come for a while, then all at once.
#[test]
fn the_first_plan_waits_until_all_engines_are_there() {
    let servers = table(&empty_engines());
    let mut ordered = PendingOrders::new();
    let mut at = |time| next_orders(&spec(), &servers, &id(ENGINES), &mut ordered, time).len();
    assert_eq!(at(ms(1_000)), 0);
    assert_eq!(at(ms(1_400)), empty_engines().len());
}

/// Later, no more loads run at a time than the store of weights serves at
/// full speed, and an order that came to nothing is given again.
#[test]
fn loads_are_few_at_a_time_and_lost_orders_are_given_again() {
    let mut engines = placed_engines();
    for number in 0..8 {
        engines.get_mut(&name(number)).expect("it is there").layers = None;
    }
    let servers = table(&engines);
    let mut ordered = PendingOrders::new();
    let mut at = |time| {
        let orders = next_orders(&spec(), &servers, &id(ENGINES), &mut ordered, time);
        let told = orders.into_iter().map(|a| (a.server, (a.layers, time)));
        let told: Vec<_> = told.collect();
        let count = told.len();
        ordered.extend(told);
        count
    };
    assert_eq!(at(ms(2_000)), 5);
    assert_eq!(at(ms(2_300)), 0);
    assert_eq!(at(ms(60_000)), 5);
}
