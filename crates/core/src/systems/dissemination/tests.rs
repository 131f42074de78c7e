//! Invariant I6: batches are atomic, no node goes back, equal revisions are
//! equal configurations, and a node that starts asks first.
//!
//! Several nodes run in one thread over a log that loses answers, repeats
//! records, forgets old ones, goes out and comes back as another one, while
//! their messages are lost, doubled and delivered in any order.

mod oracle;
mod world;

use bolero_generator::TypeGenerator;
use radishhaven_cases::{INVARIANT_CASES, check};

use self::world::{Fault, NODES, World};
use crate::{
    config::Config,
    ids::Revision,
    message::{Action, Event},
    peer::{ConfigMessage, PeerMessage},
    tables::LogState,
};

/// Steps of one case.
const MAX_STEPS: usize = 20;

#[derive(Debug, TypeGenerator)]
enum Step {
    Batch { by: u8, object: u8, twice: bool },
    Race { first: u8, second: u8, object: u8 },
    Repeat { which: u8 },
    Garbage,
    WrongSnapshot,
    Read { node: u8 },
    Deliver { which: u8 },
    DeliverTwice { which: u8 },
    Lose { which: u8 },
    Unreachable { node: u8, peer: u8 },
    Pass { ms: u16 },
    Log { fault: u8, cut: u8 },
    Retain { keep: u8 },
    Restart { node: u8 },
    Sleep { node: u8, ms: u16 },
}

fn run(world: &mut World, step: &Step) {
    match *step {
        Step::Batch { by, object, twice } => world.batch(by, object, twice),
        Step::Race {
            first,
            second,
            object,
        } => {
            let batches = [world.propose(first, object), world.propose(second, object)];
            for batch in batches {
                world.append(batch);
            }
        }
        Step::Repeat { which } => world.repeat(which),
        Step::Garbage => world.append("{\"format\":7}".to_owned()),
        Step::WrongSnapshot => world.append_wrong_snapshot(),
        Step::Read { node } => world.read(node as usize % NODES),
        Step::Deliver { which } => world.deliver(which, false),
        Step::DeliverTwice { which } => world.deliver(which, true),
        Step::Lose { which } => world.lose(which),
        Step::Unreachable { node, peer } => {
            world.unreachable(node as usize % NODES, peer as usize % NODES);
        }
        Step::Pass { ms } => world.pass(u64::from(ms) % 3_000),
        Step::Log { fault, cut } => world.set_fault(fault, cut),
        Step::Retain { keep } => world.retain(keep),
        Step::Restart { node } => world.restart(node as usize % NODES),
        Step::Sleep { node, ms } => world.sleep(node as usize % NODES, u64::from(ms) % 12_000),
    }
}

#[test]
fn nodes_never_revert_and_equal_revisions_are_equal() {
    check(61, INVARIANT_CASES, |(seed, steps): (u64, Vec<Step>)| {
        let mut world = World::new(seed);
        for step in steps.iter().take(MAX_STEPS) {
            run(&mut world, step);
            world.judge();
        }
        world.heal();
        world.judge_converged();
    });
}

/// Messages are delivered at once and none is lost, so each node can reach
/// all peers: none may take a request on, or be named to callers, at an older
/// revision than they had when it started or returned from a pause.
#[test]
fn a_node_that_starts_serves_nothing_older_than_its_peers() {
    let mut rejected = 0;
    check(62, INVARIANT_CASES, |(seed, steps): (u64, Vec<Step>)| {
        let mut world = World::new(seed);
        for step in steps.iter().take(MAX_STEPS) {
            let loses = matches!(step, Step::Lose { .. } | Step::Unreachable { .. });
            if !loses {
                run(&mut world, step);
                world.judge_starts();
                world.deliver_all();
                world.judge();
                world.judge_starts();
                rejected += world.judge_requests();
            }
        }
    });
    // Nodes that are always ready would prove nothing.
    assert!(rejected > INVARIANT_CASES / 10, "{rejected} were rejected");
}

#[test]
fn a_node_that_does_not_get_ready_says_so_and_still_does_not_serve() {
    let mut world = World::new(8);
    world.batch(0, 1, false);
    world.settle(3_000);
    world.set_fault(Fault::Out as u8, 0);
    world.restart(1);
    for _ in 0..25 {
        world.drop_mail();
        world.pass(1_000);
    }
    let tables = world.node(1).tables();
    assert!(!tables.ready);
    assert_eq!(tables.follow.counters.joins_overdue, 2);
    assert!(world.is_rejected_as_not_ready(1));
}

