//! Probes of targets, and checks of the paths to them.

use std::net::SocketAddr;

use async_io::Timer;

use crate::gateway::control::{Control, State};
use crate::gateway::relays::RelayPeer;
use crate::gateway::target_dialer::ProbeResult;
use crate::gateway::target_stream::TargetStream;
use crate::platform::Vm;
use crate::prelude::*;
use crate::reachability::Path;
use crate::scheduler::Signal;

/// Interval at which paths are checked for being due.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

impl Control {
    /// Probes a target with a new connection, which is kept for the next request if it succeeds.
    pub(super) async fn probe(self: Arc<Self>, target: Name, address: SocketAddr) {
        let signal = match self.shared.probe_target(&target, address).await {
            ProbeResult::Reached(stream) => {
                // The probe was due since a connection broke, so that older ones are in doubt.
                if stream.peer().is_none() {
                    self.shared.connections.clear(address);
                }
                self.shared.connections.put(address, stream, None);
                self.shared.prompt_quarantine.record_alive(&target);
                Signal::Reachable
            }
            ProbeResult::Ended => {
                log::info!("event=target_unreachable target={target} ended=true");
                self.shared.connections.clear(address);
                self.shared.prompt_quarantine.record_end(&target);
                Signal::Unreachable
            }
            ProbeResult::Silent => Signal::Silent,
            ProbeResult::Unreached => {
                log::info!("event=target_unreachable target={target} ended=unknown");
                Signal::OutOfReach
            }
        };
        self.submit_signal(target, signal);
    }

    /// Tries own connections where the path is in doubt or may have come back; never returns.
    pub(crate) async fn run_path_checks(self: Arc<Self>) {
        loop {
            Timer::after(CHECK_INTERVAL).await;
            let due = self.shared.paths.take_checks(self.now());
            if due.is_empty() {
                continue;
            }
            let state = self.state();
            for target in due {
                let Some(address) = state.targets.get(&target).map(|t| t.info.address) else {
                    continue;
                };
                let check = self.clone().check_path(target, address);
                self.supervisor.spawn("path_check", check);
            }
        }
    }

    async fn check_path(self: Arc<Self>, target: Name, address: SocketAddr) {
        let connected = if self.shared.paths.path(&target) == Path::Relayed {
            // It is known already that peers connect.
            let own = self.shared.dial(&target, address).await;
            own.ok().map(TargetStream::from)
        } else {
            match self.shared.probe_target(&target, address).await {
                ProbeResult::Reached(stream) => Some(stream),
                ProbeResult::Silent | ProbeResult::Ended | ProbeResult::Unreached => None,
            }
        };
        if let Some(stream) = connected {
            self.shared.connections.put(address, stream, None);
            self.submit_signal(target, Signal::Reachable);
        }
    }

    /// Updates the peers that may relay connections: those that are live.
    pub(crate) fn update_relays(&self, state: &State, members: &[Vm]) {
        let live = members.iter().filter(|vm| state.peers.contains(&vm.name));
        let peers = live.map(|vm| RelayPeer {
            name: vm.name.clone(),
            domain: vm.domain.clone(),
            address: vm.address,
            cpu_millis: vm.cpu_millis,
        });
        self.shared.relays.set_peers(peers.collect());
    }
}
