//! Tests of the fold and of snapshots.

use std::collections::BTreeMap;

use super::*;
use crate::{
    ids::{LayerRange, Revision},
    platform::Record,
};

fn model(name: &str, layers: u16) -> Change {
    Change::Put(Object::Model(Model {
        id: name.parse().expect("a name"),
        layers,
    }))
}

fn backend(name: &str, of: &str, end: u16) -> Change {
    Change::Put(Object::Backend(Backend {
        id: name.parse().expect("a name"),
        carries: Workload::Layers {
            model: of.parse().expect("a name"),
            version: "v1".parse().expect("a name"),
            layers: LayerRange::new(0, end).expect("a range"),
            adapters: Default::default(),
        },
        checks_tokens: false,
    }))
}

fn delete(key: &str) -> Change {
    Change::Delete(key.parse().expect("a key"))
}

/// Makes a batch whose bases are those in force.
fn batch(config: &Config, id: &str, changes: Vec<Change>) -> Batch {
    let keys = changes.iter().map(Change::key);
    let base: BTreeMap<_, _> = keys
        .filter_map(|key| config.objects().get(&key).map(|e| (key, e.changed)))
        .collect();
    Batch {
        format: BATCH_FORMAT,
        batch: id.parse().expect("an id"),
        planned: config.revision(),
        source: None,
        base,
        changes,
    }
}

fn fold_body(config: &mut Config, body: &str) -> RecordOutcome {
    let record = Record {
        offset: config.revision().0,
        body: body.to_owned(),
    };
    config
        .apply_record(&record)
        .expect("the record is the next one")
}

fn fold(config: &mut Config, batch: &Batch) -> BatchResult {
    let body = serde_json::to_string(batch).expect("a batch can be written");
    match fold_body(config, &body) {
        RecordOutcome::Decided { decision, .. } => decision.result,
        other => panic!("the batch is new: {other:?}"),
    }
}

fn apply(config: &mut Config, id: &str, changes: Vec<Change>) -> BatchResult {
    let batch = batch(config, id, changes);
    fold(config, &batch)
}

fn reason(result: &BatchResult) -> String {
    match result {
        BatchResult::Accepted(_) => "accepted".to_owned(),
        BatchResult::Refused(_, why) => why.to_string(),
    }
}

#[test]
fn an_object_in_use_is_not_deleted_or_shrunk() {
    let mut config = Config::new();
    apply(
        &mut config,
        "a",
        vec![model("m", 24), backend("b", "m", 16)],
    );
    let digest = (
        config.objects().clone(),
        config
            .dependents(&"model/m".parse().expect("a key"))
            .count(),
    );
    let refused = apply(&mut config, "b", vec![delete("model/m")]);
    assert_eq!(
        reason(&refused),
        "backend/b needs model/m, which is not configured"
    );
    let refused = apply(&mut config, "c", vec![model("m", 8)]);
    assert_eq!(
        reason(&refused),
        "backend/b needs 16 layers of model/m, which has 8"
    );
    assert_eq!(
        digest,
        (
            config.objects().clone(),
            config
                .dependents(&"model/m".parse().expect("a key"))
                .count()
        )
    );
    let both = vec![delete("model/m"), delete("backend/b")];
    assert_eq!(reason(&apply(&mut config, "d", both)), "accepted");
    assert!(config.objects().is_empty());
}

#[test]
fn a_duplicate_counts_once_within_the_window_and_never_after_it() {
    let mut config = Config::new();
    let created = batch(&config, "create", vec![model("m", 1)]);
    fold(&mut config, &created);
    apply(&mut config, "delete", vec![delete("model/m")]);
    let body = serde_json::to_string(&created).expect("a batch can be written");
    assert_eq!(
        fold_body(&mut config, &body),
        RecordOutcome::Duplicate(created.batch.clone())
    );
    for _ in 0..RESULT_RETENTION_REVISIONS {
        fold_body(&mut config, "not a record");
    }
    assert_eq!(config.result(&created.batch), None);
    assert_eq!(config.decision_count(), 0);
    // Its base, an absent object, is what it finds: only its age stops it.
    let again = fold(&mut config, &created);
    assert!(matches!(
        again,
        BatchResult::Refused(_, BatchRefusal::Expired(Revision(0)))
    ));
    assert!(config.objects().is_empty());
}

#[test]
fn a_preview_changes_nothing() {
    let mut config = Config::new();
    apply(&mut config, "a", vec![model("m", 24)]);
    let before = config.clone();
    let good = batch(&config, "b", vec![model("m", 8), model("n", 3)]);
    assert_eq!(config.preview(&good), Ok(()));
    let bad = batch(&config, "c", vec![backend("b", "absent", 8)]);
    assert!(matches!(
        config.preview(&bad),
        Err(BatchRefusal::Invalid(_))
    ));
    assert_eq!(config, before);
}

#[test]
fn what_cannot_be_read_is_counted_and_stops_nothing() {
    let mut config = Config::new();
    let later = r#"{"format":9,"batch":"x","changes":[]}"#;
    for (body, why) in [
        ("", RecordError::Malformed),
        (later, RecordError::UnknownFormat(9)),
        (r#"{"format":1,"batch":"x"}"#, RecordError::Malformed),
        (r#"{"format":1,"snapshot":3}"#, RecordError::Malformed),
    ] {
        assert_eq!(fold_body(&mut config, body), RecordOutcome::Unreadable(why));
    }
    assert_eq!(
        (config.broken_records(), config.revision()),
        (4, Revision(4))
    );
    assert_eq!(
        reason(&apply(&mut config, "a", vec![model("m", 1)])),
        "accepted"
    );
}

fn large(backends: usize) -> Config {
    let mut config = Config::new();
    let mut changes = vec![model("m", 24)];
    changes.extend((0..backends).map(|n| backend(&format!("b-{n}"), "m", 8)));
    for (n, part) in changes.chunks(MAX_BATCH_CHANGES).enumerate() {
        apply(&mut config, &format!("first-{n}"), part.to_vec());
    }
    config
}

#[test]
fn a_snapshot_restores_all_that_the_fold_needs() {
    let config = large(3_000);
    let parts = config.snapshot();
    assert!(parts.len() > 1, "{} parts", parts.len());
    let mut reader = SnapshotAssembler::default();
    let mut restored = None;
    for part in parts.iter().rev().chain([&parts[0]]) {
        let body = part.to_body();
        let Ok(LogRecord::Snapshot(part)) = LogRecord::parse(&body) else {
            panic!("a part is a record");
        };
        let whole = reader.add(part).expect("the digest is right");
        restored = restored.or(whole);
    }
    assert_eq!(restored, Some(config));
}

#[test]
fn a_snapshot_with_another_content_is_refused() {
    let mut parts = large(3_000).snapshot();
    parts[0].entries.pop();
    let mut reader = SnapshotAssembler::default();
    let last = parts.into_iter().map(|part| reader.add(part)).last();
    assert!(matches!(last, Some(Err(SnapshotError::Digest(_)))));
}
