//! Reads and bounds what callers send, and refuses what can't be read.

use bytes::Bytes;
use http::{HeaderMap, StatusCode, header::AUTHORIZATION};
use http_body_util::{BodyExt, Limited};
use radishhaven_core::outcome::{NotRun, Outcome};
use radishhaven_proto::caller::ErrorBody;
use sha2::{Digest, Sha256};
use volo_http::{body::Body, response::Response};

use crate::edges::http::json;

/// Largest body of a request, in bytes.
const MAX_REQUEST_BYTES: usize = 1024 * 1024;

/// A request that never reaches the decisions.
pub(super) struct Refusal {
    pub(super) status: StatusCode,
    pub(super) reason: NotRun,
    pub(super) message: String,
}

impl Refusal {
    pub(super) fn bad(message: impl Into<String>) -> Self {
        let message = message.into();
        Self {
            status: StatusCode::BAD_REQUEST,
            reason: NotRun::BadRequest,
            message,
        }
    }

    pub(super) fn response(self) -> Response {
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

pub(super) async fn read_body(body: Body) -> Result<Bytes, Refusal> {
    let whole = Limited::new(body, MAX_REQUEST_BYTES).collect().await;
    whole.map(|b| b.to_bytes()).map_err(|_| Refusal {
        status: StatusCode::PAYLOAD_TOO_LARGE,
        reason: NotRun::BadRequest,
        message: format!("the body broke off or has more than {MAX_REQUEST_BYTES} bytes"),
    })
}

pub(super) fn token(headers: &HeaderMap) -> Result<[u8; 32], Refusal> {
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

pub(super) fn header<T: std::str::FromStr>(
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
