//! Stand-ins follow the protocols of the systems that they replace.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::{FutureExt, StreamExt};
use guavahold::http::{ClientResponse, EventParser, ExchangeError, Pool};
use guavahold::platform::{
    Object, Platform, PlatformError, RemotePlatform, Version, WatchEvent, WatchTiming,
};
use guavahold_rig::engine::response_words;
use guavahold_rig::relay::RelayState;
use guavahold_rig::{
    Engine, EngineSettings, Faults, PlatformSettings, PlatformStandIn, Relay, ServiceSettings,
    ServiceStandIn, StandIn, StandInServer,
};
use http_types::{Method, Request, Url};
use serde_json::{Value, json};

const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
/// Timeout of opening a connection and of a call to the platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Time without an event or a bookmark after which a watch has failed.
const MAX_SILENCE: Duration = Duration::from_secs(15);

/// Serves `stand_in` while `test` runs against its address.
fn with_served<T: StandIn, F: Future<Output = ()>>(
    stand_in: T,
    test: impl FnOnce(SocketAddr, Arc<T>) -> F,
) {
    let server = StandInServer::bind(stand_in, ANY_PORT).unwrap();
    let test = test(server.address(), server.stand_in());
    async_io::block_on(test.or(async {
        server.run().await.unwrap();
        std::future::pending::<()>().await;
    }));
}

fn request(method: Method, addr: SocketAddr, path: &str, body: &Value) -> Request {
    let url = Url::parse(&format!("http://{addr}{path}")).unwrap();
    let mut req = Request::new(method, url);
    if !body.is_null() {
        req.set_body(body.to_string());
    }
    req
}

fn chat(addr: SocketAddr, id: &str, body: &Value) -> Request {
    let mut req = request(Method::Post, addr, "/v1/chat/completions", body);
    req.insert_header("x-request-id", id);
    req.insert_header("guavahold-weights", "w1");
    req
}

fn prompt(text: &str, stream: bool) -> Value {
    json!({"messages": [{"role": "user", "content": text}], "max_tokens": 4, "stream": stream})
}

fn fast_engine_settings() -> EngineSettings {
    EngineSettings::new("engine-1", "m", "w1").with_speed(2, 1_000_000, Duration::from_millis(5))
}

async fn send(addr: SocketAddr, req: Request) -> Result<ClientResponse, ExchangeError> {
    Pool::new(CALL_TIMEOUT)
        .send_on_new_connection(addr, req)
        .await
}

/// Returns the data of all events and whether the body ended cleanly.
async fn read_events(mut response: ClientResponse) -> (Vec<String>, bool) {
    let (mut parser, mut out, mut buf) = (EventParser::default(), Vec::new(), [0; 4096]);
    let clean = loop {
        match response.read(&mut buf).await {
            Ok(0) => break true,
            Ok(n) => parser.feed(&buf[..n], &mut out),
            Err(_) => break false,
        }
    };
    (out.into_iter().map(|e| e.data).collect(), clean)
}

fn text_of(events: &[String]) -> String {
    let words = events.iter().map(|e| {
        let event: Value = serde_json::from_str(e).unwrap_or_default();
        let word = event["choices"][0]["delta"]["content"].as_str();
        word.unwrap_or_default().to_owned()
    });
    words.collect()
}

#[test]
fn engine_responds_plain_and_streamed() {
    with_served(Engine::new(fast_engine_settings()), |addr, _| async move {
        let expected = response_words("w1", "user\nhello\n", 4).concat();
        let mut response = send(addr, chat(addr, "r1", &prompt("hello", false)))
            .await
            .unwrap();
        assert_eq!(response.header("x-request-id"), Some("r1"));
        assert_eq!(response.header("guavahold-weights"), Some("w1"));
        let body: Value = serde_json::from_slice(&response.bytes(65536).await.unwrap()).unwrap();
        let text = body["choices"][0]["message"]["content"].as_str().unwrap();
        assert_eq!(text, expected.trim_end());
        let response = send(addr, chat(addr, "r2", &prompt("hello", true)))
            .await
            .unwrap();
        let (events, clean) = read_events(response).await;
        assert!(clean);
        assert_eq!(events.last().unwrap(), "[DONE]");
        assert_eq!(text_of(&events), expected);
    });
}

