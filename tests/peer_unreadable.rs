//! Messages between entries with one field or item that the receiver cannot read: each costs itself
//! only, neither the link nor the next message.

#[path = "peer_compatibility/samples.rs"]
mod samples;

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_executor::Executor;
use async_io::{Async, Timer, block_on};
use async_tungstenite::WebSocketStream;
use async_tungstenite::tungstenite::Message;
use ciborium::Value;
use futures_lite::FutureExt;
use guavahold::peer::{
    CodecError, Mesh, PROTOCOL_VERSION, PeerEvents, PeerInfo, PeerLinks, PeerMessage, decode,
    encode,
};
use guavahold::prelude::Name;
use guavahold::secret::Secret;
use guavahold::store_view::PeerObject;

const SECRET: &[u8] = b"a secret of at least thirty-two bytes";
const HEARTBEAT: Duration = Duration::from_millis(50);
const WAIT_LIMIT: Duration = Duration::from_secs(20);
/// Nesting that the decoder does not follow.
const DEPTH: usize = 300;
/// Length of a long name, in bytes.
const LONG_NAME_BYTES: usize = 100_000;
/// Longest kind of a message that is kept to be logged, in bytes.
const MAX_KIND_BYTES: usize = 64;
/// Unreadable messages before each one whose receipt is awaited.
const BATCH: usize = 32;

/// Larger than any message that a link carries.
const TOO_LARGE_BYTES: usize = 65 * 1024 * 1024;

#[derive(Default)]
struct Inbox(Mutex<Vec<PeerMessage>>);

impl Inbox {
    fn has(&self, message: &PeerMessage) -> bool {
        self.0.lock().unwrap().contains(message)
    }
}

impl PeerEvents for Inbox {
    fn on_message(&self, _: &PeerInfo, message: PeerMessage) {
        self.0.lock().unwrap().push(message);
    }

    fn on_change(&self, _: &[PeerInfo]) {}
}

struct Node {
    mesh: Arc<Mesh>,
    inbox: Arc<Inbox>,
    addr: SocketAddr,
}

fn start(ex: &Arc<Executor<'static>>, name: &str, seeds: Vec<SocketAddr>) -> Node {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let inbox = Arc::new(Inbox::default());
    let mesh = Mesh::builder(name, "a", Secret::new(SECRET))
        .timing(HEARTBEAT, WAIT_LIMIT)
        .seeds(seeds)
        .build(inbox.clone());
    let listener = Arc::new(Async::new(listener).unwrap());
    ex.spawn(mesh.clone().run(listener, ex.clone())).detach();
    Node { mesh, inbox, addr }
}

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

/// Connects as a peer and sends its hello message.
async fn raw_peer(name: &str, addr: SocketAddr) -> WebSocketStream<Async<TcpStream>> {
    let stream = Async::<TcpStream>::connect(addr).await.unwrap();
    stream.get_ref().set_nodelay(true).unwrap();
    let url = format!("ws://{addr}/peers");
    let (mut ws, _) = async_tungstenite::client_async(url, stream).await.unwrap();
    let hello = PeerMessage::Hello {
        protocol: PROTOCOL_VERSION,
        name: name.into(),
        domain: "a".into(),
        boot: 5,
        proof: Secret::new(SECRET).peer_proof(name, 5).into(),
    };
    let frame = encode(&hello);
    ws.send(Message::Binary(frame.into())).await.unwrap();
    ws
}

fn deep() -> Value {
    (0..DEPTH).fold(Value::Null, |value, _| Value::Array(vec![value]))
}

/// What stands in the place of a field or item.
fn odd_values() -> Vec<(&'static str, Value)> {
    vec![
        ("null", Value::Null),
        ("bool", Value::Bool(true)),
        ("negative", Value::from(-1)),
        ("out of range", Value::from(u64::MAX)),
        ("not a number", Value::Float(f64::NAN)),
        ("bytes", Value::Bytes(vec![0xff, 0])),
        ("text that is no JSON", Value::Text("{\"".into())),
        ("long name", Value::Text("n".repeat(LONG_NAME_BYTES))),
        ("empty list", Value::Array(Vec::new())),
        ("nested too deep", deep()),
    ]
}

/// Number of values within a value, itself not counted.
fn count_fields(value: &Value) -> usize {
    match value {
        Value::Array(items) => items.iter().map(|v| 1 + count_fields(v)).sum(),
        Value::Map(entries) => entries.iter().map(|(_, v)| 1 + count_fields(v)).sum(),
        _ => 0,
    }
}

