//! Decisions of a gateway on requests: routes, keys, retry budgets, stalls.

mod gateway_fakes;

use std::{collections::BTreeMap, time::Duration};

use bolero_generator::TypeGenerator;
use gateway_fakes::{
    ENGINES, HOST, KEY, PLAIN, TYPICAL, configuration, gateway, gateway_config, id, ms, name,
    placed_engines, server,
};
use radishhaven_cases::check;
use radishhaven_core::{
    gateway::{
        Gateway, RouteKind, Target, Ticket, TicketOutcome,
        admission::MAX_QUEUE_WAIT,
        budget::{BudgetConfig, NodeCount, RetryBudget},
        drain::DrainSchedule,
        peers::{NodeReport, ServerLoad, Source, UnlistedNodes},
        quarantine::CrashReport,
        routes::RouteError,
        stall::{MIN_STALL, StallAction},
        state::{Admission, Rejection},
    },
    ids::VmId,
    time::Timestamp,
};

const TARGET: Duration = Duration::from_millis(500);

fn start(gateway: &mut Gateway, now: Timestamp) -> Ticket {
    let routed = gateway
        .route(now, HOST, "/trip/1", Some(KEY))
        .expect("the route exists");
    match gateway.admit(now, &routed, &id(ENGINES), Some(TYPICAL)) {
        Admission::Start(ticket) => ticket,
        other => panic!("the request did not start: {other:?}"),
    }
}

fn servers_of(ticket: &Ticket) -> Vec<VmId> {
    match &ticket.target {
        Target::Engines(path) => path.stages.iter().map(|s| s.server.clone()).collect(),
        Target::Plain { server, .. } => vec![server.clone()],
        Target::Peer(peer) => panic!("sent to {}", peer.vm),
    }
}

