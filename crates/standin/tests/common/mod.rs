//! An HTTP client for the fake servers, and fixtures for their tests.

#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::net::{Ipv4Addr, SocketAddr};

use http::{Method, StatusCode};
use radishhaven_core::ids::{Attempt, LayerRange, Position, Priority};
use radishhaven_proto::engine::{
    EngineRefusal, STEP_PATH, SessionRef, StageInput, StageOutput, StepReply, StepRequest,
};
use radishhaven_standin::{
    engine::{Engine, EngineCfg, StepCost},
    reference,
    runtime::{RequestHandler, ServerHandle},
};
use serde::{Serialize, de::DeserializeOwned};
use volo_http::{
    body::{Body, BodyConversion},
    client::Client,
};

/// Loopback address with a port that the operating system assigns.
pub const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
pub const MODEL: &str = "dictado";
pub const VERSION: &str = "v1";

/// Status and full body of an HTTP response.
pub struct Response {
    pub status: StatusCode,
    pub body: Vec<u8>,
}

impl Response {
    pub fn json<T: DeserializeOwned>(&self) -> T {
        serde_json::from_slice(&self.body).expect("the body is the expected JSON")
    }

    /// Checks that the status is 200 and decodes the body.
    pub fn ok<T: DeserializeOwned>(&self) -> T {
        assert_eq!(self.status, StatusCode::OK);
        self.json()
    }

    /// Checks that the status is 409 and decodes the engine's refusal.
    pub fn refusal(&self) -> EngineRefusal {
        assert_eq!(self.status, StatusCode::CONFLICT);
        self.json()
    }
}

/// Starts a fake server on loopback.
pub fn start<S: RequestHandler>(state: S) -> ServerHandle<S> {
    ServerHandle::start(LOOPBACK, state).expect("the fake server starts")
}

async fn call(addr: SocketAddr, method: Method, path: &str, body: Vec<u8>) -> Response {
    let client: Client = Client::builder().build().expect("the client is created");
    let response = client
        .request(method, format!("http://{addr}{path}"))
        .data(body)
        .send::<Body>()
        .await
        .expect("the fake server answers");
    let status = response.status();
    let body = response
        .into_body()
        .into_vec()
        .await
        .expect("the body is complete");
    Response { status, body }
}

pub async fn get(addr: SocketAddr, path: &str) -> Response {
    call(addr, Method::GET, path, Vec::new()).await
}

pub async fn post<T: Serialize>(addr: SocketAddr, path: &str, body: &T) -> Response {
    let buf = serde_json::to_vec(body).expect("the body is encoded");
    call(addr, Method::POST, path, buf).await
}

pub async fn post_empty(addr: SocketAddr, path: &str) -> Response {
    call(addr, Method::POST, path, Vec::new()).await
}

pub fn layers(start: u16, end: u16) -> LayerRange {
    LayerRange::new(start, end).expect("the range is valid")
}

/// Returns the configuration of an engine whose steps cost no time.
pub fn engine_cfg(range: LayerRange, total_layers: u16) -> EngineCfg {
    let vm = format!("engine-{}", range.start());
    let ids = (vm.parse(), MODEL.parse(), VERSION.parse());
    let (Ok(vm), Ok(model), Ok(version)) = ids else {
        panic!("the names are valid");
    };
    EngineCfg {
        total_layers,
        cost: StepCost {
            base_us: 0,
            per_layer_us: 0,
            per_position_us: 0,
            per_step_us: 0,
        },
        kv_base_us: 0,
        ..EngineCfg::new(vm, model, version, range)
    }
}

pub fn engine(range: LayerRange, total_layers: u16) -> ServerHandle<Engine> {
    start(Engine::new(engine_cfg(range, total_layers)))
}

pub fn session(name: &str) -> SessionRef {
    SessionRef {
        request: name.parse().expect("the request id is valid"),
        attempt: Attempt(0),
    }
}

pub fn step(name: &str, range: LayerRange, first: u32, input: StageInput) -> StepRequest {
    StepRequest {
        session: session(name),
        model: MODEL.parse().expect("the model name is valid"),
        version: VERSION.parse().expect("the version is valid"),
        layers: range,
        first: Position(first),
        input,
        priority: Priority(0),
        deadline_ms: None,
    }
}

/// Returns the answer of the reference model with this number of layers.
pub fn reference_answer(layers: u16, prompt: &str, max_tokens: u32) -> String {
    let model = MODEL.parse().expect("the model name is valid");
    let version = VERSION.parse().expect("the version is valid");
    reference::generate(&model, &version, layers, prompt, max_tokens)
}

/// Runs tokens, from position `first` on, through a chain of engines and returns
/// the next token.
pub async fn run_chain(
    chain: &[(SocketAddr, LayerRange)],
    name: &str,
    first: u32,
    tokens: Vec<u32>,
) -> u32 {
    let mut input = StageInput::Tokens(tokens);
    for (addr, range) in chain {
        let req = step(name, *range, first, input);
        let reply: StepReply = post(*addr, STEP_PATH, &req).await.ok();
        match reply.output {
            StageOutput::Activations(values) => input = StageInput::Activations(values),
            StageOutput::Token(token) => return token,
        }
    }
    panic!("the last engine of the chain returned no token");
}

/// Generates text from `token` on, until the end token or until the text has
/// `max_tokens` tokens.
pub async fn generate(
    chain: &[(SocketAddr, LayerRange)],
    name: &str,
    mut position: u32,
    mut token: u32,
    max_tokens: usize,
) -> String {
    let mut text = String::new();
    while let Some(c) = reference::token_text(token) {
        text.push(c);
        if text.len() == max_tokens {
            break;
        }
        token = run_chain(chain, name, position, vec![token]).await;
        position += 1;
    }
    text
}
