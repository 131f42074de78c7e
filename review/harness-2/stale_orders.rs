//! Engines leave orders unanswered while the lease for orders moves to a new node.

use std::{
    collections::BTreeMap,
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    path::Path,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex, OnceLock,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    deployment::{configuration, engine_entry, Node, Record},
    http::{self, Request},
    outcome::Outcome,
    store::{number_field, Store},
};

/// The engines of the site by kind.
const ENGINES: [(&str, usize); 3] = [("a100", 4), ("l40s", 11), ("l4", 18)];
/// How long engines leave orders unanswered, and one of how many.
const LATE_TIME: Duration = Duration::from_millis(5_500);
const LATE_ONE_OF: u32 = 2;
/// Time after which an unanswered order is carried out.
const LATE_BY: Duration = Duration::from_secs(3);
/// Time from the first order to the start of the node that is added.
const ADDED_AFTER: Duration = Duration::from_millis(500);
/// Time for which orders are watched.
const LENGTH: Duration = Duration::from_secs(30);
/// The TTL of the membership that is the lease, rounded up.
const LEASE: Duration = Duration::from_millis(2_000);
/// Orders of a refused holder that the rule allows.
const MAX_STALE: usize = 3;
/// Time in which an engine loads one layer; first loads take a tenth of the usual time.
const LOAD_TIME: Duration = Duration::from_millis(18);

/// An order that reached an engine.
#[derive(Debug, Clone, Copy)]
struct Order {
    at: Instant,
    token: u64,
    /// 0 if it was not answered.
    status: u16,
}

#[derive(Debug, Default)]
struct Held {
    fence: u64,
    layers: Option<(u16, u16)>,
    loads_until: Option<Instant>,
    sequence: u64,
}

struct Engine {
    name: String,
    kind: &'static str,
    address: OnceLock<SocketAddr>,
    held: Mutex<Held>,
}

/// What all engines share.
struct Shared {
    store: Store,
    record: Record,
    trouble: bool,
    orders: Mutex<Vec<Order>>,
    /// Orders by token.
    counts: Mutex<BTreeMap<u64, u32>>,
    first_order: OnceLock<Instant>,
}

impl Shared {
    /// Returns whether the next order with a token is one of those that get no answer:
    /// every second one, from the first holder's first order and from the second holder's
    /// second one on.
    fn is_left_unanswered(&self, token: u64) -> bool {
        let mut counts = self.counts.lock().expect("no panic under the lock");
        let holder = counts.keys().filter(|known| **known < token).count() as u32;
        let count = counts.entry(token).or_default();
        *count += 1;
        (*count + holder) % LATE_ONE_OF == 1
    }
}

impl Engine {
    fn register(&self, store: &Store) {
        let Some(address) = self.address.get() else {
            return;
        };
        let mut held = self.held.lock().expect("no panic under the lock");
        held.sequence += 1;
        let text = engine_entry(*address, self.kind, held.layers, held.sequence);
        store.put("keyed.servers", &self.name, Some(&text));
    }

    /// Carries out an order, and returns the status of its answer.
    fn place(self: &Arc<Self>, shared: &Arc<Shared>, token: u64, layers: (u16, u16)) -> u16 {
        let mut held = self.held.lock().expect("no panic under the lock");
        if token < held.fence {
            return 412;
        }
        held.fence = token;
        let now = Instant::now();
        if held.loads_until.is_some_and(|until| now < until) {
            return 409;
        }
        if held.layers == Some(layers) {
            return 200;
        }
        let time = LOAD_TIME * u32::from(layers.1.saturating_sub(layers.0));
        held.loads_until = Some(now + time);
        held.layers = None;
        let (engine, shared) = (self.clone(), shared.clone());
        thread::spawn(move || {
            thread::sleep(time);
            engine.held.lock().expect("no panic under the lock").layers = Some(layers);
            engine.register(&shared.store);
        });
        202
    }

