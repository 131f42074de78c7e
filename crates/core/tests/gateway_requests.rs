//! What a gateway decides about requests: routes, keys, budgets, silence.

mod gateway_fakes;

use std::{collections::BTreeMap, time::Duration};

use bolero_generator::TypeGenerator;
use gateway_fakes::{
    ENGINES, HOST, KEY, PLAIN, USUAL, configuration, gateway, gateway_config, id, ms, name,
    placed_engines, server,
};
use radishhaven_cases::check;
use radishhaven_core::{
    gateway::{
        Gateway, RouteKind, Target, Ticket, TicketOutcome,
        admission::LONGEST_WAIT,
        budget::{BudgetConfig, NodeCount, RetryBudget},
        drain,
        peers::{NodeReport, ServerLoad, Source},
        routes::RouteError,
        stall::{FIRST_LOOK, StallAction},
        state::{Admission, Rejection},
    },
    ids::VmId,
    time::Timestamp,
};

const TARGET: Duration = Duration::from_millis(500);

fn start(gateway: &mut Gateway, now: Timestamp) -> Ticket {
    let routed = gateway
        .route(now, HOST, "/trip/1", Some(KEY))
        .expect("the route is there");
    match gateway.admit(now, &routed, &id(ENGINES), Some(USUAL)) {
        Admission::Start(ticket) => ticket,
        other => panic!("it did not start: {other:?}"),
    }
}

fn servers_of(ticket: &Ticket) -> Vec<VmId> {
    match &ticket.target {
        Target::Engines(path) => path.stages.iter().map(|s| s.server.clone()).collect(),
        Target::Plain { server, .. } => vec![server.clone()],
    }
}

#[test]
fn the_longest_prefix_of_the_host_selects_the_route() {
    let gateway = gateway(ms(0), BTreeMap::new());
    let find = |host, path| gateway.route(ms(0), host, path, Some(KEY)).map(|r| r.name);
    assert_eq!(find(HOST, "/log/deep/1").as_deref(), Ok("deep"));
    assert_eq!(find(HOST, "/log/1").as_deref(), Ok("log"));
    assert_eq!(
        find(HOST, "/lo"),
        Err(Rejection::Route(RouteError::NoRoute)),
        "a prefix ends with a slash"
    );
    assert_eq!(
        find("other.example", "/log/1"),
        Err(Rejection::Route(RouteError::NoRoute))
    );
}

#[test]
fn a_key_is_asked_for_unless_the_route_is_public() {
    let gateway = gateway(ms(0), BTreeMap::new());
    let denied = Err(Rejection::Route(RouteError::UnknownKey));
    let find = |path, key| {
        gateway
            .route(ms(0), HOST, path, key)
            .map(|r| r.organisation)
    };
    assert_eq!(find("/log/1", None), denied);
    assert_eq!(find("/log/1", Some("other")), denied);
    assert_eq!(find("/log/1", Some(KEY)), Ok(Some(id("hule930"))));
    assert_eq!(find("/open/1", None), Ok(None));
}

/// A key that was taken away while this node could not read the store must
/// not be served, and what is no longer certain is not denied either.
#[test]
fn without_recent_proof_keys_are_neither_served_nor_denied() {
    let gateway = gateway(ms(1_000), BTreeMap::new());
    let late = ms(1_000) + gateway_config().max_confirmation_age;
    let find = |path, key| gateway.route(late, HOST, path, key).map(|r| r.name);
    assert_eq!(find("/log/1", Some(KEY)), Err(Rejection::Unconfirmed));
    assert_eq!(find("/log/1", Some("other")), Err(Rejection::Unconfirmed));
    assert_eq!(find("/nowhere/1", Some(KEY)), Err(Rejection::Unconfirmed));
    assert_eq!(find("/open/1", None).as_deref(), Ok("open"));
}

