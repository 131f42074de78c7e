//! Helpers of the stand-ins to read requests and build responses.

use std::time::{SystemTime, UNIX_EPOCH};

use http::{StatusCode, Uri, header};
use serde::{Serialize, de::DeserializeOwned};
use volo_http::{
    body::{Body, BodyConversion},
    response::Response,
};

/// An error on reading a request. Its text is the body of the response.
#[derive(Debug, thiserror::Error)]
pub(crate) enum WireError {
    /// The body is incomplete.
    #[error("the body did not arrive whole")]
    IncompleteBody,
    /// The body is not the JSON that the path expects.
    #[error("the body is not the expected JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The request is inconsistent or violates the protocol.
    #[error("bad request: {0}")]
    Invalid(&'static str),
}

impl From<WireError> for Response {
    fn from(e: WireError) -> Self {
        text(StatusCode::BAD_REQUEST, e.to_string())
    }
}

/// Reads and parses a JSON body.
pub(crate) async fn read<T: DeserializeOwned>(body: Body) -> Result<T, WireError> {
    let buf = body
        .into_vec()
        .await
        .map_err(|_| WireError::IncompleteBody)?;
    Ok(serde_json::from_slice(&buf)?)
}

/// Returns a response with a JSON body.
pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    let Ok(buf) = serde_json::to_vec(value) else {
        return empty(StatusCode::INTERNAL_SERVER_ERROR);
    };
    let mut response = Response::new(Body::from(buf));
    *response.status_mut() = status;
    let json = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Returns a response with a JSON body and status 200.
pub(crate) fn ok<T: Serialize>(value: &T) -> Response {
    json(StatusCode::OK, value)
}

/// Returns a response without a body.
pub(crate) fn empty(status: StatusCode) -> Response {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}

/// Returns a response with a text body.
pub(crate) fn text(status: StatusCode, body: String) -> Response {
    let mut response = Response::new(Body::from(body.into_bytes()));
    *response.status_mut() = status;
    response
}

/// Returns the value of a query parameter.
pub(crate) fn query<'a>(uri: &'a Uri, name: &str) -> Option<&'a str> {
    let pairs = uri.query()?.split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// Returns the value of a numeric query parameter, or `None` if it is missing or
/// invalid.
pub(crate) fn query_u64(uri: &Uri, name: &str) -> Option<u64> {
    query(uri, name)?.parse().ok()
}

/// Returns the wall-clock time in microseconds since the Unix epoch.
///
/// Values from different processes of one machine are comparable.
pub(crate) fn wall_clock_us() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_micros()).unwrap_or(u64::MAX))
}
