//! Limits that backend servers name for all nodes together.

mod gateway_fakes;

use std::{collections::BTreeMap, time::Duration};

use bolero_generator::TypeGenerator;
use gateway_fakes::{
    HOST, PLAIN,
    fleet::{Disturbance, Node, REPORT_STEPS, STABILITY_MS, STEP_MS, node_id, send_report},
    gateway, id, ms, name, place, placed_engines, server,
};
use radishhaven_cases::check;
use radishhaven_core::{
    gateway::{
        Gateway, RequestRate, Server, Ticket, TicketOutcome,
        peers::{ReportRecipient, Source},
        state::Admission,
    },
    ids::VmId,
    time::Timestamp,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Time from a request to its response.
const RESPONSE_MS: u64 = 60;
/// When the server names its limit.
const NAMED_AT_MS: u64 = 4_000;
/// When a history ends.
const END_MS: u64 = 20_000;
/// Time after which a node that was told counts.
const TOLD_MS: u64 = 500;
/// Time over which requests are counted.
const WINDOW_MS: u64 = 4_000;
/// Number of histories.
const HISTORIES: u32 = 60;

fn rate(per_second: f64) -> RequestRate {
    per_second.try_into().expect("a rate")
}

/// The requests in four seconds that the users allow at a limit.
fn allowed(limit: RequestRate) -> usize {
    (1.5 * limit.per_second() * 4.0) as usize + 5
}

fn plain_servers(count: usize) -> BTreeMap<VmId, Server> {
    let servers = (0..count).map(|number| (name(number), server(number, PLAIN, "centro")));
    servers.collect()
}

/// The requests of callers at one node.
struct Callers {
    /// Requests per second.
    demand: f64,
    /// When a response first named the limit to the node.
    told_at: Option<u64>,
}

/// Nodes, one server that names a limit, and others that name none.
struct World {
    nodes: Vec<Node>,
    /// The callers of each node.
    callers: Vec<Callers>,
    /// Number of hubs; the other nodes are leaves.
    hubs: usize,
    servers: BTreeMap<VmId, Server>,
    limit: RequestRate,
    /// When the server stops to name its limit.
    unnamed_at: u64,
    /// How often a request that finds no server looks again within a step.
    looks: u32,
    /// Responses under way, by the time of their arrival and the node.
    responses: BTreeMap<(u64, u64), (usize, Ticket)>,
    /// Requests to the limited server, with the node and whether it counts.
    arrivals: Vec<(u64, bool)>,
    rng: StdRng,
    next: u64,
}

impl World {
    fn new(demands: &[f64], hubs: usize, limit: RequestRate, seed: u64) -> Self {
        let servers = plain_servers(3);
        let start = |number| {
            let count = demands.len();
            Node::start(0, count, servers.clone(), seed + number as u64)
        };
        let callers = demands.iter().map(|demand| Callers {
            demand: *demand,
            told_at: None,
        });
        Self {
            nodes: (0..demands.len()).map(start).collect(),
            callers: callers.collect(),
            hubs,
            servers,
            limit,
            unnamed_at: u64::MAX,
            looks: 1,
            responses: BTreeMap::new(),
            arrivals: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
            next: 0,
        }
    }

    /// Runs the history; `disturb` is called before each step.
    fn run(&mut self, mut disturb: impl FnMut(&mut Self, u64)) {
        for step in 0..END_MS / STEP_MS {
            let now = step * STEP_MS;
            disturb(self, now);
            for number in 0..self.nodes.len() {
                if (step + number as u64).is_multiple_of(REPORT_STEPS) {
                    self.exchange(now, number);
                }
            }
            self.respond(now);
            for number in 0..self.nodes.len() {
                let share = self.callers[number].demand * STEP_MS as f64 / 1e3;
                let mut due = share.floor() as u32;
                due += u32::from(self.rng.random_range(0.0..1.0) < share.fract());
                if now >= self.nodes[number].frozen_until {
                    (0..due).for_each(|_| self.request(now, number));
                }
            }
        }
    }

    fn exchange(&mut self, now: u64, number: usize) {
        let (nodes, rng) = (&mut self.nodes, &mut self.rng);
        if number >= self.hubs {
            let (hub, leaf) = (number % self.hubs, node_id(number));
            let query = ((number, Source::Leaf), (hub, ReportRecipient::Hub));
            send_report(nodes, rng, now, query.0, query.1);
            let response = ((hub, Source::Hub), (number, ReportRecipient::Leaf(&leaf)));
            send_report(nodes, rng, now, response.0, response.1);
            return;
        }
        for hub in (0..self.hubs).filter(|hub| *hub != number) {
            let (from, to) = ((number, Source::Hub), (hub, ReportRecipient::Hub));
            send_report(nodes, rng, now, from, to);
        }
    }

    fn request(&mut self, now: u64, number: usize) {
        let looks = 0..self.looks;
        let node = &mut self.nodes[number];
        let Some(ticket) = looks
            .into_iter()
            .find_map(|_| start(&mut node.gateway, now))
        else {
            return;
        };
        if ticket.target.first().is_some_and(|(id, _)| *id == name(0)) {
            let told_at = self.callers[number].told_at;
            let is_told = told_at.is_some_and(|at| at + TOLD_MS <= now);
            self.arrivals
                .push((now, is_told && now >= node.excused_until));
        }
        self.next += 1;
        let key = (now + RESPONSE_MS, self.next);
        self.responses.insert(key, (number, ticket));
    }

    fn respond(&mut self, now: u64) {
        while let Some(entry) = self.responses.first_entry() {
            if entry.key().0 > now {
                return;
            }
            let (number, ticket) = entry.remove();
            let node = &mut self.nodes[number];
            let took = Duration::from_millis(RESPONSE_MS);
            let server = ticket.target.first().expect("a server").0.clone();
            let names = (NAMED_AT_MS..self.unnamed_at).contains(&now) && server == name(0);
            let sent = ticket.acquired_at;
            let limit = names.then_some(self.limit);
            node.gateway.record_limit(ms(now), &server, sent, limit);
            let outcome = TicketOutcome::Answered { took };
            node.gateway.finish(ms(now), &ticket, outcome);
            if names {
                self.callers[number].told_at.get_or_insert(now);
            }
        }
    }

    fn disturb(&mut self, now: u64, number: usize, disturbance: Disturbance) {
        if disturbance == Disturbance::Restart {
            self.responses.retain(|_, (node, _)| *node != number);
            let count = self.nodes.len();
            self.nodes[number].restart(now, count, self.servers.clone());
            self.callers[number].told_at = None;
        }
        self.nodes[number].disturb(now, disturbance);
    }

    /// Returns the largest number of requests within a window that begins once the
    /// limit holds, up to the end of the limit.
    fn busiest_window(&self) -> usize {
        let counted = self.arrivals.iter();
        let counted = counted.filter(|(at, counts)| *counts && *at < self.unnamed_at);
        let counted: Vec<u64> = counted.map(|(at, _)| *at).collect();
        let begin = NAMED_AT_MS + STABILITY_MS;
        let starts = counted.iter().filter(|at| **at >= begin);
        let windows = starts.map(|first| {
            let in_window = |at: &&u64| (*first..first + WINDOW_MS).contains(*at);
            counted.iter().filter(in_window).count()
        });
        windows.max().unwrap_or(0)
    }

    /// Returns the requests to the limited server in a range of time.
    fn arrived(&self, range: std::ops::Range<u64>) -> usize {
        let arrivals = self.arrivals.iter();
        arrivals.filter(|(at, _)| range.contains(at)).count()
    }
}

/// Starts a request, or returns `None` if no server takes it now.
fn start(gateway: &mut Gateway, now: u64) -> Option<Ticket> {
    let routed = gateway.route(ms(now), HOST, "/open/1", None);
    let routed = routed.expect("the route exists");
    match gateway.admit(ms(now), &routed, &id(PLAIN), None) {
        Admission::Start(ticket) => Some(ticket),
        Admission::Wait(key, _) => {
            gateway.remove_queued(key);
            None
        }
        Admission::Refuse(_) => None,
    }
}

/// Checks that the nodes keep a limit of 7 and use half of it at least.
fn check_use(demands: &[f64], hubs: usize, seed: u64) {
    let mut world = World::new(demands, hubs, rate(7.0), seed);
    world.run(|_, _| {});
    let busiest = world.busiest_window();
    assert!(busiest <= allowed(rate(7.0)), "{busiest}");
    let used = world.arrived(8_000..END_MS);
    assert!(used >= 42, "{used}");
}

/// Guards against each node keeping the limit for itself alone.
#[test]
fn nodes_of_unequal_demand_keep_a_limit_together() {
    check_use(&[1.0, 2.0, 4.0, 8.0, 15.0, 20.0, 30.0], 7, 1);
}

/// A share of a limit is far below one request of a node.
#[test]
fn hundreds_of_nodes_keep_a_limit_together() {
    check_use(&[1.0; 360], 15, 2);
}

/// Load pattern: the demand rises steeply while a limit is in force.
#[test]
fn limit_holds_when_the_demand_rises() {
    let mut world = World::new(&[4.0; 7], 7, rate(7.0), 3);
    world.run(|world, now| {
        if now == 9_000 {
            world.callers.iter_mut().for_each(|c| c.demand = 60.0);
        }
    });
    let busiest = world.busiest_window();
    assert!(busiest <= allowed(rate(7.0)), "{busiest}");
}

/// Load pattern: the other servers fail, and all requests look for a server again and
/// again. The demand of the peers is known only with their next reports.
#[test]
fn limit_holds_when_requests_look_again_and_again() {
    check_repeated_looks(&[30.0; 7], 7);
}

/// With hubs, the demand of most peers is known only after several reports.
#[test]
fn limit_holds_when_requests_of_hundreds_of_nodes_look_again_and_again() {
    check_repeated_looks(&[2.0; 360], 15);
}

fn check_repeated_looks(demands: &[f64], hubs: usize) {
    let mut world = World::new(demands, hubs, rate(7.0), 6);
    world.run(|world, now| {
        if now == 9_000 {
            world.looks = 20;
            for node in &mut world.nodes {
                for number in 1..3 {
                    node.gateway.set_server(ms(now), &name(number), None);
                }
            }
        }
    });
    let busiest = world.busiest_window();
    assert!(busiest <= allowed(rate(7.0)), "{busiest}");
}

#[test]
fn server_without_a_limit_any_more_gets_requests_again() {
    let mut world = World::new(&[10.0; 7], 7, rate(2.0), 4);
    world.unnamed_at = 10_000;
    world.run(|_, _| {});
    assert!(
        world.arrived(11_500..END_MS) >= 100,
        "{}",
        world.arrived(11_500..END_MS)
    );
}

/// A limit of zero would otherwise never be found to have ended.
#[test]
fn limit_of_zero_is_tested() {
    let mut world = World::new(&[10.0; 7], 7, rate(0.0), 5);
    world.unnamed_at = 10_000;
    world.run(|_, _| {});
    let busiest = world.busiest_window();
    assert!(busiest <= allowed(rate(0.0)), "{busiest}");
    assert!(
        world.arrived(16_000..END_MS) >= 40,
        "{}",
        world.arrived(16_000..END_MS)
    );
}

/// What happens to a node during a history.
#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Change {
    Disturbed(Disturbance),
    Busier,
}

