//! Reads the platform's configuration stream and VM list, and appends to the
//! stream.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::StatusCode;
use radishhaven_client::HttpError;
use radishhaven_core::message::Event;
use radishhaven_proto::platform::{
    Append, Appended, CONFIG_STREAM, Records, STREAMS_PATH, VMS_PATH, VmList,
};

use crate::host::Host;

/// Maximum number of records requested in one read.
const MAX_RECORDS: u32 = 1_000;
/// Time that is added to the wait at the log to get the timeout of a read. It is
/// also the timeout of a read of the VM list.
const TIMEOUT_MARGIN: Duration = Duration::from_secs(2);
/// Timeout of an append to the log.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum interval at which the node checks whether it has to read the VM list.
/// It bounds the delay until the node takes over from another reader.
const VM_LIST_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of attempts to append one record of a snapshot.
const SNAPSHOT_ATTEMPTS: u32 = 3;
/// Delay before an append is retried.
const APPEND_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Reads the configuration stream until the process ends.
pub(crate) async fn replicate_log(host: Arc<Host>) {
    loop {
        let read = host.with_node_mut(|node| node.next_log_read(host.now()));
        tokio::time::sleep(read.after).await;
        let wait = match read.wait {
            true => host.settings.platform.log_wait,
            false => Duration::ZERO,
        };
        // Peers may have sent records during the delay.
        let from = host
            .with_node_mut(|node| node.next_log_read(host.now()))
            .from;
        read_log(&host, from, wait).await;
    }
}

/// Reads the log once and passes the result to the decision core.
pub(super) async fn read_log(host: &Arc<Host>, from: u64, wait: Duration) {
    let path = format!(
        "{STREAMS_PATH}{CONFIG_STREAM}/records?from={from}&max={MAX_RECORDS}&wait_ms={}",
        wait.as_millis()
    );
    let log = host.settings.platform.log;
    let response = host.http.get::<Records>(log, &path, wait + TIMEOUT_MARGIN);
    match response.await {
        Ok(Records {
            first,
            end,
            records,
        }) => host.handle(Event::ConfigRecords {
            first,
            end,
            records,
        }),
        Err(_) => host.handle(Event::ConfigReadFailed),
    }
}

/// Outcome of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AppendOutcome {
    /// The record is in the log.
    Appended,
    /// The record is not in the log.
    NotAppended,
    /// The log was overloaded; the record is not in it.
    Busy,
    /// The response was lost; the record may be in the log.
    Unknown,
}

/// Appends a record to the configuration stream.
pub(super) async fn append(host: &Host, body: String) -> AppendOutcome {
    let path = format!("{STREAMS_PATH}{CONFIG_STREAM}/records");
    let log = host.settings.platform.log;
    let body = Append { body };
    let sent = host
        .http
        .post::<_, Appended>(log, &path, &body, APPEND_TIMEOUT);
    match sent.await {
        Ok(_) => AppendOutcome::Appended,
        Err(HttpError::NotSent(_)) => AppendOutcome::NotAppended,
        Err(HttpError::Status { status, .. }) if status == StatusCode::TOO_MANY_REQUESTS => {
            AppendOutcome::Busy
        }
        Err(_) => AppendOutcome::Unknown,
    }
}

/// Appends records in order. A failed append is retried; after the last attempt
/// the record is skipped.
pub(crate) fn append_all(host: &Arc<Host>, bodies: Vec<String>) {
    let host = host.clone();
    tokio::spawn(async move {
        for body in bodies {
            for _ in 0..SNAPSHOT_ATTEMPTS {
                if append(&host, body.clone()).await == AppendOutcome::Appended {
                    break;
                }
                tokio::time::sleep(APPEND_RETRY_DELAY).await;
            }
        }
    });
}

/// Reads the VM list whenever the decision core requests it, until the process
/// ends.
pub(crate) async fn poll_vm_list(host: Arc<Host>) {
    let mut last = Bytes::new();
    loop {
        let read = host.with_node_mut(|node| node.next_vms_read(host.now()));
        if !read.after.is_zero() {
            tokio::time::sleep(read.after.min(VM_LIST_POLL_INTERVAL)).await;
            continue;
        }
        host.with_node_mut(|node| node.begin_vms_read(host.now()));
        let vms = host.settings.platform.vms;
        if let Ok(body) = host.http.get_bytes(vms, VMS_PATH, TIMEOUT_MARGIN).await {
            apply_vm_list(&host, body, &mut last, read.accepts_unchanged);
        }
    }
}

/// Passes a VM list to the decision core. If `skip_unchanged` is set, a body that
/// equals the last one is not parsed again.
fn apply_vm_list(host: &Arc<Host>, body: Bytes, last: &mut Bytes, skip_unchanged: bool) {
    if skip_unchanged && body == *last {
        return host.handle(Event::VmListUnchanged);
    }
    if let Ok(list) = serde_json::from_slice::<VmList>(&body) {
        *last = body;
        host.handle(Event::VmList(list));
    }
}
