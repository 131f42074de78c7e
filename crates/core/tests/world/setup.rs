//! Configuration, VM list and settings of the simulated nodes.

use std::{net::SocketAddr, sync::OnceLock, time::Duration};

use radishhaven_core::{
    config::BATCH_FORMAT,
    configs::{Configs, Identity},
    ids::{Incarnation, RequestId, VmId},
    message::{Demand, Event, Submission},
    once::IdKey,
    platform::{Record, Vm, VmList, VmRole, VmState},
};
use sha2::{Digest, Sha256};

/// The kind of requests that the callers send. All of them are non-idempotent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// Calls to the plain service.
    Call,
    /// Completions, which the engines run.
    Completion,
}

/// Number of entry nodes, which run in three failure domains.
pub const NODES: usize = 4;
/// The plain service. All of its operations are non-idempotent.
const SERVICE: &str = "roster-desk";
const SERVERS: usize = 2;
/// The pipeline. Each engine holds all layers of its model.
const PIPELINE: &str = "brief-writer";
const ENGINES: usize = 2;
const MAX_TOKENS: u32 = 3;
const TOKEN: &[u8] = b"small-firm";
const DEADLINE: Duration = Duration::from_secs(3);

pub fn vm(n: usize) -> VmId {
    id(&format!("node-{n}"))
}

fn id<T: std::str::FromStr>(name: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    name.parse().expect("the name is valid")
}

fn address(port: usize) -> SocketAddr {
    let port = u16::try_from(port).expect("ports are few");
    SocketAddr::from(([127, 0, 0, 1], port))
}

pub fn configs(n: usize, incarnation: Incarnation, short_retention: bool) -> Configs {
    let identity = Identity {
        vm: vm(n),
        failure_domain: id(&format!("domain-{}", n % 3)),
        address: address(1_000 + n),
        incarnation,
    };
    let mut cfg = Configs::new(identity);
    cfg.once.key = IdKey::new(b"the key of a world in a test");
    cfg.once.home_timeout = Duration::from_millis(300);
    cfg.membership.heartbeat_interval = Duration::from_secs(1);
    // The concurrency limits play no role here, so they are adjusted rarely.
    cfg.admission.control_interval = Duration::from_secs(60);
    if short_retention {
        cfg.once.id_ttl = Duration::from_millis(900);
        cfg.once.outcome_retention = Duration::from_millis(400);
        cfg.once.max_remembered = 3;
        cfg.once.max_witnessed = 3;
    }
    cfg
}

/// Returns the events with the configuration and the VM list that a node handles
/// at its start.
pub fn startup_events() -> Vec<Event> {
    static RECORD: OnceLock<Record> = OnceLock::new();
    let record = RECORD.get_or_init(|| Record {
        offset: 0,
        body: batch(),
    });
    let records = Event::ConfigRecords {
        first: 0,
        end: 1,
        records: vec![record.clone()],
    };
    vec![records, Event::VmList(vm_list()), Event::Start]
}

/// Returns the text of the first batch, in the form in which the log holds it.
fn batch() -> String {
    let token: String = Sha256::digest(TOKEN)
        .iter()
        .map(|b| format!("{b:02x}"))
        .collect();
    let service = serde_json::json!({ "id": SERVICE });
    let organisation = serde_json::json!({
        "id": "small-firm",
        "token_sha256": token,
        "priority": 1,
        "max_in_flight": 100,
        "share": 1,
    });
    let backend = |n: usize| {
        let carries = serde_json::json!({ "service": SERVICE });
        let id = format!("server-{n}");
        serde_json::json!({ "put": { "backend": { "id": id, "carries": carries, "checks_tokens": false } } })
    };
    let mut changes = vec![
        serde_json::json!({ "put": { "service": service } }),
        serde_json::json!({ "put": { "organisation": organisation } }),
    ];
    changes.extend((0..SERVERS).map(backend));
    let engine = |n: usize| {
        let carries = serde_json::json!({
            "layers": { "model": PIPELINE, "version": "v1", "layers": [0, 8] }
        });
        let id = format!("engine-{n}");
        serde_json::json!({ "put": { "backend": { "id": id, "carries": carries } } })
    };
    let model = serde_json::json!({ "id": PIPELINE, "layers": 8 });
    let pipeline = serde_json::json!({ "id": PIPELINE, "model": PIPELINE, "version": "v1" });
    changes.push(serde_json::json!({ "put": { "model": model } }));
    changes.push(serde_json::json!({ "put": { "pipeline": pipeline } }));
    changes.extend((0..ENGINES).map(engine));
    let batch = serde_json::json!({ "format": BATCH_FORMAT, "batch": "first", "changes": changes });
    batch.to_string()
}

fn vm_list() -> VmList {
    let node = |n: usize| Vm {
        vm: vm(n),
        role: VmRole::Node,
        address: address(1_000 + n),
        peer_address: Some(address(2_000 + n)),
        failure_domain: id(&format!("domain-{}", n % 3)),
        state: VmState::Live,
    };
    let backend = |name: String, port: usize| Vm {
        vm: id(&name),
        role: VmRole::Backend,
        address: address(port),
        peer_address: None,
        failure_domain: id("domain-0"),
        state: VmState::Live,
    };
    let nodes = (0..NODES).map(node);
    let servers = (0..SERVERS).map(|n| backend(format!("server-{n}"), 3_000 + n));
    let engines = (0..ENGINES).map(|n| backend(format!("engine-{n}"), 4_000 + n));
    VmList {
        vms: nodes.chain(servers).chain(engines).collect(),
    }
}

pub fn submission(kind: RequestKind, request_id: Option<RequestId>) -> Submission {
    let demand = match kind {
        RequestKind::Call => Demand::Call {
            service: id(SERVICE),
            operation: "book".to_owned(),
            body: serde_json::json!({ "hearing": 12 }),
        },
        RequestKind::Completion => Demand::Completion {
            pipeline: id(PIPELINE),
            prompt: b"hearing".map(u32::from).to_vec(),
            max_tokens: MAX_TOKENS,
        },
    };
    Submission {
        token_sha256: Sha256::digest(TOKEN).into(),
        id: request_id,
        priority: None,
        timeout: Some(DEADLINE),
        idempotent: (kind == RequestKind::Completion).then_some(false),
        demand,
    }
}