#[derive(Debug, Clone, TypeGenerator)]
struct History {
    nodes: u8,
    limit: u8,
    demand: u8,
    seed: u64,
    changes: [(u8, u8, Change); 6],
}

/// Nodes start, stop, freeze, are cut off or get more requests at any time.
#[test]
fn limit_holds_in_random_histories() {
    check(0x11a1, HISTORIES, |history: History| {
        let nodes = usize::from(history.nodes % 12) + 1;
        let limit = rate(f64::from(history.limit) / 16.0);
        let demand = f64::from(history.demand % 64) / 2.0;
        let mut world = World::new(&vec![demand; nodes], nodes, limit, history.seed >> 8);
        world.run(|world, now| {
            for (at, node, change) in history.changes {
                let number = usize::from(node) % nodes;
                if now != 2_000 + u64::from(at) * 60 / STEP_MS * STEP_MS {
                    continue;
                }
                let callers = &mut world.callers[number];
                match change {
                    Change::Disturbed(disturbance) => world.disturb(now, number, disturbance),
                    Change::Busier => callers.demand = 2.0 * callers.demand + 5.0,
                }
            }
        });
        let busiest = world.busiest_window();
        assert!(
            busiest <= allowed(limit),
            "{busiest} of {} in {history:?}",
            allowed(limit)
        );
    });
}

