//! Client for a caller's program.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use http::{HeaderMap, HeaderName, HeaderValue, Method};
use radishhaven_core::{
    ids::{PipelineId, RequestId},
    outcome::Outcome,
};
use radishhaven_proto::caller::{
    COMPLETIONS_PATH, Completion, CompletionRequest, DEADLINE_HEADER, DELTA_EVENT, DIRECTORY_PATH,
    DONE_EVENT, Delta, Directory, ErrorBody, IDEMPOTENT_HEADER, IssuedIds, PRIORITY_HEADER,
    REQUEST_ID_HEADER, REQUEST_IDS_PATH, REQUESTS_PATH, RequestStatus, SERVICES_PATH,
    ServiceAnswer,
};
use sha2::{Digest, Sha256};

use crate::{
    json::{HttpError, JsonClient, read_response_body},
    sse::EventReader,
};

/// Timeout of requests that a node answers from its own state.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a status request, for which a node may have to query other nodes.
const STATUS_TIMEOUT: Duration = Duration::from_secs(10);

/// Options of a request, which are sent as headers.
#[derive(Debug, Clone, Default)]
pub struct RequestOptions {
    /// Id of the request.
    pub id: Option<RequestId>,
    /// Time in milliseconds after which the caller no longer needs the
    /// response.
    pub deadline_ms: Option<u64>,
    /// Priority of the request.
    pub priority: Option<u8>,
    /// Whether the request may run more than once.
    pub idempotent: Option<bool>,
}

/// The parts of a response that a caller received.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// Id of the request, if the response contains it.
    pub id: Option<RequestId>,
    /// Outcome of the request. It is `None` if the response was incomplete.
    pub outcome: Option<Outcome>,
    /// Text of the completion.
    pub text: String,
    /// Result of a service.
    pub body: Option<serde_json::Value>,
    /// Error message of the node, for people.
    pub message: String,
    /// Delay after which the node allows a retry.
    pub retry_after: Option<Duration>,
    /// Time from sending the request to the first token.
    pub first_token: Option<Duration>,
    /// Times between tokens.
    pub gaps: Vec<Duration>,
}

/// Error of a request that got no response.
#[derive(Debug, thiserror::Error)]
pub enum CallerError {
    /// The HTTP request failed.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// A header value is invalid.
    #[error("a header value is not valid: {0}")]
    Header(#[from] http::header::InvalidHeaderValue),
}

/// A client that sends the requests of one organisation.
#[derive(Debug, Clone)]
pub struct Caller {
    http: JsonClient,
    token: String,
}

impl Caller {
    /// Creates a caller that authenticates with `token`.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP library rejects the client's settings.
    pub fn new(token: &str) -> Result<Self, CallerError> {
        Ok(Self {
            http: JsonClient::new()?,
            token: token.to_owned(),
        })
    }

    /// Requests the addresses of the entry nodes from a node.
    ///
    /// # Errors
    ///
    /// Returns an error if the node does not respond, or refuses the request.
    pub async fn directory(&self, node: SocketAddr) -> Result<Directory, CallerError> {
        Ok(self.http.get(node, DIRECTORY_PATH, REQUEST_TIMEOUT).await?)
    }

    /// Requests new request ids from a node.
    ///
    /// # Errors
    ///
    /// Returns an error if the node does not respond, or refuses the request.
    pub async fn issue_ids(&self, node: SocketAddr, count: u32) -> Result<IssuedIds, CallerError> {
        let path = format!("{REQUEST_IDS_PATH}?count={count}");
        Ok(self.http.post(node, &path, &(), REQUEST_TIMEOUT).await?)
    }

    /// Requests a completion and reads its stream to the end.
    ///
    /// # Errors
    ///
    /// Returns an error if there was no response. If the stream breaks, the
    /// result is an answer without an outcome.
    pub async fn complete(
        &self,
        node: SocketAddr,
        options: &RequestOptions,
        model: &PipelineId,
        prompt: &str,
        max_tokens: u32,
    ) -> Result<Answer, CallerError> {
        let req = CompletionRequest {
            model: model.clone(),
            prompt: prompt.to_owned(),
            max_tokens,
            stream: true,
        };
        let body = serde_json::to_vec(&req).unwrap_or_default();
        let sent = Instant::now();
        let headers = self.headers(options)?;
        let resp = self
            .http
            .send(Method::POST, node, COMPLETIONS_PATH, headers, body)
            .await?;
        let mut answer = Answer::from_headers(resp.headers());
        if !resp.status().is_success() {
            let body = read_response_body(resp.into_body()).await?;
            return Ok(answer.with_error(&body));
        }
        let mut events = EventReader::new(resp.into_body());
        let mut last = sent;
        while let Ok(Some(event)) = events.next().await {
            match event.name.as_str() {
                DELTA_EVENT => last = answer.apply_delta(&event.data, sent, last),
                DONE_EVENT => answer.apply_done(&event.data),
                _ => {}
            }
        }
        Ok(answer)
    }

