//! `[platform]`: addresses of the platform's services and how often the node
//! reads them.

use std::{net::SocketAddr, time::Duration};

use crate::settings::Section;

/// `[platform]`; `log` and `vms` are required.
#[derive(Debug, Clone)]
pub struct PlatformConfig {
    /// Address of the append-only log.
    pub log: SocketAddr,
    /// Address of the VM list.
    pub vms: SocketAddr,
    /// Time for which one read of the log waits for a new record. Default: 1 s.
    pub log_wait: Duration,
    /// Interval at which a node that reads the VM list on behalf of others
    /// reads it. Default: 3 s.
    pub vms_read_interval: Duration,
}

const DEFAULT_LOG_WAIT: Duration = Duration::from_millis(1_000);
const DEFAULT_VMS_READ_INTERVAL: Duration = Duration::from_millis(3_000);

impl PlatformConfig {
    pub(crate) fn read(section: &mut Section<'_>) -> Option<Self> {
        let log = section.address("log");
        let vms = section.address("vms");
        let log_wait = section
            .millis("log_wait_ms", 0..=30_000)
            .unwrap_or(DEFAULT_LOG_WAIT);
        let vms_read_interval = section
            .millis("vms_every_ms", 10..=60_000)
            .unwrap_or(DEFAULT_VMS_READ_INTERVAL);
        Some(Self {
            log: log?,
            vms: vms?,
            log_wait,
            vms_read_interval,
        })
    }
}
