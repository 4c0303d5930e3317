//! The links of one entry to its peers: sockets, queues and timers around [`Membership`].

mod connections;
mod links;
mod queue;
mod relays;

use std::collections::HashMap;
use std::net::{TcpListener, TcpStream};
use std::panic::{AssertUnwindSafe, resume_unwind};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Instant;

use async_io::{Async, Timer};
use futures_lite::FutureExt;
use log::Level;
use queue::Queue;

use crate::claim::ClaimRequest;
use crate::intake::IntakeLimits;
use crate::peer::claim_calls::ClaimCalls;
use crate::peer::{
    ClaimServer, ConnId, LinkCounters, MemberEffect, MemberEvent, Membership, MembershipSettings,
    MeshBuilder, PROTOCOL_VERSION, PeerEvents, PeerLinks, PeerMessage, RelayServer, connection,
};
use crate::platform::Vm;
use crate::prelude::*;
use crate::secret::Secret;
use crate::shared_intake::SharedIntake;
use crate::supervisor::Supervisor;
use crate::telemetry::{EntryMetrics, log_event};

/// Interval at which timeouts and due dials are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Delay after a failed accept, such as when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Memory of a connection in its handshake, in bytes.
const HANDSHAKE_BYTES: usize = 64 * 1024;

/// WebSocket links of one entry to its live peers.
pub struct Mesh {
    pub(crate) name: Name,
    domain: Name,
    boot: u64,
    secret: Secret,
    pub(crate) heartbeat_interval: Duration,
    pub(crate) peer_timeout: Duration,
    events: Arc<dyn PeerEvents>,
    claim_server: OnceLock<Arc<dyn ClaimServer>>,
    relay_server: OnceLock<Arc<dyn RelayServer>>,
    started: Instant,
    state: Mutex<State>,
    calls: Arc<ClaimCalls>,
    status: Mutex<CatalogStatus>,
    draining: AtomicBool,
    last_conn: AtomicU64,
    /// Bounds on the accepted connections that are in their handshake.
    handshakes: Arc<SharedIntake>,
    metrics: Option<Arc<EntryMetrics>>,
    counters: LinkCounters,
    supervisor: OnceLock<Supervisor>,
}

struct State {
    membership: Membership,
    queues: HashMap<ConnId, Queue>,
    by_name: HashMap<Name, ConnId>,
}

/// Catalog status that heartbeats report.
#[derive(Clone, Copy)]
struct CatalogStatus {
    revision: u64,
    since: Instant,
    watching: bool,
}

impl Mesh {
    /// Returns a builder with defaults for everything but names and secret.
    #[must_use]
    pub fn builder(name: impl Into<Name>, domain: impl Into<Name>, secret: Secret) -> MeshBuilder {
        MeshBuilder::new(name.into(), domain.into(), secret)
    }

    pub(crate) fn with_settings(cfg: MeshBuilder, events: Arc<dyn PeerEvents>) -> Arc<Self> {
        let membership = Membership::new(MembershipSettings {
            name: cfg.name.clone(),
            domain: cfg.domain.clone(),
            boot: cfg.boot,
            full_mesh: cfg.full_mesh,
            peer_timeout: cfg.peer_timeout,
            seeds: cfg.seeds,
            seed: cfg.boot,
        });
        Arc::new(Self {
            name: cfg.name,
            domain: cfg.domain,
            boot: cfg.boot,
            secret: cfg.secret,
            heartbeat_interval: cfg.heartbeat,
            peer_timeout: cfg.peer_timeout,
            events,
            claim_server: OnceLock::new(),
            relay_server: OnceLock::new(),
            started: Instant::now(),
            state: Mutex::new(State {
                membership,
                queues: HashMap::new(),
                by_name: HashMap::new(),
            }),
            calls: Arc::default(),
            status: Mutex::new(CatalogStatus {
                revision: 0,
                since: Instant::now(),
                watching: false,
            }),
            draining: AtomicBool::new(false),
            last_conn: AtomicU64::new(0),
            handshakes: SharedIntake::new(IntakeLimits {
                bytes: cfg.max_handshakes * HANDSHAKE_BYTES,
                connections: cfg.max_handshakes,
            }),
            metrics: cfg.metrics,
            counters: LinkCounters::default(),
            supervisor: OnceLock::new(),
        })
    }

