//! Faults that can be injected into an engine.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::control::Faults;

/// A fault of an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "fault")]
pub enum EngineFault {
    /// The engine neither runs steps nor sends responses while the fault is active;
    /// connections stay open.
    Stall,
    /// Steps are slowed down.
    Slow {
        /// Factor that multiplies the processing time of steps.
        factor: f64,
    },
    /// The link is slowed down.
    SlowLink {
        /// Additional delay in each direction, in microseconds.
        delay_us: u64,
    },
    /// The next `n` steps run but return status 500.
    LoseReplyNext {
        /// Number of remaining steps that the fault affects.
        n: u32,
    },
    /// The replies of two steps of the same batch are swapped.
    Crossed,
    /// The next `n` steps run but return the previous reply of the engine.
    DuplicateReplyNext {
        /// Number of remaining steps that the fault affects.
        n: u32,
    },
    /// Replies to steps are delayed.
    LateReplies {
        /// The delay in milliseconds.
        delay_ms: u64,
    },
    /// New sessions and imports are refused with the reply of a leaving engine.
    RefuseSessions,
    /// KV export and import return status 500 and have no effect.
    KvFails,
}

impl Faults<EngineFault> {
    /// Waits until no stall is active.
    pub(super) async fn wait_while_stalled(&self) {
        self.wait_while(|f| *f == EngineFault::Stall).await;
    }

    /// Returns the factor that multiplies the processing time of steps.
    pub(super) fn slow_factor(&self) -> f64 {
        let factor = self.find(|f| match f {
            EngineFault::Slow { factor } => Some(*factor),
            _ => None,
        });
        factor.filter(|f| f.is_finite()).unwrap_or(1.0).max(0.0)
    }

    /// Returns the additional link delay in each direction.
    pub(super) fn link_delay(&self) -> Duration {
        let us = self.find(|f| match f {
            EngineFault::SlowLink { delay_us } => Some(*delay_us),
            _ => None,
        });
        Duration::from_micros(us.unwrap_or(0))
    }

    /// Returns the delay of replies to steps.
    pub(super) fn reply_delay(&self) -> Duration {
        let ms = self.find(|f| match f {
            EngineFault::LateReplies { delay_ms } => Some(*delay_ms),
            _ => None,
        });
        Duration::from_millis(ms.unwrap_or(0))
    }

    /// Returns whether the reply of this step is lost, and decrements the counter of
    /// the fault if so.
    pub(super) fn consume_lost_reply(&self) -> bool {
        self.consume(|f| match f {
            EngineFault::LoseReplyNext { n } => Some(n),
            _ => None,
        })
    }

    /// Returns whether this step returns the previous reply, and decrements the
    /// counter of the fault if so.
    pub(super) fn consume_duplicate_reply(&self) -> bool {
        self.consume(|f| match f {
            EngineFault::DuplicateReplyNext { n } => Some(n),
            _ => None,
        })
    }
}
