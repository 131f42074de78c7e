//! Callers that keep a deployment busy and take down what they see.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use radishhaven_client::{Answer, Caller, RequestOptions};
use radishhaven_core::{ids::RequestId, outcome::Outcome};
use serde_json::json;

use super::Size;
use crate::{
    checker::{AnswerRecord, Asked, CallerRecord},
    deployment::{Deployment, VERSION, id},
    wire::wall_clock_us,
};

/// One request with the times of its tokens.
#[derive(Debug, Clone)]
pub(super) struct Stream {
    pub(super) record: CallerRecord,
    token_us: Vec<u64>,
}

impl Stream {
    pub(super) fn completed(&self) -> bool {
        let outcomes = self.record.answers.iter().map(|a| a.outcome);
        outcomes.into_iter().any(|o| o == Some(Outcome::Completed))
    }

    /// Returns how the request ended, with what was asked.
    pub(super) fn end(&self) -> String {
        let asked = match self.record.asked {
            Asked::Completion { .. } => "completion",
            Asked::Call { .. } => "call",
        };
        let outcome = self.record.answers.last().and_then(|a| a.outcome);
        outcome.map_or_else(|| format!("{asked} cut"), |o| format!("{asked} {o}"))
    }

    /// Returns when the first token after `at_us` came, if tokens came before.
    pub(super) fn next_token_us(&self, at_us: u64) -> Option<u64> {
        let begun = self.token_us.first().is_some_and(|first| *first < at_us);
        let mut later = self.token_us.iter().filter(|us| **us >= at_us);
        later.next().copied().filter(|_| begun)
    }
}

/// What one caller sends.
struct Client {
    caller: Caller,
    node: SocketAddr,
    /// Until when the node's address may be used without asking again.
    keep_until: Instant,
    asked: Asked,
    service: String,
}

/// Starts the callers; the result is there when all of them have ended.
pub(super) fn start(
    deployment: &Deployment,
    size: &Size,
    seed: u64,
    lasting: Duration,
) -> impl Future<Output = Vec<Stream>> + use<> {
    let plan = &deployment.plan;
    let nodes: Vec<SocketAddr> = deployment
        .nodes
        .values()
        .map(|node| node.node.callers_address)
        .collect();
    let tasks: Vec<_> = (0..size.callers)
        .map(|n| {
            let letters = (0..size.prompt)
                .map(|i| char::from(b'a' + ((i * 7 + n + seed as usize) % 26) as u8));
            let client = Client {
                caller: Caller::new("small-firm").expect("a caller can be made"),
                node: nodes[n % nodes.len()],
                keep_until: Instant::now(),
                asked: Asked::Completion {
                    model: id(plan.pipeline.as_str()),
                    version: id(VERSION),
                    layers: plan.layers,
                    prompt: letters.collect(),
                    max_tokens: size.max_tokens,
                },
                service: plan.service.to_string(),
            };
            tokio::spawn(client.run(n, lasting))
        })
        .collect();
    async move {
        let mut streams = Vec::new();
        for task in tasks {
            streams.extend(task.await.expect("a caller doesn't panic"));
        }
        streams
    }
}

impl Client {
    async fn run(mut self, n: usize, lasting: Duration) -> Vec<Stream> {
        let begun = Instant::now();
        let mut streams = Vec::new();
        let mut count = 0;
        while begun.elapsed() < lasting {
            count += 1;
            self.refresh().await;
            if (count + n).is_multiple_of(4) {
                streams.push(self.book(n * 1_000 + count).await);
            } else {
                streams.extend(self.dictate().await);
            }
        }
        streams
    }

    /// Asks which node to use when the last answer may no longer be kept.
    async fn refresh(&mut self) {
        if Instant::now() < self.keep_until {
            return;
        }
        let Ok(directory) = self.caller.directory(self.node).await else {
            return;
        };
        let kept = directory.nodes.iter().any(|n| n.address == self.node);
        if let Some(first) = directory.nodes.first().filter(|_| !kept) {
            self.node = first.address;
        }
        self.keep_until = Instant::now() + Duration::from_millis(directory.keep_ms);
    }

    async fn dictate(&self) -> Option<Stream> {
        let Asked::Completion {
            model,
            prompt,
            max_tokens,
            ..
        } = &self.asked
        else {
            return None;
        };
        let pipeline = id(model.as_str());
        let sent_us = wall_clock_us();
        let ask = RequestOptions::default();
        let asked = self
            .caller
            .complete(self.node, &ask, &pipeline, prompt, *max_tokens);
        let Ok(answer) = asked.await else {
            return Some(cut(self.asked.clone(), true));
        };
        let mut token_us = Vec::new();
        let mut at = Duration::ZERO;
        for part in answer.first_token.iter().chain(&answer.gaps) {
            at += *part;
            token_us.push(sent_us + at.as_micros() as u64);
        }
        let id = answer.id.clone();
        Some(stream(id, self.asked.clone(), true, answer, token_us))
    }

    async fn book(&self, number: usize) -> Stream {
        let asked = Asked::Call {
            operation: "book".to_owned(),
        };
        let Ok(minted) = self.caller.issue_ids(self.node, 1).await else {
            return cut(asked, false);
        };
        let ids = minted.ids;
        let ask = RequestOptions {
            id: ids.first().cloned(),
            ..RequestOptions::default()
        };
        let body = json!({ "trip": number });
        let called = self
            .caller
            .call(self.node, &ask, &self.service, "book", &body);
        let Ok(answer) = called.await else {
            return cut(asked, false);
        };
        stream(ask.id, asked, false, answer, Vec::new())
    }
}

/// Returns a request that nothing came back for.
fn cut(asked: Asked, idempotent: bool) -> Stream {
    let record = CallerRecord {
        id: None,
        asked,
        idempotent,
        answers: Vec::new(),
    };
    Stream {
        record,
        token_us: Vec::new(),
    }
}

fn stream(
    id: Option<RequestId>,
    asked: Asked,
    idempotent: bool,
    answer: Answer,
    token_us: Vec<u64>,
) -> Stream {
    let record = CallerRecord {
        id,
        asked,
        idempotent,
        answers: vec![AnswerRecord::new(answer)],
    };
    Stream { record, token_us }
}
