//! The TCP stream of a caller's connection.
//!
//! A response to a request of HTTP/1.0 may have no length; the caller then takes
//! the end of the connection for the end of the response. If the node ends such a
//! response early, it must reset the connection, or the response looks complete.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
};

use http::Version;
use spdlog::prelude::*;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use super::caller_account::Holder;

/// Whether the end of a connection would complete a response.
#[derive(Debug, Clone, Default)]
pub(super) struct EndOfResponse(Arc<AtomicBool>);

impl EndOfResponse {
    /// Records the HTTP version of a request that is answered next.
    pub(super) fn record_request(&self, version: Version) {
        self.0.store(version < Version::HTTP_11, Ordering::Relaxed);
    }

    /// Records that all responses were sent whole.
    pub(super) fn record_complete(&self) {
        self.0.store(false, Ordering::Relaxed);
    }

    fn is_pending(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// A caller's stream, which is reset when it is dropped inside a response that
/// the end of the connection would complete.
#[derive(Debug)]
pub(super) struct CallerStream {
    stream: TcpStream,
    end: EndOfResponse,
    holder: Arc<Holder>,
}

impl CallerStream {
    pub(super) fn new(stream: TcpStream, end: EndOfResponse, holder: Arc<Holder>) -> Self {
        Self {
            stream,
            end,
            holder,
        }
    }

    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        self.holder.set_unread(written.is_pending());
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        if !self.end.is_pending() {
            return;
        }
        if let Err(error) = self.stream.set_zero_linger() {
            warn!("a broken response was not reset", kv: { error = error.to_string() });
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        let received = buf.filled().len() - before;
        if received > 0
            && let Err(error) = self.holder.receive(received)
        {
            return Poll::Ready(Err(io::Error::other(error)));
        }
        read
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(&written);
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.holder.record_flush();
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
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
