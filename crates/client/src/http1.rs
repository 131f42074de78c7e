//! A single HTTP/1.1 connection without pooling and retries.
//!
//! A connection pool selects the connection of a request and may send the
//! request again. A request that may run at most once must not be sent twice,
//! and bytes that follow a response must not be read as the response to another
//! request. The user of a [`Connection`] therefore decides both; see
//! `docs/design/platform.md`.

use std::{fmt, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, header};
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::{net::TcpStream, task::JoinHandle};

use crate::received::{Allowance, LimitedStream, ResponseBody};

/// Largest size of the buffer into which a connection reads, in bytes. It bounds the head of
/// a response, and the bytes of a body that are handled at once.
const MAX_READ_BYTES: usize = 32 * 1024;

/// Error of a connection, or of a request sent on it.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    /// The connection could not be opened, so nothing was sent.
    #[error("cannot connect to {address}: {reason}")]
    Connect {
        /// Address of the server.
        address: SocketAddr,
        /// Description of the error.
        reason: String,
    },
    /// The connection was not opened in time, so nothing was sent.
    #[error("cannot connect to {address}: no answer within {timeout:?}")]
    ConnectTimeout {
        /// Address of the server.
        address: SocketAddr,
        /// The timeout.
        timeout: Duration,
    },
    /// The connection broke before a complete response. The server may have
    /// received the request.
    #[error("no answer: {0}")]
    Broken(#[from] hyper::Error),
}

/// How a response shows where its body ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// By a length in its head.
    Length,
    /// By a last chunk.
    Chunked,
    /// By a flag on the last frame of an HTTP/2 stream. A sender that fails resets
    /// the stream.
    EndStream,
    /// By the end of the connection. A body that the server broke off looks like
    /// a complete one, unless the connection was reset.
    UntilClose,
}

impl BodyFraming {
    /// Returns the framing of a response with these headers.
    pub fn of(headers: &HeaderMap) -> Self {
        let encoding = headers
            .get_all(header::TRANSFER_ENCODING)
            .iter()
            .next_back();
        let codings = encoding.map(|value| value.to_str().unwrap_or_default());
        let last = codings.map(|codings| codings.rsplit(',').next().unwrap_or_default());
        match last {
            Some(last) if last.trim().eq_ignore_ascii_case("chunked") => Self::Chunked,
            None if headers.contains_key(header::CONTENT_LENGTH) => Self::Length,
            _ => Self::UntilClose,
        }
    }
}

impl fmt::Display for BodyFraming {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::EndStream => "end of stream",
            Self::UntilClose => "until close",
        })
    }
}

/// Timeouts of a connection.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionTimeouts {
    /// Timeout for connecting.
    pub connect: Duration,
    /// Time for which sent bytes may stay unacknowledged before the connection
    /// is closed.
    pub unacknowledged: Duration,
}

/// An open connection. Dropping it closes the connection, also while a request
/// is in progress.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: Driver,
    allowance: Allowance,
}

/// The task that reads and writes a connection. Dropping it closes the
/// connection.
#[derive(Debug)]
pub struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection can't be opened within its timeout.
    pub async fn open(
        address: SocketAddr,
        timeouts: ConnectionTimeouts,
    ) -> Result<Self, ConnectionError> {
        let connect_error = |reason: String| ConnectionError::Connect { address, reason };
        let stream = tokio::time::timeout(timeouts.connect, TcpStream::connect(address))
            .await
            .map_err(|_| ConnectionError::ConnectTimeout {
                address,
                timeout: timeouts.connect,
            })?
            .map_err(|e| connect_error(e.to_string()))?;
        stream
            .set_nodelay(true)
            .map_err(|e| connect_error(e.to_string()))?;
        SockRef::from(&stream)
            .set_tcp_user_timeout(Some(timeouts.unacknowledged))
            .map_err(|e| connect_error(e.to_string()))?;
        let allowance = Allowance::default();
        let stream = LimitedStream::new(stream, allowance.clone());
        let (sender, connection) = hyper::client::conn::http1::Builder::new()
            .max_buf_size(MAX_READ_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|e| connect_error(e.to_string()))?;
        // Errors of the connection are also returned by the request in
        // progress, so the driver's result is ignored.
        let driver = Driver(tokio::spawn(async move {
            let _ = connection.await;
        }));
        Ok(Self {
            sender,
            driver,
            allowance,
        })
    }

    /// Returns whether the connection can still send a request.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed() && !self.driver.0.is_finished()
    }

    /// Sends a request and returns the response with its body unread.
    ///
    /// # Errors
    ///
    /// Returns an error if no response head arrived. The server may have
    /// received the request.
    pub async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<ResponseBody>, ConnectionError> {
        self.sender.ready().await?;
        self.allowance.restart();
        let resp = self.sender.send_request(req).await?;
        Ok(resp.map(|body| ResponseBody::new(body, self.allowance.clone())))
    }

    /// Returns the driver, which keeps the connection open until the body of a
    /// response has been read.
    pub fn into_driver(self) -> Driver {
        self.driver
    }
}
