//! Tests of what is closed or refused when callers reach a bound.

use std::time::Duration;

use bolero_generator::TypeGenerator;
use radishhaven_cases::{INVARIANT_CASES, check};
use radishhaven_core::{
    gateway::caller_usage::{
        CallerBounds, CallerUsage, Eviction, Fit, HolderId, Origin, SPARE_CONNECTIONS,
    },
    time::Timestamp,
};

const MAX_HEAD: u64 = 20_480;
const MAX_BODY: u64 = 4_194_304;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// Bounds for 10 MB, of which small requests alone use 1 MB, and three connections.
fn usage() -> CallerUsage {
    CallerUsage::new(CallerBounds {
        bytes: 10_000_000,
        small_bytes: 1_000_000,
        connections: 3,
        receive_buffers: 20_000_000,
    })
}

fn room() -> Fit {
    Fit::After(Vec::new())
}

/// Opens a connection that is receiving a body of this size.
fn upload(usage: &mut CallerUsage, ms: u64, bytes: u64) -> HolderId {
    let id = usage.open_connection(at(ms), 0);
    usage.receive(at(ms), id, 100, MAX_HEAD);
    usage.serve(at(ms), id);
    assert_eq!(usage.hold(at(ms), id, bytes), room());
    usage.receive_body(at(ms), id);
    id
}

/// The smallest VM must serve a body of the largest size.
#[test]
fn largest_body_fits_the_smallest_vm() {
    let bounds = CallerBounds::new(112_000_000, 2_870);
    assert!(bounds.bytes - bounds.small_bytes > 4 * MAX_BODY);
    assert!(bounds.connections > 800);
    let least = CallerBounds::new(48_000_000, 264);
    assert!(least.bytes - least.small_bytes > MAX_BODY + MAX_HEAD);
    assert!(least.connections > 0);
}

/// Bodies that are still arriving must not be cut for newer ones, or none would ever end.
#[test]
fn bodies_in_progress_are_kept_and_new_ones_refused() {
    let mut usage = usage();
    let first = upload(&mut usage, 0, MAX_BODY);
    let second = upload(&mut usage, 0, MAX_BODY);
    for ms in (0..3_000).step_by(100) {
        usage.receive(at(ms), first, 100_000, MAX_HEAD);
        usage.receive(at(ms), second, 100_000, MAX_HEAD);
    }
    let third = usage.open_connection(at(3_000), 0);
    assert_eq!(usage.hold(at(3_000), third, MAX_BODY), Fit::Refused);
    assert_eq!(usage.hold(at(3_000), third, 1_000), room());
}

/// Small requests must be read while stalled bodies hold all the rest.
#[test]
fn small_requests_fit_beside_stalled_bodies() {
    let mut usage = usage();
    upload(&mut usage, 0, MAX_BODY);
    upload(&mut usage, 0, MAX_BODY);
    let third = usage.open_connection(at(10), 0);
    assert_eq!(usage.hold(at(10), third, 700_000), Fit::Refused);
    assert_eq!(usage.hold(at(10), third, 60_000), room());
}

#[test]
fn slowest_then_largest_then_youngest_is_closed_first() {
    let mut usage = usage();
    let slow = upload(&mut usage, 0, 2_000_000);
    let (large, small) = (
        upload(&mut usage, 0, 3_000_000),
        upload(&mut usage, 0, 1_500_000),
    );
    let younger = upload(&mut usage, 0, 1_500_000);
    for id in [large, small, younger] {
        usage.receive(at(1_500), id, 8_000, MAX_HEAD);
    }
    let mut order = Vec::new();
    for _ in 0..4 {
        let new = usage.open_connection(at(1_600), 0);
        match usage.hold(at(1_600), new, 1_400_000) {
            Fit::After(evictions) => order.extend(evictions),
            Fit::Refused => panic!("slow bodies are refused for new ones"),
        }
        usage.close(at(1_600), new, None);
        for eviction in &order {
            usage.close(at(1_600), eviction.holder(), None);
        }
        upload(&mut usage, 1_600, 1_400_000);
        while usage.held_bytes() < 8_500_000 {
            upload(&mut usage, 1_600, 400_000);
        }
    }
    let expected = [slow, large, younger, small].map(Eviction::RefuseBody);
    assert_eq!(order, expected);
}

