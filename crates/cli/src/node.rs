//! Exchanges with a node, and what their failures mean for a script.

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

/// Time within which a node should answer.
const NODE_TIMEOUT: Duration = Duration::from_secs(15);

/// Why a node gave no value.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// The node can't be reached.
    #[error("node {address}: {source}")]
    Http {
        /// The node's address.
        address: SocketAddr,
        /// The exchange's error.
        source: HttpError,
    },
    /// The node refused the token.
    #[error("node {0} refused the token; see --token-file")]
    NotPermitted(SocketAddr),
    /// The node found mistakes.
    #[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
    Mistakes(Vec<LanguageError>),
}

impl NodeError {
    /// Prints the error and returns its exit code.
    pub fn report(&self) -> ExitCode {
        eprintln!("radishhaven: {self}");
        ExitCode::from(match self {
            Self::Http { .. } => exit::UNREACHABLE,
            Self::NotPermitted(_) => exit::NOT_PERMITTED,
            Self::Mistakes(_) => exit::BAD_INPUT,
        })
    }
}

/// One node, as the commands see it.
#[derive(Debug)]
pub struct NodeClient {
    http: JsonClient,
    address: SocketAddr,
    headers: HeaderMap,
}

/// Why a client can't be made.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The HTTP library refuses its settings.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The token can't be sent.
    #[error("the token is not valid: {0}")]
    Token(#[from] InvalidHeaderValue),
}

impl NodeClient {
    /// Makes a client that shows a token, if there is one.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
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

    /// Gets a value.
    ///
    /// # Errors
    ///
    /// See [`NodeError`].
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, NodeError> {
        self.exchange(Method::GET, path, "").await
    }

    /// Posts a text and reads the answer.
    ///
    /// # Errors
    ///
    /// See [`NodeError`].
    pub async fn post<T: DeserializeOwned>(&self, path: &str, text: &str) -> Result<T, NodeError> {
        self.exchange(Method::POST, path, text).await
    }

    async fn exchange<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        text: &str,
    ) -> Result<T, NodeError> {
        let (headers, body) = (self.headers.clone(), text.as_bytes().to_vec());
        let answer =
            self.http
                .exchange_with(method, self.address, path, headers, body, NODE_TIMEOUT);
        answer.await.map_err(|source| self.error(source))
    }

    fn error(&self, source: HttpError) -> NodeError {
        let address = self.address;
        if let HttpError::Status { status, body } = &source {
            if *status == StatusCode::UNAUTHORIZED {
                return NodeError::NotPermitted(address);
            }
            if let Ok(LanguageErrors { errors }) = serde_json::from_slice(body) {
                return NodeError::Mistakes(errors);
            }
        }
        NodeError::Http { address, source }
    }
}
