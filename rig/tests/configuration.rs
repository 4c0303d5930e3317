//! Distribution of the catalog to entries while the platform or its connections fail.
//!
//! Guards against entries that keep an old revision over a silent connection, a release note that
//! is reported as failed although it was written, and an entry that needs the platform to start.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_io::Timer;
use guavahold::catalog::EntryRevision;
use guavahold::platform::Role;
use guavahold_rig::client::Call;
use guavahold_rig::fleet::{run_with_timeout, set_faults, wait_until, wait_until_ok};
use guavahold_rig::test_cluster::SALON;
use guavahold_rig::{Fleet, Process};
use http_types::Method;
use serde_json::json;

/// Time in which entries dial what is listed several times.
const DIAL_TIME: Duration = Duration::from_secs(1);

fn release_note(base_revision: u64) -> String {
    let policies = json!({format!("p{base_revision}"): {"class": "patient"}});
    json!({"revision": base_revision, "by": "shift", "added": {"policies": policies}}).to_string()
}

/// Catalog revision that an entry reports for itself.
async fn revision(entry: &Process, name: &str) -> Option<u64> {
    let call = Call::new(Method::Get, "/in-force");
    let response = call.send(entry.address("admin")).await.ok()?;
    let all: Vec<EntryRevision> = serde_json::from_slice(&response.body).ok()?;
    all.iter().find(|f| &*f.entry == name).map(|f| f.revision)
}

async fn wait_for_revision(entry: &Process, name: &str, expected: u64) {
    wait_until("a revision", async || {
        revision(entry, name).await == Some(expected)
    })
    .await;
}

async fn start_entry(fleet: &Fleet, name: &str, domain: &str, platform: SocketAddr) -> Process {
    let settings = json!({"platform": [platform.to_string()]});
    let entry = fleet.start_entry(name, domain, &settings).unwrap();
    let peers = entry.address("peers");
    fleet.list_vm(name, Role::Entry, domain, peers, "").await;
    entry
}

fn apply(fleet: &Fleet, base_revision: u64, extra_args: &[&str]) -> (i32, String) {
    let file = format!("note-{base_revision}.jsonc");
    let file = fleet.write(&file, &release_note(base_revision)).unwrap();
    let mut args = vec!["apply", &file];
    args.extend(extra_args);
    fleet.run_operator(&args).unwrap()
}

/// Names of the entries whose revision an entry knows.
async fn known_entries(entry: &Process) -> Vec<String> {
    let call = Call::new(Method::Get, "/in-force");
    let response = call.send(entry.address("admin")).await.unwrap();
    let all: Vec<EntryRevision> = serde_json::from_slice(&response.body).unwrap();
    all.iter().map(|f| f.entry.to_string()).collect()
}

/// Guards against a test whose entries link with those of another test, which took over a port of theirs.
#[test]
fn entries_of_another_fleet_are_not_linked() {
    run_with_timeout(async {
        let (fleet, other) = (Fleet::start().unwrap(), Fleet::start().unwrap());
        let stranger = start_entry(&other, "stranger", "a", other.platform_address()).await;
        let first = start_entry(&fleet, "entry-1", "a", fleet.platform_address()).await;
        let taken_over = stranger.address("peers");
        fleet
            .list_vm("stranger", Role::Entry, "a", taken_over, "")
            .await;
        let second = start_entry(&fleet, "entry-2", "a", fleet.platform_address()).await;
        wait_until("the own entry is linked", async || {
            known_entries(&first).await.contains(&"entry-2".to_owned())
        })
        .await;
        Timer::after(DIAL_TIME).await;
        for entry in [&first, &second] {
            let known = known_entries(entry).await;
            assert!(!known.contains(&"stranger".to_owned()), "{known:?}");
        }
        assert_eq!(known_entries(&stranger).await, ["stranger"]);
    });
}

