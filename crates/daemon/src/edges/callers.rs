//! Serves callers over HTTP; the protocol is `docs/CALLERS.md`.

mod answers;
mod input;
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
    answers::{called, cut, ended_before_start, millis, not_ready, whole},
    input::{Refusal, header, read_body, token},
    stream::{AnswerReader, stream},
};
use super::http::{json, query_value, serve as serve_http};
use crate::host::Host;

/// Most ids that one call mints.
const MAX_MINTED_IDS: u32 = 1_000;

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
                keep_ms: millis(node.directory_retention()),
                revision: node.tables().config.revision(),
            }
        });
        json(StatusCode::OK, &answer)
    }

    fn mint(&self, query: Option<&str>) -> Result<Response, Refusal> {
        if !self.host.read(|node| node.tables().ready) {
            let now = self.host.now();
            let after = self.host.with(|node| node.retry_after(now));
            return Ok(not_ready(after));
        }
        let count = match query_value(query, "count") {
            None => 1,
            Some(text) => text
                .parse()
                .ok()
                .filter(|n| (1..=MAX_MINTED_IDS).contains(n))
                .ok_or_else(|| Refusal::bad(format!("count is 1 to {MAX_MINTED_IDS}")))?,
        };
        let ids = (0..count).map(|_| self.host.mint()).collect();
        Ok(json(StatusCode::OK, &IssuedIds { ids }))
    }

    async fn status(&self, id: &str) -> Result<Response, Refusal> {
        let id: RequestId = id
            .parse()
            .map_err(|e: radishhaven_core::ids::IdError| Refusal::bad(e.to_string()))?;
        let (key, rx) = self.host.inquire(id.clone());
        let mut answer = AnswerReader::new(self.host.clone(), key, rx);
        let outcome = match answer.next().await {
            Some(Reply::Status(RequestState::Open)) => None,
            Some(Reply::Status(RequestState::Ended(outcome))) => Some(outcome),
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
            timeout: header(headers, DEADLINE_HEADER, "milliseconds")?.map(Duration::from_millis),
            idempotent: header(headers, IDEMPOTENT_HEADER, "true or false")?,
            demand,
        };
        let (key, rx) = self.host.submit(submission);
        Ok(AnswerReader::new(self.host.clone(), key, rx))
    }
}
