//! Ways in which an engine fails on request.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::control::Faults;

/// A way in which an engine fails.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "fault")]
pub enum EngineFault {
    /// Nothing is run or answered while this is in force; connections stay open.
    Stall,
    /// Steps take longer.
    Slow {
        /// The factor by which the time of a step grows.
        factor: f64,
    },
    /// The link takes longer.
    SlowLink {
        /// The added time each way in microseconds.
        delay_us: u64,
    },
    /// Steps are run and answered by 500.
    LoseReplyNext {
        /// The number of steps that are still to be hit.
        n: u32,
    },
    /// Answers of two steps of the same batch are swapped.
    Crossed,
    /// Steps are run and answered by the reply that the engine gave before.
    DuplicateReplyNext {
        /// The number of steps that are still to be hit.
        n: u32,
    },
    /// Replies to steps leave late.
    LateReplies {
        /// The added time in milliseconds.
        delay_ms: u64,
    },
    /// New sessions and imports are refused as on a leaving engine.
    RefuseSessions,
    /// KV export and import answer 500 and have no effect.
    KvFails,
}

impl Faults<EngineFault> {
    /// Waits until no stall is in force.
    pub(super) async fn wait_unstalled(&self) {
        self.wait_while(|f| *f == EngineFault::Stall).await;
    }

    /// Returns the factor by which steps are slowed.
    pub(super) fn slow_factor(&self) -> f64 {
        let factor = self.find(|f| match f {
            EngineFault::Slow { factor } => Some(*factor),
            _ => None,
        });
        factor.filter(|f| f.is_finite()).unwrap_or(1.0).max(0.0)
    }

    /// Returns the time that a slow link adds each way.
    pub(super) fn link_delay(&self) -> Duration {
        let us = self.find(|f| match f {
            EngineFault::SlowLink { delay_us } => Some(*delay_us),
            _ => None,
        });
        Duration::from_micros(us.unwrap_or(0))
    }

    /// Returns the time that replies to steps are held back.
    pub(super) fn reply_delay(&self) -> Duration {
        let ms = self.find(|f| match f {
            EngineFault::LateReplies { delay_ms } => Some(*delay_ms),
            _ => None,
        });
        Duration::from_millis(ms.unwrap_or(0))
    }

    /// Tells whether this step's reply is to be lost.
    pub(super) fn take_lost_reply(&self) -> bool {
        self.consume(|f| match f {
            EngineFault::LoseReplyNext { n } => Some(n),
            _ => None,
        })
    }

    /// Tells whether this step's reply is to repeat an earlier one.
    pub(super) fn take_duplicate_reply(&self) -> bool {
        self.consume(|f| match f {
            EngineFault::DuplicateReplyNext { n } => Some(n),
            _ => None,
        })
    }
}
