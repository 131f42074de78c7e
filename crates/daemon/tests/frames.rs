//! Encoding and decoding of frames between nodes, with valid and corrupt input.

use bolero_generator::TypeGenerator;
use bytes::{Bytes, BytesMut};
use radishhaven_cases::{INVARIANT_CASES, check};
use radishhaven_core::{
    ids::Revision,
    peer::{ConfigMessage, PeerMessage},
    platform::Record,
};
use radishhavend::edges::peers::{MAX_FRAME_BYTES, decode, encode};

#[derive(Debug, TypeGenerator)]
enum AnyMessage {
    AskRevision(u64),
    Revision(u64, u64),
    AskRecords(u64),
    Records {
        from: u64,
        digest: u64,
        bodies: [String; 3],
    },
    Snapshot(String),
}

fn message(any: AnyMessage) -> PeerMessage {
    PeerMessage::Config(match any {
        AnyMessage::AskRevision(round) => ConfigMessage::QueryRevision { round },
        AnyMessage::Revision(round, at) => ConfigMessage::Revision {
            round,
            revision: Revision(at),
        },
        AnyMessage::AskRecords(from) => ConfigMessage::QueryRecords {
            from: Revision(from),
        },
        AnyMessage::Records {
            from,
            digest,
            bodies,
        } => ConfigMessage::Records {
            from: Revision(from),
            digest,
            end: Revision(from),
            records: bodies
                .into_iter()
                .map(|body| Record { offset: from, body })
                .collect(),
        },
        AnyMessage::Snapshot(body) => ConfigMessage::Snapshot { body },
    })
}

/// A TCP read can end anywhere within a frame. The decoder must keep the rest of
/// the buffer and return all messages unchanged and in order.
#[test]
fn split_frames_are_decoded_in_order() {
    check(71, INVARIANT_CASES, |(any, cut): ([AnyMessage; 2], u16)| {
        let sent = any.map(message);
        let frames: Vec<Bytes> = sent
            .iter()
            .map(|message| encode(message).expect("it fits"))
            .collect();
        let bytes = frames.concat();
        let cut = usize::from(cut) % (bytes.len() + 1);
        let mut buf = BytesMut::new();
        let mut decoded = Vec::new();
        for chunk in [&bytes[..cut], &bytes[cut..]] {
            buf.extend_from_slice(chunk);
            while let Some(message) = decode(&mut buf).expect("the frames are valid") {
                decoded.push(message);
            }
        }
        assert_eq!(decoded, sent);
        assert!(buf.is_empty());
    });
}

/// Random bytes and corrupted frames from a peer must not make the node panic:
/// the decoder returns a message or an error, and never adds to the buffer.
#[test]
fn arbitrary_bytes_are_decoded_or_rejected() {
    check(
        72,
        INVARIANT_CASES,
        |(any, noise, at): (AnyMessage, [u8; 24], u16)| {
            let frame = encode(&message(any)).expect("it fits");
            let mut corrupted = frame.to_vec();
            let at = usize::from(at) % corrupted.len();
            corrupted[at] ^= noise[0] | 1;
            let mut short_frame = vec![0, 0, 0, noise[0] % 24];
            short_frame.extend_from_slice(&noise);
            for bytes in [corrupted, short_frame, noise.to_vec()] {
                let mut buf = BytesMut::from(bytes.as_slice());
                let len_before = buf.len();
                let decoded = decode(&mut buf);
                assert!(buf.len() <= len_before);
                if let Ok(Some(message)) = decoded {
                    assert!(encode(&message).is_ok());
                }
            }
        },
    );
}

/// A peer could announce a huge frame to make the node buffer it. The length
/// alone is enough for the rejection.
#[test]
fn oversize_frame_is_rejected_by_its_length() {
    let length = u32::try_from(MAX_FRAME_BYTES + 1).expect("it fits");
    let mut buf = BytesMut::from(length.to_be_bytes().as_slice());
    assert!(decode(&mut buf).is_err());
}
