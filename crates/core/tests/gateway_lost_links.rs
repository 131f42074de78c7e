//! Nodes that have lost links to servers that their peers reach.

mod gateway_fakes;

use std::collections::BTreeMap;

use gateway_fakes::{HOST, KEY, PLAIN, configuration, gateway, id, member, ms, name, server};
use radishhaven_core::{
    gateway::{
        CrashCause, Gateway, PromptPart, RequestDigest, Target, Ticket, TicketOutcome,
        admission::RequestSource,
        links::{ConnectFailure, PROBE_INTERVAL},
        peer_paths::{MAX_REPORTED_NODES, PathsReport},
        peers::{ReportRecipient, Source},
        state::Admission,
    },
    time::Timestamp,
};

/// Servers of the plain service.
const SERVERS: usize = 6;
/// Interval of reports, in milliseconds.
const REPORT_MS: u64 = 200;
const PART: CrashCause = CrashCause::Part(PromptPart(0x5c1e));
const REQUEST: CrashCause = CrashCause::Request(RequestDigest(7));

fn node() -> Gateway {
    let servers = (0..SERVERS).map(|number| (name(number), server(number, PLAIN, "centro")));
    gateway(ms(0), servers.collect::<BTreeMap<_, _>>())
}

fn admit(gateway: &mut Gateway, now: Timestamp) -> Admission {
    let routed = gateway.route(now, HOST, "/log/1", Some(KEY));
    gateway.admit(now, &routed.expect("the route exists"), &id(PLAIN), None)
}

/// Starts requests at all servers.
fn start_everywhere(gateway: &mut Gateway, now: Timestamp) -> Vec<Ticket> {
    let started = (0..2 * SERVERS).map(|_| match admit(gateway, now) {
        Admission::Start(ticket) => ticket,
        other => panic!("{other:?}"),
    });
    let started = started.collect();
    let idle = gateway.servers().iter().find(|(_, row)| row.requests == 0);
    assert!(idle.is_none(), "{idle:?}");
    started
}

fn exchange(now: Timestamp, from: (&str, &Gateway), to: &mut Gateway) {
    let report = from.1.report(now, true, None, ReportRecipient::Hub);
    to.apply_report(now, id(from.0), Source::Hub, report);
}

/// Loses the links of `cut` to the first servers, on which a request was running. The
/// servers go on for a peer or are gone. Returns whether the request was ever quarantined
/// at one of the nodes within some reports.
fn accuses(lost: usize, servers_go_on: bool, reports: u64) -> bool {
    let (mut cut, mut peer) = (node(), node());
    let running = start_everywhere(&mut peer, ms(0));
    let mut accused = false;
    lose_links(&mut cut, ms(1_000), lost);
    if !servers_go_on {
        lose_links(&mut peer, ms(1_000), lost);
    }
    for number in 0..lost {
        cut.record_crash(ms(1_000), &name(number), &[PART, REQUEST]);
    }
    for step in 0..reports {
        let now = ms(1_000 + step * REPORT_MS);
        for ticket in running.iter().filter(|_| servers_go_on) {
            peer.record_progress(now, ticket);
        }
        exchange(now, ("peer", &peer), &mut cut);
        exchange(now, ("cut", &cut), &mut peer);
        let left = [&cut, &peer].map(|node| node.quarantine_left(now, &[PART, REQUEST]));
        accused |= left.iter().any(Option::is_some);
    }
    accused
}

/// Guards against a node that takes its lost links for crashes, and has sound requests
/// kept from all servers.
#[test]
fn requests_on_links_that_are_lost_at_once_are_not_accused() {
    assert!(!accuses(SERVERS, true, 20));
}

/// Guards against letting a deadly request crash further servers while the node waits
/// for proof that its links are sound.
#[test]
fn requests_at_servers_that_crash_at_once_are_accused_at_once() {
    assert!(accuses(SERVERS / 2, false, 1));
}

#[test]
fn requests_at_all_servers_of_a_service_that_crash_at_once_are_accused() {
    assert!(accuses(SERVERS, false, 20));
}

/// Sends the reports of `from`, which is node `number` and has `own_requests`, to `to`.
/// All servers that it reaches have just made progress for it.
fn report_paths(
    now: Timestamp,
    (number, from): (usize, &mut Gateway),
    own_requests: u32,
    to: &mut Gateway,
) {
    let admitted: Vec<Admission> = (0..2 * SERVERS).map(|_| admit(from, now)).collect();
    for admission in admitted {
        let Admission::Start(ticket) = admission else {
            continue;
        };
        from.record_progress(now, &ticket);
        from.finish(now, &ticket, TicketOutcome::Abandoned);
    }
    exchange(now, (front(number).as_str(), from), to);
    let report = paths(now, (number, from), own_requests, ReportRecipient::Hub);
    to.apply_paths(now, &front(number), Source::Hub, &front(0), report);
}

fn paths(
    now: Timestamp,
    (number, from): (usize, &mut Gateway),
    own_requests: u32,
    recipient: ReportRecipient<'_>,
) -> PathsReport {
    let own = from.own_paths(now, &member(number, "centro", 250), own_requests, true);
    from.paths_report(now, own, recipient)
}

