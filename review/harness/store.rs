//! A stand-in for the platform's metadata store, as PROTOCOL.md describes it: keyed
//! topics that are read by offset or by key, and consumer groups.

use std::{
    collections::BTreeMap,
    io::BufReader,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::{Request, read_request, write_response};

type Record = (String, Option<Vec<u8>>);

/// One reply of the store: status, content type and body.
type Reply = (u16, &'static str, Vec<u8>);

const JSON: &str = "application/json";
const BYTES: &str = "application/octet-stream";
/// Partitions of a topic.
const PARTS: usize = 12;

#[derive(Clone)]
struct Member {
    /// When its last join arrived.
    joined: Instant,
    ttl: Duration,
}

#[derive(Clone, Default)]
struct Contents {
    topics: BTreeMap<String, Vec<Record>>,
    members: BTreeMap<String, Member>,
    generation: u64,
    /// The member that holds each partition.
    holders: BTreeMap<(String, usize), Option<String>>,
}

struct State {
    contents: Contents,
    /// How often the store has returned from a copy. It is in all answers once the store
    /// has said it.
    era: Option<u64>,
    is_away: bool,
    connections: Vec<TcpStream>,
}

/// An older copy of the contents.
pub struct Copy(Contents);

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    /// Addresses in records that callers of this listener see replaced.
    replaced: Arc<Vec<(SocketAddr, SocketAddr)>>,
}

impl Store {
    /// Starts a store. `era` is the value of its header `Store-Era`, if it sends one.
    pub fn start(era: Option<u64>) -> Self {
        let state = State {
            contents: Contents::default(),
            era,
            is_away: false,
            connections: Vec::new(),
        };
        Self::listen(Arc::new((Mutex::new(state), Condvar::new())), Vec::new())
    }

    /// Starts a further listener of the same store, for one node. It sees each worker
    /// behind the address of its own link to the worker.
    pub fn behind_links(&self, links: Vec<(SocketAddr, SocketAddr)>) -> Self {
        Self::listen(self.state.clone(), links)
    }

    fn listen(
        state: Arc<(Mutex<State>, Condvar)>,
        replaced: Vec<(SocketAddr, SocketAddr)>,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let store = Self {
            address,
            state,
            replaced: Arc::new(replaced),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let _ = stream.set_nodelay(true);
                if served.state.0.lock().unwrap().is_away {
                    continue;
                }
                if let Ok(clone) = stream.try_clone() {
                    served.state.0.lock().unwrap().connections.push(clone);
                }
                let served = served.clone();
                thread::spawn(move || served.serve(stream));
            }
        });
        store
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(req) = read_request(&mut reader) {
            // An answer belongs to the era in which its call arrived.
            let era = self.state.0.lock().unwrap().era;
            // An answer takes 4 ms.
            thread::sleep(Duration::from_millis(4));
            let Some((status, kind, body)) = self.handle(&req, era) else {
                return;
            };
            let text = era.map(|era| era.to_string()).unwrap_or_default();
            let mut headers = vec![("content-type", kind)];
            if era.is_some() {
                headers.push(("store-era", text.as_str()));
            }
            if write_response(&mut writer, status, &headers, &body).is_err() {
                return;
            }
        }
    }

    /// Writes a record as the operator or a worker does. When this returns, the store has
    /// acknowledged it.
    pub fn put(&self, topic: &str, key: &str, value: Option<String>) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let records = state.contents.topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.map(String::into_bytes)));
        changed.notify_all();
    }

    /// Returns a copy of the contents.
    pub fn copy(&self) -> Copy {
        Copy(self.state.0.lock().unwrap().contents.clone())
    }

    /// The store is away: its connections end and new ones are closed.
    pub fn leave(&self) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.is_away = true;
        for connection in state.connections.drain(..) {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
        changed.notify_all();
    }

    /// The store is back, from an older copy.
    pub fn return_from(&self, copy: Copy) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.contents = copy.0;
        // Time that passed while the store was away counts for no membership.
        for member in state.contents.members.values_mut() {
            member.joined = Instant::now();
        }
        state.era = Some(state.era.unwrap_or(0) + 1);
        state.is_away = false;
        changed.notify_all();
    }

    /// Handles a call. Returns `None` if the store went away meanwhile.
    fn handle(&self, req: &Request, era: Option<u64>) -> Option<Reply> {
        let reply = match req.path() {
            "/-/log-newest" => self.newest(req),
            "/-/log-read" => self.read(req, era)?,
            "/-/log-join" => self.join(&String::from_utf8_lossy(&req.body)),
            "/-/log-leave" => self.leave_group(&String::from_utf8_lossy(&req.body)),
            "/-/log-owners" => self.owners(),
            _ => (404, JSON, b"{}".to_vec()),
        };
        let state = self.state.0.lock().unwrap();
        (!state.is_away && state.era == era).then_some(reply)
    }

    /// Returns a value as the callers of this listener see it.
    fn seen(&self, value: &[u8]) -> Vec<u8> {
        let mut text = String::from_utf8_lossy(value).into_owned();
        for (worker, link) in self.replaced.iter() {
            text = text.replace(&format!("\"{worker}\""), &format!("\"{link}\""));
        }
        text.into_bytes()
    }

    fn newest(&self, req: &Request) -> Reply {
        let mut state = self.state.0.lock().unwrap();
        let topic = req.query("topic").unwrap_or_default().to_owned();
        let records = state.contents.topics.entry(topic).or_default();
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            match value {
                Some(value) => newest.insert(key, (offset, value)),
                None => newest.remove(key),
            };
        }
        let items = newest.into_iter().map(|(key, (offset, value))| {
            let value = base64(&self.seen(value));
            format!(r#"{{"key":"{key}","value":"{value}","offset":{offset}}}"#)
        });
        let items: Vec<String> = items.collect();
        let end = records.len();
        let items = items.join(",");
        let body = format!(r#"{{"items":[{items}],"has_more":false,"end":{end}}}"#);
        (200, JSON, body.into_bytes())
    }

    fn read(&self, req: &Request, era: Option<u64>) -> Option<Reply> {
        let from: usize = req.query("from").and_then(|v| v.parse().ok()).unwrap_or(0);
        let wait = req
            .query("wait_ms")
            .and_then(|v| v.parse().ok())
            .unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let topic = req.query("topic").unwrap_or_default().to_owned();
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            if state.is_away || state.era != era {
                return None;
            }
            let records = state.contents.topics.entry(topic.clone()).or_default();
            if from > records.len() {
                return Some((410, JSON, br#"{"first":0}"#.to_vec()));
            }
            let left = until.saturating_duration_since(Instant::now());
            if from < records.len() || left.is_zero() {
                let mut out = (records.len() as u64).to_be_bytes().to_vec();
                out.extend(0_u64.to_be_bytes());
                for (key, value) in &records[from..] {
                    let value = self.seen(value.as_deref().unwrap_or_default());
                    out.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
                    out.push(key.len() as u8);
                    out.extend(key.as_bytes());
                    out.extend(&value);
                }
                return Some((200, BYTES, out));
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn join(&self, body: &str) -> Reply {
        let member = text_field(body, "member");
        let generation = number_field(body, "generation");
        let ttl = Duration::from_millis(number_field(body, "ttl_ms"));
        let mut state = self.state.0.lock().unwrap();
        let contents = &mut state.contents;
        for topic in list_field(body, "topics") {
            for part in 0..PARTS {
                contents.holders.entry((topic.clone(), part)).or_default();
            }
        }
        contents.expire(Instant::now());
        if !contents.members.contains_key(&member) {
            contents.generation += 1;
        }
        let entry = Member {
            joined: Instant::now(),
            ttl,
        };
        contents.members.insert(member.clone(), entry);
        let parts = contents.renew(&member, generation);
        let rows: Vec<String> = parts
            .iter()
            .map(|(topic, part)| format!(r#"["{topic}",{part},0]"#))
            .collect();
        let (generation, ttl) = (contents.generation, ttl.as_millis());
        let rows = rows.join(",");
        let body = format!(r#"{{"generation":{generation},"ttl_ms":{ttl},"parts":[{rows}]}}"#);
        (200, JSON, body.into_bytes())
    }

    fn leave_group(&self, body: &str) -> Reply {
        let member = text_field(body, "member");
        let mut state = self.state.0.lock().unwrap();
        state.contents.remove(&member);
        (200, JSON, b"{}".to_vec())
    }

    fn owners(&self) -> Reply {
        let mut state = self.state.0.lock().unwrap();
        state.contents.expire(Instant::now());
        let rows = state
            .contents
            .holders
            .iter()
            .map(|((topic, part), holder)| {
                let holder = holder
                    .as_ref()
                    .map_or("null".to_owned(), |h| format!("\"{h}\""));
                format!(r#"["{topic}",{part},{holder},0]"#)
            });
        let rows: Vec<String> = rows.collect();
        (
            200,
            JSON,
            format!(r#"{{"parts":[{}]}}"#, rows.join(",")).into_bytes(),
        )
    }
}

impl Contents {
    /// Removes the members that have sent nothing for their time to live.
    fn expire(&mut self, now: Instant) {
        let is_silent = |m: &Member| now.duration_since(m.joined) > m.ttl;
        let silent = self.members.iter().filter(|(_, m)| is_silent(m));
        let silent: Vec<String> = silent.map(|(name, _)| name.clone()).collect();
        for name in silent {
            self.remove(&name);
        }
    }

    fn remove(&mut self, member: &str) {
        if self.members.remove(member).is_some() {
            self.generation += 1;
        }
        for holder in self.holders.values_mut() {
            if holder.as_deref() == Some(member) {
                *holder = None;
            }
        }
    }

    /// Distributes the partitions evenly as far as they are free, and returns those of a
    /// member. A member releases a partition when it joins with the generation since
    /// which another one should have it.
    fn renew(&mut self, member: &str, generation: u64) -> Vec<(String, usize)> {
        let names: Vec<String> = self.members.keys().cloned().collect();
        let current = self.generation;
        let mut own = Vec::new();
        for (index, (part, holder)) in self.holders.iter_mut().enumerate() {
            let is_own = names[index % names.len()] == member;
            if holder.as_deref() == Some(member) && !is_own && generation >= current {
                *holder = None;
            }
            if holder.is_none() {
                *holder = Some(names[index % names.len()].clone());
            }
            if holder.as_deref() == Some(member) && is_own {
                own.push(part.clone());
            }
        }
        own
    }
}

fn after<'a>(body: &'a str, name: &str) -> &'a str {
    let pattern = format!("\"{name}\":");
    body.split_once(&pattern).map_or("", |(_, rest)| rest)
}

fn text_field(body: &str, name: &str) -> String {
    after(body, name)
        .split('"')
        .nth(1)
        .unwrap_or_default()
        .to_owned()
}

fn number_field(body: &str, name: &str) -> u64 {
    let digits: String = after(body, name)
        .chars()
        .take_while(char::is_ascii_digit)
        .collect();
    digits.parse().unwrap_or(0)
}

fn list_field(body: &str, name: &str) -> Vec<String> {
    let list = after(body, name).split(']').next().unwrap_or_default();
    list.split('"')
        .skip(1)
        .step_by(2)
        .map(str::to_owned)
        .collect()
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk.iter().fold(0_u32, |sum, b| sum << 8 | u32::from(*b));
        let group = group << (8 * (3 - chunk.len()));
        for index in 0..4 {
            let bits = (group >> (18 - 6 * index)) & 63;
            let is_data = index <= chunk.len();
            out.push(if is_data {
                char::from(ALPHABET[bits as usize])
            } else {
                '='
            });
        }
    }
    out
}
