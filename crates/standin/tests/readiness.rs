//! A node that starts while the log is out serves nothing before it has what
//! its peers have.

use std::time::{Duration, Instant};

use radishhaven_client::{Answer, Ask, Caller, CallerError, HttpError};
use radishhaven_core::{
    config::{BATCH_FORMAT, Batch, Change, Object, Service},
    ids::{Revision, VmId},
    outcome::{NotRun, Outcome},
};
use radishhaven_standin::{
    deployment::{Deployment, Plan, id},
    log::LogFault,
};
use serde_json::json;

const CAP: Duration = Duration::from_secs(30);
/// The service that only the second batch names.
const LATE_SERVICE: &str = "receipts";

fn second_batch() -> Batch {
    let service = Object::Service(Service {
        id: id(LATE_SERVICE),
        idempotent: ["lookup".to_owned()].into(),
    });
    Batch {
        format: BATCH_FORMAT,
        batch: id("second"),
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
    let (ask, body) = (Ask::default(), json!({ "trip": 7 }));
    let sent = caller.call(node, &ask, LATE_SERVICE, "lookup", &body);
    sent.await.expect("the node answers at once")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_killed_in_an_outage_serves_only_what_its_peers_have() {
    let mut deployment = Deployment::start(Plan::bitacora(3, 1))
        .await
        .expect("it starts");
    deployment.publish(&second_batch());
    deployment.ready().await.expect("the second batch arrives");
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
    let minted = caller.mint(node, 1).await;
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
