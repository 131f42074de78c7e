//! Seventy clients send long bodies to one node at once. The platform kills a process
//! that exceeds its memory.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Case, Verdict,
    http::Request,
    node::{Node, SIGKILL, wait_settled},
    record::Recorder,
    server::{Server, Work, configuration, plain_service, route},
    store::Store,
};

const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// Time that the requests on kept connections take at their worker.
const WORK: Duration = Duration::from_millis(800);
/// Memory of a machine, in megabytes.
const MEMORY_MB: u64 = 260;
/// Clients that send a long body, of the 92 of the site.
const UPLOADS: u32 = 70;
/// Size of a body. `max_body_bytes` is 4,194,304.
const BODY_BYTES: usize = 4_000_000;
/// Time over which a client sends it. All together keep to the link of 1,000 Mbit/s.
const UPLOAD_TIME: Duration = Duration::from_millis(2_500);
const PIECES: u32 = 50;
/// Clients with a kept connection each.
const KEPT: u32 = 6;
const UPLOADS_AT: Duration = Duration::from_secs(3);
const END_AT: Duration = Duration::from_secs(12);

fn head(attempt: &str, length: usize) -> String {
    format!(
        "POST /puxa403/1 HTTP/1.1\r\nHost: ficu95.example\r\nRadishhaven-Attempt-Id: {attempt}\r\n\
         Radishhaven-Deadline-Ms: 5000\r\nRadishhaven-Key: {KEY}\r\ncontent-length: {length}\r\n\r\n"
    )
}

/// Reads an answer; returns its status, or `None` if the connection ended first.
fn read_answer(reader: &mut BufReader<TcpStream>) -> Option<u16> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    let mut length = 0;
    loop {
        line.clear();
        reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
        if line.trim().is_empty() {
            break;
        }
        let (key, value) = line.split_once(':')?;
        if key.eq_ignore_ascii_case("content-length") {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(status)
}

fn upload(recorder: &Recorder, to: SocketAddr, number: u32) {
    let attempt = format!("{:016x}", 0x0b16_0000 + number);
    let Ok(mut stream) = TcpStream::connect(to) else {
        return;
    };
    recorder.note(&format!("client sends {attempt} with {BODY_BYTES} B"));
    let _ = stream.write_all(head(&attempt, BODY_BYTES).as_bytes());
    let piece = vec![b'x'; BODY_BYTES / PIECES as usize];
    for _ in 0..PIECES {
        if stream.write_all(&piece).is_err() {
            break;
        }
        thread::sleep(UPLOAD_TIME / PIECES);
    }
    let status = read_answer(&mut BufReader::new(stream));
    recorder.note(&format!("client got {attempt}: status {status:?}"));
}

/// Sends one request after the other on kept connections. Counts the requests that were
/// passed on to a worker and ended with a closed connection.
fn use_kept_connections(
    recorder: &Recorder,
    to: SocketAddr,
    client: u32,
    is_over: &AtomicBool,
    lost: &AtomicU32,
) -> u32 {
    let mut answered = 0;
    let mut sent = 0;
    while !is_over.load(Ordering::SeqCst) {
        let Ok(mut stream) = TcpStream::connect(to) else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        let _ = stream.set_nodelay(true);
        let Ok(clone) = stream.try_clone() else {
            continue;
        };
        let mut reader = BufReader::new(clone);
        let mut on_connection = 0;
        while !is_over.load(Ordering::SeqCst) {
            sent += 1;
            let attempt = format!("{:016x}", 0x0c00_0000 + client * 0x1_0000 + sent);
            let mut request = head(&attempt, 8).into_bytes();
            request.extend(b"month=11");
            if stream.write_all(&request).is_err() {
                break;
            }
            let status = read_answer(&mut reader);
            recorder.note(&format!(
                "kept connection {client} got {attempt}: status {status:?}"
            ));
            if status.is_none() {
                let has_run = !recorder.runs(&attempt).is_empty();
                if has_run && on_connection > 0 {
                    lost.fetch_add(1, Ordering::SeqCst);
                }
                break;
            }
            answered += u32::from(status == Some(200));
            on_connection += 1;
        }
    }
    answered
}

pub fn run(case: &Case) -> Verdict {
    let recorder = &case.recorder;
    let store = Store::start(None);
    let zones = ["mvd-centro", "mvd-cordon", "mvd-pocitos"];
    let mut servers = Vec::new();
    for (index, zone) in zones.iter().enumerate() {
        let id = format!("i-{index}");
        let work = |_: &Request| Work {
            first: WORK,
            events: 0,
            gap: Duration::ZERO,
        };
        let server = (id.as_str(), "wuno96b", *zone);
        servers.push(Server::start(server, false, &store, recorder, work));
    }
    let routes = [route("/puxa403/", "non_idempotent", "wuno96b", 5_000)];
    let services = [plain_service("wuno96b")];
    let tenants = BTreeMap::from([("hule930", vec![KEY])]);
    store.put(
        "keyed.op",
        "config",
        Some(configuration(7, &routes, &services, &tenants)),
    );
    let new = |zone: &&str| {
        Node::new(
            &case.folder,
            &format!("front-{zone}-1"),
            zone,
            store.address,
        )
    };
    let mut nodes: Vec<Node> = zones.iter().map(new).collect();
    nodes.iter_mut().for_each(Node::start);
    if !wait_settled(&nodes, Duration::from_secs(25)) {
        return Verdict::CouldNotRun("the nodes are not ready".to_owned());
    }
    let started = Instant::now();
    let to = nodes[0].callers;
    let (is_over, lost) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicU32::new(0)),
    );
    let mut kept = Vec::new();
    for client in 0..KEPT {
        let (recorder, is_over, lost) = (recorder.clone(), is_over.clone(), lost.clone());
        kept.push(thread::spawn(move || {
            use_kept_connections(&recorder, to, client, &is_over, &lost)
        }));
    }
    thread::sleep(UPLOADS_AT);
    let mut uploads = Vec::new();
    let count = if case.trouble { UPLOADS } else { 3 };
    recorder.say(&format!(
        "{count} clients send {BODY_BYTES} B each to {}",
        nodes[0].name
    ));
    for number in 0..count {
        let recorder = recorder.clone();
        uploads.push(thread::spawn(move || upload(&recorder, to, number)));
    }
    let mut peak = 0;
    let mut kills = 0;
    while started.elapsed() < END_AT {
        let used = nodes[0].memory_mb();
        peak = peak.max(used);
        if used > MEMORY_MB {
            recorder.say(&format!(
                "the process has {used} MB: the platform kills it and starts it again"
            ));
            kills += 1;
            nodes[0].signal(SIGKILL);
            while !nodes[0].has_ended() {
                thread::sleep(Duration::from_millis(1));
            }
            thread::sleep(Duration::from_millis(500));
            nodes[0].start();
        }
        thread::sleep(Duration::from_millis(2));
    }
    is_over.store(true, Ordering::SeqCst);
    uploads
        .into_iter()
        .for_each(|upload| upload.join().expect("no panic"));
    let answered: u32 = kept
        .into_iter()
        .map(|client| client.join().expect("no panic"))
        .sum();
    let lost = lost.load(Ordering::SeqCst);
    recorder.say(&format!(
        "peak memory {peak} MB, {kills} kills; kept connections: {answered} requests answered, \
         {lost} passed on to a worker and closed without an answer"
    ));
    match lost > 3 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
