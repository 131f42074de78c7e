//! A few answers of plain workers go on without end, in small chunks whose size lines are
//! padded with blanks.

use std::{
    io::Write,
    path::Path,
    sync::{
        atomic::{AtomicBool, AtomicU32, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    deployment::{configuration, request, request_on, Entry, Node, Record, Target, MEMORY_MB},
    http::Connection,
    outcome::Outcome,
    store::Store,
    workers,
};

/// One of so many answers of a faulty worker is spoiled.
const SPOILED_ONE_OF: u32 = 20;
/// How long requests are sent, and the time between two that may reach a faulty worker.
const LENGTH: Duration = Duration::from_secs(45);
const REQUEST_GAP: Duration = Duration::from_millis(125);
/// Callers that keep a connection to each node, for requests to sound workers.
const KEPT_CONNECTIONS: usize = 6;
/// Interval at which the platform looks at the memory of a process.
const WATCH_INTERVAL: Duration = Duration::from_millis(20);
/// Requests on kept connections that may be lost.
const MAX_LOST: u32 = 3;

/// Blanks after the size of a chunk.
const PADDING: usize = 250;
/// Chunks of a block, and the time between two blocks: an answer takes about 800 Mbit/s of
/// the 1,000 Mbit/s of a machine's link.
const BLOCK_CHUNKS: usize = 4_096;
const BLOCK_GAP: Duration = Duration::from_millis(10);

fn write_endlessly(stream: &mut impl Write, head: &str) {
    let chunk = format!("1{}\r\nx\r\n", " ".repeat(PADDING));
    let block = chunk.repeat(BLOCK_CHUNKS);
    let first = format!("{head}transfer-encoding: chunked\r\n\r\n");
    let mut next = first.as_bytes();
    while stream.write_all(next).is_ok() {
        next = block.as_bytes();
        thread::sleep(BLOCK_GAP);
    }
}

fn register(store: &Store, record: &Record, trouble: bool) {
    let work = Duration::from_millis(60);
    let answers = Arc::new(AtomicU32::new(0));
    for number in 0..4 {
        let id = format!("libro-{number}");
        let (answers, spoiling) = (answers.clone(), record.clone());
        let is_faulty = trouble && number < 2;
        let address = workers::plain(record, &id, work, move |req, stream| {
            let is_due = is_faulty && answers.fetch_add(1, Ordering::SeqCst) % SPOILED_ONE_OF == 9;
            if is_due {
                spoiling.line(&format!("spoiled   {}", req.attempt_id()));
                write_endlessly(stream, &workers::signed_head(req, 200));
            }
            is_due
        });
        let (service, slots, layers) = ("libro", 6, None);
        Entry {
            id,
            service,
            address,
            slots,
            layers,
        }
        .register(store);
    }
    for number in 0..3 {
        let id = format!("agenda-{number}");
        let address = workers::plain(record, &id, work, |_, _| false);
        let (service, slots, layers) = ("agenda", 6, None);
        Entry {
            id,
            service,
            address,
            slots,
            layers,
        }
        .register(store);
    }
}

/// Sends requests to sound workers on one connection as long as it lasts, then on the next
/// one. Returns how many were lost on a connection that had carried others before.
fn use_kept_connections(record: &Record, node: &Target, caller: usize, ended: &AtomicBool) -> u32 {
    let (mut lost, mut number) = (0, 0);
    let patience = Duration::from_secs(1);
    while !ended.load(Ordering::SeqCst) {
        let Ok(mut connection) = Connection::open(node.callers, patience) else {
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        while !ended.load(Ordering::SeqCst) {
            let id = format!("{}b{caller}{number:05}", node.prefix());
            number += 1;
            let answer = request_on(record, &mut connection, &id, "/book/1", 3_000);
            if answer.complete {
                continue;
            }
            let is_lost = answer.closed
                && answer.status == 0
                && connection.answered > 0
                && record.has_run(&id);
            lost += u32::from(is_lost);
            if is_lost {
                record.line(&format!("lost      {id}"));
            }
            break;
        }
    }
    lost
}

/// Starts what a node's callers send, and acts as the platform for the node: it ends a
/// process that uses too much memory, and starts it again. Returns the lost requests.
fn play(record: &Record, mut node: Node) -> Option<u32> {
    let target = node.target().clone();
    let (record, target, ended) = (record, &target, &AtomicBool::new(false));
    let begun = Instant::now();
    let (mut ends, mut most) = (0, 0.0_f64);
    let lost = thread::scope(|scope| {
        let kept = (0..KEPT_CONNECTIONS)
            .map(|caller| scope.spawn(move || use_kept_connections(record, target, caller, ended)));
        let kept: Vec<_> = kept.collect();
        scope.spawn(move || {
            for number in 0.. {
                let at = begun + REQUEST_GAP * number;
                thread::sleep(at.saturating_duration_since(Instant::now()));
                if ended.load(Ordering::SeqCst) {
                    return;
                }
                let id = format!("{}a{number:03}", target.prefix());
                scope.spawn(move || request(record, target, &id, "/log/1", 3_000));
            }
        });
        while begun.elapsed() < LENGTH {
            thread::sleep(WATCH_INTERVAL);
            let memory = node.memory_mb();
            most = most.max(memory);
            if memory > MEMORY_MB as f64 {
                ends += 1;
                let name = &target.name;
                record.line(&format!("killed    {name} for its memory, {memory:.0} MB"));
                if node.kill_and_restart().is_err() {
                    ended.store(true, Ordering::SeqCst);
                    return None;
                }
            }
        }
        ended.store(true, Ordering::SeqCst);
        Some(
            kept.into_iter()
                .map(|caller| caller.join().unwrap_or(0))
                .sum::<u32>(),
        )
    })?;
    let name = &target.name;
    record.line(&format!(
        "{name} ended {ends} times, had {most:.0} MB at most, and lost {lost} requests"
    ));
    Some(lost)
}

pub fn run(folder: &Path, files: &Path, trouble: bool) -> Outcome {
    let Ok(record) = Record::create(folder) else {
        return Outcome::CannotRun;
    };
    let store = Store::default();
    store.put("keyed.op", "config", Some(&configuration()));
    register(&store, &record, trouble);
    let address = store.listen();
    let start = |name| {
        Node::start(name, address, files)
            .ok()
            .filter(Node::wait_ready)
    };
    let (Some(first), Some(second)) = (start("front-1"), start("front-2")) else {
        return Outcome::CannotRun;
    };
    let record = &record;
    let lost = thread::scope(|scope| {
        let nodes = [first, second].map(|node| scope.spawn(move || play(record, node)));
        nodes.map(|node| node.join().ok().flatten())
    });
    match lost {
        [Some(a), Some(b)] if a.max(b) > MAX_LOST => Outcome::Broken,
        [Some(_), Some(_)] => Outcome::Held,
        _ => Outcome::CannotRun,
    }
}
