//! What goes into the decisions and what comes out: events and actions.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    engine::{EngineRefusal, KvCache, SessionRef, StageInput, StepReply},
    ids::{
        Attempt, FencingToken, LayerRange, ModelId, PipelineId, Position, Priority, RequestId,
        RequestKey, Revision, ServiceId, ShardId, StepId, VersionId, VmId,
    },
    node::RequestState,
    orders::{Desired, Held},
    outcome::Outcome,
    peer::{PeerMessage, Sender},
    platform::{Record, VmList},
    watch::Reading,
};

/// What a caller asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum Demand {
    /// Tokens from a pipeline.
    Completion {
        /// The pipeline.
        pipeline: PipelineId,
        /// The prompt's tokens.
        prompt: Vec<u32>,
        /// The largest number of tokens to generate.
        max_tokens: u32,
    },
    /// A call to a plain service.
    Call {
        /// The service.
        service: ServiceId,
        /// The operation.
        operation: String,
        /// Its argument.
        body: serde_json::Value,
    },
}

/// A request as it arrives.
#[derive(Debug, Clone, PartialEq)]
pub struct Submission {
    /// SHA-256 of the bearer token.
    pub token_sha256: [u8; 32],
    /// The id that the caller gave.
    pub id: Option<RequestId>,
    /// The priority that the caller asks for.
    pub priority: Option<Priority>,
    /// The time within which the answer is of use.
    pub timeout: Option<Duration>,
    /// What the caller says of idempotency.
    pub idempotent: Option<bool>,
    /// What the caller asks for.
    pub demand: Demand,
}

/// Why a step or call brought no result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptError {
    /// The backend server was not reached; it has not started anything.
    NotSent,
    /// The backend server refused and ran nothing.
    Refused(EngineRefusal),
    /// The fate is not known: the connection broke or the answer was an error.
    Lost,
    /// The answer was not understood.
    Malformed,
}

/// Something that happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// The node begins; the first event of its life.
    Start,
    /// Time has passed.
    Tick,
    /// A caller sent a request.
    Submit {
        /// Numbers the request; chosen by the edge.
        key: RequestKey,
        /// The request.
        submission: Box<Submission>,
    },
    /// A caller went away before its answer was whole.
    CallerDisconnected {
        /// The request.
        key: RequestKey,
    },
    /// A caller has taken parts of its answer.
    ChunksRead {
        /// The request.
        key: RequestKey,
        /// The number of parts that it has taken so far.
        chunks: u32,
    },
    /// A step ended.
    StepDone {
        /// The request.
        key: RequestKey,
        /// The exchange.
        step: StepId,
        /// The reply, or why there is none.
        result: Result<StepReply, AttemptError>,
    },
    /// An import of KV cache ended.
    ImportDone {
        /// The request.
        key: RequestKey,
        /// The exchange.
        step: StepId,
        /// Nothing, or why the session was not opened.
        result: Result<(), AttemptError>,
    },
    /// An export of KV cache ended.
    ExportDone {
        /// The request.
        key: RequestKey,
        /// The session that was exported.
        session: SessionRef,
        /// The cache, or why there is none.
        result: Result<KvCache, AttemptError>,
    },
    /// A call to a plain service ended.
    CallDone {
        /// The request.
        key: RequestKey,
        /// The attempt that the call belonged to.
        attempt: Attempt,
        /// The reply, or why there is none.
        result: Result<serde_json::Value, AttemptError>,
    },
    /// The log gave configuration records.
    ConfigRecords {
        /// The lowest offset that the log keeps.
        first: u64,
        /// The offset of the next append.
        end: u64,
        /// The records.
        records: Vec<Record>,
    },
    /// The log gave records of leases.
    LeaseRecords {
        /// The lowest offset that the log keeps.
        first: u64,
        /// The offset of the next append.
        end: u64,
        /// The records.
        records: Vec<Record>,
    },
    /// An engine said what it holds, or did not answer.
    HoldingsRead {
        /// The engine's VM.
        vm: VmId,
        /// What it holds.
        held: Option<Held>,
    },
    /// A watched engine answered, or did not.
    WatchedRead {
        /// The engine's VM.
        vm: VmId,
        /// Where it was asked.
        address: SocketAddr,
        /// What it said.
        reading: Option<Reading>,
    },
    /// The log did not answer.
    ConfigReadFailed,
    /// The platform gave the VM list.
    VmList(VmList),
    /// The platform gave the same VM list as at this node's last read.
    VmListUnchanged,
    /// Another node sent a message.
    Peer {
        /// The sender, whose key was checked.
        from: Sender,
        /// The message.
        message: PeerMessage,
    },
    /// Another node can't be reached; messages to it were dropped.
    PeerUnreachable {
        /// The node's VM.
        vm: VmId,
    },
    /// A caller asks what became of a request.
    StatusQuery {
        /// Numbers the question; chosen by the edge as for a request.
        key: RequestKey,
        /// The request.
        id: RequestId,
    },
    /// The node was told to shut down gracefully.
    Drain,
}

