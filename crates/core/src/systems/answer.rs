//! Ends requests. Each request gets exactly one outcome, which is sent as soon as
//! it is decided.

use sha2::{Digest, Sha256};

use super::{Context, admission, completion, limits};
use crate::{
    engine::END_TOKEN,
    ids::{RequestId, RequestKey},
    message::{Action, Done, Reply},
    outcome::{NotRun, Outcome},
    tables::{RequestRow, Work},
};

/// Returns the text of generated tokens, one byte for each token.
pub fn text(tokens: &[u32]) -> String {
    let bytes = tokens
        .iter()
        .filter(|&&t| t != END_TOKEN)
        .map(|&t| t as u8 as char);
    bytes.collect()
}

/// Returns the SHA-256 of a text in hexadecimal.
pub fn hex_digest(text: &str) -> String {
    Sha256::digest(text.as_bytes())
        .iter()
        .map(|b| format!("{b:02x}"))
        .collect()
}

/// Counts an outcome and sends the caller the end of the answer.
pub fn send_done(cx: &mut Context<'_>, key: RequestKey, done: Done) {
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

/// Rejects a request.
pub fn reject(
    cx: &mut Context<'_>,
    key: RequestKey,
    id: Option<RequestId>,
    reason: NotRun,
    message: String,
) {
    let retryable = matches!(
        reason,
        NotRun::OverLimit | NotRun::NoCapacity | NotRun::Draining
    );
    let retry_after = retryable.then(|| admission::retry_after(cx));
    let done = Done {
        retry_after,
        ..without_content(id, Outcome::NotRun(reason), message)
    };
    send_done(cx, key, done);
}

/// Returns the end of an answer without content.
fn without_content(id: Option<RequestId>, outcome: Outcome, message: String) -> Done {
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

/// Answers a request whose id was used before, without running it again. The
/// caller can query the outcome of the first request.
pub fn reject_duplicate(cx: &mut Context<'_>, key: RequestKey, id: &RequestId) {
    let outcome_before = cx.tables.requests.outcome(id);
    let outcome = match outcome_before {
        Some(Outcome::NotRun(reason)) => Outcome::NotRun(reason),
        _ => Outcome::Unknown,
    };
    let message = match outcome_before {
        Some(outcome) => format!("a request of this id ended before: {outcome}"),
        None => "a request of this id is running".to_owned(),
    };
    send_done(cx, key, without_content(Some(id.clone()), outcome, message));
}

/// Ends an open request and sends the outcome to the caller.
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
    let retryable = matches!(outcome, Outcome::NotRun(NotRun::NoCapacity));
    let done = Done {
        id: Some(row.id),
        outcome,
        tokens,
        digest: hex_digest(&text),
        body,
        retry_after: retryable.then(|| admission::retry_after(cx)),
        message: message.to_owned(),
    };
    send_done(cx, key, done);
}

/// Ends a request that can't be continued. The outcome is `NotRun` if no attempt can
/// have started; otherwise it is `Failed` for a completion and `Unknown` for a call.
pub fn abort(cx: &mut Context<'_>, key: RequestKey, reason: NotRun, message: &str) {
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

/// Ends a request whose deadline has passed.
pub fn deadline_passed(cx: &mut Context<'_>, key: RequestKey) {
    abort(cx, key, NotRun::Late, "the deadline has passed");
}

/// Ends a request whose caller has disconnected, without sending an outcome.
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

/// Removes an open request and releases its sessions, its share of the limits and
/// its deadline timer.
fn close(cx: &mut Context<'_>, key: RequestKey, outcome: Outcome) -> Option<RequestRow> {
    completion::release(cx, key);
    let row = cx.tables.requests.finish(key, outcome)?;
    limits::request_ended(cx, key, &row);
    if let Some(timer) = row.deadline_timer {
        cx.tables.timers.cancel(timer);
    }
    Some(row)
}