#[test]
fn longest_matching_prefix_selects_the_route() {
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
fn only_public_routes_need_no_key() {
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

/// A key that was revoked while the node could not read the store must not be
/// accepted. The configuration may be outdated, so nothing is denied either.
#[test]
fn requests_are_rejected_as_unconfirmed_without_recent_confirmation() {
    let gateway = gateway(ms(1_000), BTreeMap::new());
    let late = ms(1_000) + gateway_config().max_confirmation_age;
    let find = |path, key| gateway.route(late, HOST, path, key).map(|r| r.name);
    assert_eq!(find("/log/1", Some(KEY)), Err(Rejection::Unconfirmed));
    assert_eq!(find("/log/1", Some("other")), Err(Rejection::Unconfirmed));
    assert_eq!(find("/nowhere/1", Some(KEY)), Err(Rejection::Unconfirmed));
    assert_eq!(find("/open/1", None).as_deref(), Ok("open"));
}

#[test]
fn older_configuration_never_replaces_a_newer_one() {
    let mut gateway = gateway(ms(0), BTreeMap::new());
    assert!(gateway.set_configuration(configuration(9)));
    assert!(!gateway.set_configuration(configuration(8)));
    assert_eq!(gateway.configuration().map(|c| c.version), Some(9));
}

#[test]
fn restarted_server_starts_with_empty_counters() {
    let mut gateway = gateway(ms(0), placed_engines());
    let ticket = start(&mut gateway, ms(1));
    let first = servers_of(&ticket)[0].clone();
    let mut restarted = gateway
        .servers()
        .get(&first)
        .expect("the entry exists")
        .entry
        .clone();
    restarted.started_ms = Some(2);
    restarted.layers = None;
    gateway.set_server(ms(2), &first, Some(restarted));
    let row = gateway.servers().get(&first).expect("the entry exists");
    assert_eq!((row.requests, row.tokens), (0, 0));
    // Requests from before the restart must not reduce the new counters.
    gateway.finish(ms(3), &ticket, TicketOutcome::Abandoned);
    assert_eq!(gateway.servers().get(&first).map(|r| r.requests), Some(0));
}

/// One engine of a path stalls while the others make progress on other streams:
/// the stream fails over, and only that engine is a suspect.
#[test]
fn only_the_engine_without_progress_is_suspect() {
    let mut gateway = gateway(ms(0), placed_engines());
    let ticket = start(&mut gateway, ms(0));
    let ids = servers_of(&ticket);
    let stalled_for = MIN_STALL + Duration::from_millis(10);
    let now = ms(0) + stalled_for;
    let others = Ticket {
        service: id(ENGINES),
        target: match &ticket.target {
            Target::Engines(path) => {
                let mut path = path.clone();
                path.stages.remove(0);
                Target::Engines(path)
            }
            Target::Plain { .. } | Target::Peer(_) => panic!("the target is a path of engines"),
        },
        unread_tokens: 0,
        acquired_at: ms(0),
    };
    gateway.record_progress(now - Duration::from_millis(50), &others);
    let action = gateway.check_stall(now, &ticket, stalled_for, true, TARGET);
    assert_eq!(action, StallAction::Failover(vec![ids[0].clone()]));
}

#[test]
fn stream_on_slow_engines_does_not_fail_over() {
    let mut gateway = gateway(ms(0), placed_engines());
    let ticket = start(&mut gateway, ms(0));
    let stalled_for = MIN_STALL * 2;
    let now = ms(0) + stalled_for;
    gateway.record_progress(now, &ticket);
    let action = gateway.check_stall(now, &ticket, stalled_for, true, TARGET);
    assert!(matches!(action, StallAction::Wait(_)), "{action:?}");
}

/// If the engines are full, requests that can start in time are queued and the
/// others are refused at once with a retry delay. Queued requests start when
/// capacity is freed.
#[test]
fn requests_beyond_capacity_are_queued_only_if_they_can_start_in_time() {
    let mut gateway = gateway(ms(0), placed_engines());
    let routed = gateway
        .route(ms(0), HOST, "/trip/1", Some(KEY))
        .expect("the route exists");
    let mut running = Vec::new();
    let mut waiting = Vec::new();
    let mut refused = 0;
    for _ in 0..2_000 {
        match gateway.admit(ms(0), &routed, &id(ENGINES), Some(TYPICAL)) {
            Admission::Start(ticket) => running.push(ticket),
            Admission::Wait(key, until) => {
                assert_eq!(until, ms(0) + MAX_QUEUE_WAIT);
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

/// For several seconds, more requests arrive than fit into the engines' memory,
/// as in a burst on a day with high load. Requests that can still meet their
/// target latency go first, so that most of the served ones start in time.
#[test]
fn lasting_overload_does_not_make_every_request_late() {
    const STEP_MS: u64 = 5;
    const RUN_TIME: Duration = Duration::from_secs(2);
    let mut gateway = gateway(ms(0), placed_engines());
    let routed = gateway
        .route(ms(0), HOST, "/trip/1", Some(KEY))
        .expect("the route exists");
    let mut running = Vec::new();
    let mut queued = BTreeMap::new();
    let (mut started, mut in_time) = (0, 0);
    for at in (0..6_000).step_by(STEP_MS as usize).map(ms) {
        let ended = running
            .iter()
            .filter(|t: &&Ticket| at >= t.acquired_at + RUN_TIME);
        let ended = ended.count();
        for ticket in running.drain(..ended) {
            gateway.finish(at, &ticket, TicketOutcome::Abandoned);
        }
        for (key, ticket) in gateway.start_queued(at) {
            if let Some((since, _)) = queued.remove(&key) {
                started += 1;
                in_time += u32::from(at.since(since) < TARGET);
            }
            running.push(ticket);
        }
        queued.retain(|&key, (_, until)| {
            let waits = at < *until;
            if !waits {
                gateway.remove_queued(key);
            }
            waits
        });
        for _ in 0..2 {
            match gateway.admit(at, &routed, &id(ENGINES), Some(TYPICAL)) {
                Admission::Start(ticket) => running.push(ticket),
                Admission::Wait(key, until) => {
                    queued.insert(key, (at, until));
                }
                Admission::Refuse(_) => {}
            }
        }
    }
    assert!(started > 200, "only {started} queued requests were served");
    let share = f64::from(in_time) / f64::from(started);
    assert!(share > 0.8, "{in_time} of {started} started in time");
}

#[test]
fn failed_plain_server_backs_off() {
    let servers = (0..3).map(|n| (name(n), server(n, PLAIN, "centro")));
    let mut gateway = gateway(ms(0), servers.collect());
    gateway.record_server_failure(ms(0), &name(0));
    gateway.record_server_failure(ms(0), &name(1));
    let routed = gateway.route(ms(1), HOST, "/log/1", Some(KEY));
    let routed = routed.expect("the route exists");
    for _ in 0..10 {
        let admission = gateway.admit(ms(1), &routed, &id(PLAIN), None);
        let Admission::Start(ticket) = admission else {
            panic!("the third server has capacity");
        };
        assert_eq!(servers_of(&ticket), [name(2)]);
    }
}

#[derive(Debug, TypeGenerator)]
struct Load {
    nodes: u8,
    steps: Vec<(u8, u16, bool)>,
}

/// Whatever the nodes do, their retries in any window stay within the shared
/// budget as long as each node has the correct node count.
#[test]
fn nodes_stay_within_the_shared_retry_budget() {
    let cfg = BudgetConfig {
        ratio: 0.2,
        window: Duration::from_secs(10),
        slack: 198.0,
    };
    check(3, 2_000, |case: Load| {
        let nodes = usize::from(case.nodes % 9) + 1;
        let mut budgets: Vec<RetryBudget> = (0..nodes).map(|_| RetryBudget::default()).collect();
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        let mut now = ms(20_000);
        for (node, interval, request) in case.steps {
            now = now + Duration::from_millis(u64::from(interval % 200));
            let budget = &mut budgets[usize::from(node) % nodes];
            if request {
                budget.record_request(now, &cfg);
                requests.push(now);
            }
            for _ in 0..4 {
                if budget.try_acquire(now, &cfg, nodes as u32) {
                    retries.push(now);
                }
            }
            let within = |times: &[Timestamp]| {
                let oldest = now - cfg.window;
                times.iter().filter(|&&time| time >= oldest).count() as f64
            };
            let allowed = cfg.ratio * within(&requests) + cfg.slack;
            assert!(within(&retries) <= allowed);
        }
    });
}

/// A node of a large deployment whose requests keep failing at the engines.
struct RetryingNode {
    budget: RetryBudget,
    nodes: NodeCount,
    started: Timestamp,
}

impl RetryingNode {
    fn new(started: Timestamp) -> Self {
        Self {
            budget: RetryBudget::default(),
            nodes: NodeCount::default(),
            started,
        }
    }

    /// Records a request and returns how many retries the budget allows for it.
    fn request(&mut self, now: Timestamp, cfg: &BudgetConfig) -> usize {
        // The node's clock starts with its process.
        let own = ms(0) + now.since(self.started);
        self.budget.record_request(own, cfg);
        let nodes = self.nodes.max_in_window(own, cfg.window).unwrap_or(16);
        (0..4)
            .filter(|_| self.budget.try_acquire(own, cfg, nodes))
            .count()
    }

    fn record_node_count(&mut self, now: Timestamp, nodes: u32) {
        let own = ms(0) + now.since(self.started);
        self.nodes.record(own, nodes + 1);
    }
}

/// Guards against nodes that restart together and exceed the shared retry
/// budget. Replays `hunt-c0d2-3` of the grown roster: all 72 nodes are killed
/// at 34 s and restart at 36 s, when their member lists contain 4 nodes, then
/// 15, then all. From 70 s the lists are short again for a moment, as after a
/// store outage.
#[test]
fn nodes_that_restart_together_stay_within_the_retry_budget() {
    const NODES: usize = 72;
    let cfg = BudgetConfig {
        ratio: 0.2,
        window: Duration::from_secs(10),
        slack: 328.0,
    };
    let mut nodes: Vec<RetryingNode> = (0..NODES).map(|_| RetryingNode::new(ms(0))).collect();
    nodes
        .iter_mut()
        .for_each(|node| node.record_node_count(ms(2_000), 72));
    let lists = [
        (36_000, 4),
        (36_600, 15),
        (38_400, 72),
        (70_000, 4),
        (70_600, 15),
        (72_400, 72),
    ];
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for at in (14_000..90_000).step_by(20) {
        let now = ms(at);
        if at == 36_000 {
            nodes = (0..NODES).map(|_| RetryingNode::new(now)).collect();
        }
        for (_, count) in lists.iter().filter(|(time, _)| *time == at) {
            nodes
                .iter_mut()
                .for_each(|node| node.record_node_count(now, *count));
        }
        if (34_000..36_000).contains(&at) {
            continue;
        }
        // 300 requests per second, distributed over the nodes in turn.
        for offset in 0..6 {
            let node = &mut nodes[(at as usize / 20 * 6 + offset) % NODES];
            requests.push(now);
            let sent = node.request(now, &cfg);
            retries.extend(std::iter::repeat_n(now, sent));
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
        let sent = within(&retries);
        assert!(
            sent <= allowed,
            "{sent} retries in the window up to {now}, allowed {allowed}"
        );
    }
}

/// Guards against requests that a shutdown accepts and then cuts at the end of the
/// process.
#[test]
fn requests_accepted_during_shutdown_end_before_the_process() {
    for grace in [0, 300, 1_000, 8_000, 30_000].map(Duration::from_millis) {
        let schedule = DrainSchedule::new(grace);
        assert!(schedule.last_end() <= schedule.exit() && schedule.exit() <= grace);
        for elapsed in (0..=30_000).step_by(50).map(Duration::from_millis) {
            for limit in [1, 600, 3_000, 6_000, 20_000].map(Duration::from_millis) {
                let ends_in_time = elapsed + limit <= schedule.last_end();
                for kind in [RouteKind::Idempotent, RouteKind::NonIdempotent] {
                    assert_eq!(schedule.accepts(elapsed, kind, limit), ends_in_time);
                }
                assert_eq!(schedule.allows_send(elapsed, limit, None), ends_in_time);
            }
        }
        let kind = RouteKind::NonIdempotent;
        assert!(!schedule.accepts(Duration::ZERO, kind, Duration::MAX));
    }
}

/// The time limit of a stream is longer than most grace periods.
#[test]
fn streams_accepted_during_shutdown_are_predicted_to_end_before_the_process() {
    let schedule = DrainSchedule::new(Duration::from_secs(8));
    let [early, late] = [1_000, 2_500].map(Duration::from_millis);
    let [limit, short, long] = [20_000, 4_000, 7_000].map(Duration::from_millis);
    let stream = RouteKind::Streaming { resumable: false };
    assert!(schedule.accepts(early, stream, limit) && !schedule.accepts(late, stream, limit));
    assert!(schedule.allows_send(early, limit, Some(short)));
    assert!(!schedule.allows_send(early, limit, Some(long)));
    // A stream that waited for engines is as long as before.
    assert!(schedule.allows_send(late, limit, Some(short)));
    assert!(!schedule.allows_send(early, limit, None));
    assert!(schedule.accepts(late, stream, short) && schedule.allows_send(late, short, None));
}

/// Callers that keep the node's address are served for as long as their requests
/// can end.
#[test]
fn shutdown_serves_callers_that_keep_the_address() {
    let schedule = DrainSchedule::new(Duration::from_secs(8));
    let accepts = |elapsed, limit| {
        let [elapsed, limit] = [elapsed, limit].map(Duration::from_millis);
        schedule.accepts(elapsed, RouteKind::Idempotent, limit)
    };
    assert!(accepts(6_000, 600) && accepts(4_500, 3_000));
    assert!(!accepts(5_550, 3_000) && !accepts(3_300, 6_000) && !accepts(4_900, 3_000));
}

/// An engine on which only a peer observes progress is slow for this node, not
/// dead.
#[test]
fn progress_reported_by_a_peer_clears_an_engine() {
    let mut gateway = gateway(ms(0), placed_engines());
    let ticket = start(&mut gateway, ms(0));
    let stalled_for = MIN_STALL + Duration::from_millis(10);
    let now = ms(0) + stalled_for;
    let load = servers_of(&ticket).into_iter().map(|server| ServerLoad {
        server,
        requests: 1,
        tokens: 900,
        unread_tokens: 0,
        inbound_tokens: 0,
        progress_age_ms: 100,
    });
    let report = NodeReport {
        nodes: 1,
        limits: BTreeMap::new(),
        demand: BTreeMap::new(),
        crashes: CrashReport::default(),
        accepts_callers: true,
        configuration_version: None,
        confirmation_age_ms: None,
        stopped: Vec::new(),
        unlisted: UnlistedNodes::default(),
        leaving: BTreeMap::new(),
        load: load.collect(),
    };
    gateway.apply_report(now, id("front-2"), Source::Hub, report);
    let action = gateway.check_stall(now, &ticket, stalled_for, true, TARGET);
    assert!(matches!(action, StallAction::Wait(_)), "{action:?}");
}

/// Prompts are processed one at a time. A request that is queued for prefill at
/// healthy engines must not fail over: it would be queued again, and its prompt
/// computed twice.
#[test]
fn request_queued_for_prefill_does_not_fail_over() {
    let mut gateway = gateway(ms(0), placed_engines());
    let ticket = start(&mut gateway, ms(0));
    let stalled_for = Duration::from_millis(1_800);
    let now = ms(0) + stalled_for;
    gateway.record_progress(now, &ticket);
    let action = gateway.check_stall(now, &ticket, stalled_for, false, TARGET);
    assert!(matches!(action, StallAction::Wait(_)), "{action:?}");
}

/// A server that was removed but is still listed answers "misdirected". After
/// each backoff a single request tests it, instead of all requests at once.
#[test]
fn single_request_tests_a_failed_server() {
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
        .expect("the route exists");
    let mut attempts = 0;
    for _ in 0..12 {
        match gateway.admit(later, &routed, &id(PLAIN), None) {
            Admission::Start(ticket) => attempts += u32::from(servers_of(&ticket) == [name(0)]),
            other => panic!("the other server has capacity: {other:?}"),
        }
    }
    assert!(attempts <= 1, "{attempts} requests tested it at once");
}

/// An engine that is about to release its layers refuses new work but finishes
/// the requests that it has. Events of these older streams must not end its
/// backoff and attract new requests, as happened after a store outage when
/// engines moved.
#[test]
fn progress_of_older_streams_does_not_end_the_backoff_after_a_refusal() {
    let mut gateway = gateway(ms(0), placed_engines());
    let older = start(&mut gateway, ms(0));
    let refused = start(&mut gateway, ms(10));
    let first = servers_of(&older)[0].clone();
    let by = gateway.servers().get(&first).map(|row| row.entry.address);
    gateway.finish(ms(20), &refused, TicketOutcome::Full { by });
    gateway.record_progress(ms(30), &older);
    let backs_off = |gateway: &Gateway, at| {
        let row = gateway.servers().get(&first).expect("the entry exists");
        !row.is_available(at)
    };
    assert!(
        backs_off(&gateway, ms(40)),
        "an older stream ended the backoff"
    );
    // Progress of a request that was accepted after the refusal ends the
    // backoff.
    let newer = Ticket {
        service: older.service.clone(),
        target: older.target.clone(),
        unread_tokens: 0,
        acquired_at: ms(50),
    };
    gateway.record_progress(ms(60), &newer);
    assert!(!backs_off(&gateway, ms(61)));
}
