//! Stand-ins for workers: plain services and engines that hold whole models.

use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    http::{Request, read_request, write_response},
    record::Recorder,
    store::Store,
};

/// Layers of the model of the engines.
pub const LAYERS: u16 = 8;

/// How long a server works on a request.
#[derive(Clone, Copy)]
pub struct Work {
    /// Time to the answer, or to the first event of a stream.
    pub first: Duration,
    /// Events of a stream, and the time between two of them. A plain server has none.
    pub events: u32,
    pub gap: Duration,
}

struct Inner {
    id: String,
    service: String,
    zone: String,
    is_engine: bool,
    address: SocketAddr,
    store: Store,
    recorder: Recorder,
    work: Box<dyn Fn(&Request) -> Work + Send + Sync>,
    /// The layers that an engine holds.
    layers: Mutex<Option<(u16, u16)>>,
    is_dead: AtomicBool,
    sequence: AtomicU64,
    /// Requests that run and have no answer, or no event, yet.
    unanswered: AtomicU32,
    connections: Mutex<Vec<TcpStream>>,
    /// Unix time in milliseconds of the start.
    born: u64,
}

#[derive(Clone)]
pub struct Server(Arc<Inner>);

impl Server {
    /// Starts a server, which registers itself in the store.
    pub fn start(
        (id, service, zone): (&str, &str, &str),
        is_engine: bool,
        store: &Store,
        recorder: &Recorder,
        work: impl Fn(&Request) -> Work + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let inner = Inner {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            is_engine,
            address: listener.local_addr().expect("an address"),
            store: store.clone(),
            recorder: recorder.clone(),
            work: Box::new(work),
            layers: Mutex::default(),
            is_dead: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
            unanswered: AtomicU32::new(0),
            connections: Mutex::default(),
            born: now.map_or(0, |now| now.as_millis() as u64),
        };
        let server = Self(Arc::new(inner));
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.0.is_dead.load(Ordering::SeqCst) {
                    // Ends this thread and closes the listener.
                    return;
                }
                let _ = stream.set_nodelay(true);
                if let Ok(clone) = stream.try_clone() {
                    accepting.0.connections.lock().unwrap().push(clone);
                }
                let server = accepting.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        let beating = server.clone();
        thread::spawn(move || {
            while !beating.0.is_dead.load(Ordering::SeqCst) {
                beating.beat();
                thread::sleep(Duration::from_millis(1_200));
            }
        });
        server
    }

    pub fn address(&self) -> SocketAddr {
        self.0.address
    }

    /// Returns the number of requests that run and have no answer yet.
    pub fn unanswered(&self) -> u32 {
        self.0.unanswered.load(Ordering::SeqCst)
    }

    pub fn holds_layers(&self) -> bool {
        self.0.layers.lock().unwrap().is_some()
    }

    /// Writes the entry in the store.
    fn beat(&self) {
        let inner = &self.0;
        let sequence = inner.sequence.fetch_add(1, Ordering::SeqCst);
        let mut entry = format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":{},"state":"ready","cold_remaining_ms":0,"sequence":{sequence},"born":{}"#,
            inner.service,
            inner.address,
            inner.zone,
            if inner.is_engine { 192 } else { 6 },
            inner.born,
        );
        if inner.is_engine {
            entry.push_str(r#","kind":"a100""#);
        }
        if let Some((from, target)) = *inner.layers.lock().unwrap() {
            entry.push_str(&format!(
                r#","layers":{{"from":{from},"target":{target},"version":1}}"#
            ));
        }
        entry.push('}');
        inner.store.put("keyed.servers", &inner.id, Some(entry));
    }

