//! Nodes that start: while the log is out, and when records have expired.

use std::time::{Duration, Instant};

use radishhaven_client::{Answer, Caller, CallerError, HttpError, RequestOptions};
use radishhaven_core::{
    config::{BATCH_FORMAT, Batch, Change, Object, Service},
    ids::{Revision, VmId},
    outcome::{NotRun, Outcome},
};
use radishhaven_proto::platform::CONFIG_STREAM;
use radishhaven_standin::{
    deployment::{Deployment, Plan, id},
    log::{LogCfg, LogFault},
};
use serde_json::json;

const CAP: Duration = Duration::from_secs(30);
/// The service that only the second batch names.
const LATE_SERVICE: &str = "receipts";

fn service_batch(batch: &str, service: &str) -> Batch {
    let service = Object::Service(Service {
        id: id(service),
        idempotent: ["lookup".to_owned()].into(),
    });
    Batch {
        format: BATCH_FORMAT,
        batch: id(batch),
        base: Default::default(),
        planned: Revision(1),
        source: None,
        changes: vec![Change::Put(service)],
    }
}

/// Asks for the service that only the newest revision knows: a node with an
/// older one would call the request malformed or its token unknown.
async fn ask(caller: &Caller, deployment: &Deployment, vm: &VmId) -> Answer {
    let node = deployment.callers_address(vm.as_str());
    let (ask, body) = (RequestOptions::default(), json!({ "trip": 7 }));
    let sent = caller.call(node, &ask, LATE_SERVICE, "lookup", &body);
    sent.await.expect("the node answers at once")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_killed_in_an_outage_serves_only_what_its_peers_have() {
    let mut deployment = Deployment::start(Plan::bitacora(3, 1))
        .await
        .expect("it starts");
    deployment.publish(&service_batch("second", LATE_SERVICE));
    deployment
        .wait_until_ready()
        .await
        .expect("the second batch arrives");
    deployment.log.state.set_faults(vec![LogFault::Outage]);
    let caller = Caller::new("small-firm").expect("a caller can be made");
    let (vm, domain) = deployment.plan.nodes[1].clone();
    deployment.nodes.remove(&vm).expect("it runs").kill();
    deployment.start_node(&vm, &domain).expect("it starts");

    let first = ask(&caller, &deployment, &vm).await;
    let not_ready = Some(Outcome::NotRun(NotRun::NoCapacity));
    assert_eq!(first.outcome, not_ready, "{first:?}");
    assert!(first.message.contains("not ready"), "{first:?}");
    let node = deployment.callers_address(vm.as_str());
    let minted = caller.issue_ids(node, 1).await;
    let refused = matches!(
        minted,
        Err(CallerError::Http(HttpError::Status { status, .. })) if status == 503
    );
    assert!(refused, "{minted:?}");
    let named = caller.directory(node).await.expect("it answers").nodes;
    assert!(named.iter().all(|node| node.vm != vm), "{named:?}");

    let begun = Instant::now();
    loop {
        let answer = ask(&caller, &deployment, &vm).await;
        assert_eq!(answer.outcome, not_ready, "{answer:?}");
        assert!(answer.retry_after.is_some(), "{answer:?}");
        // No server of the service runs, which is what a node says that knows it.
        if !answer.message.contains("not ready") {
            break;
        }
        assert!(begun.elapsed() < CAP, "it does not get ready");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    let named = caller.directory(node).await.expect("it answers").nodes;
    assert!(named.iter().any(|node| node.vm == vm), "{named:?}");

    // A token is judged once the node is ready.
    let stranger = Caller::new("stranger").expect("a caller can be made");
    let answer = ask(&stranger, &deployment, &vm).await;
    let unauthorised = Some(Outcome::NotRun(NotRun::Unauthorised));
    assert_eq!(answer.outcome, unauthorised, "{answer:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_alone_starts_from_a_snapshot_when_the_records_have_expired() {
    let mut plan = Plan::bitacora(2, 1);
    plan.settings = "[snapshots]\nafter_records = 4\nspread_ms = 20\n".to_owned();
    plan.log = LogCfg {
        retain_records: Some(12),
        ..plan.log
    };
    let mut deployment = Deployment::start(plan).await.expect("it starts");
    for n in 0..24 {
        let batch = service_batch(&format!("more-{n}"), &format!("service-{n}"));
        deployment.publish(&batch);
        deployment
            .wait_until_ready()
            .await
            .expect("the batch arrives");
        // Time for the snapshot that may be due.
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
    let log = deployment.log.state.read(CONFIG_STREAM, u64::MAX, 0);
    assert!(log.first > 1, "the first batch is still kept");
    let state = |deployment: &Deployment, vm: &VmId| {
        deployment.nodes[vm].node.host.read(|node| {
            let tables = node.tables();
            let loaded = tables.replication.counters.snapshots_loaded;
            (tables.config.digest(), loaded)
        })
    };
    let (vm, domain) = deployment.plan.nodes[0].clone();
    let (before, _) = state(&deployment, &vm);
    for (vm, _) in deployment.plan.nodes.clone() {
        deployment.nodes.remove(&vm).expect("it runs").kill();
        deployment.remove_from_vm_list(&vm);
    }
    deployment.start_node(&vm, &domain).expect("it starts");
    deployment
        .wait_until_ready()
        .await
        .expect("it gets ready alone");
    let (after, loaded) = state(&deployment, &vm);
    assert_eq!((after, loaded), (before, 1));
    let caller = Caller::new("small-firm").expect("a caller can be made");
    let node = deployment.callers_address(vm.as_str());
    let (pipeline, ask) = (&deployment.plan.pipeline, RequestOptions::default());
    let answer = caller.complete(node, &ask, pipeline, "two stops", 8);
    let answer = answer.await.expect("the node answers");
    assert_eq!(answer.outcome, Some(Outcome::Completed), "{answer:?}");
}
