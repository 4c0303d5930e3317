//! Crowds of clients that send bodies, heads and requests within and above the limits of
//! `guavahold-entry` and keep their connections: the entry lives, its memory and its descriptors
//! stay bounded, and ordinary requests are answered.

#[path = "../../platform/tests/caller_crowd/lib.rs"]
mod caller_crowd;

use std::net::SocketAddr;

use caller_crowd::message::{Endpoint, filler};
use caller_crowd::ordinary::OrdinaryRequest;
use caller_crowd::play::*;
use guavahold_rig::{Process, TestCluster};
use serde_json::{Value, json};
use uuid::Uuid;

/// Time limits for messages and idle connections, in milliseconds: no crowd ends by itself during a
/// test.
const TIMEOUT_MS: u64 = 60_000;
/// Callers' connections at once.
const MAX_CONNECTIONS: usize = 64;
/// Largest head that a listener takes, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024 - 1;
/// Size of an ordinary prompt, in bytes.
const ORDINARY_PROMPT_BYTES: usize = 4 * 1024;
/// Header lines of callers' requests.
const CALLER_HEADERS: &str =
    "Authorization: Bearer token-of-salon\r\nContent-Type: application/json\r\n";

/// What a crowd calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Listener {
    /// Chats of callers.
    Callers,
    /// Bookings of callers at a service that answers slowly.
    SlowService,
    /// Reads of callers at the service.
    Reads,
    /// Links of peers.
    Peers,
    /// The operators' port.
    Admin,
}

impl Listener {
    /// Name under which the entry prints the address.
    fn address_name(self) -> &'static str {
        match self {
            Self::Callers | Self::SlowService | Self::Reads => "callers",
            Self::Peers => "peers",
            Self::Admin => "admin",
        }
    }

    /// Method and path of a crowd's requests.
    fn request(self) -> &'static str {
        match self {
            Self::Callers => "POST /v1/chat/completions?",
            Self::SlowService => "POST /services/booking/bookings?",
            Self::Reads => "GET /services/booking/calendar?",
            Self::Peers => "GET /peers?",
            Self::Admin => "GET /metrics?",
        }
    }

    /// The request of an ordinary client.
    fn ordinary(self, address: SocketAddr) -> OrdinaryRequest {
        let (request, headers, body) = match self {
            Self::Callers | Self::SlowService | Self::Reads => {
                let prompt = "x".repeat(ORDINARY_PROMPT_BYTES);
                let body = json!({"model": "router", "max_tokens": 1,
                    "messages": [{"role": "user", "content": prompt}]});
                let request = "POST /v1/chat/completions";
                (request, CALLER_HEADERS, body.to_string())
            }
            Self::Peers => {
                let headers = "Upgrade: websocket\r\nSec-WebSocket-Version: 13\r\n\
                    Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n";
                ("GET /peers", headers, String::new())
            }
            Self::Admin => ("GET /metrics", "", String::new()),
        };
        let (connection, expected) = match self {
            Self::Peers => ("Upgrade", 101),
            _ => ("close", 200),
        };
        let length = body.len();
        OrdinaryRequest {
            address,
            text: format!(
                "{request} HTTP/1.1\r\nHost: h.example\r\nConnection: {connection}\r\n{headers}\
                 Content-Length: {length}\r\n\r\n{body}"
            ),
            expected,
        }
    }
}

/// Limits of an entry; a bound on its memory is set once the program has such a setting.
fn limits() -> Value {
    let mut limits = json!({"body_bytes": MAX_BODY_BYTES, "message_ms": TIMEOUT_MS,
        "idle_ms": TIMEOUT_MS, "connections": MAX_CONNECTIONS});
    let (_, defaults) = Process::run_to_end("guavahold-entry", &["--print-defaults"]).unwrap();
    if defaults.contains("memory_mb") {
        limits["memory_mb"] = MEMORY_MB.into();
    }
    json!({ "limits": limits })
}

/// Starts an entry with an engine and a slow service, and runs a check of one of its listeners.
fn check(listener: Listener, check: impl FnOnce(&Subject)) {
    let cluster = TestCluster::builder()
        .entries(1)
        .engines(1)
        .service_args(&["--write-ms", "60000"])
        .entry_settings(limits())
        .start();
    let cluster = async_io::block_on(cluster);
    let entry = &cluster.entries[0];
    let listeners = ["callers", "peers", "admin"].map(|name| entry.address(name));
    let mut ordinary = vec![Listener::Callers.ordinary(listeners[0])];
    let address = entry.address(listener.address_name());
    if address != listeners[0] {
        ordinary.push(listener.ordinary(address));
    }
    check(&Subject {
        pid: entry.id(),
        listeners: listeners.to_vec(),
        endpoint: Endpoint {
            address,
            request: listener.request(),
            headers: caller_headers,
            body: if listener == Listener::Callers {
                chat_body
            } else {
                filler
            },
        },
        ordinary,
        run_paths: &Vec::new,
    });
}

/// Header lines of a request, with an idempotency key of its own.
fn caller_headers(_: usize) -> String {
    format!("{CALLER_HEADERS}Idempotency-Key: {}\r\n", Uuid::now_v7())
}

