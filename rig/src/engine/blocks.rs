//! Transfers of cache blocks between an engine and a store.

use guavahold::cache::BlockKey;
use guavahold::http::ExchangeError;
use guavahold::target::{BlockGrant, KvTransfer};
use http_types::{Method, Request, StatusCode, Url};

use crate::Engine;

/// Blocks in transfer at once.
const PARALLEL: usize = 4;
/// Longest answer to a transfer that carries no block, in bytes.
const MAX_SHORT_ANSWER: usize = 64 * 1024;

/// The bytes of a block, derived from its key.
#[must_use]
pub fn block_bytes(key: &BlockKey, len: usize) -> Vec<u8> {
    let mut bytes = vec![0; len];
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.as_bytes());
    hasher.finalize_xof().fill(&mut bytes);
    bytes
}

/// How the transfer of one block ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Moved {
    Whole,
    Failed,
}

impl Engine {
    /// Imports blocks; returns how many of the first ones arrived whole.
    pub(crate) async fn import(&self, transfer: &KvTransfer, priority: u8) -> usize {
        let mut whole = 0;
        for grants in transfer.blocks.chunks(PARALLEL) {
            let fetches = grants.iter().map(|g| self.fetch(transfer, g, priority));
            let done = join_all(fetches).await;
            let good = done.iter().take_while(|m| **m == Moved::Whole).count();
            whole += good;
            if good < grants.len() {
                self.with(|s| s.stats.failed_imports += 1);
                break;
            }
        }
        whole
    }

    /// Exports blocks, first block first.
    pub(crate) async fn export(&self, transfer: &KvTransfer, keys: &[BlockKey]) {
        let parent = |key: &BlockKey| {
            let at = keys.iter().position(|k| k == key)?;
            keys.get(at.checked_sub(1)?).copied()
        };
        for grants in transfer.blocks.chunks(PARALLEL) {
            let puts = grants.iter().map(|g| self.put(transfer, g, parent(&g.key)));
            if join_all(puts).await.contains(&Moved::Failed) {
                return;
            }
        }
    }

    async fn fetch(&self, transfer: &KvTransfer, grant: &BlockGrant, priority: u8) -> Moved {
        let mut req = request(Method::Get, transfer, grant);
        let priority = if priority == 0 {
            "interactive"
        } else {
            "background"
        };
        req.insert_header("guavahold-priority", priority);
        match self.fetch_bytes(transfer, req).await {
            Ok(Some((bytes, digest))) => self.check(grant, &bytes, digest.as_deref()),
            _ => Moved::Failed,
        }
    }

    async fn fetch_bytes(
        &self,
        transfer: &KvTransfer,
        req: Request,
    ) -> Result<Option<(Vec<u8>, Option<String>)>, ExchangeError> {
        let mut answer = self.pool.send(transfer.store, req).await?;
        let digest = answer.header("guavahold-digest").map(str::to_owned);
        let bytes = answer.bytes(self.cfg.block_bytes * 2).await?;
        let held = answer.res.status() == StatusCode::Ok;
        self.pool.put(transfer.store, answer);
        Ok(held.then_some((bytes, digest)))
    }

    fn check(&self, grant: &BlockGrant, bytes: &[u8], digest: Option<&str>) -> Moved {
        let whole = Some(blake3::hash(bytes).to_hex().as_str()) == digest;
        let right = bytes == block_bytes(&grant.key, self.cfg.block_bytes);
        self.with(|s| {
            s.stats.import_bytes += bytes.len() as u64;
            s.stats.wrong_blocks += u64::from(whole && !right);
        });
        if whole && right {
            Moved::Whole
        } else {
            Moved::Failed
        }
    }

    /// Asks whether the store wants a block and sends it.
    async fn put(
        &self,
        transfer: &KvTransfer,
        grant: &BlockGrant,
        parent: Option<BlockKey>,
    ) -> Moved {
        let head = request(Method::Head, transfer, grant);
        match self
            .pool
            .fetch(transfer.store, head, MAX_SHORT_ANSWER)
            .await
        {
            Ok((StatusCode::Ok, _)) => return Moved::Whole,
            Ok((StatusCode::NotFound, _)) => {}
            _ => return Moved::Failed,
        }
        let bytes = block_bytes(&grant.key, self.cfg.block_bytes);
        let sent = bytes.len() as u64;
        let mut req = request(Method::Put, transfer, grant);
        if let Some(parent) = parent {
            req.insert_header("guavahold-parent", parent.to_string());
        }
        req.insert_header("guavahold-digest", blake3::hash(&bytes).to_hex().as_str());
        req.set_body(bytes);
        match self.pool.fetch(transfer.store, req, MAX_SHORT_ANSWER).await {
            Ok((StatusCode::Created, _)) => {
                self.with(|s| s.stats.export_bytes += sent);
                Moved::Whole
            }
            Ok((StatusCode::Ok, _)) => Moved::Whole,
            _ => Moved::Failed,
        }
    }
}

fn request(method: Method, transfer: &KvTransfer, grant: &BlockGrant) -> Request {
    let text = format!("http://{}/blocks/{}", transfer.store, grant.key);
    let url = Url::parse(&text).unwrap_or_else(|_| unreachable!("keys need no escaping"));
    let mut req = Request::new(method, url);
    req.insert_header("guavahold-ticket", grant.ticket.as_str());
    req
}

/// Runs futures side by side and collects their outputs in order.
async fn join_all<T: Send>(
    futures: impl Iterator<Item = impl Future<Output = T> + Send>,
) -> Vec<T> {
    let ex = async_executor::Executor::new();
    let tasks: Vec<_> = futures.map(|f| ex.spawn(f)).collect();
    ex.run(async {
        let mut out = Vec::new();
        for task in tasks {
            out.push(task.await);
        }
        out
    })
    .await
}
