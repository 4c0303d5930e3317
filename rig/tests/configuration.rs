//! Configuration and platform failures on separate processes.

use std::net::SocketAddr;
use std::time::Instant;

use guavahold::catalog::EntryRevision;
use guavahold::platform::Role;
use guavahold_rig::client::Call;
use guavahold_rig::fleet::{run_with_timeout, set_faults, wait_until, wait_until_ok};
use guavahold_rig::{Fleet, Process};
use http_types::Method;
use serde_json::json;

fn note(against: u64) -> String {
    let policies = json!({format!("p{against}"): {"class": "patient"}});
    json!({"revision": against, "by": "shift", "added": {"policies": policies}}).to_string()
}

/// Revision that an entry says it has in force itself.
async fn revision(entry: &Process, name: &str) -> Option<u64> {
    let call = Call::new(Method::Get, "/in-force");
    let answer = call.send(entry.address("admin")).await.ok()?;
    let all: Vec<EntryRevision> = serde_json::from_slice(&answer.body).ok()?;
    all.iter().find(|f| &*f.entry == name).map(|f| f.revision)
}

async fn await_revision(entry: &Process, name: &str, expected: u64) {
    wait_until("a revision", async || {
        revision(entry, name).await == Some(expected)
    })
    .await;
}

async fn start(fleet: &Fleet, name: &str, domain: &str, platform: SocketAddr) -> Process {
    let extra = json!({"platform": [platform.to_string()]});
    let entry = fleet.start_entry(name, domain, &extra).unwrap();
    let peers = entry.address("peers");
    fleet.list_vm(name, Role::Entry, domain, peers, "").await;
    entry
}

fn apply(fleet: &Fleet, against: u64, more: &[&str]) -> (i32, String) {
    let file = format!("note-{against}.jsonc");
    let file = fleet.write(&file, &note(against)).unwrap();
    let mut args = vec!["apply", &file];
    args.extend(more);
    fleet.run_operator(&args).unwrap()
}

#[test]
fn configuration_reaches_entries_over_silent_connections() {
    run_with_timeout(async {
        let fleet = Fleet::start().unwrap();
        let to = fleet.platform_address().to_string();
        let relay = Process::start("guavahold-rig", &["relay", "--to", &to]).unwrap();
        let through = relay.address("address");
        let a = start(&fleet, "entry-a", "a", through).await;
        let b = start(&fleet, "entry-b", "b", through).await;
        for entry in [&a, &b] {
            wait_until_ok(entry.address("admin"), "/ready").await;
        }
        assert_eq!(apply(&fleet, 0, &[]).0, 0);
        await_revision(&a, "entry-a", 1).await;
        await_revision(&b, "entry-b", 1).await;
        let silence = Call::new(Method::Post, "/state").body(r#"{"silence_open": true}"#);
        let silenced = silence.send(relay.address("admin")).await.unwrap();
        assert_eq!(silenced.status, 200);
        assert_eq!(apply(&fleet, 1, &[]).0, 0);
        let accepted = Instant::now();
        await_revision(&a, "entry-a", 2).await;
        await_revision(&b, "entry-b", 2).await;
        println!("in force after {} ms", accepted.elapsed().as_millis());
    });
}

#[test]
fn configuration_lost_answer_is_resolved() {
    run_with_timeout(async {
        let fleet = Fleet::start().unwrap();
        let entry = start(&fleet, "entry-a", "a", fleet.platform_address()).await;
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
fn configuration_entry_started_in_outage_serves_from_peers() {
    run_with_timeout(async {
        let mut fleet = Fleet::start().unwrap();
        let platform = fleet.platform_address();
        let first = start(&fleet, "entry-a", "a", platform).await;
        wait_until_ok(first.address("admin"), "/ready").await;
        let admin = first.address("admin").to_string();
        assert_eq!(apply(&fleet, 0, &["--wait", "--entry", &admin]).0, 0);
        fleet.platform.kill();
        let seeds = json!({"seeds": [first.address("peers").to_string()]});
        let late = fleet.start_entry("entry-b", "b", &seeds).unwrap();
        wait_until_ok(late.address("admin"), "/ready").await;
        assert_eq!(revision(&late, "entry-b").await, Some(1));
        let alone = fleet.start_entry("entry-c", "c", &json!({})).unwrap();
        let ready = Call::new(Method::Get, "/ready");
        let answer = ready.send(alone.address("admin")).await.unwrap();
        assert_eq!(answer.status, 503);
    });
}
