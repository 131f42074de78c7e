//! Runs queued steps in batches that share the processing time.

use std::{sync::Arc, time::Duration};

use radishhaven_core::ids::Position;
use radishhaven_proto::engine::{
    EngineRefusal, SessionRef, StageInput, StageOutput, StepReply, StepRequest,
};
use tokio::{sync::oneshot, time::Instant};

use super::{
    Engine, EngineFault,
    cache::{PREFIX_POSITIONS, prefix_digest},
    record::{EngineRecord, RunRecord, SessionRecord},
    session::{CurrentStep, FinishedStep, StepResult},
    state::State,
};
use crate::{
    reference::{LayerState, embed, sample},
    wire::wall_clock_us,
};

/// Maximum timer lateness that the next batch compensates for.
///
/// On a busy machine the runtime wakes up late, which a real accelerator does
/// not.
const MAX_CATCH_UP: Duration = Duration::from_millis(50);
/// Weight of the previous mean in the moving average of the step time; a new
/// sample has weight 1.
const MEAN_STEP_TIME_WEIGHT: u64 = 7;

/// Steps that run together.
#[derive(Debug, Default)]
struct Batch {
    steps: Vec<(SessionRef, StepReply)>,
    layers: u64,
    positions: u64,
}

/// A reply and the channels of the requests that wait for it.
struct PendingReply {
    waiters: Vec<oneshot::Sender<StepResult>>,
    reply: StepReply,
}

impl Engine {
    /// Runs batches for the lifetime of the engine.
    pub(super) async fn run_batches(self: Arc<Self>) {
        let mut busy_until = Instant::now();
        let mut idle = true;
        loop {
            self.faults.wait_while_stalled().await;
            let Some(batch) = self.take_batch() else {
                self.wake.notified().await;
                idle = true;
                continue;
            };
            let steps = batch.steps.len() as u64;
            let time = self
                .cfg
                .cost
                .batch_time(batch.layers, batch.positions, steps)
                .mul_f64(self.faults.slow_factor());
            busy_until = batch_start(busy_until, idle) + time;
            idle = false;
            tokio::time::sleep_until(busy_until).await;
            self.faults.wait_while_stalled().await;
            self.finish_batch(batch, time);
        }
    }

    fn take_batch(&self) -> Option<Batch> {
        let mut state = self.lock();
        let mut batch = Batch::default();
        while batch.steps.len() < self.cfg.max_batch {
            let Some(session) = state.queue.pop() else {
                break;
            };
            self.start_step(&mut state, session, &mut batch);
        }
        state.running = batch.steps.len();
        (!batch.steps.is_empty()).then_some(batch)
    }

    fn start_step(&self, state: &mut State, session_ref: SessionRef, batch: &mut Batch) {
        let Some(session) = state.sessions.get_mut(&session_ref) else {
            return;
        };
        let Some(mut current) = session.current.take() else {
            return;
        };
        if current.deadline.is_some_and(|at| at <= Instant::now()) {
            if session.next == 0 {
                state.sessions.remove(&session_ref);
            }
            refuse_expired(current);
            return;
        }
        current.running = true;
        let req = current.req.clone();
        session.current = Some(current);
        let imported_from = session.imported_from;
        let values = run_layers(&mut session.state, &req);
        session.next = session.next.saturating_add(positions(&req));
        state.runs += 1;
        let run = format!("{}-{}-{}", self.cfg.vm, self.started_us, state.runs);
        let output = self.output(&req, values);
        batch.layers = batch.layers.max(u64::from(req.layers.count()));
        batch.positions += uncached_positions(state, &req);
        let reply = StepReply {
            run,
            session: session_ref.clone(),
            first: req.first,
            output,
        };
        record_run(state, req, &reply, imported_from);
        batch.steps.push((session_ref, reply));
    }

    fn output(&self, req: &StepRequest, values: Vec<u64>) -> StageOutput {
        if req.layers.end() < self.cfg.layers_of(&req.model) {
            return StageOutput::Activations(values);
        }
        // `check_input` ensures at least one position, so the default is unused.
        StageOutput::Token(sample(values.last().copied().unwrap_or_default()))
    }

