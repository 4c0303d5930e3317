//! Detection of peers that vanished without closing the connection.

use std::net::TcpStream;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};

/// Idle time before the first TCP keepalive probe, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unacknowledged keepalive probes after which a connection counts as dead.
const KEEPALIVE_PROBES: u32 = 2;
/// Longest time for which sent bytes may stay unacknowledged (`TCP_USER_TIMEOUT`). The kernel also
/// ends keepalive probes by it, whatever their count, so it is the time that they take.
const UNACKNOWLEDGED_TIMEOUT: Duration = KEEPALIVE_INTERVAL.saturating_mul(KEEPALIVE_PROBES + 1);

/// Makes the kernel fail a connection whose peer has vanished; also disables Nagle's algorithm.
pub fn enable_dead_peer_detection(stream: &TcpStream) {
    let sock = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let set = sock
        .set_tcp_nodelay(true)
        .and_then(|()| sock.set_tcp_keepalive(&keepalive))
        .and_then(|()| sock.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)));
    if let Err(err) = set {
        log::debug!("event=socket_option_failed error={:?}", err.to_string());
    }
}
