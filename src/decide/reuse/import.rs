//! Fetch or recompute.

use crate::catalog::MeasureWeights;
use crate::decide::reuse::{BlockRange, PromptShape, StoreState, TargetState};

/// Decides which blocks to fetch before the prefill; `None` recomputes.
///
/// Fetching `n` blocks while the target's queue passes, then prefilling the rest, takes
/// `max(queue, fetch(n)) + prefill(rest(n))`. That is convex in `n`, and so is the weighted cost, so
/// only its corners are compared: nothing, all, and what arrives while the queue passes.
#[must_use]
pub fn plan_import(
    prompt: PromptShape,
    target: TargetState,
    store: StoreState,
    weights: MeasureWeights,
) -> Option<BlockRange> {
    let first = target.held.min(prompt.blocks);
    let most = store.held.min(prompt.blocks).checked_sub(first)?;
    if most == 0 || store.link_rate == 0 {
        return None;
    }
    let hidden = hidden_blocks(&target, &store).min(most);
    let corners = [0, hidden, (hidden + 1).min(most), most];
    let cost = |n: u32| cost(prompt, target, store, weights, first, n);
    let best = corners
        .into_iter()
        .min_by(|a, b| cost(*a).total_cmp(&cost(*b)))?;
    BlockRange::between(first, first + best)
}

/// Blocks that arrive while the target's queue passes.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn hidden_blocks(target: &TargetState, store: &StoreState) -> u32 {
    let idle = target.queue_seconds() - store.queue_seconds();
    let each = store.fetch_seconds(1) - store.queue_seconds();
    (idle / each).max(0.0) as u32
}

/// Weighted cost of fetching `n` blocks from `first` on.
fn cost(
    prompt: PromptShape,
    target: TargetState,
    store: StoreState,
    weights: MeasureWeights,
    first: u32,
    n: u32,
) -> f64 {
    let rest = prompt.rest(first + n);
    let fetch = if n == 0 { 0.0 } else { store.fetch_seconds(n) };
    let first_token = target.queue_seconds().max(fetch) + target.prefill_seconds(rest);
    let whole = target.prefill_seconds(prompt.tokens);
    let recomputed = f64::from(rest) / f64::from(prompt.tokens.max(1));
    let link = f64::from(n) / f64::from(prompt.blocks.max(1));
    weights.first_token * first_token / whole + weights.recompute * recomputed + weights.link * link
}
