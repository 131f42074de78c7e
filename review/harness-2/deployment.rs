//! A small deployment on loopback: nodes as processes, and what surrounds them.

use std::{
    collections::BTreeSet,
    fs,
    fs::File,
    io::{self, Write},
    net::{SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Answer, Connection},
    store::Store,
};

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// The memory of a machine on the small sites, in megabytes.
pub const MEMORY_MB: u64 = 260;

/// The file that says what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    begun: Instant,
    file: Arc<Mutex<File>>,
    has_run: Arc<Mutex<BTreeSet<String>>>,
}

impl Record {
    pub fn create(folder: &Path) -> io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(folder.join("record.txt"))?));
        Ok(Self {
            begun: Instant::now(),
            file,
            has_run: Arc::default(),
        })
    }

    pub fn line(&self, text: &str) {
        let ms = self.begun.elapsed().as_millis();
        let mut file = self.file.lock().expect("no panic under the lock");
        let _ = writeln!(file, "{ms:>7} ms  {text}");
    }

    /// Records that a worker began to work on a request.
    pub fn run(&self, id: &str, worker: &str) {
        self.line(&format!("run       {id} at {worker}"));
        let mut has_run = self.has_run.lock().expect("no panic under the lock");
        has_run.insert(id.to_owned());
    }

    pub fn has_run(&self, id: &str) -> bool {
        self.has_run
            .lock()
            .expect("no panic under the lock")
            .contains(id)
    }
}

/// Returns the configuration: plain requests that run once (`/log/`) or may be repeated
/// (`/get/`), such requests of another service (`/book/`), and streams that may be resumed
/// (`/trip/`).
pub fn configuration() -> String {
    let route = |name: &str, kind: &str, service: &str, timeout_ms: u32, aim_ms: u32| {
        format!(
            r#"{{"name":"{name}","host":"{HOST}","path_prefix":"/{name}/","kind":"{kind}",
            "timeout_ms":{timeout_ms},"target_latency_ms":{aim_ms},"priority":1,
            "service":"{service}","max_attempts":2,"public":false,
            "resumable":{},"gap_aim_ms":200}}"#,
            kind == "streaming"
        )
    };
    let routes = [
        route("log", "non_idempotent", "libro", 3_000, 300),
        route("get", "idempotent", "libro", 3_000, 300),
        route("book", "non_idempotent", "agenda", 3_000, 300),
        route("trip", "streaming", "dictado", 20_000, 500),
    ];
    let engine = r#"{"slots":192,"kv_tokens":100000,"kv_bytes":9180,"link_mbps":400000.0,
        "stride":3,"models":[{"name":"m","pace":1.0,"load_s":14.0,"warm_s":1.0}],
        "step_ms":1.02,"per_seq_ms":0.007,"context_per_k":0.0096,"read_per_s":105000.0,
        "pairs_per_m":0.3,"chunk":512,"report_lag_ms":200.0,"loads_per_s":0.0,
        "loads_at_once":5,"delays":[],"usual":{"prompt":774,"answer":200},"layers":80,
        "layer_mb":1750.0,"act_bytes":45900,"pipe_mbps":26000.0,
        "kinds":[{"name":"a100","mb":73728.0,"pace":2.4,"read_x":3.2},
        {"name":"l40s","mb":44032.0,"pace":5.6,"read_x":2.7},
        {"name":"l4","mb":22528.0,"pace":16.0,"read_x":8.2}]}"#;
    let routes = routes.join(",");
    format!(
        r#"{{"version":1,"routes":[{routes}],"services":[
        {{"name":"dictado","health_path":"/health","max_connections":1128,"engine":{engine}}},
        {{"name":"libro","health_path":"/health","max_connections":100}},
        {{"name":"agenda","health_path":"/health","max_connections":100}}],
        "limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,
        "header_timeout_ms":3000,"idle_timeout_ms":15000}},
        "tenants":[{{"name":"hule930","api_keys":["{KEY}"],"priority":1}}]}}"#
    )
}

/// A worker's place in the registry.
#[derive(Debug, Clone)]
pub struct Entry {
    pub id: String,
    pub service: &'static str,
    pub address: SocketAddr,
    pub slots: u32,
    pub layers: Option<(u16, u16)>,
}

