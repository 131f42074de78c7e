//! Callers that put load on a deployment and record the answers they receive.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use radishhaven_client::{Answer, Caller, RequestOptions};
use radishhaven_core::{ids::RequestId, outcome::Outcome};
use serde_json::json;

use super::ScenarioConfig;
use crate::{
    checker::{AnswerRecord, CallerRecord, RequestSpec},
    deployment::{Deployment, VERSION, id},
    wire::wall_clock_us,
};

/// The record of a request and the arrival times of its tokens.
#[derive(Debug, Clone)]
pub(super) struct RequestTrace {
    pub(super) record: CallerRecord,
    token_us: Vec<u64>,
}

impl RequestTrace {
    pub(super) fn completed(&self) -> bool {
        let outcomes = self.record.answers.iter().map(|a| a.outcome);
        outcomes.into_iter().any(|o| o == Some(Outcome::Completed))
    }

    /// Returns a label of the kind of request and its outcome.
    pub(super) fn outcome_label(&self) -> String {
        let kind = match self.record.spec {
            RequestSpec::Completion { .. } => "completion",
            RequestSpec::Call { .. } => "call",
        };
        let outcome = self.record.answers.last().and_then(|a| a.outcome);
        outcome.map_or_else(|| format!("{kind} cut"), |o| format!("{kind} {o}"))
    }

    /// Returns the arrival time of the first token at or after `at_us`.
    ///
    /// Returns `None` if no token arrived before `at_us` or none arrived after it.
    pub(super) fn next_token_us(&self, at_us: u64) -> Option<u64> {
        let had_tokens = self.token_us.first().is_some_and(|first| *first < at_us);
        let mut later = self.token_us.iter().filter(|us| **us >= at_us);
        later.next().copied().filter(|_| had_tokens)
    }
}

/// A caller and the requests that it sends.
struct LoadClient {
    caller: Caller,
    node: SocketAddr,
    /// Time until which the node address can be used without querying the directory.
    address_valid_until: Instant,
    spec: RequestSpec,
    service: String,
}

/// Starts the callers and returns a future of all their requests.
///
/// The future completes when all callers have ended.
pub(super) fn start(
    deployment: &Deployment,
    config: &ScenarioConfig,
    seed: u64,
    duration: Duration,
) -> impl Future<Output = Vec<RequestTrace>> + use<> {
    let plan = &deployment.plan;
    let nodes: Vec<SocketAddr> = deployment
        .nodes
        .values()
        .map(|node| node.node.callers_address)
        .collect();
    let tasks: Vec<_> = (0..config.callers)
        .map(|n| {
            let letters = (0..config.prompt)
                .map(|i| char::from(b'a' + ((i * 7 + n + seed as usize) % 26) as u8));
            let client = LoadClient {
                caller: Caller::new("small-firm").expect("a caller can be created"),
                node: nodes[n % nodes.len()],
                address_valid_until: Instant::now(),
                spec: RequestSpec::Completion {
                    model: id(plan.pipeline.as_str()),
                    version: id(VERSION),
                    layers: plan.layers,
                    prompt: letters.collect(),
                    max_tokens: config.max_tokens,
                },
                service: plan.service.to_string(),
            };
            tokio::spawn(client.run(n, duration))
        })
        .collect();
    async move {
        let mut traces = Vec::new();
        for task in tasks {
            traces.extend(task.await.expect("a caller doesn't panic"));
        }
        traces
    }
}

impl LoadClient {
    async fn run(mut self, n: usize, duration: Duration) -> Vec<RequestTrace> {
        let started_at = Instant::now();
        let mut traces = Vec::new();
        let mut sent = 0;
        while started_at.elapsed() < duration {
            sent += 1;
            self.refresh_node_address().await;
            if (sent + n).is_multiple_of(4) {
                traces.push(self.send_booking(n * 1_000 + sent).await);
            } else {
                traces.extend(self.send_completion().await);
            }
        }
        traces
    }

    /// Queries the directory for a node when the cached address has expired.
    async fn refresh_node_address(&mut self) {
        if Instant::now() < self.address_valid_until {
            return;
        }
        let Ok(directory) = self.caller.directory(self.node).await else {
            return;
        };
        let kept = directory.nodes.iter().any(|n| n.address == self.node);
        if let Some(first) = directory.nodes.first().filter(|_| !kept) {
            self.node = first.address;
        }
        self.address_valid_until = Instant::now() + Duration::from_millis(directory.keep_ms);
    }

    async fn send_completion(&self) -> Option<RequestTrace> {
        let RequestSpec::Completion {
            model,
            prompt,
            max_tokens,
            ..
        } = &self.spec
        else {
            return None;
        };
        let pipeline = id(model.as_str());
        let sent_us = wall_clock_us();
        let ask = RequestOptions::default();
        let completion = self
            .caller
            .complete(self.node, &ask, &pipeline, prompt, *max_tokens);
        let Ok(answer) = completion.await else {
            return Some(unanswered_trace(self.spec.clone(), true));
        };
        let mut token_us = Vec::new();
        let mut at = Duration::ZERO;
        for gap in answer.first_token.iter().chain(&answer.gaps) {
            at += *gap;
            token_us.push(sent_us + at.as_micros() as u64);
        }
        let id = answer.id.clone();
        Some(answered_trace(
            id,
            self.spec.clone(),
            true,
            answer,
            token_us,
        ))
    }

    async fn send_booking(&self, number: usize) -> RequestTrace {
        let spec = RequestSpec::Call {
            operation: "book".to_owned(),
        };
        let Ok(issued) = self.caller.issue_ids(self.node, 1).await else {
            return unanswered_trace(spec, false);
        };
        let ids = issued.ids;
        let ask = RequestOptions {
            id: ids.first().cloned(),
            ..RequestOptions::default()
        };
        let body = json!({ "trip": number });
        let call = self
            .caller
            .call(self.node, &ask, &self.service, "book", &body);
        let Ok(answer) = call.await else {
            return unanswered_trace(spec, false);
        };
        answered_trace(ask.id, spec, false, answer, Vec::new())
    }
}

/// Returns the trace of a request without an answer.
fn unanswered_trace(spec: RequestSpec, idempotent: bool) -> RequestTrace {
    let record = CallerRecord {
        id: None,
        spec,
        idempotent,
        answers: Vec::new(),
    };
    RequestTrace {
        record,
        token_us: Vec::new(),
    }
}

fn answered_trace(
    id: Option<RequestId>,
    spec: RequestSpec,
    idempotent: bool,
    answer: Answer,
    token_us: Vec<u64>,
) -> RequestTrace {
    let record = CallerRecord {
        id,
        spec,
        idempotent,
        answers: vec![AnswerRecord::new(answer)],
    };
    RequestTrace { record, token_us }
}
