//! What a caller's program needs: an address to use, and whole answers.

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
    json::{HttpError, JsonClient, read_body},
    sse::EventReader,
};

/// Time within which a node answers what costs it no waiting.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Time within which a node finds out what became of a request.
const STATUS_TIMEOUT: Duration = Duration::from_secs(10);

/// What a caller states beside the request itself.
#[derive(Debug, Clone, Default)]
pub struct RequestOptions {
    /// The request's id.
    pub id: Option<RequestId>,
    /// Milliseconds in which the answer is of use.
    pub deadline_ms: Option<u64>,
    /// The priority.
    pub priority: Option<u8>,
    /// Whether the request may run more than once.
    pub idempotent: Option<bool>,
}

/// What a caller saw of an answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// The request's id, if the node named one.
    pub id: Option<RequestId>,
    /// The outcome, if the answer told one; a cut answer tells none.
    pub outcome: Option<Outcome>,
    /// The text.
    pub text: String,
    /// A service's result.
    pub body: Option<serde_json::Value>,
    /// What the node said, for a person.
    pub message: String,
    /// How long the node asks to wait before another try.
    pub retry_after: Option<Duration>,
    /// Time from sending to the first token.
    pub first_token: Option<Duration>,
    /// Times between tokens.
    pub gaps: Vec<Duration>,
}

/// Why a caller has no answer at all.
#[derive(Debug, thiserror::Error)]
pub enum CallerError {
    /// The exchange failed.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// A header could not be written.
    #[error("a header value is not valid: {0}")]
    Header(#[from] http::header::InvalidHeaderValue),
}

/// A caller of one organisation.
#[derive(Debug, Clone)]
pub struct Caller {
    http: JsonClient,
    token: String,
}

impl Caller {
    /// Makes a caller that shows `token`.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP library refuses its settings.
    pub fn new(token: &str) -> Result<Self, CallerError> {
        Ok(Self {
            http: JsonClient::new()?,
            token: token.to_owned(),
        })
    }

    /// Asks a node which addresses to use.
    ///
    /// # Errors
    ///
    /// Fails if the node does not answer.
    pub async fn directory(&self, node: SocketAddr) -> Result<Directory, CallerError> {
        Ok(self.http.get(node, DIRECTORY_PATH, REQUEST_TIMEOUT).await?)
    }

    /// Asks a node for fresh request ids.
    ///
    /// # Errors
    ///
    /// Fails if the node does not answer.
    pub async fn issue_ids(&self, node: SocketAddr, count: u32) -> Result<IssuedIds, CallerError> {
        let path = format!("{REQUEST_IDS_PATH}?count={count}");
        Ok(self.http.post(node, &path, &(), REQUEST_TIMEOUT).await?)
    }

    /// Asks for a completion and reads its stream to the end.
    ///
    /// # Errors
    ///
    /// Fails if nothing came back; a stream that was cut gives an answer
    /// without an outcome.
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
            let body = read_body(resp.into_body()).await?;
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
    /// Fails if nothing came back.
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
        let body = read_body(resp.into_body()).await?;
        let Ok(reply) = serde_json::from_slice::<ServiceAnswer>(&body) else {
            return Ok(answer.with_error(&body));
        };
        answer.id = Some(reply.id);
        answer.outcome = Some(reply.outcome);
        answer.body = reply.body;
        Ok(answer)
    }

    /// Asks a node what became of a request.
    ///
    /// # Errors
    ///
    /// Fails if the node does not answer.
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
            options.idempotent.map(|yes| yes.to_string()),
        )?;
        Ok(headers)
    }
}

impl Answer {
    fn from_headers(headers: &HeaderMap) -> Self {
        let text = |name: &str| headers.get(name).and_then(|v| v.to_str().ok());
        Self {
            id: text(REQUEST_ID_HEADER).and_then(|id| id.parse().ok()),
            outcome: None,
            text: String::new(),
            body: None,
            message: String::new(),
            retry_after: text("retry-after-ms")
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