    fn finish_batch(&self, batch: Batch, time: Duration) {
        let us = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        let mut state = self.lock();
        state.running = 0;
        state.step_us = match state.step_us {
            0 => us,
            mean => (mean * MEAN_STEP_TIME_WEIGHT + us) / (MEAN_STEP_TIME_WEIGHT + 1),
        };
        let replies = batch
            .steps
            .into_iter()
            .filter_map(|(session, reply)| finish_step(&mut state, &session, reply));
        let mut replies: Vec<PendingReply> = replies.collect();
        if self.faults.any(|f| *f == EngineFault::Crossed) {
            swap_replies(&mut replies);
        }
        for pending in replies {
            self.send_reply(&mut state, pending);
        }
    }

    fn send_reply(&self, state: &mut State, pending: PendingReply) {
        let previous = state.last_reply.replace(pending.reply.clone());
        let reply = match previous {
            Some(previous) if self.faults.consume_duplicate_reply() => previous,
            _ => pending.reply,
        };
        for tx in pending.waiters {
            // The receiver is dropped if the caller has disconnected.
            let _ = tx.send(Ok(reply.clone()));
        }
    }
}

/// Returns the start time of the next batch.
///
/// For a busy engine this is the planned end of the previous batch, unless the
/// engine is at least [`MAX_CATCH_UP`] late.
fn batch_start(busy_until: Instant, idle: bool) -> Instant {
    let now = Instant::now();
    let lateness = now.saturating_duration_since(busy_until);
    if !idle && lateness < MAX_CATCH_UP {
        busy_until
    } else {
        now
    }
}

fn refuse_expired(current: CurrentStep) {
    for tx in current.waiters {
        // The receiver is dropped if the caller has disconnected.
        let _ = tx.send(Err(EngineRefusal::NotRun));
    }
}

fn positions(req: &StepRequest) -> u32 {
    u32::try_from(req.input.len()).unwrap_or(u32::MAX)
}

fn run_layers(layers: &mut LayerState, req: &StepRequest) -> Vec<u64> {
    match &req.input {
        StageInput::Tokens(tokens) => (req.first.0..)
            .zip(tokens)
            .map(|(position, token)| layers.run(embed(*token, position)))
            .collect(),
        StageInput::Activations(values) => values.iter().map(|a| layers.run(*a)).collect(),
    }
}

fn uncached_positions(state: &mut State, req: &StepRequest) -> u64 {
    let total = u64::from(positions(req));
    if req.first != Position(0) {
        return total;
    }
    let cached = prefix_digest(&req.input).is_some_and(|prefix| state.cache.use_prefix(prefix));
    if cached {
        total.saturating_sub(PREFIX_POSITIONS as u64)
    } else {
        total
    }
}

fn record_run(
    state: &mut State,
    req: StepRequest,
    reply: &StepReply,
    imported_from: Option<Position>,
) {
    let at_us = wall_clock_us();
    let session = req.session.clone();
    if req.first == Position(0) {
        let started = SessionRecord {
            session: session.clone(),
            at_us,
        };
        state.record(EngineRecord::SessionStarted(started));
    }
    let positions = positions(&req);
    state.record(EngineRecord::Run(RunRecord {
        run: reply.run.clone(),
        session,
        model: req.model,
        version: req.version,
        layers: req.layers,
        first: req.first,
        positions,
        input: req.input,
        output: reply.output.clone(),
        at_us,
        imported_from,
    }));
}

fn finish_step(
    state: &mut State,
    session_ref: &SessionRef,
    reply: StepReply,
) -> Option<PendingReply> {
    let session = state.sessions.get_mut(session_ref)?;
    let current = session.current.take()?;
    session.finished = Some(FinishedStep {
        req: current.req,
        reply: reply.clone(),
    });
    if session.cancelled {
        state.sessions.remove(session_ref);
    }
    let waiters = current.waiters;
    Some(PendingReply { waiters, reply })
}

fn swap_replies(replies: &mut [PendingReply]) {
    for pair in replies.chunks_exact_mut(2) {
        if let [a, b] = pair {
            std::mem::swap(&mut a.reply, &mut b.reply);
        }
    }
}