#[test]
fn configuration_reaches_entries_when_platform_connections_go_silent() {
    run_with_timeout(async {
        let fleet = Fleet::start().unwrap();
        let to = fleet.platform_address().to_string();
        let relay = Process::start("guavahold-rig", &["relay", "--to", &to]).unwrap();
        let relay_address = relay.address("address");
        let a = start_entry(&fleet, "entry-a", "a", relay_address).await;
        let b = start_entry(&fleet, "entry-b", "b", relay_address).await;
        for entry in [&a, &b] {
            wait_until_ok(entry.address("admin"), "/ready").await;
        }
        assert_eq!(apply(&fleet, 0, &[]).0, 0);
        wait_for_revision(&a, "entry-a", 1).await;
        wait_for_revision(&b, "entry-b", 1).await;
        let silence = Call::new(Method::Post, "/state").body(r#"{"silence_open": true}"#);
        let silenced = silence.send(relay.address("admin")).await.unwrap();
        assert_eq!(silenced.status, 200);
        assert_eq!(apply(&fleet, 1, &[]).0, 0);
        let accepted = Instant::now();
        wait_for_revision(&a, "entry-a", 2).await;
        wait_for_revision(&b, "entry-b", 2).await;
        println!("in force after {} ms", accepted.elapsed().as_millis());
    });
}

#[test]
fn configuration_apply_succeeds_when_platform_response_is_lost() {
    run_with_timeout(async {
        let fleet = Fleet::start().unwrap();
        let entry = start_entry(&fleet, "entry-a", "a", fleet.platform_address()).await;
        wait_until_ok(entry.address("admin"), "/ready").await;
        let path = "/apis/guavahold.dev/v1/catalogs/head";
        let faults = json!({"drop_answer": true, "path": path, "method": "PUT", "next": 1});
        set_faults(fleet.platform.address("admin"), faults).await;
        let admin = entry.address("admin").to_string();
        let (code, out) = apply(&fleet, 0, &["--wait", "--entry", &admin]);
        assert_eq!(code, 0, "{out}");
        assert_eq!(revision(&entry, "entry-a").await, Some(1));
    });
}

#[test]
fn configuration_is_loaded_from_peers_when_platform_is_down() {
    run_with_timeout(async {
        let mut fleet = Fleet::start().unwrap();
        let platform = fleet.platform_address();
        let first = start_entry(&fleet, "entry-a", "a", platform).await;
        wait_until_ok(first.address("admin"), "/ready").await;
        let admin = first.address("admin").to_string();
        assert_eq!(apply(&fleet, 0, &["--wait", "--entry", &admin]).0, 0);
        fleet.platform.kill();
        let seeds = json!({"seeds": [first.address("peers").to_string()]});
        let late_entry = fleet.start_entry("entry-b", "b", &seeds).unwrap();
        wait_until_ok(late_entry.address("admin"), "/ready").await;
        assert_eq!(revision(&late_entry, "entry-b").await, Some(1));
        let isolated_entry = fleet.start_entry("entry-c", "c", &json!({})).unwrap();
        let ready = Call::new(Method::Get, "/ready");
        let response = ready.send(isolated_entry.address("admin")).await.unwrap();
        assert_eq!(response.status, 503);
    });
}

/// Guards against an entry that calls a customer unknown before it knows any.
#[test]
fn configuration_not_known_yet_refuses_callers_as_unavailable() {
    run_with_timeout(async {
        let mut fleet = Fleet::start().unwrap();
        fleet.platform.kill();
        let entry = fleet.start_entry("entry-a", "a", &json!({})).unwrap();
        let body = r#"{"model": "router", "messages": [{"role": "user", "content": "x"}]}"#;
        let chat = Call::new(Method::Post, "/v1/chat/completions");
        let chat = chat.bearer_token(SALON).body(body);
        let response = chat.send(entry.address("callers")).await.unwrap();
        assert_eq!(response.status, 503, "{:?}", response.json());
        assert_eq!(response.run_state.as_deref(), Some("not-run"));
        assert!(response.json()["retry_after_ms"].is_u64());
    });
}