/// One step to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StepSpec {
    /// The session.
    pub session: SessionRef,
    /// The model.
    pub model: ModelId,
    /// Its version.
    pub version: VersionId,
    /// The layers to run.
    pub layers: LayerRange,
    /// The first position.
    pub first: Position,
    /// One value for each position.
    pub input: StageInput,
    /// The request's priority.
    pub priority: Priority,
    /// The time that is left.
    pub timeout: Duration,
}

/// Part of an answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The request was admitted under this id.
    Admitted {
        /// The request's id.
        id: RequestId,
    },
    /// The text of one token.
    Delta {
        /// Counts the deltas from 0.
        index: u32,
        /// The text.
        text: String,
    },
    /// The end: every request gets exactly one.
    Done(Done),
    /// The answer to [`Event::Inquire`].
    Status(RequestState),
}

/// The end of an answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Done {
    /// The request's id, if it has one.
    pub id: Option<RequestId>,
    /// What became of the request.
    pub outcome: Outcome,
    /// The number of tokens that were generated.
    pub tokens: u32,
    /// SHA-256 of the whole text, in hex.
    pub digest: String,
    /// The result of a call.
    pub body: Option<serde_json::Value>,
    /// How long the caller should wait before it asks again.
    pub retry_after: Option<Duration>,
    /// What happened, for a person.
    pub message: String,
}

/// Something to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a step; its end comes back as [`Event::StepDone`].
    Step {
        /// The request.
        key: RequestKey,
        /// The exchange.
        step: StepId,
        /// Where the engine serves.
        address: SocketAddr,
        /// The step.
        spec: Box<StepSpec>,
    },
    /// Open a session from KV cache; the end comes back as [`Event::ImportDone`].
    Import {
        /// The request.
        key: RequestKey,
        /// The exchange.
        step: StepId,
        /// Where the engine serves.
        address: SocketAddr,
        /// The session to open.
        session: SessionRef,
        /// The cache.
        cache: Box<KvCache>,
        /// The time that is left.
        timeout: Duration,
    },
    /// Export a session's KV cache; the end comes back as [`Event::ExportDone`].
    Export {
        /// The request.
        key: RequestKey,
        /// Where the engine serves.
        address: SocketAddr,
        /// The session.
        session: SessionRef,
        /// The time that is left.
        timeout: Duration,
    },
    /// Tell an engine that a session is over; no answer is awaited.
    EndSession {
        /// Where the engine serves.
        address: SocketAddr,
        /// The session.
        session: SessionRef,
    },
    /// Send a call; its end comes back as [`Event::CallDone`].
    Call {
        /// The request.
        key: RequestKey,
        /// The attempt.
        attempt: Attempt,
        /// Where the service serves.
        address: SocketAddr,
        /// The backend server.
        vm: VmId,
        /// The request's id.
        id: RequestId,
        /// The operation.
        operation: String,
        /// Its argument.
        body: serde_json::Value,
        /// The time that is left.
        timeout: Duration,
    },
    /// Append a record to the lease stream; no answer is awaited.
    AppendLease {
        /// The record.
        body: String,
    },
    /// Ask an engine what it holds; the answer comes back as [`Event::Held`].
    ReadHoldings {
        /// The engine's VM.
        vm: VmId,
        /// Where it serves.
        address: SocketAddr,
    },
    /// Read a watched engine; the answer comes back as [`Event::Watched`].
    ReadWatched {
        /// The engine's VM.
        vm: VmId,
        /// Where it serves.
        address: SocketAddr,
        /// Whether to read its load too.
        load: bool,
        /// The time that the reads may take.
        timeout: Duration,
    },
    /// Order an engine to hold something, if the lease is still held at the
    /// moment of sending; no answer is awaited.
    SendOrder {
        /// Where the engine serves.
        address: SocketAddr,
        /// The shard whose lease covers the engine.
        shard: ShardId,
        /// The lease's token.
        token: FencingToken,
        /// What the engine is to hold.
        desired: Box<Desired>,
    },
    /// Send a message to another node.
    Peer {
        /// The node's VM.
        to: VmId,
        /// Where it listens for peers.
        address: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// Tell the operators that the node waits and does not serve.
    WarnNotReady {
        /// How long it has waited.
        waited: Duration,
        /// The newest revision that a peer holds.
        newest: Revision,
    },
    /// Append records to the log's configuration stream, in order.
    AppendConfig {
        /// The records' bodies.
        bodies: Vec<String>,
    },
    /// Give the caller a part of its answer.
    Reply {
        /// The request.
        key: RequestKey,
        /// The part.
        reply: Reply,
    },
}
