//! Serves callers over HTTP; the protocol is `docs/CALLERS.md`.

mod input;
mod responses;
mod stream;

use std::{convert::Infallible, sync::Arc, time::Duration};

use http::{HeaderMap, Method, StatusCode, header::AUTHORIZATION};
use radishhaven_core::{
    ids::RequestId,
    message::{Demand, Reply, Submission},
    node::RequestState,
    outcome::{NotRun, Outcome},
    systems::directory,
};
use radishhaven_proto::caller::{
    COMPLETIONS_PATH, CompletionRequest, DEADLINE_HEADER, DIRECTORY_PATH, Directory, DirectoryNode,
    IDEMPOTENT_HEADER, IssuedIds, PRIORITY_HEADER, REQUEST_ID_HEADER, REQUEST_IDS_PATH,
    REQUESTS_PATH, RequestStatus, SERVICES_PATH,
};
use tokio::net::TcpListener;
use volo::{context::Context, net::Address, service::Service};
use volo_http::{context::ServerContext, request::Request, response::Response};

use self::{
    input::{Rejection, parse_header, read_body, token_digest},
    responses::{
        call_response, completion_response, error_response, millis, node_ending, not_ready,
    },
    stream::{ReplyReader, stream},
};
use super::http::{json, query_value, serve as serve_http};
use crate::host::Host;

/// Maximum number of request ids issued per HTTP request.
const MAX_IDS_PER_REQUEST: u32 = 1_000;

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
            .route(req, caller)
            .await
            .unwrap_or_else(|rejection| rejection.into_response()))
    }
}
impl Callers {
    async fn route(&self, req: Request, caller: Option<Address>) -> Result<Response, Rejection> {
        let path = req.uri().path().to_owned();
        match (req.method(), path.as_str()) {
            (&Method::GET, DIRECTORY_PATH) => Ok(self.directory(req.headers(), caller)),
            (&Method::POST, REQUEST_IDS_PATH) => self.issue_ids(req.uri().query()),
            (&Method::POST, COMPLETIONS_PATH) => self.complete(req).await,
            (&Method::POST, path) if path.starts_with(SERVICES_PATH) => {
                let target = path[SERVICES_PATH.len()..].to_owned();
                self.call_service(req, &target).await
            }
            (&Method::GET, path) if path.starts_with(REQUESTS_PATH) => {
                self.request_status(&path[REQUESTS_PATH.len()..]).await
            }
            _ => Err(Rejection {
                status: StatusCode::NOT_FOUND,
                reason: NotRun::BadRequest,
                message: "no such path".to_owned(),
            }),
        }
    }

    fn directory(&self, headers: &HeaderMap, caller: Option<Address>) -> Response {
        // The selection of nodes depends on the caller's IP address and token,
        // but not on its port, so that all callers on one VM and of one
        // organisation use the same nodes. The token is only hashed.
        let mut caller = match caller {
            Some(Address::Ip(address)) => address.ip().to_string(),
            _ => String::new(),
        };
        if let Some(token) = headers.get(AUTHORIZATION).and_then(|v| v.to_str().ok()) {
            caller.push_str(token);
        }
        let directory = self.host.read(|node| {
            let cfg = node.configs();
            let nodes =
                directory::rank_nodes(node.tables(), &cfg.identity, &cfg.directory, &caller);
            let entry = |entry: directory::DirectoryEntry| DirectoryNode {
                vm: entry.vm,
                address: entry.address,
            };
            Directory {
                nodes: nodes.into_iter().map(entry).collect(),
                keep_ms: millis(node.directory_retention()),
                revision: node.tables().config.revision(),
            }
        });
        json(StatusCode::OK, &directory)
    }

