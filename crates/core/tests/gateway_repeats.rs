//! A request that crashes each server that runs it, and comes again at any node.

mod gateway_fakes;

use std::{collections::BTreeMap, time::Duration};

use bolero_generator::TypeGenerator;
use gateway_fakes::{
    HOST, PLAIN,
    fleet::{Disturbance, Node, REPORT_STEPS, STABILITY_MS, STEP_MS, send_report},
    id, ms, name, server,
};
use radishhaven_cases::check;
use radishhaven_core::{
    gateway::{
        CrashCause, RequestDigest, Server, Ticket, TicketOutcome,
        peers::{ReportRecipient, Source},
        state::Admission,
    },
    ids::VmId,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// When a history ends.
const END_MS: u64 = 40_000;
/// Time from the start of the deadly request to the crash.
const CRASH_MS: u64 = 70;
/// Time that a sound request runs.
const RUN_MS: u64 = 60;
/// Time for which a crashed server is down.
const DOWN_MS: u64 = 3_000;
/// Sends of the deadly request that the users allow after that.
const MAX_LATE_SENDS: usize = 3;
/// Probability that the deadly request comes within a step.
const DEADLY_PER_STEP: f64 = 0.03;
/// Probability that a sound request comes within a step.
const SOUND_PER_STEP: f64 = 0.1;
const SERVERS: usize = 3;
const HISTORIES: u32 = 100;
/// The deadly request. Sound ones have other digests.
const DEADLY: u64 = u64::MAX;

/// A request at a server.
struct Run {
    node: usize,
    ticket: Ticket,
    digest: u64,
    ends_at: u64,
    is_retry: bool,
}

struct World {
    nodes: Vec<Node>,
    /// Start time of the current run of each server, and until when it is down.
    servers: [(u64, u64); SERVERS],
    runs: Vec<Run>,
    crashes: Vec<u64>,
    /// Sends of the deadly request by nodes that are not excused.
    sends: Vec<u64>,
    rng: StdRng,
    next: u64,
}

fn entry(number: usize, started_ms: u64) -> Server {
    Server {
        started_ms: Some(started_ms),
        ..server(number, PLAIN, "centro")
    }
}

impl World {
    fn new(nodes: usize, seed: u64) -> Self {
        let servers = [(1, 0); SERVERS];
        let start = |number| Node::start(0, nodes, entries(&servers), seed + number as u64);
        Self {
            nodes: (0..nodes).map(start).collect(),
            servers,
            runs: Vec::new(),
            crashes: Vec::new(),
            sends: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
            next: 0,
        }
    }

    fn run(&mut self, mut disturb: impl FnMut(&mut Self, u64)) {
        for step in 0..END_MS / STEP_MS {
            let now = step * STEP_MS;
            disturb(self, now);
            for number in 0..self.nodes.len() {
                if (step + number as u64).is_multiple_of(REPORT_STEPS) {
                    self.report(now, number);
                }
            }
            self.return_servers(now);
            self.end_runs(now);
            for (probability, is_deadly) in [(DEADLY_PER_STEP, true), (SOUND_PER_STEP, false)] {
                if self.rng.random_range(0.0..1.0) < probability {
                    self.next += 1;
                    let digest = if is_deadly { DEADLY } else { self.next };
                    let number = self.rng.random_range(0..self.nodes.len());
                    self.request(now, number, digest);
                }
            }
        }
    }

    fn report(&mut self, now: u64, from: usize) {
        for to in (0..self.nodes.len()).filter(|to| *to != from) {
            let (from, to) = ((from, Source::Hub), (to, ReportRecipient::Hub));
            send_report(&mut self.nodes, &mut self.rng, now, from, to);
        }
    }

    fn return_servers(&mut self, now: u64) {
        for number in 0..SERVERS {
            let (started, down_until) = &mut self.servers[number];
            if *down_until == 0 || now < *down_until {
                continue;
            }
            (*started, *down_until) = (*started + 1, 0);
            for node in &mut self.nodes {
                let entry = entry(number, *started);
                node.gateway.set_server(ms(now), &name(number), Some(entry));
            }
        }
    }

    fn request(&mut self, now: u64, number: usize, digest: u64) {
        let node = &mut self.nodes[number];
        if now < node.frozen_until {
            return;
        }
        let gateway = &mut node.gateway;
        if gateway.quarantine_left(ms(now), &[cause(digest)]).is_some() {
            return;
        }
        let routed = gateway.route(ms(now), HOST, "/open/1", None);
        let routed = routed.expect("the route exists");
        match gateway.admit(ms(now), &routed, &id(PLAIN), None) {
            Admission::Start(ticket) => self.send(now, number, digest, ticket, false),
            Admission::Wait(key, _) => gateway.remove_queued(key),
            Admission::Refuse(_) => {}
        }
    }

    fn send(&mut self, now: u64, number: usize, digest: u64, ticket: Ticket, is_retry: bool) {
        let node = &mut self.nodes[number];
        let server = server_number(&ticket);
        if self.servers[server].1 > now {
            node.gateway.finish(ms(now), &ticket, TicketOutcome::Failed);
            return;
        }
        let is_deadly = digest == DEADLY;
        if is_deadly && now >= node.excused_until {
            self.sends.push(now);
        }
        self.runs.push(Run {
            node: number,
            ticket,
            digest,
            ends_at: now + if is_deadly { CRASH_MS } else { RUN_MS },
            is_retry,
        });
    }

    fn end_runs(&mut self, now: u64) {
        let due = |run: &mut Run| run.ends_at <= now;
        let ended: Vec<Run> = self.runs.extract_if(.., due).collect();
        for run in ended {
            if self.servers[server_number(&run.ticket)].1 > now {
                self.lose(now, run);
            } else if run.digest == DEADLY {
                self.crash(now, run);
            } else {
                let gateway = &mut self.nodes[run.node].gateway;
                gateway.record_request_answered(ms(now), &[cause(run.digest)]);
                let took = Duration::from_millis(RUN_MS);
                gateway.finish(ms(now), &run.ticket, TicketOutcome::Answered { took });
            }
        }
    }

    /// The server of a run crashes, and loses all requests.
    fn crash(&mut self, now: u64, run: Run) {
        let server = server_number(&run.ticket);
        self.crashes.push(now);
        self.servers[server].1 = now + DOWN_MS;
        let is_lost = |other: &mut Run| server_number(&other.ticket) == server;
        let mut lost: Vec<Run> = self.runs.extract_if(.., is_lost).collect();
        lost.push(run);
        lost.into_iter().for_each(|run| self.lose(now, run));
    }

    /// A node finds that the server of a run has crashed, tells its peers and sends the
    /// request once more.
    fn lose(&mut self, now: u64, run: Run) {
        let node = &mut self.nodes[run.node];
        if now < node.frozen_until {
            return;
        }
        let (gateway, cause) = (&mut node.gateway, cause(run.digest));
        gateway.record_crash(ms(now), &name(server_number(&run.ticket)), &[cause]);
        gateway.finish(ms(now), &run.ticket, TicketOutcome::Failed);
        let may_retry = !run.is_retry && gateway.quarantine_left(ms(now), &[cause]).is_none();
        let ticket = may_retry
            .then(|| gateway.retry(ms(now), &id(PLAIN), None, &[]))
            .flatten();
        self.report(now, run.node);
        if let Some(ticket) = ticket {
            self.send(now, run.node, run.digest, ticket, true);
        }
    }

    fn disturb(&mut self, now: u64, number: usize, disturbance: Disturbance) {
        if disturbance == Disturbance::Restart {
            self.runs.retain(|run| run.node != number);
            let count = self.nodes.len();
            self.nodes[number].restart(now, count, entries(&self.servers));
            self.exchange_first_reports(now, number);
        }
        self.nodes[number].disturb(now, disturbance);
    }

    /// A node that starts reports to its peers, which answer.
    fn exchange_first_reports(&mut self, now: u64, number: usize) {
        self.report(now, number);
        for peer in (0..self.nodes.len()).filter(|peer| *peer != number) {
            self.report(now, peer);
        }
    }
}

fn cause(digest: u64) -> CrashCause {
    CrashCause::Request(RequestDigest(digest))
}

fn server_number(ticket: &Ticket) -> usize {
    let (server, _) = ticket.target.first().expect("a server");
    let number = (0..SERVERS).find(|number| name(*number) == *server);
    number.expect("a known server")
}

/// Returns the registry entries of the servers.
fn entries(servers: &[(u64, u64)]) -> BTreeMap<VmId, Server> {
    let entries = servers.iter().enumerate();
    let entries = entries.map(|(number, (started, _))| (name(number), entry(number, *started)));
    entries.collect()
}

#[derive(Debug, Clone, TypeGenerator)]
struct History {
    nodes: u8,
    seed: u64,
    disturbances: [(u8, u8, Disturbance); 4],
}

/// Guards against crashing servers from each node anew, while nodes start, freeze or
/// are cut off from each other.
#[test]
fn deadly_request_reaches_few_servers_in_random_histories() {
    check(0xb0d6e7, HISTORIES, |history: History| {
        let nodes = usize::from(history.nodes % 9) + 1;
        let mut world = World::new(nodes, history.seed >> 8);
        world.run(|world, now| {
            for (at, number, disturbance) in history.disturbances {
                if now == u64::from(at) * 140 / STEP_MS * STEP_MS {
                    world.disturb(now, usize::from(number) % nodes, disturbance);
                }
            }
        });
        let third = world.crashes.get(2);
        let late = third.map_or(0, |third| {
            let sends = world.sends.iter();
            sends.filter(|at| **at > *third + STABILITY_MS).count()
        });
        assert!(late <= MAX_LATE_SENDS, "{late} after {:?}", world.crashes);
        assert!(world.crashes.len() >= 2, "the request is sent at all");
    });
}
