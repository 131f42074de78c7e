//! The requests that one node may send to a limited server.

use std::time::Duration;

use crate::time::Timestamp;

/// Time for which credit grows while no request looks for the server. Credit that
/// was saved up for longer would be used at once by all nodes.
const MAX_ACCRUAL_TIME: Duration = Duration::from_secs(1);

/// Credit in requests, which grows with time.
#[derive(Debug)]
pub(super) struct Credit {
    requests: f64,
    /// When it last grew.
    grown_at: Timestamp,
}

impl Credit {
    /// Creates an empty credit.
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            requests: 0.0,
            grown_at: now,
        }
    }

    /// Adds what has become due at `rate` requests per second since the last call. At
    /// most the requests of [`MAX_ACCRUAL_TIME`] and the rest of one are kept.
    pub(super) fn accrue(&mut self, now: Timestamp, rate: f64) {
        let elapsed = now.since(self.grown_at).min(MAX_ACCRUAL_TIME);
        let max = rate * MAX_ACCRUAL_TIME.as_secs_f64();
        self.requests = (self.requests + rate * elapsed.as_secs_f64()).min(max);
        self.grown_at = now;
    }

    /// Decides whether a request may be sent. Credit below one is staked: the request
    /// may be sent with that probability, and the credit is lost if it may not.
    /// `draw` is a random number in `0.0..1.0`.
    pub(super) fn draw(&mut self, draw: f64) -> bool {
        let may_send = draw < self.requests;
        if !may_send {
            self.requests = 0.0;
        }
        may_send
    }

    /// Takes the credit of a request that was sent.
    pub(super) fn charge(&mut self) {
        self.requests = (self.requests - 1.0).max(0.0);
    }
}
