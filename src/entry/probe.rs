//! Probes of targets: queries their load reports.

use std::net::SocketAddr;

use async_io::Timer;
use futures_lite::FutureExt;
use http_types::{Method, Request, StatusCode, Url};

use crate::http::{Connection, ExchangeError, Pool};
use crate::prelude::*;
use crate::target::LoadReport;

/// Longest accepted load report, in bytes.
const MAX_REPORT_BYTES: usize = 256 * 1024;

/// Result of a probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ProbeOutcome {
    /// The target responded. The report is the default if the response has no valid one, as for
    /// plain services.
    Alive(LoadReport),
    /// A new connection failed, or gave no response in time.
    Dead,
}

/// Probes one target on a pooled connection, and on a new one if that fails; `timeout` applies to
/// each of the two.
pub(crate) async fn probe(pool: &Pool, address: SocketAddr, timeout: Duration) -> ProbeOutcome {
    let pooled = async {
        pool.fetch(address, load_request(address), MAX_REPORT_BYTES)
            .await
            .ok()
    };
    if let Some((status, body)) = pooled.or(timeout_elapsed(timeout)).await {
        return alive_outcome(status, &body);
    }
    pool.clear(address);
    let retry = async { probe_on_new_connection(pool, address, timeout).await.ok() };
    match retry.or(timeout_elapsed(timeout)).await {
        Some((status, body)) => alive_outcome(status, &body),
        None => ProbeOutcome::Dead,
    }
}

async fn probe_on_new_connection(
    pool: &Pool,
    address: SocketAddr,
    timeout: Duration,
) -> Result<(StatusCode, Vec<u8>), ExchangeError> {
    let conn = Connection::open(address, timeout).await?;
    let mut response = conn.send(load_request(address)).await?;
    let body = response.bytes(MAX_REPORT_BYTES).await?;
    let status = response.res.status();
    pool.put(address, response);
    Ok((status, body))
}

fn alive_outcome(status: StatusCode, body: &[u8]) -> ProbeOutcome {
    let report = match status {
        StatusCode::Ok => serde_json::from_slice(body).unwrap_or_default(),
        _ => LoadReport::default(),
    };
    ProbeOutcome::Alive(report)
}

fn load_request(address: SocketAddr) -> Request {
    let url = Url::parse(&format!("http://{address}/load"));
    Request::new(
        Method::Get,
        url.unwrap_or_else(|_| unreachable!("a socket address always forms a valid URL")),
    )
}

async fn timeout_elapsed<T>(timeout: Duration) -> Option<T> {
    Timer::after(timeout).await;
    None
}