    fn issue_ids(&self, query: Option<&str>) -> Result<Response, Rejection> {
        if !self.host.read(|node| node.tables().ready) {
            let now = self.host.now();
            let retry_after = self.host.with_node_mut(|node| node.retry_after(now));
            return Ok(not_ready(retry_after));
        }
        let count = match query_value(query, "count") {
            None => 1,
            Some(text) => text
                .parse()
                .ok()
                .filter(|n| (1..=MAX_IDS_PER_REQUEST).contains(n))
                .ok_or_else(|| {
                    Rejection::bad_request(format!("count is 1 to {MAX_IDS_PER_REQUEST}"))
                })?,
        };
        let ids = (0..count).map(|_| self.host.issue_id()).collect();
        Ok(json(StatusCode::OK, &IssuedIds { ids }))
    }

    async fn request_status(&self, id: &str) -> Result<Response, Rejection> {
        let id: RequestId = id
            .parse()
            .map_err(|e: radishhaven_core::ids::IdError| Rejection::bad_request(e.to_string()))?;
        let (key, rx) = self.host.query_status(id.clone());
        let mut replies = ReplyReader::new(self.host.clone(), key, rx);
        let outcome = match replies.next().await {
            Some(Reply::Status(RequestState::Open)) => None,
            Some(Reply::Status(RequestState::Ended(outcome))) => Some(outcome),
            _ => Some(Outcome::Unknown),
        };
        Ok(json(StatusCode::OK, &RequestStatus { id, outcome }))
    }

    async fn complete(&self, req: Request) -> Result<Response, Rejection> {
        let (head, body) = req.into_parts();
        let body = read_body(body).await?;
        let completion: CompletionRequest =
            serde_json::from_slice(&body).map_err(|e| Rejection::bad_request(e.to_string()))?;
        let demand = Demand::Completion {
            pipeline: completion.model,
            prompt: completion.prompt.bytes().map(u32::from).collect(),
            max_tokens: completion.max_tokens,
        };
        let mut replies = self.submit(&head.headers, demand)?;
        let id = match replies.next().await {
            Some(Reply::Admitted { id }) => id,
            Some(Reply::Done(done)) => return Ok(error_response(done)),
            _ => return Ok(node_ending()),
        };
        if completion.stream {
            return Ok(stream(id, replies));
        }
        let mut text = String::new();
        while let Some(reply) = replies.next().await {
            match reply {
                Reply::Delta { text: chunk, .. } => text.push_str(&chunk),
                Reply::Done(done) => return Ok(completion_response(done, text)),
                Reply::Admitted { .. } | Reply::Status(_) => {}
            }
        }
        Ok(node_ending())
    }

    async fn call_service(&self, req: Request, target: &str) -> Result<Response, Rejection> {
        let (service, operation) = target
            .split_once('/')
            .ok_or_else(|| Rejection::bad_request("the path is /v1/services/NAME/OPERATION"))?;
        let service = service
            .parse()
            .map_err(|e: radishhaven_core::ids::IdError| Rejection::bad_request(e.to_string()))?;
        let operation = operation.to_owned();
        let (head, body) = req.into_parts();
        let body = read_body(body).await?;
        let body =
            serde_json::from_slice(&body).map_err(|e| Rejection::bad_request(e.to_string()))?;
        let mut replies = self.submit(
            &head.headers,
            Demand::Call {
                service,
                operation,
                body,
            },
        )?;
        while let Some(reply) = replies.next().await {
            if let Reply::Done(done) = reply {
                return Ok(call_response(done));
            }
        }
        Ok(node_ending())
    }

    fn submit(&self, headers: &HeaderMap, demand: Demand) -> Result<ReplyReader, Rejection> {
        let submission = Submission {
            token_sha256: token_digest(headers)?,
            id: parse_header(
                headers,
                REQUEST_ID_HEADER,
                "an id of 1 to 640 letters, digits or . _ : -",
            )?,
            priority: parse_header(headers, PRIORITY_HEADER, "a number from 0 to 255")?,
            timeout: parse_header(headers, DEADLINE_HEADER, "milliseconds")?
                .map(Duration::from_millis),
            idempotent: parse_header(headers, IDEMPOTENT_HEADER, "true or false")?,
            demand,
        };
        let (key, rx) = self.host.submit(submission);
        Ok(ReplyReader::new(self.host.clone(), key, rx))
    }
}
