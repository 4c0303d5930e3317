//! Client of the entries' admin ports.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use async_io::Timer;
use futures_lite::FutureExt;
use http_types::{Method, Request, Url};

use crate::catalog::EntryRevision;
use crate::http::Pool;
use crate::prelude::*;

/// Longest accepted response, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;
/// Timeout of the request to one entry.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Queries entries for the catalog revisions in force.
#[derive(Debug)]
pub struct EntryAdminClient {
    addresses: Vec<SocketAddr>,
    pool: Pool,
}

impl EntryAdminClient {
    /// Makes a client of the given admin addresses.
    #[must_use]
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        Self {
            addresses,
            pool: Pool::new(RESPONSE_TIMEOUT),
        }
    }

    /// Whether there is no address to query.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.addresses.is_empty()
    }

    /// Queries all addresses and returns the newest revision reported for each entry; empty if no
    /// entry responds. One entry also reports the revisions of its peers.
    pub async fn revisions_in_force(&self) -> Vec<EntryRevision> {
        let mut newest: BTreeMap<(Name, Name), EntryRevision> = BTreeMap::new();
        for addr in &self.addresses {
            for row in self.fetch(*addr).await.unwrap_or_default() {
                let key = (row.domain.clone(), row.entry.clone());
                let known = newest.get(&key).map(|known| known.revision);
                if known.is_none_or(|revision| revision < row.revision) {
                    newest.insert(key, row);
                }
            }
        }
        newest.into_values().collect()
    }

    async fn fetch(&self, addr: SocketAddr) -> Option<Vec<EntryRevision>> {
        let url = Url::parse(&format!("http://{addr}/in-force")).ok()?;
        let req = Request::new(Method::Get, url);
        let response = async { self.pool.fetch(addr, req, MAX_RESPONSE_BYTES).await.ok() };
        let deadline = async {
            Timer::after(RESPONSE_TIMEOUT).await;
            None
        };
        let (status, body) = response.or(deadline).await?;
        status
            .is_success()
            .then(|| serde_json::from_slice(&body).ok())
            .flatten()
    }
}
