//! Hostile input at the callers' address: each kind is refused, and the node
//! serves on.

use std::{net::SocketAddr, time::Duration};

use radishhavend::{
    host::RunningNode,
    settings::{DEFAULTS, Settings},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Time after which a test gives up on a node that says nothing.
const GIVE_UP: Duration = Duration::from_secs(20);

async fn node() -> RunningNode {
    let text = DEFAULTS
        .replace("127.0.0.1:8080", "127.0.0.1:0")
        .replace("127.0.0.1:8081", "127.0.0.1:0")
        .replace("127.0.0.1:8082", "127.0.0.1:0")
        // Nobody listens on the platform's addresses here.
        .replace("127.0.0.1:9001", "127.0.0.1:9")
        .replace("127.0.0.1:9002", "127.0.0.1:9");
    let settings = Settings::parse("test.ini", &text).expect("the settings are valid");
    RunningNode::start(settings).await.expect("the node starts")
}

async fn exchange(address: SocketAddr, sent: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("the node listens");
    // The node may refuse and close before it has read all of it.
    let _ = stream.write_all(sent).await;
    let mut got = Vec::new();
    let mut buf = [0; 4096];
    let read = async {
        while let Ok(n @ 1..) = stream.read(&mut buf).await {
            got.extend_from_slice(&buf[..n]);
            if got.windows(4).any(|w| w == b"\r\n\r\n") {
                break;
            }
        }
    };
    tokio::time::timeout(GIVE_UP, read)
        .await
        .expect("the node answers or closes");
    String::from_utf8_lossy(&got).into_owned()
}

fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or("closed")
}

async fn serves(address: SocketAddr) {
    let answer = exchange(address, b"GET /v1/directory HTTP/1.1\r\nhost: n\r\n\r\n").await;
    assert_eq!(status(&answer), "200", "{answer}");
}

#[tokio::test]
async fn two_lengths_of_one_request_are_refused() {
    let node = node().await;
    let address = node.callers_address;
    let smuggled = [
        "content-length: 5\r\ncontent-length: 6\r\n",
        "content-length: 5, 6\r\n",
        "content-length: 5\r\ntransfer-encoding: identity, chunked x\r\n",
        "transfer-encoding: chunked, identity\r\n",
        "content-length: -1\r\n",
    ];
    for head in smuggled {
        let sent = format!("POST /v1/request-ids HTTP/1.1\r\nhost: n\r\n{head}\r\nhello");
        let answer = exchange(address, sent.as_bytes()).await;
        assert!(
            matches!(status(&answer), "400" | "closed"),
            "{head:?}: {answer}"
        );
        serves(address).await;
    }
}

#[tokio::test]
async fn oversize_input_is_refused() {
    let node = node().await;
    let address = node.callers_address;
    let long_header = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "a".repeat(1024 * 1024));
    let answer = exchange(address, long_header.as_bytes()).await;
    assert!(
        matches!(status(&answer), "431" | "400" | "closed"),
        "{answer}"
    );
    let many_headers: String = (0..1_000).map(|n| format!("x-{n}: 1\r\n")).collect();
    let sent = format!("GET / HTTP/1.1\r\n{many_headers}\r\n");
    let answer = exchange(address, sent.as_bytes()).await;
    assert!(
        matches!(status(&answer), "431" | "400" | "closed"),
        "{answer}"
    );
    let body = "a".repeat(2 * 1024 * 1024);
    let sent = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: n\r\nauthorization: Bearer x\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let answer = exchange(address, sent.as_bytes()).await;
    assert!(matches!(status(&answer), "413" | "closed"), "{answer}");
    serves(address).await;
}

#[tokio::test]
async fn wrong_values_get_a_typed_refusal() {
    let node = node().await;
    let address = node.callers_address;
    let body = r#"{"model":"m","prompt":"p","max_tokens":1}"#;
    let cases = [
        ("authorization: Bearer x\r\nx-deadline-ms: soon\r\n", "400"),
        ("authorization: Bearer x\r\nx-request-id: a b\r\n", "400"),
        ("authorization: Bearer x\r\nx-idempotent: maybe\r\n", "400"),
        ("authorization: Basic x\r\n", "401"),
        ("", "401"),
        // A node that is not ready judges no token.
        ("authorization: Bearer x\r\n", "503"),
    ];
    for (head, expected) in cases {
        let sent = format!(
            "POST /v1/completions HTTP/1.1\r\nhost: n\r\n{head}content-length: {}\r\n\r\n{body}",
            body.len()
        );
        let answer = exchange(address, sent.as_bytes()).await;
        assert_eq!(status(&answer), expected, "{head:?}: {answer}");
    }
}

#[tokio::test]
async fn peers_without_the_key_are_cut_off_and_counted() {
    let node = node().await;
    let address = node.peers_address;
    exchange(address, b"GET / HTTP/1.1\r\n\r\n").await;
    let counted = async {
        while node.host.peer_stream_failures() == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(GIVE_UP, counted)
        .await
        .expect("the failure is counted");
    serves(node.callers_address).await;
}
