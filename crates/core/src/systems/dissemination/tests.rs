//! Invariant I6: batches are atomic, no node reverts to an older revision, nodes
//! at the same revision have the same configuration, and a node that starts
//! queries its peers before it serves.
//!
//! The tests run several nodes in one thread. Their log drops responses, repeats
//! and expires records, becomes unavailable and returns with another history.
//! Their messages are dropped, duplicated and reordered.

mod cluster;
mod oracle;

use bolero_generator::TypeGenerator;
use radishhaven_cases::{INVARIANT_CASES, check};

use self::cluster::{Cluster, Fault, NODES};
use crate::{
    config::Config,
    ids::Revision,
    message::{Action, Event},
    peer::{ConfigMessage, PeerMessage},
    tables::LogState,
};

/// Maximum number of steps in a test case.
const MAX_STEPS: usize = 20;

#[derive(Debug, TypeGenerator)]
enum Step {
    AppendBatch { by: u8, object: u8, twice: bool },
    AppendConcurrentBatches { first: u8, second: u8, object: u8 },
    RepeatRecord { which: u8 },
    AppendUnreadableRecord,
    AppendWrongSnapshot,
    ReadLog { node: u8 },
    Deliver { which: u8 },
    DeliverTwice { which: u8 },
    DropMessage { which: u8 },
    MarkUnreachable { node: u8, peer: u8 },
    Advance { ms: u16 },
    SetLogFault { fault: u8, offset: u8 },
    ExpireRecords { keep: u8 },
    Restart { node: u8 },
    PauseNode { node: u8, ms: u16 },
}

fn run(cluster: &mut Cluster, step: &Step) {
    match *step {
        Step::AppendBatch { by, object, twice } => cluster.append_batch(by, object, twice),
        Step::AppendConcurrentBatches {
            first,
            second,
            object,
        } => {
            let batches = [
                cluster.build_batch(first, object),
                cluster.build_batch(second, object),
            ];
            for batch in batches {
                cluster.append(batch);
            }
        }
        Step::RepeatRecord { which } => cluster.repeat_record(which),
        Step::AppendUnreadableRecord => cluster.append("{\"format\":7}".to_owned()),
        Step::AppendWrongSnapshot => cluster.append_wrong_snapshot(),
        Step::ReadLog { node } => cluster.read_log(node as usize % NODES),
        Step::Deliver { which } => cluster.deliver(which, false),
        Step::DeliverTwice { which } => cluster.deliver(which, true),
        Step::DropMessage { which } => cluster.drop_message(which),
        Step::MarkUnreachable { node, peer } => {
            cluster.mark_unreachable(node as usize % NODES, peer as usize % NODES);
        }
        Step::Advance { ms } => cluster.advance(u64::from(ms) % 3_000),
        Step::SetLogFault { fault, offset } => cluster.set_fault(fault, offset),
        Step::ExpireRecords { keep } => cluster.expire_records(keep),
        Step::Restart { node } => cluster.restart(node as usize % NODES),
        Step::PauseNode { node, ms } => {
            cluster.pause_node(node as usize % NODES, u64::from(ms) % 12_000)
        }
    }
}

#[test]
fn nodes_never_revert_and_equal_revisions_have_equal_configurations() {
    check(61, INVARIANT_CASES, |(seed, steps): (u64, Vec<Step>)| {
        let mut cluster = Cluster::new(seed);
        for step in steps.iter().take(MAX_STEPS) {
            run(&mut cluster, step);
            cluster.assert_invariants();
        }
        cluster.recover();
        cluster.assert_converged();
    });
}

/// Guards against serving an outdated configuration after a start or pause. All
/// messages are delivered immediately, so each node can reach all of its peers. No
/// node may accept a request, or be listed in the directory, at an older revision
/// than its peers had when it started or returned from the pause.
#[test]
fn a_node_that_starts_serves_no_older_revision_than_its_peers() {
    let mut rejected = 0;
    check(62, INVARIANT_CASES, |(seed, steps): (u64, Vec<Step>)| {
        let mut cluster = Cluster::new(seed);
        for step in steps.iter().take(MAX_STEPS) {
            let drops_messages = matches!(
                step,
                Step::DropMessage { .. } | Step::MarkUnreachable { .. }
            );
            if !drops_messages {
                run(&mut cluster, step);
                cluster.assert_no_outdated_service();
                cluster.deliver_all();
                cluster.assert_invariants();
                cluster.assert_no_outdated_service();
                rejected += cluster.assert_requests_rejected_until_ready();
            }
        }
    });
    // If the nodes were always ready, the test would check nothing.
    assert!(rejected > INVARIANT_CASES / 10, "{rejected} were rejected");
}

