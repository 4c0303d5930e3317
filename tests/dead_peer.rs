//! Socket options by which the kernel notices a peer that vanished.

use std::net::{TcpListener, TcpStream};

use guavahold::http::enable_dead_peer_detection;
use socket2::SockRef;

/// A `TCP_USER_TIMEOUT` also decides when keepalive probes give up, whatever their count.
#[test]
fn user_timeout_ends_when_the_keepalive_probes_do() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    enable_dead_peer_detection(&stream);
    let sock = SockRef::from(&stream);
    let probes = sock.tcp_keepalive_interval().unwrap() * sock.tcp_keepalive_retries().unwrap();
    let idle = sock.tcp_keepalive_time().unwrap();
    assert!(sock.keepalive().unwrap());
    assert_eq!(sock.tcp_user_timeout().unwrap(), Some(idle + probes));
}
