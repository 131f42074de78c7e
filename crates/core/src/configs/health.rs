//! Settings of the health of backend servers.

use std::time::Duration;

/// Shapes how failing and slow backend servers lose work and get it back; the
/// INI section `[health]`. The design note is `docs/design/health.md`.
#[derive(Debug, Clone)]
pub struct HealthConfig {
    /// Failures in a row that eject a backend server; one that proves that it
    /// takes no work counts as two. Default: 2.
    pub eject_after: u32,
    /// Score, in percent of the worst, that ejects a backend server. Default: 50.
    pub eject_score_percent: u32,
    /// Share of the live backend servers of one stage or service that may be
    /// ejected at one time, in percent; one always stays in. Default: 50.
    pub max_ejected_percent: u32,
    /// Time of the first ejection; it doubles with each further one, and is
    /// made up to a quarter longer at random. Default: 1 s.
    pub base_ejection_time: Duration,
    /// Bound on the doubled time. Default: 30 s.
    pub max_ejection_time: Duration,
    /// Time after an ejection in which only probes are sent. Default: 2 s.
    pub half_open_time: Duration,
    /// Requests that probe a backend server after an ejection. Default: 2.
    pub probes: u32,
    /// Time over which a backend server that is new or returns gets its part.
    /// Default: 5 s.
    pub ramp: Duration,
    /// Time in which a score without news falls by half. Default: 10 s.
    pub half_life: Duration,
    /// Waiting that the worst score counts as, in service times. Default: 4.
    pub max_penalty: u32,
    /// Time under which no step counts as slow. Default: 20 ms.
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
