//! A single HTTP/1.1 connection without pooling and retries.
//!
//! A connection pool selects the connection of a request and may send the
//! request again. A request that may run at most once must not be sent twice,
//! and bytes that follow a response must not be read as the response to another
//! request. The user of a [`Connection`] therefore decides both; see
//! `docs/design/platform.md`.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1::SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::{net::TcpStream, task::JoinHandle};

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
    /// The connection broke before a complete response. The server may have
    /// received the request.
    #[error("no answer: {0}")]
    Broken(#[from] hyper::Error),
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
            .map_err(|_| connect_error(format!("no answer within {:?}", timeouts.connect)))?
            .map_err(|e| connect_error(e.to_string()))?;
        stream
            .set_nodelay(true)
            .map_err(|e| connect_error(e.to_string()))?;
        SockRef::from(&stream)
            .set_tcp_user_timeout(Some(timeouts.unacknowledged))
            .map_err(|e| connect_error(e.to_string()))?;
        let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|e| connect_error(e.to_string()))?;
        // Errors of the connection are also returned by the request in
        // progress, so the driver's result is ignored.
        let driver = Driver(tokio::spawn(async move {
            let _ = connection.await;
        }));
        Ok(Self { sender, driver })
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
    ) -> Result<Response<Incoming>, ConnectionError> {
        self.sender.ready().await?;
        Ok(self.sender.send_request(req).await?)
    }

    /// Returns the driver, which keeps the connection open until the body of a
    /// response has been read.
    pub fn into_driver(self) -> Driver {
        self.driver
    }
}
