//! Runs each named scenario once, at a small size; the `scenarios` example runs
//! more seeds.

use radishhaven_standin::scenarios::{self, Scenario, ScenarioConfig, ScenarioResult};

/// Runs a scenario and checks that it has no violations and that some requests
/// complete.
async fn run(scenario: Scenario) -> ScenarioResult {
    let size = ScenarioConfig {
        callers: 4,
        max_tokens: 24,
        ..ScenarioConfig::default()
    };
    let result = scenarios::run(scenario, 1, &size).await;
    let out = result.expect("the deployment starts");
    assert_eq!(out.violations, [], "{scenario}");
    assert!(out.completed > 0, "{scenario}");
    out
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stage_death_interrupts_no_request() {
    assert_eq!(run(Scenario::StageDeath).await.not_completed.len(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_stall_causes_no_violation() {
    run(Scenario::SilentStall).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_link_causes_no_violation() {
    run(Scenario::SlowLink).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn crossed_answers_cause_no_violation() {
    run(Scenario::CrossedAnswers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_loss_of_a_failure_domain_causes_no_violation() {
    run(Scenario::DomainLoss).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stage_death_with_an_unresponsive_engine_causes_no_violation() {
    run(Scenario::StageDeathSilentStall).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_loss_of_a_failure_domain_with_a_slow_link_causes_no_violation() {
    run(Scenario::DomainLossSlowLink).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_drain_interrupts_no_request() {
    assert_eq!(run(Scenario::NodeDrain).await.not_completed.len(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drain_interrupts_no_request() {
    assert_eq!(run(Scenario::Drain).await.not_completed.len(), 0);
}
