//! Ends requests: each one gets exactly one outcome, at the moment that it is
//! decided.

use sha2::{Digest, Sha256};

use super::{Context, admission, completion, limits};
use crate::{
    engine::END_TOKEN,
    ids::{RequestId, RequestKey},
    message::{Action, Done, Reply},
    outcome::{NotRun, Outcome},
    tables::{RequestRow, Work},
};

/// Returns the text of generated tokens; a token is one byte of text.
pub fn text(tokens: &[u32]) -> String {
    let bytes = tokens
        .iter()
        .filter(|&&t| t != END_TOKEN)
        .map(|&t| t as u8 as char);
    bytes.collect()
}

/// Returns the SHA-256 of a text, in hex.
pub fn hex_digest(text: &str) -> String {
    Sha256::digest(text.as_bytes())
        .iter()
        .map(|b| format!("{b:02x}"))
        .collect()
}

/// Gives a caller the end of its answer.
pub fn give(cx: &mut Context<'_>, key: RequestKey, done: Done) {
    *cx.tables
        .counters
        .outcomes
        .entry(done.outcome.to_string())
        .or_default() += 1;
    cx.out.push(Action::Reply {
        key,
        reply: Reply::Done(done),
    });
}

/// Answers a request that is not taken on.
pub fn reject(
    cx: &mut Context<'_>,
    key: RequestKey,
    id: Option<RequestId>,
    reason: NotRun,
    message: String,
) {
    let again = matches!(
        reason,
        NotRun::OverLimit | NotRun::NoCapacity | NotRun::Draining
    );
    let retry_after = again.then(|| admission::retry_after(cx));
    let done = Done {
        retry_after,
        ..empty(id, Outcome::NotRun(reason), message)
    };
    give(cx, key, done);
}

/// Returns the end of an answer that has no content.
fn empty(id: Option<RequestId>, outcome: Outcome, message: String) -> Done {
    Done {
        id,
        outcome,
        tokens: 0,
        digest: hex_digest(""),
        body: None,
        retry_after: None,
        message,
    }
}

/// Answers a request whose id was seen before: it is not run again, and what
/// became of the first one is for the caller to ask.
pub fn duplicate(cx: &mut Context<'_>, key: RequestKey, id: &RequestId) {
    let known = cx.tables.requests.outcome(id);
    let outcome = match known {
        Some(Outcome::NotRun(reason)) => Outcome::NotRun(reason),
        _ => Outcome::Unknown,
    };
    let message = match known {
        Some(outcome) => format!("a request of this id ended before: {outcome}"),
        None => "a request of this id is running".to_owned(),
    };
    give(cx, key, empty(Some(id.clone()), outcome, message));
}

/// Ends an open request and tells the caller.
pub fn finish(
    cx: &mut Context<'_>,
    key: RequestKey,
    outcome: Outcome,
    body: Option<serde_json::Value>,
    message: &str,
) {
    let Some(row) = close(cx, key, outcome) else {
        return;
    };
    let (tokens, text) = match &row.work {
        Work::Completion(c) => (c.generated(), text(&c.tokens[c.prompt_len..])),
        Work::Call(_) => (0, String::new()),
    };
    let retry = matches!(outcome, Outcome::NotRun(NotRun::NoCapacity));
    let done = Done {
        id: Some(row.id),
        outcome,
        tokens,
        digest: hex_digest(&text),
        body,
        retry_after: retry.then(|| admission::retry_after(cx)),
        message: message.to_owned(),
    };
    give(cx, key, done);
}

/// Ends a request that can't go on: not run if nothing can have started.
pub fn give_up(cx: &mut Context<'_>, key: RequestKey, reason: NotRun, message: &str) {
    let Some(row) = cx.tables.requests.get(key) else {
        return;
    };
    let outcome = match (row.started, &row.work) {
        (false, _) => Outcome::NotRun(reason),
        (true, Work::Completion(_)) => Outcome::Failed,
        (true, Work::Call(_)) => Outcome::Unknown,
    };
    finish(cx, key, outcome, None, message);
}

/// Ends a request whose deadline has come.
pub fn deadline(cx: &mut Context<'_>, key: RequestKey) {
    give_up(cx, key, NotRun::Late, "the deadline has passed");
}

/// Ends a request whose caller has gone away; nobody is told.
pub fn abandon(cx: &mut Context<'_>, key: RequestKey) {
    let Some(row) = cx.tables.requests.get(key) else {
        return;
    };
    let outcome = if row.started {
        Outcome::Failed
    } else {
        Outcome::NotRun(NotRun::Late)
    };
    if close(cx, key, outcome).is_some() {
        *cx.tables
            .counters
            .outcomes
            .entry("caller-gone".to_owned())
            .or_default() += 1;
    }
}

fn close(cx: &mut Context<'_>, key: RequestKey, outcome: Outcome) -> Option<RequestRow> {
    completion::release(cx, key);
    let row = cx.tables.requests.finish(key, outcome)?;
    limits::request_ended(cx, key, &row);
    if let Some(timer) = row.deadline_timer {
        cx.tables.timers.cancel(timer);
    }
    Some(row)
}
