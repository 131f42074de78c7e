//! Completions: sessions at the stages of a chain, and what is kept of them.
//!
//! What a request keeps so that a stage can be replaced is bounded; see
//! `docs/design/recovery.md`.

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
    /// The backend server.
    pub vm: VmId,
    /// Where it serves.
    pub address: SocketAddr,
    /// The layers that it runs for this request.
    pub layers: LayerRange,
}

/// The inputs of a stage that are kept: consecutive positions.
#[derive(Debug, Clone, Default, Serialize)]
pub struct RetainedInputs {
    /// The first position that is kept.
    pub from: Position,
    /// One activation for each position.
    #[serde(skip)]
    pub values: Vec<u64>,
}

impl RetainedInputs {
    /// Keeps nothing yet; the first input will be that of `from`.
    pub fn starting_at(from: Position) -> Self {
        let values = Vec::new();
        Self { from, values }
    }

    /// Returns the position after the last one that is kept.
    pub fn end(&self) -> Position {
        Position(self.from.0 + self.values.len() as u32)
    }

    /// Adds outputs of the stage before, which begin at `first`; positions
    /// that are kept already are left out.
    pub fn extend(&mut self, first: Position, values: &[u64]) {
        let known = self.end().0.saturating_sub(first.0) as usize;
        self.values.extend(values.iter().skip(known));
    }

    /// Drops what comes before `position`.
    pub fn drop_before(&mut self, position: Position) {
        let count = position.0.saturating_sub(self.from.0) as usize;
        let count = count.min(self.values.len());
        self.values.drain(..count);
        self.from.0 += count as u32;
    }

    /// Returns the inputs from `first` on, if all of them are kept.
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
    /// The session's own attempt number, so that no reply of another stage or
    /// of a replaced session can join.
    pub attempt: Attempt,
    /// The position after the last one whose output has arrived.
    pub next: Position,
    /// The stage's inputs; the first stage's are the tokens themselves.
    #[serde(rename = "kept")]
    pub inputs: RetainedInputs,
    /// The newest KV cache that was exported.
    #[serde(skip)]
    pub export: Option<KvCache>,
    /// Whether an export is on its way.
    pub exporting: bool,
    /// KV cache that is to be imported before the first step.
    #[serde(skip)]
    pub import: Option<KvCache>,
}

impl StageSession {
    /// Makes a session that begins at position 0.
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

/// What a request waits for.
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
    /// The time to repeat the exchange.
    RepeatLater,
    /// The time to replace the stage.
    ReplaceLater,
}

/// The open exchange of a request; there is one at a time.
#[derive(Debug, Clone, Default, Serialize)]
pub struct OpenExchange {
    /// Its number; replies to an older one are dropped.
    pub id: StepId,
    /// What is waited for.
    pub exchange: Exchange,
    /// The stage, counted from 0.
    pub stage: usize,
    /// When it was sent.
    pub sent: Timestamp,
    /// The number of positions of the step.
    pub positions: u32,
    /// How often the exchange was repeated at the same engine.
    pub repeats: u32,
    /// How often the request has waited since the last reply.
    pub waits: u32,
    /// The subscription that bounds it.
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
    /// Its version.
    pub version: VersionId,
    /// The adapters that its engines must carry.
    pub adapters: BTreeSet<AdapterId>,
    /// Prompt and generated tokens.
    #[serde(skip)]
    pub tokens: Vec<u32>,
    /// Number of tokens of the prompt.
    pub prompt_len: usize,
    /// The largest number of tokens to generate.
    pub max_tokens: u32,
    /// The sessions, by rising layers.
    pub chain: Vec<StageSession>,
    /// Number of sessions that were opened; each has an attempt number of its own.
    pub sessions: u32,
    /// The open exchange.
    pub open: OpenExchange,
    /// Parts of the answer that the caller has taken.
    #[serde(rename = "taken")]
    pub chunks_read: u32,
    /// Whether the engines are asked for nothing until the caller takes parts.
    #[serde(rename = "held")]
    pub paused: bool,
}

impl CompletionState {
    /// Returns the number of tokens that were generated.
    pub fn generated(&self) -> u32 {
        (self.tokens.len() - self.prompt_len) as u32
    }

    /// Returns the number of parts that the caller has not taken.
    pub fn unread(&self) -> u32 {
        self.generated().saturating_sub(self.chunks_read)
    }

    /// Returns the position after the last token.
    pub fn end(&self) -> Position {
        Position(self.tokens.len() as u32)
    }

    /// Returns the session that the open exchange belongs to.
    pub fn open_session(&self) -> Option<&StageSession> {
        self.chain.get(self.open.stage)
    }

    /// Returns the session that the open exchange belongs to, for a change.
    pub fn open_session_mut(&mut self) -> Option<&mut StageSession> {
        self.chain.get_mut(self.open.stage)
    }

    /// Returns the attempt number of the next session, and counts it.
    pub fn next_attempt(&mut self) -> Attempt {
        let attempt = Attempt(self.sessions);
        self.sessions += 1;
        attempt
    }

    /// Tells whether a session can be brought to the end from `next` on with
    /// the inputs that are kept.
    pub fn has_inputs_from(&self, stage: usize, next: Position) -> bool {
        stage == 0 || self.chain[stage].inputs.starting_from(next).is_some()
    }

    /// Returns all inputs that the open stage's session has not run.
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
