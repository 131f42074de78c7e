//! Case 13: a crowd of callers sends requests with long ids to a path without a route, and bodies
//! that stop just short of their end. The platform kills a process whose memory is over
//! `memory_mb` and starts it again.

#[path = "lib.rs"]
mod lib;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, ExitCode, Stdio},
    thread,
    time::{Duration, Instant},
};

use lib::{Node, Record, Server, Settings, Store, HOST, KEY};

/// `memory_mb` and `max_fds` of the smallest machines of tetrad-almaty-grown.
const MEMORY_MB: u64 = 112;
const DESCRIPTORS: u64 = 2_870;
/// Length of an id; the head stays below `max_header_bytes` (16,384).
const ID_BYTES: usize = 15_900;
/// Connections that send requests ahead.
const SENDERS: usize = 4;
/// Bodies that stop one byte short of their end, and their size; `max_body_bytes` is 4 MiB.
const BODIES: usize = 740;
const BODY_BYTES: usize = 33_000;
/// Interval at which the bodies are sent anew.
const ROUND: Duration = Duration::from_secs(25);
/// Length of the test from when the nodes are ready.
const LENGTH: Duration = Duration::from_secs(60);
/// Kills of each of two processes with which the day counts 0.
const KILLS: usize = 3;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if let [mode, to] = &args[..]
        && mode == "crowd"
    {
        crowd(to.parse().expect("an address"));
    }
    let [folder, temp] = &args[..] else {
        return ExitCode::from(2);
    };
    let record = Record::new();
    let code = run(&record, Path::new(temp));
    record.write(&PathBuf::from(folder).join("record.txt"));
    ExitCode::from(code)
}

/// Ends a process when it is dropped.
struct Crowd(Child);

impl Drop for Crowd {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn run(record: &Record, temp: &Path) -> u8 {
    let store = Store::start();
    store.put("keyed.op", "config", Some(lib::configuration(1)));
    let work = lib::ms(20);
    let _servers = ["i-1", "i-2"].map(|id| Server::start(id, "libro", &store, record, work));
    let start = |i: usize| {
        let name = format!("front-{}", i + 1);
        let settings = Settings {
            memory_mb: MEMORY_MB,
            descriptors: DESCRIPTORS,
            ..Settings::default()
        };
        Node::start_with(&name, store.address, temp, &settings)
    };
    let mut nodes = [start(0), start(1)];
    if !nodes.iter().all(Node::wait_ready) {
        record.add("a node did not get ready");
        return 2;
    }
    let join = |node: &Node| {
        let program = std::env::current_exe().expect("the path of the program");
        let mut command = Command::new(program);
        command.args(["crowd", &node.callers.to_string()]);
        command.stdin(Stdio::null()).stdout(Stdio::null());
        lib::has_trouble().then(|| Crowd(command.spawn().expect("the crowd starts")))
    };
    let mut crowds = [join(&nodes[0]), join(&nodes[1])];
    let (mut kills, mut most) = ([0; 2], [0; 2]);
    let began = Instant::now();
    let mut asked = Instant::now();
    let (mut calls, mut answered) = (0, 0);
    while began.elapsed() < LENGTH && kills.iter().any(|kills| *kills < KILLS) {
        thread::sleep(lib::ms(2));
        for i in 0..2 {
            let memory = nodes[i].memory();
            most[i] = memory.max(most[i]);
            let has_ended = !nodes[i].is_alive();
            if memory <= MEMORY_MB * 1_000_000 && !has_ended {
                continue;
            }
            kills[i] += 1;
            let what = if has_ended { "ended by itself" } else { "is killed" };
            record.add(format!("{} {what}, its memory was {} bytes", nodes[i].name, memory));
            nodes[i].kill();
            crowds[i] = None;
            nodes[i] = start(i);
            if !nodes[i].wait_ready() {
                record.add("a node did not get ready again");
                return 2;
            }
            crowds[i] = join(&nodes[i]);
        }
        if asked.elapsed() >= lib::ms(500) {
            asked = Instant::now();
            calls += 1;
            let headers = format!(
                "radishhaven-attempt-id: r{calls}\r\nradishhaven-deadline-ms: 3000\r\n\
                 radishhaven-key: {KEY}\r\n"
            );
            let to = nodes[calls % 2].callers;
            let answer = lib::call(to, "GET", "/get/x", &headers, lib::ms(300));
            answered += usize::from(answer.is_some_and(|answer| answer.status == 200));
        }
    }
    drop(crowds);
    record.add(format!(
        "ordinary requests: {answered} of {calls} answered 200; kills {kills:?}, most memory {most:?} bytes, \
         limit {} bytes",
        MEMORY_MB * 1_000_000
    ));
    u8::from(kills.iter().all(|kills| *kills >= KILLS))
}

/// Sends what the crowd sends until the process is ended.
fn crowd(to: SocketAddr) -> ! {
    for _ in 0..SENDERS {
        thread::spawn(move || loop {
            let _ = send_ahead(to);
            thread::sleep(lib::ms(50));
        });
    }
    loop {
        let began = Instant::now();
        let held: Vec<TcpStream> = (0..BODIES).filter_map(|i| send_body(to, i).ok()).collect();
        thread::sleep(ROUND.saturating_sub(began.elapsed()));
        drop(held);
    }
}

fn send_ahead(to: SocketAddr) -> std::io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&to, lib::ms(1_000))?;
    stream.set_write_timeout(Some(lib::ms(5_000)))?;
    let mut reading = stream.try_clone()?;
    thread::spawn(move || {
        let mut chunk = [0; 64 * 1024];
        while reading.read(&mut chunk).is_ok_and(|read| read > 0) {}
    });
    let id = "x".repeat(ID_BYTES);
    let one = format!("GET /none/x HTTP/1.1\r\nhost: {HOST}\r\nradishhaven-attempt-id: {id}\r\n\r\n");
    let many = one.repeat(16);
    loop {
        stream.write_all(many.as_bytes())?;
    }
}

fn send_body(to: SocketAddr, number: usize) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&to, lib::ms(1_000))?;
    stream.set_write_timeout(Some(lib::ms(1_000)))?;
    let head = format!(
        "POST /trip/x HTTP/1.1\r\nhost: {HOST}\r\nradishhaven-attempt-id: b{number}\r\n\
         radishhaven-deadline-ms: 20000\r\nradishhaven-key: {KEY}\r\ncontent-length: {BODY_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(&vec![b'z'; BODY_BYTES - 1])?;
    Ok(stream)
}
