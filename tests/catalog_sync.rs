//! Entries keep their catalogs up to date from a platform and from peers, over loopback sockets.

#[path = "support/all.rs"]
mod support;

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use async_executor::Executor;
use async_io::{Async, Timer, block_on};
use futures_lite::FutureExt;
use futures_lite::future::Boxed;
use guavahold::catalog::{CatalogCell, CatalogSync};
use guavahold::operator::{Applier, ApplyReport, NoteMetadata};
use guavahold::peer::{Mesh, PeerEvents, PeerInfo, PeerLinks, PeerMessage};
use guavahold::platform::{
    Listing, Object, Platform, PlatformError, Role, Version, Vm, VmPhase, WatchStream, WatchTiming,
};
use guavahold::secret::Secret;
use guavahold::settings::Document;
use support::{Fault, MemoryPlatform};

const SECRET: &[u8] = b"a secret of at least thirty-two bytes";
const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// One entry's access to the platform, which a test can cut.
struct PlatformAccess {
    inner: MemoryPlatform,
    reachable: AtomicBool,
}

impl PlatformAccess {
    fn if_reachable<T: Send + 'static>(
        &self,
        call: Boxed<Result<T, PlatformError>>,
    ) -> Boxed<Result<T, PlatformError>> {
        if self.reachable.load(Ordering::Relaxed) {
            return call;
        }
        Box::pin(async { Err(PlatformError::Unreachable("cut off".into())) })
    }
}

impl Platform for PlatformAccess {
    fn get(&self, kind: &str, name: &str) -> Boxed<Result<Option<Object>, PlatformError>> {
        self.if_reachable(self.inner.get(kind, name))
    }

    fn list(&self, kind: &str) -> Boxed<Result<Listing, PlatformError>> {
        self.if_reachable(self.inner.list(kind))
    }

    fn create(&self, object: Object) -> Boxed<Result<Object, PlatformError>> {
        self.if_reachable(self.inner.create(object))
    }

    fn update(&self, object: Object) -> Boxed<Result<Object, PlatformError>> {
        self.if_reachable(self.inner.update(object))
    }

    fn delete(&self, kind: &str, name: &str, at: Version) -> Boxed<Result<(), PlatformError>> {
        self.if_reachable(self.inner.delete(kind, name, at))
    }

    fn watch(
        &self,
        kind: &str,
        name: Option<&str>,
        from: Version,
        timing: WatchTiming,
    ) -> Boxed<Result<WatchStream, PlatformError>> {
        self.if_reachable(self.inner.watch(kind, name, from, timing))
    }
}

struct ForwardToSync(Arc<CatalogSync>);

impl PeerEvents for ForwardToSync {
    fn on_message(&self, from: &PeerInfo, message: PeerMessage) {
        self.0.on_message(from, message);
    }

    fn on_change(&self, live: &[PeerInfo]) {
        self.0.on_change(live);
    }
}

struct Entry {
    name: String,
    access: Arc<PlatformAccess>,
    cell: Arc<CatalogCell>,
    sync: Arc<CatalogSync>,
    mesh: Arc<Mesh>,
    addr: SocketAddr,
}

impl Entry {
    fn start(
        ex: &Arc<Executor<'static>>,
        platform: &MemoryPlatform,
        name: &str,
        seeds: Vec<SocketAddr>,
    ) -> Self {
        let access = Arc::new(PlatformAccess {
            inner: platform.clone(),
            reachable: AtomicBool::new(true),
        });
        let cell = Arc::new(CatalogCell::default());
        let domain = &name[..1];
        let sync = CatalogSync::new(name, domain, access.clone(), cell.clone());
        let mesh = Mesh::builder(name, domain, Secret::new(SECRET))
            .seeds(seeds)
            .build(Arc::new(ForwardToSync(sync.clone())));
        sync.set_links(mesh.clone());
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let listener = Arc::new(Async::new(listener).unwrap());
        ex.spawn(mesh.clone().run(listener, ex.clone())).detach();
        ex.spawn(sync.clone().run(ex.clone())).detach();
        Self {
            name: name.into(),
            access,
            cell,
            sync,
            mesh,
            addr,
        }
    }

    fn revision(&self) -> u64 {
        self.cell.current().revision
    }

    fn vm(&self) -> Vm {
        Vm {
            name: self.name.as_str().into(),
            role: Role::Entry,
            domain: self.name[..1].into(),
            address: self.addr,
            serves: "".into(),
            phase: VmPhase::Live,
            cpu_millis: 0,
        }
    }
}

fn cluster(ex: &Arc<Executor<'static>>, platform: &MemoryPlatform, names: &[String]) -> Vec<Entry> {
    let entries: Vec<_> = names
        .iter()
        .map(|name| Entry::start(ex, platform, name, Vec::new()))
        .collect();
    let vms: Vec<_> = entries.iter().map(Entry::vm).collect();
    for entry in &entries {
        entry.mesh.set_peers(&vms);
    }
    entries
}

fn names(list: &[&str]) -> Vec<String> {
    list.iter().map(ToString::to_string).collect()
}

fn with_executor<T>(f: impl AsyncFnOnce(Arc<Executor<'static>>) -> T) -> T {
    let ex = Arc::new(Executor::new());
    block_on(ex.clone().run(f(ex)))
}

async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let wait = async {
        while !condition() {
            Timer::after(Duration::from_millis(2)).await;
        }
        true
    };
    let timed_out = async {
        Timer::after(WAIT_LIMIT).await;
        false
    };
    assert!(wait.or(timed_out).await, "not reached in time: {what}");
}

