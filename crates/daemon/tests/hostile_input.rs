//! Malformed and hostile input at the callers' and the peers' address. The node
//! must reject each kind and keep serving.

use std::{net::SocketAddr, time::Duration};

use radishhavend::{
    host::RunningNode,
    settings::{DEFAULTS, Settings},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Time after which a test fails if the node does not respond.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

async fn start_node() -> RunningNode {
    let text = DEFAULTS
        .replace("127.0.0.1:8080", "127.0.0.1:0")
        .replace("127.0.0.1:8081", "127.0.0.1:0")
        .replace("127.0.0.1:8082", "127.0.0.1:0")
        // Nothing listens on port 9, so the platform is unreachable.
        .replace("127.0.0.1:9001", "127.0.0.1:9")
        .replace("127.0.0.1:9002", "127.0.0.1:9");
    let settings = Settings::parse("test.ini", &text).expect("the settings are valid");
    RunningNode::start(settings).await.expect("the node starts")
}

/// Sends raw bytes and returns the response's head, or less if the node closes
/// the connection.
async fn exchange(address: SocketAddr, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("the node listens");
    // The write may fail, because the node may reject the request and close the
    // connection before it has read everything.
    let _ = stream.write_all(request).await;
    let mut response = Vec::new();
    let mut buf = [0; 4096];
    let read = async {
        while let Ok(n @ 1..) = stream.read(&mut buf).await {
            response.extend_from_slice(&buf[..n]);
            if response.windows(4).any(|w| w == b"\r\n\r\n") {
                break;
            }
        }
    };
    tokio::time::timeout(RESPONSE_TIMEOUT, read)
        .await
        .expect("the node responds or closes the connection");
    String::from_utf8_lossy(&response).into_owned()
}

/// Returns the status code of a response, or `closed` if there was none.
fn status(response: &str) -> &str {
    response.split(' ').nth(1).unwrap_or("closed")
}

/// Checks that the node still serves requests.
async fn assert_serves(address: SocketAddr) {
    let response = exchange(address, b"GET /v1/directory HTTP/1.1\r\nhost: n\r\n\r\n").await;
    assert_eq!(status(&response), "200", "{response}");
}

/// Request smuggling: a proxy and the node that disagree on the length of a
/// request see different requests on the connection. The node must reject
/// conflicting or invalid lengths.
#[tokio::test]
async fn conflicting_body_lengths_are_rejected() {
    let node = start_node().await;
    let address = node.callers_address;
    let conflicting = [
        "content-length: 5\r\ncontent-length: 6\r\n",
        "content-length: 5, 6\r\n",
        "content-length: 5\r\ntransfer-encoding: identity, chunked x\r\n",
        "transfer-encoding: chunked, identity\r\n",
        "content-length: -1\r\n",
    ];
    for head in conflicting {
        let request = format!("POST /v1/request-ids HTTP/1.1\r\nhost: n\r\n{head}\r\nhello");
        let response = exchange(address, request.as_bytes()).await;
        assert!(
            matches!(status(&response), "400" | "closed"),
            "{head:?}: {response}"
        );
        assert_serves(address).await;
    }
}

/// Without limits, a caller could exhaust the node's memory with a long header,
/// many headers or a large body.
#[tokio::test]
async fn oversize_input_is_rejected() {
    let node = start_node().await;
    let address = node.callers_address;
    let long_header = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "a".repeat(1024 * 1024));
    let response = exchange(address, long_header.as_bytes()).await;
    assert!(
        matches!(status(&response), "431" | "400" | "closed"),
        "{response}"
    );
    let many_headers: String = (0..1_000).map(|n| format!("x-{n}: 1\r\n")).collect();
    let request = format!("GET / HTTP/1.1\r\n{many_headers}\r\n");
    let response = exchange(address, request.as_bytes()).await;
    assert!(
        matches!(status(&response), "431" | "400" | "closed"),
        "{response}"
    );
    let body = "a".repeat(2 * 1024 * 1024);
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: n\r\nauthorization: Bearer x\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let response = exchange(address, request.as_bytes()).await;
    assert!(matches!(status(&response), "413" | "closed"), "{response}");
    assert_serves(address).await;
}

/// Invalid headers are rejected with status 400 and a missing token with 401,
/// also by a node that is not ready.
#[tokio::test]
async fn invalid_headers_get_their_status() {
    let node = start_node().await;
    let address = node.callers_address;
    let body = r#"{"model":"m","prompt":"p","max_tokens":1}"#;
    let cases = [
        ("authorization: Bearer x\r\nx-deadline-ms: soon\r\n", "400"),
        ("authorization: Bearer x\r\nx-request-id: a b\r\n", "400"),
        ("authorization: Bearer x\r\nx-idempotent: maybe\r\n", "400"),
        ("authorization: Basic x\r\n", "401"),
        ("", "401"),
        // A node that is not ready does not check tokens.
        ("authorization: Bearer x\r\n", "503"),
    ];
    for (head, expected) in cases {
        let request = format!(
            "POST /v1/completions HTTP/1.1\r\nhost: n\r\n{head}content-length: {}\r\n\r\n{body}",
            body.len()
        );
        let response = exchange(address, request.as_bytes()).await;
        assert_eq!(status(&response), expected, "{head:?}: {response}");
    }
}

/// A process that does not hold the shared key must not get a stream to the node,
/// and its attempt must be counted.
#[tokio::test]
async fn peers_without_the_key_are_disconnected_and_counted() {
    let node = start_node().await;
    let address = node.peers_address;
    exchange(address, b"GET / HTTP/1.1\r\n\r\n").await;
    let counted = async {
        while node.host.peer_stream_failures() == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(RESPONSE_TIMEOUT, counted)
        .await
        .expect("the failure is counted");
    assert_serves(node.callers_address).await;
}
