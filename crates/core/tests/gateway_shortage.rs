//! Decisions under load that exceeds capacity: which requests start, and what nodes tell
//! each other about engines that fail.

mod gateway_fakes;

use std::{collections::BTreeMap, time::Duration};

use gateway_fakes::{
    ENGINES, HOST, KEY, TYPICAL, configuration, engine, gateway, id, ms, name, placed_engines,
};
use radishhaven_core::{
    gateway::{
        Configuration, Gateway, Server, Ticket, TicketOutcome,
        paths::TokenEstimate,
        peers::{ReportRecipient, Source},
        state::Admission,
    },
    ids::{Priority, VmId},
    time::Timestamp,
};

/// Number of nodes above which a node's view of the load is stale.
const MANY_NODES: u32 = 60;

/// Routes of one service by priority: path, priority and target latency.
const ROUTES: [(&str, u8, u64); 3] = [("urgent", 0, 500), ("usual", 1, 500), ("batch", 2, 1_000)];

/// A configuration with routes of three priorities.
fn three_priorities() -> Configuration {
    let mut configuration = configuration(2);
    for (name, priority, target_ms) in ROUTES {
        let mut route = configuration.routes["trip"].clone();
        route.path_prefix = format!("/{name}/");
        route.priority = Priority(priority);
        route.target_latency = Duration::from_millis(target_ms);
        configuration.routes.insert(name.to_owned(), route);
    }
    configuration
}

fn node(now: Timestamp, servers: BTreeMap<VmId, Server>, configuration: Configuration) -> Gateway {
    let mut node = gateway(now, servers);
    node.set_configuration(configuration);
    node.confirm_configuration(now);
    node.record_node_count(now, MANY_NODES);
    node
}

fn admit(node: &mut Gateway, now: Timestamp, route: &str) -> Admission {
    let path = format!("/{route}/1");
    let routed = node.route(now, HOST, &path, Some(KEY));
    let routed = routed.expect("the route exists");
    node.admit(now, &routed, &id(ENGINES), Some(TYPICAL))
}

/// Starts requests until one does not start, and returns those that did.
fn fill(node: &mut Gateway, now: Timestamp, route: &str) -> Vec<Ticket> {
    let mut tickets = Vec::new();
    while let Admission::Start(ticket) = admit(node, now, route) {
        tickets.push(ticket);
        assert!(tickets.len() < 10_000, "nothing bounds the backlog");
    }
    tickets
}

/// Load pattern: a burst of requests of the lowest priority. Guards against engines whose
/// backlog makes the urgent requests after it late.
#[test]
fn burst_of_less_urgent_requests_leaves_room_for_urgent_ones() {
    let now = ms(10_000);
    let mut node = node(now, placed_engines(), three_priorities());
    // The priorities are known from recent requests.
    for (route, _, _) in ROUTES {
        let Admission::Start(ticket) = admit(&mut node, now, route) else {
            panic!("idle engines take each request");
        };
        node.finish(now, &ticket, TicketOutcome::Abandoned);
    }
    let batch = fill(&mut node, now, "batch");
    let usual = fill(&mut node, now, "usual");
    let urgent = fill(&mut node, now, "urgent");
    assert!(!batch.is_empty() && !usual.is_empty());
    let reserved = batch.len() / 4;
    assert!(
        urgent.len() > reserved,
        "{} urgent after {} batch",
        urgent.len(),
        batch.len()
    );
}

/// Load pattern: less urgent requests run long, so that memory is the limit and not their
/// prompts. Guards against a full KV cache when urgent requests arrive, on paths through
/// copies as well as on others.
#[test]
fn long_running_less_urgent_requests_leave_memory_for_urgent_ones() {
    let now = ms(10_000);
    for nodes in [7, MANY_NODES] {
        let mut node = node(now, placed_engines(), three_priorities());
        node.record_node_count(now, nodes);
        for (route, _, _) in ROUTES {
            assert!(matches!(admit(&mut node, now, route), Admission::Start(_)));
        }
        let mut fill_read = |route| {
            let mut count = 0;
            while let Admission::Start(mut ticket) = admit(&mut node, now, route) {
                node.record_first_event(&mut ticket);
                count += 1;
            }
            count
        };
        let (batch, urgent) = (fill_read("batch"), fill_read("urgent"));
        assert!(
            batch > 300 && urgent > 20,
            "{nodes} nodes: {batch} batch, {urgent} urgent"
        );
    }
}

/// Guards against large requests that never start: their own prompt takes longer than the
/// bound, also at idle engines.
#[test]
fn long_prompt_of_any_priority_starts_at_idle_engines() {
    let now = ms(10_000);
    let mut node = node(now, placed_engines(), three_priorities());
    for (route, _, _) in ROUTES {
        let Admission::Start(ticket) = admit(&mut node, now, route) else {
            panic!("idle engines take each request");
        };
        node.finish(now, &ticket, TicketOutcome::Abandoned);
    }
    let long = TokenEstimate {
        prompt: 20_000,
        output: 200,
    };
    for (route, _, _) in ROUTES {
        let path = format!("/{route}/1");
        let routed = node.route(now, HOST, &path, Some(KEY));
        let routed = routed.expect("the route exists");
        let admission = node.admit(now, &routed, &id(ENGINES), Some(long));
        let Admission::Start(ticket) = admission else {
            panic!("{route}: {admission:?}");
        };
        node.finish(now, &ticket, TicketOutcome::Abandoned);
    }
}

