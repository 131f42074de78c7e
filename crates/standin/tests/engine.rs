//! Tests of the fake engine: each step runs once, invalid requests are refused,
//! and injected faults take effect.

mod common;

use std::time::Duration;

use common::{
    engine, engine_cfg, generate, get, layers, post, reference_answer, run_chain, session, start,
    step,
};
use http::StatusCode;
use radishhaven_core::ids::{FencingToken, Position};
use radishhaven_proto::engine::{
    CACHE_EVENTS_PATH, CANCEL_PATH, CacheEvents, EngineRefusal, HOLDING_PATH, Holding,
    KV_EXPORT_PATH, KV_IMPORT_PATH, KvCache, KvImport, LOAD_PATH, LoadReport, ORDER_PATH, Order,
    OrderReply, STEP_PATH, StageInput, StepReply,
};
use radishhaven_standin::{
    control::{FAULTS_PATH, RECORDS_PATH, RecordPage},
    engine::{Engine, EngineCfg, EngineFault, EngineRecord, prefix_digest},
    reference::tokens,
    runtime::ServerHandle,
    weights::{WeightStore, WeightStoreCfg},
};

const PROMPT: &str = "from pocitos to cordon";
const MAX_TOKENS: usize = 24;
/// Attempts to get two steps into one batch before the test fails.
const CROSSED_ROUNDS: u32 = 50;

fn prompt_len() -> u32 {
    u32::try_from(PROMPT.len()).expect("the prompt length fits into u32")
}

fn one_token() -> StageInput {
    StageInput::Tokens(vec![1])
}

fn order(token: u64, range: (u16, u16), version: &str) -> Order {
    Order {
        token: FencingToken(token),
        model: common::MODEL.parse().expect("the model name is valid"),
        version: version.parse().expect("the version is valid"),
        layers: layers(range.0, range.1),
        adapters: Vec::new(),
    }
}

#[tokio::test]
async fn three_chained_engines_return_the_reference_answer() {
    let ranges = [layers(0, 2), layers(2, 5), layers(5, 6)];
    let engines = ranges.map(|range| engine(range, 6));
    let chain: Vec<_> = engines.iter().map(|e| e.addr).zip(ranges).collect();
    let first = run_chain(&chain, "r-1", 0, tokens(PROMPT)).await;
    let text = generate(&chain, "r-1", prompt_len(), first, MAX_TOKENS).await;
    assert_eq!(text, reference_answer(6, PROMPT, 24));
    assert!(!text.is_empty());
}

#[tokio::test]
async fn a_repeated_step_runs_once() {
    let e = engine(layers(0, 4), 4);
    let req = step("r-1", layers(0, 4), 0, StageInput::Tokens(tokens(PROMPT)));
    e.state
        .set_faults(vec![EngineFault::LoseReplyNext { n: 1 }]);
    let lost = post(e.addr, STEP_PATH, &req).await;
    assert_eq!(lost.status, StatusCode::INTERNAL_SERVER_ERROR);
    let first: StepReply = post(e.addr, STEP_PATH, &req).await.ok();
    let second: StepReply = post(e.addr, STEP_PATH, &req).await.ok();
    assert_eq!(first.run, second.run);
    assert_eq!(first.output, second.output);
    let runs = e.state.runs();
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].positions, prompt_len());
    assert_eq!(runs[0].output, first.output);
}

#[tokio::test]
async fn concurrent_requests_for_a_step_share_one_run() {
    let e = engine(layers(0, 4), 4);
    let req = step("r-1", layers(0, 4), 0, StageInput::Tokens(tokens(PROMPT)));
    let (a, b) = tokio::join!(post(e.addr, STEP_PATH, &req), post(e.addr, STEP_PATH, &req));
    assert_eq!(a.ok::<StepReply>().run, b.ok::<StepReply>().run);
    assert_eq!(e.state.runs().len(), 1);
}

