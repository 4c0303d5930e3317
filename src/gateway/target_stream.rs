//! Connection to a target: this entry's own, or one that a peer relays.

use std::io;
use std::net::TcpStream;

use async_io::Async;
use socket2::SockRef;

use crate::http::DuplexStream;
use crate::peer::RelayStream;
use crate::prelude::*;
use crate::residency::AllowedDomains;

/// Connection to a target.
pub(crate) enum TargetStream {
    /// This entry's own connection.
    Direct(DuplexStream),
    /// A connection that a peer relays.
    Relayed {
        /// Name of the peer.
        peer: Name,
        /// Failure domain of the peer.
        domain: Name,
        /// The connection.
        stream: RelayStream,
    },
}

impl From<Async<TcpStream>> for TargetStream {
    fn from(stream: Async<TcpStream>) -> Self {
        Self::Direct(stream.into())
    }
}

impl TargetStream {
    /// Name of the peer that relays the connection, if any.
    pub(crate) fn peer(&self) -> Option<&Name> {
        match self {
            Self::Direct(_) => None,
            Self::Relayed { peer, .. } => Some(peer),
        }
    }

    /// Whether the connection is this entry's own, or relayed by a peer in one of the failure domains
    /// `allowed`, if any are named.
    pub(crate) fn is_allowed(&self, allowed: Option<&AllowedDomains>) -> bool {
        match self {
            Self::Direct(_) => true,
            Self::Relayed { domain, .. } => allowed.is_none_or(|a| a.contains(domain)),
        }
    }

    /// Tells a peer that relays the connection which request follows.
    pub(crate) async fn announce_request(&self, id: &str) -> io::Result<()> {
        match self {
            Self::Direct(_) => Ok(()),
            Self::Relayed { stream, .. } => stream.announce_request(id).await,
        }
    }

    /// Reads bytes of the target; zero at the orderly end of its stream.
    pub(crate) async fn read(&self, buf: &mut [u8]) -> io::Result<usize> {
        match self {
            Self::Direct(stream) => stream.read(buf).await,
            Self::Relayed { stream, .. } => stream.read(buf).await,
        }
    }

    /// Sends bytes to the target.
    pub(crate) async fn write_all(&self, bytes: &[u8]) -> io::Result<()> {
        match self {
            Self::Direct(stream) => stream.write_all(bytes).await,
            Self::Relayed { stream, .. } => stream.write_all(bytes).await,
        }
    }

    /// Whether the idle connection ended or received unexpected bytes.
    pub(crate) fn is_stale(&self) -> bool {
        match self {
            Self::Direct(stream) => {
                let mut byte = [0];
                let peeked = stream.get_ref().peek(&mut byte);
                !matches!(peeked, Err(err) if err.kind() == io::ErrorKind::WouldBlock)
            }
            Self::Relayed { stream, .. } => stream.is_stale(),
        }
    }

    /// Has the connection reset when it is dropped: bytes in the send buffer, such as during a
    /// network partition, would otherwise reach the target long afterwards.
    pub(crate) fn reset_on_drop(&self) {
        let set = match self {
            Self::Direct(stream) => {
                SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO))
            }
            Self::Relayed { stream, .. } => stream.reset_on_drop(),
        };
        if let Err(err) = set {
            log::debug!("event=socket_option_failed error={:?}", err.to_string());
        }
    }
}
