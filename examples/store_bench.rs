//! Cost of a store: time and processor time of each put and get, memory of each block held.
//!
//! `cargo build --release --bin guavahold-store && cargo run --release --example store_bench`
//! starts the store beside this program on loopback and prints JSON.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use futures_lite::future::block_on;
use guavahold::cache::{BlockKey, Operation, Secret, StoreClient};
use guavahold::prelude::Name;
use guavahold::store::index::{BlockInfo, Event, Index, IndexConfig, UploadId};
use serde_json::{Value, json};

const SECRET: &str = "a secret of at least thirty-two bytes";
/// Clients that work at the same time.
const CLIENTS: usize = 4;
/// Bytes moved in each measurement.
const BYTES: u64 = 512 << 20;
/// Block sizes measured.
const SIZES: [u64; 3] = [64 << 10, 256 << 10, 1 << 20];
/// Numbers of blocks at which the memory of the index is measured.
const COUNTS: [u64; 4] = [50_000, 100_000, 200_000, 400_000];
/// Processor time units of `/proc` in a second.
const TICKS_PER_SECOND: f64 = 100.0;

struct Store {
    child: Child,
    blocks: SocketAddr,
    _folder: tempfile::TempDir,
}

impl Drop for Store {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn start(memory: u64) -> Store {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let path = |name: &str| folder.path().join(name).to_string_lossy().into_owned();
    std::fs::write(path("secret"), SECRET).expect("a writable folder");
    let settings = json!({
        "name": "store-1", "domain": "a",
        "listen": {"blocks": "127.0.0.1:0", "admin": "127.0.0.1:0"},
        "secret_file": path("secret"), "folder": path("store"),
        "memory_bytes": memory, "disk_bytes": 8_u64 << 30,
        "link_bytes_per_second": 1_u64 << 40, "log_level": "error",
    });
    std::fs::write(path("settings.jsonc"), settings.to_string()).expect("a writable folder");
    let exe = std::env::current_exe().expect("the path of this program");
    let target = exe
        .parent()
        .and_then(Path::parent)
        .expect("a target folder");
    let mut child = Command::new(target.join("guavahold-store"))
        .args(["--settings", &path("settings.jsonc")])
        .stdout(Stdio::piped())
        .spawn()
        .expect("build guavahold-store first");
    let mut line = String::new();
    let out = child.stdout.take().expect("a piped output");
    BufReader::new(out).read_line(&mut line).expect("a line");
    let blocks = line
        .split_whitespace()
        .find_map(|w| w.strip_prefix("blocks="));
    Store {
        child,
        blocks: blocks.expect("an address").parse().expect("an address"),
        _folder: folder,
    }
}

/// Processor time that a process has used.
fn processor_time(pid: u32) -> Duration {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split(' ')
        .collect();
    let ticks = |n: usize| {
        fields
            .get(n)
            .and_then(|f| f.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    Duration::from_secs_f64((ticks(12) + ticks(13)) / TICKS_PER_SECOND)
}

fn key(size: u64, n: u64) -> BlockKey {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&size.to_le_bytes());
    hasher.update(&n.to_le_bytes());
    BlockKey::from_bytes(*hasher.finalize().as_bytes())
}

/// Runs `f` for each block number on several threads and reports times.
fn measure(store: &Store, size: u64, f: impl Fn(&StoreClient, u64) + Sync) -> Value {
    let count = BYTES / size;
    let began = Instant::now();
    let processor = processor_time(store.child.id());
    let client = |first: u64| {
        let client = StoreClient::new(Secret::new(SECRET.as_bytes()), Duration::from_secs(5));
        let mut times = Vec::new();
        for n in (first..count).step_by(CLIENTS) {
            let began = Instant::now();
            f(&client, n);
            times.push(u64::try_from(began.elapsed().as_micros()).unwrap_or(u64::MAX));
        }
        times
    };
    let client = &client;
    let mut times: Vec<u64> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..CLIENTS as u64)
            .map(|n| scope.spawn(move || client(n)))
            .collect();
        let times = threads.into_iter().map(|t| t.join().expect("a client"));
        times.flatten().collect()
    });
    let took = began.elapsed();
    let processor = processor_time(store.child.id()).saturating_sub(processor);
    times.sort_unstable();
    let share = |part: usize| times[(times.len() - 1) * part / 100];
    json!({
        "count": count,
        "bytes_per_second": u128::from(BYTES) * 1000 / took.as_millis().max(1),
        "p50_us": share(50),
        "p99_us": share(99),
        "store_processor_us_each": processor.as_micros() / u128::from(count),
    })
}

fn transfers(size: u64, memory: u64) -> Value {
    let store = start(memory);
    let customer = Name::from("bench");
    let bytes = |n: u64| {
        let mut rng = fastrand::Rng::with_seed(n);
        let mut bytes = vec![0; usize::try_from(size).unwrap_or(0)];
        rng.fill(&mut bytes[..4096]);
        bytes
    };
    let puts = measure(&store, size, |client, n| {
        let key = key(size, n);
        let ticket = client.ticket(Operation::Write, &customer, &key);
        let put = client.put(store.blocks, &key, &ticket, None, bytes(n));
        assert!(block_on(Box::pin(put)).expect("a put"));
    });
    let gets = measure(&store, size, |client, n| {
        let key = key(size, n);
        let ticket = client.ticket(Operation::Read, &customer, &key);
        let get = client.get(store.blocks, &key, &ticket, true);
        assert!(block_on(Box::pin(get)).expect("a get").is_some());
    });
    json!({"block_bytes": size, "memory_bytes": memory, "put": puts, "get": gets})
}

/// Resident bytes of this process.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kib = line.and_then(|l| l.trim().trim_end_matches(" kB").parse::<u64>().ok());
    kib.unwrap_or(0) * 1024
}

/// Fills an index with `count` blocks in prefixes of eight.
fn index_of(count: u64) -> (Index, u128) {
    let cfg = IndexConfig {
        disk_bytes: u64::MAX / 2,
        memory_bytes: 0,
        seed: 1,
    };
    let mut index = Index::new(cfg);
    let mut effects = Vec::new();
    let customer = Name::from("bench");
    let began = Instant::now();
    for n in 0..count {
        let upload = UploadId(n);
        let block = BlockInfo {
            key: key(0, n),
            customer: customer.clone(),
            parent: (n % 8 > 0).then(|| key(0, n - 1)),
            bytes: 1 << 20,
        };
        let now = Duration::from_millis(n);
        index.on(now, Event::Begin { upload, block }, &mut effects);
        index.on(now, Event::Staged { upload }, &mut effects);
        index.on(now, Event::Committed { upload }, &mut effects);
        effects.clear();
    }
    (index, began.elapsed().as_nanos() / u128::from(count.max(1)))
}

fn main() {
    // All indexes are kept, so that none takes memory that another gave back.
    let mut kept = Vec::new();
    let memory: Vec<Value> = COUNTS
        .into_iter()
        .map(|count| {
            let before = resident();
            let (index, nanos) = index_of(count);
            let bytes = resident().saturating_sub(before);
            assert_eq!(index.len() as u64, count);
            kept.push(index);
            json!({
                "blocks": count,
                "bytes": bytes,
                "bytes_per_block": bytes / count.max(1),
                "decision_ns_per_put": u64::try_from(nanos).unwrap_or(u64::MAX),
            })
        })
        .collect();
    let cached = SIZES.map(|size| transfers(size, 2 << 30));
    let on_disk = SIZES.map(|size| transfers(size, 0));
    let report = json!({"index": memory, "from_memory": cached, "from_disk": on_disk});
    println!("{report:#}");
}
