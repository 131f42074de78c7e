//! Follows the platform: the log's configuration stream and the VM list.

use std::{sync::Arc, time::Duration};

use radishhaven_core::message::Event;
use radishhaven_proto::platform::{CONFIG_STREAM, Records, STREAMS_PATH, VMS_PATH, VmList};

use crate::host::Host;

/// Records asked for in one read.
const MAX_RECORDS: u32 = 1_000;
/// Time beyond the log's own wait after which a read counts as failed.
const READ_SLACK: Duration = Duration::from_secs(2);
/// Pause after a read that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);

/// Reads the configuration stream for as long as the process runs.
pub(crate) async fn follow_log(host: Arc<Host>) {
    let cfg = host.settings.platform.clone();
    let mut wait = Duration::ZERO;
    loop {
        let from = host.read(|node| node.tables().config.revision().0);
        let path = format!(
            "{STREAMS_PATH}{CONFIG_STREAM}/records?from={from}&max={MAX_RECORDS}&wait_ms={}",
            wait.as_millis()
        );
        match host
            .http
            .get::<Records>(cfg.log, &path, wait + READ_SLACK)
            .await
        {
            Ok(Records {
                first,
                end,
                records,
            }) => {
                host.handle(Event::ConfigRecords {
                    first,
                    end,
                    records,
                });
                wait = cfg.log_wait;
            }
            Err(_) => {
                host.handle(Event::ConfigReadFailed);
                tokio::time::sleep(FAILURE_PAUSE).await;
            }
        }
    }
}

/// Reads the VM list for as long as the process runs.
pub(crate) async fn follow_vms(host: Arc<Host>) {
    let cfg = host.settings.platform.clone();
    loop {
        if let Ok(list) = host.http.get::<VmList>(cfg.vms, VMS_PATH, READ_SLACK).await {
            host.handle(Event::VmList(list));
        }
        tokio::time::sleep(cfg.vms_every).await;
    }
}
