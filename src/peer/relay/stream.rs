//! A connection to a target through a peer.

use std::io;
use std::net::TcpStream;

use async_io::Async;
use async_lock::Mutex;
use async_tungstenite::tungstenite::protocol::frame::coding::CloseCode;
use async_tungstenite::tungstenite::{Bytes, Message};
use async_tungstenite::{WebSocketReceiver, WebSocketSender, WebSocketStream};
use futures_lite::StreamExt;
use futures_lite::future::{block_on, poll_once};
use socket2::SockRef;

use crate::peer::relay::RELAY_CHUNK_BYTES;
use crate::prelude::*;

/// Connection to a target whose bytes a peer relays.
pub(crate) struct RelayStream {
    /// The connection to the peer, for socket options.
    socket: TcpStream,
    incoming: Mutex<Incoming>,
    outgoing: Mutex<WebSocketSender<Async<TcpStream>>>,
}

struct Incoming {
    ws: WebSocketReceiver<Async<TcpStream>>,
    /// Received bytes that were not read yet.
    unread: Bytes,
}

impl RelayStream {
    /// Wraps a connection to a peer that has connected to the target.
    pub(crate) fn new(ws: WebSocketStream<Async<TcpStream>>, socket: TcpStream) -> Self {
        let (outgoing, ws) = ws.split();
        let incoming = Incoming {
            ws,
            unread: Bytes::new(),
        };
        Self {
            socket,
            incoming: Mutex::new(incoming),
            outgoing: Mutex::new(outgoing),
        }
    }

    /// Reads bytes of the target; zero once the target has closed its connection in order.
    ///
    /// # Errors
    /// When the connection of the target or of the peer broke.
    pub(crate) async fn read(&self, buf: &mut [u8]) -> io::Result<usize> {
        let mut incoming = self.incoming.lock().await;
        while incoming.unread.is_empty() {
            match incoming.ws.next().await {
                Some(Ok(Message::Binary(bytes))) => incoming.unread = bytes,
                // The peer sends it only after the target's own end of stream.
                Some(Ok(Message::Close(Some(end)))) if end.code == CloseCode::Normal => {
                    return Ok(0);
                }
                Some(Ok(Message::Close(_)) | Err(_)) | None => {
                    return Err(io::ErrorKind::ConnectionReset.into());
                }
                Some(Ok(_)) => {}
            }
        }
        let len = incoming.unread.len().min(buf.len());
        buf[..len].copy_from_slice(&incoming.unread.split_to(len));
        Ok(len)
    }

    /// Sends bytes to the target.
    ///
    /// # Errors
    /// When the connection to the peer broke.
    pub(crate) async fn write_all(&self, bytes: &[u8]) -> io::Result<()> {
        let mut outgoing = self.outgoing.lock().await;
        for chunk in bytes.chunks(RELAY_CHUNK_BYTES) {
            let message = Message::Binary(Bytes::copy_from_slice(chunk));
            outgoing.send(message).await.map_err(io::Error::other)?;
        }
        Ok(())
    }

    /// Tells the peer which request follows, for its log.
    ///
    /// # Errors
    /// When the connection to the peer broke.
    pub(crate) async fn announce_request(&self, id: &str) -> io::Result<()> {
        let mut outgoing = self.outgoing.lock().await;
        let sent = outgoing.send(Message::text(id)).await;
        sent.map_err(io::Error::other)
    }

    /// Whether the idle connection ended or received unexpected bytes.
    pub(crate) fn is_stale(&self) -> bool {
        let Some(mut incoming) = self.incoming.try_lock() else {
            return true;
        };
        let received = block_on(poll_once(incoming.ws.next()));
        received.is_some() || !incoming.unread.is_empty()
    }

    /// Has the connection to the peer reset when it is dropped.
    pub(crate) fn reset_on_drop(&self) -> io::Result<()> {
        SockRef::from(&self.socket).set_linger(Some(Duration::ZERO))
    }
}
