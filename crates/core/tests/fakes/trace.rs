//! Formats the events and actions of a session, one per line.

use radishhaven_core::{
    engine::{StageInput, StageOutput, StepReply},
    ids::Attempt,
    message::{Action, AttemptError, Demand, Event, Reply, StepSpec},
    time::Timestamp,
};

fn values<T: std::fmt::Display>(values: &[T]) -> String {
    let all: Vec<String> = values.iter().map(ToString::to_string).collect();
    all.join(",")
}

fn input(input: &StageInput) -> String {
    match input {
        StageInput::Tokens(v) => format!("tokens {}", values(v)),
        StageInput::Activations(v) => format!("{} activations", v.len()),
    }
}

fn reply(reply: &StepReply) -> String {
    let output = match &reply.output {
        StageOutput::Token(token) => format!("token {token}"),
        StageOutput::Activations(v) => format!("{} activations", v.len()),
    };
    let session = &reply.session;
    format!(
        "{}/{} at {}: {output}",
        session.request, session.attempt, reply.first
    )
}

fn step_spec(spec: &StepSpec) -> String {
    let (session, ms) = (&spec.session, spec.timeout.as_millis());
    let place = format!(
        "{}/{} layers {} at {}",
        session.request, session.attempt, spec.layers, spec.first
    );
    format!("{place}: {} within {ms} ms", input(&spec.input))
}

fn result<T>(result: &Result<T, AttemptError>, show: impl Fn(&T) -> String) -> String {
    match result {
        Ok(value) => show(value),
        Err(error) => format!("{error:?}"),
    }
}

/// Returns the number of an attempt, or nothing for the first one.
fn attempt_suffix(attempt: Attempt) -> String {
    match attempt.0 {
        0 => String::new(),
        n => format!("/{n}"),
    }
}

/// Formats an event that a node handles.
pub fn event(now: Timestamp, event: &Event) -> String {
    let text = match event {
        Event::Submit { key, submission } => match &submission.demand {
            Demand::Completion {
                pipeline,
                prompt,
                max_tokens,
            } => {
                format!(
                    "submit {key} {pipeline} {} max {max_tokens}",
                    values(prompt)
                )
            }
            Demand::Call {
                service,
                operation,
                body,
            } => {
                format!("submit {key} {service}/{operation} {body}")
            }
        },
        Event::StepDone {
            key,
            step,
            result: outcome,
        } => format!("step-done {key}/{step} {}", result(outcome, reply)),
        Event::ImportDone {
            key,
            step,
            result: outcome,
        } => format!(
            "import-done {key}/{step} {}",
            result(outcome, |()| "ok".to_owned())
        ),
        Event::ExportDone {
            key,
            session,
            result: outcome,
        } => {
            let show = result(outcome, |c| format!("layers {} next {}", c.layers, c.next));
            format!(
                "export-done {key} {}/{} {show}",
                session.request, session.attempt
            )
        }
        Event::CallDone {
            key,
            attempt,
            result: outcome,
        } => {
            let text = result(outcome, ToString::to_string);
            format!("call-done {key}{} {text}", attempt_suffix(*attempt))
        }
        Event::VmList(list) => {
            let all: Vec<String> = list
                .vms
                .iter()
                .map(|v| format!("{} {:?}", v.vm, v.state))
                .collect();
            format!("vm-list {}", all.join(", "))
        }
        Event::CallerDisconnected { key } => format!("caller-gone {key}"),
        Event::Tick => "tick".to_owned(),
        Event::Drain => "drain".to_owned(),
        other => format!("{other:?}")
            .split([' ', '{'])
            .next()
            .unwrap_or_default()
            .to_owned(),
    };
    format!("{:>6} > {text}", now.as_millis())
}

/// Formats an action that a node returns, except for messages to peers and other
/// actions that the traces leave out.
pub fn action(now: Timestamp, action: &Action) -> Option<String> {
    let text = match action {
        Action::Step {
            key,
            step,
            address,
            spec,
        } => format!("step {key}/{step} to {address} {}", step_spec(spec)),
        Action::Import {
            key,
            step,
            address,
            session,
            cache,
            ..
        } => {
            let place = format!("{}/{}", session.request, session.attempt);
            format!(
                "import {key}/{step} to {address} {place} layers {} next {}",
                cache.layers, cache.next
            )
        }
        Action::Export {
            key,
            address,
            session,
            ..
        } => format!(
            "export {key} at {address} {}/{}",
            session.request, session.attempt
        ),
        Action::EndSession { address, session } => format!(
            "end-session at {address} {}/{}",
            session.request, session.attempt
        ),
        Action::Call {
            key,
            attempt,
            vm,
            id,
            operation,
            body,
            ..
        } => format!(
            "call {key}{} to {vm} {id} {operation} {body}",
            attempt_suffix(*attempt)
        ),
        Action::Reply { key, reply } => match reply {
            Reply::Admitted { id } => format!("admitted {key} {id}"),
            Reply::Delta { index, text } => format!("delta {key} {index} {text:?}"),
            Reply::Status(state) => format!("status {key} {state:?}"),
            Reply::Done(done) => format!(
                "done {key} {} tokens {} digest {} {:?}",
                done.outcome,
                done.tokens,
                &done.digest[..8],
                done.message
            ),
        },
        _ => return None,
    };
    Some(format!("{:>6} < {text}", now.as_millis()))
}
