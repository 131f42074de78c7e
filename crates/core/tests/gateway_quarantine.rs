//! Quarantine of parts of prompts that crash engines.

mod gateway_fakes;

use std::{collections::BTreeSet, time::Duration};

use bolero_generator::TypeGenerator;
use gateway_fakes::{gateway, id, ms, name, placed_engines};
use radishhaven_cases::{INVARIANT_CASES, check};
use radishhaven_core::{
    gateway::{
        CrashCause, Gateway, PromptPart, RequestDigest, Server,
        peers::{ReportRecipient, Source},
    },
    ids::VmId,
    time::Timestamp,
};

/// A part that sound prompts share with the deadly ones.
const SHARED: CrashCause = CrashCause::Part(PromptPart(0x5c1e));
const DEADLY: CrashCause = CrashCause::Part(PromptPart(0xdead));
const OTHER: CrashCause = CrashCause::Part(PromptPart(0x91bd));

fn node() -> Gateway {
    gateway(ms(0), placed_engines())
}

fn is_quarantined(gateway: &Gateway, now: Timestamp, part: CrashCause) -> bool {
    gateway.quarantine_left(now, &[part]).is_some()
}

/// Restarts an engine, which then has another start time.
fn restart(gateway: &mut Gateway, now: Timestamp, engine: &VmId) {
    let row = gateway.servers().get(engine).expect("the engine is known");
    let restarted = Server {
        started_ms: row.entry.started_ms.map(|started| started + 1),
        ..row.entry.clone()
    };
    gateway.set_server(now, engine, Some(restarted));
}

/// Sends the report of a hub to another one.
fn exchange(now: Timestamp, from: (&str, &Gateway), to: &mut Gateway) {
    let report = from.1.report(now, true, None, ReportRecipient::Hub);
    to.apply_report(now, id(from.0), Source::Hub, report);
}

#[test]
fn part_is_quarantined_after_the_second_crash() {
    let mut gateway = node();
    gateway.record_request_answered(ms(50), &[SHARED]);
    gateway.record_crash(ms(100), &name(0), &[SHARED, DEADLY]);
    assert_eq!(gateway.quarantine_left(ms(100), &[SHARED, DEADLY]), None);
    gateway.record_crash(ms(200), &name(1), &[SHARED, DEADLY]);
    let left = gateway.quarantine_left(ms(200), &[SHARED, DEADLY]);
    assert_eq!(left, Some(Duration::from_secs(60)));
    assert!(!is_quarantined(&gateway, ms(200), SHARED));
}

/// All requests of an engine break when it crashes.
#[test]
fn crash_of_one_engine_counts_once() {
    let mut gateway = node();
    for at in [100, 101, 102].map(ms) {
        gateway.record_crash(at, &name(0), &[DEADLY]);
    }
    assert!(!is_quarantined(&gateway, ms(110), DEADLY));
    restart(&mut gateway, ms(3_000), &name(0));
    gateway.record_crash(ms(4_000), &name(0), &[DEADLY]);
    assert!(is_quarantined(&gateway, ms(4_000), DEADLY));
}

#[test]
fn answer_between_crashes_clears_a_part() {
    let mut gateway = node();
    for number in 0..8 {
        let at = 100 * number as u64;
        gateway.record_crash(ms(at), &name(number), &[OTHER]);
        gateway.record_request_answered(ms(at + 50), &[OTHER]);
    }
    assert!(!is_quarantined(&gateway, ms(900), OTHER));
}

/// Guards against refusing sound prompts that share the first part with the deadly
/// ones, where no sound one has come yet.
#[test]
fn later_part_of_a_prompt_is_quarantined_first() {
    let mut gateway = node();
    for number in 0..2 {
        gateway.record_crash(ms(100), &name(number), &[SHARED, DEADLY]);
    }
    assert!(is_quarantined(&gateway, ms(100), DEADLY));
    assert!(!is_quarantined(&gateway, ms(100), SHARED));
}

/// If the earlier part is the deadly one, prompts with other later parts crash
/// engines too.
#[test]
fn earlier_part_of_prompts_that_differ_later_is_quarantined() {
    let mut gateway = node();
    for (number, later) in [(0, SHARED), (1, SHARED), (2, OTHER), (3, OTHER)] {
        gateway.record_crash(ms(100), &name(number), &[DEADLY, later]);
    }
    exchange(ms(300), ("peer", &node()), &mut gateway);
    assert!(is_quarantined(&gateway, ms(300), DEADLY));
}

