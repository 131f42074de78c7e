//! Tests of the reader of server-sent events.

use bolero_generator::TypeGenerator;
use bytes::Bytes;
use radishhaven_cases::{INVARIANT_CASES, check};
use radishhaven_client::{EventReader, EventSplitter, HttpError, InvalidEvents};
use volo_http::body::Body;

const MAX_EVENT_BYTES: usize = 48;

/// A piece of a stream.
#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Piece {
    Lf,
    CrLf,
    Comment,
    Id(u8),
    Data(u8),
    Invalid,
    Byte(u8),
}

impl Piece {
    fn append_to(self, bytes: &mut Vec<u8>) {
        match self {
            Self::Lf => bytes.extend(b"\n"),
            Self::CrLf => bytes.extend(b"\r\n"),
            Self::Comment => bytes.extend(b": c"),
            Self::Id(id) => bytes.extend(format!("id: {id}\n").bytes()),
            Self::Data(n) => bytes.extend(format!("data: {n}\n").bytes()),
            // Rare, since nothing after it is split any more.
            Self::Invalid if bytes.len().is_multiple_of(7) => bytes.extend(b"?!"),
            Self::Invalid => {}
            Self::Byte(b) => bytes.push(b'a' + b % 26),
        }
    }
}

/// Takes events until there is none or the bytes are invalid.
fn take(splitter: &mut EventSplitter, events: &mut Vec<Bytes>) -> Result<(), InvalidEvents> {
    while let Some(event) = splitter.next_event()? {
        events.push(event);
    }
    Ok(())
}

/// The events, how the splitting ended, and whether it ended inside an event.
fn split(parts: &[&[u8]]) -> (Vec<Bytes>, Result<(), InvalidEvents>, bool) {
    let mut splitter = EventSplitter::new(MAX_EVENT_BYTES);
    let mut events = Vec::new();
    let mut end = Ok(());
    for part in parts {
        splitter.push(part);
        end = take(&mut splitter, &mut events);
        if end.is_err() {
            break;
        }
    }
    let is_inside = end.is_ok() && splitter.is_inside_event();
    (events, end, is_inside)
}

/// Guards against events that depend on how the bytes were divided when they arrived.
#[test]
fn events_are_the_same_however_the_bytes_are_cut() {
    check(7, INVARIANT_CASES, |case: (Vec<Piece>, Vec<u8>)| {
        let (pieces, cuts) = case;
        let mut bytes = Vec::new();
        for piece in pieces.into_iter().take(100) {
            piece.append_to(&mut bytes);
        }
        let whole = split(&[&bytes]);
        let single: Vec<&[u8]> = bytes.chunks(1).collect();
        assert_eq!(split(&single), whole, "{bytes:?}");
        let mut parts = Vec::new();
        let mut rest = bytes.as_slice();
        for cut in cuts {
            let (part, left) = rest.split_at(usize::from(cut % 16).min(rest.len()));
            parts.push(part);
            rest = left;
        }
        parts.push(rest);
        assert_eq!(split(&parts), whole, "{bytes:?}");
    });
}

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
