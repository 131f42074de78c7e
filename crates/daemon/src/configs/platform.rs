//! `[platform]`: where the platform's services are.

use std::{net::SocketAddr, time::Duration};

use crate::settings::Section;

/// `[platform]`; `log` and `vms` must be given.
#[derive(Debug, Clone)]
pub struct PlatformConfig {
    /// The append-only log.
    pub log: SocketAddr,
    /// The VM list.
    pub vms: SocketAddr,
    /// How long one read of the log waits for a new record. Default: 1 s.
    pub log_wait: Duration,
    /// Time between two reads of the VM list, at a node that reads for others.
    /// Default: 3 s.
    pub vms_every: Duration,
}

const DEFAULT_LOG_WAIT: Duration = Duration::from_millis(1_000);
const DEFAULT_VMS_EVERY: Duration = Duration::from_millis(3_000);

impl PlatformConfig {
    pub(crate) fn read(section: &mut Section<'_>) -> Option<Self> {
        let log = section.address("log");
        let vms = section.address("vms");
        let log_wait = section
            .millis("log_wait_ms", 0..=30_000)
            .unwrap_or(DEFAULT_LOG_WAIT);
        let every = section
            .millis("vms_every_ms", 10..=60_000)
            .unwrap_or(DEFAULT_VMS_EVERY);
        Some(Self {
            log: log?,
            vms: vms?,
            log_wait,
            vms_every: every,
        })
    }
}
