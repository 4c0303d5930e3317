//! Cluster of entries, engines and a plain service for tests, as separate processes.

use std::net::SocketAddr;

use guavahold::catalog::TokenHash;
use guavahold::platform::Role;
use http_types::Method;
use serde_json::{Value, json};
use uuid::Uuid;

use crate::client::{Call, FullResponse};
use crate::fleet::{wait_until, wait_until_ok};
use crate::{Fleet, Process};

/// Bearer token of the customer `salon`.
pub const SALON: &str = "token-of-salon";
/// Bearer token of the customer `roofer`.
pub const ROOFER: &str = "token-of-roofer";
/// Failure domains, assigned to entries and to engines in turn.
const FAILURE_DOMAINS: [&str; 4] = ["a", "b", "c", "d"];

/// Builder of a [`TestCluster`]; the default has two entries and two engines.
#[derive(Clone, Debug)]
pub struct TestClusterBuilder {
    entries: usize,
    engines: usize,
    engine_args: Vec<String>,
    service_args: Vec<String>,
    entry_settings: Value,
}

impl Default for TestClusterBuilder {
    fn default() -> Self {
        Self {
            entries: 2,
            engines: 2,
            engine_args: Vec::new(),
            service_args: Vec::new(),
            entry_settings: json!({}),
        }
    }
}

impl TestClusterBuilder {
    /// Sets the number of entries.
    #[must_use]
    pub fn entries(mut self, entries: usize) -> Self {
        self.entries = entries;
        self
    }

    /// Sets the number of engines.
    #[must_use]
    pub fn engines(mut self, engines: usize) -> Self {
        self.engines = engines;
        self
    }

    /// Adds command-line arguments of every engine.
    #[must_use]
    pub fn engine_args(mut self, args: &[&str]) -> Self {
        self.engine_args
            .extend(args.iter().map(|a| (*a).to_owned()));
        self
    }

    /// Adds command-line arguments of the plain service.
    #[must_use]
    pub fn service_args(mut self, args: &[&str]) -> Self {
        self.service_args
            .extend(args.iter().map(|a| (*a).to_owned()));
        self
    }

    /// Sets the settings that override the defaults of every entry.
    #[must_use]
    pub fn entry_settings(mut self, settings: Value) -> Self {
        self.entry_settings = settings;
        self
    }

    /// Starts all processes and waits until every entry serves requests.
    ///
    /// # Panics
    /// When a process cannot be started or an entry does not serve in time.
    pub async fn start(self) -> TestCluster {
        let fleet = Fleet::start().expect("the platform starts");
        let mut cluster = TestCluster {
            fleet,
            entries: Vec::new(),
            engines: Vec::new(),
            service: None,
        };
        for _ in 0..self.engines {
            cluster.add_engine("w1", &self.engine_args).await;
        }
        cluster.add_service(&self.service_args).await;
        for _ in 0..self.entries {
            cluster.add_entry(&self.entry_settings).await;
        }
        cluster.fleet.put_release_note(&initial_note()).await;
        for n in 0..self.entries {
            cluster.wait_in_service(n).await;
        }
        cluster
    }
}

/// Running entries, engines and a plain service.
pub struct TestCluster {
    /// Platform and working directory.
    pub fleet: Fleet,
    /// Entries, named `entry-1`, `entry-2`, ….
    pub entries: Vec<Process>,
    /// Engines of the model `router`, named `engine-1`, `engine-2`, ….
    pub engines: Vec<Process>,
    /// Process of the plain service `booking`.
    pub service: Option<Process>,
}

impl TestCluster {
    /// Creates a builder with the default sizes.
    #[must_use]
    pub fn builder() -> TestClusterBuilder {
        TestClusterBuilder::default()
    }

    /// Address for callers of an entry.
    #[must_use]
    pub fn callers_address(&self, entry: usize) -> SocketAddr {
        self.entries[entry].address("callers")
    }

    /// Admin address of an entry.
    #[must_use]
    pub fn admin_address(&self, entry: usize) -> SocketAddr {
        self.entries[entry].address("admin")
    }

