//! Accepts connections of other nodes and receives their messages.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use h2::{RecvStream, server::SendResponse};
use http::{HeaderMap, Request, Response, StatusCode};
use radishhaven_core::{message::Event, peer::Sender};
use spdlog::prelude::*;
use tokio::net::{TcpListener, TcpStream};

use super::{
    CHALLENGE_PATH, INCARNATION_HEADER, MESSAGES_PATH, NONCE_HEADER, PROOF_HEADER, PeerError,
    VM_HEADER,
    auth::{self, Side},
    wire,
};
use crate::host::Host;

/// Timeout of the HTTP/2 handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves other nodes until the process ends.
pub(crate) async fn serve(host: Arc<Host>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(run(host.clone(), stream));
            }
            Err(error) => {
                warn!("failed to accept a peer's connection", kv: { error = error.to_string() });
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves one connection; counts and logs its failure.
async fn run(host: Arc<Host>, stream: TcpStream) {
    if let Err(error) = serve_connection(&host, stream).await {
        host.peer_stream_failed();
        debug!("a peer's connection failed", kv: { error = error.to_string() });
    }
}

async fn serve_connection(host: &Arc<Host>, stream: TcpStream) -> Result<(), PeerError> {
    stream.set_nodelay(true)?;
    let handshake = tokio::time::timeout(HANDSHAKE_TIMEOUT, h2::server::handshake(stream));
    let mut connection = handshake.await.map_err(|_| PeerError::TimedOut)??;
    let nonce = auth::nonce();
    while let Some(accepted) = connection.accept().await {
        let (req, respond) = accepted?;
        match req.uri().path() {
            CHALLENGE_PATH => challenge(host, &req, respond, &nonce)?,
            MESSAGES_PATH => {
                let from = authenticate(host, req.headers(), &nonce)?;
                tokio::spawn(receive(host.clone(), from, req, respond));
            }
            _ => return Err(PeerError::InvalidProof),
        }
    }
    Ok(())
}

/// Responds to a challenge with this node's proof and nonce.
fn challenge(
    host: &Host,
    req: &Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    nonce: &str,
) -> Result<(), PeerError> {
    let peer_nonce = text(req.headers(), NONCE_HEADER).ok_or(PeerError::InvalidProof)?;
    let own = host.sender();
    let proof = auth::proof(&host.settings.peers.key, Side::Listening, &own, peer_nonce);
    let resp = Response::builder()
        .header(NONCE_HEADER, nonce)
        .header(PROOF_HEADER, proof)
        .header(VM_HEADER, own.vm.as_str())
        .header(INCARNATION_HEADER, own.incarnation.to_string())
        .body(())?;
    respond.send_response(resp, true)?;
    Ok(())
}

/// Returns the sender of a request after verifying its proof.
fn authenticate(host: &Host, headers: &HeaderMap, nonce: &str) -> Result<Sender, PeerError> {
    let sender = sender(headers).ok_or(PeerError::InvalidProof)?;
    let proof = text(headers, PROOF_HEADER).ok_or(PeerError::InvalidProof)?;
    let key = &host.settings.peers.key;
    let is_valid = auth::is_valid_proof(key, Side::Connecting, &sender, nonce, proof);
    is_valid.then_some(sender).ok_or(PeerError::InvalidProof)
}

/// Returns the sender that the headers name, without verifying it.
pub(super) fn sender(headers: &HeaderMap) -> Option<Sender> {
    let vm = text(headers, VM_HEADER)?.parse().ok()?;
    let incarnation = text(headers, INCARNATION_HEADER)?.parse().ok()?;
    Some(Sender { vm, incarnation })
}

/// Returns a header's value, if it is text.
pub(super) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Receives the messages of one stream; responds when it ends or is invalid.
async fn receive(
    host: Arc<Host>,
    from: Sender,
    req: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) {
    match receive_messages(&host, &from, req.into_body()).await {
        Ok(()) => {
            let _ = respond.send_response(Response::new(()), true);
        }
        Err(error) => {
            host.peer_stream_failed();
            let (vm, error) = (from.vm.to_string(), error.to_string());
            warn!("closed a peer's message stream after an error", kv: { vm, error });
            let mut refusal = Response::new(());
            *refusal.status_mut() = StatusCode::BAD_REQUEST;
            let _ = respond.send_response(refusal, true);
        }
    }
}

async fn receive_messages(
    host: &Arc<Host>,
    from: &Sender,
    mut body: RecvStream,
) -> Result<(), PeerError> {
    let mut buf = BytesMut::new();
    while let Some(data) = body.data().await {
        let data = data?;
        body.flow_control().release_capacity(data.len())?;
        buf.extend_from_slice(&data);
        while let Some(message) = wire::decode(&mut buf)? {
            host.handle(Event::Peer {
                from: from.clone(),
                message,
            });
        }
    }
    Ok(())
}