    /// The process ends: all connections end, and new ones are refused. Its entry in the
    /// store is removed after three intervals without a beat.
    pub fn crash(&self) {
        self.0.is_dead.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts, which closes the listener.
        let _ = TcpStream::connect(self.0.address);
        for connection in self.0.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        let server = self.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(3_600));
            server.0.store.put("keyed.servers", &server.0.id, None);
        });
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(req) = read_request(&mut reader) {
            if self.0.is_dead.load(Ordering::SeqCst) {
                return;
            }
            let sent = match req.path() {
                "/-/order" => self.take_order(&mut writer, &req),
                _ => self.run(&mut writer, &req),
            };
            if sent.is_err() {
                return;
            }
        }
    }

    /// Takes the order to hold layers. Loads before the first request take a tenth of the
    /// time, which is 1 s here.
    fn take_order(&self, writer: &mut TcpStream, req: &Request) -> std::io::Result<()> {
        if self.is_other_target(req) {
            return write_response(writer, 421, &[], b"");
        }
        let server = self.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(100));
            *server.0.layers.lock().unwrap() = Some((0, LAYERS));
            server.beat();
        });
        write_response(writer, 202, &[], b"")
    }

    fn is_other_target(&self, req: &Request) -> bool {
        let target = req.header("radishhaven-target-instance");
        target.is_some_and(|target| target != self.0.id)
    }

    fn run(&self, writer: &mut TcpStream, req: &Request) -> std::io::Result<()> {
        let inner = &self.0;
        let attempt = req
            .header("radishhaven-attempt-id")
            .unwrap_or_default()
            .to_owned();
        if self.is_other_target(req) {
            let id = [("radishhaven-instance-id", inner.id.as_str())];
            return write_response(writer, 421, &id, b"");
        }
        let tenant = req.header("radishhaven-tenant").unwrap_or("-").to_owned();
        let work = (inner.work)(req);
        let line = format!(
            "{} of {} runs {attempt} for {tenant}",
            inner.id, inner.service
        );
        inner.recorder.note(&line);
        inner.recorder.ran(&attempt, &inner.service);
        inner.unanswered.fetch_add(1, Ordering::SeqCst);
        thread::sleep(work.first);
        inner.unanswered.fetch_sub(1, Ordering::SeqCst);
        let signature = format!("{}.1.c9f2a4d1", inner.id);
        let headers = [
            ("radishhaven-attempt-id", attempt.as_str()),
            ("radishhaven-server-signature", signature.as_str()),
        ];
        if work.events == 0 {
            let sent = write_response(writer, 200, &headers, inner.service.as_bytes());
            inner.recorder.note(&format!(
                "{} of {} has answered {attempt}: {}",
                inner.id,
                inner.service,
                if sent.is_ok() {
                    "sent"
                } else {
                    "the connection was gone"
                }
            ));
            return sent;
        }
        let mut head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
                        transfer-encoding: chunked\r\n"
            .to_owned();
        for (key, value) in headers {
            head.push_str(&format!("{key}: {value}\r\n"));
        }
        head.push_str("\r\n");
        writer.write_all(head.as_bytes())?;
        let last = req
            .header("last-event-id")
            .and_then(|v| v.parse::<u32>().ok());
        for event in last.map_or(1, |last| last + 1)..=work.events {
            let event = format!("id: {event}\ndata: {}\n\n", "x".repeat(50));
            writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            thread::sleep(work.gap);
        }
        writer.write_all(b"0\r\n\r\n")
    }
}

/// One service of the operator's configuration.
pub fn plain_service(name: &str) -> String {
    format!(
        r#"{{"name":"{name}","health_path":"/health","max_connections":100,"protocol":"h1","tls":false}}"#
    )
}

/// The service of the engines. Each engine's memory holds the whole model.
pub fn engine_service(name: &str) -> String {
    format!(
        r#"{{"name":"{name}","health_path":"/health","max_connections":1128,"protocol":"h1","tls":false,"engine":{{"slots":192,"kv_tokens":100000,"kv_bytes":9180,"link_mbps":400000.0,"stride":3,"models":[{{"name":"daka510000","pace":1.0,"load_s":1.0,"warm_s":1.0}}],"step_ms":1.02,"per_seq_ms":0.00714,"context_per_k":0.00956,"read_per_s":105000.0,"pairs_per_m":0.309,"chunk":512,"report_lag_ms":200.0,"loads_per_s":0.0,"loads_at_once":5,"delays":[],"usual":{{"prompt":774,"answer":200}},"layers":{LAYERS},"layer_mb":100.0,"act_bytes":45900,"pipe_mbps":26000.0,"kinds":[{{"name":"a100","mb":72000.0,"pace":2.4,"read_x":3.2}}]}}}}"#
    )
}

/// The same route, which asks for no key.
pub fn public(route: String) -> String {
    route.replace(r#""public":false"#, r#""public":true"#)
}

/// One route of the operator's configuration.
pub fn route(path: &str, kind: &str, service: &str, timeout_ms: u32) -> String {
    let name = path.trim_matches('/');
    format!(
        r#"{{"name":"{name}","host":"ficu95.example","path_prefix":"{path}","kind":"{kind}","timeout_ms":{timeout_ms},"target_latency_ms":500,"priority":1,"service":"{service}","max_attempts":2,"public":false,"session_affinity":false,"resumable":{},"gap_aim_ms":200}}"#,
        kind == "streaming"
    )
}

/// The operator's configuration. `tenants` has the keys of each tenant.
pub fn configuration(
    version: u64,
    routes: &[String],
    services: &[String],
    tenants: &BTreeMap<&str, Vec<&str>>,
) -> String {
    let tenants = tenants.iter().map(|(name, keys)| {
        let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
        let keys = keys.join(",");
        format!(r#"{{"name":"{name}","api_keys":[{keys}],"priority":1}}"#)
    });
    let tenants: Vec<String> = tenants.collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{}]}}"#,
        routes.join(","),
        services.join(","),
        tenants.join(",")
    )
}
