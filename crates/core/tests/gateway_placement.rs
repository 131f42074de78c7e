//! Assignment of layers to engines.

mod gateway_fakes;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bolero_generator::TypeGenerator;
use gateway_fakes::{
    ENGINE_KINDS, ENGINES, TYPICAL, empty_engines, engine, id, ms, name, place, placed_engines,
    spec, spread, table,
};
use radishhaven_cases::{INVARIANT_CASES, check};
use radishhaven_core::{
    gateway::{
        EngineSpec, Server,
        placement::{PendingOrders, SentOrders, next_orders, plan, rebalance},
    },
    ids::VmId,
};

/// Returns how many engines hold each layer, in one domain or in all.
fn coverage(engines: &BTreeMap<VmId, Server>, domain: Option<&str>) -> Vec<u32> {
    let mut coverage = vec![0; usize::from(spec().layers)];
    for engine in engines.values() {
        if domain.is_some_and(|domain| engine.domain.as_str() != domain) {
            continue;
        }
        for layer in engine.layers.iter().flat_map(|l| l.start()..l.end()) {
            coverage[usize::from(layer)] += 1;
        }
    }
    coverage
}

#[test]
fn every_domain_holds_a_full_copy() {
    let engines = placed_engines();
    for domain in ["centro", "cordon", "pocitos"] {
        let min_coverage = coverage(&engines, Some(domain)).into_iter().min();
        assert!(min_coverage >= Some(1), "{domain} lacks a layer");
    }
}

#[test]
fn restarted_engine_gets_the_layers_with_least_coverage() {
    let mut engines = placed_engines();
    let lost_layers = engines[&name(0)].layers.expect("the engine holds layers");
    engines.insert(name(0), engine(0, "centro", "a100", None));
    let assignments = plan(&spec(), &table(&engines), &id(ENGINES), &BTreeMap::new());
    assert_eq!(assignments.len(), 1);
    let assigned = assignments[0].layers;
    let covers_all = assigned.start() <= lost_layers.start() && lost_layers.end() <= assigned.end();
    assert!(
        covers_all,
        "{assigned} leaves some of {lost_layers} to slow engines"
    );
}

#[test]
fn missing_layers_move_to_a_redundant_engine() {
    let mut engines = placed_engines();
    let missing = 0..20;
    engines.retain(|_, engine| {
        let held = engine.layers.expect("the engine holds layers");
        !missing.contains(&held.start())
    });
    let best_move = rebalance(&spec(), &table(&engines), &id(ENGINES), &BTreeMap::new());
    let assignment = best_move.expect("an engine is redundant");
    assert_eq!(assignment.layers.start(), 0);
    let released = engines[&assignment.server]
        .layers
        .expect("the engine holds layers");
    let before = coverage(&engines, None);
    let still_held =
        (released.start()..released.end()).all(|layer| before[usize::from(layer)] >= 2);
    assert!(still_held, "no engine would hold all of {released}");
}

#[derive(Debug, TypeGenerator)]
struct Deployment {
    engines: Vec<(u8, u8)>,
    /// Bit mask of the engines that lose their layers after the first plan.
    emptied: u64,
}

/// No engine is assigned more layers than fit into its memory, whatever engines
/// there are and whichever of them already hold layers.
#[test]
fn assigned_layers_fit_into_memory() {
    let spec = spec();
    check(1, INVARIANT_CASES, |case: Deployment| {
        let mut engines = BTreeMap::new();
        for (number, (domain, kind)) in case.engines.iter().take(60).enumerate() {
            let domain = ["centro", "cordon", "pocitos"][usize::from(domain % 3)];
            let kind = ["a100", "l40s", "l4"][usize::from(kind % 3)];
            engines.insert(name(number), engine(number, domain, kind, None));
        }
        for round in 0..2 {
            for assignment in plan(&spec, &table(&engines), &id(ENGINES), &BTreeMap::new()) {
                let engine = engines
                    .get_mut(&assignment.server)
                    .expect("the entry exists");
                let kind = engine
                    .accelerator
                    .as_ref()
                    .expect("engines have an accelerator");
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
                    if case.emptied >> (number % 64) & 1 == 1 {
                        engine.layers = None;
                    }
                }
            }
        }
    });
}

