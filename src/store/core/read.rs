//! Reading a block.

use crate::cache::BlockKey;
use crate::prelude::*;
use crate::store::core::{Core, Fetched, Payload};
use crate::store::guard::Pinned;
use crate::store::index::{Effect, Event, Generation, ReaderId};
use crate::store::link::Urgency;

impl Core {
    /// Pins a block, waits for its turn on the link and reads its bytes.
    pub(crate) async fn fetch(
        self: &Arc<Self>,
        key: BlockKey,
        customer: Name,
        urgency: Urgency,
    ) -> Fetched {
        let reader = ReaderId(self.number());
        let bytes = self.prefix_bytes(&key, &customer);
        let effects = self.apply(Event::Pin {
            reader,
            key,
            customer: customer.clone(),
        });
        let Some(Effect::Serve { generation, .. }) = effects.first() else {
            return Fetched::Miss;
        };
        let generation = *generation;
        let pinned = Pinned {
            core: self.clone(),
            reader,
        };
        let mut transfer = match self.throttle.open(&customer, urgency, bytes) {
            Ok(transfer) => transfer,
            Err(wait) => return Fetched::Busy(wait),
        };
        transfer.start().await;
        match self.load(generation, key, customer).await {
            Some(payload) => Fetched::Block(payload, pinned, transfer),
            None => Fetched::Miss,
        }
    }

    fn prefix_bytes(&self, key: &BlockKey, customer: &str) -> u64 {
        self.lock().index.prefix(customer, &[*key]).1
    }

    async fn load(
        self: &Arc<Self>,
        generation: Generation,
        key: BlockKey,
        customer: Name,
    ) -> Option<Arc<Payload>> {
        let cached = self.lock().memory.get(&generation).cloned();
        if cached.is_some() {
            return cached;
        }
        let core = self.clone();
        blocking::unblock(move || core.read(generation, &key, &customer)).await
    }

    /// Reads from disk; a block that does not fit its record is dropped; blocks.
    fn read(
        &self,
        generation: Generation,
        key: &BlockKey,
        customer: &Name,
    ) -> Option<Arc<Payload>> {
        let read = self.folder.read(generation, key);
        let fault: &dyn std::fmt::Display = match &read {
            Ok((record, _)) if record.info.customer == *customer => {
                let (record, bytes) = read.ok()?;
                let digest = blake3::Hash::from_bytes(record.digest);
                let payload = Arc::new(Payload { digest, bytes });
                self.apply_with(Event::Loaded { generation }, Some(&payload));
                return Some(payload);
            }
            Ok(_) => &"the block's record names another customer",
            Err(err) => err,
        };
        self.fault("corrupt", fault);
        let effects = self.apply(Event::Corrupt { generation });
        let _ = self.perform(&effects);
        None
    }
}