    fn answer(
        self: &Arc<Self>,
        shared: &Arc<Shared>,
        req: &Request,
        stream: &mut TcpStream,
    ) -> io::Result<()> {
        if req.path != "/-/order" {
            return stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}");
        }
        let at = Instant::now();
        let first = *shared.first_order.get_or_init(|| at);
        let token = number_field(&req.body, "fencing_token");
        let number = |name| number_field(&req.body, name) as u16;
        let layers = (number("from"), number("target"));
        let is_late = shared.trouble
            && at.duration_since(first) < LATE_TIME
            && shared.is_left_unanswered(token);
        let status = if is_late {
            0
        } else {
            self.place(shared, token, layers)
        };
        let mut orders = shared.orders.lock().expect("no panic under the lock");
        orders.push(Order { at, token, status });
        drop(orders);
        shared.record.line(&format!(
            "order     to {} layers {}-{} token {token} answered {status}",
            self.name, layers.0, layers.1
        ));
        if !is_late {
            let head = format!("HTTP/1.1 {status} Status\r\ncontent-length: 2\r\n\r\n{{}}");
            return stream.write_all(head.as_bytes());
        }
        thread::sleep(LATE_BY);
        let status = self.place(shared, token, layers);
        shared.record.line(&format!(
            "late      order to {} token {token}: {status}",
            self.name
        ));
        Err(io::ErrorKind::ConnectionAborted.into())
    }
}

fn start_engines(shared: &Arc<Shared>, ended: &Arc<AtomicBool>) {
    for (kind, count) in ENGINES {
        for number in 0..count {
            let engine = Arc::new(Engine {
                name: format!("{kind}-{number:02}"),
                kind,
                address: OnceLock::new(),
                held: Mutex::default(),
            });
            let (serving, with) = (engine.clone(), shared.clone());
            let address = http::serve(move |req, stream| serving.answer(&with, req, stream));
            let _ = engine.address.set(address);
            let (store, ended) = (shared.store.clone(), ended.clone());
            thread::spawn(move || {
                while !ended.load(Ordering::SeqCst) {
                    engine.register(&store);
                    thread::sleep(Duration::from_millis(1_200));
                }
            });
        }
    }
}

/// Returns the largest number of orders that one holder sent with one token later than the
/// lease after it was refused for that token.
fn stale_orders(orders: &[Order]) -> usize {
    let refused = |token| {
        let mut of_token = orders
            .iter()
            .filter(move |o| o.token == token && o.status == 412);
        of_token.next().map(|order| order.at)
    };
    let later = |order: &&Order| refused(order.token).is_some_and(|at| order.at > at + LEASE);
    let tokens = orders.iter().map(|order| order.token);
    let count = |token| {
        orders
            .iter()
            .filter(|o| o.token == token)
            .filter(later)
            .count()
    };
    tokens.map(count).max().unwrap_or(0)
}

pub fn run(folder: &Path, files: &Path, trouble: bool) -> Outcome {
    let Ok(record) = Record::create(folder) else {
        return Outcome::CannotRun;
    };
    let store = Store::default();
    store.put("keyed.op", "config", Some(&configuration()));
    let shared = Arc::new(Shared {
        store: store.clone(),
        record: record.clone(),
        trouble,
        orders: Mutex::default(),
        counts: Mutex::default(),
        first_order: OnceLock::new(),
    });
    let ended = Arc::new(AtomicBool::new(false));
    start_engines(&shared, &ended);
    let address = store.listen();
    let Ok(_first) = Node::start("front-2", address, files) else {
        return Outcome::CannotRun;
    };
    let begun = Instant::now();
    while shared.first_order.get().is_none() {
        if begun.elapsed() > Duration::from_secs(30) {
            return Outcome::CannotRun;
        }
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(ADDED_AFTER);
    record.line("added     front-1");
    let Ok(_second) = Node::start("front-1", address, files) else {
        return Outcome::CannotRun;
    };
    thread::sleep(LENGTH);
    ended.store(true, Ordering::SeqCst);
    let orders = shared
        .orders
        .lock()
        .expect("no panic under the lock")
        .clone();
    let mut tokens: Vec<u64> = orders.iter().map(|order| order.token).collect();
    tokens.sort_unstable();
    tokens.dedup();
    for token in tokens {
        let of_token: Vec<&Order> = orders.iter().filter(|o| o.token == token).collect();
        let refused = of_token.iter().filter(|o| o.status == 412).count();
        let owner = store.owner_in(token).unwrap_or_default();
        let owner = owner.split('|').next().unwrap_or_default().to_owned();
        let count = of_token.len();
        record.line(&format!(
            "{owner} sent {count} orders with token {token}, {refused} refused"
        ));
    }
    let stale = stale_orders(&orders);
    record.line(&format!(
        "{stale} orders with one token came later than {} ms after its refusal",
        LEASE.as_millis()
    ));
    match stale > MAX_STALE {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}
