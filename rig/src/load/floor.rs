//! The least that any system could recompute and move, computed with full knowledge of a trace.

use std::collections::{BTreeSet, HashMap, HashSet};

use guavahold::cache::{BlockKey, PrefixKeys, Secret, TOKENS_PER_BLOCK, token_estimate};
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
    /// Bytes on the stores' links when all engines' memory is one cache that evicts the block whose
    /// next use is farthest (Belady, 1966), nothing is computed twice, and each block that has to
    /// come back was sent once.
    pub link_bytes: u64,
    /// Bytes on the stores' links when no engine remembers a conversation until its caller returns,
    /// the blocks shared by a customer's prompts never leave memory, and each other block is sent
    /// once and fetched once for each return.
    pub return_bytes: u64,
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
    let mut uses: Vec<BlockKey> = Vec::new();
    let (mut fetched, mut sent) = (0, HashSet::new());
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
        let tokens = u64::from(token_estimate(prompt.len()));
        let held = keys.iter().take_while(|k| known.contains(*k)).count();
        let own = keys.get(profile.shared_blocks..held).unwrap_or_default();
        fetched += own.len();
        sent.extend(own.iter().copied());
        let held = held as u64;
        out.prompt_tokens += tokens;
        out.computed_tokens += tokens - (held * u64::from(TOKENS_PER_BLOCK)).min(tokens);
        known.extend(keys.iter().copied());
        uses.extend(keys);
    }
    let engines = profile.engines.0 + profile.engines.1;
    let moved = returning_blocks(&uses, engines * profile.cache_blocks);
    out.link_bytes = moved * profile.block_bytes as u64;
    out.return_bytes = ((fetched + sent.len()) * profile.block_bytes) as u64;
    out
}

/// Blocks sent to and fetched from a store beside a clairvoyant cache of `limit` blocks.
fn returning_blocks(uses: &[BlockKey], limit: usize) -> u64 {
    let mut next = vec![usize::MAX; uses.len()];
    let mut last: HashMap<BlockKey, usize> = HashMap::new();
    for (at, key) in uses.iter().enumerate().rev() {
        next[at] = last.insert(*key, at).unwrap_or(usize::MAX);
    }
    let mut held: HashMap<BlockKey, usize> = HashMap::new();
    let mut order: BTreeSet<(usize, BlockKey)> = BTreeSet::new();
    let (mut seen, mut sent) = (HashSet::new(), HashSet::new());
    let mut fetched = 0;
    for (at, key) in uses.iter().enumerate() {
        if let Some(old) = held.insert(*key, next[at]) {
            order.remove(&(old, *key));
        } else if !seen.insert(*key) {
            fetched += 1;
            sent.insert(*key);
        }
        order.insert((next[at], *key));
        if held.len() > limit
            && let Some((_, farthest)) = order.pop_last()
        {
            held.remove(&farthest);
        }
    }
    fetched + sent.len() as u64
}
