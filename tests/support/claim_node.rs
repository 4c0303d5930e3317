//! Claim table of one entry, on a thread that tests can block.

use std::thread;
use std::time::SystemTime;

use async_executor::Executor;
use futures_lite::future::block_on;
use guavahold::claim::{ClaimKey, ClaimRequest, ClaimTable};
use guavahold::prelude::*;

use super::{LocalLinks, LocalNet, MemoryPlatform};

/// Claim table of one entry, with its thread and its connection to the platform.
pub struct ClaimNode {
    pub name: Name,
    pub table: ClaimTable,
    pub platform: MemoryPlatform,
    executor: Arc<Executor<'static>>,
    _running: async_channel::Sender<()>,
}

impl ClaimNode {
    /// Starts an entry whose platform faults are separate from those of other entries.
    pub fn start(
        net: &Arc<LocalNet>,
        platform: &MemoryPlatform,
        name: &str,
        domain: &str,
        shards: u32,
    ) -> Self {
        let platform = platform.with_own_faults();
        let executor = Arc::new(Executor::new());
        let links = LocalLinks {
            net: net.clone(),
            own: name.into(),
        };
        let table = ClaimTable::new(
            Arc::new(platform.clone()),
            name.into(),
            shards,
            Arc::new(links),
            executor.clone(),
        );
        net.add(name, domain, table.clone());
        let (running, stopped) = async_channel::bounded::<()>(1);
        let ex = executor.clone();
        thread::spawn(move || block_on(ex.run(stopped.recv())));
        Self {
            name: name.into(),
            table,
            platform,
            executor,
            _running: running,
        }
    }

    /// Blocks the entry's thread for `time`, like a process that is suspended.
    pub fn freeze(&self, time: Duration) {
        let sleep = async move { thread::sleep(time) };
        self.executor.spawn(sleep).detach();
    }
}

/// Number of claim shards in tests with faults.
pub const TEST_SHARDS: u32 = 4;

/// Makes a claim request of customer `a` with an idempotency key created `age` ago.
pub fn claim_request(age: Duration) -> ClaimRequest {
    let created = SystemTime::now() - age;
    let since = created.duration_since(SystemTime::UNIX_EPOCH).unwrap();
    let at = uuid::Timestamp::from_unix(uuid::NoContext, since.as_secs(), since.subsec_nanos());
    ClaimRequest {
        key: ClaimKey {
            customer: "a".into(),
            key: uuid::Uuid::new_v7(at),
        },
        digest: "0123".into(),
        retention: Duration::from_mins(10),
        total_timeout: Duration::from_mins(1),
    }
}
