//! Stand-ins for the platform's store, plain servers and callers, and nodes as
//! processes, for the cases 11 to 15. Only the standard library is used.

use std::{
    collections::BTreeMap,
    fs,
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Condvar, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// `heartbeat_ms` of the deployment.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// `drain_ms` of the deployment.
pub const DRAIN: Duration = Duration::from_millis(2_000);
/// `stability_window_ms` of the deployment.
pub const STABILITY: Duration = Duration::from_millis(3_000);

/// Rate at which the platform reads what a node logs.
const LOG_BYTES_PER_S: f64 = 10e6;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Whether the disruption takes place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn add(&self, text: impl Into<String>) -> Duration {
        let now = self.now();
        self.lines.lock().unwrap().push((now, text.into()));
        now
    }

    pub fn add_at(&self, at: Duration, text: String) {
        self.lines.lock().unwrap().push((at, text));
    }

    /// Returns the requests that ran at a server, with their times.
    pub fn arrivals(&self, server: &str) -> Vec<(String, Duration)> {
        let end = format!(" reaches {server} and runs");
        let lines = self.lines.lock().unwrap();
        let found = lines.iter().filter_map(|(at, text)| {
            let attempt = text.strip_prefix("request ")?.strip_suffix(&end)?;
            Some((attempt.to_owned(), *at))
        });
        found.collect()
    }

    pub fn write(&self, path: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort();
        let text: String = lines
            .iter()
            .map(|(at, text)| format!("{:9.3} s  {text}\n", at.as_secs_f64()))
            .collect();
        fs::write(path, text).expect("the record is written");
    }
}

