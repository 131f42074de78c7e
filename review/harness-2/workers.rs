//! Stand-ins for backend servers.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

use crate::{
    deployment::Record,
    http::{self, Request},
};

/// Returns the start of a signed head for the answer to `req`.
pub fn signed_head(req: &Request, status: u16) -> String {
    let id = req.attempt_id();
    format!(
        "HTTP/1.1 {status} Status\r\nradishhaven-attempt-id: {id}\r\n\
         radishhaven-server-signature: s.{id}\r\n"
    )
}

/// Answers what is no request of a client: orders, reports and health checks. Returns
/// whether `req` is one of these.
fn answer_control(req: &Request, stream: &mut TcpStream) -> io::Result<bool> {
    if req.path != "/health" && !req.path.starts_with("/-/") {
        return Ok(false);
    }
    // The layers of each engine are fixed, so that no order fits.
    let status = if req.path == "/-/order" { 409 } else { 200 };
    let head = format!("HTTP/1.1 {status} Status\r\ncontent-length: 2\r\n\r\n{{}}");
    stream.write_all(head.as_bytes())?;
    Ok(true)
}

/// A plain worker, which takes `work` for a request. `spoil` may write another answer
/// instead; it then returns `true`, and the connection is closed.
pub fn plain<S>(record: &Record, name: &str, work: Duration, spoil: S) -> SocketAddr
where
    S: Fn(&Request, &mut TcpStream) -> bool + Send + Sync + 'static,
{
    let (record, name) = (record.clone(), name.to_owned());
    http::serve(move |req, stream| {
        if answer_control(req, stream)? {
            return Ok(());
        }
        record.run(req.attempt_id(), &name);
        thread::sleep(work);
        if spoil(req, stream) {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let body = format!("answer to {}", req.attempt_id());
        let head = signed_head(req, 200);
        let length = body.len();
        let text = format!("{head}content-length: {length}\r\n\r\n{body}");
        stream.write_all(text.as_bytes())
    })
}

/// Events of a stream.
const EVENTS: u32 = 20;
/// Time between two events.
const EVENT_GAP: Duration = Duration::from_millis(20);

/// Returns the head of a stream in chunks.
pub fn stream_head(req: &Request) -> String {
    let head = signed_head(req, 200);
    format!("{head}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n")
}

/// Refuses a request without an attempt id. Returns whether `req` is one.
fn refuse_without_id(req: &Request, stream: &mut TcpStream) -> io::Result<bool> {
    if !req.attempt_id().is_empty() {
        return Ok(false);
    }
    let head = "HTTP/1.1 400 Status\r\nradishhaven-not-executed: 1\r\ncontent-length: 0\r\n\r\n";
    stream.write_all(head.as_bytes())?;
    Ok(true)
}

/// The first engine of a path, which streams all events. `spoil` is as for [`plain`].
pub fn engine<S>(record: &Record, name: &str, spoil: S) -> SocketAddr
where
    S: Fn(&Request, &mut TcpStream) -> bool + Send + Sync + 'static,
{
    let (record, name) = (record.clone(), name.to_owned());
    http::serve(move |req, stream| {
        if answer_control(req, stream)? {
            return Ok(());
        }
        if refuse_without_id(req, stream)? {
            return Ok(());
        }
        let from: u32 = req.header("last-event-id").parse().unwrap_or(0);
        let id = req.attempt_id();
        record.run(id, &format!("{name} from event {}", from + 1));
        if spoil(req, stream) {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        stream.write_all(stream_head(req).as_bytes())?;
        for number in from + 1..=EVENTS {
            thread::sleep(EVENT_GAP);
            let event = format!("id: {number}\ndata: {id} token {number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            stream.write_all(chunk.as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")
    })
}
