//! What backend servers state about themselves: that they leave, and that they
//! want no requests for a time.

mod gateway_fakes;

use std::{collections::BTreeMap, time::Duration};

use bolero_generator::TypeGenerator;
use gateway_fakes::{
    ENGINES, HOST, KEY, PLAIN, TYPICAL, engine, gateway, id, ms, name, placed_engines, server,
};
use radishhaven_cases::{INVARIANT_CASES, check};
use radishhaven_core::{
    gateway::{
        Gateway, Server, ServerState,
        peers::{ReportRecipient, Source},
        placement,
        state::Admission,
    },
    ids::VmId,
    time::Timestamp,
};

const PAUSE: Duration = Duration::from_secs(4);

fn plain_servers(count: usize) -> BTreeMap<VmId, Server> {
    let servers = (0..count).map(|number| (name(number), server(number, PLAIN, "centro")));
    servers.collect()
}

/// Admits a plain request and returns its server; the request ends at once.
fn choose_plain(gateway: &mut Gateway, now: Timestamp) -> Option<VmId> {
    let routed = gateway
        .route(now, HOST, "/open/1", None)
        .expect("the route exists");
    match gateway.admit(now, &routed, &id(PLAIN), None) {
        Admission::Start(ticket) => {
            let chosen = ticket.target.first().map(|(id, _)| id.clone());
            let outcome = radishhaven_core::gateway::TicketOutcome::Abandoned;
            gateway.finish(now, &ticket, outcome);
            chosen
        }
        Admission::Wait(key, _) => {
            gateway.remove_queued(key);
            None
        }
        Admission::Refuse(_) => None,
    }
}

fn chosen_servers(gateway: &mut Gateway, now: Timestamp) -> Vec<VmId> {
    let mut chosen: Vec<VmId> = (0..40).filter_map(|_| choose_plain(gateway, now)).collect();
    chosen.sort();
    chosen.dedup();
    chosen
}

#[test]
fn leaving_server_gets_no_new_requests() {
    let mut gateway = gateway(ms(0), plain_servers(2));
    assert!(gateway.record_leaving(ms(10), &name(0)));
    assert!(!gateway.record_leaving(ms(20), &name(0)), "it is known");
    assert_eq!(chosen_servers(&mut gateway, ms(20)), [name(1)]);
}

/// The registry entry may expire and return, for example after an outage of the
/// store, while the server is still leaving.
#[test]
fn leaving_outlives_the_registry_entry_but_not_the_incarnation() {
    let mut gateway = gateway(ms(0), plain_servers(2));
    gateway.record_leaving(ms(10), &name(0));
    gateway.set_server(ms(100), &name(0), None);
    gateway.set_server(ms(200), &name(0), Some(server(0, PLAIN, "centro")));
    assert_eq!(chosen_servers(&mut gateway, ms(300)), [name(1)]);
    let restarted = Server {
        started_ms: Some(2),
        ..server(0, PLAIN, "centro")
    };
    gateway.set_server(ms(400), &name(0), Some(restarted));
    assert_eq!(chosen_servers(&mut gateway, ms(400)), [name(0), name(1)]);
}

#[test]
fn peers_learn_which_servers_are_leaving() {
    let mut nodes = [0, 1, 2].map(|_| gateway(ms(0), plain_servers(2)));
    let [leaf_a, hub, leaf_b] = &mut nodes;
    leaf_a.record_leaving(ms(10), &name(0));
    let report = leaf_a.report(ms(20), true, None, ReportRecipient::Hub);
    hub.apply_report(ms(30), id("leaf-a"), Source::Leaf, report);
    let report = hub.report(ms(40), true, None, ReportRecipient::Leaf(&id("leaf-b")));
    leaf_b.apply_report(ms(50), id("hub"), Source::Hub, report);
    assert_eq!(chosen_servers(hub, ms(60)), [name(1)]);
    assert_eq!(chosen_servers(leaf_b, ms(60)), [name(1)]);
    let restarted = Server {
        started_ms: Some(2),
        ..server(0, PLAIN, "centro")
    };
    leaf_b.set_server(ms(70), &name(0), Some(restarted));
    assert_eq!(chosen_servers(leaf_b, ms(80)), [name(0), name(1)]);
}

/// A copy of the store may contain the entry from before the server left.
#[test]
fn draining_server_does_not_become_ready_again() {
    let mut gateway = gateway(ms(0), plain_servers(2));
    let draining = Server {
        state: ServerState::Draining,
        ..server(0, PLAIN, "centro")
    };
    gateway.set_server(ms(10), &name(0), Some(draining));
    gateway.set_server(ms(20), &name(0), Some(server(0, PLAIN, "centro")));
    assert_eq!(chosen_servers(&mut gateway, ms(30)), [name(1)]);
}

#[test]
fn leaving_engine_gets_no_layers() {
    let engines = BTreeMap::from([(name(0), engine(0, "centro", "a100", None))]);
    let mut gateway = gateway(ms(0), engines);
    gateway.record_leaving(ms(10), &name(0));
    let pending = BTreeMap::new();
    let spec = gateway_fakes::spec();
    let plan = placement::plan(&spec, gateway.servers(), &id(ENGINES), &pending);
    assert_eq!(plan, []);
}

#[test]
fn paused_server_gets_no_requests_until_the_pause_is_over() {
    let mut gateway = gateway(ms(0), plain_servers(2));
    gateway.record_pause(ms(100), &name(0), None, PAUSE);
    for at in [100, 1_000, 4_099].map(ms) {
        assert_eq!(chosen_servers(&mut gateway, at), [name(1)]);
    }
    assert_eq!(chosen_servers(&mut gateway, ms(4_100)), [name(0), name(1)]);
}

