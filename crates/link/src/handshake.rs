//! Mutual authentication by proof of the shared secret.
//!
//! Without it, any process that can reach the port could act as a peer, answer calls to a shard or
//! send orders to a target. Each side sends a fresh nonce, and each proof is an HMAC over both
//! nonces, both names and roles, and the direction. A recorded proof is therefore invalid on
//! another connection, and a proof can't be reflected to its sender.

use async_std::net::TcpStream;
use futures_util::{SinkExt, StreamExt};
use notch_messages::frame::NodeRole;
use notch_types::prelude::*;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio_tungstenite::{WebSocketStream, tungstenite::Message};
use tokio_util::compat::Compat;

use crate::{codec, error::LinkError, event::LinkPeer, settings::LinkSettings};

pub(crate) type LinkSocket = WebSocketStream<Compat<TcpStream>>;

const DIALER_CONTEXT: &[u8] = b"magnolianotch link dialer 1";
const LISTENER_CONTEXT: &[u8] = b"magnolianotch link listener 1";

#[derive(Serialize, Deserialize)]
struct HelloFrame {
    vm: VmName,
    role: NodeRole,
    nonce: Payload,
}

#[derive(Serialize, Deserialize)]
struct ChallengeFrame {
    vm: VmName,
    role: NodeRole,
    nonce: Payload,
    proof: Payload,
}

#[derive(Serialize, Deserialize)]
struct ProofFrame {
    proof: Payload,
}

#[derive(Serialize, Deserialize)]
struct ReadyFrame {
    ready: bool,
}

/// Handshake of the dialling side: authenticates to the listener and verifies the listener's proof.
pub(crate) async fn dial(
    socket: &mut LinkSocket,
    settings: &LinkSettings,
) -> Result<LinkPeer, LinkError> {
    let nonce = fresh_nonce();
    let hello = HelloFrame { vm: settings.vm.clone(), role: settings.role, nonce };
    write(socket, &hello).await?;
    let challenge: ChallengeFrame = read(socket).await?;
    let transcript_bytes = transcript(&hello, &challenge.vm, challenge.role, &challenge.nonce);
    if !settings.secret.verify(&[LISTENER_CONTEXT, &transcript_bytes], &challenge.proof) {
        return Err(LinkError::Unproved);
    }
    let proof = settings.secret.prove(&[DIALER_CONTEXT, &transcript_bytes]).into();
    write(socket, &ProofFrame { proof }).await?;
    let _: ReadyFrame = read(socket).await?;
    Ok(LinkPeer { vm: challenge.vm, role: challenge.role })
}

/// Handshake of the listening side: authenticates to the dialler and verifies the dialler's proof.
pub(crate) async fn accept(
    socket: &mut LinkSocket,
    settings: &LinkSettings,
) -> Result<LinkPeer, LinkError> {
    let hello: HelloFrame = read(socket).await?;
    let nonce = fresh_nonce();
    let transcript_bytes = transcript(&hello, &settings.vm, settings.role, &nonce);
    let proof = settings.secret.prove(&[LISTENER_CONTEXT, &transcript_bytes]).into();
    write(socket, &ChallengeFrame { vm: settings.vm.clone(), role: settings.role, nonce, proof })
        .await?;
    let answer: ProofFrame = read(socket).await?;
    if !settings.secret.verify(&[DIALER_CONTEXT, &transcript_bytes], &answer.proof) {
        return Err(LinkError::Unproved);
    }
    write(socket, &ReadyFrame { ready: true }).await?;
    Ok(LinkPeer { vm: hello.vm, role: hello.role })
}

/// The data that both proofs cover. Length prefixes make the encoding unambiguous.
fn transcript(hello: &HelloFrame, vm: &VmName, role: NodeRole, nonce: &[u8]) -> Vec<u8> {
    let roles = [role_byte(hello.role), role_byte(role)];
    let parts: [&[u8]; 5] =
        [hello.vm.as_str().as_bytes(), &hello.nonce, vm.as_str().as_bytes(), nonce, &roles];
    let mut bytes = Vec::new();
    for part in parts {
        bytes.extend_from_slice(&(part.len() as u64).to_le_bytes());
        bytes.extend_from_slice(part);
    }
    bytes
}

fn role_byte(role: NodeRole) -> u8 {
    match role {
        NodeRole::Gateway => 0,
        NodeRole::Sidecar => 1,
        NodeRole::Operator => 2,
    }
}

fn fresh_nonce() -> Payload {
    rand::random::<[u8; 32]>().to_vec().into()
}

async fn write<T: Serialize>(socket: &mut LinkSocket, frame: &T) -> Result<(), LinkError> {
    let bytes = codec::encode(frame)?;
    socket.send(Message::binary(bytes)).await.map_err(|_| LinkError::Transport)
}

async fn read<T: DeserializeOwned>(socket: &mut LinkSocket) -> Result<T, LinkError> {
    match socket.next().await {
        Some(Ok(Message::Binary(bytes))) => codec::decode(&bytes),
        Some(Ok(_)) => Err(LinkError::Undecodable),
        Some(Err(_)) => Err(LinkError::Transport),
        None => Err(LinkError::Closed),
    }
}