    /// Calls a plain service.
    ///
    /// # Errors
    ///
    /// Returns an error if there was no complete response.
    pub async fn call(
        &self,
        node: SocketAddr,
        options: &RequestOptions,
        service: &str,
        operation: &str,
        body: &serde_json::Value,
    ) -> Result<Answer, CallerError> {
        let path = format!("{SERVICES_PATH}{service}/{operation}");
        let body = serde_json::to_vec(body).unwrap_or_default();
        let headers = self.headers(options)?;
        let resp = self
            .http
            .send(Method::POST, node, &path, headers, body)
            .await?;
        let mut answer = Answer::from_headers(resp.headers());
        let body = read_response_body(resp.into_body()).await?;
        let Ok(reply) = serde_json::from_slice::<ServiceAnswer>(&body) else {
            return Ok(answer.with_error(&body));
        };
        answer.id = Some(reply.id);
        answer.outcome = Some(reply.outcome);
        answer.body = reply.body;
        Ok(answer)
    }

    /// Requests the status of a request from a node.
    ///
    /// # Errors
    ///
    /// Returns an error if the node does not respond, or refuses the request.
    pub async fn status(
        &self,
        node: SocketAddr,
        id: &RequestId,
    ) -> Result<RequestStatus, CallerError> {
        let path = format!("{REQUESTS_PATH}{id}");
        Ok(self.http.get(node, &path, STATUS_TIMEOUT).await?)
    }

    fn headers(&self, options: &RequestOptions) -> Result<HeaderMap, CallerError> {
        let mut headers = HeaderMap::new();
        let mut insert = |name: &'static str, value: Option<String>| -> Result<(), CallerError> {
            if let Some(value) = value {
                headers.insert(
                    HeaderName::from_static(name),
                    HeaderValue::from_str(&value)?,
                );
            }
            Ok(())
        };
        insert("authorization", Some(format!("Bearer {}", self.token)))?;
        insert(
            REQUEST_ID_HEADER,
            options.id.as_ref().map(ToString::to_string),
        )?;
        insert(
            DEADLINE_HEADER,
            options.deadline_ms.map(|ms| ms.to_string()),
        )?;
        insert(PRIORITY_HEADER, options.priority.map(|p| p.to_string()))?;
        insert(
            IDEMPOTENT_HEADER,
            options.idempotent.map(|idempotent| idempotent.to_string()),
        )?;
        Ok(headers)
    }
}

impl Answer {
    fn from_headers(headers: &HeaderMap) -> Self {
        let header_text = |name: &str| headers.get(name).and_then(|v| v.to_str().ok());
        Self {
            id: header_text(REQUEST_ID_HEADER).and_then(|id| id.parse().ok()),
            outcome: None,
            text: String::new(),
            body: None,
            message: String::new(),
            retry_after: header_text("retry-after-ms")
                .and_then(|ms| ms.parse().ok())
                .map(Duration::from_millis),
            first_token: None,
            gaps: Vec::new(),
        }
    }

    fn with_error(mut self, body: &[u8]) -> Self {
        if let Ok(error) = serde_json::from_slice::<ErrorBody>(body) {
            self.outcome = Some(error.outcome);
            self.message = error.message;
        }
        self
    }

    /// Appends the text of a delta event, and returns the time at which it
    /// arrived.
    fn apply_delta(&mut self, data: &str, sent: Instant, last: Instant) -> Instant {
        let now = Instant::now();
        if let Ok(delta) = serde_json::from_str::<Delta>(data) {
            match self.first_token {
                None => self.first_token = Some(now - sent),
                Some(_) => self.gaps.push(now - last),
            }
            self.text.push_str(&delta.text);
        }
        now
    }

    /// Applies the event that ends a stream. The outcome is set only if the
    /// digest matches the received text, so a stream with missing text has no
    /// outcome.
    fn apply_done(&mut self, data: &str) {
        let Ok(done) = serde_json::from_str::<Completion>(data) else {
            return;
        };
        let digest: String = Sha256::digest(self.text.as_bytes())
            .iter()
            .map(|b| format!("{b:02x}"))
            .collect();
        if digest == done.digest {
            self.id = Some(done.id);
            self.outcome = Some(done.outcome);
        }
    }
}