/// Replaces the field or item at an index in depth-first order.
fn replace_field(value: &mut Value, index: &mut usize, odd: &Value) {
    let fields: Vec<&mut Value> = match value {
        Value::Array(items) => items.iter_mut().collect(),
        Value::Map(entries) => entries.iter_mut().map(|(_, field)| field).collect(),
        _ => return,
    };
    for field in fields {
        if *index == 0 {
            *field = odd.clone();
        }
        *index = index.wrapping_sub(1);
        replace_field(field, index, odd);
    }
}

fn to_bytes(value: &Value) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).unwrap();
    bytes
}

/// Each sample with each field and item replaced by each odd value, and unknown kinds.
fn odd_frames() -> Vec<(String, Vec<u8>)> {
    let mut frames = Vec::new();
    for (name, odd) in odd_values() {
        for (sample, message) in samples::samples() {
            let value: Value = ciborium::from_reader(&*encode(&message)).unwrap();
            for index in 0..count_fields(&value) {
                let mut odd_message = value.clone();
                replace_field(&mut odd_message, &mut index.clone(), &odd);
                frames.push((
                    format!("{sample}, field {index}: {name}"),
                    to_bytes(&odd_message),
                ));
            }
        }
        let unknown = Value::Map(vec![(Value::Text("future".into()), odd)]);
        frames.push((format!("unknown kind: {name}"), to_bytes(&unknown)));
    }
    let long_kind = Value::Text("k".repeat(LONG_NAME_BYTES));
    frames.push(("long kind".to_owned(), to_bytes(&long_kind)));
    frames
}

/// Guards against a message that ends its link each time that it is sent.
#[test]
fn decode_takes_no_well_formed_message_for_a_malformed_frame() {
    let (mut read, mut not_understood) = (0, 0);
    for (name, frame) in odd_frames() {
        match decode(&frame) {
            Ok(_) => read += 1,
            Err(CodecError::NotUnderstood { kind, .. }) => {
                assert!(kind.len() <= MAX_KIND_BYTES, "{name}: {}", kind.len());
                not_understood += 1;
            }
            Err(err @ CodecError::Malformed(_)) => panic!("{name}: {err}"),
        }
    }
    assert!(
        read > 100 && not_understood > 100,
        "{read} {not_understood}"
    );
}

/// Guards against an item that costs the link or the messages behind it.
#[test]
fn mesh_link_outlives_each_message_that_it_cannot_read() {
    with_executor(async |ex| {
        let node = start(&ex, "a1", Vec::new());
        let mut peer = raw_peer("c1", node.addr).await;
        wait_until("linked", || node.mesh.live().len() == 1).await;
        let mut frames = odd_frames();
        frames.retain(|(_, frame)| decode(frame).is_err());
        let unreadable = u64::try_from(frames.len()).unwrap();
        for batch in frames.chunks(BATCH) {
            node.inbox.0.lock().unwrap().clear();
            let name = &batch[0].0;
            for (_, frame) in batch {
                let sent = peer.send(Message::Binary(frame.clone().into())).await;
                assert!(sent.is_ok(), "closed after: {name}");
            }
            let next = encode(&PeerMessage::WantCatalog);
            peer.send(Message::Binary(next.into())).await.unwrap();
            wait_until(name, || node.inbox.has(&PeerMessage::WantCatalog)).await;
        }
        let counters = node.mesh.link_counters();
        assert_eq!(
            (counters.unreadable(), counters.not_understood()),
            (0, unreadable)
        );
        assert_eq!(node.mesh.live().len(), 1);
    });
}

/// Guards against a link that is closed, dialled and closed again by a message that no receiver takes.
#[test]
fn mesh_message_that_is_too_large_is_not_sent_and_the_link_stays() {
    with_executor(async |ex| {
        let first = start(&ex, "a1", Vec::new());
        let second = start(&ex, "a2", vec![first.addr]);
        let linked = || first.mesh.live().len() == 1 && second.mesh.live().len() == 1;
        wait_until("linked", linked).await;
        let object = |name: &str, bytes| PeerObject {
            name: Name::from(name),
            spec: "x".repeat(bytes),
        };
        let objects = |object| PeerMessage::Objects {
            kind: 1,
            revision: 7,
            objects: vec![object],
        };
        let too_large = objects(object("large", TOO_LARGE_BYTES));
        first.mesh.broadcast(&too_large);
        let next = objects(object("small", 1));
        assert!(first.mesh.send("a2", next.clone()));
        wait_until("next message", || second.inbox.has(&next)).await;
        first.mesh.multicast(&["a2".into()], &too_large);
        assert!(!first.mesh.send("a2", too_large));
        assert_eq!(first.mesh.link_counters().too_large(), 3);
        assert_eq!(first.mesh.live().len(), 1);
    });
}
