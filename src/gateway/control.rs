//! Control of a gateway: what it follows, tells its peers, and orders of targets.

mod frees;
mod hub;
mod orders;
pub(crate) mod peers;
mod relay;
mod state;
mod ticks;

use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};

use async_executor::Executor;
use async_io::Timer;

use crate::context_store::{ContextStoreClient, StoreInfo, StoreWatcher};
use crate::gateway::connections::connect;
use crate::gateway::shared::{Shared, TargetWord};
use crate::gateway::{Decoder, Watched};
use crate::lease::LeaseClient;
use crate::peer::{Mesh, PeerLinks, PeerMessage};
use crate::platform::{Listing, PlatformError, Vm, WatchEvent};
use crate::prelude::*;
use crate::scheduler::{Effect, Event, Signal};

pub use orders::{TargetControl, TargetStatus};
pub(crate) use state::State;

/// Receiver of what requests noticed about targets.
pub(crate) type TargetWordReceiver = async_channel::Receiver<TargetWord>;

/// Time for which a target whose weights are in doubt gets no new work.
const DOUBT: Duration = Duration::from_millis(600);

/// Control of a gateway; its tasks run on the control thread.
pub(crate) struct Control {
    /// Name of this entry.
    pub name: Name,
    /// Failure domain of this entry.
    pub domain: Name,
    /// This entry as the store names it.
    pub own_vm: Vm,
    /// What requests share.
    pub shared: Arc<Shared>,
    /// Reader of others' objects.
    pub decoder: Arc<dyn Decoder>,
    /// Orders and questions to targets.
    pub targets: Arc<dyn TargetControl>,
    /// Calls to stores of context.
    pub stores: Arc<dyn ContextStoreClient>,
    /// The lease to give orders.
    pub lease: LeaseClient,
    /// Links to peers.
    pub mesh: OnceLock<Arc<Mesh>>,
    /// Executor of the control thread.
    pub executor: Arc<Executor<'static>>,
    /// Everything known.
    pub state: Mutex<State>,
}

impl Control {
    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Time since the start of this process.
    pub(crate) fn now(&self) -> Timestamp {
        self.shared.now()
    }

    /// Takes a whole list from the store.
    pub(crate) fn take_list(self: &Arc<Self>, watched: Watched, listing: Listing) {
        let mut state = self.state();
        self.reached_store(&mut state, watched);
        state.books[watched.index()].replace(listing);
        self.changed(&mut state, watched);
    }

    /// Takes a change from the store.
    pub(crate) fn take_event(self: &Arc<Self>, watched: Watched, event: WatchEvent) {
        let mut state = self.state();
        self.reached_store(&mut state, watched);
        if state.books[watched.index()].apply(event) {
            self.changed(&mut state, watched);
        }
    }

    fn reached_store(&self, state: &mut State, watched: Watched) {
        let now = self.now();
        if let Some(since) = state.away[watched.index()].take() {
            let away_ms = now.saturating_sub(since).as_millis();
            let kind = watched.as_str();
            log::info!("event=store_regained kind={kind} away_ms={away_ms}");
            if watched == Watched::Targets {
                state.targets.store_returned(now);
            }
        }
    }

    /// Takes note that the store does not answer.
    pub(crate) fn lost_store(&self, watched: Watched, err: &PlatformError) {
        let kind = watched.as_str();
        let failures = &self.shared.metrics.store_failures;
        failures.with_label_values(&[kind]).inc();
        let mut state = self.state();
        if state.away[watched.index()].is_none() {
            state.away[watched.index()] = Some(self.now());
            log::warn!("event=store_lost kind={kind} error={:?}", err.to_string());
        }
    }

    /// Brings what is derived from one kind of objects up to date.
    pub(crate) fn changed(self: &Arc<Self>, state: &mut State, watched: Watched) {
        let now = self.now();
        match watched {
            Watched::Routes => self.take_routes(state),
            Watched::Targets => {
                state.read_targets(now, &*self.decoder);
                self.push_targets(state);
            }
            Watched::Weights => {
                for named in state.read_weights(now, &*self.decoder) {
                    let event = crate::rollout::RolloutEvent::VersionNamed {
                        model: named.model,
                        version: named.version,
                    };
                    self.plan(state, event);
                }
                self.shared.versions.set(&state.versions, now);
            }
            Watched::Members => {
                let members = state.read_members();
                state.take_members(&members);
                if let Some(mesh) = self.mesh.get() {
                    mesh.set_peers(&members);
                }
            }
        }
    }

    /// Puts the newest configuration in force; an older one than known is ignored.
    fn take_routes(self: &Arc<Self>, state: &mut State) {
        let known = self.shared.routes.load().as_ref().map(|t| t.version);
        for (name, spec) in state.books[Watched::Routes.index()].iter() {
            match self.decoder.routes(name, spec) {
                Ok(Some(table)) if known.is_none_or(|known| table.version > known) => {
                    log::info!("event=config_in_force version={}", table.version);
                    let version = i64::try_from(table.version).unwrap_or(i64::MAX);
                    self.shared.metrics.config_version.set(version);
                    self.follow_stores(&table);
                    self.shared.routes.store(Some(Arc::new(table)));
                }
                Ok(_) => {}
                Err(err) => log::warn!("event=config_unreadable name={name} error={err:?}"),
            }
        }
    }

