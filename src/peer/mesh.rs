//! The links of one entry to its peers.

mod links;
mod queue;

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Instant;

use async_executor::Executor;
use async_io::{Async, Timer};
use async_tungstenite::tungstenite::Bytes;
use futures_lite::FutureExt;
use log::Level;

use crate::claim::ClaimRequest;
use crate::peer::calls::Calls;
use crate::peer::{
    ClaimServer, CloseReason, ConnId, MemberEffect, MemberEvent, Membership, MembershipSettings,
    MeshBuilder, Opened, PROTOCOL, PeerEvents, PeerLinks, PeerMessage, Traffic, encode, link,
};
use crate::platform::Vm;
use crate::prelude::*;
use crate::secret::Secret;
use crate::telemetry::{EntryMetrics, log_event};

use queue::{Outgoing, Queue};

/// Interval at which timeouts are looked for.
const TICK: Duration = Duration::from_millis(100);
/// Pause after a failed accept, such as when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Connections at most that are still in their handshake.
const MAX_HANDSHAKES: usize = 256;

/// WebSocket links to live peers.
pub struct Mesh {
    pub(crate) name: Name,
    domain: Name,
    boot: u64,
    secret: Secret,
    pub(crate) heartbeat: Duration,
    pub(crate) peer_timeout: Duration,
    events: Arc<dyn PeerEvents>,
    claim_server: OnceLock<Arc<dyn ClaimServer>>,
    started: Instant,
    state: Mutex<State>,
    calls: Arc<Calls>,
    status: Mutex<Status>,
    draining: AtomicBool,
    last_conn: AtomicU64,
    handshaking: AtomicUsize,
    metrics: Option<Arc<EntryMetrics>>,
    traffic: Traffic,
    executor: OnceLock<Arc<Executor<'static>>>,
}

struct State {
    membership: Membership,
    queues: HashMap<ConnId, Queue>,
    by_name: HashMap<Name, ConnId>,
}

#[derive(Clone, Copy)]
struct Status {
    revision: u64,
    since: Instant,
    watching: bool,
}

impl Mesh {
    /// Starts the settings of a mesh with defaults for everything but names and secret.
    #[must_use]
    pub fn builder(name: impl Into<Name>, domain: impl Into<Name>, secret: Secret) -> MeshBuilder {
        MeshBuilder::new(name.into(), domain.into(), secret)
    }

    pub(crate) fn with_settings(cfg: MeshBuilder, events: Arc<dyn PeerEvents>) -> Arc<Self> {
        let membership = Membership::new(MembershipSettings {
            name: cfg.name.clone(),
            domain: cfg.domain.clone(),
            boot: cfg.boot,
            all_linked: cfg.all_linked,
            peer_timeout: cfg.peer_timeout,
            seeds: cfg.seeds,
            seed: cfg.boot,
        });
        Arc::new(Self {
            name: cfg.name,
            domain: cfg.domain,
            boot: cfg.boot,
            secret: cfg.secret,
            heartbeat: cfg.heartbeat,
            peer_timeout: cfg.peer_timeout,
            events,
            claim_server: OnceLock::new(),
            started: Instant::now(),
            state: Mutex::new(State {
                membership,
                queues: HashMap::new(),
                by_name: HashMap::new(),
            }),
            calls: Arc::default(),
            status: Mutex::new(Status {
                revision: 0,
                since: Instant::now(),
                watching: false,
            }),
            draining: AtomicBool::new(false),
            last_conn: AtomicU64::new(0),
            handshaking: AtomicUsize::new(0),
            metrics: cfg.metrics,
            traffic: Traffic::default(),
            executor: OnceLock::new(),
        })
    }

    /// Sets who commits the claims of peers; only the first call counts.
    pub fn serve_claims(&self, server: Arc<dyn ClaimServer>) {
        let _ = self.claim_server.set(server);
    }

    /// Takes over the platform's list of VMs.
    pub fn set_peers(self: &Arc<Self>, vms: &[Vm]) {
        self.apply(MemberEvent::Listed(vms.to_vec()));
    }

