//! Settings of health tracking for backend servers.

use std::time::Duration;

/// Controls the ejection of failing and slow backend servers and their return; the
/// INI section `[health]`. The design is described in `docs/design/health.md`.
#[derive(Debug, Clone)]
pub struct HealthConfig {
    /// Number of consecutive failures that eject a backend server. A failure that
    /// proves that the server accepts no work counts twice. Default: 2.
    pub eject_after: u32,
    /// Score, in percent of the worst possible score, at which a backend server is
    /// ejected. Default: 50.
    pub eject_score_percent: u32,
    /// Maximum share of the live backend servers of one stage or service that may
    /// be ejected at the same time, in percent. At least one server always stays
    /// in use. Default: 50.
    pub max_ejected_percent: u32,
    /// Duration of the first ejection. It doubles with each further ejection, and
    /// up to a quarter is added at random. Default: 1 s.
    pub base_ejection_time: Duration,
    /// Upper bound on the doubled duration. Default: 30 s.
    pub max_ejection_time: Duration,
    /// Time after an ejection during which the server receives only probes.
    /// Default: 2 s.
    pub half_open_time: Duration,
    /// Number of requests that probe a backend server after an ejection. Default:
    /// 2.
    pub probes: u32,
    /// Time over which the load of a new or returning backend server rises to its
    /// full share. Default: 5 s.
    pub ramp: Duration,
    /// Half-life of a score: the time in which it halves while there are no new
    /// results. Default: 10 s.
    pub half_life: Duration,
    /// Penalty that routing adds for the worst score, as queueing time in units of
    /// the service time. Default: 4.
    pub max_penalty: u32,
    /// Duration below which a step never counts as slow. Default: 20 ms.
    pub min_slow_step: Duration,
}

impl Default for HealthConfig {
    fn default() -> Self {
        Self {
            eject_after: 2,
            eject_score_percent: 50,
            max_ejected_percent: 50,
            base_ejection_time: Duration::from_secs(1),
            max_ejection_time: Duration::from_secs(30),
            half_open_time: Duration::from_secs(2),
            probes: 2,
            ramp: Duration::from_secs(5),
            half_life: Duration::from_secs(10),
            max_penalty: 4,
            min_slow_step: Duration::from_millis(20),
        }
    }
}
