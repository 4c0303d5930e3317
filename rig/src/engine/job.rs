//! Parsed chat completion requests.

use guavahold::http::IncomingRequest;
use guavahold::prefix_keys::estimate_tokens;
use guavahold::prelude::Name;
use guavahold::target::{PromptBlocks, REQUEST_ID_HEADER, WEIGHTS_HEADER};
use serde_json::{Value, json};

use crate::engine::{EngineSettings, prompt_text};

/// Maximum number of tokens generated for one request.
const MAX_GENERATED_TOKENS: u64 = 100_000;

/// A chat completion request as the engine executes it.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) id: Name,
    pub(crate) weights: Name,
    pub(crate) prompt: String,
    pub(crate) prompt_tokens: u32,
    pub(crate) max_tokens: u32,
    pub(crate) stream: bool,
    pub(crate) priority: u8,
    pub(crate) blocks: PromptBlocks,
}

/// Token counts of a run, as in `usage` of its response.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TokenUsage {
    pub(crate) prompt: u32,
    pub(crate) cached: u32,
    pub(crate) completion: u32,
}

impl TokenUsage {
    pub(crate) fn computed(&self) -> u32 {
        self.prompt.saturating_sub(self.cached)
    }

    pub(crate) fn to_json(self) -> Value {
        json!({
            "prompt_tokens": self.prompt,
            "completion_tokens": self.completion,
            "total_tokens": self.prompt + self.completion,
            "prompt_tokens_details": {"cached_tokens": self.cached},
        })
    }
}

impl Job {
    /// Parses a chat completion request; `None` if it is malformed.
    pub(crate) fn parse(request: &IncomingRequest, cfg: &EngineSettings) -> Option<Self> {
        let body: Value = serde_json::from_slice(&request.body).ok()?;
        body["messages"].as_array()?;
        let blocks = body.get("kv").map(|kv| serde_json::from_value(kv.clone()));
        let prompt = prompt_text(&body);
        let limit = body["max_tokens"]
            .as_u64()
            .or(body["max_completion_tokens"].as_u64());
        let limit = limit
            .unwrap_or(u64::from(cfg.default_tokens))
            .min(MAX_GENERATED_TOKENS);
        let id = request.header(REQUEST_ID_HEADER).map(Name::from);
        let weights = request.header(WEIGHTS_HEADER).map(Name::from);
        Some(Self {
            id: id.unwrap_or_else(|| format!("{:032x}", fastrand::u128(..)).into()),
            weights: weights.or_else(|| cfg.weights.first().cloned())?,
            prompt_tokens: estimate_tokens(prompt.len()),
            prompt,
            max_tokens: u32::try_from(limit).unwrap_or(u32::MAX),
            stream: body["stream"].as_bool().unwrap_or(false),
            // Without a priority, that of the standard class.
            priority: body["priority"]
                .as_u64()
                .map_or(1, |p| u8::try_from(p).unwrap_or(u8::MAX)),
            blocks: blocks.transpose().ok()?.unwrap_or_default(),
        })
    }
}
