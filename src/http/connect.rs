//! Outgoing connections.

use std::io;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, TcpStream};

use async_io::Async;
use rustix::io::Errno;
use socket2::{Domain, Protocol, Socket, Type};

/// Connects to `addr`.
///
/// Another process of this machine may listen at the local port, as an entry that starts again at
/// its former address: with `SO_REUSEADDR` on both sides, neither the open connection nor one in
/// `TIME_WAIT` holds the port. The system shares only ports that were bound before the connection.
///
/// # Errors
/// When no socket can be opened or the connection is refused or fails.
pub async fn connect(addr: SocketAddr) -> io::Result<Async<TcpStream>> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    // Without a free port, `connect` is left to find one.
    let _ = socket.bind(&any_port(addr).into());
    socket.set_nonblocking(true)?;
    match socket.connect(&addr.into()) {
        Err(err) if err.raw_os_error() != Some(Errno::INPROGRESS.raw_os_error()) => {
            return Err(err);
        }
        _ => {}
    }
    let stream = Async::new_nonblocking(TcpStream::from(socket))?;
    stream.writable().await?;
    match stream.get_ref().take_error()? {
        Some(err) => Err(err),
        None => Ok(stream),
    }
}

/// Any local address of the same family, with any port.
fn any_port(addr: SocketAddr) -> SocketAddr {
    let ip = match addr {
        SocketAddr::V4(_) => IpAddr::V4(Ipv4Addr::UNSPECIFIED),
        SocketAddr::V6(_) => IpAddr::V6(Ipv6Addr::UNSPECIFIED),
    };
    SocketAddr::new(ip, 0)
}
