//! Counts the memory of responses that are received from backend servers, and ends some
//! when `radishhaven_core::gateway::response_usage` decides so.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use http_body::Body as _;
use http_body_util::BodyExt;
use radishhaven_client::{BodyBuffer, BodyTooLarge, ResponseBody};
use radishhaven_core::gateway::response_usage::{
    ResponseFit, ResponseId, ResponseSize, ResponseUsage,
};
use tokio::sync::Notify;

use super::{caller_account::CallerAccount, host::lock, settings::VmLimits};

/// Largest response that is buffered, in bytes. A server that sends more fails,
/// and its connection is closed, so that endless bytes don't fill the memory.
const MAX_RESPONSE_BYTES: usize = 2 * 1024 * 1024;

/// Why a response was not read to its end.
#[derive(Debug, thiserror::Error)]
pub(super) enum ReadResponseError {
    /// It is larger than a response may be.
    #[error(transparent)]
    TooLarge(#[from] BodyTooLarge),
    /// The memory for responses is used up.
    #[error(transparent)]
    NoMemory(#[from] NoResponseMemory),
    /// The connection broke, or the bytes do not follow the protocol.
    #[error("{0}")]
    Broken(#[from] hyper::Error),
}

/// The memory for responses is used up, and others go before this one.
#[derive(Debug, thiserror::Error)]
#[error("no memory is left for the response")]
pub(super) struct NoResponseMemory;

#[derive(Debug)]
struct MemoryState {
    usage: ResponseUsage,
    /// Tells the readers of responses that they must end.
    ends: BTreeMap<ResponseId, Arc<Notify>>,
}

/// The memory of the responses that this process is receiving.
#[derive(Debug)]
pub(super) struct ResponseMemory {
    state: Mutex<MemoryState>,
    callers: Arc<CallerAccount>,
}

impl ResponseMemory {
    pub(super) fn new(limits: VmLimits, callers: Arc<CallerAccount>) -> Self {
        let memory = u64::from(limits.memory_mb) * 1_000_000;
        let state = MemoryState {
            usage: ResponseUsage::new(memory),
            ends: BTreeMap::new(),
        };
        Self {
            state: Mutex::new(state),
            callers,
        }
    }

    /// Returns the bytes that responses take, and those that they may take.
    pub(super) fn usage(&self) -> (u64, u64) {
        let state = lock(&self.state);
        (state.usage.bytes(), state.usage.bound())
    }

    /// Counts a response until the returned value is dropped.
    pub(super) fn open(self: &Arc<Self>, size: ResponseSize) -> ReceivedResponse {
        let end = Arc::new(Notify::new());
        let mut state = lock(&self.state);
        let id = state.usage.open(size);
        state.ends.insert(id, end.clone());
        drop(state);
        ReceivedResponse {
            memory: self.clone(),
            id,
            end,
        }
    }

    /// Reads the body of a response to its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the body breaks off, or if there is no memory for it.
    pub(super) async fn read(
        self: &Arc<Self>,
        mut body: ResponseBody,
    ) -> Result<bytes::Bytes, ReadResponseError> {
        let stated = body.size_hint().exact();
        if stated.is_some_and(|size| size > MAX_RESPONSE_BYTES as u64) {
            let limit = MAX_RESPONSE_BYTES;
            return Err(BodyTooLarge { limit }.into());
        }
        let size = match stated {
            Some(_) => ResponseSize::Stated,
            None => ResponseSize::Open,
        };
        let received = self.open(size);
        let mut buf = BodyBuffer::new(0, MAX_RESPONSE_BYTES);
        loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = received.ended() => return Err(NoResponseMemory.into()),
            };
            let Some(frame) = frame else {
                return Ok(buf.into_bytes());
            };
            // Trailers are not forwarded.
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            let growth = buf.growth(data.len())?;
            if growth > 0 {
                received.resize(buf.capacity() + growth)?;
            }
            buf.push(&data)?;
        }
    }
}

/// A response that is being received.
#[derive(Debug)]
pub(super) struct ReceivedResponse {
    memory: Arc<ResponseMemory>,
    id: ResponseId,
    end: Arc<Notify>,
}

impl ReceivedResponse {
    /// Counts `bytes` of memory for the response from now on.
    pub(super) fn resize(&self, bytes: usize) -> Result<(), NoResponseMemory> {
        let excess = self.memory.callers.excess_bytes();
        let mut state = lock(&self.memory.state);
        match state.usage.resize(self.id, bytes as u64, excess) {
            ResponseFit::After(ended) => {
                for id in ended {
                    if let Some(end) = state.ends.get(&id) {
                        end.notify_one();
                    }
                }
                Ok(())
            }
            ResponseFit::Refused => Err(NoResponseMemory),
        }
    }

    /// Waits until the response must end, since others need the memory.
    pub(super) async fn ended(&self) {
        self.end.notified().await;
    }
}

impl Drop for ReceivedResponse {
    fn drop(&mut self) {
        let mut state = lock(&self.memory.state);
        state.usage.close(self.id);
        state.ends.remove(&self.id);
    }
}