fn two_nodes() -> [Gateway; 2] {
    [0, 1].map(|_| gateway(ms(0), plain_servers(2)))
}

fn limit_of(gateway: &Gateway, now: Timestamp) -> Option<RequestRate> {
    gateway.server_limits(now).get(&name(0)).copied()
}

#[test]
fn limit_ends_with_the_incarnation() {
    let [mut node, _] = two_nodes();
    node.record_limit(ms(100), &name(0), ms(50), Some(rate(3.0)));
    assert_eq!(limit_of(&node, ms(200)), Some(rate(3.0)));
    node.set_server(ms(300), &name(0), None);
    node.set_server(ms(400), &name(0), Some(server(0, PLAIN, "centro")));
    assert_eq!(limit_of(&node, ms(400)), Some(rate(3.0)), "the same run");
    let restarted = Server {
        started_ms: Some(2),
        ..server(0, PLAIN, "centro")
    };
    node.set_server(ms(500), &name(0), Some(restarted));
    assert_eq!(limit_of(&node, ms(500)), None);
}

/// Load pattern: all servers of a service are limited, so that waiting gains
/// nothing.
#[test]
fn request_that_limits_exclude_is_refused_at_once() {
    let [mut node, _] = two_nodes();
    for number in 0..2 {
        node.record_limit(ms(100), &name(number), ms(50), Some(rate(0.0)));
    }
    let routed = node.route(ms(200), HOST, "/open/1", None);
    let routed = routed.expect("the route exists");
    let admission = node.admit(ms(200), &routed, &id(PLAIN), None);
    assert!(matches!(admission, Admission::Refuse(_)), "{admission:?}");
}