/// Guards against a bound that a route keeps short which is no longer used.
#[test]
fn target_of_a_route_counts_for_some_seconds_only() {
    let mut configuration = three_priorities();
    let mut short = configuration.routes["urgent"].clone();
    short.path_prefix = "/short/".to_owned();
    short.target_latency = Duration::from_millis(60);
    configuration.routes.insert("short".to_owned(), short);
    let mut node = node(ms(10_000), placed_engines(), configuration);
    let Admission::Start(ticket) = admit(&mut node, ms(10_000), "short") else {
        panic!("idle engines take each request");
    };
    node.finish(ms(10_000), &ticket, TicketOutcome::Abandoned);
    let mut count_at = |now: Timestamp| {
        node.confirm_configuration(now);
        // Bounds apply while there are several priorities.
        let Admission::Start(ticket) = admit(&mut node, now, "usual") else {
            panic!("idle engines take each request");
        };
        node.finish(now, &ticket, TicketOutcome::Abandoned);
        let tickets = fill(&mut node, now, "urgent");
        for ticket in &tickets {
            node.finish(now, ticket, TicketOutcome::Abandoned);
        }
        tickets.len()
    };
    let beside = count_at(ms(12_000));
    // Requests with the longer target keep the priority in use.
    count_at(ms(14_000));
    let later = count_at(ms(15_500));
    assert!(
        beside < later,
        "{beside} beside the short target, {later} after it"
    );
}

/// A deployment with one priority has neither bounds nor reserves: its requests start as long
/// as engines have memory.
#[test]
fn one_priority_has_no_bounds() {
    let now = ms(10_000);
    let mut node_of_one = node(now, placed_engines(), three_priorities());
    let alone = fill(&mut node_of_one, now, "batch").len();
    let mut node_of_three = node(now, placed_engines(), three_priorities());
    for (route, _, _) in ROUTES {
        let admission = admit(&mut node_of_three, now, route);
        assert!(matches!(admission, Admission::Start(_)));
    }
    let beside = fill(&mut node_of_three, now, "batch").len();
    assert!(
        beside < alone,
        "{beside} beside more urgent ones, {alone} alone"
    );
    assert_eq!(
        node_of_one.engine_priority(now, &id(ENGINES), Priority(2)),
        None
    );
    let priority = node_of_three.engine_priority(now, &id(ENGINES), Priority(2));
    assert_eq!(priority, Some(Priority(2)));
    let later = now + Duration::from_secs(6);
    let priority = node_of_three.engine_priority(later, &id(ENGINES), Priority(2));
    assert_eq!(priority, None, "a priority counts for some seconds only");
}

/// Routes that state no gap between events put no bound on the backlog.
#[test]
fn routes_without_a_gap_have_no_bound() {
    let now = ms(10_000);
    let count = |configuration: Configuration| {
        let mut node = node(now, placed_engines(), configuration);
        for (route, _, _) in ROUTES {
            assert!(matches!(admit(&mut node, now, route), Admission::Start(_)));
        }
        fill(&mut node, now, "urgent").len()
    };
    let mut configuration = three_priorities();
    for route in configuration.routes.values_mut() {
        route.target_gap = None;
    }
    let bounded = count(three_priorities());
    let unbounded = count(configuration);
    assert!(bounded < unbounded, "{bounded} and {unbounded} requests");
}

/// A node of a deployment with two copies: the engines 0 and 1, and 2 and 3.
fn two_copies(now: Timestamp) -> Gateway {
    let halves = [(0, 40), (40, 80)];
    let engines = (0..4).map(|number| {
        let layers = Some(halves[number % 2]);
        let domain = ["centro", "cordon"][number / 2];
        (name(number), engine(number, domain, "a100", layers))
    });
    node(now, engines.collect(), configuration(2))
}

/// Sends requests until engine 1 takes part in one, whose ticket is returned.
fn start_at_engine_1(node: &mut Gateway, now: Timestamp) -> Option<Ticket> {
    for _ in 0..40 {
        let Admission::Start(ticket) = admit(node, now, "trip") else {
            return None;
        };
        if uses_engine_1(&ticket) {
            return Some(ticket);
        }
        node.finish(now, &ticket, TicketOutcome::Abandoned);
    }
    None
}

fn uses_engine_1(ticket: &Ticket) -> bool {
    match &ticket.target {
        radishhaven_core::gateway::Target::Engines(path) => {
            path.stages.iter().any(|stage| stage.server == name(1))
        }
        _ => false,
    }
}

