//! The violations that the checker reports.

use radishhaven_core::{
    engine::SessionRef,
    ids::{Position, RequestId, VmId},
};

/// A violated invariant.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// A token was delivered, but no chain of runs covers all layers in order.
    #[error("{request}: no chain of runs gives the layers from {layer} on at position {position}")]
    LayerMissing {
        /// The request.
        request: RequestId,
        /// The position.
        position: Position,
        /// The first layer that no run covers.
        layer: u16,
    },
    /// A session ran positions twice or skipped some.
    #[error("{session:?} on {vm}: runs at {found} where {expected} is next")]
    PositionsNotConsecutive {
        /// The engine's VM.
        vm: VmId,
        /// The session.
        session: SessionRef,
        /// The position that the session had to run next.
        expected: Position,
        /// The position that the session ran.
        found: Position,
    },
    /// The input of a run does not come from an earlier layer of its own request.
    #[error("{session:?}: the input at {position} belongs to no run of its request")]
    UnexpectedInput {
        /// The session.
        session: SessionRef,
        /// The position.
        position: Position,
    },
    /// The text is not a prefix of the expected answer.
    #[error("{request}: the text is {found:?} where {expected:?} is right")]
    WrongText {
        /// The request.
        request: RequestId,
        /// The received text.
        found: String,
        /// The expected text.
        expected: String,
    },
    /// A completed answer is missing the end of the expected text.
    #[error("{request}: completed with {found:?} where {expected:?} is right")]
    IncompleteText {
        /// The request.
        request: RequestId,
        /// The received text.
        found: String,
        /// The expected text.
        expected: String,
    },
    /// The answer has the id of another request.
    #[error("{request}: the answer names {found}")]
    WrongRequestId {
        /// The request.
        request: RequestId,
        /// The request id in the answer.
        found: RequestId,
    },
    /// A call completed, but no service recorded that it finished the call.
    #[error("{request}: completed with a result that no service gave for it")]
    UnrecordedResult {
        /// The request.
        request: RequestId,
    },
    /// One answer to a request states that it completed, another that it was not
    /// run.
    #[error("{request}: told as not run and as completed")]
    ContradictoryOutcomes {
        /// The request.
        request: RequestId,
    },
    /// A request was started although its outcome was "not run".
    #[error("{request}: told as not run, but {vm} started it")]
    StartedDespiteNotRun {
        /// The request.
        request: RequestId,
        /// The VM that started it.
        vm: VmId,
    },
    /// A non-idempotent request was started more than once.
    #[error("{request}: started {starts} times")]
    StartedMoreThanOnce {
        /// The request.
        request: RequestId,
        /// The number of starts.
        starts: usize,
    },
    /// A leaving backend server received a new request after the grace period.
    #[error("{request}: started on {vm} {late_us} us after the time for leaving")]
    StartedOnLeavingServer {
        /// The request.
        request: RequestId,
        /// The backend server.
        vm: VmId,
        /// Time of the start after the end of the grace period, in microseconds.
        late_us: u64,
    },
    /// A request did not complete, although only planned stops occurred.
    #[error("{request:?}: not completed, though all stops were planned")]
    InterruptedByPlannedStop {
        /// The request id, if the caller had one.
        request: Option<RequestId>,
    },
}
