//! Tests of reading bodies into memory.

use bytes::Bytes;
use futures_util::stream;
use http_body::Frame;
use http_body_util::StreamBody;
use radishhaven_client::{BodyBuffer, BodyTooLarge, ReadBodyError, read_body};

const LIMIT: usize = 100_000;

fn body(
    chunks: Vec<Bytes>,
) -> StreamBody<impl futures_util::Stream<Item = Result<Frame<Bytes>, std::io::Error>>> {
    StreamBody::new(stream::iter(chunks.into_iter().map(|c| Ok(Frame::data(c)))))
}

/// Guards against memory that grows with the number of chunks.
#[test]
fn memory_of_a_body_depends_on_its_size_alone() {
    for chunk in [1, 7, 4_096, LIMIT] {
        let mut buf = BodyBuffer::new(0, LIMIT);
        for _ in 0..LIMIT / chunk {
            let before = buf.capacity();
            let growth = buf.growth(chunk).expect("it fits");
            buf.push(&vec![b'x'; chunk]).expect("it fits");
            assert_eq!(buf.capacity(), before + growth);
            assert!(buf.capacity() <= LIMIT);
        }
        let too_large = BodyTooLarge { limit: LIMIT };
        assert_eq!(buf.push(&vec![b'x'; chunk + LIMIT % chunk]), Err(too_large));
    }
}

#[tokio::test]
async fn body_is_read_whole_up_to_the_limit() {
    let bytes: Bytes = (0..LIMIT).map(|n| n as u8).collect();
    for chunk in [1, 7, 4_096, LIMIT] {
        let chunks = bytes.chunks(chunk).map(Bytes::copy_from_slice).collect();
        let read = read_body(body(chunks), LIMIT).await.expect("it is whole");
        assert_eq!(read, bytes);
        let chunks = bytes.chunks(chunk).map(Bytes::copy_from_slice).collect();
        let read = read_body(body(chunks), LIMIT - 1).await;
        assert!(matches!(read, Err(ReadBodyError::TooLarge(_))), "{read:?}");
    }
}
