//! A stand-in for the platform's store: two keyed topics and one group.

use std::{
    collections::BTreeMap,
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::{self, Request};

type Records = Vec<(String, Option<Vec<u8>>)>;

#[derive(Debug, Default)]
struct State {
    topics: BTreeMap<String, Records>,
    /// Members with the end of their TTL.
    members: BTreeMap<String, Instant>,
    generation: u64,
    /// The member that owns the only partition that is dealt.
    owner: Option<String>,
    /// The member that owned it in each generation.
    owners: BTreeMap<u64, String>,
}

impl State {
    /// Returns the member that should own the partition.
    fn desired(&self) -> Option<&String> {
        self.members.keys().next()
    }

    fn set_owner(&mut self, owner: Option<String>) {
        self.owner = owner;
        self.generation += 1;
    }
}

/// The store. Clones share its contents.
#[derive(Debug, Clone, Default)]
pub struct Store(Arc<Mutex<State>>);

impl Store {
    /// Starts to serve, and returns the address.
    pub fn listen(&self) -> SocketAddr {
        let store = self.clone();
        http::serve(move |req, stream| store.handle(req, stream))
    }

    /// Appends a record; `None` drops the key.
    pub fn put(&self, topic: &str, key: &str, value: Option<&str>) {
        let mut state = self.0.lock().expect("no panic under the lock");
        let records = state.topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.map(|v| v.as_bytes().to_vec())));
    }

    fn handle(&self, req: &Request, stream: &mut TcpStream) -> io::Result<()> {
        match req.path.as_str() {
            "/-/log-newest" => respond(stream, 200, self.newest(req).as_bytes()),
            "/-/log-read" => match self.read(req) {
                Some(body) => respond(stream, 200, &body),
                None => respond(stream, 410, b"{\"first\":0}"),
            },
            "/-/log-join" => respond(stream, 200, self.join(req).as_bytes()),
            "/-/log-leave" => {
                let member = text_field(&req.body, "member");
                let mut state = self.0.lock().expect("no panic under the lock");
                state.members.remove(&member);
                state.generation += 1;
                drop(state);
                respond(stream, 200, b"{}")
            }
            "/-/log-owners" => respond(stream, 200, self.owners().as_bytes()),
            _ => respond(stream, 404, b"{}"),
        }
    }

    fn newest(&self, req: &Request) -> String {
        let mut state = self.0.lock().expect("no panic under the lock");
        let topic = req.parameter("topic").unwrap_or_default();
        let records = state.topics.entry(topic.to_owned()).or_default();
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            match value {
                Some(value) => newest.insert(key, (offset, value)),
                None => newest.remove(key),
            };
        }
        let items = newest.iter().map(|(key, (offset, value))| {
            let value = base64(value);
            format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
        });
        let items: Vec<String> = items.collect();
        let (items, end) = (items.join(","), records.len());
        format!("{{\"items\":[{items}],\"has_more\":false,\"end\":{end}}}")
    }

    fn read(&self, req: &Request) -> Option<Vec<u8>> {
        let number = |name| req.parameter(name).and_then(|v| v.parse::<u64>().ok());
        let from = number("from")? as usize;
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        loop {
            {
                let mut state = self.0.lock().expect("no panic under the lock");
                let topic = req.parameter("topic").unwrap_or_default();
                let records = state.topics.entry(topic.to_owned()).or_default();
                let unread = records.get(from..)?;
                if !unread.is_empty() || Instant::now() >= until {
                    let mut out = (records.len() as u64).to_be_bytes().to_vec();
                    out.extend(0_u64.to_be_bytes());
                    for (key, value) in unread {
                        let value = value.as_deref().unwrap_or_default();
                        out.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
                        out.push(key.len() as u8);
                        out.extend(key.as_bytes());
                        out.extend(value);
                    }
                    return Some(out);
                }
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Renews a membership. The partition moves when its owner has joined with the
    /// generation in which it is another member's.
    fn join(&self, req: &Request) -> String {
        let member = text_field(&req.body, "member");
        let joined_with = number_field(&req.body, "generation");
        let ttl = Duration::from_millis(number_field(&req.body, "ttl_ms"));
        let now = Instant::now();
        let mut state = self.0.lock().expect("no panic under the lock");
        let before = state.members.len();
        state.members.retain(|_, until| *until > now);
        let expired = state.members.len() < before;
        let is_new = state.members.insert(member.clone(), now + ttl).is_none();
        state.generation += u64::from(expired || is_new);
        let is_desired = state.desired() == Some(&member);
        let owner = state.owner.clone();
        let owner = owner.filter(|owner| state.members.contains_key(owner));
        if owner.is_none() && is_desired {
            state.set_owner(Some(member.clone()));
        } else if owner.as_ref() == Some(&member) && !is_desired && joined_with == state.generation
        {
            state.set_owner(None);
        }
        let generation = state.generation;
        let holds = state.owner.as_ref() == Some(&member) && state.desired() == Some(&member);
        if holds {
            state.owners.insert(generation, member.clone());
        }
        let parts = if holds { "[[\"members.0\",0,0]]" } else { "[]" };
        format!("{{\"generation\":{generation},\"parts\":{parts}}}")
    }

    /// Returns the member that owned the partition in a generation.
    pub fn owner_in(&self, generation: u64) -> Option<String> {
        let state = self.0.lock().expect("no panic under the lock");
        state.owners.get(&generation).cloned()
    }

    fn owners(&self) -> String {
        let state = self.0.lock().expect("no panic under the lock");
        let rows = state.members.keys().enumerate();
        let rows = rows.map(|(part, member)| format!("[\"members.0\",{part},\"{member}\",0]"));
        let rows: Vec<String> = rows.collect();
        format!("{{\"parts\":[{}]}}", rows.join(","))
    }
}

/// Returns the text of a field of a JSON object, without escapes.
fn text_field(body: &[u8], name: &str) -> String {
    let body = String::from_utf8_lossy(body);
    let rest = body.split(&format!("\"{name}\":\"")).nth(1);
    let text = rest.and_then(|rest| rest.split('"').next());
    text.unwrap_or_default().to_owned()
}

/// Returns the number of a field of a JSON object.
pub fn number_field(body: &[u8], name: &str) -> u64 {
    let body = String::from_utf8_lossy(body);
    let rest = body
        .split(&format!("\"{name}\":"))
        .nth(1)
        .unwrap_or_default();
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(0)
}

fn respond(stream: &mut TcpStream, status: u16, body: &[u8]) -> io::Result<()> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status} Status\r\ncontent-length: {length}\r\n\r\n");
    stream.write_all(&[head.as_bytes(), body].concat())
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let bits = group
            .iter()
            .fold(0_u32, |bits, b| bits << 8 | u32::from(*b));
        let bits = bits << (8 * (3 - group.len()));
        for digit in 0..4 {
            let index = (bits >> (18 - 6 * digit)) as usize & 63;
            out.push(match digit <= group.len() {
                true => char::from(DIGITS[index]),
                false => '=',
            });
        }
    }
    out
}