#[test]
fn plan_uses_every_engine() {
    let engines = placed_engines();
    let total: usize = ENGINE_KINDS.iter().map(|(_, _, count)| count).sum();
    let placed = engines.values().filter(|e| e.layers.is_some()).count();
    assert_eq!((placed, empty_engines().len()), (total, total));
}

/// Guards against endless moves after engine failures: two engines of a
/// domain's only fast copy are lost, and the others move one at a time until a
/// move gains too little.
#[test]
fn moves_end_and_keep_every_layer_held() {
    let mut engines = placed_engines();
    engines.remove(&name(7));
    engines.remove(&name(12));
    let mut moves = 0;
    while let Some(next) = rebalance(&spec(), &table(&engines), &id(ENGINES), &BTreeMap::new()) {
        engines
            .get_mut(&next.server)
            .expect("the entry exists")
            .layers = Some(next.layers);
        moves += 1;
        assert!(moves < 8, "moves do not end");
    }
    assert!(moves > 0);
    assert!(coverage(&engines, Some("cordon")).into_iter().min() >= Some(1));
}

/// Guards against a first plan without the engines that register last: no
/// orders are sent until no new engine has registered for a while, then all at
/// once.
#[test]
fn first_plan_waits_until_all_engines_registered() {
    let servers = table(&empty_engines());
    let mut pending = PendingOrders::new();
    let mut at = |time| next_orders(&spec(), &servers, &id(ENGINES), &mut pending, time).len();
    assert_eq!(at(ms(1_000)), 0);
    assert_eq!(at(ms(1_400)), empty_engines().len());
}

/// The number of concurrent loads is limited to what the weight store serves at
/// full speed, and failed orders are sent again.
#[test]
fn concurrent_loads_are_limited_and_failed_orders_resent() {
    let mut engines = placed_engines();
    for number in 0..8 {
        engines
            .get_mut(&name(number))
            .expect("the entry exists")
            .layers = None;
    }
    let servers = table(&engines);
    let mut pending = PendingOrders::new();
    let mut at = |time| {
        let orders = next_orders(&spec(), &servers, &id(ENGINES), &mut pending, time);
        let sent = orders.into_iter().map(|a| (a.server, (a.layers, time)));
        let sent: Vec<_> = sent.collect();
        let count = sent.len();
        pending.extend(sent);
        count
    };
    assert_eq!(at(ms(2_000)), 5);
    assert_eq!(at(ms(2_300)), 0);
    assert_eq!(at(ms(60_000)), 5);
}

/// Guards against a plan that counts on an order which no engine carries out. The holder of
/// the lease before had given other orders, which this node does not know.
#[test]
fn order_that_conflicts_is_not_counted_on() {
    let mut engines = placed_engines();
    let engine = engines.get_mut(&name(0)).expect("the entry exists");
    engine.layers = None;
    let servers = table(&engines);
    let mut orders = SentOrders::default();
    let at = |orders: &mut SentOrders, time| {
        let next = orders.next(&spec(), &servers, &id(ENGINES), time);
        for assignment in &next {
            orders.record_sent(time, assignment);
        }
        next
    };
    let first = at(&mut orders, ms(2_000));
    assert_eq!(first.len(), 1);
    orders.record_conflict(ms(2_010), &name(0));
    assert_eq!(at(&mut orders, ms(2_300)), [], "the engine is busy");
    assert_eq!(at(&mut orders, ms(3_200)), first);
    assert_eq!(at(&mut orders, ms(3_500)), [], "the order is carried out");
}

/// Applies orders until there are none, and returns their number.
fn settle(engines: &mut BTreeMap<VmId, Server>) -> usize {
    let mut orders = 0;
    for round in 1.. {
        let now = ms(round * 60_000);
        let mut pending = PendingOrders::new();
        let next = next_orders(&spec(), &table(engines), &id(ENGINES), &mut pending, now);
        if next.is_empty() {
            break;
        }
        for assignment in next {
            orders += 1;
            let engine = engines.get_mut(&assignment.server);
            engine.expect("the entry exists").layers = Some(assignment.layers);
        }
        assert!(orders < 60, "orders do not end");
    }
    orders
}

