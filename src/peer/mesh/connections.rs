//! Connections of the mesh: their registration, outgoing queues and ends.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;

use async_tungstenite::tungstenite::Bytes;
use log::Level;

use crate::peer::connection::MAX_MESSAGE_BYTES;
use crate::peer::mesh::queue::{Outgoing, Queue};
use crate::peer::mesh::{Mesh, State, lock};
use crate::peer::{CloseReason, ConnId, MemberEvent, PeerConnection, PeerMessage, encode};
use crate::prelude::*;
use crate::telemetry::log_event;

impl Mesh {
    /// Drops a connection that the membership state gives up.
    pub(super) fn close(&self, state: &mut State, conn: ConnId, reason: CloseReason) {
        state.queues.remove(&conn);
        state.by_name.retain(|_, c| *c != conn);
        self.calls.cancel_all_on(conn);
        let fields: [(&str, &dyn std::fmt::Display); 2] =
            [("conn", &conn), ("reason", &reason.as_str())];
        let level = match reason {
            CloseReason::Silent | CloseReason::Restarted => Level::Warn,
            _ => Level::Debug,
        };
        log_event(level, "peer_connection_closed", &fields);
    }

    /// Registers an authenticated connection and returns its number and its outgoing queue; `None`
    /// when the connection is not kept.
    pub(crate) fn add_connection(
        self: &Arc<Self>,
        peer: Name,
        domain: Name,
        boot: u64,
        dialled: Option<SocketAddr>,
    ) -> Option<(ConnId, Outgoing)> {
        let conn = self.last_conn.fetch_add(1, Ordering::Relaxed) + 1;
        let (queue, outgoing) = Queue::new();
        let mut effects = Vec::new();
        let mut state = lock(&self.state);
        let connection = PeerConnection {
            conn,
            peer: peer.clone(),
            domain,
            boot,
            dialled,
        };
        let opened = MemberEvent::Opened(connection);
        state.membership.on(self.now(), opened, &mut effects);
        let kept = state.membership.peer(conn, Timestamp::ZERO).is_some();
        if kept {
            state.queues.insert(conn, queue);
            state.by_name.insert(peer, conn);
        }
        self.perform(state, effects);
        kept.then_some((conn, outgoing))
    }

    /// Removes an ended connection.
    pub(crate) fn remove_connection(self: &Arc<Self>, conn: ConnId) {
        let mut state = lock(&self.state);
        state.queues.remove(&conn);
        state.by_name.retain(|_, c| *c != conn);
        drop(state);
        self.calls.cancel_all_on(conn);
        self.handle_event(MemberEvent::Closed(conn));
    }

    /// Encodes a message; `None` if it is too large for a peer, which would close the link each time
    /// that it is sent.
    pub(super) fn encode_bounded(&self, message: &PeerMessage) -> Option<Bytes> {
        let frame = Bytes::from(encode(message));
        if frame.len() <= MAX_MESSAGE_BYTES {
            return Some(frame);
        }
        if self.counters.count_too_large() {
            let detail = format!("{} bytes", frame.len());
            self.record_fault("peer_message_too_large", "-", &detail);
        }
        None
    }

    /// Queues a message on a connection; `false` when the connection is gone, its queue is full or the
    /// message is too large.
    pub(super) fn enqueue(&self, conn: ConnId, message: &PeerMessage) -> bool {
        let Some(frame) = self.encode_bounded(message) else {
            return false;
        };
        let state = lock(&self.state);
        let queue = state.queues.get(&conn);
        queue.is_some_and(|queue| queue.push(frame))
    }

    /// The connection to a peer.
    pub(super) fn conn_of(&self, name: &str) -> Option<ConnId> {
        lock(&self.state).by_name.get(name).copied()
    }
}
