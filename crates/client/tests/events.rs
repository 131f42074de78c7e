//! Tests of the reader of server-sent events.

use radishhaven_client::{EventReader, HttpError};
use volo_http::body::Body;

/// Guards against taking a stream that was broken off for a complete one.
#[tokio::test]
async fn body_that_ends_inside_event_is_an_error() {
    let body = "event: delta\ndata: one\n\nevent: delta\nda";
    let mut events = EventReader::new(Body::from(body));
    let first = events.next().await.expect("a complete event");
    assert_eq!(first.map(|event| event.data), Some("one".to_owned()));
    let end = events.next().await;
    assert!(matches!(end, Err(HttpError::NoResponse(_))), "{end:?}");
}

#[tokio::test]
async fn body_that_ends_after_event_is_complete() {
    let mut events = EventReader::new(Body::from("data: one\n\n"));
    assert!(events.next().await.expect("a complete event").is_some());
    assert_eq!(events.next().await.expect("the end"), None);
}
