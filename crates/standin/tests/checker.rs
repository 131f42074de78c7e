//! Tests of the invariant checker: it accepts a correct history and reports
//! each violation that is planted in one.

use radishhaven_client::{Answer, Caller, RequestOptions};
use radishhaven_core::{
    engine::{SessionRef, StageInput, StageOutput},
    ids::{Attempt, LayerRange, Position},
    outcome::{NotRun, Outcome},
};
use radishhaven_standin::{
    checker::{
        AnswerRecord, CallerRecord, Evidence, PlannedStop, ProcessRecords, RequestSpec, Violation,
        check,
    },
    deployment::{Deployment, Plan, VERSION, id},
    engine::{EngineRecord, KvRecord, RunRecord, SessionRecord},
    reference::{LayerState, embed, model_seed, sample, tokens},
    service::CallRecord,
};
use serde_json::json;

const PROMPT: &str = "custody hearing";
const MAX_TOKENS: u32 = 6;
const STAGES: [(u16, u16); 3] = [(0, 8), (8, 16), (16, 24)];

fn completion_request() -> RequestSpec {
    RequestSpec::Completion {
        model: id("brief-writer"),
        version: id(VERSION),
        layers: 24,
        prompt: PROMPT.to_owned(),
        max_tokens: MAX_TOKENS,
    }
}

fn session() -> SessionRef {
    SessionRef {
        request: id("r-1"),
        attempt: Attempt(0),
    }
}

fn answer(outcome: Option<Outcome>, text: &str) -> AnswerRecord {
    AnswerRecord {
        id: Some(id("r-1")),
        outcome,
        text: text.to_owned(),
        body: None,
        at_us: 900,
    }
}

/// Runs the reference model over three stages and returns the records that
/// engines would keep.
fn correct_history() -> Evidence {
    let seed = model_seed(&id("brief-writer"), &id(VERSION));
    let ranges =
        STAGES.map(|(start, end)| LayerRange::new(start, end).expect("the range is valid"));
    let mut states = ranges.map(|range| LayerState::new(seed, range));
    let mut records: [Vec<EngineRecord>; 3] = Default::default();
    let (mut at_us, mut first) = (100, 0);
    let mut step = tokens(PROMPT);
    let mut text = String::new();
    while text.len() < MAX_TOKENS as usize {
        let positions = step.len() as u32;
        let embedded: Vec<u64> = (first..).zip(&step).map(|(p, t)| embed(*t, p)).collect();
        let mut values = embedded;
        for stage in 0..3 {
            let inputs = values.clone();
            values = inputs.iter().map(|a| states[stage].run(*a)).collect();
            let last = values.last().copied().expect("at least one position");
            let run = RunRecord {
                run: format!("{stage}-{first}"),
                session: session(),
                model: id("brief-writer"),
                version: id(VERSION),
                layers: ranges[stage],
                first: Position(first),
                positions,
                input: match stage {
                    0 => StageInput::Tokens(step.clone()),
                    _ => StageInput::Activations(inputs),
                },
                output: match stage {
                    2 => StageOutput::Token(sample(last)),
                    _ => StageOutput::Activations(values.clone()),
                },
                at_us,
                imported_from: None,
            };
            at_us += 1;
            records[stage].push(EngineRecord::Run(run));
        }
        let token = sample(values.last().copied().expect("at least one position"));
        text.push(char::from_u32(token).expect("the token is a character"));
        first += positions;
        step = vec![token];
    }
    let engines = (0..).zip(records).map(|(n, records)| ProcessRecords {
        vm: id(&format!("engine-{n}")),
        records,
    });
    Evidence {
        callers: vec![CallerRecord {
            id: Some(id("r-1")),
            spec: completion_request(),
            idempotent: true,
            answers: vec![answer(Some(Outcome::Completed), &text)],
        }],
        engines: engines.collect(),
        faults: true,
        ..Evidence::default()
    }
}

fn run_mut(evidence: &mut Evidence, stage: usize, index: usize) -> &mut RunRecord {
    match &mut evidence.engines[stage].records[index] {
        EngineRecord::Run(run) => run,
        other => panic!("not a run: {other:?}"),
    }
}

fn call(started_us: u64) -> CallRecord {
    CallRecord {
        request: id("b-1"),
        operation: "book".to_owned(),
        body: json!({ "hearing": 4 }),
        deadline_ms: None,
        started_us,
        finished: true,
    }
}