/// A request that runs at a server must not end because of other callers.
#[test]
fn requests_that_are_served_are_never_closed() {
    let mut usage = usage();
    for _ in 0..3 {
        let id = upload(&mut usage, 0, 3_000_000 - 100);
        usage.serve(at(0), id);
    }
    let late = at(600_000);
    assert_eq!(usage.fit_connection(late, Origin::Callers), Fit::Refused);
    let new = usage.open_connection(late, 0);
    assert_eq!(usage.hold(late, new, 1_000_000), Fit::Refused);
}

/// A caller that takes its response only holds its memory for as long as it reads.
#[test]
fn unread_responses_are_closed_for_others() {
    let mut usage = usage();
    let id = usage.open_connection(at(0), 0);
    usage.receive(at(0), id, 100, MAX_HEAD);
    usage.serve(at(0), id);
    usage.hold_response(id, 10_000_000);
    usage.set_unread(at(100), id, true);
    let new = usage.open_connection(at(200), 0);
    assert_eq!(usage.hold(at(2_000), new, 1_000), Fit::Refused);
    let closed = Fit::After(vec![Eviction::Close(id)]);
    assert_eq!(usage.hold(at(3_100), new, 1_000), closed);
}

/// Slow heads and silent connections go before kept ones, which callers use again.
#[test]
fn connections_are_closed_by_use() {
    let mut usage = usage();
    let kept = usage.open_connection(at(0), 0);
    usage.receive(at(0), kept, 100, MAX_HEAD);
    usage.serve(at(0), kept);
    usage.finish(at(0), kept);
    let silent = usage.open_connection(at(0), 0);
    let slow = usage.open_connection(at(0), 0);
    usage.receive(at(0), slow, 10, MAX_HEAD);
    let young = usage.fit_connection(at(500), Origin::Callers);
    assert_eq!(young, Fit::Refused);
    for expected in [slow, silent, kept] {
        let fit = usage.fit_connection(at(2_000), Origin::Callers);
        assert_eq!(fit, Fit::After(vec![Eviction::Close(expected)]));
        usage.close(at(2_000), expected, None);
        usage.open_connection(at(2_000), 0);
    }
    assert_eq!(
        usage.fit_connection(at(2_000), Origin::Callers),
        Fit::Refused
    );
    assert_eq!(usage.fit_connection(at(2_000), Origin::Others), room());
}

/// Connections that were told to end and don't must not add up.
#[test]
fn connections_are_bounded_while_others_end() {
    let mut usage = usage();
    for _ in 0..100 {
        if usage.fit_connection(at(0), Origin::Callers) != Fit::Refused {
            usage.open_connection(at(0), 0);
        }
    }
    for _ in 0..100 {
        if usage.fit_connection(at(5_000), Origin::Callers) != Fit::Refused {
            usage.open_connection(at(0), 0);
        }
    }
    assert!(usage.connections() <= 3 + SPARE_CONNECTIONS);
}

/// A connection that carries several requests stays while one of them is open.
#[test]
fn carrier_of_open_requests_is_kept() {
    let mut usage = usage();
    let carrier = usage.open_connection(at(0), 0);
    let req = usage.open_request(at(0), carrier);
    usage.open_connection(at(4_900), 0);
    usage.open_connection(at(4_900), 0);
    assert_eq!(
        usage.fit_connection(at(5_000), Origin::Callers),
        Fit::Refused
    );
    usage.close(at(5_000), req, Some(carrier));
    let young = usage.fit_connection(at(5_800), Origin::Callers);
    assert_eq!(young, Fit::Refused);
    let kept = [at(6_000), at(6_000), at(6_000)].map(|now| {
        let fit = usage.fit_connection(now, Origin::Callers);
        assert_ne!(fit, Fit::Refused);
        fit
    });
    assert_eq!(kept[2], Fit::After(vec![Eviction::Close(carrier)]));
}

