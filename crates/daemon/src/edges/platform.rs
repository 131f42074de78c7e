//! Follows the platform: the log's configuration stream and the VM list.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::StatusCode;
use radishhaven_client::HttpError;
use radishhaven_core::message::Event;
use radishhaven_proto::platform::{
    Append, Appended, CONFIG_STREAM, Records, STREAMS_PATH, VMS_PATH, VmList,
};

use crate::host::Host;

/// Records asked for in one read.
const MAX_RECORDS: u32 = 1_000;
/// Time beyond the log's own wait after which a read counts as failed.
const READ_SLACK: Duration = Duration::from_secs(2);
/// Time within which the log should confirm an append.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time until a change of who reads the VM list is noticed.
const VMS_POLL: Duration = Duration::from_millis(250);
/// Appends of one record of a snapshot, the first one included.
const SNAPSHOT_ATTEMPTS: u32 = 3;
/// Pause before an append is tried again.
const APPEND_PAUSE: Duration = Duration::from_millis(200);

/// Reads the configuration stream for as long as the process runs.
pub(crate) async fn follow_log(host: Arc<Host>) {
    loop {
        let read = host.with(|node| node.next_log_read(host.now()));
        tokio::time::sleep(read.after).await;
        let wait = match read.wait {
            true => host.settings.platform.log_wait,
            false => Duration::ZERO,
        };
        // Peers may have brought records during the pause.
        let from = host.with(|node| node.next_log_read(host.now())).from;
        read_log(&host, from, wait).await;
    }
}

/// Reads the log once and hands the answer to the decisions.
pub(super) async fn read_log(host: &Arc<Host>, from: u64, wait: Duration) {
    let path = format!(
        "{STREAMS_PATH}{CONFIG_STREAM}/records?from={from}&max={MAX_RECORDS}&wait_ms={}",
        wait.as_millis()
    );
    let log = host.settings.platform.log;
    let answer = host.http.get::<Records>(log, &path, wait + READ_SLACK);
    match answer.await {
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

/// What is known of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AppendEnd {
    /// The record is in the log.
    Appended,
    /// The record is not in the log.
    NotAppended,
    /// The log was too busy; the record is not in it.
    Busy,
    /// The answer was lost.
    Unknown,
}

/// Appends a record to the configuration stream.
pub(super) async fn append(host: &Host, body: String) -> AppendEnd {
    let path = format!("{STREAMS_PATH}{CONFIG_STREAM}/records");
    let log = host.settings.platform.log;
    let body = Append { body };
    let sent = host
        .http
        .post::<_, Appended>(log, &path, &body, APPEND_TIMEOUT);
    match sent.await {
        Ok(_) => AppendEnd::Appended,
        Err(HttpError::NotSent(_)) => AppendEnd::NotAppended,
        Err(HttpError::Status { status, .. }) if status == StatusCode::TOO_MANY_REQUESTS => {
            AppendEnd::Busy
        }
        Err(_) => AppendEnd::Unknown,
    }
}

/// Appends records one after the other; a record that can't be appended ends it.
pub(crate) fn append_all(host: &Arc<Host>, bodies: Vec<String>) {
    let host = host.clone();
    tokio::spawn(async move {
        for body in bodies {
            for _ in 0..SNAPSHOT_ATTEMPTS {
                if append(&host, body.clone()).await == AppendEnd::Appended {
                    break;
                }
                tokio::time::sleep(APPEND_PAUSE).await;
            }
        }
    });
}

/// Reads the VM list whenever the decisions want it, for as long as the
/// process runs.
pub(crate) async fn follow_vms(host: Arc<Host>) {
    let mut last = Bytes::new();
    loop {
        let read = host.with(|node| node.next_vms_read(host.now()));
        if !read.after.is_zero() {
            tokio::time::sleep(read.after.min(VMS_POLL)).await;
            continue;
        }
        host.with(|node| node.begin_vms_read(host.now()));
        let vms = host.settings.platform.vms;
        if let Ok(body) = host.http.get_bytes(vms, VMS_PATH, READ_SLACK).await {
            take_vms(&host, body, &mut last, read.accepts_unchanged);
        }
    }
}

/// Hands an answer to the decisions; one that is the same as the last is not
/// read again.
fn take_vms(host: &Arc<Host>, body: Bytes, last: &mut Bytes, accepts_unchanged: bool) {
    if accepts_unchanged && body == *last {
        return host.handle(Event::VmListUnchanged);
    }
    if let Ok(list) = serde_json::from_slice::<VmList>(&body) {
        *last = body;
        host.handle(Event::VmList(list));
    }
}
