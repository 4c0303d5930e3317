//! Which blocks to keep in a store.

use crate::catalog::MeasureWeights;
use crate::decide::reuse::{BlockRange, PromptShape, StoreState, TargetState, Visit};

/// Longest queue of a link that still takes exports, in seconds.
const LONGEST_QUEUE: f64 = 5.0;

/// Decides which blocks to export after the prefill.
///
/// A block that is expected to return `r` times saves `r` times its prefill, less its fetch, and is
/// carried once to the store and `r` times back. Shared prefixes return most often, so the run ends
/// at the first block that is not worth it.
#[must_use]
pub fn plan_export(
    prompt: PromptShape,
    target: TargetState,
    store: StoreState,
    weights: MeasureWeights,
    visit: &Visit,
) -> Option<BlockRange> {
    if store.queue_seconds() > LONGEST_QUEUE {
        return None;
    }
    let saved = saved_part(prompt, target, store);
    let worth = |returns: f64| {
        let gain = returns * (weights.first_token * saved + weights.recompute);
        gain > weights.link * (1.0 + returns)
    };
    let first = store.held.max(visit.exported()).min(prompt.blocks);
    let candidates = visit.returns().iter().zip(0..prompt.blocks);
    let kept = candidates.skip(first as usize);
    let worthy = kept.take_while(|(returns, _)| worth(**returns));
    let end = worthy.map(|(_, n)| n + 1).last()?;
    BlockRange::between(first, end)
}

/// Part of a block's prefill time that a fetch over an idle link saves; negative on slow links.
fn saved_part(prompt: PromptShape, target: TargetState, store: StoreState) -> f64 {
    let tokens = prompt.tokens.clamp(1, crate::cache::TOKENS_PER_BLOCK);
    let prefill = target.prefill_seconds(tokens);
    let idle = StoreState {
        queue_bytes: 0,
        ..store
    };
    (1.0 - idle.fetch_seconds(1) / prefill).max(-1.0)
}
