//! Second attempts of slow requests: when they are sent, and when they are not.

mod gateway_fakes;

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use gateway_fakes::{HOST, PLAIN, configuration, gateway_config, id, ms, name, server};
use radishhaven_core::{
    gateway::{
        Gateway, RequestRate, RouteKind, ServerState, Target, Ticket, TicketOutcome,
        admission::{RequestSource, WaitKey},
        hedging::{HedgePercent, HedgeRefusal, HedgeRequest, InvalidHedgePercent, WINDOW},
        routes::RouteMatch,
        state::{Admission, GatewayConfig},
    },
    ids::{ServiceId, VmId},
    time::Timestamp,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// The limit in all tests that turn hedging on.
const LIMIT: u32 = 5;

fn config(percent: u32) -> GatewayConfig {
    GatewayConfig {
        hedging: HedgePercent::try_from(percent).expect("the limit is valid"),
        ..gateway_config()
    }
}

/// A gateway with this many plain servers, each with `slots`.
fn gateway(cfg: GatewayConfig, servers: usize, slots: u32) -> Gateway {
    let mut gateway = Gateway::new(cfg, 7);
    gateway.set_configuration(configuration(1));
    gateway.confirm_configuration(ms(0));
    let entries = (0..servers).map(|number| {
        let mut entry = server(number, PLAIN, "centro");
        entry.slots = slots;
        (name(number), entry)
    });
    gateway.set_servers(ms(0), entries.collect());
    gateway.record_node_count(ms(0), 1);
    gateway
}

fn route(gateway: &Gateway, now: Timestamp) -> RouteMatch {
    gateway
        .route(now, HOST, "/open/1", None)
        .expect("the route is public")
}

fn admit(gateway: &mut Gateway, now: Timestamp) -> Admission {
    let route = route(gateway, ms(0));
    gateway.admit(now, &route, &id(PLAIN), None)
}

fn start(gateway: &mut Gateway, now: Timestamp) -> Ticket {
    match admit(gateway, now) {
        Admission::Start(ticket) => ticket,
        other => panic!("the request does not start: {other:?}"),
    }
}

fn request<'a>(service: &'a ServiceId, first: &'a Target) -> HedgeRequest<'a> {
    HedgeRequest {
        service,
        estimate: None,
        kind: RouteKind::Idempotent,
        max_attempts: 2,
        attempts: 1,
        source: RequestSource::Caller,
        first,
        excluded: &[],
        is_quarantined: false,
        is_shutting_down: false,
    }
}

/// Records requests that were answered after `took`.
fn record_answers(gateway: &mut Gateway, now: Timestamp, count: u32, took: Duration) {
    for _ in 0..count {
        gateway.hedging().record_request(now, &id(PLAIN));
        gateway.hedging().record_response(now, &id(PLAIN), took);
    }
}

/// Decides on the hedge of a request that `change` has modified. 200 requests were
/// answered before, so that the limit allows ten hedges.
fn decide(
    gateway: &mut Gateway,
    now: Timestamp,
    change: impl FnOnce(&mut HedgeRequest<'_>),
) -> Result<VmId, HedgeRefusal> {
    record_answers(gateway, now, 200, Duration::from_millis(30));
    let ticket = start(gateway, now);
    decide_for(gateway, now, &ticket, change)
}

fn decide_for(
    gateway: &mut Gateway,
    now: Timestamp,
    ticket: &Ticket,
    change: impl FnOnce(&mut HedgeRequest<'_>),
) -> Result<VmId, HedgeRefusal> {
    let service = id(PLAIN);
    let mut request = request(&service, &ticket.target);
    change(&mut request);
    let hedge = gateway.hedge(now, &request)?;
    let (server, _) = hedge.target.first().expect("a server");
    Ok(server.clone())
}

struct OpenRequest {
    began: Timestamp,
    sends: Vec<(Ticket, Timestamp, Timestamp)>,
    hedge_at: Option<Timestamp>,
}

/// What happened in a replay.
#[derive(Default)]
struct Replay {
    /// Time from the first send to the answer, in the order of the answers.
    latencies_ms: Vec<u64>,
    requests: Vec<Timestamp>,
    hedges: Vec<Timestamp>,
    refused_requests: u32,
    refused_hedges: BTreeMap<&'static str, u32>,
    last_delay: Option<Duration>,
}

impl Replay {
    fn quantile_ms(&self, quantile: f64) -> u64 {
        let mut sorted = self.latencies_ms.clone();
        sorted.sort_unstable();
        sorted[((sorted.len() - 1) as f64 * quantile) as usize]
    }

    /// Checks the limit in the window before each hedge.
    #[track_caller]
    fn assert_within_limit(&self) {
        let mut window: VecDeque<Timestamp> = VecDeque::new();
        for &at in &self.hedges {
            window.push_back(at);
            while window.front().is_some_and(|&old| at.since(old) > WINDOW) {
                window.pop_front();
            }
            let is_counted = |sent: &&Timestamp| **sent <= at && at.since(**sent) <= WINDOW;
            let requests = self.requests.iter().filter(is_counted).count();
            assert!(
                window.len() * 100 <= requests * LIMIT as usize,
                "{} hedges of {requests} requests in the window before {at}",
                window.len()
            );
        }
    }
}

/// Replays `seconds` of requests, one every `interval_ms`. `service_ms` returns the time
/// that a server takes for a request that arrives there now.
fn replay(
    gateway: &mut Gateway,
    seconds: u64,
    interval_ms: u64,
    mut service_ms: impl FnMut(Timestamp, &VmId, &mut StdRng) -> u64,
) -> Replay {
    let service: ServiceId = id(PLAIN);
    let mut rng = StdRng::seed_from_u64(3);
    let mut out = Replay::default();
    let mut open: Vec<OpenRequest> = Vec::new();
    let mut waiting: Vec<(WaitKey, Timestamp)> = Vec::new();
    let mut last_refusal: Option<Timestamp> = None;
    for step in 0..seconds * 1_000 {
        let now = ms(step);
        let mut end = |ticket: &Ticket, now: Timestamp| {
            let (server, _) = ticket.target.first().expect("a server");
            now + Duration::from_millis(service_ms(now, server, &mut rng))
        };
        let mut started = Vec::new();
        if step % interval_ms == 0 {
            match admit(gateway, now) {
                Admission::Start(ticket) => started.push(ticket),
                Admission::Wait(key, until) => waiting.push((key, until)),
                Admission::Refuse(_) => {
                    gateway.hedging().record_refusal(now, &service);
                    last_refusal = Some(now);
                    out.refused_requests += 1;
                }
            }
        }
        for (key, ticket) in gateway.start_queued(now) {
            waiting.retain(|(waiting, _)| *waiting != key);
            started.push(ticket);
        }
        waiting.retain(|(key, until)| {
            let is_over = now >= *until;
            if is_over {
                gateway.remove_queued(*key);
                gateway.hedging().record_refusal(now, &service);
                last_refusal = Some(now);
                out.refused_requests += 1;
            }
            !is_over
        });
        for ticket in started {
            gateway.hedging().record_request(now, &service);
            out.requests.push(now);
            let request = request(&service, &ticket.target);
            let delay = gateway.hedging().delay(now, &request);
            out.last_delay = delay;
            let until = end(&ticket, now);
            open.push(OpenRequest {
                began: now,
                sends: vec![(ticket, now, until)],
                hedge_at: delay.map(|delay| now + delay),
            });
        }
        for request_open in &mut open {
            let answered = request_open
                .sends
                .iter()
                .position(|(_, _, until)| now >= *until);
            if let Some(winner) = answered {
                let (ticket, sent, _) = request_open.sends.swap_remove(winner);
                let took = now.since(sent);
                gateway.hedging().record_response(now, &service, took);
                gateway.finish(now, &ticket, TicketOutcome::Answered { took });
                for (loser, sent, _) in request_open.sends.drain(..) {
                    if sent == request_open.began {
                        let took = now.since(sent);
                        gateway.hedging().record_response(now, &service, took);
                    }
                    gateway.finish(now, &loser, TicketOutcome::Abandoned);
                }
                let latency = now.since(request_open.began);
                out.latencies_ms.push(latency.as_millis() as u64);
            } else if request_open.hedge_at.is_some_and(|at| now >= at) {
                request_open.hedge_at = None;
                let has_queued = gateway.queued() > 0;
                let hedge = {
                    let (first, _, _) = &request_open.sends[0];
                    gateway.hedge(now, &request(&service, &first.target))
                };
                match hedge {
                    Ok(ticket) => {
                        assert!(!has_queued, "a hedge was sent while requests waited");
                        let paused =
                            last_refusal.is_some_and(|at| now.since(at) < Duration::from_secs(1));
                        assert!(!paused, "a hedge was sent after a refusal");
                        assert_ne!(ticket.target, request_open.sends[0].0.target);
                        let until = end(&ticket, now);
                        request_open.sends.push((ticket, now, until));
                        out.hedges.push(now);
                    }
                    Err(refusal) => {
                        *out.refused_hedges.entry(refusal.as_str()).or_default() += 1;
                    }
                }
            }
        }
        open.retain(|request| !request.sends.is_empty());
    }
    out
}

/// Time that a server takes for a request, if one of the servers is four times slower.
fn with_slow_server(_: Timestamp, server: &VmId, rng: &mut StdRng) -> u64 {
    match *server == name(0) {
        true => rng.random_range(80..120),
        false => rng.random_range(15..30),
    }
}

/// Guards against a delay that is too long to help, and against hedges beyond the limit.
#[test]
fn tail_of_one_slow_server_is_cut_within_the_limit() {
    // At a lower load, the choice of the server alone avoids the slow one.
    let without = replay(&mut gateway(config(0), 4, 12), 40, 1, with_slow_server);
    let with = replay(&mut gateway(config(LIMIT), 4, 12), 40, 1, with_slow_server);
    assert!(without.hedges.is_empty());
    let (before, after) = (without.quantile_ms(0.995), with.quantile_ms(0.995));
    assert!(
        before >= 100 && after <= 60,
        "p99.5 is {after} ms with hedges and {before} ms without"
    );
    with.assert_within_limit();
}

/// Guards against twice the load on a service all of whose servers are slow, and against
/// a delay that stays short.
#[test]
fn hedges_of_a_slow_service_stay_within_the_limit_and_the_delay_adapts() {
    let mut gateway = gateway(config(LIMIT), 8, 12);
    let slows_at = ms(20_000);
    let with = replay(&mut gateway, 80, 10, |now, _, rng| match now < slows_at {
        true => rng.random_range(15..30),
        false => rng.random_range(270..330),
    });
    assert!(!with.hedges.is_empty());
    with.assert_within_limit();
    assert!(
        with.refused_hedges.contains_key("limit"),
        "the limit was never reached: {:?}",
        with.refused_hedges
    );
    let delay = with.last_delay.expect("answers are known");
    assert!(delay >= Duration::from_millis(300), "{delay:?}");
}

/// Guards against hedges that take the capacity of requests that wait. The replay checks
/// this at each hedge.
#[test]
fn overloaded_service_gets_no_hedge_while_requests_wait_or_were_refused() {
    let mut gateway = gateway(config(LIMIT), 3, 2);
    let out = replay(&mut gateway, 30, 4, |now, _, rng| {
        let is_overload = (10_000..20_000).contains(&now.as_millis());
        rng.random_range(5..10) * if is_overload { 20 } else { 1 }
    });
    assert!(out.refused_requests > 100, "there was no overload");
    let refused = |reason| out.refused_hedges.get(reason).copied().unwrap_or(0);
    assert!(
        refused("queued") + refused("recent_refusal") > 0,
        "{:?}",
        out.refused_hedges
    );
    out.assert_within_limit();
}

#[test]
fn hedge_goes_to_another_server() {
    let mut gateway = gateway(config(LIMIT), 2, 6);
    // In its first window, a node may send one retry only.
    let now = ms(30_000);
    record_answers(&mut gateway, now, 200, Duration::from_millis(30));
    for _ in 0..4 {
        let ticket = start(&mut gateway, now);
        let (first, _) = ticket.target.first().expect("a server");
        let hedge = decide_for(&mut gateway, now, &ticket, |_| {}).expect("a hedge");
        assert_ne!(*first, hedge);
    }
}

#[test]
fn hedging_is_off_by_default() {
    let mut gateway = gateway(gateway_config(), 2, 6);
    record_answers(&mut gateway, ms(0), 200, Duration::from_millis(30));
    let ticket = start(&mut gateway, ms(0));
    let service = id(PLAIN);
    let request = request(&service, &ticket.target);
    assert_eq!(gateway.hedging().delay(ms(0), &request), None);
    assert_eq!(
        gateway.hedge(ms(0), &request).err(),
        Some(HedgeRefusal::Off)
    );
}

#[test]
fn limit_above_the_maximum_is_invalid() {
    assert!(HedgePercent::try_from(50).is_ok());
    let error: InvalidHedgePercent = HedgePercent::try_from(51).expect_err("too much");
    assert_eq!(error.to_string(), "51 is more than 50 percent");
}

/// Guards against a request that runs twice although it may run only once, against more
/// attempts than the route allows, and against hedges of what a peer decides.
#[test]
fn requests_that_may_not_be_sent_twice_are_not_hedged() {
    type Change = fn(&mut HedgeRequest<'_>);
    let cases: [(Change, HedgeRefusal); 7] = [
        (
            |r| r.kind = RouteKind::NonIdempotent,
            HedgeRefusal::NotRepeatable,
        ),
        (
            |r| r.kind = RouteKind::Streaming { resumable: false },
            HedgeRefusal::NotRepeatable,
        ),
        (|r| r.max_attempts = 1, HedgeRefusal::NoAttemptLeft),
        (|r| r.attempts = 2, HedgeRefusal::NoAttemptLeft),
        (|r| r.source = RequestSource::Peer, HedgeRefusal::Forwarded),
        (|r| r.is_quarantined = true, HedgeRefusal::Quarantined),
        (|r| r.is_shutting_down = true, HedgeRefusal::ShuttingDown),
    ];
    for (change, refusal) in cases {
        let mut gateway = gateway(config(LIMIT), 2, 6);
        assert_eq!(decide(&mut gateway, ms(0), change), Err(refusal));
    }
}

#[test]
fn queued_and_refused_requests_stop_hedges() {
    let mut gateway = gateway(config(LIMIT), 2, 1);
    record_answers(&mut gateway, ms(0), 200, Duration::from_millis(30));
    let mut tickets = Vec::new();
    let key = loop {
        match admit(&mut gateway, ms(0)) {
            Admission::Start(ticket) => tickets.push(ticket),
            Admission::Wait(key, _) => break key,
            Admission::Refuse(_) => panic!("the queue is empty"),
        }
    };
    let first = tickets.pop().expect("a request has started");
    let decided = decide_for(&mut gateway, ms(0), &first, |_| {});
    assert_eq!(decided, Err(HedgeRefusal::Queued));
    gateway.remove_queued(key);
    for ticket in &tickets {
        gateway.finish(ms(0), ticket, TicketOutcome::Abandoned);
    }
    gateway.hedging().record_refusal(ms(0), &id(PLAIN));
    let decided = decide_for(&mut gateway, ms(999), &first, |_| {});
    assert_eq!(decided, Err(HedgeRefusal::Refused));
    let decided = decide_for(&mut gateway, ms(1_000), &first, |_| {});
    assert!(decided.is_ok(), "{decided:?}");
}

/// Guards against hedges to a server that should get no extra work.
#[test]
fn servers_in_need_get_no_hedge() {
    type Disturb = fn(&mut Gateway, &VmId);
    let cases: [(&str, Disturb); 5] = [
        ("leaving", |g, id| {
            let mut entry = g.servers().get(id).expect("the server").entry.clone();
            entry.state = ServerState::Draining;
            g.set_server(ms(0), id, Some(entry));
        }),
        ("paused", |g, id| {
            g.record_pause(ms(0), id, None, Duration::from_secs(2));
        }),
        ("in backoff", |g, id| g.record_server_failure(ms(0), id)),
        ("limited", |g, id| {
            g.record_limit(ms(0), id, ms(0), Some(RequestRate(50_000)));
        }),
        ("full", |g, id| {
            let mut entry = g.servers().get(id).expect("the server").entry.clone();
            entry.slots = 0;
            g.set_server(ms(0), id, Some(entry));
        }),
    ];
    for (name, disturb) in cases {
        let mut gateway = gateway(config(LIMIT), 2, 6);
        record_answers(&mut gateway, ms(0), 200, Duration::from_millis(30));
        let ticket = start(&mut gateway, ms(0));
        let (first, _) = ticket.target.first().expect("a server");
        let all: Vec<VmId> = gateway.servers().iter().map(|(id, _)| id.clone()).collect();
        let other = all.iter().find(|id| *id != first).expect("two servers");
        disturb(&mut gateway, other);
        let decided = decide_for(&mut gateway, ms(0), &ticket, |_| {});
        assert_eq!(decided, Err(HedgeRefusal::NoServer), "{name}");
    }
}

/// Guards against hedges beyond the retry budget, and against capacity that stays
/// reserved for a hedge that was not sent.
#[test]
fn exhausted_budget_refuses_hedge_and_reserves_nothing() {
    let mut cfg = config(LIMIT);
    (cfg.budget.ratio, cfg.budget.slack) = (0.0, 0.0);
    let mut gateway = gateway(cfg, 2, 6);
    let decided = decide(&mut gateway, ms(0), |_| {});
    assert_eq!(decided, Err(HedgeRefusal::Budget));
    let reserved: u32 = gateway.servers().iter().map(|(_, row)| row.requests).sum();
    assert_eq!(reserved, 1, "only the first attempt holds a slot");
}

#[test]
fn hedge_draws_on_the_retry_budget() {
    let mut cfg = config(50);
    (cfg.budget.ratio, cfg.budget.slack) = (0.0, 4.0);
    let mut gateway = gateway(cfg, 2, 6);
    // A node may use all of its share only after its first window.
    let now = ms(30_000);
    let results: Vec<_> = (0..4).map(|_| decide(&mut gateway, now, |_| {})).collect();
    assert!(results[..3].iter().all(Result::is_ok), "{results:?}");
    assert_eq!(results[3], Err(HedgeRefusal::Budget));
    let retry = gateway.retry(now, &id(PLAIN), None, &[]);
    assert!(retry.is_none(), "retries and hedges share the budget");
}

#[test]
fn delay_needs_answers_has_a_floor_and_forgets() {
    let mut gateway = gateway(config(LIMIT), 2, 6);
    let ticket = start(&mut gateway, ms(0));
    let service = id(PLAIN);
    let request = request(&service, &ticket.target);
    record_answers(&mut gateway, ms(0), 39, Duration::from_millis(2));
    assert_eq!(gateway.hedging().delay(ms(0), &request), None);
    record_answers(&mut gateway, ms(300), 1, Duration::from_millis(2));
    let floor = Some(Duration::from_millis(20));
    assert_eq!(gateway.hedging().delay(ms(300), &request), floor);
    record_answers(&mut gateway, ms(600), 60, Duration::from_millis(200));
    let delay = gateway.hedging().delay(ms(600), &request).expect("a delay");
    assert!((199..=202).contains(&delay.as_millis()), "{delay:?}");
    assert!(gateway.hedging().delay(ms(29_000), &request).is_some());
    assert_eq!(gateway.hedging().delay(ms(45_000), &request), None);
}
