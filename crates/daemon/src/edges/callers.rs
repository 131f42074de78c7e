//! Serves callers over HTTP; the protocol is `docs/CALLERS.md`.

use std::{convert::Infallible, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, StatusCode, header::AUTHORIZATION};
use http_body::Frame;
use http_body_util::{BodyExt, Limited};
use radishhaven_core::{
    ids::{RequestId, RequestKey},
    message::{Demand, Done, Reply, Submission},
    node::Known,
    outcome::{NotRun, Outcome},
    systems::directory,
};
use radishhaven_proto::caller::{
    COMPLETIONS_PATH, Completion, CompletionRequest, DEADLINE_HEADER, DELTA_EVENT, DIRECTORY_PATH,
    DONE_EVENT, Delta, Directory, DirectoryNode, ErrorBody, IDEMPOTENT_HEADER, MintedIds,
    OUTCOME_HEADER, PRIORITY_HEADER, REQUEST_ID_HEADER, REQUEST_IDS_PATH, REQUESTS_PATH,
    RequestStatus, SERVICES_PATH, ServiceAnswer,
};
use serde::Serialize;
use sha2::{Digest, Sha256};
use tokio::{net::TcpListener, sync::mpsc};
use volo::{context::Context, net::Address, service::Service};
use volo_http::{body::Body, context::ServerContext, request::Request, response::Response};

use super::http::{json, query_value, serve as serve_http};
use crate::host::Host;

/// Largest body of a request, in bytes.
const MAX_REQUEST_BYTES: usize = 1024 * 1024;
/// Most ids that one call mints.
const MAX_MINTED_IDS: u32 = 1_000;
/// Header: milliseconds after which a rejected caller should ask again.
const RETRY_AFTER_MS_HEADER: &str = "retry-after-ms";

/// Serves callers until the process ends.
pub(crate) async fn serve(host: Arc<Host>, listener: TcpListener) {
    serve_http("callers", listener, Callers { host }).await;
}

struct Callers {
    host: Arc<Host>,
}

impl Service<ServerContext, Request> for Callers {
    type Response = Response;
    type Error = Infallible;

    async fn call(&self, cx: &mut ServerContext, req: Request) -> Result<Response, Infallible> {
        let caller = cx.rpc_info().caller().address();
        Ok(self
            .answer(req, caller)
            .await
            .unwrap_or_else(|refusal| refusal.response()))
    }
}

/// A request that never reaches the decisions.
struct Refusal {
    status: StatusCode,
    reason: NotRun,
    message: String,
}

impl Refusal {
    fn bad(message: impl Into<String>) -> Self {
        let message = message.into();
        Self {
            status: StatusCode::BAD_REQUEST,
            reason: NotRun::BadRequest,
            message,
        }
    }

    fn response(self) -> Response {
        let outcome = Outcome::NotRun(self.reason);
        json(
            self.status,
            &ErrorBody {
                outcome,
                message: self.message,
            },
        )
    }
}

impl Callers {
    async fn answer(&self, req: Request, caller: Option<Address>) -> Result<Response, Refusal> {
        let path = req.uri().path().to_owned();
        match (req.method(), path.as_str()) {
            (&Method::GET, DIRECTORY_PATH) => Ok(self.directory(req.headers(), caller)),
            (&Method::POST, REQUEST_IDS_PATH) => self.mint(req.uri().query()),
            (&Method::POST, COMPLETIONS_PATH) => self.complete(req).await,
            (&Method::POST, path) if path.starts_with(SERVICES_PATH) => {
                let target = path[SERVICES_PATH.len()..].to_owned();
                self.call_service(req, &target).await
            }
            (&Method::GET, path) if path.starts_with(REQUESTS_PATH) => {
                self.status(&path[REQUESTS_PATH.len()..]).await
            }
            _ => Err(Refusal {
                status: StatusCode::NOT_FOUND,
                reason: NotRun::BadRequest,
                message: "no such path".to_owned(),
            }),
        }
    }

