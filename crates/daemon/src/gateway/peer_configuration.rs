//! Passes the configuration on to other nodes, and fetches it from them.
//!
//! A node that hears that a peer has a newer version asks it for the changes, so that the
//! store is read by a few nodes only, and a node that the store turns away follows too. A
//! peer of an earlier release answers with an error; the store is then read instead.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use bincode::error::DecodeError;
use bytes::Bytes;
use http::{Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use radishhaven_core::gateway::{
    StoreEra,
    config_update::{ConfigurationBase, ConfigurationUpdate, UpdateError},
};
use spdlog::prelude::*;

use super::{
    body::{Body, full, text_response},
    host::GatewayHost,
};

/// Path of the configuration at the address for peers. The era and the version that the
/// node has follow, unless it has none.
const PATH: &str = "/-/configuration";
/// Time until the head of the response, and longest pause within the response.
const TIMEOUT: Duration = Duration::from_millis(800);
/// Largest update, in bytes.
const MAX_UPDATE_BYTES: usize = 16 * 1024 * 1024;

/// Error of an update that could not be fetched from a peer.
#[derive(Debug, thiserror::Error)]
pub(super) enum FetchError {
    /// The peer is unreachable.
    #[error("no connection: {0}")]
    Connect(#[from] io::Error),
    /// The peer sent nothing in time.
    #[error("no answer within {TIMEOUT:?}")]
    TimedOut,
    /// The request could not be made.
    #[error("malformed request: {0}")]
    Request(#[from] http::Error),
    /// The connection broke.
    #[error("the connection broke: {0}")]
    Broken(#[from] hyper::Error),
    /// The response is incomplete or too large.
    #[error("the response is incomplete: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// The peer has no configuration, or is of an earlier release.
    #[error("the peer responded with status {0}")]
    Status(StatusCode),
    /// The response can't be decoded.
    #[error("malformed response: {0}")]
    Malformed(#[from] DecodeError),
    /// The update does not apply to the active configuration.
    #[error(transparent)]
    NotApplied(#[from] UpdateError),
}

/// Returns whether a peer's request asks for the configuration.
pub(super) fn is_requested(uri: &Uri) -> bool {
    let rest = uri.path().strip_prefix(PATH);
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// Returns the configuration that a request names, or `None` if it names none.
fn requested_base(uri: &Uri) -> Option<ConfigurationBase> {
    let (era, version) = uri
        .path()
        .strip_prefix(PATH)?
        .strip_prefix('/')?
        .split_once('/')?;
    Some(ConfigurationBase {
        version: version.parse().ok()?,
        era: era.parse::<StoreEra>().ok()?,
    })
}

/// Answers a peer's request for the configuration.
pub(super) fn respond(host: &GatewayHost, uri: &Uri) -> Response<Body> {
    let base = requested_base(uri);
    let Some(update) = host.with_gateway(|g| g.configuration_update(base)) else {
        return text_response(StatusCode::SERVICE_UNAVAILABLE, "no configuration is known");
    };
    match bincode::serde::encode_to_vec(&update, bincode::config::standard()) {
        Ok(bytes) => Response::new(full(bytes)),
        Err(error) => {
            error!("failed to encode the configuration", kv: { error = error.to_string() });
            text_response(StatusCode::INTERNAL_SERVER_ERROR, "not encoded")
        }
    }
}

/// Fetches the configuration of the peer at `address` and activates it.
///
/// # Errors
///
/// See [`FetchError`].
pub(super) async fn fetch(host: &Arc<GatewayHost>, address: SocketAddr) -> Result<(), FetchError> {
    let sent = host.now();
    let base = host.with_gateway(|g| g.configuration_base());
    let bytes = request(host, address, base).await?;
    let (update, _): (ConfigurationUpdate, usize) =
        bincode::serde::decode_from_slice(&bytes, bincode::config::standard())?;
    let (version, is_whole) = (update.version, update.base.is_none());
    host.with_gateway(|g| g.apply_configuration_update(update))?;
    info!("a configuration is in force", kv: {
        version,
        routes = host.with_gateway(|g| g.configuration().map_or(0, |c| c.routes.len())),
        source = "peer",
        is_whole,
        bytes = bytes.len(),
        read_ms = host.now().since(sent).as_millis() as u64,
    });
    Ok(())
}

async fn request(
    host: &GatewayHost,
    address: SocketAddr,
    base: Option<ConfigurationBase>,
) -> Result<Bytes, FetchError> {
    let base = base.map(|base| format!("/{}/{}", base.era, base.version));
    let uri = Uri::builder()
        .scheme("http")
        .authority(address.to_string())
        .path_and_query(format!("{PATH}{}", base.unwrap_or_default()))
        .build()?;
    let req = Request::get(uri).body(Full::default())?;
    let exchange = async {
        let mut sender = host.peer_connections.get(address).await?;
        sender.ready().await?;
        Ok::<_, FetchError>(sender.send_request(req).await?)
    };
    let resp = tokio::time::timeout(TIMEOUT, exchange).await;
    let resp = resp.map_err(|_| FetchError::TimedOut)??;
    if resp.status() != StatusCode::OK {
        return Err(FetchError::Status(resp.status()));
    }
    let mut body = Limited::new(resp.into_body(), MAX_UPDATE_BYTES);
    let mut read = Vec::new();
    loop {
        let frame = tokio::time::timeout(TIMEOUT, body.frame()).await;
        let Some(frame) = frame.map_err(|_| FetchError::TimedOut)? else {
            return Ok(read.into());
        };
        if let Ok(data) = frame.map_err(FetchError::Body)?.into_data() {
            read.extend_from_slice(&data);
        }
    }
}
