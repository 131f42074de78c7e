//! Just enough HTTP/1.1 for the stand-ins: one thread for each connection.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// A request that a stand-in has received.
#[derive(Debug, Clone)]
pub struct Request {
    pub path: String,
    pub query: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }

    pub fn attempt_id(&self) -> &str {
        self.header("radishhaven-attempt-id")
    }

    pub fn parameter(&self, name: &str) -> Option<&str> {
        let pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        pairs
            .into_iter()
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }
}

fn head_end(buf: &[u8]) -> Option<usize> {
    buf.windows(4).position(|part| part == b"\r\n\r\n")
}

fn parse_headers(text: &str) -> Vec<(String, String)> {
    let lines = text.lines().skip(1).filter_map(|line| line.split_once(':'));
    lines
        .map(|(key, value)| (key.trim().to_ascii_lowercase(), value.trim().to_owned()))
        .collect()
}

/// Reads the next request of a connection, or `None` at its end.
pub fn read_request(stream: &mut TcpStream) -> Option<Request> {
    let mut buf = Vec::new();
    let mut chunk = [0; 16 * 1024];
    let end = loop {
        if let Some(end) = head_end(&buf) {
            break end;
        }
        match stream.read(&mut chunk) {
            Ok(read) if read > 0 => buf.extend_from_slice(&chunk[..read]),
            _ => return None,
        }
    };
    let text = String::from_utf8_lossy(&buf[..end]).into_owned();
    let mut line = text.lines().next()?.split(' ');
    let target = line.nth(1)?.to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let mut req = Request {
        path: path.to_owned(),
        query: query.to_owned(),
        headers: parse_headers(&text),
        body: buf[end + 4..].to_vec(),
    };
    let length: usize = req.header("content-length").parse().unwrap_or(0);
    while req.body.len() < length {
        match stream.read(&mut chunk) {
            Ok(read) if read > 0 => req.body.extend_from_slice(&chunk[..read]),
            _ => return None,
        }
    }
    Some(req)
}

/// Serves connections until the process ends. `handle` writes the whole response, and
/// returns an error to close the connection.
pub fn serve<H>(handle: H) -> SocketAddr
where
    H: Fn(&Request, &mut TcpStream) -> io::Result<()> + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (Ok(mut stream), handle) = (stream, handle.clone()) else {
                continue;
            };
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                while let Some(req) = read_request(&mut stream) {
                    if handle(&req, &mut stream).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// What a client has received.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// 0 if no head arrived.
    pub status: u16,
    pub body: Vec<u8>,
    /// Whether the answer is complete.
    pub complete: bool,
    /// Whether the connection ended.
    pub closed: bool,
    /// Time from the sending of the request to the end of the answer.
    pub took: Duration,
}

/// A connection of a client, which may carry several requests one after the other.
pub struct Connection {
    stream: TcpStream,
    /// Requests that were answered on it.
    pub answered: u32,
}

impl Connection {
    pub fn open(address: SocketAddr, patience: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, patience)?;
        stream.set_nodelay(true)?;
        let answered = 0;
        Ok(Self { stream, answered })
    }

    /// Sends a request and reads the answer until `patience` is over.
    pub fn send(&mut self, head: &str, body: &[u8], patience: Duration) -> Answer {
        let begun = Instant::now();
        let mut answer = Answer::default();
        let until = begun + patience;
        if let Err(error) = self.exchange(head, body, until, &mut answer) {
            let waits = [io::ErrorKind::WouldBlock, io::ErrorKind::TimedOut];
            answer.closed = !waits.contains(&error.kind());
        }
        self.answered += u32::from(answer.complete);
        answer.took = begun.elapsed();
        answer
    }

    fn exchange(
        &mut self,
        head: &str,
        body: &[u8],
        until: Instant,
        answer: &mut Answer,
    ) -> io::Result<()> {
        self.stream.write_all(&[head.as_bytes(), body].concat())?;
        let mut buf = Vec::new();
        let mut chunk = [0; 16 * 1024];
        while !answer.complete && !answer.closed {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(());
            }
            self.stream.set_read_timeout(Some(left))?;
            let read = self.stream.read(&mut chunk)?;
            buf.extend_from_slice(&chunk[..read]);
            answer.closed = read == 0;
            answer.read(&buf);
        }
        Ok(())
    }
}

impl Answer {
    /// Reads what has arrived so far.
    fn read(&mut self, buf: &[u8]) {
        let Some(end) = head_end(buf) else {
            return;
        };
        let text = String::from_utf8_lossy(&buf[..end]).into_owned();
        let status = text.split(' ').nth(1).and_then(|s| s.parse().ok());
        self.status = status.unwrap_or(0);
        let headers = parse_headers(&text);
        let header = |name: &str| {
            headers
                .iter()
                .find(|(k, _)| k == name)
                .map(|(_, v)| v.as_str())
        };
        let rest = &buf[end + 4..];
        if let Some(length) = header("content-length").and_then(|v| v.parse::<usize>().ok()) {
            self.body = rest[..rest.len().min(length)].to_vec();
            self.complete = rest.len() >= length;
        } else if header("transfer-encoding") == Some("chunked") {
            (self.body, self.complete) = unchunk(rest);
        } else {
            self.body = rest.to_vec();
            self.complete = self.closed;
        }
    }
}

/// Sends one request on a connection of its own. Gives up after `patience`.
pub fn send(address: SocketAddr, head: &str, body: &[u8], patience: Duration) -> Answer {
    match Connection::open(address, patience) {
        Ok(mut connection) => connection.send(head, body, patience),
        Err(_) => Answer {
            closed: true,
            ..Answer::default()
        },
    }
}

fn unchunk(mut rest: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        let Some(end) = rest.windows(2).position(|pair| pair == b"\r\n") else {
            return (body, false);
        };
        let size = String::from_utf8_lossy(&rest[..end]).into_owned();
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
            return (body, false);
        };
        if size == 0 {
            return (body, true);
        }
        if rest.len() < end + 2 + size + 2 {
            return (body, false);
        }
        body.extend_from_slice(&rest[end + 2..end + 2 + size]);
        rest = &rest[end + 2 + size + 2..];
    }
}