/// The success of a request that the server had accepted before, and a shorter
/// pause, must not end the pause.
#[test]
fn nothing_shortens_a_pause() {
    let mut gateway = gateway(ms(0), plain_servers(1));
    gateway.record_pause(ms(100), &name(0), None, PAUSE);
    gateway.record_pause(ms(200), &name(0), None, Duration::from_millis(10));
    gateway.set_server(ms(300), &name(0), None);
    gateway.set_server(ms(400), &name(0), Some(server(0, PLAIN, "centro")));
    assert_eq!(choose_plain(&mut gateway, ms(4_000)), None);
}

/// Load pattern: all servers of a service ask for a pause that is longer than a
/// request may wait. Callers are refused at once, and come back after it.
#[test]
fn callers_return_after_the_shortest_pause_of_all_servers() {
    let mut gateway = gateway(ms(0), plain_servers(2));
    gateway.record_pause(ms(0), &name(0), None, 2 * PAUSE);
    gateway.record_pause(ms(0), &name(1), None, PAUSE);
    let now = ms(1_000);
    let routed = gateway
        .route(now, HOST, "/open/1", None)
        .expect("the route exists");
    let admission = gateway.admit(now, &routed, &id(PLAIN), None);
    let Admission::Refuse(after) = admission else {
        panic!("the request was not refused at once: {admission:?}");
    };
    assert!(after >= Duration::from_secs(3), "{after:?}");
    gateway.record_leaving(ms(1_000), &name(1));
    let left = gateway.pause_left(ms(1_000), &id(PLAIN));
    assert_eq!(left, Some(Duration::from_secs(7)));
    assert_eq!(gateway.pause_left(ms(8_000), &id(PLAIN)), None);
}

/// An engine that forwards the refusal of another one on its path gets no
/// requests, but may still be reached over other engines.
#[test]
fn pause_at_an_engine_further_on_closes_both() {
    let mut gateway = gateway(ms(0), placed_engines());
    let routed = gateway
        .route(ms(0), HOST, "/trip/1", Some(KEY))
        .expect("the route exists");
    let Admission::Start(ticket) = gateway.admit(ms(0), &routed, &id(ENGINES), Some(TYPICAL))
    else {
        panic!("the request starts");
    };
    let radishhaven_core::gateway::Target::Engines(path) = &ticket.target else {
        panic!("the service has engines");
    };
    let (first, last) = (&path.stages[0], path.stages.last().expect("a stage"));
    gateway.record_pause(ms(10), &first.server, Some(last.address), PAUSE);
    let row = |id| gateway.servers().get(id).expect("the engine is known");
    assert!(row(&first.server).is_open(ms(20)));
    assert!(!row(&first.server).is_entry_open(ms(20)));
    assert!(!row(&last.server).is_open(ms(20)));
    for _ in 0..20 {
        let again = gateway.admit(ms(20), &routed, &id(ENGINES), Some(TYPICAL));
        let Admission::Start(again) = again else {
            continue;
        };
        let chosen = again.target.first().map(|(id, _)| id.clone());
        assert_ne!(chosen.as_ref(), Some(&first.server));
    }
}

#[derive(Debug, Clone, TypeGenerator)]
enum Step {
    Leave { server: u8 },
    Pause { server: u8, ms: u16 },
    Restart { server: u8 },
    Expire { server: u8 },
    Register { server: u8 },
    Request,
    Wait { ms: u16 },
}

/// For any history, no request goes to an incarnation that is leaving or that
/// asked for a pause.
#[test]
fn no_history_sends_requests_to_closed_servers() {
    check(0x5eed, INVARIANT_CASES, |steps: Vec<Step>| {
        let count = 4_usize;
        let mut gateway = gateway(ms(0), plain_servers(count));
        let mut now = ms(0);
        let mut started = vec![1_u64; count];
        let mut closed_until: BTreeMap<(usize, u64), Option<Timestamp>> = BTreeMap::new();
        let entry = |number: usize, started: &[u64]| Server {
            started_ms: Some(started[number]),
            ..server(number, PLAIN, "centro")
        };
        for step in steps {
            match step {
                Step::Leave { server } => {
                    let number = usize::from(server) % count;
                    if gateway.servers().get(&name(number)).is_some() {
                        gateway.record_leaving(now, &name(number));
                        closed_until.insert((number, started[number]), None);
                    }
                }
                Step::Pause { server, ms } => {
                    let number = usize::from(server) % count;
                    if gateway.servers().get(&name(number)).is_some() {
                        let pause = Duration::from_millis(ms.into());
                        gateway.record_pause(now, &name(number), None, pause);
                        let known = closed_until.entry((number, started[number]));
                        let until = known.or_insert(Some(now));
                        *until = until.map(|until| until.max(now + pause));
                    }
                }
                Step::Restart { server } => {
                    let number = usize::from(server) % count;
                    started[number] += 1;
                    gateway.set_server(now, &name(number), Some(entry(number, &started)));
                }
                Step::Expire { server } => {
                    gateway.set_server(now, &name(usize::from(server) % count), None);
                }
                Step::Register { server } => {
                    let number = usize::from(server) % count;
                    gateway.set_server(now, &name(number), Some(entry(number, &started)));
                }
                Step::Request => {
                    let Some(chosen) = choose_plain(&mut gateway, now) else {
                        continue;
                    };
                    let number = (0..count).find(|n| name(*n) == chosen).expect("a server");
                    let until = closed_until.get(&(number, started[number]));
                    let open = until.is_none_or(|until| until.is_some_and(|until| now >= until));
                    assert!(open, "{chosen} is closed until {until:?} at {now:?}");
                }
                Step::Wait { ms } => now = now + Duration::from_millis(ms.into()),
            }
        }
    });
}
