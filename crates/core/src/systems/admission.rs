//! Decides at arrival whether a request is taken on.
//!
//! A request that can't be taken on is answered at once as not run, with a
//! time to come back; see `docs/design/admission.md`.

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

/// Takes a request on, rejects it or leaves it to its home; runs once for each
/// request.
pub fn run(cx: &mut Context<'_>, key: RequestKey, submission: Submission) {
    cx.tables.counters.submitted += 1;
    if let Some(submission) = once::arrive(cx, key, submission) {
        admit_or_reject(cx, key, submission);
    }
}

/// Takes a request on or rejects it, once it is known that it goes on here.
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
        None if idempotent => once::mint(cx, false),
        None => once::adopt(cx, key, organisation.id.clone(), &submission.demand),
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
    let (known, id) = cx.tables.tokens.get(token_sha256)?;
    let same = bool::from(known.ct_eq(token_sha256));
    same.then(|| cx.tables.config.organisation(id).cloned())?
}

fn check_limits(cx: &Context<'_>, organisation: &Organisation) -> Result<(), Rejection> {
    let own = cx.tables.requests.in_flight(&organisation.id);
    if own >= cx.tables.limits.node_share(organisation.max_in_flight) {
        let message = format!("{} requests of {} are in flight", own, organisation.id);
        return Err((NotRun::OverLimit, message));
    }
    if cx.tables.requests.len() >= cx.cfg.admission.max_in_flight as usize {
        return Err((NotRun::NoCapacity, "the node is full".to_owned()));
    }
    Ok(())
}

/// Tells whether a request may run more than once: by the caller's word, or
/// else by the configuration.
pub fn is_idempotent(cx: &Context<'_>, submission: &Submission) -> bool {
    let stated = submission.idempotent;
    stated.unwrap_or_else(|| idempotent(cx, &submission.demand))
}

fn idempotent(cx: &Context<'_>, demand: &Demand) -> bool {
    match demand {
        Demand::Completion { .. } => true,
        Demand::Call {
            service, operation, ..
        } => {
            // An old configuration does not tell.
            let known = cx.tables.ready;
            let service = cx.tables.config.service(service).filter(|_| known);
            service.is_some_and(|s| s.idempotent.contains(operation))
        }
    }
}

fn work(cx: &Context<'_>, demand: &Demand) -> Result<Work, Rejection> {
    let bad = |message: String| (NotRun::BadRequest, message);
    match demand {
        Demand::Completion {
            pipeline,
            prompt,
            max_tokens,
        } => {
            let limits = &cx.cfg.admission;
            if prompt.is_empty() || prompt.len() > limits.max_prompt_tokens as usize {
                let most = limits.max_prompt_tokens;
                return Err(bad(format!("a prompt has 1 to {most} tokens")));
            }
            if *max_tokens == 0 || *max_tokens > limits.max_tokens {
                return Err(bad(format!("max_tokens is 1 to {}", limits.max_tokens)));
            }
            let found = cx.tables.config.pipeline(pipeline);
            let found = found.ok_or_else(|| bad(format!("no pipeline is named {pipeline}")))?;
            Ok(Work::Completion(CompletionState {
                pipeline: pipeline.clone(),
                model: found.model.clone(),
                version: found.version.clone(),
                adapters: found.adapters.clone(),
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
                return Err(bad(format!("no service is named {service}")));
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
        return answer::duplicate(cx, key, &row.id);
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
    if once::begin(cx, key) {
        return;
    }
    if call {
        calls::start(cx, key)
    } else {
        completion::start(cx, key)
    }
}

/// Tells a rejected caller when to come back: the later, the more of the
/// arriving work finds no room, and spread between once and twice that time,
/// so that callers don't return together.
pub fn retry_after(cx: &mut Context<'_>) -> Duration {
    use rand::Rng;
    let cfg = &cx.cfg.admission;
    let limits = &cx.tables.limits;
    let surplus = limits.rejected_per_s / limits.admitted_per_s.max(1.0);
    let after = cfg.retry_after.mul_f64(1.0 + surplus);
    let after = after.mul_f64(cx.rng.random_range(1.0..2.0));
    after.min(cfg.max_retry_after)
}
