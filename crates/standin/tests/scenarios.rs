//! Each named scenario, once, in a small size; the `scenarios` example runs
//! more seeds.

use radishhaven_standin::scenarios::{self, Scenario, ScenarioConfig, ScenarioResult};

async fn run(scenario: Scenario) -> ScenarioResult {
    let size = ScenarioConfig {
        callers: 4,
        max_tokens: 24,
        ..ScenarioConfig::default()
    };
    let ran = scenarios::run(scenario, 1, &size).await;
    let out = ran.expect("the deployment starts");
    assert_eq!(out.violations, [], "{scenario}");
    assert!(out.completed > 0, "{scenario}");
    out
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stage_death_cuts_no_request() {
    assert_eq!(run(Scenario::StageDeath).await.not_completed.len(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_stall_violates_nothing() {
    run(Scenario::SilentStall).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_link_violates_nothing() {
    run(Scenario::SlowLink).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn crossed_answers_violate_nothing() {
    run(Scenario::CrossedAnswers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_loss_of_a_failure_domain_violates_nothing() {
    run(Scenario::DomainLoss).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stage_death_beside_a_silent_engine_violates_nothing() {
    run(Scenario::StageDeathSilentStall).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_loss_of_a_failure_domain_beside_a_slow_link_violates_nothing() {
    run(Scenario::DomainLossSlowLink).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drain_of_a_node_cuts_no_request() {
    assert_eq!(run(Scenario::NodeDrain).await.not_completed.len(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drain_cuts_no_request() {
    assert_eq!(run(Scenario::Drain).await.not_completed.len(), 0);
}