/// Returns the number of copies among which requests are spread.
fn copy_count(engines: &BTreeMap<VmId, Server>) -> usize {
    let view = table(engines);
    let heads: BTreeSet<VmId> = (0..400)
        .filter_map(|number| {
            let draw = || f64::from(number) / 400.0;
            let path = spread(&view, ms(0), TYPICAL, draw)?;
            Some(path.stages[0].server.clone())
        })
        .collect();
    heads.len()
}

/// Engines of one failure domain that form three copies of their own kinds.
fn three_copies() -> BTreeMap<VmId, Server> {
    let kinds = [("a100", 4), ("l40s", 10), ("l4", 20)];
    let all = kinds
        .iter()
        .flat_map(|(kind, count)| std::iter::repeat_n(*kind, *count));
    let engines = all
        .enumerate()
        .map(|(n, kind)| (name(n), engine(n, "centro", kind, None)));
    place(engines.collect())
}

/// Load pattern: one engine of each copy is lost. Each loss breaks a copy, and
/// the engines of one of them complete the others.
#[test]
fn engines_of_a_broken_copy_complete_the_others() {
    let mut engines = three_copies();
    assert_eq!(copy_count(&engines), 3);
    for lost in [1, 6, 20] {
        engines.remove(&name(lost));
    }
    assert!(copy_count(&engines) <= 1);
    let orders = settle(&mut engines);
    assert!(copy_count(&engines) >= 2, "{} copies", copy_count(&engines));
    assert!(orders <= 12, "{orders} orders for three gaps");
}

/// A single loss moves an engine only if that completes a copy, and an engine
/// that starts without layers takes the place of the lost one.
#[test]
fn empty_engine_takes_the_place_of_a_lost_one() {
    let mut engines = three_copies();
    let lost = engines.remove(&name(2)).expect("the entry exists");
    engines.insert(name(40), engine(40, "centro", "a100", None));
    settle(&mut engines);
    assert_eq!(engines[&name(40)].layers, lost.layers);
    assert_eq!(copy_count(&engines), 3);
}

/// Guards against a copy that runs a fraction of its requests once lost engines are back:
/// one of them took as many layers as fit, and had memory left for few requests.
#[test]
fn engines_that_return_together_leave_each_other_memory() {
    let mut engines = three_copies();
    let of_kind = |engines: &BTreeMap<VmId, Server>, kind: &str| {
        let mut of_kind: Vec<_> = engines
            .iter()
            .filter(|(_, server)| server.accelerator.as_deref() == Some(kind))
            .map(|(id, server)| (server.layers, id.clone()))
            .collect();
        of_kind.sort();
        of_kind
    };
    let least_free = |engines: &BTreeMap<VmId, Server>| {
        let free = engines.values().map(|server| {
            let kind = &spec().accelerators[server.accelerator.as_ref().expect("an engine")];
            let held = server.layers.expect("layers").count();
            spec().kv_tokens(kind, held).expect("the layers fit")
        });
        free.min().expect("an engine")
    };
    let before = least_free(&engines);
    let neighbours: Vec<VmId> = of_kind(&engines, "l4")
        .into_iter()
        .skip(4)
        .take(2)
        .map(|(_, id)| id)
        .collect();
    for lost in &neighbours {
        engines.remove(lost);
    }
    for number in [40, 41] {
        engines.insert(name(number), engine(number, "centro", "l4", None));
    }
    settle(&mut engines);
    assert_eq!(copy_count(&engines), 3);
    assert!(
        least_free(&engines) >= before,
        "{} of {before} tokens",
        least_free(&engines)
    );
}

#[test]
fn complete_copies_are_left_alone() {
    let mut engines = three_copies();
    let before = engines.clone();
    assert_eq!(settle(&mut engines), 0);
    assert_eq!(engines, before);
}

/// Whatever engines are lost, orders end, fit into memory, and leave no fewer
/// copies.
#[test]
fn no_loss_leaves_fewer_copies_after_the_orders() {
    check(3, 100, |lost: u64| {
        let mut engines = three_copies();
        for number in 0..34 {
            if lost >> number & 3 == 3 {
                engines.remove(&name(number));
            }
        }
        let before = copy_count(&engines);
        settle(&mut engines);
        assert!(copy_count(&engines) >= before);
        for server in engines.values() {
            let kind = &spec().accelerators[server.accelerator.as_ref().expect("an engine")];
            let held = server.layers.map_or(0, |layers| layers.count());
            assert!(f64::from(held) * spec().layer_mb <= kind.memory_mb);
        }
    });
}