    /// Starts another entry.
    ///
    /// # Panics
    /// When it cannot be started.
    pub async fn add_entry(&mut self, settings: &Value) {
        let n = self.entries.len();
        let (name, domain) = (
            format!("entry-{}", n + 1),
            FAILURE_DOMAINS[n % FAILURE_DOMAINS.len()],
        );
        let entry = self
            .fleet
            .start_entry(&name, domain, settings)
            .expect("an entry starts");
        let address = entry.address("peers");
        self.fleet
            .list_vm(&name, Role::Entry, domain, address, "")
            .await;
        self.entries.push(entry);
    }

    /// Starts another engine of the model `router`.
    ///
    /// # Panics
    /// When it cannot be started.
    pub async fn add_engine(&mut self, weights: &str, args: &[String]) {
        let n = self.engines.len();
        let (name, domain) = (
            format!("engine-{}", n + 1),
            FAILURE_DOMAINS[n % FAILURE_DOMAINS.len()],
        );
        let args: Vec<&str> = args.iter().map(String::as_str).collect();
        let engine = self.fleet.start_engine(&name, "router", weights, &args);
        let engine = engine.expect("an engine starts");
        let address = engine.address("address");
        self.fleet
            .list_vm(&name, Role::Engine, domain, address, "router")
            .await;
        self.engines.push(engine);
    }

    async fn add_service(&mut self, args: &[String]) {
        let args: Vec<&str> = args.iter().map(String::as_str).collect();
        let service = self
            .fleet
            .start_service("booking", &args)
            .expect("a service starts");
        let address = service.address("address");
        self.fleet
            .list_vm("booking-1", Role::Service, "a", address, "booking")
            .await;
        self.service = Some(service);
    }

    /// Waits until an entry is ready and chats and service requests through it succeed.
    ///
    /// # Panics
    /// When that takes too long.
    pub async fn wait_in_service(&self, entry: usize) {
        wait_until_ok(self.admin_address(entry), "/ready").await;
        let callers = self.callers_address(entry);
        wait_until("targets in service", async || {
            let chat = Call::chat(SALON, "router", "ready?", 1, false);
            let read = Call::new(Method::Get, "/services/booking/calendar").bearer_token(SALON);
            let chat = chat.send(callers).await.is_ok_and(|r| r.status == 200);
            chat && read.send(callers).await.is_ok_and(|r| r.status == 200)
        })
        .await;
    }

    /// Creates a booking request of the customer `salon`.
    #[must_use]
    pub fn booking(key: &Uuid, body: &str) -> Call {
        Call::new(Method::Post, "/services/booking/bookings")
            .bearer_token(SALON)
            .idempotency_key(key)
            .body(body)
    }

    /// Number of times the service ran a booking, by its idempotency key.
    ///
    /// # Panics
    /// When the service does not respond.
    pub async fn run_count(&self, key: &Uuid) -> u64 {
        let service = self.service.as_ref().expect("the cluster has a service");
        let counts = Call::new(Method::Get, "/runs")
            .send(service.address("admin"))
            .await;
        let counts = counts.expect("the service responds").json();
        counts["by_key"][key.to_string()].as_u64().unwrap_or(0)
    }

    /// Retries a booking until the response is final: neither `in progress` nor
    /// `claim unavailable`.
    ///
    /// # Panics
    /// When that takes too long.
    pub async fn wait_for_outcome(&self, entry: usize, booking: &Call) -> FullResponse {
        let callers = self.callers_address(entry);
        for _ in 0..200 {
            if let Ok(response) = booking.send(callers).await
                && response.json()["title"] != "in progress"
                && response.json()["title"] != "claim unavailable"
            {
                return response;
            }
            async_io::Timer::after(std::time::Duration::from_millis(100)).await;
        }
        panic!("the booking got no final response");
    }
}

/// Release note that declares the customers, policies, model and service of a cluster.
#[must_use]
pub fn initial_note() -> String {
    let hash = |token: &str| TokenHash::of(token).to_string();
    json!({
        "revision": 0,
        "by": "night shift",
        "added": {
            "customers": {
                "salon": {"share": 1, "tokens": [hash(SALON)]},
                "roofer": {"share": 1, "tokens": [hash(ROOFER)]},
            },
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