fn front(number: usize) -> radishhaven_core::ids::VmId {
    member(number, "centro", 250).vm
}

/// Loses the links to the first servers.
fn lose_links(gateway: &mut Gateway, now: Timestamp, count: usize) {
    for number in 0..count {
        gateway.record_unreachable(now, &name(number), ConnectFailure::Refused);
    }
    // The probes of the others succeed.
    for number in count..SERVERS {
        let address = server(number, PLAIN, "centro").address;
        gateway.record_probe(now, &name(number), address, true);
    }
}

fn peer_of(admission: &Admission) -> Option<String> {
    match admission {
        Admission::Start(ticket) => ticket.target.peer().map(|peer| peer.vm.to_string()),
        _ => None,
    }
}

#[test]
fn request_goes_to_a_peer_that_reaches_the_servers() {
    let (mut cut, mut peer) = (node(), node());
    lose_links(&mut cut, ms(100), SERVERS);
    report_paths(ms(300), (1, &mut peer), 4, &mut cut);
    let admission = admit(&mut cut, ms(310));
    assert_eq!(peer_of(&admission), Some(front(1).to_string()));
    // A report that is too old helps no more.
    let refused = admit(&mut cut, ms(2_500));
    assert!(matches!(refused, Admission::Refuse(_)), "{refused:?}");
}

/// The peer has lost the same servers, so they are gone or their side is cut.
#[test]
fn request_stays_if_no_peer_reaches_more_servers() {
    for lost in [1, SERVERS / 2, SERVERS - 1] {
        let (mut one, mut other) = (node(), node());
        lose_links(&mut one, ms(100), lost);
        lose_links(&mut other, ms(100), lost);
        report_paths(ms(300), (1, &mut other), 4, &mut one);
        let admission = admit(&mut one, ms(310));
        let Admission::Start(ticket) = admission else {
            panic!("{admission:?}");
        };
        let Target::Plain { server, .. } = ticket.target else {
            panic!("{:?}", ticket.target);
        };
        let lost: Vec<_> = (0..lost).map(name).collect();
        assert!(!lost.contains(&server), "{server}");
    }
}

#[test]
fn loss_of_few_links_needs_no_peer() {
    let (mut cut, mut peer) = (node(), node());
    lose_links(&mut cut, ms(100), SERVERS / 2 - 1);
    report_paths(ms(300), (1, &mut peer), 4, &mut cut);
    assert_eq!(peer_of(&admit(&mut cut, ms(310))), None);
}

/// Two cut nodes that took each other for helpers would send a request in circles.
#[test]
fn request_of_a_peer_is_never_sent_to_another_one() {
    let (mut cut, mut peer) = (node(), node());
    lose_links(&mut cut, ms(100), SERVERS);
    report_paths(ms(300), (1, &mut peer), 4, &mut cut);
    let routed = cut.route(ms(310), HOST, "/log/1", Some(KEY));
    let routed = routed.expect("the route exists");
    let admission = cut.admit_from(ms(310), &routed, &id(PLAIN), None, RequestSource::Peer);
    assert!(matches!(admission, Admission::Refuse(_)), "{admission:?}");
}

#[test]
fn peer_that_refuses_gets_no_requests_for_a_time() {
    let mut cut = node();
    lose_links(&mut cut, ms(100), SERVERS);
    for number in [1, 2] {
        report_paths(ms(300), (number, &mut node()), 4, &mut cut);
    }
    let Admission::Start(ticket) = admit(&mut cut, ms(310)) else {
        panic!("no peer was selected");
    };
    let refusing = ticket.target.peer().expect("a peer").vm.to_string();
    cut.finish(ms(320), &ticket, TicketOutcome::RefusedByPeer);
    for step in 0..20 {
        let other = peer_of(&admit(&mut cut, ms(330 + step)));
        assert!(other.is_some_and(|other| other != refusing));
    }
}

/// Guards against a request that a peer handles by an older version of the configuration
/// than the one in force here: the store may have turned that peer away.
#[test]
fn request_goes_to_a_peer_whose_configuration_is_not_older() {
    let (mut cut, mut older, mut newer) = (node(), node(), node());
    cut.set_configuration(configuration(9));
    newer.set_configuration(configuration(10));
    lose_links(&mut cut, ms(100), SERVERS);
    report_paths(ms(300), (1, &mut older), 4, &mut cut);
    report_paths(ms(300), (2, &mut newer), 4, &mut cut);
    for step in 0..20 {
        let peer = peer_of(&admit(&mut cut, ms(310 + step)));
        assert_eq!(peer, Some(front(2).to_string()));
    }
}

/// A report may be older than the peer's configuration, so a peer that is older according
/// to its report is still tried if there is no other one, and refuses if it is.
#[test]
fn peer_with_an_older_configuration_is_tried_if_there_is_no_other() {
    let (mut cut, mut older) = (node(), node());
    cut.set_configuration(configuration(9));
    lose_links(&mut cut, ms(100), SERVERS);
    report_paths(ms(300), (1, &mut older), 4, &mut cut);
    assert_eq!(
        peer_of(&admit(&mut cut, ms(310))),
        Some(front(1).to_string())
    );
}