#[test]
fn an_older_configuration_never_replaces_a_newer_one() {
    let mut gateway = gateway(ms(0), BTreeMap::new());
    assert!(gateway.set_configuration(configuration(9)));
    assert!(!gateway.set_configuration(configuration(8)));
    assert_eq!(gateway.configuration().map(|c| c.version), Some(9));
}

#[test]
fn a_server_that_starts_again_under_its_id_holds_nothing_of_before() {
    let mut gateway = gateway(ms(0), placed_engines());
    let ticket = start(&mut gateway, ms(1));
    let first = servers_of(&ticket)[0].clone();
    let mut reborn = gateway
        .servers()
        .get(&first)
        .expect("it is there")
        .entry
        .clone();
    reborn.started_ms = Some(2);
    reborn.layers = None;
    gateway.set_server(ms(2), &first, Some(reborn));
    let row = gateway.servers().get(&first).expect("it is there");
    assert_eq!((row.requests, row.tokens), (0, 0));
    // What ran there before must not be taken off the new life's counts.
    gateway.finish(ms(3), &ticket, TicketOutcome::Abandoned);
    assert_eq!(gateway.servers().get(&first).map(|r| r.requests), Some(0));
}

/// One engine of a path goes silent while the others bring events of other
/// streams: the stream moves, and only that engine is suspect.
#[test]
fn an_engine_through_which_nothing_comes_is_the_suspect() {
    let mut gateway = gateway(ms(0), placed_engines());
    let ticket = start(&mut gateway, ms(0));
    let ids = servers_of(&ticket);
    let silent = FIRST_LOOK + Duration::from_millis(10);
    let now = ms(0) + silent;
    let others = Ticket {
        service: id(ENGINES),
        target: match &ticket.target {
            Target::Engines(path) => {
                let mut path = path.clone();
                path.stages.remove(0);
                Target::Engines(path)
            }
            Target::Plain { .. } => panic!("engines were asked for"),
        },
        unread_tokens: 0,
        acquired_at: ms(0),
    };
    gateway.record_progress(now - Duration::from_millis(50), &others);
    let verdict = gateway.check_stall(now, &ticket, silent, true, TARGET);
    assert_eq!(verdict, StallAction::Failover(vec![ids[0].clone()]));
}

#[test]
fn a_stream_is_not_moved_while_its_engines_are_merely_slow() {
    let mut gateway = gateway(ms(0), placed_engines());
    let ticket = start(&mut gateway, ms(0));
    let silent = FIRST_LOOK * 2;
    let now = ms(0) + silent;
    gateway.record_progress(now, &ticket);
    let verdict = gateway.check_stall(now, &ticket, silent, true, TARGET);
    assert!(matches!(verdict, StallAction::Wait(_)), "{verdict:?}");
}

/// Engines are full: what can start in time waits, the rest is refused at once
/// with a time to come back, and whoever waits starts when room is made.
#[test]
fn requests_beyond_the_room_wait_only_while_they_can_start_in_time() {
    let mut gateway = gateway(ms(0), placed_engines());
    let routed = gateway
        .route(ms(0), HOST, "/trip/1", Some(KEY))
        .expect("the route is there");
    let mut running = Vec::new();
    let mut waiting = Vec::new();
    let mut refused = 0;
    for _ in 0..2_000 {
        match gateway.admit(ms(0), &routed, &id(ENGINES), Some(USUAL)) {
            Admission::Start(ticket) => running.push(ticket),
            Admission::Wait(key, until) => {
                assert_eq!(until, ms(0) + LONGEST_WAIT);
                waiting.push(key);
            }
            Admission::Refuse(after) => {
                assert!(after > Duration::ZERO);
                refused += 1;
            }
        }
    }
    assert!(running.len() > 300, "only {} run at once", running.len());
    assert!(!waiting.is_empty() && refused > 1_000);
    for ticket in running.drain(..20) {
        gateway.finish(ms(500), &ticket, TicketOutcome::Abandoned);
    }
    let started = gateway.start_queued(ms(500));
    assert_eq!(
        started.first().map(|(key, _)| *key),
        waiting.first().copied()
    );
}