/// A request as a server or the store has received it.
pub struct Received {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Received {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(n, _)| *n == name).map(|(_, v)| v)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

/// Reads one request. Returns `None` at the end of the connection.
pub fn read_request(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<Received> {
    let mut chunk = [0; 16 * 1024];
    loop {
        if let Some(end) = buf.windows(4).position(|part| part == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buf[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let mut first = lines.next()?.split(' ');
            let (method, target) = (first.next()?.to_owned(), first.next()?.to_owned());
            let headers: Vec<(String, String)> = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
                .collect();
            let mut req = Received {
                method,
                target,
                headers,
                body: Vec::new(),
            };
            let length: usize = req
                .header("content-length")
                .and_then(|v| v.parse().ok())
                .unwrap_or(0);
            buf.drain(..end + 4);
            while buf.len() < length {
                match stream.read(&mut chunk) {
                    Ok(read) if read > 0 => buf.extend_from_slice(&chunk[..read]),
                    _ => return None,
                }
            }
            req.body = buf.drain(..length).collect();
            return Some(req);
        }
        match stream.read(&mut chunk) {
            Ok(read) if read > 0 => buf.extend_from_slice(&chunk[..read]),
            _ => return None,
        }
    }
}

pub fn response(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "HTTP/1.1 {status}\r\n{headers}content-length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

type Topic = Vec<(String, Option<Vec<u8>>)>;

struct StoreState {
    topics: BTreeMap<String, Topic>,
    members: BTreeMap<String, Instant>,
    generation: u64,
}

/// The platform's store: keyed topics and one group.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

const MEMBER_TTL: Duration = Duration::from_millis(1_980);

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let state = StoreState {
            topics: BTreeMap::new(),
            members: BTreeMap::new(),
            generation: 0,
        };
        let store = Self {
            address: listener.local_addr().unwrap(),
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a record; returns when the store has accepted it.
    pub fn put(&self, topic: &str, key: &str, value: Option<String>) {
        let mut state = self.state.0.lock().unwrap();
        let records = state.topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.map(String::into_bytes)));
        self.state.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buf = Vec::new();
        while let Some(req) = read_request(&mut stream, &mut buf) {
            if stream.write_all(&self.answer(&req)).is_err() {
                return;
            }
        }
    }

    fn answer(&self, req: &Received) -> Vec<u8> {
        let json = |body: String| {
            response("200 OK", "content-type: application/json\r\n", body.as_bytes())
        };
        let topic = req.query("topic").unwrap_or_default().to_owned();
        match req.path() {
            "/-/log-newest" => {
                let mut state = self.state.0.lock().unwrap();
                let records = state.topics.entry(topic).or_default();
                let mut newest = BTreeMap::new();
                for (offset, (key, value)) in records.iter().enumerate() {
                    match value {
                        Some(value) => newest.insert(key.clone(), (offset, value.clone())),
                        None => newest.remove(key),
                    };
                }
                let items: Vec<String> = newest
                    .iter()
                    .map(|(key, (offset, value))| {
                        let value = base64(value);
                        format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
                    })
                    .collect();
                let (items, end) = (items.join(","), records.len());
                json(format!("{{\"items\":[{items}],\"has_more\":false,\"end\":{end}}}"))
            }
            "/-/log-read" => self.read(req, topic),
            "/-/log-join" => {
                let member = json_text(&req.body, "member");
                let mut state = self.state.0.lock().unwrap();
                self.expire(&mut state);
                if state.members.insert(member.clone(), Instant::now()).is_none() {
                    state.generation += 1;
                }
                let index = state.members.keys().position(|m| *m == member).unwrap_or(0);
                let (generation, part) = (state.generation, index);
                json(format!("{{\"generation\":{generation},\"parts\":[[\"members.0\",{part},0]]}}"))
            }
            "/-/log-leave" => {
                let member = json_text(&req.body, "member");
                let mut state = self.state.0.lock().unwrap();
                state.members.remove(&member);
                state.generation += 1;
                json("{}".to_owned())
            }
            "/-/log-owners" => {
                let mut state = self.state.0.lock().unwrap();
                self.expire(&mut state);
                let rows = state.members.keys().enumerate();
                let rows: Vec<String> = rows
                    .map(|(part, name)| format!("[\"members.0\",{part},\"{name}\",0]"))
                    .collect();
                json(format!("{{\"rows\":[{}]}}", rows.join(",")))
            }
            _ => response("404 Not Found", "", b"{}"),
        }
    }

    fn expire(&self, state: &mut StoreState) {
        let count = state.members.len();
        state.members.retain(|_, at| at.elapsed() < MEMBER_TTL);
        if state.members.len() != count {
            state.generation += 1;
        }
    }

    fn read(&self, req: &Received, topic: String) -> Vec<u8> {
        let number = |name| req.query(name).and_then(|v| v.parse::<u64>().ok());
        let from = number("from").unwrap_or(0) as usize;
        let until = Instant::now() + ms(number("wait_ms").unwrap_or(0));
        let mut state = self.state.0.lock().unwrap();
        loop {
            let records = state.topics.entry(topic.clone()).or_default();
            if from > records.len() {
                return response("410 Gone", "", b"{\"first\":0}");
            }
            let now = Instant::now();
            if from < records.len() || now >= until {
                let mut body = Vec::new();
                body.extend((records.len() as u64).to_be_bytes());
                body.extend(0_u64.to_be_bytes());
                for (key, value) in &records[from..] {
                    let value = value.as_deref().unwrap_or_default();
                    let length = 1 + key.len() + value.len();
                    body.extend((length as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend(key.as_bytes());
                    body.extend(value);
                }
                return response("200 OK", "", &body);
            }
            state = self.state.1.wait_timeout(state, until - now).unwrap().0;
        }
    }
}

fn json_text(body: &[u8], name: &str) -> String {
    let text = String::from_utf8_lossy(body);
    let start = format!("\"{name}\":\"");
    let rest = text.split_once(&start).map(|(_, rest)| rest);
    let value = rest.and_then(|rest| rest.split('"').next());
    value.unwrap_or_default().to_owned()
}

fn base64(bytes: &[u8]) -> String {
    const SET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let bits = part.iter().fold(0_u32, |bits, b| bits << 8 | u32::from(*b));
        let bits = bits << (8 * (3 - part.len()));
        for place in 0..4 {
            match place <= part.len() {
                true => text.push(char::from(SET[(bits >> (18 - 6 * place)) as usize & 63])),
                false => text.push('='),
            }
        }
    }
    text
}

/// The link of one node to the store. While it is cut, nothing passes, and a
/// connection that is opened is never established at the other end.
#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
    is_refused: Arc<AtomicBool>,
}

impl Link {
    pub fn to(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let link = Self {
            address: listener.local_addr().unwrap(),
            is_cut: Arc::default(),
            is_refused: Arc::default(),
        };
        let (is_cut, is_refused) = (link.is_cut.clone(), link.is_refused.clone());
        thread::spawn(move || {
            let mut unestablished = Vec::new();
            for stream in listener.incoming().flatten() {
                if is_cut.load(Ordering::SeqCst) {
                    unestablished.push(stream);
                    continue;
                }
                if is_refused.load(Ordering::SeqCst) {
                    continue;
                }
                let Ok(other) = TcpStream::connect(target) else {
                    continue;
                };
                for (from, to) in [(&stream, &other), (&other, &stream)] {
                    let (from, to) = (from.try_clone().unwrap(), to.try_clone().unwrap());
                    let (is_cut, is_refused) = (is_cut.clone(), is_refused.clone());
                    thread::spawn(move || pump(from, to, &is_cut, &is_refused));
                }
            }
        });
        link
    }

    /// Sets whether the store turns the node away: its connections are closed.
    pub fn set_refused(&self, is_refused: bool) {
        self.is_refused.store(is_refused, Ordering::SeqCst);
    }

    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }
}

fn pump(mut from: TcpStream, mut to: TcpStream, is_cut: &AtomicBool, is_refused: &AtomicBool) {
    let _ = to.set_nodelay(true);
    let _ = from.set_read_timeout(Some(ms(5)));
    let mut chunk = [0; 16 * 1024];
    loop {
        if is_refused.load(Ordering::SeqCst) {
            let _ = to.shutdown(Shutdown::Both);
            let _ = from.shutdown(Shutdown::Both);
            return;
        }
        if is_cut.load(Ordering::SeqCst) {
            thread::sleep(ms(2));
            continue;
        }
        match from.read(&mut chunk) {
            Ok(0) => break,
            Ok(read) => {
                while is_cut.load(Ordering::SeqCst) {
                    thread::sleep(ms(2));
                }
                if to.write_all(&chunk[..read]).is_err() {
                    break;
                }
            }
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            Err(_) => break,
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}

/// A plain server. It writes its entry at each heartbeat until it leaves.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    registers: Arc<AtomicBool>,
    is_leaving: Arc<AtomicBool>,
    has_exited: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Starts a server of `service` whose requests take `work`.
    pub fn start(id: &str, service: &'static str, store: &Store, record: &Record, work: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let server = Self {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            registers: Arc::new(AtomicBool::new(true)),
            is_leaving: Arc::default(),
            has_exited: Arc::default(),
            connections: Arc::default(),
        };
        let (serving, log) = (server.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.has_exited.load(Ordering::SeqCst) {
                    return;
                }
                let (server, log) = (serving.clone(), log.clone());
                server.connections.lock().unwrap().push(stream.try_clone().unwrap());
                thread::spawn(move || server.serve(stream, &log, work));
            }
        });
        let (writer, store) = (server.clone(), store.clone());
        let sequence = AtomicU64::new(1);
        thread::spawn(move || {
            while writer.registers.load(Ordering::SeqCst) {
                let entry = format!(
                    "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"centro\",\
                     \"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0,\
                     \"sequence\":{},\"born\":1700000000000}}",
                    writer.address,
                    sequence.fetch_add(1, Ordering::SeqCst)
                );
                store.put("keyed.servers", &writer.id, Some(entry));
                thread::sleep(HEARTBEAT);
            }
        });
        server
    }

    /// Leaves without a report: the entry is removed, and the server goes on and says in its
    /// answers that it leaves. Returns when the store has accepted the removal.
    pub fn leave(&self, store: &Store, record: &Record) -> Duration {
        self.registers.store(false, Ordering::SeqCst);
        self.is_leaving.store(true, Ordering::SeqCst);
        store.put("keyed.servers", &self.id, None);
        record.add(format!("the store has accepted that the entry of {} is removed", self.id))
    }

    /// Ends the process of the server.
    pub fn exit(&self, record: &Record) {
        self.has_exited.store(true, Ordering::SeqCst);
        for stream in self.connections.lock().unwrap().iter() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let _ = TcpStream::connect(self.address);
        record.add(format!("{} exits", self.id));
    }

    fn serve(&self, mut stream: TcpStream, record: &Record, work: Duration) {
        let mut buf = Vec::new();
        let Some(req) = read_request(&mut stream, &mut buf) else {
            return;
        };
        let attempt = req.header("radishhaven-attempt-id").unwrap_or_default().to_owned();
        let echo = format!("radishhaven-attempt-id: {attempt}\r\nconnection: close\r\n");
        if req.header("radishhaven-target-instance").is_some_and(|id| id != self.id) {
            let headers = format!("{echo}radishhaven-instance-id: {}\r\n", self.id);
            let _ = stream.write_all(&response("421 Misdirected Request", &headers, b""));
            return;
        }
        record.add(format!("request {attempt} reaches {} and runs", self.id));
        thread::sleep(work);
        if self.has_exited.load(Ordering::SeqCst) {
            record.add(format!("the run of {attempt} at {} was cut", self.id));
            return;
        }
        let leaving = match self.is_leaving.load(Ordering::SeqCst) {
            true => "server-leaving: 1\r\n",
            false => "",
        };
        let headers = format!("{echo}{leaving}radishhaven-server-signature: {}.{attempt}\r\n", self.id);
        let _ = stream.write_all(&response("200 OK", &headers, attempt.as_bytes()));
    }
}