/// Guards against callers that wait at a node which is the only one with the newest
/// configuration and reaches no server.
#[test]
fn caller_uses_another_node_if_all_peers_are_older() {
    let mut cut = node();
    cut.set_configuration(configuration(9));
    lose_links(&mut cut, ms(100), SERVERS);
    report_paths(ms(1_200), (1, &mut node()), 4, &mut cut);
    let Admission::Start(ticket) = admit(&mut cut, ms(1_210)) else {
        panic!("no peer was selected");
    };
    cut.finish(ms(1_220), &ticket, TicketOutcome::PeerIsOlder);
    let Admission::Refuse(retry_after) = admit(&mut cut, ms(1_230)) else {
        panic!("the peer was selected again at once");
    };
    assert!(retry_after.as_millis() <= 100, "{retry_after:?}");
    // The peer reads the new configuration soon if the store serves it.
    let later = admit(&mut cut, ms(1_400));
    assert_eq!(peer_of(&later), Some(front(1).to_string()));
}

/// Own callers come first when many nodes are cut.
#[test]
fn node_takes_a_bounded_number_of_requests_of_peers() {
    let (mut cut, mut peer) = (node(), node());
    lose_links(&mut cut, ms(100), SERVERS);
    report_paths(ms(300), (1, &mut peer), 10, &mut cut);
    let sent = (0..500).map(|_| admit(&mut cut, ms(310)));
    let sent = sent
        .filter(|admission| peer_of(admission).is_some())
        .count();
    let room = peer.peer_room(10) as usize;
    assert_eq!(sent, room);
    assert!(room <= 100, "{room}");
    for _ in 0..room {
        peer.begin_peer_request();
    }
    assert_eq!(peer.peer_room(10), 0);
    peer.end_peer_request();
    assert_eq!(peer.peer_room(10), 1);
}

/// Guards against swinging requests to and fro on a link that flaps.
#[test]
fn link_that_is_lost_again_and_again_returns_later_each_time() {
    let (mut gateway, mut peer) = (node(), node());
    let running = start_everywhere(&mut peer, ms(0));
    let server = server(0, PLAIN, "centro");
    let mut now = ms(1_000);
    let mut probes_needed = Vec::new();
    for _ in 0..4 {
        gateway.record_unreachable(now, &name(0), ConnectFailure::Refused);
        let mut probes = 0;
        while gateway.lost_links() > 0 {
            now = now + PROBE_INTERVAL;
            for ticket in &running {
                peer.record_progress(now, ticket);
            }
            exchange(now, ("peer", &peer), &mut gateway);
            let due = gateway.begin_probes(now);
            assert!(due.iter().any(|(id, _)| *id == name(0)));
            gateway.record_probe(now, &name(0), server.address, true);
            probes += 1;
        }
        probes_needed.push(probes);
    }
    assert!(probes_needed.is_sorted(), "{probes_needed:?}");
    assert!(probes_needed[0] <= 3, "back within a second");
    assert!(probes_needed[3] > 2 * probes_needed[0], "{probes_needed:?}");
}

/// A leaf hears of few peers, drawn anew each time, and only when it needs them.
#[test]
fn hub_tells_a_leaf_with_lost_links_some_of_its_peers() {
    const LEAVES: usize = 120;
    let mut hub = node();
    for number in 1..=LEAVES {
        let mut leaf = node();
        if number == 1 {
            lose_links(&mut leaf, ms(100), SERVERS);
        }
        let report = paths(ms(100), (number, &mut leaf), 4, ReportRecipient::Hub);
        hub.apply_paths(ms(100), &front(number), Source::Leaf, &front(0), report);
    }
    let to_sound = paths(ms(310), (0, &mut hub), 4, ReportRecipient::Leaf(&front(2)));
    assert_eq!(to_sound.nodes.len(), 1, "the hub only");
    let mut known = std::collections::BTreeSet::new();
    for _ in 0..40 {
        let report = paths(ms(310), (0, &mut hub), 4, ReportRecipient::Leaf(&front(1)));
        assert_eq!(report.nodes.len(), MAX_REPORTED_NODES);
        assert!(report.nodes.iter().all(|node| node.vm != front(1)));
        known.extend(report.nodes.into_iter().map(|node| node.vm));
    }
    assert!(known.len() > LEAVES / 2, "{}", known.len());
}

/// Guards against probes that grow with the nodes times the servers when one server ends.
#[test]
fn end_of_one_server_causes_few_probes() {
    let mut gateway = node();
    let mut probes = 0;
    for step in 0..30 {
        let now = ms(1_000 + step * 100);
        gateway.record_unreachable(now, &name(0), ConnectFailure::Refused);
        for (id, address) in gateway.begin_probes(now) {
            probes += 1;
            gateway.record_probe(now, &id, address, id != name(0));
        }
    }
    // Three for the lost link, and in each second two for others.
    assert!(probes <= 3 + 3 * 2, "{probes} probes in 3 s");
}