    fn directory(&self, headers: &HeaderMap, caller: Option<Address>) -> Response {
        // Callers of one VM and organisation use the same nodes, whatever
        // port they come from; the token is only hashed.
        let mut caller = match caller {
            Some(Address::Ip(address)) => address.ip().to_string(),
            _ => String::new(),
        };
        if let Some(token) = headers.get(AUTHORIZATION).and_then(|v| v.to_str().ok()) {
            caller.push_str(token);
        }
        let answer = self.host.read(|node| {
            let cfg = node.configs();
            let nodes = directory::answer(node.tables(), &cfg.identity, &cfg.directory, &caller);
            let entry = |entry: directory::DirectoryEntry| DirectoryNode {
                vm: entry.vm,
                address: entry.address,
            };
            Directory {
                nodes: nodes.into_iter().map(entry).collect(),
                keep_ms: millis(node.keep()),
                revision: node.tables().config.revision(),
            }
        });
        json(StatusCode::OK, &answer)
    }

    fn mint(&self, query: Option<&str>) -> Result<Response, Refusal> {
        let count = match query_value(query, "count") {
            None => 1,
            Some(text) => text
                .parse()
                .ok()
                .filter(|n| (1..=MAX_MINTED_IDS).contains(n))
                .ok_or_else(|| Refusal::bad(format!("count is 1 to {MAX_MINTED_IDS}")))?,
        };
        let ids = (0..count).map(|_| self.host.mint()).collect();
        Ok(json(StatusCode::OK, &MintedIds { ids }))
    }

    async fn status(&self, id: &str) -> Result<Response, Refusal> {
        let id: RequestId = id
            .parse()
            .map_err(|e: radishhaven_core::ids::IdError| Refusal::bad(e.to_string()))?;
        let (key, rx) = self.host.inquire(id.clone());
        let mut answer = AnswerReader::new(self.host.clone(), key, rx);
        let outcome = match answer.next().await {
            Some(Reply::Status(Known::Open)) => None,
            Some(Reply::Status(Known::Ended(outcome))) => Some(outcome),
            _ => Some(Outcome::Unknown),
        };
        Ok(json(StatusCode::OK, &RequestStatus { id, outcome }))
    }

    async fn complete(&self, req: Request) -> Result<Response, Refusal> {
        let (head, body) = req.into_parts();
        let body = read_body(body).await?;
        let asked: CompletionRequest =
            serde_json::from_slice(&body).map_err(|e| Refusal::bad(e.to_string()))?;
        let demand = Demand::Completion {
            pipeline: asked.model,
            prompt: asked.prompt.bytes().map(u32::from).collect(),
            max_tokens: asked.max_tokens,
        };
        let mut answer = self.submit(&head.headers, demand)?;
        let id = match answer.next().await {
            Some(Reply::Admitted { id }) => id,
            Some(Reply::Done(done)) => return Ok(ended_before_start(done)),
            _ => return Ok(cut()),
        };
        if asked.stream {
            return Ok(stream(id, answer));
        }
        let mut text = String::new();
        while let Some(reply) = answer.next().await {
            match reply {
                Reply::Delta { text: part, .. } => text.push_str(&part),
                Reply::Done(done) => return Ok(whole(done, text)),
                Reply::Admitted { .. } | Reply::Status(_) => {}
            }
        }
        Ok(cut())
    }

    async fn call_service(&self, req: Request, target: &str) -> Result<Response, Refusal> {
        let (service, operation) = target
            .split_once('/')
            .ok_or_else(|| Refusal::bad("the path is /v1/services/NAME/OPERATION"))?;
        let service = service
            .parse()
            .map_err(|e: radishhaven_core::ids::IdError| Refusal::bad(e.to_string()))?;
        let operation = operation.to_owned();
        let (head, body) = req.into_parts();
        let body = read_body(body).await?;
        let body = serde_json::from_slice(&body).map_err(|e| Refusal::bad(e.to_string()))?;
        let mut answer = self.submit(
            &head.headers,
            Demand::Call {
                service,
                operation,
                body,
            },
        )?;
        while let Some(reply) = answer.next().await {
            if let Reply::Done(done) = reply {
                return Ok(called(done));
            }
        }
        Ok(cut())
    }

