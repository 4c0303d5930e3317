//! Extensions of the OpenAI-style protocol towards engines.
//!
//! - `POST /v1/chat/completions`: plain or streamed. The request names the weight version in
//!   [`WEIGHTS_HEADER`] and its id in [`REQUEST_ID_HEADER`]; the answer's head echoes the id and
//!   names the version that ran. A streamed answer numbers its events from zero in `id` and ends
//!   with `data: [DONE]`. The JSON body may carry `priority` and `kv` ([`KvPlan`]).
//! - `GET /v1/runs/{request id}?from=N`: the same run's events from number `N` on.
//! - `DELETE /v1/runs/{request id}`: cancels a run.
//! - `GET /load`: [`LoadReport`](crate::target::LoadReport).
//! - `GET /events?from=N`: JSON lines of [`CacheEvent`](crate::target::CacheEvent).
//! - `POST /orders`: [`OrderRequest`](crate::target::OrderRequest).

use std::net::SocketAddr;

use http_types::StatusCode;
use serde::{Deserialize, Serialize};

use crate::cache::BlockKey;

/// Header of the request id, echoed by targets.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header of the weight version.
pub const WEIGHTS_HEADER: &str = "guavahold-weights";
/// Header by which a target's refusal proves that the request was `not-run`.
pub const RAN_HEADER: &str = "guavahold-run";
/// Status of an order refused for its old fencing number.
pub const STALE_ORDER_STATUS: StatusCode = StatusCode::PreconditionFailed;

/// How an engine uses the stores for one request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct KvPlan {
    /// Tokens in one block.
    pub block_tokens: u32,
    /// Keys of the prompt's whole blocks.
    pub keys: Vec<BlockKey>,
    /// Blocks to import before the prefill; a failed import falls back to recomputing.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub import: Option<KvTransfer>,
    /// Blocks to export after the prefill.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub export: Option<KvTransfer>,
}

/// A run of consecutive blocks moved between an engine and one store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KvTransfer {
    /// Address of the store.
    pub store: SocketAddr,
    /// Index of the first block in [`KvPlan::keys`].
    pub first: u32,
    /// One grant for each block.
    pub blocks: Vec<BlockGrant>,
}

/// Permission to move one block.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BlockGrant {
    /// The block.
    pub key: BlockKey,
    /// Text of a [`Ticket`](crate::cache::Ticket).
    pub ticket: String,
}
