//! Tests of how connections close at the end of a shutdown.

use futures_util::FutureExt;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use super::*;
use crate::gateway::{body::full, settings::VmLimits};

/// Timeout of a test for an expected event.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);
/// Size of a response that no socket buffer holds.
const LARGE_BYTES: usize = 64 * 1024 * 1024;

/// Serves responses of this size and returns the address.
fn start(closing: &Closing, bytes: usize) -> SocketAddr {
    let mut address = "127.0.0.1:0".parse().expect("an address");
    let listener = listen(&mut address).expect("a port");
    let limits = VmLimits {
        memory_mb: 112,
        max_descriptors: 2_870,
    };
    let shared = Shared {
        closing: closing.clone(),
        account: Arc::new(CallerAccount::new(limits)),
        origin: Origin::Callers,
    };
    let handler = move |_| std::future::ready(Response::new(full(vec![0; bytes])));
    tokio::spawn(serve(listener, shared, handler));
    address
}

/// Connects, sends a request and reads the first bytes of the response.
async fn request(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("it listens");
    let req = b"GET / HTTP/1.1\r\nhost: ficu95.example\r\n\r\n";
    stream.write_all(req).await.expect("it reads");
    stream.read_exact(&mut [0; 8]).await.expect("it responds");
    stream
}

async fn read_to_end(mut stream: TcpStream) -> usize {
    let mut received = Vec::new();
    let reading = stream.read_to_end(&mut received);
    let ended = tokio::time::timeout(EVENT_TIMEOUT, reading).await;
    ended.expect("it ends").expect("it is not reset");
    received.len()
}

/// Guards against a process that ends while a caller still reads its response.
#[tokio::test]
async fn closing_waits_for_a_response_that_is_read_slowly() {
    let closing = Closing::default();
    let stream = request(start(&closing, LARGE_BYTES)).await;
    closing.begin();
    tokio::task::yield_now().await;
    assert!(closing.ended().now_or_never().is_none());
    assert!(read_to_end(stream).await > LARGE_BYTES);
    let ended = tokio::time::timeout(EVENT_TIMEOUT, closing.ended()).await;
    assert!(ended.is_ok());
}

#[tokio::test]
async fn closing_ends_idle_connections() {
    let closing = Closing::default();
    let stream = request(start(&closing, 1)).await;
    closing.begin();
    read_to_end(stream).await;
    let ended = tokio::time::timeout(EVENT_TIMEOUT, closing.ended()).await;
    assert!(ended.is_ok());
}