#[test]
fn engine_resumes_run_after_cut_connection() {
    with_served(
        Engine::new(fast_engine_settings()),
        |addr, stand_in| async move {
            let faults = Faults {
                close_after: Some(300),
                next: Some(1),
                ..Faults::default()
            };
            stand_in.faults().set(faults);
            let response = send(addr, chat(addr, "r1", &prompt("hello", true)))
                .await
                .unwrap();
            let (_, clean) = read_events(response).await;
            assert!(!clean);
            let req = request(Method::Get, addr, "/v1/runs/r1?from=1", &Value::Null);
            let (events, clean) = read_events(send(addr, req).await.unwrap()).await;
            assert!(clean);
            let expected = response_words("w1", "user\nhello\n", 4)[1..].concat();
            assert_eq!(text_of(&events), expected);
            assert_eq!(stand_in.stats().runs, 1);
        },
    );
}

#[test]
fn engine_reuses_cached_blocks() {
    with_served(
        Engine::new(fast_engine_settings()),
        |addr, stand_in| async move {
            let text = "x".repeat(5000);
            let key = blake3::hash(b"block").to_hex().to_string();
            let mut body = prompt(&text, false);
            body["kv"] = json!({"block_tokens": 1024, "keys": [key]});
            for cached in [0, 1024] {
                let mut response = send(addr, chat(addr, "r", &body)).await.unwrap();
                let body: Value =
                    serde_json::from_slice(&response.bytes(65536).await.unwrap()).unwrap();
                let reported = &body["usage"]["prompt_tokens_details"]["cached_tokens"];
                assert_eq!(reported, &json!(cached));
            }
            assert_eq!(stand_in.stats().runs, 2);
        },
    );
}

#[test]
fn engine_refuses_order_with_stale_fencing_token() {
    with_served(
        Engine::new(fast_engine_settings()),
        |addr, stand_in| async move {
            let order = |fencing| {
                let order = json!({"do": "load", "weights": "w2"});
                let body = json!({"fencing": fencing, "issuer": "e", "order": order});
                request(Method::Post, addr, "/orders", &body)
            };
            let status = send(addr, order(2)).await.unwrap().res.status();
            assert_eq!(u16::from(status), 200);
            let status = send(addr, order(1)).await.unwrap().res.status();
            assert_eq!(u16::from(status), 412);
            assert_eq!(stand_in.stats().stale_orders, 1);
        },
    );
}

#[test]
fn engine_crashes_on_fault_text() {
    let server = StandInServer::bind(Engine::new(fast_engine_settings()), ANY_PORT).unwrap();
    let (addr, stand_in) = (server.address(), server.stand_in());
    let faults = Faults {
        crash_on: Some("poison".into()),
        ..Faults::default()
    };
    stand_in.faults().set(faults);
    let client = std::thread::spawn(move || {
        let sent = async_io::block_on(send(addr, chat(addr, "r", &prompt("poison", false))));
        assert!(sent.is_err());
    });
    async_io::block_on(server.run()).unwrap();
    client.join().unwrap();
    assert!(std::net::TcpStream::connect(addr).is_err());
}