#[test]
fn an_overdue_join_is_reported_and_the_node_still_rejects_requests() {
    let mut cluster = Cluster::new(8);
    cluster.append_batch(0, 1, false);
    cluster.settle(3_000);
    cluster.set_fault(Fault::Unavailable as u8, 0);
    cluster.restart(1);
    for _ in 0..25 {
        cluster.drop_messages();
        cluster.advance(1_000);
    }
    let tables = cluster.node(1).tables();
    assert!(!tables.ready);
    assert_eq!(tables.replication.counters.joins_overdue, 2);
    assert!(cluster.is_rejected_as_not_ready(1));
}

#[test]
fn a_node_that_has_served_becomes_ready_again_while_the_log_is_unavailable() {
    let mut cluster = Cluster::new(9);
    cluster.append_batch(0, 1, false);
    cluster.settle(3_000);
    cluster.set_fault(Fault::Unavailable as u8, 0);
    cluster.pause_node(0, 60_000);
    assert!(cluster.is_rejected_as_not_ready(0));
    for _ in 0..2 {
        cluster.drop_messages();
        cluster.advance(1_000);
    }
    assert!(!cluster.is_rejected_as_not_ready(0));
}

#[test]
fn a_cached_snapshot_is_sent_only_while_the_records_after_it_are_available() {
    let mut cluster = Cluster::new(12);
    let grow = |cluster: &mut Cluster, batches: u8| {
        for object in 0..batches {
            cluster.append_batch(0, object, false);
        }
        cluster.settle(200);
    };
    grow(&mut cluster, 6);
    let first = cluster.request_snapshot(0, 1);
    grow(&mut cluster, 1);
    assert_eq!(
        cluster.request_snapshot(0, 1),
        first,
        "the snapshot is cached"
    );
    grow(&mut cluster, 8);
    let end = cluster.node(0).tables().config.revision();
    assert_eq!(cluster.request_snapshot(0, 1), end);
}

#[test]
fn a_response_to_an_earlier_query_does_not_end_the_join() {
    let mut cluster = Cluster::new(10);
    cluster.settle(3_000);
    cluster.pause_node(0, 60_000);
    cluster.drop_messages();
    for from in [1, 2] {
        let (round, revision) = (0, Revision(0));
        let late = ConfigMessage::Revision { round, revision };
        cluster.deliver_directly(from, 0, PeerMessage::Config(late));
    }
    assert!(cluster.is_rejected_as_not_ready(0));
}

#[test]
fn a_pause_during_a_join_does_not_end_it() {
    let mut cluster = Cluster::new(11);
    cluster.settle(3_000);
    cluster.pause_node(0, 60_000);
    // The responses arrive while the process is paused again.
    cluster.pause_node(0, 3_000);
    assert!(cluster.is_rejected_as_not_ready(0));
    cluster.deliver_all();
    assert!(!cluster.is_rejected_as_not_ready(0));
}

#[test]
fn a_log_with_another_history_is_refused_and_reported() {
    let mut cluster = Cluster::new(1);
    for object in 0..4 {
        cluster.append_batch(0, object, false);
    }
    cluster.settle(3_000);
    cluster.set_fault(Fault::OtherHistory as u8, 0);
    cluster.settle(6_000);
    for node in 0..NODES {
        let tables = cluster.node(node).tables();
        assert_eq!(tables.config.revision(), Revision(4));
        assert_eq!(tables.replication.log, LogState::OtherHistory);
        assert!(tables.replication.counters.reverts_refused > 0);
        assert!(tables.ready);
    }
    cluster.recover();
    cluster.assert_converged();
}

#[test]
fn nodes_relay_records_while_the_log_is_unavailable() {
    let mut cluster = Cluster::new(2);
    cluster.settle(3_000);
    cluster.append_batch(0, 1, false);
    cluster.read_log(0);
    cluster.set_fault(Fault::Unavailable as u8, 0);
    cluster.settle(3_000);
    for node in 0..NODES {
        assert_eq!(cluster.node(node).tables().config.revision(), Revision(1));
    }
    cluster.restart(1);
    cluster.settle(3_000);
    let tables = cluster.node(1).tables();
    assert_eq!(
        (tables.config.revision(), tables.ready),
        (Revision(1), true)
    );
}

#[test]
fn a_node_starts_from_a_snapshot_when_the_records_have_expired() {
    let mut cluster = Cluster::new(3);
    for object in 0..40 {
        cluster.append_batch(0, object, false);
        cluster.settle(200);
    }
    cluster.settle(5_000);
    cluster.expire_records(0);
    assert!(
        cluster.first_retained() > 0,
        "a snapshot allows records to expire"
    );
    // No peer responds, so the node has only the log to start from.
    cluster.restart(2);
    cluster.read_log_without_peers(2);
    let node = cluster.node(2);
    let loaded = node.tables().replication.counters.snapshots_loaded;
    assert_eq!(loaded, 1);
    let (own, others) = (&node.tables().config, &cluster.node(0).tables().config);
    assert_eq!(own.digest(), others.digest());
}