/// The engines of a deployment whose routes state a gap between events, as planned.
fn placed_for_gap(gap_ms: u64) -> BTreeMap<VmId, Server> {
    let spec = EngineSpec {
        target_gap: Some(Duration::from_millis(gap_ms)),
        ..spec()
    };
    let mut engines = empty_engines();
    for assignment in plan(&spec, &table(&engines), &id(ENGINES), &BTreeMap::new()) {
        let engine = engines.get_mut(&assignment.server);
        engine.expect("the entry exists").layers = Some(assignment.layers);
    }
    engines
}

/// Returns the kinds of the engines of each copy that requests use.
fn kinds_of_copies(engines: &BTreeMap<VmId, Server>) -> BTreeSet<Vec<String>> {
    let view = table(engines);
    let paths = (0..400).filter_map(|number| {
        let draw = || f64::from(number) / 400.0;
        spread(&view, ms(0), TYPICAL, draw)
    });
    let kind = |id: &VmId| engines[id].accelerator.clone().expect("an engine");
    let kinds = paths.map(|path| {
        path.stages
            .iter()
            .map(|stage| kind(&stage.server))
            .collect()
    });
    kinds.collect()
}

/// Load pattern: streams on copies of slow engines alone are late as soon as those have
/// some load. Guards against such copies where routes state a gap that they would miss.
#[test]
fn no_copy_of_slow_engines_alone_misses_the_gap() {
    let is_slow = |kinds: &Vec<String>| kinds.iter().all(|kind| kind == "l4");
    assert!(kinds_of_copies(&placed_engines()).iter().any(is_slow));
    let engines = placed_for_gap(200);
    let kinds = kinds_of_copies(&engines);
    assert!(kinds.len() >= 3 && !kinds.iter().any(is_slow), "{kinds:?}");
    for domain in ["centro", "cordon", "pocitos"] {
        let min_coverage = coverage(&engines, Some(domain)).into_iter().min();
        assert!(min_coverage >= Some(1), "{domain} lacks a layer");
    }
    assert_eq!(
        placed_for_gap(5_000),
        placed_engines(),
        "a long gap changes nothing"
    );
}

/// Engines of one failure domain that form one copy of equal parts.
fn eight_stages() -> BTreeMap<VmId, Server> {
    let stages = (0..8).map(|stage| {
        let layers = Some((stage as u16 * 10, stage as u16 * 10 + 10));
        (name(stage), engine(stage, "centro", "l40s", layers))
    });
    stages.collect()
}

/// Load pattern: an engine leaves for good and no other one is empty. Guards against a
/// copy that stays broken, and against engines in use that give up their layers for it.
#[test]
fn engines_beside_a_lost_one_take_its_layers() {
    let mut engines = eight_stages();
    engines.remove(&name(3));
    assert_eq!(copy_count(&engines), 0);
    let before = engines.clone();
    assert_eq!(settle(&mut engines), 2);
    assert_eq!(copy_count(&engines), 1);
    for (id, engine) in &engines {
        let (now, held) = (
            engine.layers.expect("held"),
            before[id].layers.expect("held"),
        );
        assert!(
            now.start() <= held.start() && held.end() <= now.end(),
            "{id} gave up layers"
        );
    }
}

/// Load pattern: two engines of a copy crash and return one after the other. Guards
/// against a first one that gets layers at random because it can't fill both gaps.
#[test]
fn first_engine_that_returns_fills_one_of_two_gaps() {
    let mut engines = eight_stages();
    engines.remove(&name(0));
    engines.remove(&name(5));
    // Engines without memory for more layers leave the gaps open.
    for engine in engines.values_mut() {
        engine.accelerator = Some("l4".to_owned());
    }
    engines.insert(name(20), engine(20, "centro", "l40s", None));
    let now = ms(60_000);
    let mut pending = PendingOrders::new();
    let next = next_orders(&spec(), &table(&engines), &id(ENGINES), &mut pending, now);
    let filled = next
        .iter()
        .find(|a| a.server == name(20))
        .expect("an order");
    let gaps = [(0, 10), (50, 60)];
    let layers = (filled.layers.start(), filled.layers.end());
    assert!(gaps.contains(&layers), "{}", filled.layers);
}