    fn submit(&self, headers: &HeaderMap, demand: Demand) -> Result<AnswerReader, Refusal> {
        let submission = Submission {
            token_sha256: token(headers)?,
            id: header(
                headers,
                REQUEST_ID_HEADER,
                "an id of 1 to 640 letters, digits or . _ : -",
            )?,
            priority: header(headers, PRIORITY_HEADER, "a number from 0 to 255")?,
            within: header(headers, DEADLINE_HEADER, "milliseconds")?.map(Duration::from_millis),
            idempotent: header(headers, IDEMPOTENT_HEADER, "true or false")?,
            demand,
        };
        let (key, rx) = self.host.submit(submission);
        Ok(AnswerReader::new(self.host.clone(), key, rx))
    }
}

/// Reads one answer; dropping it before the end says that the caller is gone.
struct AnswerReader {
    host: Arc<Host>,
    key: RequestKey,
    rx: mpsc::UnboundedReceiver<Reply>,
}

impl AnswerReader {
    fn new(host: Arc<Host>, key: RequestKey, rx: mpsc::UnboundedReceiver<Reply>) -> Self {
        host.answer_opened();
        Self { host, key, rx }
    }

    async fn next(&mut self) -> Option<Reply> {
        self.rx.recv().await
    }
}

impl Drop for AnswerReader {
    fn drop(&mut self) {
        self.host.caller_gone(self.key);
        self.host.answer_closed();
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

async fn read_body(body: Body) -> Result<Bytes, Refusal> {
    let whole = Limited::new(body, MAX_REQUEST_BYTES).collect().await;
    whole.map(|b| b.to_bytes()).map_err(|_| Refusal {
        status: StatusCode::PAYLOAD_TOO_LARGE,
        reason: NotRun::BadRequest,
        message: format!("the body broke off or has more than {MAX_REQUEST_BYTES} bytes"),
    })
}

fn token(headers: &HeaderMap) -> Result<[u8; 32], Refusal> {
    let value = headers.get(AUTHORIZATION).and_then(|v| v.to_str().ok());
    let token = value
        .and_then(|v| v.strip_prefix("Bearer "))
        .ok_or_else(|| Refusal {
            status: StatusCode::UNAUTHORIZED,
            reason: NotRun::Unauthorised,
            message: "a bearer token is needed".to_owned(),
        })?;
    Ok(Sha256::digest(token.as_bytes()).into())
}

fn header<T: std::str::FromStr>(
    headers: &HeaderMap,
    name: &str,
    allowed: &str,
) -> Result<Option<T>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().and_then(|v| v.parse().ok());
    parsed
        .map(Some)
        .ok_or_else(|| Refusal::bad(format!("header {name}: allowed is {allowed}")))
}

fn status_of(outcome: Outcome) -> StatusCode {
    match outcome {
        Outcome::Completed => StatusCode::OK,
        Outcome::NotRun(NotRun::OverLimit) => StatusCode::TOO_MANY_REQUESTS,
        Outcome::NotRun(NotRun::BadRequest) => StatusCode::BAD_REQUEST,
        Outcome::NotRun(NotRun::Unauthorised) => StatusCode::UNAUTHORIZED,
        Outcome::NotRun(_) => StatusCode::SERVICE_UNAVAILABLE,
        Outcome::Failed => StatusCode::BAD_GATEWAY,
        Outcome::Unknown => StatusCode::GATEWAY_TIMEOUT,
    }
}

fn finish(mut resp: Response, done: &Done) -> Response {
    let mut put = |name: &'static str, value: String| {
        if let Ok(value) = HeaderValue::from_str(&value) {
            resp.headers_mut().insert(name, value);
        }
    };
    put(OUTCOME_HEADER, done.outcome.kind().to_owned());
    if let Some(id) = &done.id {
        put(REQUEST_ID_HEADER, id.to_string());
    }
    if let Some(after) = done.retry_after {
        put(RETRY_AFTER_MS_HEADER, millis(after).to_string());
        put("retry-after", after.as_secs_f64().ceil().to_string());
    }
    resp
}

