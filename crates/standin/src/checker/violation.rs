//! What the checker finds.

use radishhaven_core::{
    engine::SessionRef,
    ids::{Position, RequestId, VmId},
};

/// One violated invariant.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// A token was delivered although no runs, in order, cover all layers.
    #[error("{request}: no chain of runs gives the layers from {layer} on at position {position}")]
    LayerMissing {
        /// The request.
        request: RequestId,
        /// The position.
        position: Position,
        /// The first layer that nothing ran.
        layer: u16,
    },
    /// A session ran positions twice, or left some out.
    #[error("{session:?} on {vm}: runs at {found} where {expected} is next")]
    PositionsNotConsecutive {
        /// The engine's VM.
        vm: VmId,
        /// The session.
        session: SessionRef,
        /// The next position.
        expected: Position,
        /// The position that was run.
        found: Position,
    },
    /// A run took in what no earlier layer of its own request gave.
    #[error("{session:?}: the input at {position} belongs to no run of its request")]
    UnexpectedInput {
        /// The session.
        session: SessionRef,
        /// The position.
        position: Position,
    },
    /// The text is not the start of the right answer.
    #[error("{request}: the text is {found:?} where {expected:?} is right")]
    WrongText {
        /// The request.
        request: RequestId,
        /// The text that arrived.
        found: String,
        /// The right answer.
        expected: String,
    },
    /// A completed answer lacks a part.
    #[error("{request}: completed with {found:?} where {expected:?} is right")]
    IncompleteText {
        /// The request.
        request: RequestId,
        /// The text that arrived.
        found: String,
        /// The right answer.
        expected: String,
    },
    /// The answer names another request.
    #[error("{request}: the answer names {found}")]
    WrongRequestId {
        /// The request.
        request: RequestId,
        /// The request that the answer names.
        found: RequestId,
    },
    /// A call completed although no service ran it.
    #[error("{request}: completed with a result that no service gave for it")]
    UnrecordedResult {
        /// The request.
        request: RequestId,
    },
    /// Two answers to one request contradict each other.
    #[error("{request}: told as not run and as completed")]
    ContradictoryOutcomes {
        /// The request.
        request: RequestId,
    },
    /// A request that was told as not run was started.
    #[error("{request}: told as not run, but {vm} started it")]
    StartedDespiteNotRun {
        /// The request.
        request: RequestId,
        /// Where it was started.
        vm: VmId,
    },
    /// A call that is not idempotent was started more than once.
    #[error("{request}: started {starts} times")]
    StartedMoreThanOnce {
        /// The request.
        request: RequestId,
        /// How often.
        starts: usize,
    },
    /// A leaving backend server got new work.
    #[error("{request}: started on {vm} {late_us} us after the time for leaving")]
    StartedOnLeavingServer {
        /// The request.
        request: RequestId,
        /// The backend server.
        vm: VmId,
        /// Time after the last allowed moment, in microseconds.
        late_us: u64,
    },
    /// A planned stop, and nothing else, kept a request from its end.
    #[error("{request:?}: not completed, though all stops were planned")]
    InterruptedByPlannedStop {
        /// The request, if it had an id.
        request: Option<RequestId>,
    },
}