/// More arrives for four seconds than the engines' memory holds, as in a burst
/// of the days with high load. Whoever can still be in time goes first, so that
/// most of what is served starts in time.
#[test]
fn a_lasting_overload_does_not_make_every_request_late() {
    const STEP_MS: u64 = 5;
    const HELD: Duration = Duration::from_secs(2);
    let mut gateway = gateway(ms(0), placed_engines());
    let routed = gateway
        .route(ms(0), HOST, "/trip/1", Some(KEY))
        .expect("the route is there");
    let mut running = Vec::new();
    let mut arrived = BTreeMap::new();
    let (mut started, mut timely) = (0, 0);
    for at in (0..6_000).step_by(STEP_MS as usize).map(ms) {
        let ended = running
            .iter()
            .filter(|t: &&Ticket| at >= t.acquired_at + HELD);
        let ended = ended.count();
        for ticket in running.drain(..ended) {
            gateway.finish(at, &ticket, TicketOutcome::Abandoned);
        }
        for (key, ticket) in gateway.start_queued(at) {
            if let Some((since, _)) = arrived.remove(&key) {
                started += 1;
                timely += u32::from(at.since(since) < TARGET);
            }
            running.push(ticket);
        }
        arrived.retain(|&key, (_, until)| {
            let waits = at < *until;
            if !waits {
                gateway.remove_queued(key);
            }
            waits
        });
        for _ in 0..2 {
            match gateway.admit(at, &routed, &id(ENGINES), Some(USUAL)) {
                Admission::Start(ticket) => running.push(ticket),
                Admission::Wait(key, until) => {
                    arrived.insert(key, (at, until));
                }
                Admission::Refuse(_) => {}
            }
        }
    }
    assert!(started > 200, "only {started} of the waiting were served");
    let share = f64::from(timely) / f64::from(started);
    assert!(share > 0.8, "{timely} of {started} started in time");
}

#[test]
fn a_plain_server_that_fails_is_left_alone_for_a_while() {
    let servers = (0..3).map(|n| (name(n), server(n, PLAIN, "centro")));
    let mut gateway = gateway(ms(0), servers.collect());
    gateway.record_server_failure(ms(0), &name(0));
    gateway.record_server_failure(ms(0), &name(1));
    let routed = gateway.route(ms(1), HOST, "/log/1", Some(KEY));
    let routed = routed.expect("the route is there");
    for _ in 0..10 {
        let begin = gateway.admit(ms(1), &routed, &id(PLAIN), None);
        let Admission::Start(ticket) = begin else {
            panic!("the third server has room");
        };
        assert_eq!(servers_of(&ticket), [name(2)]);
    }
}

#[derive(Debug, TypeGenerator)]
struct Load {
    nodes: u8,
    steps: Vec<(u8, u16, bool)>,
}

/// Whatever nodes do, their repeats in any window stay within the budget that
/// all of them share, as long as each knows how many they are.
#[test]
fn all_nodes_together_stay_within_the_retry_budget() {
    let cfg = BudgetConfig {
        ratio: 0.2,
        window: Duration::from_secs(10),
        slack: 198.0,
    };
    check(3, 2_000, |case: Load| {
        let nodes = usize::from(case.nodes % 9) + 1;
        let mut budgets: Vec<RetryBudget> = (0..nodes).map(|_| RetryBudget::default()).collect();
        let (mut requests, mut repeats) = (Vec::new(), Vec::new());
        let mut now = ms(20_000);
        for (node, pause, request) in case.steps {
            now = now + Duration::from_millis(u64::from(pause % 200));
            let budget = &mut budgets[usize::from(node) % nodes];
            if request {
                budget.request(now, &cfg);
                requests.push(now);
            }
            for _ in 0..4 {
                if budget.take(now, &cfg, nodes as u32) {
                    repeats.push(now);
                }
            }
            let within = |times: &[Timestamp]| {
                let oldest = now - cfg.window;
                times.iter().filter(|&&time| time >= oldest).count() as f64
            };
            let allowed = cfg.ratio * within(&requests) + cfg.slack;
            assert!(within(&repeats) <= allowed);
        }
    });
}