#[test]
fn response_to_an_earlier_request_does_not_end_a_limit() {
    let [mut node, _] = two_nodes();
    node.record_limit(ms(100), &name(0), ms(50), Some(rate(3.0)));
    node.record_limit(ms(120), &name(0), ms(90), None);
    assert_eq!(limit_of(&node, ms(130)), Some(rate(3.0)));
    node.record_limit(ms(200), &name(0), ms(150), None);
    assert_eq!(limit_of(&node, ms(210)), None);
}

#[test]
fn limit_that_no_response_repeats_ends() {
    let [mut node, _] = two_nodes();
    node.record_limit(ms(100), &name(0), ms(50), Some(rate(3.0)));
    assert_eq!(limit_of(&node, ms(30_000)), Some(rate(3.0)));
    assert_eq!(limit_of(&node, ms(30_100)), None);
}

/// Hubs repeat what leaves report, and reports arrive late.
#[test]
fn newest_statement_of_any_node_holds() {
    let [mut node, mut peer] = two_nodes();
    peer.record_limit(ms(100), &name(0), ms(50), Some(rate(3.0)));
    let old = peer.report(ms(150), true, None, ReportRecipient::Hub);
    peer.record_limit(ms(300), &name(0), ms(250), None);
    let new = peer.report(ms(350), true, None, ReportRecipient::Hub);
    node.apply_report(ms(160), node_id(1), Source::Hub, old.clone());
    assert_eq!(limit_of(&node, ms(160)), Some(rate(3.0)));
    node.apply_report(ms(360), node_id(1), Source::Hub, new);
    assert_eq!(limit_of(&node, ms(360)), None);
    // A leaf repeats what it heard before the limit ended.
    let relayed = node.report(ms(400), true, None, ReportRecipient::Hub);
    assert_eq!(
        relayed.limits.values().filter_map(|l| l.statement).count(),
        0
    );
}

/// Engines that come later on a path count too.
#[test]
fn limited_engine_is_left_out_at_every_stage() {
    let engines = place(placed_engines());
    let mut node = gateway(ms(0), engines.clone());
    let late = engines
        .iter()
        .find(|(_, engine)| engine.layers.is_some_and(|layers| layers.start() > 0));
    let late = late.expect("a path has several stages").0;
    node.record_limit(ms(100), late, ms(50), Some(rate(0.0)));
    for at in 0..200 {
        let now = ms(200 + at);
        let ticket = node.retry(
            now,
            &id(gateway_fakes::ENGINES),
            Some(gateway_fakes::TYPICAL),
            &[],
        );
        let Some(ticket) = ticket else {
            continue;
        };
        assert!(!ticket.target.to_string().contains(&late.to_string()));
        node.finish(now, &ticket, TicketOutcome::Abandoned);
    }
}