/// A drip of bytes does not extend the time for a head.
#[test]
fn head_has_a_timeout_from_its_first_byte() {
    let mut usage = usage();
    let id = usage.open_connection(at(0), 0);
    let timeout = Duration::from_secs(3);
    for ms in (10_000..13_000).step_by(100) {
        usage.receive(at(ms), id, 1, MAX_HEAD);
        assert!(usage.overdue_heads(at(ms), timeout).is_empty());
    }
    let overdue = usage.overdue_heads(at(13_000), timeout);
    assert_eq!(overdue, [Eviction::Close(id)]);
    assert!(usage.overdue_heads(at(13_100), timeout).is_empty());
}

/// All receive buffers together stay within their bound, but for the smallest size that
/// each connection needs.
#[test]
fn receive_buffers_are_bounded_together() {
    let mut usage = CallerUsage::new(CallerBounds::new(112_000_000, 2_870));
    let mut sum = 0;
    for _ in 0..2_000 {
        let buffer = usage.next_receive_buffer();
        usage.open_connection(at(0), buffer);
        sum += buffer;
    }
    assert!(sum < 20_000_000 + 2_000 * 16 * 1_024, "{sum}");
    assert!(usage.next_receive_buffer() > 0);
}

#[derive(Debug, TypeGenerator)]
enum Step {
    Open,
    Receive(u8, u16),
    Hold(u8, u32),
    Serve(u8),
    Body(u8),
    Finish(u8),
    Respond(u8, u16),
    Unread(u8, bool),
    Close(u8),
    Fit,
    Wait(u16),
}

/// Whatever callers do, the counts return to zero with the last holder, requests never
/// hold more than the bound beside what is being closed, and no evicted one was served.
#[test]
fn usage_stays_within_its_bounds() {
    check(8_844, INVARIANT_CASES / 10, |steps: Vec<Step>| {
        let mut usage = usage();
        let mut open: Vec<HolderId> = Vec::new();
        let mut serving: Vec<HolderId> = Vec::new();
        let mut now = 0;
        let mut responses = 0;
        for step in steps {
            let pick = |n: u8| open.get(usize::from(n) % open.len().max(1)).copied();
            let fit = match step {
                Step::Open => {
                    open.push(usage.open_connection(at(now), 1));
                    room()
                }
                Step::Receive(n, bytes) => pick(n).map_or(room(), |id| {
                    usage.receive(at(now), id, bytes.into(), MAX_HEAD)
                }),
                Step::Hold(n, bytes) => pick(n).map_or(room(), |id| {
                    usage.hold(at(now), id, u64::from(bytes) % MAX_BODY)
                }),
                Step::Serve(n) => {
                    if let Some(id) = pick(n) {
                        usage.serve(at(now), id);
                        usage.set_unread(at(now), id, false);
                        serving.push(id);
                    }
                    room()
                }
                Step::Body(n) | Step::Finish(n) | Step::Close(n) => {
                    if let Some(id) = pick(n) {
                        serving.retain(|other| *other != id);
                        match step {
                            Step::Body(_) => usage.receive_body(at(now), id),
                            Step::Finish(_) => usage.finish(at(now), id),
                            _ => {
                                usage.close(at(now), id, None);
                                open.retain(|other| *other != id);
                            }
                        }
                    }
                    room()
                }
                Step::Respond(n, bytes) => {
                    if let Some(id) = pick(n) {
                        usage.hold_response(id, bytes.into());
                        responses += u64::from(bytes);
                    }
                    room()
                }
                Step::Unread(n, is_unread) => {
                    if let Some(id) = pick(n) {
                        usage.set_unread(at(now), id, is_unread);
                        serving.retain(|other| *other != id);
                    }
                    room()
                }
                Step::Fit => usage.fit_connection(at(now), Origin::Callers),
                Step::Wait(ms) => {
                    now += u64::from(ms % 2_000);
                    room()
                }
            };
            if let Fit::After(evictions) = fit {
                for eviction in evictions {
                    assert!(!serving.contains(&eviction.holder()));
                    usage.close(at(now), eviction.holder(), None);
                    open.retain(|id| *id != eviction.holder());
                }
            }
            assert!(usage.held_bytes() <= 10_000_000 + responses);
        }
        for id in open {
            usage.close(at(now), id, None);
        }
        assert_eq!((usage.held_bytes(), usage.connections()), (0, 0));
    });
}