    /// Sets the server that commits the claims of peers; only the first call has an effect.
    pub fn serve_claims(&self, server: Arc<dyn ClaimServer>) {
        let _ = self.claim_server.set(server);
    }

    /// Replaces the known list of VMs by the platform's.
    pub fn set_peers(self: &Arc<Self>, vms: &[Vm]) {
        self.handle_event(MemberEvent::Listed(vms.to_vec()));
    }

    /// Sets the catalog revision, its time in force and the draining state that heartbeats report.
    pub fn set_status(&self, revision: u64, since_ms: u64, draining: bool) {
        let watching = lock(&self.status).watching;
        self.announce(revision, Duration::from_millis(since_ms), watching);
        self.set_draining(draining);
    }

    /// Sets whether heartbeats report that this entry is shutting down.
    pub fn set_draining(&self, draining: bool) {
        self.draining.store(draining, Ordering::Relaxed);
    }

    /// Queues one message for several peers; those without a link or with a full queue do not get
    /// it.
    pub fn multicast(&self, to: &[Name], message: &PeerMessage) {
        let Some(frame) = self.encode_bounded(message) else {
            return;
        };
        let state = lock(&self.state);
        let conns = to.iter().filter_map(|name| state.by_name.get(name));
        for queue in conns.filter_map(|conn| state.queues.get(conn)) {
            let _ = queue.push(frame.clone());
        }
    }

    /// Closes every connection, so that peers need not wait for the timeout to notice that this
    /// entry left.
    pub fn leave(self: &Arc<Self>) {
        let conns: Vec<_> = lock(&self.state).queues.keys().copied().collect();
        for conn in conns {
            self.remove_connection(conn);
        }
    }

    /// Counters of the frames and bytes that all links carried.
    #[must_use]
    pub fn link_counters(&self) -> &LinkCounters {
        &self.counters
    }

    /// Accepts and dials connections and checks timeouts until the future is dropped; the
    /// connections run as tasks of the supervisor's executor and end with it.
    pub async fn run(
        self: Arc<Self>,
        listener: Arc<Async<TcpListener>>,
        supervisor: impl Into<Supervisor>,
    ) {
        let _ = self.supervisor.set(supervisor.into());
        self.accept_connections(&listener)
            .or(self.run_ticks())
            .await;
    }

    async fn accept_connections(self: &Arc<Self>, listener: &Async<TcpListener>) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.start_accepted(stream),
                Err(err) => {
                    log_event(Level::Warn, "accept_failed", &[("error", &err)]);
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    fn start_accepted(self: &Arc<Self>, stream: Async<TcpStream>) {
        if let Some(permit) = self.handshakes.open() {
            let this = self.clone();
            self.spawn(async move { connection::accept(&this, stream, permit).await });
        }
    }

    async fn run_ticks(self: &Arc<Self>) {
        loop {
            self.handle_event(MemberEvent::Tick);
            Timer::after(TICK_INTERVAL).await;
        }
    }

    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        if let Some(supervisor) = self.supervisor.get() {
            supervisor.spawn("peer_connection", task);
        }
    }

    fn now(&self) -> Timestamp {
        self.started.elapsed()
    }

    /// Passes one event to the membership state and carries out the resulting effects.
    pub(crate) fn handle_event(self: &Arc<Self>, event: MemberEvent) {
        let mut effects = Vec::new();
        let mut state = lock(&self.state);
        state.membership.on(self.now(), event, &mut effects);
        self.perform(state, effects);
    }