/// Returns the registry entry of an engine of a kind, with the layers that it holds.
pub fn engine_entry(
    address: SocketAddr,
    kind: &str,
    layers: Option<(u16, u16)>,
    sequence: u64,
) -> String {
    let layers = layers.map_or(String::new(), |(from, target)| {
        format!(r#","layers":{{"from":{from},"target":{target},"version":1}}"#)
    });
    format!(
        r#"{{"service":"dictado","address":"{address}","zone":"centro","version":"v1",
        "slots":192,"state":"ready","cold_remaining_ms":0,"sequence":{sequence},
        "born":1700000000000,"kind":"{kind}","stage":"colocated"{layers}}}"#
    )
}

impl Entry {
    fn text(&self, sequence: u64) -> String {
        let Self {
            service,
            address,
            slots,
            ..
        } = self;
        let engine = self.layers.map_or(String::new(), |(from, target)| {
            format!(
                r#","kind":"a100","stage":"colocated","layers":{{"from":{from},"target":{target},"version":1}}"#
            )
        });
        format!(
            r#"{{"service":"{service}","address":"{address}","zone":"centro","version":"v1",
            "slots":{slots},"state":"ready","cold_remaining_ms":0,"sequence":{sequence},
            "born":1700000000000{engine}}}"#
        )
    }

    /// Registers the worker, and again at each heartbeat.
    pub fn register(self, store: &Store) {
        let store = store.clone();
        store.put("keyed.servers", &self.id, Some(&self.text(1)));
        thread::spawn(move || {
            for sequence in 2.. {
                thread::sleep(Duration::from_millis(1_200));
                store.put("keyed.servers", &self.id, Some(&self.text(sequence)));
            }
        });
    }
}

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

const SIGKILL: i32 = 9;

/// The processes that run now.
static RUNNING: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

/// Kills all nodes.
pub fn end_all() {
    for id in RUNNING.lock().expect("no panic under the lock").iter() {
        // SAFETY: the process is a child that was not waited for yet.
        unsafe { kill(*id as i32, SIGKILL) };
    }
}

/// Where clients find a node.
#[derive(Debug, Clone)]
pub struct Target {
    pub name: String,
    pub callers: SocketAddr,
}

impl Target {
    /// Returns the start of the ids of requests to this node, in hexadecimal digits.
    pub fn prefix(&self) -> String {
        let number = self.name.rsplit('-').next().unwrap_or_default();
        format!("{number}e")
    }
}

/// One process of the system, started as the deploy file says.
pub struct Node {
    target: Target,
    settings: PathBuf,
    folder: PathBuf,
    process: Child,
    pub readiness: SocketAddr,
}