/// The operator's configuration: `/log/` may run once, `/get/` may be repeated, and `/trip/` has
/// streams that may be resumed.
pub fn configuration(version: u64) -> String {
    let route = |name: &str, kind: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\
             \"kind\":\"{kind}\",\"timeout_ms\":{},\"target_latency_ms\":300,\"priority\":2,\
             \"service\":\"libro\",\"max_attempts\":{},\"public\":false,\"resumable\":true}}",
            if kind == "streaming" { 20_000 } else { 3_000 },
            if kind == "non_idempotent" { 1 } else { 2 }
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{},{},{}],\"services\":[{{\"name\":\"libro\",\
         \"health_path\":\"/health\",\"max_connections\":100}}],\"limits\":\
         {{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"],\
         \"priority\":1}}]}}",
        route("log", "non_idempotent"),
        route("get", "idempotent"),
        route("trip", "streaming")
    )
}

/// Settings in which deployments differ.
pub struct Settings {
    pub memory_mb: u64,
    pub descriptors: u64,
    pub drain_ms: u64,
    pub config_ms: u64,
    pub stability_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            memory_mb: 260,
            descriptors: 4_100,
            drain_ms: 2_000,
            config_ms: 2_000,
            stability_ms: 3_000,
        }
    }
}

/// A node, started with the command of the deploy file.
pub struct Node {
    pub name: String,
    /// The last line of the log that names the role of the node.
    role: Arc<Mutex<String>>,
    child: Child,
    settings: PathBuf,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

/// Returns a loopback address whose port is free, from below the ports that outgoing connections
/// take.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let first = u64::from(std::process::id()) * 97;
    loop {
        let port = 12_000 + (first + NEXT.fetch_add(1, Ordering::SeqCst)) % 18_000;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

impl Node {
    /// Starts a node in the folder `temp`. `store` is where it reaches the store.
    pub fn start(name: &str, store: SocketAddr, temp: &Path) -> Self {
        Self::start_with(name, store, temp, &Settings::default())
    }

    /// Starts a node with these settings. What it logs is read and dropped, but for its role.
    pub fn start_with(name: &str, store: SocketAddr, temp: &Path, settings: &Settings) -> Self {
        let Settings { memory_mb, descriptors, drain_ms, config_ms, stability_ms } = *settings;
        let addresses: Vec<SocketAddr> = (0..5).map(|_| free_address()).collect();
        let text = format!(
            "[node]\nvm = {name}\nfailure_domain = centro\ncallers = {}\nreadiness = {}\n\
             directory = {}\npeers = {}\nmetrics = {}\ncores = 0.25\n[store]\naddress = {store}\n\
             heartbeat_ms = 1200\nleast_ttl_ms = 1000\npartitions = 12\nwrites_per_s = 400\n\
             [bounds]\nrevoke_ms = 5000\ndrain_ms = {drain_ms}\nconfig_ms = {config_ms}\nstability_ms = {stability_ms}\n\
             grace_s = 8\nkeep_s = 5\nretry_ratio = 0.2\nretry_window_s = 10\nretry_slack = 198\n\
             [limits]\nmemory_mb = {memory_mb}\nmax_descriptors = {descriptors}\n[log]\nlevel = info\nformat = json\n",
            addresses[0], addresses[1], addresses[2], addresses[3], addresses[4]
        );
        let settings = temp.join(format!("{name}-{}.ini", addresses[0].port()));
        fs::write(&settings, text).expect("the settings are written");
        let mut child = Command::new("target/release/radishhavend")
            .args(["route", "--config"])
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::inherit())
            .spawn()
            .expect("the program starts");
        let role: Arc<Mutex<String>> = Arc::default();
        let last_role = role.clone();
        if let Some(mut log) = child.stdout.take() {
            thread::spawn(move || {
                let (began, mut total, mut chunk) = (Instant::now(), 0, vec![0; 64 * 1024]);
                while let Ok(read) = log.read(&mut chunk) {
                    if read == 0 {
                        return;
                    }
                    total += read;
                    let text = String::from_utf8_lossy(&chunk[..read]);
                    let mut lines = text.lines().rev();
                    if let Some(line) = lines.find(|l| l.contains("the role of this node changed")) {
                        *last_role.lock().unwrap() = line.to_owned();
                    }
                    let due = Duration::from_secs_f64(total as f64 / LOG_BYTES_PER_S);
                    thread::sleep(due.saturating_sub(began.elapsed()));
                }
            });
        }
        Self {
            name: name.to_owned(),
            role,
            child,
            settings,
            callers: addresses[0],
            readiness: addresses[1],
        }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the hubs of the node in the order in which it asks them, or `None` unless it is
    /// a leaf.
    pub fn hubs(&self) -> Option<Vec<String>> {
        let role = self.role.lock().unwrap();
        if !role.contains("\"part\":\"leaf\"") {
            return None;
        }
        let (_, rest) = role.split_once("\"hubs\":\"")?;
        Some(rest.split('"').next()?.split(',').map(str::to_owned).collect())
    }

    /// Returns whether the process runs.
    pub fn is_alive(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns the memory of the process that is not backed by files, in bytes.
    pub fn memory(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let kib = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name));
            line.and_then(|line| line.trim().strip_suffix(" kB")?.parse::<u64>().ok())
        };
        1_024 * (kib("RssAnon:").unwrap_or(0) + kib("RssShmem:").unwrap_or(0))
    }