#[test]
fn a_node_that_has_served_goes_on_alone_while_the_log_is_out() {
    let mut world = World::new(9);
    world.batch(0, 1, false);
    world.settle(3_000);
    world.set_fault(Fault::Out as u8, 0);
    world.sleep(0, 60_000);
    assert!(world.is_rejected_as_not_ready(0));
    for _ in 0..2 {
        world.drop_mail();
        world.pass(1_000);
    }
    assert!(!world.is_rejected_as_not_ready(0));
}

#[test]
fn a_kept_snapshot_is_given_only_while_what_follows_it_is_kept() {
    let mut world = World::new(12);
    let grow = |world: &mut World, batches: u8| {
        for object in 0..batches {
            world.batch(0, object, false);
        }
        world.settle(200);
    };
    grow(&mut world, 6);
    let first = world.given_snapshot(0, 1);
    grow(&mut world, 1);
    assert_eq!(world.given_snapshot(0, 1), first, "it is made once");
    grow(&mut world, 8);
    let end = world.node(0).tables().config.revision();
    assert_eq!(world.given_snapshot(0, 1), end);
}

#[test]
fn an_answer_to_an_earlier_question_does_not_end_the_wait() {
    let mut world = World::new(10);
    world.settle(3_000);
    world.sleep(0, 60_000);
    world.drop_mail();
    for from in [1, 2] {
        let (round, revision) = (0, Revision(0));
        let late = ConfigMessage::Revision { round, revision };
        world.hand(from, 0, PeerMessage::Config(late));
    }
    assert!(world.is_rejected_as_not_ready(0));
}

#[test]
fn a_pause_while_peers_are_asked_does_not_end_the_wait() {
    let mut world = World::new(11);
    world.settle(3_000);
    world.sleep(0, 60_000);
    // The answers come while the process is stopped again.
    world.sleep(0, 3_000);
    assert!(world.is_rejected_as_not_ready(0));
    world.deliver_all();
    assert!(!world.is_rejected_as_not_ready(0));
}

#[test]
fn a_log_with_another_history_is_refused_and_told() {
    let mut world = World::new(1);
    for object in 0..4 {
        world.batch(0, object, false);
    }
    world.settle(3_000);
    world.set_fault(Fault::OtherHistory as u8, 0);
    world.settle(6_000);
    for node in 0..NODES {
        let tables = world.node(node).tables();
        assert_eq!(tables.config.revision(), Revision(4));
        assert_eq!(tables.follow.log, LogState::OtherHistory);
        assert!(tables.follow.counters.reverts_refused > 0);
        assert!(tables.ready);
    }
    world.heal();
    world.judge_converged();
}

#[test]
fn nodes_relay_to_each_other_while_the_log_is_out() {
    let mut world = World::new(2);
    world.settle(3_000);
    world.batch(0, 1, false);
    world.read(0);
    world.set_fault(Fault::Out as u8, 0);
    world.settle(3_000);
    for node in 0..NODES {
        assert_eq!(world.node(node).tables().config.revision(), Revision(1));
    }
    world.restart(1);
    world.settle(3_000);
    let tables = world.node(1).tables();
    assert_eq!(
        (tables.config.revision(), tables.ready),
        (Revision(1), true)
    );
}

#[test]
fn a_node_starts_from_a_snapshot_when_the_records_have_expired() {
    let mut world = World::new(3);
    for object in 0..40 {
        world.batch(0, object, false);
        world.settle(200);
    }
    world.settle(5_000);
    world.retain(0);
    assert!(world.first_retained() > 0, "a snapshot let records expire");
    // No peer answers, so the log alone must do.
    world.restart(2);
    world.node_alone(2);
    let alone = world.node(2);
    let loaded = alone.tables().follow.counters.snapshots_loaded;
    assert_eq!(loaded, 1);
    let (own, others) = (&alone.tables().config, &world.node(0).tables().config);
    assert_eq!(own.digest(), others.digest());
}

