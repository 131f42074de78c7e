//! Lists of members on their way from hubs to leaves.

mod gateway_fakes;

use std::time::Duration;

use bolero_generator::TypeGenerator;
use gateway_fakes::{member, ms};
use radishhaven_cases::{INVARIANT_CASES, check};
use radishhaven_core::gateway::{
    StoreEra,
    list_schedule::ListSchedule,
    members::{GroupGeneration, MAX_PAGE_MEMBERS, MemberList, MemberTable},
};

fn generation(era: u64, generation: u64) -> GroupGeneration {
    let era = StoreEra(era);
    GroupGeneration { era, generation }
}

fn list(at: GroupGeneration, numbers: std::ops::Range<usize>) -> MemberList {
    MemberList::new(at, numbers.map(|n| member(n, "centro", 250)).collect())
}

fn table(list: MemberList) -> MemberTable {
    let mut table = MemberTable::default();
    table.set(list);
    table
}

/// Exchanges one query and its response, and returns whether the leaf has a new
/// list.
fn exchange(hub: &MemberTable, leaf: &mut MemberTable) -> bool {
    let page = hub.page_for(&leaf.position());
    page.is_some_and(|page| leaf.apply_page(page))
}

#[test]
fn leaf_gets_a_list_of_any_size_in_pages() {
    for count in [1, MAX_PAGE_MEMBERS, 295, 1_200] {
        let hub = table(list(generation(1, 5), 0..count));
        let mut leaf = MemberTable::default();
        let mut queries = 0;
        while leaf.members() != hub.members() {
            exchange(&hub, &mut leaf);
            queries += 1;
        }
        assert!(queries <= count.div_ceil(MAX_PAGE_MEMBERS), "{queries}");
        assert_eq!(leaf.members(), hub.members());
        assert!(!exchange(&hub, &mut leaf), "the leaf has the list");
    }
}

/// A page is repeated until it arrives, and one that arrives twice changes
/// nothing.
#[test]
fn lost_and_repeated_pages_are_harmless() {
    let hub = table(list(generation(1, 5), 0..400));
    let mut leaf = MemberTable::default();
    let page = hub.page_for(&leaf.position()).expect("a page");
    assert!(!leaf.apply_page(page.clone()));
    assert!(!leaf.apply_page(page));
    let lost = hub.page_for(&leaf.position());
    assert!(lost.is_some());
    assert!(!exchange(&hub, &mut leaf));
    assert!(exchange(&hub, &mut leaf));
    assert_eq!(leaf.members(), hub.members());
}

#[test]
fn members_that_change_at_the_same_generation_are_sent() {
    let mut hub = table(list(generation(1, 5), 0..20));
    let mut leaf = MemberTable::default();
    assert!(exchange(&hub, &mut leaf));
    hub.set(list(generation(1, 5), 0..30));
    assert!(exchange(&hub, &mut leaf));
    assert_eq!(leaf.members().len(), 30);
}

#[test]
fn earlier_generation_is_not_applied_unless_its_era_is_later() {
    let behind = table(list(generation(1, 4), 0..10));
    let mut leaf = table(list(generation(1, 5), 0..20));
    assert!(!exchange(&behind, &mut leaf));
    assert_eq!(leaf.members().len(), 20);
    let restored = table(list(generation(2, 3), 0..10));
    assert!(exchange(&restored, &mut leaf));
    assert_eq!(leaf.members().len(), 10);
}

#[derive(Debug, Clone, TypeGenerator)]
enum Step {
    Join { hub: bool, count: u16 },
    Restore { hub: bool },
    Exchange { hub: bool },
    Lose { hub: bool },
    Late { hub: bool },
}

/// For any order of joins, restores, lost and late pages, a leaf never mixes two
/// lists, never goes back, and has the list of its hub after a bounded number of
/// exchanges without a change.
#[test]
fn leaf_converges_after_any_history() {
    check(0x6d62, INVARIANT_CASES, |steps: Vec<Step>| {
        let mut hubs = [MemberTable::default(), MemberTable::default()];
        let mut leaf = MemberTable::default();
        let mut lists: Vec<usize> = vec![0];
        let mut at = generation(1, 1);
        let mut late = Vec::new();
        for step in steps {
            match step {
                Step::Join { hub, count } => {
                    at.generation += 1;
                    let count = usize::from(count) % 200;
                    hubs[usize::from(hub)].set(list(at, 0..count));
                    lists.push(count);
                }
                Step::Restore { hub } => {
                    at = generation(at.era.0 + 1, at.generation / 2);
                    hubs[usize::from(hub)].set(list(at, 0..7));
                    lists.push(7);
                }
                Step::Exchange { hub } => {
                    let before = leaf.position().complete.generation;
                    exchange(&hubs[usize::from(hub)], &mut leaf);
                    assert!(leaf.position().complete.generation >= before);
                }
                Step::Lose { hub } => drop(hubs[usize::from(hub)].page_for(&leaf.position())),
                Step::Late { hub } => {
                    late.extend(hubs[usize::from(hub)].page_for(&leaf.position()));
                    if late.len() > 2 {
                        leaf.apply_page(late.remove(0));
                    }
                }
            }
            let count = leaf.members().len();
            assert!(lists.contains(&count), "no list has {count} members");
        }
        let [first, second] = &hubs;
        let ahead =
            match first.position().complete.generation >= second.position().complete.generation {
                true => first,
                false => second,
            };
        for _ in 0..=200 / MAX_PAGE_MEMBERS {
            exchange(ahead, &mut leaf);
        }
        assert_eq!(leaf.members(), ahead.members());
    });
}

const REBALANCE_TIME: Duration = Duration::from_millis(2_200);

/// Joins each 300 ms from `from` to `to`, and lists the members when that is due.
/// Returns the times of the lists.
fn join_until(
    schedule: &mut ListSchedule,
    (from, to): (u64, u64),
    changed: impl Fn(u64) -> bool,
    is_listed: impl Fn(u64) -> bool,
) -> Vec<u64> {
    let mut lists = Vec::new();
    for at in (from..to).step_by(300) {
        if schedule.is_due(ms(at), changed(at)) {
            schedule.record_list(ms(at), is_listed(at));
            lists.push(at);
        }
    }
    lists
}

/// Load pattern: hundreds of nodes start at the same time, and the group changes
/// with each join. A list at the first join would name none of them.
#[test]
fn starting_node_lists_once_its_partition_may_have_moved() {
    let mut schedule = ListSchedule::new(REBALANCE_TIME);
    let lists = join_until(&mut schedule, (0, 20_000), |at| at <= 300, |_| true);
    assert_eq!(lists, [600, 2_700]);
}

#[test]
fn unlisted_node_lists_again_without_a_change() {
    let mut schedule = ListSchedule::new(REBALANCE_TIME);
    let lists = join_until(&mut schedule, (0, 6_000), |at| at == 0, |at| at > 3_000);
    assert_eq!(lists, [600, 2_100, 3_600]);
}

/// A change is listed soon, and once more when the partitions have moved. A group
/// that changes all the time is listed at a bounded rate.
#[test]
fn lists_follow_changes_at_a_bounded_rate() {
    let mut schedule = ListSchedule::new(REBALANCE_TIME);
    join_until(&mut schedule, (0, 9_000), |at| at == 0, |_| true);
    let lists = join_until(&mut schedule, (9_000, 20_000), |at| at == 9_000, |_| true);
    assert_eq!(lists, [9_000, 11_400]);
    let lists = join_until(&mut schedule, (20_100, 30_000), |_| true, |_| true);
    assert!(lists.len() <= 17, "{} lists in ten seconds", lists.len());
}
