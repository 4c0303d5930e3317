//! Listening sockets whose addresses may become free only after the start of a process.
//!
//! A predecessor that drains, a closed connection in `TIME_WAIT` or another program's connection may
//! hold an address, and the machine may get the address later. Both go away without this process.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::time::Instant;

use async_io::Timer;
use rustix::io::Errno;
use socket2::{Domain, Protocol, Socket, Type};

use crate::prelude::*;
use crate::telemetry::PROCESS_LOG;

/// Time for which the system may hold an address after its last connection (`TIME_WAIT`).
pub const TIME_WAIT: Duration = Duration::from_mins(1);
/// Number of connections that wait to be accepted; the system may allow fewer.
const BACKLOG: i32 = 4_096;
/// Interval at which addresses that are needed are tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Interval of log lines while addresses that are needed are held.
const LINE_INTERVAL: Duration = Duration::from_secs(5);
/// Interval at which an address that is not needed is tried again.
const OPTIONAL_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Interval of log lines while such an address is held.
const OPTIONAL_LINE_INTERVAL: Duration = Duration::from_mins(1);
/// Errors that may go away by themselves.
const PASSING_ERRORS: [Errno; 6] = [
    Errno::ADDRINUSE,
    Errno::ADDRNOTAVAIL,
    Errno::MFILE,
    Errno::NFILE,
    Errno::NOBUFS,
    Errno::NOMEM,
];

/// An address to listen at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenAddress {
    /// What the address is for, in log lines and errors.
    pub role: &'static str,
    /// The address; port zero stands for any free one.
    pub addr: SocketAddr,
}

/// Listens at all of `addresses`, within `timeout`.
///
/// No address accepts connections before all are free: a caller of a process that cannot serve yet
/// is refused and goes to another.
///
/// # Errors
/// When an address is not free in time, or an error does not go away by itself; the error names the
/// address and its role.
pub async fn listen_at_all<const N: usize>(
    addresses: [ListenAddress; N],
    timeout: Duration,
) -> io::Result<[TcpListener; N]> {
    let mut wait = Wait::new(LINE_INTERVAL);
    loop {
        match try_all(addresses) {
            Ok(listeners) => return Ok(listeners),
            Err(held) if held.is_passing() && wait.started.elapsed() < timeout => wait.log(&held),
            Err(held) => return Err(held.into()),
        }
        Timer::after(RETRY_INTERVAL).await;
    }
}

/// Listens at `address` as soon as that is possible, however long it takes.
pub async fn listen_when_free(address: ListenAddress) -> TcpListener {
    let mut wait = Wait::new(OPTIONAL_LINE_INTERVAL);
    loop {
        match try_all([address]) {
            Ok([listener]) => return listener,
            Err(held) => wait.log(&held),
        }
        Timer::after(OPTIONAL_RETRY_INTERVAL).await;
    }
}

fn try_all<const N: usize>(addresses: [ListenAddress; N]) -> Result<[TcpListener; N], Held> {
    let mut sockets = Vec::with_capacity(N);
    for address in addresses {
        sockets.push(bind(address.addr).map_err(|err| Held { address, err })?);
    }
    for (address, socket) in addresses.into_iter().zip(&sockets) {
        let listening = socket.listen(BACKLOG);
        listening.map_err(|err| Held { address, err })?;
    }
    let mut sockets = sockets.into_iter();
    let listener = |_| sockets.next().expect("one socket for each address").into();
    Ok(std::array::from_fn(listener))
}

fn bind(addr: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    // Without it, connections of a predecessor in `TIME_WAIT` hold the address.
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    Ok(socket)
}

/// An address at which this process cannot listen.
struct Held {
    address: ListenAddress,
    err: io::Error,
}

impl Held {
    fn is_passing(&self) -> bool {
        let code = self.err.raw_os_error();
        PASSING_ERRORS
            .iter()
            .any(|errno| Some(errno.raw_os_error()) == code)
    }
}

impl From<Held> for io::Error {
    fn from(held: Held) -> Self {
        let ListenAddress { role, addr } = held.address;
        let reason = format!("cannot listen on {addr} for {role}: {}", held.err);
        Self::new(held.err.kind(), reason)
    }
}

/// A wait that is logged at its start and at intervals.
struct Wait {
    started: Instant,
    line_interval: Duration,
    last_line: Option<Instant>,
}

impl Wait {
    fn new(line_interval: Duration) -> Self {
        Self {
            started: Instant::now(),
            line_interval,
            last_line: None,
        }
    }

    fn log(&mut self, held: &Held) {
        let line = self.last_line;
        if line.is_some_and(|at| at.elapsed() < self.line_interval) {
            return;
        }
        self.last_line = Some(Instant::now());
        log::warn!(
            target: PROCESS_LOG,
            "event=listen_waiting role={} address={} waited_ms={} error={:?}",
            held.address.role,
            held.address.addr,
            self.started.elapsed().as_millis(),
            held.err.to_string(),
        );
    }
}