    /// Waits until the node says that it is ready.
    pub fn wait_ready(&self) -> bool {
        let deadline = Instant::now() + ms(15_000);
        while Instant::now() < deadline {
            let answer = call(self.readiness, "GET", "/-/readiness", "", ms(1_000));
            if answer.is_some_and(|answer| answer.status == 200) {
                return true;
            }
            thread::sleep(ms(20));
        }
        false
    }
}

/// A complete response.
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

/// Sends a request on a new connection. Returns `None` without a complete response.
pub fn call(to: SocketAddr, method: &str, path: &str, headers: &str, wait: Duration) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&to, ms(1_000)).ok()?;
    stream.set_read_timeout(Some(wait)).ok()?;
    let length = if method == "POST" { "content-length: 0\r\n" } else { "" };
    let text = format!("{method} {path} HTTP/1.1\r\nhost: {HOST}\r\n{headers}{length}connection: close\r\n\r\n");
    stream.write_all(text.as_bytes()).ok()?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).ok()?;
    let end = bytes.windows(4).position(|part| part == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&bytes[..end]).to_lowercase();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = head.split("\r\n").find_map(|line| line.strip_prefix("content-length:"));
    let body = bytes[end + 4..].to_vec();
    match length.and_then(|v| v.trim().parse::<usize>().ok()) {
        Some(length) if length != body.len() => None,
        _ => Some(Answer { status, head, body }),
    }
}
