//! Failure domain that is partitioned from the platform and from the other failure domain.
//!
//! Guards against bookings that run without a claim during the partition, an isolated domain that
//! stops serving what needs no platform, and a catalog revision that goes backwards.

use std::time::Duration;

use async_io::Timer;
use guavahold::catalog::{EntryRevision, TokenHash};
use guavahold::platform::Role;
use guavahold_rig::client::Call;
use guavahold_rig::fleet::{run_with_timeout, wait_until, wait_until_ok};
use guavahold_rig::test_cluster::{SALON, initial_note};
use guavahold_rig::{Fleet, Process, TestCluster};
use http_types::Method;
use serde_json::json;
use uuid::Uuid;

/// Two failure domains with one entry and one engine each.
///
/// All links of the entries to the platform and to each other pass through relays.
struct PartitionedCluster {
    fleet: Fleet,
    /// For each domain, the relay to the platform and the relay to the peer port of its entry.
    relays: Vec<Process>,
    entries: Vec<Process>,
    _engines: Vec<Process>,
    service: Process,
}

fn start_relay(to: std::net::SocketAddr) -> Process {
    Process::start("guavahold-rig", &["relay", "--to", &to.to_string()]).unwrap()
}

impl PartitionedCluster {
    async fn start() -> Self {
        let fleet = Fleet::start().unwrap();
        let service = fleet.start_service("booking", &[]).unwrap();
        let address = service.address("address");
        fleet
            .list_vm("booking-1", Role::Service, "a", address, "booking")
            .await;
        let (mut relays, mut entries, mut engines) = (Vec::new(), Vec::new(), Vec::new());
        for domain in ["a", "b"] {
            let (name, engine) = (format!("entry-{domain}"), format!("engine-{domain}"));
            let platform = start_relay(fleet.platform_address());
            let overrides = json!({"platform": [platform.address("address").to_string()]});
            let entry = fleet.start_entry(&name, domain, &overrides).unwrap();
            let peers = start_relay(entry.address("peers"));
            fleet
                .list_vm(&name, Role::Entry, domain, peers.address("address"), "")
                .await;
            let process = fleet.start_engine(&engine, "router", "w1", &[]).unwrap();
            let address = process.address("address");
            fleet
                .list_vm(&engine, Role::Engine, domain, address, "router")
                .await;
            relays.extend([platform, peers]);
            entries.push(entry);
            engines.push(process);
        }
        fleet.put_release_note(&initial_note()).await;
        let cluster = Self {
            fleet,
            relays,
            entries,
            _engines: engines,
            service,
        };
        for entry in &cluster.entries {
            wait_until_ok(entry.address("admin"), "/ready").await;
            cluster.wait_until_chat_succeeds(entry, SALON).await;
        }
        cluster
    }

    async fn wait_until_chat_succeeds(&self, entry: &Process, token: &str) {
        wait_until("a chat to succeed", async || {
            let call = Call::chat(token, "router", "hello", 2, false);
            call.send(entry.address("callers"))
                .await
                .is_ok_and(|r| r.status == 200)
        })
        .await;
    }

    /// Partitions domain `a` from the platform and both domains from each other, or heals it.
    async fn set_partitioned(&self, partitioned: bool) {
        for relay in [&self.relays[0], &self.relays[1], &self.relays[3]] {
            let state =
                Call::new(Method::Post, "/state").body(json!({"cut": partitioned}).to_string());
            assert_eq!(
                state.send(relay.address("admin")).await.unwrap().status,
                200
            );
        }
    }

    async fn revision(&self, entry: usize) -> u64 {
        let call = Call::new(Method::Get, "/in-force");
        let response = call
            .send(self.entries[entry].address("admin"))
            .await
            .unwrap();
        let all: Vec<EntryRevision> = serde_json::from_slice(&response.body).unwrap();
        let name = ["entry-a", "entry-b"][entry];
        all.iter().find(|f| &*f.entry == name).unwrap().revision
    }

    async fn run_count(&self, key: &Uuid) -> u64 {
        let counts = Call::new(Method::Get, "/runs")
            .send(self.service.address("admin"))
            .await;
        counts.unwrap().json()["by_key"][key.to_string()]
            .as_u64()
            .unwrap_or(0)
    }
}

#[test]
fn isolated_domain_serves_reads_and_refuses_bookings() {
    run_with_timeout(async {
        let cluster = PartitionedCluster::start().await;
        let [a, b] = [0, 1].map(|n| cluster.entries[n].address("callers"));
        cluster.set_partitioned(true).await;
        Timer::after(Duration::from_millis(1_500)).await;

        let token = "token-of-bride";
        let hash = TokenHash::of(token).to_string();
        let note = json!({"revision": 1, "added": {"customers": {"bride": {"tokens": [hash]}}}});
        cluster.fleet.put_release_note(&note.to_string()).await;
        wait_until("the note at the connected domain", async || {
            cluster.revision(1).await == 2
        })
        .await;
        cluster
            .wait_until_chat_succeeds(&cluster.entries[1], token)
            .await;
        assert_eq!(cluster.revision(0).await, 1);

        let chat = Call::chat(SALON, "router", "Is Liis free?", 2, false);
        assert_eq!(chat.send(a).await.unwrap().status, 200);
        let read = Call::new(Method::Get, "/services/booking/calendar").bearer_token(SALON);
        assert_eq!(read.send(a).await.unwrap().status, 200);
        let key = Uuid::now_v7();
        let booking = TestCluster::booking(&key, r#"{"chair": 1}"#);
        let refused = booking.send(a).await.unwrap();
        assert_eq!(
            (refused.status, refused.run_state.as_deref()),
            (503, Some("not-run"))
        );
        assert!(refused.retry_after.is_some());
        assert_eq!(cluster.run_count(&key).await, 0);
        let other_domain = booking.send(b).await.unwrap();
        assert_eq!(other_domain.status, 200, "{:?}", other_domain.json());

        cluster.set_partitioned(false).await;
        wait_until("the note at the healed domain", async || {
            let revision = cluster.revision(0).await;
            assert!(revision >= 1, "the catalog revision went backwards");
            revision == 2
        })
        .await;
        cluster
            .wait_until_chat_succeeds(&cluster.entries[0], token)
            .await;
        wait_until("the booking's outcome at the healed domain", async || {
            booking
                .send(a)
                .await
                .is_ok_and(|again| again.body == other_domain.body)
        })
        .await;
        assert_eq!(cluster.run_count(&key).await, 1);
    });
}
