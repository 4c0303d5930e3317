//! Connections whose peer is gone without a word.

use std::net::TcpStream;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};

/// Silence after which a connection's peer is asked for a sign of life.
const KEEPALIVE: Duration = Duration::from_secs(1);
/// Questions without an answer until a connection counts as dead.
const KEEPALIVE_TRIES: u32 = 2;
/// Longest time for which sent bytes may stay unacknowledged.
const UNACKNOWLEDGED: Duration = Duration::from_secs(3);

/// Has the system notice a peer that is gone without a word.
pub(crate) fn watch_for_silence(stream: &TcpStream) {
    let sock = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(KEEPALIVE_TRIES);
    let set = sock
        .set_tcp_nodelay(true)
        .and_then(|()| sock.set_tcp_keepalive(&keepalive))
        .and_then(|()| sock.set_tcp_user_timeout(Some(UNACKNOWLEDGED)));
    if let Err(err) = set {
        log::debug!("event=socket_option_failed error={:?}", err.to_string());
    }
}
