//! Opens connections to targets through a peer.

use std::net::{SocketAddr, TcpStream};

use async_io::Async;
use async_tungstenite::tungstenite::Message;
use async_tungstenite::tungstenite::protocol::WebSocketConfig;
use async_tungstenite::{WebSocketStream, client_async_with_config};
use futures_lite::{FutureExt, StreamExt};

use crate::clock::coarse_sleep;
use crate::http::{connect, enable_dead_peer_detection};
use crate::peer::relay::{MAX_RELAY_MESSAGE_BYTES, RELAY_CHUNK_BYTES, RelayStream};
use crate::peer::{Mesh, PROTOCOL_VERSION, PeerMessage, RelayError, decode, encode};
use crate::prelude::*;

/// Timeout of the whole handshake: the peer's connection to the target has a shorter one.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);

/// Opens a connection to a target through the peer at an address.
///
/// # Errors
/// When the peer does not answer, is no peer, or does not connect to the target.
pub(crate) async fn open(
    mesh: &Mesh,
    peer: SocketAddr,
    target: &str,
) -> Result<RelayStream, RelayError> {
    let timeout = async {
        coarse_sleep(OPEN_TIMEOUT).await;
        Err(RelayError::Peer)
    };
    open_without_timeout(mesh, peer, target).or(timeout).await
}

async fn open_without_timeout(
    mesh: &Mesh,
    peer: SocketAddr,
    target: &str,
) -> Result<RelayStream, RelayError> {
    let stream = connect(peer).await;
    let stream = stream.map_err(|_| RelayError::Peer)?;
    enable_dead_peer_detection(stream.get_ref());
    let socket = stream.get_ref().try_clone().map_err(|_| RelayError::Peer)?;
    let cfg = WebSocketConfig::default()
        .read_buffer_size(RELAY_CHUNK_BYTES)
        .write_buffer_size(0)
        .max_message_size(Some(MAX_RELAY_MESSAGE_BYTES))
        .max_frame_size(Some(MAX_RELAY_MESSAGE_BYTES));
    let url = format!("ws://{peer}/relay");
    let (mut ws, _) = client_async_with_config(url, stream, Some(cfg))
        .await
        .map_err(|_| RelayError::Peer)?;
    let request = encode(&mesh.relay_request(target.into()));
    ws.send(Message::Binary(request.into()))
        .await
        .map_err(|_| RelayError::Peer)?;
    verify_peer(mesh, receive(&mut ws).await?)?;
    match receive(&mut ws).await? {
        PeerMessage::RelayOpened => Ok(RelayStream::new(ws, socket)),
        PeerMessage::RelayFailed(failure) => Err(RelayError::Target(failure)),
        _ => Err(RelayError::Peer),
    }
}

fn verify_peer(mesh: &Mesh, hello: PeerMessage) -> Result<(), RelayError> {
    match hello {
        PeerMessage::Hello {
            protocol: PROTOCOL_VERSION,
            name,
            boot,
            proof,
            ..
        } if mesh.verify_proof(&name, boot, &proof) => Ok(()),
        _ => Err(RelayError::Peer),
    }
}

async fn receive(ws: &mut WebSocketStream<Async<TcpStream>>) -> Result<PeerMessage, RelayError> {
    match ws.next().await {
        Some(Ok(Message::Binary(frame))) => decode(&frame).map_err(|_| RelayError::Peer),
        _ => Err(RelayError::Peer),
    }
}