#[test]
fn records_that_follow_from_another_digest_are_not_taken() {
    let mut world = World::new(4);
    world.batch(0, 1, false);
    world.settle(3_000);
    let other = Config::new();
    let message = ConfigMessage::Records {
        from: Revision(1),
        digest: other.digest().short(),
        end: Revision(2),
        records: vec![world.record(1, "x")],
    };
    world.hand(0, 1, PeerMessage::Config(message));
    let tables = world.node(1).tables();
    assert_eq!(tables.config.revision(), Revision(1));
    assert_eq!(tables.follow.counters.divergences, 1);
}

#[test]
fn a_snapshot_that_comes_late_does_not_take_the_node_back() {
    let mut world = World::new(6);
    world.batch(0, 1, false);
    world.settle(3_000);
    let late = world.node(0).tables().config.snapshot();
    world.batch(0, 2, false);
    world.read(0);
    // The push is lost, so that node 1 hears of the record and asks for it.
    world.drop_mail();
    for _ in 0..10 {
        if world.node(1).tables().follow.ask.is_none() {
            world.deliver_all();
            world.pass(300);
        }
    }
    assert!(world.node(1).tables().follow.ask.is_some());
    world.read(1);
    world.drop_mail();
    let body = late[0].to_body();
    for from in [0, 2] {
        let message = ConfigMessage::Snapshot { body: body.clone() };
        world.hand(from, 1, PeerMessage::Config(message));
    }
    assert_eq!(world.node(1).tables().config.revision(), Revision(2));
}

#[test]
fn a_shorter_log_is_told_and_the_node_serves_on() {
    let mut world = World::new(7);
    for object in 0..3 {
        world.batch(0, object, false);
    }
    world.settle(3_000);
    world.set_fault(Fault::Shorter as u8, 1);
    world.settle(6_000);
    for node in 0..NODES {
        let tables = world.node(node).tables();
        assert_eq!(tables.follow.log, LogState::Shorter);
        assert_eq!(tables.config.revision(), Revision(3));
        assert!(tables.ready);
    }
}

#[test]
fn one_node_of_many_writes_a_due_snapshot() {
    for nodes in [9, 360] {
        let waits = world::snapshot_waits(nodes, 500);
        let writers: usize = waits.iter().sum();
        let mean = writers as f64 / waits.len() as f64;
        println!("{nodes} nodes: {mean:.2} snapshots written for each that is due");
        assert!(mean < 2.0, "{nodes} nodes: {mean}");
    }
}

#[test]
fn a_paused_process_asks_before_it_serves_on() {
    let mut world = World::new(5);
    world.settle(3_000);
    assert!(world.node(0).tables().ready);
    let late = world.now_plus(60_000);
    let actions = world.node_mut(0).handle(late, Event::Tick);
    assert!(!world.node(0).tables().ready);
    let asks = |action: &Action| {
        let Action::Peer { message, .. } = action else {
            return false;
        };
        matches!(
            message,
            PeerMessage::Config(ConfigMessage::QueryRevision { .. })
        )
    };
    assert_eq!(actions.iter().filter(|a| asks(a)).count(), NODES - 1);
}

#[test]
fn nodes_that_start_without_a_log_ask_all_peers_once_and_then_a_few() {
    const PEERS: usize = 40;
    let mut lone = world::Lone::new(PEERS);
    assert_eq!(lone.asked(), PEERS, "the first round");
    let later: usize = (0..10).map(|_| lone.pass_a_round()).sum();
    assert!(later <= 10 * 8, "{later} questions in ten rounds");
    assert!(later > 0);
    // The first sign after so long a silence begins the round anew.
    lone.answer(3);
    // Somebody has the configuration now, so all are asked before it serves.
    lone.answer(3);
    assert!(!lone.node.tables().ready);
    assert_eq!(lone.pass_a_round().max(lone.asked()), PEERS);
}

#[test]
fn a_node_that_served_serves_on_after_pauses_in_which_all_peers_went() {
    const PEERS: usize = 40;
    let mut lone = world::Lone::new(PEERS);
    lone.read_log();
    lone.pass_a_round();
    assert!(lone.node.tables().ready);
    lone.pause();
    assert_eq!(lone.asked(), PEERS);
    lone.pause();
    assert_eq!(lone.asked(), PEERS, "it needs the word of all again");
    assert!(!lone.node.tables().ready);
    lone.pass_a_round();
    assert!(lone.node.tables().ready);
}
