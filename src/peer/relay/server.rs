//! Connects peers to targets that they do not reach themselves.

use std::net::TcpStream;

use async_io::Async;
use async_tungstenite::tungstenite::{Bytes, Message};
use async_tungstenite::{WebSocketReceiver, WebSocketSender, WebSocketStream};
use futures_lite::future::Boxed;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt, StreamExt};
use socket2::SockRef;

use crate::http::enable_dead_peer_detection;
use crate::peer::relay::RELAY_CHUNK_BYTES;
use crate::peer::{PeerMessage, RelayFailure, encode};
use crate::prelude::*;

/// A connection to a target that is relayed to a peer.
pub struct RelayedTarget {
    /// The connection.
    pub stream: Async<TcpStream>,
    /// Counts the relay as open until it is dropped.
    pub open: Box<dyn Send>,
}

/// Connects to targets on behalf of peers.
pub trait RelayServer: Send + Sync {
    /// Connects to a target by its name.
    fn connect(&self, target: Name) -> Boxed<Result<RelayedTarget, RelayFailure>>;
}

/// Connects an authenticated peer to a target, and relays bytes until one of them ends.
pub(crate) async fn serve(
    server: Option<&dyn RelayServer>,
    mut ws: WebSocketStream<Async<TcpStream>>,
    peer: &Name,
    target: &Name,
) {
    enable_dead_peer_detection(ws.get_ref().get_ref());
    let connected = match server {
        Some(server) => server.connect(target.clone()).await,
        None => Err(RelayFailure::Unavailable),
    };
    let (answer, relayed) = match connected {
        Ok(relayed) => (PeerMessage::RelayOpened, Some(relayed)),
        Err(failure) => (PeerMessage::RelayFailed(failure), None),
    };
    let sent = ws.send(Message::Binary(encode(&answer).into())).await;
    let Some(RelayedTarget { stream, open }) = relayed.filter(|_| sent.is_ok()) else {
        let _ = ws.close(None).await;
        return;
    };
    let (to_peer, from_peer) = ws.split();
    let requests = forward_requests(from_peer, &stream, peer, target);
    requests.or(forward_responses(&stream, to_peer)).await;
    // What the peer gave up must not reach the target later, such as after a network partition.
    let _ = SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO));
    drop(open);
}

/// Forwards the peer's bytes until it closes the connection.
async fn forward_requests(
    mut from_peer: WebSocketReceiver<Async<TcpStream>>,
    stream: &Async<TcpStream>,
    peer: &Name,
    target: &Name,
) {
    let mut to_target = stream;
    while let Some(Ok(message)) = from_peer.next().await {
        let written = match message {
            Message::Binary(bytes) => to_target.write_all(&bytes).await,
            Message::Text(request) => {
                log::info!("event=request_relayed request={request} target={target} peer={peer}");
                Ok(())
            }
            Message::Close(_) => return,
            _ => Ok(()),
        };
        if written.is_err() {
            // The target may have sent a response before it closed the connection.
            return std::future::pending().await;
        }
    }
}

/// Forwards the target's bytes, and the orderly end of its stream; a connection that broke ends
/// without one.
async fn forward_responses(
    stream: &Async<TcpStream>,
    mut to_peer: WebSocketSender<Async<TcpStream>>,
) {
    let mut from_target = stream;
    let mut buf = vec![0; RELAY_CHUNK_BYTES];
    loop {
        match from_target.read(&mut buf).await {
            Ok(0) => {
                let _ = to_peer.close(None).await;
                return;
            }
            Ok(len) => {
                let message = Message::Binary(Bytes::copy_from_slice(&buf[..len]));
                if to_peer.send(message).await.is_err() {
                    return;
                }
            }
            Err(_) => return,
        }
    }
}