    /// Follows the stores of context that a configuration names.
    fn follow_stores(self: &Arc<Self>, table: &crate::route::RouteTable) {
        let services = table.services();
        let stores: Vec<_> = services
            .filter_map(|s| {
                Some(StoreInfo {
                    address: s.store?,
                    capacity: s.context_tokens,
                    domain: s.domain.clone(),
                })
            })
            .collect();
        for store in self.shared.kept().set_stores(&stores) {
            let follower = StoreWatcher {
                store,
                stores: self.stores.clone(),
                directory: self.shared.kept.clone(),
                origin: self.shared.origin,
                fetch_clock: self.shared.fetch_clock.clone(),
                relay: self.clone(),
            };
            self.executor.spawn(follower.run()).detach();
        }
    }

    /// Tells the desk and the rollout of the targets in use.
    pub(crate) fn push_targets(&self, state: &mut State) {
        let now = self.now();
        let infos = state.targets.iter().map(|t| t.info.clone()).collect();
        self.shared.scheduler.submit(Event::Targets(infos));
        let found: Vec<_> = state.effective_weights(now).collect();
        state.versions.find(found);
        self.shared.versions.set(&state.versions, now);
        self.push_reports(state);
        self.plan(
            state,
            crate::rollout::RolloutEvent::Targets(state.rollout_targets()),
        );
        let leaving = state.targets.iter().filter(|t| t.info.leaving).count();
        let all = state.targets.iter().count();
        let gauge = |label: &str, n: usize| {
            let n = i64::try_from(n).unwrap_or(i64::MAX);
            self.shared
                .metrics
                .targets
                .with_label_values(&[label])
                .set(n);
        };
        gauge("ready", all - leaving);
        gauge("leaving", leaving);
    }

    /// Tells the desk what is known of each target's load and weights.
    pub(crate) fn push_reports(&self, state: &mut State) {
        let now = self.now();
        let table = self.shared.routes.load_full();
        let own = self.shared.scheduler.own_loads();
        for (target, report) in state.reports(now, table.as_deref(), &own) {
            self.shared
                .scheduler
                .submit(Event::Report { target, report });
        }
    }

    /// Carries out effects that concern no single request, for ever.
    pub(crate) async fn run_effects(self: Arc<Self>, effects: async_channel::Receiver<Effect>) {
        while let Ok(effect) = effects.recv().await {
            match effect {
                Effect::Probe { target, address } => {
                    let probe = self.clone().probe(target, address);
                    self.executor.spawn(probe).detach();
                }
                Effect::Quarantine {
                    fingerprint,
                    victims,
                    ttl,
                } => self.tell_quarantine(&fingerprint, victims, ttl),
                _ => {}
            }
        }
    }

    /// Tries a new connection to a target; a good one is kept for the next request.
    async fn probe(self: Arc<Self>, target: Name, address: std::net::SocketAddr) {
        self.shared.connections.clear(address);
        let signal = match connect(address).await {
            Ok(stream) => {
                self.shared.connections.put(address, stream, None);
                Signal::Reachable
            }
            Err(err) => {
                let error = err.to_string();
                log::info!("event=target_unreachable target={target} error={error:?}");
                Signal::Unreachable
            }
        };
        self.shared.metrics.connections.inc();
        self.shared
            .scheduler
            .submit(Event::Signal { target, signal });
    }

    /// Takes what requests noticed about targets, for ever.
    pub(crate) async fn run_signals(self: Arc<Self>, words: async_channel::Receiver<TargetWord>) {
        while let Ok(word) = words.recv().await {
            let target = word.target.clone();
            log::info!(
                "event=target_word target={target} signal={:?} weights={:?}",
                word.signal,
                word.weights
            );
            if let Some(version) = word.weights {
                let mut state = self.state();
                let now = self.now();
                if version > 0 {
                    state.told(now, &target, version);
                } else {
                    state.doubt(&target, now + DOUBT);
                }
                self.push_targets(&mut state);
            }
            let signal = word.signal;
            self.shared
                .scheduler
                .submit(Event::Signal { target, signal });
        }
    }

    /// Sends a message to one peer.
    pub(crate) fn send(&self, to: &str, message: PeerMessage) {
        if let Some(mesh) = self.mesh.get() {
            mesh.send(to, message);
        }
    }

    /// Sleeps for a time with some spread, so that entries do not act in step.
    pub(crate) async fn spread_sleep(time: Duration) {
        Timer::after(time.mul_f64(0.9 + fastrand::f64() / 5.0)).await;
    }
}
