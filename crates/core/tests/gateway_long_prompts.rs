//! Crashes of servers under prompts of many parts, such as long sessions.

mod gateway_fakes;

use std::time::Duration;

use gateway_fakes::{
    crashes::{WAITING, causes, node_after_crashes},
    id, ms, name,
};
use radishhaven_core::{
    gateway::{
        CrashCause, Gateway, PromptPart,
        peers::{ReportRecipient, ServerLoad, Source},
        quarantine::{MAX_REPORTED_ANSWERS, MAX_REPORTED_CAUSES, MAX_SUSPECTS},
    },
    ids::VmId,
    time::Timestamp,
};

/// Parts of the longest prompt that a request head holds.
const LONGEST: usize = 1_300;
const NODES: usize = 7;
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Requests beside the deadly one that wait at a server when it crashes.
const BYSTANDERS: usize = 4;

const DEADLY: CrashCause = CrashCause::Part(PromptPart(0xdead));
/// The part with which all prompts begin.
const SYSTEM: CrashCause = CrashCause::Part(PromptPart(0x5c1e));

/// Returns the causes of a request whose prompt begins like all others.
fn sound(number: usize) -> Vec<CrashCause> {
    let mut causes = causes(number, LONGEST);
    causes[0] = SYSTEM;
    causes
}

/// Sends the report of each node to all others.
fn exchange(now: Timestamp, nodes: &mut [Gateway]) {
    for from in 0..nodes.len() {
        let report = nodes[from].report(now, true, None, ReportRecipient::Hub);
        let others = nodes.iter_mut().enumerate().filter(|(to, _)| *to != from);
        for (_, node) in others {
            let vm = id(&format!("front-{from}"));
            node.apply_report(now, vm, Source::Hub, report.clone());
        }
    }
}

fn is_quarantined(node: &Gateway, now: Timestamp, cause: CrashCause) -> bool {
    node.quarantine_left(now, &[cause]).is_some()
}

/// Crashes three servers, each at another node, under requests of which one has
/// [`DEADLY`] at a position in its prompt, and returns the nodes some seconds later.
fn nodes_after_deadly_prompts(position: usize) -> (Timestamp, Vec<Gateway>) {
    let mut nodes: Vec<Gateway> = (0..NODES).map(|_| node_after_crashes(0, 0, 0)).collect();
    let mut now = ms(1_000);
    for node in &mut nodes {
        node.record_request_answered(now, &[SYSTEM]);
    }
    for crash in 0..3 {
        for waiting in 0..=BYSTANDERS {
            let mut causes = sound(crash * WAITING + waiting);
            if waiting == 0 {
                causes[position] = DEADLY;
            }
            nodes[crash].record_crash(now, &name(crash), &causes);
        }
        for _ in 0..10 {
            now = now + REPORT_INTERVAL;
            exchange(now, &mut nodes);
        }
    }
    (now, nodes)
}

/// Guards against crashes without end: a report has no room for all parts of the
/// prompts, and the deadly one may be any of them.
#[test]
fn deadly_part_of_a_long_prompt_is_quarantined_everywhere_after_three_crashes() {
    for position in [1, LONGEST / 2, LONGEST - 1] {
        let (now, nodes) = nodes_after_deadly_prompts(position);
        for node in &nodes {
            assert!(is_quarantined(node, now, DEADLY), "{position}");
            assert!(!is_quarantined(node, now, SYSTEM));
            // Sound prompts of the same callers pass, also those that were there.
            let passes = |number| node.quarantine_left(now, &sound(number)).is_none();
            assert!(passes(1 << 10) && (1..=BYSTANDERS).all(passes));
        }
    }
}

/// Guards against reports that are too large to be sent, so that a node counts as gone.
/// That the largest one fits a message is shown in `radishhavend`'s test `report_size`.
#[test]
fn reports_on_long_prompts_are_bounded() {
    for (requests, parts) in [
        (4, 1_000),
        (WAITING, LONGEST),
        (3 * WAITING, 2),
        (WAITING, 5_000),
    ] {
        let mut node = node_after_crashes(0, requests, parts);
        for number in 0..requests {
            node.record_request_answered(ms(1_100), &causes(number, parts));
        }
        node.review_quarantine(ms(2_000));
        let report = node
            .report(ms(2_000), true, None, ReportRecipient::Hub)
            .crashes;
        let reported: usize = report.suspects.iter().map(|s| s.causes.len()).sum();
        assert!(reported <= MAX_REPORTED_CAUSES, "{reported}");
        assert!(report.suspects.len() <= MAX_SUSPECTS);
        assert!(report.answered.len() <= MAX_REPORTED_ANSWERS);
        assert!(
            !report.suspects.is_empty() && report.suspects.iter().all(|s| !s.causes.is_empty())
        );
    }
}

/// A report has all causes if there is room.
#[test]
fn report_on_short_prompts_is_whole() {
    let node = node_after_crashes(0, WAITING, 10);
    let report = node
        .report(ms(2_000), true, None, ReportRecipient::Hub)
        .crashes;
    let counts: Vec<usize> = report.suspects.iter().map(|s| s.causes.len()).collect();
    assert_eq!(counts, [11; WAITING]);
}

/// Guards against sound prompts that stay refused although their servers go on: there are
/// more causes than a node remembers as disproved.
#[test]
fn disproved_crashes_under_long_prompts_release_all_parts() {
    let mut node = node_after_crashes(0, 0, 0);
    for number in 0..6 {
        let mut causes = sound(number);
        causes[1] = DEADLY;
        node.record_crash(ms(1_000), &name(number % 3), &causes);
    }
    node.review_quarantine(ms(1_500));
    assert!(is_quarantined(&node, ms(1_500), DEADLY));
    let mut report =
        node_after_crashes(0, 0, 0).report(ms(2_000), true, None, ReportRecipient::Hub);
    report.load = (0..3).map(|number| progress(&name(number))).collect();
    node.apply_report(ms(2_000), id("front-1"), Source::Hub, report);
    assert!(!is_quarantined(&node, ms(2_000), DEADLY));
}

fn progress(server: &VmId) -> ServerLoad {
    ServerLoad {
        server: server.clone(),
        requests: 1,
        tokens: 1,
        unread_tokens: 0,
        inbound_tokens: 0,
        progress_age_ms: 0,
    }
}
