//! A client for JSON over HTTP with timeouts and size limits.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use serde::{Serialize, de::DeserializeOwned};
use volo_http::{
    body::Body,
    client::Client,
    error::client::{ClientError, ErrorKind},
    response::Response,
};

use crate::body::read_body;

/// Maximum size in bytes of a body that is read.
pub const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
/// Timeout for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Error of a request.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// The request was not sent, so the server has not received it.
    #[error("not sent: {0}")]
    NotSent(String),
    /// No complete response arrived. The server may have received the request.
    #[error("no answer: {0}")]
    NoResponse(String),
    /// The server responded with an error status.
    #[error("status {status}: {}", String::from_utf8_lossy(.body))]
    Status {
        /// Status of the response.
        status: StatusCode,
        /// Body of the response.
        body: Bytes,
    },
    /// The response does not follow the protocol.
    #[error("malformed answer: {0}")]
    Malformed(String),
}

impl From<ClientError> for HttpError {
    fn from(error: ClientError) -> Self {
        match error.kind() {
            ErrorKind::Connect | ErrorKind::Builder | ErrorKind::Context => {
                Self::NotSent(error.to_string())
            }
            _ => Self::NoResponse(error.to_string()),
        }
    }
}

/// A client that sends JSON requests to IP addresses and decodes JSON
/// responses.
#[derive(Clone)]
pub struct JsonClient {
    client: Client,
}

impl std::fmt::Debug for JsonClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("JsonClient")
    }
}

impl JsonClient {
    /// Creates a client that reuses idle connections.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP library rejects the client's settings.
    pub fn new() -> Result<Self, HttpError> {
        Self::with_max_idle(64)
    }

    /// Creates a client that opens a connection for each request. If the server
    /// closes an idle connection just as it is reused, the outcome of the
    /// request is unknown; a new connection avoids that.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP library rejects the client's settings.
    pub fn unpooled() -> Result<Self, HttpError> {
        Self::with_max_idle(0)
    }

    fn with_max_idle(max_idle: usize) -> Result<Self, HttpError> {
        let mut builder = Client::builder();
        builder
            .set_connect_timeout(CONNECT_TIMEOUT)
            .set_max_idle_per_host(max_idle);
        Ok(Self {
            client: builder.build()?,
        })
    }

    /// Sends a request and returns the response with its body unread.
    ///
    /// # Errors
    ///
    /// Returns an error if no response head arrived. An error status is
    /// returned as a response.
    pub async fn send(
        &self,
        method: Method,
        addr: SocketAddr,
        path: &str,
        headers: HeaderMap,
        body: Vec<u8>,
    ) -> Result<Response, HttpError> {
        let uri = format!("http://{addr}{path}");
        let mut req = self.client.request(method, uri).data(body);
        req.headers_mut().extend(headers);
        Ok(req.send().await?)
    }

    async fn exchange<T: DeserializeOwned>(
        &self,
        method: Method,
        addr: SocketAddr,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<T, HttpError> {
        let headers = HeaderMap::new();
        self.exchange_with(method, addr, path, headers, body, timeout)
            .await
    }

    /// Sends bytes with headers and decodes the JSON response. An empty body is
    /// decoded as `null`.
    ///
    /// # Errors
    ///
    /// See [`HttpError`].
    pub async fn exchange_with<T: DeserializeOwned>(
        &self,
        method: Method,
        addr: SocketAddr,
        path: &str,
        headers: HeaderMap,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<T, HttpError> {
        let exchange = self.exchange_bytes(method, addr, path, headers, body, timeout);
        let body = exchange.await?;
        let body: &[u8] = if body.is_empty() { b"null" } else { &body };
        serde_json::from_slice(body).map_err(|e| HttpError::Malformed(e.to_string()))
    }

    async fn exchange_bytes(
        &self,
        method: Method,
        addr: SocketAddr,
        path: &str,
        headers: HeaderMap,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<Bytes, HttpError> {
        let exchange = async {
            let resp = self.send(method, addr, path, headers, body).await?;
            let status = resp.status();
            let body = read_response_body(resp.into_body()).await?;
            match status.is_success() {
                true => Ok(body),
                false => Err(HttpError::Status { status, body }),
            }
        };
        match tokio::time::timeout(timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(HttpError::NoResponse(format!(
                "no answer within {timeout:?}"
            ))),
        }
    }

    /// Sends a GET request and decodes the JSON response.
    ///
    /// # Errors
    ///
    /// See [`HttpError`].
    pub async fn get<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<T, HttpError> {
        self.exchange(Method::GET, addr, path, Vec::new(), timeout)
            .await
    }

    /// Sends a GET request and returns the body of the response unchanged.
    ///
    /// # Errors
    ///
    /// See [`HttpError`].
    pub async fn get_bytes(
        &self,
        addr: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<Bytes, HttpError> {
        let headers = HeaderMap::new();
        self.exchange_bytes(Method::GET, addr, path, headers, Vec::new(), timeout)
            .await
    }

    /// Sends a POST request with a JSON body and decodes the JSON response.
    ///
    /// # Errors
    ///
    /// See [`HttpError`].
    pub async fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        body: &B,
        timeout: Duration,
    ) -> Result<T, HttpError> {
        let body = serde_json::to_vec(body).map_err(|e| HttpError::NotSent(e.to_string()))?;
        self.exchange(Method::POST, addr, path, body, timeout).await
    }
}

/// Reads a body of at most [`MAX_BODY_BYTES`].
pub(crate) async fn read_response_body(body: Body) -> Result<Bytes, HttpError> {
    let read = read_body(body, MAX_BODY_BYTES).await;
    read.map_err(|e| HttpError::NoResponse(e.to_string()))
}
