//! Tests of nodes that start during a log outage or after log records expired.

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

const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// A service that only the second batch configures.
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

/// Calls the service that only the newest revision contains. A node with an
/// older revision would reject the request as malformed or its token as unknown.
async fn call_late_service(caller: &Caller, deployment: &Deployment, vm: &VmId) -> Answer {
    let node = deployment.callers_address(vm.as_str());
    let (ask, body) = (RequestOptions::default(), json!({ "trip": 7 }));
    let sent = caller.call(node, &ask, LATE_SERVICE, "lookup", &body);
    sent.await.expect("the node answers at once")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_restarted_in_a_log_outage_serves_the_configuration_of_its_peers() {
    let mut deployment = Deployment::start(Plan::bitacora(3, 1))
        .await
        .expect("the deployment starts");
    deployment.publish(&service_batch("second", LATE_SERVICE));
    deployment
        .wait_until_ready()
        .await
        .expect("all nodes apply the second batch");
    deployment.log.state.set_faults(vec![LogFault::Outage]);
    let caller = Caller::new("small-firm").expect("the caller is created");
    let (vm, domain) = deployment.plan.nodes[1].clone();
    deployment.nodes.remove(&vm).expect("the node runs").kill();
    deployment
        .start_node(&vm, &domain)
        .expect("the node starts");

    let first = call_late_service(&caller, &deployment, &vm).await;
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
    let listed = caller
        .directory(node)
        .await
        .expect("the node answers")
        .nodes;
    assert!(listed.iter().all(|node| node.vm != vm), "{listed:?}");

    let begun = Instant::now();
    loop {
        let answer = call_late_service(&caller, &deployment, &vm).await;
        assert_eq!(answer.outcome, not_ready, "{answer:?}");
        assert!(answer.retry_after.is_some(), "{answer:?}");
        // No backend server runs the service, so a node that has the service in
        // its configuration rejects the call with another message.
        if !answer.message.contains("not ready") {
            break;
        }
        assert!(
            begun.elapsed() < READY_TIMEOUT,
            "the node does not become ready"
        );
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    let listed = caller
        .directory(node)
        .await
        .expect("the node answers")
        .nodes;
    assert!(listed.iter().any(|node| node.vm == vm), "{listed:?}");

    // The node checks tokens once it is ready.
    let stranger = Caller::new("stranger").expect("the caller is created");
    let answer = call_late_service(&stranger, &deployment, &vm).await;
    let unauthorised = Some(Outcome::NotRun(NotRun::Unauthorised));
    assert_eq!(answer.outcome, unauthorised, "{answer:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_single_node_starts_from_a_snapshot_after_the_records_expired() {
    let mut plan = Plan::bitacora(2, 1);
    plan.settings = "[snapshots]\nafter_records = 4\nspread_ms = 20\n".to_owned();
    plan.log = LogCfg {
        retain_records: Some(12),
        ..plan.log
    };
    let mut deployment = Deployment::start(plan)
        .await
        .expect("the deployment starts");
    for n in 0..24 {
        let batch = service_batch(&format!("more-{n}"), &format!("service-{n}"));
        deployment.publish(&batch);
        deployment
            .wait_until_ready()
            .await
            .expect("all nodes apply the batch");
        // Leaves time to write a snapshot that may be due.
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
    let log = deployment.log.state.read(CONFIG_STREAM, u64::MAX, 0);
    assert!(log.first > 1, "the log still contains the first batch");
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
        deployment.nodes.remove(&vm).expect("the node runs").kill();
        deployment.remove_from_vm_list(&vm);
    }
    deployment
        .start_node(&vm, &domain)
        .expect("the node starts");
    deployment
        .wait_until_ready()
        .await
        .expect("the node becomes ready without peers");
    let (after, loaded) = state(&deployment, &vm);
    assert_eq!((after, loaded), (before, 1));
    let caller = Caller::new("small-firm").expect("the caller is created");
    let node = deployment.callers_address(vm.as_str());
    let (pipeline, ask) = (&deployment.plan.pipeline, RequestOptions::default());
    let answer = caller.complete(node, &ask, pipeline, "two stops", 8);
    let answer = answer.await.expect("the node answers");
    assert_eq!(answer.outcome, Some(Outcome::Completed), "{answer:?}");
}