#[test]
fn platform_refuses_old_versions_and_notifies_watches() {
    let stand_in = PlatformStandIn::new(&PlatformSettings { history: 2 });
    with_served(stand_in, |addr, stand_in| async move {
        let platform = RemotePlatform::new(vec![addr], CALL_TIMEOUT);
        let created = platform
            .create(Object::new("vms", "a", json!(1)))
            .await
            .unwrap();
        let duplicate = platform.create(Object::new("vms", "a", json!(1))).await;
        assert_eq!(duplicate, Err(PlatformError::Conflict));
        let mut watch = platform
            .watch(
                "vms",
                None,
                created.version.clone(),
                WatchTiming::waiting(MAX_SILENCE),
            )
            .await
            .unwrap();
        let put = Object {
            spec: json!(2),
            ..created.clone()
        };
        let second = platform.update(put.clone()).await.unwrap();
        assert_eq!(platform.update(put).await, Err(PlatformError::Conflict));
        let event = loop {
            match watch.next().await.unwrap().unwrap() {
                WatchEvent::Bookmark(_) => {}
                other => break other,
            }
        };
        assert_eq!(event, WatchEvent::Put(second.clone()));
        platform.delete("vms", "a", second.version).await.unwrap();
        assert_eq!(platform.get("vms", "a").await, Ok(None));
        platform
            .create(Object::new("vms", "b", json!(1)))
            .await
            .unwrap();
        // The history of two changes no longer holds version 2, which follows version 1.
        let old = platform
            .watch(
                "vms",
                None,
                Version("1".into()),
                WatchTiming::waiting(MAX_SILENCE),
            )
            .await;
        assert_eq!(old.err(), Some(PlatformError::Expired));
        assert_eq!(stand_in.calls()["vms update"], 2);
    });
}

#[test]
fn platform_applies_write_whose_response_is_lost() {
    let stand_in = PlatformStandIn::new(&PlatformSettings::default());
    with_served(stand_in, |addr, stand_in| async move {
        let platform = RemotePlatform::new(vec![addr], CALL_TIMEOUT);
        let faults = Faults {
            drop_answer: true,
            next: Some(1),
            ..Faults::default()
        };
        stand_in.faults().set(faults);
        let lost = platform.create(Object::new("vms", "a", json!(1))).await;
        assert!(lost.is_err_and(|e| e.may_have_written()));
        assert!(platform.get("vms", "a").await.unwrap().is_some());
    });
}

#[test]
fn service_counts_runs_by_key_and_body() {
    with_served(
        ServiceStandIn::new(ServiceSettings::new("s")),
        |addr, stand_in| async move {
            for _ in 0..2 {
                let mut req = request(Method::Post, addr, "/bookings", &json!({"chair": 1}));
                req.insert_header("idempotency-key", "k1");
                send(addr, req).await.unwrap();
            }
            let counts = stand_in.counts();
            assert_eq!(counts.by_key["k1"], 2);
            assert_eq!(counts.by_body["{\"chair\":1}"], 2);
        },
    );
}

#[test]
fn relay_silences_open_connections_only() {
    with_served(
        ServiceStandIn::new(ServiceSettings::new("s")),
        |addr, _| async move {
            let server = Relay::bind(ANY_PORT, addr).unwrap();
            let (relay_address, stand_in) = (server.stand_in().listen_address(), server.stand_in());
            let test = async move {
                let pool = Pool::new(CALL_TIMEOUT);
                let get = || request(Method::Get, relay_address, "/load", &Value::Null);
                pool.fetch(relay_address, get(), 65536).await.unwrap();
                stand_in.set_state(RelayState {
                    silence_open: true,
                    ..RelayState::default()
                });
                let old = async { pool.fetch(relay_address, get(), 65536).await.is_ok() };
                let timeout = async {
                    async_io::Timer::after(Duration::from_millis(200)).await;
                    false
                };
                assert!(!old.or(timeout).await);
                assert!(
                    pool.send_on_new_connection(relay_address, get())
                        .await
                        .is_ok()
                );
                stand_in.set_state(RelayState {
                    cut: true,
                    ..RelayState::default()
                });
                assert!(
                    pool.send_on_new_connection(relay_address, get())
                        .await
                        .is_err()
                );
            };
            test.or(async {
                server.run().await.unwrap();
                std::future::pending::<()>().await;
            })
            .await;
        },
    );
}
