//! Links between entries over loopback sockets.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_executor::Executor;
use async_io::{Async, Timer, block_on};
use async_tungstenite::tungstenite::Message;
use async_tungstenite::tungstenite::protocol::WebSocketConfig;
use futures_lite::future::Boxed;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt, StreamExt};
use guavahold::claim::{ClaimError, ClaimKey, ClaimRequest, ClaimVerdict};
use guavahold::peer::{
    ClaimServer, Mesh, PROTOCOL_VERSION, PeerEvents, PeerInfo, PeerLinks, PeerMessage,
    RelayedStoreUpdate, decode, encode,
};
use guavahold::platform::{Role, Vm, VmPhase};
use guavahold::prelude::Name;
use guavahold::secret::Secret;

const SECRET: &[u8] = b"a secret of at least thirty-two bytes";
const HEARTBEAT: Duration = Duration::from_millis(50);
const TIMEOUT: Duration = Duration::from_millis(300);
/// Largest frame that a peer of a test receives.
const MAX_FRAME_BYTES: usize = 64 * 1024;
const WAIT_LIMIT: Duration = Duration::from_secs(20);

#[derive(Default)]
struct Inbox {
    messages: Mutex<Vec<(Name, PeerMessage)>>,
    /// Live peers at the last change.
    live: Mutex<Vec<PeerInfo>>,
    /// Whether the next message that is no heartbeat makes the handler panic.
    panics_next: AtomicBool,
}

impl PeerEvents for Inbox {
    fn on_message(&self, from: &PeerInfo, message: PeerMessage) {
        if !matches!(message, PeerMessage::Heartbeat { .. }) {
            let panics = self.panics_next.swap(false, Ordering::Relaxed);
            assert!(!panics, "planned panic at a message");
            self.messages
                .lock()
                .unwrap()
                .push((from.name.clone(), message));
        }
    }

    fn on_change(&self, live: &[PeerInfo]) {
        *self.live.lock().unwrap() = live.to_vec();
    }
}

struct Node {
    mesh: Arc<Mesh>,
    inbox: Arc<Inbox>,
    addr: SocketAddr,
}

fn start(ex: &Arc<Executor<'static>>, name: &str, secret: &[u8], seeds: Vec<SocketAddr>) -> Node {
    start_with_timeout(ex, name, secret, seeds, TIMEOUT)
}

fn start_with_timeout(
    ex: &Arc<Executor<'static>>,
    name: &str,
    secret: &[u8],
    seeds: Vec<SocketAddr>,
    timeout: Duration,
) -> Node {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let inbox = Arc::new(Inbox::default());
    let mesh = Mesh::builder(name, &name[..1], Secret::new(secret))
        .timing(HEARTBEAT, timeout)
        .seeds(seeds)
        .build(inbox.clone());
    let listener = Arc::new(Async::new(listener).unwrap());
    ex.spawn(mesh.clone().run(listener, ex.clone())).detach();
    Node { mesh, inbox, addr }
}

fn vm(name: &str, address: SocketAddr) -> Vm {
    Vm {
        name: name.into(),
        role: Role::Entry,
        domain: name[..1].into(),
        address,
        serves: "".into(),
        phase: VmPhase::Live,
        cpu_millis: 0,
    }
}

/// Runs `f` together with the tasks of a new executor.
fn with_executor<T>(f: impl AsyncFnOnce(Arc<Executor<'static>>) -> T) -> T {
    let ex = Arc::new(Executor::new());
    block_on(ex.clone().run(f(ex)))
}

async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let wait = async {
        while !condition() {
            Timer::after(Duration::from_millis(5)).await;
        }
        true
    };
    let timed_out = async {
        Timer::after(WAIT_LIMIT).await;
        false
    };
    assert!(wait.or(timed_out).await, "not reached in time: {what}");
}

fn names(node: &Node) -> Vec<String> {
    node.mesh
        .live()
        .iter()
        .map(|p| p.name.to_string())
        .collect()
}

#[test]
fn mesh_links_listed_entries_once() {
    with_executor(async |ex| {
        let nodes: Vec<_> = ["a1", "a2", "b1"]
            .map(|name| start(&ex, name, SECRET, Vec::new()))
            .into();
        let vms = nodes.iter().zip(["a1", "a2", "b1"]);
        let vms: Vec<_> = vms.map(|(n, name)| vm(name, n.addr)).collect();
        for node in &nodes {
            node.mesh.set_peers(&vms);
        }
        wait_until("all linked", || {
            nodes.iter().all(|n| n.mesh.live().len() == 2)
        })
        .await;
        assert_eq!(names(&nodes[0]), ["a2", "b1"]);
        nodes[1].mesh.set_status(7, 40, true);
        wait_until("status seen", || {
            let live = nodes[2].mesh.live();
            live.iter()
                .any(|p| &*p.name == "a2" && p.revision == 7 && p.draining)
        })
        .await;
        nodes[2].mesh.broadcast(&PeerMessage::WantCatalog);
        wait_until("broadcast", || {
            nodes[..2]
                .iter()
                .all(|n| n.inbox.messages.lock().unwrap().len() == 1)
        })
        .await;
    });
}

