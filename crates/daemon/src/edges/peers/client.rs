//! Connects to other nodes and sends messages to each of them in order.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use h2::{SendStream, client::SendRequest};
use http::{Request, Response};
use radishhaven_core::{ids::VmId, message::Event, peer::PeerMessage};
use tokio::{net::TcpStream, sync::mpsc};

use super::{
    CHALLENGE_PATH, INCARNATION_HEADER, MESSAGES_PATH, NONCE_HEADER, PROOF_HEADER, PeerError,
    VM_HEADER,
    auth::{self, Side},
    server::{sender, text},
    wire,
};
use crate::host::Host;

/// Maximum number of queued messages per peer; further ones are dropped.
const QUEUE_CAPACITY: usize = 1_024;
/// Timeout of connecting to a peer, and of sending one message.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without a message after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

type Queue = mpsc::Sender<PeerMessage>;

/// One queue of outgoing messages per peer, each with a task that sends them.
#[derive(Debug, Default)]
pub(crate) struct PeerQueues {
    queues: Mutex<BTreeMap<(VmId, SocketAddr), Queue>>,
}

impl PeerQueues {
    /// Queues a message. Returns `false` if it was dropped because the queue is
    /// full.
    pub(crate) fn send(
        &self,
        host: &Arc<Host>,
        to: VmId,
        address: SocketAddr,
        message: PeerMessage,
    ) -> bool {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        let key = (to, address);
        if let Some(queue) = queues.get(&key).filter(|queue| !queue.is_closed()) {
            return queue.try_send(message).is_ok();
        }
        let (tx, rx) = mpsc::channel(QUEUE_CAPACITY);
        let queued = tx.try_send(message).is_ok();
        tokio::spawn(run(host.clone(), key.0.clone(), address, rx));
        queues.insert(key, tx);
        queued
    }
}

/// Sends a peer's messages until the connection ends. Reports the peer as
/// unreachable after a failure.
async fn run(host: Arc<Host>, to: VmId, address: SocketAddr, mut rx: mpsc::Receiver<PeerMessage>) {
    let result = send_queued(&host, &to, address, &mut rx).await;
    rx.close();
    if result.is_err() {
        host.handle(Event::PeerUnreachable { vm: to });
    }
}

/// Connects to a peer and sends the queued messages until the queue is idle or
/// closed.
async fn send_queued(
    host: &Host,
    to: &VmId,
    address: SocketAddr,
    rx: &mut mpsc::Receiver<PeerMessage>,
) -> Result<(), PeerError> {
    let connect = tokio::time::timeout(SEND_TIMEOUT, connect(host, to, address));
    let (mut stream, mut response) = connect.await.map_err(|_| PeerError::TimedOut)??;
    loop {
        tokio::select! {
            // The peer responds only when it closes the stream.
            _ = &mut response => return Err(PeerError::StreamClosed),
            next = tokio::time::timeout(IDLE_TIMEOUT, rx.recv()) => match next {
                Ok(Some(message)) => {
                    let frame = wire::encode(&message)?;
                    let sent = tokio::time::timeout(SEND_TIMEOUT, send(&mut stream, frame));
                    sent.await.map_err(|_| PeerError::TimedOut)??;
                }
                Ok(None) | Err(_) => return Ok(stream.send_data(Bytes::new(), true)?),
            },
        }
    }
}

/// Sends a frame as the flow control window allows.
async fn send(stream: &mut SendStream<Bytes>, mut frame: Bytes) -> Result<(), PeerError> {
    while !frame.is_empty() {
        stream.reserve_capacity(frame.len());
        let granted = std::future::poll_fn(|cx| stream.poll_capacity(cx)).await;
        let granted = granted.ok_or(PeerError::StreamClosed)??;
        let chunk = frame.split_to(granted.min(frame.len()));
        stream.send_data(chunk, false)?;
    }
    Ok(())
}

/// Connects to a peer, exchanges proofs and opens the stream of messages.
async fn connect(
    host: &Host,
    to: &VmId,
    address: SocketAddr,
) -> Result<(SendStream<Bytes>, h2::client::ResponseFuture), PeerError> {
    let tcp = TcpStream::connect(address).await?;
    tcp.set_nodelay(true)?;
    let (client, connection) = h2::client::handshake(tcp).await?;
    tokio::spawn(async move {
        // The error is ignored here: the stream fails too when the connection
        // ends.
        let _ = connection.await;
    });
    let mut client = client.ready().await?;
    let nonce = challenge(host, to, &mut client).await?;
    let own = host.sender();
    let proof = auth::proof(&host.settings.peers.key, Side::Connecting, &own, &nonce);
    let req = Request::post(format!("http://{address}{MESSAGES_PATH}"))
        .header(PROOF_HEADER, proof)
        .header(VM_HEADER, own.vm.as_str())
        .header(INCARNATION_HEADER, own.incarnation.to_string())
        .body(())?;
    let (response, stream) = client.send_request(req, false)?;
    Ok((stream, response))
}

/// Verifies that the peer holds the shared key, and returns its nonce.
async fn challenge(
    host: &Host,
    to: &VmId,
    client: &mut SendRequest<Bytes>,
) -> Result<String, PeerError> {
    let nonce = auth::nonce();
    let req = Request::get(format!("http://peer{CHALLENGE_PATH}"))
        .header(NONCE_HEADER, &nonce)
        .body(())?;
    let (response, _) = client.send_request(req, true)?;
    let response: Response<h2::RecvStream> = response.await?;
    let headers = response.headers();
    let peer = sender(headers)
        .filter(|s| s.vm == *to)
        .ok_or(PeerError::InvalidProof)?;
    let proof = text(headers, PROOF_HEADER).ok_or(PeerError::InvalidProof)?;
    if !auth::is_valid_proof(
        &host.settings.peers.key,
        Side::Listening,
        &peer,
        &nonce,
        proof,
    ) {
        return Err(PeerError::InvalidProof);
    }
    text(headers, NONCE_HEADER)
        .map(str::to_owned)
        .ok_or(PeerError::InvalidProof)
}