/// A chat of so many bytes.
fn chat_body(len: usize) -> Vec<u8> {
    const START: &str =
        r#"{"model": "router", "max_tokens": 1, "messages": [{"role": "user", "content": ""#;
    const END: &str = r#""}]}"#;
    let prompt = "x".repeat(len.saturating_sub(START.len() + END.len()));
    format!("{START}{prompt}{END}").into_bytes()
}

/// Tests of a crowd at a listener, one for each kind of message.
macro_rules! crowd_tests {
    ($($name:ident: $listener:ident, $play:expr;)*) => {
        $(#[test]
        fn $name() {
            check(Listener::$listener, |subject| subject.check($play));
        })*
    };
}

crowd_tests! {
    entry_callers_bodies_short_of_their_end_stay_within_memory: Callers, SIZED_BODIES_SHORT;
    entry_callers_whole_bodies_at_a_slow_service_stay_within_memory: SlowService, SIZED_BODIES_WHOLE;
    entry_callers_chunked_bodies_without_end_stay_within_memory: Callers, CHUNKED_BODIES_SHORT;
    entry_callers_chunks_short_of_their_end_stay_within_memory: Callers, CHUNKS_SHORT;
    entry_callers_chunks_of_one_byte_stay_within_memory: Callers, BYTE_CHUNKS_SHORT;
    entry_callers_bodies_announced_above_the_limit_are_closed: Callers, LONG_BODIES_ANNOUNCED;
    entry_callers_bodies_sent_above_the_limit_are_closed: Callers, LONG_BODIES_SENT;
    entry_callers_endless_chunks_are_closed: Callers, LONG_CHUNKS_SENT;
    entry_callers_heads_short_of_their_end_stay_within_memory: Callers, heads_short(MAX_HEAD_BYTES - 2);
    entry_callers_idle_connections_stay_within_descriptors: Callers, IDLE_CONNECTIONS;
    entry_callers_first_bytes_stay_within_descriptors: Callers, FIRST_BYTES;
    entry_callers_pipelined_requests_stay_within_memory: Callers, PIPELINED_REQUESTS;
    entry_callers_unread_responses_stay_within_memory: Callers, UNREAD_RESPONSES;
    entry_callers_returning_bodies_stay_within_memory: Callers, RETURNING_CLIENTS;
    entry_callers_slow_bodies_stay_within_memory: Callers, SLOW_BODIES;
    entry_admin_bodies_short_of_their_end_stay_within_memory: Admin, SIZED_BODIES_SHORT;
    entry_admin_chunked_bodies_without_end_stay_within_memory: Admin, CHUNKED_BODIES_SHORT;
    entry_admin_chunks_short_of_their_end_stay_within_memory: Admin, CHUNKS_SHORT;
    entry_admin_chunks_of_one_byte_stay_within_memory: Admin, BYTE_CHUNKS_SHORT;
    entry_admin_bodies_announced_above_the_limit_are_closed: Admin, LONG_BODIES_ANNOUNCED;
    entry_admin_bodies_sent_above_the_limit_are_closed: Admin, LONG_BODIES_SENT;
    entry_admin_endless_chunks_are_closed: Admin, LONG_CHUNKS_SENT;
    entry_admin_heads_short_of_their_end_stay_within_memory: Admin, heads_short(MAX_HEAD_BYTES - 2);
    entry_admin_idle_connections_stay_within_descriptors: Admin, IDLE_CONNECTIONS;
    entry_admin_first_bytes_stay_within_descriptors: Admin, FIRST_BYTES;
    entry_admin_pipelined_requests_stay_within_memory: Admin, PIPELINED_REQUESTS;
    entry_admin_unread_responses_stay_within_memory: Admin, UNREAD_RESPONSES;
    entry_admin_returning_bodies_stay_within_memory: Admin, RETURNING_CLIENTS;
    entry_admin_slow_bodies_stay_within_memory: Admin, SLOW_BODIES;
    entry_peers_bodies_short_of_their_end_stay_within_memory: Peers, SIZED_BODIES_SHORT;
    entry_peers_chunked_bodies_without_end_stay_within_memory: Peers, CHUNKED_BODIES_SHORT;
    entry_peers_heads_short_of_their_end_stay_within_memory: Peers, heads_short(2 * MAX_HEAD_BYTES);
    entry_peers_messages_short_of_their_end_stay_within_memory: Peers, PEER_MESSAGES_SHORT;
    entry_peers_idle_connections_stay_within_descriptors: Peers, IDLE_CONNECTIONS;
    entry_peers_first_bytes_stay_within_descriptors: Peers, FIRST_BYTES;
    entry_peers_pipelined_requests_stay_within_memory: Peers, PIPELINED_REQUESTS;
    entry_peers_returning_bodies_stay_within_memory: Peers, RETURNING_CLIENTS;
}

#[test]
fn entry_largest_body_alone_is_served() {
    check(Listener::Reads, |subject| {
        subject.check_served_alone(SIZED_BODIES_WHOLE);
    });
}

#[test]
fn entry_largest_chunked_body_alone_is_served() {
    check(Listener::Reads, |subject| {
        subject.check_served_alone(CHUNKED_BODIES_WHOLE);
    });
}

#[test]
fn entry_body_above_the_limit_alone_is_answered_with_413() {
    check(Listener::Callers, |subject| {
        subject.check_too_large(LONG_BODIES_ANNOUNCED);
        subject.check_too_large(LONG_BODIES_SENT);
        subject.check_too_large(LONG_CHUNKS_SENT);
    });
}