fn ended_before_start(done: Done) -> Response {
    let body = ErrorBody {
        outcome: done.outcome,
        message: done.message.clone(),
    };
    finish(json(status_of(done.outcome), &body), &done)
}

/// The node is ending before it could decide; the caller sees no outcome.
fn cut() -> Response {
    let outcome = Outcome::Unknown;
    let message = "the node is ending".to_owned();
    json(StatusCode::GATEWAY_TIMEOUT, &ErrorBody { outcome, message })
}

fn whole(done: Done, text: String) -> Response {
    let Some(id) = done.id.clone() else {
        return ended_before_start(done);
    };
    let (outcome, tokens, digest) = (done.outcome, done.tokens, done.digest.clone());
    if outcome != Outcome::Completed {
        return ended_before_start(done);
    }
    let body = Completion {
        id,
        outcome,
        text: Some(text),
        tokens,
        digest,
    };
    finish(json(StatusCode::OK, &body), &done)
}

fn called(done: Done) -> Response {
    let Some(id) = done.id.clone() else {
        return ended_before_start(done);
    };
    if done.outcome != Outcome::Completed {
        return ended_before_start(done);
    }
    let body = ServiceAnswer {
        id,
        outcome: done.outcome,
        body: done.body.clone(),
    };
    finish(json(StatusCode::OK, &body), &done)
}

fn event<T: Serialize>(name: &str, value: &T) -> Frame<Bytes> {
    let data = serde_json::to_string(value).unwrap_or_default();
    Frame::data(Bytes::from(format!("event: {name}\ndata: {data}\n\n")))
}

fn stream(id: RequestId, answer: AnswerReader) -> Response {
    let header_id = HeaderValue::from_str(id.as_str());
    let parts =
        futures_util::stream::unfold((answer, id, false), |(mut answer, id, over)| async move {
            if over {
                return None;
            }
            let (frame, over) = match answer.next().await? {
                Reply::Delta { index, text } => (
                    event(
                        DELTA_EVENT,
                        &Delta {
                            id: id.clone(),
                            index,
                            text,
                        },
                    ),
                    false,
                ),
                Reply::Done(done) => (event(DONE_EVENT, &last_event(&id, done)), true),
                Reply::Admitted { .. } | Reply::Status(_) => return None,
            };
            Some((Ok(frame), (answer, id, over)))
        });
    let mut resp = Response::new(Body::from_stream(SyncStream::new(parts)));
    let headers = resp.headers_mut();
    headers.insert(
        "content-type",
        HeaderValue::from_static("text/event-stream"),
    );
    headers.insert("cache-control", HeaderValue::from_static("no-store"));
    if let Ok(value) = header_id {
        headers.insert(REQUEST_ID_HEADER, value);
    }
    resp
}

fn last_event(id: &RequestId, done: Done) -> Completion {
    Completion {
        id: id.clone(),
        outcome: done.outcome,
        text: None,
        tokens: done.tokens,
        digest: done.digest,
    }
}

type Part = Result<Frame<Bytes>, Box<dyn std::error::Error + Send + Sync>>;

/// The HTTP library asks for a stream that is `Sync`; a lock makes it so.
struct SyncStream {
    inner: std::sync::Mutex<std::pin::Pin<Box<dyn futures_util::Stream<Item = Part> + Send>>>,
}

impl SyncStream {
    fn new(inner: impl futures_util::Stream<Item = Part> + Send + 'static) -> Self {
        Self {
            inner: std::sync::Mutex::new(Box::pin(inner)),
        }
    }
}

impl futures_util::Stream for SyncStream {
    type Item = Part;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Part>> {
        let inner = self
            .inner
            .get_mut()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        inner.as_mut().poll_next(cx)
    }
}
