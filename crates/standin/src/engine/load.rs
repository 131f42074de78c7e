//! The load report, which lags behind the actual load.

use std::{sync::Arc, time::Duration};

use radishhaven_proto::engine::LoadReport;
use tokio::time::Instant;

use super::{Engine, state::State};

/// Interval between two samples of the load.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

impl Engine {
    /// Samples the load for the lifetime of the engine.
    pub(super) async fn sample_load(self: Arc<Self>) {
        loop {
            self.add_sample();
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
    }

    fn add_sample(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        let report = self.current_load(&state);
        state.samples.push_back((now, report));
        // Keeps the newest sample that is at least as old as the lag in front.
        let lag = self.load_lag();
        while state.samples.get(1).is_some_and(|(at, _)| now - *at >= lag) {
            state.samples.pop_front();
        }
    }

    /// Returns the load of the engine as it was before the configured lag.
    ///
    /// If the engine has run for less than the lag, this is its oldest sample.
    pub(super) fn load_report(&self) -> LoadReport {
        let state = self.lock();
        let Some((at, report)) = state.samples.front() else {
            return self.current_load(&state);
        };
        let age_ms = u64::try_from(at.elapsed().as_millis()).unwrap_or(u64::MAX);
        LoadReport {
            age_ms,
            ..report.clone()
        }
    }

    fn load_lag(&self) -> Duration {
        Duration::from_millis(self.cfg.load_lag_ms)
    }

    fn current_load(&self, state: &State) -> LoadReport {
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        LoadReport {
            vm: self.cfg.vm.clone(),
            age_ms: 0,
            queued: count(state.queue.len()),
            running: count(state.running),
            sessions: count(state.sessions.len()),
            step_us: state.step_us,
        }
    }
}
