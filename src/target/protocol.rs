//! Extensions of the OpenAI-style protocol between entries and engines.
//!
//! - `POST /v1/chat/completions`: plain or streamed. The request names the weight version in
//!   [`WEIGHTS_HEADER`] and its id in [`REQUEST_ID_HEADER`]; the response head echoes the id
//!   and names the version that ran. A streamed response numbers its events from zero in `id` and
//!   ends with `data: [DONE]`. The JSON body may carry `priority` and `kv` ([`PromptBlocks`]).
//! - `GET /v1/runs/{request id}?from=N`: the same run's events from number `N` on.
//! - `DELETE /v1/runs/{request id}`: cancels a run.
//! - `GET /load`: [`LoadReport`](crate::target::LoadReport).
//! - `POST /orders`: [`OrderRequest`](crate::target::OrderRequest).

use http_types::StatusCode;
use serde::{Deserialize, Serialize};

use crate::prefix_keys::BlockKey;

/// Header with the request id, echoed by targets.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the weight version: to run in a request, that ran in a response.
pub const WEIGHTS_HEADER: &str = "guavahold-weights";
/// Response header with which a target that refuses a request states that it did not run it
/// (`not-run`).
pub const RUN_STATE_HEADER: &str = "guavahold-run";
/// Status of the response to an order with an outdated fencing token.
pub const STALE_ORDER_STATUS: StatusCode = StatusCode::PreconditionFailed;

/// Block keys with which an engine looks up a prompt in its prefix cache.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PromptBlocks {
    /// Tokens in one block.
    pub block_tokens: u32,
    /// Keys of the prompt's full blocks; they differ by customer and weight version.
    pub keys: Vec<BlockKey>,
}