/// One node of the grown deployment, whose callers' requests fail at the
/// engines all the time.
struct Retrying {
    budget: RetryBudget,
    nodes: NodeCount,
    started: Timestamp,
}

impl Retrying {
    fn new(started: Timestamp) -> Self {
        Self {
            budget: RetryBudget::default(),
            nodes: NodeCount::default(),
            started,
        }
    }

    /// Takes a request in and repeats as often as is allowed.
    fn request(&mut self, now: Timestamp, cfg: &BudgetConfig) -> usize {
        // The node's own clock begins with its process.
        let own = ms(0) + now.since(self.started);
        self.budget.request(own, cfg);
        let nodes = self.nodes.most(own, cfg.window).unwrap_or(16);
        (0..4).filter(|_| self.budget.take(own, cfg, nodes)).count()
    }

    fn listed(&mut self, now: Timestamp, nodes: u32) {
        let own = ms(0) + now.since(self.started);
        self.nodes.listed(own, nodes + 1);
    }
}

/// Replays hunt-c0d2-3 of the grown roster: all 72 nodes are killed at 34 s and
/// start again at 36 s, where their lists name 4 nodes, then 15, then all. At
/// 70 s a list is short for a moment, as after the store's return.
#[test]
fn nodes_that_start_again_together_stay_within_the_retry_budget() {
    const NODES: usize = 72;
    let cfg = BudgetConfig {
        ratio: 0.2,
        window: Duration::from_secs(10),
        slack: 328.0,
    };
    let mut nodes: Vec<Retrying> = (0..NODES).map(|_| Retrying::new(ms(0))).collect();
    nodes.iter_mut().for_each(|node| node.listed(ms(2_000), 72));
    let lists = [
        (36_000, 4),
        (36_600, 15),
        (38_400, 72),
        (70_000, 4),
        (70_600, 15),
        (72_400, 72),
    ];
    let (mut requests, mut repeats) = (Vec::new(), Vec::new());
    for at in (14_000..90_000).step_by(20) {
        let now = ms(at);
        if at == 36_000 {
            nodes = (0..NODES).map(|_| Retrying::new(now)).collect();
        }
        for (_, count) in lists.iter().filter(|(time, _)| *time == at) {
            nodes.iter_mut().for_each(|node| node.listed(now, *count));
        }
        if (34_000..36_000).contains(&at) {
            continue;
        }
        // 300 requests a second, which go round the nodes.
        for turn in 0..6 {
            let node = &mut nodes[(at as usize / 20 * 6 + turn) % NODES];
            requests.push(now);
            let sent = node.request(now, &cfg);
            repeats.extend(std::iter::repeat_n(now, sent));
        }
        let within = |times: &[Timestamp]| {
            let oldest = now - cfg.window;
            times
                .iter()
                .rev()
                .take_while(|&&time| time >= oldest)
                .count() as f64
        };
        let allowed = cfg.ratio * within(&requests) + cfg.slack;
        let sent = within(&repeats);
        assert!(
            sent <= allowed,
            "{sent} repeats until {now}, allowed {allowed}"
        );
    }
}

#[test]
fn what_is_taken_during_a_shutdown_can_end_before_it() {
    let grace = Duration::from_secs(8);
    let streaming = RouteKind::Streaming { resumable: true };
    let takes = |kind, ms| drain::accepts(kind, Duration::from_millis(ms), grace);
    assert!(takes(streaming, 2_000) && !takes(streaming, 2_500));
    assert!(takes(RouteKind::Idempotent, 5_900) && !takes(RouteKind::Idempotent, 6_100));
    assert!(!takes(RouteKind::NonIdempotent, 6_100));
}

