//! WebSocket connection to one peer: handshake, sending and receiving.

use std::net::{SocketAddr, TcpStream};

use async_channel::Receiver;
use async_io::{Async, Timer};
use async_tungstenite::tungstenite::protocol::frame::Frame;
use async_tungstenite::tungstenite::protocol::frame::coding::{Data, OpCode};
use async_tungstenite::tungstenite::protocol::{Role, WebSocketConfig};
use async_tungstenite::tungstenite::{Bytes, Error as WsError, Message};
use async_tungstenite::{
    WebSocketReceiver, WebSocketSender, WebSocketStream, accept_async_with_config,
    client_async_with_config,
};
use futures_lite::{FutureExt, StreamExt};

use crate::http::connect;
use crate::peer::handshake_stream::HandshakeStream;
use crate::peer::{
    CodecError, ConnId, MemberEvent, Mesh, PROTOCOL_VERSION, PeerMessage, decode, encode, relay,
};
use crate::prelude::*;
use crate::shared_intake::IntakePermit;

/// Largest message, in bytes; a full catalog has to fit.
pub(super) const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;
/// Largest hello message, in bytes; it is read before the peer is authenticated.
const MAX_HELLO_BYTES: usize = 4 * 1024;
/// Read buffer of a connection, in bytes.
const READ_BUFFER_BYTES: usize = 4 * 1024;

/// Largest frame that is sent, in bytes; a larger message is sent in several frames. Each connection
/// keeps buffers of the size of its largest frame at both ends.
const MAX_FRAME_BYTES: usize = 64 * 1024;

/// Most kinds of messages that are logged as not understood for each connection.
const MAX_LOGGED_KINDS: usize = 8;

type WsStream = WebSocketStream<Async<TcpStream>>;

/// Identity that a peer states in its hello message.
struct PeerIdentity {
    name: Name,
    domain: Name,
    boot: u64,
}

/// What a peer opened a connection for.
enum Purpose {
    /// A link between the entries.
    Link(PeerIdentity),
    /// A connection to a target that the peer does not reach.
    Relay { peer: Name, target: Name },
}

/// Runs an accepted connection until it ends.
pub(crate) async fn accept(mesh: &Arc<Mesh>, stream: Async<TcpStream>, permit: IntakePermit) {
    let _ = stream.get_ref().set_nodelay(true);
    let handshake = async {
        let stream = HandshakeStream::new(stream);
        let config = config(MAX_HELLO_BYTES);
        let ws = accept_async_with_config(stream, Some(config)).await?;
        exchange_hello(mesh, ws, Role::Server).await
    };
    let evicted = async {
        permit.evicted().await;
        Err(handshake_error("others need the connection's place"))
    };
    match with_timeout(mesh.peer_timeout, handshake.or(evicted)).await {
        Ok((ws, purpose)) => {
            drop(permit);
            match purpose {
                Purpose::Link(peer) => run(mesh, ws, peer, None).await,
                Purpose::Relay { peer, target } => {
                    relay::serve(mesh.relay_server(), ws, &peer, &target).await;
                }
            }
        }
        Err(err) => mesh.record_fault("peer_handshake_failed", "-", &err),
    }
}

/// Dials an address and runs the connection until it ends.
pub(crate) async fn dial(mesh: &Arc<Mesh>, addr: SocketAddr) {
    let handshake = async {
        let stream = connect(addr).await?;
        let _ = stream.get_ref().set_nodelay(true);
        let url = format!("ws://{addr}/peers");
        let stream = HandshakeStream::new(stream);
        let config = config(MAX_HELLO_BYTES);
        let (ws, _) = client_async_with_config(url, stream, Some(config)).await?;
        exchange_hello(mesh, ws, Role::Client).await
    };
    match with_timeout(mesh.peer_timeout, handshake).await {
        Ok((ws, Purpose::Link(peer))) => run(mesh, ws, peer, Some(addr)).await,
        Ok((_, Purpose::Relay { .. })) => mesh.handle_event(MemberEvent::DialFailed(addr)),
        Err(err) => {
            log::debug!(
                "event=peer_dial_failed address={addr} error={:?}",
                err.to_string()
            );
            mesh.handle_event(MemberEvent::DialFailed(addr));
        }
    }
}

fn config(max_message_bytes: usize) -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_BYTES)
        .write_buffer_size(0)
        .max_message_size(Some(max_message_bytes))
        .max_frame_size(Some(max_message_bytes))
}

async fn with_timeout<T>(
    timeout: Duration,
    handshake: impl Future<Output = Result<T, WsError>>,
) -> Result<T, WsError> {
    let timed_out = async {
        Timer::after(timeout).await;
        Err(std::io::Error::from(std::io::ErrorKind::TimedOut).into())
    };
    handshake.or(timed_out).await
}

fn handshake_error(detail: impl Into<String>) -> WsError {
    std::io::Error::new(std::io::ErrorKind::InvalidData, detail.into()).into()
}

