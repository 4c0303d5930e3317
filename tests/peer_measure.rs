//! Measurements of heartbeats, notes and catalogs for the capacity page: one JSON line for each
//! size.
//!
//! Run with `cargo test --release --test peer_measure -- --ignored --nocapture --test-threads 1`.

use std::net::TcpListener;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_executor::Executor;
use async_io::{Async, Timer, block_on};
use guavahold::catalog::{Catalog, CatalogHead, Customer, Policy, ReleaseNote, TokenHash};
use guavahold::peer::{Mesh, PeerEvents, PeerInfo, PeerLinks, PeerMessage, decode, encode};
use guavahold::platform::{Role, Vm, VmPhase};
use guavahold::prelude::Name;
use guavahold::secret::Secret;
use serde_json::{Value, json};

/// Clock ticks per second in `/proc/self/stat`.
const CLOCK_TICKS_PER_S: f64 = 100.0;
/// Bytes of one page in `/proc/self/statm`.
const PAGE_BYTES: u64 = 4096;

struct IgnoreEvents;

impl PeerEvents for IgnoreEvents {
    fn on_message(&self, _: &PeerInfo, _: PeerMessage) {}

    fn on_change(&self, _: &[PeerInfo]) {}
}

fn print_line(value: &Value) {
    println!("{value}");
}

/// Processor time of this process, in seconds.
fn cpu_seconds() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap();
    let fields: Vec<_> = stat
        .rsplit(')')
        .next()
        .unwrap()
        .split_whitespace()
        .collect();
    let ticks: f64 = fields[11].parse::<f64>().unwrap() + fields[12].parse::<f64>().unwrap();
    ticks / CLOCK_TICKS_PER_S
}

fn float(n: u64) -> f64 {
    f64::from(u32::try_from(n).unwrap())
}

/// Resident memory of this process, in bytes.
fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap();
    statm.split(' ').nth(1).unwrap().parse::<u64>().unwrap() * PAGE_BYTES
}

fn customer(n: u64) -> Customer {
    Customer {
        share: 1,
        tokens: [TokenHash::of(&n.to_string())].into_iter().collect(),
    }
}

fn catalog(customers: u64) -> Catalog {
    let mut catalog = Catalog::default();
    let all = (0..customers).map(|n| (Name::from(format!("customer-{n:05}")), customer(n)));
    catalog.declarations.customers = all.collect();
    catalog.declarations.policies = [("chat".into(), Policy::default())].into();
    catalog
}

fn note(against: u64, customers: u64) -> ReleaseNote {
    let name = format!("customer-{:05}", against % customers);
    let mut note = ReleaseNote {
        against,
        id: uuid::Uuid::nil().to_string().into(),
        by: "night shift".into(),
        why: "raises a share".into(),
        at_ms: 1_796_330_000_000,
        ..ReleaseNote::default()
    };
    let mut changed = customer(against % customers);
    changed.share = u32::try_from(against).unwrap() + 2;
    note.changed.customers = [(name.into(), changed)].into();
    note
}

#[test]
#[ignore = "measurement"]
fn measure_heartbeats() {
    for peers in [3, 11, 23] {
        let ex = Arc::new(Executor::new());
        block_on(ex.clone().run(async {
            let meshes: Vec<_> = (0..=peers).map(|n| start_mesh(&ex, n)).collect();
            let vms: Vec<_> = meshes.iter().map(|(_, vm)| vm.clone()).collect();
            for (mesh, _) in &meshes {
                mesh.set_peers(&vms);
            }
            while meshes.iter().any(|(mesh, _)| mesh.live().len() < peers) {
                Timer::after(Duration::from_millis(10)).await;
            }
            let before = (cpu_seconds(), sent_by_all(&meshes));
            Timer::after(Duration::from_secs(10)).await;
            let (frames, bytes) = sent_by_all(&meshes);
            let frames = frames - before.1.0;
            let cpu = cpu_seconds() - before.0;
            print_line(&json!({
                "measure": "heartbeat",
                "peers": peers,
                "beats": frames,
                "payload_bytes_per_beat": (bytes - before.1.1) / frames,
                "processor_us_per_beat": cpu * 1e6 / float(frames),
                "processor_share_per_entry": cpu / 10.0 / float(peers as u64 + 1),
            }));
        }));
    }
}

fn start_mesh(ex: &Arc<Executor<'static>>, n: usize) -> (Arc<Mesh>, Vm) {
    let name = Name::from(format!("entry-a{n:02}"));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let vm = Vm {
        name: name.clone(),
        role: Role::Entry,
        domain: "a".into(),
        address: listener.local_addr().unwrap(),
        serves: "".into(),
        phase: VmPhase::Live,
        cpu_millis: 0,
    };
    let secret = Secret::new(b"a secret of at least thirty-two bytes");
    let mesh = Mesh::builder(name, "a", secret).build(Arc::new(IgnoreEvents));
    mesh.set_status(76_000, 1_000, false);
    let listener = Arc::new(Async::new(listener).unwrap());
    ex.spawn(mesh.clone().run(listener, ex.clone())).detach();
    (mesh, vm)
}

fn sent_by_all(meshes: &[(Arc<Mesh>, Vm)]) -> (u64, u64) {
    let sent = meshes.iter().map(|(mesh, _)| mesh.link_counters().sent());
    sent.fold((0, 0), |sum, s| (sum.0 + s.0, sum.1 + s.1))
}

#[test]
#[ignore = "measurement"]
fn measure_notes() {
    for notes in [1, 10, 100] {
        let message = PeerMessage::Notes((0..notes).map(|n| note(n, 8600)).collect());
        let frame = encode(&message);
        let started = Instant::now();
        for _ in 0..100 {
            assert_eq!(decode(&encode(&message)).unwrap(), message);
        }
        print_line(&json!({
            "measure": "notes_message",
            "notes": notes,
            "bytes": frame.len(),
            "encode_decode_us": started.elapsed().as_micros() / 100,
        }));
    }
    for notes in [1, 8, 16] {
        let head = CatalogHead {
            revision: notes,
            tail: (0..notes).map(|n| note(n, 8600)).collect(),
            ..CatalogHead::default()
        };
        let bytes = serde_json::to_string(&head).unwrap().len();
        print_line(&json!({"measure": "head_object", "notes": notes, "bytes": bytes}));
    }
}

#[test]
#[ignore = "measurement"]
fn measure_catalog() {
    for customers in [10, 1000, 8600] {
        let before = resident_bytes();
        let catalogs: Vec<_> = (0..8).map(|_| Arc::new(catalog(customers))).collect();
        let memory = (resident_bytes() - before) / 8;
        let mut current = catalogs[0].clone();
        let started = Instant::now();
        for _ in 0..100 {
            let note = note(current.revision, customers);
            current = Arc::new(current.apply(&note).unwrap());
        }
        print_line(&json!({
            "measure": "catalog",
            "customers": customers,
            "apply_us": started.elapsed().as_micros() / 100,
            "memory_bytes": memory,
            "cbor_bytes": encode(&PeerMessage::WholeCatalog(current.clone())).len(),
            "json_bytes": serde_json::to_string(&*current).unwrap().len(),
        }));
    }
}
