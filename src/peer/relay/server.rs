//! Connects peers to targets that they do not reach themselves.

use std::net::TcpStream;

use async_io::Async;
use async_tungstenite::tungstenite::protocol::CloseFrame;
use async_tungstenite::tungstenite::protocol::frame::coding::CloseCode;
use async_tungstenite::tungstenite::{Bytes, Message, Utf8Bytes};
use async_tungstenite::{WebSocketReceiver, WebSocketSender, WebSocketStream};
use futures_lite::future::Boxed;
use futures_lite::{FutureExt, StreamExt};
use socket2::SockRef;

use crate::clock::coarse_sleep;
use crate::http::{DuplexStream, enable_dead_peer_detection};
use crate::peer::relay::RELAY_CHUNK_BYTES;
use crate::peer::{PeerMessage, RelayFailure, encode};
use crate::prelude::*;
use crate::telemetry::LogValue;

/// Longest time for which the peer's bytes are read after the end of the target's stream: closing a
/// socket with unread bytes resets the connection, and the peer may lose what was sent before.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(3);

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
    let stream = DuplexStream::from(stream);
    let requests = forward_requests(from_peer, &stream, peer, target);
    let responses = async {
        if forward_responses(&stream, to_peer).await == StreamEnd::Orderly {
            coarse_sleep(CLOSE_TIMEOUT).await;
        }
    };
    requests.or(responses).await;
    // What the peer gave up must not reach the target later, such as after a network partition.
    let _ = SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO));
    drop(open);
}

/// How the relaying of a target's stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamEnd {
    /// At the end of the stream, of which the peer was told.
    Orderly,
    /// One of the connections failed.
    Failed,
}

/// Forwards the peer's bytes until it closes the connection. What the target does not take is dropped:
/// it may have sent a response before it closed its connection.
async fn forward_requests(
    mut from_peer: WebSocketReceiver<Async<TcpStream>>,
    stream: &DuplexStream,
    peer: &Name,
    target: &Name,
) {
    let mut has_failed = false;
    while let Some(Ok(message)) = from_peer.next().await {
        match message {
            Message::Binary(bytes) if !has_failed => {
                has_failed = stream.write_all(&bytes).await.is_err();
            }
            Message::Text(request) => {
                let (request, target) = (LogValue(&request), LogValue(target));
                let peer = LogValue(peer);
                log::info!("event=request_relayed request={request} target={target} peer={peer}");
            }
            Message::Close(_) => return,
            _ => {}
        }
    }
}

/// Forwards the target's bytes, and the orderly end of its stream; a connection that failed ends
/// without one.
async fn forward_responses(
    stream: &DuplexStream,
    mut to_peer: WebSocketSender<Async<TcpStream>>,
) -> StreamEnd {
    let mut buf = vec![0; RELAY_CHUNK_BYTES];
    loop {
        let Ok(len) = stream.read(&mut buf).await else {
            return StreamEnd::Failed;
        };
        let message = if len == 0 {
            Message::Close(Some(end_of_stream()))
        } else {
            Message::Binary(Bytes::copy_from_slice(&buf[..len]))
        };
        if to_peer.send(message).await.is_err() {
            return StreamEnd::Failed;
        }
        if len == 0 {
            return StreamEnd::Orderly;
        }
    }
}

/// Tells a peer that the target's stream ended in order. A close message without a status comes from an
/// earlier build, which also sends it after some failures.
fn end_of_stream() -> CloseFrame {
    CloseFrame {
        code: CloseCode::Normal,
        reason: Utf8Bytes::from_static("end of stream"),
    }
}