#[test]
fn records_that_continue_another_history_are_refused() {
    let mut cluster = Cluster::new(4);
    cluster.append_batch(0, 1, false);
    cluster.settle(3_000);
    let other = Config::new();
    let message = ConfigMessage::Records {
        from: Revision(1),
        digest: other.digest().short(),
        end: Revision(2),
        records: vec![cluster.record(1, "x")],
    };
    cluster.deliver_directly(0, 1, PeerMessage::Config(message));
    let tables = cluster.node(1).tables();
    assert_eq!(tables.config.revision(), Revision(1));
    assert_eq!(tables.replication.counters.divergences, 1);
}

#[test]
fn an_outdated_snapshot_does_not_revert_the_node() {
    let mut cluster = Cluster::new(6);
    cluster.append_batch(0, 1, false);
    cluster.settle(3_000);
    let late = cluster.node(0).tables().config.snapshot();
    cluster.append_batch(0, 2, false);
    cluster.read_log(0);
    // Node 0's records to node 1 are dropped, so node 1 learns of the new revision
    // from gossip and requests the record.
    cluster.drop_messages();
    for _ in 0..10 {
        if cluster.node(1).tables().replication.pending_query.is_none() {
            cluster.deliver_all();
            cluster.advance(300);
        }
    }
    assert!(cluster.node(1).tables().replication.pending_query.is_some());
    cluster.read_log(1);
    cluster.drop_messages();
    let body = late[0].to_body();
    for from in [0, 2] {
        let message = ConfigMessage::Snapshot { body: body.clone() };
        cluster.deliver_directly(from, 1, PeerMessage::Config(message));
    }
    assert_eq!(cluster.node(1).tables().config.revision(), Revision(2));
}

#[test]
fn a_shorter_log_is_reported_and_the_node_continues_to_serve() {
    let mut cluster = Cluster::new(7);
    for object in 0..3 {
        cluster.append_batch(0, object, false);
    }
    cluster.settle(3_000);
    cluster.set_fault(Fault::Shorter as u8, 1);
    cluster.settle(6_000);
    for node in 0..NODES {
        let tables = cluster.node(node).tables();
        assert_eq!(tables.replication.log, LogState::Shorter);
        assert_eq!(tables.config.revision(), Revision(3));
        assert!(tables.ready);
    }
}

#[test]
fn fewer_than_two_nodes_on_average_write_a_due_snapshot() {
    for nodes in [9, 360] {
        let writers = cluster::count_snapshot_writers(nodes, 500);
        let total: usize = writers.iter().sum();
        let mean = total as f64 / writers.len() as f64;
        println!("{nodes} nodes: {mean:.2} snapshots written for each that is due");
        assert!(mean < 2.0, "{nodes} nodes: {mean}");
    }
}

#[test]
fn a_paused_process_queries_its_peers_before_it_serves_again() {
    let mut cluster = Cluster::new(5);
    cluster.settle(3_000);
    assert!(cluster.node(0).tables().ready);
    let late = cluster.now_plus(60_000);
    let actions = cluster.node_mut(0).handle(late, Event::Tick);
    assert!(!cluster.node(0).tables().ready);
    let is_query = |action: &Action| {
        let Action::Peer { message, .. } = action else {
            return false;
        };
        matches!(
            message,
            PeerMessage::Config(ConfigMessage::QueryRevision { .. })
        )
    };
    assert_eq!(actions.iter().filter(|a| is_query(a)).count(), NODES - 1);
}

#[test]
fn nodes_that_start_without_a_log_query_all_peers_once_and_then_a_few() {
    const PEERS: usize = 40;
    let mut isolated = cluster::IsolatedNode::new(PEERS);
    assert_eq!(isolated.take_query_count(), PEERS, "the first round");
    let later: usize = (0..10).map(|_| isolated.advance_round()).sum();
    assert!(later <= 10 * 8, "{later} queries in ten rounds");
    assert!(later > 0);
    // The first contact after such a long time starts a new round.
    isolated.respond(3);
    // A peer has records now, so all peers are queried before the node serves.
    isolated.respond(3);
    assert!(!isolated.node.tables().ready);
    assert_eq!(
        isolated.advance_round().max(isolated.take_query_count()),
        PEERS
    );
}

#[test]
fn a_node_that_has_served_becomes_ready_after_pauses_without_any_peers() {
    const PEERS: usize = 40;
    let mut isolated = cluster::IsolatedNode::new(PEERS);
    isolated.read_log();
    isolated.advance_round();
    assert!(isolated.node.tables().ready);
    isolated.pause();
    assert_eq!(isolated.take_query_count(), PEERS);
    isolated.pause();
    assert_eq!(
        isolated.take_query_count(),
        PEERS,
        "all peers are queried again"
    );
    assert!(!isolated.node.tables().ready);
    isolated.advance_round();
    assert!(isolated.node.tables().ready);
}
