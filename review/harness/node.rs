//! Nodes: processes of the project's own program, started as the deploy file says.

use std::{
    collections::BTreeMap,
    fs::{self, File},
    net::{SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Mutex,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::http::call;

/// Process ids of the nodes that run.
static RUNNING: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// Ends all nodes that were started here.
pub fn end_all() {
    for pid in RUNNING.lock().unwrap().drain(..) {
        // Ids are removed from the list before their process is waited for.
        unsafe { kill(pid, SIGKILL) };
    }
}

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// The bounds of the small deployments, as DEPLOY.md and SYSTEM.md state them.
const BOUNDS: [(&str, &str); 10] = [
    ("revoke_ms", "5000"),
    ("drain_ms", "2000"),
    ("config_ms", "2000"),
    ("stability_window_ms", "3000"),
    ("grace_period_s", "8"),
    ("ttl_max_s", "5"),
    ("budget_ratio", "0.2"),
    ("budget_window_s", "10"),
    ("budget_slack", "198"),
    ("lost_ms", "200"),
];

pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub directory: SocketAddr,
    config: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Returns a loopback address whose port is free for TCP and UDP. Ports from which the
/// system takes those of outgoing connections are left out.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let step = NEXT.fetch_add(1, Ordering::SeqCst);
        let port = 12_000 + (std::process::id().wrapping_mul(97) + step) % 18_000;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// Fills in the fields of the template `deploy/gateway.ini`.
fn render(template: &str, fields: &BTreeMap<String, String>) -> String {
    let mut out = template.to_owned();
    for (name, value) in fields {
        out = out.replace(&format!("{{{{{name}}}}}"), value);
    }
    assert!(
        !out.contains("{{"),
        "a field of the template is unknown: {out}"
    );
    out
}

impl Node {
    /// Prepares a node in a zone that uses the store at an address.
    pub fn new(folder: &Path, name: &str, zone: &str, store: SocketAddr) -> Self {
        let addresses: Vec<SocketAddr> = (0..5).map(|_| free_address()).collect();
        let mut fields: BTreeMap<String, String> = [
            ("node_name", name.to_owned()),
            ("zone", zone.to_owned()),
            ("ip", "127.0.0.1".to_owned()),
            ("listen.front", addresses[0].to_string()),
            ("listen.ready", addresses[1].to_string()),
            ("listen.directory", addresses[2].to_string()),
            ("internal_ports.0", addresses[3].port().to_string()),
            ("internal_ports.1", addresses[4].port().to_string()),
            ("limits.cpu_share", "0.25".to_owned()),
            ("platform.address", store.to_string()),
            ("heartbeat_ms", "1200".to_owned()),
            ("platform.ttl_min_ms", "1000".to_owned()),
            ("platform.parts", "12".to_owned()),
            ("platform.writes_per_s", "400".to_owned()),
        ]
        .into_iter()
        .map(|(key, value)| (key.to_owned(), value))
        .collect();
        for (key, value) in BOUNDS {
            fields.insert(format!("bounds.{key}"), value.to_owned());
        }
        let template = fs::read_to_string("deploy/gateway.ini").expect("the template");
        let config = folder.join(format!("{name}.ini"));
        fs::write(&config, render(&template, &fields)).expect("the settings");
        Self {
            name: name.to_owned(),
            callers: addresses[0],
            readiness: addresses[1],
            directory: addresses[2],
            log: folder.join(format!("{name}.log")),
            config,
            child: None,
        }
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a log");
        let errors = log.try_clone().expect("a log");
        let child = Command::new("target/release/radishhavend")
            .args(["route", "--config"])
            .arg(&self.config)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        let child = child.expect("the program of the deploy file was built");
        RUNNING.lock().unwrap().push(child.id() as i32);
        self.child = Some(child);
    }

    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_millis(500);
        call(self.readiness, "GET", "/-/readiness", &[], b"", limit).status == 200
    }

    /// Waits until the node says that it is ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        false
    }

    pub fn signal(&self, signal: i32) {
        let running = RUNNING.lock().unwrap();
        let child = self.child.as_ref();
        if let Some(child) = child.filter(|child| running.contains(&(child.id() as i32))) {
            // The process was started here and has not been waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        let Some(child) = &mut self.child else {
            return true;
        };
        // The list is locked meanwhile, so that an id that is given out again is not in it.
        let mut running = RUNNING.lock().unwrap();
        let has_ended = matches!(child.try_wait(), Ok(Some(_)));
        if has_ended {
            let pid = child.id() as i32;
            running.retain(|other| *other != pid);
        }
        has_ended
    }

    /// Returns the largest memory of the process so far, in megabytes, as the platform
    /// sees it.
    pub fn peak_mb(&self) -> u64 {
        self.status_mb("VmHWM:")
    }

    /// Returns the memory of the process in megabytes.
    pub fn memory_mb(&self) -> u64 {
        self.status_mb("VmRSS:")
    }

    fn status_mb(&self, field: &str) -> u64 {
        let Some(child) = &self.child else { return 0 };
        let status = fs::read_to_string(format!("/proc/{}/status", child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with(field));
        let kb = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        kb.unwrap_or(0) / 1024
    }

    /// Returns the processor time that the process has used.
    pub fn cpu(&self) -> Duration {
        let Some(child) = &self.child else {
            return Duration::ZERO;
        };
        let stat = fs::read_to_string(format!("/proc/{}/stat", child.id())).unwrap_or_default();
        let fields = stat
            .rsplit(')')
            .next()
            .unwrap_or_default()
            .split_whitespace()
            .skip(11);
        let ticks: u64 = fields.take(2).filter_map(|v| v.parse::<u64>().ok()).sum();
        Duration::from_millis(ticks * 10)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        while !self.has_ended() {
            self.signal(SIGKILL);
            thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Waits until all nodes are ready and list each other, as the directory shows.
pub fn wait_settled(nodes: &[Node], limit: Duration) -> bool {
    let until = Instant::now() + limit;
    let lists_all = |node: &Node| {
        let limit = Duration::from_millis(500);
        let target = "/-/resolve?name=ficu95.example&region=mvd&zone=mvd-centro";
        let answer = call(node.directory, "GET", target, &[], b"", limit);
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        nodes
            .iter()
            .all(|other| text.contains(&format!("\"{}\"", other.callers)))
    };
    while Instant::now() < until {
        if nodes.iter().all(|node| node.is_ready() && lists_all(node)) {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    for node in nodes {
        let (is_ready, lists_all) = (node.is_ready(), lists_all(node));
        println!(
            "{}: ready {is_ready}, lists all nodes {lists_all}",
            node.name
        );
    }
    false
}