#[tokio::test]
async fn invalid_steps_are_refused() {
    let e = engine(layers(0, 4), 4);
    let input = || StageInput::Tokens(vec![1, 2]);
    let unknown = post(e.addr, STEP_PATH, &step("r-1", layers(0, 4), 2, input())).await;
    assert_eq!(unknown.refusal(), EngineRefusal::NoSession);
    let not_held = post(e.addr, STEP_PATH, &step("r-1", layers(0, 5), 0, input())).await;
    assert_eq!(not_held.refusal(), EngineRefusal::NotHeld);
    let opened = post(e.addr, STEP_PATH, &step("r-1", layers(0, 4), 0, input())).await;
    assert_eq!(opened.status, StatusCode::OK);
    let gap = post(e.addr, STEP_PATH, &step("r-1", layers(0, 4), 3, input())).await;
    let next = Position(2);
    assert_eq!(gap.refusal(), EngineRefusal::WrongPosition { next });
    let other = StageInput::Tokens(vec![2, 1]);
    let changed = post(e.addr, STEP_PATH, &step("r-1", layers(0, 4), 0, other)).await;
    assert_eq!(changed.refusal(), EngineRefusal::WrongPosition { next });
    let wrong_kind = StageInput::Activations(vec![1]);
    let bad = post(e.addr, STEP_PATH, &step("r-1", layers(0, 4), 2, wrong_kind)).await;
    assert_eq!(bad.status, StatusCode::BAD_REQUEST);
    assert_eq!(e.state.runs().len(), 1);
}

#[tokio::test]
async fn an_expired_step_is_not_run() {
    let e = engine(layers(0, 4), 4);
    let mut req = step("r-1", layers(0, 4), 0, StageInput::Tokens(vec![1]));
    req.deadline_ms = Some(0);
    let late = post(e.addr, STEP_PATH, &req).await;
    assert_eq!(late.refusal(), EngineRefusal::NotRun);
    assert!(e.state.records().is_empty());
}

#[tokio::test]
async fn a_cancelled_session_never_runs_again() {
    let e = engine(layers(0, 4), 4);
    let cancelled = post(e.addr, CANCEL_PATH, &session("r-1")).await;
    assert_eq!(cancelled.status, StatusCode::OK);
    let req = step("r-1", layers(0, 4), 0, StageInput::Tokens(vec![1]));
    let late = post(e.addr, STEP_PATH, &req).await;
    assert_eq!(late.refusal(), EngineRefusal::NoSession);
    assert!(e.state.runs().is_empty());
}

#[tokio::test]
async fn an_exported_session_resumes_on_another_engine() {
    let range = layers(0, 4);
    let (a, b) = (engine(range, 4), engine(range, 4));
    let first = run_chain(&[(a.addr, range)], "r-1", 0, tokens(PROMPT)).await;
    let cache: KvCache = post(a.addr, KV_EXPORT_PATH, &session("r-1")).await.ok();
    assert_eq!(cache.next, Position(prompt_len()));
    let import = KvImport {
        session: session("r-1"),
        cache: cache.clone(),
    };
    for _ in 0..2 {
        let imported = post(b.addr, KV_IMPORT_PATH, &import).await;
        assert_eq!(imported.status, StatusCode::OK);
    }
    let chain = [(b.addr, range)];
    let text = generate(&chain, "r-1", prompt_len(), first, MAX_TOKENS).await;
    assert_eq!(text, reference_answer(4, PROMPT, 24));
    let runs = b.state.runs();
    assert!(!runs.is_empty());
    assert!(runs.iter().all(|r| r.imported_from == Some(cache.next)));
}

#[tokio::test]
async fn a_failed_cache_export_has_no_effect() {
    let range = layers(0, 4);
    let e = engine(range, 4);
    run_chain(&[(e.addr, range)], "r-1", 0, tokens(PROMPT)).await;
    e.state.set_faults(vec![EngineFault::KvFails]);
    let failed = post(e.addr, KV_EXPORT_PATH, &session("r-1")).await;
    assert_eq!(failed.status, StatusCode::INTERNAL_SERVER_ERROR);
    let exported = |r: &EngineRecord| matches!(r, EngineRecord::KvExported(_));
    assert!(!e.state.records().iter().any(exported));
}

async fn wait_until_loaded(e: &ServerHandle<Engine>) -> Holding {
    loop {
        let holding: Holding = get(e.addr, HOLDING_PATH).await.ok();
        if !holding.loading {
            return holding;
        }
        tokio::task::yield_now().await;
    }
}

async fn send_newer_then_older_order(checks_tokens: bool) -> (OrderReply, Holding) {
    let cfg = EngineCfg {
        checks_tokens,
        layer_bytes: 1,
        ..engine_cfg(layers(0, 4), 8)
    };
    let e = start(Engine::new(cfg));
    let newer = post(e.addr, ORDER_PATH, &order(9, (0, 4), "v2")).await;
    assert_eq!(newer.ok::<OrderReply>(), OrderReply::Accepted);
    let older = post(e.addr, ORDER_PATH, &order(8, (4, 8), "v1")).await;
    (older.ok(), wait_until_loaded(&e).await)
}

