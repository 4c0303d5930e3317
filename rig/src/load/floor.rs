//! The least that any system could recompute, computed with full knowledge of a trace.

use std::collections::HashSet;

use guavahold::prefix_keys::{BlockKey, PrefixKeys, TOKENS_PER_BLOCK, estimate_tokens};
use guavahold::secret::Secret;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::engine::prompt_text;
use crate::load::profile::{Kind, Profile};
use crate::load::prompts::prompt_messages;
use crate::load::trace::Trace;

/// Lower bounds of a trace.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Floor {
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Prompt tokens that no earlier request contains in whole blocks.
    pub computed_tokens: u64,
}

impl Floor {
    /// Share of prompt tokens computed.
    #[must_use]
    pub fn share(&self) -> f64 {
        ratio(self.computed_tokens, self.prompt_tokens)
    }
}

/// `part` over `whole`; zero when `whole` is zero.
#[must_use]
pub fn ratio(part: u64, whole: u64) -> f64 {
    #[allow(clippy::cast_precision_loss)] // Counts of one run are far below 2^53.
    let (part, whole) = (part as f64, whole as f64);
    if whole == 0.0 { 0.0 } else { part / whole }
}

/// Computes the lower bounds of a trace.
#[must_use]
pub fn floor(profile: &Profile, trace: &Trace) -> Floor {
    let mut out = Floor::default();
    let mut known: HashSet<BlockKey> = HashSet::new();
    let secret = Secret::new(&[0; 32]);
    let chats = trace
        .arrivals
        .iter()
        .filter(|a| matches!(a.kind, Kind::Turn | Kind::Question));
    for arrival in chats {
        let body = json!({"messages": prompt_messages(profile, arrival)});
        let prompt = prompt_text(&body);
        let customer = Profile::customer(arrival.customer);
        let keys = PrefixKeys::derive(&secret, &customer, "w1", "", prompt.as_bytes()).keys;
        let tokens = u64::from(estimate_tokens(prompt.len()));
        let held = keys.iter().take_while(|k| known.contains(*k)).count();
        let held = held as u64;
        out.prompt_tokens += tokens;
        out.computed_tokens += tokens - (held * u64::from(TOKENS_PER_BLOCK)).min(tokens);
        known.extend(keys);
    }
    out
}