/// Returns the history of one booking that ran once.
fn correct_booking() -> Evidence {
    let mut answer = answer(Some(Outcome::Completed), "");
    answer.id = Some(id("b-1"));
    answer.body = Some(json!({ "operation": "book", "call": 0 }));
    Evidence {
        callers: vec![CallerRecord {
            id: Some(id("b-1")),
            spec: RequestSpec::Call {
                operation: "book".to_owned(),
            },
            idempotent: false,
            answers: vec![answer],
        }],
        services: vec![ProcessRecords {
            vm: id("service-0"),
            records: vec![call(200)],
        }],
        faults: true,
        ..Evidence::default()
    }
}

#[test]
fn a_correct_history_has_no_violations() {
    assert_eq!(check(&correct_history()), []);
    assert_eq!(check(&correct_booking()), []);
}

#[test]
fn a_layer_that_did_not_run_is_reported() {
    let mut evidence = correct_history();
    evidence.engines[1].records.clear();
    let found = check(&evidence);
    let missing = |v: &Violation| matches!(v, Violation::LayerMissing { layer: 8, .. });
    assert!(found.iter().any(missing), "{found:?}");
}

#[test]
fn layers_run_out_of_order_are_reported() {
    let mut evidence = correct_history();
    run_mut(&mut evidence, 0, 1).at_us = 10_000;
    let found = check(&evidence);
    let missing = |v: &Violation| matches!(v, Violation::LayerMissing { .. });
    assert!(found.iter().any(missing), "{found:?}");
}

#[test]
fn a_position_that_ran_twice_is_reported() {
    let mut evidence = correct_history();
    let again = evidence.engines[1].records[1].clone();
    evidence.engines[1].records.insert(2, again);
    let found = check(&evidence);
    let twice = |v: &Violation| matches!(v, Violation::PositionsNotConsecutive { .. });
    assert!(found.iter().any(twice), "{found:?}");
}

#[test]
fn a_cache_import_at_another_position_than_the_next_run_is_reported() {
    let mut evidence = correct_history();
    let import = EngineRecord::KvImported(KvRecord {
        session: session(),
        layers: LayerRange::new(8, 16).expect("the range is valid"),
        next: Position(3),
        state: vec![0; 8],
        at_us: 50,
    });
    evidence.engines[1].records.insert(0, import);
    let found = check(&evidence);
    let gap = |v: &Violation| matches!(v, Violation::PositionsNotConsecutive { .. });
    assert!(found.iter().any(gap), "{found:?}");
}

#[test]
fn an_activation_of_another_request_is_reported() {
    let mut evidence = correct_history();
    run_mut(&mut evidence, 2, 1).input = StageInput::Activations(vec![7]);
    let found = check(&evidence);
    let foreign = |v: &Violation| matches!(v, Violation::UnexpectedInput { .. });
    assert!(found.iter().any(foreign), "{found:?}");
}

#[test]
fn wrong_or_truncated_text_is_reported() {
    let mut evidence = correct_history();
    let correct = completion_request().expected_text();
    evidence.callers[0].answers[0].text = "?".to_owned();
    let wrong = |v: &Violation| matches!(v, Violation::WrongText { .. });
    assert!(check(&evidence).iter().any(wrong));
    evidence.callers[0].answers[0].text = correct[..2].to_owned();
    let short = |v: &Violation| matches!(v, Violation::IncompleteText { .. });
    assert!(check(&evidence).iter().any(short));
    // An interrupted answer without an outcome may end at any position.
    evidence.callers[0].answers[0].outcome = None;
    assert_eq!(check(&evidence), []);
}

#[test]
fn an_answer_to_another_request_is_reported() {
    let mut evidence = correct_history();
    evidence.callers[0].answers[0].id = Some(id("r-2"));
    let foreign = |v: &Violation| matches!(v, Violation::WrongRequestId { .. });
    assert!(check(&evidence).iter().any(foreign));
}

#[test]
fn a_result_that_no_service_returned_is_reported() {
    let mut evidence = correct_booking();
    evidence.services[0].records[0].request = id("b-2");
    let request = id("b-1");
    assert_eq!(check(&evidence), [Violation::UnrecordedResult { request }]);
}

