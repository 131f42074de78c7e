//! Plain HTTP/1.1 over blocking sockets, for stand-ins and clients.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

pub type Headers = Vec<(String, String)>;

pub fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    let found = headers
        .iter()
        .find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

#[derive(Debug, Clone)]
pub struct Request {
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

fn bad(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.to_owned())
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Headers> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(headers);
        }
        let (key, value) = line.split_once(':').ok_or_else(|| bad("no header"))?;
        headers.push((key.trim().to_owned(), value.trim().to_owned()));
    }
}

/// Reads one chunk of a chunked body; `None` is the last one.
fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let line = read_line(reader)?;
    let size = line.split(';').next().unwrap_or_default().trim();
    let size = usize::from_str_radix(size, 16).map_err(|_| bad("no chunk"))?;
    let mut data = vec![0; size];
    reader.read_exact(&mut data)?;
    read_line(reader)?;
    Ok((size > 0).then_some(data))
}

fn is_chunked(headers: &Headers) -> bool {
    header(headers, "transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked"))
}

fn length(headers: &Headers) -> Option<usize> {
    header(headers, "content-length")?.parse().ok()
}

pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Request> {
    let line = read_line(reader)?;
    let target = line.split(' ').nth(1).unwrap_or_default().to_owned();
    let headers = read_headers(reader)?;
    let mut body = Vec::new();
    if is_chunked(&headers) {
        while let Some(chunk) = read_chunk(reader)? {
            body.extend(chunk);
        }
    } else {
        body.resize(length(&headers).unwrap_or(0), 0);
        reader.read_exact(&mut body)?;
    }
    Ok(Request {
        target,
        headers,
        body,
    })
}

pub fn write_response(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut out = format!(
        "HTTP/1.1 {status} Status\r\ncontent-length: {}\r\n",
        body.len()
    );
    for (key, value) in headers {
        out.push_str(&format!("{key}: {value}\r\n"));
    }
    out.push_str("\r\n");
    let mut bytes = out.into_bytes();
    bytes.extend(body);
    stream.write_all(&bytes)
}

/// What a client saw of one request.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The status, or 0 if no head arrived.
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
    /// Whether the whole body arrived.
    pub complete: bool,
    /// How it ended, for the record.
    pub end: String,
    pub took: Duration,
}

/// Sends one request on a new connection, and waits for the answer for `limit`.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, String)],
    body: &[u8],
    limit: Duration,
) -> Answer {
    let started = Instant::now();
    let mut answer = Answer {
        status: 0,
        headers: Vec::new(),
        body: Vec::new(),
        complete: false,
        end: String::new(),
        took: Duration::ZERO,
    };
    let result = exchange(
        address,
        method,
        target,
        headers,
        body,
        (started, limit),
        &mut answer,
    );
    answer.took = started.elapsed();
    answer.end = match result {
        Ok(()) => "whole".to_owned(),
        Err(error) => match error.kind() {
            io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => "no answer in time".to_owned(),
            io::ErrorKind::UnexpectedEof => "closed".to_owned(),
            kind => format!("{kind:?}"),
        },
    };
    answer.complete = answer.end == "whole";
    answer
}

/// A stream that reads until a moment and no longer.
struct Limited {
    stream: TcpStream,
    until: Instant,
}

impl Read for Limited {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        let left = self.until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        self.stream.read(buf)
    }
}

fn exchange(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, String)],
    body: &[u8],
    (started, limit): (Instant, Duration),
    answer: &mut Answer,
) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&address, limit.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    let mut out = format!("{method} {target} HTTP/1.1\r\n");
    for (key, value) in headers {
        out.push_str(&format!("{key}: {value}\r\n"));
    }
    if method != "GET" || !body.is_empty() {
        out.push_str(&format!("content-length: {}\r\n", body.len()));
    }
    out.push_str("\r\n");
    let mut bytes = out.into_bytes();
    bytes.extend(body);
    stream.write_all(&bytes)?;
    let until = started + limit;
    let mut reader = BufReader::new(Limited { stream, until });
    let line = read_line(&mut reader)?;
    let status = line.split(' ').nth(1).and_then(|word| word.parse().ok());
    answer.status = status.ok_or_else(|| bad("no status"))?;
    answer.headers = read_headers(&mut reader)?;
    if is_chunked(&answer.headers) {
        while let Some(chunk) = read_chunk(&mut reader)? {
            answer.body.extend(chunk);
        }
        return Ok(());
    }
    let mut left = length(&answer.headers).unwrap_or(0);
    let mut buf = [0; 4096];
    while left > 0 {
        let size = left.min(buf.len());
        let read = reader.read(&mut buf[..size])?;
        if read == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        answer.body.extend(&buf[..read]);
        left -= read;
    }
    Ok(())
}