/// Guards against peers that are taken for ones that stay until some link changes, though they shut
/// down.
#[test]
fn mesh_tells_of_a_peer_that_drains() {
    with_executor(async |ex| {
        let first = start(&ex, "a1", SECRET, Vec::new());
        let second = start(&ex, "b1", SECRET, vec![first.addr]);
        let told = |draining: bool| {
            let live = first.inbox.live.lock().unwrap();
            live.iter().any(|peer| peer.draining == draining)
        };
        wait_until("linked", || told(false)).await;
        second.mesh.set_draining(true);
        wait_until("told", || told(true)).await;
    });
}

/// An entry must reach its seeds without the platform, and dial them again after the link was
/// closed.
#[test]
fn mesh_seeds_link_entries_without_a_vm_list() {
    with_executor(async |ex| {
        let first = start(&ex, "a1", SECRET, Vec::new());
        let second = start(&ex, "b1", SECRET, vec![first.addr]);
        wait_until("linked", || {
            names(&first) == ["b1"] && names(&second) == ["a1"]
        })
        .await;
        first.mesh.leave();
        wait_until("linked again", || {
            names(&first) == ["b1"] && names(&second) == ["a1"]
        })
        .await;
    });
}

/// Guards against a peer that counts as linked, but hears nothing, until its timeout has passed
/// because the handling of one of its messages panicked.
#[test]
fn mesh_links_a_peer_again_at_once_after_its_message_panicked() {
    with_executor(async |ex| {
        let long = 10 * WAIT_LIMIT;
        let first = start_with_timeout(&ex, "a1", SECRET, Vec::new(), long);
        let second = start_with_timeout(&ex, "b1", SECRET, vec![first.addr], long);
        let linked = || names(&first) == ["b1"] && names(&second) == ["a1"];
        wait_until("linked", linked).await;
        first.inbox.panics_next.store(true, Ordering::Relaxed);
        wait_until("delivered", || {
            second.mesh.broadcast(&PeerMessage::WantCatalog);
            !first.inbox.messages.lock().unwrap().is_empty()
        })
        .await;
        assert!(linked());
    });
}

#[test]
fn mesh_wrong_secret_is_refused() {
    with_executor(async |ex| {
        let first = start(&ex, "a1", SECRET, Vec::new());
        let other = start(
            &ex,
            "a2",
            b"another secret, just as long as that",
            vec![first.addr],
        );
        Timer::after(TIMEOUT * 2).await;
        assert!(first.mesh.live().is_empty());
        assert!(other.mesh.live().is_empty());
    });
}

fn hello(name: &str) -> PeerMessage {
    PeerMessage::Hello {
        protocol: PROTOCOL_VERSION,
        name: name.into(),
        domain: name[..1].into(),
        boot: 5,
        proof: Secret::new(SECRET).peer_proof(name, 5).into(),
    }
}

/// Connects as a peer of the given name and sends its hello message.
async fn raw_peer(
    name: &str,
    addr: SocketAddr,
) -> async_tungstenite::WebSocketStream<Async<std::net::TcpStream>> {
    let stream = Async::<std::net::TcpStream>::connect(addr).await.unwrap();
    let url = format!("ws://{addr}/peers");
    let config = WebSocketConfig::default().max_frame_size(Some(MAX_FRAME_BYTES));
    let connected = async_tungstenite::client_async_with_config(url, stream, Some(config)).await;
    let (mut ws, _) = connected.unwrap();
    ws.send(Message::Binary(encode(&hello(name)).into()))
        .await
        .unwrap();
    ws
}

/// A binary frame from a client, masked with zeros, whose header announces `len` bytes.
fn frame_header(len: u64) -> Vec<u8> {
    let mut header = vec![0x82, 0xff];
    header.extend(len.to_be_bytes());
    header.extend([0; 4]);
    header
}

fn frame(message: &PeerMessage) -> Vec<u8> {
    let payload = encode(message);
    let mut frame = frame_header(u64::try_from(payload.len()).unwrap());
    frame.extend(&payload[..]);
    frame
}