/// Lets a node find that engine 1 refuses requests.
fn fail_engine_1(node: &mut Gateway, now: Timestamp) {
    let ticket = start_at_engine_1(node, now).expect("the engine takes requests");
    let by = Some(node.servers().get(&name(1)).expect("listed").entry.address);
    node.finish(now, &ticket, TicketOutcome::Full { by });
}

/// Load pattern: an engine crashes under the requests of many nodes. Guards against each
/// of them sending it requests until it has learned of the crash by itself.
#[test]
fn nodes_do_not_use_an_engine_that_failed_at_a_peer() {
    let (start, now) = (ms(20_000), ms(20_400));
    let (mut first, mut second) = (two_copies(start), two_copies(start));
    fail_engine_1(&mut first, now);
    assert!(first.take_new_fault(), "peers learn it at once");
    assert!(!first.take_new_fault());
    let report = first.fault_report(now, ReportRecipient::Hub);
    assert!(start_at_engine_1(&mut second, now).is_some());
    assert!(second.apply_faults(now, &id("front-1"), report.clone()));
    assert!(!second.apply_faults(now, &id("front-1"), report));
    assert!(start_at_engine_1(&mut second, now).is_none());
    assert_eq!(second.faulty_engines(now), 1);
    let later = now + Duration::from_secs(2);
    assert_eq!(second.faulty_engines(later), 0);
    assert!(
        start_at_engine_1(&mut second, later).is_some(),
        "the engine is tested again"
    );
}

/// A node whose own links are cut reports faults of healthy engines.
#[test]
fn progress_after_a_fault_voids_it() {
    let (start, now) = (ms(20_000), ms(20_400));
    let (mut cut_off, mut healthy) = (two_copies(start), two_copies(start));
    let ticket = start_at_engine_1(&mut healthy, start).expect("the engine takes requests");
    fail_engine_1(&mut cut_off, now);
    let report = cut_off.fault_report(now, ReportRecipient::Hub);
    healthy.apply_faults(now, &id("front-1"), report);
    assert!(start_at_engine_1(&mut healthy, now).is_none());
    let later = now + Duration::from_millis(50);
    healthy.record_progress(later, &ticket);
    assert!(start_at_engine_1(&mut healthy, later).is_some());
}

/// Load pattern: an engine is full, but works. Guards against its copy being closed at all
/// nodes, whose requests would then fill the other copies.
#[test]
fn refusal_of_an_engine_that_makes_progress_is_no_fault() {
    let (start, now) = (ms(20_000), ms(20_400));
    let mut node = two_copies(start);
    let ticket = start_at_engine_1(&mut node, start).expect("the engine takes requests");
    node.record_progress(now, &ticket);
    fail_engine_1(&mut node, now);
    assert!(!node.take_new_fault());
    let report = node.fault_report(now, ReportRecipient::Hub);
    assert!(report.faults.is_empty());
}

/// A restarted engine has nothing to do with the faults of the one before.
#[test]
fn fault_of_an_earlier_incarnation_does_not_count() {
    let (start, now) = (ms(20_000), ms(20_400));
    let (mut first, mut second) = (two_copies(start), two_copies(start));
    fail_engine_1(&mut first, now);
    let report = first.fault_report(now, ReportRecipient::Hub);
    let mut restarted = engine(1, "centro", "a100", Some((40, 80)));
    restarted.started_ms = Some(9);
    second.set_server(now, &name(1), Some(restarted));
    second.apply_faults(now, &id("front-1"), report);
    assert!(start_at_engine_1(&mut second, now).is_some());
}

/// A hub passes on what its leaves found, and a leaf does not hear its own faults again.
/// Old faults are not passed on, because their age grows only as long as a node counts it.
#[test]
fn hub_passes_on_the_faults_of_its_leaves() {
    let (start, now) = (ms(20_000), ms(20_400));
    let (mut leaf, mut hub) = (two_copies(start), two_copies(start));
    fail_engine_1(&mut leaf, now);
    let vm: VmId = id("front-1");
    let load = leaf.report(now, true, None, ReportRecipient::Hub);
    hub.apply_report(now, vm.clone(), Source::Leaf, load);
    hub.apply_faults(now, &vm, leaf.fault_report(now, ReportRecipient::Hub));
    assert_eq!(hub.fault_report(now, ReportRecipient::Hub).faults.len(), 1);
    let other: VmId = id("front-2");
    assert_eq!(
        hub.fault_report(now, ReportRecipient::Leaf(&other))
            .faults
            .len(),
        1
    );
    assert_eq!(
        hub.fault_report(now, ReportRecipient::Leaf(&vm))
            .faults
            .len(),
        0
    );
    let later = now + Duration::from_millis(1_100);
    assert_eq!(
        hub.fault_report(later, ReportRecipient::Hub).faults.len(),
        0
    );
    assert_eq!(
        leaf.fault_report(later, ReportRecipient::Hub).faults.len(),
        0
    );
}
