//! Selection of the engines for a generation.

mod gateway_fakes;

use std::collections::{BTreeMap, BTreeSet};

use bolero_generator::TypeGenerator;
use gateway_fakes::{ENGINES, TYPICAL, engine, id, ms, name, placed_engines, spec, spread, table};
use radishhaven_cases::{INVARIANT_CASES, check};
use radishhaven_core::{
    gateway::{
        Path, ServerState, Servers,
        paths::{PathRequest, TokenEstimate, choose},
    },
    ids::VmId,
};

fn path(servers: &Servers, estimate: TokenEstimate, avoid: &[VmId]) -> Option<Path> {
    let req = PathRequest {
        avoid,
        ..estimate.into()
    };
    choose(&spec(), servers, &id(ENGINES), ms(0), &req, || 0.5)
}

#[test]
fn path_stays_in_one_failure_domain_with_capacity() {
    let engines = placed_engines();
    let path = path(&table(&engines), TYPICAL, &[]).expect("there is capacity");
    let domains: BTreeSet<&str> = path
        .stages
        .iter()
        .map(|stage| engines[&stage.server].domain.as_str())
        .collect();
    assert_eq!(domains.len(), 1);
}

#[test]
fn avoided_and_draining_engines_are_excluded() {
    let mut engines = placed_engines();
    let first = path(&table(&engines), TYPICAL, &[]).expect("there is capacity");
    let avoided = first.stages[0].server.clone();
    let draining = first.stages[1].server.clone();
    engines.get_mut(&draining).expect("the entry exists").state = ServerState::Draining;
    let second = path(&table(&engines), TYPICAL, std::slice::from_ref(&avoided))
        .expect("other engines have capacity");
    let used = |id: &VmId| second.stages.iter().any(|stage| stage.server == *id);
    assert!(!used(&avoided) && !used(&draining));
}

#[test]
fn no_path_uses_engines_with_reserved_memory() {
    let engines = BTreeMap::from([(name(0), engine(0, "centro", "l40s", Some((0, 20))))]);
    let mut servers = table(&engines);
    let mut small = spec();
    small.layers = 20;
    let capacity = small
        .kv_tokens(&small.accelerators["l40s"], 20)
        .expect("the layers fit");
    servers.get_mut(&name(0)).expect("the entry exists").tokens = u64::from(capacity);
    let full = choose(
        &small,
        &servers,
        &id(ENGINES),
        ms(0),
        &TYPICAL.into(),
        || 0.5,
    );
    assert_eq!(full, None);
}

#[derive(Debug, TypeGenerator)]
struct Case {
    engines: Vec<(u8, u8, u8, u8, u16)>,
    prompt: u16,
    output: u8,
}

/// Whatever layers the engines hold, a path runs every layer once and in order,
/// only on engines that hold it, and uses no engine twice.
#[test]
fn path_runs_every_layer_once_and_in_order() {
    let found = std::cell::Cell::new(0_u32);
    check(2, INVARIANT_CASES, |case: Case| {
        let mut engines = BTreeMap::new();
        for (number, (domain, kind, start, count, tokens)) in
            case.engines.iter().take(80).enumerate()
        {
            let domain = ["centro", "cordon", "pocitos"][usize::from(domain % 3)];
            let kind = ["a100", "l40s", "l4"][usize::from(kind % 3)];
            let start = u16::from(start % 16) * 5;
            let end = (start + u16::from(count % 8 + 1) * 5).min(80);
            let held = engine(number, domain, kind, Some((start, end)));
            engines.insert(name(number), (held, u64::from(*tokens)));
        }
        let mut servers = Servers::default();
        for (id, (engine, tokens)) in &engines {
            servers.apply(ms(0), id, Some(engine.clone()));
            servers.get_mut(id).expect("the server was added").tokens = *tokens;
        }
        let estimate = TokenEstimate {
            prompt: u32::from(case.prompt % 4_000),
            output: u32::from(case.output),
        };
        let spread = spread(&servers, ms(0), estimate, || 0.5);
        let cheapest = path(&servers, estimate, &[]);
        assert_eq!(spread.is_some(), cheapest.is_some());
        for path in cheapest.iter().chain(&spread) {
            found.set(found.get() + 1);
            let mut next = 0;
            let mut seen = BTreeSet::new();
            for stage in &path.stages {
                let held = engines[&stage.server].0.layers.expect("engine has layers");
                assert_eq!(stage.layers.start(), next, "a gap or an overlap");
                assert!(held.start() <= stage.layers.start() && stage.layers.end() <= held.end());
                assert!(seen.insert(&stage.server), "an engine occurs twice");
                next = stage.layers.end();
            }
            assert_eq!(next, 80, "the path ends early");
        }
    });
    assert!(found.get() > 500, "only {} cases had a path", found.get());
}