/// A part may become deadly, for example with a new version of the weights.
#[test]
fn part_that_was_answered_before_needs_more_crashes() {
    let mut gateway = node();
    gateway.record_request_answered(ms(50), &[DEADLY]);
    for number in 0..3 {
        gateway.record_crash(ms(100 + number as u64), &name(number), &[DEADLY]);
    }
    assert!(!is_quarantined(&gateway, ms(200), DEADLY));
    gateway.record_crash(ms(200), &name(3), &[DEADLY]);
    assert!(is_quarantined(&gateway, ms(200), DEADLY));
}

/// Requests that wait at an engine when it crashes are sent again, and may be at
/// the next engine that crashes on the deadly part.
#[test]
fn bystander_of_a_quarantined_part_is_not_accused() {
    let mut gateway = node();
    for number in 0..2 {
        gateway.record_crash(ms(100 + number as u64), &name(number), &[DEADLY]);
    }
    gateway.record_crash(ms(110), &name(1), &[OTHER]);
    gateway.record_crash(ms(120), &name(2), &[OTHER]);
    assert!(is_quarantined(&gateway, ms(120), DEADLY));
    assert!(!is_quarantined(&gateway, ms(120), OTHER));
}

#[test]
fn quarantine_ends_and_the_next_crash_renews_it_for_longer() {
    let mut gateway = node();
    for number in 0..2 {
        gateway.record_crash(ms(100), &name(number), &[DEADLY]);
    }
    assert!(is_quarantined(&gateway, ms(60_099), DEADLY));
    assert!(!is_quarantined(&gateway, ms(60_100), DEADLY));
    gateway.record_crash(ms(70_000), &name(2), &[DEADLY]);
    let left = gateway.quarantine_left(ms(70_000), &[DEADLY]);
    assert_eq!(left, Some(Duration::from_secs(120)));
}

/// Requests with the part come to all nodes; none has to see two crashes.
#[test]
fn crashes_at_several_nodes_add_up() {
    let (mut first, mut second) = (node(), node());
    first.record_crash(ms(100), &name(0), &[DEADLY]);
    second.record_crash(ms(150), &name(1), &[DEADLY]);
    exchange(ms(200), ("first", &first), &mut second);
    assert!(is_quarantined(&second, ms(200), DEADLY));
    exchange(ms(200), ("second", &second), &mut first);
    assert!(is_quarantined(&first, ms(200), DEADLY));
}

/// A crash that several nodes saw is one crash.
#[test]
fn crash_seen_by_several_nodes_counts_once() {
    let (mut first, mut second) = (node(), node());
    first.record_crash(ms(100), &name(0), &[DEADLY]);
    second.record_crash(ms(101), &name(0), &[DEADLY]);
    exchange(ms(200), ("first", &first), &mut second);
    assert!(!is_quarantined(&second, ms(200), DEADLY));
}

#[test]
fn hub_passes_evidence_on_to_its_leaves() {
    let (mut leaf_a, mut hub, mut leaf_b) = (node(), node(), node());
    for number in 0..2 {
        leaf_a.record_crash(ms(100), &name(number), &[DEADLY]);
    }
    let report = leaf_a.report(ms(150), true, None, ReportRecipient::Hub);
    hub.apply_report(ms(160), id("leaf-a"), Source::Leaf, report);
    let recipient = id("leaf-b");
    let report = hub.report(ms(170), true, None, ReportRecipient::Leaf(&recipient));
    leaf_b.apply_report(ms(180), id("hub"), Source::Hub, report);
    assert!(is_quarantined(&leaf_b, ms(180), DEADLY));
}

/// A node that starts later has not seen the crashes.
#[test]
fn quarantine_outlives_the_nodes_that_saw_the_crashes() {
    let (mut first, mut second, mut third) = (node(), node(), node());
    for number in 0..2 {
        first.record_crash(ms(100), &name(number), &[DEADLY]);
    }
    exchange(ms(200), ("first", &first), &mut second);
    exchange(ms(20_000), ("second", &second), &mut third);
    assert!(is_quarantined(&third, ms(20_000), DEADLY));
    let left = third.quarantine_left(ms(20_000), &[DEADLY]);
    assert!(left <= Some(Duration::from_millis(40_200)), "{left:?}");
}