#[tokio::test]
async fn a_stale_token_is_refused_by_engines_that_check_tokens() {
    let (reply, holding) = send_newer_then_older_order(true).await;
    let newest = FencingToken(9);
    assert_eq!(reply, OrderReply::StaleToken { newest });
    assert_eq!(holding.token, newest);
    assert_eq!(holding.version.as_str(), "v2");
}

#[tokio::test]
async fn a_stale_token_is_accepted_by_engines_that_do_not_check_tokens() {
    let (reply, holding) = send_newer_then_older_order(false).await;
    assert_eq!(reply, OrderReply::Accepted);
    assert_eq!(holding.token, FencingToken(8));
    assert_eq!(holding.layers, layers(4, 8));
}

#[tokio::test]
async fn an_order_loads_from_the_weight_store_and_ends_sessions() {
    let store = start(WeightStore::new(WeightStoreCfg {
        layer_bytes: 1,
        ..WeightStoreCfg::default()
    }));
    let e = start(Engine::new(EngineCfg {
        weight_store: Some(store.addr),
        ..engine_cfg(layers(0, 4), 4)
    }));
    let range = layers(0, 4);
    run_chain(&[(e.addr, range)], "r-1", 0, vec![1]).await;
    let reply: OrderReply = post(e.addr, ORDER_PATH, &order(1, (0, 4), "v2")).await.ok();
    assert_eq!(reply, OrderReply::Accepted);
    assert_eq!(wait_until_loaded(&e).await.version.as_str(), "v2");
    let req = step("r-1", range, 1, StageInput::Tokens(vec![1]));
    let ended = post(e.addr, STEP_PATH, &req).await;
    assert_eq!(ended.refusal(), EngineRefusal::NoSession);
}

#[tokio::test]
async fn a_leaving_engine_refuses_new_sessions_and_continues_existing_ones() {
    let range = layers(0, 4);
    let e = engine(range, 4);
    run_chain(&[(e.addr, range)], "r-1", 0, vec![1]).await;
    let faults = vec![EngineFault::RefuseSessions];
    let set = post(e.addr, FAULTS_PATH, &faults).await;
    assert_eq!(set.status, StatusCode::OK);
    let req = step("r-2", range, 0, StageInput::Tokens(vec![1]));
    let refused = post(e.addr, STEP_PATH, &req).await;
    assert_eq!(refused.refusal(), EngineRefusal::Leaving);
    run_chain(&[(e.addr, range)], "r-1", 1, vec![1]).await;
}

#[tokio::test]
async fn crossed_replies_carry_the_id_of_their_own_session() {
    let range = layers(0, 4);
    let mut cfg = engine_cfg(range, 4);
    cfg.cost.base_us = 20_000;
    let e = start(Engine::new(cfg));
    e.state.set_faults(vec![EngineFault::Crossed]);
    // Only replies within one batch are crossed. The first step starts at once
    // in a batch of its own; the other two wait for it and then start together.
    // On a slow machine one of them may miss that batch, so the round is
    // repeated.
    let crossed = async |round: u32| {
        let req = |side| step(&format!("r-{round}-{side}"), range, 0, one_token());
        let (a, b, c) = (req("a"), req("b"), req("c"));
        let answers = tokio::join!(
            post(e.addr, STEP_PATH, &a),
            post(e.addr, STEP_PATH, &b),
            post(e.addr, STEP_PATH, &c),
        );
        let got = [answers.0, answers.1, answers.2].map(|r| r.ok::<StepReply>().session);
        let asked = [a.session, b.session, c.session];
        assert!(asked.iter().all(|s| got.contains(s)));
        let swapped = asked.iter().zip(&got).filter(|(a, g)| a != g).count();
        assert!(swapped == 0 || swapped == 2);
        swapped == 2
    };
    for round in 0..CROSSED_ROUNDS {
        if crossed(round).await {
            let again = step(&format!("r-{round}-a"), range, 0, one_token());
            let stored: StepReply = post(e.addr, STEP_PATH, &again).await.ok();
            assert_eq!(stored.session, again.session);
            return;
        }
    }
    panic!("no two steps shared a batch");
}

#[tokio::test]
async fn a_duplicate_reply_repeats_the_previous_reply() {
    let range = layers(0, 4);
    let e = engine(range, 4);
    let req = |name| step(name, range, 0, one_token());
    let (r1, r2) = (req("r-1"), req("r-2"));
    let first: StepReply = post(e.addr, STEP_PATH, &r1).await.ok();
    let faults = vec![EngineFault::DuplicateReplyNext { n: 1 }];
    e.state.set_faults(faults);
    let second: StepReply = post(e.addr, STEP_PATH, &r2).await.ok();
    assert_eq!(second.session, r1.session);
    assert_eq!(second.run, first.run);
    let stored: StepReply = post(e.addr, STEP_PATH, &r2).await.ok();
    assert_eq!(stored.session, r2.session);
}