    /// Sets what the next heartbeats say.
    pub fn set_status(&self, revision: u64, since_ms: u64, draining: bool) {
        let watching = lock(&self.status).watching;
        self.announce(revision, Duration::from_millis(since_ms), watching);
        self.set_draining(draining);
    }

    /// Sets whether the next heartbeats say that this entry is shutting down.
    pub fn set_draining(&self, draining: bool) {
        self.draining.store(draining, Ordering::Relaxed);
    }

    /// Sends one message to several peers; those without a link or with a full queue miss it.
    pub fn multicast(&self, to: &[Name], message: &PeerMessage) {
        let frame = Bytes::from(encode(message));
        let state = lock(&self.state);
        let conns = to.iter().filter_map(|name| state.by_name.get(name));
        for queue in conns.filter_map(|conn| state.queues.get(conn)) {
            let _ = queue.push(frame.clone());
        }
    }

    /// Closes every link, so that peers notice at once that this entry is gone.
    pub fn leave(self: &Arc<Self>) {
        let conns: Vec<_> = lock(&self.state).queues.keys().copied().collect();
        for conn in conns {
            self.closed(conn);
        }
    }

    /// What the links carried so far.
    #[must_use]
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// Accepts, dials and watches over links until it is dropped; links end with the executor.
    ///
    /// # Errors
    /// When the listener cannot be registered with the reactor.
    pub async fn run(
        self: Arc<Self>,
        listener: TcpListener,
        executor: Arc<Executor<'static>>,
    ) -> std::io::Result<()> {
        let listener = Async::new(listener)?;
        let _ = self.executor.set(executor);
        self.accept(&listener).or(self.tick()).await;
        Ok(())
    }

