//! JSON over HTTP for radishhaven's own processes and for its callers.
//!
//! [`JsonClient`] sends single requests with a timeout and a size limit.
//! [`Caller`] is the client for a caller's program: it requests the addresses
//! of the nodes and request ids, sends requests and reads complete responses
//! and streams.

mod body;
mod caller;
mod events;
mod http1;
mod json;
mod received;
mod sse;

pub use body::{BodyBuffer, BodyTooLarge, ReadBodyError, read_body};
pub use caller::{Answer, Caller, CallerError, RequestOptions};
pub use events::{EventSplitter, InvalidEvents};
pub use http1::{BodyFraming, Connection, ConnectionError, ConnectionTimeouts, Driver};
pub use json::{HttpError, JsonClient, MAX_BODY_BYTES};
pub use received::ResponseBody;
pub use sse::{Event, EventReader};
