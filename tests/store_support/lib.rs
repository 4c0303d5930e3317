//! A store inside the test process.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_executor::Executor;
use guavahold::cache::{BlockKey, Operation, Secret, StoreClient, StoreError};
use guavahold::prelude::Name;
use guavahold::settings::{StoreSettings, StoreSettingsBuilder};
use guavahold::store::Store;

/// A running store and a client that shares its secret.
pub struct Bed {
    /// Address for blocks.
    pub blocks: SocketAddr,
    /// Client.
    pub client: StoreClient,
    ex: Arc<Executor<'static>>,
    _folder: tempfile::TempDir,
}

impl Bed {
    /// Starts a store whose settings `f` adapts.
    pub fn start(f: impl FnOnce(StoreSettingsBuilder) -> StoreSettingsBuilder) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().to_string_lossy().into_owned();
        let cfg = f(StoreSettings::builder("store-1", "a", path)).build();
        let secret = Secret::new(b"a secret of at least thirty-two bytes");
        let store = Store::bind(&cfg, secret.clone()).unwrap();
        let blocks = store.blocks_address();
        let ex = Arc::new(Executor::new());
        ex.spawn(store.run(ex.clone())).detach();
        Self {
            blocks,
            client: StoreClient::new(secret, Duration::from_secs(1)),
            ex,
            _folder: folder,
        }
    }

    /// Runs `f` together with the store.
    pub fn block_on<T>(&self, f: impl Future<Output = T>) -> T {
        futures_lite::future::block_on(self.ex.run(f))
    }

    /// Stores `bytes` under the key numbered `n`.
    pub fn put(&self, customer: &Name, n: u8, bytes: &[u8]) -> bool {
        let ticket = self.client.ticket(Operation::Write, customer, &key(n));
        let key = key(n);
        let put = self
            .client
            .put(self.blocks, &key, &ticket, None, bytes.to_vec());
        self.block_on(Box::pin(put)).unwrap()
    }

    /// Reads the block numbered `n`.
    pub fn get(&self, customer: &Name, n: u8) -> Result<Option<Vec<u8>>, StoreError> {
        let ticket = self.client.ticket(Operation::Read, customer, &key(n));
        let key = key(n);
        self.block_on(Box::pin(self.client.get(self.blocks, &key, &ticket, true)))
    }
}

/// The key numbered `n`.
pub fn key(n: u8) -> BlockKey {
    BlockKey::from_bytes([n; 32])
}

/// A customer's name.
pub fn customer(name: &str) -> Name {
    name.into()
}
