//! One WebSocket connection to a peer.

use std::net::{SocketAddr, TcpStream};

use async_channel::Receiver;
use async_io::{Async, Timer};
use async_tungstenite::tungstenite::protocol::WebSocketConfig;
use async_tungstenite::tungstenite::{Bytes, Error as WsError, Message};
use async_tungstenite::{
    WebSocketReceiver, WebSocketSender, WebSocketStream, accept_async_with_config,
    client_async_with_config,
};
use futures_lite::{FutureExt, StreamExt};

use crate::peer::{ConnId, MemberEvent, Mesh, PROTOCOL, PeerMessage, decode, encode};
use crate::prelude::*;

/// Longest message, in bytes; a whole catalog has to fit.
const MAX_MESSAGE: usize = 64 * 1024 * 1024;
/// Longest first message of a peer that has not proved itself, in bytes.
const MAX_HELLO: usize = 4 * 1024;
/// Bytes read from a socket at once.
const READ_SIZE: usize = 4 * 1024;

type Stream = WebSocketStream<Async<TcpStream>>;

/// What a peer said of itself in its first message.
struct Peer {
    name: Name,
    domain: Name,
    boot: u64,
}

/// Serves an accepted connection to its end.
pub(crate) async fn accept(mesh: &Arc<Mesh>, stream: Async<TcpStream>) {
    let handshaking = mesh.handshaking();
    let _ = stream.get_ref().set_nodelay(true);
    let handshake = async {
        let ws = accept_async_with_config(stream, Some(config())).await?;
        greet(mesh, ws).await
    };
    match within(mesh.peer_timeout, handshake).await {
        Ok((ws, peer)) => {
            drop(handshaking);
            serve(mesh, ws, peer, None).await;
        }
        Err(err) => mesh.fault("peer_handshake_failed", "-", &err),
    }
}

/// Dials an address and serves the connection to its end.
pub(crate) async fn dial(mesh: &Arc<Mesh>, addr: SocketAddr) {
    let handshake = async {
        let stream = Async::<TcpStream>::connect(addr).await?;
        let _ = stream.get_ref().set_nodelay(true);
        let url = format!("ws://{addr}/peers");
        let (ws, _) = client_async_with_config(url, stream, Some(config())).await?;
        greet(mesh, ws).await
    };
    match within(mesh.peer_timeout, handshake).await {
        Ok((ws, peer)) => serve(mesh, ws, peer, Some(addr)).await,
        Err(err) => {
            log::debug!(
                "event=peer_dial_failed address={addr} error={:?}",
                err.to_string()
            );
            mesh.apply(MemberEvent::DialFailed(addr));
        }
    }
}

fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_SIZE)
        .write_buffer_size(0)
        .max_message_size(Some(MAX_MESSAGE))
        .max_frame_size(Some(MAX_MESSAGE))
}

async fn within<T>(
    timeout: Duration,
    step: impl Future<Output = Result<T, WsError>>,
) -> Result<T, WsError> {
    let late = async {
        Timer::after(timeout).await;
        Err(std::io::Error::from(std::io::ErrorKind::TimedOut).into())
    };
    step.or(late).await
}

fn refused(detail: impl Into<String>) -> WsError {
    std::io::Error::new(std::io::ErrorKind::InvalidData, detail.into()).into()
}

/// Exchanges first messages and checks the peer's proof.
async fn greet(mesh: &Arc<Mesh>, mut ws: Stream) -> Result<(Stream, Peer), WsError> {
    ws.send(Message::Binary(encode(&mesh.hello()).into()))
        .await?;
    let frame = match ws.next().await {
        Some(Ok(Message::Binary(frame))) if frame.len() <= MAX_HELLO => frame,
        Some(Err(err)) => return Err(err),
        _ => return Err(refused("expected a greeting")),
    };
    let hello = decode(&frame).map_err(|err| refused(err.to_string()))?;
    let PeerMessage::Hello {
        protocol,
        name,
        domain,
        boot,
        proof,
    } = hello
    else {
        return Err(refused("expected a greeting"));
    };
    if protocol != PROTOCOL {
        return Err(refused(format!("protocol {protocol} is not {PROTOCOL}")));
    }
    if !mesh.proves(&name, boot, &proof) {
        return Err(refused("the greeting's proof does not fit"));
    }
    Ok((ws, Peer { name, domain, boot }))
}

async fn serve(mesh: &Arc<Mesh>, ws: Stream, peer: Peer, dialled: Option<SocketAddr>) {
    let name = peer.name.clone();
    let Some((conn, out)) = mesh.open(peer.name, peer.domain, peer.boot, dialled) else {
        return;
    };
    let (tx, ws) = ws.split();
    let write = write(mesh, tx, out.frames);
    let read = read(mesh, ws, conn, &name);
    let stopped = async {
        let _ = out.stop.recv().await;
    };
    stopped.or(read).or(write).await;
    mesh.closed(conn);
}

/// Sends queued messages and heartbeats until the queue is closed or the connection fails.
async fn write(
    mesh: &Arc<Mesh>,
    mut ws: WebSocketSender<Async<TcpStream>>,
    queue: Receiver<Bytes>,
) {
    let mut beats = Timer::interval_at(std::time::Instant::now(), mesh.heartbeat);
    loop {
        let beat = async {
            beats.next().await;
            Some(Bytes::from(encode(&mesh.beat())))
        };
        let queued = async { queue.recv().await.ok() };
        let Some(frame) = beat.or(queued).await else {
            return;
        };
        mesh.traffic().count_sent(frame.len());
        if ws.send(Message::Binary(frame)).await.is_err() {
            return;
        }
    }
}

/// Receives messages until the connection fails or a frame cannot be read.
async fn read(
    mesh: &Arc<Mesh>,
    mut ws: WebSocketReceiver<Async<TcpStream>>,
    conn: ConnId,
    peer: &str,
) {
    while let Some(Ok(message)) = ws.next().await {
        let frame = match message {
            Message::Binary(frame) => frame,
            Message::Ping(_) | Message::Pong(_) => continue,
            Message::Close(_) => return,
            _ => Bytes::new(),
        };
        mesh.traffic().count_received(frame.len());
        match decode(&frame) {
            Ok(message) => mesh.received(conn, message),
            Err(err) => {
                mesh.traffic().count_unreadable();
                mesh.fault("peer_frame_unreadable", peer, &err);
                return;
            }
        }
    }
}