    async fn accept(self: &Arc<Self>, listener: &Async<TcpListener>) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.accepted(stream),
                Err(err) => {
                    log_event(Level::Warn, "accept_failed", &[("error", &err)]);
                    Timer::after(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn accepted(self: &Arc<Self>, stream: Async<TcpStream>) {
        if self.handshaking.load(Ordering::Relaxed) < MAX_HANDSHAKES {
            let this = self.clone();
            self.spawn(async move { link::accept(&this, stream).await });
        }
    }

    async fn tick(self: &Arc<Self>) {
        loop {
            self.apply(MemberEvent::Tick);
            Timer::after(TICK).await;
        }
    }

    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        if let Some(executor) = self.executor.get() {
            executor.spawn(task).detach();
        }
    }

    fn now(&self) -> Timestamp {
        self.started.elapsed()
    }

    /// Feeds one event to the decisions and carries out what they ask for.
    pub(crate) fn apply(self: &Arc<Self>, event: MemberEvent) {
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
                    self.spawn(async move { link::dial(&this, addr).await });
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

    fn close(&self, state: &mut State, conn: ConnId, reason: CloseReason) {
        state.queues.remove(&conn);
        state.by_name.retain(|_, c| *c != conn);
        self.calls.lost(conn);
        let fields: [(&str, &dyn std::fmt::Display); 2] =
            [("conn", &conn), ("reason", &reason.as_str())];
        let level = match reason {
            CloseReason::Silent | CloseReason::Restarted => Level::Warn,
            _ => Level::Debug,
        };
        log_event(level, "peer_connection_closed", &fields);
    }

    /// Takes an authenticated connection into use; its queue, or `None` when it is not kept.
    pub(crate) fn open(
        self: &Arc<Self>,
        peer: Name,
        domain: Name,
        boot: u64,
        dialled: Option<SocketAddr>,
    ) -> Option<(ConnId, Outgoing)> {
        let conn = self.last_conn.fetch_add(1, Ordering::Relaxed) + 1;
        let (queue, outgoing) = Queue::new();
        let mut effects = Vec::new();
        let mut state = lock(&self.state);
        let opened = Opened {
            conn,
            peer: peer.clone(),
            domain,
            boot,
            dialled,
        };
        let opened = MemberEvent::Opened(opened);
        state.membership.on(self.now(), opened, &mut effects);
        let kept = state.membership.peer(conn, Timestamp::ZERO).is_some();
        if kept {
            state.queues.insert(conn, queue);
            state.by_name.insert(peer, conn);
        }
        self.perform(state, effects);
        kept.then_some((conn, outgoing))
    }

    /// Forgets an ended connection.
    pub(crate) fn closed(self: &Arc<Self>, conn: ConnId) {
        let mut state = lock(&self.state);
        state.queues.remove(&conn);
        state.by_name.retain(|_, c| *c != conn);
        drop(state);
        self.calls.lost(conn);
        self.apply(MemberEvent::Closed(conn));
    }

    /// Handles a message that arrived on a connection.
    pub(crate) fn received(self: &Arc<Self>, conn: ConnId, message: PeerMessage) {
        if let PeerMessage::Heartbeat {
            revision,
            since_ms,
            draining,
            ..
        } = &message
        {
            self.apply(MemberEvent::Beat {
                conn,
                revision: *revision,
                since_ms: *since_ms,
                draining: *draining,
            });
        } else {
            self.apply(MemberEvent::Heard(conn));
        }
        match message {
            PeerMessage::Hello { .. } => {}
            PeerMessage::Claim { seq, claimant, req } => self.serve(conn, seq, claimant, req),
            PeerMessage::ClaimReply { seq, result } => self.calls.reply(conn, seq, result),
            message => {
                let from = lock(&self.state).membership.peer(conn, self.now());
                if let Some(from) = from {
                    self.events.on_message(&from, message);
                }
            }
        }
    }

    fn serve(self: &Arc<Self>, conn: ConnId, seq: u64, claimant: Name, req: ClaimRequest) {
        let Some(server) = self.claim_server.get() else {
            return;
        };
        let (this, verdict) = (self.clone(), server.serve(claimant, req));
        self.spawn(async move {
            let result = verdict.await;
            let reply = encode(&PeerMessage::ClaimReply { seq, result });
            this.enqueue(conn, reply.into());
        });
    }

    fn enqueue(&self, conn: ConnId, frame: Bytes) -> bool {
        let state = lock(&self.state);
        let queue = state.queues.get(&conn);
        queue.is_some_and(|queue| queue.push(frame))
    }

    fn conn_of(&self, name: &str) -> Option<ConnId> {
        lock(&self.state).by_name.get(name).copied()
    }

    /// The first message to a peer.
    pub(crate) fn hello(&self) -> PeerMessage {
        PeerMessage::Hello {
            protocol: PROTOCOL,
            name: self.name.clone(),
            domain: self.domain.clone(),
            boot: self.boot,
            proof: self.secret.peer_proof(&self.name, self.boot).into(),
        }
    }

    /// Checks a peer's proof in constant time.
    pub(crate) fn proves(&self, name: &str, boot: u64, proof: &str) -> bool {
        let expected = blake3::Hash::from_hex(self.secret.peer_proof(name, boot));
        matches!((expected, blake3::Hash::from_hex(proof)), (Ok(a), Ok(b)) if a == b)
    }

    /// The heartbeat that is due now.
    pub(crate) fn beat(&self) -> PeerMessage {
        let status = *lock(&self.status);
        PeerMessage::Heartbeat {
            revision: status.revision,
            since_ms: u64::try_from(status.since.elapsed().as_millis()).unwrap_or(u64::MAX),
            draining: self.draining.load(Ordering::Relaxed),
            watching: status.watching,
        }
    }

    /// Counts a connection as handshaking while the guard lives.
    pub(crate) fn handshaking(self: &Arc<Self>) -> Handshaking {
        self.handshaking.fetch_add(1, Ordering::Relaxed);
        Handshaking(self.clone())
    }

    /// Counts and logs a fault of a connection.
    pub(crate) fn fault(&self, kind: &str, peer: &str, detail: &dyn std::fmt::Display) {
        log_event(Level::Warn, kind, &[("peer", &peer), ("error", detail)]);
        if let Some(metrics) = &self.metrics {
            metrics.faults.with_label_values(&[kind]).inc();
        }
    }
}

/// Guard of an accepted or dialled connection before its proof.
pub(crate) struct Handshaking(Arc<Mesh>);

impl Drop for Handshaking {
    fn drop(&mut self) {
        self.0.handshaking.fetch_sub(1, Ordering::Relaxed);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
