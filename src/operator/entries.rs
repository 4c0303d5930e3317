//! What entries report on their admin ports.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use async_io::Timer;
use futures_lite::FutureExt;
use http_types::{Method, Request, Url};

use crate::catalog::EntryRevision;
use crate::http::Pool;
use crate::prelude::*;

/// Longest accepted answer, in bytes.
const MAX_ANSWER: usize = 4 * 1024 * 1024;
/// Longest wait for one entry's answer.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Asks entries what is in force.
#[derive(Debug)]
pub struct Entries {
    addresses: Vec<SocketAddr>,
    pool: Pool,
}

impl Entries {
    /// Asks the given admin addresses.
    #[must_use]
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        Self {
            addresses,
            pool: Pool::new(TIMEOUT),
        }
    }

    /// Tells whether there is nobody to ask.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.addresses.is_empty()
    }

    /// What all asked entries know, the newest word on each entry; empty when none answers.
    pub async fn in_force(&self) -> Vec<EntryRevision> {
        let mut newest: BTreeMap<(Name, Name), EntryRevision> = BTreeMap::new();
        for addr in &self.addresses {
            for row in self.ask(*addr).await.unwrap_or_default() {
                let key = (row.domain.clone(), row.entry.clone());
                let known = newest.get(&key).map(|known| known.revision);
                if known.is_none_or(|revision| revision < row.revision) {
                    newest.insert(key, row);
                }
            }
        }
        newest.into_values().collect()
    }

    async fn ask(&self, addr: SocketAddr) -> Option<Vec<EntryRevision>> {
        let url = Url::parse(&format!("http://{addr}/in-force")).ok()?;
        let req = Request::new(Method::Get, url);
        let fetch = async { self.pool.fetch(addr, req, MAX_ANSWER).await.ok() };
        let late = async {
            Timer::after(TIMEOUT).await;
            None
        };
        let (status, body) = fetch.or(late).await?;
        status
            .is_success()
            .then(|| serde_json::from_slice(&body).ok())
            .flatten()
    }
}
