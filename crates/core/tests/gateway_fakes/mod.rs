//! Engines, plain servers and a configuration that resemble the deployments.

#![allow(dead_code)]

pub mod crashes;
pub mod fleet;

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use radishhaven_core::{
    gateway::{
        Configuration, EngineSpec, Gateway, Organisation, Path, Route, RouteKind, Server,
        ServerState, Servers, Service, StoreEra, StorePosition,
        budget::BudgetConfig,
        config::{Accelerator, CallerLimits},
        hedging::HedgePercent,
        members::{Member, Millicores},
        paths::{TokenEstimate, choose, copies::Copies},
        state::GatewayConfig,
    },
    ids::{LayerRange, Priority, VmId},
    time::Timestamp,
};

/// The service whose servers are engines.
pub const ENGINES: &str = "dictado";
/// The plain service.
pub const PLAIN: &str = "libro";
/// The host of all routes.
pub const HOST: &str = "ficu95.example";
/// The only key.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// A request of typical size.
pub const TYPICAL: TokenEstimate = TokenEstimate {
    prompt: 774,
    output: 200,
};

/// Engines of one deployment: failure domain, kind of accelerator, count.
pub const ENGINE_KINDS: [(&str, &str, usize); 9] = [
    ("centro", "a100", 1),
    ("cordon", "a100", 1),
    ("pocitos", "a100", 2),
    ("centro", "l40s", 3),
    ("cordon", "l40s", 6),
    ("pocitos", "l40s", 2),
    ("centro", "l4", 8),
    ("cordon", "l4", 5),
    ("pocitos", "l4", 5),
];

pub fn id<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("names in tests are valid")
}

pub fn member(number: usize, domain: &str, processor: u32) -> Member {
    let address = |port| SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + number as u32), port));
    Member {
        vm: id(&format!("front-{number}")),
        failure_domain: id(domain),
        caller_address: address(8227),
        peer_address: address(7340),
        processor: Millicores(processor),
    }
}

/// Draws a path among the copies, as a gateway with many peers does.
pub fn spread(
    servers: &Servers,
    now: Timestamp,
    estimate: TokenEstimate,
    mut draw: impl FnMut() -> f64,
) -> Option<Path> {
    let service = id(ENGINES);
    let copies = Copies::new(&spec(), servers, &service);
    let path = copies.draw_path(&spec(), servers, now, &estimate.into(), &mut draw);
    path.or_else(|| choose(&spec(), servers, &service, now, &estimate.into(), draw))
}

/// A position in the first era of the store.
pub fn position(offset: u64) -> StorePosition {
    let era = StoreEra(0);
    StorePosition { era, offset }
}

