//! JSON over HTTP for radishhaven's own processes and for its callers.
//!
//! [`JsonClient`] is one bounded exchange; [`Caller`] is what a caller's
//! program needs: it asks for the addresses to use, keeps the answer and
//! reads whole answers and streams.

mod caller;
mod http1;
mod json;
mod sse;

pub use caller::{Answer, Caller, CallerError, RequestOptions};
pub use http1::{Connection, ConnectionError, ConnectionTimeouts, Driver};
pub use json::{HttpError, JsonClient, MAX_BODY_BYTES};
pub use sse::{Event, EventReader};
