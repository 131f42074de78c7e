//! One HTTP/1.1 connection whose fate the caller controls.
//!
//! A pool decides by itself which connection carries a request and whether it
//! sends it again. Where a request may run at most once, and where bytes after
//! an answer belong to no request, the caller has to decide that; see
//! `docs/design/platform.md`.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1::SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::{net::TcpStream, task::JoinHandle};

/// Why a connection or an exchange on it failed.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    /// No connection was made, so nothing was sent.
    #[error("cannot connect to {address}: {reason}")]
    Connect {
        /// The other side.
        address: SocketAddr,
        /// What went wrong.
        reason: String,
    },
    /// The request may have been seen; no whole answer came.
    #[error("no answer: {0}")]
    Broken(#[from] hyper::Error),
}

/// Times that bound a connection.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionTimeouts {
    /// Longest time to connect.
    pub connect: Duration,
    /// Longest time that sent bytes may stay without an acknowledgement.
    pub unacknowledged: Duration,
}

/// An open connection; dropping it closes it, whatever is under way.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: Driver,
}

/// The task that moves a connection's bytes; dropping it closes the connection.
#[derive(Debug)]
pub struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Connection {
    /// Connects.
    ///
    /// # Errors
    ///
    /// Fails if no connection is made within its time.
    pub async fn open(
        address: SocketAddr,
        timeouts: ConnectionTimeouts,
    ) -> Result<Self, ConnectionError> {
        let failed = |reason: String| ConnectionError::Connect { address, reason };
        let stream = tokio::time::timeout(timeouts.connect, TcpStream::connect(address))
            .await
            .map_err(|_| failed(format!("no answer within {:?}", timeouts.connect)))?
            .map_err(|e| failed(e.to_string()))?;
        stream
            .set_nodelay(true)
            .map_err(|e| failed(e.to_string()))?;
        SockRef::from(&stream)
            .set_tcp_user_timeout(Some(timeouts.unacknowledged))
            .map_err(|e| failed(e.to_string()))?;
        let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|e| failed(e.to_string()))?;
        // The outcome of each exchange tells of errors; the driver has none of
        // its own to add.
        let driver = Driver(tokio::spawn(async move {
            let _ = connection.await;
        }));
        Ok(Self { sender, driver })
    }

    /// Tells whether the connection still takes a request.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed() && !self.driver.0.is_finished()
    }

    /// Sends a request and returns the answer with its body unread.
    ///
    /// # Errors
    ///
    /// Fails if no answer's head came; the request may have been seen.
    pub async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ConnectionError> {
        self.sender.ready().await?;
        Ok(self.sender.send_request(req).await?)
    }

    /// Leaves only what keeps the connection open, for a body that is read
    /// later.
    pub fn into_driver(self) -> Driver {
        self.driver
    }
}