pub fn ms(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

pub fn spec() -> EngineSpec {
    let kind = |memory_mb, step_factor, read_factor| Accelerator {
        memory_mb,
        step_factor,
        read_factor,
    };
    EngineSpec {
        slots: 192,
        layers: 80,
        layer_mb: 1_750.0,
        kv_bytes_per_token: 918_000.0,
        load_time: Duration::from_secs(14),
        loads_at_once: 5,
        step_ms: 1.02,
        per_request_ms: 0.00714,
        per_context_k_ms: 0.00956,
        stride: 3,
        target_gap: None,
        prefill_tokens_per_s: 105_000.0,
        activation_bytes_per_token: 45_900.0,
        link_mbps: 26_000.0,
        baseline_prompt_tokens: 774,
        baseline_output_tokens: 200,
        accelerators: BTreeMap::from([
            ("a100".to_owned(), kind(72_000.0, 2.4, 3.2)),
            ("l40s".to_owned(), kind(43_200.0, 5.6, 2.7)),
            ("l4".to_owned(), kind(21_600.0, 16.0, 8.2)),
        ]),
        delays: Vec::new(),
    }
}

fn route(path: &str, kind: RouteKind, service: &str) -> Route {
    Route {
        host: HOST.to_owned(),
        path_prefix: path.to_owned(),
        kind,
        timeout: Duration::from_secs(20),
        target_latency: Duration::from_millis(500),
        target_gap: Some(Duration::from_millis(200)),
        priority: Priority(1),
        max_attempts: 2,
        public: false,
        split: vec![(id(service), 1)],
    }
}

pub fn configuration(version: u64) -> Configuration {
    let streaming = RouteKind::Streaming { resumable: true };
    let mut public = route("/open/", RouteKind::Idempotent, PLAIN);
    public.public = true;
    Configuration {
        version,
        routes: BTreeMap::from([
            ("trip".to_owned(), route("/trip/", streaming, ENGINES)),
            ("open".to_owned(), public),
            (
                "log".to_owned(),
                route("/log/", RouteKind::NonIdempotent, PLAIN),
            ),
            (
                "deep".to_owned(),
                route("/log/deep/", RouteKind::Idempotent, PLAIN),
            ),
        ]),
        services: BTreeMap::from([
            (
                id(ENGINES),
                Service {
                    health_path: "/health".to_owned(),
                    engine: Some(spec()),
                },
            ),
            (
                id(PLAIN),
                Service {
                    health_path: "/health".to_owned(),
                    engine: None,
                },
            ),
        ]),
        limits: CallerLimits::default(),
        organisations: Some(BTreeMap::from([(
            id("hule930"),
            Organisation {
                keys: vec![KEY.to_owned()],
                priority: None,
            },
        )])),
    }
}

pub fn server(number: usize, service: &str, domain: &str) -> Server {
    let address = format!("10.0.{}.{}:8080", number / 250, number % 250 + 1);
    Server {
        service: id(service),
        address: address.parse().expect("the address is valid"),
        domain: id(domain),
        state: ServerState::Ready,
        slots: if service == PLAIN { 6 } else { 192 },
        accelerator: None,
        layers: None,
        started_ms: Some(1),
    }
}

pub fn engine(number: usize, domain: &str, kind: &str, layers: Option<(u16, u16)>) -> Server {
    Server {
        accelerator: Some(kind.to_owned()),
        layers: layers.map(|(start, end)| LayerRange::new(start, end).expect("the range is valid")),
        ..server(number, ENGINES, domain)
    }
}

pub fn name(number: usize) -> VmId {
    id(&format!("i-{number:03}"))
}

/// The engines of the deployment, without layers.
pub fn empty_engines() -> BTreeMap<VmId, Server> {
    let engines = ENGINE_KINDS
        .iter()
        .flat_map(|(domain, kind, count)| std::iter::repeat_n((*domain, *kind), *count));
    engines
        .enumerate()
        .map(|(number, (domain, kind))| (name(number), engine(number, domain, kind, None)))
        .collect()
}

pub fn gateway_config() -> GatewayConfig {
    GatewayConfig {
        max_confirmation_age: Duration::from_millis(4_500),
        max_time_behind: Duration::from_millis(1_200),
        budget: BudgetConfig {
            ratio: 0.2,
            window: Duration::from_secs(10),
            slack: 198.0,
        },
        hedging: HedgePercent::default(),
    }
}

/// A gateway with a freshly confirmed configuration and these servers.
pub fn gateway(now: Timestamp, servers: BTreeMap<VmId, Server>) -> Gateway {
    let mut gateway = Gateway::new(gateway_config(), 7);
    gateway.set_configuration(configuration(1));
    gateway.confirm_configuration(now);
    gateway.set_servers(now, servers);
    gateway.record_node_count(now, 7);
    gateway
}

/// A table of these servers.
pub fn table(servers: &BTreeMap<VmId, Server>) -> radishhaven_core::gateway::Servers {
    let mut table = radishhaven_core::gateway::Servers::default();
    for (id, server) in servers {
        table.apply(ms(0), id, Some(server.clone()));
    }
    table
}

/// The engines of the deployment with the layers that the planner assigns.
pub fn placed_engines() -> BTreeMap<VmId, Server> {
    place(empty_engines())
}

/// Returns the engines with the layers that the planner assigns.
pub fn place(mut engines: BTreeMap<VmId, Server>) -> BTreeMap<VmId, Server> {
    use radishhaven_core::gateway::placement::plan;
    for assignment in plan(&spec(), &table(&engines), &id(ENGINES), &BTreeMap::new()) {
        let engine = engines
            .get_mut(&assignment.server)
            .expect("the entry exists");
        engine.layers = Some(assignment.layers);
    }
    engines
}
