//! Connects to other nodes and sends them messages in order.

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

/// Messages that wait for one node; more are dropped.
const QUEUE_MESSAGES: usize = 1_024;
/// Time within which a node must be reached, and take a message.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without a message after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

type Queue = mpsc::Sender<PeerMessage>;

/// One queue for each node that is sent to.
#[derive(Debug, Default)]
pub(crate) struct PeerQueues {
    queues: Mutex<BTreeMap<(VmId, SocketAddr), Queue>>,
}

impl PeerQueues {
    /// Sends a message; returns false if it was dropped at once.
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
        let (tx, rx) = mpsc::channel(QUEUE_MESSAGES);
        let sent = tx.try_send(message).is_ok();
        tokio::spawn(run(host.clone(), key.0.clone(), address, rx));
        queues.insert(key, tx);
        sent
    }
}

async fn run(host: Arc<Host>, to: VmId, address: SocketAddr, mut rx: mpsc::Receiver<PeerMessage>) {
    let ended = link(&host, &to, address, &mut rx).await;
    rx.close();
    if ended.is_err() {
        host.handle(Event::PeerUnreachable { vm: to });
    }
}

async fn link(
    host: &Host,
    to: &VmId,
    address: SocketAddr,
    rx: &mut mpsc::Receiver<PeerMessage>,
) -> Result<(), PeerError> {
    let connect = tokio::time::timeout(SEND_TIMEOUT, connect(host, to, address));
    let (mut stream, mut answer) = connect.await.map_err(|_| PeerError::TimedOut)??;
    loop {
        tokio::select! {
            // The other node answers only when it has closed the stream.
            _ = &mut answer => return Err(PeerError::Ended),
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

async fn send(stream: &mut SendStream<Bytes>, mut frame: Bytes) -> Result<(), PeerError> {
    while !frame.is_empty() {
        stream.reserve_capacity(frame.len());
        let granted = std::future::poll_fn(|cx| stream.poll_capacity(cx)).await;
        let granted = granted.ok_or(PeerError::Ended)??;
        let part = frame.split_to(granted.min(frame.len()));
        stream.send_data(part, false)?;
    }
    Ok(())
}

async fn connect(
    host: &Host,
    to: &VmId,
    address: SocketAddr,
) -> Result<(SendStream<Bytes>, h2::client::ResponseFuture), PeerError> {
    let tcp = TcpStream::connect(address).await?;
    tcp.set_nodelay(true)?;
    let (client, connection) = h2::client::handshake(tcp).await?;
    tokio::spawn(async move {
        // The stream sees the connection's end as its own.
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
    let (answer, stream) = client.send_request(req, false)?;
    Ok((stream, answer))
}

/// Checks that the other node holds the key, and returns its fresh value.
async fn challenge(
    host: &Host,
    to: &VmId,
    client: &mut SendRequest<Bytes>,
) -> Result<String, PeerError> {
    let nonce = auth::nonce();
    let req = Request::get(format!("http://peer{CHALLENGE_PATH}"))
        .header(NONCE_HEADER, &nonce)
        .body(())?;
    let (answer, _) = client.send_request(req, true)?;
    let answer: Response<h2::RecvStream> = answer.await?;
    let headers = answer.headers();
    let theirs = sender(headers)
        .filter(|s| s.vm == *to)
        .ok_or(PeerError::Unproved)?;
    let proof = text(headers, PROOF_HEADER).ok_or(PeerError::Unproved)?;
    if !auth::is_proved(
        &host.settings.peers.key,
        Side::Listening,
        &theirs,
        &nonce,
        proof,
    ) {
        return Err(PeerError::Unproved);
    }
    text(headers, NONCE_HEADER)
        .map(str::to_owned)
        .ok_or(PeerError::Unproved)
}