#[tokio::test]
async fn a_stalled_engine_neither_runs_nor_answers_steps() {
    let range = layers(0, 4);
    let e = engine(range, 4);
    e.state.set_faults(vec![EngineFault::Stall]);
    let req = step("r-1", range, 0, one_token());
    let reply = tokio::time::timeout(Duration::from_millis(50), post(e.addr, STEP_PATH, &req));
    assert!(reply.await.is_err());
    assert!(e.state.runs().is_empty());
}

#[tokio::test]
async fn a_full_queue_returns_busy_and_opens_no_session() {
    let range = layers(0, 4);
    let cfg = EngineCfg {
        max_queued_steps: 0,
        ..engine_cfg(range, 4)
    };
    let e = start(Engine::new(cfg));
    let req = step("r-1", range, 0, one_token());
    let busy = post(e.addr, STEP_PATH, &req).await;
    assert_eq!(busy.refusal(), EngineRefusal::Busy);
    let load: LoadReport = get(e.addr, LOAD_PATH).await.ok();
    assert_eq!(load.sessions, 0);
    assert!(e.state.records().is_empty());
}

#[tokio::test]
async fn cache_events_name_the_prefix_and_leave_sequence_gaps() {
    let range = layers(0, 4);
    let cfg = EngineCfg {
        max_cached_prefixes: 1,
        cache_lag_ms: 0,
        cache_gap_every: 3,
        ..engine_cfg(range, 4)
    };
    let e = start(Engine::new(cfg));
    let chain = [(e.addr, range)];
    let prompts = ["a prompt of enough bytes", "another one of enough bytes"];
    for (name, prompt) in ["r-1", "r-2"].iter().zip(prompts) {
        run_chain(&chain, name, 0, tokens(prompt)).await;
    }
    let events: CacheEvents = get(e.addr, CACHE_EVENTS_PATH).await.ok();
    let seen: Vec<(u64, bool)> = events.events.iter().map(|e| (e.seq, e.cached)).collect();
    assert_eq!(seen, [(0, true), (1, true)]);
    assert_eq!(events.next, 3);
    let digest = |prompt| prefix_digest(&StageInput::Tokens(tokens(prompt)));
    assert_eq!(Some(events.events[1].prefix), digest(prompts[1]));
}

#[tokio::test]
async fn stored_records_stay_within_their_limit() {
    let range = layers(0, 4);
    let cfg = EngineCfg {
        max_record_values: 10,
        ..engine_cfg(range, 4)
    };
    let e = start(Engine::new(cfg));
    for position in 0..20 {
        run_chain(&[(e.addr, range)], "r-1", position, vec![1]).await;
    }
    let runs = e.state.runs();
    assert_eq!(runs.len(), 5);
    assert_eq!(runs[4].first, Position(19));
    let page: RecordPage<EngineRecord> = get(e.addr, RECORDS_PATH).await.ok();
    assert_eq!((page.first, page.end), (16, 21));
}

#[tokio::test]
async fn records_are_served_in_pages() {
    let range = layers(0, 4);
    let e = engine(range, 4);
    run_chain(&[(e.addr, range)], "r-1", 0, vec![1]).await;
    let all: RecordPage<EngineRecord> = get(e.addr, RECORDS_PATH).await.ok();
    assert_eq!((all.first, all.next, all.end), (0, 2, 2));
    let path = format!("{RECORDS_PATH}?from=1");
    let rest: RecordPage<EngineRecord> = get(e.addr, &path).await.ok();
    assert!(matches!(rest.records.as_slice(), [EngineRecord::Run(_)]));
}

#[tokio::test]
async fn an_engine_restarted_at_its_address_has_no_sessions() {
    let range = layers(0, 4);
    let e = engine(range, 4);
    let addr = e.addr;
    run_chain(&[(addr, range)], "r-1", 0, vec![1]).await;
    e.kill();
    let restarted =
        ServerHandle::start(addr, Engine::new(engine_cfg(range, 4))).expect("the engine restarts");
    let req = step("r-1", range, 1, StageInput::Tokens(vec![1]));
    let lost = post(restarted.addr, STEP_PATH, &req).await;
    assert_eq!(lost.refusal(), EngineRefusal::NoSession);
}
