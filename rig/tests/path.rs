//! The whole path in separate processes on loopback.

use std::time::Duration;

use futures_lite::FutureExt;
use guavahold::catalog::TokenHash;
use guavahold::platform::Role;
use guavahold_rig::client::{Call, Streamed};
use guavahold_rig::fleet::{await_ok, await_that};
use guavahold_rig::{Fleet, Process};
use http_types::Method;
use serde_json::json;
use uuid::Uuid;

/// Token of the customer `salon`.
const TOKEN: &str = "token-of-salon";

fn note(revision: u64) -> String {
    let token = TokenHash::of(TOKEN).to_string();
    json!({
        "revision": revision,
        "by": "night shift",
        "added": {
            "customers": {"salon": {"share": 1, "tokens": [token]}},
            "policies": {
                "chat": {"class": "standard", "first_token_ms": 10_000},
                "read": {"class": "interactive", "first_token_ms": 5_000},
                "book": {"class": "standard", "first_token_ms": 5_000, "idempotent": false},
            },
            "models": {"router": {"weights": "w1", "policy": "chat"}},
            "services": {"booking": {"routes": [
                {"method": "GET", "path": "/", "policy": "read"},
                {"method": "POST", "path": "/bookings", "policy": "book"},
            ]}},
        },
    })
    .to_string()
}

fn within<T>(f: impl Future<Output = T>) -> T {
    let late = async {
        async_io::Timer::after(Duration::from_secs(100)).await;
        panic!("the test did not end in time")
    };
    async_io::block_on(f.or(late))
}

struct Path {
    fleet: Fleet,
    entries: Vec<Process>,
    engines: Vec<Process>,
    _store: Process,
    service: Process,
}

impl Path {
    async fn start() -> Self {
        let fleet = Fleet::start().unwrap();
        let store = fleet.store("store-1", "a", &json!({})).unwrap();
        let more = ["--token-ms", "10", "--cache-blocks", "4"];
        let engines = vec![
            fleet.engine("engine-1", "router", "w1", &more).unwrap(),
            fleet.engine("engine-2", "router", "w1", &more).unwrap(),
        ];
        let service = fleet.service("booking", &[]).unwrap();
        let entries = vec![
            fleet.entry("entry-1", "a", &json!({})).unwrap(),
            fleet.entry("entry-2", "b", &json!({})).unwrap(),
        ];
        for (n, entry) in entries.iter().enumerate() {
            let (name, domain) = (format!("entry-{}", n + 1), ["a", "b"][n]);
            let address = entry.address("peers");
            fleet.list(&name, Role::Entry, domain, address, "").await;
        }
        for (n, engine) in engines.iter().enumerate() {
            let (name, domain) = (format!("engine-{}", n + 1), ["a", "b"][n]);
            let address = engine.address("address");
            fleet
                .list(&name, Role::Engine, domain, address, "router")
                .await;
        }
        fleet
            .list("store-1", Role::Store, "a", store.address("blocks"), "")
            .await;
        let address = service.address("address");
        fleet
            .list("booking-1", Role::Service, "a", address, "booking")
            .await;
        Self {
            fleet,
            entries,
            engines,
            _store: store,
            service,
        }
    }

    async fn apply_note(&self) {
        self.fleet.put_note(&note(0)).await;
        for entry in &self.entries {
            await_ok(entry.address("admin"), "/ready").await;
            let callers = entry.address("callers");
            await_that("targets", async || {
                let call = Call::chat(TOKEN, "router", "ready?", 1, false);
                call.send(callers).await.is_ok_and(|a| a.status == 200)
            })
            .await;
        }
    }
}

fn long_prompt(start: &str) -> String {
    let line = format!("{start}: a cut with wash costs thirty-one euros; ");
    line.repeat(5 * 4096 / line.len())
}

#[test]
fn path_whole() {
    within(async {
        let mut path = Path::start().await;
        path.apply_note().await;
        let callers: Vec<_> = path.entries.iter().map(|e| e.address("callers")).collect();

        let plain = Call::chat(TOKEN, "router", "Is Liis free at ten?", 5, false);
        let first = plain.send(callers[0]).await.unwrap();
        assert_eq!(first.status, 200);
        let streamed = Call::chat(TOKEN, "router", "Is Liis free at ten?", 5, true);
        let second = streamed
            .stream(callers[1])
            .await
            .unwrap()
            .rest()
            .await
            .unwrap();
        assert!(second.done);
        assert_eq!(second.text.trim_end(), first.text());

        let key = Uuid::now_v7();
        let booking = Call::new(Method::Post, "/services/booking/bookings")
            .token(TOKEN)
            .key(&key)
            .body(r#"{"chair": 1}"#);
        let booked = booking.send(callers[0]).await.unwrap();
        assert_eq!(
            booked.status,
            200,
            "{}",
            String::from_utf8_lossy(&booked.body)
        );
        let again = booking.send(callers[1]).await.unwrap();
        assert_eq!(again.body, booked.body);
        let runs = Call::new(Method::Get, "/runs")
            .send(path.service.address("admin"))
            .await;
        assert_eq!(runs.unwrap().json()["by_key"][key.to_string()], 1);

        returns_from_store(&path).await;
        stops_in_mid_stream(&mut path).await;
    });
}

/// A prompt comes back after the engines forgot it: its blocks come from the store.
async fn returns_from_store(path: &Path) {
    let callers = path.entries[0].address("callers");
    let prompt = Call::chat(TOKEN, "router", &long_prompt("salon"), 3, false);
    let first = prompt.send(callers).await.unwrap();
    for engine in &path.engines {
        let clear = Call::new(Method::Post, "/clear");
        clear.send(engine.address("admin")).await.unwrap();
    }
    await_that("a return from the store", async || {
        let again = prompt.send(callers).await.unwrap();
        assert_eq!(again.text(), first.text());
        again.json()["usage"]["prompt_tokens_details"]["cached_tokens"]
            .as_u64()
            .is_some_and(|n| n >= 4 * 1024)
    })
    .await;
}

/// An entry that gets SIGTERM in mid-stream finishes the stream and exits with 0.
async fn stops_in_mid_stream(path: &mut Path) {
    let callers = path.entries[0].address("callers");
    let call = Call::chat(TOKEN, "router", "Tell me everything.", 200, true);
    let mut events = call.stream(callers).await.unwrap();
    let mut streamed = Streamed::default();
    for _ in 0..3 {
        streamed.take(events.next().await.unwrap().unwrap());
    }
    path.entries[0].terminate();
    while let Some(event) = events.next().await.unwrap() {
        streamed.take(event);
    }
    assert!(streamed.done);
    assert_eq!(streamed.events, 202);
    assert!(path.entries[0].wait().unwrap().success());
    let other = path.entries[1].address("callers");
    let plain = Call::chat(TOKEN, "router", "Still there?", 2, false);
    assert_eq!(plain.send(other).await.unwrap().status, 200);
}
