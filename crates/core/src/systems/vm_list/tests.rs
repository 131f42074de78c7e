//! Tests of VM list replication between nodes with different clocks, under
//! delayed, lost and duplicated reads and messages, pauses and restarts.

mod world;

use bolero_generator::TypeGenerator;
use radishhaven_cases::{INVARIANT_CASES, check};

use self::world::{NODES, World};
use crate::{
    message::Event,
    peer::{PeerMessage, VmListMessage},
};

#[derive(Debug, Clone, TypeGenerator)]
enum Step {
    Change { vm: u8, kind: u8 },
    Read { node: u8 },
    BeginRead { node: u8 },
    AnswerRead { node: u8 },
    EndRead { node: u8 },
    LoseRead { node: u8 },
    Deliver { which: u8, twice: bool },
    DeliverAll,
    Settle { rounds: u8 },
    Lose { which: u8 },
    Unreachable { node: u8, peer: u8 },
    AdvanceTime { ms: u16 },
    Pause { node: u8 },
    Resume { node: u8 },
    Restart { node: u8 },
}

fn apply(world: &mut World, step: &Step) {
    let node_index = |node: &u8| *node as usize % NODES;
    match step {
        Step::Change { vm, kind } => world.change(*vm, *kind),
        Step::Read { node } => world.read(node_index(node)),
        Step::BeginRead { node } => world.begin_read(node_index(node)),
        Step::AnswerRead { node } => world.answer_read(node_index(node)),
        Step::EndRead { node } => world.end_read(node_index(node)),
        Step::LoseRead { node } => world.lose_read(node_index(node)),
        Step::Deliver { which, twice } => world.deliver(*which, *twice),
        Step::DeliverAll => world.deliver_all(),
        Step::Settle { rounds } => world.settle(u64::from(rounds % 3 + 1) * 500),
        Step::Lose { which } => world.lose(*which),
        Step::Unreachable { node, peer } => world.unreachable(node_index(node), node_index(peer)),
        Step::AdvanceTime { ms } => world.advance(u64::from(ms % 3_000)),
        Step::Pause { node } => world.pause(node_index(node)),
        Step::Resume { node } => world.resume(node_index(node)),
        Step::Restart { node } => world.restart(node_index(node)),
    }
}

fn check_histories(seed: u64) {
    let mut cases = 0;
    check(seed, INVARIANT_CASES / 4, |steps: [Step; 24]| {
        cases += 1;
        let mut world = World::new(seed + cases);
        world.settle(2_000);
        for step in &steps {
            apply(&mut world, step);
            world.check_nodes();
        }
        world.heal();
        world.check_converged();
    });
}

#[test]
fn no_node_reverts_and_all_converge_to_the_same_list_1() {
    check_histories(1);
}

#[test]
fn no_node_reverts_and_all_converge_to_the_same_list_2() {
    check_histories(2);
}

#[test]
fn no_node_reverts_and_all_converge_to_the_same_list_3() {
    check_histories(3);
}

#[test]
fn no_node_reverts_and_all_converge_to_the_same_list_4() {
    check_histories(4);
}

#[test]
fn a_read_that_ends_after_a_newer_update_is_dropped() {
    let mut world = World::new(8);
    world.settle(10_000);
    let subscriber = (0..NODES)
        .find(|n| world.has_source(*n))
        .expect("a subscriber");
    world.begin_read(subscriber);
    world.answer_read(subscriber);
    world.change(0, 1);
    world.settle(5_000);
    world.end_read(subscriber);
    world.check_nodes();
    let counters = &world.node(subscriber).tables().vm_replication.counters;
    assert_eq!(counters.late_reads, 1);
}

#[test]
fn an_unchanged_read_does_not_refresh_the_age_of_a_list_from_a_peer() {
    let mut world = World::new(13);
    world.settle(10_000);
    let subscriber = (0..NODES)
        .find(|n| world.has_source(*n))
        .expect("a subscriber");
    let read_ended = |world: &World| world.node(subscriber).tables().vm_replication.read_ended;
    let before = read_ended(&world);
    world.begin_read(subscriber);
    world.advance(50);
    let now = World::clock(subscriber, world.now);
    world
        .node_mut(subscriber)
        .handle(now, Event::VmListUnchanged);
    assert_eq!(read_ended(&world), before);
}

#[test]
fn only_readers_read_and_the_others_receive_changes() {
    let mut world = World::new(9);
    world.settle(10_000);
    let before = world.reads();
    world.change(1, 1);
    world.settle(30_000);
    world.check_converged();
    let after = world.reads();
    let readers = (0..NODES).filter(|n| after[*n] > before[*n]).count();
    assert_eq!(readers, 2, "{before:?} {after:?}");
    let full_lists_sent = |n| {
        world
            .node(n)
            .tables()
            .vm_replication
            .counters
            .snapshots_sent
    };
    assert_eq!(
        (0..NODES).map(full_lists_sent).sum::<u64>(),
        0,
        "no full list is sent"
    );
}

#[test]
fn a_node_without_a_responding_reader_falls_back_to_its_own_reads() {
    let mut world = World::new(10);
    world.settle(10_000);
    let subscriber = (0..NODES)
        .find(|n| world.has_source(*n))
        .expect("a subscriber");
    world.drop_vm_list_messages();
    let now = World::clock(subscriber, world.now);
    let delay = world.node_mut(subscriber).next_vms_read(now).after;
    let fallback = world.node(subscriber).configs().vm_list.fallback_after;
    assert!(delay <= fallback * 2, "{delay:?}");
    let before = world.reads()[subscriber];
    world.settle(30_000);
    assert!(world.reads()[subscriber] > before);
    world.change(2, 1);
    world.settle(10_000);
    world.check_converged();
}

#[test]
fn an_update_with_a_wrong_digest_is_rejected_and_the_full_list_queried() {
    let mut world = World::new(11);
    world.settle(10_000);
    let subscriber = (0..NODES)
        .find(|n| world.has_source(*n))
        .expect("a subscriber");
    world.change(3, 1);
    world.corrupt_updates = true;
    world.settle(3_000);
    let follow = &world.node(subscriber).tables().vm_replication;
    assert!(follow.counters.divergences > 0);
    world.corrupt_updates = false;
    world.settle(5_000);
    world.check_converged();
    let full_lists_sent = |n| {
        world
            .node(n)
            .tables()
            .vm_replication
            .counters
            .snapshots_sent
    };
    assert!((0..NODES).map(full_lists_sent).sum::<u64>() > 0);
}

#[test]
fn full_lists_are_sent_one_at_a_time() {
    let mut world = World::new(12);
    world.settle(10_000);
    let reader = (0..NODES)
        .find(|n| !world.has_source(*n))
        .expect("a reader");
    world.deliver_all();
    for n in (0..NODES).filter(|n| *n != reader) {
        let (query_id, held) = (n as u64, None);
        let message = PeerMessage::Vms(VmListMessage::Query { query_id, held });
        world.deliver_from(n, reader, message);
    }
    let waiting = |world: &World| {
        world
            .node(reader)
            .tables()
            .vm_replication
            .snapshot_waiters
            .len()
    };
    assert_eq!(waiting(&world), NODES - 2, "only one is sent at once");
    for left in (0..NODES - 2).rev() {
        world.advance(500);
        assert_eq!(waiting(&world), left);
    }
}
