//! Parses the headers and bodies of callers' requests, within limits.

use bytes::Bytes;
use http::{HeaderMap, StatusCode, header::AUTHORIZATION};
use radishhaven_core::outcome::{NotRun, Outcome};
use radishhaven_proto::caller::ErrorBody;
use sha2::{Digest, Sha256};
use volo_http::{body::Body, response::Response};

use crate::edges::http::json;

/// Maximum size of a request's body, in bytes.
const MAX_REQUEST_BYTES: usize = 1024 * 1024;

/// A rejected request that does not reach the decision core.
pub(super) struct Rejection {
    pub(super) status: StatusCode,
    pub(super) reason: NotRun,
    pub(super) message: String,
}

impl Rejection {
    /// Rejects a malformed request with status 400.
    pub(super) fn bad_request(message: impl Into<String>) -> Self {
        let message = message.into();
        Self {
            status: StatusCode::BAD_REQUEST,
            reason: NotRun::BadRequest,
            message,
        }
    }

    pub(super) fn into_response(self) -> Response {
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

/// Reads a request's body. Rejects one that is too large or breaks off.
pub(super) async fn read_body(body: Body) -> Result<Bytes, Rejection> {
    let read = radishhaven_client::read_body(body, MAX_REQUEST_BYTES).await;
    read.map_err(|_| Rejection {
        status: StatusCode::PAYLOAD_TOO_LARGE,
        reason: NotRun::BadRequest,
        message: format!("the body broke off or has more than {MAX_REQUEST_BYTES} bytes"),
    })
}

/// Returns the SHA-256 of the bearer token. Rejects a request without one with
/// status 401.
pub(super) fn token_digest(headers: &HeaderMap) -> Result<[u8; 32], Rejection> {
    let value = headers.get(AUTHORIZATION).and_then(|v| v.to_str().ok());
    let token = value
        .and_then(|v| v.strip_prefix("Bearer "))
        .ok_or_else(|| Rejection {
            status: StatusCode::UNAUTHORIZED,
            reason: NotRun::Unauthorised,
            message: "a bearer token is needed".to_owned(),
        })?;
    Ok(Sha256::digest(token.as_bytes()).into())
}

/// Parses an optional header. `allowed` describes the valid values in the
/// message of the rejection.
pub(super) fn parse_header<T: std::str::FromStr>(
    headers: &HeaderMap,
    name: &str,
    allowed: &str,
) -> Result<Option<T>, Rejection> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().and_then(|v| v.parse().ok());
    parsed
        .map(Some)
        .ok_or_else(|| Rejection::bad_request(format!("header {name}: allowed is {allowed}")))
}
