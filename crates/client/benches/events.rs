//! Benchmarks of splitting a stream into events: the time for a byte must not depend on how
//! many bytes arrive at once, nor on how short the events are.

use std::{hint::black_box, time::Duration};

use criterion::{Criterion, Throughput, criterion_group, criterion_main};
use radishhaven_client::EventSplitter;

/// Bytes that arrive at once.
const SIZES: [usize; 4] = [1 << 10, 1 << 15, 1 << 20, 1 << 24];
const STREAMS: [(&str, &str); 4] = [
    ("blank lines", "\n"),
    ("comments", ":\n\n"),
    ("short events", "data: t\n\n"),
    (
        "events",
        "id: 4711\ndata: {\"text\": \"three tokens of it\"}\n\n",
    ),
];

fn split(bytes: &[u8]) -> usize {
    let mut splitter = EventSplitter::new(usize::MAX);
    splitter.push(bytes);
    let mut events = 0;
    while let Ok(Some(event)) = splitter.next_event() {
        black_box(event);
        events += 1;
    }
    events
}

fn events(c: &mut Criterion) {
    for (name, repeated) in STREAMS {
        let mut group = c.benchmark_group(name);
        for size in SIZES {
            let bytes = repeated.repeat(size / repeated.len()).into_bytes();
            group.throughput(Throughput::Bytes(bytes.len() as u64));
            group.bench_function(format!("{size} bytes at once"), |b| {
                b.iter(|| split(black_box(&bytes)));
            });
        }
        group.finish();
    }
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .sample_size(10)
        .warm_up_time(Duration::from_millis(200))
        .measurement_time(Duration::from_secs(1));
    targets = events
}
criterion_main!(benches);