    fn perform(self: &Arc<Self>, mut state: MutexGuard<'_, State>, effects: Vec<MemberEffect>) {
        let mut changed = false;
        for effect in effects {
            match effect {
                MemberEffect::Dial(addr) => {
                    let this = self.clone();
                    self.spawn(async move {
                        let dialled =
                            AssertUnwindSafe(connection::dial(&this, addr)).catch_unwind();
                        if let Err(panic) = dialled.await {
                            // Otherwise the address would count as being dialled for ever.
                            this.handle_event(MemberEvent::DialFailed(addr));
                            resume_unwind(panic);
                        }
                    });
                }
                MemberEffect::Close { conn, reason } => self.close(&mut state, conn, reason),
                MemberEffect::Changed => changed = true,
            }
        }
        if !changed {
            return;
        }
        let live = state.membership.live(self.now());
        drop(state);
        if let Some(metrics) = &self.metrics {
            metrics
                .peers
                .set(i64::try_from(live.len()).unwrap_or(i64::MAX));
        }
        self.events.on_change(&live);
    }

    /// Handles a message that arrived on a connection.
    pub(crate) fn handle_message(self: &Arc<Self>, conn: ConnId, message: PeerMessage) {
        if let PeerMessage::Heartbeat {
            revision,
            since_ms,
            draining,
            ..
        } = &message
        {
            self.handle_event(MemberEvent::HeartbeatReceived {
                conn,
                revision: *revision,
                since_ms: *since_ms,
                draining: *draining,
            });
        } else {
            self.handle_event(MemberEvent::MessageReceived(conn));
        }
        match message {
            PeerMessage::Hello { .. } => {}
            PeerMessage::Claim { seq, claimant, req } => self.serve_claim(conn, seq, claimant, req),
            PeerMessage::ClaimReply { seq, result } => self.calls.complete(conn, seq, result),
            message => {
                let from = lock(&self.state).membership.peer(conn, self.now());
                if let Some(from) = from {
                    self.events.on_message(&from, message);
                }
            }
        }
    }

    fn serve_claim(self: &Arc<Self>, conn: ConnId, seq: u64, claimant: Name, req: ClaimRequest) {
        let Some(server) = self.claim_server.get() else {
            return;
        };
        let (this, pending) = (self.clone(), server.claim_for_peer(claimant, req));
        self.spawn(async move {
            let result = pending.await;
            this.enqueue(conn, &PeerMessage::ClaimReply { seq, result });
        });
    }

    /// The hello message of this entry.
    pub(crate) fn hello_message(&self) -> PeerMessage {
        PeerMessage::Hello {
            protocol: PROTOCOL_VERSION,
            name: self.name.clone(),
            domain: self.domain.clone(),
            boot: self.boot,
            proof: self.secret.peer_proof(&self.name, self.boot).into(),
        }
    }

    /// Verifies in constant time that a peer's proof was made with the shared secret.
    pub(crate) fn verify_proof(&self, name: &str, boot: u64, proof: &str) -> bool {
        let expected = blake3::Hash::from_hex(self.secret.peer_proof(name, boot));
        matches!((expected, blake3::Hash::from_hex(proof)), (Ok(a), Ok(b)) if a == b)
    }

    /// A heartbeat with the current status.
    pub(crate) fn heartbeat_message(&self) -> PeerMessage {
        let status = *lock(&self.status);
        PeerMessage::Heartbeat {
            revision: status.revision,
            since_ms: u64::try_from(status.since.elapsed().as_millis()).unwrap_or(u64::MAX),
            draining: self.draining.load(Ordering::Relaxed),
            watching: status.watching,
        }
    }

    /// Logs and counts a fault of a connection.
    pub(crate) fn record_fault(&self, kind: &str, peer: &str, detail: &dyn std::fmt::Display) {
        log_event(Level::Warn, kind, &[("peer", &peer), ("error", detail)]);
        if let Some(metrics) = &self.metrics {
            metrics.faults.with_label_values(&[kind]).inc();
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