/// Connects as a peer that has not sent its hello message, and returns the bare connection.
async fn upgraded(addr: SocketAddr) -> Async<std::net::TcpStream> {
    let stream = Async::<std::net::TcpStream>::connect(addr).await.unwrap();
    let url = format!("ws://{addr}/peers");
    let (ws, _) = async_tungstenite::client_async(url, stream).await.unwrap();
    ws.into_inner()
}

/// A hello message is read before its sender is known, so a large one must not be received, nor
/// waited for.
#[test]
fn mesh_large_hello_is_refused_by_its_header() {
    with_executor(async |ex| {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let mesh = Mesh::builder("a1", "a", Secret::new(SECRET))
            .timing(HEARTBEAT, 10 * WAIT_LIMIT)
            .build(Arc::new(Inbox::default()));
        let listener = Arc::new(Async::new(listener).unwrap());
        ex.spawn(mesh.clone().run(listener, ex.clone())).detach();
        let mut stream = upgraded(addr).await;
        stream.write_all(&frame_header(5 * 1024)).await.unwrap();
        let closed = async {
            while stream.read(&mut [0; 1024]).await.is_ok_and(|n| n > 0) {}
            true
        };
        let timed_out = async {
            Timer::after(WAIT_LIMIT).await;
            false
        };
        assert!(closed.or(timed_out).await, "the connection stays open");
    });
}

/// A peer may send its first messages right behind its hello message.
#[test]
fn mesh_message_right_behind_hello_is_received() {
    with_executor(async |ex| {
        let node = start(&ex, "a1", SECRET, Vec::new());
        let mut stream = upgraded(node.addr).await;
        let mut frames = frame(&hello("c1"));
        frames.extend(frame(&PeerMessage::WantCatalog));
        stream.write_all(&frames).await.unwrap();
        wait_until("received", || {
            let inbox = node.inbox.messages.lock().unwrap();
            matches!(&inbox[..], [(from, PeerMessage::WantCatalog)] if &**from == "c1")
        })
        .await;
    });
}

#[test]
fn mesh_unreadable_frame_closes_only_its_connection() {
    with_executor(async |ex| {
        let first = start(&ex, "a1", SECRET, Vec::new());
        let second = start(&ex, "a2", SECRET, vec![first.addr]);
        let mut bad = raw_peer("c1", first.addr).await;
        wait_until("linked", || names(&first) == ["a2", "c1"]).await;
        bad.send(Message::Binary(vec![0xff, 1, 2].into()))
            .await
            .unwrap();
        wait_until("closed", || names(&first) == ["a2"]).await;
        while let Some(Ok(_)) = bad.next().await {}
        assert_eq!(first.mesh.link_counters().unreadable(), 1);
        assert_eq!(names(&second), ["a1"]);
    });
}

/// A later build may send kinds of messages that this one does not know.
#[test]
fn mesh_unknown_message_is_dropped_and_link_stays() {
    with_executor(async |ex| {
        let node = start(&ex, "a1", SECRET, Vec::new());
        let mut later = raw_peer("c1", node.addr).await;
        wait_until("linked", || names(&node) == ["c1"]).await;
        for _ in 0..3 {
            let mut frame = Vec::new();
            ciborium::into_writer("future-kind", &mut frame).unwrap();
            later.send(Message::Binary(frame.into())).await.unwrap();
        }
        let counters = node.mesh.link_counters();
        wait_until("dropped", || counters.not_understood() == 3).await;
        let heartbeat = PeerMessage::Heartbeat {
            revision: 76,
            since_ms: 0,
            draining: true,
            watching: false,
        };
        let frame = encode(&heartbeat);
        later.send(Message::Binary(frame.into())).await.unwrap();
        let draining = || node.mesh.live().iter().any(|peer| peer.draining);
        wait_until("the link goes on", draining).await;
        assert_eq!(counters.unreadable(), 0);
    });
}

/// A peer that accepts a connection and then sends no heartbeats must not count as live.
#[test]
fn mesh_silent_link_is_lost_and_redialled() {
    with_executor(async |ex| {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
        let addr = listener.get_ref().local_addr().unwrap();
        let node = start(&ex, "a1", SECRET, vec![addr]);
        for _ in 0..2 {
            let (stream, _) = listener.accept().await.unwrap();
            let mut ws = async_tungstenite::accept_async(stream).await.unwrap();
            let Some(Ok(Message::Binary(hello))) = ws.next().await else {
                panic!("expected a hello message");
            };
            assert!(matches!(decode(&hello), Ok(PeerMessage::Hello { .. })));
            let hello = PeerMessage::Hello {
                protocol: PROTOCOL_VERSION,
                name: "b1".into(),
                domain: "b".into(),
                boot: 5,
                proof: Secret::new(SECRET).peer_proof("b1", 5).into(),
            };
            ws.send(Message::Binary(encode(&hello).into()))
                .await
                .unwrap();
            wait_until("live", || names(&node) == ["b1"]).await;
            wait_until("lost", || names(&node).is_empty()).await;
            drop(ws);
        }
    });
}