/// Guards against refusing sound prompts because one node has not seen an answer
/// on a part that they share with the deadly ones.
#[test]
fn part_that_a_peer_has_answered_is_released() {
    let (mut first, mut second) = (node(), node());
    second.record_request_answered(ms(50), &[SHARED]);
    for number in 0..2 {
        first.record_crash(ms(100), &name(number), &[DEADLY, SHARED]);
    }
    assert!(
        is_quarantined(&first, ms(100), SHARED),
        "nothing speaks for it yet"
    );
    exchange(ms(110), ("first", &first), &mut second);
    exchange(ms(120), ("second", &second), &mut first);
    for gateway in [&first, &second] {
        assert!(is_quarantined(gateway, ms(130), DEADLY));
        assert!(!is_quarantined(gateway, ms(130), SHARED));
    }
}

/// Guards against accusing and releasing a part by turns: a peer reports its
/// answers only while the part is under suspicion.
#[test]
fn released_part_is_not_accused_again_by_the_same_crashes() {
    let (mut first, mut second) = (node(), node());
    second.record_request_answered(ms(50), &[SHARED]);
    for number in 0..2 {
        first.record_crash(ms(100), &name(number), &[SHARED]);
    }
    exchange(ms(110), ("first", &first), &mut second);
    exchange(ms(120), ("second", &second), &mut first);
    assert!(!is_quarantined(&first, ms(120), SHARED));
    exchange(ms(5_000), ("third", &node()), &mut first);
    assert!(!is_quarantined(&first, ms(5_000), SHARED));
}

/// A request that crashes servers by itself.
const REQUEST: CrashCause = CrashCause::Request(RequestDigest(0xfeed));
const BYSTANDER: CrashCause = CrashCause::Request(RequestDigest(0xb57a));

#[test]
fn request_is_quarantined_after_the_second_crash() {
    let (mut first, mut second) = (node(), node());
    first.record_crash(ms(100), &name(0), &[REQUEST]);
    exchange(ms(150), ("first", &first), &mut second);
    assert!(!is_quarantined(&second, ms(150), REQUEST));
    second.record_crash(ms(200), &name(1), &[REQUEST]);
    exchange(ms(250), ("second", &second), &mut first);
    for gateway in [&first, &second] {
        assert!(is_quarantined(gateway, ms(250), REQUEST));
    }
}

/// Guards against refusing all prompts that share a part with a request that crashes
/// servers by itself.
#[test]
fn request_accounts_for_the_crashes_on_its_answered_parts() {
    let mut gateway = node();
    gateway.record_request_answered(ms(50), &[SHARED]);
    for number in 0..4 {
        let at = ms(100 + number as u64);
        gateway.record_crash(at, &name(number), &[SHARED, REQUEST]);
    }
    assert!(is_quarantined(&gateway, ms(200), REQUEST));
    assert!(!is_quarantined(&gateway, ms(200), SHARED));
}

/// The next request with a deadly part is another one, so that quarantining requests
/// alone would cost two servers for each.
#[test]
fn unanswered_part_is_quarantined_with_the_first_request_that_has_it() {
    let mut gateway = node();
    for number in 0..2 {
        gateway.record_crash(ms(100), &name(number), &[DEADLY, REQUEST]);
    }
    assert!(is_quarantined(&gateway, ms(100), DEADLY));
}

/// A bystander may have been sent again to the server that crashed next. Its crashes
/// may be known before those of the other request.
#[test]
fn bystander_at_the_same_crashes_is_not_refused() {
    for requests in [[BYSTANDER, REQUEST], [REQUEST, BYSTANDER]] {
        let mut gateway = node();
        for number in 0..2 {
            for cause in requests {
                gateway.record_crash(ms(100 + number as u64), &name(number), &[cause]);
            }
        }
        assert!(!is_quarantined(&gateway, ms(110), BYSTANDER));
        gateway.record_request_answered(ms(110), &[BYSTANDER]);
        gateway.record_crash(ms(200), &name(2), &[REQUEST]);
        assert!(is_quarantined(&gateway, ms(200), REQUEST));
        assert!(!is_quarantined(&gateway, ms(200), BYSTANDER));
    }
}

/// A request that comes every few minutes crashes servers all the same.
#[test]
fn crashes_that_are_minutes_apart_add_up() {
    let mut gateway = node();
    let at = |minutes: u64| ms(minutes * 60_000);
    gateway.record_crash(at(0), &name(0), &[REQUEST, DEADLY]);
    gateway.record_crash(at(5), &name(1), &[REQUEST, DEADLY]);
    assert!(is_quarantined(&gateway, at(5), REQUEST));
    assert!(
        !is_quarantined(&gateway, at(5), DEADLY),
        "a part is answered meanwhile"
    );
    assert!(!is_quarantined(&gateway, at(6), REQUEST));
    gateway.record_crash(at(10), &name(2), &[REQUEST]);
    let left = gateway.quarantine_left(at(10), &[REQUEST]);
    assert_eq!(left, Some(Duration::from_secs(120)));
}

