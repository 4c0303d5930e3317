//! Lower bound on recomputed prompt tokens, from full knowledge of a schedule.

use std::collections::HashSet;

use guavahold::prefix_keys::{BlockKey, PrefixKeys, TOKENS_PER_BLOCK, estimate_tokens};
use guavahold::secret::Secret;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::engine::prompt_text;
use crate::load::profile::{Profile, RequestKind};
use crate::load::prompts::prompt_messages;
use crate::load::schedule::Schedule;

/// Prompt tokens of a schedule and the lower bound on those computed.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct RecomputeFloor {
    /// Prompt tokens of all chats.
    pub prompt_tokens: u64,
    /// Prompt tokens after the leading blocks that earlier prompts of the same customer contain.
    pub computed_tokens: u64,
}

impl RecomputeFloor {
    /// Computed tokens as a share of the prompt tokens.
    #[must_use]
    pub fn computed_share(&self) -> f64 {
        ratio(self.computed_tokens, self.prompt_tokens)
    }
}

/// Divides `part` by `whole`; zero if `whole` is zero.
#[must_use]
pub fn ratio(part: u64, whole: u64) -> f64 {
    #[allow(clippy::cast_precision_loss)] // Counts of one run are far below 2^53.
    let (part, whole) = (part as f64, whole as f64);
    if whole == 0.0 { 0.0 } else { part / whole }
}

/// Computes the lower bound for a schedule.
#[must_use]
pub fn recompute_floor(profile: &Profile, schedule: &Schedule) -> RecomputeFloor {
    let mut out = RecomputeFloor::default();
    let mut seen_blocks: HashSet<BlockKey> = HashSet::new();
    let secret = Secret::new(&[0; 32]);
    let chats = schedule
        .arrivals
        .iter()
        .filter(|a| matches!(a.kind, RequestKind::Turn | RequestKind::Question));
    for arrival in chats {
        let body = json!({"messages": prompt_messages(profile, arrival)});
        let prompt = prompt_text(&body);
        let customer = Profile::customer_name(arrival.customer);
        let keys = PrefixKeys::derive(&secret, &customer, "w1", "", prompt.as_bytes()).keys;
        let tokens = u64::from(estimate_tokens(prompt.len()));
        let known_blocks = keys.iter().take_while(|k| seen_blocks.contains(*k)).count();
        let known_blocks = known_blocks as u64;
        out.prompt_tokens += tokens;
        out.computed_tokens += tokens - (known_blocks * u64::from(TOKENS_PER_BLOCK)).min(tokens);
        seen_blocks.extend(keys);
    }
    out
}
