//! Compares the events and actions of complete sessions with the files in
//! `tests/golden`, which guards against unintended changes of the order or content
//! of messages.
//!
//! `UPDATE_GOLDEN=1 cargo test -p radishhaven-core --test golden_sessions`
//! rewrites the files. Their changes are reviewed like code.

mod fakes;

use std::{fs, path::PathBuf};

use fakes::world::{Faults, World};
use serde_json::json;

const PROMPT: [u32; 4] = [118, 97, 110, 33];

fn world(engines: usize) -> World {
    let faults = Faults {
        percent: 0,
        seed: 7,
    };
    let mut world = World::new(engines, faults, |cfg| {
        cfg.recovery.export_every_tokens = 3;
    });
    world.trace_enabled = true;
    world
}

fn compare(name: &str, mut world: World) {
    world.settle();
    world.check();
    let found = with_stable_ids(&world);
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(format!("tests/golden/{name}.txt"));
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        fs::write(&path, &found).expect("the golden file is written");
    }
    let expected = fs::read_to_string(&path).expect("the golden file exists");
    for (number, (found, expected)) in found.lines().zip(expected.lines()).enumerate() {
        assert_eq!(found, expected, "{name}, line {}", number + 1);
    }
    assert_eq!(found, expected, "{name}");
}

/// Replaces the generated id of each request by `r` and its key, so that the trace
/// does not depend on the form of ids.
fn with_stable_ids(world: &World) -> String {
    let mut text = world.trace_lines.join("\n") + "\n";
    for (key, request) in &world.requests {
        if let Some(id) = &request.id {
            text = text.replace(id.as_str(), &format!("r{key}"));
        }
    }
    text
}

#[test]
fn the_trace_of_a_completion_matches() {
    let mut world = world(6);
    world.submit(&PROMPT, 5, 10_000);
    compare("dictation", world);
}

#[test]
fn the_trace_of_a_call_matches() {
    let mut world = world(6);
    world.submit_booking(json!({ "hearing": 12 }));
    compare("booking", world);
}

#[test]
fn the_trace_of_a_crashed_stage_with_exported_kv_cache_matches() {
    let mut world = world(6);
    world.submit(&PROMPT, 8, 10_000);
    world.advance(24);
    for engine in &mut world.engines {
        if engine.layers.start() == 2 && engine.open_sessions() > 0 {
            engine.crash();
        }
    }
    world.advance(60);
    compare("stage-death", world);
}

#[test]
fn the_trace_of_a_stalled_stage_without_kv_cache_matches() {
    let mut world = world(8);
    world.submit(&PROMPT, 2, 10_000);
    world.advance(2);
    for engine in &mut world.engines {
        engine.stalled = engine.open_sessions() > 0;
    }
    world.advance(1_000);
    compare("silent-stall", world);
}

#[test]
fn the_trace_of_a_draining_engine_matches() {
    let mut world = world(6);
    world.submit(&PROMPT, 3, 10_000);
    world.advance(4);
    for engine in &mut world.engines {
        engine.leaving = engine.open_sessions() > 0;
    }
    world.publish_vm_list();
    world.submit(&PROMPT, 1, 10_000);
    world.advance(60);
    compare("drain", world);
}

#[test]
fn the_trace_of_a_disconnected_caller_matches() {
    let mut world = world(6);
    let key = world.submit(&PROMPT, 8, 10_000);
    world.advance(12);
    world.disconnect_caller(key);
    compare("caller-gone", world);
}