#[test]
fn a_started_request_with_a_not_run_outcome_is_reported() {
    let not_run = Some(Outcome::NotRun(NotRun::NoCapacity));
    let mut evidence = correct_booking();
    evidence.callers[0].answers[0].outcome = not_run;
    let started = |v: &Violation| matches!(v, Violation::StartedDespiteNotRun { .. });
    assert!(check(&evidence).iter().any(started));
    let mut evidence = correct_history();
    evidence.callers[0].answers.push(answer(not_run, ""));
    let found = check(&evidence);
    assert!(found.iter().any(started), "{found:?}");
    let contradiction = |v: &Violation| matches!(v, Violation::ContradictoryOutcomes { .. });
    assert!(found.iter().any(contradiction), "{found:?}");
}

#[test]
fn a_second_start_on_another_server_is_reported() {
    let mut evidence = correct_booking();
    evidence.services.push(ProcessRecords {
        vm: id("service-1"),
        records: vec![call(300)],
    });
    let request = id("b-1");
    let twice = Violation::StartedMoreThanOnce { request, starts: 2 };
    assert_eq!(check(&evidence), [twice]);
    evidence.callers[0].idempotent = true;
    assert_eq!(check(&evidence), []);
}

#[test]
fn a_second_dispatch_of_a_completion_is_reported() {
    let mut evidence = correct_history();
    evidence.callers[0].idempotent = false;
    assert_eq!(check(&evidence), []);
    evidence.engines.push(ProcessRecords {
        vm: id("engine-9"),
        records: vec![evidence.engines[0].records[0].clone()],
    });
    let request = id("r-1");
    let twice = Violation::StartedMoreThanOnce { request, starts: 2 };
    let found = check(&evidence);
    assert!(found.contains(&twice), "{found:?}");
}

#[test]
fn work_started_on_a_leaving_server_after_the_grace_period_is_reported() {
    let stop = |vm: &str| PlannedStop {
        vm: id(vm),
        listed_us: 1_000,
    };
    let mut evidence = correct_booking();
    evidence.stops = vec![stop("service-0")];
    evidence.services[0].records[0].started_us = 5_001_000;
    assert_eq!(check(&evidence), []);
    evidence.services[0].records[0].started_us = 5_001_001;
    let late = |v: &Violation| matches!(v, Violation::StartedOnLeavingServer { late_us: 1, .. });
    assert!(check(&evidence).iter().any(late));
    let mut evidence = correct_history();
    evidence.stops = vec![stop("engine-0")];
    let started = SessionRecord {
        session: session(),
        at_us: 5_001_001,
    };
    evidence.engines[0]
        .records
        .push(EngineRecord::SessionStarted(started));
    assert!(check(&evidence).iter().any(late));
}

#[test]
fn a_request_interrupted_by_a_planned_stop_is_reported() {
    let mut evidence = correct_history();
    evidence.stops = vec![PlannedStop {
        vm: id("engine-0"),
        listed_us: 100,
    }];
    evidence.callers[0].answers[0].outcome = Some(Outcome::Failed);
    assert_eq!(check(&evidence), []);
    evidence.faults = false;
    let interrupted = |v: &Violation| matches!(v, Violation::InterruptedByPlannedStop { .. });
    assert!(check(&evidence).iter().any(interrupted));
}

async fn complete_prompt(deployment: &Deployment) -> CallerRecord {
    let caller = Caller::new("small-firm").expect("the caller is created");
    let node = deployment.callers_address("node-0");
    let pipeline = &deployment.plan.pipeline;
    let ask = RequestOptions::default();
    let sent = caller.complete(node, &ask, pipeline, PROMPT, MAX_TOKENS);
    let answer: Answer = sent.await.expect("the node answers");
    CallerRecord {
        id: answer.id.clone(),
        spec: completion_request(),
        idempotent: true,
        answers: vec![AnswerRecord::new(answer)],
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_deployment_keeps_the_records_of_killed_engines() {
    let mut deployment = Deployment::start(Plan::roster(1, 2))
        .await
        .expect("the deployment starts");
    let callers = vec![complete_prompt(&deployment).await];
    let vms: Vec<_> = deployment.engines.keys().cloned().collect();
    for vm in vms {
        deployment
            .engines
            .remove(&vm)
            .expect("the engine runs")
            .kill();
    }
    let evidence = deployment.evidence(callers, true);
    let runs = evidence.engines.iter().map(|engine| engine.records.len());
    assert!(runs.sum::<usize>() >= 3 * MAX_TOKENS as usize);
    assert_eq!(check(&evidence), []);
    assert_eq!(
        evidence.callers[0].answers[0].outcome,
        Some(Outcome::Completed)
    );
}
