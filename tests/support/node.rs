//! A claim table on a thread of its own, which tests freeze.

use std::thread;
use std::time::SystemTime;

use async_executor::Executor;
use futures_lite::future::block_on;
use guavahold::claim::{ClaimKey, ClaimRequest, ClaimTable};
use guavahold::prelude::*;

use super::{LocalLinks, LocalNet, MemoryPlatform};

/// One entry's claim table.
pub struct Node {
    pub name: Name,
    pub table: ClaimTable,
    pub platform: MemoryPlatform,
    executor: Arc<Executor<'static>>,
    _running: async_channel::Sender<()>,
}

impl Node {
    /// Starts an entry with a way of its own to the platform.
    pub fn start(
        net: &Arc<LocalNet>,
        platform: &MemoryPlatform,
        name: &str,
        domain: &str,
        shards: u32,
    ) -> Self {
        let platform = platform.another_way();
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

    /// Stops the entry's thread for a while.
    pub fn freeze(&self, time: Duration) {
        let sleep = async move { thread::sleep(time) };
        self.executor.spawn(sleep).detach();
    }
}

/// Shards of the tables in tests of faults.
pub const SHARDS: u32 = 4;

/// A request of customer `a` whose key was made `age` ago.
pub fn claim_request(age: Duration) -> ClaimRequest {
    let made = SystemTime::now() - age;
    let since = made.duration_since(SystemTime::UNIX_EPOCH).unwrap();
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
