//! Tests of batches, of records that can't be read, and of snapshots.

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

/// Builds a batch that is planned against the current configuration.
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

fn apply_body(config: &mut Config, body: &str) -> RecordOutcome {
    let record = Record {
        offset: config.revision().0,
        body: body.to_owned(),
    };
    config
        .apply_record(&record)
        .expect("the record is the next one")
}

fn apply_batch(config: &mut Config, batch: &Batch) -> BatchResult {
    let body = serde_json::to_string(batch).expect("a batch can be written");
    match apply_body(config, &body) {
        RecordOutcome::Decided { decision, .. } => decision.result,
        other => panic!("expected a new batch, got {other:?}"),
    }
}

fn apply_changes(config: &mut Config, id: &str, changes: Vec<Change>) -> BatchResult {
    let batch = batch(config, id, changes);
    apply_batch(config, &batch)
}

fn reason(result: &BatchResult) -> String {
    match result {
        BatchResult::Accepted(_) => "accepted".to_owned(),
        BatchResult::Refused(_, why) => why.to_string(),
    }
}

#[test]
fn an_object_that_others_depend_on_is_not_deleted_or_shrunk() {
    let mut config = Config::new();
    apply_changes(
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
    let refused = apply_changes(&mut config, "b", vec![delete("model/m")]);
    assert_eq!(
        reason(&refused),
        "backend/b needs model/m, which is not configured"
    );
    let refused = apply_changes(&mut config, "c", vec![model("m", 8)]);
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
    assert_eq!(reason(&apply_changes(&mut config, "d", both)), "accepted");
    assert!(config.objects().is_empty());
}

#[test]
fn a_duplicate_batch_takes_effect_once_even_after_its_result_expired() {
    let mut config = Config::new();
    let created = batch(&config, "create", vec![model("m", 1)]);
    apply_batch(&mut config, &created);
    apply_changes(&mut config, "delete", vec![delete("model/m")]);
    let body = serde_json::to_string(&created).expect("a batch can be written");
    assert_eq!(
        apply_body(&mut config, &body),
        RecordOutcome::Duplicate(created.batch.clone())
    );
    for _ in 0..RESULT_RETENTION_REVISIONS {
        apply_body(&mut config, "not a record");
    }
    assert_eq!(config.result(&created.batch), None);
    assert_eq!(config.decision_count(), 0);
    // Its base matches again, because the object was deleted; only the age of
    // the batch prevents it from being applied twice.
    let again = apply_batch(&mut config, &created);
    assert!(matches!(
        again,
        BatchResult::Refused(_, BatchRefusal::Expired(Revision(0)))
    ));
    assert!(config.objects().is_empty());
}

#[test]
fn a_preview_does_not_change_the_configuration() {
    let mut config = Config::new();
    apply_changes(&mut config, "a", vec![model("m", 24)]);
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
fn unreadable_records_are_counted_and_skipped() {
    let mut config = Config::new();
    let future_format = r#"{"format":9,"batch":"x","changes":[]}"#;
    for (body, why) in [
        ("", RecordError::Malformed),
        (future_format, RecordError::UnknownFormat(9)),
        (r#"{"format":1,"batch":"x"}"#, RecordError::Malformed),
        (r#"{"format":1,"snapshot":3}"#, RecordError::Malformed),
    ] {
        assert_eq!(
            apply_body(&mut config, body),
            RecordOutcome::Unreadable(why)
        );
    }
    assert_eq!(
        (config.broken_records(), config.revision()),
        (4, Revision(4))
    );
    assert_eq!(
        reason(&apply_changes(&mut config, "a", vec![model("m", 1)])),
        "accepted"
    );
}

fn config_with_backends(backends: usize) -> Config {
    let mut config = Config::new();
    let mut changes = vec![model("m", 24)];
    changes.extend((0..backends).map(|n| backend(&format!("b-{n}"), "m", 8)));
    for (n, part) in changes.chunks(MAX_BATCH_CHANGES).enumerate() {
        apply_changes(&mut config, &format!("first-{n}"), part.to_vec());
    }
    config
}

#[test]
fn a_snapshot_restores_the_complete_configuration() {
    let config = config_with_backends(3_000);
    let parts = config.snapshot();
    assert!(parts.len() > 1, "{} parts", parts.len());
    let mut assembler = SnapshotAssembler::default();
    let mut restored = None;
    for part in parts.iter().rev().chain([&parts[0]]) {
        let body = part.to_body();
        let Ok(LogRecord::Snapshot(part)) = LogRecord::parse(&body) else {
            panic!("a part is a record");
        };
        let assembled = assembler.add(part).expect("the digest is right");
        restored = restored.or(assembled);
    }
    assert_eq!(restored, Some(config));
}

#[test]
fn a_snapshot_that_does_not_match_its_digest_is_rejected() {
    let mut parts = config_with_backends(3_000).snapshot();
    parts[0].entries.pop();
    let mut assembler = SnapshotAssembler::default();
    let last = parts.into_iter().map(|part| assembler.add(part)).last();
    assert!(matches!(last, Some(Err(SnapshotError::Digest(_)))));
}
