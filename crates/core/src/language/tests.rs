//! Tests of the operators' language.

use bolero_generator::TypeGenerator;
use radishhaven_cases::{INVARIANT_CASES, check};

use super::*;
use crate::{
    config::{BatchRefusal, BatchResult, Config, RecordOutcome},
    platform::Record,
};

const BITACORA: &str = include_str!("../../../../examples/bitacora.rh");
const ROSTER: &str = include_str!("../../../../examples/roster.rh");

fn apply_resolved(config: &mut Config, resolved: &Resolved) -> BatchResult {
    let record = Record {
        offset: config.revision().0,
        body: serde_json::to_string(&resolved.batch).expect("the batch is serialised"),
    };
    match config.apply_record(&record) {
        Ok(RecordOutcome::Decided { decision, .. }) => decision.result,
        other => panic!("expected a decision on a new batch, got {other:?}"),
    }
}

fn resolved(config: &Config, text: &str) -> Result<Resolved, String> {
    let script = parse_script(text).map_err(|error| error.to_string())?;
    resolve(config, &script, text).map_err(|errors| {
        let errors: Vec<String> = errors.iter().map(ToString::to_string).collect();
        errors.join("; ")
    })
}

fn apply(config: &mut Config, text: &str) -> BatchResult {
    let resolved = resolved(config, text).expect("the text is a valid batch");
    apply_resolved(config, &resolved)
}

fn resolve_error(config: &Config, text: &str) -> String {
    resolved(config, text).expect_err("the text has an error")
}

fn bitacora() -> Config {
    let mut config = Config::new();
    let result = apply(&mut config, BITACORA);
    assert_eq!(result, BatchResult::Accepted(Revision(1)));
    config
}

#[test]
fn the_example_deployments_are_accepted_in_full() {
    for (text, pipeline, service) in [
        (BITACORA, "dictado", "libro"),
        (ROSTER, "brief-writer", "roster-desk"),
    ] {
        let mut config = Config::new();
        assert_eq!(apply(&mut config, text), BatchResult::Accepted(Revision(1)));
        let dependents = |key: &str| config.dependents(&key.parse().expect("a key")).count();
        // 30 workers and the pipeline depend on the model.
        assert_eq!(dependents(&format!("model/{pipeline}")), 31);
        assert_eq!(dependents(&format!("service/{service}")), 3);
        assert_eq!(config.organisations().count(), 10);
    }
}

#[test]
fn set_changes_only_the_named_fields() {
    let mut config = bitacora();
    let before = config
        .organisation(&"gas-y-agua".parse().expect("a name"))
        .cloned();
    apply(
        &mut config,
        "batch b { set organisation gas-y-agua { share = 3 } }",
    );
    let after = config
        .organisation(&"gas-y-agua".parse().expect("a name"))
        .cloned();
    let expected = before.map(|o| crate::config::Organisation { share: 3, ..o });
    assert_eq!(after, expected);
}

#[test]
fn syntax_errors_report_their_column_and_what_was_expected() {
    for (text, message) in [
        ("", "line 1, column 1: expected `batch`, found the end"),
        (
            "batch",
            "line 1, column 6: expected the batch's id, found the end",
        ),
        (
            "batch b {\n  put pipline x { }\n}",
            "line 2, column 7: expected a kind: organisation, model, pipeline, service, backend, \
             link or deployment, found \"pipline\"",
        ),
        (
            "batch b {\n  # comment\n  drop model x\n}",
            "line 3, column 3: expected `put`, `set`, `delete` or `}`, found \"drop\"",
        ),
        (
            "batch b { put model x { layers 24 } }",
            "line 1, column 32: expected `=`, found \"24\"",
        ),
        (
            "batch b { put model x { layers = } }",
            "line 1, column 34: expected a value: a word, a number, \"text\", START..END or \
             [list], found '}'",
        ),
        (
            "batch b { } x",
            "line 1, column 13: expected the end, found \"x\"",
        ),
        (
            "batch b { put service s { idempotent = [\"a } }",
            "line 1, column 47: expected `\"` on the same line, found the end",
        ),
    ] {
        let found = parse_script(text).expect_err(text).to_string();
        assert_eq!(found, message);
    }
    for (text, message) in [
        (
            "list",
            "line 1, column 1: expected `show` or `explain`, found \"list\"",
        ),
        (
            "show backend where model ~ x",
            "line 1, column 26: expected `=`, `!=`, `<` or `>`, found \"~\"",
        ),
        (
            "show nodess",
            "line 1, column 6: expected `nodes` or a kind, such as `backend`, found \"nodess\"",
        ),
    ] {
        let found = parse_query(text).expect_err(text).to_string();
        assert_eq!(found, message);
    }
}

#[test]
fn all_errors_against_the_configuration_are_reported_with_their_places() {
    let config = bitacora();
    let text = "batch b {\n  set model absent { layers = 3 }\n  put model m { layrs = 3 }\n  \
                delete model dictado delete model dictado\n  put model n { layers = many }\n}";
    let found = resolve_error(&config, text);
    for part in [
        "line 2, column 3: there is no model/absent",
        "line 3, column 17: `layrs`: unknown field `layrs`",
        "line 4, column 24: model/dictado is changed twice in this batch",
        "line 5, column 17: `layers`: invalid type: string \"many\"",
    ] {
        assert!(found.contains(part), "{part:?} is not in {found}");
    }
}