/// This node sees nothing through an engine, but a peer does: it is slow here,
/// not dead.
#[test]
fn progress_that_a_peer_saw_clears_an_engine() {
    let mut gateway = gateway(ms(0), placed_engines());
    let ticket = start(&mut gateway, ms(0));
    let silent = FIRST_LOOK + Duration::from_millis(10);
    let now = ms(0) + silent;
    let load = servers_of(&ticket).into_iter().map(|server| ServerLoad {
        server,
        requests: 1,
        tokens: 900,
        reading: 0,
        inbound: 0,
        seen_ms: 100,
    });
    let report = NodeReport {
        serves: true,
        stopped: Vec::new(),
        load: load.collect(),
    };
    gateway.apply_report(now, id("front-2"), Source::Hub, report);
    let verdict = gateway.check_stall(now, &ticket, silent, true, TARGET);
    assert!(matches!(verdict, StallAction::Wait(_)), "{verdict:?}");
}

/// Prompts are read in turn: one that waits at sound engines would only wait
/// again elsewhere, and be read twice.
#[test]
fn a_prompt_that_waits_for_its_turn_stays() {
    let mut gateway = gateway(ms(0), placed_engines());
    let ticket = start(&mut gateway, ms(0));
    let silent = Duration::from_millis(1_800);
    let now = ms(0) + silent;
    gateway.record_progress(now, &ticket);
    let verdict = gateway.check_stall(now, &ticket, silent, false, TARGET);
    assert!(matches!(verdict, StallAction::Wait(_)), "{verdict:?}");
}

/// A server that is gone but still listed answers "misdirected": it is tried by
/// one request after each pause, not by all that are under way.
#[test]
fn a_server_that_failed_is_tried_by_one_request() {
    let servers = BTreeMap::from([
        (name(0), server(0, PLAIN, "centro")),
        (name(1), server(1, PLAIN, "centro")),
    ]);
    let mut gateway = gateway(ms(0), servers);
    gateway.record_server_failure(ms(0), &name(0));
    let later = ms(1_000);
    gateway.confirm_configuration(later);
    let routed = gateway
        .route(later, HOST, "/log/1", Some(KEY))
        .expect("the route is there");
    let mut tried = 0;
    for _ in 0..12 {
        match gateway.admit(later, &routed, &id(PLAIN), None) {
            Admission::Start(ticket) => tried += u32::from(servers_of(&ticket) == [name(0)]),
            other => panic!("the other server has room: {other:?}"),
        }
    }
    assert!(tried <= 1, "{tried} requests tried it at once");
}

/// An engine that gives up its layers refuses new work and still ends what it
/// has: events of older streams must not send new ones there, as after the
/// moves that follow the store's return.
#[test]
fn progress_of_older_streams_does_not_end_the_pause_of_one_that_refuses() {
    let mut gateway = gateway(ms(0), placed_engines());
    let older = start(&mut gateway, ms(0));
    let refused = start(&mut gateway, ms(10));
    let first = servers_of(&older)[0].clone();
    let by = gateway.servers().get(&first).map(|row| row.entry.address);
    gateway.finish(ms(20), &refused, TicketOutcome::Full { by });
    gateway.record_progress(ms(30), &older);
    let pauses = |gateway: &Gateway, at| {
        let row = gateway.servers().get(&first).expect("it is there");
        !row.usable(at)
    };
    assert!(pauses(&gateway, ms(40)), "an older stream ended the pause");
    // One that was taken after the refusal does end it.
    let newer = Ticket {
        service: older.service.clone(),
        target: older.target.clone(),
        unread_tokens: 0,
        acquired_at: ms(50),
    };
    gateway.record_progress(ms(60), &newer);
    assert!(!pauses(&gateway, ms(61)));
}
