//! Admission control for arriving requests.
//!
//! A rejected request is answered at once as not run, with a time to retry
//! after; see `docs/design/admission.md`.

use std::time::Duration;

use subtle::ConstantTimeEq;

use super::{Context, Timer, answer, calls, completion, limits, once};
use crate::{
    config::Organisation,
    ids::{Attempt, RequestKey},
    message::{Action, Demand, Reply, Submission},
    outcome::NotRun,
    tables::{CallState, CompletionState, OpenExchange, RequestRow, Work},
};

/// Handles an arriving request: admits it, rejects it or leaves it to its home
/// node. Runs once for each request.
pub fn run(cx: &mut Context<'_>, key: RequestKey, submission: Submission) {
    cx.tables.counters.submitted += 1;
    if let Some(submission) = once::on_submission(cx, key, submission) {
        admit_or_reject(cx, key, submission);
    }
}

/// Admits or rejects a request that this node is responsible for.
pub fn admit_or_reject(cx: &mut Context<'_>, key: RequestKey, submission: Submission) {
    cx.tables.retry_budget.deposit(cx.now, &cx.cfg.retry);
    match check(cx, key, submission) {
        Ok(row) => start(cx, key, row),
        Err((reason, message)) => answer::reject(cx, key, None, reason, message),
    }
}

type Rejection = (NotRun, String);

fn check(
    cx: &mut Context<'_>,
    key: RequestKey,
    submission: Submission,
) -> Result<RequestRow, Rejection> {
    if !cx.tables.ready {
        let message = "the node is not ready; ask another one, or again later";
        return Err((NotRun::NoCapacity, message.to_owned()));
    }
    let organisation = organisation(cx, &submission.token_sha256).ok_or_else(|| {
        (
            NotRun::Unauthorised,
            "the bearer token is not known".to_owned(),
        )
    })?;
    if super::drain::rejects_requests(cx) {
        return Err((NotRun::Draining, "the node is shutting down".to_owned()));
    }
    check_limits(cx, &organisation)?;
    let work = work(cx, &submission.demand)?;
    let within = submission
        .timeout
        .unwrap_or(cx.cfg.admission.default_deadline);
    if within.is_zero() {
        return Err((NotRun::Late, "the deadline has passed".to_owned()));
    }
    let idempotent = is_idempotent(cx, &submission);
    let id = match submission.id {
        Some(id) => id,
        None if idempotent => once::issue_id(cx, false),
        None => once::assign_id(cx, key, organisation.id.clone(), &submission.demand),
    };
    Ok(RequestRow {
        id,
        priority: submission
            .priority
            .unwrap_or_default()
            .min(organisation.priority),
        deadline: cx.now + within.min(cx.cfg.admission.max_deadline),
        admitted: cx.now,
        idempotent,
        organisation: organisation.id,
        attempt: Attempt(0),
        waiting: false,
        started: false,
        indeterminate: false,
        failed: Vec::new(),
        work,
        deadline_timer: None,
    })
}

/// Returns the organisation whose bearer token has this digest.
pub fn organisation(cx: &Context<'_>, token_sha256: &[u8; 32]) -> Option<Organisation> {
    let (configured, id) = cx.tables.tokens.get(token_sha256)?;
    let matches = bool::from(configured.ct_eq(token_sha256));
    matches.then(|| cx.tables.config.organisation(id).cloned())?
}

fn check_limits(cx: &Context<'_>, organisation: &Organisation) -> Result<(), Rejection> {
    let in_flight = cx.tables.requests.in_flight(&organisation.id);
    if in_flight >= cx.tables.limits.node_share(organisation.max_in_flight) {
        let message = format!(
            "{} requests of {} are in flight",
            in_flight, organisation.id
        );
        return Err((NotRun::OverLimit, message));
    }
    if cx.tables.requests.len() >= cx.cfg.admission.max_in_flight as usize {
        return Err((NotRun::NoCapacity, "the node is full".to_owned()));
    }
    Ok(())
}

/// Returns whether a request may run more than once, as stated by the caller or
/// else by the configuration.
pub fn is_idempotent(cx: &Context<'_>, submission: &Submission) -> bool {
    let stated = submission.idempotent;
    stated.unwrap_or_else(|| configured_idempotent(cx, &submission.demand))
}

