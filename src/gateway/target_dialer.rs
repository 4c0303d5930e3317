//! Opens connections to targets: this entry's own, or through a peer.

use std::net::{SocketAddr, TcpStream};
use std::pin::pin;

use async_io::Async;
use futures_lite::FutureExt;

use crate::clock::coarse_sleep;
use crate::gateway::connection_pool::connect;
use crate::gateway::relays::NoRelay;
use crate::gateway::shared::Shared;
use crate::gateway::target_stream::TargetStream;
use crate::prelude::*;
use crate::reachability::{DialResult, Path, PathChange};
use crate::residency::AllowedDomains;

/// Result of a probe of a target.
pub(crate) enum ProbeResult {
    /// This entry or a peer connected to it.
    Reached(TargetStream),
    /// This entry does not connect to it, nor do peers that reach others, and it is not just silent.
    Ended,
    /// Connections to it time out, from this entry and from peers that reach others: it may go on.
    Silent,
    /// No entry that was asked connects to it, and none confirms that it has ended.
    Unreached,
}

/// Why no connection to a target was made.
struct NotConnected {
    own: DialResult,
    relay: NoRelay,
}

impl Shared {
    /// Connects to a target by the path that works; `None` when none does. Only peers in the failure
    /// domains `relays`, if any are named, may relay the connection.
    pub(crate) async fn connect_to_target(
        &self,
        target: &Name,
        address: SocketAddr,
        relays: Option<&AllowedDomains>,
    ) -> Option<TargetStream> {
        if self.paths.path(target) == Path::Relayed
            && let Ok(stream) = self.relays.open(target, relays).await
        {
            return Some(stream);
        }
        let connected = self.connect_by_either_path(target, address, relays).await;
        connected.ok()
    }

    /// Tries a new connection of this entry's own, and one through a peer if that fails.
    pub(crate) async fn probe_target(&self, target: &Name, address: SocketAddr) -> ProbeResult {
        let failed = match self.connect_by_either_path(target, address, None).await {
            Ok(stream) => return ProbeResult::Reached(stream),
            Err(failed) => failed,
        };
        let result = match (failed.own, failed.relay) {
            (_, NoRelay::Unknown) => ProbeResult::Unreached,
            (DialResult::TimedOut, NoRelay::TimedOut | NoRelay::Alone)
                if self.paths.record_silent(self.now(), target) =>
            {
                return ProbeResult::Silent;
            }
            _ => ProbeResult::Ended,
        };
        self.paths.record_unreached(target);
        result
    }

    /// Connects to a target; asks a peer to when this entry does not succeed at once. The error says
    /// what peers found when this entry did not succeed at all.
    async fn connect_by_either_path(
        &self,
        target: &Name,
        address: SocketAddr,
        relays: Option<&AllowedDomains>,
    ) -> Result<TargetStream, NotConnected> {
        let mut own = pin!(self.dial(target, address));
        let head_start = async {
            coarse_sleep(self.paths.head_start()).await;
            None
        };
        match async { Some((&mut own).await) }.or(head_start).await {
            Some(Ok(stream)) => return Ok(stream.into()),
            Some(Err(own)) => {
                let relayed = self.open_relay(target, address, relays).await;
                return relayed.map_err(|relay| NotConnected { own, relay });
            }
            None => {}
        }
        let mut relayed = pin!(self.open_relay(target, address, relays));
        let first = async { First::Own((&mut own).await) };
        let first = first.or(async { First::Relay((&mut relayed).await) });
        match first.await {
            First::Own(Ok(stream)) => Ok(stream.into()),
            First::Relay(Ok(stream)) => Ok(stream),
            First::Own(Err(own)) => {
                let relayed = relayed.await;
                relayed.map_err(|relay| NotConnected { own, relay })
            }
            First::Relay(Err(relay)) => {
                let own = own.await.map(TargetStream::from);
                own.map_err(|own| NotConnected { own, relay })
            }
        }
    }

    /// Makes a connection of this entry's own, and records what that says of the path.
    pub(crate) async fn dial(
        &self,
        target: &Name,
        address: SocketAddr,
    ) -> Result<Async<TcpStream>, DialResult> {
        let began = self.now();
        self.metrics.connections.inc();
        let connected = connect(address).await;
        let result = match &connected {
            Ok(_) => DialResult::Connected,
            Err(err) => DialResult::of_error(err),
        };
        let change = self.paths.record_dial(self.now(), target, began, result);
        self.on_path_change(address, change);
        connected.map_err(|_| result)
    }

    async fn open_relay(
        &self,
        target: &Name,
        address: SocketAddr,
        relays: Option<&AllowedDomains>,
    ) -> Result<TargetStream, NoRelay> {
        let stream = self.relays.open(target, relays).await?;
        let change = self.paths.record_reached_by_peer(self.now(), target);
        self.on_path_change(address, change);
        Ok(stream)
    }

    /// Drops idle connections that a change of the path makes useless.
    fn on_path_change(&self, address: SocketAddr, change: Option<PathChange>) {
        match change {
            Some(PathChange::Hanging) => self.connections.clear_direct(address),
            Some(PathChange::Restored) => self.connections.clear_relayed(address),
            Some(PathChange::CutOff) | None => {}
        }
    }
}

/// Which of two connections was made or failed first.
enum First {
    Own(Result<Async<TcpStream>, DialResult>),
    Relay(Result<TargetStream, NoRelay>),
}