/// Replies `InProgress`, or never when the claim's digest is `never`.
struct TestClaimServer;

impl ClaimServer for TestClaimServer {
    fn claim_for_peer(
        &self,
        _: Name,
        req: ClaimRequest,
    ) -> Boxed<Result<ClaimVerdict, ClaimError>> {
        Box::pin(async move {
            if &*req.digest == "never" {
                Timer::never().await;
            }
            Ok(ClaimVerdict::InProgress)
        })
    }
}

#[test]
fn mesh_claim_returns_reply_or_none_on_timeout_and_lost_link() {
    with_executor(async |ex| {
        let owner = start(&ex, "a1", SECRET, Vec::new());
        owner.mesh.serve_claims(Arc::new(TestClaimServer));
        let client = start(&ex, "a2", SECRET, vec![owner.addr]);
        wait_until("linked", || names(&client) == ["a1"]).await;
        let req = |digest: &str| ClaimRequest {
            key: ClaimKey {
                customer: "salon".into(),
                key: uuid::Uuid::nil(),
            },
            digest: digest.into(),
            retention: Duration::from_secs(1),
            total_timeout: Duration::from_secs(1),
        };
        let reply = client.mesh.claim("a1", "a2/1".into(), req("once")).await;
        assert_eq!(reply, Some(Ok(ClaimVerdict::InProgress)));
        assert_eq!(
            client.mesh.claim("a1", "a2/2".into(), req("never")).await,
            None
        );
        assert_eq!(
            client.mesh.claim("z9", "a2/3".into(), req("once")).await,
            None
        );
        let pending = client.mesh.claim("a1", "a2/4".into(), req("never"));
        client.mesh.leave();
        assert_eq!(pending.await, None);
    });
}

/// A message of some hundred kilobytes.
fn large_message() -> PeerMessage {
    let parts = (0..20_000).map(|n| ("1".into(), format!("{n:08x}").into(), 700));
    PeerMessage::StoreUpdate(RelayedStoreUpdate {
        store: "127.0.0.1:1".parse().unwrap(),
        epoch: 7,
        from: 0,
        next: 20_000,
        changes: parts.collect(),
        clock_ms: None,
        full_requested: false,
        store_unreachable: false,
    })
}

/// Guards against a copy of the scope for each of the 100,000 parts of a full store.
#[test]
fn decode_of_a_store_update_keeps_a_scope_once() {
    let scopes = ["1", "1", "2", "2", "1"];
    let parts = scopes.iter().map(|s| ((*s).into(), "p".into(), 700));
    let PeerMessage::StoreUpdate(update) = large_message() else {
        unreachable!();
    };
    let update = RelayedStoreUpdate {
        changes: parts.collect(),
        ..update
    };
    let frame = encode(&PeerMessage::StoreUpdate(update.clone()));
    let Ok(PeerMessage::StoreUpdate(read)) = decode(&frame) else {
        panic!("another message");
    };
    assert_eq!(read, update);
    let kept_once = read
        .changes
        .windows(2)
        .map(|pair| Arc::ptr_eq(&pair[0].0, &pair[1].0));
    assert_eq!(kept_once.collect::<Vec<_>>(), [true, false, true, false]);
}

/// Guards against buffers of the size of the largest message that each link ever carried: they are
/// kept as long as the link.
#[test]
fn mesh_large_message_is_sent_in_small_frames() {
    with_executor(async |ex| {
        let first = start(&ex, "a1", SECRET, Vec::new());
        let second = start(&ex, "a2", SECRET, vec![first.addr]);
        let mut raw = raw_peer("c1", first.addr).await;
        wait_until("linked", || names(&first) == ["a2", "c1"]).await;
        first.mesh.broadcast(&large_message());
        let received = loop {
            let Some(Ok(Message::Binary(message))) = raw.next().await else {
                panic!("a frame is too large");
            };
            match decode(&message).unwrap() {
                PeerMessage::Hello { .. } | PeerMessage::Heartbeat { .. } => {}
                other => break other,
            }
        };
        assert_eq!(received, large_message());
        second.mesh.broadcast(&large_message());
        for node in [&first, &second] {
            wait_until("received", || {
                let inbox = node.inbox.messages.lock().unwrap();
                inbox.iter().any(|(_, message)| *message == large_message())
            })
            .await;
        }
    });
}