#[test]
fn changes_are_returned_once() {
    let mut gateway = node();
    for number in 0..2 {
        gateway.record_crash(ms(100), &name(number), &[DEADLY]);
    }
    let changes = gateway.take_quarantine_changes();
    let parts: Vec<CrashCause> = changes.iter().map(|change| change.cause).collect();
    assert_eq!(parts, [DEADLY]);
    assert_eq!(gateway.take_quarantine_changes(), []);
}

#[derive(Debug, Clone, TypeGenerator)]
enum Step {
    Crash { node: u8, engine: u8, parts: u8 },
    Answer { node: u8, part: u8 },
    Exchange { from: u8, to: u8 },
    Restart { engine: u8 },
    Wait { ms: u16 },
}

const NODES: usize = 3;
const PARTS: u8 = 4;

fn part(number: u8) -> CrashCause {
    CrashCause::Part(PromptPart(u64::from(number % PARTS)))
}

/// Returns two parts and two requests, by their numbers.
fn part_or_request(number: u8) -> CrashCause {
    match number % PARTS {
        number @ 0..2 => part(number),
        number => CrashCause::Request(RequestDigest(u64::from(number))),
    }
}

/// For any history, only parts are quarantined on whose requests two engines
/// crashed, and nodes that have exchanged all they know agree.
#[test]
fn only_parts_of_two_crashes_are_quarantined_and_nodes_agree() {
    check_histories(0x9a4, part);
}

#[test]
fn only_requests_of_two_crashes_are_quarantined_and_nodes_agree() {
    check_histories(0x9a5, part_or_request);
}

fn check_histories(seed: u64, part: fn(u8) -> CrashCause) {
    check(seed, INVARIANT_CASES / 10, |steps: Vec<Step>| {
        let mut nodes: [Gateway; NODES] = std::array::from_fn(|_| node());
        let names = ["front-0", "front-1", "front-2"];
        let mut now = ms(0);
        let mut crashed: BTreeSet<(CrashCause, VmId, Option<u64>)> = BTreeSet::new();
        for step in steps {
            match step {
                Step::Crash {
                    node,
                    engine,
                    parts,
                } => {
                    let engine = name(usize::from(engine % 4));
                    let parts: Vec<CrashCause> = (0..PARTS)
                        .filter(|n| parts & (1 << n) != 0)
                        .map(part)
                        .collect();
                    let gateway = &mut nodes[usize::from(node) % NODES];
                    let row = gateway.servers().get(&engine).expect("the engine is known");
                    let started = row.entry.started_ms;
                    crashed.extend(parts.iter().map(|part| (*part, engine.clone(), started)));
                    gateway.record_crash(now, &engine, &parts);
                }
                Step::Answer { node, part: number } => {
                    let gateway = &mut nodes[usize::from(node) % NODES];
                    gateway.record_request_answered(now, &[part(number)]);
                }
                Step::Exchange { from, to } => {
                    let (from, to) = (usize::from(from) % NODES, usize::from(to) % NODES);
                    if from != to {
                        let report = nodes[from].report(now, true, None, ReportRecipient::Hub);
                        nodes[to].apply_report(now, id(names[from]), Source::Hub, report);
                    }
                }
                Step::Restart { engine } => {
                    for gateway in &mut nodes {
                        restart(gateway, now, &name(usize::from(engine % 4)));
                    }
                }
                Step::Wait { ms } => now = now + Duration::from_millis(ms.into()),
            }
        }
        for _ in 0..3 {
            for from in 0..NODES {
                let report = nodes[from].report(now, true, None, ReportRecipient::Hub);
                for to in (0..NODES).filter(|to| *to != from) {
                    nodes[to].apply_report(now, id(names[from]), Source::Hub, report.clone());
                }
            }
        }
        for part in (0..PARTS).map(part) {
            let quarantined = nodes.each_ref().map(|node| is_quarantined(node, now, part));
            assert!(
                quarantined.iter().all(|q| *q == quarantined[0]),
                "{part}: {quarantined:?}"
            );
            let crashes = crashed
                .iter()
                .filter(|(crashed, ..)| *crashed == part)
                .count();
            assert!(!quarantined[0] || crashes >= 2, "{part} after {crashes}");
        }
    });
}