#[test]
fn a_conflicting_batch_is_refused_with_the_revision_and_batch_of_the_change() {
    let mut config = bitacora();
    let base_revision = config.revision();
    apply(
        &mut config,
        "batch quick { set organisation gas-y-agua { share = 3 } }",
    );
    let text =
        format!("batch slow at {base_revision} {{ set organisation gas-y-agua {{ share = 9 }} }}");
    let BatchResult::Refused(_, BatchRefusal::Conflicts(conflicts)) = apply(&mut config, &text)
    else {
        panic!("expected the batch to be refused because of conflicts");
    };
    let conflict = &conflicts[0];
    assert_eq!(conflict.key.to_string(), "organisation/gas-y-agua");
    assert_eq!(
        (conflict.expected, conflict.found),
        (base_revision, Revision(2))
    );
    assert_eq!(conflict.by.as_ref().map(|b| b.as_str()), Some("quick"));
}

#[test]
fn the_same_text_has_the_same_fingerprint_at_any_revision() {
    let mut config = bitacora();
    let text = "batch b { set organisation gas-y-agua { share = 3 } }";
    let first = resolved(&config, text).expect("a batch").batch;
    apply(&mut config, text);
    let second = resolved(&config, text).expect("a batch").batch;
    assert_ne!(first.base, second.base);
    assert_eq!(first.fingerprint(), second.fingerprint());
}

#[derive(Debug, TypeGenerator)]
enum Piece {
    Word(Choice),
    Symbol(Choice),
    Number(u32),
    Any(char),
}

#[derive(Debug, TypeGenerator)]
struct Choice(u8);

/// Maximum number of pieces or statements in one case.
const MAX_PIECES: usize = 48;

const WORDS: [&str; 20] = [
    "batch",
    "put",
    "set",
    "delete",
    "show",
    "explain",
    "where",
    "and",
    "at",
    "nodes",
    "model",
    "pipeline",
    "backend",
    "organisation",
    "x",
    "0..8",
    "true",
    "layers",
    "share",
    "a>b",
];
const SYMBOLS: [&str; 14] = [
    "{", "}", "[", "]", "=", "!=", "<", ">", ",", ";", "\"", "#", "\n", "\\",
];

fn text(pieces: &[Piece]) -> String {
    let mut text = String::new();
    for piece in pieces.iter().take(MAX_PIECES) {
        match piece {
            Piece::Word(Choice(n)) => text.push_str(WORDS[*n as usize % WORDS.len()]),
            Piece::Symbol(Choice(n)) => text.push_str(SYMBOLS[*n as usize % SYMBOLS.len()]),
            Piece::Number(n) => text.push_str(&n.to_string()),
            Piece::Any(c) => text.push(*c),
        }
        text.push(' ');
    }
    text
}

/// Guards against panics of the parser, and against errors whose place is outside of
/// the text.
#[test]
fn any_text_parses_or_fails_at_a_place_within_it() {
    check(51, INVARIANT_CASES, |(pieces, prefix): (Vec<Piece>, u8)| {
        let prefix = ["", "batch b { put model x { ", "show backend where "][prefix as usize % 3];
        let text = format!("{prefix}{}", text(&pieces));
        let lines = text.split('\n').count();
        let errors = [parse_script(&text).err(), parse_query(&text).err()];
        for LanguageError { place, message } in errors.into_iter().flatten() {
            assert!((1..=lines).contains(&place.line), "{text:?}: {place}");
            let line = text.split('\n').nth(place.line - 1).unwrap_or_default();
            assert!(
                place.column <= line.chars().count() + 1,
                "{text:?}: {place}"
            );
            assert!(message.contains("expected"), "{message}");
        }
    });
}

#[derive(Debug, TypeGenerator)]
struct GeneratedStatement {
    verb: u8,
    name: u8,
    layers: u16,
    operations: [u8; 3],
}

/// Guards against statements whose kind, values or places change when they are
/// parsed.
#[test]
fn written_statements_parse_to_the_same_values() {
    check(
        52,
        INVARIANT_CASES,
        |mut statements: Vec<GeneratedStatement>| {
            statements.truncate(MAX_PIECES);
            let mut text = "batch b at 7 {\n".to_owned();
            for GeneratedStatement {
                verb,
                name,
                layers,
                operations,
            } in &statements
            {
                let items: Vec<String> = operations.iter().map(|n| format!("\"op {n}\"")).collect();
                let statement = match verb % 3 {
                    0 => format!("put model m{name} {{ layers = {layers} }}"),
                    1 => format!(
                        "set service s{name} {{ idempotent = [{}] }}",
                        items.join(", ")
                    ),
                    _ => format!("delete link a>b{name};"),
                };
                text.push_str(&format!("  {statement} # {verb}\n"));
            }
            text.push('}');
            let script = parse_script(&text).expect("the text is a valid batch");
            assert_eq!(script.at, Some(Revision(7)));
            assert_eq!(script.statements.len(), statements.len());
            for (n, (parsed, written)) in script.statements.iter().zip(&statements).enumerate() {
                assert_eq!(
                    parsed.place,
                    Place {
                        line: n + 2,
                        column: 3
                    }
                );
                let expected = match written.verb % 3 {
                    0 => Some(Literal::Number(written.layers.into())),
                    1 => Some(Literal::List(
                        written
                            .operations
                            .iter()
                            .map(|n| format!("op {n}"))
                            .collect(),
                    )),
                    _ => None,
                };
                let value = match &parsed.value.verb {
                    Verb::Put(fields) | Verb::Set(fields) => Some(fields[0].value.value.clone()),
                    Verb::Delete => None,
                };
                assert_eq!(value, expected);
                assert!(parsed.value.key.name.ends_with(&written.name.to_string()));
            }
        },
    );
}