/// Sends the own hello message, verifies the proof in the peer's first message, and returns a stream
/// for the messages that follow. A peer sends them only once it has received the own hello message.
async fn exchange_hello(
    mesh: &Arc<Mesh>,
    mut ws: WebSocketStream<HandshakeStream>,
    role: Role,
) -> Result<(WsStream, Purpose), WsError> {
    ws.get_mut().read_single_bytes();
    ws.send(Message::Binary(encode(&mesh.hello_message()).into()))
        .await?;
    let frame = match ws.next().await {
        Some(Ok(Message::Binary(frame))) => frame,
        Some(Err(err)) => return Err(err),
        _ => return Err(handshake_error("expected a hello message")),
    };
    let first = decode(&frame).map_err(|err| handshake_error(err.to_string()))?;
    let (protocol, boot, proof, purpose) = match first {
        PeerMessage::Hello {
            protocol,
            name,
            domain,
            boot,
            proof,
        } => {
            let identity = PeerIdentity { name, domain, boot };
            (protocol, boot, proof, Purpose::Link(identity))
        }
        PeerMessage::RelayOpen {
            protocol,
            name: peer,
            boot,
            proof,
            target,
        } => (protocol, boot, proof, Purpose::Relay { peer, target }),
        _ => return Err(handshake_error("expected a hello message")),
    };
    if protocol != PROTOCOL_VERSION {
        return Err(handshake_error(format!(
            "protocol version {protocol} is not supported; expected {PROTOCOL_VERSION}"
        )));
    }
    let name = match &purpose {
        Purpose::Link(identity) => &identity.name,
        Purpose::Relay { peer, .. } => peer,
    };
    if !mesh.verify_proof(name, boot, &proof) {
        return Err(handshake_error("the proof in the hello message is invalid"));
    }
    let socket = ws.into_inner().into_inner();
    let config = config(MAX_MESSAGE_BYTES);
    let ws = WebSocketStream::from_raw_socket(socket, role, Some(config)).await;
    Ok((ws, purpose))
}

/// Registers an authenticated connection and runs it until it ends; returns at once if the
/// connection is not kept.
async fn run(mesh: &Arc<Mesh>, ws: WsStream, peer: PeerIdentity, dialled: Option<SocketAddr>) {
    let name = peer.name.clone();
    let Some((conn, outgoing)) = mesh.add_connection(peer.name, peer.domain, peer.boot, dialled)
    else {
        return;
    };
    let (tx, ws) = ws.split();
    let write = write(mesh, tx, outgoing.frames);
    let read = read(mesh, ws, conn, &name);
    let stopped = async {
        let _ = outgoing.stop.recv().await;
    };
    stopped.or(read).or(write).await;
    mesh.remove_connection(conn);
}

/// Sends queued messages and heartbeats until the queue is closed or the connection fails.
async fn write(
    mesh: &Arc<Mesh>,
    mut ws: WebSocketSender<Async<TcpStream>>,
    queue: Receiver<Bytes>,
) {
    let mut heartbeats = Timer::interval_at(std::time::Instant::now(), mesh.heartbeat_interval);
    loop {
        let heartbeat = async {
            heartbeats.next().await;
            Some(Bytes::from(encode(&mesh.heartbeat_message())))
        };
        let queued = async { queue.recv().await.ok() };
        let Some(frame) = heartbeat.or(queued).await else {
            return;
        };
        mesh.link_counters().count_sent(frame.len());
        if send_message(&mut ws, frame).await.is_err() {
            return;
        }
    }
}

/// Sends a message, in several frames if it is large.
async fn send_message(
    ws: &mut WebSocketSender<Async<TcpStream>>,
    mut message: Bytes,
) -> Result<(), WsError> {
    if message.len() <= MAX_FRAME_BYTES {
        return ws.send(Message::Binary(message)).await;
    }
    let mut kind = Data::Binary;
    while !message.is_empty() {
        let payload = message.split_to(message.len().min(MAX_FRAME_BYTES));
        let is_last = message.is_empty();
        let frame = Frame::message(payload, OpCode::Data(kind), is_last);
        ws.send(Message::Frame(frame)).await?;
        kind = Data::Continue;
    }
    Ok(())
}

/// Receives messages until the connection fails or a frame is malformed. Messages that are not
/// understood are counted and dropped; each kind is logged once for the connection.
async fn read(
    mesh: &Arc<Mesh>,
    mut ws: WebSocketReceiver<Async<TcpStream>>,
    conn: ConnId,
    peer: &str,
) {
    let mut logged: SmallVec<[Name; MAX_LOGGED_KINDS]> = SmallVec::new();
    while let Some(Ok(message)) = ws.next().await {
        let frame = match message {
            Message::Binary(frame) => frame,
            Message::Ping(_) | Message::Pong(_) => continue,
            Message::Close(_) => return,
            _ => Bytes::new(),
        };
        mesh.link_counters().count_received(frame.len());
        match decode(&frame) {
            Ok(message) => mesh.handle_message(conn, message),
            Err(CodecError::NotUnderstood { kind, detail }) => {
                mesh.link_counters().count_not_understood();
                mesh.handle_event(MemberEvent::MessageReceived(conn));
                if logged.len() < MAX_LOGGED_KINDS && !logged.contains(&kind) {
                    mesh.record_fault("peer_message_unknown", peer, &detail);
                    logged.push(kind);
                }
            }
            Err(err @ CodecError::Malformed(_)) => {
                mesh.link_counters().count_unreadable();
                mesh.record_fault("peer_frame_unreadable", peer, &err);
                return;
            }
        }
    }
}