fn free_port() -> u16 {
    loop {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let port = listener.local_addr().expect("an address").port();
        if UdpSocket::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

impl Node {
    /// Starts a node with the template of the deploy file, filled in for loopback. The
    /// files are in `folder`.
    pub fn start(name: &str, store: SocketAddr, folder: &Path) -> io::Result<Self> {
        let port = |_| SocketAddr::from(([127, 0, 0, 1], free_port()));
        let [callers, readiness, directory, peers, metrics] = [0; 5].map(port);
        let values = [
            ("node_name", name.to_owned()),
            ("zone", "centro".to_owned()),
            ("listen.front", callers.to_string()),
            ("listen.ready", readiness.to_string()),
            ("listen.directory", directory.to_string()),
            ("ip", "127.0.0.1".to_owned()),
            ("internal_ports.0", peers.port().to_string()),
            ("internal_ports.1", metrics.port().to_string()),
            ("limits.cpu_share", "0.25".to_owned()),
            ("limits.memory_mb", MEMORY_MB.to_string()),
            ("limits.max_fds", "4100".to_owned()),
            ("platform.address", store.to_string()),
            ("heartbeat_ms", "1200".to_owned()),
            ("platform.ttl_min_ms", "1000".to_owned()),
            ("platform.parts", "12".to_owned()),
            ("platform.writes_per_s", "400".to_owned()),
            ("bounds.revoke_ms", "5000".to_owned()),
            ("bounds.drain_ms", "2000".to_owned()),
            ("bounds.config_ms", "2000".to_owned()),
            ("bounds.stability_window_ms", "3000".to_owned()),
            ("bounds.grace_period_s", "8".to_owned()),
            ("bounds.ttl_max_s", "5".to_owned()),
            ("bounds.budget_ratio", "0.2".to_owned()),
            ("bounds.budget_window_s", "10".to_owned()),
            ("bounds.budget_slack", "198".to_owned()),
        ];
        let mut text = fs::read_to_string("deploy/front.ini")?;
        for (key, value) in values {
            text = text.replace(&format!("{{{{{key}}}}}"), &value);
        }
        let settings = folder.join(format!("{name}.ini"));
        fs::write(&settings, text)?;
        let process = run(&settings, folder, name)?;
        let name = name.to_owned();
        Ok(Self {
            target: Target { name, callers },
            settings,
            folder: folder.to_owned(),
            process,
            readiness,
        })
    }

    pub fn target(&self) -> &Target {
        &self.target
    }

    pub fn name(&self) -> &str {
        &self.target.name
    }

    /// Returns whether the node says that it is ready.
    pub fn is_ready(&self) -> bool {
        let head = "GET /-/readiness HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        http::send(self.readiness, head, b"", Duration::from_secs(1)).status == 200
    }

    /// Waits until the node is ready.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Returns the memory of the process in megabytes.
    pub fn memory_mb(&self) -> f64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.process.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kb = line.and_then(|rest| rest.split_whitespace().next()?.parse::<f64>().ok());
        kb.unwrap_or(0.0) * 1_024.0 / 1e6
    }

    /// Kills the process and starts it again with the same settings.
    pub fn kill_and_restart(&mut self) -> io::Result<()> {
        self.end();
        thread::sleep(Duration::from_millis(300));
        self.process = run(&self.settings, &self.folder, self.name())?;
        Ok(())
    }

    fn end(&mut self) {
        let id = self.process.id();
        // SAFETY: the process is a child that was not waited for yet.
        unsafe { kill(id as i32, SIGKILL) };
        RUNNING.lock().expect("no panic under the lock").remove(&id);
        let _ = self.process.wait();
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.end();
    }
}

fn run(settings: &Path, folder: &Path, name: &str) -> io::Result<Child> {
    let log = File::options()
        .create(true)
        .append(true)
        .open(folder.join(format!("{name}.log")))?;
    let process = Command::new("target/release/radishhavend")
        .args(["route", "--config"])
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    let mut running = RUNNING.lock().expect("no panic under the lock");
    running.insert(process.id());
    Ok(process)
}

/// Returns the head of a request with the key.
fn head(id: &str, path: &str, deadline_ms: u64) -> String {
    let tokens = match path.starts_with("/trip/") {
        true => format!(
            "radishhaven-model: m\r\nradishhaven-token-count: 200,60\r\n\
             radishhaven-prompt-prefix: 5c1e07a2:40,{id}:160\r\n"
        ),
        false => String::new(),
    };
    format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nradishhaven-attempt-id: {id}\r\n\
         radishhaven-deadline-ms: {deadline_ms}\r\nradishhaven-key: {KEY}\r\n{tokens}\
         content-length: {}\r\n\r\n",
        QUESTION.len()
    )
}

/// Time after which a caller leaves a stream: the gap without an event that the protocol
/// names. A sound stream ends long before.
const STREAM_PATIENCE: Duration = Duration::from_secs(2);

/// The body of all requests.
const QUESTION: &[u8] = b"question";

/// Sends a request on a connection, and records it. `id` has hexadecimal digits only.
pub fn request_on(
    record: &Record,
    connection: &mut Connection,
    id: &str,
    path: &str,
    deadline_ms: u64,
) -> Answer {
    record.line(&format!("sent      {id} {path}"));
    let patience = match path.starts_with("/trip/") {
        true => STREAM_PATIENCE,
        false => Duration::from_millis(deadline_ms),
    };
    let answer = connection.send(&head(id, path, deadline_ms), QUESTION, patience);
    record.line(&format!(
        "answered  {id} status {} complete {} closed {} after {} ms",
        answer.status,
        answer.complete,
        answer.closed,
        answer.took.as_millis()
    ));
    answer
}

/// Sends a request on a connection of its own.
pub fn request(record: &Record, node: &Target, id: &str, path: &str, deadline_ms: u64) -> Answer {
    let patience = Duration::from_millis(deadline_ms);
    match Connection::open(node.callers, patience) {
        Ok(mut connection) => request_on(record, &mut connection, id, path, deadline_ms),
        Err(error) => {
            record.line(&format!("unsent    {id} {path}: {error}"));
            Answer::default()
        }
    }
}