fn configured_idempotent(cx: &Context<'_>, demand: &Demand) -> bool {
    match demand {
        Demand::Completion { .. } => true,
        Demand::Call {
            service, operation, ..
        } => {
            // An outdated configuration can't be relied on.
            let up_to_date = cx.tables.ready;
            let service = cx.tables.config.service(service).filter(|_| up_to_date);
            service.is_some_and(|s| s.idempotent.contains(operation))
        }
    }
}

fn work(cx: &Context<'_>, demand: &Demand) -> Result<Work, Rejection> {
    let bad_request = |message: String| (NotRun::BadRequest, message);
    match demand {
        Demand::Completion {
            pipeline,
            prompt,
            max_tokens,
        } => {
            let limits = &cx.cfg.admission;
            if prompt.is_empty() || prompt.len() > limits.max_prompt_tokens as usize {
                let max = limits.max_prompt_tokens;
                return Err(bad_request(format!("a prompt has 1 to {max} tokens")));
            }
            if *max_tokens == 0 || *max_tokens > limits.max_tokens {
                return Err(bad_request(format!(
                    "max_tokens is 1 to {}",
                    limits.max_tokens
                )));
            }
            let config = cx.tables.config.pipeline(pipeline);
            let config =
                config.ok_or_else(|| bad_request(format!("no pipeline is named {pipeline}")))?;
            Ok(Work::Completion(CompletionState {
                pipeline: pipeline.clone(),
                model: config.model.clone(),
                version: config.version.clone(),
                adapters: config.adapters.clone(),
                prompt_len: prompt.len(),
                tokens: prompt.clone(),
                max_tokens: *max_tokens,
                chain: Vec::new(),
                sessions: 0,
                open: OpenExchange::default(),
                chunks_read: 0,
                paused: false,
            }))
        }
        Demand::Call {
            service,
            operation,
            body,
        } => {
            if cx.tables.config.service(service).is_none() {
                return Err(bad_request(format!("no service is named {service}")));
            }
            Ok(Work::Call(CallState {
                service: service.clone(),
                operation: operation.clone(),
                body: body.clone(),
                open: Vec::new(),
                attempts: 0,
                waits: 0,
                timer: None,
            }))
        }
    }
}

fn start(cx: &mut Context<'_>, key: RequestKey, mut row: RequestRow) {
    if cx.tables.requests.open(&row.id).is_some() || cx.tables.requests.outcome(&row.id).is_some() {
        return answer::reject_duplicate(cx, key, &row.id);
    }
    row.deadline_timer = Some(
        cx.tables
            .timers
            .subscribe(row.deadline, Timer::Deadline(key)),
    );
    let id = row.id.clone();
    let call = matches!(row.work, Work::Call(_));
    row.waiting = !call && row.idempotent;
    let waiting = row.waiting;
    let organisation = cx.tables.config.organisation(&row.organisation);
    let share = organisation.map_or(1, |o| o.share);
    cx.tables.requests.insert(key, row);
    if waiting {
        return limits::admit(cx, key, share);
    }
    cx.out.push(Action::Reply {
        key,
        reply: Reply::Admitted { id },
    });
    limits::begin_unqueued(cx, key);
    if once::start(cx, key) {
        return;
    }
    if call {
        calls::start(cx, key)
    } else {
        completion::start(cx, key)
    }
}

/// Returns the time after which a rejected caller should retry.
///
/// It grows with the ratio of rejected to admitted requests and is multiplied
/// by a random factor between 1 and 2, to keep callers from retrying together.
pub fn retry_after(cx: &mut Context<'_>) -> Duration {
    use rand::Rng;
    let cfg = &cx.cfg.admission;
    let limits = &cx.tables.limits;
    let rejection_ratio = limits.rejected_per_s / limits.admitted_per_s.max(1.0);
    let after = cfg.min_retry_after.mul_f64(1.0 + rejection_ratio);
    let after = after.mul_f64(cx.rng.random_range(1.0..2.0));
    after.min(cfg.max_retry_after)
}