/// Applies a note against revision `against` that adds one policy.
async fn accept_note(platform: &MemoryPlatform, against: u64) {
    let text = format!(
        r#"{{"revision": {against}, "added": {{"policies": {{"p{against}": {{"class": "patient"}}}}}}}}"#
    );
    let applier = Applier::new(Arc::new(platform.clone()), WAIT_LIMIT);
    let stamped = NoteMetadata {
        id: format!("note-{against}").into(),
        at_ms: against,
    };
    let doc = Document::new("note.jsonc", text);
    let report = applier.apply("note.jsonc", &doc, &stamped).await.unwrap();
    assert!(matches!(report, ApplyReport::Accepted { .. }), "{report:?}");
}

#[test]
fn sync_note_comes_into_force_at_all_entries() {
    with_executor(async |ex| {
        let platform = MemoryPlatform::new();
        let entries = cluster(&ex, &platform, &names(&["a1", "a2", "a3", "b1"]));
        wait_until("linked", || {
            entries
                .iter()
                .all(|e| e.mesh.live().len() == 3 || e.name == "b1")
        })
        .await;
        wait_until("ready", || entries.iter().all(|e| e.sync.ready())).await;
        for revision in 0..20 {
            accept_note(&platform, revision).await;
        }
        wait_until("in force", || entries.iter().all(|e| e.revision() == 20)).await;
        wait_until("reported", || {
            entries[0]
                .sync
                .entry_revisions()
                .iter()
                .all(|f| f.revision == 20)
        })
        .await;
    });
}

/// An entry started while the platform is down must serve by a peer's catalog. Without a peer it
/// must not become ready, since it knows no catalog.
#[test]
fn sync_entry_started_in_outage_gets_the_catalog_from_a_peer() {
    with_executor(async |ex| {
        let platform = MemoryPlatform::new();
        let entries = cluster(&ex, &platform, &names(&["a1", "b1"]));
        accept_note(&platform, 0).await;
        wait_until("in force", || entries.iter().all(|e| e.revision() == 1)).await;
        platform.set_fault(Some(Fault::Down));
        let alone = Entry::start(&ex, &platform, "d1", Vec::new());
        let late_entry = Entry::start(&ex, &platform, "c1", vec![entries[0].addr]);
        wait_until("ready from a peer", || late_entry.sync.ready()).await;
        assert_eq!(late_entry.revision(), 1);
        assert!(!alone.sync.ready());
        platform.set_fault(None);
        wait_until("ready from the platform", || alone.sync.ready()).await;
        assert_eq!(alone.revision(), 1);
    });
}

#[test]
fn sync_entry_cut_off_from_platform_gets_notes_from_peers() {
    with_executor(async |ex| {
        let platform = MemoryPlatform::new();
        let entries = cluster(&ex, &platform, &names(&["a1", "a2", "b1"]));
        wait_until("ready", || entries.iter().all(|e| e.sync.ready())).await;
        let cut = &entries[2];
        cut.access.reachable.store(false, Ordering::Relaxed);
        wait_until("linked", || cut.mesh.live().len() == 2).await;
        accept_note(&platform, 0).await;
        accept_note(&platform, 1).await;
        wait_until("in force", || cut.revision() == 2).await;
    });
}

/// Measures the time from the acceptance of a note until it is in force at all entries, which run
/// in one process.
#[test]
#[ignore = "measurement"]
fn sync_time_to_in_force() {
    for (domains, each) in [(2, 2), (4, 4), (6, 8)] {
        with_executor(async |ex| {
            let platform = MemoryPlatform::new();
            let all: Vec<String> = (0..domains)
                .flat_map(|d| (0..each).map(move |n| format!("{}{n}", char::from(b'a' + d))))
                .collect();
            let entries = cluster(&ex, &platform, &all);
            wait_until("ready", || entries.iter().all(|e| e.sync.ready())).await;
            Timer::after(Duration::from_secs(5)).await;
            let mut took = Vec::new();
            for against in 0..50 {
                let started = Instant::now();
                accept_note(&platform, against).await;
                wait_until("in force", || {
                    entries.iter().all(|e| e.revision() > against)
                })
                .await;
                took.push(started.elapsed());
                Timer::after(Duration::from_millis(100)).await;
            }
            took.sort();
            let links: usize = entries.iter().map(|e| e.mesh.live().len()).sum();
            let line = serde_json::json!({
                "measure": "time_to_in_force",
                "entries": all.len(),
                "links": links / 2,
                "notes": took.len(),
                "p50_us": took[25].as_micros(),
                "p95_us": took[47].as_micros(),
                "max_us": took[49].as_micros(),
            });
            println!("{line}");
            assert!(took[49] < Duration::from_secs(3));
        });
    }
}

/// Guards against an entry that waits for ever for the result of a call that panicked.
#[test]
fn sync_note_comes_into_force_after_platform_calls_panicked() {
    with_executor(async |ex| {
        let platform = MemoryPlatform::new();
        platform.set_fault(Some(Fault::Panic));
        let entry = Entry::start(&ex, &platform, "a1", Vec::new());
        wait_until("called", || platform.calls().reads > 0).await;
        platform.set_fault(None);
        wait_until("ready", || entry.sync.ready()).await;
        accept_note(&platform, 0).await;
        wait_until("in force", || entry.revision() == 1).await;
    });
}
