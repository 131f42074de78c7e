//! A few answers of the first engines turn into bytes that are no answer, without end.

use std::{
    io::Write,
    path::Path,
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    deployment::{configuration, request, Entry, Node, Record},
    http::Answer,
    outcome::Outcome,
    store::Store,
    workers,
};

/// The time limit of the plain routes.
const TIMEOUT: Duration = Duration::from_millis(3_000);
/// Time after the limit by which the rule wants a final answer.
const GRACE: Duration = Duration::from_millis(500);
/// Streams that are served before those whose answers are spoiled: 3 of 63.
const SOUND_STREAMS: usize = 60;
const SPOILED_STREAMS: usize = 3;
/// Plain requests during the trouble, and the time between two of them.
const REQUESTS: u32 = 120;
const REQUEST_GAP: Duration = Duration::from_millis(50);
/// How long the node is watched after the last request.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Bytes of each comment line before the blank lines, and their number.
const COMMENT_BYTES: usize = 200 * 1024;
const COMMENTS: usize = 3;
/// Bytes of one chunk of blank lines.
const CHUNK_BYTES: usize = 16 * 1024 * 1024;

/// Writes comment lines, then blank lines until the caller closes the connection.
fn write_endlessly(stream: &mut impl Write, head: &str) {
    let comment = format!(":{}\n\n", "x".repeat(COMMENT_BYTES)).repeat(COMMENTS);
    let blank = "\n".repeat(CHUNK_BYTES);
    let first = format!("{head}{:x}\r\n{comment}\r\n", comment.len());
    let chunk = format!("{:x}\r\n{blank}\r\n", blank.len());
    let mut next = first.as_bytes();
    while stream.write_all(next).is_ok() {
        next = chunk.as_bytes();
    }
}

pub fn run(folder: &Path, files: &Path, trouble: bool) -> Outcome {
    let Ok(record) = Record::create(folder) else {
        return Outcome::CannotRun;
    };
    let store = Store::default();
    store.put("keyed.op", "config", Some(&configuration()));
    let due = Arc::new(AtomicUsize::new(0));
    let first_engine = |name: &str| {
        let (due, spoiling) = (due.clone(), record.clone());
        workers::engine(&record, name, move |req, stream| {
            let take = |left: usize| left.checked_sub(1);
            if due
                .fetch_update(Ordering::SeqCst, Ordering::SeqCst, take)
                .is_err()
            {
                return false;
            }
            spoiling.line(&format!("spoiled   {}", req.attempt_id()));
            write_endlessly(stream, &workers::stream_head(req));
            true
        })
    };
    let last_engine = |name: &str| workers::engine(&record, name, |_, _| false);
    let engines = [
        ("engine-a", first_engine("engine-a"), (0, 40)),
        ("engine-b", last_engine("engine-b"), (40, 80)),
        ("engine-c", first_engine("engine-c"), (0, 40)),
        ("engine-d", last_engine("engine-d"), (40, 80)),
    ];
    for (id, address, layers) in engines {
        let (id, layers) = (id.to_owned(), Some(layers));
        let (service, slots) = ("dictado", 192);
        Entry {
            id,
            service,
            address,
            slots,
            layers,
        }
        .register(&store);
    }
    for number in 0..3 {
        let id = format!("plain-{number}");
        let address = workers::plain(&record, &id, Duration::from_millis(60), |_, _| false);
        let (service, slots, layers) = ("libro", 6, None);
        Entry {
            id,
            service,
            address,
            slots,
            layers,
        }
        .register(&store);
    }
    let node = match Node::start("front-1", store.listen(), files) {
        Ok(node) if node.wait_ready() => node,
        _ => return Outcome::CannotRun,
    };
    let (target, record) = (node.target(), &record);
    let stream = |id: String| request(record, target, &id, "/trip/1", 20_000);
    let log = request(record, target, "aa00", "/log/1", 3_000);
    let served = thread::scope(|scope| {
        let callers = (0..16).map(|caller| {
            let numbers = (0..SOUND_STREAMS).filter(move |number| number % 16 == caller);
            scope.spawn(move || {
                numbers
                    .filter(|n| stream(format!("bb{n:03}")).complete)
                    .count()
            })
        });
        let callers: Vec<_> = callers.collect();
        callers
            .into_iter()
            .map(|caller| caller.join().unwrap_or(0))
            .sum::<usize>()
    });
    if served < SOUND_STREAMS || !log.complete {
        record.line(&format!(
            "only {served} streams are served before the trouble"
        ));
        return Outcome::CannotRun;
    }
    if trouble {
        due.store(SPOILED_STREAMS, Ordering::SeqCst);
    }
    let answers = thread::scope(|scope| {
        let begun = Instant::now();
        scope.spawn(move || {
            for number in 0..SPOILED_STREAMS {
                stream(format!("cc{number:03}"));
            }
        });
        let requests = (0..REQUESTS).map(|number| {
            let at = begun + REQUEST_GAP * number;
            scope.spawn(move || {
                thread::sleep(at.saturating_duration_since(Instant::now()));
                let path = ["/log/2", "/get/2"][number as usize % 2];
                // The client waits longer than the route's time limit.
                request(record, target, &format!("dd{number:03}"), path, 8_000)
            })
        });
        let requests: Vec<_> = requests.collect();
        let ended = requests
            .into_iter()
            .map(|request| request.join().unwrap_or_default());
        ended.collect::<Vec<Answer>>()
    });
    let waits_since = Instant::now();
    while !node.is_ready() && waits_since.elapsed() < MAX_WAIT {
        thread::sleep(Duration::from_millis(100));
    }
    record.line(&format!(
        "the node {} on the readiness check {} ms after the last request",
        if node.is_ready() {
            "answers"
        } else {
            "doesn't answer"
        },
        waits_since.elapsed().as_millis()
    ));
    let is_later = |time: Duration| move |a: &&Answer| !a.complete || a.took > time;
    let late = answers.iter().filter(is_later(TIMEOUT)).count();
    let unanswered = answers.iter().filter(is_later(TIMEOUT + GRACE)).count();
    record.line(&format!(
        "of {REQUESTS} plain requests, {late} lasted longer than {} ms; {unanswered} of these \
         had no final answer {} ms later",
        TIMEOUT.as_millis(),
        GRACE.as_millis()
    ));
    match unanswered >= 8 && unanswered * 4 > late {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}
