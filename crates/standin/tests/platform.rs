//! Tests of the fake platform stores and the fake plain service: they follow their
//! protocols, and injected faults take effect.

mod common;

use common::{get, post, start};
use http::StatusCode;
use radishhaven_proto::{
    platform::{Append, Appended, Records, VMS_PATH, Vm, VmList, VmRole, VmState},
    service::{CALL_PATH, Call, CallReply},
};
use radishhaven_standin::{
    log::{LogCfg, LogFault, LogService},
    service::{PlainService, ServiceCfg, ServiceFault},
    vms::{SET_VMS_PATH, VmListCfg, VmListFault, VmListService},
};

const RECORDS: &str = "/v1/streams/config/records";

fn append(text: &str) -> Append {
    Append {
        body: text.to_owned(),
    }
}

#[tokio::test]
async fn an_append_takes_effect_when_its_ack_is_lost() {
    let log = start(LogService::new(LogCfg::default()));
    log.state.set_faults(vec![LogFault::LoseAckNext { n: 1 }]);
    let lost = post(log.addr, RECORDS, &append("a")).await;
    assert_eq!(lost.status, StatusCode::INTERNAL_SERVER_ERROR);
    let next: Appended = post(log.addr, RECORDS, &append("b")).await.ok();
    assert_eq!(next.offset, 1);
    let read: Records = get(log.addr, RECORDS).await.ok();
    let bodies: Vec<&str> = read.records.iter().map(|r| r.body.as_str()).collect();
    assert_eq!(bodies, ["a", "b"]);
}

#[tokio::test]
async fn the_log_retains_the_newest_records_and_their_offsets() {
    let cfg = LogCfg {
        retain_records: Some(2),
        ..LogCfg::default()
    };
    let log = start(LogService::new(cfg));
    for text in ["a", "b", "c"] {
        post(log.addr, RECORDS, &append(text))
            .await
            .ok::<Appended>();
    }
    let read: Records = get(log.addr, &format!("{RECORDS}?from=0")).await.ok();
    assert_eq!((read.first, read.end), (1, 3));
    assert_eq!(read.records[0].offset, 1);
    assert_eq!(read.records[0].body, "b");
    let other: Records = get(log.addr, "/v1/streams/leases/records").await.ok();
    assert_eq!((other.first, other.end), (0, 0));
}

#[tokio::test]
async fn a_long_poll_returns_a_later_append() {
    let log = start(LogService::new(LogCfg::default()));
    let path = format!("{RECORDS}?from=0&max=1&wait_ms=60000");
    let (read, _) = tokio::join!(get(log.addr, &path), async {
        post(log.addr, RECORDS, &append("a")).await.ok::<Appended>()
    });
    assert_eq!(read.ok::<Records>().records[0].body, "a");
}

#[tokio::test]
async fn appends_over_the_rate_limit_have_no_effect() {
    let cfg = LogCfg {
        appends_per_s: 0,
        ..LogCfg::default()
    };
    let log = start(LogService::new(cfg));
    let refused = post(log.addr, RECORDS, &append("a")).await;
    assert_eq!(refused.status, StatusCode::TOO_MANY_REQUESTS);
    assert_eq!(log.state.read("config", 0, 1).end, 0);
}

#[tokio::test]
async fn a_log_outage_refuses_appends_and_reads() {
    let log = start(LogService::new(LogCfg::default()));
    log.state.set_faults(vec![LogFault::Outage]);
    let refused = post(log.addr, RECORDS, &append("a")).await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    let unread = get(log.addr, RECORDS).await;
    assert_eq!(unread.status, StatusCode::SERVICE_UNAVAILABLE);
    log.state.set_faults(Vec::new());
    assert_eq!(get(log.addr, RECORDS).await.ok::<Records>().end, 0);
}

fn list() -> VmList {
    VmList {
        vms: vec![Vm {
            vm: "vm-1".parse().expect("the VM id is valid"),
            role: VmRole::Backend,
            address: "127.0.0.1:9".parse().expect("the address is valid"),
            peer_address: None,
            failure_domain: "mvd-centro".parse().expect("the failure domain is valid"),
            state: VmState::Live,
        }],
    }
}

#[tokio::test]
async fn a_frozen_list_shows_changes_after_the_freeze() {
    let vms = start(VmListService::new(VmListCfg::default(), VmList::default()));
    vms.state.set_faults(vec![VmListFault::Freeze]);
    let set = post(vms.addr, SET_VMS_PATH, &list()).await;
    assert_eq!(set.status, StatusCode::OK);
    let frozen: VmList = get(vms.addr, VMS_PATH).await.ok();
    assert!(frozen.vms.is_empty());
    vms.state.set_faults(Vec::new());
    let shown: VmList = get(vms.addr, VMS_PATH).await.ok();
    assert_eq!(shown.vms, list().vms);
}

#[tokio::test]
async fn an_empty_change_is_refused_without_a_list_file() {
    let vms = start(VmListService::new(VmListCfg::default(), list()));
    let refused = common::post_empty(vms.addr, SET_VMS_PATH).await;
    assert_eq!(refused.status, StatusCode::BAD_REQUEST);
    assert_eq!(vms.state.visible().vms, list().vms);
}

fn call(operation: &str) -> Call {
    Call {
        request: "r-1".parse().expect("the request id is valid"),
        operation: operation.to_owned(),
        body: serde_json::json!({ "hearing": 7 }),
        deadline_ms: None,
    }
}

#[tokio::test]
async fn a_service_runs_a_repeated_call_again() {
    let service = start(PlainService::new(ServiceCfg::default()));
    service
        .state
        .set_faults(vec![ServiceFault::LoseReplyNext { n: 1 }]);
    let lost = post(service.addr, CALL_PATH, &call("book")).await;
    assert_eq!(lost.status, StatusCode::INTERNAL_SERVER_ERROR);
    let reply: CallReply = post(service.addr, CALL_PATH, &call("book")).await.ok();
    assert_eq!(reply.request, call("book").request);
    let records = service.state.records();
    assert_eq!(records.len(), 2);
    assert!(records.iter().all(|r| r.finished && r.operation == "book"));
}

#[tokio::test]
async fn a_service_runs_no_calls_during_an_outage() {
    let service = start(PlainService::new(ServiceCfg::default()));
    service.state.set_faults(vec![ServiceFault::Outage]);
    let refused = post(service.addr, CALL_PATH, &call("append")).await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(service.state.records().is_empty());
}
