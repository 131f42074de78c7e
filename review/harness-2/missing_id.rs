//! One caller sends streams without an attempt id, beside ordinary callers. This is no case:
//! see `review/REPORT-2.md`.

use std::{
    path::Path,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

use crate::{
    deployment::{configuration, request, Entry, Node, Record, HOST, KEY},
    http,
    outcome::Outcome,
    store::Store,
    workers,
};

/// Ordinary requests of each kind, and the time between two of them.
const REQUESTS: usize = 40;
/// Time between two requests, ordinary or without an id.
const GAP: Duration = Duration::from_millis(100);

pub fn run(folder: &Path, files: &Path, trouble: bool) -> Outcome {
    let Ok(record) = Record::create(folder) else {
        return Outcome::CannotRun;
    };
    let store = Store::default();
    store.put("keyed.op", "config", Some(&configuration()));
    let engines = [
        ("a", (0, 40)),
        ("b", (40, 80)),
        ("c", (0, 40)),
        ("d", (40, 80)),
    ];
    for (name, layers) in engines {
        let id = format!("engine-{name}");
        let address = workers::engine(&record, &id, |_, _| false);
        let (service, slots, layers) = ("dictado", 192, Some(layers));
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
    let (target, record, ended) = (node.target(), &record, &AtomicBool::new(false));
    let head = format!(
        "POST /trip/1 HTTP/1.1\r\nhost: {HOST}\r\nradishhaven-deadline-ms: 3000\r\n\
         radishhaven-key: {KEY}\r\nradishhaven-token-count: 200,60\r\ncontent-length: 0\r\n\r\n"
    );
    let head = head.as_str();
    let (streams, plain) = thread::scope(|scope| {
        scope.spawn(move || {
            while trouble && !ended.load(Ordering::SeqCst) {
                scope.spawn(move || {
                    let answer = http::send(target.callers, head, b"", Duration::from_secs(3));
                    record.line(&format!("without id: status {}", answer.status));
                });
                thread::sleep(GAP);
            }
        });
        thread::sleep(Duration::from_secs(2));
        let (mut streams, mut plain) = (0, 0);
        for number in 0..REQUESTS {
            let answer = request(record, target, &format!("aa{number:02}"), "/trip/2", 20_000);
            streams += usize::from(answer.complete && answer.status == 200);
            let answer = request(record, target, &format!("bb{number:02}"), "/log/1", 3_000);
            plain += usize::from(answer.complete && answer.status == 200);
            thread::sleep(GAP);
        }
        ended.store(true, Ordering::SeqCst);
        (streams, plain)
    });
    record.line(&format!(
        "of {REQUESTS} each, {streams} streams and {plain} plain requests were served"
    ));
    match streams * 4 < (streams + plain) / 2 {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}
