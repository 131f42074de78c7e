//! The VM list over several nodes whose reads, messages and clocks differ.

mod world;

use bolero_generator::TypeGenerator;
use radishhaven_cases::{INVARIANT_CASES, check};

use self::world::{NODES, World};
use crate::{
    message::Event,
    peer::{PeerMessage, VmsMessage},
};

#[derive(Debug, Clone, TypeGenerator)]
enum Step {
    Change { vm: u8, kind: u8 },
    Read { node: u8 },
    BeginRead { node: u8 },
    Show { node: u8 },
    EndRead { node: u8 },
    LoseRead { node: u8 },
    Deliver { which: u8, twice: bool },
    DeliverAll,
    Quiet { rounds: u8 },
    Lose { which: u8 },
    Unreachable { node: u8, peer: u8 },
    Pass { ms: u16 },
    Pause { node: u8 },
    Resume { node: u8 },
    Restart { node: u8 },
}

fn take(world: &mut World, step: &Step) {
    let of = |node: &u8| *node as usize % NODES;
    match step {
        Step::Change { vm, kind } => world.change(*vm, *kind),
        Step::Read { node } => world.read(of(node)),
        Step::BeginRead { node } => world.begin_read(of(node)),
        Step::Show { node } => world.show(of(node)),
        Step::EndRead { node } => world.end_read(of(node)),
        Step::LoseRead { node } => world.lose_read(of(node)),
        Step::Deliver { which, twice } => world.deliver(*which, *twice),
        Step::DeliverAll => world.deliver_all(),
        Step::Quiet { rounds } => world.settle(u64::from(rounds % 3 + 1) * 500),
        Step::Lose { which } => world.lose(*which),
        Step::Unreachable { node, peer } => world.unreachable(of(node), of(peer)),
        Step::Pass { ms } => world.pass(u64::from(ms % 3_000)),
        Step::Pause { node } => world.pause(of(node)),
        Step::Resume { node } => world.resume(of(node)),
        Step::Restart { node } => world.restart(of(node)),
    }
}

fn histories(seed: u64) {
    let mut cases = 0;
    check(seed, INVARIANT_CASES / 4, |steps: [Step; 24]| {
        cases += 1;
        let mut world = World::new(seed + cases);
        world.settle(2_000);
        for step in &steps {
            take(&mut world, step);
            world.judge();
        }
        world.heal();
        world.judge_converged();
    });
}

#[test]
fn no_node_goes_back_and_all_come_to_the_same_list_1() {
    histories(1);
}

#[test]
fn no_node_goes_back_and_all_come_to_the_same_list_2() {
    histories(2);
}

#[test]
fn no_node_goes_back_and_all_come_to_the_same_list_3() {
    histories(3);
}

#[test]
fn no_node_goes_back_and_all_come_to_the_same_list_4() {
    histories(4);
}

#[test]
fn a_read_that_waited_while_something_newer_came_is_dropped() {
    let mut world = World::new(8);
    world.settle(10_000);
    let follower = (0..NODES).find(|n| world.relies(*n)).expect("a follower");
    world.begin_read(follower);
    world.show(follower);
    world.change(0, 1);
    world.settle(5_000);
    world.end_read(follower);
    world.judge();
    let counters = &world.node(follower).tables().vm_replication.counters;
    assert_eq!(counters.late_reads, 1);
}

#[test]
fn the_same_answer_does_not_date_a_list_that_a_peer_gave() {
    let mut world = World::new(13);
    world.settle(10_000);
    let follower = (0..NODES).find(|n| world.relies(*n)).expect("a follower");
    let dated = |world: &World| world.node(follower).tables().vm_replication.read_ended;
    let before = dated(&world);
    world.begin_read(follower);
    world.pass(50);
    let now = World::clock(follower, world.now);
    world.node_mut(follower).handle(now, Event::VmListUnchanged);
    assert_eq!(dated(&world), before);
}

#[test]
fn only_readers_read_and_the_others_are_told_what_changed() {
    let mut world = World::new(9);
    world.settle(10_000);
    let before = world.reads();
    world.change(1, 1);
    world.settle(30_000);
    world.judge_converged();
    let after = world.reads();
    let readers = (0..NODES).filter(|n| after[*n] > before[*n]).count();
    assert_eq!(readers, 2, "{before:?} {after:?}");
    let given = |n| {
        world
            .node(n)
            .tables()
            .vm_replication
            .counters
            .snapshots_sent
    };
    assert_eq!((0..NODES).map(given).sum::<u64>(), 0, "changes are enough");
}

#[test]
fn a_node_that_no_reader_helps_reads_itself_spread_in_time() {
    let mut world = World::new(10);
    world.settle(10_000);
    let follower = (0..NODES).find(|n| world.relies(*n)).expect("a follower");
    world.cut_vms_messages();
    let now = World::clock(follower, world.now);
    let pause = world.node_mut(follower).next_vms_read(now).after;
    let fallback = world.node(follower).configs().vm_list.fallback_after;
    assert!(pause <= fallback * 2, "{pause:?}");
    let before = world.reads()[follower];
    world.settle(30_000);
    assert!(world.reads()[follower] > before);
    world.change(2, 1);
    world.settle(10_000);
    world.judge_converged();
}

#[test]
fn a_part_that_leads_to_another_list_is_refused_and_the_whole_asked_for() {
    let mut world = World::new(11);
    world.settle(10_000);
    let follower = (0..NODES).find(|n| world.relies(*n)).expect("a follower");
    world.change(3, 1);
    world.spoil = true;
    world.settle(3_000);
    let follow = &world.node(follower).tables().vm_replication;
    assert!(follow.counters.divergences > 0);
    world.spoil = false;
    world.settle(5_000);
    world.judge_converged();
    let given = |n| {
        world
            .node(n)
            .tables()
            .vm_replication
            .counters
            .snapshots_sent
    };
    assert!((0..NODES).map(given).sum::<u64>() > 0);
}

#[test]
fn whole_lists_are_given_one_at_a_time() {
    let mut world = World::new(12);
    world.settle(10_000);
    let reader = (0..NODES).find(|n| !world.relies(*n)).expect("a reader");
    world.deliver_all();
    for n in (0..NODES).filter(|n| *n != reader) {
        let (question, held) = (n as u64, None);
        let message = PeerMessage::Vms(VmsMessage::Ask { question, held });
        world.hand(n, reader, message);
    }
    let waiting = |world: &World| {
        world
            .node(reader)
            .tables()
            .vm_replication
            .snapshot_waiters
            .len()
    };
    assert_eq!(waiting(&world), NODES - 2, "one at once");
    for left in (0..NODES - 2).rev() {
        world.pass(500);
        assert_eq!(waiting(&world), left);
    }
}
