//! Limits on the bytes that a server sends around the bodies of its responses.
//!
//! Interim responses, heads, the sizes and extensions of chunks and trailers take time and
//! bring nothing. On average, a server may send as many of these bytes as of the body itself,
//! and [`MAX_FRAMING_BYTES`] in a row.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Most bytes in a row that are no body of a response.
const MAX_FRAMING_BYTES: u64 = 256 * 1024;
/// Bytes that a connection reads before other tasks run.
const MAX_BYTES_PER_TURN: usize = 64 * 1024;

/// The bytes that a connection may still receive.
#[derive(Debug, Clone, Default)]
pub(crate) struct Allowance(Arc<AtomicU64>);

impl Allowance {
    /// Allows what may come before the body of the next response.
    pub(crate) fn restart(&self) {
        self.0.store(MAX_FRAMING_BYTES, Ordering::Relaxed);
    }

    fn spend(&self, bytes: u64) -> io::Result<()> {
        let left = self.0.load(Ordering::Relaxed).checked_sub(bytes);
        let left = left.ok_or_else(|| {
            let reason = "too many bytes that are no body of a response";
            io::Error::new(io::ErrorKind::InvalidData, reason)
        })?;
        self.0.store(left, Ordering::Relaxed);
        Ok(())
    }

    /// Allows for bytes of a body, and for as many around the next ones.
    fn earn(&self, body_bytes: usize) {
        let allowed = self.0.load(Ordering::Relaxed) + 2 * body_bytes as u64;
        self.0
            .store(allowed.min(MAX_FRAMING_BYTES), Ordering::Relaxed);
    }
}

/// A stream that fails when its allowance is used up, and that lets other tasks run now and
/// then while bytes arrive without a pause.
#[derive(Debug)]
pub(crate) struct LimitedStream {
    stream: TcpStream,
    allowance: Allowance,
    /// Bytes that were read since other tasks ran.
    read: usize,
}

impl LimitedStream {
    pub(crate) fn new(stream: TcpStream, allowance: Allowance) -> Self {
        Self {
            stream,
            allowance,
            read: 0,
        }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.read >= MAX_BYTES_PER_TURN {
            self.read = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if polled.is_pending() {
            self.read = 0;
        }
        ready!(polled)?;
        let read = buf.filled().len() - before;
        self.read += read;
        Poll::Ready(self.allowance.spend(read as u64))
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// The body of a response, whose bytes extend the allowance of its connection.
#[derive(Debug)]
pub struct ResponseBody {
    body: Incoming,
    allowance: Option<Allowance>,
}

impl ResponseBody {
    pub(crate) fn new(body: Incoming, allowance: Allowance) -> Self {
        Self {
            body,
            allowance: Some(allowance),
        }
    }
}

/// The body of a response on a connection that has no allowance.
impl From<Incoming> for ResponseBody {
    fn from(body: Incoming) -> Self {
        Self {
            body,
            allowance: None,
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if let (Some(Ok(frame)), Some(allowance)) = (&frame, &self.allowance) {
            allowance.earn(frame.data_ref().map_or(0, Bytes::len));
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
