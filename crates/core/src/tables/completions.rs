//! Completions: the sessions of a chain's stages and the state kept for
//! recovery.
//!
//! A chain is the list of engines that together run all layers of a model; each
//! of them is a stage. A session is the KV cache that an engine holds for one
//! attempt. The state that a request keeps to replace a failed stage is
//! bounded; see `docs/design/recovery.md`.

use std::{collections::BTreeSet, net::SocketAddr};

use serde::Serialize;

use crate::{
    engine::{KvCache, StageInput},
    ids::{AdapterId, Attempt, LayerRange, ModelId, PipelineId, Position, StepId, VersionId, VmId},
    time::{TimerId, Timestamp},
};

/// One stage of a chain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Stage {
    /// The backend server that runs the stage.
    pub vm: VmId,
    /// The address at which it serves requests.
    pub address: SocketAddr,
    /// The layers that it runs for this request.
    pub layers: LayerRange,
}

/// Inputs of a stage for consecutive positions, kept to replay them on a
/// replacement engine.
#[derive(Debug, Clone, Default, Serialize)]
pub struct RetainedInputs {
    /// The first position that is kept.
    pub from: Position,
    /// One activation per position.
    #[serde(skip)]
    pub values: Vec<u64>,
}

impl RetainedInputs {
    /// Creates an empty buffer whose first input will be for position `from`.
    pub fn starting_at(from: Position) -> Self {
        let values = Vec::new();
        Self { from, values }
    }

    /// Returns the position after the last one that is kept.
    pub fn end(&self) -> Position {
        Position(self.from.0 + self.values.len() as u32)
    }

    /// Appends outputs of the previous stage, the first of them for position
    /// `first`. Positions that are already kept are skipped.
    pub fn extend(&mut self, first: Position, values: &[u64]) {
        let already_kept = self.end().0.saturating_sub(first.0) as usize;
        self.values.extend(values.iter().skip(already_kept));
    }

    /// Drops the inputs before `position`.
    pub fn drop_before(&mut self, position: Position) {
        let count = position.0.saturating_sub(self.from.0) as usize;
        let count = count.min(self.values.len());
        self.values.drain(..count);
        self.from.0 += count as u32;
    }

    /// Returns the inputs from position `first` on, or `None` if some of them
    /// are no longer kept.
    pub fn starting_from(&self, first: Position) -> Option<&[u64]> {
        let skip = first.0.checked_sub(self.from.0)?;
        self.values.get(skip as usize..)
    }
}

/// A session of this request at one stage.
#[derive(Debug, Clone, Serialize)]
pub struct StageSession {
    /// The stage.
    pub stage: Stage,
    /// The session's own attempt number. It is unique within the request, which
    /// excludes replies from other stages and from replaced sessions.
    pub attempt: Attempt,
    /// The position after the last one with a received output.
    pub next: Position,
    /// The stage's inputs. They stay empty for the first stage, whose inputs
    /// are the tokens.
    #[serde(rename = "kept")]
    pub inputs: RetainedInputs,
    /// The newest exported KV cache.
    #[serde(skip)]
    pub export: Option<KvCache>,
    /// Whether an export is in progress.
    pub exporting: bool,
    /// KV cache to import before the first step.
    #[serde(skip)]
    pub import: Option<KvCache>,
}

impl StageSession {
    /// Creates a session that begins at position 0.
    pub fn new(stage: Stage, attempt: Attempt) -> Self {
        Self {
            stage,
            attempt,
            next: Position(0),
            inputs: RetainedInputs::default(),
            export: None,
            exporting: false,
            import: None,
        }
    }
}

/// What a request is waiting for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Exchange {
    /// Nothing.
    #[default]
    Nothing,
    /// The reply to a step.
    Step,
    /// The reply to an import.
    Import,
    /// The backoff before the exchange is repeated.
    RepeatLater,
    /// The backoff before the stage is replaced.
    ReplaceLater,
}

/// The open exchange of a request. A request has at most one.
#[derive(Debug, Clone, Default, Serialize)]
pub struct OpenExchange {
    /// The number of the exchange; replies to earlier ones are dropped.
    pub id: StepId,
    /// What the request is waiting for.
    pub exchange: Exchange,
    /// Index of the stage in the chain.
    pub stage: usize,
    /// When the exchange was sent.
    pub sent: Timestamp,
    /// Number of positions of the step.
    pub positions: u32,
    /// Number of times that the exchange was repeated at the same engine.
    pub repeats: u32,
    /// Number of backoffs since the last reply.
    pub waits: u32,
    /// The timer that bounds the exchange or the backoff.
    #[serde(skip)]
    pub timer: Option<TimerId>,
}

/// The state of a completion.
#[derive(Debug, Clone, Serialize)]
pub struct CompletionState {
    /// The pipeline.
    pub pipeline: PipelineId,
    /// The model.
    pub model: ModelId,
    /// The version of the model.
    pub version: VersionId,
    /// The adapters that the engines must have loaded.
    pub adapters: BTreeSet<AdapterId>,
    /// The tokens of the prompt, followed by the generated ones.
    #[serde(skip)]
    pub tokens: Vec<u32>,
    /// Number of tokens in the prompt.
    pub prompt_len: usize,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// The sessions, in ascending order of their layers.
    pub chain: Vec<StageSession>,
    /// Number of sessions opened so far; it provides the attempt numbers.
    pub sessions: u32,
    /// The open exchange.
    pub open: OpenExchange,
    /// Number of chunks of the answer that the caller has read.
    #[serde(rename = "taken")]
    pub chunks_read: u32,
    /// Whether generation is paused until the caller reads more chunks.
    #[serde(rename = "held")]
    pub paused: bool,
}

impl CompletionState {
    /// Returns the number of generated tokens.
    pub fn generated(&self) -> u32 {
        (self.tokens.len() - self.prompt_len) as u32
    }

    /// Returns the number of chunks that the caller has not read yet.
    pub fn unread(&self) -> u32 {
        self.generated().saturating_sub(self.chunks_read)
    }

    /// Returns the position after the last token.
    pub fn end(&self) -> Position {
        Position(self.tokens.len() as u32)
    }

    /// Returns the session of the open exchange.
    pub fn open_session(&self) -> Option<&StageSession> {
        self.chain.get(self.open.stage)
    }

    /// Returns the session of the open exchange, to change it.
    pub fn open_session_mut(&mut self) -> Option<&mut StageSession> {
        self.chain.get_mut(self.open.stage)
    }

    /// Returns a new attempt number for the next session.
    pub fn next_attempt(&mut self) -> Attempt {
        let attempt = Attempt(self.sessions);
        self.sessions += 1;
        attempt
    }

    /// Returns whether the kept inputs allow a new session of the stage to
    /// resume at position `next`.
    pub fn has_inputs_from(&self, stage: usize, next: Position) -> bool {
        stage == 0 || self.chain[stage].inputs.starting_from(next).is_some()
    }

    /// Returns all inputs that the session of the open exchange has not run
    /// yet.
    pub fn open_input(&self) -> Option<StageInput> {
        let session = self.open_session()?;
        if self.open.stage == 0 {
            let tokens = self.tokens.get(session.next.0 as usize..)?;
            return Some(StageInput::Tokens(tokens.to_vec()));
        }
        let values = session.inputs.starting_from(session.next)?;
        Some(StageInput::Activations(values.to_vec()))
    }
}
