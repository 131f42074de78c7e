//! Hundreds of nodes that choose paths with views that are some hundred
//! milliseconds old.

mod gateway_fakes;

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use gateway_fakes::{ENGINES, TYPICAL, engine, gateway, id, ms, name, place, spec, spread, table};
use radishhaven_core::{
    gateway::{
        Gateway, Path, Server, Servers,
        paths::{self, copies::CopyTable},
        peers::{ReportRecipient, ServerLoad, Source},
    },
    ids::VmId,
    time::Timestamp,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Engines of a deployment with five failure domains.
const KINDS: [(&str, &str, usize); 15] = [
    ("centro", "a100", 4),
    ("cordon", "a100", 2),
    ("pocitos", "a100", 6),
    ("malvin", "a100", 4),
    ("prado", "a100", 2),
    ("centro", "l40s", 11),
    ("cordon", "l40s", 18),
    ("pocitos", "l40s", 8),
    ("malvin", "l40s", 11),
    ("prado", "l40s", 18),
    ("centro", "l4", 28),
    ("cordon", "l4", 16),
    ("pocitos", "l4", 19),
    ("malvin", "l4", 28),
    ("prado", "l4", 15),
];
/// Requests per second of all nodes at the worst load.
const RATE: u64 = 550;
/// Age of a view when the next one replaces it.
const VIEW_AGE: Duration = Duration::from_millis(600);

/// Chooses a path with a view and random numbers.
type Choice = fn(&Servers, Timestamp, &mut dyn FnMut() -> f64) -> Option<Path>;

fn engines() -> BTreeMap<VmId, Server> {
    let all = KINDS
        .iter()
        .flat_map(|(domain, kind, count)| std::iter::repeat_n((*domain, *kind), *count));
    let empty = all
        .enumerate()
        .map(|(number, (domain, kind))| (name(number), engine(number, domain, kind, None)));
    place(empty.collect())
}

/// Time for which a request runs, at the load of a half-full engine.
fn duration(engines: &BTreeMap<VmId, Server>, path: &Path) -> Duration {
    let spec = spec();
    let token_ms: f64 = path
        .stages
        .iter()
        .map(|stage| {
            let kind = engines[&stage.server].accelerator.as_ref();
            let kind = &spec.accelerators[kind.expect("an engine")];
            let share = f64::from(stage.layers.count()) / f64::from(spec.layers);
            1.5 * spec.step_ms * kind.step_factor * share
        })
        .sum();
    Duration::from_secs_f64(token_ms * f64::from(TYPICAL.output) / 1e3)
}

struct Outcome {
    refused: u64,
    /// Largest share of an engine's memory that requests needed at any time.
    max_fill: f64,
}

/// Lets nodes choose paths for some seconds, all with the same view, which is
/// replaced by the current loads once it is [`VIEW_AGE`] old.
fn play(engines: &BTreeMap<VmId, Server>, choose: Choice) -> Outcome {
    let spec = spec();
    let mut rng = StdRng::seed_from_u64(11);
    let mut view = table(engines);
    let mut loads: BTreeMap<VmId, (u32, u64)> = BTreeMap::new();
    let mut running: VecDeque<(Timestamp, Path)> = VecDeque::new();
    let mut out = Outcome {
        refused: 0,
        max_fill: 0.0,
    };
    let mut view_at = ms(0);
    for number in 0..RATE * 6 {
        let now = ms(number * 1_000 / RATE);
        while let Some(at) = running.iter().position(|(end, _)| *end <= now) {
            let (_, path) = running.remove(at).expect("the entry exists");
            for stage in &path.stages {
                let load = loads.get_mut(&stage.server).expect("the entry exists");
                *load = (load.0 - 1, load.1 - stage.tokens);
            }
        }
        if now.since(view_at) >= VIEW_AGE {
            view_at = now;
            view.clear_peer_load();
            for (id, (requests, tokens)) in &loads {
                let row = view.get_mut(id).expect("the engine is known");
                (row.peer_requests, row.peer_tokens) = (*requests, *tokens);
            }
        }
        let mut draw = || rng.random_range(0.0..1.0);
        let path = choose(&view, now, &mut draw);
        let Some(path) = path else {
            out.refused += 1;
            continue;
        };
        for stage in &path.stages {
            let load = loads.entry(stage.server.clone()).or_default();
            *load = (load.0 + 1, load.1 + stage.tokens);
            let server = &engines[&stage.server];
            let kind = &spec.accelerators[server.accelerator.as_ref().expect("an engine")];
            let held = server.layers.expect("the engine holds layers");
            let capacity = spec.kv_tokens(kind, held.count()).expect("the layers fit");
            out.max_fill = out.max_fill.max(load.1 as f64 / f64::from(capacity));
        }
        running.push_back((now + duration(engines, &path), path));
    }
    out
}

/// Guards against a herd: no engine may be sent more than it has memory for
/// while others are free.
#[test]
fn stale_views_fill_no_engine() {
    let out = play(&engines(), |view, now, draw| {
        spread(view, now, TYPICAL, draw)
    });
    assert_eq!(out.refused, 0);
    assert!(
        out.max_fill < 1.0,
        "an engine is filled to {:.2}",
        out.max_fill
    );
}

/// The same load, with two copies lost.
#[test]
fn stale_views_fill_no_engine_after_a_loss() {
    let mut engines = engines();
    let lost: Vec<VmId> = engines
        .iter()
        .filter(|(_, server)| {
            server.domain.as_str() == "pocitos" && server.accelerator.as_deref() != Some("l4")
        })
        .map(|(id, _)| id.clone())
        .collect();
    engines.retain(|id, _| !lost.contains(id));
    let out = play(&engines, |view, now, draw| spread(view, now, TYPICAL, draw));
    assert_eq!(out.refused, 0);
    assert!(
        out.max_fill < 1.0,
        "an engine is filled to {:.2}",
        out.max_fill
    );
}

/// The load of this test is one that the cheapest path cannot stand, so that the
/// tests above show what the random choice is for.
#[test]
fn cheapest_path_fills_engines_under_the_same_load() {
    let out = play(&engines(), |view, now, draw| {
        paths::choose(&spec(), view, &id(ENGINES), now, &TYPICAL.into(), draw)
    });
    assert!(out.max_fill > 1.0, "{:.2}", out.max_fill);
}

fn load(server: &VmId, progress_age_ms: u64) -> ServerLoad {
    ServerLoad {
        server: server.clone(),
        requests: 3,
        tokens: 3_000,
        unread_tokens: 0,
        inbound_tokens: 0,
        progress_age_ms,
    }
}

/// Applies the reports of a hub each 200 ms from `from` to `to`. The requests on
/// `silent` have made no progress since `silent_since`, those on `sound` go on.
fn apply_reports(
    gateway: &mut Gateway,
    (from, to): (u64, u64),
    silent: &VmId,
    silent_since: u64,
    sound: &VmId,
) {
    for at in (from..to).step_by(200) {
        let loads = vec![load(silent, at - silent_since), load(sound, 500)];
        let mut report = gateway.report(ms(at), true, None, ReportRecipient::Hub);
        report.load = loads;
        gateway.apply_report(ms(at), id("hub"), Source::Hub, report);
    }
}

/// Load pattern: an engine falls silent while other nodes have streams on it.
/// This node has none there, and must not send it any.
#[test]
fn engine_without_progress_at_any_node_gets_no_requests() {
    let engines = engines();
    let fast = |(_, server): &(&VmId, &Server)| server.accelerator.as_deref() == Some("a100");
    let mut fast = engines.iter().filter(fast).map(|(id, _)| id.clone());
    let (silent, sound) = (fast.next().expect("one"), fast.next().expect("two"));
    let mut gateway = gateway(ms(0), engines.clone());
    gateway.record_node_count(ms(0), 295);
    apply_reports(&mut gateway, (1_000, 2_200), &silent, 1_000, &sound);
    let is_suspect = |gateway: &Gateway, id| {
        gateway
            .servers()
            .get(id)
            .expect("known")
            .is_suspect(ms(2_200))
    };
    assert!(!is_suspect(&gateway, &silent), "reports may be that old");
    apply_reports(&mut gateway, (2_200, 2_600), &silent, 1_000, &sound);
    assert!(is_suspect(&gateway, &silent));
    assert!(!is_suspect(&gateway, &sound));
    let mut rng = StdRng::seed_from_u64(3);
    for _ in 0..300 {
        let mut draw = || rng.random_range(0.0..1.0);
        let view = gateway.servers();
        let path = spread(view, ms(2_600), TYPICAL, &mut draw);
        let path = path.expect("there is capacity");
        assert!(path.stages.iter().all(|stage| stage.server != silent));
    }
    // Progress on any request clears it.
    apply_reports(&mut gateway, (2_800, 3_000), &silent, 2_700, &sound);
    assert!(!is_suspect(&gateway, &silent));
}

/// An engine that has been idle and gets its first requests is not suspect.
#[test]
fn idle_engine_is_not_suspect() {
    let engines = engines();
    let mut ids = engines.keys().cloned();
    let (idle, sound) = (ids.next().expect("one"), ids.next().expect("two"));
    let mut gateway = gateway(ms(0), engines.clone());
    gateway.record_node_count(ms(0), 295);
    apply_reports(&mut gateway, (60_000, 60_800), &idle, 0, &sound);
    let row = gateway.servers().get(&idle).expect("known");
    assert!(!row.is_suspect(ms(60_800)));
}

/// With few requests the fast copies get most of them.
#[test]
fn light_load_prefers_fast_engines() {
    let engines = engines();
    let view = table(&engines);
    let mut rng = StdRng::seed_from_u64(5);
    let mut by_kind: BTreeMap<String, u32> = BTreeMap::new();
    for _ in 0..400 {
        let mut draw = || rng.random_range(0.0..1.0);
        let path = spread(&view, ms(0), TYPICAL, &mut draw);
        let path = path.expect("there is capacity");
        let kind = engines[&path.stages[0].server].accelerator.clone();
        *by_kind.entry(kind.expect("an engine")).or_default() += 1;
    }
    let count = |kind: &str| by_kind.get(kind).copied().unwrap_or_default();
    assert!(count("a100") > count("l40s"), "{by_kind:?}");
    assert!(count("l40s") > count("l4"), "{by_kind:?}");
}

/// The engines are divided into copies again when the registry changes, and only
/// then.
#[test]
fn copies_follow_the_registry() {
    let engines = engines();
    let mut view = table(&engines);
    let mut copies = CopyTable::default();
    let mut draws_on = |view: &Servers, server: &VmId| {
        let mut rng = StdRng::seed_from_u64(9);
        let copies = copies.get(&spec(), view, &id(ENGINES));
        (0..300).any(|_| {
            let draw = || rng.random_range(0.0..1.0);
            let path = copies.draw_path(&spec(), view, ms(0), &TYPICAL.into(), draw);
            let stages = path.expect("there is capacity").stages;
            stages.iter().any(|stage| stage.server == *server)
        })
    };
    let fast = |(_, server): &(&VmId, &Server)| server.accelerator.as_deref() == Some("a100");
    let (lost, entry) = engines.iter().find(fast).expect("an engine");
    assert!(draws_on(&view, lost));
    view.apply(ms(1), lost, None);
    assert!(!draws_on(&view, lost));
    // A replacement under another id holds the same layers.
    let replacement = name(900);
    view.apply(ms(2), &replacement, Some(entry.clone()));
    assert!(draws_on(&view, &replacement));
}
