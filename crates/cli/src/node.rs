//! Client for the HTTP interface of a node, and the mapping of its errors to exit
//! codes.

use std::{net::SocketAddr, process::ExitCode, time::Duration};

use http::{
    HeaderMap, HeaderValue, Method, StatusCode,
    header::{AUTHORIZATION, InvalidHeaderValue},
};
use radishhaven_client::{HttpError, JsonClient};
use radishhaven_core::language::LanguageError;
use radishhaven_proto::operator::LanguageErrors;
use serde::de::DeserializeOwned;

use crate::exit;

/// Time within which a node must respond.
const NODE_TIMEOUT: Duration = Duration::from_secs(15);

/// Errors of requests to a node.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// The request failed.
    #[error("node {address}: {source}")]
    Http {
        /// The address of the node.
        address: SocketAddr,
        /// The error of the HTTP client.
        source: HttpError,
    },
    /// The node refused the token.
    #[error("node {0} refused the token; see --token-file")]
    NotPermitted(SocketAddr),
    /// The node rejected the text because of errors in it.
    #[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
    InvalidText(Vec<LanguageError>),
}

impl NodeError {
    /// Prints the error to stderr and returns its exit code.
    pub fn report(&self) -> ExitCode {
        eprintln!("radishhaven: {self}");
        ExitCode::from(match self {
            Self::Http { .. } => exit::UNREACHABLE,
            Self::NotPermitted(_) => exit::NOT_PERMITTED,
            Self::InvalidText(_) => exit::BAD_INPUT,
        })
    }
}

/// Client for one node.
#[derive(Debug)]
pub struct NodeClient {
    http: JsonClient,
    address: SocketAddr,
    headers: HeaderMap,
}

/// Errors of [`NodeClient::new`].
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The HTTP client could not be created.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The token contains characters that are not allowed in an HTTP header.
    #[error("the token is not valid: {0}")]
    Token(#[from] InvalidHeaderValue),
}

impl NodeClient {
    /// Creates a client that sends the token, if there is one, as a bearer token.
    ///
    /// # Errors
    ///
    /// Returns an error if the token is not valid in a header, or if the HTTP
    /// client cannot be created.
    pub fn new(address: SocketAddr, token: Option<&str>) -> Result<Self, ClientError> {
        let mut headers = HeaderMap::new();
        if let Some(token) = token {
            let mut value = HeaderValue::from_str(&format!("Bearer {}", token.trim()))?;
            value.set_sensitive(true);
            headers.insert(AUTHORIZATION, value);
        }
        Ok(Self {
            http: JsonClient::new()?,
            address,
            headers,
        })
    }

    /// Sends a GET request and decodes the JSON response.
    ///
    /// # Errors
    ///
    /// Returns an error if the request fails, or if the node refuses the token or
    /// rejects the request.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, NodeError> {
        self.send(Method::GET, path, "").await
    }

    /// Sends a text in a POST request and decodes the JSON response.
    ///
    /// # Errors
    ///
    /// Returns an error if the request fails, or if the node refuses the token or
    /// rejects the text.
    pub async fn post<T: DeserializeOwned>(&self, path: &str, text: &str) -> Result<T, NodeError> {
        self.send(Method::POST, path, text).await
    }

    async fn send<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        text: &str,
    ) -> Result<T, NodeError> {
        let (headers, body) = (self.headers.clone(), text.as_bytes().to_vec());
        let response =
            self.http
                .exchange_with(method, self.address, path, headers, body, NODE_TIMEOUT);
        response.await.map_err(|source| self.to_node_error(source))
    }

    fn to_node_error(&self, source: HttpError) -> NodeError {
        let address = self.address;
        if let HttpError::Status { status, body } = &source {
            if *status == StatusCode::UNAUTHORIZED {
                return NodeError::NotPermitted(address);
            }
            if let Ok(LanguageErrors { errors }) = serde_json::from_slice(body) {
                return NodeError::InvalidText(errors);
            }
        }
        NodeError::Http { address, source }
    }
}
